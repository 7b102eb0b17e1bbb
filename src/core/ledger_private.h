#ifndef DY_CORE_LEDGER_PRIVATE_H
#define DY_CORE_LEDGER_PRIVATE_H

/**
 * NAME
 *   ledger_private - declarations shared by the files of the ledger module
 *
 * DESCRIPTION
 *   ledger_account.c  reservations of an account, held and waiting
 *   ledger_write.c    when to read and write the account's entry, and what to write
 *   ledger_restore.c  entries of a store that was restored from an older copy
 *   ledger.c          the public functions
 */

#include "core/ledger.h"

typedef enum
{
  OPERATION_NONE,
  OPERATION_READ,
  OPERATION_WRITE,
} Operation;

/* A reservation that waits for tokens. */
typedef struct
{
  DyRequestId id;
  int64_t tokens;
  uint32_t rank;
  int64_t arrived_us;
  int64_t deadline_us;
} Waiter;

typedef struct
{
  DyRequestId id;
  int64_t tokens;
  bool settled;
  int64_t spent_tokens;
} Reservation;

/* A pending change of the row of a dead holder, see dy_ledger_recover(). */
typedef struct
{
  uint64_t holder_id;
  GArray *totals; /* of DyLedgerPart */
  bool close;
} Change;

/* A next ceiling that was seen in the entry. */
typedef struct
{
  int64_t tokens;
  int64_t seen_us; /* when it was first seen */
} SeenCeiling;

typedef struct
{
  char *name;
  DyLedgerEntry entry; /* as last read or written */
  bool has_entry;      /* the next write may be based on entry; false: read it first */
  uint64_t version;    /* of entry */
  DyLedgerRow row;     /* own row as last confirmed by the platform */

  DyLedgerEntry pending;             /* entry of the write in progress */
  uint64_t last_seq;                 /* sequence number of the latest write attempt */
  bool unresolved;                   /* a write based on version may still take effect */
  int64_t unresolved_granted_tokens; /* least grant among the unresolved writes */

  bool reasserting;      /* kept_tokens are to be written to the restored entry */
  int64_t kept_tokens;   /* own grant before the store was restored */
  bool releasing;        /* the entry is to be read, and what it withholds to be freed */
  GArray *seen_ceilings; /* of SeenCeiling, in the order of time and height */

  int64_t spent_tokens;
  GHashTable *spent_by_origin; /* origin router to its part of the spent tokens */
  int64_t reserved_tokens;
  GHashTable *reservations; /* DyRequestId to Reservation; settled ones stay until evicted */
  GQueue waiters;           /* of Waiter, in order of arrival */
  GArray *changes;          /* of Change, to be written */
  bool recall_received;     /* another holder is short and has recalled unreserved tokens */
  bool yields;              /* returns tokens to that holder even while reservations wait here */
  int64_t recalled_us;      /* when other holders were asked to return tokens; 0: not asked, or
                               the recall failed */
  int64_t scarce_until_us;  /* no tokens are expected to be returned before this time */

  int64_t created_us; /* when this holder first used the account */
  int64_t step_us;    /* latest call of dy_ledger_step() */

  Operation operation;
  int64_t operation_start_us;
  int64_t read_us;     /* start of the latest read */
  int64_t verified_us; /* start of the latest successful call; INT64_MIN: none */
  int64_t written_us;  /* latest successful write, at first the creation */
  int64_t retry_us;    /* no call before this time */
  int64_t last_use_us; /* latest reservation request or settlement */
  bool failing;        /* the latest call failed */
  DyBackoff backoff;

  /* Demand by rank: tokens requested in the current window, and the rate smoothed over windows. */
  int64_t window_start_us;
  int64_t window_tokens[DY_LEDGER_RANKS];
  int64_t rate_tokens_per_s[DY_LEDGER_RANKS];
} DyLedgerAccount;

/* The result of a reservation, not yet passed to reserved(). */
typedef struct
{
  DyRequestId id;
  int error;
} Result;

typedef struct
{
  DyLedger *ledger;
  int64_t now_us;
  bool evict; /* drop settled reservations that can no longer be repeated */
} Tick;

/* ledger_account.c */

void dy_ledger_free_account (gpointer data);

/* Returns the account NAME, or NULL; dy_ledger_get_account() makes it if there is none. */
DyLedgerAccount *dy_ledger_find_account (const DyLedger *ledger, const char *name);

DyLedgerAccount *dy_ledger_get_account (DyLedger *ledger, const char *name, int64_t now_us);

/* Returns the tokens that can be reserved whatever the outcome of unresolved writes. */
int64_t dy_ledger_available_tokens (const DyLedgerAccount *acct);

/* Counts TOKENS of demand at RANK, from which the grant ahead of demand is estimated. */
void dy_ledger_count_demand (DyLedgerAccount *acct, int64_t tokens, uint32_t rank, int64_t now_us);

/* Returns the demand of ranks below RANK (more urgent) in tokens per second. */
int64_t dy_ledger_demand_below (const DyLedgerAccount *acct, uint32_t rank);

/* Returns the headroom that requests of RANK must leave to more urgent ones. */
int64_t
dy_ledger_headroom_tokens (const DyLedger *ledger, const DyLedgerAccount *acct, uint32_t rank);

/* Returns the tokens that other holders have granted and not settled, by the known entry. */
int64_t dy_ledger_others_unsettled_tokens (const DyLedger *ledger, const DyLedgerAccount *acct);

/* Returns the tokens that requests of RANK must leave for rank 0. Unlike the headroom, they are no
 * reason to refuse a request before other holders were asked to return tokens. */
int64_t dy_ledger_kept_tokens (const DyLedger *ledger, const DyLedgerAccount *acct, uint32_t rank);

/* Returns the tokens that the account's requests can still reserve, as far as is known: the rest of
 * the own grant and, while the platform is reachable, the free tokens of the entry. */
int64_t dy_ledger_spare_tokens (const DyLedgerAccount *acct);

/* Returns whether WAITER can be served from REMAINING_TOKENS when SPARE_TOKENS can still be
 * reserved in all. */
bool dy_ledger_fits (const DyLedger *ledger,
                     const DyLedgerAccount *acct,
                     const Waiter *waiter,
                     int64_t remaining_tokens,
                     int64_t spare_tokens);

/* Queues the result of the reservation ID for dy_ledger_send_results(). */
void dy_ledger_queue_result (DyLedger *ledger, const DyRequestId *id, int error);

/* Passes queued results to reserved(), which may call back into the ledger: call this only when the
 * ledger's state is consistent. */
void dy_ledger_send_results (DyLedger *ledger);

/* Removes the waiter in LINK without a result. */
void dy_ledger_drop_waiter (DyLedgerAccount *acct, GList *link);

/* Serves waiters in order. MAY_PASS: the grant cannot grow further, so smaller waiters are served
 * ahead of a larger one that does not fit. */
void dy_ledger_serve_waiters (DyLedger *ledger, DyLedgerAccount *acct, bool may_pass);

/* Refuses with DY_BUDGET_SPENT the waiters that all paid and unspent tokens together could not
 * cover. */
void dy_ledger_refuse_uncovered (DyLedger *ledger, DyLedgerAccount *acct);

/* Counts TOKENS as spent for an origin router. */
void dy_ledger_spend (DyLedgerAccount *acct, uint64_t origin_id, int64_t tokens);

/* Refuses with ERROR the waiters that the own grant and FREE_TOKENS together do not cover. */
void
dy_ledger_refuse_beyond (DyLedger *ledger, DyLedgerAccount *acct, int64_t free_tokens, int error);

/* Refuses the waiters whose deadline has passed. */
void dy_ledger_expire_waiters (DyLedger *ledger, DyLedgerAccount *acct, int64_t now_us);

/* Stores the link of the waiter ID in LINK. Returns false when there is none. */
bool dy_ledger_find_waiter (DyLedgerAccount *acct, const DyRequestId *id, GList **link);

/* Removes the open reservations and the waiters of a dead origin router; its settled reservations
 * stay. With CHARGE, the open reservations count as spent. */
void dy_ledger_end_reservations (DyLedgerAccount *acct, uint64_t origin_id, bool charge);

/* ledger_restore.c */

/* Returns the free tokens of the known entry that may be granted now. */
int64_t
dy_ledger_grantable_tokens (const DyLedger *ledger, const DyLedgerAccount *acct, int64_t now_us);

/* Adapts the entry, just read: withholds what may have been lost, and restores the own grant. */
void dy_ledger_adapt_read_entry (const DyLedger *ledger, DyLedgerAccount *acct, int64_t now_us);

/* Sets the era and the ceilings of the pending entry, and frees withheld tokens if that is due. */
void dy_ledger_prepare_ceilings (const DyLedger *ledger, DyLedgerAccount *acct, int64_t now_us);

/* Handles that the store has acknowledged the entry. */
void dy_ledger_on_written_entry (DyLedgerAccount *acct, int64_t now_us);

/* Returns whether the next write frees withheld tokens. */
bool dy_ledger_can_release (const DyLedger *ledger, const DyLedgerAccount *acct);

/* ledger_write.c */

/* Serves the waiters that fit and starts the read or write that is due, if none is in progress. */
void dy_ledger_step (DyLedger *ledger, DyLedgerAccount *acct, int64_t now_us);

/* Ends the read or write in progress; after a failure the next one is delayed by the backoff. */
void dy_ledger_end_operation (DyLedgerAccount *acct, bool failed, GRand *rng, int64_t now_us);

/* Resets the account's spent tokens once the own row is closed and nothing is reserved. */
void dy_ledger_reset_closed_row (DyLedgerAccount *acct);

/* Updates the own row from the entry and drops the changes that the entry already contains. */
void dy_ledger_adopt_entry (DyLedger *ledger, DyLedgerAccount *acct);

/* Handles an account without a ledger entry: nothing was paid, so its waiters are refused. */
void dy_ledger_on_missing_entry (DyLedger *ledger, DyLedgerAccount *acct);

#endif
