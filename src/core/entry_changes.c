#include "core/entry_changes.h"

#include <string.h>

void
dy_entry_changes_init (DyEntryChanges *changes)
{
  dy_ledger_entry_init (&changes->entry);
  changes->removed = g_array_new (FALSE, FALSE, sizeof (uint64_t));
}

void
dy_entry_changes_finish (DyEntryChanges *changes)
{
  dy_ledger_entry_finish (&changes->entry);
  g_array_unref (changes->removed);
}

static const DyLedgerPart *
find_part (const DyLedgerEntry *entry, uint64_t holder_id, uint64_t origin_id)
{
  for (guint i = 0; i < entry->parts->len; i++)
    {
      const DyLedgerPart *part = &g_array_index (entry->parts, DyLedgerPart, i);
      if (part->holder_id == holder_id && part->origin_id == origin_id)
        return part;
    }
  return NULL;
}

/* Returns whether the row of HOLDER_ID has the same parts in A as in B. */
static bool
has_same_parts (const DyLedgerEntry *a, const DyLedgerEntry *b, uint64_t holder_id)
{
  guint n = 0;
  for (guint i = 0; i < b->parts->len; i++)
    n += g_array_index (b->parts, DyLedgerPart, i).holder_id == holder_id;
  for (guint i = 0; i < a->parts->len; i++)
    {
      const DyLedgerPart *part = &g_array_index (a->parts, DyLedgerPart, i);
      if (part->holder_id != holder_id)
        continue;
      const DyLedgerPart *other = find_part (b, holder_id, part->origin_id);
      if (!other || other->settled_tokens != part->settled_tokens)
        return false;
      n--;
    }
  return n == 0;
}

static bool
is_same_row (const DyLedgerRow *a, const DyLedgerRow *b)
{
  return strcmp (a->holder_name, b->holder_name) == 0 && a->granted_tokens == b->granted_tokens
         && a->settled_tokens == b->settled_tokens && a->seq == b->seq
         && a->restored == b->restored;
}

static void
copy_row (DyLedgerEntry *to, const DyLedgerEntry *from, const DyLedgerRow *row)
{
  g_array_append_vals (to->rows, row, 1);
  for (guint i = 0; i < from->parts->len; i++)
    {
      const DyLedgerPart *part = &g_array_index (from->parts, DyLedgerPart, i);
      if (part->holder_id == row->holder_id)
        g_array_append_vals (to->parts, part, 1);
    }
}

/* Copies all fields but rows and parts. */
static void
copy_fields (DyLedgerEntry *to, const DyLedgerEntry *from)
{
  to->paid_tokens = from->paid_tokens;
  to->closed_tokens = from->closed_tokens;
  to->era = from->era;
  to->ceiling_tokens = from->ceiling_tokens;
  to->next_ceiling_tokens = from->next_ceiling_tokens;
  to->withheld_tokens = from->withheld_tokens;
  to->lost_tokens = from->lost_tokens;
  g_ptr_array_set_size (to->topups, 0);
  for (guint i = 0; i < from->topups->len; i++)
    g_ptr_array_add (to->topups, g_strdup (g_ptr_array_index (from->topups, i)));
}

void
dy_entry_changes_compute (DyEntryChanges *changes,
                          const DyLedgerEntry *base,
                          const DyLedgerEntry *entry)
{
  copy_fields (&changes->entry, entry);
  for (guint i = 0; i < entry->rows->len; i++)
    {
      const DyLedgerRow *row = &g_array_index (entry->rows, DyLedgerRow, i);
      const DyLedgerRow *before = dy_ledger_entry_row (base, row->holder_id);
      if (!before || !is_same_row (row, before) || !has_same_parts (entry, base, row->holder_id))
        copy_row (&changes->entry, entry, row);
    }
  for (guint i = 0; i < base->rows->len; i++)
    {
      const DyLedgerRow *row = &g_array_index (base->rows, DyLedgerRow, i);
      if (!dy_ledger_entry_row (entry, row->holder_id))
        g_array_append_val (changes->removed, row->holder_id);
    }
}

static void
remove_row (DyLedgerEntry *entry, uint64_t holder_id)
{
  for (guint i = entry->rows->len; i > 0; i--)
    if (g_array_index (entry->rows, DyLedgerRow, i - 1).holder_id == holder_id)
      g_array_remove_index (entry->rows, i - 1);
  for (guint i = entry->parts->len; i > 0; i--)
    if (g_array_index (entry->parts, DyLedgerPart, i - 1).holder_id == holder_id)
      g_array_remove_index (entry->parts, i - 1);
}

void
dy_entry_changes_apply (const DyEntryChanges *changes, DyLedgerEntry *entry)
{
  copy_fields (entry, &changes->entry);
  for (guint i = 0; i < changes->removed->len; i++)
    remove_row (entry, g_array_index (changes->removed, uint64_t, i));
  for (guint i = 0; i < changes->entry.rows->len; i++)
    {
      const DyLedgerRow *row = &g_array_index (changes->entry.rows, DyLedgerRow, i);
      remove_row (entry, row->holder_id);
      copy_row (entry, &changes->entry, row);
    }
}
