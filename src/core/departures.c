#include "core/departures.h"

enum
{
  /* From the restore: an endpoint that lives has written its record again, and the store has
   * removed the record of one that does not, after three heartbeat intervals. */
  HOLD_US = 6 * 1000 * 1000,
  RETENTION_US = 60 * 1000 * 1000, /* longer than a copy of the store is old */
};

typedef struct
{
  int64_t start_ms;
  int64_t left_us;
} Departure;

void
dy_departures_init (DyDepartures *departures)
{
  departures->by_id = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
dy_departures_finish (DyDepartures *departures)
{
  g_hash_table_unref (departures->by_id);
}

void
dy_departures_add (DyDepartures *departures, const char *id, int64_t start_ms, int64_t now_us)
{
  Departure *departure = g_hash_table_lookup (departures->by_id, id);
  if (!departure)
    {
      departure = g_new0 (Departure, 1);
      departure->left_us = now_us;
      g_hash_table_insert (departures->by_id, g_strdup (id), departure);
    }
  departure->start_ms = start_ms;
}

void
dy_departures_remove (DyDepartures *departures, const char *id)
{
  g_hash_table_remove (departures->by_id, id);
}

int64_t
dy_departures_held_until (const DyDepartures *departures,
                          const char *id,
                          int64_t start_ms,
                          int64_t restored_us,
                          int64_t now_us)
{
  const Departure *departure = g_hash_table_lookup (departures->by_id, id);
  int64_t until_us = restored_us + HOLD_US;
  if (!departure || start_ms > departure->start_ms || departure->left_us >= restored_us
      || now_us >= until_us)
    return 0;
  return until_us;
}

static gboolean
is_old (gpointer key, gpointer value, gpointer ctx)
{
  const Departure *departure = value;
  const int64_t *now_us = ctx;
  (void) key;
  return *now_us - departure->left_us > RETENTION_US;
}

void
dy_departures_evict (DyDepartures *departures, int64_t now_us)
{
  g_hash_table_foreach_remove (departures->by_id, is_old, &now_us);
}
