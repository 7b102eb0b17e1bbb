/* Fake model engine and fake plain service.
 *
 * POST /v1/chat/completions answers with max_tokens tokens. Each token is the content of the
 * request's last message and a space, so a caller can check that the answer belongs to its request.
 * If the content contains "CRASH", the engine closes the connection after 3 tokens, or exits when
 * it was started with --exit.
 *
 * GET /load returns {"load": requests running, "leaving": bool}.
 * GET /admin/stats returns {"runs": {content or call: n}, "running": n, "cancelled": n}.
 * /admin/options sets the query parameters leaving, first_token_ms and token_ms.
 * /admin/orders takes an order with the fencing number of its Fencing header; with --fencing, an
 * order with a lower number than an earlier one is answered 409.
 * Any other path is a call of the plain service, whose answer has the number of its runs. */

#include "net/http_server.h"

#include <argp.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  MAX_BODY_BYTES = 2 * 1024 * 1024,
  MAX_HEADER_BYTES = 16384,
  TOKENS_BEFORE_CRASH = 3,
  BYTES_PER_TOKEN = 4,
};

typedef struct
{
  struct ev_loop *loop;
  DyHttpServer server;
  const char *listen;
  int64_t token_us;
  int64_t first_token_us;
  bool exit_on_crash;
  bool enforces_fencing;
  bool leaving;
  int64_t fencing; /* highest fencing number of an order */
  int64_t n_running;
  int64_t n_cancelled; /* chat requests whose connection the caller closed */
  GHashTable *runs;    /* content, or "METHOD PATH BODY" of a service call, to the number of runs */
} Engine;

typedef struct
{
  Engine *engine;
  DyHttpCall *call;
  char *content;
  int64_t n_tokens;
  int64_t n_sent;
  int64_t prompt_tokens;
  bool stream;
  bool include_usage;
  bool done;
  GString *complete_text; /* content of an answer that is not streamed */
  ev_timer timer;
} Answer;

static void
reply_json (DyHttpCall *call, unsigned status, json_t *root)
{
  char *text = json_dumps (root, JSON_COMPACT);
  dy_http_call_reply (call, status, "application/json", text, strlen (text));
  free (text);
  json_decref (root);
}

static int64_t
count_run (Engine *engine, const char *name)
{
  gpointer n = g_hash_table_lookup (engine->runs, name);
  int64_t runs = (int64_t) GPOINTER_TO_SIZE (n) + 1;
  g_hash_table_insert (engine->runs, g_strdup (name), GSIZE_TO_POINTER ((gsize) runs));
  return runs;
}

static void
on_closed (void *ctx, DyHttpCall *call, bool complete)
{
  Answer *answer = ctx;
  (void) call;
  if (!complete && !answer->done)
    answer->engine->n_cancelled++;
  answer->engine->n_running--;
  ev_timer_stop (answer->engine->loop, &answer->timer);
  g_string_free (answer->complete_text, TRUE);
  g_free (answer->content);
  g_free (answer);
}

static const DyHttpCallWatcher answer_watcher = { .closed = on_closed };

static json_t *
usage_of (const Answer *answer)
{
  return json_pack ("{s:I, s:I, s:I}", "prompt_tokens", (json_int_t) answer->prompt_tokens,
                    "completion_tokens", (json_int_t) answer->n_sent, "total_tokens",
                    (json_int_t) answer->prompt_tokens + (json_int_t) answer->n_sent);
}

static void
write_event (Answer *answer, json_t *data)
{
  char *text = json_dumps (data, JSON_COMPACT);
  char *event = g_strdup_printf ("data: %s\n\n", text);
  dy_http_call_write (answer->call, event, strlen (event));
  g_free (event);
  free (text);
  json_decref (data);
}

static void
write_token (Answer *answer)
{
  bool last = answer->n_sent == answer->n_tokens;
  char *token = g_strdup_printf ("%s ", answer->content);
  if (answer->stream)
    write_event (answer,
                 json_pack ("{s:s, s:[{s:i, s:{s:s}, s:o}]}", "object", "chat.completion.chunk",
                            "choices", "index", 0, "delta", "content", token, "finish_reason",
                            last ? json_string ("stop") : json_null ()));
  else
    g_string_append (answer->complete_text, token);
  g_free (token);
}

static void
finish_answer (Answer *answer)
{
  static const char closing[] = "data: [DONE]\n\n";
  answer->done = true;
  ev_timer_stop (answer->engine->loop, &answer->timer);
  if (!answer->stream)
    {
      reply_json (answer->call, MHD_HTTP_OK,
                  json_pack ("{s:s, s:[{s:i, s:{s:s, s:s}, s:s}], s:o}", "object",
                             "chat.completion", "choices", "index", 0, "message", "role",
                             "assistant", "content", answer->complete_text->str, "finish_reason",
                             "stop", "usage", usage_of (answer)));
      return;
    }
  if (answer->include_usage)
    write_event (answer, json_pack ("{s:s, s:[], s:o}", "object", "chat.completion.chunk",
                                    "choices", "usage", usage_of (answer)));
  dy_http_call_write (answer->call, closing, sizeof closing - 1);
  dy_http_call_end (answer->call);
}

static void
on_token (struct ev_loop *loop, ev_timer *w, int events)
{
  Answer *answer = w->data;
  (void) loop;
  (void) events;
  if (answer->n_sent >= TOKENS_BEFORE_CRASH && strstr (answer->content, "CRASH"))
    {
      if (answer->engine->exit_on_crash)
        _exit (EXIT_FAILURE);
      answer->done = true;
      ev_timer_stop (loop, w);
      dy_http_call_abort (answer->call);
      return;
    }
  answer->n_sent++;
  write_token (answer);
  if (answer->n_sent == answer->n_tokens)
    finish_answer (answer);
}

static void
handle_chat (Engine *engine, DyHttpCall *call)
{
  const GString *body = dy_http_call_body (call);
  json_t *root = json_loadb (body->str, body->len, 0, NULL);
  const json_t *messages = json_object_get (root, "messages");
  const json_t *last = json_array_get (messages, json_array_size (messages) - 1);
  const char *content = json_string_value (json_object_get (last, "content"));
  if (!content)
    {
      json_decref (root);
      reply_json (call, MHD_HTTP_BAD_REQUEST, json_pack ("{s:s}", "error", "bad request"));
      return;
    }
  Answer *answer = g_new0 (Answer, 1);
  answer->engine = engine;
  answer->call = call;
  answer->content = g_strdup (content);
  answer->n_tokens = json_integer_value (json_object_get (root, "max_tokens"));
  answer->prompt_tokens = (int64_t) strlen (content) / BYTES_PER_TOKEN + 1;
  answer->stream = json_is_true (json_object_get (root, "stream"));
  answer->include_usage
      = json_is_true (json_object_get (json_object_get (root, "stream_options"), "include_usage"));
  answer->complete_text = g_string_new (NULL);
  engine->n_running++;
  count_run (engine, content);
  json_decref (root);
  dy_http_call_watch (call, &answer_watcher, answer);
  if (answer->stream)
    dy_http_call_start_stream (call, MHD_HTTP_OK, "text/event-stream");
  ev_timer_init (&answer->timer, on_token, (double) engine->first_token_us / 1e6,
                 (double) MAX (engine->token_us, 1) / 1e6);
  answer->timer.data = answer;
  ev_timer_start (engine->loop, &answer->timer);
}

static void
handle_order (Engine *engine, DyHttpCall *call)
{
  const char *value = dy_http_call_header (call, "Fencing");
  int64_t number = value ? g_ascii_strtoll (value, NULL, 10) : 0;
  if (engine->enforces_fencing && number < engine->fencing)
    {
      reply_json (call, MHD_HTTP_CONFLICT,
                  json_pack ("{s:I}", "fencing", (json_int_t) engine->fencing));
      return;
    }
  engine->fencing = MAX (engine->fencing, number);
  reply_json (call, MHD_HTTP_OK, json_pack ("{s:I}", "fencing", (json_int_t) engine->fencing));
}

static void
reply_stats (Engine *engine, DyHttpCall *call)
{
  json_t *runs = json_object ();
  GHashTableIter iter;
  gpointer name;
  gpointer n;
  g_hash_table_iter_init (&iter, engine->runs);
  while (g_hash_table_iter_next (&iter, &name, &n))
    json_object_set_new (runs, name, json_integer ((json_int_t) GPOINTER_TO_SIZE (n)));
  reply_json (call, MHD_HTTP_OK,
              json_pack ("{s:o, s:I, s:I}", "runs", runs, "running", (json_int_t) engine->n_running,
                         "cancelled", (json_int_t) engine->n_cancelled));
}

static void
set_options (Engine *engine, DyHttpCall *call)
{
  const char *leaving = dy_http_call_query (call, "leaving");
  const char *first_ms = dy_http_call_query (call, "first_token_ms");
  const char *token_ms = dy_http_call_query (call, "token_ms");
  if (leaving)
    engine->leaving = strcmp (leaving, "1") == 0;
  if (first_ms)
    engine->first_token_us = g_ascii_strtoll (first_ms, NULL, 10) * 1000;
  if (token_ms)
    engine->token_us = g_ascii_strtoll (token_ms, NULL, 10) * 1000;
  reply_json (call, MHD_HTTP_OK, json_object ());
}

static void
handle_service (Engine *engine, DyHttpCall *call)
{
  char *name = g_strconcat (dy_http_call_method (call), " ", dy_http_call_path (call), " ",
                            dy_http_call_body (call)->str, NULL);
  int64_t runs = count_run (engine, name);
  reply_json (call, MHD_HTTP_OK, json_pack ("{s:s, s:I}", "call", name, "runs", (json_int_t) runs));
  g_free (name);
}

static void
handle (void *ctx, DyHttpCall *call)
{
  Engine *engine = ctx;
  const char *path = dy_http_call_path (call);
  if (strcmp (path, "/v1/chat/completions") == 0)
    handle_chat (engine, call);
  else if (strcmp (path, "/load") == 0)
    reply_json (call, MHD_HTTP_OK,
                json_pack ("{s:I, s:b}", "load", (json_int_t) engine->n_running, "leaving",
                           engine->leaving));
  else if (strcmp (path, "/admin/stats") == 0)
    reply_stats (engine, call);
  else if (strcmp (path, "/admin/options") == 0)
    set_options (engine, call);
  else if (strcmp (path, "/admin/orders") == 0)
    handle_order (engine, call);
  else
    handle_service (engine, call);
}

static void
refuse_too_large (void *ctx, DyHttpCall *call)
{
  (void) ctx;
  reply_json (call, MHD_HTTP_CONTENT_TOO_LARGE, json_pack ("{s:s}", "error", "too large"));
}

static error_t
parse_option (int key, char *value, struct argp_state *state)
{
  Engine *engine = state->input;
  switch (key)
    {
    case 'l':
      engine->listen = value;
      return 0;
    case 't':
      engine->token_us = g_ascii_strtoll (value, NULL, 10);
      return 0;
    case 'f':
      engine->first_token_us = g_ascii_strtoll (value, NULL, 10);
      return 0;
    case 'x':
      engine->exit_on_crash = true;
      return 0;
    case 'o':
      engine->enforces_fencing = true;
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

int
main (int argc, char **argv)
{
  static const DyHttpServerHandler handler = { .handle = handle, .too_large = refuse_too_large };
  static const struct argp_option options[]
      = { { "listen", 'l', "ADDRESS", 0, "Where to listen", 0 },
          { "token-us", 't', "US", 0, "Time between tokens", 0 },
          { "first-us", 'f', "US", 0, "Time to the first token", 0 },
          { "exit", 'x', NULL, 0, "Exit on a marked body", 0 },
          { "fencing", 'o', NULL, 0, "Refuse old fencing numbers", 0 },
          { 0 } };
  static const struct argp arguments = { options, parse_option, NULL, NULL, NULL, NULL, NULL };
  Engine *engine = g_new0 (Engine, 1);
  engine->listen = "127.0.0.1:9000";
  engine->token_us = 1000;
  engine->first_token_us = 1000;
  argp_parse (&arguments, argc, argv, 0, NULL, engine);
  signal (SIGPIPE, SIG_IGN);
  engine->loop = ev_default_loop (EVFLAG_AUTO);
  engine->runs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  if (dy_http_server_init (&engine->server, engine->loop, engine->listen, MAX_BODY_BYTES,
                           MAX_HEADER_BYTES, MAX_BODY_BYTES, &handler, engine))
    {
      fprintf (stderr, "cannot listen on %s\n", engine->listen);
      return EXIT_FAILURE;
    }
  fprintf (stderr, "ready\n");
  ev_run (engine->loop, 0);
  return EXIT_SUCCESS;
}
