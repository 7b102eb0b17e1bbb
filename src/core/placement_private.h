#ifndef DY_CORE_PLACEMENT_PRIVATE_H
#define DY_CORE_PLACEMENT_PRIVATE_H

/**
 * NAME
 *   placement_private - what the files of core/placement share
 *
 * DESCRIPTION
 *   placement.c             endpoints and what is set of them
 *   placement_choice.c      prediction of the wait at an endpoint, and choice by it
 *   placement_even.c        prediction and draw for even load
 *   placement_end.c         requests in flight, load reports and circuit breakers
 *   placement_evacuation.c  endpoints of data centres that are evacuated, or return
 */

#include "core/endpoint_speed.h"
#include "core/load_estimate.h"
#include "core/placement.h"

enum
{
  /* Time for which a full endpoint gets nothing: about that of one answer, which frees a slot. */
  DY_PLACEMENT_FULL_US = 50 * 1000,
};

/* What is known of a service as a whole, for even load. */
typedef struct
{
  DyServiceLoad load;
  DyServicePace pace;
  int64_t memory_tokens; /* that an endpoint has for prompts and answers; 0: not limited */
  double request_tokens; /* moving average of what a request needs of it */
} DyPlacementService;

struct DyPlacementEndpoint
{
  char *id;
  char *service;
  char *address;
  char *data_centre;
  char *version; /* see dy_placement_endpoint_version() */
  uint32_t slots;
  int64_t start_ms;
  bool leaving;
  bool removed;
  bool evacuated;          /* its data centre is */
  int64_t returned_us;     /* end of the evacuation of its data centre; INT64_MIN / 2: none */
  bool held_back;          /* returning, and not for the request that is being placed */
  uint32_t n_references;   /* one of the table by_id and one of each request in flight */
  uint32_t in_flight;      /* requests of this router */
  uint32_t share;          /* most of them at a time; UINT32_MAX: not limited */
  int64_t pending_tokens;  /* own_tokens of the prompts in flight that it has not processed */
  uint32_t other_requests; /* requests of other routers, by its latest load report */
  int64_t reported_us;     /* time of its latest load report; 0: none */
  DyEndpointSpeed speed;
  int64_t held_tokens;   /* memory that requests in flight need at most */
  uint32_t n_failures;   /* consecutive */
  int64_t wait_until_us; /* it wants no request of this router before */
  int64_t open_until_us; /* its circuit breaker is open until then */
  bool is_silent;        /* it was opened because the endpoint was silent, and may go on */
  GHashTable *cached;    /* prefix hash to the time of its latest use */
};

/* An endpoint that may be chosen, with even load. */
typedef struct
{
  DyPlacementEndpoint *endpoint;
  double us;        /* predicted wait */
  double load;      /* estimated requests there */
  double deviation; /* standard deviation of the load */
  double age_us;    /* of its load report, see dy_service_load_age_us() */
  double slowdown;  /* see core/endpoint_speed.h */
  bool local;       /* in this router's data centre */
  bool cached;      /* it has the prefix */
  bool full;        /* its memory for tokens is estimated to be full */
} DyPlacementCandidate;

/* Returns the mean load that others put on an endpoint of SERVICE, which has N_ENDPOINTS. */
double dy_placement_mean_load (DyPlacement *placement,
                               const char *service,
                               uint32_t n_endpoints,
                               int64_t now_us);

/* Predicts the wait for WORK at ENDPOINT; MEAN is of dy_placement_mean_load(), and CACHED whether
 * the endpoint has the prefix. */
DyPlacementCandidate dy_placement_predict (DyPlacement *placement,
                                           DyPlacementEndpoint *endpoint,
                                           double mean,
                                           const DyPromptWork *work,
                                           bool cached,
                                           int64_t now_us);

/* Draws one of the N CANDIDATES, at least one, and changes their order. IS_FIRST: the request was
 * not sent to any endpoint before. */
const DyPlacementCandidate *dy_placement_draw (DyPlacement *placement,
                                               DyPlacementCandidate *candidates,
                                               uint32_t n,
                                               double mean,
                                               bool is_first);

/* Returns what is known of the service NAME. */
DyPlacementService *dy_placement_service (DyPlacement *placement, const char *name);

/* Drops a reference of ENDPOINT, a DyPlacementEndpoint, and frees it with the last one. */
void dy_placement_endpoint_unref (gpointer endpoint);

/* Returns whether ENDPOINT may not be chosen, whatever the request and its breaker. */
static inline bool
dy_placement_is_closed (const DyPlacementEndpoint *endpoint)
{
  return endpoint->leaving || endpoint->evacuated || endpoint->held_back;
}

/* Sets what the evacuation of its data centre, if there is one, means for ENDPOINT. */
void dy_placement_apply_evacuation (const DyPlacement *placement, DyPlacementEndpoint *endpoint);

/* Decides whether QUERY may use endpoints that return after an evacuation, and closes them if not
 * until dy_placement_end_hold_back(). */
void dy_placement_hold_back (DyPlacement *placement, const DyPlacementQuery *query, int64_t now_us);
void dy_placement_end_hold_back (DyPlacement *placement, const DyPlacementQuery *query);

#endif
