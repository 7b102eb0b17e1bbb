#include "services/gateway/gateway_crashes.h"

#include "kernel/log.h"

static const double DECIDE_INTERVAL_S = 0.05;
/* Of a probe. */
static const double CONNECT_TIMEOUT_S = 0.3;

/* What a crash would tell of the request. */
typedef struct
{
  char *request_id;
  uint64_t body_hash;
  bool had_output;
  bool is_new_connection;
  GArray *parts; /* of uint64_t: ids of the prompt's parts that may be the cause */
} Suspicion;

static void
free_suspicion (void *payload)
{
  Suspicion *suspicion = payload;
  g_array_unref (suspicion->parts);
  g_free (suspicion->request_id);
  g_free (suspicion);
}

static void
log_crash (const Suspicion *suspicion, const char *endpoint_id, DyEvidence evidence)
{
  static const char *const names[] = { [DY_EVIDENCE_LINK_WORKS] = "link_works",
                                       [DY_EVIDENCE_RESTARTED] = "restarted",
                                       [DY_EVIDENCE_ALIVE] = "alive",
                                       [DY_EVIDENCE_NONE] = "none" };
  const uint64_t *parts = (const uint64_t *) (const void *) suspicion->parts->data;
  GString *text = g_string_new (suspicion->parts->len ? NULL : "-");
  for (guint i = 0; i < suspicion->parts->len; i++)
    g_string_append_printf (text, "%s%" G_GINT64_MODIFIER "x", i ? "," : "", parts[i]);
  bool counts = evidence == DY_EVIDENCE_LINK_WORKS || evidence == DY_EVIDENCE_RESTARTED;
  dy_log (counts ? DY_EVENT_ENDPOINT_CRASHED : DY_EVENT_LINK_FAILED,
          "request=%s endpoint=%s output=%d parts=%s evidence=%s reused=%d", suspicion->request_id,
          endpoint_id, suspicion->had_output, text->str, names[evidence],
          !suspicion->is_new_connection);
  g_string_free (text, TRUE);
}

static void
on_decided (void *ctx, void *payload, const char *endpoint_id, DyEvidence evidence)
{
  DyGateway *gateway = ctx;
  Suspicion *suspicion = payload;
  log_crash (suspicion, endpoint_id, evidence);
  bool counts = evidence == DY_EVIDENCE_LINK_WORKS || evidence == DY_EVIDENCE_RESTARTED;
  if (counts && !suspicion->had_output)
    dy_part_blocks_report_crash (gateway->part_blocks, endpoint_id,
                                 (const uint64_t *) (const void *) suspicion->parts->data,
                                 suspicion->parts->len);
  if (evidence == DY_EVIDENCE_NONE)
    dy_request_blocks_withdraw (gateway->request_blocks, suspicion->body_hash, endpoint_id);
  free_suspicion (suspicion);
}

static const DyCrashEvidenceWatcher evidence_watcher
    = { .decided = on_decided, .free_payload = free_suspicion };

static void
on_probed (void *ctx, DyLinkProbeResult result, int64_t started_us)
{
  DyGateway *gateway = ctx;
  char *id = g_steal_pointer (&gateway->crash_probed_id);
  if (result == DY_LINK_PROBE_WORKS)
    dy_crash_evidence_link_works (&gateway->crash_evidence, started_us);
  /* One that accepted the connection is there, though its answer may be late. */
  dy_crash_evidence_probed (&gateway->crash_evidence, id,
                            result == DY_LINK_PROBE_WORKS || result == DY_LINK_PROBE_SILENT,
                            started_us);
  g_free (id);
}

static bool
has_failed (const void *ctx, const char *id)
{
  return dy_crash_evidence_has_failed (&((const DyGateway *) ctx)->crash_evidence, id);
}

/* Returns an endpoint to which a connection would tell a crash from another cause, or NULL. */
static const DyPlacementEndpoint *
choose_probed (DyGateway *gateway, int64_t now_us)
{
  const DyPlacement *placement = &gateway->directory->placement;
  const char *id = dy_crash_evidence_endpoint_to_probe (&gateway->crash_evidence, now_us);
  const DyPlacementEndpoint *endpoint = id ? dy_placement_find (placement, id) : NULL;
  if (endpoint)
    return endpoint;
  if (!dy_crash_evidence_needs_probe (&gateway->crash_evidence, now_us))
    return NULL;
  return dy_placement_choose_for_probe (placement, has_failed, gateway);
}

static void
probe_link (DyGateway *gateway, int64_t now_us)
{
  if (gateway->crash_probe.fd >= 0)
    return;
  const DyPlacementEndpoint *endpoint = choose_probed (gateway, now_us);
  if (!endpoint)
    return;
  g_free (gateway->crash_probed_id);
  gateway->crash_probed_id = g_strdup (dy_placement_endpoint_id (endpoint));
  dy_link_probe_start (&gateway->crash_probe, dy_placement_endpoint_address (endpoint),
                       dy_directory_health_path (gateway->directory, endpoint),
                       gateway->client.source);
}

static void
on_timer (struct ev_loop *loop, ev_timer *w, int events)
{
  DyGateway *gateway = w->data;
  int64_t now_us = dy_kernel_now_us (gateway->kernel);
  (void) events;
  if (dy_reachability_may_be_out (gateway->reachability))
    dy_crash_evidence_link_failed (&gateway->crash_evidence);
  dy_crash_evidence_tick (&gateway->crash_evidence, now_us);
  probe_link (gateway, now_us);
  if (gateway->crash_evidence.failures->len == 0)
    ev_timer_stop (loop, &gateway->crash_timer);
}

static void
on_endpoint_end (void *ctx, const char *id)
{
  DyGateway *gateway = ctx;
  dy_crash_evidence_restarted (&gateway->crash_evidence, id);
}

void
dy_gateway_crashes_init (DyGateway *gateway)
{
  dy_crash_evidence_init (&gateway->crash_evidence, &dy_crash_evidence_policy, &evidence_watcher,
                          gateway);
  dy_link_probe_init (&gateway->crash_probe, gateway->kernel->loop, CONNECT_TIMEOUT_S, on_probed,
                      gateway);
  ev_timer_init (&gateway->crash_timer, on_timer, DECIDE_INTERVAL_S, DECIDE_INTERVAL_S);
  gateway->crash_timer.data = gateway;
  dy_directory_watch_ends (gateway->directory, on_endpoint_end, gateway);
}

void
dy_gateway_crashes_finish (DyGateway *gateway)
{
  ev_timer_stop (gateway->kernel->loop, &gateway->crash_timer);
  dy_link_probe_finish (&gateway->crash_probe);
  g_clear_pointer (&gateway->crash_probed_id, g_free);
  dy_crash_evidence_finish (&gateway->crash_evidence);
}

void
dy_gateway_record_crash (DyGateway *gateway,
                         const DyGatewayPlan *plan,
                         const DyGatewayBreak *broken)
{
  Suspicion *suspicion = g_new0 (Suspicion, 1);
  DyBreakKind kind = broken->had_output ? DY_BREAK_KEPT : DY_BREAK_UNBEGUN;
  suspicion->request_id = g_strdup (plan->id);
  suspicion->body_hash = plan->body_hash;
  suspicion->had_output = broken->had_output;
  suspicion->is_new_connection = broken->is_new_connection;
  suspicion->parts = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  g_array_append_vals (suspicion->parts, plan->parts, plan->n_parts);
  dy_crash_evidence_fail (&gateway->crash_evidence, broken->endpoint_id, plan->id,
                          broken->is_new_connection ? DY_BREAK_NEW : kind, suspicion,
                          dy_kernel_now_us (gateway->kernel));
  ev_timer_start (gateway->kernel->loop, &gateway->crash_timer);
  /* The same request may come again at once, so this counts until it is decided otherwise. */
  dy_counters_add (&gateway->kernel->counters, DY_COUNTER_ENDPOINT_CRASHES, 1);
  dy_request_blocks_report_crash (gateway->request_blocks, plan->body_hash, broken->endpoint_id,
                                  broken->sent_us);
}

/* Removes the parts of the plan CTX from those that may have caused a crash. */
static void
clear_parts (void *ctx, void *payload)
{
  const DyGatewayPlan *plan = ctx;
  GArray *parts = ((Suspicion *) payload)->parts;
  for (guint i = parts->len; i > 0; i--)
    for (uint32_t k = 0; k < plan->n_parts; k++)
      if (g_array_index (parts, uint64_t, i - 1) == plan->parts[k])
        {
          g_array_remove_index (parts, i - 1);
          break;
        }
}

void
dy_gateway_record_output (DyGateway *gateway, const DyGatewayPlan *plan)
{
  dy_crash_evidence_visit (&gateway->crash_evidence, clear_parts, (void *) plan);
  dy_part_blocks_report_output (gateway->part_blocks, plan->parts, plan->n_parts);
}

void
dy_gateway_record_success (DyGateway *gateway, const DyGatewayPlan *plan)
{
  dy_crash_evidence_forget (&gateway->crash_evidence, plan->id);
  dy_request_blocks_report_success (gateway->request_blocks, plan->body_hash);
}

void
dy_gateway_record_bytes (DyGateway *gateway, const char *endpoint_id)
{
  if (gateway->crash_evidence.failures->len > 0)
    dy_crash_evidence_bytes (&gateway->crash_evidence, endpoint_id,
                             dy_kernel_now_us (gateway->kernel));
}

bool
dy_gateway_is_blocked (DyGateway *gateway, const DyGatewayPlan *plan, bool may_try)
{
  return dy_request_blocks_refuse (gateway->request_blocks, plan->id, plan->body_hash, may_try)
         || dy_part_blocks_refuse (gateway->part_blocks, plan->id, plan->parts, plan->n_parts,
                                   may_try);
}
