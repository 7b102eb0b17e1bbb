#ifndef TEST_SUPPORT_VERSIONS_H
#define TEST_SUPPORT_VERSIONS_H

/**
 * NAME
 *   versions - endpoints of several software versions, and streams that callers resume there
 *
 * DESCRIPTION
 *   Endpoint I is worker VERSIONS_FIRST_WORKER + I of a site, the first one of service "llm". Its
 *   events are labelled with its version.
 */

#include "support/site.h"

enum
{
  VERSIONS_FIRST_WORKER = 2,
};

/* How a router goes. */
typedef enum
{
  ROUTER_RUNS_ON,
  ROUTER_STOPS, /* SIGTERM */
  ROUTER_IS_KILLED,
  ROUTER_FREEZES,
  ROUTER_RESTARTS, /* it is killed and started again */
  ALL_ROUTERS_RESTART,
} RouterEnd;

/* Has ROUTER go, and waits until it has. */
void versions_end_router (Site *site, uint32_t router, RouterEnd end);

/* Writes the record of endpoint I, which has VERSION, or removes it. */
void versions_list_endpoint (Site *site, uint32_t i, const char *version);
void versions_remove_endpoint (Site *site, uint32_t i);

/* Sends BODY to PATH of endpoint I. */
void versions_post (Site *site, uint32_t i, const char *path, const char *body);

/* Returns the version, of "v1" to "v3", that made all events of BODY; NULL: there is none, or there
 * are several. */
const char *versions_of_events (const char *body);

/* Resumes the stream that the request ID began at ROUTER, after its second event. ANSWER is freed
 * with site_answer_finish(). */
void versions_resume (Site *site, uint32_t router, const char *id, SiteAnswer *answer);

#endif
