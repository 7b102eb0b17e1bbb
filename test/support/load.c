#include "support/load.h"

#include "net/http_client.h"

#include <jansson.h>
#include <string.h>

enum
{
  CONNECT_TIMEOUT_MS = 5000,
  CALL_TIMEOUT_MS = 60000,
  BYTES_PER_TOKEN = 4,
};

typedef struct
{
  struct ev_loop *loop;
  DyHttpClient client;
  const LoadSpec *spec;
  LoadResult *result;
  uint32_t n_targets;
  uint32_t n_started;
  uint32_t n_done;
  ev_timer spacing;
} Load;

typedef struct
{
  Load *load;
  char *content;
  GString *body;
  size_t parsed;    /* bytes of body whose events were handled */
  int64_t start_us; /* start of the request */
  int64_t last_us;  /* time of the latest token */
  int64_t first_us; /* time from the start to the first token */
  uint32_t n_tokens;
  bool ended; /* the answer is complete */
  bool mismatched;
  bool error_event;
} Call;

static void start_call (Load *load);

static void
check_token (Call *call, const json_t *root)
{
  const json_t *choice = json_array_get (json_object_get (root, "choices"), 0);
  const char *token
      = json_string_value (json_object_get (json_object_get (choice, "delta"), "content"));
  int64_t now_us = g_get_monotonic_time ();
  if (!token)
    return;
  size_t n = strlen (call->content);
  if (strncmp (token, call->content, n) != 0 || strcmp (token + n, " ") != 0)
    call->mismatched = true;
  if (call->n_tokens++ == 0)
    call->first_us = now_us - call->start_us;
  else
    {
      int64_t gap_us = now_us - call->last_us;
      g_array_append_val (call->load->result->gap_us, gap_us);
    }
  call->last_us = now_us;
}

static void
handle_event (Call *call, const char *data)
{
  if (g_str_has_prefix (data, "[DONE]"))
    {
      call->ended = true;
      return;
    }
  json_t *root = json_loads (data, JSON_DISABLE_EOF_CHECK, NULL);
  if (!root)
    call->mismatched = true;
  if (json_object_get (root, "error"))
    call->error_event = true;
  else
    check_token (call, root);
  json_decref (root);
}

static bool
on_data (void *ctx, DyHttpTransfer *transfer, const char *data, size_t n)
{
  Call *call = ctx;
  g_string_append_len (call->body, data, (gssize) n);
  if (call->load->spec->single_body || dy_http_transfer_status (transfer) != 200)
    return true;
  char *end;
  while ((end = strstr (call->body->str + call->parsed, "\n\n")))
    {
      *end = '\0';
      handle_event (call, call->body->str + call->parsed + strlen ("data: "));
      call->parsed = (size_t) (end - call->body->str) + 2;
    }
  return true;
}

static void
check_single_body (Call *call)
{
  json_t *root = json_loadb (call->body->str, call->body->len, 0, NULL);
  const json_t *choice = json_array_get (json_object_get (root, "choices"), 0);
  const char *text
      = json_string_value (json_object_get (json_object_get (choice, "message"), "content"));
  size_t n = strlen (call->content) + 1;
  call->ended = text != NULL;
  for (const char *p = text; p && *p; p += n)
    {
      call->mismatched = call->mismatched || strncmp (p, call->content, n - 1) != 0;
      call->n_tokens++;
      if (call->mismatched)
        break;
    }
  call->first_us = g_get_monotonic_time () - call->start_us;
  json_decref (root);
}

static void
count_refusal (LoadResult *result, const Call *call)
{
  json_t *root = json_loadb (call->body->str, call->body->len, 0, NULL);
  const char *kind = json_string_value (json_object_get (json_object_get (root, "error"), "kind"));
  gchar *name = g_strdup (kind ? kind : "no_kind");
  gpointer n = g_hash_table_lookup (result->refusals, name);
  g_hash_table_insert (result->refusals, name, GUINT_TO_POINTER (GPOINTER_TO_UINT (n) + 1));
  json_decref (root);
}

static void
count_answer (Load *load, Call *call)
{
  LoadResult *result = load->result;
  if (load->spec->single_body)
    check_single_body (call);
  if (call->error_event || !call->ended)
    result->n_failed++;
  else if (call->mismatched || call->n_tokens != load->spec->max_tokens)
    result->n_mismatched++;
  else
    {
      result->n_completed++;
      result->used_tokens
          += (int64_t) strlen (call->content) / BYTES_PER_TOKEN + 1 + call->n_tokens;
      g_array_append_val (result->first_us, call->first_us);
    }
}

static void
on_done (void *ctx, const DyHttpResult *result)
{
  Call *call = ctx;
  Load *load = call->load;
  if (result->error || result->status == 0)
    load->result->n_failed++;
  else if (result->status != 200)
    count_refusal (load->result, call);
  else
    count_answer (load, call);
  g_free (call->content);
  g_string_free (call->body, TRUE);
  g_free (call);
  load->n_done++;
  if (load->n_started < load->spec->n_requests)
    start_call (load);
  else if (load->n_done == load->spec->n_requests)
    ev_break (load->loop, EVBREAK_ONE);
}

static const DyHttpTransferWatcher watcher = { .data = on_data, .done = on_done };

static void
start_call (Load *load)
{
  const LoadSpec *spec = load->spec;
  Call *call = g_new0 (Call, 1);
  uint32_t number = load->n_started++;
  call->load = load;
  call->content = g_strdup_printf ("%s-%u", spec->prefix, number);
  call->body = g_string_new (NULL);
  json_t *body = json_pack ("{s:s, s:[{s:s, s:s}], s:i, s:b}", "model", "drafter", "messages",
                            "role", "user", "content", call->content, "max_tokens",
                            (int) spec->max_tokens, "stream", !spec->single_body);
  char *text = json_dumps (body, JSON_COMPACT);
  char *url
      = g_strdup_printf ("http://%s/v1/chat/completions", spec->targets[number % load->n_targets]);
  char *key = g_strdup_printf ("Authorization: Bearer %s", spec->secret);
  const char *headers[] = { key, "Content-Type: application/json", NULL };
  DyHttpSpec http = { .method = "POST",
                      .url = url,
                      .headers = headers,
                      .body = text,
                      .n_body = strlen (text),
                      .connect_timeout_ms = CONNECT_TIMEOUT_MS,
                      .timeout_ms = CALL_TIMEOUT_MS };
  call->start_us = g_get_monotonic_time ();
  dy_http_client_start (&load->client, &http, &watcher, call);
  g_free (key);
  g_free (url);
  free (text);
  json_decref (body);
}

static void
on_spacing (struct ev_loop *loop, ev_timer *w, int events)
{
  Load *load = w->data;
  (void) events;
  start_call (load);
  if (load->n_started >= MIN (load->spec->n_concurrent, load->spec->n_requests))
    ev_timer_stop (loop, w);
}

static void
start_calls (Load *load)
{
  const LoadSpec *spec = load->spec;
  double spacing_s = (double) spec->spacing_us / 1e6;
  ev_timer_init (&load->spacing, on_spacing, 0.0, spacing_s);
  load->spacing.data = load;
  if (spec->spacing_us > 0)
    ev_timer_start (load->loop, &load->spacing);
  else
    for (uint32_t i = 0; i < spec->n_concurrent && load->n_started < spec->n_requests; i++)
      start_call (load);
}

void
load_run (struct ev_loop *loop, const LoadSpec *spec, LoadResult *result)
{
  Load load = { .loop = loop, .spec = spec, .result = result };
  memset (result, 0, sizeof *result);
  result->refusals = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  result->first_us = g_array_new (FALSE, FALSE, sizeof (int64_t));
  result->gap_us = g_array_new (FALSE, FALSE, sizeof (int64_t));
  load.n_targets = g_strv_length ((gchar **) spec->targets);
  dy_http_client_init (&load.client, loop);
  int64_t start_us = g_get_monotonic_time ();
  start_calls (&load);
  ev_run (loop, 0);
  ev_timer_stop (loop, &load.spacing);
  result->elapsed_us = g_get_monotonic_time () - start_us;
  dy_http_client_finish (&load.client);
}

void
load_result_finish (LoadResult *result)
{
  g_hash_table_unref (result->refusals);
  g_array_unref (result->first_us);
  g_array_unref (result->gap_us);
}

uint32_t
load_refused (const LoadResult *result, const char *kind)
{
  return GPOINTER_TO_UINT (g_hash_table_lookup (result->refusals, kind));
}

static gint
compare_samples (gconstpointer a, gconstpointer b)
{
  int64_t x = *(const int64_t *) a;
  int64_t y = *(const int64_t *) b;
  return (x > y) - (x < y);
}

int64_t
load_percentile (GArray *samples, double percent)
{
  if (samples->len == 0)
    return 0;
  g_array_sort (samples, compare_samples);
  guint i = (guint) ((double) (samples->len - 1) * percent / 100.0);
  return g_array_index (samples, int64_t, i);
}
