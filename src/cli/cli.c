#include "cli/cli.h"

#include "kernel/error.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

const DyCliCommand dy_cli_commands[] = {
  { "check", "DIR", "Check the declarations of a folder", 1, 1, dy_cli_check },
  { "apply", "DIR", "Write the declarations of a folder to the platform", 1, 1, dy_cli_apply },
  { "diff", "DIR", "Show what apply would change", 1, 1, dy_cli_diff },
  { "topup", "ACCOUNT TOKENS", "Add paid tokens to a budget, once per --operation", 2, 2,
    dy_cli_topup },
  { "ledger", "[ACCOUNT]", "Show ledger entries", 0, 1, dy_cli_ledger },
  { "release", "ACCOUNT HOLDER", "Free what is set aside in the row of a holder that is gone", 2, 2,
    dy_cli_release },
  { "status", "", "Show the state of each --router", 0, 0, dy_cli_status },
  { "dump", "", "Show the whole state of each --router", 0, 0, dy_cli_dump },
  { "drain", "", "Shut each --router down gracefully", 0, 0, dy_cli_drain },
  { "explain", "REQUEST FILE...", "Show what log files ('-': input) tell of a request, by time", 2,
    512, dy_cli_explain },
  { 0 },
};

typedef struct
{
  DyCli *cli;
  DyCliReply reply;
  GString *body;
} Call;

static void
copy_objects (DyCliReply *reply, const DyPlatformReply *from)
{
  reply->objects = g_array_new (FALSE, TRUE, sizeof (DyObject));
  for (uint32_t i = 0; i < from->n_objects; i++)
    {
      DyObject object = from->objects[i];
      object.key = g_strdup (object.key);
      object.value = g_strdup (object.value);
      g_array_append_val (reply->objects, object);
    }
}

static void
on_reply (void *ctx, const DyPlatformReply *from)
{
  Call *call = ctx;
  call->reply.error = from->error;
  call->reply.version = from->version;
  call->reply.value = from->value ? g_strndup (from->value, from->n_value) : NULL;
  copy_objects (&call->reply, from);
  ev_break (call->cli->loop, EVBREAK_ONE);
}

static bool
on_router_data (void *ctx, DyHttpTransfer *transfer, const char *data, size_t n)
{
  Call *call = ctx;
  (void) transfer;
  g_string_append_len (call->body, data, (gssize) n);
  return true;
}

static void
on_router_done (void *ctx, const DyHttpResult *result)
{
  Call *call = ctx;
  enum
  {
    HTTP_BAD_REQUEST = 400
  };
  call->reply.error = result->error;
  if (!result->error && result->status >= HTTP_BAD_REQUEST)
    call->reply.error = DY_UNAVAILABLE;
  ev_break (call->cli->loop, EVBREAK_ONE);
}

DyCliReply
dy_cli_get_object (DyCli *cli, const char *key)
{
  Call call = { .cli = cli };
  dy_platform_get (&cli->platform, key, on_reply, &call);
  ev_run (cli->loop, 0);
  return call.reply;
}

DyCliReply
dy_cli_put_object (DyCli *cli, const char *key, const char *value, uint64_t expected)
{
  Call call = { .cli = cli };
  dy_platform_put (&cli->platform, key, value, expected, on_reply, &call);
  ev_run (cli->loop, 0);
  return call.reply;
}

DyCliReply
dy_cli_list_objects (DyCli *cli, const char *prefix)
{
  Call call = { .cli = cli };
  dy_platform_list (&cli->platform, prefix, 0, on_reply, &call);
  ev_run (cli->loop, 0);
  return call.reply;
}

void
dy_cli_reply_finish (DyCliReply *reply)
{
  g_free (reply->value);
  for (guint i = 0; reply->objects && i < reply->objects->len; i++)
    {
      DyObject *object = &g_array_index (reply->objects, DyObject, i);
      g_free ((char *) object->key);
      g_free ((char *) object->value);
    }
  if (reply->objects)
    g_array_unref (reply->objects);
  memset (reply, 0, sizeof *reply);
}

DyCliReply
dy_cli_call_router (DyCli *cli, const char *method, const char *router, const char *path)
{
  static const DyHttpTransferWatcher watcher = { .data = on_router_data, .done = on_router_done };
  Call call = { .cli = cli, .body = g_string_new (NULL) };
  char *url = g_strdup_printf ("http://%s%s", router, path);
  DyHttpSpec spec = { .method = method,
                      .url = url,
                      .connect_timeout_ms = cli->timeout_ms,
                      .timeout_ms = cli->timeout_ms };
  dy_http_client_start (&cli->client, &spec, &watcher, &call);
  ev_run (cli->loop, 0);
  call.reply.value = g_string_free (call.body, FALSE);
  g_free (url);
  return call.reply;
}

int
dy_cli_fail (int error, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  vfprintf (stderr, format, args);
  va_end (args);
  fprintf (stderr, "\n");
  return error;
}
