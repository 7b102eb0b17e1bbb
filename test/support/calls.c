#include "support/calls.h"

#include <string.h>

char *
call_chat_body (const char *content, int max_tokens, bool stream)
{
  json_t *body
      = json_pack ("{s:s, s:[{s:s, s:s}], s:i, s:b}", "model", "drafter", "messages", "role",
                   "user", "content", content, "max_tokens", max_tokens, "stream", stream);
  char *text = json_dumps (body, JSON_COMPACT);
  json_decref (body);
  return text;
}

/* Sends a request and returns its status; KIND gets the error kind, or "". */
unsigned
call_send_body (Fleet *fleet, const FleetRequest *request, char kind[64])
{
  json_t *answer;
  unsigned status = fleet_request (fleet, request, &answer);
  const char *text
      = json_string_value (json_object_get (json_object_get (answer, "error"), "kind"));
  g_strlcpy (kind, text ? text : "", 64);
  json_decref (answer);
  return status;
}

unsigned
call_send_chat (
    Fleet *fleet, uint32_t router, const char *const *headers, const char *content, char kind[64])
{
  char *body = call_chat_body (content, 20, false);
  FleetRequest request = { .method = "POST",
                           .address = fleet->callers[router],
                           .path = CHAT_PATH,
                           .headers = headers,
                           .body = body };
  unsigned status = call_send_body (fleet, &request, kind);
  free (body);
  return status;
}

int64_t
call_engine_stat (Fleet *fleet, const char *engine, const char *name)
{
  json_t *stats = fleet_call (fleet, "GET", engine, "/admin/stats", NULL);
  int64_t value = json_integer_value (json_object_get (stats, name));
  json_decref (stats);
  return value;
}

int64_t
call_engine_runs (Fleet *fleet, const char *engine, const char *name)
{
  json_t *stats = fleet_call (fleet, "GET", engine, "/admin/stats", NULL);
  int64_t value = json_integer_value (json_object_get (json_object_get (stats, "runs"), name));
  json_decref (stats);
  return value;
}

int64_t
call_total_runs (Fleet *fleet, const char *name)
{
  int64_t n = 0;
  for (uint32_t i = 0; i < fleet->n_engines; i++)
    n += call_engine_runs (fleet, fleet->engines[i], name);
  return n;
}
