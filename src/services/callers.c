#include "services/callers.h"

#include "core/chat.h"
#include "kernel/error.h"
#include "kernel/log.h"
#include "services/request.h"

#include <string.h>

enum
{
  MAX_KEY_BYTES = 255,
};

static const double TICK_S = 0.1;

static const char chat_path[] = "/v1/chat/completions";
static const char models_path[] = "/v1/models";
static const char services_prefix[] = "/v1/services/";
static const char bearer_prefix[] = "Bearer ";

char *
dy_callers_error_json (int error, const char *detail)
{
  const DyErrorInfo *info = dy_error_info (error);
  char *message
      = detail[0] ? g_strdup_printf ("%s: %s", info->text, detail) : g_strdup (info->text);
  json_t *root = json_pack ("{s:{s:s, s:s, s:s, s:i}}", "error", "kind", info->kind, "message",
                            message, "run", dy_run_status_name (info->run), "retry_after_s",
                            (int) info->retry_after_s);
  char *text = json_dumps (root, JSON_COMPACT);
  json_decref (root);
  g_free (message);
  return text;
}

void
dy_callers_refuse (DyCallers *callers, DyHttpCall *call, int error, const char *detail)
{
  const DyErrorInfo *info = dy_error_info (error);
  char *body = dy_callers_error_json (error, detail);
  (void) callers;
  if (info->retry_after_s > 0)
    {
      char seconds[16];
      g_snprintf (seconds, sizeof seconds, "%u", info->retry_after_s);
      dy_http_call_add_header (call, "Retry-After", seconds);
    }
  dy_http_call_reply (call, info->http_status, "application/json", body, strlen (body));
  free (body);
}

static const DyClientAccount *
authenticate (const DyCallers *callers, DyHttpCall *call)
{
  const char *value = dy_http_call_header (call, "Authorization");
  if (!value || !g_str_has_prefix (value, bearer_prefix))
    return NULL;
  return dy_declarations_authenticate (&callers->config->declarations,
                                       value + sizeof bearer_prefix - 1);
}

static bool
is_marked_idempotent (DyHttpCall *call)
{
  const char *value = dy_http_call_header (call, "Idempotent");
  return !value || g_ascii_strcasecmp (value, "no") != 0;
}

/* A request that is not idempotent needs a key: without one, a retry could not be told apart from a
 * new request. */
static int
check_key (const DyRequestSpec *spec, const char **detail)
{
  size_t n = spec->key ? strlen (spec->key) : 0;
  *detail = "";
  if (spec->key && (n == 0 || n > MAX_KEY_BYTES))
    *detail = "Idempotency-Key must have 1 to 255 bytes";
  else if (!spec->key && !spec->idempotent)
    *detail = "a request that is not idempotent needs an Idempotency-Key";
  return (*detail)[0] ? DY_BAD_REQUEST : DY_OK;
}

/* Starts the request, or refuses it if its key is missing or invalid. */
static void
start_request (DyCallers *callers, DyHttpCall *call, DyRequestSpec *spec)
{
  const char *detail;
  spec->key = dy_http_call_header (call, "Idempotency-Key");
  int error = check_key (spec, &detail);
  if (!error)
    {
      dy_request_start (callers, call, spec);
      return;
    }
  if (spec->chat)
    dy_chat_request_finish (spec->chat);
  dy_callers_refuse (callers, call, error, detail);
}

static int
check_chat (const DyCallers *callers,
            const DyClientAccount *account,
            const DyChatRequest *chat,
            const char **detail)
{
  *detail = "";
  if (!dy_client_account_allows (account, chat->model)
      || !dy_routing_serves (&callers->endpoints->routing, chat->model, DY_ENDPOINT_ENGINE))
    return DY_UNKNOWN_MODEL;
  if (chat->max_tokens * chat->n_choices <= account->max_tokens_per_request)
    return DY_OK;
  *detail = "max_tokens exceeds the client account's max_tokens_per_request";
  return DY_BAD_REQUEST;
}

static void
handle_chat (DyCallers *callers, DyHttpCall *call, const DyClientAccount *account)
{
  DyChatRequest chat;
  const char *detail;
  const GString *body = dy_http_call_body (call);
  int error = dy_chat_request_init (&chat, body->str, body->len, &detail);
  if (!error)
    {
      error = check_chat (callers, account, &chat, &detail);
      if (error)
        dy_chat_request_finish (&chat);
    }
  if (error)
    {
      dy_callers_refuse (callers, call, error, detail);
      return;
    }
  DyRequestSpec spec = { .account = account,
                         .idempotent = is_marked_idempotent (call),
                         .kind = DY_ENDPOINT_ENGINE,
                         .target = chat.model,
                         .path = chat_path,
                         .chat = &chat };
  start_request (callers, call, &spec);
}

static void
handle_service (DyCallers *callers, DyHttpCall *call, const DyClientAccount *account)
{
  const char *rest = dy_http_call_path (call) + sizeof services_prefix - 1;
  const char *slash = strchr (rest, '/');
  char *name = slash ? g_strndup (rest, (gsize) (slash - rest)) : g_strdup (rest);
  if (!dy_routing_serves (&callers->endpoints->routing, name, DY_ENDPOINT_SERVICE))
    dy_callers_refuse (callers, call, DY_NOT_FOUND, "no such plain service");
  else
    {
      DyRequestSpec spec
          = { .account = account,
              .idempotent = is_marked_idempotent (call)
                            && dy_routing_idempotent (&callers->endpoints->routing, name),
              .kind = DY_ENDPOINT_SERVICE,
              .target = name,
              .path = slash ? slash : "/" };
      start_request (callers, call, &spec);
    }
  g_free (name);
}

static void
handle_models (DyCallers *callers, DyHttpCall *call, const DyClientAccount *account)
{
  json_t *list = json_array ();
  GHashTableIter iter;
  gpointer model;
  g_hash_table_iter_init (&iter, callers->endpoints->routing.by_model);
  while (g_hash_table_iter_next (&iter, &model, NULL))
    if (dy_client_account_allows (account, model)
        && dy_routing_serves (&callers->endpoints->routing, model, DY_ENDPOINT_ENGINE))
      json_array_append_new (list, json_pack ("{s:s, s:s}", "id", model, "object", "model"));
  json_t *root = json_pack ("{s:s, s:o}", "object", "list", "data", list);
  char *text = json_dumps (root, JSON_COMPACT);
  dy_http_call_reply (call, MHD_HTTP_OK, "application/json", text, strlen (text));
  free (text);
  json_decref (root);
}

static void
route (DyCallers *callers, DyHttpCall *call, const DyClientAccount *account)
{
  const char *path = dy_http_call_path (call);
  const char *method = dy_http_call_method (call);
  if (strcmp (path, chat_path) == 0 && strcmp (method, "POST") == 0)
    handle_chat (callers, call, account);
  else if (g_str_has_prefix (path, services_prefix))
    handle_service (callers, call, account);
  else if (strcmp (path, models_path) == 0 && strcmp (method, "GET") == 0)
    handle_models (callers, call, account);
  else
    dy_callers_refuse (callers, call, DY_NOT_FOUND, "");
}

static void
handle (void *ctx, DyHttpCall *call)
{
  DyCallers *callers = ctx;
  const DyClientAccount *account = authenticate (callers, call);
  if (callers->kernel->draining)
    dy_callers_refuse (callers, call, DY_DRAINING, "");
  else if (!callers->config->loaded || !dy_peers_members_known (callers->config->peers))
    dy_callers_refuse (callers, call, DY_STARTING, "");
  else if (!account)
    dy_callers_refuse (callers, call, DY_UNAUTHORIZED, "");
  else if (g_hash_table_size (callers->requests)
           >= (guint) callers->kernel->settings->max_in_flight)
    dy_callers_refuse (callers, call, DY_QUEUE_FULL, "");
  else
    route (callers, call, account);
}

static void
refuse_too_large (void *ctx, DyHttpCall *call)
{
  dy_callers_refuse (ctx, call, DY_BODY_TOO_LARGE, "");
}

static void
refuse_overloaded (void *ctx, DyHttpCall *call)
{
  dy_callers_refuse (ctx, call, DY_OVERLOADED, "");
}

static const DyHttpServerHandler handler
    = { .handle = handle, .too_large = refuse_too_large, .overloaded = refuse_overloaded };

static void
on_tick (struct ev_loop *loop, ev_timer *w, int events)
{
  DyCallers *callers = w->data;
  (void) loop;
  (void) events;
  dy_admission_set_total_share (&callers->admission,
                                dy_declarations_total_share (&callers->config->declarations));
  dy_admission_refuse_expired (&callers->admission, dy_kernel_now_us (callers->kernel));
}

static int
service_start (void *self, DyKernel *kernel)
{
  DyCallers *callers = self;
  const DySettings *settings = kernel->settings;
  callers->kernel = kernel;
  callers->config = dy_kernel_find (kernel, DY_SERVICE_CONFIG);
  callers->budgets = dy_kernel_find (kernel, DY_SERVICE_BUDGETS);
  callers->endpoints = dy_kernel_find (kernel, DY_SERVICE_ENDPOINTS);
  callers->requests = g_hash_table_new_full (NULL, NULL, dy_request_free, NULL);
  dy_retry_budget_init (&callers->retry_budget, settings->retry_percent);
  DyAdmissionPolicy policy = { .n_slots = (uint32_t) settings->run_slots,
                               .kept_percent = (uint32_t) settings->kept_percent,
                               .queue_length = (uint32_t) settings->queue_length };
  dy_admission_init (&callers->admission, &policy, &dy_request_admission_actions, callers);
  ev_timer_init (&callers->tick, on_tick, TICK_S, TICK_S);
  callers->tick.data = callers;
  ev_timer_start (kernel->loop, &callers->tick);
  int error = dy_http_server_init (&callers->server, kernel->loop, settings->caller_listen,
                                   (uint64_t) settings->max_body_bytes,
                                   (uint64_t) settings->max_header_bytes,
                                   (uint64_t) settings->stream_buffer_bytes, &handler, callers);
  callers->server.counters = &kernel->counters;
  return error;
}

static bool
service_busy (void *self)
{
  const DyCallers *callers = self;
  return g_hash_table_size (callers->requests) > 0;
}

static void
service_stop (void *self)
{
  DyCallers *callers = self;
  ev_timer_stop (callers->kernel->loop, &callers->tick);
  dy_http_server_finish (&callers->server);
  g_hash_table_unref (callers->requests);
  dy_admission_finish (&callers->admission);
}

static json_t *
service_dump (void *self)
{
  const DyCallers *callers = self;
  return json_pack ("{s:i, s:i, s:i, s:i, s:I}", "requests",
                    (int) g_hash_table_size (callers->requests), "running",
                    (int) callers->admission.n_running, "queued", (int) callers->admission.n_queued,
                    "connections_with_calls", (int) dy_http_server_n_calls (&callers->server),
                    "retry_credit_percent", (json_int_t) callers->retry_budget.credit);
}

void
dy_callers_add_service (DyKernel *kernel, DyCallers *callers)
{
  DyService service = { .name = DY_SERVICE_CALLERS,
                        .self = callers,
                        .start = service_start,
                        .busy = service_busy,
                        .stop = service_stop,
                        .dump = service_dump };
  dy_kernel_add (kernel, &service);
}
