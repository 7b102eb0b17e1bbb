/* Failures of real processes: kills, pauses, cuts and outages. Each test starts its own fleet. */

#include "support/calls.h"
#include "support/fleet.h"
#include "support/load.h"
#include "support/suite.h"

#include <signal.h>
#include <string.h>

enum
{
  TEST_TIMEOUT_S = 60,
};

/* Sends requests over all routers while FAULT happens in the midst, then checks the sums. FAULT
 * returns the tokens used by requests that it sends itself; N_WHOLE of 60 then get whole answers.
 */
static void
run_with_fault (const FleetSpec *spec,
                int64_t (*fault) (Fleet *fleet),
                void (*end) (Fleet *fleet),
                uint32_t n_completed,
                int64_t *unbilled)
{
  LoadResult before;
  LoadResult after;
  Fleet fleet;
  ck_assert (fleet_init (&fleet, spec));
  LoadSpec load = { .targets = (const char *const *) fleet.callers,
                    .secret = "qadri-example-key",
                    .prefix = "before",
                    .n_requests = 60,
                    .n_concurrent = 12,
                    .max_tokens = 40 };
  load_run (fleet.loop, &load, &before);
  ck_assert_uint_eq (before.n_completed, 60);
  int64_t used = fault (&fleet);
  load.prefix = "during";
  load_run (fleet.loop, &load, &after);
  ck_assert_uint_eq (after.n_mismatched, 0);
  ck_assert_uint_eq (after.n_completed, n_completed);
  end (&fleet);
  ck_assert (fleet_drain (&fleet));
  int64_t settled = fleet_ledger (&fleet, "qadri", "settled_tokens");
  used += before.used_tokens + after.used_tokens;
  *unbilled = used - settled;
  /* Requests that ran and were not answered in full may be charged: at most one for each failure.
   */
  ck_assert_int_le (settled - used, (int64_t) after.n_failed * 60);
  load_result_finish (&before);
  load_result_finish (&after);
  fleet_finish (&fleet);
}

static bool
all_recovered (void *ctx)
{
  Fleet *fleet = ctx;
  char *output = NULL;
  const char *args[] = { "ledger", "qadri", NULL };
  fleet_cli (fleet, args, &output);
  /* Only the rows of the living: the killed router's row is closed. */
  char *killed = g_strdup_printf (" on r%u ", 1);
  bool recovered = output && strstr (output, killed) == NULL;
  g_free (killed);
  g_free (output);
  return recovered;
}

static int64_t
kill_router (Fleet *fleet)
{
  fleet_signal (&fleet->router_process[1], SIGKILL);
  ck_assert (fleet_wait_exit (&fleet->router_process[1]));
  return 0;
}

static void
start_killed (Fleet *fleet)
{
  ck_assert (fleet_start_router (fleet, 1));
  ck_assert (fleet_wait_until (fleet, all_recovered, fleet));
}

START_TEST (a_killed_router_loses_no_token)
{
  FleetSpec spec = { .n_routers = 3,
                     .n_engines = 2,
                     .token_us = 500,
                     .extra_settings = "[budget]\nrecovery_delay_ms = 200\n" };
  int64_t unbilled;
  run_with_fault (&spec, kill_router, start_killed, 40, &unbilled);
  ck_assert_int_le (unbilled, 0);
}
END_TEST

static int64_t
pause_router (Fleet *fleet)
{
  fleet_signal (&fleet->router_process[1], SIGSTOP);
  const char *rest[] = { fleet->callers[0], fleet->callers[2], NULL };
  LoadResult result;
  LoadSpec load = { .targets = rest,
                    .secret = "qadri-example-key",
                    .prefix = "paused",
                    .n_requests = 40,
                    .n_concurrent = 8,
                    .max_tokens = 10 };
  load_run (fleet->loop, &load, &result);
  ck_assert_uint_eq (result.n_completed, 40);
  fleet_signal (&fleet->router_process[1], SIGCONT);
  int64_t used = result.used_tokens;
  load_result_finish (&result);
  return used;
}

static void
no_end (Fleet *fleet)
{
  (void) fleet;
}

START_TEST (a_paused_router_holds_nobody_up)
{
  FleetSpec spec = { .n_routers = 3, .n_engines = 2, .token_us = 500 };
  int64_t unbilled;
  run_with_fault (&spec, pause_router, no_end, 60, &unbilled);
  ck_assert_int_eq (unbilled, 0);
}
END_TEST

static int64_t
stop_platform (Fleet *fleet)
{
  json_decref (fleet_call (fleet, "POST", fleet->platform, "/admin/faults?outage=1", ""));
  return 0;
}

static void
start_platform (Fleet *fleet)
{
  json_decref (fleet_call (fleet, "POST", fleet->platform, "/admin/faults?outage=0", ""));
}

START_TEST (a_platform_outage_is_bridged_by_the_float)
{
  FleetSpec spec = { .n_routers = 3,
                     .n_engines = 2,
                     .token_us = 500,
                     .extra_settings = "[budget]\ngrant_minimum_tokens = 1\ngrant_horizon_ms = 10\n"
                                       "idle_return_ms = 100\n" };
  int64_t unbilled;
  run_with_fault (&spec, stop_platform, start_platform, 60, &unbilled);
  ck_assert_int_eq (unbilled, 0);
}
END_TEST

static int64_t
cut_all (Fleet *fleet)
{
  fleet_partition (fleet);
  return 0;
}

static void
heal_all (Fleet *fleet)
{
  ck_assert (fleet_heal (fleet));
}

START_TEST (routers_cut_off_from_each_other_serve_and_agree_after)
{
  FleetSpec spec = { .relayed = true, .n_routers = 3, .n_engines = 2, .token_us = 500 };
  int64_t unbilled;
  run_with_fault (&spec, cut_all, heal_all, 60, &unbilled);
  ck_assert_int_eq (unbilled, 0);
}
END_TEST

/* Each router alone draws on the same budget until it is spent. */
START_TEST (a_cut_does_not_let_a_budget_be_overspent)
{
  FleetSpec spec = { .relayed = true, .n_routers = 3, .n_engines = 2, .token_us = 200 };
  LoadResult result;
  Fleet fleet;
  ck_assert (fleet_init (&fleet, &spec));
  fleet_partition (&fleet);
  LoadSpec load = { .targets = (const char *const *) fleet.callers,
                    .secret = "magnolia-example-key",
                    .prefix = "cut",
                    .n_requests = 60,
                    .n_concurrent = 9,
                    .max_tokens = 100 };
  load_run (fleet.loop, &load, &result);
  ck_assert_uint_eq (result.n_mismatched + result.n_failed, 0);
  ck_assert_uint_gt (result.n_completed, 0);
  ck_assert (fleet_heal (&fleet));
  ck_assert (fleet_drain (&fleet));
  ck_assert_int_eq (fleet_ledger (&fleet, "magnolia", "settled_tokens"), result.used_tokens);
  ck_assert_int_le (result.used_tokens, fleet_ledger (&fleet, "magnolia", "paid_tokens"));
  load_result_finish (&result);
  fleet_finish (&fleet);
}
END_TEST

START_TEST (one_router_and_one_file_are_enough)
{
  FleetSpec spec = { .n_routers = 1, .n_engines = 1, .token_us = 200 };
  static const char *const headers[] = { QADRI_AUTHORIZATION, NULL };
  char kind[64];
  char *settings;
  Fleet fleet;
  ck_assert (fleet_init (&fleet, &spec));
  char *path = g_build_filename (fleet.dir, "r0.ini", NULL);
  ck_assert (g_file_get_contents (path, &settings, NULL, NULL));
  char *alone = g_strdup_printf (
      "%s\n[platform]\nkind = memory\ndeclarations_dir = %s/declarations\n", settings, fleet.dir);
  ck_assert (g_file_set_contents (path, alone, -1, NULL));
  fleet_signal (&fleet.router_process[0], SIGTERM);
  ck_assert (fleet_wait_exit (&fleet.router_process[0]));
  fleet_signal (&fleet.platform_process, SIGKILL);
  ck_assert (fleet_wait_exit (&fleet.platform_process));
  ck_assert (fleet_start_router (&fleet, 0));
  ck_assert (fleet_wait_line (&fleet.router_process[0], " 1002 "));
  ck_assert_uint_eq (call_send_chat (&fleet, 0, headers, "alone", kind), 200);
  g_free (alone);
  g_free (settings);
  g_free (path);
  fleet_finish (&fleet);
}
END_TEST

/* Returns the number of the router that is home of some account. */
static uint32_t
find_home (Fleet *fleet)
{
  uint32_t home = 0;
  for (uint32_t i = 0; i < fleet->n_routers; i++)
    {
      json_t *dump = fleet_call (fleet, "GET", fleet->operators[i], "/dump", NULL);
      if (json_array_size (json_object_get (json_object_get (dump, "budgets"), "home")) > 0)
        home = i;
      json_decref (dump);
    }
  return home;
}

/* Its declarations and its peers it learns from those that dial it. */
START_TEST (a_fresh_router_serves_during_an_outage)
{
  FleetSpec spec = { .n_routers = 3, .n_engines = 2, .token_us = 200 };
  static const char *const headers[] = { QADRI_AUTHORIZATION, NULL };
  char kind[64];
  Fleet fleet;
  ck_assert (fleet_init (&fleet, &spec));
  ck_assert_uint_eq (call_send_chat (&fleet, 0, headers, "before", kind), 200);
  uint32_t fresh = (find_home (&fleet) + 1) % 3;
  fleet_signal (&fleet.router_process[fresh], SIGKILL);
  ck_assert (fleet_wait_exit (&fleet.router_process[fresh]));
  stop_platform (&fleet);
  ck_assert (fleet_start_router (&fleet, fresh));
  ck_assert (fleet_wait_line (&fleet.router_process[fresh], " 1002 "));
  ck_assert_uint_eq (call_send_chat (&fleet, fresh, headers, "during", kind), 200);
  start_platform (&fleet);
  ck_assert (fleet_drain (&fleet));
  ck_assert_int_eq (fleet_ledger (&fleet, "qadri", "settled_tokens"), 2 * (20 + 2));
  fleet_finish (&fleet);
}
END_TEST

START_TEST (a_router_with_another_secret_stays_out)
{
  FleetSpec spec = { .n_routers = 2, .n_engines = 1, .token_us = 200 };
  static const char *const headers[] = { QADRI_AUTHORIZATION, NULL };
  char kind[64];
  char *settings;
  Fleet fleet;
  ck_assert (fleet_init (&fleet, &spec));
  char *path = g_build_filename (fleet.dir, "r1.ini", NULL);
  ck_assert (g_file_get_contents (path, &settings, NULL, NULL));
  char **parts = g_strsplit (settings, "test-secret", 2);
  char *changed = g_strjoinv ("other-secret", parts);
  ck_assert (g_file_set_contents (path, changed, -1, NULL));
  fleet_signal (&fleet.router_process[1], SIGTERM);
  ck_assert (fleet_wait_exit (&fleet.router_process[1]));
  ck_assert (fleet_start_router (&fleet, 1));
  ck_assert (fleet_wait_line (&fleet.router_process[0], "reason=secret"));
  ck_assert_uint_eq (call_send_chat (&fleet, 0, headers, "alone", kind), 200);
  ck_assert (fleet_drain (&fleet));
  ck_assert_int_eq (fleet_ledger (&fleet, "qadri", "settled_tokens"), 20 + 2);
  g_strfreev (parts);
  g_free (changed);
  g_free (settings);
  g_free (path);
  fleet_finish (&fleet);
}
END_TEST

START_TEST (the_state_is_dumped_on_a_signal)
{
  FleetSpec spec = {
    .n_routers = 1, .n_engines = 1, .token_us = 200, .extra_settings = "[log]\nformat = json\n"
  };
  Fleet fleet;
  ck_assert (fleet_init (&fleet, &spec));
  fleet_signal (&fleet.router_process[0], SIGUSR1);
  ck_assert (fleet_wait_line (&fleet.router_process[0], "\"event\":\"1005\""));
  fleet_finish (&fleet);
}
END_TEST

int
main (void)
{
  TCase *tcase = tcase_create ("faults");
  tcase_set_timeout (tcase, TEST_TIMEOUT_S);
  tcase_add_test (tcase, a_killed_router_loses_no_token);
  tcase_add_test (tcase, a_paused_router_holds_nobody_up);
  tcase_add_test (tcase, a_platform_outage_is_bridged_by_the_float);
  tcase_add_test (tcase, routers_cut_off_from_each_other_serve_and_agree_after);
  tcase_add_test (tcase, a_cut_does_not_let_a_budget_be_overspent);
  tcase_add_test (tcase, one_router_and_one_file_are_enough);
  tcase_add_test (tcase, a_fresh_router_serves_during_an_outage);
  tcase_add_test (tcase, a_router_with_another_secret_stays_out);
  tcase_add_test (tcase, the_state_is_dumped_on_a_signal);
  return suite_run ("faults", tcase);
}
