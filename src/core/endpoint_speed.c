#include "core/endpoint_speed.h"

#include <glib.h>
#include <math.h>

enum
{
  /* Answers that the service's mean is of: enough that one slow endpoint hardly moves it. */
  MEAN_ANSWERS = 32,
  /* A router sees an endpoint every few seconds. Replayed with 30, 60 and 120 s: 30 s forget the
   * speeds of endpoints between answers, with 120 s one that was slowed is passed over for long. */
  PACE_TTL_US = 60 * 1000 * 1000,
  /* The stated slowness changes many times a second. */
  SLOWNESS_TTL_US = 2 * 1000 * 1000,
};

/* Weight of the newest answer: one that was held up once does not count as a slow endpoint. */
static const double NEWEST = 0.3;

/* Bounds of each sign: a single odd value must not rule an endpoint out. */
static const double MIN_FACTOR = 0.25;
static const double MAX_FACTOR = 4.0;

void
dy_endpoint_speed_record_pace (DyEndpointSpeed *speed,
                               DyServicePace *service,
                               double us_per_event,
                               int64_t now_us)
{
  if (!(us_per_event > 0.0))
    return;
  service->us_per_event
      = service->us_per_event > 0.0
            ? service->us_per_event + (us_per_event - service->us_per_event) / MEAN_ANSWERS
            : us_per_event;
  double ratio = CLAMP (us_per_event / service->us_per_event, MIN_FACTOR, MAX_FACTOR);
  double before = speed->pace_us != 0 ? speed->pace : 1.0;
  speed->pace = before + (ratio - before) * NEWEST;
  speed->pace_us = now_us;
}

void
dy_endpoint_speed_record_slowness (DyEndpointSpeed *speed, uint32_t percent, int64_t now_us)
{
  speed->slowness = CLAMP ((double) percent / 100.0, MIN_FACTOR, MAX_FACTOR);
  speed->slowness_us = now_us;
}

/* Returns FACTOR, which was known at KNOWN_US (0: never), nearer to 1 the older it is. */
static double
weigh (double factor, int64_t known_us, int64_t ttl_us, int64_t now_us)
{
  if (known_us == 0)
    return 1.0;
  double age = (double) MAX (now_us - known_us, 0) / (double) ttl_us;
  return 1.0 + (factor - 1.0) * exp (-age);
}

double
dy_endpoint_speed_slowdown (const DyEndpointSpeed *speed, int64_t now_us)
{
  double pace = weigh (speed->pace, speed->pace_us, PACE_TTL_US, now_us);
  double slowness = weigh (speed->slowness, speed->slowness_us, SLOWNESS_TTL_US, now_us);
  return speed->slowness_us != 0 ? MAX (pace, slowness) : pace;
}

double
dy_endpoint_speed_factor (const DyEndpointSpeed *speed, int64_t now_us)
{
  return MAX (dy_endpoint_speed_slowdown (speed, now_us) / DY_SPEED_USUAL, 1.0);
}
