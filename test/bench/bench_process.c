/* Cost of the way through the routers beside a direct call to the engine in the same run. */

#include "support/fleet.h"
#include "support/load.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum
{
  TOKEN_US = 10000,
  N_TOKENS = 100,
  N_CONCURRENT = 200,
  N_REQUESTS = 600,
  LAST_SIZE = 9,
  IDLE_S = 5,
};

typedef struct
{
  double requests_per_s;
  double tokens_per_s;
  int64_t first_us[3];
  int64_t gap_us[3];
  uint32_t n_completed;
} Figures;

static const double percents[] = { 50, 95, 99 };

static Figures
measure (Fleet *fleet, char **targets, const char *prefix)
{
  LoadSpec spec = { .targets = (const char *const *) targets,
                    .secret = "qadri-example-key",
                    .prefix = prefix,
                    .n_requests = N_REQUESTS,
                    .n_concurrent = N_CONCURRENT,
                    .spacing_us = TOKEN_US * N_TOKENS / N_CONCURRENT,
                    .max_tokens = N_TOKENS };
  LoadResult result;
  Figures figures = { 0 };
  load_run (fleet->loop, &spec, &result);
  double seconds = (double) result.elapsed_us / 1e6;
  figures.n_completed = result.n_completed;
  figures.requests_per_s = result.n_completed / seconds;
  figures.tokens_per_s = (double) result.n_completed * N_TOKENS / seconds;
  for (size_t i = 0; i < G_N_ELEMENTS (percents); i++)
    {
      figures.first_us[i] = load_percentile (result.first_us, percents[i]);
      figures.gap_us[i] = load_percentile (result.gap_us, percents[i]);
    }
  load_result_finish (&result);
  return figures;
}

/* Returns user and system time of PROCESS in microseconds. */
static int64_t
cpu_us (const FleetProcess *process)
{
  char path[64];
  char *text = NULL;
  unsigned long user = 0;
  unsigned long system = 0;
  g_snprintf (path, sizeof path, "/proc/%d/stat", (int) process->pid);
  if (!g_file_get_contents (path, &text, NULL, NULL))
    return 0;
  char **fields = g_strsplit (strrchr (text, ')'), " ", -1);
  user = strtoul (fields[12], NULL, 10);
  system = strtoul (fields[13], NULL, 10);
  g_strfreev (fields);
  g_free (text);
  return (int64_t) (user + system) * 1000000 / sysconf (_SC_CLK_TCK);
}

static void
print_figures (const char *name, uint32_t n_routers, const Figures *figures)
{
  printf ("%-8s routers %u  whole %4u  requests/s %7.1f  tokens/s %8.0f  first ms %6.2f %6.2f %6.2f"
          "  gap ms %6.2f %6.2f %6.2f\n",
          name, n_routers, figures->n_completed, figures->requests_per_s, figures->tokens_per_s,
          (double) figures->first_us[0] / 1e3, (double) figures->first_us[1] / 1e3,
          (double) figures->first_us[2] / 1e3, (double) figures->gap_us[0] / 1e3,
          (double) figures->gap_us[1] / 1e3, (double) figures->gap_us[2] / 1e3);
}

/* What all routers together have spent and sent so far. */
typedef struct
{
  int64_t cpu_us;
  int64_t peer_bytes;
  int64_t peer_messages;
  int64_t platform_calls;
} Spent;

static int64_t
counter_of (const json_t *dump, const char *name)
{
  return json_integer_value (json_object_get (json_object_get (dump, "counters"), name));
}

static Spent
spent_by_all (Fleet *fleet)
{
  Spent spent = { 0 };
  for (uint32_t i = 0; i < fleet->n_routers; i++)
    {
      json_t *dump = fleet_call (fleet, "GET", fleet->operators[i], "/dump", NULL);
      spent.peer_bytes += counter_of (dump, "dogwoodyoke_peer_bytes_sent_total");
      spent.peer_messages += counter_of (dump, "dogwoodyoke_peer_messages_sent_total");
      spent.platform_calls += counter_of (dump, "dogwoodyoke_platform_calls_total");
      json_decref (dump);
      spent.cpu_us += cpu_us (&fleet->router_process[i]);
    }
  return spent;
}

static json_t *
print_spent (const char *name, uint32_t n_routers, const Spent *a, const Spent *b, double seconds)
{
  double per = seconds * n_routers;
  double core_percent = (double) (b->cpu_us - a->cpu_us) / 1e4 / per;
  double bytes = (double) (b->peer_bytes - a->peer_bytes) / per;
  double messages = (double) (b->peer_messages - a->peer_messages) / per;
  double calls = (double) (b->platform_calls - a->platform_calls) / per;
  printf ("%-8s routers %u  a node: core %% %.2f  peer bytes/s %.0f  peer messages/s %.1f  "
          "platform calls/s %.1f\n",
          name, n_routers, core_percent, bytes, messages, calls);
  return json_pack ("{s:f, s:f, s:f, s:f}", "core_percent", core_percent, "peer_bytes_per_s", bytes,
                    "peer_messages_per_s", messages, "platform_calls_per_s", calls);
}

static void
stop_loop (struct ev_loop *loop, ev_timer *w, int events)
{
  (void) w;
  (void) events;
  ev_break (loop, EVBREAK_ONE);
}

static json_t *
measure_idle (Fleet *fleet)
{
  ev_timer timer;
  Spent before = spent_by_all (fleet);
  ev_timer_init (&timer, stop_loop, IDLE_S, 0.0);
  ev_timer_start (fleet->loop, &timer);
  ev_run (fleet->loop, 0);
  Spent after = spent_by_all (fleet);
  return print_spent ("idle", fleet->n_routers, &before, &after, IDLE_S);
}

static bool
run_size (uint32_t n_routers, json_t *out)
{
  FleetSpec spec = { .n_routers = n_routers, .n_engines = 2, .token_us = TOKEN_US };
  Fleet fleet;
  if (!fleet_init (&fleet, &spec))
    return false;
  Figures direct = measure (&fleet, fleet.engines, "direct");
  int64_t resident = 0;
  json_t *idle = measure_idle (&fleet);
  Spent before = spent_by_all (&fleet);
  Figures routed = measure (&fleet, fleet.callers, "routed");
  Spent after = spent_by_all (&fleet);
  for (uint32_t i = 0; i < n_routers; i++)
    resident = MAX (resident, fleet_resident_kib (&fleet.router_process[i]));
  double core_us_per_token
      = (double) (after.cpu_us - before.cpu_us) / ((double) routed.n_completed * N_TOKENS);
  double seconds = routed.n_completed / routed.requests_per_s;
  print_figures ("direct", n_routers, &direct);
  print_figures ("routed", n_routers, &routed);
  printf ("added    routers %u  first ms %6.2f %6.2f %6.2f  router core us/token %.2f  resident "
          "KiB %" PRId64 "\n",
          n_routers, (double) (routed.first_us[0] - direct.first_us[0]) / 1e3,
          (double) (routed.first_us[1] - direct.first_us[1]) / 1e3,
          (double) (routed.first_us[2] - direct.first_us[2]) / 1e3, core_us_per_token, resident);
  json_t *busy = print_spent ("busy", n_routers, &before, &after, seconds);
  json_array_append_new (out, json_pack ("{s:i, s:f, s:f, s:f, s:f, s:f, s:I, s:o, s:o}", "routers",
                                         (int) n_routers, "requests_per_s", routed.requests_per_s,
                                         "tokens_per_s", routed.tokens_per_s, "added_first_p95_ms",
                                         (double) (routed.first_us[1] - direct.first_us[1]) / 1e3,
                                         "gap_p95_ms", (double) routed.gap_us[1] / 1e3,
                                         "core_us_per_token", core_us_per_token, "resident_kib",
                                         (json_int_t) resident, "idle", idle, "busy", busy));
  fleet_finish (&fleet);
  return direct.n_completed == N_REQUESTS && routed.n_completed == N_REQUESTS;
}

int
main (void)
{
  json_t *out = json_array ();
  bool ok = run_size (3, out) && run_size (LAST_SIZE, out);
  char *text = json_dumps (out, JSON_COMPACT);
  printf ("%s\n", text);
  free (text);
  json_decref (out);
  return ok ? EXIT_SUCCESS : EXIT_FAILURE;
}
