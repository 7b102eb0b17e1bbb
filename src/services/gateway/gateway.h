#ifndef DY_SERVICES_GATEWAY_GATEWAY_H
#define DY_SERVICES_GATEWAY_GATEWAY_H

/**
 * NAME
 *   gateway - the HTTP interface for callers whose requests are routed by host and path
 *
 * DESCRIPTION
 *   A request is matched to a route by its host and path and to a client account by its bearer key.
 *   If it states token counts and the account is prepaid, its tokens are reserved before it is sent
 *   to an endpoint. The endpoint's answer is passed on to the caller.
 *
 *   Readiness is served at a second address: its ready path is answered 200 while the router is
 *   ready, and not out of rotation for its load, 503 otherwise.
 */

#include "core/crash_evidence.h"
#include "core/resend.h"
#include "core/return_schedule.h"
#include "kernel/kernel.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "services/budgets.h"
#include "services/endpoints/cold_endpoints.h"
#include "services/endpoints/directory.h"
#include "services/endpoints/endpoint_limits.h"
#include "services/endpoints/endpoint_notices.h"
#include "services/endpoints/link_probe.h"
#include "services/endpoints/reachability.h"
#include "services/gateway/shedding.h"
#include "services/origins.h"
#include "services/part_blocks.h"
#include "services/registration.h"
#include "services/request_blocks.h"

#define DY_SERVICE_GATEWAY "gateway"

typedef struct
{
  DyKernel *kernel;
  const DyDialect *dialect;
  DyDirectory *directory;
  DyBudgets *budgets;
  DyPartBlocks *part_blocks;
  DyRequestBlocks *request_blocks;
  DyEndpointLimits *limits;
  DyColdEndpoints *cold;
  DyEndpointNotices *notices;
  DyOrigins *origins;
  bool holds_events; /* a request's first event waits for dy_origins_may_begin() */
  DyReachability *reachability;
  const DyRegistration *registration;
  DyShedding *shedding;
  struct DyRelays *relays;
  DyHttpServer server;
  DyHttpServer ready_server;
  DyHttpClient client;
  DyResendBudget resend_budget;
  DyReturnSchedule account_returns; /* of requests that found no budget free */
  DyReturnSchedule service_returns; /* of requests that found no endpoint free */
  DyCrashEvidence crash_evidence;
  DyLinkProbe crash_probe;
  char *crash_probed_id; /* endpoint of the probe in progress; else NULL */
  ev_timer crash_timer;  /* decides on failures; runs while there are any */
  GHashTable *requests;  /* set of the requests in progress */
  uint32_t n_room_waits; /* of them, those that wait for a place at an endpoint */
  /* Service name to the seconds for which its endpoints keep an idle connection. */
  GHashTable *max_idle_by_service;
  GRand *rng;
  int64_t drain_started_us; /* monotonic time at which the drain began; 0 before it */
  ev_timer tick;
  ev_timer stop_check; /* runs from the start of a drain until callers are no longer accepted */
} DyGateway;

/* Adds the service "gateway", whose interface is a DyGateway. */
void dy_gateway_add_service (DyKernel *kernel, DyGateway *gateway);

/* Returns whether requests may be sent by what this router knows now. If not, logs and counts that
 * the request ID was not sent at STEP. */
bool dy_gateway_may_send (const DyGateway *gateway, const char *id, const char *step);

/* Returns the number of parts of the slack of the resend budget, of which this router may use one;
 * 0: it has none. */
uint32_t dy_gateway_resend_parts (DyGateway *gateway);

/* Returns whether the drain has lasted so long that a new request might not end before the router
 * stops; new requests are then refused. */
bool dy_gateway_is_closing (const DyGateway *gateway);

/* Returns whether the router is ready for requests: it has a route table and endpoints, knows its
 * peers and is not draining. Its load is not considered. */
bool dy_gateway_ready (const DyGateway *gateway);

#endif
