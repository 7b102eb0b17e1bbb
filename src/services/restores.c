#include "services/restores.h"

#include "kernel/error.h"
#include "kernel/log.h"

#include <jansson.h>
#include <string.h>

#define REPORT_PREFIX "restored/"
#define ID_FORMAT "%" G_GINT64_MODIFIER "x"

static const double TICK_S = 0.1;

static int64_t
now_us (const DyRestores *restores)
{
  return dy_kernel_now_us (restores->kernel);
}

static void
send_report (const DyRestores *restores, const char *name)
{
  const DyRestoreReport *own = &restores->own;
  char *key = g_strconcat (REPORT_PREFIX, restores->kernel->settings->node_name, NULL);
  char *id = g_strdup_printf (ID_FORMAT, own->incarnation_id);
  json_t *root = json_pack ("{s:s, s:I, s:b, s:b}", "id", id, "era", (json_int_t) own->era,
                            "reasserted", own->reasserted, "was_there", own->was_there);
  char *text = json_dumps (root, JSON_COMPACT);
  dy_peers_send_object (restores->budgets->peers, name, key, text);
  free (text);
  json_decref (root);
  g_free (id);
  g_free (key);
}

static void
update_own (DyRestores *restores)
{
  const DyReservations *res = &restores->budgets->reservations;
  int64_t since_us = restores->noticed_us - restores->kernel->settings->store_copy_age_ms * 1000;
  restores->own.reasserted = !dy_reservations_is_reasserting (res);
  restores->own.was_there
      = restores->started_us <= since_us && dy_reservations_parted_us (res) < since_us;
}

static bool
is_restored (const DyRestores *restores)
{
  return restores->own.era > DY_LEDGER_FIRST_ERA
         && restores->kernel->settings->store_copy_age_ms > 0;
}

static bool
is_same_report (const DyRestoreReport *a, const DyRestoreReport *b)
{
  return a->incarnation_id == b->incarnation_id && a->era == b->era
         && a->reasserted == b->reasserted && a->was_there == b->was_there;
}

static void
on_timer (struct ev_loop *loop, ev_timer *w, int events)
{
  DyRestores *restores = w->data;
  (void) loop;
  (void) events;
  if (!is_restored (restores))
    return;
  update_own (restores);
  if (!is_same_report (&restores->own, &restores->sent))
    {
      restores->sent = restores->own;
      send_report (restores, NULL);
    }
  if (restores->released_era == restores->own.era
      || !dy_restore_check_complete (&restores->check, &restores->own,
                                     &restores->budgets->peers->members, now_us (restores)))
    return;
  restores->released_era = restores->own.era;
  dy_log (DY_EVENT_RESTORE_COMPLETE, "era=%" G_GUINT64_FORMAT " ms=%" G_GINT64_FORMAT,
          restores->own.era, (now_us (restores) - restores->noticed_us) / 1000);
  dy_reservations_release_withheld (&restores->budgets->reservations, restores->own.era,
                                    now_us (restores));
}

static void
on_era (void *ctx, uint64_t era, bool restored)
{
  DyRestores *restores = ctx;
  (void) restored;
  restores->noticed_us = now_us (restores);
  restores->own.era = era;
  dy_reservations_set_era (&restores->budgets->reservations, era, now_us (restores));
}

static void
on_message (void *ctx, uint64_t link, const DyMessage *message)
{
  DyRestores *restores = ctx;
  const char *key = message->u.config.key;
  guint64 id;
  (void) link;
  if (message->type != DY_MESSAGE_CONFIG || !g_str_has_prefix (key, REPORT_PREFIX)
      || !message->u.config.text)
    return;
  json_t *root = json_loadb (message->u.config.text, message->u.config.n_text, 0, NULL);
  const char *text = json_string_value (json_object_get (root, "id"));
  if (text && g_ascii_string_to_unsigned (text, 16, 0, G_MAXUINT64, &id, NULL))
    {
      DyRestoreReport report
          = { .incarnation_id = id,
              .era = (uint64_t) json_integer_value (json_object_get (root, "era")),
              .reasserted = json_is_true (json_object_get (root, "reasserted")),
              .was_there = json_is_true (json_object_get (root, "was_there")) };
      dy_restore_check_take (&restores->check, key + strlen (REPORT_PREFIX), &report);
    }
  json_decref (root);
}

static void
on_peer_up (void *ctx, const char *name)
{
  const DyRestores *restores = ctx;
  if (is_restored (restores))
    send_report (restores, name);
}

static const DyPeersWatcher peers_watcher = { .message = on_message, .up = on_peer_up };

static int
service_start (void *self, DyKernel *kernel)
{
  DyRestores *restores = self;
  restores->kernel = kernel;
  restores->budgets = dy_kernel_find (kernel, DY_SERVICE_BUDGETS);
  restores->started_us = now_us (restores);
  restores->noticed_us = restores->started_us;
  restores->own.incarnation_id = kernel->incarnation_id;
  dy_restore_check_init (&restores->check);
  dy_peers_watch (restores->budgets->peers, &peers_watcher, restores);
  dy_platform_watch_era (restores->budgets->platform, on_era, restores);
  ev_timer_init (&restores->timer, on_timer, TICK_S, TICK_S);
  restores->timer.data = restores;
  ev_timer_start (kernel->loop, &restores->timer);
  return DY_OK;
}

static void
service_stop (void *self)
{
  DyRestores *restores = self;
  ev_timer_stop (restores->kernel->loop, &restores->timer);
  dy_restore_check_finish (&restores->check);
}

static json_t *
service_dump (void *self)
{
  const DyRestores *restores = self;
  return json_pack ("{s:I, s:b, s:b, s:b}", "era", (json_int_t) restores->own.era, "reasserted",
                    restores->own.reasserted, "was_there", restores->own.was_there, "released",
                    restores->released_era == restores->own.era);
}

void
dy_restores_add_service (DyKernel *kernel, DyRestores *restores)
{
  DyService service = { .name = DY_SERVICE_RESTORES,
                        .self = restores,
                        .start = service_start,
                        .stop = service_stop,
                        .dump = service_dump };
  dy_kernel_add (kernel, &service);
}
