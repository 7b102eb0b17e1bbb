#ifndef DY_SERVICES_PLATFORM_H
#define DY_SERVICES_PLATFORM_H

/**
 * NAME
 *   platform - rate-limited client of the platform's object API, with a circuit breaker
 *
 * DESCRIPTION
 *   An object has a key, a text value of up to a megabyte and a version that only increases, also
 *   when the platform's store is restored from an older copy (see core/store_version.h). A write is
 *   conditional: it names the version that it expects to replace. The calls themselves are made by
 *   a table of functions, DyPlatformOps, with one such table for each kind of platform.
 *
 *   A restored store lacks the latest writes, also those that it has acknowledged. Code that relies
 *   on a write being there registers with dy_platform_watch_era() and writes again what was lost.
 *
 *   Calls beyond the node's call rate wait in a queue until the rate permits them; each watch
 *   counts as one call.
 *
 *   After two consecutive failed calls a circuit breaker opens: calls fail with DY_UNAVAILABLE
 *   without being sent, except for one list and one other call in each probe interval, until a call
 *   succeeds. An outage thus costs few calls and is reported to the calling code at once.
 *
 *   A router that is late, as its link is full, waits longer for answers than others: see
 *   core/patience.h.
 *
 * ERRORS
 *   DY_NOT_FOUND     the object does not exist
 *   DY_CONFLICT      the object has another version than the expected one; the reply states it.
 *                    When the calling code repeats a write whose reply was lost, this may be
 *                    the version that the earlier write created.
 *   DY_HISTORY_GONE  the store no longer keeps the changes after the version that a watch names
 *   DY_FORBIDDEN     the platform does not permit the call, which had no effect
 *   DY_RATE_LIMITED  the platform refused the call, which had no effect
 *   DY_UNAVAILABLE, DY_TIMEOUT, DY_PROTOCOL  no usable reply; a write may have taken effect
 */

#include "core/patience.h"
#include "kernel/kernel.h"

#include <ev.h>
#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define DY_SERVICE_PLATFORM "platform"

enum
{
  DY_MAX_ERA_WATCHERS = 16,
};

typedef struct
{
  const char *key;
  uint64_t version;
  const char *value; /* NULL: removed */
  size_t n_value;
} DyObject;

typedef struct
{
  int error;
  uint64_t version;  /* of the object, or of the store at the time of the list */
  uint64_t era;      /* number of restores of the store, by its answer; 0: not stated */
  const char *value; /* of a get, or the VM list */
  size_t n_value;
  const DyObject *objects; /* of a list; NULL for other calls */
  uint32_t n_objects;
} DyPlatformReply;

/* Called once for each call. REPLY and its texts are valid until the function returns. */
typedef void (*DyPlatformDone) (void *ctx, const DyPlatformReply *reply);

typedef struct
{
  void (*get) (void *impl, const char *key, DyPlatformDone done, void *ctx);
  /* EXPECTED 0: the object must not exist. VALUE NULL: the object is removed. */
  void (*put) (void *impl,
               const char *key,
               const char *value,
               size_t n,
               uint64_t expected,
               DyPlatformDone done,
               void *ctx);
  /* AFTER 0: lists all objects whose keys begin with PREFIX, without waiting. Otherwise a watch:
   * lists those that changed after that version, and waits for a change if there is none. When the
   * wait times out, the list is empty and the error DY_OK. */
  void (*list) (void *impl, const char *prefix, uint64_t after, DyPlatformDone done, void *ctx);
  /* Lists the objects with the prefix that changed after the version AFTER, without waiting. */
  void (*changes) (void *impl, const char *prefix, uint64_t after, DyPlatformDone done, void *ctx);
  /* Reads the VM list. The reply's value is
   * {"vms": [{"name": text, "address": "ip:port", "data_centre": text, "leaving": bool}]}. */
  void (*vms) (void *impl, DyPlatformDone done, void *ctx);
  /* Sets the time limit of calls that are made from then on. NULL: there is none. */
  void (*set_timeout) (void *impl, int64_t timeout_us);
  /* Cancels all calls in progress, without callbacks, and frees IMPL. */
  void (*free) (void *impl);
} DyPlatformOps;

/* Called when the platform first states its era, and each time that the era has risen. RESTORED is
 * whether it has risen: the latest writes may be lost. */
typedef void (*DyEraWatcher) (void *ctx, uint64_t era, bool restored);

typedef struct
{
  const DyPlatformOps *ops;
  void *impl;
  struct ev_loop *loop;
  DyCounters *counters;
  double calls_per_s;  /* rate limit */
  double credit;       /* calls that the rate permits now, at most calls_per_s */
  int64_t credited_us; /* monotonic time at which credit was computed */
  GQueue held;         /* calls that wait for credit, in order */
  GHashTable *calls;   /* all unfinished calls */
  ev_timer timer;      /* sends held calls */
  uint32_t n_failures; /* consecutive; from two on the breaker is open */
  int64_t probe_interval_us;
  /* Monotonic time of the latest probe through the open breaker; 0: none. Lists have probes of
   * their own: what the router knows of routes and endpoints must not grow old because other calls
   * fail. */
  int64_t list_probe_sent_us;
  int64_t probe_sent_us;
  GQueue rejected; /* calls rejected by the open breaker whose callbacks are still to be made */
  ev_timer rejection_timer; /* makes these callbacks */
  uint64_t era;             /* of the latest answer that states one; 0: none */
  int64_t restored_us;      /* monotonic time at which the era last rose; INT64_MIN / 2: never */
  struct
  {
    DyEraWatcher watcher;
    void *ctx;
  } era_watchers[DY_MAX_ERA_WATCHERS];
  uint32_t n_era_watchers;
  /* Returns whether a call that was sent at SENT_US, by dy_kernel_boot_us(), and has timed out
   * shows that the platform does not answer; it does not if this router is late. NULL: it does. */
  bool (*is_unanswered) (void *ctx, int64_t sent_us);
  void *is_unanswered_ctx;
  DyPatience patience;
  int64_t away_us; /* by dy_kernel_boot_us(): time of the latest call that failed though this router
                      was on time, or that was refused; INT64_MIN / 2: none */
  int64_t silent_us; /* the same of a call that had no answer at all; INT64_MIN / 2: none since the
                        latest answer */
  bool down;         /* the platform is unreachable */
  int64_t down_since_us; /* monotonic time at which it last became unreachable; 0: never */
} DyPlatform;

/* Takes ownership of IMPL. CALLS_PER_S limits the calls in a second and the size of a burst. */
void dy_platform_init (DyPlatform *platform,
                       struct ev_loop *loop,
                       DyCounters *counters,
                       int64_t calls_per_s,
                       const DyPlatformOps *ops,
                       void *impl);

/* Cancels all calls, without callbacks, and frees the implementation. */
void dy_platform_finish (DyPlatform *platform);

/* These make the calls of DyPlatformOps. DONE is called from the event loop. */

void dy_platform_get (DyPlatform *platform, const char *key, DyPlatformDone done, void *ctx);
void dy_platform_put (DyPlatform *platform,
                      const char *key,
                      const char *value,
                      uint64_t expected,
                      DyPlatformDone done,
                      void *ctx);
void dy_platform_list (
    DyPlatform *platform, const char *prefix, uint64_t after, DyPlatformDone done, void *ctx);
void dy_platform_changes (
    DyPlatform *platform, const char *prefix, uint64_t after, DyPlatformDone done, void *ctx);
void dy_platform_vms (DyPlatform *platform, DyPlatformDone done, void *ctx);

/* Adds a watcher, which stays until dy_platform_finish(). It is called at once if the platform has
 * stated its era already. At most DY_MAX_ERA_WATCHERS. */
void dy_platform_watch_era (DyPlatform *platform, DyEraWatcher watcher, void *ctx);

/* Returns whether the platform answers calls of this router: it is reachable and does not refuse
 * them. */
bool dy_platform_answers (const DyPlatform *platform);

/* Returns by dy_kernel_boot_us() when the oldest call in progress was sent, watches left out;
 * INT64_MIN / 2: there is none. */
int64_t dy_platform_asked_us (const DyPlatform *platform);

/* Returns whether the store was restored less than TIME_US ago, as far as this router knows. */
bool dy_platform_was_restored_within (const DyPlatform *platform, int64_t time_us);

/* Sets the interval between probes while the breaker is open; 500 ms unless set. */
void dy_platform_set_probe_interval (DyPlatform *platform, int64_t interval_us);

/* Adds the service "platform", whose interface is PLATFORM. If dy_platform_init() was called
 * before, its OPS and IMPL are used instead of those of the platform kind in the settings. */
void dy_platform_add_service (DyKernel *kernel, DyPlatform *platform);

#endif
