#ifndef DY_CORE_MESSAGE_H
#define DY_CORE_MESSAGE_H

/**
 * NAME
 *   message - typed messages between routers
 */

#include "core/ledger.h"

#include <stdbool.h>
#include <stdint.h>

enum
{
  DY_PROTOCOL_VERSION = 1,
  DY_NAME_SIZE = 64,
  DY_KEY_SIZE = 128,
  DY_NONCE_SIZE = 16,
  DY_DIGEST_SIZE = 32,
};

typedef enum
{
  DY_MESSAGE_HELLO = 1,
  DY_MESSAGE_AUTH,
  DY_MESSAGE_PING,
  DY_MESSAGE_PONG,
  DY_MESSAGE_RESERVE,
  DY_MESSAGE_RESERVED,
  DY_MESSAGE_SETTLE,
  DY_MESSAGE_SETTLED,
  DY_MESSAGE_QUERY,  /* asks what was charged by a holder that is gone */
  DY_MESSAGE_REPORT, /* tells it */
  DY_MESSAGE_CLOSED, /* the holder's row is dealt with */
  DY_MESSAGE_RECALL,
  DY_MESSAGE_HANDOFF,    /* asks another router to know of a settlement, too */
  DY_MESSAGE_HANDED_OFF, /* it does */
  DY_MESSAGE_REPLICATE,  /* a home tells what it charged for its own requests */
  DY_MESSAGE_REPLICATED, /* the other router will report it */
  DY_MESSAGE_CONFIG_GET, /* asks for declarations above a version */
  DY_MESSAGE_CONFIG,     /* one of them */
  DY_MESSAGE_CONFIG_END, /* all were sent */
  DY_MESSAGE_KEY_QUERY,  /* asks what is known of an idempotency key */
  DY_MESSAGE_KEY_STATE,  /* tells it */
  DY_MESSAGE_CRASH,      /* an endpoint failed under a request, or one got a whole answer */
} DyMessageType;

/* What became of the request of an idempotency key. */
typedef enum
{
  DY_KEY_UNSEEN,
  DY_KEY_RUNNING,
  DY_KEY_CHARGED,
  DY_KEY_UNKNOWN, /* it may have run */
} DyKeyState;

/* How a request ended. */
typedef enum
{
  DY_END_COMPLETE, /* answered in full */
  DY_END_PARTIAL,  /* the caller left; what was produced is charged */
  DY_END_NOT_RUN,
  DY_END_UNKNOWN,
} DyRequestEnd;

/* The caller's idempotency key of an account, hashed; all zero: none. */
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
      bool leaving;
      bool has_platform; /* the sender's calls to the platform succeed */
      uint64_t config_version;
    } beat; /* of PING and PONG */
    struct
    {
      DyRequestId id;
      uint64_t home_id; /* incarnation that is asked */
      char account[DY_NAME_SIZE];
      int64_t tokens;
      uint32_t rank; /* of urgency, 0 the most */
      int64_t wait_us;
      DyKeyHash key;
      uint64_t body_hash;
      bool idempotent;
      uint64_t oldest_open; /* the sender settles no request below this number again */
    } reserve;
    struct
    {
      DyRequestId id;
      uint64_t home_id;        /* incarnation that holds the reservation */
      char home[DY_NAME_SIZE]; /* of CARRY: the name of that router */
      char account[DY_NAME_SIZE];
      int64_t used_tokens;
      DyRequestEnd end;
      uint64_t body_hash; /* with crashes */
      uint32_t n_crashes; /* endpoints that failed under the request */
      uint64_t oldest_open;
      DyKeyHash key;      /* of CARRY, with the next two */
      int64_t key_tokens; /* charged for the key in all */
      bool idempotent;
    } settle; /* of SETTLE and CARRY */
    struct
    {
      DyRequestId id;
      int32_t error;
      int64_t charged_tokens; /* of SETTLED; of RESERVED: for the key, before this request */
    } result;                 /* of RESERVED, SETTLED and CARRIED */
    struct
    {
      uint64_t holder_id;
      char holder_name[DY_NAME_SIZE]; /* of REPORT; empty: not known */
      char account[DY_NAME_SIZE];
      uint64_t origin_id;        /* of REPORT: its sender's incarnation */
      int64_t charged_tokens;    /* of REPORT, NOTE and NOTED */
      int64_t replicated_tokens; /* of REPORT: what the holder charged for its own requests */
      bool was_present; /* of REPORT: the sender was there while the holder lived, and nobody else
                    left lately */
      DyKeyHash key;    /* of NOTE: of the request that is noted, with the next two */
      uint64_t body_hash;
      int64_t key_tokens; /* charged for the key in all */
    } holder;             /* of QUERY, REPORT, CLOSED, CALL_IN, NOTE and NOTED */
    struct
    {
      uint64_t version;
      char key[DY_KEY_SIZE];
      const char *text; /* of CONFIG; NULL: removed. Belongs to the sender or the received frame. */
      uint32_t n_text;
    } config; /* of CONFIG_GET, CONFIG and CONFIG_END */
    struct
    {
      DyRequestId id; /* of the request that asks */
      DyKeyHash key;
      DyKeyState state;
      uint64_t body_hash;
      bool idempotent;
      int64_t charged_tokens;
      uint64_t member_id;  /* of KEY_STATE: its sender's incarnation */
      uint32_t n_departed; /* of KEY_STATE: routers that its sender saw leave lately */
    } key;                 /* of KEY_QUERY and KEY_STATE */
    struct
    {
      uint64_t body_hash;
      bool cleared; /* a whole answer came */
    } crash;
  } u;
} DyMessage;

#endif
