#ifndef DY_SERVICES_ENDPOINTS_EVEN_LOAD_H
#define DY_SERVICES_ENDPOINTS_EVEN_LOAD_H

/**
 * NAME
 *   even_load - settings, fleet size and metrics of the even load of endpoints
 *
 * DESCRIPTION
 *   Part of the directory. The decision is in core/placement_even.c; this part tells placement
 *   whether load is to be spread (setting spread_load), how many routers there are, and the memory
 *   that endpoints have by the route table. Once a second it sets the gauges.
 */

#include "services/endpoints/directory.h"

void dy_even_load_start (DyDirectory *directory);
void dy_even_load_stop (DyDirectory *directory);

/* Takes the memory of each service's endpoints from the route table in force. */
void dy_even_load_take_routes (DyDirectory *directory);

#endif
