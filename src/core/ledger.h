#ifndef DY_CORE_LEDGER_H
#define DY_CORE_LEDGER_H

/**
 * NAME
 *   ledger - grants, reservations and settlements of one holder of prepaid token budgets
 *
 * DESCRIPTION
 *   A holder is a router incarnation with a row in the accounts' ledger entries (see
 *   ledger_entry.h). It obtains grants from an entry by conditional update, reserves a request's
 *   worst-case cost from its grant before dispatch and settles the actual use afterwards. The
 *   module does no I/O and reads no clock: results and times are passed in, and reads, writes and
 *   results are issued through callbacks, which may run before the call that causes them returns.
 *
 *   The outcome of a write that timed out or failed is unresolved: until a read returns another
 *   version than the one the write was based on, the holder spends only what every possible outcome
 *   allows. The read shows the holder's own row, whose sequence number identifies the last write
 *   that took effect.
 *
 * UNITS
 *   Amounts are tokens; names ending in _us are microseconds.
 *
 * ERRORS
 *   of a reservation, passed to reserved():
 *   DY_BUDGET_SPENT        the paid tokens that are not yet settled do not cover it
 *   DY_BUDGET_RESERVED     reservations, other holders or the headroom take up the rest for now
 *   DY_BUDGET_UNAVAILABLE  platform calls failed or took too long
 *   DY_DRAINING            this holder is draining
 */

#include "core/backoff.h"
#include "core/ledger_entry.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum
{
  DY_LEDGER_RANKS = 11, /* urgency ranks, 0 the most urgent; higher ranks count as the last */
};

/* Identifies a request across the fleet. */
typedef struct
{
  uint64_t origin_id; /* incarnation of the origin router, which accepted the request */
  uint64_t number;
} DyRequestId;

/* Hash and equality of request ids for GHashTable. */
guint dy_request_id_hash (gconstpointer key);
gboolean dy_request_id_equal (gconstpointer a, gconstpointer b);

typedef struct
{
  int64_t horizon_us;     /* period of demand that a grant covers */
  int64_t minimum_tokens; /* smallest grant requested ahead of demand */
  int64_t percent;        /* largest percentage of the free budget granted ahead of demand */
  /* Largest percentage of the paid tokens that all holders together have granted and unsettled, for
   * a grant ahead of demand. */
  int64_t unsettled_percent;
  int64_t float_percent;      /* percentage of the free budget kept granted for platform outages */
  int64_t settle_interval_us; /* longest time that settled tokens stay unwritten */
  int64_t idle_return_us;     /* idle time after which a grant is returned */
  int64_t urgent_headroom_us; /* period of more urgent demand kept as headroom; 0: none */
  /* Largest percentage of the paid tokens kept free for rank 0, no more than requests that are
   * open, or were lost with the former home, may ask for again; 0: none. */
  int64_t first_rank_percent;
  /* Waiting reservations are refused before their deadline when the latest platform call failed, or
   * when other holders were asked to return unneeded tokens and had time to, but did not. */
  bool refuses_early;
  /* Every write, not only one for waiting reservations, adjusts the grant to the demand of the
   * horizon. */
  bool renews_grant;
  /* Age of the oldest copy from which the store may be restored; 0: it is never restored, and
   * entries have no ceilings. */
  int64_t copy_age_us;
  int64_t ceiling_percent; /* percentage of the free budget that may be committed in that time */
} DyLedgerPolicy;

/* A refused reservation and the figures behind the decision. */
typedef struct
{
  const char *account;
  DyRequestId id;
  int64_t tokens;
  uint32_t rank;
  int error;
  int64_t available_tokens; /* of the own grant, neither spent nor reserved */
  int64_t free_tokens;      /* granted to no holder, by the latest known entry */
  int64_t headroom_tokens;  /* headroom for more urgent requests, or kept for rank 0 */
  int64_t verified_us;      /* start of the latest successful platform call; INT64_MIN: none */
  bool failing;             /* the latest platform call failed */
} DyLedgerRefusal;

typedef struct
{
  /* Starts reading ACCOUNT's ledger entry; dy_ledger_on_read() takes the result. */
  void (*read) (void *ctx, const char *account);
  /* Starts writing ENTRY on condition that the stored version is VERSION; dy_ledger_on_write()
   * takes the result. */
  void (*write) (void *ctx, const char *account, uint64_t version, const DyLedgerEntry *entry);
  /* Reports the result of a reservation: DY_OK or an error listed above. */
  void (*reserved) (void *ctx, const DyRequestId *id, int error);
  /* A change requested by dy_ledger_recover() is written, or the row no longer exists. */
  void (*recovered) (void *ctx, const char *account, uint64_t holder_id);
  /* Asks the other holders in ENTRY to return tokens that they do not need. */
  void (*recall) (void *ctx, const char *account, const DyLedgerEntry *entry);
  /* Returns whether this holder serves reservations of ACCOUNT; if not, its grant is returned.
   * NULL: it always does. */
  bool (*serves_account) (void *ctx, const char *account);
  /* Returns the latest entry of ACCOUNT that the store has acknowledged to any router before ERA,
   * as far as is known; NULL: none is known. NULL: none ever is. */
  const DyLedgerEntry *(*latest_entry) (void *ctx, const char *account, uint64_t era);
  /* Reports a refusal before reserved() does. NULL: not reported. */
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
  GArray *results;         /* results not yet passed to reserved() */
  GHashTable *oldest_open; /* origin router to the lowest request number that it may still settle */
  bool sending_results;
  uint64_t era;          /* of the store; 0: not known */
  uint64_t released_era; /* era in which withheld tokens are freed; 0: none */
  int64_t evicted_us;    /* when settled reservations were last evicted */
  bool draining;
} DyLedger;

typedef struct
{
  const char *account;
  int64_t granted_tokens;
  int64_t spent_tokens;
  int64_t reserved_tokens;
  int64_t unwritten_tokens; /* spent, but not yet in the ledger entry */
  uint32_t n_waiting;       /* waiting reservations */
} DyLedgerView;

/* HOLDER_ID must be new for each router incarnation; HOLDER_NAME is the name of its VM. SEED seeds
 * the jitter of retry delays. */
void dy_ledger_init (DyLedger *ledger,
                     uint64_t holder_id,
                     const char *holder_name,
                     uint32_t seed,
                     const DyLedgerPolicy *policy,
                     const DyLedgerActions *actions,
                     void *ctx);
void dy_ledger_finish (DyLedger *ledger);

/* Reports the era of the store, before a result of a call that states it is passed in. If it has
 * risen, the latest writes of the entries may be lost: grants stay valid and are written again. */
void dy_ledger_set_era (DyLedger *ledger, uint64_t era, int64_t now_us);

/* Returns whether grants are still to be written again. */
bool dy_ledger_is_reasserting (const DyLedger *ledger);

/* Reports that all holders that may have had grants when the store was restored to ERA have written
 * them again, so that what the entries still withhold is freed. */
void dy_ledger_release_withheld (DyLedger *ledger, uint64_t era, int64_t now_us);

/* Raises the paid total of ACCOUNT's known entry to PAID_TOKENS; a lower figure changes nothing. */
void dy_ledger_raise_paid (DyLedger *ledger, const char *account, int64_t paid_tokens);

/* Requests a reservation of TOKENS of ACCOUNT, to be decided by DEADLINE_US. RANK is the urgency of
 * the request, 0 the most urgent; a headroom of the account's last tokens is retained for lower
 * ranks, as set by policy.urgent_headroom_us. The result is passed to reserved(). Repeating an ID
 * that already holds a reservation yields DY_OK without a second reservation. */
void dy_ledger_reserve (DyLedger *ledger,
                        const char *account,
                        const DyRequestId *id,
                        int64_t tokens,
                        uint32_t rank,
                        int64_t deadline_us,
                        int64_t now_us);

/* Ends the reservation ID and spends USED_TOKENS of it, at most what was reserved. A reservation
 * that still waits is dropped. Returns DY_OK, also for a repeat, which spends nothing more, or
 * DY_NOT_FOUND when the reservation is unknown, for instance because it was released. */
int dy_ledger_settle (DyLedger *ledger,
                      const char *account,
                      const DyRequestId *id,
                      int64_t used_tokens,
                      int64_t now_us);

/* Returns whether ID is settled; if so, stores the tokens spent in SPENT_TOKENS. */
bool dy_ledger_is_settled (const DyLedger *ledger,
                           const char *account,
                           const DyRequestId *id,
                           int64_t *spent_tokens);

/* Returns the tokens that the known ledger entry shows as settled from this holder's row for the
 * given origin router. */
int64_t dy_ledger_written_tokens (const DyLedger *ledger, const char *account, uint64_t origin_id);

/* Returns the tokens of ACCOUNT that open requests have reserved from this holder's row. */
int64_t dy_ledger_reserved_tokens (const DyLedger *ledger, const char *account);

/* Reports that the platform is reachable again: delayed retries start now. */
void dy_ledger_on_platform_reachable (DyLedger *ledger, int64_t now_us);

/* Reports that the given origin router will settle no request below NUMBER again, so their settled
 * reservations may be evicted. */
void dy_ledger_raise_oldest_open (DyLedger *ledger, uint64_t origin_id, uint64_t number);

/* Ends all reservations of the given origin router, whose incarnation is dead. Without CHARGE they
 * are released: for routers that settle before they send the last part of an answer, so no caller
 * has a complete answer. With CHARGE they are spent in full: for routers that pass answers on
 * before they settle. */
void dy_ledger_end_origin (DyLedger *ledger, uint64_t origin_id, bool charge, int64_t now_us);

/* Raises the parts in the row of HOLDER_ID, which is certainly dead, to TOTALS (of DyLedgerPart;
 * the ledger takes the reference). CLOSE: all routers that used the row have reported, so the row
 * is closed and its unspent rest becomes free. The result is passed to recovered(). */
void dy_ledger_recover (DyLedger *ledger,
                        const char *account,
                        uint64_t holder_id,
                        GArray *totals,
                        bool close,
                        int64_t now_us);

/* Returns unreserved tokens to the entry because the holder REQUESTER_ID is short of them. Of two
 * holders that are short, the one with the lower id yields, so that the remaining tokens of both
 * can serve one of them. */
void
dy_ledger_recall (DyLedger *ledger, const char *account, uint64_t requester_id, int64_t now_us);

/* Takes the result of a read. ERROR is DY_NOT_FOUND when the account has no entry; ENTRY is NULL
 * unless ERROR is DY_OK. */
void dy_ledger_on_read (DyLedger *ledger,
                        const char *account,
                        int error,
                        uint64_t version,
                        const DyLedgerEntry *entry,
                        int64_t now_us);

/* Takes the result of a write. ERROR is DY_CONFLICT when the stored version was another; VERSION is
 * the new version when ERROR is DY_OK. */
void dy_ledger_on_write (
    DyLedger *ledger, const char *account, int error, uint64_t version, int64_t now_us);

/* Expires waiting reservations, writes settled tokens, returns idle grants and retries calls. */
void dy_ledger_tick (DyLedger *ledger, int64_t now_us);

/* Starts draining: new reservations are refused, grants returned as soon as they are unreserved. */
void dy_ledger_drain (DyLedger *ledger, int64_t now_us);

/* Returns whether there are open reservations, unwritten changes or, while draining, grants that
 * are not yet returned. */
bool dy_ledger_busy (const DyLedger *ledger);

/* Calls VISIT for each account that was used. */
void dy_ledger_visit (const DyLedger *ledger,
                      void (*visit) (void *ctx, const DyLedgerView *view),
                      void *ctx);

#endif
