#ifndef DY_SERVICES_ORIGINS_H
#define DY_SERVICES_ORIGINS_H

/**
 * NAME
 *   origins - which software version began a stream, also after all routers were restarted
 *
 * DESCRIPTION
 *   While a service has endpoints of several versions, this router keeps the origins of the streams
 *   that it passes on in the platform's store, in one object, so that a caller can resume them at
 * any router. docs/ORIGINS.md explains what is kept where, how long, and what is refused.
 *
 * FORMAT
 *   streams/NAME of the router NAME:
 *     {"streams": {service: {version: [request id, ...]}}}
 *   stream-versions/SERVICE, written by the router that is the home of the service's name:
 *     {"versions": [version, ...]}
 *
 * ERRORS
 *   DY_ORIGIN_UNKNOWN  the version that began the stream is not known, or cannot be looked up now
 */

#include "core/stream_origins.h"
#include "services/endpoints/directory.h"

#define DY_SERVICE_ORIGINS "origins"

typedef struct DyOriginLookup DyOriginLookup;

/* Called once for a lookup, from the event loop. VERSION is NULL unless ERROR is DY_OK. */
typedef void (*DyOriginDone) (void *ctx, int error, const char *version);

typedef struct
{
  DyKernel *kernel;
  DyDirectory *directory;
  DyPlatform *platform;
  DyStreamOrigins table;
  GHashTable *own_ids;  /* set of the ids of the streams to be written by this router */
  GHashTable *services; /* service to the state of its object of versions */
  GHashTable *lookups;  /* set of DyOriginLookup */
  char *own_key;
  uint64_t own_version; /* of the own object; 0: not known */
  bool versions_loaded; /* the store's versions were read */
  bool streams_loaded;  /* the store's streams were read */
  bool reading_versions;
  bool reading_streams;
  bool dirty; /* the own object lacks an own stream */
  bool writing;
  int64_t written_us; /* when the latest write of the own object was started */
  int64_t retry_us;   /* no read of what is not loaded before this time */
  int64_t swept_us;
  ev_timer timer;
} DyOrigins;

/* Adds the service "origins", whose interface is a DyOrigins. */
void dy_origins_add_service (DyKernel *kernel, DyOrigins *origins);

/* Records that the stream REQUEST_ID of SERVICE was sent to an endpoint of VERSION; EXPIRES_US is
 * the time after which the caller no longer resumes it. */
void dy_origins_record (DyOrigins *origins, const DyStreamOrigin *origin);

/* Looks up the version that began the stream REQUEST_ID (NULL: not stated) of SERVICE. If it is
 * known here, stores it in VERSION, valid until the next call, and returns NULL. Otherwise DONE is
 * called later, unless the lookup is cancelled. */
DyOriginLookup *dy_origins_look_up (DyOrigins *origins,
                                    const char *service,
                                    const char *request_id,
                                    DyOriginDone done,
                                    void *ctx,
                                    const char **version);
void dy_origins_cancel (DyOrigins *origins, DyOriginLookup *lookup);

#endif
