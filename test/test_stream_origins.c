/* Streams of a service with endpoints of two software versions, through real router processes. */

#include "support/suite.h"
#include "support/traffic.h"

#include <stdio.h>
#include <string.h>

enum
{
  N_STREAMS = 12,
  FIRST_WORKER = 2, /* of the two of service "llm" */
  /* After the first streams: the routers have written their origins. */
  WRITE_MS = 1000,
  NOTICE_MS = 1500, /* the routers have read the endpoint records */
  MARGIN_MS = 100,  /* between changes at the store */
};

typedef struct
{
  char id[32];    /* of the request that began the stream */
  char label[16]; /* of the endpoint that began it */
} Stream;

static void
put_version (Site *site, uint32_t i, const char *version_json)
{
  char *spec = g_strdup_printf (
      "{\"service\":\"llm\",\"address\":\"%s\",\"zone\":\"dc-a\",\"slots\":6,\"state\":\"ready\","
      "\"sequence\":1%s}",
      site->workers[i], version_json);
  char *body = g_strdup_printf ("{\"label\":\"@%u\"}", i);
  FleetRequest request
      = { .method = "POST", .address = site->workers[i], .path = "/admin/label", .body = body };
  ck_assert (site_put_worker (site, i, "ready", spec));
  ck_assert_uint_eq (fleet_request (&site->fleet, &request, NULL), 200);
  g_free (body);
  g_free (spec);
}

static void
start_site (Site *site, uint32_t n_routers, const char *first_version, const char *second_version)
{
  ck_assert (site_init (site, n_routers));
  put_version (site, FIRST_WORKER, first_version);
  put_version (site, FIRST_WORKER + 1, second_version);
  site_run_for (site, NOTICE_MS);
}

/* Returns the number of different labels in the events of BODY. */
static int
count_labels (const char *body)
{
  return (strstr (body, "@2") != NULL) + (strstr (body, "@3") != NULL);
}

/* Begins N_STREAMS streams at N routers from FIRST on in turn. */
static void
begin_streams (Site *site, uint32_t first, uint32_t n, Stream *streams)
{
  static const SiteRequest request = { .method = "POST", .target = "/s/x/stream", .body = "x" };
  for (uint32_t i = 0; i < N_STREAMS; i++)
    {
      SiteAnswer answer;
      site_send (site, first + i % n, &request, &answer);
      ck_assert_uint_eq (answer.status, 200);
      ck_assert_int_eq (count_labels (answer.body->str), 1);
      g_snprintf (streams[i].id, sizeof streams[i].id, "request-%u", (unsigned) site->last_id);
      g_strlcpy (streams[i].label, strstr (answer.body->str, "@2") ? "@2" : "@3",
                 sizeof streams[i].label);
      site_answer_finish (&answer);
    }
}

/* Resumes STREAM at router I after its second event. Returns the status; events, if any, must be of
 * the endpoint's version that began it. */
static unsigned
resume (Site *site, uint32_t i, const Stream *stream, bool names_id)
{
  char *resumes = g_strdup_printf ("Resumes: %s", stream->id);
  const char *const headers[] = { "Last-Event-Id: 2", names_id ? resumes : NULL, NULL };
  SiteRequest request
      = { .method = "POST", .target = "/s/x/stream", .headers = headers, .body = "x" };
  SiteAnswer answer;
  site_send (site, i, &request, &answer);
  unsigned status = answer.status;
  if (status == 200)
    ck_assert_msg (strstr (answer.body->str, stream->label) && count_labels (answer.body->str) == 1,
                   "%s began at %s, goes on with: %s", stream->id, stream->label, answer.body->str);
  site_answer_finish (&answer);
  g_free (resumes);
  return status;
}

START_TEST (a_stream_goes_on_in_its_answer_at_the_version_that_began_it)
{
  static const SiteRequest request = { .method = "POST", .target = "/s/x/tear-once", .body = "x" };
  Site site;
  start_site (&site, 2, ",\"version\":\"v1\"", ",\"version\":\"v2\"");
  for (uint32_t i = 0; i < N_STREAMS; i++)
    {
      SiteAnswer answer;
      site_send (&site, i % site.n_routers, &request, &answer);
      ck_assert_uint_eq (answer.status, 200);
      ck_assert_msg (count_labels (answer.body->str) == 1, "%s", answer.body->str);
      site_answer_finish (&answer);
    }
  site_finish (&site);
}
END_TEST

static const struct
{
  uint32_t n_routers;
  bool restart;       /* all routers are killed and started again before the streams are resumed */
  bool leaves;        /* before that, the first endpoint leaves */
  const char *second; /* version of the second endpoint, as part of its record */
  bool names_id;      /* the caller names the request that began the stream */
  uint32_t min_resumed; /* of N_STREAMS */
  uint32_t max_resumed;
} cases[] = {
  { 2, false, false, ",\"version\":\"v2\"", true, N_STREAMS, N_STREAMS },
  { 9, false, false, ",\"version\":\"v2\"", true, N_STREAMS, N_STREAMS },
  { 2, true, false, ",\"version\":\"v2\"", true, N_STREAMS, N_STREAMS },
  { 9, true, false, ",\"version\":\"v2\"", true, N_STREAMS, N_STREAMS },
  { 2, true, true, ",\"version\":\"v2\"", true, 0, N_STREAMS - 1 },
  { 2, false, true, ",\"version\":\"v2\"", true, 0, N_STREAMS - 1 },
  { 2, true, false, ",\"version\":\"v2\"", false, 0, 0 },
  { 2, true, false, ",\"version\":\"v1\"", false, N_STREAMS, N_STREAMS },
  { 2, true, false, "", true, N_STREAMS, N_STREAMS },
  { 2, true, false, ",\"version\":7", true, N_STREAMS, N_STREAMS },
};

START_TEST (a_resumed_stream_goes_on_at_the_version_that_began_it)
{
  static const char first[] = ",\"version\":\"v1\"";
  bool same_version = strcmp (cases[_i].second, first) == 0;
  Stream streams[N_STREAMS];
  uint32_t n_resumed = 0;
  Site site;
  start_site (&site, cases[_i].n_routers, first, cases[_i].second);
  begin_streams (&site, 0, site.n_routers, streams);
  site_run_for (&site, WRITE_MS);
  if (cases[_i].leaves)
    {
      ck_assert (site_remove_worker (&site, FIRST_WORKER));
      site_run_for (&site, NOTICE_MS);
    }
  if (cases[_i].restart)
    ck_assert (site_restart_routers (&site));
  for (uint32_t i = 0; i < N_STREAMS; i++)
    {
      if (same_version)
        g_strlcpy (streams[i].label, "@", sizeof streams[i].label);
      n_resumed += resume (&site, (i + 1) % site.n_routers, &streams[i], cases[_i].names_id) == 200;
    }
  ck_assert_uint_ge (n_resumed, cases[_i].min_resumed);
  ck_assert_uint_le (n_resumed, cases[_i].max_resumed);
  site_finish (&site);
}
END_TEST

/* A second version serves from some time on; what router 1 can know of it differs. Router 0 begins
 * streams, router 1 resumes them and those that it began before. */
static const struct
{
  const char *name;
  uint32_t n_routers;
  bool peers_cut;       /* no router hears another one from before the second version serves */
  uint32_t n_store_cut; /* from router 1 on, routers that do not reach the store from then on */
  int64_t begin_ms;     /* from the record of the second version to the streams of router 0 */
  int64_t resume_ms;    /* from these to the resumes */
  bool leaves;          /* before the resumes, the endpoint of the second version leaves */
  bool heals;           /* the cuts end then */
  bool restores;        /* the store then returns without its record, and all routers restart */
  bool ends;            /* router 0 is killed then */
  const char *second;   /* version */
  uint32_t min_resumed; /* of the streams of router 0 */
} cuts[] = {
  { "one version", 3, false, 0, 100, 200, false, false, false, false, "v1", N_STREAMS },
  { "one version, router ends", 3, false, 0, 100, 200, false, false, false, true, "v1", N_STREAMS },
  { "one version, 9 routers", 9, false, 0, 100, 0, false, false, false, true, "v1", N_STREAMS },
  { "two versions", 3, false, 0, 1500, 1000, false, false, false, false, "v2", N_STREAMS },
  { "one version, store cut", 3, false, 1, 1500, 1500, false, false, false, false, "v1",
    N_STREAMS },
  { "one version, no store", 3, false, 3, 1500, 3000, false, false, false, false, "v1", N_STREAMS },
  { "one version, cut off", 3, true, 1, 1500, 1500, false, false, false, false, "v1", 0 },
  { "cut off", 3, true, 1, 1500, 4000, false, false, false, false, "v2", 0 },
  { "cut off a moment ago", 3, true, 1, 900, 0, false, false, false, false, "v2", 0 },
  { "cut off, 2 of 3", 3, true, 2, 1500, 2500, false, false, false, true, "v2", 0 },
  { "cut off, 9 routers", 9, true, 5, 1500, 1500, false, false, false, true, "v2", 0 },
  { "store cut", 3, false, 1, 1500, 1500, false, false, false, false, "v2", 0 },
  { "cut over, version gone", 3, true, 1, 1500, 3500, true, true, false, false, "v2", 0 },
  { "store restored, all restart", 2, false, 0, 1500, 0, false, false, true, false, "v2", 0 },
};

static void
set_cuts (Site *site, int i, bool cut)
{
  for (uint32_t r = 0; r < site->n_routers && cuts[i].peers_cut; r++)
    relay_set_fault (&site->peer_relay[r], cut ? RELAY_DROP : RELAY_PASS);
  uint32_t first = cuts[i].n_store_cut < site->n_routers ? 1 : 0;
  for (uint32_t r = first; r < first + cuts[i].n_store_cut; r++)
    relay_set_fault (&site->store_relay[r], cut ? RELAY_DROP : RELAY_PASS);
}

/* The return of an endpoint's record to a restored store. */
typedef struct
{
  Site *site;
  const char *version_json;
  ev_timer timer;
} Return;

static void
on_return (struct ev_loop *loop, ev_timer *w, int events)
{
  const Return *data = w->data;
  (void) loop;
  (void) events;
  put_version (data->site, FIRST_WORKER + 1, data->version_json);
}

/* The store returns from a copy of SINCE_MS, by the monotonic clock, and all routers start again.
 * The second endpoint writes its record again later, as it does within two seconds. */
static void
restore_and_restart (Return *data, int64_t since_ms)
{
  enum
  {
    AWAY_MS = 100,
  };
  static const double RETURN_S = 1.8;
  Site *site = data->site;
  SiteRestore restore
      = { .age_ms = g_get_monotonic_time () / 1000 + AWAY_MS - since_ms, .away_ms = AWAY_MS };
  site_restore_store (site, &restore);
  ev_timer_init (&data->timer, on_return, RETURN_S, 0.0);
  data->timer.data = data;
  ev_timer_start (site->fleet.loop, &data->timer);
  site_run_for (site, 2 * AWAY_MS);
  ck_assert (site_restart_routers (site));
}

/* Guards against a router that takes the only version it knows for that of any stream. */
START_TEST (a_router_that_may_lack_a_version_does_not_guess_the_origin_of_a_stream)
{
  char *second = g_strdup_printf (",\"version\":\"%s\"", cuts[_i].second);
  bool same_version = strcmp (cuts[_i].second, "v1") == 0;
  Stream own[N_STREAMS];
  Stream streams[N_STREAMS];
  uint32_t n_own = 0;
  uint32_t n_resumed = 0;
  Site site;
  Return record = { .site = &site, .version_json = second };
  ck_assert (site_init_peers_relayed (&site, cuts[_i].n_routers, SITE_N_WORKERS, 0));
  ck_assert (site_remove_worker (&site, FIRST_WORKER + 1));
  put_version (&site, FIRST_WORKER, ",\"version\":\"v1\"");
  site_run_for (&site, NOTICE_MS);
  begin_streams (&site, 1, 1, own);
  set_cuts (&site, _i, true);
  int64_t before_ms = g_get_monotonic_time () / 1000;
  site_run_for (&site, MARGIN_MS);
  put_version (&site, FIRST_WORKER + 1, second);
  site_run_for (&site, cuts[_i].begin_ms);
  begin_streams (&site, 0, 1, streams);
  site_run_for (&site, cuts[_i].resume_ms);
  if (cuts[_i].leaves)
    ck_assert (site_remove_worker (&site, FIRST_WORKER + 1));
  if (cuts[_i].ends)
    fleet_kill (&site.router_process[0]);
  if (cuts[_i].heals)
    {
      site_run_for (&site, MARGIN_MS);
      set_cuts (&site, _i, false);
      site_run_for (&site, NOTICE_MS);
    }
  if (cuts[_i].restores)
    restore_and_restart (&record, before_ms);
  for (uint32_t i = 0; i < N_STREAMS; i++)
    {
      if (same_version)
        {
          g_strlcpy (streams[i].label, "@", sizeof streams[i].label);
          g_strlcpy (own[i].label, "@", sizeof own[i].label);
        }
      n_resumed += resume (&site, 1, &streams[i], true) == 200;
      n_own += resume (&site, 1, &own[i], true) == 200;
    }
  fprintf (stderr, "%s: %u of %d streams of another router resumed, %u own ones\n", cuts[_i].name,
           n_resumed, N_STREAMS, n_own);
  ck_assert_msg (n_resumed >= cuts[_i].min_resumed, "%s: %u resumed", cuts[_i].name, n_resumed);
  /* What a router began itself it knows without the store. */
  ck_assert_msg (cuts[_i].restores || n_own == N_STREAMS, "%s: %u own resumed", cuts[_i].name,
                 n_own);
  site_finish (&site);
  g_free (second);
}
END_TEST

/* Streams that are recorded cost the store writes. */
START_TEST (origins_of_routers_that_do_not_hear_each_other_cost_few_writes)
{
  enum
  {
    N_ROUTERS = 24,
    RUN_MS = 4000,
    MAX_WRITES_PER_S = 200,
    PREPAID = 10000000,
  };
  static const TrafficStream streams[]
      = { { "/s/x/stream", "", 4, 0, 0 }, { "/s/x/stream", "", 5, 0, 0 } };
  TrafficResult results[G_N_ELEMENTS (streams)];
  Site site;
  ck_assert (site_init_separate (&site, N_ROUTERS, SITE_N_WORKERS, PREPAID));
  put_version (&site, FIRST_WORKER, ",\"version\":\"v1\"");
  put_version (&site, FIRST_WORKER + 1, ",\"version\":\"v2\"");
  site_run_for (&site, NOTICE_MS);
  int64_t start_ms = g_get_monotonic_time () / 1000;
  int64_t n_before = site_store_calls (&site, "streams writes");
  traffic_run (&site, streams, results, G_N_ELEMENTS (streams), RUN_MS);
  int64_t n_writes = site_store_calls (&site, "streams writes") - n_before;
  int64_t passed_ms = g_get_monotonic_time () / 1000 - start_ms;
  fprintf (stderr, "%d writes in %d ms; %u and %u of %u and %u served\n", (int) n_writes,
           (int) passed_ms, results[0].n_served, results[1].n_served, results[0].n_sent,
           results[1].n_sent);
  ck_assert_int_gt (n_writes, N_ROUTERS);
  ck_assert_int_le (n_writes * 1000, MAX_WRITES_PER_S * passed_ms);
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
  TCase *tcase = tcase_create ("stream_origins");
  tcase_set_timeout (tcase, TIMEOUT_S);
  tcase_add_test (tcase, a_stream_goes_on_in_its_answer_at_the_version_that_began_it);
  tcase_add_loop_test (tcase, a_resumed_stream_goes_on_at_the_version_that_began_it, 0,
                       G_N_ELEMENTS (cases));
  tcase_add_loop_test (tcase,
                       a_router_that_may_lack_a_version_does_not_guess_the_origin_of_a_stream, 0,
                       G_N_ELEMENTS (cuts));
  tcase_add_test (tcase, origins_of_routers_that_do_not_hear_each_other_cost_few_writes);
  return suite_run ("stream_origins", tcase);
}
