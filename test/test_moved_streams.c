/* Streams that are sent to an endpoint of one software version and begin at one of another, through
 * real router processes. */

#include "net/http_client.h"
#include "support/suite.h"
#include "support/versions.h"

#include <stdio.h>
#include <string.h>

enum
{
  N_STREAMS = 24,
  READER = 0, /* router at which the streams are resumed */
  SENDER = 1, /* router that sends them */
  N_WORKERS = 5,
  PREPAID = 1000000,
  NOTICE_MS = 2500,  /* the routers have read the records, and written which versions there are */
  SILENCE_MS = 5000, /* of the endpoints that crash, from before the streams on */
  DRAIN_MS = 1000,   /* after the streams, until the sender goes */
  CALL_TIMEOUT_MS = 8000,
  MIN_BEGUN = N_STREAMS * 3 / 4,
};

typedef enum
{
  READS_AT_START,   /* the reader is started again */
  READS_FOR_LOOKUP, /* of the origin of another stream */
  READS_LATE,       /* not before the streams are resumed */
} Reading;

/* Endpoints are named by their number from 0 on; the versions are theirs. */
static const struct
{
  const char *name;
  uint32_t n_routers;
  const char *versions[N_WORKERS - VERSIONS_FIRST_WORKER]; /* NULL: the endpoint is not listed */
  int64_t read_ms;                                         /* from the streams to the reading */
  int64_t crash_ms;   /* from there to the crash of endpoint 0 */
  int64_t crash_1_ms; /* from there to that of endpoint 1; 0: it does not crash */
  Reading reading;
  RouterEnd end;
} cases[] = {
  { "stop", 2, { "v1", "v2" }, 200, 300, 0, READS_AT_START, ROUTER_STOPS },
  { "kill", 2, { "v1", "v2" }, 200, 300, 0, READS_AT_START, ROUTER_IS_KILLED },
  { "freeze", 3, { "v1", "v2" }, 200, 300, 0, READS_AT_START, ROUTER_FREEZES },
  { "all killed", 3, { "v1", "v2" }, 200, 300, 0, READS_AT_START, ALL_ROUTERS_RESTART },
  { "all run on", 2, { "v1", "v2" }, 200, 300, 0, READS_AT_START, ROUTER_RUNS_ON },
  { "lookup, stop", 2, { "v1", "v2" }, 200, 300, 0, READS_FOR_LOOKUP, ROUTER_STOPS },
  { "lookup, run on", 9, { "v1", "v2" }, 300, 300, 0, READS_FOR_LOOKUP, ROUTER_RUNS_ON },
  { "quick", 2, { "v1", "v2" }, 60, 20, 0, READS_FOR_LOOKUP, ROUTER_IS_KILLED },
  { "slow", 2, { "v1", "v2" }, 600, 400, 0, READS_FOR_LOOKUP, ROUTER_IS_KILLED },
  { "three versions", 2, { "v1", "v2", "v3" }, 200, 300, 0, READS_AT_START, ROUTER_STOPS },
  { "there and back", 2, { "v1", "v2", "v1" }, 200, 150, 200, READS_FOR_LOOKUP, ROUTER_IS_KILLED },
  { "moved again", 2, { "v1", "v2", "v3" }, 200, 150, 200, READS_FOR_LOOKUP, ROUTER_STOPS },
  { "one version", 2, { "v1", "v1" }, 200, 300, 0, READS_AT_START, ROUTER_IS_KILLED },
  { "read late", 2, { "v1", "v2" }, 200, 300, 0, READS_LATE, ROUTER_IS_KILLED },
};

typedef struct
{
  char id[32];
  GString *body;
  unsigned status;
  bool done;
} Stream;

static bool
collect (void *ctx, DyHttpTransfer *transfer, const char *data, size_t n)
{
  Stream *stream = ctx;
  (void) transfer;
  g_string_append_len (stream->body, data, (gssize) n);
  return true;
}

static void
on_done (void *ctx, const DyHttpResult *result)
{
  Stream *stream = ctx;
  stream->status = result->error ? 0 : result->status;
  stream->done = true;
}

static void
start_stream (Site *site, DyHttpClient *client, Stream *stream)
{
  static const DyHttpTransferWatcher watcher = { .data = collect, .done = on_done };
  uint64_t number = ++site->last_id;
  char *id = g_strdup_printf ("X-Request-Id: request-%u", (unsigned) number);
  char *part = g_strdup_printf ("X-Prompt-Prefix: f%07x:2", (unsigned) number);
  char *url = g_strconcat ("http://", site->callers[SENDER], "/s/x/stream", NULL);
  const char *const headers[] = { "Host: h.example",
                                  "Authorization: Bearer k1",
                                  "X-Token-Counts: 10,5",
                                  "X-Deadline-Ms: 10000",
                                  id,
                                  part,
                                  NULL };
  DyHttpSpec spec = { .method = "POST",
                      .url = url,
                      .headers = headers,
                      .body = "x",
                      .n_body = 1,
                      .connect_timeout_ms = CALL_TIMEOUT_MS,
                      .timeout_ms = CALL_TIMEOUT_MS };
  g_snprintf (stream->id, sizeof stream->id, "request-%u", (unsigned) number);
  stream->body = g_string_new (NULL);
  dy_http_client_start (client, &spec, &watcher, stream);
  g_free (url);
  g_free (part);
  g_free (id);
}

static bool
are_done (void *ctx)
{
  const Stream *streams = ctx;
  for (int i = 0; i < N_STREAMS; i++)
    if (!streams[i].done)
      return false;
  return true;
}

/* Has the reader read the origins in the store. */
static void
read_origins (Site *site, Reading reading)
{
  SiteAnswer answer;
  if (reading == READS_AT_START)
    ck_assert (site_start_router (site, READER) && site_wait_ready (site, READER, 200));
  if (reading != READS_FOR_LOOKUP)
    return;
  versions_resume (site, READER, "request-of-nobody", &answer);
  site_answer_finish (&answer);
}

static void
crash_endpoint (Site *site, uint32_t i)
{
  fleet_kill (&site->worker_process[VERSIONS_FIRST_WORKER + i]);
}

/* Guards against taking the endpoint that a stream was sent to for the one that began it. */
START_TEST (a_stream_that_was_moved_before_its_first_event_goes_on_where_it_began)
{
  Stream streams[N_STREAMS] = { 0 };
  DyHttpClient client;
  int n_begun = 0;
  int n_resumed = 0;
  Site site;
  ck_assert (site_init_large (&site, cases[_i].n_routers, N_WORKERS, PREPAID));
  for (uint32_t i = 0; i < G_N_ELEMENTS (cases[_i].versions); i++)
    {
      if (cases[_i].versions[i])
        versions_list_endpoint (&site, i, cases[_i].versions[i]);
      else
        versions_remove_endpoint (&site, i);
    }
  char *silence = g_strdup_printf ("{\"ms\":%d}", SILENCE_MS);
  versions_post (&site, 0, "/admin/silence", silence);
  if (cases[_i].crash_1_ms)
    versions_post (&site, 1, "/admin/silence", silence);
  g_free (silence);
  site_run_for (&site, NOTICE_MS);
  dy_http_client_init (&client, site.fleet.loop);
  for (int i = 0; i < N_STREAMS; i++)
    start_stream (&site, &client, &streams[i]);
  site_run_for (&site, cases[_i].read_ms);
  read_origins (&site, cases[_i].reading);
  site_run_for (&site, cases[_i].crash_ms);
  crash_endpoint (&site, 0);
  if (cases[_i].crash_1_ms)
    {
      site_run_for (&site, cases[_i].crash_1_ms);
      crash_endpoint (&site, 1);
    }
  ck_assert (fleet_wait_until (&site.fleet, are_done, streams));
  site_run_for (&site, DRAIN_MS);
  versions_end_router (&site, SENDER, cases[_i].end);
  for (uint32_t i = 0; i < (cases[_i].crash_1_ms ? 2 : 1); i++)
    {
      ck_assert (site_start_worker (&site, VERSIONS_FIRST_WORKER + i));
      versions_list_endpoint (&site, i, cases[_i].versions[i]);
    }
  for (int i = 0; i < N_STREAMS; i++)
    {
      const char *version = versions_of_events (streams[i].body->str);
      SiteAnswer answer;
      if (streams[i].status == 200 && version)
        {
          n_begun++;
          versions_resume (&site, READER, streams[i].id, &answer);
          n_resumed += answer.status == 200;
          ck_assert_msg (answer.status != 200 || versions_of_events (answer.body->str) == version,
                         "%s: %s began at %s, goes on with: %s", cases[_i].name, streams[i].id,
                         version, answer.body->str);
          site_answer_finish (&answer);
        }
      g_string_free (streams[i].body, TRUE);
    }
  fprintf (stderr, "%s: %d of %d streams that began were resumed\n", cases[_i].name, n_resumed,
           n_begun);
  ck_assert_int_ge (n_begun, MIN_BEGUN);
  ck_assert_int_eq (n_resumed, n_begun);
  dy_http_client_finish (&client);
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
  TCase *tcase = tcase_create ("moved_streams");
  tcase_set_timeout (tcase, TIMEOUT_S);
  tcase_add_loop_test (tcase, a_stream_that_was_moved_before_its_first_event_goes_on_where_it_began,
                       0, G_N_ELEMENTS (cases));
  return suite_run ("moved_streams", tcase);
}
