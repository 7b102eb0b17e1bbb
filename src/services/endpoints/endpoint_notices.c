#include "services/endpoints/endpoint_notices.h"

#include "kernel/error.h"
#include "kernel/log.h"

#include <jansson.h>
#include <string.h>

#define NOTICES_PREFIX "notices/"
#define BRITTLE_PREFIX "brittle/"

enum
{
  /* Time for which a brittle endpoint that had to turn a request away gets no other from this
   * router; it counts them by the second. */
  BRITTLE_WAIT_MS = 1000,
  MAX_REPORTED = 4096, /* beyond, all are forgotten, and may be logged again */
};

static const double SWEEP_S = 2.0;
static const double SHARE_INTERVAL_S = 0.1;

static int64_t
now_us (const DyEndpointNotices *notices)
{
  return dy_kernel_now_us (notices->kernel);
}

static DyNotices *
table (const DyEndpointNotices *notices)
{
  return &notices->directory->notices;
}

static void
count_notices (const DyEndpointNotices *notices)
{
  dy_counters_set (&notices->kernel->counters, DY_COUNTER_NOTICES,
                   g_hash_table_size (table (notices)->by_endpoint));
}

/* Tells NOTICE to the router NAME, or to all if it is NULL. */
static void
send_notice (const DyEndpointNotices *notices, const char *name, const DyNotice *notice)
{
  json_t *root = json_pack ("{s:I, s:b, s:I}", "start_ms", (json_int_t) notice->start_ms, "leaving",
                            notice->leaving, "age_ms",
                            (json_int_t) ((now_us (notices) - notice->said_us) / 1000));
  char *text = json_dumps (root, JSON_COMPACT);
  char *key = g_strconcat (NOTICES_PREFIX, notice->endpoint, NULL);
  dy_peers_send_object (notices->directory->peers, name, key, text);
  g_free (key);
  free (text);
  json_decref (root);
}

/* Returns whether it was not known that ENDPOINT leaves. */
static bool
take_leaving (DyEndpointNotices *notices,
              const char *endpoint,
              int64_t start_ms,
              int64_t said_us,
              bool from_peer)
{
  if (!dy_directory_take_leaving (notices->directory, endpoint, start_ms, said_us, from_peer))
    return false;
  count_notices (notices);
  dy_log (DY_EVENT_NOTICE_KNOWN, "endpoint=%s notice=leaving source=%s age_ms=%" G_GINT64_FORMAT,
          endpoint, from_peer ? "peer" : "own", (now_us (notices) - said_us) / 1000);
  return true;
}

/* A router that is not heard from, or drains, keeps its places: it may have requests there. */
static uint32_t
share_of (void *ctx, const char *id, uint32_t slots)
{
  const DyEndpointNotices *notices = ctx;
  const DyMembers *members = &notices->directory->peers->members;
  return dy_brittle_share (slots, dy_members_possible_count (members),
                           dy_members_possible_rank (members, id));
}

static void
count_brittle (const DyEndpointNotices *notices)
{
  dy_counters_set (&notices->kernel->counters, DY_COUNTER_BRITTLE,
                   g_hash_table_size (notices->brittle.services));
}

/* Tells what is known of SERVICE to the router NAME, or to all if it is NULL. */
static void
send_brittle (const DyEndpointNotices *notices, const char *name, const DyBrittleService *service)
{
  json_t *root = json_pack ("{s:I, s:I}", "refusals_per_s", (json_int_t) service->refusals_per_s,
                            "age_ms", (json_int_t) ((now_us (notices) - service->said_us) / 1000));
  char *text = json_dumps (root, JSON_COMPACT);
  char *key = g_strconcat (BRITTLE_PREFIX, service->service, NULL);
  dy_peers_send_object (notices->directory->peers, name, key, text);
  g_free (key);
  free (text);
  json_decref (root);
}

static void
take_brittle (DyEndpointNotices *notices,
              const char *service,
              int64_t refusals_per_s,
              int64_t said_us,
              bool from_peer)
{
  DyBrittle *brittle = &notices->brittle;
  if (dy_brittle_take (brittle, service, refusals_per_s, said_us, from_peer))
    {
      count_brittle (notices);
      dy_log (DY_EVENT_SERVICE_BRITTLE,
              "service=%s refusals_per_s=%" G_GINT64_FORMAT " source=%s age_ms=%" G_GINT64_FORMAT,
              service, refusals_per_s, from_peer ? "peer" : "own",
              (now_us (notices) - said_us) / 1000);
      dy_placement_set_shares (&notices->directory->placement, service, share_of, notices);
    }
  /* What another router reports went to all, and is not sent on. */
  if (dy_brittle_announce (brittle, service, now_us (notices)) && !from_peer)
    send_brittle (notices, NULL, dy_brittle_find (brittle, service));
}

static void
take_own_brittle (DyEndpointNotices *notices, const char *endpoint, const DyAnswerHead *answer)
{
  const DyPlacementEndpoint *known = dy_placement_find (&notices->directory->placement, endpoint);
  if (known)
    take_brittle (notices, dy_placement_endpoint_service (known), answer->refusals_per_s,
                  now_us (notices), false);
}

/* Logs that FIELD of an answer of ENDPOINT cannot be read, unless that was logged before. */
static void
report_unreadable (DyEndpointNotices *notices, const char *endpoint, const char *field)
{
  char *name = g_strdup_printf ("%s %s", endpoint, field);
  if (g_hash_table_size (notices->reported) >= MAX_REPORTED)
    g_hash_table_remove_all (notices->reported);
  if (g_hash_table_add (notices->reported, name))
    dy_log (DY_EVENT_NOTICE_UNREADABLE, "endpoint=%s field=%s", endpoint, field);
}

void
dy_endpoint_notices_take (DyEndpointNotices *notices,
                          const char *endpoint,
                          int64_t start_ms,
                          const DyAnswerHead *answer)
{
  if (answer->unreadable)
    report_unreadable (notices, endpoint, answer->unreadable);
  if (answer->leaving && take_leaving (notices, endpoint, start_ms, now_us (notices), false))
    send_notice (notices, NULL, dy_notices_find (table (notices), endpoint));
  if (answer->brittle)
    take_own_brittle (notices, endpoint, answer);
}

void
dy_endpoint_notices_take_wait (DyEndpointNotices *notices,
                               const char *endpoint,
                               int64_t start_ms,
                               const DyAnswerHead *answer)
{
  int64_t wait_ms = answer->brittle ? MAX (answer->wait_ms, BRITTLE_WAIT_MS) : answer->wait_ms;
  if (wait_ms == 0)
    return;
  int64_t now = now_us (notices);
  dy_directory_take_wait (notices->directory, endpoint, start_ms, now, now + wait_ms * 1000);
  count_notices (notices);
  dy_log (DY_EVENT_NOTICE_KNOWN, "endpoint=%s notice=wait source=own ms=%" G_GINT64_FORMAT,
          endpoint, wait_ms);
}

/* Returns the time at which something was said that is as old as the member "age_ms" of ROOT says.
 */
static int64_t
said_us (const DyEndpointNotices *notices, const json_t *root)
{
  int64_t age_ms = json_integer_value (json_object_get (root, "age_ms"));
  return now_us (notices) - CLAMP (age_ms, 0, INT32_MAX) * INT64_C (1000);
}

static void
take_brittle_report (DyEndpointNotices *notices, const char *service, const json_t *root)
{
  const json_t *refusals_per_s = json_object_get (root, "refusals_per_s");
  if (json_is_integer (refusals_per_s) && json_is_integer (json_object_get (root, "age_ms")))
    take_brittle (notices, service, json_integer_value (refusals_per_s), said_us (notices, root),
                  true);
  else
    report_unreadable (notices, service, "peer");
}

static void
take_notice_report (DyEndpointNotices *notices, const char *endpoint, const json_t *root)
{
  const json_t *start_ms = json_object_get (root, "start_ms");
  const json_t *age_ms = json_object_get (root, "age_ms");
  if (!json_is_integer (start_ms) || !json_is_integer (age_ms))
    report_unreadable (notices, endpoint, "peer");
  else if (json_is_true (json_object_get (root, "leaving")))
    take_leaving (notices, endpoint, json_integer_value (start_ms), said_us (notices, root), true);
}

static void
on_message (void *ctx, uint64_t link, const DyMessage *message)
{
  DyEndpointNotices *notices = ctx;
  const char *key = message->u.config.key;
  (void) link;
  if (message->type != DY_MESSAGE_CONFIG || !message->u.config.text
      || !(g_str_has_prefix (key, NOTICES_PREFIX) || g_str_has_prefix (key, BRITTLE_PREFIX)))
    return;
  json_t *root = json_loadb (message->u.config.text, message->u.config.n_text, 0, NULL);
  if (g_str_has_prefix (key, NOTICES_PREFIX))
    take_notice_report (notices, key + strlen (NOTICES_PREFIX), root);
  else
    take_brittle_report (notices, key + strlen (BRITTLE_PREFIX), root);
  json_decref (root);
}

static void
on_peer_up (void *ctx, const char *name)
{
  const DyEndpointNotices *notices = ctx;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, table (notices)->by_endpoint);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((const DyNotice *) value)->leaving)
      send_notice (notices, name, value);
  g_hash_table_iter_init (&iter, notices->brittle.services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    send_brittle (notices, name, value);
}

static const DyPeersWatcher peers_watcher = { .message = on_message, .up = on_peer_up };

static void
on_sweep (struct ev_loop *loop, ev_timer *w, int events)
{
  DyEndpointNotices *notices = w->data;
  DyNotice *ended;
  (void) loop;
  (void) events;
  while ((ended = dy_notices_take_ended (table (notices), now_us (notices))))
    {
      dy_log (DY_EVENT_NOTICE_ENDED, "endpoint=%s age_ms=%" G_GINT64_FORMAT, ended->endpoint,
              (now_us (notices) - ended->said_us) / 1000);
      dy_directory_end_leaving (notices->directory, ended->endpoint);
      dy_notice_free (ended);
    }
  count_notices (notices);
}

/* Ends what has not been said for long, and follows changes of routers and endpoints. */
static void
on_share_timer (struct ev_loop *loop, ev_timer *w, int events)
{
  DyEndpointNotices *notices = w->data;
  DyPlacement *placement = &notices->directory->placement;
  DyBrittleService *ended;
  GHashTableIter iter;
  gpointer service;
  (void) loop;
  (void) events;
  while ((ended = dy_brittle_take_ended (&notices->brittle, now_us (notices))))
    {
      dy_log (DY_EVENT_SERVICE_BRITTLE_ENDED, "service=%s age_ms=%" G_GINT64_FORMAT, ended->service,
              (now_us (notices) - ended->said_us) / 1000);
      dy_placement_set_shares (placement, ended->service, NULL, NULL);
      dy_brittle_service_free (ended);
      count_brittle (notices);
    }
  g_hash_table_iter_init (&iter, notices->brittle.services);
  while (g_hash_table_iter_next (&iter, &service, NULL))
    dy_placement_set_shares (placement, service, share_of, notices);
}

static int
service_start (void *self, DyKernel *kernel)
{
  DyEndpointNotices *notices = self;
  notices->kernel = kernel;
  notices->directory = dy_kernel_find (kernel, DY_SERVICE_DIRECTORY);
  notices->reported = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  dy_peers_watch (notices->directory->peers, &peers_watcher, notices);
  ev_timer_init (&notices->sweep, on_sweep, SWEEP_S, SWEEP_S);
  notices->sweep.data = notices;
  ev_timer_start (kernel->loop, &notices->sweep);
  dy_brittle_init (&notices->brittle);
  ev_timer_init (&notices->share_timer, on_share_timer, SHARE_INTERVAL_S, SHARE_INTERVAL_S);
  notices->share_timer.data = notices;
  ev_timer_start (kernel->loop, &notices->share_timer);
  return DY_OK;
}

static void
service_stop (void *self)
{
  DyEndpointNotices *notices = self;
  ev_timer_stop (notices->kernel->loop, &notices->sweep);
  ev_timer_stop (notices->kernel->loop, &notices->share_timer);
  dy_brittle_finish (&notices->brittle);
  g_hash_table_unref (notices->reported);
}

static json_t *
service_dump (void *self)
{
  const DyEndpointNotices *notices = self;
  GHashTableIter iter;
  gpointer value;
  json_t *list = json_array ();
  g_hash_table_iter_init (&iter, table (notices)->by_endpoint);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const DyNotice *notice = value;
      json_array_append_new (
          list,
          json_pack ("{s:s, s:I, s:b, s:I, s:I, s:s}", "endpoint", notice->endpoint, "start_ms",
                     (json_int_t) notice->start_ms, "leaving", notice->leaving, "wait_ms",
                     (json_int_t) (MAX (notice->wait_until_us - now_us (notices), 0) / 1000),
                     "age_ms", (json_int_t) ((now_us (notices) - notice->said_us) / 1000), "source",
                     notice->from_peer ? "peer" : "own"));
    }
  json_t *brittle = json_array ();
  g_hash_table_iter_init (&iter, notices->brittle.services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const DyBrittleService *service = value;
      json_array_append_new (
          brittle, json_pack ("{s:s, s:I, s:I, s:s, s:I}", "service", service->service,
                              "refusals_per_s", (json_int_t) service->refusals_per_s, "age_ms",
                              (json_int_t) ((now_us (notices) - service->said_us) / 1000), "source",
                              service->from_peer ? "peer" : "own", "places",
                              (json_int_t) dy_placement_places (&notices->directory->placement,
                                                                service->service)));
    }
  return json_pack ("{s:o, s:o}", "notices", list, "brittle", brittle);
}

void
dy_endpoint_notices_add_service (DyKernel *kernel, DyEndpointNotices *notices)
{
  DyService service = { .name = DY_SERVICE_ENDPOINT_NOTICES,
                        .self = notices,
                        .start = service_start,
                        .stop = service_stop,
                        .dump = service_dump };
  dy_kernel_add (kernel, &service);
}
