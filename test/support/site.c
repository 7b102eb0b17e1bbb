#include "support/site.h"

#include "net/http_client.h"

#include <glib/gstdio.h>
#include <signal.h>
#include <string.h>

enum
{
  CALL_TIMEOUT_MS = 10000,
  DISCONNECT_AFTER_MS = 150,
  VM_LIST_INTERVAL_MS = 100,
  PREPAID = 1000000,
  SOURCE_SIZE = 16, /* bytes, of an IP address as text */
};

const char *const site_data_centres[2] = { "dc-a", "dc-b" };

static const char *
data_centre_of (const Site *site, uint32_t i)
{
  return site_data_centres[site->evacuation_ms ? i % 2 : 0];
}

static const char *
service_of (uint32_t i)
{
  return i < SITE_N_WORKERS / 2 ? "app" : "llm";
}

static bool
put_object (Site *site, const char *kind, const char *name, const char *spec)
{
  char *path = g_strdup_printf ("/objects/%s/%s", kind, name);
  char *body = g_strdup_printf ("{\"metadata\":{\"name\":\"%s\"},\"spec\":%s}", name, spec);
  FleetRequest request = { .method = "PUT", .address = site->store, .path = path, .body = body };
  unsigned status = fleet_request (&site->fleet, &request, NULL);
  g_free (path);
  g_free (body);
  return status == 200;
}

/* Returns the route table as JSON text, to be freed with g_free(). */
static char *
format_routes (const Site *site, int version, const char *extra, int64_t prepaid)
{
  char *cold = site->cold ? g_strdup_printf ("\"coldStartS\":%d,\"coldPerS\":%d,",
                                             SITE_COLD_MS / 1000, SITE_COLD_PER_S)
                          : g_strdup ("");
  static const char *const routes
      = "{\"name\":\"ok\",\"host\":\"h.example\",\"pathPrefix\":\"/ok/\",\"routeType\":"
        "\"idempotent\",\"timeoutMs\":5000,\"targetLatencyMs\":100,\"priority\":1,\"service\":"
        "\"app\",\"maxAttempts\":2},"
        "{\"name\":\"once\",\"host\":\"h.example\",\"pathPrefix\":\"/once/\",\"routeType\":"
        "\"non_idempotent\",\"timeoutMs\":5000,\"targetLatencyMs\":100,\"priority\":1,"
        "\"service\":\"app\",\"maxAttempts\":2},"
        "{\"name\":\"s\",\"host\":\"h.example\",\"pathPrefix\":\"/s/\",\"routeType\":"
        "\"streaming\",\"timeoutMs\":5000,\"targetLatencyMs\":400,\"gapTargetMs\":400,"
        "\"priority\":0,\"service\":\"llm\",\"maxAttempts\":2,\"sticky\":true,"
        "\"resumable\":true},"
        "{\"name\":\"s1\",\"host\":\"h.example\",\"pathPrefix\":\"/s1/\",\"routeType\":"
        "\"streaming\",\"timeoutMs\":5000,\"targetLatencyMs\":400,\"gapTargetMs\":400,"
        "\"priority\":0,\"trafficSplit\":[{\"service\":\"llm\",\"weight\":1}],"
        "\"maxAttempts\":2,\"sticky\":true,\"resumable\":false}";
  char *text = g_strdup_printf (
      "{\"version\":%d,\"routes\":[%s%s%s],\"services\":[{\"name\":\"app\",\"healthPath\":\"/"
      "health\"},{\"name\":\"llm\",\"healthPath\":\"/health\","
      "%s\"runtime\":{\"slots\":8,\"kvCapacity\":10000,\"stride\":1}}],\"limits\":{"
      "\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,"
      "\"idleTimeoutMs\":5000},\"tenants\":[{\"name\":\"acct\",\"apiKeys\":[\"k1\"],"
      "\"prepaid\":%" G_GINT64_FORMAT "}]}",
      version, routes, extra ? "," : "", extra ? extra : "", cold, prepaid);
  g_free (cold);
  return text;
}

bool
site_put_routes (Site *site, int version, const char *extra, int64_t prepaid)
{
  char *spec = format_routes (site, version, extra, prepaid);
  bool ok = put_object (site, "config", "main", spec);
  g_free (spec);
  return ok;
}

static const char *
version_of (const Site *site, uint32_t i)
{
  return site->versions[i] ? site->versions[i] : "v1";
}

bool
site_put_worker (Site *site, uint32_t i, const char *state, const char *spec)
{
  char *name = g_strdup_printf ("i-%u", i);
  char *text
      = g_strdup_printf ("{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\","
                         "\"slots\":6,\"state\":\"%s\",\"sequence\":1,\"version\":\"%s\"%s}",
                         service_of (i), site->relayed ? site->worker_relays[i] : site->workers[i],
                         data_centre_of (site, i), state, version_of (site, i),
                         site->cold ? ",\"coldRemainingMs\":0" : "");
  bool ok = put_object (site, "servers", name, spec ? spec : text);
  g_free (text);
  g_free (name);
  return ok;
}

bool
site_put_cold (Site *site, uint32_t i, int64_t cold_ms)
{
  char *spec = g_strdup_printf (
      "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"slots\":6,\"state\":\"ready\","
      "\"sequence\":2,\"version\":\"%s\",\"coldRemainingMs\":%" G_GINT64_FORMAT "}",
      service_of (i), site->relayed ? site->worker_relays[i] : site->workers[i],
      data_centre_of (site, i), version_of (site, i), cold_ms);
  bool ok = site_put_worker (site, i, "ready", spec);
  g_free (spec);
  return ok;
}

static bool
remove_object (Site *site, const char *kind, const char *name)
{
  char *path = g_strdup_printf ("/objects/%s/%s", kind, name);
  FleetRequest request = { .method = "DELETE", .address = site->store, .path = path };
  unsigned status = fleet_request (&site->fleet, &request, NULL);
  g_free (path);
  return status == 200;
}

bool
site_remove_worker (Site *site, uint32_t i)
{
  char *name = g_strdup_printf ("i-%u", i);
  bool ok = remove_object (site, "servers", name);
  g_free (name);
  return ok;
}

bool
site_evacuate (Site *site, const char *data_centre, const char *spec)
{
  return put_object (site, "evacuations", data_centre, spec);
}

bool
site_end_evacuation (Site *site, const char *data_centre)
{
  return remove_object (site, "evacuations", data_centre);
}

int64_t
site_worker_runs (Site *site, uint32_t i)
{
  json_t *stats = fleet_call (&site->fleet, "GET", site->workers[i], "/admin/stats", NULL);
  const json_t *count;
  const char *id;
  int64_t sum = 0;
  json_object_foreach (json_object_get (stats, "runs"), id, count)
  {
    sum += json_integer_value (count);
  }
  json_decref (stats);
  return sum;
}

void
site_reset_times (Site *site)
{
  for (uint32_t i = 0; i < site->n_workers; i++)
    {
      FleetRequest request
          = { .method = "POST", .address = site->workers[i], .path = "/admin/say", .body = "{}" };
      fleet_request (&site->fleet, &request, NULL);
    }
}

uint32_t
site_count_after (Site *site, const char *data_centre, int64_t after_ms)
{
  uint32_t n = 0;
  for (uint32_t i = 0; i < site->n_workers; i++)
    {
      if (strcmp (data_centre_of (site, i), data_centre) != 0)
        continue;
      json_t *stats = fleet_call (&site->fleet, "GET", site->workers[i], "/admin/stats", NULL);
      const json_t *time;
      size_t k;
      json_array_foreach (json_object_get (stats, "limited_ms"), k, time)
      {
        n += json_integer_value (time) > after_ms;
      }
      json_decref (stats);
    }
  return n;
}

void
site_set_store (Site *site, const char *faults)
{
  FleetRequest request
      = { .method = "POST", .address = site->store, .path = "/admin/set", .body = faults };
  fleet_request (&site->fleet, &request, NULL);
}

void
site_set_refusals (Site *site, unsigned percent)
{
  char *body = g_strdup_printf ("{\"percent\":%u}", percent);
  for (uint32_t i = 0; i < site->n_workers; i++)
    {
      FleetRequest request = {
        .method = "POST", .address = site->workers[i], .path = "/admin/refuse", .body = body
      };
      fleet_request (&site->fleet, &request, NULL);
    }
  g_free (body);
}

static void
on_run_timer (struct ev_loop *loop, ev_timer *w, int events)
{
  (void) loop;
  (void) events;
  *(bool *) w->data = true;
}

void
site_run_for (Site *site, int64_t ms)
{
  bool done = false;
  ev_timer timer;
  ev_now_update (site->fleet.loop);
  ev_timer_init (&timer, on_run_timer, (double) ms / 1e3, 0.0);
  timer.data = &done;
  ev_timer_start (site->fleet.loop, &timer);
  while (!done)
    ev_run (site->fleet.loop, EVRUN_ONCE);
}

void
site_restore_store (Site *site, const SiteRestore *restore)
{
  char *routes = restore->version
                     ? format_routes (site, restore->version, restore->extra, restore->prepaid)
                     : g_strdup ("null");
  char *put = restore->version
                  ? g_strdup_printf (",\"put\":{\"key\":\"config/main\",\"spec\":%s}", routes)
                  : g_strdup ("");
  char *faults = g_strdup_printf ("{\"restore\":%" G_GINT64_FORMAT ",\"away_ms\":%" G_GINT64_FORMAT
                                  ",\"skip\":%d%s}",
                                  restore->age_ms, restore->away_ms, restore->skip, put);
  site_set_store (site, faults);
  g_free (faults);
  g_free (put);
  g_free (routes);
}

json_t *
site_store_object (Site *site, const char *key)
{
  char *path = g_strconcat ("/objects/", key, NULL);
  FleetRequest request = { .method = "GET", .address = site->store, .path = path };
  json_t *answer = NULL;
  unsigned status = fleet_request (&site->fleet, &request, &answer);
  g_free (path);
  if (status == 200)
    return answer;
  json_decref (answer);
  return NULL;
}

int64_t
site_store_calls (Site *site, const char *kind)
{
  json_t *stats = fleet_call (&site->fleet, "GET", site->store, "/admin/stats", NULL);
  int64_t n = json_integer_value (json_object_get (stats, kind));
  json_decref (stats);
  return n;
}

uint32_t
site_count_output (const Site *site, uint32_t i, const char *text)
{
  uint32_t n = 0;
  for (const char *at = site->router_process[i].output->str; (at = strstr (at, text)); at++)
    n++;
  return n;
}

/* Formats the address from which router I connects to the workers. */
static void
format_source (uint32_t i, char *source)
{
  g_snprintf (source, SOURCE_SIZE, "127.0.1.%u", i + 1);
}

void
site_cut_router (Site *site, uint32_t i, RelayCut cut)
{
  char source[SOURCE_SIZE];
  format_source (i, source);
  for (uint32_t k = 0; k < site->n_workers; k++)
    relay_set_cut (&site->worker_relay[k], source, cut);
}

static bool
write_settings (Site *site, uint32_t i)
{
  char source[SOURCE_SIZE];
  char *path = g_strdup_printf ("%s/r%u.ini", site->dir, i);
  format_source (i, source);
  /* Earlier builds, which tests of mixed fleets run, do not know the key. */
  char *connect_from
      = site->has_sources ? g_strdup_printf ("connect_from = %s\n", source) : g_strdup ("");
  char *bound = site->evacuation_ms
                    ? g_strdup_printf ("evacuations_bound_ms = %d\n", site->evacuation_ms)
                    : g_strdup ("");
  char *shed_load
      = site->sheds ? g_strdup_printf ("shed_load = yes\ncpu_percent = %d\n", site->cpu_percent[i])
                    : g_strdup ("");
  char *text = g_strdup_printf (
      "[node]\nname = r%u\ndata_centre = dc-a\ncaller_listen = %s\nready_listen = %s\n"
      "%soperator_listen = %s\npeer_listen = %s\ngrace_s = 8\ndrain_notice_ms = "
      "200\n%s%s"
      "[platform]\nkind = objects\nurl = %s\nplatform_timeout_ms = 300\n"
      "watch_timeout_ms = 8000\nvm_list_interval_ms = %d\nplatform_calls_per_s = 200\n"
      "[peers]\nsecret = test%s\nheartbeat_ms = 50\npeer_timeout_ms = 1000\n"
      "[budget]\nreserve_wait_ms = 600\nrecovery_delay_ms = 500\ngrant_minimum_tokens = 100\n"
      "store_copy_age_ms = 4000\n"
      "[endpoints]\n%s%s[log]\nlevel = info\n%s",
      i, site->callers[i], site->ready[i], connect_from, site->operators[i], site->peers[i],
      site->ran_before ? "first_start = no\n" : "", shed_load,
      site->relayed ? site->store_relays[i] : site->store, site->vm_list_interval_ms,
      site->separate ? site->peers[i] : "", bound,
      site->cold ? "cold_overage = 1.5\ncold_slack = 5\n" : "",
      site->logs_json ? "format = json\nlog_lines_per_s = 100000\n" : "");
  bool ok = g_file_set_contents (path, text, -1, NULL);
  g_free (text);
  g_free (connect_from);
  g_free (bound);
  g_free (shed_load);
  g_free (path);
  return ok;
}

bool
site_start_router (Site *site, uint32_t i)
{
  return fleet_start_daemon (&site->fleet, &site->router_process[i], site->dir, i);
}

typedef struct
{
  Site *site;
  uint32_t i;
  unsigned status;
} ReadyWait;

static bool
is_ready (void *ctx)
{
  ReadyWait *wait = ctx;
  FleetRequest request
      = { .method = "GET", .address = wait->site->ready[wait->i], .path = "/ready" };
  return fleet_request (&wait->site->fleet, &request, NULL) == wait->status;
}

bool
site_wait_ready (Site *site, uint32_t i, unsigned status)
{
  ReadyWait wait = { site, i, status };
  return fleet_wait_until (&site->fleet, is_ready, &wait);
}

bool
site_restart_routers_unready (Site *site, int vm_list_interval_ms)
{
  bool ok = true;
  site->vm_list_interval_ms = vm_list_interval_ms;
  for (uint32_t i = 0; i < site->n_routers; i++)
    fleet_kill (&site->router_process[i]);
  for (uint32_t i = 0; ok && i < site->n_routers; i++)
    ok = write_settings (site, i) && site_start_router (site, i);
  return ok;
}

bool
site_restart_routers (Site *site)
{
  bool ok = site_restart_routers_unready (site, site->vm_list_interval_ms);
  for (uint32_t i = 0; ok && i < site->n_routers; i++)
    ok = site_wait_ready (site, i, 200);
  return ok;
}

bool
site_start_worker (Site *site, uint32_t i)
{
  char *worker = fleet_program ("fake_worker");
  char name[16];
  char *label = site->versions[i] ? g_strconcat ("@", site->versions[i], NULL) : NULL;
  char *argv[] = { worker,
                   site->workers[i],
                   site->run_log ? site->run_log : "/dev/null",
                   site->arrival_log ? site->arrival_log : "/dev/null",
                   label,
                   NULL };
  g_snprintf (name, sizeof name, "worker%u", i);
  fleet_kill (&site->worker_process[i]);
  bool ok = fleet_spawn (&site->fleet, &site->worker_process[i], name, argv)
            && fleet_wait_line (&site->worker_process[i], "ready");
  g_free (label);
  g_free (worker);
  return ok;
}

static bool
start_worker_relays (Site *site)
{
  struct ev_loop *loop = site->fleet.loop;
  bool ok = true;
  for (uint32_t i = 0; ok && i < site->n_workers; i++)
    {
      site->worker_relays[i] = fleet_free_address ();
      ok = relay_init (&site->worker_relay[i], loop, site->worker_relays[i], site->workers[i]);
    }
  return ok;
}

static void
finish_relays (Site *site)
{
  for (uint32_t i = 0; i < site->n_workers; i++)
    {
      relay_finish (&site->worker_relay[i]);
      g_free (site->worker_relays[i]);
    }
  for (uint32_t i = 0; i < site->n_routers; i++)
    {
      relay_finish (&site->store_relay[i]);
      g_free (site->store_relays[i]);
      relay_finish (&site->peer_relay[i]);
      g_free (site->peer_relays[i]);
    }
  if (site->run_log)
    g_remove (site->run_log);
  g_free (site->run_log);
}

static bool
start_fakes (Site *site)
{
  char *store = fleet_program ("fake_store");
  char *store_argv[] = { store, site->store, NULL };
  bool ok = fleet_spawn (&site->fleet, &site->store_process, "store", store_argv)
            && fleet_wait_line (&site->store_process, "ready");
  for (uint32_t i = 0; ok && i < site->n_workers; i++)
    ok = site_start_worker (site, i);
  g_free (store);
  return ok;
}

static bool
populate_store (Site *site, int64_t prepaid)
{
  bool ok = site_put_routes (site, 1, NULL, prepaid);
  for (uint32_t i = 0; ok && i < site->n_workers; i++)
    ok = site_put_worker (site, i, "ready", NULL);
  return ok;
}

/* Has the other routers connect to router I through a relay. */
static bool
start_peer_relay (Site *site, uint32_t i)
{
  site->peer_relays[i] = fleet_free_address ();
  char *faults
      = g_strdup_printf ("{\"addresses\":{\"%s\":\"%s\"}}", site->peers[i], site->peer_relays[i]);
  site_set_store (site, faults);
  g_free (faults);
  return relay_init (&site->peer_relay[i], site->fleet.loop, site->peer_relays[i], site->peers[i]);
}

bool
site_add_router (Site *site)
{
  uint32_t i = site->n_routers++;
  site->callers[i] = fleet_free_address ();
  site->ready[i] = fleet_free_address ();
  site->operators[i] = fleet_free_address ();
  site->peers[i] = fleet_free_address ();
  if (site->relayed)
    {
      site->store_relays[i] = fleet_free_address ();
      if (!relay_init (&site->store_relay[i], site->fleet.loop, site->store_relays[i], site->store))
        return false;
    }
  return (!site->peers_relayed || start_peer_relay (site, i)) && write_settings (site, i)
         && site_start_router (site, i);
}

typedef enum
{
  PEERS_DIRECT,
  PEERS_RELAYED,
  PEERS_SEPARATE,
} Peers;

typedef struct
{
  uint32_t n_routers;
  uint32_t n_workers; /* 0: SITE_N_WORKERS */
  bool relayed;
  Peers peers;
  bool cold;
  int evacuation_ms;
  int64_t prepaid;         /* 0: PREPAID */
  int vm_list_interval_ms; /* 0: VM_LIST_INTERVAL_MS */
} Spec;

static bool
init (Site *site, const Spec *spec)
{
  memset (site, 0, sizeof *site);
  site->evacuation_ms = spec->evacuation_ms;
  site->relayed = spec->relayed;
  site->cold = spec->cold;
  site->vm_list_interval_ms
      = spec->vm_list_interval_ms ? spec->vm_list_interval_ms : VM_LIST_INTERVAL_MS;
  site->separate = spec->peers == PEERS_SEPARATE;
  site->peers_relayed = spec->peers == PEERS_RELAYED;
  site->logs_json = spec->peers == PEERS_RELAYED;
  signal (SIGPIPE, SIG_IGN);
  site->fleet.loop = ev_default_loop (EVFLAG_AUTO);
  site->dir = g_dir_make_tmp ("site-XXXXXX", NULL);
  site->arrival_log = g_build_filename (site->dir, "arrivals", NULL);
  site->sent_ms = g_array_new (FALSE, FALSE, sizeof (int64_t));
  site->refused = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  site->n_workers = spec->n_workers ? spec->n_workers : SITE_N_WORKERS;
  site->has_sources = site->n_workers > SITE_N_WORKERS;
  site->store = fleet_free_address ();
  for (uint32_t i = 0; i < site->n_workers; i++)
    site->workers[i] = fleet_free_address ();
  if (spec->relayed)
    site->run_log = g_build_filename (site->dir, "runs", NULL);
  bool ok = (!spec->relayed || start_worker_relays (site)) && start_fakes (site)
            && populate_store (site, spec->prepaid ? spec->prepaid : PREPAID);
  site->populated_ms = g_get_monotonic_time () / 1000 + 1;
  for (uint32_t i = 0; ok && i < spec->n_routers; i++)
    ok = site_add_router (site);
  for (uint32_t i = 0; ok && i < spec->n_routers; i++)
    ok = site_wait_ready (site, i, 200);
  for (uint32_t i = 0; ok && !site->separate && i + 1 < spec->n_routers; i++)
    ok = fleet_wait_line (&site->router_process[i], "peer connected");
  return ok;
}

bool
site_init (Site *site, uint32_t n_routers)
{
  return init (site, &(Spec){ .n_routers = n_routers });
}

bool
site_init_cold (Site *site, uint32_t n_routers, bool separate)
{
  Peers peers = separate ? PEERS_SEPARATE : PEERS_DIRECT;
  return init (site, &(Spec){ .n_routers = n_routers, .peers = peers, .cold = true });
}

bool
site_init_listing (Site *site, uint32_t n_routers, int vm_list_interval_ms)
{
  return init (site, &(Spec){ .n_routers = n_routers, .vm_list_interval_ms = vm_list_interval_ms });
}

bool
site_init_relayed (Site *site, uint32_t n_routers, int64_t prepaid)
{
  return init (site, &(Spec){ .n_routers = n_routers, .relayed = true, .prepaid = prepaid });
}

bool
site_init_large (Site *site, uint32_t n_routers, uint32_t n_workers, int64_t prepaid)
{
  return init (site, &(Spec){ .n_routers = n_routers,
                              .n_workers = n_workers,
                              .relayed = true,
                              .prepaid = prepaid });
}

bool
site_init_separate (Site *site, uint32_t n_routers, uint32_t n_workers, int64_t prepaid)
{
  return init (site, &(Spec){ .n_routers = n_routers,
                              .n_workers = n_workers,
                              .relayed = true,
                              .peers = PEERS_SEPARATE,
                              .prepaid = prepaid });
}

bool
site_init_soak (Site *site,
                uint32_t n_routers,
                uint32_t n_workers,
                bool cold,
                int evacuation_ms,
                int64_t prepaid)
{
  return init (site, &(Spec){ .n_routers = n_routers,
                              .n_workers = n_workers,
                              .relayed = true,
                              .peers = PEERS_RELAYED,
                              .cold = cold,
                              .evacuation_ms = evacuation_ms,
                              .prepaid = prepaid });
}

bool
site_init_peers_relayed (Site *site, uint32_t n_routers, uint32_t n_workers, int64_t prepaid)
{
  return site_init_soak (site, n_routers, n_workers, false, 0, prepaid);
}

bool
site_init_evacuating (
    Site *site, uint32_t n_routers, uint32_t n_workers, int64_t prepaid, int evacuation_ms)
{
  return site_init_soak (site, n_routers, n_workers, false, evacuation_ms, prepaid);
}

void
site_finish (Site *site)
{
  for (uint32_t i = 0; i < site->n_routers; i++)
    {
      char *path = g_strdup_printf ("%s/r%u.ini", site->dir, i);
      fleet_kill (&site->router_process[i]);
      g_remove (path);
      g_free (path);
      g_free (site->callers[i]);
      g_free (site->ready[i]);
      g_free (site->operators[i]);
      g_free (site->peers[i]);
    }
  for (uint32_t i = 0; i < site->n_workers; i++)
    {
      fleet_kill (&site->worker_process[i]);
      g_free (site->workers[i]);
    }
  fleet_kill (&site->store_process);
  finish_relays (site);
  g_remove (site->arrival_log);
  g_free (site->arrival_log);
  g_array_unref (site->sent_ms);
  g_hash_table_unref (site->refused);
  g_rmdir (site->dir);
  g_free (site->dir);
  g_free (site->store);
}

typedef struct
{
  Site *site;
  SiteAnswer *answer;
  bool done;
} Call;

static bool
on_head (void *ctx, unsigned status, const DyHttpHeader *headers, uint32_t n)
{
  Call *call = ctx;
  (void) status;
  for (uint32_t i = 0; i < n; i++)
    {
      char *name = g_ascii_strdown (headers[i].name, -1);
      g_string_append_printf (call->answer->head, "%s: %s\n", name, headers[i].value);
      g_free (name);
    }
  return true;
}

static bool
on_data (void *ctx, DyHttpTransfer *transfer, const char *data, size_t n)
{
  Call *call = ctx;
  (void) transfer;
  g_string_append_len (call->answer->body, data, (gssize) n);
  return true;
}

static void
on_done (void *ctx, const DyHttpResult *result)
{
  Call *call = ctx;
  call->answer->status = result->status;
  call->answer->complete = result->error == 0;
  call->done = true;
  ev_break (call->site->fleet.loop, EVBREAK_ONE);
}

int64_t
site_count_runs (Site *site, const char *id)
{
  int64_t runs = 0;
  for (uint32_t i = 0; i < site->n_workers; i++)
    {
      json_t *stats = fleet_call (&site->fleet, "GET", site->workers[i], "/admin/stats", NULL);
      runs += json_integer_value (json_object_get (json_object_get (stats, "runs"), id));
      json_decref (stats);
    }
  return runs;
}

int64_t
site_worker_stat (Site *site, const char *name)
{
  int64_t sum = 0;
  for (uint32_t i = 0; i < site->n_workers; i++)
    {
      json_t *stats = fleet_call (&site->fleet, "GET", site->workers[i], "/admin/stats", NULL);
      sum += json_integer_value (json_object_get (stats, name));
      json_decref (stats);
    }
  return sum;
}

static void
send_request (
    Site *site, uint32_t i, const SiteRequest *request, SiteAnswer *answer, int64_t timeout_ms)
{
  static const DyHttpTransferWatcher watcher
      = { .head = on_head, .data = on_data, .done = on_done };
  Call call = { .site = site, .answer = answer };
  DyHttpClient client;
  char *id = g_strdup_printf ("request-%" G_GUINT64_FORMAT, ++site->last_id);
  char *url = g_strdup_printf ("http://%s%s", site->callers[i], request->target);
  GPtrArray *lines = g_ptr_array_new_with_free_func (g_free);
  answer->body = g_string_new (NULL);
  answer->head = g_string_new (NULL);
  g_ptr_array_add (lines,
                   g_strdup_printf ("Host: %s", request->host ? request->host : "h.example"));
  g_ptr_array_add (lines, g_strdup_printf ("X-Request-Id: %s", id));
  g_ptr_array_add (
      lines, g_strdup_printf ("Authorization: Bearer %s", request->key ? request->key : "k1"));
  for (const char *const *h = request->headers; h && *h; h++)
    g_ptr_array_add (lines, g_strdup (*h));
  g_ptr_array_add (lines, NULL);
  DyHttpSpec spec = { .method = request->method,
                      .url = url,
                      .headers = (const char *const *) lines->pdata,
                      .body = request->body,
                      .n_body = request->body ? strlen (request->body) : 0,
                      .connect_timeout_ms = CALL_TIMEOUT_MS,
                      .timeout_ms = timeout_ms };
  dy_http_client_init (&client, site->fleet.loop);
  dy_http_client_start (&client, &spec, &watcher, &call);
  while (!call.done)
    ev_run (site->fleet.loop, EVRUN_ONCE);
  dy_http_client_finish (&client);
  answer->runs = site_count_runs (site, id);
  g_ptr_array_unref (lines);
  g_free (url);
  g_free (id);
}

void
site_send (Site *site, uint32_t i, const SiteRequest *request, SiteAnswer *answer)
{
  send_request (site, i, request, answer, CALL_TIMEOUT_MS);
}

void
site_send_and_disconnect (Site *site, uint32_t i, const SiteRequest *request)
{
  SiteAnswer answer;
  send_request (site, i, request, &answer, DISCONNECT_AFTER_MS);
  site_answer_finish (&answer);
}

void
site_answer_finish (SiteAnswer *answer)
{
  g_string_free (answer->body, TRUE);
  g_string_free (answer->head, TRUE);
}
