#include "services/gateway/gateway_plan.h"

#include "kernel/error.h"
#include "services/gateway/gateway_refusal.h"

#include <string.h>
#include <xxhash.h>

enum
{
  /* Wait for the handler after which another router is likely to serve the request sooner. */
  MAX_HANDLER_WAIT_US = 250 * 1000,
};

/* All parts of a prompt but the last are shared with other requests. */
static uint32_t
count_shared_parts (const DyRequestHead *head)
{
  return head->n_parts > 1 ? head->n_parts - 1 : 0;
}

static DyPromptWork
work_of_prompt (const DyRequestHead *head)
{
  DyPromptWork work = { 0 };
  uint32_t n_shared = count_shared_parts (head);
  for (uint32_t i = 0; i < n_shared; i++)
    {
      work.prefix_hash
          = XXH3_64bits_withSeed (&head->parts[i].id, sizeof head->parts[i].id, work.prefix_hash);
      work.shared_tokens += head->parts[i].tokens;
    }
  work.own_tokens = MAX (head->prompt_tokens - work.shared_tokens, 0);
  work.output_tokens = head->max_output_tokens;
  return work;
}

static uint64_t
hash_request (DyHttpCall *call, const DyRequestHead *head)
{
  XXH3_state_t *state = XXH3_createState ();
  XXH3_64bits_reset (state);
  const char *texts[] = { dy_http_call_method (call), dy_http_call_target (call), head->key };
  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    if (texts[i])
      XXH3_64bits_update (state, texts[i], strlen (texts[i]) + 1);
  XXH3_64bits_update (state, dy_http_call_body (call)->str, dy_http_call_body (call)->len);
  uint64_t hash = XXH3_64bits_digest (state);
  XXH3_freeState (state);
  return hash;
}

static void
set_deadlines (DyGatewayPlan *plan,
               DyHttpCall *call,
               const DyRoute *route,
               const DyRequestHead *head)
{
  plan->arrived_us = dy_http_call_arrived_us (call);
  plan->caller_deadline_us
      = head->time_limit_ms >= 0 ? plan->arrived_us + head->time_limit_ms * 1000 : INT64_MAX;
  int64_t route_end_us
      = route->timeout_ms > 0 ? plan->arrived_us + route->timeout_ms * 1000 : INT64_MAX;
  plan->end_us = MIN (plan->caller_deadline_us, route_end_us);
}

static int
match_route (const DyGateway *gateway,
             DyHttpCall *call,
             const DyRequestHead *head,
             const DyRoute **route,
             const DyRouteAccount **account)
{
  const DyRouteTable *routes = &gateway->directory->routes;
  bool may_lack = dy_directory_may_lack_routes (gateway->directory);
  if (dy_gateway_is_closing (gateway))
    return DY_DRAINING;
  if (dy_http_call_waited_us (call) > MAX_HANDLER_WAIT_US)
    return DY_OVERLOADED;
  if (!dy_directory_ready (gateway->directory) || !dy_part_blocks_loaded (gateway->part_blocks)
      || !dy_request_blocks_loaded (gateway->request_blocks))
    return DY_STARTING;
  int error = dy_directory_check_age (gateway->directory);
  if (error)
    return error;
  *route = dy_route_table_find (routes, head->host ? head->host : "", dy_http_call_target (call));
  if (!*route)
    return may_lack ? DY_ROUTES_STALE : DY_NOT_FOUND;
  *account = dy_route_table_account (routes, head->key);
  if (!*account && !(*route)->is_public && g_hash_table_size (routes->accounts) > 0)
    return may_lack ? DY_ROUTES_STALE : DY_UNAUTHORIZED;
  return dy_route_pick_target (*route, 0) ? DY_OK : DY_NO_ENDPOINT;
}

static void
fill_plan (DyGatewayPlan *plan,
           DyGateway *gateway,
           DyHttpCall *call,
           const DyRequestHead *head,
           const DyRoute *route,
           const DyRouteAccount *account)
{
  plan->account = account ? g_strdup (account->name) : NULL;
  plan->service = g_strdup (dy_route_pick_target (route, g_rand_int (gateway->rng)));
  plan->resume_from = g_strdup (head->resume_from);
  plan->resumes_id = g_strdup (head->resumes_id);
  plan->routes_version = gateway->directory->routes.version;
  plan->kind = route->kind;
  plan->repeatable
      = route->kind == DY_ROUTE_IDEMPOTENT || (route->kind == DY_ROUTE_STREAM && route->resumable);
  plan->max_attempts = MAX (route->max_attempts, 1);
  plan->priority = account && account->has_priority ? account->priority : route->priority;
  /* The first rank is for callers that have part of the stream already. */
  plan->rank = route->kind == DY_ROUTE_STREAM && head->resume_from ? 0 : route->priority + 1;
  plan->target_ms = route->target_ms;
  plan->max_event_gap_ms = route->max_event_gap_ms;
  plan->prompt_tokens = head->prompt_tokens;
  plan->max_output_tokens = head->max_output_tokens;
  const DyRouteService *service
      = dy_route_table_service (&gateway->directory->routes, plan->service);
  plan->event_tokens = service ? MAX (service->event_tokens, 1) : 1;
  plan->work = work_of_prompt (head);
  plan->n_parts = count_shared_parts (head);
  for (uint32_t i = 0; i < plan->n_parts; i++)
    plan->parts[i] = head->parts[i].id;
  plan->body_hash = hash_request (call, head);
  plan->is_prepaid = account && account->prepaid_tokens >= 0 && plan->prompt_tokens > 0;
  set_deadlines (plan, call, route, head);
}

int
dy_gateway_plan_init (DyGatewayPlan *plan, DyGateway *gateway, DyHttpCall *call)
{
  DyRequestHead head;
  const DyRoute *route = NULL;
  const DyRouteAccount *account = NULL;
  memset (plan, 0, sizeof *plan);
  gateway->dialect->decode_request (call, &head);
  plan->id = g_strdup (head.request_id ? head.request_id : "");
  int error = match_route (gateway, call, &head, &route, &account);
  if (!error)
    fill_plan (plan, gateway, call, &head, route, account);
  g_free (head.key);
  /* Before anything is reserved, as that may take a while. */
  if (!error && dy_gateway_is_evacuated (gateway, plan->service))
    error = DY_NO_ENDPOINT;
  return error;
}

void
dy_gateway_plan_finish (DyGatewayPlan *plan)
{
  g_free (plan->id);
  g_free (plan->account);
  g_free (plan->service);
  g_free (plan->resume_from);
  g_free (plan->resumes_id);
}
