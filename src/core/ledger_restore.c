#include "core/ledger_private.h"

/* A store that does not state its era gives no sign of a restore, which ceilings would bound. */
static bool
has_ceilings (const DyLedger *ledger)
{
  return ledger->policy.copy_age_us > 0 && ledger->era > 0;
}

/* Returns the highest ceiling that has been in the store for so long that any copy from which the
 * store could be restored from now on states it. */
static int64_t
old_ceiling (const DyLedger *ledger, const DyLedgerAccount *acct, int64_t now_us)
{
  int64_t ceiling = acct->entry.ceiling_tokens;
  for (guint i = 0; i < acct->seen_ceilings->len; i++)
    {
      const SeenCeiling *seen = &g_array_index (acct->seen_ceilings, SeenCeiling, i);
      if (now_us - seen->seen_us < ledger->policy.copy_age_us)
        break;
      ceiling = MAX (ceiling, seen->tokens);
    }
  return ceiling;
}

/* Notes since when the next ceiling of the entry, as read or written now, is in the store. Forgets
 * those that are in force. */
static void
note_ceiling (DyLedgerAccount *acct, int64_t now_us)
{
  GArray *ceilings = acct->seen_ceilings;
  SeenCeiling seen = { acct->entry.next_ceiling_tokens, now_us };
  while (ceilings->len > 0
         && g_array_index (ceilings, SeenCeiling, 0).tokens <= acct->entry.ceiling_tokens)
    g_array_remove_index (ceilings, 0);
  if (seen.tokens > acct->entry.ceiling_tokens
      && (ceilings->len == 0
          || g_array_index (ceilings, SeenCeiling, ceilings->len - 1).tokens < seen.tokens))
    g_array_append_val (ceilings, seen);
}

int64_t
dy_ledger_grantable_tokens (const DyLedger *ledger, const DyLedgerAccount *acct, int64_t now_us)
{
  const DyLedgerEntry *entry = &acct->entry;
  int64_t free_tokens = dy_ledger_entry_free_tokens (entry);
  if (!has_ceilings (ledger) || entry->next_ceiling_tokens == 0)
    return free_tokens;
  int64_t ceiling = old_ceiling (ledger, acct, now_us);
  return CLAMP (ceiling - dy_ledger_entry_committed_tokens (entry), 0, MAX (free_tokens, 0));
}

/* An entry without ceilings was not written by a holder yet; what holders wrote may be lost. */
static void
adapt_new_entry (const DyLedger *ledger, DyLedgerEntry *entry)
{
  entry->era = MIN (ledger->era, DY_LEDGER_FIRST_ERA);
  dy_ledger_entry_raise_ceiling (entry, ledger->policy.ceiling_percent);
}

/* Adds to ENTRY, which descends from the copy that the store was restored from, what is known to
 * have been written before the restore. */
static void
merge_latest (const DyLedger *ledger, const char *account, DyLedgerEntry *entry)
{
  const DyLedgerEntry *latest
      = ledger->actions->latest_entry
            ? ledger->actions->latest_entry (ledger->ctx, account, ledger->era)
            : NULL;
  if (latest)
    dy_ledger_entry_merge (entry, latest);
}

void
dy_ledger_adapt_read_entry (const DyLedger *ledger, DyLedgerAccount *acct, int64_t now_us)
{
  if (!has_ceilings (ledger))
    return;
  if (acct->entry.next_ceiling_tokens == 0)
    adapt_new_entry (ledger, &acct->entry);
  if (dy_ledger_entry_restore (&acct->entry, ledger->era, ledger->policy.ceiling_percent))
    merge_latest (ledger, acct->name, &acct->entry);
  if (acct->kept_tokens == 0 && !dy_ledger_entry_row (&acct->entry, ledger->holder_id))
    acct->reasserting = false;
  if (acct->reasserting)
    dy_ledger_entry_reassert (&acct->entry, ledger->holder_id, ledger->holder_name,
                              acct->kept_tokens);
  note_ceiling (acct, now_us);
}

bool
dy_ledger_can_release (const DyLedger *ledger, const DyLedgerAccount *acct)
{
  const DyLedgerEntry *entry = &acct->entry;
  return acct->has_entry && ledger->released_era != 0 && ledger->released_era == ledger->era
         && entry->withheld_tokens > entry->lost_tokens
         && (!ledger->actions->serves_account
             || ledger->actions->serves_account (ledger->ctx, acct->name));
}

void
dy_ledger_prepare_ceilings (const DyLedger *ledger, DyLedgerAccount *acct, int64_t now_us)
{
  DyLedgerEntry *pending = &acct->pending;
  if (!has_ceilings (ledger))
    return;
  pending->era = ledger->era;
  if (dy_ledger_can_release (ledger, acct))
    {
      merge_latest (ledger, acct->name, pending);
      pending->withheld_tokens = pending->lost_tokens;
    }
  pending->ceiling_tokens = old_ceiling (ledger, acct, now_us);
  dy_ledger_entry_raise_ceiling (pending, ledger->policy.ceiling_percent);
}

void
dy_ledger_on_written_entry (DyLedgerAccount *acct, int64_t now_us)
{
  acct->reasserting = false;
  note_ceiling (acct, now_us);
}

/* Keeps the grant that the holder knows, whatever the outcome of unresolved writes, to be written
 * to the restored entry. */
static void
keep_grant (DyLedgerAccount *acct)
{
  int64_t granted = acct->row.granted_tokens;
  if (acct->unresolved)
    granted = MIN (granted, acct->unresolved_granted_tokens);
  if (!acct->reasserting)
    acct->kept_tokens = granted;
  acct->reasserting = true;
}

void
dy_ledger_set_era (DyLedger *ledger, uint64_t era, int64_t now_us)
{
  bool restored = ledger->era != 0;
  GHashTableIter iter;
  gpointer value;
  if (era <= ledger->era)
    return;
  ledger->era = era;
  if (!restored || !has_ceilings (ledger))
    return;
  g_hash_table_iter_init (&iter, ledger->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      DyLedgerAccount *acct = value;
      keep_grant (acct);
      acct->has_entry = false;
      g_array_set_size (acct->seen_ceilings, 0);
      acct->retry_us = now_us;
      dy_ledger_step (ledger, acct, now_us);
    }
  dy_ledger_send_results (ledger);
}

bool
dy_ledger_is_reasserting (const DyLedger *ledger)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, ledger->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((const DyLedgerAccount *) value)->reasserting)
      return true;
  return false;
}

void
dy_ledger_release_withheld (DyLedger *ledger, uint64_t era, int64_t now_us)
{
  GHashTableIter iter;
  gpointer value;
  if (ledger->released_era == era)
    return;
  ledger->released_era = era;
  g_hash_table_iter_init (&iter, ledger->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      DyLedgerAccount *acct = value;
      /* An entry that was read before may lack what other holders have written again since. */
      if (acct->has_entry && acct->entry.withheld_tokens > 0)
        acct->has_entry = false;
      acct->releasing = acct->entry.withheld_tokens > 0;
      dy_ledger_step (ledger, acct, now_us);
    }
  dy_ledger_send_results (ledger);
}
