#ifndef DY_CORE_RESEND_H
#define DY_CORE_RESEND_H

/**
 * NAME
 *   resend - whether a routed request goes to another endpoint, and what its caller is told if not
 *
 * DESCRIPTION
 *   An attempt that certainly did not run may be repeated whatever the request. One that may have
 *   run is repeated only for idempotent requests and for streams that may be resumed, at most as
 *   often as the route says. Resends of the whole fleet are bounded for each service by a part of
 *   its requests in a sliding window; each router keeps to its part of that bound.
 */

#include "core/retry.h"

#include <glib.h>
#include <stdint.h>

typedef struct
{
  DyAttemptOutcome outcome;
  bool repeatable; /* idempotent, or a stream that may be resumed */
  bool may_have_run;
  bool answer_seen;       /* the caller has part of the answer */
  uint32_t n_started;     /* attempts that may have run */
  uint32_t n_refused;     /* attempts that certainly did not run */
  uint32_t max_attempts;  /* that may run */
  bool within_budget;     /* one more resend is */
  int64_t time_left_ms;   /* of the request */
  int64_t time_needed_ms; /* for an answer */
} DyResendQuery;

/* Returns DY_OK to send again, or the error that the caller is told. */
int dy_resend_decide (const DyResendQuery *question);

enum
{
  DY_RESEND_BUCKETS = 10,
};

typedef struct
{
  int64_t requests[DY_RESEND_BUCKETS];
  int64_t resends[DY_RESEND_BUCKETS];
  int64_t bucket; /* number of the newest one */
} DyResendWindow;

typedef struct
{
  double ratio;        /* of the service's requests */
  double slack;        /* of the whole fleet, in one window */
  int64_t window_us;   /* length of the sliding window */
  GHashTable *windows; /* service to DyResendWindow */
} DyResendBudget;

void dy_resend_budget_init (DyResendBudget *budget, double ratio, double slack, int64_t window_us);
void dy_resend_budget_finish (DyResendBudget *budget);

/* Counts a first attempt at SERVICE. */
void dy_resend_budget_record_request (DyResendBudget *budget, const char *service, int64_t now_us);

/* Returns whether this router, one of N_ROUTERS, may send once more to SERVICE. */
bool dy_resend_budget_allows (DyResendBudget *budget,
                              const char *service,
                              uint32_t n_routers,
                              int64_t now_us);
void dy_resend_budget_record_resend (DyResendBudget *budget, const char *service, int64_t now_us);

#endif
