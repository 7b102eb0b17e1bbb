#include "core/resend_share.h"

#include <string.h>

typedef struct
{
  int64_t heard_us; /* first heartbeat */
  int64_t last_us;  /* latest heartbeat */
  bool within;      /* a heartbeat said that what it spent is within its part */
} Heard;

void
dy_resend_share_init (DyResendShare *share,
                      const DyMembers *members,
                      int64_t window_us,
                      int64_t list_limit_us,
                      int64_t now_us)
{
  memset (share, 0, sizeof *share);
  share->members = members;
  share->window_us = window_us;
  share->list_limit_us = list_limit_us;
  share->started_us = now_us;
  share->heard = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
dy_resend_share_finish (DyResendShare *share)
{
  g_hash_table_unref (share->heard);
  memset (share, 0, sizeof *share);
}

void
dy_resend_share_restart (DyResendShare *share)
{
  share->listed = false;
  share->begun = false;
  g_hash_table_remove_all (share->heard);
}

void
dy_resend_share_record_list (DyResendShare *share, bool lists_self, int64_t asked_us)
{
  if (!lists_self)
    return;
  if (!share->listed)
    share->listed_us = asked_us;
  share->listed = true;
  share->list_us = asked_us;
}

void
dy_resend_share_record_heartbeat (DyResendShare *share,
                                  const char *name,
                                  bool within,
                                  int64_t now_us)
{
  Heard *heard = g_hash_table_lookup (share->heard, name);
  if (!heard)
    {
      heard = g_new0 (Heard, 1);
      heard->heard_us = now_us;
      g_hash_table_insert (share->heard, g_strdup (name), heard);
    }
  heard->last_us = now_us;
  heard->within = heard->within || within;
}

bool
dy_resend_share_knows_own (const DyResendShare *share, int64_t now_us)
{
  return share->is_first || now_us - share->started_us >= share->window_us;
}

/* Returns whether the router NAME counts this one, and what it spent before is out of the window.
 */
static bool
makes_room (const DyResendShare *share, const char *name, int64_t now_us)
{
  const Heard *heard = g_hash_table_lookup (share->heard, name);
  /* A later process of that router may count fewer unless it reads a list with this one in it. */
  bool counts = heard && heard->last_us >= share->listed_us;
  if (counts && (heard->within || now_us - heard->heard_us >= share->window_us))
    return true;
  return now_us - share->listed_us >= share->list_limit_us + share->window_us;
}

static bool
may_begin (const DyResendShare *share, int64_t now_us)
{
  GHashTableIter iter;
  gpointer name;
  if (!dy_resend_share_knows_own (share, now_us))
    return false;
  g_hash_table_iter_init (&iter, share->members->seen);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    if (!makes_room (share, name, now_us))
      return false;
  return true;
}

uint32_t
dy_resend_share_parts (DyResendShare *share, int64_t now_us)
{
  bool is_listed = share->listed && now_us - share->list_us <= share->list_limit_us;
  if (!is_listed && !share->is_alone)
    return 0;
  share->begun = share->begun || may_begin (share, now_us);
  return share->begun ? dy_members_possible_count (share->members) : 0;
}
