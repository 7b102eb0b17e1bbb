/* When the VM list is read again: a table of cases. */

#include "support/suite.h"

#include "core/vm_list_pace.h"

#include <glib.h>

enum
{
  MS = 1000, /* microseconds */
};

static const DyVmListPace usual = { 3000 * MS, 15000 * MS };
static const DyVmListPace quick = { 100 * MS, 100 * MS };

static const struct
{
  const char *name;
  const DyVmListPace *pace;
  DyVmListState state;
  int64_t wait_ms;
} cases[] = {
  { "the first read failed", &usual, { .joining = true }, 200 },
  { "not listed itself", &usual, { .joining = true, .read = true }, 200 },
  { "listed", &usual, { .joining = true, .read = true, .lists_self = true }, 3000 },
  { "never listed, but joined", &usual, { .read = true }, 3000 },
  { "a router connects that is not listed",
    &usual,
    { .read = true, .lists_self = true, .lacks_peer = true, .unchanged_us = 60000 * MS },
    1000 },
  { "changed lately",
    &usual,
    { .read = true, .lists_self = true, .unchanged_us = 5000 * MS },
    3000 },
  { "unchanged", &usual, { .read = true, .lists_self = true, .unchanged_us = 6000 * MS }, 15000 },
  { "a short interval is never made longer", &quick, { .joining = true, .lacks_peer = true }, 100 },
};

START_TEST (the_vm_list_is_read_often_only_while_it_lacks_a_router)
{
  int64_t wait_us = dy_vm_list_pace_wait_us (cases[_i].pace, &cases[_i].state);
  ck_assert_msg (wait_us == cases[_i].wait_ms * MS, "%s: %d us", cases[_i].name, (int) wait_us);
}
END_TEST

int
main (void)
{
  TCase *tcase = tcase_create ("vm_list_pace");
  tcase_add_loop_test (tcase, the_vm_list_is_read_often_only_while_it_lacks_a_router, 0,
                       G_N_ELEMENTS (cases));
  return suite_run ("vm_list_pace", tcase);
}
