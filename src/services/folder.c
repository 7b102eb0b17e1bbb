#include "services/folder.h"

#include "kernel/error.h"

#include <string.h>

static void
free_file (gpointer data)
{
  DyDeclarationFile *file = data;
  g_free (file->path);
  g_free (file->key);
  g_free (file->text);
  g_free (file);
}

static int
compare_paths (gconstpointer a, gconstpointer b)
{
  const DyDeclarationFile *const *x = a;
  const DyDeclarationFile *const *y = b;
  return strcmp ((*x)->path, (*y)->path);
}

static char *
read_file (DyFolder *folder, const char *path)
{
  GError *error = NULL;
  char *why = NULL;
  DyDeclarationFile *file = g_new0 (DyDeclarationFile, 1);
  file->path = g_strdup (path);
  g_ptr_array_add (folder->files, file);
  if (!g_file_get_contents (path, &file->text, NULL, &error))
    {
      char *text = g_strdup (error->message);
      g_error_free (error);
      return text;
    }
  file->key = dy_declarations_key_of (file->text, &why);
  if (file->key)
    return NULL;
  char *text = g_strdup_printf ("%s: %s", path, why);
  g_free (why);
  return text;
}

static char *
read_below (DyFolder *folder, const char *path)
{
  GError *error = NULL;
  GDir *dir = g_dir_open (path, 0, &error);
  const char *name;
  char *text = NULL;
  if (!dir)
    {
      text = g_strdup (error->message);
      g_error_free (error);
      return text;
    }
  while (!text && (name = g_dir_read_name (dir)))
    {
      char *child = g_build_filename (path, name, NULL);
      if (g_file_test (child, G_FILE_TEST_IS_DIR))
        text = read_below (folder, child);
      else if (g_str_has_suffix (name, ".ini"))
        text = read_file (folder, child);
      g_free (child);
    }
  g_dir_close (dir);
  return text;
}

static char *
declare_files (DyFolder *folder)
{
  GHashTable *paths = g_hash_table_new (g_str_hash, g_str_equal);
  char *text = NULL;
  g_ptr_array_sort (folder->files, compare_paths);
  for (guint i = 0; i < folder->files->len && !text; i++)
    {
      const DyDeclarationFile *file = g_ptr_array_index (folder->files, i);
      const char *other = g_hash_table_lookup (paths, file->key);
      char *why = NULL;
      if (other)
        text = g_strdup_printf ("%s: '%s' is declared in %s, too", file->path, file->key, other);
      else if (dy_declarations_put (&folder->declarations, file->key, 1, file->text, NULL, &why))
        text = g_strdup_printf ("%s: %s", file->path, why);
      g_hash_table_insert (paths, file->key, file->path);
      g_free (why);
    }
  g_hash_table_unref (paths);
  return text;
}

int
dy_folder_init (DyFolder *folder, const char *path, char **error_text)
{
  folder->files = g_ptr_array_new_with_free_func (free_file);
  dy_declarations_init (&folder->declarations);
  char *text = read_below (folder, path);
  if (!text)
    text = declare_files (folder);
  if (!text)
    {
      char *why = NULL;
      if (dy_declarations_check (&folder->declarations, &why))
        text = g_strdup_printf ("%s: %s", path, why);
      g_free (why);
    }
  if (!text)
    return DY_OK;
  dy_folder_finish (folder);
  *error_text = text;
  return DY_SETTINGS;
}

void
dy_folder_finish (DyFolder *folder)
{
  g_ptr_array_unref (folder->files);
  dy_declarations_finish (&folder->declarations);
}
