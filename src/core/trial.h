#ifndef DY_CORE_TRIAL_H
#define DY_CORE_TRIAL_H

/**
 * NAME
 *   trial - when a request that is blocked, as it crashed endpoints, is let through as a test
 *
 * DESCRIPTION
 *   A block may be wrong, so one request is let through after a wait that grows with each trial. At
 *   most three requests may reach endpoints after a block, and each may crash one: the fourth trial
 *   is more than 18 hours after the block.
 *
 *   A trial that is due must first be recorded where all routers see it. The router that recorded
 *   it is granted the trial and uses it for one request.
 *
 * UNITS
 *   Times are microseconds; the module reads no clock, the time is passed in as NOW_US.
 */

#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  uint32_t n;     /* trials that were recorded, by any router */
  int64_t due_us; /* time from which the next one may be recorded */
  bool granted;   /* this router recorded the latest one and has not used it */
} DyTrials;

/* Sets the state of a block that begins now and had N trials before. */
void dy_trials_init (DyTrials *trials, uint32_t n, int64_t now_us);

/* Takes that N trials were recorded. Returns whether that is more than was known; the next one is
 * postponed then. */
bool dy_trials_record (DyTrials *trials, uint32_t n, int64_t now_us);

/* Takes that this router recorded trial number N, which it may use now. */
void dy_trials_grant (DyTrials *trials, uint32_t n, int64_t now_us);

/* Returns whether a trial is to be recorded. */
bool dy_trials_is_due (const DyTrials *trials, int64_t now_us);

/* Uses the trial that was granted. Returns false if there is none. */
bool dy_trials_take (DyTrials *trials);

#endif
