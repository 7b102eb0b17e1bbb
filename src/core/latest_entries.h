#ifndef DY_CORE_LATEST_ENTRIES_H
#define DY_CORE_LATEST_ENTRIES_H

/**
 * NAME
 *   latest_entries - the latest ledger entry of each account that the store acknowledged to a
 * router
 *
 * DESCRIPTION
 *   A router tells the others each entry that the store acknowledged to it, before the grants of
 * the entry are spent. So each router has what a store that is restored from an older copy lacks,
 * also of holders that have died.
 */

#include "core/ledger_entry.h"

typedef struct
{
  GHashTable *by_account; /* account to its entry and version */
} DyLatestEntries;

void dy_latest_entries_init (DyLatestEntries *latest);
void dy_latest_entries_finish (DyLatestEntries *latest);

/* Keeps a copy of ENTRY unless one of ACCOUNT with a higher version is known. */
void dy_latest_entries_take (DyLatestEntries *latest,
                             const char *account,
                             uint64_t version,
                             const DyLedgerEntry *entry);

/* Returns the entry of ACCOUNT, or NULL if none is known. */
const DyLedgerEntry *dy_latest_entries_find (const DyLatestEntries *latest, const char *account);

/* Calls VISIT for each known entry. */
void dy_latest_entries_visit (
    const DyLatestEntries *latest,
    void (*visit) (void *ctx, const char *account, uint64_t version, const DyLedgerEntry *entry),
    void *ctx);

#endif
