#ifndef DY_SERVICES_BUDGETS_H
#define DY_SERVICES_BUDGETS_H

/**
 * NAME
 *   budgets - runs the reservations module on the event loop
 *
 * DESCRIPTION
 *   The reservations module decides without doing any I/O. This service passes it the messages of
 *   the peers, the results of platform calls and the time, and performs its actions: it sends
 *   messages and reads and writes the client accounts' ledger entries on the platform, under the
 *   keys "ledger/ACCOUNT". While the platform is unreachable, the service sets how often this
 *   router probes it.
 *
 * ERRORS
 *   A ledger entry that cannot be decoded is logged and not used. A write that finds another
 *   version of the entry than the one it replaces is counted, logged and reported to the
 *   reservations, which read the entry again.
 */

#include "core/reservations.h"
#include "kernel/kernel.h"
#include "services/peers/peers.h"
#include "services/platform.h"
#include "services/shared_entries.h"

#define DY_SERVICE_BUDGETS "budgets"

typedef struct
{
  DyKernel *kernel;
  DyPlatform *platform;
  DyPeers *peers;
  DyReservations reservations;
  DySharedEntries shared;
  GHashTable *calls; /* set of the platform calls in progress */
  GHashTable *paid;  /* account to its paid tokens by the route table, an int64_t */
  ev_timer tick;
  bool reaches_platform; /* as last reported to the members and the reservations */
} DyBudgets;

/* Sets the total of tokens paid for ACCOUNT by the route table. A ledger entry with a lower total
 * is raised to PAID_TOKENS by the next write, and a missing entry is created. A total lower than an
 * earlier one changes nothing. */
void dy_budgets_set_paid (DyBudgets *budgets, const char *account, int64_t paid_tokens);

/* Adds the service "budgets", whose interface is a DyBudgets. */
void dy_budgets_add_service (DyKernel *kernel, DyBudgets *budgets);

#endif
