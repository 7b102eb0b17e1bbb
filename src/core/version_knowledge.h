#ifndef DY_CORE_VERSION_KNOWLEDGE_H
#define DY_CORE_VERSION_KNOWLEDGE_H

/**
 * NAME
 *   version_knowledge - whether a router knows all software versions that may have begun a stream
 *
 * DESCRIPTION
 *   A stream without a recorded origin may be taken to be of the only known version if no other
 *   one can have served. A router learns of versions from the endpoints' records. The interval from
 *   FROM_US to TO_US is covered: all records that were listed in it are known. If two confirmations
 *   are too far apart, a record may have been added and removed between them, so FROM_US is set to
 *   the later one. Versions from before FROM_US are read from the store, where the routers keep
 *   those of each service.
 *
 *   A stream began before its caller asks to resume it, so what is known must cover the time at
 *   which the caller asked. Only if neither this router nor any other one that may run reaches the
 *   store, no endpoint can have been listed since.
 *
 *   A store that was restored may lack the latest records and versions until the endpoints have
 *   written them again, within two seconds.
 *
 * UNITS
 *   Times are microseconds by one clock, INT64_MIN / 2 where nothing happened yet. The module reads
 *   no clock; the time is passed in as NOW_US.
 */

#include <stdbool.h>
#include <stdint.h>

enum
{
  /* Time in which endpoints write the records again that a restored store lacks. */
  DY_VERSIONS_REWRITE_US = 2000 * 1000,
};

typedef struct
{
  int64_t from_us;
  int64_t to_us;
  int64_t read_us; /* sending of the latest read of the store's versions */
} DyVersionKnowledge;

typedef struct
{
  int64_t asked_us; /* time at which the caller asked */
  bool cut_off;     /* the store does not answer this router */
  bool all_cut_off; /* nor any other router that may run, and no later record is known to exist */
  bool restored;    /* the store was restored within DY_VERSIONS_REWRITE_US */
  bool stored;      /* the store has the service's versions, written since it was last restored */
} DyVersionEvidence;

typedef enum
{
  DY_VERSIONS_COMPLETE,
  DY_VERSIONS_AWAITED, /* they may be known to be complete soon */
  DY_VERSIONS_UNKNOWN,
} DyVersionVerdict;

/* What is known of a stream that no router has recorded, in a service of several versions. A router
 * begins streams at another version than the base only once its object in the store declares the
 * service mixed, and that write lists all streams that it has begun. So the stream was begun at the
 * base if every router that declares the service mixed says that it did not begin it. */
typedef struct
{
  bool read;           /* the routers' objects were read after the caller asked */
  bool versions_known; /* the base in the store was read, with no gap since */
  bool restored;       /* the store was restored, and may lack a declaration */
  bool inherited;      /* a process of this router that ended may have begun it */
  bool out_of_reach;   /* a router that declares the service mixed cannot be asked */
  uint32_t n_asked;    /* routers that were asked and have not answered */
} DyUnlistedEvidence;

/* Returns whether the stream was begun at the base version. */
bool dy_version_knowledge_judge_unlisted (const DyUnlistedEvidence *evidence);

void dy_version_knowledge_init (DyVersionKnowledge *knowledge);

/* Records that all records listed up to CONFIRMED_US are known. */
void dy_version_knowledge_extend (DyVersionKnowledge *knowledge, int64_t confirmed_us);

/* Records that the versions in the store were read by a call that was sent at SENT_US. */
void dy_version_knowledge_record_read (DyVersionKnowledge *knowledge, int64_t sent_us);

/* Returns whether the versions in the store must be read to know those of before the time that is
 * covered. */
bool dy_version_knowledge_needs_read (const DyVersionKnowledge *knowledge, int64_t now_us);

DyVersionVerdict dy_version_knowledge_judge (const DyVersionKnowledge *knowledge,
                                             const DyVersionEvidence *evidence,
                                             int64_t now_us);

/* Returns whether this router may write the versions of a service that the store lacks, or has from
 * before it was restored: not until all endpoints can have written their records again. */
bool dy_version_knowledge_may_write (const DyVersionKnowledge *knowledge, int64_t now_us);

#endif
