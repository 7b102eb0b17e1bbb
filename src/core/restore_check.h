#ifndef DY_CORE_RESTORE_CHECK_H
#define DY_CORE_RESTORE_CHECK_H

/**
 * NAME
 *   restore_check - whether all grants that a restored store had lost are written again
 *
 * DESCRIPTION
 *   After a restore each router writes the grants again that it knows, and reports that to the
 *   others. Routers also tell each other the entries that the store acknowledges, so that those who
 *   live write the grants again of those who died. What the ledger entries still withhold then was
 *   granted to nobody, provided that at least one router was there, and in touch, since before the
 *   time whose writes may be lost. A router that is not connected is waited for only for a while:
 * if it lives, it can write its grants again as long as the account has free tokens.
 *
 * UNITS
 *   Times are microseconds; the module reads no clock.
 */

#include "core/members.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* What a router states about the latest restore that it knows. */
typedef struct
{
  uint64_t incarnation_id;
  uint64_t era;    /* of the store since the restore */
  bool reasserted; /* all its grants are written again */
  /* This router has run since before the time whose writes may be lost, and did not lose touch with
   * another one that lived on. */
  bool was_there;
} DyRestoreReport;

typedef struct
{
  GHashTable *reports; /* router name to its latest DyRestoreReport */
} DyRestoreCheck;

void dy_restore_check_init (DyRestoreCheck *check);
void dy_restore_check_finish (DyRestoreCheck *check);

/* Takes the report of the router NAME. */
void dy_restore_check_take (DyRestoreCheck *check, const char *name, const DyRestoreReport *report);

/* Returns whether what the entries withhold may be freed. OWN is this router's own report. */
bool dy_restore_check_complete (const DyRestoreCheck *check,
                                const DyRestoreReport *own,
                                const DyMembers *members,
                                int64_t now_us);

#endif
