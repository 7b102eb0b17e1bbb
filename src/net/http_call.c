#include "net/http_call_private.h"

#include "kernel/log.h"

#include <string.h>
#include <sys/ioctl.h>

void
dy_http_call_suspend (DyHttpCall *call)
{
  if (call->suspended)
    return;
  call->suspended = true;
  MHD_suspend_connection (call->connection);
  ev_io_start (call->server->loop, &call->disconnect_io);
}

void
dy_http_call_resume (DyHttpCall *call)
{
  if (!call->suspended)
    return;
  call->suspended = false;
  ev_io_stop (call->server->loop, &call->disconnect_io);
  call->record->polled = false;
  MHD_resume_connection (call->connection);
  call->server->run_needed = true;
}

void
dy_http_call_answer_left (DyHttpCall *call)
{
  call->failed = true;
  dy_http_call_reply (call, MHD_HTTP_BAD_GATEWAY, NULL, "", 0);
}

/* Content reader of libmicrohttpd: copies buffered stream bytes; suspends the connection when there
 * are none. */
static ssize_t
read_stream (void *cls, uint64_t pos, char *buf, size_t max)
{
  DyHttpCall *call = cls;
  (void) pos;
  size_t n = dy_http_call_unsent_bytes (call);
  if (call->aborted)
    return MHD_CONTENT_READER_END_WITH_ERROR;
  if (n == 0 && call->aborted_after_flush)
    return MHD_CONTENT_READER_END_WITH_ERROR;
  if (n == 0 && call->ended)
    return MHD_CONTENT_READER_END_OF_STREAM;
  if (n == 0)
    {
      dy_http_call_suspend (call);
      return 0;
    }
  if (n > max)
    n = max;
  memcpy (buf, call->out->str + call->out_sent, n);
  call->out_sent += n;
  size_t pending = dy_http_call_unsent_bytes (call);
  if (pending == 0)
    {
      g_string_truncate (call->out, 0);
      call->out_sent = 0;
    }
  if (pending < call->server->buffer_bytes / 2 && call->watcher && call->watcher->drained)
    call->watcher->drained (call->ctx, call);
  return (ssize_t) n;
}

/* Returns the size of the answer's header fields. */
static size_t
answer_head_bytes (const DyHttpCall *call)
{
  static const size_t n_separators = 2; /* ": " or the end of the line */
  size_t n = 0;
  for (guint i = 0; i < call->headers->len; i++)
    n += strlen (g_ptr_array_index (call->headers, i)) + n_separators;
  return n;
}

/* Replaces an answer whose header fields libmicrohttpd may have no memory for. */
static void
drop_large_answer (DyHttpCall *call)
{
  size_t n = answer_head_bytes (call);
  if (n <= call->server->max_answer_header_bytes)
    return;
  dy_log (DY_EVENT_ANSWER_HEAD_TOO_LARGE, "bytes=%zu status=%u path=%s", n, call->status,
          call->path);
  call->failed = true;
  call->status = MHD_HTTP_BAD_GATEWAY;
  g_ptr_array_set_size (call->headers, 0);
  MHD_destroy_response (call->response);
  call->response = MHD_create_response_from_buffer (0, NULL, MHD_RESPMEM_PERSISTENT);
}

/* Returns whether the handler wants the connection closed. Never if a request that the caller sent
 * without waiting for the answer would be lost. */
static bool
is_closed_by_handler (const DyHttpCall *call)
{
  const DyHttpServer *server = call->server;
  int n_unread = 0;
  return call->complete && server->handler->closes
         && ioctl (call->disconnect_io.fd, FIONREAD, &n_unread) == 0 && n_unread == 0
         && server->handler->closes (server->ctx);
}

enum MHD_Result
dy_http_call_queue (DyHttpCall *call)
{
  drop_large_answer (call);
  for (guint i = 0; i + 1 < call->headers->len; i += 2)
    MHD_add_response_header (call->response, g_ptr_array_index (call->headers, i),
                             g_ptr_array_index (call->headers, i + 1));
  if (call->server->closing || call->record->crowded || call->record->shut || call->failed
      || is_closed_by_handler (call))
    MHD_add_response_header (call->response, MHD_HTTP_HEADER_CONNECTION, "close");
  call->queued = true;
  enum MHD_Result result = MHD_queue_response (call->connection, call->status, call->response);
  MHD_destroy_response (call->response);
  call->response = NULL;
  return result;
}

const char *
dy_http_call_method (const DyHttpCall *call)
{
  return call->method;
}

const char *
dy_http_call_path (const DyHttpCall *call)
{
  return call->path;
}

const char *
dy_http_call_target (const DyHttpCall *call)
{
  return call->target;
}

int64_t
dy_http_call_arrived_us (const DyHttpCall *call)
{
  return call->arrived_us;
}

int64_t
dy_http_call_waited_us (const DyHttpCall *call)
{
  return g_get_monotonic_time () - call->ready_us;
}

bool
dy_http_call_was_held (const DyHttpCall *call)
{
  return call->server->held_us >= call->ready_us;
}

const GString *
dy_http_call_body (const DyHttpCall *call)
{
  return call->body;
}

const char *
dy_http_call_header (DyHttpCall *call, const char *name)
{
  return MHD_lookup_connection_value (call->connection, MHD_HEADER_KIND, name);
}

const char *
dy_http_call_query (DyHttpCall *call, const char *name)
{
  return MHD_lookup_connection_value (call->connection, MHD_GET_ARGUMENT_KIND, name);
}

typedef struct
{
  void (*visit) (void *ctx, const char *name, const char *value);
  void *ctx;
} HeaderVisitor;

static enum MHD_Result
visit_header (void *cls, enum MHD_ValueKind kind, const char *name, const char *value)
{
  const HeaderVisitor *visitor = cls;
  (void) kind;
  visitor->visit (visitor->ctx, name, value ? value : "");
  return MHD_YES;
}

void
dy_http_call_visit_headers (DyHttpCall *call,
                            void (*visit) (void *ctx, const char *name, const char *value),
                            void *ctx)
{
  HeaderVisitor visitor = { visit, ctx };
  MHD_get_connection_values (call->connection, MHD_HEADER_KIND, visit_header, &visitor);
}

void
dy_http_call_watch (DyHttpCall *call, const DyHttpCallWatcher *watcher, void *ctx)
{
  call->watcher = watcher;
  call->ctx = ctx;
}

void
dy_http_call_add_header (DyHttpCall *call, const char *name, const char *value)
{
  g_ptr_array_add (call->headers, g_strdup (name));
  g_ptr_array_add (call->headers, g_strdup (value));
}

void
dy_http_call_reply (
    DyHttpCall *call, unsigned status, const char *content_type, const char *body, size_t n)
{
  if (call->queued || call->response)
    {
      dy_log (DY_EVENT_ANSWER_DISCARDED, "status=%u answered=%u path=%s", status, call->status,
              call->path);
      return;
    }
  call->status = status;
  call->response = MHD_create_response_from_buffer (n, (void *) body, MHD_RESPMEM_MUST_COPY);
  if (content_type)
    dy_http_call_add_header (call, MHD_HTTP_HEADER_CONTENT_TYPE, content_type);
  dy_http_call_resume (call);
}

void
dy_http_call_start_stream (DyHttpCall *call, unsigned status, const char *content_type)
{
  enum
  {
    READ_BLOCK_BYTES = 4096
  };
  call->status = status;
  call->streamed = true;
  call->response = MHD_create_response_from_callback (MHD_SIZE_UNKNOWN, READ_BLOCK_BYTES,
                                                      read_stream, call, NULL);
  if (content_type)
    dy_http_call_add_header (call, MHD_HTTP_HEADER_CONTENT_TYPE, content_type);
  dy_http_call_resume (call);
}

void
dy_http_call_write (DyHttpCall *call, const char *data, size_t n)
{
  g_string_append_len (call->out, data, (gssize) n);
  dy_http_call_resume (call);
}

void
dy_http_call_end (DyHttpCall *call)
{
  call->ended = true;
  dy_http_call_resume (call);
}

void
dy_http_call_abort (DyHttpCall *call)
{
  bool answered = call->queued || call->response;
  if (!answered && dy_peer_state (call->disconnect_io.fd) == DY_PEER_FINISHED)
    {
      call->cut = call->cut ? call->cut : DY_CUT_CALLER;
      dy_http_call_answer_left (call);
      return;
    }
  call->aborted_after_flush = true;
  call->cut = call->cut ? call->cut : DY_CUT_WRITER;
  call->aborted = call->aborted || !answered;
  dy_http_call_resume (call);
}

bool
dy_http_call_is_disconnected (const DyHttpCall *call)
{
  return dy_peer_state (call->disconnect_io.fd) != DY_PEER_OPEN;
}

size_t
dy_http_call_unsent_bytes (const DyHttpCall *call)
{
  return call->out->len - call->out_sent;
}
