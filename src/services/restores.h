#ifndef DY_SERVICES_RESTORES_H
#define DY_SERVICES_RESTORES_H

/**
 * NAME
 *   restores - budgets after a restore of the platform's store
 *
 * DESCRIPTION
 *   Tells the ledgers of this router when the store was restored, reports to the other routers when
 *   its grants are written again, and lets the ledgers free what the entries withhold once all have
 *   reported (see core/restore_check.h). A report is sent as the object "restored/NAME":
 *
 *   {"id": hexadecimal incarnation, "era": number, "reasserted": bool, "was_there": bool}
 */

#include "core/restore_check.h"
#include "services/budgets.h"

#define DY_SERVICE_RESTORES "restores"

typedef struct
{
  DyKernel *kernel;
  DyBudgets *budgets;
  DyRestoreCheck check;
  DyRestoreReport own;
  DyRestoreReport sent; /* own, as last sent to all */
  int64_t noticed_us;   /* monotonic time at which the latest era was noticed */
  int64_t started_us;
  uint64_t released_era;
  ev_timer timer;
} DyRestores;

/* Adds the service "restores". */
void dy_restores_add_service (DyKernel *kernel, DyRestores *restores);

#endif
