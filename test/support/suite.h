#ifndef TEST_SUPPORT_SUITE_H
#define TEST_SUPPORT_SUITE_H

#include <check.h>
#include <stdlib.h>

/* Runs TCASE as the only test case of the suite NAME. Returns the exit status for main(): success
 * if no test failed. */
static inline int
suite_run (const char *name, TCase *tcase)
{
  Suite *suite = suite_create (name);
  suite_add_tcase (suite, tcase);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int n_failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return n_failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

#endif
