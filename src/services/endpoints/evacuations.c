#include "services/endpoints/evacuations.h"

#include "kernel/log.h"

#include <string.h>

enum
{
  /* Delay that lets one call return several changes. It is small beside the bound, of seconds. */
  BATCH_DELAY_MS = 300,
};

static int64_t
now_us (const DyEvacuationWatch *watch)
{
  return dy_kernel_now_us (watch->kernel);
}

static const char *
data_centre_of (const DyEvacuationWatch *watch, const char *key)
{
  return key + strlen (watch->prefix);
}

static const char *
source_of (const DyEvacuationWatch *watch)
{
  return watch->watch.taking ? "peer" : "store";
}

static void
update_gauge (const DyEvacuationWatch *watch)
{
  dy_counters_set (&watch->kernel->counters, DY_COUNTER_EVACUATED,
                   dy_evacuations_count (&watch->placement->evacuations));
}

static void
begin_evacuation (DyEvacuationWatch *watch, const char *data_centre)
{
  if (!dy_placement_set_evacuated (watch->placement, data_centre, true, now_us (watch)))
    return;
  update_gauge (watch);
  dy_log (DY_EVENT_EVACUATED, "evacuation=%s endpoints=%u source=%s", data_centre,
          dy_placement_count_in (watch->placement, NULL, data_centre), source_of (watch));
}

static void
end_evacuation (DyEvacuationWatch *watch, const char *data_centre, const char *reason)
{
  const DyEvacuation *evacuation
      = dy_evacuations_find (&watch->placement->evacuations, data_centre);
  int64_t begun_us = evacuation ? evacuation->begun_us : 0;
  if (!dy_placement_set_evacuated (watch->placement, data_centre, false, now_us (watch)))
    return;
  update_gauge (watch);
  dy_log (DY_EVENT_EVACUATION_ENDED,
          "evacuation=%s endpoints=%u reason=%s source=%s ms=%" G_GINT64_FORMAT, data_centre,
          dy_placement_count_in (watch->placement, NULL, data_centre), reason, source_of (watch),
          (now_us (watch) - begun_us) / 1000);
}

/* The name says all: the contents need not be readable. */
static void
apply (void *ctx, const DyObject *object)
{
  DyEvacuationWatch *watch = ctx;
  const char *data_centre = data_centre_of (watch, object->key);
  if (object->value)
    begin_evacuation (watch, data_centre);
  else
    end_evacuation (watch, data_centre, "removed");
}

/* Ends the evacuations that are missing from a complete list, unless a restored store lost them. */
static void
end_unlisted (void *ctx, const DyPlatformReply *reply)
{
  DyEvacuationWatch *watch = ctx;
  DyEvacuations *evacuations = &watch->placement->evacuations;
  GHashTable *listed = g_hash_table_new (g_str_hash, g_str_equal);
  char **names = dy_evacuations_list (&watch->placement->evacuations);
  for (uint32_t i = 0; i < reply->n_objects; i++)
    g_hash_table_add (listed, (gpointer) data_centre_of (watch, reply->objects[i].key));
  for (char **name = names; *name; name++)
    if (!g_hash_table_contains (listed, *name)
        && !dy_evacuations_hold (evacuations, *name, watch->platform->restored_us, now_us (watch)))
      end_evacuation (watch, *name, "unlisted");
  g_strfreev (names);
  g_hash_table_unref (listed);
}

static const DyObjectWatcher watcher = { .apply = apply, .list_ended = end_unlisted };

void
dy_evacuation_watch_start (DyEvacuationWatch *watch,
                           DyKernel *kernel,
                           DyPlacement *placement,
                           DySpread *spread)
{
  const DyDialect *dialect = dy_kernel_find (kernel, DY_SERVICE_DIALECT);
  watch->kernel = kernel;
  watch->platform = dy_kernel_find (kernel, DY_SERVICE_PLATFORM);
  watch->peers = dy_kernel_find (kernel, DY_SERVICE_PEERS);
  watch->placement = placement;
  watch->prefix = dialect->evacuations_prefix;
  watch->enabled = kernel->settings->evacuations_bound_ms > 0;
  if (!watch->enabled)
    return;
  const DyObjectWatchSpec spec = { .prefix = watch->prefix,
                                   .batch_delay_ms = BATCH_DELAY_MS,
                                   .bound_ms = kernel->settings->evacuations_bound_ms,
                                   .watcher = &watcher,
                                   .ctx = watch };
  dy_object_watch_start (&watch->watch, kernel, spread, &spec);
}

void
dy_evacuation_watch_stop (DyEvacuationWatch *watch)
{
  if (watch->enabled)
    dy_object_watch_stop (&watch->watch);
}

void
dy_evacuation_watch_take (DyEvacuationWatch *watch, const DyMessage *message)
{
  if (watch->enabled)
    dy_object_watch_take (&watch->watch, message);
}

/* Returns whether an endpoint, this router or another one is in DATA_CENTRE. */
static bool
is_known (const DyEvacuationWatch *watch, const char *data_centre)
{
  GHashTableIter iter;
  gpointer value;
  /* Of a router whose data centre is not known yet, the name is empty. */
  if (!data_centre[0])
    return false;
  if (strcmp (data_centre, watch->kernel->settings->data_centre) == 0
      || dy_placement_count_in (watch->placement, NULL, data_centre) > 0)
    return true;
  g_hash_table_iter_init (&iter, watch->peers->members.by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (strcmp (((const DyMember *) value)->data_centre, data_centre) == 0)
      return true;
  return false;
}

static void
report_unknown (DyEvacuationWatch *watch)
{
  char **names = dy_evacuations_list (&watch->placement->evacuations);
  for (char **name = names; *name; name++)
    if (dy_evacuations_take_unknown (&watch->placement->evacuations, *name, is_known (watch, *name),
                                     now_us (watch)))
      dy_log (DY_EVENT_EVACUATION_UNKNOWN, "evacuation=%s", *name);
  g_strfreev (names);
}

void
dy_evacuation_watch_update (DyEvacuationWatch *watch, bool records_known)
{
  DyEvacuations *evacuations = &watch->placement->evacuations;
  const char *lapsed;
  if (g_hash_table_size (evacuations->by_data_centre) == 0)
    return;
  while ((lapsed = dy_evacuations_find_lapsed (evacuations, now_us (watch))))
    end_evacuation (watch, lapsed, "lapsed");
  if (records_known)
    report_unknown (watch);
  dy_evacuations_evict (evacuations, now_us (watch));
}

bool
dy_evacuation_watch_ready (const DyEvacuationWatch *watch)
{
  /* The known version is 0 while a list is awaited again, as after the store has dropped its
   * history. What was known before is kept and its age counts, so the router remains ready. */
  return !watch->enabled || watch->watch.age.version != 0 || watch->watch.history.version != 0;
}

int64_t
dy_evacuation_watch_age_ms (const DyEvacuationWatch *watch)
{
  return watch->enabled ? dy_object_watch_age_ms (&watch->watch) : 0;
}

json_t *
dy_evacuation_watch_dump (const DyEvacuationWatch *watch)
{
  json_t *list = json_array ();
  char **names = dy_evacuations_list (&watch->placement->evacuations);
  for (char **name = names; *name; name++)
    json_array_append_new (list, json_string (*name));
  g_strfreev (names);
  return list;
}
