#ifndef DY_SERVICES_CONFIG_H
#define DY_SERVICES_CONFIG_H

/**
 * NAME
 *   config - applies the declarations that the platform holds and watches them for changes
 *
 * DESCRIPTION
 *   Reads all declarations once, then watches for changes after the version read (see
 *   core/declarations.h for their format). Endpoints that are declared or removed are passed on to
 *   the service "endpoints".
 *
 *   A failed call is retried with exponential backoff and jitter, and the declarations in force
 *   stay. Meanwhile this router requests newer declarations from any router whose heartbeat reports
 *   a higher version, so it stays up to date while it cannot reach the platform.
 *
 *   The in-process platform of kind "memory" starts empty; it is filled with the declarations of a
 *   folder and a new ledger entry for each client account.
 *
 * ERRORS
 *   An invalid declaration is logged and counted, and the one in force stays. An invalid folder
 *   keeps the service from starting: DY_SETTINGS.
 */

#include "core/declarations.h"
#include "kernel/kernel.h"
#include "services/endpoints/endpoints.h"
#include "services/peers/peers.h"
#include "services/platform.h"

#define DY_SERVICE_CONFIG "config"

typedef struct
{
  DyKernel *kernel;
  DyPlatform *platform;
  DyEndpoints *endpoints;
  DyPeers *peers;
  DyDeclarations declarations;
  uint64_t version; /* all declarations up to this version were processed; 0: none */
  bool loaded;      /* all declarations were read at least once */
  bool failing;     /* the latest platform call failed */
  int64_t asked_us; /* monotonic time of the latest request to a peer */
  GRand *rng;
  DyBackoff backoff;
  ev_timer retry;
} DyConfig;

/* Adds the service "config", whose interface is a DyConfig. */
void dy_config_add_service (DyKernel *kernel, DyConfig *config);

#endif
