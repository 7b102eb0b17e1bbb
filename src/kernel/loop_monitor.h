#ifndef DY_KERNEL_LOOP_MONITOR_H
#define DY_KERNEL_LOOP_MONITOR_H

/**
 * NAME
 *   loop_monitor - measures how long each turn of the event loop takes
 *
 * DESCRIPTION
 *   A turn begins when the loop has collected events and ends when it polls for new ones. All that
 *   arrives during a turn waits until it ends. Each turn is added to the histogram LOOP_TURN; the
 *   longest one of a second is logged as LOOP_DELAYED if it exceeds a limit.
 *
 * UNITS
 *   Microseconds of the monotonic clock.
 */

#include "kernel/counters.h"

#include <ev.h>
#include <stdint.h>

typedef struct
{
  struct ev_loop *loop;
  DyCounters *counters;
  int64_t turn_started_us; /* 0: no turn has begun */
  int64_t longest_us;      /* longest turn since the last line */
  int64_t logged_us;
  int64_t busy_us;          /* sum of all turns */
  int64_t longest_since_us; /* longest turn since dy_loop_monitor_take_longest() */
  ev_check turn_start;
  ev_prepare turn_end;
} DyLoopMonitor;

void dy_loop_monitor_init (DyLoopMonitor *monitor, struct ev_loop *loop, DyCounters *counters);
void dy_loop_monitor_finish (DyLoopMonitor *monitor);

/* Returns the microseconds that the longest turn took since the previous call, and starts anew. */
int64_t dy_loop_monitor_take_longest (DyLoopMonitor *monitor);

#endif
