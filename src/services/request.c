#include "services/request.h"

#include "core/answer_stream.h"
#include "kernel/error.h"
#include "kernel/log.h"
#include "services/claim.h"

#include <string.h>
#include <xxhash.h>

enum
{
  HTTP_OK = 200,
};

typedef enum
{
  REQUEST_QUEUED,
  REQUEST_RESERVING,
  REQUEST_CLAIMING,
  REQUEST_RUNNING,
  REQUEST_SETTLING,
  REQUEST_OVER,
} RequestState;

typedef struct
{
  DyCallers *callers;
  DyHttpCall *call; /* NULL once it is closed */
  RequestState state;
  char account[DY_NAME_SIZE];
  char *target;
  char *path;
  char *method;
  DyEndpointKind kind;
  bool idempotent;
  bool admitted; /* holds an admission slot */
  bool has_key;
  DyKeyHash key;
  uint64_t body_hash;
  int64_t unused_tokens; /* part of the worst case that was not used; set when settling */
  DyClaim *claim;
  bool has_chat;
  DyChatRequest chat;
  GString *service_body;
  DyTicket *ticket;
  DyAttempt *attempt;
  bool paused;
  GPtrArray *tried; /* names of the endpoints tried, NULL at the end */
  uint32_t n_attempts;
  uint32_t n_crashes; /* attempts that ended without an answer or with a partial one */
  bool may_have_run;
  bool stream_started;
  DyAnswerStream stream;
  GString *answer; /* the body; of a stream, the bytes not sent yet */
  bool too_large;
  unsigned status;
} Request;

static void start_attempt (Request *request);

static void
count (const Request *request, DyCounter counter)
{
  dy_counters_add (&request->callers->kernel->counters, counter, 1);
}

static bool
is_streamed (const Request *request)
{
  return request->has_chat && request->chat.stream;
}

static void
remove_request (Request *request)
{
  DyCallers *callers = request->callers;
  g_hash_table_remove (callers->requests, request);
  dy_counters_set (&callers->kernel->counters, DY_COUNTER_IN_FLIGHT,
                   g_hash_table_size (callers->requests));
}

static void
release_slot (Request *request)
{
  if (!request->admitted)
    return;
  request->admitted = false;
  dy_admission_done (&request->callers->admission, request->account, request->unused_tokens);
}

/* Ends the request, which is freed once its call is closed, too. */
static void
end_request (Request *request)
{
  request->state = REQUEST_OVER;
  release_slot (request);
  if (!request->call)
    remove_request (request);
}

static int64_t
now_us (const Request *request)
{
  return dy_kernel_now_us (request->callers->kernel);
}

static void
free_claim (Request *request, bool remove)
{
  if (request->claim)
    dy_claim_free (request->claim, remove);
  request->claim = NULL;
}

/* Releases the claim and the reservation. */
static void
release (Request *request, DyRequestEnd end)
{
  free_claim (request, end == DY_END_NOT_RUN);
  if (request->ticket)
    dy_reservations_release (&request->callers->budgets->reservations, request->ticket, end,
                             request->n_crashes, now_us (request));
  request->ticket = NULL;
}

/* Ends the request without a charge; ERROR is its answer or the last event of its stream. */
static void
fail_request (Request *request, int error, const char *detail)
{
  bool not_run = dy_error_info (error)->run == DY_RUN_NOT_RUN;
  release (request, not_run ? DY_END_NOT_RUN : DY_END_UNKNOWN);
  dy_counters_add_refusal (&request->callers->kernel->counters, error);
  dy_log (DY_EVENT_REQUEST_REFUSED, "account=%s kind=%s", request->account,
          dy_error_info (error)->kind);
  if (request->call && request->stream_started)
    {
      char *json = dy_callers_error_json (error, detail);
      char *event = g_strdup_printf ("data: %s\n\n", json);
      count (request, DY_COUNTER_BROKEN);
      dy_http_call_write (request->call, event, strlen (event));
      dy_http_call_end (request->call);
      g_free (event);
      free (json);
    }
  else if (request->call)
    dy_callers_refuse (request->callers, request->call, error, detail);
  end_request (request);
}

static void
send_complete (Request *request)
{
  dy_http_call_reply (request->call, request->has_chat ? HTTP_OK : request->status,
                      "application/json", request->answer->str, request->answer->len);
}

static void
start_stream (Request *request)
{
  if (request->stream_started)
    return;
  request->stream_started = true;
  dy_http_call_add_header (request->call, "Cache-Control", "no-cache");
  dy_http_call_start_stream (request->call, HTTP_OK, "text/event-stream");
}

static void
send_last_part (Request *request)
{
  count (request, DY_COUNTER_ANSWERED);
  if (!is_streamed (request))
    {
      send_complete (request);
      return;
    }
  start_stream (request);
  dy_http_call_write (request->call, request->stream.held->str, request->stream.held->len);
  dy_http_call_end (request->call);
}

static void
on_settled (void *ctx, int error, int64_t charged_tokens)
{
  Request *request = ctx;
  request->ticket = NULL;
  free_claim (request, false);
  dy_counters_add (&request->callers->kernel->counters, DY_COUNTER_BILLED_TOKENS, charged_tokens);
  if (error)
    {
      dy_log (DY_EVENT_SETTLE_FAILED, "account=%s", request->account);
      fail_request (request, error, "");
      return;
    }
  if (request->call)
    send_last_part (request);
  end_request (request);
}

static int64_t
used_tokens (const Request *request)
{
  int64_t usage = is_streamed (request)
                      ? request->stream.usage_tokens
                      : dy_answer_usage_tokens (request->answer->str, request->answer->len);
  if (usage >= 0)
    return usage;
  return dy_chat_request_estimate_tokens (&request->chat, request->stream.n_parts);
}

static void
settle (Request *request, DyRequestEnd end)
{
  int64_t used = request->has_chat ? used_tokens (request) : 0;
  request->state = REQUEST_SETTLING;
  request->unused_tokens = request->has_chat ? MAX (request->chat.worst_case_tokens - used, 0) : 0;
  if (request->has_chat && used > request->chat.worst_case_tokens)
    dy_counters_add (&request->callers->kernel->counters, DY_COUNTER_CAPPED_TOKENS,
                     used - request->chat.worst_case_tokens);
  if (!request->ticket)
    on_settled (request, DY_OK, 0);
  else
    dy_reservations_settle (&request->callers->budgets->reservations, request->ticket, used, end,
                            on_settled, request, now_us (request));
}

static bool
on_attempt_data (void *ctx, const char *data, size_t n)
{
  Request *request = ctx;
  const DySettings *settings = request->callers->kernel->settings;
  if (!is_streamed (request))
    {
      request->too_large
          = request->too_large || request->answer->len + n > (size_t) settings->max_answer_bytes;
      if (!request->too_large)
        g_string_append_len (request->answer, data, (gssize) n);
      return true;
    }
  if (!request->call)
    return true;
  if (dy_http_call_unsent_bytes (request->call) >= (size_t) settings->stream_buffer_bytes)
    {
      request->paused = true;
      return false;
    }
  GString *out = request->answer;
  dy_answer_stream_feed (&request->stream, data, n, out);
  if (out->len > 0)
    {
      start_stream (request);
      dy_http_call_write (request->call, out->str, out->len);
      g_string_truncate (out, 0);
    }
  return true;
}

static void
retry_or_fail (Request *request, DyAttemptOutcome outcome)
{
  DyCallers *callers = request->callers;
  if (outcome == DY_ATTEMPT_UNANSWERED || outcome == DY_ATTEMPT_BROKEN)
    request->n_crashes++;
  DyRetryQuery query = { .outcome = outcome,
                         .idempotent = request->idempotent,
                         .answer_seen = request->stream_started,
                         .may_have_run = request->may_have_run,
                         .n_attempts = request->n_attempts,
                         .n_crashes = request->n_crashes,
                         .max_attempts = (uint32_t) callers->kernel->settings->max_attempts };
  DyRetryDecision decision = dy_retry_decide (&callers->retry_budget, &query);
  if (outcome == DY_ATTEMPT_UNANSWERED || outcome == DY_ATTEMPT_BROKEN)
    request->may_have_run = true;
  if (!decision.retry)
    {
      fail_request (request, decision.error, "");
      return;
    }
  count (request, DY_COUNTER_RETRIES);
  start_attempt (request);
}

static void
reset_answer (Request *request)
{
  dy_answer_stream_finish (&request->stream);
  dy_answer_stream_init (&request->stream, request->chat.include_usage);
  g_string_truncate (request->answer, 0);
  request->too_large = false;
  request->paused = false;
}

static void
on_attempt_done (void *ctx, bool failed, DyAttemptOutcome outcome, unsigned status)
{
  Request *request = ctx;
  request->attempt = NULL;
  request->status = status;
  if (!failed && is_streamed (request) && !request->stream.complete)
    {
      failed = true;
      outcome = DY_ATTEMPT_BROKEN;
    }
  if (failed)
    retry_or_fail (request, outcome);
  else if (request->too_large)
    fail_request (request, DY_STREAM_BROKEN, "the answer exceeds max_answer_bytes; use a stream");
  else
    settle (request, DY_END_COMPLETE);
}

static const DyAttemptWatcher attempt_watcher
    = { .data = on_attempt_data, .done = on_attempt_done };

static void
add_tried (Request *request, const char *endpoint)
{
  g_ptr_array_remove_index (request->tried, request->tried->len - 1);
  g_ptr_array_add (request->tried, g_strdup (endpoint));
  g_ptr_array_add (request->tried, NULL);
}

static void
start_attempt (Request *request)
{
  DyAttemptSpec spec
      = { .model = request->target,
          .kind = request->kind,
          .avoid = (const char *const *) request->tried->pdata,
          .method = request->method,
          .path = request->path,
          .body = request->has_chat ? request->chat.body : request->service_body->str };
  spec.n_body = request->has_chat ? strlen (spec.body) : request->service_body->len;
  reset_answer (request);
  request->state = REQUEST_RUNNING;
  request->attempt
      = dy_endpoints_start (request->callers->endpoints, &spec, &attempt_watcher, request);
  if (!request->attempt)
    {
      fail_request (request, request->may_have_run ? DY_OUTCOME_UNKNOWN : DY_NO_ENDPOINT, "");
      return;
    }
  request->n_attempts++;
  add_tried (request, dy_attempt_endpoint (request->attempt));
}

static void
on_claimed (void *ctx, int error)
{
  Request *request = ctx;
  if (error)
    fail_request (request, error, "");
  else
    start_attempt (request);
}

static void
on_reserved (void *ctx, int error, int64_t charged_tokens)
{
  Request *request = ctx;
  DyCallers *callers = request->callers;
  (void) charged_tokens;
  if (error)
    {
      request->ticket = NULL;
      fail_request (request, error, "");
      return;
    }
  dy_retry_budget_deposit (&callers->retry_budget);
  if (request->idempotent)
    {
      start_attempt (request);
      return;
    }
  DyRequestId id = dy_ticket_id (request->ticket);
  request->state = REQUEST_CLAIMING;
  request->claim = dy_claim_new (callers->budgets->platform, request->account, &request->key, &id);
  dy_claim_take (request->claim, on_claimed, request);
}

static void
on_call_drained (void *ctx, DyHttpCall *call)
{
  Request *request = ctx;
  (void) call;
  if (!request->paused || !request->attempt)
    return;
  request->paused = false;
  dy_attempt_resume (request->attempt);
}

/* Ends a request whose caller disconnected: cancels the attempt and charges the tokens produced, if
 * any. */
static void
cancel_request (Request *request)
{
  count (request, DY_COUNTER_CANCELLED);
  dy_log (DY_EVENT_REQUEST_CANCELLED, "account=%s parts=%" G_GINT64_FORMAT, request->account,
          request->stream.n_parts);
  bool was_sent = request->may_have_run || request->attempt;
  if (request->attempt)
    dy_attempt_cancel (request->attempt, false);
  request->attempt = NULL;
  if (request->ticket && request->stream.n_parts > 0)
    {
      settle (request, DY_END_PARTIAL);
      return;
    }
  release (request, was_sent ? DY_END_UNKNOWN : DY_END_NOT_RUN);
  end_request (request);
}

static void
on_call_closed (void *ctx, DyHttpCall *call, bool complete)
{
  Request *request = ctx;
  (void) call;
  (void) complete;
  request->call = NULL;
  if (request->state == REQUEST_OVER)
    remove_request (request);
  else if (request->state == REQUEST_QUEUED)
    {
      dy_admission_cancel (&request->callers->admission, request->account, request);
      end_request (request);
    }
  else if (request->state != REQUEST_SETTLING)
    cancel_request (request);
}

static const DyHttpCallWatcher call_watcher
    = { .drained = on_call_drained, .closed = on_call_closed };

static Request *
new_request (DyCallers *callers, DyHttpCall *call, const DyRequestSpec *spec)
{
  Request *request = g_new0 (Request, 1);
  request->callers = callers;
  request->call = call;
  g_strlcpy (request->account, spec->account->name, DY_NAME_SIZE);
  request->target = g_strdup (spec->target);
  request->path = g_strdup (spec->path);
  request->method = g_strdup (dy_http_call_method (call));
  request->kind = spec->kind;
  request->idempotent = spec->idempotent;
  request->has_key = spec->key != NULL;
  request->key = dy_register_hash (spec->account->name, spec->key);
  request->has_chat = spec->chat != NULL;
  if (spec->chat)
    request->chat = *spec->chat;
  else
    request->service_body
        = g_string_new_len (dy_http_call_body (call)->str, (gssize) dy_http_call_body (call)->len);
  request->tried = g_ptr_array_new_with_free_func (g_free);
  g_ptr_array_add (request->tried, NULL);
  dy_answer_stream_init (&request->stream, request->chat.include_usage);
  request->answer = g_string_new (NULL);
  return request;
}

void
dy_request_free (gpointer key)
{
  Request *request = key;
  dy_answer_stream_finish (&request->stream);
  dy_chat_request_finish (&request->chat);
  g_string_free (request->answer, TRUE);
  if (request->service_body)
    g_string_free (request->service_body, TRUE);
  g_ptr_array_unref (request->tried);
  g_free (request->target);
  g_free (request->path);
  g_free (request->method);
  g_free (request);
}

static void
on_admitted (void *ctx, void *item)
{
  Request *request = item;
  DyCallers *callers = ctx;
  request->admitted = true;
  request->state = REQUEST_RESERVING;
  if (request->has_chat)
    dy_chat_request_set_priority (&request->chat,
                                  dy_admission_priority (&callers->admission, request->account));
  if (!request->has_chat && !request->has_key)
    {
      on_reserved (request, DY_OK, 0);
      return;
    }
  DyReservationSpec spec = { .account = request->account,
                             .tokens = request->has_chat ? request->chat.worst_case_tokens : 0,
                             .key = request->key,
                             .body_hash = request->body_hash,
                             .idempotent = request->idempotent };
  dy_reservations_reserve (&callers->budgets->reservations, &spec, on_reserved, request,
                           &request->ticket, now_us (request));
}

static void
on_refused (void *ctx, void *item, int error)
{
  (void) ctx;
  fail_request (item, error, "");
}

const DyAdmissionActions dy_request_admission_actions
    = { .admit = on_admitted, .refuse = on_refused };

void
dy_request_start (DyCallers *callers, DyHttpCall *call, const DyRequestSpec *spec)
{
  Request *request = new_request (callers, call, spec);
  g_hash_table_add (callers->requests, request);
  dy_counters_set (&callers->kernel->counters, DY_COUNTER_IN_FLIGHT,
                   g_hash_table_size (callers->requests));
  count (request, DY_COUNTER_REQUESTS);
  dy_http_call_watch (call, &call_watcher, request);
  request->state = REQUEST_QUEUED;
  request->body_hash = XXH3_64bits (dy_http_call_body (call)->str, dy_http_call_body (call)->len);
  dy_admission_submit (&callers->admission, request->account, spec->account->share,
                       request->has_chat ? request->chat.worst_case_tokens : 0,
                       now_us (request) + callers->kernel->settings->queue_wait_ms * 1000, request);
}
