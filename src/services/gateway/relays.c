#include "services/gateway/relays.h"

#include "kernel/error.h"
#include "kernel/log.h"
#include "net/http_status.h"

#include <string.h>

#define ID_FORMAT "%016" G_GINT64_MODIFIER "x"

enum
{
  BODY_PART_BYTES = 32 * 1024,
};

struct DyRelayCall
{
  DyRelays *relays;
  uint64_t number;
  char *peer;
  uint64_t link; /* on which PEER was asked and answers */
  char *request_id;
  int64_t started_us; /* monotonic time */
  const DyRelayWatcher *watcher;
  void *ctx;
  GString *held; /* received while paused */
  bool paused;
  bool rejected;
  bool silent; /* the other router was not heard from; reported once */
  bool head_received;
  bool ended; /* RESULT is known; what is held comes before it */
  DyGatewayAttemptResult result;
};

static void
send_part (DyRelayCall *call, DyRelayPart part, const char *data, size_t n)
{
  DyMessage message = { .type = DY_MESSAGE_RELAY };
  message.u.relay.number = call->number;
  message.u.relay.part = part;
  message.u.relay.data = data;
  message.u.relay.n_data = (uint32_t) n;
  dy_peers_reply (call->relays->peers, call->link, &message);
}

static void
free_call (gpointer data)
{
  DyRelayCall *call = data;
  dy_peers_release_link (call->relays->peers, call->link);
  dy_reach_end_relay (&call->relays->reachability->reach, call->peer);
  g_string_free (call->held, TRUE);
  g_free (call->peer);
  g_free (call->request_id);
  g_free (call);
}

static json_t *
hex (uint64_t value)
{
  char text[sizeof "0123456789abcdef"];
  g_snprintf (text, sizeof text, ID_FORMAT, value);
  return json_string (text);
}

static json_t *
text_list (const char *const *texts)
{
  json_t *list = json_array ();
  for (; texts && *texts; texts++)
    json_array_append_new (list, json_string (*texts));
  return list;
}

/* Returns the opening part as JSON text, or NULL if a text of it cannot be encoded. */
static char *
format_open (const DyRelaySpec *spec)
{
  const DyGatewayAttemptSpec *attempt = spec->attempt;
  const DyForwardedRequest *forwarded = attempt->forwarded;
  const DyAttemptHead *head = &attempt->head;
  json_t *parts = json_array ();
  for (uint32_t i = 0; i < spec->plan->n_parts; i++)
    json_array_append_new (parts, hex (spec->plan->parts[i]));
  json_t *root = json_pack (
      "{s:s, s:s, s:s, s:s, s:o, s:I, s:o, s:o, s:o, s:I, s:I, s:I, s:s?, s:o, s:s?, s:s?, s:I, "
      "s:i, "
      "s:b, s:s?}",
      "id", attempt->request_id, "service", attempt->service, "method", forwarded->method, "target",
      forwarded->target, "lines", text_list (forwarded->lines), "body_bytes",
      (json_int_t) forwarded->n_body, "body_hash", hex (spec->plan->body_hash), "parts", parts,
      "prefix", hex (attempt->work.prefix_hash), "shared", (json_int_t) attempt->work.shared_tokens,
      "own", (json_int_t) attempt->work.own_tokens, "output",
      (json_int_t) attempt->work.output_tokens, "version", spec->version, "avoid",
      text_list (spec->avoid), "account", head->account, "resume_from", head->resume_from,
      "time_left_ms", (json_int_t) head->time_left_ms, "priority", (int) head->priority,
      "has_priority", head->has_priority, "except", spec->except);
  char *text = root ? json_dumps (root, JSON_COMPACT) : NULL;
  json_decref (root);
  return text;
}

static bool
send_open (DyRelayCall *call, const DyRelaySpec *spec)
{
  const DyForwardedRequest *forwarded = spec->attempt->forwarded;
  char *text = format_open (spec);
  bool ok = text && strlen (text) < BODY_PART_BYTES;
  if (ok)
    send_part (call, DY_RELAY_OPEN, text, strlen (text));
  for (size_t sent = 0; ok && sent < forwarded->n_body;)
    {
      size_t n = MIN (forwarded->n_body - sent, BODY_PART_BYTES);
      send_part (call, DY_RELAY_BODY, forwarded->body + sent, n);
      sent += n;
    }
  free (text);
  return ok;
}

DyRelayCall *
dy_relays_start (DyRelays *relays,
                 const char *peer,
                 const DyRelaySpec *spec,
                 const DyRelayWatcher *watcher,
                 void *ctx)
{
  DyRelayCall *call = g_new0 (DyRelayCall, 1);
  call->relays = relays;
  call->number = ++relays->last_number;
  call->peer = g_strdup (peer);
  call->request_id = g_strdup (spec->attempt->request_id);
  call->started_us = dy_kernel_now_us (relays->kernel);
  call->watcher = watcher;
  call->ctx = ctx;
  call->held = g_string_new (NULL);
  call->link = dy_peers_link_to (relays->peers, peer);
  dy_peers_hold_link (relays->peers, call->link);
  dy_reach_begin_relay (&relays->reachability->reach, peer);
  if (!dy_peers_takes (relays->peers, call->link, spec->attempt->forwarded->n_body))
    {
      dy_log (DY_EVENT_RELAY_REFUSED, "request=%s reason=connection_full stops=%d",
              call->request_id, relays->kernel->draining);
      free_call (call);
      return NULL;
    }
  if (!send_open (call, spec))
    {
      free_call (call);
      return NULL;
    }
  g_hash_table_insert (relays->calls, &call->number, call);
  dy_counters_add (&relays->kernel->counters, DY_COUNTER_RELAYS, 1);
  return call;
}

void
dy_relay_call_cancel (DyRelayCall *call)
{
  if (!call->ended)
    send_part (call, DY_RELAY_CANCEL, NULL, 0);
  g_hash_table_remove (call->relays->calls, &call->number);
}

void
dy_relay_call_reject (DyRelayCall *call)
{
  call->rejected = true;
}

static void
finish_call (DyRelayCall *call)
{
  const DyRelayWatcher *watcher = call->watcher;
  void *ctx = call->ctx;
  DyGatewayAttemptResult result = call->result;
  g_hash_table_remove (call->relays->calls, &call->number);
  watcher->done (ctx, &result);
}

/* Passes on what is held, and then the end. */
static void
deliver (DyRelayCall *call)
{
  if (call->held->len > 0)
    {
      call->paused = !call->watcher->data (call->ctx, call->held->str, call->held->len);
      if (!call->paused)
        g_string_truncate (call->held, 0);
    }
  if (call->rejected)
    {
      if (!call->ended)
        send_part (call, DY_RELAY_CANCEL, NULL, 0);
      call->result = (DyGatewayAttemptResult){ .outcome = DY_ATTEMPT_BROKEN };
      finish_call (call);
      return;
    }
  if (call->ended && !call->paused)
    finish_call (call);
}

void
dy_relay_call_resume (DyRelayCall *call)
{
  if (!call->paused)
    return;
  call->paused = false;
  deliver (call);
}

static void
take_placed (DyRelayCall *call, const json_t *root)
{
  const char *endpoint_id = json_string_value (json_object_get (root, "endpoint"));
  const char *version = json_string_value (json_object_get (root, "version"));
  if (endpoint_id && version)
    call->watcher->placed (call->ctx, endpoint_id, version);
}

static void
take_head (DyRelayCall *call, const json_t *root)
{
  GPtrArray *headers = g_ptr_array_new ();
  const json_t *item;
  size_t i;
  json_array_foreach (json_object_get (root, "headers"), i, item)
  {
    g_ptr_array_add (headers, (gpointer) json_string_value (item));
  }
  g_ptr_array_add (headers, NULL);
  call->head_received = true;
  call->watcher->head (call->ctx, (unsigned) json_integer_value (json_object_get (root, "status")),
                       json_is_true (json_object_get (root, "success")),
                       (const char *const *) headers->pdata);
  g_ptr_array_unref (headers);
}

/* Returns the outcome that NUMBER stands for. */
static DyAttemptOutcome
outcome_from_number (json_int_t number, bool head_received)
{
  static const DyAttemptOutcome outcomes[]
      = { DY_ATTEMPT_NOT_SENT, DY_ATTEMPT_NOT_RUN, DY_ATTEMPT_UNANSWERED, DY_ATTEMPT_BROKEN };
  for (size_t i = 0; i < G_N_ELEMENTS (outcomes); i++)
    if ((json_int_t) outcomes[i] == number)
      return outcomes[i];
  return head_received ? DY_ATTEMPT_BROKEN : DY_ATTEMPT_UNANSWERED;
}

static void
take_end (DyRelayCall *call, const json_t *root)
{
  call->ended = true;
  call->result.complete = json_is_true (json_object_get (root, "complete"));
  call->result.endpoint_error = json_is_true (json_object_get (root, "endpoint_error"));
  const json_t *outcome = json_object_get (root, "outcome");
  call->result.outcome = outcome_from_number (
      json_is_integer (outcome) ? json_integer_value (outcome) : -1, call->head_received);
  if (json_is_true (json_object_get (root, "stops")))
    {
      /* Another router is asked at once, as if this one had not been chosen. */
      call->result.endpoint_left = true;
      dy_reachability_record_refusal (call->relays->reachability, call->peer);
    }
  if (!call->paused)
    deliver (call);
}

static void
take_answer_part (DyRelays *relays, const DyMessage *message)
{
  const char *data = message->u.relay.data;
  size_t n = message->u.relay.n_data;
  DyRelayCall *call = g_hash_table_lookup (relays->calls, &message->u.relay.number);
  if (!call || call->ended)
    return;
  if (message->u.relay.part == DY_RELAY_DATA)
    {
      g_string_append_len (call->held, data, (gssize) n);
      if (!call->paused)
        deliver (call);
      return;
    }
  json_t *root = json_loadb (data, n, 0, NULL);
  if (message->u.relay.part == DY_RELAY_PLACED)
    take_placed (call, root);
  else if (message->u.relay.part == DY_RELAY_HEAD)
    take_head (call, root);
  else
    take_end (call, root);
  json_decref (root);
}

static void
on_message (void *ctx, uint64_t link, const DyMessage *message)
{
  DyRelays *relays = ctx;
  if (message->type != DY_MESSAGE_RELAY)
    return;
  switch (message->u.relay.part)
    {
    case DY_RELAY_OPEN:
    case DY_RELAY_BODY:
    case DY_RELAY_CANCEL:
      dy_relays_serve (relays, link, message);
      break;
    case DY_RELAY_PLACED:
    case DY_RELAY_HEAD:
    case DY_RELAY_DATA:
    case DY_RELAY_END:
      take_answer_part (relays, message);
      break;
    }
}

/* The relays that were asked for on LINK may have run. */
static void
end_calls (DyRelays *relays, uint64_t link)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, relays->calls);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      DyRelayCall *call = value;
      if (call->ended || call->link != link)
        continue;
      dy_log (DY_EVENT_RELAY_LOST, "request=%s node=%s head=%d ms=%" G_GINT64_FORMAT,
              call->request_id, call->peer, call->head_received,
              (dy_kernel_now_us (relays->kernel) - call->started_us) / 1000);
      call->ended = true;
      call->result.outcome = call->head_received ? DY_ATTEMPT_BROKEN : DY_ATTEMPT_UNANSWERED;
      if (call->paused)
        continue;
      deliver (call);
      /* The callback may have ended other relays. */
      g_hash_table_iter_init (&iter, relays->calls);
    }
}

static void
on_peer_down (void *ctx, const char *name)
{
  DyRelays *relays = ctx;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, relays->calls);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      DyRelayCall *call = value;
      if (call->ended || call->silent || strcmp (call->peer, name) != 0)
        continue;
      call->silent = true;
      call->watcher->silent (call->ctx);
      /* The callback may have ended relays. */
      g_hash_table_iter_init (&iter, relays->calls);
    }
}

const char *
dy_relay_call_peer (const DyRelayCall *call)
{
  return call->peer;
}

static void
on_link_closed (void *ctx, uint64_t link)
{
  dy_relays_end_link (ctx, link);
  end_calls (ctx, link);
}

static const DyPeersWatcher peers_watcher
    = { .message = on_message, .down = on_peer_down, .link_closed = on_link_closed };

static int
service_start (void *self, DyKernel *kernel)
{
  DyRelays *relays = self;
  relays->kernel = kernel;
  relays->peers = dy_kernel_find (kernel, DY_SERVICE_PEERS);
  relays->gateway = dy_kernel_find (kernel, DY_SERVICE_GATEWAY);
  relays->reachability = dy_kernel_find (kernel, DY_SERVICE_REACHABILITY);
  relays->calls = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, free_call);
  relays->served = g_hash_table_new_full (NULL, NULL, dy_relays_free_served, NULL);
  dy_peers_watch (relays->peers, &peers_watcher, relays);
  return DY_OK;
}

static bool
service_busy (void *self)
{
  const DyRelays *relays = self;
  return g_hash_table_size (relays->served) > 0;
}

static void
service_stop (void *self)
{
  DyRelays *relays = self;
  g_hash_table_unref (relays->served);
}

void
dy_relays_finish_calls (DyRelays *relays)
{
  if (relays->calls)
    g_hash_table_unref (relays->calls);
  relays->calls = NULL;
}

static json_t *
service_dump (void *self)
{
  const DyRelays *relays = self;
  return json_pack ("{s:i, s:i}", "asked", (int) g_hash_table_size (relays->calls), "served",
                    (int) g_hash_table_size (relays->served));
}

void
dy_relays_add_service (DyKernel *kernel, DyRelays *relays)
{
  DyService service = { .name = DY_SERVICE_RELAYS,
                        .self = relays,
                        .start = service_start,
                        .busy = service_busy,
                        .stop = service_stop,
                        .dump = service_dump };
  dy_kernel_add (kernel, &service);
}
