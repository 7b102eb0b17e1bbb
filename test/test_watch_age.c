/* The age of what routers know of watched objects: decisions of one router, and fleets in virtual
 * time whose watches are never answered. */

#include "support/suite.h"

#include "core/watch_age.h"

#include <glib.h>

enum
{
  MS = 1000, /* microseconds */
};

typedef enum
{
  ANSWERED,     /* version 10, no change, sent at the time of the step */
  CHANGED,      /* version 20, with a change of version 15 */
  OLDER,        /* version 5, which is below what is known */
  FAILED,       /* a check failed */
  PEER_SAME,    /* a peer confirmed at the time of the step, without a later change */
  PEER_NEWER,   /* a peer knows of version 20 */
  PEER_BY_LIST, /* the same, and its check failed */
} Step;

typedef struct
{
  int64_t at_ms;
  Step step;
} TimedStep;

/* What a router does at some time after steps; it starts with version 10, confirmed at 0 ms. */
static const struct
{
  const char *name;
  TimedStep steps[4];
  uint32_t n_steps;
  uint32_t rank;
  bool watching;
  int64_t at_ms;
  DyWatchAgeAction action;
} decisions[] = {
  { "young", { { 0, ANSWERED } }, 1, 0, true, 400, DY_WATCH_AGE_FRESH },
  { "first router", { { 0, ANSWERED } }, 1, 0, true, 500, DY_WATCH_AGE_CHECK },
  { "first router without a watch", { { 0, ANSWERED } }, 1, 0, false, 500, DY_WATCH_AGE_CHECK },
  { "second router", { { 0, ANSWERED } }, 1, 1, true, 840, DY_WATCH_AGE_FRESH },
  { "second router, later", { { 0, ANSWERED } }, 1, 1, true, 850, DY_WATCH_AGE_CHECK },
  { "tenth router", { { 0, ANSWERED } }, 1, 9, true, 1220, DY_WATCH_AGE_FRESH },
  { "tenth router, later", { { 0, ANSWERED } }, 1, 9, true, 1230, DY_WATCH_AGE_CHECK },
  { "last router", { { 0, ANSWERED } }, 1, UINT32_MAX, true, 1500, DY_WATCH_AGE_CHECK },
  { "peer confirms",
    { { 0, ANSWERED }, { 900, PEER_SAME } },
    2,
    1,
    true,
    1500,
    DY_WATCH_AGE_FRESH },
  { "peer confirms something older",
    { { 800, ANSWERED }, { 100, PEER_SAME } },
    2,
    0,
    true,
    1200,
    DY_WATCH_AGE_FRESH },
  { "peer knows more, watch about to tell",
    { { 0, ANSWERED }, { 100, PEER_NEWER } },
    2,
    9,
    true,
    250,
    DY_WATCH_AGE_FRESH },
  { "peer knows more, watch late",
    { { 0, ANSWERED }, { 100, PEER_NEWER } },
    2,
    2,
    true,
    300,
    DY_WATCH_AGE_CHECK },
  { "peer knows more, another router checks first",
    { { 0, ANSWERED }, { 100, PEER_NEWER } },
    2,
    9,
    true,
    327,
    DY_WATCH_AGE_FRESH },
  { "peer knows more, no other router has checked",
    { { 0, ANSWERED }, { 100, PEER_NEWER } },
    2,
    9,
    true,
    328,
    DY_WATCH_AGE_CHECK },
  { "peer knows more, last router",
    { { 0, ANSWERED }, { 100, PEER_NEWER } },
    2,
    UINT32_MAX,
    true,
    600,
    DY_WATCH_AGE_CHECK },
  { "peer knows more, watch to be sent",
    { { 0, ANSWERED }, { 100, PEER_NEWER } },
    2,
    9,
    false,
    300,
    DY_WATCH_AGE_FRESH },
  { "peer knows more by a list",
    { { 0, ANSWERED }, { 100, PEER_BY_LIST } },
    2,
    9,
    true,
    328,
    DY_WATCH_AGE_LIST },
  { "watch told what the peer knew",
    { { 0, ANSWERED }, { 100, PEER_NEWER }, { 150, CHANGED } },
    3,
    9,
    true,
    500,
    DY_WATCH_AGE_FRESH },
  { "watch told less than the peer knew",
    { { 0, ANSWERED }, { 100, PEER_NEWER }, { 150, ANSWERED } },
    3,
    9,
    true,
    500,
    DY_WATCH_AGE_CHECK },
  { "older answer", { { 0, ANSWERED }, { 900, OLDER } }, 2, 1, true, 1000, DY_WATCH_AGE_CHECK },
  { "failed check", { { 0, ANSWERED }, { 600, FAILED } }, 2, 0, true, 650, DY_WATCH_AGE_FRESH },
  { "after a failed check",
    { { 0, ANSWERED }, { 600, FAILED } },
    2,
    0,
    true,
    700,
    DY_WATCH_AGE_LIST },
  { "after a failed list",
    { { 0, ANSWERED }, { 600, FAILED }, { 800, FAILED } },
    3,
    0,
    true,
    900,
    DY_WATCH_AGE_CHECK },
  { "nothing known yet", { { 0, ANSWERED } }, 0, 0, true, 5000, DY_WATCH_AGE_FRESH },
};

static void
take_step (DyWatchAge *age, const TimedStep *step)
{
  int64_t at_us = step->at_ms * MS;
  switch (step->step)
    {
    case ANSWERED:
      ck_assert (dy_watch_age_record_answer (age, 10, 0, at_us));
      break;
    case CHANGED:
      ck_assert (dy_watch_age_record_answer (age, 20, 15, at_us));
      break;
    case OLDER:
      ck_assert (!dy_watch_age_record_answer (age, 5, 5, at_us));
      break;
    case FAILED:
      dy_watch_age_record_failure (age, at_us);
      break;
    case PEER_SAME:
      dy_watch_age_record_peer (age, 10, at_us, false, at_us);
      break;
    case PEER_NEWER:
    case PEER_BY_LIST:
      dy_watch_age_record_peer (age, 20, at_us, step->step == PEER_BY_LIST, at_us);
      break;
    }
}

START_TEST (a_router_checks_when_its_knowledge_is_old_or_behind)
{
  DyWatchAge age;
  dy_watch_age_init (&age, &dy_watch_age_policy);
  for (uint32_t i = 0; i < decisions[_i].n_steps; i++)
    take_step (&age, &decisions[_i].steps[i]);
  DyWatchAgeAction action = dy_watch_age_decide (&age, decisions[_i].rank, decisions[_i].watching,
                                                 decisions[_i].at_ms * MS);
  ck_assert_msg (action == decisions[_i].action, "%s: action %d", decisions[_i].name, action);
}
END_TEST

enum
{
  MAX_ROUTERS = 300,
  ANSWER_US = 5 * MS,
  TRANSIT_US = 1 * MS,
  TURN_US = 1 * MS,
  INTERVAL_US = 100 * MS, /* between the decisions of one router */
  RUN_US = 20000 * MS,
  MAX_AGE_US = 2000 * MS, /* changes must be in force 2 s after their acknowledgement */
};

/* What a list of version 20 says of changes to a router that knows all up to KNOWN. */
static const struct
{
  const char *name;
  uint64_t known;
  uint64_t latest;
  bool same_number;
  uint64_t change;
} lists[] = {
  { "nothing changed", 10, 9, true, 0 },
  { "an object was removed, which the list does not show", 10, 9, false, 20 },
  { "an object was changed", 10, 15, true, 20 },
  { "one was added", 10, 15, false, 20 },
  { "the first list", 0, 9, false, 20 },
  { "the first list, of nothing", 0, 0, true, 20 },
};

START_TEST (a_list_may_hide_a_later_change_than_it_shows)
{
  DyWatchAge age;
  dy_watch_age_init (&age, &dy_watch_age_policy);
  if (lists[_i].known)
    dy_watch_age_record_answer (&age, lists[_i].known, lists[_i].known, 0);
  uint64_t change = dy_watch_age_list_change (&age, 20, lists[_i].latest, lists[_i].same_number);
  ck_assert_msg (change == lists[_i].change, "%s: %d", lists[_i].name, (int) change);
}
END_TEST

/* A router knows all changes up to KNOWN, the latest of them at or before CHANGED. Another one,
 * which knows all up to AT, the latest at or before PEER_CHANGED, sends the changes from AT to 40.
 */
static const struct
{
  const char *name;
  uint64_t known;
  uint64_t changed;
  uint64_t peer_changed;
  uint64_t at;
  bool takes;
} peers[] = {
  { "no change since", 20, 20, 15, 30, true },
  { "the same change", 20, 20, 20, 30, true },
  { "a change that is not known", 20, 20, 25, 30, false },
  { "the other one knows less", 30, 25, 15, 20, false },
  { "nothing is known", 0, 0, 15, 30, false },
};

/* Having listed at a later version than the sender of changes is not the same as missing one. */
START_TEST (a_router_that_missed_no_change_takes_the_next_ones)
{
  DyWatchAge age;
  dy_watch_age_init (&age, &dy_watch_age_policy);
  if (peers[_i].known)
    dy_watch_age_record_answer (&age, peers[_i].known, peers[_i].changed, 0);
  dy_watch_age_record_peer_version (&age, peers[_i].peer_changed, peers[_i].at);
  bool takes = dy_watch_age_may_take (&age, peers[_i].at, peers[_i].peer_changed, 40);
  ck_assert_msg (takes == peers[_i].takes, "%s: %d", peers[_i].name, takes);
}
END_TEST

/* The time between the checks of the first router, by the time within which changes must be known,
 * and the age at which the last routers check. */
static const struct
{
  int64_t bound_ms;
  int64_t step_ms;
} bounds[] = { { 0, 500 }, { 2000, 500 }, { 3000, 750 }, { 4000, 1000 }, { 60000, 1000 } };

START_TEST (checks_are_as_frequent_as_the_bound_of_changes_needs)
{
  DyWatchAgePolicy policy = dy_watch_age_policy_for (bounds[_i].bound_ms * MS);
  ck_assert_int_eq (policy.step_us, bounds[_i].step_ms * MS);
  ck_assert_int_le (policy.step_us * (policy.n_steps + 1) + policy.max_spread_us,
                    MAX (bounds[_i].bound_ms, 2000) * MS);
}
END_TEST

/* Fleets in which no watch is answered. The first N_CUT routers do not reach the store, and the
 * others know that or not. */
static const struct
{
  uint32_t n_routers;
  uint32_t n_cut;
  bool cut_is_known;
} fleets[] = { { 1, 0, true },  { 2, 0, true },   { 9, 0, true },    { 81, 0, true },
               { 9, 1, false }, { 81, 1, false }, { 300, 0, true },  { 81, 2, false },
               { 9, 5, true },  { 81, 40, true }, { 300, 150, true } };

typedef struct
{
  DyWatchAge ages[MAX_ROUTERS];
  int64_t answer_us[MAX_ROUTERS]; /* time of the answer to the check in progress; 0: none is */
  int64_t sent_us[MAX_ROUTERS];
  uint32_t n_calls;
  int64_t oldest_us; /* largest age of a router that reaches the store */
} Fleet;

static void
take_answer (Fleet *fleet, uint32_t router, uint32_t n, int64_t now_us)
{
  dy_watch_age_record_answer (&fleet->ages[router], 10, 0, fleet->sent_us[router]);
  fleet->answer_us[router] = 0;
  for (uint32_t i = 0; i < n; i++)
    dy_watch_age_record_peer (&fleet->ages[i], 10, fleet->sent_us[router], false,
                              now_us + TRANSIT_US);
}

START_TEST (the_age_is_bounded_for_few_calls_in_fleets_of_all_sizes)
{
  uint32_t n = fleets[_i].n_routers;
  uint32_t n_cut = fleets[_i].n_cut;
  Fleet *fleet = g_new0 (Fleet, 1);
  for (uint32_t i = 0; i < n; i++)
    {
      dy_watch_age_init (&fleet->ages[i], &dy_watch_age_policy);
      dy_watch_age_record_answer (&fleet->ages[i], 10, 0, 0);
    }
  for (int64_t now_us = 0; now_us < RUN_US; now_us += TURN_US)
    for (uint32_t i = n_cut; i < n; i++)
      {
        DyWatchAge *age = &fleet->ages[i];
        uint32_t rank = fleets[_i].cut_is_known ? i - n_cut : i;
        fleet->oldest_us = MAX (fleet->oldest_us, now_us - age->confirmed_us);
        if (fleet->answer_us[i] && now_us >= fleet->answer_us[i])
          take_answer (fleet, i, n, now_us);
        else if (!fleet->answer_us[i] && (now_us + (int64_t) i * 7 * TURN_US) % INTERVAL_US == 0
                 && dy_watch_age_decide (age, rank, true, now_us) != DY_WATCH_AGE_FRESH)
          {
            fleet->n_calls++;
            fleet->sent_us[i] = now_us;
            fleet->answer_us[i] = now_us + ANSWER_US;
          }
      }
  double calls_per_s = fleet->n_calls / (RUN_US / 1e6);
  ck_assert_msg (fleet->oldest_us <= MAX_AGE_US, "%d us", (int) fleet->oldest_us);
  ck_assert_msg (calls_per_s <= 4.0, "%.1f calls a second", calls_per_s);
  g_free (fleet);
}
END_TEST

int
main (void)
{
  TCase *tcase = tcase_create ("watch_age");
  tcase_add_loop_test (tcase, a_router_that_missed_no_change_takes_the_next_ones, 0,
                       G_N_ELEMENTS (peers));
  tcase_add_loop_test (tcase, a_router_checks_when_its_knowledge_is_old_or_behind, 0,
                       G_N_ELEMENTS (decisions));
  tcase_add_loop_test (tcase, a_list_may_hide_a_later_change_than_it_shows, 0,
                       G_N_ELEMENTS (lists));
  tcase_add_loop_test (tcase, checks_are_as_frequent_as_the_bound_of_changes_needs, 0,
                       G_N_ELEMENTS (bounds));
  tcase_add_loop_test (tcase, the_age_is_bounded_for_few_calls_in_fleets_of_all_sizes, 0,
                       G_N_ELEMENTS (fleets));
  return suite_run ("watch_age", tcase);
}
