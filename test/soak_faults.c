#include "soak.h"

#include <signal.h>

enum
{
  MIN_SILENCE_MS = 700,
  MAX_SILENCE_MS = 1700,
  MIN_HEARD_MS = 1000, /* between two silences of an endpoint */
  MAX_COPY_MS = 40,    /* from a refusal to its copy */
  N_CHANGES = 3,       /* of the routes in a row */
  /* Cold times, of which an endpoint's first LEARN_MS are not checked: routers know of it after
   * endpoints_bound_ms, and what they sent before is out of the second. */
  MIN_COLD_MS = 3000,
  MAX_COLD_MS = 8000,
  LEARN_MS = 3500,
  NO_CRASH = 100000, /* requests in a second */
};

static const double FAULT_INTERVAL_S = 0.25;
static const double MIN_FAULT_S = 0.05;
static const double MAX_FAULT_S = 1.5;
static const double MAX_TURN_S = 0.4;
/* Longer than the peer_timeout_ms of support/site.c. */
static const double MIN_SEPARATION_S = 1.2;
static const double MAX_SEPARATION_S = 3.0;
/* Longer than endpoints' records live that are not renewed. */
static const double MIN_RELEASE_S = 2.2;
static const double MAX_RELEASE_S = 4.0;
static const double MIN_REFUSALS_S = 0.3;
static const double MAX_REFUSALS_S = 1.2;

typedef struct
{
  Soak *soak;
  void (*run) (Soak *soak, uint32_t i);
  uint32_t i;
  ev_timer timer;
} Repair;

static void
on_repair (struct ev_loop *loop, ev_timer *w, int events)
{
  Repair *repair = w->data;
  Soak *soak = repair->soak;
  (void) loop;
  (void) events;
  repair->run (soak, repair->i);
  g_ptr_array_remove_fast (soak->repairs, repair);
}

void
soak_free_repair (gpointer data)
{
  Repair *repair = data;
  ev_timer_stop (repair->soak->site.fleet.loop, &repair->timer);
  g_free (repair);
}

/* Calls RUN after a random time between MIN_S and MAX_S. */
static void
repair_between (
    Soak *soak, void (*run) (Soak *soak, uint32_t i), uint32_t i, double min_s, double max_s)
{
  Repair *repair = g_new0 (Repair, 1);
  double delay_s = g_rand_double_range (soak->rng, min_s, max_s);
  repair->soak = soak;
  repair->run = run;
  repair->i = i;
  ev_timer_init (&repair->timer, on_repair, delay_s, 0.0);
  repair->timer.data = repair;
  ev_timer_start (soak->site.fleet.loop, &repair->timer);
  g_ptr_array_add (soak->repairs, repair);
}

static void
repair_later (Soak *soak, void (*run) (Soak *soak, uint32_t i), uint32_t i)
{
  repair_between (soak, run, i, MIN_FAULT_S, MAX_FAULT_S);
}

void
soak_start_router (Soak *soak, uint32_t i)
{
  /* site_start_router() runs the event loop, so another repair of this router may run meanwhile. */
  if (soak->site.router_process[i].pid || soak->starting[i])
    return;
  soak->starting[i] = true;
  if (!site_start_router (&soak->site, i))
    soak->n_violations++;
  soak->starting[i] = false;
}

static void
kill_router (Soak *soak, uint32_t i)
{
  if (soak->starting[i])
    return;
  fleet_signal (&soak->site.router_process[i], SIGKILL);
  repair_later (soak, soak_start_router, i);
}

/* Starts the router again once the process that got SIGTERM has ended. */
static void
restart_router (Soak *soak, uint32_t i)
{
  pid_t pid = soak->site.router_process[i].pid;
  if (pid && pid == soak->terminating[i])
    repair_later (soak, restart_router, i);
  else
    soak_start_router (soak, i);
}

static void
stop_router (Soak *soak, uint32_t i)
{
  if (soak->starting[i])
    return;
  soak->terminating[i] = soak->site.router_process[i].pid;
  fleet_signal (&soak->site.router_process[i], SIGTERM);
  repair_later (soak, restart_router, i);
}

static void
resume_router (Soak *soak, uint32_t i)
{
  fleet_signal (&soak->site.router_process[i], SIGCONT);
}

static void
pause_router (Soak *soak, uint32_t i)
{
  fleet_signal (&soak->site.router_process[i], SIGSTOP);
  repair_later (soak, resume_router, i);
}

static void
reload_router (Soak *soak, uint32_t i)
{
  /* Until the router handles it, the signal ends the process. */
  if (soak->starting[i])
    return;
  fleet_signal (&soak->site.router_process[i], SIGHUP);
}

static void
restore_store (Soak *soak, uint32_t i)
{
  relay_set_fault (&soak->site.store_relay[i], RELAY_PASS);
}

static void
disturb_store (Soak *soak, uint32_t i)
{
  relay_set_fault (&soak->site.store_relay[i],
                   (RelayFault) g_rand_int_range (soak->rng, RELAY_DROP, RELAY_N_FAULTS));
  repair_later (soak, restore_store, i);
}

static void
disturb_all_stores (Soak *soak, uint32_t i)
{
  (void) i;
  for (uint32_t r = 0; r < soak->site.n_routers; r++)
    disturb_store (soak, r);
}

static void
lose_writes (Soak *soak, uint32_t i)
{
  (void) i;
  site_set_store (&soak->site, "{\"lose\":3}");
}

static void
delay_writes (Soak *soak, uint32_t i)
{
  (void) i;
  site_set_store (&soak->site, "{\"late\":3}");
}

static void
drop_history (Soak *soak, uint32_t i)
{
  (void) i;
  site_set_store (&soak->site, "{\"forget\":true}");
}

static void
restore_worker (Soak *soak, uint32_t i)
{
  relay_set_fault (&soak->site.worker_relay[i], RELAY_PASS);
}

static void
disturb_worker (Soak *soak, uint32_t i)
{
  relay_set_fault (&soak->site.worker_relay[i],
                   (RelayFault) g_rand_int_range (soak->rng, RELAY_DROP, RELAY_N_FAULTS));
  repair_later (soak, restore_worker, i);
}

static void
reset_worker (Soak *soak, uint32_t i)
{
  relay_reset (&soak->site.worker_relay[i]);
}

void
soak_start_worker (Soak *soak, uint32_t i)
{
  if (soak->site.worker_process[i].pid || soak->starting_worker[i])
    return;
  soak->starting_worker[i] = true;
  if (!site_start_worker (&soak->site, i))
    soak->n_violations++;
  soak->starting_worker[i] = false;
}

static void
kill_worker (Soak *soak, uint32_t i)
{
  if (soak->starting_worker[i])
    return;
  fleet_signal (&soak->site.worker_process[i], SIGKILL);
  repair_later (soak, soak_start_worker, i);
}

void
soak_change_routes (Soak *soak, uint32_t i)
{
  (void) i;
  site_put_routes (&soak->site, ++soak->version, NULL, soak->paid_tokens);
}

/* Silences endpoint I, unless it has been heard for too short a time. */
static void
silence_worker (Soak *soak, uint32_t i)
{
  int ms = g_rand_int_range (soak->rng, MIN_SILENCE_MS, MAX_SILENCE_MS);
  if (soak_now_ms () < soak->silent_until_ms[i] + MIN_HEARD_MS)
    return;
  soak->silent_until_ms[i] = soak_now_ms () + ms;
  char *body = g_strdup_printf ("{\"ms\":%d}", ms);
  json_decref (
      fleet_call (&soak->site.fleet, "POST", soak->site.workers[i], "/admin/silence", body));
  g_free (body);
}

/* Has an endpoint of the service with cold ones become cold, unless it is. */
static void
cool_worker (Soak *soak, uint32_t i)
{
  int ms = g_rand_int_range (soak->rng, MIN_COLD_MS, MAX_COLD_MS);
  i = MAX (i, SITE_N_WORKERS / 2);
  if (!soak->site.cold || soak_now_ms () < soak->cold_until_ms[i])
    return;
  soak->cold_until_ms[i] = soak_now_ms () + ms;
  char *body = g_strdup_printf ("{\"ms\":%d,\"limit\":%d,\"learn_ms\":%d}", ms, NO_CRASH,
                                soak->sound ? LEARN_MS : ms);
  json_decref (fleet_call (&soak->site.fleet, "POST", soak->site.workers[i], "/admin/cold", body));
  g_free (body);
  site_put_cold (&soak->site, i, ms);
}

static void
silence_all_workers (Soak *soak, uint32_t i)
{
  (void) i;
  for (uint32_t k = 0; k < soak->site.n_workers; k++)
    silence_worker (soak, k);
}

/* As silence_all_workers(), beside a change of the routes and a reload of router I. */
static void
silence_beside_change (Soak *soak, uint32_t i)
{
  silence_all_workers (soak, i);
  soak_change_routes (soak, i);
  reload_router (soak, i);
}

static void
kill_all_routers (Soak *soak, uint32_t i)
{
  (void) i;
  for (uint32_t r = 0; r < soak->site.n_routers; r++)
    kill_router (soak, r);
}

static void
stop_all_routers (Soak *soak, uint32_t i)
{
  (void) i;
  for (uint32_t r = 0; r < soak->site.n_routers; r++)
    stop_router (soak, r);
}

/* Ends router I, and each of the following ones a short time after the one before it. */
static void
end_in_turn (Soak *soak, uint32_t i)
{
  if (!soak->sending)
    return;
  if (g_rand_boolean (soak->rng))
    kill_router (soak, i);
  else
    stop_router (soak, i);
  if (i + 1 < soak->site.n_routers)
    repair_between (soak, end_in_turn, i + 1, MIN_FAULT_S, MAX_TURN_S);
}

/* Router I leaves while all others are killed. */
static void
leave_beside_kills (Soak *soak, uint32_t i)
{
  stop_router (soak, i);
  for (uint32_t r = 0; r < soak->site.n_routers; r++)
    if (r != i)
      kill_router (soak, r);
}

/* Router I gets a reload and SIGTERM while it stands still. */
static void
stop_paused_router (Soak *soak, uint32_t i)
{
  pause_router (soak, i);
  reload_router (soak, i);
  stop_router (soak, i);
}

static void
change_beside_kills (Soak *soak, uint32_t i)
{
  soak_change_routes (soak, i);
  kill_all_routers (soak, i);
  soak_change_routes (soak, i);
}

static void
reload_all_routers (Soak *soak, uint32_t i)
{
  for (int n = 0; n < N_CHANGES; n++)
    {
      soak_change_routes (soak, i);
      for (uint32_t r = 0; r < soak->site.n_routers; r++)
        reload_router (soak, r);
    }
}

static void
restore_peer (Soak *soak, uint32_t i)
{
  relay_set_fault (&soak->site.peer_relay[i], RELAY_PASS);
}

static void
disturb_peer (Soak *soak, uint32_t i)
{
  relay_set_fault (&soak->site.peer_relay[i],
                   (RelayFault) g_rand_int_range (soak->rng, RELAY_DROP, RELAY_N_FAULTS));
  repair_later (soak, restore_peer, i);
}

static void
restore_all_peers (Soak *soak, uint32_t i)
{
  (void) i;
  for (uint32_t r = 0; r < soak->site.n_routers; r++)
    restore_peer (soak, r);
}

/* Separates all routers from each other until they have missed each other. */
static void
separate_routers (Soak *soak, uint32_t i)
{
  (void) i;
  for (uint32_t r = 0; r < soak->site.n_routers; r++)
    relay_set_fault (&soak->site.peer_relay[r], RELAY_DROP);
  repair_between (soak, restore_all_peers, 0, MIN_SEPARATION_S, MAX_SEPARATION_S);
}

/* Endpoint I takes no request, as it has another instance id than its record. */
static void
restore_instance (Soak *soak, uint32_t i)
{
  json_decref (fleet_call (&soak->site.fleet, "POST", soak->site.workers[i], "/admin/set", "{}"));
}

static void
change_instance (Soak *soak, uint32_t i)
{
  json_decref (fleet_call (&soak->site.fleet, "POST", soak->site.workers[i], "/admin/set",
                           "{\"instance\":\"other\"}"));
  repair_later (soak, restore_instance, i);
}

/* --- software versions --- */

static bool
is_second_version (const Soak *soak, uint32_t i)
{
  return g_strcmp0 (soak->site.versions[i], "v2") == 0;
}

void
soak_set_versions (Soak *soak)
{
  for (uint32_t i = SITE_N_WORKERS / 2; i < soak->site.n_workers; i++)
    {
      soak->site.versions[i] = i % 2 == 0 ? "v1" : "v2";
      soak->n_violations += !site_start_worker (&soak->site, i);
      if (is_second_version (soak, i))
        site_remove_worker (&soak->site, i);
    }
}

void
soak_list_versions (Soak *soak)
{
  for (uint32_t i = 0; i < soak->site.n_workers; i++)
    if (is_second_version (soak, i))
      site_put_worker (&soak->site, i, "ready", NULL);
  soak->released = true;
}

static void
end_release (Soak *soak, uint32_t i)
{
  (void) i;
  soak->released = false;
  for (uint32_t w = 0; w < soak->site.n_workers; w++)
    if (is_second_version (soak, w))
      site_remove_worker (&soak->site, w);
}

static void
release (Soak *soak, uint32_t i)
{
  (void) i;
  if (soak->released)
    return;
  soak_list_versions (soak);
  repair_between (soak, end_release, 0, MIN_RELEASE_S, MAX_RELEASE_S);
}

static void
release_beside_pause (Soak *soak, uint32_t i)
{
  pause_router (soak, i);
  release (soak, i);
}

static void
release_beside_kill (Soak *soak, uint32_t i)
{
  kill_router (soak, i);
  release (soak, i);
}

static void
release_beside_kills (Soak *soak, uint32_t i)
{
  kill_all_routers (soak, i);
  release (soak, i);
}

/* Streams that wait for their first event are moved while routers start. */
static void
crash_beside_restarts (Soak *soak, uint32_t i)
{
  end_in_turn (soak, 0);
  kill_worker (soak, MAX (i, SITE_N_WORKERS / 2));
}

/* --- evacuations --- */

static const char UNKNOWN_DATA_CENTRE[] = "nowhere";

static void
end_evacuation (Soak *soak, uint32_t i)
{
  site_end_evacuation (&soak->site, site_data_centres[i]);
}

static void
evacuate (Soak *soak, uint32_t i)
{
  (void) i;
  uint32_t k = (uint32_t) g_rand_int_range (soak->rng, 0, G_N_ELEMENTS (site_data_centres));
  site_evacuate (&soak->site, site_data_centres[k], "{}");
  site_evacuate (&soak->site, UNKNOWN_DATA_CENTRE, "null");
  repair_later (soak, end_evacuation, k);
}

static void
evacuate_all (Soak *soak, uint32_t i)
{
  (void) i;
  for (uint32_t k = 0; k < G_N_ELEMENTS (site_data_centres); k++)
    {
      site_evacuate (&soak->site, site_data_centres[k], "[]");
      repair_later (soak, end_evacuation, k);
    }
}

/* A restart reads the evacuations anew. */
static void
evacuate_beside_kills (Soak *soak, uint32_t i)
{
  evacuate (soak, i);
  kill_all_routers (soak, i);
}

void
soak_end_evacuations (Soak *soak)
{
  for (uint32_t k = 0; k < G_N_ELEMENTS (site_data_centres); k++)
    end_evacuation (soak, k);
  site_end_evacuation (&soak->site, UNKNOWN_DATA_CENTRE);
}

void
soak_begin_evacuation (Soak *soak)
{
  gint32 k = g_rand_int_range (soak->rng, 0, G_N_ELEMENTS (site_data_centres));
  soak->evacuated = site_data_centres[k];
  if (!site_evacuate (&soak->site, soak->evacuated, "{}"))
    soak->n_violations++;
  site_reset_times (&soak->site);
}

/* --- refusals, and copies of them --- */

static void
set_refusals (Soak *soak, unsigned percent)
{
  static const unsigned copied_percent[] = { 0, 30, 60, 100 };
  site_set_refusals (&soak->site, percent);
  for (uint32_t i = 0; i < soak->site.n_workers; i++)
    {
      int64_t after_ms = g_rand_int_range (soak->rng, -1, 2);
      if (after_ms > 0)
        after_ms = g_rand_int_range (soak->rng, 1, MAX_COPY_MS);
      gint32 k = g_rand_int_range (soak->rng, 0, G_N_ELEMENTS (copied_percent));
      relay_copy_refusals (&soak->site.worker_relay[i], percent ? copied_percent[k] : 0, after_ms,
                           g_rand_int (soak->rng));
    }
}

static void
on_refusals (struct ev_loop *loop, ev_timer *w, int events)
{
  static const unsigned percents[] = { 0, 20, 50, 70, 90 };
  Soak *soak = w->data;
  (void) events;
  set_refusals (soak, percents[g_rand_int_range (soak->rng, 0, G_N_ELEMENTS (percents))]);
  if (!soak->sending)
    return;
  ev_timer_set (w, g_rand_double_range (soak->rng, MIN_REFUSALS_S, MAX_REFUSALS_S), 0.0);
  ev_timer_start (loop, w);
}

/* --- choice --- */

typedef enum
{
  TARGET_NONE,
  TARGET_ROUTER,
  TARGET_WORKER,
} Target;

typedef struct
{
  void (*run) (Soak *soak, uint32_t i);
  Target target; /* run() gets the number of one, else 0 */
} Fault;

static const Fault faults[] = {
  { kill_router, TARGET_ROUTER },
  { stop_router, TARGET_ROUTER },
  { pause_router, TARGET_ROUTER },
  { reload_router, TARGET_ROUTER },
  { kill_all_routers, TARGET_NONE },
  { stop_all_routers, TARGET_NONE },
  { end_in_turn, TARGET_NONE },
  { leave_beside_kills, TARGET_ROUTER },
  { stop_paused_router, TARGET_ROUTER },
  { change_beside_kills, TARGET_NONE },
  { reload_all_routers, TARGET_NONE },
  { disturb_peer, TARGET_ROUTER },
  { separate_routers, TARGET_NONE },
  { disturb_store, TARGET_ROUTER },
  { disturb_all_stores, TARGET_NONE },
  { lose_writes, TARGET_NONE },
  { delay_writes, TARGET_NONE },
  { drop_history, TARGET_NONE },
  { disturb_worker, TARGET_WORKER },
  { reset_worker, TARGET_WORKER },
  { kill_worker, TARGET_WORKER },
  { change_instance, TARGET_WORKER },
  { soak_change_routes, TARGET_NONE },
  { silence_worker, TARGET_WORKER },
  { silence_all_workers, TARGET_NONE },
  { cool_worker, TARGET_WORKER },
  { silence_all_workers, TARGET_NONE },
  { evacuate, TARGET_NONE },
  { evacuate_all, TARGET_NONE },
  { evacuate_beside_kills, TARGET_NONE },
  { release, TARGET_NONE },
  { release_beside_pause, TARGET_ROUTER },
  { release_beside_kill, TARGET_ROUTER },
  { release_beside_kills, TARGET_NONE },
  { crash_beside_restarts, TARGET_WORKER },
};

static const Fault silences[] = {
  { silence_worker, TARGET_WORKER },   { silence_all_workers, TARGET_NONE },
  { reload_router, TARGET_ROUTER },    { silence_beside_change, TARGET_ROUTER },
  { soak_change_routes, TARGET_NONE }, { cool_worker, TARGET_WORKER },
};

static uint32_t
choose_target (Soak *soak, Target target)
{
  switch (target)
    {
    case TARGET_ROUTER:
      return (uint32_t) g_rand_int_range (soak->rng, 0, (gint32) soak->site.n_routers);
    case TARGET_WORKER:
      return (uint32_t) g_rand_int_range (soak->rng, 0, (gint32) soak->site.n_workers);
    default:
      return 0;
    }
}

static void
on_fault (struct ev_loop *loop, ev_timer *w, int events)
{
  Soak *soak = w->data;
  (void) loop;
  (void) events;
  gint32 n = soak->sound ? G_N_ELEMENTS (silences) : G_N_ELEMENTS (faults);
  const Fault *fault = &(soak->sound ? silences : faults)[g_rand_int_range (soak->rng, 0, n)];
  fault->run (soak, choose_target (soak, fault->target));
}

void
soak_start_faults (Soak *soak)
{
  struct ev_loop *loop = soak->site.fleet.loop;
  ev_timer_init (&soak->faults, on_fault, FAULT_INTERVAL_S, FAULT_INTERVAL_S);
  ev_timer_init (&soak->refusals, on_refusals, MIN_REFUSALS_S, 0.0);
  soak->faults.data = soak;
  soak->refusals.data = soak;
  ev_timer_start (loop, &soak->faults);
  if (!soak->sound)
    ev_timer_start (loop, &soak->refusals);
}

void
soak_stop_faults (Soak *soak)
{
  ev_timer_stop (soak->site.fleet.loop, &soak->faults);
  ev_timer_stop (soak->site.fleet.loop, &soak->refusals);
  if (!soak->sound)
    set_refusals (soak, 0);
}
