#ifndef DY_CORE_MESSAGE_H
#define DY_CORE_MESSAGE_H

/**
 * NAME
 *   message - typed messages between routers
 *
 * DESCRIPTION
 *   Each message has a type and one member of the union u; the comment behind each member lists
 *   its types. Strings in arrays end with a 0 byte. Amounts are tokens; names ending in _us are
 *   microseconds. Ids of homes, holders and members are those of router incarnations.
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
  DY_MESSAGE_HELLO = 1,  /* first message of either side of a connection */
  DY_MESSAGE_AUTH,       /* proves the shared secret */
  DY_MESSAGE_PING,       /* heartbeat */
  DY_MESSAGE_PONG,       /* reply to PING */
  DY_MESSAGE_RESERVE,    /* asks the home of an account for a reservation */
  DY_MESSAGE_RESERVED,   /* reply to RESERVE */
  DY_MESSAGE_SETTLE,     /* reports to the holder of a reservation how its request ended */
  DY_MESSAGE_SETTLED,    /* reply to SETTLE */
  DY_MESSAGE_QUERY,      /* asks what a dead holder charged for the receiver's requests */
  DY_MESSAGE_REPORT,     /* reply to QUERY, or sent unasked: what a dead holder charged */
  DY_MESSAGE_CLOSED,     /* the row of a dead holder is recovered; its reports can be dropped */
  DY_MESSAGE_CALL_IN,    /* asks a holder to return tokens that it does not need */
  DY_MESSAGE_CARRY,      /* hands off a settlement whose holder does not acknowledge it */
  DY_MESSAGE_CARRIED,    /* reply to CARRY: the handoff router repeats it to the holder */
  DY_MESSAGE_NOTE,       /* replicates what a home's own requests charged or may charge */
  DY_MESSAGE_NOTED,      /* reply to NOTE: the backup router will report this if the home dies */
  DY_MESSAGE_CONFIG_GET, /* requests the declarations above a version */
  DY_MESSAGE_CONFIG,     /* one of these declarations */
  DY_MESSAGE_CONFIG_END, /* all these declarations were sent */
  DY_MESSAGE_KEY_QUERY,  /* asks for the state of an idempotency key */
  DY_MESSAGE_KEY_STATE,  /* reply to KEY_QUERY */
  DY_MESSAGE_CRASH,      /* an endpoint failed under a request, or one had a complete answer */
} DyMessageType;

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
  DY_END_WHOLE,   /* with a complete answer */
  DY_END_PARTIAL, /* the caller disconnected; the tokens produced so far are charged */
  DY_END_NOT_RUN, /* no endpoint ran it */
  DY_END_UNKNOWN, /* it may have run */
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
    struct
    {
      uint32_t version;
      char node[DY_NAME_SIZE];
      uint64_t incarnation_id;
      uint8_t nonce[DY_NONCE_SIZE];
    } hello;
    struct
    {
      uint8_t digest[DY_DIGEST_SIZE];
    } auth;
    struct
    {
      bool leaving;            /* the sender is draining */
      bool has_platform;       /* the sender's calls to the platform succeed */
      uint64_t config_version; /* version of the declarations that the sender has */
    } beat;                    /* heartbeat: PING and PONG */
    struct
    {
      DyRequestId id;
      uint64_t home_id; /* incarnation that is asked; another one ignores the message */
      char account[DY_NAME_SIZE];
      int64_t tokens;
      uint32_t rank;   /* urgency, 0 the most urgent */
      int64_t wait_us; /* longest time to wait for tokens */
      DyKeyHash key;
      uint64_t body_hash;
      bool idempotent;
      uint64_t oldest_open; /* the sender will settle no request of a lower number again */
    } reserve;
    struct
    {
      DyRequestId id;
      uint64_t home_id;        /* incarnation that holds the reservation */
      char home[DY_NAME_SIZE]; /* CARRY only: name of that router */
      char account[DY_NAME_SIZE];
      int64_t used_tokens;
      DyRequestEnd end;
      uint64_t body_hash;   /* identifies the request body in the crash count */
      uint32_t n_crashes;   /* endpoints that failed under the request */
      uint64_t oldest_open; /* as in reserve; 0: the sender is not the origin router */
      DyKeyHash key;        /* CARRY only, as are the next two fields */
      int64_t key_tokens;   /* total charged for the key */
      bool idempotent;
    } settle; /* SETTLE and CARRY */
    struct
    {
      DyRequestId id;
      int32_t error;          /* DY_OK or a negative error number */
      int64_t charged_tokens; /* SETTLED: charged; RESERVED: charged before for the same key */
    } result;                 /* RESERVED, SETTLED and CARRIED */
    struct
    {
      uint64_t holder_id;
      char holder_name[DY_NAME_SIZE]; /* REPORT only; empty: unknown */
      char account[DY_NAME_SIZE];
      uint64_t entry_id;      /* REPORT only: incarnation of its sender */
      int64_t charged_tokens; /* REPORT: for its sender's requests; NOTE, NOTED: for the home's */
      int64_t noted_tokens;   /* REPORT only: what the holder replicated of its own charges */
      bool knew; /* REPORT only: the sender was alive while the holder lived, and no other router
                    left recently */
      DyKeyHash key; /* NOTE only, of the request that is replicated, as are the next two fields */
      uint64_t body_hash;
      int64_t key_tokens; /* total charged for the key */
    } holder;             /* QUERY, REPORT, CLOSED, CALL_IN, NOTE and NOTED */
    struct
    {
      uint64_t version;
      char key[DY_KEY_SIZE];
      const char *text; /* CONFIG only: in memory of the sender or in the received frame, no 0 at
                           the end; NULL: the declaration is removed */
      uint32_t n_text;  /* bytes of text */
    } config;           /* CONFIG_GET, CONFIG and CONFIG_END */
    struct
    {
      DyRequestId id; /* the request that causes the query */
      DyKeyHash key;
      DyKeyState state;
      uint64_t body_hash;
      bool idempotent;
      int64_t charged_tokens;
      uint64_t member_id;  /* KEY_STATE only: incarnation of its sender */
      uint32_t n_departed; /* KEY_STATE only: routers that its sender saw leave recently */
    } key;                 /* KEY_QUERY and KEY_STATE */
    struct
    {
      uint64_t body_hash;
      bool cleared; /* a request with this body had a complete answer */
    } crash;
  } u;
} DyMessage;

#endif
