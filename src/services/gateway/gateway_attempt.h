#ifndef DY_SERVICES_GATEWAY_GATEWAY_ATTEMPT_H
#define DY_SERVICES_GATEWAY_GATEWAY_ATTEMPT_H

/**
 * NAME
 *   gateway_attempt - one attempt to run a routed request at an endpoint
 *
 * DESCRIPTION
 *   Sends the caller's method, target, headers and body with the router's own headers, and
 *   classifies the result: a complete answer to this request or, without one, whether the endpoint
 *   may have run the request.
 *
 *   An answer with another request's id is rejected, and so is a success (2xx) that lacks the
 *   request's id or the endpoint's signature, or whose body is encoded: it is not the endpoint's
 *   answer to this request. Any other answer that lacks the request's id is taken only on a
 *   connection that has carried no other request. Nothing that a rejected answer states is used.
 *
 *   If the endpoint leaves after it was chosen and before the request is sent, the attempt ends
 *   without sending it. Likewise if what is known has grown too old by then, or if the endpoint has
 *   become cold and this router has no share left.
 */

#include "services/gateway/gateway.h"

typedef struct
{
  bool complete;          /* the endpoint's answer is complete */
  bool endpoint_error;    /* its status, 500 or above, reports a failure of the endpoint */
  bool is_new_connection; /* opened for the attempt */
  bool crashed;           /* the connection broke before the answer was complete */
  /* Not sent: after it was chosen the endpoint left, or may have, asked for a wait, or is cold. */
  bool endpoint_left;
  DyAttemptOutcome outcome; /* of an attempt without a complete answer */
} DyGatewayAttemptResult;

typedef struct
{
  /* A relayed attempt is about to be sent to an endpoint. NULL for attempts that are not relayed.
   */
  void (*placed) (void *ctx, const char *endpoint_id);
  /* The answer's header was received and is in the attempt. May be NULL. */
  void (*head) (void *ctx);
  /* Takes part of the answer's body. Returns false to pause; after dy_gateway_attempt_resume() the
   * same part is delivered again. */
  bool (*data) (void *ctx, const char *data, size_t n);
  /* The attempt is about to be sent; it may have waited for a connection until now. May be NULL. */
  void (*ready) (void *ctx);
  /* The router that makes a relayed attempt is not heard from. May be NULL. */
  void (*silent) (void *ctx);
  /* The attempt has ended and can be initialised again. Not called after a cancel. */
  void (*done) (void *ctx, const DyGatewayAttemptResult *result);
} DyGatewayAttemptWatcher;

/* The part of a caller's request that is forwarded. */
typedef struct
{
  const char *method;
  const char *target;
  const char *body;
  size_t n_body;
  const char *const *lines; /* headers, "Name: value" as libcurl takes them, NULL at the end */
} DyForwardedRequest;

typedef struct
{
  const DyForwardedRequest *forwarded; /* only read until dy_gateway_attempt_init() returns */
  const char *request_id;              /* empty: none */
  const char *service;
  DyPromptWork work;
  DyAttemptHead head;
  bool new_connection; /* to the endpoint, of an attempt that is not relayed */
} DyGatewayAttemptSpec;

typedef struct
{
  DyGateway *gateway;
  DyPlacementEndpoint *endpoint;
  const DyGatewayAttemptWatcher *watcher;
  void *ctx;
  DyHttpTransfer *transfer;
  struct DyRelayCall *relay; /* in place of TRANSFER if another router makes the attempt */
  char *endpoint_id;         /* valid until the next attempt; of a relay, NULL until it is known */
  char *version;             /* of the endpoint's software; valid and known as ENDPOINT_ID */
  char *request_id;          /* empty: none */
  char *service;
  DyPromptWork work;
  int64_t start_ms;   /* start time of the endpoint when it was chosen; of a relay 0 */
  int64_t placed_us;  /* monotonic time at which the endpoint was chosen */
  int64_t send_us;    /* time from then to the sending, once the attempt has ended; -1: not sent */
  GPtrArray *lines;   /* "Name: value" lines sent, NULL at the end */
  GPtrArray *headers; /* of the answer, for the caller: names and values in turn */
  unsigned status;
  DyAnswerHead answer; /* its texts are invalid once the header has been handled */
  bool sent;           /* bytes may have reached the endpoint; set when the attempt ends */
  bool cold_reserved;  /* it has a place in this router's share of a cold endpoint */
  bool endpoint_left;  /* nothing was sent, as the endpoint has left, or may have */
  bool paused;
  bool head_received; /* the answer's header has been received */
  bool foreign;       /* the answer is rejected: it is not the endpoint's to this request */
  bool is_success;    /* 2xx and not rejected */
  bool prompt_read;   /* the endpoint has processed the prompt */
  bool was_paused;    /* the caller held the answer up, so that its events do not show the pace */
  uint64_t first_events;  /* events of the request once the answer's first ones had come */
  uint64_t n_events;      /* the same at the latest ones */
  int64_t first_event_us; /* monotonic time of the first ones; 0: none came */
  int64_t last_event_us;
} DyGatewayAttempt;

/* Returns the name of the router that makes the attempt, or NULL if it is not relayed or has ended.
 */
const char *dy_gateway_attempt_router (const DyGatewayAttempt *attempt);

/* Starts an attempt at ENDPOINT. ATTEMPT is zero-filled or has held an attempt that ended, whose
 * array of headers is reused. */
void dy_gateway_attempt_init (DyGatewayAttempt *attempt,
                              DyGateway *gateway,
                              DyPlacementEndpoint *endpoint,
                              const DyGatewayAttemptSpec *spec,
                              const DyGatewayAttemptWatcher *watcher,
                              void *ctx);

/* What a relayed attempt needs beyond its specification. */
typedef struct
{
  const char *peer; /* name of the router that is to make it */
  const struct DyGatewayPlan *plan;
  const char *version;      /* only endpoints of this software version; NULL: any */
  const char *const *avoid; /* ids of endpoints not to choose, NULL at the end */
  const char *except;       /* id of one that is never chosen; NULL: there is none */
} DyGatewayRelay;

/* Has another router make the attempt. Returns false, with nothing started, if it cannot be asked.
 */
bool dy_gateway_attempt_init_relayed (DyGatewayAttempt *attempt,
                                      DyGateway *gateway,
                                      const DyGatewayRelay *relay,
                                      const DyGatewayAttemptSpec *spec,
                                      const DyGatewayAttemptWatcher *watcher,
                                      void *ctx);

/* Returns the header lines of CALL that are forwarded, to be freed with g_ptr_array_unref(). */
GPtrArray *dy_gateway_forwarded_lines (const DyDialect *dialect, DyHttpCall *call);

/* Frees the answer's headers, which stay valid after the attempt has ended. */
void dy_gateway_attempt_finish (DyGatewayAttempt *attempt);

/* Returns whether bytes of the open attempt may have reached the endpoint. */
bool dy_gateway_attempt_was_sent (const DyGatewayAttempt *attempt);

/* To be called once the header was received: returns whether it is that of an answer to the
 * request, and not of a failure or a refusal. */
bool dy_gateway_attempt_is_answer (const DyGatewayAttempt *attempt);

/* Returns whether the header was received and states that the request did not run. */
bool dy_gateway_attempt_states_not_run (const DyGatewayAttempt *attempt);

/* Reports that the endpoint has processed the prompt, as the first event shows. */
void dy_gateway_attempt_on_first_event (DyGatewayAttempt *attempt);

/* To be called from the data callback: ends the attempt, whose answer is malformed or too long. */
void dy_gateway_attempt_reject (DyGatewayAttempt *attempt);

void dy_gateway_attempt_resume (DyGatewayAttempt *attempt);

/* Records that the request has had N_EVENTS events in all, some of which came now. */
void dy_gateway_attempt_on_events (DyGatewayAttempt *attempt, uint64_t n_events);

/* Ends the attempt by closing its connection; OUTCOME is reported to placement. Not to be called
 * from the data callback. */
void dy_gateway_attempt_cancel (DyGatewayAttempt *attempt, DyPlacementOutcome outcome);

#endif
