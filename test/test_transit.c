/* How long messages were on their way: tables of exchanges with one sender, and of its messages. */

#include "support/suite.h"

#include "core/transit.h"

enum
{
  MAX_EXCHANGES = 4,
  MAX_MESSAGES = 4,
  MS = 1000,
  SENDER = 7,
  OTHER_SENDER = 8,
  OTHER_AHEAD_MS = 7000, /* clock of the other sender */
  OTHER_DELAY_MS = 3,    /* of each of its messages */
};

/* The sender's clock is behind by 5,000 ms in all cases that do not say otherwise. */
static const struct
{
  const char *name;
  uint32_t n_exchanges;
  struct
  {
    int64_t asked_ms;
    int64_t clock_ms; /* of the sender as it replies */
  } exchanges[MAX_EXCHANGES];
  uint32_t n;
  struct
  {
    int64_t sent_ms; /* by the sender's clock */
    int64_t received_ms;
    int64_t delay_ms; /* -1: not known */
  } messages[MAX_MESSAGES];
} cases[] = {
  { "clock not known", 0, { { 0 } }, 2, { { 100, 5100, -1 }, { 200, 8400, -1 } } },
  { "all as fast",
    1,
    { { 5000, 0 } },
    3,
    { { 100, 5100, 0 }, { 200, 5200, 0 }, { 900, 5900, 0 } } },
  { "one is late",
    1,
    { { 5000, 0 } },
    3,
    { { 100, 5100, 0 }, { 200, 8400, 3200 }, { 300, 8400, 3100 } } },
  { "the first was late",
    1,
    { { 5000, 0 } },
    4,
    { { 100, 5600, 500 }, { 900, 6400, 500 }, { 1000, 6100, 100 }, { 1200, 7300, 1100 } } },
  { "one overtakes another",
    1,
    { { 5000, 0 } },
    3,
    { { 100, 5100, 0 }, { 300, 5300, 0 }, { 200, 5400, 200 } } },
  { "the sender's clock is ahead",
    1,
    { { 5000, 9000 } },
    2,
    { { 9100, 5100, 0 }, { 9200, 5300, 100 } } },
  { "as fast as the question", 1, { { 5000, 10 } }, 1, { { 100, 5100, 10 } } },
  { "the question was held up", 1, { { 5000, 2000 } }, 1, { { 2100, 7100, 2000 } } },
  { "one question was held up", 2, { { 5000, 2000 }, { 8000, 3005 } }, 1, { { 3100, 8100, 5 } } },
  { "the later question was held up",
    2,
    { { 5000, 5 }, { 8000, 5000 } },
    1,
    { { 5100, 10100, 5 } } },
  { "the message overtook the reply", 1, { { 5000, 10 } }, 1, { { 105, 5100, 5 } } },
  { "a clock that runs faster by 500 in a million",
    2,
    { { 5000, 0 }, { 65000, 60030 } },
    2,
    { { 60040, 65010, 0 }, { 100050, 105000, 0 } } },
  { "such a clock over three minutes",
    3,
    { { 5000, 0 }, { 65030, 60000 }, { 125060, 120000 } },
    4,
    { { 0, 5000, 0 }, { 60000, 65030, 0 }, { 120000, 125060, 0 }, { 180000, 185090, 30 } } },
  { "the quick exchange was two minutes ago",
    3,
    { { 5000, 0 }, { 65000, 61000 }, { 125000, 121000 } },
    3,
    { { 122000, 127000, 1000 }, { 123000, 130500, 3500 }, { 124000, 128000, 0 } } },
  { "the last exchange was two minutes ago", 1, { { 5000, 0 } }, 1, { { 120100, 125100, -1 } } },
  { "the last exchange was nearly two minutes ago",
    1,
    { { 5000, 0 } },
    1,
    { { 119900, 124950, 50 } } },
};

START_TEST (a_message_that_was_held_up_counts_as_late)
{
  DyTransit transit;
  dy_transit_init (&transit);
  for (uint32_t i = 0; i < cases[_i].n_exchanges; i++)
    dy_transit_record_exchange (&transit, SENDER, cases[_i].exchanges[i].asked_ms * MS,
                                cases[_i].exchanges[i].clock_ms * MS);
  ck_assert_int_eq (dy_transit_delay_us (&transit, OTHER_SENDER, 0, 0), DY_TRANSIT_UNKNOWN);
  for (uint32_t i = 0; i < cases[_i].n; i++)
    {
      int64_t received_us = cases[_i].messages[i].received_ms * MS;
      int64_t delay_ms = cases[_i].messages[i].delay_ms;
      int64_t delay_us
          = dy_transit_delay_us (&transit, SENDER, cases[_i].messages[i].sent_ms * MS, received_us);
      ck_assert_msg (delay_us == (delay_ms < 0 ? DY_TRANSIT_UNKNOWN : delay_ms * MS),
                     "%s: message %u, %d us", cases[_i].name, i, (int) delay_us);
      /* Another sender's clock is another one. */
      dy_transit_record_exchange (&transit, OTHER_SENDER, received_us,
                                  received_us + OTHER_AHEAD_MS * MS);
      int64_t other_us = received_us + (OTHER_AHEAD_MS - OTHER_DELAY_MS) * MS;
      ck_assert_int_eq (dy_transit_delay_us (&transit, OTHER_SENDER, other_us, received_us),
                        OTHER_DELAY_MS * MS);
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
