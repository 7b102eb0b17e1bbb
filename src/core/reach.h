#ifndef DY_CORE_REACH_H
#define DY_CORE_REACH_H

/**
 * NAME
 *   reach - which routers reach the endpoints
 *
 * DESCRIPTION
 *   A router is out of reach of the endpoints if new connections to several of them fail and none
 *   works. It judges that by its own traffic and, once a connection has failed, by probes: one that
 *   works shows that the failure was the endpoint's. Connections that were opened earlier count for
 *   nothing, as they may live on.
 *
 *   A connection that is refused or reset, or never made, has failed for certain. One that is made
 *   and then silent may be cut, or its endpoint may go on after a while: as long as enough others
 *   have not failed for certain, the router is out only while another one says that it reaches the
 *   endpoints.
 *
 *   A router that is out, or may be, asks the others whether they reach the endpoints. What they
 *   say is valid for a short time. The router with the fewest open relays among those that do is
 *   chosen for a request that cannot leave here.
 *
 * UNITS
 *   Times are microseconds; the module reads no clock, the time is passed in as NOW_US.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  uint32_t min_failed;       /* endpoints that failed; fewer if fewer are known */
  int64_t window_us;         /* in which they failed */
  int64_t probe_interval_us; /* between probes */
  int64_t ask_interval_us;   /* between questions to the other routers */
  int64_t peer_valid_us;     /* time for which an answer is valid */
} DyReachPolicy;

extern const DyReachPolicy dy_reach_policy;

typedef enum
{
  DY_REACH_REFUSED, /* refused or reset */
  DY_REACH_UNMADE,  /* not made in time */
  DY_REACH_SILENT,  /* made, and silent */
} DyReachFailureKind;

typedef struct
{
  DyReachFailureKind kind;
  int64_t time_us;
} DyReachFailure;

typedef struct
{
  DyReachPolicy policy;
  bool is_out;
  bool is_certain;    /* enough connections failed for certain */
  int64_t changed_us; /* time of the latest change of is_out */
  GHashTable *failed; /* endpoint id to its latest failure, a DyReachFailure, since one worked */
  int64_t silent_us;  /* time of the latest silence since one worked */
  int64_t probed_us;  /* time of the latest probe */
  int64_t asked_us;   /* time of the latest question */
  GHashTable *peers;  /* router name to what it says */
} DyReach;

void dy_reach_init (DyReach *reach, const DyReachPolicy *policy);
void dy_reach_finish (DyReach *reach);

/* Records that an endpoint was silent, which may be its own slowness: probes are to show. */
void dy_reach_record_silence (DyReach *reach, int64_t now_us);

/* Records that a new connection to ENDPOINT failed; N_ENDPOINTS are known.
 * Returns whether the router is out from now on and was not before. */
bool dy_reach_record_failure (DyReach *reach,
                              const char *endpoint,
                              DyReachFailureKind kind,
                              uint32_t n_endpoints,
                              int64_t now_us);

/* Records that a new connection to an endpoint worked. Returns whether the router was out before.
 */
bool dy_reach_record_success (DyReach *reach, int64_t now_us);

/* Returns whether a probe of an endpoint is due, and counts it as made. */
bool dy_reach_take_probe (DyReach *reach, int64_t now_us);

/* Returns whether ENDPOINT failed since one worked. */
bool dy_reach_has_failed (const DyReach *reach, const char *endpoint);

/* Returns whether the other routers are to be asked, and counts that as done. */
bool dy_reach_take_question (DyReach *reach, int64_t now_us);

/* Records that the router NAME says whether it is out. */
void dy_reach_record_peer (DyReach *reach, const char *name, bool is_out, int64_t now_us);

/* Returns the router to relay a request through, or NULL if none is known to reach the endpoints.
 * Leaves out those for which USABLE returns false. */
const char *dy_reach_choose_peer (const DyReach *reach,
                                  bool (*usable) (void *ctx, const char *name),
                                  void *ctx,
                                  int64_t now_us);

/* Counts a relay that begins or ends at the router NAME. */
void dy_reach_begin_relay (DyReach *reach, const char *name);
void dy_reach_end_relay (DyReach *reach, const char *name);

#endif
