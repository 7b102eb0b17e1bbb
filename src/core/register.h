#ifndef DY_CORE_REGISTER_H
#define DY_CORE_REGISTER_H

/**
 * NAME
 *   register - what became of the requests that carry an idempotency key
 *
 * DESCRIPTION
 *   Kept by the home of an account. A repeat of a running request is refused; a repeat of one that
 *   ended without a charge starts anew; a repeat of a charged one may run again, to be charged only
 *   for what exceeds the first charge, a bounded number of times. A request whose outcome is not
 *   known runs again only when it is idempotent.
 */

#include "core/message.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  GHashTable *by_key;
  GHashTable *by_id; /* running requests */
  int64_t swept_us;
} DyRegister;

typedef struct
{
  DyRequestId id;
  DyKeyHash key;
  uint64_t body_hash;
  bool idempotent;
} DyRegisterRequest;

void dy_register_init (DyRegister *reg);
void dy_register_finish (DyRegister *reg);

/* Returns the hash of KEY within ACCOUNT, or all zero when KEY is NULL. */
DyKeyHash dy_register_hash (const char *account, const char *key);

/* Starts a request. Returns DY_OK; DY_KEY_REUSED, DY_REQUEST_RUNNING, DY_ALREADY_ANSWERED or
 * DY_OUTCOME_UNKNOWN when it must not run. Repeating a running id is DY_OK. */
int dy_register_begin (DyRegister *reg, const DyRegisterRequest *request, int64_t now_us);

/* Returns what of USED_TOKENS is to be charged for the running request ID. */
int64_t dy_register_charge (DyRegister *reg, const DyRequestId *id, int64_t used_tokens);

/* Returns what was charged for the key of the running request ID so far. */
int64_t dy_register_charged (const DyRegister *reg, const DyRequestId *id);

/* Adds TOKENS to what was charged for the running request ID. */
void dy_register_add (DyRegister *reg, const DyRequestId *id, int64_t tokens);

/* Stores what is known of KEY in the KEY_STATE message OUT. */
void dy_register_look_up (const DyRegister *reg, const DyKeyHash *key, DyMessage *out);

/* Takes over what another router knows of a key, from a KEY_STATE message. */
void dy_register_import (DyRegister *reg, const DyMessage *state, int64_t now_us);

/* Ends the running request ID. */
void dy_register_end (DyRegister *reg, const DyRequestId *id, DyRequestEnd outcome, int64_t now_us);

/* Ends all requests of the router incarnation ENTRY_ID, which is gone. */
void dy_register_end_origin (DyRegister *reg, uint64_t origin_id, int64_t now_us);

/* Forgets requests that ended long ago. */
void dy_register_tick (DyRegister *reg, int64_t now_us);

#endif
