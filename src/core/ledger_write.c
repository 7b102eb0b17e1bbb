#include "core/ledger_private.h"

#include "kernel/error.h"

#include <string.h>

enum
{
  /* Shortest time between two reads of an entry whose budget does not cover the waiters. */
  RECHECK_US = 200 * 1000,
  RECALL_WAIT_US = 150 * 1000, /* recalled holders have written their returns by then */
  /* Time after a failed recall in which another one is not expected to succeed. */
  RECALL_INTERVAL_US = 1000 * 1000,
  NON_HOME_IDLE_US = 1500 * 1000, /* idle time after which a router returns the grant of an account
                                     whose home it is not */
  MIN_AHEAD_PERCENT = 1, /* of what was paid, granted ahead whatever other holders have unsettled */
};

static void
start_read (DyLedger *ledger, DyLedgerAccount *acct, int64_t now_us)
{
  acct->operation = OPERATION_READ;
  acct->operation_start_us = now_us;
  acct->read_us = now_us;
  ledger->actions->read (ledger->ctx, acct->name);
}

static void
mark_unresolved (DyLedgerAccount *acct, int64_t granted_tokens)
{
  if (!acct->unresolved || granted_tokens < acct->unresolved_granted_tokens)
    acct->unresolved_granted_tokens = granted_tokens;
  acct->unresolved = true;
}

static void
write_own_row (const DyLedger *ledger, DyLedgerAccount *acct, int64_t granted_tokens, bool close)
{
  DyLedgerRow *row = dy_ledger_entry_row (&acct->pending, ledger->holder_id);
  GHashTableIter iter;
  gpointer origin_id;
  gpointer tokens;
  if (!row && granted_tokens == 0)
    return;
  if (!row)
    row = dy_ledger_entry_add_row (&acct->pending, ledger->holder_id, ledger->holder_name);
  row->granted_tokens = granted_tokens;
  row->seq = ++acct->last_seq;
  g_hash_table_iter_init (&iter, acct->spent_by_origin);
  while (g_hash_table_iter_next (&iter, &origin_id, &tokens))
    dy_ledger_entry_raise_part (&acct->pending, ledger->holder_id, *(uint64_t *) origin_id,
                                *(int64_t *) tokens);
  if (close)
    dy_ledger_entry_close_row (&acct->pending, ledger->holder_id);
}

static void
raise_parts (DyLedgerEntry *entry, const Change *change)
{
  for (guint i = 0; i < change->totals->len; i++)
    {
      const DyLedgerPart *part = &g_array_index (change->totals, DyLedgerPart, i);
      dy_ledger_entry_raise_part (entry, change->holder_id, part->origin_id, part->settled_tokens);
    }
}

static void
write_changes (DyLedgerAccount *acct)
{
  for (guint i = 0; i < acct->changes->len; i++)
    {
      const Change *change = &g_array_index (acct->changes, Change, i);
      raise_parts (&acct->pending, change);
      if (change->close)
        dy_ledger_entry_close_row (&acct->pending, change->holder_id);
    }
}

/* Writes the own row with GRANTED_TOKENS and all spent tokens, and the pending changes of other
 * rows. CLOSE: closes the own row. An entry that would be invalid is read again instead. */
static void
start_write (
    DyLedger *ledger, DyLedgerAccount *acct, int64_t granted_tokens, bool close, int64_t now_us)
{
  dy_ledger_entry_copy (&acct->pending, &acct->entry);
  write_own_row (ledger, acct, granted_tokens, close);
  write_changes (acct);
  dy_ledger_prepare_ceilings (ledger, acct, now_us);
  if (!dy_ledger_entry_valid (&acct->pending))
    {
      acct->has_entry = false;
      acct->retry_us = now_us + RECHECK_US;
      return;
    }
  mark_unresolved (acct, granted_tokens);
  acct->operation = OPERATION_WRITE;
  acct->operation_start_us = now_us;
  ledger->actions->write (ledger->ctx, acct->name, acct->version, &acct->pending);
}

/* Returns the part of SPARE_TOKENS that this holder keeps granted for a platform outage. */
static int64_t
idle_grant_tokens (const DyLedger *ledger, int64_t spare_tokens)
{
  return ledger->draining ? 0 : spare_tokens * ledger->policy.float_percent / 100;
}

/* Returns the unreserved tokens of its grant that an idle holder retains. */
static int64_t
retained_tokens (const DyLedger *ledger, const DyLedgerAccount *acct)
{
  int64_t spare = dy_ledger_entry_free_tokens (&acct->entry) + dy_ledger_available_tokens (acct);
  return MIN (idle_grant_tokens (ledger, spare), dy_ledger_available_tokens (acct));
}

/* Returns the most that may be granted ahead of demand. The row of a holder that dies may withhold
 * it for good, so it gets smaller with what other holders have unsettled. */
static int64_t
most_ahead_tokens (const DyLedger *ledger, const DyLedgerAccount *acct)
{
  int64_t paid = acct->entry.paid_tokens;
  return MAX (paid * ledger->policy.unsettled_percent / 100
                  - dy_ledger_others_unsettled_tokens (ledger, acct),
              paid * MIN_AHEAD_PERCENT / 100);
}

/* Returns the tokens to be granted ahead of demand when SPARE_TOKENS remain beyond the waiters. */
static int64_t
ahead_tokens (const DyLedger *ledger, const DyLedgerAccount *acct, int64_t spare_tokens)
{
  const DyLedgerPolicy *policy = &ledger->policy;
  double demand
      = (double) dy_ledger_demand_below (acct, DY_LEDGER_RANKS) * (double) policy->horizon_us / 1e6;
  int64_t ahead = MAX (policy->minimum_tokens, (int64_t) demand);
  ahead = MIN (MAX (ahead, idle_grant_tokens (ledger, spare_tokens)),
               spare_tokens * policy->percent / 100);
  ahead = MIN (ahead, spare_tokens - dy_ledger_kept_tokens (ledger, acct, 1));
  return CLAMP (ahead, 0, most_ahead_tokens (ledger, acct));
}

/* Returns the grant that covers the spent and reserved tokens and, as far as the policy's share of
 * the free budget allows, the demand of the horizon. */
static int64_t
renewed_grant_tokens (const DyLedger *ledger, const DyLedgerAccount *acct, int64_t now_us)
{
  const DyLedgerPolicy *policy = &ledger->policy;
  double demand
      = (double) dy_ledger_demand_below (acct, DY_LEDGER_RANKS) * (double) policy->horizon_us / 1e6;
  int64_t available = MAX (dy_ledger_available_tokens (acct), 0);
  int64_t spare = dy_ledger_entry_free_tokens (&acct->entry) + available;
  int64_t ahead
      = MIN (MAX (policy->minimum_tokens, (int64_t) demand), spare * policy->percent / 100);
  ahead = MIN (ahead, spare - dy_ledger_kept_tokens (ledger, acct, 1));
  ahead = CLAMP (ahead, 0, most_ahead_tokens (ledger, acct));
  ahead = MIN (ahead, available + dy_ledger_grantable_tokens (ledger, acct, now_us));
  return acct->spent_tokens + acct->reserved_tokens + ahead;
}

/* Returns the grant for a write that is due for another reason, such as settled tokens. */
static int64_t
next_grant_tokens (const DyLedger *ledger, const DyLedgerAccount *acct, int64_t now_us)
{
  bool serves = !ledger->actions->serves_account
                || ledger->actions->serves_account (ledger->ctx, acct->name);
  if (!ledger->policy.renews_grant || !serves || ledger->draining || acct->recall_received
      || acct->waiters.length > 0)
    return acct->row.granted_tokens;
  return renewed_grant_tokens (ledger, acct, now_us);
}

/* Returns the tokens by which the grant must grow to serve waiters in order. A waiter that the
 * remainder of the grant and of FREE_TOKENS does not cover is skipped. */
static int64_t
missing_tokens (const DyLedger *ledger, const DyLedgerAccount *acct, int64_t free_tokens)
{
  int64_t remaining = dy_ledger_available_tokens (acct) + free_tokens;
  int64_t spare = dy_ledger_spare_tokens (acct);
  int64_t sum = 0;
  for (const GList *link = acct->waiters.head; link; link = link->next)
    {
      const Waiter *waiter = link->data;
      if (!dy_ledger_fits (ledger, acct, waiter, remaining, spare))
        continue;
      remaining -= waiter->tokens;
      spare -= waiter->tokens;
      sum += waiter->tokens;
    }
  return sum - dy_ledger_available_tokens (acct);
}

/* Returns whether the entry was read after other holders were asked to return tokens and had time
 * to, so waiting longer would not help. */
static bool
has_recall_failed (const DyLedger *ledger, const DyLedgerAccount *acct)
{
  return ledger->policy.refuses_early && acct->recalled_us > 0
         && acct->read_us - acct->recalled_us >= RECALL_WAIT_US;
}

/* Refuses waiters that cannot be served soon, when the policy says so. */
static void
refuse_early (DyLedger *ledger, DyLedgerAccount *acct, int64_t now_us)
{
  if (!ledger->policy.refuses_early || acct->waiters.length == 0)
    return;
  if (acct->failing)
    dy_ledger_refuse_beyond (ledger, acct, 0, DY_BUDGET_UNAVAILABLE);
  else if (acct->has_entry && now_us < acct->scarce_until_us)
    dy_ledger_refuse_beyond (ledger, acct, dy_ledger_grantable_tokens (ledger, acct, now_us),
                             DY_BUDGET_RESERVED);
}

static void
extend_grant (DyLedger *ledger, DyLedgerAccount *acct, int64_t now_us)
{
  int64_t free_tokens = dy_ledger_grantable_tokens (ledger, acct, now_us);
  int64_t missing = missing_tokens (ledger, acct, free_tokens);
  if (missing > 0)
    {
      int64_t spare = dy_ledger_entry_free_tokens (&acct->entry) - missing;
      int64_t ahead = MIN (ahead_tokens (ledger, acct, spare), free_tokens - missing);
      start_write (ledger, acct, acct->row.granted_tokens + missing + ahead, false, now_us);
      return;
    }
  dy_ledger_serve_waiters (ledger, acct, true);
  dy_ledger_refuse_uncovered (ledger, acct);
  if (acct->waiters.length > 0 && has_recall_failed (ledger, acct))
    {
      acct->recalled_us = 0;
      acct->scarce_until_us = now_us + RECALL_INTERVAL_US;
      dy_ledger_refuse_beyond (ledger, acct, free_tokens, DY_BUDGET_RESERVED);
    }
  if (acct->waiters.length == 0 || now_us - acct->read_us < RECHECK_US)
    return;
  start_read (ledger, acct, now_us);
  if (acct->recalled_us == 0)
    acct->recalled_us = now_us;
  if (dy_ledger_entry_outstanding_tokens (&acct->entry)
      > acct->row.granted_tokens - acct->row.settled_tokens)
    ledger->actions->recall (ledger->ctx, acct->name, &acct->entry);
}

static bool
needs_settling (const DyLedger *ledger, const DyLedgerAccount *acct, int64_t now_us)
{
  if (acct->spent_tokens == acct->row.settled_tokens)
    return false;
  bool last = ledger->draining && (acct->reserved_tokens == 0 || !ledger->policy.renews_grant);
  return last || acct->recall_received
         || now_us - acct->written_us >= ledger->policy.settle_interval_us;
}

/* Returns whether this holder needs no grant beyond its open reservations. */
static bool
needs_no_grant (const DyLedger *ledger, const DyLedgerAccount *acct, int64_t now_us)
{
  if (!ledger->policy.renews_grant || !ledger->actions->serves_account)
    return false;
  if (ledger->draining)
    return acct->reserved_tokens > 0;
  return now_us - acct->last_use_us >= NON_HOME_IDLE_US
         && !ledger->actions->serves_account (ledger->ctx, acct->name);
}

static bool
needs_return (const DyLedger *ledger, const DyLedgerAccount *acct, int64_t now_us)
{
  if (acct->recall_received)
    return dy_ledger_available_tokens (acct) > 0 && (acct->waiters.length == 0 || acct->yields);
  if (needs_no_grant (ledger, acct, now_us))
    return dy_ledger_available_tokens (acct) > 0 && acct->waiters.length == 0;
  if (acct->reserved_tokens > 0 || acct->waiters.length > 0)
    return false;
  if (ledger->draining)
    return acct->row.seq > 0;
  return dy_ledger_available_tokens (acct) > retained_tokens (ledger, acct)
         && now_us - acct->last_use_us >= ledger->policy.idle_return_us;
}

static void
return_surplus (DyLedger *ledger, DyLedgerAccount *acct, int64_t now_us)
{
  bool close = ledger->draining && acct->reserved_tokens == 0;
  bool all = acct->recall_received || needs_no_grant (ledger, acct, now_us);
  int64_t retained = all ? 0 : retained_tokens (ledger, acct);
  start_write (ledger, acct, acct->spent_tokens + acct->reserved_tokens + retained, close, now_us);
}

void
dy_ledger_step (DyLedger *ledger, DyLedgerAccount *acct, int64_t now_us)
{
  acct->step_us = now_us;
  dy_ledger_serve_waiters (ledger, acct, false);
  refuse_early (ledger, acct, now_us);
  if (acct->operation != OPERATION_NONE || now_us < acct->retry_us)
    return;
  bool returning = needs_return (ledger, acct, now_us);
  bool writing = returning || needs_settling (ledger, acct, now_us) || acct->changes->len > 0
                 || acct->reasserting || dy_ledger_can_release (ledger, acct);
  /* An unresolved write makes tokens unavailable until a read shows its outcome. */
  bool resolving = (acct->unresolved || acct->releasing) && !acct->has_entry;
  if (acct->waiters.length == 0 && !writing && !resolving)
    return;
  if (!acct->has_entry)
    {
      start_read (ledger, acct, now_us);
      return;
    }
  if (acct->waiters.length > 0 && !acct->yields)
    extend_grant (ledger, acct, now_us);
  if (acct->operation != OPERATION_NONE || !writing)
    return;
  if (returning)
    return_surplus (ledger, acct, now_us);
  else
    start_write (ledger, acct, next_grant_tokens (ledger, acct, now_us), false, now_us);
}

void
dy_ledger_end_operation (DyLedgerAccount *acct, bool failed, GRand *rng, int64_t now_us)
{
  acct->operation = OPERATION_NONE;
  acct->failing = failed;
  if (failed)
    {
      acct->retry_us = now_us + dy_backoff_next_us (&acct->backoff, rng);
      return;
    }
  dy_backoff_reset (&acct->backoff);
  acct->verified_us = acct->operation_start_us;
}

static bool
is_applied (const DyLedgerEntry *entry, const Change *change)
{
  const DyLedgerRow *row = dy_ledger_entry_row (entry, change->holder_id);
  /* Parts are raised no further than the grant. */
  if (!row || (!change->close && row->settled_tokens == row->granted_tokens))
    return true;
  for (guint i = 0; i < change->totals->len; i++)
    {
      const DyLedgerPart *part = &g_array_index (change->totals, DyLedgerPart, i);
      if (dy_ledger_entry_part (entry, change->holder_id, part->origin_id) < part->settled_tokens)
        return false;
    }
  return !change->close;
}

/* Drops the changes that the entry already contains and reports them as recovered. */
static void
drop_applied_changes (DyLedger *ledger, DyLedgerAccount *acct)
{
  for (guint i = acct->changes->len; i > 0; i--)
    {
      Change change = g_array_index (acct->changes, Change, i - 1);
      if (!is_applied (&acct->entry, &change))
        continue;
      g_array_unref (change.totals);
      g_array_remove_index (acct->changes, i - 1);
      ledger->actions->recovered (ledger->ctx, acct->name, change.holder_id);
    }
}

/* Updates the own row from the entry. */
static void
adopt_row (DyLedger *ledger, DyLedgerAccount *acct)
{
  const DyLedgerRow *row = dy_ledger_entry_row (&acct->entry, ledger->holder_id);
  if (row)
    {
      acct->row = *row;
      return;
    }
  /* The row does not exist or was closed: none of its grant remains to be spent. */
  memset (&acct->row, 0, sizeof acct->row);
  acct->row.granted_tokens = acct->spent_tokens;
  acct->row.settled_tokens = acct->spent_tokens;
}

void
dy_ledger_reset_closed_row (DyLedgerAccount *acct)
{
  if (acct->row.seq > 0 || acct->reserved_tokens > 0)
    return;
  acct->spent_tokens = 0;
  g_hash_table_remove_all (acct->spent_by_origin);
  acct->row.granted_tokens = 0;
  acct->row.settled_tokens = 0;
}

void
dy_ledger_adopt_entry (DyLedger *ledger, DyLedgerAccount *acct)
{
  adopt_row (ledger, acct);
  drop_applied_changes (ledger, acct);
}

void
dy_ledger_on_missing_entry (DyLedger *ledger, DyLedgerAccount *acct)
{
  dy_ledger_entry_finish (&acct->entry);
  dy_ledger_entry_init (&acct->entry);
  acct->version = 0;
  adopt_row (ledger, acct);
  drop_applied_changes (ledger, acct);
  acct->has_entry = true;
  dy_ledger_refuse_uncovered (ledger, acct);
  acct->has_entry = false;
}
