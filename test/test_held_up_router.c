/* Requests that wait at a router that stands still, while what it knows of endpoints and routes
 * grows old: real router processes. */

#include "support/suite.h"
#include "support/traffic.h"

#include <signal.h>

enum
{
  INTERVAL_MS = 20,
  CALM_MS = 500,
  UNWATCHED_MS = 250, /* after a change, while no watch is sent, so that the next one has several */
  GIVEN_UP_MS = 1500, /* from then on the others send the router nothing */
  /* Changes must be in force within APPLY_MS; the router goes on after that. */
  APPLY_MS = 2000,
  HELD_MS = APPLY_MS + 400,
  AFTER_MS = 600,
  PREPAID = 10000000,
  LEAVING_WORKER = 0, /* of service "app" */
};

static const char EXTRA_ROUTE[]
    = "{\"name\":\"new\",\"host\":\"h.example\",\"pathPrefix\":\"/new/\",\"routeType\":"
      "\"idempotent\",\"timeoutMs\":5000,\"targetLatencyMs\":100,\"priority\":1,\"service\":"
      "\"app\",\"maxAttempts\":2}";

static const uint32_t router_counts[] = { 1, 2, 5 };

static void
on_continue (struct ev_loop *loop, ev_timer *w, int events)
{
  const Site *site = w->data;
  (void) loop;
  (void) events;
  kill (site->router_process[0].pid, SIGCONT);
}

/* Sends requests to router 0, which stands still, and lets it go on HELD_MS later. */
static TrafficResult
run_held (Site *site, const char *target)
{
  const TrafficStream stream = { target, "", INTERVAL_MS, 0, 1 };
  TrafficResult result;
  ev_timer timer;
  ev_timer_init (&timer, on_continue, HELD_MS / 1e3, 0.0);
  timer.data = site;
  ev_now_update (site->fleet.loop);
  ev_timer_start (site->fleet.loop, &timer);
  traffic_run (site, &stream, &result, 1, HELD_MS + AFTER_MS);
  return result;
}

/* Starts a site whose route table has EXTRA and whose store takes a fifth of a second to answer
 * router 0, and stops that router when it has no watch in progress. Returns once the others have
 * given it up. */
static void
start_site (Site *site, uint32_t n_routers, const char *extra)
{
  static const char changed[] = "{\"service\":\"llm\",\"address\":\"127.0.0.1:9\",\"zone\":"
                                "\"dc-a\",\"slots\":6,\"state\":\"draining\",\"sequence\":9}";
  const TrafficStream stream = { "/ok/x/ok", "", INTERVAL_MS, 0, 0 };
  TrafficResult result;
  ck_assert (site_init_relayed (site, n_routers, PREPAID));
  relay_set_fault (&site->store_relay[0], RELAY_DELAY);
  traffic_run (site, &stream, &result, 1, CALM_MS);
  ck_assert_uint_eq (result.n_served, result.n_sent);
  ck_assert (site_put_routes (site, 2, extra, PREPAID));
  ck_assert (site_put_worker (site, SITE_N_WORKERS - 1, "", changed));
  site_run_for (site, UNWATCHED_MS);
  kill (site->router_process[0].pid, SIGSTOP);
  site_run_for (site, GIVEN_UP_MS);
}

START_TEST (held_up_requests_are_not_sent_to_an_endpoint_that_left_meanwhile)
{
  Site site;
  start_site (&site, router_counts[_i], NULL);
  int64_t n_before = site_worker_runs (&site, LEAVING_WORKER);
  ck_assert (site_put_worker (&site, LEAVING_WORKER, "draining", NULL));
  run_held (&site, "/ok/x/ok");
  ck_assert_int_eq (site_worker_runs (&site, LEAVING_WORKER), n_before);
  site_finish (&site);
}
END_TEST

START_TEST (held_up_requests_are_not_run_by_a_route_that_was_removed_meanwhile)
{
  Site site;
  start_site (&site, router_counts[_i], EXTRA_ROUTE);
  ck_assert (site_put_routes (&site, 3, NULL, PREPAID));
  TrafficResult result = run_held (&site, "/new/x/ok");
  ck_assert_uint_eq (result.n_served, 0);
  site_finish (&site);
}
END_TEST

START_TEST (held_up_requests_are_not_denied_for_a_route_that_was_added_meanwhile)
{
  Site site;
  start_site (&site, router_counts[_i], NULL);
  ck_assert (site_put_routes (&site, 3, EXTRA_ROUTE, PREPAID));
  run_held (&site, "/new/x/ok");
  ck_assert_uint_eq (site_count_output (&site, 0, "kind=not_found"), 0);
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
  TCase *tcase = tcase_create ("held_up_router");
  int n = G_N_ELEMENTS (router_counts);
  tcase_set_timeout (tcase, TIMEOUT_S);
  tcase_add_loop_test (tcase, held_up_requests_are_not_sent_to_an_endpoint_that_left_meanwhile, 0,
                       n);
  tcase_add_loop_test (tcase, held_up_requests_are_not_run_by_a_route_that_was_removed_meanwhile, 0,
                       n);
  tcase_add_loop_test (tcase, held_up_requests_are_not_denied_for_a_route_that_was_added_meanwhile,
                       0, n);
  return suite_run ("held_up_router", tcase);
}
