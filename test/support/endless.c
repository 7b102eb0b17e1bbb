#include "support/endless.h"

#include "support/listen.h"

#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

static void
on_writable (struct ev_loop *loop, ev_io *w, int events)
{
  EndlessServer *server = w->data;
  const char *text = server->n_sent == 0 ? server->prefix : server->repeated;
  (void) events;
  ssize_t n = send (server->fd, text, strlen (text), MSG_NOSIGNAL);
  if (n > 0)
    server->n_sent += (size_t) n;
  else if (errno != EAGAIN)
    {
      server->closed = true;
      ev_io_stop (loop, w);
    }
}

static void
close_connection (EndlessServer *server)
{
  ev_io_stop (server->loop, &server->write_io);
  if (server->fd >= 0)
    close (server->fd);
  server->fd = -1;
}

static void
on_accept (struct ev_loop *loop, ev_io *w, int events)
{
  EndlessServer *server = w->data;
  (void) events;
  close_connection (server);
  server->fd = accept (server->listen_fd, NULL, NULL);
  server->n_sent = 0;
  server->closed = false;
  fcntl (server->fd, F_SETFL, O_NONBLOCK);
  ev_io_set (&server->write_io, server->fd, EV_WRITE);
  ev_io_start (loop, &server->write_io);
}

bool
endless_init (EndlessServer *server,
              struct ev_loop *loop,
              const char *address,
              const char *prefix,
              const char *repeated)
{
  memset (server, 0, sizeof *server);
  server->loop = loop;
  server->prefix = prefix;
  server->repeated = repeated;
  server->fd = -1;
  server->listen_fd = listen_on (address);
  ev_io_init (&server->accept_io, on_accept, server->listen_fd, EV_READ);
  ev_init (&server->write_io, on_writable);
  server->accept_io.data = server;
  server->write_io.data = server;
  if (server->listen_fd < 0)
    return false;
  ev_io_start (loop, &server->accept_io);
  return true;
}

void
endless_finish (EndlessServer *server)
{
  close_connection (server);
  ev_io_stop (server->loop, &server->accept_io);
  close (server->listen_fd);
}
