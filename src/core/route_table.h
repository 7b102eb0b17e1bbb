#ifndef DY_CORE_ROUTE_TABLE_H
#define DY_CORE_ROUTE_TABLE_H

/**
 * NAME
 *   route_table - routes, services, client accounts and limits of one configuration version
 *
 * DESCRIPTION
 *   A table is filled by a decoder and then only read. Lookup is by host and longest path prefix;
 *   a key belongs to at most one client account.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef enum
{
  DY_ROUTE_IDEMPOTENT,   /* may run more than once */
  DY_ROUTE_AT_MOST_ONCE, /* must not run twice */
  DY_ROUTE_STREAM,       /* events; at most once unless resumable */
} DyRouteKind;

typedef struct
{
  char *service;
  uint32_t weight;
} DyRouteTarget;

typedef struct
{
  char *name;
  char *prefix; /* begins and ends with a slash */
  DyRouteKind kind;
  bool resumable;           /* a stream may go on at another endpoint after the last event seen */
  bool is_public;           /* needs no key */
  int64_t timeout_ms;       /* longest time that a caller is kept waiting; 0: none */
  int64_t target_ms;        /* time to the answer, or to the first event */
  int64_t max_event_gap_ms; /* longest pause between events that is still in time; 0: not stated */
  uint32_t priority;        /* 0 is the most urgent */
  uint32_t max_attempts;
  GArray *targets; /* of DyRouteTarget */
} DyRoute;

typedef struct
{
  char *name;
  bool has_priority; /* goes before the route's */
  uint32_t priority;
  int64_t prepaid_tokens; /* -1: not limited */
} DyRouteAccount;

typedef struct
{
  char *name;
  uint32_t event_tokens; /* tokens in one event of a stream */
} DyRouteService;

typedef struct
{
  uint64_t version;
  GHashTable *hosts;    /* host to a GPtrArray of DyRoute, longest prefix first */
  GHashTable *accounts; /* name to DyRouteAccount */
  GHashTable *keys;     /* key to the DyRouteAccount of accounts */
  GHashTable *services; /* name to DyRouteService */
  uint64_t max_body_bytes;
  int64_t idle_timeout_ms;
} DyRouteTable;

void dy_route_table_init (DyRouteTable *table);
void dy_route_table_finish (DyRouteTable *table);

/* Returns a new route of HOST, to be filled; dy_route_table_sort() must follow. */
DyRoute *dy_route_table_add_route (DyRouteTable *table, const char *host, const char *prefix);
void dy_route_add_target (DyRoute *route, const char *service, uint32_t weight);
void dy_route_table_sort (DyRouteTable *table);

DyRouteAccount *dy_route_table_add_account (DyRouteTable *table, const char *name);
void dy_route_table_add_key (DyRouteTable *table, const char *key, DyRouteAccount *account);
DyRouteService *dy_route_table_add_service (DyRouteTable *table, const char *name);

/* Returns the route of HOST (a port in it is ignored) with the longest prefix of PATH, or NULL. */
const DyRoute *dy_route_table_find (const DyRouteTable *table, const char *host, const char *path);

/* Returns the service that a request goes to, by weight; POINT is a random number. */
const char *dy_route_pick_target (const DyRoute *route, uint32_t point);

/* Returns the account that holds KEY, or NULL. */
const DyRouteAccount *dy_route_table_account (const DyRouteTable *table, const char *key);

const DyRouteService *dy_route_table_service (const DyRouteTable *table, const char *name);

#endif
