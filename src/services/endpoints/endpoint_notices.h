#ifndef DY_SERVICES_ENDPOINTS_ENDPOINT_NOTICES_H
#define DY_SERVICES_ENDPOINTS_ENDPOINT_NOTICES_H

/**
 * NAME
 *   endpoint_notices - what endpoints say of themselves in their answers, known to all routers
 *
 * DESCRIPTION
 *   Feeds the notices of the directory (core/notices.h) with what answers say. Placement passes
 *   over an endpoint that has said that it leaves, as over one whose record says it, and over one
 *   that has asked this router to wait. That an endpoint leaves, routers tell each other as objects
 *   that dy_peers_send_object() sends:
 *
 *     notices/ENDPOINT  {"start_ms": n, "leaving": true, "age_ms": n}
 *       The fields of DyNotice; age_ms is the time since it was last said.
 *
 *   Services whose endpoints are brittle (core/brittle.h) are reported likewise, at most once a
 *   second:
 *
 *     brittle/SERVICE  {"refusals_per_s": n, "age_ms": n}
 *       The fields of DyBrittleService; age_ms is the time since it was last said.
 *
 *   The router that receives a notice from the endpoint sends it to all others, unless one of them
 *   has already, and sends all its notices to each router that connects, as that may have
 * restarted.
 *
 * ERRORS
 *   A header field that cannot be read is logged, once for each endpoint and field, and changes
 *   nothing. Likewise an object of another router.
 */

#include "core/brittle.h"
#include "services/endpoints/directory.h"

#define DY_SERVICE_ENDPOINT_NOTICES "endpoint_notices"

typedef struct
{
  DyKernel *kernel;
  DyDirectory *directory;
  GHashTable *reported; /* set of "ENDPOINT FIELD", the unreadable fields that were logged */
  DyBrittle brittle;
  ev_timer sweep;       /* ends notices by their age */
  ev_timer share_timer; /* sets the shares of the places of brittle endpoints */
} DyEndpointNotices;

/* Adds the service "endpoint_notices", whose interface is a DyEndpointNotices. */
void dy_endpoint_notices_add_service (DyKernel *kernel, DyEndpointNotices *notices);

/* Takes what ENDPOINT, started at START_MS, says of itself in ANSWER. */
void dy_endpoint_notices_take (DyEndpointNotices *notices,
                               const char *endpoint,
                               int64_t start_ms,
                               const DyAnswerHead *answer);

/* Takes the wait that ENDPOINT asks for in ANSWER, with which it turned away a request of this
 * router. */
void dy_endpoint_notices_take_wait (DyEndpointNotices *notices,
                                    const char *endpoint,
                                    int64_t start_ms,
                                    const DyAnswerHead *answer);

#endif
