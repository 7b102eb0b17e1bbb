#include "core/retry.h"

#include "kernel/error.h"

#include <glib.h>

enum
{
  CREDIT_OF_RETRY = 100,
  MAX_CREDIT = 20 * CREDIT_OF_RETRY, /* retries that a quiet time may save up */
};

/* Returns whether the request certainly did not run. */
static bool
did_not_run (DyAttemptOutcome outcome)
{
  return outcome == DY_ATTEMPT_NOT_SENT || outcome == DY_ATTEMPT_NOT_RUN
         || outcome == DY_ATTEMPT_REJECTED;
}

static int
error_of (const DyRetryQuery *question)
{
  if (question->may_have_run && did_not_run (question->outcome))
    return DY_OUTCOME_UNKNOWN;
  switch (question->outcome)
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
dy_retry_decide (DyRetryBudget *budget, const DyRetryQuery *question)
{
  DyRetryDecision decision = { .retry = false, .error = error_of (question) };
  if (question->outcome == DY_ATTEMPT_REJECTED || question->answer_seen)
    return decision;
  if (!did_not_run (question->outcome) && !question->idempotent)
    return decision;
  if (question->n_crashes >= DY_MAX_CRASHES_PER_REQUEST)
    return decision;
  if (question->n_attempts >= question->max_attempts || budget->credit < CREDIT_OF_RETRY)
    return decision;
  budget->credit -= CREDIT_OF_RETRY;
  decision.retry = true;
  decision.error = DY_OK;
  return decision;
}
