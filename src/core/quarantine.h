#ifndef DY_CORE_QUARANTINE_H
#define DY_CORE_QUARANTINE_H

/**
 * NAME
 *   quarantine - requests under which endpoints failed
 *
 * DESCRIPTION
 *   Kept by the hash of the request's body: by the home of an account, or, for requests by route,
 * by every router, which tell each other. A body under which enough endpoints failed, in one
 * request or in several, is not run again for a while. An endpoint may fail for another reason: a
 * whole answer clears the body.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  GHashTable *bodies;
  uint32_t max_crashes; /* from which on a body is held */
  int64_t block_us;     /* since the latest crash */
  int64_t swept_us;
} DyQuarantine;

void dy_quarantine_init (DyQuarantine *quarantine, uint32_t max_crashes, int64_t block_us);
void dy_quarantine_finish (DyQuarantine *quarantine);

/* N_CRASHES endpoints failed under the body. */
void dy_quarantine_add (DyQuarantine *quarantine,
                        uint64_t body_hash,
                        uint32_t n_crashes,
                        int64_t now_us);

/* The body got a whole answer. Returns whether a crash under it was known. */
bool dy_quarantine_clear (DyQuarantine *quarantine, uint64_t body_hash);

bool dy_quarantine_blocks (const DyQuarantine *quarantine, uint64_t body_hash, int64_t now_us);

/* Forgets bodies whose time is over. */
void dy_quarantine_tick (DyQuarantine *quarantine, int64_t now_us);

#endif
