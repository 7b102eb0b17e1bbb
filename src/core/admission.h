#ifndef DY_CORE_ADMISSION_H
#define DY_CORE_ADMISSION_H

/**
 * NAME
 *   admission - which client account's request runs next at this router
 *
 * DESCRIPTION
 *   Requests run in a bounded number of slots. Those that wait are queued by account and taken by
 *   start-time fair queueing: an account's turn moves on by the tokens of its requests divided by
 *   its share, so under load accounts get tokens in proportion to their shares. The last slots are
 *   kept for accounts that run less than their share, so a newcomer need not wait for the long
 *   requests of others to end. Queues and waits are bounded; a request that cannot run in time is
 *   refused at once.
 *
 * UNITS
 *   Tokens and microseconds.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  uint32_t n_slots;
  uint32_t kept_percent; /* of the slots, for accounts below their share */
  uint32_t queue_length; /* of one account */
} DyAdmissionPolicy;

typedef struct
{
  /* ITEM may run now and holds a slot until dy_admission_done(). */
  void (*admit) (void *ctx, void *item);
  /* ITEM is refused with ERROR and forgotten. */
  void (*refuse) (void *ctx, void *item, int error);
} DyAdmissionActions;

typedef struct
{
  DyAdmissionPolicy policy;
  const DyAdmissionActions *actions;
  void *ctx;
  GHashTable *accounts;
  double virtual_time; /* start tag of the latest request admitted */
  uint32_t n_running;
  uint32_t n_queued;
  int64_t total_share; /* of all client accounts, idle ones, too */
  bool admitting;
} DyAdmission;

void dy_admission_init (DyAdmission *adm,
                        const DyAdmissionPolicy *policy,
                        const DyAdmissionActions *actions,
                        void *ctx);
void dy_admission_finish (DyAdmission *adm);

/* Sets the sum of the shares of all client accounts. */
void dy_admission_set_total_share (DyAdmission *adm, int64_t total_share);

/* Submits ITEM of ACCOUNT with its worst case in tokens. It is admitted, refused with
 * DY_QUEUE_FULL, or queued until DEADLINE_US; the callback may come before this returns. */
void dy_admission_submit (DyAdmission *adm,
                          const char *account,
                          int64_t share,
                          int64_t cost_tokens,
                          int64_t deadline_us,
                          void *item);

/* The admitted request of ACCOUNT is over; UNUSED_TOKENS of its worst case were not used. */
void dy_admission_done (DyAdmission *adm, const char *account, int64_t unused_tokens);

/* Forgets ITEM of ACCOUNT, which is still queued. */
void dy_admission_cancel (DyAdmission *adm, const char *account, const void *item);

/* Refuses what has waited too long. */
void dy_admission_refuse_expired (DyAdmission *adm, int64_t now_us);

/* Returns the engine priority of ACCOUNT, lower is sooner: how far its turn is ahead of others', in
 * thousands of tokens by share. */
int64_t dy_admission_priority (const DyAdmission *adm, const char *account);

#endif
