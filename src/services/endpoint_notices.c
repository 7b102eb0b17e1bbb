#include "services/endpoint_notices.h"

#include "kernel/error.h"
#include "kernel/log.h"

#include <jansson.h>
#include <string.h>

#define NOTICES_PREFIX "notices/"

enum
{
  MAX_REPORTED = 4096, /* beyond, all are forgotten, and may be logged again */
};

static const double SWEEP_S = 2.0;

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
}

void
dy_endpoint_notices_take_wait (DyEndpointNotices *notices,
                               const char *endpoint,
                               int64_t start_ms,
                               const DyAnswerHead *answer)
{
  if (answer->wait_ms == 0)
    return;
  int64_t now = now_us (notices);
  dy_directory_take_wait (notices->directory, endpoint, start_ms, now,
                          now + answer->wait_ms * 1000);
  count_notices (notices);
  dy_log (DY_EVENT_NOTICE_KNOWN, "endpoint=%s notice=wait source=own ms=%" G_GINT64_FORMAT,
          endpoint, answer->wait_ms);
}

static void
on_message (void *ctx, uint64_t link, const DyMessage *message)
{
  DyEndpointNotices *notices = ctx;
  const char *key = message->u.config.key;
  (void) link;
  if (message->type != DY_MESSAGE_CONFIG || !message->u.config.text
      || !g_str_has_prefix (key, NOTICES_PREFIX))
    return;
  const char *endpoint = key + strlen (NOTICES_PREFIX);
  json_t *root = json_loadb (message->u.config.text, message->u.config.n_text, 0, NULL);
  const json_t *start_ms = json_object_get (root, "start_ms");
  const json_t *age_ms = json_object_get (root, "age_ms");
  if (!json_is_integer (start_ms) || !json_is_integer (age_ms))
    report_unreadable (notices, endpoint, "peer");
  else if (json_is_true (json_object_get (root, "leaving")))
    take_leaving (notices, endpoint, json_integer_value (start_ms),
                  now_us (notices)
                      - CLAMP (json_integer_value (age_ms), 0, INT32_MAX) * INT64_C (1000),
                  true);
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
  return DY_OK;
}

static void
service_stop (void *self)
{
  DyEndpointNotices *notices = self;
  ev_timer_stop (notices->kernel->loop, &notices->sweep);
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
  return json_pack ("{s:o}", "notices", list);
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
