#ifndef DY_NET_HTTP_CALL_END_H
#define DY_NET_HTTP_CALL_END_H

/**
 * NAME
 *   http_call_end - report of HTTP calls that end without a complete answer
 *
 * DESCRIPTION
 *   A call that ends before its answer is complete is logged with all that is known of the reason,
 *   and counted. Calls that end with a complete answer are neither logged nor counted here.
 */

#include "kernel/counters.h"

#include <microhttpd.h>
#include <stdbool.h>
#include <stdint.h>

typedef enum
{
  DY_CUT_LIBRARY, /* libmicrohttpd ended the call; its code says why */
  DY_CUT_CALLER,  /* the caller closed the connection, or its sending side */
  DY_CUT_RESET,   /* reading from the connection failed */
  DY_CUT_WRITER,  /* dy_http_call_abort() */
  DY_CUT_STOP,    /* dy_http_server_finish() */
  DY_CUT_IDLE,    /* the request was not complete and nothing came for the idle timeout */
} DyCut;

typedef enum
{
  DY_RECEIVED_LINE, /* the request line */
  DY_RECEIVED_HEAD,
  DY_RECEIVED_WHOLE,
} DyReceived;

/* What is known of a TCP connection's other side. */
typedef enum
{
  DY_PEER_OPEN,
  DY_PEER_FINISHED, /* has closed its sending side at least */
  DY_PEER_GONE,     /* the connection is reset or closed at both sides */
} DyPeerState;

typedef struct
{
  DyCut cut;
  enum MHD_RequestTerminationCode code;
  DyPeerState peer;
  DyReceived received;
  bool waiting;        /* the handler had not got the request */
  bool shut;           /* the connection had been shut down, as it was idle */
  bool answer_begun;   /* the answer was passed to libmicrohttpd */
  unsigned status;     /* of the answer; 0: none was given */
  uint64_t body_bytes; /* of the request's body, as far as it was read */
  uint64_t unsent_bytes;
  int64_t age_us; /* since the request line was read */
} DyHttpCallEnd;

/* Returns the state of the TCP socket FD, without a change to what can be read from it. A socket
 * whose state cannot be read counts as DY_PEER_GONE. */
DyPeerState dy_peer_state (int fd);

/* Logs END. REQUEST_ID, the caller's own id of the request, may be NULL; COUNTERS may be NULL. */
void
dy_http_call_end_report (const DyHttpCallEnd *end, const char *request_id, DyCounters *counters);

#endif
