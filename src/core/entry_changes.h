#ifndef DY_CORE_ENTRY_CHANGES_H
#define DY_CORE_ENTRY_CHANGES_H

/**
 * NAME
 *   entry_changes - what one version of a ledger entry has changed in an earlier one
 *
 * DESCRIPTION
 *   Most writes of a ledger entry change one or two of its rows, of which there is one for each
 *   router that serves the account and for each that died. Routers tell each other their writes as
 *   changes: an entry that has the changed rows only and all other fields in full, and the holders
 *   whose rows were removed.
 */

#include "core/ledger_entry.h"

typedef struct
{
  DyLedgerEntry entry; /* its rows and parts are those of changed and added rows */
  GArray *removed;     /* of uint64_t: holders whose rows were removed */
} DyEntryChanges;

void dy_entry_changes_init (DyEntryChanges *changes);
void dy_entry_changes_finish (DyEntryChanges *changes);

/* Sets CHANGES, which is empty, to what ENTRY has changed in BASE. */
void dy_entry_changes_compute (DyEntryChanges *changes,
                               const DyLedgerEntry *base,
                               const DyLedgerEntry *entry);

/* Makes the changes in ENTRY, which is the one that they were computed from. */
void dy_entry_changes_apply (const DyEntryChanges *changes, DyLedgerEntry *entry);

#endif
