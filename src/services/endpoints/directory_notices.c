#include "services/endpoints/directory_private.h"

static int64_t
now_us (const DyDirectory *directory)
{
  return dy_kernel_now_us (directory->kernel);
}

bool
dy_directory_take_leaving (
    DyDirectory *directory, const char *id, int64_t start_ms, int64_t said_us, bool from_peer)
{
  const DyEndpointState *state = g_hash_table_lookup (directory->endpoints, id);
  if (!dy_notices_take_leaving (&directory->notices, id, start_ms, said_us, from_peer))
    return false;
  if (state && state->start_ms == start_ms)
    {
      dy_departures_add (&directory->departures, id, start_ms, now_us (directory));
      dy_placement_set_leaving (&directory->placement, id, true);
    }
  return true;
}

void
dy_directory_take_wait (
    DyDirectory *directory, const char *id, int64_t start_ms, int64_t said_us, int64_t until_us)
{
  const DyEndpointState *state = g_hash_table_lookup (directory->endpoints, id);
  dy_notices_take_wait (&directory->notices, id, start_ms, said_us, until_us);
  if (state && state->start_ms == start_ms)
    dy_placement_set_wait (&directory->placement, id,
                           dy_notices_wait_until_us (&directory->notices, id, start_ms));
}

void
dy_directory_end_leaving (DyDirectory *directory, const char *id)
{
  const DyEndpointState *state = g_hash_table_lookup (directory->endpoints, id);
  if (!state || state->leaving)
    return;
  dy_departures_remove (&directory->departures, id);
  dy_placement_set_leaving (&directory->placement, id, false);
}

int64_t
dy_directory_start_ms (const DyDirectory *directory, const char *id)
{
  const DyEndpointState *state = g_hash_table_lookup (directory->endpoints, id);
  return state ? state->start_ms : 0;
}
