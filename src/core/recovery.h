#ifndef DY_CORE_RECOVERY_H
#define DY_CORE_RECOVERY_H

/**
 * NAME
 *   recovery - recovers the unwritten charges of a dead holder and frees its unspent grant
 *
 * DESCRIPTION
 *   A holder that dies leaves a row in the account's ledger entry that may lack tokens it charged
 *   but did not write. The home of the account asks every member what the holder charged for its
 *   requests. When all have reported, the row is raised to these totals. If every member was
 *   alive while the holder lived, and none saw another router die within the last ten minutes, no
 *   other router can have used the row: it is closed and its unspent tokens become free. Otherwise
 *   a router that used the row may have died without reporting, so the unspent tokens stay withheld
 *   until an operator releases them.
 *
 *   Routers that started while the holder lived do not know who died before, nor what the holder
 *   replicated to those. So one of the members must be a witness: alive since before anything was
 *   reserved at the holder, or for ten minutes beside it. A holder at which nothing was reserved
 *   yet says so to each router that it connects to.
 *
 *   A holder counts as dead only when its VM is no longer listed or runs another incarnation.
 *
 * UNITS
 *   Amounts are tokens; names ending in _us are microseconds.
 */

#include "core/ledger_entry.h"
#include "core/members.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  uint64_t holder_id;
  char account[DY_HOLDER_NAME_SIZE];
  char holder_name[DY_HOLDER_NAME_SIZE]; /* name of the holder's VM; empty: unknown */
  GArray *totals;                        /* of DyLedgerPart, the charges as reported */
  GHashTable *reported_ids;              /* set of router incarnations that have reported */
  GHashTable *listed;                    /* set of names of members listed since the start */
  bool uncertain; /* a router that used the row may not have reported: do not close the row */
  bool witnessed; /* a witness has reported: otherwise do not close it either */
  bool writing;   /* the totals are being written to the ledger entry */
  int64_t started_us;
  int64_t asked_us; /* when the members were last asked */
} DyRecovery;

typedef struct
{
  GHashTable *table; /* set of DyRecovery */
  int64_t delay_us;  /* shortest time from start to writing; exceeds the lag of the VM list */
} DyRecoveries;

void dy_recoveries_init (DyRecoveries *recoveries, int64_t delay_us);
void dy_recoveries_finish (DyRecoveries *recoveries);

/* Returns the running recovery of the row of HOLDER_ID in ACCOUNT's entry, or NULL. */
DyRecovery *
dy_recoveries_find (const DyRecoveries *recoveries, uint64_t holder_id, const char *account);

/* Returns the recovery, starting it unless it runs already. */
DyRecovery *dy_recoveries_get (DyRecoveries *recoveries,
                               uint64_t holder_id,
                               const char *account,
                               int64_t now_us);
void dy_recoveries_remove (DyRecoveries *recoveries, DyRecovery *recovery);

/* Takes the report of the router ORIGIN_ID: the holder charged CHARGED_TOKENS for that router's
 * requests and, as replicated to that router, REPLICATED_TOKENS for the holder's own. WAS_PRESENT
 * is whether that router was alive while the holder lived and saw no other router die recently;
 * otherwise the recovery becomes uncertain. IS_WITNESS is whether it may be a witness, see above. A
 * second report of a router changes nothing. */
void dy_recovery_report (DyRecovery *recovery,
                         uint64_t origin_id,
                         int64_t charged_tokens,
                         int64_t replicated_tokens,
                         bool was_present,
                         bool is_witness);

/* Returns whether the given router incarnation has reported. */
bool dy_recovery_has_reported (const DyRecovery *recovery, uint64_t origin_id);

/* Records the members listed now. If one that was listed earlier is missing, the recovery becomes
 * uncertain, unless that member is the holder. */
void dy_recovery_update_members (DyRecovery *recovery, const DyMembers *members);

/* Returns whether the delay has passed and all MEMBERS have reported. This router is not among
 * them, and the holder's VM is not waited for. */
bool dy_recovery_complete (const DyRecoveries *recoveries,
                           const DyRecovery *recovery,
                           const DyMembers *members,
                           int64_t now_us);

#endif
