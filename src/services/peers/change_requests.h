#ifndef DY_SERVICES_PEERS_CHANGE_REQUESTS_H
#define DY_SERVICES_PEERS_CHANGE_REQUESTS_H

/**
 * NAME
 *   change_requests - asks other routers for changes of watched objects, and answers them
 *
 * DESCRIPTION
 *   core/missed_changes.h decides who is asked, when, and what is replied. A request is the object
 *   "watch-wanted/PREFIX":
 *
 *     {"version": n, "changed": n, "objects": n, "router": name}
 *
 *   All changes up to VERSION are known, the latest of them at or before CHANGED, which is VERSION
 *   if it is missing; the router has so many objects. VERSION 0: it lists anew.
 *
 *   The reply is an object "watch-ages/PREFIX", which is not passed on, with the fields that it has
 *   as of object_watch.c, and these:
 *
 *     "answers": VERSION of the request
 *     "router": name of the one that replies
 *     "list": true if all objects follow, with "version"; false if changes do, with "base" and
 *       "base_changed" besides
 *     "parts", "part", "piece": in place of "packed" if that is too long for one message: the
 *       number of parts, the number of this one from 0, and its share of the packed text
 *
 *   A reply without "version" has nothing that the other router could take. Routers of earlier
 *   builds do not reply, which counts as no answer, as with a router that has stopped.
 *
 * ERRORS
 *   A request or reply that is not valid is logged once and otherwise ignored.
 */

#include "core/missed_changes.h"
#include "services/peers/peers.h"

#include <jansson.h>

struct DyObjectWatch;

/* The parts of a reply that have come; they come in order on one connection. */
typedef struct
{
  char router[DY_NAME_SIZE];
  uint64_t version;
  uint32_t n_parts; /* 0: no reply in parts is under way */
  uint32_t n_taken;
  GString *packed;
} DyReplyParts;

/* The latest text that was sent, as most routers that are behind lack the same changes, and packing
 * a large route table takes long. */
typedef struct
{
  uint64_t after;   /* the changes after this version, 0: all objects, */
  uint64_t version; /* up to this one */
  json_t *changes;  /* NULL: there is none, or they are too long */
  char *text;
  bool packed;
} DyReplyText;

typedef struct
{
  struct DyObjectWatch *watch;
  char *key; /* of requests */
  DyMissedChanges missed;
  DyReplyParts parts;
  DyReplyText sent;
} DyChangeRequests;

/* WATCH outlives REQUESTS, and has its kernel, peers and prefix. */
void dy_change_requests_start (DyChangeRequests *requests, struct DyObjectWatch *watch);
void dy_change_requests_stop (DyChangeRequests *requests);

/* Asks a router for changes if that is due. RANK is that of this router among those that ask. */
void dy_change_requests_ask_if_due (DyChangeRequests *requests, uint32_t rank);

/* Takes the reply ROOT, of which "changed" and "age_ms" are natural numbers. */
void dy_change_requests_take_reply (DyChangeRequests *requests,
                                    const json_t *root,
                                    int64_t confirmed_us);

/* Returns whether this router is behind and no other one gives it the changes. */
bool dy_change_requests_are_in_vain (const DyChangeRequests *requests);

#endif
