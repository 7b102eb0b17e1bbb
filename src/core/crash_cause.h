#ifndef DY_CORE_CRASH_CAUSE_H
#define DY_CORE_CRASH_CAUSE_H

/**
 * NAME
 *   crash_cause - finds and blocks the parts of prompts that crash endpoints
 *
 * DESCRIPTION
 *   When an endpoint crashes, every request that it had accepted and that had no output yet is a
 *   possible cause, and so is every part of its prompt that other requests share. A part that
 *   crashes endpoints does so before any output, so output of a request clears all of its parts of
 *   the crashes so far.
 *
 *   A part is blocked once it is a possible cause of several crashes that no blocked part explains.
 *   Of several such parts the one with the most crashes is blocked and explains them; parts that
 *   never had output go first, then those further back in the prompt, which fewer requests share.
 *   If a part turns out to explain all crashes of one that was blocked earlier, the earlier one is
 *   released.
 *
 *   Crashes at nearly the same time count as one, as many endpoints may fail together for another
 *   reason. While no other request has output either, nothing is blocked.
 *
 *   Routers exchange what they see, so a report becomes evidence only after a delay in which the
 *   reports of other routers about the same crash arrive.
 *
 * UNITS
 *   Times are microseconds; the module reads no clock, the time is passed in as NOW_US.
 */

#include "core/trial.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  uint64_t id;
  uint32_t depth; /* position in the prompt, from 0 */
} DyCausePart;

typedef struct
{
  uint32_t min_crashes;         /* to block a part of which no request had output */
  uint32_t min_crashes_cleared; /* to block another one */
  uint32_t min_outputs;         /* of other requests since the first crash of the part */
  int64_t settle_us;            /* age at which the reports of a crash are complete */
  int64_t same_crash_us;        /* reports about one endpoint within it are of the same crash */
  int64_t burst_us;             /* crashes within it count as one */
  int64_t keep_us;              /* age at which a crash, or the output of a part, is forgotten */
} DyCrashCausePolicy;

extern const DyCrashCausePolicy dy_crash_cause_policy;

typedef enum
{
  DY_CAUSE_OWN,   /* decided by this router */
  DY_CAUSE_PEER,  /* learned from another router */
  DY_CAUSE_STORE, /* learned from the platform's store */
} DyCauseSource;

typedef struct
{
  uint64_t id;
  DyCauseSource source;
  uint32_t n_crashes;
  int64_t blocked_us;
  DyTrials trials;
} DyBlockedPart;

typedef struct
{
  /* PART is now blocked, or was released. Not called for dy_crash_cause_block() and
   * dy_crash_cause_clear(), which return it. */
  void (*blocked) (void *ctx, const DyBlockedPart *part);
  void (*released) (void *ctx, uint64_t part);
} DyCrashCauseWatcher;

typedef struct
{
  DyCrashCausePolicy policy;
  const DyCrashCauseWatcher *watcher;
  void *ctx;
  GHashTable *parts;       /* part id to what is known of the part */
  GPtrArray *crashes;      /* in the order of their times */
  GHashTable *blocked;     /* part id to DyBlockedPart */
  uint64_t n_outputs;      /* requests with output */
  int64_t decide_until_us; /* recent crashes are examined until then */
  int64_t swept_us;        /* time of the latest removal of old entries */
} DyCrashCause;

void dy_crash_cause_init (DyCrashCause *cause,
                          const DyCrashCausePolicy *policy,
                          const DyCrashCauseWatcher *watcher,
                          void *ctx);
void dy_crash_cause_finish (DyCrashCause *cause);

/* Records that ENDPOINT crashed while a request with PART had no output yet. Returns whether this
 * is new, which other routers need to know. */
bool dy_crash_cause_add (DyCrashCause *cause,
                         const char *endpoint,
                         const DyCausePart *part,
                         int64_t now_us);

/* Counts a request with output, whose parts are given to dy_crash_cause_clear(). */
void dy_crash_cause_record_output (DyCrashCause *cause);

/* Records that a request with the part ID had output. Returns whether the part was a possible cause
 * or blocked, which other routers need to know; sets WAS_BLOCKED. */
bool dy_crash_cause_clear (DyCrashCause *cause, uint64_t id, int64_t now_us, bool *was_blocked);

/* Blocks the part ID, which another router found. Returns whether it was not blocked before. */
bool dy_crash_cause_block (
    DyCrashCause *cause, uint64_t id, uint32_t n_crashes, DyCauseSource source, int64_t now_us);

/* Returns the first of the N parts IDS that is blocked, or NULL. */
const DyBlockedPart *
dy_crash_cause_find (const DyCrashCause *cause, const uint64_t *ids, uint32_t n);

/* Returns the trials of the part ID, or NULL if it is not blocked. */
DyTrials *dy_crash_cause_trials (DyCrashCause *cause, uint64_t id);

/* Decides on the parts of the crashes so far. */
void dy_crash_cause_tick (DyCrashCause *cause, int64_t now_us);

#endif
