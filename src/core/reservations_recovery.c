#include "core/reservations_private.h"

#include <string.h>

enum
{
  REPORT_INTERVAL_US = 500 * 1000,
  /* Time in which connected members deliver the settlements that a dead origin handed off. */
  HANDOFF_DELIVERY_US = 2 * 1000 * 1000,
};

/* Time for which the death of one router keeps the rows of other dead holders from being closed. */
static const int64_t DEATH_RETENTION_US = INT64_C (600) * 1000 * 1000;

/* Returns the name of the VM whose incarnation ID is dead, or "" when that is not known. */
static const char *
dead_holder_name (const DyReservations *res, uint64_t id)
{
  const char *name = g_hash_table_lookup (res->dead_names, &id);
  return name ? name : "";
}

/* Returns whether a router other than the holder died within DEATH_RETENTION_US. The holder may
 * have charged for that router's requests without writing it, and then no live router can report
 * the charge. */
static bool
another_died (DyReservations *res, uint64_t holder_id)
{
  bool found = false;
  for (guint i = res->recent_deaths->len; i > 0; i--)
    {
      const DyRouterDeath *death = &g_array_index (res->recent_deaths, DyRouterDeath, i - 1);
      if (res->now_us - death->detected_us >= DEATH_RETENTION_US)
        g_array_remove_index_fast (res->recent_deaths, i - 1);
      else
        found = found || death->id != holder_id;
    }
  return found;
}

static DyMessage
report_message (DyReservations *res, uint64_t holder_id, const char *account)
{
  const DyUsage *usage = dy_usages_find (&res->usages, holder_id, account);
  DyMessage message = dy_reservations_holder_message (DY_MESSAGE_REPORT, holder_id, account);
  message.u.holder.origin_id = res->policy.self_id;
  message.u.holder.charged_tokens = usage ? usage->charged_tokens : 0;
  message.u.holder.replicated_tokens = usage ? usage->replicated_tokens : 0;
  message.u.holder.was_present
      = dy_usages_was_present (&res->usages, holder_id) && !another_died (res, holder_id);
  message.u.holder.is_witness
      = message.u.holder.was_present
        && dy_usages_is_witness (&res->usages, holder_id, res->now_us - DEATH_RETENTION_US);
  g_strlcpy (message.u.holder.holder_name, dead_holder_name (res, holder_id), DY_NAME_SIZE);
  return message;
}

void
dy_reservations_add_report (DyReservations *res, const DyMessage *message)
{
  DyRecovery *recovery = dy_recoveries_get (&res->recoveries, message->u.holder.holder_id,
                                            message->u.holder.account, res->now_us);
  if (message->u.holder.holder_name[0] != '\0')
    g_strlcpy (recovery->holder_name, message->u.holder.holder_name, sizeof recovery->holder_name);
  dy_recovery_report (recovery, message->u.holder.origin_id, message->u.holder.charged_tokens,
                      message->u.holder.replicated_tokens, message->u.holder.was_present,
                      message->u.holder.is_witness);
}

void
dy_reservations_remove_usage (DyReservations *res, uint64_t holder_id, const char *account)
{
  DyUsage *usage = dy_usages_find (&res->usages, holder_id, account);
  if (usage && usage->n_open == 0)
    dy_usages_remove (&res->usages, usage);
}

void
dy_reservations_on_recovered (void *ctx, const char *account, uint64_t holder_id)
{
  DyReservations *res = ((DyHolder *) ctx)->res;
  DyMessage message = dy_reservations_holder_message (DY_MESSAGE_CLOSED, holder_id, account);
  DyRecovery *recovery = dy_recoveries_find (&res->recoveries, holder_id, account);
  if (recovery)
    dy_recoveries_remove (&res->recoveries, recovery);
  dy_reservations_remove_usage (res, holder_id, account);
  dy_reservations_send_to_members (res, &message, NULL);
}

/* Adds this router's own report once none of its requests is open at the holder; returns false
 * until then. A former incarnation of this router replicated its own charges to other routers,
 * which report them. */
static bool
add_own_report (DyReservations *res, const DyRecovery *recovery)
{
  const DyUsage *usage = dy_usages_find (&res->usages, recovery->holder_id, recovery->account);
  if (usage && usage->n_open > 0)
    return false;
  if (strcmp (recovery->holder_name, res->policy.self_name) == 0)
    return true;
  DyMessage message = report_message (res, recovery->holder_id, recovery->account);
  dy_reservations_add_report (res, &message);
  return true;
}

static void
check_recovery (DyReservations *res, DyRecovery *recovery)
{
  if (recovery->writing)
    return;
  dy_recovery_update_members (recovery, res->members);
  bool reported = add_own_report (res, recovery);
  if (reported && dy_recovery_complete (&res->recoveries, recovery, res->members, res->now_us))
    {
      bool death = another_died (res, recovery->holder_id);
      bool close = !recovery->uncertain && recovery->witnessed && !death;
      recovery->writing = true;
      if (res->actions->recovering)
        res->actions->recovering (res->ctx, recovery, close, death);
      dy_ledger_recover (dy_reservations_home_ledger (res), recovery->account, recovery->holder_id,
                         g_array_ref (recovery->totals), close, res->now_us);
      return;
    }
  if (res->now_us - recovery->asked_us < REPORT_INTERVAL_US)
    return;
  DyMessage message
      = dy_reservations_holder_message (DY_MESSAGE_QUERY, recovery->holder_id, recovery->account);
  recovery->asked_us = res->now_us;
  dy_reservations_send_to_members (res, &message, recovery);
}

void
dy_reservations_check_recoveries (DyReservations *res)
{
  GList *recoveries = g_hash_table_get_keys (res->recoveries.table);
  for (GList *l = recoveries; l; l = l->next)
    check_recovery (res, l->data);
  g_list_free (recoveries);
}

void
dy_reservations_report_dead_holders (DyReservations *res)
{
  GHashTableIter iter;
  gpointer key;
  if (res->now_us - res->reported_us < REPORT_INTERVAL_US)
    return;
  res->reported_us = res->now_us;
  g_hash_table_iter_init (&iter, res->usages.table);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      const DyUsage *usage = key;
      if (!usage->holder_dead || usage->n_open > 0)
        continue;
      DyMessage message = report_message (res, usage->holder_id, usage->account);
      const DyMember *home = dy_members_home (res->members, usage->account, NULL, res->now_us);
      if (home)
        res->actions->send (res->ctx, home->name, &message);
      else
        dy_reservations_add_report (res, &message);
    }
}

void
dy_reservations_mark_holder_dead (DyReservations *res, uint64_t holder_id)
{
  GHashTableIter iter;
  gpointer key;
  g_hash_table_iter_init (&iter, res->usages.table);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    if (((DyUsage *) key)->holder_id == holder_id)
      ((DyUsage *) key)->holder_dead = true;
}

void
dy_reservations_on_query_message (DyReservations *res, uint64_t link, const DyMessage *message)
{
  const char *account = message->u.holder.account;
  dy_reservations_mark_holder_dead (res, message->u.holder.holder_id);
  dy_reservations_each_ticket (res, dy_reservations_check_ticket, NULL);
  const DyUsage *usage = dy_usages_find (&res->usages, message->u.holder.holder_id, account);
  if (usage && usage->n_open > 0)
    return;
  DyMessage reply = report_message (res, message->u.holder.holder_id, account);
  res->actions->reply (res->ctx, link, &reply);
}

void
dy_reservations_end_dead_origins (DyReservations *res)
{
  if (!dy_members_all_connected (res->members))
    res->disconnected_us = res->now_us;
  for (;;)
    {
      DyRouterDeath *death = g_queue_peek_head (&res->dead_origins);
      if (!death
          || res->now_us - MAX (death->detected_us, res->disconnected_us) < HANDOFF_DELIVERY_US)
        return;
      dy_ledger_end_origin (dy_reservations_home_ledger (res), death->id,
                            res->policy.answers_before_settlement, res->now_us);
      dy_register_end_origin (&res->reg, death->id, res->now_us);
      g_free (g_queue_pop_head (&res->dead_origins));
    }
}
