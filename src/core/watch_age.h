#ifndef DY_CORE_WATCH_AGE_H
#define DY_CORE_WATCH_AGE_H

/**
 * NAME
 *   watch_age - bounds the age of what a router knows of the objects that it watches
 *
 * DESCRIPTION
 *   A watch that is not answered may mean that there is no change, or that its answer was lost. So
 *   its silence proves nothing: the age of what a router knows is the time since a call was sent
 *   whose answer contained, or ruled out, a change. A router whose knowledge has reached a certain
 *   age checks: it asks for the changes since the version that it has, without waiting.
 *
 *   Routers tell each other the outcome of their checks, so one of them checks for all: routers
 *   check in an order that all compute alike, each after a longer time than those before it. Only
 *   the first router keeps a watch; it passes the changes on, and so does a router whose check
 *   returns some. A router that learns that a newer change exists checks after a short time, which
 *   differs between routers, unless the change itself arrives before; what that check returns is
 *   passed on to nobody, as it was already.
 *
 *   What another router says of its check has grown older on its way, see core/transit.h.
 *
 *   A check is sent to the store as a short watch. After one that failed, all objects are listed
 *   instead, as the store may answer lists but no watches.
 *
 * UNITS
 *   Times are microseconds; the module reads no clock, the time is passed in as NOW_US. Versions
 *   are those of core/store_version.h.
 */

#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  int64_t step_us;   /* age at which the first router checks */
  int64_t next_us;   /* by which the next ones wait longer */
  uint32_t n_steps;  /* routers of higher ranks wait as long as the one of rank n_steps */
  int64_t spread_us; /* by which their waits differ, so that few of them check at once */
  int64_t max_spread_us;
  int64_t answer_us; /* time within which a watch returns a change that another router knows of */
  int64_t retry_us;  /* between the ends of a failed check and the start of the next one */
} DyWatchAgePolicy;

/* For changes that must be known within 2 s. */
extern const DyWatchAgePolicy dy_watch_age_policy;

/* Returns the policy for changes that must be known BOUND_US after they were made. */
DyWatchAgePolicy dy_watch_age_policy_for (int64_t bound_us);

typedef struct
{
  DyWatchAgePolicy policy;
  uint64_t version;         /* up to which all changes are known; 0: no list was read */
  uint64_t changed_version; /* at or after the latest change up to VERSION, at most VERSION */
  int64_t confirmed_us;     /* time at which there was no later change */
  uint64_t later_version;   /* of the latest change that another router knows of */
  int64_t behind_us;        /* since when a later change is known to exist; 0: none is */
  int64_t failed_us;        /* time of the latest failure */
  uint32_t n_failures;      /* consecutive failed checks */
  bool check_fails;         /* the router that reported the later change had to list */
} DyWatchAge;

typedef enum
{
  DY_WATCH_AGE_FRESH, /* nothing is to be done */
  DY_WATCH_AGE_CHECK, /* the changes since VERSION are to be asked for */
  DY_WATCH_AGE_LIST,  /* all objects are to be listed */
} DyWatchAgeAction;

void dy_watch_age_init (DyWatchAge *age, const DyWatchAgePolicy *policy);

/* Records the answer to a call of this router that was sent at SENT_US: all changes up to VERSION
 * are known, the latest of them is of CHANGED_VERSION or before it; 0: the answer had none. For
 * a list, see dy_watch_age_list_change(). Returns false, and changes nothing, if the answer is
 * older than what is known. */
bool dy_watch_age_record_answer (DyWatchAge *age,
                                 uint64_t version,
                                 uint64_t changed_version,
                                 int64_t sent_us);

/* Returns the version at or after the latest change since the known version by a list of VERSION,
 * or 0 if there was none. LATEST is the highest version of a listed object. SAME_NUMBER is whether
 * as many objects are listed as were known: a list does not show when others were removed. */
uint64_t dy_watch_age_list_change (const DyWatchAge *age,
                                   uint64_t version,
                                   uint64_t latest,
                                   bool same_number);

/* Records that a check failed. */
void dy_watch_age_record_failure (DyWatchAge *age, int64_t now_us);

/* Records what another router says: at CONFIRMED_US there was no change after CHANGED_VERSION.
 * BY_LIST is whether it had to list all objects to know it. CONFIRMED_US is INT64_MIN / 2 if it is
 * not known for how long the message was on its way: it then shows only that there are changes. */
void dy_watch_age_record_peer (
    DyWatchAge *age, uint64_t changed_version, int64_t confirmed_us, bool by_list, int64_t now_us);

/* Records that another router knows all changes up to VERSION, the latest of them at or before
 * CHANGED_VERSION. A router that knows that one knows as much. */
void dy_watch_age_record_peer_version (DyWatchAge *age, uint64_t changed_version, uint64_t version);

/* Returns whether the router may take changes from another one: all those after the version BASE up
 * to VERSION. CHANGED_VERSION is at or after the latest change up to BASE. If not, changes would be
 * missed, or applied a second time in another order. */
bool dy_watch_age_may_take (const DyWatchAge *age,
                            uint64_t base,
                            uint64_t changed_version,
                            uint64_t version);

/* Returns how the router can have what it knows confirmed now, DY_WATCH_AGE_FRESH: not at all, as
 * it has read no list or a check failed a moment ago. */
DyWatchAgeAction dy_watch_age_next_call (const DyWatchAge *age, int64_t now_us);

/* Returns what the router is to do that has RANK in the order of routers, from 0. WAITING is
 * whether changes are expected without a further call of this router: a watch of its own is in
 * progress, or other routers pass changes on. */
DyWatchAgeAction
dy_watch_age_decide (const DyWatchAge *age, uint32_t rank, bool waiting, int64_t now_us);

#endif
