/* Ledger entries of a store that was restored from an older copy, and when withheld tokens are
 * freed: tables of cases. */

#include "core/latest_entries.h"
#include "core/ledger_entry.h"
#include "core/restore_check.h"
#include "core/store_version.h"
#include "kernel/error.h"
#include "support/suite.h"

#include <string.h>

enum
{
  PAID = 1000,
  PERCENT = 50,
  HOLDER = 2,
  OTHER = 4,
};

/* An entry of era 1 whose holder has a grant of 300, of which 100 are settled. */
static void
entry_init (DyLedgerEntry *entry, int64_t ceiling, int64_t next_ceiling)
{
  dy_ledger_entry_init (entry);
  entry->paid_tokens = PAID;
  entry->era = 1;
  entry->ceiling_tokens = ceiling;
  entry->next_ceiling_tokens = next_ceiling;
  dy_ledger_entry_add_row (entry, HOLDER, "r0")->granted_tokens = 300;
  dy_ledger_entry_raise_part (entry, HOLDER, HOLDER, 100);
}

static const struct
{
  uint64_t era; /* in which the entry is read */
  int64_t next_ceiling;
  int64_t withheld;
  int64_t ceiling; /* after it was read */
} restores[] = {
  { 1, 600, 0, 500 },    /* not restored */
  { 2, 600, 300, 800 },  /* 600 may be committed, half of the rest is allowed for */
  { 3, 600, 600, 1000 }, /* restored twice: ceilings of 800 and 900 may have been in force */
  { 2, 1000, 700, 1000 }, { 2, 300, 0, 650 }, /* nothing more was allowed for than is committed */
};

START_TEST (a_restored_entry_withholds_what_lost_writes_may_have_granted)
{
  DyLedgerEntry entry;
  entry_init (&entry, 500, restores[_i].next_ceiling);
  dy_ledger_entry_restore (&entry, restores[_i].era, PERCENT);
  ck_assert_int_eq (entry.withheld_tokens, restores[_i].withheld);
  ck_assert_int_eq (entry.ceiling_tokens, restores[_i].ceiling);
  ck_assert_int_eq (dy_ledger_entry_row (&entry, HOLDER)->restored, restores[_i].era > 1);
  ck_assert (dy_ledger_entry_valid (&entry));
  char *text = dy_ledger_entry_format (&entry);
  DyLedgerEntry read;
  dy_ledger_entry_init (&read);
  ck_assert_int_eq (dy_ledger_entry_parse (&read, text, strlen (text)), DY_OK);
  ck_assert_int_eq (read.withheld_tokens, entry.withheld_tokens);
  ck_assert_int_eq (read.next_ceiling_tokens, entry.next_ceiling_tokens);
  ck_assert_uint_eq (read.era, restores[_i].era);
  ck_assert_int_eq (dy_ledger_entry_row (&read, HOLDER)->restored, restores[_i].era > 1);
  free (text);
  dy_ledger_entry_finish (&read);
  dy_ledger_entry_finish (&entry);
}
END_TEST

static const struct
{
  uint64_t holder_id;
  int64_t kept;     /* the holder's grant as it knows it */
  int64_t withheld; /* then, of 300 */
  int64_t free;     /* then, of 400 */
} reassertions[] = {
  { HOLDER, 300, 300, 400 }, { HOLDER, 500, 100, 400 },
  { HOLDER, 200, 400, 400 }, { OTHER, 250, 50, 400 }, /* its row was lost */
  { OTHER, 350, 0, 350 },                             /* beyond what the ceiling allowed for */
};

START_TEST (a_grant_is_written_again_from_what_is_withheld)
{
  DyLedgerEntry entry;
  entry_init (&entry, 500, 600);
  dy_ledger_entry_restore (&entry, 2, PERCENT);
  dy_ledger_entry_reassert (&entry, reassertions[_i].holder_id, "r", reassertions[_i].kept);
  const DyLedgerRow *row = dy_ledger_entry_row (&entry, reassertions[_i].holder_id);
  ck_assert_int_eq (row->granted_tokens, reassertions[_i].kept);
  ck_assert (!row->restored);
  ck_assert_int_eq (entry.withheld_tokens, reassertions[_i].withheld);
  ck_assert_int_eq (dy_ledger_entry_free_tokens (&entry), reassertions[_i].free);
  dy_ledger_entry_finish (&entry);
}
END_TEST

static const struct
{
  bool restored;
  int64_t reported; /* by the router whose requests the dead holder charged */
  int64_t settled;
  int64_t closed; /* after the row was closed */
} recoveries[] = {
  { false, 250, 250, 250 },
  { true, 250, 250, 300 }, /* it may have charged its whole grant */
  { true, 450, 450, 450 }, /* more than its grant in the copy: from what is withheld */
  { true, 800, 600, 600 }, /* more than was withheld */
};

START_TEST (a_restored_row_of_a_dead_holder_counts_in_full)
{
  DyLedgerEntry entry;
  entry_init (&entry, 500, 600);
  if (recoveries[_i].restored)
    dy_ledger_entry_restore (&entry, 2, PERCENT);
  dy_ledger_entry_raise_part (&entry, HOLDER, HOLDER, recoveries[_i].reported);
  ck_assert_int_eq (dy_ledger_entry_row (&entry, HOLDER)->settled_tokens, recoveries[_i].settled);
  ck_assert (dy_ledger_entry_valid (&entry));
  dy_ledger_entry_close_row (&entry, HOLDER);
  ck_assert_int_eq (entry.closed_tokens, recoveries[_i].closed);
  dy_ledger_entry_finish (&entry);
}
END_TEST

static const struct
{
  int64_t granted; /* of the holder in the entry of before the restore; 0: its row was closed */
  int64_t settled;
  int64_t closed;
  bool rewritten; /* the holder has written its row again */
  int64_t row;    /* granted, after the merge */
  int64_t withheld;
} merges[] = {
  { 450, 400, 0, false, 450, 150 },
  { 300, 100, 0, false, 300, 300 },
  { 200, 150, 0, false, 300, 300 }, /* it had returned tokens: they still count */
  { 450, 400, 0, true, 300, 300 },
  { 0, 0, 250, false, 300, 300 }, /* closed with less than the grant in the copy */
  { 0, 0, 420, false, 300, 180 },
};

START_TEST (what_routers_know_of_dead_holders_is_not_freed)
{
  DyLedgerEntry entry;
  DyLedgerEntry from;
  entry_init (&entry, 500, 600);
  dy_ledger_entry_restore (&entry, 2, PERCENT);
  if (merges[_i].rewritten)
    dy_ledger_entry_reassert (&entry, HOLDER, "r0", 300);
  dy_ledger_entry_init (&from);
  from.paid_tokens = PAID;
  from.closed_tokens = merges[_i].closed;
  if (merges[_i].granted)
    dy_ledger_entry_add_row (&from, HOLDER, "r0")->granted_tokens = merges[_i].granted;
  dy_ledger_entry_raise_part (&from, HOLDER, HOLDER, merges[_i].settled);
  dy_ledger_entry_merge (&entry, &from);
  ck_assert_int_eq (dy_ledger_entry_row (&entry, HOLDER)->granted_tokens, merges[_i].row);
  ck_assert_int_eq (entry.withheld_tokens, merges[_i].withheld);
  ck_assert (dy_ledger_entry_valid (&entry));
  dy_ledger_entry_finish (&from);
  dy_ledger_entry_finish (&entry);
}
END_TEST

static const struct
{
  uint64_t eras[3]; /* of the entries, in the order in which they become known; 0: none */
  uint64_t before;
  int64_t found; /* index of the entry that is found; -1: none */
} latest_cases[] = {
  { { 1, 0, 0 }, 2, 0 }, { { 1, 2, 0 }, 2, 0 }, /* a new home has written since the restore */
  { { 2, 1, 0 }, 2, 1 }, /* what was known of before the restore arrives later */
  { { 1, 1, 2 }, 2, 1 }, { { 1, 2, 3 }, 3, 1 }, { { 2, 0, 0 }, 2, -1 },
};

START_TEST (an_entry_of_before_the_restore_is_kept_beside_a_later_one)
{
  DyLatestEntries latest;
  dy_latest_entries_init (&latest);
  for (int i = 0; i < 3 && latest_cases[_i].eras[i]; i++)
    {
      DyLedgerEntry entry;
      entry_init (&entry, 500, 600);
      entry.paid_tokens = PAID + i;
      dy_latest_entries_take (
          &latest, "acct", dy_store_version (latest_cases[_i].eras[i], 10 + (uint64_t) i), &entry);
      dy_ledger_entry_finish (&entry);
    }
  const DyLedgerEntry *found
      = dy_latest_entries_find_before (&latest, "acct", latest_cases[_i].before);
  ck_assert_int_eq (found ? found->paid_tokens - PAID : -1, latest_cases[_i].found);
  dy_latest_entries_finish (&latest);
}
END_TEST

START_TEST (paid_tokens_raise_the_ceilings)
{
  DyLedgerEntry entry;
  entry_init (&entry, 500, 600);
  dy_ledger_entry_raise_paid (&entry, PAID - 1);
  ck_assert_int_eq (entry.paid_tokens, PAID);
  dy_ledger_entry_raise_paid (&entry, PAID + 70);
  ck_assert_int_eq (entry.ceiling_tokens, 570);
  ck_assert_int_eq (entry.next_ceiling_tokens, 670);
  dy_ledger_entry_finish (&entry);
}
END_TEST

static const struct
{
  DyRestoreReport own;
  DyRestoreReport other; /* era 0: none */
  bool connected;
  int64_t now_s; /* the other router's latest heartbeat was at 0 */
  bool complete;
} checks[] = {
  { { 2, 5, true, true }, { 4, 5, true, true }, true, 0, true },
  { { 2, 5, true, true }, { 4, 5, true, false }, true, 0, true }, /* it started lately */
  { { 2, 5, true, false }, { 4, 5, true, true }, true, 0, true },
  { { 2, 5, true, false }, { 4, 5, true, false }, true, 0, false }, /* nobody knows */
  { { 2, 5, false, true }, { 4, 5, true, true }, true, 0, false },
  { { 2, 5, true, true }, { 4, 5, false, true }, true, 0, false },
  { { 2, 5, true, true }, { 4, 4, true, true }, true, 0, false }, /* not noticed yet */
  { { 2, 5, true, true }, { 4, 6, true, true }, true, 0, true },
  { { 2, 5, true, true }, { 6, 5, true, true }, true, 0, false }, /* of a dead one */
  { { 2, 5, true, true }, { 0, 0, false, false }, true, 0, false },
  { { 2, 5, true, true }, { 0, 0, false, false }, true, 60, false }, /* connected and silent */
  { { 2, 5, true, true }, { 0, 0, false, false }, false, 2, false }, /* not connected yet */
  { { 2, 5, true, true }, { 0, 0, false, false }, false, 60, true },
};

START_TEST (withheld_tokens_are_freed_only_when_nobody_is_missing)
{
  DyRestoreCheck check;
  DyMembers members;
  dy_restore_check_init (&check);
  dy_members_init (&members, "r0", 1000 * 1000);
  dy_members_put (&members, "r1", "", "dc-a", false);
  dy_members_record_heartbeat (&members, "r1", 4, false, 0);
  if (!checks[_i].connected)
    dy_members_disconnected (&members, "r1");
  if (checks[_i].other.era)
    dy_restore_check_take (&check, "r1", &checks[_i].other);
  ck_assert_int_eq (
      dy_restore_check_complete (&check, &checks[_i].own, &members, checks[_i].now_s * 1000 * 1000),
      checks[_i].complete);
  dy_members_finish (&members);
  dy_restore_check_finish (&check);
}
END_TEST

int
main (void)
{
  TCase *tcase = tcase_create ("ledger_restore");
  tcase_add_loop_test (tcase, a_restored_entry_withholds_what_lost_writes_may_have_granted, 0,
                       G_N_ELEMENTS (restores));
  tcase_add_loop_test (tcase, a_grant_is_written_again_from_what_is_withheld, 0,
                       G_N_ELEMENTS (reassertions));
  tcase_add_loop_test (tcase, a_restored_row_of_a_dead_holder_counts_in_full, 0,
                       G_N_ELEMENTS (recoveries));
  tcase_add_loop_test (tcase, what_routers_know_of_dead_holders_is_not_freed, 0,
                       G_N_ELEMENTS (merges));
  tcase_add_loop_test (tcase, an_entry_of_before_the_restore_is_kept_beside_a_later_one, 0,
                       G_N_ELEMENTS (latest_cases));
  tcase_add_test (tcase, paid_tokens_raise_the_ceilings);
  tcase_add_loop_test (tcase, withheld_tokens_are_freed_only_when_nobody_is_missing, 0,
                       G_N_ELEMENTS (checks));
  return suite_run ("ledger_restore", tcase);
}
