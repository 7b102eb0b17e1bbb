#include "core/crash_cause.h"

#include <string.h>

enum
{
  MAX_CRASHES = 512,
  MAX_PARTS_OF_CRASH = 256,
};

static const int64_t SWEEP_INTERVAL_US = INT64_C (10) * 1000 * 1000;

/* Time after the latest report in which further outputs may still decide on it. */
static const int64_t DECIDE_US = 5 * 1000 * 1000;

const DyCrashCausePolicy dy_crash_cause_policy = {
  .min_crashes = 3,
  .min_crashes_cleared = 6,
  .min_outputs = 5,
  .settle_us = 250 * 1000,
  .same_crash_us = 800 * 1000, /* shorter than the restart of an endpoint under the same id */
  .burst_us = 100 * 1000,
  .keep_us = INT64_C (600) * 1000 * 1000,
};

typedef struct
{
  char *endpoint;
  int64_t crashed_us;
  GArray *parts; /* DyCausePart: its possible causes */
} Crash;

typedef struct
{
  uint64_t id;
  int64_t output_us;         /* latest output of a request with the part; INT64_MIN: none */
  uint64_t outputs_at_crash; /* n_outputs at the first of the crashes that it may have caused */
  bool is_possible_cause;
} Part;

/* A part as a possible cause of the crashes that are not explained yet. */
typedef struct
{
  uint64_t id;
  uint32_t depth;     /* the largest */
  uint32_t n_crashes; /* those within policy.burst_us count as one */
  int64_t counted_us; /* time of the latest that was counted */
  bool cleared;       /* had output */
} Candidate;

static void
free_crash (gpointer data)
{
  Crash *crash = data;
  g_free (crash->endpoint);
  g_array_unref (crash->parts);
  g_free (crash);
}

void
dy_crash_cause_init (DyCrashCause *cause,
                     const DyCrashCausePolicy *policy,
                     const DyCrashCauseWatcher *watcher,
                     void *ctx)
{
  memset (cause, 0, sizeof *cause);
  cause->policy = *policy;
  cause->watcher = watcher;
  cause->ctx = ctx;
  cause->parts = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  cause->blocked = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  cause->crashes = g_ptr_array_new_with_free_func (free_crash);
}

void
dy_crash_cause_finish (DyCrashCause *cause)
{
  if (!cause->parts)
    return;
  g_hash_table_unref (cause->parts);
  g_hash_table_unref (cause->blocked);
  g_ptr_array_unref (cause->crashes);
  memset (cause, 0, sizeof *cause);
}

static Part *
get_part (DyCrashCause *cause, uint64_t id)
{
  Part *part = g_hash_table_lookup (cause->parts, &id);
  if (part)
    return part;
  part = g_new0 (Part, 1);
  part->id = id;
  part->output_us = INT64_MIN;
  g_hash_table_insert (cause->parts, &part->id, part);
  return part;
}

static Crash *
get_crash (DyCrashCause *cause, const char *endpoint, int64_t now_us)
{
  for (guint i = cause->crashes->len; i > 0; i--)
    {
      Crash *crash = g_ptr_array_index (cause->crashes, i - 1);
      if (now_us - crash->crashed_us >= cause->policy.same_crash_us)
        break;
      if (strcmp (crash->endpoint, endpoint) == 0)
        return crash;
    }
  if (cause->crashes->len >= MAX_CRASHES)
    g_ptr_array_remove_index (cause->crashes, 0);
  Crash *crash = g_new0 (Crash, 1);
  crash->endpoint = g_strdup (endpoint);
  crash->crashed_us = now_us;
  crash->parts = g_array_new (FALSE, FALSE, sizeof (DyCausePart));
  g_ptr_array_add (cause->crashes, crash);
  return crash;
}

static bool
find_part (const Crash *crash, uint64_t id, guint *index)
{
  for (guint i = 0; i < crash->parts->len; i++)
    if (g_array_index (crash->parts, DyCausePart, i).id == id)
      {
        if (index)
          *index = i;
        return true;
      }
  return false;
}

bool
dy_crash_cause_add (DyCrashCause *cause,
                    const char *endpoint,
                    const DyCausePart *part,
                    int64_t now_us)
{
  Crash *crash = get_crash (cause, endpoint, now_us);
  if (find_part (crash, part->id, NULL) || crash->parts->len >= MAX_PARTS_OF_CRASH)
    return false;
  g_array_append_val (crash->parts, *part);
  cause->decide_until_us = now_us + DECIDE_US;
  Part *known = get_part (cause, part->id);
  if (!known->is_possible_cause)
    known->outputs_at_crash = cause->n_outputs;
  known->is_possible_cause = true;
  return true;
}

void
dy_crash_cause_record_output (DyCrashCause *cause)
{
  cause->n_outputs++;
}

bool
dy_crash_cause_clear (DyCrashCause *cause, uint64_t id, int64_t now_us, bool *was_blocked)
{
  Part *part = get_part (cause, id);
  bool was_possible_cause = part->is_possible_cause;
  guint index;
  part->output_us = now_us;
  part->is_possible_cause = false;
  for (guint i = 0; was_possible_cause && i < cause->crashes->len; i++)
    {
      Crash *crash = g_ptr_array_index (cause->crashes, i);
      if (find_part (crash, id, &index))
        g_array_remove_index (crash->parts, index);
    }
  *was_blocked = g_hash_table_remove (cause->blocked, &id);
  return was_possible_cause || *was_blocked;
}

static DyBlockedPart *
block (DyCrashCause *cause, uint64_t id, uint32_t n_crashes, DyCauseSource source, int64_t now_us)
{
  DyBlockedPart *part = g_new0 (DyBlockedPart, 1);
  part->id = id;
  part->source = source;
  part->n_crashes = n_crashes;
  part->blocked_us = now_us;
  dy_trials_init (&part->trials, 0, now_us);
  g_hash_table_insert (cause->blocked, &part->id, part);
  return part;
}

bool
dy_crash_cause_block (
    DyCrashCause *cause, uint64_t id, uint32_t n_crashes, DyCauseSource source, int64_t now_us)
{
  if (g_hash_table_contains (cause->blocked, &id))
    return false;
  block (cause, id, n_crashes, source, now_us);
  return true;
}

const DyBlockedPart *
dy_crash_cause_find (const DyCrashCause *cause, const uint64_t *ids, uint32_t n)
{
  for (uint32_t i = 0; i < n && g_hash_table_size (cause->blocked) > 0; i++)
    {
      const DyBlockedPart *part = g_hash_table_lookup (cause->blocked, &ids[i]);
      if (part)
        return part;
    }
  return NULL;
}

DyTrials *
dy_crash_cause_trials (DyCrashCause *cause, uint64_t id)
{
  DyBlockedPart *part = g_hash_table_lookup (cause->blocked, &id);
  return part ? &part->trials : NULL;
}

static bool
is_explained (const DyCrashCause *cause, const Crash *crash)
{
  for (guint i = 0; i < crash->parts->len; i++)
    if (g_hash_table_contains (cause->blocked, &g_array_index (crash->parts, DyCausePart, i).id))
      return true;
  return false;
}

static void
count_part (DyCrashCause *cause,
            GHashTable *candidates,
            const DyCausePart *part,
            int64_t crashed_us)
{
  Candidate *candidate = g_hash_table_lookup (candidates, &part->id);
  if (!candidate)
    {
      candidate = g_new0 (Candidate, 1);
      candidate->id = part->id;
      candidate->cleared = get_part (cause, part->id)->output_us != INT64_MIN;
      g_hash_table_insert (candidates, &candidate->id, candidate);
    }
  candidate->depth = MAX (candidate->depth, part->depth);
  if (candidate->n_crashes > 0 && crashed_us - candidate->counted_us < cause->policy.burst_us)
    return;
  candidate->n_crashes++;
  candidate->counted_us = crashed_us;
}

static bool
is_eligible (DyCrashCause *cause, const Candidate *candidate)
{
  const DyCrashCausePolicy *policy = &cause->policy;
  uint64_t n_outputs = cause->n_outputs - get_part (cause, candidate->id)->outputs_at_crash;
  return candidate->n_crashes
             >= (candidate->cleared ? policy->min_crashes_cleared : policy->min_crashes)
         && n_outputs >= policy->min_outputs;
}

static bool
is_likelier (const Candidate *a, const Candidate *b)
{
  if (a->cleared != b->cleared)
    return !a->cleared;
  if (a->n_crashes != b->n_crashes)
    return a->n_crashes > b->n_crashes;
  if (a->depth != b->depth)
    return a->depth > b->depth;
  return a->id < b->id;
}

/* Finds the likeliest cause of the crashes that no blocked part explains. */
static bool
find_cause (DyCrashCause *cause, int64_t now_us, Candidate *found)
{
  GHashTable *candidates = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  GHashTableIter iter;
  gpointer value;
  const Candidate *best = NULL;
  for (guint i = 0; i < cause->crashes->len; i++)
    {
      const Crash *crash = g_ptr_array_index (cause->crashes, i);
      if (now_us - crash->crashed_us < cause->policy.settle_us || is_explained (cause, crash))
        continue;
      for (guint k = 0; k < crash->parts->len; k++)
        count_part (cause, candidates, &g_array_index (crash->parts, DyCausePart, k),
                    crash->crashed_us);
    }
  g_hash_table_iter_init (&iter, candidates);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (is_eligible (cause, value) && (!best || is_likelier (value, best)))
      best = value;
  bool any = best != NULL;
  if (any)
    *found = *best;
  g_hash_table_unref (candidates);
  return any;
}

/* Returns whether the part ID was blocked for crashes that the part BY explains as well. */
static bool
is_explained_by (const DyCrashCause *cause, uint64_t id, uint64_t by)
{
  bool found = false;
  for (guint i = 0; i < cause->crashes->len; i++)
    {
      const Crash *crash = g_ptr_array_index (cause->crashes, i);
      if (!find_part (crash, id, NULL))
        continue;
      if (!find_part (crash, by, NULL))
        return false;
      found = true;
    }
  return found;
}

static void
release_explained (DyCrashCause *cause, uint64_t by)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, cause->blocked);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      uint64_t id = ((const DyBlockedPart *) value)->id;
      if (id == by || !is_explained_by (cause, id, by))
        continue;
      g_hash_table_iter_remove (&iter);
      cause->watcher->released (cause->ctx, id);
    }
}

static gboolean
is_forgotten (gpointer key, gpointer value, gpointer ctx)
{
  const Part *part = value;
  const int64_t *oldest_us = ctx;
  (void) key;
  return !part->is_possible_cause && part->output_us < *oldest_us;
}

static void
sweep (DyCrashCause *cause, int64_t now_us)
{
  int64_t oldest_us = now_us - cause->policy.keep_us;
  if (now_us - cause->swept_us < SWEEP_INTERVAL_US)
    return;
  cause->swept_us = now_us;
  guint n_old = 0;
  while (n_old < cause->crashes->len
         && ((const Crash *) g_ptr_array_index (cause->crashes, n_old))->crashed_us < oldest_us)
    n_old++;
  if (n_old > 0)
    g_ptr_array_remove_range (cause->crashes, 0, n_old);
  g_hash_table_foreach_remove (cause->parts, is_forgotten, &oldest_us);
}

void
dy_crash_cause_tick (DyCrashCause *cause, int64_t now_us)
{
  Candidate found;
  sweep (cause, now_us);
  if (now_us >= cause->decide_until_us)
    return;
  while (find_cause (cause, now_us, &found))
    {
      const DyBlockedPart *part = block (cause, found.id, found.n_crashes, DY_CAUSE_OWN, now_us);
      cause->watcher->blocked (cause->ctx, part);
      release_explained (cause, found.id);
    }
}
