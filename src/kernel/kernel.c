#include "kernel/kernel.h"

#include "kernel/error.h"
#include "kernel/log.h"

#include <glib.h>
#include <string.h>
#include <sys/random.h>
#include <time.h>

/* The lowest bit is 0, because a router can have two rows in a ledger entry and the second one
 * takes the id plus 1. An id of 0 means no incarnation. */
static uint64_t
new_incarnation_id (void)
{
  uint64_t id = 0;
  while (id < 2)
    if (getrandom (&id, sizeof id, 0) != (ssize_t) sizeof id)
      id = 0;
  return id & ~UINT64_C (1);
}

void
dy_kernel_init (DyKernel *kernel, struct ev_loop *loop, const DySettings *settings)
{
  memset (kernel, 0, sizeof *kernel);
  kernel->loop = loop;
  kernel->settings = settings;
  kernel->incarnation_id = new_incarnation_id ();
}

void
dy_kernel_finish (DyKernel *kernel)
{
  dy_kernel_stop (kernel);
}

void
dy_kernel_add (DyKernel *kernel, const DyService *service)
{
  g_assert (kernel->n_services < DY_MAX_SERVICES);
  kernel->services[kernel->n_services++] = *service;
}

void *
dy_kernel_find (DyKernel *kernel, const char *name)
{
  for (uint32_t i = 0; i < kernel->n_services; i++)
    if (strcmp (kernel->services[i].name, name) == 0)
      return kernel->services[i].self;
  return NULL;
}

int
dy_kernel_start (DyKernel *kernel)
{
  for (uint32_t i = 0; i < kernel->n_services; i++)
    {
      DyService *service = &kernel->services[i];
      int error = service->start ? service->start (service->self, kernel) : DY_OK;
      if (error)
        {
          dy_log (DY_EVENT_SERVICE_FAILED, "service=%s kind=%s", service->name,
                  dy_error_info (error)->kind);
          dy_kernel_stop (kernel);
          return error;
        }
      kernel->n_started = i + 1;
    }
  return DY_OK;
}

void
dy_kernel_drain (DyKernel *kernel)
{
  kernel->draining = true;
  for (uint32_t i = 0; i < kernel->n_started; i++)
    if (kernel->services[i].drain)
      kernel->services[i].drain (kernel->services[i].self);
}

bool
dy_kernel_others_busy (DyKernel *kernel, const void *self)
{
  for (uint32_t i = 0; i < kernel->n_started; i++)
    {
      const DyService *service = &kernel->services[i];
      if (service->self != self && service->busy && service->busy (service->self))
        return true;
    }
  return false;
}

bool
dy_kernel_busy (DyKernel *kernel)
{
  return dy_kernel_others_busy (kernel, NULL);
}

void
dy_kernel_stop (DyKernel *kernel)
{
  while (kernel->n_started > 0)
    {
      DyService *service = &kernel->services[--kernel->n_started];
      if (service->stop)
        service->stop (service->self);
    }
}

static json_t *
dump_counters (const DyCounters *counters)
{
  json_t *values = json_object ();
  for (int i = 0; i < DY_N_COUNTERS; i++)
    json_object_set_new (values, dy_counter_name ((DyCounter) i),
                         json_integer (counters->values[i]));
  return values;
}

json_t *
dy_kernel_dump (DyKernel *kernel)
{
  json_t *state = json_object ();
  json_object_set_new (state, "counters", dump_counters (&kernel->counters));
  for (uint32_t i = 0; i < kernel->n_services; i++)
    if (kernel->services[i].dump)
      json_object_set_new (state, kernel->services[i].name,
                           kernel->services[i].dump (kernel->services[i].self));
  return state;
}

int64_t
dy_kernel_now_us (const DyKernel *kernel)
{
  (void) kernel;
  return g_get_monotonic_time ();
}

int64_t
dy_kernel_boot_us (void)
{
  struct timespec time;
  clock_gettime (CLOCK_BOOTTIME, &time);
  return (int64_t) time.tv_sec * G_USEC_PER_SEC + time.tv_nsec / 1000;
}
