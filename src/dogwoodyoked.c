#include "kernel/error.h"
#include "kernel/kernel.h"
#include "kernel/log.h"
#include "kernel/loop_monitor.h"
#include "platform/dialect.h"
#include "platform/store.h"
#include "services/budgets.h"
#include "services/callers.h"
#include "services/config.h"
#include "services/endpoints/cold_endpoints.h"
#include "services/endpoints/directory.h"
#include "services/endpoints/endpoints.h"
#include "services/endpoints/reachability.h"
#include "services/gateway/gateway.h"
#include "services/gateway/relays.h"
#include "services/gateway/shedding.h"
#include "services/operators.h"
#include "services/peers/peers.h"
#include "services/platform.h"
#include "services/registration.h"
#include "services/restores.h"

#include <argp.h>
#include <curl/curl.h>
#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>
#include <unistd.h>
#include <xxhash.h>

const char *argp_program_version = "dogwoodyoked 0.1.0";

typedef struct
{
  const char *settings_path;
  bool check_only;
} Arguments;

typedef struct
{
  DyKernel kernel;
  DyLoopMonitor loop_monitor;
  DyPlatform platform;
  DyEndpoints endpoints;
  DyPeers peers;
  DyConfig config;
  DyBudgets budgets;
  DyCallers callers;
  DyRegistration registration;
  DyDirectory directory;
  DyEndpointLimits limits;
  DyColdEndpoints cold;
  DyEndpointNotices notices;
  DyPartBlocks part_blocks;
  DyRequestBlocks request_blocks;
  DyRestores restores;
  DyOrigins origins;
  DyReachability reachability;
  DyShedding shedding;
  DyGateway gateway;
  DyRelays relays;
  DyOperators operators;
  bool ready_logged;
  int64_t drain_until_us; /* monotonic time at which a drain ends at the latest */
  ev_signal sigterm;
  ev_signal sigint;
  ev_signal sigusr1;
  ev_signal sighup;
  const char *settings_path;
  DySettings *settings;
  uint64_t settings_hash; /* of the file's text when it was last read; 0: it was unreadable */
  ev_timer settings_check;
  ev_timer poll;
} Daemon;

/* Interval of log flushes and of checks for readiness and the end of a drain. */
static const double POLL_INTERVAL_S = 0.02;

enum
{
  GRACE_MARGIN_MS = 300, /* for the last writes and the exit, before the process is killed */
};

/* Interval of checks for a change of the settings file, which may come without a SIGHUP. */
static const double SETTINGS_CHECK_INTERVAL_S = 1.0;

/* Environment variable that holds the path of the settings file if --settings is not given. */
static const char SETTINGS_VARIABLE[] = "DOGWOODYOKE_CONFIG";

static error_t
parse_option (int key, char *value, struct argp_state *state)
{
  Arguments *args = state->input;
  switch (key)
    {
    case 's':
      args->settings_path = value;
      return 0;
    case 'c':
      args->check_only = true;
      return 0;
    case ARGP_KEY_END:
      if (!args->settings_path)
        args->settings_path = g_getenv (SETTINGS_VARIABLE);
      if (!args->settings_path)
        argp_error (state, "--settings is required");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp_option options[] = {
  { "settings", 's', "FILE", 0, "Settings, an INI file", 0 },
  { "check", 'c', NULL, 0, "Check the settings and exit", 0 },
  { 0 },
};

static const struct argp arguments
    = { options, parse_option, NULL, "A router for prepaid token budgets.", NULL, NULL, NULL };

static void
start_drain (void *ctx)
{
  Daemon *daemon = ctx;
  if (daemon->kernel.draining)
    return;
  dy_log (DY_EVENT_DRAINING, "node=%s", daemon->kernel.settings->node_name);
  const DySettings *settings = daemon->kernel.settings;
  int64_t limit_ms = settings->drain_timeout_ms;
  if (settings->grace_ms > 0)
    limit_ms = MIN (limit_ms, MAX (settings->grace_ms - GRACE_MARGIN_MS, 0));
  daemon->drain_until_us = dy_kernel_now_us (&daemon->kernel) + limit_ms * 1000;
  dy_kernel_drain (&daemon->kernel);
}

static void
on_terminate (struct ev_loop *loop, ev_signal *w, int events)
{
  (void) loop;
  (void) events;
  start_drain (w->data);
}

static void
on_dump_signal (struct ev_loop *loop, ev_signal *w, int events)
{
  Daemon *daemon = w->data;
  (void) loop;
  (void) events;
  json_t *state = dy_kernel_dump (&daemon->kernel);
  char *text = json_dumps (state, JSON_COMPACT);
  dy_log (DY_EVENT_STATE_DUMP, "%s", text);
  free (text);
  json_decref (state);
}

static void
on_poll (struct ev_loop *loop, ev_timer *w, int events)
{
  Daemon *daemon = w->data;
  (void) events;
  dy_log_flush ();
  if (!daemon->ready_logged && dy_operators_ready (&daemon->operators))
    {
      daemon->ready_logged = true;
      dy_log (DY_EVENT_READY, "node=%s config_version=%" G_GUINT64_FORMAT,
              daemon->kernel.settings->node_name, daemon->peers.config_version);
    }
  if (!daemon->kernel.draining)
    return;
  if (!dy_kernel_busy (&daemon->kernel)
      || dy_kernel_now_us (&daemon->kernel) >= daemon->drain_until_us)
    ev_break (loop, EVBREAK_ALL);
}

static uint64_t
hash_file (const char *path)
{
  char *text = NULL;
  gsize n = 0;
  uint64_t hash = 0;
  if (g_file_get_contents (path, &text, &n, NULL))
    hash = XXH3_64bits (text, n);
  g_free (text);
  return hash;
}

/* Reads the settings file again. If it is unreadable or invalid, logs that and keeps the current
 * settings. */
static void
reload_settings (Daemon *daemon, const char *reason)
{
  DySettings settings;
  char *error_text = NULL;
  daemon->settings_hash = hash_file (daemon->settings_path);
  if (dy_settings_init (&settings, daemon->settings_path, &error_text))
    {
      dy_log (DY_EVENT_SETTINGS_INVALID, "%s; keeping the current settings", error_text);
      g_free (error_text);
      return;
    }
  char *changed = dy_settings_update (daemon->settings, &settings);
  dy_log (DY_EVENT_SETTINGS_RELOADED, "reason=%s changed=%s", reason,
          changed[0] ? changed : "none");
  g_free (changed);
  dy_settings_finish (&settings);
}

static void
on_hangup (struct ev_loop *loop, ev_signal *w, int events)
{
  (void) loop;
  (void) events;
  reload_settings (w->data, "signal");
}

static void
on_settings_check (struct ev_loop *loop, ev_timer *w, int events)
{
  Daemon *daemon = w->data;
  (void) loop;
  (void) events;
  if (hash_file (daemon->settings_path) != daemon->settings_hash)
    reload_settings (daemon, "file");
}

static void
watch_signal (Daemon *daemon,
              ev_signal *w,
              void (*callback) (struct ev_loop *, ev_signal *, int),
              int number)
{
  ev_signal_init (w, callback, number);
  w->data = daemon;
  ev_signal_start (daemon->kernel.loop, w);
  ev_unref (daemon->kernel.loop);
}

static bool
config_ready (const void *ctx)
{
  return ((const DyConfig *) ctx)->loaded;
}

static bool
directory_ready (const void *ctx)
{
  return dy_directory_ready (ctx);
}

/* Platform kinds http and memory: the router has its own chat completions API and reads its
 * declarations from the object API. */
static void
add_chat_services (Daemon *daemon)
{
  DyKernel *kernel = &daemon->kernel;
  dy_platform_add_service (kernel, &daemon->platform);
  dy_endpoints_add_service (kernel, &daemon->endpoints);
  dy_peers_add_service (kernel, &daemon->peers);
  dy_config_add_service (kernel, &daemon->config);
  dy_budgets_add_service (kernel, &daemon->budgets);
  dy_callers_add_service (kernel, &daemon->callers);
  daemon->operators.ready = config_ready;
  daemon->operators.ready_ctx = &daemon->config;
}

/* Platform kind objects: the router forwards requests by host and path and keeps all state in the
 * object store of the users' platform. */
static void
add_gateway_services (Daemon *daemon)
{
  DyKernel *kernel = &daemon->kernel;
  const DySettings *settings = kernel->settings;
  DyService dialect = { .name = DY_SERVICE_DIALECT, .self = (void *) &dy_platform_dialect };
  dy_platform_init (&daemon->platform, kernel->loop, &kernel->counters,
                    settings->platform_calls_per_s, &dy_store_ops,
                    dy_store_new (kernel->loop, settings->platform_url,
                                  settings->platform_timeout_ms, settings->watch_timeout_ms));
  dy_kernel_add (kernel, &dialect);
  dy_platform_add_service (kernel, &daemon->platform);
  dy_registration_add_service (kernel, &daemon->registration);
  dy_peers_add_service (kernel, &daemon->peers);
  dy_budgets_add_service (kernel, &daemon->budgets);
  dy_restores_add_service (kernel, &daemon->restores);
  dy_directory_add_service (kernel, &daemon->directory);
  dy_endpoint_limits_add_service (kernel, &daemon->limits);
  dy_cold_endpoints_add_service (kernel, &daemon->cold);
  dy_endpoint_notices_add_service (kernel, &daemon->notices);
  dy_part_blocks_add_service (kernel, &daemon->part_blocks);
  dy_request_blocks_add_service (kernel, &daemon->request_blocks);
  dy_origins_add_service (kernel, &daemon->origins);
  dy_reachability_add_service (kernel, &daemon->reachability);
  daemon->shedding.loop_monitor = &daemon->loop_monitor;
  dy_shedding_add_service (kernel, &daemon->shedding);
  dy_gateway_add_service (kernel, &daemon->gateway);
  dy_relays_add_service (kernel, &daemon->relays);
  daemon->operators.ready = directory_ready;
  daemon->operators.ready_ctx = &daemon->directory;
}

static void
add_services (Daemon *daemon)
{
  if (strcmp (daemon->kernel.settings->platform_kind, "objects") == 0)
    add_gateway_services (daemon);
  else
    add_chat_services (daemon);
  dy_operators_add_service (&daemon->kernel, &daemon->operators);
  daemon->operators.drain = start_drain;
  daemon->operators.drain_ctx = daemon;
}

static int
run (Daemon *daemon, DySettings *settings)
{
  struct ev_loop *loop = ev_default_loop (EVFLAG_AUTO);
  dy_kernel_init (&daemon->kernel, loop, settings);
  dy_loop_monitor_init (&daemon->loop_monitor, loop, &daemon->kernel.counters);
  add_services (daemon);
  watch_signal (daemon, &daemon->sigterm, on_terminate, SIGTERM);
  watch_signal (daemon, &daemon->sigint, on_terminate, SIGINT);
  watch_signal (daemon, &daemon->sigusr1, on_dump_signal, SIGUSR1);
  watch_signal (daemon, &daemon->sighup, on_hangup, SIGHUP);
  daemon->settings = settings;
  daemon->settings_hash = hash_file (daemon->settings_path);
  ev_timer_init (&daemon->settings_check, on_settings_check, SETTINGS_CHECK_INTERVAL_S,
                 SETTINGS_CHECK_INTERVAL_S);
  daemon->settings_check.data = daemon;
  ev_timer_start (loop, &daemon->settings_check);
  ev_timer_init (&daemon->poll, on_poll, POLL_INTERVAL_S, POLL_INTERVAL_S);
  daemon->poll.data = daemon;
  ev_timer_start (loop, &daemon->poll);
  dy_log (DY_EVENT_STARTED, "node=%s data_centre=%s incarnation=%016" G_GINT64_MODIFIER "x",
          settings->node_name, settings->data_centre, daemon->kernel.incarnation_id);
  int error = dy_kernel_start (&daemon->kernel);
  if (!error)
    ev_run (loop, 0);
  dy_kernel_finish (&daemon->kernel);
  dy_loop_monitor_finish (&daemon->loop_monitor);
  dy_log (DY_EVENT_STOPPED, "node=%s", settings->node_name);
  return error;
}

/* Lets the process have as many descriptors as it may: one for each connection. The soft limit is
 * for programs that use select(). */
static void
raise_descriptor_limit (void)
{
  struct rlimit limit;
  if (getrlimit (RLIMIT_NOFILE, &limit) != 0)
    return;
  limit.rlim_cur = limit.rlim_max;
  if (setrlimit (RLIMIT_NOFILE, &limit) != 0)
    dy_log (DY_EVENT_SETTINGS_INVALID, "the limit on open files stays as it is: %s",
            g_strerror (errno));
}

static GLogLevelFlags
log_level_from_name (const char *name)
{
  if (strcmp (name, "warning") == 0)
    return G_LOG_LEVEL_WARNING;
  return strcmp (name, "info") == 0 ? G_LOG_LEVEL_INFO : G_LOG_LEVEL_MESSAGE;
}

int
main (int argc, char **argv)
{
  Arguments args = { 0 };
  DySettings settings;
  char *error_text = NULL;
  argp_parse (&arguments, argc, argv, 0, NULL, &args);
  signal (SIGPIPE, SIG_IGN);
  int error = dy_settings_init (&settings, args.settings_path, &error_text);
  if (error)
    {
      fprintf (stderr, "%s\n", error_text);
      g_free (error_text);
      return dy_error_info (error)->exit_code;
    }
  dy_log_init (strcmp (settings.log_format, "json") == 0, log_level_from_name (settings.log_level),
               settings.log_lines_per_s);
  raise_descriptor_limit ();
  curl_global_init (CURL_GLOBAL_ALL);
  if (!args.check_only)
    {
      Daemon *daemon = g_new0 (Daemon, 1);
      daemon->settings_path = args.settings_path;
      error = run (daemon, &settings);
      g_free (daemon);
    }
  dy_settings_finish (&settings);
  dy_log_finish ();
  curl_global_cleanup ();
  return dy_error_info (error)->exit_code;
}
