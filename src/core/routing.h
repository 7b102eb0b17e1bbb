#ifndef DY_CORE_ROUTING_H
#define DY_CORE_ROUTING_H

/**
 * NAME
 *   routing - load balancing and circuit breaking between the endpoints of a model or service
 *
 * DESCRIPTION
 *   Each attempt goes to the less loaded of two random endpoints of the model, first among those in
 *   the router's own data centre, then among the others. The load of an endpoint is the number of
 *   the router's own attempts in flight plus the load that the endpoint last reported, which decays
 *   exponentially with its age.
 *
 *   A circuit breaker opens when several consecutive attempts at an endpoint fail. While it is
 *   open, the endpoint gets no attempts. After a random delay it lets a single attempt through as
 *   a probe, which closes it or, if it fails too, opens it again with a longer delay on average.
 *
 *   A leaving endpoint gets no new attempts.
 *
 * UNITS
 *   Microseconds where a name ends in _us; load is a number of requests.
 */

#include "core/backoff.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef enum
{
  DY_ENDPOINT_ENGINE,  /* serves models */
  DY_ENDPOINT_SERVICE, /* serves one plain HTTP service */
} DyEndpointKind;

typedef enum
{
  DY_BREAKER_CLOSED,
  DY_BREAKER_OPEN,
  DY_BREAKER_PROBING, /* half-open: one attempt is in flight as a probe */
} DyBreakerState;

typedef struct
{
  char *name;
  char *url;
  char *data_centre;
  gchar **models; /* NULL-terminated: the models of an engine, or one service name */
  DyEndpointKind kind;
  bool idempotent;       /* of a service: its calls may be retried */
  bool declared_leaving; /* by the operator's configuration */
  bool reported_leaving; /* by its latest load report */
  uint32_t in_flight;    /* attempts of this router */
  double reported_load;  /* requests running and waiting there */
  int64_t reported_us;   /* time of its latest load report; 0: none */
  DyBreakerState breaker;
  uint32_t n_failures;   /* consecutive */
  int64_t open_until_us; /* when an open breaker lets a probe through */
  DyBackoff backoff;     /* delays of the breaker */
} DyEndpoint;

typedef struct
{
  char *data_centre;
  GRand *rng;
  GHashTable *by_name;  /* name to its DyEndpoint, owned */
  GHashTable *by_model; /* model or service name to its endpoints */
  GPtrArray *all;       /* of DyEndpoint, in no particular order */
} DyRouting;

/* What is declared of an endpoint; the fields are those of DyEndpoint. */
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

/* Adds or updates an endpoint and copies the strings of SPEC. An update leaves load and breaker as
 * they are. */
void dy_routing_put (DyRouting *routing, const DyEndpointSpec *spec);

/* Removes and frees the endpoint NAME, if there is one. */
void dy_routing_remove (DyRouting *routing, const char *name);

/* Returns whether any endpoint of KIND serves MODEL, including one that is leaving or whose breaker
 * is open. */
bool dy_routing_serves (const DyRouting *routing, const char *model, DyEndpointKind kind);

/* Returns whether calls of the plain service NAME may be retried at each of its endpoints. */
bool dy_routing_idempotent (const DyRouting *routing, const char *name);

/* Returns the endpoint NAME, or NULL. */
DyEndpoint *dy_routing_find (const DyRouting *routing, const char *name);

/* Picks the endpoint for the next attempt and counts the attempt as in flight, until
 * dy_routing_done(). AVOID (may be NULL) is a NULL-terminated list of names already tried, which
 * are picked only if no other endpoint accepts work. Returns NULL if none does. */
DyEndpoint *dy_routing_pick (DyRouting *routing,
                             const char *model,
                             DyEndpointKind kind,
                             const char *const *avoid,
                             int64_t now_us);

/* Records the end of an attempt at the endpoint NAME, which may have been removed meanwhile.
 * Returns whether the breaker opened or closed; false if a failed probe opened it again. */
bool dy_routing_done (DyRouting *routing, const char *name, bool failed, int64_t now_us);

/* Records a load report of the endpoint NAME: LOAD is the number of requests running and waiting
 * there, LEAVING whether it is to get no new ones. */
void
dy_routing_report (DyRouting *routing, const char *name, double load, bool leaving, int64_t now_us);

#endif
