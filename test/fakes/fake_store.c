/* Fake of the object store of the users' platform, written to the store's published documentation.
 *
 * GET /objects/KIND lists the objects of a kind in pages. With watch=REVISION it waits up to waitMs
 * for changes after that revision. GET, PUT and DELETE /objects/KIND/NAME and POST /objects/KIND
 * read, write, remove and create one object; a write that names a revision fails with 409 unless
 * the object has it.
 *
 * POST /admin/set takes these faults in a JSON object:
 *   "page": n        objects on a page
 *   "silent": bool   only /admin/set gets a reply; false if missing
 *   "lose": n        the next n successful writes get no reply
 *   "late": n        the next n writes get no reply, and are executed late if their condition
 *                    still holds
 *   "forget": bool   the change history is dropped: watches get 410 or are aborted
 *   "drop_watches": bool  the watches that wait never get a reply; their connections live on
 *   "mute_watches": bool  watches that come get no reply either; false if missing
 *   "restore": ms    the store goes back to what it was that long ago, and its era rises by one
 *   "away_ms": n     with restore: no call but /admin/set gets a reply for that long before
 *   "put": {"key": KIND/NAME, "spec": value}
 *                    with restore: the object is written at the return, before any other call
 *   "skip": n        with restore: n revisions are then given out, as if to other objects
 *   "addresses": {address: address}
 *                    objects of the kind "routers" are read with the second address in place of the
 *                    first, as of a relay
 *
 * GET /admin/stats returns the number of calls to each kind of objects as KIND, and of writes among
 * them as "KIND writes", refused ones included.
 *
 * All answers have the header Store-Era. Writes of the kind "versions" get 403, as the platform has
 * a kind of that name. */

#include "net/http_server.h"
#include "services/object_store.h"
#include "support/snapshots.h"

#include "kernel/error.h"

#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

enum
{
  MAX_BODY_BYTES = 2 * 1024 * 1024,
  MAX_HEADER_BYTES = 16384,
  DEFAULT_PAGE = 500,
  SNAPSHOT_AGE_US = 60 * 1000 * 1000,
};

/* Longer than the call timeout of the routers, shorter than the longest fault of the soak test. */
static const double LATE_WRITE_DELAY_S = 1.2;

typedef struct
{
  struct ev_loop *loop;
  DyHttpServer server;
  DyObjectStore objects;
  uint64_t oldest_revision; /* a watch from a lower revision gets 410 */
  GPtrArray *watches;
  int64_t page;           /* objects on a page */
  bool silent;            /* only /admin/set gets a reply */
  bool mute_watches;      /* watches get no reply */
  int64_t n_lost_replies; /* number of next successful writes that get no reply */
  int64_t n_late;         /* number of next writes that are executed late and get no reply */
  int64_t n_writes;
  json_t *n_calls; /* kind to the number of calls */
  Snapshots snapshots;
  int64_t restore_ms; /* age of the copy to return to when restore_timer ends */
  uint64_t skip;      /* revisions to give out then */
  json_t *put;        /* object to be written then; NULL: none */
  bool away;          /* until then, only /admin/set gets a reply */
  ev_timer restore_timer;
} Store;

typedef struct
{
  Store *store;
  DyHttpCall *call; /* NULL once the connection is closed */
  char *prefix;
  uint64_t after; /* the watch returns changes with a higher revision */
  ev_timer timer;
} Watch;

static uint64_t current_era;
/* Address in an object of the kind "routers" to the one that is read. */
static json_t *read_addresses;

static void
reply (DyHttpCall *call, unsigned status, json_t *root)
{
  char *text = json_dumps (root, JSON_COMPACT);
  char *era = g_strdup_printf ("%" G_GUINT64_FORMAT, current_era);
  dy_http_call_add_header (call, "Store-Era", era);
  g_free (era);
  dy_http_call_reply (call, status, "application/json", text, strlen (text));
  free (text);
  json_decref (root);
}

static json_t *
object_json (const DyObject *object)
{
  const char *slash = strchr (object->key, '/');
  json_t *spec = object->value ? json_loads (object->value, JSON_DECODE_ANY, NULL) : json_null ();
  const char *address = json_string_value (json_object_get (spec, "address"));
  json_t *read_address = address ? json_object_get (read_addresses, address) : NULL;
  if (read_address && g_str_has_prefix (object->key, "routers/"))
    json_object_set (spec, "address", read_address);
  return json_pack ("{s:{s:s, s:I, s:I, s:[], s:b}, s:o, s:n}", "metadata", "name", slash + 1,
                    "revision", (json_int_t) object->version, "created",
                    (json_int_t) object->version, "finalizers", "deleting", 0, "spec", spec,
                    "status");
}

static json_t *
events_after (Store *store, const char *prefix, uint64_t after)
{
  json_t *events = json_array ();
  GArray *objects = dy_object_store_list (&store->objects, prefix, after);
  for (guint i = 0; i < objects->len; i++)
    {
      const DyObject *object = &g_array_index (objects, DyObject, i);
      json_array_append_new (events, json_pack ("{s:b, s:o}", "deleted", object->value == NULL,
                                                "object", object_json (object)));
    }
  g_array_unref (objects);
  return events;
}

static void
free_watch (gpointer data)
{
  Watch *watch = data;
  ev_timer_stop (watch->store->loop, &watch->timer);
  g_free (watch->prefix);
  g_free (watch);
}

static void
end_watch (Watch *watch, json_t *events)
{
  Store *store = watch->store;
  if (watch->call)
    {
      dy_http_call_watch (watch->call, NULL, NULL);
      reply (watch->call, 200,
             json_pack ("{s:o, s:I}", "events", events, "at", (json_int_t) store->objects.version));
    }
  g_ptr_array_remove (store->watches, watch);
}

static void
on_watch_timeout (struct ev_loop *loop, ev_timer *w, int events)
{
  (void) loop;
  (void) events;
  end_watch (w->data, json_array ());
}

static void
on_watch_closed (void *ctx, DyHttpCall *call, bool complete)
{
  Watch *watch = ctx;
  (void) call;
  (void) complete;
  watch->call = NULL;
  g_ptr_array_remove (watch->store->watches, watch);
}

static const DyHttpCallWatcher watch_watcher = { .closed = on_watch_closed };

/* Replies to the watches whose objects have changed. */
static void
reply_to_watches (Store *store)
{
  for (guint i = store->watches->len; i > 0; i--)
    {
      Watch *watch = g_ptr_array_index (store->watches, i - 1);
      json_t *events = events_after (store, watch->prefix, watch->after);
      if (json_array_size (events) > 0)
        end_watch (watch, events);
      else
        json_decref (events);
    }
}

/* Forgets the watches that wait. Their connections stay open without a reply. */
static void
drop_watches (Store *store)
{
  for (guint i = 0; i < store->watches->len; i++)
    {
      Watch *watch = g_ptr_array_index (store->watches, i);
      if (watch->call)
        dy_http_call_watch (watch->call, NULL, NULL);
    }
  g_ptr_array_set_size (store->watches, 0);
}

static void
start_watch (Store *store, DyHttpCall *call, const char *prefix, uint64_t after, int64_t wait_ms)
{
  if (store->mute_watches)
    return;
  if (after < store->oldest_revision || after > store->objects.version)
    {
      reply (call, 410, json_pack ("{s:s}", "error", "gone"));
      return;
    }
  Watch *watch = g_new0 (Watch, 1);
  watch->store = store;
  watch->call = call;
  watch->prefix = g_strdup (prefix);
  watch->after = after;
  ev_timer_init (&watch->timer, on_watch_timeout, (double) wait_ms / 1000.0, 0.0);
  watch->timer.data = watch;
  ev_timer_start (store->loop, &watch->timer);
  g_ptr_array_add (store->watches, watch);
  dy_http_call_watch (call, &watch_watcher, watch);
  reply_to_watches (store);
}

static void
list_page (Store *store, DyHttpCall *call, const char *prefix)
{
  const char *after = dy_http_call_query (call, "after");
  GArray *objects = dy_object_store_list (&store->objects, prefix, 0);
  json_t *items = json_array ();
  bool more = false;
  for (guint i = 0; i < objects->len && !more; i++)
    {
      const DyObject *object = &g_array_index (objects, DyObject, i);
      if (after && strcmp (strchr (object->key, '/') + 1, after) <= 0)
        continue;
      more = (int64_t) json_array_size (items) == store->page;
      if (!more)
        json_array_append_new (items, object_json (object));
    }
  g_array_unref (objects);
  reply (call, 200,
         json_pack ("{s:o, s:b, s:I}", "items", items, "hasMore", more, "at",
                    (json_int_t) store->objects.version));
}

static void
reply_with_object (Store *store, DyHttpCall *call, const char *key, int error)
{
  DyObject object;
  if (dy_object_store_get (&store->objects, key, &object))
    reply (call, error ? 409 : 404, json_pack ("{s:s}", "error", "no such object"));
  else
    reply (call, error ? 409 : 200, object_json (&object));
}

/* A requested write, whose condition is checked when it is executed. */
typedef struct
{
  Store *store;
  char *key;
  json_t *body;
  bool creates;      /* fails if the object exists */
  bool conditional;  /* fails unless the object has the expected revision */
  uint64_t expected; /* revision; only if conditional */
  ev_timer timer;    /* only if executed late */
} Write;

static void
free_write (Write *write)
{
  json_decref (write->body);
  g_free (write->key);
  g_free (write);
}

static Write *
read_write (Store *store, DyHttpCall *call, const char *key, json_t *body)
{
  const json_t *revision = json_object_get (json_object_get (body, "metadata"), "revision");
  const char *query = dy_http_call_query (call, "revision");
  Write *write = g_new0 (Write, 1);
  write->store = store;
  write->key = g_strdup (key);
  write->body = json_incref (body);
  write->creates = strcmp (dy_http_call_method (call), "POST") == 0;
  write->conditional = revision || query;
  if (query)
    write->expected = g_ascii_strtoull (query, NULL, 10);
  else if (revision)
    write->expected = (uint64_t) json_integer_value (revision);
  return write;
}

static int
execute_write (const Write *write)
{
  Store *store = write->store;
  const json_t *spec = json_object_get (write->body, "spec");
  DyObject object;
  uint64_t version = 0;
  uint64_t current = 0;
  if (dy_object_store_get (&store->objects, write->key, &object) == DY_OK)
    current = object.version;
  if (write->creates ? current != 0 : write->conditional && write->expected != current)
    return DY_CONFLICT;
  char *text = spec ? json_dumps (spec, JSON_COMPACT | JSON_ENCODE_ANY) : NULL;
  snapshots_take (&store->snapshots, &store->objects, g_get_monotonic_time ());
  int error = dy_object_store_put (&store->objects, write->key, text, text ? strlen (text) : 0,
                                   current, &version);
  free (text);
  return error;
}

/* The requester's call has timed out by now; it may have been repeated. */
static void
on_late_write (struct ev_loop *loop, ev_timer *w, int events)
{
  Write *write = w->data;
  (void) loop;
  (void) events;
  execute_write (write);
  reply_to_watches (write->store);
  free_write (write);
}

static void
defer_write (Write *write)
{
  Store *store = write->store;
  store->n_late--;
  ev_timer_init (&write->timer, on_late_write, LATE_WRITE_DELAY_S, 0.0);
  write->timer.data = write;
  ev_timer_start (store->loop, &write->timer);
}

static void
write_object (Store *store, DyHttpCall *call, const char *key, json_t *body)
{
  Write *write = read_write (store, call, key, body);
  store->n_writes++;
  if (g_str_has_prefix (key, "versions/"))
    {
      reply (call, 403, json_pack ("{s:s}", "error", "the kind is the platform's"));
      free_write (write);
      return;
    }
  if (store->n_late > 0)
    {
      defer_write (write);
      return;
    }
  int error = execute_write (write);
  if (!error && store->n_lost_replies > 0)
    store->n_lost_replies--;
  else if (!error && !json_object_get (body, "spec"))
    reply (call, 200, json_object ());
  else
    reply_with_object (store, call, key, error);
  free_write (write);
  reply_to_watches (store);
}

static void
abort_watches (Store *store)
{
  while (store->watches->len > 0)
    {
      Watch *watch = g_ptr_array_index (store->watches, 0);
      dy_http_call_watch (watch->call, NULL, NULL);
      dy_http_call_abort (watch->call);
      g_ptr_array_remove_index (store->watches, 0);
    }
}

static void
on_restore (struct ev_loop *loop, ev_timer *w, int events)
{
  Store *store = w->data;
  (void) loop;
  (void) events;
  snapshots_restore (&store->snapshots, &store->objects,
                     g_get_monotonic_time () - store->restore_ms * 1000);
  if (store->put)
    {
      const char *key = json_string_value (json_object_get (store->put, "key"));
      char *text = json_dumps (json_object_get (store->put, "spec"), JSON_COMPACT);
      DyObject object;
      uint64_t version
          = dy_object_store_get (&store->objects, key, &object) == DY_OK ? object.version : 0;
      dy_object_store_put (&store->objects, key, text, strlen (text), version, &version);
      free (text);
    }
  store->objects.version += store->skip;
  store->away = false;
  current_era++;
}

static void
set_faults (Store *store, DyHttpCall *call)
{
  json_t *body = json_loadb (dy_http_call_body (call)->str, dy_http_call_body (call)->len, 0, NULL);
  const json_t *page = json_object_get (body, "page");
  const json_t *lose = json_object_get (body, "lose");
  const json_t *late = json_object_get (body, "late");
  const json_t *restore = json_object_get (body, "restore");
  json_t *addresses = json_object_get (body, "addresses");
  if (addresses)
    json_object_update (read_addresses, addresses);
  store->silent = json_is_true (json_object_get (body, "silent"));
  store->mute_watches = json_is_true (json_object_get (body, "mute_watches"));
  if (json_is_true (json_object_get (body, "drop_watches")))
    drop_watches (store);
  if (page)
    store->page = json_integer_value (page);
  if (lose)
    store->n_lost_replies = json_integer_value (lose);
  if (late)
    store->n_late = json_integer_value (late);
  if (json_is_true (json_object_get (body, "forget")))
    {
      /* The changes that the open watches wait for are dropped, and their connections aborted. */
      store->oldest_revision = store->objects.version + 1;
      abort_watches (store);
    }
  if (restore)
    {
      double away_s = (double) json_integer_value (json_object_get (body, "away_ms")) / 1000.0;
      store->restore_ms = json_integer_value (restore);
      store->skip = (uint64_t) json_integer_value (json_object_get (body, "skip"));
      json_decref (store->put);
      store->put = json_incref (json_object_get (body, "put"));
      store->away = true;
      abort_watches (store);
      ev_timer_set (&store->restore_timer, away_s, 0.0);
      ev_timer_start (store->loop, &store->restore_timer);
    }
  json_decref (body);
  reply (call, 200, json_pack ("{s:I}", "writes", (json_int_t) store->n_writes));
}

static void
handle_kind (Store *store, DyHttpCall *call, const char *kind)
{
  const char *watch = dy_http_call_query (call, "watch");
  const char *wait_ms = dy_http_call_query (call, "waitMs");
  char *prefix = g_strconcat (kind, "/", NULL);
  if (strcmp (dy_http_call_method (call), "POST") == 0)
    {
      json_t *body
          = json_loadb (dy_http_call_body (call)->str, dy_http_call_body (call)->len, 0, NULL);
      const char *name
          = json_string_value (json_object_get (json_object_get (body, "metadata"), "name"));
      char *key = g_strconcat (prefix, name ? name : "", NULL);
      write_object (store, call, key, body);
      g_free (key);
      json_decref (body);
    }
  else if (watch)
    start_watch (store, call, prefix, g_ascii_strtoull (watch, NULL, 10),
                 wait_ms ? g_ascii_strtoll (wait_ms, NULL, 10) : 1000);
  else
    list_page (store, call, prefix);
  g_free (prefix);
}

static void
handle_object (Store *store, DyHttpCall *call, const char *key)
{
  json_t *body = json_loadb (dy_http_call_body (call)->str, dy_http_call_body (call)->len, 0, NULL);
  if (strcmp (dy_http_call_method (call), "GET") == 0)
    reply_with_object (store, call, key, DY_OK);
  else
    write_object (store, call, key, body);
  json_decref (body);
}

static void
count (Store *store, const char *name)
{
  json_int_t n = json_integer_value (json_object_get (store->n_calls, name));
  json_object_set_new (store->n_calls, name, json_integer (n + 1));
}

static void
count_call (Store *store, const DyHttpCall *call, const char *path)
{
  char *kind = g_strndup (path, strcspn (path, "/?"));
  char *writes = g_strconcat (kind, " writes", NULL);
  count (store, kind);
  if (strcmp (dy_http_call_method (call), "GET") != 0)
    count (store, writes);
  g_free (kind);
  g_free (writes);
}

static void
handle (void *ctx, DyHttpCall *call)
{
  static const char prefix[] = "/objects/";
  Store *store = ctx;
  const char *path = dy_http_call_path (call);
  if (strcmp (path, "/admin/set") == 0)
    {
      set_faults (store, call);
      return;
    }
  if (strcmp (path, "/admin/stats") == 0)
    {
      reply (call, 200, json_incref (store->n_calls));
      return;
    }
  if (g_str_has_prefix (path, prefix))
    count_call (store, call, path + sizeof prefix - 1);
  if (store->silent || store->away)
    return;
  if (!g_str_has_prefix (path, prefix))
    {
      reply (call, 404, json_object ());
      return;
    }
  path += sizeof prefix - 1;
  if (strchr (path, '/'))
    handle_object (store, call, path);
  else
    handle_kind (store, call, path);
}

static const DyHttpServerHandler handler = { .handle = handle, .too_large = handle };

int
main (int argc, char **argv)
{
  Store store = { .page = DEFAULT_PAGE };
  if (argc != 2)
    return 2;
  signal (SIGPIPE, SIG_IGN);
  store.loop = ev_default_loop (EVFLAG_AUTO);
  store.watches = g_ptr_array_new_with_free_func (free_watch);
  store.n_calls = json_object ();
  read_addresses = json_object ();
  dy_object_store_init (&store.objects);
  snapshots_init (&store.snapshots, SNAPSHOT_AGE_US);
  ev_timer_init (&store.restore_timer, on_restore, 0.0, 0.0);
  store.restore_timer.data = &store;
  current_era = 1;
  if (dy_http_server_init (&store.server, store.loop, argv[1], MAX_BODY_BYTES, MAX_HEADER_BYTES,
                           MAX_BODY_BYTES, &handler, &store))
    return 1;
  printf ("ready\n");
  fflush (stdout);
  ev_run (store.loop, 0);
  return 0;
}
