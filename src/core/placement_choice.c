/* Prediction of the wait at an endpoint, and choice by it; see placement.h. */

#include "core/placement_private.h"

#include <string.h>
#include <xxhash.h>

static bool
is_avoided (const DyPlacementEndpoint *endpoint, const char *const *avoid)
{
  for (; avoid && *avoid; avoid++)
    if (strcmp (*avoid, endpoint->id) == 0)
      return true;
  return false;
}

/* Returns whether QUERY allows ENDPOINT by its id and version. */
static bool
is_allowed_by (const DyPlacementQuery *query, const DyPlacementEndpoint *endpoint)
{
  return !is_avoided (endpoint, query->avoid)
         && (!query->version || strcmp (query->version, endpoint->version) == 0);
}

static bool
is_allowed (const DyPlacement *placement, const DyPlacementEndpoint *endpoint, int64_t now_us)
{
  for (uint32_t i = 0; i < placement->n_gates; i++)
    if (!placement->gates[i].gate->allows (placement->gates[i].ctx, endpoint->id, now_us))
      return false;
  return true;
}

static bool
is_due (const DyPlacement *placement, const DyPlacementEndpoint *endpoint, int64_t now_us)
{
  for (uint32_t i = 0; i < placement->n_gates; i++)
    {
      const DyPlacementGate *gate = placement->gates[i].gate;
      if (gate->is_due && gate->is_due (placement->gates[i].ctx, endpoint->id, now_us))
        return true;
    }
  return false;
}

static uint64_t
rendezvous_hash (const DyPlacementEndpoint *endpoint, uint64_t prefix_hash)
{
  return XXH3_64bits_withSeed (endpoint->id, strlen (endpoint->id), prefix_hash);
}

/* Returns the affinity endpoint of the prefix: the one with the highest rendezvous hash among those
 * that may be chosen, whose breakers are closed and, if GATED, that the gates allow. Returns NULL
 * without a prefix. */
static const DyPlacementEndpoint *
find_affinity_endpoint (const DyPlacement *placement,
                        const GPtrArray *list,
                        uint64_t prefix_hash,
                        bool gated,
                        int64_t now_us)
{
  const DyPlacementEndpoint *best = NULL;
  uint64_t best_hash = 0;
  for (guint i = 0; prefix_hash && i < list->len; i++)
    {
      const DyPlacementEndpoint *endpoint = g_ptr_array_index (list, i);
      uint64_t hash = rendezvous_hash (endpoint, prefix_hash);
      if (dy_placement_is_closed (endpoint) || now_us < endpoint->open_until_us
          || (best && hash <= best_hash) || (gated && !is_allowed (placement, endpoint, now_us)))
        continue;
      best = endpoint;
      best_hash = hash;
    }
  return best;
}

static bool
has_cached (const DyPlacement *placement,
            const DyPlacementEndpoint *endpoint,
            uint64_t prefix_hash,
            int64_t now_us)
{
  const int64_t *used_us = g_hash_table_lookup (endpoint->cached, &prefix_hash);
  return used_us && now_us - *used_us < placement->policy.cache_ttl_us;
}

/* Returns the requests at ENDPOINT: those of this router, and those of other routers by its latest
 * load report, whose weight falls linearly with its age. */
static double
load_of (const DyPlacement *placement, const DyPlacementEndpoint *endpoint, int64_t now_us)
{
  double age = (double) (now_us - endpoint->reported_us) / (double) placement->policy.report_ttl_us;
  double weight = endpoint->reported_us == 0 || age >= 1.0 ? 0.0 : 1.0 - age;
  return (double) endpoint->in_flight + weight * (double) endpoint->other_requests;
}

static int64_t
predict_us (const DyPlacement *placement,
            const DyPlacementEndpoint *endpoint,
            const DyPromptWork *work,
            bool cached,
            int64_t now_us)
{
  const DyPlacementPolicy *policy = &placement->policy;
  int64_t tokens = endpoint->pending_tokens + work->own_tokens + (cached ? 0 : work->shared_tokens);
  double load = load_of (placement, endpoint, now_us);
  double us = (double) tokens * (double) policy->ns_per_prompt_token / 1e3
              + load * (double) policy->us_per_running;
  /* Requests beyond the number of slots wait until a running one ends. */
  if (endpoint->slots > 0 && load >= (double) endpoint->slots)
    us += (load + 1.0 - (double) endpoint->slots) * (double) policy->us_per_running * 10.0;
  if (strcmp (endpoint->data_centre, placement->data_centre) != 0)
    us += (double) policy->us_cross_data_centre;
  return (int64_t) us;
}

/* Returns the time from which ENDPOINT, whose breaker is open, may be worth a try. One that is
 * silent may go on at any time, so it comes after those that are only full. */
static int64_t
retry_us (const DyPlacementEndpoint *endpoint, int64_t now_us)
{
  int64_t soon_us = now_us + DY_PLACEMENT_FULL_US;
  return endpoint->is_silent ? MIN (endpoint->open_until_us, soon_us) : endpoint->open_until_us;
}

/* Returns the endpoint that is worth a try first when all breakers are open; of several, such as
 * all when all are silent, the one with the least work. */
static DyPlacementEndpoint *
first_to_retry (const DyPlacement *placement,
                const GPtrArray *list,
                const DyPlacementQuery *query,
                int64_t now_us)
{
  DyPlacementEndpoint *best = NULL;
  int64_t best_us = 0;
  for (guint i = 0; i < list->len; i++)
    {
      DyPlacementEndpoint *endpoint = g_ptr_array_index (list, i);
      if (dy_placement_is_closed (endpoint) || dy_placement_endpoint_waits (endpoint, now_us)
          || endpoint->in_flight >= endpoint->share || !is_allowed_by (query, endpoint)
          || !is_allowed (placement, endpoint, now_us))
        continue;
      int64_t us = retry_us (endpoint, now_us);
      bool is_better = best && us == best_us && endpoint->in_flight < best->in_flight;
      if (best && us >= best_us && !is_better)
        continue;
      best = endpoint;
      best_us = us;
    }
  return best;
}

static bool
is_choice (const DyPlacement *placement,
           const DyPlacementQuery *query,
           const DyPlacementEndpoint *endpoint,
           int64_t now_us)
{
  return !dy_placement_is_closed (endpoint) && now_us >= endpoint->open_until_us
         && !dy_placement_endpoint_waits (endpoint, now_us) && endpoint->in_flight < endpoint->share
         && is_allowed_by (query, endpoint) && is_allowed (placement, endpoint, now_us);
}

bool
dy_placement_serves_version (const DyPlacement *placement, const char *service, const char *version)
{
  const GPtrArray *list = g_hash_table_lookup (placement->by_service, service);
  for (guint i = 0; list && i < list->len; i++)
    {
      const DyPlacementEndpoint *endpoint = g_ptr_array_index (list, i);
      if (!dy_placement_is_closed (endpoint) && strcmp (endpoint->version, version) == 0)
        return true;
    }
  return false;
}

bool
dy_placement_has_choice (const DyPlacement *placement,
                         const DyPlacementQuery *query,
                         int64_t now_us)
{
  const GPtrArray *list = g_hash_table_lookup (placement->by_service, query->service);
  for (guint i = 0; list && i < list->len; i++)
    if (is_choice (placement, query, g_ptr_array_index (list, i), now_us))
      return true;
  return false;
}

/* Chooses the candidate with the shortest predicted wait. Returns NULL if there is none. */
static DyPlacementEndpoint *
choose_shortest (DyPlacement *placement,
                 const GPtrArray *list,
                 const DyPlacementQuery *query,
                 const DyPlacementEndpoint *affinity,
                 int64_t now_us,
                 int64_t *best_us)
{
  DyPlacementEndpoint *best = NULL;
  guint first = (guint) g_rand_int_range (placement->rng, 0, (gint32) list->len);
  for (guint i = 0; i < list->len; i++)
    {
      DyPlacementEndpoint *endpoint = g_ptr_array_index (list, (first + i) % list->len);
      if (!is_choice (placement, query, endpoint, now_us))
        continue;
      if (is_due (placement, endpoint, now_us))
        {
          *best_us = 0;
          return endpoint;
        }
      bool cached = endpoint == affinity
                    || has_cached (placement, endpoint, query->work.prefix_hash, now_us);
      int64_t us = predict_us (placement, endpoint, &query->work, cached, now_us);
      if (best && us >= *best_us)
        continue;
      best = endpoint;
      *best_us = us;
    }
  return best;
}

/* Chooses for even load. Returns NULL if there is no candidate. */
static DyPlacementEndpoint *
choose_even (DyPlacement *placement,
             const GPtrArray *list,
             const DyPlacementQuery *query,
             const DyPlacementEndpoint *affinity,
             int64_t now_us,
             int64_t *chosen_us)
{
  double mean = dy_placement_mean_load (placement, query->service, list->len, now_us);
  DyPlacementCandidate *candidates = g_new (DyPlacementCandidate, list->len);
  DyPlacementEndpoint *chosen = NULL;
  guint n = 0;
  for (guint i = 0; i < list->len && !chosen; i++)
    {
      DyPlacementEndpoint *endpoint = g_ptr_array_index (list, i);
      if (!is_choice (placement, query, endpoint, now_us))
        continue;
      bool cached = endpoint == affinity
                    || has_cached (placement, endpoint, query->work.prefix_hash, now_us);
      candidates[n++]
          = dy_placement_predict (placement, endpoint, mean, &query->work, cached, now_us);
      if (is_due (placement, endpoint, now_us))
        chosen = endpoint;
    }
  if (!chosen && n > 0)
    {
      bool is_first = !query->avoid || !query->avoid[0];
      const DyPlacementCandidate *drawn
          = dy_placement_draw (placement, candidates, n, mean, is_first);
      chosen = drawn->endpoint;
      *chosen_us = (int64_t) drawn->us;
    }
  g_free (candidates);
  return chosen;
}

DyPlacementEndpoint *
dy_placement_choose (DyPlacement *placement,
                     const DyPlacementQuery *query,
                     int64_t now_us,
                     int64_t *predicted_us)
{
  const GPtrArray *list = g_hash_table_lookup (placement->by_service, query->service);
  int64_t best_us = 0;
  if (!list || list->len == 0)
    return NULL;
  dy_placement_hold_back (placement, query, now_us);
  const DyPlacementEndpoint *affinity
      = find_affinity_endpoint (placement, list, query->work.prefix_hash, true, now_us);
  DyPlacementEndpoint *best = (placement->spread ? choose_even : choose_shortest) (
      placement, list, query, affinity, now_us, &best_us);
  if (!best)
    best = first_to_retry (placement, list, query, now_us);
  dy_placement_end_hold_back (placement, query);
  if (predicted_us)
    *predicted_us = best_us;
  return best;
}

const char *
dy_placement_gated (const DyPlacement *placement, const DyPlacementQuery *query, int64_t now_us)
{
  const GPtrArray *list = g_hash_table_lookup (placement->by_service, query->service);
  const DyPlacementEndpoint *gated = NULL;
  uint32_t n_open = 0;
  if (!list || placement->n_gates == 0)
    return NULL;
  for (guint i = 0; i < list->len; i++)
    {
      const DyPlacementEndpoint *endpoint = g_ptr_array_index (list, i);
      if (dy_placement_is_closed (endpoint))
        continue;
      if (is_allowed (placement, endpoint, now_us))
        n_open++;
      else
        gated = endpoint;
    }
  if (!gated)
    return NULL;
  if (n_open == 0)
    return gated->id;
  const DyPlacementEndpoint *affinity
      = find_affinity_endpoint (placement, list, query->work.prefix_hash, false, now_us);
  return affinity && !is_allowed (placement, affinity, now_us) ? affinity->id : NULL;
}
