/* play - compares placement policies on simulated engines in virtual time
 *
 * usage: play [--json] FILE...
 *
 * Each policy gets the same requests at the same times. A router knows of an engine only what it
 * would know in a real fleet: its own requests there, and the load reported with answers. The
 * format of load files is described in support/play_load.h.
 *
 * The processing time of routers and the delay of the network are not modelled. The exit code is 1
 * when a load file cannot be read or one of its expectations does not hold.
 */

#include "core/placement.h"
#include "support/engine.h"
#include "support/play_load.h"

#include <inttypes.h>
#include <jansson.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

enum
{
  MAX_ATTEMPTS = 3,       /* endpoints that a request is sent to before it is refused */
  MAX_EVENT_GAP_MS = 500, /* longest time between two events of an answer that is not late */
  SLOWDOWN_FACTOR = 4,    /* factor on the duration of the steps of slow endpoints */
};

typedef enum
{
  POLICY_PLACED, /* core/placement.h */
  POLICY_SPREAD, /* the same with even load */
  POLICY_TWO,    /* the less loaded of two random endpoints (power of two choices) */
  POLICY_PREFIX, /* rendezvous hashing by the prompt's prefix, regardless of load */
  N_POLICIES,
} Policy;

static const char *const policy_names[N_POLICIES] = { "placed", "spread", "two", "prefix" };

typedef struct
{
  int64_t requests;
  int64_t in_aim;  /* complete answers with the first token within aim_ms and no gap too long */
  int64_t late;    /* other complete answers */
  int64_t failed;  /* requests without a complete answer within the class's time limit */
  int64_t refused; /* requests refused by all endpoints that were tried */
  int64_t first_p50_ms; /* percentiles of the time to the first token */
  int64_t first_p95_ms;
  int64_t read_again_tokens; /* shared prompt tokens prefilled on further engines than the first */
  int64_t connections;       /* requests that found no idle connection */
  int64_t remote;            /* requests at endpoints of another data centre than the router's */
  int64_t busiest_percent;   /* requests by speed of the busiest endpoint, of the mean of all */
} Outcome;

static const struct
{
  const char *name;
  size_t offset;
} outcome_fields[] = {
  { "requests", offsetof (Outcome, requests) },
  { "in_aim", offsetof (Outcome, in_aim) },
  { "late", offsetof (Outcome, late) },
  { "failed", offsetof (Outcome, failed) },
  { "refused", offsetof (Outcome, refused) },
  { "first_p50_ms", offsetof (Outcome, first_p50_ms) },
  { "first_p95_ms", offsetof (Outcome, first_p95_ms) },
  { "read_again_tokens", offsetof (Outcome, read_again_tokens) },
  { "connections", offsetof (Outcome, connections) },
  { "remote", offsetof (Outcome, remote) },
  { "busiest_percent", offsetof (Outcome, busiest_percent) },
};

/* What a router knows of an endpoint. The first two policies choose by their DyPlacement
 * instead. */
typedef struct
{
  int64_t in_flight; /* the router's own requests */
  int64_t reported;  /* running requests in the endpoint's latest load report */
  int64_t idle;      /* idle connections */
} EndpointView;

typedef struct
{
  uint32_t index;
  int64_t n_requests; /* accepted */
  Engine engine;
} Endpoint;

typedef struct Simulation Simulation;

typedef struct
{
  Simulation *sim;
  const PlayClass *class;
  uint32_t router;
  uint64_t prefix_hash;
  int64_t start_us;
  int64_t first_us; /* time of the first token */
  int64_t last_event_us;
  int64_t n_tokens; /* tokens received so far */
  bool late;
  Endpoint *endpoint;          /* where it runs or waits; NULL: at none */
  DyPlacementEndpoint *placed; /* the same endpoint with the first two policies, else NULL */
  char tried[MAX_ATTEMPTS][8];
  uint32_t n_attempts;
} Request;

typedef struct
{
  int64_t time_us;
  uint64_t seq;
  void (*run) (Simulation *sim, void *data);
  void *data;
} Event;

struct Simulation
{
  const PlayLoad *load;
  Policy policy;
  GTree *events;
  uint64_t last_seq;
  int64_t now_us;
  GRand *arrival_rng; /* seeded alike for all policies */
  GRand *policy_rng;  /* for random choices of the policy */
  Endpoint endpoints[PLAY_MAX_ENDPOINTS];
  DyPlacement placements[PLAY_MAX_ROUTERS]; /* of the first two policies */
  EndpointView views[PLAY_MAX_ROUTERS][PLAY_MAX_ENDPOINTS];
  GPtrArray *requests;          /* all, owned */
  GHashTable *open;             /* set of Request, those at an endpoint */
  GHashTable *seen_prefixes;    /* prefix hashes that any engine has received */
  int64_t first_prefill_tokens; /* shared tokens of these prefixes, each counted once */
  GArray *first_token_ms;
  Outcome outcome;
};

static gint
compare_events (gconstpointer a, gconstpointer b)
{
  const Event *x = a;
  const Event *y = b;
  if (x->time_us != y->time_us)
    return x->time_us < y->time_us ? -1 : 1;
  return (x->seq > y->seq) - (x->seq < y->seq);
}

static void
schedule (Simulation *sim, int64_t delay_us, void (*run) (Simulation *sim, void *data), void *data)
{
  Event *event = g_new0 (Event, 1);
  event->time_us = sim->now_us + delay_us;
  event->seq = ++sim->last_seq;
  event->run = run;
  event->data = data;
  g_tree_insert (sim->events, event, event);
}

/* Returns the value of the change of KIND that applies now, or OTHERWISE if there is none. */
static int64_t
active_change (const Simulation *sim, PlayChangeKind kind, int64_t otherwise)
{
  for (uint32_t i = 0; i < sim->load->n_changes; i++)
    {
      const PlayChange *change = &sim->load->changes[i];
      if (change->kind == kind && sim->now_us >= change->from_us && sim->now_us < change->to_us)
        return change->value;
    }
  return otherwise;
}

static Endpoint *
choose_of_two (Simulation *sim, const Request *request)
{
  EndpointView *views = sim->views[request->router];
  guint32 n = sim->load->n_endpoints;
  guint32 a = (guint32) g_rand_int_range (sim->policy_rng, 0, (gint32) n);
  guint32 b = (guint32) g_rand_int_range (sim->policy_rng, 0, (gint32) n);
  int64_t load_a = views[a].in_flight + views[a].reported;
  int64_t load_b = views[b].in_flight + views[b].reported;
  return &sim->endpoints[load_a <= load_b ? a : b];
}

static bool
was_tried (const Request *request, const char *id)
{
  for (uint32_t i = 0; i < request->n_attempts; i++)
    if (strcmp (request->tried[i], id) == 0)
      return true;
  return false;
}

static Endpoint *
choose_by_prefix (Simulation *sim, const Request *request)
{
  Endpoint *best = NULL;
  uint64_t best_rank = 0;
  for (uint32_t i = 0; i < sim->load->n_endpoints; i++)
    {
      char id[8];
      g_snprintf (id, sizeof id, "e%u", i);
      uint64_t rank = XXH3_64bits_withSeed (id, strlen (id), request->prefix_hash);
      if (was_tried (request, id) || (best && rank <= best_rank))
        continue;
      best = &sim->endpoints[i];
      best_rank = rank;
    }
  return best;
}

static DyPromptWork
work_of (const Request *request)
{
  return (DyPromptWork){ .prefix_hash = request->prefix_hash,
                         .shared_tokens = request->class->shared,
                         .own_tokens = request->class->own,
                         .output_tokens = request->class->events * request->class->event_tokens };
}

static Endpoint *
choose_placed (Simulation *sim, Request *request)
{
  const char *avoid[MAX_ATTEMPTS + 1] = { NULL };
  for (uint32_t i = 0; i < request->n_attempts; i++)
    avoid[i] = request->tried[i];
  DyPlacement *placement = &sim->placements[request->router];
  DyPlacementQuery query = { .service = "llm", .work = work_of (request), .avoid = avoid };
  request->placed = dy_placement_choose (placement, &query, sim->now_us, NULL);
  if (!request->placed)
    return NULL;
  dy_placement_begin (placement, request->placed, &query.work, sim->now_us);
  return &sim->endpoints[g_ascii_strtoull (dy_placement_endpoint_id (request->placed) + 1, NULL,
                                           10)];
}

static Endpoint *
choose_endpoint (Simulation *sim, Request *request)
{
  switch (sim->policy)
    {
    case POLICY_PLACED:
    case POLICY_SPREAD:
      return choose_placed (sim, request);
    case POLICY_TWO:
      return choose_of_two (sim, request);
    case POLICY_PREFIX:
    default:
      return choose_by_prefix (sim, request);
    }
}

/* Records that REQUEST left its endpoint, for the reason END. */
static void
release_endpoint (Request *request, DyPlacementOutcome end)
{
  Simulation *sim = request->sim;
  DyPromptWork work = work_of (request);
  EndpointView *view = &sim->views[request->router][request->endpoint->index];
  if (request->placed)
    dy_placement_end (&sim->placements[request->router], request->placed, &work,
                      request->n_tokens > 0, end, sim->now_us);
  view->in_flight--;
  if (end == DY_PLACEMENT_ANSWERED || end == DY_PLACEMENT_FULL)
    view->idle++;
  request->placed = NULL;
  request->endpoint = NULL;
}

/* A load report on its way to the router. */
typedef struct
{
  uint32_t router;
  uint32_t endpoint;
  uint32_t n_running;
  uint32_t n_waiting;
  uint32_t slowness_percent; /* 0: not stated */
} Report;

static void
take_report (Simulation *sim, void *data)
{
  Report *report = data;
  DyPlacement *placement = &sim->placements[report->router];
  char id[8];
  g_snprintf (id, sizeof id, "e%u", report->endpoint);
  sim->views[report->router][report->endpoint].reported = report->n_running;
  DyPlacementEndpoint *placed = g_hash_table_lookup (placement->by_id, id);
  dy_placement_report (placement, placed, report->n_running, report->n_waiting, sim->now_us);
  if (report->slowness_percent > 0)
    dy_placement_report_slowness (placed, report->slowness_percent, sim->now_us);
  g_free (report);
}

static void
report_load (const Request *request)
{
  Simulation *sim = request->sim;
  const Engine *engine = &request->endpoint->engine;
  Report *report = g_new0 (Report, 1);
  report->router = request->router;
  report->endpoint = request->endpoint->index;
  report->n_running = engine->running->len;
  report->n_waiting = engine->waiting.length;
  report->slowness_percent = sim->load->states_slowness ? (uint32_t) engine->step_factor * 100 : 0;
  if (sim->load->report_delay_us > 0)
    schedule (sim, sim->load->report_delay_us, take_report, report);
  else
    take_report (sim, report);
}

static void
record_first_token (Request *request)
{
  Simulation *sim = request->sim;
  DyPromptWork work = work_of (request);
  request->first_us = sim->now_us;
  gint64 ms = (sim->now_us - request->start_us) / 1000;
  g_array_append_val (sim->first_token_ms, ms);
  request->late = ms > request->class->aim_ms;
  if (request->placed)
    dy_placement_prompt_read (request->placed, &work);
  report_load (request);
}

static double
us_per_event (const Request *request)
{
  if (request->n_tokens < 2)
    return 0.0;
  return (double) (request->sim->now_us - request->first_us) / (double) (request->n_tokens - 1)
         * (double) request->class->event_tokens;
}

static void
on_token (void *ctx, void *data, bool last)
{
  Simulation *sim = ctx;
  Request *request = data;
  if (request->n_tokens == 0)
    record_first_token (request);
  else if (request->n_tokens % request->class->event_tokens == 0)
    {
      request->late
          = request->late || sim->now_us - request->last_event_us > MAX_EVENT_GAP_MS * 1000;
      request->last_event_us = sim->now_us;
    }
  if (request->n_tokens++ == 0)
    request->last_event_us = sim->now_us;
  if (!last)
    return;
  if (request->placed)
    dy_placement_record_answer (&sim->placements[request->router], request->placed,
                                sim->now_us - request->start_us, us_per_event (request),
                                sim->now_us);
  sim->outcome.in_aim += !request->late;
  sim->outcome.late += request->late;
  release_endpoint (request, DY_PLACEMENT_ANSWERED);
  g_hash_table_remove (sim->open, request);
}

static void start_step (Simulation *sim, Endpoint *endpoint);

static void
end_step (Simulation *sim, void *data)
{
  Endpoint *endpoint = data;
  engine_end_step (&endpoint->engine, on_token, sim);
  start_step (sim, endpoint);
}

static void
start_step (Simulation *sim, Endpoint *endpoint)
{
  if (endpoint->engine.stepping)
    return;
  endpoint->engine.step_factor
      = endpoint->index < active_change (sim, PLAY_CHANGE_SLOW, 0) ? SLOWDOWN_FACTOR : 1;
  int64_t us = engine_begin_step (&endpoint->engine);
  if (us > 0)
    schedule (sim, us, end_step, endpoint);
}

/* Unreachable endpoints are the last ones, slow endpoints the first ones. */
static bool
is_unreachable (const Simulation *sim, const Endpoint *endpoint)
{
  return endpoint->index + active_change (sim, PLAY_CHANGE_UNREACHABLE, 0)
         >= sim->load->n_endpoints;
}

static bool
send_to_endpoint (Simulation *sim, Request *request)
{
  Endpoint *endpoint = choose_endpoint (sim, request);
  if (!endpoint)
    return false;
  EndpointView *view = &sim->views[request->router][endpoint->index];
  EngineRun run = { .request = request,
                    .prefix_hash = request->prefix_hash,
                    .shared_tokens = request->class->shared,
                    .own_tokens = request->class->own,
                    .remaining_tokens = request->class->events * request->class->event_tokens };
  request->endpoint = endpoint;
  g_snprintf (request->tried[request->n_attempts++], sizeof request->tried[0], "e%u",
              endpoint->index);
  view->in_flight++;
  sim->outcome.connections += view->idle == 0;
  view->idle -= view->idle > 0;
  if (is_unreachable (sim, endpoint) || !engine_submit (&endpoint->engine, &run))
    {
      release_endpoint (request, is_unreachable (sim, endpoint) ? DY_PLACEMENT_UNREACHABLE
                                                                : DY_PLACEMENT_FULL);
      return false;
    }
  if (g_hash_table_add (sim->seen_prefixes, g_memdup2 (&request->prefix_hash, sizeof (uint64_t))))
    sim->first_prefill_tokens += request->class->shared;
  endpoint->n_requests++;
  sim->outcome.remote
      += endpoint->index % sim->load->n_data_centres != request->router % sim->load->n_data_centres;
  start_step (sim, endpoint);
  return true;
}

static void
on_time_limit (Simulation *sim, void *data)
{
  Request *request = data;
  if (!g_hash_table_contains (sim->open, request))
    return;
  engine_cancel (&request->endpoint->engine, request);
  release_endpoint (request, DY_PLACEMENT_CANCELLED);
  sim->outcome.failed++;
  g_hash_table_remove (sim->open, request);
}

static void
send_first (Simulation *sim, void *data)
{
  Request *request = data;
  request->start_us = sim->now_us;
  bool accepted = false;
  while (!accepted && request->n_attempts < MAX_ATTEMPTS)
    accepted = send_to_endpoint (sim, request);
  sim->outcome.refused += !accepted;
  if (!accepted)
    return;
  g_hash_table_add (sim->open, request);
  schedule (sim, request->class->limit_ms * 1000, on_time_limit, request);
}

static void
arrive (Simulation *sim, void *data)
{
  const PlayClass *class = data;
  const PlayLoad *load = sim->load;
  Request *request = g_new0 (Request, 1);
  int64_t session = 1 + g_rand_int_range (sim->arrival_rng, 0, (gint32) class->sessions);
  if (g_rand_int_range (sim->arrival_rng, 0, 100) < class->hot_percent)
    session = 0;
  request->sim = sim;
  request->class = class;
  request->router = (uint32_t) g_rand_int_range (sim->arrival_rng, 0, (gint32) load->n_routers);
  request->prefix_hash = 1 + (uint64_t) (class - load->classes) * 1000003 + (uint64_t) session;
  sim->outcome.requests++;
  g_ptr_array_add (sim->requests, request);
  if (load->together_us > 0)
    schedule (sim, load->together_us - sim->now_us % load->together_us, send_first, request);
  else
    send_first (sim, request);
  int64_t rate = class->rate * active_change (sim, PLAY_CHANGE_RATE, 100) / 100;
  int64_t gap_us = (int64_t) (2e6 * g_rand_double (sim->arrival_rng) / (double) MAX (rate, 1));
  if (sim->now_us + gap_us < load->end_us)
    schedule (sim, gap_us, arrive, data);
}

static gint
compare_ms (gconstpointer a, gconstpointer b)
{
  return (*(const gint64 *) a > *(const gint64 *) b) - (*(const gint64 *) a < *(const gint64 *) b);
}

static int64_t
percentile (GArray *ms, guint percent)
{
  g_array_sort (ms, compare_ms);
  return ms->len ? g_array_index (ms, gint64, (ms->len - 1) * percent / 100) : 0;
}

static void
simulation_init (Simulation *sim, const PlayLoad *load, Policy policy)
{
  memset (sim, 0, sizeof *sim);
  sim->load = load;
  sim->policy = policy;
  sim->events = g_tree_new (compare_events);
  sim->arrival_rng = g_rand_new_with_seed (load->seed);
  sim->policy_rng = g_rand_new_with_seed (load->seed + 1);
  sim->requests = g_ptr_array_new_with_free_func (g_free);
  sim->open = g_hash_table_new (NULL, NULL);
  sim->seen_prefixes = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  sim->first_token_ms = g_array_new (FALSE, FALSE, sizeof (gint64));
  for (uint32_t r = 0; r < load->n_routers; r++)
    {
      char data_centre[] = { (char) ('a' + r % load->n_data_centres), '\0' };
      dy_placement_init (&sim->placements[r], &dy_placement_policy, data_centre, load->seed + r);
      dy_placement_set_spread (&sim->placements[r], policy == POLICY_SPREAD, load->n_routers);
      dy_placement_set_memory (&sim->placements[r], "llm", load->speed.memory_tokens);
    }
  for (uint32_t i = 0; i < load->n_endpoints; i++)
    {
      char id[8];
      g_snprintf (id, sizeof id, "e%u", i);
      char data_centre[] = { (char) ('a' + i % load->n_data_centres), '\0' };
      DyEndpointRecord record = { .id = id,
                                  .service = "llm",
                                  .address = id,
                                  .data_centre = data_centre,
                                  .slots = load->speed.n_slots,
                                  .start_ms = 1 };
      sim->endpoints[i].index = i;
      engine_init (&sim->endpoints[i].engine, &load->speed);
      if (load->n_speeds > 0)
        sim->endpoints[i].engine.speed_percent = load->speeds[i % load->n_speeds];
      for (uint32_t r = 0; r < load->n_routers; r++)
        dy_placement_put (&sim->placements[r], &record);
    }
  for (uint32_t i = 0; i < load->n_classes; i++)
    schedule (sim, 0, arrive, (void *) &load->classes[i]);
}

/* Returns the requests of the busiest endpoint, by its speed, as a percentage of the mean. */
static int64_t
busiest_percent (const Simulation *sim)
{
  double sum = 0.0;
  double most = 0.0;
  for (uint32_t i = 0; i < sim->load->n_endpoints; i++)
    {
      const Endpoint *endpoint = &sim->endpoints[i];
      double load = (double) endpoint->n_requests / (double) endpoint->engine.speed_percent;
      sum += load;
      most = MAX (most, load);
    }
  return sum > 0.0 ? (int64_t) (most * 100.0 * (double) sim->load->n_endpoints / sum) : 0;
}

static void
simulation_finish (Simulation *sim)
{
  sim->outcome.busiest_percent = busiest_percent (sim);
  for (uint32_t i = 0; i < sim->load->n_endpoints; i++)
    {
      sim->outcome.read_again_tokens += sim->endpoints[i].engine.cache_missed_tokens;
      engine_finish (&sim->endpoints[i].engine);
    }
  sim->outcome.read_again_tokens -= sim->first_prefill_tokens;
  sim->outcome.first_p50_ms = percentile (sim->first_token_ms, 50);
  sim->outcome.first_p95_ms = percentile (sim->first_token_ms, 95);
  for (uint32_t r = 0; r < sim->load->n_routers; r++)
    dy_placement_finish (&sim->placements[r]);
  g_array_unref (sim->first_token_ms);
  g_hash_table_unref (sim->seen_prefixes);
  g_hash_table_unref (sim->open);
  g_ptr_array_unref (sim->requests);
  g_rand_free (sim->policy_rng);
  g_rand_free (sim->arrival_rng);
  g_tree_unref (sim->events);
}

/* Simulates LOAD with POLICY until the last request has ended. */
static Outcome
run_policy (const PlayLoad *load, Policy policy)
{
  Simulation *sim = g_new (Simulation, 1);
  GTreeNode *node;
  simulation_init (sim, load, policy);
  while ((node = g_tree_node_first (sim->events)))
    {
      Event *event = g_tree_node_key (node);
      g_tree_remove (sim->events, event);
      sim->now_us = event->time_us;
      event->run (sim, event->data);
      g_free (event);
    }
  simulation_finish (sim);
  Outcome outcome = sim->outcome;
  g_free (sim);
  return outcome;
}

/* Stores in VALUE the number WORD, or the outcome that WORD names as POLICY.FIELD. Returns false
 * when it is neither. */
static bool
read_operand (const Outcome *outcomes, const char *word, int64_t *value)
{
  const char *dot = strchr (word, '.');
  if (!dot)
    return play_load_read_number (word, value);
  for (int p = 0; p < N_POLICIES; p++)
    for (size_t i = 0; i < G_N_ELEMENTS (outcome_fields); i++)
      {
        size_t n = (size_t) (dot - word);
        if (strlen (policy_names[p]) == n && strncmp (word, policy_names[p], n) == 0
            && strcmp (dot + 1, outcome_fields[i].name) == 0)
          {
            *value = G_STRUCT_MEMBER (int64_t, &outcomes[p], outcome_fields[i].offset);
            return true;
          }
      }
  return false;
}

static bool
check_expectation (const char *path, const char *text, const Outcome *outcomes)
{
  char **words = g_strsplit (text, " ", -1);
  int64_t left = 0;
  int64_t right = 0;
  bool holds = g_strv_length (words) == 3 && read_operand (outcomes, words[0], &left)
               && read_operand (outcomes, words[2], &right)
               && (strcmp (words[1], "<=") == 0 ? left <= right : left >= right);
  if (!holds)
    printf ("%s: %s does not hold: %" PRId64 ", %" PRId64 "\n", path, text, left, right);
  g_strfreev (words);
  return holds;
}

static void
print_table (const char *path, const Outcome *outcomes)
{
  printf ("%s\n%-8s", path, "policy");
  for (size_t i = 0; i < G_N_ELEMENTS (outcome_fields); i++)
    printf (" %s", outcome_fields[i].name);
  for (int p = 0; p < N_POLICIES; p++)
    {
      printf ("\n%-8s", policy_names[p]);
      for (size_t i = 0; i < G_N_ELEMENTS (outcome_fields); i++)
        printf (" %*" PRId64, (int) strlen (outcome_fields[i].name),
                G_STRUCT_MEMBER (int64_t, &outcomes[p], outcome_fields[i].offset));
    }
  printf ("\n");
}

static void
print_json (const char *path, const Outcome *outcomes)
{
  json_t *root = json_object ();
  for (int p = 0; p < N_POLICIES; p++)
    {
      json_t *row = json_object ();
      for (size_t i = 0; i < G_N_ELEMENTS (outcome_fields); i++)
        json_object_set_new (
            row, outcome_fields[i].name,
            json_integer (G_STRUCT_MEMBER (int64_t, &outcomes[p], outcome_fields[i].offset)));
      json_object_set_new (root, policy_names[p], row);
    }
  json_object_set_new (root, "load", json_string (path));
  json_dumpf (root, stdout, JSON_COMPACT | JSON_SORT_KEYS);
  printf ("\n");
  json_decref (root);
}

static bool
run_file (const char *path, bool json)
{
  PlayLoad load;
  Outcome outcomes[N_POLICIES];
  bool ok = play_load_init (&load, path);
  if (ok)
    {
      for (int p = 0; p < N_POLICIES; p++)
        outcomes[p] = run_policy (&load, (Policy) p);
      (json ? print_json : print_table) (path, outcomes);
      for (guint i = 0; i < load.expectations->len; i++)
        ok = check_expectation (path, g_ptr_array_index (load.expectations, i), outcomes) && ok;
    }
  play_load_finish (&load);
  return ok;
}

int
main (int argc, char **argv)
{
  bool json = argc > 1 && strcmp (argv[1], "--json") == 0;
  int first = json ? 2 : 1;
  bool ok = argc > first;
  if (!ok)
    fprintf (stderr, "usage: play [--json] FILE...\n");
  for (int i = first; i < argc; i++)
    ok = run_file (argv[i], json) && ok;
  return ok ? 0 : 1;
}
