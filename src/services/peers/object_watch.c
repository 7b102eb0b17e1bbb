#include "services/peers/object_watch.h"

#include "core/store_version.h"
#include "kernel/error.h"
#include "kernel/log.h"
#include "services/peers/object_changes.h"
#include "services/peers/packed_text.h"
#include "services/peers/wire.h"

#include <jansson.h>
#include <string.h>

#define AGE_PREFIX "watch-ages/"

enum
{
  MAX_SPREAD_BYTES = DY_MAX_FRAME_BYTES - 8 * 1024, /* the rest is for the other fields */
  MAX_CHANGES_BYTES = 4 * 1024 * 1024,              /* before they are packed */
  RETRY_MS = 200, /* between calls while the store is unreachable */
  /* A record that disappears soon after an outage may have expired during the outage, unless that
   * was shorter than a record's lifetime without renewals. */
  MIN_OUTAGE_US = 2000 * 1000,
  US_PER_MS = 1000,
};

static const double CHECK_INTERVAL_S = 0.1;

static int64_t
now_us (const DyObjectWatch *watch)
{
  return dy_kernel_now_us (watch->kernel);
}

static void request_changes (DyObjectWatch *watch);

/* Returns the number of routers that are to call the store before this one. */
static uint32_t
rank_of (const DyObjectWatch *watch)
{
  const DyMembers *members = &watch->peers->members;
  if (!dy_peers_members_known (watch->peers))
    return UINT32_MAX;
  return members->self_has_platform
             ? dy_members_platform_rank (members, watch->prefix, now_us (watch))
             : dy_members_rank (members, watch->prefix, now_us (watch));
}

static bool
is_watcher (const DyObjectWatch *watch)
{
  return rank_of (watch) == 0;
}

static void
schedule_request (DyObjectWatch *watch, int64_t delay_ms)
{
  ev_timer_set (&watch->retry, (double) delay_ms / 1e3, 0.0);
  ev_timer_start (watch->kernel->loop, &watch->retry);
}

/* Sends another call in place of the current one, whose answer no longer counts. */
static void
replace_call (DyObjectWatch *watch, const char *reason)
{
  if (!watch->current)
    return;
  dy_log (DY_EVENT_WATCH_REPLACED, "prefix=%s reason=%s ms=%" G_GINT64_FORMAT, watch->prefix,
          reason, (dy_kernel_boot_us () - watch->current->sent_us) / US_PER_MS);
  dy_counters_add (&watch->kernel->counters, DY_COUNTER_WATCHES_REPLACED, 1);
  request_changes (watch);
}

/* Returns the version at or after that of the latest change in REPLY, a list if LISTS; 0: it has
 * none. The version of a removal is not known, so the whole reply's stands for it. */
static uint64_t
latest_change (const DyObjectWatch *watch, const DyPlatformReply *reply, bool lists)
{
  uint64_t version = 0;
  for (uint32_t i = 0; i < reply->n_objects; i++)
    version = MAX (version, reply->objects[i].value ? reply->objects[i].version : reply->version);
  return lists ? dy_watch_age_list_change (&watch->age, reply->version, version,
                                           reply->n_objects == g_hash_table_size (watch->keys))
               : version;
}

static void
record_success (DyObjectWatch *watch)
{
  int64_t now = now_us (watch);
  if (watch->failing && now - watch->replied_us >= MIN_OUTAGE_US)
    watch->recovered_us = now;
  watch->failing = false;
  watch->replied_us = now;
}

/* Another router has reached the store, which has no change after VERSION. */
static void
record_success_of_peer (DyObjectWatch *watch, uint64_t version)
{
  if (watch->age.version
      && dy_store_version_era (version) == dy_store_version_era (watch->age.version))
    record_success (watch);
}

static void
apply_object (DyObjectWatch *watch, const DyObject *object)
{
  if (object->value)
    g_hash_table_add (watch->keys, g_strdup (object->key));
  else
    g_hash_table_remove (watch->keys, object->key);
  watch->watcher->apply (watch->ctx, object);
}

static void
apply_reply (DyObjectWatch *watch, const DyPlatformReply *reply, bool lists)
{
  watch->listing = lists;
  if (lists && watch->watcher->list_begun)
    watch->watcher->list_begun (watch->ctx);
  if (lists)
    g_hash_table_remove_all (watch->keys);
  for (uint32_t i = 0; i < reply->n_objects; i++)
    apply_object (watch, &reply->objects[i]);
  if (lists && watch->watcher->list_ended)
    watch->watcher->list_ended (watch->ctx, reply);
  watch->listing = false;
  if (watch->watcher->updated)
    watch->watcher->updated (watch->ctx, reply->version);
}

/* Adds CHANGES to ROOT, packed if they are long. Returns false, and adds nothing, if they are too
 * long even so. Takes the reference of CHANGES. */
static bool
add_changes (json_t *root, json_t *changes)
{
  char *text = json_dumps (changes, JSON_COMPACT);
  size_t n = strlen (text);
  char *packed = n > DY_PACKED_TEXT_MIN_BYTES ? dy_packed_text_encode (text, n) : NULL;
  bool fits = !packed || strlen (packed) <= MAX_SPREAD_BYTES;
  if (!packed)
    json_object_set (root, "changes", changes);
  else if (fits)
    json_object_set_new (root, "packed", json_string (packed));
  g_free (packed);
  free (text);
  json_decref (changes);
  return fits;
}

/* Returns the changes in ROOT as a new reference, or NULL if it has none. */
static json_t *
read_changes (const json_t *root)
{
  const char *packed = json_string_value (json_object_get (root, "packed"));
  size_t n_text = 0;
  if (!packed)
    return json_incref (json_object_get (root, "changes"));
  char *text = dy_packed_text_decode (packed, strlen (packed), MAX_CHANGES_BYTES, &n_text);
  json_t *changes = text ? json_loadb (text, n_text, 0, NULL) : NULL;
  g_free (text);
  return changes ? changes : json_null ();
}

/* Returns the changes in REPLY, the answer to CALL that is about to be applied, for other routers;
 * NULL if there are none, or too many. */
static json_t *
changes_for_others (const DyObjectWatch *watch,
                    DyObjectWatchCall *call,
                    const DyPlatformReply *reply)
{
  if (!call->lists)
    return dy_object_changes_encode (reply->objects, reply->n_objects, MAX_CHANGES_BYTES);
  /* A list is compared with what is known now, which may be more than when it was asked for. */
  call->base = watch->age.version;
  call->changed = watch->age.changed_version;
  return call->base && dy_store_version_era (call->base) == dy_store_version_era (reply->version)
             ? dy_object_changes_of_list (watch->keys, call->base, reply, MAX_CHANGES_BYTES)
             : NULL;
}

/* Tells all routers up to which change this one has confirmed what it knows, and how long ago.
 * CHANGES of CALL's answer up to VERSION, of which it takes the reference, are passed on; may be
 * NULL. */
static void
spread_age (DyObjectWatch *watch, const DyObjectWatchCall *call, json_t *changes, uint64_t version)
{
  int64_t age_ms = (dy_kernel_boot_us () - watch->age.confirmed_us) / US_PER_MS;
  json_t *root = json_pack (
      "{s:I, s:I, s:I, s:b}", "changed", (json_int_t) watch->age.changed_version, "at",
      (json_int_t) watch->age.version, "age_ms", (json_int_t) age_ms, "by_list", call->lists);
  if (changes && add_changes (root, changes))
    {
      json_object_set_new (root, "base", json_integer ((json_int_t) call->base));
      json_object_set_new (root, "base_changed", json_integer ((json_int_t) call->changed));
      json_object_set_new (root, "version", json_integer ((json_int_t) version));
    }
  char *key = g_strconcat (AGE_PREFIX, watch->prefix, NULL);
  dy_spread_send (watch->spread, key, root);
  g_free (key);
  json_decref (root);
}

/* Sets what CALL asks for, by what is known now. */
static void
begin_call (const DyObjectWatch *watch, DyObjectWatchCall *call, bool lists)
{
  call->busy = true;
  call->lists = lists;
  call->base = lists ? 0 : watch->age.version;
  call->changed = watch->age.changed_version;
  call->told = watch->age.behind_us != 0;
  call->sent_us = dy_kernel_boot_us ();
}

/* Goes on after an answer: the watcher waits for the next changes. */
static void
continue_watch (DyObjectWatch *watch, bool has_changes)
{
  if (!is_watcher (watch))
    return;
  if (has_changes)
    schedule_request (watch, watch->batch_delay_ms);
  else
    request_changes (watch);
}

/* The store lacks changes since the known version. */
static void
list_again (DyObjectWatch *watch)
{
  dy_log (DY_EVENT_HISTORY_GONE, "prefix=%s version=%" G_GUINT64_FORMAT, watch->prefix,
          watch->age.version);
  watch->age.version = 0;
  request_changes (watch);
}

static void
on_changes (void *ctx, const DyPlatformReply *reply)
{
  DyObjectWatchCall *call = ctx;
  DyObjectWatch *watch = call->watch;
  call->busy = false;
  if (call != watch->current)
    {
      if (!watch->current && !ev_is_active (&watch->retry))
        continue_watch (watch, false);
      return;
    }
  watch->current = NULL;
  if (reply->error == DY_HISTORY_GONE)
    {
      list_again (watch);
      return;
    }
  if (reply->error)
    {
      watch->failing = true;
      schedule_request (watch, RETRY_MS);
      return;
    }
  record_success (watch);
  if (dy_watch_age_record_answer (&watch->age, MAX (reply->version, 1),
                                  latest_change (watch, reply, call->lists), call->sent_us))
    {
      apply_reply (watch, reply, call->lists);
      /* A router that no longer watches may have a call left from before. */
      if (!call->lists && reply->n_objects > 0 && is_watcher (watch))
        spread_age (watch, call, changes_for_others (watch, call, reply), reply->version);
    }
  continue_watch (watch, reply->n_objects > 0);
}

/* Lists the objects if none were read, or waits for changes. */
static void
request_changes (DyObjectWatch *watch)
{
  DyObjectWatchCall *call = NULL;
  for (uint32_t i = 0; i < DY_OBJECT_WATCH_CALLS && !call; i++)
    if (!watch->calls[i].busy)
      call = &watch->calls[i];
  watch->current = call;
  /* The checks go on, and one of the calls ends within its time limit. */
  if (!call)
    return;
  watch->suspect = false;
  begin_call (watch, call, watch->age.version == 0);
  dy_platform_list (watch->platform, watch->prefix, watch->age.version, on_changes, call);
}

static void
on_retry (struct ev_loop *loop, ev_timer *w, int events)
{
  DyObjectWatch *watch = w->data;
  (void) loop;
  (void) events;
  /* The check timer may have sent a call in the same turn of the loop. */
  if (!watch->current && (watch->age.version == 0 || is_watcher (watch)))
    request_changes (watch);
}

static void
on_checked (void *ctx, const DyPlatformReply *reply)
{
  DyObjectWatchCall *call = ctx;
  DyObjectWatch *watch = call->watch;
  call->busy = false;
  if (reply->error == DY_HISTORY_GONE)
    {
      list_again (watch);
      return;
    }
  if (reply->error)
    {
      watch->failing = true;
      watch->suspect = true;
      dy_watch_age_record_failure (&watch->age, dy_kernel_boot_us ());
      return;
    }
  uint64_t changed = latest_change (watch, reply, call->lists);
  bool has_changes = changed > watch->age.version;
  json_t *changes = has_changes && !call->told ? changes_for_others (watch, call, reply) : NULL;
  record_success (watch);
  if (!dy_watch_age_record_answer (&watch->age, MAX (reply->version, 1), changed, call->sent_us))
    {
      json_decref (changes);
      return;
    }
  apply_reply (watch, reply, call->lists);
  if (has_changes || watch->suspect)
    replace_call (watch, has_changes ? "late" : "outage");
  /* A change that another router has announced is sent to all by that one. */
  if (!call->told)
    spread_age (watch, call, changes, reply->version);
}

static void
on_check_timer (struct ev_loop *loop, ev_timer *w, int events)
{
  DyObjectWatch *watch = w->data;
  (void) loop;
  (void) events;
  if (watch->age.version && !watch->current && !ev_is_active (&watch->retry) && is_watcher (watch))
    request_changes (watch);
  if (watch->check.busy)
    return;
  uint32_t rank = rank_of (watch);
  DyWatchAgeAction action
      = dy_watch_age_decide (&watch->age, rank, watch->current || rank > 0, dy_kernel_boot_us ());
  if (action == DY_WATCH_AGE_FRESH)
    return;
  begin_call (watch, &watch->check, action == DY_WATCH_AGE_LIST);
  dy_counters_add (&watch->kernel->counters, DY_COUNTER_WATCH_CHECKS, 1);
  if (watch->check.lists)
    dy_platform_list (watch->platform, watch->prefix, 0, on_checked, &watch->check);
  else
    dy_platform_changes (watch->platform, watch->prefix, watch->age.version, on_checked,
                         &watch->check);
}

void
dy_object_watch_start (DyObjectWatch *watch,
                       DyKernel *kernel,
                       DySpread *spread,
                       const DyObjectWatchSpec *spec)
{
  DyWatchAgePolicy policy = dy_watch_age_policy_for (spec->bound_ms * US_PER_MS);
  memset (watch, 0, sizeof *watch);
  watch->kernel = kernel;
  watch->platform = dy_kernel_find (kernel, DY_SERVICE_PLATFORM);
  watch->peers = dy_kernel_find (kernel, DY_SERVICE_PEERS);
  watch->spread = spread;
  watch->prefix = spec->prefix;
  watch->watcher = spec->watcher;
  watch->ctx = spec->ctx;
  watch->batch_delay_ms = spec->batch_delay_ms;
  watch->recovered_us = INT64_MIN / 2;
  watch->keys = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  watch->check.watch = watch;
  for (uint32_t i = 0; i < DY_OBJECT_WATCH_CALLS; i++)
    watch->calls[i].watch = watch;
  dy_watch_age_init (&watch->age, &policy);
  ev_timer_init (&watch->retry, on_retry, 0.0, 0.0);
  watch->retry.data = watch;
  ev_timer_init (&watch->check_timer, on_check_timer, CHECK_INTERVAL_S, CHECK_INTERVAL_S);
  watch->check_timer.data = watch;
  ev_timer_start (kernel->loop, &watch->check_timer);
  request_changes (watch);
}

void
dy_object_watch_stop (DyObjectWatch *watch)
{
  ev_timer_stop (watch->kernel->loop, &watch->retry);
  ev_timer_stop (watch->kernel->loop, &watch->check_timer);
  g_hash_table_unref (watch->keys);
}

static void
apply_changes (DyObjectWatch *watch, const json_t *changes)
{
  DyObject object;
  watch->taking = true;
  for (size_t i = 0; dy_object_changes_get (changes, i, &object); i++)
    apply_object (watch, &object);
  watch->taking = false;
  if (watch->watcher->updated)
    watch->watcher->updated (watch->ctx, watch->age.version);
}

/* Takes the changes in ROOT, which were confirmed at CONFIRMED_US, if they follow on what is known.
 */
static void
take_changes (DyObjectWatch *watch, const json_t *root, uint64_t changed, int64_t confirmed_us)
{
  uint64_t version = (uint64_t) json_integer_value (json_object_get (root, "version"));
  if (!dy_watch_age_may_take (
          &watch->age, (uint64_t) json_integer_value (json_object_get (root, "base")),
          (uint64_t) json_integer_value (json_object_get (root, "base_changed")), version))
    return;
  json_t *changes = read_changes (root);
  if (!changes)
    return;
  if (!dy_object_changes_are_valid (changes, watch->prefix))
    {
      dy_log (DY_EVENT_SPREAD_INVALID, "prefix=%s version=%" G_GUINT64_FORMAT, watch->prefix,
              version);
      json_decref (changes);
      return;
    }
  dy_watch_age_record_answer (&watch->age, version, changed, confirmed_us);
  dy_counters_add (&watch->kernel->counters, DY_COUNTER_CHANGES_TAKEN,
                   (int64_t) json_array_size (changes));
  apply_changes (watch, changes);
  json_decref (changes);
}

void
dy_object_watch_take (DyObjectWatch *watch, const DyMessage *message)
{
  const char *key = message->u.config.key;
  if (message->type != DY_MESSAGE_CONFIG || !message->u.config.text
      || !g_str_has_prefix (key, AGE_PREFIX)
      || strcmp (key + strlen (AGE_PREFIX), watch->prefix) != 0)
    return;
  json_t *root = json_loadb (message->u.config.text, message->u.config.n_text, 0, NULL);
  const json_t *changed = json_object_get (root, "changed");
  const json_t *age_ms = json_object_get (root, "age_ms");
  if (json_is_integer (changed) && json_is_integer (age_ms) && json_integer_value (age_ms) >= 0)
    {
      uint64_t version = (uint64_t) json_integer_value (changed);
      int64_t delay_us = dy_spread_delay_us (watch->spread, root);
      int64_t confirmed_us
          = delay_us == DY_TRANSIT_UNKNOWN
                ? INT64_MIN / 2
                : dy_kernel_boot_us () - json_integer_value (age_ms) * US_PER_MS - delay_us;
      dy_spread_pass_on (watch->spread, message, root);
      record_success_of_peer (watch, version);
      take_changes (watch, root, version, confirmed_us);
      dy_watch_age_record_peer (&watch->age, version, confirmed_us,
                                json_is_true (json_object_get (root, "by_list")),
                                dy_kernel_boot_us ());
      dy_watch_age_record_peer_version (
          &watch->age, version, (uint64_t) json_integer_value (json_object_get (root, "at")));
    }
  json_decref (root);
}

int64_t
dy_object_watch_age_ms (const DyObjectWatch *watch)
{
  if (watch->age.confirmed_us < 0)
    return INT64_MAX;
  return (dy_kernel_boot_us () - watch->age.confirmed_us) / US_PER_MS;
}
