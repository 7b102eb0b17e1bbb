/* Streams that were begun while their service had one software version, and others, of a router
 * that goes while more versions come. They are resumed at other routers. */

#include "support/suite.h"
#include "support/versions.h"

#include <stdio.h>
#include <string.h>

enum
{
  N_STREAMS = 24, /* of each kind */
  SENDER = 0,     /* router that passes the streams on */
  N_WORKERS = 5,
  N_ENDPOINTS = N_WORKERS - VERSIONS_FIRST_WORKER,
  PREPAID = 1000000,
  /* The routers have read the records, and written which versions there are. */
  NOTICE_MS = 2500,
};

/* Endpoint 0 has version v1 and serves from the start. Streams begin at the sender then. After
 * before_ms, if that is not 0, endpoint 1 of v2 is listed, and other streams begin early_ms later.
 * The sender goes settle_ms after the last stream. After after_ms the endpoints of the versions
 * AFTER are listed, and after return_ms the callers resume. */
static const struct
{
  const char *name;
  uint32_t n_routers;
  int64_t before_ms;
  int64_t early_ms;
  int64_t settle_ms;
  RouterEnd end;
  int64_t after_ms;
  const char *after[N_ENDPOINTS]; /* versions of endpoints 1 and 2; NULL: not listed then */
  int64_t return_ms;
  bool store_cut;      /* the sender does not reach the store once the first streams have begun */
  bool other_killed;   /* the last router is killed and started again before the return */
  bool version_leaves; /* endpoint 1 is no longer listed when the sender goes */
  int min_resumed;     /* of all */
} cases[] = {
  { "freeze", 3, 0, 0, 300, ROUTER_FREEZES, 300, { "v2" }, 1500, 0, 0, 0, 24 },
  { "kill", 3, 0, 0, 300, ROUTER_IS_KILLED, 300, { "v2" }, 1500, 0, 0, 0, 24 },
  { "stop", 3, 0, 0, 300, ROUTER_STOPS, 300, { "v2" }, 1500, 0, 0, 0, 24 },
  { "restart", 3, 0, 0, 300, ROUTER_RESTARTS, 300, { "v2" }, 1500, 0, 0, 0, 24 },
  { "all restart", 3, 0, 0, 300, ALL_ROUTERS_RESTART, 300, { "v2" }, 1500, 0, 0, 0, 24 },
  { "all restart, 9 routers", 9, 0, 0, 300, ALL_ROUTERS_RESTART, 100, { "v2" }, 1500, 0, 0, 0, 24 },
  { "freeze, at once", 3, 0, 0, 0, ROUTER_FREEZES, 0, { "v2" }, 300, 0, 0, 0, 24 },
  { "kill, at once", 2, 0, 0, 0, ROUTER_IS_KILLED, 0, { "v2" }, 100, 0, 0, 0, 24 },
  { "freeze, late return", 2, 0, 0, 300, ROUTER_FREEZES, 300, { "v2" }, 6000, 0, 0, 0, 24 },
  { "freeze, 9 routers", 9, 0, 0, 300, ROUTER_FREEZES, 300, { "v2" }, 1500, 0, 0, 0, 24 },
  { "freeze, two come", 3, 0, 0, 300, ROUTER_FREEZES, 300, { "v2", "v3" }, 1500, 0, 0, 0, 24 },
  { "none comes", 3, 0, 0, 300, ROUTER_FREEZES, 300, { NULL }, 1500, 0, 0, 0, 24 },
  /* Both kinds. */
  { "both, kill", 3, 200, 1000, 500, ROUTER_IS_KILLED, 0, { NULL }, 500, 0, 0, 0, 48 },
  { "both, freeze", 3, 200, 1000, 500, ROUTER_FREEZES, 0, { NULL }, 500, 0, 0, 0, 48 },
  { "both, stop", 3, 200, 1000, 500, ROUTER_STOPS, 0, { NULL }, 500, 0, 0, 0, 48 },
  { "both, all restart", 3, 200, 1000, 500, ALL_ROUTERS_RESTART, 0, { NULL }, 500, 0, 0, 0, 48 },
  { "both, 9 routers", 9, 200, 1000, 500, ROUTER_IS_KILLED, 0, { NULL }, 500, 0, 0, 0, 48 },
  { "both, early", 3, 200, 60, 500, ROUTER_IS_KILLED, 0, { NULL }, 500, 0, 0, 0, 48 },
  /* Streams of the last write interval may not be listed; the rule asks for half. */
  { "both, at once", 3, 200, 1000, 0, ROUTER_IS_KILLED, 0, { NULL }, 0, 0, 0, 0, 24 },
  { "both, a third comes",
    3,
    200,
    1000,
    500,
    ROUTER_FREEZES,
    300,
    { "v2", "v3" },
    1500,
    0,
    0,
    0,
    48 },
  { "both, v2 leaves and returns",
    3,
    200,
    1000,
    500,
    ROUTER_FREEZES,
    1000,
    { "v2" },
    1500,
    0,
    0,
    1,
    48 },
  /* Without the store nothing can be declared: all streams begin at v1. */
  { "both, store cut", 3, 500, 1500, 300, ROUTER_IS_KILLED, 300, { NULL }, 1500, 1, 0, 0, 48 },
  /* The other router may have begun any of them. */
  { "two go", 3, 0, 0, 300, ROUTER_FREEZES, 300, { "v2" }, 1500, 0, 1, 0, 0 },
};

typedef struct
{
  char id[32];
  const char *version; /* of the endpoint that began it */
} Stream;

static void
begin_streams (Site *site, Stream *streams)
{
  static const SiteRequest request = { .method = "POST", .target = "/s/x/stream", .body = "x" };
  for (int i = 0; i < N_STREAMS; i++)
    {
      SiteAnswer answer;
      site_send (site, SENDER, &request, &answer);
      ck_assert_uint_eq (answer.status, 200);
      g_snprintf (streams[i].id, sizeof streams[i].id, "request-%u", (unsigned) site->last_id);
      streams[i].version = versions_of_events (answer.body->str);
      ck_assert_ptr_nonnull (streams[i].version);
      site_answer_finish (&answer);
    }
}

/* Returns how many of the N streams go on, each at the version that began it. */
static int
resume_streams (Site *site, const Stream *streams, int n, const char *name)
{
  int n_resumed = 0;
  for (int i = 0; i < n; i++)
    {
      uint32_t router = SENDER + 1 + (uint32_t) i % (site->n_routers - 1);
      SiteAnswer answer;
      versions_resume (site, router, streams[i].id, &answer);
      n_resumed += answer.status == 200;
      ck_assert_msg (answer.status != 200
                         || versions_of_events (answer.body->str) == streams[i].version,
                     "%s: %s began at %s, goes on with: %s", name, streams[i].id,
                     streams[i].version, answer.body->str);
      site_answer_finish (&answer);
    }
  return n_resumed;
}

/* Guards against streams that no router can prove the version of once a second one serves. */
START_TEST (streams_of_a_router_that_went_go_on_where_they_began)
{
  Stream streams[2 * N_STREAMS];
  int n = N_STREAMS;
  Site site;
  ck_assert (site_init_peers_relayed (&site, cases[_i].n_routers, N_WORKERS, PREPAID));
  for (uint32_t i = 1; i < N_ENDPOINTS; i++)
    versions_remove_endpoint (&site, i);
  versions_list_endpoint (&site, 0, "v1");
  site_run_for (&site, NOTICE_MS);
  begin_streams (&site, streams);
  if (cases[_i].store_cut)
    relay_set_fault (&site.store_relay[SENDER], RELAY_DROP);
  if (cases[_i].before_ms)
    {
      site_run_for (&site, cases[_i].before_ms);
      versions_list_endpoint (&site, 1, "v2");
      site_run_for (&site, cases[_i].early_ms);
      begin_streams (&site, &streams[N_STREAMS]);
      n += N_STREAMS;
    }
  site_run_for (&site, cases[_i].settle_ms);
  versions_end_router (&site, SENDER, cases[_i].end);
  if (cases[_i].version_leaves)
    versions_remove_endpoint (&site, 1);
  site_run_for (&site, cases[_i].after_ms);
  for (uint32_t i = 1; i < N_ENDPOINTS; i++)
    if (cases[_i].after[i - 1])
      versions_list_endpoint (&site, i, cases[_i].after[i - 1]);
  site_run_for (&site, cases[_i].return_ms);
  if (cases[_i].other_killed)
    {
      uint32_t last = site.n_routers - 1;
      ck_assert (site_start_router (&site, last) && site_wait_ready (&site, last, 200));
    }
  int n_resumed = resume_streams (&site, streams, n, cases[_i].name);
  int n_second = 0;
  for (int i = 0; i < n; i++)
    n_second += strcmp (streams[i].version, "v1") != 0;
  fprintf (stderr, "%s: %d of %d streams go on, %d were begun at v2\n", cases[_i].name, n_resumed,
           n, n_second);
  ck_assert_msg (n_resumed >= cases[_i].min_resumed, "%s: %d of %d go on", cases[_i].name,
                 n_resumed, n);
  fleet_signal (&site.router_process[SENDER], SIGCONT);
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
  TCase *tcase = tcase_create ("unlisted_streams");
  tcase_set_timeout (tcase, TIMEOUT_S);
  tcase_add_loop_test (tcase, streams_of_a_router_that_went_go_on_where_they_began, 0,
                       G_N_ELEMENTS (cases));
  return suite_run ("unlisted_streams", tcase);
}
