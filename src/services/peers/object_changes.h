#ifndef DY_SERVICES_PEERS_OBJECT_CHANGES_H
#define DY_SERVICES_PEERS_OBJECT_CHANGES_H

/**
 * NAME
 *   object_changes - changes of stored objects as JSON, for other routers
 *
 * FORMAT
 *   [{"key": text, "version": number, "value": text, or null if the object was removed}, ...]
 *
 * ERRORS
 *   Changes that do not have this format are not valid; none of them is to be applied.
 */

#include "services/platform.h"

#include <jansson.h>

/* Returns the changes OBJECTS, in order, as a new reference: of each object its latest state. NULL
 * if the text would be longer than MAX_BYTES. */
json_t *dy_object_changes_encode (const DyObject *objects, uint32_t n, size_t max_bytes);

/* Returns the changes after the version BASE that LIST, all objects, shows, as a new reference.
 * KEYS is the set of the keys of the objects that existed then: the others of them were removed.
 * NULL if the text would be longer than MAX_BYTES. */
json_t *dy_object_changes_of_list (GHashTable *keys,
                                   uint64_t base,
                                   const DyPlatformReply *list,
                                   size_t max_bytes);

/* Returns whether CHANGES has the format above and all its keys begin with PREFIX. */
bool dy_object_changes_are_valid (const json_t *changes, const char *prefix);

/* Stores the change I of CHANGES, which are valid, in OBJECT, whose texts are those of CHANGES.
 * Returns false if there is none. */
bool dy_object_changes_get (const json_t *changes, size_t i, DyObject *object);

#endif
