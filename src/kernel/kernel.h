#ifndef DY_KERNEL_KERNEL_H
#define DY_KERNEL_KERNEL_H

/**
 * NAME
 *   kernel - registry and life cycle of the services that share one event loop
 *
 * DESCRIPTION
 *   The kernel holds what all services use: the libev loop, the settings, the metrics and the id of
 *   this router incarnation. Services are started in the order in which they were added and stopped
 *   in reverse. They find each other by name; a service's interface is a struct declared in the
 *   service's header.
 *
 *   For a graceful shutdown, call dy_kernel_drain(), run the loop until dy_kernel_busy() returns
 *   false or a time limit has passed, and call dy_kernel_stop().
 *
 * ERRORS
 *   dy_kernel_start() returns the error of the service that failed to start.
 */

#include "kernel/counters.h"
#include "kernel/settings.h"

#include <ev.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct DyKernel DyKernel;

typedef struct
{
  const char *name;
  void *self; /* the service's state; dy_kernel_find() returns it as the interface */
  /* Optional, as stop is, for services that are only a table of functions. Returns DY_OK or an
   * error. */
  int (*start) (void *self, DyKernel *kernel);
  void (*drain) (void *self); /* optional: stops accepting new work */
  bool (*busy) (void *self);  /* optional: whether the process must not exit yet */
  void (*stop) (void *self);
  json_t *(*dump) (void *self); /* optional: returns the state as a new JSON object */
} DyService;

enum
{
  DY_MAX_SERVICES = 24
};

struct DyKernel
{
  struct ev_loop *loop;
  const DySettings *settings;
  DyCounters counters;
  uint64_t incarnation_id; /* random, new at each start; even and not 0 */
  bool draining;
  DyService services[DY_MAX_SERVICES];
  uint32_t n_services;
  uint32_t n_started;
};

void dy_kernel_init (DyKernel *kernel, struct ev_loop *loop, const DySettings *settings);
/* Stops the services that are still started. */
void dy_kernel_finish (DyKernel *kernel);

/* Adds a copy of SERVICE; at most DY_MAX_SERVICES can be added. */
void dy_kernel_add (DyKernel *kernel, const DyService *service);

/* Returns the interface of the service NAME, or NULL. */
void *dy_kernel_find (DyKernel *kernel, const char *name);

/* Starts all services in order. When one fails, stops those already started and returns its
 * error. */
int dy_kernel_start (DyKernel *kernel);

/* Starts draining: calls drain() of the started services, which then accept no new work. */
void dy_kernel_drain (DyKernel *kernel);

/* Returns whether a started service is busy. */
bool dy_kernel_busy (DyKernel *kernel);

/* Returns the same for the services other than that of the interface SELF. */
bool dy_kernel_others_busy (DyKernel *kernel, const void *self);

/* Stops the started services in reverse order. */
void dy_kernel_stop (DyKernel *kernel);

/* Returns the counters and the state of each service, by name, as a new JSON object. */
json_t *dy_kernel_dump (DyKernel *kernel);

/* Returns the monotonic time in microseconds. */
int64_t dy_kernel_now_us (const DyKernel *kernel);

/* Returns the microseconds since the VM was started, with the time for which it was suspended,
 * which the monotonic time leaves out. */
int64_t dy_kernel_boot_us (void);

#endif
