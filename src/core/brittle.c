#include "core/brittle.h"

enum
{
  /* Longer than an endpoint takes to start again, and to get a request. */
  HOLD_US = 10 * 1000 * 1000,
  ANNOUNCE_US = 1000 * 1000,
};

void
dy_brittle_service_free (gpointer data)
{
  DyBrittleService *service = data;
  if (!service)
    return;
  g_free (service->service);
  g_free (service);
}

void
dy_brittle_init (DyBrittle *brittle)
{
  brittle->services
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, dy_brittle_service_free);
}

void
dy_brittle_finish (DyBrittle *brittle)
{
  g_hash_table_unref (brittle->services);
}

bool
dy_brittle_take (DyBrittle *brittle,
                 const char *service,
                 int64_t refusals_per_s,
                 int64_t said_us,
                 bool from_peer)
{
  DyBrittleService *known = g_hash_table_lookup (brittle->services, service);
  bool is_new = !known;
  if (is_new)
    {
      known = g_new0 (DyBrittleService, 1);
      known->service = g_strdup (service);
      known->said_us = INT64_MIN / 2;
      known->announced_us = INT64_MIN / 2;
      known->from_peer = from_peer;
      g_hash_table_insert (brittle->services, known->service, known);
    }
  if (said_us >= known->said_us)
    known->refusals_per_s = refusals_per_s;
  known->said_us = MAX (known->said_us, said_us);
  return is_new;
}

const DyBrittleService *
dy_brittle_find (const DyBrittle *brittle, const char *service)
{
  return g_hash_table_lookup (brittle->services, service);
}

bool
dy_brittle_announce (DyBrittle *brittle, const char *service, int64_t now_us)
{
  DyBrittleService *known = g_hash_table_lookup (brittle->services, service);
  if (!known || now_us - known->announced_us < ANNOUNCE_US)
    return false;
  known->announced_us = now_us;
  return true;
}

DyBrittleService *
dy_brittle_take_ended (DyBrittle *brittle, int64_t now_us)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, brittle->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (now_us - ((const DyBrittleService *) value)->said_us > HOLD_US)
      {
        g_hash_table_iter_steal (&iter);
        return value;
      }
  return NULL;
}

uint32_t
dy_brittle_share (uint32_t slots, uint32_t n_routers, uint32_t rank)
{
  uint32_t n_users = MIN (MAX (n_routers, 1), slots);
  if (slots == 0)
    return UINT32_MAX;
  if (rank >= n_users)
    return 0;
  return slots / n_users + (rank < slots % n_users ? 1 : 0);
}
