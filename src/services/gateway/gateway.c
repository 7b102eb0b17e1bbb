#include "services/gateway/gateway.h"

#include "kernel/error.h"
#include "kernel/log.h"
#include "services/gateway/gateway_crashes.h"
#include "services/gateway/gateway_refusal.h"
#include "services/gateway/gateway_request.h"
#include "services/gateway/relays.h"

#include <string.h>

enum
{
  MAX_BODY_BYTES = 4 * 1024 * 1024, /* default until a route table sets the limit */
  HEADER_POOL_BYTES = 48 * 1024,    /* heads of requests up to 32 KiB */
  READY_POOL_BYTES = 8 * 1024,
  STREAM_BUFFER_BYTES = 64 * 1024,
  /* Time from the start of a drain during which the requests that callers still send on open
   * connections are accepted. */
  DRAIN_ACCEPT_US = 2500 * 1000,
  IDLE_TIMEOUT_S = 15, /* default until a route table sets it */
};

static const double TICK_S = 0.25;
/* Interval of checks, during a drain, whether callers are to be accepted any longer. */
static const double STOP_CHECK_S = 0.02;

bool
dy_gateway_ready (const DyGateway *gateway)
{
  return dy_directory_ready (gateway->directory) && dy_part_blocks_loaded (gateway->part_blocks)
         && dy_request_blocks_loaded (gateway->request_blocks)
         && dy_peers_members_known (gateway->directory->peers) && !gateway->kernel->draining;
}

bool
dy_gateway_is_closing (const DyGateway *gateway)
{
  return gateway->kernel->draining
         && dy_kernel_now_us (gateway->kernel) - gateway->drain_started_us >= DRAIN_ACCEPT_US;
}

bool
dy_gateway_may_send (const DyGateway *gateway, const char *id, const char *step)
{
  const DyDirectory *directory = gateway->directory;
  int error = dy_directory_check_age (directory);
  if (!error)
    return true;
  dy_counters_add (&gateway->kernel->counters, DY_COUNTER_HELD, 1);
  dy_log (DY_EVENT_REQUEST_HELD,
          "request=%s step=%s kind=%s routes_age_ms=%" G_GINT64_FORMAT
          " list_age_ms=%" G_GINT64_FORMAT,
          id, step, dy_error_info (error)->kind, dy_directory_routes_age_ms (directory),
          dy_directory_endpoints_age_ms (directory));
  return false;
}

static void
handle (void *ctx, DyHttpCall *call)
{
  dy_gateway_request_start (ctx, call);
}

static void
refuse_too_large (void *ctx, DyHttpCall *call)
{
  dy_gateway_refuse (ctx, call, DY_BODY_TOO_LARGE);
}

static void
refuse_overloaded (void *ctx, DyHttpCall *call)
{
  DyGateway *gateway = ctx;
  dy_gateway_refuse (gateway, call, gateway->server.closing ? DY_DRAINING : DY_OVERLOADED);
}

static const char *
request_id (void *ctx, DyHttpCall *call)
{
  const DyGateway *gateway = ctx;
  DyRequestHead head;
  gateway->dialect->decode_request (call, &head);
  g_free (head.key);
  return head.request_id;
}

static bool
holds (void *ctx)
{
  DyGateway *gateway = ctx;
  return dy_directory_is_catching_up (gateway->directory);
}

static bool
closes (void *ctx)
{
  DyGateway *gateway = ctx;
  return dy_shedding_closes_next (gateway->shedding);
}

static const DyHttpServerHandler handler = { .handle = handle,
                                             .too_large = refuse_too_large,
                                             .overloaded = refuse_overloaded,
                                             .holds = holds,
                                             .closes = closes,
                                             .request_id = request_id };

static void
handle_ready (void *ctx, DyHttpCall *call)
{
  const DyGateway *gateway = ctx;
  static const char ready[] = "ready\n";
  static const char not_ready[] = "not ready\n";
  if (strcmp (dy_http_call_path (call), gateway->dialect->ready_path) != 0)
    dy_http_call_reply (call, MHD_HTTP_NOT_FOUND, "text/plain", "", 0);
  else if (dy_gateway_ready (gateway) && dy_shedding_is_ready (gateway->shedding))
    dy_http_call_reply (call, MHD_HTTP_OK, "text/plain", ready, sizeof ready - 1);
  else
    {
      dy_shedding_record_denial (gateway->shedding);
      dy_http_call_reply (call, MHD_HTTP_SERVICE_UNAVAILABLE, "text/plain", not_ready,
                          sizeof not_ready - 1);
    }
}

static const DyHttpServerHandler ready_handler
    = { .handle = handle_ready, .too_large = handle_ready, .overloaded = handle_ready };

static bool
measure (void *ctx, DyRouterLoadSample *sample)
{
  const DyGateway *gateway = ctx;
  sample->open = g_hash_table_size (gateway->requests);
  sample->unsent_calls = dy_http_server_unsent (&gateway->server, &sample->unsent_bytes);
  return dy_gateway_ready (gateway);
}

static void
apply_routes (void *ctx, const DyRouteTable *routes)
{
  DyGateway *gateway = ctx;
  GHashTableIter iter;
  gpointer value;
  if (routes->max_body_bytes)
    gateway->server.max_body_bytes = routes->max_body_bytes;
  if (routes->idle_timeout_ms)
    dy_http_server_set_idle_timeout (&gateway->server,
                                     (uint32_t) ((routes->idle_timeout_ms + 999) / 1000));
  g_hash_table_iter_init (&iter, routes->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const DyRouteAccount *account = value;
      if (account->prepaid_tokens >= 0)
        dy_budgets_set_paid (gateway->budgets, account->name, account->prepaid_tokens);
    }
}

/* Tells the share of the resend budget whether an earlier process of this name may have run. */
static void
update_first_start (DyGateway *gateway)
{
  /* A restored store may lack the record that an earlier process wrote. */
  gateway->directory->peers->resend_share.is_first
      = gateway->registration->created
        && strcmp (gateway->kernel->settings->first_start, "yes") == 0;
}

uint32_t
dy_gateway_resend_parts (DyGateway *gateway)
{
  update_first_start (gateway);
  return dy_resend_share_parts (&gateway->directory->peers->resend_share,
                                dy_kernel_now_us (gateway->kernel));
}

static bool
is_within_share (void *ctx, uint32_t n_routers)
{
  DyGateway *gateway = ctx;
  update_first_start (gateway);
  return dy_resend_budget_is_within (&gateway->resend_budget, n_routers,
                                     dy_kernel_now_us (gateway->kernel));
}

static void
set_share_counters (DyGateway *gateway)
{
  DyCounters *counters = &gateway->kernel->counters;
  dy_counters_set (counters, DY_COUNTER_RESEND_PARTS, dy_gateway_resend_parts (gateway));
  dy_counters_set (counters, DY_COUNTER_POSSIBLE_MEMBERS,
                   dy_members_possible_count (&gateway->directory->peers->members));
}

static void
on_tick (struct ev_loop *loop, ev_timer *w, int events)
{
  DyGateway *gateway = w->data;
  (void) loop;
  (void) events;
  gateway->resend_budget.ratio = (double) gateway->kernel->settings->resend_ratio_thousandths / 1e3;
  gateway->resend_budget.slack = (double) gateway->kernel->settings->resend_slack_thousandths / 1e3;
  int64_t window_us = gateway->kernel->settings->resend_window_ms * 1000;
  dy_resend_budget_set_window (&gateway->resend_budget, window_us,
                               dy_kernel_now_us (gateway->kernel));
  gateway->directory->peers->resend_share.window_us = window_us;
  set_share_counters (gateway);
}

/* Accepts callers for at least drain_notice_ms, so that the load balancer can notice that this
 * router is not ready, and until all else is done: a refusal tells callers more than a connection
 * that fails. */
static void
on_stop_check (struct ev_loop *loop, ev_timer *w, int events)
{
  DyGateway *gateway = w->data;
  (void) events;
  int64_t age_us = dy_kernel_now_us (gateway->kernel) - gateway->drain_started_us;
  if (g_hash_table_size (gateway->requests) > 0
      || age_us < gateway->kernel->settings->drain_notice_ms * 1000
      || dy_kernel_others_busy (gateway->kernel, gateway))
    return;
  ev_timer_stop (loop, w);
  dy_http_server_close (&gateway->server);
}

static int
listen_on (DyGateway *gateway, const DySettings *settings)
{
  int error = dy_http_server_init (&gateway->server, gateway->kernel->loop, settings->caller_listen,
                                   MAX_BODY_BYTES, HEADER_POOL_BYTES, STREAM_BUFFER_BYTES, &handler,
                                   gateway);
  gateway->server.idle_timeout_s = IDLE_TIMEOUT_S;
  gateway->server.counters = &gateway->kernel->counters;
  if (error || settings->ready_listen[0] == '\0')
    return error;
  return dy_http_server_init (&gateway->ready_server, gateway->kernel->loop, settings->ready_listen,
                              0, READY_POOL_BYTES, 0, &ready_handler, gateway);
}

static int
service_start (void *self, DyKernel *kernel)
{
  DyGateway *gateway = self;
  const DySettings *settings = kernel->settings;
  gateway->kernel = kernel;
  gateway->dialect = dy_kernel_find (kernel, DY_SERVICE_DIALECT);
  gateway->directory = dy_kernel_find (kernel, DY_SERVICE_DIRECTORY);
  gateway->budgets = dy_kernel_find (kernel, DY_SERVICE_BUDGETS);
  gateway->limits = dy_kernel_find (kernel, DY_SERVICE_ENDPOINT_LIMITS);
  gateway->cold = dy_kernel_find (kernel, DY_SERVICE_COLD_ENDPOINTS);
  gateway->notices = dy_kernel_find (kernel, DY_SERVICE_ENDPOINT_NOTICES);
  gateway->origins = dy_kernel_find (kernel, DY_SERVICE_ORIGINS);
  gateway->reachability = dy_kernel_find (kernel, DY_SERVICE_REACHABILITY);
  gateway->relays = dy_kernel_find (kernel, DY_SERVICE_RELAYS);
  gateway->registration = dy_kernel_find (kernel, DY_SERVICE_REGISTRATION);
  gateway->part_blocks = dy_kernel_find (kernel, DY_SERVICE_PART_BLOCKS);
  gateway->request_blocks = dy_kernel_find (kernel, DY_SERVICE_REQUEST_BLOCKS);
  gateway->shedding = dy_kernel_find (kernel, DY_SERVICE_SHEDDING);
  gateway->requests = g_hash_table_new_full (NULL, NULL, dy_gateway_request_free, NULL);
  gateway->max_idle_by_service = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  gateway->rng = g_rand_new_with_seed ((uint32_t) kernel->incarnation_id);
  dy_return_schedule_init (&gateway->account_returns, g_rand_int (gateway->rng));
  dy_return_schedule_init (&gateway->service_returns, g_rand_int (gateway->rng));
  dy_http_client_init (&gateway->client, kernel->loop);
  gateway->client.source = settings->connect_from;
  dy_resend_budget_init (&gateway->resend_budget, (double) settings->resend_ratio_thousandths / 1e3,
                         (double) settings->resend_slack_thousandths / 1e3,
                         settings->resend_window_ms * 1000);
  ev_timer_init (&gateway->tick, on_tick, TICK_S, TICK_S);
  gateway->tick.data = gateway;
  ev_timer_start (kernel->loop, &gateway->tick);
  ev_timer_init (&gateway->stop_check, on_stop_check, STOP_CHECK_S, STOP_CHECK_S);
  gateway->stop_check.data = gateway;
  dy_gateway_crashes_init (gateway);
  dy_directory_watch (gateway->directory, apply_routes, gateway);
  dy_origins_watch (gateway->origins, dy_gateway_pass_held_events, gateway);
  gateway->directory->peers->is_within_share = is_within_share;
  gateway->directory->peers->is_within_share_ctx = gateway;
  gateway->shedding->measure = measure;
  gateway->shedding->measure_ctx = gateway;
  return listen_on (gateway, settings);
}

static void
service_drain (void *self)
{
  DyGateway *gateway = self;
  gateway->server.closing = true;
  gateway->drain_started_us = dy_kernel_now_us (gateway->kernel);
  ev_timer_start (gateway->kernel->loop, &gateway->stop_check);
}

static bool
service_busy (void *self)
{
  const DyGateway *gateway = self;
  return g_hash_table_size (gateway->requests) > 0 || !gateway->server.stopping
         || !dy_http_server_is_quiet (&gateway->server);
}

static void
service_stop (void *self)
{
  DyGateway *gateway = self;
  ev_timer_stop (gateway->kernel->loop, &gateway->tick);
  ev_timer_stop (gateway->kernel->loop, &gateway->stop_check);
  gateway->shedding->measure = NULL;
  dy_origins_watch (gateway->origins, NULL, NULL);
  dy_http_server_finish (&gateway->server);
  dy_http_server_finish (&gateway->ready_server);
  g_hash_table_unref (gateway->requests);
  dy_relays_finish_calls (gateway->relays);
  g_hash_table_unref (gateway->max_idle_by_service);
  dy_gateway_crashes_finish (gateway);
  dy_http_client_finish (&gateway->client);
  dy_resend_budget_finish (&gateway->resend_budget);
  dy_return_schedule_finish (&gateway->account_returns);
  dy_return_schedule_finish (&gateway->service_returns);
  g_rand_free (gateway->rng);
}

static json_t *
service_dump (void *self)
{
  const DyGateway *gateway = self;
  return json_pack ("{s:b, s:i, s:i, s:I}", "ready", dy_gateway_ready (gateway), "requests",
                    (int) g_hash_table_size (gateway->requests), "calls",
                    (int) dy_http_server_n_calls (&gateway->server), "endpoint_connections",
                    (json_int_t) gateway->client.n_connections);
}

void
dy_gateway_add_service (DyKernel *kernel, DyGateway *gateway)
{
  DyService service = { .name = DY_SERVICE_GATEWAY,
                        .self = gateway,
                        .start = service_start,
                        .drain = service_drain,
                        .busy = service_busy,
                        .stop = service_stop,
                        .dump = service_dump };
  dy_kernel_add (kernel, &service);
}
