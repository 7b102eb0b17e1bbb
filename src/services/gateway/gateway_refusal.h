#ifndef DY_SERVICES_GATEWAY_GATEWAY_REFUSAL_H
#define DY_SERVICES_GATEWAY_GATEWAY_REFUSAL_H

/**
 * NAME
 *   gateway_refusal - the router's own error answers to callers of routed requests
 *
 * DESCRIPTION
 *   The HTTP status and the body follow from the error kind:
 *   {"error": {"kind": text, "message": text, "run": "not_run"|"ran"|"unknown"}}. An error after
 *   which the request can be sent again has a Retry-After header with jitter, so that refused
 *   callers do not retry at the same time. Its time follows from core/return_schedule if the
 * request found no room.
 */

#include "services/gateway/gateway_plan.h"

/* Answers CALL with ERROR. */
void dy_gateway_refuse (DyGateway *gateway, DyHttpCall *call, int error);

/* The same, where a retry does not help before MIN_WAIT_MS have passed. */
void dy_gateway_refuse_for (DyGateway *gateway, DyHttpCall *call, int error, int64_t min_wait_ms);

/* The same for the request of PLAN. If it found no room, Retry-After is the time until room is
 * expected. */
void dy_gateway_refuse_request (DyGateway *gateway,
                                DyHttpCall *call,
                                const DyGatewayPlan *plan,
                                int error,
                                int64_t min_wait_ms);

/* Returns whether all endpoints of SERVICE are in evacuated data centres. */
bool dy_gateway_is_evacuated (const DyGateway *gateway, const char *service);

/* Returns the time for which callers are to wait in addition as SERVICE is evacuated, and logs that
 * REQUEST_ID met this; 0 if it is not. */
int64_t dy_gateway_take_evacuated (DyGateway *gateway, const char *request_id, const char *service);

#endif
