/* End-to-end tests with real processes on loopback: routers, and fakes of engines, a service and
 * the platform. Each test starts its own fleet. */

#include "net/http_client.h"
#include "support/calls.h"
#include "support/fleet.h"
#include "support/load.h"
#include "support/suite.h"

#include <signal.h>
#include <string.h>

enum
{
  TEST_TIMEOUT_S = 60,
  N_STREAMS = 200,
  LEAVING_LIMIT_US = 3 * 1000 * 1000, /* until every router knows that an endpoint is leaving */
};

/* Invalid requests, each with the HTTP status and error kind of its answer. */
static const struct
{
  const char *method;
  const char *path;
  const char *header;
  const char *second_header;
  const char *body; /* NULL: a body larger than the limit */
  unsigned status;
  const char *kind;
} refusal_cases[] = {
  { "POST", CHAT_PATH, "X: y", NULL, "{}", 401, "unauthorized" },
  { "POST", CHAT_PATH, "Authorization: Bearer wrong", NULL, "{}", 401, "unauthorized" },
  { "POST", CHAT_PATH, QADRI_AUTHORIZATION, NULL, "{", 400, "bad_json" },
  { "POST", CHAT_PATH, QADRI_AUTHORIZATION, NULL, "{\"model\":\"drafter\",\"messages\":[{}]}", 400,
    "missing_max_tokens" },
  { "POST", CHAT_PATH, QADRI_AUTHORIZATION, NULL,
    "{\"model\":\"other\",\"messages\":[{}],\"max_tokens\":1}", 404, "unknown_model" },
  { "POST", CHAT_PATH, QADRI_AUTHORIZATION, NULL,
    "{\"model\":\"drafter\",\"messages\":[{}],\"max_tokens\":2001}", 400, "bad_request" },
  { "POST", CHAT_PATH, QADRI_AUTHORIZATION, "Idempotent: no",
    "{\"model\":\"drafter\",\"messages\":[{}],\"max_tokens\":1}", 400, "bad_request" },
  { "POST", CHAT_PATH, QADRI_AUTHORIZATION, NULL, NULL, 413, "body_too_large" },
  { "GET", "/v1/other", QADRI_AUTHORIZATION, NULL, "", 404, "not_found" },
  { "POST", "/v1/services/none/x", QADRI_AUTHORIZATION, NULL, "", 404, "not_found" },
};

START_TEST (invalid_requests_are_refused)
{
  FleetSpec spec = { .n_routers = 1, .n_engines = 1, .token_us = 100 };
  Fleet fleet;
  ck_assert (fleet_init (&fleet, &spec));
  GString *large = g_string_new (NULL);
  g_string_set_size (large, 2 * 1024 * 1024);
  memset (large->str, ' ', large->len);
  for (size_t i = 0; i < G_N_ELEMENTS (refusal_cases); i++)
    {
      const char *headers[] = { refusal_cases[i].header, refusal_cases[i].second_header, NULL };
      FleetRequest request = { .method = refusal_cases[i].method,
                               .address = fleet.callers[0],
                               .path = refusal_cases[i].path,
                               .headers = headers,
                               .body = refusal_cases[i].body ? refusal_cases[i].body : large->str };
      char kind[64];
      ck_assert_uint_eq (call_send_body (&fleet, &request, kind), refusal_cases[i].status);
      ck_assert_str_eq (kind, refusal_cases[i].kind);
    }
  g_string_free (large, TRUE);
  ck_assert (fleet_drain (&fleet));
  ck_assert_int_eq (fleet_ledger (&fleet, "qadri", "settled_tokens"), 0);
  fleet_finish (&fleet);
}
END_TEST

START_TEST (concurrent_streams_get_their_own_answers)
{
  FleetSpec spec = { .n_routers = 3, .n_engines = 4, .token_us = 2000 };
  LoadResult result;
  Fleet fleet;
  ck_assert (fleet_init (&fleet, &spec));
  LoadSpec load = { .targets = (const char *const *) fleet.callers,
                    .secret = "qadri-example-key",
                    .prefix = "stream",
                    .n_requests = 2 * N_STREAMS,
                    .n_concurrent = N_STREAMS,
                    .max_tokens = 50 };
  load_run (fleet.loop, &load, &result);
  ck_assert_uint_eq (result.n_completed, 2 * N_STREAMS);
  ck_assert_uint_eq (result.n_mismatched, 0);
  ck_assert (fleet_drain (&fleet));
  ck_assert_int_eq (fleet_ledger (&fleet, "qadri", "settled_tokens"), result.used_tokens);
  load_result_finish (&result);
  fleet_finish (&fleet);
}
END_TEST

START_TEST (repeats_of_an_idempotency_key_are_billed_once)
{
  FleetSpec spec = { .n_routers = 3, .n_engines = 1, .token_us = 100 };
  const char *headers[] = { QADRI_AUTHORIZATION, "Idempotency-Key: k1", NULL };
  char kind[64];
  Fleet fleet;
  ck_assert (fleet_init (&fleet, &spec));
  for (uint32_t i = 0; i < 3; i++)
    ck_assert_uint_eq (call_send_chat (&fleet, i, headers, "same", kind), 200);
  ck_assert_uint_eq (call_send_chat (&fleet, 1, headers, "other", kind), 409);
  ck_assert_str_eq (kind, "idempotency_key_reused");
  ck_assert (fleet_drain (&fleet));
  ck_assert_int_eq (fleet_ledger (&fleet, "qadri", "settled_tokens"), 20 + 2);
  fleet_finish (&fleet);
}
END_TEST

START_TEST (a_non_idempotent_request_runs_once)
{
  FleetSpec spec = { .n_routers = 3, .n_engines = 1, .token_us = 100 };
  const char *headers[] = { QADRI_AUTHORIZATION, "Idempotency-Key: order-7", NULL };
  char kind[64];
  Fleet fleet;
  ck_assert (fleet_init (&fleet, &spec));
  FleetRequest request = { .method = "POST",
                           .address = fleet.callers[0],
                           .path = "/v1/services/dispatch/orders",
                           .headers = headers,
                           .body = "clock 7" };
  ck_assert_uint_eq (call_send_body (&fleet, &request, kind), 200);
  for (uint32_t i = 0; i < 3; i++)
    {
      request.address = fleet.callers[i];
      ck_assert_uint_eq (call_send_body (&fleet, &request, kind), 409);
      ck_assert_str_eq (kind, "already_answered");
    }
  ck_assert_int_eq (call_engine_runs (&fleet, fleet.service, "POST /orders clock 7"), 1);
  /* During a platform outage the router can't claim the request, so it must not run. */
  json_decref (fleet_call (&fleet, "POST", fleet.platform, "/admin/faults?outage=1", ""));
  const char *second[] = { QADRI_AUTHORIZATION, "Idempotency-Key: order-8", NULL };
  request.headers = second;
  request.body = "clock 8";
  ck_assert_uint_eq (call_send_body (&fleet, &request, kind), 503);
  ck_assert_str_eq (kind, "claim_unavailable");
  ck_assert_int_eq (call_engine_runs (&fleet, fleet.service, "POST /orders clock 8"), 0);
  fleet_finish (&fleet);
}
END_TEST

/* A caller that reads the first part of a stream and pauses it until keeps_reading is set. */
typedef struct
{
  Fleet *fleet;
  DyHttpTransfer *transfer;
  bool started;       /* the first part was delivered */
  bool keeps_reading; /* accepts the parts after the first */
  bool ended;         /* the transfer has ended */
  GString *rest;      /* parts delivered while keeps_reading */
} Reader;

static bool
on_reader_data (void *ctx, DyHttpTransfer *transfer, const char *data, size_t n)
{
  Reader *reader = ctx;
  (void) transfer;
  bool first = !reader->started;
  reader->started = true;
  if (reader->keeps_reading)
    g_string_append_len (reader->rest, data, (gssize) n);
  return first || reader->keeps_reading;
}

static void
on_reader_done (void *ctx, const DyHttpResult *result)
{
  Reader *reader = ctx;
  (void) result;
  reader->ended = true;
}

static bool
reader_has_ended (void *ctx)
{
  return ((Reader *) ctx)->ended;
}

static bool
reader_has_started (void *ctx)
{
  return ((Reader *) ctx)->started;
}

static bool
engine_cancelled (void *ctx)
{
  Fleet *fleet = ctx;
  return call_engine_stat (fleet, fleet->engines[0], "cancelled") == 1;
}

static void
start_reader (Reader *reader, DyHttpClient *client, const char *content, int max_tokens)
{
  static const DyHttpTransferWatcher watcher = { .data = on_reader_data, .done = on_reader_done };
  static const char *const headers[] = { QADRI_AUTHORIZATION, NULL };
  char *body = call_chat_body (content, max_tokens, true);
  char *url = g_strdup_printf ("http://%s" CHAT_PATH, reader->fleet->callers[0]);
  DyHttpSpec spec
      = { .method = "POST", .url = url, .headers = headers, .body = body, .n_body = strlen (body) };
  reader->transfer = dy_http_client_start (client, &spec, &watcher, reader);
  ck_assert (fleet_wait_until (reader->fleet, reader_has_started, reader));
  g_free (url);
  free (body);
}

START_TEST (a_caller_disconnect_cancels_at_the_engine)
{
  FleetSpec spec = { .n_routers = 1, .n_engines = 1, .token_us = 2000 };
  Fleet fleet;
  Reader reader = { .fleet = &fleet };
  DyHttpClient client;
  ck_assert (fleet_init (&fleet, &spec));
  dy_http_client_init (&client, fleet.loop);
  start_reader (&reader, &client, "leaves", 2000);
  dy_http_transfer_cancel (reader.transfer);
  ck_assert (fleet_wait_until (&fleet, engine_cancelled, &fleet));
  ck_assert (fleet_drain (&fleet));
  int64_t settled = fleet_ledger (&fleet, "qadri", "settled_tokens");
  ck_assert_int_ge (settled, 1);
  ck_assert_int_lt (settled, 2000);
  dy_http_client_finish (&client);
  fleet_finish (&fleet);
}
END_TEST

START_TEST (a_slow_reader_delays_no_other_request)
{
  FleetSpec spec = { .n_routers = 1,
                     .n_engines = 1,
                     .token_us = 20,
                     .extra_settings = "[callers]\nstream_buffer_bytes = 4096\n" };
  char content[4096];
  LoadResult result;
  Fleet fleet;
  Reader reader = { .fleet = &fleet };
  DyHttpClient client;
  memset (content, 'x', sizeof content - 1);
  content[sizeof content - 1] = '\0';
  ck_assert (fleet_init (&fleet, &spec));
  dy_http_client_init (&client, fleet.loop);
  start_reader (&reader, &client, content, 2000); /* 8 MB, far more than all buffers hold */
  LoadSpec load = { .targets = (const char *const *) fleet.callers,
                    .secret = "qadri-example-key",
                    .prefix = "beside",
                    .n_requests = 40,
                    .n_concurrent = 10,
                    .max_tokens = 50 };
  load_run (fleet.loop, &load, &result);
  ck_assert_uint_eq (result.n_completed, 40);
  ck_assert_int_eq (call_engine_stat (&fleet, fleet.engines[0], "running"), 1);
  ck_assert_int_lt (fleet_resident_kib (&fleet.router_process[0]), 32 * 1024);
  dy_http_transfer_cancel (reader.transfer);
  load_result_finish (&result);
  dy_http_client_finish (&client);
  fleet_finish (&fleet);
}
END_TEST

/* Returns whether every router's state dump shows the first engine as leaving. */
static bool
all_dumps_show_leaving (void *ctx)
{
  Fleet *fleet = ctx;
  bool shown = true;
  for (uint32_t i = 0; shown && i < fleet->n_routers; i++)
    {
      json_t *dump = fleet_call (fleet, "GET", fleet->operators[i], "/dump", NULL);
      char *state = json_dumps (json_object_get (dump, "endpoints"), JSON_COMPACT | JSON_SORT_KEYS);
      shown = state && strstr (state, "\"leaving\":true,\"name\":\"drafter-1\"") != NULL;
      free (state);
      json_decref (dump);
    }
  return shown;
}

START_TEST (a_leaving_endpoint_gets_no_new_requests)
{
  FleetSpec spec = { .n_routers = 2, .n_engines = 2, .token_us = 100 };
  LoadResult result;
  Fleet fleet;
  ck_assert (fleet_init (&fleet, &spec));
  json_decref (fleet_call (&fleet, "POST", fleet.engines[0], "/admin/options?leaving=1", ""));
  int64_t start_us = g_get_monotonic_time ();
  ck_assert (fleet_wait_until (&fleet, all_dumps_show_leaving, &fleet));
  ck_assert_int_lt (g_get_monotonic_time () - start_us, LEAVING_LIMIT_US);
  LoadSpec load = { .targets = (const char *const *) fleet.callers,
                    .secret = "qadri-example-key",
                    .prefix = "after",
                    .n_requests = 40,
                    .n_concurrent = 4,
                    .max_tokens = 5 };
  load_run (fleet.loop, &load, &result);
  ck_assert_uint_eq (result.n_completed, 40);
  json_t *stats = fleet_call (&fleet, "GET", fleet.engines[0], "/admin/stats", NULL);
  ck_assert_uint_eq (json_object_size (json_object_get (stats, "runs")), 0);
  json_decref (stats);
  load_result_finish (&result);
  fleet_finish (&fleet);
}
END_TEST

START_TEST (a_request_that_crashes_endpoints_is_quarantined)
{
  FleetSpec spec = { .n_routers = 2, .n_engines = 2, .token_us = 100 };
  const char *headers[] = { QADRI_AUTHORIZATION, NULL };
  char kind[64];
  Fleet fleet;
  ck_assert (fleet_init (&fleet, &spec));
  ck_assert_uint_eq (call_send_chat (&fleet, 0, headers, "CRASH", kind), 502);
  ck_assert_str_eq (kind, "outcome_unknown");
  ck_assert_int_eq (call_total_runs (&fleet, "CRASH"), 2);
  for (int i = 0; i < 4; i++)
    {
      ck_assert_uint_eq (call_send_chat (&fleet, (uint32_t) i % 2, headers, "CRASH", kind), 422);
      ck_assert_str_eq (kind, "quarantined");
    }
  ck_assert_int_eq (call_total_runs (&fleet, "CRASH"), 2);
  /* The same with the routers exchanged, as only one of them is the home of the account. */
  ck_assert_uint_eq (call_send_chat (&fleet, 1, headers, "CRASH other", kind), 502);
  ck_assert_uint_eq (call_send_chat (&fleet, 0, headers, "CRASH other", kind), 422);
  ck_assert_int_eq (call_total_runs (&fleet, "CRASH other"), 2);
  const char *once[] = { QADRI_AUTHORIZATION, "Idempotent: no", "Idempotency-Key: c2", NULL };
  ck_assert_uint_eq (call_send_chat (&fleet, 0, once, "CRASH once", kind), 502);
  ck_assert_int_eq (call_total_runs (&fleet, "CRASH once"), 1);
  ck_assert_uint_eq (call_send_chat (&fleet, 0, once, "CRASH once", kind), 502);
  ck_assert_str_eq (kind, "outcome_unknown");
  ck_assert_int_eq (call_total_runs (&fleet, "CRASH once"), 1);
  ck_assert (fleet_drain (&fleet));
  ck_assert_int_eq (fleet_ledger (&fleet, "qadri", "settled_tokens"), 0);
  fleet_finish (&fleet);
}
END_TEST

START_TEST (lost_platform_answers_lose_no_token)
{
  FleetSpec spec = { .n_routers = 3,
                     .n_engines = 2,
                     .token_us = 100,
                     .extra_settings = "[budget]\nsettle_interval_ms = 50\n" };
  LoadResult result;
  Fleet fleet;
  ck_assert (fleet_init (&fleet, &spec));
  json_decref (fleet_call (&fleet, "POST", fleet.platform, "/admin/faults?lose_percent=40", ""));
  LoadSpec load = { .targets = (const char *const *) fleet.callers,
                    .secret = "magnolia-example-key",
                    .prefix = "lost",
                    .n_requests = 60,
                    .n_concurrent = 6,
                    .max_tokens = 80 };
  load_run (fleet.loop, &load, &result);
  ck_assert_uint_eq (result.n_mismatched + result.n_failed, 0);
  ck_assert (fleet_drain (&fleet));
  json_decref (fleet_call (&fleet, "POST", fleet.platform, "/admin/faults?lose_percent=0", ""));
  int64_t settled = fleet_ledger (&fleet, "magnolia", "settled_tokens");
  ck_assert_int_eq (settled, result.used_tokens);
  ck_assert_int_le (settled, fleet_ledger (&fleet, "magnolia", "paid_tokens"));
  ck_assert_int_eq (fleet_ledger (&fleet, "magnolia", "granted_tokens"), 0);
  load_result_finish (&result);
  fleet_finish (&fleet);
}
END_TEST

START_TEST (a_graceful_shutdown_completes_streams)
{
  FleetSpec spec = { .n_routers = 3, .n_engines = 2, .token_us = 10000 };
  LoadResult result;
  Fleet fleet;
  Reader reader = { .fleet = &fleet };
  DyHttpClient client;
  ck_assert (fleet_init (&fleet, &spec));
  dy_http_client_init (&client, fleet.loop);
  start_reader (&reader, &client, "begun", 20);
  /* The drain starts while the streams of the load run, too: an engine sends the first event of a
   * stream after 10 ms. */
  fleet_signal (&fleet.router_process[0], SIGTERM);
  const char *targets[] = { fleet.callers[1], fleet.callers[2], NULL };
  LoadSpec load = { .targets = targets,
                    .secret = "qadri-example-key",
                    .prefix = "during",
                    .n_requests = 40,
                    .n_concurrent = 20,
                    .max_tokens = 20 };
  load_run (fleet.loop, &load, &result);
  ck_assert_uint_eq (result.n_completed, 40);
  reader.rest = g_string_new (NULL);
  reader.keeps_reading = true;
  dy_http_transfer_resume (reader.transfer);
  ck_assert (fleet_wait_until (&fleet, reader_has_ended, &reader));
  ck_assert (fleet_wait_exit (&fleet.router_process[0]));
  ck_assert_msg (g_str_has_suffix (reader.rest->str, "data: [DONE]\n\n"), "%s", reader.rest->str);
  g_string_free (reader.rest, TRUE);
  ck_assert_int_eq (fleet.router_process[0].exit_status, 0);
  ck_assert (fleet_drain (&fleet));
  dy_http_client_finish (&client);
  load_result_finish (&result);
  fleet_finish (&fleet);
}
END_TEST

START_TEST (concurrent_operators_lose_no_change)
{
  FleetSpec spec = { .n_routers = 2, .n_engines = 1, .token_us = 100 };
  Fleet fleet;
  char *output = NULL;
  ck_assert (fleet_init (&fleet, &spec));
  char *dir = g_build_filename (fleet.dir, "declarations", NULL);
  char *file = g_build_filename (dir, "accounts", "magnolia.ini", NULL);
  char *lock = g_build_filename (dir, "versions.lock", NULL);
  char *text;
  char *locked;
  ck_assert (g_file_get_contents (file, &text, NULL, NULL));
  ck_assert (g_file_get_contents (lock, &locked, NULL, NULL));
  char **parts = g_strsplit (text, "share = 1", 2);
  char *first = g_strjoinv ("share = 2", parts);
  char *second = g_strjoinv ("share = 5", parts);
  const char *args[] = { "--router", fleet.operators[0], "--router", fleet.operators[1],
                         "apply",    "--wait",           dir,        NULL };
  g_file_set_contents (file, first, -1, NULL);
  ck_assert_int_eq (fleet_cli (&fleet, args, NULL), 0);
  /* The second operator's lock file still names the version before the first operator's change. */
  g_file_set_contents (lock, locked, -1, NULL);
  g_file_set_contents (file, second, -1, NULL);
  ck_assert_int_eq (fleet_cli (&fleet, args, &output), 3);
  json_t *dump = fleet_call (&fleet, "GET", fleet.operators[1], "/dump", NULL);
  char *state = json_dumps (dump, JSON_COMPACT | JSON_SORT_KEYS);
  ck_assert_msg (strstr (state, "\"name\":\"magnolia\",\"share\":2") != NULL, "%s", state);
  const char *rebase[]
      = { "--router", fleet.operators[1], "apply", "--wait", "--rebase", dir, NULL };
  ck_assert_int_eq (fleet_cli (&fleet, rebase, NULL), 0);
  free (state);
  json_decref (dump);
  dump = fleet_call (&fleet, "GET", fleet.operators[1], "/dump", NULL);
  state = json_dumps (dump, JSON_COMPACT | JSON_SORT_KEYS);
  ck_assert_msg (strstr (state, "\"name\":\"magnolia\",\"share\":5") != NULL, "%s", state);
  free (state);
  json_decref (dump);
  g_strfreev (parts);
  g_free (first);
  g_free (second);
  g_free (text);
  g_free (locked);
  g_free (lock);
  g_free (file);
  g_free (dir);
  g_free (output);
  fleet_finish (&fleet);
}
END_TEST

/* Command lines and their exit codes; "DIR" is replaced by the folder of declarations. */
static const struct
{
  const char *args[5];
  int exit_code;
} cli_cases[] = {
  { { "check", "DIR" }, 0 },
  { { "check", "/nonexistent" }, 2 },
  { { "diff", "DIR" }, 0 },
  { { "ledger", "qadri" }, 0 },
  { { "ledger", "nobody" }, 6 },
  { { "topup", "qadri", "none" }, 2 },
  { { "topup", "nobody", "5" }, 6 },
  { { "topup", "qadri", "500", "--operation=op-1" }, 0 },
  { { "topup", "qadri", "500", "--operation=op-1" }, 0 },
  { { "release", "qadri", "xyz" }, 2 },
  { { "release", "qadri", "1234" }, 0 },
  { { "status" }, 2 },
  { { "status", "--router=127.0.0.1:1" }, 7 },
  { { "fly" }, 64 },
  { { "apply" }, 64 },
};

START_TEST (the_command_line_returns_exit_codes)
{
  FleetSpec spec = { .n_routers = 1, .n_engines = 1, .token_us = 200 };
  Fleet fleet;
  ck_assert (fleet_init (&fleet, &spec));
  char *dir = g_build_filename (fleet.dir, "declarations", NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (cli_cases); i++)
    {
      const char *args[G_N_ELEMENTS (cli_cases[0].args) + 1] = { NULL };
      for (size_t j = 0; j < G_N_ELEMENTS (cli_cases[0].args); j++)
        args[j] = g_strcmp0 (cli_cases[i].args[j], "DIR") == 0 ? dir : cli_cases[i].args[j];
      int exit_code = fleet_cli (&fleet, args, NULL);
      ck_assert_msg (exit_code == cli_cases[i].exit_code, "%s: %d", args[0], exit_code);
    }
  ck_assert_int_eq (fleet_ledger (&fleet, "qadri", "paid_tokens"), 10000000 + 500);
  g_free (dir);
  fleet_finish (&fleet);
}
END_TEST

START_TEST (large_headers_are_refused)
{
  FleetSpec spec = { .n_routers = 1, .n_engines = 1, .token_us = 200 };
  Fleet fleet;
  ck_assert (fleet_init (&fleet, &spec));
  char *value = g_strnfill (40000, 'x');
  char *header = g_strconcat ("X-Large: ", value, NULL);
  const char *headers[] = { QADRI_AUTHORIZATION, header, NULL };
  FleetRequest request = { .method = "POST",
                           .address = fleet.callers[0],
                           .path = CHAT_PATH,
                           .headers = headers,
                           .body = "{}" };
  ck_assert_uint_eq (fleet_request (&fleet, &request, NULL), 431);
  g_free (header);
  g_free (value);
  fleet_finish (&fleet);
}
END_TEST

int
main (void)
{
  TCase *tcase = tcase_create ("process");
  tcase_set_timeout (tcase, TEST_TIMEOUT_S);
  tcase_add_test (tcase, invalid_requests_are_refused);
  tcase_add_test (tcase, concurrent_streams_get_their_own_answers);
  tcase_add_test (tcase, repeats_of_an_idempotency_key_are_billed_once);
  tcase_add_test (tcase, a_non_idempotent_request_runs_once);
  tcase_add_test (tcase, a_caller_disconnect_cancels_at_the_engine);
  tcase_add_test (tcase, a_slow_reader_delays_no_other_request);
  tcase_add_test (tcase, a_leaving_endpoint_gets_no_new_requests);
  tcase_add_test (tcase, a_request_that_crashes_endpoints_is_quarantined);
  tcase_add_test (tcase, lost_platform_answers_lose_no_token);
  tcase_add_test (tcase, a_graceful_shutdown_completes_streams);
  tcase_add_test (tcase, concurrent_operators_lose_no_change);
  tcase_add_test (tcase, the_command_line_returns_exit_codes);
  tcase_add_test (tcase, large_headers_are_refused);
  return suite_run ("process", tcase);
}
