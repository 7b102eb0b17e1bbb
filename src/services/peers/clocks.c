#include "services/peers/clocks.h"

#include <jansson.h>
#include <string.h>

#define ASK_KEY "clock/ask"
#define TELL_KEY "clock/tell"

enum
{
  QUICK_US = 250 * 1000, /* round trip of a router that is on time */
  GAP_US = 600 * 1000,   /* between round trips of which the one follows the other */
  /* Between questions to one router, by whether its last reply came soon. */
  INTERVAL_US = 30 * 1000 * 1000,
  RETRY_US = 2000 * 1000,
  TEST_INTERVAL_US = 100 * 1000,
  ROUTERS_PER_TEST = 3,
};

static const double TICK_S = 0.5;

typedef struct
{
  int64_t asked_us;
  bool quick; /* the reply to the latest question came soon */
} Asked;

static void
ask (DyClocks *clocks, const char *name)
{
  int64_t now_us = dy_kernel_boot_us ();
  Asked *asked = g_hash_table_lookup (clocks->asked, name);
  if (!asked)
    {
      asked = g_new0 (Asked, 1);
      g_hash_table_insert (clocks->asked, g_strdup (name), asked);
    }
  asked->asked_us = now_us;
  asked->quick = false;
  char *text = g_strdup_printf ("{\"asked_us\":%" G_GINT64_FORMAT "}", now_us);
  dy_peers_send_object (clocks->peers, name, ASK_KEY, text);
  g_free (text);
}

static void
reply (DyClocks *clocks, uint64_t link, const json_t *root)
{
  const json_t *asked_us = json_object_get (root, "asked_us");
  if (!json_is_integer (asked_us))
    return;
  json_t *reply = json_pack ("{s:I, s:I, s:I}", "asked_us", json_integer_value (asked_us),
                             "incarnation", (json_int_t) clocks->kernel->incarnation_id, "clock_us",
                             (json_int_t) dy_kernel_boot_us ());
  char *text = json_dumps (reply, JSON_COMPACT);
  dy_peers_reply_object (clocks->peers, link, TELL_KEY, text);
  free (text);
  json_decref (reply);
}

void
dy_clocks_record_round_trip (DyClocks *clocks, int64_t begun_us)
{
  int64_t now_us = dy_kernel_boot_us ();
  if (now_us - begun_us > QUICK_US)
    return;
  if (begun_us - clocks->on_time_until_us > GAP_US)
    clocks->on_time_since_us = begun_us;
  clocks->on_time_until_us = now_us;
}

static void
take_reply (DyClocks *clocks, const json_t *root)
{
  const json_t *asked_us = json_object_get (root, "asked_us");
  const json_t *id = json_object_get (root, "incarnation");
  const json_t *clock_us = json_object_get (root, "clock_us");
  GHashTableIter iter;
  gpointer value;
  if (!json_is_integer (asked_us) || !json_is_integer (id) || !json_is_integer (clock_us))
    return;
  int64_t begun_us = json_integer_value (asked_us);
  dy_transit_record_exchange (&clocks->transit, (uint64_t) json_integer_value (id), begun_us,
                              json_integer_value (clock_us));
  dy_clocks_record_round_trip (clocks, begun_us);
  g_hash_table_iter_init (&iter, clocks->asked);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((const Asked *) value)->asked_us == begun_us)
      ((Asked *) value)->quick = dy_kernel_boot_us () - begun_us <= QUICK_US;
}

static void
on_message (void *ctx, uint64_t link, const DyMessage *message)
{
  DyClocks *clocks = ctx;
  const char *key = message->u.config.key;
  if (message->type != DY_MESSAGE_CONFIG || !message->u.config.text
      || !g_str_has_prefix (key, "clock/"))
    return;
  json_t *root = json_loadb (message->u.config.text, message->u.config.n_text, 0, NULL);
  if (strcmp (key, ASK_KEY) == 0)
    reply (clocks, link, root);
  else if (strcmp (key, TELL_KEY) == 0)
    take_reply (clocks, root);
  json_decref (root);
}

static void
on_peer_up (void *ctx, const char *name)
{
  ask (ctx, name);
}

static const DyPeersWatcher peers_watcher = { .message = on_message, .up = on_peer_up };

static void
on_tick (struct ev_loop *loop, ev_timer *w, int events)
{
  DyClocks *clocks = w->data;
  const DyMembers *members = &clocks->peers->members;
  GHashTableIter iter;
  gpointer name;
  gpointer value;
  (void) loop;
  (void) events;
  g_hash_table_iter_init (&iter, members->by_name);
  while (g_hash_table_iter_next (&iter, &name, &value))
    {
      const Asked *asked = g_hash_table_lookup (clocks->asked, name);
      int64_t interval_us = asked && asked->quick ? INTERVAL_US : RETRY_US;
      if (dy_members_is_live (members, value, dy_kernel_now_us (clocks->kernel))
          && (!asked || dy_kernel_boot_us () - asked->asked_us >= interval_us))
        ask (clocks, name);
    }
}

void
dy_clocks_init (DyClocks *clocks, DyKernel *kernel, DyPeers *peers)
{
  memset (clocks, 0, sizeof *clocks);
  clocks->kernel = kernel;
  clocks->peers = peers;
  clocks->on_time_since_us = INT64_MIN / 2;
  clocks->on_time_until_us = INT64_MIN / 2;
  clocks->tested_us = INT64_MIN / 2;
  clocks->asked = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  dy_transit_init (&clocks->transit);
  dy_peers_watch (peers, &peers_watcher, clocks);
  ev_timer_init (&clocks->timer, on_tick, TICK_S, TICK_S);
  clocks->timer.data = clocks;
  ev_timer_start (kernel->loop, &clocks->timer);
}

void
dy_clocks_finish (DyClocks *clocks)
{
  ev_timer_stop (clocks->kernel->loop, &clocks->timer);
  g_hash_table_unref (clocks->asked);
  dy_transit_finish (&clocks->transit);
}

int64_t
dy_clocks_delay_us (const DyClocks *clocks, uint64_t id, int64_t sent_us)
{
  return dy_transit_delay_us (&clocks->transit, id, sent_us, dy_kernel_boot_us ());
}

void
dy_clocks_test (DyClocks *clocks)
{
  const DyMembers *members = &clocks->peers->members;
  const char *names[ROUTERS_PER_TEST];
  char key[32];
  if (dy_kernel_boot_us () - clocks->tested_us < TEST_INTERVAL_US)
    return;
  clocks->tested_us = dy_kernel_boot_us ();
  /* Others each time, as some of them may be late themselves. */
  g_snprintf (key, sizeof key, "clock %u", ++clocks->n_tests);
  uint32_t n = dy_members_first (members, key, dy_kernel_now_us (clocks->kernel), names,
                                 G_N_ELEMENTS (names));
  for (uint32_t i = 0; i < n; i++)
    ask (clocks, names[i]);
}
