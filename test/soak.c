/* Randomized soak test. Routers, store and endpoints run as processes on loopback; signals, relays
 * and settings of the store inject faults while callers send requests. Then endpoints only fall
 * silent and go on, beside changes of the routes and reloads. Afterwards the invariants that
 * callers rely on are checked for each request.
 *
 * Usage: soak [FIRST_SEED [N_SEEDS [SECONDS]]]. The seed initializes the random choice of
 * faults and requests; since the processes run in real time, a failure may not repeat with it. */

#include "net/http_client.h"
#include "support/site.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  N_ROUTERS = 3,
  N_CALLERS = 12,
  PROMPT_TOKENS = 10,
  OUTPUT_TOKENS = 5, /* one in each event of a stream of fakes/fake_worker.c */
  PAID_TOKENS = 4000,
  MAX_ATTEMPTS = 2, /* set in the routes of support/site.c */
  CALL_TIMEOUT_MS = 8000,
  DEADLINE_MS = 2000,
  /* While endpoints only fall silent: */
  SOUND_DEADLINE_MS = 5000, /* also the timeout of the routes */
  SOUND_EVENTS = 12,        /* of the path "paced" of fakes/fake_worker.c */
  SOUND_TOKENS = 1000000,   /* paid in addition */
  LATE_MS = 500,            /* requests end this time after their deadline */
  MIN_SILENCE_MS = 700,
  MAX_SILENCE_MS = 1700,
  RECOVERED_MS = 2500, /* endpoints are in use again after their last fault */
  MIN_HEARD_MS = 1000, /* between two silences of an endpoint */
};

static const double FAULT_INTERVAL_S = 0.25;
static const double MAX_FAULT_S = 1.5;

typedef enum
{
  KIND_IDEMPOTENT,
  KIND_ONCE,
  KIND_STREAM,
  KIND_STREAM_ONCE,
  N_KINDS,
} Kind;

static const struct
{
  const char *method;
  const char *prefix;
  const char *body;
  const char *behaviours[6]; /* of the endpoint (see fakes/fake_worker.c), equally likely */
  const char *sound;         /* the one of an endpoint that only falls silent */
  int64_t max_runs;          /* how often a request may run, at all endpoints */
} kinds[N_KINDS] = {
  { "GET", "/ok/", NULL, { "ok", "ok", "ok", "error", "reset", "torn" }, "ok", MAX_ATTEMPTS },
  { "POST", "/once/", "b", { "ok", "ok", "ok", "full", "reset", "foreign" }, "ok", 1 },
  { "POST",
    "/s/",
    "",
    { "stream", "stream", "stream", "stream", "tear-once", "tear-once" },
    "paced",
    MAX_ATTEMPTS },
  { "POST",
    "/s1/",
    "",
    { "stream", "stream", "stream", "stream", "stream", "tear-once" },
    "paced",
    1 },
};

typedef struct
{
  char id[32];
  Kind kind;
  char *target;
  bool sound; /* no endpoint does more than to fall silent */
  int64_t sent_ms;
  int64_t ended_ms;
  unsigned status; /* HTTP status; 0: no answer began */
  bool complete;   /* the answer is complete */
  GString *body;
} RequestRecord;

typedef struct Soak
{
  Site site;
  GRand *rng;
  DyHttpClient client;
  GPtrArray *records;
  GHashTable *runs; /* request id to the number of runs at endpoints */
  uint32_t n_open;  /* requests that have not ended */
  bool sending;
  bool sound; /* endpoints only fall silent */
  int64_t paid_tokens;
  int64_t silent_until_ms[SITE_N_WORKERS];
  int version; /* version of the route table */
  ev_timer faults;
  ev_timer end;
  GPtrArray *repairs;                  /* of Repair, pending ones */
  bool starting[SITE_MAX_ROUTERS];     /* start_router() waits for the router */
  pid_t terminating[SITE_MAX_ROUTERS]; /* process that got SIGTERM last; 0: none */
  int n_violations;                    /* violated invariants and failed recoveries */
} Soak;

typedef struct
{
  Soak *soak;
  RequestRecord *record;
  DyHttpTransfer *transfer;
} Call;

static void start_call (Soak *soak);

static int64_t
now_ms (void)
{
  return g_get_monotonic_time () / 1000;
}

static void
report_violation (Soak *soak, const RequestRecord *record, const char *text)
{
  soak->n_violations++;
  fprintf (stderr, "%s %s %s: status %u whole %d runs %d body '%s'\n", text, record->id,
           record->target, record->status, record->complete,
           GPOINTER_TO_INT (g_hash_table_lookup (soak->runs, record->id)), record->body->str);
}

static bool
on_data (void *ctx, DyHttpTransfer *transfer, const char *data, size_t n)
{
  Call *call = ctx;
  (void) transfer;
  g_string_append_len (call->record->body, data, (gssize) n);
  return true;
}

static void
on_done (void *ctx, const DyHttpResult *result)
{
  Call *call = ctx;
  Soak *soak = call->soak;
  call->record->status = result->status;
  call->record->complete = result->error == 0;
  call->record->ended_ms = now_ms ();
  g_free (call);
  soak->n_open--;
  if (soak->sending)
    start_call (soak);
}

static RequestRecord *
new_record (Soak *soak)
{
  RequestRecord *record = g_new0 (RequestRecord, 1);
  record->kind = (Kind) g_rand_int_range (soak->rng, 0, N_KINDS);
  g_snprintf (record->id, sizeof record->id, "soak-%u", soak->records->len);
  const char *behaviour = kinds[record->kind].behaviours[g_rand_int_range (soak->rng, 0, 6)];
  record->sound = soak->sound;
  record->sent_ms = now_ms ();
  record->target = g_strdup_printf ("%sn%u/%s", kinds[record->kind].prefix, soak->records->len,
                                    record->sound ? kinds[record->kind].sound : behaviour);
  record->body = g_string_new (NULL);
  g_ptr_array_add (soak->records, record);
  return record;
}

static void
start_call (Soak *soak)
{
  static const DyHttpTransferWatcher watcher = { .data = on_data, .done = on_done };
  Call *call = g_new0 (Call, 1);
  call->soak = soak;
  call->record = new_record (soak);
  const char *router = soak->site.callers[g_rand_int_range (soak->rng, 0, N_ROUTERS)];
  char *url = g_strdup_printf ("http://%s%s", router, call->record->target);
  char *id = g_strdup_printf ("X-Request-Id: %s", call->record->id);
  char *counts = g_strdup_printf ("X-Token-Counts: %d,%d", PROMPT_TOKENS,
                                  soak->sound ? SOUND_EVENTS : OUTPUT_TOKENS);
  char *deadline
      = g_strdup_printf ("X-Deadline-Ms: %d", soak->sound ? SOUND_DEADLINE_MS : DEADLINE_MS);
  bool is_stream = call->record->kind >= KIND_STREAM;
  const char *headers[] = {
    "Host: h.example", "Authorization: Bearer k1", deadline, id, is_stream ? counts : NULL, NULL
  };
  DyHttpSpec spec
      = { .method = kinds[call->record->kind].method,
          .url = url,
          .headers = headers,
          .body = kinds[call->record->kind].body,
          .n_body = kinds[call->record->kind].body ? strlen (kinds[call->record->kind].body) : 0,
          .connect_timeout_ms = CALL_TIMEOUT_MS,
          .timeout_ms = CALL_TIMEOUT_MS };
  soak->n_open++;
  call->transfer = dy_http_client_start (&soak->client, &spec, &watcher, call);
  g_free (url);
  g_free (id);
  g_free (counts);
  g_free (deadline);
}

/* --- faults and their repairs --- */

typedef struct
{
  Soak *soak;
  void (*run) (Soak *soak, uint32_t i);
  uint32_t i;
  ev_timer timer;
} Repair;

static void
on_repair (struct ev_loop *loop, ev_timer *w, int events)
{
  Repair *repair = w->data;
  Soak *soak = repair->soak;
  (void) loop;
  (void) events;
  repair->run (soak, repair->i);
  g_ptr_array_remove_fast (soak->repairs, repair);
}

static void
free_repair (gpointer data)
{
  Repair *repair = data;
  ev_timer_stop (repair->soak->site.fleet.loop, &repair->timer);
  g_free (repair);
}

static void
repair_later (Soak *soak, void (*run) (Soak *soak, uint32_t i), uint32_t i)
{
  Repair *repair = g_new0 (Repair, 1);
  double delay_s = g_rand_double_range (soak->rng, 0.05, MAX_FAULT_S);
  repair->soak = soak;
  repair->run = run;
  repair->i = i;
  ev_timer_init (&repair->timer, on_repair, delay_s, 0.0);
  repair->timer.data = repair;
  ev_timer_start (soak->site.fleet.loop, &repair->timer);
  g_ptr_array_add (soak->repairs, repair);
}

static void
start_router (Soak *soak, uint32_t i)
{
  /* site_start_router() runs the event loop, so another repair of this router may run meanwhile. */
  if (soak->site.router_process[i].pid || soak->starting[i])
    return;
  soak->starting[i] = true;
  if (!site_start_router (&soak->site, i))
    soak->n_violations++;
  soak->starting[i] = false;
}

static void
kill_router (Soak *soak, uint32_t i)
{
  fleet_signal (&soak->site.router_process[i], SIGKILL);
  repair_later (soak, start_router, i);
}

/* Starts the router again once the process that got SIGTERM has ended. */
static void
restart_router (Soak *soak, uint32_t i)
{
  pid_t pid = soak->site.router_process[i].pid;
  if (pid && pid == soak->terminating[i])
    repair_later (soak, restart_router, i);
  else
    start_router (soak, i);
}

static void
stop_router (Soak *soak, uint32_t i)
{
  soak->terminating[i] = soak->site.router_process[i].pid;
  fleet_signal (&soak->site.router_process[i], SIGTERM);
  repair_later (soak, restart_router, i);
}

static void
resume_router (Soak *soak, uint32_t i)
{
  fleet_signal (&soak->site.router_process[i], SIGCONT);
}

static void
pause_router (Soak *soak, uint32_t i)
{
  fleet_signal (&soak->site.router_process[i], SIGSTOP);
  repair_later (soak, resume_router, i);
}

static void
reload_router (Soak *soak, uint32_t i)
{
  fleet_signal (&soak->site.router_process[i], SIGHUP);
}

static void
restore_store (Soak *soak, uint32_t i)
{
  relay_set_fault (&soak->site.store_relay[i], RELAY_PASS);
}

static void
disturb_store (Soak *soak, uint32_t i)
{
  relay_set_fault (&soak->site.store_relay[i],
                   (RelayFault) g_rand_int_range (soak->rng, RELAY_DROP, RELAY_N_FAULTS));
  repair_later (soak, restore_store, i);
}

static void
disturb_all_stores (Soak *soak, uint32_t i)
{
  (void) i;
  for (uint32_t r = 0; r < N_ROUTERS; r++)
    disturb_store (soak, r);
}

static void
lose_writes (Soak *soak, uint32_t i)
{
  (void) i;
  site_set_store (&soak->site, "{\"lose\":3}");
}

static void
delay_writes (Soak *soak, uint32_t i)
{
  (void) i;
  site_set_store (&soak->site, "{\"late\":3}");
}

static void
drop_history (Soak *soak, uint32_t i)
{
  (void) i;
  site_set_store (&soak->site, "{\"forget\":true}");
}

static void
restore_worker (Soak *soak, uint32_t i)
{
  relay_set_fault (&soak->site.worker_relay[i], RELAY_PASS);
}

static void
disturb_worker (Soak *soak, uint32_t i)
{
  relay_set_fault (&soak->site.worker_relay[i],
                   (RelayFault) g_rand_int_range (soak->rng, RELAY_DROP, RELAY_N_FAULTS));
  repair_later (soak, restore_worker, i);
}

static void
reset_worker (Soak *soak, uint32_t i)
{
  relay_reset (&soak->site.worker_relay[i]);
}

static void
start_worker (Soak *soak, uint32_t i)
{
  if (!soak->site.worker_process[i].pid && !site_start_worker (&soak->site, i))
    soak->n_violations++;
}

static void
kill_worker (Soak *soak, uint32_t i)
{
  fleet_signal (&soak->site.worker_process[i], SIGKILL);
  repair_later (soak, start_worker, i);
}

static void
change_routes (Soak *soak, uint32_t i)
{
  (void) i;
  site_put_routes (&soak->site, ++soak->version, NULL, soak->paid_tokens);
}

/* Silences endpoint I, unless it has been heard for too short a time. */
static void
silence_worker (Soak *soak, uint32_t i)
{
  int ms = g_rand_int_range (soak->rng, MIN_SILENCE_MS, MAX_SILENCE_MS);
  if (now_ms () < soak->silent_until_ms[i] + MIN_HEARD_MS)
    return;
  soak->silent_until_ms[i] = now_ms () + ms;
  char *body = g_strdup_printf ("{\"ms\":%d}", ms);
  json_decref (
      fleet_call (&soak->site.fleet, "POST", soak->site.workers[i], "/admin/silence", body));
  g_free (body);
}

static void
silence_all_workers (Soak *soak, uint32_t i)
{
  (void) i;
  for (uint32_t k = 0; k < SITE_N_WORKERS; k++)
    silence_worker (soak, k);
}

/* As silence_all_workers(), beside a change of the routes and a reload of router I. */
static void
silence_beside_change (Soak *soak, uint32_t i)
{
  silence_all_workers (soak, i);
  change_routes (soak, i);
  reload_router (soak, i);
}

typedef struct
{
  void (*run) (Soak *soak, uint32_t i);
  uint32_t n; /* number of targets; run() gets one of them */
} Fault;

static const Fault faults[] = {
  { kill_router, N_ROUTERS },
  { stop_router, N_ROUTERS },
  { pause_router, N_ROUTERS },
  { reload_router, N_ROUTERS },
  { disturb_store, N_ROUTERS },
  { disturb_all_stores, 1 },
  { lose_writes, 1 },
  { delay_writes, 1 },
  { drop_history, 1 },
  { disturb_worker, SITE_N_WORKERS },
  { reset_worker, SITE_N_WORKERS },
  { kill_worker, SITE_N_WORKERS },
  { change_routes, 1 },
  { silence_worker, SITE_N_WORKERS },
  { silence_all_workers, 1 },
};

static const Fault silences[] = {
  { silence_worker, SITE_N_WORKERS },   { silence_all_workers, 1 }, { reload_router, N_ROUTERS },
  { silence_beside_change, N_ROUTERS }, { change_routes, 1 },
};

static void
on_fault (struct ev_loop *loop, ev_timer *w, int events)
{
  Soak *soak = w->data;
  (void) loop;
  (void) events;
  gint32 n = soak->sound ? G_N_ELEMENTS (silences) : G_N_ELEMENTS (faults);
  const Fault *fault = &(soak->sound ? silences : faults)[g_rand_int_range (soak->rng, 0, n)];
  fault->run (soak, (uint32_t) g_rand_int_range (soak->rng, 0, (gint32) fault->n));
}

static void
on_end (struct ev_loop *loop, ev_timer *w, int events)
{
  Soak *soak = w->data;
  (void) events;
  soak->sending = false;
  ev_timer_stop (loop, &soak->faults);
}

/* --- invariants --- */

static void
read_runs (Soak *soak)
{
  char *text = NULL;
  if (!g_file_get_contents (soak->site.run_log, &text, NULL, NULL))
    return;
  gchar **lines = g_strsplit (text, "\n", -1);
  for (gchar **id = lines; *id; id++)
    if (**id)
      {
        int n = GPOINTER_TO_INT (g_hash_table_lookup (soak->runs, *id));
        g_hash_table_insert (soak->runs, g_strdup (*id), GINT_TO_POINTER (n + 1));
      }
  g_strfreev (lines);
  g_free (text);
}

/* Returns the tokens used by RECORD, counted as the users' benchmark does: its prompt and one for
 * each event that the caller received. 0 if the request is not streamed or never ran. */
static int64_t
used_tokens (const RequestRecord *record, int64_t runs)
{
  int64_t events = 0;
  if (record->kind < KIND_STREAM || runs == 0)
    return 0;
  for (const char *p = record->body->str; (p = strstr (p, "data: ")); p++)
    events++;
  return PROMPT_TOKENS + events;
}

/* Returns the events of the complete stream, to be freed with g_free(). */
static char *
complete_stream (const RequestRecord *record)
{
  GString *text = g_string_new (NULL);
  for (int i = 1; i <= (record->sound ? SOUND_EVENTS : OUTPUT_TOKENS); i++)
    g_string_append_printf (text, "id: %d\ndata: piece-%d\n\n", i, i);
  return g_string_free (text, FALSE);
}

static bool
is_expected_answer (const RequestRecord *record, const char *stream)
{
  if (record->kind >= KIND_STREAM)
    return strcmp (record->body->str, stream) == 0;
  return strstr (record->body->str, record->target) != NULL;
}

static void
check_record (Soak *soak, const RequestRecord *record, int64_t runs)
{
  bool success = record->status == 200;
  char *stream = complete_stream (record);
  bool must_not_have_run = record->status == 429 || record->status == 503 || record->status == 402;
  bool whole = success && record->complete && is_expected_answer (record, stream);
  int64_t deadline_ms = record->sent_ms + SOUND_DEADLINE_MS;
  if (success && record->complete && !whole)
    report_violation (soak, record, "not the own whole answer:");
  if (success && record->kind >= KIND_STREAM
      && strncmp (stream, record->body->str, record->body->len) != 0)
    report_violation (soak, record, "a piece is missing or comes twice:");
  if (must_not_have_run && runs > 0)
    report_violation (soak, record, "said not to have run, though it had:");
  if (runs > kinds[record->kind].max_runs)
    report_violation (soak, record, "ran too often:");
  if (record->status == 401 || record->status == 404)
    report_violation (soak, record, "denied, though it is allowed:");
  if (record->sound && runs > 0 && !whole)
    report_violation (soak, record, "run by an endpoint that goes on, and not answered:");
  if (record->sound && !whole && record->ended_ms > deadline_ms + LATE_MS)
    report_violation (soak, record, "not ended in time:");
  g_free (stream);
}

static void
check_invariants (Soak *soak)
{
  int64_t tokens = 0;
  int n_answered = 0;
  read_runs (soak);
  for (guint i = 0; i < soak->records->len; i++)
    {
      const RequestRecord *record = g_ptr_array_index (soak->records, i);
      int64_t runs = GPOINTER_TO_INT (g_hash_table_lookup (soak->runs, record->id));
      check_record (soak, record, runs);
      tokens += used_tokens (record, runs);
      n_answered += record->status == 200 && record->complete;
    }
  if (tokens > soak->paid_tokens)
    {
      soak->n_violations++;
      fprintf (stderr, "overspent: %d of %d tokens\n", (int) tokens, (int) soak->paid_tokens);
    }
  if (n_answered == 0)
    {
      soak->n_violations++;
      fprintf (stderr, "nothing was answered\n");
    }
  printf ("requests %u answered %d tokens %d of %d broken %d\n", soak->records->len, n_answered,
          (int) tokens, (int) soak->paid_tokens, soak->n_violations);
}

static bool
all_finished (void *ctx)
{
  const Soak *soak = ctx;
  return soak->n_open == 0 && soak->repairs->len == 0;
}

/* Checks that all routers become ready again once all faults have ended. */
static void
check_recovery (Soak *soak)
{
  for (uint32_t i = 0; i < SITE_N_WORKERS; i++)
    start_worker (soak, i);
  for (uint32_t i = 0; i < N_ROUTERS; i++)
    {
      start_router (soak, i);
      if (!site_wait_ready (&soak->site, i, 200))
        {
          soak->n_violations++;
          fprintf (stderr, "r%u did not recover\n%s\n", i,
                   soak->site.router_process[i].output->str);
        }
    }
}

/* Checks that no router has ended while endpoints were silent. */
static void
check_alive (Soak *soak)
{
  for (uint32_t i = 0; i < N_ROUTERS; i++)
    if (!soak->site.router_process[i].pid)
      {
        soak->n_violations++;
        fprintf (stderr, "r%u has ended\n", i);
      }
}

static void
free_record (gpointer data)
{
  RequestRecord *record = data;
  g_string_free (record->body, TRUE);
  g_free (record->target);
  g_free (record);
}

/* Prints the last TAIL_BYTES of the output of PROCESS, which hangs. */
static void
print_output_tail (const FleetProcess *process)
{
  enum
  {
    TAIL_BYTES = 3000,
  };
  const GString *output = process->output;
  size_t skipped = output->len > TAIL_BYTES ? output->len - TAIL_BYTES : 0;
  fprintf (stderr, "--- %s, pid %d\n%s\n", process->name, (int) process->pid,
           output->str + skipped);
}

static void
run_load (Soak *soak, double seconds)
{
  struct ev_loop *loop = soak->site.fleet.loop;
  soak->sending = true;
  for (int i = 0; i < N_CALLERS; i++)
    start_call (soak);
  ev_timer_init (&soak->faults, on_fault, FAULT_INTERVAL_S, FAULT_INTERVAL_S);
  ev_timer_init (&soak->end, on_end, seconds, 0.0);
  soak->faults.data = soak;
  soak->end.data = soak;
  ev_timer_start (loop, &soak->faults);
  ev_timer_start (loop, &soak->end);
  while (soak->sending)
    ev_run (loop, EVRUN_ONCE);
  if (!fleet_wait_until (&soak->site.fleet, all_finished, soak))
    {
      soak->n_violations++;
      fprintf (stderr, "%u requests got no end, %u repairs are open\n", soak->n_open,
               soak->repairs->len);
      for (uint32_t i = 0; i < N_ROUTERS; i++)
        print_output_tail (&soak->site.router_process[i]);
    }
}

static int
run_seed (uint32_t seed, double seconds)
{
  Soak soak = { .version = 1, .paid_tokens = PAID_TOKENS };
  soak.rng = g_rand_new_with_seed (seed);
  soak.records = g_ptr_array_new_with_free_func (free_record);
  soak.runs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  soak.repairs = g_ptr_array_new_with_free_func (free_repair);
  printf ("seed %u: ", seed);
  fflush (stdout);
  if (!site_init_relayed (&soak.site, N_ROUTERS, PAID_TOKENS))
    soak.n_violations++;
  dy_http_client_init (&soak.client, soak.site.fleet.loop);
  run_load (&soak, seconds);
  check_recovery (&soak);
  soak.sound = true;
  soak.paid_tokens += SOUND_TOKENS;
  change_routes (&soak, 0);
  site_run_for (&soak.site, RECOVERED_MS);
  run_load (&soak, seconds);
  check_alive (&soak);
  check_invariants (&soak);
  dy_http_client_finish (&soak.client);
  site_finish (&soak.site);
  g_ptr_array_unref (soak.repairs);
  g_ptr_array_unref (soak.records);
  g_hash_table_unref (soak.runs);
  g_rand_free (soak.rng);
  return soak.n_violations;
}

int
main (int argc, char **argv)
{
  uint32_t first = argc > 1 ? (uint32_t) strtoul (argv[1], NULL, 10) : 1;
  uint32_t n = argc > 2 ? (uint32_t) strtoul (argv[2], NULL, 10) : 1;
  double seconds = argc > 3 ? strtod (argv[3], NULL) : 5.0;
  int n_failed = 0;
  for (uint32_t seed = first; seed < first + n; seed++)
    n_failed += run_seed (seed, seconds) > 0;
  printf ("%u passed, %d failed\n", n - (uint32_t) n_failed, n_failed);
  return n_failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
