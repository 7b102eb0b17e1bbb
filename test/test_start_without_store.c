/* All routers start while the platform's store does not answer: real router processes on a stand-in
 * store. */

#include "support/suite.h"
#include "support/traffic.h"

enum
{
  INTERVAL_MS = 10,
  BEFORE_MS = 1000,
  /* Longer than a router waits for members that it knows. */
  SILENCE_MS = 4000,
  VM_LIST_INTERVAL_MS = 3000, /* as deployed */
  READY_MS = 1500,            /* after the store's return */
  RUN_MS = 2000,
  LARGEST_FLEET = 9,
  N_DEAD_ROWS = 200,
  SMALL_LINK_BITS_PER_S = 10 * 1000 * 1000,
};

static const double MIN_SERVED = 0.9;

static const uint32_t router_counts[] = { 2, 9 };

/* Returns the number of members that router I is connected to. */
static uint32_t
count_connected (Site *site, uint32_t i)
{
  json_t *dump = fleet_call (&site->fleet, "GET", site->operators[i], "/dump", NULL);
  const json_t *members = json_object_get (json_object_get (dump, "peers"), "members");
  const json_t *member;
  size_t k;
  uint32_t n = 0;
  json_array_foreach (members, k, member)
  {
    n += json_is_true (json_object_get (member, "connected"));
  }
  json_decref (dump);
  return n;
}

static void
restart_without_store (Site *site)
{
  site_set_store (site, "{\"silent\":true}");
  ck_assert (site_restart_routers_unready (site, VM_LIST_INTERVAL_MS));
  site_run_for (site, SILENCE_MS);
  site_set_store (site, "{}");
}

START_TEST (routers_are_ready_only_once_they_know_each_other)
{
  Site site;
  ck_assert (site_init (&site, router_counts[_i]));
  restart_without_store (&site);
  int64_t returned_us = g_get_monotonic_time ();
  for (uint32_t i = 0; i < site.n_routers; i++)
    {
      ck_assert (site_wait_ready (&site, i, 200));
      uint32_t n = count_connected (&site, i);
      ck_assert_msg (n == site.n_routers - 1, "r%u is ready with %u members", i, n);
    }
  int64_t ready_ms = (g_get_monotonic_time () - returned_us) / 1000;
  ck_assert_msg (ready_ms <= READY_MS, "ready after %d ms", (int) ready_ms);
  site_finish (&site);
}
END_TEST

START_TEST (budgets_are_served_once_the_store_is_back)
{
  static const TrafficStream stream = { "/s/x/stream", "a1:4,", INTERVAL_MS, 0, 0 };
  TrafficResult result;
  Site site;
  ck_assert (site_init (&site, router_counts[_i]));
  traffic_run (&site, &stream, &result, 1, BEFORE_MS);
  restart_without_store (&site);
  for (uint32_t i = 0; i < site.n_routers; i++)
    ck_assert (site_wait_ready (&site, i, 200));
  traffic_run (&site, &stream, &result, 1, RUN_MS);
  ck_assert_msg (result.n_served >= MIN_SERVED * result.n_sent, "%u of %u served", result.n_served,
                 result.n_sent);
  site_finish (&site);
}
END_TEST

/* Writes a ledger entry with as many rows as a large fleet leaves that was killed several times. */
static void
put_large_entry (Site *site)
{
  GString *rows = g_string_new (NULL);
  for (int i = 0; i < N_DEAD_ROWS; i++)
    g_string_append_printf (rows,
                            "%s{\"holder\":\"%x\",\"name\":\"gone-%d\",\"granted\":10,\"seq\":1,"
                            "\"by\":{\"%x\":5}}",
                            i ? "," : "", 0x1000 + i, i, 0x2000 + i);
  char *body = g_strdup_printf ("{\"metadata\":{\"name\":\"acct\"},\"spec\":{\"paid\":1000000,"
                                "\"closed\":0,\"rows\":[%s],\"topups\":[]}}",
                                rows->str);
  FleetRequest request
      = { .method = "PUT", .address = site->store, .path = "/objects/ledger/acct", .body = body };
  ck_assert_uint_eq (fleet_request (&site->fleet, &request, NULL), 200);
  g_free (body);
  g_string_free (rows, TRUE);
}

static int64_t
bytes_sent (Site *site, uint32_t i)
{
  json_t *dump = fleet_call (&site->fleet, "GET", site->operators[i], "/dump", NULL);
  const json_t *peers = json_object_get (dump, "peers");
  int64_t n = json_integer_value (json_object_get (peers, "bytes_sent"));
  json_decref (dump);
  return n;
}

/* Ledger entries grow with each kill of a fleet. What the routers tell each other of them after a
 * restart must leave their links to requests. */
START_TEST (a_restart_of_all_routers_costs_a_tenth_of_a_small_link)
{
  static const TrafficStream stream = { "/s/x/stream", "a1:4,", INTERVAL_MS, 0, 0 };
  TrafficResult result;
  Site site;
  ck_assert (site_init (&site, LARGEST_FLEET));
  put_large_entry (&site);
  ck_assert (site_restart_routers (&site));
  int64_t started_us = g_get_monotonic_time ();
  traffic_run (&site, &stream, &result, 1, RUN_MS);
  double run_s = (double) (g_get_monotonic_time () - started_us) / 1e6;
  ck_assert_msg (result.n_served >= MIN_SERVED * result.n_sent, "%u of %u served", result.n_served,
                 result.n_sent);
  for (uint32_t i = 0; i < site.n_routers; i++)
    {
      double bits_per_s = 8.0 * (double) bytes_sent (&site, i) / run_s;
      ck_assert_msg (bits_per_s <= SMALL_LINK_BITS_PER_S / 10.0, "r%u sent %.0f bit/s", i,
                     bits_per_s);
    }
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
  TCase *tcase = tcase_create ("start_without_store");
  tcase_set_timeout (tcase, TIMEOUT_S);
  tcase_add_loop_test (tcase, routers_are_ready_only_once_they_know_each_other, 0,
                       G_N_ELEMENTS (router_counts));
  tcase_add_test (tcase, a_restart_of_all_routers_costs_a_tenth_of_a_small_link);
  tcase_add_loop_test (tcase, budgets_are_served_once_the_store_is_back, 0,
                       G_N_ELEMENTS (router_counts));
  return suite_run ("start_without_store", tcase);
}
