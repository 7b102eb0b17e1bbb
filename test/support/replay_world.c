#include "support/replay_private.h"

#include "core/store_version.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

typedef struct
{
  Node *from;
  uint32_t from_generation;
  DyMessage message;
} Delivery;

typedef struct
{
  DyPool pool;
  char account[DY_NAME_SIZE];
  bool is_write;
  DyStoreCall check;  /* the version that a write expects, and the era in which it is sent */
  uint64_t key_era;   /* of the entry's key, see dy_ledger_entry_key() */
  bool found_earlier; /* a read found the entry of an earlier era */
  uint64_t version;   /* of the reply */
  uint64_t era;       /* of the store, as the reply states it */
  char *text;         /* JSON text of the ledger entry; NULL for a read without a result */
  int error;
} PlatformCall;

gint
replay_compare_events (gconstpointer a, gconstpointer b)
{
  const Event *x = a;
  const Event *y = b;
  if (x->time_us != y->time_us)
    return x->time_us < y->time_us ? -1 : 1;
  return x->seq < y->seq ? -1 : x->seq > y->seq;
}

void
replay_free_event (Event *event)
{
  if (event->free_data)
    event->free_data (event->data);
  g_free (event);
}

void
replay_schedule (Replay *replay,
                 int64_t delay_us,
                 Node *node,
                 void (*run) (Replay *replay, Event *event),
                 void *data,
                 void (*free_data) (void *data))
{
  Event *event = g_new0 (Event, 1);
  event->time_us = replay->now_us + delay_us;
  event->seq = ++replay->last_seq;
  event->node = node;
  event->generation = node ? node->generation : 0;
  event->run = run;
  event->data = data;
  event->free_data = free_data;
  g_tree_insert (replay->events, event, event);
}

void
replay_run_event (Replay *replay, Event *event)
{
  Node *node = event->node;
  bool stale = node && (!node->up || node->generation != event->generation);
  if (!stale && node && node->paused)
    {
      g_queue_push_tail (&node->deferred_events, event);
      return;
    }
  if (!stale)
    event->run (replay, event);
  replay_free_event (event);
}

static int64_t
random_delay_us (Replay *replay, int64_t min_us, int64_t max_us)
{
  return g_rand_int_range (replay->rng, (gint32) min_us, (gint32) max_us);
}

static bool
reachable (const Replay *replay, const Node *a, const Node *b)
{
  return replay->partitioned[a->index] == replay->partitioned[b->index];
}

static void
deliver (Replay *replay, Event *event)
{
  Delivery *delivery = event->data;
  if (!reachable (replay, delivery->from, event->node))
    return;
  /* The sender's index and generation, so that a reply reaches only this incarnation. */
  uint64_t link = ((uint64_t) delivery->from_generation << 8) | delivery->from->index;
  dy_reservations_on_message (&event->node->res, link, &delivery->message, replay->now_us);
}

static void
transmit (Node *from, Node *to, const DyMessage *message)
{
  Replay *replay = from->replay;
  Delivery *delivery = g_new (Delivery, 1);
  delivery->from = from;
  delivery->from_generation = from->generation;
  delivery->message = *message;
  replay->outcome.messages++;
  /* Fixed for CONFIG, so that these messages do not shift the random delays of the others. */
  int64_t delay_us = message->type == DY_MESSAGE_CONFIG
                         ? MAX_DELAY_US
                         : random_delay_us (replay, MIN_DELAY_US, MAX_DELAY_US);
  replay_schedule (replay, delay_us, to, deliver, delivery, g_free);
}

Node *
replay_find_node (Replay *replay, const char *name)
{
  for (uint32_t i = 0; i < replay->n_nodes; i++)
    if (strcmp (replay->nodes[i].name, name) == 0)
      return &replay->nodes[i];
  return NULL;
}

static int
send_message (void *ctx, const char *name, const DyMessage *message)
{
  Node *from = ctx;
  Node *to = replay_find_node (from->replay, name);
  if (!to || !from->connected[to->index])
    return DY_UNAVAILABLE;
  transmit (from, to, message);
  return DY_OK;
}

static void
reply_message (void *ctx, uint64_t link, const DyMessage *message)
{
  Node *from = ctx;
  Node *to = &from->replay->nodes[link & 0xff];
  if (to->generation == link >> 8)
    transmit (from, to, message);
}

static void
free_call (void *data)
{
  PlatformCall *call = data;
  free (call->text);
  g_free (call);
}

static bool
platform_reachable (const Replay *replay, const Node *node)
{
  return !replay->platform_down && !replay->without_platform[node->index];
}

/* An entry that the store has acknowledged to one router, on its way to another. */
typedef struct
{
  Node *from;
  char account[DY_NAME_SIZE];
  uint64_t version;
  char *text;
} SharedEntry;

static void
free_shared_entry (void *data)
{
  SharedEntry *shared = data;
  free (shared->text);
  g_free (shared);
}

static void
take_entry (Node *node, const char *account, uint64_t version, const char *text)
{
  DyLedgerEntry entry;
  dy_ledger_entry_init (&entry);
  if (dy_ledger_entry_parse (&entry, text, strlen (text)) == DY_OK)
    dy_reservations_take_entry (&node->res, account, version, &entry);
  dy_ledger_entry_finish (&entry);
}

static void
deliver_entry (Replay *replay, Event *event)
{
  const SharedEntry *shared = event->data;
  if (reachable (replay, shared->from, event->node))
    take_entry (event->node, shared->account, shared->version, shared->text);
}

static void
share_entry (Node *node, const PlatformCall *call)
{
  Replay *replay = node->replay;
  take_entry (node, call->account, call->version, call->text);
  for (uint32_t i = 0; i < replay->n_nodes; i++)
    {
      if (!node->connected[i])
        continue;
      SharedEntry *shared = g_new0 (SharedEntry, 1);
      shared->from = node;
      g_strlcpy (shared->account, call->account, sizeof shared->account);
      shared->version = call->version;
      shared->text = strdup (call->text);
      replay_schedule (replay, random_delay_us (replay, 200, 1500), &replay->nodes[i],
                       deliver_entry, shared, free_shared_entry);
    }
}

static void
note_era (Node *node, uint64_t era)
{
  if (era <= node->era)
    return;
  node->era = era;
  node->era_us = node->replay->now_us;
  dy_reservations_set_era (&node->res, era, node->replay->now_us);
}

static void
finish_call (Replay *replay, Event *event)
{
  Node *node = event->node;
  PlatformCall *call = event->data;
  DyLedgerEntry entry;
  note_era (node, call->era);
  call->error = dy_store_check_answer (&call->check, call->error, call->era, node->era);
  if (call->is_write)
    {
      if (!call->error && replay->policy.ledger.copy_age_us > 0)
        share_entry (node, call);
      dy_reservations_on_write (&node->res, call->pool, call->account, call->error, call->version,
                                replay->now_us);
      return;
    }
  dy_ledger_entry_init (&entry);
  if (!call->error)
    call->error = dy_ledger_entry_parse (&entry, call->text, strlen (call->text));
  bool exists = call->key_era == MAX (node->era, 1) && !call->found_earlier;
  dy_reservations_on_read (&node->res, call->pool, call->account, call->error,
                           exists ? call->version : 0, call->error ? NULL : &entry, replay->now_us);
  dy_ledger_entry_finish (&entry);
}

static void
apply_call (Replay *replay, PlatformCall *call)
{
  char *key = dy_ledger_entry_key (call->account, call->key_era);
  DyObject object;
  uint64_t revision = 0;
  if (call->is_write)
    {
      snapshots_take (&replay->snapshots, &replay->store, replay->now_us);
      call->error = dy_object_store_put (&replay->store, key, call->text, strlen (call->text),
                                         dy_store_version_revision (call->check.basis), &revision);
      replay->outcome.platform_writes++;
    }
  else
    {
      uint64_t era = call->key_era;
      while ((call->error = dy_object_store_get (&replay->store, key, &object)) && era > 1)
        {
          g_free (key);
          key = dy_ledger_entry_key (call->account, --era);
        }
      revision = call->error ? 0 : object.version;
      call->found_earlier = era < call->key_era;
      call->text = call->error ? NULL : strdup (object.value);
    }
  call->era = replay->era;
  call->version = revision ? dy_store_version (replay->era, revision) : 0;
  g_free (key);
}

/* Executes a call unless the platform is unreachable, even if the router died after sending it. */
static void
execute_call (Replay *replay, Event *event)
{
  Event *pending = event->data;
  PlatformCall *call = pending->data;
  Node *node = pending->node;
  PlatformCall *reply = g_new (PlatformCall, 1);
  bool lost = !platform_reachable (replay, node);
  if (!lost)
    {
      apply_call (replay, call);
      lost = call->is_write && g_rand_int_range (replay->rng, 0, 100) < replay->lose_percent;
    }
  *reply = *call;
  call->text = NULL;
  if (lost)
    {
      reply->error = DY_TIMEOUT;
      reply->era = 0;
    }
  int64_t delay_us
      = lost ? CALL_TIMEOUT_US : random_delay_us (replay, 500, 3000) + replay->platform_delay_us;
  if (delay_us > CALL_TIMEOUT_US)
    {
      reply->error = DY_TIMEOUT;
      reply->era = 0;
      delay_us = CALL_TIMEOUT_US;
    }
  if (node->up && node->generation == pending->generation)
    replay_schedule (replay, delay_us, node, finish_call, reply, free_call);
  else
    free_call (reply);
}

static void
free_pending_call (void *data)
{
  replay_free_event (data);
}

static void
start_call (Node *node, PlatformCall *call)
{
  Replay *replay = node->replay;
  call->check.sent_era = node->era;
  call->key_era = MAX (node->era, 1);
  call->error = dy_store_check_call (&call->check, node->era);
  if (call->error)
    {
      replay_schedule (replay, 0, node, finish_call, call, free_call);
      return;
    }
  Event *pending = g_new0 (Event, 1);
  pending->node = node;
  pending->generation = node->generation;
  pending->data = call;
  pending->free_data = free_call;
  replay_schedule (replay, random_delay_us (replay, 500, 3000), NULL, execute_call, pending,
                   free_pending_call);
}

static void
read_entry (void *ctx, DyPool pool, const char *account)
{
  PlatformCall *call = g_new0 (PlatformCall, 1);
  call->pool = pool;
  g_strlcpy (call->account, account, sizeof call->account);
  start_call (ctx, call);
}

static void
write_entry (
    void *ctx, DyPool pool, const char *account, uint64_t version, const DyLedgerEntry *entry)
{
  PlatformCall *call = g_new0 (PlatformCall, 1);
  call->pool = pool;
  g_strlcpy (call->account, account, sizeof call->account);
  call->is_write = true;
  call->check.kind = DY_STORE_WRITE;
  call->check.basis = version;
  call->text = dy_ledger_entry_format (entry);
  start_call (ctx, call);
}

static const DyReservationsActions actions
    = { .read = read_entry, .write = write_entry, .send = send_message, .reply = reply_message };

static void
take_known_entry (void *ctx, const char *account, uint64_t version, const DyLedgerEntry *entry)
{
  Node *node = ctx;
  dy_reservations_take_entry (&node->res, account, version, entry);
}

void
replay_set_connected (Node *node, const Node *peer, bool connected, int64_t now_us)
{
  if (node->connected[peer->index] == connected)
    return;
  node->connected[peer->index] = connected;
  /* Sent before a report on a restore, so known when that is. */
  if (connected)
    dy_latest_entries_visit (&peer->res.latest, take_known_entry, node);
  if (connected)
    dy_reservations_on_up (&node->res, peer->name, now_us);
  else
    {
      dy_members_disconnected (&node->members, peer->name);
      dy_reservations_on_down (&node->res, peer->name, now_us);
    }
}

static void
receive_heartbeat (Node *node, const Node *peer, int64_t now_us)
{
  uint64_t *last_id = &node->peer_incarnation_id[peer->index];
  if (*last_id && *last_id != peer->incarnation_id)
    dy_reservations_on_router_dead (&node->res, peer->name, *last_id, now_us);
  *last_id = peer->incarnation_id;
  dy_reservations_on_router_alive (&node->res, peer->incarnation_id, now_us);
  node->last_heartbeat_us[peer->index] = now_us;
  dy_members_record_heartbeat (&node->members, peer->name, peer->incarnation_id, peer->draining,
                               now_us);
  replay_set_connected (node, peer, true, now_us);
}

/* Ends joining as services/peers/peers.c does, except that the VM list is known from the start. */
static void
end_joining (const Replay *replay, Node *node)
{
  if (dy_members_all_connected (&node->members)
      || replay->now_us - node->node_started_us >= PEER_TIMEOUT_US + HEARTBEAT_US)
    node->members.joining = false;
}

/* Does what services/restores.c does. The other routers' reports are as of now. */
static void
check_restore (Replay *replay, Node *node)
{
  int64_t since_us = node->era_us - replay->policy.ledger.copy_age_us;
  DyRestoreCheck check;
  node->report = (DyRestoreReport){
    .incarnation_id = node->incarnation_id,
    .era = node->era,
    .reasserted = !dy_reservations_is_reasserting (&node->res),
    .was_there = node->node_started_us <= MAX (since_us, 0)
                 && dy_reservations_parted_us (&node->res) < since_us,
  };
  if (node->released_era == node->era)
    return;
  dy_restore_check_init (&check);
  for (uint32_t i = 0; i < replay->n_nodes; i++)
    if (node->connected[i])
      dy_restore_check_take (&check, replay->nodes[i].name, &replay->nodes[i].report);
  if (dy_restore_check_complete (&check, &node->report, &node->members, replay->now_us))
    {
      node->released_era = node->era;
      dy_reservations_release_withheld (&node->res, node->era, replay->now_us);
    }
  dy_restore_check_finish (&check);
}

static void
tick_node (Replay *replay, Event *event)
{
  Node *node = event->node;
  for (uint32_t i = 0; i < replay->n_nodes; i++)
    if (i != node->index && node->connected[i]
        && replay->now_us - node->last_heartbeat_us[i] > PEER_TIMEOUT_US)
      replay_set_connected (node, &replay->nodes[i], false, replay->now_us);
  end_joining (replay, node);
  dy_reservations_tick (&node->res, replay->now_us);
  check_restore (replay, node);
  replay_schedule (replay, TICK_US, node, tick_node, NULL, NULL);
}

void
replay_exchange_heartbeats (Replay *replay, Event *event)
{
  (void) event;
  for (uint32_t i = 0; i < replay->n_nodes; i++)
    for (uint32_t j = 0; j < replay->n_nodes; j++)
      {
        Node *a = &replay->nodes[i];
        Node *b = &replay->nodes[j];
        if (i != j && a->up && b->up && !a->paused && !b->paused && b->listed
            && reachable (replay, a, b))
          receive_heartbeat (a, b, replay->now_us);
      }
  replay_schedule (replay, HEARTBEAT_US, NULL, replay_exchange_heartbeats, NULL, NULL);
}

void
replay_start_node (Replay *replay, Node *node)
{
  DyReservationsPolicy policy = replay->policy;
  node->up = true;
  node->paused = false;
  node->draining = false;
  node->listed = true;
  node->initialized = true;
  node->node_started_us = replay->now_us;
  node->ready_us = replay->now_us + 2 * HEARTBEAT_US;
  node->generation++;
  node->incarnation_id = replay->last_incarnation_id += 2;
  node->era = 0;
  node->era_us = replay->now_us;
  node->released_era = 0;
  policy.self_id = node->incarnation_id;
  policy.self_name = node->name;
  memset (node->connected, 0, sizeof node->connected);
  memset (node->peer_incarnation_id, 0, sizeof node->peer_incarnation_id);
  dy_members_init (&node->members, node->name, PEER_TIMEOUT_US);
  for (uint32_t i = 0; i < replay->n_nodes; i++)
    dy_members_put (&node->members, replay->nodes[i].name, "", i % 2 ? "dc-b" : "dc-a", false);
  node->members.joining = true;
  dy_reservations_init (&node->res, &policy, &node->members, g_rand_int (replay->rng), &actions,
                        node);
  replay_schedule (replay, random_delay_us (replay, 1, TICK_US), node, tick_node, NULL, NULL);
}

static void
free_deferred_event (gpointer data)
{
  replay_free_event (data);
}

void
replay_stop_node (Node *node)
{
  if (!node->initialized)
    return;
  node->initialized = false;
  node->up = false;
  g_queue_clear_full (&node->deferred_events, free_deferred_event);
  dy_reservations_finish (&node->res);
  dy_members_finish (&node->members);
}
