#ifndef DY_CORE_MESSAGE_H
#define DY_CORE_MESSAGE_H

/**
 * NAME
 *   message - typed messages between routers
 *
 * DESCRIPTION
 *   Each message has a type and one member of the union u; the comment above each member lists
 *   its types. Strings in arrays end with a 0 byte. Amounts are tokens; names ending in _us are
 *   microseconds. Ids of homes, holders and members are those of router incarnations. The values
 *   of the enums are sent as they are, so they must not change within a protocol version.
 */

#include "core/ledger.h"

#include <stdbool.h>
#include <stdint.h>

enum
{
  DY_PROTOCOL_VERSION = 1,
  /* Sizes in bytes, of names and keys with the terminating 0. */
  DY_NAME_SIZE = 64,
  DY_KEY_SIZE = 128,
  DY_NONCE_SIZE = 16,
  DY_DIGEST_SIZE = 32,
};

typedef enum
{
  DY_MESSAGE_HELLO = 1, /* first message of either side of a connection */
  DY_MESSAGE_AUTH,      /* proves the shared secret */
  DY_MESSAGE_PING,      /* heartbeat */
  DY_MESSAGE_PONG,      /* reply to DY_MESSAGE_PING */
  DY_MESSAGE_RESERVE,   /* asks the home of an account for a reservation */
  DY_MESSAGE_RESERVED,  /* reply to DY_MESSAGE_RESERVE */
  DY_MESSAGE_SETTLE,    /* reports to the holder of a reservation how its request ended */
  DY_MESSAGE_SETTLED,   /* reply to DY_MESSAGE_SETTLE */
  DY_MESSAGE_QUERY,     /* asks what a dead holder charged for the receiver's requests */
  DY_MESSAGE_REPORT,  /* reply to DY_MESSAGE_QUERY, also sent unasked: what a dead holder charged */
  DY_MESSAGE_CLOSED,  /* the row of a dead holder is recovered; its reports can be dropped */
  DY_MESSAGE_RECALL,  /* asks a holder to return tokens that it does not need */
  DY_MESSAGE_HANDOFF, /* hands off a settlement that the holder has not acknowledged */
  DY_MESSAGE_HANDED_OFF, /* reply to DY_MESSAGE_HANDOFF: the sender repeats it to the holder */
  /* Replicates to a backup router what a home charged, or may charge, for its own requests. */
  DY_MESSAGE_REPLICATE,
  DY_MESSAGE_REPLICATED, /* reply to DY_MESSAGE_REPLICATE: the sender will report the charges */
  DY_MESSAGE_CONFIG_GET, /* requests the declarations above a version */
  /* One of these declarations, or an object that services/part_blocks.h describes. */
  DY_MESSAGE_CONFIG,
  DY_MESSAGE_CONFIG_END, /* all these declarations were sent */
  DY_MESSAGE_KEY_QUERY,  /* asks for the state of an idempotency key */
  DY_MESSAGE_KEY_STATE,  /* reply to DY_MESSAGE_KEY_QUERY */
  /* An endpoint failed while it ran a request, or a request had a complete answer. */
  DY_MESSAGE_CRASH,
  DY_MESSAGE_RELAY, /* part of a relayed request or answer, see services/gateway/relays.h */
} DyMessageType;

/* Parts of a relay: to the router that makes the attempt, and from it. */
typedef enum
{
  DY_RELAY_OPEN = 1,
  DY_RELAY_BODY,
  DY_RELAY_CANCEL,
  DY_RELAY_PLACED,
  DY_RELAY_HEAD,
  DY_RELAY_DATA,
  DY_RELAY_END,
} DyRelayPart;

/* State of the requests with one idempotency key. */
typedef enum
{
  DY_KEY_UNSEEN,  /* no such request is known */
  DY_KEY_RUNNING, /* one has not ended yet */
  DY_KEY_CHARGED, /* one had a complete answer or was charged */
  DY_KEY_UNKNOWN, /* one may have run */
} DyKeyState;

/* How a request ended. */
typedef enum
{
  DY_END_COMPLETE, /* with a complete answer */
  DY_END_PARTIAL,  /* the caller disconnected; the tokens produced so far are charged */
  DY_END_NOT_RUN,  /* no endpoint ran it */
  DY_END_UNKNOWN,  /* it may have run */
} DyRequestEnd;

/* Hash of an account and the idempotency key that its caller sent; both halves 0: no key. */
typedef struct
{
  uint64_t high;
  uint64_t low;
} DyKeyHash;

typedef struct
{
  DyMessageType type;
  union
  {
    /* DY_MESSAGE_HELLO */
    struct
    {
      uint32_t version; /* DY_PROTOCOL_VERSION of the sender */
      char node[DY_NAME_SIZE];
      uint64_t incarnation_id;
      uint8_t nonce[DY_NONCE_SIZE];
    } hello;
    /* DY_MESSAGE_AUTH */
    struct
    {
      uint8_t digest[DY_DIGEST_SIZE];
    } auth;
    /* DY_MESSAGE_PING, DY_MESSAGE_PONG */
    struct
    {
      bool leaving;      /* the sender is draining */
      bool has_platform; /* the sender's calls to the platform succeed */
      /* The sender counts the receiver among the routers that may run, and the resends within the
       * window are within its part of the slack. Sent only with has_platform. */
      bool within_share;
      uint64_t config_version; /* version of the declarations that the sender has */
    } heartbeat;
    /* DY_MESSAGE_RESERVE */
    struct
    {
      DyRequestId id;
      uint64_t home_id; /* incarnation that is to reserve; another one ignores the message */
      char account[DY_NAME_SIZE];
      int64_t tokens;
      uint32_t rank;   /* urgency, 0 the most urgent */
      int64_t wait_us; /* longest time to wait for the tokens */
      DyKeyHash key;
      uint64_t body_hash;
      bool idempotent;
      uint64_t oldest_open; /* the sender will settle no request of a lower number again */
    } reserve;
    /* DY_MESSAGE_SETTLE, DY_MESSAGE_HANDOFF */
    struct
    {
      DyRequestId id;
      uint64_t home_id;        /* incarnation that holds the reservation */
      char home[DY_NAME_SIZE]; /* DY_MESSAGE_HANDOFF only: name of that router */
      char account[DY_NAME_SIZE];
      int64_t used_tokens;
      DyRequestEnd end;
      uint64_t body_hash;   /* of the request body, by which failures are counted */
      uint32_t n_crashes;   /* endpoints that failed while they ran the request */
      uint64_t oldest_open; /* as in reserve; 0: the sender is not the origin router */
      DyKeyHash key;        /* DY_MESSAGE_HANDOFF only, as are the next two fields */
      int64_t key_tokens;   /* total charged for the key */
      bool idempotent;
    } settle;
    /* DY_MESSAGE_RESERVED, DY_MESSAGE_SETTLED, DY_MESSAGE_HANDED_OFF */
    struct
    {
      DyRequestId id;
      int32_t error; /* DY_OK or a negative error number */
      /* DY_MESSAGE_SETTLED: charged by the settlement; DY_MESSAGE_RESERVED: charged by earlier
       * requests with the same key; DY_MESSAGE_HANDED_OFF: 0. */
      int64_t charged_tokens;
    } result;
    /* DY_MESSAGE_QUERY, DY_MESSAGE_REPORT, DY_MESSAGE_CLOSED, DY_MESSAGE_RECALL,
     * DY_MESSAGE_REPLICATE, DY_MESSAGE_REPLICATED */
    struct
    {
      uint64_t holder_id;             /* DY_MESSAGE_RECALL: the holder that is short of tokens */
      char holder_name[DY_NAME_SIZE]; /* DY_MESSAGE_REPORT only; empty: unknown */
      char account[DY_NAME_SIZE];
      uint64_t origin_id; /* DY_MESSAGE_REPORT only: incarnation of its sender */
      /* DY_MESSAGE_REPORT: for the sender's requests; DY_MESSAGE_REPLICATE, DY_MESSAGE_REPLICATED:
       * for the requests of the home itself. */
      int64_t charged_tokens;
      /* DY_MESSAGE_REPORT only: what the holder replicated of charges for its own requests. */
      int64_t replicated_tokens;
      /* DY_MESSAGE_REPORT only: the sender was alive while the holder lived, and saw no other
       * router die recently. */
      bool was_present;
      /* DY_MESSAGE_REPORT only, with was_present: the sender has been alive since before anything
       * was reserved at the holder, and knows of all routers that died since. */
      bool is_witness;
      DyKeyHash key; /* DY_MESSAGE_REPLICATE only: of the request, as are the next two fields */
      uint64_t body_hash;
      int64_t key_tokens; /* total charged for the key */
    } holder;
    /* DY_MESSAGE_CONFIG_GET, DY_MESSAGE_CONFIG, DY_MESSAGE_CONFIG_END */
    struct
    {
      uint64_t version;
      char key[DY_KEY_SIZE];
      /* DY_MESSAGE_CONFIG only: in memory of the sender or in the received frame, without a 0 byte
       * at the end; NULL: the declaration is removed. */
      const char *text;
      uint32_t n_text; /* bytes of text */
    } config;
    /* DY_MESSAGE_KEY_QUERY, DY_MESSAGE_KEY_STATE */
    struct
    {
      DyRequestId id; /* the request that causes the query */
      DyKeyHash key;
      /* DY_MESSAGE_KEY_STATE only, as are the next fields. */
      DyKeyState state;
      uint64_t body_hash;
      bool idempotent;
      int64_t charged_tokens;   /* total charged for the key */
      uint64_t member_id;       /* incarnation of the sender */
      uint32_t n_recent_deaths; /* routers whose death the sender saw recently */
    } key;
    /* DY_MESSAGE_CRASH */
    struct
    {
      uint64_t body_hash;
      bool cleared; /* a request with this body had a complete answer; false: an endpoint failed */
    } crash;
    /* DY_MESSAGE_RELAY */
    struct
    {
      uint64_t number; /* of the relay, unique among those of the router that asked for it */
      DyRelayPart part;
      const char *data; /* in memory of the sender or in the received frame */
      uint32_t n_data;  /* bytes of data */
    } relay;
  } u;
} DyMessage;

#endif
