#include "core/object_history.h"

#include "core/store_version.h"

#include <string.h>

typedef struct
{
  uint64_t version;
  uint64_t list_number; /* of the latest list before its latest change, or with it */
  char *value;
} KnownObject;

static void
free_object (gpointer data)
{
  KnownObject *object = data;
  g_free (object->value);
  g_free (object);
}

void
dy_object_history_init (DyObjectHistory *history)
{
  memset (history, 0, sizeof *history);
  history->objects = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_object);
  history->removed = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
dy_object_history_finish (DyObjectHistory *history)
{
  g_hash_table_unref (history->objects);
  g_hash_table_unref (history->removed);
}

void
dy_object_history_begin (DyObjectHistory *history, DyObjectUpdate update, uint64_t version)
{
  history->listing = update == DY_OBJECT_UPDATE_LIST;
  if (history->listing)
    history->list_number++;
  if (history->version == 0
      || dy_store_version_era (history->version) != dy_store_version_era (version))
    {
      g_hash_table_remove_all (history->removed);
      history->complete_since = version;
      history->gap_from = history->gap_to = 0;
    }
  else if (update != DY_OBJECT_UPDATE_CHANGES && version > history->version)
    {
      history->complete_since = MAX (history->complete_since, history->gap_to);
      history->gap_from = history->version;
      history->gap_to = version;
    }
  history->version = version;
}

/* Drops the oldest removal if the log is full. */
static void
bound_removals (DyObjectHistory *history)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;
  const char *oldest_key = NULL;
  uint64_t oldest = UINT64_MAX;
  if (g_hash_table_size (history->removed) <= DY_OBJECT_HISTORY_REMOVALS)
    return;
  g_hash_table_iter_init (&iter, history->removed);
  while (g_hash_table_iter_next (&iter, &key, &value))
    if (*(const uint64_t *) value < oldest)
      {
        oldest = *(const uint64_t *) value;
        oldest_key = key;
      }
  g_hash_table_remove (history->removed, oldest_key);
  history->complete_since = MAX (history->complete_since, oldest);
}

static void
record_removal (DyObjectHistory *history, const char *key)
{
  /* The version of a removal is not always known; that of the update is at or after it. */
  g_hash_table_replace (history->removed, g_strdup (key),
                        g_memdup2 (&history->version, sizeof history->version));
  bound_removals (history);
}

void
dy_object_history_record (DyObjectHistory *history,
                          const char *key,
                          uint64_t version,
                          const char *value)
{
  if (!value)
    {
      g_hash_table_remove (history->objects, key);
      record_removal (history, key);
      return;
    }
  KnownObject *object = g_new0 (KnownObject, 1);
  object->version = version;
  object->list_number = history->list_number;
  object->value = g_strdup (value);
  g_hash_table_remove (history->removed, key);
  g_hash_table_replace (history->objects, g_strdup (key), object);
}

void
dy_object_history_end (DyObjectHistory *history)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;
  if (!history->listing)
    return;
  history->listing = false;
  g_hash_table_iter_init (&iter, history->objects);
  while (g_hash_table_iter_next (&iter, &key, &value))
    if (((const KnownObject *) value)->list_number != history->list_number)
      {
        record_removal (history, key);
        g_hash_table_iter_remove (&iter);
      }
}

bool
dy_object_history_reaches (const DyObjectHistory *history,
                           uint64_t known,
                           uint64_t changed,
                           uint64_t *after)
{
  /* A router without a change between two versions knows what it would know at the earlier one. */
  *after = known >= history->gap_to ? known : MIN (known, history->gap_from);
  return history->version != 0 && *after >= history->complete_since && *after >= changed
         && dy_store_version_era (known) == dy_store_version_era (history->version);
}

bool
dy_object_history_is_same (const DyObjectHistory *history, uint64_t known, uint32_t n_objects)
{
  GHashTableIter iter;
  gpointer value;
  /* Objects of no later version than KNOWN existed then, so they are among those N_OBJECTS. */
  g_hash_table_iter_init (&iter, history->objects);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((const KnownObject *) value)->version > known)
      return false;
  return g_hash_table_size (history->objects) == n_objects;
}

void
dy_object_history_visit (const DyObjectHistory *history,
                         uint64_t after,
                         DyObjectVisitor visitor,
                         void *ctx)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;
  g_hash_table_iter_init (&iter, history->objects);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const KnownObject *object = value;
      if (object->version > after)
        visitor (ctx, key, object->version, object->value);
    }
  if (after == 0)
    return;
  g_hash_table_iter_init (&iter, history->removed);
  while (g_hash_table_iter_next (&iter, &key, &value))
    if (*(const uint64_t *) value > after)
      visitor (ctx, key, *(const uint64_t *) value, NULL);
}
