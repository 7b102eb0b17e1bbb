#ifndef DY_CORE_PLACEMENT_H
#define DY_CORE_PLACEMENT_H

/**
 * NAME
 *   placement - load- and prefix-cache-aware choice of the endpoint for a request
 *
 * DESCRIPTION
 *   For each endpoint of the service, the wait until it answers is predicted from the router's own
 *   requests in flight there, the load that the endpoint reported with an earlier answer, the
 *   prompt tokens that it would have to process and its data centre. The shortest predicted wait
 *   wins; of equal ones, a random one.
 *
 *   Each shared prompt prefix has an affinity endpoint, which is taken to have the prefix in its
 *   cache. It is the one with the highest rendezvous hash, so routers that see the same endpoints
 *   in service agree on it without exchanging messages. Another endpoint is chosen when the wait at
 *   the affinity endpoint exceeds the cost of processing the prefix again elsewhere.
 *
 *   Each endpoint has a circuit breaker, which opens when requests fail there and stays open for a
 *   delay that doubles with each further failure. If the breakers of all endpoints are open, the
 *   endpoint whose breaker closes first is chosen. An endpoint that is leaving or was removed is
 *   never chosen.
 *
 *   Nor is one whose data centre is evacuated (core/evacuations.h), which keeps its requests, its
 *   breaker and its cached prefixes. When the evacuation ends, requests that other endpoints can
 *   take use it in a ramp only.
 *
 *   With even load, the choice does not trust old reports. What others have at an endpoint is
 *   estimated (core/load_estimate.h), and slow endpoints count as such (core/endpoint_speed.h). The
 *   endpoint is drawn, such that the requests that all routers send until there are newer reports
 *   bring the shortest waits to a common level. So routers that choose at the same moment don't all
 *   choose the same. Endpoints with few requests of this router are preferred, as these are known
 *   for certain. An endpoint that lacks the prefix does not stand in for one that has it. One in
 *   another data centre that lacks the prefix gets nothing while one in the own data centre may
 *   have a free slot; requests that were sent before may go there. Nor does one whose memory for
 *   tokens is estimated to be full, unless all are.
 *
 * UNITS
 *   Microseconds where a name ends in _us. The module reads no clock; the time is passed in
 *   as NOW_US.
 */

#include "core/endpoint_record.h"
#include "core/evacuations.h"

#include <glib.h>

typedef struct DyPlacementEndpoint DyPlacementEndpoint;

typedef struct
{
  int64_t ns_per_prompt_token;
  int64_t us_per_running;       /* delay added by each request in an engine's batch */
  int64_t us_cross_data_centre; /* delay added by an endpoint in another data centre */
  int64_t report_ttl_us;  /* age at which a load report is ignored; its weight falls linearly */
  int64_t cache_ttl_us;   /* time after its last use for which a prefix is taken to be cached */
  int64_t breaker_min_us; /* first delay of the circuit breaker */
  int64_t breaker_max_us; /* longest delay of the circuit breaker */
} DyPlacementPolicy;

/* The policy of the daemon. */
extern const DyPlacementPolicy dy_placement_policy;

/* Limits on the requests to single endpoints; the callbacks get the endpoint's id. */
typedef struct
{
  /* Returns whether a request may be sent now. */
  bool (*allows) (void *ctx, const char *id, int64_t now_us);
  /* Returns whether the endpoint is to get the next request. May be NULL. */
  bool (*is_due) (void *ctx, const char *id, int64_t now_us);
  /* A request is sent. May be NULL. */
  void (*record_sent) (void *ctx, const char *id, int64_t now_us);
} DyPlacementGate;

enum
{
  DY_PLACEMENT_MAX_GATES = 4,
};

typedef struct
{
  DyPlacementPolicy policy;
  /* A request is sent only if all gates allow it. */
  struct
  {
    const DyPlacementGate *gate;
    void *ctx;
  } gates[DY_PLACEMENT_MAX_GATES];
  uint32_t n_gates;
  char *data_centre;
  GRand *rng;
  GHashTable *by_id;      /* endpoint id to its DyPlacementEndpoint, owned */
  GHashTable *by_service; /* service name to a GPtrArray of DyPlacementEndpoint */
  DyEvacuations evacuations;
  int64_t ramp_until_us; /* endpoints of a data centre may be returning until then */
  GHashTable *services;  /* service name to its DyPlacementService, owned */
  bool spread;           /* even load; see dy_placement_set_spread() */
  uint32_t n_routers;    /* of the fleet */
} DyPlacement;

/* The prompt of one request, as far as an endpoint has to process it. */
typedef struct
{
  uint64_t prefix_hash;  /* identifies the prefix shared with other prompts; 0: none */
  int64_t shared_tokens; /* in the shared prefix */
  int64_t own_tokens;    /* in the rest of the prompt */
  int64_t output_tokens; /* in the longest answer; 0: not stated */
} DyPromptWork;

typedef struct
{
  const char *service;
  DyPromptWork work;
  const char *const *avoid; /* NULL-terminated ids of endpoints not to choose; may be NULL */
  const char *version;      /* only endpoints of this software version; NULL: any */
} DyPlacementQuery;

/* How a request at an endpoint ended, seen as evidence of the endpoint's health. */
typedef enum
{
  DY_PLACEMENT_ANSWERED,
  DY_PLACEMENT_FULL,        /* it refused the request for lack of capacity */
  DY_PLACEMENT_FAILED,      /* no answer, an incomplete one, or an error status */
  DY_PLACEMENT_UNREACHABLE, /* no connection could be made */
  DY_PLACEMENT_MISDIRECTED, /* another endpoint has the address now */
  DY_PLACEMENT_CANCELLED,   /* the router cancelled it for a reason unrelated to the endpoint */
  DY_PLACEMENT_SILENT,      /* the router gave it up as it waited too long */
} DyPlacementOutcome;

void dy_placement_init (DyPlacement *placement,
                        const DyPlacementPolicy *policy,
                        const char *data_centre,
                        uint32_t seed);
void dy_placement_finish (DyPlacement *placement);

/* Adds or updates an endpoint; copies the strings of RECORD. A new start time closes the breaker
 * and clears the load report and the cached prefixes. */
void dy_placement_put (DyPlacement *placement, const DyEndpointRecord *record);

/* Sets whether the endpoint ID, if there is one, is leaving. dy_placement_put() sets it, too. */
void dy_placement_set_leaving (DyPlacement *placement, const char *id, bool leaving);

/* Sets the time before which the endpoint ID, if there is one, gets nothing, as it has asked for. A
 * new start ends that. */
void dy_placement_set_wait (DyPlacement *placement, const char *id, int64_t until_us);

/* Returns the time until the first endpoint of SERVICE may get a request, if all that are neither
 * leaving nor evacuated have asked for a wait; 0 if not. */
int64_t dy_placement_wait_us (const DyPlacement *placement, const char *service, int64_t now_us);

/* Returns how many requests this router may have in progress at the endpoint ID, which has SLOTS;
 * UINT32_MAX: any number. */
typedef uint32_t (*DyPlacementShare) (void *ctx, const char *id, uint32_t slots);

/* Limits the requests that this router has in progress at each endpoint of SERVICE to its SHARE;
 * NULL: not any longer. An endpoint that is new gets none until the next call. */
void dy_placement_set_shares (DyPlacement *placement,
                              const char *service,
                              DyPlacementShare share,
                              void *ctx);

/* Returns how many requests to SERVICE this router may have in progress by its shares; 0: none, or
 * it has no shares. */
uint32_t dy_placement_places (const DyPlacement *placement, const char *service);

/* Removes the endpoint ID, if there is one. Requests in flight keep their DyPlacementEndpoint. */
void dy_placement_remove (DyPlacement *placement, const char *id);

/* Sets whether DATA_CENTRE is evacuated, for endpoints that are known and those that follow.
 * Returns whether that changes anything. */
bool dy_placement_set_evacuated (DyPlacement *placement,
                                 const char *data_centre,
                                 bool evacuated,
                                 int64_t now_us);

/* Returns the number of endpoints of SERVICE (NULL: of all) in DATA_CENTRE, leaving ones included.
 */
uint32_t
dy_placement_count_in (const DyPlacement *placement, const char *service, const char *data_centre);

/* Returns the number of endpoints of SERVICE that are evacuated and not leaving. */
uint32_t dy_placement_count_evacuated (const DyPlacement *placement, const char *service);

/* Returns whether SERVICE has endpoints and all that are not leaving are evacuated. */
bool dy_placement_is_evacuated (const DyPlacement *placement, const char *service);

/* Returns the number of endpoints of SERVICE that are neither leaving nor evacuated, whatever their
 * breakers. */
uint32_t dy_placement_count (const DyPlacement *placement, const char *service);

/* Adds limits that dy_placement_choose() keeps beside those of other gates, unless GATE is there
 * already. */
void dy_placement_add_gate (DyPlacement *placement, const DyPlacementGate *gate, void *ctx);

/* Removes GATE, if it is there. */
void dy_placement_remove_gate (DyPlacement *placement, const DyPlacementGate *gate);

/* Returns the id of an endpoint that dy_placement_choose() has just passed over because of a
 * gate: the affinity endpoint of QUERY, or any if there was no other. Returns NULL if there is
 * none. */
const char *
dy_placement_gated (const DyPlacement *placement, const DyPlacementQuery *query, int64_t now_us);

/* Returns the endpoint with the shortest predicted wait, to be given to dy_placement_begin(), or
 * NULL if there is none. Sets PREDICTED_US (may be NULL) to the predicted wait, or to 0 if no
 * endpoint with a closed breaker was found; leaves it alone if the service has no endpoint. */
DyPlacementEndpoint *dy_placement_choose (DyPlacement *placement,
                                          const DyPlacementQuery *query,
                                          int64_t now_us,
                                          int64_t *predicted_us);

/* Returns whether an endpoint of SERVICE with VERSION is listed and has not said that it leaves. */
bool dy_placement_serves_version (const DyPlacement *placement,
                                  const char *service,
                                  const char *version);

/* Returns whether an endpoint with a closed breaker could be chosen for QUERY. */
bool dy_placement_has_choice (const DyPlacement *placement,
                              const DyPlacementQuery *query,
                              int64_t now_us);

/* Records that a request with WORK is sent to ENDPOINT, and keeps ENDPOINT valid until
 * dy_placement_end(). */
void dy_placement_begin (DyPlacement *placement,
                         DyPlacementEndpoint *endpoint,
                         const DyPromptWork *work,
                         int64_t now_us);

/* Records that the endpoint has processed the prompt of WORK, as its first event shows. */
void dy_placement_prompt_read (DyPlacementEndpoint *endpoint, const DyPromptWork *work);

/* Sets whether load is spread evenly, in a fleet of N_ROUTERS. */
void dy_placement_set_spread (DyPlacement *placement, bool spread, uint32_t n_routers);

/* Sets the tokens of prompts and answers for which an endpoint of SERVICE has memory; 0: not
 * limited. */
void dy_placement_set_memory (DyPlacement *placement, const char *service, int64_t memory_tokens);

/* Records the load that the endpoint reported: requests running and waiting, of all routers. */
void dy_placement_report (DyPlacement *placement,
                          DyPlacementEndpoint *endpoint,
                          uint32_t running,
                          uint32_t waiting,
                          int64_t now_us);

/* Records that the endpoint stated that work takes PERCENT of the usual time there now. */
void dy_placement_report_slowness (DyPlacementEndpoint *endpoint, uint32_t percent, int64_t now_us);

/* Records a complete answer, which took TIME_US from the choice of the endpoint on. US_PER_EVENT is
 * the mean time between its events; 0: not known. */
void dy_placement_record_answer (DyPlacement *placement,
                                 DyPlacementEndpoint *endpoint,
                                 int64_t time_us,
                                 double us_per_event,
                                 int64_t now_us);

/* Records the end of a request and drops its reference to ENDPOINT. PROMPT_READ is whether
 * dy_placement_prompt_read() was called for it. */
void dy_placement_end (DyPlacement *placement,
                       DyPlacementEndpoint *endpoint,
                       const DyPromptWork *work,
                       bool prompt_read,
                       DyPlacementOutcome outcome,
                       int64_t now_us);

/* Returns whether ENDPOINT is leaving, was removed or is evacuated, possibly after it was chosen:
 * it gets no request. */
bool dy_placement_endpoint_has_left (const DyPlacementEndpoint *endpoint);

/* Returns whether the data centre of ENDPOINT is evacuated. */
bool dy_placement_endpoint_is_evacuated (const DyPlacementEndpoint *endpoint);

/* Returns whether ENDPOINT has asked for a wait that is not over, possibly after it was chosen. */
bool dy_placement_endpoint_waits (const DyPlacementEndpoint *endpoint, int64_t now_us);

/* Returns the endpoint ID, or NULL if there is none. */
const DyPlacementEndpoint *dy_placement_find (const DyPlacement *placement, const char *id);

/* Returns any endpoint, for a probe of the link: if possible one that is not evacuated and for
 * which HAS_FAILED returns false. Returns NULL if there is none. */
const DyPlacementEndpoint *dy_placement_choose_for_probe (const DyPlacement *placement,
                                                          bool (*has_failed) (const void *ctx,
                                                                              const char *id),
                                                          const void *ctx);

const char *dy_placement_endpoint_id (const DyPlacementEndpoint *endpoint);
int64_t dy_placement_endpoint_start_ms (const DyPlacementEndpoint *endpoint);
const char *dy_placement_endpoint_address (const DyPlacementEndpoint *endpoint);
const char *dy_placement_endpoint_service (const DyPlacementEndpoint *endpoint);

/* Returns the software version of ENDPOINT. If its record states none, it is one that no other
 * endpoint and no other start of this one has. */
const char *dy_placement_endpoint_version (const DyPlacementEndpoint *endpoint);

/* Returns how slow ENDPOINT is, as a percentage of the usual time of work. */
uint32_t dy_placement_endpoint_slowness (const DyPlacementEndpoint *endpoint, int64_t now_us);

/* Returns how many endpoints take twice the usual time of work or longer. */
uint32_t dy_placement_slow_count (const DyPlacement *placement, int64_t now_us);

/* Returns the largest load that an endpoint has by this router's latest report of it, as a
 * percentage of the mean of its service: of all services with two reports of the last seconds or
 * more; 0: there is none. */
uint32_t dy_placement_busiest_percent (const DyPlacement *placement, int64_t now_us);

/* Calls VISIT for each endpoint with its service and version. */
void
dy_placement_visit_versions (const DyPlacement *placement,
                             void (*visit) (void *ctx, const char *service, const char *version),
                             void *ctx);

/* Calls VISIT for each endpoint with its id, service and this router's requests in flight;
 * BREAKER_OPEN is whether its circuit breaker is open. */
void dy_placement_visit (const DyPlacement *placement,
                         void (*visit) (void *ctx,
                                        const char *id,
                                        const char *service,
                                        uint32_t in_flight,
                                        bool breaker_open),
                         void *ctx,
                         int64_t now_us);

#endif
