#ifndef DY_CORE_TRANSIT_H
#define DY_CORE_TRANSIT_H

/**
 * NAME
 *   transit - how long messages of other routers have been on their way
 *
 * DESCRIPTION
 *   A message that says how old something is grows older on its way, by seconds where a link is
 *   full or the routers that pass it on are crowded. The clocks of routers are not comparable,
 *   but run at nearly the same rate. So routers ask each other for their clocks: what the other
 *   one read was read after the question was sent, so its clock is behind this one's by no less
 *   than the difference of the two readings. A message is taken to have been on its way for the
 *   longest time that agrees with that. Of the exchanges of the last minute or two, the one
 *   counts that bounds this most closely; without one, the time is not known.
 *
 * UNITS
 *   Times are microseconds; the module reads no clock.
 */

#include <glib.h>
#include <stdint.h>

enum
{
  DY_TRANSIT_UNKNOWN = -1,
};

typedef struct
{
  GHashTable *senders; /* incarnation of a router to what is known of its clock */
} DyTransit;

void dy_transit_init (DyTransit *transit);
void dy_transit_finish (DyTransit *transit);

/* Records that the router incarnation SENDER_ID read its clock as CLOCK_US, when asked by a
 * question sent at ASKED_US. */
void dy_transit_record_exchange (DyTransit *transit,
                                 uint64_t sender_id,
                                 int64_t asked_us,
                                 int64_t clock_us);

/* Returns for how long at most a message was on its way that SENDER_ID sent at SENT_US by its own
 * clock and that was received at RECEIVED_US, or DY_TRANSIT_UNKNOWN. */
int64_t dy_transit_delay_us (const DyTransit *transit,
                             uint64_t sender_id,
                             int64_t sent_us,
                             int64_t received_us);

#endif
