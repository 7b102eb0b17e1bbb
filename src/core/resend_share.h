#ifndef DY_CORE_RESEND_SHARE_H
#define DY_CORE_RESEND_SHARE_H

/**
 * NAME
 *   resend_share - this router's part of the slack of the fleet's resend budget
 *
 * DESCRIPTION
 *   The slack of core/resend.h is that of the entire fleet. Each router may use one part of it, of
 *   as many as there are routers that may run: dy_members_possible_count(). Until it has a part, a
 *   router makes resends only in proportion to its own requests.
 *
 *   A router has a part once all of these hold:
 *     - It has read a list of routers that has itself in it.
 *     - What an earlier process of its name may have spent is out of the window: a window has
 *       passed since the start, or there was no such process.
 *     - Every router that may run counts this one, and what it spent before it did so is out of the
 *       window. One that has sent heartbeats since this one is listed counts it, and says in them
 *       whether its resends in the window are within the part that it has now. One that is not
 *       heard from has read the list within the time limit of a list, or has no part any more.
 *   From then on it has a part while the list that it read last, with itself in it, is not older
 *   than the time limit.
 *
 * UNITS
 *   Times are microseconds; the module reads no clock, the time is passed in as NOW_US.
 */

#include "core/members.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  const DyMembers *members;
  int64_t window_us;     /* of the resend budget */
  int64_t list_limit_us; /* age of the list from which on it does not count */
  int64_t started_us;    /* start of this process */
  bool is_first;         /* no earlier process of this name had a part */
  bool is_alone;         /* there is no list, and there are no other routers */
  bool listed;           /* a list with this router in it was read */
  int64_t listed_us;     /* when the first one was asked for */
  int64_t list_us;       /* when the latest one was asked for */
  GHashTable *heard;     /* name to the state of a router that sent a heartbeat */
  bool begun;            /* this router has had a part */
} DyResendShare;

void dy_resend_share_init (DyResendShare *share,
                           const DyMembers *members,
                           int64_t window_us,
                           int64_t list_limit_us,
                           int64_t now_us);
void dy_resend_share_finish (DyResendShare *share);

/* Records that this router was removed from the list: it has no part until the conditions hold
 * again by a later list. */
void dy_resend_share_restart (DyResendShare *share);

/* Records a read list that was asked for at ASKED_US; LISTS_SELF is whether this router is on it.
 * The others on it are recorded in the members before. */
void dy_resend_share_record_list (DyResendShare *share, bool lists_self, int64_t asked_us);

/* Records a heartbeat of the router NAME; WITHIN is whether it says that it is within its part. */
void dy_resend_share_record_heartbeat (DyResendShare *share,
                                       const char *name,
                                       bool within,
                                       int64_t now_us);

/* Returns whether what earlier processes of this name spent is out of the window, so that this
 * process can say what was spent. */
bool dy_resend_share_knows_own (const DyResendShare *share, int64_t now_us);

/* Returns the number of parts of the slack, of which this router may use one; 0: it has none. */
uint32_t dy_resend_share_parts (DyResendShare *share, int64_t now_us);

#endif
