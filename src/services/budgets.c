#include "services/budgets.h"

#include "kernel/error.h"
#include "kernel/log.h"
#include "kernel/priority.h"

#include <string.h>

static const double TICK_S = 0.05;

enum
{
  /* Delay within which the fleet detects that the platform is back. */
  PROBER_INTERVAL_US = 500 * 1000,
  /* Other routers probe, too, as a network partition may separate them from all probers. */
  NON_PROBER_INTERVAL_US = 4000 * 1000,
};

typedef struct
{
  DyBudgets *budgets;
  DyPool pool;
  char account[DY_NAME_SIZE];
  DyLedgerEntry written; /* the entry to be written; zero-filled in a read */
  uint64_t era;          /* of the key that is read or written */
} PlatformCall;

static int64_t
now_us (const DyBudgets *budgets)
{
  return dy_kernel_now_us (budgets->kernel);
}

static PlatformCall *
new_call (DyBudgets *budgets, DyPool pool, const char *account)
{
  PlatformCall *call = g_new0 (PlatformCall, 1);
  call->budgets = budgets;
  call->pool = pool;
  g_strlcpy (call->account, account, DY_NAME_SIZE);
  g_hash_table_add (budgets->calls, call);
  return call;
}

static void
log_ledger_entry (DyEvent event,
                  const PlatformCall *call,
                  int error,
                  uint64_t version,
                  const DyLedgerEntry *entry)
{
  const DyLedger *ledger = &call->budgets->reservations.holders[call->pool].ledger;
  const DyLedgerRow *row = dy_ledger_entry_row (entry, ledger->holder_id);
  dy_log (event,
          "account=%s pool=%d result=%s version=%" G_GUINT64_FORMAT " paid=%" G_GINT64_FORMAT
          " settled=%" G_GINT64_FORMAT " outstanding=%" G_GINT64_FORMAT " free=%" G_GINT64_FORMAT
          " own_granted=%" G_GINT64_FORMAT " own_settled=%" G_GINT64_FORMAT
          " own_reserved=%" G_GINT64_FORMAT " rows=%u era=%" G_GUINT64_FORMAT
          " withheld=%" G_GINT64_FORMAT " ceiling=%" G_GINT64_FORMAT,
          call->account, call->pool, dy_error_info (error)->kind, version, entry->paid_tokens,
          dy_ledger_entry_settled_tokens (entry), dy_ledger_entry_outstanding_tokens (entry),
          dy_ledger_entry_free_tokens (entry), row ? row->granted_tokens : 0,
          row ? row->settled_tokens : 0, dy_ledger_reserved_tokens (ledger, call->account),
          entry->rows->len, entry->era, entry->withheld_tokens, entry->ceiling_tokens);
}

static void on_read (void *ctx, const DyPlatformReply *reply);

static void
read_key (PlatformCall *call)
{
  char *key = dy_ledger_entry_key (call->account, call->era);
  dy_platform_get (call->budgets->platform, key, on_read, call);
  g_free (key);
}

static void
on_read (void *ctx, const DyPlatformReply *reply)
{
  PlatformCall *call = ctx;
  DyBudgets *budgets = call->budgets;
  DyLedgerEntry entry;
  int error = reply->error;
  if (error == DY_NOT_FOUND && call->era > DY_LEDGER_FIRST_ERA)
    {
      call->era--;
      read_key (call);
      return;
    }
  dy_ledger_entry_init (&entry);
  if (!error)
    error = dy_ledger_entry_parse (&entry, reply->value, reply->n_value);
  const int64_t *paid = g_hash_table_lookup (budgets->paid, call->account);
  if (paid && (error == DY_OK || error == DY_NOT_FOUND))
    {
      dy_ledger_entry_raise_paid (&entry, *paid);
      error = DY_OK;
    }
  if (error == DY_PROTOCOL)
    dy_log (DY_EVENT_LEDGER_INVALID, "account=%s version=%" G_GUINT64_FORMAT, call->account,
            reply->version);
  /* An entry of an earlier era is written under the key of this era, which does not exist yet. */
  uint64_t version = reply->error || call->era < budgets->platform->era ? 0 : reply->version;
  log_ledger_entry (DY_EVENT_LEDGER_READ, call, error, version, &entry);
  dy_reservations_on_read (&budgets->reservations, call->pool, call->account, error, version,
                           error ? NULL : &entry, now_us (budgets));
  dy_ledger_entry_finish (&entry);
  g_hash_table_remove (budgets->calls, call);
}

static void
free_call (gpointer data)
{
  PlatformCall *call = data;
  if (call->written.rows)
    dy_ledger_entry_finish (&call->written);
  g_free (call);
}

/* Copies are needed only where the store may be restored from an older one. */
static bool
shares_entries (const DyBudgets *budgets)
{
  return budgets->kernel->settings->store_copy_age_ms != 0;
}

static void
on_write (void *ctx, const DyPlatformReply *reply)
{
  PlatformCall *call = ctx;
  DyBudgets *budgets = call->budgets;
  if (reply->error == DY_CONFLICT)
    {
      dy_counters_add (&budgets->kernel->counters, DY_COUNTER_LEDGER_CONFLICTS, 1);
      dy_log (DY_EVENT_LEDGER_CONFLICT, "account=%s version=%" G_GUINT64_FORMAT, call->account,
              reply->version);
    }
  if (!reply->error && shares_entries (budgets))
    dy_shared_entries_share (&budgets->shared, call->account, reply->version, &call->written);
  dy_reservations_on_write (&budgets->reservations, call->pool, call->account, reply->error,
                            reply->version, now_us (budgets));
  g_hash_table_remove (budgets->calls, call);
}

static void
read_ledger_entry (void *ctx, DyPool pool, const char *account)
{
  PlatformCall *call = new_call (ctx, pool, account);
  call->era = call->budgets->platform->era;
  read_key (call);
}

static void
write_ledger_entry (
    void *ctx, DyPool pool, const char *account, uint64_t version, const DyLedgerEntry *entry)
{
  DyBudgets *budgets = ctx;
  char *key = dy_ledger_entry_key (account, budgets->platform->era);
  char *text = dy_ledger_entry_format (entry);
  dy_counters_add (&budgets->kernel->counters, DY_COUNTER_LEDGER_WRITES, 1);
  PlatformCall *call = new_call (budgets, pool, account);
  dy_ledger_entry_init (&call->written);
  dy_ledger_entry_copy (&call->written, entry);
  log_ledger_entry (DY_EVENT_LEDGER_WRITTEN, call, DY_OK, version, entry);
  dy_platform_put (budgets->platform, key, text, version, on_write, call);
  free (text);
  g_free (key);
}

static int
send_message (void *ctx, const char *name, const DyMessage *message)
{
  DyBudgets *budgets = ctx;
  return dy_peers_send (budgets->peers, name, message);
}

static void
reply_message (void *ctx, uint64_t link, const DyMessage *message)
{
  DyBudgets *budgets = ctx;
  dy_peers_reply (budgets->peers, link, message);
}

static void
log_refusal (void *ctx, DyPool pool, const DyLedgerRefusal *refusal)
{
  const DyBudgets *budgets = ctx;
  int64_t age_ms = refusal->verified_us > 0 ? (now_us (budgets) - refusal->verified_us) / 1000 : -1;
  dy_log (DY_EVENT_RESERVATION_REFUSED,
          "ticket=%016" G_GINT64_MODIFIER "x:%" G_GUINT64_FORMAT
          " account=%s pool=%d kind=%s tokens=%" G_GINT64_FORMAT
          " rank=%u available=%" G_GINT64_FORMAT " free=%" G_GINT64_FORMAT " kept=%" G_GINT64_FORMAT
          " entry_age_ms=%" G_GINT64_FORMAT " failing=%d platform_down=%d",
          refusal->id.origin_id, refusal->id.number, refusal->account, pool,
          dy_error_info (refusal->error)->kind, refusal->tokens, refusal->rank,
          refusal->available_tokens, refusal->free_tokens, refusal->headroom_tokens, age_ms,
          refusal->failing, budgets->platform->down);
}

static void
log_recovery (void *ctx, const DyRecovery *recovery, bool close, bool death)
{
  (void) ctx;
  dy_log (DY_EVENT_ROW_RECOVERED,
          "account=%s holder=%016" G_GINT64_MODIFIER
          "x node=%s closed=%d uncertain=%d witnessed=%d death=%d reports=%u",
          recovery->account, recovery->holder_id,
          recovery->holder_name[0] ? recovery->holder_name : "-", close, recovery->uncertain,
          recovery->witnessed, death, g_hash_table_size (recovery->reported_ids));
}

static const DyReservationsActions actions = { .refused = log_refusal,
                                               .recovering = log_recovery,
                                               .read = read_ledger_entry,
                                               .write = write_ledger_entry,
                                               .send = send_message,
                                               .reply = reply_message };

static void
on_message (void *ctx, uint64_t link, const DyMessage *message)
{
  DyBudgets *budgets = ctx;
  if (dy_shared_entries_take (&budgets->shared, link, message))
    return;
  dy_reservations_on_message (&budgets->reservations, link, message, now_us (budgets));
}

static void
on_peer_up (void *ctx, const char *name)
{
  DyBudgets *budgets = ctx;
  dy_shared_entries_on_up (&budgets->shared, name);
  dy_reservations_on_up (&budgets->reservations, name, now_us (budgets));
}

static void
on_peer_down (void *ctx, const char *name)
{
  DyBudgets *budgets = ctx;
  dy_reservations_on_down (&budgets->reservations, name, now_us (budgets));
}

static void
on_incarnation_seen (void *ctx, uint64_t id)
{
  DyBudgets *budgets = ctx;
  dy_reservations_on_router_alive (&budgets->reservations, id, now_us (budgets));
}

static void
on_incarnation_dead (void *ctx, const char *name, uint64_t id)
{
  DyBudgets *budgets = ctx;
  dy_reservations_on_router_dead (&budgets->reservations, name, id, now_us (budgets));
}

static const DyPeersWatcher peers_watcher = { .message = on_message,
                                              .up = on_peer_up,
                                              .down = on_peer_down,
                                              .incarnation_seen = on_incarnation_seen,
                                              .incarnation_dead = on_incarnation_dead };

/* Sets the probe interval and reports changes in whether the platform is reachable. */
static void
update_platform_state (DyBudgets *budgets)
{
  DyPeers *peers = budgets->peers;
  bool reached = !budgets->platform->down;
  if (!reached)
    dy_platform_set_probe_interval (budgets->platform,
                                    dy_members_is_prober (&peers->members, now_us (budgets))
                                        ? PROBER_INTERVAL_US
                                        : NON_PROBER_INTERVAL_US);
  dy_members_set_platform (&peers->members, peers->kernel->settings->node_name,
                           dy_platform_answers (budgets->platform));
  if (reached == budgets->reaches_platform)
    return;
  budgets->reaches_platform = reached;
  dy_reservations_on_platform (&budgets->reservations, reached, now_us (budgets));
}

static void
on_tick (struct ev_loop *loop, ev_timer *w, int events)
{
  DyBudgets *budgets = w->data;
  (void) loop;
  (void) events;
  update_platform_state (budgets);
  dy_reservations_tick (&budgets->reservations, now_us (budgets));
  dy_shared_entries_tick (&budgets->shared);
}

static int
service_start (void *self, DyKernel *kernel)
{
  DyBudgets *budgets = self;
  const DySettings *settings = kernel->settings;
  bool uses_route_table = strcmp (settings->platform_kind, "objects") == 0;
  DyReservationsPolicy policy
      = { .self_id = kernel->incarnation_id,
          .self_name = settings->node_name,
          .recovery_delay_us = settings->recovery_delay_ms * 1000,
          .reserve_wait_us = settings->reserve_wait_ms * 1000,
          .handoff_wait_us = settings->carry_wait_ms * 1000,
          .settle_wait_us = settings->settle_wait_ms * 1000,
          .answers_before_settlement = uses_route_table,
          .ledger = { .renews_grant = uses_route_table,
                      .refuses_early = uses_route_table,
                      .copy_age_us = settings->store_copy_age_ms * 1000,
                      .ceiling_percent = settings->ceiling_percent,
                      .urgent_headroom_us = settings->keep_urgent_ms * 1000,
                      .first_rank_percent = settings->resume_percent,
                      .horizon_us = settings->grant_horizon_ms * 1000,
                      .minimum_tokens = settings->grant_minimum_tokens,
                      .percent = settings->grant_percent,
                      .unsettled_percent = settings->unsettled_percent,
                      .float_percent = settings->float_percent,
                      .settle_interval_us = settings->settle_interval_ms * 1000,
                      .idle_return_us = settings->idle_return_ms * 1000 } };
  budgets->kernel = kernel;
  budgets->platform = dy_kernel_find (kernel, DY_SERVICE_PLATFORM);
  budgets->peers = dy_kernel_find (kernel, DY_SERVICE_PEERS);
  budgets->reaches_platform = true;
  budgets->calls = g_hash_table_new_full (NULL, NULL, free_call, NULL);
  budgets->paid = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  dy_reservations_init (&budgets->reservations, &policy, &budgets->peers->members,
                        (uint32_t) kernel->incarnation_id, &actions, budgets);
  dy_shared_entries_init (&budgets->shared, kernel, budgets->peers, &budgets->reservations);
  dy_peers_watch (budgets->peers, &peers_watcher, budgets);
  ev_timer_init (&budgets->tick, on_tick, TICK_S, TICK_S);
  ev_set_priority (&budgets->tick, DY_PRIORITY_TIMEOUT);
  budgets->tick.data = budgets;
  ev_timer_start (kernel->loop, &budgets->tick);
  return DY_OK;
}

static void
service_drain (void *self)
{
  DyBudgets *budgets = self;
  dy_reservations_drain (&budgets->reservations, now_us (budgets));
}

static bool
service_busy (void *self)
{
  const DyBudgets *budgets = self;
  return dy_reservations_busy (&budgets->reservations);
}

static void
service_stop (void *self)
{
  DyBudgets *budgets = self;
  ev_timer_stop (budgets->kernel->loop, &budgets->tick);
  g_hash_table_unref (budgets->calls);
  g_hash_table_unref (budgets->paid);
  dy_shared_entries_finish (&budgets->shared);
  dy_reservations_finish (&budgets->reservations);
}

static void
dump_view (void *ctx, const DyLedgerView *view)
{
  json_array_append_new (ctx, json_pack ("{s:s, s:I, s:I, s:I, s:I, s:i}", "account", view->account,
                                         "granted_tokens", (json_int_t) view->granted_tokens,
                                         "spent_tokens", (json_int_t) view->spent_tokens,
                                         "reserved_tokens", (json_int_t) view->reserved_tokens,
                                         "unwritten_tokens", (json_int_t) view->unwritten_tokens,
                                         "waiting", (int) view->n_waiting));
}

static json_t *
dump_pool (const DyReservations *res, DyPool pool)
{
  json_t *list = json_array ();
  dy_ledger_visit (&res->holders[pool].ledger, dump_view, list);
  return list;
}

static json_t *
service_dump (void *self)
{
  const DyBudgets *budgets = self;
  const DyReservations *res = &budgets->reservations;
  return json_pack ("{s:o, s:o, s:o, s:i, s:i, s:i, s:i}", "entries",
                    dy_shared_entries_versions (&budgets->shared), "home",
                    dump_pool (res, DY_POOL_HOME), "own", dump_pool (res, DY_POOL_OWN), "tickets",
                    (int) g_hash_table_size (res->tickets), "keys",
                    (int) g_hash_table_size (res->reg.by_key), "usages",
                    (int) g_hash_table_size (res->usages.table), "recoveries",
                    (int) g_hash_table_size (res->recoveries.table));
}

void
dy_budgets_set_paid (DyBudgets *budgets, const char *account, int64_t paid_tokens)
{
  const int64_t *current = g_hash_table_lookup (budgets->paid, account);
  if (current && *current >= paid_tokens)
    return;
  g_hash_table_insert (budgets->paid, g_strdup (account),
                       g_memdup2 (&paid_tokens, sizeof paid_tokens));
  for (int pool = 0; pool < DY_N_POOLS; pool++)
    dy_ledger_raise_paid (&budgets->reservations.holders[pool].ledger, account, paid_tokens);
}

void
dy_budgets_add_service (DyKernel *kernel, DyBudgets *budgets)
{
  DyService service = { .name = DY_SERVICE_BUDGETS,
                        .self = budgets,
                        .start = service_start,
                        .drain = service_drain,
                        .busy = service_busy,
                        .stop = service_stop,
                        .dump = service_dump };
  dy_kernel_add (kernel, &service);
}
