#include "services/part_blocks.h"

#include "kernel/error.h"
#include "kernel/log.h"

#include <jansson.h>
#include <string.h>

#define CRASHES_PREFIX "crashes/"
#define PARTS_PREFIX "crashingparts/"
#define ID_FORMAT "%" G_GINT64_MODIFIER "x"

static const double TICK_S = 0.1;

static const char *const source_names[]
    = { [DY_CAUSE_OWN] = "own", [DY_CAUSE_PEER] = "peer", [DY_CAUSE_STORE] = "store" };

static int64_t
now_us (const DyPartBlocks *blocks)
{
  return dy_kernel_now_us (blocks->kernel);
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

/* Reports a blocked part to the router NAME, or to all if it is NULL. */
static void
send_block (DyPartBlocks *blocks, const char *name, const DyBlockedPart *part)
{
  char *key = dy_block_records_key (&blocks->records, part->id);
  char *text = dy_block_records_encode (part->n_crashes, part->trials.n);
  dy_peers_send_object (blocks->peers, name, key, text);
  free (text);
  g_free (key);
}

/* Reports to all routers that the part ID is neither blocked nor a possible cause. */
static void
broadcast_removal (DyPartBlocks *blocks, uint64_t id)
{
  char *key = dy_block_records_key (&blocks->records, id);
  dy_peers_send_object (blocks->peers, NULL, key, NULL);
  g_free (key);
}

/* Handles that the part ID is now blocked. */
static void
take_block (DyPartBlocks *blocks, uint64_t id, uint32_t n_crashes, DyCauseSource source)
{
  dy_block_records_put (&blocks->records, id, n_crashes, 0, source == DY_CAUSE_STORE, 0);
  count_blocked (blocks);
  dy_log (DY_EVENT_PART_BLOCKED, "part=" ID_FORMAT " crashes=%u source=%s", id, n_crashes,
          source_names[source]);
}

/* Takes that N_TRIALS trials of the part ID were recorded. */
static void
take_trials (DyPartBlocks *blocks, uint64_t id, uint32_t n_trials, bool in_store)
{
  DyTrials *trials = dy_crash_cause_trials (&blocks->cause, id);
  if (!trials || !dy_trials_record (trials, n_trials, now_us (blocks)))
    return;
  const DyBlockedPart *part = dy_crash_cause_find (&blocks->cause, &id, 1);
  dy_block_records_put (&blocks->records, id, part->n_crashes, n_trials, in_store, 0);
}

/* Blocks the part ID as another router or the store says, unless it is blocked already. */
static void
adopt_block (
    DyPartBlocks *blocks, uint64_t id, uint32_t n_crashes, uint32_t n_trials, DyCauseSource source)
{
  if (dy_crash_cause_block (&blocks->cause, id, n_crashes, source, now_us (blocks)))
    take_block (blocks, id, n_crashes, source);
  take_trials (blocks, id, n_trials, source == DY_CAUSE_STORE);
}

/* Handles that the part ID is no longer blocked. */
static void
take_release (DyPartBlocks *blocks, uint64_t id, const char *reason)
{
  dy_block_records_remove (&blocks->records, id);
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

static void
on_record_read (void *ctx, uint64_t id, uint32_t n_crashes, uint32_t n_trials)
{
  adopt_block (ctx, id, n_crashes, n_trials, DY_CAUSE_STORE);
}

static void
on_trial (void *ctx, uint64_t id, uint32_t n_trials)
{
  DyPartBlocks *blocks = ctx;
  DyTrials *trials = dy_crash_cause_trials (&blocks->cause, id);
  if (!trials)
    return;
  dy_trials_grant (trials, n_trials, now_us (blocks));
  send_block (blocks, NULL, dy_crash_cause_find (&blocks->cause, &id, 1));
}

static const DyBlockRecordsWatcher records_watcher = { .read = on_record_read, .trial = on_trial };

static void
on_timer (struct ev_loop *loop, ev_timer *w, int events)
{
  DyPartBlocks *blocks = w->data;
  (void) loop;
  (void) events;
  if (blocks->records.loaded)
    dy_crash_cause_tick (&blocks->cause, now_us (blocks));
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
take_part (DyPartBlocks *blocks, uint64_t id, const char *text)
{
  bool was_blocked;
  if (text)
    {
      uint32_t n_crashes;
      uint32_t n_trials;
      dy_block_records_decode (text, &n_crashes, &n_trials);
      adopt_block (blocks, id, n_crashes, n_trials, DY_CAUSE_PEER);
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
  uint64_t id;
  (void) link;
  if (message->type != DY_MESSAGE_CONFIG)
    return;
  char *text = message->u.config.text ? g_strndup (message->u.config.text, message->u.config.n_text)
                                      : NULL;
  if (g_str_has_prefix (key, CRASHES_PREFIX) && text)
    take_crash (blocks, key + strlen (CRASHES_PREFIX), text);
  else if (dy_block_records_parse_key (&blocks->records, key, &id))
    take_part (blocks, id, text);
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

static const DyPeersWatcher peers_watcher = { .message = on_message, .up = on_peer_up };

static int
service_start (void *self, DyKernel *kernel)
{
  DyPartBlocks *blocks = self;
  blocks->kernel = kernel;
  blocks->peers = dy_kernel_find (kernel, DY_SERVICE_PEERS);
  dy_crash_cause_init (&blocks->cause, &dy_crash_cause_policy, &cause_watcher, blocks);
  dy_peers_watch (blocks->peers, &peers_watcher, blocks);
  dy_block_records_start (&blocks->records, kernel, PARTS_PREFIX, NULL, &records_watcher, blocks);
  ev_timer_init (&blocks->timer, on_timer, TICK_S, TICK_S);
  blocks->timer.data = blocks;
  ev_timer_start (kernel->loop, &blocks->timer);
  return DY_OK;
}

static void
service_stop (void *self)
{
  DyPartBlocks *blocks = self;
  ev_timer_stop (blocks->kernel->loop, &blocks->timer);
  dy_block_records_stop (&blocks->records);
  dy_crash_cause_finish (&blocks->cause);
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
          parts,
          json_pack ("{s:s, s:i, s:i, s:s, s:I}", "part", id, "crashes", (int) part->n_crashes,
                     "trials", (int) part->trials.n, "source", source_names[part->source], "age_ms",
                     (json_int_t) ((now_us (blocks) - part->blocked_us) / 1000)));
      g_free (id);
    }
  return json_pack ("{s:b, s:o}", "loaded", blocks->records.loaded, "blocked", parts);
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
  return blocks->records.loaded;
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
  DyTrials *trials = dy_crash_cause_trials (&blocks->cause, part->id);
  bool tried = may_try && dy_trials_take (trials);
  if (!tried && may_try && dy_trials_is_due (trials, now_us (blocks)))
    dy_block_records_ask_trial (&blocks->records, part->id);
  dy_log (tried ? DY_EVENT_REQUEST_TRIED : DY_EVENT_REQUEST_BLOCKED,
          "request=%s part=" ID_FORMAT " crashes=%u trials=%u source=%s age_ms=%" G_GINT64_FORMAT,
          request_id, part->id, part->n_crashes, part->trials.n, source_names[part->source],
          (now_us (blocks) - part->blocked_us) / 1000);
  return !tried;
}
