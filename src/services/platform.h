#ifndef DY_SERVICES_PLATFORM_H
#define DY_SERVICES_PLATFORM_H

/**
 * NAME
 *   platform - the platform's object API, behind one table of callbacks
 *
 * DESCRIPTION
 *   Objects have a key, a text value of up to a megabyte and a version that only rises. A write
 *   names the version that it expects to replace. The service holds calls back that exceed the
 *   node's call rate; each watch counts as a call. Another platform is another table.
 *
 *   After two failed calls in a row a breaker opens: calls fail with DY_UNAVAILABLE, but for one in
 *   each probe interval, until one succeeds. So an outage costs few calls, and callers know at
 * once.
 *
 * ERRORS
 *   DY_NOT_FOUND     no such object
 *   DY_CONFLICT      another version than the expected one is there; the reply names it. After an
 *                    automatic repeat by the HTTP library this can also follow an own success.
 *   DY_RATE_LIMITED  refused, without effect
 *   DY_UNAVAILABLE, DY_TIMEOUT, DY_PROTOCOL  no answer; a write may have taken effect
 */

#include "kernel/kernel.h"

#include <ev.h>
#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define DY_SERVICE_PLATFORM "platform"

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
  uint64_t version; /* of the object, or of the whole list */
  const char *value;
  size_t n_value;
  const DyObject *objects;
  uint32_t n_objects;
} DyPlatformReply;

typedef void (*DyPlatformDone) (void *ctx, const DyPlatformReply *reply);

typedef struct
{
  void (*get) (void *impl, const char *key, DyPlatformDone done, void *ctx);
  /* EXPECTED 0: the object must not exist. VALUE NULL: remove it. */
  void (*put) (void *impl,
               const char *key,
               const char *value,
               size_t n,
               uint64_t expected,
               DyPlatformDone done,
               void *ctx);
  /* AFTER 0: all objects under PREFIX at once. Otherwise waits until one changes after that
   * version or the wait ends, with an empty list and DY_OK. */
  void (*list) (void *impl, const char *prefix, uint64_t after, DyPlatformDone done, void *ctx);
  /* Stores the VM list in the reply's value:
   * {"vms": [{"name": text, "address": "ip:port", "data_centre": text, "leaving": bool}]}. */
  void (*vms) (void *impl, DyPlatformDone done, void *ctx);
  /* Drops all calls in progress without calling back. */
  void (*free) (void *impl);
} DyPlatformOps;

typedef struct
{
  const DyPlatformOps *ops;
  void *impl;
  struct ev_loop *loop;
  DyCounters *counters;
  double calls_per_s;
  double credit;
  int64_t credited_us;
  GQueue held;
  GHashTable *calls; /* all calls not over */
  ev_timer timer;
  uint32_t n_failures; /* in a row */
  int64_t probe_interval_us;
  int64_t last_probe_sent_us; /* steady time of the latest call while the breaker is open */
  GQueue refused;             /* calls that the open breaker fails */
  ev_timer refusal;
  bool down;
  int64_t down_since_us; /* steady time at which the platform was lost last */
} DyPlatform;

/* Takes over IMPL. Calls beyond CALLS_PER_S wait their turn. */
void dy_platform_init (DyPlatform *platform,
                       struct ev_loop *loop,
                       DyCounters *counters,
                       int64_t calls_per_s,
                       const DyPlatformOps *ops,
                       void *impl);
void dy_platform_finish (DyPlatform *platform);

void dy_platform_get (DyPlatform *platform, const char *key, DyPlatformDone done, void *ctx);
void dy_platform_put (DyPlatform *platform,
                      const char *key,
                      const char *value,
                      uint64_t expected,
                      DyPlatformDone done,
                      void *ctx);
void dy_platform_list (
    DyPlatform *platform, const char *prefix, uint64_t after, DyPlatformDone done, void *ctx);
void dy_platform_vms (DyPlatform *platform, DyPlatformDone done, void *ctx);

/* Sets how often the platform is looked for while it is away. */
void dy_platform_set_probe_interval (DyPlatform *platform, int64_t interval_us);

/* The service "platform", whose interface is a DyPlatform. If dy_platform_init() was called before,
 * the given table of calls is used instead of the one that the settings name. */
void dy_platform_add_service (DyKernel *kernel, DyPlatform *platform);

#endif
