#ifndef DY_CORE_VM_LIST_PACE_H
#define DY_CORE_VM_LIST_PACE_H

/**
 * NAME
 *   vm_list_pace - how long a router waits until it reads the VM list again
 *
 * DESCRIPTION
 *   Routers that start together read the list before all of them are on it, and a list may be older
 *   than that. A router reads it again soon while it lacks the router itself, or a router that has
 *   connected to this one; and seldom once it has not changed for some time, as a new router
 *   connects to all others.
 *
 * UNITS
 *   Times are microseconds; the module reads no clock.
 */

#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  int64_t interval_us; /* between reads while the list changes */
  int64_t idle_us;     /* the same once it has not changed for some time; at least INTERVAL_US */
} DyVmListPace;

typedef struct
{
  bool joining;         /* this router started recently and may not know its members */
  bool read;            /* the list was read at least once */
  bool lists_self;      /* this router is on it */
  bool lacks_peer;      /* a router that is connected to this one is not on it */
  int64_t unchanged_us; /* time since the latest change */
} DyVmListState;

/* Returns the time from the latest read of the list to the next one. */
int64_t dy_vm_list_pace_wait_us (const DyVmListPace *pace, const DyVmListState *state);

#endif
