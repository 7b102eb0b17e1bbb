/* Whether a router knows all software versions that may have begun a stream: a table of cases. */

#include "support/suite.h"

#include "core/members.h"
#include "core/version_knowledge.h"

enum
{
  MS = 1000, /* microseconds */
  MAX_CONFIRMED = 4,
  NONE = -1,
};

static const struct
{
  const char *name;
  int64_t confirmed_ms[MAX_CONFIRMED]; /* times at which the records were confirmed; 0: the end */
  int64_t read_ms; /* the store's versions were asked for; NONE: they were not */
  int64_t asked_ms;
  int64_t now_ms;
  bool cut_off;
  bool all_cut_off;
  bool restored;
  bool stored;
  DyVersionVerdict verdict;
} cases[] = {
  { "confirmed since",
    { 100, 1000, 2000, 3001 },
    90,
    3000,
    3005,
    0,
    0,
    0,
    1,
    DY_VERSIONS_COMPLETE },
  { "not yet", { 100, 1000, 2000, 2999 }, 90, 3000, 3005, 0, 0, 0, 1, DY_VERSIONS_AWAITED },
  { "not in time", { 100, 1000, 2000, 2999 }, 90, 3000, 4500, 0, 0, 0, 1, DY_VERSIONS_UNKNOWN },
  { "cut off", { 100, 1000, 2000, 2999 }, 90, 3000, 3005, 1, 0, 0, 1, DY_VERSIONS_UNKNOWN },
  { "all cut off", { 100, 1000, 2000 }, 90, 9000, 9005, 1, 1, 0, 1, DY_VERSIONS_COMPLETE },
  { "nothing known", { 0 }, 90, 3000, 3005, 0, 0, 0, 1, DY_VERSIONS_UNKNOWN },
  { "nothing known, all cut off", { 0 }, 90, 3000, 3005, 1, 1, 0, 1, DY_VERSIONS_UNKNOWN },
  /* 2,001 ms between two confirmations, above the limit; the versions were read before. */
  { "after a gap", { 100, 2101, 3001 }, 90, 3000, 3005, 0, 0, 0, 1, DY_VERSIONS_AWAITED },
  { "after a gap, cut off again", { 100, 9000 }, 90, 8000, 9005, 1, 0, 0, 1, DY_VERSIONS_UNKNOWN },
  { "after a gap, read", { 100, 2101, 3001 }, 2950, 3000, 3005, 0, 0, 0, 1, DY_VERSIONS_COMPLETE },
  { "no gap", { 100, 2100, 3001 }, 90, 3000, 3005, 0, 0, 0, 1, DY_VERSIONS_COMPLETE },
  /* Callers resume no stream that began before the time that is covered. */
  { "long after a gap", { 100, 9000, 29000 }, NONE, 28900, 29001, 0, 0, 0, 0, DY_VERSIONS_AWAITED },
  { "covered for long", { 9000, 9500 }, NONE, 9400, 29000, 0, 0, 0, 0, DY_VERSIONS_COMPLETE },
  { "restored", { 100, 1000, 2000, 3001 }, 90, 3000, 3005, 0, 0, 1, 1, DY_VERSIONS_UNKNOWN },
  /* The store may have been restored before this router started. */
  { "started, not stored", { 100, 1001 }, 90, 1000, 1005, 0, 0, 0, 0, DY_VERSIONS_UNKNOWN },
  { "started, stored", { 100, 1001 }, 90, 1000, 1005, 0, 0, 0, 1, DY_VERSIONS_COMPLETE },
  { "started, not read", { 5000, 5101 }, NONE, 5100, 5105, 0, 0, 0, 1, DY_VERSIONS_AWAITED },
  { "started a while ago", { 100, 1001, 2101 }, 90, 2100, 2105, 0, 0, 0, 0, DY_VERSIONS_COMPLETE },
};

/* Guards against taking the only version that is known for that of a stream though another one may
 * have begun it. */
START_TEST (versions_are_complete_only_if_what_is_known_covers_the_stream)
{
  DyVersionKnowledge knowledge;
  DyVersionEvidence evidence = { .asked_us = cases[_i].asked_ms * MS,
                                 .cut_off = cases[_i].cut_off,
                                 .all_cut_off = cases[_i].all_cut_off,
                                 .restored = cases[_i].restored,
                                 .stored = cases[_i].stored };
  dy_version_knowledge_init (&knowledge);
  for (int i = 0; i < MAX_CONFIRMED && cases[_i].confirmed_ms[i]; i++)
    dy_version_knowledge_extend (&knowledge, cases[_i].confirmed_ms[i] * MS);
  if (cases[_i].read_ms != NONE)
    dy_version_knowledge_record_read (&knowledge, cases[_i].read_ms * MS);
  DyVersionVerdict verdict
      = dy_version_knowledge_judge (&knowledge, &evidence, cases[_i].now_ms * MS);
  ck_assert_msg (verdict == cases[_i].verdict, "%s: %d", cases[_i].name, verdict);
}
END_TEST

static const struct
{
  const char *name;
  DyUnlistedEvidence evidence;
  bool is_base;
} unlisted[] = {
  { "nobody can have begun it elsewhere", { 1, 1, 0, 0, 0, 0 }, true },
  { "not read since", { 0, 1, 0, 0, 0, 0 }, false },
  { "base not read", { 1, 0, 0, 0, 0, 0 }, false },
  { "restored", { 1, 1, 1, 0, 0, 0 }, false },
  { "an earlier process of this router may", { 1, 1, 0, 1, 0, 0 }, false },
  { "a router out of reach may", { 1, 1, 0, 0, 1, 0 }, false },
  { "a router has not answered", { 1, 1, 0, 0, 0, 1 }, false },
};

/* Guards against a stream that is taken to be of the base version while a router may have begun it
 * at another one. */
START_TEST (an_unlisted_stream_is_of_the_base_only_if_no_router_may_have_begun_it_elsewhere)
{
  ck_assert_msg (dy_version_knowledge_judge_unlisted (&unlisted[_i].evidence)
                     == unlisted[_i].is_base,
                 "%s", unlisted[_i].name);
}
END_TEST

/* What a router knows of two others. */
static const struct
{
  const char *name;
  bool listed[2];
  bool heard[2];
  bool has_platform[2];
  bool left; /* the second one left the list, and was not heard from for longer than a stream lasts
              */
  bool all_lack;
} fleets[] = {
  { "alone", { 0, 0 }, { 0, 0 }, { 0, 0 }, false, true },
  { "both lack it", { 1, 1 }, { 1, 1 }, { 0, 0 }, false, true },
  { "one reaches it", { 1, 1 }, { 1, 1 }, { 0, 1 }, false, false },
  { "one is silent", { 1, 1 }, { 1, 0 }, { 0, 0 }, false, false },
  { "one is silent, which reached it", { 1, 1 }, { 1, 0 }, { 0, 1 }, false, false },
  { "one left long ago", { 1, 1 }, { 1, 0 }, { 0, 0 }, true, true },
};

/* Guards against taking the routers that are heard from for all that may run. */
START_TEST (all_routers_lack_the_platform_only_if_none_is_silent)
{
  static const char *const names[] = { "r1", "r2" };
  const int64_t now_us = 60 * 1000 * MS;
  DyMembers members;
  dy_members_init (&members, "r0", 1000 * MS);
  for (int i = 0; i < 2; i++)
    {
      if (fleets[_i].listed[i])
        dy_members_put (&members, names[i], "127.0.0.1:1", "", false);
      dy_members_record_heartbeat (&members, names[i], 7, false,
                                   fleets[_i].heard[i] ? now_us : 1000 * MS);
      dy_members_set_platform (&members, names[i], fleets[_i].has_platform[i]);
    }
  if (fleets[_i].left)
    dy_members_remove (&members, names[1], 2000 * MS);
  ck_assert_msg (dy_members_all_lack_platform (&members, now_us - 20 * 1000 * MS, now_us)
                     == fleets[_i].all_lack,
                 "%s", fleets[_i].name);
  dy_members_finish (&members);
}
END_TEST

int
main (void)
{
  TCase *tcase = tcase_create ("version_knowledge");
  tcase_add_loop_test (
      tcase, an_unlisted_stream_is_of_the_base_only_if_no_router_may_have_begun_it_elsewhere, 0,
      G_N_ELEMENTS (unlisted));
  tcase_add_loop_test (tcase, versions_are_complete_only_if_what_is_known_covers_the_stream, 0,
                       G_N_ELEMENTS (cases));
  tcase_add_loop_test (tcase, all_routers_lack_the_platform_only_if_none_is_silent, 0,
                       G_N_ELEMENTS (fleets));
  return suite_run ("version_knowledge", tcase);
}
