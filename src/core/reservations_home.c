#include "core/reservations_private.h"

#include "kernel/error.h"

#include <string.h>

int
dy_reservations_begin (DyReservations *res, const DyMessage *reserve)
{
  DyRegisterRequest request = { .id = reserve->u.reserve.id,
                                .key = reserve->u.reserve.key,
                                .body_hash = reserve->u.reserve.body_hash,
                                .idempotent = reserve->u.reserve.idempotent };
  if (dy_quarantine_blocks (&res->quarantine, request.body_hash, res->now_us))
    return DY_QUARANTINED;
  res->has_reserved = true;
  return dy_register_begin (&res->reg, &request, res->now_us);
}

void
dy_reservations_record_crashes (DyReservations *res,
                                uint64_t body_hash,
                                uint32_t n_crashes,
                                DyRequestEnd end)
{
  if (end == DY_END_COMPLETE)
    dy_quarantine_clear (&res->quarantine, body_hash);
  else
    dy_quarantine_add (&res->quarantine, body_hash, n_crashes, res->now_us);
}

int
dy_reservations_end_reservation (DyReservations *res,
                                 DyLedger *ledger,
                                 const char *account,
                                 const DyRequestId *id,
                                 int64_t used_tokens,
                                 DyRequestEnd end,
                                 int64_t *charged_tokens)
{
  if (dy_ledger_is_settled (ledger, account, id, charged_tokens))
    return DY_OK;
  *charged_tokens = dy_register_charge (&res->reg, id, used_tokens);
  int error = dy_ledger_settle (ledger, account, id, *charged_tokens, res->now_us);
  dy_register_end (&res->reg, id, end, res->now_us);
  return error;
}

/* Sends the result of the reservation ID to the router that waits for it, if one does. */
static void
reply_to_requester (DyReservations *res, const DyRequestId *id, int error)
{
  const uint64_t *link = g_hash_table_lookup (res->requesters, id);
  if (!link)
    return;
  DyMessage message = { .type = DY_MESSAGE_RESERVED };
  message.u.result.id = *id;
  message.u.result.error = error;
  message.u.result.charged_tokens = dy_register_charged (&res->reg, id);
  res->actions->reply (res->ctx, *link, &message);
  g_hash_table_remove (res->requesters, id);
}

void
dy_reservations_on_reserved (void *ctx, const DyRequestId *id, int error)
{
  DyHolder *holder = ctx;
  DyReservations *res = holder->res;
  if (error)
    dy_register_end (&res->reg, id, DY_END_NOT_RUN, res->now_us);
  DyTicket *ticket = g_hash_table_lookup (res->tickets, id);
  if (ticket && ticket->state == TICKET_RESERVING && !dy_reservations_is_remote (ticket))
    dy_reservations_on_local_reserved (res, ticket, error);
  else if (holder->pool == DY_POOL_HOME)
    reply_to_requester (res, id, error);
}

void
dy_reservations_read_entry (void *ctx, const char *account)
{
  DyHolder *holder = ctx;
  holder->res->actions->read (holder->res->ctx, holder->pool, account);
}

void
dy_reservations_write_entry (void *ctx,
                             const char *account,
                             uint64_t version,
                             const DyLedgerEntry *entry)
{
  DyHolder *holder = ctx;
  holder->res->actions->write (holder->res->ctx, holder->pool, account, version, entry);
}

void
dy_reservations_recall_grants (void *ctx, const char *account, const DyLedgerEntry *entry)
{
  const DyHolder *holder = ctx;
  DyReservations *res = holder->res;
  uint64_t recalling_id = holder->ledger.holder_id;
  DyMessage message = dy_reservations_holder_message (DY_MESSAGE_RECALL, recalling_id, account);
  for (guint i = 0; i < entry->rows->len; i++)
    {
      const DyLedgerRow *row = &g_array_index (entry->rows, DyLedgerRow, i);
      if (strcmp (row->holder_name, res->policy.self_name) != 0)
        res->actions->send (res->ctx, row->holder_name, &message);
    }
  /* The other pool of this router may have an unused grant. */
  for (int pool = 0; pool < DY_N_POOLS; pool++)
    if (&res->holders[pool] != holder)
      dy_ledger_recall (&res->holders[pool].ledger, account, recalling_id, res->now_us);
}

void
dy_reservations_on_refused (void *ctx, const DyLedgerRefusal *refusal)
{
  const DyHolder *holder = ctx;
  const DyReservations *res = holder->res;
  if (res->actions->refused)
    res->actions->refused (res->ctx, holder->pool, refusal);
}

bool
dy_reservations_serves_account (void *ctx, const char *account)
{
  const DyHolder *holder = ctx;
  const DyReservations *res = holder->res;
  if (holder->pool == DY_POOL_HOME)
    return !dy_members_home (res->members, account, NULL, res->now_us);
  return !dy_members_other_home (res->members, account, NULL, res->now_us);
}

void
dy_reservations_admit_remote (DyReservations *res, const DyMessage *message, int error)
{
  const DyRequestId *id = &message->u.reserve.id;
  if (!error)
    error = dy_reservations_begin (res, message);
  if (error)
    reply_to_requester (res, id, error);
  else
    dy_ledger_reserve (dy_reservations_home_ledger (res), message->u.reserve.account, id,
                       message->u.reserve.tokens, message->u.reserve.rank,
                       res->now_us + message->u.reserve.wait_us, res->now_us);
}

void
dy_reservations_on_reserve_message (DyReservations *res, uint64_t link, const DyMessage *message)
{
  const DyRequestId *id = &message->u.reserve.id;
  if (message->u.reserve.home_id != res->policy.self_id)
    return;
  dy_ledger_raise_oldest_open (dy_reservations_home_ledger (res), id->origin_id,
                               message->u.reserve.oldest_open);
  g_hash_table_replace (res->requesters, g_memdup2 (id, sizeof *id),
                        g_memdup2 (&link, sizeof link));
  if (dy_reservations_must_inquire (res, message))
    dy_reservations_inquire (res, message, link);
  else
    dy_reservations_admit_remote (res, message, DY_OK);
}

void
dy_reservations_on_settle_message (DyReservations *res, uint64_t link, const DyMessage *message)
{
  const DyRequestId *id = &message->u.settle.id;
  DyMessage reply = { .type = DY_MESSAGE_SETTLED };
  int64_t charged_tokens = 0;
  /* Meant for a former incarnation of this router: no reply, as the sender will detect that it is
   * dead. */
  if (message->u.settle.home_id != res->policy.self_id)
    return;
  reply.u.result.id = *id;
  g_hash_table_remove (res->requesters, id);
  dy_inquiries_remove (&res->inquiries, id);
  dy_ledger_raise_oldest_open (dy_reservations_home_ledger (res), id->origin_id,
                               message->u.settle.oldest_open);
  if (!dy_ledger_is_settled (dy_reservations_home_ledger (res), message->u.settle.account, id,
                             &charged_tokens))
    dy_reservations_record_crashes (res, message->u.settle.body_hash, message->u.settle.n_crashes,
                                    message->u.settle.end);
  reply.u.result.error = dy_reservations_end_reservation (
      res, dy_reservations_home_ledger (res), message->u.settle.account, id,
      message->u.settle.used_tokens, message->u.settle.end, &charged_tokens);
  reply.u.result.charged_tokens = charged_tokens;
  res->actions->reply (res->ctx, link, &reply);
}
