#include "core/register.h"

#include "kernel/error.h"

#include <string.h>
#include <xxhash.h>

enum
{
  MAX_REPEATS = 3, /* runs after the first charge */
};

static const int64_t RETENTION_US = INT64_C (600) * 1000 * 1000;
static const int64_t SWEEP_INTERVAL_US = INT64_C (10) * 1000 * 1000;

typedef struct
{
  DyKeyHash key;
  DyRequestId id; /* of the latest run */
  uint64_t body_hash;
  bool idempotent;
  DyKeyState state;
  int64_t charged_tokens;
  uint32_t n_repeats;
  int64_t changed_us;
} Record;

static guint
hash_key (gconstpointer key)
{
  return (guint) ((const DyKeyHash *) key)->low;
}

static gboolean
equal_key (gconstpointer a, gconstpointer b)
{
  return memcmp (a, b, sizeof (DyKeyHash)) == 0;
}

static bool
has_key (const DyKeyHash *key)
{
  return key->high != 0 || key->low != 0;
}

static Record *
add_record (DyRegister *reg, const DyRegisterRequest *request)
{
  Record *record = g_new0 (Record, 1);
  record->key = request->key;
  record->body_hash = request->body_hash;
  record->idempotent = request->idempotent;
  g_hash_table_insert (reg->by_key, &record->key, record);
  return record;
}

/* Returns DY_OK when an ended request may run again. */
static int
check_repeat (const Record *record)
{
  if (record->state == DY_KEY_UNKNOWN)
    return DY_OUTCOME_UNKNOWN;
  if (!record->idempotent || record->n_repeats >= MAX_REPEATS)
    return DY_ALREADY_ANSWERED;
  return DY_OK;
}

static int
check_record (const Record *record, const DyRegisterRequest *request)
{
  if (record->body_hash != request->body_hash)
    return DY_KEY_REUSED;
  if (record->state != DY_KEY_RUNNING)
    return check_repeat (record);
  return dy_request_id_equal (&record->id, &request->id) ? DY_OK : DY_REQUEST_RUNNING;
}

static void
end_record (DyRegister *reg, Record *record, DyRequestEnd end, int64_t now_us)
{
  g_hash_table_remove (reg->by_id, &record->id);
  record->changed_us = now_us;
  if (end == DY_END_UNKNOWN && !record->idempotent)
    record->state = DY_KEY_UNKNOWN;
  else if (end == DY_END_COMPLETE || record->charged_tokens > 0)
    record->state = DY_KEY_CHARGED;
  else
    g_hash_table_remove (reg->by_key, &record->key);
}

static gboolean
is_expired (gpointer key, gpointer value, gpointer ctx)
{
  const Record *record = value;
  const int64_t *now_us = ctx;
  (void) key;
  return record->state != DY_KEY_RUNNING && *now_us - record->changed_us > RETENTION_US;
}

void
dy_register_init (DyRegister *reg)
{
  reg->by_key = g_hash_table_new_full (hash_key, equal_key, NULL, g_free);
  reg->by_id = g_hash_table_new (dy_request_id_hash, dy_request_id_equal);
  reg->swept_us = 0;
}

void
dy_register_finish (DyRegister *reg)
{
  g_hash_table_unref (reg->by_id);
  g_hash_table_unref (reg->by_key);
  memset (reg, 0, sizeof *reg);
}

DyKeyHash
dy_register_hash (const char *account, const char *key)
{
  DyKeyHash hash = { 0, 0 };
  if (!key)
    return hash;
  char *text = g_strconcat (account, "\n", key, NULL);
  XXH128_hash_t digest = XXH3_128bits (text, strlen (text));
  hash.high = digest.high64;
  hash.low = digest.low64;
  g_free (text);
  return hash;
}

int
dy_register_begin (DyRegister *reg, const DyRegisterRequest *request, int64_t now_us)
{
  if (!has_key (&request->key))
    return DY_OK;
  Record *record = g_hash_table_lookup (reg->by_key, &request->key);
  int error = record ? check_record (record, request) : DY_OK;
  if (error)
    return error;
  if (!record)
    record = add_record (reg, request);
  else if (record->state == DY_KEY_CHARGED)
    record->n_repeats++;
  record->id = request->id;
  record->state = DY_KEY_RUNNING;
  record->changed_us = now_us;
  g_hash_table_insert (reg->by_id, &record->id, record);
  return DY_OK;
}

int64_t
dy_register_charge (DyRegister *reg, const DyRequestId *id, int64_t used_tokens)
{
  Record *record = g_hash_table_lookup (reg->by_id, id);
  if (!record)
    return used_tokens;
  int64_t more = MAX (used_tokens - record->charged_tokens, 0);
  record->charged_tokens += more;
  return more;
}

int64_t
dy_register_charged (const DyRegister *reg, const DyRequestId *id)
{
  const Record *record = g_hash_table_lookup (reg->by_id, id);
  return record ? record->charged_tokens : 0;
}

void
dy_register_add (DyRegister *reg, const DyRequestId *id, int64_t tokens)
{
  Record *record = g_hash_table_lookup (reg->by_id, id);
  if (record)
    record->charged_tokens += tokens;
}

void
dy_register_look_up (const DyRegister *reg, const DyKeyHash *key, DyMessage *out)
{
  const Record *record = g_hash_table_lookup (reg->by_key, key);
  if (!record)
    return;
  out->u.key.state = record->state;
  out->u.key.body_hash = record->body_hash;
  out->u.key.idempotent = record->idempotent;
  out->u.key.charged_tokens = record->charged_tokens;
}

void
dy_register_import (DyRegister *reg, const DyMessage *state, int64_t now_us)
{
  DyRegisterRequest request = { .key = state->u.key.key,
                                .body_hash = state->u.key.body_hash,
                                .idempotent = state->u.key.idempotent };
  Record *record = g_hash_table_lookup (reg->by_key, &request.key);
  if (!record)
    {
      record = add_record (reg, &request);
      record->state = state->u.key.state;
    }
  record->charged_tokens = MAX (record->charged_tokens, state->u.key.charged_tokens);
  record->changed_us = now_us;
}

void
dy_register_end (DyRegister *reg, const DyRequestId *id, DyRequestEnd end, int64_t now_us)
{
  Record *record = g_hash_table_lookup (reg->by_id, id);
  if (record)
    end_record (reg, record, end, now_us);
}

void
dy_register_end_origin (DyRegister *reg, uint64_t origin_id, int64_t now_us)
{
  GList *records = g_hash_table_get_values (reg->by_id);
  for (GList *l = records; l; l = l->next)
    {
      Record *record = l->data;
      if (record->id.origin_id == origin_id)
        end_record (reg, record, DY_END_UNKNOWN, now_us);
    }
  g_list_free (records);
}

void
dy_register_tick (DyRegister *reg, int64_t now_us)
{
  if (now_us - reg->swept_us < SWEEP_INTERVAL_US)
    return;
  reg->swept_us = now_us;
  g_hash_table_foreach_remove (reg->by_key, is_expired, &now_us);
}
