/* Requests while some routers reach the store and others don't: real router processes. */

#include "support/suite.h"
#include "support/traffic.h"

#include <signal.h>

enum
{
  N_ROUTERS = 3,
  INTERVAL_MS = 20,
  CALM_MS = 1000,
  AWAY_MS = 5000, /* longer than anything known may be old */
  REACHED_MS = 4000,
  NOT_PREPAID = -1,
  LEAVING_WORKER = 0, /* of service "app" */
};

static const char extra_route[]
    = "{\"name\":\"new\",\"host\":\"h.example\",\"pathPrefix\":\"/new/\",\"routeType\":"
      "\"idempotent\",\"timeoutMs\":5000,\"targetLatencyMs\":100,\"priority\":1,\"service\":"
      "\"app\",\"maxAttempts\":2}";

/* What changes while the store is away from all routers. */
static const struct
{
  const char *name;
  bool endpoint_leaves;
  bool route_is_added;
} cases[] = {
  { "an endpoint leaves", true, false },
  { "a route is added", false, true },
  { "both", true, true },
};

static void
change (Site *site, int i)
{
  if (cases[i].endpoint_leaves)
    ck_assert (site_put_worker (site, LEAVING_WORKER, "draining", NULL));
  if (cases[i].route_is_added)
    ck_assert (site_put_routes (site, 2, extra_route, NOT_PREPAID));
}

/* The changes themselves must reach routers that cannot read them from the store. */
START_TEST (routers_that_do_not_reach_the_store_serve_by_what_another_one_tells)
{
  const TrafficStream all = { "/ok/x/ok", "", INTERVAL_MS, 0, 0 };
  const TrafficStream others = { "/ok/x/ok", "", INTERVAL_MS, 1, N_ROUTERS - 1 };
  TrafficResult result;
  Site site;
  ck_assert (site_init_relayed (&site, N_ROUTERS, NOT_PREPAID));
  traffic_run (&site, &all, &result, 1, CALM_MS);
  ck_assert_uint_eq (result.n_served, result.n_sent);
  for (uint32_t i = 0; i < N_ROUTERS; i++)
    relay_set_fault (&site.store_relay[i], RELAY_DROP);
  change (&site, _i);
  traffic_run (&site, &all, &result, 1, AWAY_MS);
  ck_assert_msg (result.n_served == result.n_sent, "%s, away: %u of %u served", cases[_i].name,
                 result.n_served, result.n_sent);
  relay_set_fault (&site.store_relay[0], RELAY_PASS);
  traffic_run (&site, &others, &result, 1, REACHED_MS);
  ck_assert_msg (result.n_served == result.n_sent, "%s: %u of %u served", cases[_i].name,
                 result.n_served, result.n_sent);
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
  TCase *tcase = tcase_create ("partial_outage");
  signal (SIGPIPE, SIG_IGN);
  tcase_set_timeout (tcase, TIMEOUT_S);
  tcase_add_loop_test (tcase, routers_that_do_not_reach_the_store_serve_by_what_another_one_tells,
                       0, G_N_ELEMENTS (cases));
  return suite_run ("partial_outage", tcase);
}
