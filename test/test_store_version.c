/* Versions across restores of the store, and endpoints that had left before one: tables of cases.
 */

#include "core/departures.h"
#include "core/store_version.h"
#include "kernel/error.h"
#include "support/suite.h"

static const struct
{
  uint64_t era;
  uint64_t revision;
} versions[]
    = { { 0, 0 }, { 0, 1 }, { 0, 500 }, { 1, 0 }, { 1, 499 }, { 1, 500 }, { 2, 1 }, { 7, 3 } };

START_TEST (a_version_of_a_later_era_is_higher)
{
  uint64_t version = dy_store_version (versions[_i].era, versions[_i].revision);
  ck_assert_uint_eq (dy_store_version_era (version), versions[_i].era);
  ck_assert_uint_eq (dy_store_version_revision (version), versions[_i].revision);
  if (_i > 0)
    ck_assert_uint_lt (dy_store_version (versions[_i - 1].era, versions[_i - 1].revision), version);
}
END_TEST

static const struct
{
  DyStoreCallKind kind;
  uint64_t basis_era; /* 0: the call names no version */
  uint64_t known_era;
  int error;
} calls[] = {
  { DY_STORE_READ, 0, 2, DY_OK },
  { DY_STORE_WATCH, 2, 2, DY_OK },
  { DY_STORE_WATCH, 1, 2, DY_HISTORY_GONE },
  { DY_STORE_WRITE, 0, 2, DY_OK },
  { DY_STORE_WRITE, 2, 2, DY_OK },
  { DY_STORE_WRITE, 1, 2, DY_CONFLICT },
};

START_TEST (a_version_of_an_earlier_era_is_not_sent)
{
  uint64_t basis = calls[_i].basis_era ? dy_store_version (calls[_i].basis_era, 500) : 0;
  DyStoreCall call = { calls[_i].kind, basis, calls[_i].known_era };
  ck_assert_int_eq (dy_store_check_call (&call, calls[_i].known_era), calls[_i].error);
}
END_TEST

static const struct
{
  DyStoreCallKind kind;
  uint64_t basis_era;
  uint64_t sent_era;
  int error; /* of the store's answer */
  uint64_t answer_era;
  uint64_t known_era;
  int result;
} answers[] = {
  { DY_STORE_READ, 0, 1, DY_OK, 1, 1, DY_OK },
  { DY_STORE_READ, 0, 1, DY_OK, 2, 2, DY_OK },
  { DY_STORE_READ, 0, 2, DY_OK, 1, 2, DY_HISTORY_GONE }, /* a stale read of the earlier era */
  { DY_STORE_READ, 1, 1, DY_OK, 2, 2, DY_HISTORY_GONE }, /* the next page of a list */
  { DY_STORE_READ, 0, 0, DY_OK, 0, 0, DY_OK },           /* a store without eras */
  { DY_STORE_READ, 0, 1, DY_NOT_FOUND, 2, 2, DY_NOT_FOUND },
  { DY_STORE_WATCH, 1, 1, DY_OK, 1, 1, DY_OK },
  { DY_STORE_WATCH, 1, 1, DY_OK, 2, 2, DY_HISTORY_GONE },
  { DY_STORE_WATCH, 1, 1, DY_OK, 1, 2, DY_HISTORY_GONE },
  { DY_STORE_WATCH, 1, 1, DY_HISTORY_GONE, 2, 2, DY_HISTORY_GONE },
  { DY_STORE_WRITE, 1, 1, DY_OK, 1, 1, DY_OK },
  { DY_STORE_WRITE, 1, 1, DY_OK, 2, 2,
    DY_UNAVAILABLE }, /* may have met a revision given out again */
  { DY_STORE_WRITE, 0, 1, DY_OK, 2, 2, DY_UNAVAILABLE },
  { DY_STORE_WRITE, 1, 1, DY_OK, 1, 2, DY_UNAVAILABLE }, /* acknowledged, and lost since */
  { DY_STORE_WRITE, 1, 1, DY_CONFLICT, 2, 2, DY_CONFLICT },
  { DY_STORE_WRITE, 0, 0, DY_OK, 1, 1, DY_OK }, /* the first answer */
};

START_TEST (an_answer_of_another_era_is_not_taken_for_one_of_its_call)
{
  uint64_t basis = answers[_i].basis_era ? dy_store_version (answers[_i].basis_era, 500) : 0;
  DyStoreCall call = { answers[_i].kind, basis, answers[_i].sent_era };
  ck_assert_int_eq (dy_store_check_answer (&call, answers[_i].error, answers[_i].answer_era,
                                           answers[_i].known_era),
                    answers[_i].result);
}
END_TEST

enum
{
  S = 1000 * 1000, /* microseconds in a second */
};

static const struct
{
  int64_t start_ms; /* of the listed record; the endpoint that left has 1000 */
  int64_t left_s;
  int64_t restored_s;
  int64_t now_s;
  bool held;
} departures[] = {
  { 1000, 10, 15, 16, true },  { 1000, 10, 15, 30, false }, /* still listed long after */
  { 1000, 16, 15, 17, false }, /* it left after the restore: the list is older than that */
  { 2000, 10, 15, 16, false }, /* started again */
  { 500, 10, 15, 16, true },
};

START_TEST (a_record_of_an_endpoint_that_left_before_the_restore_is_held)
{
  DyDepartures known;
  dy_departures_init (&known);
  dy_departures_add (&known, "e", 1000, departures[_i].left_s * S);
  int64_t until_us
      = dy_departures_held_until (&known, "e", departures[_i].start_ms,
                                  departures[_i].restored_s * S, departures[_i].now_s * S);
  ck_assert_int_eq (until_us > departures[_i].now_s * S, departures[_i].held);
  ck_assert_int_eq (dy_departures_held_until (&known, "other", 1000, departures[_i].restored_s * S,
                                              departures[_i].now_s * S),
                    0);
  dy_departures_remove (&known, "e");
  ck_assert_int_eq (dy_departures_held_until (&known, "e", departures[_i].start_ms,
                                              departures[_i].restored_s * S,
                                              departures[_i].now_s * S),
                    0);
  dy_departures_finish (&known);
}
END_TEST

int
main (void)
{
  TCase *tcase = tcase_create ("store_version");
  tcase_add_loop_test (tcase, a_version_of_a_later_era_is_higher, 0, G_N_ELEMENTS (versions));
  tcase_add_loop_test (tcase, a_version_of_an_earlier_era_is_not_sent, 0, G_N_ELEMENTS (calls));
  tcase_add_loop_test (tcase, an_answer_of_another_era_is_not_taken_for_one_of_its_call, 0,
                       G_N_ELEMENTS (answers));
  tcase_add_loop_test (tcase, a_record_of_an_endpoint_that_left_before_the_restore_is_held, 0,
                       G_N_ELEMENTS (departures));
  return suite_run ("store_version", tcase);
}
