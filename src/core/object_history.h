#ifndef DY_CORE_OBJECT_HISTORY_H
#define DY_CORE_OBJECT_HISTORY_H

/**
 * NAME
 *   object_history - the known objects below a key prefix and what changed of them lately
 *
 * DESCRIPTION
 *   Keeps a copy of each object with the version of its latest change, and a bounded log of
 *   removals. The changes after a version are the objects of later versions and the later removals.
 *
 *   The log has no removal of an object that was created and removed between two lists of the
 *   store, as no list has it, and another router may still have the object. So the history is
 *   incomplete for the versions within such a gap, of which the latest is kept.
 *
 * LOAD
 *   A few hundred objects, of which one may have hundreds of kilobytes; up to a dozen changes a
 *   second. Removals beyond DY_OBJECT_HISTORY_REMOVALS are dropped, the oldest first; the history
 *   is then complete from the version of the latest one dropped.
 *
 * UNITS
 *   Versions are those of core/store_version.h.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum
{
  DY_OBJECT_HISTORY_REMOVALS = 256,
};

typedef struct
{
  GHashTable *objects;     /* key to the object's latest state */
  GHashTable *removed;     /* key of an object that was removed to the version of that */
  uint64_t version;        /* of the latest update; 0: none yet */
  uint64_t complete_since; /* all removals after this version are in the log, but for the gap */
  uint64_t gap_from;       /* exclusive, as gap_to */
  uint64_t gap_to;
  uint64_t list_number; /* of the latest list */
  bool listing;
} DyObjectHistory;

typedef enum
{
  DY_OBJECT_UPDATE_CHANGES,  /* all changes since the known version */
  DY_OBJECT_UPDATE_COMPARED, /* the changes that a list shows */
  DY_OBJECT_UPDATE_LIST,     /* all objects */
} DyObjectUpdate;

/* VALUE is NULL if the object was removed. */
typedef void (*DyObjectVisitor) (void *ctx, const char *key, uint64_t version, const char *value);

void dy_object_history_init (DyObjectHistory *history);
void dy_object_history_finish (DyObjectHistory *history);

/* Begins an update to VERSION, which is followed by its objects and its end. */
void dy_object_history_begin (DyObjectHistory *history, DyObjectUpdate update, uint64_t version);
void dy_object_history_record (DyObjectHistory *history,
                               const char *key,
                               uint64_t version,
                               const char *value);
void dy_object_history_end (DyObjectHistory *history);

/* Returns whether the history has all changes for a router that knows all up to KNOWN, the latest
 * of them at or before CHANGED. Stores the version in AFTER after which they are. */
bool dy_object_history_reaches (const DyObjectHistory *history,
                                uint64_t known,
                                uint64_t changed,
                                uint64_t *after);

/* Returns whether a router that knows all changes up to KNOWN, and has N_OBJECTS objects, has the
 * same ones in the same state: no later list or change of them is needed. */
bool dy_object_history_is_same (const DyObjectHistory *history, uint64_t known, uint32_t n_objects);

/* Calls VISITOR for the latest change of each object after the version AFTER, or for all objects
 * if AFTER is 0. */
void dy_object_history_visit (const DyObjectHistory *history,
                              uint64_t after,
                              DyObjectVisitor visitor,
                              void *ctx);

#endif
