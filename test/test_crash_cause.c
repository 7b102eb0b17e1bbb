/* Attribution of endpoint crashes to prompt parts, in virtual time: scripts of single decisions,
 * and fleets whose routers exchange what they see. */

#include "core/crash_cause.h"
#include "support/suite.h"

#include <string.h>

enum
{
  MS = 1000,
  SECOND = 1000 * MS,
};

static void
ignore_blocked (void *ctx, const DyBlockedPart *part)
{
  (void) ctx;
  (void) part;
}

static void
ignore_released (void *ctx, uint64_t part)
{
  (void) ctx;
  (void) part;
}

static const DyCrashCauseWatcher ignoring_watcher
    = { .blocked = ignore_blocked, .released = ignore_released };

/* Steps are "MILLISECONDS KIND ARGUMENTS", separated by ";". A part is a letter; the parts of a
 * prompt are listed in order. The kinds:
 *
 *   crash ENDPOINT PARTS  a request with PARTS had no output when ENDPOINT crashed
 *   output PARTS          a request with PARTS had output
 *   others N              N requests with none of these parts had output
 *
 * The last decision is a second after the last step. */
static const struct
{
  const char *name;
  const char *steps;
  const char *blocked; /* in the order of the alphabet */
} scripts[] = {
  { "one crash", "0 crash e1 ab;10 others 9", "" },
  { "three crashes", "0 crash e1 ab;200 crash e2 cb;400 crash e3 db;410 others 9", "b" },
  { "two crashes", "0 crash e1 ab;200 crash e2 cb;400 crash e3 da;410 others 9;420 output a", "" },
  { "crashes at the same time count as one",
    "0 crash e1 ab;30 crash e2 cb;60 crash e3 db;90 crash e4 eb;100 others 9", "" },
  { "nothing is blocked while no other request has output",
    "0 crash e1 ab;200 crash e2 ab;400 crash e3 ab;600 crash e4 ab", "" },
  { "the same crash, reported by several routers",
    "0 crash e1 ab;150 crash e1 cb;300 crash e1 db;310 others 9", "" },
  { "an endpoint that crashes again after its restart",
    "0 crash e1 ab;1000 crash e1 cb;2000 crash e1 db;2010 others 9", "b" },
  { "output clears the crashes so far",
    "0 crash e1 ab;200 crash e2 ab;300 output ab;400 crash e3 ab;600 crash e4 ab;610 others 9",
    "" },
  { "a part with output between the crashes is not their cause",
    "0 output a;10 crash e1 ab;100 output a;200 crash e2 ab;300 output a;400 crash e3 ab;"
    "410 output a;420 others 9",
    "b" },
  { "parts without any output go first",
    "0 output a;10 crash e1 ab;200 crash e2 ab;400 crash e3 ab;600 crash e4 ab;800 crash e5 ab;"
    "1000 crash e6 ab;1010 others 9",
    "b" },
  { "of parts in the same crashes, the one further back is blocked",
    "0 crash e1 ab;200 crash e2 ab;400 crash e3 ab;410 others 9", "b" },
  { "a part that had output before takes more crashes",
    "0 output b;10 crash e1 b;200 crash e2 b;400 crash e3 b;600 crash e4 b;800 crash e5 b;"
    "810 others 9",
    "" },
  { "a part that had output before and crashes endpoints now",
    "0 output b;10 crash e1 b;200 crash e2 b;400 crash e3 b;600 crash e4 b;800 crash e5 b;"
    "1000 crash e6 b;1010 others 9",
    "b" },
  { "two crashing parts at once",
    "0 crash e1 ab;200 crash e2 ad;400 crash e3 ab;600 crash e4 ad;700 output a;800 crash e5 ab;"
    "1000 crash e6 ad;1010 output a;1020 others 9",
    "bd" },
  { "a rare part in all crashes of another one is released",
    "0 crash e1 bp;200 crash e2 bp;400 crash e3 bp;410 others 9;1500 crash e4 b;1700 crash e5 b;"
    "1900 crash e6 b;1910 others 9",
    "b" },
  { "the report about the cause may come last",
    "0 crash e1 x;100 crash e1 ab;400 crash e2 x;500 crash e2 ab;800 crash e3 x;850 others 9;"
    "900 crash e3 ab",
    "b" },
  { "output of a blocked part releases it",
    "0 crash e1 ab;200 crash e2 cb;400 crash e3 db;410 others 9;1500 output b", "" },
  { "plain crashes",
    "0 crash e1 a;100 output a;3000 crash e2 a;3000 crash e2 b;3100 output a;3200 output b;"
    "6000 crash e3 b;6100 output b;9000 crash e4 a;9000 crash e4 b;9100 output b;9200 others 9",
    "" },
};

static void
take_step (DyCrashCause *cause, char *const *words, int64_t now_us)
{
  bool was_blocked;
  if (strcmp (words[1], "crash") == 0)
    for (uint32_t i = 0; words[3][i]; i++)
      {
        DyCausePart part = { .id = (uint64_t) words[3][i], .depth = i };
        dy_crash_cause_add (cause, words[2], &part, now_us);
      }
  else if (strcmp (words[1], "output") == 0)
    {
      dy_crash_cause_record_output (cause);
      for (uint32_t i = 0; words[2][i]; i++)
        dy_crash_cause_clear (cause, (uint64_t) words[2][i], now_us, &was_blocked);
    }
  else
    for (int64_t n = g_ascii_strtoll (words[2], NULL, 10); n > 0; n--)
      dy_crash_cause_record_output (cause);
}

START_TEST (scripts_block_the_expected_parts)
{
  enum
  {
    TICK_US = 50 * MS,
  };
  DyCrashCause cause;
  GString *blocked = g_string_new (NULL);
  gchar **steps = g_strsplit (scripts[_i].steps, ";", -1);
  int64_t now_us = 0;
  dy_crash_cause_init (&cause, &dy_crash_cause_policy, &ignoring_watcher, NULL);
  for (gchar **step = steps; *step; step++)
    {
      gchar **words = g_strsplit (*step, " ", 4);
      int64_t at_us = g_ascii_strtoll (words[0], NULL, 10) * MS;
      for (; now_us < at_us; now_us += TICK_US)
        dy_crash_cause_tick (&cause, now_us);
      take_step (&cause, words, at_us);
      g_strfreev (words);
    }
  dy_crash_cause_tick (&cause, now_us + SECOND);
  for (uint64_t id = 'a'; id <= 'z'; id++)
    if (dy_crash_cause_find (&cause, &id, 1))
      g_string_append_c (blocked, (char) id);
  ck_assert_msg (strcmp (blocked->str, scripts[_i].blocked) == 0, "%s: blocked \"%s\"",
                 scripts[_i].name, blocked->str);
  g_string_free (blocked, TRUE);
  g_strfreev (steps);
  dy_crash_cause_finish (&cause);
}
END_TEST

START_TEST (trials_of_a_blocked_part_grow_apart)
{
  enum
  {
    MAX_TRIALS = 3,
    LONG_S = 12 * 3600,
  };
  const int64_t first_us = INT64_C (60) * 1000 * 1000;
  const int64_t factor = 10;
  DyCrashCause cause;
  dy_crash_cause_init (&cause, &dy_crash_cause_policy, &ignoring_watcher, NULL);
  ck_assert (dy_crash_cause_block (&cause, 7, 3, DY_CAUSE_STORE, 0));
  ck_assert (!dy_crash_cause_block (&cause, 7, 3, DY_CAUSE_PEER, 0));
  DyTrials *trials = dy_crash_cause_trials (&cause, 7);
  ck_assert (!dy_trials_is_due (trials, first_us - 1));
  ck_assert (dy_trials_is_due (trials, first_us));
  /* A trial that is due is used only once it is recorded, for one request. */
  ck_assert (!dy_trials_take (trials));
  dy_trials_grant (trials, 1, first_us);
  ck_assert (!dy_trials_is_due (trials, first_us));
  ck_assert (dy_trials_take (trials));
  ck_assert (!dy_trials_take (trials));
  ck_assert (!dy_trials_is_due (trials, first_us));
  ck_assert (!dy_trials_is_due (trials, first_us * factor));
  ck_assert (!dy_trials_is_due (trials, first_us + first_us * factor - 1));
  ck_assert (dy_trials_is_due (trials, first_us + first_us * factor));
  /* One that another router recorded postpones the next one and is not granted here. */
  ck_assert (dy_trials_record (trials, 2, first_us + first_us * factor));
  ck_assert (!dy_trials_record (trials, 2, first_us + first_us * factor));
  ck_assert (!dy_trials_take (trials));
  ck_assert (!dy_trials_is_due (trials, first_us + first_us * factor * factor));
  for (int64_t now_us = 0; now_us < INT64_C (1000000) * LONG_S; now_us += first_us)
    if (dy_trials_is_due (trials, now_us))
      dy_trials_record (trials, trials->n + 1, now_us);
  ck_assert_uint_eq (trials->n, MAX_TRIALS);
  ck_assert_ptr_null (dy_crash_cause_trials (&cause, 8));
  dy_crash_cause_finish (&cause);
}
END_TEST

/* A fleet in steps of virtual time. Requests arrive at any router, run at any endpoint that is up
 * and have output after RUN_US, unless the endpoint crashes meanwhile. */
enum
{
  STEP_US = 10 * MS,
  RUN_US = 60 * MS,
  RESTART_US = 2 * SECOND,
  PEER_DELAY_US = 40 * MS,
  END_US = 20 * SECOND,
  RESTART_ALL_US = 8 * SECOND,
  CALM_UNTIL_US = 2 * SECOND, /* no crashing part until then */
  DETECTION_US = 3 * SECOND,  /* after the fifth crash; later requests with the part are counted */
  N_CRASHES_COUNTED = 5,
  MAX_LATE = 3,
  MAX_ROUTERS = 73,
  MAX_ENDPOINTS = 140,
  MAX_BAD_PARTS = 2,
  N_FIRST_PARTS = 4,
  BAD_PART = 1000, /* id of the first crashing part */
  RARE_PART = 2000,
  N_RARE_PARTS = 40,
};

static const struct
{
  uint32_t n_routers;
  uint32_t n_endpoints;
  uint32_t sound_per_s;
  uint32_t bad_per_s; /* with each crashing part */
  uint32_t n_bad_parts;
  bool restart; /* all routers restart at RESTART_ALL_US; the store's blocks remain */
} fleets[]
    = { { 5, 18, 137, 8, 1, false },  { 5, 18, 137, 8, 1, true },    { 5, 18, 137, 8, 2, false },
        { 9, 8, 60, 8, 1, true },     { 73, 140, 600, 8, 1, false }, { 73, 140, 600, 8, 1, true },
        { 73, 140, 600, 8, 2, true }, { 73, 60, 300, 1, 1, false } };

typedef struct
{
  uint64_t parts[3];
  uint32_t n_parts;
  uint32_t router;
  uint32_t endpoint;
  int64_t output_us;
} SimRequest;

typedef struct
{
  int64_t at_us;
  uint32_t sender;
  enum
  {
    SIM_CRASHED,
    SIM_CLEARED,
    SIM_BLOCKED,
  } kind;
  uint32_t endpoint;
  DyCausePart part;
} SimMessage;

typedef struct Sim Sim;

typedef struct
{
  Sim *sim;
  uint32_t number;
} SimRouter;

struct Sim
{
  GRand *rng;
  int64_t now_us;
  DyCrashCause routers[MAX_ROUTERS];
  SimRouter contexts[MAX_ROUTERS];
  uint32_t n_routers;
  int64_t up_us[MAX_ENDPOINTS]; /* time from which the endpoint accepts requests */
  GArray *requests;             /* SimRequest */
  GArray *messages;             /* SimMessage */
  GHashTable *stored;           /* parts whose blocks the store has */
  uint32_t n_crashes[MAX_BAD_PARTS];
  int64_t fifth_us[MAX_BAD_PARTS]; /* time of the fifth crash; 0: not yet */
  uint32_t n_late[MAX_BAD_PARTS];
  uint32_t n_sound;
  uint32_t n_sound_refused;
};

static void
sim_broadcast (Sim *sim, SimMessage message)
{
  message.at_us = sim->now_us + PEER_DELAY_US;
  g_array_append_val (sim->messages, message);
}

static void
sim_on_blocked (void *ctx, const DyBlockedPart *part)
{
  const SimRouter *router = ctx;
  g_hash_table_add (router->sim->stored, GSIZE_TO_POINTER (part->id));
  sim_broadcast (
      router->sim,
      (SimMessage){ .sender = router->number, .kind = SIM_BLOCKED, .part = { .id = part->id } });
}

static void
sim_on_released (void *ctx, uint64_t part)
{
  const SimRouter *router = ctx;
  g_hash_table_remove (router->sim->stored, GSIZE_TO_POINTER (part));
  sim_broadcast (
      router->sim,
      (SimMessage){ .sender = router->number, .kind = SIM_CLEARED, .part = { .id = part } });
}

static const DyCrashCauseWatcher sim_watcher
    = { .blocked = sim_on_blocked, .released = sim_on_released };

static void
sim_start_routers (Sim *sim)
{
  GHashTableIter iter;
  gpointer key;
  for (uint32_t i = 0; i < sim->n_routers; i++)
    {
      sim->contexts[i] = (SimRouter){ .sim = sim, .number = i };
      dy_crash_cause_finish (&sim->routers[i]);
      dy_crash_cause_init (&sim->routers[i], &dy_crash_cause_policy, &sim_watcher,
                           &sim->contexts[i]);
      g_hash_table_iter_init (&iter, sim->stored);
      while (g_hash_table_iter_next (&iter, &key, NULL))
        dy_crash_cause_block (&sim->routers[i], GPOINTER_TO_SIZE (key), 3, DY_CAUSE_STORE,
                              sim->now_us);
    }
  g_array_set_size (sim->messages, 0);
}

static int
bad_index (const SimRequest *request)
{
  for (uint32_t i = 0; i < request->n_parts; i++)
    if (request->parts[i] >= BAD_PART && request->parts[i] < BAD_PART + MAX_BAD_PARTS)
      return (int) (request->parts[i] - BAD_PART);
  return -1;
}

static void
sim_arrive (Sim *sim, uint32_t n_endpoints, uint64_t bad_part)
{
  SimRequest request
      = { .router = (uint32_t) g_rand_int_range (sim->rng, 0, (gint32) sim->n_routers),
          .output_us = sim->now_us + RUN_US };
  request.parts[request.n_parts++] = (uint64_t) g_rand_int_range (sim->rng, 1, 1 + N_FIRST_PARTS);
  if (g_rand_double (sim->rng) < 0.2)
    request.parts[request.n_parts++]
        = RARE_PART + (uint64_t) g_rand_int_range (sim->rng, 0, N_RARE_PARTS);
  if (bad_part)
    request.parts[request.n_parts++] = bad_part;
  int bad = bad_index (&request);
  bool refused
      = dy_crash_cause_find (&sim->routers[request.router], request.parts, request.n_parts) != NULL;
  sim->n_sound += bad < 0;
  sim->n_sound_refused += bad < 0 && refused;
  if (refused)
    return;
  uint32_t first = (uint32_t) g_rand_int_range (sim->rng, 0, (gint32) n_endpoints);
  for (uint32_t i = 0; i < n_endpoints; i++)
    {
      request.endpoint = (first + i) % n_endpoints;
      if (sim->up_us[request.endpoint] > sim->now_us)
        continue;
      if (bad >= 0 && sim->fifth_us[bad] && sim->now_us > sim->fifth_us[bad] + DETECTION_US)
        sim->n_late[bad]++;
      g_array_append_val (sim->requests, request);
      return;
    }
}

static void
sim_report_crash (Sim *sim, const SimRequest *request)
{
  char endpoint[16];
  g_snprintf (endpoint, sizeof endpoint, "e%u", request->endpoint);
  for (uint32_t i = 0; i < request->n_parts; i++)
    {
      DyCausePart part = { .id = request->parts[i], .depth = i };
      if (dy_crash_cause_add (&sim->routers[request->router], endpoint, &part, sim->now_us))
        sim_broadcast (sim, (SimMessage){ .sender = request->router,
                                          .kind = SIM_CRASHED,
                                          .endpoint = request->endpoint,
                                          .part = part });
    }
}

static void
sim_crash (Sim *sim, uint32_t endpoint, int bad)
{
  sim->up_us[endpoint] = sim->now_us + RESTART_US;
  if (++sim->n_crashes[bad] == N_CRASHES_COUNTED)
    sim->fifth_us[bad] = sim->now_us;
  for (guint i = 0; i < sim->requests->len;)
    {
      SimRequest request = g_array_index (sim->requests, SimRequest, i);
      if (request.endpoint != endpoint)
        {
          i++;
          continue;
        }
      sim_report_crash (sim, &request);
      g_array_remove_index_fast (sim->requests, i);
    }
}

static void
sim_report_output (Sim *sim, const SimRequest *request)
{
  DyCrashCause *cause = &sim->routers[request->router];
  bool was_blocked;
  dy_crash_cause_record_output (cause);
  for (uint32_t i = 0; i < request->n_parts; i++)
    if (dy_crash_cause_clear (cause, request->parts[i], sim->now_us, &was_blocked))
      {
        if (was_blocked)
          g_hash_table_remove (sim->stored, GSIZE_TO_POINTER (request->parts[i]));
        sim_broadcast (sim, (SimMessage){ .sender = request->router,
                                          .kind = SIM_CLEARED,
                                          .part = { .id = request->parts[i] } });
      }
}

static void
sim_run_requests (Sim *sim)
{
  for (guint i = 0; i < sim->requests->len;)
    {
      SimRequest request = g_array_index (sim->requests, SimRequest, i);
      int bad = bad_index (&request);
      if (sim->now_us < request.output_us)
        {
          i++;
          continue;
        }
      if (bad >= 0)
        {
          sim_crash (sim, request.endpoint, bad);
          i = 0;
          continue;
        }
      g_array_remove_index_fast (sim->requests, i);
      sim_report_output (sim, &request);
    }
}

static void
sim_deliver (Sim *sim)
{
  bool was_blocked;
  char endpoint[16];
  guint n = 0;
  for (; n < sim->messages->len; n++)
    {
      SimMessage message = g_array_index (sim->messages, SimMessage, n);
      if (message.at_us > sim->now_us)
        break;
      g_snprintf (endpoint, sizeof endpoint, "e%u", message.endpoint);
      for (uint32_t i = 0; i < sim->n_routers; i++)
        {
          DyCrashCause *cause = &sim->routers[i];
          if (i == message.sender)
            continue;
          if (message.kind == SIM_CRASHED)
            dy_crash_cause_add (cause, endpoint, &message.part, sim->now_us);
          else if (message.kind == SIM_CLEARED)
            dy_crash_cause_clear (cause, message.part.id, sim->now_us, &was_blocked);
          else
            dy_crash_cause_block (cause, message.part.id, 3, DY_CAUSE_PEER, sim->now_us);
        }
    }
  g_array_remove_range (sim->messages, 0, n);
}

static bool
sim_chance (Sim *sim, uint32_t per_s)
{
  return g_rand_double (sim->rng) < (double) per_s * STEP_US / SECOND;
}

START_TEST (fleets_stop_crashing_parts_and_serve_others)
{
  enum
  {
    SEED = 22,
    ARRIVALS_PER_STEP = 20, /* the rate of sound requests is spread over as many draws */
  };
  uint32_t n_endpoints = fleets[_i].n_endpoints;
  Sim *sim = g_new0 (Sim, 1);
  sim->rng = g_rand_new_with_seed (SEED + (guint32) _i);
  sim->n_routers = fleets[_i].n_routers;
  sim->requests = g_array_new (FALSE, FALSE, sizeof (SimRequest));
  sim->messages = g_array_new (FALSE, FALSE, sizeof (SimMessage));
  sim->stored = g_hash_table_new (NULL, NULL);
  sim_start_routers (sim);
  for (; sim->now_us < END_US; sim->now_us += STEP_US)
    {
      if (fleets[_i].restart && sim->now_us == RESTART_ALL_US)
        {
          g_array_set_size (sim->requests, 0);
          sim_start_routers (sim);
        }
      for (uint32_t k = 0; k < ARRIVALS_PER_STEP; k++)
        if (g_rand_double (sim->rng)
            < (double) fleets[_i].sound_per_s / ARRIVALS_PER_STEP * STEP_US / SECOND)
          sim_arrive (sim, n_endpoints, 0);
      for (uint32_t k = 0; k < fleets[_i].n_bad_parts && sim->now_us >= CALM_UNTIL_US; k++)
        if (sim_chance (sim, fleets[_i].bad_per_s))
          sim_arrive (sim, n_endpoints, BAD_PART + k);
      sim_run_requests (sim);
      sim_deliver (sim);
      for (uint32_t i = 0; i < sim->n_routers; i++)
        dy_crash_cause_tick (&sim->routers[i], sim->now_us);
    }
  for (uint32_t k = 0; k < fleets[_i].n_bad_parts; k++)
    {
      ck_assert_uint_ge (sim->n_crashes[k], dy_crash_cause_policy.min_crashes);
      ck_assert_msg (sim->n_late[k] <= MAX_LATE, "part %u: %u late, %u crashes", k, sim->n_late[k],
                     sim->n_crashes[k]);
    }
  ck_assert_msg (sim->n_sound_refused <= sim->n_sound / 100, "%u of %u sound requests refused",
                 sim->n_sound_refused, sim->n_sound);
  for (uint32_t i = 0; i < sim->n_routers; i++)
    dy_crash_cause_finish (&sim->routers[i]);
  g_hash_table_unref (sim->stored);
  g_array_unref (sim->requests);
  g_array_unref (sim->messages);
  g_rand_free (sim->rng);
  g_free (sim);
}
END_TEST

int
main (void)
{
  TCase *tcase = tcase_create ("crash_cause");
  tcase_set_timeout (tcase, 60);
  tcase_add_loop_test (tcase, scripts_block_the_expected_parts, 0, G_N_ELEMENTS (scripts));
  tcase_add_test (tcase, trials_of_a_blocked_part_grow_apart);
  tcase_add_loop_test (tcase, fleets_stop_crashing_parts_and_serve_others, 0,
                       G_N_ELEMENTS (fleets));
  return suite_run ("crash_cause", tcase);
}
