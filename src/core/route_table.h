#ifndef DY_CORE_ROUTE_TABLE_H
#define DY_CORE_ROUTE_TABLE_H

/**
 * NAME
 *   route_table - routes, services, client accounts and limits of one configuration version
 *
 * DESCRIPTION
 *   A decoder fills the table, which is read-only from then on. A request is matched by its host,
 *   without regard to case, and the longest path prefix; its caller by an API key, which belongs to
 *   at most one client account. A route sends requests to one service, or splits them by weight
 *   between several.
 *
 *   The table owns all strings and structures that its functions return.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef enum
{
  DY_ROUTE_IDEMPOTENT,   /* a request may run more than once */
  DY_ROUTE_AT_MOST_ONCE, /* a request must not run twice */
  DY_ROUTE_STREAM,       /* the answer is an event stream; runs at most once unless resumable */
} DyRouteKind;

typedef struct
{
  char *service;
  uint32_t weight; /* relative to the route's other targets */
} DyRouteTarget;

typedef struct
{
  char *name;   /* NULL: none */
  char *prefix; /* begins and ends with a slash */
  DyRouteKind kind;
  bool resumable; /* a stream may be resumed at another endpoint after the last event received */
  bool is_public; /* callers need no key */
  int64_t timeout_ms;       /* longest time that a caller waits; 0: not limited */
  int64_t target_ms;        /* target for the time to the answer or to the first event; 0: none */
  int64_t max_event_gap_ms; /* target for the longest gap between events; 0: none */
  uint32_t priority;        /* 0 is the most urgent */
  uint32_t max_attempts;    /* attempts that may run, the first one included */
  GArray *targets;          /* of DyRouteTarget */
} DyRoute;

typedef struct
{
  char *name;
  bool has_priority; /* the account's priority overrides the route's */
  uint32_t priority;
  int64_t prepaid_tokens; /* budget; -1: not limited */
} DyRouteAccount;

typedef struct
{
  char *name;
  char *health_path;     /* of the endpoints' health check; NULL: not stated */
  uint32_t event_tokens; /* output tokens per event of a stream */
  int64_t cold_ms;       /* time for which an endpoint is cold after its start; 0: none */
  /* Requests in a thousand seconds that a cold endpoint tolerates; 0: not limited. */
  int64_t cold_per_1000_s;
  bool cold_invalid;     /* one of the two is stated and cannot be used, and counts as not stated */
  int64_t memory_tokens; /* of prompts and answers that an endpoint has room for; 0: not limited */
} DyRouteService;

typedef struct
{
  uint64_t version;
  GHashTable *hosts;       /* lower-case host to a GPtrArray of DyRoute, longest prefix first */
  GHashTable *accounts;    /* name to DyRouteAccount */
  GHashTable *keys;        /* API key to a DyRouteAccount of accounts */
  GHashTable *services;    /* name to DyRouteService */
  uint64_t max_body_bytes; /* of a request; 0: not stated */
  int64_t idle_timeout_ms; /* of callers' connections; 0: not stated */
} DyRouteTable;

void dy_route_table_init (DyRouteTable *table);
void dy_route_table_finish (DyRouteTable *table);

/* Returns a new route of HOST, to be filled in; dy_route_table_sort() must precede any lookup. */
DyRoute *dy_route_table_add_route (DyRouteTable *table, const char *host, const char *prefix);
void dy_route_add_target (DyRoute *route, const char *service, uint32_t weight);
void dy_route_table_sort (DyRouteTable *table);

/* Returns a new account, to be filled in, which replaces one of the same name. */
DyRouteAccount *dy_route_table_add_account (DyRouteTable *table, const char *name);
void dy_route_table_add_key (DyRouteTable *table, const char *key, DyRouteAccount *account);

/* Returns a new service, to be filled in, which replaces one of the same name. */
DyRouteService *dy_route_table_add_service (DyRouteTable *table, const char *name);

/* Returns the route of HOST with the longest prefix of PATH, or NULL. HOST may include a port,
 * which is ignored. */
const DyRoute *dy_route_table_find (const DyRouteTable *table, const char *host, const char *path);

/* Returns the service for a request, chosen by weight with the random number DRAW, or NULL if the
 * route has no targets. */
const char *dy_route_pick_target (const DyRoute *route, uint32_t draw);

/* Returns the account of KEY (may be NULL), or NULL. */
const DyRouteAccount *dy_route_table_account (const DyRouteTable *table, const char *key);

/* Returns the service NAME (may be NULL), or NULL. */
const DyRouteService *dy_route_table_service (const DyRouteTable *table, const char *name);

#endif
