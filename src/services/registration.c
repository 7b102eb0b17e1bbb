#include "services/registration.h"

#include "kernel/error.h"
#include "kernel/log.h"

#include <string.h>

/* Delay between writes while the store is unreachable. Until one succeeds, other routers connect to
 * this one only if they read its address earlier. */
static const double RETRY_S = 0.5;

/* Writes the record if the store holds version EXPECTED of it, 0 if it holds none. */
static void write_record (DyRegistration *registration, uint64_t expected);

/* CREATED is whether the store held no record before. */
static void
finish (DyRegistration *registration, uint64_t version, bool created)
{
  registration->created = registration->created || (created && !registration->rewrites);
  registration->rewrites = true;
  registration->done = true;
  dy_log (DY_EVENT_REGISTERED, "key=%s version=%" G_GUINT64_FORMAT, registration->key, version);
}

/* Returns whether REPLY, to a write that found a record, shows one with the same contents, which an
 * earlier incarnation of this router wrote. */
static bool
is_own_record (const DyRegistration *registration, const DyPlatformReply *reply)
{
  json_t *stored = reply->value ? json_loadb (reply->value, reply->n_value, 0, NULL) : NULL;
  json_t *own = json_loads (registration->text, 0, NULL);
  bool equal = json_equal (stored, own);
  json_decref (stored);
  json_decref (own);
  return equal;
}

static void
on_written (void *ctx, const DyPlatformReply *reply)
{
  DyRegistration *registration = ctx;
  if (reply->error == DY_OK)
    {
      finish (registration, reply->version, registration->expected == 0);
      return;
    }
  if (reply->error == DY_CONFLICT && reply->version)
    {
      if (is_own_record (registration, reply))
        finish (registration, reply->version, false);
      else
        write_record (registration, reply->version);
      return;
    }
  ev_timer_set (&registration->retry, RETRY_S, 0.0);
  ev_timer_start (registration->kernel->loop, &registration->retry);
}

static void
write_record (DyRegistration *registration, uint64_t expected)
{
  registration->expected = expected;
  dy_platform_put (registration->platform, registration->key, registration->text, expected,
                   on_written, registration);
}

static void
on_retry (struct ev_loop *loop, ev_timer *w, int events)
{
  (void) loop;
  (void) events;
  write_record (w->data, 0);
}

/* The record is written again when the store may have lost it. */
static void
on_era (void *ctx, uint64_t era, bool restored)
{
  DyRegistration *registration = ctx;
  (void) era;
  if (!restored || !registration->done)
    return;
  registration->done = false;
  write_record (registration, 0);
}

static int
service_start (void *self, DyKernel *kernel)
{
  DyRegistration *registration = self;
  const DySettings *settings = kernel->settings;
  registration->kernel = kernel;
  registration->platform = dy_kernel_find (kernel, DY_SERVICE_PLATFORM);
  registration->key = g_strconcat (DY_REGISTRATION_PREFIX, settings->node_name, NULL);
  json_t *record = json_pack ("{s:s, s:s, s:b}", "address", settings->peer_listen, "data_centre",
                              settings->data_centre, "leaving", 0);
  registration->text = json_dumps (record, JSON_COMPACT);
  json_decref (record);
  ev_timer_init (&registration->retry, on_retry, 0.0, 0.0);
  registration->retry.data = registration;
  write_record (registration, 0);
  dy_platform_watch_era (registration->platform, on_era, registration);
  return DY_OK;
}

static void
service_stop (void *self)
{
  DyRegistration *registration = self;
  ev_timer_stop (registration->kernel->loop, &registration->retry);
  g_free (registration->key);
  free (registration->text);
}

void
dy_registration_add_service (DyKernel *kernel, DyRegistration *registration)
{
  DyService service = { .name = DY_SERVICE_REGISTRATION,
                        .self = registration,
                        .start = service_start,
                        .stop = service_stop };
  dy_kernel_add (kernel, &service);
}
