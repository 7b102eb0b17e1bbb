#ifndef DY_SERVICES_ENDPOINTS_ENDPOINTS_H
#define DY_SERVICES_ENDPOINTS_ENDPOINTS_H

/**
 * NAME
 *   endpoints - sends attempts to engines and plain services, and polls their load
 *
 * DESCRIPTION
 *   An attempt is one HTTP request to one endpoint, chosen by the routing module. Engines serve the
 *   chat-completions API: POST URL/v1/chat/completions. Plain services take any method and path.
 *   Failed attempts are reported to the endpoint's circuit breaker, except those that the endpoint
 *   rejected as invalid.
 *
 *   The endpoints are polled for their load in turn: GET URL/load answers
 *   {"load": requests, "leaving": bool}.
 *
 * ERRORS
 *   A status of 429 means that the attempt did not run, and so does 503 from an engine. After a 503
 *   from a plain service the outcome is unknown.
 */

#include "core/retry.h"
#include "core/routing.h"
#include "kernel/kernel.h"
#include "net/http_client.h"

#define DY_SERVICE_ENDPOINTS "endpoints"

typedef struct DyAttempt DyAttempt;

typedef struct
{
  /* Part of the body of a successful answer. Returns false to pause until dy_attempt_resume(); the
   * same part is then delivered again. */
  bool (*data) (void *ctx, const char *data, size_t n);
  /* The attempt has ended and is no longer valid. If the endpoint left before the request was sent,
   * nothing is sent and OUTCOME is DY_ATTEMPT_NOT_SENT. OUTCOME says how it failed and holds only
   * if FAILED. STATUS is the endpoint's HTTP status, 0 if no answer began. */
  void (*done) (void *ctx, bool failed, DyAttemptOutcome outcome, unsigned status);
} DyAttemptWatcher;

typedef struct
{
  DyKernel *kernel;
  DyRouting routing;
  DyHttpClient client;
  GHashTable *attempts; /* set of the DyAttempts in progress */
  GHashTable *polls;    /* set of the load polls in progress */
  guint next_poll;      /* modulo the number of endpoints: index of the next one to poll */
  ev_timer poll_timer;
} DyEndpoints;

typedef struct
{
  const char *model; /* name of the model or of the plain service */
  DyEndpointKind kind;
  /* Names of endpoints to use only if there is no other, NULL at the end; may be NULL. */
  const char *const *avoid;
  const char *method;
  const char *path; /* appended to the endpoint's URL */
  const char *body;
  size_t n_body;
} DyAttemptSpec;

/* Adds the service "endpoints", whose interface is a DyEndpoints. */
void dy_endpoints_add_service (DyKernel *kernel, DyEndpoints *endpoints);

/* Starts an attempt. Returns NULL if no endpoint accepts work; WATCHER is then not called. */
DyAttempt *dy_endpoints_start (DyEndpoints *endpoints,
                               const DyAttemptSpec *spec,
                               const DyAttemptWatcher *watcher,
                               void *ctx);

/* Returns the name of the attempt's endpoint. */
const char *dy_attempt_endpoint (const DyAttempt *attempt);

/* Continues an attempt that the data callback paused. */
void dy_attempt_resume (DyAttempt *attempt);

/* Ends the attempt by closing its connection, which cancels the engine's work; WATCHER's done is
 * not called. FAILED: count the attempt as a failure of the endpoint. Not to be called from the
 * data callback. */
void dy_attempt_cancel (DyAttempt *attempt, bool failed);

#endif
