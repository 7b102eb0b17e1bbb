#ifndef DY_SERVICES_PEERS_SPREAD_H
#define DY_SERVICES_PEERS_SPREAD_H

/**
 * NAME
 *   spread - sends an object to all routers along a tree of them
 *
 * DESCRIPTION
 *   core/spread.h describes the tree. The object is JSON text; its field
 *     "spread": {"root": name, "incarnation": I, "number": n, "sent_us": t}
 *   says who began it, and when, by the root's clock (services/peers/clocks.h). A router passes
 * each message on once. Routers of builds that don't know the field don't pass it on.
 *
 *   Delivery is not certain: what is sent must be of use only, or be repeated.
 */

#include "services/peers/clocks.h"

#include <jansson.h>

typedef struct
{
  DyKernel *kernel;
  DyPeers *peers;
  uint64_t number; /* of the latest message that this router began */
  const DyClocks *clocks;
  GHashTable *begun; /* incarnation of a root to the number of its latest message passed on */
} DySpread;

/* PEERS and CLOCKS must outlive SPREAD. */
void dy_spread_init (DySpread *spread, DyKernel *kernel, DyPeers *peers, const DyClocks *clocks);
void dy_spread_finish (DySpread *spread);

/* Sends ROOT as the object KEY to all routers. Adds the field "spread" to it. */
void dy_spread_send (DySpread *spread, const char *key, json_t *root);

/* Passes MESSAGE on, whose text is ROOT, if it was spread and this router has not passed it on. */
void dy_spread_pass_on (DySpread *spread, const DyMessage *message, const json_t *root);

/* Returns for how long at most the message ROOT, which is being handled, was on its way, or
 * DY_TRANSIT_UNKNOWN. */
int64_t dy_spread_delay_us (const DySpread *spread, const json_t *root);

#endif
