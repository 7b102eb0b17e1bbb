#ifndef TEST_SUPPORT_REPLAY_PRIVATE_H
#define TEST_SUPPORT_REPLAY_PRIVATE_H

/* What the files of the replayer share: replay_world.c has the virtual time, network, platform and
 * routers, replay_request.c the requests and the observer who sees everything, replay.c the traces.
 */

#include "support/replay.h"

#include "core/reservations.h"
#include "kernel/error.h"
#include "services/object_store.h"

enum
{
  MAX_NODES = 16,
  MS = 1000,
  TICK_US = 50 * MS,
  HEARTBEAT_US = 250 * MS,
  PEER_TIMEOUT_US = 1000 * MS,
  CALL_TIMEOUT_US = 1000 * MS,
  DRAIN_US = 60 * 1000 * MS,
};

typedef struct Replay Replay;

typedef struct
{
  Replay *replay;
  uint32_t index;
  char name[DY_NAME_SIZE];
  bool up;
  bool paused;
  bool listed;
  bool draining;
  int64_t ready_us; /* the balancer sends nothing before */
  int64_t begun_us;
  bool begun; /* reservations and members are set up */
  uint64_t incarnation_id;
  uint32_t generation;
  DyMembers members;
  DyReservations res;
  uint64_t heard_id[MAX_NODES]; /* latest incarnation heard of each node */
  bool connected[MAX_NODES];
  int64_t last_heartbeat_us[MAX_NODES];
  GQueue inbox; /* events that came while paused */
} Node;

typedef struct
{
  Node *node;
  uint32_t generation;
  const char *account;
  char *key;
  int64_t tokens;
  int64_t used;
  int64_t run_us;
  DyTicket *ticket;
  bool running;  /* holds tokens, by the oracle's count */
  bool settling; /* asked to be settled, not answered yet */
} Request;

typedef struct
{
  char *name;
  int64_t paid;
  int64_t answered; /* tokens used by requests answered whole */
  int64_t running;  /* worst cases of running requests */
  int64_t maybe;    /* used by requests whose router died while they settled */
} Account;

typedef struct Event Event;

struct Event
{
  int64_t time_us;
  uint64_t seq;
  Node *node; /* NULL: of the outside */
  uint32_t generation;
  void (*run) (Replay *replay, Event *event);
  void *data;
  void (*free_data) (void *data);
};

struct Replay
{
  GTree *events;
  uint64_t last_seq;
  int64_t now_us;
  GRand *rng;
  Node nodes[MAX_NODES];
  uint32_t n_nodes;
  bool cut[MAX_NODES];    /* on the far side of a cut */
  bool island[MAX_NODES]; /* without the platform */
  bool platform_down;
  int64_t platform_delay_us;
  int64_t lose_percent;
  DyObjectStore store;
  GHashTable *accounts; /* name to Account */
  GHashTable *charges;  /* key to the largest run's tokens */
  GHashTable *charged;  /* key to the tokens charged in all */
  DyReservationsPolicy policy;
  uint64_t last_incarnation;
  ReplayOutcome outcome;
  GPtrArray *requests;
  GPtrArray *expectations;
  int64_t end_us;
  bool ended;
};

/* replay_world.c */

gint replay_compare_events (gconstpointer a, gconstpointer b);

void replay_free_event (Event *event);

/* NODE, when given, must still be the same incarnation when the event runs. */
void replay_schedule (Replay *replay,
                      int64_t delay_us,
                      Node *node,
                      void (*run) (Replay *replay, Event *event),
                      void *data,
                      void (*free_data) (void *data));

void replay_run_event (Replay *replay, Event *event);

Node *replay_find_node (Replay *replay, const char *name);

void replay_set_connected (Node *node, const Node *peer, bool connected, int64_t now_us);

/* Heartbeats of all pairs; a paused node answers none. */
void replay_beat (Replay *replay, Event *event);

void replay_begin_node (Replay *replay, Node *node);

void replay_end_node (Node *node);

/* replay_request.c */

Account *replay_find_account (Replay *replay, const char *name);

void replay_end_requests_of (Replay *replay, const Node *node);

void replay_free_request (gpointer data);

void replay_start_request (Replay *replay, char **word);

#endif
