#include "core/restore_check.h"

enum
{
  ABSENCE_US
  = 5 * 1000 * 1000, /* time without a heartbeat after which a router is not waited for */
};

void
dy_restore_check_init (DyRestoreCheck *check)
{
  check->reports = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
dy_restore_check_finish (DyRestoreCheck *check)
{
  g_hash_table_unref (check->reports);
}

void
dy_restore_check_take (DyRestoreCheck *check, const char *name, const DyRestoreReport *report)
{
  g_hash_table_insert (check->reports, g_strdup (name), g_memdup2 (report, sizeof *report));
}

static bool
is_clear (const DyRestoreReport *report, uint64_t era)
{
  return report->era >= era && report->reasserted;
}

bool
dy_restore_check_complete (const DyRestoreCheck *check,
                           const DyRestoreReport *own,
                           const DyMembers *members,
                           int64_t now_us)
{
  bool was_there = own->was_there;
  GHashTableIter iter;
  gpointer name;
  gpointer value;
  if (!is_clear (own, own->era))
    return false;
  g_hash_table_iter_init (&iter, members->by_name);
  while (g_hash_table_iter_next (&iter, &name, &value))
    {
      const DyMember *member = value;
      const DyRestoreReport *report = g_hash_table_lookup (check->reports, name);
      if (member->incarnation_id == 0 && now_us - member->last_heartbeat_us > ABSENCE_US)
        continue;
      if (member->incarnation_id == 0 || !report || report->incarnation_id != member->incarnation_id
          || !is_clear (report, own->era))
        return false;
      was_there = was_there || report->was_there;
    }
  return was_there;
}
