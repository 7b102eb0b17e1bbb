#ifndef DY_SERVICES_ENDPOINTS_REACHABILITY_H
#define DY_SERVICES_ENDPOINTS_REACHABILITY_H

/**
 * NAME
 *   reachability - whether this router and the others reach the endpoints
 *
 * DESCRIPTION
 *   Feeds core/reach with the connections of requests and with probes (services/link_probe), and
 *   exchanges what routers know, as objects sent by dy_peers_send_object():
 *   reach   {"node": router, "out": bool, "asks": bool}
 *   A router that asks gets the same object of each other one. One that changes tells all. A router
 *   that stops says that it is out, as nothing is to be relayed through it.
 *
 *   A router of a build that does not know this object never answers, so nothing is relayed through
 *   it.
 */

#include "core/reach.h"
#include "services/endpoints/directory.h"
#include "services/endpoints/link_probe.h"

#define DY_SERVICE_REACHABILITY "reachability"

enum
{
  DY_REACH_N_PROBES = 3, /* that are being connected at a time */
};

typedef struct
{
  struct DyReachability *reachability;
  DyLinkProbe probe;
  char *endpoint_id; /* of the probe in progress; NULL: there is none */
} DyReachProbe;

typedef struct DyReachability
{
  DyKernel *kernel;
  DyDirectory *directory;
  DyPeers *peers;
  DyReach reach;
  DyReachProbe probes[DY_REACH_N_PROBES];
  const char *source; /* local IP address of connections to endpoints; empty: any */
  ev_timer timer;
} DyReachability;

/* Adds the service "reachability", whose interface is a DyReachability. */
void dy_reachability_add_service (DyKernel *kernel, DyReachability *reachability);

/* Records that an endpoint was silent for longer than expected. */
void dy_reachability_record_silence (DyReachability *reachability);

/* Records that a new connection to ENDPOINT, begun at BEGUN_US, failed. */
void dy_reachability_record_failure (DyReachability *reachability,
                                     const char *endpoint,
                                     DyReachFailureKind kind,
                                     int64_t begun_us);

/* Records that a new connection to an endpoint worked. */
void dy_reachability_record_success (DyReachability *reachability);

/* Returns whether this router does not reach the endpoints, for certain or as another one does. */
bool dy_reachability_is_out (const DyReachability *reachability);

/* Returns whether it may not reach them: silent endpoints count, too. */
bool dy_reachability_may_be_out (const DyReachability *reachability);

/* Records that the router PEER refuses relays, as it stops. */
void dy_reachability_record_refusal (DyReachability *reachability, const char *peer);

/* Returns the name of the router to relay a request through, or NULL. AVOID (may be NULL) is chosen
 * only if there is no other one. */
const char *dy_reachability_choose_peer (const DyReachability *reachability, const char *avoid);

#endif
