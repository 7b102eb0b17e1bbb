#include "support/gateway_fixture.h"
#include "services/origins_private.h"

#include "kernel/error.h"
#include "platform/dialect.h"
#include "services/gateway/gateway_crashes.h"
#include "services/gateway/gateway_request.h"
#include "support/fleet.h"
#include "support/suite.h"

#include <string.h>

enum
{
  KNOWN_MS = 600 * 1000,
  FIXTURE_BODY_BYTES = 65536,
  FIXTURE_HEADER_BYTES = 32768,
  FIXTURE_CALL_TIMEOUT_MS = 20000,
  PEER_TIMEOUT_US = 1000 * 1000,
  RESEND_WINDOW_US = 10 * 1000 * 1000,
};

#define ROUTE(name, prefix, kind, attempts, more)                                                  \
  "{\"name\":\"" name "\",\"host\":\"h.example\",\"pathPrefix\":\"" prefix                         \
  "\",\"routeType\":\"" kind "\",\"timeoutMs\":20000,\"targetLatencyMs\":50,"                      \
  "\"service\":\"app\",\"maxAttempts\":" attempts more "}"
#define RESUMABLE ",\"resumable\":true"

static const char *const routes[] = {
  ROUTE ("once", "/", "non_idempotent", "1", ""),
  ROUTE ("ok", "/ok/", "idempotent", "2", ""),
  ROUTE ("ok1", "/ok1/", "idempotent", "1", ""),
  ROUTE ("s", "/s/", "streaming", "1", ""),
  ROUTE ("r1", "/r1/", "streaming", "1", RESUMABLE),
  ROUTE ("r2", "/r2/", "streaming", "2", RESUMABLE),
  ROUTE ("r3", "/r3/", "streaming", "3", RESUMABLE),
  NULL,
};

static void
answer_request (void *ctx, DyHttpCall *call)
{
  FixtureEndpoint *endpoint = ctx;
  endpoint->n_requests++;
  dy_http_call_add_header (call, "X-Request-Id", dy_http_call_header (call, "X-Request-Id"));
  dy_http_call_add_header (call, "X-Server-Seal", "5ea1.0.0");
  if (endpoint->load)
    dy_http_call_add_header (call, "X-Worker-Load", endpoint->load);
  dy_http_call_reply (call, 200, "text/plain", "ok", 2);
  g_usleep ((gulong) endpoint->hold_up_us);
}

static const DyHttpServerHandler endpoint_handler
    = { .handle = answer_request, .too_large = answer_request };

static void
take_request (void *ctx, DyHttpCall *call)
{
  Fixture *fixture = ctx;
  dy_gateway_request_start (&fixture->gateway, call);
  if (fixture->on_taken)
    fixture->on_taken (fixture);
}

static const DyHttpServerHandler caller_handler
    = { .handle = take_request, .too_large = take_request };

void
fixture_put_endpoint (Fixture *fixture, int i, bool leaving)
{
  char id[] = { 'e', (char) ('0' + i), '\0' };
  DyEndpointRecord record = { .id = id,
                              .service = "app",
                              .address = fixture->endpoints[i].address,
                              .data_centre = i < FIXTURE_N_NEAR ? "dc-a" : "dc-b",
                              .version = "1",
                              .slots = 8,
                              .leaving = leaving };
  dy_placement_put (&fixture->directory.placement, &record);
  g_hash_table_add (fixture->directory.endpoints, g_strdup (id));
}

static void
start_directory (Fixture *fixture)
{
  DyDirectory *directory = &fixture->directory;
  directory->kernel = &fixture->kernel;
  directory->dialect = &dy_platform_dialect;
  directory->platform = &fixture->platform;
  /* Nothing is known to have changed for as long as a test takes. */
  fixture->settings.routes_bound_ms = fixture->settings.endpoints_bound_ms = KNOWN_MS;
  directory->routes_watch.age.confirmed_us = dy_kernel_boot_us ();
  directory->endpoints_watch.age.confirmed_us = dy_kernel_boot_us ();
  directory->peers = &fixture->peers;
  dy_members_init (&fixture->peers.members, "r0", PEER_TIMEOUT_US);
  dy_resend_share_init (&fixture->peers.resend_share, &fixture->peers.members, RESEND_WINDOW_US, 0,
                        dy_kernel_now_us (&fixture->kernel));
  fixture->peers.resend_share.is_alone = true;
  directory->endpoints = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  dy_placement_init (&directory->placement, &dy_placement_policy, "dc-a", 1);
  char *list = g_strjoinv (",", (char **) routes);
  char *text = g_strdup_printf (
      "{\"version\":1,\"routes\":[%s],\"services\":[{\"name\":\"app\"}],\"limits\":{}}", list);
  ck_assert_int_eq (dy_platform_dialect.decode_routes (text, strlen (text), &directory->routes),
                    DY_OK);
  directory->has_routes = true;
  g_free (text);
  g_free (list);
}

/* No object is read from a store or written to it. */
static void
start_request_blocks (Fixture *fixture)
{
  DyRequestBlocks *blocks = &fixture->request_blocks;
  blocks->kernel = &fixture->kernel;
  blocks->peers = &fixture->peers;
  blocks->records.kernel = &fixture->kernel;
  blocks->records.peers = &fixture->peers;
  blocks->records.prefix = "crashingparts/request-";
  blocks->records.loaded = true;
  blocks->records.records = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  dy_crash_counts_init (&blocks->counts, &dy_crash_counts_policy);
}

static void
start_gateway (Fixture *fixture)
{
  DyGateway *gateway = &fixture->gateway;
  gateway->kernel = &fixture->kernel;
  gateway->dialect = &dy_platform_dialect;
  gateway->directory = &fixture->directory;
  fixture->registration.created = true;
  fixture->settings.first_start = (char *) "yes";
  fixture->settings.schedule_returns = (char *) "yes";
  gateway->registration = &fixture->registration;
  gateway->budgets = &fixture->budgets;
  gateway->part_blocks = &fixture->part_blocks;
  gateway->shedding = &fixture->shedding;
  fixture->part_blocks.records.loaded = true;
  gateway->request_blocks = &fixture->request_blocks;
  start_request_blocks (fixture);
  gateway->limits = &fixture->limits;
  gateway->cold = &fixture->cold;
  gateway->notices = &fixture->notices;
  dy_limit_shares_init (&fixture->limits.shares, &dy_limit_policy, NULL, NULL);
  dy_crash_cause_init (&fixture->part_blocks.cause, &dy_crash_cause_policy, NULL, NULL);
  gateway->requests = g_hash_table_new_full (NULL, NULL, dy_gateway_request_free, NULL);
  gateway->max_idle_by_service = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  gateway->rng = g_rand_new_with_seed (1);
  dy_http_client_init (&gateway->client, fixture->kernel.loop);
  dy_gateway_crashes_init (gateway);
  fixture->reachability.kernel = &fixture->kernel;
  fixture->reachability.directory = &fixture->directory;
  fixture->reachability.peers = &fixture->peers;
  dy_reach_init (&fixture->reachability.reach, &dy_reach_policy);
  gateway->reachability = &fixture->reachability;
  dy_stream_origins_init (&fixture->origins.table);
  dy_stream_origins_see (&fixture->origins.table, "app", "1", dy_kernel_now_us (&fixture->kernel));
  fixture->origins.kernel = &fixture->kernel;
  fixture->origins.directory = &fixture->directory;
  fixture->origins.platform = &fixture->platform;
  fixture->origins.services
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, dy_origins_free_service);
  fixture->origins.versions_loaded = true;
  dy_version_knowledge_init (&fixture->origins.knowledge);
  dy_version_knowledge_record_read (&fixture->origins.knowledge, dy_kernel_boot_us ());
  fixture->origins.own_ids = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  gateway->origins = &fixture->origins;
  dy_resend_budget_init (&gateway->resend_budget, 0.2, 100.0, RESEND_WINDOW_US);
  dy_return_schedule_init (&gateway->account_returns, 1);
  dy_return_schedule_init (&gateway->service_returns, 1);
  ck_assert_int_eq (dy_http_server_init (&gateway->server, fixture->kernel.loop, fixture->address,
                                         FIXTURE_BODY_BYTES, FIXTURE_HEADER_BYTES,
                                         FIXTURE_BODY_BYTES, &caller_handler, fixture),
                    DY_OK);
}

void
fixture_init (Fixture *fixture)
{
  struct ev_loop *loop = ev_default_loop (EVFLAG_AUTO);
  memset (fixture, 0, sizeof *fixture);
  dy_kernel_init (&fixture->kernel, loop, &fixture->settings);
  fixture->budgets.platform = &fixture->platform;
  fixture->address = fleet_free_address ();
  start_directory (fixture);
  for (int i = 0; i < FIXTURE_N_ENDPOINTS; i++)
    {
      FixtureEndpoint *endpoint = &fixture->endpoints[i];
      endpoint->address = fleet_free_address ();
      ck_assert_int_eq (dy_http_server_init (&endpoint->server, loop, endpoint->address,
                                             FIXTURE_BODY_BYTES, FIXTURE_HEADER_BYTES,
                                             FIXTURE_BODY_BYTES, &endpoint_handler, endpoint),
                        DY_OK);
    }
  start_gateway (fixture);
}

void
fixture_finish (Fixture *fixture)
{
  DyGateway *gateway = &fixture->gateway;
  dy_http_server_finish (&gateway->server);
  g_hash_table_unref (gateway->requests);
  g_hash_table_unref (gateway->max_idle_by_service);
  dy_gateway_crashes_finish (gateway);
  dy_reach_finish (&fixture->reachability.reach);
  g_hash_table_unref (fixture->origins.own_ids);
  g_hash_table_unref (fixture->origins.services);
  dy_stream_origins_finish (&fixture->origins.table);
  dy_http_client_finish (&gateway->client);
  dy_crash_counts_finish (&fixture->request_blocks.counts);
  g_hash_table_unref (fixture->request_blocks.records.records);
  dy_crash_cause_finish (&fixture->part_blocks.cause);
  dy_limit_shares_finish (&fixture->limits.shares);
  dy_resend_budget_finish (&gateway->resend_budget);
  dy_return_schedule_finish (&gateway->account_returns);
  dy_return_schedule_finish (&gateway->service_returns);
  g_rand_free (gateway->rng);
  for (int i = 0; i < FIXTURE_N_ENDPOINTS; i++)
    {
      dy_http_server_finish (&fixture->endpoints[i].server);
      g_free (fixture->endpoints[i].address);
    }
  dy_placement_finish (&fixture->directory.placement);
  dy_route_table_finish (&fixture->directory.routes);
  g_hash_table_unref (fixture->directory.endpoints);
  dy_resend_share_finish (&fixture->peers.resend_share);
  dy_members_finish (&fixture->peers.members);
  dy_kernel_finish (&fixture->kernel);
  g_free (fixture->address);
}

static bool
on_head (void *ctx, unsigned status, const DyHttpHeader *headers, uint32_t n)
{
  FixtureAnswer *answer = ctx;
  (void) status;
  for (uint32_t i = 0; i < n; i++)
    g_string_append_printf (answer->head, "%s: %s\n", headers[i].name, headers[i].value);
  return true;
}

static bool
on_data (void *ctx, DyHttpTransfer *transfer, const char *data, size_t n)
{
  FixtureAnswer *answer = ctx;
  (void) transfer;
  if (answer->body->len + n <= FIXTURE_BODY_BYTES)
    g_string_append_len (answer->body, data, (gssize) n);
  return true;
}

static void
on_done (void *ctx, const DyHttpResult *result)
{
  FixtureAnswer *answer = ctx;
  answer->result = *result;
  answer->done = true;
}

void
fixture_send (Fixture *fixture, const char *target, FixtureAnswer *answers, int n)
{
  static const DyHttpTransferWatcher watcher
      = { .head = on_head, .data = on_data, .done = on_done };
  DyHttpClient client;
  char *url = g_strdup_printf ("http://%s%s", fixture->address, target);
  dy_http_client_init (&client, fixture->kernel.loop);
  for (int i = 0; i < n; i++)
    {
      char *id = g_strdup_printf ("X-Request-Id: q%d", fixture->first_id + i);
      const char *headers[] = { "Host: h.example", id, "X-Deadline-Ms: 20000", NULL };
      DyHttpSpec spec = { .method = "POST",
                          .url = url,
                          .headers = headers,
                          .body = "b",
                          .n_body = 1,
                          .connect_timeout_ms = FIXTURE_CALL_TIMEOUT_MS,
                          .timeout_ms = FIXTURE_CALL_TIMEOUT_MS };
      memset (&answers[i], 0, sizeof answers[i]);
      answers[i].head = g_string_new (NULL);
      answers[i].body = g_string_new (NULL);
      dy_http_client_start (&client, &spec, &watcher, &answers[i]);
      g_free (id);
    }
  for (int i = 0; i < n; i++)
    while (!answers[i].done)
      ev_run (fixture->kernel.loop, EVRUN_ONCE);
  dy_http_client_finish (&client);
  g_free (url);
}

void
fixture_free_answers (FixtureAnswer *answers, int n)
{
  for (int i = 0; i < n; i++)
    {
      g_string_free (answers[i].head, TRUE);
      g_string_free (answers[i].body, TRUE);
    }
}
