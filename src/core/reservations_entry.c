#include "core/reservations_private.h"

#include "kernel/error.h"

#include <string.h>

enum
{
  RESEND_US = 200 * 1000,      /* interval at which an unacknowledged message is sent again */
  REPLY_US = 100 * 1000,       /* part of the wait reserved for the home's reply to arrive */
  BACKUP_WAIT_US = 100 * 1000, /* time after which the sum is sent to all members, not only one */
};

bool
dy_reservations_is_remote (const DyTicket *ticket)
{
  return ticket->home[0] != '\0';
}

void
dy_reservations_free_ticket (DyReservations *res, DyTicket *ticket)
{
  if (ticket->usage)
    ticket->usage->n_open--;
  g_hash_table_remove (res->tickets, &ticket->id);
}

/* Records the key of TICKET, so that the account's next home can ask this router about it. */
static void
record_key (DyReservations *res, const DyTicket *ticket)
{
  DyRegisterRequest request = { .id = ticket->id,
                                .key = ticket->key,
                                .body_hash = ticket->body_hash,
                                .idempotent = ticket->idempotent };
  dy_register_begin (&res->origin_reg, &request, res->now_us);
}

void
dy_reservations_end_reserving (DyReservations *res, DyTicket *ticket, int error)
{
  DyTicketDone done = ticket->done;
  void *ctx = ticket->ctx;
  ticket->state = TICKET_HELD;
  ticket->owner_ticket = NULL;
  if (error)
    dy_reservations_free_ticket (res, ticket);
  else
    record_key (res, ticket);
  done (ctx, error, 0);
}

/* Ends the request of a ticket that is settling. NOT_ACKNOWLEDGED: the ticket stays, to repeat the
 * settlement until its holder acknowledges it. */
static void
end_settling (
    DyReservations *res, DyTicket *ticket, int error, int64_t charged_tokens, bool not_acknowledged)
{
  DyTicketDone done = ticket->done;
  void *ctx = ticket->ctx;
  dy_register_add (&res->origin_reg, &ticket->id, charged_tokens);
  dy_register_end (&res->origin_reg, &ticket->id, error ? DY_END_UNKNOWN : ticket->end,
                   res->now_us);
  if (not_acknowledged)
    ticket->state = TICKET_UNACKNOWLEDGED;
  else
    dy_reservations_free_ticket (res, ticket);
  done (ctx, error ? DY_NOT_SETTLED : DY_OK, charged_tokens);
}

uint64_t
dy_reservations_oldest_open (const DyReservations *res)
{
  uint64_t oldest = res->last_number + 1;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, res->tickets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const DyTicket *ticket = value;
      if (ticket->id.origin_id == res->policy.self_id)
        oldest = MIN (oldest, ticket->id.number);
    }
  return oldest;
}

static DyMessage
reserve_message (const DyReservations *res, const DyTicket *ticket, int64_t wait_us)
{
  DyMessage message = { .type = DY_MESSAGE_RESERVE };
  message.u.reserve.id = ticket->id;
  message.u.reserve.tokens = ticket->tokens;
  message.u.reserve.rank = ticket->rank;
  message.u.reserve.wait_us = wait_us;
  message.u.reserve.key = ticket->key;
  message.u.reserve.body_hash = ticket->body_hash;
  message.u.reserve.idempotent = ticket->idempotent;
  message.u.reserve.oldest_open = res->oldest_open;
  g_strlcpy (message.u.reserve.account, ticket->account, DY_NAME_SIZE);
  return message;
}

DyLedger *
dy_reservations_local_ledger (DyReservations *res, const DyTicket *ticket)
{
  return ticket->at_home ? dy_reservations_home_ledger (res) : dy_reservations_own_ledger (res);
}

void
dy_reservations_admit_local (DyReservations *res, DyTicket *ticket, int error)
{
  DyMessage message = reserve_message (res, ticket, 0);
  if (!error)
    error = dy_reservations_begin (res, &message);
  if (error)
    dy_reservations_end_reserving (res, ticket, error);
  else
    dy_ledger_reserve (dy_reservations_local_ledger (res, ticket), ticket->account, &ticket->id,
                       ticket->tokens, ticket->rank, ticket->deadline_us, res->now_us);
}

/* Reserves from a pool of this router: with AT_HOME from the home pool, else from the own pool. */
static void
reserve_local (DyReservations *res, DyTicket *ticket, bool at_home)
{
  DyMessage message = reserve_message (res, ticket, 0);
  ticket->home[0] = '\0';
  ticket->at_home = at_home;
  if (at_home && dy_reservations_must_inquire (res, &message))
    dy_reservations_inquire (res, &message, 0);
  else
    dy_reservations_admit_local (
        res, ticket, at_home ? DY_OK : dy_reservations_check_key_isolated (res, &ticket->key));
}

/* Asks the router HOME for the tokens of TICKET. Returns false without a connection to it. */
static bool
reserve_remote (DyReservations *res, DyTicket *ticket, const DyMember *home)
{
  int64_t wait_us = MAX (ticket->deadline_us - res->now_us - REPLY_US, 0);
  DyMessage message = reserve_message (res, ticket, wait_us);
  message.u.reserve.home_id = home->incarnation_id;
  if (res->actions->send (res->ctx, home->name, &message))
    return false;
  g_strlcpy (ticket->home, home->name, DY_NAME_SIZE);
  ticket->home_id = home->incarnation_id;
  ticket->usage = dy_usages_get (&res->usages, home->incarnation_id, ticket->account);
  ticket->usage->n_open++;
  return true;
}

static DyMessage
settle_message (const DyReservations *res, DyMessageType type, const DyTicket *ticket)
{
  DyMessage message = { .type = type };
  message.u.settle.id = ticket->id;
  message.u.settle.home_id = ticket->home_id;
  message.u.settle.used_tokens = ticket->used_tokens;
  message.u.settle.end = ticket->end;
  message.u.settle.body_hash = ticket->body_hash;
  message.u.settle.n_crashes = ticket->n_crashes;
  message.u.settle.oldest_open = ticket->id.origin_id == res->policy.self_id ? res->oldest_open : 0;
  g_strlcpy (message.u.settle.account, ticket->account, DY_NAME_SIZE);
  return message;
}

void
dy_reservations_send_settle (DyReservations *res, DyTicket *ticket)
{
  DyMessage message = settle_message (res, DY_MESSAGE_SETTLE, ticket);
  ticket->sent_us = res->now_us;
  res->actions->send (res->ctx, ticket->home, &message);
}

/* Hands the settlement of TICKET off to another router, as the holder has not acknowledged it. */
static void
send_handoff (DyReservations *res, DyTicket *ticket)
{
  const DyMember *handoff_router
      = dy_members_other_home (res->members, ticket->account, ticket->home, res->now_us);
  DyMessage message = settle_message (res, DY_MESSAGE_HANDOFF, ticket);
  g_strlcpy (message.u.settle.home, ticket->home, DY_NAME_SIZE);
  message.u.settle.key = ticket->key;
  message.u.settle.key_tokens = MAX (ticket->used_tokens, ticket->credit_tokens);
  message.u.settle.idempotent = ticket->idempotent;
  ticket->handoff_us = res->now_us + RESEND_US;
  if (handoff_router)
    res->actions->send (res->ctx, handoff_router->name, &message);
}

void
dy_reservations_retry_settlement (DyReservations *res,
                                  DyTicket *ticket,
                                  int64_t used_tokens,
                                  DyRequestEnd end)
{
  ticket->state = TICKET_UNACKNOWLEDGED;
  ticket->used_tokens = used_tokens;
  ticket->end = end;
  if (ticket->usage->holder_dead)
    dy_reservations_free_ticket (res, ticket);
  else
    dy_reservations_send_settle (res, ticket);
}

void
dy_reservations_request_tokens (DyReservations *res, DyTicket *ticket, const char *skip)
{
  /* After a failover, prefer homes that reach the platform, and so the ledger entry. */
  const DyMember *home
      = skip ? dy_members_home_with_platform (res->members, ticket->account, skip, res->now_us)
             : dy_members_home (res->members, ticket->account, NULL, res->now_us);
  if (home && reserve_remote (res, ticket, home))
    return;
  const DyMember *backup = dy_members_other_home (res->members, ticket->account, skip, res->now_us);
  reserve_local (res, ticket, backup != NULL);
}

void
dy_reservations_start_reserving (DyReservations *res, DyTicket *ticket)
{
  /* Until the home is known, each tick tries again. Otherwise all starting routers would take small
   * grants for themselves, and their writes of the same ledger entry would conflict. */
  ticket->awaits_home = !dy_members_home_is_known (res->members, ticket->account, res->now_us);
  if (ticket->awaits_home)
    return;
  ticket->deadline_us = res->now_us + res->policy.reserve_wait_us;
  dy_reservations_request_tokens (res, ticket, NULL);
}

/* Releases what the unavailable home of TICKET may have reserved, and asks the next home for the
 * tokens, under a new request number. Gives up after the second home. */
static void
fail_over (DyReservations *res, DyTicket *ticket)
{
  DyTicket *next = g_memdup2 (ticket, sizeof *ticket);
  char failed_home[DY_NAME_SIZE];
  g_strlcpy (failed_home, ticket->home, sizeof failed_home);
  next->id.number = ++res->last_number;
  next->usage = NULL;
  next->home[0] = '\0';
  next->failed_over = true;
  *ticket->owner_ticket = next;
  g_hash_table_insert (res->tickets, &next->id, next);
  bool failed_twice = ticket->failed_over;
  dy_reservations_retry_settlement (res, ticket, 0, DY_END_NOT_RUN);
  if (failed_twice)
    dy_reservations_end_reserving (res, next, DY_BUDGET_UNAVAILABLE);
  else
    dy_reservations_request_tokens (res, next, failed_home);
}

void
dy_reservations_on_reserved_message (DyReservations *res, const DyMessage *message)
{
  DyTicket *ticket = g_hash_table_lookup (res->tickets, &message->u.result.id);
  int error = message->u.result.error;
  if (!ticket || ticket->state != TICKET_RESERVING || !dy_reservations_is_remote (ticket))
    return;
  /* The home cannot check the budget, but this router or another home may reach the platform. */
  if (error == DY_DRAINING || error == DY_BUDGET_UNAVAILABLE)
    {
      fail_over (res, ticket);
      return;
    }
  ticket->credit_tokens = message->u.result.charged_tokens;
  dy_reservations_end_reserving (res, ticket, error);
}

/* Adds CHARGED_TOKENS to the sum of what the holder of TICKET charged for this router's requests. A
 * settlement that another origin handed off is left out, as it is in that origin's sum. */
static void
count_charge (const DyReservations *res, DyTicket *ticket, int64_t charged_tokens)
{
  if (ticket->id.origin_id == res->policy.self_id)
    ticket->usage->charged_tokens += charged_tokens;
}

void
dy_reservations_on_settled_message (DyReservations *res, const DyMessage *message)
{
  DyTicket *ticket = g_hash_table_lookup (res->tickets, &message->u.result.id);
  if (!ticket || !dy_reservations_is_remote (ticket))
    return;
  if (message->u.result.error == DY_OK)
    count_charge (res, ticket, message->u.result.charged_tokens);
  if (ticket->state == TICKET_SETTLING)
    end_settling (res, ticket, message->u.result.error, message->u.result.charged_tokens, false);
  else if (ticket->state == TICKET_UNACKNOWLEDGED)
    dy_reservations_free_ticket (res, ticket);
}

void
dy_reservations_settle_without_holder (DyReservations *res, DyTicket *ticket)
{
  int64_t charged_tokens = MAX (ticket->used_tokens - ticket->credit_tokens, 0);
  count_charge (res, ticket, charged_tokens);
  if (ticket->state == TICKET_SETTLING)
    end_settling (res, ticket, DY_OK, charged_tokens, false);
  else
    dy_reservations_free_ticket (res, ticket);
}

/* Refuses a request whose home has not replied in time, and releases what it may have reserved. */
static void
expire_reserving (DyReservations *res, DyTicket *ticket)
{
  DyTicketDone done = ticket->done;
  void *ctx = ticket->ctx;
  ticket->end = DY_END_NOT_RUN;
  dy_reservations_retry_settlement (res, ticket, 0, DY_END_NOT_RUN);
  done (ctx, DY_BUDGET_UNAVAILABLE, 0);
}

static void
check_settling (DyReservations *res, DyTicket *ticket)
{
  if (ticket->usage->holder_dead)
    {
      dy_reservations_settle_without_holder (res, ticket);
      return;
    }
  if (res->now_us - ticket->sent_us >= RESEND_US)
    dy_reservations_send_settle (res, ticket);
  if (ticket->state != TICKET_SETTLING)
    return;
  if (res->now_us >= ticket->deadline_us && res->policy.answers_before_settlement)
    {
      /* The caller has its answer; the settlement is repeated until the holder acknowledges it or
       * is dead. */
      end_settling (res, ticket, DY_OK, ticket->used_tokens, true);
    }
  else if (res->now_us >= ticket->deadline_us)
    {
      /* No other router has a record of the charge, so the caller must not get the end of the
       * answer. */
      ticket->used_tokens = 0;
      ticket->end = DY_END_UNKNOWN;
      end_settling (res, ticket, DY_NOT_SETTLED, 0, true);
    }
  else if (res->now_us >= ticket->handoff_us)
    send_handoff (res, ticket);
}

/* Replicates the sum that this router, as home, charged for its own requests to the backup router:
 * the account's next home. */
static void
replicate_charges (DyReservations *res, DyTicket *ticket)
{
  const DyMember *backup = dy_members_other_home (res->members, ticket->account, NULL, res->now_us);
  DyMessage message
      = dy_reservations_holder_message (DY_MESSAGE_REPLICATE, res->policy.self_id, ticket->account);
  message.u.holder.charged_tokens = ticket->backup_tokens;
  message.u.holder.key = ticket->key;
  message.u.holder.body_hash = ticket->body_hash;
  message.u.holder.key_tokens = ticket->key_tokens;
  ticket->sent_us = res->now_us;
  if (backup)
    res->actions->send (res->ctx, backup->name, &message);
}

static void
check_local_settling (DyReservations *res, DyTicket *ticket)
{
  bool written = dy_ledger_written_tokens (dy_reservations_home_ledger (res), ticket->account,
                                           res->policy.self_id)
                 >= ticket->backup_tokens;
  bool has_backup = dy_members_other_home (res->members, ticket->account, NULL, res->now_us);
  bool late = res->now_us >= ticket->deadline_us;
  /* Tokens that are written to the platform need no backup router. The platform stores no keys, so
   * a request with a key waits for a backup router, if there is one, until its deadline. */
  if (written && (late || !has_backup || !dy_reservations_has_key (&ticket->key)))
    end_settling (res, ticket, DY_OK, ticket->used_tokens, false);
  else if (late)
    end_settling (res, ticket, DY_NOT_SETTLED, 0, false);
  else if (res->now_us - ticket->sent_us >= RESEND_US)
    replicate_charges (res, ticket);
}

/* Returns the most that this router's own requests may have charged at its home pool once all of
 * them end: what was charged plus what is reserved. */
static int64_t
max_own_tokens (DyReservations *res, const char *account)
{
  int64_t tokens = dy_usages_get (&res->usages, res->policy.self_id, account)->charged_tokens;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, res->tickets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const DyTicket *ticket = value;
      bool held = ticket->state == TICKET_HELD || ticket->state == TICKET_REPLICATING;
      if (held && ticket->at_home && strcmp (ticket->account, account) == 0)
        tokens += ticket->tokens;
    }
  return tokens;
}

void
dy_reservations_on_local_reserved (DyReservations *res, DyTicket *ticket, int error)
{
  if (error || !ticket->at_home || !res->policy.answers_before_settlement)
    {
      dy_reservations_end_reserving (res, ticket, error);
      return;
    }
  ticket->state = TICKET_REPLICATING;
  ticket->backup_tokens = max_own_tokens (res, ticket->account);
  replicate_charges (res, ticket);
}

/* Sends the sum to all members when the backup router does not acknowledge it; releases the
 * reservation at the deadline. */
static void
check_replicating (DyReservations *res, DyTicket *ticket)
{
  if (res->now_us >= ticket->deadline_us)
    {
      int64_t charged_tokens;
      dy_reservations_end_reservation (res, dy_reservations_home_ledger (res), ticket->account,
                                       &ticket->id, 0, DY_END_NOT_RUN, &charged_tokens);
      dy_reservations_end_reserving (res, ticket, DY_BUDGET_UNAVAILABLE);
      return;
    }
  if (res->now_us - ticket->sent_us < BACKUP_WAIT_US)
    return;
  DyMessage message
      = dy_reservations_holder_message (DY_MESSAGE_REPLICATE, res->policy.self_id, ticket->account);
  message.u.holder.charged_tokens = ticket->backup_tokens;
  ticket->sent_us = res->now_us;
  dy_reservations_send_to_members (res, &message, NULL);
}

void
dy_reservations_check_ticket (DyReservations *res, DyTicket *ticket, const DyMessage *message)
{
  (void) message;
  bool settling = ticket->state == TICKET_SETTLING || ticket->state == TICKET_UNACKNOWLEDGED;
  if (ticket->at_home && ticket->state == TICKET_SETTLING)
    check_local_settling (res, ticket);
  else if (ticket->state == TICKET_REPLICATING)
    check_replicating (res, ticket);
  else if (ticket->awaits_home)
    dy_reservations_start_reserving (res, ticket);
  else if (!dy_reservations_is_remote (ticket))
    return;
  else if (ticket->state == TICKET_RESERVING && res->now_us >= ticket->deadline_us)
    expire_reserving (res, ticket);
  else if (settling)
    check_settling (res, ticket);
}

void
dy_reservations_each_ticket (DyReservations *res,
                             void (*check) (DyReservations *res,
                                            DyTicket *ticket,
                                            const DyMessage *message),
                             const DyMessage *message)
{
  GList *ids = g_hash_table_get_keys (res->tickets);
  GArray *copies = g_array_new (FALSE, FALSE, sizeof (DyRequestId));
  for (GList *l = ids; l; l = l->next)
    g_array_append_vals (copies, l->data, 1);
  g_list_free (ids);
  for (guint i = 0; i < copies->len; i++)
    {
      DyTicket *ticket
          = g_hash_table_lookup (res->tickets, &g_array_index (copies, DyRequestId, i));
      if (ticket)
        check (res, ticket, message);
    }
  g_array_unref (copies);
}

void
dy_reservations_on_replicate_message (DyReservations *res, uint64_t link, const DyMessage *message)
{
  DyUsage *usage
      = dy_usages_get (&res->usages, message->u.holder.holder_id, message->u.holder.account);
  DyMessage reply = *message;
  reply.type = DY_MESSAGE_REPLICATED;
  usage->replicated_tokens = MAX (usage->replicated_tokens, message->u.holder.charged_tokens);
  dy_reservations_record_charge (res, &message->u.holder.key, message->u.holder.body_hash, true,
                                 message->u.holder.key_tokens);
  res->actions->reply (res->ctx, link, &reply);
}

/* Continues TICKET when the backup router's MESSAGE acknowledges a sum that covers it: its request
 * may run or, if TICKET is settling, ends. */
static void
on_sum_acknowledged (DyReservations *res, DyTicket *ticket, const DyMessage *message)
{
  bool waits = ticket->state == TICKET_SETTLING || ticket->state == TICKET_REPLICATING;
  if (!ticket->at_home || !waits || strcmp (ticket->account, message->u.holder.account) != 0
      || ticket->backup_tokens > message->u.holder.charged_tokens)
    return;
  if (ticket->state == TICKET_REPLICATING)
    dy_reservations_end_reserving (res, ticket, DY_OK);
  else
    end_settling (res, ticket, DY_OK, ticket->used_tokens, false);
}

void
dy_reservations_on_replicated_message (DyReservations *res, const DyMessage *message)
{
  if (message->u.holder.holder_id != res->policy.self_id)
    return;
  dy_reservations_each_ticket (res, on_sum_acknowledged, message);
}

void
dy_reservations_on_handoff_message (DyReservations *res, uint64_t link, const DyMessage *message)
{
  DyMessage reply = { .type = DY_MESSAGE_HANDED_OFF };
  reply.u.result.id = message->u.settle.id;
  if (!g_hash_table_contains (res->tickets, &message->u.settle.id))
    {
      DyTicket *ticket = g_new0 (DyTicket, 1);
      ticket->id = message->u.settle.id;
      g_strlcpy (ticket->account, message->u.settle.account, DY_NAME_SIZE);
      g_strlcpy (ticket->home, message->u.settle.home, DY_NAME_SIZE);
      ticket->home_id = message->u.settle.home_id;
      ticket->usage = dy_usages_get (&res->usages, ticket->home_id, ticket->account);
      ticket->usage->n_open++;
      g_hash_table_insert (res->tickets, &ticket->id, ticket);
      if (message->u.settle.end == DY_END_COMPLETE)
        dy_reservations_record_charge (res, &message->u.settle.key, message->u.settle.body_hash,
                                       message->u.settle.idempotent, message->u.settle.key_tokens);
      dy_reservations_retry_settlement (res, ticket, message->u.settle.used_tokens,
                                        message->u.settle.end);
    }
  res->actions->reply (res->ctx, link, &reply);
}

void
dy_reservations_on_handed_off_message (DyReservations *res, const DyMessage *message)
{
  DyTicket *ticket = g_hash_table_lookup (res->tickets, &message->u.result.id);
  if (!ticket || ticket->state != TICKET_SETTLING)
    return;
  end_settling (res, ticket, DY_OK, MAX (ticket->used_tokens - ticket->credit_tokens, 0), true);
}

void
dy_reservations_settle_local (DyReservations *res, DyTicket *ticket)
{
  int64_t charged_tokens;
  int error = dy_reservations_end_reservation (res, dy_reservations_local_ledger (res, ticket),
                                               ticket->account, &ticket->id, ticket->used_tokens,
                                               ticket->end, &charged_tokens);
  ticket->used_tokens = charged_tokens;
  if (error || !ticket->at_home)
    {
      end_settling (res, ticket, error, charged_tokens, false);
      return;
    }
  DyUsage *usage = dy_usages_get (&res->usages, res->policy.self_id, ticket->account);
  usage->charged_tokens += charged_tokens;
  if (res->policy.answers_before_settlement)
    {
      /* The backup router acknowledged the largest possible charge before the request ran. */
      end_settling (res, ticket, DY_OK, charged_tokens, false);
      return;
    }
  ticket->backup_tokens = usage->charged_tokens;
  DyMessage state = { .type = DY_MESSAGE_KEY_STATE };
  dy_register_look_up (&res->reg, &ticket->key, &state);
  ticket->key_tokens = state.u.key.charged_tokens;
  replicate_charges (res, ticket);
}

void
dy_reservations_check_lost_home (DyReservations *res, DyTicket *ticket, const DyMessage *message)
{
  (void) message;
  if (ticket->state != TICKET_RESERVING || !dy_reservations_is_remote (ticket))
    return;
  const DyMember *home = dy_members_find (res->members, ticket->home);
  if (!home || home->incarnation_id != ticket->home_id)
    fail_over (res, ticket);
}

bool
dy_reservations_has_open_ticket (const DyReservations *res)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, res->tickets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const DyTicket *ticket = value;
      if (ticket->state != TICKET_UNACKNOWLEDGED || ticket->used_tokens > 0)
        return true;
    }
  return false;
}
