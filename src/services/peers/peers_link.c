#include "services/peers/peers_private.h"

#include <arpa/inet.h>
#include <errno.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  /* A peer that leaves more unread is disconnected. While the connection is held, so that work is
   * in progress on it, no more of that is begun beyond the first limit, and the second one holds,
   * which is above the longest body of a request. */
  MAX_UNSENT_BYTES = 1024 * 1024,
  MAX_UNSENT_HELD_BYTES = 16 * 1024 * 1024,
};

static void on_socket (struct ev_loop *loop, ev_io *w, int events);

static void
watch_socket (DyPeerLink *link)
{
  int events = EV_READ | (link->out.size > link->out_sent ? EV_WRITE : 0);
  if (link->io.events == events && ev_is_active (&link->io))
    return;
  ev_io_stop (link->peers->kernel->loop, &link->io);
  ev_io_set (&link->io, link->fd, events);
  ev_io_start (link->peers->kernel->loop, &link->io);
}

/* Records why the connection must be closed, unless that is known: what follows a shutdown is no
 * reason. Returns false, for handlers to return. */
static bool
fail (DyPeerLink *link, const char *reason)
{
  if (!link->end_reason)
    link->end_reason = reason;
  return false;
}

/* Sends queued bytes. Returns false if the connection is lost. */
static bool
flush (DyPeerLink *link)
{
  while (link->out_sent < link->out.size)
    {
      ssize_t n = send (link->fd, link->out.data + link->out_sent, link->out.size - link->out_sent,
                        MSG_NOSIGNAL | MSG_DONTWAIT);
      if (n < 0)
        return errno == EAGAIN || errno == EINTR || errno == EINPROGRESS || errno == ENOTCONN
               || fail (link, "send_error");
      link->out_sent += (size_t) n;
    }
  msgpack_sbuffer_clear (&link->out);
  link->out_sent = 0;
  return true;
}

bool
dy_peers_has_room (const DyPeerLink *link, size_t n)
{
  size_t n_unsent = link->out.size - link->out_sent;
  return n_unsent == 0 || n_unsent + n <= MAX_UNSENT_BYTES;
}

void
dy_peers_send_message (DyPeerLink *link, const DyMessage *message)
{
  size_t before = link->out.size;
  size_t max_unsent = link->n_holds > 0 ? MAX_UNSENT_HELD_BYTES : MAX_UNSENT_BYTES;
  if (before - link->out_sent > max_unsent)
    {
      link->end_reason = "unsent";
      shutdown (link->fd, SHUT_RDWR);
      return;
    }
  dy_wire_pack (message, &link->out);
  if (link->out.size - before > DY_MAX_FRAME_BYTES + DY_FRAME_HEADER_BYTES)
    {
      /* The other side would close the connection. */
      dy_log (DY_EVENT_PEER_MESSAGE_TOO_LARGE, "node=%s type=%d bytes=%zu", link->node,
              (int) message->type, link->out.size - before);
      link->out.size = before;
      return;
    }
  dy_counters_add (&link->peers->kernel->counters, DY_COUNTER_PEER_MESSAGES_OUT, 1);
  dy_counters_add (&link->peers->kernel->counters, DY_COUNTER_PEER_BYTES_OUT,
                   (int64_t) (link->out.size - before));
  flush (link);
  watch_socket (link);
}

/* Computes the HMAC-SHA256 over the sender's role and name and the receiver's nonce. With role and
 * name in it, a digest cannot be reflected to its sender as a reply to the sender's own nonce. */
static void
compute_digest (
    const char *secret, bool dialer, const char *node, const uint8_t *nonce, uint8_t *out)
{
  GHmac *hmac = g_hmac_new (G_CHECKSUM_SHA256, (const guchar *) secret, strlen (secret));
  gsize n = DY_DIGEST_SIZE;
  g_hmac_update (hmac, (const guchar *) (dialer ? "dial" : "accept"), -1);
  g_hmac_update (hmac, (const guchar *) node, (gssize) strlen (node) + 1);
  g_hmac_update (hmac, nonce, DY_NONCE_SIZE);
  g_hmac_get_digest (hmac, out, &n);
  g_hmac_unref (hmac);
}

static void
send_hello (DyPeerLink *link)
{
  DyPeers *peers = link->peers;
  DyMessage message = { .type = DY_MESSAGE_HELLO };
  for (int i = 0; i < DY_NONCE_SIZE; i++)
    link->nonce[i] = (uint8_t) g_rand_int (peers->rng);
  message.u.hello.version = DY_PROTOCOL_VERSION;
  g_strlcpy (message.u.hello.node, peers->kernel->settings->node_name, DY_NAME_SIZE);
  message.u.hello.incarnation_id = peers->kernel->incarnation_id;
  memcpy (message.u.hello.nonce, link->nonce, DY_NONCE_SIZE);
  dy_peers_send_message (link, &message);
}

static void
send_auth (DyPeerLink *link, const uint8_t *nonce)
{
  const DySettings *settings = link->peers->kernel->settings;
  DyMessage message = { .type = DY_MESSAGE_AUTH };
  compute_digest (settings->peer_secret, link->dialed, settings->node_name, nonce,
                  message.u.auth.digest);
  dy_peers_send_message (link, &message);
}

void
dy_peers_send_heartbeat (DyPeerLink *link, DyMessageType type)
{
  DyMessage message = { .type = type };
  message.u.heartbeat.leaving = link->peers->kernel->draining;
  message.u.heartbeat.has_platform = dy_platform_answers (link->peers->platform);
  message.u.heartbeat.config_version = link->peers->config_version;
  message.u.heartbeat.within_share = dy_peers_is_within_share (link->peers);
  if (type == DY_MESSAGE_PING && !link->pinged_us)
    link->pinged_us = dy_peers_now_us (link->peers);
  dy_peers_send_message (link, &message);
}

static void
close_links_of_incarnation (DyPeers *peers, uint64_t incarnation_id)
{
  GList *links = g_hash_table_get_values (peers->links);
  for (GList *l = links; l; l = l->next)
    {
      DyPeerLink *link = l->data;
      if (link->authenticated && link->incarnation_id == incarnation_id)
        dy_peers_close_link (link, "replaced");
    }
  g_list_free (links);
}

/* Records an authenticated incarnation. If another one was known under the same name, that one is
 * dead. */
static void
record_incarnation (DyPeers *peers, const char *name, uint64_t incarnation_id)
{
  uint64_t *latest = g_hash_table_lookup (peers->incarnations, name);
  if (latest && *latest == incarnation_id)
    return;
  NOTIFY_WATCHERS (peers, incarnation_seen, incarnation_id);
  if (latest)
    {
      close_links_of_incarnation (peers, *latest);
      NOTIFY_WATCHERS (peers, incarnation_dead, name, *latest);
    }
  g_hash_table_replace (peers->incarnations, g_strdup (name),
                        g_memdup2 (&incarnation_id, sizeof incarnation_id));
}

/* Logs why the connection is refused. Returns false, for handlers to return. */
static bool
reject (DyPeerLink *link, const char *reason)
{
  dy_counters_add (&link->peers->kernel->counters, DY_COUNTER_PEER_REJECTED, 1);
  dy_log (DY_EVENT_PEER_REJECTED, "node=%s reason=%s", link->node, reason);
  return fail (link, "rejected");
}

static bool
on_hello (DyPeerLink *link, const DyMessage *message)
{
  if (link->hello_received)
    return reject (link, "second_hello");
  if (link->dialed && strcmp (link->node, message->u.hello.node) != 0)
    return reject (link, "name");
  g_strlcpy (link->node, message->u.hello.node, DY_NAME_SIZE);
  link->incarnation_id = message->u.hello.incarnation_id;
  if (message->u.hello.version != DY_PROTOCOL_VERSION)
    return reject (link, "protocol_version");
  link->hello_received = true;
  send_auth (link, message->u.hello.nonce);
  return true;
}

static bool
on_auth (DyPeerLink *link, const DyMessage *message)
{
  DyPeers *peers = link->peers;
  uint8_t expected[DY_DIGEST_SIZE];
  if (!link->hello_received || link->authenticated)
    return reject (link, "order");
  compute_digest (peers->kernel->settings->peer_secret, !link->dialed, link->node, link->nonce,
                  expected);
  if (memcmp (expected, message->u.auth.digest, DY_DIGEST_SIZE) != 0)
    return reject (link, "secret");
  link->authenticated = true;
  record_incarnation (peers, link->node, link->incarnation_id);
  dy_members_record_seen (&peers->members, link->node);
  if (!link->dialed)
    {
      if (!peers->vm_list_read)
        dy_members_put (&peers->members, link->node, "", "", false);
      return true;
    }
  DyPeerDialState *dial = g_hash_table_lookup (peers->dial_states, link->node);
  if (dial)
    dy_backoff_reset (&dial->backoff);
  dy_members_record_heartbeat (&peers->members, link->node, link->incarnation_id, false,
                               dy_peers_now_us (peers));
  /* Until its first heartbeat says otherwise. */
  dy_members_set_platform (&peers->members, link->node, true);
  dy_log (DY_EVENT_PEER_UP, "node=%s", link->node);
  NOTIFY_WATCHERS (peers, up, link->node);
  return true;
}

/* Puts LINK, which was set aside, in its place again if no other one has been authenticated. */
static void
take_back (DyPeerLink *link)
{
  DyPeers *peers = link->peers;
  DyPeerLink *dialed = g_hash_table_lookup (peers->dialed, link->node);
  if ((dialed && dialed->authenticated) || !dy_members_find (&peers->members, link->node))
    return;
  if (dialed)
    dy_peers_close_link (dialed, "not_needed");
  /* It may have been missing on the VM list, and counted as dead, since. */
  record_incarnation (peers, link->node, link->incarnation_id);
  link->set_aside = false;
  g_hash_table_insert (peers->dialed, g_strdup (link->node), link);
  dy_log (DY_EVENT_PEER_UP, "node=%s", link->node);
  NOTIFY_WATCHERS (peers, up, link->node);
}

static void
on_heartbeat (DyPeerLink *link, const DyMessage *message)
{
  DyPeers *peers = link->peers;
  NOTIFY_WATCHERS (peers, heartbeat, link->number, message->u.heartbeat.config_version);
  dy_members_set_platform (&peers->members, link->node, message->u.heartbeat.has_platform);
  dy_members_record_heartbeat (&peers->members, link->node, link->incarnation_id,
                               message->u.heartbeat.leaving, dy_peers_now_us (peers));
  dy_resend_share_record_heartbeat (&peers->resend_share, link->node,
                                    message->u.heartbeat.within_share, dy_peers_now_us (peers));
  dy_resend_share_record_heartbeat (&peers->cold_parts, link->node, false, dy_peers_now_us (peers));
  if (link->set_aside)
    take_back (link);
  if (message->type == DY_MESSAGE_PING)
    dy_peers_send_heartbeat (link, DY_MESSAGE_PONG);
  else
    link->pinged_us = 0;
}

/* Returns false if the connection must be closed. */
static bool
handle_message (DyPeerLink *link, const DyMessage *message)
{
  DyPeers *peers = link->peers;
  dy_counters_add (&peers->kernel->counters, DY_COUNTER_PEER_MESSAGES_IN, 1);
  if (message->type == DY_MESSAGE_HELLO)
    return on_hello (link, message);
  if (message->type == DY_MESSAGE_AUTH)
    return on_auth (link, message);
  if (!link->authenticated)
    return reject (link, "unauthenticated");
  if (message->type == DY_MESSAGE_PING || message->type == DY_MESSAGE_PONG)
    on_heartbeat (link, message);
  else
    NOTIFY_WATCHERS (peers, message, link->number, message);
  return true;
}

/* Handles the complete frames received so far and adds their number to N_HANDLED. Returns false if
 * the connection must be closed. */
static bool
handle_frames (DyPeerLink *link, uint32_t *n_handled)
{
  size_t consumed = 0;
  bool ok = true;
  while (ok && link->in->len - consumed >= DY_FRAME_HEADER_BYTES)
    {
      uint32_t n;
      DyMessage message;
      memcpy (&n, link->in->data + consumed, sizeof n);
      n = ntohl (n);
      if (n > DY_MAX_FRAME_BYTES)
        return reject (link, "frame_size");
      if (link->in->len - consumed - DY_FRAME_HEADER_BYTES < n)
        break;
      const char *frame = (const char *) link->in->data + consumed + DY_FRAME_HEADER_BYTES;
      consumed += DY_FRAME_HEADER_BYTES + n;
      ok = dy_wire_unpack (frame, n, &message) ? reject (link, "frame")
                                               : handle_message (link, &message);
      (*n_handled)++;
    }
  g_byte_array_remove_range (link->in, 0, (guint) consumed);
  return ok;
}

static void
record_contact (DyPeerLink *link)
{
  DyPeers *peers = link->peers;
  link->received_us = dy_peers_now_us (peers);
  if (link->authenticated)
    dy_members_record_contact (&peers->members, link->node, link->received_us);
}

/* Reads and handles what the socket holds, up to a number of messages; the rest waits for the next
 * turn of the loop. Returns false if the connection must be closed. */
static bool
receive (DyPeerLink *link)
{
  enum
  {
    BLOCK_BYTES = 1024, /* holds few messages more than MAX_MESSAGES */
    MAX_MESSAGES = 16,
  };
  uint8_t block[BLOCK_BYTES];
  uint32_t n_handled = 0;
  while (n_handled < MAX_MESSAGES)
    {
      ssize_t n = recv (link->fd, block, sizeof block, MSG_DONTWAIT);
      if (n == 0)
        return fail (link, "closed");
      if (n < 0)
        return errno == EAGAIN || errno == EINTR || fail (link, "receive_error");
      record_contact (link);
      g_byte_array_append (link->in, block, (guint) n);
      if (!handle_frames (link, &n_handled))
        return false;
    }
  return true;
}

static void
on_socket (struct ev_loop *loop, ev_io *w, int events)
{
  DyPeerLink *link = w->data;
  (void) loop;
  bool ok = true;
  if (events & EV_READ)
    ok = receive (link);
  if (ok && (events & EV_WRITE))
    ok = flush (link);
  if (ok)
    watch_socket (link);
  else
    dy_peers_close_link (link, link->end_reason);
}

DyPeerLink *
dy_peers_open_link (DyPeers *peers, int fd, bool dialed)
{
  int one = 1;
  DyPeerLink *link = g_new0 (DyPeerLink, 1);
  link->peers = peers;
  link->number = ++peers->last_link_number;
  link->fd = fd;
  link->dialed = dialed;
  link->opened_us = dy_peers_now_us (peers);
  link->in = g_byte_array_new ();
  msgpack_sbuffer_init (&link->out);
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  ev_io_init (&link->io, on_socket, fd, EV_READ);
  link->io.data = link;
  g_hash_table_insert (peers->links, &link->number, link);
  send_hello (link);
  return link;
}

void
dy_peers_free_link (gpointer data)
{
  DyPeerLink *link = data;
  ev_io_stop (link->peers->kernel->loop, &link->io);
  close (link->fd);
  g_byte_array_unref (link->in);
  msgpack_sbuffer_destroy (&link->out);
  g_free (link);
}

static int64_t
age_ms (const DyPeers *peers, int64_t time_us)
{
  return time_us ? (dy_peers_now_us (peers) - time_us) / 1000 : -1;
}

/* Returns the number of bytes that the socket of LINK holds, by REQUEST those received and not read
 * or those sent and not acknowledged; -1 if it is not known. */
static int
count_socket_bytes (const DyPeerLink *link, unsigned long request)
{
  int n = 0;
  return ioctl (link->fd, request, &n) ? -1 : n;
}

/* Returns the number of bytes received and not read on the connections that the router NODE
 * dialled, on which its heartbeats may come, too. */
static int
count_unread_from (const DyPeers *peers, const char *node)
{
  int n = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, peers->links);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const DyPeerLink *link = value;
      if (!link->dialed && link->authenticated && strcmp (link->node, node) == 0)
        n += MAX (count_socket_bytes (link, FIONREAD), 0) + (int) link->in->len;
    }
  return n;
}

bool
dy_peers_has_unread (const DyPeers *peers, const char *node)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, peers->links);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const DyPeerLink *link = value;
      if (link->authenticated && strcmp (link->node, node) == 0
          && count_socket_bytes (link, FIONREAD) > 0)
        return true;
    }
  return false;
}

static void
log_down (const DyPeerLink *link, const char *reason)
{
  const DyPeers *peers = link->peers;
  const DyMember *member = dy_members_find (&peers->members, link->node);
  dy_log (DY_EVENT_PEER_DOWN,
          "node=%s reason=%s link=%" G_GUINT64_FORMAT " holds=%u heard_ms=%" G_GINT64_FORMAT
          " received_ms=%" G_GINT64_FORMAT " pinged_ms=%" G_GINT64_FORMAT
          " tick_ms=%" G_GINT64_FORMAT " ticked_ms=%" G_GINT64_FORMAT
          " unread=%d unread_dialed=%d unacked=%d unsent=%zu",
          link->node, reason, link->number, link->n_holds,
          age_ms (peers, member ? member->last_heartbeat_us : 0), age_ms (peers, link->received_us),
          age_ms (peers, link->pinged_us), peers->tick_gap_us / 1000,
          age_ms (peers, peers->tick_us), count_socket_bytes (link, FIONREAD) + (int) link->in->len,
          count_unread_from (peers, link->node), count_socket_bytes (link, SIOCOUTQ),
          link->out.size - link->out_sent);
}

static void
remove_dialed (DyPeers *peers, const DyPeerLink *link)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, peers->dialed);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (value == link)
      g_hash_table_iter_remove (&iter);
}

static void
report_down (DyPeers *peers, const char *node)
{
  dy_members_disconnected (&peers->members, node);
  NOTIFY_WATCHERS (peers, down, node);
}

void
dy_peers_close_link (DyPeerLink *link, const char *reason)
{
  DyPeers *peers = link->peers;
  char node[DY_NAME_SIZE];
  bool lost = link->dialed && link->authenticated && !link->set_aside;
  uint64_t number = link->number;
  g_strlcpy (node, link->node, sizeof node);
  if (lost)
    log_down (link, reason);
  remove_dialed (peers, link);
  g_hash_table_remove (peers->links, &link->number);
  if (lost)
    report_down (peers, node);
  NOTIFY_WATCHERS (peers, link_closed, number);
}

void
dy_peers_give_up_link (DyPeerLink *link, const char *reason)
{
  char node[DY_NAME_SIZE];
  if (link->set_aside || link->n_holds == 0)
    {
      dy_peers_close_link (link, reason);
      return;
    }
  log_down (link, reason);
  link->set_aside = true;
  remove_dialed (link->peers, link);
  g_strlcpy (node, link->node, sizeof node);
  report_down (link->peers, node);
}
