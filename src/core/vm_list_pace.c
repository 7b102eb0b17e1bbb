#include "core/vm_list_pace.h"

#include <glib.h>

enum
{
  JOINING_WAIT_US = 200 * 1000, /* a router accepts no request before it has joined */
  LACKS_PEER_WAIT_US = 1000 * 1000,
  N_UNCHANGED = 2, /* intervals without a change after which the list is read seldom */
};

int64_t
dy_vm_list_pace_wait_us (const DyVmListPace *pace, const DyVmListState *state)
{
  if (state->joining && (!state->read || !state->lists_self))
    return MIN (JOINING_WAIT_US, pace->interval_us);
  if (state->lacks_peer)
    return MIN (LACKS_PEER_WAIT_US, pace->interval_us);
  if (state->unchanged_us < N_UNCHANGED * pace->interval_us)
    return pace->interval_us;
  return MAX (pace->idle_us, pace->interval_us);
}
