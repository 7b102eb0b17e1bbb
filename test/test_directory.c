/* The endpoint records as the router sees them through a stand-in of the platform's store, whose
 * replies the test gives by hand. */

#include "kernel/error.h"
#include "platform/dialect.h"
#include "services/directory.h"
#include "support/suite.h"

#include <string.h>

enum
{
  MAX_CALLS = 16,
  CALLS_PER_S = 1000,
};

typedef struct
{
  char kind; /* 'g'et, 'p'ut, 'l'ist or 'w'atch */
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
store_free (void *self)
{
  Store *store = self;
  for (int i = 0; i < store->n_calls; i++)
    g_free (store->calls[i].key);
}

static const DyPlatformOps store_ops
    = { .get = store_get, .put = store_put, .list = store_list, .free = store_free };

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
  dy_platform_finish (&fixture->platform);
}

static void
start_directory (Fixture *fixture)
{
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

int
main (void)
{
  TCase *tcase = tcase_create ("directory");
  tcase_set_timeout (tcase, 30);
  tcase_add_test (tcase, ledger_calls_that_time_out_do_not_hold_off_the_endpoint_watch);
  tcase_add_loop_test (tcase, removed_endpoint_is_not_kept_after_a_call_that_timed_out, 0,
                       (int) G_N_ELEMENTS (removal_cases));
  return suite_run ("directory", tcase);
}
