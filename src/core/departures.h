#ifndef DY_CORE_DEPARTURES_H
#define DY_CORE_DEPARTURES_H

/**
 * NAME
 *   departures - endpoints that are known to have left, kept against records of a restored store
 *
 * DESCRIPTION
 *   A store that was restored from an older copy lists endpoints that have left since as if they
 *   had not. For a while after the restore, a listed record of an endpoint that is known to have
 *   left before is not taken, unless the endpoint has started again since. If it lives, it writes
 *   its record again; if not, the store removes the record.
 *
 * UNITS
 *   Times are microseconds; the module reads no clock, the time is passed in as NOW_US.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  GHashTable *by_id; /* endpoint id to its departure */
} DyDepartures;

void dy_departures_init (DyDepartures *departures);
void dy_departures_finish (DyDepartures *departures);

/* Records that the endpoint ID, started at START_MS (Unix time), is leaving or was removed. */
void dy_departures_add (DyDepartures *departures, const char *id, int64_t start_ms, int64_t now_us);

/* Records that the endpoint ID serves again. */
void dy_departures_remove (DyDepartures *departures, const char *id);

/* Returns the time until which a record of the endpoint ID, started at START_MS, listed after the
 * store was restored at RESTORED_US, is not to be taken; 0 if it may be taken now. */
int64_t dy_departures_held_until (const DyDepartures *departures,
                                  const char *id,
                                  int64_t start_ms,
                                  int64_t restored_us,
                                  int64_t now_us);

/* Drops departures that no copy of the store can predate any more. */
void dy_departures_evict (DyDepartures *departures, int64_t now_us);

#endif
