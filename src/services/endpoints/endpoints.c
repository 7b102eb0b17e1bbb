#include "services/endpoints/endpoints.h"

#include "kernel/error.h"
#include "kernel/log.h"

#include <jansson.h>
#include <string.h>

struct DyAttempt
{
  DyEndpoints *endpoints;
  char *endpoint;
  DyEndpointKind kind;
  DyHttpTransfer *transfer;
  const DyAttemptWatcher *watcher;
  void *ctx;
  bool endpoint_left; /* nothing was sent, as the endpoint left after it was chosen */
};

typedef struct
{
  DyEndpoints *endpoints;
  char *endpoint;
  GString *body;
  DyHttpTransfer *transfer;
} Poll;

enum
{
  HTTP_OK = 200,
  HTTP_MULTIPLE_CHOICES = 300,
  HTTP_BAD_REQUEST = 400,
  HTTP_TOO_MANY_REQUESTS = 429,
  HTTP_SERVER_ERROR = 500,
  HTTP_UNAVAILABLE = 503,
  MAX_LOAD_REPORT_BYTES = 4096,
};

static int64_t
now_us (const DyEndpoints *endpoints)
{
  return dy_kernel_now_us (endpoints->kernel);
}

static void
free_attempt (gpointer data)
{
  DyAttempt *attempt = data;
  g_free (attempt->endpoint);
  g_free (attempt);
}

static bool
is_success (unsigned status)
{
  return status >= HTTP_OK && status < HTTP_MULTIPLE_CHOICES;
}

/* An engine's 503 means that the call had no effect; a plain service's 503 does not. */
static bool
means_not_run (DyEndpointKind kind, unsigned status)
{
  return status == HTTP_TOO_MANY_REQUESTS
         || (status == HTTP_UNAVAILABLE && kind == DY_ENDPOINT_ENGINE);
}

static DyAttemptOutcome
attempt_outcome (const DyAttempt *attempt, const DyHttpResult *result)
{
  if (!result->connected)
    return DY_ATTEMPT_NOT_SENT;
  if (is_success (result->status))
    return DY_ATTEMPT_BROKEN;
  if (means_not_run (attempt->kind, result->status))
    return DY_ATTEMPT_NOT_RUN;
  if (result->status >= HTTP_BAD_REQUEST && result->status < HTTP_SERVER_ERROR)
    return DY_ATTEMPT_REJECTED;
  return DY_ATTEMPT_UNANSWERED;
}

/* Reports the end of the attempt to the circuit breaker and frees the attempt. */
static void
end_attempt (DyAttempt *attempt, bool failed)
{
  DyEndpoints *endpoints = attempt->endpoints;
  if (dy_routing_done (&endpoints->routing, attempt->endpoint, failed, now_us (endpoints)))
    dy_log (failed ? DY_EVENT_ENDPOINT_OPEN : DY_EVENT_ENDPOINT_CLOSED, "endpoint=%s",
            attempt->endpoint);
  g_hash_table_remove (endpoints->attempts, attempt);
}

static bool
on_before_send (void *ctx)
{
  DyAttempt *attempt = ctx;
  const DyEndpoint *endpoint = dy_routing_find (&attempt->endpoints->routing, attempt->endpoint);
  attempt->endpoint_left = !endpoint || endpoint->declared_leaving || endpoint->reported_leaving;
  return !attempt->endpoint_left;
}

static bool
on_data (void *ctx, DyHttpTransfer *transfer, const char *data, size_t n)
{
  DyAttempt *attempt = ctx;
  if (!is_success (dy_http_transfer_status (transfer)))
    return true;
  return attempt->watcher->data (attempt->ctx, data, n);
}

static void
on_done (void *ctx, const DyHttpResult *result)
{
  DyAttempt *attempt = ctx;
  const DyAttemptWatcher *watcher = attempt->watcher;
  void *watcher_ctx = attempt->ctx;
  bool failed = result->error || !is_success (result->status);
  DyAttemptOutcome outcome = attempt_outcome (attempt, result);
  if (failed)
    dy_log (DY_EVENT_ENDPOINT_FAILED, "endpoint=%s kind=%s status=%u connected=%d left=%d",
            attempt->endpoint, dy_error_info (result->error)->kind, result->status,
            result->connected, attempt->endpoint_left);
  end_attempt (attempt, failed && outcome != DY_ATTEMPT_REJECTED && !attempt->endpoint_left);
  watcher->done (watcher_ctx, failed, outcome, result->status);
}

static const DyHttpTransferWatcher transfer_watcher
    = { .before_send = on_before_send, .data = on_data, .done = on_done };

static void
free_poll (gpointer data)
{
  Poll *poll = data;
  g_free (poll->endpoint);
  g_string_free (poll->body, TRUE);
  g_free (poll);
}

static bool
on_poll_data (void *ctx, DyHttpTransfer *transfer, const char *data, size_t n)
{
  Poll *poll = ctx;
  (void) transfer;
  g_string_append_len (poll->body, data, (gssize) n);
  return true;
}

static void
on_poll_done (void *ctx, const DyHttpResult *result)
{
  Poll *poll = ctx;
  DyEndpoints *endpoints = poll->endpoints;
  json_t *root = json_loadb (poll->body->str, poll->body->len, 0, NULL);
  const json_t *load = json_object_get (root, "load");
  if (!result->error && is_success (result->status) && json_is_number (load))
    dy_routing_report (&endpoints->routing, poll->endpoint, json_number_value (load),
                       json_is_true (json_object_get (root, "leaving")), now_us (endpoints));
  json_decref (root);
  g_hash_table_remove (endpoints->polls, poll);
}

static const DyHttpTransferWatcher poll_watcher = { .data = on_poll_data, .done = on_poll_done };

/* Polls one endpoint each time, so that the cost does not grow with the fleet. */
static void
on_poll_timer (struct ev_loop *loop, ev_timer *w, int events)
{
  DyEndpoints *endpoints = w->data;
  const DySettings *settings = endpoints->kernel->settings;
  const GPtrArray *all = endpoints->routing.all;
  (void) loop;
  (void) events;
  if (all->len == 0 || g_hash_table_size (endpoints->polls) >= all->len)
    return;
  const DyEndpoint *endpoint = g_ptr_array_index (all, endpoints->next_poll++ % all->len);
  Poll *poll = g_new0 (Poll, 1);
  poll->endpoints = endpoints;
  poll->endpoint = g_strdup (endpoint->name);
  poll->body = g_string_new (NULL);
  char *url = g_strdup_printf ("%s/load", endpoint->url);
  DyHttpSpec spec = { .method = "GET",
                      .url = url,
                      .connect_timeout_ms = settings->connect_timeout_ms,
                      .timeout_ms = settings->connect_timeout_ms,
                      .max_body_bytes = MAX_LOAD_REPORT_BYTES };
  g_hash_table_add (endpoints->polls, poll);
  poll->transfer = dy_http_client_start (&endpoints->client, &spec, &poll_watcher, poll);
  g_free (url);
}

static int
service_start (void *self, DyKernel *kernel)
{
  DyEndpoints *endpoints = self;
  endpoints->kernel = kernel;
  dy_routing_init (&endpoints->routing, kernel->settings->data_centre,
                   (uint32_t) kernel->incarnation_id);
  dy_http_client_init (&endpoints->client, kernel->loop);
  endpoints->attempts = g_hash_table_new_full (NULL, NULL, free_attempt, NULL);
  endpoints->polls = g_hash_table_new_full (NULL, NULL, free_poll, NULL);
  ev_timer_init (&endpoints->poll_timer, on_poll_timer, 0.0,
                 (double) kernel->settings->load_poll_ms / 1000.0);
  endpoints->poll_timer.data = endpoints;
  ev_timer_start (kernel->loop, &endpoints->poll_timer);
  return DY_OK;
}

static void
cancel_transfers (DyEndpoints *endpoints)
{
  GHashTableIter iter;
  gpointer key;
  g_hash_table_iter_init (&iter, endpoints->attempts);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    dy_http_transfer_cancel (((DyAttempt *) key)->transfer);
  g_hash_table_iter_init (&iter, endpoints->polls);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    dy_http_transfer_cancel (((Poll *) key)->transfer);
}

static void
service_stop (void *self)
{
  DyEndpoints *endpoints = self;
  ev_timer_stop (endpoints->kernel->loop, &endpoints->poll_timer);
  cancel_transfers (endpoints);
  g_hash_table_unref (endpoints->attempts);
  g_hash_table_unref (endpoints->polls);
  dy_http_client_finish (&endpoints->client);
  dy_routing_finish (&endpoints->routing);
}

static json_t *
dump_endpoint (const DyEndpoint *endpoint, int64_t now)
{
  static const char *const breakers[] = { "closed", "open", "probing" };
  return json_pack ("{s:s, s:s, s:i, s:f, s:I, s:s, s:b}", "name", endpoint->name, "data_centre",
                    endpoint->data_centre, "in_flight", (int) endpoint->in_flight, "reported_load",
                    endpoint->reported_load, "reported_ms_ago",
                    (json_int_t) ((now - endpoint->reported_us) / 1000), "breaker",
                    breakers[endpoint->breaker], "leaving",
                    endpoint->declared_leaving || endpoint->reported_leaving);
}

static json_t *
service_dump (void *self)
{
  const DyEndpoints *endpoints = self;
  json_t *list = json_array ();
  for (guint i = 0; i < endpoints->routing.all->len; i++)
    json_array_append_new (
        list, dump_endpoint (g_ptr_array_index (endpoints->routing.all, i), now_us (endpoints)));
  return json_pack ("{s:o, s:i}", "endpoints", list, "attempts",
                    (int) g_hash_table_size (endpoints->attempts));
}

void
dy_endpoints_add_service (DyKernel *kernel, DyEndpoints *endpoints)
{
  DyService service = { .name = DY_SERVICE_ENDPOINTS,
                        .self = endpoints,
                        .start = service_start,
                        .stop = service_stop,
                        .dump = service_dump };
  dy_kernel_add (kernel, &service);
}

DyAttempt *
dy_endpoints_start (DyEndpoints *endpoints,
                    const DyAttemptSpec *spec,
                    const DyAttemptWatcher *watcher,
                    void *ctx)
{
  static const char *const headers[] = { "Content-Type: application/json", NULL };
  const DySettings *settings = endpoints->kernel->settings;
  const DyEndpoint *endpoint = dy_routing_pick (&endpoints->routing, spec->model, spec->kind,
                                                spec->avoid, now_us (endpoints));
  if (!endpoint)
    return NULL;
  DyAttempt *attempt = g_new0 (DyAttempt, 1);
  attempt->endpoints = endpoints;
  attempt->endpoint = g_strdup (endpoint->name);
  attempt->kind = endpoint->kind;
  attempt->watcher = watcher;
  attempt->ctx = ctx;
  char *url = g_strconcat (endpoint->url, spec->path, NULL);
  DyHttpSpec http = { .method = spec->method,
                      .url = url,
                      .headers = headers,
                      .body = spec->body,
                      .n_body = spec->n_body,
                      .connect_timeout_ms = settings->connect_timeout_ms,
                      .timeout_ms = DY_HTTP_MAX_STREAM_MS,
                      .read_timeout_ms = settings->attempt_timeout_ms,
                      .max_body_bytes = DY_HTTP_MAX_STREAM_BYTES };
  dy_counters_add (&endpoints->kernel->counters, DY_COUNTER_ATTEMPTS, 1);
  g_hash_table_add (endpoints->attempts, attempt);
  attempt->transfer = dy_http_client_start (&endpoints->client, &http, &transfer_watcher, attempt);
  g_free (url);
  return attempt;
}

const char *
dy_attempt_endpoint (const DyAttempt *attempt)
{
  return attempt->endpoint;
}

void
dy_attempt_resume (DyAttempt *attempt)
{
  dy_http_transfer_resume (attempt->transfer);
}

void
dy_attempt_cancel (DyAttempt *attempt, bool failed)
{
  dy_http_transfer_cancel (attempt->transfer);
  end_attempt (attempt, failed);
}
