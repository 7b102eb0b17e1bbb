#ifndef DY_SERVICES_GATEWAY_CRASHES_H
#define DY_SERVICES_GATEWAY_CRASHES_H

/**
 * NAME
 *   gateway_crashes - requests that are not sent because endpoints crashed under similar ones
 *
 * DESCRIPTION
 *   A request is similar to another one if it is the same request again (core/quarantine), or if
 *   their prompts share a part (services/part_blocks).
 */

#include "services/gateway_plan.h"

/* Records that the connection to ENDPOINT_ID broke before the answer to the request of PLAN was
 * complete. HAD_OUTPUT is whether part of the answer had arrived. */
void dy_gateway_record_crash (DyGateway *gateway,
                              const DyGatewayPlan *plan,
                              const char *endpoint_id,
                              bool had_output);

/* Records that the first part of the answer arrived. */
void dy_gateway_record_output (DyGateway *gateway, const DyGatewayPlan *plan);

/* Returns whether the request of PLAN must not be sent. If MAY_TRY, one with a blocked part may be
 * let through as a trial. */
bool dy_gateway_is_blocked (DyGateway *gateway, const DyGatewayPlan *plan, bool may_try);

#endif
