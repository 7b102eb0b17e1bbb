/* Tests of one holder's ledger decisions. The tests supply the result of each platform call. */

#include "core/ledger.h"
#include "kernel/error.h"
#include "support/suite.h"

#include <string.h>

enum
{
  HOLDER = 7,
  OTHER = 8,
  MAX_RESULTS = 16,
  MS = 1000,
  SECOND = 1000 * 1000,
};

typedef struct
{
  DyLedger ledger;
  DyLedgerEntry stored;       /* the ledger entry on the platform */
  uint64_t version;           /* version of stored */
  DyLedgerEntry requested;    /* ledger entry of the write in progress */
  uint64_t requested_version; /* version that this write must find */
  bool reading;
  bool writing;
  int n_reads;
  int n_writes;
  int results[MAX_RESULTS]; /* by request number modulo MAX_RESULTS; 1: none yet */
  int64_t now_us;
  bool is_home;
} Fixture;

static void
on_read (void *ctx, const char *account)
{
  Fixture *fixture = ctx;
  (void) account;
  fixture->reading = true;
  fixture->n_reads++;
}

static void
on_write (void *ctx, const char *account, uint64_t version, const DyLedgerEntry *entry)
{
  Fixture *fixture = ctx;
  (void) account;
  ck_assert (dy_ledger_entry_valid (entry));
  fixture->writing = true;
  fixture->requested_version = version;
  fixture->n_writes++;
  dy_ledger_entry_copy (&fixture->requested, entry);
}

static void
on_reserved (void *ctx, const DyRequestId *id, int error)
{
  Fixture *fixture = ctx;
  ck_assert_int_eq (fixture->results[id->number % MAX_RESULTS], 1);
  fixture->results[id->number % MAX_RESULTS] = error;
}

static void
on_recall (void *ctx, const char *account, const DyLedgerEntry *entry)
{
  (void) ctx;
  (void) account;
  (void) entry;
}

static const DyLedgerActions actions
    = { .read = on_read, .write = on_write, .reserved = on_reserved, .recall = on_recall };

static bool
serves_account (void *ctx, const char *account)
{
  (void) account;
  return ((const Fixture *) ctx)->is_home;
}

static const DyLedgerActions users_platform_actions = { .read = on_read,
                                                        .write = on_write,
                                                        .reserved = on_reserved,
                                                        .recall = on_recall,
                                                        .serves_account = serves_account };

static void
fixture_init_with (Fixture *fixture,
                   int64_t paid_tokens,
                   const DyLedgerPolicy *policy,
                   const DyLedgerActions *fixture_actions)
{
  memset (fixture, 0, sizeof *fixture);
  dy_ledger_entry_init (&fixture->stored);
  dy_ledger_entry_init (&fixture->requested);
  fixture->stored.paid_tokens = paid_tokens;
  fixture->version = 1;
  fixture->now_us = SECOND;
  fixture->is_home = true;
  for (int i = 0; i < MAX_RESULTS; i++)
    fixture->results[i] = 1;
  dy_ledger_init (&fixture->ledger, HOLDER, "r7", 1, policy, fixture_actions, fixture);
}

/* Sets up a ledger with the policy for the users' platform: each write renews the grant, waiters
 * that cannot be served are refused early, and headroom is retained for urgent requests. */
static void
fixture_init_users_platform (Fixture *fixture, int64_t paid_tokens)
{
  static const DyLedgerPolicy policy = { .horizon_us = 10 * SECOND,
                                         .minimum_tokens = 100,
                                         .percent = 50,
                                         .unsettled_percent = 100,
                                         .settle_interval_us = SECOND,
                                         .idle_return_us = 60 * SECOND,
                                         .urgent_headroom_us = 5 * SECOND,
                                         .refuses_early = true,
                                         .renews_grant = true };
  fixture_init_with (fixture, paid_tokens, &policy, &users_platform_actions);
}

static void
fixture_init (Fixture *fixture, int64_t paid_tokens)
{
  static const DyLedgerPolicy policy = { .horizon_us = SECOND,
                                         .minimum_tokens = 100,
                                         .percent = 50,
                                         .unsettled_percent = 100,
                                         .settle_interval_us = SECOND,
                                         .idle_return_us = 5 * SECOND };
  fixture_init_with (fixture, paid_tokens, &policy, &actions);
}

static void
fixture_finish (Fixture *fixture)
{
  dy_ledger_finish (&fixture->ledger);
  dy_ledger_entry_finish (&fixture->stored);
  dy_ledger_entry_finish (&fixture->requested);
}

static void
reserve (Fixture *fixture, uint64_t number, int64_t tokens)
{
  DyRequestId id = { HOLDER, number };
  dy_ledger_reserve (&fixture->ledger, "a", &id, tokens, 0, fixture->now_us + 2 * SECOND,
                     fixture->now_us);
}

static int
settle (Fixture *fixture, uint64_t number, int64_t tokens)
{
  DyRequestId id = { HOLDER, number };
  return dy_ledger_settle (&fixture->ledger, "a", &id, tokens, fixture->now_us);
}

static void
complete_read (Fixture *fixture, int error)
{
  ck_assert (fixture->reading);
  fixture->reading = false;
  dy_ledger_on_read (&fixture->ledger, "a", error, fixture->version,
                     error ? NULL : &fixture->stored, fixture->now_us);
}

/* Applies the write in progress to the platform if its version still matches. */
static int
apply_write (Fixture *fixture)
{
  if (fixture->requested_version != fixture->version)
    return DY_CONFLICT;
  dy_ledger_entry_copy (&fixture->stored, &fixture->requested);
  fixture->version++;
  return DY_OK;
}

static void
complete_write (Fixture *fixture, int error)
{
  ck_assert (fixture->writing);
  fixture->writing = false;
  dy_ledger_on_write (&fixture->ledger, "a", error, fixture->version, fixture->now_us);
}

/* Completes platform calls until none is in progress. */
static void
complete_calls (Fixture *fixture)
{
  while (fixture->reading || fixture->writing)
    if (fixture->reading)
      complete_read (fixture, DY_OK);
    else
      complete_write (fixture, apply_write (fixture));
}

static void
tick (Fixture *fixture, int64_t us)
{
  fixture->now_us += us;
  dy_ledger_tick (&fixture->ledger, fixture->now_us);
}

/* Two reservations in sequence; the first is settled with USED tokens before the second. */
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
  { 1000, 600, 5000, 401, DY_OK, DY_BUDGET_SPENT }, /* used tokens are capped at the 600 reserved */
  { 0, 1, 0, 1, DY_BUDGET_SPENT, DY_BUDGET_SPENT },
};

START_TEST (reserves_within_the_budget)
{
  Fixture fixture;
  fixture_init (&fixture, reserve_cases[_i].paid);
  reserve (&fixture, 0, reserve_cases[_i].first);
  complete_calls (&fixture);
  ck_assert_int_eq (fixture.results[0], reserve_cases[_i].first_error);
  if (fixture.results[0] == DY_OK)
    ck_assert_int_eq (settle (&fixture, 0, reserve_cases[_i].used), DY_OK);
  reserve (&fixture, 1, reserve_cases[_i].second);
  complete_calls (&fixture);
  for (int i = 0; i < 5; i++)
    {
      tick (&fixture, SECOND / 4);
      complete_calls (&fixture);
    }
  ck_assert_int_eq (fixture.results[1], reserve_cases[_i].second_error);
  fixture_finish (&fixture);
}
END_TEST

START_TEST (waits_for_tokens_of_running_requests)
{
  Fixture fixture;
  fixture_init (&fixture, 1000);
  reserve (&fixture, 0, 900);
  complete_calls (&fixture);
  reserve (&fixture, 1, 500);
  complete_calls (&fixture);
  ck_assert_int_eq (fixture.results[1], 1);
  settle (&fixture, 0, 100);
  complete_calls (&fixture);
  ck_assert_int_eq (fixture.results[1], DY_OK);
  reserve (&fixture, 2, 500);
  complete_calls (&fixture);
  for (int i = 0; i < 12; i++)
    {
      tick (&fixture, SECOND / 4);
      complete_calls (&fixture);
    }
  ck_assert_int_eq (fixture.results[2], DY_BUDGET_RESERVED);
  fixture_finish (&fixture);
}
END_TEST

/* Outcomes of a write whose result was lost. */
static const struct
{
  bool took_effect;
  bool late; /* it takes effect only after the read that follows */
} lost_cases[] = { { true, false }, { false, false }, { true, true } };

START_TEST (a_lost_write_result_is_resolved_by_a_read)
{
  Fixture fixture;
  fixture_init (&fixture, 1000);
  reserve (&fixture, 0, 300);
  complete_read (&fixture, DY_OK);
  DyLedgerEntry late;
  uint64_t late_version = fixture.requested_version;
  dy_ledger_entry_init (&late);
  dy_ledger_entry_copy (&late, &fixture.requested);
  if (lost_cases[_i].took_effect && !lost_cases[_i].late)
    ck_assert_int_eq (apply_write (&fixture), DY_OK);
  complete_write (&fixture, DY_TIMEOUT);
  ck_assert_int_eq (fixture.results[0], 1);
  tick (&fixture, 50 * MS);
  complete_read (&fixture, DY_OK);
  if (lost_cases[_i].late && fixture.version == late_version)
    {
      dy_ledger_entry_copy (&fixture.stored, &late);
      fixture.version++;
    }
  complete_calls (&fixture);
  for (int i = 0; i < 4; i++)
    {
      tick (&fixture, 50 * MS);
      complete_calls (&fixture);
    }
  ck_assert_int_eq (fixture.results[0], DY_OK);
  settle (&fixture, 0, 300);
  tick (&fixture, 2 * SECOND);
  complete_calls (&fixture);
  ck_assert_int_eq (dy_ledger_entry_settled_tokens (&fixture.stored), 300);
  ck_assert (dy_ledger_entry_valid (&fixture.stored));
  dy_ledger_entry_finish (&late);
  fixture_finish (&fixture);
}
END_TEST

/* A write that returns tokens may have taken effect although its result was lost: until a read
 * shows the outcome, the returned tokens must not be reserved. */
START_TEST (an_unresolved_return_is_not_spent)
{
  Fixture fixture;
  fixture_init (&fixture, 1000);
  reserve (&fixture, 0, 100);
  complete_calls (&fixture);
  settle (&fixture, 0, 100);
  tick (&fixture, 6 * SECOND);
  ck_assert (fixture.writing);
  ck_assert_int_eq (apply_write (&fixture), DY_OK);
  DyLedgerRow *row = dy_ledger_entry_row (&fixture.stored, HOLDER);
  ck_assert_int_eq (row->granted_tokens, 100);
  complete_write (&fixture, DY_TIMEOUT);
  reserve (&fixture, 1, 50);
  ck_assert_int_eq (fixture.results[1], 1);
  DyLedgerRow *other = dy_ledger_entry_add_row (&fixture.stored, OTHER, "r8");
  other->granted_tokens = 900;
  fixture.version++;
  for (int i = 0; i < 16; i++)
    {
      tick (&fixture, SECOND / 4);
      complete_calls (&fixture);
    }
  ck_assert_int_eq (fixture.results[1], DY_BUDGET_RESERVED);
  ck_assert (dy_ledger_entry_valid (&fixture.stored));
  fixture_finish (&fixture);
}
END_TEST

START_TEST (an_unreachable_platform_is_reported)
{
  Fixture fixture;
  fixture_init (&fixture, 1000);
  reserve (&fixture, 0, 100);
  for (int i = 0; i < 10; i++)
    {
      if (fixture.reading)
        complete_read (&fixture, DY_UNAVAILABLE);
      tick (&fixture, SECOND / 4);
    }
  ck_assert_int_eq (fixture.results[0], DY_BUDGET_UNAVAILABLE);
  fixture_finish (&fixture);
}
END_TEST

START_TEST (spends_its_grant_while_the_platform_is_down)
{
  Fixture fixture;
  fixture_init (&fixture, 1000);
  reserve (&fixture, 0, 100);
  complete_calls (&fixture);
  settle (&fixture, 0, 100);
  reserve (&fixture, 1, 100); /* granted ahead of demand */
  ck_assert_int_eq (fixture.results[1], DY_OK);
  fixture_finish (&fixture);
}
END_TEST

START_TEST (a_repeated_request_spends_once)
{
  Fixture fixture;
  fixture_init (&fixture, 1000);
  reserve (&fixture, 0, 300);
  complete_calls (&fixture);
  fixture.results[0] = 1;
  reserve (&fixture, 0, 300);
  ck_assert_int_eq (fixture.results[0], DY_OK);
  ck_assert_int_eq (settle (&fixture, 0, 200), DY_OK);
  ck_assert_int_eq (settle (&fixture, 0, 200), DY_OK);
  ck_assert_int_eq (settle (&fixture, 9, 200), DY_NOT_FOUND);
  tick (&fixture, 2 * SECOND);
  complete_calls (&fixture);
  ck_assert_int_eq (dy_ledger_entry_settled_tokens (&fixture.stored), 200);
  fixture_finish (&fixture);
}
END_TEST

START_TEST (a_dead_origin_is_released_and_cannot_settle)
{
  Fixture fixture;
  fixture_init (&fixture, 1000);
  reserve (&fixture, 0, 1000);
  complete_calls (&fixture);
  dy_ledger_end_origin (&fixture.ledger, HOLDER, false, fixture.now_us);
  ck_assert_int_eq (settle (&fixture, 0, 1000), DY_NOT_FOUND);
  reserve (&fixture, 1, 1000);
  complete_calls (&fixture);
  ck_assert_int_eq (fixture.results[1], DY_OK);
  fixture_finish (&fixture);
}
END_TEST

START_TEST (a_dead_origin_that_answers_before_settling_is_charged)
{
  Fixture fixture;
  fixture_init_users_platform (&fixture, 1000);
  reserve (&fixture, 0, 600);
  complete_calls (&fixture);
  dy_ledger_end_origin (&fixture.ledger, HOLDER, true, fixture.now_us);
  tick (&fixture, 2 * SECOND);
  complete_calls (&fixture);
  ck_assert_int_eq (dy_ledger_entry_settled_tokens (&fixture.stored), 600);
  reserve (&fixture, 1, 600);
  complete_calls (&fixture);
  ck_assert_int_eq (fixture.results[1], DY_BUDGET_SPENT);
  fixture_finish (&fixture);
}
END_TEST

START_TEST (a_raised_budget_is_used_at_once)
{
  Fixture fixture;
  fixture_init_users_platform (&fixture, 100);
  reserve (&fixture, 0, 300);
  complete_calls (&fixture);
  ck_assert_int_eq (fixture.results[0], DY_BUDGET_SPENT);
  dy_ledger_raise_paid (&fixture.ledger, "a", 1000);
  reserve (&fixture, 1, 300);
  complete_calls (&fixture);
  ck_assert_int_eq (fixture.results[1], DY_OK);
  ck_assert_int_eq (fixture.stored.paid_tokens, 1000);
  fixture_finish (&fixture);
}
END_TEST

/* A holder with nothing to return must not yield to a recall: it would never read its ledger entry
 * again. */
START_TEST (an_empty_holder_does_not_yield)
{
  Fixture fixture;
  fixture_init (&fixture, 1000);
  reserve (&fixture, 0, 1000);
  complete_calls (&fixture);
  settle (&fixture, 0, 1000);
  tick (&fixture, 2 * SECOND);
  complete_calls (&fixture);
  dy_ledger_recall (&fixture.ledger, "a", HOLDER + 1, fixture.now_us);
  dy_ledger_raise_paid (&fixture.ledger, "a", 2000);
  fixture.stored.paid_tokens = 2000;
  fixture.version++;
  reserve (&fixture, 1, 500);
  complete_calls (&fixture);
  ck_assert_int_eq (fixture.results[1], DY_OK);
  fixture_finish (&fixture);
}
END_TEST

/* Ten requests per second for ten seconds, then a platform outage of eight seconds. */
START_TEST (a_renewed_grant_bridges_an_outage)
{
  enum
  {
    PER_S = 10,
    TOKENS = 100,
    ONLINE_S = 10,
    OUTAGE_S = 8,
  };
  Fixture fixture;
  fixture_init_users_platform (&fixture, 100000);
  int n_refused = 0;
  for (int i = 0; i < (ONLINE_S + OUTAGE_S) * PER_S; i++)
    {
      fixture.results[i % MAX_RESULTS] = 1;
      reserve (&fixture, (uint64_t) i, TOKENS);
      if (i < ONLINE_S * PER_S)
        complete_calls (&fixture);
      n_refused += fixture.results[i % MAX_RESULTS] != DY_OK;
      settle (&fixture, (uint64_t) i, TOKENS);
      tick (&fixture, SECOND / PER_S);
      if (i < ONLINE_S * PER_S)
        complete_calls (&fixture);
    }
  ck_assert_int_eq (n_refused, 0);
  fixture_finish (&fixture);
}
END_TEST

START_TEST (a_former_home_returns_its_grant)
{
  Fixture fixture;
  fixture_init_users_platform (&fixture, 1000);
  reserve (&fixture, 0, 10);
  complete_calls (&fixture);
  settle (&fixture, 0, 10);
  ck_assert_int_gt (dy_ledger_entry_outstanding_tokens (&fixture.stored), 0);
  fixture.is_home = false;
  tick (&fixture, 2 * SECOND);
  complete_calls (&fixture);
  ck_assert_int_eq (dy_ledger_entry_outstanding_tokens (&fixture.stored), 0);
  fixture_finish (&fixture);
}
END_TEST

START_TEST (an_unreachable_platform_refuses_early)
{
  Fixture fixture;
  fixture_init_users_platform (&fixture, 1000);
  reserve (&fixture, 0, 10);
  complete_read (&fixture, DY_TIMEOUT);
  ck_assert_int_eq (fixture.results[0], DY_BUDGET_UNAVAILABLE);
  reserve (&fixture, 1, 10);
  ck_assert_int_eq (fixture.results[1], DY_BUDGET_UNAVAILABLE);
  dy_ledger_on_platform_reachable (&fixture.ledger, fixture.now_us);
  reserve (&fixture, 2, 10);
  complete_calls (&fixture);
  ck_assert_int_eq (fixture.results[2], DY_OK);
  fixture_finish (&fixture);
}
END_TEST

/* Another holder has most of the tokens and does not respond to the recall: waiters are refused
 * soon, later ones at once. */
START_TEST (unreturned_tokens_are_not_waited_for)
{
  Fixture fixture;
  fixture_init_users_platform (&fixture, 1000);
  DyLedgerRow *row = dy_ledger_entry_add_row (&fixture.stored, 99, "lost");
  row->granted_tokens = 900;
  row->seq = 1;
  reserve (&fixture, 0, 500);
  complete_calls (&fixture);
  for (int i = 0; i < 10 && fixture.results[0] == 1; i++)
    {
      tick (&fixture, SECOND / 20);
      complete_calls (&fixture);
    }
  ck_assert_int_eq (fixture.results[0], DY_BUDGET_RESERVED);
  reserve (&fixture, 1, 500);
  ck_assert_int_eq (fixture.results[1], DY_BUDGET_RESERVED);
  reserve (&fixture, 2, 50);
  complete_calls (&fixture);
  ck_assert_int_eq (fixture.results[2], DY_OK);
  fixture_finish (&fixture);
}
END_TEST

/* Loses the holders one after the other: what their rows keep must not grow beyond its limit. */
START_TEST (losses_withhold_a_limited_part)
{
  static const struct
  {
    int64_t unsettled_percent;
    int64_t others_tokens; /* unsettled in the row of a holder that was lost */
    int64_t most_tokens;   /* granted by the first write for a request of 100 tokens */
  } cases[] = {
    { 100, 0, 5050 }, /* half of the rest, by the policy's percent */
    { 100, 5000, 2550 }, { 25, 0, 2600 },   { 25, 1500, 1100 },
    { 25, 2450, 200 }, /* one in a hundred remains */
    { 25, 2500, 200 },   { 25, 6000, 200 }, { 1, 0, 200 },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      Fixture fixture;
      fixture_init_users_platform (&fixture, 10000);
      fixture.ledger.policy.minimum_tokens = 10000;
      fixture.ledger.policy.unsettled_percent = cases[i].unsettled_percent;
      if (cases[i].others_tokens > 0)
        dy_ledger_entry_add_row (&fixture.stored, OTHER, "r8")->granted_tokens
            = cases[i].others_tokens;
      reserve (&fixture, 1, 100);
      complete_calls (&fixture);
      ck_assert_int_eq (fixture.results[1], DY_OK);
      ck_assert_int_eq (dy_ledger_entry_row (&fixture.stored, HOLDER)->granted_tokens,
                        cases[i].most_tokens);
      fixture_finish (&fixture);
    }
}
END_TEST

/* A home begins with few tokens free, some of them after others were lost; a request of 100 tokens
 * of each rank is then decided. */
START_TEST (new_requests_leave_tokens_for_resumed_streams)
{
  static const struct
  {
    int64_t percent;       /* of 10,000 paid tokens */
    int64_t free_tokens;   /* at first */
    int64_t others_tokens; /* unsettled in the row of a holder that was lost */
    int64_t open_tokens;   /* reserved before */
    int64_t wait_us;       /* from the first use to the request */
    uint32_t rank;
    int error;
  } cases[] = {
    { 0, 500, 500, 0, 0, 1, DY_OK },
    { 10, 500, 500, 0, 0, 1, DY_BUDGET_RESERVED }, /* 400 would be left, of 500 lost */
    { 10, 500, 500, 0, 0, 0, DY_OK },
    { 10, 500, 300, 0, 0, 1, DY_OK },
    { 10, 1200, 5000, 0, 0, 1, DY_OK }, /* no more than the percentage is kept */
    { 10, 1000, 5000, 0, 0, 1, DY_BUDGET_RESERVED },
    { 10, 1000, 5000, 0, 6 * SECOND, 1, DY_OK },
    { 10, 500, 5000, 0, 6 * SECOND, 1, DY_BUDGET_RESERVED },
    { 10, 100, 5000, 0, 12 * SECOND, 1, DY_OK },
    { 10, 1000, 0, 600, 0, 1, DY_BUDGET_RESERVED }, /* 300 would be left, of 600 open */
    { 10, 1000, 0, 600, 0, 0, DY_OK },
    { 10, 1000, 0, 400, 0, 1, DY_OK },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      Fixture fixture;
      fixture_init_users_platform (&fixture, 10000);
      fixture.ledger.policy.first_rank_percent = cases[i].percent;
      fixture.ledger.policy.minimum_tokens = 1;
      fixture.stored.closed_tokens = 10000 - cases[i].free_tokens - cases[i].others_tokens;
      if (cases[i].others_tokens > 0)
        dy_ledger_entry_add_row (&fixture.stored, OTHER, "r8")->granted_tokens
            = cases[i].others_tokens;
      reserve (&fixture, 0, cases[i].open_tokens);
      complete_calls (&fixture);
      ck_assert_int_eq (fixture.results[0], DY_OK);
      tick (&fixture, cases[i].wait_us);
      complete_calls (&fixture);
      DyRequestId id = { HOLDER, 1 };
      dy_ledger_reserve (&fixture.ledger, "a", &id, 100, cases[i].rank, fixture.now_us + SECOND,
                         fixture.now_us);
      for (int j = 0; j < 5; j++)
        {
          complete_calls (&fixture);
          tick (&fixture, SECOND / 4);
        }
      ck_assert_msg (fixture.results[1] == cases[i].error, "case %zu: %d, expected %d", i,
                     fixture.results[1], cases[i].error);
      fixture_finish (&fixture);
    }
}
END_TEST

/* Two kinds of request together use up the budget: the large, less urgent ones must be refused
 * early enough to leave the urgent ones tokens for about five seconds more. */
START_TEST (headroom_is_for_urgent_requests)
{
  enum
  {
    N_STEPS = 400,
    STEPS_PER_S = 10,
    URGENT_TOKENS = 10,
    LARGE_TOKENS = 100,
  };
  Fixture fixture;
  int last_large = 0;
  int last_urgent = 0;
  fixture_init_users_platform (&fixture, 20000);
  for (int i = 0; i < N_STEPS; i++)
    {
      DyRequestId urgent = { HOLDER, (uint64_t) i * 2 };
      DyRequestId large = { HOLDER, (uint64_t) i * 2 + 1 };
      int *urgent_result = &fixture.results[urgent.number % MAX_RESULTS];
      int *large_result = &fixture.results[large.number % MAX_RESULTS];
      *urgent_result = *large_result = 1;
      dy_ledger_reserve (&fixture.ledger, "a", &large, LARGE_TOKENS, 1, fixture.now_us + SECOND,
                         fixture.now_us);
      dy_ledger_reserve (&fixture.ledger, "a", &urgent, URGENT_TOKENS, 0, fixture.now_us + SECOND,
                         fixture.now_us);
      complete_calls (&fixture);
      last_large = *large_result == DY_OK ? i : last_large;
      last_urgent = *urgent_result == DY_OK ? i : last_urgent;
      settle (&fixture, urgent.number, URGENT_TOKENS);
      settle (&fixture, large.number, LARGE_TOKENS);
      tick (&fixture, SECOND / STEPS_PER_S);
      complete_calls (&fixture);
    }
  ck_assert_int_gt (last_large, 0);
  ck_assert_int_ge (last_urgent - last_large, 4 * STEPS_PER_S);
  fixture_finish (&fixture);
}
END_TEST

START_TEST (drain_returns_everything)
{
  Fixture fixture;
  fixture_init (&fixture, 1000);
  reserve (&fixture, 0, 300);
  complete_calls (&fixture);
  dy_ledger_drain (&fixture.ledger, fixture.now_us);
  complete_calls (&fixture);
  ck_assert (dy_ledger_busy (&fixture.ledger));
  settle (&fixture, 0, 250);
  complete_calls (&fixture);
  ck_assert (!dy_ledger_busy (&fixture.ledger));
  ck_assert_uint_eq (fixture.stored.rows->len, 0);
  ck_assert_int_eq (fixture.stored.closed_tokens, 250);
  fixture_finish (&fixture);
}
END_TEST

/* Texts that must be rejected as ledger entries. */
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

START_TEST (invalid_entries_are_rejected)
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
  tcase_add_test (tcase, waits_for_tokens_of_running_requests);
  tcase_add_loop_test (tcase, a_lost_write_result_is_resolved_by_a_read, 0,
                       G_N_ELEMENTS (lost_cases));
  tcase_add_test (tcase, an_unresolved_return_is_not_spent);
  tcase_add_test (tcase, an_unreachable_platform_is_reported);
  tcase_add_test (tcase, spends_its_grant_while_the_platform_is_down);
  tcase_add_test (tcase, a_repeated_request_spends_once);
  tcase_add_test (tcase, a_dead_origin_is_released_and_cannot_settle);
  tcase_add_test (tcase, a_dead_origin_that_answers_before_settling_is_charged);
  tcase_add_test (tcase, a_raised_budget_is_used_at_once);
  tcase_add_test (tcase, an_empty_holder_does_not_yield);
  tcase_add_test (tcase, a_renewed_grant_bridges_an_outage);
  tcase_add_test (tcase, a_former_home_returns_its_grant);
  tcase_add_test (tcase, an_unreachable_platform_refuses_early);
  tcase_add_test (tcase, unreturned_tokens_are_not_waited_for);
  tcase_add_test (tcase, losses_withhold_a_limited_part);
  tcase_add_test (tcase, new_requests_leave_tokens_for_resumed_streams);
  tcase_add_test (tcase, headroom_is_for_urgent_requests);
  tcase_add_test (tcase, drain_returns_everything);
  tcase_add_loop_test (tcase, invalid_entries_are_rejected, 0, G_N_ELEMENTS (bad_entries));
  tcase_add_test (tcase, a_topup_counts_once);
  return suite_run ("ledger", tcase);
}
