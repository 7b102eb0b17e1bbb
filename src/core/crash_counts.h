#ifndef DY_CORE_CRASH_COUNTS_H
#define DY_CORE_CRASH_COUNTS_H

/**
 * NAME
 *   crash_counts - requests that crash endpoints whenever they come
 *
 * DESCRIPTION
 *   Counts the crashes of endpoints under one request, which comes again unchanged, by a hash of
 *   it. From max_crashes on the request is blocked. A complete answer clears it, also
 *   that of a trial (core/trial.h). A block has no other end while the request is still sent.
 *
 *   All requests that an endpoint held when it crashed end with it. Equal ones among them count
 *   once: those that were sent there before the first of them ended.
 *
 * UNITS
 *   Times are microseconds; the module reads no clock, the time is passed in as NOW_US.
 */

#include "core/crash_cause.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  uint32_t max_crashes;  /* from which on a request is blocked */
  int64_t same_crash_us; /* reports that name no endpoint are of the same crash within it */
  int64_t keep_us;       /* time after the latest crash for which a count is kept */
  int64_t keep_block_us; /* time after the latest crash or arrival for which a block is kept */
} DyCrashCountsPolicy;

extern const DyCrashCountsPolicy dy_crash_counts_policy;

typedef struct
{
  uint64_t request; /* its hash */
  DyCauseSource source;
  uint32_t n_crashes;
  GArray *crashes;    /* the latest ones, as the endpoint and the time of each */
  int64_t changed_us; /* latest crash or, if it is blocked, arrival */
  bool blocked;
  int64_t blocked_us;
  DyTrials trials; /* its number is kept while the request is not blocked, too */
} DyCrashCount;

typedef struct
{
  DyCrashCountsPolicy policy;
  GHashTable *requests; /* hash to DyCrashCount */
  int64_t swept_us;
} DyCrashCounts;

void dy_crash_counts_init (DyCrashCounts *counts, const DyCrashCountsPolicy *policy);
void dy_crash_counts_finish (DyCrashCounts *counts);

/* Returns the count of REQUEST, or NULL if there is none. */
const DyCrashCount *dy_crash_counts_find (const DyCrashCounts *counts, uint64_t request);

/* Records that ENDPOINT (empty: not stated) crashed while it ran REQUEST, which was sent there at
 * SENT_US. Returns whether that is counted, as no report of the same crash was. */
bool dy_crash_counts_add (
    DyCrashCounts *counts, uint64_t request, const char *endpoint, int64_t sent_us, int64_t now_us);

/* Takes the latest crash of ENDPOINT under REQUEST back, as nothing showed that it crashed. Returns
 * whether it had been counted. */
bool dy_crash_counts_withdraw (DyCrashCounts *counts, uint64_t request, const char *endpoint);

/* Takes what another router, or the store, knows of REQUEST. Returns whether that is new. */
bool dy_crash_counts_adopt (DyCrashCounts *counts,
                            uint64_t request,
                            uint32_t n_crashes,
                            uint32_t n_trials,
                            DyCauseSource source,
                            int64_t now_us);

/* Records that REQUEST had a complete answer. Returns whether crashes had been counted. */
bool dy_crash_counts_clear (DyCrashCounts *counts, uint64_t request);

/* Returns the count of REQUEST, which a caller has sent, if it must not run; else NULL. */
const DyCrashCount *
dy_crash_counts_refuse (DyCrashCounts *counts, uint64_t request, int64_t now_us);

/* Returns the trials of REQUEST, or NULL if it is not blocked. */
DyTrials *dy_crash_counts_trials (DyCrashCounts *counts, uint64_t request);

/* Removes counts and blocks that are too old. Calls REMOVED for each. */
void dy_crash_counts_tick (DyCrashCounts *counts,
                           void (*removed) (void *ctx, uint64_t request),
                           void *ctx,
                           int64_t now_us);

#endif
