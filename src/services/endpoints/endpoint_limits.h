#ifndef DY_SERVICES_ENDPOINTS_ENDPOINT_LIMITS_H
#define DY_SERVICES_ENDPOINTS_ENDPOINT_LIMITS_H

/**
 * NAME
 *   endpoint_limits - rates that endpoints accept, known to all routers and kept by placement
 *
 * DESCRIPTION
 *   Feeds core/limit_shares with what answers say and makes placement pass over endpoints of which
 *   this router has no share left. Routers report limits as objects that
 *   dy_peers_send_object() sends:
 *
 *     limits/ENDPOINT  {"per_1000_s": n, "age_ms": n, "handovers": n}
 *       The fields of DyLimitReport. Removed: the limit has ended.
 *
 *   A router that has restarted learns the limits when its connections to the others come up, or
 *   from the first answers.
 */

#include "core/limit_shares.h"
#include "services/endpoints/directory.h"

#define DY_SERVICE_ENDPOINT_LIMITS "endpoint_limits"

typedef struct
{
  DyKernel *kernel;
  DyDirectory *directory;
  DyLimitShares shares;
  ev_timer sweep; /* forgets the limits of removed endpoints */
} DyEndpointLimits;

/* Adds the service "endpoint_limits", whose interface is a DyEndpointLimits. */
void dy_endpoint_limits_add_service (DyKernel *kernel, DyEndpointLimits *limits);

/* Takes the limit that ENDPOINT names in an answer to a request sent at SENT_US, 0 if none. */
void dy_endpoint_limits_report (DyEndpointLimits *limits,
                                const char *endpoint,
                                int64_t per_1000_s,
                                int64_t sent_us);

/* Logs and counts that the request REQUEST_ID passed over ENDPOINT because of its limit. */
void dy_endpoint_limits_log_skip (const DyEndpointLimits *limits,
                                  const char *request_id,
                                  const char *endpoint);

#endif
