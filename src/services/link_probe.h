#ifndef DY_SERVICES_LINK_PROBE_H
#define DY_SERVICES_LINK_PROBE_H

/**
 * NAME
 *   link_probe - tells whether new connections to an address work
 *
 * DESCRIPTION
 *   Opens a TCP connection, waits a short time for a reset, and closes it. Nothing is sent, so the
 *   other side has no request to handle.
 */

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

/* WORKS is whether the connection that was started at STARTED_US was made and stayed open. */
typedef void (*DyLinkProbeDone) (void *ctx, bool works, int64_t started_us);

typedef struct
{
  struct ev_loop *loop;
  DyLinkProbeDone done;
  void *ctx;
  int fd; /* -1: no probe is in progress */
  bool connected;
  int64_t started_us; /* monotonic time */
  ev_io io;
  ev_timer timer;
} DyLinkProbe;

void dy_link_probe_init (DyLinkProbe *probe, struct ev_loop *loop, DyLinkProbeDone done, void *ctx);

/* Ends the probe in progress without a callback. */
void dy_link_probe_finish (DyLinkProbe *probe);

/* Starts a probe of ADDRESS, "ip:port", from the local address SOURCE; NULL or empty: any. Returns
 * false if one is in progress or none can be started. */
bool dy_link_probe_start (DyLinkProbe *probe, const char *address, const char *source);

#endif
