/* A router that gets more than it can handle beside idle ones: real router processes, callers that
 * keep their connections, and a load balancer that probes the routers. */

#include "support/gateway_fixture.h"
#include "support/site.h"
#include "support/suite.h"

#include "net/address.h"

#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  N_ROUTERS = 4,
  HOT = 0, /* the router that the load balancer prefers for all callers */
  N_CALLERS = 12,
  HOT_PERCENT = 2, /* share of a core that the router is told it has */
  BUSY_PAUSE_MS = 5,
  IDLE_PAUSE_MS = 400,
  NOT_READY_LIMIT = 2, /* answers after which a router gets no new connections */
  OUT_LIMIT_S = 20,
  BACK_LIMIT_S = 20,
  MIN_SERVED = 1000,
};

typedef struct
{
  struct Scene *scene;
  uint32_t number;
  uint32_t router;
  int fd; /* -1: no connection */
  bool waits;
  uint64_t n_sent;
  GString *answer;
  ev_io io;
  ev_timer pause;
} Caller;

typedef struct Scene
{
  Site site;
  Caller callers[N_CALLERS];
  uint32_t n_not_ready[N_ROUTERS]; /* probes in a row */
  uint32_t pause_ms;
  uint32_t n_served;
  uint32_t n_other;     /* other answers */
  uint32_t n_lost;      /* connections closed while a request waited */
  uint32_t n_closed;    /* answers with "Connection: close" */
  uint32_t n_elsewhere; /* answers of other routers */
} Scene;

static bool
in_rotation (const Scene *scene, uint32_t router)
{
  return scene->n_not_ready[router] < NOT_READY_LIMIT;
}

static void
open_connection (Caller *caller)
{
  Scene *scene = caller->scene;
  struct sockaddr_in addr;
  caller->router = in_rotation (scene, HOT) ? HOT : 1 + caller->number % (N_ROUTERS - 1);
  ck_assert_int_eq (dy_address_parse (scene->site.callers[caller->router], &addr), 0);
  caller->fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  ck_assert_int_eq (connect (caller->fd, (struct sockaddr *) &addr, sizeof addr), 0);
  ev_io_set (&caller->io, caller->fd, EV_READ);
  ev_io_start (scene->site.fleet.loop, &caller->io);
}

static void
close_connection (Caller *caller)
{
  ev_io_stop (caller->scene->site.fleet.loop, &caller->io);
  close (caller->fd);
  caller->fd = -1;
}

static void
send_request (Caller *caller)
{
  if (caller->fd < 0)
    open_connection (caller);
  char *text
      = g_strdup_printf ("POST /ok/x/ok HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer k1\r\n"
                         "X-Request-Id: c%u-%" G_GUINT64_FORMAT "\r\nX-Deadline-Ms: 3000\r\n"
                         "Content-Length: 1\r\n\r\nb",
                         caller->number, ++caller->n_sent);
  caller->waits = true;
  g_string_truncate (caller->answer, 0);
  ssize_t n = send (caller->fd, text, strlen (text), MSG_NOSIGNAL);
  caller->scene->n_lost += n != (ssize_t) strlen (text);
  g_free (text);
}

static void
on_pause_over (struct ev_loop *loop, ev_timer *w, int events)
{
  (void) loop;
  (void) events;
  send_request (w->data);
}

static void
pause_caller (Caller *caller)
{
  ev_timer_set (&caller->pause, caller->scene->pause_ms / 1e3, 0.0);
  ev_timer_start (caller->scene->site.fleet.loop, &caller->pause);
}

/* Returns whether the answer is whole. */
static bool
is_whole (const char *text)
{
  static const char field[] = "\r\nContent-Length: ";
  const char *end = strstr (text, "\r\n\r\n");
  const char *length = strstr (text, field);
  return end && length && length < end
         && strlen (end + 4) >= strtoul (length + strlen (field), NULL, 10);
}

static void
take_answer (Caller *caller)
{
  Scene *scene = caller->scene;
  caller->waits = false;
  scene->n_served += g_str_has_prefix (caller->answer->str, "HTTP/1.1 200 ");
  scene->n_other += !g_str_has_prefix (caller->answer->str, "HTTP/1.1 200 ");
  scene->n_elsewhere += caller->router != HOT;
  if (strstr (caller->answer->str, "\r\nConnection: close\r\n"))
    {
      scene->n_closed++;
      close_connection (caller);
    }
  pause_caller (caller);
}

static void
on_readable (struct ev_loop *loop, ev_io *w, int events)
{
  enum
  {
    BLOCK_BYTES = 4096,
  };
  Caller *caller = w->data;
  char block[BLOCK_BYTES];
  (void) loop;
  (void) events;
  ssize_t n = recv (caller->fd, block, sizeof block, MSG_DONTWAIT);
  if (n > 0)
    {
      g_string_append_len (caller->answer, block, n);
      if (caller->waits && is_whole (caller->answer->str))
        take_answer (caller);
      return;
    }
  /* A connection may end while it is idle only after "Connection: close", which ends it here. */
  caller->scene->n_lost++;
  close_connection (caller);
  if (caller->waits)
    pause_caller (caller);
  caller->waits = false;
}

static void
start_callers (Scene *scene)
{
  for (uint32_t i = 0; i < N_CALLERS; i++)
    {
      Caller *caller = &scene->callers[i];
      *caller = (Caller){ .scene = scene, .number = i, .fd = -1 };
      caller->answer = g_string_new (NULL);
      ev_io_init (&caller->io, on_readable, 0, EV_READ);
      ev_timer_init (&caller->pause, on_pause_over, 0.0, 0.0);
      caller->io.data = caller;
      caller->pause.data = caller;
      send_request (caller);
    }
}

static void
finish_callers (Scene *scene)
{
  for (uint32_t i = 0; i < N_CALLERS; i++)
    {
      Caller *caller = &scene->callers[i];
      ev_timer_stop (scene->site.fleet.loop, &caller->pause);
      if (caller->fd >= 0)
        close_connection (caller);
      g_string_free (caller->answer, TRUE);
    }
}

/* Waits a second and probes all routers, as the load balancer does. */
static void
probe (Scene *scene)
{
  site_run_for (&scene->site, 1000);
  for (uint32_t i = 0; i < N_ROUTERS; i++)
    {
      FleetRequest request = { .method = "GET", .address = scene->site.ready[i], .path = "/ready" };
      bool ready = fleet_request (&scene->site.fleet, &request, NULL) == 200;
      scene->n_not_ready[i] = ready ? 0 : scene->n_not_ready[i] + 1;
    }
}

static bool
start (Scene *scene)
{
  Site *site = &scene->site;
  if (!site_init (site, N_ROUTERS))
    return false;
  site->sheds = true;
  for (uint32_t i = 0; i < N_ROUTERS; i++)
    site->cpu_percent[i] = i == HOT ? HOT_PERCENT : 100;
  return site_restart_routers (site);
}

/* One router got all requests of the callers of a data centre while the others idled. None of
 * their requests may be lost: connections are closed by answers only. */
START_TEST (a_crowded_router_sends_its_callers_elsewhere_and_comes_back)
{
  Scene *scene = g_new0 (Scene, 1);
  ck_assert (start (scene));
  scene->pause_ms = BUSY_PAUSE_MS;
  start_callers (scene);
  uint32_t out_s = 0;
  while (in_rotation (scene, HOT) && out_s++ < OUT_LIMIT_S)
    probe (scene);
  ck_assert_msg (!in_rotation (scene, HOT), "ready after %u s", out_s);
  probe (scene);
  probe (scene);
  ck_assert_msg (scene->n_closed > 0 && scene->n_elsewhere > 0, "%u closed, %u elsewhere",
                 scene->n_closed, scene->n_elsewhere);
  for (uint32_t i = 1; i < N_ROUTERS; i++)
    ck_assert_msg (scene->n_not_ready[i] == 0, "r%u is not ready", i);
  scene->pause_ms = IDLE_PAUSE_MS;
  uint32_t back_s = 0;
  while (!in_rotation (scene, HOT) && back_s++ < BACK_LIMIT_S)
    probe (scene);
  ck_assert_msg (in_rotation (scene, HOT), "not ready for %u s", back_s);
  for (uint32_t i = 0; i < N_CALLERS; i++)
    if (scene->callers[i].fd >= 0 && !scene->callers[i].waits)
      close_connection (&scene->callers[i]);
  site_run_for (&scene->site, 1000);
  ck_assert (scene->callers[0].router == HOT);
  ck_assert_uint_eq (scene->n_lost, 0);
  ck_assert_msg (scene->n_other == 0 && scene->n_served >= MIN_SERVED, "%u served, %u others",
                 scene->n_served, scene->n_other);
  finish_callers (scene);
  site_finish (&scene->site);
  g_free (scene);
}
END_TEST

/* A full router must refuse at once what is as urgent as its limit or less, and say that another
 * router can serve it. */
START_TEST (a_full_router_refuses_by_priority)
{
  static const struct
  {
    uint32_t refuse_from;
    unsigned status;
  } cases[] = { { 0, 503 }, { DY_LOAD_PRIORITIES, 200 } };
  Fixture *fixture = g_new0 (Fixture, 1);
  fixture_init (fixture);
  fixture_put_endpoint (fixture, 0, false);
  fixture->shedding.kernel = &fixture->kernel;
  fixture->shedding.enabled = true;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      FixtureAnswer answer;
      fixture->shedding.load.refuse_from = cases[i].refuse_from;
      fixture_send (fixture, "/x", &answer, 1);
      ck_assert_uint_eq (answer.result.status, cases[i].status);
      bool refused = cases[i].status == 503;
      ck_assert (refused == (strstr (answer.head->str, "Retry-After: 0.0") != NULL));
      ck_assert (refused == (strstr (answer.body->str, "\"overloaded\"") != NULL));
      ck_assert_int_eq (fixture->endpoints[0].n_requests, refused ? 0 : 1);
      fixture_free_answers (&answer, 1);
    }
  ck_assert_int_eq (fixture->kernel.counters.values[DY_COUNTER_LOAD_REFUSED], 1);
  fixture_finish (fixture);
  g_free (fixture);
}
END_TEST

int
main (void)
{
  enum
  {
    TIMEOUT_S = 120,
  };
  TCase *tcase = tcase_create ("shedding");
  tcase_set_timeout (tcase, TIMEOUT_S);
  tcase_add_test (tcase, a_crowded_router_sends_its_callers_elsewhere_and_comes_back);
  tcase_add_test (tcase, a_full_router_refuses_by_priority);
  return suite_run ("shedding", tcase);
}
