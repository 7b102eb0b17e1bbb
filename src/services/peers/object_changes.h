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

#include "services/peers/wire.h"
#include "services/platform.h"

#include <jansson.h>

enum
{
  /* Bytes of changes in one message; the rest of the frame is for the other fields. */
  DY_OBJECT_CHANGES_PART_BYTES = DY_MAX_FRAME_BYTES - 8 * 1024,
  DY_OBJECT_CHANGES_MAX_BYTES = 4 * 1024 * 1024, /* of the text of changes, before it is packed */
};

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

/* Returns CHANGES as text, to be freed with g_free(); sets PACKED to whether it is packed, as it is
 * long. */
char *dy_object_changes_to_text (const json_t *changes, bool *packed);

/* Adds CHANGES to ROOT, as "packed" if they are long, otherwise as "changes". Returns false, and
 * adds nothing, if they don't fit in a message. Takes the reference of CHANGES. */
bool dy_object_changes_add (json_t *root, json_t *changes);

/* Returns the changes that PACKED (N bytes) stands for as a new reference, JSON null if it is not
 * valid. */
json_t *dy_object_changes_unpack (const char *packed, size_t n);

/* Returns the changes in ROOT as a new reference, NULL if it has none. */
json_t *dy_object_changes_read (const json_t *root);

#endif
