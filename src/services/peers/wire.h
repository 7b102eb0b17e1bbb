#ifndef DY_SERVICES_PEERS_WIRE_H
#define DY_SERVICES_PEERS_WIRE_H

/**
 * NAME
 *   wire - binary encoding of the messages between routers
 *
 * FORMAT
 *   A frame is the payload's length in bytes, 4 bytes big-endian, and the payload, at most
 *   DY_MAX_FRAME_BYTES. The payload is one msgpack array: the DyMessageType, then the fields of
 *   that type in the order in which dy_wire_pack() writes them. Numbers, enumeration values and
 *   booleans (0 or 1) are msgpack integers, names are strings, nonces and digests are binary. A
 *   removed object in a CONFIG is nil. Fields are never arrays or maps.
 */

#include "core/message.h"

#include <msgpack.h>
#include <stddef.h>

enum
{
  DY_MAX_FRAME_BYTES = 65536,
  DY_FRAME_HEADER_BYTES = 4,
};

/* Appends MESSAGE to OUT as one frame, with its length. */
void dy_wire_pack (const DyMessage *message, msgpack_sbuffer *out);

/* Decodes a payload of N bytes. The text of a CONFIG and the data of a RELAY
 * point into DATA; the text is not terminated.
 * Returns DY_OK, or DY_PROTOCOL if the payload does not have the format above. */
int dy_wire_unpack (const char *data, size_t n, DyMessage *message);

#endif
