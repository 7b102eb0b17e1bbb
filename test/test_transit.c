/* How long messages were on their way: tables of messages of one sender. */

#include "support/suite.h"

#include "core/transit.h"

enum
{
  MAX_MESSAGES = 6,
  MS = 1000,
  OTHER_SENDER = 8,
};

static const struct
{
  const char *name;
  uint32_t n;
  struct
  {
    int64_t sent_ms; /* by a clock that differs from the other one */
    int64_t received_ms;
    int64_t delay_ms;
  } messages[MAX_MESSAGES];
} cases[] = {
  { "all as fast", 3, { { 100, 5100, 0 }, { 200, 5200, 0 }, { 900, 5900, 0 } } },
  { "the sender's clock is ahead", 2, { { 9100, 5100, 0 }, { 9200, 5300, 100 } } },
  { "one is late", 3, { { 100, 5100, 0 }, { 200, 8400, 3200 }, { 300, 8400, 3100 } } },
  { "the first was late",
    4,
    { { 100, 5600, 0 }, { 900, 6400, 0 }, { 1000, 6100, 0 }, { 1200, 7300, 1000 } } },
  { "one overtakes another", 3, { { 100, 5100, 0 }, { 300, 5300, 0 }, { 200, 5400, 200 } } },
  { "a clock that runs faster by 500 in a million",
    4,
    { { 0, 5000, 0 }, { 60000, 65030, 30 }, { 120000, 125060, 30 }, { 180000, 185090, 30 } } },
  { "the fastest one is long ago",
    3,
    { { 0, 5000, 0 }, { 1000000, 1007000, 0 }, { 1001000, 1008500, 500 } } },
};

START_TEST (a_message_that_was_held_up_counts_as_late)
{
  DyTransit transit;
  dy_transit_init (&transit);
  for (uint32_t i = 0; i < cases[_i].n; i++)
    {
      int64_t delay_us = dy_transit_delay_us (&transit, 7, cases[_i].messages[i].sent_ms * MS,
                                              cases[_i].messages[i].received_ms * MS);
      ck_assert_msg (delay_us == cases[_i].messages[i].delay_ms * MS, "%s: message %u, %d us",
                     cases[_i].name, i, (int) delay_us);
      /* Another sender's clock is another one. */
      ck_assert_int_eq (dy_transit_delay_us (&transit, OTHER_SENDER, 0, 0), 0);
    }
  dy_transit_finish (&transit);
}
END_TEST

int
main (void)
{
  TCase *tcase = tcase_create ("transit");
  tcase_add_loop_test (tcase, a_message_that_was_held_up_counts_as_late, 0, G_N_ELEMENTS (cases));
  return suite_run ("transit", tcase);
}
