#include "core/answer_stream.h"

#include <jansson.h>
#include <string.h>

enum
{
  MAX_EVENT_BYTES = 1024 * 1024,
};

static const char data_prefix[] = "data:";
static const char done_data[] = "[DONE]";

/* Returns whether the JSON text has a member NAME, given with its quotes, whose value begins with
 * FIRST_CHAR. */
static bool
has_member (const char *text, const char *name, char first_char)
{
  for (const char *p = strstr (text, name); p; p = strstr (p + 1, name))
    {
      const char *value = p + strlen (name);
      value += strspn (value, " \t");
      if (*value++ != ':')
        continue;
      value += strspn (value, " \t");
      if (*value == first_char)
        return true;
    }
  return false;
}

static void
process_event (DyAnswerStream *stream, GString *out)
{
  GString *event = stream->event;
  if (!g_str_has_prefix (event->str, data_prefix))
    {
      /* Comments keep the connection from the engine alive; they need not reach the caller. */
      g_string_truncate (event, 0);
      return;
    }
  const char *data = event->str + sizeof data_prefix - 1;
  data += strspn (data, " ");
  bool is_done = g_str_has_prefix (data, done_data);
  bool usage = !is_done && has_member (data, "\"usage\"", '{');
  if (usage)
    stream->usage_tokens = dy_answer_usage_tokens (data, strlen (data));
  bool is_usage_only = usage && strstr (data, "\"choices\":[]");
  if (is_done || usage || has_member (data, "\"finish_reason\"", '"'))
    stream->holding = true;
  if (is_done)
    stream->complete = true;
  else if (!is_usage_only)
    stream->n_parts++;
  if (!is_usage_only || stream->relay_usage)
    g_string_append_len (stream->holding ? stream->held : out, event->str, (gssize) event->len);
  g_string_truncate (event, 0);
}

void
dy_answer_stream_init (DyAnswerStream *stream, bool relay_usage)
{
  memset (stream, 0, sizeof *stream);
  stream->event = g_string_new (NULL);
  stream->held = g_string_new (NULL);
  stream->relay_usage = relay_usage;
  stream->usage_tokens = -1;
}

void
dy_answer_stream_finish (DyAnswerStream *stream)
{
  g_string_free (stream->event, TRUE);
  g_string_free (stream->held, TRUE);
  memset (stream, 0, sizeof *stream);
}

void
dy_answer_stream_feed (DyAnswerStream *stream, const char *data, size_t n, GString *out)
{
  while (n > 0 && !stream->malformed)
    {
      const char *newline = memchr (data, '\n', n);
      size_t n_line = newline ? (size_t) (newline - data) + 1 : n;
      bool blank
          = newline && n_line - (n_line > 1 && data[n_line - 2] == '\r') == 1
            && (stream->event->len == 0 || stream->event->str[stream->event->len - 1] == '\n');
      g_string_append_len (stream->event, data, (gssize) n_line);
      data += n_line;
      n -= n_line;
      if (blank)
        process_event (stream, out);
      stream->malformed
          = stream->event->len > MAX_EVENT_BYTES || stream->held->len > MAX_EVENT_BYTES;
    }
}

int64_t
dy_answer_usage_tokens (const char *body, size_t n)
{
  json_t *root = json_loadb (body, n, JSON_DISABLE_EOF_CHECK, NULL);
  const json_t *usage = json_object_get (root, "usage");
  int64_t tokens = -1;
  if (json_is_object (usage))
    tokens = json_integer_value (json_object_get (usage, "prompt_tokens"))
             + json_integer_value (json_object_get (usage, "completion_tokens"));
  json_decref (root);
  return tokens;
}
