/* Changes of watched objects at routers that do not reach the store: real router processes, and a
 * store that is silent towards most of them. */

#include "support/suite.h"
#include "support/traffic.h"

#include <signal.h>

enum
{
  N_ROUTERS = 9,
  N_REACHING = 2, /* routers that still reach the store */
  INTERVAL_MS = 20,
  CALM_MS = 1000,
  BOUND_MS = 2000,
  CUT_MS = 6000, /* longer than anything known may be old, and than the store's time limit */
  NOT_PREPAID = -1,
};

static const char extra_route[]
    = "{\"name\":\"new\",\"host\":\"h.example\",\"pathPrefix\":\"/new/\",\"routeType\":"
      "\"idempotent\",\"timeoutMs\":5000,\"targetLatencyMs\":100,\"priority\":1,\"service\":"
      "\"app\",\"maxAttempts\":2}";

/* Guards against routers that learn from others that a later configuration exists, get it from
 * none, and refuse all requests. The first of the routers that still reach the store differs, so
 * that the router which keeps the watch is among the others in some cases. */
START_TEST (routers_cut_off_from_the_store_serve_by_a_configuration_that_others_have)
{
  const TrafficStream streams[]
      = { { "/ok/x/ok", "", INTERVAL_MS, 0, 0 }, { "/new/x/ok", "", INTERVAL_MS, 0, 0 } };
  TrafficResult results[2];
  Site site;
  ck_assert (site_init_relayed (&site, N_ROUTERS, NOT_PREPAID));
  traffic_run (&site, streams, results, 1, CALM_MS);
  ck_assert_uint_eq (results[0].n_served, results[0].n_sent);
  for (uint32_t i = 0; i < N_ROUTERS; i++)
    if (i < (uint32_t) _i || i >= (uint32_t) _i + N_REACHING)
      relay_set_fault (&site.store_relay[i], RELAY_DROP);
  ck_assert (site_put_routes (&site, 2, extra_route, NOT_PREPAID));
  traffic_run (&site, streams, results, 1, BOUND_MS);
  ck_assert_msg (results[0].n_served == results[0].n_sent, "at first %u of %u served",
                 results[0].n_served, results[0].n_sent);
  traffic_run (&site, streams, results, 2, CUT_MS);
  for (uint32_t i = 0; i < 2; i++)
    ck_assert_msg (results[i].n_served == results[i].n_sent, "%s: %u of %u served",
                   streams[i].target, results[i].n_served, results[i].n_sent);
  site_finish (&site);
}
END_TEST

/* Returns the additional routes of a table of which not even the packed text fits in a message:
 * their names don't get shorter by packing. */
static char *
format_many_routes (int number)
{
  enum
  {
    N_ROUTES = 1400,
    NAME_SIZE = 24,
  };
  GString *text = g_string_new (extra_route);
  GRand *rng = g_rand_new_with_seed ((uint32_t) number);
  for (int i = 0; i < N_ROUTES; i++)
    {
      char name[4][NAME_SIZE];
      for (int k = 0; k < 4; k++)
        g_snprintf (name[k], NAME_SIZE, "%08x%08x", g_rand_int (rng), g_rand_int (rng));
      g_string_append_printf (
          text,
          ",{\"name\":\"%s%s\",\"host\":\"h.example\",\"pathPrefix\":\"/%s%s/\",\"routeType\":"
          "\"idempotent\",\"timeoutMs\":5000,\"targetLatencyMs\":100,\"priority\":1,\"service\":"
          "\"app\",\"maxAttempts\":2}",
          name[0], name[1], name[2], name[3]);
    }
  g_rand_free (rng);
  return g_string_free (text, FALSE);
}

/* What happens at the store while most routers don't reach it. */
static const struct
{
  const char *name;
  int n_changes;
  int64_t interval_ms;
  bool large;
  bool forgets; /* the store drops its history */
} storms[] = {
  { "a table above the frame size", 1, 0, true, false },
  { "a change each 80 ms", 40, 80, false, false },
  { "a compacted history", 2, 1000, false, true },
};

typedef struct
{
  Site *site;
  int i;
  int version;
  char *extra;
  ev_timer timer;
} Storm;

static void
on_change_due (struct ev_loop *loop, ev_timer *w, int events)
{
  Storm *storm = w->data;
  (void) events;
  if (storms[storm->i].forgets)
    site_set_store (storm->site, "{\"forget\":true}");
  ck_assert (site_put_routes (storm->site, storm->version++, storm->extra, NOT_PREPAID));
  if (storm->version >= 2 + storms[storm->i].n_changes)
    ev_timer_stop (loop, w);
}

/* Returns for how many of the routers TEXT is in what they have printed. */
static uint32_t
count_routers (const Site *site, const char *text)
{
  uint32_t n = 0;
  for (uint32_t i = 0; i < site->n_routers; i++)
    n += site_count_output (site, i, text) > 0;
  return n;
}

/* Guards against routers that catch up with one small change only. */
START_TEST (routers_cut_off_from_the_store_follow_large_and_frequent_changes)
{
  enum
  {
    FIRST_REACHING = 3,
    SETTLE_MS = 3000,
  };
  const TrafficStream streams[]
      = { { "/ok/x/ok", "", INTERVAL_MS, 0, 0 }, { "/new/x/ok", "", INTERVAL_MS, 0, 0 } };
  TrafficResult results[2];
  Site site;
  char line[64];
  ck_assert (site_init_relayed (&site, N_ROUTERS, NOT_PREPAID));
  traffic_run (&site, streams, results, 1, CALM_MS);
  for (uint32_t i = 0; i < N_ROUTERS; i++)
    if (i < FIRST_REACHING || i >= FIRST_REACHING + N_REACHING)
      relay_set_fault (&site.store_relay[i], RELAY_DROP);
  Storm storm = { .site = &site, .i = _i, .version = 2 };
  storm.extra = storms[_i].large ? format_many_routes (_i) : g_strdup (extra_route);
  ev_timer_init (&storm.timer, on_change_due, 0.0, (double) storms[_i].interval_ms / 1e3);
  storm.timer.data = &storm;
  ev_timer_start (site.fleet.loop, &storm.timer);
  traffic_run (&site, streams, results, 1, SETTLE_MS);
  ck_assert_msg (results[0].n_served == results[0].n_sent, "%s, at first: %u of %u served",
                 storms[_i].name, results[0].n_served, results[0].n_sent);
  traffic_run (&site, streams, results, 2, CUT_MS);
  for (uint32_t i = 0; i < 2; i++)
    ck_assert_msg (results[i].n_served == results[i].n_sent, "%s, %s: %u of %u served",
                   storms[_i].name, streams[i].target, results[i].n_served, results[i].n_sent);
  g_snprintf (line, sizeof line, "key=config/main version=%d ", 1 + storms[_i].n_changes);
  ck_assert_uint_eq (count_routers (&site, line), N_ROUTERS);
  g_free (storm.extra);
  site_finish (&site);
}
END_TEST

/* Returns the number of times that TEXT is in what the routers have printed. */
static uint32_t
count_lines (const Site *site, const char *text)
{
  uint32_t n = 0;
  for (uint32_t i = 0; i < site->n_routers; i++)
    n += site_count_output (site, i, text);
  return n;
}

/* Guards against routers that ask each other without end once none of them reaches the store. The
 * last one that does gets a change, and is cut off, too. */
START_TEST (a_fleet_that_is_cut_off_asks_once_a_router_and_change)
{
  enum
  {
    LAST = 4,
    KNOWN_MS = 2000,
  };
  static const char asked[] = "2011 changes asked for at a router: prefix=config/";
  static const char answered[] = "2012 router answered that lacks changes: prefix=config/";
  const TrafficStream streams[]
      = { { "/ok/x/ok", "", INTERVAL_MS, 0, 0 }, { "/new/x/ok", "", INTERVAL_MS, 0, 0 } };
  TrafficResult results[2];
  Site site;
  ck_assert (site_init_relayed (&site, N_ROUTERS, NOT_PREPAID));
  traffic_run (&site, streams, results, 1, CALM_MS);
  uint32_t n_asked = count_lines (&site, asked);
  uint32_t n_answered = count_lines (&site, answered);
  for (uint32_t i = 0; i < N_ROUTERS; i++)
    if (i != LAST)
      relay_set_fault (&site.store_relay[i], RELAY_DROP);
  ck_assert (site_put_routes (&site, 2, extra_route, NOT_PREPAID));
  traffic_run (&site, streams, results, 1, KNOWN_MS);
  relay_set_fault (&site.store_relay[LAST], RELAY_DROP);
  traffic_run (&site, streams, results, 2, CUT_MS);
  for (uint32_t i = 0; i < 2; i++)
    ck_assert_msg (results[i].n_served == results[i].n_sent, "%s: %u of %u served",
                   streams[i].target, results[i].n_served, results[i].n_sent);
  n_asked = count_lines (&site, asked) - n_asked;
  n_answered = count_lines (&site, answered) - n_answered;
  ck_assert_msg (n_asked < N_ROUTERS && n_answered < N_ROUTERS, "%u requests, %u replies", n_asked,
                 n_answered);
  site_finish (&site);
}
END_TEST

int
main (void)
{
  enum
  {
    TIMEOUT_S = 60,
  };
  TCase *tcase = tcase_create ("changes_from_peers");
  signal (SIGPIPE, SIG_IGN);
  tcase_set_timeout (tcase, TIMEOUT_S);
  tcase_add_loop_test (tcase,
                       routers_cut_off_from_the_store_serve_by_a_configuration_that_others_have, 0,
                       N_ROUTERS - N_REACHING + 1);
  tcase_add_loop_test (tcase, routers_cut_off_from_the_store_follow_large_and_frequent_changes, 0,
                       G_N_ELEMENTS (storms));
  tcase_add_test (tcase, a_fleet_that_is_cut_off_asks_once_a_router_and_change);
  return suite_run ("changes_from_peers", tcase);
}
