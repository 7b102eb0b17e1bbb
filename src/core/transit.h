#ifndef DY_CORE_TRANSIT_H
#define DY_CORE_TRANSIT_H

/**
 * NAME
 *   transit - how long messages of other routers have been on their way
 *
 * DESCRIPTION
 *   A message that says how old something is grows older on its way, by seconds where a link is
 *   full or the routers that pass it on are crowded. The clocks of routers are not comparable, but
 *   run at nearly the same rate: the time between the sending of a message, by its sender's
 *   monotonic clock, and its handling, by this router's, differs between two messages of one sender
 *   by as much as their times on the way do. The fastest message of the last minute or two stands
 *   for no delay. So a delay that has lasted for longer, or since this router started, is not seen.
 *
 * UNITS
 *   Times are microseconds; the module reads no clock.
 */

#include <glib.h>
#include <stdint.h>

typedef struct
{
  GHashTable *senders; /* incarnation of a router to what is known of its messages */
} DyTransit;

void dy_transit_init (DyTransit *transit);
void dy_transit_finish (DyTransit *transit);

/* Records a message of the router incarnation SENDER_ID. Returns by how much longer it was on its
 * way than the fastest one; 0 for the first one. */
int64_t
dy_transit_delay_us (DyTransit *transit, uint64_t sender_id, int64_t sent_us, int64_t received_us);

#endif
