/* Changes that routers ask each other for: the history of objects, decisions of one router, and
 * fleets in virtual time. */

#include "support/suite.h"

#include "core/missed_changes.h"
#include "core/store_version.h"

#include <string.h>

enum
{
  MS = 1000, /* microseconds */
  MAX_ROUTERS = 300,
  NAME_SIZE = 16,
  PEER_TIMEOUT_US = 600 * 1000 * MS, /* no router of these fleets is lost */
};

static void
append_text (void *ctx, const char *key, uint64_t version, const char *value)
{
  g_string_append_printf (ctx, "%s%s=%s@%d", ((GString *) ctx)->len ? " " : "", key,
                          value ? value : "-", (int) version);
}

/* Updates of a history, which end with version 0, and what it then has for a router. */
static const struct
{
  const char *name;
  struct
  {
    DyObjectUpdate update;
    uint64_t version;
    const char *key;
    const char *value;
  } updates[5];
  uint64_t known;
  uint64_t changed;
  const char *changes; /* NULL: the history does not reach so far */
} histories[] = {
  { "a change",
    { { DY_OBJECT_UPDATE_LIST, 10, "a", "x" }, { DY_OBJECT_UPDATE_CHANGES, 12, "a", "y" } },
    10,
    10,
    "a=y@12" },
  { "known already",
    { { DY_OBJECT_UPDATE_LIST, 10, "a", "x" }, { DY_OBJECT_UPDATE_CHANGES, 12, "a", "y" } },
    12,
    12,
    "" },
  { "the latest of two",
    { { DY_OBJECT_UPDATE_LIST, 10, "a", "x" },
      { DY_OBJECT_UPDATE_CHANGES, 12, "a", "y" },
      { DY_OBJECT_UPDATE_CHANGES, 14, "a", "z" } },
    11,
    10,
    "a=z@14" },
  { "before the first list", { { DY_OBJECT_UPDATE_LIST, 10, "a", "x" } }, 9, 9, NULL },
  { "a removal",
    { { DY_OBJECT_UPDATE_LIST, 10, "a", "x" }, { DY_OBJECT_UPDATE_CHANGES, 12, "a", NULL } },
    10,
    10,
    "a=-@12" },
  { "a removal of what was never known",
    { { DY_OBJECT_UPDATE_LIST, 10, "a", "x" }, { DY_OBJECT_UPDATE_CHANGES, 12, "b", NULL } },
    10,
    10,
    "b=-@12" },
  { "removed and written again",
    { { DY_OBJECT_UPDATE_LIST, 10, "a", "x" },
      { DY_OBJECT_UPDATE_CHANGES, 12, "a", NULL },
      { DY_OBJECT_UPDATE_CHANGES, 13, "a", "y" } },
    10,
    10,
    "a=y@13" },
  { "removed between lists",
    { { DY_OBJECT_UPDATE_LIST, 10, "a", "x" }, { DY_OBJECT_UPDATE_LIST, 12, "b", "y" } },
    10,
    10,
    "b=y@12 a=-@12" },
  { "within lists: an object may have come and gone",
    { { DY_OBJECT_UPDATE_LIST, 10, "a", "x" }, { DY_OBJECT_UPDATE_LIST, 14, "a", "y" } },
    12,
    12,
    NULL },
  { "within lists, without a change since the first one",
    { { DY_OBJECT_UPDATE_LIST, 10, "a", "x" }, { DY_OBJECT_UPDATE_LIST, 14, "a", "y" } },
    12,
    9,
    "a=y@14" },
  { "before the gap before the latest one",
    { { DY_OBJECT_UPDATE_LIST, 10, "a", "x" },
      { DY_OBJECT_UPDATE_COMPARED, 14, "a", "y" },
      { DY_OBJECT_UPDATE_COMPARED, 18, "a", "z" } },
    10,
    10,
    NULL },
  { "after a restore of the store",
    { { DY_OBJECT_UPDATE_LIST, 10, "a", "x" },
      { DY_OBJECT_UPDATE_LIST, (UINT64_C (1) << 40) + 5, "a", "y" } },
    10,
    10,
    NULL },
};

START_TEST (a_history_has_all_changes_since_a_version_or_says_that_it_lacks_some)
{
  DyObjectHistory history;
  GString *text = g_string_new (NULL);
  uint64_t after;
  dy_object_history_init (&history);
  for (uint32_t i = 0; histories[_i].updates[i].version; i++)
    {
      uint64_t version = histories[_i].updates[i].version;
      dy_object_history_begin (&history, histories[_i].updates[i].update, version);
      dy_object_history_record (&history, histories[_i].updates[i].key, version,
                                histories[_i].updates[i].value);
      dy_object_history_end (&history);
    }
  bool reaches
      = dy_object_history_reaches (&history, histories[_i].known, histories[_i].changed, &after);
  ck_assert_msg (reaches == (histories[_i].changes != NULL), "%s", histories[_i].name);
  if (reaches)
    {
      dy_object_history_visit (&history, after, append_text, text);
      ck_assert_msg (strcmp (text->str, histories[_i].changes) == 0, "%s: %s", histories[_i].name,
                     text->str);
    }
  g_string_free (text, TRUE);
  dy_object_history_finish (&history);
}
END_TEST

/* Guards against a log of removals that grows without a bound, and against one that forgets a
 * removal without saying so. */
START_TEST (a_long_history_forgets_the_oldest_removals)
{
  enum
  {
    N = DY_OBJECT_HISTORY_REMOVALS * 3,
  };
  DyObjectHistory history;
  uint64_t after;
  dy_object_history_init (&history);
  dy_object_history_begin (&history, DY_OBJECT_UPDATE_LIST, 1);
  dy_object_history_end (&history);
  for (uint64_t version = 2; version < 2 + N; version++)
    {
      char key[NAME_SIZE];
      g_snprintf (key, sizeof key, "%d", (int) version);
      dy_object_history_begin (&history, DY_OBJECT_UPDATE_CHANGES, version);
      dy_object_history_record (&history, key, version, NULL);
      dy_object_history_end (&history);
    }
  ck_assert_uint_le (g_hash_table_size (history.removed), DY_OBJECT_HISTORY_REMOVALS);
  ck_assert (!dy_object_history_reaches (&history, N / 2, N / 2, &after));
  ck_assert (dy_object_history_reaches (&history, N - DY_OBJECT_HISTORY_REMOVALS + 2, 1, &after));
  dy_object_history_finish (&history);
}
END_TEST

/* Replies of a router that knows version 20 and has a history since 10, with an object of version
 * 5, and of one whose store was restored. */
static const struct
{
  const char *name;
  uint64_t era; /* of the router that replies */
  DyMissedRequest request;
  DyMissedReply reply;
} replies[] = {
  { "changes", 0, { 12, 12, 1 }, DY_MISSED_REPLY_CHANGES },
  { "compacted history", 0, { 9, 9, 2 }, DY_MISSED_REPLY_LIST },
  { "compacted history, and the object changed", 0, { 4, 4, 1 }, DY_MISSED_REPLY_LIST },
  { "compacted history, no object changed", 0, { 9, 9, 1 }, DY_MISSED_REPLY_CHANGES },
  { "number of objects not stated", 0, { 9, 9, UINT32_MAX }, DY_MISSED_REPLY_LIST },
  { "the other router lists anew", 0, { 0, 0, 1 }, DY_MISSED_REPLY_LIST },
  { "as much is known", 0, { 20, 20, 1 }, DY_MISSED_REPLY_NOTHING },
  { "more is known", 0, { 25, 25, 1 }, DY_MISSED_REPLY_NOTHING },
  { "implausible change", 0, { 12, UINT64_MAX, 1 }, DY_MISSED_REPLY_CHANGES },
  { "another era", 1, { 12, 12, 1 }, DY_MISSED_REPLY_NOTHING },
};

START_TEST (a_router_replies_with_what_the_other_one_can_take)
{
  DyObjectHistory history;
  DyWatchAge age;
  uint64_t version = dy_store_version (replies[_i].era, 20);
  uint64_t after;
  dy_object_history_init (&history);
  dy_watch_age_init (&age, &dy_watch_age_policy);
  ck_assert_int_eq (dy_missed_changes_reply (&age, &history, &replies[_i].request, &after),
                    DY_MISSED_REPLY_NOTHING);
  dy_object_history_begin (&history, DY_OBJECT_UPDATE_LIST, dy_store_version (replies[_i].era, 10));
  dy_object_history_record (&history, "a", dy_store_version (replies[_i].era, 5), "x");
  dy_object_history_end (&history);
  dy_object_history_begin (&history, DY_OBJECT_UPDATE_CHANGES, version);
  dy_object_history_end (&history);
  dy_watch_age_record_answer (&age, version, version, 0);
  DyMissedReply reply = dy_missed_changes_reply (&age, &history, &replies[_i].request, &after);
  ck_assert_msg (reply == replies[_i].reply, "%s: %d", replies[_i].name, reply);
  dy_object_history_finish (&history);
}
END_TEST

/* A router that knows all up to AGE, and has served by what was known at SERVED. */
static const struct
{
  const char *name;
  uint64_t age;
  uint64_t served;
  uint64_t version;
  bool takes;
} lists[] = {
  { "later", 10, 10, 12, true },
  { "the same", 10, 10, 10, false },
  { "older", 10, 10, 8, false },
  { "no history left, later", 0, 10, 12, true },
  { "no history left, older than it has served by", 0, 10, 8, false },
  { "a later era", 10, 10, UINT64_C (1) << 40, false },
  { "nothing was ever known", 0, 0, 12, false },
};

START_TEST (a_list_never_takes_a_router_back)
{
  DyWatchAge age;
  dy_watch_age_init (&age, &dy_watch_age_policy);
  if (lists[_i].age)
    dy_watch_age_record_answer (&age, lists[_i].age, lists[_i].age, 0);
  bool takes = dy_missed_changes_may_take_list (&age, lists[_i].served, lists[_i].version);
  ck_assert_msg (takes == lists[_i].takes, "%s", lists[_i].name);
}
END_TEST

START_TEST (a_text_beyond_what_a_connection_takes_is_not_sent)
{
  ck_assert_uint_eq (dy_missed_changes_parts (0, 100), 1);
  ck_assert_uint_eq (dy_missed_changes_parts (100, 100), 1);
  ck_assert_uint_eq (dy_missed_changes_parts (101, 100), 2);
  ck_assert_uint_eq (dy_missed_changes_parts (100 * DY_MISSED_MAX_PARTS, 100), DY_MISSED_MAX_PARTS);
  ck_assert_uint_eq (dy_missed_changes_parts (100 * DY_MISSED_MAX_PARTS + 1, 100), 0);
}
END_TEST

/* Fleets in which some routers have every change at once, and the others only hear of them. */
static const struct
{
  const char *name;
  uint32_t n_routers;
  uint32_t n_having;   /* the first ones; the first two report changes */
  uint32_t n_mute;     /* of those that report, the first ones don't reply */
  int64_t interval_ms; /* between changes; 0: there is one */
  size_t n_bytes;      /* of a reply */
  double max_requests; /* of a router that lacks changes, a second; for one change, in all */
  int64_t max_ms;      /* until all have the change; with several, that one is behind */
} fleets[] = {
  {
      "two routers",
      2,
      1,
      0,
      0,
      2000,
      1,
      500,
  },
  { "most are cut off", 17, 2, 0, 0, 2000, 1, 500 },
  { "one that reports is silent", 17, 2, 1, 0, 2000, 2, 1000 },
  { "a large fleet", 90, 2, 0, 0, 8000, 1, 700 },
  { "a large fleet, a table above the frame size", 90, 2, 0, 0, 100000, 8, 2500 },
  { "a change each 80 ms", 17, 2, 0, 80, 2000, 3.5, 700 },
  { "a change each 80 ms, large", 90, 2, 0, 80, 8000, 3.5, 3000 },
};

typedef struct
{
  char name[NAME_SIZE];
  DyMembers members;
  DyWatchAge age;
  DyMissedChanges missed;
  uint32_t n_requests;
  uint64_t reply_version; /* that is on its way; 0: none is */
  int64_t reply_us;
} Router;

static Router *
new_fleet (uint32_t n)
{
  Router *routers = g_new0 (Router, n);
  for (uint32_t i = 0; i < n; i++)
    g_snprintf (routers[i].name, NAME_SIZE, "r%u", i);
  for (uint32_t i = 0; i < n; i++)
    {
      dy_members_init (&routers[i].members, routers[i].name, PEER_TIMEOUT_US);
      dy_watch_age_init (&routers[i].age, &dy_watch_age_policy);
      dy_missed_changes_init (&routers[i].missed);
      dy_watch_age_record_answer (&routers[i].age, 1, 1, 0);
      for (uint32_t k = 0; k < n; k++)
        {
          dy_members_put (&routers[i].members, routers[k].name, "", k % 3 ? "a" : "b", false);
          dy_members_record_heartbeat (&routers[i].members, routers[k].name, k + 1, false, 0);
        }
    }
  return routers;
}

static void
free_fleet (Router *routers, uint32_t n)
{
  for (uint32_t i = 0; i < n; i++)
    dy_members_finish (&routers[i].members);
  g_free (routers);
}

static void
announce (Router *routers, uint32_t i, uint64_t version, int64_t now_us)
{
  Router *router = &routers[i];
  dy_missed_changes_report (&router->missed, "r0", version);
  dy_missed_changes_report (&router->missed, "r1", version);
  dy_watch_age_record_peer (&router->age, version, now_us, false, now_us);
}

static const char *
decide (Router *routers, uint32_t i, int64_t now_us)
{
  DyMissedFleet fleet = {
    .members = &routers[i].members, .data_centre = i % 3 ? "a" : "b", .prefix = "config/", .rank = i
  };
  return dy_missed_changes_decide (&routers[i].missed, &routers[i].age, routers[i].age.version,
                                   &fleet, now_us);
}

/* Router I asks NAME. The reply takes the time of its bytes on a link of 10 Mbit/s. */
static void
ask (Router *routers, uint32_t i, const char *name, uint32_t n_mute, size_t n_bytes, int64_t now_us)
{
  enum
  {
    ROUND_TRIP_US = 3 * MS,
  };
  uint32_t other = (uint32_t) g_ascii_strtoull (name + 1, NULL, 10);
  routers[i].n_requests++;
  if (other < n_mute || routers[other].age.version <= routers[i].age.version
      || !dy_missed_changes_spend (&routers[other].missed, n_bytes, now_us))
    return;
  routers[i].reply_version = routers[other].age.version;
  routers[i].reply_us = now_us + ROUND_TRIP_US + (int64_t) n_bytes * 8 / 10;
}

/* Guards against a router that stays behind though others have what it lacks, against floods of
 * requests, and against a router whose link is filled by its replies. */
START_TEST (routers_that_are_behind_get_the_changes_for_few_requests)
{
  enum
  {
    TURN_US = 1 * MS,
    TICK_MS = 100, /* between decisions of a router */
    START_MS = 1000,
    RUN_MS = 6000,
  };
  uint32_t n = fleets[_i].n_routers;
  int64_t interval_ms = fleets[_i].interval_ms;
  Router *routers = new_fleet (n);
  uint64_t version = 1;
  int64_t made_ms[RUN_MS] = { 0 }; /* version to the time of its change */
  int64_t worst_ms = 0;
  for (int64_t ms = 0; ms < RUN_MS; ms++)
    {
      int64_t now_us = (START_MS + ms) * TURN_US;
      bool changes = interval_ms ? ms % interval_ms == 0 : ms == 0;
      if (changes)
        made_ms[++version] = ms;
      for (uint32_t i = 0; i < n; i++)
        {
          Router *router = &routers[i];
          if (changes && i < fleets[_i].n_having)
            dy_watch_age_record_answer (&router->age, version, version, now_us);
          else if (changes)
            announce (routers, i, version, now_us);
          if (router->reply_version && now_us >= router->reply_us)
            {
              dy_watch_age_record_answer (&router->age, router->reply_version,
                                          router->reply_version, router->reply_us);
              router->reply_version = 0;
            }
          if (router->age.version < version)
            worst_ms = MAX (worst_ms, ms - made_ms[router->age.version + 1]);
          const char *name = (ms + i * 7) % TICK_MS == 0 ? decide (routers, i, now_us) : NULL;
          if (name)
            ask (routers, i, name, fleets[_i].n_mute, fleets[_i].n_bytes, now_us);
        }
    }
  for (uint32_t i = fleets[_i].n_having; i < n; i++)
    {
      double requests = interval_ms ? routers[i].n_requests * 1e3 / RUN_MS : routers[i].n_requests;
      ck_assert_msg (interval_ms || routers[i].age.version == version, "%s: r%u is behind",
                     fleets[_i].name, i);
      ck_assert_msg (requests <= fleets[_i].max_requests, "%s: r%u asks %.1f times",
                     fleets[_i].name, i, requests);
    }
  ck_assert_msg (worst_ms <= fleets[_i].max_ms, "%s: lacks a change for %d ms", fleets[_i].name,
                 (int) worst_ms);
  free_fleet (routers, n);
}
END_TEST

/* Guards against requests without end to a fleet in which no router has a change, and against a
 * router that takes it for out of reach before it has asked. */
START_TEST (a_change_that_no_router_has_is_asked_for_ever_more_rarely)
{
  enum
  {
    N = 9,
    RUN_MS = 60000,
    MAX_REQUESTS = 40, /* 200 at the shortest interval */
  };
  Router *routers = new_fleet (N);
  int64_t out_of_reach_ms = 0;
  uint32_t n_requests = 0;
  announce (routers, 1, 5, MS);
  for (int64_t ms = 0; ms < RUN_MS; ms += 10)
    {
      n_requests += decide (routers, 1, ms * MS) != NULL;
      if (!out_of_reach_ms
          && dy_missed_changes_are_out_of_reach (&routers[1].missed, &routers[1].age, ms * MS))
        out_of_reach_ms = ms;
    }
  ck_assert_msg (n_requests >= N - 1 && n_requests <= MAX_REQUESTS, "%u requests", n_requests);
  ck_assert_msg (out_of_reach_ms >= 1000 && out_of_reach_ms <= 1100, "after %d ms",
                 (int) out_of_reach_ms);
  dy_watch_age_record_answer (&routers[1].age, 5, 5, 0);
  ck_assert (!dy_missed_changes_are_out_of_reach (&routers[1].missed, &routers[1].age,
                                                  RUN_MS * (int64_t) MS));
  free_fleet (routers, N);
}
END_TEST

/* Only the store can tell what of the earlier era was removed and what the copy lacks. */
START_TEST (no_router_is_asked_for_changes_of_another_era)
{
  Router *routers = new_fleet (2);
  announce (routers, 1, dy_store_version (1, 1), 0);
  for (int64_t ms = 1; ms < 2000; ms += 100)
    ck_assert_ptr_null (decide (routers, 1, ms * MS));
  free_fleet (routers, 2);
}
END_TEST

int
main (void)
{
  TCase *tcase = tcase_create ("missed_changes");
  tcase_add_loop_test (tcase, a_history_has_all_changes_since_a_version_or_says_that_it_lacks_some,
                       0, G_N_ELEMENTS (histories));
  tcase_add_test (tcase, a_long_history_forgets_the_oldest_removals);
  tcase_add_loop_test (tcase, a_router_replies_with_what_the_other_one_can_take, 0,
                       G_N_ELEMENTS (replies));
  tcase_add_loop_test (tcase, a_list_never_takes_a_router_back, 0, G_N_ELEMENTS (lists));
  tcase_add_test (tcase, a_text_beyond_what_a_connection_takes_is_not_sent);
  tcase_add_loop_test (tcase, routers_that_are_behind_get_the_changes_for_few_requests, 0,
                       G_N_ELEMENTS (fleets));
  tcase_add_test (tcase, a_change_that_no_router_has_is_asked_for_ever_more_rarely);
  tcase_add_test (tcase, no_router_is_asked_for_changes_of_another_era);
  return suite_run ("missed_changes", tcase);
}
