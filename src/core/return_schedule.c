#include "core/return_schedule.h"

#include <stdbool.h>

enum
{
  MIN_WAIT_US = 300 * 1000,
  MAX_WAIT_US = 4000 * 1000, /* callers wait at most a third of their time limit */
  /* Shortest wait of callers that do not wait for MIN_WAIT_US. */
  SHORT_WAIT_US = 20 * 1000,
  PARTS_WAITED = 3, /* callers wait for one of so many parts of the time left */
  BUCKET_US = 250 * 1000,
  N_BUCKETS = 8,
  WINDOW_US = N_BUCKETS * BUCKET_US,
  RECENT_US = 4000 * 1000, /* a refusal longer ago tells nothing of the room now */
  IDLE_US = 10 * 1000 * 1000,
  MIN_OUTAGE_US = 1000 * 1000,
  /* Grants come in irregular intervals: so many mean ones without a grant are no chance. */
  OUTAGE_INTERVALS = 3,
  MAIN_LANE_PARTS = 3,
  LANE_PARTS = 4,
};

typedef struct
{
  uint32_t grants[N_BUCKETS];
  int64_t bucket;     /* number of the latest one */
  int64_t known_us;   /* since when the key has been counted */
  int64_t refused_us; /* latest refusal */
  int64_t used_us;    /* latest grant or refusal */
  bool refused;       /* refused_us is set */
  bool waits;         /* there was a refusal since the latest grant */
  int64_t waits_us;   /* time of the first one, if so */
  int64_t main_us;    /* earliest return that has a place in the main lane */
  int64_t short_us;   /* the same in the lane of those with little time left */
} Key;

void
dy_return_schedule_init (DyReturnSchedule *schedule, uint32_t seed)
{
  schedule->keys = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  schedule->rng = g_rand_new_with_seed (seed);
}

void
dy_return_schedule_finish (DyReturnSchedule *schedule)
{
  g_hash_table_unref (schedule->keys);
  g_rand_free (schedule->rng);
}

static gboolean
is_idle (gpointer name, gpointer value, gpointer now_us)
{
  (void) name;
  return *(const int64_t *) now_us - ((const Key *) value)->used_us > IDLE_US;
}

/* Empties the buckets that began since the latest event. */
static void
advance (Key *key, int64_t now_us)
{
  int64_t bucket = now_us / BUCKET_US;
  for (int64_t b = MAX (key->bucket + 1, bucket - N_BUCKETS + 1); b <= bucket; b++)
    key->grants[b % N_BUCKETS] = 0;
  key->bucket = MAX (key->bucket, bucket);
  key->used_us = now_us;
}

/* A time before 0 or too late to add to is not taken. */
static bool
is_valid (const char *key, int64_t now_us)
{
  return key && now_us >= 0 && now_us < INT64_MAX / 2;
}

/* Returns the key NAME, added if it is new; NULL if there is no place for it. */
static Key *
use_key (DyReturnSchedule *schedule, const char *name, int64_t now_us)
{
  Key *key = g_hash_table_lookup (schedule->keys, name);
  if (key && is_idle (NULL, key, &now_us))
    {
      g_hash_table_remove (schedule->keys, name);
      key = NULL;
    }
  if (!key && g_hash_table_size (schedule->keys) >= DY_RETURN_SCHEDULE_KEYS)
    g_hash_table_foreach_remove (schedule->keys, is_idle, &now_us);
  if (!key && g_hash_table_size (schedule->keys) >= DY_RETURN_SCHEDULE_KEYS)
    return NULL;
  if (!key)
    {
      key = g_new0 (Key, 1);
      key->bucket = now_us / BUCKET_US;
      key->known_us = now_us;
      g_hash_table_insert (schedule->keys, g_strdup (name), key);
    }
  /* A time before the latest one counts as that. */
  advance (key, MAX (now_us, key->used_us));
  return key;
}

void
dy_return_schedule_grant (DyReturnSchedule *schedule, const char *key, int64_t now_us)
{
  Key *known = is_valid (key, now_us) ? use_key (schedule, key, now_us) : NULL;
  if (!known)
    return;
  known->grants[known->bucket % N_BUCKETS]++;
  known->waits = false;
}

/* Returns the mean interval between grants lately; INT64_MAX: there was none. */
static int64_t
grant_interval_us (const Key *key)
{
  int64_t n = 0;
  for (uint32_t i = 0; i < N_BUCKETS; i++)
    n += key->grants[i];
  int64_t since_us = MAX (key->known_us, (key->bucket - N_BUCKETS + 1) * BUCKET_US);
  int64_t span_us = MAX (key->used_us - since_us, (int64_t) BUCKET_US);
  return n > 0 ? MAX (span_us / n, 1) : INT64_MAX;
}

/* Returns whether the key, which has had no room for WITHOUT_US, is to be taken as without any. */
static bool
is_out (int64_t without_us, int64_t interval_us)
{
  return interval_us == INT64_MAX
         || (without_us >= MIN_OUTAGE_US && without_us / OUTAGE_INTERVALS >= interval_us);
}

static int64_t
jitter_us (DyReturnSchedule *schedule, int64_t below_us)
{
  return below_us > 0 ? g_rand_int_range (schedule->rng, 0, (gint32) below_us) : 0;
}

static int64_t
longest_wait_us (int64_t left_us)
{
  return CLAMP (left_us / PARTS_WAITED, (int64_t) SHORT_WAIT_US, (int64_t) MAX_WAIT_US);
}

int64_t
dy_return_schedule_outage_us (DyReturnSchedule *schedule, int64_t without_us, int64_t left_us)
{
  enum
  {
    /* Leaves a fifth of the longest wait for jitter. */
    MAX_BASE_US = MAX_WAIT_US / 5 * 4,
    JITTER_PARTS = 4,
  };
  int64_t base_us = CLAMP (without_us, (int64_t) MIN_WAIT_US, (int64_t) MAX_BASE_US);
  int64_t wait_us
      = base_us + jitter_us (schedule, MAX (base_us / JITTER_PARTS, (int64_t) MIN_WAIT_US));
  return MIN (wait_us, longest_wait_us (left_us));
}

/* Takes the next place in the lane whose next one is *NEXT_US, if it is within the longest wait.
 * Returns the wait, or 0. The jitter keeps routers from telling the same times. */
static int64_t
take_place (DyReturnSchedule *schedule,
            int64_t *next_us,
            int64_t interval_us,
            int64_t longest_us,
            int64_t now_us)
{
  int64_t first_us = longest_us < MIN_WAIT_US ? SHORT_WAIT_US : MIN_WAIT_US;
  int64_t wait_us = MAX (*next_us - now_us, first_us);
  if (wait_us > longest_us)
    return 0;
  *next_us = now_us + wait_us + interval_us;
  return wait_us + jitter_us (schedule, MIN (interval_us / 2, longest_us - wait_us));
}

int64_t
dy_return_schedule_refuse (DyReturnSchedule *schedule,
                           const char *key,
                           int64_t left_us,
                           int64_t now_us)
{
  Key *known = is_valid (key, now_us) ? use_key (schedule, key, now_us) : NULL;
  if (!known)
    return 0;
  now_us = known->used_us;
  bool is_first = !known->refused || now_us - known->refused_us > RECENT_US;
  known->refused = true;
  known->refused_us = now_us;
  /* Before the first refusal, there may just have been no demand. */
  if (!known->waits)
    known->waits_us = now_us;
  known->waits = true;
  if (is_first)
    return 0;
  int64_t interval_us = grant_interval_us (known);
  int64_t without_us = now_us - known->waits_us;
  if (is_out (without_us, interval_us))
    return dy_return_schedule_outage_us (schedule, without_us, left_us);
  int64_t longest_us = longest_wait_us (left_us);
  int64_t wait_us = take_place (schedule, &known->main_us,
                                interval_us * LANE_PARTS / MAIN_LANE_PARTS, longest_us, now_us);
  /* Callers that wait as long as any leave the other lane to those with less time. */
  if (wait_us == 0 && longest_us < MAX_WAIT_US)
    wait_us = take_place (schedule, &known->short_us, interval_us * LANE_PARTS, longest_us, now_us);
  if (wait_us > 0)
    return wait_us;
  return longest_us - jitter_us (schedule, longest_us / 2);
}
