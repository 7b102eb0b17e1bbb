#include "services/gateway/gateway_attempt.h"

#include "kernel/error.h"
#include "kernel/log.h"
#include "net/http_status.h"
#include "services/gateway/gateway_crashes.h"
#include "services/gateway/relays.h"

#include <string.h>

enum
{
  CONNECT_TIMEOUT_MS = 800, /* below the second that callers allow for a connection */
  /* Time before an endpoint closes an idle connection in which it gets no more requests: they may
   * be under way for long, and its clock started before this one's. At most half of the whole time.
   */
  IDLE_MARGIN_MS = 1000,
  /* For an endpoint whose VM stands still for some seconds and goes on: TCP sends unacknowledged
   * bytes again after 0.2, 0.6, 1.4, 3.0 and 6.2 s. */
  MAX_SILENCE_MS = 7000,
};

static int64_t
now_us (const DyGatewayAttempt *attempt)
{
  return dy_kernel_now_us (attempt->gateway->kernel);
}

static void
add_header (GPtrArray *headers, const char *name, const char *value)
{
  g_ptr_array_add (headers, g_strdup (name));
  g_ptr_array_add (headers, g_strdup (value));
}

/* Returns the seconds for which the service's endpoints keep an idle connection; 0: unknown. */
static int64_t
max_idle_s (const DyGatewayAttempt *attempt)
{
  return GPOINTER_TO_INT (
      g_hash_table_lookup (attempt->gateway->max_idle_by_service, attempt->service));
}

/* Returns the time for which a kept connection may be idle before a request; 0: not limited. */
static int64_t
max_idle_ms (const DyGatewayAttempt *attempt)
{
  int64_t kept_ms = max_idle_s (attempt) * 1000;
  return kept_ms - MIN (IDLE_MARGIN_MS, kept_ms / 2);
}

/* Returns whether the request may be sent by this router's share of its endpoint, if that is cold,
 * and if so counts it. */
static bool
take_cold_place (DyGatewayAttempt *attempt)
{
  bool reserved = attempt->cold_reserved;
  attempt->cold_reserved = false;
  return dy_cold_endpoints_send (attempt->gateway->cold, attempt->endpoint_id, attempt->start_ms,
                                 reserved);
}

static bool
on_before_send (void *ctx)
{
  DyGatewayAttempt *attempt = ctx;
  /* A late router may not have learned yet that the endpoint left. */
  attempt->endpoint_left = dy_placement_endpoint_has_left (attempt->endpoint)
                           || dy_placement_endpoint_waits (attempt->endpoint, now_us (attempt))
                           || !dy_gateway_may_send (attempt->gateway, attempt->request_id, "send")
                           || !take_cold_place (attempt);
  if (!attempt->endpoint_left && attempt->watcher->ready)
    attempt->watcher->ready (attempt->ctx);
  return !attempt->endpoint_left;
}

/* Any answer may name a limit; one that lacks it ends the limit only if it is a success, as
 * refusals may come from elsewhere in the endpoint. */
static void
take_limit (DyGatewayAttempt *attempt, bool success)
{
  int64_t per_1000_s = attempt->answer.limit_per_1000_s;
  const char *endpoint_id = attempt->endpoint_id;
  if (per_1000_s > 0)
    dy_log (DY_EVENT_LIMIT_NAMED, "request=%s endpoint=%s per_1000_s=%" G_GINT64_FORMAT,
            attempt->request_id, endpoint_id, per_1000_s);
  if (per_1000_s > 0 || success)
    dy_endpoint_limits_report (attempt->gateway->limits, endpoint_id, per_1000_s,
                               attempt->placed_us);
}

/* Returns whether the answer is not, or not certainly, the endpoint's to this request. */
static bool
is_foreign (const DyGatewayAttempt *attempt, bool success)
{
  const DyAnswerHead *answer = &attempt->answer;
  if (answer->request_id && strcmp (answer->request_id, attempt->request_id) != 0)
    return true;
  if (success)
    return !answer->sealed || answer->encoded || !answer->request_id;
  return !answer->request_id && !dy_http_transfer_is_first (attempt->transfer);
}

static void
report_load (const DyGatewayAttempt *attempt)
{
  const DyAnswerHead *answer = &attempt->answer;
  DyDirectory *directory = attempt->gateway->directory;
  dy_placement_report (&directory->placement, attempt->endpoint, answer->n_running,
                       answer->n_waiting, now_us (attempt));
  if (answer->slowness_percent == 0)
    return;
  directory->states_slowness = true;
  dy_placement_report_slowness (attempt->endpoint, answer->slowness_percent, now_us (attempt));
}

static bool
on_head (void *ctx, unsigned status, const DyHttpHeader *headers, uint32_t n)
{
  DyGatewayAttempt *attempt = ctx;
  DyGateway *gateway = attempt->gateway;
  gateway->dialect->decode_answer (headers, n, &attempt->answer);
  const DyAnswerHead *answer = &attempt->answer;
  attempt->head_received = true;
  attempt->status = status;
  dy_gateway_record_bytes (gateway, attempt->endpoint_id);
  bool success = status >= DY_HTTP_OK && status <= DY_HTTP_LAST_SUCCESS;
  attempt->foreign = is_foreign (attempt, success);
  if (answer->not_run)
    dy_http_transfer_close_after (attempt->transfer);
  attempt->is_success = success && !attempt->foreign;
  for (uint32_t i = 0; i < n; i++)
    if (gateway->dialect->forwards_to_caller (headers[i].name))
      add_header (attempt->headers, headers[i].name, headers[i].value);
  if (answer->has_load && !attempt->foreign)
    report_load (attempt);
  if (!attempt->foreign && status != DY_HTTP_MISDIRECTED)
    {
      take_limit (attempt, success);
      dy_cold_endpoints_take_answer (gateway->cold, attempt->endpoint_id, attempt->start_ms,
                                     answer->cold_ms);
      dy_endpoint_notices_take (gateway->notices, attempt->endpoint_id, attempt->start_ms, answer);
      if (status == DY_HTTP_UNAVAILABLE)
        dy_endpoint_notices_take_wait (gateway->notices, attempt->endpoint_id, attempt->start_ms,
                                       answer);
    }
  if (!attempt->foreign && answer->max_idle_s > 0 && answer->max_idle_s != max_idle_s (attempt))
    g_hash_table_insert (gateway->max_idle_by_service, g_strdup (attempt->service),
                         GINT_TO_POINTER ((int) answer->max_idle_s));
  attempt->answer.request_id = NULL;
  if (attempt->watcher->head)
    attempt->watcher->head (attempt->ctx);
  return !attempt->foreign;
}

static bool
on_data (void *ctx, DyHttpTransfer *transfer, const char *data, size_t n)
{
  DyGatewayAttempt *attempt = ctx;
  (void) transfer;
  dy_gateway_record_bytes (attempt->gateway, attempt->endpoint_id);
  attempt->paused = !attempt->watcher->data (attempt->ctx, data, n);
  attempt->was_paused = attempt->was_paused || attempt->paused;
  return !attempt->paused;
}

/* Returns whether a caller would take STATUS to mean that the request has not run. Only the
 * endpoint knows that, so without its confirmation the request may have run. */
static bool
implies_not_run (unsigned status)
{
  return status == DY_HTTP_TOO_MANY_REQUESTS || status == DY_HTTP_UNAVAILABLE
         || status == DY_HTTP_REQUEST_TIMEOUT || status == DY_HTTP_MISDIRECTED;
}

static DyPlacementOutcome
classify (const DyGatewayAttempt *attempt, const DyHttpResult *result, DyGatewayAttemptResult *out)
{
  if (attempt->endpoint_left)
    {
      out->endpoint_left = true;
      out->outcome = DY_ATTEMPT_NOT_SENT;
      return DY_PLACEMENT_CANCELLED;
    }
  if (!attempt->sent)
    {
      out->outcome = DY_ATTEMPT_NOT_SENT;
      return DY_PLACEMENT_UNREACHABLE;
    }
  if (result->error || attempt->foreign)
    {
      out->crashed
          = !attempt->foreign && (result->error == DY_UNAVAILABLE || result->error == DY_PROTOCOL);
      out->outcome = attempt->head_received ? DY_ATTEMPT_BROKEN : DY_ATTEMPT_UNANSWERED;
      return DY_PLACEMENT_FAILED;
    }
  if (attempt->status == DY_HTTP_MISDIRECTED)
    {
      out->outcome = DY_ATTEMPT_NOT_RUN;
      return DY_PLACEMENT_MISDIRECTED;
    }
  if (attempt->answer.not_run)
    {
      out->outcome = DY_ATTEMPT_NOT_RUN;
      return DY_PLACEMENT_FULL;
    }
  if (implies_not_run (attempt->status))
    {
      out->outcome = DY_ATTEMPT_UNANSWERED;
      return DY_PLACEMENT_FAILED;
    }
  out->complete = true;
  out->endpoint_error = attempt->status >= DY_HTTP_SERVER_ERROR;
  return out->endpoint_error ? DY_PLACEMENT_FAILED : DY_PLACEMENT_ANSWERED;
}

/* Returns the mean time between the events of the answer; 0: it does not show how fast the endpoint
 * is. */
static double
us_per_event (const DyGatewayAttempt *attempt)
{
  enum
  {
    MIN_EVENTS = 4, /* fewer say little, as events come in bundles */
  };
  uint64_t n = attempt->n_events - attempt->first_events;
  if (attempt->was_paused || attempt->first_event_us == 0 || n < MIN_EVENTS)
    return 0.0;
  return (double) (attempt->last_event_us - attempt->first_event_us) / (double) n;
}

static void
release (DyGatewayAttempt *attempt, DyPlacementOutcome outcome)
{
  if (attempt->cold_reserved)
    dy_cold_endpoints_cancel (attempt->gateway->cold, attempt->endpoint_id, attempt->start_ms);
  attempt->cold_reserved = false;
  if (attempt->endpoint && outcome == DY_PLACEMENT_ANSWERED && attempt->is_success)
    dy_placement_record_answer (&attempt->gateway->directory->placement, attempt->endpoint,
                                now_us (attempt) - attempt->placed_us, us_per_event (attempt),
                                now_us (attempt));
  if (attempt->endpoint)
    dy_placement_end (&attempt->gateway->directory->placement, attempt->endpoint, &attempt->work,
                      attempt->prompt_read, outcome, now_us (attempt));
  g_ptr_array_unref (attempt->lines);
  g_free (attempt->request_id);
  g_free (attempt->service);
  attempt->lines = NULL;
  attempt->request_id = NULL;
  attempt->service = NULL;
}

static void
log_failure (const DyGatewayAttempt *attempt,
             const DyHttpResult *result,
             DyPlacementOutcome outcome)
{
  dy_log (DY_EVENT_ENDPOINT_FAILED,
          "request=%s endpoint=%s error=%s status=%u sent=%d left=%d head=%d foreign=%d not_run=%d "
          "evacuated=%d end=%d reused=%d earlier_status=%u idle_ms=%" G_GINT64_FORMAT
          " after_ms=%" G_GINT64_FORMAT " bytes=%" G_GUINT64_FORMAT,
          attempt->request_id, attempt->endpoint_id, dy_error_info (result->error)->kind,
          attempt->status, attempt->sent, attempt->endpoint_left, attempt->head_received,
          attempt->foreign, attempt->answer.not_run,
          dy_placement_endpoint_is_evacuated (attempt->endpoint), outcome, result->reused,
          result->earlier_status, result->idle_us / 1000,
          result->sent_us ? (now_us (attempt) - result->sent_us) / 1000 : INT64_C (-1),
          result->n_body_bytes);
}

/* Records what the attempt tells of new connections to endpoints. */
static void
record_reach (const DyGatewayAttempt *attempt, const DyHttpResult *result)
{
  /* Bytes that are no valid answer show that the connection works, too. */
  bool answered = attempt->head_received || result->error == DY_PROTOCOL;
  bool failed = result->error && !answered && !attempt->foreign;
  bool late = result->error == DY_TIMEOUT;
  if (attempt->endpoint_left || result->reused)
    return;
  if (failed)
    dy_reachability_record_failure (attempt->gateway->reachability, attempt->endpoint_id,
                                    late ? DY_REACH_UNMADE : DY_REACH_REFUSED, attempt->placed_us);
  else if (answered)
    dy_reachability_record_success (attempt->gateway->reachability);
}

static void
on_done (void *ctx, const DyHttpResult *result)
{
  DyGatewayAttempt *attempt = ctx;
  DyGatewayAttemptResult out = { 0 };
  attempt->transfer = NULL;
  attempt->sent = result->connected;
  out.is_new_connection = !result->reused;
  if (result->sent_us)
    {
      attempt->send_us = result->sent_us - attempt->placed_us;
      dy_counters_observe (&attempt->gateway->kernel->counters, DY_HISTOGRAM_SEND,
                           attempt->send_us);
    }
  DyPlacementOutcome outcome = classify (attempt, result, &out);
  record_reach (attempt, result);
  if (outcome != DY_PLACEMENT_ANSWERED)
    log_failure (attempt, result, outcome);
  release (attempt, outcome);
  attempt->watcher->done (attempt->ctx, &out);
}

static const DyHttpTransferWatcher transfer_watcher
    = { .before_send = on_before_send, .head = on_head, .data = on_data, .done = on_done };

static void
start (DyGatewayAttempt *attempt, const DyGatewayAttemptSpec *attempt_spec)
{
  const DyForwardedRequest *forwarded = attempt_spec->forwarded;
  DyGateway *gateway = attempt->gateway;
  const char *method = forwarded->method;
  char *url = g_strconcat ("http://", dy_placement_endpoint_address (attempt->endpoint),
                           forwarded->target, NULL);
  bool has_body
      = forwarded->n_body > 0 || strcmp (method, "POST") == 0 || strcmp (method, "PUT") == 0;
  DyHttpSpec spec = { .method = method,
                      .url = url,
                      .headers = (const char *const *) attempt->lines->pdata,
                      .body = has_body ? forwarded->body : NULL,
                      .n_body = forwarded->n_body,
                      .tag = attempt->request_id[0] ? g_str_hash (attempt->request_id) : 0,
                      .connect_timeout_ms = CONNECT_TIMEOUT_MS,
                      .timeout_ms = DY_HTTP_MAX_STREAM_MS,
                      .max_body_bytes = DY_HTTP_MAX_STREAM_BYTES,
                      .new_connection = attempt_spec->new_connection,
                      .max_idle_ms = max_idle_ms (attempt),
                      .max_silence_ms = MAX_SILENCE_MS };
  attempt->transfer = dy_http_client_start (&gateway->client, &spec, &transfer_watcher, attempt);
  g_free (url);
}

typedef struct
{
  const DyDialect *dialect;
  GPtrArray *lines;
  bool has_accept;
  bool has_content_type;
} HeaderCopy;

static void
copy_header (void *ctx, const char *name, const char *value)
{
  HeaderCopy *copy = ctx;
  if (!copy->dialect->forwards_to_endpoint (name))
    return;
  copy->has_accept = copy->has_accept || g_ascii_strcasecmp (name, "Accept") == 0;
  copy->has_content_type = copy->has_content_type || g_ascii_strcasecmp (name, "Content-Type") == 0;
  /* libcurl sends an empty value for "Name;" and leaves the header out for "Name:". */
  g_ptr_array_add (copy->lines, value[0] ? g_strconcat (name, ": ", value, NULL)
                                         : g_strconcat (name, ";", NULL));
}

GPtrArray *
dy_gateway_forwarded_lines (const DyDialect *dialect, DyHttpCall *call)
{
  HeaderCopy copy = { .dialect = dialect, .lines = g_ptr_array_new_with_free_func (g_free) };
  dy_http_call_visit_headers (call, copy_header, &copy);
  if (!copy.has_accept)
    g_ptr_array_add (copy.lines, g_strdup ("Accept:"));
  if (!copy.has_content_type)
    g_ptr_array_add (copy.lines, g_strdup ("Content-Type:"));
  g_ptr_array_add (copy.lines, NULL);
  return copy.lines;
}

static void
build_lines (DyGatewayAttempt *attempt, const DyGatewayAttemptSpec *spec)
{
  for (const char *const *line = spec->forwarded->lines; *line; line++)
    g_ptr_array_add (attempt->lines, g_strdup (*line));
  attempt->gateway->dialect->encode_attempt (&spec->head, attempt->lines);
  g_ptr_array_add (attempt->lines, NULL);
}

/* Resets ATTEMPT, but for the array of headers. */
static void
reset (DyGatewayAttempt *attempt,
       DyGateway *gateway,
       const DyGatewayAttemptSpec *spec,
       const DyGatewayAttemptWatcher *watcher,
       void *ctx)
{
  GPtrArray *headers = attempt->headers;
  g_free (attempt->endpoint_id);
  g_free (attempt->version);
  memset (attempt, 0, sizeof *attempt);
  attempt->gateway = gateway;
  attempt->watcher = watcher;
  attempt->ctx = ctx;
  attempt->request_id = g_strdup (spec->request_id);
  attempt->service = g_strdup (spec->service);
  attempt->work = spec->work;
  attempt->placed_us = now_us (attempt);
  attempt->send_us = -1;
  attempt->lines = g_ptr_array_new_with_free_func (g_free);
  attempt->headers = headers ? headers : g_ptr_array_new_with_free_func (g_free);
  g_ptr_array_set_size (attempt->headers, 0);
}

void
dy_gateway_attempt_init (DyGatewayAttempt *attempt,
                         DyGateway *gateway,
                         DyPlacementEndpoint *endpoint,
                         const DyGatewayAttemptSpec *spec,
                         const DyGatewayAttemptWatcher *watcher,
                         void *ctx)
{
  reset (attempt, gateway, spec, watcher, ctx);
  attempt->endpoint = endpoint;
  attempt->endpoint_id = g_strdup (dy_placement_endpoint_id (endpoint));
  attempt->version = g_strdup (dy_placement_endpoint_version (endpoint));
  attempt->start_ms = dy_placement_endpoint_start_ms (endpoint);
  build_lines (attempt, spec);
  attempt->cold_reserved
      = dy_cold_endpoints_reserve (gateway->cold, attempt->endpoint_id, attempt->start_ms);
  dy_placement_begin (&gateway->directory->placement, endpoint, &attempt->work, attempt->placed_us);
  start (attempt, spec);
}

static void
on_relay_placed (void *ctx, const char *endpoint_id, const char *version)
{
  DyGatewayAttempt *attempt = ctx;
  g_free (attempt->endpoint_id);
  g_free (attempt->version);
  attempt->endpoint_id = g_strdup (endpoint_id);
  attempt->version = g_strdup (version);
  attempt->watcher->placed (attempt->ctx, endpoint_id);
  if (attempt->watcher->ready)
    attempt->watcher->ready (attempt->ctx);
}

/* The router that made the attempt tells all others, but this one passes the answer on and may not
 * hear of it for a while. */
static void
take_relayed_notices (DyGatewayAttempt *attempt, const char *const *headers)
{
  DyGateway *gateway = attempt->gateway;
  GArray *fields = g_array_new (FALSE, FALSE, sizeof (DyHttpHeader));
  DyAnswerHead answer;
  for (; headers[0] && headers[1]; headers += 2)
    {
      DyHttpHeader field = { .name = headers[0], .value = headers[1] };
      g_array_append_val (fields, field);
    }
  gateway->dialect->decode_answer ((const DyHttpHeader *) (void *) fields->data, fields->len,
                                   &answer);
  bool foreign = answer.request_id && strcmp (answer.request_id, attempt->request_id) != 0;
  if (attempt->endpoint_id && !foreign && attempt->status != DY_HTTP_MISDIRECTED)
    dy_endpoint_notices_take (gateway->notices, attempt->endpoint_id,
                              dy_directory_start_ms (gateway->directory, attempt->endpoint_id),
                              &answer);
  g_array_unref (fields);
}

static void
on_relay_head (void *ctx, unsigned status, bool is_success, const char *const *headers)
{
  DyGatewayAttempt *attempt = ctx;
  attempt->head_received = true;
  attempt->status = status;
  attempt->is_success = is_success;
  take_relayed_notices (attempt, headers);
  for (; headers[0] && headers[1]; headers += 2)
    add_header (attempt->headers, headers[0], headers[1]);
  if (attempt->watcher->head)
    attempt->watcher->head (attempt->ctx);
}

static bool
on_relay_data (void *ctx, const char *data, size_t n)
{
  DyGatewayAttempt *attempt = ctx;
  attempt->paused = !attempt->watcher->data (attempt->ctx, data, n);
  return !attempt->paused;
}

static void
on_relay_silent (void *ctx)
{
  const DyGatewayAttempt *attempt = ctx;
  if (attempt->watcher->silent)
    attempt->watcher->silent (attempt->ctx);
}

static void
on_relay_done (void *ctx, const DyGatewayAttemptResult *result)
{
  DyGatewayAttempt *attempt = ctx;
  attempt->relay = NULL;
  attempt->sent = result->outcome != DY_ATTEMPT_NOT_SENT;
  release (attempt, DY_PLACEMENT_CANCELLED);
  attempt->watcher->done (attempt->ctx, result);
}

static const DyRelayWatcher relay_watcher = { .placed = on_relay_placed,
                                              .head = on_relay_head,
                                              .data = on_relay_data,
                                              .silent = on_relay_silent,
                                              .done = on_relay_done };

bool
dy_gateway_attempt_init_relayed (DyGatewayAttempt *attempt,
                                 DyGateway *gateway,
                                 const DyGatewayRelay *relay,
                                 const DyGatewayAttemptSpec *spec,
                                 const DyGatewayAttemptWatcher *watcher,
                                 void *ctx)
{
  DyRelaySpec relay_spec = { .attempt = spec,
                             .plan = relay->plan,
                             .version = relay->version,
                             .avoid = relay->avoid,
                             .except = relay->except };
  reset (attempt, gateway, spec, watcher, ctx);
  attempt->relay
      = dy_relays_start (gateway->relays, relay->peer, &relay_spec, &relay_watcher, attempt);
  if (!attempt->relay)
    release (attempt, DY_PLACEMENT_CANCELLED);
  return attempt->relay != NULL;
}

void
dy_gateway_attempt_finish (DyGatewayAttempt *attempt)
{
  if (attempt->headers)
    g_ptr_array_unref (attempt->headers);
  attempt->headers = NULL;
  g_free (attempt->endpoint_id);
  g_free (attempt->version);
  attempt->endpoint_id = NULL;
  attempt->version = NULL;
}

const char *
dy_gateway_attempt_router (const DyGatewayAttempt *attempt)
{
  return attempt->relay ? dy_relay_call_peer (attempt->relay) : NULL;
}

bool
dy_gateway_attempt_was_sent (const DyGatewayAttempt *attempt)
{
  /* Whether a relay was sent on is not known here. */
  if (attempt->relay)
    return true;
  return attempt->transfer ? dy_http_transfer_was_sent (attempt->transfer) : attempt->sent;
}

bool
dy_gateway_attempt_is_answer (const DyGatewayAttempt *attempt)
{
  if (attempt->is_success)
    return true;
  return attempt->status > DY_HTTP_LAST_SUCCESS && attempt->status < DY_HTTP_SERVER_ERROR
         && !attempt->foreign && !attempt->answer.not_run && !implies_not_run (attempt->status);
}

bool
dy_gateway_attempt_states_not_run (const DyGatewayAttempt *attempt)
{
  return attempt->head_received && !attempt->foreign
         && (attempt->status == DY_HTTP_MISDIRECTED || attempt->answer.not_run);
}

void
dy_gateway_attempt_on_first_event (DyGatewayAttempt *attempt)
{
  if (attempt->prompt_read)
    return;
  attempt->prompt_read = true;
  if (attempt->endpoint)
    dy_placement_prompt_read (attempt->endpoint, &attempt->work);
}

void
dy_gateway_attempt_on_events (DyGatewayAttempt *attempt, uint64_t n_events)
{
  attempt->last_event_us = now_us (attempt);
  attempt->n_events = n_events;
  if (attempt->first_event_us != 0)
    return;
  attempt->first_event_us = attempt->last_event_us;
  attempt->first_events = n_events;
}

void
dy_gateway_attempt_reject (DyGatewayAttempt *attempt)
{
  if (attempt->relay)
    dy_relay_call_reject (attempt->relay);
  else
    dy_http_transfer_reject (attempt->transfer);
}

void
dy_gateway_attempt_resume (DyGatewayAttempt *attempt)
{
  if (!attempt->paused)
    return;
  attempt->paused = false;
  if (attempt->relay)
    dy_relay_call_resume (attempt->relay);
  else if (attempt->transfer)
    dy_http_transfer_resume (attempt->transfer);
}

void
dy_gateway_attempt_cancel (DyGatewayAttempt *attempt, DyPlacementOutcome outcome)
{
  if (attempt->transfer && outcome == DY_PLACEMENT_FAILED && !attempt->head_received)
    dy_reachability_record_silence (attempt->gateway->reachability);
  if (attempt->transfer)
    dy_http_transfer_cancel (attempt->transfer);
  if (attempt->relay)
    dy_relay_call_cancel (attempt->relay);
  attempt->transfer = NULL;
  attempt->relay = NULL;
  release (attempt, outcome == DY_PLACEMENT_FAILED ? DY_PLACEMENT_SILENT : outcome);
}
