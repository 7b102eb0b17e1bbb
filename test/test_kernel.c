/* Tests of the tables of error kinds, settings, log events and metrics, and of their lists in the
 * pages for operators. */

#include "kernel/counters.h"
#include "kernel/error.h"
#include "kernel/log.h"
#include "kernel/settings.h"
#include "support/suite.h"

#include <stdio.h>
#include <string.h>

START_TEST (error_numbers_have_kinds)
{
  for (int error = 0; error >= -64; error--)
    {
      const DyErrorInfo *info = dy_error_info (error);
      ck_assert_ptr_nonnull (info->kind);
      if (info->number == error)
        ck_assert_ptr_eq (dy_error_info_by_kind (info->kind), info);
      else
        ck_assert_int_eq (info->number, DY_INTERNAL);
    }
}
END_TEST

/* A kind reported as "not run" invites a retry, so it must not stand for a request that may have
 * run. */
static const struct
{
  int error;
  unsigned status;
  DyRunStatus run;
} error_cases[] = {
  { DY_BUDGET_SPENT, 402, DY_RUN_NOT_RUN },      { DY_BUDGET_UNAVAILABLE, 503, DY_RUN_NOT_RUN },
  { DY_OUTCOME_UNKNOWN, 502, DY_RUN_UNKNOWN },   { DY_STREAM_BROKEN, 502, DY_RUN_RAN },
  { DY_UNAUTHORIZED, 401, DY_RUN_NOT_RUN },      { DY_BODY_TOO_LARGE, 413, DY_RUN_NOT_RUN },
  { DY_CLAIM_UNAVAILABLE, 503, DY_RUN_NOT_RUN },
};

START_TEST (error_kind_has_its_status)
{
  const DyErrorInfo *info = dy_error_info (error_cases[_i].error);
  ck_assert_uint_eq (info->http_status, error_cases[_i].status);
  ck_assert_int_eq (info->run, error_cases[_i].run);
}
END_TEST

static const struct
{
  const char *text;
  const char *expected; /* part of the error message; NULL: the settings are valid */
} settings_cases[] = {
  { "[node]\nname=r1\ndata_centre=a\n", NULL },
  { "[node]\ndata_centre=a\n", "[node] name: required key is missing" },
  { "[node]\nname=\ndata_centre=a\n", "[node] name: must not be empty" },
  { "[node]\nname=r1\ndata_centre=a\ncolour=red\n", "[node] colour: unknown key" },
  { "[nodes]\nname=r1\n", "[nodes]: unknown section" },
  { "[node]\nname=r1\ndata_centre=a\n[peers]\nheartbeat_ms=soon\n",
    "[peers] heartbeat_ms: 'soon' is not an integer from 10 to 60000" },
  { "[node]\nname=r1\ndata_centre=a\n[peers]\nheartbeat_ms=9\n", "from 10 to 60000" },
  { "[node]\nname=r1\ndata_centre=a\n[endpoints]\nresend_ratio=0.25\n", NULL },
  { "[node]\nname=r1\ndata_centre=a\n[endpoints]\nresend_ratio=2\n",
    "[endpoints] resend_ratio: '2' is not a number from 0 to 1" },
  { "[node]\nname=r1\ndata_centre=a\n[endpoints]\nresend_ratio=0.2x\n", "is not a number" },
  { "[node]\nname=r1\ndata_centre=a\n[platform]\nkind=disk\n",
    "[platform] kind: 'disk' is not one of http|memory" },
  { "name=r1\n", "Key file" },
};

START_TEST (settings_are_checked)
{
  char *path = NULL;
  char *error_text = NULL;
  DySettings settings;
  int fd = g_file_open_tmp ("settings-XXXXXX.ini", &path, NULL);
  ck_assert_int_ge (fd, 0);
  fclose (fdopen (fd, "w"));
  g_file_set_contents (path, settings_cases[_i].text, -1, NULL);
  int error = dy_settings_init (&settings, path, &error_text);
  if (settings_cases[_i].expected)
    {
      ck_assert_int_eq (error, DY_SETTINGS);
      ck_assert_msg (strstr (error_text, settings_cases[_i].expected) != NULL, "%s", error_text);
      ck_assert_msg (g_str_has_prefix (error_text, path), "%s", error_text);
    }
  else
    {
      ck_assert_msg (error == DY_OK, "%s", error_text);
      ck_assert_str_eq (settings.node_name, "r1");
      ck_assert_int_eq (settings.heartbeat_ms, 300);
      dy_settings_finish (&settings);
    }
  remove (path);
  g_free (path);
  g_free (error_text);
}
END_TEST

static char *
read_doc (const char *name)
{
  char *path = g_build_filename (g_getenv ("DY_SOURCE"), "docs", name, NULL);
  char *text = NULL;
  ck_assert_msg (g_file_get_contents (path, &text, NULL, NULL), "%s", path);
  g_free (path);
  return text;
}

START_TEST (events_are_in_the_catalogue)
{
  char *text = read_doc ("EVENTS.md");
  for (int event = 0; event < DY_N_EVENTS; event++)
    {
      const DyEventInfo *info = dy_event_info ((DyEvent) event);
      char *row = g_strdup_printf ("| %u | %s |", info->number, info->name);
      ck_assert_msg (strstr (text, row) != NULL, "docs/EVENTS.md lacks: %s", row);
      g_free (row);
    }
  g_free (text);
}
END_TEST

START_TEST (settings_are_in_the_operators_page)
{
  char *text = read_doc ("OPERATIONS.md");
  uint32_t n;
  const DySettingSpec *specs = dy_settings_specs (&n);
  for (uint32_t i = 0; i < n; i++)
    {
      char *row = g_strdup_printf ("| %s | %s |", specs[i].section, specs[i].key);
      ck_assert_msg (strstr (text, row) != NULL, "docs/OPERATIONS.md lacks: %s", row);
      g_free (row);
    }
  g_free (text);
}
END_TEST

START_TEST (counters_are_in_the_operators_page)
{
  char *text = read_doc ("OPERATIONS.md");
  for (int i = 0; i < DY_N_COUNTERS; i++)
    ck_assert_msg (strstr (text, dy_counter_name ((DyCounter) i)) != NULL,
                   "docs/OPERATIONS.md lacks: %s", dy_counter_name ((DyCounter) i));
  for (int i = 0; i < DY_N_HISTOGRAMS; i++)
    ck_assert_msg (strstr (text, dy_histogram_name ((DyHistogram) i)) != NULL,
                   "docs/OPERATIONS.md lacks: %s", dy_histogram_name ((DyHistogram) i));
  g_free (text);
}
END_TEST

START_TEST (histograms_add_up)
{
  DyCounters counters = { 0 };
  GString *out = g_string_new (NULL);
  dy_counters_observe (&counters, DY_HISTOGRAM_ANSWER_ONCE, 1000);
  dy_counters_observe (&counters, DY_HISTOGRAM_ANSWER_ONCE, 1001);
  dy_counters_observe (&counters, DY_HISTOGRAM_ANSWER_ONCE, 60 * 1000 * 1000);
  dy_counters_expose (&counters, out);
  static const char *const lines[]
      = { "dogwoodyoke_answer_seconds_bucket{kind=\"at_most_once\",le=\"0.001\"} 1\n",
          "dogwoodyoke_answer_seconds_bucket{kind=\"at_most_once\",le=\"0.002\"} 2\n",
          "dogwoodyoke_answer_seconds_bucket{kind=\"at_most_once\",le=\"10\"} 2\n",
          "dogwoodyoke_answer_seconds_bucket{kind=\"at_most_once\",le=\"+Inf\"} 3\n",
          "dogwoodyoke_answer_seconds_count{kind=\"at_most_once\"} 3\n",
          "dogwoodyoke_first_event_seconds_count 0\n" };
  for (size_t i = 0; i < G_N_ELEMENTS (lines); i++)
    ck_assert_msg (strstr (out->str, lines[i]) != NULL, "%s", lines[i]);
  g_string_free (out, TRUE);
}
END_TEST

int
main (void)
{
  TCase *tcase = tcase_create ("kernel");
  tcase_add_test (tcase, error_numbers_have_kinds);
  tcase_add_loop_test (tcase, error_kind_has_its_status, 0, G_N_ELEMENTS (error_cases));
  tcase_add_loop_test (tcase, settings_are_checked, 0, G_N_ELEMENTS (settings_cases));
  tcase_add_test (tcase, events_are_in_the_catalogue);
  tcase_add_test (tcase, settings_are_in_the_operators_page);
  tcase_add_test (tcase, counters_are_in_the_operators_page);
  tcase_add_test (tcase, histograms_add_up);
  return suite_run ("kernel", tcase);
}
