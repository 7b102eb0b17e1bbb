#ifndef DY_SERVICES_GATEWAY_SHEDDING_H
#define DY_SERVICES_GATEWAY_SHEDDING_H

/**
 * NAME
 *   shedding - measures the load of this router and tells the other ones
 *
 * DESCRIPTION
 *   Takes a sample four times a second, passes it to core/router_load, and states the load in
 *   objects "router-load" to the other routers: to those of the same data centre when it differs
 *   much, to all of them when this router is no longer to get new duties, or is again. Records what
 *   the others state in peers->members.
 *
 *   Does nothing unless the setting shed_load is on; what others state is recorded nevertheless, as
 *   they rely on it for the choice of homes.
 *
 * ERRORS
 *   The first statement of a process that cannot be read is logged; all of them are ignored.
 */

#include "core/router_load.h"
#include "kernel/loop_monitor.h"
#include "services/peers/peers.h"

#define DY_SERVICE_SHEDDING "shedding"

typedef struct
{
  DyKernel *kernel;
  DyPeers *peers;
  DyLoopMonitor *loop_monitor; /* set before the start */
  bool enabled;
  bool rejected; /* a statement of another router could not be read */
  DyRouterLoad load;
  DyRouterLoadOthers others; /* as of the latest sample */
  ev_timer timer;
  /* Set by the gateway: fills in the number of open requests and what waits to be sent, and returns
   * whether the router is ready for all reasons but its load. */
  bool (*measure) (void *ctx, DyRouterLoadSample *sample);
  void *measure_ctx;
} DyShedding;

/* Adds the service "shedding", whose interface is a DyShedding. */
void dy_shedding_add_service (DyKernel *kernel, DyShedding *shedding);

/* Records that a complete request waited for WAITED_US until it was handled. */
void dy_shedding_record_wait (DyShedding *shedding, int64_t waited_us);

/* Records a request of PRIORITY. Returns whether it is to be refused, which is counted. */
bool dy_shedding_refuses (DyShedding *shedding, uint32_t priority);

/* Returns whether the load permits to report that this router is ready. */
bool dy_shedding_is_ready (const DyShedding *shedding);

/* Records that the readiness probe got the answer that this router is not ready. */
void dy_shedding_record_denial (DyShedding *shedding);

/* Returns whether the connection of an answer that is about to begin is to be closed at its end,
 * which is counted. */
bool dy_shedding_closes_next (DyShedding *shedding);

#endif
