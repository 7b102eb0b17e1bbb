#ifndef DY_CORE_BRITTLE_H
#define DY_CORE_BRITTLE_H

/**
 * NAME
 *   brittle - services whose endpoints may fall over, and this router's share of their places
 *
 * DESCRIPTION
 *   At times the endpoints of a service say in all their answers that they fall over if they have
 *   to turn away more than a few requests in a second. They are to get no more requests at a time
 *   than they have places for, by all routers together. So the places of each endpoint are shared
 *   among the routers that rank first for it, in an order that all compute alike, and each router
 *   sends only as many requests at a time as it has places there.
 *
 *   What one endpoint says counts for all of its service, as one that has fallen over has said
 *   nothing since it started again. It ends some time after the latest answer that says it.
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
