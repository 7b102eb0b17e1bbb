#include "support/canned.h"

#include "support/listen.h"

#include <fcntl.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

static const double END_DELAY_S = 0.05;

static void
end_connection (CannedServer *server)
{
  const struct linger reset = { .l_onoff = 1, .l_linger = 0 };
  ev_io_stop (server->loop, &server->read_io);
  ev_timer_stop (server->loop, &server->end_timer);
  ev_timer_stop (server->loop, &server->silence_timer);
  if (server->fd < 0)
    return;
  if (server->resets)
    setsockopt (server->fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  close (server->fd);
  server->fd = -1;
}

/* Goes on after the silence, then ends the connection. */
static void
on_silence_over (struct ev_loop *loop, ev_timer *w, int events)
{
  CannedServer *server = w->data;
  (void) events;
  send (server->fd, server->rest, strlen (server->rest), MSG_NOSIGNAL);
  ev_timer_set (&server->end_timer, END_DELAY_S, 0.0);
  ev_timer_start (loop, &server->end_timer);
}

static void
on_end (struct ev_loop *loop, ev_timer *w, int events)
{
  (void) loop;
  (void) events;
  end_connection (w->data);
}

/* A request that fits the buffer is answered. */
static void
on_readable (struct ev_loop *loop, ev_io *w, int events)
{
  CannedServer *server = w->data;
  char buffer[4096];
  (void) events;
  if (recv (server->fd, buffer, sizeof buffer, 0) <= 0)
    {
      end_connection (server);
      return;
    }
  ev_io_stop (loop, &server->read_io);
  server->n_requests++;
  send (server->fd, server->text, strlen (server->text), MSG_NOSIGNAL);
  if (server->rest)
    {
      ev_timer_set (&server->silence_timer, (double) server->silence_ms / 1e3, 0.0);
      ev_timer_start (loop, &server->silence_timer);
      return;
    }
  ev_timer_set (&server->end_timer, END_DELAY_S, 0.0);
  ev_timer_start (loop, &server->end_timer);
}

static void
on_accept (struct ev_loop *loop, ev_io *w, int events)
{
  CannedServer *server = w->data;
  (void) events;
  if (server->single && ev_is_active (&server->silence_timer))
    {
      close (accept (server->listen_fd, NULL, NULL));
      return;
    }
  end_connection (server);
  server->fd = accept (server->listen_fd, NULL, NULL);
  fcntl (server->fd, F_SETFL, O_NONBLOCK);
  ev_io_set (&server->read_io, server->fd, EV_READ);
  ev_io_start (loop, &server->read_io);
}

bool
canned_init (
    CannedServer *server, struct ev_loop *loop, const char *address, const char *text, bool resets)
{
  memset (server, 0, sizeof *server);
  server->loop = loop;
  server->text = text;
  server->resets = resets;
  server->fd = -1;
  server->listen_fd = listen_on (address);
  ev_io_init (&server->accept_io, on_accept, server->listen_fd, EV_READ);
  ev_init (&server->read_io, on_readable);
  ev_timer_init (&server->end_timer, on_end, 0.0, 0.0);
  ev_timer_init (&server->silence_timer, on_silence_over, 0.0, 0.0);
  server->accept_io.data = server;
  server->read_io.data = server;
  server->end_timer.data = server;
  server->silence_timer.data = server;
  if (server->listen_fd < 0)
    return false;
  ev_io_start (loop, &server->accept_io);
  return true;
}

void
canned_finish (CannedServer *server)
{
  end_connection (server);
  ev_io_stop (server->loop, &server->accept_io);
  close (server->listen_fd);
}
