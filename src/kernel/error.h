#ifndef DY_KERNEL_ERROR_H
#define DY_KERNEL_ERROR_H

/**
 * NAME
 *   error - error numbers of all modules and the answer to a caller for each
 *
 * DESCRIPTION
 *   Functions return DY_OK or one of the negative numbers below. The table is the complete list. It
 *   maps a number to the kind (its name in answers and logs), the HTTP status code sent to callers,
 *   the exit code of the command-line tool, whether the request ran at an endpoint, the delay in
 *   seconds after which a retry makes sense (0: none is suggested) and a message for callers.
 */

#include <stdint.h>

/* Whether an endpoint ran the request that the error belongs to. */
typedef enum
{
  DY_RUN_NOT_RUN, /* certainly not run, so a retry cannot run it twice */
  DY_RUN_RAN,
  DY_RUN_UNKNOWN, /* may have run */
} DyRunStatus;

/* X (symbol, number, kind, HTTP status, exit code, run, retry_after_s, text). Numbers descend from
 * 0 without gaps, since they index the table. */
#define DY_ERROR_LIST(X)                                                                           \
  X (OK, 0, "ok", 200, 0, RAN, 0, "success")                                                       \
  X (BAD_REQUEST, -1, "bad_request", 400, 2, NOT_RUN, 0, "the request is malformed")               \
  X (BAD_JSON, -2, "bad_json", 400, 2, NOT_RUN, 0, "the body is not valid JSON")                   \
  X (MISSING_MAX_TOKENS, -3, "missing_max_tokens", 400, 2, NOT_RUN, 0, "max_tokens is required")   \
  X (UNAUTHORIZED, -4, "unauthorized", 401, 4, NOT_RUN, 0, "the bearer key is unknown")            \
  X (BUDGET_SPENT, -5, "budget_spent", 402, 5, NOT_RUN, 0,                                         \
     "the prepaid budget does not cover the request")                                              \
  X (NOT_FOUND, -6, "not_found", 404, 6, NOT_RUN, 0, "no such resource")                           \
  X (UNKNOWN_MODEL, -7, "unknown_model", 404, 6, NOT_RUN, 0, "no endpoint serves this model")      \
  X (CONFLICT, -8, "conflict", 409, 3, NOT_RUN, 0, "another version was written first")            \
  X (KEY_REUSED, -9, "idempotency_key_reused", 409, 3, NOT_RUN, 0,                                 \
     "the idempotency key was used with another body")                                             \
  X (BODY_TOO_LARGE, -10, "body_too_large", 413, 2, NOT_RUN, 0, "the body exceeds the limit")      \
  X (HEADERS_TOO_LARGE, -11, "headers_too_large", 431, 2, NOT_RUN, 0,                              \
     "the headers exceed the limit")                                                               \
  X (BUDGET_RESERVED, -12, "budget_reserved", 429, 5, NOT_RUN, 1,                                  \
     "the rest of the budget is reserved by running requests")                                     \
  X (QUEUE_FULL, -13, "queue_full", 429, 7, NOT_RUN, 1,                                            \
     "too many requests of this client account wait")                                              \
  X (BUDGET_UNAVAILABLE, -14, "budget_unavailable", 503, 7, NOT_RUN, 2,                            \
     "the budget cannot be checked now")                                                           \
  X (NO_ENDPOINT, -15, "no_endpoint", 503, 7, NOT_RUN, 1, "no endpoint accepts work now")          \
  X (DRAINING, -16, "draining", 503, 7, NOT_RUN, 1, "this router is shutting down")                \
  X (ENDPOINT_REFUSED, -17, "endpoint_refused", 502, 7, NOT_RUN, 0,                                \
     "the endpoint rejected the request")                                                          \
  X (OUTCOME_UNKNOWN, -18, "outcome_unknown", 502, 7, UNKNOWN, 0,                                  \
     "the request was sent, its outcome is not known")                                             \
  X (STREAM_BROKEN, -19, "stream_broken", 502, 7, RAN, 0, "the endpoint's answer ended early")     \
  X (NOT_SETTLED, -20, "not_settled", 503, 7, RAN, 0,                                              \
     "the answer could not be settled and may be charged")                                         \
  X (TIMEOUT, -21, "timeout", 504, 7, UNKNOWN, 1, "no answer in time")                             \
  X (UNAVAILABLE, -22, "unavailable", 503, 7, UNKNOWN, 1, "the service is unavailable")            \
  X (RATE_LIMITED, -23, "rate_limited", 429, 7, NOT_RUN, 1, "the call rate is exhausted")          \
  X (PROTOCOL, -24, "protocol", 502, 8, UNKNOWN, 0, "the other side broke the protocol")           \
  X (SETTINGS, -25, "settings", 500, 2, NOT_RUN, 0, "the settings are invalid")                    \
  X (IO, -26, "io", 500, 8, NOT_RUN, 0, "an input or output operation failed")                     \
  X (INTERNAL, -27, "internal", 500, 8, UNKNOWN, 0, "an internal invariant does not hold")         \
  X (REQUEST_RUNNING, -28, "request_running", 409, 3, UNKNOWN, 1,                                  \
     "a request with this idempotency key is running")                                             \
  X (ALREADY_ANSWERED, -29, "already_answered", 409, 3, RAN, 0,                                    \
     "the request with this idempotency key was answered")                                         \
  X (CLAIM_UNAVAILABLE, -30, "claim_unavailable", 503, 7, NOT_RUN, 2,                              \
     "a request that must run at most once cannot be claimed now")                                 \
  X (QUARANTINED, -31, "quarantined", 422, 2, NOT_RUN, 0,                                          \
     "endpoints failed under this request; it is not run again for now")                           \
  X (STARTING, -32, "starting", 503, 7, NOT_RUN, 1,                                                \
     "this router does not know its declarations and members yet")                                 \
  X (HISTORY_GONE, -33, "history_gone", 503, 7, NOT_RUN, 1,                                        \
     "the changes since the version asked for are no longer kept")                                 \
  X (SUSPENDED, -34, "suspended", 503, 7, NOT_RUN, 0,                                              \
     "endpoints failed under requests like this one; it is not run for now")                       \
  X (KEY_UNCHECKED, -35, "key_unchecked", 503, 7, NOT_RUN, 2,                                      \
     "those who may know of the idempotency key cannot be asked now")                              \
  X (OVERLOADED, -36, "overloaded", 503, 7, NOT_RUN, 1,                                            \
     "this router has more requests than it can handle")                                           \
  X (ORIGIN_UNKNOWN, -37, "origin_unknown", 503, 7, NOT_RUN, 1,                                    \
     "the software version that began the stream is not known")                                    \
  X (FORBIDDEN, -38, "forbidden", 403, 4, NOT_RUN, 0, "the platform does not permit the call")     \
  X (ROUTES_STALE, -39, "routes_stale", 503, 7, NOT_RUN, 1,                                        \
     "this router may not know the latest declarations")                                           \
  X (ENDPOINTS_STALE, -40, "endpoints_stale", 503, 7, NOT_RUN, 1,                                  \
     "this router may not know which endpoints have left")                                         \
  X (EVACUATIONS_STALE, -41, "evacuations_stale", 503, 7, NOT_RUN, 1,                              \
     "this router may not know which data centres are evacuated")

typedef enum
{
#define DY_ERROR_ENUM(symbol, number, ...) DY_##symbol = (number),
  DY_ERROR_LIST (DY_ERROR_ENUM)
#undef DY_ERROR_ENUM
} DyError;

typedef struct
{
  int number;
  const char *kind;
  unsigned http_status;
  int exit_code;
  DyRunStatus run;
  uint32_t retry_after_s;
  const char *text;
} DyErrorInfo;

/* Returns the row of ERROR; for an unknown number, the row of DY_INTERNAL. */
const DyErrorInfo *dy_error_info (int error);

/* Returns the row whose kind is NAME, or NULL. */
const DyErrorInfo *dy_error_info_by_kind (const char *name);

/* Returns "not_run", "ran" or "unknown". */
const char *dy_run_status_name (DyRunStatus run);

#endif
