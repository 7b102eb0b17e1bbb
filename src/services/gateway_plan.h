#ifndef DY_SERVICES_GATEWAY_PLAN_H
#define DY_SERVICES_GATEWAY_PLAN_H

/**
 * NAME
 *   gateway_plan - what a routed request is: its route, client account, times and tokens
 *
 * DESCRIPTION
 *   Made once from the call and the route table in force, and not changed after, as a newer table
 *   may replace the one it was made from.
 */

#include "services/gateway.h"

typedef struct
{
  char *id;
  char *account; /* NULL: public */
  char *service;
  char *resume_from; /* event that the caller has; NULL: none */
  DyRouteKind kind;
  bool repeatable; /* idempotent, or a stream that may be resumed */
  bool is_prepaid; /* its tokens are reserved before it runs */
  uint32_t max_attempts;
  uint32_t priority; /* at endpoints */
  uint32_t rank;     /* among the requests of its account */
  int64_t target_ms;
  int64_t max_event_gap_ms;
  int64_t arrived_us;
  int64_t caller_deadline_us; /* of the caller; INT64_MAX: none */
  int64_t end_us;             /* when the caller is told that there is no answer */
  int64_t prompt_tokens;
  int64_t max_output_tokens;
  uint32_t event_tokens;
  DyPromptWork work;
  uint64_t body_hash;
} DyGatewayPlan;

/* Makes the plan of the request in CALL. Returns DY_OK, or why it cannot be routed; the plan then
 * holds the request's id alone. */
int dy_gateway_plan_init (DyGatewayPlan *plan, DyGateway *gateway, DyHttpCall *call);
void dy_gateway_plan_finish (DyGatewayPlan *plan);

#endif
