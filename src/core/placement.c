#include "core/placement_private.h"

#include <string.h>

const DyPlacementPolicy dy_placement_policy = {
  .ns_per_prompt_token = 20 * 1000, /* typical engine: 50 prompt tokens per millisecond */
  .us_per_running = 1000,           /* typical engine: delay of a batch per running request */
  .us_cross_data_centre = 1500,     /* a round trip between data centres of one region */
  .report_ttl_us = 1500 * 1000,  /* about the time of an answer: the reported requests have ended */
  .cache_ttl_us = 8000 * 1000,   /* a prefix unused for so long may have been evicted */
  .breaker_min_us = 400 * 1000,  /* a lost answer is cheaper than a second without the endpoint */
  .breaker_max_us = 3000 * 1000, /* a restarting endpoint is up within seconds */
};

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
  placement->by_id
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, dy_placement_endpoint_unref);
  placement->by_service = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_list);
  dy_evacuations_init (&placement->evacuations);
  placement->ramp_until_us = INT64_MIN / 2;
  placement->services = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
dy_placement_finish (DyPlacement *placement)
{
  if (!placement->by_id)
    return;
  g_hash_table_unref (placement->services);
  g_hash_table_unref (placement->by_service);
  g_hash_table_unref (placement->by_id);
  dy_evacuations_finish (&placement->evacuations);
  g_rand_free (placement->rng);
  g_free (placement->data_centre);
  memset (placement, 0, sizeof *placement);
}

static GPtrArray *
get_list (DyPlacement *placement, const char *service)
{
  GPtrArray *list = g_hash_table_lookup (placement->by_service, service);
  if (list)
    return list;
  list = g_ptr_array_new ();
  g_hash_table_insert (placement->by_service, g_strdup (service), list);
  return list;
}

/* An endpoint that restarted under the same id has an empty cache and no requests, and may be
 * healthy again. */
static void
reset_history (DyPlacementEndpoint *endpoint)
{
  g_hash_table_remove_all (endpoint->cached);
  endpoint->n_failures = 0;
  endpoint->open_until_us = 0;
  endpoint->is_silent = false;
  endpoint->other_requests = 0;
  endpoint->reported_us = 0;
  memset (&endpoint->speed, 0, sizeof endpoint->speed);
  endpoint->wait_until_us = INT64_MIN / 2;
}

void
dy_placement_set_spread (DyPlacement *placement, bool spread, uint32_t n_routers)
{
  placement->spread = spread;
  placement->n_routers = n_routers;
}

DyPlacementService *
dy_placement_service (DyPlacement *placement, const char *name)
{
  DyPlacementService *service = g_hash_table_lookup (placement->services, name);
  if (service)
    return service;
  service = g_new0 (DyPlacementService, 1);
  g_hash_table_insert (placement->services, g_strdup (name), service);
  return service;
}

void
dy_placement_set_memory (DyPlacement *placement, const char *service, int64_t memory_tokens)
{
  dy_placement_service (placement, service)->memory_tokens = memory_tokens;
}

static char *
version_of (const DyEndpointRecord *record)
{
  return record->version ? g_strdup (record->version)
                         : g_strdup_printf ("?%s:%" G_GINT64_FORMAT, record->id, record->start_ms);
}

static bool
has_shares (const DyPlacement *placement, const char *service)
{
  const GPtrArray *list = g_hash_table_lookup (placement->by_service, service);
  for (guint i = 0; list && i < list->len; i++)
    if (((const DyPlacementEndpoint *) g_ptr_array_index (list, i))->share != UINT32_MAX)
      return true;
  return false;
}

void
dy_placement_put (DyPlacement *placement, const DyEndpointRecord *record)
{
  DyPlacementEndpoint *endpoint = g_hash_table_lookup (placement->by_id, record->id);
  if (endpoint
      && (strcmp (endpoint->service, record->service) != 0
          || strcmp (endpoint->address, record->address) != 0))
    {
      dy_placement_remove (placement, record->id);
      endpoint = NULL;
    }
  if (!endpoint)
    {
      endpoint = g_new0 (DyPlacementEndpoint, 1);
      endpoint->id = g_strdup (record->id);
      endpoint->service = g_strdup (record->service);
      endpoint->address = g_strdup (record->address);
      endpoint->data_centre = g_strdup (record->data_centre);
      endpoint->n_references = 1;
      endpoint->share = has_shares (placement, record->service) ? 0 : UINT32_MAX;
      endpoint->cached = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
      g_hash_table_insert (placement->by_id, endpoint->id, endpoint);
      g_ptr_array_add (get_list (placement, record->service), endpoint);
    }
  if (record->start_ms != endpoint->start_ms)
    reset_history (endpoint);
  endpoint->start_ms = record->start_ms;
  g_free (endpoint->version);
  endpoint->version = version_of (record);
  endpoint->slots = record->slots;
  endpoint->leaving = record->leaving;
  if (strcmp (endpoint->data_centre, record->data_centre) != 0)
    {
      g_free (endpoint->data_centre);
      endpoint->data_centre = g_strdup (record->data_centre);
    }
  dy_placement_apply_evacuation (placement, endpoint);
}

void
dy_placement_set_leaving (DyPlacement *placement, const char *id, bool leaving)
{
  DyPlacementEndpoint *endpoint = g_hash_table_lookup (placement->by_id, id);
  if (endpoint)
    endpoint->leaving = leaving;
}

void
dy_placement_set_wait (DyPlacement *placement, const char *id, int64_t until_us)
{
  DyPlacementEndpoint *endpoint = g_hash_table_lookup (placement->by_id, id);
  if (endpoint)
    endpoint->wait_until_us = until_us;
}

bool
dy_placement_endpoint_waits (const DyPlacementEndpoint *endpoint, int64_t now_us)
{
  return now_us < endpoint->wait_until_us;
}

int64_t
dy_placement_wait_us (const DyPlacement *placement, const char *service, int64_t now_us)
{
  const GPtrArray *list = g_hash_table_lookup (placement->by_service, service);
  int64_t first_us = INT64_MAX;
  for (guint i = 0; list && i < list->len; i++)
    {
      const DyPlacementEndpoint *endpoint = g_ptr_array_index (list, i);
      if (!dy_placement_is_closed (endpoint))
        first_us = MIN (first_us, endpoint->wait_until_us);
    }
  return first_us == INT64_MAX ? 0 : MAX (first_us - now_us, 0);
}

void
dy_placement_set_shares (DyPlacement *placement,
                         const char *service,
                         DyPlacementShare share,
                         void *ctx)
{
  const GPtrArray *list = g_hash_table_lookup (placement->by_service, service);
  for (guint i = 0; list && i < list->len; i++)
    {
      DyPlacementEndpoint *endpoint = g_ptr_array_index (list, i);
      endpoint->share = share ? share (ctx, endpoint->id, endpoint->slots) : UINT32_MAX;
    }
}

uint32_t
dy_placement_places (const DyPlacement *placement, const char *service)
{
  const GPtrArray *list = g_hash_table_lookup (placement->by_service, service);
  uint32_t n = 0;
  for (guint i = 0; list && i < list->len; i++)
    {
      const DyPlacementEndpoint *endpoint = g_ptr_array_index (list, i);
      if (!dy_placement_is_closed (endpoint) && endpoint->share != UINT32_MAX)
        n += endpoint->share;
    }
  return n;
}

void
dy_placement_remove (DyPlacement *placement, const char *id)
{
  DyPlacementEndpoint *endpoint = g_hash_table_lookup (placement->by_id, id);
  if (!endpoint)
    return;
  endpoint->removed = true;
  g_ptr_array_remove (get_list (placement, endpoint->service), endpoint);
  g_hash_table_remove (placement->by_id, id);
}

bool
dy_placement_endpoint_has_left (const DyPlacementEndpoint *endpoint)
{
  return endpoint->leaving || endpoint->evacuated || endpoint->removed;
}

uint32_t
dy_placement_count (const DyPlacement *placement, const char *service)
{
  const GPtrArray *list = g_hash_table_lookup (placement->by_service, service);
  uint32_t n = 0;
  for (guint i = 0; list && i < list->len; i++)
    n += dy_placement_is_closed (g_ptr_array_index (list, i)) ? 0 : 1;
  return n;
}

void
dy_placement_add_gate (DyPlacement *placement, const DyPlacementGate *gate, void *ctx)
{
  dy_placement_remove_gate (placement, gate);
  g_assert (placement->n_gates < DY_PLACEMENT_MAX_GATES);
  placement->gates[placement->n_gates].gate = gate;
  placement->gates[placement->n_gates].ctx = ctx;
  placement->n_gates++;
}

void
dy_placement_remove_gate (DyPlacement *placement, const DyPlacementGate *gate)
{
  for (uint32_t i = 0; i < placement->n_gates; i++)
    if (placement->gates[i].gate == gate)
      {
        placement->gates[i] = placement->gates[--placement->n_gates];
        return;
      }
}

const DyPlacementEndpoint *
dy_placement_find (const DyPlacement *placement, const char *id)
{
  return g_hash_table_lookup (placement->by_id, id);
}

const DyPlacementEndpoint *
dy_placement_choose_for_probe (const DyPlacement *placement,
                               bool (*has_failed) (const void *ctx, const char *id),
                               const void *ctx)
{
  const DyPlacementEndpoint *chosen = NULL;
  bool chosen_failed = false;
  gint32 n_alike = 0;
  GHashTableIter iter;
  gpointer id;
  gpointer value;
  g_hash_table_iter_init (&iter, placement->by_id);
  while (g_hash_table_iter_next (&iter, &id, &value))
    {
      bool failed = has_failed (ctx, id) || ((const DyPlacementEndpoint *) value)->evacuated;
      if (chosen && failed && !chosen_failed)
        continue;
      n_alike = failed == chosen_failed ? n_alike + 1 : 1;
      chosen_failed = failed;
      if (g_rand_int_range (placement->rng, 0, n_alike) == 0)
        chosen = value;
    }
  return chosen;
}

const char *
dy_placement_endpoint_id (const DyPlacementEndpoint *endpoint)
{
  return endpoint->id;
}

int64_t
dy_placement_endpoint_start_ms (const DyPlacementEndpoint *endpoint)
{
  return endpoint->start_ms;
}

const char *
dy_placement_endpoint_service (const DyPlacementEndpoint *endpoint)
{
  return endpoint->service;
}

const char *
dy_placement_endpoint_address (const DyPlacementEndpoint *endpoint)
{
  return endpoint->address;
}

const char *
dy_placement_endpoint_version (const DyPlacementEndpoint *endpoint)
{
  return endpoint->version;
}

void
dy_placement_visit_versions (const DyPlacement *placement,
                             void (*visit) (void *ctx, const char *service, const char *version),
                             void *ctx)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, placement->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const DyPlacementEndpoint *endpoint = value;
      visit (ctx, endpoint->service, endpoint->version);
    }
}

void
dy_placement_visit (const DyPlacement *placement,
                    void (*visit) (void *ctx,
                                   const char *id,
                                   const char *service,
                                   uint32_t in_flight,
                                   bool breaker_open),
                    void *ctx,
                    int64_t now_us)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, placement->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const DyPlacementEndpoint *endpoint = value;
      visit (ctx, endpoint->id, endpoint->service, endpoint->in_flight,
             now_us < endpoint->open_until_us);
    }
}
