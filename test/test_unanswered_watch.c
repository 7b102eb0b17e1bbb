/* Watches that the platform's store never answers, on connections that live on: real router
 * processes on a stand-in store. */

#include "support/suite.h"
#include "support/traffic.h"

#include <string.h>

enum
{
  INTERVAL_MS = 20,
  BEFORE_MS = 500,
  SILENCE_MS = 3000, /* all calls, so that routers see an outage */
  /* Time from the acknowledgement of a change until it has to be in force. */
  APPLY_MS = 2000,
  CHECK_MS = 2000,
  PREPAID = 3000000,
};

static const char NEW_ROUTE[]
    = "{\"name\":\"new\",\"host\":\"h.example\",\"pathPrefix\":\"/new/\",\"routeType\":"
      "\"idempotent\",\"timeoutMs\":5000,\"targetLatencyMs\":100,\"priority\":1,\"service\":"
      "\"app\",\"maxAttempts\":2}";

static const TrafficStream base_stream = { "/ok/x/ok", "", INTERVAL_MS, 0, 0 };
static const TrafficStream new_stream = { "/new/x/ok", "", INTERVAL_MS, 0, 0 };

typedef enum
{
  WATCHES_DROPPED, /* those that wait; later ones are answered */
  WATCHES_MUTED,   /* those that wait, and all that come */
  STORE_SILENT,    /* for SILENCE_MS no call is answered; those of that time never are */
} StoreFault;

static const struct
{
  uint32_t n_routers;
  StoreFault fault;
} cases[] = { { 1, WATCHES_DROPPED }, { 2, WATCHES_DROPPED }, { 9, WATCHES_DROPPED },
              { 2, WATCHES_MUTED },   { 9, WATCHES_MUTED },   { 2, STORE_SILENT },
              { 9, STORE_SILENT } };

static void
begin_fault (Site *site, StoreFault fault)
{
  TrafficResult result;
  static const char *const faults[]
      = { [WATCHES_DROPPED] = "{\"drop_watches\":true}",
          [WATCHES_MUTED] = "{\"drop_watches\":true,\"mute_watches\":true}",
          [STORE_SILENT] = "{\"drop_watches\":true,\"silent\":true}" };
  /* All watches wait by then. */
  traffic_run (site, &base_stream, &result, 1, BEFORE_MS);
  site_set_store (site, faults[fault]);
  if (fault != STORE_SILENT)
    return;
  site_run_for (site, SILENCE_MS);
  site_set_store (site, "{}");
}

START_TEST (a_route_is_served_in_time_though_watches_are_unanswered)
{
  TrafficResult result;
  Site site;
  ck_assert (site_init (&site, cases[_i].n_routers));
  begin_fault (&site, cases[_i].fault);
  ck_assert (site_put_routes (&site, 2, NEW_ROUTE, PREPAID));
  site_run_for (&site, APPLY_MS);
  traffic_run (&site, &new_stream, &result, 1, CHECK_MS);
  ck_assert_msg (result.n_served == result.n_sent, "%u of %u served", result.n_served,
                 result.n_sent);
  site_finish (&site);
}
END_TEST

START_TEST (a_leaving_endpoint_gets_no_requests_though_watches_are_unanswered)
{
  TrafficResult result;
  Site site;
  ck_assert (site_init (&site, cases[_i].n_routers));
  begin_fault (&site, cases[_i].fault);
  ck_assert (site_put_worker (&site, 0, "draining", NULL));
  site_run_for (&site, APPLY_MS);
  int64_t n_before = site_worker_runs (&site, 0);
  traffic_run (&site, &base_stream, &result, 1, CHECK_MS);
  ck_assert_int_eq (site_worker_runs (&site, 0), n_before);
  ck_assert_msg (result.n_served == result.n_sent, "%u of %u served", result.n_served,
                 result.n_sent);
  site_finish (&site);
}
END_TEST

/* Neither can be proper by any declarations of these tests. */
static const struct
{
  SiteRequest request;
  unsigned status; /* while the declarations are known */
} undeclared[] = {
  { { .method = "GET", .target = "/unknown/x/ok" }, 404 },
  { { .method = "GET", .target = "/ok/x/ok", .key = "k-unknown" }, 401 },
};

static void
assert_undeclared (Site *site, bool known)
{
  for (uint32_t i = 0; i < site->n_routers; i++)
    for (size_t k = 0; k < G_N_ELEMENTS (undeclared); k++)
      {
        SiteAnswer answer;
        site_send (site, i, &undeclared[k].request, &answer);
        ck_assert_uint_eq (answer.status, known ? undeclared[k].status : 503);
        ck_assert (known || strstr (answer.head->str, "retry-after: "));
        site_answer_finish (&answer);
      }
}

/* A router that cannot know whether a route was declared since must not say that there is none. */
START_TEST (an_undeclared_route_or_key_is_refused_for_good_only_if_declarations_are_known)
{
  static const uint32_t fleets[] = { 1, 2, 9 };
  Site site;
  ck_assert (site_init (&site, fleets[_i]));
  assert_undeclared (&site, true);
  site_set_store (&site, "{\"drop_watches\":true,\"silent\":true}");
  site_run_for (&site, SILENCE_MS);
  assert_undeclared (&site, false);
  site_set_store (&site, "{}");
  site_run_for (&site, APPLY_MS);
  assert_undeclared (&site, true);
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
  TCase *tcase = tcase_create ("unanswered_watch");
  tcase_set_timeout (tcase, TIMEOUT_S);
  tcase_add_loop_test (tcase, a_route_is_served_in_time_though_watches_are_unanswered, 0,
                       G_N_ELEMENTS (cases));
  tcase_add_loop_test (tcase, a_leaving_endpoint_gets_no_requests_though_watches_are_unanswered, 0,
                       G_N_ELEMENTS (cases));
  tcase_add_loop_test (
      tcase, an_undeclared_route_or_key_is_refused_for_good_only_if_declarations_are_known, 0, 3);
  return suite_run ("unanswered_watch", tcase);
}
