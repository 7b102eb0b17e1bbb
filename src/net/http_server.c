#include "net/http_server.h"

#include "kernel/error.h"
#include "kernel/log.h"
#include "net/address.h"
#include "net/http_call_private.h"

#include <linux/sockios.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/resource.h>
#include <sys/socket.h>

enum
{
  /* Time that a turn of the loop spends in the handler. Sockets and timers of all other work wait
   * for the end of the turn. */
  TURN_BUDGET_US = 20 * 1000,
  /* Time for which a caller may leave an answer unread. Connections are also closed if they are
   * idle for that long. */
  SEND_TIMEOUT_S = 120,
  /* Connections beyond the limit that may wait for their refusal at a time. */
  CROWDED_CONNECTIONS = 64,
  MAX_UNSENT_CALLS = 200, /* looked at by dy_http_server_unsent(), with a system call for each */
  HOLD_CHECK_MS = 5,      /* interval at which the handler is asked whether requests still wait */
};

static const double SWEEP_INTERVAL_S = 0.2;

static void
remove_pending (DyHttpCall *call)
{
  if (!call->pending_link.data)
    return;
  g_queue_unlink (&call->server->pending, &call->pending_link);
  call->pending_link.data = NULL;
}

/* Ends a call whose caller has left. */
static void
end_left (DyHttpCall *call, DyCut cut)
{
  const DyHttpCallWatcher *watcher = call->watcher;
  call->cut = cut;
  remove_pending (call);
  if (cut == DY_CUT_CALLER && !call->queued && !call->response)
    {
      call->watcher = NULL;
      if (watcher && watcher->closed)
        watcher->closed (call->ctx, call, false);
      dy_http_call_answer_left (call);
      return;
    }
  call->aborted = true;
  dy_http_call_resume (call);
}

/* libmicrohttpd does not poll suspended connections, so a caller that disconnects is detected
 * here. Bytes that arrive are left to libmicrohttpd; as they stay readable, the sweep looks for the
 * end of the connection from then on. */
static void
on_disconnect (struct ev_loop *loop, ev_io *w, int events)
{
  DyHttpCall *call = w->data;
  char byte;
  (void) events;
  DyPeerState peer = dy_peer_state (w->fd);
  if (peer != DY_PEER_OPEN)
    {
      end_left (call, peer == DY_PEER_FINISHED ? DY_CUT_CALLER : DY_CUT_RESET);
      return;
    }
  /* Less than 0 without a reset: there was nothing to read after all. */
  if (recv (w->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0)
    return;
  ev_io_stop (loop, w);
  call->record->polled = true;
}

/* Called by libmicrohttpd when the request line is read; only here is the raw target available. */
static void *
begin_call (void *cls, const char *target, struct MHD_Connection *conn)
{
  DyHttpServer *server = cls;
  DyHttpCall *call = g_new0 (DyHttpCall, 1);
  call->server = server;
  call->connection = conn;
  call->record = MHD_get_connection_info (conn, MHD_CONNECTION_INFO_SOCKET_CONTEXT)->socket_context;
  call->record->call = call;
  call->record->n_calls++;
  call->record->active_us = g_get_monotonic_time ();
  call->target = g_strdup (target);
  call->arrived_us = g_get_monotonic_time ();
  call->body = g_string_new (NULL);
  call->out = g_string_new (NULL);
  call->headers = g_ptr_array_new_with_free_func (g_free);
  int fd = MHD_get_connection_info (conn, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
  ev_io_init (&call->disconnect_io, on_disconnect, fd, EV_READ);
  call->disconnect_io.data = call;
  g_hash_table_add (server->calls, call);
  return call;
}

typedef struct
{
  uint32_t n_lengths; /* Content-Length fields */
  uint32_t n_codings; /* Transfer-Encoding fields */
  bool malformed;
} Framing;

static enum MHD_Result
check_header (void *cls,
              enum MHD_ValueKind kind,
              const char *name,
              size_t n,
              const char *value,
              size_t n_value)
{
  Framing *framing = cls;
  (void) kind;
  (void) n_value;
  if (n == 0 || strpbrk (name, " \t"))
    framing->malformed = true;
  if (g_ascii_strcasecmp (name, MHD_HTTP_HEADER_CONTENT_LENGTH) == 0)
    {
      framing->n_lengths++;
      framing->malformed = framing->malformed || !value || strspn (value, "0123456789") == 0
                           || value[strspn (value, "0123456789")] != '\0';
    }
  if (g_ascii_strcasecmp (name, MHD_HTTP_HEADER_TRANSFER_ENCODING) == 0)
    {
      framing->n_codings++;
      framing->malformed
          = framing->malformed || !value || g_ascii_strcasecmp (value, "chunked") != 0;
    }
  return MHD_YES;
}

/* libmicrohttpd accepts some requests with several length headers: it uses one and ignores the
 * others. */
static bool
is_framing_valid (struct MHD_Connection *conn)
{
  Framing framing = { 0 };
  MHD_get_connection_values_n (conn, MHD_HEADER_KIND, check_header, &framing);
  return !framing.malformed && framing.n_lengths + framing.n_codings <= 1;
}

/* Answers a request of which no more is read. */
static enum MHD_Result
reject (DyHttpCall *call, unsigned status, const char *text)
{
  call->status = status;
  call->response
      = MHD_create_response_from_buffer (strlen (text), (void *) text, MHD_RESPMEM_PERSISTENT);
  if (!call->server->closing && !call->record->crowded)
    dy_http_call_add_header (call, MHD_HTTP_HEADER_CONNECTION, "close");
  return dy_http_call_queue (call);
}

static enum MHD_Result
read_header (DyHttpCall *call, const char *path, const char *method)
{
  call->header_read = true;
  call->method = g_strdup (method);
  call->path = g_strdup (path);
  size_t n = MHD_get_connection_info (call->connection, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE)
                 ->header_size;
  if (n > call->server->max_header_bytes)
    return reject (call, MHD_HTTP_REQUEST_HEADER_FIELDS_TOO_LARGE, "the header is too large\n");
  if (!is_framing_valid (call->connection))
    return reject (call, MHD_HTTP_BAD_REQUEST, "the request's framing is ambiguous\n");
  return MHD_YES;
}

static void
append_body (DyHttpCall *call, const char *data, size_t n)
{
  call->record->active_us = g_get_monotonic_time ();
  if (call->body->len + n > call->server->max_body_bytes)
    call->too_large = true;
  else
    g_string_append_len (call->body, data, (gssize) n);
}

static void
refuse_crowded (DyHttpCall *call)
{
  DyHttpServer *server = call->server;
  if (server->handler->overloaded)
    {
      server->handler->overloaded (server->ctx, call);
      return;
    }
  dy_http_call_add_header (call, MHD_HTTP_HEADER_RETRY_AFTER, "1");
  dy_http_call_reply (call, MHD_HTTP_SERVICE_UNAVAILABLE, NULL, "", 0);
}

static void
run_handler (DyHttpCall *call)
{
  DyHttpServer *server = call->server;
  int64_t started_us = g_get_monotonic_time ();
  if (call->too_large)
    server->handler->too_large (server->ctx, call);
  else if (call->record->crowded || call->record->shut || server->stopping)
    refuse_crowded (call);
  else
    server->handler->handle (server->ctx, call);
  server->turn_spent_us += g_get_monotonic_time () - started_us;
}

static bool
holds (DyHttpServer *server)
{
  bool held = server->handler->holds && server->handler->holds (server->ctx);
  if (held)
    server->held_us = g_get_monotonic_time ();
  return held;
}

/* Passes the request to the handler, or to the queue if the time of this turn is used up or the
 * handler wants it to wait. On a connection that was shut down, libmicrohttpd takes no answer later
 * than in this turn. */
static void
take_request (DyHttpCall *call)
{
  DyHttpServer *server = call->server;
  call->complete = true;
  call->record->busy = true;
  call->ready_us = server->turn_started_us;
  bool has_time = server->pending.length == 0 && server->turn_spent_us < TURN_BUDGET_US;
  if (server->stopping || call->record->shut || (has_time && !holds (server)))
    {
      run_handler (call);
      return;
    }
  call->pending_link.data = call;
  g_queue_push_tail_link (&server->pending, &call->pending_link);
}

/* Passes queued requests to the handler while time of this turn is left. */
static void
run_pending (DyHttpServer *server)
{
  server->holding = server->pending.length > 0 && holds (server);
  if (server->holding)
    return;
  while (server->pending.length > 0 && server->turn_spent_us < TURN_BUDGET_US)
    {
      DyHttpCall *call = g_queue_peek_head (&server->pending);
      remove_pending (call);
      run_handler (call);
    }
}

void
dy_http_server_take_pending (DyHttpServer *server)
{
  while (server->pending.length > 0)
    {
      DyHttpCall *call = g_queue_peek_head (&server->pending);
      remove_pending (call);
      run_handler (call);
    }
}

static enum MHD_Result
handle_connection (void *cls,
                   struct MHD_Connection *conn,
                   const char *url,
                   const char *method,
                   const char *version,
                   const char *data,
                   size_t *n_data,
                   void **state)
{
  DyHttpCall *call = *state;
  (void) cls;
  (void) version;
  (void) conn;
  if (!call)
    return MHD_NO;
  if (!call->header_read)
    return read_header (call, url, method);
  if (*n_data > 0)
    {
      append_body (call, data, *n_data);
      *n_data = 0;
      return MHD_YES;
    }
  if (!call->complete)
    take_request (call);
  if (call->aborted)
    return MHD_NO;
  if (call->response)
    return dy_http_call_queue (call);
  dy_http_call_suspend (call);
  return MHD_YES;
}

static DyReceived
received (const DyHttpCall *call)
{
  if (call->complete)
    return DY_RECEIVED_WHOLE;
  return call->header_read ? DY_RECEIVED_HEAD : DY_RECEIVED_LINE;
}

static void
report_cut (DyHttpCall *call, enum MHD_RequestTerminationCode code)
{
  DyHttpServer *server = call->server;
  DyHttpCallEnd end = { .cut = call->cut,
                        .code = code,
                        .peer = dy_peer_state (call->disconnect_io.fd),
                        .received = received (call),
                        .waiting = call->pending_link.data != NULL,
                        .shut = call->record->shut,
                        .answer_begun = call->queued,
                        .status = call->status,
                        .body_bytes = call->body->len,
                        .unsent_bytes = dy_http_call_unsent_bytes (call),
                        .age_us = g_get_monotonic_time () - call->arrived_us };
  const char *id = call->header_read && server->handler->request_id
                       ? server->handler->request_id (server->ctx, call)
                       : NULL;
  dy_http_call_end_report (&end, id, server->counters);
}

static void
complete_call (void *cls,
               struct MHD_Connection *conn,
               void **state,
               enum MHD_RequestTerminationCode code)
{
  DyHttpServer *server = cls;
  DyHttpCall *call = *state;
  (void) conn;
  if (!call)
    return;
  bool complete = code == MHD_REQUEST_TERMINATED_COMPLETED_OK && !call->aborted && !call->failed;
  if (!complete)
    report_cut (call, code);
  ev_io_stop (server->loop, &call->disconnect_io);
  remove_pending (call);
  dy_http_connection_end_call (call->record, server->idle_timeout_s, g_get_monotonic_time ());
  g_hash_table_remove (server->calls, call);
  if (call->watcher && call->watcher->closed)
    call->watcher->closed (call->ctx, call, complete);
  if (call->response)
    MHD_destroy_response (call->response);
  g_string_free (call->body, TRUE);
  g_string_free (call->out, TRUE);
  g_ptr_array_unref (call->headers);
  g_free (call->method);
  g_free (call->path);
  g_free (call->target);
  g_free (call);
  *state = NULL;
}

static void
notify_connection (void *cls,
                   struct MHD_Connection *conn,
                   void **context,
                   enum MHD_ConnectionNotificationCode code)
{
  DyHttpServer *server = cls;
  if (code == MHD_CONNECTION_NOTIFY_STARTED)
    {
      int fd = MHD_get_connection_info (conn, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
      *context = dy_http_connections_add (&server->connections, fd, server->idle_timeout_s,
                                          g_get_monotonic_time ());
      return;
    }
  dy_http_connections_remove (&server->connections, *context);
  *context = NULL;
}

static void
on_expired (void *ctx, DyHttpCall *call)
{
  (void) ctx;
  call->cut = DY_CUT_IDLE;
}

static void
on_left (void *ctx, DyHttpCall *call)
{
  (void) ctx;
  end_left (call, DY_CUT_CALLER);
}

static const DyHttpConnectionsWatcher connections_watcher
    = { .expired = on_expired, .left = on_left };

static void
on_sweep (struct ev_loop *loop, ev_timer *w, int events)
{
  DyHttpServer *server = w->data;
  (void) loop;
  (void) events;
  dy_http_connections_sweep (&server->connections, server->idle_timeout_s, g_get_monotonic_time ());
}

static void
on_readable (struct ev_loop *loop, ev_io *w, int events)
{
  DyHttpServer *server = w->data;
  (void) loop;
  (void) events;
  MHD_run (server->daemon);
}

static void
on_timer (struct ev_loop *loop, ev_timer *w, int events)
{
  DyHttpServer *server = w->data;
  (void) loop;
  (void) events;
  MHD_run (server->daemon);
}

static void
on_turn_start (struct ev_loop *loop, ev_check *w, int events)
{
  DyHttpServer *server = w->data;
  (void) loop;
  (void) events;
  server->turn_started_us = g_get_monotonic_time ();
  server->turn_spent_us = 0;
}

static void
on_prepare (struct ev_loop *loop, ev_prepare *w, int events)
{
  DyHttpServer *server = w->data;
  (void) events;
  run_pending (server);
  while (server->run_needed)
    {
      server->run_needed = false;
      MHD_run (server->daemon);
    }
  MHD_UNSIGNED_LONG_LONG timeout_ms = 0;
  bool is_due = server->pending.length > 0 && !server->holding;
  ev_timer_stop (loop, &server->timer);
  if (!is_due && MHD_get_timeout (server->daemon, &timeout_ms) != MHD_YES)
    {
      if (!server->holding)
        return;
      timeout_ms = HOLD_CHECK_MS;
    }
  if (server->holding)
    timeout_ms = MIN (timeout_ms, HOLD_CHECK_MS);
  ev_timer_set (&server->timer, (double) timeout_ms / 1000.0, 0.0);
  ev_timer_start (loop, &server->timer);
}

static uint32_t
max_connections (void)
{
  enum
  {
    DEFAULT = 1000
  };
  struct rlimit limit;
  if (getrlimit (RLIMIT_NOFILE, &limit) != 0)
    return DEFAULT;
  return (uint32_t) (MIN (limit.rlim_cur, (rlim_t) G_MAXINT32) / 4 * 3);
}

int
dy_http_server_init (DyHttpServer *server,
                     struct ev_loop *loop,
                     const char *listen,
                     uint64_t max_body_bytes,
                     uint64_t header_pool_bytes,
                     uint64_t buffer_bytes,
                     const DyHttpServerHandler *handler,
                     void *ctx)
{
  struct sockaddr_in addr;
  memset (server, 0, sizeof *server);
  server->loop = loop;
  server->handler = handler;
  server->ctx = ctx;
  server->max_body_bytes = max_body_bytes;
  server->max_header_bytes = header_pool_bytes / 3 * 2;
  server->max_answer_header_bytes = header_pool_bytes / 6;
  server->buffer_bytes = buffer_bytes;
  if (dy_address_parse (listen, &addr))
    return DY_SETTINGS;
  server->connections.watcher = &connections_watcher;
  server->connections.ctx = server;
  server->connections.max_connections = max_connections ();
  server->calls = g_hash_table_new (NULL, NULL);
  server->daemon = MHD_start_daemon (
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL, handle_connection, server,
      MHD_OPTION_SOCK_ADDR, &addr, MHD_OPTION_URI_LOG_CALLBACK, begin_call, server,
      MHD_OPTION_NOTIFY_CONNECTION, notify_connection, server, MHD_OPTION_NOTIFY_COMPLETED,
      complete_call, server, MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t) header_pool_bytes,
      MHD_OPTION_CONNECTION_LIMIT, server->connections.max_connections + CROWDED_CONNECTIONS,
      MHD_OPTION_CONNECTION_TIMEOUT, (unsigned) SEND_TIMEOUT_S, MHD_OPTION_LISTENING_ADDRESS_REUSE,
      1U, MHD_OPTION_END);
  if (!server->daemon)
    {
      g_hash_table_unref (server->calls);
      return DY_IO;
    }
  int fd = MHD_get_daemon_info (server->daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
  ev_io_init (&server->io, on_readable, fd, EV_READ);
  ev_timer_init (&server->timer, on_timer, 0.0, 0.0);
  ev_check_init (&server->turn_start, on_turn_start);
  ev_prepare_init (&server->prepare, on_prepare);
  ev_timer_init (&server->sweep, on_sweep, SWEEP_INTERVAL_S, SWEEP_INTERVAL_S);
  server->io.data = server;
  server->sweep.data = server;
  server->timer.data = server;
  server->turn_start.data = server;
  server->prepare.data = server;
  ev_set_priority (&server->turn_start, EV_MAXPRI);
  ev_io_start (loop, &server->io);
  ev_timer_start (loop, &server->sweep);
  ev_check_start (loop, &server->turn_start);
  ev_prepare_start (loop, &server->prepare);
  return DY_OK;
}

void
dy_http_server_set_idle_timeout (DyHttpServer *server, uint32_t timeout_s)
{
  server->idle_timeout_s = timeout_s;
}

uint32_t
dy_http_server_unsent (const DyHttpServer *server, uint64_t *bytes)
{
  uint32_t n_calls = 0;
  uint32_t n_seen = 0;
  GHashTableIter iter;
  gpointer key;
  g_hash_table_iter_init (&iter, server->calls);
  while (g_hash_table_iter_next (&iter, &key, NULL) && n_seen < MAX_UNSENT_CALLS)
    {
      const DyHttpCall *call = key;
      int n_queued = 0;
      if (!call->queued)
        continue;
      n_seen++;
      ioctl (call->disconnect_io.fd, SIOCOUTQ, &n_queued);
      size_t n = dy_http_call_unsent_bytes (call) + (size_t) MAX (n_queued, 0);
      n_calls += n > 0;
      *bytes += n;
    }
  return n_calls;
}

uint32_t
dy_http_server_n_calls (const DyHttpServer *server)
{
  return g_hash_table_size (server->calls);
}
