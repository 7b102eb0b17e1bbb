#include "core/reach.h"

#include <string.h>

const DyReachPolicy dy_reach_policy = {
  .min_failed = 3,
  .window_us = 3000 * 1000,
  .probe_interval_us = 150 * 1000,
  .ask_interval_us = 500 * 1000,
  .peer_valid_us = 1500 * 1000,
};

typedef struct
{
  bool is_out;
  int64_t heard_us;
  uint32_t n_relays; /* open ones of this router */
} Peer;

void
dy_reach_init (DyReach *reach, const DyReachPolicy *policy)
{
  memset (reach, 0, sizeof *reach);
  reach->policy = *policy;
  reach->silent_us = INT64_MIN / 2;
  reach->probed_us = INT64_MIN / 2;
  reach->asked_us = INT64_MIN / 2;
  reach->failed = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  reach->peers = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
dy_reach_finish (DyReach *reach)
{
  g_hash_table_unref (reach->failed);
  g_hash_table_unref (reach->peers);
}

static void
forget_old_failures (DyReach *reach, int64_t now_us)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, reach->failed);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (now_us - ((const DyReachFailure *) value)->time_us > reach->policy.window_us)
      g_hash_table_iter_remove (&iter);
}

void
dy_reach_record_silence (DyReach *reach, int64_t now_us)
{
  reach->silent_us = now_us;
}

/* Returns whether there is a sign that the endpoints may be out of reach. */
static bool
is_suspect (const DyReach *reach, int64_t now_us)
{
  return reach->is_out || g_hash_table_size (reach->failed) > 0
         || now_us - reach->silent_us <= reach->policy.window_us;
}

static uint32_t
count_failed (const DyReach *reach, DyReachFailureKind kind)
{
  uint32_t n = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, reach->failed);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    n += ((const DyReachFailure *) value)->kind == kind;
  return n;
}

bool
dy_reach_record_failure (DyReach *reach,
                         const char *endpoint,
                         DyReachFailureKind kind,
                         uint32_t n_endpoints,
                         int64_t now_us)
{
  DyReachFailure failure = { .kind = kind, .time_us = now_us };
  forget_old_failures (reach, now_us);
  g_hash_table_insert (reach->failed, g_strdup (endpoint), g_memdup2 (&failure, sizeof failure));
  uint32_t n_needed = MAX (MIN (reach->policy.min_failed, n_endpoints), 1);
  uint32_t n_refused = count_failed (reach, DY_REACH_REFUSED);
  reach->is_certain
      = reach->is_certain || n_refused + count_failed (reach, DY_REACH_UNMADE) >= n_needed;
  if (reach->is_out || g_hash_table_size (reach->failed) < n_needed)
    return false;
  reach->is_out = true;
  reach->changed_us = now_us;
  return true;
}

bool
dy_reach_record_success (DyReach *reach, int64_t now_us)
{
  bool was_out = reach->is_out;
  g_hash_table_remove_all (reach->failed);
  reach->silent_us = INT64_MIN / 2;
  reach->is_out = false;
  reach->is_certain = false;
  if (was_out)
    reach->changed_us = now_us;
  return was_out;
}

bool
dy_reach_take_probe (DyReach *reach, int64_t now_us)
{
  if (!reach->is_out)
    forget_old_failures (reach, now_us);
  if (!is_suspect (reach, now_us) || now_us - reach->probed_us < reach->policy.probe_interval_us)
    return false;
  reach->probed_us = now_us;
  return true;
}

bool
dy_reach_has_failed (const DyReach *reach, const char *endpoint)
{
  return g_hash_table_contains (reach->failed, endpoint);
}

bool
dy_reach_take_question (DyReach *reach, int64_t now_us)
{
  if (!is_suspect (reach, now_us) || now_us - reach->asked_us < reach->policy.ask_interval_us)
    return false;
  reach->asked_us = now_us;
  return true;
}

static Peer *
get_peer (DyReach *reach, const char *name)
{
  Peer *peer = g_hash_table_lookup (reach->peers, name);
  if (peer)
    return peer;
  peer = g_new0 (Peer, 1);
  peer->is_out = true;
  peer->heard_us = INT64_MIN / 2;
  g_hash_table_insert (reach->peers, g_strdup (name), peer);
  return peer;
}

void
dy_reach_record_peer (DyReach *reach, const char *name, bool is_out, int64_t now_us)
{
  Peer *peer = get_peer (reach, name);
  peer->is_out = is_out;
  peer->heard_us = now_us;
}

const char *
dy_reach_choose_peer (const DyReach *reach,
                      bool (*usable) (void *ctx, const char *name),
                      void *ctx,
                      int64_t now_us)
{
  const char *chosen = NULL;
  uint32_t n_relays = 0;
  GHashTableIter iter;
  gpointer name;
  gpointer value;
  g_hash_table_iter_init (&iter, reach->peers);
  while (g_hash_table_iter_next (&iter, &name, &value))
    {
      const Peer *peer = value;
      if (peer->is_out || now_us - peer->heard_us > reach->policy.peer_valid_us
          || (chosen && peer->n_relays >= n_relays) || !usable (ctx, name))
        continue;
      chosen = name;
      n_relays = peer->n_relays;
    }
  return chosen;
}

void
dy_reach_begin_relay (DyReach *reach, const char *name)
{
  get_peer (reach, name)->n_relays++;
}

void
dy_reach_end_relay (DyReach *reach, const char *name)
{
  Peer *peer = get_peer (reach, name);
  if (peer->n_relays > 0)
    peer->n_relays--;
}
