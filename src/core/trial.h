#ifndef DY_CORE_TRIAL_H
#define DY_CORE_TRIAL_H

/**
 * NAME
 *   trial - when what crashed endpoints is tried again
 *
 * DESCRIPTION
 *   What is refused because it crashed endpoints may have been innocent, so one request is let
 *   through now and then, by one router of the fleet. Users tolerate three such requests in all,
 *   and each may crash an endpoint: the waits grow so that the fourth trial is most of a day away.
 *   The number of trials outlives restarts, or each one would begin them anew.
 */

#include <glib.h>
#include <stdint.h>

/* Returns the microseconds from trial number N, or from the block if N is 0, to the next one. */
static inline int64_t
dy_trial_wait_us (uint32_t n)
{
  enum
  {
    FACTOR = 10,
    MAX_STEPS = 4,
  };
  int64_t wait_us = INT64_C (60) * 1000 * 1000;
  for (uint32_t i = 0; i < MIN (n, MAX_STEPS); i++)
    wait_us *= FACTOR;
  return wait_us;
}

#endif
