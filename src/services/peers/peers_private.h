#ifndef DY_SERVICES_PEERS_PEERS_PRIVATE_H
#define DY_SERVICES_PEERS_PEERS_PRIVATE_H

/**
 * NAME
 *   peers_private - declarations shared by the files of the peers service
 *
 * DESCRIPTION
 *   peers_link.c  one connection: handshake, frames, heartbeats
 *   peers.c       the service: dialling, membership, the public functions
 */

#include "core/backoff.h"
#include "kernel/error.h"
#include "kernel/log.h"
#include "services/peers/peers.h"
#include "services/peers/wire.h"

/* Calls CALLBACK of each watcher that has one. */
#define NOTIFY_WATCHERS(peers, callback, ...)                                                      \
  for (uint32_t watcher_i = 0; watcher_i < (peers)->n_watchers; watcher_i++)                       \
    if ((peers)->watchers[watcher_i].watcher->callback)                                            \
  (peers)->watchers[watcher_i].watcher->callback ((peers)->watchers[watcher_i].ctx, __VA_ARGS__)

struct DyPeerLink
{
  DyPeers *peers;
  uint64_t number; /* unique in this process, starts at 1 */
  int fd;
  bool dialed;                  /* this router opened the connection */
  bool hello_received;          /* the other side's HELLO was received */
  bool authenticated;           /* the other side's AUTH was received and is valid */
  char node[DY_NAME_SIZE];      /* name of the other router; not dialled: empty until its HELLO */
  uint64_t incarnation_id;      /* of the other router */
  uint8_t nonce[DY_NONCE_SIZE]; /* sent to the other side, to be hashed by it */
  int64_t opened_us;            /* monotonic time */
  int64_t received_us;          /* monotonic time at which bytes were last read; 0: never */
  int64_t pinged_us;            /* monotonic time of the first PING without a PONG; 0: none */
  const char *end_reason;       /* why the connection must be closed; NULL: it stays open */
  uint32_t n_holds;             /* of dy_peers_hold_link() */
  bool set_aside;               /* the other side was given up; open for its holders only */
  GByteArray *in;               /* bytes received and not decoded yet */
  msgpack_sbuffer out;          /* frames to send */
  size_t out_sent;              /* bytes of out already sent */
  ev_io io;
};

typedef struct
{
  DyBackoff backoff;
  int64_t next_dial_us; /* monotonic time before which the router is not dialled again */
} DyPeerDialState;

/* peers.c */

/* Returns the monotonic time. */
int64_t dy_peers_now_us (const DyPeers *peers);

/* Returns whether resends of the window are within this router's part of the slack, as far as all
 * routers that may run are counted. */
bool dy_peers_is_within_share (DyPeers *peers);

/* peers_link.c */

/* Queues MESSAGE and sends as much as the socket accepts. An error is not reported here: the
 * connection is closed at the socket's next event. */
void dy_peers_send_message (DyPeerLink *link, const DyMessage *message);

/* Returns whether N more bytes may be queued on LINK: it is idle, or little waits to be sent. */
bool dy_peers_has_room (const DyPeerLink *link, size_t n);

/* Sends a heartbeat of TYPE, PING or PONG. */
void dy_peers_send_heartbeat (DyPeerLink *link, DyMessageType type);

/* Returns a new link that owns the connected or connecting socket FD, and sends HELLO on it. */
DyPeerLink *dy_peers_open_link (DyPeers *peers, int fd, bool dialed);

void dy_peers_free_link (gpointer data);

/* Closes LINK and frees it. Notifies the watchers if it was the dialled connection to a router that
 * was not given up. REASON is for the log. */
void dy_peers_close_link (DyPeerLink *link, const char *reason);

/* Returns whether a connection with the router NODE holds bytes that were received and not read. */
bool dy_peers_has_unread (const DyPeers *peers, const char *node);

/* Gives up the router on the other side of LINK. Closes LINK, or sets it aside if it is held. */
void dy_peers_give_up_link (DyPeerLink *link, const char *reason);

#endif
