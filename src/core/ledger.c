#include "core/ledger_private.h"

#include "kernel/error.h"

#include <string.h>
#include <xxhash.h>

enum
{
  EVICT_INTERVAL_US = 10 * 1000 * 1000,
};

static gboolean
is_evictable (gpointer key, gpointer value, gpointer ctx)
{
  const Reservation *reservation = value;
  const Tick *tick = ctx;
  (void) key;
  const uint64_t *oldest_open
      = g_hash_table_lookup (tick->ledger->oldest_open, &reservation->id.origin_id);
  return reservation->settled && oldest_open && reservation->id.number < *oldest_open;
}

static void
tick_account (gpointer key, gpointer value, gpointer ctx)
{
  DyLedgerAccount *acct = value;
  Tick *tick = ctx;
  (void) key;
  dy_ledger_step (tick->ledger, acct, tick->now_us);
  dy_ledger_expire_waiters (tick->ledger, acct, tick->now_us);
  if (tick->evict)
    g_hash_table_foreach_remove (acct->reservations, is_evictable, tick);
}

guint
dy_request_id_hash (gconstpointer key)
{
  return (guint) XXH3_64bits (key, sizeof (DyRequestId));
}

gboolean
dy_request_id_equal (gconstpointer a, gconstpointer b)
{
  return memcmp (a, b, sizeof (DyRequestId)) == 0;
}

void
dy_ledger_init (DyLedger *ledger,
                uint64_t holder_id,
                const char *holder_name,
                uint32_t seed,
                const DyLedgerPolicy *policy,
                const DyLedgerActions *actions,
                void *ctx)
{
  memset (ledger, 0, sizeof *ledger);
  ledger->holder_id = holder_id;
  g_strlcpy (ledger->holder_name, holder_name, sizeof ledger->holder_name);
  ledger->policy = *policy;
  ledger->actions = actions;
  ledger->ctx = ctx;
  ledger->rng = g_rand_new_with_seed (seed);
  ledger->accounts = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, dy_ledger_free_account);
  ledger->oldest_open = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  ledger->results = g_array_new (FALSE, FALSE, sizeof (Result));
}

void
dy_ledger_finish (DyLedger *ledger)
{
  g_hash_table_unref (ledger->accounts);
  g_array_unref (ledger->results);
  g_hash_table_unref (ledger->oldest_open);
  g_rand_free (ledger->rng);
  memset (ledger, 0, sizeof *ledger);
}

void
dy_ledger_raise_paid (DyLedger *ledger, const char *account, int64_t paid_tokens)
{
  DyLedgerAccount *acct = dy_ledger_find_account (ledger, account);
  if (acct && acct->has_entry)
    dy_ledger_entry_raise_paid (&acct->entry, paid_tokens);
}

void
dy_ledger_reserve (DyLedger *ledger,
                   const char *account,
                   const DyRequestId *id,
                   int64_t tokens,
                   uint32_t rank,
                   int64_t deadline_us,
                   int64_t now_us)
{
  DyLedgerAccount *acct = dy_ledger_get_account (ledger, account, now_us);
  GList *link;
  if (dy_ledger_find_waiter (acct, id, &link))
    return;
  bool held = g_hash_table_contains (acct->reservations, id);
  if (held || ledger->draining)
    {
      dy_ledger_queue_result (ledger, id, held ? DY_OK : DY_DRAINING);
      dy_ledger_send_results (ledger);
      return;
    }
  rank = MIN (rank, DY_LEDGER_RANKS - 1U);
  dy_ledger_count_demand (acct, tokens, rank, now_us);
  Waiter *waiter = g_new (Waiter, 1);
  *waiter = (Waiter){
    .id = *id, .tokens = tokens, .rank = rank, .arrived_us = now_us, .deadline_us = deadline_us
  };
  g_queue_push_tail (&acct->waiters, waiter);
  dy_ledger_step (ledger, acct, now_us);
  dy_ledger_send_results (ledger);
}

int
dy_ledger_settle (DyLedger *ledger,
                  const char *account,
                  const DyRequestId *id,
                  int64_t used_tokens,
                  int64_t now_us)
{
  DyLedgerAccount *acct = dy_ledger_find_account (ledger, account);
  GList *link;
  if (!acct)
    return DY_NOT_FOUND;
  if (dy_ledger_find_waiter (acct, id, &link))
    {
      dy_ledger_drop_waiter (acct, link);
      return DY_OK;
    }
  Reservation *reservation = g_hash_table_lookup (acct->reservations, id);
  if (!reservation)
    return DY_NOT_FOUND;
  if (reservation->settled)
    return DY_OK;
  acct->reserved_tokens -= reservation->tokens;
  acct->last_use_us = now_us;
  reservation->settled = true;
  reservation->spent_tokens = CLAMP (used_tokens, 0, reservation->tokens);
  dy_ledger_spend (acct, id->origin_id, reservation->spent_tokens);
  dy_ledger_step (ledger, acct, now_us);
  dy_ledger_send_results (ledger);
  return DY_OK;
}

bool
dy_ledger_is_settled (const DyLedger *ledger,
                      const char *account,
                      const DyRequestId *id,
                      int64_t *spent_tokens)
{
  const DyLedgerAccount *acct = dy_ledger_find_account (ledger, account);
  const Reservation *reservation = acct ? g_hash_table_lookup (acct->reservations, id) : NULL;
  if (!reservation || !reservation->settled)
    return false;
  *spent_tokens = reservation->spent_tokens;
  return true;
}

int64_t
dy_ledger_written_tokens (const DyLedger *ledger, const char *account, uint64_t origin_id)
{
  const DyLedgerAccount *acct = dy_ledger_find_account (ledger, account);
  return acct ? dy_ledger_entry_part (&acct->entry, ledger->holder_id, origin_id) : 0;
}

int64_t
dy_ledger_reserved_tokens (const DyLedger *ledger, const char *account)
{
  const DyLedgerAccount *acct = dy_ledger_find_account (ledger, account);
  return acct ? acct->reserved_tokens : 0;
}

void
dy_ledger_raise_oldest_open (DyLedger *ledger, uint64_t origin_id, uint64_t number)
{
  uint64_t *oldest = g_hash_table_lookup (ledger->oldest_open, &origin_id);
  if (oldest)
    *oldest = MAX (*oldest, number);
  else
    g_hash_table_insert (ledger->oldest_open, g_memdup2 (&origin_id, sizeof origin_id),
                         g_memdup2 (&number, sizeof number));
}

void
dy_ledger_recover (DyLedger *ledger,
                   const char *account,
                   uint64_t holder_id,
                   GArray *totals,
                   bool close,
                   int64_t now_us)
{
  DyLedgerAccount *acct = dy_ledger_get_account (ledger, account, now_us);
  Change change = { .holder_id = holder_id, .totals = totals, .close = close };
  g_array_append_val (acct->changes, change);
  /* The known entry may predate the row. */
  acct->has_entry = false;
  dy_ledger_step (ledger, acct, now_us);
  dy_ledger_send_results (ledger);
}

void
dy_ledger_recall (DyLedger *ledger, const char *account, uint64_t requester_id, int64_t now_us)
{
  DyLedgerAccount *acct = dy_ledger_find_account (ledger, account);
  if (!acct)
    return;
  acct->recall_received = true;
  acct->yields = acct->yields || requester_id > ledger->holder_id;
  dy_ledger_step (ledger, acct, now_us);
  acct->recall_received = acct->recall_received
                          && (dy_ledger_available_tokens (acct) > 0
                              || acct->spent_tokens != acct->row.settled_tokens);
  /* Without tokens to return this holder must not yield: only a write resets yields, and none would
   * follow. */
  acct->yields = acct->yields && acct->recall_received;
  dy_ledger_send_results (ledger);
}

void
dy_ledger_end_origin (DyLedger *ledger, uint64_t origin_id, bool charge, int64_t now_us)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, ledger->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      dy_ledger_end_reservations (value, origin_id, charge);
      dy_ledger_step (ledger, value, now_us);
    }
  dy_ledger_send_results (ledger);
}

void
dy_ledger_on_platform_reachable (DyLedger *ledger, int64_t now_us)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, ledger->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      DyLedgerAccount *acct = value;
      acct->failing = false;
      acct->retry_us = now_us;
      dy_ledger_step (ledger, acct, now_us);
    }
  dy_ledger_send_results (ledger);
}

void
dy_ledger_on_read (DyLedger *ledger,
                   const char *account,
                   int error,
                   uint64_t version,
                   const DyLedgerEntry *entry,
                   int64_t now_us)
{
  DyLedgerAccount *acct = dy_ledger_find_account (ledger, account);
  if (!acct || acct->operation != OPERATION_READ)
    return;
  dy_ledger_end_operation (acct, error && error != DY_NOT_FOUND, ledger->rng, now_us);
  if (error && error != DY_NOT_FOUND)
    {
      dy_ledger_step (ledger, acct, now_us);
      dy_ledger_send_results (ledger);
      return;
    }
  if (error == DY_NOT_FOUND)
    {
      dy_ledger_on_missing_entry (ledger, acct);
      dy_ledger_send_results (ledger);
      return;
    }
  if (version != acct->version)
    acct->unresolved = false;
  dy_ledger_entry_copy (&acct->entry, entry);
  acct->version = version;
  acct->has_entry = true;
  acct->releasing = false;
  dy_ledger_adapt_read_entry (ledger, acct, now_us);
  dy_ledger_adopt_entry (ledger, acct);
  dy_ledger_step (ledger, acct, now_us);
  dy_ledger_send_results (ledger);
}

void
dy_ledger_on_write (
    DyLedger *ledger, const char *account, int error, uint64_t version, int64_t now_us)
{
  DyLedgerAccount *acct = dy_ledger_find_account (ledger, account);
  if (!acct || acct->operation != OPERATION_WRITE)
    return;
  /* A conflict is not a platform failure; the next step reads the current entry. */
  dy_ledger_end_operation (acct, error && error != DY_CONFLICT, ledger->rng, now_us);
  if (error)
    {
      acct->has_entry = false;
      dy_ledger_step (ledger, acct, now_us);
      dy_ledger_send_results (ledger);
      return;
    }
  dy_ledger_entry_copy (&acct->entry, &acct->pending);
  acct->version = version;
  acct->unresolved = false;
  acct->written_us = now_us;
  acct->recall_received = false;
  acct->yields = false;
  dy_ledger_on_written_entry (acct, now_us);
  dy_ledger_adopt_entry (ledger, acct);
  dy_ledger_reset_closed_row (acct);
  dy_ledger_step (ledger, acct, now_us);
  dy_ledger_send_results (ledger);
}

void
dy_ledger_tick (DyLedger *ledger, int64_t now_us)
{
  Tick tick = { ledger, now_us, now_us - ledger->evicted_us >= EVICT_INTERVAL_US };
  if (tick.evict)
    ledger->evicted_us = now_us;
  g_hash_table_foreach (ledger->accounts, tick_account, &tick);
  dy_ledger_send_results (ledger);
}

void
dy_ledger_drain (DyLedger *ledger, int64_t now_us)
{
  ledger->draining = true;
  dy_ledger_tick (ledger, now_us);
}

bool
dy_ledger_busy (const DyLedger *ledger)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, ledger->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const DyLedgerAccount *acct = value;
      if (acct->spent_tokens != acct->row.settled_tokens || acct->reserved_tokens > 0
          || acct->changes->len > 0 || (ledger->draining && acct->row.seq > 0))
        return true;
    }
  return false;
}

void
dy_ledger_visit (const DyLedger *ledger,
                 void (*visit) (void *ctx, const DyLedgerView *view),
                 void *ctx)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, ledger->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const DyLedgerAccount *acct = value;
      DyLedgerView view = { .account = acct->name,
                            .granted_tokens = acct->row.granted_tokens,
                            .spent_tokens = acct->spent_tokens,
                            .reserved_tokens = acct->reserved_tokens,
                            .unwritten_tokens = acct->spent_tokens - acct->row.settled_tokens,
                            .n_waiting = acct->waiters.length };
      visit (ctx, &view);
    }
}
