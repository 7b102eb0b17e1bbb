#include "core/evacuations.h"

enum
{
  RAMP_US = 3000 * 1000,
  /* From a restore of the store, in which the operator can write an evacuation again that the copy
   * lacks. As long as records of endpoints that left are held back, see core/departures.c. */
  HOLD_US = 6000 * 1000,
  /* Within which the records of a data centre arrive that is added and evacuated at the same time.
   */
  UNKNOWN_US = 2000 * 1000,
};

static const double FIRST_SHARE = 0.1;

void
dy_evacuations_init (DyEvacuations *evacuations)
{
  evacuations->by_data_centre = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
dy_evacuations_finish (DyEvacuations *evacuations)
{
  g_hash_table_unref (evacuations->by_data_centre);
}

static void
begin (DyEvacuations *evacuations, const char *data_centre, int64_t now_us)
{
  DyEvacuation *evacuation = g_new0 (DyEvacuation, 1);
  evacuation->in_force = true;
  evacuation->begun_us = now_us;
  evacuation->ended_us = INT64_MIN / 2;
  evacuation->held_until_us = INT64_MAX;
  g_hash_table_replace (evacuations->by_data_centre, g_strdup (data_centre), evacuation);
}

bool
dy_evacuations_set (DyEvacuations *evacuations,
                    const char *data_centre,
                    bool evacuated,
                    int64_t now_us)
{
  DyEvacuation *evacuation = g_hash_table_lookup (evacuations->by_data_centre, data_centre);
  bool in_force = evacuation && evacuation->in_force;
  if (in_force && evacuated)
    evacuation->held_until_us = INT64_MAX;
  if (in_force == evacuated)
    return false;
  if (evacuated)
    {
      begin (evacuations, data_centre, now_us);
      return true;
    }
  evacuation->in_force = false;
  evacuation->ended_us = now_us;
  return true;
}

const DyEvacuation *
dy_evacuations_find (const DyEvacuations *evacuations, const char *data_centre)
{
  return g_hash_table_lookup (evacuations->by_data_centre, data_centre);
}

uint32_t
dy_evacuations_count (const DyEvacuations *evacuations)
{
  uint32_t n = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, evacuations->by_data_centre);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    n += ((const DyEvacuation *) value)->in_force;
  return n;
}

char **
dy_evacuations_list (const DyEvacuations *evacuations)
{
  GPtrArray *names = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer name;
  gpointer value;
  g_hash_table_iter_init (&iter, evacuations->by_data_centre);
  while (g_hash_table_iter_next (&iter, &name, &value))
    if (((const DyEvacuation *) value)->in_force)
      g_ptr_array_add (names, g_strdup (name));
  g_ptr_array_add (names, NULL);
  return (char **) g_ptr_array_free (names, FALSE);
}

bool
dy_evacuations_hold (DyEvacuations *evacuations,
                     const char *data_centre,
                     int64_t restored_us,
                     int64_t now_us)
{
  DyEvacuation *evacuation = g_hash_table_lookup (evacuations->by_data_centre, data_centre);
  int64_t until_us = restored_us + HOLD_US;
  /* Known only since the restore: the restored store had it, so it was removed since. */
  if (!evacuation || !evacuation->in_force || evacuation->begun_us >= restored_us
      || now_us >= until_us)
    return false;
  evacuation->held_until_us = until_us;
  return true;
}

const char *
dy_evacuations_find_lapsed (const DyEvacuations *evacuations, int64_t now_us)
{
  GHashTableIter iter;
  gpointer data_centre;
  gpointer value;
  g_hash_table_iter_init (&iter, evacuations->by_data_centre);
  while (g_hash_table_iter_next (&iter, &data_centre, &value))
    {
      const DyEvacuation *evacuation = value;
      if (evacuation->in_force && now_us >= evacuation->held_until_us)
        return data_centre;
    }
  return NULL;
}

bool
dy_evacuations_take_unknown (DyEvacuations *evacuations,
                             const char *data_centre,
                             bool known,
                             int64_t now_us)
{
  DyEvacuation *evacuation = g_hash_table_lookup (evacuations->by_data_centre, data_centre);
  if (known || !evacuation || !evacuation->in_force || evacuation->judged
      || now_us - evacuation->begun_us < UNKNOWN_US)
    return false;
  evacuation->judged = true;
  return true;
}

static gboolean
is_over (gpointer key, gpointer value, gpointer ctx)
{
  const DyEvacuation *evacuation = value;
  (void) key;
  return !evacuation->in_force
         && *(const int64_t *) ctx >= dy_evacuations_ramp_end_us (evacuation->ended_us);
}

void
dy_evacuations_evict (DyEvacuations *evacuations, int64_t now_us)
{
  g_hash_table_foreach_remove (evacuations->by_data_centre, is_over, &now_us);
}

int64_t
dy_evacuations_ramp_end_us (int64_t ended_us)
{
  return ended_us + RAMP_US;
}

double
dy_evacuations_share (int64_t ended_us, int64_t now_us)
{
  double passed = (double) (now_us - ended_us) / (double) RAMP_US;
  return CLAMP (FIRST_SHARE + (1.0 - FIRST_SHARE) * passed, FIRST_SHARE, 1.0);
}
