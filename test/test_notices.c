/* What endpoints say of themselves: tables of notices of one endpoint. */

#include "support/suite.h"

#include "core/notices.h"

enum
{
  S = 1000 * 1000, /* microseconds */
  MAX_NOTICES = 3,
};

static const struct
{
  const char *name;
  uint32_t n;
  struct
  {
    int64_t start_ms;
    int64_t said_s;
    bool is_new;
  } notices[MAX_NOTICES];
  int64_t start_ms; /* of the endpoint that is asked for */
  int64_t now_s;
  bool leaving;
} cases[] = {
  { "said", 1, { { 5, 10, true } }, 5, 11, true },
  { "said by an endpoint that does not state its start", 1, { { 0, 10, true } }, 0, 11, true },
  { "said twice", 2, { { 5, 10, true }, { 5, 11, false } }, 5, 11, true },
  { "said before the endpoint started again", 1, { { 5, 10, true } }, 9, 11, false },
  { "said by an earlier start, told late", 2, { { 9, 10, true }, { 5, 11, false } }, 9, 11, true },
  { "said by a later start", 2, { { 5, 10, true }, { 9, 20, true } }, 9, 21, true },
  { "by the earlier one, once the later one has",
    2,
    { { 5, 10, true }, { 9, 20, true } },
    5,
    21,
    false },
  { "an endpoint that serves long after it left", 1, { { 5, 10, true } }, 5, 69, true },
  { "an endpoint that is still there a minute later", 1, { { 5, 10, true } }, 5, 71, false },
  { "said again within the minute", 2, { { 5, 10, true }, { 5, 40, false } }, 5, 71, true },
};

START_TEST (a_notice_holds_for_one_start_of_the_endpoint)
{
  DyNotices notices;
  dy_notices_init (&notices);
  for (uint32_t i = 0; i < cases[_i].n; i++)
    ck_assert_msg (dy_notices_take_leaving (&notices, "i-1", cases[_i].notices[i].start_ms,
                                            cases[_i].notices[i].said_s * S, false)
                       == cases[_i].notices[i].is_new,
                   "%s: notice %u", cases[_i].name, i);
  dy_notice_free (dy_notices_take_ended (&notices, cases[_i].now_s * S));
  ck_assert_msg (dy_notices_is_leaving (&notices, "i-1", cases[_i].start_ms) == cases[_i].leaving,
                 "%s", cases[_i].name);
  ck_assert (!dy_notices_is_leaving (&notices, "i-2", cases[_i].start_ms));
  dy_notices_finish (&notices);
}
END_TEST

int
main (void)
{
  TCase *tcase = tcase_create ("notices");
  tcase_add_loop_test (tcase, a_notice_holds_for_one_start_of_the_endpoint, 0,
                       G_N_ELEMENTS (cases));
  return suite_run ("notices", tcase);
}
