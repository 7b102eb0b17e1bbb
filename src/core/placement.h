#ifndef DY_CORE_PLACEMENT_H
#define DY_CORE_PLACEMENT_H

/**
 * NAME
 *   placement - which endpoint of a service gets a request
 *
 * DESCRIPTION
 *   Each candidate's time until it would answer is predicted from the router's own requests in
 *   flight, the load that endpoints tell in their answers and the prompt tokens that they would
 *   have to read; the lowest wins. All routers agree without a message on the endpoint that caches
 *   the shared parts of a prompt: it has the highest rendezvous hash. Another one is taken when
 *   waiting there would cost more than reading these parts again.
 *
 *   An endpoint that fails is left out for a while that doubles; if all are left out, the one whose
 *   pause ends first is tried. A leaving or removed endpoint is never chosen.
 */

#include "core/endpoint_record.h"

#include <glib.h>

typedef struct DyPlacementEndpoint DyPlacementEndpoint;

typedef struct
{
  int64_t ns_per_prompt_token;
  int64_t us_per_running; /* delay by each request in an engine's batch */
  int64_t us_cross_data_centre;
  int64_t report_ttl_us;  /* age at which a load report counts nothing */
  int64_t cache_ttl_us;   /* time for which a prompt part is taken to be cached */
  int64_t breaker_min_us; /* first pause of a failing endpoint */
  int64_t breaker_max_us;
} DyPlacementPolicy;

/* The figures in use. */
extern const DyPlacementPolicy dy_placement_policy;

typedef struct
{
  DyPlacementPolicy policy;
  char *data_centre;
  GRand *rng;
  GHashTable *by_id;      /* of DyPlacementEndpoint */
  GHashTable *by_service; /* name to a GPtrArray of DyPlacementEndpoint */
} DyPlacement;

/* One request's work at an endpoint. */
typedef struct
{
  uint64_t prefix_hash;  /* of the shared parts of its prompt; 0: none */
  int64_t shared_tokens; /* in these parts */
  int64_t own_tokens;    /* in the rest of the prompt */
} DyPromptWork;

typedef struct
{
  const char *service;
  DyPromptWork work;
  const char *const *avoid; /* ids, NULL at the end; may be NULL */
} DyPlacementQuery;

/* How a request at an endpoint ended, as far as it tells something of the endpoint. */
typedef enum
{
  DY_PLACEMENT_ANSWERED,
  DY_PLACEMENT_FULL,        /* it refused the request as it has no room */
  DY_PLACEMENT_FAILED,      /* no answer, a broken one, or an error */
  DY_PLACEMENT_UNREACHABLE, /* no connection */
  DY_PLACEMENT_MISDIRECTED, /* another endpoint has the address */
  DY_PLACEMENT_CANCELLED,   /* the router ended it for another reason */
} DyPlacementOutcome;

void dy_placement_init (DyPlacement *placement,
                        const DyPlacementPolicy *policy,
                        const char *data_centre,
                        uint32_t seed);
void dy_placement_finish (DyPlacement *placement);

/* Adds or updates an endpoint. */
void dy_placement_put (DyPlacement *placement, const DyEndpointRecord *record);

/* Takes ID out of use. */
void dy_placement_remove (DyPlacement *placement, const char *id);

/* Returns the number of endpoints of SERVICE that may get work. */
uint32_t dy_placement_count (const DyPlacement *placement, const char *service);

/* Returns the best endpoint, to be given to dy_placement_begin(), or NULL when there is none;
 * PREDICTED_US (may be NULL) is set to its predicted wait. */
DyPlacementEndpoint *dy_placement_choose (DyPlacement *placement,
                                          const DyPlacementQuery *question,
                                          int64_t now_us,
                                          int64_t *predicted_us);

/* A request with WORK is sent to PLACED, which stays valid until dy_placement_end(). */
void dy_placement_begin (DyPlacement *placement,
                         DyPlacementEndpoint *placed,
                         const DyPromptWork *work,
                         int64_t now_us);

/* The endpoint has read the prompt of WORK: its first event came. */
void dy_placement_prompt_read (DyPlacementEndpoint *placed, const DyPromptWork *work);

/* The endpoint told its load. */
void dy_placement_report (DyPlacementEndpoint *placed,
                          uint32_t running,
                          uint32_t waiting,
                          int64_t now_us);

/* The request is over; WAS_READ tells whether dy_placement_prompt_read() was called for it. */
void dy_placement_end (DyPlacement *placement,
                       DyPlacementEndpoint *placed,
                       const DyPromptWork *work,
                       bool was_read,
                       DyPlacementOutcome end,
                       int64_t now_us);

const char *dy_placement_endpoint_id (const DyPlacementEndpoint *placed);
const char *dy_placement_endpoint_address (const DyPlacementEndpoint *placed);

/* Calls VISIT with each endpoint's id, service, requests in flight, and whether it is paused. */
void dy_placement_visit (
    const DyPlacement *placement,
    void (*visit) (void *ctx, const char *id, const char *service, uint32_t in_flight, bool paused),
    void *ctx,
    int64_t now_us);

#endif
