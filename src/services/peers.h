#ifndef DY_SERVICES_PEERS_H
#define DY_SERVICES_PEERS_H

/**
 * NAME
 *   peers - connections between routers, membership and heartbeats
 *
 * DESCRIPTION
 *   Each router dials every other one that the platform lists. Both sides prove that they know the
 *   shared secret by a keyed hash over the other's nonce. Requests go out on the dialled connection
 *   and their answers come back on it. Heartbeats run on the dialled connection. As long as the
 *   VM list has not been read, the routers that dial this one are its members, so a fresh router
 *   finds the others during an outage of the platform.
 */

#include "core/members.h"
#include "core/message.h"
#include "kernel/kernel.h"
#include "services/platform.h"

#define DY_SERVICE_PEERS "peers"

enum
{
  DY_MAX_PEERS_WATCHERS = 4,
};

typedef struct DyPeerLink DyPeerLink;

typedef struct
{
  /* A message other than those of the connection itself; LINK can answer. */
  void (*message) (void *ctx, uint64_t link, const DyMessage *message);
  /* The dialled connection to NAME came up or was lost. */
  void (*up) (void *ctx, const char *name);
  void (*down) (void *ctx, const char *name);
  /* A heartbeat came on the connection LINK. All callbacks but message may be NULL. */
  void (*beat) (void *ctx, uint64_t link, uint64_t config_version);
  /* The router incarnation ID was heard from. */
  void (*heard) (void *ctx, uint64_t id);
  /* The router incarnation ID of the VM NAME is certainly gone. */
  void (*gone) (void *ctx, const char *name, uint64_t id);
} DyPeersWatcher;

typedef struct
{
  DyKernel *kernel;
  DyPlatform *platform;
  DyMembers members;
  uint64_t config_version;
  struct
  {
    const DyPeersWatcher *watcher;
    void *ctx;
  } watchers[DY_MAX_PEERS_WATCHERS];
  uint32_t n_watchers;
  int listen_fd;
  ev_io accept_io;
  ev_timer heartbeat;
  ev_timer vm_list;
  int64_t started_us;
  bool vm_list_in_progress;
  bool vm_list_read;        /* at least once */
  GHashTable *links;        /* link number to link */
  GHashTable *dialed;       /* name to dialled link */
  GHashTable *dial_states;  /* name to the state of its dial tries */
  GHashTable *incarnations; /* name to the latest incarnation heard from */
  uint64_t last_link_number;
  GRand *rng;
} DyPeers;

/* The service "peers", whose interface is a DyPeers. */
void dy_peers_add_service (DyKernel *kernel, DyPeers *peers);

/* Adds a watcher, which stays until the service stops. */
void dy_peers_watch (DyPeers *peers, const DyPeersWatcher *watcher, void *ctx);

/* Returns whether this router knows its members: it has heard from all that are listed, or has
 * waited long enough for them. Until then it must take no requests, which others may know of. */
bool dy_peers_members_known (const DyPeers *peers);

/* Sends to the router NAME. Returns DY_OK, or DY_UNAVAILABLE when there is no connection. */
int dy_peers_send (DyPeers *peers, const char *name, const DyMessage *message);

/* Sends to all routers that are connected. */
void dy_peers_broadcast (DyPeers *peers, const DyMessage *message);

/* Answers on the connection LINK, which may be gone: the message is then dropped. */
void dy_peers_reply (DyPeers *peers, uint64_t link, const DyMessage *message);

#endif
