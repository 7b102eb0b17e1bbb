#include "services/object_store.h"

#include "kernel/error.h"

#include <string.h>

typedef struct
{
  char *key;
  char *value; /* NULL: a tombstone */
  size_t n_value;
  uint64_t version;
} StoredObject;

typedef struct
{
  GArray *list;
  const char *prefix;
  uint64_t after;
} Listing;

static void
free_object (gpointer data)
{
  StoredObject *stored = data;
  g_free (stored->key);
  g_free (stored->value);
  g_free (stored);
}

static gint
compare_keys (gconstpointer a, gconstpointer b, gpointer data)
{
  (void) data;
  return strcmp (a, b);
}

static DyObject
to_object (const StoredObject *stored)
{
  DyObject object = { .key = stored->key,
                      .version = stored->version,
                      .value = stored->value,
                      .n_value = stored->n_value };
  return object;
}

static gboolean
append_match (gpointer key, gpointer value, gpointer ctx)
{
  Listing *listing = ctx;
  const StoredObject *stored = value;
  if (!g_str_has_prefix (key, listing->prefix) || stored->version <= listing->after)
    return FALSE;
  if (!stored->value && listing->after == 0)
    return FALSE;
  DyObject object = to_object (stored);
  g_array_append_val (listing->list, object);
  return FALSE;
}

void
dy_object_store_init (DyObjectStore *store)
{
  store->objects = g_tree_new_full (compare_keys, NULL, NULL, free_object);
  store->version = 0;
}

void
dy_object_store_finish (DyObjectStore *store)
{
  g_tree_unref (store->objects);
  memset (store, 0, sizeof *store);
}

int
dy_object_store_get (const DyObjectStore *store, const char *key, DyObject *out)
{
  const StoredObject *stored = g_tree_lookup (store->objects, key);
  if (!stored || !stored->value)
    return DY_NOT_FOUND;
  *out = to_object (stored);
  return DY_OK;
}

int
dy_object_store_put (DyObjectStore *store,
                     const char *key,
                     const char *value,
                     size_t n,
                     uint64_t expected,
                     uint64_t *version)
{
  StoredObject *stored = g_tree_lookup (store->objects, key);
  *version = stored && stored->value ? stored->version : 0;
  if (*version != expected)
    return DY_CONFLICT;
  if (!stored)
    {
      stored = g_new0 (StoredObject, 1);
      stored->key = g_strdup (key);
      g_tree_insert (store->objects, stored->key, stored);
    }
  g_free (stored->value);
  stored->value = value ? g_strndup (value, n) : NULL;
  stored->n_value = n;
  stored->version = ++store->version;
  *version = stored->version;
  return DY_OK;
}

static gboolean
copy_object (gpointer key, gpointer value, gpointer ctx)
{
  DyObjectStore *store = ctx;
  const StoredObject *from = value;
  StoredObject *stored = g_new0 (StoredObject, 1);
  stored->key = g_strdup (key);
  stored->value = from->value ? g_strndup (from->value, from->n_value) : NULL;
  stored->n_value = from->n_value;
  stored->version = from->version;
  g_tree_insert (store->objects, stored->key, stored);
  return FALSE;
}

void
dy_object_store_copy (DyObjectStore *store, const DyObjectStore *from)
{
  dy_object_store_finish (store);
  dy_object_store_init (store);
  store->version = from->version;
  g_tree_foreach (from->objects, copy_object, store);
}

GArray *
dy_object_store_list (const DyObjectStore *store, const char *prefix, uint64_t after)
{
  Listing listing = { g_array_new (FALSE, FALSE, sizeof (DyObject)), prefix, after };
  g_tree_foreach (store->objects, append_match, &listing);
  return listing.list;
}
