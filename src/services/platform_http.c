#include "services/platform_http.h"

#include "kernel/error.h"
#include "net/http_client.h"
#include "net/http_status.h"

#include <jansson.h>
#include <string.h>

enum
{
  MAX_REPLY_BYTES = 64 * 1024 * 1024,
};

typedef struct
{
  DyHttpClient client;
  char *url;
  int64_t timeout_ms;
  int64_t watch_timeout_ms;
  GHashTable *calls;
} PlatformHttp;

typedef struct
{
  PlatformHttp *impl;
  DyHttpTransfer *transfer;
  GString *body;
  bool is_list;
  DyPlatformDone done;
  void *ctx;
} Call;

static void
free_call (Call *call)
{
  g_string_free (call->body, TRUE);
  g_free (call);
}

static int
error_from_result (const DyHttpResult *result)
{
  if (result->error)
    return result->error;
  switch (result->status)
    {
    case DY_HTTP_OK:
      return DY_OK;
    case DY_HTTP_NOT_FOUND:
      return DY_NOT_FOUND;
    case DY_HTTP_PRECONDITION_FAILED:
      return DY_CONFLICT;
    case DY_HTTP_TOO_MANY_REQUESTS:
      return DY_RATE_LIMITED;
    default:
      return result->status >= DY_HTTP_SERVER_ERROR ? DY_UNAVAILABLE : DY_PROTOCOL;
    }
}

/* Fills REPLY and OBJECTS from the JSON of a list. Their texts belong to ROOT. */
static int
parse_list (const json_t *root, DyPlatformReply *reply, GArray *objects)
{
  const json_t *list = json_object_get (root, "objects");
  const json_t *item;
  size_t i;
  if (!json_is_array (list) || !json_is_integer (json_object_get (root, "version")))
    return DY_PROTOCOL;
  reply->version = (uint64_t) json_integer_value (json_object_get (root, "version"));
  json_array_foreach (list, i, item)
  {
    const json_t *value = json_object_get (item, "value");
    DyObject object
        = { .key = json_string_value (json_object_get (item, "key")),
            .version = (uint64_t) json_integer_value (json_object_get (item, "version")),
            .value = json_string_value (value),
            .n_value = json_string_length (value) };
    if (!object.key)
      return DY_PROTOCOL;
    g_array_append_val (objects, object);
  }
  reply->objects = (const DyObject *) (void *) objects->data;
  reply->n_objects = objects->len;
  return DY_OK;
}

static void
reply_list (const Call *call, DyPlatformReply *reply)
{
  json_t *root = json_loadb (call->body->str, call->body->len, 0, NULL);
  GArray *objects = g_array_new (FALSE, TRUE, sizeof (DyObject));
  reply->error = root ? parse_list (root, reply, objects) : DY_PROTOCOL;
  call->done (call->ctx, reply);
  g_array_unref (objects);
  json_decref (root);
}

static bool
on_data (void *ctx, DyHttpTransfer *transfer, const char *data, size_t n)
{
  Call *call = ctx;
  (void) transfer;
  if (call->body->len + n <= MAX_REPLY_BYTES)
    g_string_append_len (call->body, data, (gssize) n);
  return true;
}

static void
on_done (void *ctx, const DyHttpResult *result)
{
  Call *call = ctx;
  DyPlatformReply reply = { .error = error_from_result (result),
                            .version = result->etag,
                            .value = call->body->str,
                            .n_value = call->body->len };
  g_hash_table_remove (call->impl->calls, call);
  if (call->is_list && reply.error == DY_OK)
    reply_list (call, &reply);
  else
    call->done (call->ctx, &reply);
  free_call (call);
}

static const DyHttpTransferWatcher watcher = { .data = on_data, .done = on_done };

static void
start_call (PlatformHttp *impl, DyHttpSpec *spec, bool is_list, DyPlatformDone done, void *ctx)
{
  Call *call = g_new0 (Call, 1);
  call->impl = impl;
  call->body = g_string_new (NULL);
  call->is_list = is_list;
  call->done = done;
  call->ctx = ctx;
  spec->connect_timeout_ms = impl->timeout_ms;
  if (!spec->timeout_ms)
    spec->timeout_ms = impl->timeout_ms;
  g_hash_table_add (impl->calls, call);
  call->transfer = dy_http_client_start (&impl->client, spec, &watcher, call);
}

static void
http_get (void *self, const char *key, DyPlatformDone done, void *ctx)
{
  PlatformHttp *impl = self;
  char *url = g_strdup_printf ("%s/v1/objects/%s", impl->url, key);
  DyHttpSpec spec = { .method = "GET", .url = url };
  start_call (impl, &spec, false, done, ctx);
  g_free (url);
}

static void
http_put (void *self,
          const char *key,
          const char *value,
          size_t n,
          uint64_t expected,
          DyPlatformDone done,
          void *ctx)
{
  PlatformHttp *impl = self;
  char *url = g_strdup_printf ("%s/v1/objects/%s", impl->url, key);
  char *condition = expected ? g_strdup_printf ("If-Match: \"%" G_GUINT64_FORMAT "\"", expected)
                             : g_strdup ("If-None-Match: *");
  const char *headers[] = { condition, "Content-Type: text/plain", NULL };
  DyHttpSpec spec = {
    .method = value ? "PUT" : "DELETE", .url = url, .headers = headers, .body = value, .n_body = n
  };
  start_call (impl, &spec, false, done, ctx);
  g_free (condition);
  g_free (url);
}

/* Lists the objects with PREFIX that changed after the version AFTER, and waits up to WAIT_MS for a
 * change if there is none; AFTER 0: lists all objects. */
static void
start_list (PlatformHttp *impl,
            const char *prefix,
            uint64_t after,
            int64_t wait_ms,
            DyPlatformDone done,
            void *ctx)
{
  char *escaped = g_uri_escape_string (prefix, NULL, FALSE);
  char *url = after ? g_strdup_printf ("%s/v1/objects?prefix=%s&watch=%" G_GUINT64_FORMAT
                                       "&wait_ms=%" G_GINT64_FORMAT,
                                       impl->url, escaped, after, wait_ms)
                    : g_strdup_printf ("%s/v1/objects?prefix=%s", impl->url, escaped);
  DyHttpSpec spec
      = { .method = "GET", .url = url, .timeout_ms = after ? wait_ms + impl->timeout_ms : 0 };
  start_call (impl, &spec, true, done, ctx);
  g_free (url);
  g_free (escaped);
}

static void
http_list (void *self, const char *prefix, uint64_t after, DyPlatformDone done, void *ctx)
{
  PlatformHttp *impl = self;
  start_list (impl, prefix, after, impl->watch_timeout_ms, done, ctx);
}

static void
http_changes (void *self, const char *prefix, uint64_t after, DyPlatformDone done, void *ctx)
{
  start_list (self, prefix, after, 0, done, ctx);
}

static void
http_vms (void *self, DyPlatformDone done, void *ctx)
{
  PlatformHttp *impl = self;
  char *url = g_strdup_printf ("%s/v1/vms", impl->url);
  DyHttpSpec spec = { .method = "GET", .url = url };
  start_call (impl, &spec, false, done, ctx);
  g_free (url);
}

static void
http_set_timeout (void *self, int64_t timeout_us)
{
  PlatformHttp *impl = self;
  impl->timeout_ms = timeout_us / 1000;
}

static void
http_free (void *self)
{
  PlatformHttp *impl = self;
  GHashTableIter iter;
  gpointer key;
  g_hash_table_iter_init (&iter, impl->calls);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      Call *call = key;
      dy_http_transfer_cancel (call->transfer);
      free_call (call);
    }
  g_hash_table_unref (impl->calls);
  dy_http_client_finish (&impl->client);
  g_free (impl->url);
  g_free (impl);
}

const DyPlatformOps dy_platform_http_ops = { .get = http_get,
                                             .put = http_put,
                                             .list = http_list,
                                             .changes = http_changes,
                                             .vms = http_vms,
                                             .set_timeout = http_set_timeout,
                                             .free = http_free };

void *
dy_platform_http_new (struct ev_loop *loop,
                      const char *url,
                      int64_t timeout_ms,
                      int64_t watch_timeout_ms)
{
  PlatformHttp *impl = g_new0 (PlatformHttp, 1);
  dy_http_client_init (&impl->client, loop);
  impl->url = g_strdup (url);
  impl->timeout_ms = timeout_ms;
  impl->watch_timeout_ms = watch_timeout_ms;
  impl->calls = g_hash_table_new (NULL, NULL);
  return impl;
}
