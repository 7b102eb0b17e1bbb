#ifndef DY_CORE_COLD_SHARE_H
#define DY_CORE_COLD_SHARE_H

/**
 * NAME
 *   cold_share - this router's share of the requests that cold endpoints tolerate from all routers
 *
 * DESCRIPTION
 *   Handles the load of an endpoint that has just started, or has become cold again, and crashes if
 *   the fleet sends it more than BOUND requests in any second, WINDOW_US here.
 *
 *   The routers that may run (core/members.h) are in an order for the endpoint that all compute
 *   alike. The first ones, at most one for each MIN_SHARE requests of the bound, divide the whole
 *   bound among them; the others send nothing. A router's share never grows with its rank or with
 *   the number of routers, so the shares keep the bound together as long as each running router
 *   counts all others that run, whatever else each of them counts. A router has no share until that
 *   is certain: core/resend_share.h decides it, by the lists of routers and by heartbeats.
 *
 *   A share is a number of requests in any WINDOW_US, counted when they are sent. A place in the
 *   window is reserved when an endpoint is chosen, as the request may have to wait for a
 *   connection, and moves to the time at which the request is sent.
 *
 *   A window starts full and its places become free one after the other. It starts when a share
 *   begins and, for an endpoint that becomes cold while it is in use, once all routers in touch
 *   know that.
 *
 *   When an endpoint is warm, the part of the time in which a router may choose it rises to all of
 *   it within RAMP_US. Different routers have different parts, so the rate of the fleet rises, too.
 *
 * UNITS
 *   Times are microseconds; the module reads no clock, the time is passed in as NOW_US.
 */

#include "core/members.h"
#include "core/resend_share.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum
{
  /* The second of the bound, and 50 ms for clocks that differ in speed and for late sending. */
  DY_COLD_WINDOW_US = 1050 * 1000,
  /* Time for which a computed share is used. */
  DY_COLD_SHARE_TTL_US = 100 * 1000,
  /* Window of the DyResendShare that says whether a router has a share: a router that counts
   * another one for the first time may have sent by its old share until the TTL is over. */
  DY_COLD_PARTS_WINDOW_US = DY_COLD_WINDOW_US + 2 * DY_COLD_SHARE_TTL_US,
  DY_COLD_RAMP_US = 1000 * 1000,
  DY_COLD_NOT_STATED = -1,
};

/* What a router may do at a cold endpoint by the state of the fleet. */
typedef struct
{
  int64_t bound;      /* requests of all routers in a window; -1: not limited */
  int64_t cold_us;    /* time for which an endpoint of the service is cold after its start */
  uint32_t rank;      /* routers before this one that may run */
  uint32_t n_routers; /* routers that may run; 0: this router has no share */
  bool unknown;       /* the service is not known yet: the place is asked for again at each use */
} DyColdPlace;

typedef DyColdPlace (*DyColdPlaceOf) (void *ctx, const char *endpoint, int64_t now_us);

typedef struct
{
  char *id;
  int64_t start_ms;
  uint64_t version;      /* of the record that was taken last */
  int64_t record_us;     /* cold time that it states */
  bool stated;           /* the endpoint has stated its cold time */
  int64_t known_us;      /* when this start was first known */
  int64_t cold_until_us; /* the ramp begins then; INT64_MIN: it has not been cold */
  int64_t hold_until_us; /* it gets nothing before, as others may not know that it is cold */
  int64_t fill_us;       /* when the window began to become free */
  int64_t shared_us;     /* when the share was computed; INT64_MIN: not yet */
  int64_t share;         /* requests in a window; -1: not limited */
  GArray *sent_us;       /* of int64_t: requests sent in the latest window, the oldest first */
  uint32_t n_reserved;   /* places of requests that are not sent yet */
} DyColdEndpoint;

typedef struct
{
  DyColdPlaceOf place_of;
  void *ctx;
  uint64_t seed;      /* of this router's part of the time in a ramp */
  int64_t learn_us;   /* time in which all routers in touch learn that an endpoint is cold */
  int64_t started_us; /* start of this process */
  GHashTable *endpoints;
} DyColdShares;

void dy_cold_shares_init (DyColdShares *shares,
                          DyColdPlaceOf place_of,
                          void *ctx,
                          const char *router,
                          int64_t learn_us,
                          int64_t now_us);
void dy_cold_shares_finish (DyColdShares *shares);

/* Returns the requests that all routers together may send in a window to an endpoint that tolerates
 * PER_1000_S requests in a thousand seconds. */
int64_t dy_cold_bound (int64_t per_1000_s, int64_t overage_thousandths, int64_t slack_thousandths);

/* Returns the share of the router at RANK of N_ROUTERS that may run. */
int64_t dy_cold_share_of (int64_t bound, uint32_t rank, uint32_t n_routers);

/* Sets the rank of this router for ENDPOINT and the number of routers in PLACE; PARTS says whether
 * it has a share. A router that was neither listed nor heard from since it lost its own share, by
 * its old list, does not count. */
void dy_cold_set_rank (DyColdPlace *place,
                       const DyMembers *members,
                       DyResendShare *parts,
                       const char *endpoint,
                       int64_t now_us);

/* Records that ENDPOINT, started at START_MS, states that it stays cold for COLD_US more, or
 * DY_COLD_NOT_STATED. VERSION is that of the endpoint's record, 0 of an answer, which can't say
 * that it is warm. A record that is read again says nothing new. Returns whether the endpoint is
 * cold now and was not before. */
bool dy_cold_shares_put (DyColdShares *shares,
                         const char *endpoint,
                         int64_t start_ms,
                         int64_t cold_us,
                         uint64_t version,
                         int64_t now_us);

/* Forgets ENDPOINT, if there is one, unless requests to it are not sent yet. */
void dy_cold_shares_remove (DyColdShares *shares, const char *endpoint);

bool dy_cold_shares_is_cold (DyColdShares *shares, const char *endpoint, int64_t now_us);

/* Returns whether the share of ENDPOINT in the load rises, as it has been cold. */
bool dy_cold_shares_is_in_ramp (const DyColdShares *shares, const char *endpoint, int64_t now_us);

/* Returns whether this router may choose ENDPOINT now. */
bool dy_cold_shares_allow (DyColdShares *shares, const char *endpoint, int64_t now_us);

/* Returns the time until this router may send to ENDPOINT, which is cold; INT64_MAX: it has no
 * share. */
int64_t dy_cold_shares_room_us (DyColdShares *shares, const char *endpoint, int64_t now_us);

/* Returns the requests that this router may send in a window to ENDPOINT, which is cold; -1: any
 * number. */
int64_t dy_cold_shares_share (DyColdShares *shares, const char *endpoint, int64_t now_us);

/* ENDPOINT, started at START_MS, was chosen for a request. Returns whether a place is reserved for
 * it, which ends with dy_cold_shares_send() or dy_cold_shares_cancel(). */
bool dy_cold_shares_reserve (DyColdShares *shares,
                             const char *endpoint,
                             int64_t start_ms,
                             int64_t now_us);

/* A request to ENDPOINT is about to be sent; RESERVED is whether it has a place, which ends.
 * Returns whether it may be sent: one that was chosen while the endpoint was warm may have no
 * place. */
bool dy_cold_shares_send (
    DyColdShares *shares, const char *endpoint, int64_t start_ms, bool reserved, int64_t now_us);

/* The request with a place is not sent. */
void dy_cold_shares_cancel (DyColdShares *shares, const char *endpoint, int64_t start_ms);

#endif
