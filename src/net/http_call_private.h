#ifndef DY_NET_HTTP_CALL_PRIVATE_H
#define DY_NET_HTTP_CALL_PRIVATE_H

/**
 * NAME
 *   http_call_private - declarations shared by the files of the HTTP server
 *
 * DESCRIPTION
 *   http_server.c  connections, requests as they are read, start
 *   http_stop.c    the stop of the server
 *   http_call.c    one call as its handler sees it, and the way of its answer to libmicrohttpd
 */

#include "net/http_call_end.h"
#include "net/http_server.h"

struct DyHttpCall
{
  DyHttpServer *server;
  GList pending_link; /* in the server's queue; its data is NULL while it is not there */
  struct MHD_Connection *connection;
  DyHttpConnection *record;
  char *method;
  char *path;
  char *target;
  int64_t arrived_us;
  int64_t ready_us; /* monotonic start of the turn of the loop that read the request's end */
  GString *body;
  GString *out;    /* stream buffer */
  size_t out_sent; /* number of bytes at the start of out that were sent */
  struct MHD_Response *response;
  GPtrArray *headers; /* name, value, name, value ... */
  unsigned status;
  DyCut cut; /* why the call is ended, if not by libmicrohttpd */
  const DyHttpCallWatcher *watcher;
  void *ctx;
  ev_io disconnect_io; /* active while the connection is suspended */
  bool header_read;
  bool complete;  /* the request was passed to the handler or is in the server's queue */
  bool too_large; /* the body exceeds max_body_bytes */
  bool suspended;
  bool streamed;
  bool failed;              /* answered with 502 by the server */
  bool queued;              /* the answer was passed to libmicrohttpd */
  bool ended;               /* the stream is complete once its buffer is sent */
  bool aborted_after_flush; /* the connection is closed once the stream buffer is sent */
  bool aborted;             /* the connection is closed at the next opportunity */
};

/* Has libmicrohttpd leave the call's connection alone until dy_http_call_resume(). */
void dy_http_call_suspend (DyHttpCall *call);

/* Resuming a connection does not make the epoll descriptor readable, so the server runs
 * libmicrohttpd in the same turn of the loop. */
void dy_http_call_resume (DyHttpCall *call);

/* Answers a call that had no answer and whose caller has closed its sending side at least. */
void dy_http_call_answer_left (DyHttpCall *call);

/* Passes the answer, whose response is set, to libmicrohttpd. */
enum MHD_Result dy_http_call_queue (DyHttpCall *call);

/* Passes all queued requests to the handler, however long that takes. */
void dy_http_server_take_pending (DyHttpServer *server);

#endif
