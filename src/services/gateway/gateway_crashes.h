#ifndef DY_SERVICES_GATEWAY_GATEWAY_CRASHES_H
#define DY_SERVICES_GATEWAY_GATEWAY_CRASHES_H

/**
 * NAME
 *   gateway_crashes - requests that are not sent because endpoints crashed under similar ones
 *
 * DESCRIPTION
 *   A request is similar to another one if it is the same request again (services/request_blocks),
 * or if their prompts share a part (services/part_blocks). A connection that broke counts as a
 * crash of the endpoint once there is evidence of that (core/crash_evidence).
 */

#include "services/gateway/gateway_plan.h"

void dy_gateway_crashes_init (DyGateway *gateway);
void dy_gateway_crashes_finish (DyGateway *gateway);

typedef struct
{
  const char *endpoint_id;
  int64_t sent_us;        /* monotonic time at which the request was sent to it */
  bool had_output;        /* part of the answer had arrived */
  bool is_new_connection; /* opened for the request */
} DyGatewayBreak;

/* Records that the connection to an endpoint broke before the answer to the request of PLAN was
 * complete. */
void dy_gateway_record_crash (DyGateway *gateway,
                              const DyGatewayPlan *plan,
                              const DyGatewayBreak *broken);

/* Records that the first part of the answer arrived. */
void dy_gateway_record_output (DyGateway *gateway, const DyGatewayPlan *plan);

/* Records that the request of PLAN had a complete answer. */
void dy_gateway_record_success (DyGateway *gateway, const DyGatewayPlan *plan);

/* Records that bytes of an answer came from ENDPOINT_ID. */
void dy_gateway_record_bytes (DyGateway *gateway, const char *endpoint_id);

/* Returns whether the request of PLAN must not be sent. If MAY_TRY, one that is blocked may be let
 * through as a trial. */
bool dy_gateway_is_blocked (DyGateway *gateway, const DyGatewayPlan *plan, bool may_try);

#endif
