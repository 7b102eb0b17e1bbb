#ifndef DY_CORE_BRITTLE_H
#define DY_CORE_BRITTLE_H

/**
 * NAME
 *   brittle - services whose endpoints may fall over, and this router's share of their places
 *
 * DESCRIPTION
 *   A brittle endpoint stops for a while when it refuses more requests in a second than a number
 *   that it states. To avoid refusals, all routers together send it no more requests at a time than
 *   it has slots. The slots are divided among the routers that rank first for the endpoint, in an
 *   order that all compute alike, of all that may run, and each router keeps to its part.
 *
 *   One endpoint's statement counts for its whole service: an endpoint that has just restarted has
 *   given no answer yet, and must not be flooded. It lapses some time after the latest answer with
 *   it.
 *
 * UNITS
 *   Times are microseconds. The module reads no clock; the time is passed in as NOW_US.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  char *service;
  int64_t refusals_per_s; /* that an endpoint stands, as it says */
  int64_t said_us;        /* time of the latest answer that says so, as far as known */
  int64_t announced_us;   /* time of the latest report to other routers */
  bool from_peer;         /* first learned from another router */
} DyBrittleService;

typedef struct
{
  GHashTable *services; /* name to DyBrittleService */
} DyBrittle;

void dy_brittle_init (DyBrittle *brittle);
void dy_brittle_finish (DyBrittle *brittle);

/* Records that an endpoint of SERVICE said at SAID_US that it is brittle. Returns whether that was
 * not known of the service. */
bool dy_brittle_take (DyBrittle *brittle,
                      const char *service,
                      int64_t refusals_per_s,
                      int64_t said_us,
                      bool from_peer);

/* Returns what is known of SERVICE, or NULL. */
const DyBrittleService *dy_brittle_find (const DyBrittle *brittle, const char *service);

/* Returns whether SERVICE is to be reported to other routers now, and if so records that. */
bool dy_brittle_announce (DyBrittle *brittle, const char *service, int64_t now_us);

/* Removes a service that has not been said to be brittle for long enough and returns it, to be
 * freed with dy_brittle_service_free(). Returns NULL if there is none. */
DyBrittleService *dy_brittle_take_ended (DyBrittle *brittle, int64_t now_us);

void dy_brittle_service_free (gpointer service);

/* Returns how many of the SLOTS of an endpoint (0: not stated) the router has that RANK others
 * precede in its order, of N_ROUTERS in all; UINT32_MAX: any number. */
uint32_t dy_brittle_share (uint32_t slots, uint32_t n_routers, uint32_t rank);

#endif
