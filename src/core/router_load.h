#ifndef DY_CORE_ROUTER_LOAD_H
#define DY_CORE_ROUTER_LOAD_H

/**
 * NAME
 *   router_load - whether a router gets more work than it can handle while others of its data
 *                 centre have room
 *
 * DESCRIPTION
 *   Handles the load that an uneven distribution of callers brings: the load balancer chooses a
 *   router by a hash of the caller, so one router may get many times the requests of the others.
 *
 *   The pressure of a router is a percentage of what it can handle: the highest one of its use of
 *   the processor, the part of the time for which its event loop is busy, the wait of requests for
 *   their handler, the longest turn of the loop, what waits to be sent, and, if one of these is at
 *   half of its limit, its open requests against those of the other routers. It is smoothed over
 *   about a second, so that a short burst has no effect.
 *
 *   A router is shedding when its pressure has stayed at the limit for over a second and the median
 *   of the other routers of its data centre is well below it. It is normal again when its pressure
 *   is below half of the limit, or when the others have no room either. If all routers of a data
 *   centre are under pressure, none is shedding. Above a higher limit a router is full: it refuses
 *   requests, the least urgent ones first.
 *
 *   A shedding router goes out of rotation, which is to report that it is not ready, only as long
 *   as three quarters of the others are ready, at least for four seconds, and at most for 20 of any
 *   60 seconds; no further one does while 8 % were out on the mean of a minute. It announces this
 *   half a second before, so that routers that decide at the same time see each other: those under
 *   the most pressure go first, and the others withdraw. Connections are closed only after the load
 *   balancer has got two refusals, as callers would come back to the same router before.
 *
 * UNITS
 *   Times are microseconds; the module reads no clock. Pressures are percent, 100 is the limit.
 */

#include "core/members.h"

enum
{
  DY_LOAD_PRIORITIES = 8, /* higher ones count as the last */
  DY_LOAD_PERIODS = 16,   /* remembered periods out of rotation */
};

typedef enum
{
  DY_LOAD_NORMAL,
  DY_LOAD_SHEDDING,
  DY_LOAD_FULL,
} DyLoadState;

typedef struct
{
  int64_t now_us;
  int64_t cpu_us;          /* processor time of the process so far */
  int64_t busy_us;         /* time for which the event loop was not waiting, so far */
  int64_t longest_turn_us; /* of the loop since the previous sample */
  uint32_t cpu_percent;    /* share of a core that the VM has; 0: unknown */
  uint32_t open;           /* requests */
  uint32_t unsent_calls;   /* calls whose answer waits to be sent */
  uint64_t unsent_bytes;   /* of these */
} DyRouterLoadSample;

/* The other routers of the data centre. */
typedef struct
{
  uint32_t n_listed;
  uint32_t n_ready;
  uint32_t n_out;        /* out of rotation, or about to be */
  uint32_t n_out_before; /* of these, those under more pressure than this router */
  uint32_t n_known;      /* ready, and their load is known */
  uint32_t median_open;  /* of these */
  uint32_t median_pressure;
} DyRouterLoadOthers;

typedef struct
{
  int64_t start_us;
  int64_t end_us; /* 0: not over */
} DyLoadPeriod;

typedef struct
{
  DyLoadState state;
  double strain;   /* smoothed pressure without that of the open requests */
  double pressure; /* smoothed */
  DyRouterLoadSample last;
  int64_t waited_us; /* sum over the requests since the last sample */
  uint32_t n_waited;
  double recent[DY_LOAD_PRIORITIES]; /* requests of the last seconds by priority */
  uint32_t refuse_from;              /* lowest priority that is refused while full */
  int64_t stepped_us;                /* time of the latest change of refuse_from */
  int64_t over_us;                   /* since when the pressure is at the limit; 0: it is not */
  int64_t normal_us;                 /* time at which the state became normal; 0: never left it */
  int64_t announced_us;              /* start of being out of rotation; 0: in rotation */
  uint32_t announced_pressure;
  double close_credit; /* fraction of an answer that is due to be closed */
  double out_share;    /* of the routers of the data centre, on the mean of a minute */
  uint32_t n_denied;   /* probes answered as not ready since then */
  DyLoadPeriod periods[DY_LOAD_PERIODS];
  uint32_t n_periods; /* ever begun */
  bool stated;        /* a statement was sent */
  DyMemberLoad statement;
} DyRouterLoad;

typedef enum
{
  DY_STATE_NOTHING,
  DY_STATE_TO_DATA_CENTRE, /* to the routers of the data centre */
  DY_STATE_TO_ALL,
} DyStatementScope;

void dy_router_load_init (DyRouterLoad *load);

/* Records that a complete request waited for WAITED_US until it was handled. */
void dy_router_load_record_wait (DyRouterLoad *load, int64_t waited_us);

/* Records a request of PRIORITY. */
void dy_router_load_record_priority (DyRouterLoad *load, uint32_t priority);

/* Records that a readiness probe got the answer that this router is not ready. */
void dy_router_load_record_denial (DyRouterLoad *load);

/* Takes a sample, at intervals of about a quarter of a second, and decides. Returns whether the
 * state changed or the router went out of rotation or came back. */
bool dy_router_load_sample (DyRouterLoad *load,
                            const DyRouterLoadSample *sample,
                            const DyRouterLoadOthers *others);

/* Counts the other routers of DATA_CENTRE by what they stated. */
void dy_router_load_survey (const DyRouterLoad *load,
                            const DyMembers *members,
                            const char *data_centre,
                            int64_t now_us,
                            DyRouterLoadOthers *others);

/* Returns whether the router may report that it is ready, as far as its load is concerned. */
bool dy_router_load_is_ready (const DyRouterLoad *load, int64_t now_us);

/* Returns whether the connection of an answer that is about to begin is to be closed at its end. It
 * is true for the part of the answers that leads to a load of about 60 % of the limit: callers that
 * all left at once would overload the next router. */
bool dy_router_load_closes_next (DyRouterLoad *load, int64_t now_us);

/* Returns whether a new request of PRIORITY is to be refused. */
bool dy_router_load_refuses (const DyRouterLoad *load, uint32_t priority);

/* Returns whether new duties are to go to other routers: until ten seconds after the state became
 * normal, as each move of a duty has a cost. */
bool dy_router_load_is_loaded (const DyRouterLoad *load, int64_t now_us);

/* Returns to whom this router has to state its load now, and stores the statement, whose time is
 * NOW_US, in STATEMENT. READY is whether it is ready for all other reasons. Until the next
 * statement is due, DY_STATE_NOTHING is returned. */
DyStatementScope
dy_router_load_state_now (DyRouterLoad *load, bool ready, int64_t now_us, DyMemberLoad *statement);

const char *dy_load_state_name (DyLoadState state);

#endif
