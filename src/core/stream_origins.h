#ifndef DY_CORE_STREAM_ORIGINS_H
#define DY_CORE_STREAM_ORIGINS_H

/**
 * NAME
 *   stream_origins - the software versions that began streams, and those that serve
 *
 * DESCRIPTION
 *   What two versions of a service write does not fit together, so a stream may go on only at the
 *   version that began it. The table keeps the version of each stream until its caller can no
 *   longer resume it, and the versions of each service that were listed lately. If there is only
 *   one, and no other is missing here (core/version_knowledge.h), every stream of the service was
 *   begun by it. The base version of a service is the only one it had before the others came.
 *   docs/ORIGINS.md says where else origins are kept.
 *
 * UNITS
 *   Times are microseconds; the module reads no clock, the time is passed in as NOW_US.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum
{
  /* Time after which a version that is no longer listed is dropped: longer than callers resume a
   * stream. */
  DY_VERSION_RETENTION_US = 20 * 1000 * 1000,
  /* Time for which a version must have been the only one to be the base. */
  DY_VERSION_BASE_US = 2 * 1000 * 1000,
};

typedef struct
{
  GHashTable *streams;  /* request id to its origin */
  GHashTable *services; /* service to its versions */
} DyStreamOrigins;

typedef struct
{
  const char *request_id;
  const char *service;
  const char *version;
  const char *router; /* that passed the first event on; NULL: this one */
  int64_t known_us;   /* time at which it was recorded here */
  int64_t expires_us;
} DyStreamOrigin;

void dy_stream_origins_init (DyStreamOrigins *origins);
void dy_stream_origins_finish (DyStreamOrigins *origins);

/* Records the origin of a stream, from the first event that is passed on: it does not change.
 * Copies the strings. */
void dy_stream_origins_add (DyStreamOrigins *origins, const DyStreamOrigin *origin);

/* Records that VERSION of SERVICE is listed, or was until NOW_US. Returns whether it was not known.
 */
bool dy_stream_origins_see (DyStreamOrigins *origins,
                            const char *service,
                            const char *version,
                            int64_t now_us);

/* Returns whether streams of SERVICE may have been begun by more than one version. */
bool dy_stream_origins_is_mixed (const DyStreamOrigins *origins, const char *service);

/* Stores what is recorded of the stream REQUEST_ID (NULL: not stated) in ORIGIN, valid until the
 * table changes. Returns whether there is anything. */
bool dy_stream_origins_get (const DyStreamOrigins *origins,
                            const char *request_id,
                            DyStreamOrigin *origin);

/* Returns the version that began the stream REQUEST_ID (NULL: not stated) of SERVICE, or NULL if
 * that is not known here. COMPLETE is whether no version that may have begun it is missing here, so
 * that one which is not recorded was begun by the only version there is. */
const char *dy_stream_origins_find (const DyStreamOrigins *origins,
                                    const char *service,
                                    const char *request_id,
                                    bool complete);

/* Returns whether one version of SERVICE is known, and no other one. */
bool dy_stream_origins_has_one_version (const DyStreamOrigins *origins, const char *service);

/* Returns the base version of SERVICE, NULL if it is not known: several versions were known at
 * first, or the base is no longer one of them. */
const char *
dy_stream_origins_base (const DyStreamOrigins *origins, const char *service, int64_t now_us);

/* Sets the base version of SERVICE, which other routers know; NULL: they know none. */
void dy_stream_origins_set_base (DyStreamOrigins *origins, const char *service, const char *base);

/* Forgets all base versions. An only version is not one again before FROM_US. */
void dy_stream_origins_forget_bases (DyStreamOrigins *origins, int64_t from_us);

/* Drops expired streams, and versions that have not been listed for so long that no stream of
 * theirs can be resumed. Returns whether a version was dropped. */
bool dy_stream_origins_evict (DyStreamOrigins *origins, int64_t now_us);

/* Call VISIT for each stream, or for each version of SERVICE. */
void dy_stream_origins_visit (const DyStreamOrigins *origins,
                              void (*visit) (void *ctx, const DyStreamOrigin *origin),
                              void *ctx);
void dy_stream_origins_visit_versions (const DyStreamOrigins *origins,
                                       const char *service,
                                       void (*visit) (void *ctx, const char *version),
                                       void *ctx);

/* Returns the least time between two writes of a router's origins, or between two confirmations
 * that it asks for, when the fleet has N_ROUTERS. */
int64_t dy_stream_origins_write_interval_us (uint32_t n_routers);
int64_t dy_stream_origins_confirm_interval_us (uint32_t n_routers);

#endif
