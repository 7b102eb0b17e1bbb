#ifndef DY_CORE_RESEND_H
#define DY_CORE_RESEND_H

/**
 * NAME
 *   resend - retry decisions and fleet-wide retry budget for requests routed by host and path
 *
 * DESCRIPTION
 *   After a failed attempt dy_resend_decide() returns whether the request is sent to another
 *   endpoint, or which error its caller gets. After an attempt that certainly did not run, any
 *   request may be resent. After one that may have run, a request is resent only if it is
 *   idempotent or is a stream that can be resumed, and only while fewer attempts than the route
 *   allows may have run. Every resend must also fit the request's deadline and the retry budget.
 *
 *   An attempt whose endpoint is silent may still be answered, so it is given up only for another
 *   one that may be made now: dy_resend_replaces_silent(). The request then is not ended before
 *   its deadline for want of an endpoint that takes it, however many have turned it away.
 *
 *   DyResendBudget bounds the resends to each service: in every sliding window, those of the entire
 *   fleet stay within ratio * requests + slack. Each router enforces its share of this bound, which
 *   is ratio * its own requests, and a part of the slack while core/resend_share.h gives it one. A
 *   request allows resends for a quarter of the window after it, but for one resend that a router
 *   with few requests keeps for a window.
 *
 * ERRORS
 *   DY_ENDPOINT_REFUSED  the endpoint found the request invalid
 *   DY_NO_ENDPOINT       the request did not run
 *   DY_OUTCOME_UNKNOWN   it may have run
 *   DY_STREAM_BROKEN     it may have run and the caller has received part of the answer
 *   DY_TIMEOUT           it may have run and too little time is left for another attempt
 */

#include "core/retry.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  DyAttemptOutcome outcome;
  bool repeatable;        /* idempotent, or a stream that can be resumed */
  bool may_have_run;      /* this attempt or an earlier one may have run */
  bool answer_seen;       /* the caller has received part of the answer */
  bool persists;          /* it is sent until its deadline */
  uint32_t n_started;     /* attempts that may have run */
  uint32_t n_refused;     /* attempts that certainly did not run */
  uint32_t max_attempts;  /* most attempts that may have run */
  bool within_budget;     /* the retry budget allows another resend */
  int64_t time_left_ms;   /* until the request's deadline */
  int64_t time_needed_ms; /* least time worth another attempt */
} DyResendQuery;

enum
{
  DY_RESEND_LATER = 1,           /* send the request again after a pause */
  DY_RESEND_WINDOW_BUCKETS = 50, /* of a window */
  /* The newest bucket has only begun, so that one more covers the entire window. */
  DY_RESEND_BUCKETS = DY_RESEND_WINDOW_BUCKETS + 1,
};

/* Returns DY_OK to send the request again at once, DY_RESEND_LATER, or the error for the caller. */
int dy_resend_decide (const DyResendQuery *query);

/* Returns whether an attempt that is still open, and silent, is given up for another one. QUERY
 * describes the request as before that attempt; HAS_OTHER is whether another endpoint could take
 * the request. */
bool dy_resend_replaces_silent (const DyResendQuery *query, bool has_other);

typedef struct
{
  int64_t requests[DY_RESEND_BUCKETS];
  int64_t resends[DY_RESEND_BUCKETS];
  double slack_used[DY_RESEND_BUCKETS]; /* by resends that no request allowed */
  double earned;  /* resends that recent requests allow and that have not been made */
  int64_t bucket; /* number of the newest bucket; stored at index bucket % DY_RESEND_BUCKETS */
} DyResendWindow;

typedef struct
{
  int64_t requests; /* within the window */
  int64_t resends;  /* the same */
  double allowed;   /* resends that this router may make within the window */
} DyResendUse;

typedef struct
{
  double ratio;        /* resends per request to the service */
  double slack;        /* further resends of the entire fleet in one window */
  int64_t window_us;   /* length of the sliding window */
  GHashTable *windows; /* service name to DyResendWindow */
} DyResendBudget;

void dy_resend_budget_init (DyResendBudget *budget, double ratio, double slack, int64_t window_us);
void dy_resend_budget_finish (DyResendBudget *budget);

/* Sets the length of the window. Resends that count then count for a window from now on; requests
 * no longer do. Those that had left a shorter window do not come back. */
void dy_resend_budget_set_window (DyResendBudget *budget, int64_t window_us, int64_t now_us);

/* Counts the first attempt of a request to SERVICE. */
void dy_resend_budget_record_request (DyResendBudget *budget, const char *service, int64_t now_us);

/* Takes back a resend, recorded at RECORDED_US, that did not reach an endpoint. */
void dy_resend_budget_return_resend (DyResendBudget *budget,
                                     const char *service,
                                     int64_t recorded_us,
                                     int64_t now_us);

/* Returns whether the budget of this router, which has one of N_PARTS parts of the slack, or none
 * if N_PARTS is 0, allows another resend to SERVICE. What was used of the slack counts for at least
 * a window. */
bool dy_resend_budget_allows (DyResendBudget *budget,
                              const char *service,
                              uint32_t n_parts,
                              int64_t now_us);

/* Returns whether what resends to each service used of the slack is within one of N_PARTS parts of
 * it. */
bool dy_resend_budget_is_within (DyResendBudget *budget, uint32_t n_parts, int64_t now_us);

/* Returns what counts for SERVICE. */
DyResendUse dy_resend_budget_use (DyResendBudget *budget,
                                  const char *service,
                                  uint32_t n_parts,
                                  int64_t now_us);

/* Counts a resend to SERVICE. */
void dy_resend_budget_record_resend (DyResendBudget *budget, const char *service, int64_t now_us);

#endif
