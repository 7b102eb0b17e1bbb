#include "services/origins_private.h"

#include <string.h>

#define ASK_KEY "stream-origins/ask"
#define TELL_KEY "stream-origins/tell"

enum
{
  /* Ids in a message, which fits a frame of the peers' connections with ids of usual length. */
  MAX_IDS = 256,
  /* Longer than callers resume a stream. */
  TOLD_STREAM_US = 15 * 1000 * 1000,
};

static int64_t
now_us (const DyOrigins *origins)
{
  return dy_kernel_now_us (origins->kernel);
}

void
dy_origins_questions_init (DyOriginQuestions *questions)
{
  questions->by_router
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify) json_decref);
}

static void
send_question (DyOrigins *origins, const char *router, const json_t *streams)
{
  json_t *root = json_pack ("{s:O}", "streams", streams);
  char *text = json_dumps (root, JSON_COMPACT);
  dy_peers_send_object (origins->directory->peers, router, ASK_KEY, text);
  free (text);
  json_decref (root);
}

bool
dy_origins_questions_add (DyOriginQuestions *questions,
                          const DyOrigins *origins,
                          const char *router,
                          const char *service,
                          const char *request_id)
{
  if (dy_peers_link_to (origins->directory->peers, router) == 0)
    return false;
  json_t *streams = g_hash_table_lookup (questions->by_router, router);
  if (!streams)
    {
      streams = json_object ();
      g_hash_table_insert (questions->by_router, g_strdup (router), streams);
    }
  json_t *ids = json_object_get (streams, service);
  if (!ids)
    {
      ids = json_array ();
      json_object_set_new (streams, service, ids);
    }
  json_array_append_new (ids, json_string (request_id));
  return true;
}

/* Sends one question for each MAX_IDS of a service. */
static void
send_parts (DyOrigins *origins, const char *router, const json_t *streams)
{
  const char *service;
  json_t *ids;
  json_object_foreach ((json_t *) streams, service, ids)
  {
    for (size_t first = 0; first < json_array_size (ids); first += MAX_IDS)
      {
        json_t *part = json_array ();
        for (size_t i = first; i < json_array_size (ids) && i < first + MAX_IDS; i++)
          json_array_append (part, json_array_get (ids, i));
        json_t *one = json_pack ("{s:o}", service, part);
        send_question (origins, router, one);
        json_decref (one);
      }
  }
}

void
dy_origins_questions_send (DyOriginQuestions *questions, DyOrigins *origins)
{
  GHashTableIter iter;
  gpointer router;
  gpointer streams;
  g_hash_table_iter_init (&iter, questions->by_router);
  while (g_hash_table_iter_next (&iter, &router, &streams))
    send_parts (origins, router, streams);
  g_hash_table_unref (questions->by_router);
}

/* Returns whether this router knows all streams of SERVICE that a process of its name may have
 * begun and that may be resumed. */
static bool
knows_all (const DyOrigins *origins, const char *service)
{
  const DyOriginService *entry = g_hash_table_lookup (origins->services, service);
  return origins->streams_loaded && (!entry || now_us (origins) >= entry->inherited_until_us);
}

/* Adds what is known of the stream ID of SERVICE to BEGUN, {version: [id, ...]}, or to DENIED. */
static void
answer_for (
    const DyOrigins *origins, const char *service, const char *id, json_t *begun, json_t *denied)
{
  DyStreamOrigin origin;
  bool known = dy_stream_origins_get (&origins->table, id, &origin);
  if (!known || origin.router || strcmp (origin.service, service) != 0)
    {
      if (knows_all (origins, service))
        json_array_append_new (denied, json_string (id));
      return;
    }
  if (!json_object_get (begun, origin.version))
    json_object_set_new (begun, origin.version, json_array ());
  json_array_append_new (json_object_get (begun, origin.version), json_string (id));
}

static void
answer_question (DyOrigins *origins, uint64_t link, const json_t *question)
{
  json_t *streams = json_object ();
  json_t *denied = json_object ();
  const char *service;
  json_t *ids;
  json_object_foreach (json_object_get (question, "streams"), service, ids)
  {
    json_t *begun_ids = json_object ();
    json_t *denied_ids = json_array ();
    const json_t *id;
    size_t i;
    json_array_foreach (ids, i, id)
    {
      if (json_is_string (id))
        answer_for (origins, service, json_string_value (id), begun_ids, denied_ids);
    }
    json_object_set_new (streams, service, begun_ids);
    json_object_set_new (denied, service, denied_ids);
  }
  json_t *root = json_pack ("{s:s, s:o, s:o}", "router", origins->kernel->settings->node_name,
                            "streams", streams, "denied", denied);
  char *text = json_dumps (root, JSON_COMPACT);
  dy_peers_reply_object (origins->directory->peers, link, TELL_KEY, text);
  free (text);
  json_decref (root);
}

static void
take_answer (DyOrigins *origins, const json_t *answer)
{
  const char *router = json_string_value (json_object_get (answer, "router"));
  const char *service;
  json_t *ids;
  if (!router)
    return;
  dy_origins_load_streams (origins, json_object_get (answer, "streams"), router,
                           now_us (origins) + TOLD_STREAM_US);
  json_object_foreach (json_object_get (answer, "denied"), service, ids)
  {
    const json_t *id;
    size_t i;
    json_array_foreach (ids, i, id)
    {
      if (json_is_string (id))
        dy_origins_take_denial (origins, router, service, json_string_value (id));
    }
  }
  dy_origins_decide_lookups (origins);
}

static void
on_message (void *ctx, uint64_t link, const DyMessage *message)
{
  DyOrigins *origins = ctx;
  const char *key = message->u.config.key;
  if (message->type != DY_MESSAGE_CONFIG || !message->u.config.text)
    return;
  bool asks = strcmp (key, ASK_KEY) == 0;
  if (!asks && strcmp (key, TELL_KEY) != 0)
    return;
  json_t *root = json_loadb (message->u.config.text, message->u.config.n_text, 0, NULL);
  if (asks)
    answer_question (origins, link, root);
  else
    take_answer (origins, root);
  json_decref (root);
}

void
dy_origins_start_questions (DyOrigins *origins)
{
  static const DyPeersWatcher watcher = { .message = on_message };
  dy_peers_watch (origins->directory->peers, &watcher, origins);
}
