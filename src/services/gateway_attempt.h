#ifndef DY_SERVICES_GATEWAY_ATTEMPT_H
#define DY_SERVICES_GATEWAY_ATTEMPT_H

/**
 * NAME
 *   gateway_attempt - one send of a routed request to an endpoint
 *
 * DESCRIPTION
 *   Sends the caller's method, target, headers and body with the router's own headers, and
 *   classifies what comes back: a whole answer of this request, or what is known of one that is
 *   not. An answer with another request's id, without the endpoint's signature on a success, or
 *   with an encoded body is not the endpoint's answer to this request.
 */

#include "services/gateway.h"

typedef struct
{
  bool whole;               /* the endpoint's whole answer came */
  bool endpoint_error;      /* it tells a failure of the endpoint itself */
  bool crashed;             /* the endpoint ended the connection instead of answering */
  DyAttemptOutcome outcome; /* of an attempt that brought no whole answer */
} DyGatewayAttemptResult;

typedef struct
{
  /* Part of the answer's body; returns false to pause. */
  bool (*data) (void *ctx, const char *data, size_t n);
  /* The attempt is over and finished. */
  void (*done) (void *ctx, const DyGatewayAttemptResult *result);
} DyGatewayAttemptWatcher;

typedef struct
{
  DyHttpCall *call; /* of the caller */
  const char *request_id;
  const char *service;
  DyPromptWork work;
  DyAttemptHead head;
} DyGatewayAttemptSpec;

typedef struct
{
  DyGateway *gateway;
  DyPlacementEndpoint *placed;
  const DyGatewayAttemptWatcher *watcher;
  void *ctx;
  DyHttpTransfer *transfer;
  DyHttpCall *call;
  char *request_id;
  char *service;
  DyPromptWork work;
  GPtrArray *lines;   /* header lines sent, NULL at the end */
  GPtrArray *headers; /* names and values of the answer that are passed on */
  unsigned status;
  DyAnswerHead answer; /* its texts are not valid after the header was read */
  bool sent;           /* bytes may have reached the endpoint; known when it is over */
  bool paused;
  bool head_received;
  bool foreign;    /* the answer is not this request's */
  bool is_success; /* 2xx, sealed, of this request */
  bool was_read;   /* the endpoint has read the prompt */
} DyGatewayAttempt;

/* Starts an attempt at PLACED in the caller's memory. */
void dy_gateway_attempt_init (DyGatewayAttempt *attempt,
                              DyGateway *gateway,
                              DyPlacementEndpoint *placed,
                              const DyGatewayAttemptSpec *spec,
                              const DyGatewayAttemptWatcher *watcher,
                              void *ctx);

/* Frees the answer's headers, which outlive the attempt. */
void dy_gateway_attempt_finish (DyGatewayAttempt *attempt);

/* Returns whether bytes of the open attempt may have reached the endpoint. */
bool dy_gateway_attempt_was_sent (const DyGatewayAttempt *attempt);

/* The first event came. */
void dy_gateway_attempt_on_first_event (DyGatewayAttempt *attempt);

void dy_gateway_attempt_resume (DyGatewayAttempt *attempt);

/* Ends the attempt by closing its connection; END is what it tells of the endpoint. Not to be
 * called from the data callback. */
void dy_gateway_attempt_cancel (DyGatewayAttempt *attempt, DyPlacementOutcome end);

#endif
