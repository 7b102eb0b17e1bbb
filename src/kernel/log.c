#include "kernel/log.h"

#include <poll.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

static const DyEventInfo event_table[] = {
#define DY_EVENT_ROW(symbol, number, level, name) { number, G_LOG_LEVEL_##level, name },
  DY_EVENT_LIST (DY_EVENT_ROW)
#undef DY_EVENT_ROW
};

enum
{
  MAX_BUFFER_BYTES = 256 * 1024, /* capacity for lines that wait for standard output */
  BLOCK_BYTES = 4096, /* PIPE_BUF: a pipe that polls writable accepts this much without blocking */
  US_PER_S = 1000 * 1000,
};

typedef struct
{
  bool json;
  GLogLevelFlags level;
  int64_t lines_per_s;
  GString *buffer;
  int64_t n_dropped; /* since the last LINES_DROPPED event */
  int64_t credit_us; /* token bucket of the rate limit; a line costs US_PER_S / lines_per_s */
  int64_t credit_updated_us; /* monotonic time of the last refill */
  time_t cached_s;           /* Unix time of cached_time */
  char cached_time[32];      /* formatted time without the fraction of a second */
} Log;

static Log the_log;

static const char *
field_value (const GLogField *fields, gsize n, const char *name)
{
  for (gsize i = 0; i < n; i++)
    if (strcmp (fields[i].key, name) == 0)
      return fields[i].value;
  return "";
}

static const char *
level_name (GLogLevelFlags level)
{
  if (level & (G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL))
    return "error";
  if (level & G_LOG_LEVEL_WARNING)
    return "warning";
  if (level & G_LOG_LEVEL_MESSAGE)
    return "notice";
  return "info";
}

static void
append_escaped (GString *out, const char *text, size_t n)
{
  for (size_t i = 0; i < n; i++)
    {
      unsigned char c = (unsigned char) text[i];
      if (c == '"' || c == '\\')
        g_string_append_c (out, '\\');
      if (c < ' ')
        g_string_append_printf (out, "\\u%04x", c);
      else
        g_string_append_c (out, (gchar) c);
    }
}

static void
append_member (GString *out, const char *name, size_t n_name, const char *value, size_t n_value)
{
  g_string_append (out, ",\"");
  append_escaped (out, name, n_name);
  g_string_append (out, "\":\"");
  append_escaped (out, value, n_value);
  g_string_append_c (out, '"');
}

/* Appends the "field=value" pairs of MSG as members; all other words form the member "text". */
static void
append_fields (GString *out, const char *msg)
{
  GString *text = g_string_new (NULL);
  while (*msg)
    {
      size_t n = strcspn (msg, " ");
      const char *equals = memchr (msg, '=', n);
      if (equals && equals > msg)
        append_member (out, msg, (size_t) (equals - msg), equals + 1,
                       n - (size_t) (equals + 1 - msg));
      else if (n > 0)
        {
          g_string_append (text, text->len > 0 ? " " : "");
          g_string_append_len (text, msg, (gssize) n);
        }
      msg += n + (msg[n] == ' ' ? 1 : 0);
    }
  if (text->len > 0)
    append_member (out, "text", strlen ("text"), text->str, text->len);
  g_string_free (text, TRUE);
}

static void
append_time (Log *log)
{
  int64_t now_us = g_get_real_time ();
  time_t now_s = (time_t) (now_us / US_PER_S);
  if (now_s != log->cached_s || !log->cached_time[0])
    {
      struct tm parts;
      gmtime_r (&now_s, &parts);
      strftime (log->cached_time, sizeof log->cached_time, "%Y-%m-%dT%H:%M:%S", &parts);
      log->cached_s = now_s;
    }
  g_string_append_printf (log->buffer, "%s.%06dZ", log->cached_time, (int) (now_us % US_PER_S));
}

static void
append_line (Log *log, GLogLevelFlags level, const char *number, const char *name, const char *msg)
{
  GString *out = log->buffer;
  if (!log->json)
    {
      append_time (log);
      g_string_append_printf (out, " %s %s %s: %s\n", level_name (level), number, name, msg);
      return;
    }
  g_string_append (out, "{\"time\":\"");
  append_time (log);
  g_string_append_printf (out, "\",\"level\":\"%s\",\"event\":\"%s\",\"name\":\"%s\"",
                          level_name (level), number, name);
  append_fields (out, msg);
  g_string_append (out, "}\n");
}

/* Returns whether the buffer has room and the rate limit admits a line, and charges the line to the
 * rate limit. Warnings are exempt from it. */
static bool
admit_line (Log *log, GLogLevelFlags level)
{
  int64_t now_us = g_get_monotonic_time ();
  int64_t cost_us = US_PER_S / MAX (log->lines_per_s, 1);
  if (log->buffer->len >= MAX_BUFFER_BYTES)
    return false;
  log->credit_us = MIN (log->credit_us + now_us - log->credit_updated_us, (int64_t) US_PER_S);
  log->credit_updated_us = now_us;
  if ((level & G_LOG_LEVEL_MASK) <= G_LOG_LEVEL_WARNING)
    return true;
  if (log->credit_us < cost_us)
    return false;
  log->credit_us -= cost_us;
  return true;
}

/* Appends a LINES_DROPPED event when lines were dropped since the last one. */
static void
report_dropped (Log *log)
{
  const DyEventInfo *info = dy_event_info (DY_EVENT_LINES_DROPPED);
  char number[16];
  char msg[64];
  if (log->n_dropped == 0)
    return;
  g_snprintf (number, sizeof number, "%u", info->number);
  g_snprintf (msg, sizeof msg, "lines=%" G_GINT64_FORMAT, log->n_dropped);
  log->n_dropped = 0;
  append_line (log, info->level, number, info->name, msg);
}

/* Writer function of GLib logging. */
static GLogWriterOutput
write_event (GLogLevelFlags level, const GLogField *fields, gsize n, gpointer data)
{
  Log *log = data;
  if ((level & G_LOG_LEVEL_MASK) > log->level)
    return G_LOG_WRITER_HANDLED;
  if (!admit_line (log, level))
    {
      log->n_dropped++;
      return G_LOG_WRITER_HANDLED;
    }
  report_dropped (log);
  append_line (log, level, field_value (fields, n, "DY_EVENT"), field_value (fields, n, "DY_NAME"),
               field_value (fields, n, "MESSAGE"));
  if (log->buffer->len >= BLOCK_BYTES)
    dy_log_flush ();
  return G_LOG_WRITER_HANDLED;
}

void
dy_log_flush (void)
{
  GString *buffer = the_log.buffer;
  struct pollfd out = { .fd = STDOUT_FILENO, .events = POLLOUT };
  size_t done = 0;
  while (buffer && done < buffer->len && poll (&out, 1, 0) == 1 && (out.revents & POLLOUT))
    {
      ssize_t n = write (STDOUT_FILENO, buffer->str + done, MIN (buffer->len - done, BLOCK_BYTES));
      if (n <= 0)
        break;
      done += (size_t) n;
    }
  if (done > 0)
    g_string_erase (buffer, 0, (gssize) done);
}

const DyEventInfo *
dy_event_info (DyEvent event)
{
  return &event_table[event];
}

void
dy_log_init (bool json, GLogLevelFlags level, int64_t lines_per_s)
{
  Log *log = &the_log;
  if (!log->buffer)
    log->buffer = g_string_new (NULL);
  log->json = json;
  log->level = level;
  log->lines_per_s = lines_per_s;
  log->credit_us = US_PER_S;
  log->credit_updated_us = g_get_monotonic_time ();
  g_log_set_writer_func (write_event, log, NULL);
}

void
dy_log_finish (void)
{
  dy_log_flush ();
  g_string_free (the_log.buffer, TRUE);
  the_log.buffer = NULL;
}

void
dy_log (DyEvent event, const char *format, ...)
{
  const DyEventInfo *info = dy_event_info (event);
  va_list args;
  if (the_log.buffer && (info->level & G_LOG_LEVEL_MASK) > the_log.level)
    return;
  va_start (args, format);
  char *msg = g_strdup_vprintf (format, args);
  va_end (args);
  char number[16];
  snprintf (number, sizeof number, "%u", info->number);
  g_log_structured ("dogwoodyoke", info->level, "DY_EVENT", number, "DY_NAME", info->name,
                    "MESSAGE", "%s", msg);
  g_free (msg);
}
