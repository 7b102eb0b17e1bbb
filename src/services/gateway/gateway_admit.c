#include "kernel/error.h"
#include "kernel/log.h"
#include "services/gateway/gateway_request_private.h"

static int64_t
now_us (const DyGatewayRequest *request)
{
  return dy_kernel_now_us (request->gateway->kernel);
}

static void
on_settled (void *ctx, int error, int64_t charged_tokens)
{
  DyGateway *gateway = ctx;
  if (error)
    dy_log (DY_EVENT_SETTLE_FAILED, "kind=%s", dy_error_info (error)->kind);
  else
    dy_counters_add (&gateway->kernel->counters, DY_COUNTER_BILLED_TOKENS, charged_tokens);
}

void
dy_gateway_settle (DyGatewayRequest *request, bool complete)
{
  DyReservations *res = &request->gateway->budgets->reservations;
  if (!request->ticket)
    return;
  int64_t output = (int64_t) request->events.n_events * request->plan.event_tokens;
  int64_t used = request->plan.prompt_tokens + MIN (output, request->plan.max_output_tokens);
  if (request->course.may_have_run)
    dy_reservations_settle (res, request->ticket, used, complete ? DY_END_COMPLETE : DY_END_PARTIAL,
                            on_settled, request->gateway, now_us (request));
  else
    dy_reservations_release (res, request->ticket, DY_END_NOT_RUN, 0, now_us (request));
  request->ticket = NULL;
}

void
dy_gateway_cancel_lookup (DyGatewayRequest *request)
{
  if (request->lookup)
    dy_origins_cancel (request->gateway->origins, request->lookup);
  request->lookup = NULL;
}

static void
on_reserved (void *ctx, int error, int64_t charged_tokens)
{
  DyGatewayRequest *request = ctx;
  (void) charged_tokens;
  if (request->reserving_us)
    dy_counters_observe (&request->gateway->kernel->counters, DY_HISTOGRAM_RESERVE,
                         now_us (request) - request->reserving_us);
  if (error)
    {
      request->ticket = NULL;
      dy_gateway_take_event (request, DY_COURSE_DENIED, error);
      return;
    }
  if (request->plan.is_prepaid)
    dy_return_schedule_grant (&request->gateway->account_returns, request->plan.account,
                              now_us (request));
  dy_resend_budget_record_request (&request->gateway->resend_budget, request->plan.service,
                                   now_us (request));
  dy_gateway_take_event (request, DY_COURSE_GRANTED, DY_OK);
}

void
dy_gateway_reserve (DyGatewayRequest *request)
{
  if (!request->plan.is_prepaid)
    {
      on_reserved (request, DY_OK, 0);
      return;
    }
  DyReservationSpec spec
      = { .account = request->plan.account,
          .tokens = request->plan.prompt_tokens + request->plan.max_output_tokens,
          .rank = request->plan.rank,
          .idempotent = true };
  request->reserving_us = now_us (request);
  dy_reservations_reserve (&request->gateway->budgets->reservations, &spec, on_reserved, request,
                           &request->ticket, now_us (request));
  if (!request->ticket)
    return;
  DyRequestId id = dy_ticket_id (request->ticket);
  const char *home = dy_ticket_home (request->ticket);
  dy_log (DY_EVENT_REQUEST_RESERVING,
          "request=%s ticket=%016" G_GINT64_MODIFIER "x:%" G_GUINT64_FORMAT
          " account=%s tokens=%" G_GINT64_FORMAT " rank=%u home=%s",
          request->plan.id, id.origin_id, id.number, request->plan.account, spec.tokens, spec.rank,
          home[0] ? home : "self");
}

/* Goes on with a resumed stream, or refuses it if its version is not known. */
static void
take_origin (DyGatewayRequest *request, const DyOriginAnswer *answer)
{
  const char *resumes = request->plan.resumes_id;
  dy_log (DY_EVENT_ORIGIN_FOUND,
          "request=%s resumes=%s service=%s version=%s source=%s router=%s age_ms=%" G_GINT64_FORMAT
          " ms=%" G_GINT64_FORMAT,
          request->plan.id, resumes ? resumes : "-", request->plan.service,
          answer->version ? answer->version : "-", answer->source,
          answer->router ? answer->router : "-", answer->age_ms,
          (now_us (request) - request->plan.arrived_us) / 1000);
  request->version = g_strdup (answer->version);
  if (!answer->version)
    dy_counters_add (&request->gateway->kernel->counters, DY_COUNTER_RESUMES_REFUSED, 1);
  dy_gateway_take_event (request, answer->version ? DY_COURSE_GRANTED : DY_COURSE_DENIED,
                         DY_ORIGIN_UNKNOWN);
}

static void
on_origin (void *ctx, const DyOriginAnswer *answer)
{
  DyGatewayRequest *request = ctx;
  request->lookup = NULL;
  take_origin (request, answer);
}

void
dy_gateway_look_up_origin (DyGatewayRequest *request)
{
  DyOriginAnswer answer;
  dy_counters_add (&request->gateway->kernel->counters, DY_COUNTER_RESUMES, 1);
  request->lookup = dy_origins_look_up (request->gateway->origins, request->plan.service,
                                        request->plan.resumes_id, on_origin, request, &answer);
  if (!request->lookup)
    take_origin (request, &answer);
}
