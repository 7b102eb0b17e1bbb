#ifndef DY_NET_HTTP_SERVER_H
#define DY_NET_HTTP_SERVER_H

/**
 * NAME
 *   http_server - HTTP calls received through libmicrohttpd in a libev loop
 *
 * DESCRIPTION
 *   The handler runs once for each call, when the bounded body is complete. It answers at once
 *   or later, as a whole or as a stream. A stream's unsent bytes stay in a buffer of the call;
 *   the writer watches dy_http_call_unsent_bytes() and the drained callback, so a slow reader holds
 *   back its own stream alone.
 *
 *   A request whose framing is ambiguous (several lengths, a length beside a transfer coding, an
 *   unknown transfer coding, a field name that ends in a blank) is answered 400 and its connection
 *   closed before the handler sees it, so no byte of it is taken for a next request.
 */

#include <ev.h>
#include <glib.h>
#include <microhttpd.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct DyHttpCall DyHttpCall;

typedef struct
{
  /* The body is complete. */
  void (*handle) (void *ctx, DyHttpCall *call);
  /* The body exceeds the limit; must answer with dy_http_call_reply(). */
  void (*too_large) (void *ctx, DyHttpCall *call);
} DyHttpServerHandler;

typedef struct
{
  /* Fewer than half of the stream buffer's bytes are unsent. */
  void (*drained) (void *ctx, DyHttpCall *call);
  /* The call is over; WHOLE tells that the answer was sent in full. The call is invalid after. */
  void (*closed) (void *ctx, DyHttpCall *call, bool whole);
} DyHttpCallWatcher;

typedef struct
{
  struct ev_loop *loop;
  struct MHD_Daemon *daemon;
  const DyHttpServerHandler *handler;
  void *ctx;
  uint64_t max_body_bytes;
  uint64_t buffer_bytes;
  GHashTable *calls;       /* all calls not over */
  uint32_t idle_timeout_s; /* of connections opened from now on; 0: none */
  bool closing;            /* answers close their connections */
  bool run_needed;
  ev_io io;
  ev_timer timer;
  ev_prepare prepare;
} DyHttpServer;

/* Listens on LISTEN ("address:port"). Returns DY_OK, DY_SETTINGS or DY_IO. */
int dy_http_server_init (DyHttpServer *server,
                         struct ev_loop *loop,
                         const char *listen,
                         uint64_t max_body_bytes,
                         uint64_t max_header_bytes,
                         uint64_t buffer_bytes,
                         const DyHttpServerHandler *handler,
                         void *ctx);
void dy_http_server_finish (DyHttpServer *server);

/* Returns the number of calls that are not over. */
uint32_t dy_http_server_n_calls (const DyHttpServer *server);

const char *dy_http_call_method (const DyHttpCall *call);

/* Returns the decoded path without the query. */
const char *dy_http_call_path (const DyHttpCall *call);

/* Returns the request target as it was received. */
const char *dy_http_call_target (const DyHttpCall *call);

/* Returns the steady time at which the request line was read, in microseconds. */
int64_t dy_http_call_arrived_us (const DyHttpCall *call);

const GString *dy_http_call_body (const DyHttpCall *call);

/* Return the value of a request header or query parameter, or NULL. */
const char *dy_http_call_header (DyHttpCall *call, const char *name);
const char *dy_http_call_query (DyHttpCall *call, const char *name);

/* Calls VISIT for each request header, in order. */
void dy_http_call_visit_headers (DyHttpCall *call,
                                 void (*visit) (void *ctx, const char *name, const char *value),
                                 void *ctx);

void dy_http_call_watch (DyHttpCall *call, const DyHttpCallWatcher *watcher, void *ctx);

/* Adds a header to the answer; to be called before it starts. */
void dy_http_call_add_header (DyHttpCall *call, const char *name, const char *value);

/* Answers with a whole body; CONTENT_TYPE may be NULL. */
void dy_http_call_reply (
    DyHttpCall *call, unsigned status, const char *content_type, const char *body, size_t n);

/* Starts a streamed answer; write, then end or abort it. CONTENT_TYPE may be NULL. */
void dy_http_call_start_stream (DyHttpCall *call, unsigned status, const char *content_type);
void dy_http_call_write (DyHttpCall *call, const char *data, size_t n);
void dy_http_call_end (DyHttpCall *call);

/* Closes the connection; of a streamed answer, what was written is sent before. */
void dy_http_call_abort (DyHttpCall *call);

/* Returns whether the caller has closed the connection, also before that was reported. */
bool dy_http_call_is_disconnected (const DyHttpCall *call);

/* Returns the number of bytes written and not yet sent. */
size_t dy_http_call_unsent_bytes (const DyHttpCall *call);

#endif
