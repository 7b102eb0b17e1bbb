/* Endpoints that become cold, through real router processes. Guards against a fleet that sends a
 * cold endpoint more than it tolerates in a second, which then crashes, against one that leaves it
 * unused, and against requests that are held until their time limit when only cold endpoints are
 * left. */

#include "support/gateway_fixture.h"
#include "support/suite.h"
#include "support/traffic.h"

#include "platform/dialect.h"

#include <string.h>

enum
{
  COLD_WORKER = 2, /* one of the two of service "llm" */
  OTHER_WORKER = 3,
  INTERVAL_MS = 64,
  CRASH_LIMIT = 40, /* requests in a second beyond which the endpoint crashes */
  LEARN_MS = 2000,  /* endpoints_bound_ms of the routers */
  FILLED_MS = 3500, /* all places of the window are free by then */
  FIRST_RUN_MS = 5000,
  ALONE_RUN_MS = 4000,
  RESTARTED_RUN_MS = 5500, /* until a separate router has a share, and the window is free */
  WARM_RUN_MS = 2500,
  IN_RAMP_MS = SITE_COLD_MS + 900, /* all routers know since that it is warm */
  RAMP_RUN_MS = 600,
  LONGEST_REFUSAL_MS = 400,
  N_TRIED = 30,
};

static const double USED_FRACTION = 0.7;

static const TrafficStream streams[] = { { "/s/x/stream", "a1:4,", INTERVAL_MS, 0, 0 },
                                         { "/s/x/stream", "a2:4,", INTERVAL_MS, 0, 0 },
                                         { "/s/x/stream", "a3:4,", INTERVAL_MS, 0, 0 },
                                         { "/s/x/stream", "a4:4,", INTERVAL_MS, 0, 0 } };

static const struct
{
  uint32_t n_routers;
  bool separate;
} site_cases[] = { { 2, false }, { 5, false }, { 5, true }, { 9, false } };

static void
post (Site *site, const char *path, const char *body)
{
  FleetRequest request
      = { .method = "POST", .address = site->workers[COLD_WORKER], .path = path, .body = body };
  ck_assert_uint_eq (fleet_request (&site->fleet, &request, NULL), 200);
}

static void
become_cold (Site *site, int64_t ms)
{
  char *body = g_strdup_printf ("{\"ms\":%d,\"limit\":%d}", (int) ms, CRASH_LIMIT);
  post (site, "/admin/cold", body);
  g_free (body);
  ck_assert (site_put_cold (site, COLD_WORKER, ms));
}

/* Cold times of records and answers, and what a service states. */
static const struct
{
  const char *value;
  int64_t record_ms;
  int64_t answer_ms; /* with VALUE as text */
} cold_times[] = {
  { "0", 0, 0 },
  { "1500", 1500, 1500 },
  { "600000", 600000, 600000 },
  { "600001", DY_COLD_TIME_INVALID, -1 },
  { "1e300", DY_COLD_TIME_INVALID, -1 },
  { "-1", DY_COLD_TIME_INVALID, -1 },
  { "null", DY_COLD_TIME_NOT_STATED, -1 },
  { "\"12\"", DY_COLD_TIME_INVALID, -1 },
  { "{}", DY_COLD_TIME_INVALID, -1 },
};

static const struct
{
  const char *fields;
  int64_t cold_ms;
  int64_t per_1000_s;
  bool invalid;
} service_cases[] = {
  { "", 0, 0, false },
  { ",\"coldStartS\":2.5,\"coldPerS\":12", 2500, 12000, false },
  { ",\"coldStartS\":20,\"coldPerS\":0", 20000, 0, false },
  { ",\"coldStartS\":601,\"coldPerS\":0.5", 0, 500, true },
  { ",\"coldStartS\":20,\"coldPerS\":-1", 20000, 0, true },
  { ",\"coldStartS\":\"x\",\"coldPerS\":1e12", 0, 0, true },
};

START_TEST (cold_time_that_cannot_be_used_is_told_from_others)
{
  const char *value = cold_times[_i].value;
  char *text = g_strdup_printf ("{\"service\":\"llm\",\"address\":\"127.0.0.1:1\",\"zone\":\"a\","
                                "\"slots\":1,\"state\":\"ready\",\"coldRemainingMs\":%s}",
                                value);
  DyEndpointRecord record;
  json_t *document;
  DyAnswerHead head;
  DyHttpHeader header = { .name = "x-cold-ms", .value = value };
  ck_assert_int_eq (
      dy_platform_dialect.decode_endpoint ("i", text, strlen (text), &record, &document), 0);
  ck_assert_msg (record.cold_ms == cold_times[_i].record_ms, "%s: %d", value, (int) record.cold_ms);
  dy_platform_dialect.decode_answer (&header, 1, &head);
  ck_assert_msg (head.cold_ms == cold_times[_i].answer_ms, "%s: %d", value, (int) head.cold_ms);
  ck_assert_msg ((head.unreadable != NULL) == (head.cold_ms < 0), "%s", value);
  json_decref (document);
  g_free (text);
}
END_TEST

START_TEST (cold_time_and_rate_of_a_service)
{
  DyRouteTable table;
  char *text = g_strdup_printf ("{\"version\":1,\"routes\":[],\"services\":[{\"name\":\"llm\"%s}]}",
                                service_cases[_i].fields);
  ck_assert_int_eq (dy_platform_dialect.decode_routes (text, strlen (text), &table), 0);
  const DyRouteService *service = dy_route_table_service (&table, "llm");
  ck_assert_int_eq (service->cold_ms, service_cases[_i].cold_ms);
  ck_assert_int_eq (service->cold_per_1000_s, service_cases[_i].per_1000_s);
  ck_assert_int_eq (service->cold_invalid, service_cases[_i].invalid);
  dy_route_table_finish (&table);
  g_free (text);
}
END_TEST

/* --- attempts of one router --- */

enum
{
  ONE_BOUND = 8,
  FIXTURE_COLD_MS = 60 * 1000,
};

static DyColdPlace
only_router (void *ctx, const char *endpoint, int64_t now_us)
{
  (void) ctx;
  (void) endpoint;
  (void) now_us;
  return (DyColdPlace){ .bound = ONE_BOUND, .cold_us = FIXTURE_COLD_MS * 1000, .n_routers = 1 };
}

static bool
allows (void *ctx, const char *id, int64_t now_us)
{
  return dy_cold_shares_allow (&((Fixture *) ctx)->cold.shares, id, now_us);
}

/* A gateway whose endpoints "e0" and "e1" are cold or not, long after the start of the process. */
static void
start_fixture (Fixture *fixture, int64_t cold_ms)
{
  static const DyPlacementGate gate = { .allows = allows };
  fixture_init (fixture);
  fixture->settings.cold_overage_thousandths = 1000;
  int64_t before_us = dy_kernel_now_us (&fixture->kernel) - 20 * 1000 * 1000;
  DyColdEndpoints *cold = &fixture->cold;
  cold->kernel = &fixture->kernel;
  cold->directory = &fixture->directory;
  cold->cold = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  dy_cold_shares_init (&cold->shares, only_router, NULL, "r0", LEARN_MS * 1000, before_us);
  dy_placement_add_gate (&fixture->directory.placement, &gate, fixture);
  for (int i = 0; i < FIXTURE_N_NEAR; i++)
    {
      char id[] = { 'e', (char) ('0' + i), '\0' };
      fixture_put_endpoint (fixture, i, false);
      dy_cold_shares_put (&cold->shares, id, 0, cold_ms * 1000, 1, before_us + 5 * 1000 * 1000);
      if (cold_ms > 0)
        g_hash_table_add (cold->cold, g_strdup (id));
    }
}

static void
finish_fixture (Fixture *fixture)
{
  fixture_finish (fixture);
  dy_cold_shares_finish (&fixture->cold.shares);
  g_hash_table_unref (fixture->cold.cold);
}

static const DyColdEndpoint *
cold_endpoint (const Fixture *fixture, const char *id)
{
  return g_hash_table_lookup (fixture->cold.shares.endpoints, id);
}

/* A place that an ended attempt keeps would never be free again. */
START_TEST (each_attempt_takes_a_place_and_none_keeps_it_once_it_has_ended)
{
  enum
  {
    N_SENT = 24,
  };
  FixtureAnswer answers[N_SENT];
  Fixture fixture;
  int n_served = 0;
  start_fixture (&fixture, FIXTURE_COLD_MS);
  /* Attempts at the first endpoint reserve places, fail to connect, and are made at the other. */
  dy_http_server_finish (&fixture.endpoints[0].server);
  fixture_send (&fixture, "/ok/x", answers, N_SENT);
  for (int i = 0; i < N_SENT; i++)
    {
      n_served += answers[i].result.status == 200;
      ck_assert (answers[i].result.status == 200 || answers[i].result.status == 503);
    }
  ck_assert_int_gt (n_served, 0);
  ck_assert_int_le (n_served, ONE_BOUND);
  ck_assert_int_eq (fixture.endpoints[1].n_requests, n_served);
  ck_assert_uint_eq (cold_endpoint (&fixture, "e0")->n_reserved, 0);
  ck_assert_uint_eq (cold_endpoint (&fixture, "e0")->sent_us->len, 0);
  ck_assert_uint_eq (cold_endpoint (&fixture, "e1")->n_reserved, 0);
  ck_assert_int_eq (cold_endpoint (&fixture, "e1")->sent_us->len, n_served);
  fixture_free_answers (answers, N_SENT);
  finish_fixture (&fixture);
}
END_TEST

static void
cool_if_chosen (
    void *ctx, const char *id, const char *service, uint32_t in_flight, bool breaker_open)
{
  Fixture *fixture = ctx;
  (void) service;
  (void) breaker_open;
  if (in_flight > 0)
    dy_cold_shares_put (&fixture->cold.shares, id, 0, FIXTURE_COLD_MS * 1000, 2,
                        dy_kernel_now_us (&fixture->kernel));
}

static void
cool_chosen (void *ctx)
{
  Fixture *fixture = ctx;
  fixture->on_taken = NULL;
  dy_placement_visit (&fixture->directory.placement, cool_if_chosen, fixture,
                      dy_kernel_now_us (&fixture->kernel));
}

/* Between the choice and the sending, which waits for a connection. */
START_TEST (request_goes_elsewhere_if_its_endpoint_becomes_cold_before_it_is_sent)
{
  FixtureAnswer answer;
  Fixture fixture;
  start_fixture (&fixture, 0);
  fixture.on_taken = cool_chosen;
  fixture_send (&fixture, "/x", &answer, 1);
  ck_assert_uint_eq (answer.result.status, 200);
  ck_assert_int_eq (fixture.endpoints[0].n_requests + fixture.endpoints[1].n_requests, 1);
  ck_assert_int_eq (fixture.kernel.counters.values[DY_COUNTER_COLD_WITHHELD], 1);
  fixture_free_answers (&answer, 1);
  finish_fixture (&fixture);
}
END_TEST

/* --- fleets --- */

typedef struct
{
  int worst; /* requests in the busiest second */
  int n;
} Arrivals;

/* Returns the requests that the cold endpoint got from FROM_MS to TO_MS after it became cold. */
static Arrivals
count_arrivals (Site *site, int64_t from_ms, int64_t to_ms)
{
  Arrivals arrivals = { 0 };
  json_t *stats
      = fleet_call (&site->fleet, "GET", site->workers[COLD_WORKER], "/admin/stats", NULL);
  const json_t *times = json_object_get (stats, "limited_ms");
  size_t n = json_array_size (times);
  for (size_t i = 0; i < n; i++)
    {
      int64_t start_ms = json_integer_value (json_array_get (times, i));
      int n_in_second = 0;
      if (start_ms < from_ms || start_ms >= to_ms)
        continue;
      for (size_t k = i; k < n; k++)
        n_in_second += json_integer_value (json_array_get (times, k)) < start_ms + 1000;
      arrivals.worst = MAX (arrivals.worst, n_in_second);
      arrivals.n++;
    }
  json_decref (stats);
  return arrivals;
}

/* Sends requests one after the other to router 0 while only a cold endpoint is left: a refusal must
 * come soon and say when to come back. */
static void
check_refusals (Site *site)
{
  static const SiteRequest request = { .method = "POST", .target = "/s/x/stream", .body = "" };
  int n_refused = 0;
  for (int i = 0; i < N_TRIED; i++)
    {
      SiteAnswer answer;
      int64_t started_us = g_get_monotonic_time ();
      site_send (site, 0, &request, &answer);
      int64_t ms = (g_get_monotonic_time () - started_us) / 1000;
      ck_assert_msg (answer.status == 200 || answer.status == 503, "status %u", answer.status);
      if (answer.status == 503)
        {
          n_refused++;
          ck_assert_int_eq (answer.runs, 0);
          ck_assert_ptr_nonnull (strstr (answer.head->str, "retry-after: "));
          ck_assert_msg (ms <= LONGEST_REFUSAL_MS, "refused after %d ms", (int) ms);
        }
      site_answer_finish (&answer);
    }
  ck_assert_int_gt (n_refused, 0);
}

START_TEST (cold_endpoint_gets_what_it_tolerates_and_no_more)
{
  TrafficResult results[G_N_ELEMENTS (streams)];
  Site site;
  ck_assert (site_init_cold (&site, site_cases[_i].n_routers, site_cases[_i].separate));
  /* A separate router has a share after the time limit of the list of routers. */
  traffic_run (&site, streams, results, G_N_ELEMENTS (streams), FILLED_MS);
  int64_t cold_ms = g_get_monotonic_time () / 1000;
  become_cold (&site, SITE_COLD_MS);
  traffic_run (&site, streams, results, G_N_ELEMENTS (streams), FIRST_RUN_MS);
  for (size_t i = 0; i < G_N_ELEMENTS (streams); i++)
    ck_assert_msg (results[i].n_served == results[i].n_sent, "%u of %u served", results[i].n_served,
                   results[i].n_sent);
  int n_first = count_arrivals (&site, FILLED_MS, FIRST_RUN_MS).n;
  ck_assert_int_gt (n_first, 0);
  ck_assert (site_put_worker (&site, OTHER_WORKER, "draining", NULL));
  site_run_for (&site, LEARN_MS);
  int64_t alone_ms = g_get_monotonic_time () / 1000 - cold_ms;
  traffic_run (&site, streams, results, G_N_ELEMENTS (streams), ALONE_RUN_MS);
  Arrivals alone = count_arrivals (&site, alone_ms, alone_ms + ALONE_RUN_MS);
  Arrivals all = count_arrivals (&site, LEARN_MS, SITE_COLD_MS);
  double used = (double) alone.n / (SITE_COLD_BOUND * ALONE_RUN_MS / 1e3);
  fprintf (stderr,
           "%u routers%s: %d requests in the worst second, allowed %d; %.2f of that used alone\n",
           site.n_routers, site.separate ? " apart" : "", all.worst, SITE_COLD_BOUND, used);
  ck_assert_msg (all.worst <= SITE_COLD_BOUND, "%d requests", all.worst);
  ck_assert_msg (used >= USED_FRACTION, "%.2f", used);
  ck_assert_int_eq (site_worker_stat (&site, "falls"), 0);
  check_refusals (&site);
  /* No other endpoint can take what this one does not get while its share rises. */
  site_run_for (&site, cold_ms + IN_RAMP_MS - g_get_monotonic_time () / 1000);
  traffic_run (&site, streams, results, G_N_ELEMENTS (streams), RAMP_RUN_MS);
  for (size_t i = 0; i < G_N_ELEMENTS (streams); i++)
    ck_assert_msg (results[i].n_served == results[i].n_sent, "%u of %u served when warm",
                   results[i].n_served, results[i].n_sent);
  site_finish (&site);
}
END_TEST

/* Processes that start know nothing of what those before them have sent. */
START_TEST (restarted_routers_keep_to_what_a_cold_endpoint_tolerates)
{
  TrafficResult results[G_N_ELEMENTS (streams)];
  Site site;
  ck_assert (site_init_cold (&site, site_cases[_i].n_routers, site_cases[_i].separate));
  ck_assert (site_put_worker (&site, OTHER_WORKER, "draining", NULL));
  become_cold (&site, SITE_COLD_MS);
  site_run_for (&site, LEARN_MS);
  traffic_run (&site, streams, results, G_N_ELEMENTS (streams), FILLED_MS);
  ck_assert (site_restart_routers (&site));
  traffic_run (&site, streams, results, G_N_ELEMENTS (streams), RESTARTED_RUN_MS);
  Arrivals all = count_arrivals (&site, 0, SITE_COLD_MS);
  fprintf (stderr, "%u routers%s, restarted: %d requests in the worst second, allowed %d\n",
           site.n_routers, site.separate ? " apart" : "", all.worst, SITE_COLD_BOUND);
  ck_assert_msg (all.worst <= SITE_COLD_BOUND, "%d requests", all.worst);
  ck_assert_int_eq (site_worker_stat (&site, "falls"), 0);
  site_finish (&site);
}
END_TEST

/* Records whose cold time cannot be used end no process, and the endpoint is used again later. */
START_TEST (endpoint_is_used_again_when_its_record_says_that_it_is_warm)
{
  static const char *const values[] = { "-5", "1e300", "\"soon\"", "[]", "600001" };
  TrafficResult results[G_N_ELEMENTS (streams)];
  Site site;
  ck_assert (site_init_cold (&site, 2, false));
  for (size_t i = 0; i < G_N_ELEMENTS (values); i++)
    {
      char *spec = g_strdup_printf ("{\"service\":\"llm\",\"address\":\"%s\",\"zone\":\"dc-a\","
                                    "\"slots\":6,\"state\":\"ready\","
                                    "\"sequence\":2,\"version\":\"v1\",\"coldRemainingMs\":%s}",
                                    site.workers[COLD_WORKER], values[i]);
      ck_assert (site_put_worker (&site, COLD_WORKER, "ready", spec));
      g_free (spec);
      site_run_for (&site, LEARN_MS / 4);
    }
  for (uint32_t i = 0; i < site.n_routers; i++)
    {
      ck_assert_uint_eq (site_count_output (&site, i, "cold time invalid"), 1);
      ck_assert_uint_eq (site_count_output (&site, i, "endpoint cold"), 1);
    }
  ck_assert (site_put_cold (&site, COLD_WORKER, 0));
  site_run_for (&site, LEARN_MS);
  post (&site, "/admin/cold", "{\"ms\":0,\"limit\":0}");
  traffic_run (&site, streams, results, G_N_ELEMENTS (streams), WARM_RUN_MS);
  Arrivals arrivals = count_arrivals (&site, 0, WARM_RUN_MS);
  ck_assert_msg (arrivals.n > WARM_RUN_MS / INTERVAL_MS, "%d requests", arrivals.n);
  site_finish (&site);
}
END_TEST

int
main (void)
{
  enum
  {
    TIMEOUT_S = 90,
  };
  TCase *tcase = tcase_create ("cold_endpoints");
  tcase_set_timeout (tcase, TIMEOUT_S);
  tcase_add_loop_test (tcase, cold_time_that_cannot_be_used_is_told_from_others, 0,
                       G_N_ELEMENTS (cold_times));
  tcase_add_loop_test (tcase, cold_time_and_rate_of_a_service, 0, G_N_ELEMENTS (service_cases));
  tcase_add_test (tcase, each_attempt_takes_a_place_and_none_keeps_it_once_it_has_ended);
  tcase_add_test (tcase, request_goes_elsewhere_if_its_endpoint_becomes_cold_before_it_is_sent);
  tcase_add_loop_test (tcase, cold_endpoint_gets_what_it_tolerates_and_no_more, 0,
                       G_N_ELEMENTS (site_cases));
  tcase_add_loop_test (tcase, restarted_routers_keep_to_what_a_cold_endpoint_tolerates, 0,
                       G_N_ELEMENTS (site_cases));
  tcase_add_test (tcase, endpoint_is_used_again_when_its_record_says_that_it_is_warm);
  return suite_run ("cold_endpoints", tcase);
}
