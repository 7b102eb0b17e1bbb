#include "kernel/log.h"
#include "net/http_call_private.h"

#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  STOP_FLUSH_US = 100 * 1000, /* for answers that are not sent when the server stops */
  STOP_PAUSE_US = 1000,       /* between tries to send them */
  /* From the closing of the server to the first request of a connection. Callers open connections
   * to send at once; the time is for the way there and a head in several parts. */
  FIRST_REQUEST_WAIT_US = 500 * 1000,
};

static void
stop_call (DyHttpCall *call)
{
  bool answered = call->queued || call->response;
  if (call->complete && !answered && call->watcher && call->watcher->stopped)
    call->watcher->stopped (call->ctx, call);
}

/* Returns whether an answer that is complete is not sent. */
static bool
has_unsent_answers (const DyHttpServer *server)
{
  GHashTableIter iter;
  gpointer key;
  g_hash_table_iter_init (&iter, server->calls);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      const DyHttpCall *call = key;
      if ((call->queued || call->response) && !call->aborted && (!call->streamed || call->ended))
        return true;
    }
  return false;
}

static int
n_unread_bytes (int fd)
{
  int n = 0;
  return ioctl (fd, FIONREAD, &n) == 0 ? n : 0;
}

static uint32_t
local_port (int fd)
{
  struct sockaddr_in addr = { 0 };
  socklen_t n = sizeof addr;
  return getsockname (fd, (struct sockaddr *) &addr, &n) == 0 ? ntohs (addr.sin_port) : 0;
}

/* Accepts the connections that wait at LISTENER, which is no longer libmicrohttpd's. */
static void
accept_queued (DyHttpServer *server, int listener)
{
  struct sockaddr_in addr;
  socklen_t n = sizeof addr;
  int fd;
  fcntl (listener, F_SETFL, O_NONBLOCK);
  while ((fd = accept4 (listener, (struct sockaddr *) &addr, &n, SOCK_CLOEXEC | SOCK_NONBLOCK)) >= 0
         || errno == EINTR || errno == ECONNABORTED)
    {
      if (fd >= 0
          && MHD_add_connection (server->daemon, fd, (struct sockaddr *) &addr, n) != MHD_YES)
        dy_log (DY_EVENT_CONNECTION_REJECTED, "port=%u", server->port);
      n = sizeof addr;
    }
}

void
dy_http_server_close (DyHttpServer *server)
{
  if (server->stopping)
    return;
  int listener = MHD_quiesce_daemon (server->daemon);
  server->stopping = true;
  server->closing = true;
  server->run_needed = true;
  server->closed_us = g_get_monotonic_time ();
  if (listener < 0)
    return;
  server->port = local_port (listener);
  accept_queued (server, listener);
  close (listener);
}

static bool
has_unread_bytes (const DyHttpServer *server)
{
  for (const GList *l = server->connections.queue.head; l; l = l->next)
    if (n_unread_bytes (((const DyHttpConnection *) l->data)->fd) > 0)
      return true;
  return false;
}

static bool
has_unused_connections (const DyHttpServer *server)
{
  for (const GList *l = server->connections.queue.head; l; l = l->next)
    if (((const DyHttpConnection *) l->data)->n_calls == 0)
      return true;
  return false;
}

bool
dy_http_server_is_quiet (const DyHttpServer *server)
{
  int64_t age_us = g_get_monotonic_time () - server->closed_us;
  if (g_hash_table_size (server->calls) > 0 || has_unread_bytes (server))
    return false;
  return age_us >= FIRST_REQUEST_WAIT_US || !has_unused_connections (server);
}

/* Aborts all calls, because libmicrohttpd cannot be stopped while connections are suspended. */
static void
abort_calls (DyHttpServer *server)
{
  GList *calls = g_hash_table_get_keys (server->calls);
  for (GList *l = calls; l; l = l->next)
    {
      DyHttpCall *call = l->data;
      call->cut = call->cut ? call->cut : DY_CUT_STOP;
      call->aborted = true;
      call->aborted_after_flush = true;
      dy_http_call_resume (call);
    }
  g_list_free (calls);
  MHD_run (server->daemon);
}

typedef struct
{
  uint32_t n_open;   /* connections */
  uint32_t n_unused; /* no request was begun on them */
  uint32_t n_unread; /* bytes of theirs were not read */
} Leftover;

/* A connection that is closed with unread bytes is reset, so its caller loses a request. */
static void
report_unread (const DyHttpConnection *connection, int64_t now_us)
{
  int n = n_unread_bytes (connection->fd);
  if (n > 0)
    dy_log (DY_EVENT_UNREAD_CLOSED, "unread_bytes=%d requests=%u idle_ms=%" G_GINT64_FORMAT, n,
            connection->n_calls, (now_us - connection->active_us) / 1000);
}

static void
report_connections (const DyHttpServer *server, Leftover *leftover)
{
  int64_t now_us = g_get_monotonic_time ();
  for (const GList *l = server->connections.queue.head; l; l = l->next)
    {
      const DyHttpConnection *connection = l->data;
      leftover->n_open++;
      leftover->n_unused += connection->n_calls == 0;
      leftover->n_unread += n_unread_bytes (connection->fd) > 0;
      report_unread (connection, now_us);
    }
}

static void
report_leftover (const DyHttpServer *server, const Leftover *leftover)
{
  if (leftover->n_open > 0)
    dy_log (DY_EVENT_CONNECTIONS_LEFT, "port=%u open=%u unused=%u unread=%u", server->port,
            leftover->n_open, leftover->n_unused, leftover->n_unread);
}

/* Refuses what comes and sends what was answered, for a limited time. */
static void
flush_calls (DyHttpServer *server)
{
  int64_t end_us = g_get_monotonic_time () + STOP_FLUSH_US;
  dy_http_server_take_pending (server);
  GList *calls = g_hash_table_get_keys (server->calls);
  for (GList *l = calls; l; l = l->next)
    stop_call (l->data);
  g_list_free (calls);
  do
    {
      MHD_run (server->daemon);
      MHD_run (server->daemon); /* what the first one accepted or resumed */
      g_usleep (STOP_PAUSE_US);
    }
  while ((has_unsent_answers (server) || has_unread_bytes (server))
         && g_get_monotonic_time () < end_us);
}

void
dy_http_server_finish (DyHttpServer *server)
{
  Leftover leftover = { 0 };
  if (!server->daemon)
    return;
  ev_io_stop (server->loop, &server->io);
  ev_timer_stop (server->loop, &server->timer);
  ev_timer_stop (server->loop, &server->sweep);
  ev_check_stop (server->loop, &server->turn_start);
  ev_prepare_stop (server->loop, &server->prepare);
  dy_http_server_close (server);
  flush_calls (server);
  abort_calls (server);
  report_connections (server, &leftover);
  report_leftover (server, &leftover);
  MHD_stop_daemon (server->daemon);
  g_hash_table_unref (server->calls);
  server->daemon = NULL;
}
