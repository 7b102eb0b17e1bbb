#ifndef DY_CORE_EVACUATIONS_H
#define DY_CORE_EVACUATIONS_H

/**
 * NAME
 *   evacuations - which data centres are evacuated, and how their endpoints return
 *
 * DESCRIPTION
 *   The endpoints of an evacuated data centre get no new requests. The table holds each data centre
 *   whose evacuation is in force, and those whose evacuation ended a short time ago: their
 * endpoints return in a ramp. The share of requests that may use them rises from a tenth to all.
 *
 *   A store that was restored from an older copy may lack an evacuation that it had acknowledged.
 *   Such an evacuation is held for a while, in which it can be written again.
 *
 *   Load: one change for each act of an operator, and a look-up for each new endpoint record; the
 *   share is asked for each request while a data centre returns. The table has a few entries.
 *
 * UNITS
 *   Times are microseconds; the module reads no clock, the time is passed in as NOW_US.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  bool in_force;
  int64_t begun_us;      /* time at which this router learned of it */
  int64_t ended_us;      /* time of its end; INT64_MIN / 2 while it is in force */
  int64_t held_until_us; /* it ends then, as a restored store lacks it; INT64_MAX: it is listed */
  bool judged;           /* dy_evacuations_take_unknown() has returned true */
} DyEvacuation;

typedef struct
{
  GHashTable *by_data_centre; /* name to its DyEvacuation, owned */
} DyEvacuations;

void dy_evacuations_init (DyEvacuations *evacuations);
void dy_evacuations_finish (DyEvacuations *evacuations);

/* Records that DATA_CENTRE is evacuated, or no longer. Returns whether that changes anything. */
bool dy_evacuations_set (DyEvacuations *evacuations,
                         const char *data_centre,
                         bool evacuated,
                         int64_t now_us);

/* Returns the evacuation of DATA_CENTRE, in force or ended a short time ago; NULL: there is none.
 */
const DyEvacuation *dy_evacuations_find (const DyEvacuations *evacuations, const char *data_centre);

/* Returns the number of evacuations in force, and the names of their data centres, to be freed with
 * g_strfreev(). */
uint32_t dy_evacuations_count (const DyEvacuations *evacuations);
char **dy_evacuations_list (const DyEvacuations *evacuations);

/* Records that the list of a store restored at RESTORED_US lacks DATA_CENTRE, whose evacuation is
 * in force. Returns false if that was too long ago: the evacuation is over. */
bool dy_evacuations_hold (DyEvacuations *evacuations,
                          const char *data_centre,
                          int64_t restored_us,
                          int64_t now_us);

/* Returns a data centre whose evacuation was held long enough and is to be ended, or NULL. */
const char *dy_evacuations_find_lapsed (const DyEvacuations *evacuations, int64_t now_us);

/* Returns whether it is to be reported that DATA_CENTRE, whose evacuation is in force, is that of
 * no KNOWN endpoint or router: once for each evacuation, and not before records had time to arrive.
 */
bool dy_evacuations_take_unknown (DyEvacuations *evacuations,
                                  const char *data_centre,
                                  bool known,
                                  int64_t now_us);

/* Drops evacuations whose ramp is over. */
void dy_evacuations_evict (DyEvacuations *evacuations, int64_t now_us);

/* Returns the time at which the ramp of an evacuation that ended at ENDED_US is over. */
int64_t dy_evacuations_ramp_end_us (int64_t ended_us);

/* Returns the share of requests, up to 1, that may use endpoints of a data centre whose evacuation
 * ended at ENDED_US. */
double dy_evacuations_share (int64_t ended_us, int64_t now_us);

#endif
