/* The platform's store returns from an older copy: real router processes on a stand-in store. */

#include "support/suite.h"
#include "support/traffic.h"

enum
{
  INTERVAL_MS = 20,
  BEFORE_MS = 800,
  AWAY_MS = 400,
  MARGIN_MS = 100,
  /* Time from the return after which the router has to have noticed it. */
  NOTICE_MS = 2500,
  CHECK_MS = 1000,
  MANY_REVISIONS = 400,
  PREPAID = 3000000,
};

static const double MIN_SERVED = 0.9;

static const TrafficStream base_stream = { "/ok/x/ok", "", INTERVAL_MS, 0, 0 };

static int64_t
now_ms (void)
{
  return g_get_monotonic_time () / 1000;
}

/* Returns a time to restore the store to, some way from all writes of the test. */
static int64_t
copy_time_ms (Site *site)
{
  site_run_for (site, MARGIN_MS);
  int64_t time_ms = now_ms ();
  site_run_for (site, MARGIN_MS);
  return time_ms;
}

static const struct
{
  uint32_t n_routers;
  int skip;
} route_cases[] = { { 2, 0 }, { 2, MANY_REVISIONS }, { 9, MANY_REVISIONS } };

START_TEST (a_route_added_while_the_store_was_restored_is_served)
{
  static const char added[]
      = "{\"name\":\"new\",\"host\":\"h.example\",\"pathPrefix\":\"/new/\",\"routeType\":"
        "\"idempotent\",\"timeoutMs\":5000,\"targetLatencyMs\":100,\"priority\":1,\"service\":"
        "\"app\",\"maxAttempts\":2}";
  static const TrafficStream new_stream = { "/new/x/ok", "", INTERVAL_MS, 0, 0 };
  TrafficResult result;
  Site site;
  ck_assert (site_init (&site, route_cases[_i].n_routers));
  int64_t copied_ms = copy_time_ms (&site);
  ck_assert (site_put_routes (&site, 2, NULL, PREPAID));
  traffic_run (&site, &base_stream, &result, 1, BEFORE_MS);
  SiteRestore restore = { .age_ms = now_ms () - copied_ms + AWAY_MS,
                          .away_ms = AWAY_MS,
                          .skip = route_cases[_i].skip,
                          .version = 3,
                          .extra = added,
                          .prepaid = PREPAID };
  site_restore_store (&site, &restore);
  site_run_for (&site, AWAY_MS + NOTICE_MS);
  traffic_run (&site, &new_stream, &result, 1, CHECK_MS);
  ck_assert_msg (result.n_served >= MIN_SERVED * result.n_sent, "%u of %u served", result.n_served,
                 result.n_sent);
  site_finish (&site);
}
END_TEST

START_TEST (a_router_whose_record_was_lost_registers_again)
{
  Site site;
  ck_assert (site_init (&site, 2));
  /* Before the routers registered, and after routes and endpoints were written. */
  json_t *record = site_store_object (&site, "routers/r0");
  ck_assert_ptr_nonnull (record);
  json_decref (record);
  SiteRestore restore = { .age_ms = now_ms () - site.populated_ms + AWAY_MS, .away_ms = AWAY_MS };
  site_restore_store (&site, &restore);
  site_run_for (&site, AWAY_MS + NOTICE_MS);
  for (uint32_t i = 0; i < site.n_routers; i++)
    {
      char *key = g_strdup_printf ("routers/r%u", i);
      record = site_store_object (&site, key);
      ck_assert_msg (record != NULL, "%s is missing", key);
      json_decref (record);
      g_free (key);
    }
  site_finish (&site);
}
END_TEST

static const char *const departures[] = { "draining", NULL };

START_TEST (an_endpoint_that_left_gets_no_requests_after_the_store_was_restored)
{
  static const SiteRequest request = { .method = "POST", .target = "/ok/x/ok", .body = "x" };
  Site site;
  ck_assert (site_init (&site, 2));
  int64_t copied_ms = copy_time_ms (&site);
  if (departures[_i])
    ck_assert (site_put_worker (&site, 0, departures[_i], NULL));
  else
    ck_assert (site_remove_worker (&site, 0));
  site_run_for (&site, BEFORE_MS);
  SiteRestore restore
      = { .age_ms = now_ms () - copied_ms + AWAY_MS, .away_ms = AWAY_MS, .skip = MANY_REVISIONS };
  site_restore_store (&site, &restore);
  site_run_for (&site, AWAY_MS + CHECK_MS);
  int64_t before = site_worker_runs (&site, 0);
  for (int i = 0; i < 20; i++)
    {
      SiteAnswer answer;
      site_send (&site, (uint32_t) i % site.n_routers, &request, &answer);
      ck_assert_uint_eq (answer.status, 200);
      site_answer_finish (&answer);
    }
  ck_assert_int_eq (site_worker_runs (&site, 0), before);
  site_finish (&site);
}
END_TEST

START_TEST (an_endpoint_that_the_copy_lacks_serves_on)
{
  TrafficResult result;
  Site site;
  ck_assert (site_init (&site, 2));
  for (uint32_t i = 0; i < SITE_N_WORKERS / 2; i++)
    ck_assert (site_remove_worker (&site, i));
  site_run_for (&site, BEFORE_MS);
  int64_t copied_ms = copy_time_ms (&site);
  for (uint32_t i = 0; i < SITE_N_WORKERS / 2; i++)
    ck_assert (site_put_worker (&site, i, "ready", NULL));
  traffic_run (&site, &base_stream, &result, 1, BEFORE_MS); /* so that budgets are granted */
  SiteRestore restore = { .age_ms = now_ms () - copied_ms + AWAY_MS, .away_ms = AWAY_MS };
  site_restore_store (&site, &restore);
  traffic_run (&site, &base_stream, &result, 1, AWAY_MS + CHECK_MS);
  ck_assert_uint_eq (result.n_served, result.n_sent);
  for (uint32_t i = 0; i < SITE_N_WORKERS / 2; i++)
    ck_assert (site_put_worker (&site, i, "ready", NULL));
  traffic_run (&site, &base_stream, &result, 1, NOTICE_MS);
  ck_assert_uint_eq (result.n_served, result.n_sent);
  site_finish (&site);
}
END_TEST

static const struct
{
  uint32_t n_routers;
  bool kill; /* all routers are killed while the store is away */
  int n_restores;
} budget_cases[] = { { 2, true, 1 }, { 5, true, 1 }, { 5, false, 2 }, { 9, true, 2 } };

/* An account gets no more than it has paid. Each request takes ten tokens of prompt and five events
 * of a token. */
START_TEST (an_account_gets_no_more_than_it_paid_when_the_store_is_restored)
{
  enum
  {
    REQUEST_TOKENS = 15,
    BUDGET = 6000, /* the traffic asks for more */
    SPEND_MS = 1500,
    AFTER_MS = 3000,
  };
  static const TrafficStream stream = { "/s/x/stream", "a1:4,", 5, 0, 0 };
  TrafficResult result;
  int64_t served = 0;
  Site site;
  ck_assert (site_init_relayed (&site, budget_cases[_i].n_routers, BUDGET));
  for (int i = 0; i < budget_cases[_i].n_restores; i++)
    {
      int64_t copied_ms = copy_time_ms (&site);
      traffic_run (&site, &stream, &result, 1, SPEND_MS);
      served += result.n_served;
      SiteRestore restore = { .age_ms = now_ms () - copied_ms + AWAY_MS, .away_ms = AWAY_MS };
      site_restore_store (&site, &restore);
      if (budget_cases[_i].kill)
        ck_assert (site_restart_routers (&site));
      else
        site_run_for (&site, AWAY_MS);
    }
  traffic_run (&site, &stream, &result, 1, AFTER_MS);
  served += result.n_served;
  ck_assert_int_gt (served, 0);
  ck_assert_msg (served * REQUEST_TOKENS <= BUDGET, "%d tokens of %d",
                 (int) served * REQUEST_TOKENS, BUDGET);
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
  TCase *tcase = tcase_create ("restored_store");
  tcase_set_timeout (tcase, TIMEOUT_S);
  tcase_add_loop_test (tcase, a_route_added_while_the_store_was_restored_is_served, 0,
                       G_N_ELEMENTS (route_cases));
  tcase_add_test (tcase, a_router_whose_record_was_lost_registers_again);
  tcase_add_loop_test (tcase, an_endpoint_that_left_gets_no_requests_after_the_store_was_restored,
                       0, G_N_ELEMENTS (departures));
  tcase_add_test (tcase, an_endpoint_that_the_copy_lacks_serves_on);
  tcase_add_loop_test (tcase, an_account_gets_no_more_than_it_paid_when_the_store_is_restored, 0,
                       G_N_ELEMENTS (budget_cases));
  return suite_run ("restored_store", tcase);
}
