#ifndef DY_CORE_STORE_VERSION_H
#define DY_CORE_STORE_VERSION_H

/**
 * NAME
 *   store_version - versions of stored objects that stay unique when the store is restored
 *
 * DESCRIPTION
 *   A store numbers its changes with revisions. When it is restored from an older copy, the changes
 *   since are lost and their revisions are given out again, to other changes. The store counts its
 *   restores: the number is its era.
 *
 *   A version is made of an era and a revision. Versions of a later era are higher, and no two
 *   changes have the same version. A store that does not state its era has era 0.
 *
 *   The checks decide which calls and answers are still valid when the era has changed. They do no
 *   I/O and keep no state.
 *
 * ERRORS
 *   DY_HISTORY_GONE  the store cannot tell what changed since the version that a call names, or the
 *                    answer is of an earlier era than is known
 *   DY_CONFLICT      a write names a version of an earlier era, so its object is not the expected
 *                    one
 *   DY_UNAVAILABLE   a write was sent in one era and answered in another: it may have taken effect,
 *                    on another object than the expected one
 */

#include <stdint.h>

typedef enum
{
  DY_STORE_READ,  /* of an object or a list; the basis is the version of the list's first page */
  DY_STORE_WATCH, /* the changes after a version */
  DY_STORE_WRITE,
} DyStoreCallKind;

typedef struct
{
  DyStoreCallKind kind;
  uint64_t basis;    /* version that the call names; 0: none */
  uint64_t sent_era; /* latest era known when the call was sent; 0: none */
} DyStoreCall;

uint64_t dy_store_version (uint64_t era, uint64_t revision);
uint64_t dy_store_version_era (uint64_t version);
uint64_t dy_store_version_revision (uint64_t version);

/* Returns whether CALL may be sent when KNOWN_ERA is the latest known: DY_OK or an error. */
int dy_store_check_call (const DyStoreCall *call, uint64_t known_era);

/* Returns the result of CALL, of which the store's own is ERROR. ANSWER_ERA is that of the answer,
 * 0 if it states none; KNOWN_ERA is the latest known, that of this answer included. */
int
dy_store_check_answer (const DyStoreCall *call, int error, uint64_t answer_era, uint64_t known_era);

#endif
