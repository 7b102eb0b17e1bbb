#include "support/versions.h"

#include "support/suite.h"

#include <signal.h>
#include <string.h>

void
versions_end_router (Site *site, uint32_t router, RouterEnd end)
{
  FleetProcess *process = &site->router_process[router];
  switch (end)
    {
    case ROUTER_RUNS_ON:
      break;
    case ROUTER_STOPS:
      fleet_signal (process, SIGTERM);
      ck_assert (fleet_wait_exit (process));
      break;
    case ROUTER_IS_KILLED:
      fleet_kill (process);
      break;
    case ROUTER_FREEZES:
      fleet_signal (process, SIGSTOP);
      break;
    case ROUTER_RESTARTS:
      ck_assert (site_start_router (site, router) && site_wait_ready (site, router, 200));
      break;
    case ALL_ROUTERS_RESTART:
      ck_assert (site_restart_routers (site));
      break;
    }
}

void
versions_post (Site *site, uint32_t i, const char *path, const char *body)
{
  FleetRequest request = { .method = "POST",
                           .address = site->workers[VERSIONS_FIRST_WORKER + i],
                           .path = path,
                           .body = body };
  ck_assert_uint_eq (fleet_request (&site->fleet, &request, NULL), 200);
}

void
versions_list_endpoint (Site *site, uint32_t i, const char *version)
{
  uint32_t worker = VERSIONS_FIRST_WORKER + i;
  const char *address = site->relayed ? site->worker_relays[worker] : site->workers[worker];
  char *spec = g_strdup_printf (
      "{\"service\":\"llm\",\"address\":\"%s\",\"zone\":\"dc-a\",\"slots\":40,\"state\":\"ready\","
      "\"sequence\":1,\"version\":\"%s\"}",
      address, version);
  char *label = g_strdup_printf ("{\"label\":\"@%s\"}", version);
  ck_assert (site_put_worker (site, worker, "ready", spec));
  versions_post (site, i, "/admin/label", label);
  g_free (label);
  g_free (spec);
}

void
versions_remove_endpoint (Site *site, uint32_t i)
{
  ck_assert (site_remove_worker (site, VERSIONS_FIRST_WORKER + i));
}

const char *
versions_of_events (const char *body)
{
  static const char *const versions[] = { "v1", "v2", "v3" };
  const char *found = NULL;
  for (size_t i = 0; i < G_N_ELEMENTS (versions); i++)
    {
      char label[] = { '@', versions[i][0], versions[i][1], 0 };
      if (strstr (body, label) && found)
        return NULL;
      if (strstr (body, label))
        found = versions[i];
    }
  return found;
}

void
versions_resume (Site *site, uint32_t router, const char *id, SiteAnswer *answer)
{
  char *resumes = g_strdup_printf ("Resumes: %s", id);
  const char *const headers[] = { "Last-Event-Id: 2", resumes, NULL };
  SiteRequest request
      = { .method = "POST", .target = "/s/x/stream", .headers = headers, .body = "x" };
  site_send (site, router, &request, answer);
  g_free (resumes);
}
