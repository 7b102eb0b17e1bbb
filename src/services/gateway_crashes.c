#include "services/gateway_crashes.h"

#include "kernel/log.h"

static void
log_crash (const DyGatewayPlan *plan, const char *endpoint_id, bool had_output)
{
  GString *parts = g_string_new (plan->n_parts ? NULL : "-");
  for (uint32_t i = 0; i < plan->n_parts; i++)
    g_string_append_printf (parts, "%s%" G_GINT64_MODIFIER "x", i ? "," : "", plan->parts[i]);
  dy_log (DY_EVENT_ENDPOINT_CRASHED, "request=%s endpoint=%s output=%d parts=%s", plan->id,
          endpoint_id, had_output, parts->str);
  g_string_free (parts, TRUE);
}

void
dy_gateway_record_crash (DyGateway *gateway,
                         const DyGatewayPlan *plan,
                         const char *endpoint_id,
                         bool had_output)
{
  log_crash (plan, endpoint_id, had_output);
  dy_gateway_report_crash (gateway, plan->body_hash);
  if (!had_output)
    dy_part_blocks_report_crash (gateway->part_blocks, endpoint_id, plan->parts, plan->n_parts);
}

void
dy_gateway_record_output (DyGateway *gateway, const DyGatewayPlan *plan)
{
  dy_part_blocks_report_output (gateway->part_blocks, plan->parts, plan->n_parts);
}

bool
dy_gateway_is_blocked (DyGateway *gateway, const DyGatewayPlan *plan, bool may_try)
{
  int64_t now_us = dy_kernel_now_us (gateway->kernel);
  return dy_quarantine_blocks (&gateway->quarantine, plan->body_hash, now_us)
         || dy_part_blocks_refuse (gateway->part_blocks, plan->id, plan->parts, plan->n_parts,
                                   may_try);
}
