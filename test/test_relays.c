/* Attempts that one router makes for another, in the test's own process. */

#include "services/gateway/relays.h"
#include "services/peers/peers_private.h"
#include "support/gateway_fixture.h"
#include "support/scripted.h"
#include "support/suite.h"

#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* A router and its connection to another one, "r1", whose end the test holds. */
typedef struct
{
  Fixture fixture;
  DyRelays relays;
  DyPeerLink *link;
  int fd;
  GByteArray *in;
  GString *parts; /* of answers that the other router got, a letter each */
  json_t *end;    /* of the last one */
} Pair;

static void
pair_init (Pair *pair)
{
  static const char *const names[]
      = { DY_SERVICE_PEERS, DY_SERVICE_GATEWAY, DY_SERVICE_REACHABILITY };
  int fds[2];
  memset (pair, 0, sizeof *pair);
  Fixture *fixture = &pair->fixture;
  fixture_init (fixture);
  void *const selves[] = { &fixture->peers, &fixture->gateway, &fixture->reachability };
  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    dy_kernel_add (&fixture->kernel, &(DyService){ .name = names[i], .self = selves[i] });
  dy_relays_add_service (&fixture->kernel, &pair->relays);
  fixture->gateway.relays = &pair->relays;
  ck_assert_int_eq (dy_kernel_start (&fixture->kernel), DY_OK);
  fixture->settings.node_name = (char *) "r0";
  fixture->peers.kernel = &fixture->kernel;
  fixture->peers.rng = g_rand_new_with_seed (1);
  fixture->peers.links
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, dy_peers_free_link);
  fixture->peers.dialed = g_hash_table_new (g_str_hash, g_str_equal);
  ck_assert_int_eq (socketpair (AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, fds), 0);
  pair->fd = fds[1];
  pair->link = dy_peers_open_link (&fixture->peers, fds[0], true);
  pair->link->authenticated = true;
  g_hash_table_insert (fixture->peers.dialed, (gpointer) "r1", pair->link);
  pair->in = g_byte_array_new ();
  pair->parts = g_string_new (NULL);
}

static void
pair_finish (Pair *pair)
{
  Fixture *fixture = &pair->fixture;
  dy_relays_finish_calls (&pair->relays);
  dy_kernel_stop (&fixture->kernel);
  g_hash_table_unref (fixture->peers.links);
  g_hash_table_unref (fixture->peers.dialed);
  g_rand_free (fixture->peers.rng);
  close (pair->fd);
  g_byte_array_unref (pair->in);
  g_string_free (pair->parts, TRUE);
  json_decref (pair->end);
  fixture_finish (fixture);
}

static void
take_part (Pair *pair, const DyMessage *message)
{
  static const char letters[] = {
    [DY_RELAY_PLACED] = 'p', [DY_RELAY_HEAD] = 'h', [DY_RELAY_DATA] = 'd', [DY_RELAY_END] = 'e'
  };
  if (message->type != DY_MESSAGE_RELAY)
    return;
  g_string_append_c (pair->parts, letters[message->u.relay.part]);
  if (message->u.relay.part == DY_RELAY_END)
    pair->end = json_loadb (message->u.relay.data, message->u.relay.n_data, 0, NULL);
}

/* Runs the loop until the other router has the end of a relay. */
static void
receive (Pair *pair)
{
  while (!pair->end)
    {
      uint8_t block[4096];
      ev_run (pair->fixture.kernel.loop, EVRUN_ONCE);
      ssize_t n = recv (pair->fd, block, sizeof block, 0);
      if (n > 0)
        g_byte_array_append (pair->in, block, (guint) n);
      while (pair->in->len >= DY_FRAME_HEADER_BYTES)
        {
          uint32_t n_payload;
          DyMessage message;
          memcpy (&n_payload, pair->in->data, sizeof n_payload);
          n_payload = GUINT32_FROM_BE (n_payload);
          if (pair->in->len < DY_FRAME_HEADER_BYTES + n_payload)
            break;
          ck_assert_int_eq (dy_wire_unpack ((const char *) pair->in->data + DY_FRAME_HEADER_BYTES,
                                            n_payload, &message),
                            DY_OK);
          take_part (pair, &message);
          g_byte_array_remove_range (pair->in, 0, DY_FRAME_HEADER_BYTES + n_payload);
        }
    }
}

#define OWN "X-Request-Id: q0\r\n"
#define OTHER "X-Request-Id: q9\r\n"
#define NO_BODY "Content-Length: 0\r\n\r\n"
#define SUCCESS "HTTP/1.1 200 x\r\nX-Server-Seal: 5ea1.0.0\r\n"

static const struct
{
  const char *name;
  const char *answer;
  const char *parts; /* that the other router gets */
  DyAttemptOutcome outcome;
  bool complete;
} answer_cases[] = {
  { "answer", SUCCESS OWN NO_BODY, "phe", DY_ATTEMPT_NOT_SENT, true },
  { "refusal", "HTTP/1.1 503 x\r\nX-Not-Run: 1\r\n" OWN NO_BODY, "phe", DY_ATTEMPT_NOT_RUN, false },
  { "another's answer", SUCCESS OTHER NO_BODY, "pe", DY_ATTEMPT_BROKEN, false },
  { "another's refusal", "HTTP/1.1 503 x\r\nX-Not-Run: 1\r\n" OTHER NO_BODY, "pe",
    DY_ATTEMPT_BROKEN, false },
  { "another's 421", "HTTP/1.1 421 x\r\n" OTHER NO_BODY, "pe", DY_ATTEMPT_BROKEN, false },
  { "another's 404", "HTTP/1.1 404 x\r\nServer-Leaving: 1\r\n" OTHER NO_BODY, "pe",
    DY_ATTEMPT_BROKEN, false },
};

/* The other router took the head of an answer to another request for this one's: it abandoned a
 * silent attempt for it. */
START_TEST (head_of_a_rejected_answer_is_not_passed_on)
{
  static const char open[]
      = "{\"id\":\"q0\",\"service\":\"app\",\"method\":\"POST\",\"target\":\"/x\","
        "\"lines\":[\"Host: h.example\",\"X-Request-Id: q0\"],\"avoid\":[],"
        "\"time_left_ms\":20000}";
  DyMessage message = { .type = DY_MESSAGE_RELAY };
  const char *const script[] = { answer_cases[_i].answer };
  const char *name = answer_cases[_i].name;
  Pair pair;
  ScriptedServer server;
  pair_init (&pair);
  dy_http_server_finish (&pair.fixture.endpoints[0].server);
  ck_assert (
      scripted_init (&server, pair.fixture.kernel.loop, pair.fixture.endpoints[0].address, script));
  fixture_put_endpoint (&pair.fixture, 0, false);
  message.u.relay.number = 1;
  message.u.relay.part = DY_RELAY_OPEN;
  message.u.relay.data = open;
  message.u.relay.n_data = sizeof open - 1;
  dy_relays_serve (&pair.relays, pair.link->number, &message);
  receive (&pair);
  ck_assert_msg (strcmp (pair.parts->str, answer_cases[_i].parts) == 0, "%s: parts %s", name,
                 pair.parts->str);
  ck_assert_msg (json_is_true (json_object_get (pair.end, "complete")) == answer_cases[_i].complete,
                 "%s: complete", name);
  ck_assert_msg (json_integer_value (json_object_get (pair.end, "outcome"))
                     == (json_int_t) answer_cases[_i].outcome,
                 "%s: outcome", name);
  ck_assert_int_eq (server.n_requests, 1);
  scripted_finish (&server);
  pair_finish (&pair);
}
END_TEST

typedef struct
{
  uint32_t n_heads;
  bool done;
} Asked;

static void
on_head (void *ctx, unsigned status, bool is_success, const char *const *headers)
{
  Asked *asked = ctx;
  (void) status;
  (void) is_success;
  (void) headers;
  asked->n_heads++;
}

static void
on_done (void *ctx, const DyGatewayAttemptResult *result)
{
  Asked *asked = ctx;
  (void) result;
  asked->done = true;
}

static void
answer (Pair *pair, uint64_t number, DyRelayPart part, const char *data)
{
  const DyPeers *peers = &pair->fixture.peers;
  DyMessage message = { .type = DY_MESSAGE_RELAY };
  message.u.relay.number = number;
  message.u.relay.part = part;
  message.u.relay.data = data;
  message.u.relay.n_data = (uint32_t) strlen (data);
  peers->watchers[0].watcher->message (peers->watchers[0].ctx, pair->link->number, &message);
}

/* A request that the same router is asked for once more has the same id, but another number. */
START_TEST (late_end_of_an_earlier_relay_does_not_end_the_next_one)
{
  static const char head[] = "{\"status\":503,\"success\":false,\"headers\":[]}";
  static const char end[] = "{\"complete\":false,\"outcome\":1}";
  static const char *const lines[] = { NULL };
  static const DyRelayWatcher watcher = { .head = on_head, .done = on_done };
  const DyForwardedRequest forwarded = { .method = "POST", .target = "/x", .lines = lines };
  const DyGatewayAttemptSpec attempt
      = { .forwarded = &forwarded, .request_id = "q0", .service = "app" };
  const DyGatewayPlan plan = { 0 };
  const DyRelaySpec spec = { .attempt = &attempt, .plan = &plan };
  Asked first = { 0 };
  Asked second = { 0 };
  Pair pair;
  pair_init (&pair);
  DyRelayCall *call = dy_relays_start (&pair.relays, "r1", &spec, &watcher, &first);
  uint64_t number = pair.relays.last_number;
  ck_assert_ptr_nonnull (call);
  dy_relay_call_cancel (call);
  ck_assert_ptr_nonnull (dy_relays_start (&pair.relays, "r1", &spec, &watcher, &second));
  answer (&pair, number, DY_RELAY_HEAD, head);
  answer (&pair, number, DY_RELAY_END, end);
  ck_assert (!first.done && !second.done);
  ck_assert_uint_eq (first.n_heads + second.n_heads, 0);
  answer (&pair, pair.relays.last_number, DY_RELAY_END, end);
  ck_assert (second.done);
  pair_finish (&pair);
}
END_TEST

/* r1 refuses the first relay, and is asked again, which is a resend. It may have sent the
 * request on when this router, which reaches endpoints again, replaces the silent relay. */
static void
refuse_first (struct ev_loop *loop, ev_timer *w, int events)
{
  (void) loop;
  (void) events;
  answer (w->data, 1, DY_RELAY_PLACED, "{\"endpoint\":\"e0\",\"version\":\"1\"}");
  answer (w->data, 1, DY_RELAY_END, "{\"complete\":false,\"outcome\":1}");
}

static void
reach_again (struct ev_loop *loop, ev_timer *w, int events)
{
  Pair *pair = w->data;
  (void) loop;
  (void) events;
  ck_assert_uint_eq (pair->relays.last_number, 2);
  pair->fixture.reachability.reach.is_out = false;
}

START_TEST (resend_counts_that_another_router_may_have_made)
{
  Pair pair;
  FixtureAnswer got;
  ev_timer timers[2];
  pair_init (&pair);
  Fixture *fixture = &pair.fixture;
  int64_t now_us = dy_kernel_now_us (&fixture->kernel);
  dy_members_put (&fixture->peers.members, "r1", "127.0.0.1:1", "dc-a", false);
  dy_members_record_heartbeat (&fixture->peers.members, "r1", 101, false, now_us);
  fixture->peers.members.timeout_us = 60 * 1000 * 1000;
  dy_reach_record_peer (&fixture->reachability.reach, "r1", false, now_us);
  fixture->reachability.reach.is_out = true;
  fixture_put_endpoint (fixture, 1, false);
  ev_now_update (fixture->kernel.loop);
  ev_timer_init (&timers[0], refuse_first, 0.05, 0.0);
  ev_timer_init (&timers[1], reach_again, 0.1, 0.0);
  for (int i = 0; i < 2; i++)
    {
      timers[i].data = &pair;
      ev_timer_start (fixture->kernel.loop, &timers[i]);
    }
  fixture_send (fixture, "/ok/x", &got, 1);
  ck_assert_uint_eq (got.result.status, 200);
  ck_assert_int_eq (fixture->endpoints[1].n_requests, 1);
  DyResendUse use = dy_resend_budget_use (&fixture->gateway.resend_budget, "app", 1,
                                          dy_kernel_now_us (&fixture->kernel));
  ck_assert_msg (use.resends == 2, "3 sendings, %d resends counted", (int) use.resends);
  fixture_free_answers (&got, 1);
  pair_finish (&pair);
}
END_TEST

int
main (void)
{
  TCase *tcase = tcase_create ("relays");
  signal (SIGPIPE, SIG_IGN);
  tcase_set_timeout (tcase, 30);
  tcase_add_loop_test (tcase, head_of_a_rejected_answer_is_not_passed_on, 0,
                       (int) G_N_ELEMENTS (answer_cases));
  tcase_add_test (tcase, late_end_of_an_earlier_relay_does_not_end_the_next_one);
  tcase_add_test (tcase, resend_counts_that_another_router_may_have_made);
  return suite_run ("relays", tcase);
}
