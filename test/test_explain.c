/* "dogwoodyoke explain" on lines of routers under the soak test. */

#include "support/fleet.h"
#include "support/suite.h"

/* test/explain/NAME.log has the lines, NAME.txt what is printed after them. */
static const struct
{
  const char *name;
  const char *request;
} cases[] = {
  { "copied-refusal", "soak-16-119" },  { "may-have-run", "soak-17-1831" },
  { "misdirected", "soak-14-229" },     { "silent", "soak-1-7945" },
  { "turned-away", "soak-16-73" },      { "relayed", "soak-1-257" },
  { "missing-fields", "soak-16-119" },  { "unknown-event", "soak-16-119" },
  { "no-resend-budget", "soak-2-190" }, { "evacuated", "request-500" },
};

START_TEST (each_sending_is_shown_with_its_endpoint_connection_and_why_it_was_sent_again)
{
  Fleet fleet = { .loop = ev_default_loop (EVFLAG_AUTO) };
  FleetProcess process = { 0 };
  char *expected = NULL;
  char *program = fleet_program ("dogwoodyoke");
  char *log = g_strdup_printf ("%s/test/explain/%s.log", g_getenv ("DY_SOURCE"), cases[_i].name);
  char *text = g_strdup_printf ("%s/test/explain/%s.txt", g_getenv ("DY_SOURCE"), cases[_i].name);
  char *argv[] = { program, "explain", (char *) cases[_i].request, log, NULL };
  ck_assert (g_file_get_contents (text, &expected, NULL, NULL));
  ck_assert (fleet_spawn (&fleet, &process, "explain", argv));
  ck_assert (fleet_wait_line (&process, "7004 request ended ("));
  ck_assert (fleet_wait_exit (&process));
  ck_assert_int_eq (process.exit_status, 0);
  const char *sendings = strstr (process.output->str, "\nsendings of ");
  ck_assert_ptr_nonnull (sendings);
  ck_assert_str_eq (sendings + 1, expected);
  fleet_kill (&process);
  g_free (expected);
  g_free (program);
  g_free (log);
  g_free (text);
}
END_TEST

/* Which router learned when of the evacuation that a request met is not in the request's own lines.
 */
START_TEST (the_evacuation_that_a_request_met_is_shown_and_no_other)
{
  Fleet fleet = { .loop = ev_default_loop (EVFLAG_AUTO) };
  FleetProcess process = { 0 };
  char *program = fleet_program ("dogwoodyoke");
  char *log = g_strdup_printf ("%s/test/explain/evacuated.log", g_getenv ("DY_SOURCE"));
  char *argv[] = { program, "explain", "request-500", log, NULL };
  ck_assert (fleet_spawn (&fleet, &process, "explain", argv));
  ck_assert (fleet_wait_line (&process, "sendings of"));
  ck_assert (fleet_wait_exit (&process));
  ck_assert_ptr_nonnull (strstr (process.output->str, "\"6024\""));
  ck_assert_ptr_nonnull (strstr (process.output->str, "\"dc-b\",\"endpoints\":\"5\""));
  ck_assert_ptr_null (strstr (process.output->str, "\"dc-c\""));
  fleet_kill (&process);
  g_free (program);
  g_free (log);
}
END_TEST

START_TEST (only_log_lines_are_printed_as_json)
{
  Fleet fleet = { .loop = ev_default_loop (EVFLAG_AUTO) };
  FleetProcess process = { 0 };
  char *program = fleet_program ("dogwoodyoke");
  char *log = g_strdup_printf ("%s/test/explain/silent.log", g_getenv ("DY_SOURCE"));
  char *argv[] = { program, "--json", "explain", "soak-1-7945", log, NULL };
  ck_assert (fleet_spawn (&fleet, &process, "explain", argv));
  ck_assert (fleet_wait_line (&process, "request ended"));
  ck_assert (fleet_wait_exit (&process));
  ck_assert_int_eq (process.exit_status, 0);
  ck_assert_ptr_null (strstr (process.output->str, "sendings of"));
  fleet_kill (&process);
  g_free (program);
  g_free (log);
}
END_TEST

int
main (void)
{
  TCase *tcase = tcase_create ("explain");
  tcase_add_loop_test (tcase,
                       each_sending_is_shown_with_its_endpoint_connection_and_why_it_was_sent_again,
                       0, G_N_ELEMENTS (cases));
  tcase_add_test (tcase, the_evacuation_that_a_request_met_is_shown_and_no_other);
  tcase_add_test (tcase, only_log_lines_are_printed_as_json);
  return suite_run ("explain", tcase);
}
