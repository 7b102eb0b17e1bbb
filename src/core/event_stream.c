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

/* Returns the length of the first complete event in DATA, 0 if there is none. */
static size_t
event_length (const char *data, size_t n)
{
  size_t begin = 0;
  while (begin < n)
    {
      const char *end = memchr (data + begin, '\n', n - begin);
      if (!end)
        return 0;
      size_t next = (size_t) (end - data) + 1;
      size_t n_line = next - 1 - begin;
      if (n_line == 0 || (n_line == 1 && data[begin] == '\r'))
        return next;
      begin = next;
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
  size_t length;
  g_string_append_len (stream->partial, data, (gssize) n);
  while ((length = event_length (stream->partial->str + taken, stream->partial->len - taken)) > 0)
    {
      record_event (stream, stream->partial->str + taken, length);
      taken += length;
    }
  g_string_append_len (out, stream->partial->str, (gssize) taken);
  g_string_erase (stream->partial, 0, (gssize) taken);
}

void
dy_event_stream_drop_partial (DyEventStream *stream)
{
  g_string_truncate (stream->partial, 0);
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
