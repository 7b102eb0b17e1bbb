/* Prediction and draw for even load; see placement.h and docs/design/even-load.md. */

#include "core/placement_private.h"

#include <stdlib.h>
#include <string.h>

enum
{
  LONG_PREFIX_TOKENS = 1000,
  /* What reading a long prefix again counts, in percent of its tokens: it also delays the other
   * requests of the engine. */
  PERCENT_TO_READ_AGAIN = 150,
  /* Factor on the delay by a request that waits for a slot, against one that runs. */
  QUEUED_FACTOR = 10,
};

double
dy_placement_mean_load (DyPlacement *placement,
                        const char *service,
                        uint32_t n_endpoints,
                        int64_t now_us)
{
  return dy_service_load_mean (&dy_placement_service (placement, service)->load, n_endpoints,
                               placement->n_routers, now_us);
}

/* Returns the tokens that reading the prefix of WORK again counts. */
static int64_t
cost_of_prefix (const DyPromptWork *work)
{
  return work->shared_tokens >= LONG_PREFIX_TOKENS
             ? work->shared_tokens * PERCENT_TO_READ_AGAIN / 100
             : work->shared_tokens;
}

static bool
is_full (const DyPlacementEndpoint *endpoint,
         const DyPlacementService *service,
         double others,
         const DyPromptWork *work)
{
  double held = (double) (endpoint->held_tokens + work->shared_tokens + work->own_tokens
                          + work->output_tokens)
                + others * service->request_tokens;
  return service->memory_tokens > 0 && held > (double) service->memory_tokens;
}

DyPlacementCandidate
dy_placement_predict (DyPlacement *placement,
                      DyPlacementEndpoint *endpoint,
                      double mean,
                      const DyPromptWork *work,
                      bool cached,
                      int64_t now_us)
{
  const DyPlacementPolicy *policy = &placement->policy;
  const DyPlacementService *service = dy_placement_service (placement, endpoint->service);
  DyLoadEstimate others = dy_load_estimate (&service->load, mean, endpoint->other_requests,
                                            endpoint->reported_us, now_us);
  DyPlacementCandidate candidate
      = { .endpoint = endpoint,
          .load = (double) endpoint->in_flight + others.requests,
          .deviation = others.deviation,
          .age_us = dy_service_load_age_us (&service->load, endpoint->reported_us, now_us),
          .slowdown = dy_endpoint_speed_slowdown (&endpoint->speed, now_us),
          .local = strcmp (endpoint->data_centre, placement->data_centre) == 0,
          .cached = cached,
          .full = is_full (endpoint, service, others.requests, work) };
  int64_t tokens
      = endpoint->pending_tokens + work->own_tokens + (cached ? 0 : cost_of_prefix (work));
  double us = (double) tokens * (double) policy->ns_per_prompt_token / 1e3
              + candidate.load * (double) policy->us_per_running;
  if (endpoint->slots > 0 && candidate.load >= (double) endpoint->slots)
    us += (candidate.load + 1.0 - (double) endpoint->slots) * (double) policy->us_per_running
          * QUEUED_FACTOR;
  candidate.us = us * dy_endpoint_speed_factor (&endpoint->speed, now_us)
                 + (candidate.local ? 0.0 : (double) policy->us_cross_data_centre);
  return candidate;
}

/* Returns whether the candidate has a free slot if it has MORE requests than is estimated. */
static bool
has_free_slot (const DyPlacementCandidate *candidate, double more)
{
  double slots = (double) candidate->endpoint->slots;
  return candidate->endpoint->slots == 0 || candidate->load + more + 1.0 <= slots;
}

/* Removes from the N CANDIDATES those whose memory is full, unless all are. If ONLY_LOCAL, also
 * those in other data centres without the prefix, unless it is likely that they have a free slot
 * while none in the own one may have one. Returns how many are left. */
static uint32_t
drop_worse (DyPlacementCandidate *candidates, uint32_t n, bool only_local)
{
  bool any_room = false;
  bool any_local = false;
  bool local_free = false;
  for (uint32_t i = 0; i < n; i++)
    {
      const DyPlacementCandidate *candidate = &candidates[i];
      bool is_local = candidate->local && !candidate->full;
      any_room = any_room || !candidate->full;
      any_local = any_local || is_local;
      local_free = local_free || (is_local && has_free_slot (candidate, -candidate->deviation));
    }
  uint32_t n_left = 0;
  for (uint32_t i = 0; i < n; i++)
    {
      const DyPlacementCandidate *candidate = &candidates[i];
      bool is_far = only_local && any_local && !candidate->local && !candidate->cached
                    && (local_free || !has_free_slot (candidate, candidate->deviation));
      if ((any_room && candidate->full) || is_far)
        continue;
      candidates[n_left++] = *candidate;
    }
  return n_left;
}

static int
compare_waits (const void *a, const void *b)
{
  const DyPlacementCandidate *x = a;
  const DyPlacementCandidate *y = b;
  return (x->us > y->us) - (x->us < y->us);
}

/* Keeps the candidates that may stand in for the first one, which has the shortest wait: those on
 * the same side of the link between data centres, and with the prefix if that one has it. Returns
 * how many these are. */
static uint32_t
keep_alternatives (DyPlacementCandidate *candidates, uint32_t n)
{
  const DyPlacementCandidate best = candidates[0];
  uint32_t n_left = 0;
  for (uint32_t i = 0; i < n; i++)
    if (candidates[i].local == best.local && (candidates[i].cached || !best.cached))
      candidates[n_left++] = candidates[i];
  return n_left;
}

/* Returns the wait that the N CANDIDATES, sorted by theirs, have once what all routers send there
 * is spread such that the shortest waits grow to the same; FILL_US is the sum of what they grow by.
 */
static double
level_of (const DyPlacementCandidate *candidates, uint32_t n, double fill_us)
{
  double sum = fill_us;
  double level = 0.0;
  for (uint32_t i = 0; i < n && (i == 0 || candidates[i].us < level); i++)
    {
      sum += candidates[i].us;
      level = sum / (double) (i + 1);
    }
  return level;
}

/* Draws in proportion to what each candidate is to get of the requests that all routers send until
 * newer reports are known: as many as bring its wait to the common level, and more where requests
 * leave sooner. */
const DyPlacementCandidate *
dy_placement_draw (DyPlacement *placement,
                   DyPlacementCandidate *candidates,
                   uint32_t n,
                   double mean,
                   bool is_first)
{
  const DyServiceLoad *load
      = &dy_placement_service (placement, candidates[0].endpoint->service)->load;
  double run_us = dy_service_load_run_us (load);
  double per_running = (double) placement->policy.us_per_running;
  /* What was refused once goes wherever it is served. */
  n = drop_worse (candidates, n, is_first);
  qsort (candidates, n, sizeof *candidates, compare_waits);
  n = keep_alternatives (candidates, n);
  /* At least the request itself. */
  double arrivals = MAX ((double) n * mean * candidates[0].age_us / run_us, 1.0);
  double level = level_of (candidates, n, arrivals * per_running);
  const DyPlacementCandidate *drawn = &candidates[0];
  double sum = 0.0;
  for (uint32_t i = 0; i < n; i++)
    {
      const DyPlacementCandidate *candidate = &candidates[i];
      double leave = mean * candidate->age_us / run_us * (1.0 / candidate->slowdown - 1.0);
      double share = level - candidate->us + leave * per_running;
      double own = 1.0 + (double) candidate->endpoint->in_flight;
      if (share <= 0.0)
        continue;
      double weight = share / (own * own * own);
      sum += weight;
      if (g_rand_double (placement->rng) * sum < weight)
        drawn = candidate;
    }
  return drawn;
}

uint32_t
dy_placement_endpoint_slowness (const DyPlacementEndpoint *endpoint, int64_t now_us)
{
  return (uint32_t) (dy_endpoint_speed_slowdown (&endpoint->speed, now_us) * 100.0);
}

uint32_t
dy_placement_slow_count (const DyPlacement *placement, int64_t now_us)
{
  static const uint32_t SLOW_PERCENT = 200;
  GHashTableIter iter;
  gpointer endpoint;
  uint32_t n = 0;
  g_hash_table_iter_init (&iter, placement->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &endpoint))
    n += dy_placement_endpoint_slowness (endpoint, now_us) >= SLOW_PERCENT ? 1 : 0;
  return n;
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
