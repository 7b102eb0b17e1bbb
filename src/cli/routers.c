#include "cli/cli.h"
#include "kernel/error.h"

#include <jansson.h>
#include <stdio.h>

static void
print_body (const DyCli *cli, const char *router, const char *body)
{
  json_t *root = json_loads (body, 0, NULL);
  if (!root)
    {
      printf ("%s %s", router, body);
      return;
    }
  char *text = json_dumps (root, cli->json ? JSON_COMPACT : JSON_INDENT (2));
  printf ("%s%s%s\n", cli->json ? "" : router, cli->json ? "" : "\n", text);
  free (text);
  json_decref (root);
}

static int
call_routers (DyCli *cli, const char *method, const char *path)
{
  int result = DY_OK;
  if (cli->routers->len == 0)
    return dy_cli_fail (DY_BAD_REQUEST, "--router is required");
  for (guint i = 0; i < cli->routers->len; i++)
    {
      const char *router = g_ptr_array_index (cli->routers, i);
      DyCliReply reply = dy_cli_call_router (cli, method, router, path);
      if (reply.error)
        result = dy_cli_fail (reply.error, "%s: %s", router, dy_error_info (reply.error)->text);
      else
        print_body (cli, router, reply.value);
      dy_cli_reply_finish (&reply);
    }
  return result;
}

int
dy_cli_status (DyCli *cli)
{
  return call_routers (cli, "GET", "/status");
}

int
dy_cli_dump (DyCli *cli)
{
  return call_routers (cli, "GET", "/dump");
}

int
dy_cli_drain (DyCli *cli)
{
  return call_routers (cli, "POST", "/drain");
}
