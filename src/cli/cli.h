#ifndef DY_CLI_CLI_H
#define DY_CLI_CLI_H

/**
 * NAME
 *   cli - what the subcommands of the command line share
 *
 * DESCRIPTION
 *   Calls run one at a time; each returns when its answer has come or its time is over. A command
 *   returns DY_OK or an error, whose exit code becomes that of the program.
 */

#include "net/http_client.h"
#include "services/platform.h"

#include <ev.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  const char *platform_url;
  GPtrArray *routers; /* operator addresses */
  bool json;
  bool wait;
  bool prune;
  bool rebase;
  int64_t timeout_ms;
  const char *operation_id;
  char **args; /* of the subcommand, NULL at the end */
  int n_args;

  struct ev_loop *loop;
  DyCounters counters;
  DyPlatform platform;
  DyHttpClient client;
} DyCli;

typedef struct
{
  int error;
  uint64_t version;
  char *value;     /* freed by dy_cli_reply_finish() */
  GArray *objects; /* of DyObject with own texts */
} DyCliReply;

typedef struct
{
  const char *name;
  const char *usage;
  const char *help;
  int min_args;
  int max_args;
  int (*run) (DyCli *cli);
} DyCliCommand;

/* The subcommands, ended by a NULL name. */
extern const DyCliCommand dy_cli_commands[];

DyCliReply dy_cli_get_object (DyCli *cli, const char *key);
DyCliReply dy_cli_put_object (DyCli *cli, const char *key, const char *value, uint64_t expected);
DyCliReply dy_cli_list_objects (DyCli *cli, const char *prefix);
void dy_cli_reply_finish (DyCliReply *reply);

/* Calls a router's operator interface; the reply's value is the body. */
DyCliReply
dy_cli_call_router (DyCli *cli, const char *method, const char *router, const char *path);

/* Prints to standard error and returns ERROR. */
int dy_cli_fail (int error, const char *format, ...) G_GNUC_PRINTF (2, 3);

int dy_cli_check (DyCli *cli);
int dy_cli_apply (DyCli *cli);
int dy_cli_diff (DyCli *cli);
int dy_cli_topup (DyCli *cli);
int dy_cli_ledger (DyCli *cli);
int dy_cli_release (DyCli *cli);
int dy_cli_status (DyCli *cli);
int dy_cli_dump (DyCli *cli);
int dy_cli_drain (DyCli *cli);
int dy_cli_explain (DyCli *cli);

#endif
