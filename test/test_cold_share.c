/* Shares of the requests that cold endpoints tolerate, in virtual time: single decisions, and
 * fleets that send to one cold endpoint whenever they may. Guards against an endpoint that crashes
 * because all routers together send it more than the bound in a second, and against one that stays
 * unused while it is cold. */

#include "core/cold_share.h"
#include "core/store_version.h"
#include "support/suite.h"

#include <stdio.h>
#include <string.h>

enum
{
  MS = 1000, /* microseconds */
  SECOND = 1000 * MS,
  STEP_US = 10 * MS,
  LIST_US = 3 * SECOND, /* between reads of the list of routers */
  LIST_LIMIT_US = 8 * SECOND,
  HEARTBEAT_US = 400 * MS,
  LEARN_US = 3 * SECOND,
  LONGEST_SEND_US = 800 * MS, /* from the choice to the sending, on a new connection */
  SERVICE_COLD_US = 60 * SECOND,
  MAX_ROUTERS = 300,
  START_MS = 1000, /* start time of the endpoint */
  VERSION = 7,     /* of its record */
  PER_1000_S = 12000,
  OVERAGE = 1500,
  SLACK = 5000,
  BOUND = 23,
};

static const char ENDPOINT[] = "i-1";
static const double USED_FRACTION = 0.7;

START_TEST (bound_is_overage_and_slack)
{
  ck_assert_int_eq (dy_cold_bound (PER_1000_S, OVERAGE, SLACK), BOUND);
  ck_assert_int_eq (dy_cold_bound (0, OVERAGE, SLACK), -1);
  ck_assert_int_eq (dy_cold_bound (100, 1500, 0), 0);
  ck_assert_int_eq (dy_cold_bound (INT64_MAX, 1000000, SLACK), INT32_MAX);
}
END_TEST

/* Each running router counts all that run, and may count any number of others that don't. */
START_TEST (shares_keep_the_bound_whatever_others_each_router_counts)
{
  for (int64_t bound = 0; bound <= 60; bound++)
    for (uint32_t n = 1; n <= MAX_ROUTERS; n += n < 70 ? 1 : 23)
      {
        int64_t sum = 0;
        for (uint32_t rank = 0; rank < n; rank++)
          sum += dy_cold_share_of (bound, rank, n);
        ck_assert_msg (sum == bound, "%d of %d for %u routers", (int) sum, (int) bound, n);
        for (uint32_t rank = 0; rank < n; rank++)
          {
            int64_t share = dy_cold_share_of (bound, rank, n);
            ck_assert_int_le (dy_cold_share_of (bound, rank, n + 1), share);
            ck_assert_int_le (dy_cold_share_of (bound, rank + 1, n + 1), share);
          }
      }
}
END_TEST

/* --- one router --- */

static DyColdPlace
fixed_place (void *ctx, const char *endpoint, int64_t now_us)
{
  (void) endpoint;
  (void) now_us;
  return *(const DyColdPlace *) ctx;
}

typedef struct
{
  DyColdPlace place;
  DyColdShares shares;
} One;

/* The first of two routers, long after its start. */
static void
one_init (One *one)
{
  memset (one, 0, sizeof *one);
  one->place = (DyColdPlace){ .bound = 8, .cold_us = SERVICE_COLD_US, .rank = 0, .n_routers = 2 };
  dy_cold_shares_init (&one->shares, fixed_place, &one->place, "r0", LEARN_US, -10 * SECOND);
}

/* Sends as often as it may. Returns how many requests. */
static int
send_all (One *one, int64_t now_us)
{
  int n = 0;
  for (; dy_cold_shares_allow (&one->shares, ENDPOINT, now_us) && n < 1000; n++)
    {
      bool reserved = dy_cold_shares_reserve (&one->shares, ENDPOINT, START_MS, now_us);
      ck_assert (reserved);
      ck_assert (dy_cold_shares_send (&one->shares, ENDPOINT, START_MS, reserved, now_us));
    }
  return n;
}

START_TEST (window_starts_full_and_a_reserved_place_counts_until_it_is_sent)
{
  One one;
  one_init (&one);
  ck_assert (dy_cold_shares_put (&one.shares, ENDPOINT, START_MS, SERVICE_COLD_US, VERSION, 0));
  ck_assert_int_eq (send_all (&one, 0), 0);
  ck_assert_int_eq (send_all (&one, DY_COLD_WINDOW_US / 2), 2);
  ck_assert_int_eq (send_all (&one, DY_COLD_WINDOW_US), 2);
  int64_t now_us = 10 * SECOND;
  for (int i = 0; i < 4; i++)
    ck_assert (dy_cold_shares_reserve (&one.shares, ENDPOINT, START_MS, now_us));
  ck_assert_int_eq (send_all (&one, now_us), 0);
  ck_assert_int_eq (send_all (&one, now_us + 5 * SECOND), 0);
  dy_cold_shares_cancel (&one.shares, ENDPOINT, START_MS);
  ck_assert_int_eq (send_all (&one, now_us + 5 * SECOND), 1);
  ck_assert (dy_cold_shares_send (&one.shares, ENDPOINT, START_MS, true, now_us + 5 * SECOND));
  ck_assert_int_gt (dy_cold_shares_room_us (&one.shares, ENDPOINT, now_us + 5 * SECOND), 0);
  /* Of an earlier start: it has no place here. */
  dy_cold_shares_cancel (&one.shares, ENDPOINT, START_MS - 1);
  ck_assert_int_eq (send_all (&one, now_us + 5 * SECOND), 0);
  dy_cold_shares_finish (&one.shares);
}
END_TEST

/* A request that was chosen while the endpoint was warm, and has waited for a connection since. */
START_TEST (request_without_a_place_is_not_sent_once_the_endpoint_is_cold)
{
  One one;
  one_init (&one);
  ck_assert (!dy_cold_shares_put (&one.shares, ENDPOINT, START_MS, 0, VERSION, 0));
  ck_assert (!dy_cold_shares_reserve (&one.shares, ENDPOINT, START_MS, 0));
  ck_assert (
      dy_cold_shares_put (&one.shares, ENDPOINT, START_MS, SERVICE_COLD_US, VERSION, SECOND));
  ck_assert (!dy_cold_shares_send (&one.shares, ENDPOINT, START_MS, false, SECOND + 1));
  /* The others learn of it within LEARN_US. */
  ck_assert (!dy_cold_shares_allow (&one.shares, ENDPOINT, SECOND + LEARN_US - 1));
  ck_assert (dy_cold_shares_allow (&one.shares, ENDPOINT, 2 * SECOND + LEARN_US));
  dy_cold_shares_finish (&one.shares);
}
END_TEST

/* COLD_US after START_MS, as stated by a record at 0. */
static const struct
{
  const char *name;
  int64_t stated_us;
  int64_t service_us;
  int64_t cold_at_us; /* the latest time at which it is cold; -1: never */
} cold_cases[] = {
  { "stated", 5 * SECOND, SERVICE_COLD_US, 5 * SECOND - 1 },
  { "stated warm", 0, SERVICE_COLD_US, -1 },
  { "not stated", DY_COLD_NOT_STATED, SERVICE_COLD_US, SERVICE_COLD_US - 1 },
  { "not stated, the service has none", DY_COLD_NOT_STATED, 0, -1 },
};

START_TEST (endpoint_is_cold_until_its_record_says_otherwise)
{
  One one;
  one_init (&one);
  one.place.cold_us = cold_cases[_i].service_us;
  dy_cold_shares_put (&one.shares, ENDPOINT, START_MS, cold_cases[_i].stated_us, VERSION, 0);
  /* The record is listed again. */
  dy_cold_shares_put (&one.shares, ENDPOINT, START_MS, cold_cases[_i].stated_us, VERSION, SECOND);
  int64_t at_us = cold_cases[_i].cold_at_us;
  ck_assert_msg (at_us < 0 || dy_cold_shares_is_cold (&one.shares, ENDPOINT, at_us), "%s",
                 cold_cases[_i].name);
  ck_assert_msg (!dy_cold_shares_is_cold (&one.shares, ENDPOINT, at_us + 1), "%s",
                 cold_cases[_i].name);
  /* An answer may come late: it does not end or shorten the cold time. */
  dy_cold_shares_put (&one.shares, ENDPOINT, START_MS, SECOND, VERSION + 1, at_us + 1);
  dy_cold_shares_put (&one.shares, ENDPOINT, START_MS, 0, 0, at_us + 1);
  dy_cold_shares_put (&one.shares, ENDPOINT, START_MS, 10, 0, at_us + 1);
  ck_assert (dy_cold_shares_is_cold (&one.shares, ENDPOINT, at_us + SECOND));
  /* Its record ends it. */
  dy_cold_shares_put (&one.shares, ENDPOINT, START_MS, 0, VERSION + 2, at_us + SECOND);
  ck_assert (!dy_cold_shares_is_cold (&one.shares, ENDPOINT, at_us + SECOND));
  dy_cold_shares_finish (&one.shares);
}
END_TEST

/* A router that read the records before the routes sent without a limit until the share was
 * computed again. */
START_TEST (share_is_computed_as_soon_as_the_service_is_known)
{
  One one;
  one_init (&one);
  DyColdPlace known = one.place;
  one.place = (DyColdPlace){ .bound = 0, .unknown = true };
  dy_cold_shares_put (&one.shares, ENDPOINT, START_MS, SERVICE_COLD_US, VERSION, 0);
  ck_assert (!dy_cold_shares_allow (&one.shares, ENDPOINT, 0));
  one.place = known;
  ck_assert_int_gt (dy_cold_shares_share (&one.shares, ENDPOINT, 1), 0);
  dy_cold_shares_finish (&one.shares);
}
END_TEST

/* A cold endpoint counted as warm by a record from before it became cold, which a restored store
 * listed. */
START_TEST (record_of_a_restored_copy_does_not_end_the_cold_time)
{
  enum
  {
    REVISION = 10,
  };
  One one;
  one_init (&one);
  dy_cold_shares_put (&one.shares, ENDPOINT, START_MS, 9 * SECOND, dy_store_version (1, REVISION),
                      0);
  dy_cold_shares_put (&one.shares, ENDPOINT, START_MS, 0, dy_store_version (2, REVISION - 5),
                      SECOND);
  dy_cold_shares_put (&one.shares, ENDPOINT, START_MS, SECOND, dy_store_version (3, REVISION - 6),
                      SECOND);
  ck_assert (dy_cold_shares_is_cold (&one.shares, ENDPOINT, 3 * SECOND));
  /* What the endpoint writes since does. */
  dy_cold_shares_put (&one.shares, ENDPOINT, START_MS, 0, dy_store_version (3, REVISION - 4),
                      4 * SECOND);
  ck_assert (!dy_cold_shares_is_cold (&one.shares, ENDPOINT, 4 * SECOND));
  dy_cold_shares_finish (&one.shares);
}
END_TEST

START_TEST (share_of_the_load_rises_once_the_endpoint_is_warm)
{
  enum
  {
    N_PARTS = 5,
    N_ROUTERS = 90,
  };
  int n_open[N_PARTS + 1] = { 0 };
  for (int r = 0; r < N_ROUTERS; r++)
    {
      char name[8];
      DyColdPlace place = { .bound = BOUND, .n_routers = N_ROUTERS, .rank = (uint32_t) r };
      DyColdShares shares;
      g_snprintf (name, sizeof name, "r%d", r);
      dy_cold_shares_init (&shares, fixed_place, &place, name, LEARN_US, -10 * SECOND);
      dy_cold_shares_put (&shares, ENDPOINT, START_MS, SECOND, VERSION, 0);
      for (int64_t t = 0; t < DY_COLD_RAMP_US * (N_PARTS + 1) / N_PARTS; t += STEP_US)
        n_open[t * N_PARTS / DY_COLD_RAMP_US]
            += dy_cold_shares_allow (&shares, ENDPOINT, SECOND + t);
      dy_cold_shares_finish (&shares);
    }
  int n_all = N_ROUTERS * DY_COLD_RAMP_US / STEP_US / N_PARTS;
  for (int i = 0; i < N_PARTS; i++)
    {
      double part = 0.1 + 0.9 * (i + 0.5) / N_PARTS;
      ck_assert_msg (n_open[i] > (part - 0.05) * n_all && n_open[i] < (part + 0.05) * n_all,
                     "%d of %d in part %d", n_open[i], n_all, i);
    }
  ck_assert_int_eq (n_open[N_PARTS], n_all);
}
END_TEST

/* --- fleets --- */

typedef enum
{
  NOTHING,
  RESTART_ALL, /* three times */
  RESTART_IN_TURN,
  REMOVE_ONE, /* the first in the order dies and is removed from the list */
  JOIN,       /* a further router each 2 s, as many as there were */
  COLD_AGAIN, /* the endpoint, known to be warm, becomes cold */
} Event;

static const struct
{
  const char *name;
  uint32_t n_routers;
  bool hear;
  Event event;
} fleet_cases[] = {
  { "5 that hear each other", 5, true, NOTHING },
  { "9 that hear each other", 9, true, NOTHING },
  { "24 that hear each other", 24, true, NOTHING },
  { "90 that hear each other", 90, true, NOTHING },
  { "5 apart", 5, false, NOTHING },
  { "9 apart", 9, false, NOTHING },
  { "24 apart", 24, false, NOTHING },
  { "5 restarted", 5, true, RESTART_ALL },
  { "9 restarted", 9, true, RESTART_ALL },
  { "24 restarted", 24, true, RESTART_ALL },
  { "5 restarted in turn", 5, true, RESTART_IN_TURN },
  { "9 restarted in turn", 9, true, RESTART_IN_TURN },
  { "24 restarted in turn", 24, true, RESTART_IN_TURN },
  { "9 apart, restarted", 9, false, RESTART_ALL },
  { "24 apart, restarted in turn", 24, false, RESTART_IN_TURN },
  { "9, one removed", 9, true, REMOVE_ONE },
  { "24, one removed", 24, true, REMOVE_ONE },
  { "5 and 5 that join", 5, true, JOIN },
  { "9 and 9 that join, apart", 9, false, JOIN },
  { "24 of an endpoint that is cold again", 24, true, COLD_AGAIN },
  { "90 of an endpoint that is cold again", 90, true, COLD_AGAIN },
};

typedef struct Fleet Fleet;

typedef struct
{
  Fleet *fleet;
  char name[16];
  bool runs;
  bool listed;
  DyMembers members;
  DyResendShare parts;
  DyColdShares shares;
  int64_t next_list_us;
  int64_t next_heartbeat_us;
  int64_t learns_us; /* when it learns that the endpoint is cold again */
} Router;

typedef struct
{
  Router *router;
  uint32_t process; /* of the router, which has been restarted if it differs */
  int64_t due_us;
  bool reserved;
} Waiting;

struct Fleet
{
  Router routers[2 * 90];
  uint32_t process[2 * 90];
  uint32_t n_routers;
  bool hear;
  GRand *rng;
  GArray *waiting; /* of Waiting */
  GArray *sent_us;
  double per_s; /* requests that each router would send */
};

static DyColdPlace
place_of (void *ctx, const char *endpoint, int64_t now_us)
{
  Router *router = ctx;
  DyColdPlace place = { .bound = BOUND, .cold_us = SERVICE_COLD_US };
  dy_cold_set_rank (&place, &router->members, &router->parts, endpoint, now_us);
  return place;
}

static void
start_router (Fleet *fleet, uint32_t i, int64_t now_us, bool warm)
{
  Router *router = &fleet->routers[i];
  if (router->runs)
    {
      dy_cold_shares_finish (&router->shares);
      dy_resend_share_finish (&router->parts);
      dy_members_finish (&router->members);
    }
  router->fleet = fleet;
  g_snprintf (router->name, sizeof router->name, "r%u", i);
  router->runs = true;
  router->listed = true;
  fleet->process[i]++;
  dy_members_init (&router->members, router->name, SECOND);
  dy_resend_share_init (&router->parts, &router->members, DY_COLD_PARTS_WINDOW_US, LIST_LIMIT_US,
                        now_us);
  dy_cold_shares_init (&router->shares, place_of, router, router->name, LEARN_US, now_us);
  router->next_list_us = now_us + g_rand_int_range (fleet->rng, 0, SECOND / 2);
  router->next_heartbeat_us = now_us + g_rand_int_range (fleet->rng, 0, HEARTBEAT_US);
  router->learns_us = INT64_MAX;
  dy_cold_shares_put (&router->shares, ENDPOINT, START_MS,
                      warm ? 0 : SERVICE_COLD_US - MIN (now_us, SERVICE_COLD_US - 1), VERSION,
                      now_us);
}

static void
read_list (Router *router, int64_t now_us)
{
  Fleet *fleet = router->fleet;
  for (uint32_t i = 0; i < fleet->n_routers; i++)
    if (fleet->routers[i].listed)
      dy_members_put (&router->members, fleet->routers[i].name, "", "", false);
    else
      dy_members_remove (&router->members, fleet->routers[i].name, now_us);
  dy_resend_share_record_list (&router->parts, router->listed, now_us);
  router->next_list_us = now_us + LIST_US;
}

static void
send_heartbeats (Router *router, int64_t now_us)
{
  Fleet *fleet = router->fleet;
  router->next_heartbeat_us = now_us + HEARTBEAT_US;
  for (uint32_t i = 0; fleet->hear && i < fleet->n_routers; i++)
    {
      Router *other = &fleet->routers[i];
      if (other == router || !other->runs)
        continue;
      dy_members_record_seen (&other->members, router->name);
      dy_members_record_heartbeat (&other->members, router->name, 1, false, now_us);
      dy_resend_share_record_heartbeat (&other->parts, router->name, false, now_us);
    }
}

static void
choose (Router *router, int64_t now_us)
{
  Fleet *fleet = router->fleet;
  double p = fleet->per_s * STEP_US / SECOND;
  if (g_rand_double (fleet->rng) >= p || !dy_cold_shares_allow (&router->shares, ENDPOINT, now_us))
    return;
  /* One in five waits for a new connection. */
  Waiting waiting
      = { .router = router,
          .process = fleet->process[router - fleet->routers],
          .due_us = now_us
                    + (g_rand_int_range (fleet->rng, 0, 5)
                           ? 0
                           : g_rand_int_range (fleet->rng, 0, LONGEST_SEND_US)),
          .reserved = dy_cold_shares_reserve (&router->shares, ENDPOINT, START_MS, now_us) };
  g_array_append_val (fleet->waiting, waiting);
}

static void
send_due (Fleet *fleet, int64_t now_us)
{
  for (guint i = 0; i < fleet->waiting->len;)
    {
      Waiting waiting = g_array_index (fleet->waiting, Waiting, i);
      Router *router = waiting.router;
      if (now_us < waiting.due_us)
        {
          i++;
          continue;
        }
      g_array_remove_index_fast (fleet->waiting, i);
      if (!router->runs || waiting.process != fleet->process[router - fleet->routers])
        continue;
      if (waiting.reserved && g_rand_int_range (fleet->rng, 0, 10) == 0)
        dy_cold_shares_cancel (&router->shares, ENDPOINT, START_MS);
      else if (dy_cold_shares_send (&router->shares, ENDPOINT, START_MS, waiting.reserved, now_us))
        g_array_append_val (fleet->sent_us, now_us);
    }
}

static void
step (Fleet *fleet, int64_t now_us)
{
  for (uint32_t i = 0; i < fleet->n_routers; i++)
    {
      Router *router = &fleet->routers[i];
      if (!router->runs)
        continue;
      if (now_us >= router->next_list_us)
        read_list (router, now_us);
      if (now_us >= router->next_heartbeat_us)
        send_heartbeats (router, now_us);
      if (now_us >= router->learns_us)
        {
          dy_cold_shares_put (&router->shares, ENDPOINT, START_MS, SERVICE_COLD_US - SECOND / 2,
                              VERSION + 1, now_us);
          router->learns_us = INT64_MAX;
        }
      choose (router, now_us);
    }
  send_due (fleet, now_us);
}

/* Returns the most requests in any second from FROM_US on. */
static int
worst_second (const GArray *sent_us, int64_t from_us)
{
  int worst = 0;
  for (guint i = 0, k = 0; i < sent_us->len; i++)
    {
      while (g_array_index (sent_us, int64_t, i) - g_array_index (sent_us, int64_t, k) > SECOND)
        k++;
      if (g_array_index (sent_us, int64_t, i) >= from_us)
        worst = MAX (worst, (int) (i - k + 1));
    }
  return worst;
}

static int
count_between (const GArray *sent_us, int64_t from_us, int64_t to_us)
{
  int n = 0;
  for (guint i = 0; i < sent_us->len; i++)
    n += g_array_index (sent_us, int64_t, i) >= from_us
         && g_array_index (sent_us, int64_t, i) < to_us;
  return n;
}

/* The router that ranks first for the endpoint. */
static uint32_t
first_router (Fleet *fleet)
{
  uint32_t rank = 1;
  for (uint32_t i = 0; i < fleet->n_routers; i++)
    {
      dy_members_present (&fleet->routers[i].members, ENDPOINT, INT64_MIN, &rank);
      if (rank == 0)
        return i;
    }
  return 0;
}

static void
take_event (Fleet *fleet, Event event, uint32_t n_first, int64_t now_us)
{
  static const int64_t restarts_us[] = { 15 * SECOND, 16 * SECOND, 20 * SECOND };
  int64_t turn = (now_us - 15 * SECOND) / (SECOND / 2);
  bool is_turn = now_us >= 15 * SECOND && now_us % (SECOND / 2) == 0;
  if (event == RESTART_ALL)
    {
      for (size_t k = 0; k < G_N_ELEMENTS (restarts_us); k++)
        for (uint32_t i = 0; now_us == restarts_us[k] && i < fleet->n_routers; i++)
          start_router (fleet, i, now_us, false);
    }
  else if (event == RESTART_IN_TURN && is_turn && turn < n_first)
    start_router (fleet, (uint32_t) turn, now_us, false);
  else if (event == JOIN && is_turn && turn % 4 == 0 && fleet->n_routers < 2 * n_first)
    start_router (fleet, fleet->n_routers++, now_us, false);
  else if (event == REMOVE_ONE && now_us == 15 * SECOND)
    {
      Router *first = &fleet->routers[first_router (fleet)];
      first->runs = false;
      first->listed = false;
    }
  else if (event == COLD_AGAIN && now_us == 15 * SECOND)
    for (uint32_t i = 0; i < fleet->n_routers; i++)
      fleet->routers[i].learns_us
          = now_us + g_rand_int_range (fleet->rng, 200 * MS, LEARN_US - 500 * MS);
}

START_TEST (fleet_keeps_the_bound_and_uses_it)
{
  enum
  {
    RUN_US = 58 * SECOND, /* the endpoint is cold all the time */
    SETTLED_US = 40 * SECOND,
  };
  static const double PER_ROUTER = 6.0; /* 482 requests in a second for 90 routers */
  static const double WARM_PER_S = 12.0;
  Fleet *fleet = g_new0 (Fleet, 1);
  uint32_t n_first = fleet_cases[_i].n_routers;
  bool warm = fleet_cases[_i].event == COLD_AGAIN;
  fleet->hear = fleet_cases[_i].hear;
  fleet->rng = g_rand_new_with_seed ((guint32) _i + 1);
  fleet->waiting = g_array_new (FALSE, FALSE, sizeof (Waiting));
  fleet->sent_us = g_array_new (FALSE, FALSE, sizeof (int64_t));
  for (uint32_t i = 0; i < n_first; i++)
    start_router (fleet, i, 0, warm);
  fleet->n_routers = n_first;
  for (int64_t now_us = 0; now_us < RUN_US; now_us += STEP_US)
    {
      bool prediction = warm && now_us < 18 * SECOND;
      fleet->per_s = prediction ? WARM_PER_S / n_first : MAX (PER_ROUTER, 40.0 / n_first);
      take_event (fleet, fleet_cases[_i].event, n_first, now_us);
      step (fleet, now_us);
    }
  /* Until they learn that it is cold, routers send it its share of the load. */
  int64_t from_us = warm ? 15 * SECOND + LEARN_US : 0;
  int worst = worst_second (fleet->sent_us, from_us);
  int busiest = worst_second (fleet->sent_us, SETTLED_US);
  double mean = (double) count_between (fleet->sent_us, SETTLED_US, RUN_US) * SECOND
                / (RUN_US - SETTLED_US);
  fprintf (stderr, "%s: %d in the worst second, allowed %d; at the end %d, %.1f in the mean\n",
           fleet_cases[_i].name, worst, BOUND, busiest, mean);
  ck_assert_msg (worst <= BOUND, "%s: %d", fleet_cases[_i].name, worst);
  ck_assert_msg (busiest >= USED_FRACTION * BOUND, "%s: %d", fleet_cases[_i].name, busiest);
  ck_assert_msg (!fleet->hear || mean >= USED_FRACTION * BOUND, "%s: mean of %.1f",
                 fleet_cases[_i].name, mean);
  for (uint32_t i = 0; i < fleet->n_routers; i++)
    {
      dy_cold_shares_finish (&fleet->routers[i].shares);
      dy_resend_share_finish (&fleet->routers[i].parts);
      dy_members_finish (&fleet->routers[i].members);
    }
  g_array_unref (fleet->waiting);
  g_array_unref (fleet->sent_us);
  g_rand_free (fleet->rng);
  g_free (fleet);
}
END_TEST

int
main (void)
{
  TCase *tcase = tcase_create ("cold_share");
  tcase_set_timeout (tcase, 60);
  tcase_add_test (tcase, bound_is_overage_and_slack);
  tcase_add_test (tcase, shares_keep_the_bound_whatever_others_each_router_counts);
  tcase_add_test (tcase, window_starts_full_and_a_reserved_place_counts_until_it_is_sent);
  tcase_add_test (tcase, request_without_a_place_is_not_sent_once_the_endpoint_is_cold);
  tcase_add_loop_test (tcase, endpoint_is_cold_until_its_record_says_otherwise, 0,
                       G_N_ELEMENTS (cold_cases));
  tcase_add_test (tcase, share_is_computed_as_soon_as_the_service_is_known);
  tcase_add_test (tcase, record_of_a_restored_copy_does_not_end_the_cold_time);
  tcase_add_test (tcase, share_of_the_load_rises_once_the_endpoint_is_warm);
  tcase_add_loop_test (tcase, fleet_keeps_the_bound_and_uses_it, 0, G_N_ELEMENTS (fleet_cases));
  return suite_run ("cold_share", tcase);
}
