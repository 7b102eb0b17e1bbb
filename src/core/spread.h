#ifndef DY_CORE_SPREAD_H
#define DY_CORE_SPREAD_H

/**
 * NAME
 *   spread - the tree along which a message reaches all routers
 *
 * DESCRIPTION
 *   The router that begins a message is the root. The other live members follow in an order that
 *   all routers compute alike from the message's number, and the router at place i passes the
 *   message on to those at places i * DY_SPREAD_FANOUT + 1 to (i + 1) * DY_SPREAD_FANOUT. So each
 *   router sends a message a few times only, however large the fleet is.
 *
 *   Each message has another order, so a router that does not pass messages on, or members of which
 *   routers differ in their views, keep different routers from each message. Delivery is not
 *   certain; what must be known to all needs a later message that tells of a missed one.
 *
 * UNITS
 *   Times are microseconds; the module reads no clock, the time is passed in as NOW_US.
 */

#include "core/members.h"

enum
{
  DY_SPREAD_FANOUT = 8,
};

/* Stores the names of the routers to which this router passes on the message NUMBER of the router
 * ROOT, which may be this one, in TARGETS; they are valid until MEMBERS changes. Returns how many
 * there are, at most DY_SPREAD_FANOUT. */
uint32_t dy_spread_targets (const DyMembers *members,
                            const char *root,
                            uint64_t number,
                            int64_t now_us,
                            const char *targets[DY_SPREAD_FANOUT]);

#endif
