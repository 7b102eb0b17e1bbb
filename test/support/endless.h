#ifndef TEST_SUPPORT_ENDLESS_H
#define TEST_SUPPORT_ENDLESS_H

/**
 * NAME
 *   endless - server whose answers never end
 *
 * DESCRIPTION
 *   Sends a prefix on each connection, without reading the request, and then repeats a text for as
 *   long as the connection takes bytes. A connection that is not closed takes no more bytes once
 *   its buffers are full, and is still open then.
 */

#include <ev.h>
#include <stdbool.h>
#include <stddef.h>

typedef struct
{
  struct ev_loop *loop;
  const char *prefix;
  const char *repeated;
  int listen_fd;
  int fd; /* of the latest connection; -1: none */
  size_t n_sent;
  bool closed; /* the other side closed the latest connection */
  ev_io accept_io;
  ev_io write_io;
} EndlessServer;

/* Listens on ADDRESS, "address:port". Returns whether it listens. */
bool endless_init (EndlessServer *server,
                   struct ev_loop *loop,
                   const char *address,
                   const char *prefix,
                   const char *repeated);
void endless_finish (EndlessServer *server);

#define ENDLESS_LINE_64 "X-A: 012345678901234567890123456789012345678901234567890123456\r\n"
#define ENDLESS_TEXT_64 "0123456789012345678901234567890123456789012345678901234567890123"
#define ENDLESS_BLOCK(part)                                                                        \
  part part part part part part part part part part part part part part part part

#endif
