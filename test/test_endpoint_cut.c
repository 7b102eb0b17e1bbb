/* Routers that are cut off from all endpoints, while callers, the store and other routers reach
 * them: real router processes. */

#include "support/suite.h"
#include "support/traffic.h"

enum
{
  INTERVAL_MS = 20,
  CALM_MS = 1000,
  CUT_MS = 4000,
  AFTER_MS = 2000,
  PREPAID = 10000000,
};

static const double MIN_SERVED = 0.9;

static const struct
{
  uint32_t n_routers;
  uint32_t n_cut;
  RelayCut cut;
} cases[] = { { 5, 2, RELAY_CUT_RESET },  { 5, 4, RELAY_CUT_RESET }, { 9, 8, RELAY_CUT_RESET },
              { 9, 8, RELAY_CUT_SILENT }, { 9, 3, RELAY_CUT_NEW },   { 9, 8, RELAY_CUT_NEW } };

static void
set_cut (Site *site, uint32_t n, RelayCut cut)
{
  for (uint32_t i = 0; i < n; i++)
    site_cut_router (site, i, cut);
}

/* Returns the number of prompt parts that router I refuses. */
static size_t
count_blocked_parts (Site *site, uint32_t i)
{
  json_t *dump = fleet_call (&site->fleet, "GET", site->operators[i], "/dump", NULL);
  const json_t *blocks = json_object_get (dump, "part_blocks");
  ck_assert_ptr_nonnull (blocks);
  size_t n = json_array_size (json_object_get (blocks, "blocked"));
  json_decref (dump);
  return n;
}

/* Connections that a cut resets are no sign that the endpoints crashed under the requests. The
 * conversations of the first two streams go on at the routers that are cut off only. */
START_TEST (a_cut_from_all_endpoints_does_not_count_as_their_crash)
{
  uint32_t n_cut = cases[_i].n_cut;
  const TrafficStream streams[]
      = { { "/s/x/stream", "c1:4,", 2 * INTERVAL_MS, 0, n_cut },
          { "/s/x/stream", "c2:4,", 2 * INTERVAL_MS, 0, n_cut },
          { "/s/x/stream", "a1:4,", INTERVAL_MS, n_cut, cases[_i].n_routers - n_cut } };
  TrafficResult results[G_N_ELEMENTS (streams)];
  Site site;
  ck_assert (site_init_large (&site, cases[_i].n_routers, SITE_MAX_WORKERS, PREPAID));
  traffic_run (&site, &streams[2], results, 1, CALM_MS);
  set_cut (&site, n_cut, cases[_i].cut);
  traffic_run (&site, streams, results, G_N_ELEMENTS (streams), CUT_MS);
  for (uint32_t i = 0; i < site.n_routers; i++)
    ck_assert_uint_eq (count_blocked_parts (&site, i), 0);
  set_cut (&site, n_cut, RELAY_CUT_NONE);
  site_run_for (&site, AFTER_MS);
  traffic_run (&site, streams, results, G_N_ELEMENTS (streams), AFTER_MS);
  for (size_t i = 0; i < G_N_ELEMENTS (streams); i++)
    ck_assert_msg (results[i].n_served >= MIN_SERVED * results[i].n_sent, "%u of %u served",
                   results[i].n_served, results[i].n_sent);
  site_finish (&site);
}
END_TEST

int
main (void)
{
  enum
  {
    TIMEOUT_S = 60,
  };
  TCase *tcase = tcase_create ("endpoint_cut");
  tcase_set_timeout (tcase, TIMEOUT_S);
  tcase_add_loop_test (tcase, a_cut_from_all_endpoints_does_not_count_as_their_crash, 0,
                       G_N_ELEMENTS (cases));
  return suite_run ("endpoint_cut", tcase);
}
