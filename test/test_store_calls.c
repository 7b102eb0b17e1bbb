/* How many calls routers make to the platform's store, and how changes reach all of them: real
 * router processes on a stand-in store. */

#include "support/suite.h"
#include "support/traffic.h"

#include "services/shared_entries.h"

#include <string.h>

enum
{
  N_CHANGES = 8,
  CHANGE_INTERVAL_MS = 250,
  SETTLE_MS = 1500,
  APPLY_MS = 1000, /* time in which a change is to be in force at all routers */
  PREPAID = 3000000,
  /* Two for each change of either kind, one for each of two checks a second of either kind, and
   * half of that for delays. Does not depend on the number of routers. */
  MAX_CALLS = 2 * 2 * N_CHANGES + 3 * 2 * (N_CHANGES * CHANGE_INTERVAL_MS + APPLY_MS) / 1000,
  LONG_VM_LIST_INTERVAL_MS = 60000,
  JOIN_MS = 2500, /* after the last router is ready */
  IDLE_MS = 2000,
  TRAFFIC_MS = 1500,
  HEARTBEAT_MS = 50,    /* of the routers' settings */
  N_USUAL_ROUTES = 130, /* 26 KB */
  LAST_LARGE_VERSION = 4,
  N_LARGE_ROUTES = 400, /* of about 200 bytes: more than a frame between routers holds */
};

static const uint32_t fleets[] = { 1, 2, 9, 24 };

/* Returns the number of reads; what the test itself writes is not one. */
static int64_t
count_reads (Site *site)
{
  return site_store_calls (site, "config") - site_store_calls (site, "config writes")
         + site_store_calls (site, "servers") - site_store_calls (site, "servers writes");
}

/* Returns the number of routers whose route table has VERSION. */
static uint32_t
count_updated (Site *site, int version)
{
  uint32_t n = 0;
  for (uint32_t i = 0; i < site->n_routers; i++)
    {
      json_t *dump = fleet_call (&site->fleet, "GET", site->operators[i], "/dump", NULL);
      const json_t *directory = json_object_get (dump, "directory");
      n += json_integer_value (json_object_get (directory, "version")) == version;
      json_decref (dump);
    }
  return n;
}

/* Returns N additional routes. */
static char *
format_routes (int n)
{
  GString *text = g_string_new (NULL);
  for (int i = 0; i < n; i++)
    g_string_append_printf (
        text,
        "%s{\"name\":\"large-%d\",\"host\":\"h.example\",\"pathPrefix\":\"/large-%d/\","
        "\"routeType\":\"idempotent\",\"timeoutMs\":5000,\"targetLatencyMs\":100,\"priority\":1,"
        "\"service\":\"app\",\"maxAttempts\":2}",
        i ? "," : "", i, i);
  return g_string_free (text, FALSE);
}

START_TEST (changes_reach_all_routers_for_calls_that_do_not_grow_with_the_fleet)
{
  Site site;
  int version = 1;
  char *extra = format_routes (N_USUAL_ROUTES);
  ck_assert (site_init (&site, fleets[_i]));
  site_run_for (&site, SETTLE_MS);
  int64_t n_before = count_reads (&site);
  for (int i = 0; i < N_CHANGES; i++)
    {
      /* Two versions at once are in one answer of the store. */
      ck_assert (site_put_routes (&site, ++version, extra, PREPAID));
      ck_assert (site_put_routes (&site, ++version, extra, PREPAID));
      ck_assert (site_put_worker (&site, 0, i % 2 ? "ready" : "draining", NULL));
      site_run_for (&site, CHANGE_INTERVAL_MS);
    }
  site_run_for (&site, APPLY_MS - CHANGE_INTERVAL_MS);
  int64_t n_calls = count_reads (&site) - n_before;
  uint32_t n_updated = count_updated (&site, version);
  ck_assert_msg (n_updated == site.n_routers, "%u of %u routers", n_updated, site.n_routers);
  ck_assert_msg (n_calls <= MAX_CALLS, "%" G_GINT64_FORMAT " calls, allowed %d", n_calls,
                 MAX_CALLS);
  g_free (extra);
  site_finish (&site);
}
END_TEST

/* Returns the number of connections to members, over all routers. */
static uint32_t
count_connections (Site *site)
{
  uint32_t n = 0;
  for (uint32_t i = 0; i < site->n_routers; i++)
    {
      json_t *dump = fleet_call (&site->fleet, "GET", site->operators[i], "/dump", NULL);
      const json_t *members = json_object_get (json_object_get (dump, "peers"), "members");
      const json_t *member;
      size_t k;
      json_array_foreach (members, k, member)
      {
        n += json_is_true (json_object_get (member, "connected"));
      }
      json_decref (dump);
    }
  return n;
}

/* The first ones read the VM list before the others are on it. */
START_TEST (routers_of_a_first_start_know_each_other_long_before_the_next_read_of_the_vm_list)
{
  Site site;
  ck_assert (site_init_listing (&site, fleets[_i], LONG_VM_LIST_INTERVAL_MS));
  site_run_for (&site, JOIN_MS);
  ck_assert_uint_eq (count_connections (&site), site.n_routers * (site.n_routers - 1));
  int64_t n_lists = site_store_calls (&site, "routers");
  site_run_for (&site, IDLE_MS);
  ck_assert_int_eq (site_store_calls (&site, "routers"), n_lists);
  site_finish (&site);
}
END_TEST

START_TEST (a_restart_writes_the_record_of_a_router_once)
{
  Site site;
  ck_assert (site_init (&site, fleets[_i]));
  int64_t n_writes = site_store_calls (&site, "routers writes");
  ck_assert (site_restart_routers (&site));
  ck_assert_int_eq (site_store_calls (&site, "routers writes") - n_writes, site.n_routers);
  site_finish (&site);
}
END_TEST

/* Returns the latest version of the ledger entry of ACCOUNT that router I knows; 0: none. */
static int64_t
known_version (Site *site, uint32_t i, const char *account)
{
  json_t *dump = fleet_call (&site->fleet, "GET", site->operators[i], "/dump", NULL);
  const json_t *entries = json_object_get (json_object_get (dump, "budgets"), "entries");
  const json_t *entry;
  size_t k;
  int64_t version = 0;
  json_array_foreach (entries, k, entry)
  {
    if (strcmp (json_string_value (json_object_get (entry, "account")), account) == 0)
      version = MAX (version, json_integer_value (json_object_get (entry, "version")));
  }
  json_decref (dump);
  return version;
}

/* Those that may soon be the home of the account know it, and in a large fleet not many more. */
START_TEST (the_keepers_know_the_latest_ledger_entry)
{
  enum
  {
    /* And the home; routers whose views of the members differ choose others for a moment. */
    MAX_KNOWING = DY_ENTRY_KEEPERS * 3 / 2,
  };
  static const TrafficStream stream = { "/ok/x/ok", "", 10, 0, 0 };
  TrafficResult result;
  Site site;
  int64_t latest = 0;
  uint32_t n_latest = 0;
  uint32_t n_knowing = 0;
  ck_assert (site_init (&site, fleets[_i]));
  traffic_run (&site, &stream, &result, 1, TRAFFIC_MS);
  ck_assert_uint_eq (result.n_served, result.n_sent);
  site_run_for (&site, SETTLE_MS);
  for (uint32_t i = 0; i < site.n_routers; i++)
    latest = MAX (latest, known_version (&site, i, "acct"));
  for (uint32_t i = 0; i < site.n_routers; i++)
    {
      int64_t version = known_version (&site, i, "acct");
      n_latest += version == latest;
      n_knowing += version > 0;
    }
  ck_assert_int_gt (latest, 0);
  ck_assert_uint_ge (n_latest, MIN (site.n_routers, DY_ENTRY_KEEPERS));
  ck_assert_uint_le (n_knowing, MAX_KNOWING);
  site_finish (&site);
}
END_TEST

static int64_t
count_messages (Site *site)
{
  int64_t n = 0;
  for (uint32_t i = 0; i < site->n_routers; i++)
    {
      json_t *dump = fleet_call (&site->fleet, "GET", site->operators[i], "/dump", NULL);
      n += json_integer_value (json_object_get (json_object_get (dump, "peers"), "messages_sent"));
      json_decref (dump);
    }
  return n;
}

/* Of two routers, one sends a heartbeat and the other one replies: a message each. */
START_TEST (idle_routers_send_each_other_one_message_an_interval)
{
  static const double MAX_RATIO = 1.5; /* some heartbeats cross, and checks are spread */
  Site site;
  ck_assert (site_init (&site, fleets[_i]));
  site_run_for (&site, SETTLE_MS);
  int64_t n_before = count_messages (&site);
  int64_t start_us = g_get_monotonic_time ();
  site_run_for (&site, IDLE_MS);
  int64_t n_messages = count_messages (&site) - n_before;
  double n_intervals = (double) (g_get_monotonic_time () - start_us) / 1e3 / HEARTBEAT_MS;
  double n_pairs = site.n_routers * (site.n_routers - 1.0);
  ck_assert_msg ((double) n_messages <= MAX_RATIO * n_pairs * n_intervals,
                 "%" G_GINT64_FORMAT " messages in %.0f intervals", n_messages, n_intervals);
  for (uint32_t i = 0; i < site.n_routers; i++)
    ck_assert_uint_eq (site_count_output (&site, i, "peer lost"), 0);
  site_finish (&site);
}
END_TEST

START_TEST (a_route_table_above_the_frame_size_reaches_all_routers_and_breaks_no_connection)
{
  Site site;
  char *extra = format_routes (N_LARGE_ROUTES);
  ck_assert (site_init (&site, fleets[_i]));
  site_run_for (&site, SETTLE_MS);
  for (int version = 2; version <= LAST_LARGE_VERSION; version++)
    {
      ck_assert (site_put_routes (&site, version, extra, PREPAID));
      site_run_for (&site, APPLY_MS);
      uint32_t n_updated = count_updated (&site, version);
      ck_assert_msg (n_updated == site.n_routers, "version %d: %u of %u routers", version,
                     n_updated, site.n_routers);
    }
  for (uint32_t i = 0; i < site.n_routers; i++)
    {
      ck_assert_uint_eq (site_count_output (&site, i, "peer rejected"), 0);
      ck_assert_uint_eq (site_count_output (&site, i, "peer lost"), 0);
    }
  g_free (extra);
  site_finish (&site);
}
END_TEST

/* Only one or two routers read it; the bound is that of small tables. */
START_TEST (a_route_table_above_the_frame_size_costs_no_more_calls_in_a_large_fleet)
{
  enum
  {
    N_VERSIONS = LAST_LARGE_VERSION - 1,
    MAX_LARGE_CALLS = 2 * N_VERSIONS + 3 * 2 * N_VERSIONS * APPLY_MS / 1000,
  };
  Site site;
  char *extra = format_routes (N_LARGE_ROUTES);
  ck_assert (site_init (&site, fleets[_i]));
  site_run_for (&site, SETTLE_MS);
  int64_t n_before = count_reads (&site);
  for (int version = 2; version <= LAST_LARGE_VERSION; version++)
    {
      ck_assert (site_put_routes (&site, version, extra, PREPAID));
      site_run_for (&site, APPLY_MS);
    }
  int64_t n_calls = count_reads (&site) - n_before;
  ck_assert_uint_eq (count_updated (&site, LAST_LARGE_VERSION), site.n_routers);
  ck_assert_msg (n_calls <= MAX_LARGE_CALLS, "%" G_GINT64_FORMAT " calls, allowed %d", n_calls,
                 MAX_LARGE_CALLS);
  g_free (extra);
  site_finish (&site);
}
END_TEST

static int64_t
bytes_sent (Site *site, uint32_t i)
{
  json_t *dump = fleet_call (&site->fleet, "GET", site->operators[i], "/dump", NULL);
  const json_t *peers = json_object_get (dump, "peers");
  int64_t n = json_integer_value (json_object_get (peers, "bytes_sent"));
  json_decref (dump);
  return n;
}

/* Links of routers carry requests, too. Each version has one more route, so each is another text.
 */
START_TEST (changes_of_a_large_route_table_leave_a_small_link_to_requests)
{
  enum
  {
    SMALL_LINK_BITS_PER_S = 10 * 1000 * 1000,
    N_ROUTES = 250, /* 50 KB */
    STORM_INTERVAL_MS = 330,
    N_STORM = 12,
  };
  static const double MAX_SHARE = 0.25;
  Site site;
  int64_t n_before[SITE_MAX_ROUTERS] = { 0 };
  ck_assert (site_init (&site, fleets[_i]));
  site_run_for (&site, SETTLE_MS);
  for (uint32_t i = 0; i < site.n_routers; i++)
    n_before[i] = bytes_sent (&site, i);
  int64_t start_us = g_get_monotonic_time ();
  for (int k = 0; k < N_STORM; k++)
    {
      char *extra = format_routes (N_ROUTES + k);
      ck_assert (site_put_routes (&site, 2 + k, extra, PREPAID));
      g_free (extra);
      site_run_for (&site, STORM_INTERVAL_MS);
    }
  double storm_s = (double) (g_get_monotonic_time () - start_us) / 1e6;
  for (uint32_t i = 0; i < site.n_routers; i++)
    {
      double bits_per_s = 8.0 * (double) (bytes_sent (&site, i) - n_before[i]) / storm_s;
      ck_assert_msg (bits_per_s <= MAX_SHARE * SMALL_LINK_BITS_PER_S, "r%u sent %.0f bit/s", i,
                     bits_per_s);
    }
  ck_assert_uint_eq (count_updated (&site, 1 + N_STORM), site.n_routers);
  site_finish (&site);
}
END_TEST

START_TEST (a_router_out_of_reach_of_the_store_gets_a_large_route_table_from_the_others)
{
  enum
  {
    N_ROUTERS = 3,
    STARTED = 1,
    VERSION = 2,
  };
  Site site;
  char *extra = format_routes (N_LARGE_ROUTES);
  ck_assert (site_init_relayed (&site, N_ROUTERS, PREPAID));
  site_run_for (&site, SETTLE_MS);
  ck_assert (site_put_routes (&site, VERSION, extra, PREPAID));
  site_run_for (&site, APPLY_MS);
  ck_assert_uint_eq (count_updated (&site, VERSION), N_ROUTERS);
  relay_set_fault (&site.store_relay[STARTED], RELAY_DROP);
  ck_assert (site_start_router (&site, STARTED));
  site_run_for (&site, JOIN_MS);
  ck_assert_uint_eq (count_updated (&site, VERSION), N_ROUTERS);
  g_free (extra);
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
  TCase *tcase = tcase_create ("store_calls");
  tcase_set_timeout (tcase, TIMEOUT_S);
  tcase_add_loop_test (tcase, changes_reach_all_routers_for_calls_that_do_not_grow_with_the_fleet,
                       0, G_N_ELEMENTS (fleets));
  tcase_add_loop_test (
      tcase, routers_of_a_first_start_know_each_other_long_before_the_next_read_of_the_vm_list, 0,
      G_N_ELEMENTS (fleets));
  tcase_add_loop_test (tcase, a_restart_writes_the_record_of_a_router_once, 0,
                       G_N_ELEMENTS (fleets));
  tcase_add_loop_test (tcase, the_keepers_know_the_latest_ledger_entry, 0, G_N_ELEMENTS (fleets));
  tcase_add_loop_test (tcase, idle_routers_send_each_other_one_message_an_interval, 0,
                       G_N_ELEMENTS (fleets));
  tcase_add_loop_test (
      tcase, a_route_table_above_the_frame_size_reaches_all_routers_and_breaks_no_connection, 0,
      G_N_ELEMENTS (fleets));
  tcase_add_loop_test (tcase,
                       a_route_table_above_the_frame_size_costs_no_more_calls_in_a_large_fleet, 0,
                       G_N_ELEMENTS (fleets));
  tcase_add_loop_test (tcase, changes_of_a_large_route_table_leave_a_small_link_to_requests, 0,
                       G_N_ELEMENTS (fleets));
  tcase_add_test (tcase,
                  a_router_out_of_reach_of_the_store_gets_a_large_route_table_from_the_others);
  return suite_run ("store_calls", tcase);
}
