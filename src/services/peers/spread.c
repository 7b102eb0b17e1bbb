#include "services/peers/spread.h"

#include "core/spread.h"

enum
{
  MAX_ROOTS = 4096, /* beyond, all are forgotten: a message may then be passed on twice */
};

void
dy_spread_init (DySpread *spread, DyKernel *kernel, DyPeers *peers, const DyClocks *clocks)
{
  spread->kernel = kernel;
  spread->peers = peers;
  spread->number = 0;
  spread->clocks = clocks;
  spread->begun = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
}

void
dy_spread_finish (DySpread *spread)
{
  g_hash_table_unref (spread->begun);
}

static void
send_to_targets (
    DySpread *spread, const char *root, uint64_t number, const char *key, const char *text)
{
  const char *targets[DY_SPREAD_FANOUT];
  uint32_t n = dy_spread_targets (&spread->peers->members, root, number,
                                  dy_kernel_now_us (spread->kernel), targets);
  for (uint32_t i = 0; i < n; i++)
    dy_peers_send_object (spread->peers, targets[i], key, text);
}

void
dy_spread_send (DySpread *spread, const char *key, json_t *root)
{
  const char *name = spread->peers->members.self_name;
  spread->number++;
  json_object_set_new (root, "spread",
                       json_pack ("{s:s, s:I, s:I, s:I}", "root", name, "incarnation",
                                  (json_int_t) spread->kernel->incarnation_id, "number",
                                  (json_int_t) spread->number, "sent_us",
                                  (json_int_t) dy_kernel_boot_us ()));
  char *text = json_dumps (root, JSON_COMPACT);
  send_to_targets (spread, name, spread->number, key, text);
  free (text);
}

/* Returns whether the message NUMBER of the router incarnation ID is later than those passed on,
 * and records it. Without this, routers whose views of the members differ could pass a message on
 * in a circle. */
static bool
record_number (DySpread *spread, uint64_t id, uint64_t number)
{
  uint64_t *latest = g_hash_table_lookup (spread->begun, &id);
  if (latest && number <= *latest)
    return false;
  if (latest)
    *latest = number;
  else
    {
      if (g_hash_table_size (spread->begun) >= MAX_ROOTS)
        g_hash_table_remove_all (spread->begun);
      g_hash_table_insert (spread->begun, g_memdup2 (&id, sizeof id),
                           g_memdup2 (&number, sizeof number));
    }
  return true;
}

void
dy_spread_pass_on (DySpread *spread, const DyMessage *message, const json_t *root)
{
  const json_t *field = json_object_get (root, "spread");
  const char *name = json_string_value (json_object_get (field, "root"));
  uint64_t id = (uint64_t) json_integer_value (json_object_get (field, "incarnation"));
  uint64_t number = (uint64_t) json_integer_value (json_object_get (field, "number"));
  if (!name || id == spread->kernel->incarnation_id || !record_number (spread, id, number))
    return;
  char *text = g_strndup (message->u.config.text, message->u.config.n_text);
  send_to_targets (spread, name, number, message->u.config.key, text);
  g_free (text);
}

int64_t
dy_spread_delay_us (const DySpread *spread, const json_t *root)
{
  const json_t *field = json_object_get (root, "spread");
  const json_t *id = json_object_get (field, "incarnation");
  const json_t *sent_us = json_object_get (field, "sent_us");
  if (!json_is_integer (id) || !json_is_integer (sent_us))
    return DY_TRANSIT_UNKNOWN;
  return dy_clocks_delay_us (spread->clocks, (uint64_t) json_integer_value (id),
                             json_integer_value (sent_us));
}
