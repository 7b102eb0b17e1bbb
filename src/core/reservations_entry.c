#include "core/reservations_private.h"

#include "kernel/error.h"

#include <string.h>

enum
{
  RESEND_US = 200 * 1000,
  ANSWER_US = 100 * 1000,  /* left for the home's answer to arrive */
  WITNESS_US = 100 * 1000, /* after which all members are asked to be the witness */
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

/* Keeps what this router knows of the key for the account's next home. */
static void
remember_sent (DyReservations *res, const DyTicket *ticket)
{
  DyRegisterRequest request = { .id = ticket->id,
                                .key = ticket->key,
                                .body_hash = ticket->body_hash,
                                .idempotent = ticket->idempotent };
  dy_register_begin (&res->sent, &request, res->now_us);
}

void
dy_reservations_end_reserving (DyReservations *res, DyTicket *ticket, int error)
{
  DyTicketDone done = ticket->done;
  void *ctx = ticket->ctx;
  ticket->state = TICKET_HELD;
  ticket->moved = NULL;
  if (error)
    dy_reservations_free_ticket (res, ticket);
  else
    remember_sent (res, ticket);
  done (ctx, error, 0);
}

/* Ends the request of a ticket that is settling. The ticket stays when it is OWED from here on. */
static void
end_settling (DyReservations *res, DyTicket *ticket, int error, int64_t charged_tokens, bool owed)
{
  DyTicketDone done = ticket->done;
  void *ctx = ticket->ctx;
  dy_register_add (&res->sent, &ticket->id, charged_tokens);
  dy_register_end (&res->sent, &ticket->id, error ? DY_END_UNKNOWN : ticket->end, res->now_us);
  if (owed)
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

/* Reserves from a pool of this router; AT_HOME: as the account's home. */
static void
reserve_here (DyReservations *res, DyTicket *ticket, bool at_home)
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

/* Returns false when there is no connection to the home. */
static bool
ask_home (DyReservations *res, DyTicket *ticket, const DyMember *home)
{
  int64_t wait_us = MAX (ticket->deadline_us - res->now_us - ANSWER_US, 0);
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

/* The holder is out of reach: another router is to know of the settlement, too. */
static void
ask_carrier (DyReservations *res, DyTicket *ticket)
{
  const DyMember *carrier
      = dy_members_other_home (res->members, ticket->account, ticket->home, res->now_us);
  DyMessage message = settle_message (res, DY_MESSAGE_HANDOFF, ticket);
  g_strlcpy (message.u.settle.home, ticket->home, DY_NAME_SIZE);
  message.u.settle.key = ticket->key;
  message.u.settle.key_tokens = MAX (ticket->used_tokens, ticket->credit_tokens);
  message.u.settle.idempotent = ticket->idempotent;
  ticket->handoff_us = res->now_us + RESEND_US;
  if (carrier)
    res->actions->send (res->ctx, carrier->name, &message);
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
  if (ticket->usage->gone)
    dy_reservations_free_ticket (res, ticket);
  else
    dy_reservations_send_settle (res, ticket);
}

void
dy_reservations_request_tokens (DyReservations *res, DyTicket *ticket, const char *skip)
{
  /* One home has failed already: the next is to reach the ledger entry. */
  const DyMember *home
      = skip ? dy_members_home_with_platform (res->members, ticket->account, skip, res->now_us)
             : dy_members_home (res->members, ticket->account, NULL, res->now_us);
  if (home && ask_home (res, ticket, home))
    return;
  const DyMember *witness
      = dy_members_other_home (res->members, ticket->account, skip, res->now_us);
  reserve_here (res, ticket, witness != NULL);
}

void
dy_reservations_start_reserving (DyReservations *res, DyTicket *ticket)
{
  /* Looked at again with each tick. Routers that took small grants for themselves meanwhile would
   * all meet in the ledger entry. */
  ticket->awaits_home = !dy_members_home_is_known (res->members, ticket->account, res->now_us);
  if (ticket->awaits_home)
    return;
  ticket->deadline_us = res->now_us + res->policy.reserve_wait_us;
  dy_reservations_request_tokens (res, ticket, NULL);
}

/* The home does not answer: what it may have reserved is to be released, and the request goes on
 * with the next one under a new number. */
static void
leave_home (DyReservations *res, DyTicket *ticket)
{
  DyTicket *next = g_memdup2 (ticket, sizeof *ticket);
  char left[DY_NAME_SIZE];
  g_strlcpy (left, ticket->home, sizeof left);
  next->id.number = ++res->last_number;
  next->usage = NULL;
  next->home[0] = '\0';
  next->second = true;
  *ticket->moved = next;
  g_hash_table_insert (res->tickets, &next->id, next);
  bool again = ticket->second;
  dy_reservations_retry_settlement (res, ticket, 0, DY_END_NOT_RUN);
  if (again)
    dy_reservations_end_reserving (res, next, DY_BUDGET_UNAVAILABLE);
  else
    dy_reservations_request_tokens (res, next, left);
}

void
dy_reservations_on_reserved_message (DyReservations *res, const DyMessage *message)
{
  DyTicket *ticket = g_hash_table_lookup (res->tickets, &message->u.result.id);
  int error = message->u.result.error;
  if (!ticket || ticket->state != TICKET_RESERVING || !dy_reservations_is_remote (ticket))
    return;
  /* A home that cannot tell is no reason to refuse: the ledger entry may be in reach from here. */
  if (error == DY_DRAINING || error == DY_BUDGET_UNAVAILABLE)
    {
      leave_home (res, ticket);
      return;
    }
  ticket->credit_tokens = message->u.result.charged_tokens;
  dy_reservations_end_reserving (res, ticket, error);
}

/* What is carried for another router is in that router's sum, not in this one's. */
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

/* The home has not answered in time; what it may have reserved is to be released. */
static void
give_up (DyReservations *res, DyTicket *ticket)
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
  if (ticket->usage->gone)
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
      /* The caller has its answer; the charge is owed until the holder or its heirs have it. */
      end_settling (res, ticket, DY_OK, ticket->used_tokens, true);
    }
  else if (res->now_us >= ticket->deadline_us)
    {
      /* Nobody else knows of the answer, so the caller must not get the last part. */
      ticket->used_tokens = 0;
      ticket->end = DY_END_UNKNOWN;
      end_settling (res, ticket, DY_NOT_SETTLED, 0, true);
    }
  else if (res->now_us >= ticket->handoff_us)
    ask_carrier (res, ticket);
}

/* Tells another router what this one, as home, charged for its own requests. */
static void
send_note (DyReservations *res, DyTicket *ticket)
{
  const DyMember *witness
      = dy_members_other_home (res->members, ticket->account, NULL, res->now_us);
  DyMessage message
      = dy_reservations_holder_message (DY_MESSAGE_REPLICATE, res->policy.self_id, ticket->account);
  message.u.holder.charged_tokens = ticket->backup_tokens;
  message.u.holder.key = ticket->key;
  message.u.holder.body_hash = ticket->body_hash;
  message.u.holder.key_tokens = ticket->key_tokens;
  ticket->sent_us = res->now_us;
  if (witness)
    res->actions->send (res->ctx, witness->name, &message);
}

static void
check_noting (DyReservations *res, DyTicket *ticket)
{
  bool written = dy_ledger_written_tokens (dy_reservations_home_ledger (res), ticket->account,
                                           res->policy.self_id)
                 >= ticket->backup_tokens;
  bool has_witness = dy_members_other_home (res->members, ticket->account, NULL, res->now_us);
  bool late = res->now_us >= ticket->deadline_us;
  /* What the platform holds needs no other witness, but for the key, of which it holds nothing. */
  if (written && (late || !has_witness || !dy_reservations_has_key (&ticket->key)))
    end_settling (res, ticket, DY_OK, ticket->used_tokens, false);
  else if (late)
    end_settling (res, ticket, DY_NOT_SETTLED, 0, false);
  else if (res->now_us - ticket->sent_us >= RESEND_US)
    send_note (res, ticket);
}

/* Returns what the requests of this router as home have charged and may yet charge. */
static int64_t
own_tokens_at_most (DyReservations *res, const char *account)
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
  ticket->backup_tokens = own_tokens_at_most (res, ticket->account);
  send_note (res, ticket);
}

/* The witness has not answered yet: asks all members, and gives the reservation back in the end. */
static void
check_witnessing (DyReservations *res, DyTicket *ticket)
{
  if (res->now_us >= ticket->deadline_us)
    {
      int64_t charged_tokens;
      dy_reservations_end_reservation (res, dy_reservations_home_ledger (res), ticket->account,
                                       &ticket->id, 0, DY_END_NOT_RUN, &charged_tokens);
      dy_reservations_end_reserving (res, ticket, DY_BUDGET_UNAVAILABLE);
      return;
    }
  if (res->now_us - ticket->sent_us < WITNESS_US)
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
    check_noting (res, ticket);
  else if (ticket->state == TICKET_REPLICATING)
    check_witnessing (res, ticket);
  else if (ticket->awaits_home)
    dy_reservations_start_reserving (res, ticket);
  else if (!dy_reservations_is_remote (ticket))
    return;
  else if (ticket->state == TICKET_RESERVING && res->now_us >= ticket->deadline_us)
    give_up (res, ticket);
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

/* Ends the request whose charge the NOTED message covers. */
static void
end_noted (DyReservations *res, DyTicket *ticket, const DyMessage *message)
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
  dy_reservations_each_ticket (res, end_noted, message);
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
      /* The witness has known of it at its most since it was reserved. */
      end_settling (res, ticket, DY_OK, charged_tokens, false);
      return;
    }
  ticket->backup_tokens = usage->charged_tokens;
  DyMessage known = { .type = DY_MESSAGE_KEY_STATE };
  dy_register_look_up (&res->reg, &ticket->key, &known);
  ticket->key_tokens = known.u.key.charged_tokens;
  send_note (res, ticket);
}

void
dy_reservations_check_lost_home (DyReservations *res, DyTicket *ticket, const DyMessage *message)
{
  (void) message;
  if (ticket->state != TICKET_RESERVING || !dy_reservations_is_remote (ticket))
    return;
  const DyMember *home = dy_members_find (res->members, ticket->home);
  if (!home || home->incarnation_id != ticket->home_id)
    leave_home (res, ticket);
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
