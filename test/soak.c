/* A randomized soak: real routers, store and endpoints as processes on loopback, harmed from
 * outside by signals and relays while callers send requests. Whatever happens, the promises to
 * callers hold.
 *
 * Usage: soak [FIRST_SEED [N_SEEDS [SECONDS]]]. A seed fixes what is done when; the processes run
 * in real time. */

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
  OUTPUT_TOKENS = 5, /* one in each event of the stand-in's streams */
  PAID_TOKENS = 4000,
  MAX_ATTEMPTS = 2, /* of the routes in support/site.c */
  CALL_TIMEOUT_MS = 8000,
};

static const double FAULT_GAP_S = 0.25;
static const double LONGEST_FAULT_S = 1.5;

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
  const char *behaviours[6]; /* of the endpoint, drawn with equal chance */
  int64_t max_runs;
} kinds[N_KINDS] = {
  { "GET", "/ok/", NULL, { "ok", "ok", "ok", "error", "reset", "torn" }, MAX_ATTEMPTS },
  { "POST", "/once/", "b", { "ok", "ok", "ok", "full", "reset", "foreign" }, 1 },
  { "POST",
    "/s/",
    "",
    { "stream", "stream", "stream", "stream", "tear-once", "tear-once" },
    MAX_ATTEMPTS },
  { "POST", "/s1/", "", { "stream", "stream", "stream", "stream", "stream", "tear-once" }, 1 },
};

static const char whole_stream[] = "id: 1\ndata: piece-1\n\nid: 2\ndata: piece-2\n\n"
                                   "id: 3\ndata: piece-3\n\nid: 4\ndata: piece-4\n\n"
                                   "id: 5\ndata: piece-5\n\n";

typedef struct
{
  char id[32];
  Kind kind;
  char *target;
  unsigned status;
  bool whole;
  GString *body;
} Record;

typedef struct Soak
{
  Site site;
  GRand *rng;
  DyHttpClient client;
  GPtrArray *records;
  GHashTable *runs; /* id to the number of runs */
  uint32_t n_open;
  bool sending;
  int version;
  ev_timer faults;
  ev_timer end;
  GPtrArray *repairs; /* of Repair, open ones */
  bool starting[SITE_MAX_ROUTERS];
  pid_t stopped[SITE_MAX_ROUTERS]; /* process that was told to stop last */
  int n_broken;                    /* promises */
} Soak;

typedef struct
{
  Soak *soak;
  Record *record;
  DyHttpTransfer *transfer;
} Call;

static void start_call (Soak *soak);

static void
complain (Soak *soak, const Record *record, const char *text)
{
  soak->n_broken++;
  fprintf (stderr, "%s %s %s: status %u whole %d runs %d body '%s'\n", text, record->id,
           record->target, record->status, record->whole,
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
  call->record->whole = result->error == 0;
  g_free (call);
  soak->n_open--;
  if (soak->sending)
    start_call (soak);
}

static Record *
new_record (Soak *soak)
{
  Record *record = g_new0 (Record, 1);
  record->kind = (Kind) g_rand_int_range (soak->rng, 0, N_KINDS);
  g_snprintf (record->id, sizeof record->id, "soak-%u", soak->records->len);
  record->target
      = g_strdup_printf ("%sn%u/%s", kinds[record->kind].prefix, soak->records->len,
                         kinds[record->kind].behaviours[g_rand_int_range (soak->rng, 0, 6)]);
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
  char *counts = g_strdup_printf ("X-Token-Counts: %d,%d", PROMPT_TOKENS, OUTPUT_TOKENS);
  bool engine = call->record->kind >= KIND_STREAM;
  const char *headers[] = { "Host: h.example",      "Authorization: Bearer k1",
                            "X-Deadline-Ms: 2000",  id,
                            engine ? counts : NULL, NULL };
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
  double delay_s = g_rand_double_range (soak->rng, 0.05, LONGEST_FAULT_S);
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
  /* Another repair of the same router may run while this one waits. */
  if (soak->site.router_process[i].pid || soak->starting[i])
    return;
  soak->starting[i] = true;
  if (!site_start_router (&soak->site, i))
    soak->n_broken++;
  soak->starting[i] = false;
}

static void
kill_router (Soak *soak, uint32_t i)
{
  fleet_signal (&soak->site.router_process[i], SIGKILL);
  repair_later (soak, start_router, i);
}

/* Starts a router that was told to stop, once it has ended. */
static void
restart_router (Soak *soak, uint32_t i)
{
  pid_t pid = soak->site.router_process[i].pid;
  if (pid && pid == soak->stopped[i])
    repair_later (soak, restart_router, i);
  else
    start_router (soak, i);
}

static void
stop_router (Soak *soak, uint32_t i)
{
  soak->stopped[i] = soak->site.router_process[i].pid;
  fleet_signal (&soak->site.router_process[i], SIGTERM);
  repair_later (soak, restart_router, i);
}

static void
wake_router (Soak *soak, uint32_t i)
{
  fleet_signal (&soak->site.router_process[i], SIGCONT);
}

static void
pause_router (Soak *soak, uint32_t i)
{
  fleet_signal (&soak->site.router_process[i], SIGSTOP);
  repair_later (soak, wake_router, i);
}

static void
reload_router (Soak *soak, uint32_t i)
{
  fleet_signal (&soak->site.router_process[i], SIGHUP);
}

static void
heal_store (Soak *soak, uint32_t i)
{
  relay_set_fault (&soak->site.store_relay[i], RELAY_PASS);
}

static void
harm_store (Soak *soak, uint32_t i)
{
  relay_set_fault (&soak->site.store_relay[i],
                   (RelayFault) g_rand_int_range (soak->rng, RELAY_DROP, RELAY_N_FAULTS));
  repair_later (soak, heal_store, i);
}

static void
cut_all_stores (Soak *soak, uint32_t i)
{
  (void) i;
  for (uint32_t r = 0; r < N_ROUTERS; r++)
    harm_store (soak, r);
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
forget_history (Soak *soak, uint32_t i)
{
  (void) i;
  site_set_store (&soak->site, "{\"forget\":true}");
}

static void
heal_worker (Soak *soak, uint32_t i)
{
  relay_set_fault (&soak->site.worker_relay[i], RELAY_PASS);
}

static void
harm_worker (Soak *soak, uint32_t i)
{
  relay_set_fault (&soak->site.worker_relay[i],
                   (RelayFault) g_rand_int_range (soak->rng, RELAY_DROP, RELAY_N_FAULTS));
  repair_later (soak, heal_worker, i);
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
    soak->n_broken++;
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
  site_put_routes (&soak->site, ++soak->version, NULL, PAID_TOKENS);
}

static const struct
{
  void (*run) (Soak *soak, uint32_t i);
  uint32_t n; /* things it may happen to */
} faults[] = {
  { kill_router, N_ROUTERS },
  { stop_router, N_ROUTERS },
  { pause_router, N_ROUTERS },
  { reload_router, N_ROUTERS },
  { harm_store, N_ROUTERS },
  { cut_all_stores, 1 },
  { lose_writes, 1 },
  { delay_writes, 1 },
  { forget_history, 1 },
  { harm_worker, SITE_N_WORKERS },
  { reset_worker, SITE_N_WORKERS },
  { kill_worker, SITE_N_WORKERS },
  { change_routes, 1 },
};

static void
on_fault (struct ev_loop *loop, ev_timer *w, int events)
{
  Soak *soak = w->data;
  (void) loop;
  (void) events;
  int k = g_rand_int_range (soak->rng, 0, G_N_ELEMENTS (faults));
  faults[k].run (soak, (uint32_t) g_rand_int_range (soak->rng, 0, (gint32) faults[k].n));
}

static void
on_end (struct ev_loop *loop, ev_timer *w, int events)
{
  Soak *soak = w->data;
  (void) events;
  soak->sending = false;
  ev_timer_stop (loop, &soak->faults);
}

/* --- promises --- */

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

/* Returns the tokens that the bench of the users would count for RECORD. */
static int64_t
tokens_of (const Record *record, int64_t runs)
{
  int64_t events = 0;
  if (record->kind < KIND_STREAM || runs == 0)
    return 0;
  for (const char *p = record->body->str; (p = strstr (p, "data: ")); p++)
    events++;
  return PROMPT_TOKENS + events;
}

static bool
is_own_answer (const Record *record)
{
  if (record->kind >= KIND_STREAM)
    return strcmp (record->body->str, whole_stream) == 0;
  return strstr (record->body->str, record->target) != NULL;
}

static void
check_record (Soak *soak, const Record *record, int64_t runs)
{
  bool success = record->status == 200;
  bool promise = record->status == 429 || record->status == 503 || record->status == 402;
  if (success && record->whole && !is_own_answer (record))
    complain (soak, record, "not the own whole answer:");
  if (success && record->kind >= KIND_STREAM
      && strncmp (whole_stream, record->body->str, record->body->len) != 0)
    complain (soak, record, "a piece is missing or comes twice:");
  if (promise && runs > 0)
    complain (soak, record, "said not to have run, though it had:");
  if (runs > kinds[record->kind].max_runs)
    complain (soak, record, "ran too often:");
  if (record->status == 401 || record->status == 404)
    complain (soak, record, "denied, though it is allowed:");
}

static void
check_promises (Soak *soak)
{
  int64_t tokens = 0;
  int n_answered = 0;
  read_runs (soak);
  for (guint i = 0; i < soak->records->len; i++)
    {
      const Record *record = g_ptr_array_index (soak->records, i);
      int64_t runs = GPOINTER_TO_INT (g_hash_table_lookup (soak->runs, record->id));
      check_record (soak, record, runs);
      tokens += tokens_of (record, runs);
      n_answered += record->status == 200 && record->whole;
    }
  if (tokens > PAID_TOKENS)
    {
      soak->n_broken++;
      fprintf (stderr, "overspent: %d of %d tokens\n", (int) tokens, PAID_TOKENS);
    }
  if (n_answered == 0)
    {
      soak->n_broken++;
      fprintf (stderr, "nothing was answered\n");
    }
  printf ("requests %u answered %d tokens %d of %d broken %d\n", soak->records->len, n_answered,
          (int) tokens, PAID_TOKENS, soak->n_broken);
}

static bool
all_over (void *ctx)
{
  const Soak *soak = ctx;
  return soak->n_open == 0 && soak->repairs->len == 0;
}

/* After all repairs the routers are ready and have the newest routes in force. */
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
          soak->n_broken++;
          fprintf (stderr, "r%u did not recover\n%s\n", i,
                   soak->site.router_process[i].output->str);
        }
    }
}

static void
free_record (gpointer data)
{
  Record *record = data;
  g_string_free (record->body, TRUE);
  g_free (record->target);
  g_free (record);
}

/* Prints the last lines of a process that hangs. */
static void
tell_output (const FleetProcess *process)
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
  dy_http_client_init (&soak->client, loop);
  soak->sending = true;
  for (int i = 0; i < N_CALLERS; i++)
    start_call (soak);
  ev_timer_init (&soak->faults, on_fault, FAULT_GAP_S, FAULT_GAP_S);
  ev_timer_init (&soak->end, on_end, seconds, 0.0);
  soak->faults.data = soak;
  soak->end.data = soak;
  ev_timer_start (loop, &soak->faults);
  ev_timer_start (loop, &soak->end);
  while (soak->sending)
    ev_run (loop, EVRUN_ONCE);
  if (!fleet_wait_until (&soak->site.fleet, all_over, soak))
    {
      soak->n_broken++;
      fprintf (stderr, "%u requests got no end, %u repairs are open\n", soak->n_open,
               soak->repairs->len);
      for (uint32_t i = 0; i < N_ROUTERS; i++)
        tell_output (&soak->site.router_process[i]);
    }
}

static int
run_seed (uint32_t seed, double seconds)
{
  Soak soak = { .version = 1 };
  soak.rng = g_rand_new_with_seed (seed);
  soak.records = g_ptr_array_new_with_free_func (free_record);
  soak.runs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  soak.repairs = g_ptr_array_new_with_free_func (free_repair);
  printf ("seed %u: ", seed);
  fflush (stdout);
  if (!site_init_relayed (&soak.site, N_ROUTERS, PAID_TOKENS))
    soak.n_broken++;
  run_load (&soak, seconds);
  check_recovery (&soak);
  check_promises (&soak);
  dy_http_client_finish (&soak.client);
  site_finish (&soak.site);
  g_ptr_array_unref (soak.repairs);
  g_ptr_array_unref (soak.records);
  g_hash_table_unref (soak.runs);
  g_rand_free (soak.rng);
  return soak.n_broken;
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
