#ifndef DY_SERVICES_ENDPOINTS_LINK_PROBE_H
#define DY_SERVICES_ENDPOINTS_LINK_PROBE_H

/**
 * NAME
 *   link_probe - tells whether new connections to an endpoint work
 *
 * DESCRIPTION
 *   Opens a TCP connection and asks for the endpoint's health check. Any byte of an answer shows
 * that the link works, whatever the answer says: a link may accept connections and then pass on
 *   nothing. Where no health check is known, a connection that is not reset for a short time
 * counts.
 */

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

typedef enum
{
  DY_LINK_PROBE_WORKS,  /* the connection was made, answered and stayed open */
  DY_LINK_PROBE_FAILED, /* it was refused or reset */
  DY_LINK_PROBE_UNMADE, /* it was not made in time */
  DY_LINK_PROBE_SILENT, /* it was made, but no byte came in time */
} DyLinkProbeResult;

/* RESULT is that of the connection that was started at STARTED_US. */
typedef void (*DyLinkProbeDone) (void *ctx, DyLinkProbeResult result, int64_t started_us);

typedef struct
{
  struct ev_loop *loop;
  DyLinkProbeDone done;
  void *ctx;
  int fd; /* -1: no probe is in progress */
  double connect_timeout_s;
  bool connected;
  char *request;      /* to be sent once connected; NULL: none */
  int64_t started_us; /* monotonic time */
  ev_io io;
  ev_timer timer;
} DyLinkProbe;

/* CONNECT_TIMEOUT_S limits the time until the connection is made. */
void dy_link_probe_init (DyLinkProbe *probe,
                         struct ev_loop *loop,
                         double connect_timeout_s,
                         DyLinkProbeDone done,
                         void *ctx);

/* Ends the probe in progress without a callback. */
void dy_link_probe_finish (DyLinkProbe *probe);

/* Starts a probe of ADDRESS, "ip:port", with a health check of PATH (may be NULL), from the local
 * address SOURCE; NULL or empty: any. Returns false if one is in progress or none can be started.
 */
bool
dy_link_probe_start (DyLinkProbe *probe, const char *address, const char *path, const char *source);

#endif
