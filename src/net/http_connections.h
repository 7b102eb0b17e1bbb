#ifndef DY_NET_HTTP_CONNECTIONS_H
#define DY_NET_HTTP_CONNECTIONS_H

/**
 * NAME
 *   http_connections - open connections of an HTTP server, and the end of idle ones
 *
 * DESCRIPTION
 *   A connection is idle from its last activity, which is its opening, a received part of a request
 *   or the end of an answer, to the end of the next request. One that has been idle for too long is
 *   shut down for reading, upon which the HTTP library closes it. That is never done while received
 *   bytes are unread, so a request that arrived while the process stood still is answered. The
 *   kernel still accepts bytes after it: a whole request that comes before the library has read the
 *   end of the connection is refused at once, as not run.
 *
 *   The limit of a connection is the highest one that was in force since its last answer, as the
 *   caller may know any of these.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum
{
  DY_HTTP_CROWDED_IDLE_S = 1, /* idle limit of a connection beyond the limit of connections */
};

struct DyHttpCall;

typedef struct
{
  GList link;
  int fd;
  int64_t active_us;       /* monotonic time of the last activity */
  uint32_t idle_limit_s;   /* in force at the end of the last answer; 0: none */
  uint32_t n_calls;        /* requests that were begun */
  bool busy;               /* a whole request is read and its answer is not complete */
  bool crowded;            /* opened beyond the limit of connections */
  bool shut;               /* shut down for reading */
  struct DyHttpCall *call; /* the request that is being read or answered; NULL: none */
  bool polled;             /* sweeps check whether the caller has left, as readable bytes hide it */
} DyHttpConnection;

typedef struct
{
  /* Called before the connection of CALL, whose request is not complete, is shut down. */
  void (*expired) (void *ctx, struct DyHttpCall *call);
  /* Called when the caller of a polled connection has left. */
  void (*left) (void *ctx, struct DyHttpCall *call);
} DyHttpConnectionsWatcher;

typedef struct
{
  GQueue queue;             /* of DyHttpConnection */
  uint32_t max_connections; /* those opened beyond it are marked as crowded */
  const DyHttpConnectionsWatcher *watcher;
  void *ctx;
} DyHttpConnections;

DyHttpConnection *dy_http_connections_add (DyHttpConnections *connections,
                                           int fd,
                                           uint32_t idle_limit_s,
                                           int64_t now_us);
void dy_http_connections_remove (DyHttpConnections *connections, DyHttpConnection *connection);

/* Records the end of the connection's call. */
void
dy_http_connection_end_call (DyHttpConnection *connection, uint32_t idle_limit_s, int64_t now_us);

/* Shuts down the connections that have been idle for too long, and checks the polled ones. */
void
dy_http_connections_sweep (DyHttpConnections *connections, uint32_t idle_limit_s, int64_t now_us);

#endif
