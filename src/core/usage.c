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
  usages->present = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
}

void
dy_usages_finish (DyUsages *usages)
{
  g_hash_table_unref (usages->table);
  g_hash_table_unref (usages->present);
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
  dy_usages_add_present (usages, holder_id, INT64_MAX);
  return usage;
}

void
dy_usages_remove (DyUsages *usages, DyUsage *usage)
{
  g_hash_table_remove (usages->table, usage);
}

static DyPresence *
get_presence (DyUsages *usages, uint64_t id)
{
  DyPresence *presence = g_hash_table_lookup (usages->present, &id);
  if (presence)
    return presence;
  presence = g_new0 (DyPresence, 1);
  presence->id = id;
  presence->seen_us = INT64_MAX;
  g_hash_table_insert (usages->present, &presence->id, presence);
  return presence;
}

void
dy_usages_add_present (DyUsages *usages, uint64_t id, int64_t seen_us)
{
  DyPresence *presence = get_presence (usages, id);
  presence->seen_us = MIN (presence->seen_us, seen_us);
}

void
dy_usages_add_unused (DyUsages *usages, uint64_t id)
{
  get_presence (usages, id)->seen_unused = true;
}

bool
dy_usages_was_present (const DyUsages *usages, uint64_t id)
{
  return g_hash_table_contains (usages->present, &id);
}

bool
dy_usages_is_witness (const DyUsages *usages, uint64_t id, int64_t before_us)
{
  const DyPresence *presence = g_hash_table_lookup (usages->present, &id);
  return presence && (presence->seen_unused || presence->seen_us <= before_us);
}
