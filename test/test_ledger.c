/* The holder's decisions against a platform whose answers the test gives one by one. */

#include "core/ledger.h"
#include "kernel/error.h"
#include "support/suite.h"

#include <string.h>

enum
{
  HOLDER = 7,
  OTHER = 8,
  MAX_ANSWERS = 16,
  MS = 1000,
  SECOND = 1000 * 1000,
};

typedef struct
{
  DyLedger ledger;
  DyLedgerEntry stored; /* what the platform holds */
  uint64_t version;
  DyLedgerEntry wanted; /* of the write in progress */
  uint64_t wanted_version;
  bool reading;
  bool writing;
  int n_reads;
  int n_writes;
  int answers[MAX_ANSWERS]; /* by request number; 1: none */
  int64_t now_us;
  bool wanted_here;
} Bench;

static void
on_read (void *ctx, const char *account)
{
  Bench *bench = ctx;
  (void) account;
  bench->reading = true;
  bench->n_reads++;
}

static void
on_write (void *ctx, const char *account, uint64_t version, const DyLedgerEntry *entry)
{
  Bench *bench = ctx;
  (void) account;
  ck_assert (dy_ledger_entry_valid (entry));
  bench->writing = true;
  bench->wanted_version = version;
  bench->n_writes++;
  dy_ledger_entry_copy (&bench->wanted, entry);
}

static void
on_reserved (void *ctx, const DyRequestId *id, int error)
{
  Bench *bench = ctx;
  ck_assert_int_eq (bench->answers[id->number % MAX_ANSWERS], 1);
  bench->answers[id->number % MAX_ANSWERS] = error;
}

static void
on_call_in (void *ctx, const char *account, const DyLedgerEntry *entry)
{
  (void) ctx;
  (void) account;
  (void) entry;
}

static const DyLedgerActions actions
    = { .read = on_read, .write = on_write, .reserved = on_reserved, .recall = on_call_in };

static bool
is_wanted (void *ctx, const char *account)
{
  (void) account;
  return ((const Bench *) ctx)->wanted_here;
}

static const DyLedgerActions fleet_actions = { .read = on_read,
                                               .write = on_write,
                                               .reserved = on_reserved,
                                               .recall = on_call_in,
                                               .is_wanted = is_wanted };

static void
bench_init_with (Bench *bench,
                 int64_t paid_tokens,
                 const DyLedgerPolicy *policy,
                 const DyLedgerActions *bench_actions)
{
  memset (bench, 0, sizeof *bench);
  dy_ledger_entry_init (&bench->stored);
  dy_ledger_entry_init (&bench->wanted);
  bench->stored.paid_tokens = paid_tokens;
  bench->version = 1;
  bench->now_us = SECOND;
  bench->wanted_here = true;
  for (int i = 0; i < MAX_ANSWERS; i++)
    bench->answers[i] = 1;
  dy_ledger_init (&bench->ledger, HOLDER, "r7", 1, policy, bench_actions, bench);
}

/* A ledger with the policy of the users' platform: grants are renewed with each write, hopeless
 * waiters refused early, the last tokens kept for urgent requests. */
static void
fleet_bench_init (Bench *bench, int64_t paid_tokens)
{
  static const DyLedgerPolicy policy = { .horizon_us = 10 * SECOND,
                                         .minimum_tokens = 100,
                                         .percent = 50,
                                         .settle_interval_us = SECOND,
                                         .idle_return_us = 60 * SECOND,
                                         .urgent_headroom_us = 5 * SECOND,
                                         .refuses_early = true,
                                         .renews_grant = true };
  bench_init_with (bench, paid_tokens, &policy, &fleet_actions);
}

static void
bench_init (Bench *bench, int64_t paid_tokens)
{
  static const DyLedgerPolicy policy = { .horizon_us = SECOND,
                                         .minimum_tokens = 100,
                                         .percent = 50,
                                         .settle_interval_us = SECOND,
                                         .idle_return_us = 5 * SECOND };
  bench_init_with (bench, paid_tokens, &policy, &actions);
}

static void
bench_finish (Bench *bench)
{
  dy_ledger_finish (&bench->ledger);
  dy_ledger_entry_finish (&bench->stored);
  dy_ledger_entry_finish (&bench->wanted);
}

static void
reserve (Bench *bench, uint64_t number, int64_t tokens)
{
  DyRequestId id = { HOLDER, number };
  dy_ledger_reserve (&bench->ledger, "a", &id, tokens, 0, bench->now_us + 2 * SECOND,
                     bench->now_us);
}

static int
settle (Bench *bench, uint64_t number, int64_t tokens)
{
  DyRequestId id = { HOLDER, number };
  return dy_ledger_settle (&bench->ledger, "a", &id, tokens, bench->now_us);
}

static void
give_read (Bench *bench, int error)
{
  ck_assert (bench->reading);
  bench->reading = false;
  dy_ledger_on_read (&bench->ledger, "a", error, bench->version, error ? NULL : &bench->stored,
                     bench->now_us);
}

/* The write takes effect at the platform if its version still matches. */
static int
apply_write (Bench *bench)
{
  if (bench->wanted_version != bench->version)
    return DY_CONFLICT;
  dy_ledger_entry_copy (&bench->stored, &bench->wanted);
  bench->version++;
  return DY_OK;
}

static void
give_write (Bench *bench, int error)
{
  ck_assert (bench->writing);
  bench->writing = false;
  dy_ledger_on_write (&bench->ledger, "a", error, bench->version, bench->now_us);
}

/* Answers all calls until none is open. */
static void
serve (Bench *bench)
{
  while (bench->reading || bench->writing)
    if (bench->reading)
      give_read (bench, DY_OK);
    else
      give_write (bench, apply_write (bench));
}

static void
tick (Bench *bench, int64_t us)
{
  bench->now_us += us;
  dy_ledger_tick (&bench->ledger, bench->now_us);
}

/* Reservations of two requests in a row, the first settled with its use before the second. */
static const struct
{
  int64_t paid, first, used, second;
  int first_error, second_error;
} reserve_cases[] = {
  { 1000, 400, 400, 400, DY_OK, DY_OK },
  { 1000, 1000, 1000, 1, DY_OK, DY_BUDGET_SPENT },
  { 1000, 1001, 0, 1000, DY_BUDGET_SPENT, DY_OK },
  { 1000, 1000, 10, 990, DY_OK, DY_OK },
  { 1000, 1000, 10, 991, DY_OK, DY_BUDGET_SPENT },
  { 1000, 600, 5000, 401, DY_OK, DY_BUDGET_SPENT }, /* an overrun is capped at 600 */
  { 0, 1, 0, 1, DY_BUDGET_SPENT, DY_BUDGET_SPENT },
};

START_TEST (reserves_within_the_budget)
{
  Bench bench;
  bench_init (&bench, reserve_cases[_i].paid);
  reserve (&bench, 0, reserve_cases[_i].first);
  serve (&bench);
  ck_assert_int_eq (bench.answers[0], reserve_cases[_i].first_error);
  if (bench.answers[0] == DY_OK)
    ck_assert_int_eq (settle (&bench, 0, reserve_cases[_i].used), DY_OK);
  reserve (&bench, 1, reserve_cases[_i].second);
  serve (&bench);
  for (int i = 0; i < 5; i++)
    {
      tick (&bench, SECOND / 4);
      serve (&bench);
    }
  ck_assert_int_eq (bench.answers[1], reserve_cases[_i].second_error);
  bench_finish (&bench);
}
END_TEST

START_TEST (waits_for_what_running_requests_give_back)
{
  Bench bench;
  bench_init (&bench, 1000);
  reserve (&bench, 0, 900);
  serve (&bench);
  reserve (&bench, 1, 500);
  serve (&bench);
  ck_assert_int_eq (bench.answers[1], 1);
  settle (&bench, 0, 100);
  serve (&bench);
  ck_assert_int_eq (bench.answers[1], DY_OK);
  reserve (&bench, 2, 500);
  serve (&bench);
  for (int i = 0; i < 12; i++)
    {
      tick (&bench, SECOND / 4);
      serve (&bench);
    }
  ck_assert_int_eq (bench.answers[2], DY_BUDGET_RESERVED);
  bench_finish (&bench);
}
END_TEST

/* What became of a write whose answer was lost, and when the next read sees it. */
static const struct
{
  bool took_effect;
  bool late; /* it takes effect only after the read back */
} lost_cases[] = { { true, false }, { false, false }, { true, true } };

START_TEST (a_lost_answer_is_settled_by_reading_back)
{
  Bench bench;
  bench_init (&bench, 1000);
  reserve (&bench, 0, 300);
  give_read (&bench, DY_OK);
  DyLedgerEntry late;
  uint64_t late_version = bench.wanted_version;
  dy_ledger_entry_init (&late);
  dy_ledger_entry_copy (&late, &bench.wanted);
  if (lost_cases[_i].took_effect && !lost_cases[_i].late)
    ck_assert_int_eq (apply_write (&bench), DY_OK);
  give_write (&bench, DY_TIMEOUT);
  ck_assert_int_eq (bench.answers[0], 1);
  tick (&bench, 50 * MS);
  give_read (&bench, DY_OK);
  if (lost_cases[_i].late && bench.version == late_version)
    {
      dy_ledger_entry_copy (&bench.stored, &late);
      bench.version++;
    }
  serve (&bench);
  for (int i = 0; i < 4; i++)
    {
      tick (&bench, 50 * MS);
      serve (&bench);
    }
  ck_assert_int_eq (bench.answers[0], DY_OK);
  settle (&bench, 0, 300);
  tick (&bench, 2 * SECOND);
  serve (&bench);
  ck_assert_int_eq (dy_ledger_entry_settled_tokens (&bench.stored), 300);
  ck_assert (dy_ledger_entry_valid (&bench.stored));
  dy_ledger_entry_finish (&late);
  bench_finish (&bench);
}
END_TEST

/* A return whose answer is lost may have taken effect: nothing of it may be promised meanwhile. */
START_TEST (a_grant_being_returned_is_not_spent)
{
  Bench bench;
  bench_init (&bench, 1000);
  reserve (&bench, 0, 100);
  serve (&bench);
  settle (&bench, 0, 100);
  tick (&bench, 6 * SECOND);
  ck_assert (bench.writing);
  ck_assert_int_eq (apply_write (&bench), DY_OK);
  DyLedgerRow *row = dy_ledger_entry_row (&bench.stored, HOLDER);
  ck_assert_int_eq (row->granted_tokens, 100);
  give_write (&bench, DY_TIMEOUT);
  reserve (&bench, 1, 50);
  ck_assert_int_eq (bench.answers[1], 1);
  DyLedgerRow *other = dy_ledger_entry_add_row (&bench.stored, OTHER, "r8");
  other->granted_tokens = 900;
  bench.version++;
  for (int i = 0; i < 16; i++)
    {
      tick (&bench, SECOND / 4);
      serve (&bench);
    }
  ck_assert_int_eq (bench.answers[1], DY_BUDGET_RESERVED);
  ck_assert (dy_ledger_entry_valid (&bench.stored));
  bench_finish (&bench);
}
END_TEST

START_TEST (says_so_when_the_platform_cannot_be_asked)
{
  Bench bench;
  bench_init (&bench, 1000);
  reserve (&bench, 0, 100);
  for (int i = 0; i < 10; i++)
    {
      if (bench.reading)
        give_read (&bench, DY_UNAVAILABLE);
      tick (&bench, SECOND / 4);
    }
  ck_assert_int_eq (bench.answers[0], DY_BUDGET_UNAVAILABLE);
  bench_finish (&bench);
}
END_TEST

START_TEST (spends_its_grant_while_the_platform_is_down)
{
  Bench bench;
  bench_init (&bench, 1000);
  reserve (&bench, 0, 100);
  serve (&bench);
  settle (&bench, 0, 100);
  reserve (&bench, 1, 100); /* granted ahead of demand */
  ck_assert_int_eq (bench.answers[1], DY_OK);
  bench_finish (&bench);
}
END_TEST

START_TEST (repeats_spend_once)
{
  Bench bench;
  bench_init (&bench, 1000);
  reserve (&bench, 0, 300);
  serve (&bench);
  bench.answers[0] = 1;
  reserve (&bench, 0, 300);
  ck_assert_int_eq (bench.answers[0], DY_OK);
  ck_assert_int_eq (settle (&bench, 0, 200), DY_OK);
  ck_assert_int_eq (settle (&bench, 0, 200), DY_OK);
  ck_assert_int_eq (settle (&bench, 9, 200), DY_NOT_FOUND);
  tick (&bench, 2 * SECOND);
  serve (&bench);
  ck_assert_int_eq (dy_ledger_entry_settled_tokens (&bench.stored), 200);
  bench_finish (&bench);
}
END_TEST

START_TEST (a_gone_entry_releases_and_cannot_settle)
{
  Bench bench;
  bench_init (&bench, 1000);
  reserve (&bench, 0, 1000);
  serve (&bench);
  dy_ledger_end_origin (&bench.ledger, HOLDER, false, bench.now_us);
  ck_assert_int_eq (settle (&bench, 0, 1000), DY_NOT_FOUND);
  reserve (&bench, 1, 1000);
  serve (&bench);
  ck_assert_int_eq (bench.answers[1], DY_OK);
  bench_finish (&bench);
}
END_TEST

START_TEST (a_gone_entry_that_answered_first_is_charged)
{
  Bench bench;
  fleet_bench_init (&bench, 1000);
  reserve (&bench, 0, 600);
  serve (&bench);
  dy_ledger_end_origin (&bench.ledger, HOLDER, true, bench.now_us);
  tick (&bench, 2 * SECOND);
  serve (&bench);
  ck_assert_int_eq (dy_ledger_entry_settled_tokens (&bench.stored), 600);
  reserve (&bench, 1, 600);
  serve (&bench);
  ck_assert_int_eq (bench.answers[1], DY_BUDGET_SPENT);
  bench_finish (&bench);
}
END_TEST

START_TEST (a_raised_budget_is_used_at_once)
{
  Bench bench;
  fleet_bench_init (&bench, 100);
  reserve (&bench, 0, 300);
  serve (&bench);
  ck_assert_int_eq (bench.answers[0], DY_BUDGET_SPENT);
  dy_ledger_raise_paid (&bench.ledger, "a", 1000);
  reserve (&bench, 1, 300);
  serve (&bench);
  ck_assert_int_eq (bench.answers[1], DY_OK);
  ck_assert_int_eq (bench.stored.paid_tokens, 1000);
  bench_finish (&bench);
}
END_TEST

/* A holder with nothing to hand back must not give way: it would never read its entry again. */
START_TEST (an_empty_holder_gives_way_to_nobody)
{
  Bench bench;
  bench_init (&bench, 1000);
  reserve (&bench, 0, 1000);
  serve (&bench);
  settle (&bench, 0, 1000);
  tick (&bench, 2 * SECOND);
  serve (&bench);
  dy_ledger_recall (&bench.ledger, "a", HOLDER + 1, bench.now_us);
  dy_ledger_raise_paid (&bench.ledger, "a", 2000);
  bench.stored.paid_tokens = 2000;
  bench.version++;
  reserve (&bench, 1, 500);
  serve (&bench);
  ck_assert_int_eq (bench.answers[1], DY_OK);
  bench_finish (&bench);
}
END_TEST

/* A load of ten requests a second for ten seconds, then the platform is away for eight. */
START_TEST (a_renewed_grant_bridges_an_outage)
{
  enum
  {
    PER_S = 10,
    TOKENS = 100,
    CALM_S = 10,
    OUTAGE_S = 8,
  };
  Bench bench;
  fleet_bench_init (&bench, 100000);
  int n_refused = 0;
  for (int i = 0; i < (CALM_S + OUTAGE_S) * PER_S; i++)
    {
      bench.answers[i % MAX_ANSWERS] = 1;
      reserve (&bench, (uint64_t) i, TOKENS);
      if (i < CALM_S * PER_S)
        serve (&bench);
      n_refused += bench.answers[i % MAX_ANSWERS] != DY_OK;
      settle (&bench, (uint64_t) i, TOKENS);
      tick (&bench, SECOND / PER_S);
      if (i < CALM_S * PER_S)
        serve (&bench);
    }
  ck_assert_int_eq (n_refused, 0);
  bench_finish (&bench);
}
END_TEST

START_TEST (a_former_home_hands_back)
{
  Bench bench;
  fleet_bench_init (&bench, 1000);
  reserve (&bench, 0, 10);
  serve (&bench);
  settle (&bench, 0, 10);
  ck_assert_int_gt (dy_ledger_entry_outstanding_tokens (&bench.stored), 0);
  bench.wanted_here = false;
  tick (&bench, 2 * SECOND);
  serve (&bench);
  ck_assert_int_eq (dy_ledger_entry_outstanding_tokens (&bench.stored), 0);
  bench_finish (&bench);
}
END_TEST

START_TEST (a_lost_platform_refuses_at_once)
{
  Bench bench;
  fleet_bench_init (&bench, 1000);
  reserve (&bench, 0, 10);
  give_read (&bench, DY_TIMEOUT);
  ck_assert_int_eq (bench.answers[0], DY_BUDGET_UNAVAILABLE);
  reserve (&bench, 1, 10);
  ck_assert_int_eq (bench.answers[1], DY_BUDGET_UNAVAILABLE);
  dy_ledger_on_platform_reachable (&bench.ledger, bench.now_us);
  reserve (&bench, 2, 10);
  serve (&bench);
  ck_assert_int_eq (bench.answers[2], DY_OK);
  bench_finish (&bench);
}
END_TEST

/* Tokens of a holder that does not answer: waiters are refused soon, later ones at once. */
START_TEST (what_is_not_handed_back_is_not_waited_for)
{
  Bench bench;
  fleet_bench_init (&bench, 1000);
  DyLedgerRow *row = dy_ledger_entry_add_row (&bench.stored, 99, "lost");
  row->granted_tokens = 900;
  row->seq = 1;
  reserve (&bench, 0, 500);
  serve (&bench);
  for (int i = 0; i < 10 && bench.answers[0] == 1; i++)
    {
      tick (&bench, SECOND / 20);
      serve (&bench);
    }
  ck_assert_int_eq (bench.answers[0], DY_BUDGET_RESERVED);
  reserve (&bench, 1, 500);
  ck_assert_int_eq (bench.answers[1], DY_BUDGET_RESERVED);
  reserve (&bench, 2, 50);
  serve (&bench);
  ck_assert_int_eq (bench.answers[2], DY_OK);
  bench_finish (&bench);
}
END_TEST

/* Both kinds of request ask more than is left: the large, less urgent ones give way in time for the
 * urgent ones to be served for five seconds more. */
START_TEST (the_last_tokens_are_for_urgent_requests)
{
  enum
  {
    N_STEPS = 400,
    STEPS_PER_S = 10,
    URGENT_TOKENS = 10,
    LARGE_TOKENS = 100,
  };
  Bench bench;
  int last_large = 0;
  int last_urgent = 0;
  fleet_bench_init (&bench, 20000);
  for (int i = 0; i < N_STEPS; i++)
    {
      DyRequestId urgent = { HOLDER, (uint64_t) i * 2 };
      DyRequestId large = { HOLDER, (uint64_t) i * 2 + 1 };
      int *urgent_answer = &bench.answers[urgent.number % MAX_ANSWERS];
      int *large_answer = &bench.answers[large.number % MAX_ANSWERS];
      *urgent_answer = *large_answer = 1;
      dy_ledger_reserve (&bench.ledger, "a", &large, LARGE_TOKENS, 1, bench.now_us + SECOND,
                         bench.now_us);
      dy_ledger_reserve (&bench.ledger, "a", &urgent, URGENT_TOKENS, 0, bench.now_us + SECOND,
                         bench.now_us);
      serve (&bench);
      last_large = *large_answer == DY_OK ? i : last_large;
      last_urgent = *urgent_answer == DY_OK ? i : last_urgent;
      settle (&bench, urgent.number, URGENT_TOKENS);
      settle (&bench, large.number, LARGE_TOKENS);
      tick (&bench, SECOND / STEPS_PER_S);
      serve (&bench);
    }
  ck_assert_int_gt (last_large, 0);
  ck_assert_int_ge (last_urgent - last_large, 4 * STEPS_PER_S);
  bench_finish (&bench);
}
END_TEST

START_TEST (drain_returns_everything)
{
  Bench bench;
  bench_init (&bench, 1000);
  reserve (&bench, 0, 300);
  serve (&bench);
  dy_ledger_drain (&bench.ledger, bench.now_us);
  serve (&bench);
  ck_assert (dy_ledger_busy (&bench.ledger));
  settle (&bench, 0, 250);
  serve (&bench);
  ck_assert (!dy_ledger_busy (&bench.ledger));
  ck_assert_uint_eq (bench.stored.rows->len, 0);
  ck_assert_int_eq (bench.stored.closed_tokens, 250);
  bench_finish (&bench);
}
END_TEST

/* Texts that must not become an entry. */
static const char *const bad_entries[] = {
  "",
  "{}",
  "{\"paid\": 10, \"closed\": 11, \"rows\": [], \"topups\": []}",
  "{\"paid\": 10, \"closed\": 0, \"rows\": [{\"holder\": \"1\", \"granted\": 11, \"settled\": 0, "
  "\"seq\": 1}], "
  "\"topups\": []}",
  "{\"paid\": 10, \"closed\": 0, \"rows\": [{\"holder\": \"1\", \"granted\": 2, \"settled\": 3, "
  "\"seq\": 1}], "
  "\"topups\": []}",
  "{\"paid\": 10, \"closed\": 0, \"rows\": [{\"holder\": \"x\", \"granted\": 2, \"settled\": 1, "
  "\"seq\": 1}], "
  "\"topups\": []}",
  "{\"paid\": -1, \"closed\": 0, \"rows\": [], \"topups\": []}",
};

START_TEST (invalid_entries_are_refused)
{
  DyLedgerEntry entry;
  dy_ledger_entry_init (&entry);
  ck_assert_int_eq (dy_ledger_entry_parse (&entry, bad_entries[_i], strlen (bad_entries[_i])),
                    DY_PROTOCOL);
  dy_ledger_entry_finish (&entry);
}
END_TEST

START_TEST (a_topup_counts_once)
{
  DyLedgerEntry entry;
  dy_ledger_entry_init (&entry);
  ck_assert (dy_ledger_entry_top_up (&entry, "op-1", 10));
  ck_assert (!dy_ledger_entry_top_up (&entry, "op-1", 10));
  char *text = dy_ledger_entry_format (&entry);
  ck_assert_int_eq (dy_ledger_entry_parse (&entry, text, strlen (text)), DY_OK);
  ck_assert (!dy_ledger_entry_top_up (&entry, "op-1", 10));
  ck_assert_int_eq (entry.paid_tokens, 10);
  free (text);
  dy_ledger_entry_finish (&entry);
}
END_TEST

int
main (void)
{
  TCase *tcase = tcase_create ("ledger");
  tcase_add_loop_test (tcase, reserves_within_the_budget, 0, G_N_ELEMENTS (reserve_cases));
  tcase_add_test (tcase, waits_for_what_running_requests_give_back);
  tcase_add_loop_test (tcase, a_lost_answer_is_settled_by_reading_back, 0,
                       G_N_ELEMENTS (lost_cases));
  tcase_add_test (tcase, a_grant_being_returned_is_not_spent);
  tcase_add_test (tcase, says_so_when_the_platform_cannot_be_asked);
  tcase_add_test (tcase, spends_its_grant_while_the_platform_is_down);
  tcase_add_test (tcase, repeats_spend_once);
  tcase_add_test (tcase, a_gone_entry_releases_and_cannot_settle);
  tcase_add_test (tcase, a_gone_entry_that_answered_first_is_charged);
  tcase_add_test (tcase, a_raised_budget_is_used_at_once);
  tcase_add_test (tcase, an_empty_holder_gives_way_to_nobody);
  tcase_add_test (tcase, a_renewed_grant_bridges_an_outage);
  tcase_add_test (tcase, a_former_home_hands_back);
  tcase_add_test (tcase, a_lost_platform_refuses_at_once);
  tcase_add_test (tcase, what_is_not_handed_back_is_not_waited_for);
  tcase_add_test (tcase, the_last_tokens_are_for_urgent_requests);
  tcase_add_test (tcase, drain_returns_everything);
  tcase_add_loop_test (tcase, invalid_entries_are_refused, 0, G_N_ELEMENTS (bad_entries));
  tcase_add_test (tcase, a_topup_counts_once);
  return suite_run ("ledger", tcase);
}
