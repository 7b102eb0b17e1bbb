/* What is known of brittle services, and the shares of their endpoints' places: tables of cases. */

#include "support/suite.h"

#include "core/brittle.h"
#include "core/placement.h"
#include "platform/dialect.h"

enum
{
  MS = 1000,
};

static const struct
{
  uint32_t slots;
  uint32_t n_routers;
  uint32_t n_users; /* routers that may send anything */
} shares[] = { { 6, 1, 1 }, { 6, 5, 5 }, { 6, 6, 6 }, { 6, 9, 6 }, { 6, 24, 6 }, { 1, 9, 1 } };

START_TEST (shares_are_as_many_as_there_are_places)
{
  uint32_t n_places = 0;
  uint32_t n_users = 0;
  uint32_t least = UINT32_MAX;
  uint32_t most = 0;
  for (uint32_t rank = 0; rank < shares[_i].n_routers; rank++)
    {
      uint32_t share = dy_brittle_share (shares[_i].slots, shares[_i].n_routers, rank);
      n_places += share;
      n_users += share > 0;
      least = share > 0 ? MIN (least, share) : least;
      most = MAX (most, share);
    }
  ck_assert_uint_eq (n_places, shares[_i].slots);
  ck_assert_uint_eq (n_users, shares[_i].n_users);
  ck_assert_uint_le (most - least, 1);
  ck_assert_uint_eq (dy_brittle_share (shares[_i].slots, shares[_i].n_routers, UINT32_MAX), 0);
  ck_assert_uint_eq (dy_brittle_share (0, shares[_i].n_routers, 0), UINT32_MAX);
}
END_TEST

static const struct
{
  const char *name;
  int64_t said_ms[2]; /* -1: not said */
  int64_t at_ms;
  bool holds;
} notices[] = { { "not said", { -1, -1 }, 100, false },
                { "just said", { 100, -1 }, 200, true },
                { "long ago", { 100, -1 }, 10200, false },
                { "said again", { 100, 9000 }, 10200, true },
                { "an older report comes later", { 9000, 100 }, 10200, true } };

START_TEST (a_service_is_brittle_until_none_has_said_so_for_long)
{
  DyBrittle brittle;
  dy_brittle_init (&brittle);
  for (int i = 0; i < 2; i++)
    if (notices[_i].said_ms[i] >= 0)
      ck_assert (dy_brittle_take (&brittle, "llm", 3, notices[_i].said_ms[i] * MS, false)
                 == (i == 0));
  DyBrittleService *ended = dy_brittle_take_ended (&brittle, notices[_i].at_ms * MS);
  ck_assert_msg ((dy_brittle_find (&brittle, "llm") != NULL) == notices[_i].holds, "%s",
                 notices[_i].name);
  dy_brittle_service_free (ended);
  dy_brittle_finish (&brittle);
}
END_TEST

START_TEST (a_brittle_service_is_reported_once_a_second)
{
  DyBrittle brittle;
  dy_brittle_init (&brittle);
  ck_assert (!dy_brittle_announce (&brittle, "llm", 0));
  dy_brittle_take (&brittle, "llm", 3, 0, false);
  ck_assert (dy_brittle_announce (&brittle, "llm", 0));
  ck_assert (!dy_brittle_announce (&brittle, "llm", 999 * MS));
  ck_assert (dy_brittle_announce (&brittle, "llm", 1000 * MS));
  dy_brittle_finish (&brittle);
}
END_TEST

static const struct
{
  const char *value;
  bool brittle;
  int64_t refusals_per_s;
} values[] = { { "3", true, 3 },    { "0", true, 0 },
               { "", false, 0 },    { "-1", false, 0 },
               { "3.5", false, 0 }, { "three", false, 0 },
               { "3 ", false, 0 },  { "99999999999999999999", true, 1000000 } };

START_TEST (a_value_that_cannot_be_read_says_nothing)
{
  DyHttpHeader field = { .name = "server-brittle", .value = values[_i].value };
  DyAnswerHead head;
  dy_platform_dialect.decode_answer (&field, 1, &head);
  ck_assert (head.brittle == values[_i].brittle);
  ck_assert_int_eq (head.refusals_per_s, values[_i].refusals_per_s);
  ck_assert ((head.unreadable == NULL) == values[_i].brittle);
}
END_TEST

static uint32_t
share_of_slots (void *ctx, const char *id, uint32_t slots)
{
  (void) id;
  return MIN (slots, *(const uint32_t *) ctx);
}

static void
put_endpoint (DyPlacement *placement, const char *id)
{
  DyEndpointRecord record = { .id = id,
                              .service = "llm",
                              .address = "127.0.0.1:1",
                              .data_centre = "dc-a",
                              .slots = 6,
                              .start_ms = 1 };
  dy_placement_put (placement, &record);
}

START_TEST (no_more_requests_are_placed_than_there_are_places)
{
  uint32_t share = 2;
  DyPlacement placement;
  DyPlacementQuery query = { .service = "llm" };
  DyPlacementEndpoint *taken[] = { NULL, NULL };
  dy_placement_init (&placement, &dy_placement_policy, "dc-a", 1);
  put_endpoint (&placement, "i-1");
  ck_assert_uint_eq (dy_placement_places (&placement, "llm"), 0);
  dy_placement_set_shares (&placement, "llm", share_of_slots, &share);
  ck_assert_uint_eq (dy_placement_places (&placement, "llm"), 2);
  for (size_t i = 0; i < G_N_ELEMENTS (taken); i++)
    {
      taken[i] = dy_placement_choose (&placement, &query, 0, NULL);
      ck_assert_ptr_nonnull (taken[i]);
      dy_placement_begin (&placement, taken[i], &query.work, 0);
    }
  ck_assert_ptr_null (dy_placement_choose (&placement, &query, 0, NULL));
  /* An endpoint that comes meanwhile may be one that has fallen over. */
  put_endpoint (&placement, "i-2");
  ck_assert_ptr_null (dy_placement_choose (&placement, &query, 0, NULL));
  dy_placement_end (&placement, taken[0], &query.work, false, DY_PLACEMENT_ANSWERED, 0);
  ck_assert_ptr_nonnull (dy_placement_choose (&placement, &query, 0, NULL));
  dy_placement_set_shares (&placement, "llm", NULL, NULL);
  ck_assert_uint_eq (dy_placement_places (&placement, "llm"), 0);
  dy_placement_end (&placement, taken[1], &query.work, false, DY_PLACEMENT_ANSWERED, 0);
  dy_placement_finish (&placement);
}
END_TEST

int
main (void)
{
  TCase *tcase = tcase_create ("brittle");
  tcase_add_loop_test (tcase, shares_are_as_many_as_there_are_places, 0, G_N_ELEMENTS (shares));
  tcase_add_loop_test (tcase, a_service_is_brittle_until_none_has_said_so_for_long, 0,
                       G_N_ELEMENTS (notices));
  tcase_add_test (tcase, a_brittle_service_is_reported_once_a_second);
  tcase_add_loop_test (tcase, a_value_that_cannot_be_read_says_nothing, 0, G_N_ELEMENTS (values));
  tcase_add_test (tcase, no_more_requests_are_placed_than_there_are_places);
  return suite_run ("brittle", tcase);
}
