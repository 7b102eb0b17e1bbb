/* The tree along which messages reach all routers, and the age of what they know by it: fleets in
 * virtual time. */

#include "support/suite.h"

#include "core/spread.h"
#include "core/watch_age.h"

enum
{
  MS = 1000, /* microseconds */
  MAX_ROUTERS = 300,
  NAME_SIZE = 16,
  N_MESSAGES = 60,
  PEER_TIMEOUT_US = 1300 * MS,
};

/* Routers that do not pass messages on are frozen, cut off, or of an earlier build. */
static const struct
{
  uint32_t n_routers;
  uint32_t n_mute;
} fleets[] = { { 1, 0 },  { 2, 0 },  { 9, 0 },   { 9, 3 },    { 18, 2 },
               { 81, 0 }, { 81, 8 }, { 300, 0 }, { 300, 30 }, { 300, 100 } };

typedef struct
{
  uint32_t n;
  uint32_t n_mute; /* the last ones */
  char names[MAX_ROUTERS][NAME_SIZE];
  DyMembers members[MAX_ROUTERS];
  uint32_t n_received[MAX_ROUTERS]; /* copies of the message being sent */
  uint32_t most_sends;
  uint32_t depth;
} Fleet;

static Fleet *
new_fleet (uint32_t n, uint32_t n_mute)
{
  Fleet *fleet = g_new0 (Fleet, 1);
  ck_assert_uint_gt (n, 0);
  fleet->n = n;
  fleet->n_mute = n_mute;
  for (uint32_t i = 0; i < n; i++)
    g_snprintf (fleet->names[i], NAME_SIZE, "r%u", i);
  for (uint32_t i = 0; i < n; i++)
    {
      dy_members_init (&fleet->members[i], fleet->names[i], PEER_TIMEOUT_US);
      for (uint32_t k = 0; k < n; k++)
        {
          dy_members_put (&fleet->members[i], fleet->names[k], "", "", false);
          dy_members_record_heartbeat (&fleet->members[i], fleet->names[k], k + 1, false, 0);
        }
    }
  return fleet;
}

static void
free_fleet (Fleet *fleet)
{
  for (uint32_t i = 0; i < fleet->n; i++)
    dy_members_finish (&fleet->members[i]);
  g_free (fleet);
}

static void
receive (Fleet *fleet, uint32_t router, uint32_t root, uint64_t number, uint32_t depth)
{
  const char *targets[DY_SPREAD_FANOUT];
  fleet->n_received[router]++;
  fleet->depth = MAX (fleet->depth, depth);
  if (router != root && router >= fleet->n - fleet->n_mute)
    return;
  uint32_t n = dy_spread_targets (&fleet->members[router], fleet->names[root], number, 0, targets);
  fleet->most_sends = MAX (fleet->most_sends, n);
  for (uint32_t i = 0; i < n; i++)
    receive (fleet, (uint32_t) g_ascii_strtoull (targets[i] + 1, NULL, 10), root, number,
             depth + 1);
}

static void
spread (Fleet *fleet, uint32_t root, uint64_t number)
{
  memset (fleet->n_received, 0, sizeof fleet->n_received);
  receive (fleet, root, root, number, 0);
}

START_TEST (a_message_reaches_each_router_once_with_few_sends)
{
  enum
  {
    MAX_DEPTH = 3, /* 1 + 8 + 64 + 512 routers */
  };
  Fleet *fleet = new_fleet (fleets[_i].n_routers, 0);
  for (uint32_t number = 0; number < N_MESSAGES; number++)
    {
      spread (fleet, number % fleets[_i].n_routers, number);
      for (uint32_t i = 0; i < fleet->n; i++)
        ck_assert_uint_eq (fleet->n_received[i], 1);
    }
  ck_assert_uint_le (fleet->most_sends, DY_SPREAD_FANOUT);
  ck_assert_uint_le (fleet->depth, MAX_DEPTH);
  free_fleet (fleet);
}
END_TEST

/* A router at an inner place of one message's tree is at the edge of most others'. */
START_TEST (routers_that_pass_nothing_on_keep_few_messages_from_others)
{
  Fleet *fleet = new_fleet (fleets[_i].n_routers, fleets[_i].n_mute);
  /* Most routers are two steps below one that begins; half of the messages that two others pass on
   * allows for chance. */
  double sound = 1.0 - (double) fleets[_i].n_mute / fleets[_i].n_routers;
  double min_received = sound * sound / 2.0 * N_MESSAGES;
  uint32_t *n_received = g_new0 (uint32_t, fleet->n);
  for (uint32_t number = 0; number < N_MESSAGES; number++)
    {
      spread (fleet, 0, number);
      for (uint32_t i = 0; i < fleet->n; i++)
        n_received[i] += fleet->n_received[i];
    }
  for (uint32_t i = 0; i < fleet->n; i++)
    ck_assert_msg (n_received[i] >= min_received, "router %u: %u of %d", i, n_received[i],
                   N_MESSAGES);
  g_free (n_received);
  free_fleet (fleet);
}
END_TEST

START_TEST (the_first_members_for_a_key_are_those_of_the_lowest_ranks)
{
  enum
  {
    N_FIRST = 12,
  };
  const char *names[N_FIRST];
  Fleet *fleet = new_fleet (fleets[_i].n_routers, 0);
  for (uint32_t i = 0; i < fleet->n; i++)
    {
      uint32_t n = dy_members_first (&fleet->members[i], "account", 0, names, N_FIRST);
      ck_assert_uint_eq (n, MIN (fleet->n - 1, N_FIRST));
      uint32_t rank = dy_members_rank (&fleet->members[i], "account", 0);
      for (uint32_t k = 0; k < n; k++)
        {
          /* The order of the others leaves this router out. */
          uint32_t other = (uint32_t) g_ascii_strtoull (names[k] + 1, NULL, 10);
          ck_assert_uint_eq (dy_members_rank (&fleet->members[other], "account", 0),
                             k < rank ? k : k + 1);
        }
    }
  free_fleet (fleet);
}
END_TEST

/* What may be taken from another router: changes after BASE up to VERSION, where CHANGED is the
 * latest change up to BASE, by one that knows all up to KNOWN, of which OWN_CHANGED is the latest.
 */
static const struct
{
  const char *name;
  uint64_t known;
  uint64_t own_changed;
  uint64_t base;
  uint64_t changed;
  uint64_t version;
  bool may_take;
} takes[] = {
  { "the next changes", 10, 10, 10, 10, 20, true },
  { "no change between", 12, 10, 15, 10, 20, true },
  { "known beyond the base, no change between", 17, 10, 15, 10, 20, true },
  { "a change was missed", 10, 10, 15, 13, 20, false },
  { "a part is known", 17, 17, 15, 10, 20, false },
  { "all is known", 20, 20, 15, 10, 20, false },
  { "older", 25, 20, 15, 10, 20, false },
  { "nothing was listed yet", 0, 0, 0, 0, 20, false },
};

START_TEST (changes_are_taken_if_they_follow_on_what_is_known)
{
  DyWatchAge age;
  dy_watch_age_init (&age, &dy_watch_age_policy);
  if (takes[_i].known)
    dy_watch_age_record_answer (&age, takes[_i].known, takes[_i].own_changed, 0);
  bool may_take
      = dy_watch_age_may_take (&age, takes[_i].base, takes[_i].changed, takes[_i].version);
  ck_assert_msg (may_take == takes[_i].may_take, "%s", takes[_i].name);
}
END_TEST

enum
{
  ANSWER_US = 5 * MS,
  TURN_US = 5 * MS,
  RUN_US = 20000 * MS,
  MAX_AGE_US = 2000 * MS, /* changes must be in force 2 s after their acknowledgement */
};

/* The first routers in the order check, and tell the others along the tree. */
START_TEST (the_age_is_bounded_for_few_calls_though_routers_pass_nothing_on)
{
  static const double MAX_CALLS_PER_S = 8.0;
  Fleet *fleet = new_fleet (fleets[_i].n_routers, fleets[_i].n_mute);
  DyWatchAge *ages = g_new0 (DyWatchAge, MAX_ROUTERS);
  int64_t oldest_us = 0;
  uint32_t n_calls = 0;
  for (uint32_t i = 0; i < fleet->n; i++)
    {
      dy_watch_age_init (&ages[i], &dy_watch_age_policy);
      dy_watch_age_record_answer (&ages[i], 10, 0, 0);
    }
  for (int64_t now_us = 0; now_us < RUN_US; now_us += TURN_US)
    for (uint32_t i = 0; i < fleet->n - fleet->n_mute; i++)
      {
        oldest_us = MAX (oldest_us, now_us - ages[i].confirmed_us);
        if (dy_watch_age_decide (&ages[i], i, true, now_us) == DY_WATCH_AGE_FRESH)
          continue;
        spread (fleet, i, ++n_calls);
        for (uint32_t k = 0; k < fleet->n; k++)
          if (fleet->n_received[k])
            dy_watch_age_record_answer (&ages[k], 10, 0, now_us - ANSWER_US);
      }
  ck_assert_msg (oldest_us <= MAX_AGE_US, "%d us", (int) oldest_us);
  ck_assert_msg (n_calls / (RUN_US / 1e6) <= MAX_CALLS_PER_S, "%u calls", n_calls);
  g_free (ages);
  free_fleet (fleet);
}
END_TEST

int
main (void)
{
  TCase *tcase = tcase_create ("spread");
  tcase_add_loop_test (tcase, a_message_reaches_each_router_once_with_few_sends, 0,
                       G_N_ELEMENTS (fleets));
  tcase_add_loop_test (tcase, routers_that_pass_nothing_on_keep_few_messages_from_others, 0,
                       G_N_ELEMENTS (fleets));
  tcase_add_loop_test (tcase, the_first_members_for_a_key_are_those_of_the_lowest_ranks, 0,
                       G_N_ELEMENTS (fleets));
  tcase_add_loop_test (tcase, changes_are_taken_if_they_follow_on_what_is_known, 0,
                       G_N_ELEMENTS (takes));
  tcase_add_loop_test (tcase, the_age_is_bounded_for_few_calls_though_routers_pass_nothing_on, 0,
                       G_N_ELEMENTS (fleets));
  return suite_run ("spread", tcase);
}
