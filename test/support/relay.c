#include "support/relay.h"

#include "net/address.h"

#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  LISTEN_BACKLOG = 64,
  BLOCK_BYTES = 65536,
};

/* One direction of a Flow. */
typedef struct
{
  struct Flow *flow;
  int from;
  int to;
  ev_io io;
  ev_timer delay;
  GString *delayed; /* bytes to be forwarded after the delay; until then no more are read */
} Direction;

/* A connection to the relay and the one that the relay opened to the target for it. */
typedef struct Flow
{
  Relay *relay;
  Direction directions[2]; /* to the target, and from it */
  bool lost_bytes;         /* bytes were dropped in either direction */
} Flow;

static const double DELAY_S = 0.1;

static void
free_flow (gpointer data)
{
  Flow *flow = data;
  for (int i = 0; i < 2; i++)
    {
      ev_io_stop (flow->relay->loop, &flow->directions[i].io);
      ev_timer_stop (flow->relay->loop, &flow->directions[i].delay);
      g_string_free (flow->directions[i].delayed, TRUE);
      close (flow->directions[i].from);
    }
  g_free (flow);
}

static void
forward (Direction *dir, const char *data, size_t n)
{
  Flow *flow = dir->flow;
  if (send (dir->to, data, n, MSG_NOSIGNAL) != (ssize_t) n)
    g_ptr_array_remove_fast (flow->relay->flows, flow);
}

static bool
is_dropped (const Direction *dir)
{
  RelayFault fault = dir->flow->relay->fault;
  return fault == RELAY_DROP || (fault == RELAY_DROP_REPLIES && dir == &dir->flow->directions[1]);
}

static void
on_delay_elapsed (struct ev_loop *loop, ev_timer *w, int events)
{
  Direction *dir = w->data;
  (void) events;
  GString *delayed = dir->delayed;
  dir->delayed = g_string_new (NULL);
  ev_io_start (loop, &dir->io);
  forward (dir, delayed->str, delayed->len);
  g_string_free (delayed, TRUE);
}

static void
on_readable (struct ev_loop *loop, ev_io *w, int events)
{
  Direction *dir = w->data;
  Flow *flow = dir->flow;
  char block[BLOCK_BYTES];
  (void) events;
  ssize_t n = recv (dir->from, block, sizeof block, MSG_DONTWAIT);
  if (n <= 0)
    g_ptr_array_remove_fast (flow->relay->flows, flow);
  else if (is_dropped (dir))
    flow->lost_bytes = true;
  else if (flow->relay->fault == RELAY_DELAY)
    {
      g_string_append_len (dir->delayed, block, n);
      ev_io_stop (loop, &dir->io);
      ev_timer_set (&dir->delay, DELAY_S, 0.0);
      ev_timer_start (loop, &dir->delay);
    }
  else
    forward (dir, block, (size_t) n);
}

static void
on_accept (struct ev_loop *loop, ev_io *w, int events)
{
  Relay *relay = w->data;
  struct sockaddr_in addr;
  (void) events;
  int fd = accept (relay->fd, NULL, NULL);
  int to = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0 || dy_address_parse (relay->target, &addr)
      || connect (to, (struct sockaddr *) &addr, sizeof addr))
    {
      close (fd);
      close (to);
      return;
    }
  Flow *flow = g_new0 (Flow, 1);
  flow->relay = relay;
  for (int i = 0; i < 2; i++)
    {
      Direction *dir = &flow->directions[i];
      dir->flow = flow;
      dir->from = i == 0 ? fd : to;
      dir->to = i == 0 ? to : fd;
      dir->delayed = g_string_new (NULL);
      ev_io_init (&dir->io, on_readable, dir->from, EV_READ);
      ev_timer_init (&dir->delay, on_delay_elapsed, 0.0, 0.0);
      dir->io.data = dir;
      dir->delay.data = dir;
      ev_io_start (loop, &dir->io);
    }
  g_ptr_array_add (relay->flows, flow);
}

bool
relay_init (Relay *relay, struct ev_loop *loop, const char *listen_address, const char *target)
{
  struct sockaddr_in addr;
  int one = 1;
  memset (relay, 0, sizeof *relay);
  relay->loop = loop;
  relay->target = g_strdup (target);
  relay->flows = g_ptr_array_new_with_free_func (free_flow);
  relay->fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (relay->fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (dy_address_parse (listen_address, &addr)
      || bind (relay->fd, (struct sockaddr *) &addr, sizeof addr)
      || listen (relay->fd, LISTEN_BACKLOG))
    return false;
  ev_io_init (&relay->io, on_accept, relay->fd, EV_READ);
  relay->io.data = relay;
  ev_io_start (loop, &relay->io);
  return true;
}

void
relay_finish (Relay *relay)
{
  if (!relay->loop)
    return;
  ev_io_stop (relay->loop, &relay->io);
  close (relay->fd);
  g_ptr_array_unref (relay->flows);
  g_free (relay->target);
  memset (relay, 0, sizeof *relay);
}

void
relay_set_fault (Relay *relay, RelayFault fault)
{
  relay->fault = fault;
  for (guint i = relay->flows->len; i > 0 && fault == RELAY_PASS; i--)
    if (((Flow *) g_ptr_array_index (relay->flows, i - 1))->lost_bytes)
      g_ptr_array_remove_index_fast (relay->flows, i - 1);
}

void
relay_reset (Relay *relay)
{
  struct linger linger = { .l_onoff = 1, .l_linger = 0 };
  for (guint i = 0; i < relay->flows->len; i++)
    {
      const Flow *flow = g_ptr_array_index (relay->flows, i);
      for (int k = 0; k < 2; k++)
        setsockopt (flow->directions[k].from, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
    }
  g_ptr_array_set_size (relay->flows, 0);
}
