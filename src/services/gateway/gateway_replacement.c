#include "kernel/error.h"
#include "kernel/log.h"
#include "kernel/priority.h"
#include "services/gateway/gateway_request_private.h"

enum
{
  /* Time in which an endpoint turns a request away, from the sending on. After it the endpoint
   * counts as having accepted the request, so that two of them do not work on it for longer. */
  ACCEPT_MS = 200,
  N_OPEN = 2, /* attempts, while there is a replacement */
};

static DyGatewayAttempt *
other_attempt (DyGatewayRequest *request)
{
  return &request->attempts[request->attempt == &request->attempts[0] ? 1 : 0];
}

static int64_t
now_us (const DyGatewayRequest *request)
{
  return dy_kernel_now_us (request->gateway->kernel);
}

static void
forget_replacement (DyGatewayRequest *request)
{
  ev_timer_stop (request->gateway->kernel->loop, &request->accept_timer);
  request->replacing = false;
  request->replacement_sent_us = 0;
}

void
dy_gateway_end_replacement (DyGatewayRequest *request)
{
  if (!request->replacing)
    return;
  DyGatewayAttempt *attempt = other_attempt (request);
  bool sent = dy_gateway_replacement_was_sent (request);
  bool ran = !dy_gateway_attempt_states_not_run (attempt);
  forget_replacement (request);
  if (!sent)
    dy_gateway_return_sending (request, attempt);
  dy_gateway_attempt_cancel (attempt, DY_PLACEMENT_CANCELLED);
  if (sent)
    dy_gateway_take_event (request, ran ? DY_COURSE_OTHER_RAN : DY_COURSE_OTHER_UNRUN, DY_OK);
}

bool
dy_gateway_replacement_was_sent (const DyGatewayRequest *request)
{
  /* Another router may have sent what it was asked for without having said so yet. */
  return request->replacing
         && (request->replacement_sent_us != 0
             || dy_gateway_attempt_was_sent (other_attempt ((DyGatewayRequest *) request)));
}

void
dy_gateway_end_refused_replacement (DyGatewayRequest *request)
{
  bool refused = request->replacing && other_attempt (request)->head_received;
  if (refused || !dy_gateway_replacement_was_sent (request))
    dy_gateway_end_replacement (request);
}

/* Abandons the silent attempt, whose place the other one takes. */
static void
take_place (DyGatewayRequest *request)
{
  forget_replacement (request);
  dy_gateway_take_event (request, DY_COURSE_REPLACED, DY_OK);
  dy_gateway_use_attempt (request, other_attempt (request));
}

void
dy_gateway_switch_attempt (DyGatewayRequest *request)
{
  forget_replacement (request);
  dy_gateway_use_attempt (request, other_attempt (request));
}

/* The other attempt is about to be sent. */
static void
on_ready (void *ctx)
{
  DyGatewayRequest *request = ctx;
  request->replacement_sent_us = now_us (request);
  ev_timer_set (&request->accept_timer, (double) ACCEPT_MS / 1000.0, 0.0);
  ev_timer_start (request->gateway->kernel->loop, &request->accept_timer);
}

/* A begun stream goes on only with a success. */
static void
on_head (void *ctx)
{
  DyGatewayRequest *request = ctx;
  const DyGatewayAttempt *attempt = other_attempt (request);
  if (attempt->is_success || (!request->stream_started && dy_gateway_attempt_is_answer (attempt)))
    take_place (request);
}

/* Only answers that turn the request away have data before the attempt takes the place. */
static bool
on_data (void *ctx, const char *data, size_t n)
{
  (void) ctx;
  (void) data;
  (void) n;
  return true;
}

static void
log_refusal (DyGatewayRequest *request, bool ran)
{
  const DyGatewayAttempt *attempt = other_attempt (request);
  dy_log (DY_EVENT_REPLACEMENT_REFUSED,
          "request=%s endpoint=%s status=%u ran=%d ms=%" G_GINT64_FORMAT
          " started=%u refused=%u allowed=%u",
          request->plan.id, attempt->endpoint_id ? attempt->endpoint_id : "-", attempt->status, ran,
          request->replacement_sent_us ? (now_us (request) - request->replacement_sent_us) / 1000
                                       : (int64_t) -1,
          request->course.n_started, request->course.n_refused, request->plan.max_attempts);
}

/* The silent attempt stays in use. */
static void
on_done (void *ctx, const DyGatewayAttemptResult *result)
{
  DyGatewayRequest *request = ctx;
  DyGatewayAttempt *attempt = other_attempt (request);
  DyCourseEvent event = dy_gateway_classify_end (request, attempt, result);
  bool ran = event != DY_COURSE_NOT_RUN && event != DY_COURSE_NOT_SENT
             && event != DY_COURSE_ENDPOINT_LEFT;
  bool sent = request->replacement_sent_us != 0 || ran;
  if (sent)
    log_refusal (request, ran);
  forget_replacement (request);
  if (!sent)
    {
      dy_gateway_return_sending (request, attempt);
      return;
    }
  dy_gateway_record_end (request, attempt, event, result);
  dy_gateway_take_event (request, ran ? DY_COURSE_OTHER_RAN : DY_COURSE_OTHER_UNRUN, DY_OK);
  dy_gateway_report_silence_again (request);
}

/* Another router can take the request, unless this one has said that it sent it on. It may have
 * done so without saying, so that counts as an attempt. */
static void
on_silent (void *ctx)
{
  DyGatewayRequest *request = ctx;
  if (request->replacement_sent_us
      || request->course.n_started + N_OPEN >= request->plan.max_attempts)
    return;
  dy_gateway_end_replacement (request);
  dy_gateway_report_silence_again (request);
}

static const DyGatewayAttemptWatcher watcher = { .placed = dy_gateway_take_placement,
                                                 .ready = on_ready,
                                                 .head = on_head,
                                                 .data = on_data,
                                                 .silent = on_silent,
                                                 .done = on_done };

void
dy_gateway_start_replacement (DyGatewayRequest *request)
{
  if (request->replacing)
    return;
  DyGatewayAttempt *attempt = other_attempt (request);
  request->replacing = dy_gateway_send_attempt (request, attempt, &watcher);
}

/* Returns whether both attempts are kept until one has an answer: no other one may follow them, and
 * neither continues what the other has begun. */
static bool
may_wait_for_both (const DyGatewayRequest *request)
{
  return request->plan.kind != DY_ROUTE_STREAM
         && request->course.n_started + N_OPEN >= request->plan.max_attempts;
}

/* A refusal whose body is not complete by now is one all the same. */
static void
on_accept_timeout (struct ev_loop *loop, ev_timer *w, int events)
{
  DyGatewayRequest *request = w->data;
  const DyGatewayAttempt *attempt = other_attempt (request);
  (void) loop;
  (void) events;
  if (attempt->head_received)
    {
      log_refusal (request, !dy_gateway_attempt_states_not_run (attempt));
      dy_gateway_end_replacement (request);
      dy_gateway_report_silence_again (request);
    }
  else if (!may_wait_for_both (request))
    take_place (request);
}

void
dy_gateway_init_replacement (DyGatewayRequest *request)
{
  ev_timer_init (&request->accept_timer, on_accept_timeout, 0.0, 0.0);
  ev_set_priority (&request->accept_timer, DY_PRIORITY_TIMEOUT);
  request->accept_timer.data = request;
}
