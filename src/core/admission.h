#ifndef DY_CORE_ADMISSION_H
#define DY_CORE_ADMISSION_H

/**
 * NAME
 *   admission - admission control of this router's requests, fair between client accounts
 *
 * DESCRIPTION
 *   Requests run in a bounded number of slots. Waiting requests are queued by client account and
 *   admitted by start-time fair queueing: each request advances the start tag of its account by its
 *   worst-case tokens divided by the account's share, and the account with the lowest tag is next.
 *   Under load, accounts thus get tokens in proportion to their shares.
 *
 *   Some of the slots are headroom for accounts that run less than their share, so that an account
 *   which starts to send need not wait until long requests of other accounts end.
 *
 *   The length of each queue and the wait in it are bounded; a request beyond either is refused.
 *
 * UNITS
 *   Costs are tokens, times are microseconds. Shares are relative weights of at least 1; a lower
 *   one counts as 1.
 *
 * ERRORS
 *   DY_QUEUE_FULL: the queue of the account was full, or the request's deadline passed in it.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  uint32_t n_slots;
  uint32_t kept_percent; /* of the slots, headroom for accounts below their share; 0 to 100 */
  uint32_t queue_length; /* most waiting requests of one account */
} DyAdmissionPolicy;

typedef struct
{
  /* ITEM is admitted: it holds a slot until dy_admission_done(). */
  void (*admit) (void *ctx, void *item);
  /* ITEM is refused with ERROR and no longer referenced. */
  void (*refuse) (void *ctx, void *item, int error);
} DyAdmissionActions;

typedef struct
{
  DyAdmissionPolicy policy;
  const DyAdmissionActions *actions;
  void *ctx;
  GHashTable *accounts; /* name to the state of an account that has had requests */
  double virtual_time;  /* highest start tag of the admitted requests */
  uint32_t n_running;
  uint32_t n_queued;
  int64_t total_share; /* of all client accounts, idle ones included */
  bool admitting;      /* guards against recursion from the admit callback */
} DyAdmission;

void dy_admission_init (DyAdmission *adm,
                        const DyAdmissionPolicy *policy,
                        const DyAdmissionActions *actions,
                        void *ctx);
void dy_admission_finish (DyAdmission *adm);

/* Sets the sum of the shares of all client accounts. */
void dy_admission_set_total_share (DyAdmission *adm, int64_t total_share);

/* Submits ITEM of ACCOUNT, which uses at most COST_TOKENS. It is admitted, refused with
 * DY_QUEUE_FULL, or queued until DEADLINE_US; the callback may run before this returns. */
void dy_admission_submit (DyAdmission *adm,
                          const char *account,
                          int64_t share,
                          int64_t cost_tokens,
                          int64_t deadline_us,
                          void *item);

/* Frees the slot of an admitted request of ACCOUNT, and credits the account with UNUSED_TOKENS, the
 * part of the request's cost that it did not use. */
void dy_admission_done (DyAdmission *adm, const char *account, int64_t unused_tokens);

/* Removes ITEM of ACCOUNT from the queue without a callback; does nothing if it is not queued. */
void dy_admission_cancel (DyAdmission *adm, const char *account, const void *item);

/* Refuses the queued requests whose deadline has passed; to be called regularly. */
void dy_admission_refuse_expired (DyAdmission *adm, int64_t now_us);

/* Returns the priority of ACCOUNT's requests at an engine, 0 (first) to 1000: how far the account's
 * start tag is ahead of the virtual time, in thousands of tokens per share. */
int64_t dy_admission_priority (const DyAdmission *adm, const char *account);

#endif
