#ifndef TEST_SUPPORT_FLEET_H
#define TEST_SUPPORT_FLEET_H

/* Real processes on loopback: the stand-ins and the routers of one test.
 *
 * Programs are found in the folder of the environment variable DY_BIN, the example declarations in
 * DY_EXAMPLES. All waits are for lines that the processes print or for their ends. */

#include "support/relay.h"

#include <ev.h>
#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

enum
{
  FLEET_MAX_ROUTERS = 9,
  FLEET_MAX_ENGINES = 4,
};

typedef struct Fleet Fleet;

typedef struct
{
  Fleet *fleet;
  char *name;
  pid_t pid; /* 0: not running */
  int fd;    /* its output */
  GString *output;
  size_t scanned;
  ev_io io;
  ev_child child;
  int exit_status;
} FleetProcess;

struct Fleet
{
  struct ev_loop *loop;
  char *dir;
  char *platform;
  char *callers[FLEET_MAX_ROUTERS + 1]; /* addresses, NULL at the end */
  char *operators[FLEET_MAX_ROUTERS + 1];
  char *peers[FLEET_MAX_ROUTERS + 1];
  char *relays[FLEET_MAX_ROUTERS + 1]; /* at which routers reach each other */
  Relay relay[FLEET_MAX_ROUTERS];
  char *engines[FLEET_MAX_ENGINES + 1];
  char *service;
  FleetProcess platform_process;
  FleetProcess router_process[FLEET_MAX_ROUTERS];
  FleetProcess engine_process[FLEET_MAX_ENGINES];
  FleetProcess service_process;
  uint32_t n_routers;
  uint32_t n_engines;
  uint32_t token_us;
};

typedef struct
{
  uint32_t n_routers;
  uint32_t n_engines;
  uint32_t token_us;          /* between the engines' tokens */
  bool relayed;               /* routers reach each other through relays that can be cut */
  const char *extra_settings; /* INI text added to each router's settings; may be NULL */
} FleetSpec;

/* Starts everything, applies the example declarations and waits until all routers are ready and
 * know each other. Returns whether it worked. */
bool fleet_init (Fleet *fleet, const FleetSpec *spec);
void fleet_finish (Fleet *fleet);

/* Returns a new "ip:port" text that nothing listens on, or the path of a built program. */
char *fleet_free_address (void);
char *fleet_program (const char *name);

/* Starts the program ARGV[0] as PROCESS, or ends it and forgets its output. */
bool fleet_spawn (Fleet *fleet, FleetProcess *process, const char *name, char **argv);
void fleet_kill (FleetProcess *process);

/* Starts router I as PROCESS, or starts it again, with the settings file of that number in DIR. */
bool fleet_start_daemon (Fleet *fleet, FleetProcess *process, const char *dir, uint32_t i);

/* Starts router I again, with the same settings. */
bool fleet_start_router (Fleet *fleet, uint32_t i);

/* Waits until PROCESS has printed a line with TEXT that no former wait has seen. */
bool fleet_wait_line (FleetProcess *process, const char *text);

/* Sends SIGNAL to PROCESS; fleet_wait_exit() waits for its end. */
void fleet_signal (FleetProcess *process, int signal);
bool fleet_wait_exit (FleetProcess *process);

/* Cuts all routers off from each other, or heals that and waits until they know each other. */
void fleet_partition (Fleet *fleet);
bool fleet_heal (Fleet *fleet);

/* Shuts all routers down gracefully, so that all that they settled is written. */
bool fleet_drain (Fleet *fleet);

/* Runs the command line with ARGS (NULL at the end), returns its exit code. OUTPUT may be NULL. */
int fleet_cli (Fleet *fleet, const char *const *args, char **output);

typedef struct
{
  const char *method;
  const char *address;
  const char *path;
  const char *const *headers; /* NULL at the end; may be NULL */
  const char *body;           /* may be NULL */
} FleetRequest;

/* Sends REQUEST and returns the HTTP status, 0 when no whole answer came. ANSWER, which may be
 * NULL, gets the JSON of the body, or NULL. */
unsigned fleet_request (Fleet *fleet, const FleetRequest *request, json_t **answer);

/* Calls a stand-in or router and returns the JSON of its answer, or NULL. */
json_t *fleet_call (
    Fleet *fleet, const char *method, const char *address, const char *path, const char *body);

/* Runs the loop until CHECK returns true, trying again every few milliseconds. */
bool fleet_wait_until (Fleet *fleet, bool (*check) (void *ctx), void *ctx);

/* Returns FIELD of the ledger entry of ACCOUNT as the command line prints it, -1 on failure. */
int64_t fleet_ledger (Fleet *fleet, const char *account, const char *field);

/* Returns the resident memory of PROCESS in KiB. */
int64_t fleet_resident_kib (const FleetProcess *process);

#endif
