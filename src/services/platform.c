#include "services/platform.h"

#include "kernel/error.h"
#include "kernel/log.h"
#include "services/platform_http.h"
#include "services/platform_memory.h"

#include <string.h>

typedef enum
{
  CALL_GET,
  CALL_PUT,
  CALL_LIST,
  CALL_CHANGES,
  CALL_VMS,
} CallKind;

typedef struct
{
  DyPlatform *platform;
  CallKind kind;
  char *key;
  char *value;
  uint64_t version; /* EXPECTED of a put, AFTER of a list or of changes */
  int64_t sent_us;
  int64_t sent_boot_us; /* by dy_kernel_boot_us(); 0: not sent yet */
  DyPlatformDone done;
  void *ctx;
} Call;

static void
free_call (gpointer data)
{
  Call *call = data;
  g_free (call->key);
  g_free (call->value);
  g_free (call);
}

enum
{
  FAILURES_TO_OPEN = 2, /* a single failure may be a lost reply */
  DEFAULT_PROBE_INTERVAL_US = 500 * 1000,
  SLOW_CALL_US = 250 * 1000,
  US_PER_MS = 1000,
};

/* Returns whether ERROR is no answer of the platform to the call itself. */
static bool
is_failure (int error)
{
  return error && error != DY_NOT_FOUND && error != DY_CONFLICT && error != DY_HISTORY_GONE
         && error != DY_FORBIDDEN;
}

static void
update_reachability (DyPlatform *platform, int error)
{
  bool down = is_failure (error) && error != DY_RATE_LIMITED;
  platform->n_failures = is_failure (error) ? platform->n_failures + 1 : 0;
  if (is_failure (error))
    dy_counters_add (platform->counters, DY_COUNTER_PLATFORM_ERRORS, 1);
  if (down == platform->down)
    return;
  platform->down = down;
  if (down)
    platform->down_since_us = g_get_monotonic_time ();
  dy_log (down ? DY_EVENT_PLATFORM_DOWN : DY_EVENT_PLATFORM_UP, "kind=%s",
          dy_error_info (error)->kind);
}

/* Notes the era that an answer states, and reports one that has risen. */
static void
update_era (DyPlatform *platform, uint64_t era)
{
  bool restored = platform->era != 0;
  if (era <= platform->era)
    return;
  dy_log (restored ? DY_EVENT_STORE_RESTORED : DY_EVENT_STORE_ERA,
          "era=%" G_GUINT64_FORMAT " before=%" G_GUINT64_FORMAT, era, platform->era);
  platform->era = era;
  dy_counters_set (platform->counters, DY_COUNTER_STORE_ERA, (int64_t) era);
  if (restored)
    {
      platform->restored_us = g_get_monotonic_time ();
      dy_counters_add (platform->counters, DY_COUNTER_STORE_RESTORES, 1);
    }
  for (uint32_t i = 0; i < platform->n_era_watchers; i++)
    platform->era_watchers[i].watcher (platform->era_watchers[i].ctx, era, restored);
}

/* Time of sending of a call that has been unanswered for long enough, if the router is on time. */
static const int64_t LONG_AGO_US = INT64_MIN / 2;

static bool
is_watch (const Call *call)
{
  return call->kind == CALL_LIST && call->version > 0;
}

/* Logs a call that failed or took long; watches wait for changes and may take long. */
static void
log_slow_call (const Call *call, int error, bool rejected)
{
  static const char *const names[] = { "get", "put", "list", "changes", "vms" };
  int64_t time_us = g_get_monotonic_time () - call->sent_us;
  bool failed = is_failure (error) || error == DY_FORBIDDEN;
  if (!failed && (is_watch (call) || time_us < SLOW_CALL_US))
    return;
  dy_log (DY_EVENT_PLATFORM_CALL_SLOW, "call=%s key=%s kind=%s rejected=%d ms=%" G_GINT64_FORMAT,
          is_watch (call) ? "watch" : names[call->kind], call->key ? call->key : "-",
          dy_error_info (error)->kind, rejected, rejected ? 0 : time_us / 1000);
}

/* Returns whether a call that was sent at SENT_US may have timed out because the router is late. */
static bool
is_late (const DyPlatform *platform, int64_t sent_us)
{
  return platform->is_unanswered && !platform->is_unanswered (platform->is_unanswered_ctx, sent_us);
}

/* Records whether the end of CALL shows that the platform does not answer this router, and how long
 * the next calls may take. */
static void
record_end (DyPlatform *platform, const Call *call, int error)
{
  int64_t took_us = g_get_monotonic_time () - call->sent_us;
  if (is_watch (call))
    return;
  if (error == DY_TIMEOUT)
    dy_patience_record_timeout (&platform->patience, took_us, is_late (platform, LONG_AGO_US));
  else if (!is_failure (error))
    dy_patience_record_answer (&platform->patience, took_us);
  if (is_failure (error) && (error != DY_TIMEOUT || !is_late (platform, call->sent_boot_us)))
    {
      platform->away_us = dy_kernel_boot_us ();
      if (error == DY_TIMEOUT || error == DY_UNAVAILABLE)
        platform->silent_us = platform->away_us;
    }
  if (error != DY_TIMEOUT && error != DY_UNAVAILABLE)
    platform->silent_us = LONG_AGO_US;
}

static void
on_reply (void *ctx, const DyPlatformReply *reply)
{
  Call *call = ctx;
  DyPlatform *platform = call->platform;
  g_hash_table_steal (platform->calls, call);
  log_slow_call (call, reply->error, false);
  record_end (platform, call, reply->error);
  update_reachability (platform, reply->error);
  update_era (platform, reply->era);
  if (!is_watch (call))
    dy_counters_observe (platform->counters, DY_HISTOGRAM_PLATFORM_CALL,
                         g_get_monotonic_time () - call->sent_us);
  call->done (call->ctx, reply);
  free_call (call);
}

static void
send_call (Call *call)
{
  DyPlatform *platform = call->platform;
  const DyPlatformOps *ops = platform->ops;
  dy_counters_add (platform->counters, DY_COUNTER_PLATFORM_CALLS, 1);
  call->sent_us = g_get_monotonic_time ();
  call->sent_boot_us = dy_kernel_boot_us ();
  if (ops->set_timeout && platform->patience.limit_us > 0)
    ops->set_timeout (platform->impl, platform->patience.limit_us);
  switch (call->kind)
    {
    case CALL_GET:
      ops->get (platform->impl, call->key, on_reply, call);
      break;
    case CALL_PUT:
      ops->put (platform->impl, call->key, call->value, call->value ? strlen (call->value) : 0,
                call->version, on_reply, call);
      break;
    case CALL_LIST:
      ops->list (platform->impl, call->key, call->version, on_reply, call);
      break;
    case CALL_CHANGES:
      ops->changes (platform->impl, call->key, call->version, on_reply, call);
      break;
    case CALL_VMS:
      ops->vms (platform->impl, on_reply, call);
      break;
    }
}

static bool
take_credit (DyPlatform *platform)
{
  int64_t now_us = g_get_monotonic_time ();
  platform->credit += (double) (now_us - platform->credited_us) / 1e6 * platform->calls_per_s;
  platform->credit = MIN (platform->credit, platform->calls_per_s);
  platform->credited_us = now_us;
  if (platform->credit < 1.0)
    return false;
  platform->credit -= 1.0;
  return true;
}

static void
start_rate_timer (DyPlatform *platform)
{
  ev_timer_stop (platform->loop, &platform->timer);
  ev_timer_set (&platform->timer, 1.0 / platform->calls_per_s, 0.0);
  ev_timer_start (platform->loop, &platform->timer);
}

static void
on_rate_timer (struct ev_loop *loop, ev_timer *w, int events)
{
  DyPlatform *platform = w->data;
  (void) loop;
  (void) events;
  while (platform->held.length > 0 && take_credit (platform))
    send_call (g_queue_pop_head (&platform->held));
  if (platform->held.length > 0)
    start_rate_timer (platform);
}

/* Returns whether the breaker rejects a call that is made now. A call that it lets through while it
 * is open counts as the probe of this interval. */
static bool
breaker_rejects (DyPlatform *platform, CallKind kind)
{
  int64_t now_us = g_get_monotonic_time ();
  bool lists = kind == CALL_LIST || kind == CALL_CHANGES;
  int64_t *probe_sent_us = lists ? &platform->list_probe_sent_us : &platform->probe_sent_us;
  if (platform->n_failures < FAILURES_TO_OPEN)
    return false;
  if (now_us - *probe_sent_us < platform->probe_interval_us)
    return true;
  *probe_sent_us = now_us;
  return false;
}

/* Fails the calls that the breaker rejected, after the code that made them has returned. */
static void
on_rejection_timer (struct ev_loop *loop, ev_timer *w, int events)
{
  DyPlatform *platform = w->data;
  (void) loop;
  (void) events;
  for (guint n = platform->rejected.length; n > 0; n--)
    {
      static const DyPlatformReply reply = { .error = DY_UNAVAILABLE };
      Call *call = g_queue_pop_head (&platform->rejected);
      g_hash_table_steal (platform->calls, call);
      log_slow_call (call, reply.error, true);
      call->done (call->ctx, &reply);
      free_call (call);
    }
}

static void
reject_later (DyPlatform *platform, Call *call)
{
  g_queue_push_tail (&platform->rejected, call);
  ev_timer_stop (platform->loop, &platform->rejection_timer);
  ev_timer_set (&platform->rejection_timer, 0.0, 0.0);
  ev_timer_start (platform->loop, &platform->rejection_timer);
}

static void
submit (DyPlatform *platform, const Call *template, const char *key, const char *value)
{
  Call *call = g_new (Call, 1);
  *call = *template;
  call->platform = platform;
  call->key = g_strdup (key);
  call->value = g_strdup (value);
  g_hash_table_add (platform->calls, call);
  if (breaker_rejects (platform, call->kind))
    {
      reject_later (platform, call);
      return;
    }
  if (platform->held.length == 0 && take_credit (platform))
    {
      send_call (call);
      return;
    }
  if (platform->held.length == 0)
    dy_log (DY_EVENT_PLATFORM_THROTTLED, "calls_per_s=%.0f", platform->calls_per_s);
  dy_counters_add (platform->counters, DY_COUNTER_PLATFORM_HELD, 1);
  g_queue_push_tail (&platform->held, call);
  if (platform->held.length == 1)
    start_rate_timer (platform);
}

void
dy_platform_init (DyPlatform *platform,
                  struct ev_loop *loop,
                  DyCounters *counters,
                  int64_t calls_per_s,
                  const DyPlatformOps *ops,
                  void *impl)
{
  memset (platform, 0, sizeof *platform);
  platform->ops = ops;
  platform->impl = impl;
  platform->loop = loop;
  platform->counters = counters;
  platform->calls_per_s = (double) calls_per_s;
  platform->credit = platform->calls_per_s;
  platform->credited_us = g_get_monotonic_time ();
  platform->probe_interval_us = DEFAULT_PROBE_INTERVAL_US;
  platform->restored_us = INT64_MIN / 2;
  platform->away_us = LONG_AGO_US;
  platform->silent_us = LONG_AGO_US;
  platform->calls = g_hash_table_new_full (NULL, NULL, free_call, NULL);
  g_queue_init (&platform->held);
  g_queue_init (&platform->rejected);
  ev_timer_init (&platform->rejection_timer, on_rejection_timer, 0.0, 0.0);
  platform->rejection_timer.data = platform;
  ev_timer_init (&platform->timer, on_rate_timer, 0.0, 0.0);
  platform->timer.data = platform;
}

void
dy_platform_finish (DyPlatform *platform)
{
  if (!platform->impl)
    return;
  ev_timer_stop (platform->loop, &platform->timer);
  ev_timer_stop (platform->loop, &platform->rejection_timer);
  g_queue_clear (&platform->rejected);
  platform->ops->free (platform->impl);
  g_queue_clear (&platform->held);
  g_hash_table_unref (platform->calls);
  platform->impl = NULL;
}

void
dy_platform_get (DyPlatform *platform, const char *key, DyPlatformDone done, void *ctx)
{
  Call call = { .kind = CALL_GET, .done = done, .ctx = ctx };
  submit (platform, &call, key, NULL);
}

void
dy_platform_put (DyPlatform *platform,
                 const char *key,
                 const char *value,
                 uint64_t expected,
                 DyPlatformDone done,
                 void *ctx)
{
  Call call = { .kind = CALL_PUT, .version = expected, .done = done, .ctx = ctx };
  submit (platform, &call, key, value);
}

void
dy_platform_list (
    DyPlatform *platform, const char *prefix, uint64_t after, DyPlatformDone done, void *ctx)
{
  Call call = { .kind = CALL_LIST, .version = after, .done = done, .ctx = ctx };
  submit (platform, &call, prefix, NULL);
}

void
dy_platform_changes (
    DyPlatform *platform, const char *prefix, uint64_t after, DyPlatformDone done, void *ctx)
{
  Call call = { .kind = CALL_CHANGES, .version = after, .done = done, .ctx = ctx };
  submit (platform, &call, prefix, NULL);
}

void
dy_platform_vms (DyPlatform *platform, DyPlatformDone done, void *ctx)
{
  Call call = { .kind = CALL_VMS, .done = done, .ctx = ctx };
  submit (platform, &call, NULL, NULL);
}

void
dy_platform_watch_era (DyPlatform *platform, DyEraWatcher watcher, void *ctx)
{
  g_assert (platform->n_era_watchers < DY_MAX_ERA_WATCHERS);
  platform->era_watchers[platform->n_era_watchers].watcher = watcher;
  platform->era_watchers[platform->n_era_watchers].ctx = ctx;
  platform->n_era_watchers++;
  if (platform->era)
    watcher (ctx, platform->era, false);
}

bool
dy_platform_answers (const DyPlatform *platform)
{
  return !platform->down && platform->n_failures < FAILURES_TO_OPEN;
}

int64_t
dy_platform_asked_us (const DyPlatform *platform)
{
  int64_t oldest_us = INT64_MAX;
  GHashTableIter iter;
  gpointer key;
  g_hash_table_iter_init (&iter, platform->calls);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      const Call *call = key;
      if (call->sent_boot_us && !is_watch (call))
        oldest_us = MIN (oldest_us, call->sent_boot_us);
    }
  return oldest_us == INT64_MAX ? INT64_MIN / 2 : oldest_us;
}

bool
dy_platform_was_restored_within (const DyPlatform *platform, int64_t time_us)
{
  return g_get_monotonic_time () - platform->restored_us < time_us;
}

void
dy_platform_set_probe_interval (DyPlatform *platform, int64_t interval_us)
{
  platform->probe_interval_us = interval_us;
}

static void
init_by_settings (DyPlatform *platform, DyKernel *kernel)
{
  const DySettings *settings = kernel->settings;
  bool in_memory = strcmp (settings->platform_kind, "memory") == 0;
  void *impl = in_memory ? dy_platform_memory_new (kernel->loop)
                         : dy_platform_http_new (kernel->loop, settings->platform_url,
                                                 settings->platform_timeout_ms,
                                                 settings->watch_timeout_ms);
  dy_platform_init (platform, kernel->loop, &kernel->counters, settings->platform_calls_per_s,
                    in_memory ? &dy_platform_memory_ops : &dy_platform_http_ops, impl);
}

static int
service_start (void *self, DyKernel *kernel)
{
  DyPlatform *platform = self;
  if (!platform->ops)
    init_by_settings (platform, kernel);
  dy_patience_init (&platform->patience, kernel->settings->platform_timeout_ms * US_PER_MS);
  return DY_OK;
}

static void
service_stop (void *self)
{
  dy_platform_finish (self);
}

static json_t *
service_dump (void *self)
{
  const DyPlatform *platform = self;
  return json_pack ("{s:b, s:I, s:i, s:i}", "down", platform->down, "era",
                    (json_int_t) platform->era, "calls_open",
                    (int) (platform->impl ? g_hash_table_size (platform->calls) : 0), "calls_held",
                    (int) platform->held.length);
}

void
dy_platform_add_service (DyKernel *kernel, DyPlatform *platform)
{
  DyService service = { .name = DY_SERVICE_PLATFORM,
                        .self = platform,
                        .start = service_start,
                        .stop = service_stop,
                        .dump = service_dump };
  dy_kernel_add (kernel, &service);
}
