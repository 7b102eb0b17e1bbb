#ifndef DY_CORE_LEDGER_PRIVATE_H
#define DY_CORE_LEDGER_PRIVATE_H

/**
 * NAME
 *   ledger_private - what the files of the ledger module share
 *
 * DESCRIPTION
 *   ledger_account.c  an account's reservations and those that wait
 *   ledger_write.c    when to read and write its entry, and what
 *   ledger.c          the public functions
 */

#include "core/ledger.h"

typedef enum
{
  OPERATION_NONE,
  OPERATION_READ,
  OPERATION_WRITE,
} Operation;

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

/* A change of another holder's row, which is gone. */
typedef struct
{
  uint64_t holder_id;
  GArray *totals; /* of DyLedgerPart */
  bool close;
} Change;

typedef struct
{
  char *name;
  DyLedgerEntry entry; /* as last read or written */
  bool known;
  uint64_t version;
  DyLedgerRow row; /* own row as last confirmed by the platform */

  DyLedgerEntry pending;             /* entry of the write in progress */
  uint64_t last_seq;                 /* of the latest write tried */
  bool unresolved;                   /* a write based on version may still take effect */
  int64_t unresolved_granted_tokens; /* least grant among the unresolved writes */

  int64_t spent_tokens;
  GHashTable *spent_by; /* router incarnation to its part of the spent tokens */
  int64_t reserved_tokens;
  GHashTable *reservations;
  GQueue waiters;
  GArray *changes;         /* of Change, to be written */
  bool called_in;          /* another holder is short */
  bool gives_way;          /* to it, although waiters are here, too */
  int64_t called_us;       /* when others were last called in; 0: not since tokens sufficed */
  int64_t scarce_until_us; /* what is not free is not handed back before */

  Operation operation;
  int64_t operation_start_us;
  int64_t read_us;     /* start of the latest read */
  int64_t verified_us; /* start of the latest successful call */
  int64_t written_us;
  int64_t retry_us; /* no call before this time */
  int64_t used_us;
  bool failing; /* the latest call failed */
  DyBackoff backoff;

  int64_t window_start_us;
  int64_t window_tokens[DY_LEDGER_RANKS];
  int64_t rate_tokens_per_s[DY_LEDGER_RANKS];
} DyLedgerAccount;

typedef struct
{
  DyRequestId id;
  int error;
} Answer;

typedef struct
{
  DyLedger *ledger;
  int64_t now_us;
  bool forget; /* drop settled reservations that are old enough */
} Tick;

/* ledger_account.c */

void dy_ledger_free_account (gpointer data);

/* Returns the account NAME, or NULL; dy_ledger_get_account() makes it if there is none. */
DyLedgerAccount *dy_ledger_find_account (const DyLedger *ledger, const char *name);

DyLedgerAccount *dy_ledger_get_account (DyLedger *ledger, const char *name, int64_t now_us);

/* The tokens that may be promised whatever became of unresolved writes. */
int64_t dy_ledger_available_tokens (const DyLedgerAccount *acct);

/* Counts TOKENS asked for, from which the grant ahead of demand is estimated. */
void dy_ledger_count_demand (DyLedgerAccount *acct, int64_t tokens, uint32_t rank, int64_t now_us);

/* Returns the tokens asked for in a second by requests of ranks below RANK. */
int64_t dy_ledger_demand_below (const DyLedgerAccount *acct, uint32_t rank);

/* Returns the tokens that are kept from requests of RANK. */
int64_t
dy_ledger_headroom_tokens (const DyLedger *ledger, const DyLedgerAccount *acct, uint32_t rank);

/* Decides the reservation ID; dy_ledger_send_results() tells it. */
void dy_ledger_queue_result (DyLedger *ledger, const DyRequestId *id, int error);

/* Answers may call back into the ledger, so they go out only when its state is consistent. */
void dy_ledger_send_results (DyLedger *ledger);

/* Removes the waiter in LINK without an answer. */
void dy_ledger_drop_waiter (DyLedgerAccount *acct, GList *link);

/* Serves waiters in order. When nothing more can be granted, smaller ones may pass a larger one. */
void dy_ledger_serve_waiters (DyLedger *ledger, DyLedgerAccount *acct, bool may_pass);

/* Refuses the waiters that the whole unsettled budget could not cover. */
void dy_ledger_refuse_uncovered (DyLedger *ledger, DyLedgerAccount *acct);

/* Counts TOKENS spent for the router ENTRY_ID. */
void dy_ledger_spend (DyLedgerAccount *acct, uint64_t origin_id, int64_t tokens);

/* Refuses with ERROR the waiters that FREE_TOKENS beside the own grant do not cover. */
void
dy_ledger_refuse_beyond (DyLedger *ledger, DyLedgerAccount *acct, int64_t free_tokens, int error);

/* Refuses the waiters whose time is over. */
void dy_ledger_expire_waiters (DyLedger *ledger, DyLedgerAccount *acct, int64_t now_us);

/* Finds the waiter ID and stores its LINK. */
bool dy_ledger_find_waiter (DyLedgerAccount *acct, const DyRequestId *id, GList **link);

/* Removes what the gone router ENTRY_ID holds or waits for; settled reservations stay known. With
 * CHARGE, what it holds counts as spent. */
void dy_ledger_end_reservations (DyLedgerAccount *acct, uint64_t origin_id, bool charge);

/* ledger_write.c */

/* Serves who can be served and starts the read or write that is due, if none is in progress. */
void dy_ledger_step (DyLedger *ledger, DyLedgerAccount *acct, int64_t now_us);

/* Ends the read or write in progress; after a failure the next one waits. */
void dy_ledger_end_operation (DyLedgerAccount *acct, bool failed, GRand *rng, int64_t now_us);

/* Starts anew after the own row was folded away. */
void dy_ledger_reset_closed_row (DyLedgerAccount *acct);

/* Takes over what the entry shows of the own row and of changes that were to be written. */
void dy_ledger_adopt_entry (DyLedger *ledger, DyLedgerAccount *acct);

/* Without an entry nothing was paid. */
void dy_ledger_on_missing_entry (DyLedger *ledger, DyLedgerAccount *acct);

#endif
