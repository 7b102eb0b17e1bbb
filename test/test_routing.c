/* Unit tests, without I/O, of the modules that decide about routed requests: route tables, endpoint
 * records, answer headers, event streams, placement and resends. */

#include "core/event_stream.h"
#include "core/placement.h"
#include "core/resend.h"
#include "core/route_table.h"
#include "kernel/error.h"
#include "platform/dialect.h"
#include "support/suite.h"

#include <string.h>

enum
{
  SECOND = 1000 * 1000,
  MS = 1000,
};

static const char route_text[]
    = "{\"version\":7,\"routes\":["
      "{\"name\":\"a\",\"host\":\"H.example\",\"pathPrefix\":\"/a/\",\"routeType\":\"idempotent\","
      "\"service\":\"one\",\"maxAttempts\":2,\"timeoutMs\":800.5,\"priority\":3},"
      "{\"name\":\"ab\",\"host\":\"h.example\",\"pathPrefix\":\"/a/b/\",\"routeType\":"
      "\"streaming\",\"resumable\":true,\"sticky\":true,\"trafficSplit\":[{\"service\":\"two\","
      "\"weight\":90},{\"service\":\"three\",\"weight\":10}]},"
      "{\"name\":\"root\",\"host\":\"g.example\",\"pathPrefix\":\"/\",\"routeType\":"
      "\"non_idempotent\",\"public\":true,\"service\":\"one\"}],"
      "\"services\":[{\"name\":\"two\",\"runtime\":{\"slots\":64,\"stride\":6,"
      "\"kvCapacity\":232000}},{\"name\":\"three\",\"runtime\":{\"kvCapacity\":-5}},"
      "{\"name\":\"four\",\"runtime\":{\"kvCapacity\":1e300}},"
      "{\"name\":\"five\",\"runtime\":{\"kvCapacity\":\"many\"}},{\"name\":\"six\"}],"
      "\"limits\":{\"maxBodyBytes\":100},"
      "\"tenants\":[{\"name\":\"acct\",\"apiKeys\":[\"k1\",\"k2\"],\"priority\":1,\"prepaid\":50}]"
      "}";

static const struct
{
  const char *host;
  const char *path;
  const char *route; /* NULL: none */
} route_cases[] = {
  { "h.example", "/a/x", "a" },
  { "h.example:8080", "/a/x", "a" },
  { "h.example", "/a/b/x", "ab" },
  { "h.example", "/a/bc", "a" },
  { "h.example", "/b/", NULL },
  { "g.example", "/anything", "root" },
  { "G.EXAMPLE", "/anything", "root" },
  { "x.example", "/a/x", NULL },
  { "", "/a/x", NULL },
  { "h.example", "/a", NULL },
};

START_TEST (the_longest_prefix_of_the_host_wins)
{
  DyRouteTable table;
  ck_assert_int_eq (dy_platform_decode_routes (route_text, sizeof route_text - 1, &table), DY_OK);
  const DyRoute *route = dy_route_table_find (&table, route_cases[_i].host, route_cases[_i].path);
  if (route_cases[_i].route)
    ck_assert_str_eq (route->name, route_cases[_i].route);
  else
    ck_assert_ptr_null (route);
  dy_route_table_finish (&table);
}
END_TEST

START_TEST (a_route_table_is_decoded)
{
  DyRouteTable table;
  ck_assert_int_eq (dy_platform_decode_routes (route_text, sizeof route_text - 1, &table), DY_OK);
  const DyRoute *split = dy_route_table_find (&table, "h.example", "/a/b/x");
  const DyRouteAccount *account = dy_route_table_account (&table, "k2");
  ck_assert_uint_eq (table.version, 7);
  ck_assert_uint_eq (table.max_body_bytes, 100);
  ck_assert (split->resumable && split->kind == DY_ROUTE_STREAM);
  ck_assert_str_eq (dy_route_pick_target (split, 89), "two");
  ck_assert_str_eq (dy_route_pick_target (split, 90), "three");
  ck_assert_str_eq (dy_route_pick_target (split, 100), "two");
  ck_assert_str_eq (account->name, "acct");
  ck_assert_int_eq (account->prepaid_tokens, 50);
  ck_assert_uint_eq (dy_route_table_service (&table, "two")->event_tokens, 6);
  /* Guards against a memory that is taken from a number that is none. */
  ck_assert_int_eq (dy_route_table_service (&table, "two")->memory_tokens, 232000);
  static const char *const unlimited[] = { "three", "four", "five", "six" };
  for (size_t i = 0; i < G_N_ELEMENTS (unlimited); i++)
    ck_assert_int_eq (dy_route_table_service (&table, unlimited[i])->memory_tokens, 0);
  ck_assert_ptr_null (dy_route_table_account (&table, "k3"));
  ck_assert_ptr_null (dy_route_table_account (&table, NULL));
  dy_route_table_finish (&table);
}
END_TEST

/* Texts that are no route table, and tables of version 1 with one fault each. */
static const char *const bad_tables[] = {
  "",
  "[]",
  "{\"routes\":[]}",
  "{\"version\":\"7\",\"routes\":[]}",
  "{\"version\":1,\"routes\":{}}",
  "{\"version\":1,\"routes\":[{}]}",
  "{\"version\":1,\"routes\":[{\"host\":\"h\",\"pathPrefix\":\"/\",\"service\":\"s\"}]}",
  "{\"version\":1,\"routes\":[{\"host\":\"h\",\"pathPrefix\":\"/\",\"routeType\":\"odd\"}]}",
  "{\"version\":1,\"routes\":[],\"tenants\":[{\"apiKeys\":[]}]}",
  "{\"version\":1,\"routes\":[],\"tenants\":[{\"name\":\"a\",\"apiKeys\":[7]}]}",
};

START_TEST (an_invalid_route_table_is_rejected)
{
  DyRouteTable table;
  ck_assert_int_eq (dy_platform_decode_routes (bad_tables[_i], strlen (bad_tables[_i]), &table),
                    DY_PROTOCOL);
}
END_TEST

static const struct
{
  const char *text;
  int error;
  bool leaving;
} record_cases[] = {
  { "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"a\",\"slots\":6,\"state\":\"ready\","
    "\"coldRemainingMs\":0,\"new\":{}}",
    DY_OK, false },
  { "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"a\",\"slots\":6,\"state\":"
    "\"draining\"}",
    DY_OK, true },
  { "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"a\",\"slots\":6,\"state\":\"lost\"}",
    DY_PROTOCOL, false },
  { "{\"service\":\"s\",\"address\":\"host:80\",\"zone\":\"a\",\"slots\":6,\"state\":\"ready\"}",
    DY_PROTOCOL, false },
  { "{\"service\":\"s\",\"address\":\"10.0.0.1:99999\",\"zone\":\"a\",\"slots\":6,\"state\":"
    "\"ready\"}",
    DY_PROTOCOL, false },
  { "{\"address\":\"10.0.0.1:80\",\"zone\":\"a\",\"slots\":6,\"state\":\"ready\"}", DY_PROTOCOL,
    false },
  { "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"a\",\"state\":\"ready\"}",
    DY_PROTOCOL, false },
  { "\xff\xfe", DY_PROTOCOL, false },
  { "null", DY_PROTOCOL, false },
};

START_TEST (endpoint_records_are_checked)
{
  DyEndpointRecord record;
  json_t *document;
  const char *text = record_cases[_i].text;
  ck_assert_int_eq (dy_platform_decode_endpoint ("i-1", text, strlen (text), &record, &document),
                    record_cases[_i].error);
  if (record_cases[_i].error)
    return;
  ck_assert_int_eq (record.leaving, record_cases[_i].leaving);
  ck_assert_str_eq (record.service, "s");
  json_decref (document);
}
END_TEST

static const struct
{
  DyHttpHeader header;
  DyAnswerHead head;
} answer_cases[] = {
  { { "X-Server-Seal", "1" }, { .sealed = true } },
  { { "x-not-run", "1" }, { .not_run = true } },
  { { "X-Worker-Load", "3, 1,8" }, { .has_load = true, .n_running = 3, .n_waiting = 1 } },
  { { "X-Worker-Load", "3,1,8,250" },
    { .has_load = true, .n_running = 3, .n_waiting = 1, .slowness_percent = 250 } },
  /* Guards against a load or a slowness that is taken from a header with other fields. */
  { { "X-Worker-Load", "odd" }, { .unreadable = "X-Worker-Load" } },
  { { "X-Worker-Load", "" }, { .unreadable = "X-Worker-Load" } },
  { { "X-Worker-Load", "3,1" }, { .unreadable = "X-Worker-Load" } },
  { { "X-Worker-Load", "3,1,8,100,5" }, { .unreadable = "X-Worker-Load" } },
  { { "X-Worker-Load", "3,,8" }, { .unreadable = "X-Worker-Load" } },
  { { "X-Worker-Load", "-3,1,8" }, { .unreadable = "X-Worker-Load" } },
  { { "X-Worker-Load", "99999999999,1,8" }, { .unreadable = "X-Worker-Load" } },
  { { "X-Worker-Load", "3,1,8,0" }, { .unreadable = "X-Worker-Load" } },
  { { "X-Worker-Load", "3,1,8,-100" }, { .unreadable = "X-Worker-Load" } },
  { { "X-Worker-Load", "3,1,8,nan" }, { .unreadable = "X-Worker-Load" } },
  { { "X-Worker-Load", "3,1,8,1000000" }, { .unreadable = "X-Worker-Load" } },
  { { "Content-Encoding", "gzip" }, { .encoded = true } },
  { { "Connection", "close" }, { .closes = true } },
  { { "Keep-Alive", "timeout=5" }, { .max_idle_s = 5 } },
};

START_TEST (answer_headers_are_decoded)
{
  DyAnswerHead head;
  dy_platform_dialect.decode_answer (&answer_cases[_i].header, 1, &head);
  ck_assert_int_eq (head.sealed, answer_cases[_i].head.sealed);
  ck_assert_int_eq (head.not_run, answer_cases[_i].head.not_run);
  ck_assert_int_eq (head.encoded, answer_cases[_i].head.encoded);
  ck_assert_int_eq (head.closes, answer_cases[_i].head.closes);
  ck_assert_int_eq (head.has_load, answer_cases[_i].head.has_load);
  ck_assert_uint_eq (head.n_running, answer_cases[_i].head.n_running);
  ck_assert_uint_eq (head.n_waiting, answer_cases[_i].head.n_waiting);
  ck_assert_uint_eq (head.slowness_percent, answer_cases[_i].head.slowness_percent);
  ck_assert_pstr_eq (head.unreadable, answer_cases[_i].head.unreadable);
  ck_assert_int_eq (head.max_idle_s, answer_cases[_i].head.max_idle_s);
}
END_TEST

/* The input in pieces, and the output after each piece. */
static const struct
{
  const char *pieces[5]; /* NULL at the end */
  const char *passed[4];
  const char *last_id;
  bool at_boundary; /* after the last piece */
} event_cases[] = {
  { { "id: 1\ndata: a\n\n" }, { "id: 1\ndata: a\n\n" }, "1", true },
  { { "id: 1\nda", "ta: a\n", "\nid: 2" }, { "", "", "id: 1\ndata: a\n\n" }, "1", false },
  { { "id:1\r\ndata: a\r\n\r\n" }, { "id:1\r\ndata: a\r\n\r\n" }, "1", true },
  { { "data: a\n\nid: 9\ndata: b\n\ndata: c\n\n" },
    { "data: a\n\nid: 9\ndata: b\n\ndata: c\n\n" },
    "9",
    true },
  { { "id: 5\ndata: torn" }, { "" }, "", false },
  { { "\n\r\n", "data: a\r", "\n\r", "\n" }, { "\n\r\n", "", "", "data: a\r\n\r\n" }, "", true },
  { { "data: a\r\r\n", "\n\n" }, { "", "data: a\r\r\n\n\n" }, "", true },
};

START_TEST (only_complete_events_pass)
{
  DyEventStream stream;
  GString *out = g_string_new (NULL);
  dy_event_stream_init (&stream);
  for (int i = 0; i < 4 && event_cases[_i].pieces[i]; i++)
    {
      g_string_truncate (out, 0);
      dy_event_stream_feed (&stream, event_cases[_i].pieces[i], strlen (event_cases[_i].pieces[i]),
                            out);
      ck_assert_str_eq (out->str, event_cases[_i].passed[i]);
    }
  ck_assert_str_eq (stream.last_id, event_cases[_i].last_id);
  ck_assert_int_eq (dy_event_stream_at_boundary (&stream), event_cases[_i].at_boundary);
  dy_event_stream_finish (&stream);
  g_string_free (out, TRUE);
}
END_TEST

/* Returns what the stream of event case I passes on when it comes in pieces of N bytes. */
static char *
feed_in_pieces (int i, size_t n)
{
  DyEventStream stream;
  char *text = g_strjoinv (NULL, (char **) event_cases[i].pieces);
  GString *out = g_string_new (NULL);
  dy_event_stream_init (&stream);
  for (size_t at = 0; at < strlen (text); at += n)
    dy_event_stream_feed (&stream, text + at, MIN (n, strlen (text) - at), out);
  ck_assert_str_eq (stream.last_id, event_cases[i].last_id);
  ck_assert_int_eq (dy_event_stream_at_boundary (&stream), event_cases[i].at_boundary);
  dy_event_stream_finish (&stream);
  g_free (text);
  return g_string_free (out, FALSE);
}

/* Guards against a search for the end of an event that goes on at the wrong place. */
START_TEST (events_are_the_same_in_pieces_of_any_size)
{
  enum
  {
    WHOLE = 1000,
    MAX_PIECE = 20,
  };
  char *whole = feed_in_pieces (_i, WHOLE);
  for (size_t n = 1; n <= MAX_PIECE; n++)
    {
      char *passed = feed_in_pieces (_i, n);
      ck_assert_str_eq (passed, whole);
      g_free (passed);
    }
  g_free (whole);
}
END_TEST

static void
put_endpoint (DyPlacement *placement, const char *id, bool leaving)
{
  DyEndpointRecord record = { .id = id,
                              .service = "llm",
                              .address = "10.0.0.1:80",
                              .data_centre = "a",
                              .slots = 64,
                              .leaving = leaving };
  dy_placement_put (placement, &record);
}

static const char *const endpoint_ids[] = { "e0", "e1", "e2", "e3", "e4", "e5" };

static void
placement_init (DyPlacement *placement)
{
  dy_placement_init (placement, &dy_placement_policy, "a", 1);
  for (size_t i = 0; i < G_N_ELEMENTS (endpoint_ids); i++)
    put_endpoint (placement, endpoint_ids[i], false);
}

static DyPlacementEndpoint *
choose (DyPlacement *placement, uint64_t prefix, int64_t now_us)
{
  DyPlacementQuery query = {
    .service = "llm",
    .work = { .prefix_hash = prefix, .shared_tokens = prefix ? 6300 : 0, .own_tokens = 2890 },
  };
  return dy_placement_choose (placement, &query, now_us, NULL);
}

/* Routers choose the same endpoint for a prefix, whatever the seeds of their random numbers and the
 * order in which the endpoints were added. */
START_TEST (routers_agree_on_the_affinity_endpoint)
{
  DyPlacement first;
  DyPlacement second;
  placement_init (&first);
  dy_placement_init (&second, &dy_placement_policy, "a", 99);
  for (size_t i = G_N_ELEMENTS (endpoint_ids); i > 0; i--)
    put_endpoint (&second, endpoint_ids[i - 1], false);
  for (uint64_t prefix = 1; prefix <= 100; prefix++)
    ck_assert_str_eq (dy_placement_endpoint_id (choose (&first, prefix, 0)),
                      dy_placement_endpoint_id (choose (&second, prefix, 0)));
  dy_placement_finish (&first);
  dy_placement_finish (&second);
}
END_TEST

typedef enum
{
  BY_AFFINITY,
  BY_LOAD,
  BY_PLACEMENT,
  N_POLICIES,
} Policy;

typedef struct
{
  int64_t reprocessed_tokens;
  int64_t worst_wait_us;
} SimulationResult;

/* Simulates a load in which one session sends a third of the requests: 30 requests per second to
 * six engines for 10 s. Each request occupies its engine for its prompt, then takes 300 ms to
 * answer. */
static SimulationResult
simulate_hot_session (Policy policy)
{
  enum
  {
    N_REQUESTS = 300,
    GAP_US = 33 * MS,
    ANSWER_US = 300 * MS,
    N_SESSIONS = 100,
    HOT_PERCENT = 33,
  };
  DyPlacement placement;
  SimulationResult result = { 0 };
  GRand *rng = g_rand_new_with_seed (5);
  GHashTable *seen = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  struct
  {
    DyPlacementEndpoint *placed;
    DyPromptWork work;
    int64_t end_us;
  } open[N_REQUESTS] = { 0 };
  int64_t free_us[G_N_ELEMENTS (endpoint_ids)] = { 0 };
  placement_init (&placement);
  for (int i = 0; i < N_REQUESTS; i++)
    {
      int64_t now_us = (int64_t) i * GAP_US;
      bool hot = g_rand_int_range (rng, 0, 100) < HOT_PERCENT;
      DyPromptWork work
          = { .prefix_hash = hot ? 1 : (uint64_t) g_rand_int_range (rng, 2, N_SESSIONS),
              .shared_tokens = 6300,
              .own_tokens = 2890 };
      for (int k = 0; k < i; k++)
        if (open[k].placed && open[k].end_us <= now_us)
          {
            dy_placement_end (&placement, open[k].placed, &open[k].work, false,
                              DY_PLACEMENT_ANSWERED, now_us);
            open[k].placed = NULL;
          }
      DyPlacementQuery query = { .service = "llm", .work = work };
      if (policy == BY_LOAD)
        query.work.prefix_hash = 0;
      DyPlacementEndpoint *placed = dy_placement_choose (&placement, &query, now_us, NULL);
      if (policy == BY_AFFINITY)
        {
          DyPlacement idle;
          placement_init (&idle);
          const char *id = dy_placement_endpoint_id (dy_placement_choose (&idle, &query, 0, NULL));
          placed = g_hash_table_lookup (placement.by_id, id);
          dy_placement_finish (&idle);
        }
      int engine = dy_placement_endpoint_id (placed)[1] - '0';
      char *key = g_strdup_printf ("%d-%d", engine, (int) work.prefix_hash);
      bool cached = !g_hash_table_add (seen, key);
      int64_t tokens = work.own_tokens + (cached ? 0 : work.shared_tokens);
      result.reprocessed_tokens += cached ? 0 : work.shared_tokens;
      free_us[engine] = MAX (free_us[engine], now_us) + tokens * 20;
      result.worst_wait_us = MAX (result.worst_wait_us, free_us[engine] - now_us);
      dy_placement_begin (&placement, placed, &work, now_us);
      open[i].placed = placed;
      open[i].work = work;
      open[i].end_us = free_us[engine] + ANSWER_US;
    }
  for (int k = 0; k < N_REQUESTS; k++)
    if (open[k].placed)
      dy_placement_end (&placement, open[k].placed, &open[k].work, false, DY_PLACEMENT_ANSWERED,
                        open[k].end_us);
  dy_placement_finish (&placement);
  g_hash_table_unref (seen);
  g_rand_free (rng);
  return result;
}

START_TEST (a_hot_session_spreads_instead_of_queueing)
{
  SimulationResult affinity = simulate_hot_session (BY_AFFINITY);
  SimulationResult load = simulate_hot_session (BY_LOAD);
  SimulationResult placed = simulate_hot_session (BY_PLACEMENT);
  /* Placement processes fewer prefix tokens again than the choice by load alone, and its longest
   * wait is shorter than with the affinity endpoint alone. */
  ck_assert_int_lt (placed.reprocessed_tokens, load.reprocessed_tokens);
  ck_assert_int_lt (placed.worst_wait_us, affinity.worst_wait_us);
}
END_TEST

static const struct
{
  const char *name;
  DyPlacementOutcome outcomes[3];
  int n_outcomes;
  bool breaker_open; /* immediately after the last outcome */
} health_cases[] = {
  { "a single failure", { DY_PLACEMENT_FAILED }, 1, false },
  { "two consecutive failures", { DY_PLACEMENT_FAILED, DY_PLACEMENT_FAILED }, 2, true },
  { "a success between failures",
    { DY_PLACEMENT_FAILED, DY_PLACEMENT_ANSWERED, DY_PLACEMENT_FAILED },
    3,
    false },
  { "no connection", { DY_PLACEMENT_UNREACHABLE }, 1, true },
  { "another endpoint has the address", { DY_PLACEMENT_MISDIRECTED }, 1, true },
  { "no capacity", { DY_PLACEMENT_FULL }, 1, true },
  { "cancelled", { DY_PLACEMENT_CANCELLED, DY_PLACEMENT_CANCELLED }, 2, false },
};

START_TEST (a_failing_endpoint_opens_its_breaker)
{
  DyPlacement placement;
  DyPromptWork work = { 0 };
  placement_init (&placement);
  DyPlacementEndpoint *placed = g_hash_table_lookup (placement.by_id, "e3");
  for (int i = 0; i < health_cases[_i].n_outcomes; i++)
    {
      dy_placement_begin (&placement, placed, &work, SECOND);
      dy_placement_end (&placement, placed, &work, false, health_cases[_i].outcomes[i], SECOND);
    }
  bool chosen = false;
  for (int i = 0; i < 100; i++)
    chosen = chosen || choose (&placement, 0, SECOND + 1) == placed;
  ck_assert_msg (chosen == !health_cases[_i].breaker_open, "%s", health_cases[_i].name);
  chosen = false;
  for (int i = 0; i < 100; i++)
    chosen = chosen || choose (&placement, 0, 5 * SECOND) == placed;
  ck_assert_msg (chosen, "%s", health_cases[_i].name);
  dy_placement_finish (&placement);
}
END_TEST

START_TEST (a_restarted_endpoint_has_a_closed_breaker)
{
  DyPlacement placement;
  DyPromptWork work = { 0 };
  DyEndpointRecord again = { .id = "e3",
                             .service = "llm",
                             .address = "10.0.0.1:80",
                             .data_centre = "a",
                             .slots = 64,
                             .start_ms = 7 };
  bool chosen = false;
  placement_init (&placement);
  DyPlacementEndpoint *placed = g_hash_table_lookup (placement.by_id, "e3");
  dy_placement_begin (&placement, placed, &work, SECOND);
  dy_placement_end (&placement, placed, &work, false, DY_PLACEMENT_UNREACHABLE, SECOND);
  dy_placement_put (&placement, &again);
  for (int i = 0; i < 100; i++)
    chosen = chosen || choose (&placement, 0, SECOND + 1) == placed;
  ck_assert (chosen);
  dy_placement_finish (&placement);
}
END_TEST

START_TEST (a_leaving_endpoint_gets_no_requests)
{
  DyPlacement placement;
  placement_init (&placement);
  for (size_t i = 0; i + 1 < G_N_ELEMENTS (endpoint_ids); i++)
    put_endpoint (&placement, endpoint_ids[i], true);
  for (uint64_t prefix = 0; prefix < 50; prefix++)
    ck_assert_str_eq (dy_placement_endpoint_id (choose (&placement, prefix, 0)), "e5");
  dy_placement_remove (&placement, "e5");
  ck_assert_ptr_null (choose (&placement, 1, 0));
  dy_placement_finish (&placement);
}
END_TEST

START_TEST (an_avoided_or_failed_endpoint_is_no_other_choice)
{
  DyPlacement placement;
  DyPromptWork work = { 0 };
  const char *all[G_N_ELEMENTS (endpoint_ids) + 1] = { NULL };
  DyPlacementQuery query = { .service = "llm", .avoid = all };
  memcpy (all, endpoint_ids, sizeof endpoint_ids);
  placement_init (&placement);
  ck_assert (!dy_placement_has_choice (&placement, &query, SECOND));
  query.avoid = NULL;
  ck_assert (dy_placement_has_choice (&placement, &query, SECOND));
  for (size_t i = 0; i < G_N_ELEMENTS (endpoint_ids); i++)
    {
      DyPlacementEndpoint *placed = g_hash_table_lookup (placement.by_id, endpoint_ids[i]);
      dy_placement_begin (&placement, placed, &work, SECOND);
      dy_placement_end (&placement, placed, &work, false, DY_PLACEMENT_UNREACHABLE, SECOND);
    }
  ck_assert (!dy_placement_has_choice (&placement, &query, SECOND + 1));
  query.service = "none";
  ck_assert (!dy_placement_has_choice (&placement, &query, SECOND));
  dy_placement_finish (&placement);
}
END_TEST

static const struct
{
  const char *name;
  DyResendQuery query;
  int expected;
} resend_cases[] = {
  { "not sent", { .outcome = DY_ATTEMPT_NOT_SENT, .max_attempts = 1 }, DY_OK },
  { "not run, too many times",
    { .outcome = DY_ATTEMPT_NOT_RUN, .max_attempts = 1, .n_refused = 3 },
    DY_NO_ENDPOINT },
  { "may have run, not repeatable",
    { .outcome = DY_ATTEMPT_UNANSWERED, .may_have_run = true, .n_started = 1, .max_attempts = 2 },
    DY_OUTCOME_UNKNOWN },
  { "may have run, repeatable",
    { .outcome = DY_ATTEMPT_UNANSWERED,
      .may_have_run = true,
      .repeatable = true,
      .n_started = 1,
      .max_attempts = 2 },
    DY_OK },
  { "attempts used up",
    { .outcome = DY_ATTEMPT_UNANSWERED,
      .may_have_run = true,
      .repeatable = true,
      .n_started = 2,
      .max_attempts = 2 },
    DY_OUTCOME_UNKNOWN },
  { "stream broken after part of the answer",
    { .outcome = DY_ATTEMPT_BROKEN,
      .may_have_run = true,
      .answer_seen = true,
      .n_started = 1,
      .max_attempts = 2 },
    DY_STREAM_BROKEN },
  { "not run, after an attempt that may have run",
    { .outcome = DY_ATTEMPT_NOT_RUN, .may_have_run = true, .n_started = 1, .max_attempts = 2 },
    DY_OUTCOME_UNKNOWN },
  { "not run, too many times, after an attempt that was given up",
    { .outcome = DY_ATTEMPT_NOT_RUN,
      .may_have_run = true,
      .repeatable = true,
      .persists = true,
      .n_started = 1,
      .n_refused = 3,
      .max_attempts = 2 },
    DY_RESEND_LATER },
};

START_TEST (resends_depend_on_the_outcome)
{
  DyResendQuery query = resend_cases[_i].query;
  query.within_budget = true;
  query.time_left_ms = 1000;
  query.time_needed_ms = 20;
  int error = dy_resend_decide (&query);
  ck_assert_msg (error == resend_cases[_i].expected, "%s: %d", resend_cases[_i].name, error);
  if (error)
    return;
  query.within_budget = false;
  ck_assert_int_ne (dy_resend_decide (&query), DY_OK);
  query.within_budget = true;
  query.time_left_ms = 10;
  ck_assert_int_ne (dy_resend_decide (&query), DY_OK);
}
END_TEST

static const struct
{
  const char *name;
  DyResendQuery query; /* as before the silent attempt */
  bool has_other;
  bool no_budget;
  int64_t time_left_ms;
  bool expected;
} silent_cases[] = {
  { "an attempt left", { .repeatable = true, .max_attempts = 2 }, true, false, 1000, true },
  { "the last attempt", { .repeatable = true, .max_attempts = 1 }, true, false, 1000, false },
  { "the last attempt after a resend",
    { .repeatable = true, .may_have_run = true, .n_started = 1, .max_attempts = 2 },
    true,
    false,
    1000,
    false },
  { "refused too often before",
    { .repeatable = true, .n_refused = 3, .max_attempts = 3 },
    true,
    false,
    1000,
    false },
  { "not repeatable", { .max_attempts = 2 }, true, false, 1000, false },
  { "no other endpoint", { .repeatable = true, .max_attempts = 2 }, false, false, 1000, false },
  { "no budget", { .repeatable = true, .max_attempts = 2 }, true, true, 1000, false },
  { "no time", { .repeatable = true, .max_attempts = 2 }, true, false, 20, false },
  { "blocked", { .repeatable = true, .max_attempts = 0 }, true, false, 1000, false },
};

START_TEST (silent_attempt_is_given_up_only_for_another_one)
{
  DyResendQuery query = silent_cases[_i].query;
  query.within_budget = !silent_cases[_i].no_budget;
  query.time_left_ms = silent_cases[_i].time_left_ms;
  query.time_needed_ms = 20;
  ck_assert_msg (dy_resend_replaces_silent (&query, silent_cases[_i].has_other)
                     == silent_cases[_i].expected,
                 "%s", silent_cases[_i].name);
}
END_TEST

/* Resends that never reached an endpoint used up the retry budget. */
START_TEST (resend_that_was_not_sent_is_taken_back)
{
  DyResendBudget budget;
  dy_resend_budget_init (&budget, 0.0, 1.3, 10 * SECOND);
  ck_assert (dy_resend_budget_allows (&budget, "llm", 1, 0));
  dy_resend_budget_record_resend (&budget, "llm", 0);
  ck_assert (!dy_resend_budget_allows (&budget, "llm", 1, SECOND));
  dy_resend_budget_return_resend (&budget, "llm", 0, 2 * SECOND);
  ck_assert (dy_resend_budget_allows (&budget, "llm", 1, 2 * SECOND));
  dy_resend_budget_record_resend (&budget, "llm", 2 * SECOND);
  dy_resend_budget_return_resend (&budget, "llm", 0, 3 * SECOND);
  ck_assert (!dy_resend_budget_allows (&budget, "llm", 1, 3 * SECOND));
  dy_resend_budget_finish (&budget);
}
END_TEST

/* Bursts of resends at AFTER_MS and, if allowed, NEXT_MS later. */
static const struct
{
  int64_t after_ms;
  int64_t next_ms;
  uint32_t n_allowed; /* in both */
} burst_cases[] = { { 0, 9999, 8 },   { 0, 10300, 16 },   { 999, 9001, 8 },    { 999, 9900, 8 },
                    { 999, 9999, 8 }, { 999, 10300, 16 }, { 12345, 9999, 8 },  { 12399, 9801, 8 },
                    { 50, 9950, 8 },  { 1500, 8500, 8 },  { 1500, 10300, 16 }, { 7, 11000, 16 } };

static uint32_t
resend_while_allowed (DyResendBudget *budget, int64_t now_us)
{
  uint32_t n = 0;
  for (; dy_resend_budget_allows (budget, "llm", 1, now_us); n++)
    dy_resend_budget_record_resend (budget, "llm", now_us);
  return n;
}

/* A burst at the end of a part of the window was forgotten before a whole window had passed. */
START_TEST (burst_counts_for_a_whole_window)
{
  int64_t now_us = burst_cases[_i].after_ms * MS;
  DyResendBudget budget;
  dy_resend_budget_init (&budget, 0.0, 10.0, 10 * SECOND);
  uint32_t n = resend_while_allowed (&budget, now_us);
  ck_assert_uint_eq (n, 8);
  n += resend_while_allowed (&budget, now_us + burst_cases[_i].next_ms * MS);
  ck_assert_uint_eq (n, burst_cases[_i].n_allowed);
  dy_resend_budget_finish (&budget);
}
END_TEST

/* A reload that changed the window's length took no effect. */
static const struct
{
  int64_t before_ms;
  int64_t after_ms;
  int64_t next_ms; /* from the change to the next burst */
  uint32_t n_allowed;
} window_cases[]
    = { { 10000, 10000, 8900, 0 },  { 10000, 10000, 9500, 8 }, { 10000, 20000, 19900, 0 },
        { 10000, 20000, 20500, 8 }, { 10000, 1000, 900, 0 },   { 10000, 1000, 1100, 8 },
        { 1000, 7000, 6900, 0 },    { 1000, 7000, 7200, 8 } };

START_TEST (window_changes_its_length)
{
  enum
  {
    CHANGE_MS = 1000,
  };
  DyResendBudget budget;
  dy_resend_budget_init (&budget, 1.0, 10.0, window_cases[_i].before_ms * MS);
  ck_assert_uint_eq (resend_while_allowed (&budget, 100 * MS), 8);
  dy_resend_budget_set_window (&budget, window_cases[_i].after_ms * MS, CHANGE_MS * MS);
  int64_t next_ms = CHANGE_MS + window_cases[_i].next_ms;
  ck_assert_uint_eq (resend_while_allowed (&budget, next_ms * MS), window_cases[_i].n_allowed);
  dy_resend_budget_finish (&budget);
}
END_TEST

START_TEST (longer_window_counts_what_had_left_the_shorter_one)
{
  DyResendBudget budget;
  dy_resend_budget_init (&budget, 0.0, 10.0, 10 * SECOND);
  uint32_t n = resend_while_allowed (&budget, 0);
  dy_resend_budget_set_window (&budget, 60 * SECOND, 15 * SECOND);
  n += resend_while_allowed (&budget, 15 * SECOND);
  ck_assert_msg (n <= 10, "%u resends in 60 s", n);
  dy_resend_budget_finish (&budget);
}
END_TEST

/* Resends that requests at 100 ms allow later. */
static const struct
{
  int64_t now_ms;
  int n_requests;
  uint32_t n_allowed;
} earned_cases[] = { { 100, 10, 8 },   { 2300, 10, 8 }, { 2500, 10, 1 }, { 9900, 10, 1 },
                     { 10100, 10, 0 }, { 9900, 2, 1 },  { 9900, 1, 0 },  { 2300, 100, 80 } };

/* Resends that older requests allowed came beyond those that newer ones allowed elsewhere. */
START_TEST (request_allows_resends_for_a_quarter_of_the_window)
{
  DyResendBudget budget;
  dy_resend_budget_init (&budget, 1.0, 0.0, 10 * SECOND);
  for (int i = 0; i < earned_cases[_i].n_requests; i++)
    dy_resend_budget_record_request (&budget, "llm", 100 * MS);
  ck_assert_uint_eq (resend_while_allowed (&budget, earned_cases[_i].now_ms * MS),
                     earned_cases[_i].n_allowed);
  dy_resend_budget_finish (&budget);
}
END_TEST

/* However the requests are spread over the routers, the resends of all routers together stay within
 * ratio * requests + slack in every window. */
START_TEST (resends_of_the_fleet_stay_within_the_bound)
{
  enum
  {
    N_ROUTERS = 9,
    WINDOW_S = 10,
    N_SECONDS = 60,
    N_REQUESTS = 20,
  };
  DyResendBudget budgets[N_ROUTERS];
  int resends[N_SECONDS] = { 0 };
  int requests[N_SECONDS] = { 0 };
  for (int r = 0; r < N_ROUTERS; r++)
    dy_resend_budget_init (&budgets[r], 0.2, 58.0, WINDOW_S * SECOND);
  for (int s = 0; s < N_SECONDS; s++)
    for (int r = 0; r < N_ROUTERS; r++)
      for (int i = 0; i < N_REQUESTS * r / N_ROUTERS; i++)
        {
          int64_t now_us = (int64_t) s * SECOND + i * 10 * MS;
          dy_resend_budget_record_request (&budgets[r], "llm", now_us);
          requests[s]++;
          if (!dy_resend_budget_allows (&budgets[r], "llm", N_ROUTERS, now_us))
            continue;
          dy_resend_budget_record_resend (&budgets[r], "llm", now_us);
          resends[s]++;
        }
  for (int s = 0; s + WINDOW_S <= N_SECONDS; s++)
    {
      int n_resends = 0;
      int n_requests = 0;
      for (int i = s; i < s + WINDOW_S; i++)
        {
          n_resends += resends[i];
          n_requests += requests[i];
        }
      ck_assert_int_le (n_resends, (int) (0.2 * n_requests + 58.0));
    }
  for (int r = 0; r < N_ROUTERS; r++)
    dy_resend_budget_finish (&budgets[r]);
}
END_TEST

typedef struct
{
  const char *allowed; /* ids of the endpoints that may get requests, in one text */
  const char *due;     /* id of the endpoint that is to get the next request; "": none */
  int n_sent;
} GateState;

static bool
gate_allows (void *ctx, const char *id, int64_t now_us)
{
  const GateState *state = ctx;
  (void) now_us;
  return strstr (state->allowed, id) != NULL;
}

static bool
gate_is_due (void *ctx, const char *id, int64_t now_us)
{
  const GateState *state = ctx;
  (void) now_us;
  return strcmp (state->due, id) == 0;
}

static void
gate_record_sent (void *ctx, const char *id, int64_t now_us)
{
  GateState *state = ctx;
  (void) id;
  (void) now_us;
  state->n_sent++;
}

static const DyPlacementGate test_gate
    = { .allows = gate_allows, .is_due = gate_is_due, .record_sent = gate_record_sent };

static bool
allows_all (void *ctx, const char *id, int64_t now_us)
{
  (void) ctx;
  (void) id;
  (void) now_us;
  return true;
}

static bool
allows_none (void *ctx, const char *id, int64_t now_us)
{
  return !allows_all (ctx, id, now_us);
}

static const DyPlacementGate open_gate = { .allows = allows_all };
static const DyPlacementGate closed_gate = { .allows = allows_none };

/* PREFIX 0: none. */
static const struct
{
  const char *name;
  const char *allowed;
  const char *due;
  uint64_t prefix;
  const char *chosen; /* NULL: none */
  bool gated;         /* an endpoint is reported as passed over */
} gate_cases[] = {
  { "only one is allowed", "e2", "", 0, "e2", false },
  { "its prefix belongs to another one", "e2", "", 5, "e2", true },
  { "none is allowed", "", "", 0, NULL, true },
  { "one is due", "e0 e1 e2 e3", "e1", 0, "e1", false },
  { "one that is due but not allowed", "e2", "e1", 0, "e2", false },
};

START_TEST (placement_keeps_to_the_gate)
{
  DyPlacement placement;
  GateState state = { .allowed = gate_cases[_i].allowed, .due = gate_cases[_i].due };
  DyPlacementQuery query = { .service = "llm", .work = { .prefix_hash = gate_cases[_i].prefix } };
  placement_init (&placement);
  const char *name = gate_cases[_i].name;
  /* A prefix whose affinity endpoint is not e2. */
  while (query.work.prefix_hash > 0
         && choose (&placement, query.work.prefix_hash, 0)
                == g_hash_table_lookup (placement.by_id, "e2"))
    query.work.prefix_hash++;
  /* Another gate must not replace this one, or the other way round. */
  dy_placement_add_gate (&placement, &test_gate, &state);
  dy_placement_add_gate (&placement, &open_gate, NULL);
  dy_placement_add_gate (&placement, &test_gate, &state);
  DyPlacementEndpoint *placed = dy_placement_choose (&placement, &query, 0, NULL);
  const char *id = placed ? dy_placement_endpoint_id (placed) : NULL;
  ck_assert_msg (g_strcmp0 (id, gate_cases[_i].chosen) == 0, "%s: %s", name, id ? id : "none");
  ck_assert_msg ((dy_placement_gated (&placement, &query, 0) != NULL) == gate_cases[_i].gated, "%s",
                 name);
  if (placed)
    {
      dy_placement_begin (&placement, placed, &query.work, 0);
      dy_placement_end (&placement, placed, &query.work, false, DY_PLACEMENT_ANSWERED, 0);
    }
  ck_assert_int_eq (state.n_sent, placed ? 1 : 0);
  dy_placement_add_gate (&placement, &closed_gate, NULL);
  ck_assert_ptr_null (choose (&placement, 0, 0));
  dy_placement_remove_gate (&placement, &closed_gate);
  dy_placement_remove_gate (&placement, &test_gate);
  ck_assert_ptr_nonnull (choose (&placement, 0, 0));
  dy_placement_finish (&placement);
}
END_TEST

int
main (void)
{
  TCase *tcase = tcase_create ("routing");
  tcase_add_loop_test (tcase, the_longest_prefix_of_the_host_wins, 0,
                       (int) G_N_ELEMENTS (route_cases));
  tcase_add_test (tcase, a_route_table_is_decoded);
  tcase_add_loop_test (tcase, an_invalid_route_table_is_rejected, 0,
                       (int) G_N_ELEMENTS (bad_tables));
  tcase_add_loop_test (tcase, endpoint_records_are_checked, 0, (int) G_N_ELEMENTS (record_cases));
  tcase_add_loop_test (tcase, answer_headers_are_decoded, 0, (int) G_N_ELEMENTS (answer_cases));
  tcase_add_loop_test (tcase, only_complete_events_pass, 0, (int) G_N_ELEMENTS (event_cases));
  tcase_add_loop_test (tcase, events_are_the_same_in_pieces_of_any_size, 0,
                       (int) G_N_ELEMENTS (event_cases));
  tcase_add_test (tcase, routers_agree_on_the_affinity_endpoint);
  tcase_add_test (tcase, a_hot_session_spreads_instead_of_queueing);
  tcase_add_loop_test (tcase, a_failing_endpoint_opens_its_breaker, 0,
                       (int) G_N_ELEMENTS (health_cases));
  tcase_add_test (tcase, a_restarted_endpoint_has_a_closed_breaker);
  tcase_add_test (tcase, a_leaving_endpoint_gets_no_requests);
  tcase_add_test (tcase, an_avoided_or_failed_endpoint_is_no_other_choice);
  tcase_add_loop_test (tcase, resends_depend_on_the_outcome, 0, (int) G_N_ELEMENTS (resend_cases));
  tcase_add_test (tcase, resend_that_was_not_sent_is_taken_back);
  tcase_add_loop_test (tcase, burst_counts_for_a_whole_window, 0, G_N_ELEMENTS (burst_cases));
  tcase_add_loop_test (tcase, window_changes_its_length, 0, G_N_ELEMENTS (window_cases));
  tcase_add_test (tcase, longer_window_counts_what_had_left_the_shorter_one);
  tcase_add_loop_test (tcase, request_allows_resends_for_a_quarter_of_the_window, 0,
                       G_N_ELEMENTS (earned_cases));
  tcase_add_test (tcase, resends_of_the_fleet_stay_within_the_bound);
  tcase_add_loop_test (tcase, silent_attempt_is_given_up_only_for_another_one, 0,
                       (int) G_N_ELEMENTS (silent_cases));
  tcase_add_loop_test (tcase, placement_keeps_to_the_gate, 0, (int) G_N_ELEMENTS (gate_cases));
  return suite_run ("routing", tcase);
}
