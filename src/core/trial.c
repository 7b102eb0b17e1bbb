#include "core/trial.h"

#include <glib.h>

enum
{
  FACTOR = 10,
  MAX_STEPS = 4,
};

static const int64_t FIRST_WAIT_US = INT64_C (60) * 1000 * 1000;

static int64_t
wait_us (uint32_t n)
{
  int64_t wait = FIRST_WAIT_US;
  for (uint32_t i = 0; i < MIN (n, MAX_STEPS); i++)
    wait *= FACTOR;
  return wait;
}

void
dy_trials_init (DyTrials *trials, uint32_t n, int64_t now_us)
{
  trials->n = n;
  trials->due_us = now_us + wait_us (n);
  trials->granted = false;
}

bool
dy_trials_record (DyTrials *trials, uint32_t n, int64_t now_us)
{
  if (n <= trials->n)
    return false;
  trials->n = n;
  trials->due_us = now_us + wait_us (n);
  return true;
}

void
dy_trials_grant (DyTrials *trials, uint32_t n, int64_t now_us)
{
  if (dy_trials_record (trials, n, now_us))
    trials->granted = true;
}

bool
dy_trials_is_due (const DyTrials *trials, int64_t now_us)
{
  return !trials->granted && now_us >= trials->due_us;
}

bool
dy_trials_take (DyTrials *trials)
{
  bool granted = trials->granted;
  trials->granted = false;
  return granted;
}
