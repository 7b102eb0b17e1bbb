#include "core/retry.h"

#include "kernel/error.h"

#include <glib.h>

enum
{
  CREDIT_PER_RETRY = 100,
  MAX_CREDIT = 20 * CREDIT_PER_RETRY, /* capacity of the bucket, the longest burst of retries */
};

/* Returns whether the request certainly did not run. */
static bool
did_not_run (DyAttemptOutcome outcome)
{
  return outcome == DY_ATTEMPT_NOT_SENT || outcome == DY_ATTEMPT_NOT_RUN
         || outcome == DY_ATTEMPT_REJECTED;
}

static int
error_for_caller (const DyRetryQuery *query)
{
  if (query->may_have_run && did_not_run (query->outcome))
    return DY_OUTCOME_UNKNOWN;
  switch (query->outcome)
    {
    case DY_ATTEMPT_NOT_SENT:
    case DY_ATTEMPT_NOT_RUN:
      return DY_NO_ENDPOINT;
    case DY_ATTEMPT_REJECTED:
      return DY_ENDPOINT_REFUSED;
    case DY_ATTEMPT_BROKEN:
      return DY_STREAM_BROKEN;
    case DY_ATTEMPT_UNANSWERED:
    default:
      return DY_OUTCOME_UNKNOWN;
    }
}

void
dy_retry_budget_init (DyRetryBudget *budget, int64_t percent)
{
  budget->percent = percent;
  budget->credit = percent > 0 ? MAX_CREDIT : 0;
}

void
dy_retry_budget_deposit (DyRetryBudget *budget)
{
  budget->credit = MIN (budget->credit + budget->percent, MAX_CREDIT);
}

DyRetryDecision
dy_retry_decide (DyRetryBudget *budget, const DyRetryQuery *query)
{
  DyRetryDecision decision = { .retry = false, .error = error_for_caller (query) };
  if (query->outcome == DY_ATTEMPT_REJECTED || query->answer_seen)
    return decision;
  if (!did_not_run (query->outcome) && !query->idempotent)
    return decision;
  if (query->n_crashes >= DY_MAX_CRASHES_PER_REQUEST)
    return decision;
  if (query->n_attempts >= query->max_attempts || budget->credit < CREDIT_PER_RETRY)
    return decision;
  budget->credit -= CREDIT_PER_RETRY;
  decision.retry = true;
  decision.error = DY_OK;
  return decision;
}
