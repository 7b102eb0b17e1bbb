#include "cli/cli.h"
#include "kernel/error.h"
#include "services/platform_http.h"

#include <argp.h>
#include <curl/curl.h>
#include <string.h>

const char *argp_program_version = "dogwoodyoke 0.1.0";

enum
{
  OPTION_WAIT = 256,
  OPTION_PRUNE,
  OPTION_REBASE,
  OPTION_OPERATION,
  OPTION_TIMEOUT,
  DEFAULT_TIMEOUT_MS = 10000,
  MAX_TIMEOUT_MS = 3600000,
  MAX_PLATFORM_CALLS_PER_S = 100,
  MAX_ARGUMENTS = 512, /* the request id and the log files of explain */
};

typedef struct
{
  DyCli *cli;
  const DyCliCommand *command;
} Arguments;

static const struct argp_option options[] = {
  { "platform", 'p', "URL", 0, "The object API (http://127.0.0.1:8000)", 0 },
  { "router", 'r', "ADDRESS", 0, "A router's operator address; may be repeated", 0 },
  { "json", 'j', NULL, 0, "Print JSON lines", 0 },
  { "wait", OPTION_WAIT, NULL, 0, "apply: wait until each --router has the declarations in force",
    0 },
  { "prune", OPTION_PRUNE, NULL, 0, "apply: remove declarations that are not in the folder", 0 },
  { "rebase", OPTION_REBASE, NULL, 0, "apply: overwrite the platform's current versions", 0 },
  { "operation", OPTION_OPERATION, "ID", 0,
    "topup: idempotency key; repeats with the same ID count once", 0 },
  { "timeout", OPTION_TIMEOUT, "MS", 0, "Time limit of a call, and of --wait (10000)", 0 },
  { 0 },
};

static const DyCliCommand *
find_command (const char *name)
{
  for (const DyCliCommand *command = dy_cli_commands; command->name; command++)
    if (strcmp (command->name, name) == 0)
      return command;
  return NULL;
}

static void
parse_argument (Arguments *args, char *value, struct argp_state *state)
{
  DyCli *cli = args->cli;
  if (!args->command)
    {
      args->command = find_command (value);
      if (!args->command)
        argp_error (state, "unknown command '%s'", value);
      return;
    }
  if (cli->n_args == args->command->max_args)
    argp_error (state, "%s %s: too many arguments", args->command->name, args->command->usage);
  cli->args[cli->n_args++] = value;
}

static error_t
parse_option (int key, char *value, struct argp_state *state)
{
  Arguments *args = state->input;
  DyCli *cli = args->cli;
  switch (key)
    {
    case 'p':
      cli->platform_url = value;
      return 0;
    case 'r':
      g_ptr_array_add (cli->routers, value);
      return 0;
    case 'j':
      cli->json = true;
      return 0;
    case OPTION_WAIT:
      cli->wait = true;
      return 0;
    case OPTION_PRUNE:
      cli->prune = true;
      return 0;
    case OPTION_REBASE:
      cli->rebase = true;
      return 0;
    case OPTION_OPERATION:
      cli->operation_id = value;
      return 0;
    case OPTION_TIMEOUT:
      if (!g_ascii_string_to_signed (value, 10, 1, MAX_TIMEOUT_MS, &cli->timeout_ms, NULL))
        argp_error (state, "--timeout: '%s' is not an integer from 1 to %d", value, MAX_TIMEOUT_MS);
      return 0;
    case ARGP_KEY_ARG:
      parse_argument (args, value, state);
      return 0;
    case ARGP_KEY_END:
      if (!args->command)
        argp_error (state, "a command is required");
      else if (cli->n_args < args->command->min_args)
        argp_error (state, "usage: %s %s", args->command->name, args->command->usage);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

/* argp help filter: lists the commands and the exit codes below the options. */
static char *
filter_help (int key, const char *text, void *input)
{
  (void) input;
  if (key != ARGP_KEY_HELP_POST_DOC)
    return (char *) text;
  GString *out = g_string_new ("Commands:\n");
  for (const DyCliCommand *command = dy_cli_commands; command->name; command++)
    g_string_append_printf (out, "  %-7s %-15s %s\n", command->name, command->usage, command->help);
  g_string_append (
      out, "\nExit codes: 0 done, 2 bad input, 3 conflict, 4 unauthorized, 5 budget, 6 not found,"
           " 7 unavailable, 8 failed, 64 usage.\n");
  return g_string_free (out, FALSE);
}

static const struct argp arguments = { options,
                                       parse_option,
                                       "COMMAND [ARGUMENT...]",
                                       "Operates a fleet of dogwoodyoke routers.\v",
                                       NULL,
                                       filter_help,
                                       NULL };

int
main (int argc, char **argv)
{
  char *arg_values[MAX_ARGUMENTS + 1] = { 0 };
  DyCli cli = { .platform_url = "http://127.0.0.1:8000",
                .timeout_ms = DEFAULT_TIMEOUT_MS,
                .args = arg_values };
  Arguments args = { .cli = &cli };
  cli.routers = g_ptr_array_new ();
  argp_parse (&arguments, argc, argv, 0, NULL, &args);
  curl_global_init (CURL_GLOBAL_ALL);
  cli.loop = ev_default_loop (EVFLAG_AUTO);
  dy_http_client_init (&cli.client, cli.loop);
  dy_platform_init (
      &cli.platform, cli.loop, &cli.counters, MAX_PLATFORM_CALLS_PER_S, &dy_platform_http_ops,
      dy_platform_http_new (cli.loop, cli.platform_url, cli.timeout_ms, cli.timeout_ms));
  int error = args.command->run (&cli);
  dy_platform_finish (&cli.platform);
  dy_http_client_finish (&cli.client);
  g_ptr_array_unref (cli.routers);
  curl_global_cleanup ();
  return dy_error_info (error)->exit_code;
}
