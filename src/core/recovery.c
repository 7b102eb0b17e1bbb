#include "core/recovery.h"

#include <string.h>
#include <xxhash.h>

static guint
hash_recovery (gconstpointer key)
{
  const DyRecovery *recovery = key;
  return (guint) XXH3_64bits_withSeed (recovery->account, strlen (recovery->account),
                                       recovery->holder_id);
}

static gboolean
equal_recovery (gconstpointer a, gconstpointer b)
{
  const DyRecovery *x = a;
  const DyRecovery *y = b;
  return x->holder_id == y->holder_id && strcmp (x->account, y->account) == 0;
}

static void
free_recovery (gpointer data)
{
  DyRecovery *recovery = data;
  g_array_unref (recovery->totals);
  g_hash_table_unref (recovery->reported_ids);
  g_hash_table_unref (recovery->listed);
  g_free (recovery);
}

/* Adds TOKENS to the totals of an origin router. Several routers may report the holder's own
 * requests; the highest sum counts. */
static void
add_total (DyRecovery *recovery, uint64_t origin_id, int64_t tokens)
{
  DyLedgerPart part
      = { .holder_id = recovery->holder_id, .origin_id = origin_id, .settled_tokens = tokens };
  if (tokens > 0)
    g_array_append_val (recovery->totals, part);
}

void
dy_recoveries_init (DyRecoveries *recoveries, int64_t delay_us)
{
  recoveries->table = g_hash_table_new_full (hash_recovery, equal_recovery, free_recovery, NULL);
  recoveries->delay_us = delay_us;
}

void
dy_recoveries_finish (DyRecoveries *recoveries)
{
  g_hash_table_unref (recoveries->table);
}

DyRecovery *
dy_recoveries_find (const DyRecoveries *recoveries, uint64_t holder_id, const char *account)
{
  DyRecovery key = { .holder_id = holder_id };
  g_strlcpy (key.account, account, sizeof key.account);
  return g_hash_table_lookup (recoveries->table, &key);
}

DyRecovery *
dy_recoveries_get (DyRecoveries *recoveries,
                   uint64_t holder_id,
                   const char *account,
                   int64_t now_us)
{
  DyRecovery *recovery = dy_recoveries_find (recoveries, holder_id, account);
  if (recovery)
    return recovery;
  recovery = g_new0 (DyRecovery, 1);
  recovery->holder_id = holder_id;
  g_strlcpy (recovery->account, account, sizeof recovery->account);
  recovery->totals = g_array_new (FALSE, FALSE, sizeof (DyLedgerPart));
  recovery->reported_ids = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  recovery->listed = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  recovery->started_us = now_us;
  recovery->asked_us = INT64_MIN / 2;
  g_hash_table_add (recoveries->table, recovery);
  return recovery;
}

void
dy_recoveries_remove (DyRecoveries *recoveries, DyRecovery *recovery)
{
  g_hash_table_remove (recoveries->table, recovery);
}

void
dy_recovery_report (DyRecovery *recovery,
                    uint64_t origin_id,
                    int64_t charged_tokens,
                    int64_t replicated_tokens,
                    bool was_present,
                    bool is_witness)
{
  if (dy_recovery_has_reported (recovery, origin_id))
    return;
  g_hash_table_add (recovery->reported_ids, g_memdup2 (&origin_id, sizeof origin_id));
  recovery->uncertain = recovery->uncertain || !was_present;
  recovery->witnessed = recovery->witnessed || is_witness;
  add_total (recovery, origin_id, charged_tokens);
  add_total (recovery, recovery->holder_id, replicated_tokens);
}

bool
dy_recovery_has_reported (const DyRecovery *recovery, uint64_t origin_id)
{
  return g_hash_table_contains (recovery->reported_ids, &origin_id);
}

void
dy_recovery_update_members (DyRecovery *recovery, const DyMembers *members)
{
  GHashTableIter iter;
  gpointer name;
  g_hash_table_iter_init (&iter, recovery->listed);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    if (strcmp (name, recovery->holder_name) != 0 && !dy_members_find (members, name))
      recovery->uncertain = true;
  g_hash_table_iter_init (&iter, members->by_name);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    if (!g_hash_table_contains (recovery->listed, name))
      g_hash_table_add (recovery->listed, g_strdup (name));
}

bool
dy_recovery_complete (const DyRecoveries *recoveries,
                      const DyRecovery *recovery,
                      const DyMembers *members,
                      int64_t now_us)
{
  GHashTableIter iter;
  gpointer value;
  if (now_us - recovery->started_us < recoveries->delay_us)
    return false;
  g_hash_table_iter_init (&iter, members->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const DyMember *member = value;
      /* The holder replicated the charges for its own requests to other routers. */
      if (strcmp (member->name, recovery->holder_name) == 0)
        continue;
      if (member->incarnation_id == 0
          || !dy_recovery_has_reported (recovery, member->incarnation_id))
        return false;
    }
  return true;
}
