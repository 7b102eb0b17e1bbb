#ifndef DY_SERVICES_GATEWAY_RELAYS_H
#define DY_SERVICES_GATEWAY_RELAYS_H

/**
 * NAME
 *   relays - attempts that another router makes for this one
 *
 * DESCRIPTION
 *   A router that does not reach the endpoints has another one make the attempt: that one chooses
 *   the endpoint, sends the request and passes the answer on. All else stays where the caller is
 *   connected: budget, limits on attempts, resumed streams, the settlement.
 *
 *   A relayed attempt is never relayed again. The other router cancels it on request, when the
 *   connection between the two is lost and when the caller's time limit has passed. A router that
 *   stops begins none, and goes on with those that it has begun until its grace is over.
 *
 * FORMAT
 *   Messages of type DY_MESSAGE_RELAY with the number that the asking router gave the relay:
 *   open    to the other router, JSON: {"id", "service", "method", "target", "lines": [text],
 *           "body_bytes", "body_hash", "parts": [hex id], "prefix", "shared", "own",
 *           "version": text or null, "avoid": [endpoint id], "except": text or null, "account",
 *           "resume_from", "time_left_ms", "priority", "has_priority"}; 64-bit hashes and ids are
 *           hexadecimal
 *   body    the next bytes of the request's body; the request is sent once all have come
 *   cancel  no data
 *   placed  from the other router, JSON: {"endpoint", "version"}; the request is about to be sent
 *   head    JSON: {"status", "success": bool, "headers": [name, value, ...]}; not of an answer that
 *           the attempt rejects
 *   data    the next bytes of the answer's body
 *   end     JSON: {"complete": bool, "endpoint_error": bool, "outcome": number, "stops": bool};
 *           "stops": the other router did not begin the relay, as it stops
 *
 * ERRORS
 *   A relay belongs to the connection on which it was asked for, and holds it (peers.h): it
 *   outlasts a silence of the other router. It ends when the connection does, on cancel, or at the
 *   time limit of the request. If the connection is lost, the request may have run. If the other
 *   router has no endpoint for it, it did not.
 */

#include "services/gateway/gateway_attempt.h"
#include "services/gateway/gateway_plan.h"

#define DY_SERVICE_RELAYS "relays"

typedef struct DyRelays
{
  DyKernel *kernel;
  DyPeers *peers;
  DyGateway *gateway;
  DyReachability *reachability;
  uint64_t last_number; /* of the latest relay that this router asked for */
  GHashTable *calls;    /* number to a DyRelayCall, asked of other routers */
  GHashTable *served;   /* set of the relays that other routers asked for */
} DyRelays;

/* Adds the service "relays", whose interface is a DyRelays. */
void dy_relays_add_service (DyKernel *kernel, DyRelays *relays);

typedef struct
{
  const DyGatewayAttemptSpec *attempt;
  const DyGatewayPlan *plan;
  const char *version;      /* only endpoints of this software version; NULL: any */
  const char *const *avoid; /* ids of endpoints not to choose, NULL at the end */
  const char *except;       /* id of one that is never chosen; NULL: there is none */
} DyRelaySpec;

typedef struct
{
  /* The other router sends the request to an endpoint. */
  void (*placed) (void *ctx, const char *endpoint_id, const char *version);
  /* HEADERS are names and values in turn, NULL at the end. */
  void (*head) (void *ctx, unsigned status, bool is_success, const char *const *headers);
  /* As in DyGatewayAttemptWatcher. */
  bool (*data) (void *ctx, const char *data, size_t n);
  /* The other router is not heard from. Called once at most. */
  void (*silent) (void *ctx);
  /* The relay has ended and is invalid from then on. Not called after a cancel. */
  void (*done) (void *ctx, const DyGatewayAttemptResult *result);
} DyRelayWatcher;

typedef struct DyRelayCall DyRelayCall;

/* Asks the router PEER to make an attempt. Returns NULL if it cannot be asked. */
DyRelayCall *dy_relays_start (DyRelays *relays,
                              const char *peer,
                              const DyRelaySpec *spec,
                              const DyRelayWatcher *watcher,
                              void *ctx);

/* Frees the relays that are still open; to be called once their attempts were cancelled, which the
 * gateway does when it stops. */
void dy_relays_finish_calls (DyRelays *relays);

/* Returns the name of the other router, valid as long as the relay is. */
const char *dy_relay_call_peer (const DyRelayCall *call);

/* Ends the relay. Not to be called from the data callback. */
void dy_relay_call_cancel (DyRelayCall *call);

/* To be called from the data callback: ends the relay after it returns. */
void dy_relay_call_reject (DyRelayCall *call);

/* Goes on after the data callback has returned false. */
void dy_relay_call_resume (DyRelayCall *call);

/* relay_server.c: takes MESSAGE, a part of a relay that the router on LINK asks for. */
void dy_relays_serve (DyRelays *relays, uint64_t link, const DyMessage *message);

/* Cancels what the router on LINK, which is closed, has asked for. */
void dy_relays_end_link (DyRelays *relays, uint64_t link);

void dy_relays_free_served (gpointer data);

#endif
