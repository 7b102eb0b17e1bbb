/* Fake endpoint of the users' platform, for a model engine or a plain service.
 *
 * A signed answer has the headers X-Request-Id and X-Server-Seal. The last part of a request's path
 * selects the answer:
 *   ok        200, signed; the body repeats the request's method, target and body
 *   error     500, signed: the endpoint ran the request and failed
 *   full      503: refused, not run; a request without X-Request-Id gets the same answer. Like
 *             all refusals it has the id of the request
 *   reset     the connection is closed without an answer after the request was read
 *   fragile   as reset until POST /admin/mend, then as ok
 *   torn      200, signed; the connection is closed in the middle of the body
 *   foreign   200, signed, with the id of another request
 *   unsigned  200 without X-Server-Seal
 *   silent    no answer
 *   stream    a stream of five events; with Last-Event-Id, of those after it
 *   tear-once as stream; without Last-Event-Id the connection is closed in the middle of the third
 *             event
 *   later     as stream, but the answer begins after ANSWER_DELAY_S
 *   long      as stream, but the answer begins after LONG_ANSWER_S
 *   paced     a stream of N_PACED_EVENTS events, one each PACED_EVENT_S; with Last-Event-Id, of
 *             those after it
 * Any other path is answered as ok.
 *
 * A request whose X-Prompt-Prefix has the part "bad0" crashes the endpoint ANSWER_DELAY_S after it
 * came: all requests in progress end without an answer, and so does each new one for RESTART_S, a
 * health check too.
 *
 * With a second argument, the request id of each run is appended to the file of that name, which
 * remains when the process ends. With a third one, a line "TIME ID TARGET RAN" is appended to that
 * file for each request that has an id: monotonic milliseconds, and 1 if it ran, else 0. A fourth
 * one is the label of events, as of /admin/label.
 *
 * GET /admin/stats returns {"runs": {request id: n}, "last": {header: value}, "cancelled": n,
 * "crashing": requests that came with the part "bad0", "falls": n,
 * "limited_ms": [time of each request since the limit or the fields were set]}.
 * POST /admin/label takes {"label": text}, which each event then ends with.
 * POST /admin/set takes {"instance": id}; requests whose X-Expect-Instance differs are answered
 * 421. POST /admin/limit takes {"limit": text}, which signed answers then have as Server-Limit;
 * null ends that. POST /admin/say takes {header: value, ...}, fields that all answers then have,
 * refusals too; {} ends that.
 *
 * POST /admin/brittle takes {"n": N}: from now on all answers say Server-Brittle: N. From
 * BRITTLE_AFTER_S later at most N_PLACES requests are in progress, those beyond are refused, and
 * the endpoint falls over for FALL_S when it refuses more than N of them in a second; the stats
 * have the falls as "falls".
 *
 * POST /admin/cold takes {"ms": n, "limit": L, "learn_ms": m}: for n milliseconds the endpoint is
 * cold, and falls over for FALL_S when more than L requests come in a second, without those
 * answered 421. The stats have the falls as "falls", the times of requests since as "limited_ms",
 * and as "cold_worst" the most requests that came in a second of any cold time from m milliseconds
 * after its start on. GET of the health path says X-Cold-Ms.
 *
 * POST /admin/refuse takes {"percent": p}: so many of the requests, chosen at random, are refused
 * as by the path "full"; 0 ends that.
 *
 * POST /admin/silence takes {"ms": n}: for n milliseconds requests are read, but no byte of an
 * answer is sent, except to /admin. Then all answers go on where they were.
 * POST /admin/resumes takes {"status": n}: requests with Last-Event-Id are answered with that
 * status, 421 and 503 as refusals and others signed; 0 ends that. */

#include "net/http_server.h"

#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

enum
{
  MAX_BODY_BYTES = 2 * 1024 * 1024,
  MAX_HEADER_BYTES = 32768,
  N_EVENTS = 5,
  N_EVENTS_BEFORE_CLOSE = 2,
  N_PACED_EVENTS = 12,
  N_PLACES = 6, /* of a brittle endpoint */
  MAX_REFUSALS = 64,
  MAX_ARRIVALS = 256,
};

typedef struct
{
  struct ev_loop *loop;
  DyHttpServer server;
  char *instance;
  json_t *runs;      /* request id to the number of runs */
  json_t *last;      /* headers and target of the last run */
  FILE *run_log;     /* NULL: none */
  FILE *arrival_log; /* NULL: none */
  GRand *rng;
  json_t *limited_ms;
  ev_tstamp limit_set_at;
} Worker;

typedef void (*Answer) (DyHttpCall *call, const char *id);

/* A request that is answered later. */
typedef struct
{
  DyHttpCall *call;
  char *id;       /* NULL: the request has none */
  Answer answer;  /* NULL: the endpoint crashes in place of the answer */
  int next_event; /* of a paced stream that has begun; 0: none */
  ev_timer timer;
} PendingCall;

static const char SEAL[] = "5ea1.0.0";
static const char CRASHING_PART[] = "bad0:";
static const double ANSWER_DELAY_S = 0.04;
static const double RESTART_S = 0.3;
static const double PACED_EVENT_S = 0.03;
static const double LONG_ANSWER_S = 0.4;
static const double BRITTLE_AFTER_S = 3.0;
static const double FALL_S = 2.0;

static int64_t n_cancelled; /* silent requests whose connection was closed */
static int64_t n_crashing;  /* requests that came with the crashing part */
static GHashTable *pending; /* set of PendingCall */
static char *limit;         /* value of Server-Limit; NULL: none */
static json_t *said;        /* header fields of all answers; NULL: none */
static bool mended;         /* "fragile" is answered as "ok" */
static char *label;         /* end of each event's data; NULL: none */
static int64_t refused_percent;
/* A brittle endpoint: when it began, the refusals in a second that it stands, the times of its
 * latest refusals, the oldest first, and its falls. */
static ev_tstamp brittle_at;
static int64_t brittle_n;
static ev_tstamp refused_at[MAX_REFUSALS];
static int64_t n_falls;
static ev_tstamp down_until;
/* A cold endpoint: until when, the requests in a second that it stands, and the times of the latest
 * ones, the oldest first. */
static ev_tstamp cold_until;
static int64_t cold_limit;
static ev_tstamp cold_counted_from;
static int64_t cold_worst;
static ev_tstamp arrived_at[MAX_ARRIVALS];
static ev_tstamp silent_until;
static unsigned resumed_status; /* of answers to requests with Last-Event-Id; 0: none is set */
static struct ev_loop *main_loop;

static void
reply_json (DyHttpCall *call, json_t *root)
{
  char *text = json_dumps (root, JSON_COMPACT);
  dy_http_call_reply (call, 200, "application/json", text, strlen (text));
  free (text);
  json_decref (root);
}

static void
record_header (void *ctx, const char *name, const char *value)
{
  json_object_set_new (ctx, name, json_string (value));
}

static void
record_run (Worker *worker, DyHttpCall *call, const char *id)
{
  json_int_t n = json_integer_value (json_object_get (worker->runs, id));
  json_object_set_new (worker->runs, id, json_integer (n + 1));
  if (worker->run_log)
    {
      fprintf (worker->run_log, "%s\n", id);
      fflush (worker->run_log);
    }
  json_object_clear (worker->last);
  dy_http_call_visit_headers (call, record_header, worker->last);
  json_object_set_new (worker->last, "target", json_string (dy_http_call_target (call)));
}

static void
record_arrival (Worker *worker, DyHttpCall *call, const char *id, bool runs)
{
  if (!worker->arrival_log || !id)
    return;
  fprintf (worker->arrival_log, "%" G_GINT64_FORMAT " %s %s %d\n", g_get_monotonic_time () / 1000,
           id, dy_http_call_path (call), runs);
  fflush (worker->arrival_log);
}

static void
say (DyHttpCall *call)
{
  const char *name;
  const json_t *value;
  json_object_foreach (said, name, value)
  {
    dy_http_call_add_header (call, name, json_string_value (value));
  }
  if (brittle_at > 0.0)
    {
      char *text = g_strdup_printf ("%d", (int) brittle_n);
      dy_http_call_add_header (call, "Server-Brittle", text);
      g_free (text);
    }
}

static void
sign (DyHttpCall *call, const char *id)
{
  say (call);
  dy_http_call_add_header (call, "X-Request-Id", id);
  dy_http_call_add_header (call, "X-Server-Seal", SEAL);
  if (limit)
    dy_http_call_add_header (call, "Server-Limit", limit);
}

static void
answer_text (DyHttpCall *call, unsigned status)
{
  char *text = g_strdup_printf ("%s %s %s", dy_http_call_method (call), dy_http_call_target (call),
                                dy_http_call_body (call)->str);
  dy_http_call_reply (call, status, "text/plain", text, strlen (text));
  g_free (text);
}

static void
answer_ok (DyHttpCall *call, const char *id)
{
  sign (call, id);
  dy_http_call_add_header (call, "X-Worker-Load", "1,0,6");
  answer_text (call, 200);
}

static void
answer_error (DyHttpCall *call, const char *id)
{
  sign (call, id);
  answer_text (call, 500);
}

static void
answer_reset (DyHttpCall *call, const char *id)
{
  (void) id;
  dy_http_call_abort (call);
}

static void
answer_fragile (DyHttpCall *call, const char *id)
{
  if (mended)
    answer_ok (call, id);
  else
    answer_reset (call, id);
}

static void
answer_torn (DyHttpCall *call, const char *id)
{
  sign (call, id);
  dy_http_call_start_stream (call, 200, "text/plain");
  dy_http_call_write (call, "half", 4);
  dy_http_call_abort (call);
}

static void
answer_foreign (DyHttpCall *call, const char *id)
{
  (void) id;
  sign (call, "another");
  answer_text (call, 200);
}

static void
answer_unsigned (DyHttpCall *call, const char *id)
{
  dy_http_call_add_header (call, "X-Request-Id", id);
  answer_text (call, 200);
}

static void
on_silent_closed (void *ctx, DyHttpCall *call, bool complete)
{
  (void) call;
  (void) complete;
  (void) ctx;
  n_cancelled++;
}

static void
answer_silent (DyHttpCall *call, const char *id)
{
  static const DyHttpCallWatcher watcher = { .closed = on_silent_closed };
  (void) id;
  dy_http_call_watch (call, &watcher, NULL);
}

static void
write_events (DyHttpCall *call, int first, int end)
{
  for (int i = first; i < end; i++)
    {
      char *event = g_strdup_printf ("id: %d\ndata: piece-%d%s\n\n", i, i, label ? label : "");
      dy_http_call_write (call, event, strlen (event));
      g_free (event);
    }
}

static void
answer_stream (DyHttpCall *call, const char *id)
{
  const char *after = dy_http_call_header (call, "Last-Event-Id");
  sign (call, id);
  dy_http_call_start_stream (call, 200, "text/event-stream");
  write_events (call, after ? atoi (after) + 1 : 1, N_EVENTS + 1);
  dy_http_call_end (call);
}

static void
answer_tear_once (DyHttpCall *call, const char *id)
{
  static const char part[] = "id: 3\ndata: pie";
  if (dy_http_call_header (call, "Last-Event-Id"))
    {
      answer_stream (call, id);
      return;
    }
  sign (call, id);
  dy_http_call_start_stream (call, 200, "text/event-stream");
  write_events (call, 1, N_EVENTS_BEFORE_CLOSE + 1);
  dy_http_call_write (call, part, sizeof part - 1);
  dy_http_call_abort (call);
}

static void
free_pending (gpointer key)
{
  PendingCall *entry = key;
  ev_timer_stop (main_loop, &entry->timer);
  g_free (entry->id);
  g_free (entry);
}

static void
on_pending_closed (void *ctx, DyHttpCall *call, bool complete)
{
  (void) call;
  (void) complete;
  g_hash_table_remove (pending, ctx);
}

static void
crash (double restart_s)
{
  GPtrArray *calls = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer key;
  g_hash_table_iter_init (&iter, pending);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      ev_timer_stop (main_loop, &((PendingCall *) key)->timer);
      g_ptr_array_add (calls, ((PendingCall *) key)->call);
    }
  for (guint i = 0; i < calls->len; i++)
    dy_http_call_abort (g_ptr_array_index (calls, i));
  g_ptr_array_unref (calls);
  down_until = ev_now (main_loop) + restart_s;
}

static void
wait_for (PendingCall *entry, double delay_s)
{
  ev_timer_set (&entry->timer, delay_s, 0.0);
  ev_timer_start (main_loop, &entry->timer);
}

static void
write_paced_event (PendingCall *entry)
{
  write_events (entry->call, entry->next_event, entry->next_event + 1);
  if (++entry->next_event <= N_PACED_EVENTS)
    {
      wait_for (entry, PACED_EVENT_S);
      return;
    }
  dy_http_call_end (entry->call);
}

static void
on_answer_due (struct ev_loop *loop, ev_timer *w, int events)
{
  PendingCall *entry = w->data;
  (void) loop;
  (void) events;
  if (!entry->answer)
    {
      crash (RESTART_S);
      return;
    }
  if (ev_now (main_loop) < silent_until)
    {
      wait_for (entry, silent_until - ev_now (main_loop));
      return;
    }
  if (entry->next_event)
    {
      write_paced_event (entry);
      return;
    }
  dy_http_call_watch (entry->call, NULL, NULL);
  entry->answer (entry->call, entry->id);
  g_hash_table_remove (pending, entry);
}

/* Calls ANSWER after DELAY_S and after the silence, or crashes if it is NULL. */
static PendingCall *
add_pending (DyHttpCall *call, const char *id, Answer answer, double delay_s)
{
  static const DyHttpCallWatcher watcher = { .closed = on_pending_closed };
  PendingCall *entry = g_new0 (PendingCall, 1);
  entry->call = call;
  entry->id = g_strdup (id);
  entry->answer = answer;
  ev_timer_init (&entry->timer, on_answer_due, 0.0, 0.0);
  entry->timer.data = entry;
  wait_for (entry, delay_s);
  g_hash_table_add (pending, entry);
  dy_http_call_watch (call, &watcher, entry);
  return entry;
}

static void
answer_later (DyHttpCall *call, const char *id)
{
  add_pending (call, id, answer_stream, ANSWER_DELAY_S);
}

static void
answer_long (DyHttpCall *call, const char *id)
{
  add_pending (call, id, answer_stream, LONG_ANSWER_S);
}

static void
answer_paced (DyHttpCall *call, const char *id)
{
  const char *after = dy_http_call_header (call, "Last-Event-Id");
  int first = after ? atoi (after) + 1 : 1;
  sign (call, id);
  dy_http_call_start_stream (call, 200, "text/event-stream");
  if (first > N_PACED_EVENTS)
    dy_http_call_end (call);
  else
    add_pending (call, id, answer_paced, PACED_EVENT_S)->next_event = first;
}

static const struct
{
  const char *name;
  Answer answer;
} behaviours[] = {
  { "ok", answer_ok },           { "error", answer_error },     { "reset", answer_reset },
  { "torn", answer_torn },       { "foreign", answer_foreign }, { "unsigned", answer_unsigned },
  { "silent", answer_silent },   { "stream", answer_stream },   { "tear-once", answer_tear_once },
  { "later", answer_later },     { "paced", answer_paced },     { "long", answer_long },
  { "fragile", answer_fragile },
};

static bool
is_behaviour (const char *path, const char *name)
{
  const char *last = strrchr (path, '/');
  return last && strcmp (last + 1, name) == 0;
}

static void
refuse (DyHttpCall *call, const char *id, unsigned status)
{
  if (id)
    dy_http_call_add_header (call, "X-Request-Id", id);
  dy_http_call_add_header (call, status == 421 ? "X-Instance-Id" : "X-Not-Run", "1");
  say (call);
  dy_http_call_reply (call, status, "text/plain", "", 0);
}

static void
refuse_misdirected (DyHttpCall *call, const char *id)
{
  refuse (call, id, 421);
}

static void
refuse_full (DyHttpCall *call, const char *id)
{
  refuse (call, id, 503);
}

static void
answer_resumed (DyHttpCall *call, const char *id)
{
  sign (call, id);
  answer_text (call, resumed_status);
}

/* Answers at once, or after the silence. */
static void
answer_when_heard (DyHttpCall *call, const char *id, Answer answer)
{
  if (ev_now (main_loop) < silent_until)
    add_pending (call, id, answer, silent_until - ev_now (main_loop));
  else
    answer (call, id);
}

static Answer
choose_answer (DyHttpCall *call)
{
  if (resumed_status && dy_http_call_header (call, "Last-Event-Id"))
    return answer_resumed;
  for (size_t i = 0; i < G_N_ELEMENTS (behaviours); i++)
    if (is_behaviour (dy_http_call_path (call), behaviours[i].name))
      return behaviours[i].answer;
  return answer_ok;
}

/* Returns whether the endpoint is brittle and has no place left, and falls over if it has had to
 * say so too often. */
static bool
lacks_places (void)
{
  ev_tstamp now = ev_now (main_loop);
  if (brittle_at == 0.0 || now < brittle_at + BRITTLE_AFTER_S
      || g_hash_table_size (pending) < N_PLACES)
    return false;
  memmove (refused_at, refused_at + 1, sizeof refused_at - sizeof refused_at[0]);
  refused_at[MAX_REFUSALS - 1] = now;
  if (now - refused_at[MAX_REFUSALS - 1 - CLAMP (brittle_n, 0, MAX_REFUSALS - 1)] >= 1.0)
    return true;
  n_falls++;
  memset (refused_at, 0, sizeof refused_at);
  crash (FALL_S);
  return true;
}

/* Counts a request, and falls over if the endpoint is cold and too many come. */
static void
count_arrival (void)
{
  ev_tstamp now = ev_now (main_loop);
  memmove (arrived_at, arrived_at + 1, sizeof arrived_at - sizeof arrived_at[0]);
  arrived_at[MAX_ARRIVALS - 1] = now;
  int64_t n = 0;
  for (int i = MAX_ARRIVALS; i > 0 && now < cold_until; i--)
    n += arrived_at[i - 1] >= MAX (now - 1.0, cold_counted_from);
  cold_worst = MAX (cold_worst, n);
  if (now >= cold_until || now < down_until
      || now - arrived_at[MAX_ARRIVALS - 1 - CLAMP (cold_limit, 0, MAX_ARRIVALS - 1)] >= 1.0)
    return;
  n_falls++;
  memset (arrived_at, 0, sizeof arrived_at);
  crash (FALL_S);
}

/* Returns the refusal of the request, or NULL if it is run. */
static Answer
choose_refusal (const Worker *worker, DyHttpCall *call)
{
  const char *expected = dy_http_call_header (call, "X-Expect-Instance");
  bool resumed = dy_http_call_header (call, "Last-Event-Id") != NULL;
  if ((worker->instance && expected && strcmp (worker->instance, expected) != 0)
      || (resumed && resumed_status == 421))
    return refuse_misdirected;
  if (g_rand_int_range (worker->rng, 0, 100) < refused_percent
      || !dy_http_call_header (call, "X-Request-Id")
      || is_behaviour (dy_http_call_path (call), "full") || (resumed && resumed_status == 503)
      || (ev_now (main_loop) >= down_until && lacks_places ()))
    return refuse_full;
  return NULL;
}

static void
serve (Worker *worker, DyHttpCall *call)
{
  const char *id = dy_http_call_header (call, "X-Request-Id");
  Answer refusal = choose_refusal (worker, call);
  const char *parts = dy_http_call_header (call, "X-Prompt-Prefix");
  bool crashes = !refusal && parts && strstr (parts, CRASHING_PART);
  if (crashes)
    n_crashing++;
  if (refusal != refuse_misdirected)
    count_arrival ();
  if (ev_now (main_loop) < down_until)
    {
      dy_http_call_abort (call);
      return;
    }
  record_arrival (worker, call, id, !refusal);
  if (refusal)
    {
      answer_when_heard (call, id, refusal);
      return;
    }
  record_run (worker, call, id);
  json_array_append_new (
      worker->limited_ms,
      json_integer ((json_int_t) ((ev_now (main_loop) - worker->limit_set_at) * 1e3)));
  if (crashes)
    {
      add_pending (call, id, NULL, ANSWER_DELAY_S);
      return;
    }
  answer_when_heard (call, id, choose_answer (call));
}

/* Returns the integer NAME of the request's JSON body and answers the request. */
static int64_t
take_integer (DyHttpCall *call, const char *name)
{
  json_t *body = json_loadb (dy_http_call_body (call)->str, dy_http_call_body (call)->len, 0, NULL);
  int64_t value = json_integer_value (json_object_get (body, name));
  json_decref (body);
  reply_json (call, json_object ());
  return value;
}

static void
set_brittle (DyHttpCall *call)
{
  brittle_n = take_integer (call, "n");
  brittle_at = ev_now (main_loop);
}

static void
set_cold (Worker *worker, DyHttpCall *call)
{
  json_t *body = json_loadb (dy_http_call_body (call)->str, dy_http_call_body (call)->len, 0, NULL);
  ev_tstamp now = ev_now (main_loop);
  cold_until = now + (double) json_integer_value (json_object_get (body, "ms")) / 1e3;
  cold_limit = json_integer_value (json_object_get (body, "limit"));
  cold_counted_from = now + (double) json_integer_value (json_object_get (body, "learn_ms")) / 1e3;
  json_array_clear (worker->limited_ms);
  worker->limit_set_at = now;
  json_decref (body);
  reply_json (call, json_object ());
}

static void
answer_health (DyHttpCall *call)
{
  double left_s = cold_until - ev_now (main_loop);
  char *text = g_strdup_printf ("%d", (int) (MAX (left_s, 0.0) * 1e3));
  dy_http_call_add_header (call, "X-Cold-Ms", text);
  g_free (text);
  reply_json (call, json_object ());
}

static void
set_label (DyHttpCall *call)
{
  json_t *body = json_loads (dy_http_call_body (call)->str, 0, NULL);
  g_free (label);
  label = g_strdup (json_string_value (json_object_get (body, "label")));
  json_decref (body);
  reply_json (call, json_object ());
}

static void
set_instance (Worker *worker, DyHttpCall *call)
{
  json_t *body = json_loadb (dy_http_call_body (call)->str, dy_http_call_body (call)->len, 0, NULL);
  const char *instance = json_string_value (json_object_get (body, "instance"));
  g_free (worker->instance);
  worker->instance = g_strdup (instance);
  json_decref (body);
  reply_json (call, json_object ());
}

static void
set_limit (Worker *worker, DyHttpCall *call)
{
  json_t *body = json_loadb (dy_http_call_body (call)->str, dy_http_call_body (call)->len, 0, NULL);
  const char *value = json_string_value (json_object_get (body, "limit"));
  g_free (limit);
  limit = g_strdup (value);
  json_array_clear (worker->limited_ms);
  worker->limit_set_at = ev_now (main_loop);
  json_decref (body);
  reply_json (call, json_object ());
}

static void
set_said (Worker *worker, DyHttpCall *call)
{
  json_decref (said);
  said = json_loadb (dy_http_call_body (call)->str, dy_http_call_body (call)->len, 0, NULL);
  json_array_clear (worker->limited_ms);
  worker->limit_set_at = ev_now (main_loop);
  reply_json (call, json_object ());
}

static void
handle (void *ctx, DyHttpCall *call)
{
  Worker *worker = ctx;
  const char *path = dy_http_call_path (call);
  if (strcmp (path, "/admin/stats") == 0)
    reply_json (call,
                json_pack ("{s:O, s:O, s:I, s:I, s:I, s:I, s:O}", "runs", worker->runs, "last",
                           worker->last, "cancelled", (json_int_t) n_cancelled, "crashing",
                           (json_int_t) n_crashing, "falls", (json_int_t) n_falls, "cold_worst",
                           (json_int_t) cold_worst, "limited_ms", worker->limited_ms));
  else if (strcmp (path, "/admin/label") == 0)
    set_label (call);
  else if (strcmp (path, "/admin/mend") == 0)
    {
      mended = true;
      reply_json (call, json_object ());
    }
  else if (strcmp (path, "/admin/set") == 0)
    set_instance (worker, call);
  else if (strcmp (path, "/admin/limit") == 0)
    set_limit (worker, call);
  else if (strcmp (path, "/admin/say") == 0)
    set_said (worker, call);
  else if (strcmp (path, "/admin/silence") == 0)
    silent_until = ev_now (main_loop) + (double) take_integer (call, "ms") / 1e3;
  else if (strcmp (path, "/admin/brittle") == 0)
    set_brittle (call);
  else if (strcmp (path, "/admin/cold") == 0)
    set_cold (worker, call);
  else if (strcmp (path, "/health") == 0 && cold_until > 0.0 && ev_now (main_loop) >= down_until)
    answer_health (call);
  else if (strcmp (path, "/admin/refuse") == 0)
    refused_percent = take_integer (call, "percent");
  else if (strcmp (path, "/admin/resumes") == 0)
    resumed_status = (unsigned) take_integer (call, "status");
  else
    serve (worker, call);
}

static const DyHttpServerHandler handler = { .handle = handle, .too_large = handle };

int
main (int argc, char **argv)
{
  Worker worker = { .runs = json_object (), .last = json_object (), .limited_ms = json_array () };
  if (argc < 2 || argc > 5)
    return 2;
  if (argc >= 3)
    worker.run_log = fopen (argv[2], "a");
  if (argc >= 4)
    worker.arrival_log = fopen (argv[3], "a");
  if (argc == 5)
    label = g_strdup (argv[4]);
  worker.rng = g_rand_new_with_seed ((guint32) g_str_hash (argv[1]));
  signal (SIGPIPE, SIG_IGN);
  worker.loop = ev_default_loop (EVFLAG_AUTO);
  main_loop = worker.loop;
  pending = g_hash_table_new_full (NULL, NULL, free_pending, NULL);
  if (dy_http_server_init (&worker.server, worker.loop, argv[1], MAX_BODY_BYTES, MAX_HEADER_BYTES,
                           MAX_BODY_BYTES, &handler, &worker))
    return 1;
  printf ("ready\n");
  fflush (stdout);
  ev_run (worker.loop, 0);
  return 0;
}
