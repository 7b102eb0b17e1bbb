/* Which routers reach the endpoints: cases in virtual time, and probes in real time. */

#include "support/fleet.h"
#include "support/listen.h"
#include "support/suite.h"

#include "core/reach.h"
#include "kernel/error.h"
#include "net/http_client.h"
#include "services/endpoints/link_probe.h"

#include <sys/socket.h>
#include <unistd.h>

enum
{
  MS = 1000, /* microseconds */
  MAX_STEPS = 8,
};

typedef enum
{
  END,
  FAIL,   /* a new connection to ENDPOINT is refused */
  MISS,   /* one is not made in time */
  HANG,   /* one is made, and nothing comes */
  WORK,   /* one works */
  SILENT, /* an endpoint does not answer in time */
} StepKind;

typedef struct
{
  int64_t at_ms;
  StepKind kind;
  const char *endpoint;
} Step;

static const struct
{
  const char *name;
  uint32_t n_endpoints;
  Step steps[MAX_STEPS];
  bool is_out;
  bool is_certain;
} cases[] = {
  { "one endpoint fails", 10, { { 0, FAIL, "e1" } }, false, false },
  { "one endpoint fails often",
    10,
    { { 0, FAIL, "e1" }, { 10, FAIL, "e1" }, { 20, FAIL, "e1" }, { 30, FAIL, "e1" } },
    false,
    false },
  { "three endpoints fail",
    10,
    { { 0, FAIL, "e1" }, { 10, FAIL, "e2" }, { 20, FAIL, "e3" } },
    true,
    true },
  { "three endpoints hang",
    10,
    { { 0, HANG, "e1" }, { 500, HANG, "e2" }, { 1000, HANG, "e3" } },
    true,
    false },
  { "two of three hang",
    10,
    { { 0, HANG, "e1" }, { 10, FAIL, "e2" }, { 500, HANG, "e3" } },
    true,
    false },
  { "three hang and three fail",
    10,
    { { 0, HANG, "e1" },
      { 10, HANG, "e2" },
      { 20, HANG, "e3" },
      { 30, FAIL, "e1" },
      { 40, FAIL, "e2" },
      { 50, FAIL, "e4" } },
    true,
    true },
  { "one works after three failed",
    10,
    { { 0, FAIL, "e1" },
      { 10, FAIL, "e2" },
      { 20, FAIL, "e3" },
      { 500, WORK, NULL },
      { 510, HANG, "e1" },
      { 520, HANG, "e2" },
      { 530, HANG, "e3" } },
    true,
    false },
  { "one works between",
    10,
    { { 0, FAIL, "e1" }, { 10, FAIL, "e2" }, { 15, WORK, NULL }, { 20, FAIL, "e3" } },
    false,
    false },
  { "three endpoints fail over a long time",
    10,
    { { 0, FAIL, "e1" }, { 2000, FAIL, "e2" }, { 4000, FAIL, "e3" } },
    false,
    false },
  { "both endpoints of two fail", 2, { { 0, FAIL, "e1" }, { 10, FAIL, "e2" } }, true, true },
  { "the only endpoint fails", 1, { { 0, FAIL, "e1" } }, true, true },
  { "the only endpoint hangs", 1, { { 0, HANG, "e1" } }, true, false },
  { "silence alone",
    10,
    { { 0, SILENT, NULL }, { 10, SILENT, NULL }, { 20, SILENT, NULL }, { 30, SILENT, NULL } },
    false,
    false },
  { "one works again",
    10,
    { { 0, FAIL, "e1" }, { 10, FAIL, "e2" }, { 20, FAIL, "e3" }, { 500, WORK, NULL } },
    false,
    false },
  { "three are not made in time",
    10,
    { { 0, MISS, "e1" }, { 300, MISS, "e2" }, { 600, MISS, "e3" } },
    true,
    true },
};

START_TEST (a_router_is_out_if_connections_to_several_endpoints_fail_and_none_works)
{
  DyReach reach;
  dy_reach_init (&reach, &dy_reach_policy);
  for (int i = 0; i < MAX_STEPS && cases[_i].steps[i].kind != END; i++)
    {
      const Step *step = &cases[_i].steps[i];
      bool before = reach.is_out;
      if (step->kind == SILENT)
        {
          dy_reach_record_silence (&reach, step->at_ms * MS);
          ck_assert_msg (dy_reach_take_probe (&reach, (step->at_ms + 1000 * i) * MS), "%s: probe",
                         cases[_i].name);
          continue;
        }
      static const DyReachFailureKind kinds[]
          = { [FAIL] = DY_REACH_REFUSED, [MISS] = DY_REACH_UNMADE, [HANG] = DY_REACH_SILENT };
      bool changed = step->kind == WORK
                         ? dy_reach_record_success (&reach, step->at_ms * MS)
                         : dy_reach_record_failure (&reach, step->endpoint, kinds[step->kind],
                                                    cases[_i].n_endpoints, step->at_ms * MS);
      ck_assert_msg (changed == (before != reach.is_out), "%s: step %d", cases[_i].name, i);
    }
  ck_assert_msg (reach.is_out == cases[_i].is_out, "%s", cases[_i].name);
  ck_assert_msg (reach.is_certain == cases[_i].is_certain, "%s: certain", cases[_i].name);
  dy_reach_finish (&reach);
}
END_TEST

typedef struct
{
  const char *name;
  bool is_out;
  int64_t heard_ms;
  uint32_t n_relays;
} PeerSpec;

static const struct
{
  const char *name;
  PeerSpec peers[3];
  const char *chosen;
} choices[] = {
  { "none known", { { NULL, false, 0, 0 } }, NULL },
  { "one", { { "r1", false, 1000, 0 } }, "r1" },
  { "out itself", { { "r1", true, 1000, 0 } }, NULL },
  { "heard too long ago", { { "r1", false, -1000, 0 } }, NULL },
  { "the one with fewer relays", { { "r1", false, 1000, 2 }, { "r2", false, 900, 1 } }, "r2" },
  { "one that is not connected", { { "gone", false, 1000, 0 }, { "r2", false, 900, 1 } }, "r2" },
};

static bool
is_usable (void *ctx, const char *name)
{
  (void) ctx;
  return strcmp (name, "gone") != 0;
}

START_TEST (a_request_is_relayed_through_a_router_that_reaches_the_endpoints)
{
  enum
  {
    NOW_MS = 1000,
  };
  DyReach reach;
  dy_reach_init (&reach, &dy_reach_policy);
  for (size_t i = 0; i < G_N_ELEMENTS (choices[_i].peers) && choices[_i].peers[i].name; i++)
    {
      const PeerSpec *peer = &choices[_i].peers[i];
      dy_reach_record_peer (&reach, peer->name, peer->is_out, peer->heard_ms * MS);
      for (uint32_t k = 0; k < peer->n_relays; k++)
        dy_reach_begin_relay (&reach, peer->name);
    }
  const char *chosen = dy_reach_choose_peer (&reach, is_usable, NULL, NOW_MS * MS);
  ck_assert_msg (g_strcmp0 (chosen, choices[_i].chosen) == 0, "%s: %s", choices[_i].name,
                 chosen ? chosen : "-");
  dy_reach_finish (&reach);
}
END_TEST

/* A router that is out spreads its relays evenly. */
START_TEST (relays_are_spread_over_large_fleets)
{
  enum
  {
    N_PEERS = 80,
    N_RELAYS = 400,
  };
  DyReach reach;
  dy_reach_init (&reach, &dy_reach_policy);
  for (int i = 0; i < N_PEERS; i++)
    {
      char name[16];
      g_snprintf (name, sizeof name, "r%d", i);
      dy_reach_record_peer (&reach, name, false, 0);
    }
  GHashTable *counts = g_hash_table_new (g_str_hash, g_str_equal);
  for (int i = 0; i < N_RELAYS; i++)
    {
      const char *name = dy_reach_choose_peer (&reach, is_usable, NULL, 0);
      ck_assert_ptr_nonnull (name);
      dy_reach_begin_relay (&reach, name);
      gpointer n = g_hash_table_lookup (counts, name);
      g_hash_table_insert (counts, (gpointer) name, GINT_TO_POINTER (GPOINTER_TO_INT (n) + 1));
    }
  GHashTableIter iter;
  gpointer n;
  g_hash_table_iter_init (&iter, counts);
  while (g_hash_table_iter_next (&iter, NULL, &n))
    ck_assert_int_eq (GPOINTER_TO_INT (n), N_RELAYS / N_PEERS);
  g_hash_table_unref (counts);
  dy_reach_finish (&reach);
}
END_TEST

/* Connections to an endpoint by a process that is held up in each turn of its loop. */
static const struct
{
  const char *name;
  int64_t held_ms; /* in each turn */
  bool answers;    /* the endpoint does */
  DyLinkProbeResult result;
} held_cases[] = { { "not held up", 0, true, DY_LINK_PROBE_WORKS },
                   { "held up for longer than a connection takes", 400, true, DY_LINK_PROBE_WORKS },
                   { "held up for longer than an answer takes", 700, true, DY_LINK_PROBE_WORKS },
                   { "held up, and the endpoint is silent", 400, false, DY_LINK_PROBE_SILENT } };

typedef struct
{
  int fd; /* listens */
  int64_t held_ms;
  bool answers;
  bool ended;
  DyLinkProbeResult result; /* of a probe */
  DyHttpResult transfer;    /* of a request */
} Held;

static gpointer
serve_one (gpointer data)
{
  static const char answer[] = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  const Held *held = data;
  char block[1024];
  int fd = accept (held->fd, NULL, NULL);
  while (recv (fd, block, sizeof block, 0) > 0)
    if (held->answers)
      send (fd, answer, sizeof answer - 1, MSG_NOSIGNAL);
  close (fd);
  return NULL;
}

static void
on_turn_end (struct ev_loop *loop, ev_prepare *w, int events)
{
  const Held *held = w->data;
  (void) loop;
  (void) events;
  g_usleep ((gulong) held->held_ms * 1000);
}

static void
on_probed (void *ctx, DyLinkProbeResult result, int64_t started_us)
{
  Held *held = ctx;
  (void) started_us;
  held->ended = true;
  held->result = result;
}

static void
on_transferred (void *ctx, const DyHttpResult *result)
{
  Held *held = ctx;
  held->ended = true;
  held->transfer = *result;
}

/* Runs a probe or, if CLIENT is not NULL, a request to the endpoint. */
static void
run_held (Held *held, struct ev_loop *loop, DyHttpClient *client)
{
  enum
  {
    CONNECT_TIMEOUT_MS = 300,
    TIMEOUT_MS = 500,
  };
  static const DyHttpTransferWatcher watcher = { .done = on_transferred };
  char *address = fleet_free_address ();
  char *url = g_strconcat ("http://", address, "/", NULL);
  DyHttpSpec spec = {
    .method = "GET", .url = url, .connect_timeout_ms = CONNECT_TIMEOUT_MS, .timeout_ms = TIMEOUT_MS
  };
  DyLinkProbe probe;
  ev_prepare turn_end;
  held->fd = listen_on (address);
  ck_assert_int_ge (held->fd, 0);
  GThread *server = g_thread_new ("server", serve_one, held);
  dy_link_probe_init (&probe, loop, CONNECT_TIMEOUT_MS / 1e3, on_probed, held);
  ev_prepare_init (&turn_end, on_turn_end);
  turn_end.data = held;
  ev_prepare_start (loop, &turn_end);
  if (client)
    dy_http_client_start (client, &spec, &watcher, held);
  else
    ck_assert (dy_link_probe_start (&probe, address, "/health", NULL));
  while (!held->ended)
    ev_run (loop, EVRUN_ONCE);
  ev_prepare_stop (loop, &turn_end);
  dy_link_probe_finish (&probe);
  if (client)
    dy_http_client_finish (client);
  shutdown (held->fd, SHUT_RDWR);
  g_thread_join (server);
  close (held->fd);
  g_free (url);
  g_free (address);
}

/* A process that is held up took what had come meanwhile for missing. */
START_TEST (what_came_while_a_process_was_held_up_is_no_failed_probe)
{
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  Held held = { .held_ms = held_cases[_i].held_ms, .answers = held_cases[_i].answers };
  run_held (&held, loop, NULL);
  ck_assert_msg (held.result == held_cases[_i].result, "%s: %d", held_cases[_i].name,
                 (int) held.result);
  ev_loop_destroy (loop);
}
END_TEST

START_TEST (what_came_while_a_process_was_held_up_is_no_failed_connection)
{
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  Held held = { .held_ms = held_cases[_i].held_ms, .answers = held_cases[_i].answers };
  DyHttpClient client;
  dy_http_client_init (&client, loop);
  run_held (&held, loop, &client);
  ck_assert_msg (held.transfer.connected, "%s: not connected", held_cases[_i].name);
  ck_assert_msg (held.transfer.error == (held.answers ? DY_OK : DY_TIMEOUT), "%s: error %d",
                 held_cases[_i].name, held.transfer.error);
  ev_loop_destroy (loop);
}
END_TEST

int
main (void)
{
  TCase *tcase = tcase_create ("reach");
  tcase_add_loop_test (tcase,
                       a_router_is_out_if_connections_to_several_endpoints_fail_and_none_works, 0,
                       G_N_ELEMENTS (cases));
  tcase_add_loop_test (tcase, a_request_is_relayed_through_a_router_that_reaches_the_endpoints, 0,
                       G_N_ELEMENTS (choices));
  tcase_add_test (tcase, relays_are_spread_over_large_fleets);
  tcase_add_loop_test (tcase, what_came_while_a_process_was_held_up_is_no_failed_probe, 0,
                       G_N_ELEMENTS (held_cases));
  tcase_add_loop_test (tcase, what_came_while_a_process_was_held_up_is_no_failed_connection, 0,
                       G_N_ELEMENTS (held_cases));
  return suite_run ("reach", tcase);
}
