#ifndef DY_SERVICES_CALLERS_H
#define DY_SERVICES_CALLERS_H

/**
 * NAME
 *   callers - the HTTP interface for client accounts
 *
 * DESCRIPTION
 *   Calls are authenticated by their bearer key and checked before a request starts. Chat
 *   completions go to engines and are charged in tokens. Calls of plain services, which are HTTP
 *   services other than engines, are not charged.
 *
 * PROTOCOL
 *   POST /v1/chat/completions    chat completions, as one JSON object or server-sent events
 *   ANY  /v1/services/NAME/PATH  any method, passed on to /PATH of the plain service NAME
 *   GET  /v1/models              the models that the account may use
 *   Authorization: Bearer KEY    required
 *   Idempotency-Key: KEY         identifies retries of a request; 1 to 255 bytes
 *   Idempotent: no               the request must run at most once; an Idempotency-Key is required
 *
 * ERRORS
 *   {"error": {"kind": text, "message": text, "run": "not_run"|"ran"|"unknown",
 *   "retry_after_s": number}} with the HTTP status of the kind, or as the last event of a stream
 *   that was begun. retry_after_s is 0 if a retry does not help; else an answer that consists of
 *   the error has the same number in its Retry-After header.
 */

#include "core/admission.h"
#include "core/retry.h"
#include "kernel/kernel.h"
#include "net/http_server.h"
#include "services/budgets.h"
#include "services/config.h"
#include "services/endpoints/endpoints.h"

#define DY_SERVICE_CALLERS "callers"

typedef struct
{
  DyKernel *kernel;
  DyConfig *config;
  DyBudgets *budgets;
  DyEndpoints *endpoints;
  DyHttpServer server;
  DyRetryBudget retry_budget;
  DyAdmission admission;
  ev_timer tick;
  GHashTable *requests; /* set of the requests in progress */
} DyCallers;

/* Adds the service "callers", whose interface is a DyCallers. */
void dy_callers_add_service (DyKernel *kernel, DyCallers *callers);

/* Returns the JSON text of ERROR with DETAIL (may be empty), to be freed with free(). */
char *dy_callers_error_json (int error, const char *detail);

/* Answers CALL with ERROR. */
void dy_callers_refuse (DyCallers *callers, DyHttpCall *call, int error, const char *detail);

#endif
