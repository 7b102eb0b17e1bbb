#ifndef TEST_SUPPORT_REPLAY_PRIVATE_H
#define TEST_SUPPORT_REPLAY_PRIVATE_H

/* Internal to the replayer. replay_world.c has virtual time, network, platform and routers;
 * replay_request.c sends requests and counts, as the test oracle, what each account used and was
 * charged; replay.c reads traces and checks their expectations. */

#include "support/replay.h"

#include "core/reservations.h"
#include "core/restore_check.h"
#include "kernel/error.h"
#include "services/object_store.h"
#include "support/snapshots.h"

enum
{
  MAX_NODES = 16,
  MS = 1000, /* microseconds in a millisecond */
  TICK_US = 50 * MS,
  HEARTBEAT_US = 250 * MS,
  PEER_TIMEOUT_US = 1000 * MS,
  CALL_TIMEOUT_US = 1000 * MS,
  DRAIN_US = 60 * 1000 * MS,
  MIN_DELAY_US = 200, /* of messages between routers */
  MAX_DELAY_US = 1500,
  RESUME_RANK = 0, /* of streams that callers resume */
  OTHER_RANK = 1,  /* of all other requests */
  RESUME_INTERVAL_US = 20 * MS,
};

typedef struct Replay Replay;

typedef struct
{
  Replay *replay;
  uint32_t index;
  char name[DY_NAME_SIZE];
  bool up;
  bool paused;
  bool listed; /* its VM is on the VM list */
  bool draining;
  int64_t ready_us;        /* time before which the load balancer sends no requests */
  int64_t node_started_us; /* time of the latest start */
  bool initialized;        /* members and res are initialized */
  uint64_t era;            /* of the store, by the replies so far */
  int64_t era_us;          /* when it was noticed */
  uint64_t released_era;
  DyRestoreReport report; /* about the latest restore */
  uint64_t incarnation_id;
  uint32_t generation; /* number of starts so far */
  DyMembers members;
  DyReservations res;
  uint64_t peer_incarnation_id[MAX_NODES]; /* in the last heartbeat of each node; 0: none */
  bool connected[MAX_NODES];
  int64_t last_heartbeat_us[MAX_NODES]; /* time of the last heartbeat of each node */
  GQueue deferred_events; /* of Event, those that fell due while the node was paused */
} Node;

typedef struct
{
  Node *node;
  uint32_t generation; /* of node, when the request was sent */
  const char *account;
  char *key;        /* idempotency key; NULL: none */
  int64_t tokens;   /* tokens to be reserved */
  int64_t used;     /* tokens to be settled */
  uint32_t rank;    /* RESUME_RANK or OTHER_RANK */
  int64_t run_us;   /* time from the reservation to the settlement */
  DyTicket *ticket; /* NULL once refused, settled or aborted */
  bool running;     /* its tokens are counted in Account.running */
  bool settling;    /* settlement was requested */
  bool resumable;   /* its router was killed while it ran, and its caller has not resumed it */
} Request;

typedef struct
{
  char *name;
  int64_t paid;               /* tokens paid so far */
  int64_t answered;           /* tokens charged to requests that were answered completely */
  int64_t running;            /* tokens reserved by running requests */
  int64_t unconfirmed_tokens; /* tokens used by requests whose settlement failed or never ended */
  int64_t delivered;          /* tokens that callers got of requests that were never settled */
} Account;

typedef struct Event Event;

struct Event
{
  int64_t time_us;
  uint64_t seq;        /* orders events of the same time */
  Node *node;          /* at which it happens; NULL: outside the routers */
  uint32_t generation; /* of node; the event is dropped if the node was restarted since */
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
  bool partitioned[MAX_NODES]; /* side of the network partition; equal sides reach each other */
  bool without_platform[MAX_NODES]; /* cannot reach the platform */
  bool platform_down;
  int64_t platform_delay_us; /* added to each reply of the platform */
  int64_t lose_percent;      /* share of applied writes whose reply is lost */
  DyObjectStore store;
  Snapshots snapshots;
  uint64_t era;                   /* of the store */
  GHashTable *accounts;           /* name to Account */
  GHashTable *largest_run_tokens; /* idempotency key to the tokens used by its largest run */
  GHashTable *key_charged_tokens; /* idempotency key to the sum of tokens charged */
  DyReservationsPolicy policy;
  uint64_t last_incarnation_id;
  ReplayOutcome outcome;
  GPtrArray *requests;     /* of Request */
  GPtrArray *expectations; /* of char **, the words of an `expect` line */
  int64_t end_us;          /* end of the inputs */
  bool ended;
};

/* replay_world.c */

gint replay_compare_events (gconstpointer a, gconstpointer b);

void replay_free_event (Event *event);

/* Runs RUN after DELAY_US. With a NODE, the event is dropped if the node is down or restarted by
 * then, and deferred while the node is paused. FREE_DATA (may be NULL) releases DATA. */
void replay_schedule (Replay *replay,
                      int64_t delay_us,
                      Node *node,
                      void (*run) (Replay *replay, Event *event),
                      void *data,
                      void (*free_data) (void *data));

/* Runs, defers or drops EVENT, and takes ownership of it. */
void replay_run_event (Replay *replay, Event *event);

/* Returns the node called NAME, or NULL. */
Node *replay_find_node (Replay *replay, const char *name);

/* Records at NODE that its connection to PEER came up or was lost, unless NODE has recorded it. */
void replay_set_connected (Node *node, const Node *peer, bool connected, int64_t now_us);

/* Delivers a heartbeat from each listed node to all others, where both are up, neither is paused
 * and no partition separates them, and schedules the next round. */
void replay_exchange_heartbeats (Replay *replay, Event *event);

/* Starts a new incarnation of NODE. */
void replay_start_node (Replay *replay, Node *node);

/* Stops NODE without a drain, as a crash does. */
void replay_stop_node (Node *node);

/* replay_request.c */

Account *replay_find_account (Replay *replay, const char *name);

/* Counts the unfinished requests of NODE, which is about to crash, as broken. */
void replay_abort_requests (Replay *replay, const Node *node);

void replay_free_request (gpointer data);

/* Sends a request of RANK; WORD is NODE ACCOUNT TOKENS USED RUN_MS [KEY], NULL at the end. */
void replay_start_request (Replay *replay, char **word, uint32_t rank);

#endif
