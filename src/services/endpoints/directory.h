#ifndef DY_SERVICES_ENDPOINTS_DIRECTORY_H
#define DY_SERVICES_ENDPOINTS_DIRECTORY_H

/**
 * NAME
 *   directory - watches the route table and the endpoint records in the platform's store
 *
 * DESCRIPTION
 *   Runs two watches on the store, one for the route table and one for the endpoint records. A
 *   watch that fails is restarted from the last version it saw; when the store no longer keeps the
 *   changes since that version, all objects are listed again. A route table is applied only if its
 *   version is higher than that of the one in force. It may also come from another router, which is
 *   asked when its heartbeat reports a higher version, so updates arrive during an outage of the
 *   store, too.
 *
 *   Endpoint records are leases that expire unless the endpoint renews them, which it cannot do
 *   while the store is unreachable. When a record disappears shortly after an outage, the endpoint
 *   therefore stays in use for a grace period and is removed only if the record does not return.
 *   Calls that fail for a shorter time than a record lives are no outage in this sense.
 *
 *   A third watch, where the settings enable it, is that of evacuated data centres; see
 *   services/endpoints/evacuations.h.
 *
 *   What is known may be acted on while its age is below the bound of the settings, and beyond that
 *   while the store is away; see core/knowledge.h.
 *
 * ERRORS
 *   A route table or an endpoint record that cannot be decoded is logged and ignored; the one in
 *   force stays.
 */

#include "core/departures.h"
#include "core/knowledge.h"
#include "core/notices.h"
#include "core/placement.h"
#include "kernel/kernel.h"
#include "services/dialect.h"
#include "services/endpoints/evacuations.h"
#include "services/endpoints/link_probe.h"
#include "services/peers/object_watch.h"
#include "services/peers/peers.h"
#include "services/platform.h"

#define DY_SERVICE_DIRECTORY "directory"

typedef void (*DyRoutesWatcher) (void *ctx, const DyRouteTable *routes);

/* The endpoint ID has started again, or its record was removed. */
typedef void (*DyEndpointEndWatcher) (void *ctx, const char *id);

/* The endpoint's record, VERSION of it, was read, again or for the first time. */
typedef void (*DyEndpointRecordWatcher) (void *ctx,
                                         const DyEndpointRecord *record,
                                         uint64_t version);

typedef struct
{
  DyKernel *kernel;
  const DyDialect *dialect;
  DyPlatform *platform;
  DyPeers *peers;
  DyPlacement placement;
  DyRouteTable routes;
  bool has_routes;
  char *routes_text;        /* the encoded route table, to be sent to other routers */
  char *routes_packed;      /* the same packed; NULL: not yet */
  uint64_t routes_revision; /* store version of the object that holds the route table */
  GHashTable *endpoints;    /* id to the state of the endpoint's record */
  DyDepartures departures;  /* endpoints that have left */
  DyNotices notices;        /* what endpoints say of themselves in answers */
  GHashTable *held;         /* key to a listed record that is not taken yet */
  DyClocks clocks;
  DySpread spread;
  DyObjectWatch routes_watch;
  DyObjectWatch endpoints_watch;
  DyEvacuationWatch evacuations;
  int64_t asked_us; /* monotonic time of the latest request to a peer */
  int64_t newer_us; /* monotonic time since when a peer has a later route table; 0: none has */
  DyLinkProbe time_probe;   /* connects to an endpoint, to learn whether this router is on time */
  int64_t probed_us;        /* by dy_kernel_boot_us(): start of the latest one */
  int64_t testing_since_us; /* the same: since when it learns that from others; 0: it does not */
  bool is_late;             /* as last logged */
  bool is_outdated;         /* requests are served by routes that are known to be outdated */
  int64_t late_since_us;    /* by dy_kernel_boot_us(): when it was found late; 0: it is not */
  ev_timer expiry_timer;
  ev_timer even_load_timer;
  bool states_slowness; /* an endpoint has said how slow work is there */
  DyRoutesWatcher watcher;
  void *watcher_ctx;
  DyEndpointEndWatcher end_watcher;
  void *end_watcher_ctx;
  DyEndpointRecordWatcher record_watcher;
  void *record_watcher_ctx;
  void (*confirm_watcher) (void *ctx);
  void *confirm_watcher_ctx;
} DyDirectory;

/* Adds the service "directory", whose interface is a DyDirectory. */
void dy_directory_add_service (DyKernel *kernel, DyDirectory *directory);

/* Calls WATCHER with each new route table, and immediately if there is one already. A directory has
 * one watcher: a second call replaces it. */
void dy_directory_watch (DyDirectory *directory, DyRoutesWatcher watcher, void *ctx);

/* Calls WATCHER when the latest known start of an endpoint is over. A directory has one such
 * watcher. */
void dy_directory_watch_ends (DyDirectory *directory, DyEndpointEndWatcher watcher, void *ctx);

/* Calls WATCHER with each record that placement has taken. A directory has one such watcher. */
void
dy_directory_watch_records (DyDirectory *directory, DyEndpointRecordWatcher watcher, void *ctx);

/* Calls WATCHER after each answer of the store about endpoint records, once it is applied. A
 * directory has one such watcher. */
void
dy_directory_watch_confirmations (DyDirectory *directory, void (*watcher) (void *ctx), void *ctx);

/* Records that the endpoint ID, started at START_MS, said at SAID_US in an answer that it leaves;
 * FROM_PEER is whether another router reported it. Returns whether that was not known. */
bool dy_directory_take_leaving (
    DyDirectory *directory, const char *id, int64_t start_ms, int64_t said_us, bool from_peer);

/* Records that the endpoint ID, started at START_MS, said at SAID_US that it wants nothing from
 * this router before UNTIL_US. */
void dy_directory_take_wait (
    DyDirectory *directory, const char *id, int64_t start_ms, int64_t said_us, int64_t until_us);

/* The notice that the endpoint ID leaves has ended: what its record says holds again. */
void dy_directory_end_leaving (DyDirectory *directory, const char *id);

/* Returns the start time of the endpoint ID by its record; 0 if it is not known. */
int64_t dy_directory_start_ms (const DyDirectory *directory, const char *id);

/* Returns the path of the health check of ENDPOINT, or NULL if it is not known or ENDPOINT is
 * evacuated and must get no request. */
const char *dy_directory_health_path (const DyDirectory *directory,
                                      const DyPlacementEndpoint *endpoint);

/* Returns whether requests can be routed, that is whether there are a route table and at least one
 * endpoint, and the evacuations are known. */
bool dy_directory_ready (const DyDirectory *directory);

/* Returns the age in milliseconds of what is known of the routes, of the endpoint records, or of
 * the evacuations (0 if they are not watched). */
int64_t dy_directory_routes_age_ms (const DyDirectory *directory);
int64_t dy_directory_endpoints_age_ms (const DyDirectory *directory);
int64_t dy_directory_evacuations_age_ms (const DyDirectory *directory);

/* Returns what this router may do by what it knows of the routes, of the endpoint records, or of
 * the evacuations, now. */
DyKnowledge dy_directory_routes_knowledge (const DyDirectory *directory);
DyKnowledge dy_directory_endpoints_knowledge (const DyDirectory *directory);
DyKnowledge dy_directory_evacuations_knowledge (const DyDirectory *directory);

/* Returns DY_OK if requests may be sent by what is known now, or the error with which they are
 * refused: DY_ROUTES_STALE, DY_ENDPOINTS_STALE or DY_EVACUATIONS_STALE. To be asked at each
 * decision. */
int dy_directory_check_age (const DyDirectory *directory);

/* Returns whether requests should wait, as what is known is too old only since a moment ago and may
 * be confirmed within the next: a router that stood still reads requests before it has heard from
 * the others. True for a tenth of a second from when that was found at most. */
bool dy_directory_is_catching_up (DyDirectory *directory);

/* Returns whether a route or a key that is not known here may have been declared longer ago than
 * declarations may take to come into force: a later change is known to exist, or it is too long ago
 * that there was none. */
bool dy_directory_may_lack_routes (const DyDirectory *directory);

#endif
