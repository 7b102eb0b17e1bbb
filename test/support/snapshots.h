#ifndef TEST_SUPPORT_SNAPSHOTS_H
#define TEST_SUPPORT_SNAPSHOTS_H

/**
 * NAME
 *   snapshots - copies of an object store from the last seconds, to restore it from
 *
 * UNITS
 *   Times are microseconds of any clock that only increases.
 */

#include "services/object_store.h"

typedef struct
{
  GPtrArray *copies;
  int64_t age_us; /* older copies are dropped */
} Snapshots;

void snapshots_init (Snapshots *snapshots, int64_t age_us);
void snapshots_finish (Snapshots *snapshots);

/* To be called before each write: keeps a copy of STORE as it is at NOW_US. */
void snapshots_take (Snapshots *snapshots, const DyObjectStore *store, int64_t now_us);

/* Sets STORE to what it was at TIME_US. Later copies are dropped. Returns false, and leaves STORE
 * as it is, if it was not written since. */
bool snapshots_restore (Snapshots *snapshots, DyObjectStore *store, int64_t time_us);

#endif
