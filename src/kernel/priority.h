#ifndef DY_KERNEL_PRIORITY_H
#define DY_KERNEL_PRIORITY_H

/**
 * NAME
 *   priority - priorities of event watchers
 */

enum
{
  /* Of timers that detect a missing answer. In a turn of the loop they run after the callbacks of
   * sockets, so that an answer which arrived while the loop was busy is read first. */
  DY_PRIORITY_TIMEOUT = -1,
};

#endif
