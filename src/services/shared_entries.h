#ifndef DY_SERVICES_SHARED_ENTRIES_H
#define DY_SERVICES_SHARED_ENTRIES_H

/**
 * NAME
 *   shared_entries - routers tell each other the ledger entries that they wrote
 *
 * DESCRIPTION
 *   Each router keeps the latest entries (core/latest_entries) of the accounts whose home it is or
 *   may soon be: the keepers of an account are the first DY_ENTRY_KEEPERS live routers in the order
 *   of its homes, that is all routers of a small fleet. A router tells the keepers each entry that
 *   it wrote, as what it changed in the version before (core/entry_changes). One that lacks that
 *   version asks the sender for the whole entry. When a connection is made, each side names the
 *   versions that it has, and the other asks for those that are later than its own. So a
 *   connection costs little when both know the same, as after a restart of the whole fleet.
 *
 * FORMAT
 *   Objects sent by dy_peers_send_object():
 *   entries/ACCOUNT          {"version": number, "entry": ledger entry}
 *   entry-changes/ACCOUNT    {"version": number, "base": number, "entry": the changed rows and all
 *                            other fields of the entry, "removed": ["hex id of a holder", ...]}
 *   entry-versions           [{"account": name, "version": number}, ...]
 *   entry-wanted             the same, of what the receiver is asked for
 *
 * ERRORS
 *   A message that cannot be read is ignored. A request for an entry that gets no reply is repeated
 *   once a second, to the router that last named the version.
 */

#include "core/reservations.h"
#include "services/peers/peers.h"

enum
{
  DY_ENTRY_KEEPERS = 12,
};

typedef struct
{
  DyKernel *kernel;
  DyPeers *peers;
  DyReservations *reservations; /* which keeps the latest entries */
  GHashTable *wanted;           /* set of entries that other routers were asked for */
} DySharedEntries;

void dy_shared_entries_init (DySharedEntries *shared,
                             DyKernel *kernel,
                             DyPeers *peers,
                             DyReservations *reservations);
void dy_shared_entries_finish (DySharedEntries *shared);

/* Keeps ENTRY of ACCOUNT, which the store acknowledged as VERSION, and tells the keepers. */
void dy_shared_entries_share (DySharedEntries *shared,
                              const char *account,
                              uint64_t version,
                              const DyLedgerEntry *entry);

/* Handles MESSAGE, which came on the connection LINK. Returns false if it is of another kind. */
bool dy_shared_entries_take (DySharedEntries *shared, uint64_t link, const DyMessage *message);

/* Names the versions that this router has to the router NAME. */
void dy_shared_entries_on_up (DySharedEntries *shared, const char *name);

/* Returns the versions that this router has, as in "entry-versions". */
json_t *dy_shared_entries_versions (const DySharedEntries *shared);

/* Repeats requests that got no reply. To be called regularly. */
void dy_shared_entries_tick (DySharedEntries *shared);

#endif
