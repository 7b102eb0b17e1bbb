#ifndef DY_SERVICES_CLAIM_H
#define DY_SERVICES_CLAIM_H

/**
 * NAME
 *   claim - a platform object that lets a non-idempotent request run at most once in all routers
 *
 * DESCRIPTION
 *   The claim of an idempotency key is created before the request is sent to any endpoint. Its
 *   value identifies the run that created it; a router that finds the claim of another run must not
 *   run the request. When the reply to the creation is lost, the object is read back to see which
 *   run owns the claim.
 *
 *   Key: claims/ACCOUNT/HASH, with the hash of the idempotency key as 32 hexadecimal digits. Value:
 *   the incarnation of the router in 16 hexadecimal digits, "-", and the request's number.
 *
 * ERRORS
 *   DY_OUTCOME_UNKNOWN    another run owns the claim
 *   DY_CLAIM_UNAVAILABLE  the platform does not reply; the request must not be sent
 */

#include "core/message.h"
#include "services/platform.h"

#define DY_CLAIM_PREFIX "claims/"

typedef void (*DyClaimDone) (void *ctx, int error);

typedef struct
{
  DyPlatform *platform;
  char *key;        /* of the object */
  char *owner;      /* id of the run, the object's value */
  uint64_t version; /* of the object; 0: none */
  bool taken;       /* this run owns the claim */
  bool open;        /* a call is in progress */
  bool dropped;     /* freed by its user while a call was in progress */
  uint32_t n_tries;
  DyClaimDone done;
  void *ctx;
} DyClaim;

/* Returns a new claim, not yet taken, on KEY of ACCOUNT for the run ID. */
DyClaim *dy_claim_new (DyPlatform *platform,
                       const char *account,
                       const DyKeyHash *key,
                       const DyRequestId *id);

/* Creates the claim object and calls DONE from the event loop with DY_OK or an error above. */
void dy_claim_take (DyClaim *claim, DyClaimDone done, void *ctx);

/* Frees the claim, after its call in progress if there is one; no callback follows. If this run
 * owns the object, it is deleted when REMOVE is set or its creation was in progress. The request
 * certainly did not run then, so a later run is allowed. */
void dy_claim_free (DyClaim *claim, bool remove);

#endif
