#include "services/gateway/relays.h"

#include "kernel/log.h"
#include "services/gateway/gateway_crashes.h"

#include <string.h>

enum
{
  MAX_BODY_BYTES = 8 * 1024 * 1024,
};

/* An attempt that the router on LINK asked for. */
typedef struct
{
  DyRelays *relays;
  uint64_t link;
  uint64_t number;
  int64_t opened_us; /* monotonic time */
  json_t *open;      /* the opening part */
  GString *body;
  size_t body_bytes;
  GPtrArray *lines; /* texts of OPEN, NULL at the end */
  DyGatewayAttempt attempt;
  bool attempt_open;
  bool head_sent;
  ev_timer deadline;
} Served;

static const char *
text_of (const Served *served, const char *name)
{
  return json_string_value (json_object_get (served->open, name));
}

static int64_t
integer_of (const Served *served, const char *name)
{
  return json_integer_value (json_object_get (served->open, name));
}

static uint64_t
parse_hex (const json_t *value)
{
  return json_is_string (value) ? g_ascii_strtoull (json_string_value (value), NULL, 16) : 0;
}

static void
send_part (const Served *served, DyRelayPart part, const char *data, size_t n)
{
  DyMessage message = { .type = DY_MESSAGE_RELAY };
  message.u.relay.number = served->number;
  message.u.relay.part = part;
  message.u.relay.data = data;
  message.u.relay.n_data = (uint32_t) n;
  dy_peers_reply (served->relays->peers, served->link, &message);
}

/* Frees ROOT. */
static void
send_json (const Served *served, DyRelayPart part, json_t *root)
{
  char *text = json_dumps (root, JSON_COMPACT);
  send_part (served, part, text, strlen (text));
  free (text);
  json_decref (root);
}

void
dy_relays_free_served (gpointer data)
{
  Served *served = data;
  dy_peers_release_link (served->relays->peers, served->link);
  ev_timer_stop (served->relays->kernel->loop, &served->deadline);
  if (served->attempt_open)
    dy_gateway_attempt_cancel (&served->attempt, DY_PLACEMENT_CANCELLED);
  dy_gateway_attempt_finish (&served->attempt);
  g_string_free (served->body, TRUE);
  g_ptr_array_unref (served->lines);
  json_decref (served->open);
  g_free (served);
}

/* Tells the other router how the attempt ended, and forgets it. STOPS: it was not begun, as this
 * router stops. */
static void
end (Served *served, const DyGatewayAttemptResult *result, bool stops)
{
  send_json (served, DY_RELAY_END,
             json_pack ("{s:b, s:b, s:i, s:b}", "complete", result->complete, "endpoint_error",
                        result->endpoint_error, "outcome", (int) result->outcome, "stops", stops));
  g_hash_table_remove (served->relays->served, served);
}

/* Tells the other router that nothing was sent. */
static void
refuse (Served *served, const char *reason)
{
  static const DyGatewayAttemptResult not_sent = { .outcome = DY_ATTEMPT_NOT_SENT };
  const char *id = text_of (served, "id");
  bool stops = served->relays->kernel->draining;
  dy_log (DY_EVENT_RELAY_REFUSED, "request=%s reason=%s stops=%d", id ? id : "-", reason, stops);
  end (served, &not_sent, stops);
}

static void
send_head (Served *served)
{
  const DyGatewayAttempt *attempt = &served->attempt;
  if (served->head_sent || !attempt->head_received || attempt->foreign)
    return;
  json_t *headers = json_array ();
  served->head_sent = true;
  for (guint i = 0; i < attempt->headers->len; i++)
    json_array_append_new (headers, json_string (g_ptr_array_index (attempt->headers, i)));
  send_json (served, DY_RELAY_HEAD,
             json_pack ("{s:i, s:b, s:o}", "status", (int) attempt->status, "success",
                        attempt->is_success, "headers", headers));
}

static void
on_ready (void *ctx)
{
  const Served *served = ctx;
  send_json (served, DY_RELAY_PLACED,
             json_pack ("{s:s, s:s}", "endpoint", served->attempt.endpoint_id, "version",
                        served->attempt.version));
}

static void
on_head (void *ctx)
{
  send_head (ctx);
}

static bool
on_data (void *ctx, const char *data, size_t n)
{
  enum
  {
    PART_BYTES = 32 * 1024,
  };
  Served *served = ctx;
  send_head (served);
  if (served->attempt.is_success)
    dy_gateway_attempt_on_first_event (&served->attempt);
  for (size_t sent = 0; sent < n; sent += PART_BYTES)
    send_part (served, DY_RELAY_DATA, data + sent, MIN (n - sent, PART_BYTES));
  return true;
}

/* The evidence of a crash is here, where the connection was. */
static void
record_crash (const Served *served, const DyGatewayAttemptResult *result)
{
  DyGatewayPlan plan = { .id = (char *) text_of (served, "id") };
  const json_t *item;
  size_t i;
  plan.body_hash = parse_hex (json_object_get (served->open, "body_hash"));
  json_array_foreach (json_object_get (served->open, "parts"), i, item)
  {
    if (plan.n_parts < G_N_ELEMENTS (plan.parts))
      plan.parts[plan.n_parts++] = parse_hex (item);
  }
  DyGatewayBreak broken = { .endpoint_id = served->attempt.endpoint_id,
                            .sent_us = served->attempt.placed_us,
                            .had_output = served->attempt.prompt_read,
                            .is_new_connection = result->is_new_connection };
  dy_gateway_record_crash (served->relays->gateway, &plan, &broken);
}

static void
on_done (void *ctx, const DyGatewayAttemptResult *result)
{
  Served *served = ctx;
  DyGatewayAttemptResult out = *result;
  served->attempt_open = false;
  if (result->endpoint_left)
    out.outcome = DY_ATTEMPT_NOT_SENT;
  if (result->crashed)
    record_crash (served, result);
  send_head (served);
  end (served, &out, false);
}

static const DyGatewayAttemptWatcher attempt_watcher
    = { .ready = on_ready, .head = on_head, .data = on_data, .done = on_done };

static void
log_cancel (const Served *served, const char *reason)
{
  const DyKernel *kernel = served->relays->kernel;
  const char *id = text_of (served, "id");
  dy_log (DY_EVENT_RELAY_CANCELLED, "request=%s reason=%s ms=%" G_GINT64_FORMAT, id ? id : "-",
          reason, (dy_kernel_now_us (kernel) - served->opened_us) / 1000);
}

static void
on_deadline (struct ev_loop *loop, ev_timer *w, int events)
{
  Served *served = w->data;
  (void) loop;
  (void) events;
  log_cancel (served, "time_limit");
  g_hash_table_remove (served->relays->served, served);
}

static void
start_deadline (Served *served, int64_t time_left_ms)
{
  if (time_left_ms < 0)
    return;
  ev_timer_set (&served->deadline, (double) time_left_ms / 1e3, 0.0);
  ev_timer_start (served->relays->kernel->loop, &served->deadline);
}

static GPtrArray *
text_array (const json_t *list)
{
  GPtrArray *texts = g_ptr_array_new ();
  const json_t *item;
  size_t i;
  json_array_foreach (list, i, item)
  {
    if (json_is_string (item))
      g_ptr_array_add (texts, (gpointer) json_string_value (item));
  }
  g_ptr_array_add (texts, NULL);
  return texts;
}

static DyPlacementEndpoint *
choose_endpoint (const Served *served, const DyPromptWork *work)
{
  DyPlacement *placement = &served->relays->gateway->directory->placement;
  GPtrArray *avoid = text_array (json_object_get (served->open, "avoid"));
  const char *except[] = { text_of (served, "except"), NULL };
  DyPlacementQuery query = { .service = text_of (served, "service"),
                             .work = *work,
                             .avoid = (const char *const *) avoid->pdata,
                             .version = text_of (served, "version") };
  int64_t now_us = dy_kernel_now_us (served->relays->kernel);
  DyPlacementEndpoint *endpoint = dy_placement_choose (placement, &query, now_us, NULL);
  if (!endpoint)
    {
      query.avoid = except;
      endpoint = dy_placement_choose (placement, &query, now_us, NULL);
    }
  g_ptr_array_unref (avoid);
  return endpoint;
}

static void
start_attempt (Served *served)
{
  DyRelays *relays = served->relays;
  if (relays->kernel->draining)
    {
      refuse (served, "stops");
      return;
    }
  DyPromptWork work = { .prefix_hash = parse_hex (json_object_get (served->open, "prefix")),
                        .shared_tokens = integer_of (served, "shared"),
                        .own_tokens = integer_of (served, "own"),
                        /* 0 from a router of an earlier version. */
                        .output_tokens = CLAMP (integer_of (served, "output"), 0, G_MAXINT32) };
  bool out = dy_reachability_is_out (relays->reachability);
  bool late = !out && !dy_gateway_may_send (relays->gateway, text_of (served, "id"), "relay");
  DyPlacementEndpoint *endpoint = out || late ? NULL : choose_endpoint (served, &work);
  if (!endpoint)
    {
      refuse (served, out ? "out_of_reach" : late ? "late" : "no_endpoint");
      return;
    }
  const char *id = dy_placement_endpoint_id (endpoint);
  DyForwardedRequest forwarded = { .method = text_of (served, "method"),
                                   .target = text_of (served, "target"),
                                   .body = served->body->str,
                                   .n_body = served->body->len,
                                   .lines = (const char *const *) served->lines->pdata };
  DyGatewayAttemptSpec spec
      = { .forwarded = &forwarded,
          .request_id = text_of (served, "id"),
          .service = text_of (served, "service"),
          .work = work,
          .head
          = { .account = text_of (served, "account"),
              .endpoint_id = id,
              .resume_from = text_of (served, "resume_from"),
              .time_left_ms = integer_of (served, "time_left_ms"),
              .priority = (uint32_t) integer_of (served, "priority"),
              .has_priority = json_is_true (json_object_get (served->open, "has_priority")) } };
  dy_log (DY_EVENT_RELAY_PLACED, "request=%s endpoint=%s version=%s stops=%d evacuated=%u",
          spec.request_id, id, dy_placement_endpoint_version (endpoint), relays->kernel->draining,
          dy_placement_count_evacuated (&relays->gateway->directory->placement, spec.service));
  dy_counters_add (&relays->kernel->counters, DY_COUNTER_RELAYS_SERVED, 1);
  start_deadline (served, spec.head.time_left_ms);
  served->attempt_open = true;
  dy_gateway_attempt_init (&served->attempt, relays->gateway, endpoint, &spec, &attempt_watcher,
                           served);
}

static Served *
find (const DyRelays *relays, uint64_t link, uint64_t number)
{
  GHashTableIter iter;
  gpointer key;
  g_hash_table_iter_init (&iter, relays->served);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      Served *served = key;
      if (served->link == link && served->number == number)
        return served;
    }
  return NULL;
}

static void
open_relay (DyRelays *relays, uint64_t link, const DyMessage *message)
{
  static const char *const texts[] = { "id", "service", "method", "target" };
  Served *served = g_new0 (Served, 1);
  served->relays = relays;
  served->link = link;
  served->number = message->u.relay.number;
  dy_peers_hold_link (relays->peers, link);
  served->opened_us = dy_kernel_now_us (relays->kernel);
  served->open = json_loadb (message->u.relay.data, message->u.relay.n_data, 0, NULL);
  served->body = g_string_new (NULL);
  served->body_bytes = (size_t) MAX (integer_of (served, "body_bytes"), 0);
  served->lines = text_array (json_object_get (served->open, "lines"));
  ev_timer_init (&served->deadline, on_deadline, 0.0, 0.0);
  served->deadline.data = served;
  g_hash_table_add (relays->served, served);
  bool valid = served->body_bytes <= MAX_BODY_BYTES;
  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    valid = valid && text_of (served, texts[i]);
  if (!valid || relays->kernel->draining)
    refuse (served, valid ? "stops" : "malformed");
  else if (served->body_bytes == 0)
    start_attempt (served);
}

void
dy_relays_serve (DyRelays *relays, uint64_t link, const DyMessage *message)
{
  if (message->u.relay.part == DY_RELAY_OPEN)
    {
      open_relay (relays, link, message);
      return;
    }
  Served *served = find (relays, link, message->u.relay.number);
  if (!served)
    return;
  if (message->u.relay.part == DY_RELAY_CANCEL)
    {
      log_cancel (served, "asked");
      g_hash_table_remove (relays->served, served);
      return;
    }
  if (served->attempt_open || served->body->len >= served->body_bytes)
    return;
  g_string_append_len (served->body, message->u.relay.data, (gssize) message->u.relay.n_data);
  if (served->body->len >= served->body_bytes)
    start_attempt (served);
}

void
dy_relays_end_link (DyRelays *relays, uint64_t link)
{
  GHashTableIter iter;
  gpointer key;
  g_hash_table_iter_init (&iter, relays->served);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    if (((const Served *) key)->link == link)
      {
        log_cancel (key, "connection");
        g_hash_table_iter_remove (&iter);
      }
}
