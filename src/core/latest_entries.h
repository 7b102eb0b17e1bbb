#ifndef DY_CORE_LATEST_ENTRIES_H
#define DY_CORE_LATEST_ENTRIES_H

/**
 * NAME
 *   latest_entries - the latest ledger entry of each account that is known to be acknowledged
 *
 * DESCRIPTION
 *   A router tells the others each entry that the store acknowledged to it, before the grants of
 *   the entry are spent. So each router has what a store that is restored from an older copy lacks,
 *   also of holders that have died. The latest entry of each era is kept: one that was written
 *   since a restore may lack what one of before has.
 */

#include "core/ledger_entry.h"

typedef struct
{
  GHashTable *by_era; /* era of the store to a table of account to its entry and version */
} DyLatestEntries;

void dy_latest_entries_init (DyLatestEntries *latest);
void dy_latest_entries_finish (DyLatestEntries *latest);

/* Keeps a copy of ENTRY unless one of ACCOUNT with a higher version of the same era is known. */
void dy_latest_entries_take (DyLatestEntries *latest,
                             const char *account,
                             uint64_t version,
                             const DyLedgerEntry *entry);

/* Returns the latest entry of ACCOUNT that was written in ERA and sets VERSION, or returns NULL if
 * none is known. */
const DyLedgerEntry *dy_latest_entries_find (const DyLatestEntries *latest,
                                             const char *account,
                                             uint64_t era,
                                             uint64_t *version);

/* Returns the latest entry of ACCOUNT that was written before ERA, or NULL if none is known. */
const DyLedgerEntry *
dy_latest_entries_find_before (const DyLatestEntries *latest, const char *account, uint64_t era);

/* Calls VISIT for each known entry. */
void dy_latest_entries_visit (
    const DyLatestEntries *latest,
    void (*visit) (void *ctx, const char *account, uint64_t version, const DyLedgerEntry *entry),
    void *ctx);

#endif
