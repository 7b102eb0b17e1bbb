#include "services/endpoints/reachability.h"

#include "kernel/error.h"
#include "kernel/log.h"

#include <string.h>

#define REACH_KEY "reach"

static const double TICK_S = 0.05;
/* Of a probe. Packets wait for half a second where the link of the router's VM is full. */
static const double CONNECT_TIMEOUT_S = 0.9;

static int64_t
now_us (const DyReachability *reachability)
{
  return dy_kernel_now_us (reachability->kernel);
}

/* Tells the router on LINK, or all if it is 0, whether this one is out or stops. */
static void
send_state (const DyReachability *reachability, uint64_t link, bool asks)
{
  const DyKernel *kernel = reachability->kernel;
  json_t *root = json_pack ("{s:s, s:b, s:b}", "node", kernel->settings->node_name, "out",
                            reachability->reach.is_out || kernel->draining, "asks", asks);
  char *text = json_dumps (root, JSON_COMPACT);
  if (link)
    dy_peers_reply_object (reachability->peers, link, REACH_KEY, text);
  else
    dy_peers_send_object (reachability->peers, NULL, REACH_KEY, text);
  free (text);
  json_decref (root);
}

static void
report_change (DyReachability *reachability)
{
  bool out = reachability->reach.is_out;
  dy_log (out ? DY_EVENT_OUT_OF_REACH : DY_EVENT_REACHES_AGAIN, "failed=%u",
          g_hash_table_size (reachability->reach.failed));
  dy_counters_set (&reachability->kernel->counters, DY_COUNTER_OUT_OF_REACH, out);
  send_state (reachability, 0, out);
}

void
dy_reachability_record_failure (DyReachability *reachability,
                                const char *endpoint,
                                DyReachFailureKind kind,
                                int64_t begun_us)
{
  static const char *const kinds[] = { "refused", "unmade", "silent" };
  uint32_t n = g_hash_table_size (reachability->directory->placement.by_id);
  dy_log (DY_EVENT_REACH_FAILED, "endpoint=%s kind=%s ms=%" G_GINT64_FORMAT, endpoint, kinds[kind],
          (now_us (reachability) - begun_us) / 1000);
  if (dy_reach_record_failure (&reachability->reach, endpoint, kind, n, now_us (reachability)))
    report_change (reachability);
}

void
dy_reachability_record_success (DyReachability *reachability)
{
  if (dy_reach_record_success (&reachability->reach, now_us (reachability)))
    report_change (reachability);
}

void
dy_reachability_record_silence (DyReachability *reachability)
{
  dy_reach_record_silence (&reachability->reach, now_us (reachability));
}

static void
on_probed (void *ctx, DyLinkProbeResult result, int64_t started_us)
{
  static const DyReachFailureKind kinds[] = { [DY_LINK_PROBE_FAILED] = DY_REACH_REFUSED,
                                              [DY_LINK_PROBE_UNMADE] = DY_REACH_UNMADE,
                                              [DY_LINK_PROBE_SILENT] = DY_REACH_SILENT };
  DyReachProbe *slot = ctx;
  char *id = g_steal_pointer (&slot->endpoint_id);
  if (result == DY_LINK_PROBE_WORKS)
    dy_reachability_record_success (slot->reachability);
  else
    dy_reachability_record_failure (slot->reachability, id, kinds[result], started_us);
  g_free (id);
}

static bool
has_failed_or_is_probed (const void *ctx, const char *id)
{
  const DyReachability *reachability = ctx;
  for (uint32_t i = 0; i < DY_REACH_N_PROBES; i++)
    if (g_strcmp0 (reachability->probes[i].endpoint_id, id) == 0)
      return true;
  return dy_reach_has_failed (&reachability->reach, id);
}

/* Returns what the next probe may use, or NULL. Probes wait for connections side by side, and for
 * answers one after the other: endpoints may be silent for a while. */
static DyReachProbe *
find_free_probe (DyReachability *reachability)
{
  DyReachProbe *found = NULL;
  for (uint32_t i = 0; i < DY_REACH_N_PROBES; i++)
    {
      DyReachProbe *slot = &reachability->probes[i];
      if (slot->probe.fd < 0)
        found = slot;
      else if (slot->probe.connected)
        return NULL;
    }
  return found;
}

static void
probe (DyReachability *reachability)
{
  DyReachProbe *slot = find_free_probe (reachability);
  if (!slot || !dy_reach_take_probe (&reachability->reach, now_us (reachability)))
    return;
  const DyPlacementEndpoint *endpoint = dy_placement_choose_for_probe (
      &reachability->directory->placement, has_failed_or_is_probed, reachability);
  if (endpoint
      && dy_link_probe_start (&slot->probe, dy_placement_endpoint_address (endpoint),
                              dy_directory_health_path (reachability->directory, endpoint),
                              reachability->source))
    slot->endpoint_id = g_strdup (dy_placement_endpoint_id (endpoint));
}

static void
on_timer (struct ev_loop *loop, ev_timer *w, int events)
{
  DyReachability *reachability = w->data;
  (void) loop;
  (void) events;
  probe (reachability);
  if (dy_reach_take_question (&reachability->reach, now_us (reachability)))
    send_state (reachability, 0, true);
}

static void
on_message (void *ctx, uint64_t link, const DyMessage *message)
{
  DyReachability *reachability = ctx;
  if (message->type != DY_MESSAGE_CONFIG || strcmp (message->u.config.key, REACH_KEY) != 0
      || !message->u.config.text)
    return;
  json_t *root = json_loadb (message->u.config.text, message->u.config.n_text, 0, NULL);
  const char *node = json_string_value (json_object_get (root, "node"));
  if (node)
    dy_reach_record_peer (&reachability->reach, node, json_is_true (json_object_get (root, "out")),
                          now_us (reachability));
  if (node && json_is_true (json_object_get (root, "asks")))
    send_state (reachability, link, false);
  json_decref (root);
}

static const DyPeersWatcher peers_watcher = { .message = on_message };

static int
service_start (void *self, DyKernel *kernel)
{
  DyReachability *reachability = self;
  reachability->kernel = kernel;
  reachability->directory = dy_kernel_find (kernel, DY_SERVICE_DIRECTORY);
  reachability->peers = dy_kernel_find (kernel, DY_SERVICE_PEERS);
  reachability->source = kernel->settings->connect_from;
  dy_reach_init (&reachability->reach, &dy_reach_policy);
  for (uint32_t i = 0; i < DY_REACH_N_PROBES; i++)
    {
      DyReachProbe *slot = &reachability->probes[i];
      slot->reachability = reachability;
      dy_link_probe_init (&slot->probe, kernel->loop, CONNECT_TIMEOUT_S, on_probed, slot);
    }
  dy_peers_watch (reachability->peers, &peers_watcher, reachability);
  ev_timer_init (&reachability->timer, on_timer, TICK_S, TICK_S);
  reachability->timer.data = reachability;
  ev_timer_start (kernel->loop, &reachability->timer);
  return DY_OK;
}

static void
service_drain (void *self)
{
  send_state (self, 0, false);
}

static void
service_stop (void *self)
{
  DyReachability *reachability = self;
  ev_timer_stop (reachability->kernel->loop, &reachability->timer);
  for (uint32_t i = 0; i < DY_REACH_N_PROBES; i++)
    {
      dy_link_probe_finish (&reachability->probes[i].probe);
      g_free (reachability->probes[i].endpoint_id);
    }
  dy_reach_finish (&reachability->reach);
}

static json_t *
service_dump (void *self)
{
  const DyReachability *reachability = self;
  return json_pack ("{s:b, s:i, s:I}", "out", reachability->reach.is_out, "failed",
                    (int) g_hash_table_size (reachability->reach.failed), "since_ms",
                    (json_int_t) ((now_us (reachability) - reachability->reach.changed_us) / 1000));
}

void
dy_reachability_add_service (DyKernel *kernel, DyReachability *reachability)
{
  DyService service = { .name = DY_SERVICE_REACHABILITY,
                        .self = reachability,
                        .start = service_start,
                        .drain = service_drain,
                        .stop = service_stop,
                        .dump = service_dump };
  dy_kernel_add (kernel, &service);
}

bool
dy_reachability_may_be_out (const DyReachability *reachability)
{
  return reachability->reach.is_out;
}

void
dy_reachability_record_refusal (DyReachability *reachability, const char *peer)
{
  dy_reach_record_peer (&reachability->reach, peer, true, now_us (reachability));
}

typedef struct
{
  const DyReachability *reachability;
  const char *except; /* NULL: none */
  bool loaded;        /* routers that are to get no new duties may be chosen, too */
} PeerChoice;

static bool
is_usable (void *ctx, const char *name)
{
  const PeerChoice *choice = ctx;
  const DyReachability *reachability = choice->reachability;
  const DyPeers *peers = reachability->peers;
  const DyMember *member = dy_members_find (&peers->members, name);
  return member && g_strcmp0 (name, choice->except) != 0
         && dy_members_is_live (&peers->members, member, now_us (reachability))
         && (choice->loaded || !dy_members_is_loaded (member, now_us (reachability)))
         && dy_peers_takes (peers, dy_peers_link_to (peers, name), 0);
}

const char *
dy_reachability_choose_peer (const DyReachability *reachability, const char *avoid)
{
  const PeerChoice choices[] = { { reachability, avoid, false },
                                 { reachability, avoid, true },
                                 { reachability, NULL, true } };
  const char *peer = NULL;
  for (size_t i = 0; i < G_N_ELEMENTS (choices) && !peer; i++)
    peer = dy_reach_choose_peer (&reachability->reach, is_usable, (void *) &choices[i],
                                 now_us (reachability));
  return peer;
}

bool
dy_reachability_is_out (const DyReachability *reachability)
{
  return reachability->reach.is_out
         && (reachability->reach.is_certain || dy_reachability_choose_peer (reachability, NULL));
}
