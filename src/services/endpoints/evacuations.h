#ifndef DY_SERVICES_ENDPOINTS_EVACUATIONS_H
#define DY_SERVICES_ENDPOINTS_EVACUATIONS_H

/**
 * NAME
 *   evacuations - watches the evacuations of data centres in the platform's store
 *
 * DESCRIPTION
 *   Part of the directory service, which owns it. An object whose name is that of a data centre
 *   evacuates it, whatever its contents. The store has the only authoritative copy; this is a
 *   replica of it, which the routers keep up to date by one watch for the whole fleet
 *   (services/peers/object_watch.h). It takes effect in core/placement.h.
 *
 *   With evacuations_bound_ms = 0 nothing is watched and no call is made.
 */

#include "core/placement.h"
#include "services/dialect.h"
#include "services/peers/object_watch.h"

#include <jansson.h>

typedef struct
{
  DyKernel *kernel;
  DyPlatform *platform;
  DyPeers *peers;
  DyPlacement *placement;
  const char *prefix; /* of the keys */
  DyObjectWatch watch;
  bool enabled;
} DyEvacuationWatch;

/* Starts to watch, if the settings have a bound. PLACEMENT and SPREAD must outlive WATCH. */
void dy_evacuation_watch_start (DyEvacuationWatch *watch,
                                DyKernel *kernel,
                                DyPlacement *placement,
                                DySpread *spread);
void dy_evacuation_watch_stop (DyEvacuationWatch *watch);

/* Takes what another router says about evacuations, if MESSAGE is of that kind. */
void dy_evacuation_watch_take (DyEvacuationWatch *watch, const DyMessage *message);

/* Ends evacuations that were held long enough, and reports those of unknown data centres. To be
 * called at short intervals. RECORDS_KNOWN is whether the endpoint records were read. */
void dy_evacuation_watch_update (DyEvacuationWatch *watch, bool records_known);

/* Returns whether the evacuations were read, or need not be. */
bool dy_evacuation_watch_ready (const DyEvacuationWatch *watch);

/* Returns the age in milliseconds of what is known; 0 if nothing is watched. */
int64_t dy_evacuation_watch_age_ms (const DyEvacuationWatch *watch);

/* Returns the names of the evacuated data centres as a new reference. */
json_t *dy_evacuation_watch_dump (const DyEvacuationWatch *watch);

#endif
