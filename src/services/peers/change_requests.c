#include "services/peers/change_requests.h"

#include "kernel/log.h"
#include "services/peers/object_changes.h"
#include "services/peers/object_watch.h"

#include <string.h>

#define WANTED_PREFIX "watch-wanted/"

enum
{
  US_PER_MS = 1000,
};

static const char *const reply_names[] = { [DY_MISSED_REPLY_NOTHING] = "nothing",
                                           [DY_MISSED_REPLY_CHANGES] = "changes",
                                           [DY_MISSED_REPLY_LIST] = "list" };

static void
append_change (void *ctx, const char *key, uint64_t version, const char *value)
{
  DyObject object = { .key = key, .version = version, .value = value };
  g_array_append_val ((GArray *) ctx, object);
}

/* Returns the changes after the version AFTER as a new reference, NULL if they are too long. */
static json_t *
encode_changes (const DyObjectWatch *watch, uint64_t after)
{
  GArray *objects = g_array_new (FALSE, FALSE, sizeof (DyObject));
  dy_object_history_visit (&watch->history, after, append_change, objects);
  json_t *changes = dy_object_changes_encode ((const DyObject *) objects->data, objects->len,
                                              DY_OBJECT_CHANGES_MAX_BYTES);
  g_array_unref (objects);
  return changes;
}

static void
clear_text (DyReplyText *sent)
{
  json_decref (sent->changes);
  g_free (sent->text);
  memset (sent, 0, sizeof *sent);
}

/* Returns the text of the changes after the version AFTER, of which the field TEXT is NULL if they
 * are too long. */
static const DyReplyText *
text_of_changes (DyChangeRequests *requests, uint64_t after)
{
  DyReplyText *sent = &requests->sent;
  uint64_t version = requests->watch->history.version;
  if (sent->version == version && sent->after == after)
    return sent;
  clear_text (sent);
  sent->after = after;
  sent->version = version;
  sent->changes = encode_changes (requests->watch, after);
  if (sent->changes)
    sent->text = dy_object_changes_to_text (sent->changes, &sent->packed);
  return sent;
}

/* Returns the fields that all replies to a request of a router that knows KNOWN have. The field
 * "spread" without a root tells for how long a message was on its way, and is not passed on. */
static json_t *
begin_reply (const DyObjectWatch *watch, uint64_t known)
{
  int64_t boot_us = dy_kernel_boot_us ();
  return json_pack ("{s:I, s:I, s:I, s:b, s:I, s:s, s:{s:I, s:I}}", "changed",
                    (json_int_t) watch->age.changed_version, "at", (json_int_t) watch->age.version,
                    "age_ms", (json_int_t) ((boot_us - watch->age.confirmed_us) / US_PER_MS),
                    "by_list", 0, "answers", (json_int_t) known, "router",
                    watch->peers->members.self_name, "spread", "incarnation",
                    (json_int_t) watch->kernel->incarnation_id, "sent_us", (json_int_t) boot_us);
}

static void
send_reply (const DyObjectWatch *watch, uint64_t link, const json_t *root)
{
  char *key = g_strconcat (DY_WATCH_AGES_PREFIX, watch->prefix, NULL);
  char *text = json_dumps (root, JSON_COMPACT);
  dy_peers_reply_object (watch->peers, link, key, text);
  free (text);
  g_free (key);
}

/* Sends TEXT, the changes or their packed form, in ROOT. */
static void
send_text (
    const DyObjectWatch *watch, uint64_t link, json_t *root, const char *text, uint32_t n_parts)
{
  size_t n = strlen (text);
  for (uint32_t i = 0; i < n_parts; i++)
    {
      size_t from = (size_t) i * DY_OBJECT_CHANGES_PART_BYTES;
      size_t n_piece = MIN (n - from, (size_t) DY_OBJECT_CHANGES_PART_BYTES);
      json_object_set_new (root, "parts", json_integer (n_parts));
      json_object_set_new (root, "part", json_integer (i));
      json_object_set_new (root, "piece", json_stringn (text + from, n_piece));
      send_reply (watch, link, root);
    }
}

/* Adds what the router that sent REQUEST needs to take the changes. */
static void
add_basis (const DyObjectWatch *watch,
           json_t *root,
           DyMissedReply reply,
           const DyMissedRequest *request)
{
  json_object_set_new (root, "version", json_integer ((json_int_t) watch->age.version));
  json_object_set_new (root, "list", json_boolean (reply == DY_MISSED_REPLY_LIST));
  if (reply == DY_MISSED_REPLY_LIST)
    return;
  json_object_set_new (root, "base", json_integer ((json_int_t) request->known));
  json_object_set_new (root, "base_changed", json_integer ((json_int_t) request->changed));
}

/* Replies to REQUEST of the router NAME. */
static void
answer (DyChangeRequests *requests, uint64_t link, const char *name, const DyMissedRequest *request)
{
  DyObjectWatch *watch = requests->watch;
  uint64_t after;
  DyMissedReply reply = dy_missed_changes_reply (&watch->age, &watch->history, request, &after);
  const DyReplyText *sent
      = reply == DY_MISSED_REPLY_NOTHING ? NULL : text_of_changes (requests, after);
  size_t n = sent && sent->text ? strlen (sent->text) : 0;
  uint32_t n_parts = dy_missed_changes_parts (n, DY_OBJECT_CHANGES_PART_BYTES);
  json_t *root = begin_reply (watch, request->known);
  if (n == 0 || n_parts == 0 || !dy_peers_takes (watch->peers, link, n)
      || !dy_missed_changes_spend (&requests->missed, n, dy_kernel_boot_us ()))
    reply = DY_MISSED_REPLY_NOTHING;
  else
    add_basis (watch, root, reply, request);
  if (reply == DY_MISSED_REPLY_NOTHING)
    send_reply (watch, link, root);
  else if (sent->packed)
    send_text (watch, link, root, sent->text, n_parts);
  else
    {
      json_object_set (root, "changes", sent->changes);
      send_reply (watch, link, root);
    }
  dy_log (DY_EVENT_CHANGES_ANSWERED,
          "prefix=%s router=%s from=%" G_GUINT64_FORMAT " to=%" G_GUINT64_FORMAT
          " reply=%s bytes=%zu",
          watch->prefix, name, request->known, watch->age.version, reply_names[reply],
          reply == DY_MISSED_REPLY_NOTHING ? 0 : n);
  dy_counters_add (&watch->kernel->counters, DY_COUNTER_CHANGES_ANSWERED, 1);
  json_decref (root);
}

/* Returns whether VALUE is missing or an integer from 0 to MAX. */
static bool
is_within (const json_t *value, json_int_t max)
{
  return !value
         || (json_is_integer (value) && json_integer_value (value) >= 0
             && json_integer_value (value) <= max);
}

/* Stores the request ROOT in REQUEST. Returns whether it is valid. */
static bool
read_request (const json_t *root, DyMissedRequest *request)
{
  const json_t *version = json_object_get (root, "version");
  const json_t *changed = json_object_get (root, "changed");
  const json_t *objects = json_object_get (root, "objects");
  json_int_t known = json_integer_value (version);
  request->known = (uint64_t) known;
  request->changed = changed ? (uint64_t) json_integer_value (changed) : request->known;
  request->n_objects = objects ? (uint32_t) json_integer_value (objects) : UINT32_MAX;
  return version && is_within (version, INT64_MAX) && is_within (changed, known)
         && is_within (objects, UINT32_MAX - 1);
}

static void
on_message (void *ctx, uint64_t link, const DyMessage *message)
{
  DyChangeRequests *requests = ctx;
  DyMissedRequest request;
  if (message->type != DY_MESSAGE_CONFIG || !message->u.config.text
      || strcmp (message->u.config.key, requests->key) != 0)
    return;
  json_t *root = json_loadb (message->u.config.text, message->u.config.n_text, 0, NULL);
  const char *name = json_string_value (json_object_get (root, "router"));
  if (read_request (root, &request))
    answer (requests, link, name && g_str_is_ascii (name) ? name : "", &request);
  else
    dy_object_watch_log_invalid (requests->watch, 0);
  json_decref (root);
}

static const DyPeersWatcher peers_watcher = { .message = on_message };

void
dy_change_requests_start (DyChangeRequests *requests, DyObjectWatch *watch)
{
  memset (requests, 0, sizeof *requests);
  requests->watch = watch;
  requests->key = g_strconcat (WANTED_PREFIX, watch->prefix, NULL);
  requests->parts.packed = g_string_new (NULL);
  dy_missed_changes_init (&requests->missed);
  dy_peers_watch (watch->peers, &peers_watcher, requests);
}

void
dy_change_requests_stop (DyChangeRequests *requests)
{
  clear_text (&requests->sent);
  g_free (requests->key);
  g_string_free (requests->parts.packed, TRUE);
}

void
dy_change_requests_ask_if_due (DyChangeRequests *requests, uint32_t rank)
{
  const DyObjectWatch *watch = requests->watch;
  int64_t boot_us = dy_kernel_boot_us ();
  DyMissedFleet fleet = { .members = &watch->peers->members,
                          .now_us = dy_kernel_now_us (watch->kernel),
                          .data_centre = watch->kernel->settings->data_centre,
                          .prefix = watch->prefix,
                          .rank = rank };
  const char *name = dy_missed_changes_decide (&requests->missed, &watch->age,
                                               watch->history.version, &fleet, boot_us);
  if (!name)
    return;
  json_t *root
      = json_pack ("{s:I, s:I, s:I, s:s}", "version", (json_int_t) watch->age.version, "changed",
                   (json_int_t) MIN (watch->age.changed_version, watch->age.version), "objects",
                   (json_int_t) g_hash_table_size (watch->history.objects), "router",
                   watch->peers->members.self_name);
  char *text = json_dumps (root, JSON_COMPACT);
  requests->parts.n_parts = 0;
  dy_log (DY_EVENT_CHANGES_ASKED,
          "prefix=%s router=%s from=%" G_GUINT64_FORMAT " behind_ms=%" G_GINT64_FORMAT
          " requests=%u",
          watch->prefix, name, watch->age.version, (boot_us - watch->age.behind_us) / US_PER_MS,
          requests->missed.n_requests);
  dy_counters_add (&watch->kernel->counters, DY_COUNTER_CHANGES_ASKED, 1);
  dy_peers_send_object (watch->peers, name, requests->key, text);
  free (text);
  json_decref (root);
}

/* Returns the changes of the reply ROOT to VERSION of the router NAME as a new reference, NULL if
 * further parts follow or one was missed. */
static json_t *
take_changes (DyChangeRequests *requests, const json_t *root, const char *name, uint64_t version)
{
  DyReplyParts *parts = &requests->parts;
  const char *piece = json_string_value (json_object_get (root, "piece"));
  json_int_t n_parts = json_integer_value (json_object_get (root, "parts"));
  json_int_t part = json_integer_value (json_object_get (root, "part"));
  if (!piece)
    {
      json_t *changes = dy_object_changes_read (root);
      return changes ? changes : json_null ();
    }
  if (n_parts < 1 || n_parts > DY_MISSED_MAX_PARTS || part < 0 || part >= n_parts)
    return json_null ();
  if (part == 0)
    {
      g_strlcpy (parts->router, name, sizeof parts->router);
      parts->version = version;
      parts->n_parts = (uint32_t) n_parts;
      parts->n_taken = 0;
      g_string_truncate (parts->packed, 0);
    }
  if (parts->n_parts != n_parts || parts->n_taken != part || parts->version != version
      || strcmp (parts->router, name) != 0)
    return NULL;
  g_string_append (parts->packed, piece);
  if (++parts->n_taken < parts->n_parts)
    {
      dy_missed_changes_record_part (&requests->missed, dy_kernel_boot_us ());
      return NULL;
    }
  parts->n_parts = 0;
  json_t *changes = dy_object_changes_unpack (parts->packed->str, parts->packed->len);
  g_string_truncate (parts->packed, 0);
  return changes;
}

void
dy_change_requests_take_reply (DyChangeRequests *requests, const json_t *root, int64_t confirmed_us)
{
  DyObjectWatch *watch = requests->watch;
  const char *name = json_string_value (json_object_get (root, "router"));
  const json_t *version_field = json_object_get (root, "version");
  bool lists = json_is_true (json_object_get (root, "list"));
  json_int_t version = json_integer_value (version_field);
  json_int_t changed = json_integer_value (json_object_get (root, "changed"));
  uint64_t from = watch->age.version;
  if (!version_field)
    return;
  if (!name || version <= 0 || changed > version)
    {
      dy_object_watch_log_invalid (watch, 0);
      return;
    }
  json_t *changes = take_changes (requests, root, name, (uint64_t) version);
  bool follows
      = lists ? dy_missed_changes_may_take_list (&watch->age, watch->history.version,
                                                 (uint64_t) version)
              : dy_watch_age_may_take (
                  &watch->age, (uint64_t) json_integer_value (json_object_get (root, "base")),
                  (uint64_t) json_integer_value (json_object_get (root, "base_changed")),
                  (uint64_t) version);
  /* What the other router compared or had to leave out of its history is missing here, too. */
  DyPeerUpdate update = { .kind = lists ? DY_OBJECT_UPDATE_LIST : DY_OBJECT_UPDATE_COMPARED,
                          .changes = changes,
                          .version = (uint64_t) version,
                          .changed = (uint64_t) changed,
                          .confirmed_us = confirmed_us };
  if (changes && follows && dy_object_watch_apply (watch, &update))
    dy_log (DY_EVENT_CHANGES_APPLIED,
            "prefix=%s router=%s from=%" G_GUINT64_FORMAT " to=%" G_GUINT64_FORMAT
            " list=%d objects=%zu",
            watch->prefix, name, from, (uint64_t) version, lists, json_array_size (changes));
  json_decref (changes);
}

bool
dy_change_requests_are_in_vain (const DyChangeRequests *requests)
{
  return dy_missed_changes_are_out_of_reach (&requests->missed, &requests->watch->age,
                                             dy_kernel_boot_us ());
}
