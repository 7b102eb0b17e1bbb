#include "core/reservations_private.h"

#include "core/retry.h"
#include "kernel/error.h"

#include <string.h>

/* Time for which a request body is not run after endpoints failed while they ran it. */
static const int64_t QUARANTINE_US = INT64_C (600) * 1000 * 1000;

/* Key of the message by which a router says that nothing was reserved there yet; the version is its
 * incarnation. A CONFIG message, as builds that do not know it ignore those. */
static const char unused_key[] = "budget-holders/unused";

static const DyLedgerEntry *
find_latest_entry (void *ctx, const char *account, uint64_t era)
{
  const DyHolder *holder = ctx;
  return dy_latest_entries_find_before (&holder->res->latest, account, era);
}

static const DyLedgerActions ledger_actions = { .read = dy_reservations_read_entry,
                                                .write = dy_reservations_write_entry,
                                                .reserved = dy_reservations_on_reserved,
                                                .recovered = dy_reservations_on_recovered,
                                                .recall = dy_reservations_recall_grants,
                                                .latest_entry = find_latest_entry,
                                                .serves_account = dy_reservations_serves_account,
                                                .refused = dy_reservations_on_refused };

DyLedger *
dy_reservations_own_ledger (DyReservations *res)
{
  return &res->holders[DY_POOL_OWN].ledger;
}

DyLedger *
dy_reservations_home_ledger (DyReservations *res)
{
  return &res->holders[DY_POOL_HOME].ledger;
}

DyMessage
dy_reservations_holder_message (DyMessageType type, uint64_t holder_id, const char *account)
{
  DyMessage message = { .type = type };
  message.u.holder.holder_id = holder_id;
  g_strlcpy (message.u.holder.account, account, DY_NAME_SIZE);
  return message;
}

void
dy_reservations_send_to_members (DyReservations *res,
                                 const DyMessage *message,
                                 const DyRecovery *recovery)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, res->members->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const DyMember *member = value;
      if (recovery && dy_recovery_has_reported (recovery, member->incarnation_id))
        continue;
      res->actions->send (res->ctx, member->name, message);
    }
}

void
dy_reservations_init (DyReservations *res,
                      const DyReservationsPolicy *policy,
                      const DyMembers *members,
                      uint32_t seed,
                      const DyReservationsActions *actions,
                      void *ctx)
{
  memset (res, 0, sizeof *res);
  res->policy = *policy;
  res->members = members;
  res->actions = actions;
  res->ctx = ctx;
  for (int pool = 0; pool < DY_N_POOLS; pool++)
    {
      DyHolder *holder = &res->holders[pool];
      holder->res = res;
      holder->pool = (DyPool) pool;
      DyLedgerPolicy ledger_policy = policy->ledger;
      /* What a dead router was granted for itself is withheld, so this pool keeps no idle grant. */
      if (pool == DY_POOL_OWN)
        ledger_policy.float_percent = 0;
      dy_ledger_init (&holder->ledger, policy->self_id + (uint64_t) pool, policy->self_name,
                      seed + (uint32_t) pool, &ledger_policy, &ledger_actions, holder);
    }
  dy_register_init (&res->reg);
  dy_register_init (&res->origin_reg);
  dy_inquiries_init (&res->inquiries);
  res->members_changed_us = INT64_MIN / 2;
  res->joined_us = INT64_MAX;
  dy_quarantine_init (&res->quarantine, DY_MAX_CRASHES_PER_REQUEST, QUARANTINE_US);
  dy_usages_init (&res->usages);
  dy_recoveries_init (&res->recoveries, policy->recovery_delay_us);
  g_queue_init (&res->dead_origins);
  res->recent_deaths = g_array_new (FALSE, FALSE, sizeof (DyRouterDeath));
  dy_latest_entries_init (&res->latest);
  res->connected_ids = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  res->lost_ids = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  res->parted_us = INT64_MIN / 2;
  res->disconnected_us = INT64_MIN / 2;
  res->dead_names = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  res->tickets = g_hash_table_new_full (dy_request_id_hash, dy_request_id_equal, NULL, g_free);
  res->requesters = g_hash_table_new_full (dy_request_id_hash, dy_request_id_equal, g_free, g_free);
}

void
dy_reservations_finish (DyReservations *res)
{
  g_hash_table_unref (res->tickets);
  g_hash_table_unref (res->requesters);
  g_hash_table_unref (res->dead_names);
  g_hash_table_unref (res->connected_ids);
  g_hash_table_unref (res->lost_ids);
  dy_latest_entries_finish (&res->latest);
  g_queue_clear_full (&res->dead_origins, g_free);
  g_array_unref (res->recent_deaths);
  dy_recoveries_finish (&res->recoveries);
  dy_usages_finish (&res->usages);
  dy_inquiries_finish (&res->inquiries);
  dy_register_finish (&res->origin_reg);
  dy_register_finish (&res->reg);
  dy_quarantine_finish (&res->quarantine);
  for (int pool = 0; pool < DY_N_POOLS; pool++)
    dy_ledger_finish (&res->holders[pool].ledger);
  memset (res, 0, sizeof *res);
}

DyRequestId
dy_ticket_id (const DyTicket *ticket)
{
  return ticket->id;
}

const char *
dy_ticket_home (const DyTicket *ticket)
{
  return ticket->home;
}

void
dy_reservations_reserve (DyReservations *res,
                         const DyReservationSpec *spec,
                         DyTicketDone done,
                         void *ctx,
                         DyTicket **ticket_out,
                         int64_t now_us)
{
  DyTicket *ticket = g_new0 (DyTicket, 1);
  res->now_us = now_us;
  ticket->id.origin_id = res->policy.self_id;
  ticket->id.number = ++res->last_number;
  g_strlcpy (ticket->account, spec->account, DY_NAME_SIZE);
  ticket->tokens = spec->tokens;
  ticket->rank = spec->rank;
  ticket->key = spec->key;
  ticket->body_hash = spec->body_hash;
  ticket->idempotent = spec->idempotent;
  ticket->done = done;
  ticket->ctx = ctx;
  ticket->owner_ticket = ticket_out;
  *ticket_out = ticket;
  g_hash_table_insert (res->tickets, &ticket->id, ticket);
  dy_reservations_start_reserving (res, ticket);
}

void
dy_reservations_settle (DyReservations *res,
                        DyTicket *ticket,
                        int64_t used_tokens,
                        DyRequestEnd end,
                        DyTicketDone done,
                        void *ctx,
                        int64_t now_us)
{
  res->now_us = now_us;
  ticket->used_tokens = MIN (used_tokens, ticket->tokens);
  ticket->end = end;
  ticket->state = TICKET_SETTLING;
  ticket->done = done;
  ticket->ctx = ctx;
  ticket->deadline_us = now_us + res->policy.settle_wait_us;
  ticket->handoff_us = now_us + res->policy.handoff_wait_us;
  if (!dy_reservations_is_remote (ticket))
    dy_reservations_settle_local (res, ticket);
  else if (ticket->usage->holder_dead)
    dy_reservations_settle_without_holder (res, ticket);
  else
    dy_reservations_send_settle (res, ticket);
}

void
dy_reservations_release (
    DyReservations *res, DyTicket *ticket, DyRequestEnd end, uint32_t n_crashes, int64_t now_us)
{
  int64_t charged_tokens;
  res->now_us = now_us;
  ticket->end = end;
  ticket->n_crashes = n_crashes;
  dy_register_end (&res->origin_reg, &ticket->id, end, now_us);
  if (ticket->awaits_home)
    {
      dy_reservations_free_ticket (res, ticket);
      return;
    }
  if (dy_reservations_is_remote (ticket))
    {
      dy_reservations_retry_settlement (res, ticket, 0, end);
      return;
    }
  dy_reservations_record_crashes (res, ticket->body_hash, n_crashes, end);
  dy_reservations_end_reservation (res, dy_reservations_local_ledger (res, ticket), ticket->account,
                                   &ticket->id, 0, end, &charged_tokens);
  dy_reservations_free_ticket (res, ticket);
}

void
dy_reservations_on_message (DyReservations *res,
                            uint64_t link,
                            const DyMessage *message,
                            int64_t now_us)
{
  res->now_us = now_us;
  switch (message->type)
    {
    case DY_MESSAGE_RESERVE:
      dy_reservations_on_reserve_message (res, link, message);
      break;
    case DY_MESSAGE_SETTLE:
      dy_reservations_on_settle_message (res, link, message);
      break;
    case DY_MESSAGE_RESERVED:
      dy_reservations_on_reserved_message (res, message);
      break;
    case DY_MESSAGE_SETTLED:
      dy_reservations_on_settled_message (res, message);
      break;
    case DY_MESSAGE_HANDOFF:
      dy_reservations_on_handoff_message (res, link, message);
      break;
    case DY_MESSAGE_KEY_QUERY:
      dy_reservations_on_key_query_message (res, link, message);
      break;
    case DY_MESSAGE_KEY_STATE:
      dy_reservations_on_key_state_message (res, message);
      break;
    case DY_MESSAGE_REPLICATE:
      dy_reservations_on_replicate_message (res, link, message);
      break;
    case DY_MESSAGE_REPLICATED:
      dy_reservations_on_replicated_message (res, message);
      break;
    case DY_MESSAGE_HANDED_OFF:
      dy_reservations_on_handed_off_message (res, message);
      break;
    case DY_MESSAGE_QUERY:
      dy_reservations_on_query_message (res, link, message);
      break;
    case DY_MESSAGE_REPORT:
      dy_reservations_add_report (res, message);
      break;
    case DY_MESSAGE_CONFIG:
      if (strcmp (message->u.config.key, unused_key) == 0)
        dy_usages_add_unused (&res->usages, message->u.config.version);
      break;
    case DY_MESSAGE_CLOSED:
      dy_reservations_remove_usage (res, message->u.holder.holder_id, message->u.holder.account);
      break;
    case DY_MESSAGE_RECALL:
      for (int pool = 0; pool < DY_N_POOLS; pool++)
        dy_ledger_recall (&res->holders[pool].ledger, message->u.holder.account,
                          message->u.holder.holder_id, now_us);
      break;
    default:
      break;
    }
}

void
dy_reservations_on_platform (DyReservations *res, bool reached, int64_t now_us)
{
  res->now_us = now_us;
  for (int pool = 0; reached && pool < DY_N_POOLS; pool++)
    dy_ledger_on_platform_reachable (&res->holders[pool].ledger, now_us);
}

void
dy_reservations_on_read (DyReservations *res,
                         DyPool pool,
                         const char *account,
                         int error,
                         uint64_t version,
                         const DyLedgerEntry *entry,
                         int64_t now_us)
{
  res->now_us = now_us;
  dy_ledger_on_read (&res->holders[pool].ledger, account, error, version, entry, now_us);
}

void
dy_reservations_on_write (DyReservations *res,
                          DyPool pool,
                          const char *account,
                          int error,
                          uint64_t version,
                          int64_t now_us)
{
  res->now_us = now_us;
  dy_ledger_on_write (&res->holders[pool].ledger, account, error, version, now_us);
}

void
dy_reservations_take_entry (DyReservations *res,
                            const char *account,
                            uint64_t version,
                            const DyLedgerEntry *entry)
{
  dy_latest_entries_take (&res->latest, account, version, entry);
}

void
dy_reservations_set_era (DyReservations *res, uint64_t era, int64_t now_us)
{
  res->now_us = now_us;
  for (int pool = 0; pool < DY_N_POOLS; pool++)
    dy_ledger_set_era (&res->holders[pool].ledger, era, now_us);
}

bool
dy_reservations_is_reasserting (const DyReservations *res)
{
  bool reasserting = false;
  for (int pool = 0; pool < DY_N_POOLS; pool++)
    reasserting = reasserting || dy_ledger_is_reasserting (&res->holders[pool].ledger);
  return reasserting;
}

int64_t
dy_reservations_parted_us (const DyReservations *res)
{
  return res->parted_us;
}

void
dy_reservations_release_withheld (DyReservations *res, uint64_t era, int64_t now_us)
{
  res->now_us = now_us;
  for (int pool = 0; pool < DY_N_POOLS; pool++)
    dy_ledger_release_withheld (&res->holders[pool].ledger, era, now_us);
}

void
dy_reservations_on_router_alive (DyReservations *res, uint64_t id, int64_t now_us)
{
  dy_usages_add_present (&res->usages, id, now_us);
}

static void
send_unused (DyReservations *res, const char *name)
{
  DyMessage message = { .type = DY_MESSAGE_CONFIG };
  message.u.config.version = res->policy.self_id;
  g_strlcpy (message.u.config.key, unused_key, DY_KEY_SIZE);
  res->actions->send (res->ctx, name, &message);
}

void
dy_reservations_on_up (DyReservations *res, const char *name, int64_t now_us)
{
  GHashTableIter iter;
  gpointer value;
  res->now_us = now_us;
  res->members_changed_us = now_us;
  res->joined_us = MIN (res->joined_us, now_us);
  if (!res->has_reserved)
    send_unused (res, name);
  const DyMember *member = dy_members_find (res->members, name);
  if (member && g_hash_table_remove (res->lost_ids, &member->incarnation_id))
    res->parted_us = now_us;
  if (member)
    g_hash_table_insert (res->connected_ids, g_strdup (name),
                         g_memdup2 (&member->incarnation_id, sizeof member->incarnation_id));
  g_hash_table_iter_init (&iter, res->tickets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      DyTicket *ticket = value;
      bool settling = ticket->state == TICKET_SETTLING || ticket->state == TICKET_UNACKNOWLEDGED;
      if (settling && strcmp (ticket->home, name) == 0)
        dy_reservations_send_settle (res, ticket);
    }
}

void
dy_reservations_on_down (DyReservations *res, const char *name, int64_t now_us)
{
  const uint64_t *id = g_hash_table_lookup (res->connected_ids, name);
  if (id)
    g_hash_table_add (res->lost_ids, g_memdup2 (id, sizeof *id));
  res->now_us = now_us;
  res->members_changed_us = now_us;
  dy_reservations_each_ticket (res, dy_reservations_check_lost_home, NULL);
}

void
dy_reservations_on_router_dead (DyReservations *res, const char *name, uint64_t id, int64_t now_us)
{
  res->now_us = now_us;
  res->members_changed_us = now_us;
  g_hash_table_replace (res->dead_names, g_memdup2 (&id, sizeof id), g_strdup (name));
  dy_reservations_mark_holder_dead (res, id);
  dy_reservations_each_ticket (res, dy_reservations_check_lost_home, NULL);
  dy_reservations_each_ticket (res, dy_reservations_check_ticket, NULL);
  DyRouterDeath *death = g_new (DyRouterDeath, 1);
  death->id = id;
  death->detected_us = now_us;
  g_array_append_vals (res->recent_deaths, death, 1);
  g_queue_push_tail (&res->dead_origins, death);
}

void
dy_reservations_tick (DyReservations *res, int64_t now_us)
{
  res->now_us = now_us;
  res->oldest_open = dy_reservations_oldest_open (res);
  dy_reservations_each_ticket (res, dy_reservations_check_ticket, NULL);
  for (int pool = 0; pool < DY_N_POOLS; pool++)
    dy_ledger_tick (&res->holders[pool].ledger, now_us);
  dy_reservations_check_inquiries (res);
  dy_register_tick (&res->reg, now_us);
  dy_register_tick (&res->origin_reg, now_us);
  dy_quarantine_tick (&res->quarantine, now_us);
  dy_reservations_end_dead_origins (res);
  dy_reservations_report_dead_holders (res);
  dy_reservations_check_recoveries (res);
}

void
dy_reservations_drain (DyReservations *res, int64_t now_us)
{
  res->now_us = now_us;
  for (int pool = 0; pool < DY_N_POOLS; pool++)
    dy_ledger_drain (&res->holders[pool].ledger, now_us);
}

bool
dy_reservations_busy (const DyReservations *res)
{
  if (dy_reservations_has_open_ticket (res))
    return true;
  for (int pool = 0; pool < DY_N_POOLS; pool++)
    if (dy_ledger_busy (&res->holders[pool].ledger))
      return true;
  return false;
}
