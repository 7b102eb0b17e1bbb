/* Fake of the platform's object API (/v1/objects) and VM list (/v1/vms), with faults that are set
 * by HTTP.
 *
 * /admin/faults sets the query parameters outage (0 or 1), delay_ms, lose_percent, calls_per_s and
 * vm_lag_ms; those that are missing keep their values. /admin/vms replaces the VM list by the body.
 * /admin/stats returns {"calls": n, "writes": n}. */

#include "kernel/error.h"
#include "net/http_server.h"
#include "services/object_store.h"

#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  MAX_BODY_BYTES = 2 * 1024 * 1024,
  MAX_HEADER_BYTES = 16384,
  MAX_VALUE_BYTES = 1024 * 1024,
};

typedef struct
{
  bool outage;          /* calls get 503 */
  int64_t delay_ms;     /* delay before a call is executed */
  int64_t lose_percent; /* share of successful writes whose connection is closed without a reply */
  int64_t calls_per_s;  /* calls beyond this rate get 429; 0: no limit */
  int64_t vm_lag_ms;    /* time until a new VM list is returned */
} Faults;

typedef struct
{
  struct ev_loop *loop;
  DyHttpServer server;
  DyObjectStore store;
  Faults faults;
  GRand *rng;
  GQueue pending;   /* of Pending */
  char *vms;        /* JSON of the VM list */
  int64_t window_s; /* the second that n_window_calls counts */
  int64_t n_window_calls;
  int64_t n_calls;
  int64_t n_writes;
} Platform;

/* A call that gets its reply after a delay or, if it is a watch, on a change or at its timeout. */
typedef struct
{
  Platform *platform;
  DyHttpCall *call;
  char *prefix;   /* keys that a watch covers; NULL: not a watch */
  uint64_t after; /* a watch returns changes with a higher version */
  ev_timer timer;
} Pending;

typedef struct
{
  Platform *platform;
  char *vms; /* JSON of the new list */
  ev_timer timer;
} VmChange;

static void
free_pending (Pending *pending)
{
  ev_timer_stop (pending->platform->loop, &pending->timer);
  g_queue_remove (&pending->platform->pending, pending);
  g_free (pending->prefix);
  g_free (pending);
}

static void
on_closed (void *ctx, DyHttpCall *call, bool complete)
{
  (void) call;
  (void) complete;
  free_pending (ctx);
}

static const DyHttpCallWatcher pending_watcher = { .closed = on_closed };

static Pending *
defer_call (Platform *platform,
            DyHttpCall *call,
            double seconds,
            void (*callback) (struct ev_loop *, ev_timer *, int))
{
  Pending *pending = g_new0 (Pending, 1);
  pending->platform = platform;
  pending->call = call;
  ev_timer_init (&pending->timer, callback, seconds, 0.0);
  pending->timer.data = pending;
  ev_timer_start (platform->loop, &pending->timer);
  g_queue_push_tail (&platform->pending, pending);
  dy_http_call_watch (call, &pending_watcher, pending);
  return pending;
}

static void
reply (DyHttpCall *call, unsigned status, uint64_t version, const char *body, size_t n)
{
  if (version)
    {
      char etag[32];
      g_snprintf (etag, sizeof etag, "\"%" G_GUINT64_FORMAT "\"", version);
      dy_http_call_add_header (call, "ETag", etag);
    }
  dy_http_call_reply (call, status, "text/plain", body, n);
}

static void
reply_list (Platform *platform, DyHttpCall *call, const char *prefix, uint64_t after)
{
  GArray *objects = dy_object_store_list (&platform->store, prefix, after);
  json_t *list = json_array ();
  for (guint i = 0; i < objects->len; i++)
    {
      const DyObject *object = &g_array_index (objects, DyObject, i);
      json_t *value = object->value ? json_stringn (object->value, object->n_value) : json_null ();
      json_array_append_new (list, json_pack ("{s:s, s:I, s:o}", "key", object->key, "version",
                                              (json_int_t) object->version, "value", value));
    }
  json_t *root
      = json_pack ("{s:I, s:o}", "version", (json_int_t) platform->store.version, "objects", list);
  char *text = json_dumps (root, JSON_COMPACT);
  reply (call, MHD_HTTP_OK, 0, text, strlen (text));
  free (text);
  json_decref (root);
  g_array_unref (objects);
}

static void
on_watch_timeout (struct ev_loop *loop, ev_timer *w, int events)
{
  Pending *pending = w->data;
  (void) loop;
  (void) events;
  if (pending->platform->faults.outage)
    reply (pending->call, MHD_HTTP_SERVICE_UNAVAILABLE, 0, "", 0);
  else
    reply_list (pending->platform, pending->call, pending->prefix, pending->after);
}

static void
notify_watches (Platform *platform, const char *key)
{
  for (GList *link = platform->pending.head; link; link = link->next)
    {
      Pending *pending = link->data;
      if (pending->prefix && g_str_has_prefix (key, pending->prefix))
        reply_list (platform, pending->call, pending->prefix, pending->after);
    }
}

static void
handle_list (Platform *platform, DyHttpCall *call)
{
  static const double DEFAULT_WAIT_S = 20.0;
  const char *prefix = dy_http_call_query (call, "prefix");
  const char *watch = dy_http_call_query (call, "watch");
  const char *wait_ms = dy_http_call_query (call, "wait_ms");
  uint64_t after = watch ? g_ascii_strtoull (watch, NULL, 10) : 0;
  GArray *changes = dy_object_store_list (&platform->store, prefix ? prefix : "", after);
  bool any = changes->len > 0;
  g_array_unref (changes);
  if (!watch || any)
    {
      reply_list (platform, call, prefix ? prefix : "", after);
      return;
    }
  double seconds = wait_ms ? g_ascii_strtod (wait_ms, NULL) / 1000.0 : DEFAULT_WAIT_S;
  Pending *pending = defer_call (platform, call, seconds, on_watch_timeout);
  pending->prefix = g_strdup (prefix ? prefix : "");
  pending->after = after;
}

static void
handle_write (Platform *platform, DyHttpCall *call, const char *key, bool remove)
{
  const char *match = dy_http_call_header (call, "If-Match");
  const GString *body = dy_http_call_body (call);
  uint64_t expected = match ? g_ascii_strtoull (match + (match[0] == '"'), NULL, 10) : 0;
  uint64_t version;
  if (body->len > MAX_VALUE_BYTES)
    {
      reply (call, MHD_HTTP_CONTENT_TOO_LARGE, 0, "", 0);
      return;
    }
  platform->n_writes++;
  int error = dy_object_store_put (&platform->store, key, remove ? NULL : body->str, body->len,
                                   expected, &version);
  if (!error)
    notify_watches (platform, key);
  if (!error && g_rand_int_range (platform->rng, 0, 100) < platform->faults.lose_percent)
    dy_http_call_abort (call);
  else
    reply (call, error ? MHD_HTTP_PRECONDITION_FAILED : MHD_HTTP_OK, version, "", 0);
}

static void
handle_object (Platform *platform, DyHttpCall *call, const char *key)
{
  const char *method = dy_http_call_method (call);
  DyObject object;
  if (strcmp (method, "PUT") == 0)
    handle_write (platform, call, key, false);
  else if (strcmp (method, "DELETE") == 0)
    handle_write (platform, call, key, true);
  else if (dy_object_store_get (&platform->store, key, &object))
    reply (call, MHD_HTTP_NOT_FOUND, 0, "", 0);
  else
    reply (call, MHD_HTTP_OK, object.version, object.value, object.n_value);
}

static void
read_fault (DyHttpCall *call, const char *name, int64_t *out)
{
  const char *value = dy_http_call_query (call, name);
  if (value)
    *out = g_ascii_strtoll (value, NULL, 10);
}

static void
set_faults (Platform *platform, DyHttpCall *call)
{
  int64_t outage = platform->faults.outage;
  read_fault (call, "outage", &outage);
  platform->faults.outage = outage != 0;
  read_fault (call, "delay_ms", &platform->faults.delay_ms);
  read_fault (call, "lose_percent", &platform->faults.lose_percent);
  read_fault (call, "calls_per_s", &platform->faults.calls_per_s);
  read_fault (call, "vm_lag_ms", &platform->faults.vm_lag_ms);
  /* In an outage the pending watches and delayed calls get 503, too. */
  for (GList *link = platform->pending.head; link && platform->faults.outage; link = link->next)
    reply (((Pending *) link->data)->call, MHD_HTTP_SERVICE_UNAVAILABLE, 0, "", 0);
  reply (call, MHD_HTTP_OK, 0, "", 0);
}

static void
on_vm_change (struct ev_loop *loop, ev_timer *w, int events)
{
  VmChange *change = w->data;
  (void) loop;
  (void) events;
  g_free (change->platform->vms);
  change->platform->vms = change->vms;
  g_free (change);
}

static void
set_vms (Platform *platform, DyHttpCall *call)
{
  VmChange *change = g_new0 (VmChange, 1);
  change->platform = platform;
  change->vms = g_strdup (dy_http_call_body (call)->str);
  ev_timer_init (&change->timer, on_vm_change, (double) platform->faults.vm_lag_ms / 1000.0, 0.0);
  change->timer.data = change;
  ev_timer_start (platform->loop, &change->timer);
  reply (call, MHD_HTTP_OK, 0, "", 0);
}

static void
reply_stats (Platform *platform, DyHttpCall *call)
{
  char text[128];
  int n = g_snprintf (text, sizeof text,
                      "{\"calls\": %" G_GINT64_FORMAT ", \"writes\": %" G_GINT64_FORMAT "}",
                      platform->n_calls, platform->n_writes);
  reply (call, MHD_HTTP_OK, 0, text, (size_t) n);
}

static bool
exceeds_rate_limit (Platform *platform)
{
  int64_t now_s = (int64_t) ev_now (platform->loop);
  platform->n_calls++;
  if (platform->faults.calls_per_s == 0)
    return false;
  if (now_s != platform->window_s)
    {
      platform->window_s = now_s;
      platform->n_window_calls = 0;
    }
  return ++platform->n_window_calls > platform->faults.calls_per_s;
}

static void
handle_api (Platform *platform, DyHttpCall *call)
{
  static const char objects[] = "/v1/objects/";
  const char *path = dy_http_call_path (call);
  if (platform->faults.outage)
    reply (call, MHD_HTTP_SERVICE_UNAVAILABLE, 0, "", 0);
  else if (exceeds_rate_limit (platform))
    reply (call, MHD_HTTP_TOO_MANY_REQUESTS, 0, "", 0);
  else if (strcmp (path, "/v1/objects") == 0)
    handle_list (platform, call);
  else if (g_str_has_prefix (path, objects))
    handle_object (platform, call, path + sizeof objects - 1);
  else if (strcmp (path, "/v1/vms") == 0)
    reply (call, MHD_HTTP_OK, 0, platform->vms, strlen (platform->vms));
  else
    reply (call, MHD_HTTP_NOT_FOUND, 0, "", 0);
}

static void
on_delay_elapsed (struct ev_loop *loop, ev_timer *w, int events)
{
  Pending *pending = w->data;
  Platform *platform = pending->platform;
  DyHttpCall *call = pending->call;
  (void) loop;
  (void) events;
  dy_http_call_watch (call, NULL, NULL);
  free_pending (pending);
  handle_api (platform, call);
}

static void
handle (void *ctx, DyHttpCall *call)
{
  Platform *platform = ctx;
  const char *path = dy_http_call_path (call);
  if (strcmp (path, "/admin/faults") == 0)
    set_faults (platform, call);
  else if (strcmp (path, "/admin/vms") == 0)
    set_vms (platform, call);
  else if (strcmp (path, "/admin/stats") == 0)
    reply_stats (platform, call);
  else if (platform->faults.delay_ms > 0)
    defer_call (platform, call, (double) platform->faults.delay_ms / 1000.0, on_delay_elapsed);
  else
    handle_api (platform, call);
}

static void
refuse_too_large (void *ctx, DyHttpCall *call)
{
  (void) ctx;
  reply (call, MHD_HTTP_CONTENT_TOO_LARGE, 0, "", 0);
}

int
main (int argc, char **argv)
{
  static const DyHttpServerHandler handler = { .handle = handle, .too_large = refuse_too_large };
  if (argc != 2)
    {
      fprintf (stderr, "usage: fake_platform ADDRESS:PORT\n");
      return EXIT_FAILURE;
    }
  Platform *platform = g_new0 (Platform, 1);
  signal (SIGPIPE, SIG_IGN);
  platform->loop = ev_default_loop (EVFLAG_AUTO);
  platform->vms = g_strdup ("{\"vms\": []}");
  platform->rng = g_rand_new_with_seed (1);
  g_queue_init (&platform->pending);
  dy_object_store_init (&platform->store);
  if (dy_http_server_init (&platform->server, platform->loop, argv[1], MAX_BODY_BYTES,
                           MAX_HEADER_BYTES, MAX_BODY_BYTES, &handler, platform))
    {
      fprintf (stderr, "cannot listen on %s\n", argv[1]);
      return EXIT_FAILURE;
    }
  fprintf (stderr, "ready\n");
  ev_run (platform->loop, 0);
  return EXIT_SUCCESS;
}
