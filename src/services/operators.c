#include "services/operators.h"

#include "kernel/error.h"

#include <string.h>

enum
{
  MAX_BODY_BYTES = 4096,
  MAX_HEADER_BYTES = 16384,
  STREAM_BUFFER_BYTES = 65536,
};

typedef struct
{
  const char *method;
  const char *path;
  void (*handle) (DyOperators *operators, DyHttpCall *call);
} Route;

static void
reply_text (DyHttpCall *call, unsigned status, const char *text)
{
  dy_http_call_reply (call, status, "text/plain; version=0.0.4", text, strlen (text));
}

static void
reply_json (DyHttpCall *call, json_t *root)
{
  char *text = json_dumps (root, JSON_INDENT (2));
  dy_http_call_reply (call, MHD_HTTP_OK, "application/json", text, strlen (text));
  free (text);
  json_decref (root);
}

static void
handle_metrics (DyOperators *operators, DyHttpCall *call)
{
  GString *out = g_string_new (NULL);
  dy_counters_expose (&operators->kernel->counters, out);
  reply_text (call, MHD_HTTP_OK, out->str);
  g_string_free (out, TRUE);
}

static void
handle_health (DyOperators *operators, DyHttpCall *call)
{
  (void) operators;
  reply_text (call, MHD_HTTP_OK, "ok\n");
}

static void
handle_ready (DyOperators *operators, DyHttpCall *call)
{
  if (dy_operators_ready (operators))
    reply_text (call, MHD_HTTP_OK, "ready\n");
  else
    reply_text (call, MHD_HTTP_SERVICE_UNAVAILABLE, "not ready\n");
}

static void
handle_status (DyOperators *operators, DyHttpCall *call)
{
  const DyKernel *kernel = operators->kernel;
  reply_json (call,
              json_pack ("{s:s, s:s, s:b, s:b, s:I, s:I}", "node", kernel->settings->node_name,
                         "data_centre", kernel->settings->data_centre, "ready",
                         dy_operators_ready (operators), "draining", kernel->draining,
                         "config_version", (json_int_t) operators->peers->config_version, "members",
                         (json_int_t) kernel->counters.values[DY_COUNTER_MEMBERS]));
}

static void
handle_dump (DyOperators *operators, DyHttpCall *call)
{
  reply_json (call, dy_kernel_dump (operators->kernel));
}

static void
handle_drain (DyOperators *operators, DyHttpCall *call)
{
  reply_text (call, MHD_HTTP_ACCEPTED, "draining\n");
  operators->drain (operators->drain_ctx);
}

static const Route routes[] = {
  { "GET", "/metrics", handle_metrics }, { "GET", "/healthz", handle_health },
  { "GET", "/readyz", handle_ready },    { "GET", "/status", handle_status },
  { "GET", "/dump", handle_dump },       { "POST", "/drain", handle_drain },
};

static void
handle (void *ctx, DyHttpCall *call)
{
  for (size_t i = 0; i < G_N_ELEMENTS (routes); i++)
    if (strcmp (routes[i].method, dy_http_call_method (call)) == 0
        && strcmp (routes[i].path, dy_http_call_path (call)) == 0)
      {
        routes[i].handle (ctx, call);
        return;
      }
  reply_text (call, MHD_HTTP_NOT_FOUND, "not found\n");
}

static void
refuse_too_large (void *ctx, DyHttpCall *call)
{
  (void) ctx;
  reply_text (call, MHD_HTTP_CONTENT_TOO_LARGE, "the body is too large\n");
}

static const DyHttpServerHandler handler = { .handle = handle, .too_large = refuse_too_large };

static int
service_start (void *self, DyKernel *kernel)
{
  DyOperators *operators = self;
  operators->kernel = kernel;
  operators->peers = dy_kernel_find (kernel, DY_SERVICE_PEERS);
  return dy_http_server_init (&operators->server, kernel->loop, kernel->settings->operator_listen,
                              MAX_BODY_BYTES, MAX_HEADER_BYTES, STREAM_BUFFER_BYTES, &handler,
                              operators);
}

static void
service_stop (void *self)
{
  DyOperators *operators = self;
  dy_http_server_finish (&operators->server);
}

void
dy_operators_add_service (DyKernel *kernel, DyOperators *operators)
{
  DyService service = {
    .name = DY_SERVICE_OPERATORS, .self = operators, .start = service_start, .stop = service_stop
  };
  dy_kernel_add (kernel, &service);
}

bool
dy_operators_ready (const DyOperators *operators)
{
  return operators->ready (operators->ready_ctx) && dy_peers_members_known (operators->peers)
         && !operators->kernel->draining;
}
