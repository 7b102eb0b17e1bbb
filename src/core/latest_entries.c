#include "core/latest_entries.h"

#include "core/store_version.h"

typedef struct
{
  uint64_t version;
  DyLedgerEntry entry;
} Latest;

static void
free_latest (gpointer data)
{
  Latest *latest = data;
  dy_ledger_entry_finish (&latest->entry);
  g_free (latest);
}

static void
free_table (gpointer table)
{
  g_hash_table_unref (table);
}

void
dy_latest_entries_init (DyLatestEntries *latest)
{
  latest->by_era = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, free_table);
}

void
dy_latest_entries_finish (DyLatestEntries *latest)
{
  g_hash_table_unref (latest->by_era);
}

/* Returns the entry of ACCOUNT in the given era, or NULL. */
static Latest *
find_in_era (const DyLatestEntries *latest, const char *account, uint64_t era)
{
  GHashTable *by_account = g_hash_table_lookup (latest->by_era, &era);
  return by_account ? g_hash_table_lookup (by_account, account) : NULL;
}

static Latest *
add_in_era (DyLatestEntries *latest, const char *account, uint64_t era)
{
  GHashTable *by_account = g_hash_table_lookup (latest->by_era, &era);
  if (!by_account)
    {
      by_account = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_latest);
      g_hash_table_insert (latest->by_era, g_memdup2 (&era, sizeof era), by_account);
    }
  Latest *added = g_new0 (Latest, 1);
  dy_ledger_entry_init (&added->entry);
  g_hash_table_insert (by_account, g_strdup (account), added);
  return added;
}

void
dy_latest_entries_take (DyLatestEntries *latest,
                        const char *account,
                        uint64_t version,
                        const DyLedgerEntry *entry)
{
  uint64_t era = dy_store_version_era (version);
  Latest *known = find_in_era (latest, account, era);
  if (known && known->version >= version)
    return;
  if (!known)
    known = add_in_era (latest, account, era);
  known->version = version;
  dy_ledger_entry_copy (&known->entry, entry);
}

const DyLedgerEntry *
dy_latest_entries_find (const DyLatestEntries *latest,
                        const char *account,
                        uint64_t era,
                        uint64_t *version)
{
  const Latest *known = find_in_era (latest, account, era);
  if (known)
    *version = known->version;
  return known ? &known->entry : NULL;
}

const DyLedgerEntry *
dy_latest_entries_find_before (const DyLatestEntries *latest, const char *account, uint64_t era)
{
  const Latest *found = NULL;
  GHashTableIter iter;
  gpointer key;
  g_hash_table_iter_init (&iter, latest->by_era);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      const Latest *known = find_in_era (latest, account, *(const uint64_t *) key);
      if (*(const uint64_t *) key < era && known && (!found || known->version > found->version))
        found = known;
    }
  return found ? &found->entry : NULL;
}

void
dy_latest_entries_visit (
    const DyLatestEntries *latest,
    void (*visit) (void *ctx, const char *account, uint64_t version, const DyLedgerEntry *entry),
    void *ctx)
{
  GHashTableIter eras;
  GHashTableIter iter;
  gpointer by_account;
  gpointer account;
  gpointer value;
  g_hash_table_iter_init (&eras, latest->by_era);
  while (g_hash_table_iter_next (&eras, NULL, &by_account))
    {
      g_hash_table_iter_init (&iter, by_account);
      while (g_hash_table_iter_next (&iter, &account, &value))
        visit (ctx, account, ((const Latest *) value)->version, &((const Latest *) value)->entry);
    }
}
