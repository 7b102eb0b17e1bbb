#include "services/endpoints/endpoint_limits.h"

#include "kernel/error.h"
#include "kernel/log.h"

#include <jansson.h>
#include <string.h>

#define LIMITS_PREFIX "limits/"

static const double SWEEP_S = 2.0;

static int64_t
now_us (const DyEndpointLimits *limits)
{
  return dy_kernel_now_us (limits->kernel);
}

static DyLimitPlace
place_of_router (void *ctx, const char *endpoint)
{
  const DyEndpointLimits *limits = ctx;
  const DyMembers *members = &limits->directory->peers->members;
  return (DyLimitPlace){ .rank = dy_members_rank (members, endpoint, now_us (limits)),
                         .n_routers = dy_members_count (members, now_us (limits)),
                         .possible_rank = dy_members_possible_rank (members, endpoint),
                         .n_possible = dy_members_possible_count (members) };
}

static bool
allows (void *ctx, const char *endpoint, int64_t now)
{
  DyEndpointLimits *limits = ctx;
  return dy_limit_shares_allow (&limits->shares, endpoint, now);
}

static bool
is_due (void *ctx, const char *endpoint, int64_t now)
{
  DyEndpointLimits *limits = ctx;
  return dy_limit_shares_due (&limits->shares, endpoint, now);
}

static void
record_sent (void *ctx, const char *endpoint, int64_t now)
{
  DyEndpointLimits *limits = ctx;
  dy_limit_shares_record_sent (&limits->shares, endpoint, now);
}

static const DyPlacementGate gate
    = { .allows = allows, .is_due = is_due, .record_sent = record_sent };

/* Handles a change of the number of limits. Without any, placement need not ask. */
static void
update_gate (DyEndpointLimits *limits)
{
  guint n = g_hash_table_size (limits->shares.limits);
  if (n > 0)
    dy_placement_add_gate (&limits->directory->placement, &gate, limits);
  else
    dy_placement_remove_gate (&limits->directory->placement, &gate);
  dy_counters_set (&limits->kernel->counters, DY_COUNTER_LIMITED_ENDPOINTS, n);
}

/* Handles that LIMIT is new or has changed. */
static void
take_change (DyEndpointLimits *limits, const DyLimit *limit)
{
  update_gate (limits);
  dy_log (DY_EVENT_LIMIT_KNOWN, "limited=%s per_1000_s=%" G_GINT64_FORMAT " source=%s",
          limit->endpoint, limit->per_1000_s, limit->from_peer ? "peer" : "own");
}

/* Handles that ENDPOINT has no limit any more. */
static void
take_end (DyEndpointLimits *limits, const char *endpoint, const char *reason)
{
  update_gate (limits);
  dy_log (DY_EVENT_LIMIT_ENDED, "limited=%s reason=%s", endpoint, reason);
}

/* Reports LIMIT to the router NAME, or to all if it is NULL. */
static void
send_limit (const DyEndpointLimits *limits, const char *name, const DyLimit *limit)
{
  json_int_t age_ms = (now_us (limits) - limit->confirmed_us) / 1000;
  json_t *root = json_pack ("{s:I, s:I, s:I}", "per_1000_s", (json_int_t) limit->per_1000_s,
                            "age_ms", age_ms, "handovers", (json_int_t) limit->n_handovers);
  char *text = json_dumps (root, JSON_COMPACT);
  char *key = g_strconcat (LIMITS_PREFIX, limit->endpoint, NULL);
  dy_peers_send_object (limits->directory->peers, name, key, text);
  g_free (key);
  free (text);
  json_decref (root);
}

static void
broadcast_end (const DyEndpointLimits *limits, const char *endpoint)
{
  char *key = g_strconcat (LIMITS_PREFIX, endpoint, NULL);
  dy_peers_send_object (limits->directory->peers, NULL, key, NULL);
  g_free (key);
}

void
dy_endpoint_limits_report (DyEndpointLimits *limits,
                           const char *endpoint,
                           int64_t per_1000_s,
                           int64_t sent_us)
{
  DyLimitShares *shares = &limits->shares;
  if (per_1000_s == 0)
    {
      if (!dy_limit_shares_end (shares, endpoint, sent_us))
        return;
      take_end (limits, endpoint, "answer");
      broadcast_end (limits, endpoint);
      return;
    }
  bool changed = dy_limit_shares_set (shares, endpoint, per_1000_s, now_us (limits));
  const DyLimit *limit = dy_limit_shares_find (shares, endpoint);
  if (changed)
    take_change (limits, limit);
  if (dy_limit_shares_announce (shares, endpoint, now_us (limits)))
    send_limit (limits, NULL, limit);
}

static void
take_limit (DyEndpointLimits *limits, const char *endpoint, const char *text, size_t n)
{
  json_t *root = json_loadb (text, n, 0, NULL);
  int64_t age_ms = json_integer_value (json_object_get (root, "age_ms"));
  DyLimitReport report
      = { .per_1000_s = json_integer_value (json_object_get (root, "per_1000_s")),
          .age_us = CLAMP (age_ms, 0, INT32_MAX) * INT64_C (1000),
          .n_handovers = json_integer_value (json_object_get (root, "handovers")) };
  json_decref (root);
  if (report.per_1000_s <= 0 || report.n_handovers < 0 || report.n_handovers > INT32_MAX)
    return;
  if (dy_limit_shares_take (&limits->shares, endpoint, &report, now_us (limits)))
    take_change (limits, dy_limit_shares_find (&limits->shares, endpoint));
  /* The sender reported it to all routers. */
  dy_limit_shares_announce (&limits->shares, endpoint, now_us (limits));
}

static void
on_message (void *ctx, uint64_t link, const DyMessage *message)
{
  DyEndpointLimits *limits = ctx;
  const char *key = message->u.config.key;
  (void) link;
  if (message->type != DY_MESSAGE_CONFIG || !g_str_has_prefix (key, LIMITS_PREFIX))
    return;
  const char *endpoint = key + strlen (LIMITS_PREFIX);
  if (message->u.config.text)
    take_limit (limits, endpoint, message->u.config.text, message->u.config.n_text);
  else if (dy_limit_shares_remove (&limits->shares, endpoint))
    take_end (limits, endpoint, "peer");
}

static void
on_peer_up (void *ctx, const char *name)
{
  const DyEndpointLimits *limits = ctx;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, limits->shares.limits);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    send_limit (limits, name, value);
}

static const DyPeersWatcher peers_watcher = { .message = on_message, .up = on_peer_up };

static void
on_sweep (struct ev_loop *loop, ev_timer *w, int events)
{
  DyEndpointLimits *limits = w->data;
  GHashTableIter iter;
  gpointer value;
  (void) loop;
  (void) events;
  GPtrArray *removed = g_ptr_array_new_with_free_func (g_free);
  g_hash_table_iter_init (&iter, limits->shares.limits);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const DyLimit *limit = value;
      if (!g_hash_table_contains (limits->directory->endpoints, limit->endpoint))
        g_ptr_array_add (removed, g_strdup (limit->endpoint));
    }
  for (guint i = 0; i < removed->len; i++)
    {
      dy_limit_shares_remove (&limits->shares, g_ptr_array_index (removed, i));
      take_end (limits, g_ptr_array_index (removed, i), "removed");
    }
  g_ptr_array_unref (removed);
}

static int
service_start (void *self, DyKernel *kernel)
{
  DyEndpointLimits *limits = self;
  limits->kernel = kernel;
  limits->directory = dy_kernel_find (kernel, DY_SERVICE_DIRECTORY);
  dy_limit_shares_init (&limits->shares, &dy_limit_policy, place_of_router, limits);
  dy_peers_watch (limits->directory->peers, &peers_watcher, limits);
  ev_timer_init (&limits->sweep, on_sweep, SWEEP_S, SWEEP_S);
  limits->sweep.data = limits;
  ev_timer_start (kernel->loop, &limits->sweep);
  return DY_OK;
}

static void
service_stop (void *self)
{
  DyEndpointLimits *limits = self;
  ev_timer_stop (limits->kernel->loop, &limits->sweep);
  dy_limit_shares_finish (&limits->shares);
}

static json_t *
service_dump (void *self)
{
  const DyEndpointLimits *limits = self;
  GHashTableIter iter;
  gpointer value;
  json_t *list = json_array ();
  g_hash_table_iter_init (&iter, limits->shares.limits);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const DyLimit *limit = value;
      json_array_append_new (
          list, json_pack ("{s:s, s:I, s:I, s:I}", "endpoint", limit->endpoint, "per_1000_s",
                           (json_int_t) limit->per_1000_s, "share_per_1000_s",
                           (json_int_t) limit->share_per_1000_s, "age_ms",
                           (json_int_t) ((now_us (limits) - limit->confirmed_us) / 1000)));
    }
  const DyMembers *members = &limits->directory->peers->members;
  return json_pack ("{s:o, s:I, s:I}", "limits", list, "routers_heard",
                    (json_int_t) dy_members_count (members, now_us (limits)), "routers_possible",
                    (json_int_t) dy_members_possible_count (members));
}

void
dy_endpoint_limits_add_service (DyKernel *kernel, DyEndpointLimits *limits)
{
  DyService service = { .name = DY_SERVICE_ENDPOINT_LIMITS,
                        .self = limits,
                        .start = service_start,
                        .stop = service_stop,
                        .dump = service_dump };
  dy_kernel_add (kernel, &service);
}

void
dy_endpoint_limits_log_skip (const DyEndpointLimits *limits,
                             const char *request_id,
                             const char *endpoint)
{
  const DyLimit *limit = dy_limit_shares_find (&limits->shares, endpoint);
  if (!limit)
    return;
  dy_counters_add (&limits->kernel->counters, DY_COUNTER_LIMIT_SKIPS, 1);
  dy_log (DY_EVENT_LIMIT_APPLIED,
          "request=%s limited=%s per_1000_s=%" G_GINT64_FORMAT " share_per_1000_s=%" G_GINT64_FORMAT
          " age_ms=%" G_GINT64_FORMAT,
          request_id, endpoint, limit->per_1000_s, limit->share_per_1000_s,
          (now_us (limits) - limit->confirmed_us) / 1000);
}
