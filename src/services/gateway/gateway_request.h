#ifndef DY_SERVICES_GATEWAY_GATEWAY_REQUEST_H
#define DY_SERVICES_GATEWAY_GATEWAY_REQUEST_H

/**
 * NAME
 *   gateway_request - one routed request from its header to the last byte of its answer
 *
 * DESCRIPTION
 *   Matches the request to a route, reserves its tokens, sends it to an endpoint, and to further
 *   ones as the resend rules allow, passes the answer on and settles the reservation. An answer is
 *   buffered and passed on when it is complete; of a stream, each event is passed on when it is
 *   complete.
 *
 * ERRORS
 *   The error that the caller gets depends on what is known of all attempts: 429 and 503 are sent
 *   only if none of them can have run. A stream that was begun is aborted instead.
 */

#include "services/gateway/gateway.h"

/* Starts the request in CALL, whose body is complete. */
void dy_gateway_request_start (DyGateway *gateway, DyHttpCall *call);

/* Has the requests of the gateway CTX go on whose first events wait, if they may by now. */
void dy_gateway_pass_held_events (void *ctx);

/* Frees the request KEY, a member of the gateway's set, without an answer to its caller. An open
 * attempt is cancelled. */
void dy_gateway_request_free (gpointer key);

#endif
