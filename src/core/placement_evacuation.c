#include "core/placement_private.h"

#include <string.h>

void
dy_placement_apply_evacuation (const DyPlacement *placement, DyPlacementEndpoint *endpoint)
{
  const DyEvacuation *evacuation
      = dy_evacuations_find (&placement->evacuations, endpoint->data_centre);
  endpoint->evacuated = evacuation && evacuation->in_force;
  endpoint->returned_us = evacuation ? evacuation->ended_us : INT64_MIN / 2;
}

bool
dy_placement_set_evacuated (DyPlacement *placement,
                            const char *data_centre,
                            bool evacuated,
                            int64_t now_us)
{
  GHashTableIter iter;
  gpointer value;
  if (!dy_evacuations_set (&placement->evacuations, data_centre, evacuated, now_us))
    return false;
  if (!evacuated)
    placement->ramp_until_us = MAX (placement->ramp_until_us, dy_evacuations_ramp_end_us (now_us));
  g_hash_table_iter_init (&iter, placement->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      DyPlacementEndpoint *endpoint = value;
      if (strcmp (endpoint->data_centre, data_centre) == 0)
        dy_placement_apply_evacuation (placement, endpoint);
    }
  return true;
}

uint32_t
dy_placement_count_in (const DyPlacement *placement, const char *service, const char *data_centre)
{
  GHashTableIter iter;
  gpointer value;
  uint32_t n = 0;
  g_hash_table_iter_init (&iter, placement->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const DyPlacementEndpoint *endpoint = value;
      n += strcmp (endpoint->data_centre, data_centre) == 0
           && (!service || strcmp (endpoint->service, service) == 0);
    }
  return n;
}

uint32_t
dy_placement_count_evacuated (const DyPlacement *placement, const char *service)
{
  const GPtrArray *list = g_hash_table_lookup (placement->by_service, service);
  uint32_t n = 0;
  for (guint i = 0; list && i < list->len; i++)
    {
      const DyPlacementEndpoint *endpoint = g_ptr_array_index (list, i);
      n += endpoint->evacuated && !endpoint->leaving;
    }
  return n;
}

bool
dy_placement_is_evacuated (const DyPlacement *placement, const char *service)
{
  return dy_placement_count (placement, service) == 0
         && dy_placement_count_evacuated (placement, service) > 0;
}

bool
dy_placement_endpoint_is_evacuated (const DyPlacementEndpoint *endpoint)
{
  return endpoint->evacuated;
}

static bool
is_returning (const DyPlacementEndpoint *endpoint, int64_t now_us)
{
  return now_us < dy_evacuations_ramp_end_us (endpoint->returned_us);
}

void
dy_placement_hold_back (DyPlacement *placement, const DyPlacementQuery *query, int64_t now_us)
{
  const GPtrArray *list = g_hash_table_lookup (placement->by_service, query->service);
  if (!list || now_us >= placement->ramp_until_us)
    return;
  double draw = g_rand_double (placement->rng);
  for (guint i = 0; i < list->len; i++)
    {
      DyPlacementEndpoint *endpoint = g_ptr_array_index (list, i);
      endpoint->held_back = is_returning (endpoint, now_us)
                            && draw >= dy_evacuations_share (endpoint->returned_us, now_us);
    }
  /* A request that no other endpoint can take is not refused for the ramp. */
  if (!dy_placement_has_choice (placement, query, now_us))
    dy_placement_end_hold_back (placement, query);
}

void
dy_placement_end_hold_back (DyPlacement *placement, const DyPlacementQuery *query)
{
  const GPtrArray *list = g_hash_table_lookup (placement->by_service, query->service);
  for (guint i = 0; list && i < list->len; i++)
    ((DyPlacementEndpoint *) g_ptr_array_index (list, i))->held_back = false;
}
