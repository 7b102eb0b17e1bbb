#include "services/endpoints/link_probe.h"

#include "kernel/priority.h"
#include "net/address.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

static const double RESET_WAIT_S = 0.05;
static const double ANSWER_TIMEOUT_S = 0.5;

static void
close_probe (DyLinkProbe *probe)
{
  ev_io_stop (probe->loop, &probe->io);
  ev_timer_stop (probe->loop, &probe->timer);
  if (probe->fd >= 0)
    close (probe->fd);
  probe->fd = -1;
  g_clear_pointer (&probe->request, g_free);
}

static void
end_probe (DyLinkProbe *probe, DyLinkProbeResult result)
{
  close_probe (probe);
  probe->done (probe->ctx, result, probe->started_us);
}

static void
set_timer (DyLinkProbe *probe, double seconds)
{
  ev_timer_stop (probe->loop, &probe->timer);
  ev_timer_set (&probe->timer, seconds, 0.0);
  ev_timer_start (probe->loop, &probe->timer);
}

static void
on_timer (struct ev_loop *loop, ev_timer *w, int events)
{
  DyLinkProbe *probe = w->data;
  (void) loop;
  (void) events;
  if (!probe->connected)
    end_probe (probe, DY_LINK_PROBE_UNMADE);
  else
    end_probe (probe, probe->request ? DY_LINK_PROBE_SILENT : DY_LINK_PROBE_WORKS);
}

static void
on_io (struct ev_loop *loop, ev_io *w, int events)
{
  DyLinkProbe *probe = w->data;
  int error = 0;
  socklen_t n = sizeof error;
  (void) events;
  if (probe->connected)
    {
      char byte;
      bool works = probe->request && recv (probe->fd, &byte, 1, MSG_DONTWAIT) == 1;
      end_probe (probe, works ? DY_LINK_PROBE_WORKS : DY_LINK_PROBE_FAILED);
      return;
    }
  if (getsockopt (probe->fd, SOL_SOCKET, SO_ERROR, &error, &n) || error)
    {
      end_probe (probe, DY_LINK_PROBE_FAILED);
      return;
    }
  probe->connected = true;
  ev_io_stop (loop, &probe->io);
  ev_io_set (&probe->io, probe->fd, EV_READ);
  ev_io_start (loop, &probe->io);
  if (probe->request)
    send (probe->fd, probe->request, strlen (probe->request), MSG_NOSIGNAL | MSG_DONTWAIT);
  set_timer (probe, probe->request ? ANSWER_TIMEOUT_S : RESET_WAIT_S);
}

void
dy_link_probe_init (DyLinkProbe *probe,
                    struct ev_loop *loop,
                    double connect_timeout_s,
                    DyLinkProbeDone done,
                    void *ctx)
{
  memset (probe, 0, sizeof *probe);
  probe->loop = loop;
  probe->connect_timeout_s = connect_timeout_s;
  probe->done = done;
  probe->ctx = ctx;
  probe->fd = -1;
  ev_io_init (&probe->io, on_io, -1, 0);
  probe->io.data = probe;
  ev_timer_init (&probe->timer, on_timer, 0.0, 0.0);
  ev_set_priority (&probe->timer, DY_PRIORITY_TIMEOUT);
  probe->timer.data = probe;
}

void
dy_link_probe_finish (DyLinkProbe *probe)
{
  close_probe (probe);
}

bool
dy_link_probe_start (DyLinkProbe *probe, const char *address, const char *path, const char *source)
{
  struct sockaddr_in remote;
  struct sockaddr_in local = { .sin_family = AF_INET };
  bool has_source = source && source[0];
  if (probe->fd >= 0 || dy_address_parse (address, &remote)
      || (has_source && inet_pton (AF_INET, source, &local.sin_addr) != 1))
    return false;
  probe->fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (probe->fd < 0)
    return false;
  if ((has_source && bind (probe->fd, (const struct sockaddr *) &local, sizeof local))
      || (connect (probe->fd, (const struct sockaddr *) &remote, sizeof remote)
          && errno != EINPROGRESS))
    {
      close_probe (probe);
      return false;
    }
  probe->connected = false;
  if (path)
    probe->request = g_strdup_printf ("GET %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n",
                                      path, address);
  probe->started_us = g_get_monotonic_time ();
  ev_io_set (&probe->io, probe->fd, EV_WRITE);
  ev_io_start (probe->loop, &probe->io);
  set_timer (probe, probe->connect_timeout_s);
  return true;
}
