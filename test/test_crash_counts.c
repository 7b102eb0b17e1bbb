/* Which requests are blocked as they crash endpoints: sequences of events at one router. */

#include "support/suite.h"

#include "core/crash_counts.h"
#include "core/trial.h"

enum
{
  MS = 1000, /* microseconds */
  MAX_STEPS = 8,
  REQUEST = 7,
};

typedef enum
{
  END,
  CRASH,    /* of ENDPOINT */
  WITHDRAW, /* the latest one of ENDPOINT */
  SUCCESS,
  ADOPT,  /* N crashes that another router counted */
  TRIALS, /* N trials that are known to the store */
  COMES,  /* a caller sends the request */
} StepKind;

typedef struct
{
  int64_t at_s;
  StepKind kind;
  const char *endpoint;
  uint32_t n; /* of a crash: the request was sent so many seconds before */
} Step;

static const struct
{
  const char *name;
  Step steps[MAX_STEPS];
  int64_t at_s;
  bool refused;
} cases[] = {
  { "two crashes", { { 0, CRASH, "a", 0 }, { 1, CRASH, "b", 0 } }, 2, false },
  { "three", { { 0, CRASH, "a", 0 }, { 1, CRASH, "b", 0 }, { 2, CRASH, "c", 0 } }, 2, true },
  { "three of one endpoint",
    { { 0, CRASH, "a", 0 }, { 3, CRASH, "a", 0 }, { 6, CRASH, "a", 0 } },
    6,
    true },
  { "equal requests under one crash",
    { { 0, CRASH, "a", 1 }, { 0, CRASH, "a", 2 }, { 0, CRASH, "a", 3 }, { 1, CRASH, "a", 9 } },
    1,
    false },
  { "sent again after each",
    { { 1, CRASH, "a", 0 }, { 2, CRASH, "a", 0 }, { 3, CRASH, "a", 0 } },
    3,
    true },
  { "endpoints not stated by an earlier build",
    { { 0, CRASH, "a", 0 }, { 0, CRASH, "", 0 }, { 1, CRASH, "b", 0 }, { 1, CRASH, "", 0 } },
    1,
    false },
  { "earlier builds alone",
    { { 0, CRASH, "", 0 }, { 1, CRASH, "", 0 }, { 2, CRASH, "", 0 } },
    2,
    true },
  { "one every forty seconds",
    { { 0, CRASH, "a", 0 }, { 40, CRASH, "b", 0 }, { 80, CRASH, "c", 0 } },
    80,
    true },
  { "forty seconds later",
    { { 0, CRASH, "a", 0 }, { 1, CRASH, "b", 0 }, { 2, CRASH, "c", 0 } },
    42,
    true },
  { "ten minutes later",
    { { 0, CRASH, "a", 0 }, { 1, CRASH, "b", 0 }, { 2, CRASH, "c", 0 } },
    700,
    true },
  { "it comes all the time",
    { { 0, CRASH, "a", 0 },
      { 1, CRASH, "b", 0 },
      { 2, CRASH, "c", 0 },
      { 3000, COMES, NULL, 0 },
      { 6000, COMES, NULL, 0 } },
    9000,
    true },
  { "it has not come for long",
    { { 0, CRASH, "a", 0 }, { 1, CRASH, "b", 0 }, { 2, CRASH, "c", 0 } },
    3700,
    false },
  { "a complete answer between them",
    { { 0, CRASH, "a", 0 },
      { 1, CRASH, "b", 0 },
      { 2, SUCCESS, NULL, 0 },
      { 3, CRASH, "c", 0 },
      { 4, CRASH, "a", 0 } },
    4,
    false },
  { "a complete answer of a trial",
    { { 0, CRASH, "a", 0 }, { 1, CRASH, "b", 0 }, { 2, CRASH, "c", 0 }, { 62, SUCCESS, NULL, 0 } },
    62,
    false },
  { "one was none",
    { { 0, CRASH, "a", 0 }, { 1, CRASH, "b", 0 }, { 2, CRASH, "c", 0 }, { 3, WITHDRAW, "b", 0 } },
    3,
    false },
  { "one of four was none",
    { { 0, CRASH, "a", 0 },
      { 1, CRASH, "b", 0 },
      { 2, CRASH, "c", 0 },
      { 3, CRASH, "d", 0 },
      { 4, WITHDRAW, "b", 0 } },
    4,
    true },
  { "another router's count", { { 0, ADOPT, NULL, 3 } }, 1, true },
  { "another router's count and one", { { 0, ADOPT, NULL, 2 }, { 1, CRASH, "a", 0 } }, 1, true },
  { "a trial that crashed",
    { { 0, ADOPT, NULL, 3 }, { 60, TRIALS, NULL, 1 }, { 61, CRASH, "a", 0 } },
    62,
    true },
};

static void
ignore_removal (void *ctx, uint64_t request)
{
  (void) ctx;
  ck_assert_uint_eq (request, REQUEST);
}

/* Guards against a count that expires too early, or that counts one crash twice. */
START_TEST (request_is_refused_after_three_crashes)
{
  DyCrashCounts counts;
  dy_crash_counts_init (&counts, &dy_crash_counts_policy);
  for (int i = 0; i < MAX_STEPS && cases[_i].steps[i].kind != END; i++)
    {
      const Step *step = &cases[_i].steps[i];
      int64_t now_us = step->at_s * 1000 * MS;
      dy_crash_counts_tick (&counts, ignore_removal, NULL, now_us);
      if (step->kind == CRASH)
        dy_crash_counts_add (&counts, REQUEST, step->endpoint, now_us - step->n * 1000 * MS,
                             now_us);
      else if (step->kind == WITHDRAW)
        ck_assert (dy_crash_counts_withdraw (&counts, REQUEST, step->endpoint));
      else if (step->kind == SUCCESS)
        ck_assert (dy_crash_counts_clear (&counts, REQUEST));
      else if (step->kind == ADOPT)
        dy_crash_counts_adopt (&counts, REQUEST, step->n, 0, DY_CAUSE_PEER, now_us);
      else if (step->kind == TRIALS)
        dy_crash_counts_adopt (&counts, REQUEST, 0, step->n, DY_CAUSE_STORE, now_us);
      else
        dy_crash_counts_refuse (&counts, REQUEST, now_us);
    }
  int64_t now_us = cases[_i].at_s * 1000 * MS;
  dy_crash_counts_tick (&counts, ignore_removal, NULL, now_us);
  ck_assert_msg ((dy_crash_counts_refuse (&counts, REQUEST, now_us) != NULL) == cases[_i].refused,
                 "%s", cases[_i].name);
  dy_crash_counts_finish (&counts);
}
END_TEST

/* Guards against trials that start over after a restart, and against a trial of a request that is
 * no longer blocked. */
START_TEST (trials_are_counted_over_a_restart)
{
  const int64_t second_us = INT64_C (600) * 1000 * MS;
  DyCrashCounts counts;
  dy_crash_counts_init (&counts, &dy_crash_counts_policy);
  ck_assert (dy_crash_counts_adopt (&counts, REQUEST, 3, 1, DY_CAUSE_STORE, 0));
  ck_assert (!dy_crash_counts_adopt (&counts, REQUEST, 3, 1, DY_CAUSE_PEER, 5));
  DyTrials *trials = dy_crash_counts_trials (&counts, REQUEST);
  ck_assert (!dy_trials_is_due (trials, second_us - 1));
  ck_assert (dy_trials_is_due (trials, second_us));
  ck_assert (dy_crash_counts_add (&counts, REQUEST, "a", 100, 100));
  ck_assert (dy_trials_is_due (trials, second_us));
  dy_trials_grant (trials, 2, second_us);
  ck_assert (dy_crash_counts_adopt (&counts, REQUEST, 5, 2, DY_CAUSE_PEER, second_us));
  ck_assert (dy_trials_take (trials));
  ck_assert (!dy_trials_take (trials));
  ck_assert (dy_crash_counts_clear (&counts, REQUEST));
  ck_assert_ptr_null (dy_crash_counts_trials (&counts, REQUEST));
  dy_crash_counts_finish (&counts);
}
END_TEST

int
main (void)
{
  TCase *tcase = tcase_create ("crash_counts");
  tcase_add_loop_test (tcase, request_is_refused_after_three_crashes, 0, G_N_ELEMENTS (cases));
  tcase_add_test (tcase, trials_are_counted_over_a_restart);
  return suite_run ("crash_counts", tcase);
}
