/* Callers of routers that are cut off from all endpoints: real router processes. */

#include "support/suite.h"
#include "support/traffic.h"

enum
{
  INTERVAL_MS = 20,
  CALM_MS = 1000,
  CUT_MS = 3000,
  AFTER_MS = 1500,
  PREPAID = 10000000,
};

static const double MIN_SERVED = 0.9;

static void
set_cut (Site *site, uint32_t n, RelayCut cut)
{
  for (uint32_t i = 0; i < n; i++)
    site_cut_router (site, i, cut);
}

/* First tries of callers, from CONTACT_MS after the cut began. */
static const struct
{
  uint32_t n_routers;
  uint32_t n_cut;
  RelayCut cut;
} served_cases[]
    = { { 5, 2, RELAY_CUT_RESET }, { 5, 2, RELAY_CUT_NEW },    { 9, 3, RELAY_CUT_RESET },
        { 9, 8, RELAY_CUT_RESET }, { 9, 8, RELAY_CUT_NEW },    { 5, 2, RELAY_CUT_DATA },
        { 9, 8, RELAY_CUT_DATA },  { 5, 2, RELAY_CUT_SILENT }, { 9, 8, RELAY_CUT_SILENT } };

/* Callers of routers that are cut off are served two thirds as often as others at least, and no
 * more than one in fifty, and ten, of all requests fail there. */
START_TEST (callers_of_routers_that_are_cut_off_are_served)
{
  enum
  {
    CONTACT_MS = 3000,
    MAX_FAILED = 10,
    REQUESTS_PER_FAILED = 50,
  };
  uint32_t n_cut = served_cases[_i].n_cut;
  uint32_t n_others = served_cases[_i].n_routers - n_cut;
  const TrafficStream streams[] = { { "/s/x/stream", "c1:4,", INTERVAL_MS, 0, n_cut },
                                    { "/once/x/ok", "", 2 * INTERVAL_MS, 0, n_cut },
                                    { "/ok/x/ok", "", 2 * INTERVAL_MS, 0, n_cut },
                                    { "/s/x/stream", "a1:4,", INTERVAL_MS, n_cut, n_others } };
  TrafficResult results[G_N_ELEMENTS (streams)];
  uint32_t n_sent = 0;
  uint32_t n_failed = 0;
  Site site;
  ck_assert (site_init_large (&site, served_cases[_i].n_routers, SITE_MAX_WORKERS, PREPAID));
  traffic_run (&site, streams, results, G_N_ELEMENTS (streams), CALM_MS);
  set_cut (&site, n_cut, served_cases[_i].cut);
  traffic_run (&site, streams, results, G_N_ELEMENTS (streams), CONTACT_MS);
  traffic_run (&site, streams, results, G_N_ELEMENTS (streams), CUT_MS);
  double others = (double) results[3].n_served / results[3].n_sent;
  for (int i = 0; i < 3; i++)
    {
      ck_assert_msg (results[i].n_served >= 2.0 / 3.0 * others * results[i].n_sent,
                     "stream %d: %u of %u served", i, results[i].n_served, results[i].n_sent);
      n_sent += results[i].n_sent;
      n_failed += results[i].n_sent - results[i].n_served;
    }
  ck_assert_msg (n_failed <= MAX_FAILED + n_sent / REQUESTS_PER_FAILED, "%u of %u failed", n_failed,
                 n_sent);
  set_cut (&site, n_cut, RELAY_CUT_NONE);
  site_run_for (&site, AFTER_MS);
  traffic_run (&site, streams, results, G_N_ELEMENTS (streams), AFTER_MS);
  for (size_t i = 0; i < G_N_ELEMENTS (streams); i++)
    ck_assert_msg (results[i].n_served >= MIN_SERVED * results[i].n_sent,
                   "stream %zu: %u of %u served after the cut", i, results[i].n_served,
                   results[i].n_sent);
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
  TCase *tcase = tcase_create ("cut_relays");
  tcase_set_timeout (tcase, TIMEOUT_S);
  tcase_add_loop_test (tcase, callers_of_routers_that_are_cut_off_are_served, 0,
                       G_N_ELEMENTS (served_cases));
  return suite_run ("cut_relays", tcase);
}
