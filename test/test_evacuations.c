/* Evacuated data centres: which endpoints placement may choose, and the ramp in which they return.
 * In virtual time, without a network. */

#include "support/suite.h"

#include "core/placement.h"

#include <string.h>

enum
{
  MS = 1000,
  SECOND = 1000 * 1000,
  N_ENDPOINTS = 6, /* "e0" to "e5", in "dc-0", "dc-1" and "dc-2" in turn */
  N_DATA_CENTRES = 3,
};

static const char *const data_centres[N_DATA_CENTRES] = { "dc-0", "dc-1", "dc-2" };

static void
put (DyPlacement *placement, uint32_t i, const char *data_centre, int64_t start_ms)
{
  char id[8];
  g_snprintf (id, sizeof id, "e%u", i);
  DyEndpointRecord record = { .id = id,
                              .service = "llm",
                              .address = "127.0.0.1:1",
                              .data_centre = data_centre,
                              .slots = 6,
                              .start_ms = start_ms };
  dy_placement_put (placement, &record);
}

/* The router is in "dc-0". */
static void
placement_init (DyPlacement *placement, uint32_t seed)
{
  dy_placement_init (placement, &dy_placement_policy, data_centres[0], seed);
  for (uint32_t i = 0; i < N_ENDPOINTS; i++)
    put (placement, i, data_centres[i % N_DATA_CENTRES], 1);
}

static bool
set (DyPlacement *placement, uint32_t data_centre, bool evacuated, int64_t now_us)
{
  return dy_placement_set_evacuated (placement, data_centres[data_centre], evacuated, now_us);
}

static DyPlacementEndpoint *
choose (DyPlacement *placement, uint64_t prefix_hash, int64_t now_us)
{
  DyPlacementQuery query
      = { .service = "llm", .work = { .prefix_hash = prefix_hash, .shared_tokens = 500 } };
  return dy_placement_choose (placement, &query, now_us, NULL);
}

static uint32_t
data_centre_of (const DyPlacementEndpoint *endpoint)
{
  return (uint32_t) (dy_placement_endpoint_id (endpoint)[1] - '0') % N_DATA_CENTRES;
}

/* What draws requests to the evacuated data centre. */
typedef enum
{
  DRAWN_BY_NOTHING,
  DRAWN_BY_PREFIX, /* its endpoints have the prompts cached */
  DRAWN_BY_DUE,    /* a named limit is due there */
  DRAWN_BY_FAILED, /* the breakers of all others are open */
  DRAWN_BY_LOAD,   /* all others have many requests */
} Draw;

static bool
allow (void *ctx, const char *id, int64_t now_us)
{
  (void) ctx;
  (void) id;
  (void) now_us;
  return true;
}

static bool
is_in_first (void *ctx, const char *id, int64_t now_us)
{
  (void) ctx;
  (void) now_us;
  return (id[1] - '0') % N_DATA_CENTRES == 0;
}

static void
ignore_sent (void *ctx, const char *id, int64_t now_us)
{
  (void) ctx;
  (void) id;
  (void) now_us;
}

static const DyPlacementGate due_gate
    = { .allows = allow, .is_due = is_in_first, .record_sent = ignore_sent };

static void
use (DyPlacement *placement, DyPlacementEndpoint *endpoint, uint64_t prefix_hash)
{
  const DyPromptWork work = { .prefix_hash = prefix_hash, .shared_tokens = 500 };
  dy_placement_begin (placement, endpoint, &work, 0);
  dy_placement_end (placement, endpoint, &work, false, DY_PLACEMENT_ANSWERED, 0);
}

static void
draw (DyPlacement *placement, Draw kind)
{
  const DyPromptWork work = { 0 };
  for (uint64_t prefix = 1; kind == DRAWN_BY_PREFIX && prefix <= 20; prefix++)
    use (placement, (DyPlacementEndpoint *) dy_placement_find (placement, "e0"), prefix);
  if (kind == DRAWN_BY_DUE)
    dy_placement_add_gate (placement, &due_gate, NULL);
  for (uint32_t i = 0; i < N_ENDPOINTS; i++)
    {
      char id[8];
      g_snprintf (id, sizeof id, "e%u", i);
      DyPlacementEndpoint *endpoint = (DyPlacementEndpoint *) dy_placement_find (placement, id);
      if (data_centre_of (endpoint) == 0)
        continue;
      if (kind == DRAWN_BY_LOAD)
        dy_placement_report (placement, endpoint, 100, 100, 1);
      if (kind != DRAWN_BY_FAILED)
        continue;
      dy_placement_begin (placement, endpoint, &work, 0);
      dy_placement_end (placement, endpoint, &work, false, DY_PLACEMENT_UNREACHABLE, 0);
    }
}

/* Requests reached endpoints of an evacuated data centre by a path that did not ask. */
START_TEST (an_evacuated_endpoint_is_never_chosen)
{
  static const char *const names[] = { "nothing", "prefix", "due", "failed", "load" };
  DyPlacement placement;
  placement_init (&placement, 1);
  draw (&placement, (Draw) _i);
  DyPlacementEndpoint *before = (DyPlacementEndpoint *) dy_placement_find (&placement, "e0");
  ck_assert (!dy_placement_endpoint_has_left (before));
  ck_assert (set (&placement, 0, true, 0));
  ck_assert (dy_placement_endpoint_has_left (before));
  put (&placement, 0, data_centres[0], 2); /* it starts again */
  put (&placement, N_ENDPOINTS, data_centres[0], 1);
  for (int i = 0; i < 200; i++)
    {
      const DyPlacementEndpoint *chosen = choose (&placement, (uint64_t) i % 21, i * 10 * MS);
      ck_assert_ptr_nonnull (chosen);
      ck_assert_msg (data_centre_of (chosen) != 0, "%s: %s", names[_i],
                     dy_placement_endpoint_id (chosen));
    }
  ck_assert_uint_eq (dy_placement_count (&placement, "llm"), 4);
  ck_assert_uint_eq (dy_placement_count_evacuated (&placement, "llm"), 3);
  dy_placement_finish (&placement);
}
END_TEST

static uint32_t
one_place (void *ctx, const char *id, uint32_t slots)
{
  (void) ctx;
  (void) id;
  (void) slots;
  return 1;
}

/* A request waited for a place, or for the end of a pause, at endpoints that get nothing. */
START_TEST (a_service_without_other_endpoints_has_none)
{
  DyPlacement placement;
  const DyPlacementQuery query = { .service = "llm" };
  placement_init (&placement, 1);
  dy_placement_set_shares (&placement, "llm", one_place, NULL);
  ck_assert_uint_eq (dy_placement_places (&placement, "llm"), 6);
  for (uint32_t k = 0; k < N_DATA_CENTRES; k++)
    {
      ck_assert (!dy_placement_is_evacuated (&placement, "llm"));
      ck_assert (set (&placement, k, true, 0));
      ck_assert (!set (&placement, k, true, 0));
    }
  ck_assert (dy_placement_is_evacuated (&placement, "llm"));
  ck_assert (!dy_placement_is_evacuated (&placement, "other"));
  ck_assert_ptr_null (choose (&placement, 0, 0));
  ck_assert (!dy_placement_has_choice (&placement, &query, 0));
  ck_assert_uint_eq (dy_placement_places (&placement, "llm"), 0);
  dy_placement_set_wait (&placement, "e0", SECOND);
  ck_assert_int_eq (dy_placement_wait_us (&placement, "llm", 0), 0);
  /* Of two evacuations that hold at once, one ends. */
  ck_assert (set (&placement, 1, false, 0));
  ck_assert (!dy_placement_is_evacuated (&placement, "llm"));
  ck_assert_uint_eq (data_centre_of (choose (&placement, 0, 0)), 1);
  /* The last endpoint of a service leaves: it has none for another reason. */
  for (uint32_t i = 0; i < N_ENDPOINTS; i++)
    {
      char id[8];
      g_snprintf (id, sizeof id, "e%u", i);
      dy_placement_set_leaving (&placement, id, true);
    }
  ck_assert (!dy_placement_is_evacuated (&placement, "llm"));
  dy_placement_finish (&placement);
}
END_TEST

/* An evacuated endpoint was taken for one that is new when it returned. */
START_TEST (what_is_known_of_an_endpoint_outlasts_its_evacuation)
{
  const DyPromptWork work = { .prefix_hash = 7, .shared_tokens = 5000 };
  DyPlacement placement;
  placement_init (&placement, 1);
  DyPlacementEndpoint *cached = choose (&placement, 7, 0);
  dy_placement_begin (&placement, cached, &work, 0);
  uint32_t data_centre = data_centre_of (cached);
  DyPlacementEndpoint *other
      = (DyPlacementEndpoint *) dy_placement_find (&placement, data_centre == 0 ? "e1" : "e0");
  dy_placement_begin (&placement, other, &work, 0);
  dy_placement_end (&placement, other, &work, false, DY_PLACEMENT_UNREACHABLE, 0);
  for (uint32_t k = 0; k < N_DATA_CENTRES; k++)
    set (&placement, k, true, 0);
  dy_placement_end (&placement, cached, &work, false, DY_PLACEMENT_ANSWERED, 10 * MS);
  for (uint32_t k = 0; k < N_DATA_CENTRES; k++)
    set (&placement, k, false, 20 * MS);
  ck_assert_ptr_eq (choose (&placement, 7, 30 * MS), cached);
  for (int i = 0; i < 100; i++)
    ck_assert_ptr_ne (choose (&placement, 0, 30 * MS), other);
  dy_placement_finish (&placement);
}
END_TEST

/* All routers sent all that they had to the endpoints that returned idle. 24 routers of the
 * returned data centre, whose endpoints are therefore the best for each request. */
START_TEST (endpoints_return_in_a_ramp)
{
  enum
  {
    N_ROUTERS = 24,
    N_REQUESTS = 200, /* of each router in each step */
    STEP_MS = 300,
    N_STEPS = 11,
  };
  static const double TOLERANCE = 0.03;
  static DyPlacement routers[N_ROUTERS];
  uint32_t n_returned[N_STEPS] = { 0 };
  for (uint32_t r = 0; r < N_ROUTERS; r++)
    {
      placement_init (&routers[r], r + 1);
      set (&routers[r], 0, true, 0);
      set (&routers[r], 0, false, 5 * SECOND);
      for (uint32_t step = 0; step < N_STEPS; step++)
        for (int i = 0; i < N_REQUESTS; i++)
          n_returned[step]
              += data_centre_of (choose (&routers[r], 0, 5 * SECOND + (int) step * STEP_MS * MS))
                 == 0;
    }
  for (uint32_t step = 0; step < N_STEPS; step++)
    {
      double share = (double) n_returned[step] / (N_ROUTERS * N_REQUESTS);
      double expected = MIN (0.1 + 0.9 * step * STEP_MS / 3000.0, 1.0);
      ck_assert_msg (ABS (share - expected) <= TOLERANCE, "step %u: %.3f, expected %.3f", step,
                     share, expected);
    }
  /* A second evacuation in the ramp of the first one. */
  set (&routers[0], 0, true, 6 * SECOND);
  for (int i = 0; i < N_REQUESTS; i++)
    ck_assert_uint_ne (data_centre_of (choose (&routers[0], 0, 6 * SECOND)), 0);
  for (uint32_t r = 0; r < N_ROUTERS; r++)
    dy_placement_finish (&routers[r]);
}
END_TEST

/* Routers whose draws hold a prefix back from the returned data centre agree on the endpoint that
 * has it meanwhile: otherwise each of them has it read again elsewhere. */
START_TEST (routers_agree_on_the_next_affinity_endpoint)
{
  DyPlacement a;
  DyPlacement b;
  placement_init (&a, 1);
  placement_init (&b, 2);
  set (&a, 0, true, 0);
  set (&b, 0, true, 0);
  for (uint64_t prefix = 1; prefix <= 50; prefix++)
    ck_assert_str_eq (dy_placement_endpoint_id (choose (&a, prefix, 0)),
                      dy_placement_endpoint_id (choose (&b, prefix, 0)));
  dy_placement_finish (&a);
  dy_placement_finish (&b);
}
END_TEST

/* A request was refused in the ramp though endpoints were idle. */
START_TEST (the_ramp_refuses_no_request)
{
  DyPlacement placement;
  placement_init (&placement, 1);
  for (uint32_t k = 0; k < N_DATA_CENTRES; k++)
    set (&placement, k, true, 0);
  set (&placement, 0, false, SECOND);
  for (int i = 0; i < 100; i++)
    ck_assert_ptr_nonnull (choose (&placement, (uint64_t) i % 3, SECOND));
  dy_placement_finish (&placement);
}
END_TEST

/* Times in ms: the evacuation is known at 1000, the store is restored, a list lacks it at LISTED.
 */
static const struct
{
  const char *name;
  int64_t restored_ms;
  int64_t listed_ms;
  bool held;
  int64_t lapses_ms;
} hold_cases[] = {
  { "never restored", -1000000, 5000, false, 0 },
  { "just restored", 4000, 5000, true, 10000 },
  { "restored long ago", 4000, 10000, false, 0 },
  { "begun after the restore", 900, 5000, false, 0 },
};

/* An acknowledged evacuation ended because the store went back to a copy. */
START_TEST (an_evacuation_that_a_restored_store_lacks_is_held_for_a_while)
{
  DyEvacuations evacuations;
  dy_evacuations_init (&evacuations);
  dy_evacuations_set (&evacuations, "dc-0", true, 1000 * MS);
  const char *name = hold_cases[_i].name;
  ck_assert_msg (dy_evacuations_hold (&evacuations, "dc-0", hold_cases[_i].restored_ms * MS,
                                      hold_cases[_i].listed_ms * MS)
                     == hold_cases[_i].held,
                 "%s", name);
  if (hold_cases[_i].held)
    {
      int64_t lapses_us = hold_cases[_i].lapses_ms * MS;
      ck_assert_ptr_null (dy_evacuations_find_lapsed (&evacuations, lapses_us - 1));
      ck_assert_str_eq (dy_evacuations_find_lapsed (&evacuations, lapses_us), "dc-0");
      /* It is written again. */
      ck_assert (!dy_evacuations_set (&evacuations, "dc-0", true, lapses_us));
      ck_assert_ptr_null (dy_evacuations_find_lapsed (&evacuations, 10 * lapses_us));
    }
  dy_evacuations_finish (&evacuations);
}
END_TEST

START_TEST (an_unknown_data_centre_is_reported_once)
{
  DyEvacuations evacuations;
  dy_evacuations_init (&evacuations);
  for (int round = 0; round < 2; round++)
    {
      int64_t begun_us = round * 10 * SECOND;
      ck_assert (dy_evacuations_set (&evacuations, "dc-9", true, begun_us));
      ck_assert (!dy_evacuations_take_unknown (&evacuations, "dc-9", false, begun_us + SECOND));
      ck_assert (!dy_evacuations_take_unknown (&evacuations, "dc-9", true, begun_us + 3 * SECOND));
      ck_assert (dy_evacuations_take_unknown (&evacuations, "dc-9", false, begun_us + 4 * SECOND));
      ck_assert (!dy_evacuations_take_unknown (&evacuations, "dc-9", false, begun_us + 5 * SECOND));
      ck_assert_uint_eq (dy_evacuations_count (&evacuations), 1);
      ck_assert (dy_evacuations_set (&evacuations, "dc-9", false, begun_us + 6 * SECOND));
      ck_assert (!dy_evacuations_set (&evacuations, "dc-9", false, begun_us + 6 * SECOND));
    }
  ck_assert_uint_eq (dy_evacuations_count (&evacuations), 0);
  dy_evacuations_evict (&evacuations, 20 * SECOND);
  ck_assert_ptr_null (dy_evacuations_find (&evacuations, "dc-9"));
  dy_evacuations_finish (&evacuations);
}
END_TEST

int
main (void)
{
  TCase *tcase = tcase_create ("evacuations");
  tcase_add_loop_test (tcase, an_evacuated_endpoint_is_never_chosen, 0, DRAWN_BY_LOAD + 1);
  tcase_add_test (tcase, a_service_without_other_endpoints_has_none);
  tcase_add_test (tcase, what_is_known_of_an_endpoint_outlasts_its_evacuation);
  tcase_add_test (tcase, endpoints_return_in_a_ramp);
  tcase_add_test (tcase, routers_agree_on_the_next_affinity_endpoint);
  tcase_add_test (tcase, the_ramp_refuses_no_request);
  tcase_add_loop_test (tcase, an_evacuation_that_a_restored_store_lacks_is_held_for_a_while, 0,
                       G_N_ELEMENTS (hold_cases));
  tcase_add_test (tcase, an_unknown_data_centre_is_reported_once);
  return suite_run ("evacuations", tcase);
}
