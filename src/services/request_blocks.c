#include "services/request_blocks.h"

#include "kernel/error.h"
#include "kernel/log.h"
#include "services/part_blocks.h"

#include <jansson.h>
#include <string.h>

#define CRASHES_PREFIX "requestcrashes/"
/* The kind is that of the blocked parts, so that one call reads both. */
#define BLOCKS_PREFIX "crashingparts/request-"
#define HASH_FORMAT "%016" G_GINT64_MODIFIER "x"

static const double TICK_S = 1.0;

enum
{
  /* A count below that of a block is written if it has not been cleared for this long. */
  WRITE_DELAY_US = 1000 * 1000,
  MAX_SENT_MS = 3600 * 1000, /* a longer time in a text is not believed */
};

static const char *const source_names[]
    = { [DY_CAUSE_OWN] = "own", [DY_CAUSE_PEER] = "peer", [DY_CAUSE_STORE] = "store" };

static int64_t
now_us (const DyRequestBlocks *blocks)
{
  return dy_kernel_now_us (blocks->kernel);
}

/* Sends what is counted of a request to the router NAME, or to all if it is NULL. */
static void
send_count (DyRequestBlocks *blocks, const char *name, const DyCrashCount *count)
{
  char *key = dy_block_records_key (&blocks->records, count->request);
  char *text = dy_block_records_encode (count->n_crashes, count->trials.n);
  dy_peers_send_object (blocks->peers, name, key, text);
  free (text);
  g_free (key);
}

static void
send_crash (
    DyRequestBlocks *blocks, uint64_t hash, const char *endpoint, int64_t sent_us, bool withdrawn)
{
  char *key = g_strdup_printf (CRASHES_PREFIX HASH_FORMAT, hash);
  json_t *root
      = json_pack ("{s:s, s:I, s:b}", "endpoint", endpoint, "sent_ms",
                   (json_int_t) ((now_us (blocks) - sent_us) / 1000), "withdrawn", withdrawn);
  char *text = json_dumps (root, JSON_COMPACT);
  dy_peers_send_object (blocks->peers, NULL, key, text);
  free (text);
  json_decref (root);
  g_free (key);
}

/* Sends the message that builds without these objects know. */
static void
send_message (DyRequestBlocks *blocks, uint64_t hash, bool cleared)
{
  DyMessage message = { .type = DY_MESSAGE_CRASH };
  message.u.crash.body_hash = hash;
  message.u.crash.cleared = cleared;
  dy_peers_broadcast (blocks->peers, &message);
}

static void
set_counter (const DyRequestBlocks *blocks)
{
  GHashTableIter iter;
  gpointer value;
  int64_t n = 0;
  g_hash_table_iter_init (&iter, blocks->counts.requests);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    n += ((const DyCrashCount *) value)->blocked;
  dy_counters_set (&blocks->kernel->counters, DY_COUNTER_BLOCKED_REQUESTS, n);
}

/* Updates the record, the counter and the log after a change of the count of HASH, which
 * WAS_BLOCKED before it. */
static void
take_count (DyRequestBlocks *blocks, uint64_t hash, bool was_blocked, DyCauseSource source)
{
  const DyCrashCount *count = dy_crash_counts_find (&blocks->counts, hash);
  if (count && count->n_crashes + 1 >= blocks->counts.policy.max_crashes)
    dy_block_records_put (&blocks->records, hash, count->n_crashes, count->trials.n,
                          source == DY_CAUSE_STORE, count->blocked ? 0 : WRITE_DELAY_US);
  else
    dy_block_records_remove (&blocks->records, hash);
  bool is_blocked = count && count->blocked;
  if (is_blocked && !was_blocked)
    dy_log (DY_EVENT_CRASHING_REQUEST_BLOCKED,
            "hash=" HASH_FORMAT " crashes=%u trials=%u source=%s", hash, count->n_crashes,
            count->trials.n, source_names[source]);
  else if (was_blocked && !is_blocked)
    dy_log (DY_EVENT_CRASHING_REQUEST_RELEASED, "hash=" HASH_FORMAT " source=%s", hash,
            source_names[source]);
  if (is_blocked != was_blocked)
    set_counter (blocks);
}

static bool
is_blocked (const DyRequestBlocks *blocks, uint64_t hash)
{
  const DyCrashCount *count = dy_crash_counts_find (&blocks->counts, hash);
  return count && count->blocked;
}

static bool
add_crash (DyRequestBlocks *blocks,
           uint64_t hash,
           const char *endpoint,
           int64_t sent_us,
           DyCauseSource source)
{
  bool was_blocked = is_blocked (blocks, hash);
  if (!dy_crash_counts_add (&blocks->counts, hash, endpoint, sent_us, now_us (blocks)))
    return false;
  take_count (blocks, hash, was_blocked, source);
  return true;
}

static bool
withdraw_crash (DyRequestBlocks *blocks, uint64_t hash, const char *endpoint, DyCauseSource source)
{
  bool was_blocked = is_blocked (blocks, hash);
  if (!dy_crash_counts_withdraw (&blocks->counts, hash, endpoint))
    return false;
  take_count (blocks, hash, was_blocked, source);
  return true;
}

static bool
clear (DyRequestBlocks *blocks, uint64_t hash, DyCauseSource source)
{
  bool was_blocked = is_blocked (blocks, hash);
  if (!dy_crash_counts_clear (&blocks->counts, hash))
    return false;
  take_count (blocks, hash, was_blocked, source);
  return true;
}

static void
adopt (DyRequestBlocks *blocks,
       uint64_t hash,
       uint32_t n_crashes,
       uint32_t n_trials,
       DyCauseSource source)
{
  bool was_blocked = is_blocked (blocks, hash);
  if (dy_crash_counts_adopt (&blocks->counts, hash, n_crashes, n_trials, source, now_us (blocks)))
    take_count (blocks, hash, was_blocked, source);
}

static void
on_record_read (void *ctx, uint64_t id, uint32_t n_crashes, uint32_t n_trials)
{
  adopt (ctx, id, n_crashes, n_trials, DY_CAUSE_STORE);
}

static void
on_trial (void *ctx, uint64_t id, uint32_t n_trials)
{
  DyRequestBlocks *blocks = ctx;
  DyTrials *trials = dy_crash_counts_trials (&blocks->counts, id);
  if (!trials)
    return;
  dy_trials_grant (trials, n_trials, now_us (blocks));
  send_count (blocks, NULL, dy_crash_counts_find (&blocks->counts, id));
}

static const DyBlockRecordsWatcher records_watcher = { .read = on_record_read, .trial = on_trial };

static void
take_crash (DyRequestBlocks *blocks, const char *name, const char *text)
{
  guint64 hash;
  json_t *root = json_loads (text, 0, NULL);
  const char *endpoint = json_string_value (json_object_get (root, "endpoint"));
  int64_t sent_ms = MIN (json_integer_value (json_object_get (root, "sent_ms")), MAX_SENT_MS);
  if (endpoint && g_ascii_string_to_unsigned (name, 16, 0, G_MAXUINT64, &hash, NULL))
    {
      if (json_is_true (json_object_get (root, "withdrawn")))
        withdraw_crash (blocks, hash, endpoint, DY_CAUSE_PEER);
      else
        add_crash (blocks, hash, endpoint, now_us (blocks) - MAX (sent_ms, 0) * 1000,
                   DY_CAUSE_PEER);
    }
  json_decref (root);
}

static void
take_object (DyRequestBlocks *blocks, const char *key, const char *text)
{
  uint64_t hash;
  uint32_t n_crashes;
  uint32_t n_trials;
  if (g_str_has_prefix (key, CRASHES_PREFIX) && text)
    take_crash (blocks, key + strlen (CRASHES_PREFIX), text);
  if (!dy_block_records_parse_key (&blocks->records, key, &hash))
    return;
  if (!text)
    {
      clear (blocks, hash, DY_CAUSE_PEER);
      return;
    }
  dy_block_records_decode (text, &n_crashes, &n_trials);
  adopt (blocks, hash, n_crashes, n_trials, DY_CAUSE_PEER);
}

static void
on_message (void *ctx, uint64_t link, const DyMessage *message)
{
  DyRequestBlocks *blocks = ctx;
  (void) link;
  if (message->type == DY_MESSAGE_CRASH && message->u.crash.cleared)
    clear (blocks, message->u.crash.body_hash, DY_CAUSE_PEER);
  else if (message->type == DY_MESSAGE_CRASH)
    add_crash (blocks, message->u.crash.body_hash, "", now_us (blocks), DY_CAUSE_PEER);
  if (message->type != DY_MESSAGE_CONFIG)
    return;
  char *text = message->u.config.text ? g_strndup (message->u.config.text, message->u.config.n_text)
                                      : NULL;
  take_object (blocks, message->u.config.key, text);
  g_free (text);
}

static void
on_peer_up (void *ctx, const char *name)
{
  DyRequestBlocks *blocks = ctx;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, blocks->counts.requests);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((const DyCrashCount *) value)->blocked)
      send_count (blocks, name, value);
}

static const DyPeersWatcher peers_watcher = { .message = on_message, .up = on_peer_up };

static void
on_removed (void *ctx, uint64_t hash)
{
  DyRequestBlocks *blocks = ctx;
  dy_block_records_remove (&blocks->records, hash);
}

static void
on_timer (struct ev_loop *loop, ev_timer *w, int events)
{
  DyRequestBlocks *blocks = w->data;
  (void) loop;
  (void) events;
  dy_crash_counts_tick (&blocks->counts, on_removed, blocks, now_us (blocks));
}

static int
service_start (void *self, DyKernel *kernel)
{
  DyRequestBlocks *blocks = self;
  DyPartBlocks *parts = dy_kernel_find (kernel, DY_SERVICE_PART_BLOCKS);
  blocks->kernel = kernel;
  blocks->peers = dy_kernel_find (kernel, DY_SERVICE_PEERS);
  dy_crash_counts_init (&blocks->counts, &dy_crash_counts_policy);
  dy_block_records_start (&blocks->records, kernel, BLOCKS_PREFIX, &parts->records,
                          &records_watcher, blocks);
  dy_peers_watch (blocks->peers, &peers_watcher, blocks);
  ev_timer_init (&blocks->timer, on_timer, TICK_S, TICK_S);
  blocks->timer.data = blocks;
  ev_timer_start (kernel->loop, &blocks->timer);
  return DY_OK;
}

static void
service_stop (void *self)
{
  DyRequestBlocks *blocks = self;
  ev_timer_stop (blocks->kernel->loop, &blocks->timer);
  dy_block_records_stop (&blocks->records);
  dy_crash_counts_finish (&blocks->counts);
}

static json_t *
service_dump (void *self)
{
  const DyRequestBlocks *blocks = self;
  GHashTableIter iter;
  gpointer value;
  json_t *requests = json_array ();
  g_hash_table_iter_init (&iter, blocks->counts.requests);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const DyCrashCount *count = value;
      char *hash = g_strdup_printf (HASH_FORMAT, count->request);
      if (count->blocked)
        json_array_append_new (
            requests,
            json_pack ("{s:s, s:i, s:i, s:s, s:I}", "hash", hash, "crashes", (int) count->n_crashes,
                       "trials", (int) count->trials.n, "source", source_names[count->source],
                       "age_ms", (json_int_t) ((now_us (blocks) - count->blocked_us) / 1000)));
      g_free (hash);
    }
  return json_pack ("{s:b, s:o}", "loaded", blocks->records.loaded, "blocked", requests);
}

void
dy_request_blocks_add_service (DyKernel *kernel, DyRequestBlocks *blocks)
{
  DyService service = { .name = DY_SERVICE_REQUEST_BLOCKS,
                        .self = blocks,
                        .start = service_start,
                        .stop = service_stop,
                        .dump = service_dump };
  dy_kernel_add (kernel, &service);
}

bool
dy_request_blocks_loaded (const DyRequestBlocks *blocks)
{
  return blocks->records.loaded;
}

void
dy_request_blocks_report_crash (DyRequestBlocks *blocks,
                                uint64_t hash,
                                const char *endpoint,
                                int64_t sent_us)
{
  if (!add_crash (blocks, hash, endpoint, sent_us, DY_CAUSE_OWN))
    return;
  send_crash (blocks, hash, endpoint, sent_us, false);
  send_message (blocks, hash, false);
}

void
dy_request_blocks_withdraw (DyRequestBlocks *blocks, uint64_t hash, const char *endpoint)
{
  if (withdraw_crash (blocks, hash, endpoint, DY_CAUSE_OWN))
    send_crash (blocks, hash, endpoint, now_us (blocks), true);
}

void
dy_request_blocks_report_success (DyRequestBlocks *blocks, uint64_t hash)
{
  if (!clear (blocks, hash, DY_CAUSE_OWN))
    return;
  char *key = dy_block_records_key (&blocks->records, hash);
  dy_peers_send_object (blocks->peers, NULL, key, NULL);
  g_free (key);
  send_message (blocks, hash, true);
}

bool
dy_request_blocks_refuse (DyRequestBlocks *blocks,
                          const char *request_id,
                          uint64_t hash,
                          bool may_try)
{
  const DyCrashCount *count = dy_crash_counts_refuse (&blocks->counts, hash, now_us (blocks));
  if (!count)
    return false;
  DyTrials *trials = dy_crash_counts_trials (&blocks->counts, hash);
  bool tried = may_try && dy_trials_take (trials);
  if (!tried && may_try && dy_trials_is_due (trials, now_us (blocks)))
    dy_block_records_ask_trial (&blocks->records, hash);
  dy_log (tried ? DY_EVENT_CRASHING_REQUEST_TRIED : DY_EVENT_CRASHING_REQUEST_REFUSED,
          "request=%s hash=" HASH_FORMAT " crashes=%u trials=%u source=%s age_ms=%" G_GINT64_FORMAT,
          request_id, hash, count->n_crashes, count->trials.n, source_names[count->source],
          (now_us (blocks) - count->blocked_us) / 1000);
  return !tried;
}
