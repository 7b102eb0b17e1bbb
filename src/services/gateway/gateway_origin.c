#include "kernel/log.h"
#include "services/gateway/gateway_request.h"
#include "services/gateway/gateway_request_private.h"

enum
{
  /* For streams without a time limit of the caller, the time for which they may be resumed; for
   * others the time after the limit, as clocks are read at different places. */
  UNLIMITED_RESUME_US = 60 * 1000 * 1000,
  RESUME_MARGIN_US = 2 * 1000 * 1000,
};

static int64_t
now_us (const DyGatewayRequest *request)
{
  return dy_kernel_now_us (request->gateway->kernel);
}

/* Returns whether the next event is the first one of a stream that its caller may resume. */
static bool
is_to_begin (const DyGatewayRequest *request)
{
  return request->plan.kind == DY_ROUTE_STREAM && request->plan.repeatable && !request->version;
}

const char *
dy_gateway_required_version (const DyGatewayRequest *request)
{
  return is_to_begin (request)
             ? dy_origins_required_version (request->gateway->origins, request->plan.service)
             : request->version;
}

bool
dy_gateway_holds_first_event (DyGatewayRequest *request)
{
  DyGateway *gateway = request->gateway;
  const DyGatewayAttempt *attempt = request->attempt;
  bool held = request->held;
  request->held
      = is_to_begin (request) && attempt->version
        && !dy_origins_may_begin (gateway->origins, request->plan.service, attempt->version);
  gateway->holds_events = gateway->holds_events || request->held;
  if (request->held && !held)
    dy_log (DY_EVENT_FIRST_EVENT_HELD, "request=%s endpoint=%s version=%s", request->plan.id,
            attempt->endpoint_id, attempt->version);
  return request->held;
}

void
dy_gateway_pass_held_events (void *ctx)
{
  DyGateway *gateway = ctx;
  if (!gateway->holds_events)
    return;
  GList *requests = g_hash_table_get_keys (gateway->requests);
  gateway->holds_events = false;
  for (GList *l = requests; l; l = l->next)
    {
      DyGatewayRequest *request = l->data;
      if (!g_hash_table_contains (gateway->requests, request) || !request->held)
        continue;
      if (dy_course_has_attempt (&request->course))
        dy_gateway_attempt_resume (request->attempt);
    }
  g_list_free (requests);
}

void
dy_gateway_record_origin (const DyGatewayRequest *request)
{
  if (!is_to_begin (request))
    return;
  int64_t deadline_us = request->plan.caller_deadline_us;
  DyStreamOrigin origin
      = { .request_id = request->plan.id,
          .service = request->plan.service,
          .version = request->attempt->version,
          .known_us = now_us (request),
          .expires_us = deadline_us == INT64_MAX ? now_us (request) + UNLIMITED_RESUME_US
                                                 : deadline_us + RESUME_MARGIN_US };
  dy_origins_record (request->gateway->origins, &origin);
}
