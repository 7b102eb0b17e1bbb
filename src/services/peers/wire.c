#include "services/peers/wire.h"

#include "kernel/error.h"

#include <arpa/inet.h>
#include <string.h>

enum
{
  MAX_FIELDS = 15, /* including the type; the most that a msgpack fixarray holds */
};

/* Of a heartbeat, in the field that earlier builds read as has_platform. */
enum
{
  HAS_PLATFORM = 1 << 0,
  WITHIN_SHARE = 1 << 1,
};

/* Of a report, in the field that earlier builds read as was_present. */
enum
{
  WAS_PRESENT = 1 << 0,
  IS_WITNESS = 1 << 1,
};

static void
pack_text (msgpack_packer *pk, const char *text)
{
  size_t n = strlen (text);
  msgpack_pack_str (pk, n);
  msgpack_pack_str_body (pk, text, n);
}

static void
pack_bytes (msgpack_packer *pk, const uint8_t *data, size_t n)
{
  msgpack_pack_bin (pk, n);
  if (n > 0)
    msgpack_pack_bin_body (pk, data, n);
}

static void
pack_header (msgpack_packer *pk, DyMessageType type, size_t n_fields)
{
  msgpack_pack_array (pk, n_fields + 1);
  msgpack_pack_uint32 (pk, type);
}

static void
pack_id (msgpack_packer *pk, const DyRequestId *id)
{
  msgpack_pack_uint64 (pk, id->origin_id);
  msgpack_pack_uint64 (pk, id->number);
}

static void
pack_config (msgpack_packer *pk, const DyMessage *message)
{
  pack_header (pk, message->type, 3);
  msgpack_pack_uint64 (pk, message->u.config.version);
  pack_text (pk, message->u.config.key);
  if (!message->u.config.text)
    {
      msgpack_pack_nil (pk);
      return;
    }
  msgpack_pack_str (pk, message->u.config.n_text);
  msgpack_pack_str_body (pk, message->u.config.text, message->u.config.n_text);
}

/* Earlier builds read any value but 0 as has_platform. */
static uint32_t
platform_flags (const DyMessage *message)
{
  if (!message->u.heartbeat.has_platform)
    return 0;
  return HAS_PLATFORM | (message->u.heartbeat.within_share ? WITHIN_SHARE : 0);
}

static uint32_t
presence_flags (const DyMessage *message)
{
  if (!message->u.holder.was_present)
    return 0;
  return WAS_PRESENT | (message->u.holder.is_witness ? IS_WITNESS : 0);
}

static void
pack_content (const DyMessage *message, msgpack_packer *pk)
{
  switch (message->type)
    {
    case DY_MESSAGE_HELLO:
      pack_header (pk, message->type, 4);
      msgpack_pack_uint32 (pk, message->u.hello.version);
      pack_text (pk, message->u.hello.node);
      msgpack_pack_uint64 (pk, message->u.hello.incarnation_id);
      pack_bytes (pk, message->u.hello.nonce, DY_NONCE_SIZE);
      break;
    case DY_MESSAGE_AUTH:
      pack_header (pk, message->type, 1);
      pack_bytes (pk, message->u.auth.digest, DY_DIGEST_SIZE);
      break;
    case DY_MESSAGE_PING:
    case DY_MESSAGE_PONG:
      pack_header (pk, message->type, 3);
      msgpack_pack_uint32 (pk, message->u.heartbeat.leaving);
      msgpack_pack_uint32 (pk, platform_flags (message));
      msgpack_pack_uint64 (pk, message->u.heartbeat.config_version);
      break;
    case DY_MESSAGE_RESERVE:
      pack_header (pk, message->type, 12);
      pack_id (pk, &message->u.reserve.id);
      msgpack_pack_uint64 (pk, message->u.reserve.home_id);
      pack_text (pk, message->u.reserve.account);
      msgpack_pack_int64 (pk, message->u.reserve.tokens);
      msgpack_pack_uint32 (pk, message->u.reserve.rank);
      msgpack_pack_int64 (pk, message->u.reserve.wait_us);
      msgpack_pack_uint64 (pk, message->u.reserve.key.high);
      msgpack_pack_uint64 (pk, message->u.reserve.key.low);
      msgpack_pack_uint64 (pk, message->u.reserve.body_hash);
      msgpack_pack_uint32 (pk, message->u.reserve.idempotent);
      msgpack_pack_uint64 (pk, message->u.reserve.oldest_open);
      break;
    case DY_MESSAGE_SETTLE:
    case DY_MESSAGE_HANDOFF:
      pack_header (pk, message->type, 14);
      pack_id (pk, &message->u.settle.id);
      msgpack_pack_uint64 (pk, message->u.settle.home_id);
      pack_text (pk, message->u.settle.home);
      pack_text (pk, message->u.settle.account);
      msgpack_pack_int64 (pk, message->u.settle.used_tokens);
      msgpack_pack_uint32 (pk, message->u.settle.end);
      msgpack_pack_uint64 (pk, message->u.settle.body_hash);
      msgpack_pack_uint32 (pk, message->u.settle.n_crashes);
      msgpack_pack_uint64 (pk, message->u.settle.oldest_open);
      msgpack_pack_uint64 (pk, message->u.settle.key.high);
      msgpack_pack_uint64 (pk, message->u.settle.key.low);
      msgpack_pack_int64 (pk, message->u.settle.key_tokens);
      msgpack_pack_uint32 (pk, message->u.settle.idempotent);
      break;
    case DY_MESSAGE_KEY_QUERY:
    case DY_MESSAGE_KEY_STATE:
      pack_header (pk, message->type, 10);
      pack_id (pk, &message->u.key.id);
      msgpack_pack_uint64 (pk, message->u.key.key.high);
      msgpack_pack_uint64 (pk, message->u.key.key.low);
      msgpack_pack_uint32 (pk, message->u.key.state);
      msgpack_pack_uint64 (pk, message->u.key.body_hash);
      msgpack_pack_uint32 (pk, message->u.key.idempotent);
      msgpack_pack_int64 (pk, message->u.key.charged_tokens);
      msgpack_pack_uint64 (pk, message->u.key.member_id);
      msgpack_pack_uint32 (pk, message->u.key.n_recent_deaths);
      break;
    case DY_MESSAGE_CONFIG_GET:
    case DY_MESSAGE_CONFIG:
    case DY_MESSAGE_CONFIG_END:
      pack_config (pk, message);
      break;
    case DY_MESSAGE_RELAY:
      pack_header (pk, message->type, 3);
      msgpack_pack_uint64 (pk, message->u.relay.number);
      msgpack_pack_uint32 (pk, message->u.relay.part);
      pack_bytes (pk, (const uint8_t *) message->u.relay.data, message->u.relay.n_data);
      break;
    case DY_MESSAGE_CRASH:
      pack_header (pk, message->type, 2);
      msgpack_pack_uint64 (pk, message->u.crash.body_hash);
      msgpack_pack_uint32 (pk, message->u.crash.cleared);
      break;
    case DY_MESSAGE_RESERVED:
    case DY_MESSAGE_SETTLED:
    case DY_MESSAGE_HANDED_OFF:
      pack_header (pk, message->type, 4);
      pack_id (pk, &message->u.result.id);
      msgpack_pack_int32 (pk, message->u.result.error);
      msgpack_pack_int64 (pk, message->u.result.charged_tokens);
      break;
    case DY_MESSAGE_QUERY:
    case DY_MESSAGE_REPORT:
    case DY_MESSAGE_CLOSED:
    case DY_MESSAGE_RECALL:
    case DY_MESSAGE_REPLICATE:
    case DY_MESSAGE_REPLICATED:
      pack_header (pk, message->type, 11);
      msgpack_pack_uint64 (pk, message->u.holder.key.high);
      msgpack_pack_uint64 (pk, message->u.holder.key.low);
      msgpack_pack_uint64 (pk, message->u.holder.body_hash);
      msgpack_pack_int64 (pk, message->u.holder.key_tokens);
      msgpack_pack_uint64 (pk, message->u.holder.holder_id);
      pack_text (pk, message->u.holder.holder_name);
      pack_text (pk, message->u.holder.account);
      msgpack_pack_uint64 (pk, message->u.holder.origin_id);
      msgpack_pack_int64 (pk, message->u.holder.charged_tokens);
      msgpack_pack_int64 (pk, message->u.holder.replicated_tokens);
      msgpack_pack_uint32 (pk, presence_flags (message));
      break;
    }
}

/* Reads fields in order. After a missing field or one of the wrong type all further reads fail. */
typedef struct
{
  const msgpack_object *fields;
  uint32_t n_remaining;
  bool failed;
} Reader;

static const msgpack_object *
next_field (Reader *reader, msgpack_object_type type)
{
  if (reader->failed || reader->n_remaining == 0 || reader->fields->type != type)
    {
      reader->failed = true;
      return NULL;
    }
  reader->n_remaining--;
  return reader->fields++;
}

static uint64_t
read_unsigned (Reader *reader)
{
  const msgpack_object *field = next_field (reader, MSGPACK_OBJECT_POSITIVE_INTEGER);
  return field ? field->via.u64 : 0;
}

static int64_t
read_signed (Reader *reader)
{
  bool negative
      = reader->n_remaining > 0 && reader->fields->type == MSGPACK_OBJECT_NEGATIVE_INTEGER;
  const msgpack_object *field = next_field (reader, negative ? MSGPACK_OBJECT_NEGATIVE_INTEGER
                                                             : MSGPACK_OBJECT_POSITIVE_INTEGER);
  return field ? field->via.i64 : 0;
}

static void
read_bounded_text (Reader *reader, char *out, size_t size)
{
  const msgpack_object *field = next_field (reader, MSGPACK_OBJECT_STR);
  out[0] = '\0';
  if (!field)
    return;
  if (field->via.str.size >= size)
    {
      reader->failed = true;
      return;
    }
  if (field->via.str.size > 0)
    memcpy (out, field->via.str.ptr, field->via.str.size);
  out[field->via.str.size] = '\0';
}

static void
read_text (Reader *reader, char out[DY_NAME_SIZE])
{
  read_bounded_text (reader, out, DY_NAME_SIZE);
}

static void
read_config (Reader *reader, DyMessage *message)
{
  message->u.config.version = read_unsigned (reader);
  read_bounded_text (reader, message->u.config.key, DY_KEY_SIZE);
  bool removed = reader->n_remaining > 0 && reader->fields->type == MSGPACK_OBJECT_NIL;
  const msgpack_object *field
      = next_field (reader, removed ? MSGPACK_OBJECT_NIL : MSGPACK_OBJECT_STR);
  if (!field || removed)
    return;
  message->u.config.text = field->via.str.ptr;
  message->u.config.n_text = field->via.str.size;
}

static void
read_bytes (Reader *reader, uint8_t *out, size_t n)
{
  const msgpack_object *field = next_field (reader, MSGPACK_OBJECT_BIN);
  if (!field)
    return;
  if (field->via.bin.size == n)
    memcpy (out, field->via.bin.ptr, n);
  else
    reader->failed = true;
}

static void
read_id (Reader *reader, DyRequestId *id)
{
  id->origin_id = read_unsigned (reader);
  id->number = read_unsigned (reader);
}

static DyRequestEnd
read_end (Reader *reader)
{
  uint64_t value = read_unsigned (reader);
  if (value > DY_END_UNKNOWN)
    reader->failed = true;
  return reader->failed ? DY_END_UNKNOWN : (DyRequestEnd) value;
}

static DyKeyState
read_key_state (Reader *reader)
{
  uint64_t value = read_unsigned (reader);
  if (value > DY_KEY_UNKNOWN)
    reader->failed = true;
  return reader->failed ? DY_KEY_UNKNOWN : (DyKeyState) value;
}

static void
read_presence (Reader *reader, DyMessage *message)
{
  uint64_t flags = read_unsigned (reader);
  message->u.holder.was_present = flags != 0;
  message->u.holder.is_witness = (flags & IS_WITNESS) != 0;
}

static void
read_relay (Reader *reader, DyMessage *message)
{
  message->u.relay.number = read_unsigned (reader);
  uint64_t part = read_unsigned (reader);
  const msgpack_object *field = next_field (reader, MSGPACK_OBJECT_BIN);
  if (part < DY_RELAY_OPEN || part > DY_RELAY_END)
    reader->failed = true;
  if (!field || reader->failed)
    return;
  message->u.relay.part = (DyRelayPart) part;
  message->u.relay.data = field->via.bin.ptr;
  message->u.relay.n_data = field->via.bin.size;
}

static void
read_platform_flags (Reader *reader, DyMessage *message)
{
  uint64_t flags = read_unsigned (reader);
  message->u.heartbeat.has_platform = flags != 0;
  message->u.heartbeat.within_share = (flags & WITHIN_SHARE) != 0;
}

static void
read_content (Reader *reader, DyMessage *message)
{
  switch (message->type)
    {
    case DY_MESSAGE_HELLO:
      message->u.hello.version = (uint32_t) read_unsigned (reader);
      read_text (reader, message->u.hello.node);
      message->u.hello.incarnation_id = read_unsigned (reader);
      read_bytes (reader, message->u.hello.nonce, DY_NONCE_SIZE);
      break;
    case DY_MESSAGE_AUTH:
      read_bytes (reader, message->u.auth.digest, DY_DIGEST_SIZE);
      break;
    case DY_MESSAGE_PING:
    case DY_MESSAGE_PONG:
      message->u.heartbeat.leaving = read_unsigned (reader) != 0;
      read_platform_flags (reader, message);
      message->u.heartbeat.config_version = read_unsigned (reader);
      break;
    case DY_MESSAGE_RESERVE:
      read_id (reader, &message->u.reserve.id);
      message->u.reserve.home_id = read_unsigned (reader);
      read_text (reader, message->u.reserve.account);
      message->u.reserve.tokens = read_signed (reader);
      message->u.reserve.rank = (uint32_t) read_unsigned (reader);
      message->u.reserve.wait_us = read_signed (reader);
      message->u.reserve.key.high = read_unsigned (reader);
      message->u.reserve.key.low = read_unsigned (reader);
      message->u.reserve.body_hash = read_unsigned (reader);
      message->u.reserve.idempotent = read_unsigned (reader) != 0;
      message->u.reserve.oldest_open = read_unsigned (reader);
      break;
    case DY_MESSAGE_SETTLE:
    case DY_MESSAGE_HANDOFF:
      read_id (reader, &message->u.settle.id);
      message->u.settle.home_id = read_unsigned (reader);
      read_text (reader, message->u.settle.home);
      read_text (reader, message->u.settle.account);
      message->u.settle.used_tokens = read_signed (reader);
      message->u.settle.end = read_end (reader);
      message->u.settle.body_hash = read_unsigned (reader);
      message->u.settle.n_crashes = (uint32_t) read_unsigned (reader);
      message->u.settle.oldest_open = read_unsigned (reader);
      message->u.settle.key.high = read_unsigned (reader);
      message->u.settle.key.low = read_unsigned (reader);
      message->u.settle.key_tokens = read_signed (reader);
      message->u.settle.idempotent = read_unsigned (reader) != 0;
      break;
    case DY_MESSAGE_KEY_QUERY:
    case DY_MESSAGE_KEY_STATE:
      read_id (reader, &message->u.key.id);
      message->u.key.key.high = read_unsigned (reader);
      message->u.key.key.low = read_unsigned (reader);
      message->u.key.state = read_key_state (reader);
      message->u.key.body_hash = read_unsigned (reader);
      message->u.key.idempotent = read_unsigned (reader) != 0;
      message->u.key.charged_tokens = read_signed (reader);
      message->u.key.member_id = read_unsigned (reader);
      message->u.key.n_recent_deaths = (uint32_t) read_unsigned (reader);
      break;
    case DY_MESSAGE_CONFIG_GET:
    case DY_MESSAGE_CONFIG:
    case DY_MESSAGE_CONFIG_END:
      read_config (reader, message);
      break;
    case DY_MESSAGE_RELAY:
      read_relay (reader, message);
      break;
    case DY_MESSAGE_CRASH:
      message->u.crash.body_hash = read_unsigned (reader);
      message->u.crash.cleared = read_unsigned (reader) != 0;
      break;
    case DY_MESSAGE_RESERVED:
    case DY_MESSAGE_SETTLED:
    case DY_MESSAGE_HANDED_OFF:
      read_id (reader, &message->u.result.id);
      message->u.result.error = (int32_t) read_signed (reader);
      message->u.result.charged_tokens = read_signed (reader);
      break;
    case DY_MESSAGE_QUERY:
    case DY_MESSAGE_REPORT:
    case DY_MESSAGE_CLOSED:
    case DY_MESSAGE_RECALL:
    case DY_MESSAGE_REPLICATE:
    case DY_MESSAGE_REPLICATED:
      message->u.holder.key.high = read_unsigned (reader);
      message->u.holder.key.low = read_unsigned (reader);
      message->u.holder.body_hash = read_unsigned (reader);
      message->u.holder.key_tokens = read_signed (reader);
      message->u.holder.holder_id = read_unsigned (reader);
      read_text (reader, message->u.holder.holder_name);
      read_text (reader, message->u.holder.account);
      message->u.holder.origin_id = read_unsigned (reader);
      message->u.holder.charged_tokens = read_signed (reader);
      message->u.holder.replicated_tokens = read_signed (reader);
      read_presence (reader, message);
      break;
    default:
      reader->failed = true;
      break;
    }
}

/* Returns whether MARKER begins a value other than an array or map. Arrays and maps in a payload
 * are rejected unread, as msgpack would allocate memory for whatever size they state. */
static bool
is_scalar (uint8_t marker)
{
  bool small_container = marker >= 0x80 && marker <= 0x9f;
  bool large_container = marker >= 0xdc && marker <= 0xdf;
  return !small_container && !large_container;
}

/* Reads the N fields after the one-byte marker of the array. */
static int
read_fields (
    const char *data, size_t n_data, msgpack_zone *zone, msgpack_object *fields, uint32_t n)
{
  size_t offset = 1;
  for (uint32_t i = 0; i < n; i++)
    {
      if (offset >= n_data || !is_scalar ((uint8_t) data[offset]))
        return DY_PROTOCOL;
      msgpack_unpack_return result = msgpack_unpack (data, n_data, &offset, zone, &fields[i]);
      if (result != MSGPACK_UNPACK_SUCCESS && result != MSGPACK_UNPACK_EXTRA_BYTES)
        return DY_PROTOCOL;
    }
  return offset == n_data ? DY_OK : DY_PROTOCOL;
}

void
dy_wire_pack (const DyMessage *message, msgpack_sbuffer *out)
{
  size_t start = out->size;
  uint32_t length = 0;
  msgpack_packer pk;
  msgpack_sbuffer_write (out, (const char *) &length, DY_FRAME_HEADER_BYTES);
  msgpack_packer_init (&pk, out, msgpack_sbuffer_write);
  pack_content (message, &pk);
  length = htonl ((uint32_t) (out->size - start - DY_FRAME_HEADER_BYTES));
  memcpy (out->data + start, &length, sizeof length);
}

int
dy_wire_unpack (const char *data, size_t n, DyMessage *message)
{
  enum
  {
    FIXARRAY = 0x90,
    FIXARRAY_SIZE_MASK = 0x0f,
    ZONE_CHUNK_BYTES = 1024,
  };
  msgpack_object fields[MAX_FIELDS];
  msgpack_zone zone;
  memset (message, 0, sizeof *message);
  uint32_t n_fields = n > 0 ? (uint8_t) data[0] & FIXARRAY_SIZE_MASK : 0;
  if (n == 0 || ((uint8_t) data[0] & ~FIXARRAY_SIZE_MASK) != FIXARRAY || n_fields > MAX_FIELDS)
    return DY_PROTOCOL;
  msgpack_zone_init (&zone, ZONE_CHUNK_BYTES);
  int error = read_fields (data, n, &zone, fields, n_fields);
  if (!error)
    {
      Reader reader = { fields, n_fields, false };
      message->type = (DyMessageType) read_unsigned (&reader);
      read_content (&reader, message);
      error = reader.failed || reader.n_remaining > 0 ? DY_PROTOCOL : DY_OK;
    }
  msgpack_zone_destroy (&zone);
  return error;
}
