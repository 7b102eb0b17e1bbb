#include "services/endpoints/cold_endpoints.h"

#include "kernel/error.h"
#include "kernel/log.h"

#include <jansson.h>
#include <string.h>

enum
{
  MAX_REPORTED = 4096, /* beyond, all are forgotten, and may be logged again */
};

static const double SWEEP_S = 0.2;

static int64_t
now_us (const DyColdEndpoints *cold)
{
  return dy_kernel_now_us (cold->kernel);
}

static bool
is_enabled (const DyColdEndpoints *cold)
{
  return cold->kernel && cold->kernel->settings->cold_overage_thousandths > 0;
}

/* Returns the service of the endpoint ID, or NULL if it is not known. */
static const DyRouteService *
service_of (const DyColdEndpoints *cold, const char *id)
{
  const DyDirectory *directory = cold->directory;
  const DyPlacementEndpoint *endpoint = dy_placement_find (&directory->placement, id);
  if (!endpoint || !directory->has_routes)
    return NULL;
  return dy_route_table_service (&directory->routes, dy_placement_endpoint_service (endpoint));
}

static DyColdPlace
place_of (void *ctx, const char *id, int64_t now)
{
  const DyColdEndpoints *cold = ctx;
  const DySettings *settings = cold->kernel->settings;
  DyPeers *peers = cold->directory->peers;
  const DyRouteService *service = service_of (cold, id);
  DyColdPlace place = { .bound = -1 };
  if (!is_enabled (cold))
    return place;
  /* A router that starts may read the records before the routes, which state the rate. */
  if (!cold->directory->has_routes)
    return (DyColdPlace){ .bound = 0, .unknown = true };
  if (!service)
    return place;
  place.cold_us = service->cold_ms * 1000;
  place.bound = dy_cold_bound (service->cold_per_1000_s, settings->cold_overage_thousandths,
                               settings->cold_slack_thousandths);
  if (place.bound >= 0)
    dy_cold_set_rank (&place, &peers->members, &peers->cold_parts, id, now);
  return place;
}

static bool
allows (void *ctx, const char *id, int64_t now)
{
  DyColdEndpoints *cold = ctx;
  if (!is_enabled (cold) || dy_cold_shares_allow (&cold->shares, id, now))
    return true;
  /* If no endpoint can take the load while this one's rises, requests would be refused. */
  const DyPlacementEndpoint *endpoint = dy_placement_find (&cold->directory->placement, id);
  return endpoint && dy_cold_shares_is_in_ramp (&cold->shares, id, now)
         && !g_hash_table_contains (cold->settled, dy_placement_endpoint_service (endpoint));
}

static const DyPlacementGate gate = { .allows = allows };

/* Logs that the cold time of NAME, an endpoint or a service by KIND, cannot be used, unless that
 * was so before. Returns whether it was logged. */
static bool
report_invalid (DyColdEndpoints *cold, const char *kind, const char *name)
{
  char *text = g_strdup_printf ("%s=%s", kind, name);
  if (g_hash_table_size (cold->reported) >= MAX_REPORTED)
    g_hash_table_remove_all (cold->reported);
  bool is_new = !g_hash_table_contains (cold->reported, text);
  if (is_new)
    dy_log (DY_EVENT_COLD_TIME_INVALID, "%s", text);
  g_hash_table_add (cold->reported, text);
  return is_new;
}

/* Records that the cold time of the endpoint ID can be used or is not stated. */
static void
end_invalid (const DyColdEndpoints *cold, const char *id)
{
  char *text = g_strconcat ("endpoint=", id, NULL);
  g_hash_table_remove (cold->reported, text);
  g_free (text);
}

static void
count_cold (const DyColdEndpoints *cold)
{
  dy_counters_set (&cold->kernel->counters, DY_COUNTER_COLD_ENDPOINTS,
                   g_hash_table_size (cold->cold));
}

/* Handles that the endpoint ID is cold and was not, or was as an earlier start. */
static void
take_begin (DyColdEndpoints *cold, const char *id, const char *source)
{
  const DyColdEndpoint *endpoint = g_hash_table_lookup (cold->shares.endpoints, id);
  g_hash_table_add (cold->cold, g_strdup (id));
  count_cold (cold);
  dy_log (DY_EVENT_ENDPOINT_COLD,
          "cold=%s source=%s cold_ms=%" G_GINT64_FORMAT " hold_ms=%" G_GINT64_FORMAT
          " share=%" G_GINT64_FORMAT,
          id, source, (endpoint->cold_until_us - now_us (cold)) / 1000,
          MAX (endpoint->hold_until_us - now_us (cold), 0) / 1000, endpoint->share);
}

static void
on_record (void *ctx, const DyEndpointRecord *record, uint64_t version)
{
  DyColdEndpoints *cold = ctx;
  const DyRouteService *service = service_of (cold, record->id);
  int64_t cold_ms = record->cold_ms;
  if (!is_enabled (cold))
    return;
  if (service && service->cold_invalid)
    report_invalid (cold, "service", record->service);
  if (cold_ms != DY_COLD_TIME_INVALID)
    end_invalid (cold, record->id);
  else
    /* It counts once: the endpoint writes its record again and again. */
    cold_ms = report_invalid (cold, "endpoint", record->id) && service ? service->cold_ms
                                                                       : DY_COLD_TIME_NOT_STATED;
  if (dy_cold_shares_put (&cold->shares, record->id, record->start_ms,
                          cold_ms < 0 ? DY_COLD_NOT_STATED : cold_ms * 1000, version,
                          now_us (cold)))
    take_begin (cold, record->id, record->cold_ms >= 0 ? "record" : "service");
}

void
dy_cold_endpoints_take_answer (DyColdEndpoints *cold,
                               const char *endpoint,
                               int64_t start_ms,
                               int64_t cold_ms)
{
  if (!is_enabled (cold) || cold_ms <= 0)
    return;
  const DyColdEndpoint *known = g_hash_table_lookup (cold->shares.endpoints, endpoint);
  /* An answer may come from an earlier start than that of the record. */
  if (known && known->start_ms == start_ms
      && dy_cold_shares_put (&cold->shares, endpoint, start_ms, cold_ms * 1000, 0, now_us (cold)))
    take_begin (cold, endpoint, "answer");
}

bool
dy_cold_endpoints_reserve (DyColdEndpoints *cold, const char *endpoint, int64_t start_ms)
{
  return is_enabled (cold)
         && dy_cold_shares_reserve (&cold->shares, endpoint, start_ms, now_us (cold));
}

bool
dy_cold_endpoints_send (DyColdEndpoints *cold,
                        const char *endpoint,
                        int64_t start_ms,
                        bool reserved)
{
  if (!is_enabled (cold)
      || dy_cold_shares_send (&cold->shares, endpoint, start_ms, reserved, now_us (cold)))
    return true;
  dy_counters_add (&cold->kernel->counters, DY_COUNTER_COLD_WITHHELD, 1);
  return false;
}

void
dy_cold_endpoints_cancel (DyColdEndpoints *cold, const char *endpoint, int64_t start_ms)
{
  dy_cold_shares_cancel (&cold->shares, endpoint, start_ms);
}

int64_t
dy_cold_endpoints_room_us (DyColdEndpoints *cold, const char *service, uint32_t n_waiting)
{
  int64_t first_us = INT64_MAX;
  int64_t n_places = 0;
  GHashTableIter iter;
  gpointer id;
  if (!is_enabled (cold))
    return INT64_MAX;
  g_hash_table_iter_init (&iter, cold->cold);
  while (g_hash_table_iter_next (&iter, &id, NULL))
    {
      const DyPlacementEndpoint *endpoint = dy_placement_find (&cold->directory->placement, id);
      if (!endpoint || strcmp (dy_placement_endpoint_service (endpoint), service) != 0
          || dy_placement_endpoint_has_left (endpoint)
          || dy_placement_endpoint_waits (endpoint, now_us (cold)))
        continue;
      n_places += MAX (dy_cold_shares_share (&cold->shares, id, now_us (cold)), 0);
      first_us = MIN (first_us, dy_cold_shares_room_us (&cold->shares, id, now_us (cold)));
    }
  if (first_us == INT64_MAX || n_places <= (int64_t) n_waiting)
    return INT64_MAX;
  return first_us + (int64_t) n_waiting * DY_COLD_WINDOW_US / n_places;
}

void
dy_cold_endpoints_log_skip (DyColdEndpoints *cold, const char *request_id, const char *endpoint)
{
  if (!is_enabled (cold) || !dy_cold_shares_is_cold (&cold->shares, endpoint, now_us (cold))
      || dy_cold_shares_allow (&cold->shares, endpoint, now_us (cold)))
    return;
  dy_counters_add (&cold->kernel->counters, DY_COUNTER_COLD_SKIPS, 1);
  dy_log (DY_EVENT_COLD_SHARE_APPLIED, "request=%s cold=%s share=%" G_GINT64_FORMAT, request_id,
          endpoint, dy_cold_shares_share (&cold->shares, endpoint, now_us (cold)));
}

static gboolean
end_if_warm (gpointer id, gpointer value, gpointer ctx)
{
  const DyColdEndpoints *cold = ctx;
  const DyColdEndpoint *endpoint = g_hash_table_lookup (cold->shares.endpoints, id);
  (void) value;
  if (endpoint && now_us (cold) < endpoint->cold_until_us)
    return FALSE;
  dy_log (DY_EVENT_ENDPOINT_WARM, "cold=%s reason=%s", (const char *) id,
          endpoint ? "time" : "removed");
  return TRUE;
}

static void
add_settled (void *ctx, const char *id, const char *service, uint32_t in_flight, bool breaker_open)
{
  DyColdEndpoints *cold = ctx;
  const DyPlacementEndpoint *endpoint = dy_placement_find (&cold->directory->placement, id);
  (void) in_flight;
  if (!breaker_open && endpoint && !dy_placement_endpoint_has_left (endpoint)
      && !dy_placement_endpoint_waits (endpoint, now_us (cold))
      && !g_hash_table_contains (cold->cold, id)
      && !dy_cold_shares_is_in_ramp (&cold->shares, id, now_us (cold)))
    g_hash_table_add (cold->settled, g_strdup (service));
}

/* Handles endpoints that are cold since the routes were read, which is after their records. Returns
 * whether any endpoint is cold or in its ramp. */
static bool
find_cold (DyColdEndpoints *cold)
{
  int64_t now = now_us (cold);
  bool found = false;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, cold->shares.endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const DyColdEndpoint *endpoint = value;
      bool is_cold = now < endpoint->cold_until_us;
      found = found || now - DY_COLD_RAMP_US < endpoint->cold_until_us;
      if (is_cold && !g_hash_table_contains (cold->cold, endpoint->id))
        take_begin (cold, endpoint->id, "service");
    }
  return found;
}

static void
forget_removed (DyColdEndpoints *cold)
{
  GList *ids = g_hash_table_get_keys (cold->shares.endpoints);
  for (GList *l = ids; l; l = l->next)
    if (!g_hash_table_contains (cold->directory->endpoints, l->data))
      dy_cold_shares_remove (&cold->shares, l->data);
  g_list_free (ids);
}

static void
on_sweep (struct ev_loop *loop, ev_timer *w, int events)
{
  DyColdEndpoints *cold = w->data;
  (void) loop;
  (void) events;
  /* Each listed endpoint is known here. */
  if (g_hash_table_size (cold->shares.endpoints) > g_hash_table_size (cold->directory->endpoints))
    forget_removed (cold);
  bool any = is_enabled (cold) && find_cold (cold);
  g_hash_table_foreach_remove (cold->cold, end_if_warm, cold);
  count_cold (cold);
  g_hash_table_remove_all (cold->settled);
  /* Only endpoints in their ramp are compared with the settled ones. Without this condition the
   * walk over all endpoints is a steady load of small VMs. */
  if (any)
    dy_placement_visit (&cold->directory->placement, add_settled, cold, now_us (cold));
}

static int
service_start (void *self, DyKernel *kernel)
{
  DyColdEndpoints *cold = self;
  cold->kernel = kernel;
  cold->directory = dy_kernel_find (kernel, DY_SERVICE_DIRECTORY);
  cold->cold = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  cold->settled = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  cold->reported = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  dy_cold_shares_init (&cold->shares, place_of, cold, kernel->settings->node_name,
                       kernel->settings->endpoints_bound_ms * 1000, now_us (cold));
  dy_placement_add_gate (&cold->directory->placement, &gate, cold);
  dy_directory_watch_records (cold->directory, on_record, cold);
  ev_timer_init (&cold->sweep, on_sweep, SWEEP_S, SWEEP_S);
  cold->sweep.data = cold;
  ev_timer_start (kernel->loop, &cold->sweep);
  return DY_OK;
}

static void
service_stop (void *self)
{
  DyColdEndpoints *cold = self;
  ev_timer_stop (cold->kernel->loop, &cold->sweep);
  dy_cold_shares_finish (&cold->shares);
  g_hash_table_unref (cold->cold);
  g_hash_table_unref (cold->settled);
  g_hash_table_unref (cold->reported);
}

static json_t *
service_dump (void *self)
{
  DyColdEndpoints *cold = self;
  DyPeers *peers = cold->directory->peers;
  GHashTableIter iter;
  gpointer id;
  json_t *list = json_array ();
  g_hash_table_iter_init (&iter, cold->cold);
  while (g_hash_table_iter_next (&iter, &id, NULL))
    {
      const DyColdEndpoint *endpoint = g_hash_table_lookup (cold->shares.endpoints, id);
      if (endpoint)
        json_array_append_new (
            list, json_pack ("{s:s, s:I, s:I, s:i, s:i}", "endpoint", id, "cold_ms",
                             (json_int_t) ((endpoint->cold_until_us - now_us (cold)) / 1000),
                             "share", (json_int_t) endpoint->share, "sent",
                             (int) endpoint->sent_us->len, "reserved", (int) endpoint->n_reserved));
    }
  return json_pack ("{s:o, s:b}", "cold", list, "has_part",
                    dy_resend_share_parts (&peers->cold_parts, now_us (cold)) > 0);
}

void
dy_cold_endpoints_add_service (DyKernel *kernel, DyColdEndpoints *cold)
{
  DyService service = { .name = DY_SERVICE_COLD_ENDPOINTS,
                        .self = cold,
                        .start = service_start,
                        .stop = service_stop,
                        .dump = service_dump };
  dy_kernel_add (kernel, &service);
}
