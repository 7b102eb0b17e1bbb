#include "core/ledger_private.h"

#include "kernel/error.h"

#include <string.h>

enum
{
  RETRY_MIN_US = 20 * 1000,
  RETRY_MAX_US = 1000 * 1000,
  RATE_WINDOW_US = 1000 * 1000,
  /* Time over which tokens kept for streams that were lost with the former home are released. */
  RESUME_US = 12 * 1000 * 1000,
};

void
dy_ledger_free_account (gpointer data)
{
  DyLedgerAccount *acct = data;
  dy_ledger_entry_finish (&acct->entry);
  dy_ledger_entry_finish (&acct->pending);
  g_hash_table_unref (acct->reservations);
  g_hash_table_unref (acct->spent_by_origin);
  for (guint i = 0; i < acct->changes->len; i++)
    g_array_unref (g_array_index (acct->changes, Change, i).totals);
  g_array_unref (acct->changes);
  g_array_unref (acct->seen_ceilings);
  g_queue_clear_full (&acct->waiters, g_free);
  g_free (acct->name);
  g_free (acct);
}

DyLedgerAccount *
dy_ledger_find_account (const DyLedger *ledger, const char *name)
{
  return g_hash_table_lookup (ledger->accounts, name);
}

DyLedgerAccount *
dy_ledger_get_account (DyLedger *ledger, const char *name, int64_t now_us)
{
  DyLedgerAccount *acct = dy_ledger_find_account (ledger, name);
  if (acct)
    return acct;
  acct = g_new0 (DyLedgerAccount, 1);
  acct->name = g_strdup (name);
  dy_ledger_entry_init (&acct->entry);
  dy_ledger_entry_init (&acct->pending);
  acct->reservations
      = g_hash_table_new_full (dy_request_id_hash, dy_request_id_equal, NULL, g_free);
  acct->spent_by_origin = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  acct->changes = g_array_new (FALSE, FALSE, sizeof (Change));
  acct->seen_ceilings = g_array_new (FALSE, FALSE, sizeof (SeenCeiling));
  g_queue_init (&acct->waiters);
  dy_backoff_init (&acct->backoff, RETRY_MIN_US, RETRY_MAX_US);
  acct->verified_us = INT64_MIN;
  acct->created_us = now_us;
  acct->step_us = now_us;
  acct->window_start_us = now_us;
  acct->last_use_us = now_us;
  acct->written_us = now_us;
  g_hash_table_insert (ledger->accounts, acct->name, acct);
  return acct;
}

int64_t
dy_ledger_available_tokens (const DyLedgerAccount *acct)
{
  int64_t granted = acct->row.granted_tokens;
  if (acct->unresolved)
    granted = MIN (granted, acct->unresolved_granted_tokens);
  return granted - acct->spent_tokens - acct->reserved_tokens;
}

void
dy_ledger_count_demand (DyLedgerAccount *acct, int64_t tokens, uint32_t rank, int64_t now_us)
{
  int64_t elapsed_us = now_us - acct->window_start_us;
  if (elapsed_us >= RATE_WINDOW_US)
    {
      for (int i = 0; i < DY_LEDGER_RANKS; i++)
        {
          int64_t rate = (int64_t) ((double) acct->window_tokens[i] * 1e6 / (double) elapsed_us);
          acct->rate_tokens_per_s[i] = (acct->rate_tokens_per_s[i] + rate) / 2;
          acct->window_tokens[i] = 0;
        }
      acct->window_start_us = now_us;
    }
  acct->window_tokens[rank] += tokens;
  acct->last_use_us = now_us;
}

int64_t
dy_ledger_demand_below (const DyLedgerAccount *acct, uint32_t rank)
{
  int64_t tokens_per_s = 0;
  for (uint32_t i = 0; i < rank; i++)
    tokens_per_s += acct->rate_tokens_per_s[i];
  return tokens_per_s;
}

int64_t
dy_ledger_headroom_tokens (const DyLedger *ledger, const DyLedgerAccount *acct, uint32_t rank)
{
  double seconds = (double) ledger->policy.urgent_headroom_us / 1e6;
  int64_t demand = dy_ledger_demand_below (acct, rank);
  /* Rank 0 has the kept tokens instead. */
  if (ledger->policy.first_rank_percent > 0)
    demand -= dy_ledger_demand_below (acct, MIN (rank, 1));
  return (int64_t) ((double) demand * seconds);
}

int64_t
dy_ledger_others_unsettled_tokens (const DyLedger *ledger, const DyLedgerAccount *acct)
{
  const DyLedgerRow *own = dy_ledger_entry_row (&acct->entry, ledger->holder_id);
  return dy_ledger_entry_outstanding_tokens (&acct->entry)
         - (own ? own->granted_tokens - own->settled_tokens : 0);
}

int64_t
dy_ledger_kept_tokens (const DyLedger *ledger, const DyLedgerAccount *acct, uint32_t rank)
{
  int64_t most = acct->entry.paid_tokens * ledger->policy.first_rank_percent / 100;
  if (rank == 0 || !acct->has_entry || acct->failing)
    return 0;
  int64_t left_us = CLAMP (acct->created_us + RESUME_US - acct->step_us, 0, RESUME_US);
  int64_t lost = MIN (dy_ledger_others_unsettled_tokens (ledger, acct),
                      (int64_t) ((double) most * (double) left_us / RESUME_US));
  return MIN (most, acct->reserved_tokens + lost);
}

int64_t
dy_ledger_spare_tokens (const DyLedgerAccount *acct)
{
  int64_t free = acct->has_entry && !acct->failing ? dy_ledger_entry_free_tokens (&acct->entry) : 0;
  return dy_ledger_available_tokens (acct) + free;
}

/* Returns whether WAITER would use up part of the headroom for more urgent requests. */
static bool
uses_headroom (const DyLedger *ledger, const DyLedgerAccount *acct, const Waiter *waiter)
{
  int64_t headroom = dy_ledger_headroom_tokens (ledger, acct, waiter->rank);
  return headroom > 0 && (acct->has_entry || acct->failing)
         && dy_ledger_spare_tokens (acct) - waiter->tokens < headroom;
}

bool
dy_ledger_fits (const DyLedger *ledger,
                const DyLedgerAccount *acct,
                const Waiter *waiter,
                int64_t remaining_tokens,
                int64_t spare_tokens)
{
  int64_t kept = dy_ledger_kept_tokens (ledger, acct, waiter->rank);
  return waiter->tokens <= remaining_tokens && (kept == 0 || waiter->tokens <= spare_tokens - kept);
}

static void
add_reservation (DyLedgerAccount *acct, const DyRequestId *id, int64_t tokens)
{
  Reservation *reservation = g_new0 (Reservation, 1);
  reservation->id = *id;
  reservation->tokens = tokens;
  acct->reserved_tokens += tokens;
  g_hash_table_insert (acct->reservations, &reservation->id, reservation);
}

void
dy_ledger_queue_result (DyLedger *ledger, const DyRequestId *id, int error)
{
  Result result = { .id = *id, .error = error };
  g_array_append_val (ledger->results, result);
}

void
dy_ledger_send_results (DyLedger *ledger)
{
  if (ledger->sending_results)
    return;
  ledger->sending_results = true;
  for (guint i = 0; i < ledger->results->len; i++)
    {
      Result result = g_array_index (ledger->results, Result, i);
      ledger->actions->reserved (ledger->ctx, &result.id, result.error);
    }
  g_array_set_size (ledger->results, 0);
  ledger->sending_results = false;
}

void
dy_ledger_drop_waiter (DyLedgerAccount *acct, GList *link)
{
  g_free (link->data);
  g_queue_delete_link (&acct->waiters, link);
}

static void
report_refusal (const DyLedger *ledger,
                const DyLedgerAccount *acct,
                const Waiter *waiter,
                int error)
{
  DyLedgerRefusal refusal
      = { .account = acct->name,
          .id = waiter->id,
          .tokens = waiter->tokens,
          .rank = waiter->rank,
          .error = error,
          .available_tokens = dy_ledger_available_tokens (acct),
          .free_tokens = acct->has_entry ? dy_ledger_entry_free_tokens (&acct->entry) : 0,
          .headroom_tokens = MAX (dy_ledger_headroom_tokens (ledger, acct, waiter->rank),
                                  dy_ledger_kept_tokens (ledger, acct, waiter->rank)),
          .verified_us = acct->verified_us,
          .failing = acct->failing };
  ledger->actions->refused (ledger->ctx, &refusal);
}

/* Removes the waiter in LINK, reserves its tokens when ERROR is DY_OK, and queues the result. */
static void
end_waiter (DyLedger *ledger, DyLedgerAccount *acct, GList *link, int error)
{
  const Waiter *waiter = link->data;
  DyRequestId id = waiter->id;
  if (error == DY_OK)
    add_reservation (acct, &id, waiter->tokens);
  else if (ledger->actions->refused)
    report_refusal (ledger, acct, waiter, error);
  dy_ledger_drop_waiter (acct, link);
  dy_ledger_queue_result (ledger, &id, error);
}

void
dy_ledger_serve_waiters (DyLedger *ledger, DyLedgerAccount *acct, bool may_pass)
{
  GList *link = acct->waiters.head;
  while (link)
    {
      GList *next = link->next;
      Waiter *waiter = link->data;
      if (uses_headroom (ledger, acct, waiter))
        end_waiter (ledger, acct, link, DY_BUDGET_RESERVED);
      else if (dy_ledger_fits (ledger, acct, waiter, dy_ledger_available_tokens (acct),
                               dy_ledger_spare_tokens (acct)))
        end_waiter (ledger, acct, link, DY_OK);
      else if (!may_pass)
        return;
      link = next;
    }
}

/* Returns whether the entry was read or written after WAITER arrived. */
static bool
is_fresh_for (const DyLedgerAccount *acct, const Waiter *waiter)
{
  return acct->has_entry && acct->verified_us >= waiter->arrived_us;
}

void
dy_ledger_refuse_uncovered (DyLedger *ledger, DyLedgerAccount *acct)
{
  int64_t settled = dy_ledger_entry_settled_tokens (&acct->entry);
  int64_t unwritten = acct->spent_tokens - acct->row.settled_tokens;
  int64_t remaining = acct->entry.paid_tokens - settled - unwritten;
  GList *link = acct->waiters.head;
  while (link)
    {
      GList *next = link->next;
      Waiter *waiter = link->data;
      if (is_fresh_for (acct, waiter) && waiter->tokens > remaining)
        end_waiter (ledger, acct, link, DY_BUDGET_SPENT);
      link = next;
    }
}

void
dy_ledger_refuse_beyond (DyLedger *ledger, DyLedgerAccount *acct, int64_t free_tokens, int error)
{
  int64_t remaining = dy_ledger_available_tokens (acct) + free_tokens;
  int64_t spare = dy_ledger_spare_tokens (acct);
  GList *link = acct->waiters.head;
  while (link)
    {
      GList *next = link->next;
      const Waiter *waiter = link->data;
      if (!dy_ledger_fits (ledger, acct, waiter, remaining, spare))
        end_waiter (ledger, acct, link, error);
      else
        {
          remaining -= waiter->tokens;
          spare -= waiter->tokens;
        }
      link = next;
    }
}

void
dy_ledger_spend (DyLedgerAccount *acct, uint64_t origin_id, int64_t tokens)
{
  int64_t *sum = g_hash_table_lookup (acct->spent_by_origin, &origin_id);
  acct->spent_tokens += tokens;
  if (sum)
    {
      *sum += tokens;
      return;
    }
  g_hash_table_insert (acct->spent_by_origin, g_memdup2 (&origin_id, sizeof origin_id),
                       g_memdup2 (&tokens, sizeof tokens));
}

void
dy_ledger_expire_waiters (DyLedger *ledger, DyLedgerAccount *acct, int64_t now_us)
{
  GList *link = acct->waiters.head;
  while (link)
    {
      GList *next = link->next;
      const Waiter *waiter = link->data;
      if (now_us >= waiter->deadline_us)
        end_waiter (ledger, acct, link,
                    is_fresh_for (acct, waiter) && !acct->failing ? DY_BUDGET_RESERVED
                                                                  : DY_BUDGET_UNAVAILABLE);
      link = next;
    }
}

bool
dy_ledger_find_waiter (DyLedgerAccount *acct, const DyRequestId *id, GList **link)
{
  for (*link = acct->waiters.head; *link; *link = (*link)->next)
    if (dy_request_id_equal (&((const Waiter *) (*link)->data)->id, id))
      return true;
  return false;
}

void
dy_ledger_end_reservations (DyLedgerAccount *acct, uint64_t origin_id, bool charge)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, acct->reservations);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Reservation *reservation = value;
      if (reservation->settled || reservation->id.origin_id != origin_id)
        continue;
      acct->reserved_tokens -= reservation->tokens;
      if (charge)
        dy_ledger_spend (acct, origin_id, reservation->tokens);
      g_hash_table_iter_remove (&iter);
    }
  GList *link = acct->waiters.head;
  while (link)
    {
      GList *next = link->next;
      const Waiter *waiter = link->data;
      if (waiter->id.origin_id == origin_id)
        dy_ledger_drop_waiter (acct, link);
      link = next;
    }
}
