/* Repeats of a request that crashes the endpoints which run it: real router processes. */

#include "support/suite.h"
#include "support/traffic.h"

#include <stdio.h>

enum
{
  CONTACT_MS = 3000,
  MAX_LATE = 3, /* runs later than that after the third */
  N_CRASHES = 3,
  MAX_RUNS = 256,
  SOUND_INTERVAL_MS = 50,
};

typedef enum
{
  NOTHING,
  KILL_ALL, /* all routers are killed and started again between two rounds */
  KILL_ONE, /* one is, and gets all tries of the next round */
  RESTORE,  /* the store returns from a copy of before the round, and all routers are restarted */
} Trouble;

static const struct
{
  const char *name;
  uint32_t n_routers;
  int n_rounds;
  int n_tries;      /* in a round */
  int64_t try_ms;   /* between tries */
  int64_t pause_ms; /* between rounds, of which the first begins right after the third crash */
  Trouble trouble;
} cases[] = {
  { "tries at once", 3, 2, 5, 0, 4000, NOTHING },
  { "rounds a while apart", 3, 3, 5, 200, 41000, NOTHING },
  { "single tries", 2, 8, 1, 0, 5000, NOTHING },
  { "all killed between rounds", 3, 3, 5, 200, 4000, KILL_ALL },
  { "all of nine killed", 9, 2, 9, 100, 4000, KILL_ALL },
  { "all killed after each second try", 2, 5, 2, 300, 2500, KILL_ALL },
  { "one killed, which gets the tries", 3, 4, 5, 200, 4000, KILL_ONE },
  { "one of nine killed", 9, 3, 5, 200, 4000, KILL_ONE },
  { "all killed, store restored", 3, 2, 5, 200, 4000, RESTORE },
};

static int64_t
now_ms (void)
{
  return g_get_monotonic_time () / 1000;
}

/* Sends sound requests for MS, which show that the links work. */
static void
run_sound (Site *site, int64_t ms)
{
  static const TrafficStream sound = { "/ok/x/ok", "", SOUND_INTERVAL_MS, 0, 0 };
  TrafficResult result;
  if (ms > 0)
    traffic_run (site, &sound, &result, 1, ms);
}

/* Sends the request to router I; returns how many endpoints ran it. */
static int64_t
send_crashing (Site *site, uint32_t i, unsigned *status)
{
  static const SiteRequest request = { .method = "GET", .target = "/ok/crash/fragile" };
  SiteAnswer answer;
  site_send (site, i, &request, &answer);
  int64_t runs = answer.runs;
  if (status)
    *status = answer.status;
  site_answer_finish (&answer);
  return runs;
}

static void
make_trouble (Site *site, int i, int64_t begun_ms)
{
  enum
  {
    AWAY_MS = 100,
  };
  if (cases[i].trouble == KILL_ONE)
    {
      ck_assert (site_start_router (site, 0));
      ck_assert (site_wait_ready (site, 0, 200));
    }
  if (cases[i].trouble == RESTORE)
    {
      SiteRestore restore = { .age_ms = now_ms () + AWAY_MS - begun_ms, .away_ms = AWAY_MS };
      site_restore_store (site, &restore);
      site_run_for (site, AWAY_MS * 2);
    }
  if (cases[i].trouble == KILL_ALL || cases[i].trouble == RESTORE)
    ck_assert (site_restart_routers (site));
}

/* Guards against a block that expires while the request is still sent, or is lost in a restart. */
START_TEST (request_that_crashed_endpoints_does_not_come_through_again)
{
  int64_t run_ms[MAX_RUNS];
  int n_runs = 0;
  int n_late = 0;
  int n_sent = 0;
  Site site;
  ck_assert (site_init (&site, cases[_i].n_routers));
  run_sound (&site, 500);
  int64_t begun_ms = now_ms ();
  for (int round = 0; round < cases[_i].n_rounds; round++)
    {
      for (int i = 0; i < cases[_i].n_tries; i++)
        {
          bool at_one = cases[_i].trouble == KILL_ONE && round > 0;
          uint32_t router = at_one ? 0 : (uint32_t) n_sent % cases[_i].n_routers;
          int64_t n = send_crashing (&site, router, NULL);
          for (int64_t k = 0; k < n && n_runs < MAX_RUNS; k++)
            run_ms[n_runs++] = now_ms ();
          n_sent++;
          run_sound (&site, cases[_i].try_ms);
        }
      if (round + 1 == cases[_i].n_rounds)
        break;
      run_sound (&site, cases[_i].pause_ms);
      make_trouble (&site, _i, begun_ms);
    }
  for (int i = N_CRASHES; i < n_runs; i++)
    n_late += run_ms[i] > run_ms[N_CRASHES - 1] + CONTACT_MS;
  fprintf (stderr, "%s: %d runs of %d requests, %d late\n", cases[_i].name, n_runs, n_sent, n_late);
  ck_assert_int_ge (n_runs, N_CRASHES);
  ck_assert_msg (n_late <= MAX_LATE, "%s: %d late runs", cases[_i].name, n_late);
  site_finish (&site);
}
END_TEST

/* Guards against a block without an end, and against a trial that is too early or made twice. */
START_TEST (request_that_is_sound_again_is_served_after_a_trial)
{
  enum
  {
    TRIAL_MS = 60000,
    SLACK_MS = 8000,
    BLOCK_MS = 2000, /* the block began at most this long before the latest request ended */
    N_ROUTERS = 3,
    PAUSE_MS = 250,
  };
  unsigned status = 0;
  int64_t n_runs = 0;
  Site site;
  ck_assert (site_init (&site, N_ROUTERS));
  run_sound (&site, 500);
  for (uint32_t i = 0; i < N_CRASHES + 1; i++)
    send_crashing (&site, i % N_ROUTERS, &status);
  int64_t blocked_ms = now_ms ();
  ck_assert_uint_eq (status, 503);
  for (uint32_t i = 0; i < site.n_workers; i++)
    json_decref (fleet_call (&site.fleet, "POST", site.workers[i], "/admin/mend", "{}"));
  for (uint32_t i = 0; status != 200 && now_ms () < blocked_ms + TRIAL_MS + SLACK_MS; i++)
    {
      n_runs += send_crashing (&site, i % N_ROUTERS, &status);
      run_sound (&site, PAUSE_MS);
    }
  fprintf (stderr, "served after %d ms\n", (int) (now_ms () - blocked_ms));
  ck_assert_uint_eq (status, 200);
  ck_assert_int_eq (n_runs, 1);
  ck_assert_int_ge (now_ms () - blocked_ms, TRIAL_MS - BLOCK_MS);
  for (uint32_t i = 0; i < N_ROUTERS; i++)
    {
      send_crashing (&site, i, &status);
      ck_assert_uint_eq (status, 200);
    }
  ck_assert (site_restart_routers (&site));
  send_crashing (&site, 1, &status);
  ck_assert_uint_eq (status, 200);
  site_finish (&site);
}
END_TEST

int
main (void)
{
  enum
  {
    TIMEOUT_S = 180,
  };
  TCase *tcase = tcase_create ("crashing_requests");
  tcase_set_timeout (tcase, TIMEOUT_S);
  tcase_add_loop_test (tcase, request_that_crashed_endpoints_does_not_come_through_again, 0,
                       G_N_ELEMENTS (cases));
  tcase_add_test (tcase, request_that_is_sound_again_is_served_after_a_trial);
  return suite_run ("crashing_requests", tcase);
}
