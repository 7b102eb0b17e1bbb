#ifndef DY_CORE_RETRY_H
#define DY_CORE_RETRY_H

/**
 * NAME
 *   retry - retry decisions and a router's retry budget for chat completions and plain services
 *
 * DESCRIPTION
 *   After a failed attempt dy_retry_decide() returns whether the request is retried at another
 *   endpoint, or which error its caller gets. After an attempt that certainly did not run, any
 *   request may be retried; after one that may have run, only an idempotent request. There is no
 *   retry once the caller has received part of the answer, or once DY_MAX_CRASHES_PER_REQUEST
 *   endpoints failed while they worked on the request, as the request itself may be the cause.
 *
 *   A token bucket limits a router's retries to a percentage of its requests. Retries therefore
 *   cannot amplify an outage.
 *
 * ERRORS
 *   DY_ENDPOINT_REFUSED  the endpoint found the request invalid
 *   DY_NO_ENDPOINT       the request did not run
 *   DY_OUTCOME_UNKNOWN   it may have run
 *   DY_STREAM_BROKEN     the answer began and ended early
 */

#include <stdbool.h>
#include <stdint.h>

enum
{
  DY_MAX_CRASHES_PER_REQUEST = 2, /* endpoints that may fail while they work on one request */
};

typedef enum
{
  DY_ATTEMPT_NOT_SENT,   /* no byte reached the endpoint */
  DY_ATTEMPT_NOT_RUN,    /* the endpoint reported that the request did not run */
  DY_ATTEMPT_REJECTED,   /* the endpoint found the request invalid */
  DY_ATTEMPT_UNANSWERED, /* sent; whether it ran is unknown */
  DY_ATTEMPT_BROKEN,     /* the answer began and ended early */
} DyAttemptOutcome;

typedef struct
{
  int64_t percent; /* credit per request, in hundredths of a retry */
  int64_t credit;  /* available, in hundredths of a retry */
} DyRetryBudget;

typedef struct
{
  DyAttemptOutcome outcome;
  bool idempotent;
  bool answer_seen;    /* the caller has received part of the answer */
  bool may_have_run;   /* an earlier attempt may have run */
  uint32_t n_attempts; /* this one included */
  uint32_t n_crashes;  /* attempts without an answer or with a broken one, this one included */
  uint32_t max_attempts;
} DyRetryQuery;

typedef struct
{
  bool retry;
  int error; /* for the caller if there is no retry, else DY_OK */
} DyRetryDecision;

/* Starts with a full bucket. With PERCENT 0 nothing is retried. */
void dy_retry_budget_init (DyRetryBudget *budget, int64_t percent);

/* Adds the credit of a request; call it at the request's first attempt. */
void dy_retry_budget_deposit (DyRetryBudget *budget);

/* Decides what follows a failed attempt. A retry is deducted from BUDGET. */
DyRetryDecision dy_retry_decide (DyRetryBudget *budget, const DyRetryQuery *query);

#endif
