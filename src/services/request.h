#ifndef DY_SERVICES_REQUEST_H
#define DY_SERVICES_REQUEST_H

/**
 * NAME
 *   request - one request from its admission to the last part of its answer
 *
 * DESCRIPTION
 *   Waits for an admission slot, reserves the worst case in tokens, claims the idempotency key of a
 *   request that is not idempotent, sends attempts as the retry rules allow, relays the answer,
 *   settles, and then sends the last part of the answer.
 *
 *   A request that ends without a complete answer is not charged, unless its caller disconnected
 *   while the answer was streamed: then the tokens that the engine had produced are charged.
 */

#include "core/chat.h"
#include "services/callers.h"

typedef struct
{
  const DyClientAccount *account;
  bool idempotent;
  const char *key; /* the caller's idempotency key; may be NULL */
  DyEndpointKind kind;
  const char *target;  /* model, or name of a plain service */
  const char *path;    /* appended to the endpoint's URL */
  DyChatRequest *chat; /* the request takes ownership of its contents; NULL for a plain service */
} DyRequestSpec;

/* Starts a request that answers CALL. */
void dy_request_start (DyCallers *callers, DyHttpCall *call, const DyRequestSpec *spec);

/* Callbacks for admission; the context is a DyCallers, an item is a request. */
extern const DyAdmissionActions dy_request_admission_actions;

/* Frees the request KEY, a member of the callers' set, without an answer. */
void dy_request_free (gpointer key);

#endif
