/* Endpoints that are sound, fall silent for a time and then go on, through real router processes.
 */

#include "net/http_client.h"
#include "support/site.h"
#include "support/suite.h"

#include <string.h>

enum
{
  N_ROUTERS = 3,
  N_EVENTS = 12, /* of the path "paced" of fakes/fake_worker.c */
  PREPAID = 10000000,
  INTERVAL_MS = 10,        /* between the requests of a phase */
  NOTICE_MS = 700,         /* the routers have read the routes */
  BEFORE_MS = 350,         /* for which requests are sent before the silence */
  ROUTE_TIMEOUT_MS = 5000, /* unless the case says otherwise */
  ANSWER_MS = 1500,        /* an answer is complete this time after the silence */
  LATE_MS = 500,           /* requests end this time after the route's timeout */
  WATCH_MS = 1500,         /* and are watched for this time after it */
  LOG_MS = 100,            /* the routers' last lines are read */
  NONE = 0,
};

typedef enum
{
  ALL,
  HALF, /* one endpoint of each service */
} Share;

typedef enum
{
  BEFORE = 1, /* requests are in progress when the silence begins */
  DURING = 2, /* requests come while it lasts */
} Phase;

typedef struct
{
  const char *type; /* routeType */
  bool resumable;
  const char *service;
  const char *behaviour; /* of the endpoint, see fakes/fake_worker.c */
} Kind;

static const Kind resumable_stream = { "streaming", true, "llm", "paced" };
static const Kind torn_stream = { "streaming", true, "llm", "tear-once" };
static const Kind plain_stream = { "streaming", false, "llm", "paced" };
static const Kind idempotent = { "idempotent", false, "app", "later" };
static const Kind once = { "non_idempotent", false, "app", "later" };

typedef struct
{
  const Kind *kind;
  Share share;
  int phases; /* sum of Phase */
  int silence_ms;
  int max_attempts;
  bool change;             /* the configuration changes as the silence begins */
  int resumed_status;      /* with which resumed runs are answered; NONE: they go on */
  int timeout_ms;          /* NONE: ROUTE_TIMEOUT_MS */
  bool only_others_refuse; /* endpoints that fall silent let resumed runs go on */
} Case;

typedef struct
{
  struct Play *play;
  char id[32];
  int64_t sent_ms;
  int64_t ended_ms; /* 0: it has not ended */
  unsigned status;
  bool complete;
  GString *body;
} Request;

typedef struct Play
{
  const Case *c;
  Site site;
  DyHttpClient client;
  GPtrArray *requests;
  int64_t silence_end_ms;
  char *whole_stream;
  uint32_t n_open;
} Play;

typedef struct
{
  uint32_t n_whole;
  uint32_t n_refused;  /* not passed on to an endpoint, and not answered */
  uint32_t n_cut;      /* passed on to an endpoint, and without its whole answer */
  uint32_t n_late;     /* without a whole answer, and not ended in time */
  uint32_t n_torn;     /* streams with missing or doubled events */
  uint32_t n_repeated; /* run more often than the route allows */
  const Request *late; /* one of n_late, or NULL */
} Counts;

static int64_t
now_ms (void)
{
  return g_get_monotonic_time () / 1000;
}

static int
timeout_of (const Case *c)
{
  return c->timeout_ms ? c->timeout_ms : ROUTE_TIMEOUT_MS;
}

static bool
is_stream (const Case *c)
{
  return strcmp (c->kind->type, "streaming") == 0;
}

static bool
falls_silent (const Case *c, uint32_t worker)
{
  return c->share == ALL || worker % 2 == 0;
}

static bool
on_data (void *ctx, DyHttpTransfer *transfer, const char *data, size_t n)
{
  Request *request = ctx;
  (void) transfer;
  g_string_append_len (request->body, data, (gssize) n);
  return true;
}

static void
on_done (void *ctx, const DyHttpResult *result)
{
  Request *request = ctx;
  request->status = result->status;
  request->complete = result->error == 0;
  request->ended_ms = now_ms ();
  request->play->n_open--;
}

static void
send_request (Play *play)
{
  static const DyHttpTransferWatcher watcher = { .data = on_data, .done = on_done };
  const Case *c = play->c;
  Request *request = g_new0 (Request, 1);
  uint32_t number = play->requests->len;
  request->play = play;
  request->body = g_string_new (NULL);
  request->sent_ms = now_ms ();
  g_snprintf (request->id, sizeof request->id, "silent-%u", number);
  char *url = g_strdup_printf ("http://%s/q/%u/%s", play->site.callers[number % N_ROUTERS], number,
                               c->kind->behaviour);
  char *id = g_strdup_printf ("X-Request-Id: %s", request->id);
  char *deadline = g_strdup_printf ("X-Deadline-Ms: %d", timeout_of (c));
  const char *const headers[] = { "Host: h.example",
                                  "Authorization: Bearer k1",
                                  id,
                                  deadline,
                                  is_stream (c) ? "X-Token-Counts: 10,12" : NULL,
                                  NULL };
  DyHttpSpec spec = { .method = "POST",
                      .url = url,
                      .headers = headers,
                      .body = request->id,
                      .n_body = strlen (request->id),
                      .connect_timeout_ms = ROUTE_TIMEOUT_MS,
                      .timeout_ms = timeout_of (c) + WATCH_MS };
  g_ptr_array_add (play->requests, request);
  play->n_open++;
  dy_http_client_start (&play->client, &spec, &watcher, request);
  g_free (url);
  g_free (id);
  g_free (deadline);
}

static void
send_for (Play *play, int ms)
{
  int64_t end_ms = now_ms () + ms;
  while (now_ms () < end_ms)
    {
      send_request (play);
      site_run_for (&play->site, INTERVAL_MS);
    }
}

/* Writes the routes as VERSION, the case's own and one more for each version after the second. */
static void
put_routes (Play *play, int version)
{
  const Case *c = play->c;
  GString *extra = g_string_new (NULL);
  g_string_append_printf (
      extra,
      "{\"name\":\"q\",\"host\":\"h.example\",\"pathPrefix\":\"/q/\",\"routeType\":\"%s\","
      "\"timeoutMs\":%d,\"targetLatencyMs\":%d,\"gapTargetMs\":400,\"priority\":0,"
      "\"service\":\"%s\",\"maxAttempts\":%d,\"sticky\":false,\"resumable\":%s}",
      c->kind->type, timeout_of (c), is_stream (c) ? 400 : 100, c->kind->service, c->max_attempts,
      c->kind->resumable ? "true" : "false");
  for (int i = 3; i <= version; i++)
    g_string_append_printf (
        extra,
        ",{\"name\":\"more%d\",\"host\":\"h.example\",\"pathPrefix\":\"/more%d/\","
        "\"routeType\":\"idempotent\",\"timeoutMs\":5000,\"service\":\"app\",\"maxAttempts\":1}",
        i, i);
  ck_assert (site_put_routes (&play->site, version, extra->str, PREPAID));
  g_string_free (extra, TRUE);
}

static void
set_worker (Play *play, uint32_t i, const char *path, const char *name, int value)
{
  char *body = g_strdup_printf ("{\"%s\":%d}", name, value);
  json_decref (fleet_call (&play->site.fleet, "POST", play->site.workers[i], path, body));
  g_free (body);
}

static void
begin_silence (Play *play)
{
  const Case *c = play->c;
  for (uint32_t i = 0; i < SITE_N_WORKERS; i++)
    if (falls_silent (c, i))
      set_worker (play, i, "/admin/silence", "ms", c->silence_ms);
  play->silence_end_ms = now_ms () + c->silence_ms;
  if (c->change)
    put_routes (play, 3);
}

static void
free_request (gpointer data)
{
  Request *request = data;
  g_string_free (request->body, TRUE);
  g_free (request);
}

static void
init (Play *play, const Case *c)
{
  GString *whole = g_string_new (NULL);
  memset (play, 0, sizeof *play);
  play->c = c;
  play->requests = g_ptr_array_new_with_free_func (free_request);
  for (int i = 1; i <= N_EVENTS; i++)
    g_string_append_printf (whole, "id: %d\ndata: piece-%d\n\n", i, i);
  play->whole_stream = g_string_free (whole, FALSE);
  ck_assert (site_init (&play->site, N_ROUTERS));
  put_routes (play, 2);
  for (uint32_t i = 0; i < SITE_N_WORKERS; i++)
    if (!c->only_others_refuse || !falls_silent (c, i))
      set_worker (play, i, "/admin/resumes", "status", c->resumed_status);
  site_run_for (&play->site, NOTICE_MS);
  dy_http_client_init (&play->client, play->site.fleet.loop);
}

static void
finish (Play *play)
{
  dy_http_client_finish (&play->client);
  site_finish (&play->site);
  g_ptr_array_unref (play->requests);
  g_free (play->whole_stream);
}

/* Plays the case until all requests have ended. */
static void
play_case (Play *play)
{
  const Case *c = play->c;
  if (c->phases & BEFORE)
    send_for (play, BEFORE_MS);
  begin_silence (play);
  if (c->phases & DURING)
    send_for (play, c->silence_ms);
  while (play->n_open > 0)
    ev_run (play->site.fleet.loop, EVRUN_ONCE);
  site_run_for (&play->site, LOG_MS);
}

/* Returns a table of the number of runs by request id, summed over all endpoints. */
static GHashTable *
read_runs (Play *play)
{
  GHashTable *runs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (uint32_t i = 0; i < SITE_N_WORKERS; i++)
    {
      json_t *stats
          = fleet_call (&play->site.fleet, "GET", play->site.workers[i], "/admin/stats", NULL);
      const char *id;
      const json_t *n;
      json_object_foreach (json_object_get (stats, "runs"), id, n)
      {
        gint sum = GPOINTER_TO_INT (g_hash_table_lookup (runs, id)) + (gint) json_integer_value (n);
        g_hash_table_insert (runs, g_strdup (id), GINT_TO_POINTER (sum));
      }
      json_decref (stats);
    }
  return runs;
}

static void
count_request (const Play *play, const Request *request, int n_runs, Counts *counts)
{
  const Case *c = play->c;
  const char *body = request->body->str;
  bool success = request->status == 200;
  bool whole
      = success && request->complete && (!is_stream (c) || !strcmp (body, play->whole_stream));
  int64_t end_ms = request->sent_ms + timeout_of (c);
  bool has_time = end_ms > play->silence_end_ms + ANSWER_MS;
  counts->n_whole += whole;
  counts->n_refused += !whole && n_runs == 0;
  counts->n_cut += !whole && n_runs > 0 && has_time;
  counts->n_late += !whole && request->ended_ms > end_ms + LATE_MS;
  if (!whole && request->ended_ms > end_ms + LATE_MS)
    counts->late = request;
  counts->n_torn
      += success && is_stream (c) && strncmp (play->whole_stream, body, request->body->len) != 0;
  counts->n_repeated
      += n_runs > (c->kind->resumable || c->kind == &idempotent ? c->max_attempts : 1);
}

static uint32_t
count_output (const Play *play, const char *text)
{
  uint32_t n = 0;
  for (uint32_t i = 0; i < N_ROUTERS; i++)
    n += site_count_output (&play->site, i, text);
  return n;
}

static void
count_all (Play *play, Counts *counts)
{
  GHashTable *runs = read_runs (play);
  memset (counts, 0, sizeof *counts);
  for (guint i = 0; i < play->requests->len; i++)
    {
      const Request *request = g_ptr_array_index (play->requests, i);
      int n_runs = GPOINTER_TO_INT (g_hash_table_lookup (runs, request->id));
      count_request (play, request, n_runs, counts);
    }
  g_hash_table_unref (runs);
}

/* Formats COUNTS and what the routers have logged; freed with g_free(). */
static char *
describe (const Play *play, const Counts *counts)
{
  const Request *late = counts->late;
  int64_t late_ms = late ? late->ended_ms - late->sent_ms : 0;
  return g_strdup_printf (
      "of %u requests: whole %u refused %u cut %u late %u torn %u repeated %u; logged: attempts "
      "abandoned %u, streams broken %u, outcomes unknown %u, out of reach %u; late: %s after %d ms",
      play->requests->len, counts->n_whole, counts->n_refused, counts->n_cut, counts->n_late,
      counts->n_torn, counts->n_repeated, count_output (play, "silent attempt abandoned"),
      count_output (play, "outcome=stream_broken"), count_output (play, "outcome=outcome_unknown"),
      count_output (play, "endpoints out of reach"), late ? late->id : "none", (int) late_ms);
}

/* What is checked beside that no request runs or ends out of bounds. */
typedef enum
{
  ENDED,    /* nothing more */
  ANSWERED, /* requests that were passed on to an endpoint have their whole answers */
  ACCEPTED, /* all requests were passed on */
} Check;

static void
check_case (const Case *c, Check check)
{
  Play play;
  Counts counts;
  init (&play, c);
  play_case (&play);
  count_all (&play, &counts);
  char *text = describe (&play, &counts);
  uint32_t n_dead = 0;
  for (uint32_t i = 0; i < N_ROUTERS; i++)
    n_dead += play.site.router_process[i].pid == 0;
  finish (&play);
  ck_assert_msg (n_dead == 0, "%u routers ended; %s", n_dead, text);
  ck_assert_msg (counts.n_late == 0 && counts.n_torn == 0 && counts.n_repeated == 0, "%s", text);
  ck_assert_msg (check != ANSWERED || counts.n_cut == 0, "%s", text);
  ck_assert_msg (check != ACCEPTED || counts.n_refused == 0, "%s", text);
  g_free (text);
}

static const Case one_attempt[] = {
  { &resumable_stream, ALL, BEFORE, 1200, 1, false, NONE, NONE, false },
  { &resumable_stream, ALL, BEFORE, 1600, 1, true, NONE, NONE, false },
  { &resumable_stream, HALF, BEFORE, 2400, 1, false, NONE, NONE, false },
};

START_TEST (a_stream_with_a_single_attempt_goes_on_after_a_silence)
{
  check_case (&one_attempt[_i], ANSWERED);
}
END_TEST

static const Case last_attempt[] = {
  { &resumable_stream, ALL, BEFORE, 1200, 2, false, NONE, NONE, false },
  { &resumable_stream, ALL, BEFORE, 2400, 2, false, NONE, NONE, false },
  { &resumable_stream, ALL, BEFORE, 2400, 3, true, NONE, NONE, false },
  { &resumable_stream, HALF, BEFORE, 1600, 2, false, NONE, NONE, false },
  { &resumable_stream, HALF, BEFORE, 2400, 3, true, NONE, NONE, false },
};

START_TEST (a_stream_goes_on_after_a_silence_in_its_last_attempt)
{
  check_case (&last_attempt[_i], ANSWERED);
}
END_TEST

static const Case first_event[] = {
  { &resumable_stream, ALL, DURING, 1600, 1, false, NONE, NONE, false },
  { &resumable_stream, ALL, DURING, 2400, 2, true, NONE, NONE, false },
  { &resumable_stream, HALF, DURING, 2400, 3, false, NONE, NONE, false },
};

START_TEST (a_stream_begins_after_a_silence_before_its_first_event)
{
  check_case (&first_event[_i], ANSWERED);
}
END_TEST

static const Case answers[] = {
  { &idempotent, ALL, BEFORE | DURING, 1200, 1, false, NONE, NONE, false },
  { &idempotent, ALL, BEFORE | DURING, 1600, 2, true, NONE, NONE, false },
  { &idempotent, ALL, BEFORE | DURING, 2400, 3, false, NONE, NONE, false },
  { &idempotent, HALF, BEFORE | DURING, 1600, 2, false, NONE, NONE, false },
};

START_TEST (an_idempotent_request_is_answered_after_a_silence)
{
  check_case (&answers[_i], ANSWERED);
}
END_TEST

static const Case not_repeated[] = {
  { &plain_stream, ALL, BEFORE | DURING, 2400, 2, true, NONE, NONE, false },
  { &plain_stream, HALF, BEFORE | DURING, 1200, 1, false, NONE, NONE, false },
  { &once, ALL, BEFORE | DURING, 2400, 2, true, NONE, NONE, false },
  { &once, HALF, BEFORE | DURING, 1600, 3, false, NONE, NONE, false },
};

START_TEST (a_request_that_may_not_be_repeated_runs_once_and_is_answered_after_a_silence)
{
  check_case (&not_repeated[_i], ANSWERED);
}
END_TEST

/* The silent endpoint goes on with what the caller lacks, whatever others answer meanwhile. */
static const Case refused_resumes[] = {
  { &resumable_stream, HALF, BEFORE, 1600, 2, false, 500, NONE, false },
  { &resumable_stream, HALF, BEFORE, 1600, 2, false, 404, NONE, false },
  { &resumable_stream, HALF, BEFORE, 1600, 2, true, 421, NONE, false },
  { &resumable_stream, HALF, BEFORE, 1600, 3, false, 503, NONE, false },
};

START_TEST (a_stream_whose_resumed_run_is_refused_goes_on_after_a_silence)
{
  check_case (&refused_resumes[_i], ANSWERED);
}
END_TEST

START_TEST (a_stream_is_resumed_where_the_silence_ends_after_others_refused_it)
{
  Case c = refused_resumes[_i];
  c.only_others_refuse = true;
  check_case (&c, ANSWERED);
}
END_TEST

static const Case broken_streams[] = {
  { &torn_stream, HALF, BEFORE, NONE, 2, false, 500, 1500, false },
  { &torn_stream, HALF, BEFORE, NONE, 3, false, 500, 1500, false },
  { &torn_stream, HALF, BEFORE, NONE, 2, false, 404, 1500, false },
  { &torn_stream, HALF, BEFORE, NONE, 3, false, 421, 1500, false },
  { &torn_stream, HALF, BEFORE, NONE, 2, false, 503, 1500, false },
  { &torn_stream, HALF, DURING, 1600, 3, true, 500, 2500, false },
};

START_TEST (a_stream_whose_resumed_run_is_refused_has_an_end)
{
  check_case (&broken_streams[_i], ENDED);
}
END_TEST

static const Case short_timeouts[] = {
  { &resumable_stream, ALL, BEFORE | DURING, 2400, 2, false, NONE, 1200, false },
  { &idempotent, ALL, BEFORE | DURING, 2400, 2, true, NONE, 800, false },
};

START_TEST (a_request_ends_at_its_timeout_in_a_silence)
{
  check_case (&short_timeouts[_i], ENDED);
}
END_TEST

static const Case all_silent[] = {
  { &idempotent, ALL, BEFORE | DURING, 1600, 2, false, NONE, NONE, false },
  { &idempotent, ALL, BEFORE | DURING, 2400, 3, false, NONE, NONE, false },
  { &idempotent, ALL, BEFORE | DURING, 2400, 2, true, NONE, 1200, false },
  { &resumable_stream, ALL, BEFORE | DURING, 2400, 2, false, NONE, NONE, false },
};

START_TEST (a_silence_of_all_endpoints_is_not_taken_for_a_cut_from_them)
{
  check_case (&all_silent[_i], ACCEPTED);
}
END_TEST

int
main (void)
{
  enum
  {
    TIMEOUT_S = 60,
  };
  TCase *tcase = tcase_create ("silent_endpoints");
  tcase_set_timeout (tcase, TIMEOUT_S);
  tcase_add_loop_test (tcase, a_stream_with_a_single_attempt_goes_on_after_a_silence, 0,
                       G_N_ELEMENTS (one_attempt));
  tcase_add_loop_test (tcase, a_stream_goes_on_after_a_silence_in_its_last_attempt, 0,
                       G_N_ELEMENTS (last_attempt));
  tcase_add_loop_test (tcase, a_stream_begins_after_a_silence_before_its_first_event, 0,
                       G_N_ELEMENTS (first_event));
  tcase_add_loop_test (tcase, an_idempotent_request_is_answered_after_a_silence, 0,
                       G_N_ELEMENTS (answers));
  tcase_add_loop_test (tcase,
                       a_request_that_may_not_be_repeated_runs_once_and_is_answered_after_a_silence,
                       0, G_N_ELEMENTS (not_repeated));
  tcase_add_loop_test (tcase, a_stream_whose_resumed_run_is_refused_goes_on_after_a_silence, 0,
                       G_N_ELEMENTS (refused_resumes));
  tcase_add_loop_test (tcase, a_stream_is_resumed_where_the_silence_ends_after_others_refused_it, 0,
                       G_N_ELEMENTS (refused_resumes));
  tcase_add_loop_test (tcase, a_stream_whose_resumed_run_is_refused_has_an_end, 0,
                       G_N_ELEMENTS (broken_streams));
  tcase_add_loop_test (tcase, a_request_ends_at_its_timeout_in_a_silence, 0,
                       G_N_ELEMENTS (short_timeouts));
  tcase_add_loop_test (tcase, a_silence_of_all_endpoints_is_not_taken_for_a_cut_from_them, 0,
                       G_N_ELEMENTS (all_silent));
  return suite_run ("silent_endpoints", tcase);
}
