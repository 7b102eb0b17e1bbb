#ifndef TEST_SUPPORT_RELAY_H
#define TEST_SUPPORT_RELAY_H

/* Passes TCP connections on, or harms them: a cut swallows what comes without closing anything, as
 * a partition does, in both directions or only on the way back; a delay holds each part up. */

#include <ev.h>
#include <glib.h>
#include <stdbool.h>

typedef enum
{
  RELAY_PASS,
  RELAY_DROP,
  RELAY_DROP_REPLIES, /* what the target answers is swallowed */
  RELAY_DELAY,
  RELAY_N_FAULTS,
} RelayFault;

typedef struct
{
  struct ev_loop *loop;
  int fd;
  char *target; /* "address:port" */
  RelayFault fault;
  ev_io io;
  GPtrArray *flows;
} Relay;

/* Listens on LISTEN. Returns whether that worked. */
bool relay_init (Relay *relay, struct ev_loop *loop, const char *listen, const char *target);
void relay_finish (Relay *relay);

/* Sets what happens from now on; connections that missed bytes are closed with RELAY_PASS. */
void relay_set_fault (Relay *relay, RelayFault fault);

/* Resets all connections. */
void relay_reset (Relay *relay);

#endif
