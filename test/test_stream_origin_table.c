/* Which software version began a stream, as one router knows it: tables of cases. */

#include "core/stream_origins.h"
#include "support/suite.h"

#include <string.h>

enum
{
  S = 1000 * 1000, /* microseconds in a second */
  MAX_SEEN = 3,
};

static const struct
{
  const char *seen[MAX_SEEN]; /* versions listed at seen_s */
  int64_t seen_s[MAX_SEEN];
  const char *recorded; /* version recorded for the stream; NULL: none */
  int64_t now_s;
  bool mixed;
  const char *version; /* found */
} cases[] = {
  { { NULL }, { 0 }, NULL, 1, false, NULL },
  { { "v1" }, { 0 }, NULL, 1, false, "v1" }, /* no other version can have begun it */
  { { "v1", "v2" }, { 0, 0 }, NULL, 1, true, NULL },
  { { "v1", "v2" }, { 0, 0 }, "v2", 1, true, "v2" },
  { { "v1" }, { 0 }, "v0", 1, false, "v0" },          /* whose endpoints have left */
  { { "v1", "v2" }, { 0, 9 }, NULL, 15, true, NULL }, /* v1 left lately */
  { { "v1", "v2" }, { 0, 30 }, NULL, 31, false, "v2" },
  { { "v1", "v2" }, { 0, 30 }, "v1", 31, false, "v2" }, /* the record has expired */
  { { "v1", "v2", "v3" }, { 0, 0, 25 }, NULL, 30, false, "v3" },
};

START_TEST (the_origin_of_a_stream_is_recorded_or_the_only_version)
{
  DyStreamOrigins origins;
  dy_stream_origins_init (&origins);
  if (cases[_i].recorded)
    {
      DyStreamOrigin origin = { .request_id = "request",
                                .service = "llm",
                                .version = cases[_i].recorded,
                                .expires_us = 20 * S };
      dy_stream_origins_add (&origins, &origin);
    }
  for (int i = 0; i < MAX_SEEN && cases[_i].seen[i]; i++)
    ck_assert (dy_stream_origins_see (&origins, "llm", cases[_i].seen[i], cases[_i].seen_s[i] * S));
  dy_stream_origins_evict (&origins, cases[_i].now_s * S);
  const char *version = dy_stream_origins_find (&origins, "llm", "request", true);
  ck_assert_int_eq (dy_stream_origins_is_mixed (&origins, "llm"), cases[_i].mixed);
  if (cases[_i].version)
    ck_assert_str_eq (version, cases[_i].version);
  else
    ck_assert_ptr_null (version);
  ck_assert_ptr_null (dy_stream_origins_find (&origins, "other", "request", true));
  dy_stream_origins_finish (&origins);
}
END_TEST

static const struct
{
  uint32_t n_routers;
  int64_t most_writes_per_s; /* of all routers together */
} rates[] = { { 1, 50 }, { 7, 200 }, { 20, 200 }, { 81, 200 }, { 300, 200 } };

START_TEST (origins_cost_few_writes)
{
  int64_t interval_us = dy_stream_origins_write_interval_us (rates[_i].n_routers);
  ck_assert_int_le ((int64_t) rates[_i].n_routers * S / interval_us, rates[_i].most_writes_per_s);
}
END_TEST

int
main (void)
{
  TCase *tcase = tcase_create ("stream_origin_table");
  tcase_add_loop_test (tcase, the_origin_of_a_stream_is_recorded_or_the_only_version, 0,
                       G_N_ELEMENTS (cases));
  tcase_add_loop_test (tcase, origins_cost_few_writes, 0, G_N_ELEMENTS (rates));
  return suite_run ("stream_origin_table", tcase);
}
