#ifndef DY_CORE_RETRY_H
#define DY_CORE_RETRY_H

/**
 * NAME
 *   retry - what follows a failed attempt, decided by what is known about it
 *
 * DESCRIPTION
 *   An attempt that certainly did not run may go to another endpoint whatever the request. One
 *   that may have run is repeated only for an idempotent request of whose answer the caller has
 *   seen nothing, and only while fewer than DY_MAX_CRASHES_PER_REQUEST endpoints failed under it:
 * it may be what makes them fail. Retries are a bounded part of all attempts, so they cannot
 * amplify an outage.
 */

#include <stdbool.h>
#include <stdint.h>

enum
{
  DY_MAX_CRASHES_PER_REQUEST = 2, /* endpoints that one request may take down */
};

typedef enum
{
  DY_ATTEMPT_NOT_SENT,   /* no byte reached the endpoint */
  DY_ATTEMPT_NOT_RUN,    /* the endpoint said that it did not run */
  DY_ATTEMPT_REJECTED,   /* the endpoint found the request invalid */
  DY_ATTEMPT_UNANSWERED, /* sent, nothing known */
  DY_ATTEMPT_BROKEN,     /* the answer began and ended early */
} DyAttemptOutcome;

typedef struct
{
  int64_t percent; /* most retries, as a part of all attempts */
  int64_t credit;  /* in hundredths of a retry */
} DyRetryBudget;

typedef struct
{
  DyAttemptOutcome outcome;
  bool idempotent;
  bool answer_seen;  /* the caller has seen part of the answer */
  bool may_have_run; /* an earlier attempt may have run */
  uint32_t n_attempts;
  uint32_t n_crashes; /* attempts without an answer or with a broken one, this one included */
  uint32_t max_attempts;
} DyRetryQuery;

typedef struct
{
  bool retry;
  int error; /* the answer to the caller when there is no retry */
} DyRetryDecision;

void dy_retry_budget_init (DyRetryBudget *budget, int64_t percent);

/* Counts a first attempt, which earns its part of a retry. */
void dy_retry_budget_deposit (DyRetryBudget *budget);

/* Decides about a failed attempt; a retry is taken from BUDGET. */
DyRetryDecision dy_retry_decide (DyRetryBudget *budget, const DyRetryQuery *question);

#endif
