#include "services/gateway_request.h"

#include "core/event_stream.h"
#include "kernel/error.h"
#include "kernel/log.h"
#include "kernel/priority.h"
#include "services/gateway_attempt.h"
#include "services/gateway_crashes.h"
#include "services/gateway_plan.h"
#include "services/gateway_refusal.h"

enum
{
  TIME_NEEDED_MS = 20, /* remaining time below which another attempt is not worthwhile */
  RESEND_PAUSE_MS = 150,
  /* For streams without a time limit of the caller, the time for which they may be resumed; for
   * others the time after the limit, as clocks are read at different places. */
  UNLIMITED_RESUME_US = 60 * 1000 * 1000,
  RESUME_MARGIN_US = 2 * 1000 * 1000,
  /* Limits on what is kept in memory until an answer, or an event of a stream, is complete. */
  MAX_ANSWER_BYTES = 4 * 1024 * 1024,
  MAX_EVENT_BYTES = 256 * 1024,
};

typedef enum
{
  REQUEST_LOOKING_UP, /* the version that began the stream which the caller resumes */
  REQUEST_RESERVING,
  REQUEST_RUNNING,
  REQUEST_OVER,
} RequestState;

typedef struct
{
  DyGateway *gateway;
  DyHttpCall *call; /* NULL once it is closed */
  DyGatewayPlan plan;
  RequestState state;
  int64_t reserving_us; /* monotonic time at which the reservation was requested; 0: none was */
  int64_t event_us;     /* monotonic time at which the latest event was passed on */
  DyTicket *ticket;
  DyGatewayAttempt attempt;
  bool attempt_open;
  bool relayed;       /* another router makes the latest attempt */
  GPtrArray *tried;   /* ids of the endpoints tried, NULL at the end */
  uint32_t n_started; /* attempts that may have run */
  uint32_t n_refused; /* attempts that certainly did not run */
  bool may_have_run;
  bool gave_up; /* an attempt was abandoned for its silence */
  bool stream_started;
  char *version;          /* of the endpoint that began the stream; NULL: not begun */
  DyOriginLookup *lookup; /* of version, in progress; NULL: none */
  char *attempt_version;  /* of the endpoint of the latest attempt, when that was placed */
  DyEventStream events;
  GString *body;           /* of the answer; of a stream, the complete events not passed on yet */
  ev_timer deadline_timer; /* ends the request at its deadline */
  ev_timer read_timer;     /* abandons an attempt after the read timeout */
  ev_timer resend_timer;   /* sends the request again after a pause */
} Request;

static void send_attempt (Request *request);

static int64_t
now_us (const Request *request)
{
  return dy_kernel_now_us (request->gateway->kernel);
}

static void
count (const Request *request, DyCounter counter)
{
  dy_counters_add (&request->gateway->kernel->counters, counter, 1);
}

static void
remove_request (Request *request)
{
  DyGateway *gateway = request->gateway;
  g_hash_table_remove (gateway->requests, request);
  dy_counters_set (&gateway->kernel->counters, DY_COUNTER_IN_FLIGHT,
                   g_hash_table_size (gateway->requests));
}

static void
stop_timers (Request *request)
{
  ev_timer_stop (request->gateway->kernel->loop, &request->deadline_timer);
  ev_timer_stop (request->gateway->kernel->loop, &request->read_timer);
  ev_timer_stop (request->gateway->kernel->loop, &request->resend_timer);
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

/* Settles the tokens that may have been used, or releases the reservation if no attempt can have
 * run. */
static void
settle (Request *request, bool complete)
{
  DyReservations *res = &request->gateway->budgets->reservations;
  if (!request->ticket)
    return;
  int64_t output = (int64_t) request->events.n_events * request->plan.event_tokens;
  int64_t used = request->plan.prompt_tokens + MIN (output, request->plan.max_output_tokens);
  if (request->may_have_run)
    dy_reservations_settle (res, request->ticket, used, complete ? DY_END_COMPLETE : DY_END_PARTIAL,
                            on_settled, request->gateway, now_us (request));
  else
    dy_reservations_release (res, request->ticket, DY_END_NOT_RUN, 0, now_us (request));
  request->ticket = NULL;
}

/* Settles and ends the request, which is freed once its call is closed, too. */
static void
end_request (Request *request, bool complete)
{
  request->state = REQUEST_OVER;
  stop_timers (request);
  settle (request, complete);
  if (!request->call)
    remove_request (request);
}

/* Returns the milliseconds until the request's time limit; -1: not limited. */
static int64_t
left_ms (const Request *request)
{
  if (request->plan.end_us == INT64_MAX)
    return -1;
  return MAX ((request->plan.end_us - now_us (request)) / 1000, 0);
}

static void
log_end (const Request *request, const char *outcome)
{
  dy_log (DY_EVENT_REQUEST_ENDED,
          "request=%s account=%s service=%s outcome=%s ms=%" G_GINT64_FORMAT
          " started=%u refused=%u events=%" G_GUINT64_FORMAT " send_ms=%" G_GINT64_FORMAT
          " status=%u begun=%d left_ms=%" G_GINT64_FORMAT " routes_version=%" G_GUINT64_FORMAT,
          request->plan.id, request->plan.account ? request->plan.account : "-",
          request->plan.service, outcome, (now_us (request) - request->plan.arrived_us) / 1000,
          request->n_started, request->n_refused, request->events.n_events,
          request->attempt.send_us < 0 ? -1 : request->attempt.send_us / 1000,
          request->attempt.status, request->stream_started, left_ms (request),
          request->plan.routes_version);
}

/* Ends the request without a complete answer: answers ERROR, or aborts a stream that was begun. */
static void
fail_request (Request *request, int error)
{
  DyGateway *gateway = request->gateway;
  log_end (request, dy_error_info (error)->kind);
  if (request->call && request->stream_started)
    {
      count (request, DY_COUNTER_BROKEN);
      dy_http_call_abort (request->call);
    }
  else if (request->call)
    dy_gateway_refuse (gateway, request->call, error);
  end_request (request, false);
}

static void
copy_answer_headers (Request *request)
{
  const DyGatewayAttempt *attempt = &request->attempt;
  for (guint i = 0; i + 1 < attempt->headers->len; i += 2)
    dy_http_call_add_header (request->call, g_ptr_array_index (attempt->headers, i),
                             g_ptr_array_index (attempt->headers, i + 1));
}

static void
start_stream (Request *request)
{
  if (request->stream_started)
    return;
  request->stream_started = true;
  if (!request->version)
    request->version = g_strdup (request->attempt_version);
  copy_answer_headers (request);
  dy_http_call_start_stream (request->call, request->attempt.status, NULL);
}

static void
observe (const Request *request, DyHistogram histogram, int64_t since_us)
{
  dy_counters_observe (&request->gateway->kernel->counters, histogram, now_us (request) - since_us);
}

static bool
expects_events (const Request *request)
{
  return request->plan.kind == DY_ROUTE_STREAM && request->attempt.is_success;
}

static void
finish_answer (Request *request)
{
  static const DyHistogram histograms[] = { [DY_ROUTE_IDEMPOTENT] = DY_HISTOGRAM_ANSWER_IDEMPOTENT,
                                            [DY_ROUTE_AT_MOST_ONCE] = DY_HISTOGRAM_ANSWER_ONCE,
                                            [DY_ROUTE_STREAM] = DY_HISTOGRAM_ANSWER_STREAM };
  count (request, DY_COUNTER_ANSWERED);
  observe (request, histograms[request->plan.kind], request->plan.arrived_us);
  log_end (request, "answered");
  if (request->call && expects_events (request))
    {
      start_stream (request);
      dy_http_call_end (request->call);
    }
  else if (request->call)
    {
      copy_answer_headers (request);
      dy_http_call_reply (request->call, request->attempt.status, NULL, request->body->str,
                          request->body->len);
    }
  end_request (request, true);
}

/* Returns the read timeout: the milliseconds without data after which a repeatable request may be
 * sent to another endpoint; 0: no limit. */
static int64_t
read_timeout_ms (const Request *request)
{
  enum
  {
    MIN_ANSWER_WAIT_MS = 200,       /* longer than the slowest tenth of answers takes */
    MIN_FIRST_EVENT_WAIT_MS = 1200, /* time to read a prompt of tens of thousands of tokens */
    MIN_EVENT_GAP_WAIT_MS = 800, /* an engine that reads a long prompt stalls its other streams */
    /* Number of target times after which a second attempt is worth more than waiting. */
    TARGETS_BEFORE_RESEND = 3,
  };
  if (!request->plan.repeatable || request->n_started + 1 >= request->plan.max_attempts)
    return 0;
  if (request->plan.kind != DY_ROUTE_STREAM)
    return MAX (TARGETS_BEFORE_RESEND * request->plan.target_ms, MIN_ANSWER_WAIT_MS);
  if (request->stream_started)
    return MAX (2 * request->plan.max_event_gap_ms, MIN_EVENT_GAP_WAIT_MS);
  return MAX (TARGETS_BEFORE_RESEND * request->plan.target_ms, MIN_FIRST_EVENT_WAIT_MS);
}

static void
arm_read_timer (Request *request)
{
  struct ev_loop *loop = request->gateway->kernel->loop;
  int64_t ms = read_timeout_ms (request);
  ev_timer_stop (loop, &request->read_timer);
  if (ms == 0)
    return;
  ev_timer_set (&request->read_timer, (double) ms / 1000.0, 0.0);
  ev_timer_start (loop, &request->read_timer);
}

static bool
on_attempt_data (void *ctx, const char *data, size_t n)
{
  Request *request = ctx;
  if (!expects_events (request))
    {
      if (request->body->len + n > MAX_ANSWER_BYTES)
        dy_gateway_attempt_reject (&request->attempt);
      else
        g_string_append_len (request->body, data, (gssize) n);
      return true;
    }
  if (request->call
      && dy_http_call_unsent_bytes (request->call) >= request->gateway->server.buffer_bytes)
    return false;
  dy_event_stream_feed (&request->events, data, n, request->body);
  if (dy_event_stream_partial_bytes (&request->events) > MAX_EVENT_BYTES)
    {
      dy_gateway_attempt_reject (&request->attempt);
      return true;
    }
  if (request->body->len == 0 || !request->call)
    return true;
  if (request->stream_started)
    observe (request, DY_HISTOGRAM_EVENT_GAP, request->event_us);
  else
    observe (request, DY_HISTOGRAM_FIRST_EVENT, request->plan.arrived_us);
  request->event_us = now_us (request);
  start_stream (request);
  if (!request->attempt.prompt_read)
    dy_gateway_record_output (request->gateway, &request->plan);
  dy_gateway_attempt_on_first_event (&request->attempt);
  dy_http_call_write (request->call, request->body->str, request->body->len);
  g_string_truncate (request->body, 0);
  arm_read_timer (request);
  return true;
}

static bool
resend_allowed (Request *request)
{
  DyGateway *gateway = request->gateway;
  int64_t members = gateway->kernel->counters.values[DY_COUNTER_MEMBERS];
  return dy_resend_budget_allows (&gateway->resend_budget, request->plan.service,
                                  (uint32_t) MAX (members, 1), now_us (request));
}

static DyResendQuery
resend_query (Request *request, DyAttemptOutcome outcome)
{
  DyResendQuery query = { .outcome = outcome,
                          .repeatable = request->plan.repeatable,
                          .may_have_run = request->may_have_run,
                          .answer_seen = request->stream_started,
                          .gave_up = request->gave_up,
                          .n_started = request->n_started,
                          .n_refused = request->n_refused,
                          .max_attempts = request->plan.max_attempts,
                          .within_budget = resend_allowed (request),
                          .time_left_ms = (request->plan.end_us - now_us (request)) / 1000,
                          .time_needed_ms = TIME_NEEDED_MS };
  if (dy_gateway_is_blocked (request->gateway, &request->plan, false))
    query.max_attempts = 0;
  return query;
}

/* Sends the request again after a pause, for which the endpoints may have recovered. */
static void
send_later (Request *request)
{
  ev_timer_set (&request->resend_timer, (double) RESEND_PAUSE_MS / 1000.0, 0.0);
  ev_timer_start (request->gateway->kernel->loop, &request->resend_timer);
}

static void
resend (Request *request)
{
  count (request, DY_COUNTER_RETRIES);
  dy_resend_budget_record_resend (&request->gateway->resend_budget, request->plan.service,
                                  now_us (request));
  send_attempt (request);
}

static void
on_resend_pause_over (struct ev_loop *loop, ev_timer *w, int events)
{
  Request *request = w->data;
  (void) loop;
  (void) events;
  if (resend_allowed (request))
    resend (request);
  else
    send_later (request);
}

/* Follows an attempt that ended without a complete answer. With ENDPOINT_ERROR, its error answer is
 * passed on if the request is not sent again. */
static void
retry_or_fail (Request *request, DyAttemptOutcome outcome, bool endpoint_error)
{
  bool ran = outcome == DY_ATTEMPT_UNANSWERED || outcome == DY_ATTEMPT_BROKEN;
  if (ran)
    {
      request->may_have_run = true;
      request->n_started++;
    }
  else
    request->n_refused++;
  DyResendQuery query = resend_query (request, outcome);
  int error = dy_resend_decide (&query);
  if (error && endpoint_error)
    {
      finish_answer (request);
      return;
    }
  if (error == DY_RESEND_LATER)
    {
      send_later (request);
      return;
    }
  if (error)
    {
      fail_request (request, error);
      return;
    }
  resend (request);
}

/* For a relayed attempt, the other router does this. */
static void
record_crash (const Request *request, bool is_new_connection)
{
  DyGatewayBreak broken = { .endpoint_id = request->attempt.endpoint_id,
                            .had_output = request->attempt.prompt_read,
                            .is_new_connection = is_new_connection };
  if (!request->relayed)
    dy_gateway_record_crash (request->gateway, &request->plan, &broken);
}

static void
on_attempt_done (void *ctx, const DyGatewayAttemptResult *result)
{
  Request *request = ctx;
  DyGateway *gateway = request->gateway;
  request->attempt_open = false;
  ev_timer_stop (gateway->kernel->loop, &request->read_timer);
  if (result->complete && expects_events (request)
      && !dy_event_stream_at_boundary (&request->events))
    {
      record_crash (request, result->is_new_connection);
      retry_or_fail (request, DY_ATTEMPT_BROKEN, false);
      return;
    }
  /* Nothing was sent, so it counts neither as an attempt nor against the limits on resends. */
  if (result->endpoint_left)
    {
      send_attempt (request);
      return;
    }
  if (!result->complete)
    {
      if (result->crashed)
        record_crash (request, result->is_new_connection);
      retry_or_fail (request, result->outcome, false);
      return;
    }
  /* After an endpoint's own failure, a repeatable request may succeed at another endpoint. */
  if (result->endpoint_error && request->plan.repeatable && !request->stream_started)
    {
      retry_or_fail (request, DY_ATTEMPT_BROKEN, true);
      return;
    }
  request->may_have_run = true;
  request->n_started++;
  if (request->attempt.is_success)
    dy_gateway_record_success (gateway, &request->plan);
  if (request->attempt.is_success && !expects_events (request))
    dy_gateway_record_output (request->gateway, &request->plan);
  finish_answer (request);
}

static void
add_tried (Request *request, const char *endpoint_id)
{
  g_ptr_array_remove_index (request->tried, request->tried->len - 1);
  g_ptr_array_add (request->tried, g_strdup (endpoint_id));
  g_ptr_array_add (request->tried, NULL);
}

/* Returns the id of the event after which the next endpoint resumes; NULL: start from the first. */
static const char *
resume_point (const Request *request)
{
  return request->events.last_id[0] ? request->events.last_id : request->plan.resume_from;
}

/* Returns the milliseconds that the caller still waits, at least 1; -1: not limited. */
static int64_t
time_left_ms (const Request *request)
{
  if (request->plan.caller_deadline_us == INT64_MAX)
    return -1;
  return MAX ((request->plan.caller_deadline_us - now_us (request)) / 1000, 1);
}

/* Ends the request of a caller that closed its connection before the request was read, or while the
 * reservation was pending. */
static void
end_disconnected (Request *request)
{
  count (request, DY_COUNTER_CANCELLED);
  log_end (request, "caller_left");
  dy_http_call_abort (request->call);
  end_request (request, false);
}

/* Records that the endpoint of the latest attempt may begin the stream. */
static void
record_origin (const Request *request)
{
  int64_t deadline_us = request->plan.caller_deadline_us;
  DyStreamOrigin origin
      = { .request_id = request->plan.id,
          .service = request->plan.service,
          .version = request->attempt_version,
          .expires_us = deadline_us == INT64_MAX ? now_us (request) + UNLIMITED_RESUME_US
                                                 : deadline_us + RESUME_MARGIN_US };
  dy_origins_record (request->gateway->origins, &origin);
}

/* Records the endpoint that the attempt is about to be sent to. */
static void
take_placement (Request *request, const char *endpoint_id, const char *version)
{
  add_tried (request, endpoint_id);
  g_free (request->attempt_version);
  request->attempt_version = g_strdup (version);
  if (request->plan.kind == DY_ROUTE_STREAM && request->plan.repeatable && !request->version)
    record_origin (request);
}

static void
on_relay_placed (void *ctx, const char *endpoint_id, const char *version)
{
  Request *request = ctx;
  take_placement (request, endpoint_id, version);
}

static const DyGatewayAttemptWatcher attempt_watcher
    = { .placed = on_relay_placed, .data = on_attempt_data, .done = on_attempt_done };

/* Fails a request for which no endpoint can be reached, unless it might have been answered by now
 * had its attempt not been abandoned. */
static void
fail_without_endpoint (Request *request)
{
  if (request->gave_up)
    send_later (request);
  else
    fail_request (request, request->may_have_run ? DY_OUTCOME_UNKNOWN : DY_NO_ENDPOINT);
}

/* Has another router make the attempt, as this one does not reach the endpoints. */
static void
relay_attempt (Request *request, const DyGatewayAttemptSpec *spec)
{
  DyGateway *gateway = request->gateway;
  DyGatewayRelay relay = { .peer = dy_reachability_choose_peer (gateway->reachability),
                           .plan = &request->plan,
                           .version = request->version,
                           .avoid = (const char *const *) request->tried->pdata };
  request->relayed = true;
  request->attempt_open = relay.peer
                          && dy_gateway_attempt_init_relayed (&request->attempt, gateway, &relay,
                                                              spec, &attempt_watcher, request);
  if (!request->attempt_open)
    {
      fail_without_endpoint (request);
      return;
    }
  dy_log (DY_EVENT_REQUEST_RELAYED, "request=%s node=%s attempt=%u", request->plan.id, relay.peer,
          request->n_started + request->n_refused + 1);
  count (request, DY_COUNTER_ATTEMPTS);
  arm_read_timer (request);
}

/* Sends the request to an endpoint that this router chooses. */
static void
place_attempt (Request *request, DyGatewayAttemptSpec *spec)
{
  DyGateway *gateway = request->gateway;
  DyPlacementQuery query = { .service = request->plan.service,
                             .work = request->plan.work,
                             .avoid = (const char *const *) request->tried->pdata,
                             .version = request->version };
  int64_t predicted_us = 0;
  DyPlacementEndpoint *endpoint = dy_placement_choose (&gateway->directory->placement, &query,
                                                       now_us (request), &predicted_us);
  if (!endpoint)
    {
      query.avoid = NULL;
      endpoint = dy_placement_choose (&gateway->directory->placement, &query, now_us (request),
                                      &predicted_us);
    }
  const char *gated = dy_placement_gated (&gateway->directory->placement, &query, now_us (request));
  if (gated)
    dy_endpoint_limits_log_skip (gateway->limits, request->plan.id, gated);
  if (!endpoint)
    {
      fail_without_endpoint (request);
      return;
    }
  request->relayed = false;
  spec->head.endpoint_id = dy_placement_endpoint_id (endpoint);
  take_placement (request, spec->head.endpoint_id, dy_placement_endpoint_version (endpoint));
  dy_log (DY_EVENT_REQUEST_PLACED,
          "request=%s endpoint=%s predicted_us=%" G_GINT64_FORMAT
          " attempt=%u resume=%s version=%s list_age_ms=%" G_GINT64_FORMAT,
          request->plan.id, spec->head.endpoint_id, predicted_us,
          request->n_started + request->n_refused + 1,
          spec->head.resume_from ? spec->head.resume_from : "-", request->attempt_version,
          dy_directory_endpoints_age_ms (gateway->directory));
  count (request, DY_COUNTER_ATTEMPTS);
  request->attempt_open = true;
  dy_gateway_attempt_init (&request->attempt, gateway, endpoint, spec, &attempt_watcher, request);
  arm_read_timer (request);
}

static void
send_attempt (Request *request)
{
  DyGateway *gateway = request->gateway;
  if (dy_http_call_is_disconnected (request->call))
    {
      end_disconnected (request);
      return;
    }
  dy_event_stream_drop_partial (&request->events);
  g_string_truncate (request->body, 0);
  const GString *body = dy_http_call_body (request->call);
  GPtrArray *lines = dy_gateway_forwarded_lines (gateway->dialect, request->call);
  DyForwardedRequest forwarded = { .method = dy_http_call_method (request->call),
                                   .target = dy_http_call_target (request->call),
                                   .body = body->str,
                                   .n_body = body->len,
                                   .lines = (const char *const *) lines->pdata };
  DyGatewayAttemptSpec spec = { .forwarded = &forwarded,
                                .request_id = request->plan.id,
                                .service = request->plan.service,
                                .work = request->plan.work,
                                .head = { .account = request->plan.account,
                                          .resume_from = resume_point (request),
                                          .time_left_ms = time_left_ms (request),
                                          .priority = request->plan.priority,
                                          .has_priority = request->plan.kind == DY_ROUTE_STREAM } };
  if (dy_reachability_is_out (gateway->reachability))
    relay_attempt (request, &spec);
  else
    place_attempt (request, &spec);
  g_ptr_array_unref (lines);
}

static void
on_reserved (void *ctx, int error, int64_t charged_tokens)
{
  Request *request = ctx;
  (void) charged_tokens;
  if (request->reserving_us)
    observe (request, DY_HISTOGRAM_RESERVE, request->reserving_us);
  if (error)
    {
      request->ticket = NULL;
      fail_request (request, error);
      return;
    }
  request->state = REQUEST_RUNNING;
  dy_resend_budget_record_request (&request->gateway->resend_budget, request->plan.service,
                                   now_us (request));
  send_attempt (request);
}

static void
cancel_attempt (Request *request, DyPlacementOutcome outcome)
{
  if (!request->attempt_open)
    return;
  request->attempt_open = false;
  request->may_have_run = request->may_have_run || dy_gateway_attempt_was_sent (&request->attempt);
  dy_gateway_attempt_cancel (&request->attempt, outcome);
}

static void
cancel_lookup (Request *request)
{
  if (request->lookup)
    dy_origins_cancel (request->gateway->origins, request->lookup);
  request->lookup = NULL;
}

static void
on_deadline (struct ev_loop *loop, ev_timer *w, int events)
{
  Request *request = w->data;
  (void) loop;
  (void) events;
  static const int not_run_errors[] = { [REQUEST_LOOKING_UP] = DY_ORIGIN_UNKNOWN,
                                        [REQUEST_RESERVING] = DY_BUDGET_UNAVAILABLE,
                                        [REQUEST_RUNNING] = DY_NO_ENDPOINT,
                                        [REQUEST_OVER] = DY_NO_ENDPOINT };
  int not_run = not_run_errors[request->state];
  cancel_lookup (request);
  cancel_attempt (request, DY_PLACEMENT_FAILED);
  fail_request (request, request->may_have_run ? DY_TIMEOUT : not_run);
}

/* Returns whether another endpoint, or another router in place of this one, could take the request
 * now. */
static bool
has_other_endpoint (const Request *request)
{
  const DyGateway *gateway = request->gateway;
  DyPlacementQuery query = { .service = request->plan.service,
                             .work = request->plan.work,
                             .avoid = (const char *const *) request->tried->pdata,
                             .version = request->version };
  if (dy_reachability_is_out (gateway->reachability))
    return dy_reachability_choose_peer (gateway->reachability) != NULL;
  return dy_placement_has_choice (&gateway->directory->placement, &query, now_us (request));
}

static void
on_read_timeout (struct ev_loop *loop, ev_timer *w, int events)
{
  Request *request = w->data;
  (void) loop;
  (void) events;
  if (!request->attempt_open)
    return;
  DyResendQuery query = resend_query (request, DY_ATTEMPT_UNANSWERED);
  if (!dy_resend_replaces_silent (&query, has_other_endpoint (request)))
    {
      arm_read_timer (request);
      return;
    }
  dy_log (DY_EVENT_ATTEMPT_ABANDONED,
          "request=%s endpoint=%s silence_ms=%" G_GINT64_FORMAT
          " attempt=%u allowed=%u left_ms=%" G_GINT64_FORMAT,
          request->plan.id, request->attempt.endpoint_id ? request->attempt.endpoint_id : "-",
          read_timeout_ms (request), request->n_started + 1, request->plan.max_attempts,
          left_ms (request));
  bool sent = dy_gateway_attempt_was_sent (&request->attempt);
  count (request, DY_COUNTER_ABANDONED);
  request->gave_up = true;
  cancel_attempt (request, DY_PLACEMENT_FAILED);
  retry_or_fail (request, sent ? DY_ATTEMPT_UNANSWERED : DY_ATTEMPT_NOT_SENT, false);
  if (request->state == REQUEST_OVER)
    count (request, DY_COUNTER_ABANDONED_LAST);
}

static void
on_call_drained (void *ctx, DyHttpCall *call)
{
  Request *request = ctx;
  (void) call;
  if (request->attempt_open)
    dy_gateway_attempt_resume (&request->attempt);
}

static void
on_call_closed (void *ctx, DyHttpCall *call, bool complete)
{
  Request *request = ctx;
  (void) call;
  (void) complete;
  request->call = NULL;
  if (request->state == REQUEST_OVER)
    {
      remove_request (request);
      return;
    }
  count (request, DY_COUNTER_CANCELLED);
  log_end (request, "caller_left");
  cancel_lookup (request);
  cancel_attempt (request, DY_PLACEMENT_CANCELLED);
  end_request (request, false);
}

static const DyHttpCallWatcher call_watcher
    = { .drained = on_call_drained, .closed = on_call_closed };

void
dy_gateway_request_free (gpointer key)
{
  Request *request = key;
  stop_timers (request);
  cancel_lookup (request);
  cancel_attempt (request, DY_PLACEMENT_CANCELLED);
  dy_event_stream_finish (&request->events);
  g_string_free (request->body, TRUE);
  g_free (request->version);
  g_free (request->attempt_version);
  g_ptr_array_unref (request->tried);
  dy_gateway_attempt_finish (&request->attempt);
  dy_gateway_plan_finish (&request->plan);
  g_free (request);
}

static void
reserve (Request *request)
{
  DyGateway *gateway = request->gateway;
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
  request->state = REQUEST_RESERVING;
  request->reserving_us = now_us (request);
  dy_reservations_reserve (&gateway->budgets->reservations, &spec, on_reserved, request,
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

/* Goes on with a resumed stream, whose VERSION is known, or NULL. */
static void
take_origin (Request *request, const char *version, const char *source)
{
  const char *resumes = request->plan.resumes_id;
  dy_log (DY_EVENT_ORIGIN_FOUND,
          "request=%s resumes=%s service=%s version=%s source=%s ms=%" G_GINT64_FORMAT,
          request->plan.id, resumes ? resumes : "-", request->plan.service, version ? version : "-",
          source, (now_us (request) - request->plan.arrived_us) / 1000);
  request->version = g_strdup (version);
  if (version)
    {
      reserve (request);
      return;
    }
  count (request, DY_COUNTER_RESUMES_REFUSED);
  fail_request (request, DY_ORIGIN_UNKNOWN);
}

static void
on_origin (void *ctx, int error, const char *version)
{
  Request *request = ctx;
  (void) error;
  request->lookup = NULL;
  take_origin (request, version, "store");
}

static void
look_up_origin (Request *request)
{
  const char *version;
  request->state = REQUEST_LOOKING_UP;
  count (request, DY_COUNTER_RESUMES);
  request->lookup = dy_origins_look_up (request->gateway->origins, request->plan.service,
                                        request->plan.resumes_id, on_origin, request, &version);
  if (!request->lookup)
    take_origin (request, version, "memory");
}

static void
start_timers (Request *request)
{
  ev_timer_init (&request->deadline_timer, on_deadline, 0.0, 0.0);
  ev_timer_init (&request->read_timer, on_read_timeout, 0.0, 0.0);
  ev_timer_init (&request->resend_timer, on_resend_pause_over, 0.0, 0.0);
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
static Request *
new_request (DyGateway *gateway, DyHttpCall *call, const DyGatewayPlan *plan)
{
  Request *request = g_new0 (Request, 1);
  request->gateway = gateway;
  request->call = call;
  request->plan = *plan;
  request->tried = g_ptr_array_new_with_free_func (g_free);
  g_ptr_array_add (request->tried, NULL);
  dy_event_stream_init (&request->events);
  request->body = g_string_new (NULL);
  start_timers (request);
  return request;
}

void
dy_gateway_request_start (DyGateway *gateway, DyHttpCall *call)
{
  DyGatewayPlan plan;
  int error = dy_gateway_plan_init (&plan, gateway, call);
  if (error)
    {
      dy_log (DY_EVENT_REQUEST_REFUSED,
              "request=%s kind=%s routes_version=%" G_GUINT64_FORMAT
              " routes_age_ms=%" G_GINT64_FORMAT,
              plan.id[0] ? plan.id : "-", dy_error_info (error)->kind,
              gateway->directory->routes.version, dy_directory_routes_age_ms (gateway->directory));
      dy_gateway_refuse (gateway, call, error);
      dy_gateway_plan_finish (&plan);
      return;
    }
  Request *request = new_request (gateway, call, &plan);
  g_hash_table_add (gateway->requests, request);
  dy_counters_set (&gateway->kernel->counters, DY_COUNTER_IN_FLIGHT,
                   g_hash_table_size (gateway->requests));
  count (request, DY_COUNTER_REQUESTS);
  dy_http_call_watch (call, &call_watcher, request);
  if (dy_gateway_is_blocked (gateway, &request->plan, true))
    fail_request (request, DY_SUSPENDED);
  else if (request->plan.kind == DY_ROUTE_STREAM && request->plan.resume_from)
    look_up_origin (request);
  else
    reserve (request);
}
