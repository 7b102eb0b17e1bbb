#ifndef DY_CORE_ROUTING_H
#define DY_CORE_ROUTING_H

/**
 * NAME
 *   routing - which endpoint gets the next attempt
 *
 * DESCRIPTION
 *   Of two random endpoints of the model the less loaded one wins; those in the own data centre go
 *   first. Load is the router's own attempts in flight plus the endpoint's last report, which
 *   counts less the older it is. A breaker keeps work from an endpoint that fails repeatedly and
 *   lets single probes through after a delay. A leaving endpoint gets nothing new.
 */

#include "core/backoff.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef enum
{
  DY_ENDPOINT_ENGINE,
  DY_ENDPOINT_SERVICE,
} DyEndpointKind;

typedef enum
{
  DY_BREAKER_CLOSED,
  DY_BREAKER_OPEN,
  DY_BREAKER_PROBING,
} DyBreakerState;

typedef struct
{
  char *name;
  char *url;
  char *data_centre;
  gchar **models; /* models of an engine, or one service name */
  DyEndpointKind kind;
  bool idempotent; /* of a service: calls may be repeated */
  bool declared_leaving;
  bool reported_leaving;
  uint32_t in_flight;
  double reported_load;
  int64_t reported_us;
  DyBreakerState breaker;
  uint32_t n_failures; /* in a row */
  int64_t open_until_us;
  DyBackoff backoff;
} DyEndpoint;

typedef struct
{
  char *data_centre;
  GRand *rng;
  GHashTable *by_name;  /* of DyEndpoint */
  GHashTable *by_model; /* model or service name to its candidates */
  GPtrArray *all;       /* of DyEndpoint, in no particular order */
} DyRouting;

typedef struct
{
  const char *name;
  const char *url;
  const char *data_centre;
  const char *const *models;
  DyEndpointKind kind;
  bool idempotent;
  bool leaving;
} DyEndpointSpec;

void dy_routing_init (DyRouting *routing, const char *data_centre, uint32_t seed);
void dy_routing_finish (DyRouting *routing);

/* Adds or updates an endpoint; its load and breaker stay. */
void dy_routing_put (DyRouting *routing, const DyEndpointSpec *spec);
void dy_routing_remove (DyRouting *routing, const char *name);

/* Returns whether any endpoint, accepting work or not, serves MODEL. */
bool dy_routing_serves (const DyRouting *routing, const char *model, DyEndpointKind kind);

/* Returns whether calls of the plain service NAME may be repeated at all its endpoints. */
bool dy_routing_idempotent (const DyRouting *routing, const char *name);

DyEndpoint *dy_routing_find (const DyRouting *routing, const char *name);

/* Picks the endpoint for the next attempt and counts it in flight. AVOID, a list of names that ends
 * in NULL, holds those tried already; they are picked only when there is no other. Returns NULL
 * when none accepts work. */
DyEndpoint *dy_routing_pick (DyRouting *routing,
                             const char *model,
                             DyEndpointKind kind,
                             const char *const *avoid,
                             int64_t now_us);

/* The attempt on the endpoint called NAME is over. Returns whether its breaker changed. */
bool dy_routing_done (DyRouting *routing, const char *name, bool failed, int64_t now_us);

/* Records a load report: LOAD is work in progress and waiting, in requests. */
void
dy_routing_report (DyRouting *routing, const char *name, double load, bool leaving, int64_t now_us);

#endif
