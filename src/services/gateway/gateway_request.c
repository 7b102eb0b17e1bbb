#include "services/gateway/gateway_request.h"

#include "kernel/error.h"
#include "kernel/log.h"
#include "kernel/priority.h"
#include "services/gateway/gateway_crashes.h"
#include "services/gateway/gateway_refusal.h"
#include "services/gateway/gateway_request_private.h"

enum
{
  /* Limits on what is kept in memory until an answer, or an event of a stream, is complete. */
  MAX_ANSWER_BYTES = 4 * 1024 * 1024,
  MAX_EVENT_BYTES = 256 * 1024,
  RESEND_PAUSE_MS = 150,
  ROOM_PAUSE_MS = 10, /* between looks for a place at an endpoint */
  AT_ONCE_MS = 1,
};

static int64_t
now_us (const DyGatewayRequest *request)
{
  return dy_kernel_now_us (request->gateway->kernel);
}

static void
count (const DyGatewayRequest *request, DyCounter counter)
{
  dy_counters_add (&request->gateway->kernel->counters, counter, 1);
}

static void
remove_request (DyGatewayRequest *request)
{
  DyGateway *gateway = request->gateway;
  g_hash_table_remove (gateway->requests, request);
  dy_counters_set (&gateway->kernel->counters, DY_COUNTER_IN_FLIGHT,
                   g_hash_table_size (gateway->requests));
}

static void
stop_timers (DyGatewayRequest *request)
{
  ev_timer_stop (request->gateway->kernel->loop, &request->deadline_timer);
  ev_timer_stop (request->gateway->kernel->loop, &request->read_timer);
  ev_timer_stop (request->gateway->kernel->loop, &request->resend_timer);
}

/* Counts the request among those that wait for a place at an endpoint, or no longer. */
static void
set_room_wait (DyGatewayRequest *request, bool waits)
{
  DyGateway *gateway = request->gateway;
  if (waits == request->waits_for_room)
    return;
  request->waits_for_room = waits;
  gateway->n_room_waits += waits ? 1 : -1;
  if (waits)
    dy_counters_add (&gateway->kernel->counters, DY_COUNTER_ROOM_WAITS, 1);
}

/* Settles and ends the request, which is freed once its call is closed, too. */
static void
end_request (DyGatewayRequest *request, bool complete)
{
  stop_timers (request);
  set_room_wait (request, false);
  dy_gateway_cancel_lookup (request);
  dy_gateway_end_replacement (request);
  dy_gateway_settle (request, complete);
  if (!request->call)
    remove_request (request);
}

/* Returns the milliseconds until the request's time limit; -1: not limited. */
static int64_t
left_ms (const DyGatewayRequest *request)
{
  if (request->plan.end_us == INT64_MAX)
    return -1;
  return MAX ((request->plan.end_us - now_us (request)) / 1000, 0);
}

static void
log_end (const DyGatewayRequest *request, const char *outcome)
{
  dy_log (DY_EVENT_REQUEST_ENDED,
          "request=%s account=%s service=%s outcome=%s ms=%" G_GINT64_FORMAT
          " started=%u refused=%u events=%" G_GUINT64_FORMAT " send_ms=%" G_GINT64_FORMAT
          " status=%u begun=%d left_ms=%" G_GINT64_FORMAT " routes_version=%" G_GUINT64_FORMAT,
          request->plan.id, request->plan.account ? request->plan.account : "-",
          request->plan.service, outcome, (now_us (request) - request->plan.arrived_us) / 1000,
          request->course.n_started, request->course.n_refused, request->events.n_events,
          request->attempt->send_us < 0 ? -1 : request->attempt->send_us / 1000,
          request->attempt->status, request->stream_started, left_ms (request),
          request->plan.routes_version);
}

/* Returns for how long the endpoints of the service want no request, or none of this router as they
 * are cold, or are evacuated, if that is why none was chosen. */
static int64_t
wait_ms (const DyGatewayRequest *request, int error)
{
  DyGateway *gateway = request->gateway;
  const DyPlacement *placement = &gateway->directory->placement;
  if (error != DY_NO_ENDPOINT)
    return 0;
  int64_t evacuated_ms
      = dy_gateway_take_evacuated (gateway, request->plan.id, request->plan.service);
  int64_t wait_us = dy_placement_wait_us (placement, request->plan.service, now_us (request));
  int64_t cold_us
      = dy_cold_endpoints_room_us (gateway->cold, request->plan.service, gateway->n_room_waits);
  /* If this router has no share of the cold endpoints, others have one. */
  return MAX (evacuated_ms, MAX (wait_us, cold_us == INT64_MAX ? 0 : cold_us) / 1000);
}

/* Answers with the error, or ends a stream that was begun so that it does not look complete. */
static void
fail_request (DyGatewayRequest *request, const DyCourseStep *step)
{
  /* What is known may have grown too old since the request was planned. */
  int late = step->error == DY_NO_ENDPOINT ? dy_directory_check_age (request->gateway->directory)
                                           : DY_OK;
  int error = late ? late : step->error;
  log_end (request, dy_error_info (error)->kind);
  if (step->action == DY_COURSE_ABORT)
    {
      count (request, DY_COUNTER_BROKEN);
      dy_http_call_abort (request->call);
    }
  else
    dy_gateway_refuse_request (request->gateway, request->call, &request->plan, error,
                               wait_ms (request, error));
  end_request (request, false);
}

/* Ends the request of a caller that has left, whose call may still be open. */
static void
drop_request (DyGatewayRequest *request)
{
  count (request, DY_COUNTER_CANCELLED);
  log_end (request, "caller_left");
  if (request->call)
    dy_http_call_abort (request->call);
  end_request (request, false);
}

static void
copy_answer_headers (DyGatewayRequest *request)
{
  const DyGatewayAttempt *attempt = request->attempt;
  for (guint i = 0; i + 1 < attempt->headers->len; i += 2)
    dy_http_call_add_header (request->call, g_ptr_array_index (attempt->headers, i),
                             g_ptr_array_index (attempt->headers, i + 1));
}

static void
start_stream (DyGatewayRequest *request)
{
  if (request->stream_started)
    return;
  request->stream_started = true;
  dy_gateway_record_origin (request);
  if (!request->version)
    request->version = g_strdup (request->attempt->version);
  copy_answer_headers (request);
  dy_http_call_start_stream (request->call, request->attempt->status, NULL);
}

static void
observe (const DyGatewayRequest *request, DyHistogram histogram, int64_t since_us)
{
  dy_counters_observe (&request->gateway->kernel->counters, histogram, now_us (request) - since_us);
}

static bool
expects_events (const DyGatewayRequest *request)
{
  return request->plan.kind == DY_ROUTE_STREAM && request->attempt->is_success;
}

static void
finish_answer (DyGatewayRequest *request)
{
  static const DyHistogram histograms[] = { [DY_ROUTE_IDEMPOTENT] = DY_HISTOGRAM_ANSWER_IDEMPOTENT,
                                            [DY_ROUTE_AT_MOST_ONCE] = DY_HISTOGRAM_ANSWER_ONCE,
                                            [DY_ROUTE_STREAM] = DY_HISTOGRAM_ANSWER_STREAM };
  count (request, DY_COUNTER_ANSWERED);
  observe (request, histograms[request->plan.kind], request->plan.arrived_us);
  /* A place is free again. Requests that an endpoint turned away had none. */
  if (request->attempt->is_success)
    dy_return_schedule_grant (&request->gateway->service_returns, request->plan.service,
                              now_us (request));
  log_end (request, "answered");
  if (expects_events (request))
    {
      start_stream (request);
      dy_http_call_end (request->call);
    }
  else
    {
      copy_answer_headers (request);
      dy_http_call_reply (request->call, request->attempt->status, NULL, request->body->str,
                          request->body->len);
    }
  end_request (request, true);
}

/* MS 0: the silence is not reported. */
static void
set_read_timer (DyGatewayRequest *request, int64_t ms)
{
  struct ev_loop *loop = request->gateway->kernel->loop;
  ev_timer_stop (loop, &request->read_timer);
  if (ms == 0)
    return;
  ev_timer_set (&request->read_timer, (double) ms / 1000.0, 0.0);
  ev_timer_start (loop, &request->read_timer);
}

static void
arm_read_timer (DyGatewayRequest *request)
{
  set_read_timer (request, dy_gateway_read_timeout_ms (request));
}

void
dy_gateway_report_silence_again (DyGatewayRequest *request)
{
  set_read_timer (request, RESEND_PAUSE_MS);
}

static bool
on_attempt_data (void *ctx, const char *data, size_t n)
{
  DyGatewayRequest *request = ctx;
  if (dy_gateway_attempt_is_answer (request->attempt))
    dy_gateway_end_replacement (request);
  if (!expects_events (request))
    {
      if (request->body->len + n > MAX_ANSWER_BYTES)
        dy_gateway_attempt_reject (request->attempt);
      else
        g_string_append_len (request->body, data, (gssize) n);
      return true;
    }
  if (!request->stream_started && dy_gateway_holds_first_event (request))
    return false;
  if (request->call
      && dy_http_call_unsent_bytes (request->call) >= request->gateway->server.buffer_bytes)
    return false;
  dy_event_stream_feed (&request->events, data, n, request->body);
  if (dy_event_stream_partial_bytes (&request->events) > MAX_EVENT_BYTES)
    {
      dy_gateway_attempt_reject (request->attempt);
      return true;
    }
  if (request->body->len == 0 || !request->call)
    return true;
  if (request->stream_started)
    observe (request, DY_HISTOGRAM_EVENT_GAP, request->event_us);
  else
    observe (request, DY_HISTOGRAM_FIRST_EVENT, request->plan.arrived_us);
  request->event_us = now_us (request);
  dy_gateway_take_event (request, DY_COURSE_DATA, DY_OK);
  start_stream (request);
  if (!request->attempt->prompt_read)
    dy_gateway_record_output (request->gateway, &request->plan);
  dy_gateway_attempt_on_first_event (request->attempt);
  dy_gateway_attempt_on_events (request->attempt, request->events.n_events);
  dy_http_call_write (request->call, request->body->str, request->body->len);
  g_string_truncate (request->body, 0);
  arm_read_timer (request);
  return true;
}

/* For a relayed attempt, the other router does this. */
static void
record_crash (const DyGatewayRequest *request,
              const DyGatewayAttempt *attempt,
              bool is_new_connection)
{
  DyGatewayBreak broken = { .endpoint_id = attempt->endpoint_id,
                            .sent_us = attempt->placed_us,
                            .had_output = attempt->prompt_read,
                            .is_new_connection = is_new_connection };
  if (attempt->endpoint)
    dy_gateway_record_crash (request->gateway, &request->plan, &broken);
}

DyCourseEvent
dy_gateway_classify_end (const DyGatewayRequest *request,
                         const DyGatewayAttempt *attempt,
                         const DyGatewayAttemptResult *result)
{
  if (result->endpoint_left)
    return DY_COURSE_ENDPOINT_LEFT;
  if (!result->complete && result->outcome == DY_ATTEMPT_NOT_SENT)
    return DY_COURSE_NOT_SENT;
  if (!result->complete && result->outcome == DY_ATTEMPT_NOT_RUN)
    return DY_COURSE_NOT_RUN;
  bool is_stream = request->plan.kind == DY_ROUTE_STREAM && attempt->is_success;
  if (!result->complete || (is_stream && !dy_event_stream_at_boundary (&request->events)))
    return DY_COURSE_BROKEN;
  if (attempt->is_success)
    return DY_COURSE_ANSWERED;
  return result->endpoint_error ? DY_COURSE_FAILED : DY_COURSE_DECLINED;
}

void
dy_gateway_record_end (const DyGatewayRequest *request,
                       const DyGatewayAttempt *attempt,
                       DyCourseEvent event,
                       const DyGatewayAttemptResult *result)
{
  if (event == DY_COURSE_BROKEN && (result->crashed || result->complete))
    record_crash (request, attempt, result->is_new_connection);
}

static void
on_attempt_done (void *ctx, const DyGatewayAttemptResult *result)
{
  DyGatewayRequest *request = ctx;
  DyGateway *gateway = request->gateway;
  DyCourseEvent event = dy_gateway_classify_end (request, request->attempt, result);
  ev_timer_stop (gateway->kernel->loop, &request->read_timer);
  dy_gateway_end_refused_replacement (request);
  if (event == DY_COURSE_NOT_SENT || event == DY_COURSE_ENDPOINT_LEFT)
    dy_gateway_return_sending (request, request->attempt);
  dy_gateway_record_end (request, request->attempt, event, result);
  if (event == DY_COURSE_ANSWERED)
    dy_gateway_record_success (gateway, &request->plan);
  if (event == DY_COURSE_ANSWERED && !expects_events (request))
    dy_gateway_record_output (gateway, &request->plan);
  dy_gateway_take_event (request, event, DY_OK);
}

/* A request that may be repeated does not wait for its read timeout. */
static void
on_attempt_silent (void *ctx)
{
  DyGatewayRequest *request = ctx;
  if (ev_is_active (&request->read_timer))
    set_read_timer (request, AT_ONCE_MS);
}

static const DyGatewayAttemptWatcher attempt_watcher = { .placed = dy_gateway_take_placement,
                                                         .data = on_attempt_data,
                                                         .silent = on_attempt_silent,
                                                         .done = on_attempt_done };

/* Drops what the latest attempt has brought of an answer, or of an event, that is not complete. */
static void
drop_partial_answer (DyGatewayRequest *request)
{
  dy_event_stream_drop_partial (&request->events);
  g_string_truncate (request->body, 0);
}

void
dy_gateway_use_attempt (DyGatewayRequest *request, DyGatewayAttempt *attempt)
{
  request->attempt = attempt;
  attempt->watcher = &attempt_watcher;
  drop_partial_answer (request);
  arm_read_timer (request);
}

static void
send_attempt (DyGatewayRequest *request)
{
  if (dy_http_call_is_disconnected (request->call))
    {
      dy_gateway_take_event (request, DY_COURSE_CALLER_LEFT, DY_OK);
      return;
    }
  drop_partial_answer (request);
  if (!dy_gateway_send_attempt (request, request->attempt, &attempt_watcher))
    {
      dy_gateway_take_event (request, DY_COURSE_NO_ENDPOINT, DY_OK);
      return;
    }
  set_room_wait (request, false);
  dy_gateway_take_event (request, DY_COURSE_STARTED, DY_OK);
  arm_read_timer (request);
}

static void
log_abandoned (const DyGatewayRequest *request)
{
  count (request, DY_COUNTER_ABANDONED);
  dy_log (DY_EVENT_ATTEMPT_ABANDONED,
          "request=%s endpoint=%s silence_ms=%" G_GINT64_FORMAT
          " attempt=%u allowed=%u left_ms=%" G_GINT64_FORMAT,
          request->plan.id, request->attempt->endpoint_id ? request->attempt->endpoint_id : "-",
          dy_gateway_read_timeout_ms (request), request->course.n_started,
          request->plan.max_attempts, left_ms (request));
}

/* The endpoints may have recovered after the pause, or one may have a place. */
static void
pause_before_attempt (DyGatewayRequest *request)
{
  int64_t pause_ms = request->waits_for_room ? ROOM_PAUSE_MS : RESEND_PAUSE_MS;
  ev_timer_set (&request->resend_timer, (double) pause_ms / 1000.0, 0.0);
  ev_timer_start (request->gateway->kernel->loop, &request->resend_timer);
}

void
dy_gateway_take_event (DyGatewayRequest *request, DyCourseEvent event, int error)
{
  DyCourseSituation situation = dy_gateway_situation (request, event, error);
  DyCourseStep step = dy_course_step (&request->course, event, &situation);
  if (step.abandons && event == DY_COURSE_REPLACED)
    log_abandoned (request);
  if (step.abandons)
    {
      bool failed = event == DY_COURSE_REPLACED || event == DY_COURSE_DEADLINE;
      if (!dy_gateway_attempt_was_sent (request->attempt))
        dy_gateway_return_sending (request, request->attempt);
      dy_gateway_attempt_cancel (request->attempt,
                                 failed ? DY_PLACEMENT_FAILED : DY_PLACEMENT_CANCELLED);
    }
  switch (step.action)
    {
    case DY_COURSE_WAIT:
      break;
    case DY_COURSE_RESERVE:
      dy_gateway_reserve (request);
      break;
    case DY_COURSE_SEND:
      send_attempt (request);
      break;
    case DY_COURSE_REPLACE:
      dy_gateway_start_replacement (request);
      break;
    case DY_COURSE_SWITCH:
      dy_gateway_switch_attempt (request);
      break;
    case DY_COURSE_PAUSE:
      set_room_wait (request, situation.has_place_soon || request->waits_for_room);
      pause_before_attempt (request);
      break;
    case DY_COURSE_PASS_ON:
      finish_answer (request);
      break;
    case DY_COURSE_REFUSE:
    case DY_COURSE_ABORT:
      fail_request (request, &step);
      break;
    case DY_COURSE_DROP:
      drop_request (request);
      break;
    }
}

static void
on_resend_pause_over (struct ev_loop *loop, ev_timer *w, int events)
{
  (void) loop;
  (void) events;
  dy_gateway_take_event (w->data, DY_COURSE_PAUSE_OVER, DY_OK);
}

static void
on_deadline (struct ev_loop *loop, ev_timer *w, int events)
{
  (void) loop;
  (void) events;
  dy_gateway_take_event (w->data, DY_COURSE_DEADLINE, DY_OK);
}

static void
on_read_timeout (struct ev_loop *loop, ev_timer *w, int events)
{
  DyGatewayRequest *request = w->data;
  (void) loop;
  (void) events;
  if (!request->attempt->paused)
    dy_gateway_take_event (request, DY_COURSE_SILENT, DY_OK);
  arm_read_timer (request);
}

static void
on_call_drained (void *ctx, DyHttpCall *call)
{
  DyGatewayRequest *request = ctx;
  (void) call;
  if (dy_course_has_attempt (&request->course))
    dy_gateway_attempt_resume (request->attempt);
}

static void
on_call_closed (void *ctx, DyHttpCall *call, bool complete)
{
  DyGatewayRequest *request = ctx;
  (void) call;
  (void) complete;
  request->call = NULL;
  if (request->course.state == DY_COURSE_OVER)
    remove_request (request);
  else
    dy_gateway_take_event (request, DY_COURSE_CALLER_LEFT, DY_OK);
}

static void
on_call_stopped (void *ctx, DyHttpCall *call)
{
  (void) call;
  dy_gateway_take_event (ctx, DY_COURSE_STOP, DY_OK);
}

static const DyHttpCallWatcher call_watcher
    = { .drained = on_call_drained, .stopped = on_call_stopped, .closed = on_call_closed };

void
dy_gateway_request_free (gpointer key)
{
  DyGatewayRequest *request = key;
  stop_timers (request);
  dy_gateway_cancel_lookup (request);
  dy_gateway_end_replacement (request);
  if (dy_course_has_attempt (&request->course))
    dy_gateway_attempt_cancel (request->attempt, DY_PLACEMENT_CANCELLED);
  dy_course_step (&request->course, DY_COURSE_STOP, &(DyCourseSituation){ 0 });
  dy_event_stream_finish (&request->events);
  g_string_free (request->body, TRUE);
  g_free (request->version);
  g_ptr_array_unref (request->tried);
  dy_gateway_attempt_finish (&request->attempts[0]);
  dy_gateway_attempt_finish (&request->attempts[1]);
  dy_gateway_plan_finish (&request->plan);
  g_free (request);
}

static void
start_timers (DyGatewayRequest *request)
{
  ev_timer_init (&request->deadline_timer, on_deadline, 0.0, 0.0);
  ev_timer_init (&request->read_timer, on_read_timeout, 0.0, 0.0);
  ev_timer_init (&request->resend_timer, on_resend_pause_over, 0.0, 0.0);
  dy_gateway_init_replacement (request);
  ev_set_priority (&request->deadline_timer, DY_PRIORITY_TIMEOUT);
  ev_set_priority (&request->read_timer, DY_PRIORITY_TIMEOUT);
  request->deadline_timer.data = request;
  request->read_timer.data = request;
  request->resend_timer.data = request;
  if (request->plan.end_us == INT64_MAX)
    return;
  double left_s = (double) (request->plan.end_us - now_us (request)) / 1e6;
  ev_timer_set (&request->deadline_timer, MAX (left_s, 0.0), 0.0);
  ev_timer_start (request->gateway->kernel->loop, &request->deadline_timer);
}

/* Takes ownership of what PLAN holds. */
static DyGatewayRequest *
new_request (DyGateway *gateway, DyHttpCall *call, const DyGatewayPlan *plan)
{
  DyGatewayRequest *request = g_new0 (DyGatewayRequest, 1);
  request->gateway = gateway;
  request->call = call;
  request->plan = *plan;
  request->attempt = &request->attempts[0];
  request->tried = g_ptr_array_new_with_free_func (g_free);
  g_ptr_array_add (request->tried, NULL);
  dy_event_stream_init (&request->events);
  request->body = g_string_new (NULL);
  dy_course_init (&request->course, plan->kind == DY_ROUTE_STREAM && plan->resume_from,
                  plan->repeatable, plan->max_attempts);
  request->course.has_deadline = plan->end_us != INT64_MAX;
  start_timers (request);
  return request;
}

void
dy_gateway_request_start (DyGateway *gateway, DyHttpCall *call)
{
  DyGatewayPlan plan;
  if (!dy_http_call_was_held (call))
    dy_shedding_record_wait (gateway->shedding, dy_http_call_waited_us (call));
  int error = dy_gateway_plan_init (&plan, gateway, call);
  /* Of a resumed stream, its caller has a part already. */
  if (!error && dy_shedding_refuses (gateway->shedding, plan.rank == 0 ? 0 : plan.priority))
    error = DY_OVERLOADED;
  if (error)
    {
      dy_log (DY_EVENT_REQUEST_REFUSED,
              "request=%s kind=%s routes_version=%" G_GUINT64_FORMAT
              " routes_age_ms=%" G_GINT64_FORMAT,
              plan.id[0] ? plan.id : "-", dy_error_info (error)->kind,
              gateway->directory->routes.version, dy_directory_routes_age_ms (gateway->directory));
      int64_t evacuated_ms = error == DY_NO_ENDPOINT && plan.service
                                 ? dy_gateway_take_evacuated (gateway, plan.id, plan.service)
                                 : 0;
      dy_gateway_refuse_for (gateway, call, error, evacuated_ms);
      dy_gateway_plan_finish (&plan);
      return;
    }
  DyGatewayRequest *request = new_request (gateway, call, &plan);
  g_hash_table_add (gateway->requests, request);
  dy_counters_set (&gateway->kernel->counters, DY_COUNTER_IN_FLIGHT,
                   g_hash_table_size (gateway->requests));
  count (request, DY_COUNTER_REQUESTS);
  dy_http_call_watch (call, &call_watcher, request);
  if (dy_gateway_is_blocked (gateway, &request->plan, true))
    dy_gateway_take_event (request, DY_COURSE_DENIED, DY_SUSPENDED);
  else if (request->course.state == DY_COURSE_LOOKING_UP)
    dy_gateway_look_up_origin (request);
  else
    dy_gateway_reserve (request);
}
