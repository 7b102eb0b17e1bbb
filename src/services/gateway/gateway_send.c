#include "kernel/log.h"
#include "services/gateway/gateway_crashes.h"
#include "services/gateway/gateway_refusal.h"
#include "services/gateway/gateway_request_private.h"

enum
{
  /* Time for which a request waits for a place at an endpoint: that in which its answer should
   * come, within these limits. */
  MIN_ROOM_WAIT_MS = 300,
  MAX_ROOM_WAIT_MS = 1000,
};

static int64_t
now_us (const DyGatewayRequest *request)
{
  return dy_kernel_now_us (request->gateway->kernel);
}

/* Returns the number of ATTEMPT among those of the request. */
static uint32_t
attempt_number (const DyGatewayRequest *request, const DyGatewayAttempt *attempt)
{
  return request->course.n_started + request->course.n_refused
         + (attempt == request->attempt ? 1 : 2);
}

/* Returns the id of the event after which the next endpoint resumes; NULL: start from the first. */
static const char *
resume_point (const DyGatewayRequest *request)
{
  return request->events.last_id[0] ? request->events.last_id : request->plan.resume_from;
}

/* Returns the milliseconds that the caller still waits, at least 1; -1: not limited. */
static int64_t
time_left_ms (const DyGatewayRequest *request)
{
  if (request->plan.caller_deadline_us == INT64_MAX)
    return -1;
  return MAX ((request->plan.caller_deadline_us - now_us (request)) / 1000, 1);
}

void
dy_gateway_take_placement (void *ctx, const char *endpoint_id)
{
  DyGatewayRequest *request = ctx;
  g_ptr_array_remove_index (request->tried, request->tried->len - 1);
  g_ptr_array_add (request->tried, g_strdup (endpoint_id));
  g_ptr_array_add (request->tried, NULL);
}

/* Has another router make the attempt, as this one does not reach the endpoints. */
static bool
relay_attempt (DyGatewayRequest *request,
               DyGatewayAttempt *attempt,
               const DyGatewayAttemptSpec *spec,
               const DyGatewayAttemptWatcher *watcher)
{
  DyGateway *gateway = request->gateway;
  bool beside = attempt != request->attempt;
  const char *silent = beside ? dy_gateway_attempt_router (request->attempt) : NULL;
  DyGatewayRelay relay = { .peer = dy_reachability_choose_peer (gateway->reachability, silent),
                           .plan = &request->plan,
                           .version = dy_gateway_required_version (request),
                           .avoid = (const char *const *) request->tried->pdata,
                           .except = beside ? request->attempt->endpoint_id : NULL };
  if (!relay.peer
      || !dy_gateway_attempt_init_relayed (attempt, gateway, &relay, spec, watcher, request))
    return false;
  dy_log (DY_EVENT_REQUEST_RELAYED, "request=%s node=%s attempt=%u stops=%d", request->plan.id,
          relay.peer, attempt_number (request, attempt), gateway->kernel->draining);
  return true;
}

/* Chooses for an attempt beside a silent one: not the same endpoint, as two attempts there would be
 * of no more use than one. */
static DyPlacementEndpoint *
choose_beside (DyGatewayRequest *request, DyPlacementQuery *query, int64_t *predicted_us)
{
  DyPlacement *placement = &request->gateway->directory->placement;
  const char *silent[] = { request->attempt->endpoint_id, NULL };
  const char *const *const avoid[] = { (const char *const *) request->tried->pdata, silent };
  DyPlacementEndpoint *endpoint = NULL;
  for (size_t i = 0; i < G_N_ELEMENTS (avoid) && !endpoint; i++)
    {
      query->avoid = avoid[i];
      endpoint = dy_placement_choose (placement, query, now_us (request), predicted_us);
    }
  query->avoid = avoid[0];
  return endpoint;
}

/* Chooses for the only attempt: an endpoint that was not tried, any but the one that was tried
 * last, which is the least likely to take the request now, or that one. */
static DyPlacementEndpoint *
choose_alone (DyGatewayRequest *request, DyPlacementQuery *query, int64_t *predicted_us)
{
  DyPlacement *placement = &request->gateway->directory->placement;
  const char *const *tried = (const char *const *) request->tried->pdata;
  DyPlacementEndpoint *endpoint
      = dy_placement_choose (placement, query, now_us (request), predicted_us);
  if (!endpoint && request->tried->len > 2)
    {
      query->avoid = &tried[request->tried->len - 2];
      endpoint = dy_placement_choose (placement, query, now_us (request), predicted_us);
    }
  if (!endpoint)
    {
      query->avoid = NULL;
      endpoint = dy_placement_choose (placement, query, now_us (request), predicted_us);
    }
  return endpoint;
}

/* Sends the request to an endpoint that this router chooses. */
static bool
place_attempt (DyGatewayRequest *request,
               DyGatewayAttempt *attempt,
               DyGatewayAttemptSpec *spec,
               const DyGatewayAttemptWatcher *watcher)
{
  DyGateway *gateway = request->gateway;
  DyPlacementQuery query = { .service = request->plan.service,
                             .work = request->plan.work,
                             .avoid = (const char *const *) request->tried->pdata,
                             .version = dy_gateway_required_version (request) };
  int64_t predicted_us = 0;
  if (!dy_gateway_may_send (gateway, request->plan.id, "choice"))
    return false;
  DyPlacementEndpoint *endpoint = attempt == request->attempt
                                      ? choose_alone (request, &query, &predicted_us)
                                      : choose_beside (request, &query, &predicted_us);
  const char *gated = dy_placement_gated (&gateway->directory->placement, &query, now_us (request));
  if (gated)
    {
      dy_endpoint_limits_log_skip (gateway->limits, request->plan.id, gated);
      dy_cold_endpoints_log_skip (gateway->cold, request->plan.id, gated);
    }
  if (!endpoint)
    return false;
  spec->head.endpoint_id = dy_placement_endpoint_id (endpoint);
  dy_gateway_take_placement (request, spec->head.endpoint_id);
  dy_log (
      DY_EVENT_REQUEST_PLACED,
      "request=%s endpoint=%s predicted_us=%" G_GINT64_FORMAT
      " attempt=%u resume=%s version=%s list_age_ms=%" G_GINT64_FORMAT " bridged=%d evacuated=%u",
      request->plan.id, spec->head.endpoint_id, predicted_us, attempt_number (request, attempt),
      spec->head.resume_from ? spec->head.resume_from : "-",
      dy_placement_endpoint_version (endpoint), dy_directory_endpoints_age_ms (gateway->directory),
      dy_directory_endpoints_knowledge (gateway->directory) == DY_KNOWLEDGE_BRIDGED,
      dy_placement_count_evacuated (&gateway->directory->placement, query.service));
  dy_gateway_attempt_init (attempt, gateway, endpoint, spec, watcher, request);
  return true;
}

/* Counts ATTEMPT from its start on, so that the budget that it needs is not used twice. */
static void
count_sending (DyGatewayRequest *request, const DyGatewayAttempt *attempt)
{
  DyGateway *gateway = request->gateway;
  int64_t *recorded_us = &request->resend_us[attempt - request->attempts];
  *recorded_us = 0;
  if (request->n_sendings++ == 0)
    return;
  *recorded_us = now_us (request);
  dy_counters_add (&gateway->kernel->counters, DY_COUNTER_RETRIES, 1);
  dy_resend_budget_record_resend (&gateway->resend_budget, request->plan.service, *recorded_us);
}

void
dy_gateway_return_sending (DyGatewayRequest *request, const DyGatewayAttempt *attempt)
{
  int64_t *recorded_us = &request->resend_us[attempt - request->attempts];
  request->n_sendings--;
  /* If this was the first one, the other one is it now. */
  if (!*recorded_us)
    recorded_us = &request->resend_us[attempt == request->attempts ? 1 : 0];
  if (*recorded_us && request->n_sendings > 0)
    dy_resend_budget_return_resend (&request->gateway->resend_budget, request->plan.service,
                                    *recorded_us, now_us (request));
  *recorded_us = 0;
}

bool
dy_gateway_send_attempt (DyGatewayRequest *request,
                         DyGatewayAttempt *attempt,
                         const DyGatewayAttemptWatcher *watcher)
{
  DyGateway *gateway = request->gateway;
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
                                /* A kept connection to an endpoint may be as silent. */
                                .new_connection = attempt != request->attempt,
                                .head = { .account = request->plan.account,
                                          .resume_from = resume_point (request),
                                          .time_left_ms = time_left_ms (request),
                                          .priority = request->plan.priority,
                                          .has_priority = request->plan.kind == DY_ROUTE_STREAM } };
  bool started = dy_reachability_is_out (gateway->reachability)
                     ? relay_attempt (request, attempt, &spec, watcher)
                     : place_attempt (request, attempt, &spec, watcher);
  g_ptr_array_unref (lines);
  if (started)
    {
      dy_counters_add (&gateway->kernel->counters, DY_COUNTER_ATTEMPTS, 1);
      count_sending (request, attempt);
    }
  return started;
}

/* Returns whether an endpoint other than the one of the attempt in use, or another router in place
 * of this one, can take the request now. */
static bool
has_other_endpoint (const DyGatewayRequest *request)
{
  const DyGateway *gateway = request->gateway;
  const char *silent[] = { request->attempt->endpoint_id, NULL };
  DyPlacementQuery query = { .service = request->plan.service,
                             .work = request->plan.work,
                             .avoid = silent,
                             .version = dy_gateway_required_version (request) };
  if (dy_reachability_is_out (gateway->reachability))
    return dy_reachability_choose_peer (gateway->reachability, NULL) != NULL;
  return dy_placement_has_choice (&gateway->directory->placement, &query, now_us (request));
}

/* Returns whether this router may send to a cold endpoint so soon that waiting costs less than a
 * refusal: a request that is held for over an eighth of its target and then refused costs more. */
static bool
has_cold_room_soon (const DyGatewayRequest *request, int64_t limit_ms)
{
  enum
  {
    WAITS_PER_TARGET = 8,
  };
  const DyGateway *gateway = request->gateway;
  int64_t waited_us = now_us (request) - request->plan.arrived_us;
  int64_t left_us = limit_ms * 1000 / WAITS_PER_TARGET - waited_us;
  if (left_us <= 0)
    return false;
  return dy_cold_endpoints_room_us (gateway->cold, request->plan.service,
                                    gateway->n_room_waits - request->waits_for_room)
         <= left_us;
}

/* As many requests may wait as can run: more would not be served in time. */
bool
dy_gateway_may_wait_for_room (const DyGatewayRequest *request)
{
  const DyGateway *gateway = request->gateway;
  uint32_t n_places = dy_placement_places (&gateway->directory->placement, request->plan.service);
  int64_t limit_ms = CLAMP (request->plan.target_ms, MIN_ROOM_WAIT_MS, MAX_ROOM_WAIT_MS);
  if (has_cold_room_soon (request, limit_ms))
    return true;
  return now_us (request) - request->plan.arrived_us < limit_ms * 1000
         && (request->waits_for_room ? n_places > 0 : gateway->n_room_waits < n_places);
}

int64_t
dy_gateway_read_timeout_ms (const DyGatewayRequest *request)
{
  enum
  {
    MIN_ANSWER_WAIT_MS = 200,       /* longer than the slowest tenth of answers takes */
    MIN_FIRST_EVENT_WAIT_MS = 1200, /* time to read a prompt of tens of thousands of tokens */
    MIN_EVENT_GAP_WAIT_MS = 800, /* an engine that reads a long prompt stalls its other streams */
    /* Number of target times after which a second attempt is worth more than waiting. */
    TARGETS_BEFORE_RESEND = 3,
  };
  if (!request->plan.repeatable)
    return 0;
  if (request->plan.kind != DY_ROUTE_STREAM)
    return MAX (TARGETS_BEFORE_RESEND * request->plan.target_ms, MIN_ANSWER_WAIT_MS);
  if (request->stream_started)
    return MAX (2 * request->plan.max_event_gap_ms, MIN_EVENT_GAP_WAIT_MS);
  return MAX (TARGETS_BEFORE_RESEND * request->plan.target_ms, MIN_FIRST_EVENT_WAIT_MS);
}

/* Once for each request, which may ask again many times. */
static void
log_budget_denied (DyGatewayRequest *request, uint32_t n_parts)
{
  DyGateway *gateway = request->gateway;
  const DyPeers *peers = gateway->directory->peers;
  DyResendUse use = dy_resend_budget_use (&gateway->resend_budget, request->plan.service, n_parts,
                                          now_us (request));
  request->budget_denied = true;
  dy_counters_add (&gateway->kernel->counters, DY_COUNTER_RESENDS_DENIED, 1);
  dy_log (DY_EVENT_RESEND_DENIED,
          "request=%s service=%s requests=%" G_GINT64_FORMAT " resends=%" G_GINT64_FORMAT
          " allowed=%.1f parts=%u routers=%u",
          request->plan.id, request->plan.service, use.requests, use.resends, use.allowed, n_parts,
          dy_members_possible_count (&peers->members));
}

static bool
resend_allowed (DyGatewayRequest *request)
{
  DyGateway *gateway = request->gateway;
  uint32_t n_parts = dy_gateway_resend_parts (gateway);
  bool allowed = dy_resend_budget_allows (&gateway->resend_budget, request->plan.service, n_parts,
                                          now_us (request));
  if (!allowed && !request->budget_denied)
    log_budget_denied (request, n_parts);
  return allowed;
}

bool
dy_gateway_may_resend_after (const DyGatewayRequest *request, DyCourseEvent event)
{
  switch (event)
    {
    case DY_COURSE_BROKEN:
    case DY_COURSE_NOT_RUN:
    case DY_COURSE_NOT_SENT:
    case DY_COURSE_SILENT:
    case DY_COURSE_PAUSE_OVER:
      return true;
    case DY_COURSE_FAILED:
      return request->plan.repeatable;
    case DY_COURSE_DECLINED:
      return request->stream_started;
    default:
      return false;
    }
}

DyCourseSituation
dy_gateway_situation (DyGatewayRequest *request, DyCourseEvent event, int error)
{
  DyCourseSituation situation = { .error = error };
  situation.sent
      = dy_course_has_attempt (&request->course) && dy_gateway_attempt_was_sent (request->attempt);
  situation.other_sent = dy_gateway_replacement_was_sent (request);
  situation.evacuated = event == DY_COURSE_NO_ENDPOINT
                        && dy_gateway_is_evacuated (request->gateway, request->plan.service);
  situation.has_place_soon
      = event == DY_COURSE_NO_ENDPOINT && dy_gateway_may_wait_for_room (request);
  situation.waited_out = event == DY_COURSE_PAUSE_OVER && request->waits_for_room
                         && !dy_gateway_may_wait_for_room (request);
  if (!dy_gateway_may_resend_after (request, event))
    return situation;
  situation.within_budget = request->n_sendings == 0 || resend_allowed (request);
  situation.blocked = dy_gateway_is_blocked (request->gateway, &request->plan, false);
  situation.has_other = event == DY_COURSE_SILENT && has_other_endpoint (request);
  situation.time_left_ms = (request->plan.end_us - now_us (request)) / 1000;
  return situation;
}
