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

/* Answers the requests that were read and sends what was answered, for a limited time. */
static void
flush_calls (DyHttpServer *server)
{
  int64_t end_us = g_get_monotonic_time () + STOP_FLUSH_US;
  server->stopping = true;
  server->closing = true;
  dy_http_server_take_pending (server);
  GList *calls = g_hash_table_get_keys (server->calls);
  for (GList *l = calls; l; l = l->next)
    stop_call (l->data);
  g_list_free (calls);
  MHD_run (server->daemon); /* accepts and reads what waits */
  MHD_run (server->daemon);
  while (has_unsent_answers (server) && g_get_monotonic_time () < end_us)
    {
      MHD_run (server->daemon);
      g_usleep (STOP_PAUSE_US);
    }
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
  uint32_t n_queued; /* not accepted */
  uint32_t port;     /* on which the server listened */
} Leftover;

static int
n_unread_bytes (int fd)
{
  int n = 0;
  return ioctl (fd, FIONREAD, &n) == 0 ? n : 0;
}

/* A connection that is closed with unread bytes is reset, so its caller loses a request. */
static void
report_unread (int fd, const char *where, uint32_t n_calls, int64_t idle_us)
{
  int n = n_unread_bytes (fd);
  if (n > 0)
    dy_log (DY_EVENT_UNREAD_CLOSED,
            "where=%s unread_bytes=%d requests=%u idle_ms=%" G_GINT64_FORMAT, where, n, n_calls,
            idle_us / 1000);
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
      report_unread (connection->fd, "open", connection->n_calls, now_us - connection->active_us);
    }
}

static uint32_t
local_port (int fd)
{
  struct sockaddr_in addr = { 0 };
  socklen_t n = sizeof addr;
  return getsockname (fd, (struct sockaddr *) &addr, &n) == 0 ? ntohs (addr.sin_port) : 0;
}

/* Closes the listening socket, with the connections that wait in its queue. */
static void
close_listener (DyHttpServer *server, Leftover *leftover)
{
  int listener = MHD_quiesce_daemon (server->daemon);
  if (listener < 0)
    return;
  leftover->port = local_port (listener);
  fcntl (listener, F_SETFL, O_NONBLOCK);
  for (;;)
    {
      int fd = accept4 (listener, NULL, NULL, SOCK_CLOEXEC | SOCK_NONBLOCK);
      if (fd < 0 && (errno == EINTR || errno == ECONNABORTED))
        continue;
      if (fd < 0)
        break;
      leftover->n_queued++;
      leftover->n_unread += n_unread_bytes (fd) > 0;
      report_unread (fd, "queue", 0, 0);
      close (fd);
    }
  close (listener);
}

static void
report_leftover (const Leftover *leftover)
{
  if (leftover->n_open + leftover->n_queued > 0)
    dy_log (DY_EVENT_CONNECTIONS_LEFT, "port=%u open=%u unused=%u queued=%u unread=%u",
            leftover->port, leftover->n_open, leftover->n_unused, leftover->n_queued,
            leftover->n_unread);
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
  flush_calls (server);
  abort_calls (server);
  close_listener (server, &leftover);
  report_connections (server, &leftover);
  report_leftover (&leftover);
  MHD_stop_daemon (server->daemon);
  g_hash_table_unref (server->calls);
  server->daemon = NULL;
}
