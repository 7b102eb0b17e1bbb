#include "services/block_records.h"

#include "kernel/error.h"

#include <jansson.h>
#include <string.h>

#define ID_FORMAT "%" G_GINT64_MODIFIER "x"

static const double TICK_S = 0.1;
static const double LOAD_RETRY_S = 0.2;

enum
{
  MAX_STATED = 1000000, /* a larger number in a text is not believed */
  STORE_RETRY_US = 500 * 1000,
  /* Time after which the removal of an object is forgotten: older than the copies from which the
   * store may be restored. */
  KEEP_REMOVED_US = 60 * 1000 * 1000,
};

typedef struct
{
  DyBlockRecords *records;
  uint64_t id;
  uint32_t n_crashes;
  uint32_t n_trials;
  bool wanted;            /* the object is to exist */
  bool synced;            /* it was read or written after the fields above last changed */
  bool asks_trial;        /* the next trial is to be recorded */
  uint32_t written_trial; /* by the write in progress; 0: none */
  bool busy;              /* a call is in progress */
  int64_t next_try_us;
  int64_t removed_us; /* since when it is not to exist */
} Record;

static int64_t
now_us (const DyBlockRecords *records)
{
  return dy_kernel_now_us (records->kernel);
}

char *
dy_block_records_key (const DyBlockRecords *records, uint64_t id)
{
  return g_strdup_printf ("%s" ID_FORMAT, records->prefix, id);
}

bool
dy_block_records_parse_key (const DyBlockRecords *records, const char *key, uint64_t *id)
{
  guint64 value;
  if (!g_str_has_prefix (key, records->prefix)
      || !g_ascii_string_to_unsigned (key + strlen (records->prefix), 16, 0, G_MAXUINT64, &value,
                                      NULL))
    return false;
  *id = value;
  return true;
}

char *
dy_block_records_encode (uint32_t n_crashes, uint32_t n_trials)
{
  json_t *root = json_pack ("{s:i, s:i}", "crashes", (int) n_crashes, "trials", (int) n_trials);
  char *text = json_dumps (root, JSON_COMPACT);
  json_decref (root);
  return text;
}

static uint32_t
read_number (const json_t *root, const char *name)
{
  return (uint32_t) CLAMP (json_integer_value (json_object_get (root, name)), 0, MAX_STATED);
}

void
dy_block_records_decode (const char *text, uint32_t *n_crashes, uint32_t *n_trials)
{
  json_t *root = json_loads (text, 0, NULL);
  *n_crashes = read_number (root, "crashes");
  *n_trials = read_number (root, "trials");
  json_decref (root);
}

static Record *
get_record (DyBlockRecords *records, uint64_t id)
{
  Record *record = g_hash_table_lookup (records->records, &id);
  if (record)
    return record;
  record = g_new0 (Record, 1);
  record->records = records;
  record->id = id;
  g_hash_table_insert (records->records, &record->id, record);
  return record;
}

void
dy_block_records_put (DyBlockRecords *records,
                      uint64_t id,
                      uint32_t n_crashes,
                      uint32_t n_trials,
                      bool in_store,
                      int64_t delay_us)
{
  Record *record = get_record (records, id);
  if (!record->wanted)
    record->next_try_us = now_us (records) + delay_us;
  else if (delay_us == 0)
    record->next_try_us = MIN (record->next_try_us, now_us (records));
  record->wanted = true;
  record->n_crashes = n_crashes;
  record->n_trials = MAX (record->n_trials, n_trials);
  record->synced = in_store;
}

void
dy_block_records_remove (DyBlockRecords *records, uint64_t id)
{
  Record *record = g_hash_table_lookup (records->records, &id);
  if (!record || !record->wanted)
    return;
  record->wanted = false;
  record->removed_us = now_us (records);
  record->synced = false;
  record->asks_trial = false;
  record->n_trials = 0;
}

/* Returns whether this router is the home of the key of ID. */
static bool
is_home (const DyBlockRecords *records, uint64_t id)
{
  char *key = dy_block_records_key (records, id);
  bool home = !dy_members_home (&records->peers->members, key, NULL, now_us (records));
  g_free (key);
  return home;
}

void
dy_block_records_ask_trial (DyBlockRecords *records, uint64_t id)
{
  Record *record = g_hash_table_lookup (records->records, &id);
  if (record && record->wanted && !record->asks_trial && is_home (records, id))
    record->asks_trial = true;
}

static void
on_written (void *ctx, const DyPlatformReply *reply)
{
  Record *record = ctx;
  DyBlockRecords *records = record->records;
  uint32_t n_trials = record->written_trial;
  record->busy = false;
  record->written_trial = 0;
  if (reply->error)
    {
      record->next_try_us = now_us (records) + STORE_RETRY_US;
      return;
    }
  if (n_trials == 0 || !record->wanted)
    return;
  record->n_trials = n_trials;
  record->asks_trial = false;
  records->watcher->trial (records->ctx, record->id, n_trials);
}

static void
write_record (Record *record, uint64_t version)
{
  DyBlockRecords *records = record->records;
  char *key = dy_block_records_key (records, record->id);
  record->written_trial = record->wanted && record->asks_trial ? record->n_trials + 1 : 0;
  char *text = record->wanted ? dy_block_records_encode (
                   record->n_crashes, MAX (record->n_trials, record->written_trial))
                              : NULL;
  record->busy = true;
  dy_platform_put (records->platform, key, text, version, on_written, record);
  free (text);
  g_free (key);
}

/* Takes the numbers of the object that the store has. Returns whether it has all that is wanted. */
static bool
take_stored (Record *record, const char *text)
{
  DyBlockRecords *records = record->records;
  uint32_t n_crashes;
  uint32_t n_trials;
  dy_block_records_decode (text, &n_crashes, &n_trials);
  bool complete = n_crashes >= record->n_crashes && n_trials >= record->n_trials;
  if (n_trials > record->n_trials)
    {
      /* Another router has made the trial that this one asks for. */
      record->n_trials = n_trials;
      record->asks_trial = false;
      records->watcher->read (records->ctx, record->id, n_crashes, n_trials);
    }
  return complete && !record->asks_trial;
}

/* Writes or removes the object if it differs from what is wanted; the next call to read it then
 * finds that it does not. */
static void
on_read (void *ctx, const DyPlatformReply *reply)
{
  Record *record = ctx;
  bool exists = reply->error == DY_OK;
  record->busy = false;
  if (!exists && reply->error != DY_NOT_FOUND)
    {
      record->next_try_us = now_us (record->records) + STORE_RETRY_US;
      return;
    }
  bool is_right
      = exists && record->wanted ? take_stored (record, reply->value) : exists == record->wanted;
  if (is_right)
    record->synced = true;
  else
    write_record (record, exists ? reply->version : 0);
}

static void
sync_record (DyBlockRecords *records, Record *record)
{
  if ((record->synced && !record->asks_trial) || record->busy
      || now_us (records) < record->next_try_us || !is_home (records, record->id))
    return;
  char *key = dy_block_records_key (records, record->id);
  record->busy = true;
  dy_platform_get (records->platform, key, on_read, record);
  g_free (key);
}

static gboolean
is_forgotten (gpointer key, gpointer value, gpointer ctx)
{
  const Record *record = value;
  (void) key;
  return !record->wanted && !record->busy && now_us (ctx) - record->removed_us >= KEEP_REMOVED_US;
}

/* Takes the objects in REPLY, a list, that are of RECORDS. */
static void
take_list (DyBlockRecords *records, const DyPlatformReply *reply)
{
  uint64_t id;
  uint32_t n_crashes;
  uint32_t n_trials;
  for (uint32_t i = 0; i < reply->n_objects; i++)
    {
      const DyObject *object = &reply->objects[i];
      if (!object->value || !dy_block_records_parse_key (records, object->key, &id))
        continue;
      dy_block_records_decode (object->value, &n_crashes, &n_trials);
      dy_block_records_put (records, id, n_crashes, n_trials, true, 0);
      records->watcher->read (records->ctx, id, n_crashes, n_trials);
    }
  records->loaded = true;
  ev_timer_set (&records->timer, TICK_S, TICK_S);
  ev_timer_start (records->kernel->loop, &records->timer);
}

static void
on_listed (void *ctx, const DyPlatformReply *reply)
{
  DyBlockRecords *records = ctx;
  if (reply->error)
    {
      ev_timer_set (&records->timer, LOAD_RETRY_S, 0.0);
      ev_timer_start (records->kernel->loop, &records->timer);
      return;
    }
  take_list (records, reply);
  if (records->listed_with)
    take_list (records->listed_with, reply);
}

static void
on_timer (struct ev_loop *loop, ev_timer *w, int events)
{
  DyBlockRecords *records = w->data;
  GHashTableIter iter;
  gpointer value;
  (void) loop;
  (void) events;
  if (!records->loaded)
    {
      dy_platform_list (records->platform, records->prefix, 0, on_listed, records);
      return;
    }
  g_hash_table_foreach_remove (records->records, is_forgotten, records);
  g_hash_table_iter_init (&iter, records->records);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    sync_record (records, value);
}

/* Reads the objects again that the store may have lost or may have again, and corrects them. */
static void
on_era (void *ctx, uint64_t era, bool restored)
{
  DyBlockRecords *records = ctx;
  GHashTableIter iter;
  gpointer value;
  (void) era;
  if (!restored)
    return;
  g_hash_table_iter_init (&iter, records->records);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((Record *) value)->synced = false;
}

void
dy_block_records_start (DyBlockRecords *records,
                        DyKernel *kernel,
                        const char *prefix,
                        DyBlockRecords *lister,
                        const DyBlockRecordsWatcher *watcher,
                        void *ctx)
{
  records->kernel = kernel;
  records->platform = dy_kernel_find (kernel, DY_SERVICE_PLATFORM);
  records->peers = dy_kernel_find (kernel, DY_SERVICE_PEERS);
  records->prefix = prefix;
  records->watcher = watcher;
  records->ctx = ctx;
  records->records = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  dy_platform_watch_era (records->platform, on_era, records);
  ev_timer_init (&records->timer, on_timer, 0.0, 0.0);
  records->timer.data = records;
  if (lister)
    lister->listed_with = records;
  else
    ev_timer_start (kernel->loop, &records->timer);
}

void
dy_block_records_stop (DyBlockRecords *records)
{
  ev_timer_stop (records->kernel->loop, &records->timer);
  g_hash_table_unref (records->records);
}
