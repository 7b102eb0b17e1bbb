#include "core/crash_counts.h"

#include <string.h>

enum
{
  MAX_KEPT_CRASHES = 16, /* of one request */
};

static const int64_t SWEEP_INTERVAL_US = INT64_C (10) * 1000 * 1000;

const DyCrashCountsPolicy dy_crash_counts_policy = {
  .max_crashes = 3,
  .same_crash_us = 800 * 1000,
  .keep_us = INT64_C (600) * 1000 * 1000,
  .keep_block_us = INT64_C (3600) * 1000 * 1000,
};

typedef struct
{
  guint endpoint; /* hash of its id; 0: not stated */
  int64_t time_us;
} Crash;

static guint
hash_endpoint (const char *endpoint)
{
  return endpoint[0] ? MAX (g_str_hash (endpoint), 1) : 0;
}

static void
free_count (gpointer data)
{
  DyCrashCount *count = data;
  g_array_unref (count->crashes);
  g_free (count);
}

void
dy_crash_counts_init (DyCrashCounts *counts, const DyCrashCountsPolicy *policy)
{
  counts->policy = *policy;
  counts->requests = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, free_count);
  counts->swept_us = 0;
}

void
dy_crash_counts_finish (DyCrashCounts *counts)
{
  g_hash_table_unref (counts->requests);
  memset (counts, 0, sizeof *counts);
}

const DyCrashCount *
dy_crash_counts_find (const DyCrashCounts *counts, uint64_t request)
{
  return g_hash_table_lookup (counts->requests, &request);
}

static DyCrashCount *
get_count (DyCrashCounts *counts, uint64_t request, int64_t now_us)
{
  DyCrashCount *count = g_hash_table_lookup (counts->requests, &request);
  if (count)
    return count;
  count = g_new0 (DyCrashCount, 1);
  count->request = request;
  count->crashes = g_array_new (FALSE, FALSE, sizeof (Crash));
  count->changed_us = now_us;
  g_hash_table_insert (counts->requests, &count->request, count);
  return count;
}

static void
update_block (const DyCrashCounts *counts, DyCrashCount *count, int64_t now_us)
{
  if (count->blocked || count->n_crashes < counts->policy.max_crashes)
    return;
  count->blocked = true;
  count->blocked_us = now_us;
  dy_trials_init (&count->trials, count->trials.n, now_us);
}

/* Returns whether CRASH, under a request that was sent at SENT_US, is one that is known as KNOWN.
 */
static bool
is_same (const DyCrashCounts *counts, const Crash *known, const Crash *crash, int64_t sent_us)
{
  if (crash->endpoint == 0)
    return crash->time_us - known->time_us < counts->policy.same_crash_us;
  return crash->endpoint == known->endpoint && sent_us <= known->time_us;
}

bool
dy_crash_counts_add (
    DyCrashCounts *counts, uint64_t request, const char *endpoint, int64_t sent_us, int64_t now_us)
{
  DyCrashCount *count = get_count (counts, request, now_us);
  Crash crash = { .endpoint = hash_endpoint (endpoint), .time_us = now_us };
  for (guint i = 0; i < count->crashes->len; i++)
    if (is_same (counts, &g_array_index (count->crashes, Crash, i), &crash, sent_us))
      return false;
  if (count->crashes->len >= MAX_KEPT_CRASHES)
    g_array_remove_index (count->crashes, 0);
  g_array_append_val (count->crashes, crash);
  count->n_crashes++;
  count->changed_us = now_us;
  update_block (counts, count, now_us);
  return true;
}

bool
dy_crash_counts_withdraw (DyCrashCounts *counts, uint64_t request, const char *endpoint)
{
  DyCrashCount *count = g_hash_table_lookup (counts->requests, &request);
  guint hash = hash_endpoint (endpoint);
  for (guint i = count ? count->crashes->len : 0; i > 0; i--)
    if (g_array_index (count->crashes, Crash, i - 1).endpoint == hash)
      {
        g_array_remove_index (count->crashes, i - 1);
        count->n_crashes--;
        count->blocked = count->n_crashes >= counts->policy.max_crashes;
        count->trials.granted = count->trials.granted && count->blocked;
        if (count->n_crashes == 0 && count->trials.n == 0)
          g_hash_table_remove (counts->requests, &request);
        return true;
      }
  return false;
}

bool
dy_crash_counts_adopt (DyCrashCounts *counts,
                       uint64_t request,
                       uint32_t n_crashes,
                       uint32_t n_trials,
                       DyCauseSource source,
                       int64_t now_us)
{
  DyCrashCount *count = get_count (counts, request, now_us);
  bool has_trials = dy_trials_record (&count->trials, n_trials, now_us);
  if (n_crashes <= count->n_crashes && !has_trials)
    return false;
  count->n_crashes = MAX (count->n_crashes, n_crashes);
  count->source = source;
  update_block (counts, count, now_us);
  return true;
}

bool
dy_crash_counts_clear (DyCrashCounts *counts, uint64_t request)
{
  return g_hash_table_remove (counts->requests, &request);
}

const DyCrashCount *
dy_crash_counts_refuse (DyCrashCounts *counts, uint64_t request, int64_t now_us)
{
  DyCrashCount *count = g_hash_table_lookup (counts->requests, &request);
  if (!count || !count->blocked)
    return NULL;
  count->changed_us = now_us;
  return count;
}

DyTrials *
dy_crash_counts_trials (DyCrashCounts *counts, uint64_t request)
{
  DyCrashCount *count = g_hash_table_lookup (counts->requests, &request);
  return count && count->blocked ? &count->trials : NULL;
}

void
dy_crash_counts_tick (DyCrashCounts *counts,
                      void (*removed) (void *ctx, uint64_t request),
                      void *ctx,
                      int64_t now_us)
{
  GHashTableIter iter;
  gpointer value;
  if (now_us - counts->swept_us < SWEEP_INTERVAL_US)
    return;
  counts->swept_us = now_us;
  g_hash_table_iter_init (&iter, counts->requests);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const DyCrashCount *count = value;
      uint64_t request = count->request;
      int64_t keep_us = count->blocked ? counts->policy.keep_block_us : counts->policy.keep_us;
      if (now_us - count->changed_us < keep_us)
        continue;
      g_hash_table_iter_remove (&iter);
      removed (ctx, request);
    }
}
