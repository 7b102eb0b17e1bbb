#ifndef DY_CORE_RESTORE_CHECK_H
#define DY_CORE_RESTORE_CHECK_H

/**
 * NAME
 *   restore_check - whether all grants that a restored store had lost are written again
 *
 * DESCRIPTION
 *   After a restore each router writes the grants again that it knows, and reports that to the
 *   others. What the ledger entries still withhold then was granted to nobody, provided that no
 *   router died that may have had a grant, and that at least one router was there long enough to
 *   know of such deaths.
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
  bool deaths;     /* another router died in the time whose writes may be lost, or later */
  bool was_there;  /* this router has run since before that time */
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
                                const DyMembers *members);

#endif
