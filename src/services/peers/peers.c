#include "services/peers/peers_private.h"

#include "core/vm_list_pace.h"
#include "kernel/priority.h"
#include "net/address.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  DIAL_MIN_US = 50 * 1000,
  DIAL_MAX_US = 2 * 1000 * 1000,
  HELLO_TIMEOUT_US = 2 * 1000 * 1000,
  /* Time after which a connection that was set aside counts as dead: longer than a VM is suspended
   * or cut off for, and bounds how long one to a VM without power stays open. */
  SET_ASIDE_TIMEOUT_US = 30 * 1000 * 1000,
  LISTEN_BACKLOG = 512,
  /* Time in which all routers that reach a restored store have noticed it and written their records
   * again, and the VM list, which may be seconds old, shows them. */
  REGISTRATION_GRACE_US = 10 * 1000 * 1000,
  /* Time by which a read of the VM list may be late. */
  VM_LIST_MARGIN_US = 2 * 1000 * 1000,
};

int64_t
dy_peers_now_us (const DyPeers *peers)
{
  return dy_kernel_now_us (peers->kernel);
}

static void
on_accept (struct ev_loop *loop, ev_io *w, int events)
{
  DyPeers *peers = w->data;
  (void) loop;
  (void) events;
  int fd = accept4 (peers->listen_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (fd >= 0)
    dy_peers_open_link (peers, fd, false);
}

static void
dial (DyPeers *peers, const DyMember *member)
{
  struct sockaddr_in addr;
  DyPeerDialState *state = g_hash_table_lookup (peers->dial_states, member->name);
  if (!state)
    {
      state = g_new0 (DyPeerDialState, 1);
      dy_backoff_init (&state->backoff, DIAL_MIN_US, DIAL_MAX_US);
      g_hash_table_insert (peers->dial_states, g_strdup (member->name), state);
    }
  if (dy_peers_now_us (peers) < state->next_dial_us || dy_address_parse (member->address, &addr))
    return;
  state->next_dial_us = dy_peers_now_us (peers) + dy_backoff_next_us (&state->backoff, peers->rng);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return;
  if (connect (fd, (struct sockaddr *) &addr, sizeof addr) && errno != EINPROGRESS)
    {
      close (fd);
      return;
    }
  DyPeerLink *link = dy_peers_open_link (peers, fd, true);
  g_strlcpy (link->node, member->name, DY_NAME_SIZE);
  g_hash_table_insert (peers->dialed, g_strdup (member->name), link);
}

/* Returns whether MEMBER was not heard from in time. What its connections hold unread was sent by
 * it, however late this router is. */
static bool
is_silent (DyPeers *peers, const DyMember *member)
{
  int64_t now_us = dy_peers_now_us (peers);
  if (now_us - member->last_heard_us <= peers->members.timeout_us)
    return false;
  if (!dy_peers_has_unread (peers, member->name))
    return true;
  dy_members_record_contact (&peers->members, member->name, now_us);
  return false;
}

/* Returns why LINK must be closed, or NULL: the other side did not authenticate in time or, on a
 * dialled connection, is no longer a member or was not heard from in time. */
static const char *
find_stale_reason (DyPeers *peers, const DyPeerLink *link)
{
  if (!link->authenticated)
    return dy_peers_now_us (peers) - link->opened_us > HELLO_TIMEOUT_US ? "hello" : NULL;
  const DyMember *member = dy_members_find (&peers->members, link->node);
  if (link->set_aside && link->n_holds == 0)
    return "unused";
  if (link->set_aside)
    return dy_peers_now_us (peers) - link->received_us > SET_ASIDE_TIMEOUT_US ? "silent" : NULL;
  if (!link->dialed)
    return NULL;
  if (!member)
    return "not_listed";
  return is_silent (peers, member) ? "heartbeat" : NULL;
}

/* A connection that was set aside carries heartbeats, too: what its holders wait for may take
 * longer than SET_ASIDE_TIMEOUT_US. */
static void
close_stale_links (DyPeers *peers)
{
  GList *links = g_hash_table_get_values (peers->links);
  for (GList *l = links; l; l = l->next)
    {
      DyPeerLink *link = l->data;
      const char *reason = find_stale_reason (peers, link);
      if (reason)
        dy_peers_give_up_link (link, reason);
      else if (link->set_aside && !link->pinged_us)
        dy_peers_send_heartbeat (link, DY_MESSAGE_PING);
    }
  g_list_free (links);
}

/* Stops joining once all listed members are connected, or the wait limit has passed since there was
 * someone to wait for: a router that knows no other one must not act as a fleet of one. */
static void
update_joining (DyPeers *peers)
{
  const DySettings *settings = peers->kernel->settings;
  int64_t wait_limit_us = (settings->peer_timeout_ms + settings->heartbeat_ms) * 1000;
  if (!peers->members_since_us
      && (peers->vm_list_read || g_hash_table_size (peers->members.by_name) > 0))
    peers->members_since_us = dy_peers_now_us (peers);
  if ((peers->vm_list_has_self && dy_members_all_connected (&peers->members))
      || (peers->members_since_us
          && dy_peers_now_us (peers) - peers->members_since_us >= wait_limit_us))
    peers->members.joining = false;
}

/* Dials the members to which there is no connection. */
static void
dial_members (DyPeers *peers)
{
  GHashTableIter iter;
  gpointer name;
  gpointer value;
  g_hash_table_iter_init (&iter, peers->members.by_name);
  while (g_hash_table_iter_next (&iter, &name, &value))
    if (!g_hash_table_contains (peers->dialed, name))
      dial (peers, value);
}

static void
remove_member (DyPeers *peers, const char *name)
{
  const uint64_t *incarnation_id = g_hash_table_lookup (peers->incarnations, name);
  if (incarnation_id)
    NOTIFY_WATCHERS (peers, incarnation_dead, name, *incarnation_id);
  g_hash_table_remove (peers->incarnations, name);
  g_hash_table_remove (peers->dial_states, name);
  DyPeerLink *link = g_hash_table_lookup (peers->dialed, name);
  if (link)
    dy_peers_give_up_link (link, "not_listed");
  dy_members_remove (&peers->members, name, dy_peers_now_us (peers));
}

/* Returns whether the record of NAME, which is not listed, may be missing only because the store
 * was restored from a copy that lacks it. A router that is still heard from writes it again. */
static bool
may_register_again (const DyPeers *peers, const char *name)
{
  const DyMember *member = dy_members_find (&peers->members, name);
  return dy_platform_was_restored_within (peers->platform, REGISTRATION_GRACE_US) && member
         && dy_peers_now_us (peers) - member->last_heard_us <= peers->members.timeout_us;
}

static void
remove_unlisted (DyPeers *peers, GHashTable *listed)
{
  GList *names = g_hash_table_get_keys (peers->members.by_name);
  for (GList *l = names; l; l = l->next)
    {
      char *name = g_strdup (l->data);
      if (!g_hash_table_contains (listed, name) && !may_register_again (peers, name))
        remove_member (peers, name);
      g_free (name);
    }
  g_list_free (names);
}

static void
apply_vm_list (DyPeers *peers, const json_t *vms)
{
  bool changed = !peers->vm_list_read;
  bool lists_self = false;
  peers->vm_list_read = true;
  GHashTable *listed = g_hash_table_new (g_str_hash, g_str_equal);
  const json_t *vm;
  size_t i;
  json_array_foreach (vms, i, vm)
  {
    const char *name = json_string_value (json_object_get (vm, "name"));
    const char *address = json_string_value (json_object_get (vm, "address"));
    const char *data_centre = json_string_value (json_object_get (vm, "data_centre"));
    if (!name || !address || !data_centre || strlen (name) >= DY_NAME_SIZE)
      continue;
    g_hash_table_add (listed, (gpointer) name);
    if (strcmp (name, peers->members.self_name) == 0)
      lists_self = true;
    else if (!dy_members_find (&peers->members, name))
      changed = true;
    dy_members_put (&peers->members, name, address, data_centre,
                    json_is_true (json_object_get (vm, "leaving")));
  }
  peers->vm_list_has_self = peers->vm_list_has_self || lists_self;
  dy_resend_share_record_list (&peers->resend_share, lists_self, peers->vm_list_asked_us);
  /* The other routers forget one that is not listed, see dy_members_present(). */
  if (!lists_self)
    dy_resend_share_restart (&peers->cold_parts);
  dy_resend_share_record_list (&peers->cold_parts, lists_self, peers->vm_list_asked_us);
  guint n_members = g_hash_table_size (peers->members.by_name);
  remove_unlisted (peers, listed);
  if (changed || g_hash_table_size (peers->members.by_name) != n_members)
    peers->members_changed_us = dy_peers_now_us (peers);
  g_hash_table_unref (listed);
  dial_members (peers);
}

static void
on_vm_list (void *ctx, const DyPlatformReply *reply)
{
  DyPeers *peers = ctx;
  peers->vm_list_in_progress = false;
  peers->vm_list_us = dy_peers_now_us (peers);
  if (reply->error)
    return;
  json_t *root = json_loadb (reply->value, reply->n_value, 0, NULL);
  const json_t *vms = json_object_get (root, "vms");
  if (json_is_array (vms))
    apply_vm_list (peers, vms);
  json_decref (root);
}

/* Returns whether a router is connected to this one that is not on the VM list. */
static bool
lacks_peer (const DyPeers *peers)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, peers->links);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const DyPeerLink *link = value;
      if (link->authenticated && !link->dialed && !dy_members_find (&peers->members, link->node)
          && strcmp (link->node, peers->members.self_name) != 0)
        return true;
    }
  return false;
}

/* Reads the VM list if that is due. */
static void
update_vm_list (DyPeers *peers)
{
  const DySettings *settings = peers->kernel->settings;
  const DyVmListPace pace
      = { settings->vm_list_interval_ms * 1000, settings->vm_list_idle_ms * 1000 };
  const DyVmListState state
      = { .joining = peers->members.joining,
          .read = peers->vm_list_read,
          .lists_self = peers->vm_list_has_self,
          .lacks_peer = lacks_peer (peers),
          .unchanged_us = dy_peers_now_us (peers) - peers->members_changed_us };
  if (peers->vm_list_in_progress
      || (peers->vm_list_us
          && dy_peers_now_us (peers) - peers->vm_list_us < dy_vm_list_pace_wait_us (&pace, &state)))
    return;
  peers->vm_list_in_progress = true;
  peers->vm_list_asked_us = dy_peers_now_us (peers);
  dy_platform_vms (peers->platform, on_vm_list, peers);
}

/* Returns whether a heartbeat of MEMBER came within the last interval, so that none need be asked
 * for: of two routers, one sends and the other one replies. Replies take some time, so a little
 * less than the interval counts. */
static bool
is_heard (const DyPeers *peers, const DyMember *member)
{
  int64_t interval_us = peers->kernel->settings->heartbeat_ms * 1000;
  return dy_peers_now_us (peers) - member->last_heartbeat_us < interval_us * 9 / 10;
}

static void
on_heartbeat_timer (struct ev_loop *loop, ev_timer *w, int events)
{
  DyPeers *peers = w->data;
  GHashTableIter iter;
  gpointer name;
  gpointer value;
  (void) loop;
  (void) events;
  int64_t now_us = dy_peers_now_us (peers);
  peers->tick_gap_us = peers->tick_us ? now_us - peers->tick_us : 0;
  peers->tick_us = now_us;
  close_stale_links (peers);
  update_joining (peers);
  g_hash_table_iter_init (&iter, peers->members.by_name);
  while (g_hash_table_iter_next (&iter, &name, &value))
    {
      DyPeerLink *link = g_hash_table_lookup (peers->dialed, name);
      if (link && link->authenticated && !is_heard (peers, value))
        dy_peers_send_heartbeat (link, DY_MESSAGE_PING);
    }
  dial_members (peers);
  update_vm_list (peers);
  dy_counters_set (&peers->kernel->counters, DY_COUNTER_MEMBERS,
                   dy_members_count (&peers->members, dy_peers_now_us (peers)));
}

static int
listen_on (DyPeers *peers, const char *text)
{
  struct sockaddr_in addr;
  int one = 1;
  if (dy_address_parse (text, &addr))
    return DY_SETTINGS;
  peers->listen_fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  setsockopt (peers->listen_fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (peers->listen_fd, (struct sockaddr *) &addr, sizeof addr)
      || listen (peers->listen_fd, LISTEN_BACKLOG))
    return DY_IO;
  ev_io_init (&peers->accept_io, on_accept, peers->listen_fd, EV_READ);
  peers->accept_io.data = peers;
  ev_io_start (peers->kernel->loop, &peers->accept_io);
  return DY_OK;
}

static void
start_timers (DyPeers *peers)
{
  const DySettings *settings = peers->kernel->settings;
  ev_timer_init (&peers->heartbeat_timer, on_heartbeat_timer, 0.0,
                 (double) settings->heartbeat_ms / 1000.0);
  ev_set_priority (&peers->heartbeat_timer, DY_PRIORITY_TIMEOUT);
  peers->heartbeat_timer.data = peers;
  ev_timer_start (peers->kernel->loop, &peers->heartbeat_timer);
}

static void
init_shares (DyPeers *peers)
{
  const DySettings *settings = peers->kernel->settings;
  int64_t list_wait_ms = MAX (settings->vm_list_idle_ms, settings->vm_list_interval_ms)
                         + settings->vm_list_interval_ms;
  dy_resend_share_init (&peers->resend_share, &peers->members, settings->resend_window_ms * 1000,
                        list_wait_ms * 1000 + VM_LIST_MARGIN_US, dy_peers_now_us (peers));
  peers->resend_share.is_alone = settings->peer_secret[0] == '\0';
  dy_resend_share_init (&peers->cold_parts, &peers->members, DY_COLD_PARTS_WINDOW_US,
                        peers->resend_share.list_limit_us, dy_peers_now_us (peers));
  peers->cold_parts.is_alone = peers->resend_share.is_alone;
}

static int
service_start (void *self, DyKernel *kernel)
{
  DyPeers *peers = self;
  const DySettings *settings = kernel->settings;
  peers->kernel = kernel;
  peers->platform = dy_kernel_find (kernel, DY_SERVICE_PLATFORM);
  peers->listen_fd = -1;
  dy_members_init (&peers->members, settings->node_name, settings->peer_timeout_ms * 1000);
  peers->members.joining = settings->peer_secret[0] != '\0';
  init_shares (peers);
  peers->links = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, dy_peers_free_link);
  peers->dialed = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  peers->dial_states = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  peers->incarnations = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  peers->rng = g_rand_new ();
  if (settings->peer_secret[0] == '\0')
    return DY_OK;
  start_timers (peers);
  return listen_on (peers, settings->peer_listen);
}

/* Tells all other routers at once that this one stops, as they would hand it work until its next
 * heartbeats. */
static void
service_drain (void *self)
{
  DyPeers *peers = self;
  GHashTableIter iter;
  gpointer value;
  peers->members.self_leaving = true;
  g_hash_table_iter_init (&iter, peers->links);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      DyPeerLink *link = value;
      const DyPeerLink *dialed = g_hash_table_lookup (peers->dialed, link->node);
      if (link->authenticated && (link == dialed || !dialed || !dialed->authenticated))
        dy_peers_send_heartbeat (link, DY_MESSAGE_PONG);
    }
}

static void
service_stop (void *self)
{
  DyPeers *peers = self;
  ev_timer_stop (peers->kernel->loop, &peers->heartbeat_timer);
  ev_io_stop (peers->kernel->loop, &peers->accept_io);
  if (peers->listen_fd >= 0)
    close (peers->listen_fd);
  peers->n_watchers = 0;
  g_hash_table_unref (peers->dialed);
  g_hash_table_unref (peers->links);
  g_hash_table_unref (peers->dial_states);
  g_hash_table_unref (peers->incarnations);
  dy_resend_share_finish (&peers->resend_share);
  dy_resend_share_finish (&peers->cold_parts);
  dy_members_finish (&peers->members);
  g_rand_free (peers->rng);
}

static json_t *
dump_member (const DyPeers *peers, const DyMember *member)
{
  return json_pack ("{s:s, s:s, s:b, s:b, s:I}", "name", member->name, "data_centre",
                    member->data_centre, "leaving", member->leaving, "connected",
                    member->incarnation_id != 0, "heard_ms_ago",
                    (json_int_t) ((dy_peers_now_us (peers) - member->last_heard_us) / 1000));
}

static json_t *
service_dump (void *self)
{
  const DyPeers *peers = self;
  json_t *list = json_array ();
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, peers->members.by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    json_array_append_new (list, dump_member (peers, value));
  return json_pack (
      "{s:o, s:i, s:I, s:I}", "members", list, "links", (int) g_hash_table_size (peers->links),
      "messages_sent", (json_int_t) peers->kernel->counters.values[DY_COUNTER_PEER_MESSAGES_OUT],
      "bytes_sent", (json_int_t) peers->kernel->counters.values[DY_COUNTER_PEER_BYTES_OUT]);
}

void
dy_peers_add_service (DyKernel *kernel, DyPeers *peers)
{
  DyService service = { .name = DY_SERVICE_PEERS,
                        .self = peers,
                        .start = service_start,
                        .drain = service_drain,
                        .stop = service_stop,
                        .dump = service_dump };
  dy_kernel_add (kernel, &service);
}

bool
dy_peers_is_within_share (DyPeers *peers)
{
  uint32_t n_routers = dy_members_possible_count (&peers->members);
  /* Once within, a router stays so while it counts as many. */
  if (peers->within_share_of != n_routers && peers->is_within_share
      && peers->is_within_share (peers->is_within_share_ctx, n_routers))
    peers->within_share_of = n_routers;
  return peers->within_share_of == n_routers
         && dy_resend_share_knows_own (&peers->resend_share, dy_peers_now_us (peers));
}

void
dy_peers_watch (DyPeers *peers, const DyPeersWatcher *watcher, void *ctx)
{
  g_assert (peers->n_watchers < DY_MAX_PEERS_WATCHERS);
  peers->watchers[peers->n_watchers].watcher = watcher;
  peers->watchers[peers->n_watchers].ctx = ctx;
  peers->n_watchers++;
}

bool
dy_peers_members_known (const DyPeers *peers)
{
  return !peers->members.joining;
}

/* Returns an authenticated connection to NAME, or NULL: the dialled one or, until the VM list has
 * been read, any other. */
static DyPeerLink *
find_link (const DyPeers *peers, const char *name)
{
  DyPeerLink *dialed = g_hash_table_lookup (peers->dialed, name);
  GHashTableIter iter;
  gpointer value;
  if (dialed && dialed->authenticated)
    return dialed;
  if (peers->vm_list_read)
    return NULL;
  g_hash_table_iter_init (&iter, peers->links);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      DyPeerLink *link = value;
      if (link->authenticated && !link->set_aside && strcmp (link->node, name) == 0)
        return link;
    }
  return NULL;
}

uint64_t
dy_peers_link_to (const DyPeers *peers, const char *name)
{
  const DyPeerLink *link = find_link (peers, name);
  return link ? link->number : 0;
}

bool
dy_peers_takes (const DyPeers *peers, uint64_t link_number, size_t n)
{
  const DyPeerLink *link = g_hash_table_lookup (peers->links, &link_number);
  return link && dy_peers_has_room (link, n);
}

void
dy_peers_hold_link (DyPeers *peers, uint64_t link_number)
{
  DyPeerLink *link = g_hash_table_lookup (peers->links, &link_number);
  if (link)
    link->n_holds++;
}

/* Not closed here, as the caller may be handling a message of the connection. */
void
dy_peers_release_link (DyPeers *peers, uint64_t link_number)
{
  DyPeerLink *link = g_hash_table_lookup (peers->links, &link_number);
  if (link && link->n_holds > 0)
    link->n_holds--;
}

int
dy_peers_send (DyPeers *peers, const char *name, const DyMessage *message)
{
  DyPeerLink *link = find_link (peers, name);
  if (!link)
    return DY_UNAVAILABLE;
  dy_peers_send_message (link, message);
  return DY_OK;
}

void
dy_peers_broadcast (DyPeers *peers, const DyMessage *message)
{
  GHashTableIter iter;
  gpointer name;
  g_hash_table_iter_init (&iter, peers->members.by_name);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    dy_peers_send (peers, name, message);
}

/* Returns whether KEY fits. MESSAGE refers to TEXT. */
static bool
fill_object (DyMessage *message, const char *key, const char *text)
{
  memset (message, 0, sizeof *message);
  message->type = DY_MESSAGE_CONFIG;
  message->u.config.text = text;
  message->u.config.n_text = text ? (uint32_t) strlen (text) : 0;
  return g_strlcpy (message->u.config.key, key, DY_KEY_SIZE) < DY_KEY_SIZE;
}

void
dy_peers_reply_object (DyPeers *peers, uint64_t link, const char *key, const char *text)
{
  DyMessage message;
  if (fill_object (&message, key, text))
    dy_peers_reply (peers, link, &message);
}

void
dy_peers_send_object (DyPeers *peers, const char *name, const char *key, const char *text)
{
  DyMessage message;
  if (!fill_object (&message, key, text))
    return;
  if (name)
    dy_peers_send (peers, name, &message);
  else
    dy_peers_broadcast (peers, &message);
}

void
dy_peers_reply (DyPeers *peers, uint64_t link_number, const DyMessage *message)
{
  DyPeerLink *link = g_hash_table_lookup (peers->links, &link_number);
  if (link)
    dy_peers_send_message (link, message);
}
