#ifndef DY_CORE_KNOWLEDGE_H
#define DY_CORE_KNOWLEDGE_H

/**
 * NAME
 *   knowledge - whether a router may act on what it knows of objects in the store
 *
 * DESCRIPTION
 *   A router may act on what was confirmed less than a bound ago. What is older may have changed
 *   long since, for two reasons that call for the opposite: the store does not answer, and
 *   requests are to be served all the same, or this router is late. What comes to it waits
 *   behind other bytes on its link, or its event loop has stood still, so that the answer to a
 *   call is on its way, or not even the call.
 *
 *   So an unanswered call shows that the store is away only if the router was on time for a
 *   while as it waited: other things that it asked for meanwhile came back soon. An answer that
 *   refuses the call shows by itself that the store does not serve this router. It may serve
 *   others, who tell what they confirm; so the router must have been on time for long enough to
 *   hear that, and must not have heard of a later change.
 *
 *   A router that knows of a later change of the routes, and gets it from no other router, serves
 *   on by what it has if it is certain that it is cut off from the store: a call since it heard of
 *   the change had no answer at all, and the router was on time as it waited. A store that refuses
 *   its calls is not that: there is a path. Reasons:
 *   it is then not in touch, so that the bound of the routes does not hold for it; its refusals
 *   would send all callers to the few routers that are in touch; and the invariants that have no
 *   bound in time hold by the older routes, too, as a router never goes back to older ones than it
 *   has served by. That the other routers are cut off as well is not enough, as they may have had
 *   the change before. Endpoint records that are behind are not acted on: requests could reach an
 *   endpoint that has left.
 *
 * UNITS
 *   Times are microseconds, INT64_MIN / 2 where nothing happened yet. The module reads no clock;
 *   the time is passed in as NOW_US.
 */

#include <stdbool.h>
#include <stdint.h>

typedef enum
{
  DY_KNOWLEDGE_CURRENT, /* confirmed less than the bound ago */
  DY_KNOWLEDGE_BRIDGED, /* older, as the store does not answer this router */
  DY_KNOWLEDGE_LATE,    /* older, and it is not known why: not to be acted on */
} DyKnowledge;

typedef struct
{
  int64_t confirmed_us; /* there was no later change then */
  int64_t bound_us;
  bool behind;       /* a later change is known to exist, by another router */
  int64_t behind_us; /* if so, since when */
  bool in_vain;      /* if so, it is of the routes, and no other router gives it */
  int64_t away_us; /* latest time at which a call to the store had failed though this router was on
                      time, or was refused */
  int64_t silent_us;     /* the same of a call that had no answer at all, none having come since */
  int64_t asked_us;      /* sending of the oldest call to the store in progress */
  int64_t call_limit_us; /* usual time limit of calls to the store; 0: none */
  int64_t on_time_since_us; /* this router was on time from here */
  int64_t on_time_until_us; /* to here */
  bool others_away; /* all other routers that are heard from say that they don't reach the store,
                       and nor does this one */
} DyKnowledgeEvidence;

/* What evidence shows; see above. */
typedef struct
{
  bool would_hear; /* this router would have heard of what others confirm */
  bool refused;    /* the store refused a call, or one failed, lately */
  bool unanswered; /* a call to the store has no answer */
  bool cut_off;    /* a call had no answer at all since this router is behind */
} DyKnowledgeTerms;

DyKnowledgeTerms dy_knowledge_terms (const DyKnowledgeEvidence *evidence, int64_t now_us);
DyKnowledge dy_knowledge_judge (const DyKnowledgeEvidence *evidence, int64_t now_us);

/* Returns whether the router is to open a connection to an endpoint to learn whether it is on time.
 * It asks other routers first, since ASKING_SINCE_US, as a connection costs the endpoint; they
 * don't reply where this router is cut off from them, too. */
bool dy_knowledge_is_probe_due (int64_t on_time_until_us, int64_t asking_since_us, int64_t now_us);

/* Returns whether a call that was sent at ASKED_US and has no answer at NOW_US shows that the store
 * is away. */
bool
dy_knowledge_is_unanswered (const DyKnowledgeEvidence *evidence, int64_t asked_us, int64_t now_us);

#endif
