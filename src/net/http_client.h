#ifndef DY_NET_HTTP_CLIENT_H
#define DY_NET_HTTP_CLIENT_H

/**
 * NAME
 *   http_client - HTTP calls made through libcurl's multi interface in a libev loop
 *
 * DESCRIPTION
 *   A call is sent once. libcurl repeats a call by itself when a kept connection turns out to be
 *   closed; the second send is stopped and the call ends with an unknown outcome. A kept connection
 *   on which bytes wait, or that the server closed, is not used: the call takes a new one.
 */

#include <curl/curl.h>
#include <ev.h>
#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct DyHttpTransfer DyHttpTransfer;

typedef struct
{
  struct ev_loop *loop;
  CURLM *multi;
  ev_timer timer;
  uint32_t n_transfers;
  GHashTable *sockets;    /* open sockets to their local ports, 0 while not connected */
  uint64_t n_connections; /* opened so far */
} DyHttpClient;

typedef struct
{
  const char *name;
  const char *value;
} DyHttpHeader;

typedef struct
{
  int error;       /* DY_OK when a whole answer came, DY_UNAVAILABLE, DY_TIMEOUT or DY_PROTOCOL */
  bool connected;  /* false: no byte of the call can have reached the server */
  unsigned status; /* HTTP status, 0 when no answer began */
  uint64_t etag;   /* numeric ETag of the answer, 0 when absent */
} DyHttpResult;

typedef struct
{
  /* The answer's header is complete. Returns false to end the call as DY_PROTOCOL. May be NULL. */
  bool (*head) (void *ctx, unsigned status, const DyHttpHeader *headers, uint32_t n_headers);
  /* Part of the answer's body. Returns false to pause until dy_http_transfer_resume(); the same
   * part is then delivered again. */
  bool (*data) (void *ctx, DyHttpTransfer *transfer, const char *data, size_t n);
  /* The call is over; the transfer is invalid after. Not called after a cancel. */
  void (*done) (void *ctx, const DyHttpResult *result);
} DyHttpTransferWatcher;

typedef struct
{
  const char *method;
  const char *url;
  const char *const *headers; /* "Name: value" texts, NULL at the end; may be NULL */
  const char *body;           /* copied; may be NULL */
  size_t n_body;
  int64_t connect_timeout_ms;
  int64_t timeout_ms;      /* whole call; 0: none */
  int64_t read_timeout_ms; /* longest time without a byte; 0: no limit */
  int64_t max_idle_s;      /* older kept connections are not used again; 0: libcurl's limit */
} DyHttpSpec;

void dy_http_client_init (DyHttpClient *client, struct ev_loop *loop);
/* All transfers must be over or cancelled. */
void dy_http_client_finish (DyHttpClient *client);

DyHttpTransfer *dy_http_client_start (DyHttpClient *client,
                                      const DyHttpSpec *spec,
                                      const DyHttpTransferWatcher *watcher,
                                      void *ctx);

/* Ends the transfer and closes its connection. Not to be called from the data callback. */
void dy_http_transfer_cancel (DyHttpTransfer *transfer);
void dy_http_transfer_resume (DyHttpTransfer *transfer);

/* Returns whether bytes of the call may have reached the server. */
bool dy_http_transfer_was_sent (const DyHttpTransfer *transfer);

/* Returns the HTTP status received so far, 0 when none. */
unsigned dy_http_transfer_status (const DyHttpTransfer *transfer);

#endif
