#ifndef DY_CORE_PATIENCE_H
#define DY_CORE_PATIENCE_H

/**
 * NAME
 *   patience - how long a router waits for the answer to a call
 *
 * DESCRIPTION
 *   A router whose link is full gets each answer later than the usual time limit, so it would give
 *   up all calls and learn nothing. A call that timed out at a router that is late says nothing of
 *   the other side, so the next ones may take longer, up to a few times the usual limit. Once calls
 *   are answered well within that, or time out though the router is on time, it holds again.
 *
 * UNITS
 *   Times are microseconds; the module reads no clock.
 */

#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  int64_t usual_us;
  int64_t limit_us; /* for calls that are sent now */
} DyPatience;

void dy_patience_init (DyPatience *patience, int64_t usual_us);

/* Records that a call was given up after WAITED_US. IS_LATE is whether this may be due to the
 * router itself. */
void dy_patience_record_timeout (DyPatience *patience, int64_t waited_us, bool is_late);

/* Records that a call was answered after TOOK_US. */
void dy_patience_record_answer (DyPatience *patience, int64_t took_us);

#endif
