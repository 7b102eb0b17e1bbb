/* Callers while all endpoints are silent at once and go on: real router processes. */

#include "support/suite.h"
#include "support/traffic.h"

#include <signal.h>

enum
{
  INTERVAL_MS = 40,
  CALM_MS = 1000,
  BEFORE_MS = 200, /* from the first request to the silence */
  PREPAID = 10000000,
};

static const struct
{
  uint32_t n_routers;
  uint32_t n_cut; /* from all endpoints, before the silence and in it */
  int64_t silence_ms;
} cases[] = { { 1, 0, 1200 }, { 1, 0, 2400 }, { 4, 0, 1200 },
              { 4, 0, 2400 }, { 4, 1, 1200 }, { 4, 1, 2400 } };

static void
signal_workers (const Site *site, int number)
{
  for (uint32_t i = 0; i < site->n_workers; i++)
    kill (site->worker_process[i].pid, number);
}

static void
on_silence (struct ev_loop *loop, ev_timer *w, int events)
{
  (void) loop;
  (void) events;
  signal_workers (w->data, SIGSTOP);
}

static void
on_speech (struct ev_loop *loop, ev_timer *w, int events)
{
  (void) loop;
  (void) events;
  signal_workers (w->data, SIGCONT);
}

/* Requests were refused as no_endpoint, as routers took themselves for cut off. */
START_TEST (no_request_is_refused_for_a_silence_of_all_endpoints)
{
  const TrafficStream streams[] = { { "/s/x/stream", "a1:4,", INTERVAL_MS, 0, 0 },
                                    { "/once/x/ok", "", INTERVAL_MS, 0, 0 },
                                    { "/ok/x/ok", "", INTERVAL_MS, 0, 0 } };
  TrafficResult results[G_N_ELEMENTS (streams)];
  ev_timer silence;
  ev_timer speech;
  int64_t silence_ms = cases[_i].silence_ms;
  uint32_t n_refused = 0;
  Site site;
  ck_assert (site_init_large (&site, cases[_i].n_routers, SITE_N_WORKERS, PREPAID));
  for (uint32_t i = 0; i < cases[_i].n_cut; i++)
    site_cut_router (&site, i, RELAY_CUT_RESET);
  traffic_run (&site, streams, results, G_N_ELEMENTS (streams), CALM_MS);
  for (uint32_t i = 0; i < site.n_routers; i++)
    n_refused -= site_count_output (&site, i, "outcome=no_endpoint");
  ev_timer_init (&silence, on_silence, BEFORE_MS / 1e3, 0.0);
  ev_timer_init (&speech, on_speech, (double) (BEFORE_MS + silence_ms) / 1e3, 0.0);
  silence.data = speech.data = &site;
  ev_now_update (site.fleet.loop);
  ev_timer_start (site.fleet.loop, &silence);
  ev_timer_start (site.fleet.loop, &speech);
  traffic_run (&site, streams, results, G_N_ELEMENTS (streams), BEFORE_MS + silence_ms);
  for (uint32_t i = 0; i < site.n_routers; i++)
    n_refused += site_count_output (&site, i, "outcome=no_endpoint");
  ck_assert_msg (n_refused == 0, "%u requests refused as no_endpoint", n_refused);
  for (size_t i = 0; i < G_N_ELEMENTS (streams); i++)
    ck_assert_msg (results[i].n_served == results[i].n_sent, "stream %zu: %u of %u served", i,
                   results[i].n_served, results[i].n_sent);
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
  TCase *tcase = tcase_create ("silent_fleet");
  tcase_set_timeout (tcase, TIMEOUT_S);
  tcase_add_loop_test (tcase, no_request_is_refused_for_a_silence_of_all_endpoints, 0,
                       G_N_ELEMENTS (cases));
  return suite_run ("silent_fleet", tcase);
}
