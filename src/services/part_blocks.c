#include "services/part_blocks.h"

#include "kernel/error.h"
#include "kernel/log.h"

#include <jansson.h>
#include <string.h>

#define CRASHES_PREFIX "crashes/"
#define PARTS_PREFIX "crashingparts/"
#define ID_FORMAT "%" G_GINT64_MODIFIER "x"

static const double TICK_S = 0.1;
static const double LOAD_RETRY_S = 0.2;

enum
{
  MAX_CRASHES_STATED = 1000000, /* a larger count in a text is not believed */
  STORE_RETRY_US = 500 * 1000,
};

/* The object of a part in the store. */
typedef struct
{
  DyPartBlocks *blocks;
  uint64_t id;
  uint32_t n_crashes;
  bool wanted; /* the part is blocked */
  bool synced; /* this router read or wrote the object after WANTED last changed */
  bool busy;   /* a call is in progress */
  int64_t next_try_us;
} Record;

static const char *const source_names[]
    = { [DY_CAUSE_OWN] = "own", [DY_CAUSE_PEER] = "peer", [DY_CAUSE_STORE] = "store" };

static int64_t
now_us (const DyPartBlocks *blocks)
{
  return dy_kernel_now_us (blocks->kernel);
}

static char *
part_key (uint64_t id)
{
  return g_strdup_printf (PARTS_PREFIX ID_FORMAT, id);
}

static bool
parse_id (const char *text, uint64_t *id)
{
  guint64 value;
  if (!text || !g_ascii_string_to_unsigned (text, 16, 0, G_MAXUINT64, &value, NULL))
    return false;
  *id = value;
  return true;
}

static void
count_blocked (const DyPartBlocks *blocks)
{
  dy_counters_set (&blocks->kernel->counters, DY_COUNTER_BLOCKED_PARTS,
                   g_hash_table_size (blocks->cause.blocked));
}

/* Records whether the store is to have the object of the part ID, and whether it is known to be so
 * (SYNCED). */
static void
set_wanted (DyPartBlocks *blocks, uint64_t id, bool wanted, uint32_t n_crashes, bool synced)
{
  Record *record = g_hash_table_lookup (blocks->records, &id);
  if (!record)
    {
      record = g_new0 (Record, 1);
      record->blocks = blocks;
      record->id = id;
      g_hash_table_insert (blocks->records, &record->id, record);
    }
  record->wanted = wanted;
  record->n_crashes = n_crashes;
  record->synced = synced;
}

/* Returns the value of the object of a blocked part, to be freed with free(). */
static char *
encode_block (uint32_t n_crashes)
{
  json_t *root = json_pack ("{s:i}", "crashes", (int) n_crashes);
  char *text = json_dumps (root, JSON_COMPACT);
  json_decref (root);
  return text;
}

/* Reports a blocked part to the router NAME, or to all if it is NULL. */
static void
send_block (DyPartBlocks *blocks, const char *name, const DyBlockedPart *part)
{
  char *key = part_key (part->id);
  char *text = encode_block (part->n_crashes);
  dy_peers_send_object (blocks->peers, name, key, text);
  free (text);
  g_free (key);
}

/* Reports to all routers that the part ID is neither blocked nor a possible cause. */
static void
broadcast_removal (DyPartBlocks *blocks, uint64_t id)
{
  char *key = part_key (id);
  dy_peers_send_object (blocks->peers, NULL, key, NULL);
  g_free (key);
}

/* Handles that the part ID is now blocked. */
static void
take_block (DyPartBlocks *blocks, uint64_t id, uint32_t n_crashes, DyCauseSource source)
{
  set_wanted (blocks, id, true, n_crashes, source == DY_CAUSE_STORE);
  count_blocked (blocks);
  dy_log (DY_EVENT_PART_BLOCKED, "part=" ID_FORMAT " crashes=%u source=%s", id, n_crashes,
          source_names[source]);
}

/* Blocks the part ID as another router or the store says. Does nothing if it is blocked already. */
static void
adopt_block (DyPartBlocks *blocks, uint64_t id, const char *text, DyCauseSource source)
{
  json_t *root = json_loads (text, 0, NULL);
  json_int_t n = json_integer_value (json_object_get (root, "crashes"));
  uint32_t n_crashes = (uint32_t) CLAMP (n, 0, MAX_CRASHES_STATED);
  json_decref (root);
  if (dy_crash_cause_block (&blocks->cause, id, n_crashes, source, now_us (blocks)))
    take_block (blocks, id, n_crashes, source);
}

/* Handles that the part ID is no longer blocked. */
static void
take_release (DyPartBlocks *blocks, uint64_t id, const char *reason)
{
  set_wanted (blocks, id, false, 0, false);
  count_blocked (blocks);
  dy_log (DY_EVENT_PART_RELEASED, "part=" ID_FORMAT " reason=%s", id, reason);
}

static void
on_blocked (void *ctx, const DyBlockedPart *part)
{
  DyPartBlocks *blocks = ctx;
  take_block (blocks, part->id, part->n_crashes, part->source);
  send_block (blocks, NULL, part);
}

static void
on_released (void *ctx, uint64_t id)
{
  take_release (ctx, id, "explained");
  broadcast_removal (ctx, id);
}

static const DyCrashCauseWatcher cause_watcher = { .blocked = on_blocked, .released = on_released };

/* Returns whether this router is the home of the part ID. */
static bool
is_home (const DyPartBlocks *blocks, uint64_t id)
{
  char *key = part_key (id);
  bool home = !dy_members_home (&blocks->peers->members, key, NULL, now_us (blocks));
  g_free (key);
  return home;
}

static void
on_written (void *ctx, const DyPlatformReply *reply)
{
  Record *record = ctx;
  record->busy = false;
  if (reply->error)
    record->next_try_us = now_us (record->blocks) + STORE_RETRY_US;
}

/* Writes or removes the object if it differs from what is wanted; the next call to read it then
 * finds that it does not. */
static void
on_read (void *ctx, const DyPlatformReply *reply)
{
  Record *record = ctx;
  DyPartBlocks *blocks = record->blocks;
  bool exists = reply->error == DY_OK;
  record->busy = false;
  if (!exists && reply->error != DY_NOT_FOUND)
    {
      record->next_try_us = now_us (blocks) + STORE_RETRY_US;
      return;
    }
  if (exists == record->wanted)
    {
      record->synced = true;
      return;
    }
  char *key = part_key (record->id);
  char *text = record->wanted ? encode_block (record->n_crashes) : NULL;
  record->busy = true;
  dy_platform_put (blocks->platform, key, text, exists ? reply->version : 0, on_written, record);
  free (text);
  g_free (key);
}

static void
sync_record (DyPartBlocks *blocks, Record *record)
{
  if (record->synced || record->busy || now_us (blocks) < record->next_try_us
      || !is_home (blocks, record->id))
    return;
  char *key = part_key (record->id);
  record->busy = true;
  dy_platform_get (blocks->platform, key, on_read, record);
  g_free (key);
}

static void
on_listed (void *ctx, const DyPlatformReply *reply)
{
  DyPartBlocks *blocks = ctx;
  uint64_t id;
  if (reply->error)
    {
      ev_timer_set (&blocks->timer, LOAD_RETRY_S, 0.0);
      ev_timer_start (blocks->kernel->loop, &blocks->timer);
      return;
    }
  for (uint32_t i = 0; i < reply->n_objects; i++)
    {
      const DyObject *object = &reply->objects[i];
      if (object->value && parse_id (object->key + strlen (PARTS_PREFIX), &id))
        adopt_block (blocks, id, object->value, DY_CAUSE_STORE);
    }
  blocks->loaded = true;
  ev_timer_set (&blocks->timer, TICK_S, TICK_S);
  ev_timer_start (blocks->kernel->loop, &blocks->timer);
}

static void
on_timer (struct ev_loop *loop, ev_timer *w, int events)
{
  DyPartBlocks *blocks = w->data;
  GHashTableIter iter;
  gpointer value;
  (void) loop;
  (void) events;
  if (!blocks->loaded)
    {
      dy_platform_list (blocks->platform, PARTS_PREFIX, 0, on_listed, blocks);
      return;
    }
  dy_crash_cause_tick (&blocks->cause, now_us (blocks));
  g_hash_table_iter_init (&iter, blocks->records);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    sync_record (blocks, value);
}

static void
take_crash (DyPartBlocks *blocks, const char *endpoint, const char *text)
{
  json_t *root = json_loads (text, 0, NULL);
  const json_t *item;
  size_t i;
  json_array_foreach (json_object_get (root, "parts"), i, item)
  {
    DyCausePart part = { .depth = (uint32_t) json_integer_value (json_object_get (item, "depth")) };
    if (parse_id (json_string_value (json_object_get (item, "id")), &part.id))
      dy_crash_cause_add (&blocks->cause, endpoint, &part, now_us (blocks));
  }
  json_decref (root);
}

static void
take_part (DyPartBlocks *blocks, const char *name, const char *text)
{
  uint64_t id;
  bool was_blocked;
  if (!parse_id (name, &id))
    return;
  if (text)
    {
      adopt_block (blocks, id, text, DY_CAUSE_PEER);
      return;
    }
  dy_crash_cause_clear (&blocks->cause, id, now_us (blocks), &was_blocked);
  if (was_blocked)
    take_release (blocks, id, "peer");
}

static void
on_message (void *ctx, uint64_t link, const DyMessage *message)
{
  DyPartBlocks *blocks = ctx;
  const char *key = message->u.config.key;
  (void) link;
  if (message->type != DY_MESSAGE_CONFIG)
    return;
  char *text = message->u.config.text ? g_strndup (message->u.config.text, message->u.config.n_text)
                                      : NULL;
  if (g_str_has_prefix (key, CRASHES_PREFIX) && text)
    take_crash (blocks, key + strlen (CRASHES_PREFIX), text);
  else if (g_str_has_prefix (key, PARTS_PREFIX))
    take_part (blocks, key + strlen (PARTS_PREFIX), text);
  g_free (text);
}

static void
on_peer_up (void *ctx, const char *name)
{
  DyPartBlocks *blocks = ctx;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, blocks->cause.blocked);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    send_block (blocks, name, value);
}

/* Reads the objects again that the store may have lost or may have again, and corrects them. */
static void
on_era (void *ctx, uint64_t era, bool restored)
{
  DyPartBlocks *blocks = ctx;
  GHashTableIter iter;
  gpointer value;
  (void) era;
  if (!restored)
    return;
  g_hash_table_iter_init (&iter, blocks->records);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((Record *) value)->synced = false;
}

static const DyPeersWatcher peers_watcher = { .message = on_message, .up = on_peer_up };

static int
service_start (void *self, DyKernel *kernel)
{
  DyPartBlocks *blocks = self;
  blocks->kernel = kernel;
  blocks->platform = dy_kernel_find (kernel, DY_SERVICE_PLATFORM);
  blocks->peers = dy_kernel_find (kernel, DY_SERVICE_PEERS);
  blocks->records = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  dy_crash_cause_init (&blocks->cause, &dy_crash_cause_policy, &cause_watcher, blocks);
  dy_peers_watch (blocks->peers, &peers_watcher, blocks);
  dy_platform_watch_era (blocks->platform, on_era, blocks);
  ev_timer_init (&blocks->timer, on_timer, 0.0, 0.0);
  blocks->timer.data = blocks;
  ev_timer_start (kernel->loop, &blocks->timer);
  return DY_OK;
}

static void
service_stop (void *self)
{
  DyPartBlocks *blocks = self;
  ev_timer_stop (blocks->kernel->loop, &blocks->timer);
  dy_crash_cause_finish (&blocks->cause);
  g_hash_table_unref (blocks->records);
}

static json_t *
service_dump (void *self)
{
  const DyPartBlocks *blocks = self;
  GHashTableIter iter;
  gpointer value;
  json_t *parts = json_array ();
  g_hash_table_iter_init (&iter, blocks->cause.blocked);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const DyBlockedPart *part = value;
      char *id = g_strdup_printf (ID_FORMAT, part->id);
      json_array_append_new (
          parts, json_pack ("{s:s, s:i, s:s, s:I}", "part", id, "crashes", (int) part->n_crashes,
                            "source", source_names[part->source], "age_ms",
                            (json_int_t) ((now_us (blocks) - part->blocked_us) / 1000)));
      g_free (id);
    }
  return json_pack ("{s:b, s:o}", "loaded", blocks->loaded, "blocked", parts);
}

void
dy_part_blocks_add_service (DyKernel *kernel, DyPartBlocks *blocks)
{
  DyService service = { .name = DY_SERVICE_PART_BLOCKS,
                        .self = blocks,
                        .start = service_start,
                        .stop = service_stop,
                        .dump = service_dump };
  dy_kernel_add (kernel, &service);
}

bool
dy_part_blocks_loaded (const DyPartBlocks *blocks)
{
  return blocks->loaded;
}

void
dy_part_blocks_report_crash (DyPartBlocks *blocks,
                             const char *endpoint,
                             const uint64_t *ids,
                             uint32_t n)
{
  json_t *parts = json_array ();
  for (uint32_t i = 0; i < n; i++)
    {
      DyCausePart part = { .id = ids[i], .depth = i };
      if (!dy_crash_cause_add (&blocks->cause, endpoint, &part, now_us (blocks)))
        continue;
      char *id = g_strdup_printf (ID_FORMAT, part.id);
      json_array_append_new (parts, json_pack ("{s:s, s:i}", "id", id, "depth", (int) i));
      g_free (id);
    }
  if (json_array_size (parts) > 0)
    {
      json_t *root = json_pack ("{s:O}", "parts", parts);
      char *text = json_dumps (root, JSON_COMPACT);
      char *key = g_strconcat (CRASHES_PREFIX, endpoint, NULL);
      dy_peers_send_object (blocks->peers, NULL, key, text);
      g_free (key);
      free (text);
      json_decref (root);
    }
  json_decref (parts);
}

void
dy_part_blocks_report_output (DyPartBlocks *blocks, const uint64_t *ids, uint32_t n)
{
  bool was_blocked;
  if (n == 0)
    return;
  dy_crash_cause_record_output (&blocks->cause);
  for (uint32_t i = 0; i < n; i++)
    {
      if (!dy_crash_cause_clear (&blocks->cause, ids[i], now_us (blocks), &was_blocked))
        continue;
      if (was_blocked)
        take_release (blocks, ids[i], "output");
      broadcast_removal (blocks, ids[i]);
    }
}

bool
dy_part_blocks_refuse (
    DyPartBlocks *blocks, const char *request_id, const uint64_t *ids, uint32_t n, bool may_try)
{
  const DyBlockedPart *part = dy_crash_cause_find (&blocks->cause, ids, n);
  if (!part)
    return false;
  bool tried = may_try && now_us (blocks) >= part->trial_us && is_home (blocks, part->id)
               && dy_crash_cause_try (&blocks->cause, part->id, now_us (blocks));
  dy_log (tried ? DY_EVENT_REQUEST_TRIED : DY_EVENT_REQUEST_BLOCKED,
          "request=%s part=" ID_FORMAT " crashes=%u source=%s age_ms=%" G_GINT64_FORMAT, request_id,
          part->id, part->n_crashes, source_names[part->source],
          (now_us (blocks) - part->blocked_us) / 1000);
  return !tried;
}
