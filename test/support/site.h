#ifndef TEST_SUPPORT_SITE_H
#define TEST_SUPPORT_SITE_H

/* Routers on a stand-in of the users' platform: its store, endpoints, and requests of callers. */

#include "support/fleet.h"

enum
{
  SITE_MAX_ROUTERS = 3,
  SITE_N_WORKERS = 4, /* the first two serve "app", the others "llm" */
};

typedef struct
{
  Fleet fleet; /* of which only loop and helpers are used */
  char *dir;
  char *store;
  char *callers[SITE_MAX_ROUTERS];
  char *ready[SITE_MAX_ROUTERS];
  char *operators[SITE_MAX_ROUTERS];
  char *peers[SITE_MAX_ROUTERS];
  char *workers[SITE_N_WORKERS];
  bool relayed; /* routers reach store and workers through relays */
  char *store_relays[SITE_MAX_ROUTERS];
  char *worker_relays[SITE_N_WORKERS];
  Relay store_relay[SITE_MAX_ROUTERS];
  Relay worker_relay[SITE_N_WORKERS];
  char *run_log; /* file with the id of each run; NULL without relays */
  FleetProcess store_process;
  FleetProcess router_process[SITE_MAX_ROUTERS];
  FleetProcess worker_process[SITE_N_WORKERS];
  uint32_t n_routers;
  uint64_t last_id;
} Site;

typedef struct
{
  const char *method;
  const char *target;
  const char *host;           /* NULL: "h.example" */
  const char *key;            /* NULL: "k1" */
  const char *const *headers; /* further ones, NULL at the end; may be NULL */
  const char *body;           /* may be NULL */
} SiteRequest;

typedef struct
{
  unsigned status;
  bool whole;
  GString *body;
  GString *head; /* "name: value" lines, names in lower case */
  int64_t runs;  /* at all endpoints */
} SiteAnswer;

/* Starts everything and waits until the routers are ready; a million tokens are paid. The second
 * one has relays and a run log, and PREPAID tokens are paid. */
bool site_init (Site *site, uint32_t n_routers);
bool site_init_relayed (Site *site, uint32_t n_routers, int64_t prepaid);
void site_finish (Site *site);

bool site_start_router (Site *site, uint32_t i);
bool site_start_worker (Site *site, uint32_t i);

/* Waits until router I answers STATUS at its readiness address. */
bool site_wait_ready (Site *site, uint32_t i, unsigned status);

/* Writes the route table as VERSION, with EXTRA (JSON text of a further route, may be NULL) and
 * PREPAID tokens of the account "acct". */
bool site_put_routes (Site *site, int version, const char *extra, int64_t prepaid);

/* Writes the record of worker I; SPEC replaces it when not NULL. */
bool site_put_worker (Site *site, uint32_t i, const char *state, const char *spec);

/* Sets faults of the store, see fake_store.c. */
void site_set_store (Site *site, const char *faults);

/* Returns how often the request ID ran at any worker. */
int64_t site_count_runs (Site *site, const char *id);

/* Returns the sum of a number of all workers' /admin/stats. */
int64_t site_worker_stat (Site *site, const char *name);

/* Sends REQUEST to router I and leaves without an answer. */
void site_send_and_disconnect (Site *site, uint32_t i, const SiteRequest *request);

/* Sends REQUEST to router I. */
void site_send (Site *site, uint32_t i, const SiteRequest *request, SiteAnswer *answer);
void site_answer_finish (SiteAnswer *answer);

#endif
