/* The endpoint records as the router sees them through a stand-in of the platform's store, whose
 * replies the test gives by hand. */

#include "core/store_version.h"
#include "kernel/error.h"
#include "net/address.h"
#include "platform/dialect.h"
#include "platform/store.h"
#include "services/endpoints/directory.h"
#include "services/endpoints/endpoints.h"
#include "services/peers/packed_text.h"
#include "services/peers/peers_private.h"
#include "support/canned.h"
#include "support/fleet.h"
#include "support/suite.h"

#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  MAX_CALLS = 16,
  CALLS_PER_S = 1000,
  PEER_TIMEOUT_US = 1000 * 1000,
};

typedef struct
{
  char kind; /* 'g'et, 'p'ut, 'l'ist, 'w'atch or 'c'hanges */
  char *key;
  DyPlatformDone done;
  void *ctx;
} StoreCall;

typedef struct
{
  StoreCall calls[MAX_CALLS]; /* not answered yet */
  int n_calls;
} Store;

typedef struct
{
  struct ev_loop *loop;
  DyKernel kernel;
  DySettings settings;
  Store store;
  DyPlatform platform;
  DyPeers peers;
  bool has_members; /* PEERS has a table of members, but is not started */
  DyDirectory directory;
} Fixture;

static void
record_call (Store *store, char kind, const char *key, DyPlatformDone done, void *ctx)
{
  ck_assert_int_lt (store->n_calls, MAX_CALLS);
  store->calls[store->n_calls++] = (StoreCall){ kind, g_strdup (key), done, ctx };
}

static void
store_get (void *self, const char *key, DyPlatformDone done, void *ctx)
{
  record_call (self, 'g', key, done, ctx);
}

static void
store_put (void *self,
           const char *key,
           const char *value,
           size_t n,
           uint64_t expected,
           DyPlatformDone done,
           void *ctx)
{
  (void) value;
  (void) n;
  (void) expected;
  record_call (self, 'p', key, done, ctx);
}

static void
store_list (void *self, const char *prefix, uint64_t after, DyPlatformDone done, void *ctx)
{
  record_call (self, after ? 'w' : 'l', prefix, done, ctx);
}

static void
store_changes (void *self, const char *prefix, uint64_t after, DyPlatformDone done, void *ctx)
{
  (void) after;
  record_call (self, 'c', prefix, done, ctx);
}

static void
store_free (void *self)
{
  Store *store = self;
  for (int i = 0; i < store->n_calls; i++)
    g_free (store->calls[i].key);
}

static const DyPlatformOps store_ops = { .get = store_get,
                                         .put = store_put,
                                         .list = store_list,
                                         .changes = store_changes,
                                         .free = store_free };

/* Returns the index of the open call of KIND for a key that begins with PREFIX, or -1. */
static int
find_call (const Store *store, char kind, const char *prefix)
{
  for (int i = 0; i < store->n_calls; i++)
    if (store->calls[i].kind == kind && g_str_has_prefix (store->calls[i].key, prefix))
      return i;
  return -1;
}

/* Runs the loop until the router makes the call, and answers it. */
static void
answer_call (Fixture *fixture, char kind, const char *prefix, const DyPlatformReply *reply)
{
  Store *store = &fixture->store;
  int i;
  while ((i = find_call (store, kind, prefix)) < 0)
    ev_run (fixture->loop, EVRUN_ONCE);
  StoreCall call = store->calls[i];
  store->calls[i] = store->calls[--store->n_calls];
  call.done (call.ctx, reply);
  g_free (call.key);
}

static void
run_for (Fixture *fixture, int64_t time_us)
{
  int64_t end_us = g_get_monotonic_time () + time_us;
  while (g_get_monotonic_time () < end_us)
    ev_run (fixture->loop, EVRUN_ONCE);
}

static void
fixture_init (Fixture *fixture)
{
  static char data_centre[] = "dc-a";
  memset (fixture, 0, sizeof *fixture);
  fixture->loop = ev_default_loop (EVFLAG_AUTO);
  dy_kernel_init (&fixture->kernel, fixture->loop, &fixture->settings);
  fixture->settings.data_centre = data_centre;
  dy_platform_init (&fixture->platform, fixture->loop, &fixture->kernel.counters, CALLS_PER_S,
                    &store_ops, &fixture->store);
}

static void
fixture_finish (Fixture *fixture)
{
  dy_kernel_finish (&fixture->kernel);
  if (fixture->has_members)
    dy_members_finish (&fixture->peers.members);
  dy_platform_finish (&fixture->platform);
}

static void
start_directory (Fixture *fixture)
{
  dy_members_init (&fixture->peers.members, "r0", PEER_TIMEOUT_US);
  fixture->has_members = true;
  DyService dialect = { .name = DY_SERVICE_DIALECT, .self = (void *) &dy_platform_dialect };
  DyService peers = { .name = DY_SERVICE_PEERS, .self = &fixture->peers };
  dy_kernel_add (&fixture->kernel, &dialect);
  dy_kernel_add (&fixture->kernel, &peers);
  dy_platform_add_service (&fixture->kernel, &fixture->platform);
  dy_directory_add_service (&fixture->kernel, &fixture->directory);
  ck_assert_int_eq (dy_kernel_start (&fixture->kernel), DY_OK);
}

static void
ignore_reply (void *ctx, const DyPlatformReply *reply)
{
  (void) ctx;
  (void) reply;
}

static const DyPlatformReply timed_out = { .error = DY_TIMEOUT };

/* The list of endpoints must be read again as soon as possible after a failure, whatever other
 * calls fail meanwhile. */
START_TEST (ledger_calls_that_time_out_do_not_hold_off_the_endpoint_watch)
{
  Fixture fixture;
  fixture_init (&fixture);
  for (int i = 0; i < 3; i++)
    {
      dy_platform_get (&fixture.platform, "ledger/a", ignore_reply, NULL);
      answer_call (&fixture, 'g', "ledger/", &timed_out);
    }
  /* The breaker is open, and a probe has just been made. */
  dy_platform_get (&fixture.platform, "ledger/a", ignore_reply, NULL);
  run_for (&fixture, 1000);
  ck_assert_int_lt (find_call (&fixture.store, 'g', "ledger/"), 0);
  dy_platform_list (&fixture.platform, "servers/", 7, ignore_reply, NULL);
  run_for (&fixture, 1000);
  ck_assert_int_ge (find_call (&fixture.store, 'w', "servers/"), 0);
  fixture_finish (&fixture);
}
END_TEST

/* A call that the store refuses was answered, so the store is not away. */
START_TEST (writes_that_the_store_refuses_do_not_open_the_breaker)
{
  static const DyPlatformReply refused = { .error = DY_FORBIDDEN };
  Fixture fixture;
  fixture_init (&fixture);
  for (int i = 0; i < 3; i++)
    {
      dy_platform_put (&fixture.platform, "versions/app", "{}", 0, ignore_reply, NULL);
      answer_call (&fixture, 'p', "versions/", &refused);
    }
  ck_assert (!fixture.platform.down);
  dy_platform_get (&fixture.platform, "ledger/a", ignore_reply, NULL);
  run_for (&fixture, 1000);
  ck_assert_int_ge (find_call (&fixture.store, 'g', "ledger/"), 0);
  fixture_finish (&fixture);
}
END_TEST

static const char record[] = "{\"service\":\"app\",\"address\":\"127.0.0.1:1\",\"zone\":\"dc-a\","
                             "\"slots\":6,\"state\":\"ready\",\"sequence\":1}";
static const DyObject listed[] = { { "servers/e0", 1, record, sizeof record - 1 },
                                   { "servers/e1", 2, record, sizeof record - 1 } };
static const DyObject removal[] = { { "servers/e0", 3, NULL, 0 } };

/* A record can expire only in an outage that lasts as long as several renewals. */
static const struct
{
  const char *name;
  int64_t outage_us; /* 0: a single call fails */
  uint32_t n_endpoints;
} removal_cases[] = {
  { "a single call failed", 0, 1 },
  { "outage", 4000 * 1000, 2 },
};

START_TEST (removed_endpoint_is_not_kept_after_a_call_that_timed_out)
{
  const DyPlatformReply list = { .version = 2, .objects = listed, .n_objects = 2 };
  const DyPlatformReply change = { .version = 3, .objects = removal, .n_objects = 1 };
  Fixture fixture;
  fixture_init (&fixture);
  start_directory (&fixture);
  answer_call (&fixture, 'l', "servers/", &list);
  ck_assert_uint_eq (dy_placement_count (&fixture.directory.placement, "app"), 2);
  int64_t failing_since_us = g_get_monotonic_time ();
  do
    answer_call (&fixture, 'w', "servers/", &timed_out);
  while (g_get_monotonic_time () - failing_since_us < removal_cases[_i].outage_us);
  answer_call (&fixture, 'w', "servers/", &change);
  uint32_t n = dy_placement_count (&fixture.directory.placement, "app");
  ck_assert_msg (n == removal_cases[_i].n_endpoints, "%s: %u endpoints", removal_cases[_i].name, n);
  fixture_finish (&fixture);
}
END_TEST

/* Every router that is late would pass the same changes on to all others, and make them later. */
static const struct
{
  const char *name;
  bool told; /* by another router, before the check */
  uint64_t n_spread;
} spread_cases[] = {
  { "found by age", false, 1 },
  { "another router has told of it", true, 0 },
};

START_TEST (changes_that_another_router_has_told_of_are_not_passed_on_again)
{
  static const char told[] = "{\"changed\":3,\"age_ms\":0,\"by_list\":false}";
  const DyPlatformReply list = { .version = 2, .objects = listed, .n_objects = 2 };
  const DyPlatformReply change = { .version = 3, .objects = removal, .n_objects = 1 };
  DyMessage message
      = { .type = DY_MESSAGE_CONFIG,
          .u.config = { .key = "watch-ages/servers/", .text = told, .n_text = sizeof told - 1 } };
  Fixture fixture;
  fixture_init (&fixture);
  start_directory (&fixture);
  answer_call (&fixture, 'l', "servers/", &list);
  if (spread_cases[_i].told)
    dy_object_watch_take (&fixture.directory.endpoints_watch, &message);
  answer_call (&fixture, 'c', "servers/", &change);
  ck_assert_uint_eq (dy_placement_count (&fixture.directory.placement, "app"), 1);
  ck_assert_msg (fixture.directory.spread.number == spread_cases[_i].n_spread, "%s: %d messages",
                 spread_cases[_i].name, (int) fixture.directory.spread.number);
  fixture_finish (&fixture);
}
END_TEST

/* Replies of another router that can't be read, to a router that knows version 2. */
static const char *const invalid_replies[] = {
  "",
  "{",
  "[]",
  "{\"answers\":2,\"changed\":-1,\"age_ms\":0,\"router\":\"r1\",\"version\":3}",
  "{\"answers\":2,\"changed\":3,\"age_ms\":-1,\"router\":\"r1\",\"version\":3}",
  "{\"answers\":2,\"changed\":3,\"age_ms\":1e300,\"router\":\"r1\",\"version\":3}",
  "{\"answers\":2,\"changed\":3,\"age_ms\":0,\"version\":3}",
  "{\"answers\":2,\"changed\":4,\"age_ms\":0,\"router\":\"r1\",\"version\":3,\"list\":true,"
  "\"changes\":[]}",
  "{\"answers\":2,\"changed\":3,\"age_ms\":0,\"router\":\"r1\",\"version\":3,\"list\":true}",
  "{\"answers\":2,\"changed\":3,\"age_ms\":0,\"router\":\"r1\",\"version\":3,\"list\":true,"
  "\"changes\":{}}",
  "{\"answers\":2,\"changed\":3,\"age_ms\":0,\"router\":\"r1\",\"version\":3,\"list\":true,"
  "\"changes\":[{\"key\":\"config/main\",\"version\":3,\"value\":null}]}",
  "{\"answers\":2,\"changed\":3,\"age_ms\":0,\"router\":\"r1\",\"version\":3,\"list\":true,"
  "\"packed\":\"AAAA\"}",
  "{\"answers\":2,\"changed\":3,\"age_ms\":0,\"router\":\"r1\",\"version\":3,\"list\":true,"
  "\"piece\":\"A\",\"part\":0,\"parts\":1000000}",
  "{\"answers\":2,\"changed\":3,\"age_ms\":0,\"router\":\"r1\",\"version\":3,\"list\":true,"
  "\"piece\":\"A\",\"part\":1,\"parts\":1}",
};

static GLogWriterOutput
count_rejections (GLogLevelFlags level, const GLogField *fields, gsize n, gpointer ctx)
{
  (void) level;
  for (gsize i = 0; i < n; i++)
    if (strcmp (fields[i].key, "DY_EVENT") == 0 && strcmp (fields[i].value, "2008") == 0)
      (*(int *) ctx)++;
  return G_LOG_WRITER_HANDLED;
}

static void
take_reply (Fixture *fixture, const char *text)
{
  DyMessage message
      = { .type = DY_MESSAGE_CONFIG,
          .u.config
          = { .key = "watch-ages/servers/", .text = text, .n_text = (uint32_t) strlen (text) } };
  dy_object_watch_take (&fixture->directory.endpoints_watch, &message);
}

/* Starts the directory with two endpoints, known up to version 2. */
static void
start_with_endpoints (Fixture *fixture)
{
  const DyPlatformReply list = { .version = 2, .objects = listed, .n_objects = 2 };
  fixture_init (fixture);
  start_directory (fixture);
  answer_call (fixture, 'l', "servers/", &list);
}

/* Guards against a broken router that empties the others' lists, or fills their logs. */
START_TEST (replies_of_a_router_that_are_not_valid_are_logged_once_and_change_nothing)
{
  int n_rejections = 0;
  Fixture fixture;
  start_with_endpoints (&fixture);
  g_log_set_writer_func (count_rejections, &n_rejections, NULL);
  for (int i = 0; i < 3; i++)
    take_reply (&fixture, invalid_replies[_i]);
  ck_assert_msg (n_rejections == 1, "%s: logged %d times", invalid_replies[_i], n_rejections);
  ck_assert_uint_eq (fixture.directory.endpoints_watch.age.version, 2);
  ck_assert_uint_eq (dy_placement_count (&fixture.directory.placement, "app"), 2);
  fixture_finish (&fixture);
}
END_TEST

#define REPLY(fields)                                                                              \
  "{\"answers\":2,\"changed\":3,\"age_ms\":0,\"router\":\"r1\"," fields                            \
  ",\"changes\":[{\"key\":\"servers/e0\",\"version\":3,\"value\":null}]}"

/* Replies that can be read, and the version and number of endpoints then. */
static const struct
{
  const char *text;
  uint64_t version;
  uint32_t n_endpoints;
} valid_replies[] = {
  { REPLY ("\"version\":3,\"list\":false,\"base\":2,\"base_changed\":2"), 3, 1 },
  { REPLY ("\"version\":3,\"list\":false,\"base\":1,\"base_changed\":1"), 2,
    2 }, /* known in part */
  { REPLY ("\"version\":4,\"list\":false,\"base\":3,\"base_changed\":3"), 2,
    2 }, /* one is missed */
  { REPLY ("\"version\":3,\"list\":true"), 3, 0 },
  { REPLY ("\"version\":1099511627779,\"list\":true"), 2, 2 }, /* after a restore */
  { "{\"answers\":2,\"changed\":1,\"age_ms\":0,\"router\":\"r1\"}", 2, 2 },
};

/* Guards against a router that goes back, misses a change, or takes a list of a restored store for
 * removals. */
START_TEST (replies_of_a_router_are_taken_if_they_follow_on_what_is_known)
{
  Fixture fixture;
  start_with_endpoints (&fixture);
  take_reply (&fixture, valid_replies[_i].text);
  ck_assert_msg (fixture.directory.endpoints_watch.age.version == valid_replies[_i].version, "%s",
                 valid_replies[_i].text);
  ck_assert_msg (dy_placement_count (&fixture.directory.placement, "app")
                     == valid_replies[_i].n_endpoints,
                 "%s", valid_replies[_i].text);
  fixture_finish (&fixture);
}
END_TEST

/* Parts of one reply in the order in which they come; -1 ends it. The text has three; one that
 * comes again is left out. */
static const struct
{
  int parts[6];
  bool taken;
} part_orders[] = {
  { { 0, 1, 2, -1 }, true },       { { 0, 2, -1 }, false },      { { 1, 2, -1 }, false },
  { { 0, 1, 0, 1, 2, -1 }, true }, { { 0, 1, 1, 2, -1 }, true },
};

/* Guards against a text that is put together from parts of two replies, or lacks one. */
START_TEST (a_reply_in_parts_is_taken_once_it_is_whole)
{
  enum
  {
    N_PARTS = 3,
  };
  static const char json[] = "[{\"key\":\"servers/e0\",\"version\":3,\"value\":null}]";
  Fixture fixture;
  start_with_endpoints (&fixture);
  char *packed = dy_packed_text_encode (json, sizeof json - 1);
  size_t n_piece = strlen (packed) / N_PARTS + 1;
  for (int i = 0; part_orders[_i].parts[i] >= 0; i++)
    {
      int part = part_orders[_i].parts[i];
      char *text = g_strdup_printf (
          "{\"answers\":2,\"changed\":3,\"age_ms\":0,\"router\":\"r1\",\"version\":3,\"list\":"
          "false,"
          "\"base\":2,\"base_changed\":2,\"parts\":%d,\"part\":%d,\"piece\":\"%.*s\"}",
          N_PARTS, part, (int) n_piece, packed + n_piece * (size_t) part);
      take_reply (&fixture, text);
      g_free (text);
    }
  g_free (packed);
  ck_assert_uint_eq (dy_placement_count (&fixture.directory.placement, "app"),
                     part_orders[_i].taken ? 1 : 2);
  fixture_finish (&fixture);
}
END_TEST

/* A router that had not read the evacuations, or whose knowledge of them was too old, sent requests
 * to an evacuated data centre. */
START_TEST (requests_need_current_knowledge_of_evacuations)
{
  enum
  {
    BOUND_MS = 5000,
    OTHER_BOUNDS_MS = 60000,
  };
  static const DyObject evacuated[] = { { "evacuations/dc-a", 1, "null", 0 } };
  const DyPlatformReply endpoints = { .version = 2, .objects = listed, .n_objects = 2 };
  const DyPlatformReply evacuations = { .version = 2, .objects = evacuated, .n_objects = 1 };
  const DyPlatformReply none = { .version = 3 };
  Fixture fixture;
  fixture_init (&fixture);
  DyDirectory *directory = &fixture.directory;
  fixture.settings.evacuations_bound_ms = BOUND_MS;
  fixture.settings.routes_bound_ms = OTHER_BOUNDS_MS;
  fixture.settings.endpoints_bound_ms = OTHER_BOUNDS_MS;
  start_directory (&fixture);
  directory->has_routes = true;
  answer_call (&fixture, 'l', "config/", &none);
  answer_call (&fixture, 'l', "servers/", &endpoints);
  ck_assert (!dy_directory_ready (directory));
  ck_assert_int_eq (dy_directory_check_age (directory), DY_EVACUATIONS_STALE);
  /* Nor by relays, which ask for no readiness, while the store is away. */
  directory->clocks.on_time_since_us = dy_kernel_boot_us () - 2 * G_USEC_PER_SEC;
  directory->clocks.on_time_until_us = dy_kernel_boot_us ();
  fixture.platform.away_us = dy_kernel_boot_us ();
  ck_assert_int_eq (dy_directory_check_age (directory), DY_EVACUATIONS_STALE);
  fixture.platform.away_us = INT64_MIN / 2;
  directory->clocks.on_time_until_us = INT64_MIN / 2;
  answer_call (&fixture, 'l', "evacuations/", &evacuations);
  ck_assert (dy_directory_ready (directory));
  ck_assert_int_eq (dy_directory_check_age (directory), DY_OK);
  ck_assert_uint_eq (dy_placement_count (&directory->placement, "app"), 0);
  ck_assert (dy_placement_is_evacuated (&directory->placement, "app"));
  directory->evacuations.watch.age.confirmed_us = dy_kernel_boot_us () - BOUND_MS * INT64_C (1000);
  ck_assert_int_eq (dy_directory_check_age (directory), DY_EVACUATIONS_STALE);
  /* The store no longer has the changes, and lists nothing. */
  answer_call (&fixture, 'w', "evacuations/", &(DyPlatformReply){ .error = DY_HISTORY_GONE });
  /* Until the list arrives, which takes as long as an outage, no router was ready. */
  ck_assert (dy_directory_ready (directory));
  answer_call (&fixture, 'l', "evacuations/", &none);
  ck_assert_int_eq (dy_directory_check_age (directory), DY_OK);
  ck_assert_uint_eq (dy_placement_count (&directory->placement, "app"), 2);
  fixture_finish (&fixture);
}
END_TEST

/* The calls of each watch are priced. */
START_TEST (evacuations_are_not_watched_without_a_bound)
{
  static const char kinds[] = "lwcg";
  const DyPlatformReply endpoints = { .version = 2, .objects = listed, .n_objects = 2 };
  Fixture fixture;
  fixture_init (&fixture);
  start_directory (&fixture);
  fixture.directory.has_routes = true;
  answer_call (&fixture, 'l', "servers/", &endpoints);
  run_for (&fixture, 500 * 1000);
  for (const char *kind = kinds; *kind; kind++)
    ck_assert_int_lt (find_call (&fixture.store, *kind, "evacuations/"), 0);
  ck_assert (dy_directory_ready (&fixture.directory));
  ck_assert_int_eq (dy_directory_evacuations_knowledge (&fixture.directory), DY_KNOWLEDGE_CURRENT);
  fixture_finish (&fixture);
}
END_TEST

/* A stand-in of the store on a socket, which knows on which connection a call arrives. It answers
 * watches at once and other calls never. */
typedef struct
{
  struct ev_loop *loop;
  int listen_fd;
  ev_io accept_io;
  GPtrArray *connections; /* of ev_io */
  int watch_fd;           /* connection of the latest watch */
  int n_watches;
} SocketStore;

static void
on_call (struct ev_loop *loop, ev_io *w, int events)
{
  static const char body[] = "{\"events\":[],\"at\":9}";
  SocketStore *store = w->data;
  char text[4096];
  (void) events;
  ssize_t n = recv (w->fd, text, sizeof text - 1, 0);
  if (n <= 0)
    {
      ev_io_stop (loop, w);
      return;
    }
  text[n] = '\0';
  if (!strstr (text, "watch="))
    return;
  store->watch_fd = w->fd;
  store->n_watches++;
  char *answer
      = g_strdup_printf ("HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s", strlen (body), body);
  send (w->fd, answer, strlen (answer), MSG_NOSIGNAL);
  g_free (answer);
}

static void
on_accept (struct ev_loop *loop, ev_io *w, int events)
{
  SocketStore *store = w->data;
  (void) events;
  ev_io *io = g_new0 (ev_io, 1);
  ev_io_init (io, on_call, accept (store->listen_fd, NULL, NULL), EV_READ);
  io->data = store;
  ev_io_start (loop, io);
  g_ptr_array_add (store->connections, io);
}

static void
socket_store_init (SocketStore *store, struct ev_loop *loop, const char *address)
{
  struct sockaddr_in addr;
  memset (store, 0, sizeof *store);
  store->loop = loop;
  store->connections = g_ptr_array_new_with_free_func (g_free);
  store->listen_fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  ck_assert_int_eq (dy_address_parse (address, &addr), DY_OK);
  ck_assert_int_eq (bind (store->listen_fd, (struct sockaddr *) &addr, sizeof addr), 0);
  ck_assert_int_eq (listen (store->listen_fd, 8), 0);
  ev_io_init (&store->accept_io, on_accept, store->listen_fd, EV_READ);
  store->accept_io.data = store;
  ev_io_start (loop, &store->accept_io);
}

static void
socket_store_finish (SocketStore *store)
{
  for (guint i = 0; i < store->connections->len; i++)
    {
      ev_io *io = g_ptr_array_index (store->connections, i);
      ev_io_stop (store->loop, io);
      close (io->fd);
    }
  g_ptr_array_unref (store->connections);
  ev_io_stop (store->loop, &store->accept_io);
  close (store->listen_fd);
}

static void
store_error (void *ctx, const DyPlatformReply *reply)
{
  *(int *) ctx = reply->error;
}

static void
run_until_answered (struct ev_loop *loop, const int *error)
{
  while (*error == 1)
    ev_run (loop, EVRUN_ONCE);
}

/* Opening a connection takes longest when the router is crowded, which is when other calls time
 * out. */
START_TEST (watch_keeps_its_connection_when_other_calls_time_out)
{
  enum
  {
    TIMEOUT_MS = 100,
    N_ROUNDS = 3,
  };
  struct ev_loop *loop = ev_default_loop (EVFLAG_AUTO);
  char *address = fleet_free_address ();
  SocketStore server;
  socket_store_init (&server, loop, address);
  void *store = dy_store_new (loop, address, TIMEOUT_MS, TIMEOUT_MS);
  int first_fd = 0;
  for (int i = 0; i < N_ROUNDS; i++)
    {
      int error = 1;
      dy_store_ops.list (store, "servers/", 7, store_error, &error);
      run_until_answered (loop, &error);
      ck_assert_int_eq (error, DY_OK);
      first_fd = first_fd ? first_fd : server.watch_fd;
      ck_assert_int_eq (server.watch_fd, first_fd);
      error = 1;
      dy_store_ops.get (store, "ledger/a", store_error, &error);
      run_until_answered (loop, &error);
      ck_assert_int_eq (error, DY_TIMEOUT);
    }
  ck_assert_int_eq (server.n_watches, N_ROUNDS);
  dy_store_ops.free (store);
  socket_store_finish (&server);
  g_free (address);
}
END_TEST

typedef struct
{
  int n;
} MessageCount;

static void
count_slowly (void *ctx, uint64_t link, const DyMessage *message)
{
  enum
  {
    HANDLING_US = 1000
  };
  MessageCount *count = ctx;
  int64_t end_us = g_get_monotonic_time () + HANDLING_US;
  (void) link;
  (void) message;
  count->n++;
  while (g_get_monotonic_time () < end_us)
    continue;
}

/* It must not be the one that watches the store for the fleet. */
START_TEST (a_router_whose_calls_are_turned_away_does_not_count_as_one_that_reaches_the_store)
{
  const DyPlatformReply refused = { .error = DY_RATE_LIMITED };
  const DyPlatformReply list = { .version = 2 };
  Fixture fixture;
  fixture_init (&fixture);
  start_directory (&fixture);
  answer_call (&fixture, 'l', "config/", &refused);
  ck_assert (dy_platform_answers (&fixture.platform));
  answer_call (&fixture, 'l', "servers/", &refused);
  ck_assert (!dy_platform_answers (&fixture.platform));
  ck_assert (!fixture.platform.down);
  answer_call (&fixture, 'l', "config/", &list);
  ck_assert (dy_platform_answers (&fixture.platform));
  fixture_finish (&fixture);
}
END_TEST

/* Takes a message that router "r1" sent at SENT_US: AGE_MS before, there was no change since
 * version 2. */
static void
take_confirmation (Fixture *fixture, int64_t age_ms, int64_t sent_us)
{
  char *text = g_strdup_printf (
      "{\"changed\":2,\"age_ms\":%" G_GINT64_FORMAT ",\"by_list\":false,\"spread\":{\"root\":"
      "\"r1\",\"incarnation\":7,\"number\":1,\"sent_us\":%" G_GINT64_FORMAT "}}",
      age_ms, sent_us);
  DyMessage message
      = { .type = DY_MESSAGE_CONFIG,
          .u.config
          = { .key = "watch-ages/config/", .text = text, .n_text = (uint32_t) strlen (text) } };
  dy_object_watch_take (&fixture->directory.routes_watch, &message);
  g_free (text);
}

/* Waiting in a queue on the way does not make what a message says younger, and a message of a
 * router whose clock is not known confirms nothing. */
START_TEST (a_confirmation_that_was_held_up_is_as_old_as_its_time_on_the_way)
{
  enum
  {
    AGE_MS = 1000,
    HELD_UP_MS = 3000,
    SLACK_MS = 500,
  };
  const DyPlatformReply list = { .version = 2 };
  Fixture fixture;
  fixture_init (&fixture);
  start_directory (&fixture);
  answer_call (&fixture, 'l', "config/", &list);
  int64_t old_us = dy_kernel_boot_us () - 2 * HELD_UP_MS * INT64_C (1000);
  fixture.directory.routes_watch.age.confirmed_us = old_us;
  take_confirmation (&fixture, 0, dy_kernel_boot_us ());
  ck_assert_int_eq (fixture.directory.routes_watch.age.confirmed_us, old_us);
  dy_transit_record_exchange (&fixture.directory.clocks.transit, 7, dy_kernel_boot_us (),
                              dy_kernel_boot_us ());
  take_confirmation (&fixture, AGE_MS, dy_kernel_boot_us () - HELD_UP_MS * INT64_C (1000));
  int64_t age_ms = dy_directory_routes_age_ms (&fixture.directory);
  ck_assert_int_ge (age_ms, AGE_MS + HELD_UP_MS);
  ck_assert_int_le (age_ms, AGE_MS + HELD_UP_MS + SLACK_MS);
  fixture_finish (&fixture);
}
END_TEST

#define EVENT(name, revision, deleted)                                                             \
  "{\"deleted\":" deleted ",\"object\":{\"metadata\":{\"name\":\"" name                            \
  "\",\"revision\":" revision "},\"spec\":" revision "}}"

typedef struct
{
  struct ev_loop *loop;
  GString *text; /* "key version value," of each object */
} Changes;

static void
on_changes (void *ctx, const DyPlatformReply *reply)
{
  Changes *changes = ctx;
  for (uint32_t i = 0; i < reply->n_objects; i++)
    g_string_append_printf (changes->text, "%s %d %s,", reply->objects[i].key,
                            (int) dy_store_version_revision (reply->objects[i].version),
                            reply->objects[i].value ? reply->objects[i].value : "-");
  ev_break (changes->loop, EVBREAK_ONE);
}

/* A route table takes long to decode, and the router answers nobody meanwhile. */
START_TEST (of_several_states_in_one_answer_only_the_latest_is_read)
{
  enum
  {
    TIMEOUT_MS = 2000,
  };
  static const char body[]
      = "{\"at\":9,\"events\":[" EVENT ("a", "4", "false") "," EVENT ("b", "5", "false") "," EVENT (
          "a", "6", "false") "," EVENT ("c", "7", "false") "," EVENT ("b", "8", "true") "]}";
  struct ev_loop *loop = ev_default_loop (EVFLAG_AUTO);
  char *address = fleet_free_address ();
  char *answer
      = g_strdup_printf ("HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s", sizeof body - 1, body);
  Changes changes = { loop, g_string_new (NULL) };
  CannedServer server;
  ck_assert (canned_init (&server, loop, address, answer, false));
  void *store = dy_store_new (loop, address, TIMEOUT_MS, TIMEOUT_MS);
  dy_store_ops.changes (store, "config/", 3, on_changes, &changes);
  ev_run (loop, 0);
  ck_assert_str_eq (changes.text->str, "config/a 6 6,config/c 7 7,config/b 8 -,");
  dy_store_ops.free (store);
  canned_finish (&server);
  g_string_free (changes.text, TRUE);
  g_free (answer);
  g_free (address);
}
END_TEST

/* Other work, such as reading the list of endpoints, waits for the end of the turn of the loop in
 * which messages of other routers are handled. */
START_TEST (messages_of_one_router_do_not_hold_up_the_loop)
{
  enum
  {
    N_MESSAGES = 600,
    MAX_TURN_US = 100 * 1000,
  };
  static const DyPeersWatcher watcher = { .message = count_slowly };
  static char node[] = "r0";
  static char no_secret[] = "";
  Fixture fixture;
  MessageCount count = { 0 };
  msgpack_sbuffer frames;
  int fds[2];
  int64_t longest_us = 0;
  fixture_init (&fixture);
  fixture.settings.node_name = node;
  fixture.settings.peer_secret = no_secret; /* no timers, no listening */
  dy_platform_add_service (&fixture.kernel, &fixture.platform);
  dy_peers_add_service (&fixture.kernel, &fixture.peers);
  ck_assert_int_eq (dy_kernel_start (&fixture.kernel), DY_OK);
  dy_peers_watch (&fixture.peers, &watcher, &count);
  ck_assert_int_eq (socketpair (AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, fds), 0);
  DyPeerLink *link = dy_peers_open_link (&fixture.peers, fds[0], false);
  link->authenticated = true;
  msgpack_sbuffer_init (&frames);
  DyMessage message = { .type = DY_MESSAGE_RESERVE, .u.reserve.account = "magnolia" };
  for (int i = 0; i < N_MESSAGES; i++)
    dy_wire_pack (&message, &frames);
  ck_assert_int_eq (send (fds[1], frames.data, frames.size, 0), (ssize_t) frames.size);
  ev_io_start (fixture.loop, &link->io);
  while (count.n < N_MESSAGES)
    {
      int64_t started_us = g_get_monotonic_time ();
      ev_run (fixture.loop, EVRUN_ONCE);
      longest_us = MAX (longest_us, g_get_monotonic_time () - started_us);
    }
  ck_assert_int_le (longest_us, MAX_TURN_US);
  msgpack_sbuffer_destroy (&frames);
  close (fds[1]);
  fixture_finish (&fixture);
}
END_TEST

static bool
ignore_data (void *ctx, const char *data, size_t n)
{
  (void) ctx;
  (void) data;
  (void) n;
  return true;
}

static void
on_attempt_done (void *ctx, bool failed, DyAttemptOutcome outcome, unsigned status)
{
  (void) status;
  *(int *) ctx = failed ? (int) outcome : -1;
}

/* Of the chat completions interface, whose endpoints are declared by operators. */
START_TEST (attempt_is_not_sent_to_a_declared_endpoint_that_left_after_the_choice)
{
  enum
  {
    RUNNING = -2
  };
  static const DyAttemptWatcher watcher = { .data = ignore_data, .done = on_attempt_done };
  static const char *const models[] = { "m", NULL };
  Fixture fixture;
  DyEndpoints endpoints = { 0 };
  SocketStore engine;
  int outcome = RUNNING;
  fixture_init (&fixture);
  fixture.settings.load_poll_ms = 100000;
  fixture.settings.connect_timeout_ms = 1000;
  fixture.settings.attempt_timeout_ms = 1000;
  char *address = fleet_free_address ();
  char *url = g_strdup_printf ("http://%s", address);
  socket_store_init (&engine, fixture.loop, address);
  dy_endpoints_add_service (&fixture.kernel, &endpoints);
  ck_assert_int_eq (dy_kernel_start (&fixture.kernel), DY_OK);
  DyEndpointSpec declared = {
    .name = "e", .url = url, .data_centre = "dc-a", .models = models, .kind = DY_ENDPOINT_ENGINE
  };
  dy_routing_put (&endpoints.routing, &declared);
  DyAttemptSpec spec
      = { .model = "m", .kind = DY_ENDPOINT_ENGINE, .method = "GET", .path = "/watch=" };
  ck_assert (dy_endpoints_start (&endpoints, &spec, &watcher, &outcome) != NULL);
  declared.leaving = true;
  dy_routing_put (&endpoints.routing, &declared);
  while (outcome == RUNNING)
    ev_run (fixture.loop, EVRUN_ONCE);
  ck_assert_int_eq (outcome, DY_ATTEMPT_NOT_SENT);
  ck_assert_int_eq (engine.n_watches, 0);
  fixture_finish (&fixture);
  socket_store_finish (&engine);
  g_free (url);
  g_free (address);
}
END_TEST

static const struct
{
  const char *setting;
  bool stated; /* an endpoint has said how slow work is there */
  bool spreads;
} even_load_cases[] = {
  { "no", false, false },     { "no", true, false },    { "yes", false, true },
  { "stated", false, false }, { "stated", true, true },
};

/* Even load changed the choice on deployments whose endpoints state nothing of their slowness,
 * where it cost callers a part of the answers in time. */
START_TEST (load_is_spread_where_the_setting_and_the_endpoints_call_for_it)
{
  Fixture fixture;
  fixture_init (&fixture);
  fixture.settings.spread_load = (char *) even_load_cases[_i].setting;
  start_directory (&fixture);
  fixture.directory.states_slowness = even_load_cases[_i].stated;
  run_for (&fixture, 1200 * 1000);
  ck_assert_msg (fixture.directory.placement.spread == even_load_cases[_i].spreads, "%s",
                 even_load_cases[_i].setting);
  fixture_finish (&fixture);
}
END_TEST

int
main (void)
{
  TCase *tcase = tcase_create ("directory");
  tcase_set_timeout (tcase, 30);
  tcase_add_test (tcase, ledger_calls_that_time_out_do_not_hold_off_the_endpoint_watch);
  tcase_add_test (tcase, writes_that_the_store_refuses_do_not_open_the_breaker);
  tcase_add_test (tcase, watch_keeps_its_connection_when_other_calls_time_out);
  tcase_add_test (tcase, attempt_is_not_sent_to_a_declared_endpoint_that_left_after_the_choice);
  tcase_add_loop_test (tcase, changes_that_another_router_has_told_of_are_not_passed_on_again, 0,
                       G_N_ELEMENTS (spread_cases));
  tcase_add_test (
      tcase, a_router_whose_calls_are_turned_away_does_not_count_as_one_that_reaches_the_store);
  tcase_add_test (tcase, a_confirmation_that_was_held_up_is_as_old_as_its_time_on_the_way);
  tcase_add_test (tcase, requests_need_current_knowledge_of_evacuations);
  tcase_add_test (tcase, evacuations_are_not_watched_without_a_bound);
  tcase_add_test (tcase, of_several_states_in_one_answer_only_the_latest_is_read);
  tcase_add_test (tcase, messages_of_one_router_do_not_hold_up_the_loop);
  tcase_add_loop_test (tcase, removed_endpoint_is_not_kept_after_a_call_that_timed_out, 0,
                       (int) G_N_ELEMENTS (removal_cases));
  tcase_add_loop_test (tcase,
                       replies_of_a_router_that_are_not_valid_are_logged_once_and_change_nothing, 0,
                       G_N_ELEMENTS (invalid_replies));
  tcase_add_loop_test (tcase, replies_of_a_router_are_taken_if_they_follow_on_what_is_known, 0,
                       G_N_ELEMENTS (valid_replies));
  tcase_add_loop_test (tcase, a_reply_in_parts_is_taken_once_it_is_whole, 0,
                       G_N_ELEMENTS (part_orders));
  tcase_add_loop_test (tcase, load_is_spread_where_the_setting_and_the_endpoints_call_for_it, 0,
                       (int) G_N_ELEMENTS (even_load_cases));
  return suite_run ("directory", tcase);
}
