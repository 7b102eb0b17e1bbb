/* Changes between versions of a ledger entry. */

#include "support/suite.h"

#include "core/entry_changes.h"

#include <stdlib.h>

enum
{
  MAX_ROWS = 4,
};

typedef struct
{
  uint64_t holder_id; /* 0: no row */
  int64_t granted_tokens;
  int64_t settled_tokens[2]; /* for the origins 101 and 102 */
  bool restored;
} RowSpec;

typedef struct
{
  int64_t paid_tokens;
  int64_t closed_tokens;
  uint64_t era;
  RowSpec rows[MAX_ROWS];
} EntrySpec;

static const struct
{
  const char *name;
  EntrySpec base;
  EntrySpec entry;
  guint n_rows; /* of the changes */
  guint n_removed;
} cases[] = {
  { "nothing",
    { 100, 0, 1, { { 1, 10, { 1, 0 }, false } } },
    { 100, 0, 1, { { 1, 10, { 1, 0 }, false } } },
    0,
    0 },
  { "paid only",
    { 100, 0, 1, { { 1, 10, { 1, 0 }, false } } },
    { 200, 0, 1, { { 1, 10, { 1, 0 }, false } } },
    0,
    0 },
  { "first row",
    { 100, 0, 1, { { 0, 0, { 0, 0 }, false } } },
    { 100, 0, 1, { { 1, 10, { 0, 0 }, false } } },
    1,
    0 },
  { "grant",
    { 100, 0, 1, { { 1, 10, { 1, 0 }, false }, { 2, 5, { 2, 2 }, false } } },
    { 100, 0, 1, { { 1, 20, { 1, 0 }, false }, { 2, 5, { 2, 2 }, false } } },
    1,
    0 },
  { "part of another origin",
    { 100, 0, 1, { { 1, 10, { 2, 0 }, false } } },
    { 100, 0, 1, { { 1, 10, { 0, 2 }, false } } },
    1,
    0 },
  { "part more",
    { 100, 0, 1, { { 1, 10, { 2, 0 }, false }, { 2, 5, { 2, 2 }, false } } },
    { 100, 0, 1, { { 1, 10, { 2, 1 }, false }, { 2, 5, { 2, 2 }, false } } },
    1,
    0 },
  { "row closed",
    { 100, 0, 1, { { 1, 10, { 4, 0 }, false }, { 2, 5, { 2, 2 }, false } } },
    { 100, 4, 1, { { 2, 5, { 2, 2 }, false } } },
    0,
    1 },
  { "row closed and another added",
    { 100, 0, 1, { { 1, 10, { 4, 0 }, false } } },
    { 100, 4, 1, { { 3, 5, { 0, 0 }, false } } },
    1,
    1 },
  { "rows restored",
    { 100, 0, 1, { { 1, 10, { 4, 0 }, false }, { 2, 5, { 2, 2 }, false } } },
    { 100, 0, 2, { { 1, 10, { 4, 0 }, true }, { 2, 5, { 2, 2 }, true } } },
    2,
    0 },
};

static void
build (DyLedgerEntry *entry, const EntrySpec *spec)
{
  dy_ledger_entry_init (entry);
  entry->paid_tokens = spec->paid_tokens;
  entry->closed_tokens = spec->closed_tokens;
  entry->era = spec->era;
  for (int i = 0; i < MAX_ROWS && spec->rows[i].holder_id; i++)
    {
      const RowSpec *row = &spec->rows[i];
      DyLedgerRow *added = dy_ledger_entry_add_row (entry, row->holder_id, "r");
      added->granted_tokens = row->granted_tokens;
      added->restored = row->restored;
      for (uint64_t k = 0; k < G_N_ELEMENTS (row->settled_tokens); k++)
        dy_ledger_entry_raise_part (entry, row->holder_id, 101 + k, row->settled_tokens[k]);
    }
}

/* Rows may be in any order. */
static void
check_equal (const char *name, const DyLedgerEntry *a, const DyLedgerEntry *b)
{
  DyEntryChanges changes;
  dy_entry_changes_init (&changes);
  dy_entry_changes_compute (&changes, a, b);
  ck_assert_msg (changes.entry.rows->len == 0 && changes.removed->len == 0, "%s: rows", name);
  ck_assert_msg (a->parts->len == b->parts->len, "%s: parts", name);
  ck_assert_msg (a->paid_tokens == b->paid_tokens && a->closed_tokens == b->closed_tokens
                     && a->era == b->era,
                 "%s: fields", name);
  dy_entry_changes_finish (&changes);
}

START_TEST (changes_make_the_later_entry_of_the_earlier_one)
{
  DyLedgerEntry base;
  DyLedgerEntry entry;
  DyEntryChanges changes;
  build (&base, &cases[_i].base);
  build (&entry, &cases[_i].entry);
  dy_entry_changes_init (&changes);
  dy_entry_changes_compute (&changes, &base, &entry);
  ck_assert_msg (changes.entry.rows->len == cases[_i].n_rows, "%s: %u rows", cases[_i].name,
                 changes.entry.rows->len);
  ck_assert_msg (changes.removed->len == cases[_i].n_removed, "%s: %u removed", cases[_i].name,
                 changes.removed->len);
  dy_entry_changes_apply (&changes, &base);
  check_equal (cases[_i].name, &base, &entry);
  dy_entry_changes_finish (&changes);
  dy_ledger_entry_finish (&base);
  dy_ledger_entry_finish (&entry);
}
END_TEST

int
main (void)
{
  TCase *tcase = tcase_create ("entry_changes");
  tcase_add_loop_test (tcase, changes_make_the_later_entry_of_the_earlier_one, 0,
                       G_N_ELEMENTS (cases));
  return suite_run ("entry_changes", tcase);
}
