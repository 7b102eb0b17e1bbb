#include "services/endpoints/directory_private.h"
#include "services/endpoints/even_load.h"

#include "kernel/error.h"
#include "kernel/log.h"
#include "kernel/priority.h"
#include "services/peers/packed_text.h"

#include <string.h>

enum
{
  /* Delays that let one call return several changes. Within 2 s of the change, a new route table
   * must be in force and a leaving endpoint must get no new work. */
  ROUTES_BATCH_DELAY_MS = 300,
  ENDPOINTS_BATCH_DELAY_MS = 600,
  /* From the heartbeat that tells of a later route table, which may be on its way, to a request for
   * it, and between requests. */
  PEER_REQUEST_INTERVAL_US = 300 * 1000,
  /* A record that disappears this soon after an outage may have expired during the outage. */
  EXPIRY_WINDOW_US = 4000 * 1000,
  MAX_ROUTES_BYTES = 4 * 1024 * 1024, /* of another router's reply, once unpacked */
  EXPIRY_GRACE_US = 1200 * 1000,      /* endpoints renew expired records within two seconds */
  /* A restored store may lack the records of endpoints that serve; they write them again within two
   * seconds. */
  RESTORED_GRACE_US = 1900 * 1000,
};

static const double EXPIRY_CHECK_S = 0.1;

/* Of a CONFIG_GET: the reply may be packed. Of a CONFIG: it is. */
static const char PACKED_PREFIX[] = "packed/";

static int64_t
now_us (const DyDirectory *directory)
{
  return dy_kernel_now_us (directory->kernel);
}

static void
apply_routes (void *ctx, const DyObject *object)
{
  DyDirectory *directory = ctx;
  DyRouteTable table;
  if (strcmp (object->key, directory->dialect->routes_key) != 0 || !object->value)
    return;
  if (directory->dialect->decode_routes (object->value, strlen (object->value), &table))
    {
      dy_counters_add (&directory->kernel->counters, DY_COUNTER_DECLARATIONS_REJECTED, 1);
      dy_log (DY_EVENT_DECLARATION_REJECTED, "key=%s version=%" G_GUINT64_FORMAT, object->key,
              object->version);
      return;
    }
  if (directory->has_routes && table.version <= directory->routes.version)
    {
      dy_route_table_finish (&table);
      return;
    }
  dy_route_table_finish (&directory->routes);
  directory->routes = table;
  directory->has_routes = true;
  directory->newer_us = 0;
  g_free (directory->routes_text);
  directory->routes_text = g_strdup (object->value);
  g_clear_pointer (&directory->routes_packed, g_free);
  directory->routes_revision = object->version;
  dy_even_load_take_routes (directory);
  directory->peers->config_version = table.version;
  dy_counters_set (&directory->kernel->counters, DY_COUNTER_CONFIG_VERSION,
                   (int64_t) table.version);
  dy_log (DY_EVENT_DECLARATION_APPLIED,
          "key=%s version=%" G_GUINT64_FORMAT " revision=%" G_GUINT64_FORMAT " source=%s",
          object->key, table.version, object->version,
          directory->routes_watch.failing || directory->routes_watch.taking ? "peer" : "store");
  if (directory->watcher)
    directory->watcher (directory->watcher_ctx, &directory->routes);
}

static const char *
endpoint_id (const DyDirectory *directory, const char *key)
{
  return key + strlen (directory->dialect->endpoints_prefix);
}

/* A record that is not taken yet, see core/departures.h. */
typedef struct
{
  char *key;
  char *value;
  uint64_t version;
  int64_t until_us;
} HeldRecord;

static void
free_held (gpointer data)
{
  HeldRecord *held = data;
  g_free (held->key);
  g_free (held->value);
  g_free (held);
}

/* Returns whether the listed record RECORD of OBJECT is held back, as the endpoint is known to have
 * left before the store was restored. */
static bool
hold_record (DyDirectory *directory, const DyObject *object, const DyEndpointRecord *record)
{
  int64_t until_us
      = dy_departures_held_until (&directory->departures, record->id, record->start_ms,
                                  directory->platform->restored_us, now_us (directory));
  if (!directory->endpoints_watch.listing || record->leaving || until_us == 0)
    return false;
  dy_log (DY_EVENT_ENDPOINT_HELD, "endpoint=%s service=%s ms=%" G_GINT64_FORMAT, record->id,
          record->service, (until_us - now_us (directory)) / 1000);
  HeldRecord *held = g_new0 (HeldRecord, 1);
  held->key = g_strdup (object->key);
  held->value = g_strdup (object->value);
  held->version = object->version;
  held->until_us = until_us;
  g_hash_table_replace (directory->held, held->key, held);
  return true;
}

static void
notify_end (const DyDirectory *directory, const char *id)
{
  if (directory->end_watcher)
    directory->end_watcher (directory->end_watcher_ctx, id);
}

static void
remove_endpoint (DyDirectory *directory, const char *id, const char *reason)
{
  const DyEndpointState *state = g_hash_table_lookup (directory->endpoints, id);
  dy_log (DY_EVENT_ENDPOINT_REMOVED, "endpoint=%s reason=%s", id, reason);
  notify_end (directory, id);
  if (state)
    dy_departures_add (&directory->departures, id, state->start_ms, now_us (directory));
  dy_placement_remove (&directory->placement, id);
  g_hash_table_remove (directory->endpoints, id);
}

/* Removes the endpoint ID, or schedules that if its record may have expired during an outage. */
static void
handle_unlisted_endpoint (DyDirectory *directory, const char *id)
{
  DyEndpointState *state = g_hash_table_lookup (directory->endpoints, id);
  int64_t now = now_us (directory);
  if (!state)
    return;
  bool restored = directory->endpoints_watch.listing
                  && dy_platform_was_restored_within (directory->platform, EXPIRY_WINDOW_US);
  if (!restored && now - directory->endpoints_watch.recovered_us > EXPIRY_WINDOW_US)
    {
      remove_endpoint (directory, id, "unlisted");
      return;
    }
  if (state->expiring)
    return;
  state->expiring = true;
  state->remove_us = now + (restored ? RESTORED_GRACE_US : EXPIRY_GRACE_US);
}

static void
apply_endpoint (void *ctx, const DyObject *object)
{
  DyDirectory *directory = ctx;
  const char *id = endpoint_id (directory, object->key);
  DyEndpointRecord record;
  json_t *document;
  g_hash_table_remove (directory->held, object->key);
  if (!object->value)
    {
      handle_unlisted_endpoint (directory, id);
      return;
    }
  if (directory->dialect->decode_endpoint (id, object->value, strlen (object->value), &record,
                                           &document))
    {
      dy_log (DY_EVENT_ENDPOINT_REJECTED, "endpoint=%s version=%" G_GUINT64_FORMAT, id,
              object->version);
      return;
    }
  if (hold_record (directory, object, &record))
    {
      json_decref (document);
      return;
    }
  DyEndpointState *state = g_hash_table_lookup (directory->endpoints, id);
  dy_log (DY_EVENT_ENDPOINT_LISTED, "endpoint=%s service=%s address=%s leaving=%d known=%d", id,
          record.service, record.address, record.leaving, state != NULL);
  if (!state)
    {
      state = g_new0 (DyEndpointState, 1);
      g_hash_table_insert (directory->endpoints, g_strdup (id), state);
    }
  else if (state->start_ms != record.start_ms)
    notify_end (directory, id);
  state->expiring = false;
  state->start_ms = record.start_ms;
  state->leaving = record.leaving;
  record.leaving
      = record.leaving || dy_notices_is_leaving (&directory->notices, id, record.start_ms);
  if (record.leaving)
    dy_departures_add (&directory->departures, id, record.start_ms, now_us (directory));
  else
    dy_departures_remove (&directory->departures, id);
  dy_placement_put (&directory->placement, &record);
  dy_placement_set_wait (&directory->placement, id,
                         dy_notices_wait_until_us (&directory->notices, id, record.start_ms));
  if (directory->record_watcher)
    directory->record_watcher (directory->record_watcher_ctx, &record, object->version);
  json_decref (document);
}

/* Handles the endpoints that are missing from a complete list. */
static void
remove_unlisted (void *ctx, const DyPlatformReply *reply)
{
  DyDirectory *directory = ctx;
  GHashTable *listed = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTableIter iter;
  gpointer id;
  for (uint32_t i = 0; i < reply->n_objects; i++)
    g_hash_table_add (listed, (gpointer) endpoint_id (directory, reply->objects[i].key));
  GPtrArray *missing = g_ptr_array_new_with_free_func (g_free);
  g_hash_table_iter_init (&iter, directory->endpoints);
  while (g_hash_table_iter_next (&iter, &id, NULL))
    if (!g_hash_table_contains (listed, id))
      g_ptr_array_add (missing, g_strdup (id));
  for (guint i = 0; i < missing->len; i++)
    handle_unlisted_endpoint (directory, g_ptr_array_index (missing, i));
  g_ptr_array_unref (missing);
  g_hash_table_unref (listed);
}

/* Takes the held records that are still listed and need not be held any longer. */
static void
apply_held (DyDirectory *directory)
{
  GPtrArray *due = g_ptr_array_new_with_free_func (free_held);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, directory->held);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (now_us (directory) >= ((const HeldRecord *) value)->until_us)
      {
        g_ptr_array_add (due, value);
        g_hash_table_iter_steal (&iter);
      }
  for (guint i = 0; i < due->len; i++)
    {
      const HeldRecord *held = g_ptr_array_index (due, i);
      DyObject object = { .key = held->key, .version = held->version, .value = held->value };
      apply_endpoint (directory, &object);
    }
  g_ptr_array_unref (due);
}

static void
remove_expired (struct ev_loop *loop, ev_timer *w, int events)
{
  DyDirectory *directory = w->data;
  GHashTableIter iter;
  gpointer id;
  gpointer value;
  int64_t now = now_us (directory);
  (void) loop;
  (void) events;
  GPtrArray *expired = g_ptr_array_new_with_free_func (g_free);
  g_hash_table_iter_init (&iter, directory->endpoints);
  while (g_hash_table_iter_next (&iter, &id, &value))
    {
      const DyEndpointState *state = value;
      if (state->expiring && now >= state->remove_us)
        g_ptr_array_add (expired, g_strdup (id));
    }
  for (guint i = 0; i < expired->len; i++)
    remove_endpoint (directory, g_ptr_array_index (expired, i), "lapsed");
  g_ptr_array_unref (expired);
  apply_held (directory);
  dy_evacuation_watch_update (&directory->evacuations, directory->endpoints_watch.age.version != 0);
  dy_directory_update_knowledge (directory);
  dy_departures_evict (&directory->departures, now);
}

/* The records that were held back are listed again if they still exist. */
static void
drop_held (void *ctx)
{
  DyDirectory *directory = ctx;
  g_hash_table_remove_all (directory->held);
}

static void
report_confirmation (void *ctx, uint64_t version)
{
  DyDirectory *directory = ctx;
  (void) version;
  if (directory->confirm_watcher)
    directory->confirm_watcher (directory->confirm_watcher_ctx);
}

static const DyObjectWatcher routes_watcher = { .apply = apply_routes };
static const DyObjectWatcher endpoints_watcher = { .apply = apply_endpoint,
                                                   .list_begun = drop_held,
                                                   .list_ended = remove_unlisted,
                                                   .updated = report_confirmation };

/* Sends the route table to the router that asked with GET for a later one than its own. */
static void
reply_to_peer (DyDirectory *directory, uint64_t link, const DyMessage *get)
{
  DyMessage message = { .type = DY_MESSAGE_CONFIG };
  if (!directory->has_routes || directory->routes.version <= get->u.config.version)
    return;
  size_t n_text = strlen (directory->routes_text);
  bool packs = n_text > DY_PACKED_TEXT_MIN_BYTES && strcmp (get->u.config.key, PACKED_PREFIX) == 0;
  if (packs && !directory->routes_packed)
    directory->routes_packed = dy_packed_text_encode (directory->routes_text, n_text);
  message.u.config.version = directory->routes_revision;
  message.u.config.text = packs ? directory->routes_packed : directory->routes_text;
  message.u.config.n_text = (uint32_t) strlen (message.u.config.text);
  g_snprintf (message.u.config.key, DY_KEY_SIZE, "%s%s", packs ? PACKED_PREFIX : "",
              directory->dialect->routes_key);
  dy_peers_reply (directory->peers, link, &message);
}

/* Takes the route table from another router's reply. */
static void
take_reply (DyDirectory *directory, const DyMessage *message)
{
  const char *text = message->u.config.text;
  const char *key = message->u.config.key;
  bool packed = g_str_has_prefix (key, PACKED_PREFIX);
  size_t n_text = message->u.config.n_text;
  char *value = packed ? dy_packed_text_decode (text, n_text, MAX_ROUTES_BYTES, &n_text)
                       : g_strndup (text, n_text);
  if (value)
    {
      DyObject object = { .key = packed ? key + strlen (PACKED_PREFIX) : key,
                          .version = message->u.config.version,
                          .value = value,
                          .n_value = n_text };
      apply_routes (directory, &object);
    }
  else
    dy_log (DY_EVENT_DECLARATION_REJECTED, "key=%s version=%" G_GUINT64_FORMAT, key,
            message->u.config.version);
  g_free (value);
}

static void
on_message (void *ctx, uint64_t link, const DyMessage *message)
{
  DyDirectory *directory = ctx;
  dy_object_watch_take (&directory->routes_watch, message);
  dy_object_watch_take (&directory->endpoints_watch, message);
  dy_evacuation_watch_take (&directory->evacuations, message);
  if (message->type == DY_MESSAGE_CONFIG_GET)
    reply_to_peer (directory, link, message);
  else if (message->type == DY_MESSAGE_CONFIG && message->u.config.text)
    take_reply (directory, message);
}

static void
on_heartbeat (void *ctx, uint64_t link, uint64_t version)
{
  DyDirectory *directory = ctx;
  int64_t now = now_us (directory);
  uint64_t own = directory->has_routes ? directory->routes.version : 0;
  if (version <= own)
    return;
  if (!directory->newer_us)
    directory->newer_us = now;
  if (now - MAX (directory->newer_us, directory->asked_us) < PEER_REQUEST_INTERVAL_US)
    return;
  DyMessage message = { .type = DY_MESSAGE_CONFIG_GET };
  message.u.config.version = own;
  g_strlcpy (message.u.config.key, PACKED_PREFIX, DY_KEY_SIZE);
  directory->asked_us = now;
  dy_peers_reply (directory->peers, link, &message);
}

static const DyPeersWatcher peers_watcher = { .message = on_message, .heartbeat = on_heartbeat };

static int
service_start (void *self, DyKernel *kernel)
{
  DyDirectory *directory = self;
  directory->kernel = kernel;
  directory->dialect = dy_kernel_find (kernel, DY_SERVICE_DIALECT);
  directory->platform = dy_kernel_find (kernel, DY_SERVICE_PLATFORM);
  directory->peers = dy_kernel_find (kernel, DY_SERVICE_PEERS);
  directory->endpoints = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  directory->held = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_held);
  dy_departures_init (&directory->departures);
  dy_notices_init (&directory->notices);
  dy_placement_init (&directory->placement, &dy_placement_policy, kernel->settings->data_centre,
                     (uint32_t) kernel->incarnation_id);
  dy_peers_watch (directory->peers, &peers_watcher, directory);
  ev_timer_init (&directory->expiry_timer, remove_expired, EXPIRY_CHECK_S, EXPIRY_CHECK_S);
  ev_set_priority (&directory->expiry_timer, DY_PRIORITY_TIMEOUT);
  directory->expiry_timer.data = directory;
  ev_timer_start (kernel->loop, &directory->expiry_timer);
  dy_even_load_start (directory);
  dy_directory_start_knowledge (directory);
  dy_spread_init (&directory->spread, kernel, directory->peers, &directory->clocks);
  const DyObjectWatchSpec routes = { .prefix = directory->dialect->routes_prefix,
                                     .batch_delay_ms = ROUTES_BATCH_DELAY_MS,
                                     .bound_ms = kernel->settings->routes_bound_ms,
                                     .watcher = &routes_watcher,
                                     .ctx = directory };
  const DyObjectWatchSpec endpoints = { .prefix = directory->dialect->endpoints_prefix,
                                        .batch_delay_ms = ENDPOINTS_BATCH_DELAY_MS,
                                        .bound_ms = kernel->settings->endpoints_bound_ms,
                                        .watcher = &endpoints_watcher,
                                        .ctx = directory };
  dy_object_watch_start (&directory->routes_watch, kernel, &directory->spread, &routes);
  dy_object_watch_start (&directory->endpoints_watch, kernel, &directory->spread, &endpoints);
  dy_evacuation_watch_start (&directory->evacuations, kernel, &directory->placement,
                             &directory->spread);
  return DY_OK;
}

static void
service_stop (void *self)
{
  DyDirectory *directory = self;
  ev_timer_stop (directory->kernel->loop, &directory->expiry_timer);
  dy_even_load_stop (directory);
  dy_object_watch_stop (&directory->routes_watch);
  dy_object_watch_stop (&directory->endpoints_watch);
  dy_evacuation_watch_stop (&directory->evacuations);
  dy_spread_finish (&directory->spread);
  dy_directory_finish_knowledge (directory);
  dy_placement_finish (&directory->placement);
  dy_route_table_finish (&directory->routes);
  g_hash_table_unref (directory->endpoints);
  g_hash_table_unref (directory->held);
  dy_departures_finish (&directory->departures);
  dy_notices_finish (&directory->notices);
  g_free (directory->routes_text);
  g_free (directory->routes_packed);
}

typedef struct
{
  const DyDirectory *directory;
  json_t *endpoints;
} Dump;

static void
dump_endpoint (
    void *ctx, const char *id, const char *service, uint32_t in_flight, bool breaker_open)
{
  const Dump *dump = ctx;
  const DyPlacementEndpoint *endpoint = dy_placement_find (&dump->directory->placement, id);
  uint32_t slowness = dy_placement_endpoint_slowness (endpoint, now_us (dump->directory));
  json_array_append_new (dump->endpoints,
                         json_pack ("{s:s, s:s, s:i, s:b, s:i}", "id", id, "service", service,
                                    "in_flight", (int) in_flight, "paused", breaker_open,
                                    "slowness_percent", (int) slowness));
}

static json_t *
service_dump (void *self)
{
  const DyDirectory *directory = self;
  json_t *endpoints = json_array ();
  Dump dump = { directory, endpoints };
  dy_placement_visit (&directory->placement, dump_endpoint, &dump, now_us (directory));
  return json_pack ("{s:b, s:I, s:I, s:b, s:I, s:I, s:I, s:o, s:o}", "has_routes",
                    directory->has_routes, "version", (json_int_t) directory->routes.version,
                    "revision", (json_int_t) directory->routes_revision, "store_failing",
                    directory->routes_watch.failing, "routes_age_ms",
                    (json_int_t) dy_directory_routes_age_ms (directory), "endpoints_age_ms",
                    (json_int_t) dy_directory_endpoints_age_ms (directory), "evacuations_age_ms",
                    (json_int_t) dy_directory_evacuations_age_ms (directory), "evacuated",
                    dy_evacuation_watch_dump (&directory->evacuations), "endpoints", endpoints);
}

void
dy_directory_add_service (DyKernel *kernel, DyDirectory *directory)
{
  DyService service = { .name = DY_SERVICE_DIRECTORY,
                        .self = directory,
                        .start = service_start,
                        .stop = service_stop,
                        .dump = service_dump };
  dy_kernel_add (kernel, &service);
}

void
dy_directory_watch (DyDirectory *directory, DyRoutesWatcher watcher, void *ctx)
{
  directory->watcher = watcher;
  directory->watcher_ctx = ctx;
  if (directory->has_routes)
    watcher (ctx, &directory->routes);
}

void
dy_directory_watch_ends (DyDirectory *directory, DyEndpointEndWatcher watcher, void *ctx)
{
  directory->end_watcher = watcher;
  directory->end_watcher_ctx = ctx;
}

void
dy_directory_watch_records (DyDirectory *directory, DyEndpointRecordWatcher watcher, void *ctx)
{
  directory->record_watcher = watcher;
  directory->record_watcher_ctx = ctx;
}

void
dy_directory_watch_confirmations (DyDirectory *directory, void (*watcher) (void *ctx), void *ctx)
{
  directory->confirm_watcher = watcher;
  directory->confirm_watcher_ctx = ctx;
}

const char *
dy_directory_health_path (const DyDirectory *directory, const DyPlacementEndpoint *endpoint)
{
  const DyRouteService *service
      = dy_route_table_service (&directory->routes, dy_placement_endpoint_service (endpoint));
  if (dy_placement_endpoint_is_evacuated (endpoint))
    return NULL;
  return service ? service->health_path : NULL;
}

bool
dy_directory_ready (const DyDirectory *directory)
{
  return directory->has_routes && g_hash_table_size (directory->endpoints) > 0
         && dy_evacuation_watch_ready (&directory->evacuations);
}

int64_t
dy_directory_routes_age_ms (const DyDirectory *directory)
{
  return dy_object_watch_age_ms (&directory->routes_watch);
}

int64_t
dy_directory_endpoints_age_ms (const DyDirectory *directory)
{
  return dy_object_watch_age_ms (&directory->endpoints_watch);
}

int64_t
dy_directory_evacuations_age_ms (const DyDirectory *directory)
{
  return dy_evacuation_watch_age_ms (&directory->evacuations);
}

bool
dy_directory_may_lack_routes (const DyDirectory *directory)
{
  return directory->newer_us || directory->routes_watch.age.behind_us
         || dy_directory_routes_knowledge (directory) != DY_KNOWLEDGE_CURRENT;
}
