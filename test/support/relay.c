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

/* One direction of a connection. */
typedef struct
{
  struct Flow *flow;
  int from;
  int to;
  ev_io io;
  ev_timer delay;
  GString *held; /* bytes that are delayed; nothing more is read meanwhile */
} Way;

typedef struct Flow
{
  Relay *relay;
  Way ways[2]; /* to the target, and back */
  bool missed; /* bytes were swallowed */
} Flow;

static const double DELAY_S = 0.1;

static void
free_flow (gpointer data)
{
  Flow *flow = data;
  for (int i = 0; i < 2; i++)
    {
      ev_io_stop (flow->relay->loop, &flow->ways[i].io);
      ev_timer_stop (flow->relay->loop, &flow->ways[i].delay);
      g_string_free (flow->ways[i].held, TRUE);
      close (flow->ways[i].from);
    }
  g_free (flow);
}

static void
pass_on (Way *way, const char *data, size_t n)
{
  Flow *flow = way->flow;
  if (send (way->to, data, n, MSG_NOSIGNAL) != (ssize_t) n)
    g_ptr_array_remove_fast (flow->relay->flows, flow);
}

static bool
is_swallowed (const Way *way)
{
  RelayFault fault = way->flow->relay->fault;
  return fault == RELAY_DROP || (fault == RELAY_DROP_REPLIES && way == &way->flow->ways[1]);
}

static void
on_delay_over (struct ev_loop *loop, ev_timer *w, int events)
{
  Way *way = w->data;
  (void) events;
  GString *held = way->held;
  way->held = g_string_new (NULL);
  ev_io_start (loop, &way->io);
  pass_on (way, held->str, held->len);
  g_string_free (held, TRUE);
}

static void
on_bytes (struct ev_loop *loop, ev_io *w, int events)
{
  Way *way = w->data;
  Flow *flow = way->flow;
  char block[BLOCK_BYTES];
  (void) events;
  ssize_t n = recv (way->from, block, sizeof block, MSG_DONTWAIT);
  if (n <= 0)
    g_ptr_array_remove_fast (flow->relay->flows, flow);
  else if (is_swallowed (way))
    flow->missed = true;
  else if (flow->relay->fault == RELAY_DELAY)
    {
      g_string_append_len (way->held, block, n);
      ev_io_stop (loop, &way->io);
      ev_timer_set (&way->delay, DELAY_S, 0.0);
      ev_timer_start (loop, &way->delay);
    }
  else
    pass_on (way, block, (size_t) n);
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
      Way *way = &flow->ways[i];
      way->flow = flow;
      way->from = i == 0 ? fd : to;
      way->to = i == 0 ? to : fd;
      way->held = g_string_new (NULL);
      ev_io_init (&way->io, on_bytes, way->from, EV_READ);
      ev_timer_init (&way->delay, on_delay_over, 0.0, 0.0);
      way->io.data = way;
      way->delay.data = way;
      ev_io_start (loop, &way->io);
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
    if (((Flow *) g_ptr_array_index (relay->flows, i - 1))->missed)
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
        setsockopt (flow->ways[k].from, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
    }
  g_ptr_array_set_size (relay->flows, 0);
}
