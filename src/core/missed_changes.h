#ifndef DY_CORE_MISSED_CHANGES_H
#define DY_CORE_MISSED_CHANGES_H

/**
 * NAME
 *   missed_changes - how a router gets changes from another one that it knows to have missed
 *
 * DESCRIPTION
 *   A router that is behind (core/watch_age.h) and doesn't get the change within a short time asks
 *   other routers for it, one at a time: first those that reported a later version, then other
 *   live ones, which may have it by now; of each those of its own data centre first. The order of
 *   routers differs between those that ask, so that their requests are spread. A router is asked
 *   once in a row of requests; after a row in vain, the next one has longer intervals and, of those
 *   that reported nothing, others.
 *
 *   The router that is asked replies with the changes since the other one's version, if it still
 *   has them, or with all objects. The other one takes changes only if they follow on what it
 *   knows, and a list only if it is of the same era and not older than what it has served by.
 *
 *   After a restore of the store, routers of the earlier era must list from the store: what the
 *   copy lacks is to be treated otherwise than what was removed.
 *
 * LOAD
 *   Fleets of some hundred routers, all of which may be behind at the same time; changes that
 *   follow each other within a tenth of a second. A router sends at most one request in ASK_US.
 *
 * UNITS
 *   Times are microseconds; the module reads no clock, the time is passed in. Versions are those
 *   of core/store_version.h.
 */

#include "core/members.h"
#include "core/message.h"
#include "core/object_history.h"
#include "core/watch_age.h"

enum
{
  DY_MISSED_REPORTERS = 4,
  DY_MISSED_ASKED = 8, /* routers in a row that are asked once each */
  /* A request is not answered with more packed text than a connection takes at once. */
  DY_MISSED_MAX_PARTS = 16,
};

typedef struct
{
  char name[DY_NAME_SIZE]; /* empty: unused */
  uint64_t version;
} DyMissedReporter;

typedef struct
{
  DyMissedReporter reporters[DY_MISSED_REPORTERS]; /* those of the latest versions */
  char asked[DY_MISSED_ASKED][DY_NAME_SIZE];       /* in this row */
  uint32_t n_asked;
  uint32_t n_rows;     /* that were in vain; another one asks others */
  uint32_t n_requests; /* since the latest progress */
  int64_t behind_us;   /* of the watch age as of the latest progress, as VERSION */
  uint64_t version;
  int64_t progress_us; /* when the watch age was last seen to have changed */
  int64_t interval_us; /* between requests */
  int64_t asked_us;    /* time of the latest request, or of the latest part of its reply */
  int64_t spent_bytes; /* of replies to others, less what has been regained since */
  int64_t spent_us;    /* as of this time */
} DyMissedChanges;

/* What the decision needs to know of the fleet. */
typedef struct
{
  const DyMembers *members;
  int64_t now_us;          /* by the clock of MEMBERS */
  const char *data_centre; /* of this router */
  const char *prefix;      /* of the objects */
  uint32_t rank;           /* of this router in the order of those that ask */
} DyMissedFleet;

void dy_missed_changes_init (DyMissedChanges *missed);

/* Records that the router NAME knows all changes up to VERSION. */
void dy_missed_changes_report (DyMissedChanges *missed, const char *name, uint64_t version);

/* Returns the router that is to be asked now, and records that it is; NULL: none is. AGE is what
 * this router knows; SERVED is the latest version that it had, also if AGE has none. The name is
 * valid until the members change. */
const char *dy_missed_changes_decide (DyMissedChanges *missed,
                                      const DyWatchAge *age,
                                      uint64_t served,
                                      const DyMissedFleet *fleet,
                                      int64_t now_us);

/* Records that a part of a reply came that is not its last one. */
void dy_missed_changes_record_part (DyMissedChanges *missed, int64_t now_us);

/* Returns whether no router gives this one the changes that it has missed: it has asked for a
 * while, or there is none that it could ask. */
bool dy_missed_changes_are_out_of_reach (const DyMissedChanges *missed,
                                         const DyWatchAge *age,
                                         int64_t now_us);

typedef enum
{
  DY_MISSED_REPLY_NOTHING, /* this router has nothing that the other one could take */
  DY_MISSED_REPLY_CHANGES,
  DY_MISSED_REPLY_LIST,
} DyMissedReply;

/* A request of another router. */
typedef struct
{
  uint64_t known;     /* up to which it knows all changes; 0: it lists anew */
  uint64_t changed;   /* at or after the latest change up to KNOWN */
  uint32_t n_objects; /* that it has; UINT32_MAX: not stated */
} DyMissedRequest;

/* Returns how to reply to REQUEST; AGE and HISTORY are this router's. Stores in AFTER the version
 * after which the changes are to be sent. */
DyMissedReply dy_missed_changes_reply (const DyWatchAge *age,
                                       const DyObjectHistory *history,
                                       const DyMissedRequest *request,
                                       uint64_t *after);

/* Returns the number of parts in which N_BYTES are sent, each of at most PART_BYTES; 0: they are
 * not sent, as they are too many. */
uint32_t dy_missed_changes_parts (size_t n_bytes, size_t part_bytes);

/* Returns whether this router may reply with N_BYTES more, and counts them if so: what it sends to
 * routers that are behind must not fill its link. */
bool dy_missed_changes_spend (DyMissedChanges *missed, size_t n_bytes, int64_t now_us);

/* Returns whether this router may take a list of all objects as of VERSION from another one. */
bool dy_missed_changes_may_take_list (const DyWatchAge *age, uint64_t served, uint64_t version);

#endif
