#ifndef DY_CORE_LEDGER_H
#define DY_CORE_LEDGER_H

/**
 * NAME
 *   ledger - what one holder decides about the prepaid budgets it draws on
 *
 * DESCRIPTION
 *   The holder takes grants from the ledger entries by conditional update, reserves a request's
 *   worst case from its grant before dispatch and settles the real use after. The code does no
 *   I/O and reads no clock: results and times come in, actions go out through callbacks, which
 *   may run before the call that causes them returns.
 *
 *   A write without an answer is unresolved: until a read shows another version than the one it
 *   was based on, the holder spends only what every possible outcome allows. Reads settle what a
 *   lost answer left open, by the sequence number in the holder's own row.
 *
 * UNITS
 *   Tokens and microseconds.
 */

#include "core/backoff.h"
#include "core/ledger_entry.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum
{
  DY_LEDGER_RANKS = 10, /* of urgency; higher ones count as the last */
};

/* Identifies a request in the whole fleet. */
typedef struct
{
  uint64_t origin_id; /* incarnation of the router that accepted it */
  uint64_t number;
} DyRequestId;

/* Hash and equality of request ids for GHashTable. */
guint dy_request_id_hash (gconstpointer key);
gboolean dy_request_id_equal (gconstpointer a, gconstpointer b);

typedef struct
{
  int64_t horizon_us;         /* demand that a grant covers */
  int64_t minimum_tokens;     /* smallest grant asked for ahead of demand */
  int64_t percent;            /* largest part of the free budget granted ahead of demand */
  int64_t float_percent;      /* part of the free budget kept granted while idle, for outages */
  int64_t settle_interval_us; /* longest age of unwritten settled tokens */
  int64_t idle_return_us;     /* idle time after which a grant is handed back */
  int64_t urgent_headroom_us; /* demand of more urgent requests for which the last tokens are kept;
                                 0: none */
  /* A waiter is refused when the latest call failed, or other holders had time to hand back what
   * they do not need and did not. */
  bool refuses_early;
  bool renews_grant; /* each write brings the grant to what the horizon needs, not only one for want
                      */
} DyLedgerPolicy;

/* A reservation that was not granted, with what decided it. */
typedef struct
{
  const char *account;
  DyRequestId id;
  int64_t tokens;
  uint32_t rank;
  int error;
  int64_t available_tokens; /* of the own grant */
  int64_t free_tokens;      /* that no holder was granted, by the entry as last read */
  int64_t headroom_tokens;  /* for more urgent requests */
  int64_t verified_us;      /* start of the latest successful call */
  bool failing;             /* the latest call failed */
} DyLedgerRefusal;

typedef struct
{
  void (*read) (void *ctx, const char *account);
  /* VERSION is the one the write must find. */
  void (*write) (void *ctx, const char *account, uint64_t version, const DyLedgerEntry *entry);
  /* Answers a reservation: DY_OK, DY_BUDGET_SPENT, DY_BUDGET_RESERVED or DY_BUDGET_UNAVAILABLE. */
  void (*reserved) (void *ctx, const DyRequestId *id, int error);
  /* What dy_ledger_recover() asked for is written, or the row is gone. */
  void (*recovered) (void *ctx, const char *account, uint64_t holder_id);
  /* The other holders in ENTRY are to hand back what they do not need. */
  void (*recall) (void *ctx, const char *account, const DyLedgerEntry *entry);
  /* Returns whether reservations of the account come here; if not, the grant is handed back. NULL:
   * they do. */
  bool (*is_wanted) (void *ctx, const char *account);
  /* Tells of a refusal before it is answered. NULL: not needed. */
  void (*refused) (void *ctx, const DyLedgerRefusal *refusal);
} DyLedgerActions;

typedef struct
{
  uint64_t holder_id;
  char holder_name[DY_HOLDER_NAME_SIZE];
  DyLedgerPolicy policy;
  const DyLedgerActions *actions;
  void *ctx;
  GRand *rng;
  GHashTable *accounts;
  GArray *answers;         /* reservations decided and not yet answered */
  GHashTable *oldest_open; /* router incarnation to the oldest request that it may still settle */
  bool sending_results;
  int64_t evicted_us;
  bool draining;
} DyLedger;

typedef struct
{
  const char *account;
  int64_t granted_tokens;
  int64_t spent_tokens;
  int64_t reserved_tokens;
  int64_t unwritten_tokens;
  uint32_t n_waiting;
} DyLedgerView;

/* HOLDER_ID must be new for each incarnation; HOLDER_NAME is that of the VM. SEED feeds the jitter
 * of repeated tries. */
void dy_ledger_init (DyLedger *ledger,
                     uint64_t holder_id,
                     const char *holder_name,
                     uint32_t seed,
                     const DyLedgerPolicy *policy,
                     const DyLedgerActions *actions,
                     void *ctx);
void dy_ledger_finish (DyLedger *ledger);

/* ACCOUNT is known to have paid PAID_TOKENS in all; a lower figure changes nothing. */
void dy_ledger_raise_paid (DyLedger *ledger, const char *account, int64_t paid_tokens);

/* Asks for TOKENS of ACCOUNT before DEADLINE_US. RANK tells how urgent the request is, 0 the most;
 * the account's last tokens are kept for requests of lower rank, as policy.urgent_headroom_us says.
 * The answer comes through reserved(). Repeating an ID that already holds a reservation is answered
 * DY_OK without a second one. */
void dy_ledger_reserve (DyLedger *ledger,
                        const char *account,
                        const DyRequestId *id,
                        int64_t tokens,
                        uint32_t rank,
                        int64_t deadline_us,
                        int64_t now_us);

/* Ends the reservation ID, spending USED_TOKENS of it (at most what was reserved). A reservation
 * still waiting is dropped. Returns DY_OK, also for a repeat, which spends nothing more; or
 * DY_NOT_FOUND when the reservation is unknown, for instance released before. */
int dy_ledger_settle (DyLedger *ledger,
                      const char *account,
                      const DyRequestId *id,
                      int64_t used_tokens,
                      int64_t now_us);

/* Returns whether ID is settled, and what was spent in SPENT_TOKENS. */
bool dy_ledger_is_settled (const DyLedger *ledger,
                           const char *account,
                           const DyRequestId *id,
                           int64_t *spent_tokens);

/* Returns the tokens that the platform is known to hold as settled for the router ENTRY_ID. */
int64_t dy_ledger_written_tokens (const DyLedger *ledger, const char *account, uint64_t origin_id);

/* The platform is reached again: calls that were put off are made now. */
void dy_ledger_on_platform_reachable (DyLedger *ledger, int64_t now_us);

/* The router ENTRY_ID will settle no request below NUMBER again, so they may be forgotten. */
void dy_ledger_raise_oldest_open (DyLedger *ledger, uint64_t origin_id, uint64_t number);

/* Ends all reservations of the router incarnation ENTRY_ID, which is gone. Without CHARGE they are
 * released: it settles before the last part of an answer goes out, so their callers have no whole
 * answer. With CHARGE they are spent in full: it passes answers on before it settles. */
void dy_ledger_end_origin (DyLedger *ledger, uint64_t origin_id, bool charge, int64_t now_us);

/* Raises the parts of the row of HOLDER_ID, which is certainly gone, to TOTALS (of DyLedgerPart,
 * taken over). CLOSE: all who used it are heard, so its unspent rest becomes free again. */
void dy_ledger_recover (DyLedger *ledger,
                        const char *account,
                        uint64_t holder_id,
                        GArray *totals,
                        bool close,
                        int64_t now_us);

/* Hands back what is not reserved, for the holder CALLER_ID that is short. Of two that are short
 * the one with the lower id gives way, so that what both have left can serve one of them. */
void dy_ledger_recall (DyLedger *ledger, const char *account, uint64_t caller_id, int64_t now_us);

/* Result of a read: ENTRY is NULL unless ERROR is DY_OK. */
void dy_ledger_on_read (DyLedger *ledger,
                        const char *account,
                        int error,
                        uint64_t version,
                        const DyLedgerEntry *entry,
                        int64_t now_us);

/* Result of a write; VERSION is the new one when ERROR is DY_OK. */
void dy_ledger_on_write (
    DyLedger *ledger, const char *account, int error, uint64_t version, int64_t now_us);

/* Expires waiting reservations, writes settled tokens, hands back idle grants, tries again. */
void dy_ledger_tick (DyLedger *ledger, int64_t now_us);

/* Hands back everything as soon as it is no longer reserved. */
void dy_ledger_drain (DyLedger *ledger, int64_t now_us);

/* Returns whether settled tokens or, while draining, grants remain to be written. */
bool dy_ledger_busy (const DyLedger *ledger);

/* Calls VISIT for each known account. */
void dy_ledger_visit (const DyLedger *ledger,
                      void (*visit) (void *ctx, const DyLedgerView *view),
                      void *ctx);

#endif
