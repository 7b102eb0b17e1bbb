#ifndef DY_SERVICES_ORIGINS_H
#define DY_SERVICES_ORIGINS_H

/**
 * NAME
 *   origins - which software version began a stream, also after all routers were restarted
 *
 * DESCRIPTION
 *   While a service has endpoints of several versions, this router keeps the origins of the streams
 *   that it passes on in the platform's store, in one object, so that a caller can resume them at
 *   any router. A stream that is not recorded is of the only version of its service, once the
 *   endpoint records show that there is no other, or of the base version, once no router can have
 *   begun it at another one. docs/ORIGINS.md explains what is kept where, how long, and what is
 *   refused.
 *
 * FORMAT
 *   streams/NAME of the router NAME:
 *     {"format": 2, "mixed": {service: base},
 *      "streams": {service: {version: [request id, ...]}}}
 *     A stream is listed once its first event has been passed on. Of a service that is not in
 *     "mixed", the router has begun streams at the base version only, unless they are listed.
 *   stream-versions/SERVICE, written by the router that is the home of the service's name:
 *     {"versions": [version, ...], "era": number, "base": version}
 *     The era is that of the store when it was written: after a restore, versions may be missing.
 *     The base is the only version that the service had before the others came; it may be missing.
 *   Objects sent by dy_peers_send_object():
 *     stream-origins/ask   {"streams": {service: [request id, ...]}}
 *       Asks which of these streams the receiver began.
 *     stream-origins/tell  {"router": name, "streams": as above, "denied": {service: [request id]}}
 *       The reply: those that it began, and those that it did not. It has none of those that a
 *       process before it may have begun.
 *
 * ERRORS
 *   DY_ORIGIN_UNKNOWN  the version that began the stream is not known, or cannot be looked up now
 */

#include "core/stream_origins.h"
#include "core/version_knowledge.h"
#include "services/endpoints/directory.h"

#define DY_SERVICE_ORIGINS "origins"

typedef struct DyOriginLookup DyOriginLookup;

/* What is known of the origin of a stream. All but the version is for logs. */
typedef struct
{
  const char *version; /* NULL: not known */
  const char *source;  /* where it is known from, or why it is not */
  const char *router;  /* which passed the first event on; NULL: not recorded */
  int64_t age_ms;      /* time since that was recorded here; -1: it was not */
} DyOriginAnswer;

/* Called once for a lookup, from the event loop. */
typedef void (*DyOriginDone) (void *ctx, const DyOriginAnswer *answer);

typedef struct
{
  DyKernel *kernel;
  DyDirectory *directory;
  DyPlatform *platform;
  DyStreamOrigins table;
  DyVersionKnowledge knowledge; /* times by dy_kernel_boot_us() */
  GHashTable *own_ids;          /* set of the ids of the streams to be written by this router */
  GHashTable *services;         /* service to its DyOriginService */
  GHashTable *declarations;     /* other router to a table of the services that its object declares
                                   mixed, and their bases, as of the latest read */
  GHashTable *lookups;          /* set of DyOriginLookup */
  char *own_key;
  uint64_t own_version; /* of the own object; 0: not known */
  bool versions_loaded; /* the store's versions were read */
  bool streams_loaded;  /* the store's streams were read */
  bool reading_versions;
  int64_t versions_sent_us; /* by dy_kernel_boot_us(): sending of the latest read of them */
  int64_t confirm_us;       /* when the endpoint records were last asked for */
  bool reading_streams;
  bool dirty; /* the own object lacks an own stream */
  bool writing;
  int64_t written_us; /* when the latest write of the own object was started */
  int64_t retry_us;   /* no read of what is not loaded before this time */
  int64_t swept_us;
  ev_timer timer;
  ev_timer decision;           /* runs out after the endpoint records were confirmed */
  ev_timer write_timer;        /* runs out when the own object is to be written */
  void (*watcher) (void *ctx); /* see dy_origins_watch(); may be NULL */
  void *watcher_ctx;
} DyOrigins;

/* Adds the service "origins", whose interface is a DyOrigins. */
void dy_origins_add_service (DyKernel *kernel, DyOrigins *origins);

/* Records that an endpoint of VERSION began the stream REQUEST_ID of SERVICE; EXPIRES_US is the
 * time after which the caller no longer resumes it. */
void dy_origins_record (DyOrigins *origins, const DyStreamOrigin *origin);

/* Returns the only version at which this router may begin streams of SERVICE now, NULL if there is
 * none: until its object declares the service mixed, that is the base version, if it is served. */
const char *dy_origins_required_version (const DyOrigins *origins, const char *service);

/* Returns whether the first event of a stream of SERVICE at VERSION may be passed on now. */
bool dy_origins_may_begin (DyOrigins *origins, const char *service, const char *version);

/* Sets the function to be called when dy_origins_may_begin() may return something else. */
void dy_origins_watch (DyOrigins *origins, void (*watcher) (void *ctx), void *ctx);

/* Looks up the version that began the stream REQUEST_ID (NULL: not stated) of SERVICE. If it is
 * recorded here, stores it in ANSWER, valid until the next call, and returns NULL. Otherwise DONE
 * is called later, unless the lookup is cancelled. */
DyOriginLookup *dy_origins_look_up (DyOrigins *origins,
                                    const char *service,
                                    const char *request_id,
                                    DyOriginDone done,
                                    void *ctx,
                                    DyOriginAnswer *answer);
void dy_origins_cancel (DyOrigins *origins, DyOriginLookup *lookup);

#endif
