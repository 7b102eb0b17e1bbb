/* Each router's part of the slack of the resend budget, in virtual time: routers that resend
 * whenever they may, in fleets that start, restart, leave, join and hear little of each other. */

#include "support/suite.h"

#include "core/resend.h"
#include "core/resend_share.h"

#include <string.h>

enum
{
  MS = 1000, /* microseconds */
  STEP_MS = 100,
  WINDOW_MS = 10000,
  LIST_IDLE_MS = 15000,
  LIST_LIMIT_MS = 20000,
  TICK_MS = 300, /* between updates of what heartbeats say */
  RUN_MS = 120000,
  N_STEPS = RUN_MS / STEP_MS,
  N_LAST_STEPS = WINDOW_MS / STEP_MS, /* all routers may resend at the same time, once in them */
  MAX_ROUTERS = 16,
  SLACK = 50,
};

static const double USED_FRACTION = 0.8;

typedef enum
{
  HEARS_ALL,
  HEARS_NONE,
  HEARS_HALF, /* those of the same half of the numbers */
} Hearing;

typedef enum
{
  NOTHING,
  KILL_ALL,         /* and start them again, three times */
  RESTART_ONE,      /* in turn */
  STOP_ONE,         /* in turn, all but one */
  START_ONE,        /* in turn, further ones */
  START_REST,       /* at once, up to MAX_ROUTERS */
  CUT_AND_START,    /* the store is cut off for the first ones, and further ones start */
  LOSE_RECORDS,     /* the store loses those of the second half, which are written again in 5 s */
  STORE_IS_AWAY,    /* for good */
  RESTORE_AND_JOIN, /* all records are lost, and written again in 5 s, and a router starts */
  RESTORE_AND_RESTART, /* the same, and the first one is killed and starts again */
  JOIN_AND_RESTORE,    /* routers 4 and on join; 1 s later the store is away for 9 s and has lost
                          their records, which are written again at once */
  HEARD_AND_RESTART, /* r1 hears r0 before it is listed; then r0 restarts, and they do not hear each
                        other any more */
} Event;

typedef struct
{
  const char *name;
  uint32_t n_routers;
  Hearing hearing;
  Event event;
  int64_t at_ms;       /* of the first event */
  int64_t interval_ms; /* between events */
  bool all_used;       /* the whole slack is used in a window at the end */
} FleetCase;

static const FleetCase cases[] = {
  { "calm, one", 1, HEARS_ALL, NOTHING, 0, 0, true },
  { "calm", 5, HEARS_ALL, NOTHING, 0, 0, true },
  { "calm, many", 16, HEARS_ALL, NOTHING, 0, 0, true },
  { "unheard", 5, HEARS_NONE, NOTHING, 0, 0, true },
  { "unheard, many", 16, HEARS_NONE, NOTHING, 0, 0, true },
  { "two parts", 8, HEARS_HALF, NOTHING, 0, 0, true },
  { "all killed, new", 5, HEARS_ALL, KILL_ALL, 2000, 3000, true },
  { "all killed", 5, HEARS_ALL, KILL_ALL, 50000, 3000, true },
  { "all killed, far apart", 9, HEARS_ALL, KILL_ALL, 50000, 10500, true },
  { "all killed, unheard", 9, HEARS_NONE, KILL_ALL, 50000, 3000, true },
  { "restarted in turn", 9, HEARS_ALL, RESTART_ONE, 30000, 1400, true },
  { "restarted in turn, slowly", 9, HEARS_ALL, RESTART_ONE, 30000, 7000, false },
  { "restarted in turn, unheard", 9, HEARS_NONE, RESTART_ONE, 50000, 1400, false },
  { "leaving in turn", 9, HEARS_ALL, STOP_ONE, 30000, 1400, false },
  { "leaving in turn, unheard", 9, HEARS_NONE, STOP_ONE, 50000, 1400, false },
  { "started in turn", 1, HEARS_ALL, START_ONE, 700, 700, true },
  { "started in turn, slowly", 1, HEARS_ALL, START_ONE, 12000, 5000, true },
  { "started in turn, unheard", 1, HEARS_NONE, START_ONE, 700, 700, true },
  { "started in turn, unheard, slowly", 1, HEARS_NONE, START_ONE, 12000, 5000, false },
  { "a few join", 12, HEARS_ALL, START_REST, 50000, 0, true },
  { "many join", 4, HEARS_ALL, START_REST, 50000, 0, true },
  { "many join one", 1, HEARS_ALL, START_REST, 50000, 0, true },
  { "many join, unheard", 4, HEARS_NONE, START_REST, 50000, 0, true },
  { "many join, two parts", 4, HEARS_HALF, START_REST, 50000, 0, true },
  { "joined, lists are old, unheard", 4, HEARS_NONE, CUT_AND_START, 50000, 0, false },
  { "joined, lists are old", 4, HEARS_ALL, CUT_AND_START, 50000, 0, false },
  { "records lost", 8, HEARS_ALL, LOSE_RECORDS, 50000, 0, true },
  { "records lost, unheard", 8, HEARS_NONE, LOSE_RECORDS, 50000, 0, true },
  { "store away", 5, HEARS_ALL, STORE_IS_AWAY, 50000, 0, false },
  { "heard before it is listed", 1, HEARS_ALL, HEARD_AND_RESTART, 50000, 500, false },
};

typedef struct
{
  char name[8];
  bool runs;
  bool is_registered;
  bool is_cut; /* from the store */
  int64_t next_read_ms;
  uint32_t within_of; /* as in services/peers/peers.h */
  DyMembers members;
  DyResendShare share;
  DyResendBudget budget;
} Router;

typedef struct
{
  Router routers[MAX_ROUTERS];
  uint32_t n_started; /* routers that ran at any time */
  bool has_record[MAX_ROUTERS];
  int64_t lost_ms; /* when records were lost; 0: they were not */
  Hearing hearing;
  uint32_t n_events;
  uint32_t resends[N_STEPS];
} SimFleet;

static void
stop (Router *router)
{
  if (!router->runs)
    return;
  dy_resend_share_finish (&router->share);
  dy_resend_budget_finish (&router->budget);
  dy_members_finish (&router->members);
  router->runs = false;
}

static void
start (SimFleet *fleet, uint32_t i, int64_t now_ms)
{
  Router *router = &fleet->routers[i];
  stop (router);
  memset (router, 0, sizeof *router);
  g_snprintf (router->name, sizeof router->name, "r%u", i);
  dy_members_init (&router->members, router->name, 1000 * MS);
  dy_resend_share_init (&router->share, &router->members, WINDOW_MS * MS, LIST_LIMIT_MS * MS,
                        now_ms * MS);
  dy_resend_budget_init (&router->budget, 0.0, SLACK, WINDOW_MS * MS);
  router->runs = true;
  router->next_read_ms = now_ms;
  fleet->n_started = MAX (fleet->n_started, i + 1);
}

static bool
hears (const SimFleet *fleet, uint32_t i, uint32_t k)
{
  if (fleet->hearing == HEARS_HALF)
    return i % 2 == k % 2;
  return fleet->hearing == HEARS_ALL;
}

static void
happen (SimFleet *fleet, Event event, int64_t now_ms)
{
  uint32_t n = fleet->n_events++;
  uint32_t n_before = fleet->n_started;
  switch (event)
    {
    case NOTHING:
      break;
    case KILL_ALL:
      for (uint32_t i = 0; n < 3 && i < n_before; i++)
        start (fleet, i, now_ms);
      break;
    case RESTART_ONE:
      if (n < 2 * n_before)
        start (fleet, n % n_before, now_ms);
      break;
    case STOP_ONE:
      if (n + 1 < n_before)
        stop (&fleet->routers[n]);
      break;
    case START_ONE:
      if (n_before < MAX_ROUTERS)
        start (fleet, n_before, now_ms);
      break;
    case START_REST:
    case CUT_AND_START:
      for (uint32_t i = 0; event == CUT_AND_START && i < n_before; i++)
        fleet->routers[i].is_cut = true;
      for (uint32_t i = n_before; i < MAX_ROUTERS; i++)
        start (fleet, i, now_ms);
      break;
    case LOSE_RECORDS:
      fleet->lost_ms = now_ms;
      for (uint32_t i = n_before / 2; i < n_before; i++)
        fleet->has_record[i] = false;
      break;
    case STORE_IS_AWAY:
      for (uint32_t i = 0; i < n_before; i++)
        fleet->routers[i].is_cut = true;
      break;
    case RESTORE_AND_JOIN:
    case RESTORE_AND_RESTART:
      fleet->lost_ms = now_ms;
      for (uint32_t i = 0; i < n_before; i++)
        fleet->has_record[i] = false;
      start (fleet, event == RESTORE_AND_JOIN ? n_before : 0, now_ms);
      break;
    case JOIN_AND_RESTORE:
      for (uint32_t i = 4; n == 0 && i < 8; i++)
        start (fleet, i, now_ms);
      for (uint32_t i = 0; n == 1 && i < n_before; i++)
        {
          fleet->lost_ms = now_ms;
          fleet->routers[i].is_cut = true;
          fleet->has_record[i] = i < 4;
        }
      for (uint32_t i = 0; n == 10 && i < n_before; i++)
        fleet->routers[i].is_cut = false;
      break;
    case HEARD_AND_RESTART:
      if (n == 0)
        start (fleet, 1, now_ms);
      if (n <= 3)
        fleet->routers[1].is_cut = n < 3;
      if (n == 2)
        {
          fleet->hearing = HEARS_NONE;
          start (fleet, 0, now_ms);
        }
      break;
    }
}

static void
use_store (SimFleet *fleet, uint32_t i, int64_t now_ms)
{
  Router *router = &fleet->routers[i];
  if (router->is_cut)
    return;
  if (!router->is_registered)
    router->share.is_first = !fleet->has_record[i] && fleet->lost_ms == 0;
  if (!router->is_registered || (fleet->lost_ms && now_ms - fleet->lost_ms >= 5000))
    fleet->has_record[i] = true;
  router->is_registered = true;
  if (now_ms < router->next_read_ms)
    return;
  for (uint32_t k = 0; k < MAX_ROUTERS; k++)
    if (fleet->has_record[k])
      dy_members_put (&router->members, fleet->routers[k].name, "127.0.0.1:1", "dc-a", false);
  dy_resend_share_record_list (&router->share, fleet->has_record[i], now_ms * MS);
  router->next_read_ms = now_ms + LIST_IDLE_MS;
}

static void
exchange_heartbeats (SimFleet *fleet, int64_t now_ms)
{
  for (uint32_t i = 0; i < fleet->n_started; i++)
    for (uint32_t k = 0; k < fleet->n_started; k++)
      {
        Router *to = &fleet->routers[i];
        Router *from = &fleet->routers[k];
        if (i == k || !to->runs || !from->runs || !hears (fleet, i, k))
          continue;
        dy_members_record_seen (&from->members, to->name);
        dy_members_record_seen (&to->members, from->name);
        bool within = from->within_of == dy_members_possible_count (&from->members)
                      && dy_resend_share_knows_own (&from->share, now_ms * MS);
        dy_resend_share_record_heartbeat (&to->share, from->name, within, now_ms * MS);
      }
}

static uint32_t
resend (Router *router, int64_t now_us)
{
  uint32_t n = 0;
  uint32_t n_parts = dy_resend_share_parts (&router->share, now_us);
  for (; dy_resend_budget_allows (&router->budget, "app", n_parts, now_us); n++)
    dy_resend_budget_record_resend (&router->budget, "app", now_us);
  return n;
}

static void
update_within (Router *router, int64_t now_us)
{
  uint32_t n = dy_members_possible_count (&router->members);
  router->within_of = dy_resend_budget_is_within (&router->budget, n, now_us) ? n : 0;
}

static uint32_t
resends_until (const SimFleet *fleet, int end)
{
  uint32_t n = 0;
  for (int i = MAX (end - WINDOW_MS / STEP_MS, 0); i < end; i++)
    n += fleet->resends[i];
  return n;
}

static void
check_fleet (const FleetCase *fleet_case)
{
  SimFleet *fleet = g_new0 (SimFleet, 1);
  uint32_t worst = 0;
  fleet->hearing = fleet_case->hearing;
  for (uint32_t i = 0; i < fleet_case->n_routers; i++)
    start (fleet, i, 0);
  for (int step = 0; step < N_STEPS; step++)
    {
      int64_t now_ms = (int64_t) step * STEP_MS;
      int64_t since_ms = now_ms - fleet_case->at_ms;
      if (since_ms >= 0 && (fleet->n_events == 0 || fleet_case->interval_ms > 0)
          && since_ms >= fleet->n_events * fleet_case->interval_ms)
        happen (fleet, fleet_case->event, now_ms);
      for (uint32_t i = 0; i < fleet->n_started; i++)
        if (fleet->routers[i].runs)
          use_store (fleet, i, now_ms);
      exchange_heartbeats (fleet, now_ms);
      for (uint32_t i = 0; i < fleet->n_started; i++)
        {
          Router *router = &fleet->routers[i];
          if (!router->runs)
            continue;
          fleet->resends[step] += resend (router, now_ms * MS);
          if (now_ms % TICK_MS == 0)
            update_within (router, now_ms * MS);
        }
      worst = MAX (worst, resends_until (fleet, step + 1));
    }
  uint32_t last = 0;
  for (int step = N_STEPS - N_LAST_STEPS; step <= N_STEPS; step++)
    last = MAX (last, resends_until (fleet, step));
  ck_assert_msg (worst <= SLACK, "%s: %u resends in a window", fleet_case->name, worst);
  if (fleet_case->all_used)
    ck_assert_msg (last + fleet->n_started >= USED_FRACTION * SLACK,
                   "%s: %u resends in the last windows", fleet_case->name, last);
  for (uint32_t i = 0; i < fleet->n_started; i++)
    stop (&fleet->routers[i]);
  g_free (fleet);
}

START_TEST (parts_of_the_slack_are_never_more_than_the_slack)
{
  check_fleet (&cases[_i]);
}
END_TEST

/* The copy that the store is restored from lacks records of routers that some do not hear. */
static const FleetCase restored_cases[]
    = { { "one joins, unheard", 5, HEARS_NONE, RESTORE_AND_JOIN, 50000, 0, false },
        { "one restarts, unheard", 5, HEARS_NONE, RESTORE_AND_RESTART, 50000, 0, false },
        { "some have joined, unheard", 4, HEARS_NONE, JOIN_AND_RESTORE, 50000, 1000, false } };

START_TEST (parts_of_the_slack_hold_after_a_restore)
{
  check_fleet (&restored_cases[_i]);
}
END_TEST

/* Processes of one router, each started as the one before it is killed. */
static const struct
{
  const char *name;
  int64_t refused_ms; /* until then, nothing is sent again */
  int64_t at_ms;      /* of the first restart */
  int64_t interval_ms;
  uint32_t n_restarts;
} restart_cases[] = { { "none", 10000, 0, 0, 0 },
                      { "as requests begin to be refused", 20000, 20100, 0, 1 },
                      { "a little later", 20000, 22000, 0, 1 },
                      { "often", 20000, 20100, 1700, 5 },
                      { "often, for long", 20000, 20100, 3000, 30 },
                      { "half a window apart", 20000, 25000, 5000, 15 },
                      { "a window apart", 20000, 20100, 10000, 8 },
                      { "over a window apart", 20000, 20100, 10300, 8 },
                      { "two windows apart", 20000, 20100, 20000, 4 } };

START_TEST (resends_in_proportion_stay_within_the_bound_over_restarts)
{
  enum
  {
    N_REQUESTS = 10, /* in a step */
  };
  static const double RATIO = 0.2;
  SimFleet *fleet = g_new0 (SimFleet, 1);
  Router *router = &fleet->routers[0];
  uint32_t worst = 0;
  start (fleet, 0, 0);
  for (int step = 0; step < N_STEPS; step++)
    {
      int64_t now_ms = (int64_t) step * STEP_MS;
      if (fleet->n_events < restart_cases[_i].n_restarts
          && now_ms >= restart_cases[_i].at_ms + fleet->n_events * restart_cases[_i].interval_ms)
        {
          fleet->n_events++;
          start (fleet, 0, now_ms);
        }
      router->budget.ratio = RATIO;
      for (int i = 0; i < N_REQUESTS; i++)
        dy_resend_budget_record_request (&router->budget, "app", now_ms * MS);
      if (now_ms >= restart_cases[_i].refused_ms)
        fleet->resends[step] = resend (router, now_ms * MS);
      worst = MAX (worst, resends_until (fleet, step + 1));
    }
  ck_assert_msg (worst <= RATIO * N_REQUESTS * WINDOW_MS / STEP_MS, "%s: %u resends in a window",
                 restart_cases[_i].name, worst);
  stop (router);
  g_free (fleet);
}
END_TEST

/* Requests move from the first router to the second one. */
static const struct
{
  const char *name;
  int64_t refused_ms; /* from when on endpoints refuse */
  int64_t moved_ms;
  int n_moved; /* of the requests in a step */
} move_cases[] = { { "all, as endpoints begin to refuse", 30000, 30100, 10 },
                   { "half", 30000, 30100, 5 },
                   { "all, later", 30000, 33000, 10 },
                   { "all, as the window ends", 30000, 39900, 10 },
                   { "few", 30000, 30100, 1 } };

START_TEST (resends_in_proportion_follow_requests_that_move)
{
  enum
  {
    N_REQUESTS = 10, /* in a step */
  };
  static const double RATIO = 0.2;
  SimFleet *fleet = g_new0 (SimFleet, 1);
  uint32_t worst = 0;
  uint32_t n_all = 0;
  for (uint32_t i = 0; i < 2; i++)
    start (fleet, i, 0);
  for (int step = 0; step < N_STEPS; step++)
    {
      int64_t now_ms = (int64_t) step * STEP_MS;
      int n_second = now_ms >= move_cases[_i].moved_ms ? move_cases[_i].n_moved : 0;
      for (uint32_t i = 0; i < 2; i++)
        {
          Router *router = &fleet->routers[i];
          router->budget.ratio = RATIO;
          for (int k = 0; k < (i == 1 ? n_second : N_REQUESTS - n_second); k++)
            dy_resend_budget_record_request (&router->budget, "app", now_ms * MS);
          if (now_ms >= move_cases[_i].refused_ms)
            fleet->resends[step] += resend (router, now_ms * MS);
        }
      n_all += fleet->resends[step];
      worst = MAX (worst, resends_until (fleet, step + 1));
    }
  double allowed = RATIO * N_REQUESTS * WINDOW_MS / STEP_MS;
  double n_refused = (double) N_REQUESTS * (RUN_MS - move_cases[_i].refused_ms) / STEP_MS;
  ck_assert_msg (worst <= allowed, "%s: %u resends in a window", move_cases[_i].name, worst);
  ck_assert_msg (n_all + 2 >= USED_FRACTION * RATIO * n_refused, "%s: %u resends in all",
                 move_cases[_i].name, n_all);
  for (uint32_t i = 0; i < 2; i++)
    stop (&fleet->routers[i]);
  g_free (fleet);
}
END_TEST

int
main (void)
{
  TCase *tcase = tcase_create ("resend_share");
  tcase_add_loop_test (tcase, parts_of_the_slack_are_never_more_than_the_slack, 0,
                       G_N_ELEMENTS (cases));
  tcase_add_loop_test (tcase, resends_in_proportion_stay_within_the_bound_over_restarts, 0,
                       G_N_ELEMENTS (restart_cases));
  tcase_add_loop_test (tcase, parts_of_the_slack_hold_after_a_restore, 0,
                       G_N_ELEMENTS (restored_cases));
  tcase_add_loop_test (tcase, resends_in_proportion_follow_requests_that_move, 0,
                       G_N_ELEMENTS (move_cases));
  return suite_run ("resend_share", tcase);
}
