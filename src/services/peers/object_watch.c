#include "services/peers/object_watch.h"

#include "core/store_version.h"
#include "kernel/error.h"
#include "kernel/log.h"
#include "services/peers/object_changes.h"

#include <jansson.h>
#include <string.h>

enum
{
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
  /* Without a version, as the store lacks changes since it, the objects of that are still known. */
  DyWatchAge age = watch->age;
  uint64_t version = 0;
  for (uint32_t i = 0; i < reply->n_objects; i++)
    version = MAX (version, reply->objects[i].value ? reply->objects[i].version : reply->version);
  age.version = MAX (age.version, watch->history.version);
  return lists ? dy_watch_age_list_change (&age, reply->version, version,
                                           reply->n_objects
                                               == g_hash_table_size (watch->history.objects))
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
  dy_object_history_record (&watch->history, object->key, object->version, object->value);
  watch->watcher->apply (watch->ctx, object);
}

static void
apply_reply (DyObjectWatch *watch, const DyPlatformReply *reply, bool lists)
{
  watch->listing = lists;
  if (lists && watch->watcher->list_begun)
    watch->watcher->list_begun (watch->ctx);
  dy_object_history_begin (
      &watch->history, lists ? DY_OBJECT_UPDATE_LIST : DY_OBJECT_UPDATE_CHANGES, reply->version);
  for (uint32_t i = 0; i < reply->n_objects; i++)
    apply_object (watch, &reply->objects[i]);
  dy_object_history_end (&watch->history);
  if (lists && watch->watcher->list_ended)
    watch->watcher->list_ended (watch->ctx, reply);
  watch->listing = false;
  if (watch->watcher->updated)
    watch->watcher->updated (watch->ctx, reply->version);
}

/* Returns the changes in REPLY, the answer to CALL that is about to be applied, for other routers;
 * NULL if there are none, or too many. */
static json_t *
changes_for_others (const DyObjectWatch *watch,
                    DyObjectWatchCall *call,
                    const DyPlatformReply *reply)
{
  if (!call->lists)
    return dy_object_changes_encode (reply->objects, reply->n_objects, DY_OBJECT_CHANGES_MAX_BYTES);
  /* A list is compared with what is known now, which may be more than when it was asked for. */
  call->base = MAX (watch->age.version, watch->history.version);
  call->changed = watch->age.changed_version;
  return call->base && dy_store_version_era (call->base) == dy_store_version_era (reply->version)
             ? dy_object_changes_of_list (watch->history.objects, call->base, reply,
                                          DY_OBJECT_CHANGES_MAX_BYTES)
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
  if (changes && dy_object_changes_add (root, changes))
    {
      json_object_set_new (root, "base", json_integer ((json_int_t) call->base));
      json_object_set_new (root, "base_changed", json_integer ((json_int_t) call->changed));
      json_object_set_new (root, "version", json_integer ((json_int_t) version));
    }
  char *key = g_strconcat (DY_WATCH_AGES_PREFIX, watch->prefix, NULL);
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

/* Returns whether this router is to tell others of the answer REPLY to CALL. */
static bool
tells (const DyObjectWatch *watch, const DyObjectWatchCall *call, const DyPlatformReply *reply)
{
  /* After a dropped history, the list replaces the changes that a check or a watch would return. */
  if (call->lists)
    return watch->history.version != 0 && !call->told;
  /* A router that no longer watches may have a call left from before. */
  return reply->n_objects > 0 && is_watcher (watch);
}

/* Takes the answer REPLY to CALL, a list or a watch. */
static void
take_answer (DyObjectWatch *watch, DyObjectWatchCall *call, const DyPlatformReply *reply)
{
  bool told = tells (watch, call, reply);
  json_t *changes = told ? changes_for_others (watch, call, reply) : NULL;
  if (!dy_watch_age_record_answer (&watch->age, MAX (reply->version, 1),
                                   latest_change (watch, reply, call->lists), call->sent_us))
    {
      json_decref (changes);
      return;
    }
  apply_reply (watch, reply, call->lists);
  if (told)
    spread_age (watch, call, changes, reply->version);
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
  take_answer (watch, call, reply);
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
start_check (DyObjectWatch *watch, DyWatchAgeAction action)
{
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
dy_object_watch_confirm (DyObjectWatch *watch)
{
  if (!watch->check.busy)
    start_check (watch, dy_watch_age_next_call (&watch->age, dy_kernel_boot_us ()));
}

static void
on_check_timer (struct ev_loop *loop, ev_timer *w, int events)
{
  DyObjectWatch *watch = w->data;
  (void) loop;
  (void) events;
  dy_change_requests_ask_if_due (&watch->requests, rank_of (watch));
  if (watch->age.version && !watch->current && !ev_is_active (&watch->retry) && is_watcher (watch))
    request_changes (watch);
  if (watch->check.busy)
    return;
  uint32_t rank = rank_of (watch);
  start_check (watch, dy_watch_age_decide (&watch->age, rank, watch->current || rank > 0,
                                           dy_kernel_boot_us ()));
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
  dy_object_history_init (&watch->history);
  dy_change_requests_start (&watch->requests, watch);
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
  dy_change_requests_stop (&watch->requests);
  dy_object_history_finish (&watch->history);
}

static void
apply_changes (DyObjectWatch *watch, const DyPeerUpdate *update)
{
  DyObject object;
  dy_object_history_begin (&watch->history, update->kind, update->version);
  for (size_t i = 0; dy_object_changes_get (update->changes, i, &object); i++)
    apply_object (watch, &object);
  dy_object_history_end (&watch->history);
  if (watch->watcher->updated)
    watch->watcher->updated (watch->ctx, watch->age.version);
}

static void
apply_list (DyObjectWatch *watch, const DyPeerUpdate *update)
{
  GArray *objects = g_array_new (FALSE, FALSE, sizeof (DyObject));
  DyObject object;
  for (size_t i = 0; dy_object_changes_get (update->changes, i, &object); i++)
    g_array_append_val (objects, object);
  DyPlatformReply reply = { .version = update->version,
                            .objects = (const DyObject *) objects->data,
                            .n_objects = objects->len };
  apply_reply (watch, &reply, true);
  g_array_unref (objects);
}

bool
dy_object_watch_apply (DyObjectWatch *watch, const DyPeerUpdate *update)
{
  if (!dy_object_changes_are_valid (update->changes, watch->prefix))
    {
      dy_object_watch_log_invalid (watch, update->version);
      return false;
    }
  watch->logged_invalid = false;
  dy_watch_age_record_answer (&watch->age, update->version, update->changed, update->confirmed_us);
  dy_counters_add (&watch->kernel->counters, DY_COUNTER_CHANGES_TAKEN,
                   (int64_t) json_array_size (update->changes));
  watch->taking = true;
  if (update->kind == DY_OBJECT_UPDATE_LIST)
    apply_list (watch, update);
  else
    apply_changes (watch, update);
  watch->taking = false;
  return true;
}

void
dy_object_watch_log_invalid (DyObjectWatch *watch, uint64_t version)
{
  if (!watch->logged_invalid)
    dy_log (DY_EVENT_SPREAD_INVALID, "prefix=%s version=%" G_GUINT64_FORMAT, watch->prefix,
            version);
  watch->logged_invalid = true;
}

/* Takes the changes in ROOT, which were confirmed at CONFIRMED_US, if they follow on what is known.
 */
static void
take_changes (DyObjectWatch *watch, const json_t *root, uint64_t changed, int64_t confirmed_us)
{
  uint64_t version = (uint64_t) json_integer_value (json_object_get (root, "version"));
  bool by_list = json_is_true (json_object_get (root, "by_list"));
  if (!dy_watch_age_may_take (
          &watch->age, (uint64_t) json_integer_value (json_object_get (root, "base")),
          (uint64_t) json_integer_value (json_object_get (root, "base_changed")), version))
    return;
  json_t *changes = dy_object_changes_read (root);
  DyPeerUpdate update = { .kind = by_list ? DY_OBJECT_UPDATE_COMPARED : DY_OBJECT_UPDATE_CHANGES,
                          .changes = changes,
                          .version = version,
                          .changed = changed,
                          .confirmed_us = confirmed_us };
  if (changes)
    dy_object_watch_apply (watch, &update);
  json_decref (changes);
}

/* Returns since when what the message ROOT says was confirmed, INT64_MIN / 2 if that is not known.
 */
static int64_t
confirmed_us_of (const DyObjectWatch *watch, const json_t *root)
{
  int64_t delay_us = dy_spread_delay_us (watch->spread, root);
  int64_t age_ms = json_integer_value (json_object_get (root, "age_ms"));
  return delay_us == DY_TRANSIT_UNKNOWN || age_ms > INT32_MAX
             ? INT64_MIN / 2
             : dy_kernel_boot_us () - age_ms * US_PER_MS - delay_us;
}

/* Takes what another router says of its checks to all. */
static void
take_spread (DyObjectWatch *watch, const DyMessage *message, const json_t *root)
{
  const char *name = json_string_value (json_object_get (json_object_get (root, "spread"), "root"));
  uint64_t changed = (uint64_t) json_integer_value (json_object_get (root, "changed"));
  uint64_t at = (uint64_t) json_integer_value (json_object_get (root, "at"));
  int64_t confirmed_us = confirmed_us_of (watch, root);
  dy_spread_pass_on (watch->spread, message, root);
  record_success_of_peer (watch, changed);
  take_changes (watch, root, changed, confirmed_us);
  if (name)
    dy_missed_changes_report (&watch->requests.missed, name, MAX (changed, at));
  dy_watch_age_record_peer (&watch->age, changed, confirmed_us,
                            json_is_true (json_object_get (root, "by_list")), dy_kernel_boot_us ());
  dy_watch_age_record_peer_version (&watch->age, changed, at);
}

static bool
is_natural (const json_t *number)
{
  return json_is_integer (number) && json_integer_value (number) >= 0;
}

void
dy_object_watch_take (DyObjectWatch *watch, const DyMessage *message)
{
  const char *key = message->u.config.key;
  if (message->type != DY_MESSAGE_CONFIG || !message->u.config.text
      || !g_str_has_prefix (key, DY_WATCH_AGES_PREFIX)
      || strcmp (key + strlen (DY_WATCH_AGES_PREFIX), watch->prefix) != 0)
    return;
  json_t *root = json_loadb (message->u.config.text, message->u.config.n_text, 0, NULL);
  if (!is_natural (json_object_get (root, "changed"))
      || !is_natural (json_object_get (root, "age_ms")))
    dy_object_watch_log_invalid (watch, 0);
  else if (json_object_get (root, "answers"))
    dy_change_requests_take_reply (&watch->requests, root, confirmed_us_of (watch, root));
  else
    take_spread (watch, message, root);
  json_decref (root);
}

int64_t
dy_object_watch_age_ms (const DyObjectWatch *watch)
{
  if (watch->age.confirmed_us < 0)
    return INT64_MAX;
  return (dy_kernel_boot_us () - watch->age.confirmed_us) / US_PER_MS;
}
