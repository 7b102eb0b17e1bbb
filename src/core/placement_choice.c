/* Prediction of the wait at an endpoint, and choice by it; see placement.h. */

#include "core/placement_private.h"

#include <math.h>
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
  return !placement->gate || placement->gate->allows (placement->gate_ctx, endpoint->id, now_us);
}

static bool
is_due (const DyPlacement *placement, const DyPlacementEndpoint *endpoint, int64_t now_us)
{
  return placement->gate && placement->gate->is_due (placement->gate_ctx, endpoint->id, now_us);
}

static uint64_t
rendezvous_hash (const DyPlacementEndpoint *endpoint, uint64_t prefix_hash)
{
  return XXH3_64bits_withSeed (endpoint->id, strlen (endpoint->id), prefix_hash);
}

/* Returns the affinity endpoint of the prefix: the one with the highest rendezvous hash among those
 * that are not leaving, whose breakers are closed and, if GATED, that the gate allows. Returns NULL
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
      if (endpoint->leaving || now_us < endpoint->open_until_us || (best && hash <= best_hash)
          || (gated && !is_allowed (placement, endpoint, now_us)))
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
      if (endpoint->leaving || dy_placement_endpoint_waits (endpoint, now_us)
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
  return !endpoint->leaving && now_us >= endpoint->open_until_us
         && !dy_placement_endpoint_waits (endpoint, now_us) && endpoint->in_flight < endpoint->share
         && is_allowed_by (query, endpoint) && is_allowed (placement, endpoint, now_us);
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

/* An endpoint that may be chosen, with even load. */
typedef struct
{
  DyPlacementEndpoint *endpoint;
  double us;           /* predicted wait */
  double deviation_us; /* standard deviation of the prediction */
  double load;         /* requests there */
  double deviation;    /* standard deviation of the load */
  double factor;       /* on the time of work, as it is slow */
  bool local;          /* in this router's data centre */
  bool cached;         /* it has the prefix */
  bool full;           /* its memory is estimated to be full */
} Candidate;

static Candidate
predict_candidate (DyPlacement *placement,
                   DyPlacementEndpoint *endpoint,
                   const DyPlacementService *service,
                   double mean,
                   const DyPromptWork *work,
                   bool cached,
                   int64_t now_us)
{
  const DyPlacementPolicy *policy = &placement->policy;
  DyLoadEstimate others = dy_load_estimate (&service->load, mean, endpoint->other_requests,
                                            endpoint->reported_us, now_us);
  double per_running = (double) policy->us_per_running;
  Candidate candidate = { .endpoint = endpoint,
                          .load = (double) endpoint->in_flight + others.requests,
                          .deviation = others.deviation,
                          .factor = dy_endpoint_speed_factor (&endpoint->speed, now_us),
                          .local = strcmp (endpoint->data_centre, placement->data_centre) == 0,
                          .cached = cached };
  int64_t tokens = endpoint->pending_tokens + work->own_tokens + (cached ? 0 : work->shared_tokens);
  double us
      = (double) tokens * (double) policy->ns_per_prompt_token / 1e3 + candidate.load * per_running;
  if (endpoint->slots > 0 && candidate.load >= (double) endpoint->slots)
    us += (candidate.load + 1.0 - (double) endpoint->slots) * per_running * 10.0;
  candidate.us
      = us * candidate.factor + (candidate.local ? 0.0 : (double) policy->us_cross_data_centre);
  candidate.deviation_us = others.deviation * per_running * candidate.factor;
  double held = (double) (endpoint->held_tokens + work->shared_tokens + work->own_tokens
                          + work->output_tokens)
                + others.requests * service->request_tokens;
  candidate.full = service->memory_tokens > 0 && held > (double) service->memory_tokens;
  return candidate;
}

/* Returns whether the candidate has a free slot if it has MORE requests than is estimated. */
static bool
has_free_slot (const Candidate *candidate, double more)
{
  double slots = (double) candidate->endpoint->slots;
  return candidate->endpoint->slots == 0 || candidate->load + more + 1.0 <= slots;
}

/* Removes from the N CANDIDATES those whose memory is full, unless all are, and those in other data
 * centres without the prefix, unless it is likely that they have a free slot while none in the own
 * one may have one. Returns how many are left. */
static guint
drop_worse (Candidate *candidates, guint n)
{
  bool any_room = false;
  bool any_local = false;
  bool local_free = false;
  for (guint i = 0; i < n; i++)
    {
      const Candidate *candidate = &candidates[i];
      bool is_local = candidate->local && !candidate->full;
      any_room = any_room || !candidate->full;
      any_local = any_local || is_local;
      local_free = local_free || (is_local && has_free_slot (candidate, -candidate->deviation));
    }
  guint n_left = 0;
  for (guint i = 0; i < n; i++)
    {
      const Candidate *candidate = &candidates[i];
      bool is_far = any_local && !candidate->local && !candidate->cached
                    && (local_free || !has_free_slot (candidate, candidate->deviation));
      if ((any_room && candidate->full) || is_far)
        continue;
      candidates[n_left++] = *candidate;
    }
  return n_left;
}

/* Returns how likely the candidate is to be drawn, compared with others. */
static double
weight_of (const Candidate *candidate)
{
  static const double MIN_FREE = 0.5; /* full by estimate, which may be wrong */
  const DyPlacementEndpoint *endpoint = candidate->endpoint;
  double free = endpoint->slots > 0 ? MAX ((double) endpoint->slots - candidate->load, MIN_FREE)
                                    : 1.0 / (1.0 + candidate->load);
  double own = 1.0 + (double) endpoint->in_flight;
  return free / candidate->factor / (own * own * own);
}

/* Draws one of the N CANDIDATES, of which there is at least one, whose predicted wait lies within
 * the uncertainty of the shortest, in the same data centre or outside of it. */
static const Candidate *
draw (DyPlacement *placement, const Candidate *candidates, guint n)
{
  const Candidate *best = &candidates[0];
  for (guint i = 1; i < n; i++)
    if (candidates[i].us < best->us)
      best = &candidates[i];
  const Candidate *drawn = best;
  double sum = 0.0;
  for (guint i = 0; i < n; i++)
    {
      const Candidate *candidate = &candidates[i];
      double uncertainty_us = hypot (candidate->deviation_us, best->deviation_us);
      if (candidate->us > best->us + uncertainty_us || candidate->local != best->local)
        continue;
      double weight = weight_of (candidate);
      sum += weight;
      if (g_rand_double (placement->rng) * sum < weight)
        drawn = candidate;
    }
  return drawn;
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
  const DyPlacementService *service = dy_placement_service (placement, query->service);
  double mean = dy_service_load_mean (&service->load, list->len, placement->n_routers, now_us);
  Candidate *candidates = g_new (Candidate, list->len);
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
          = predict_candidate (placement, endpoint, service, mean, &query->work, cached, now_us);
      if (is_due (placement, endpoint, now_us))
        chosen = endpoint;
    }
  n = drop_worse (candidates, n);
  if (!chosen && n > 0)
    {
      const Candidate *drawn = draw (placement, candidates, n);
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
  const DyPlacementEndpoint *affinity
      = find_affinity_endpoint (placement, list, query->work.prefix_hash, true, now_us);
  DyPlacementEndpoint *best = (placement->spread ? choose_even : choose_shortest) (
      placement, list, query, affinity, now_us, &best_us);
  if (!best)
    best = first_to_retry (placement, list, query, now_us);
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
  if (!list || !placement->gate)
    return NULL;
  for (guint i = 0; i < list->len; i++)
    {
      const DyPlacementEndpoint *endpoint = g_ptr_array_index (list, i);
      if (endpoint->leaving)
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

uint32_t
dy_placement_endpoint_slowness (const DyPlacementEndpoint *endpoint, int64_t now_us)
{
  return (uint32_t) (dy_endpoint_speed_slowdown (&endpoint->speed, now_us) * 100.0);
}

/* Returns the largest reported load of the endpoints in LIST, as a percentage of their mean; 0 if
 * fewer than two have reported lately. */
static uint32_t
busiest_percent_of (const DyPlacement *placement, const GPtrArray *list, int64_t now_us)
{
  double most = 0.0;
  double sum = 0.0;
  uint32_t n = 0;
  for (guint i = 0; i < list->len; i++)
    {
      const DyPlacementEndpoint *endpoint = g_ptr_array_index (list, i);
      if (endpoint->reported_us == 0
          || now_us - endpoint->reported_us >= placement->policy.report_ttl_us)
        continue;
      double load = (double) endpoint->in_flight + (double) endpoint->other_requests;
      most = MAX (most, load);
      sum += load;
      n++;
    }
  return n >= 2 && sum > 0.0 ? (uint32_t) (most * 100.0 * n / sum) : 0;
}

uint32_t
dy_placement_busiest_percent (const DyPlacement *placement, int64_t now_us)
{
  GHashTableIter iter;
  gpointer list;
  uint32_t most = 0;
  g_hash_table_iter_init (&iter, placement->by_service);
  while (g_hash_table_iter_next (&iter, NULL, &list))
    most = MAX (most, busiest_percent_of (placement, list, now_us));
  return most;
}
