#ifndef DY_CORE_MEMBERS_H
#define DY_CORE_MEMBERS_H

/**
 * NAME
 *   members - the routers of the fleet and the home of each client account
 *
 * DESCRIPTION
 *   A live member is a router that the platform lists, that is not leaving or draining, and that
 *   was heard from, by a heartbeat or anything else that it sent, within the timeout. This router
 *   itself is not in the table, but takes part in the choice of homes unless it is leaving.
 *
 *   The home of an account is the live member with the highest rendezvous hash of the account and
 *   the router's name; it keeps the reservations of the account in one place. Two routers may
 *   disagree about a home while their views of the fleet differ: twice as many tokens may then be
 *   granted in advance, but the account's budget is never overspent. A router that states that it
 * is loaded becomes a home only if all live ones are loaded.
 *
 * UNITS
 *   Times are microseconds; the module reads no clock, the time is passed in as NOW_US.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* What a router states of its load (core/router_load.h). */
typedef struct
{
  int64_t stated_us;     /* time at which it was received; 0: nothing is known */
  bool loaded;           /* it is to get no new duties */
  bool ready;            /* for all reasons but its load */
  uint32_t out_pressure; /* pressure at which it went out of rotation for its load; 0: it did not */
  uint32_t open;         /* requests */
  uint32_t pressure;     /* percent; 100: the limit */
} DyMemberLoad;

typedef struct
{
  char *name;
  char *address;             /* on which it listens for other routers; empty: not known yet */
  char *data_centre;         /* empty: not known yet */
  bool leaving;              /* by the platform's list of VMs */
  bool draining;             /* by its own heartbeats */
  bool has_platform;         /* by its own heartbeats: its calls to the platform succeed */
  uint64_t incarnation_id;   /* 0: not connected */
  int64_t last_heartbeat_us; /* time of its latest heartbeat */
  int64_t last_heard_us;     /* time at which anything last came from it */
  uint64_t name_hash;
  DyMemberLoad load;
} DyMember;

typedef struct
{
  char *self_name;
  int64_t timeout_us;  /* silence after which a member is no longer live */
  GHashTable *by_name; /* name to DyMember, of all routers but this one */
  GHashTable *seen;   /* set of the names of all other routers that were ever listed or connected */
  GHashTable *absent; /* those of SEEN that are no longer listed to the time they were heard last */
  bool self_leaving;
  bool self_has_platform;
  bool self_loaded; /* as DyMemberLoad.loaded */
  bool listed;      /* at least one member was listed */
  bool joining;     /* this router started recently; connections to others may still be missing */
} DyMembers;

void dy_members_init (DyMembers *members, const char *self_name, int64_t timeout_us);
void dy_members_finish (DyMembers *members);

/* Adds or updates a listed member. This router's own name is not added to the table. */
void dy_members_put (DyMembers *members,
                     const char *name,
                     const char *address,
                     const char *data_centre,
                     bool leaving);

/* Removes NAME, which the platform no longer lists. */
void dy_members_remove (DyMembers *members, const char *name, int64_t now_us);

/* Records a heartbeat of the member NAME, which connects it; LEAVING is whether it drains. Ignored
 * if NAME is not listed. */
void dy_members_record_heartbeat (
    DyMembers *members, const char *name, uint64_t incarnation_id, bool leaving, int64_t now_us);

/* Records that something came from the member NAME. Ignored if NAME is not listed. */
void dy_members_record_contact (DyMembers *members, const char *name, int64_t now_us);

/* Records that the connection to the member NAME was lost. */
void dy_members_disconnected (DyMembers *members, const char *name);

/* Records what the member NAME states of its load, until it is disconnected. Ignored if NAME is not
 * listed. */
void dy_members_record_load (DyMembers *members, const char *name, const DyMemberLoad *load);

/* Returns whether MEMBER stated its load, and not too long ago. */
bool dy_members_load_is_known (const DyMember *member, int64_t now_us);

/* Returns whether MEMBER is to get no new duties while other routers can have them. */
bool dy_members_is_loaded (const DyMember *member, int64_t now_us);

/* Returns the listed member NAME, live or not; NULL if it is not listed or is this router. */
const DyMember *dy_members_find (const DyMembers *members, const char *name);

/* Returns the home of ACCOUNT, leaving out the member SKIP (may be NULL). Returns NULL if this
 * router is the home, also if it is leaving and there is no other live member. */
const DyMember *
dy_members_home (const DyMembers *members, const char *account, const char *skip, int64_t now_us);

/* Returns whether dy_members_home() would be the same if all listed members were connected. False
 * only while this router joins: if the list was not read, if a member that would rank higher as the
 * home of ACCOUNT is not connected yet, or if other members are listed and none is connected. */
bool dy_members_home_is_known (const DyMembers *members, const char *account, int64_t now_us);

/* Returns whether the router NAME precedes this one in the choice of the home of ACCOUNT, be it
 * live or not. */
bool dy_members_ranks_above (const DyMembers *members, const char *account, const char *name);

/* Returns the number of live members, this router left out, that precede it in an order for KEY
 * that all routers compute alike; UINT32_MAX if this router is leaving. */
uint32_t dy_members_rank (const DyMembers *members, const char *key, int64_t now_us);

/* Returns the number of routers that precede this one in the order of dy_members_rank() for KEY, of
 * those that dy_members_possible_count() counts. */
uint32_t dy_members_possible_rank (const DyMembers *members, const char *key);

/* Like dy_members_rank(), of the live members that reach the platform, of which the loaded ones
 * come last. */
uint32_t dy_members_platform_rank (const DyMembers *members, const char *key, int64_t now_us);

/* Stores the names of up to MAX live members in NAMES, this router left out, those first in the
 * order of dy_members_rank() for KEY; they are valid until MEMBERS changes. Returns how many. */
uint32_t dy_members_first (
    const DyMembers *members, const char *key, int64_t now_us, const char **names, uint32_t max);

/* Records whether calls of the router NAME, which may be this one, to the platform succeed. */
void dy_members_set_platform (DyMembers *members, const char *name, bool has_platform);

/* Returns whether this router, which does not reach the platform, is to probe it at the short
 * interval: if another live member reaches the platform, or if this router is one of the few that
 * probe for the fleet, those with the lowest hashes of their names. */
bool dy_members_is_prober (const DyMembers *members, int64_t now_us);

/* Like dy_members_home(), but prefers routers that reach the platform to those that do not. */
const DyMember *dy_members_home_with_platform (const DyMembers *members,
                                               const char *account,
                                               const char *skip,
                                               int64_t now_us);

/* Returns the live member with the highest hash for ACCOUNT, of those that are not loaded if there
 * are any, leaving out this router and SKIP (may
 * be NULL), or NULL if there is none. */
const DyMember *dy_members_other_home (const DyMembers *members,
                                       const char *account,
                                       const char *skip,
                                       int64_t now_us);

/* Returns whether members other than this router are live and all of them say that they do not
 * reach the platform. */
bool dy_members_lack_platform (const DyMembers *members, int64_t now_us);

/* Returns whether every other router that may run, of those listed or heard from after SINCE_US, is
 * heard from and says that it does not reach the platform. True if there is none. */
bool dy_members_all_lack_platform (const DyMembers *members, int64_t since_us, int64_t now_us);

/* Returns whether MEMBER is live. */
bool dy_members_is_live (const DyMembers *members, const DyMember *member, int64_t now_us);

/* Returns whether all listed members are connected, leaving ones included. */
bool dy_members_all_connected (const DyMembers *members);

/* Returns the number of live members, including this router unless it is leaving. */
uint32_t dy_members_count (const DyMembers *members, int64_t now_us);

/* Records that the router NAME exists, though it may not be listed yet. */
void dy_members_record_seen (DyMembers *members, const char *name);

/* Returns the number of routers that may run: this one and all that were ever listed or connected
 * to it, be they silent, draining or no longer listed. It never decreases. */
uint32_t dy_members_possible_count (const DyMembers *members);

/* Returns the number of routers of dy_members_possible_count() that were listed or heard from after
 * SINCE_US, this one included, and stores in RANK how many of them precede this one in the order of
 * dy_members_rank() for KEY. */
uint32_t
dy_members_present (const DyMembers *members, const char *key, int64_t since_us, uint32_t *rank);

#endif
