#include "core/event_stream.h"

#include <string.h>

void
dy_event_stream_init (DyEventStream *stream)
{
  memset (stream, 0, sizeof *stream);
  stream->partial = g_string_new (NULL);
}

void
dy_event_stream_finish (DyEventStream *stream)
{
  if (stream->partial)
    g_string_free (stream->partial, TRUE);
  memset (stream, 0, sizeof *stream);
}

/* Records the value of an "id:" line; other lines are ignored. */
static void
record_id (DyEventStream *stream, const char *line, size_t n)
{
  static const char prefix[] = "id:";
  enum
  {
    N_PREFIX = sizeof prefix - 1
  };
  if (n <= N_PREFIX || memcmp (line, prefix, N_PREFIX) != 0)
    return;
  line += N_PREFIX;
  n -= N_PREFIX;
  if (n > 0 && line[0] == ' ')
    {
      line++;
      n--;
    }
  if (n > 0 && line[n - 1] == '\r')
    n--;
  if (n < DY_EVENT_ID_SIZE)
    {
      memcpy (stream->last_id, line, n);
      stream->last_id[n] = '\0';
    }
}

/* Goes on with the search for the end of an event in the partial bytes. Returns the offset behind
 * that end, 0 if it has not come yet. */
static size_t
find_event_end (DyEventStream *stream)
{
  const GString *partial = stream->partial;
  while (stream->searched < partial->len)
    {
      const char *end
          = memchr (partial->str + stream->searched, '\n', partial->len - stream->searched);
      if (!end)
        {
          stream->searched = partial->len;
          return 0;
        }
      size_t n_line = (size_t) (end - partial->str) - stream->line;
      bool is_empty = n_line == 0 || (n_line == 1 && partial->str[stream->line] == '\r');
      stream->line = stream->searched = (size_t) (end - partial->str) + 1;
      if (is_empty)
        return stream->line;
    }
  return 0;
}

static void
record_event (DyEventStream *stream, const char *data, size_t n)
{
  size_t begin = 0;
  bool has_text = false;
  while (begin < n)
    {
      const char *end = memchr (data + begin, '\n', n - begin);
      size_t n_line = (size_t) (end - data) - begin;
      has_text = has_text || n_line > 1;
      record_id (stream, data + begin, n_line);
      begin += n_line + 1;
    }
  if (has_text)
    stream->n_events++;
}

void
dy_event_stream_feed (DyEventStream *stream, const char *data, size_t n, GString *out)
{
  size_t taken = 0;
  size_t end;
  g_string_append_len (stream->partial, data, (gssize) n);
  while ((end = find_event_end (stream)) > 0)
    {
      record_event (stream, stream->partial->str + taken, end - taken);
      taken = end;
    }
  if (taken == 0)
    return;
  g_string_append_len (out, stream->partial->str, (gssize) taken);
  g_string_erase (stream->partial, 0, (gssize) taken);
  stream->line -= taken;
  stream->searched -= taken;
}

void
dy_event_stream_drop_partial (DyEventStream *stream)
{
  g_string_truncate (stream->partial, 0);
  stream->line = 0;
  stream->searched = 0;
}

size_t
dy_event_stream_partial_bytes (const DyEventStream *stream)
{
  return stream->partial->len;
}

bool
dy_event_stream_at_boundary (const DyEventStream *stream)
{
  return stream->partial->len == 0;
}
