#include "core/usage.h"

#include <string.h>
#include <xxhash.h>

static guint
hash_usage (gconstpointer key)
{
  const DyUsage *usage = key;
  return (guint) XXH3_64bits_withSeed (usage->account, strlen (usage->account), usage->holder_id);
}

static gboolean
equal_usage (gconstpointer a, gconstpointer b)
{
  const DyUsage *x = a;
  const DyUsage *y = b;
  return x->holder_id == y->holder_id && strcmp (x->account, y->account) == 0;
}

void
dy_usages_init (DyUsages *usages)
{
  usages->table = g_hash_table_new_full (hash_usage, equal_usage, g_free, NULL);
  usages->present_ids = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
}

void
dy_usages_finish (DyUsages *usages)
{
  g_hash_table_unref (usages->table);
  g_hash_table_unref (usages->present_ids);
}

DyUsage *
dy_usages_find (const DyUsages *usages, uint64_t holder_id, const char *account)
{
  DyUsage key = { .holder_id = holder_id };
  g_strlcpy (key.account, account, sizeof key.account);
  return g_hash_table_lookup (usages->table, &key);
}

DyUsage *
dy_usages_get (DyUsages *usages, uint64_t holder_id, const char *account)
{
  DyUsage *usage = dy_usages_find (usages, holder_id, account);
  if (usage)
    return usage;
  usage = g_new0 (DyUsage, 1);
  usage->holder_id = holder_id;
  g_strlcpy (usage->account, account, sizeof usage->account);
  g_hash_table_add (usages->table, usage);
  dy_usages_add_present (usages, holder_id);
  return usage;
}

void
dy_usages_remove (DyUsages *usages, DyUsage *usage)
{
  g_hash_table_remove (usages->table, usage);
}

void
dy_usages_add_present (DyUsages *usages, uint64_t id)
{
  if (!g_hash_table_contains (usages->present_ids, &id))
    g_hash_table_add (usages->present_ids, g_memdup2 (&id, sizeof id));
}

bool
dy_usages_was_present (const DyUsages *usages, uint64_t id)
{
  return g_hash_table_contains (usages->present_ids, &id);
}
