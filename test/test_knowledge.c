/* What a router may do by old knowledge: a table of evidence. */

#include "support/suite.h"

#include "core/knowledge.h"
#include "core/patience.h"

#include <glib.h>

enum
{
  MS = 1000,
  NEVER = -1,
  BOUND_MS = 2000,
  NOW_MS = 20000,
};

/* Times are milliseconds before now. */
static const struct
{
  const char *name;
  int64_t confirmed_ms;
  int64_t away_ms;
  int64_t asked_ms;
  int64_t since_ms; /* on time */
  int64_t until_ms;
  bool others_away;
  bool behind;
  DyKnowledge knowledge;
} cases[] = {
  { "confirmed", 1900, NEVER, NEVER, NEVER, NEVER, false, false, DY_KNOWLEDGE_CURRENT },
  { "confirmed, the store is away", 1900, 100, 500, 1200, 10, true, false, DY_KNOWLEDGE_CURRENT },
  { "old, nothing known", 2100, NEVER, NEVER, NEVER, NEVER, false, false, DY_KNOWLEDGE_LATE },
  { "never confirmed", NEVER, NEVER, NEVER, 1200, 10, false, false, DY_KNOWLEDGE_LATE },
  { "never confirmed, the store is away", NEVER, 100, NEVER, 1200, 10, false, false,
    DY_KNOWLEDGE_BRIDGED },
  { "old, though on time", 2100, NEVER, NEVER, 1200, 10, false, false, DY_KNOWLEDGE_LATE },
  { "the store refuses", 2100, 300, NEVER, 1200, 10, false, false, DY_KNOWLEDGE_BRIDGED },
  { "the store refuses, not known to be on time", 2100, 300, NEVER, NEVER, NEVER, false, false,
    DY_KNOWLEDGE_LATE },
  { "the store refuses, on time for a moment", 12000, 80, NEVER, 60, 10, false, false,
    DY_KNOWLEDGE_LATE },
  { "the store was away before the confirmation", 2100, 2200, NEVER, 1200, 10, false, false,
    DY_KNOWLEDGE_LATE },
  { "the store was away long ago", 5000, 3100, NEVER, 1200, 10, false, false, DY_KNOWLEDGE_LATE },
  { "a call without an answer, on time since", 2100, NEVER, 500, 1200, 10, false, false,
    DY_KNOWLEDGE_BRIDGED },
  { "a call without an answer, not known to be on time", 2100, NEVER, 500, NEVER, NEVER, false,
    false, DY_KNOWLEDGE_LATE },
  { "a call without an answer, on time before", 2100, NEVER, 900, 2000, 700, false, false,
    DY_KNOWLEDGE_LATE },
  { "a call without an answer, on time again for a moment", 4100, NEVER, 4000, 300, 10, false,
    false, DY_KNOWLEDGE_LATE },
  { "a call without an answer, on time again", 4100, NEVER, 4000, 1100, 10, false, false,
    DY_KNOWLEDGE_BRIDGED },
  { "a call that was just sent", 2100, NEVER, 300, 1200, 10, false, false, DY_KNOWLEDGE_LATE },
  { "a call from before the confirmation", 2100, NEVER, 2200, 1200, 10, false, false,
    DY_KNOWLEDGE_LATE },
  { "the store refuses, and has a later change", 2100, 300, NEVER, 1200, 10, false, true,
    DY_KNOWLEDGE_LATE },
  { "no router reaches the store, and one knows more", 9000, NEVER, NEVER, NEVER, NEVER, true, true,
    DY_KNOWLEDGE_LATE },
  { "confirmed, though there is a later change", 1900, NEVER, NEVER, 1200, 10, false, true,
    DY_KNOWLEDGE_CURRENT },
  { "no router reaches the store", 9000, NEVER, NEVER, NEVER, NEVER, true, false,
    DY_KNOWLEDGE_BRIDGED },
};

static int64_t
time_of (int64_t ms_ago)
{
  return ms_ago == NEVER ? INT64_MIN / 2 : (NOW_MS - ms_ago) * MS;
}

START_TEST (old_knowledge_is_acted_on_only_while_the_store_is_known_to_be_away)
{
  DyKnowledgeEvidence evidence = { .confirmed_us = time_of (cases[_i].confirmed_ms),
                                   .bound_us = BOUND_MS * MS,
                                   .behind = cases[_i].behind,
                                   .away_us = time_of (cases[_i].away_ms),
                                   .asked_us = time_of (cases[_i].asked_ms),
                                   .on_time_since_us = time_of (cases[_i].since_ms),
                                   .on_time_until_us = time_of (cases[_i].until_ms),
                                   .others_away = cases[_i].others_away };
  DyKnowledge knowledge = dy_knowledge_judge (&evidence, NOW_MS * MS);
  ck_assert_msg (knowledge == cases[_i].knowledge, "%s: %d", cases[_i].name, knowledge);
}
END_TEST

/* A router that knows of a later change since 2,000 ms. Times are milliseconds before now. */
static const struct
{
  const char *name;
  int64_t silent_ms; /* the latest call without any answer ended */
  int64_t asked_ms;
  int64_t since_ms; /* on time, until 10 ms ago */
  bool others_away;
  bool in_vain;
  DyKnowledge knowledge;
} outdated[] = {
  { "cut off, no router gives the change", 300, NEVER, 1200, false, true, DY_KNOWLEDGE_BRIDGED },
  { "the same, by a call in progress", NEVER, 500, 1200, false, true, DY_KNOWLEDGE_BRIDGED },
  { "cut off, other routers may give it", 300, NEVER, 1200, false, false, DY_KNOWLEDGE_LATE },
  { "the store answers, and refuses", NEVER, NEVER, 1200, false, true, DY_KNOWLEDGE_LATE },
  { "on time for a moment", 300, 500, 900, false, true, DY_KNOWLEDGE_LATE },
  { "cut off before the change", 2100, 2200, 4000, false, true, DY_KNOWLEDGE_LATE },
  { "the others are cut off", NEVER, NEVER, 1200, true, true, DY_KNOWLEDGE_LATE },
};

/* Guards against refusals by a router that is certain to be cut off, and against one that acts on
 * an older configuration though it may be in touch with the store. */
START_TEST (outdated_routes_are_acted_on_only_while_the_router_is_cut_off)
{
  DyKnowledgeEvidence evidence = { .confirmed_us = time_of (5000),
                                   .bound_us = BOUND_MS * MS,
                                   .behind = true,
                                   .behind_us = time_of (2000),
                                   .in_vain = outdated[_i].in_vain,
                                   .away_us = time_of (300),
                                   .silent_us = time_of (outdated[_i].silent_ms),
                                   .asked_us = time_of (outdated[_i].asked_ms),
                                   .on_time_since_us = time_of (outdated[_i].since_ms),
                                   .on_time_until_us = time_of (10),
                                   .others_away = outdated[_i].others_away };
  DyKnowledge knowledge = dy_knowledge_judge (&evidence, NOW_MS * MS);
  ck_assert_msg (knowledge == outdated[_i].knowledge, "%s: %d", outdated[_i].name, knowledge);
}
END_TEST

/* A call that reaches its own limit counts, also if that is shorter than the general one. */
static const struct
{
  int64_t limit_ms; /* 0: not known */
  int64_t waited_ms;
  bool unanswered;
} limits[] = { { 0, 399, false },  { 0, 400, true },    { 700, 399, false },
               { 700, 400, true }, { 300, 299, false }, { 300, 300, true } };

START_TEST (a_call_that_is_given_up_shows_that_the_store_is_away)
{
  DyKnowledgeEvidence evidence = { .call_limit_us = limits[_i].limit_ms * MS,
                                   .on_time_since_us = time_of (5000),
                                   .on_time_until_us = time_of (10) };
  ck_assert (dy_knowledge_is_unanswered (&evidence, time_of (limits[_i].waited_ms), NOW_MS * MS)
             == limits[_i].unanswered);
}
END_TEST

enum
{
  USUAL_MS = 700,
  MAX_ENDS = 4,
};

typedef struct
{
  int64_t ms;
  enum
  {
    END_NONE,
    END_ANSWER,
    END_TIMEOUT,
    END_TIMEOUT_WHEN_LATE,
  } end;
} CallEnd;

static const struct
{
  const char *name;
  CallEnd ends[MAX_ENDS];
  int64_t limit_ms;
} patience_cases[] = {
  { "no call", { { 0 } }, 700 },
  { "the store is away", { { 700, END_TIMEOUT }, { 700, END_TIMEOUT } }, 700 },
  { "late", { { 701, END_TIMEOUT_WHEN_LATE } }, 1400 },
  { "late, calls beside each other",
    { { 701, END_TIMEOUT_WHEN_LATE },
      { 701, END_TIMEOUT_WHEN_LATE },
      { 702, END_TIMEOUT_WHEN_LATE } },
    1400 },
  { "very late",
    { { 701, END_TIMEOUT_WHEN_LATE },
      { 1400, END_TIMEOUT_WHEN_LATE },
      { 2100, END_TIMEOUT_WHEN_LATE } },
    2100 },
  { "late, answered", { { 701, END_TIMEOUT_WHEN_LATE }, { 900, END_ANSWER } }, 1400 },
  { "late no more", { { 701, END_TIMEOUT_WHEN_LATE }, { 340, END_ANSWER } }, 700 },
  { "late, then the store is away",
    { { 701, END_TIMEOUT_WHEN_LATE }, { 1400, END_TIMEOUT } },
    700 },
};

/* Answers that take a little longer than the usual limit must still arrive. */
START_TEST (a_late_router_waits_longer_for_answers)
{
  DyPatience patience;
  dy_patience_init (&patience, USUAL_MS * MS);
  for (int i = 0; i < MAX_ENDS; i++)
    {
      const CallEnd *end = &patience_cases[_i].ends[i];
      if (end->end == END_ANSWER)
        dy_patience_record_answer (&patience, end->ms * MS);
      else if (end->end != END_NONE)
        dy_patience_record_timeout (&patience, end->ms * MS, end->end == END_TIMEOUT_WHEN_LATE);
    }
  ck_assert_msg (patience.limit_us == patience_cases[_i].limit_ms * MS, "%s: %d ms",
                 patience_cases[_i].name, (int) (patience.limit_us / MS));
}
END_TEST

static const struct
{
  const char *name;
  int64_t on_time_until_ms;
  int64_t asking_since_ms;
  bool due;
} probe_cases[] = {
  { "has just begun to ask others", -5000, -10, false },
  { "others have not replied", -5000, -250, true },
  { "others reply", -100, -8000, false },
  { "others no longer reply", -250, -8000, true },
};

/* While the store was away, each router opened ten connections a second to endpoints though the
 * other routers replied. */
START_TEST (endpoint_is_probed_only_if_other_routers_do_not_reply)
{
  const int64_t now_us = 10000 * MS;
  bool due = dy_knowledge_is_probe_due (now_us + probe_cases[_i].on_time_until_ms * MS,
                                        now_us + probe_cases[_i].asking_since_ms * MS, now_us);
  ck_assert_msg (due == probe_cases[_i].due, "%s", probe_cases[_i].name);
}
END_TEST

int
main (void)
{
  TCase *tcase = tcase_create ("knowledge");
  tcase_add_loop_test (tcase, outdated_routes_are_acted_on_only_while_the_router_is_cut_off, 0,
                       G_N_ELEMENTS (outdated));
  tcase_add_loop_test (tcase, a_call_that_is_given_up_shows_that_the_store_is_away, 0,
                       G_N_ELEMENTS (limits));
  tcase_add_loop_test (tcase, a_late_router_waits_longer_for_answers, 0,
                       G_N_ELEMENTS (patience_cases));
  tcase_add_loop_test (tcase, old_knowledge_is_acted_on_only_while_the_store_is_known_to_be_away, 0,
                       G_N_ELEMENTS (cases));
  tcase_add_loop_test (tcase, endpoint_is_probed_only_if_other_routers_do_not_reply, 0,
                       G_N_ELEMENTS (probe_cases));
  return suite_run ("knowledge", tcase);
}
