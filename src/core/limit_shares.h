#ifndef DY_CORE_LIMIT_SHARES_H
#define DY_CORE_LIMIT_SHARES_H

/**
 * NAME
 *   limit_shares - this router's shares of the rates that endpoints accept from all routers
 *
 * DESCRIPTION
 *   Routers that hear each other have together the part of a limit that they are of all routers
 *   that may run: one that is not heard from may be using its part. Their part is used by only as
 *   many of them as get a useful share of it each: those that rank first for the endpoint, in an
 *   order that all routers compute alike. Each of them has an equal share and keeps to it by a
 * token bucket, which holds one request and starts empty. So in any time the fleet sends what the
 * limit allows and one request for each of these routers, whatever its size.
 *
 *   Groups of half of the routers or fewer may be many, each with a small share. They send in turn:
 *   their buckets are filled one after the other, and what is not used soon after is lost.
 *
 *   An endpoint says only in an answer that its limit has changed or ended. If it got no request
 *   for a while, the first router sends it the next one for the service. If no answer comes, as
 *   that router may have no requests, the routers that rank next take over, and keep the limit.
 *
 * UNITS
 *   Times are microseconds, rates are requests in a thousand seconds. The module reads no clock;
 *   the time is passed in as NOW_US.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  int64_t min_share_per_1000_s; /* smallest useful share of a router */
  int64_t confirm_us;           /* time without an answer after which the endpoint gets a request */
  int64_t handover_us;          /* time without an answer after which the next routers take over */
  int64_t announce_us;          /* interval of reports to other routers while nothing changes */
} DyLimitPolicy;

extern const DyLimitPolicy dy_limit_policy;

typedef struct
{
  char *endpoint;
  int64_t per_1000_s;       /* named by the endpoint */
  int64_t learned_us;       /* time at which it first named this limit, as far as known */
  int64_t confirmed_us;     /* time of the latest answer with it, to any router, as far as known */
  int64_t n_handovers;      /* until confirmed_us */
  int64_t announced_us;     /* time of the latest report to other routers */
  bool from_peer;           /* first learned from another router */
  int64_t share_per_1000_s; /* of this router; 0: it sends nothing there */
  int64_t shared_us;        /* time at which the share was computed */
  int64_t handover_us;      /* time without an answer after which the next routers take over */
  bool is_first;            /* this router ranks first for the endpoint */
  double tokens;            /* requests that may be sent now */
  double turn;              /* part of the time in which they may be sent; 0: at any time */
  int64_t refilled_us;
} DyLimit;

/* The place of this router in the order of all routers for an endpoint. */
typedef struct
{
  uint32_t rank;          /* live routers before this one; UINT32_MAX: this router is leaving */
  uint32_t n_routers;     /* live ones */
  uint32_t possible_rank; /* routers before this one that may run, live or not */
  uint32_t n_possible;    /* routers that may run */
} DyLimitPlace;

typedef DyLimitPlace (*DyLimitRank) (void *ctx, const char *endpoint);

typedef struct
{
  DyLimitPolicy policy;
  DyLimitRank rank;
  void *ctx;
  GHashTable *limits; /* endpoint id to DyLimit */
} DyLimitShares;

void dy_limit_shares_init (DyLimitShares *shares,
                           const DyLimitPolicy *policy,
                           DyLimitRank rank,
                           void *ctx);
void dy_limit_shares_finish (DyLimitShares *shares);

/* Records that ENDPOINT named a limit in an answer to this router. Returns whether the limit is new
 * or has changed. */
bool dy_limit_shares_set (DyLimitShares *shares,
                          const char *endpoint,
                          int64_t per_1000_s,
                          int64_t now_us);

/* A limit as one router reports it to the others. */
typedef struct
{
  int64_t per_1000_s;
  int64_t age_us; /* time since confirmed_us */
  int64_t n_handovers;
} DyLimitReport;

/* The same for a limit that another router reports. */
bool dy_limit_shares_take (DyLimitShares *shares,
                           const char *endpoint,
                           const DyLimitReport *report,
                           int64_t now_us);

/* Returns whether the limit is to be reported to other routers now, and if so records that. */
bool dy_limit_shares_announce (DyLimitShares *shares, const char *endpoint, int64_t now_us);

/* Records an answer without a limit to a request that was sent to ENDPOINT at SENT_US. Returns
 * whether this ends the limit: an answer to a request sent before the limit was learned does not.
 */
bool dy_limit_shares_end (DyLimitShares *shares, const char *endpoint, int64_t sent_us);

/* Forgets the limit of ENDPOINT. Returns whether there was one. */
bool dy_limit_shares_remove (DyLimitShares *shares, const char *endpoint);

/* Returns the limit of ENDPOINT, or NULL. */
const DyLimit *dy_limit_shares_find (const DyLimitShares *shares, const char *endpoint);

/* Returns whether this router may send a request to ENDPOINT now. */
bool dy_limit_shares_allow (DyLimitShares *shares, const char *endpoint, int64_t now_us);

/* Returns whether ENDPOINT should get the next request, to learn if its limit still holds. */
bool dy_limit_shares_due (DyLimitShares *shares, const char *endpoint, int64_t now_us);

/* Records that a request is sent to ENDPOINT. */
void dy_limit_shares_record_sent (DyLimitShares *shares, const char *endpoint, int64_t now_us);

#endif
