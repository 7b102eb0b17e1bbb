#include "core/latest_entries.h"

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

void
dy_latest_entries_init (DyLatestEntries *latest)
{
  latest->by_account = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_latest);
}

void
dy_latest_entries_finish (DyLatestEntries *latest)
{
  g_hash_table_unref (latest->by_account);
}

void
dy_latest_entries_take (DyLatestEntries *latest,
                        const char *account,
                        uint64_t version,
                        const DyLedgerEntry *entry)
{
  Latest *known = g_hash_table_lookup (latest->by_account, account);
  if (known && known->version >= version)
    return;
  if (!known)
    {
      known = g_new0 (Latest, 1);
      dy_ledger_entry_init (&known->entry);
      g_hash_table_insert (latest->by_account, g_strdup (account), known);
    }
  known->version = version;
  dy_ledger_entry_copy (&known->entry, entry);
}

const DyLedgerEntry *
dy_latest_entries_find (const DyLatestEntries *latest, const char *account)
{
  const Latest *known = g_hash_table_lookup (latest->by_account, account);
  return known ? &known->entry : NULL;
}

void
dy_latest_entries_visit (
    const DyLatestEntries *latest,
    void (*visit) (void *ctx, const char *account, uint64_t version, const DyLedgerEntry *entry),
    void *ctx)
{
  GHashTableIter iter;
  gpointer account;
  gpointer value;
  g_hash_table_iter_init (&iter, latest->by_account);
  while (g_hash_table_iter_next (&iter, &account, &value))
    visit (ctx, account, ((const Latest *) value)->version, &((const Latest *) value)->entry);
}
