#ifndef DY_NET_HTTP_SOCKETS_H
#define DY_NET_HTTP_SOCKETS_H

/**
 * NAME
 *   http_sockets - sockets of the HTTP client's connections
 *
 * DESCRIPTION
 *   The client keeps an entry for each open socket, by its descriptor. A socket is in use from the
 *   sending of a request to the end of its transfer, and idle otherwise. An idle one on which bytes
 *   or the end of the connection arrive is shut down.
 *
 *   Only net/http_client uses this module.
 */

#include "net/http_client.h"

#include <netinet/in.h>

typedef struct DyHttpSocket
{
  ev_io io; /* polled for libcurl while in use, for unread bytes while idle */
  DyHttpClient *client;
  /* The pointer to this socket of the transfer whose request was sent, which is cleared when the
   * socket is removed; NULL: idle, or the request is not sent yet. */
  struct DyHttpSocket **user;
  bool *was_reset;       /* of the same transfer, set when the socket is closed after a reset */
  int64_t idle_since_us; /* monotonic time at which its latest transfer ended; 0: none has */
  uint32_t tag;          /* of the latest request */
  unsigned status;       /* of the latest answer; 0: none has begun */
  bool connected;        /* the addresses are set */
  struct sockaddr_in local;
  struct sockaddr_in remote;
} DyHttpSocket;

/* Opens a socket for libcurl, bound to the client's source address, and adds its entry. Returns
 * CURL_SOCKET_BAD if there is none. */
curl_socket_t dy_http_socket_open (DyHttpClient *client, const struct curl_sockaddr *address);

/* Sets the options of FD before it is connected. */
void dy_http_socket_set_options (int fd);

/* Adds the entry of a new socket. libcurl closes sockets whose connecting it gives up without the
 * close callback, so there can be an entry of an older socket with the same descriptor. */
DyHttpSocket *dy_http_socket_add (DyHttpClient *client, int fd);

/* Removes the entry of FD, if there is one. */
void dy_http_socket_remove (DyHttpClient *client, int fd);

/* Returns the socket that is connected from LOCAL_PORT to IP and PORT, or NULL. Sockets that are
 * connected to different addresses can have the same local port, and after a reset a new connection
 * can have the addresses of one that is not closed yet. */
DyHttpSocket *dy_http_socket_find (DyHttpClient *client, const char *ip, int port, int local_port);

/* Starts the idle time of the socket, whose transfer has ended. */
void dy_http_socket_watch_idle (DyHttpSocket *sock);

/* Sets the time for which the server's host may acknowledge nothing before TCP ends the connection,
 * until it is idle again. */
void dy_http_socket_limit_silence (const DyHttpSocket *sock, int64_t ms);

/* Returns the time since the socket's latest transfer ended; 0: none has. */
int64_t dy_http_socket_idle_us (const DyHttpSocket *sock);

/* Returns whether a request must not be sent on the connection: it has unread bytes, such as the
 * rest of an earlier answer, was closed or reset, or has been idle and the server's host does not
 * acknowledge keep-alive probes or earlier bytes. */
bool dy_http_socket_is_stale (const DyHttpSocket *sock);

#endif
