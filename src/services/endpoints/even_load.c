#include "services/endpoints/even_load.h"

#include "kernel/priority.h"

static const double UPDATE_S = 1.0;

static bool
spreads (const DyDirectory *directory)
{
  const char *setting = directory->kernel->settings->spread_load;
  return g_strcmp0 (setting, "yes") == 0
         || (g_strcmp0 (setting, "stated") == 0 && directory->states_slowness);
}

static void
update (DyDirectory *directory)
{
  DyKernel *kernel = directory->kernel;
  int64_t now_us = dy_kernel_now_us (kernel);
  dy_placement_set_spread (&directory->placement, spreads (directory),
                           dy_members_count (&directory->peers->members, now_us));
  dy_counters_set (&kernel->counters, DY_COUNTER_BUSIEST_PERCENT,
                   dy_placement_busiest_percent (&directory->placement, now_us));
  dy_counters_set (&kernel->counters, DY_COUNTER_SLOW_ENDPOINTS,
                   dy_placement_slow_count (&directory->placement, now_us));
}

static void
on_timer (struct ev_loop *loop, ev_timer *w, int events)
{
  (void) loop;
  (void) events;
  update (w->data);
}

void
dy_even_load_start (DyDirectory *directory)
{
  ev_timer_init (&directory->even_load_timer, on_timer, UPDATE_S, UPDATE_S);
  ev_set_priority (&directory->even_load_timer, DY_PRIORITY_TIMEOUT);
  directory->even_load_timer.data = directory;
  ev_timer_start (directory->kernel->loop, &directory->even_load_timer);
  update (directory);
}

void
dy_even_load_stop (DyDirectory *directory)
{
  ev_timer_stop (directory->kernel->loop, &directory->even_load_timer);
}

void
dy_even_load_take_routes (DyDirectory *directory)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, directory->routes.services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const DyRouteService *service = value;
      dy_placement_set_memory (&directory->placement, service->name, service->memory_tokens);
    }
}
