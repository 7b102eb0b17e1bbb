/* Changes of watched objects at routers that do not reach the store: real router processes, and a
 * store that is silent towards most of them. */

#include "support/suite.h"
#include "support/traffic.h"

#include <signal.h>

enum
{
  N_ROUTERS = 9,
  N_REACHING = 2, /* routers that still reach the store */
  INTERVAL_MS = 20,
  CALM_MS = 1000,
  BOUND_MS = 2000,
  CUT_MS = 6000, /* longer than anything known may be old, and than the store's time limit */
  NOT_PREPAID = -1,
};

static const char extra_route[]
    = "{\"name\":\"new\",\"host\":\"h.example\",\"pathPrefix\":\"/new/\",\"routeType\":"
      "\"idempotent\",\"timeoutMs\":5000,\"targetLatencyMs\":100,\"priority\":1,\"service\":"
      "\"app\",\"maxAttempts\":2}";

/* Guards against routers that learn from others that a later configuration exists, get it from
 * none, and refuse all requests. The first of the routers that still reach the store differs, so
 * that the router which keeps the watch is among the others in some cases. */
START_TEST (routers_cut_off_from_the_store_serve_by_a_configuration_that_others_have)
{
  const TrafficStream streams[]
      = { { "/ok/x/ok", "", INTERVAL_MS, 0, 0 }, { "/new/x/ok", "", INTERVAL_MS, 0, 0 } };
  TrafficResult results[2];
  Site site;
  ck_assert (site_init_relayed (&site, N_ROUTERS, NOT_PREPAID));
  traffic_run (&site, streams, results, 1, CALM_MS);
  ck_assert_uint_eq (results[0].n_served, results[0].n_sent);
  for (uint32_t i = 0; i < N_ROUTERS; i++)
    if (i < (uint32_t) _i || i >= (uint32_t) _i + N_REACHING)
      relay_set_fault (&site.store_relay[i], RELAY_DROP);
  ck_assert (site_put_routes (&site, 2, extra_route, NOT_PREPAID));
  traffic_run (&site, streams, results, 1, BOUND_MS);
  ck_assert_msg (results[0].n_served == results[0].n_sent, "at first %u of %u served",
                 results[0].n_served, results[0].n_sent);
  traffic_run (&site, streams, results, 2, CUT_MS);
  for (uint32_t i = 0; i < 2; i++)
    ck_assert_msg (results[i].n_served == results[i].n_sent, "%s: %u of %u served",
                   streams[i].target, results[i].n_served, results[i].n_sent);
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
  TCase *tcase = tcase_create ("changes_from_peers");
  signal (SIGPIPE, SIG_IGN);
  tcase_set_timeout (tcase, TIMEOUT_S);
  tcase_add_loop_test (tcase,
                       routers_cut_off_from_the_store_serve_by_a_configuration_that_others_have, 0,
                       N_ROUTERS - N_REACHING + 1);
  return suite_run ("changes_from_peers", tcase);
}
