#ifndef DY_CORE_RETURN_SCHEDULE_H
#define DY_CORE_RETURN_SCHEDULE_H

/**
 * NAME
 *   return_schedule - when a caller that was refused for want of room is to come back
 *
 * DESCRIPTION
 *   Handles bursts of several times the room. Callers with the same Retry-After return together and
 *   are refused again.
 *
 *   A key is what has the room: a client account or a service. The schedule counts the grants of a
 *   key in the last two seconds, and spaces the returns so that no more are due in a second than
 *   grants were made. Three quarters of the returns are in the main lane. The others are for
 *   callers that have too little time left to wait for a place in the main lane, as callers wait
 *   for a third of the time that they have left at most. If neither lane has a place in time, the
 *   caller is to return late in the time for which it waits.
 *
 *   A key that has had no grant for a while may have none for as long again.
 *
 *   At most DY_RETURN_SCHEDULE_KEYS keys are known. Idle ones are evicted when another is needed;
 *   while there is none, nothing is known of a new key.
 *
 * UNITS
 *   Times are microseconds. The module reads no clock; the time is passed in as NOW_US.
 */

#include <glib.h>
#include <stdint.h>

enum
{
  DY_RETURN_SCHEDULE_KEYS = 256,
};

typedef struct
{
  GHashTable *keys; /* name to Key, see return_schedule.c */
  GRand *rng;
} DyReturnSchedule;

void dy_return_schedule_init (DyReturnSchedule *schedule, uint32_t seed);
void dy_return_schedule_finish (DyReturnSchedule *schedule);

/* Records that a request of KEY got room. KEY NULL: no effect. */
void dy_return_schedule_grant (DyReturnSchedule *schedule, const char *key, int64_t now_us);

/* Records that a request of KEY, whose caller waits for LEFT_US more (INT64_MAX: not limited), is
 * refused. Returns the wait to tell the caller; 0: nothing is known, as KEY had no refusal in the
 * last seconds before this one. */
int64_t dy_return_schedule_refuse (DyReturnSchedule *schedule,
                                   const char *key,
                                   int64_t left_us,
                                   int64_t now_us);

/* Returns the wait, with jitter, to tell a caller that waits for LEFT_US more if there has been no
 * room for WITHOUT_US. */
int64_t
dy_return_schedule_outage_us (DyReturnSchedule *schedule, int64_t without_us, int64_t left_us);

#endif
