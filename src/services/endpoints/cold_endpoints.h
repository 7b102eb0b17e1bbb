#ifndef DY_SERVICES_ENDPOINTS_COLD_ENDPOINTS_H
#define DY_SERVICES_ENDPOINTS_COLD_ENDPOINTS_H

/**
 * NAME
 *   cold_endpoints - requests that the fleet sends to cold endpoints, kept below what they tolerate
 *
 * DESCRIPTION
 *   Feeds core/cold_share with the endpoints' records and answers, and makes placement pass over
 *   cold endpoints of which this router has no share left. Routers exchange no messages for this:
 *   all read the same records, and each computes its share by the routers that may run.
 *
 *   Each attempt takes a place when its endpoint is chosen and gives it back when it is sent or
 *   ends, also if it is a second one, or made for another router.
 *
 *   In force where the setting cold_overage is above 0, for services whose endpoints have a cold
 *   time and tolerate a limited rate in it.
 *
 * ERRORS
 *   A cold time of an endpoint that cannot be used is logged once and counts as that of its
 *   service; a time or rate of a service that cannot be used is logged once and counts as missing.
 */

#include "core/cold_share.h"
#include "services/endpoints/directory.h"

#define DY_SERVICE_COLD_ENDPOINTS "cold_endpoints"

typedef struct
{
  DyKernel *kernel;
  DyDirectory *directory;
  DyColdShares shares;
  GHashTable *cold; /* set of the ids of the cold endpoints, as last logged */
  GHashTable
      *settled; /* set of the services that have an endpoint which is neither cold nor in ramp */
  GHashTable *reported; /* set of "KIND=NAME" whose cold time cannot be used, which was logged */
  ev_timer sweep;       /* finds endpoints that are warm and forgets removed ones */
} DyColdEndpoints;

/* Adds the service "cold_endpoints", whose interface is a DyColdEndpoints. */
void dy_cold_endpoints_add_service (DyKernel *kernel, DyColdEndpoints *cold);

/* Takes the cold time COLD_MS that ENDPOINT, started at START_MS, states in an answer; -1: none. */
void dy_cold_endpoints_take_answer (DyColdEndpoints *cold,
                                    const char *endpoint,
                                    int64_t start_ms,
                                    int64_t cold_ms);

/* As dy_cold_shares_reserve(), dy_cold_shares_send() and dy_cold_shares_cancel(). */
bool dy_cold_endpoints_reserve (DyColdEndpoints *cold, const char *endpoint, int64_t start_ms);
bool dy_cold_endpoints_send (DyColdEndpoints *cold,
                             const char *endpoint,
                             int64_t start_ms,
                             bool reserved);
void dy_cold_endpoints_cancel (DyColdEndpoints *cold, const char *endpoint, int64_t start_ms);

/* Returns the time until this router may send one more request to a cold endpoint of SERVICE after
 * N_WAITING others; INT64_MAX: it has no share of any, or as many as it may send wait. */
int64_t dy_cold_endpoints_room_us (DyColdEndpoints *cold, const char *service, uint32_t n_waiting);

/* Logs and counts that the request REQUEST_ID passed over ENDPOINT, if that is because it is cold.
 */
void
dy_cold_endpoints_log_skip (DyColdEndpoints *cold, const char *request_id, const char *endpoint);

#endif
