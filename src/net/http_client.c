#include "net/http_client.h"

#include "kernel/error.h"
#include "kernel/priority.h"
#include "net/http_framing.h"
#include "net/http_sockets.h"
#include "net/http_status.h"

#include <glib.h>
#include <string.h>
#include <unistd.h>

enum
{
  /* Of the header and trailer fields of an answer and of its interim answers. */
  MAX_HEAD_BYTES = 64 * 1024,
  /* libcurl reads a connection up to a hundred times in a turn of the loop while there is more, and
   * passes on each chunk by itself, which may be a byte. */
  READ_BYTES = 4096,
};

struct DyHttpTransfer
{
  DyHttpClient *client;
  CURL *easy;
  DyHttpSocket *sock; /* that the request was sent on; NULL: not sent, or the socket is closed */
  struct curl_slist *headers;
  const DyHttpTransferWatcher *watcher;
  void *ctx;
  uint64_t etag;
  int64_t connect_timeout_ms;
  int64_t timeout_ms;
  int64_t read_timeout_ms;
  int64_t max_idle_ms;    /* 0: no limit */
  int64_t max_silence_ms; /* 0: that of the socket */
  int64_t progress_timeout_ms;
  int64_t body_timeout_ms;
  double body_end_s;       /* loop time at which the body must be complete; 0: it has not begun */
  uint64_t max_body_bytes; /* 0: no limit */
  uint64_t n_head_bytes;
  uint64_t n_body_bytes;
  uint64_t n_request_bytes; /* of the request's body */
  int64_t sent_us;
  int64_t idle_us;         /* of the connection, before the request was sent */
  unsigned earlier_status; /* on the connection */
  uint32_t tag;
  bool connected;
  bool reused;               /* its connection had been used before */
  bool stale;                /* the reused connection was not fit for a request */
  bool on_new_connection;    /* is to use one, or was restarted on one */
  bool resend_prevented;     /* libcurl was about to send the request a second time */
  bool rejected;             /* the data callback rejected the answer */
  bool withheld;             /* the before_send callback returned false */
  bool allows_body;          /* the answer to the request's method may have a body */
  bool ends_with_connection; /* the answer has no length */
  bool was_reset;            /* its connection was */
  GList cancelled_link;      /* in the client's queue; its data is NULL while it is not there */
  GPtrArray *head;           /* header fields of the answer: name, value, name, value ... */
  ev_timer limit_timer; /* limits the time until the request is sent, then the time of the answer */
  ev_timer read_timer;  /* runs while bytes of the answer are awaited */
};

static void
free_transfer (DyHttpTransfer *transfer)
{
  ev_timer_stop (transfer->client->loop, &transfer->limit_timer);
  ev_timer_stop (transfer->client->loop, &transfer->read_timer);
  if (transfer->cancelled_link.data)
    g_queue_unlink (&transfer->client->cancelled, &transfer->cancelled_link);
  curl_multi_remove_handle (transfer->client->multi, transfer->easy);
  curl_easy_cleanup (transfer->easy);
  if (transfer->sock)
    dy_http_socket_watch_idle (transfer->sock);
  curl_slist_free_all (transfer->headers);
  g_ptr_array_unref (transfer->head);
  transfer->client->n_transfers--;
  g_free (transfer);
}

static int
error_from_curl (CURLcode code)
{
  switch (code)
    {
    case CURLE_OK:
      return DY_OK;
    case CURLE_OPERATION_TIMEDOUT:
      return DY_TIMEOUT;
    case CURLE_COULDNT_CONNECT:
    case CURLE_COULDNT_RESOLVE_HOST:
    case CURLE_SEND_ERROR:
    case CURLE_RECV_ERROR:
    case CURLE_GOT_NOTHING:
      return DY_UNAVAILABLE;
    default:
      return DY_PROTOCOL;
    }
}

/* Returns whether the answer, which has ended with its connection, may lack its end. */
static bool
may_be_cut (const DyHttpTransfer *transfer)
{
  curl_off_t n_written = 0;
  if (!transfer->ends_with_connection)
    return false;
  curl_easy_getinfo (transfer->easy, CURLINFO_SIZE_UPLOAD_T, &n_written);
  return transfer->was_reset || (uint64_t) n_written < transfer->n_request_bytes;
}

static void
finish_transfer (DyHttpTransfer *transfer, int error)
{
  bool aborted = transfer->resend_prevented || transfer->withheld
                 || (error == DY_OK && may_be_cut (transfer));
  DyHttpResult result = { .error = aborted ? DY_UNAVAILABLE : error,
                          .connected = transfer->connected,
                          .etag = transfer->etag,
                          .sent_us = transfer->sent_us,
                          .reused = transfer->reused,
                          .idle_us = transfer->idle_us,
                          .earlier_status = transfer->earlier_status,
                          .n_body_bytes = transfer->n_body_bytes };
  result.status = dy_http_transfer_status (transfer);
  const DyHttpTransferWatcher *watcher = transfer->watcher;
  void *ctx = transfer->ctx;
  free_transfer (transfer);
  watcher->done (ctx, &result);
}

/* Starts the limit on the next phase of the transfer; 0: no limit. */
static void
set_limit (DyHttpTransfer *transfer, int64_t limit_ms)
{
  struct ev_loop *loop = transfer->client->loop;
  ev_timer_stop (loop, &transfer->limit_timer);
  if (limit_ms == 0)
    return;
  ev_timer_set (&transfer->limit_timer, (double) limit_ms / 1000.0, 0.0);
  ev_timer_start (loop, &transfer->limit_timer);
}

/* Bytes of the body have arrived. */
static void
extend_limit (DyHttpTransfer *transfer)
{
  double now_s = ev_now (transfer->client->loop);
  if (!transfer->progress_timeout_ms)
    return;
  if (transfer->body_end_s == 0)
    transfer->body_end_s = now_s + (double) transfer->body_timeout_ms / 1000.0;
  int64_t left_ms = (int64_t) ((transfer->body_end_s - now_s) * 1000.0);
  set_limit (transfer, CLAMP (left_ms, 1, transfer->progress_timeout_ms));
}

/* Restarts the transfer; nothing was sent on the stale connection. */
static void
restart_on_new_connection (DyHttpTransfer *transfer)
{
  CURLM *multi = transfer->client->multi;
  transfer->stale = false;
  transfer->on_new_connection = true;
  curl_multi_remove_handle (multi, transfer->easy);
  curl_easy_setopt (transfer->easy, CURLOPT_FRESH_CONNECT, 1L);
  curl_multi_add_handle (multi, transfer->easy);
}

static void
finish_completed (DyHttpClient *client)
{
  CURLMsg *msg;
  int n_remaining;
  while ((msg = curl_multi_info_read (client->multi, &n_remaining)))
    {
      DyHttpTransfer *transfer;
      if (msg->msg != CURLMSG_DONE)
        continue;
      CURLcode code = msg->data.result;
      curl_easy_getinfo (msg->easy_handle, CURLINFO_PRIVATE, (char **) &transfer);
      if (transfer->stale && !transfer->on_new_connection)
        restart_on_new_connection (transfer);
      else
        finish_transfer (transfer, error_from_curl (code));
    }
}

static void
on_socket_event (struct ev_loop *loop, ev_io *w, int events)
{
  const DyHttpSocket *sock = w->data;
  DyHttpClient *client = sock->client;
  int running;
  int mask = (events & EV_READ ? CURL_CSELECT_IN : 0) | (events & EV_WRITE ? CURL_CSELECT_OUT : 0);
  (void) loop;
  curl_multi_socket_action (client->multi, w->fd, mask, &running);
  finish_completed (client);
}

static void
on_timer (struct ev_loop *loop, ev_timer *w, int events)
{
  DyHttpClient *client = w->data;
  int running;
  (void) loop;
  (void) events;
  curl_multi_socket_action (client->multi, CURL_SOCKET_TIMEOUT, 0, &running);
  finish_completed (client);
}

static int
set_timer (CURLM *multi, long timeout_ms, void *ctx)
{
  DyHttpClient *client = ctx;
  (void) multi;
  ev_timer_stop (client->loop, &client->timer);
  if (timeout_ms < 0)
    return 0;
  ev_timer_set (&client->timer, (double) timeout_ms / 1000.0, 0.0);
  ev_timer_start (client->loop, &client->timer);
  return 0;
}

static int
set_socket (CURL *easy, curl_socket_t fd, int what, void *ctx, void *socket_ctx)
{
  DyHttpClient *client = ctx;
  DyHttpSocket *sock = g_hash_table_lookup (client->sockets, GINT_TO_POINTER (fd));
  (void) easy;
  (void) socket_ctx;
  if (what == CURL_POLL_REMOVE)
    {
      if (sock && !sock->user)
        dy_http_socket_remove (client, fd);
      else if (sock)
        ev_io_stop (client->loop, &sock->io);
      return 0;
    }
  if (!sock)
    sock = dy_http_socket_add (client, fd);
  int events = (what & CURL_POLL_IN ? EV_READ : 0) | (what & CURL_POLL_OUT ? EV_WRITE : 0);
  ev_io_stop (client->loop, &sock->io);
  ev_set_cb (&sock->io, on_socket_event);
  ev_io_set (&sock->io, fd, events);
  ev_io_start (client->loop, &sock->io);
  return 0;
}

/* Returns whether an answer with STATUS may be sent a second time, late. */
static bool
may_be_copied (unsigned status)
{
  return status == DY_HTTP_REQUEST_TIMEOUT || status == DY_HTTP_MISDIRECTED
         || status == DY_HTTP_TOO_MANY_REQUESTS || status >= DY_HTTP_SERVER_ERROR;
}

/* Stores the header field in DATA; a status line clears the fields of an earlier (interim) answer.
 * At the empty line that ends the header of a final answer, calls the head callback. Returns false
 * when the callback rejected the answer. */
static bool
parse_header_line (DyHttpTransfer *transfer, const char *data, size_t n)
{
  const char *colon = memchr (data, ':', n);
  if (colon)
    {
      g_ptr_array_add (transfer->head, g_strstrip (g_strndup (data, (gsize) (colon - data))));
      g_ptr_array_add (transfer->head,
                       g_strstrip (g_strndup (colon + 1, n - (gsize) (colon + 1 - data))));
      return true;
    }
  if (n >= 5 && memcmp (data, "HTTP/", 5) == 0)
    {
      g_ptr_array_set_size (transfer->head, 0);
      return true;
    }
  unsigned status = dy_http_transfer_status (transfer);
  if (n > 2 || status < DY_HTTP_FIRST_FINAL)
    return true;
  if (status > DY_HTTP_LAST_VALID)
    return false;
  transfer->ends_with_connection
      = dy_http_ends_with_connection (status, (const DyHttpHeader *) transfer->head->pdata,
                                      transfer->head->len / 2, transfer->allows_body);
  if (transfer->sock)
    transfer->sock->status = status;
  if (may_be_copied (status))
    dy_http_transfer_close_after (transfer);
  if (!transfer->watcher->head)
    return true;
  transfer->client->n_callbacks++;
  bool taken = transfer->watcher->head (
      transfer->ctx, status, (const DyHttpHeader *) transfer->head->pdata, transfer->head->len / 2);
  transfer->client->n_callbacks--;
  return taken;
}

/* Called by libcurl for each header line, the status line and the final empty line included. */
static size_t
on_header (char *data, size_t size, size_t n, void *ctx)
{
  DyHttpTransfer *transfer = ctx;
  size_t len = size * n;
  static const char name[] = "etag:";
  enum
  {
    N_NAME = sizeof name - 1
  };
  if (transfer->read_timeout_ms)
    ev_timer_again (transfer->client->loop, &transfer->read_timer);
  transfer->n_head_bytes += len;
  if (transfer->n_head_bytes > MAX_HEAD_BYTES || !parse_header_line (transfer, data, len))
    return 0;
  if (len <= N_NAME || g_ascii_strncasecmp (data, name, N_NAME) != 0)
    return len;
  char *value = g_strndup (data + N_NAME, len - N_NAME);
  g_strstrip (value);
  transfer->etag = g_ascii_strtoull (value[0] == '"' ? value + 1 : value, NULL, 10);
  g_free (value);
  return len;
}

static size_t
on_data (char *data, size_t size, size_t n, void *ctx)
{
  DyHttpTransfer *transfer = ctx;
  if (transfer->read_timeout_ms)
    ev_timer_again (transfer->client->loop, &transfer->read_timer);
  extend_limit (transfer);
  if (transfer->max_body_bytes && transfer->n_body_bytes + size * n > transfer->max_body_bytes)
    return 0;
  transfer->client->n_callbacks++;
  bool taken = !transfer->watcher->data
               || transfer->watcher->data (transfer->ctx, transfer, data, size * n);
  transfer->client->n_callbacks--;
  if (transfer->rejected)
    return 0;
  if (!taken)
    {
      ev_timer_stop (transfer->client->loop, &transfer->read_timer);
      return CURL_WRITEFUNC_PAUSE;
    }
  transfer->n_body_bytes += size * n;
  return size * n;
}

/* The limit on the connection counts from here: libcurl begins it in a later turn of the loop,
 * which may be long, and the limit would be over before the connection could be made. */
static curl_socket_t
open_socket (void *ctx, curlsocktype purpose, struct curl_sockaddr *address)
{
  DyHttpTransfer *transfer = ctx;
  (void) purpose;
  set_limit (transfer, transfer->connect_timeout_ms);
  return dy_http_socket_open (transfer->client, address);
}

static int
close_socket (void *ctx, curl_socket_t fd)
{
  const DyHttpClient *client = ctx;
  const DyHttpSocket *sock = g_hash_table_lookup (client->sockets, GINT_TO_POINTER (fd));
  if (sock && sock->user)
    *sock->was_reset = dy_http_was_reset (fd);
  dy_http_socket_remove (ctx, fd);
  return close (fd);
}

static int
set_socket_options (void *ctx, curl_socket_t fd, curlsocktype purpose)
{
  (void) ctx;
  (void) purpose;
  dy_http_socket_set_options (fd);
  return CURL_SOCKOPT_OK;
}

static void
attach_socket (DyHttpTransfer *transfer, DyHttpSocket *sock)
{
  transfer->sock = sock;
  if (!sock)
    return;
  transfer->idle_us = dy_http_socket_idle_us (sock);
  transfer->earlier_status = sock->status;
  sock->tag = transfer->tag;
  sock->status = 0;
  if (sock->user)
    *sock->user = NULL;
  sock->user = &transfer->sock;
  sock->was_reset = &transfer->was_reset;
  if (transfer->max_silence_ms)
    dy_http_socket_limit_silence (sock, transfer->max_silence_ms);
}

/* Returns whether the request must not be sent on the connection: the server may close it, or send
 * the answer to the sending before a second time. */
static bool
is_unfit (const DyHttpTransfer *transfer, const DyHttpSocket *sock)
{
  bool too_old = transfer->max_idle_ms
                 && dy_http_socket_idle_us (sock) >= transfer->max_idle_ms * INT64_C (1000);
  bool is_same = transfer->tag && transfer->tag == sock->tag;
  return too_old || is_same || dy_http_socket_is_stale (sock);
}

/* To be called before the request is sent: libcurl may open a connection for a second send. */
static bool
is_on_kept_connection (const DyHttpTransfer *transfer)
{
  long n_connects = 1;
  curl_easy_getinfo (transfer->easy, CURLINFO_NUM_CONNECTS, &n_connects);
  return n_connects == 0;
}

/* Called by libcurl before each send of the request. */
static int
on_prerequest (void *ctx, char *ip, char *local_ip, int port, int local_port)
{
  DyHttpTransfer *transfer = ctx;
  (void) local_ip;
  if (transfer->connected)
    {
      transfer->resend_prevented = true;
      return CURL_PREREQFUNC_ABORT;
    }
  DyHttpSocket *sock = dy_http_socket_find (transfer->client, ip, port, local_port);
  /* A kept socket that has ended has no addresses any more and is not found. */
  if (sock ? is_unfit (transfer, sock) : is_on_kept_connection (transfer))
    {
      transfer->stale = true;
      return CURL_PREREQFUNC_ABORT;
    }
  transfer->client->n_callbacks++;
  transfer->withheld
      = transfer->watcher->before_send && !transfer->watcher->before_send (transfer->ctx);
  transfer->client->n_callbacks--;
  if (transfer->withheld)
    return CURL_PREREQFUNC_ABORT;
  attach_socket (transfer, sock);
  transfer->connected = true;
  transfer->reused = is_on_kept_connection (transfer);
  transfer->sent_us = g_get_monotonic_time ();
  set_limit (transfer, transfer->timeout_ms);
  return CURL_PREREQFUNC_OK;
}

static void
on_timeout (struct ev_loop *loop, ev_timer *w, int events)
{
  (void) loop;
  (void) events;
  finish_transfer (w->data, DY_TIMEOUT);
}

static void
set_options (DyHttpTransfer *transfer, const DyHttpSpec *spec)
{
  CURL *easy = transfer->easy;
  curl_easy_setopt (easy, CURLOPT_URL, spec->url);
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, spec->method);
  curl_easy_setopt (easy, CURLOPT_PRIVATE, transfer);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, transfer);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_data);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, transfer);
  curl_easy_setopt (easy, CURLOPT_PREREQFUNCTION, on_prerequest);
  curl_easy_setopt (easy, CURLOPT_PREREQDATA, transfer);
  curl_easy_setopt (easy, CURLOPT_OPENSOCKETFUNCTION, open_socket);
  curl_easy_setopt (easy, CURLOPT_OPENSOCKETDATA, transfer);
  curl_easy_setopt (easy, CURLOPT_CLOSESOCKETFUNCTION, close_socket);
  curl_easy_setopt (easy, CURLOPT_CLOSESOCKETDATA, transfer->client);
  curl_easy_setopt (easy, CURLOPT_SOCKOPTFUNCTION, set_socket_options);
  curl_easy_setopt (easy, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt (easy, CURLOPT_BUFFERSIZE, (long) READ_BYTES);
  transfer->on_new_connection = spec->new_connection;
  curl_easy_setopt (easy, CURLOPT_FRESH_CONNECT, spec->new_connection ? 1L : 0L);
  /* libcurl counts whole seconds and reuses a connection to the end of the last one. */
  if (spec->max_idle_ms)
    curl_easy_setopt (easy, CURLOPT_MAXAGE_CONN, (long) ((spec->max_idle_ms - 1) / 1000));
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  transfer->headers = curl_slist_append (NULL, "Expect:");
  for (const char *const *h = spec->headers; h && *h; h++)
    transfer->headers = curl_slist_append (transfer->headers, *h);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, transfer->headers);
  if (!spec->body)
    {
      curl_easy_setopt (easy, CURLOPT_NOBODY, strcmp (spec->method, "HEAD") == 0 ? 1L : 0L);
      return;
    }
  curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE, (long) spec->n_body);
  curl_easy_setopt (easy, CURLOPT_COPYPOSTFIELDS, spec->body);
}

static void
free_cancelled (DyHttpClient *client)
{
  while (client->cancelled.length > 0)
    free_transfer (g_queue_peek_head (&client->cancelled));
}

static void
on_cancel_timer (struct ev_loop *loop, ev_timer *w, int events)
{
  (void) loop;
  (void) events;
  free_cancelled (w->data);
}

void
dy_http_client_init (DyHttpClient *client, struct ev_loop *loop)
{
  enum
  {
    MAX_IDLE_CONNECTIONS = 512
  };
  memset (client, 0, sizeof *client);
  client->loop = loop;
  client->multi = curl_multi_init ();
  client->sockets = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  ev_timer_init (&client->timer, on_timer, 0.0, 0.0);
  client->timer.data = client;
  g_queue_init (&client->cancelled);
  ev_timer_init (&client->cancel_timer, on_cancel_timer, 0.0, 0.0);
  client->cancel_timer.data = client;
  curl_multi_setopt (client->multi, CURLMOPT_SOCKETFUNCTION, set_socket);
  curl_multi_setopt (client->multi, CURLMOPT_SOCKETDATA, client);
  curl_multi_setopt (client->multi, CURLMOPT_TIMERFUNCTION, set_timer);
  curl_multi_setopt (client->multi, CURLMOPT_TIMERDATA, client);
  curl_multi_setopt (client->multi, CURLMOPT_MAXCONNECTS, (long) MAX_IDLE_CONNECTIONS);
}

void
dy_http_client_finish (DyHttpClient *client)
{
  if (!client->multi)
    return;
  free_cancelled (client);
  ev_timer_stop (client->loop, &client->cancel_timer);
  curl_multi_cleanup (client->multi);
  g_hash_table_unref (client->sockets);
  ev_timer_stop (client->loop, &client->timer);
  client->multi = NULL;
}

DyHttpTransfer *
dy_http_client_start (DyHttpClient *client,
                      const DyHttpSpec *spec,
                      const DyHttpTransferWatcher *watcher,
                      void *ctx)
{
  DyHttpTransfer *transfer = g_new0 (DyHttpTransfer, 1);
  transfer->client = client;
  transfer->watcher = watcher;
  transfer->ctx = ctx;
  transfer->easy = curl_easy_init ();
  transfer->head = g_ptr_array_new_with_free_func (g_free);
  transfer->connect_timeout_ms = spec->connect_timeout_ms;
  transfer->timeout_ms = spec->timeout_ms;
  transfer->read_timeout_ms = spec->read_timeout_ms;
  transfer->progress_timeout_ms = spec->progress_timeout_ms;
  transfer->body_timeout_ms = spec->body_timeout_ms;
  transfer->max_idle_ms = spec->max_idle_ms;
  transfer->max_silence_ms = spec->max_silence_ms;
  transfer->max_body_bytes = spec->max_body_bytes;
  transfer->tag = spec->tag;
  transfer->n_request_bytes = spec->body ? spec->n_body : 0;
  transfer->allows_body = strcmp (spec->method, "HEAD") != 0;
  ev_init (&transfer->limit_timer, on_timeout);
  ev_init (&transfer->read_timer, on_timeout);
  ev_set_priority (&transfer->limit_timer, DY_PRIORITY_TIMEOUT);
  ev_set_priority (&transfer->read_timer, DY_PRIORITY_TIMEOUT);
  transfer->limit_timer.data = transfer;
  transfer->read_timer.data = transfer;
  transfer->read_timer.repeat = (double) spec->read_timeout_ms / 1000.0;
  set_options (transfer, spec);
  set_limit (transfer, spec->connect_timeout_ms);
  client->n_transfers++;
  if (spec->read_timeout_ms)
    ev_timer_again (client->loop, &transfer->read_timer);
  curl_multi_add_handle (client->multi, transfer->easy);
  return transfer;
}

static bool
withhold (void *ctx)
{
  (void) ctx;
  return false;
}

static void
ignore_end (void *ctx, const DyHttpResult *result)
{
  (void) ctx;
  (void) result;
}

void
dy_http_transfer_cancel (DyHttpTransfer *transfer)
{
  static const DyHttpTransferWatcher cancelled_watcher
      = { .before_send = withhold, .done = ignore_end };
  DyHttpClient *client = transfer->client;
  if (client->n_callbacks == 0)
    {
      free_transfer (transfer);
      return;
    }
  /* libcurl does not allow the removal of transfers in its callbacks. */
  transfer->watcher = &cancelled_watcher;
  transfer->ctx = NULL;
  transfer->rejected = true;
  transfer->cancelled_link.data = transfer;
  g_queue_push_tail_link (&client->cancelled, &transfer->cancelled_link);
  ev_timer_start (client->loop, &client->cancel_timer);
}

void
dy_http_transfer_reject (DyHttpTransfer *transfer)
{
  transfer->rejected = true;
}

void
dy_http_transfer_resume (DyHttpTransfer *transfer)
{
  if (transfer->read_timeout_ms)
    ev_timer_again (transfer->client->loop, &transfer->read_timer);
  curl_easy_pause (transfer->easy, CURLPAUSE_CONT);
}

void
dy_http_transfer_close_after (DyHttpTransfer *transfer)
{
  curl_easy_setopt (transfer->easy, CURLOPT_FORBID_REUSE, 1L);
}

bool
dy_http_transfer_is_first (const DyHttpTransfer *transfer)
{
  return transfer->connected && !transfer->reused;
}

unsigned
dy_http_transfer_status (const DyHttpTransfer *transfer)
{
  long status = 0;
  curl_easy_getinfo (transfer->easy, CURLINFO_RESPONSE_CODE, &status);
  return (unsigned) status;
}

bool
dy_http_transfer_was_sent (const DyHttpTransfer *transfer)
{
  return transfer->connected;
}
