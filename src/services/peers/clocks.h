#ifndef DY_SERVICES_PEERS_CLOCKS_H
#define DY_SERVICES_PEERS_CLOCKS_H

/**
 * NAME
 *   clocks - the clocks of other routers, and whether this router is on time
 *
 * DESCRIPTION
 *   Each router asks the others for their clocks, when the connection comes up and from time to
 *   time, by objects that dy_peers_send_object() sends:
 *
 *     clock/ask   {"asked_us": t}
 *     clock/tell  {"asked_us": t, "incarnation": I, "clock_us": c}
 *       The reply: T as in the question, the incarnation that replies and its clock.
 *
 *   From that core/transit knows how long messages were on their way. A reply that comes soon
 *   also shows that this router is on time: neither its event loop nor its link holds up what
 *   comes. So does a new connection to an endpoint. Routers of builds that don't know the
 *   question are of an unknown clock.
 *
 *   The clock is dy_kernel_boot_us(), as VMs may be suspended.
 */

#include "core/transit.h"
#include "services/peers/peers.h"

typedef struct
{
  DyKernel *kernel;
  DyPeers *peers;
  DyTransit transit;
  GHashTable *asked; /* router name to when it was last asked, and whether it replied soon */
  /* The latest time for which one quick round trip followed another; INT64_MIN / 2: none. */
  int64_t on_time_since_us;
  int64_t on_time_until_us;
  int64_t tested_us; /* time of the latest dy_clocks_test() that asked */
  uint32_t n_tests;
  ev_timer timer;
} DyClocks;

/* Watches PEERS, which must outlive CLOCKS. */
void dy_clocks_init (DyClocks *clocks, DyKernel *kernel, DyPeers *peers);
void dy_clocks_finish (DyClocks *clocks);

/* Returns for how long at most a message was on its way that the router incarnation ID sent at
 * SENT_US by its clock and that is handled now, or DY_TRANSIT_UNKNOWN. */
int64_t dy_clocks_delay_us (const DyClocks *clocks, uint64_t id, int64_t sent_us);

/* Asks some routers now, so that on_time_until_us is up to date soon if this router is on time. */
void dy_clocks_test (DyClocks *clocks);

/* Records that something outside this VM, asked at BEGUN_US, has replied now. */
void dy_clocks_record_round_trip (DyClocks *clocks, int64_t begun_us);

#endif
