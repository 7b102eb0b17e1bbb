#include "services/peers/object_changes.h"

#include "services/peers/packed_text.h"

#include <string.h>

enum
{
  FIELD_BYTES = 64, /* of a change without its texts, at most */
  ESCAPE_BYTES = 6, /* of a control character: a backslash, "u" and four digits */
};

/* Returns the bytes of TEXT, which may be NULL, as a JSON string. */
static size_t
encoded_size (const char *text)
{
  size_t n = 0;
  for (const char *c = text ? text : ""; *c; c++)
    {
      bool is_control = (unsigned char) *c < ' ';
      n += is_control ? ESCAPE_BYTES : (*c == '"' || *c == '\\') ? 2 : 1;
    }
  return n;
}

/* Returns a table from each key of OBJECTS to the last of them with that key. A list has thousands
 * of objects, too many to compare each one with all that follow it. */
static GHashTable *
last_by_key (const DyObject *objects, uint32_t n)
{
  GHashTable *last = g_hash_table_new (g_str_hash, g_str_equal);
  for (uint32_t i = 0; i < n; i++)
    g_hash_table_insert (last, (gpointer) objects[i].key, (gpointer) &objects[i]);
  return last;
}

json_t *
dy_object_changes_encode (const DyObject *objects, uint32_t n, size_t max_bytes)
{
  json_t *changes = json_array ();
  GHashTable *last = last_by_key (objects, n);
  size_t n_bytes = 0;
  for (uint32_t i = 0; i < n && n_bytes <= max_bytes; i++)
    {
      const DyObject *object = &objects[i];
      if (g_hash_table_lookup (last, object->key) != object)
        continue;
      n_bytes += FIELD_BYTES + encoded_size (object->key) + encoded_size (object->value);
      json_array_append_new (changes,
                             json_pack ("{s:s, s:I, s:s?}", "key", object->key, "version",
                                        (json_int_t) object->version, "value", object->value));
    }
  g_hash_table_unref (last);
  if (n_bytes <= max_bytes)
    return changes;
  json_decref (changes);
  return NULL;
}

json_t *
dy_object_changes_of_list (GHashTable *keys,
                           uint64_t base,
                           const DyPlatformReply *list,
                           size_t max_bytes)
{
  GArray *objects = g_array_new (FALSE, FALSE, sizeof (DyObject));
  GHashTable *listed = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTableIter iter;
  gpointer key;
  for (uint32_t i = 0; i < list->n_objects; i++)
    {
      g_hash_table_add (listed, (gpointer) list->objects[i].key);
      if (list->objects[i].version > base)
        g_array_append_val (objects, list->objects[i]);
    }
  g_hash_table_iter_init (&iter, keys);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    if (!g_hash_table_contains (listed, key))
      {
        DyObject removal = { .key = key, .version = list->version };
        g_array_append_val (objects, removal);
      }
  json_t *changes
      = dy_object_changes_encode ((const DyObject *) objects->data, objects->len, max_bytes);
  g_hash_table_unref (listed);
  g_array_unref (objects);
  return changes;
}

static bool
is_valid (const json_t *change, const char *prefix)
{
  const char *key = json_string_value (json_object_get (change, "key"));
  const json_t *value = json_object_get (change, "value");
  return key && g_str_has_prefix (key, prefix)
         && json_is_integer (json_object_get (change, "version"))
         && (json_is_string (value) || json_is_null (value));
}

bool
dy_object_changes_are_valid (const json_t *changes, const char *prefix)
{
  const json_t *change;
  size_t i;
  json_array_foreach (changes, i, change)
  {
    if (!is_valid (change, prefix))
      return false;
  }
  return json_is_array (changes);
}

bool
dy_object_changes_get (const json_t *changes, size_t i, DyObject *object)
{
  const json_t *change = json_array_get (changes, i);
  const json_t *value = json_object_get (change, "value");
  if (!change)
    return false;
  *object
      = (DyObject){ .key = json_string_value (json_object_get (change, "key")),
                    .version = (uint64_t) json_integer_value (json_object_get (change, "version")),
                    .value = json_string_value (value),
                    .n_value = json_string_length (value) };
  return true;
}

char *
dy_object_changes_to_text (const json_t *changes, bool *packed)
{
  char *json = json_dumps (changes, JSON_COMPACT);
  size_t n = strlen (json);
  *packed = n > DY_PACKED_TEXT_MIN_BYTES;
  char *text = *packed ? dy_packed_text_encode (json, n) : g_strdup (json);
  free (json);
  return text;
}

bool
dy_object_changes_add (json_t *root, json_t *changes)
{
  bool packed;
  char *text = dy_object_changes_to_text (changes, &packed);
  bool fits = strlen (text) <= DY_OBJECT_CHANGES_PART_BYTES;
  if (packed && fits)
    json_object_set_new (root, "packed", json_string (text));
  else if (fits)
    json_object_set (root, "changes", changes);
  g_free (text);
  json_decref (changes);
  return fits;
}

json_t *
dy_object_changes_unpack (const char *packed, size_t n)
{
  size_t n_text = 0;
  char *text = dy_packed_text_decode (packed, n, DY_OBJECT_CHANGES_MAX_BYTES, &n_text);
  json_t *changes = text ? json_loadb (text, n_text, 0, NULL) : NULL;
  g_free (text);
  return changes ? changes : json_null ();
}

json_t *
dy_object_changes_read (const json_t *root)
{
  const char *packed = json_string_value (json_object_get (root, "packed"));
  return packed ? dy_object_changes_unpack (packed, strlen (packed))
                : json_incref (json_object_get (root, "changes"));
}
