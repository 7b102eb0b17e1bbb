#include "services/origins_private.h"

#include "kernel/error.h"
#include "kernel/log.h"

#include <jansson.h>
#include <string.h>

#define STREAMS_PREFIX "streams/"

static const double TICK_S = 0.05;

enum
{
  SWEEP_INTERVAL_US = 250 * 1000,
  /* For streams read from the store: longer than callers resume them. */
  LOADED_STREAM_US = 15 * 1000 * 1000,
  /* Of the object of a router's streams. One without a number is of an earlier build, which lists a
   * stream when it is sent: it may begin elsewhere. */
  STREAMS_FORMAT = 2,
};

static int64_t
now_us (const DyOrigins *origins)
{
  return dy_kernel_now_us (origins->kernel);
}

/* Streams that the store has. */

void
dy_origins_load_streams (DyOrigins *origins,
                         const json_t *streams,
                         const char *router,
                         int64_t expires_us)
{
  bool own = strcmp (router, origins->kernel->settings->node_name) == 0;
  const char *service;
  const char *version;
  json_t *versions;
  json_t *ids;
  json_object_foreach ((json_t *) streams, service, versions)
  {
    json_object_foreach (versions, version, ids)
    {
      const json_t *item;
      size_t i;
      json_array_foreach (ids, i, item)
      {
        const char *id = json_string_value (item);
        if (!id || g_hash_table_contains (origins->table.streams, id))
          continue;
        DyStreamOrigin origin = { .request_id = id,
                                  .service = service,
                                  .version = version,
                                  .router = own ? NULL : router,
                                  .known_us = now_us (origins),
                                  .expires_us = expires_us };
        dy_stream_origins_add (&origins->table, &origin);
        if (own)
          g_hash_table_add (origins->own_ids, g_strdup (id));
      }
    }
  }
}

void
dy_origins_record_declaration (DyOrigins *origins,
                               const char *router,
                               const char *service,
                               const char *base)
{
  GHashTable *services = g_hash_table_lookup (origins->declarations, router);
  if (!services)
    {
      services = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
      g_hash_table_insert (origins->declarations, g_strdup (router), services);
    }
  g_hash_table_insert (services, g_strdup (service), g_strdup (base));
}

static void
load_object (DyOrigins *origins, const DyObject *object)
{
  const char *router = object->key + strlen (STREAMS_PREFIX);
  json_t *root = object->value ? json_loads (object->value, 0, NULL) : NULL;
  const json_t *streams = json_object_get (root, "streams");
  bool own = strcmp (object->key, origins->own_key) == 0;
  bool begun = json_integer_value (json_object_get (root, "format")) >= STREAMS_FORMAT;
  /* What another router may still change is read again for the next lookup. */
  int64_t expires_us = now_us (origins) + (begun || own ? LOADED_STREAM_US : 0);
  dy_origins_load_streams (origins, streams, router, expires_us);
  /* An earlier build lists streams of mixed services only, and states no base. */
  const json_t *mixed = begun ? json_object_get (root, "mixed") : streams;
  const char *service;
  json_t *base;
  json_object_foreach ((json_t *) mixed, service, base)
  {
    const char *text = json_is_string (base) ? json_string_value (base) : "";
    if (!own)
      dy_origins_record_declaration (origins, router, service, text);
    else if (!origins->streams_loaded)
      dy_origins_inherit_declaration (origins, service, begun ? text : NULL);
  }
  json_decref (root);
}

static void
on_versions (void *ctx, const DyPlatformReply *reply)
{
  DyOrigins *origins = ctx;
  origins->reading_versions = false;
  if (reply->error)
    {
      origins->retry_us = now_us (origins) + DY_ORIGINS_RETRY_US;
      dy_origins_refuse_lookups (origins);
      return;
    }
  for (uint32_t i = 0; i < reply->n_objects; i++)
    dy_origins_load_versions (origins, &reply->objects[i]);
  origins->versions_loaded = true;
  dy_version_knowledge_record_read (&origins->knowledge, origins->versions_sent_us);
  dy_origins_decide_lookups (origins);
}

static void
read_versions (DyOrigins *origins)
{
  if (origins->reading_versions || now_us (origins) < origins->retry_us)
    return;
  origins->reading_versions = true;
  origins->versions_sent_us = dy_kernel_boot_us ();
  dy_platform_list (origins->platform, DY_VERSIONS_PREFIX, 0, on_versions, origins);
}

static void
on_streams (void *ctx, const DyPlatformReply *reply)
{
  DyOrigins *origins = ctx;
  origins->reading_streams = false;
  if (!reply->error)
    g_hash_table_remove_all (origins->declarations);
  for (uint32_t i = 0; !reply->error && i < reply->n_objects; i++)
    {
      const DyObject *object = &reply->objects[i];
      load_object (origins, object);
      if (strcmp (object->key, origins->own_key) == 0)
        origins->own_version = object->version;
    }
  if (reply->error)
    origins->retry_us = now_us (origins) + DY_ORIGINS_RETRY_US;
  else
    origins->streams_loaded = true;
  dy_origins_end_lookups (origins, reply->error != DY_OK);
}

/* Reads the streams for the lookups that are due. */
static void
read_streams (DyOrigins *origins)
{
  bool due = !origins->streams_loaded && now_us (origins) >= origins->retry_us;
  if (origins->reading_streams || !origins->versions_loaded)
    return;
  if (!dy_origins_begin_read (origins) && !due)
    return;
  origins->reading_streams = true;
  dy_platform_list (origins->platform, STREAMS_PREFIX, 0, on_streams, origins);
}

/* The own object. */

typedef struct
{
  const DyOrigins *origins;
  const json_t *mixed;
  json_t *streams;
} Encoding;

static void
encode_stream (void *ctx, const DyStreamOrigin *origin)
{
  const Encoding *encoding = ctx;
  const DyOrigins *origins = encoding->origins;
  if (!g_hash_table_contains (origins->own_ids, origin->request_id)
      || !json_object_get (encoding->mixed, origin->service))
    return;
  json_t *versions = json_object_get (encoding->streams, origin->service);
  if (!versions)
    {
      versions = json_object ();
      json_object_set_new (encoding->streams, origin->service, versions);
    }
  json_t *ids = json_object_get (versions, origin->version);
  if (!ids)
    {
      ids = json_array ();
      json_object_set_new (versions, origin->version, ids);
    }
  json_array_append_new (ids, json_string (origin->request_id));
}

static void
on_own_written (void *ctx, const DyPlatformReply *reply)
{
  DyOrigins *origins = ctx;
  origins->writing = false;
  if (reply->error == DY_OK || reply->error == DY_CONFLICT)
    origins->own_version = reply->version;
  dy_origins_end_declarations (origins, reply->error == DY_OK);
  if (reply->error == DY_OK)
    return;
  origins->dirty = true;
  if (reply->error != DY_CONFLICT)
    origins->own_version = 0;
}

static void
on_write_due (struct ev_loop *loop, ev_timer *w, int events)
{
  DyOrigins *origins = w->data;
  (void) loop;
  (void) events;
  if (!origins->dirty || origins->writing || !origins->streams_loaded)
    return;
  json_t *mixed = dy_origins_begin_declarations (origins);
  Encoding encoding = { origins, mixed, json_object () };
  dy_stream_origins_visit (&origins->table, encode_stream, &encoding);
  json_t *root = json_pack ("{s:i, s:o, s:o}", "format", STREAMS_FORMAT, "mixed", mixed, "streams",
                            encoding.streams);
  char *text = json_dumps (root, JSON_COMPACT);
  origins->dirty = false;
  origins->writing = true;
  origins->written_us = now_us (origins);
  dy_counters_add (&origins->kernel->counters, DY_COUNTER_ORIGIN_WRITES, 1);
  dy_platform_put (origins->platform, origins->own_key, text, origins->own_version, on_own_written,
                   origins);
  free (text);
  json_decref (root);
}

/* The first write after a pause is made at once. */
static void
schedule_write (DyOrigins *origins)
{
  if (!origins->dirty || origins->writing || !origins->streams_loaded
      || ev_is_active (&origins->write_timer))
    return;
  uint32_t n_routers = dy_members_possible_count (&origins->directory->peers->members);
  int64_t due_us = origins->written_us + dy_stream_origins_write_interval_us (n_routers);
  ev_timer_set (&origins->write_timer, (double) MAX (due_us - now_us (origins), 0) / 1e6, 0.0);
  ev_timer_start (origins->kernel->loop, &origins->write_timer);
}

static gboolean
is_forgotten (gpointer key, gpointer value, gpointer ctx)
{
  const DyOrigins *origins = ctx;
  (void) value;
  return !g_hash_table_contains (origins->table.streams, key);
}

/* Notes the versions that are listed, and drops what is no longer needed. */
static void
sweep (DyOrigins *origins)
{
  dy_origins_update_knowledge (origins);
  if (now_us (origins) - origins->swept_us < SWEEP_INTERVAL_US)
    return;
  origins->swept_us = now_us (origins);
  bool dropped = dy_stream_origins_evict (&origins->table, now_us (origins));
  g_hash_table_foreach_remove (origins->own_ids, is_forgotten, origins);
  dy_origins_sync_services (origins, dropped);
}

static void
on_timer (struct ev_loop *loop, ev_timer *w, int events)
{
  DyOrigins *origins = w->data;
  (void) loop;
  (void) events;
  bool awaits = dy_origins_decide_lookups (origins);
  if (awaits)
    dy_origins_confirm_records (origins);
  if (!origins->versions_loaded
      || ((awaits || dy_origins_awaits_base (origins))
          && dy_version_knowledge_needs_read (&origins->knowledge, dy_kernel_boot_us ())))
    read_versions (origins);
  sweep (origins);
  origins->dirty = origins->dirty || dy_origins_declarations_differ (origins);
  read_streams (origins);
  schedule_write (origins);
  dy_origins_report_declared (origins);
}

/* The endpoint records were read. Not decided at once, as a request that goes on may ask for them
 * again. */
static void
on_confirmed (void *ctx)
{
  DyOrigins *origins = ctx;
  if (g_hash_table_size (origins->lookups) > 0)
    ev_timer_start (origins->kernel->loop, &origins->decision);
}

static void
on_decision (struct ev_loop *loop, ev_timer *w, int events)
{
  (void) loop;
  (void) events;
  dy_origins_decide_lookups (w->data);
}

/* Writes the objects again that the store may have lost. */
static void
on_era (void *ctx, uint64_t era, bool restored)
{
  DyOrigins *origins = ctx;
  (void) era;
  if (!restored)
    return;
  origins->dirty = true;
  dy_stream_origins_forget_bases (&origins->table, now_us (origins) + DY_VERSION_RETENTION_US);
  dy_origins_withdraw_services (origins);
}

static int
service_start (void *self, DyKernel *kernel)
{
  DyOrigins *origins = self;
  origins->kernel = kernel;
  origins->directory = dy_kernel_find (kernel, DY_SERVICE_DIRECTORY);
  origins->platform = dy_kernel_find (kernel, DY_SERVICE_PLATFORM);
  origins->own_key = g_strconcat (STREAMS_PREFIX, kernel->settings->node_name, NULL);
  origins->own_ids = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  origins->services
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, dy_origins_free_service);
  origins->declarations = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                                 (GDestroyNotify) g_hash_table_unref);
  origins->lookups = g_hash_table_new_full (NULL, NULL, dy_origins_free_lookup, NULL);
  dy_stream_origins_init (&origins->table);
  dy_version_knowledge_init (&origins->knowledge);
  dy_directory_watch_confirmations (origins->directory, on_confirmed, origins);
  ev_timer_init (&origins->decision, on_decision, 0.0, 0.0);
  origins->decision.data = origins;
  dy_platform_watch_era (origins->platform, on_era, origins);
  dy_origins_start_questions (origins);
  ev_timer_init (&origins->timer, on_timer, 0.0, TICK_S);
  origins->timer.data = origins;
  ev_timer_init (&origins->write_timer, on_write_due, 0.0, 0.0);
  origins->write_timer.data = origins;
  ev_timer_start (kernel->loop, &origins->timer);
  return DY_OK;
}

static void
service_stop (void *self)
{
  DyOrigins *origins = self;
  dy_directory_watch_confirmations (origins->directory, NULL, NULL);
  ev_timer_stop (origins->kernel->loop, &origins->timer);
  ev_timer_stop (origins->kernel->loop, &origins->decision);
  ev_timer_stop (origins->kernel->loop, &origins->write_timer);
  g_hash_table_unref (origins->lookups);
  g_hash_table_unref (origins->services);
  g_hash_table_unref (origins->declarations);
  g_hash_table_unref (origins->own_ids);
  dy_stream_origins_finish (&origins->table);
  g_free (origins->own_key);
}

static json_t *
service_dump (void *self)
{
  const DyOrigins *origins = self;
  json_t *services = json_object ();
  GHashTableIter iter;
  gpointer service;
  g_hash_table_iter_init (&iter, origins->services);
  while (g_hash_table_iter_next (&iter, &service, NULL))
    {
      json_t *versions = json_array ();
      dy_stream_origins_visit_versions (&origins->table, service, dy_origins_collect_version,
                                        versions);
      json_object_set_new (services, service, versions);
    }
  return json_pack ("{s:b, s:b, s:i, s:i, s:i, s:o}", "versions_loaded", origins->versions_loaded,
                    "streams_loaded", origins->streams_loaded, "streams",
                    (int) g_hash_table_size (origins->table.streams), "own",
                    (int) g_hash_table_size (origins->own_ids), "lookups",
                    (int) g_hash_table_size (origins->lookups), "versions", services);
}

void
dy_origins_add_service (DyKernel *kernel, DyOrigins *origins)
{
  DyService service = { .name = DY_SERVICE_ORIGINS,
                        .self = origins,
                        .start = service_start,
                        .stop = service_stop,
                        .dump = service_dump };
  dy_kernel_add (kernel, &service);
}

void
dy_origins_record (DyOrigins *origins, const DyStreamOrigin *origin)
{
  dy_stream_origins_add (&origins->table, origin);
  g_hash_table_add (origins->own_ids, g_strdup (origin->request_id));
  dy_origins_see_version (origins, origin->service, origin->version);
  origins->dirty = origins->dirty || dy_stream_origins_is_mixed (&origins->table, origin->service);
  schedule_write (origins);
}
