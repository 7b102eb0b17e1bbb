/* Routed requests through real router processes, with fakes of the store and the endpoints. */

#include "support/site.h"
#include "support/suite.h"

#include <arpa/inet.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  N_ROUTERS = 2,
};

static const char *const tokens[] = { "X-Token-Counts: 10,5", "X-Prompt-Prefix: a:4,b:6", NULL };
static const char *const too_many_tokens[] = { "X-Token-Counts: 900000,200000", NULL };
static const char *const short_time[] = { "X-Deadline-Ms: 500", NULL };
static const char *const forged[]
    = { "X-Tenant: other", "X-Hold: h", "X-Pin-Ms: 5", "Kv-From: x", "X-Length-Hint: 7", NULL };

static const char all_events[] = "id: 1\ndata: piece-1\n\nid: 2\ndata: piece-2\n\n"
                                 "id: 3\ndata: piece-3\n\nid: 4\ndata: piece-4\n\n"
                                 "id: 5\ndata: piece-5\n\n";

/* Answers depend on whether an attempt may have run: 503 only when none did. */
static const struct
{
  SiteRequest request;
  unsigned status;
  bool broken;        /* the answer must not look complete */
  int64_t runs;       /* how often the request ran, at all endpoints */
  const char *body;   /* NULL: any */
  const char *header; /* part of the answer's header; NULL: any */
} cases[] = {
  { { "GET", "/ok/a%2Fb/ok?x=1%20y", .headers = NULL },
    200,
    false,
    1,
    "GET /ok/a%2Fb/ok?x=1%20y ",
    "x-server-seal: 5ea1.0.0" },
  { { "POST", "/once/x/ok", .body = "text" }, 200, false, 1, "POST /once/x/ok text", NULL },
  { { "GET", "/ok/x/ok", .host = "other.example" }, 404, false, 0, NULL, NULL },
  { { .method = "GET", .target = "/unknown/ok" }, 404, false, 0, NULL, NULL },
  { { "GET", "/ok/x/ok", .key = "k2" }, 401, false, 0, NULL, NULL },
  { { "GET", "/ok/x/ok", .headers = forged }, 200, false, 1, NULL, NULL },
  { { .method = "GET", .target = "/ok/x/error" }, 500, false, 2, NULL, "x-server-seal: 5ea1.0.0" },
  { { "POST", "/once/x/error", .body = "" }, 500, false, 1, NULL, "x-server-seal: 5ea1.0.0" },
  { { .method = "GET", .target = "/ok/x/full" }, 503, false, 0, NULL, "retry-after: 0." },
  { { "POST", "/once/x/full", .body = "" }, 503, false, 0, NULL, "retry-after: 0." },
  { { .method = "GET", .target = "/ok/x/reset" }, 502, false, 2, NULL, NULL },
  { { "POST", "/once/x/reset", .body = "" }, 502, false, 1, NULL, NULL },
  { { .method = "GET", .target = "/ok/x/torn" }, 502, false, 2, NULL, NULL },
  { { "POST", "/once/x/torn", .body = "" }, 502, false, 1, NULL, NULL },
  { { "POST", "/once/x/foreign", .body = "" }, 502, false, 1, NULL, NULL },
  { { "POST", "/once/x/unsigned", .body = "" }, 502, false, 1, NULL, NULL },
  { { "POST", "/once/x/silent", .body = "", .headers = short_time }, 504, false, 1, NULL, NULL },
  { { "POST", "/s/x/stream", .body = "", .headers = tokens }, 200, false, 1, all_events, NULL },
  { { "POST", "/s1/x/stream", .body = "", .headers = tokens }, 200, false, 1, all_events, NULL },
  { { "POST", "/s/x/tear-once", .body = "", .headers = tokens }, 200, false, 2, all_events, NULL },
  { { "POST", "/s1/x/tear-once", .body = "", .headers = tokens }, 200, true, 1, NULL, NULL },
  { { "POST", "/s/x/stream", .body = "", .headers = too_many_tokens }, 402, false, 0, NULL, NULL },
};

START_TEST (answers_reflect_what_ran)
{
  Site site;
  ck_assert (site_init (&site, N_ROUTERS));
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      SiteAnswer answer;
      site_send (&site, i % N_ROUTERS, &cases[i].request, &answer);
      const char *target = cases[i].request.target;
      ck_assert_msg (answer.status == cases[i].status, "%s: status %u, body %s", target,
                     answer.status, answer.body->str);
      ck_assert_msg (answer.complete == !cases[i].broken, "%s: complete %d", target,
                     answer.complete);
      ck_assert_msg (answer.runs == cases[i].runs, "%s: ran %d times", target, (int) answer.runs);
      if (cases[i].body)
        ck_assert_str_eq (answer.body->str, cases[i].body);
      if (cases[i].header)
        ck_assert_msg (strstr (answer.head->str, cases[i].header) != NULL, "%s: %s", target,
                       answer.head->str);
      site_answer_finish (&answer);
    }
  site_finish (&site);
}
END_TEST

static const struct
{
  const char *name;
  const char *value; /* as the endpoint must get it; NULL: it must get none */
} passed_headers[] = {
  { "Authorization", NULL }, { "X-Hold", NULL },
  { "X-Pin-Ms", NULL },      { "Kv-From", NULL },
  { "X-Tenant", "acct" },    { "X-Length-Hint", "7" },
  { "Host", "h.example" },   { "X-Expect-Instance", "i-0" },
};

START_TEST (router_headers_cannot_be_forged)
{
  Site site;
  SiteAnswer answer;
  SiteRequest request = { "GET", "/ok/x/ok", .headers = forged };
  ck_assert (site_init (&site, 1));
  ck_assert (site_put_worker (&site, 1, "draining", NULL));
  /* The second worker drains, so the first one gets the request. */
  ck_assert (fleet_wait_line (&site.router_process[0], "endpoint=i-1"));
  ck_assert (fleet_wait_line (&site.router_process[0], "leaving=1"));
  site_send (&site, 0, &request, &answer);
  ck_assert_uint_eq (answer.status, 200);
  json_t *stats = fleet_call (&site.fleet, "GET", site.workers[0], "/admin/stats", NULL);
  const json_t *last = json_object_get (stats, "last");
  for (size_t i = 0; i < G_N_ELEMENTS (passed_headers); i++)
    {
      const char *value = json_string_value (json_object_get (last, passed_headers[i].name));
      ck_assert_msg (g_strcmp0 (value, passed_headers[i].value) == 0, "%s: %s",
                     passed_headers[i].name, value ? value : "absent");
    }
  json_decref (stats);
  site_answer_finish (&answer);
  site_finish (&site);
}
END_TEST

static unsigned
send_simple (Site *site, uint32_t i, const char *target)
{
  SiteAnswer answer;
  SiteRequest request = { .method = "GET", .target = target };
  site_send (site, i, &request, &answer);
  unsigned status = answer.status;
  site_answer_finish (&answer);
  return status;
}

/* Records that are not valid endpoint records, as another writer may leave them. They are ignored
 * and do not affect other endpoints. */
static const char *const invalid_records[] = {
  "\"text\"",
  "{}",
  "{\"service\":\"app\",\"address\":\"127.0.0.1\",\"zone\":\"a\",\"slots\":1,\"state\":\"ready\"}",
  "{\"service\":\"app\",\"address\":7,\"zone\":\"a\",\"slots\":1,\"state\":\"ready\"}",
  "{\"service\":\"app\",\"address\":\"127.0.0.1:1\",\"zone\":\"a\",\"slots\":\"1\"}",
  "{\"service\":\"app\",\"address\":\"127.0.0.1:1\",\"slots\":1,\"state\":\"up\"}",
};

START_TEST (invalid_endpoint_records_are_ignored)
{
  Site site;
  ck_assert (site_init (&site, 1));
  for (size_t i = 0; i < G_N_ELEMENTS (invalid_records); i++)
    {
      ck_assert (site_put_worker (&site, 1, "ready", invalid_records[i]));
      ck_assert (fleet_wait_line (&site.router_process[0], "endpoint record unreadable"));
      ck_assert_uint_eq (send_simple (&site, 0, "/ok/x/ok"), 200);
    }
  site_finish (&site);
}
END_TEST

START_TEST (misdirected_requests_go_to_another_endpoint)
{
  Site site;
  ck_assert (site_init (&site, 1));
  json_decref (
      fleet_call (&site.fleet, "POST", site.workers[0], "/admin/set", "{\"instance\":\"i-9\"}"));
  for (int i = 0; i < 6; i++)
    ck_assert_uint_eq (send_simple (&site, 0, "/ok/x/ok"), 200);
  site_finish (&site);
}
END_TEST

static bool
is_cancelled (void *ctx)
{
  return site_worker_stat (ctx, "cancelled") > 0;
}

START_TEST (caller_disconnect_cancels_at_the_endpoint)
{
  enum
  {
    MAX_CANCEL_US = 500 * 1000,
  };
  Site site;
  SiteRequest request = { .method = "POST", .target = "/once/x/silent", .body = "" };
  ck_assert (site_init (&site, 1));
  site_send_and_disconnect (&site, 0, &request);
  int64_t disconnected_us = g_get_monotonic_time ();
  ck_assert (fleet_wait_until (&site.fleet, is_cancelled, &site));
  ck_assert_int_lt (g_get_monotonic_time () - disconnected_us, MAX_CANCEL_US);
  site_finish (&site);
}
END_TEST

static void
send_raw_and_close (const char *address, const char *text)
{
  struct sockaddr_in addr = { .sin_family = AF_INET };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  addr.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  addr.sin_port = htons ((uint16_t) atoi (strchr (address, ':') + 1));
  ck_assert_int_eq (connect (fd, (struct sockaddr *) &addr, sizeof addr), 0);
  ck_assert_int_eq (send (fd, text, strlen (text), MSG_NOSIGNAL), (ssize_t) strlen (text));
  close (fd);
}

/* While a router is stopped, callers time out and close their connections. When it continues, it
 * reads their requests and must not send them to an endpoint. */
START_TEST (requests_of_disconnected_callers_are_not_sent)
{
  static const char text[] = "GET /ok/x/ok HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: left\r\n"
                             "Authorization: Bearer k1\r\n\r\n";
  Site site;
  ck_assert (site_init (&site, 1));
  ck_assert_uint_eq (send_simple (&site, 0, "/ok/x/ok"), 200);
  fleet_signal (&site.router_process[0], SIGSTOP);
  for (int i = 0; i < 5; i++)
    send_raw_and_close (site.callers[0], text);
  fleet_signal (&site.router_process[0], SIGCONT);
  for (int i = 0; i < 5; i++)
    ck_assert_uint_eq (send_simple (&site, 0, "/ok/x/ok"), 200);
  ck_assert_int_eq (site_count_runs (&site, "left"), 0);
  site_finish (&site);
}
END_TEST

/* Callers retry a request under which endpoints fail, with new ids and at any router. The
 * quarantine, which routers share, must bound its runs. */
START_TEST (crashing_request_is_quarantined_in_the_fleet)
{
  enum
  {
    N_TRIES = 8,
    MAX_RUNS = 4, /* three, and one that was in progress when the third was reported */
  };
  Site site;
  int64_t runs = 0;
  unsigned last_status = 0;
  ck_assert (site_init (&site, N_ROUTERS));
  for (uint32_t i = 0; i < N_TRIES; i++)
    {
      SiteAnswer answer;
      SiteRequest request = { .method = "GET", .target = "/ok/crash/reset" };
      site_send (&site, i % N_ROUTERS, &request, &answer);
      runs += answer.runs;
      last_status = answer.status;
      site_answer_finish (&answer);
    }
  ck_assert_int_le (runs, MAX_RUNS);
  ck_assert_uint_eq (last_status, 503);
  ck_assert_uint_eq (send_simple (&site, 0, "/ok/other/ok"), 200);
  site_finish (&site);
}
END_TEST

static const char added_route[]
    = "{\"name\":\"new\",\"host\":\"h.example\",\"pathPrefix\":\"/new/\",\"routeType\":"
      "\"idempotent\",\"timeoutMs\":5000,\"targetLatencyMs\":100,\"service\":\"app\","
      "\"maxAttempts\":2}";

/* Faults of the store, one after the other; after each, a new version must be applied. */
static const char *const store_faults[]
    = { "{\"forget\":true}", "{\"page\":1}", "{\"silent\":true}" };

START_TEST (configuration_updates_despite_store_faults)
{
  Site site;
  ck_assert (site_init (&site, N_ROUTERS));
  for (int i = 0; i < (int) G_N_ELEMENTS (store_faults); i++)
    {
      char *line = g_strdup_printf ("key=config/main version=%d", i + 2);
      site_set_store (&site, store_faults[i]);
      ck_assert_uint_eq (send_simple (&site, 0, "/ok/x/ok"), 200);
      site_set_store (&site, "{}");
      ck_assert (site_put_routes (&site, i + 2, added_route, 1000000));
      for (uint32_t r = 0; r < N_ROUTERS; r++)
        {
          ck_assert (fleet_wait_line (&site.router_process[r], line));
          ck_assert_uint_eq (send_simple (&site, r, "/new/x/ok"), 200);
        }
      g_free (line);
    }
  /* An older version must not replace a newer one. */
  ck_assert (site_put_routes (&site, 1, NULL, 1000000));
  ck_assert (site_put_worker (&site, 1, "draining", NULL));
  ck_assert (fleet_wait_line (&site.router_process[0], "leaving=1"));
  ck_assert_uint_eq (send_simple (&site, 0, "/new/x/ok"), 200);
  site_finish (&site);
}
END_TEST

START_TEST (stopping_router_drains_and_exits)
{
  Site site;
  ck_assert (site_init (&site, 1));
  ck_assert_uint_eq (send_simple (&site, 0, "/ok/x/ok"), 200);
  fleet_signal (&site.router_process[0], SIGHUP);
  ck_assert (fleet_wait_line (&site.router_process[0], "settings read again"));
  fleet_signal (&site.router_process[0], SIGTERM);
  ck_assert (fleet_wait_line (&site.router_process[0], "drain started"));
  ck_assert (site_wait_ready (&site, 0, 503));
  ck_assert_uint_eq (send_simple (&site, 0, "/ok/x/ok"), 200);
  ck_assert (fleet_wait_exit (&site.router_process[0]));
  ck_assert_int_eq (site.router_process[0].exit_status, 0);
  site_finish (&site);
}
END_TEST

/* Sends N requests of 15 tokens and returns how many were answered with STATUS. */
static int
count_answers (Site *site, int n, unsigned status)
{
  int n_found = 0;
  for (int i = 0; i < n; i++)
    {
      SiteAnswer answer;
      SiteRequest request = { "POST", "/s/x/stream", .body = "", .headers = tokens };
      site_send (site, (uint32_t) i % site->n_routers, &request, &answer);
      n_found += answer.status == status;
      site_answer_finish (&answer);
    }
  return n_found;
}

static void
restart_router (Site *site, uint32_t i)
{
  fleet_kill (&site->router_process[i]);
  ck_assert (site_start_router (site, i));
  ck_assert (site_wait_ready (site, i, 200));
}

/* Starts SITE with PAID prepaid tokens for the account. A router does not apply an amount below the
 * one that it knows, and site_init() sets a higher one, so the routers are restarted afterwards. */
static void
start_prepaid_site (Site *site, int64_t paid)
{
  ck_assert (site_init (site, N_ROUTERS));
  ck_assert (site_put_routes (site, 2, NULL, paid));
  for (uint32_t i = 0; i < N_ROUTERS; i++)
    restart_router (site, i);
}

/* 150 tokens pay for at most ten requests, however often routers are killed in between. */
START_TEST (budget_is_not_exceeded_across_restarts)
{
  enum
  {
    PAID = 150,
    TOKENS = 15,
    ROUNDS = 3,
    PER_ROUND = 5,
  };
  Site site;
  int n_answered = 0;
  start_prepaid_site (&site, PAID);
  for (int round = 0; round < ROUNDS; round++)
    {
      uint32_t victim = (uint32_t) round % N_ROUTERS;
      n_answered += count_answers (&site, PER_ROUND, 200);
      restart_router (&site, victim);
    }
  ck_assert_int_gt (n_answered, 0);
  ck_assert_int_le (n_answered * TOKENS, PAID);
  site_finish (&site);
}
END_TEST

/* Ledger writes get no reply and are executed late, after the holder has read the ledger entry
 * again. */
START_TEST (budget_is_not_exceeded_by_late_writes)
{
  enum
  {
    PAID = 150,
    TOKENS = 15,
    ROUNDS = 5,
    PER_ROUND = 6,
  };
  Site site;
  int n_answered = 0;
  start_prepaid_site (&site, PAID);
  for (int round = 0; round < ROUNDS; round++)
    {
      site_set_store (&site, "{\"late\":2}");
      n_answered += count_answers (&site, PER_ROUND, 200);
    }
  ck_assert_int_gt (n_answered, 0);
  ck_assert_int_le (n_answered * TOKENS, PAID);
  site_finish (&site);
}
END_TEST

/* Log lines of two routers; the text before the JSON is a prefix that another program added. */
static const char log_text[]
    = "r1 {\"time\":\"T2\",\"event\":5006,\"ticket\":\"07:1\",\"kind\":\"budget_reserved\"}\n"
      "r1 {\"time\":\"T2\",\"event\":5006,\"ticket\":\"07:2\",\"kind\":\"budget_spent\"}\n"
      "r0 {\"time\":\"T3\",\"event\":7004,\"request\":\"q1\",\"outcome\":\"budget_reserved\"}\n"
      "r0 {\"time\":\"T4\",\"event\":7007,\"request\":\"q1\",\"part\":\"b1\"}\n"
      "r1 {\"time\":\"T5\",\"event\":7007,\"request\":\"q2\",\"part\":\"b1\"}\n"
      "r1 {\"time\":\"T0\",\"event\":6008,\"part\":\"b1\",\"crashes\":\"3\"}\n"
      "r1 {\"time\":\"T0\",\"event\":6008,\"part\":\"b2\",\"crashes\":\"4\"}\n"
      "not a line of a log\n"
      "r0 {\"time\":\"T1\",\"event\":7006,\"request\":\"q1\",\"ticket\":\"07:1\"}\n";

START_TEST (request_is_explained_from_logs)
{
  static const char expected[] = "r0 {\"time\":\"T1\",";
  static const char first[] = "\"crashes\":\"3\"";
  Fleet fleet = { .loop = ev_default_loop (EVFLAG_AUTO) };
  FleetProcess process = { 0 };
  char *path = NULL;
  char *program = fleet_program ("dogwoodyoke");
  int fd = g_file_open_tmp ("log-XXXXXX", &path, NULL);
  char *argv[] = { program, "explain", "q1", path, NULL };
  ck_assert_int_ge (fd, 0);
  close (fd);
  ck_assert (g_file_set_contents (path, log_text, -1, NULL));
  ck_assert (fleet_spawn (&fleet, &process, "explain", argv));
  ck_assert (fleet_wait_line (&process, first));
  ck_assert (fleet_wait_line (&process, expected));
  ck_assert (fleet_wait_line (&process, "budget_reserved"));
  ck_assert (fleet_wait_line (&process, "\"outcome\""));
  ck_assert (fleet_wait_exit (&process));
  ck_assert_int_eq (process.exit_status, 0);
  ck_assert_ptr_null (strstr (process.output->str, "budget_spent"));
  ck_assert_ptr_null (strstr (process.output->str, "q2"));
  ck_assert_ptr_null (strstr (process.output->str, "b2"));
  fleet_kill (&process);
  remove (path);
  g_free (path);
  g_free (program);
}
END_TEST

int
main (void)
{
  TCase *tcase = tcase_create ("gateway");
  tcase_set_timeout (tcase, 60);
  tcase_add_test (tcase, answers_reflect_what_ran);
  tcase_add_test (tcase, router_headers_cannot_be_forged);
  tcase_add_test (tcase, invalid_endpoint_records_are_ignored);
  tcase_add_test (tcase, misdirected_requests_go_to_another_endpoint);
  tcase_add_test (tcase, caller_disconnect_cancels_at_the_endpoint);
  tcase_add_test (tcase, requests_of_disconnected_callers_are_not_sent);
  tcase_add_test (tcase, crashing_request_is_quarantined_in_the_fleet);
  tcase_add_test (tcase, configuration_updates_despite_store_faults);
  tcase_add_test (tcase, stopping_router_drains_and_exits);
  tcase_add_test (tcase, budget_is_not_exceeded_across_restarts);
  tcase_add_test (tcase, budget_is_not_exceeded_by_late_writes);
  tcase_add_test (tcase, request_is_explained_from_logs);
  return suite_run ("gateway", tcase);
}
