#include "core/placement_private.h"

enum
{
  FAILURES_TO_OPEN = 2,      /* a single failure may be due to the request or to the network path */
  MAX_CACHED_PREFIXES = 512, /* more sessions than one endpoint serves within cache_ttl_us */
};

void
dy_placement_endpoint_unref (gpointer data)
{
  DyPlacementEndpoint *endpoint = data;
  if (--endpoint->n_references > 0)
    return;
  g_hash_table_unref (endpoint->cached);
  g_free (endpoint->id);
  g_free (endpoint->service);
  g_free (endpoint->address);
  g_free (endpoint->data_centre);
  g_free (endpoint->version);
  g_free (endpoint);
}

static gboolean
is_expired (gpointer key, gpointer value, gpointer ctx)
{
  (void) key;
  return *(const int64_t *) value < *(const int64_t *) ctx;
}

static void
record_prefix (const DyPlacement *placement,
               DyPlacementEndpoint *endpoint,
               uint64_t prefix_hash,
               int64_t now_us)
{
  int64_t oldest_us = now_us - placement->policy.cache_ttl_us;
  if (!prefix_hash)
    return;
  if (g_hash_table_size (endpoint->cached) >= MAX_CACHED_PREFIXES)
    g_hash_table_foreach_remove (endpoint->cached, is_expired, &oldest_us);
  if (g_hash_table_size (endpoint->cached) < MAX_CACHED_PREFIXES)
    g_hash_table_insert (endpoint->cached, g_memdup2 (&prefix_hash, sizeof prefix_hash),
                         g_memdup2 (&now_us, sizeof now_us));
}

static int64_t
memory_of (const DyPromptWork *work)
{
  return work->shared_tokens + work->own_tokens + work->output_tokens;
}

/* Counts a request with WORK at ENDPOINT, or no longer. */
static void
count_request (DyPlacement *placement,
               DyPlacementEndpoint *endpoint,
               const DyPromptWork *work,
               bool begins)
{
  static const double NEWEST = 1.0 / 32.0; /* of the average of request_tokens */
  DyPlacementService *service = dy_placement_service (placement, endpoint->service);
  endpoint->held_tokens += begins ? memory_of (work) : -memory_of (work);
  service->load.n_in_flight += begins ? 1U : -1U;
  if (begins)
    service->request_tokens += ((double) memory_of (work) - service->request_tokens)
                               * (service->request_tokens > 0.0 ? NEWEST : 1.0);
}

void
dy_placement_begin (DyPlacement *placement,
                    DyPlacementEndpoint *endpoint,
                    const DyPromptWork *work,
                    int64_t now_us)
{
  endpoint->n_references++;
  endpoint->in_flight++;
  for (uint32_t i = 0; i < placement->n_gates; i++)
    if (placement->gates[i].gate->record_sent)
      placement->gates[i].gate->record_sent (placement->gates[i].ctx, endpoint->id, now_us);
  endpoint->pending_tokens += work->own_tokens;
  count_request (placement, endpoint, work, true);
  record_prefix (placement, endpoint, work->prefix_hash, now_us);
}

void
dy_placement_prompt_read (DyPlacementEndpoint *endpoint, const DyPromptWork *work)
{
  endpoint->pending_tokens -= work->own_tokens;
}

void
dy_placement_report (DyPlacement *placement,
                     DyPlacementEndpoint *endpoint,
                     uint32_t running,
                     uint32_t waiting,
                     int64_t now_us)
{
  uint32_t total = running + waiting;
  endpoint->other_requests = total > endpoint->in_flight ? total - endpoint->in_flight : 0;
  endpoint->reported_us = now_us;
  dy_service_load_record_report (&dy_placement_service (placement, endpoint->service)->load,
                                 endpoint->other_requests, now_us);
}

void
dy_placement_report_slowness (DyPlacementEndpoint *endpoint, uint32_t percent, int64_t now_us)
{
  dy_endpoint_speed_record_slowness (&endpoint->speed, percent, now_us);
}

void
dy_placement_record_answer (DyPlacement *placement,
                            DyPlacementEndpoint *endpoint,
                            int64_t time_us,
                            double us_per_event,
                            int64_t now_us)
{
  DyPlacementService *service = dy_placement_service (placement, endpoint->service);
  dy_service_load_record_run (&service->load, time_us);
  dy_endpoint_speed_record_pace (&endpoint->speed, &service->pace, us_per_event, now_us);
}

static void
open_breaker (const DyPlacement *placement, DyPlacementEndpoint *endpoint, int64_t now_us)
{
  const DyPlacementPolicy *policy = &placement->policy;
  uint32_t doublings = MIN (endpoint->n_failures - 1, 10);
  int64_t delay_us = MIN (policy->breaker_min_us << doublings, policy->breaker_max_us);
  endpoint->open_until_us = now_us + delay_us;
}

/* What was sent before the breaker opened tells nothing new: one silence ends many attempts. */
static void
record_silence (const DyPlacement *placement, DyPlacementEndpoint *endpoint, int64_t now_us)
{
  if (now_us < endpoint->open_until_us)
    return;
  endpoint->n_failures++;
  endpoint->is_silent = true;
  if (endpoint->n_failures >= FAILURES_TO_OPEN)
    open_breaker (placement, endpoint, now_us);
}

static void
record_end (const DyPlacement *placement,
            DyPlacementEndpoint *endpoint,
            DyPlacementOutcome outcome,
            int64_t now_us)
{
  if (outcome != DY_PLACEMENT_SILENT && outcome != DY_PLACEMENT_CANCELLED)
    endpoint->is_silent = false;
  switch (outcome)
    {
    case DY_PLACEMENT_ANSWERED:
      endpoint->n_failures = 0;
      endpoint->open_until_us = 0;
      break;
    case DY_PLACEMENT_FULL:
      endpoint->open_until_us = MAX (endpoint->open_until_us, now_us + DY_PLACEMENT_FULL_US);
      break;
    case DY_PLACEMENT_FAILED:
      endpoint->n_failures++;
      if (endpoint->n_failures >= FAILURES_TO_OPEN)
        open_breaker (placement, endpoint, now_us);
      break;
    case DY_PLACEMENT_UNREACHABLE:
      endpoint->n_failures++;
      open_breaker (placement, endpoint, now_us);
      break;
    case DY_PLACEMENT_MISDIRECTED:
      endpoint->n_failures++;
      endpoint->open_until_us = now_us + placement->policy.breaker_max_us;
      break;
    case DY_PLACEMENT_SILENT:
      record_silence (placement, endpoint, now_us);
      break;
    case DY_PLACEMENT_CANCELLED:
      break;
    }
}

void
dy_placement_end (DyPlacement *placement,
                  DyPlacementEndpoint *endpoint,
                  const DyPromptWork *work,
                  bool prompt_read,
                  DyPlacementOutcome outcome,
                  int64_t now_us)
{
  endpoint->in_flight--;
  count_request (placement, endpoint, work, false);
  if (!prompt_read)
    dy_placement_prompt_read (endpoint, work);
  record_end (placement, endpoint, outcome, now_us);
  dy_placement_endpoint_unref (endpoint);
}
