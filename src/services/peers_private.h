#ifndef DY_SERVICES_PEERS_PRIVATE_H
#define DY_SERVICES_PEERS_PRIVATE_H

/**
 * NAME
 *   peers_private - what the files of the peers service share
 *
 * DESCRIPTION
 *   peers_link.c  one connection: greeting, frames, heartbeats
 *   peers.c       the service: dialling, membership, the public functions
 */

#include "core/backoff.h"
#include "kernel/error.h"
#include "kernel/log.h"
#include "services/peers.h"
#include "services/wire.h"

/* Calls CALLBACK of each watcher that has it. */
#define NOTIFY_WATCHERS(peers, callback, ...)                                                      \
  for (uint32_t watcher_i = 0; watcher_i < (peers)->n_watchers; watcher_i++)                       \
    if ((peers)->watchers[watcher_i].watcher->callback)                                            \
  (peers)->watchers[watcher_i].watcher->callback ((peers)->watchers[watcher_i].ctx, __VA_ARGS__)

struct DyPeerLink
{
  DyPeers *peers;
  uint64_t number;
  int fd;
  bool dialed;
  bool hello_received; /* the other side's HELLO came */
  bool authenticated;  /* and its AUTH was right */
  char node[DY_NAME_SIZE];
  uint64_t incarnation_id;
  uint8_t nonce[DY_NONCE_SIZE];
  int64_t opened_us;
  GByteArray *in;
  msgpack_sbuffer out;
  size_t out_sent;
  ev_io io;
};

typedef struct
{
  DyBackoff backoff;
  int64_t next_dial_us;
} DyPeerDialState;

/* peers.c */

/* Returns the loop's time. */
int64_t dy_peers_now_us (const DyPeers *peers);

/* peers_link.c */

/* Queues MESSAGE and sends what the socket takes; a lost connection shows at the next event. */
void dy_peers_send_message (DyPeerLink *link, const DyMessage *message);

/* Sends a heartbeat of TYPE, PING or PONG. */
void dy_peers_send_heartbeat (DyPeerLink *link, DyMessageType type);

/* Takes over the connected or connecting socket FD and greets. */
DyPeerLink *dy_peers_open_link (DyPeers *peers, int fd, bool dialed);

void dy_peers_free_link (gpointer data);

/* Closes LINK and tells the watchers when it was a working, dialled one. */
void dy_peers_close_link (DyPeerLink *link);

#endif
