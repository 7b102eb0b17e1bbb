#ifndef DY_CORE_BACKOFF_H
#define DY_CORE_BACKOFF_H

/**
 * NAME
 *   backoff - exponential backoff with jitter
 *
 * DESCRIPTION
 *   The delay after the n-th failure in a row is uniformly distributed between min_us / 2 and
 *   min_us / 2 + ceiling, where the ceiling is min_us * 2^(n - 1), at most max_us.
 */

#include <glib.h>
#include <stdint.h>

typedef struct
{
  int64_t min_us;
  int64_t max_us;
  uint32_t n_failures; /* in a row */
} DyBackoff;

void dy_backoff_init (DyBackoff *backoff, int64_t min_us, int64_t max_us);

/* Counts a failure. Returns the delay in microseconds before the next attempt, drawn from RNG. */
int64_t dy_backoff_next_us (DyBackoff *backoff, GRand *rng);

/* Resets the number of failures; to be called after a success. */
void dy_backoff_reset (DyBackoff *backoff);

#endif
