#ifndef DY_SERVICES_PLATFORM_MEMORY_H
#define DY_SERVICES_PLATFORM_MEMORY_H

/**
 * NAME
 *   platform_memory - in-process object API for a single router without a platform
 *
 * DESCRIPTION
 *   A DyPlatformOps on a dy_object_store; all objects are lost when the process exits. The VM list
 *   is empty, and a watch waits without a time limit. Callbacks are made from the event loop, never
 *   before the call returns.
 */

#include "services/platform.h"

extern const DyPlatformOps dy_platform_memory_ops;

/* Returns the IMPL of dy_platform_memory_ops, freed by its free(). */
void *dy_platform_memory_new (struct ev_loop *loop);

#endif
