/* Times for which refused callers got a Retry-After. */

#include "support/suite.h"

#include "core/return_schedule.h"

#include <stdbool.h>
#include <string.h>

enum
{
  MS = 1000,
  SECOND = 1000 * MS,
  MIN_US = 300 * MS,
  MAX_US = 4000 * MS,
  LONG_LEFT_US = 60 * SECOND,
  MAX_CALLS = 4096,
  SEED = 7,
};

/* Guards against callers that return together: no second gets many more of them than grants. */
static const struct
{
  const char *name;
  int64_t grants_per_s;
  int n_refused; /* within 100 ms; the lane of those with much time has 3.7 s */
} bursts[] = {
  { "few", 10, 20 },
  { "usual", 40, 100 },
  { "many", 200, 500 },
};

START_TEST (a_burst_is_spread_at_the_rate_of_grants)
{
  DyReturnSchedule schedule;
  int64_t at_us[MAX_CALLS] = { 0 };
  int64_t now_us = 0;
  int n = 0;
  dy_return_schedule_init (&schedule, SEED);
  for (; now_us < 3 * SECOND; now_us += SECOND / bursts[_i].grants_per_s)
    dy_return_schedule_grant (&schedule, "a", now_us);
  ck_assert_int_eq (dy_return_schedule_refuse (&schedule, "a", LONG_LEFT_US, now_us), 0);
  for (int i = 0; i < bursts[_i].n_refused; i++)
    {
      int64_t refused_us = now_us + (int64_t) i * 100 * MS / bursts[_i].n_refused;
      int64_t wait_us = dy_return_schedule_refuse (&schedule, "a", LONG_LEFT_US, refused_us);
      ck_assert_msg (wait_us >= MIN_US && wait_us <= MAX_US, "%s: %d us", bursts[_i].name,
                     (int) wait_us);
      at_us[n++] = refused_us + wait_us;
    }
  for (int i = 0; i < n; i++)
    {
      int n_within = 0;
      for (int k = 0; k < n; k++)
        n_within += at_us[k] >= at_us[i] && at_us[k] < at_us[i] + SECOND;
      ck_assert_msg (n_within * 5 <= bursts[_i].grants_per_s * 6, "%s: %d returns in a second",
                     bursts[_i].name, n_within);
    }
  dy_return_schedule_finish (&schedule);
}
END_TEST

/* Guards against waits that callers do not honour, and callers that never return. */
static const struct
{
  const char *name;
  int64_t without_us;
  int64_t left_us;
  int64_t min_us;
  int64_t max_us;
} outages[] = {
  { "just begun", 0, LONG_LEFT_US, MIN_US, 600 * MS },
  { "a second", SECOND, LONG_LEFT_US, SECOND, 1300 * MS },
  { "long", 100 * SECOND, LONG_LEFT_US, 3200 * MS, MAX_US },
  { "little time left", 2 * SECOND, 3 * SECOND, SECOND, SECOND },
  { "no time left", 2 * SECOND, 0, 1, 20 * MS },
  { "time limit is over", 2 * SECOND, -SECOND, 1, 20 * MS },
  { "least time left", 2 * SECOND, INT64_MIN, 1, 20 * MS },
  { "not limited", 2 * SECOND, INT64_MAX, 2 * SECOND, 2500 * MS },
  { "negative", -SECOND, LONG_LEFT_US, MIN_US, 600 * MS },
  { "huge", INT64_MAX, INT64_MAX, 3200 * MS, MAX_US },
};

START_TEST (an_outage_is_expected_to_last_as_long_again)
{
  DyReturnSchedule schedule;
  dy_return_schedule_init (&schedule, SEED);
  for (int i = 0; i < 200; i++)
    {
      int64_t wait_us
          = dy_return_schedule_outage_us (&schedule, outages[_i].without_us, outages[_i].left_us);
      ck_assert_msg (wait_us >= outages[_i].min_us && wait_us <= outages[_i].max_us, "%s: %d us",
                     outages[_i].name, (int) wait_us);
    }
  dy_return_schedule_finish (&schedule);
}
END_TEST

START_TEST (a_key_without_grants_is_in_outage_since_its_first_refusal)
{
  DyReturnSchedule schedule;
  int64_t first_us = 20 * SECOND;
  dy_return_schedule_init (&schedule, SEED);
  for (int64_t now_us = 0; now_us < 15 * SECOND; now_us += 50 * MS)
    dy_return_schedule_grant (&schedule, "a", now_us);
  /* There was no demand for 5 s, which is no outage. */
  ck_assert_int_eq (dy_return_schedule_refuse (&schedule, "a", LONG_LEFT_US, first_us), 0);
  for (int64_t without_us = 100 * MS; without_us < 10 * SECOND; without_us += 100 * MS)
    {
      int64_t base_us = CLAMP (without_us, MIN_US, 3200 * MS);
      int64_t wait_us
          = dy_return_schedule_refuse (&schedule, "a", LONG_LEFT_US, first_us + without_us);
      ck_assert_msg (wait_us >= base_us && wait_us <= base_us + MAX (base_us / 4, MIN_US),
                     "%d us after %d us", (int) wait_us, (int) without_us);
    }
  dy_return_schedule_finish (&schedule);
}
END_TEST

/* Guards against callers with much time left that take all early places. */
START_TEST (a_caller_with_little_time_left_has_a_place_in_time)
{
  DyReturnSchedule schedule;
  int64_t now_us = 0;
  dy_return_schedule_init (&schedule, SEED);
  for (; now_us < 3 * SECOND; now_us += 25 * MS)
    dy_return_schedule_grant (&schedule, "a", now_us);
  int64_t latest_us = 0;
  for (int i = 0; i < 200; i++)
    latest_us = dy_return_schedule_refuse (&schedule, "a", LONG_LEFT_US, now_us);
  ck_assert_int_ge (latest_us, 2 * SECOND);
  for (int i = 0; i < 5; i++)
    {
      int64_t wait_us = dy_return_schedule_refuse (&schedule, "a", 3 * SECOND, now_us);
      ck_assert_int_ge (wait_us, MIN_US + i * 100 * MS);
      ck_assert_int_le (wait_us, MIN_US + (i + 1) * 100 * MS);
    }
  ck_assert_int_le (dy_return_schedule_refuse (&schedule, "a", 600 * MS, now_us), 200 * MS);
  dy_return_schedule_finish (&schedule);
}
END_TEST

/* Guards against overflows, and against memory that grows with the number of names. */
START_TEST (absurd_values_and_many_keys_have_no_effect)
{
  static const int64_t times[]
      = { -1, INT64_MIN, INT64_MAX, 0, 5 * SECOND, 4 * SECOND, INT64_MAX / 2 - 1, 1 };
  static const int64_t lefts[] = { INT64_MIN, -1, 0, 1, INT64_MAX };
  DyReturnSchedule schedule;
  dy_return_schedule_init (&schedule, SEED);
  dy_return_schedule_grant (&schedule, NULL, 0);
  ck_assert_int_eq (dy_return_schedule_refuse (&schedule, NULL, LONG_LEFT_US, 0), 0);
  for (size_t t = 0; t < G_N_ELEMENTS (times); t++)
    for (size_t l = 0; l < G_N_ELEMENTS (lefts); l++)
      {
        dy_return_schedule_grant (&schedule, "", times[t]);
        int64_t wait_us = dy_return_schedule_refuse (&schedule, "", lefts[l], times[t]);
        ck_assert_int_ge (wait_us, 0);
        ck_assert_int_le (wait_us, MAX_US);
      }
  dy_return_schedule_finish (&schedule);

  dy_return_schedule_init (&schedule, SEED);
  char name[16];
  for (int i = 0; i < 3 * DY_RETURN_SCHEDULE_KEYS; i++)
    {
      g_snprintf (name, sizeof name, "k%d", i);
      dy_return_schedule_refuse (&schedule, name, LONG_LEFT_US, SECOND);
    }
  ck_assert_int_eq (g_hash_table_size (schedule.keys), DY_RETURN_SCHEDULE_KEYS);
  ck_assert_int_eq (dy_return_schedule_refuse (&schedule, name, LONG_LEFT_US, SECOND), 0);
  /* All others are idle by now. */
  dy_return_schedule_refuse (&schedule, name, LONG_LEFT_US, 20 * SECOND);
  ck_assert_int_eq (g_hash_table_size (schedule.keys), 1);
  dy_return_schedule_finish (&schedule);
}
END_TEST

/* Callers of which each returns once, at a key with places for ROOM requests a second. */
typedef struct
{
  int n_refused;       /* first calls */
  int n_refused_again; /* their returns */
} Outcome;

enum
{
  ROOM_PER_S = 50,
  STEP_MS = 10,
  BURST_MS = 3000,
  BURST_START_MS = 3000,
  END_MS = 14000,
};

static bool
take_room (double *room)
{
  if (*room < 1.0)
    return false;
  *room -= 1.0;
  return true;
}

static Outcome
replay (bool scheduled, double usual_load, uint32_t seed)
{
  static int due[END_MS / STEP_MS];
  DyReturnSchedule schedule;
  Outcome outcome = { 0 };
  GRand *rng = g_rand_new_with_seed (seed);
  double room = 0.0;
  memset (due, 0, sizeof due);
  dy_return_schedule_init (&schedule, seed);
  for (int ms = 0; ms < END_MS; ms += STEP_MS)
    {
      bool in_burst = ms >= BURST_START_MS && ms < BURST_START_MS + BURST_MS;
      double per_step = (in_burst ? 4.0 : usual_load) * ROOM_PER_S * STEP_MS / 1000.0;
      int n_new = (int) per_step + (g_rand_double (rng) < per_step - (int) per_step);
      int n_back = due[ms / STEP_MS];
      room = MIN (room + ROOM_PER_S * STEP_MS / 1000.0, 5.0);
      while (n_new + n_back > 0)
        {
          bool is_new = g_rand_int_range (rng, 0, n_new + n_back) < n_new;
          *(is_new ? &n_new : &n_back) -= 1;
          if (take_room (&room))
            {
              dy_return_schedule_grant (&schedule, "a", (int64_t) ms * MS);
              continue;
            }
          int64_t left_us = is_new ? 12 * SECOND : 8 * SECOND;
          int64_t wait_us = dy_return_schedule_refuse (&schedule, "a", left_us, (int64_t) ms * MS);
          if (!scheduled || wait_us == 0)
            wait_us = g_rand_int_range (rng, MIN_US, 2 * MIN_US);
          outcome.n_refused += is_new;
          outcome.n_refused_again += !is_new;
          int back_ms = ms + (int) (wait_us / MS);
          if (is_new && back_ms < END_MS)
            due[back_ms / STEP_MS]++;
        }
    }
  g_rand_free (rng);
  dy_return_schedule_finish (&schedule);
  return outcome;
}

static const double usual_loads[] = { 0.3, 0.6, 0.8 };

START_TEST (a_burst_is_refused_again_less_than_with_a_fixed_wait)
{
  Outcome fixed = { 0 };
  Outcome spread = { 0 };
  for (uint32_t seed = 1; seed <= 10; seed++)
    {
      Outcome f = replay (false, usual_loads[_i], seed);
      Outcome s = replay (true, usual_loads[_i], seed);
      fixed.n_refused += f.n_refused;
      fixed.n_refused_again += f.n_refused_again;
      spread.n_refused += s.n_refused;
      spread.n_refused_again += s.n_refused_again;
    }
  g_print (
      "usual load %.1f: refused again %d of %d with the schedule, %d of %d with a fixed wait\n",
      usual_loads[_i], spread.n_refused_again, spread.n_refused, fixed.n_refused_again,
      fixed.n_refused);
  ck_assert_int_lt (spread.n_refused_again * 10, fixed.n_refused_again * 9);
}
END_TEST

int
main (void)
{
  TCase *tcase = tcase_create ("return_schedule");
  tcase_add_loop_test (tcase, a_burst_is_spread_at_the_rate_of_grants, 0, G_N_ELEMENTS (bursts));
  tcase_add_loop_test (tcase, an_outage_is_expected_to_last_as_long_again, 0,
                       G_N_ELEMENTS (outages));
  tcase_add_test (tcase, a_key_without_grants_is_in_outage_since_its_first_refusal);
  tcase_add_test (tcase, a_caller_with_little_time_left_has_a_place_in_time);
  tcase_add_test (tcase, absurd_values_and_many_keys_have_no_effect);
  tcase_add_loop_test (tcase, a_burst_is_refused_again_less_than_with_a_fixed_wait, 0,
                       G_N_ELEMENTS (usual_loads));
  return suite_run ("return_schedule", tcase);
}
