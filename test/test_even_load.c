/* Even load: estimates of load and speed, and what routers make of them that choose at the same
 * moment on old reports. */

#include "support/suite.h"

#include "core/placement_private.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  MS = 1000,
  SECOND = 1000 * MS,
  N_ENDPOINTS = 60,
  MAX_ROUTERS = 76,
  SLOTS = 32,
  TICK_MS = 100, /* all routers choose at its multiples */
  WARM_S = 60,   /* until speeds are learned */
  /* Requests that are counted, about 700 for each endpoint: chance alone then makes the busiest of
   * 60 endpoints with random choices 1.09 times the mean. */
  N_COUNTED = 42000,
  N_PAST = 1000 / TICK_MS + 1, /* reports kept, the oldest 1,000 ms old */
  ROUTER_PER_S = 5,            /* requests of a router */
  WORK_US = SECOND,            /* time of a request at the usual speed */
  MAX_OPEN = 4096,
};

typedef struct
{
  uint32_t router;
  uint32_t endpoint;
  double rest_us; /* of its work, at the usual speed */
} Open;

typedef struct
{
  DyPlacement routers[MAX_ROUTERS];
  DyPlacementEndpoint *known[MAX_ROUTERS][N_ENDPOINTS];
  uint32_t n_routers;
  uint32_t running[N_ENDPOINTS];
  uint32_t past[N_PAST][N_ENDPOINTS]; /* running at the latest ticks, the newest first */
  uint32_t n_sent[N_ENDPOINTS];
  double capacity[N_ENDPOINTS]; /* sum of the speeds of all ticks */
  Open open[MAX_OPEN];
  uint32_t n_open;
  double peaks; /* sum over the ticks of the most running by the mean */
  GRand *rng;
} Replay;

static const double speeds[] = { 0.7, 1.0, 1.3, 1.7 };

/* Three endpoints take four times as long from the 90th to the 100th second. */
static double
speed_of (uint32_t endpoint, int64_t now_us)
{
  bool slowed = endpoint < 3 && now_us >= 90 * SECOND && now_us < 100 * SECOND;
  return speeds[endpoint % G_N_ELEMENTS (speeds)] / (slowed ? 4.0 : 1.0);
}

static void
replay_init (Replay *replay, uint32_t n_routers, bool spread, uint32_t seed)
{
  memset (replay, 0, sizeof *replay);
  replay->n_routers = n_routers;
  replay->rng = g_rand_new_with_seed (seed);
  for (uint32_t r = 0; r < n_routers; r++)
    {
      dy_placement_init (&replay->routers[r], &dy_placement_policy, "a", seed + 1 + r);
      dy_placement_set_spread (&replay->routers[r], spread, n_routers);
      for (uint32_t e = 0; e < N_ENDPOINTS; e++)
        {
          char id[8];
          g_snprintf (id, sizeof id, "e%u", e);
          DyEndpointRecord record = { .id = id,
                                      .service = "llm",
                                      .address = id,
                                      .data_centre = "a",
                                      .slots = SLOTS,
                                      .start_ms = 1 };
          dy_placement_put (&replay->routers[r], &record);
          replay->known[r][e] = g_hash_table_lookup (replay->routers[r].by_id, id);
        }
    }
}

static const DyPromptWork no_work = { 0 };

static void
replay_finish (Replay *replay)
{
  for (uint32_t i = 0; i < replay->n_open; i++)
    {
      const Open *open = &replay->open[i];
      dy_placement_end (&replay->routers[open->router], replay->known[open->router][open->endpoint],
                        &no_work, true, DY_PLACEMENT_CANCELLED, 0);
    }
  for (uint32_t r = 0; r < replay->n_routers; r++)
    dy_placement_finish (&replay->routers[r]);
  g_rand_free (replay->rng);
}

static void
run_requests (Replay *replay, int64_t now_us)
{
  for (uint32_t i = replay->n_open; i > 0; i--)
    {
      Open *open = &replay->open[i - 1];
      open->rest_us -= TICK_MS * MS * speed_of (open->endpoint, now_us);
      if (open->rest_us > 0.0)
        continue;
      DyPlacement *router = &replay->routers[open->router];
      DyPlacementEndpoint *endpoint = replay->known[open->router][open->endpoint];
      dy_placement_record_answer (router, endpoint, WORK_US,
                                  WORK_US / 50.0 / speed_of (open->endpoint, now_us), now_us);
      dy_placement_end (router, endpoint, &no_work, true, DY_PLACEMENT_ANSWERED, now_us);
      replay->running[open->endpoint]--;
      *open = replay->open[--replay->n_open];
    }
}

/* All routers get the reports of AGE_MS ago. */
static void
report (Replay *replay, uint32_t age_ms, int64_t now_us)
{
  int64_t reported_us = now_us - (int64_t) age_ms * MS;
  memmove (replay->past[1], replay->past[0], sizeof replay->past - sizeof replay->past[0]);
  memcpy (replay->past[0], replay->running, sizeof replay->running);
  for (uint32_t r = 0; r < replay->n_routers && reported_us > 0; r++)
    for (uint32_t e = 0; e < N_ENDPOINTS; e++)
      dy_placement_report (&replay->routers[r], replay->known[r][e],
                           replay->past[age_ms / TICK_MS][e], 0, reported_us);
}

static void
send_requests (Replay *replay, int64_t now_us)
{
  static const DyPlacementQuery query = { .service = "llm" };
  for (uint32_t r = 0; r < replay->n_routers; r++)
    if (g_rand_int_range (replay->rng, 0, 1000) < ROUTER_PER_S * TICK_MS)
      {
        DyPlacementEndpoint *endpoint
            = dy_placement_choose (&replay->routers[r], &query, now_us, NULL);
        ck_assert_ptr_nonnull (endpoint);
        dy_placement_begin (&replay->routers[r], endpoint, &no_work, now_us);
        uint32_t e = (uint32_t) strtoul (dy_placement_endpoint_id (endpoint) + 1, NULL, 10);
        ck_assert_uint_lt (replay->n_open, MAX_OPEN);
        replay->open[replay->n_open++] = (Open){ .router = r, .endpoint = e, .rest_us = WORK_US };
        replay->running[e]++;
        replay->n_sent[e]++;
      }
}

static double
most_by_mean (const double *values)
{
  double most = 0.0;
  double sum = 0.0;
  for (uint32_t e = 0; e < N_ENDPOINTS; e++)
    {
      most = MAX (most, values[e]);
      sum += values[e];
    }
  return sum > 0.0 ? most * N_ENDPOINTS / sum : 1.0;
}

static void
count_tick (Replay *replay, int64_t now_us)
{
  double running[N_ENDPOINTS];
  for (uint32_t e = 0; e < N_ENDPOINTS; e++)
    {
      running[e] = replay->running[e];
      if (now_us == WARM_S * SECOND)
        replay->n_sent[e] = 0;
      if (now_us <= WARM_S * SECOND)
        continue;
      replay->capacity[e] += speed_of (e, now_us);
    }
  replay->peaks += most_by_mean (running);
}

static int64_t
ticks_of (const Replay *replay)
{
  int64_t run_ms = (int64_t) N_COUNTED * 1000 / (replay->n_routers * ROUTER_PER_S);
  return (WARM_S * 1000 + run_ms) / TICK_MS;
}

/* Returns the requests that the busiest endpoint got by its capacity, against the mean. */
static double
run_replay (Replay *replay, uint32_t age_ms)
{
  double by_capacity[N_ENDPOINTS];
  int64_t n_ticks = ticks_of (replay);
  for (int64_t tick = 1; tick <= n_ticks; tick++)
    {
      int64_t now_us = tick * TICK_MS * MS;
      run_requests (replay, now_us);
      report (replay, age_ms, now_us);
      send_requests (replay, now_us);
      count_tick (replay, now_us);
    }
  for (uint32_t e = 0; e < N_ENDPOINTS; e++)
    by_capacity[e] = replay->n_sent[e] / replay->capacity[e];
  return most_by_mean (by_capacity);
}

static const struct
{
  uint32_t n_routers;
  uint32_t age_ms;
} replay_cases[] = { { 24, 0 }, { 24, 200 }, { 24, 1000 }, { 76, 0 }, { 76, 200 }, { 76, 1000 } };

/* Guards against routers that all choose the endpoint that looks best, and overload it. */
START_TEST (the_busiest_endpoint_gets_little_more_than_the_mean)
{
  Replay *replay = g_new (Replay, 1);
  double busiest[2];
  double peaks[2];
  for (int spread = 0; spread < 2; spread++)
    {
      replay_init (replay, replay_cases[_i].n_routers, spread != 0, 7);
      busiest[spread] = run_replay (replay, replay_cases[_i].age_ms);
      peaks[spread] = replay->peaks / (double) ticks_of (replay);
      replay_finish (replay);
    }
  if (getenv ("DY_TEST_VERBOSE"))
    printf ("routers %u age %u ms: busiest %.2f, before %.2f; most running %.2f, before %.2f\n",
            replay_cases[_i].n_routers, replay_cases[_i].age_ms, busiest[1], busiest[0], peaks[1],
            peaks[0]);
  ck_assert_msg (busiest[1] <= 1.15, "busiest to mean %.3f, before %.3f", busiest[1], busiest[0]);
  ck_assert_msg (peaks[1] <= peaks[0] * 1.02, "most running to mean %.3f, before %.3f", peaks[1],
                 peaks[0]);
  g_free (replay);
}
END_TEST

/* Guards against a mean, an age or a deviation that makes an estimate wander off or not a number.
 */
static const struct
{
  double mean;
  double others;
  int64_t reported_us; /* 0: never */
  double low;
  double high;
  bool certain;
} estimate_cases[] = {
  { 8.0, 20.0, 0, 8.0, 8.0, false },              /* no report: the mean */
  { 8.0, 20.0, 100 * SECOND, 18.0, 20.0, false }, /* new: nearly as reported */
  { 8.0, 20.0, 99 * SECOND, 12.0, 13.0, false },  /* as old as a request: in between */
  { 8.0, 20.0, 60 * SECOND, 8.0, 8.01, false },   /* old: the mean */
  { 8.0, 20.0, 101 * SECOND, 18.0, 20.0, false }, /* of the future: as new */
  { 0.0, 0.0, 100 * SECOND, 0.0, 0.0, true },     /* nobody has anything */
};

START_TEST (estimates_return_to_the_mean)
{
  DyServiceLoad load = { 0 };
  dy_service_load_record_run (&load, SECOND);
  DyLoadEstimate estimate
      = dy_load_estimate (&load, estimate_cases[_i].mean, estimate_cases[_i].others,
                          estimate_cases[_i].reported_us, 100 * SECOND);
  ck_assert_double_ge (estimate.requests, estimate_cases[_i].low);
  ck_assert_double_le (estimate.requests, estimate_cases[_i].high);
  ck_assert_int_eq (estimate.deviation == 0.0, estimate_cases[_i].certain);
}
END_TEST

/* Guards against a mean that is taken from reports that are too old, or from none. */
START_TEST (the_mean_follows_reports_and_else_the_own_requests)
{
  DyServiceLoad load = { .n_in_flight = 6 };
  ck_assert_double_eq_tol (dy_service_load_mean (&load, 60, 11, SECOND), 1.0, 1e-9);
  ck_assert_double_eq_tol (dy_service_load_mean (&load, 0, 11, SECOND), 0.0, 1e-9);
  ck_assert_double_eq_tol (dy_service_load_mean (&load, 60, 0, SECOND), 0.0, 1e-9);
  dy_service_load_record_report (&load, 16.0, SECOND);
  ck_assert_double_eq_tol (dy_service_load_mean (&load, 60, 11, 2 * SECOND), 16.0, 1e-9);
  dy_service_load_record_report (&load, 0.0, 2 * SECOND);
  ck_assert_double_eq_tol (dy_service_load_mean (&load, 60, 11, 2 * SECOND), 15.0, 1e-9);
  ck_assert_double_eq_tol (dy_service_load_mean (&load, 60, 11, 20 * SECOND), 1.0, 1e-9);
}
END_TEST

/* Guards against a single answer, or an old one, that rules an endpoint out. */
START_TEST (speeds_are_bounded_and_forgotten)
{
  DyServicePace service = { 0 };
  DyEndpointSpeed usual = { 0 };
  DyEndpointSpeed slow = { 0 };
  ck_assert_double_eq_tol (dy_endpoint_speed_slowdown (&slow, SECOND), 1.0, 1e-9);
  for (int i = 0; i < 50; i++)
    dy_endpoint_speed_record_pace (&usual, &service, 1000.0, SECOND);
  dy_endpoint_speed_record_pace (&slow, &service, 1e9, SECOND);
  ck_assert_double_le (dy_endpoint_speed_slowdown (&slow, SECOND), 2.0);
  dy_endpoint_speed_record_pace (&slow, &service, -1.0, SECOND);
  dy_endpoint_speed_record_pace (&slow, &service, 0.0 / 0.0, SECOND);
  ck_assert_double_le (dy_endpoint_speed_slowdown (&slow, SECOND), 2.0);
  ck_assert_double_eq_tol (dy_endpoint_speed_factor (&usual, SECOND), 1.0, 0.01);
  ck_assert_double_le (dy_endpoint_speed_slowdown (&slow, 600 * SECOND), 1.01);
  dy_endpoint_speed_record_slowness (&usual, 10000, 2 * SECOND);
  ck_assert_double_eq_tol (dy_endpoint_speed_slowdown (&usual, 2 * SECOND), 4.0, 0.1);
  ck_assert_double_le (dy_endpoint_speed_slowdown (&usual, 20 * SECOND), 1.05);
}
END_TEST

static DyPlacementEndpoint *
put_endpoint (DyPlacement *placement, const char *id, const char *data_centre)
{
  DyEndpointRecord record = {
    .id = id, .service = "llm", .address = id, .data_centre = data_centre, .slots = 8, .start_ms = 1
  };
  dy_placement_put (placement, &record);
  return g_hash_table_lookup (placement->by_id, id);
}

/* Loads of a local endpoint and of one elsewhere, as reported just now, and which one is chosen. */
static const struct
{
  uint32_t local;
  uint32_t remote;
  bool cached_remote;
  int64_t memory_tokens;
  bool chooses_remote;
} centre_cases[] = {
  { 5, 0, false, 0, false },     /* guards against bytes between data centres for evenness */
  { 20, 0, false, 0, true },     /* guards against a queue beside idle endpoints */
  { 20, 20, false, 0, false },   /* both are full */
  { 5, 0, true, 0, true },       /* guards against prefixes that are read again */
  { 5, 0, false, 40000, true },  /* guards against an endpoint whose memory is full */
  { 5, 5, false, 40000, false }, /* both memories are full */
};

START_TEST (other_data_centres_are_for_prefixes_and_full_endpoints)
{
  static const DyPromptWork work
      = { .shared_tokens = 6000, .own_tokens = 2000, .output_tokens = 500 };
  DyPlacement placement;
  dy_placement_init (&placement, &dy_placement_policy, "a", 1);
  dy_placement_set_spread (&placement, true, 24);
  dy_placement_set_memory (&placement, "llm", centre_cases[_i].memory_tokens);
  DyPlacementEndpoint *local = put_endpoint (&placement, "e0", "a");
  DyPlacementEndpoint *remote = put_endpoint (&placement, "e1", "b");
  DyPlacementQuery query = { .service = "llm", .work = work };
  dy_placement_begin (&placement, local, &work, SECOND);
  dy_placement_end (&placement, local, &work, false, DY_PLACEMENT_ANSWERED, SECOND);
  /* A prefix whose affinity endpoint is the remote one. */
  if (centre_cases[_i].cached_remote)
    do
      query.work.prefix_hash++;
    while (dy_placement_choose (&placement, &query, SECOND, NULL) != remote
           && query.work.prefix_hash < 64);
  dy_placement_report (&placement, local, centre_cases[_i].local, 0, SECOND);
  dy_placement_report (&placement, remote, centre_cases[_i].remote, 0, SECOND);
  for (int i = 0; i < 50; i++)
    ck_assert_int_eq (dy_placement_choose (&placement, &query, SECOND + i, NULL) == remote,
                      centre_cases[_i].chooses_remote);
  dy_placement_finish (&placement);
}
END_TEST

int
main (void)
{
  TCase *tcase = tcase_create ("even_load");
  tcase_set_timeout (tcase, 150);
  tcase_add_loop_test (tcase, estimates_return_to_the_mean, 0, G_N_ELEMENTS (estimate_cases));
  tcase_add_test (tcase, the_mean_follows_reports_and_else_the_own_requests);
  tcase_add_test (tcase, speeds_are_bounded_and_forgotten);
  tcase_add_loop_test (tcase, other_data_centres_are_for_prefixes_and_full_endpoints, 0,
                       G_N_ELEMENTS (centre_cases));
  tcase_add_loop_test (tcase, the_busiest_endpoint_gets_little_more_than_the_mean, 0,
                       G_N_ELEMENTS (replay_cases));
  return suite_run ("even_load", tcase);
}
