/* Callers that come while a router stops: each one that gets a connection gets an answer. */

#include "support/site.h"
#include "support/suite.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  MAX_CALLERS = 16384,
  STEP_US = 1000,               /* between two callers */
  STOP_WAIT_US = 9000 * 1000,   /* from SIGTERM until connections are refused */
  ANSWER_WAIT_US = 3000 * 1000, /* from there to the last answer */
  MIN_CALLERS = 100,
  MAX_RESETS = 2, /* in a row, of connections in a handshake as the socket closes */
  WHOLE = 1000,   /* more bytes than a request has */
};

static const struct
{
  const char *name;
  int64_t begin_ms; /* from the connection to the first byte */
  size_t n_first;   /* bytes that are sent then */
  int64_t rest_ms;  /* from there to the others */
} stop_cases[] = {
  { "the request comes at once", 0, WHOLE, 0 },
  { "the request comes 30 ms after the connection", 30, WHOLE, 0 },
  { "the request comes 200 ms after the connection", 200, WHOLE, 0 },
  { "the rest of the request line comes 30 ms later", 0, 10, 30 },
  { "the rest of the head comes 30 ms later", 0, 60, 30 },
};

typedef struct
{
  int fd;
  int64_t connected_us;
  char *request;
  size_t n_sent;
  GString *answer;
  bool closed;
} Caller;

typedef struct
{
  Caller callers[MAX_CALLERS];
  uint32_t n_callers;
} Crowd;

/* Returns -1 if the connection is refused. One whose handshake the kernel completes as the
 * listening socket closes is reset: connect() fails, nothing was sent, and the next one is refused.
 */
static int
connect_to (const char *address)
{
  struct sockaddr_in addr = { .sin_family = AF_INET };
  int fd = -1;
  int error = ECONNRESET;
  addr.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  addr.sin_port = htons ((uint16_t) atoi (strchr (address, ':') + 1));
  for (int n = 0; n < MAX_RESETS && error == ECONNRESET; n++)
    {
      fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      ck_assert_int_ge (fd, 0);
      error = connect (fd, (struct sockaddr *) &addr, sizeof addr) == 0 ? 0 : errno;
      if (error)
        close (fd);
    }
  if (error)
    {
      ck_assert_int_eq (error, ECONNREFUSED);
      return -1;
    }
  fcntl (fd, F_SETFL, O_NONBLOCK);
  return fd;
}

static bool
add_caller (Crowd *crowd, const char *address)
{
  Caller *caller = &crowd->callers[crowd->n_callers];
  ck_assert_uint_lt (crowd->n_callers, MAX_CALLERS);
  caller->fd = connect_to (address);
  if (caller->fd < 0)
    return false;
  caller->connected_us = g_get_monotonic_time ();
  caller->answer = g_string_new (NULL);
  caller->request = g_strdup_printf ("POST /once/x/ok HTTP/1.1\r\nHost: h.example\r\n"
                                     "X-Request-Id: %016x\r\nAuthorization: Bearer k1\r\n"
                                     "Content-Length: 4\r\n\r\ntext",
                                     crowd->n_callers + 1);
  crowd->n_callers++;
  return true;
}

/* Sends what is due and reads what has come. */
static void
run_caller (Caller *caller, int i)
{
  char block[1024];
  ssize_t n;
  int64_t age_us = g_get_monotonic_time () - caller->connected_us;
  size_t n_due = 0;
  if (age_us >= stop_cases[i].begin_ms * 1000)
    n_due = MIN (stop_cases[i].n_first, strlen (caller->request));
  if (age_us >= (stop_cases[i].begin_ms + stop_cases[i].rest_ms) * 1000)
    n_due = strlen (caller->request);
  if (n_due > caller->n_sent
      && (n = send (caller->fd, caller->request + caller->n_sent, n_due - caller->n_sent,
                    MSG_NOSIGNAL))
             > 0)
    caller->n_sent += (size_t) n;
  while ((n = recv (caller->fd, block, sizeof block, 0)) > 0)
    g_string_append_len (caller->answer, block, n);
  caller->closed = n == 0 || errno != EAGAIN;
  if (caller->closed)
    close (caller->fd);
}

/* Runs the callers until all of them have an answer or were cut. */
static void
run_crowd (Crowd *crowd, int i)
{
  int64_t end_us = g_get_monotonic_time () + ANSWER_WAIT_US;
  uint32_t n_open = 1;
  while (n_open > 0 && g_get_monotonic_time () < end_us)
    {
      n_open = 0;
      for (uint32_t k = 0; k < crowd->n_callers; k++)
        if (!crowd->callers[k].closed)
          {
            run_caller (&crowd->callers[k], i);
            n_open++;
          }
      g_usleep (STEP_US);
    }
}

static uint32_t
count_answers (const Crowd *crowd, const char *status)
{
  uint32_t n = 0;
  for (uint32_t k = 0; k < crowd->n_callers; k++)
    n += g_str_has_prefix (crowd->callers[k].answer->str, status);
  return n;
}

static void
crowd_finish (Crowd *crowd)
{
  for (uint32_t k = 0; k < crowd->n_callers; k++)
    {
      if (!crowd->callers[k].closed)
        close (crowd->callers[k].fd);
      g_free (crowd->callers[k].request);
      g_string_free (crowd->callers[k].answer, TRUE);
    }
  g_free (crowd);
}

/* Connects the callers that are due ELAPSED_US after the stop began, so that a busy machine makes
 * no smaller crowd. Returns false once connections are refused. */
static bool
add_due_callers (Crowd *crowd, const char *address, int64_t elapsed_us)
{
  while (crowd->n_callers <= elapsed_us / STEP_US)
    if (!add_caller (crowd, address))
      return false;
  return true;
}

/* A caller that connected before the router left is not cut, and what is refused has not run. */
START_TEST (callers_that_connect_as_a_router_stops_are_answered)
{
  Site site;
  Crowd *crowd = g_new0 (Crowd, 1);
  ck_assert (site_init (&site, 1));
  fleet_signal (&site.router_process[0], SIGTERM);
  int64_t start_us = g_get_monotonic_time ();
  while (add_due_callers (crowd, site.callers[0], g_get_monotonic_time () - start_us))
    {
      ck_assert_msg (g_get_monotonic_time () < start_us + STOP_WAIT_US,
                     "connections are not refused");
      for (uint32_t k = 0; k < crowd->n_callers; k++)
        if (!crowd->callers[k].closed)
          run_caller (&crowd->callers[k], _i);
      g_usleep (STEP_US);
    }
  run_crowd (crowd, _i);
  ck_assert (fleet_wait_exit (&site.router_process[0]));
  uint32_t n_served = count_answers (crowd, "HTTP/1.1 200");
  uint32_t n_refused = count_answers (crowd, "HTTP/1.1 503");
  int64_t n_runs = site_worker_runs (&site, 0) + site_worker_runs (&site, 1);
  ck_assert_uint_ge (crowd->n_callers, MIN_CALLERS);
  ck_assert_msg (n_served + n_refused == crowd->n_callers, "%s: %u callers, %u served, %u refused",
                 stop_cases[_i].name, crowd->n_callers, n_served, n_refused);
  ck_assert_int_eq (n_runs, n_served);
  crowd_finish (crowd);
  site_finish (&site);
}
END_TEST

int
main (void)
{
  TCase *tcase = tcase_create ("stop");
  tcase_set_timeout (tcase, 60);
  tcase_add_loop_test (tcase, callers_that_connect_as_a_router_stops_are_answered, 0,
                       (int) G_N_ELEMENTS (stop_cases));
  return suite_run ("stop", tcase);
}
