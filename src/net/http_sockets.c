#include "net/http_sockets.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  /* Of an idle connection. A time-out that is set also decides how many keep-alive probes may stay
   * unanswered, in place of TCP_KEEPCNT. */
  IDLE_SILENCE_MS = 2000,
  KEEP_ALIVE_IDLE_S = 1, /* idle time before the first keep-alive probe */
  KEEP_ALIVE_INTERVAL_S = 1,
};

/* An idle connection that the server closes or sends bytes on is of no more use. The shutdown makes
 * the kernel reject further bytes; libcurl closes the socket when it looks for a connection. */
static void
on_idle_event (struct ev_loop *loop, ev_io *w, int events)
{
  (void) events;
  ev_io_stop (loop, w);
  shutdown (w->fd, SHUT_RDWR);
}

/* Binds FD to the local address SOURCE and any port. Returns whether that worked. */
static bool
bind_source (int fd, const char *source)
{
  struct sockaddr_in addr = { .sin_family = AF_INET };
  return inet_pton (AF_INET, source, &addr.sin_addr) == 1
         && bind (fd, (const struct sockaddr *) &addr, sizeof addr) == 0;
}

curl_socket_t
dy_http_socket_open (DyHttpClient *client, const struct curl_sockaddr *address)
{
  int fd = socket (address->family, address->socktype | SOCK_CLOEXEC, address->protocol);
  if (fd < 0)
    return CURL_SOCKET_BAD;
  if (client->source && client->source[0] && !bind_source (fd, client->source))
    {
      close (fd);
      return CURL_SOCKET_BAD;
    }
  dy_http_socket_add (client, fd);
  client->n_connections++;
  return fd;
}

void
dy_http_socket_set_options (int fd)
{
  const struct
  {
    int level;
    int name;
    int value;
  } options[] = { { IPPROTO_TCP, TCP_USER_TIMEOUT, IDLE_SILENCE_MS },
                  { SOL_SOCKET, SO_KEEPALIVE, 1 },
                  { IPPROTO_TCP, TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S },
                  { IPPROTO_TCP, TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S } };
  for (size_t i = 0; i < G_N_ELEMENTS (options); i++)
    setsockopt (fd, options[i].level, options[i].name, &options[i].value, sizeof (int));
}

DyHttpSocket *
dy_http_socket_add (DyHttpClient *client, int fd)
{
  DyHttpSocket *sock = g_new0 (DyHttpSocket, 1);
  dy_http_socket_remove (client, fd);
  sock->client = client;
  ev_io_init (&sock->io, on_idle_event, fd, EV_READ);
  sock->io.data = sock;
  g_hash_table_insert (client->sockets, GINT_TO_POINTER (fd), sock);
  return sock;
}

void
dy_http_socket_remove (DyHttpClient *client, int fd)
{
  DyHttpSocket *sock = g_hash_table_lookup (client->sockets, GINT_TO_POINTER (fd));
  if (!sock)
    return;
  ev_io_stop (client->loop, &sock->io);
  if (sock->user)
    *sock->user = NULL;
  g_hash_table_remove (client->sockets, GINT_TO_POINTER (fd));
}

/* Reads the addresses of a socket; it must be connected. */
static void
read_addresses (DyHttpSocket *sock)
{
  socklen_t n_remote = sizeof sock->remote;
  socklen_t n_local = sizeof sock->local;
  sock->connected = getpeername (sock->io.fd, (struct sockaddr *) &sock->remote, &n_remote) == 0
                    && getsockname (sock->io.fd, (struct sockaddr *) &sock->local, &n_local) == 0;
}

static bool
is_connected_to (const DyHttpSocket *sock, struct in_addr ip, int port, int local_port)
{
  return sock->connected && ntohs (sock->local.sin_port) == local_port
         && ntohs (sock->remote.sin_port) == port && sock->remote.sin_addr.s_addr == ip.s_addr;
}

DyHttpSocket *
dy_http_socket_find (DyHttpClient *client, const char *ip, int port, int local_port)
{
  GHashTableIter iter;
  gpointer value;
  struct in_addr addr;
  if (inet_pton (AF_INET, ip, &addr) != 1)
    return NULL;
  g_hash_table_iter_init (&iter, client->sockets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      DyHttpSocket *sock = value;
      bool was_connected = sock->connected;
      if (!was_connected)
        read_addresses (sock);
      if (!is_connected_to (sock, addr, port, local_port))
        continue;
      if (was_connected)
        read_addresses (sock);
      if (sock->connected)
        return sock;
    }
  return NULL;
}

void
dy_http_socket_limit_silence (const DyHttpSocket *sock, int64_t ms)
{
  unsigned limit_ms = (unsigned) ms;
  setsockopt (sock->io.fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit_ms, sizeof limit_ms);
}

void
dy_http_socket_watch_idle (DyHttpSocket *sock)
{
  struct ev_loop *loop = sock->client->loop;
  sock->user = NULL;
  sock->idle_since_us = g_get_monotonic_time ();
  dy_http_socket_limit_silence (sock, IDLE_SILENCE_MS);
  ev_io_stop (loop, &sock->io);
  ev_set_cb (&sock->io, on_idle_event);
  ev_io_set (&sock->io, sock->io.fd, EV_READ);
  ev_io_start (loop, &sock->io);
}

int64_t
dy_http_socket_idle_us (const DyHttpSocket *sock)
{
  return sock->idle_since_us ? g_get_monotonic_time () - sock->idle_since_us : 0;
}

/* Returns whether the other side's host owes an acknowledgement for longer than a round trip takes.
 * A process that is silent owes none. */
static bool
is_unacknowledged (int fd)
{
  struct tcp_info info = { 0 };
  socklen_t n = sizeof info;
  return getsockopt (fd, IPPROTO_TCP, TCP_INFO, &info, &n) == 0
         && (info.tcpi_probes > 0 || info.tcpi_retransmits > 0);
}

bool
dy_http_socket_is_stale (const DyHttpSocket *sock)
{
  char byte;
  ssize_t n = recv (sock->io.fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (n >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK))
    return true;
  return sock->idle_since_us && is_unacknowledged (sock->io.fd);
}
