#include "net/http_connections.h"

#include "net/http_call_end.h"

#include <errno.h>
#include <sys/socket.h>

DyHttpConnection *
dy_http_connections_add (DyHttpConnections *connections,
                         int fd,
                         uint32_t idle_limit_s,
                         int64_t now_us)
{
  DyHttpConnection *connection = g_new0 (DyHttpConnection, 1);
  connection->link.data = connection;
  connection->fd = fd;
  connection->active_us = now_us;
  connection->idle_limit_s = idle_limit_s;
  g_queue_push_tail_link (&connections->queue, &connection->link);
  connection->crowded = connections->queue.length > connections->max_connections;
  return connection;
}

void
dy_http_connections_remove (DyHttpConnections *connections, DyHttpConnection *connection)
{
  g_queue_unlink (&connections->queue, &connection->link);
  g_free (connection);
}

void
dy_http_connection_end_call (DyHttpConnection *connection, uint32_t idle_limit_s, int64_t now_us)
{
  connection->call = NULL;
  connection->busy = false;
  connection->polled = false;
  connection->active_us = now_us;
  connection->idle_limit_s = idle_limit_s;
}

static bool
has_unread_bytes (int fd)
{
  char byte;
  return recv (fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

/* Returns 0 if there is no limit. */
static int64_t
idle_limit_us (const DyHttpConnection *connection, uint32_t idle_limit_s)
{
  if (connection->crowded)
    return (int64_t) DY_HTTP_CROWDED_IDLE_S * G_USEC_PER_SEC;
  if (connection->idle_limit_s == 0 || idle_limit_s == 0)
    return 0;
  return (int64_t) MAX (connection->idle_limit_s, idle_limit_s) * G_USEC_PER_SEC;
}

static bool
is_expired (const DyHttpConnection *connection, uint32_t idle_limit_s, int64_t now_us)
{
  int64_t limit_us = idle_limit_us (connection, idle_limit_s);
  if (connection->busy || connection->shut || limit_us == 0)
    return false;
  return now_us - connection->active_us > limit_us && !has_unread_bytes (connection->fd);
}

void
dy_http_connections_sweep (DyHttpConnections *connections, uint32_t idle_limit_s, int64_t now_us)
{
  for (const GList *l = connections->queue.head; l; l = l->next)
    {
      DyHttpConnection *connection = l->data;
      if (connection->polled && dy_peer_state (connection->fd) != DY_PEER_OPEN)
        {
          connection->polled = false;
          connections->watcher->left (connections->ctx, connection->call);
        }
      else if (is_expired (connection, idle_limit_s, now_us))
        {
          connection->shut = true;
          if (connection->call)
            connections->watcher->expired (connections->ctx, connection->call);
          shutdown (connection->fd, SHUT_RD);
        }
    }
}
