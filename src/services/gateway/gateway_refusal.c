#include "services/gateway/gateway_refusal.h"

#include "kernel/error.h"
#include "kernel/log.h"

#include <string.h>

enum
{
  RETRY_WAIT_MS = 300,      /* shortest Retry-After; up to the same again is added as jitter */
  ELSEWHERE_WAIT_MS = 20,   /* the same when another router can serve the request */
  MAX_RETRY_WAIT_MS = 4000, /* callers wait at most a third of their time limit */
  /* Added while a service is evacuated, and up to the same again as jitter: operators end
   * evacuations within seconds, not milliseconds. */
  EVACUATED_WAIT_MS = 2000,
};

/* Returns for how long the caller still waits; INT64_MAX: not limited, or there is no PLAN. The
 * route's timeout does not count, as it begins again when the caller returns. */
static int64_t
left_us (const DyGateway *gateway, const DyGatewayPlan *plan)
{
  if (!plan || plan->caller_deadline_us == INT64_MAX)
    return INT64_MAX;
  return MAX (plan->caller_deadline_us - dy_kernel_now_us (gateway->kernel), 0);
}

static bool
schedules_returns (const DyGateway *gateway)
{
  return g_strcmp0 (gateway->kernel->settings->schedule_returns, "yes") == 0;
}

/* Records that the request of PLAN found no room, if ERROR says so. Returns the time after which
 * room is expected; 0: not known. */
static int64_t
scheduled_wait_ms (DyGateway *gateway, const DyGatewayPlan *plan, int error)
{
  int64_t now_us = dy_kernel_now_us (gateway->kernel);
  int64_t wait_us = 0;
  if (error == DY_BUDGET_RESERVED)
    wait_us = dy_return_schedule_refuse (&gateway->account_returns, plan->account,
                                         left_us (gateway, plan), now_us);
  else if (error == DY_NO_ENDPOINT)
    wait_us = dy_return_schedule_refuse (&gateway->service_returns, plan->service,
                                         left_us (gateway, plan), now_us);
  return (wait_us + 999) / 1000;
}

/* Returns the milliseconds after which a refused caller, whose request has PLAN or NULL, may retry,
 * with jitter; 0 if a retry does not help or the request may have run. */
static int64_t
retry_wait_ms (DyGateway *gateway, const DyGatewayPlan *plan, int error)
{
  const DyErrorInfo *info = dy_error_info (error);
  if (info->run != DY_RUN_NOT_RUN || info->retry_after_s == 0)
    return 0;
  const DyPlatform *platform = gateway->budgets->platform;
  /* While the store is away, no other router knows later routes, either. */
  bool late = error == DY_ENDPOINTS_STALE || error == DY_EVACUATIONS_STALE
              || (error == DY_ROUTES_STALE && dy_directory_check_age (gateway->directory));
  bool elsewhere = error == DY_DRAINING || error == DY_OVERLOADED || late;
  int64_t wait_ms = elsewhere ? ELSEWHERE_WAIT_MS : RETRY_WAIT_MS;
  /* The platform outage is assumed to last as long again as it has lasted so far. */
  if (error == DY_BUDGET_UNAVAILABLE && platform->down)
    {
      int64_t down_us = dy_kernel_now_us (gateway->kernel) - platform->down_since_us;
      if (!schedules_returns (gateway))
        {
          wait_ms = CLAMP (down_us / 1000, (int64_t) RETRY_WAIT_MS, (int64_t) MAX_RETRY_WAIT_MS);
          return wait_ms + g_rand_int_range (gateway->rng, 0, (gint32) wait_ms);
        }
      int64_t wait_us = dy_return_schedule_outage_us (&gateway->account_returns, down_us,
                                                      left_us (gateway, plan));
      return (wait_us + 999) / 1000;
    }
  return wait_ms + g_rand_int_range (gateway->rng, 0, (gint32) wait_ms);
}

bool
dy_gateway_is_evacuated (const DyGateway *gateway, const char *service)
{
  return dy_placement_is_evacuated (&gateway->directory->placement, service);
}

/* Logs what REQUEST_ID met, a line for each data centre. */
static void
log_evacuated (const DyGateway *gateway, const char *request_id, const char *service)
{
  const DyPlacement *placement = &gateway->directory->placement;
  char **names = dy_evacuations_list (&placement->evacuations);
  for (char **name = names; *name; name++)
    {
      uint32_t n = dy_placement_count_in (placement, service, *name);
      if (n > 0)
        dy_log (DY_EVENT_ENDPOINTS_EVACUATED, "request=%s service=%s evacuation=%s endpoints=%u",
                request_id, service, *name, n);
    }
  g_strfreev (names);
}

int64_t
dy_gateway_take_evacuated (DyGateway *gateway, const char *request_id, const char *service)
{
  if (!dy_gateway_is_evacuated (gateway, service))
    return 0;
  log_evacuated (gateway, request_id, service);
  return EVACUATED_WAIT_MS + g_rand_int_range (gateway->rng, 0, EVACUATED_WAIT_MS);
}

void
dy_gateway_refuse (DyGateway *gateway, DyHttpCall *call, int error)
{
  dy_gateway_refuse_for (gateway, call, error, 0);
}

void
dy_gateway_refuse_for (DyGateway *gateway, DyHttpCall *call, int error, int64_t min_wait_ms)
{
  dy_gateway_refuse_request (gateway, call, NULL, error, min_wait_ms);
}

void
dy_gateway_refuse_request (
    DyGateway *gateway, DyHttpCall *call, const DyGatewayPlan *plan, int error, int64_t min_wait_ms)
{
  const DyErrorInfo *info = dy_error_info (error);
  int64_t wait_ms = retry_wait_ms (gateway, plan, error);
  /* What states its own wait tells nothing of the rate at which room appears. */
  int64_t scheduled_ms = 0;
  if (plan && wait_ms > 0 && min_wait_ms == 0 && schedules_returns (gateway))
    scheduled_ms = scheduled_wait_ms (gateway, plan, error);
  if (scheduled_ms > 0)
    {
      wait_ms = scheduled_ms;
      dy_counters_add (&gateway->kernel->counters, DY_COUNTER_RETURNS_SCHEDULED, 1);
    }
  else if (wait_ms > 0)
    wait_ms += min_wait_ms;
  char *body = g_strdup_printf ("{\"error\":{\"kind\":\"%s\",\"message\":\"%s\",\"run\":\"%s\"}}",
                                info->kind, info->text, dy_run_status_name (info->run));
  if (wait_ms > 0)
    {
      char *text = gateway->dialect->encode_retry_after (wait_ms);
      dy_http_call_add_header (call, "Retry-After", text);
      g_free (text);
    }
  dy_counters_add_refusal (&gateway->kernel->counters, error);
  dy_http_call_reply (call, info->http_status, "application/json", body, strlen (body));
  g_free (body);
}
