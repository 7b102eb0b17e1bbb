#ifndef TEST_SUPPORT_CANNED_H
#define TEST_SUPPORT_CANNED_H

/**
 * NAME
 *   canned - a server that answers each request with the same bytes and ends the connection
 */

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  struct ev_loop *loop;
  const char *text;
  bool resets;      /* the connection is reset in place of a regular end */
  bool single;      /* while an answer is in progress, further connections are closed at once */
  const char *rest; /* sent silence_ms after the text; NULL: nothing, and the connection ends */
  int64_t silence_ms;
  int n_requests;
  int listen_fd;
  int fd; /* of the latest connection; -1: none */
  ev_io accept_io;
  ev_io read_io;
  ev_timer end_timer;
  ev_timer silence_timer;
} CannedServer;

/* Listens on ADDRESS, "address:port". The connection ends a little after TEXT was sent, so that the
 * other side can read it before. Returns whether it listens. */
bool canned_init (
    CannedServer *server, struct ev_loop *loop, const char *address, const char *text, bool resets);
void canned_finish (CannedServer *server);

#endif
