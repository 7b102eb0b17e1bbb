#ifndef DY_CORE_LOAD_ESTIMATE_H
#define DY_CORE_LOAD_ESTIMATE_H

/**
 * NAME
 *   load_estimate - estimated load of endpoints whose reports are old, with its uncertainty
 *
 * DESCRIPTION
 *   Load: 60 to 140 endpoints and 24 to 90 routers, each of which sends 4 to 7 requests a second. A
 *   router gets a report of a single endpoint every few seconds, while requests run for about one.
 *
 *   Requests come to and leave an endpoint independently of its report, so what others have there
 *   returns to the mean of the service's endpoints, the faster the shorter requests run. After time
 *   t, of requests that run for D, the estimate is mean + (reported - mean) * exp (-t / D), and its
 *   variance mean * (1 - exp (-2 t / D)), as for a queue with Poisson arrivals and a free server
 * for each. Without a report the estimate is the mean. D is the mean time of this router's
 * requests.
 *
 *   The mean is a moving average of the reports of the service's endpoints. Until there are some,
 *   and once they are old, it is what the other routers have in flight if each has as much as this
 *   one.
 *
 * UNITS
 *   Microseconds where a name ends in _us; load is a number of requests. The module reads no clock;
 *   the time is passed in as NOW_US.
 */

#include <stdint.h>

enum
{
  /* A report never counts as newer: meanwhile other routers choose by reports of the same age. */
  DY_LOAD_MIN_AGE_US = 100 * 1000,
};

/* What is known of the requests to a service. All fields are 0 at first. */
typedef struct
{
  double mean;          /* of the reports: requests of others at an endpoint */
  int64_t mean_us;      /* time of the latest report; 0: none */
  double run_us;        /* mean time that a request takes */
  uint32_t n_runs;      /* requests that the mean is of, up to a bound */
  uint32_t n_in_flight; /* requests of this router */
} DyServiceLoad;

typedef struct
{
  double requests;
  double deviation; /* standard deviation of the estimate */
} DyLoadEstimate;

/* Records that an endpoint of the service reported OTHERS requests of other routers. */
void dy_service_load_record_report (DyServiceLoad *load, double others, int64_t now_us);

/* Records that a request took TIME_US. */
void dy_service_load_record_run (DyServiceLoad *load, int64_t time_us);

/* Returns the mean time that a request takes. */
double dy_service_load_run_us (const DyServiceLoad *load);

/* Returns the age of a report of REPORTED_US (0: none) as far as it matters: at least
 * DY_LOAD_MIN_AGE_US, and at most the mean time of a request. */
double dy_service_load_age_us (const DyServiceLoad *load, int64_t reported_us, int64_t now_us);

/* Returns the mean load of others at an endpoint of the service, which has N_ENDPOINTS, in a fleet
 * of N_ROUTERS. */
double dy_service_load_mean (const DyServiceLoad *load,
                             uint32_t n_endpoints,
                             uint32_t n_routers,
                             int64_t now_us);

/* Estimates what others have at an endpoint that reported OTHERS at REPORTED_US (0: never), where
 * the mean is MEAN. */
DyLoadEstimate dy_load_estimate (
    const DyServiceLoad *load, double mean, double others, int64_t reported_us, int64_t now_us);

#endif
