#include "core/quarantine.h"

#include <string.h>

static const int64_t SWEEP_INTERVAL_US = INT64_C (10) * 1000 * 1000;

typedef struct
{
  uint64_t body_hash;
  uint32_t n_crashes;
  int64_t changed_us;
} Body;

static gboolean
is_over (gpointer key, gpointer value, gpointer ctx)
{
  const Body *body = value;
  const int64_t *oldest_us = ctx;
  (void) key;
  return body->changed_us <= *oldest_us;
}

void
dy_quarantine_init (DyQuarantine *quarantine, uint32_t max_crashes, int64_t block_us)
{
  quarantine->max_crashes = max_crashes;
  quarantine->block_us = block_us;
  quarantine->bodies = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  quarantine->swept_us = 0;
}

void
dy_quarantine_finish (DyQuarantine *quarantine)
{
  g_hash_table_unref (quarantine->bodies);
  memset (quarantine, 0, sizeof *quarantine);
}

void
dy_quarantine_add (DyQuarantine *quarantine, uint64_t body_hash, uint32_t n_crashes, int64_t now_us)
{
  if (n_crashes == 0)
    return;
  Body *body = g_hash_table_lookup (quarantine->bodies, &body_hash);
  if (!body)
    {
      body = g_new0 (Body, 1);
      body->body_hash = body_hash;
      g_hash_table_insert (quarantine->bodies, &body->body_hash, body);
    }
  body->n_crashes += n_crashes;
  body->changed_us = now_us;
}

bool
dy_quarantine_clear (DyQuarantine *quarantine, uint64_t body_hash)
{
  return g_hash_table_remove (quarantine->bodies, &body_hash);
}

bool
dy_quarantine_blocks (const DyQuarantine *quarantine, uint64_t body_hash, int64_t now_us)
{
  const Body *body = g_hash_table_lookup (quarantine->bodies, &body_hash);
  return body && body->n_crashes >= quarantine->max_crashes
         && now_us - body->changed_us < quarantine->block_us;
}

void
dy_quarantine_tick (DyQuarantine *quarantine, int64_t now_us)
{
  if (now_us - quarantine->swept_us < SWEEP_INTERVAL_US)
    return;
  quarantine->swept_us = now_us;
  int64_t oldest_us = now_us - quarantine->block_us;
  g_hash_table_foreach_remove (quarantine->bodies, is_over, &oldest_us);
}
