#include "kernel/loop_monitor.h"

#include "kernel/log.h"

#include <string.h>

enum
{
  LONG_TURN_US = 250 * 1000,
  LOG_INTERVAL_US = 1000 * 1000,
};

static void
on_turn_start (struct ev_loop *loop, ev_check *w, int events)
{
  DyLoopMonitor *monitor = w->data;
  (void) loop;
  (void) events;
  monitor->turn_started_us = g_get_monotonic_time ();
}

static void
on_turn_end (struct ev_loop *loop, ev_prepare *w, int events)
{
  DyLoopMonitor *monitor = w->data;
  (void) loop;
  (void) events;
  if (!monitor->turn_started_us)
    return;
  int64_t now_us = g_get_monotonic_time ();
  int64_t turn_us = now_us - monitor->turn_started_us;
  dy_counters_observe (monitor->counters, DY_HISTOGRAM_LOOP_TURN, turn_us);
  monitor->longest_us = MAX (monitor->longest_us, turn_us);
  monitor->longest_since_us = MAX (monitor->longest_since_us, turn_us);
  monitor->busy_us += turn_us;
  if (now_us - monitor->logged_us < LOG_INTERVAL_US)
    return;
  if (monitor->longest_us > LONG_TURN_US)
    dy_log (DY_EVENT_LOOP_DELAYED, "longest_ms=%" G_GINT64_FORMAT, monitor->longest_us / 1000);
  monitor->logged_us = now_us;
  monitor->longest_us = 0;
}

void
dy_loop_monitor_init (DyLoopMonitor *monitor, struct ev_loop *loop, DyCounters *counters)
{
  memset (monitor, 0, sizeof *monitor);
  monitor->loop = loop;
  monitor->counters = counters;
  ev_check_init (&monitor->turn_start, on_turn_start);
  ev_prepare_init (&monitor->turn_end, on_turn_end);
  monitor->turn_start.data = monitor;
  monitor->turn_end.data = monitor;
  /* First and last of the callbacks of a turn. */
  ev_set_priority (&monitor->turn_start, EV_MAXPRI);
  ev_set_priority (&monitor->turn_end, EV_MINPRI);
  ev_check_start (loop, &monitor->turn_start);
  ev_prepare_start (loop, &monitor->turn_end);
}

int64_t
dy_loop_monitor_take_longest (DyLoopMonitor *monitor)
{
  int64_t longest_us = monitor->longest_since_us;
  monitor->longest_since_us = 0;
  return longest_us;
}

void
dy_loop_monitor_finish (DyLoopMonitor *monitor)
{
  if (!monitor->loop)
    return;
  ev_check_stop (monitor->loop, &monitor->turn_start);
  ev_prepare_stop (monitor->loop, &monitor->turn_end);
  monitor->loop = NULL;
}
