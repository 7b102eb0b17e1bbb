#ifndef DY_CORE_RECOVERY_H
#define DY_CORE_RECOVERY_H

/**
 * NAME
 *   recovery - collects what a holder that is gone had charged, and frees its unspent grant
 *
 * DESCRIPTION
 *   The home of the account asks every member for its usage of the holder. When all have told, the
 *   holder's row gets what it lacks. If every member was there while the holder lived, nobody else
 *   can have drawn on the row: it is closed and its rest becomes free. Otherwise, or when another
 *   router left within ten minutes, a router may be gone without having told, so the rest stays set
 *   aside until an operator releases it.
 *
 *   A holder counts as gone only when its VM is no longer listed or answers as another incarnation.
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
  char holder_name[DY_HOLDER_NAME_SIZE]; /* empty: not known */
  GArray *totals;                        /* of DyLedgerPart, by reporting router */
  GHashTable *heard;                     /* incarnations that reported */
  GHashTable *listed;                    /* names of members seen since the start */
  bool uncertain;
  bool writing;
  int64_t started_us;
  int64_t asked_us;
} DyRecovery;

typedef struct
{
  GHashTable *table; /* set of DyRecovery */
  int64_t delay_us;  /* shortest time from the start to closing a row, above the VM list's lag */
} DyRecoveries;

void dy_recoveries_init (DyRecoveries *recoveries, int64_t delay_us);
void dy_recoveries_finish (DyRecoveries *recoveries);

DyRecovery *
dy_recoveries_find (const DyRecoveries *recoveries, uint64_t holder_id, const char *account);

/* Starts the recovery unless it runs. */
DyRecovery *dy_recoveries_get (DyRecoveries *recoveries,
                               uint64_t holder_id,
                               const char *account,
                               int64_t now_us);
void dy_recoveries_remove (DyRecoveries *recoveries, DyRecovery *recovery);

/* The router ENTRY_ID tells that CHARGED_TOKENS were charged for it, and that the holder had told
 * it of NOTED_TOKENS for own requests; KNEW: it was there while the holder lived. */
void dy_recovery_report (DyRecovery *recovery,
                         uint64_t origin_id,
                         int64_t charged_tokens,
                         int64_t replicated_tokens,
                         bool was_present);

bool dy_recovery_has_reported (const DyRecovery *recovery, uint64_t origin_id);

/* Notes who is listed now; a member that was and no longer is makes the recovery uncertain. */
void dy_recovery_update_members (DyRecovery *recovery, const DyMembers *members);

/* Returns whether all MEMBERS but this router have reported. */
bool dy_recovery_complete (const DyRecoveries *recoveries,
                           const DyRecovery *recovery,
                           const DyMembers *members,
                           int64_t now_us);

#endif
