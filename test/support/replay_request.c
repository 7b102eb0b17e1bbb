#include "support/replay_private.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

Account *
replay_find_account (Replay *replay, const char *name)
{
  return g_hash_table_lookup (replay->accounts, name);
}

static void
stop_running (Request *request)
{
  if (request->running)
    replay_find_account (request->node->replay, request->account)->running -= request->tokens;
  request->running = false;
}

static void
count_refusal (Replay *replay, const Request *request, int error)
{
  const Account *acct = replay_find_account (replay, request->account);
  bool has_budget = acct->paid - acct->answered - acct->running >= request->tokens;
  bool budget_error
      = error == DY_BUDGET_SPENT || error == DY_BUDGET_RESERVED || error == DY_BUDGET_UNAVAILABLE;
  replay->outcome.refused++;
  replay->outcome.refused_resumes += request->rank == RESUME_RANK;
  if (has_budget && budget_error)
    replay->outcome.false_refusals++;
}

static void
count_charge (Replay *replay, const Request *request, int64_t tokens)
{
  if (!request->key)
    return;
  int64_t largest
      = GPOINTER_TO_INT (g_hash_table_lookup (replay->largest_run_tokens, request->key));
  int64_t charged_so_far
      = GPOINTER_TO_INT (g_hash_table_lookup (replay->key_charged_tokens, request->key));
  g_hash_table_insert (replay->largest_run_tokens, request->key,
                       GINT_TO_POINTER ((gint) MAX (largest, request->used)));
  g_hash_table_insert (replay->key_charged_tokens, request->key,
                       GINT_TO_POINTER ((gint) (charged_so_far + tokens)));
}

static void
on_settled (void *ctx, int error, int64_t charged_tokens)
{
  Request *request = ctx;
  Replay *replay = request->node->replay;
  Account *acct = replay_find_account (replay, request->account);
  request->ticket = NULL;
  stop_running (request);
  if (error)
    {
      replay->outcome.broken++;
      acct->unconfirmed_tokens += request->used;
      return;
    }
  replay->outcome.answered++;
  acct->answered += charged_tokens;
  replay->outcome.overspend_tokens
      = MAX (replay->outcome.overspend_tokens, acct->answered + acct->delivered - acct->paid);
  count_charge (replay, request, charged_tokens);
}

static void
settle_request (Replay *replay, Event *event)
{
  Request *request = event->data;
  request->settling = true;
  dy_reservations_settle (&request->node->res, request->ticket, request->used, DY_END_COMPLETE,
                          on_settled, request, replay->now_us);
}

static void
on_reserved (void *ctx, int error, int64_t charged_tokens)
{
  Request *request = ctx;
  Replay *replay = request->node->replay;
  (void) charged_tokens;
  if (error)
    {
      request->ticket = NULL;
      count_refusal (replay, request, error);
      return;
    }
  request->running = true;
  replay_find_account (replay, request->account)->running += request->tokens;
  replay_schedule (replay, request->run_us, request->node, settle_request, request, NULL);
}

/* Counts TOKENS that a caller got before its router died. */
static void
count_delivery (Replay *replay, Account *acct, int64_t tokens)
{
  acct->delivered += tokens;
  replay->outcome.overspend_tokens
      = MAX (replay->outcome.overspend_tokens, acct->answered + acct->delivered - acct->paid);
}

void
replay_abort_requests (Replay *replay, const Node *node)
{
  for (guint i = 0; i < replay->requests->len; i++)
    {
      Request *request = g_ptr_array_index (replay->requests, i);
      if (request->node != node || request->generation != node->generation || !request->ticket)
        continue;
      request->ticket = NULL;
      replay->outcome.broken++;
      bool running = request->running;
      request->resumable = running;
      stop_running (request);
      Account *acct = replay_find_account (replay, request->account);
      if (request->settling)
        acct->unconfirmed_tokens += request->used;
      if (running && replay->policy.answers_before_settlement)
        count_delivery (replay, acct, request->used);
    }
}

void
replay_free_request (gpointer data)
{
  Request *request = data;
  g_free ((char *) request->account);
  g_free (request->key);
  g_free (request);
}

void
replay_start_request (Replay *replay, char **word, uint32_t rank)
{
  Node *node = replay_find_node (replay, word[0]);
  if (!node->up || node->draining || replay->now_us < node->ready_us)
    return;
  Request *request = g_new0 (Request, 1);
  request->node = node;
  request->generation = node->generation;
  request->account = g_strdup (word[1]);
  request->tokens = g_ascii_strtoll (word[2], NULL, 10);
  request->used = g_ascii_strtoll (word[3], NULL, 10);
  request->rank = rank;
  request->run_us = g_ascii_strtoll (word[4], NULL, 10) * MS;
  request->key = g_strdup (word[5]);
  g_ptr_array_add (replay->requests, request);
  DyReservationSpec spec = { .account = request->account,
                             .tokens = request->tokens,
                             .rank = rank,
                             .key = dy_register_hash (request->account, request->key),
                             .idempotent = true };
  if (!node->paused)
    dy_reservations_reserve (&node->res, &spec, on_reserved, request, &request->ticket,
                             replay->now_us);
}
