#ifndef DY_SERVICES_OBJECT_STORE_H
#define DY_SERVICES_OBJECT_STORE_H

/**
 * NAME
 *   object_store - in-memory store of versioned objects
 *
 * DESCRIPTION
 *   Each write takes its version from one counter of the store, so of any two writes the one with
 *   the higher version is newer. A removed object leaves a tombstone, which reports the removal to
 *   watches.
 */

#include "services/platform.h"

#include <glib.h>

typedef struct
{
  GTree *objects;   /* key to object or tombstone, ordered by key */
  uint64_t version; /* of the latest write; 0: none */
} DyObjectStore;

void dy_object_store_init (DyObjectStore *store);
void dy_object_store_finish (DyObjectStore *store);

/* Sets OUT to the object KEY. Its texts belong to the store and are valid until that object is
 * written again. Returns DY_OK or DY_NOT_FOUND. */
int dy_object_store_get (const DyObjectStore *store, const char *key, DyObject *out);

/* Sets the object KEY to the N bytes of VALUE, or removes it if VALUE is NULL, provided that its
 * version is EXPECTED (0: it does not exist). Returns DY_OK and stores the new version in VERSION,
 * or DY_CONFLICT and stores the current version there (0: it does not exist). */
int dy_object_store_put (DyObjectStore *store,
                         const char *key,
                         const char *value,
                         size_t n,
                         uint64_t expected,
                         uint64_t *version);

/* Returns the objects whose keys begin with PREFIX and whose versions are above AFTER, as an array
 * of DyObject to be freed with g_array_unref(); the texts belong to the store. Removed objects,
 * with a NULL value, are listed only if AFTER is not 0. */
GArray *dy_object_store_list (const DyObjectStore *store, const char *prefix, uint64_t after);

/* Replaces the objects and the version of STORE, which is initialised, by those of FROM. */
void dy_object_store_copy (DyObjectStore *store, const DyObjectStore *from);

#endif
