#ifndef DY_SERVICES_OPERATORS_H
#define DY_SERVICES_OPERATORS_H

/**
 * NAME
 *   operators - the HTTP interface for operators and the platform's load balancer
 *
 * PROTOCOL
 *   GET  /metrics  counters in the Prometheus text exposition format 0.0.4
 *   GET  /healthz  200 while the process runs
 *   GET  /readyz   200 when the configuration (declarations, or a route table and an endpoint) and
 *                  the members are known and the router is not draining, else 503
 *   GET  /status   {"node": text, "data_centre": text, "ready": bool, "draining": bool,
 *                  "config_version": number, "members": number}
 *   GET  /dump     the state of all services as a JSON object
 *   POST /drain    202, and starts a graceful shutdown
 *
 * ERRORS
 *   404 for any other method and path, 413 for a body above 4096 bytes.
 */

#include "kernel/kernel.h"
#include "net/http_server.h"
#include "services/peers/peers.h"

#define DY_SERVICE_OPERATORS "operators"

typedef struct
{
  DyKernel *kernel;
  DyPeers *peers;
  DyHttpServer server;
  bool (*ready) (const void *ctx); /* whether the configuration is known; set by the daemon */
  const void *ready_ctx;
  void (*drain) (void *ctx); /* starts a graceful shutdown; set by the daemon */
  void *drain_ctx;
} DyOperators;

/* Adds the service "operators", whose interface is a DyOperators. */
void dy_operators_add_service (DyKernel *kernel, DyOperators *operators);

/* Returns whether the load balancer may send requests to this router. */
bool dy_operators_ready (const DyOperators *operators);

#endif
