#ifndef DY_SERVICES_GATEWAY_GATEWAY_PLAN_H
#define DY_SERVICES_GATEWAY_GATEWAY_PLAN_H

/**
 * NAME
 *   gateway_plan - service, client account, deadlines and token counts of a routed request
 *
 * DESCRIPTION
 *   A plan is built once from the call and the route table in force. It copies what it needs, as a
 *   newer table may replace that one while the request runs.
 *
 * ERRORS
 *   DY_DRAINING      the router is about to stop
 *   DY_STARTING      no route table or no endpoints are known yet
 *   DY_NOT_FOUND     no route matches the host and path
 *   DY_UNAUTHORIZED  the route is not public and the bearer key belongs to none of the accounts
 *   DY_NO_ENDPOINT   the route has no service, or all endpoints of the service are evacuated
 */

#include "services/gateway/gateway.h"

typedef struct DyGatewayPlan
{
  char *id;      /* request id; empty: none */
  char *account; /* name; NULL: none */
  char *service;
  char *resume_from; /* id of the last event that the caller received; NULL: none */
  char *resumes_id;  /* id of the request that brought the stream's first event; NULL: not stated */
  DyRouteKind kind;
  bool repeatable;          /* idempotent, or a resumable stream */
  bool is_prepaid;          /* its tokens are reserved before it runs */
  uint32_t max_attempts;    /* most attempts that may run; at least 1 */
  uint32_t priority;        /* at endpoints; 0 is the most urgent */
  uint32_t rank;            /* for reservations of the same account; 0 is the most urgent */
  int64_t target_ms;        /* target for the time to the answer or to the first event; 0: none */
  int64_t max_event_gap_ms; /* target for the longest gap between events; 0: none */
  int64_t arrived_us;       /* monotonic time at which the request line was read */
  /* Monotonic time until which the caller waits; INT64_MAX: not limited. */
  int64_t caller_deadline_us;
  /* Earlier of caller_deadline_us and the end of the route's timeout; INT64_MAX: not limited. */
  int64_t end_us;
  uint64_t routes_version;   /* of the route table that the plan was made with */
  int64_t prompt_tokens;     /* 0: not a model request */
  int64_t max_output_tokens; /* 0: not stated */
  uint32_t event_tokens;     /* tokens in one event of a stream; at least 1 */
  DyPromptWork work;
  uint64_t parts[DY_MAX_PROMPT_PARTS]; /* ids of the parts of the prompt but the last, in order */
  uint32_t n_parts;
  uint64_t body_hash; /* of method, target, bearer key and body; the same for a caller's retry */
} DyGatewayPlan;

/* Builds the plan of the request in CALL. Returns DY_OK or an error; after an error only the plan's
 * id is set. The plan must be finished in either case. */
int dy_gateway_plan_init (DyGatewayPlan *plan, DyGateway *gateway, DyHttpCall *call);
void dy_gateway_plan_finish (DyGatewayPlan *plan);

#endif
