/* play - tries placement policies on a load file in virtual time
 *
 * usage: play [--json] FILE...
 *
 * Each policy gets the same requests at the same times. Routers see of the engines only what they
 * would see: their own requests, and the load told with answers. The lines of a load file:
 * support/play_load.h.
 *
 * It is no model of machines: routers and wires take no time. The exit code is 1 when an
 * expectation does not hold.
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
  MAX_TRIES = 3,  /* endpoints that a request is offered to */
  PAUSE_MS = 500, /* longest pause between two events that is in time */
  SLOWNESS = 4,
};

typedef enum
{
  POLICY_PLACED, /* the product's */
  POLICY_TWO,    /* the less loaded of two at random */
  POLICY_PREFIX, /* the endpoint of the prompt's hash, whatever its load */
  N_POLICIES,
} Policy;

static const char *const policy_names[N_POLICIES] = { "placed", "two", "prefix" };

typedef struct
{
  int64_t requests;
  int64_t in_aim;
  int64_t late;
  int64_t failed;
  int64_t refused;
  int64_t first_p50_ms;
  int64_t first_p95_ms;
  int64_t read_again_tokens;
  int64_t connections;
} Outcome;

static const struct
{
  const char *name;
  size_t offset;
} fields[] = {
  { "requests", offsetof (Outcome, requests) },
  { "in_aim", offsetof (Outcome, in_aim) },
  { "late", offsetof (Outcome, late) },
  { "failed", offsetof (Outcome, failed) },
  { "refused", offsetof (Outcome, refused) },
  { "first_p50_ms", offsetof (Outcome, first_p50_ms) },
  { "first_p95_ms", offsetof (Outcome, first_p95_ms) },
  { "read_again_tokens", offsetof (Outcome, read_again_tokens) },
  { "connections", offsetof (Outcome, connections) },
};

/* What a router knows of an endpoint for the policies that are not the product's. */
typedef struct
{
  int64_t in_flight;
  int64_t reported; /* requests there by its latest report */
  int64_t idle;     /* kept connections */
} View;

typedef struct
{
  uint32_t index;
  Engine engine;
} Endpoint;

typedef struct Play Play;

typedef struct
{
  Play *play;
  const PlayClass *class;
  uint32_t router;
  uint64_t prefix_hash;
  int64_t start_us;
  int64_t last_event_us;
  int64_t n_tokens;
  bool late;
  Endpoint *endpoint;
  DyPlacementEndpoint *placed;
  char tried[MAX_TRIES][8];
  uint32_t n_tries;
} Request;

typedef struct
{
  int64_t time_us;
  uint64_t seq;
  void (*run) (Play *play, void *data);
  void *data;
} Event;

struct Play
{
  const PlayLoad *load;
  Policy policy;
  GTree *events;
  uint64_t last_seq;
  int64_t now_us;
  GRand *rng;     /* of the arrivals: the same for all policies */
  GRand *choices; /* of the policy */
  Endpoint endpoints[PLAY_MAX_ENDPOINTS];
  DyPlacement placements[PLAY_MAX_ROUTERS];
  View views[PLAY_MAX_ROUTERS][PLAY_MAX_ENDPOINTS];
  GPtrArray *requests; /* all of them */
  GHashTable *open;    /* those that are at an endpoint */
  GHashTable *seen;    /* prefix hashes that some engine was given */
  int64_t first_reads; /* shared tokens that had to be read once */
  GArray *first_ms;
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
schedule (Play *play, int64_t delay_us, void (*run) (Play *play, void *data), void *data)
{
  Event *event = g_new0 (Event, 1);
  event->time_us = play->now_us + delay_us;
  event->seq = ++play->last_seq;
  event->run = run;
  event->data = data;
  g_tree_insert (play->events, event, event);
}

/* Returns the value of the change of KIND that is in force, or OTHERWISE. */
static int64_t
value_now (const Play *play, PlayChangeKind kind, int64_t otherwise)
{
  for (uint32_t i = 0; i < play->load->n_changes; i++)
    {
      const PlayChange *change = &play->load->changes[i];
      if (change->kind == kind && play->now_us >= change->from_us && play->now_us < change->to_us)
        return change->value;
    }
  return otherwise;
}

static Endpoint *
choose_of_two (Play *play, const Request *request)
{
  View *views = play->views[request->router];
  guint32 n = play->load->n_endpoints;
  guint32 a = (guint32) g_rand_int_range (play->choices, 0, (gint32) n);
  guint32 b = (guint32) g_rand_int_range (play->choices, 0, (gint32) n);
  int64_t at_a = views[a].in_flight + views[a].reported;
  int64_t at_b = views[b].in_flight + views[b].reported;
  return &play->endpoints[at_a <= at_b ? a : b];
}

static bool
was_tried (const Request *request, const char *id)
{
  for (uint32_t i = 0; i < request->n_tries; i++)
    if (strcmp (request->tried[i], id) == 0)
      return true;
  return false;
}

static Endpoint *
choose_by_prefix (Play *play, const Request *request)
{
  Endpoint *best = NULL;
  uint64_t best_rank = 0;
  for (uint32_t i = 0; i < play->load->n_endpoints; i++)
    {
      char id[8];
      g_snprintf (id, sizeof id, "e%u", i);
      uint64_t rank = XXH3_64bits_withSeed (id, strlen (id), request->prefix_hash);
      if (was_tried (request, id) || (best && rank <= best_rank))
        continue;
      best = &play->endpoints[i];
      best_rank = rank;
    }
  return best;
}

static DyPromptWork
work_of (const Request *request)
{
  return (DyPromptWork){ .prefix_hash = request->prefix_hash,
                         .shared_tokens = request->class->shared,
                         .own_tokens = request->class->own };
}

static Endpoint *
choose_placed (Play *play, Request *request)
{
  const char *avoid[MAX_TRIES + 1] = { NULL };
  for (uint32_t i = 0; i < request->n_tries; i++)
    avoid[i] = request->tried[i];
  DyPlacement *placement = &play->placements[request->router];
  DyPlacementQuery question = { .service = "llm", .work = work_of (request), .avoid = avoid };
  request->placed = dy_placement_choose (placement, &question, play->now_us, NULL);
  if (!request->placed)
    return NULL;
  dy_placement_begin (placement, request->placed, &question.work, play->now_us);
  return &play->endpoints[g_ascii_strtoull (dy_placement_endpoint_id (request->placed) + 1, NULL,
                                            10)];
}

static Endpoint *
choose (Play *play, Request *request)
{
  switch (play->policy)
    {
    case POLICY_PLACED:
      return choose_placed (play, request);
    case POLICY_TWO:
      return choose_of_two (play, request);
    case POLICY_PREFIX:
    default:
      return choose_by_prefix (play, request);
    }
}

/* The request is no longer at its endpoint. */
static void
leave_endpoint (Request *request, DyPlacementOutcome end)
{
  Play *play = request->play;
  DyPromptWork work = work_of (request);
  View *view = &play->views[request->router][request->endpoint->index];
  if (request->placed)
    dy_placement_end (&play->placements[request->router], request->placed, &work,
                      request->n_tokens > 0, end, play->now_us);
  view->in_flight--;
  if (end == DY_PLACEMENT_ANSWERED || end == DY_PLACEMENT_FULL)
    view->idle++;
  request->placed = NULL;
  request->endpoint = NULL;
}

static void
report_load (const Request *request)
{
  Play *play = request->play;
  const Endpoint *endpoint = request->endpoint;
  play->views[request->router][endpoint->index].reported = endpoint->engine.running->len;
  if (request->placed)
    dy_placement_report (request->placed, endpoint->engine.running->len,
                         endpoint->engine.waiting.length, play->now_us);
}

static void
note_first_token (Request *request)
{
  Play *play = request->play;
  DyPromptWork work = work_of (request);
  gint64 ms = (play->now_us - request->start_us) / 1000;
  g_array_append_val (play->first_ms, ms);
  request->late = ms > request->class->aim_ms;
  if (request->placed)
    dy_placement_prompt_read (request->placed, &work);
  report_load (request);
}

static void
on_token (void *ctx, void *data, bool last)
{
  Play *play = ctx;
  Request *request = data;
  if (request->n_tokens == 0)
    note_first_token (request);
  else if (request->n_tokens % request->class->event_tokens == 0)
    {
      request->late = request->late || play->now_us - request->last_event_us > PAUSE_MS * 1000;
      request->last_event_us = play->now_us;
    }
  if (request->n_tokens++ == 0)
    request->last_event_us = play->now_us;
  if (!last)
    return;
  play->outcome.in_aim += !request->late;
  play->outcome.late += request->late;
  leave_endpoint (request, DY_PLACEMENT_ANSWERED);
  g_hash_table_remove (play->open, request);
}

static void step (Play *play, Endpoint *endpoint);

static void
end_step (Play *play, void *data)
{
  Endpoint *endpoint = data;
  engine_end_step (&endpoint->engine, on_token, play);
  step (play, endpoint);
}

static void
step (Play *play, Endpoint *endpoint)
{
  if (endpoint->engine.stepping)
    return;
  endpoint->engine.slowness = endpoint->index < value_now (play, CHANGE_SLOW, 0) ? SLOWNESS : 1;
  int64_t us = engine_begin_step (&endpoint->engine);
  if (us > 0)
    schedule (play, us, end_step, endpoint);
}

/* The last endpoints of the list are those that are lost, the first ones those that are slow. */
static bool
is_gone (const Play *play, const Endpoint *endpoint)
{
  return endpoint->index + value_now (play, CHANGE_GONE, 0) >= play->load->n_endpoints;
}

static bool
offer (Play *play, Request *request)
{
  Endpoint *endpoint = choose (play, request);
  if (!endpoint)
    return false;
  View *view = &play->views[request->router][endpoint->index];
  EngineRun run = { .request = request,
                    .prefix_hash = request->prefix_hash,
                    .shared_tokens = request->class->shared,
                    .own_tokens = request->class->own,
                    .left_tokens = request->class->events * request->class->event_tokens };
  request->endpoint = endpoint;
  g_snprintf (request->tried[request->n_tries++], sizeof request->tried[0], "e%u", endpoint->index);
  view->in_flight++;
  play->outcome.connections += view->idle == 0;
  view->idle -= view->idle > 0;
  if (is_gone (play, endpoint) || !engine_take (&endpoint->engine, &run))
    {
      leave_endpoint (request,
                      is_gone (play, endpoint) ? DY_PLACEMENT_UNREACHABLE : DY_PLACEMENT_FULL);
      return false;
    }
  if (g_hash_table_add (play->seen, g_memdup2 (&request->prefix_hash, sizeof (uint64_t))))
    play->first_reads += request->class->shared;
  step (play, endpoint);
  return true;
}

static void
on_limit (Play *play, void *data)
{
  Request *request = data;
  if (!g_hash_table_contains (play->open, request))
    return;
  engine_drop (&request->endpoint->engine, request);
  leave_endpoint (request, DY_PLACEMENT_CANCELLED);
  play->outcome.failed++;
  g_hash_table_remove (play->open, request);
}

static void
arrive (Play *play, void *data)
{
  const PlayClass *class = data;
  const PlayLoad *load = play->load;
  Request *request = g_new0 (Request, 1);
  int64_t session = 1 + g_rand_int_range (play->rng, 0, (gint32) class->sessions);
  if (g_rand_int_range (play->rng, 0, 100) < class->hot_percent)
    session = 0;
  request->play = play;
  request->class = class;
  request->router = (uint32_t) g_rand_int_range (play->rng, 0, (gint32) load->n_routers);
  request->prefix_hash = 1 + (uint64_t) (class - load->classes) * 1000003 + (uint64_t) session;
  request->start_us = play->now_us;
  play->outcome.requests++;
  bool taken = false;
  while (!taken && request->n_tries < MAX_TRIES)
    taken = offer (play, request);
  play->outcome.refused += !taken;
  g_ptr_array_add (play->requests, request);
  if (taken)
    {
      g_hash_table_add (play->open, request);
      schedule (play, class->limit_ms * 1000, on_limit, request);
    }
  int64_t rate = class->rate * value_now (play, CHANGE_RATE, 100) / 100;
  int64_t gap_us = (int64_t) (2e6 * g_rand_double (play->rng) / (double) MAX (rate, 1));
  if (play->now_us + gap_us < load->end_us)
    schedule (play, gap_us, arrive, data);
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
begin_play (Play *play, const PlayLoad *load, Policy policy)
{
  memset (play, 0, sizeof *play);
  play->load = load;
  play->policy = policy;
  play->events = g_tree_new (compare_events);
  play->rng = g_rand_new_with_seed (load->seed);
  play->choices = g_rand_new_with_seed (load->seed + 1);
  play->requests = g_ptr_array_new_with_free_func (g_free);
  play->open = g_hash_table_new (NULL, NULL);
  play->seen = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  play->first_ms = g_array_new (FALSE, FALSE, sizeof (gint64));
  for (uint32_t r = 0; r < load->n_routers; r++)
    dy_placement_init (&play->placements[r], &dy_placement_policy, "a", load->seed + r);
  for (uint32_t i = 0; i < load->n_endpoints; i++)
    {
      char id[8];
      g_snprintf (id, sizeof id, "e%u", i);
      DyEndpointRecord record = { .id = id,
                                  .service = "llm",
                                  .address = id,
                                  .data_centre = "a",
                                  .slots = load->speed.n_slots,
                                  .start_ms = 1 };
      play->endpoints[i].index = i;
      engine_init (&play->endpoints[i].engine, &load->speed);
      for (uint32_t r = 0; r < load->n_routers; r++)
        dy_placement_put (&play->placements[r], &record);
    }
  for (uint32_t i = 0; i < load->n_classes; i++)
    schedule (play, 0, arrive, (void *) &load->classes[i]);
}

static void
end_play (Play *play)
{
  for (uint32_t i = 0; i < play->load->n_endpoints; i++)
    {
      play->outcome.read_again_tokens += play->endpoints[i].engine.read_again_tokens;
      engine_finish (&play->endpoints[i].engine);
    }
  play->outcome.read_again_tokens -= play->first_reads;
  play->outcome.first_p50_ms = percentile (play->first_ms, 50);
  play->outcome.first_p95_ms = percentile (play->first_ms, 95);
  for (uint32_t r = 0; r < play->load->n_routers; r++)
    dy_placement_finish (&play->placements[r]);
  g_array_unref (play->first_ms);
  g_hash_table_unref (play->seen);
  g_hash_table_unref (play->open);
  g_ptr_array_unref (play->requests);
  g_rand_free (play->choices);
  g_rand_free (play->rng);
  g_tree_unref (play->events);
}

/* Plays LOAD to its end, and until the last answer. */
static Outcome
play_load (const PlayLoad *load, Policy policy)
{
  Play *play = g_new (Play, 1);
  GTreeNode *node;
  begin_play (play, load, policy);
  while ((node = g_tree_node_first (play->events)))
    {
      Event *event = g_tree_node_key (node);
      g_tree_remove (play->events, event);
      play->now_us = event->time_us;
      event->run (play, event->data);
      g_free (event);
    }
  end_play (play);
  Outcome outcome = play->outcome;
  g_free (play);
  return outcome;
}

/* Returns a number, or the field of a policy's outcome that WORD names. */
static bool
value_of (const Outcome *outcomes, const char *word, int64_t *value)
{
  const char *dot = strchr (word, '.');
  if (!dot)
    return play_load_read_number (word, value);
  for (int p = 0; p < N_POLICIES; p++)
    for (size_t i = 0; i < G_N_ELEMENTS (fields); i++)
      {
        size_t n = (size_t) (dot - word);
        if (strlen (policy_names[p]) == n && strncmp (word, policy_names[p], n) == 0
            && strcmp (dot + 1, fields[i].name) == 0)
          {
            *value = G_STRUCT_MEMBER (int64_t, &outcomes[p], fields[i].offset);
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
  bool holds = g_strv_length (words) == 3 && value_of (outcomes, words[0], &left)
               && value_of (outcomes, words[2], &right)
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
  for (size_t i = 0; i < G_N_ELEMENTS (fields); i++)
    printf (" %s", fields[i].name);
  for (int p = 0; p < N_POLICIES; p++)
    {
      printf ("\n%-8s", policy_names[p]);
      for (size_t i = 0; i < G_N_ELEMENTS (fields); i++)
        printf (" %*" PRId64, (int) strlen (fields[i].name),
                G_STRUCT_MEMBER (int64_t, &outcomes[p], fields[i].offset));
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
      for (size_t i = 0; i < G_N_ELEMENTS (fields); i++)
        json_object_set_new (
            row, fields[i].name,
            json_integer (G_STRUCT_MEMBER (int64_t, &outcomes[p], fields[i].offset)));
      json_object_set_new (root, policy_names[p], row);
    }
  json_object_set_new (root, "load", json_string (path));
  json_dumpf (root, stdout, JSON_COMPACT | JSON_SORT_KEYS);
  printf ("\n");
  json_decref (root);
}

static bool
play_file (const char *path, bool json)
{
  PlayLoad load;
  Outcome outcomes[N_POLICIES];
  bool ok = play_load_init (&load, path);
  if (ok)
    {
      for (int p = 0; p < N_POLICIES; p++)
        outcomes[p] = play_load (&load, (Policy) p);
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
    ok = play_file (argv[i], json) && ok;
  return ok ? 0 : 1;
}
