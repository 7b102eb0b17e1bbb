#ifndef DY_SERVICES_GATEWAY_H
#define DY_SERVICES_GATEWAY_H

/**
 * NAME
 *   gateway - the HTTP interface for callers whose requests are routed by host and path
 *
 * DESCRIPTION
 *   Requests are matched to a route and a client account, reserved against the account's budget if
 *   they carry token counts, sent to an endpoint, and answered as the endpoint answered. A second
 *   address tells whether the router takes work.
 */

#include "core/quarantine.h"
#include "core/resend.h"
#include "kernel/kernel.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "services/budgets.h"
#include "services/directory.h"

#define DY_SERVICE_GATEWAY "gateway"

typedef struct
{
  DyKernel *kernel;
  const DyDialect *dialect;
  DyDirectory *directory;
  DyBudgets *budgets;
  DyHttpServer server;
  DyHttpServer ready_server;
  DyHttpClient client;
  DyResendBudget resends;
  DyQuarantine quarantine;
  GHashTable *requests;            /* all requests not over */
  GHashTable *max_idle_by_service; /* service to the seconds for which its endpoints keep idle
                                      connections */
  GRand *rng;
  int64_t drain_started_us; /* when the drain began */
  ev_timer tick;
} DyGateway;

/* The service "gateway", whose interface is a DyGateway. */
void dy_gateway_add_service (DyKernel *kernel, DyGateway *gateway);

/* An endpoint failed under a request with BODY_HASH, or one got a whole answer; other routers are
 * told. */
void dy_gateway_report_crash (DyGateway *gateway, uint64_t body_hash);
void dy_gateway_report_success (DyGateway *gateway, uint64_t body_hash);

/* Returns whether the router is so near to its end that new requests might not be over by then. */
bool dy_gateway_is_closing (const DyGateway *gateway);

/* Returns whether the router takes work. */
bool dy_gateway_ready (const DyGateway *gateway);

#endif
