#ifndef DY_CORE_ENDPOINT_SPEED_H
#define DY_CORE_ENDPOINT_SPEED_H

/**
 * NAME
 *   endpoint_speed - how slow an endpoint is, learned from its own answers
 *
 * DESCRIPTION
 *   Load: endpoints of 0.7 to 1.7 times the usual speed, some of which are slowed fourfold for
 *   seconds. A router gets an answer of a single endpoint every few seconds.
 *
 *   Two signs are used. The pace is the mean time between the events of an answer against that of
 *   the service's answers, as a moving average. The slowness is stated by endpoints that share a
 *   machine. Both are bounded and lose their weight with age. The larger one counts, as both may
 *   tell of the same cause.
 *
 *   The slowdown says how fast requests leave an endpoint. Only what exceeds DY_SPEED_USUAL
 * lengthens the predicted wait. Endpoints that are faster or slower than others for good need no
 * longer or shorter prediction: equal numbers of requests in flight are requests in proportion to
 * speed. Predicting by all of the slowdown overloaded the fast endpoints
 * (docs/design/even-load.md).
 *
 * UNITS
 *   Microseconds where a name ends in _us. The module reads no clock; the time is passed in as
 *   NOW_US.
 */

#include <stdint.h>

/* Slowdown against the service's mean that is taken for the usual difference of speeds. */
#define DY_SPEED_USUAL 1.5

/* The mean pace of a service's answers. All fields are 0 at first. */
typedef struct
{
  double us_per_event; /* 0: none yet */
} DyServicePace;

/* All fields are 0 at first. */
typedef struct
{
  double pace;         /* against the service's mean; 1: the same */
  int64_t pace_us;     /* time of the latest answer; 0: none */
  double slowness;     /* as stated; 1: as usual */
  int64_t slowness_us; /* time of the latest statement; 0: none */
} DyEndpointSpeed;

/* Records that the events of an answer came US_PER_EVENT apart. Values that are not positive are
 * ignored. */
void dy_endpoint_speed_record_pace (DyEndpointSpeed *speed,
                                    DyServicePace *service,
                                    double us_per_event,
                                    int64_t now_us);

/* Records that the endpoint stated that work takes PERCENT of the usual time. */
void dy_endpoint_speed_record_slowness (DyEndpointSpeed *speed, uint32_t percent, int64_t now_us);

/* Returns the factor on the time that work takes, from 0.25 to 4; 1 if nothing is known. */
double dy_endpoint_speed_slowdown (const DyEndpointSpeed *speed, int64_t now_us);

/* Returns the factor by which placement lengthens the predicted wait, at least 1. */
double dy_endpoint_speed_factor (const DyEndpointSpeed *speed, int64_t now_us);

#endif
