/* Relays of routers that are cut off from all endpoints, while routers stop: real router
 * processes. */

#include "support/suite.h"
#include "support/traffic.h"

#include <signal.h>
#include <string.h>

enum
{
  N_ROUTERS = 5,
  N_CUT = 2, /* the first routers */
  SOUND = 4, /* a router that reaches the endpoints */
  INTERVAL_MS = 20,
  CALM_MS = 1500,
  BEFORE_MS = 500, /* from the first request to the stop */
  GRACE_MS = 8000, /* as support/site.h sets it */
  MIN_ANSWERED = 50,
  PREPAID = 10000000,
};

static const struct
{
  const char *name;
  bool asking;      /* router 0 stops */
  bool asked;       /* router SOUND stops */
  int64_t after_ms; /* for which requests come after the stop */
} cases[] = { { "the router that is asked stops", false, true, GRACE_MS + 500 },
              { "the router that asks stops", true, false, 2500 },
              { "both stop", true, true, 2500 } };

typedef struct
{
  Site site;
  int i; /* of the case */
  bool suspended;
  ev_timer timer;
  size_t printed[N_ROUTERS]; /* bytes up to the stop */
} Scene;

static void
on_stop (struct ev_loop *loop, ev_timer *w, int events)
{
  Scene *scene = w->data;
  (void) loop;
  (void) events;
  for (uint32_t i = 0; i < N_ROUTERS; i++)
    scene->printed[i] = scene->site.router_process[i].output->len;
  if (cases[scene->i].asked)
    fleet_signal (&scene->site.router_process[SOUND], SIGTERM);
  if (cases[scene->i].asking)
    fleet_signal (&scene->site.router_process[0], SIGTERM);
}

/* Returns the number of lines with A and B that router I has printed after the first one with
 * "drain started" or, if there is none, after the stop of others. */
static uint32_t
count_since_stop (const Scene *scene, uint32_t i, const char *a, const char *b)
{
  const char *text = scene->site.router_process[i].output->str + scene->printed[i];
  const char *stop = strstr (text, "drain started");
  char **lines = g_strsplit (stop ? stop : text, "\n", -1);
  uint32_t n = 0;
  for (char **line = lines; *line; line++)
    n += strstr (*line, a) && strstr (*line, b);
  g_strfreev (lines);
  return n;
}

/* New relays kept a router that stopped until its grace was over, and what was open then was cut.
 */
START_TEST (a_router_that_stops_is_given_no_relays_and_ends_those_it_has)
{
  const TrafficStream streams[] = { { "/s1/x/paced", "c1:4,", INTERVAL_MS, 0, N_CUT },
                                    { "/once/x/ok", "", INTERVAL_MS, 0, N_CUT } };
  TrafficResult results[G_N_ELEMENTS (streams)];
  Scene *scene = g_new0 (Scene, 1);
  Site *site = &scene->site;
  scene->i = _i;
  ck_assert (site_init_large (site, N_ROUTERS, SITE_MAX_WORKERS, PREPAID));
  for (uint32_t i = 0; i < N_CUT; i++)
    site_cut_router (site, i, RELAY_CUT_RESET);
  traffic_run (site, streams, results, G_N_ELEMENTS (streams), CALM_MS);
  ev_now_update (site->fleet.loop);
  ev_timer_init (&scene->timer, on_stop, BEFORE_MS / 1e3, 0.0);
  scene->timer.data = scene;
  ev_timer_start (site->fleet.loop, &scene->timer);
  traffic_run (site, streams, results, G_N_ELEMENTS (streams), BEFORE_MS + cases[_i].after_ms);
  for (uint32_t i = 0; i < N_CUT; i++)
    {
      uint32_t n = count_since_stop (scene, i, "request ended", "");
      uint32_t n_answered = count_since_stop (scene, i, "request ended", "outcome=answered");
      ck_assert_msg (n_answered == n && (n > MIN_ANSWERED || (i == 0 && cases[_i].asking)),
                     "%s: router %u answered %u of %u", cases[_i].name, i, n_answered, n);
    }
  if (cases[_i].asked)
    {
      uint32_t n = count_since_stop (scene, SOUND, "relayed request sent to endpoint", "");
      ck_assert_msg (n == 0, "%s: %u new relays", cases[_i].name, n);
      ck_assert_msg (site->router_process[SOUND].pid == 0, "%s: it runs on", cases[_i].name);
    }
  site_finish (site);
  g_free (scene);
}
END_TEST

/* Routers of a site of three, of which the first is cut off. The others are suspended as they get
 * SIGTERM, so they are asked before anyone can know of the stop. */
static const struct
{
  const char *name;
  uint32_t n_stopped; /* of the other two */
} asked_cases[] = { { "one router is left to ask", 1 }, { "no router is left to ask", 2 } };

static void
on_suspended_stop (struct ev_loop *loop, ev_timer *w, int events)
{
  enum
  {
    WAIT_MS = 100, /* time in which requests come, less than links need to be taken for lost */
  };
  Scene *scene = w->data;
  Site *site = &scene->site;
  (void) events;
  for (uint32_t i = 1; i <= asked_cases[scene->i].n_stopped; i++)
    {
      fleet_signal (&site->router_process[i], scene->suspended ? SIGCONT : SIGSTOP);
      if (!scene->suspended)
        fleet_signal (&site->router_process[i], SIGTERM);
    }
  if (scene->suspended)
    return;
  scene->suspended = true;
  scene->printed[0] = site->router_process[0].output->len;
  ev_timer_set (w, WAIT_MS / 1e3, 0.0);
  ev_timer_start (loop, w);
}

/* A relay refused by a stopping router is placed elsewhere, or its request is refused as not run.
 */
START_TEST (a_relay_that_a_stopping_router_is_asked_for_goes_elsewhere)
{
  const TrafficStream streams[] = { { "/s1/x/paced", "c1:4,", INTERVAL_MS, 0, 1 },
                                    { "/once/x/ok", "", INTERVAL_MS / 2, 0, 1 } };
  TrafficResult results[G_N_ELEMENTS (streams)];
  Scene *scene = g_new0 (Scene, 1);
  Site *site = &scene->site;
  scene->i = _i;
  ck_assert (site_init_large (site, 3, SITE_MAX_WORKERS, PREPAID));
  site_cut_router (site, 0, RELAY_CUT_RESET);
  traffic_run (site, streams, results, G_N_ELEMENTS (streams), CALM_MS);
  ev_now_update (site->fleet.loop);
  ev_timer_init (&scene->timer, on_suspended_stop, BEFORE_MS / 1e3, 0.0);
  scene->timer.data = scene;
  ev_timer_start (site->fleet.loop, &scene->timer);
  traffic_run (site, streams, results, G_N_ELEMENTS (streams), 3 * BEFORE_MS);
  uint32_t n = count_since_stop (scene, 0, "request ended", "");
  uint32_t n_answered = count_since_stop (scene, 0, "request ended", "outcome=answered");
  uint32_t n_unrun = count_since_stop (scene, 0, "outcome=no_endpoint", "started=0");
  uint32_t n_asked = site_count_output (site, 1, "reason=stops");
  ck_assert_msg (n_answered + n_unrun == n && n > MIN_ANSWERED, "%s: %u and %u of %u",
                 asked_cases[_i].name, n_answered, n_unrun, n);
  if (asked_cases[_i].n_stopped == 1)
    ck_assert_msg (n_unrun == 0 && n_asked > 0, "%s: %u refused, %u asked", asked_cases[_i].name,
                   n_unrun, n_asked);
  site_finish (site);
  g_free (scene);
}
END_TEST

int
main (void)
{
  enum
  {
    TIMEOUT_S = 60,
  };
  TCase *tcase = tcase_create ("stopping_relays");
  tcase_set_timeout (tcase, TIMEOUT_S);
  tcase_add_loop_test (tcase, a_router_that_stops_is_given_no_relays_and_ends_those_it_has, 0,
                       (int) G_N_ELEMENTS (cases));
  tcase_add_loop_test (tcase, a_relay_that_a_stopping_router_is_asked_for_goes_elsewhere, 0,
                       (int) G_N_ELEMENTS (asked_cases));
  return suite_run ("stopping_relays", tcase);
}
