#ifndef DY_CORE_QUARANTINE_H
#define DY_CORE_QUARANTINE_H

/**
 * NAME
 *   quarantine - blocks request bodies that endpoints repeatedly fail to run
 *
 * DESCRIPTION
 *   Counts the endpoints that failed while they ran a body, in one request or in several, by the
 *   hash of the body. From max_crashes on, the body is not run again until block_us after the
 *   latest crash. An endpoint may have failed for another reason, so a complete answer clears the
 *   body.
 *
 *   The home of an account counts the failures of its requests. For requests routed by host and
 *   path, see core/crash_counts.h.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  GHashTable *bodies;   /* by body hash */
  uint32_t max_crashes; /* number of crashes from which on a body is blocked */
  int64_t block_us;     /* time after the latest crash for which the count is kept */
  int64_t swept_us;     /* last removal of expired bodies */
} DyQuarantine;

void dy_quarantine_init (DyQuarantine *quarantine, uint32_t max_crashes, int64_t block_us);
void dy_quarantine_finish (DyQuarantine *quarantine);

/* Records that N_CRASHES endpoints failed while they ran the body. */
void dy_quarantine_add (DyQuarantine *quarantine,
                        uint64_t body_hash,
                        uint32_t n_crashes,
                        int64_t now_us);

/* Records that the body got a complete answer. Returns whether it had a recorded crash. */
bool dy_quarantine_clear (DyQuarantine *quarantine, uint64_t body_hash);

/* Returns whether the body must not be run now. */
bool dy_quarantine_blocks (const DyQuarantine *quarantine, uint64_t body_hash, int64_t now_us);

/* Removes bodies whose latest crash is block_us or longer ago. */
void dy_quarantine_tick (DyQuarantine *quarantine, int64_t now_us);

#endif
