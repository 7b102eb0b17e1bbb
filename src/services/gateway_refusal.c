#include "services/gateway_refusal.h"

#include "kernel/error.h"

#include <string.h>

enum
{
  RETRY_WAIT_MS = 300,      /* base of the Retry-After of refusals; the same again is jitter */
  MOVE_WAIT_MS = 20,        /* the same of refusals after which another router can serve at once */
  MAX_RETRY_WAIT_MS = 4000, /* callers wait at most a third of their time */
};

/* Returns the wait after which a refused caller may come back, spread so that refused callers do
 * not come back together; 0 when coming back does not help. */
static int64_t
retry_wait_ms (DyGateway *gateway, int error)
{
  const DyErrorInfo *info = dy_error_info (error);
  if (info->run != DY_RUN_NOT_RUN || info->retry_after_s == 0)
    return 0;
  const DyPlatform *platform = gateway->budgets->platform;
  int64_t wait_ms = error == DY_DRAINING ? MOVE_WAIT_MS : RETRY_WAIT_MS;
  /* Of an outage nothing is known but its age; it is taken to last as long again. */
  if (error == DY_BUDGET_UNAVAILABLE && platform->down)
    wait_ms = CLAMP ((dy_kernel_now_us (gateway->kernel) - platform->down_since_us) / 1000,
                     (int64_t) RETRY_WAIT_MS, (int64_t) MAX_RETRY_WAIT_MS);
  return wait_ms + g_rand_int_range (gateway->rng, 0, (gint32) wait_ms);
}

void
dy_gateway_refuse (DyGateway *gateway, DyHttpCall *call, int error)
{
  const DyErrorInfo *info = dy_error_info (error);
  int64_t wait_ms = retry_wait_ms (gateway, error);
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
