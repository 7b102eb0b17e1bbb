/* Benchmark of the overhead of the routers: sends the same load to the engines directly and through
 * fleets of two sizes, and measures the latency, CPU time, memory and messages that the routers
 * add. Prints a line for each figure group, then all fleets as JSON. */

#include "support/fleet.h"
#include "support/load.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum
{
  TOKEN_US = 10000, /* an engine's time to the first token and between tokens */
  N_TOKENS = 100,
  N_CONCURRENT = 200,
  N_REQUESTS = 600,
  LARGE_FLEET_ROUTERS = 9,
  IDLE_S = 5,
};

typedef struct
{
  double requests_per_s;
  double tokens_per_s;
  int64_t first_us[3];  /* percentiles of the time to the first token */
  int64_t gap_us[3];    /* percentiles of the time between tokens */
  uint32_t n_completed; /* complete answers */
} LoadStats;

static const double percentiles[] = { 50, 95, 99 };

static LoadStats
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
  LoadStats stats = { 0 };
  load_run (fleet->loop, &spec, &result);
  double seconds = (double) result.elapsed_us / 1e6;
  stats.n_completed = result.n_completed;
  stats.requests_per_s = result.n_completed / seconds;
  stats.tokens_per_s = (double) result.n_completed * N_TOKENS / seconds;
  for (size_t i = 0; i < G_N_ELEMENTS (percentiles); i++)
    {
      stats.first_us[i] = load_percentile (result.first_us, percentiles[i]);
      stats.gap_us[i] = load_percentile (result.gap_us, percentiles[i]);
    }
  load_result_finish (&result);
  return stats;
}

/* Returns the CPU time of PROCESS, user and system, in microseconds; 0 when it cannot be read. */
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
print_load_stats (const char *name, uint32_t n_routers, const LoadStats *stats)
{
  printf ("%-8s routers %u  whole %4u  requests/s %7.1f  tokens/s %8.0f  first ms %6.2f %6.2f %6.2f"
          "  gap ms %6.2f %6.2f %6.2f\n",
          name, n_routers, stats->n_completed, stats->requests_per_s, stats->tokens_per_s,
          (double) stats->first_us[0] / 1e3, (double) stats->first_us[1] / 1e3,
          (double) stats->first_us[2] / 1e3, (double) stats->gap_us[0] / 1e3,
          (double) stats->gap_us[1] / 1e3, (double) stats->gap_us[2] / 1e3);
}

/* Sums over all routers since their start. */
typedef struct
{
  int64_t cpu_us;
  int64_t peer_bytes;
  int64_t peer_messages;
  int64_t platform_calls;
} ResourceUse;

static int64_t
read_counter (const json_t *dump, const char *name)
{
  return json_integer_value (json_object_get (json_object_get (dump, "counters"), name));
}

static ResourceUse
sum_resource_use (Fleet *fleet)
{
  ResourceUse use = { 0 };
  for (uint32_t i = 0; i < fleet->n_routers; i++)
    {
      json_t *dump = fleet_call (fleet, "GET", fleet->operators[i], "/dump", NULL);
      use.peer_bytes += read_counter (dump, "dogwoodyoke_peer_bytes_sent_total");
      use.peer_messages += read_counter (dump, "dogwoodyoke_peer_messages_sent_total");
      use.platform_calls += read_counter (dump, "dogwoodyoke_platform_calls_total");
      json_decref (dump);
      use.cpu_us += cpu_us (&fleet->router_process[i]);
    }
  return use;
}

static json_t *
print_resource_use (const char *name,
                    uint32_t n_routers,
                    const ResourceUse *before,
                    const ResourceUse *after,
                    double seconds)
{
  double router_seconds = seconds * n_routers;
  double core_percent = (double) (after->cpu_us - before->cpu_us) / 1e4 / router_seconds;
  double bytes = (double) (after->peer_bytes - before->peer_bytes) / router_seconds;
  double messages = (double) (after->peer_messages - before->peer_messages) / router_seconds;
  double calls = (double) (after->platform_calls - before->platform_calls) / router_seconds;
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
  ResourceUse before = sum_resource_use (fleet);
  ev_timer_init (&timer, stop_loop, IDLE_S, 0.0);
  ev_timer_start (fleet->loop, &timer);
  ev_run (fleet->loop, 0);
  ResourceUse after = sum_resource_use (fleet);
  return print_resource_use ("idle", fleet->n_routers, &before, &after, IDLE_S);
}

static bool
bench_fleet (uint32_t n_routers, json_t *out)
{
  FleetSpec spec = { .n_routers = n_routers, .n_engines = 2, .token_us = TOKEN_US };
  Fleet fleet;
  if (!fleet_init (&fleet, &spec))
    return false;
  LoadStats direct = measure (&fleet, fleet.engines, "direct");
  int64_t max_resident_kib = 0;
  json_t *idle = measure_idle (&fleet);
  ResourceUse before = sum_resource_use (&fleet);
  LoadStats routed = measure (&fleet, fleet.callers, "routed");
  ResourceUse after = sum_resource_use (&fleet);
  for (uint32_t i = 0; i < n_routers; i++)
    max_resident_kib = MAX (max_resident_kib, fleet_resident_kib (&fleet.router_process[i]));
  double core_us_per_token
      = (double) (after.cpu_us - before.cpu_us) / ((double) routed.n_completed * N_TOKENS);
  double seconds = routed.n_completed / routed.requests_per_s;
  print_load_stats ("direct", n_routers, &direct);
  print_load_stats ("routed", n_routers, &routed);
  printf ("added    routers %u  first ms %6.2f %6.2f %6.2f  router core us/token %.2f  resident "
          "KiB %" PRId64 "\n",
          n_routers, (double) (routed.first_us[0] - direct.first_us[0]) / 1e3,
          (double) (routed.first_us[1] - direct.first_us[1]) / 1e3,
          (double) (routed.first_us[2] - direct.first_us[2]) / 1e3, core_us_per_token,
          max_resident_kib);
  json_t *busy = print_resource_use ("busy", n_routers, &before, &after, seconds);
  json_array_append_new (
      out, json_pack ("{s:i, s:f, s:f, s:f, s:f, s:f, s:I, s:o, s:o}", "routers", (int) n_routers,
                      "requests_per_s", routed.requests_per_s, "tokens_per_s", routed.tokens_per_s,
                      "added_first_p95_ms",
                      (double) (routed.first_us[1] - direct.first_us[1]) / 1e3, "gap_p95_ms",
                      (double) routed.gap_us[1] / 1e3, "core_us_per_token", core_us_per_token,
                      "resident_kib", (json_int_t) max_resident_kib, "idle", idle, "busy", busy));
  fleet_finish (&fleet);
  return direct.n_completed == N_REQUESTS && routed.n_completed == N_REQUESTS;
}

int
main (void)
{
  json_t *out = json_array ();
  bool ok = bench_fleet (3, out) && bench_fleet (LARGE_FLEET_ROUTERS, out);
  char *text = json_dumps (out, JSON_COMPACT);
  printf ("%s\n", text);
  free (text);
  json_decref (out);
  return ok ? EXIT_SUCCESS : EXIT_FAILURE;
}
