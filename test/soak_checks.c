#include "soak.h"

#include "support/resends.h"

#include <stdio.h>
#include <string.h>

enum
{
  LATE_MS = 500, /* requests end this time after their deadline */
  MAX_MIXED = 2, /* streams with events of several versions: the users' bound */
};

static const struct
{
  const char *service;
  const char *prefix; /* of the paths of all its routes, see support/site.h */
  SoakKind kinds[2];
} services[] = {
  { "app", "/o", { KIND_IDEMPOTENT, KIND_ONCE } },
  { "llm", "/s", { KIND_STREAM, KIND_STREAM_ONCE } },
};

static void
report_violation (Soak *soak, const SoakRecord *record, const char *text)
{
  soak->n_violations++;
  fprintf (stderr, "%s %s %s: status %u whole %d runs %d body '%s'\n", text, record->id,
           record->target, record->status, record->complete,
           GPOINTER_TO_INT (g_hash_table_lookup (soak->runs, record->id)), record->body->str);
}

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
used_tokens (const SoakRecord *record, int64_t runs)
{
  int64_t events = 0;
  if (record->kind < KIND_STREAM || runs == 0)
    return 0;
  for (const char *p = record->body->str; (p = strstr (p, "data: ")); p++)
    events++;
  return PROMPT_TOKENS + events;
}

uint32_t
soak_count_whole (const SoakRecord *record)
{
  return g_str_has_suffix (record->target, "/paced") ? SOUND_EVENTS : OUTPUT_TOKENS;
}

/* Returns the events that the caller of RECORD lacks, to be freed with g_free(). */
static char *
complete_stream (const SoakRecord *record)
{
  GString *text = g_string_new (NULL);
  for (uint32_t i = record->n_before + 1; i <= soak_count_whole (record); i++)
    g_string_append_printf (text, "id: %u\ndata: piece-%u\n\n", i, i);
  return g_string_free (text, FALSE);
}

static bool
is_expected_answer (const SoakRecord *record, const char *stream)
{
  if (record->kind >= KIND_STREAM)
    return strcmp (record->body->str, stream) == 0;
  return strstr (record->body->str, record->target) != NULL;
}

static void
check_record (Soak *soak, const SoakRecord *record, int64_t runs)
{
  bool success = record->status == 200;
  char *stream = complete_stream (record);
  bool must_not_have_run = record->status == 429 || record->status == 503 || record->status == 402
                           || record->status == 408 || record->status == 421;
  bool whole = success && record->complete && is_expected_answer (record, stream);
  int64_t deadline_ms = record->sent_ms + SOUND_DEADLINE_MS;
  if (success && record->complete && !whole)
    report_violation (soak, record, "not the own whole answer:");
  if (success && record->kind >= KIND_STREAM
      && strncmp (stream, record->body->str, record->body->len) != 0)
    report_violation (soak, record, "a piece is missing or comes twice:");
  if (must_not_have_run && runs > 0)
    report_violation (soak, record, "said not to have run, though it had:");
  if (runs > soak_kinds[record->kind].max_runs)
    report_violation (soak, record, "ran too often:");
  if (record->status == 401 || record->status == 404)
    report_violation (soak, record, "denied, though it is allowed:");
  if (record->sound && runs > 0 && !whole)
    report_violation (soak, record, "run by an endpoint that goes on, and not answered:");
  if (record->sound && !whole && record->ended_ms > deadline_ms + LATE_MS)
    report_violation (soak, record, "not ended in time:");
  g_free (stream);
}

/* Checks the bound of each service, and returns the most resends in a window, of any service. */
static uint32_t
check_resends (Soak *soak)
{
  uint32_t n_most = 0;
  const SoakRecord *first = g_ptr_array_index (soak->records, 0);
  for (size_t k = 0; k < G_N_ELEMENTS (services); k++)
    {
      GArray *sent_ms = g_array_new (FALSE, FALSE, sizeof (int64_t));
      for (guint i = 0; i < soak->records->len; i++)
        {
          const SoakRecord *record = g_ptr_array_index (soak->records, i);
          if (record->sent
              && (record->kind == services[k].kinds[0] || record->kind == services[k].kinds[1]))
            g_array_append_val (sent_ms, record->sent_ms);
        }
      ResendWindow worst = resends_worst (soak->site.arrival_log, services[k].prefix, sent_ms,
                                          &resend_default_bound);
      g_array_unref (sent_ms);
      n_most = MAX (n_most, worst.n_resends);
      if (worst.over <= 0.0)
        continue;
      soak->n_violations++;
      fprintf (stderr,
               "resends to %s: %u for %u requests, over by %.0f, until %d ms after the start\n",
               services[k].service, worst.n_resends, worst.n_requests, worst.over,
               (int) (worst.end_ms - first->sent_ms));
    }
  return n_most;
}

/* Checks what the routers sent to cold endpoints, and returns the most in a second. */
static int64_t
check_cold (Soak *soak)
{
  int64_t most = 0;
  for (uint32_t i = 0; i < soak->site.n_workers; i++)
    {
      json_t *stats
          = fleet_call (&soak->site.fleet, "GET", soak->site.workers[i], "/admin/stats", NULL);
      most = MAX (most, json_integer_value (json_object_get (stats, "cold_worst")));
      json_decref (stats);
    }
  if (most > SITE_COLD_BOUND)
    {
      soak->n_violations++;
      fprintf (stderr, "%d requests to a cold endpoint in a second, allowed %d\n", (int) most,
               SITE_COLD_BOUND);
    }
  return most;
}

/* Checks that streams go on at the software version that began them, and prints how many do. */
static void
check_versions (Soak *soak)
{
  uint32_t n_mixed = 0;
  uint32_t n_resumed = 0;
  uint32_t n_went_on = 0;
  for (guint i = 0; i < soak->records->len; i++)
    {
      const SoakRecord *record = g_ptr_array_index (soak->records, i);
      uint32_t versions = record->versions | (record->begun ? record->begun->versions : 0);
      bool mixed = (versions & (versions - 1)) != 0;
      n_resumed += record->begun != NULL;
      n_went_on += record->begun && record->versions != 0;
      n_mixed += mixed;
      if (mixed)
        fprintf (stderr, "%s resumes %s, of two versions: %s\n", record->id,
                 record->begun ? record->begun->id : "-", record->body->str);
    }
  printf ("resumed %u went on %u mixed %u ", n_resumed, n_went_on, n_mixed);
  if (n_mixed <= MAX_MIXED)
    return;
  soak->n_violations++;
  fprintf (stderr, "%u streams of two software versions\n", n_mixed);
}

void
soak_check_invariants (Soak *soak)
{
  int64_t tokens = 0;
  int n_answered = 0;
  int n_reused = 0;
  uint32_t n_copies = 0;
  uint32_t n_to_copy = 0;
  read_runs (soak);
  for (guint i = 0; i < soak->records->len; i++)
    {
      const SoakRecord *record = g_ptr_array_index (soak->records, i);
      int64_t runs = GPOINTER_TO_INT (g_hash_table_lookup (soak->runs, record->id));
      check_record (soak, record, runs);
      tokens += used_tokens (record, runs);
      n_answered += record->status == 200 && record->complete;
      n_reused += record->reused;
    }
  check_versions (soak);
  uint32_t n_resends = check_resends (soak);
  int64_t n_cold = check_cold (soak);
  for (uint32_t i = 0; i < soak->site.n_workers; i++)
    {
      n_copies += soak->site.worker_relay[i].n_copies;
      n_to_copy += soak->site.worker_relay[i].n_to_copy;
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
  printf (
      "requests %u on open connections %d answered %d copies %u of %u resends %u cold %d tokens %d "
      "of %d broken %d\n",
      soak->records->len, n_reused, n_answered, n_copies, n_to_copy, n_resends, (int) n_cold,
      (int) tokens, (int) soak->paid_tokens, soak->n_violations);
}

void
soak_check_recovery (Soak *soak)
{
  for (uint32_t i = 0; i < soak->site.n_workers; i++)
    soak_start_worker (soak, i);
  for (uint32_t i = 0; i < soak->site.n_routers; i++)
    {
      soak_start_router (soak, i);
      if (!site_wait_ready (&soak->site, i, 200))
        {
          soak->n_violations++;
          fprintf (stderr, "r%u did not recover\n%s\n", i,
                   soak->site.router_process[i].output->str);
        }
    }
}

void
soak_check_evacuation (Soak *soak)
{
  uint32_t n = site_count_after (&soak->site, soak->evacuated, EVACUATION_MS);
  if (n == 0)
    return;
  soak->n_violations++;
  fprintf (stderr, "%u requests in the evacuated data centre %s after the bound\n", n,
           soak->evacuated);
}

void
soak_check_alive (Soak *soak)
{
  for (uint32_t i = 0; i < soak->site.n_routers; i++)
    if (!soak->site.router_process[i].pid)
      {
        soak->n_violations++;
        fprintf (stderr, "r%u has ended\n", i);
      }
}
