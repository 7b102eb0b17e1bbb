#ifndef DY_CORE_REGISTER_H
#define DY_CORE_REGISTER_H

/**
 * NAME
 *   register - records of requests by their idempotency keys
 *
 * DESCRIPTION
 *   A home keeps a register of the requests that reserve there, each origin one of its own
 *   requests. A repeat is a later request with the same key, such as a caller's retry. A repeat of
 *   a running request is refused. A repeat of a request that ended without a charge starts anew. A
 *   repeat of a charged request runs again only when it is idempotent, a bounded number of times,
 *   and is charged only what exceeds the earlier charges for its key. A request whose outcome is
 *   not known runs again only when it is idempotent. The record of an ended request is kept for ten
 *   minutes.
 *
 * UNITS
 *   Tokens and microseconds.
 */

#include "core/message.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  GHashTable *by_key; /* all records */
  GHashTable *by_id;  /* records of running requests */
  int64_t swept_us;   /* last removal of expired records */
} DyRegister;

typedef struct
{
  DyRequestId id;
  DyKeyHash key; /* all zero: none, the request is not recorded */
  uint64_t body_hash;
  bool idempotent;
} DyRegisterRequest;

void dy_register_init (DyRegister *reg);
void dy_register_finish (DyRegister *reg);

/* Returns the hash of KEY within ACCOUNT, or all zero when KEY is NULL. */
DyKeyHash dy_register_hash (const char *account, const char *key);

/* Records the start of REQUEST. Returns DY_OK, also for a repeat with the id of the running
 * request; or when it must not run: DY_KEY_REUSED, DY_REQUEST_RUNNING, DY_ALREADY_ANSWERED or
 * DY_OUTCOME_UNKNOWN. */
int dy_register_begin (DyRegister *reg, const DyRegisterRequest *request, int64_t now_us);

/* Returns the part of USED_TOKENS that exceeds the earlier charges for the key of the running
 * request ID, and records it as charged. Without a record: USED_TOKENS. */
int64_t dy_register_charge (DyRegister *reg, const DyRequestId *id, int64_t used_tokens);

/* Returns the tokens charged so far for the key of the running request ID; 0 without a record. */
int64_t dy_register_charged (const DyRegister *reg, const DyRequestId *id);

/* Adds TOKENS to those charged for the key of the running request ID. */
void dy_register_add (DyRegister *reg, const DyRequestId *id, int64_t tokens);

/* Stores the record of KEY in the KEY_STATE message OUT; without a record, OUT stays as it is. */
void dy_register_look_up (const DyRegister *reg, const DyKeyHash *key, DyMessage *out);

/* Merges another router's record of a key, a KEY_STATE message: the larger charge counts. */
void dy_register_import (DyRegister *reg, const DyMessage *state, int64_t now_us);

/* Records that the running request ID ended as END says. */
void dy_register_end (DyRegister *reg, const DyRequestId *id, DyRequestEnd end, int64_t now_us);

/* Ends all running requests of the dead router incarnation ORIGIN_ID with DY_END_UNKNOWN. */
void dy_register_end_origin (DyRegister *reg, uint64_t origin_id, int64_t now_us);

/* Removes the records of requests that ended more than ten minutes ago. */
void dy_register_tick (DyRegister *reg, int64_t now_us);

#endif
