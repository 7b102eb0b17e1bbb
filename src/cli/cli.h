#ifndef DY_CLI_CLI_H
#define DY_CLI_CLI_H

/**
 * NAME
 *   cli - options, blocking calls and subcommands of the operators' command line
 *
 * DESCRIPTION
 *   dogwoodyoke, the program, parses its arguments into a DyCli and runs one subcommand. A
 *   subcommand reads and writes the platform's objects (declarations and ledger entries) and calls
 *   the operator interface of routers. Results go to standard output, errors to standard error.
 *
 *   Calls are synchronous and run one at a time: each runs the event loop until the answer is
 *   complete or timeout_ms has passed.
 *
 * ERRORS
 *   A subcommand returns DY_OK or an error of kernel/error.h, whose exit_code becomes the exit
 *   code of the program. Calls to the platform report its errors, see services/platform.h.
 */

#include "net/http_client.h"
#include "services/platform.h"

#include <ev.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  const char *platform_url; /* base URL of the platform's object API */
  GPtrArray *routers;       /* operator addresses ("host:port") given by --router */
  bool json;                /* print JSON lines */
  bool wait;                /* apply: wait until each router has the declarations in force */
  bool prune;               /* apply: remove declarations that are not in the folder */
  bool rebase;              /* apply: replace the current versions of the platform */
  int64_t timeout_ms;       /* time limit of one call, and of the wait of apply */
  const char *operation_id; /* topup: idempotency key; NULL: generate one */
  char **args;              /* arguments of the subcommand, ended by NULL */
  int n_args;

  struct ev_loop *loop;
  DyCounters counters;
  DyPlatform platform;
  DyHttpClient client;
} DyCli;

typedef struct
{
  int error;        /* DY_OK or a negative error number */
  uint64_t version; /* version of the object or of the list, 0 when none is known */
  char *value;      /* text of the object or body of the router's answer; may be NULL */
  GArray *objects;  /* DyObject, owning their keys and values; NULL for a router's answer */
} DyCliReply;

typedef struct
{
  const char *name;
  const char *usage; /* names of the arguments */
  const char *help;  /* one line for --help */
  int min_args;
  int max_args;
  int (*run) (DyCli *cli);
} DyCliCommand;

/* Table of the subcommands, ended by a NULL name. */
extern const DyCliCommand dy_cli_commands[];

/* Read an object, write one, and list all objects under PREFIX. VALUE NULL removes the object;
 * EXPECTED is the version to replace, 0 if the object must not exist. Free the reply with
 * dy_cli_reply_finish(). */
DyCliReply dy_cli_get_object (DyCli *cli, const char *key);
DyCliReply dy_cli_put_object (DyCli *cli, const char *key, const char *value, uint64_t expected);
DyCliReply dy_cli_list_objects (DyCli *cli, const char *prefix);
void dy_cli_reply_finish (DyCliReply *reply);

/* Sends a request without a body to the operator interface at the address ROUTER ("host:port").
 * The reply's value is the body of the answer, its error DY_UNAVAILABLE for an HTTP status of 400
 * or above, else that of the HTTP client. Free the reply with dy_cli_reply_finish(). */
DyCliReply
dy_cli_call_router (DyCli *cli, const char *method, const char *router, const char *path);

/* Prints a line to standard error and returns ERROR. */
int dy_cli_fail (int error, const char *format, ...) G_GNUC_PRINTF (2, 3);

/* The subcommands; dy_cli_commands describes each in one line. */
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
