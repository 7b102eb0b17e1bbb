#ifndef DY_NET_HTTP_CLIENT_H
#define DY_NET_HTTP_CLIENT_H

/**
 * NAME
 *   http_client - asynchronous HTTP client on libcurl's multi interface and a libev loop
 *
 * DESCRIPTION
 *   dy_http_client_start() starts a request; the callbacks of DyHttpTransferWatcher deliver the
 *   answer's header, its body in parts, and the result. All of them run in the client's loop.
 *
 *   A request is sent at most once. libcurl itself retries a request whose reused connection turns
 *   out to be closed; that second send is prevented and the transfer ends with an unknown outcome
 *   (DY_UNAVAILABLE with connected set). An idle connection that has unread bytes, that the server
 *   has closed, whose host does not acknowledge keep-alive probes, or that has been idle for
 *   max_idle_ms is not reused: the request is sent on a new connection. The idle connection is shut
 * down as soon as the bytes or the end arrive.
 *
 *   Servers may send an error or a refusal (408, 421, 429 or 5xx) a second time, late, in place of
 *   the next answer. So a connection that carried one is closed and not reused, and
 *   no request is sent on a connection whose latest request had the same tag.
 *
 *   A limit is checked after the sockets were read: what arrived while the loop was busy counts. In
 *   one turn of the loop at most 400 KiB are read from a connection, however fast the server sends.
 *
 * ERRORS
 *   DY_UNAVAILABLE: connecting, sending or receiving failed, or the server closed the connection
 *   without an answer.
 *
 *   DY_TIMEOUT: a time limit was exceeded.
 *
 *   DY_PROTOCOL: the answer is malformed or ended early, its header or body is too long, the head
 *   callback rejected it, or libcurl reported any other error.
 */

#include <curl/curl.h>
#include <ev.h>
#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Limits on an endpoint's answer, beyond what an engine generates for one request. They end answers
 * that would never end. */
enum
{
  DY_HTTP_MAX_STREAM_BYTES = 64 * 1024 * 1024,
  DY_HTTP_MAX_STREAM_MS = 600 * 1000,
};

typedef struct DyHttpTransfer DyHttpTransfer;

typedef struct
{
  struct ev_loop *loop;
  CURLM *multi;
  ev_timer timer;
  const char *source; /* local IP address of connections; NULL or empty: any */
  uint32_t n_transfers;
  GHashTable *sockets;    /* set of the open connections, by socket descriptor */
  uint64_t n_connections; /* number of sockets opened since init */
  uint32_t n_callbacks;   /* callbacks of libcurl in progress */
  GQueue cancelled;       /* transfers that were cancelled in a callback */
  ev_timer cancel_timer;
} DyHttpClient;

typedef struct
{
  const char *name;
  const char *value;
} DyHttpHeader;

typedef struct
{
  /* DY_OK: the answer is complete; DY_UNAVAILABLE, DY_TIMEOUT or DY_PROTOCOL. An answer without a
   * length that may have been cut off is DY_UNAVAILABLE. */
  int error;
  bool connected;  /* false: no byte of the request can have reached the server */
  unsigned status; /* HTTP status code, 0 when no answer began */
  uint64_t etag;   /* ETag of the answer, a decimal number; 0 when absent */
  int64_t sent_us; /* monotonic time at which the request was sent; 0: it was not */
  bool reused;     /* it was sent on a connection that had been used before */
  int64_t idle_us; /* of that connection, between its last transfer and the sending; else 0 */
  /* Status of the answer before on that connection; 0: none. */
  unsigned earlier_status;
  uint64_t n_body_bytes; /* of the answer's body that were passed on */
} DyHttpResult;

typedef struct
{
  /* Called right before the request is sent, which may be long after the start: a connection may
   * have to be opened first. Returns false to end the transfer with DY_UNAVAILABLE, with nothing
   * sent. May be NULL. */
  bool (*before_send) (void *ctx);
  /* Called when the answer's header is complete. Returns false to end the transfer with
   * DY_PROTOCOL. May be NULL. */
  bool (*head) (void *ctx, unsigned status, const DyHttpHeader *headers, uint32_t n_headers);
  /* Called with the next part of the answer's body. Returns false to pause until
   * dy_http_transfer_resume(); the same part is then delivered again. May be NULL. */
  bool (*data) (void *ctx, DyHttpTransfer *transfer, const char *data, size_t n);
  /* Called when the transfer has ended; the transfer is invalid from then on. Not called after
   * dy_http_transfer_cancel(). */
  void (*done) (void *ctx, const DyHttpResult *result);
} DyHttpTransferWatcher;

typedef struct
{
  const char *method;
  const char *url;
  const char *const *headers; /* "Name: value" strings, NULL-terminated; may be NULL */
  const char *body;           /* copied; may be NULL */
  size_t n_body;
  uint32_t tag;               /* the same each time that a request is sent; 0: none */
  int64_t connect_timeout_ms; /* limit on the time until the request is sent; 0: libcurl's */
  int64_t timeout_ms;         /* limit on the time from then to the end of the answer; 0: none */
  int64_t read_timeout_ms;    /* limit on each wait for bytes of the answer; 0: no limit */
  /* For long bodies on slow links: TIMEOUT_MS ends with the body's first byte. From then on each
   * wait for further bytes is limited to PROGRESS_TIMEOUT_MS, and all of them together to
   * BODY_TIMEOUT_MS. 0: not so. */
  int64_t progress_timeout_ms;
  int64_t body_timeout_ms;
  uint64_t max_body_bytes; /* a longer body ends the transfer with DY_PROTOCOL; 0: no limit */
  bool new_connection;     /* do not use one that is kept, as it may be dead */
  int64_t max_idle_ms;     /* connections idle for so long are not reused; 0: libcurl's default */
  /* Time for which the server's host may acknowledge nothing that was sent, or leave probes of the
   * connection unanswered, before the transfer fails; also how long it may refuse to take the
   * request's body; 0: 2 s. */
  int64_t max_silence_ms;
} DyHttpSpec;

void dy_http_client_init (DyHttpClient *client, struct ev_loop *loop);
/* All transfers must have ended or been cancelled. */
void dy_http_client_finish (DyHttpClient *client);

/* Starts the request described by SPEC, which is copied. WATCHER must outlive the transfer; its
 * callbacks get CTX. Failures are reported by the done callback. */
DyHttpTransfer *dy_http_client_start (DyHttpClient *client,
                                      const DyHttpSpec *spec,
                                      const DyHttpTransferWatcher *watcher,
                                      void *ctx);

/* Ends the transfer and closes its connection, in the next turn of the loop if a callback of any
 * transfer is in progress. A transfer must not cancel itself in its callbacks. */
void dy_http_transfer_cancel (DyHttpTransfer *transfer);

/* To be called from the data callback: ends the transfer with DY_PROTOCOL after it returns. */
void dy_http_transfer_reject (DyHttpTransfer *transfer);

/* Continues a transfer that the data callback paused. */
void dy_http_transfer_resume (DyHttpTransfer *transfer);

/* To be called from the head callback: the connection is closed after the answer, which the server
 * may send a second time. */
void dy_http_transfer_close_after (DyHttpTransfer *transfer);

/* Returns whether the request was sent as the first one on its connection, so that no answer to
 * another request can come in its place. */
bool dy_http_transfer_is_first (const DyHttpTransfer *transfer);

/* Returns whether bytes of the request may have reached the server. */
bool dy_http_transfer_was_sent (const DyHttpTransfer *transfer);

/* Returns the HTTP status code received so far, 0 when none. */
unsigned dy_http_transfer_status (const DyHttpTransfer *transfer);

#endif
