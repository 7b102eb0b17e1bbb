#ifndef TEST_SOAK_H
#define TEST_SOAK_H

/**
 * NAME
 *   soak - parts of the randomized soak test
 *
 * DESCRIPTION
 *   soak.c sends the requests, soak_faults.c injects faults and ends them, soak_checks.c checks
 *   what callers and endpoints saw of each request.
 */

#include "net/http_client.h"
#include "support/site.h"

enum
{
  PROMPT_TOKENS = 10,
  OUTPUT_TOKENS = 5, /* one in each event of a stream of fakes/fake_worker.c */
  MAX_ATTEMPTS = 2,  /* set in the routes of support/site.c */
  N_BEHAVIOURS = 6,
  EVACUATION_MS = 2000, /* bound of the routers, shorter than a run */
  /* While endpoints only fall silent: */
  SOUND_DEADLINE_MS = 5000, /* also the timeout of the routes */
  SOUND_EVENTS = 12,        /* of the path "paced" of fakes/fake_worker.c */
};

typedef enum
{
  KIND_IDEMPOTENT,
  KIND_ONCE,
  KIND_STREAM,
  KIND_STREAM_ONCE,
  N_KINDS,
} SoakKind;

typedef struct
{
  const char *method;
  const char *prefix;
  const char *body;
  const char
      *behaviours[N_BEHAVIOURS]; /* of the endpoint (see fakes/fake_worker.c), equally likely */
  const char *sound;             /* the one of an endpoint that only falls silent */
  int64_t max_runs;              /* how often a request may run, at all endpoints */
} SoakKindInfo;

extern const SoakKindInfo soak_kinds[N_KINDS];

typedef struct SoakRecord
{
  char id[32];
  SoakKind kind;
  char *target;
  bool sound; /* no endpoint does more than to fall silent */
  int64_t sent_ms;
  int64_t ended_ms;
  unsigned status; /* HTTP status; 0: no answer began */
  bool complete;   /* the answer is complete */
  bool sent;       /* a router accepted the connection */
  bool reused;     /* sent on a connection that had been used before */
  GString *body;
  const struct SoakRecord *begun; /* whose stream it resumes; NULL: none */
  uint32_t n_before;              /* events of that one */
  uint32_t versions;              /* set of the software versions that made its events, by number */
} SoakRecord;

typedef struct Soak
{
  Site site;
  GRand *rng;
  uint32_t seed;
  DyHttpClient client;
  GPtrArray *records; /* of SoakRecord */
  GHashTable *runs;   /* request id to the number of runs at endpoints */
  uint32_t n_callers;
  int64_t pause_ms; /* most that a caller waits between two requests */
  uint32_t n_open;  /* requests that have not ended */
  bool sending;
  bool sound;            /* endpoints only fall silent */
  const char *evacuated; /* data centre that is evacuated meanwhile */
  int64_t paid_tokens;
  int64_t silent_until_ms[SITE_MAX_WORKERS];
  int64_t cold_until_ms[SITE_MAX_WORKERS];
  int version; /* version of the route table */
  ev_timer faults;
  ev_timer refusals;
  ev_timer end;
  GPtrArray *repairs;              /* pending ones */
  bool starting[SITE_MAX_ROUTERS]; /* soak_start_router() waits for the router */
  bool starting_worker[SITE_MAX_WORKERS];
  bool released;                       /* the endpoints of the second version are listed */
  pid_t terminating[SITE_MAX_ROUTERS]; /* process that got SIGTERM last; 0: none */
  int n_violations;                    /* violated invariants and failed recoveries */
} Soak;

int64_t soak_now_ms (void);

/* Returns the number of events of the whole stream of RECORD, from its first one on. */
uint32_t soak_count_whole (const SoakRecord *record);

/* Starts a router or a worker unless it runs. */
void soak_start_router (Soak *soak, uint32_t i);
void soak_start_worker (Soak *soak, uint32_t i);

/* Gives every second endpoint of "llm" another software version, and lists those no longer. */
void soak_set_versions (Soak *soak);

/* Lists the endpoints of the second version. */
void soak_list_versions (Soak *soak);

/* Writes the next version of the route table. */
void soak_change_routes (Soak *soak, uint32_t i);

/* Ends all evacuations, also those whose writes were delayed; to be called after the delay. */
void soak_end_evacuations (Soak *soak);

/* Evacuates one data centre, for the time in which endpoints only fall silent. */
void soak_begin_evacuation (Soak *soak);

/* Injects faults at random times until soak_stop_faults(). Those that are in force then end later:
 * soak.repairs is empty once they have. */
void soak_start_faults (Soak *soak);
void soak_stop_faults (Soak *soak);

/* Frees an element of soak.repairs. */
void soak_free_repair (gpointer repair);

/* Checks all requests, prints what is wrong and a summary. */
void soak_check_invariants (Soak *soak);

/* Checks that all routers become ready again once all faults have ended. */
void soak_check_recovery (Soak *soak);

/* Checks that the evacuated data centre got no requests after the bound. */
void soak_check_evacuation (Soak *soak);

/* Checks that no router has ended while endpoints were silent. */
void soak_check_alive (Soak *soak);

#endif
