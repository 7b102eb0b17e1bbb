/* Choice of endpoints whose attempts were given up as silent: cases in virtual time. */

#include "support/suite.h"

#include "core/placement.h"

#include <string.h>

enum
{
  MS = 1000, /* microseconds */
  N_ENDPOINTS = 4,
  SILENT_US = 1000 * MS, /* time at which the attempts are given up */
};

static const char *const ids[N_ENDPOINTS] = { "e0", "e1", "e2", "e3" };
static const DyPromptWork no_work = { 0 };

static void
placement_init (DyPlacement *placement)
{
  dy_placement_init (placement, &dy_placement_policy, "a", 1);
  for (int i = 0; i < N_ENDPOINTS; i++)
    {
      DyEndpointRecord record = { .id = (char *) ids[i],
                                  .service = "app",
                                  .address = "127.0.0.1:1",
                                  .data_centre = "a",
                                  .version = "1",
                                  .slots = 8 };
      dy_placement_put (placement, &record);
    }
}

/* Ends N requests in flight at endpoint I at once. */
static void
end_requests (DyPlacement *placement, int i, int n, DyPlacementOutcome outcome)
{
  DyPlacementEndpoint *endpoint = g_hash_table_lookup (placement->by_id, ids[i]);
  for (int k = 0; k < n; k++)
    dy_placement_begin (placement, endpoint, &no_work, 0);
  for (int k = 0; k < n; k++)
    dy_placement_end (placement, endpoint, &no_work, false, outcome, SILENT_US);
}

static const struct
{
  const char *name;
  struct
  {
    int n;
    DyPlacementOutcome outcome;
  } ends[N_ENDPOINTS];
  int least[N_ENDPOINTS]; /* of 40 requests */
  int most[N_ENDPOINTS];
} spread_cases[] = {
  { "all silent",
    { { 2, DY_PLACEMENT_SILENT },
      { 3, DY_PLACEMENT_SILENT },
      { 9, DY_PLACEMENT_SILENT },
      { 2, DY_PLACEMENT_SILENT } },
    { 10, 10, 10, 10 },
    { 10, 10, 10, 10 } },
  { "one cannot be reached",
    { { 1, DY_PLACEMENT_UNREACHABLE },
      { 2, DY_PLACEMENT_SILENT },
      { 2, DY_PLACEMENT_SILENT },
      { 2, DY_PLACEMENT_SILENT } },
    { 0, 13, 13, 13 },
    { 0, 14, 14, 14 } },
  { "one is only full",
    { { 1, DY_PLACEMENT_FULL },
      { 2, DY_PLACEMENT_SILENT },
      { 2, DY_PLACEMENT_SILENT },
      { 2, DY_PLACEMENT_SILENT } },
    { 40, 0, 0, 0 },
    { 40, 0, 0, 0 } },
  { "one answers",
    { { 2, DY_PLACEMENT_SILENT },
      { 2, DY_PLACEMENT_SILENT },
      { 1, DY_PLACEMENT_ANSWERED },
      { 2, DY_PLACEMENT_SILENT } },
    { 0, 0, 40, 0 },
    { 0, 0, 40, 0 } },
};

/* All requests went to one endpoint while all were silent. */
START_TEST (requests_are_spread_over_endpoints_that_are_all_silent)
{
  enum
  {
    N_REQUESTS = 40,
  };
  int n[N_ENDPOINTS] = { 0 };
  DyPlacementEndpoint *chosen[N_REQUESTS];
  DyPlacement placement;
  DyPlacementQuery query = { .service = "app" };
  placement_init (&placement);
  for (int i = 0; i < N_ENDPOINTS; i++)
    end_requests (&placement, i, spread_cases[_i].ends[i].n, spread_cases[_i].ends[i].outcome);
  for (int k = 0; k < N_REQUESTS; k++)
    {
      int64_t now_us = SILENT_US + 10 * MS;
      chosen[k] = dy_placement_choose (&placement, &query, now_us, NULL);
      ck_assert_ptr_nonnull (chosen[k]);
      dy_placement_begin (&placement, chosen[k], &no_work, now_us);
      n[dy_placement_endpoint_id (chosen[k])[1] - '0']++;
    }
  for (int i = 0; i < N_ENDPOINTS; i++)
    ck_assert_msg (n[i] >= spread_cases[_i].least[i] && n[i] <= spread_cases[_i].most[i],
                   "%s: %d, %d, %d, %d", spread_cases[_i].name, n[0], n[1], n[2], n[3]);
  for (int k = 0; k < N_REQUESTS; k++)
    dy_placement_end (&placement, chosen[k], &no_work, false, DY_PLACEMENT_CANCELLED, SILENT_US);
  dy_placement_finish (&placement);
}
END_TEST

static const struct
{
  int n_given_up; /* at once */
  int64_t after_ms;
  bool open;
} length_cases[]
    = { { 1, 1, false }, { 2, 1, true }, { 2, 1000, false }, { 20, 1, true }, { 20, 1000, false } };

static void
note_open (void *ctx, const char *id, const char *service, uint32_t in_flight, bool breaker_open)
{
  (void) service;
  (void) in_flight;
  if (strcmp (id, ids[0]) == 0)
    *(bool *) ctx = breaker_open;
}

/* The more requests one silence held up, the longer the endpoint got nothing. */
START_TEST (one_silence_opens_the_breaker_once)
{
  bool open = false;
  DyPlacement placement;
  placement_init (&placement);
  end_requests (&placement, 0, length_cases[_i].n_given_up, DY_PLACEMENT_SILENT);
  dy_placement_visit (&placement, note_open, &open, SILENT_US + length_cases[_i].after_ms * MS);
  ck_assert_msg (open == length_cases[_i].open, "%d requests, after %d ms: %s",
                 length_cases[_i].n_given_up, (int) length_cases[_i].after_ms,
                 open ? "open" : "closed");
  dy_placement_finish (&placement);
}
END_TEST

int
main (void)
{
  TCase *tcase = tcase_create ("silent_breakers");
  tcase_add_loop_test (tcase, requests_are_spread_over_endpoints_that_are_all_silent, 0,
                       (int) G_N_ELEMENTS (spread_cases));
  tcase_add_loop_test (tcase, one_silence_opens_the_breaker_once, 0,
                       (int) G_N_ELEMENTS (length_cases));
  return suite_run ("silent_breakers", tcase);
}
