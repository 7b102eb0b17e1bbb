#ifndef DY_SERVICES_REGISTRATION_H
#define DY_SERVICES_REGISTRATION_H

/**
 * NAME
 *   registration - publishes this router's record in the platform's store
 *
 * DESCRIPTION
 *   Other routers discover this one by its record under the key "routers/NODE". The record is
 *   written at start; a write that fails is retried until the store acknowledges it. It is never
 *   removed: a new router of the same name overwrites it, and heartbeats show which of the listed
 *   routers are alive.
 *
 * FORMAT
 *   {"address": "ip:port", "data_centre": text, "leaving": false}
 *   address is the one at which the router accepts connections from its peers.
 */

#include "kernel/kernel.h"
#include "services/platform.h"

#define DY_SERVICE_REGISTRATION "registration"
#define DY_REGISTRATION_PREFIX "routers/" /* of the records' keys */

typedef struct
{
  DyKernel *kernel;
  DyPlatform *platform;
  char *key;
  char *text;        /* the record as JSON */
  uint64_t expected; /* version of the record in the store by which the write in progress goes */
  bool done;         /* the store has acknowledged the record */
  bool rewrites;     /* the store has acknowledged it before */
  bool created;      /* no earlier process had written the record */
  ev_timer retry;
} DyRegistration;

/* Adds the service "registration". */
void dy_registration_add_service (DyKernel *kernel, DyRegistration *registration);

#endif
