#include "cli/cli.h"
#include "cli/sendings.h"
#include "kernel/error.h"

#include <jansson.h>
#include <stdio.h>
#include <string.h>

typedef struct
{
  char *text;       /* line as read, without the newline */
  const char *time; /* borrowed from root; sorts as text */
  json_t *root;     /* parsed JSON object */
} LogLine;

static void
free_line (gpointer data)
{
  LogLine *line = data;
  json_decref (line->root);
  g_free (line->text);
  g_free (line);
}

/* Adds a log line; lines without a JSON object that has a time are skipped. Text before the object,
 * such as the VM name that a log collector adds, is printed with the line. */
static void
add_line (GPtrArray *lines, const char *text)
{
  const char *brace = strchr (text, '{');
  json_t *root = brace ? json_loads (brace, 0, NULL) : NULL;
  const char *time = json_string_value (json_object_get (root, "time"));
  if (!time)
    {
      json_decref (root);
      return;
    }
  LogLine *line = g_new0 (LogLine, 1);
  line->text = g_strdup (text);
  line->root = root;
  line->time = time;
  g_ptr_array_add (lines, line);
}

static int
read_file (GPtrArray *lines, const char *path)
{
  FILE *file = strcmp (path, "-") == 0 ? stdin : fopen (path, "r");
  char *text = NULL;
  size_t size = 0;
  ssize_t n;
  if (!file)
    return dy_cli_fail (DY_IO, "%s: cannot be read", path);
  while ((n = getline (&text, &size, file)) > 0)
    {
      if (text[n - 1] == '\n')
        text[n - 1] = '\0';
      add_line (lines, text);
    }
  free (text);
  if (file != stdin)
    fclose (file);
  return DY_OK;
}

static bool
has_field (const LogLine *line, const char *name, const char *value)
{
  const char *found = json_string_value (json_object_get (line->root, name));
  return found && strcmp (found, value) == 0;
}

/* Fields that lines of other routers about the same matter share with those of the request: the
 * ticket of its reservation, the blocked part of its prompt, the endpoint that is limited or cold
 * and was passed over, and the data centre whose evacuation it met. */
static const char *const linking_fields[] = { "ticket", "part", "limited", "cold", "evacuation" };

/* Returns "FIELD=VALUE" of the linking field INDEX of LINE, to be freed with g_free(); NULL: none.
 */
static char *
link_of (const LogLine *line, size_t index)
{
  const char *value = json_string_value (json_object_get (line->root, linking_fields[index]));
  return value ? g_strconcat (linking_fields[index], "=", value, NULL) : NULL;
}

static GHashTable *
collect_links (const GPtrArray *lines, const char *request)
{
  GHashTable *links = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (guint i = 0; i < lines->len; i++)
    for (size_t k = 0; k < G_N_ELEMENTS (linking_fields); k++)
      {
        const LogLine *line = g_ptr_array_index (lines, i);
        char *link = has_field (line, "request", request) ? link_of (line, k) : NULL;
        if (link)
          g_hash_table_add (links, link);
      }
  return links;
}

/* Returns whether LINE names no request and shares a linking field with a line of the request. */
static bool
is_linked (const LogLine *line, GHashTable *links)
{
  bool linked = false;
  if (json_object_get (line->root, "request"))
    return false;
  for (size_t k = 0; k < G_N_ELEMENTS (linking_fields) && !linked; k++)
    {
      char *link = link_of (line, k);
      linked = link && g_hash_table_contains (links, link);
      g_free (link);
    }
  return linked;
}

static gint
compare_lines (gconstpointer a, gconstpointer b)
{
  return strcmp ((*(const LogLine *const *) a)->time, (*(const LogLine *const *) b)->time);
}

static int
print_request (const GPtrArray *lines, const char *request, bool with_sendings)
{
  GHashTable *links = collect_links (lines, request);
  GPtrArray *own = g_ptr_array_new ();
  int n_printed = 0;
  for (guint i = 0; i < lines->len; i++)
    {
      const LogLine *line = g_ptr_array_index (lines, i);
      /* Streams that the request began and that were resumed are shown, too. */
      if (!has_field (line, "request", request) && !has_field (line, "resumes", request)
          && !is_linked (line, links))
        continue;
      puts (line->text);
      n_printed++;
      if (has_field (line, "request", request))
        g_ptr_array_add (own, line->root);
    }
  if (with_sendings)
    dy_cli_print_sendings (own);
  g_ptr_array_unref (own);
  g_hash_table_unref (links);
  if (n_printed == 0)
    return dy_cli_fail (DY_NOT_FOUND, "no log line has request id %s", request);
  return DY_OK;
}

int
dy_cli_explain (DyCli *cli)
{
  GPtrArray *lines = g_ptr_array_new_with_free_func (free_line);
  int error = DY_OK;
  for (int i = 1; i < cli->n_args && !error; i++)
    error = read_file (lines, cli->args[i]);
  if (!error)
    {
      g_ptr_array_sort (lines, compare_lines);
      error = print_request (lines, cli->args[0], !cli->json);
    }
  g_ptr_array_unref (lines);
  return error;
}
