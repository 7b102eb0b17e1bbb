#ifndef DY_NET_HTTP_SERVER_H
#define DY_NET_HTTP_SERVER_H

/**
 * NAME
 *   http_server - HTTP server on libmicrohttpd and a libev loop
 *
 * DESCRIPTION
 *   A DyHttpCall is one request and its answer. The handler runs once for each call, when the
 *   request body, which is limited in size, is complete. It answers at once or later, with a
 *   complete body or with a stream.
 *
 *   Each turn of the loop passes requests to the handler for a limited time; the others wait in the
 *   order of their arrival. Thus a burst of requests does not hold up the other work of the loop.
 *
 *   Unsent bytes of a stream are buffered per call. For flow control the writer checks
 *   dy_http_call_unsent_bytes() and continues on the drained callback, so a slow reader delays its
 *   own stream only.
 *
 *   A request whose framing is ambiguous (several Content-Length fields, Content-Length together
 *   with Transfer-Encoding, a transfer coding other than chunked, a length that is not a number, a
 *   field name that contains a blank) is answered with 400 and its connection closed before the
 *   handler sees it. This prevents request smuggling: no byte of it is parsed as another request.
 *
 *   A server accepts as many connections as three quarters of the descriptors that the process may
 *   have at its start; the rest is for other work. A request on a connection beyond that is refused
 *   and the connection closed. Such connections are accepted a few at a time and end after a second
 *   without a request.
 *
 *   A caller that closes its sending side counts as one that has left, as until something is sent
 * to it this looks the same as the closing of the whole connection, and work for callers that have
 * left must end soon. If the call has no answer it is answered with 502, which says nothing about
 * whether the request has run, for a caller that still reads; a stream is aborted.
 *
 *   A call that ends without a complete answer is reported as http_call_end.h says.
 */

#include "kernel/counters.h"
#include "net/http_connections.h"

#include <ev.h>
#include <glib.h>
#include <microhttpd.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct DyHttpCall DyHttpCall;

typedef struct
{
  /* Called when the request body is complete. */
  void (*handle) (void *ctx, DyHttpCall *call);
  /* Called instead when the body exceeds max_body_bytes; must answer with
   * dy_http_call_reply(). */
  void (*too_large) (void *ctx, DyHttpCall *call);
  /* Called instead when the server has too many connections or stops; must answer with
   * dy_http_call_reply(). The connection is closed then. NULL: an empty 503. */
  void (*overloaded) (void *ctx, DyHttpCall *call);
  /* Returns whether requests are to wait for now. Asked again in each turn of the loop and after a
   * few milliseconds; those that wait are passed on in the order of their arrival. The handler
   * bounds the time. Not asked when the server stops. May be NULL. */
  bool (*holds) (void *ctx);
  /* Returns whether the connection of the answer that is about to begin is to be closed at its end.
   * Asked for each answer, but not if more of the connection was received already. May be NULL. */
  bool (*closes) (void *ctx);
  /* Returns the caller's own id of the request for the log, or NULL. May be NULL. */
  const char *(*request_id) (void *ctx, DyHttpCall *call);
} DyHttpServerHandler;

typedef struct
{
  /* Called after a send that left fewer than buffer_bytes / 2 unsent. May be NULL. */
  void (*drained) (void *ctx, DyHttpCall *call);
  /* Called by dy_http_server_finish() for a call that was not answered, which may be answered with
   * dy_http_call_reply(). May be NULL. */
  void (*stopped) (void *ctx, DyHttpCall *call);
  /* Called when the call has ended; COMPLETE is true when the entire answer was sent. The call is
   * invalid from then on. May be NULL. */
  void (*closed) (void *ctx, DyHttpCall *call, bool complete);
} DyHttpCallWatcher;

typedef struct
{
  struct ev_loop *loop;
  struct MHD_Daemon *daemon;
  const DyHttpServerHandler *handler;
  void *ctx;
  uint64_t max_body_bytes;
  uint64_t max_header_bytes; /* of a request */
  uint64_t max_answer_header_bytes;
  uint64_t buffer_bytes;
  GHashTable *calls;       /* set of the calls that have not ended */
  GQueue pending;          /* complete requests that wait for the handler */
  int64_t turn_started_us; /* monotonic time at which this turn of the loop began */
  int64_t turn_spent_us;   /* time spent in the handler in this turn */
  bool holding;            /* the requests of the queue wait as the handler wants it */
  int64_t held_us;         /* monotonic time at which the handler last wanted that; 0: never */
  DyCounters *counters;    /* NULL: calls are not counted */
  DyHttpConnections connections;
  uint32_t idle_timeout_s; /* 0: no timeout */
  bool stopping;           /* no connections are accepted and new requests are refused */
  int64_t closed_us;       /* monotonic time at which that began */
  uint32_t port;           /* on which the server listened; set then */
  bool closing;            /* answers carry "Connection: close" */
  bool run_needed;         /* MHD_run() is due before the loop waits */
  ev_io io;
  ev_timer timer;
  ev_timer sweep; /* of the connections */
  ev_check turn_start;
  ev_prepare prepare;
} DyHttpServer;

/* Listens on LISTEN ("ADDRESS:PORT"). HEADER_POOL_BYTES is the memory for a connection's headers:
 * a request whose head takes more than two thirds is answered with 431, and an answer whose header
 * fields take more than a sixth is replaced by an empty 502. BUFFER_BYTES the size of a
 * stream's buffer that drives the drained callback; writes beyond it are not refused. Returns
 * DY_OK, DY_SETTINGS (LISTEN is malformed) or DY_IO (listening failed). */
int dy_http_server_init (DyHttpServer *server,
                         struct ev_loop *loop,
                         const char *listen,
                         uint64_t max_body_bytes,
                         uint64_t header_pool_bytes,
                         uint64_t buffer_bytes,
                         const DyHttpServerHandler *handler,
                         void *ctx);
/* Accepts the connections that wait and closes the listening socket, so that further callers are
 * refused at once. Requests that the handler has not got are refused from then on, also those that
 * come later on open connections; the others go on. Does nothing if it was called before. */
void dy_http_server_close (DyHttpServer *server);

/* Returns, for a server that was closed, whether no caller is known to wait: all calls have ended,
 * no received bytes are unread, and each connection has had a request or half a second for it. */
bool dy_http_server_is_quiet (const DyHttpServer *server);

/* Closes the server if it is not closed, has the calls without an answer answered by the stopped
 * callback of their watchers, reads and sends for a tenth of a second what is left to be read and
 * sent, and aborts the other calls. Connections that have unread bytes then are reset, which is
 * logged. */
void dy_http_server_finish (DyHttpServer *server);

/* Sets the time after which an idle connection is closed; 0: only after the time for which a caller
 * may also leave an answer unread, two minutes. A connection that is open keeps a higher limit
 * until its next answer is complete. */
void dy_http_server_set_idle_timeout (DyHttpServer *server, uint32_t timeout_s);

/* Returns the number of calls that have not ended. */
uint32_t dy_http_server_n_calls (const DyHttpServer *server);

/* Returns the number of calls whose answer has begun and waits to be sent, here or by the kernel,
 * and adds what waits to BYTES. Looks at a few hundred calls at most. */
uint32_t dy_http_server_unsent (const DyHttpServer *server, uint64_t *bytes);

const char *dy_http_call_method (const DyHttpCall *call);

/* Returns the decoded path without the query. */
const char *dy_http_call_path (const DyHttpCall *call);

/* Returns the request target as it was received. */
const char *dy_http_call_target (const DyHttpCall *call);

/* Returns the monotonic time at which the request line was read, in microseconds. */
int64_t dy_http_call_arrived_us (const DyHttpCall *call);

/* Returns the microseconds for which the complete request has waited, counted from the start of the
 * turn of the loop that read its end. */
int64_t dy_http_call_waited_us (const DyHttpCall *call);

/* Returns whether that is because the handler wanted requests to wait. */
bool dy_http_call_was_held (const DyHttpCall *call);

const GString *dy_http_call_body (const DyHttpCall *call);

/* Return the value of the request header or query parameter NAME, or NULL. */
const char *dy_http_call_header (DyHttpCall *call, const char *name);
const char *dy_http_call_query (DyHttpCall *call, const char *name);

/* Calls VISIT for each request header, in order. */
void dy_http_call_visit_headers (DyHttpCall *call,
                                 void (*visit) (void *ctx, const char *name, const char *value),
                                 void *ctx);

void dy_http_call_watch (DyHttpCall *call, const DyHttpCallWatcher *watcher, void *ctx);

/* Adds a header to the answer. Must be called before the answer is started. */
void dy_http_call_add_header (DyHttpCall *call, const char *name, const char *value);

/* Answers with the complete body BODY of N bytes, which is copied; CONTENT_TYPE may be NULL. An
 * answer to a call that was answered already is logged and discarded. */
void dy_http_call_reply (
    DyHttpCall *call, unsigned status, const char *content_type, const char *body, size_t n);

/* Starts a streamed answer, which is continued by dy_http_call_write() and ended by
 * dy_http_call_end() or dy_http_call_abort(). CONTENT_TYPE may be NULL. */
void dy_http_call_start_stream (DyHttpCall *call, unsigned status, const char *content_type);
void dy_http_call_write (DyHttpCall *call, const char *data, size_t n);
void dy_http_call_end (DyHttpCall *call);

/* Closes the connection without completing the answer. The bytes written to a stream are sent
 * first. A call without an answer whose caller has closed its sending side is answered as said
 * above. */
void dy_http_call_abort (DyHttpCall *call);

/* Returns whether the caller has closed the connection, or its sending side, or reset it, also
 * before the closed callback reports it. */
bool dy_http_call_is_disconnected (const DyHttpCall *call);

/* Returns the number of bytes written and not yet sent. */
size_t dy_http_call_unsent_bytes (const DyHttpCall *call);

#endif
