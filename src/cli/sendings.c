#include "cli/sendings.h"

#include <jansson.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  EVENT_ATTEMPT_FAILED = 6001,
  EVENT_PLACED = 7003,
  EVENT_ENDED = 7004,
  EVENT_SILENT = 7005,
  EVENT_RELAY_PLACED = 7012,
  EVENT_TURNED_AWAY = 7013,
  STATUS_MISDIRECTED = 421,
};

typedef struct
{
  const json_t *line;   /* of the sending */
  const json_t *end;    /* of its end; NULL: it is not in the log */
  const json_t *silent; /* of its replacement by another one; NULL: none */
} Sending;

/* Fields that each line has, or that are printed by name. */
static const char *const common_fields[]
    = { "time", "level", "event", "name", "request", "endpoint", "attempt", NULL };

static const char *
text_of (const json_t *line, const char *field)
{
  return json_string_value (json_object_get (line, field));
}

/* Returns the integer FIELD; OTHERWISE if the line lacks it. */
static int
number_of (const json_t *line, const char *field, int otherwise)
{
  const json_t *value = json_object_get (line, field);
  if (json_is_integer (value))
    return (int) json_integer_value (value);
  return json_is_string (value) ? atoi (json_string_value (value)) : otherwise;
}

static int
event_of (const json_t *line)
{
  return number_of (line, "event", 0);
}

static void
print_fields (const json_t *line)
{
  const char *name;
  json_t *value;
  const char *separator = " (";
  json_object_foreach ((json_t *) line, name, value)
  {
    if (g_strv_contains (common_fields, name))
      continue;
    char *text = json_is_string (value) ? g_strdup (json_string_value (value))
                                        : json_dumps (value, JSON_ENCODE_ANY);
    printf ("%s%s=%s", separator, name, text);
    g_free (text);
    separator = " ";
  }
  fputs (separator[1] == '(' ? "" : ")", stdout);
}

/* Returns the latest sending to the endpoint of LINE that has not ended; NULL: none. */
static Sending *
find_open (const GArray *sendings, const json_t *line)
{
  const char *endpoint = text_of (line, "endpoint");
  for (guint i = sendings->len; i > 0; i--)
    {
      Sending *sending = &g_array_index (sendings, Sending, i - 1);
      if (!sending->end && g_strcmp0 (text_of (sending->line, "endpoint"), endpoint) == 0)
        return sending;
    }
  return NULL;
}

/* Returns whether LINE belongs to one sending, to which it is then added. */
static bool
add_to_sending (GArray *sendings, const json_t *line)
{
  Sending *sending = find_open (sendings, line);
  switch (event_of (line))
    {
    case EVENT_ATTEMPT_FAILED:
    case EVENT_TURNED_AWAY:
      if (sending)
        sending->end = line;
      return sending != NULL;
    case EVENT_SILENT:
      if (sending)
        sending->silent = line;
      return sending != NULL;
    default:
      return false;
    }
}

static bool
is_sending (const json_t *line)
{
  return event_of (line) == EVENT_PLACED || event_of (line) == EVENT_RELAY_PLACED;
}

/* Returns whether the request certainly did not run there. */
static bool
did_not_run (const json_t *end)
{
  return event_of (end) == EVENT_TURNED_AWAY
             ? number_of (end, "ran", 1) == 0
             : number_of (end, "not_run", 0) == 1 || number_of (end, "sent", 1) == 0
                   || number_of (end, "left", 0) == 1
                   || (number_of (end, "status", 0) == STATUS_MISDIRECTED
                       && number_of (end, "foreign", 0) == 0);
}

static const char *
describe_end (const json_t *end)
{
  if (number_of (end, "left", 0) == 1 && number_of (end, "evacuated", 0) == 1)
    return "not sent, as its data centre is evacuated";
  if (number_of (end, "left", 0) == 1)
    return "not sent, as the endpoint left or wants nothing";
  if (number_of (end, "sent", 1) == 0)
    return "not sent";
  if (number_of (end, "foreign", 0) == 1)
    return "answer to another request or not the endpoint's, may have run";
  if (did_not_run (end))
    return "refused as not run";
  if (event_of (end) == EVENT_TURNED_AWAY)
    return "turned away beside a silent sending, may have run";
  if (number_of (end, "head", number_of (end, "status", 0) != 0) == 0)
    return "no answer, may have run";
  return "failed, may have run";
}

static const char *
describe_connection (const json_t *end)
{
  int reused = number_of (end, "reused", -1);
  if (reused < 0)
    return "";
  return reused ? ", used connection" : ", new connection";
}

/* Returns whether SENDINGS has another one than SENDING that goes on, or that was answered. */
static bool
has_other_open (const GArray *sendings, const Sending *sending)
{
  for (guint i = 0; i < sendings->len; i++)
    {
      const Sending *other = &g_array_index (sendings, Sending, i);
      if (other != sending && !other->end && !other->silent)
        return true;
    }
  return false;
}

/* Returns why the request was sent again after SENDING, or that it was not. */
static const char *
describe_resend (const GArray *sendings, const Sending *sending)
{
  if (sending != &g_array_index (sendings, Sending, sendings->len - 1))
    return did_not_run (sending->end) ? "sent again, as it did not run"
                                      : "sent again, though it may have run";
  return has_other_open (sendings, sending) ? "another sending goes on" : "not sent again";
}

static void
print_sending (const GArray *sendings, guint index)
{
  const Sending *sending = &g_array_index (sendings, Sending, index);
  const char *endpoint = text_of (sending->line, "endpoint");
  printf ("%u to %s%s", index + 1, endpoint ? endpoint : "?",
          event_of (sending->line) == EVENT_RELAY_PLACED ? " by another router" : "");
  int n_evacuated = number_of (sending->line, "evacuated", 0);
  if (n_evacuated > 0)
    printf (", evacuated endpoints passed over: %d", n_evacuated);
  print_fields (sending->line);
  if (sending->silent)
    {
      fputs ("; silent, another one goes on", stdout);
      print_fields (sending->silent);
    }
  if (sending->end)
    {
      printf ("; %s%s", describe_end (sending->end), describe_connection (sending->end));
      print_fields (sending->end);
      printf ("; %s", describe_resend (sendings, sending));
    }
  else if (!sending->silent)
    fputs ("; no failure logged", stdout);
  putchar ('\n');
}

void
dy_cli_print_sendings (const GPtrArray *lines)
{
  GArray *sendings = g_array_new (FALSE, TRUE, sizeof (Sending));
  GHashTable *used = g_hash_table_new (NULL, NULL); /* lines that are part of a sending */
  guint number = 0;
  for (guint i = 0; i < lines->len; i++)
    {
      const json_t *line = g_ptr_array_index (lines, i);
      Sending sending = { .line = line };
      if (is_sending (line))
        g_array_append_val (sendings, sending);
      else if (add_to_sending (sendings, line))
        g_hash_table_add (used, (gpointer) line);
    }
  if (sendings->len > 0)
    printf ("\nsendings of %s:\n", text_of (lines->pdata[0], "request"));
  for (guint i = 0; i < lines->len && sendings->len > 0; i++)
    {
      const json_t *line = g_ptr_array_index (lines, i);
      if (is_sending (line))
        print_sending (sendings, number++);
      else if (!g_hash_table_contains (used, line))
        {
          const char *name = text_of (line, "name");
          printf ("%s%d %s", event_of (line) == EVENT_ENDED ? "" : "  ", event_of (line),
                  name ? name : "");
          print_fields (line);
          putchar ('\n');
        }
    }
  g_hash_table_unref (used);
  g_array_unref (sendings);
}
