#ifndef DY_CORE_MEMBERS_H
#define DY_CORE_MEMBERS_H

/**
 * NAME
 *   members - the routers of the fleet and the home of each client account
 *
 * DESCRIPTION
 *   A member is listed by the platform, not leaving, and heard from lately. The home of an
 *   account is the member with the highest rendezvous hash; it keeps the account's reservations
 *   in one place. Two routers may disagree about the home for a while: that costs tokens granted
 *   twice as far ahead, never overspend.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  char *name;
  char *address; /* for peers */
  char *data_centre;
  bool leaving;            /* by the platform's list */
  bool draining;           /* by its own heartbeats */
  bool has_platform;       /* its calls to the platform succeed, by its own heartbeats */
  uint64_t incarnation_id; /* 0: not heard from yet */
  int64_t last_heartbeat_us;
  uint64_t name_hash;
} DyMember;

typedef struct
{
  char *self_name;
  int64_t timeout_us;
  GHashTable *by_name; /* of DyMember */
  bool self_leaving;
  bool self_has_platform;
  bool listed;  /* the list of members was read */
  bool joining; /* this router has just started and does not know yet whom it reaches */
} DyMembers;

void dy_members_init (DyMembers *members, const char *self_name, int64_t timeout_us);
void dy_members_finish (DyMembers *members);

/* Adds or updates a listed member. */
void dy_members_put (DyMembers *members,
                     const char *name,
                     const char *address,
                     const char *data_centre,
                     bool leaving);

/* Removes NAME, which the platform no longer lists. */
void dy_members_remove (DyMembers *members, const char *name);

/* Records a heartbeat. */
void dy_members_record_heartbeat (
    DyMembers *members, const char *name, uint64_t incarnation_id, bool leaving, int64_t now_us);

/* Records that the connection to NAME is lost. */
void dy_members_disconnected (DyMembers *members, const char *name);

const DyMember *dy_members_find (const DyMembers *members, const char *name);

/* Returns the home of ACCOUNT, not counting SKIP (may be NULL); NULL means this node, which has
 * nobody better. */
const DyMember *
dy_members_home (const DyMembers *members, const char *account, const char *skip, int64_t now_us);

/* Returns whether dy_members_home() would be the same if all listed members were reached: false
 * while this router joins and the one that is to be the home of ACCOUNT is not reached yet. */
bool dy_members_home_is_known (const DyMembers *members, const char *account, int64_t now_us);

/* Returns whether the router NAME, if it is alive, is the home of ACCOUNT rather than this one. */
bool dy_members_ranks_above (const DyMembers *members, const char *account, const char *name);

/* Records whether the router NAME, or this one, reaches the platform. */
void dy_members_set_platform (DyMembers *members, const char *name, bool has_platform);

/* Returns whether this router is to look often for a platform that it does not reach: another one
 * reaches it, or this is one of the first few that are to find out for all. */
bool dy_members_is_prober (const DyMembers *members, int64_t now_us);

/* Like dy_members_home(), but routers that reach the platform go before those that do not. */
const DyMember *dy_members_home_with_platform (const DyMembers *members,
                                               const char *account,
                                               const char *skip,
                                               int64_t now_us);

/* Returns the best home of ACCOUNT among the other members but SKIP (may be NULL), or NULL when
 * there is none. */
const DyMember *dy_members_other_home (const DyMembers *members,
                                       const char *account,
                                       const char *skip,
                                       int64_t now_us);

/* Returns whether all listed members are connected. */
bool dy_members_all_connected (const DyMembers *members);

/* Returns the number of members, this node included. */
uint32_t dy_members_count (const DyMembers *members, int64_t now_us);

#endif
