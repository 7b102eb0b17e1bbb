#ifndef DY_SERVICES_DIRECTORY_H
#define DY_SERVICES_DIRECTORY_H

/**
 * NAME
 *   directory - route table and endpoints, followed from the platform's store
 *
 * DESCRIPTION
 *   Two watches, one for the route table and one for the endpoint records. A watch that fails is
 *   started again; when its history is gone the objects are listed anew. Only a higher version of
 *   the route table is taken, also when it comes from another router while the store is away. An
 *   unreadable route table or record is logged and what is in force stays.
 *
 *   Endpoint records lapse while the store is away. A record removed shortly after an outage is
 *   kept for a while, as its endpoint may only not have been able to renew it.
 */

#include "core/placement.h"
#include "kernel/kernel.h"
#include "services/dialect.h"
#include "services/peers.h"
#include "services/platform.h"

#define DY_SERVICE_DIRECTORY "directory"

struct DyDirectory;

/* One watched set of objects. */
typedef struct
{
  struct DyDirectory *directory;
  const char *prefix;
  void (*apply_watched) (struct DyDirectory *directory, const DyObject *object);
  int64_t batch_delay_ms; /* wait between a change and the next call */
  uint64_t version;       /* of the store; 0: to be listed */
  bool listing;           /* the call in progress is a list */
  bool failing;           /* the latest call failed */
  int64_t recovered_us;   /* when the first call after failures succeeded */
  ev_timer retry;
} DyObjectWatch;

typedef void (*DyRoutesWatcher) (void *ctx, const DyRouteTable *routes);

typedef struct DyDirectory
{
  DyKernel *kernel;
  const DyDialect *dialect;
  DyPlatform *platform;
  DyPeers *peers;
  DyPlacement placement;
  DyRouteTable routes;
  bool has_routes;
  char *routes_text; /* as the platform wrote it, for other routers */
  uint64_t routes_revision;
  GHashTable *endpoints; /* id to the state of its record */
  DyObjectWatch routes_watch;
  DyObjectWatch endpoints_watch;
  int64_t asked_us; /* when a peer was last asked */
  ev_timer expiry_timer;
  DyRoutesWatcher watcher;
  void *watcher_ctx;
} DyDirectory;

/* The service "directory", whose interface is a DyDirectory. */
void dy_directory_add_service (DyKernel *kernel, DyDirectory *directory);

/* Calls WATCHER at each new route table, and at once if there is one. */
void dy_directory_watch (DyDirectory *directory, DyRoutesWatcher watcher, void *ctx);

/* Returns whether requests can be routed: a route table and endpoints are known. */
bool dy_directory_ready (const DyDirectory *directory);

#endif
