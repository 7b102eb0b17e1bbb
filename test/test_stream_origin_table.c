/* Which software version began a stream, as one router knows it: tables of cases. */

#include "core/stream_origins.h"
#include "support/suite.h"

#include <string.h>

enum
{
  S = 1000 * 1000, /* microseconds in a second */
  MS = 1000,
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
  const char *name;
  const char *stated; /* as the base by the store, once the first version is seen; NULL: not */
  const char *seen[MAX_SEEN];
  int64_t seen_ms[MAX_SEEN];
  int64_t forgotten_ms; /* the bases are, for 20 s; 0: they are not */
  int64_t now_ms;
  const char *base;
} bases[] = {
  { "none known", NULL, { NULL }, { 0 }, 0, 1000, NULL },
  { "only version, for a moment", NULL, { "v1" }, { 0 }, 0, 1999, NULL },
  { "only version", NULL, { "v1" }, { 0 }, 0, 2000, "v1" },
  { "both at once", NULL, { "v1", "v2" }, { 0, 0 }, 0, 9000, NULL },
  { "soon after", NULL, { "v1", "v2" }, { 0, 1999 }, 0, 9000, NULL },
  { "a second came", NULL, { "v1", "v2" }, { 0, 2000 }, 0, 9000, "v1" },
  { "three", NULL, { "v1", "v2", "v3" }, { 0, 2000, 2100 }, 0, 9000, "v1" },
  { "stated", "v1", { "v1", "v2" }, { 0, 0 }, 0, 9000, "v1" },
  { "stated, not seen", "v0", { "v1", "v2" }, { 0, 0 }, 0, 9000, NULL },
  { "the base left", NULL, { "v1", "v2", "v3" }, { 0, 9000, 9100 }, 0, 21000, NULL },
  { "one is left", NULL, { "v1", "v2" }, { 0, 9000 }, 0, 21000, "v2" },
  { "one is left, another comes", NULL, { "v1", "v2", "v3" }, { 0, 9000, 25000 }, 0, 26000, "v2" },
  { "restored", NULL, { "v1", "v2" }, { 0, 9000 }, 10000, 11000, NULL },
  { "restored, only version", NULL, { "v1" }, { 0 }, 10000, 19000, NULL },
};

/* Guards against a base version that another one may have served beside. */
START_TEST (base_is_the_only_version_before_the_others)
{
  DyStreamOrigins origins;
  dy_stream_origins_init (&origins);
  for (int i = 0; i < MAX_SEEN && bases[_i].seen[i]; i++)
    {
      dy_stream_origins_evict (&origins, bases[_i].seen_ms[i] * MS);
      dy_stream_origins_see (&origins, "llm", bases[_i].seen[i], bases[_i].seen_ms[i] * MS);
      if (i == 0 && bases[_i].stated)
        dy_stream_origins_set_base (&origins, "llm", bases[_i].stated);
    }
  if (bases[_i].forgotten_ms)
    dy_stream_origins_forget_bases (&origins,
                                    bases[_i].forgotten_ms * MS + DY_VERSION_RETENTION_US);
  dy_stream_origins_evict (&origins, bases[_i].now_ms * MS);
  const char *base = dy_stream_origins_base (&origins, "llm", bases[_i].now_ms * MS);
  ck_assert_msg (g_strcmp0 (base, bases[_i].base) == 0, "%s: %s", bases[_i].name,
                 base ? base : "none");
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
  tcase_add_loop_test (tcase, base_is_the_only_version_before_the_others, 0, G_N_ELEMENTS (bases));
  tcase_add_loop_test (tcase, origins_cost_few_writes, 0, G_N_ELEMENTS (rates));
  return suite_run ("stream_origin_table", tcase);
}
