#include "core/chat.h"

#include "kernel/error.h"

#include <glib.h>
#include <jansson.h>
#include <string.h>

enum
{
  MAX_CHOICES = 16,
  MAX_TOKENS = 10 * 1000 * 1000,
  TEMPLATE_TOKENS_PER_MESSAGE = 16,
  TYPICAL_BYTES_PER_TOKEN = 4,
};

static int
fail (const char **detail, int error, const char *text)
{
  *detail = text;
  return error;
}

/* Returns the bytes of all strings and member names in VALUE: contents, names, tool definitions. */
static int64_t
text_bytes (const json_t *value)
{
  const char *key;
  json_t *item;
  size_t i;
  int64_t sum = 0;
  if (json_is_string (value))
    return (int64_t) json_string_length (value);
  json_array_foreach (value, i, item) sum += text_bytes (item);
  json_object_foreach ((json_t *) value, key, item) sum
      += (int64_t) strlen (key) + text_bytes (item);
  return sum;
}

static int
read_count (const json_t *root, const char *name, int64_t max, int64_t *out)
{
  const json_t *value = json_object_get (root, name);
  if (!json_is_integer (value) || json_integer_value (value) < 1
      || json_integer_value (value) > max)
    return DY_BAD_REQUEST;
  *out = json_integer_value (value);
  return DY_OK;
}

static int
read_limits (DyChatRequest *request, const json_t *root, const char **detail)
{
  const char *name
      = json_object_get (root, "max_completion_tokens") ? "max_completion_tokens" : "max_tokens";
  if (!json_object_get (root, name))
    return fail (detail, DY_MISSING_MAX_TOKENS, "max_tokens");
  if (read_count (root, name, MAX_TOKENS, &request->max_tokens))
    return fail (detail, DY_BAD_REQUEST, "max_tokens must be an integer from 1 to 10000000");
  request->n_choices = 1;
  if (json_object_get (root, "n") && read_count (root, "n", MAX_CHOICES, &request->n_choices))
    return fail (detail, DY_BAD_REQUEST, "n must be an integer from 1 to 16");
  if (json_object_get (root, "best_of"))
    return fail (detail, DY_BAD_REQUEST, "best_of is not supported");
  return DY_OK;
}

static int
read_members (DyChatRequest *request, const json_t *root, const char **detail)
{
  const json_t *model = json_object_get (root, "model");
  const json_t *messages = json_object_get (root, "messages");
  const json_t *stream = json_object_get (root, "stream");
  const json_t *options = json_object_get (root, "stream_options");
  if (!json_is_string (model) || json_string_length (model) == 0)
    return fail (detail, DY_BAD_REQUEST, "model must be a text");
  if (!json_is_array (messages) || json_array_size (messages) == 0)
    return fail (detail, DY_BAD_REQUEST, "messages must be a list that is not empty");
  if (stream && !json_is_boolean (stream) && !json_is_null (stream))
    return fail (detail, DY_BAD_REQUEST, "stream must be true or false");
  int error = read_limits (request, root, detail);
  if (error)
    return error;
  request->stream = json_is_true (stream);
  request->include_usage = json_is_true (json_object_get (options, "include_usage"));
  request->prompt_bytes = text_bytes (messages) + text_bytes (json_object_get (root, "tools"));
  int64_t prompt_tokens
      = request->prompt_bytes + TEMPLATE_TOKENS_PER_MESSAGE * (int64_t) json_array_size (messages);
  request->worst_case_tokens = prompt_tokens + request->max_tokens * request->n_choices;
  request->model = g_strdup (json_string_value (model));
  return DY_OK;
}

static char *
engine_body (const DyChatRequest *request, json_t *root)
{
  json_object_del (root, "priority");
  if (request->stream)
    json_object_set_new (root, "stream_options", json_pack ("{s:b}", "include_usage", 1));
  return json_dumps (root, JSON_COMPACT);
}

int
dy_chat_request_init (DyChatRequest *request, const char *body, size_t n, const char **detail)
{
  memset (request, 0, sizeof *request);
  *detail = "";
  json_t *root = json_loadb (body, n, JSON_REJECT_DUPLICATES, NULL);
  if (!json_is_object (root))
    {
      json_decref (root);
      return fail (detail, DY_BAD_JSON, "the body must be a JSON object without repeated members");
    }
  int error = read_members (request, root, detail);
  if (!error)
    request->body = engine_body (request, root);
  json_decref (root);
  return error;
}

void
dy_chat_request_finish (DyChatRequest *request)
{
  g_free (request->model);
  free (request->body);
  memset (request, 0, sizeof *request);
}

/* The body is a JSON object of at least two members, written without spaces, so the new member goes
 * before its last byte, the closing brace. */
void
dy_chat_request_set_priority (DyChatRequest *request, int64_t priority)
{
  request->body[strlen (request->body) - 1] = '\0';
  char *body = g_strdup_printf ("%s,\"priority\":%" G_GINT64_FORMAT "}", request->body, priority);
  free (request->body);
  request->body = strdup (body);
  g_free (body);
}

int64_t
dy_chat_request_estimate_tokens (const DyChatRequest *request, int64_t n_parts)
{
  int64_t tokens = request->prompt_bytes / TYPICAL_BYTES_PER_TOKEN + n_parts;
  return MIN (tokens, request->worst_case_tokens);
}
