#include "core/load_estimate.h"

#include <glib.h>
#include <math.h>
#include <stdbool.h>

enum
{
  /* Reports that the moving average is of: enough to smooth the difference of single endpoints,
   * while it follows a burst within a few seconds of a router's requests. */
  MEAN_REPORTS = 16,
  MEAN_RUNS = 64,
  /* Age at which the mean of the reports no longer counts: the load may have changed since. */
  MEAN_TTL_US = 10 * 1000 * 1000,
  /* Assumed time of a request until some have ended. */
  DEFAULT_RUN_US = 1000 * 1000,
  /* Bounds of the time of a request, against single extreme ones. */
  MIN_RUN_US = 20 * 1000,
  MAX_RUN_US = 30 * 1000 * 1000,
};

void
dy_service_load_record_report (DyServiceLoad *load, double others, int64_t now_us)
{
  bool is_first = load->mean_us == 0 || now_us - load->mean_us >= MEAN_TTL_US;
  load->mean = is_first ? others : load->mean + (others - load->mean) / MEAN_REPORTS;
  load->mean_us = now_us;
}

void
dy_service_load_record_run (DyServiceLoad *load, int64_t time_us)
{
  double us = CLAMP ((double) time_us, (double) MIN_RUN_US, (double) MAX_RUN_US);
  if (load->n_runs < MEAN_RUNS)
    load->n_runs++;
  load->run_us += (us - load->run_us) / load->n_runs;
}

double
dy_service_load_run_us (const DyServiceLoad *load)
{
  return load->n_runs > 0 ? load->run_us : DEFAULT_RUN_US;
}

double
dy_service_load_age_us (const DyServiceLoad *load, int64_t reported_us, int64_t now_us)
{
  double longest_us = MAX (dy_service_load_run_us (load), (double) DY_LOAD_MIN_AGE_US);
  if (reported_us == 0)
    return longest_us;
  return CLAMP ((double) (now_us - reported_us), (double) DY_LOAD_MIN_AGE_US, longest_us);
}

double
dy_service_load_mean (const DyServiceLoad *load,
                      uint32_t n_endpoints,
                      uint32_t n_routers,
                      int64_t now_us)
{
  if (load->mean_us != 0 && now_us - load->mean_us < MEAN_TTL_US)
    return load->mean;
  double others = n_routers > 1 ? n_routers - 1 : 0;
  return n_endpoints > 0 ? others * load->n_in_flight / n_endpoints : 0.0;
}

DyLoadEstimate
dy_load_estimate (
    const DyServiceLoad *load, double mean, double others, int64_t reported_us, int64_t now_us)
{
  int64_t age_us = MAX (now_us - reported_us, (int64_t) DY_LOAD_MIN_AGE_US);
  double weight = reported_us == 0 ? 0.0 : exp (-(double) age_us / dy_service_load_run_us (load));
  return (DyLoadEstimate){ .requests = mean + (others - mean) * weight,
                           .deviation = sqrt (mean * (1.0 - weight * weight)) };
}
