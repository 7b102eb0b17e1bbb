#include "core/placement.h"

#include <string.h>
#include <xxhash.h>

struct DyPlacementEndpoint
{
  char *id;
  char *service;
  char *address;
  char *data_centre;
  uint32_t slots;
  int64_t start_ms;
  bool leaving;
  uint32_t n_references; /* the table's and those of requests */
  uint32_t in_flight;
  int64_t unread_tokens; /* of prompts that it was sent and has not read */
  uint32_t others;       /* requests of other routers by its last report */
  int64_t reported_us;
  uint32_t n_failures; /* in a row */
  int64_t paused_until_us;
  GHashTable *cached; /* prefix hash to the time of its latest use */
};

enum
{
  FAILURES_TO_PAUSE = 2,     /* a single failure may be the request's or the path's fault */
  MAX_CACHED_PREFIXES = 512, /* more sessions than one endpoint serves within the cache life */
  FULL_PAUSE_US = 50 * 1000, /* an answer takes about this long, then a place is free */
};

const DyPlacementPolicy dy_placement_policy = {
  .ns_per_prompt_token = 20 * 1000, /* typical engine: 50 prompt tokens a millisecond */
  .us_per_running = 1000,           /* typical engine: a running request slows a batch by this */
  .us_cross_data_centre = 1500,     /* a round trip between data centres of one region */
  .report_ttl_us = 1500 * 1000,  /* about as long as an answer: the requests told of have ended */
  .cache_ttl_us = 8000 * 1000,   /* a part unused for so long may have been dropped */
  .breaker_min_us = 400 * 1000,  /* one lost answer costs less than a second of an endpoint */
  .breaker_max_us = 3000 * 1000, /* an endpoint that starts again is up within seconds */
};

static void
unref_placed (gpointer data)
{
  DyPlacementEndpoint *placed = data;
  if (--placed->n_references > 0)
    return;
  g_hash_table_unref (placed->cached);
  g_free (placed->id);
  g_free (placed->service);
  g_free (placed->address);
  g_free (placed->data_centre);
  g_free (placed);
}

static void
free_list (gpointer list)
{
  g_ptr_array_unref (list);
}

void
dy_placement_init (DyPlacement *placement,
                   const DyPlacementPolicy *policy,
                   const char *data_centre,
                   uint32_t seed)
{
  memset (placement, 0, sizeof *placement);
  placement->policy = *policy;
  placement->data_centre = g_strdup (data_centre);
  placement->rng = g_rand_new_with_seed (seed);
  placement->by_id = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, unref_placed);
  placement->by_service = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_list);
}

void
dy_placement_finish (DyPlacement *placement)
{
  if (!placement->by_id)
    return;
  g_hash_table_unref (placement->by_service);
  g_hash_table_unref (placement->by_id);
  g_rand_free (placement->rng);
  g_free (placement->data_centre);
  memset (placement, 0, sizeof *placement);
}

static GPtrArray *
list_of (DyPlacement *placement, const char *service)
{
  GPtrArray *list = g_hash_table_lookup (placement->by_service, service);
  if (list)
    return list;
  list = g_ptr_array_new ();
  g_hash_table_insert (placement->by_service, g_strdup (service), list);
  return list;
}

/* An endpoint that started again under its id holds nothing of before. */
static void
forget_past (DyPlacementEndpoint *placed)
{
  g_hash_table_remove_all (placed->cached);
  placed->n_failures = 0;
  placed->paused_until_us = 0;
  placed->others = 0;
}

void
dy_placement_put (DyPlacement *placement, const DyEndpointRecord *record)
{
  DyPlacementEndpoint *placed = g_hash_table_lookup (placement->by_id, record->id);
  if (placed
      && (strcmp (placed->service, record->service) != 0
          || strcmp (placed->address, record->address) != 0))
    {
      dy_placement_remove (placement, record->id);
      placed = NULL;
    }
  if (!placed)
    {
      placed = g_new0 (DyPlacementEndpoint, 1);
      placed->id = g_strdup (record->id);
      placed->service = g_strdup (record->service);
      placed->address = g_strdup (record->address);
      placed->data_centre = g_strdup (record->data_centre);
      placed->n_references = 1;
      placed->cached = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
      g_hash_table_insert (placement->by_id, placed->id, placed);
      g_ptr_array_add (list_of (placement, record->service), placed);
    }
  if (record->start_ms != placed->start_ms)
    forget_past (placed);
  placed->start_ms = record->start_ms;
  placed->slots = record->slots;
  placed->leaving = record->leaving;
}

void
dy_placement_remove (DyPlacement *placement, const char *id)
{
  DyPlacementEndpoint *placed = g_hash_table_lookup (placement->by_id, id);
  if (!placed)
    return;
  g_ptr_array_remove (list_of (placement, placed->service), placed);
  g_hash_table_remove (placement->by_id, id);
}

uint32_t
dy_placement_count (const DyPlacement *placement, const char *service)
{
  const GPtrArray *list = g_hash_table_lookup (placement->by_service, service);
  uint32_t n = 0;
  for (guint i = 0; list && i < list->len; i++)
    n += ((const DyPlacementEndpoint *) g_ptr_array_index (list, i))->leaving ? 0 : 1;
  return n;
}

static bool
is_avoided (const DyPlacementEndpoint *placed, const char *const *avoid)
{
  for (; avoid && *avoid; avoid++)
    if (strcmp (*avoid, placed->id) == 0)
      return true;
  return false;
}

static uint64_t
rank_of (const DyPlacementEndpoint *placed, uint64_t prefix_hash)
{
  return XXH3_64bits_withSeed (placed->id, strlen (placed->id), prefix_hash);
}

/* Returns the endpoint that caches the prefix by agreement of all routers. */
static const DyPlacementEndpoint *
find_cacher (const GPtrArray *list, uint64_t prefix_hash, int64_t now_us)
{
  const DyPlacementEndpoint *best = NULL;
  uint64_t best_rank = 0;
  for (guint i = 0; prefix_hash && i < list->len; i++)
    {
      const DyPlacementEndpoint *placed = g_ptr_array_index (list, i);
      uint64_t rank = rank_of (placed, prefix_hash);
      if (placed->leaving || now_us < placed->paused_until_us || (best && rank <= best_rank))
        continue;
      best = placed;
      best_rank = rank;
    }
  return best;
}

static bool
has_cached (const DyPlacement *placement,
            const DyPlacementEndpoint *placed,
            uint64_t prefix_hash,
            int64_t now_us)
{
  const int64_t *used_us = g_hash_table_lookup (placed->cached, &prefix_hash);
  return used_us && now_us - *used_us < placement->policy.cache_ttl_us;
}

/* Returns the requests at PLACED: those of this router, and of others as far as known. */
static double
load_of (const DyPlacement *placement, const DyPlacementEndpoint *placed, int64_t now_us)
{
  double age = (double) (now_us - placed->reported_us) / (double) placement->policy.report_ttl_us;
  double weight = placed->reported_us == 0 || age >= 1.0 ? 0.0 : 1.0 - age;
  return (double) placed->in_flight + weight * (double) placed->others;
}

static int64_t
predict_us (const DyPlacement *placement,
            const DyPlacementEndpoint *placed,
            const DyPromptWork *work,
            bool cached,
            int64_t now_us)
{
  const DyPlacementPolicy *policy = &placement->policy;
  int64_t tokens = placed->unread_tokens + work->own_tokens + (cached ? 0 : work->shared_tokens);
  double load = load_of (placement, placed, now_us);
  double us = (double) tokens * (double) policy->ns_per_prompt_token / 1e3
              + load * (double) policy->us_per_running;
  /* Requests beyond the slots wait for one of them to end. */
  if (placed->slots > 0 && load >= (double) placed->slots)
    us += (load + 1.0 - (double) placed->slots) * (double) policy->us_per_running * 10.0;
  if (strcmp (placed->data_centre, placement->data_centre) != 0)
    us += (double) policy->us_cross_data_centre;
  return (int64_t) us;
}

static DyPlacementEndpoint *
first_to_resume (const GPtrArray *list, const char *const *avoid)
{
  DyPlacementEndpoint *best = NULL;
  for (guint i = 0; i < list->len; i++)
    {
      DyPlacementEndpoint *placed = g_ptr_array_index (list, i);
      if (placed->leaving || is_avoided (placed, avoid))
        continue;
      if (!best || placed->paused_until_us < best->paused_until_us)
        best = placed;
    }
  return best;
}

DyPlacementEndpoint *
dy_placement_choose (DyPlacement *placement,
                     const DyPlacementQuery *question,
                     int64_t now_us,
                     int64_t *predicted_us)
{
  const GPtrArray *list = g_hash_table_lookup (placement->by_service, question->service);
  DyPlacementEndpoint *best = NULL;
  int64_t best_us = 0;
  if (!list || list->len == 0)
    return NULL;
  const DyPlacementEndpoint *cacher = find_cacher (list, question->work.prefix_hash, now_us);
  guint first = (guint) g_rand_int_range (placement->rng, 0, (gint32) list->len);
  for (guint i = 0; i < list->len; i++)
    {
      DyPlacementEndpoint *placed = g_ptr_array_index (list, (first + i) % list->len);
      if (placed->leaving || now_us < placed->paused_until_us
          || is_avoided (placed, question->avoid))
        continue;
      bool cached
          = placed == cacher || has_cached (placement, placed, question->work.prefix_hash, now_us);
      int64_t us = predict_us (placement, placed, &question->work, cached, now_us);
      if (best && us >= best_us)
        continue;
      best = placed;
      best_us = us;
    }
  if (!best)
    best = first_to_resume (list, question->avoid);
  if (predicted_us)
    *predicted_us = best_us;
  return best;
}

static gboolean
is_old (gpointer key, gpointer value, gpointer ctx)
{
  (void) key;
  return *(const int64_t *) value < *(const int64_t *) ctx;
}

static void
remember_prefix (const DyPlacement *placement,
                 DyPlacementEndpoint *placed,
                 uint64_t prefix_hash,
                 int64_t now_us)
{
  int64_t oldest_us = now_us - placement->policy.cache_ttl_us;
  if (!prefix_hash)
    return;
  if (g_hash_table_size (placed->cached) >= MAX_CACHED_PREFIXES)
    g_hash_table_foreach_remove (placed->cached, is_old, &oldest_us);
  if (g_hash_table_size (placed->cached) < MAX_CACHED_PREFIXES)
    g_hash_table_insert (placed->cached, g_memdup2 (&prefix_hash, sizeof prefix_hash),
                         g_memdup2 (&now_us, sizeof now_us));
}

void
dy_placement_begin (DyPlacement *placement,
                    DyPlacementEndpoint *placed,
                    const DyPromptWork *work,
                    int64_t now_us)
{
  placed->n_references++;
  placed->in_flight++;
  placed->unread_tokens += work->own_tokens;
  remember_prefix (placement, placed, work->prefix_hash, now_us);
}

void
dy_placement_prompt_read (DyPlacementEndpoint *placed, const DyPromptWork *work)
{
  placed->unread_tokens -= work->own_tokens;
}

void
dy_placement_report (DyPlacementEndpoint *placed,
                     uint32_t running,
                     uint32_t waiting,
                     int64_t now_us)
{
  uint32_t all = running + waiting;
  placed->others = all > placed->in_flight ? all - placed->in_flight : 0;
  placed->reported_us = now_us;
}

static void
pause_placed (const DyPlacement *placement, DyPlacementEndpoint *placed, int64_t now_us)
{
  const DyPlacementPolicy *policy = &placement->policy;
  uint32_t doublings = MIN (placed->n_failures - 1, 10);
  int64_t pause_us = MIN (policy->breaker_min_us << doublings, policy->breaker_max_us);
  placed->paused_until_us = now_us + pause_us;
}

static void
note_end (const DyPlacement *placement,
          DyPlacementEndpoint *placed,
          DyPlacementOutcome end,
          int64_t now_us)
{
  switch (end)
    {
    case DY_PLACEMENT_ANSWERED:
      placed->n_failures = 0;
      placed->paused_until_us = 0;
      break;
    case DY_PLACEMENT_FULL:
      placed->paused_until_us = MAX (placed->paused_until_us, now_us + FULL_PAUSE_US);
      break;
    case DY_PLACEMENT_FAILED:
      placed->n_failures++;
      if (placed->n_failures >= FAILURES_TO_PAUSE)
        pause_placed (placement, placed, now_us);
      break;
    case DY_PLACEMENT_UNREACHABLE:
      placed->n_failures++;
      pause_placed (placement, placed, now_us);
      break;
    case DY_PLACEMENT_MISDIRECTED:
      placed->n_failures++;
      placed->paused_until_us = now_us + placement->policy.breaker_max_us;
      break;
    case DY_PLACEMENT_CANCELLED:
      break;
    }
}

void
dy_placement_end (DyPlacement *placement,
                  DyPlacementEndpoint *placed,
                  const DyPromptWork *work,
                  bool was_read,
                  DyPlacementOutcome end,
                  int64_t now_us)
{
  placed->in_flight--;
  if (!was_read)
    dy_placement_prompt_read (placed, work);
  note_end (placement, placed, end, now_us);
  unref_placed (placed);
}

const char *
dy_placement_endpoint_id (const DyPlacementEndpoint *placed)
{
  return placed->id;
}

const char *
dy_placement_endpoint_address (const DyPlacementEndpoint *placed)
{
  return placed->address;
}

void
dy_placement_visit (
    const DyPlacement *placement,
    void (*visit) (void *ctx, const char *id, const char *service, uint32_t in_flight, bool paused),
    void *ctx,
    int64_t now_us)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, placement->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const DyPlacementEndpoint *placed = value;
      visit (ctx, placed->id, placed->service, placed->in_flight, now_us < placed->paused_until_us);
    }
}
