#ifndef DY_SERVICES_PEERS_PEERS_H
#define DY_SERVICES_PEERS_PEERS_H

/**
 * NAME
 *   peers - connections between routers, membership and heartbeats
 *
 * DESCRIPTION
 *   Each router dials every other router on the platform's VM list, so two routers share two TCP
 *   connections, one dialled by each. Both sides of a connection prove that they know the shared
 *   secret by a keyed hash (HMAC-SHA256) over the other side's nonce. A router sends its requests
 *   and heartbeats on the connection that it dialled, and the replies come back on the same one.
 *
 *   The VM list is read at the pace of core/vm_list_pace.h.
 *
 *   Until the VM list has been read for the first time, the routers that dial this one count as its
 *   members, so a router that starts during an outage of the platform finds the others.
 *
 *   Each start of a router is an incarnation with a random id of its own. An incarnation is known
 *   to be dead when another one connects under the same name, or when the VM list no longer has
 *   the name; a lost connection alone does not prove that.
 *
 * ERRORS
 *   A connection is closed when its HELLO or authentication fails, when the other side breaks
 *   the protocol or does not read what is sent, when a later incarnation of the other router
 *   connects, and, if dialled, when nothing comes from the other router. Silence does not prove
 *   that it is dead, so a connection that is held is then set aside: the member is down and is
 *   dialled again, but what is in progress on the connection goes on. If the member is heard from
 *   on it first, it takes its place again. A connection that was set aside carries heartbeats, and
 *   is closed when no one holds it any longer or nothing has come on it for a time.
 *
 *   A member whose connection was closed or set aside is dialled again with exponential backoff.
 */

#include "core/cold_share.h"
#include "core/members.h"
#include "core/message.h"
#include "core/resend_share.h"
#include "kernel/kernel.h"
#include "services/platform.h"

#define DY_SERVICE_PEERS "peers"

enum
{
  DY_MAX_PEERS_WATCHERS = 24,
};

typedef struct DyPeerLink DyPeerLink;

typedef struct
{
  /* A message came on the connection LINK, which takes a reply by dy_peers_reply(). Not called for
   * HELLO, AUTH, PING and PONG. All callbacks but this one may be NULL. */
  void (*message) (void *ctx, uint64_t link, const DyMessage *message);
  /* The dialled connection to the router NAME was authenticated; after that, it was lost, or the
   * router is not heard from. */
  void (*up) (void *ctx, const char *name);
  void (*down) (void *ctx, const char *name);
  /* A heartbeat came on the connection LINK; CONFIG_VERSION is the sender's. */
  void (*heartbeat) (void *ctx, uint64_t link, uint64_t config_version);
  /* The connection LINK, which either side opened, is closed. Called after DOWN. */
  void (*link_closed) (void *ctx, uint64_t link);
  /* A new router incarnation, ID, was authenticated. */
  void (*incarnation_seen) (void *ctx, uint64_t id);
  /* The router incarnation ID of the VM NAME is known to be dead. */
  void (*incarnation_dead) (void *ctx, const char *name, uint64_t id);
} DyPeersWatcher;

typedef struct
{
  DyKernel *kernel;
  DyPlatform *platform;
  DyMembers members;
  DyResendShare resend_share;
  DyResendShare cold_parts; /* whether this router has a share of what cold endpoints tolerate */
  /* Returns whether the resends of this router keep within the part of one of N_ROUTERS; NULL: it
   * makes none. */
  bool (*is_within_share) (void *ctx, uint32_t n_routers);
  void *is_within_share_ctx;
  uint32_t within_share_of; /* the latest number for which it was true */
  uint64_t config_version;  /* of the configuration in force, sent with heartbeats */
  struct
  {
    const DyPeersWatcher *watcher;
    void *ctx;
  } watchers[DY_MAX_PEERS_WATCHERS];
  uint32_t n_watchers;
  int listen_fd;
  ev_io accept_io;
  ev_timer heartbeat_timer;
  int64_t tick_us;            /* monotonic time at which the heartbeat timer last ran; 0: never */
  int64_t tick_gap_us;        /* time between its last two runs */
  int64_t members_since_us;   /* monotonic time at which members were first known; 0: none are */
  bool vm_list_in_progress;   /* a call for the VM list is in progress */
  bool vm_list_read;          /* the VM list was read at least once */
  bool vm_list_has_self;      /* this router was on it */
  int64_t vm_list_us;         /* monotonic time at which the latest read of the VM list ended */
  int64_t vm_list_asked_us;   /* monotonic time at which it began */
  int64_t members_changed_us; /* monotonic time of the latest change of the VM list */
  GHashTable *links;          /* link number to DyPeerLink */
  GHashTable *dialed;         /* router name to the DyPeerLink that this router dialled */
  GHashTable *dial_states;    /* router name to the backoff state of its dial attempts */
  GHashTable *incarnations;   /* router name to the id of the latest authenticated incarnation */
  uint64_t last_link_number;  /* number of the latest link; 0: none yet */
  GRand *rng;
} DyPeers;

/* Adds the service "peers", whose interface is a DyPeers. */
void dy_peers_add_service (DyKernel *kernel, DyPeers *peers);

/* Adds a watcher, which stays until the service stops; at most DY_MAX_PEERS_WATCHERS. */
void dy_peers_watch (DyPeers *peers, const DyPeersWatcher *watcher, void *ctx);

/* Returns whether this router knows its members: it is listed itself and connected to all that are
 * listed, or has waited for the peer timeout and one heartbeat interval since the first was listed.
 * Until then it must accept no request, as a router that it does not know yet may already have a
 * record of it. */
bool dy_peers_members_known (const DyPeers *peers);

/* Sends MESSAGE to the router NAME. Returns DY_OK, or DY_UNAVAILABLE if there is no connection. */
int dy_peers_send (DyPeers *peers, const char *name, const DyMessage *message);

/* Sends MESSAGE to all connected routers. */
void dy_peers_broadcast (DyPeers *peers, const DyMessage *message);

/* Sends the object KEY with the value TEXT, NULL if it is removed, as a DY_MESSAGE_CONFIG to the
 * router NAME, or to all connected routers if NAME is NULL. Does nothing if the key is too long. */
void dy_peers_send_object (DyPeers *peers, const char *name, const char *key, const char *text);

/* Sends the object KEY with the value TEXT on the connection LINK, if that is open. */
void dy_peers_reply_object (DyPeers *peers, uint64_t link, const char *key, const char *text);

/* Sends MESSAGE on the connection LINK; drops it if that connection is closed. */
void dy_peers_reply (DyPeers *peers, uint64_t link, const DyMessage *message);

/* Returns the number of the connection on which dy_peers_send() sends to the router NAME, or 0 if
 * there is none. */
uint64_t dy_peers_link_to (const DyPeers *peers, const char *name);

/* Returns whether the connection LINK is open and takes work with a message of N bytes: nothing
 * waits to be sent on it, or little. */
bool dy_peers_takes (const DyPeers *peers, uint64_t link, size_t n);

/* Keeps the connection LINK open while the other router is not heard from, until as many calls of
 * dy_peers_release_link(). Both do nothing if LINK is closed. */
void dy_peers_hold_link (DyPeers *peers, uint64_t link);
void dy_peers_release_link (DyPeers *peers, uint64_t link);

#endif
