#ifndef DY_NET_HTTP_FRAMING_H
#define DY_NET_HTTP_FRAMING_H

/**
 * NAME
 *   http_framing - whether an answer that has ended is complete
 *
 * DESCRIPTION
 *   An answer without a length ends with its connection. A reset may look like a regular end to the
 *   reader: Linux reports each error of a socket once, and a write may have got it before. So such
 * an answer counts as complete only if the connection was not reset and the whole request had been
 * written: a server that closes a connection with unread bytes resets it, possibly after the reader
 * saw the end.
 */

#include "net/http_client.h"

/* Returns whether the body of an answer with STATUS and N HEADERS ends with its connection.
 * HAS_BODY is whether the request's method allows a body. */
bool dy_http_ends_with_connection (unsigned status,
                                   const DyHttpHeader *headers,
                                   uint32_t n,
                                   bool has_body);

/* Returns whether the connection of the socket FD was reset. */
bool dy_http_was_reset (int fd);

#endif
