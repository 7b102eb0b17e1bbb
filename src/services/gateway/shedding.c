#include "services/gateway/shedding.h"

#include "kernel/error.h"
#include "kernel/log.h"

#include <string.h>
#include <time.h>

#define LOAD_KEY "router-load"

enum
{
  MAX_FIGURE = 1000 * 1000, /* larger ones in a statement are not believed */
};

static const double SAMPLE_S = 0.25;

static int64_t
now_us (const DyShedding *shedding)
{
  return dy_kernel_now_us (shedding->kernel);
}

static int64_t
processor_time_us (void)
{
  struct timespec time = { 0 };
  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &time);
  return (int64_t) time.tv_sec * G_USEC_PER_SEC + time.tv_nsec / 1000;
}

/* Returns the text of a statement, to be freed with free(). */
static char *
encode (const DyShedding *shedding, const DyMemberLoad *load)
{
  json_t *root = json_pack ("{s:s, s:b, s:b, s:I, s:I, s:I}", "node",
                            shedding->kernel->settings->node_name, "loaded", load->loaded, "ready",
                            load->ready, "out", (json_int_t) load->out_pressure, "open",
                            (json_int_t) load->open, "pressure", (json_int_t) load->pressure);
  char *text = json_dumps (root, JSON_COMPACT);
  json_decref (root);
  return text;
}

static bool
read_figure (const json_t *root, const char *name, uint32_t *value)
{
  const json_t *item = json_object_get (root, name);
  json_int_t number = json_integer_value (item);
  *value = (uint32_t) number;
  return json_is_integer (item) && number >= 0 && number <= MAX_FIGURE;
}

static bool
read_flag (const json_t *root, const char *name, bool *value)
{
  const json_t *item = json_object_get (root, name);
  *value = json_is_true (item);
  return json_is_boolean (item);
}

static void
take_statement (DyShedding *shedding, const json_t *root)
{
  const char *node = json_string_value (json_object_get (root, "node"));
  DyMemberLoad load = { .stated_us = now_us (shedding) };
  if (node && read_flag (root, "loaded", &load.loaded) && read_flag (root, "ready", &load.ready)
      && read_figure (root, "out", &load.out_pressure) && read_figure (root, "open", &load.open)
      && read_figure (root, "pressure", &load.pressure))
    {
      dy_members_record_load (&shedding->peers->members, node, &load);
      return;
    }
  if (!shedding->rejected)
    dy_log (DY_EVENT_LOAD_UNREADABLE, "node=%s", node ? node : "-");
  shedding->rejected = true;
}

static void
on_message (void *ctx, uint64_t link, const DyMessage *message)
{
  (void) link;
  if (message->type != DY_MESSAGE_CONFIG || strcmp (message->u.config.key, LOAD_KEY) != 0
      || !message->u.config.text)
    return;
  json_t *root = json_loadb (message->u.config.text, message->u.config.n_text, 0, NULL);
  take_statement (ctx, root);
  json_decref (root);
}

/* A router that has just connected knows nothing of this one. */
static void
on_peer_up (void *ctx, const char *name)
{
  DyShedding *shedding = ctx;
  if (!shedding->load.stated)
    return;
  char *text = encode (shedding, &shedding->load.statement);
  dy_peers_send_object (shedding->peers, name, LOAD_KEY, text);
  free (text);
}

static const DyPeersWatcher peers_watcher = { .message = on_message, .up = on_peer_up };

static void
send_to_data_centre (DyShedding *shedding, const char *text)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, shedding->peers->members.by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const DyMember *member = value;
      if (strcmp (member->data_centre, shedding->kernel->settings->data_centre) == 0)
        dy_peers_send_object (shedding->peers, member->name, LOAD_KEY, text);
    }
}

static void
state_load (DyShedding *shedding, bool ready)
{
  DyMemberLoad statement;
  DyStatementScope scope
      = dy_router_load_state_now (&shedding->load, ready, now_us (shedding), &statement);
  if (scope == DY_STATE_NOTHING)
    return;
  char *text = encode (shedding, &statement);
  if (scope == DY_STATE_TO_ALL)
    dy_peers_send_object (shedding->peers, NULL, LOAD_KEY, text);
  else
    send_to_data_centre (shedding, text);
  free (text);
  dy_counters_add (&shedding->kernel->counters, DY_COUNTER_LOAD_STATEMENTS, 1);
}

static void
log_change (const DyShedding *shedding)
{
  const DyRouterLoad *load = &shedding->load;
  const DyRouterLoadOthers *others = &shedding->others;
  dy_log (DY_EVENT_LOAD_CHANGED,
          "state=%s out=%d pressure=%d strain=%d open=%u unsent_bytes=%" G_GUINT64_FORMAT
          " others=%u ready=%u others_out=%u known=%u median_open=%u median_pressure=%u",
          dy_load_state_name (load->state), load->announced_us != 0, (int) load->pressure,
          (int) load->strain, load->last.open, load->last.unsent_bytes, others->n_listed,
          others->n_ready, others->n_out, others->n_known, others->median_open,
          others->median_pressure);
}

static void
set_gauges (DyShedding *shedding)
{
  DyCounters *counters = &shedding->kernel->counters;
  dy_counters_set (counters, DY_COUNTER_LOAD_STATE, (int64_t) shedding->load.state);
  dy_counters_set (counters, DY_COUNTER_LOAD_PRESSURE, (int64_t) shedding->load.pressure);
  dy_counters_set (counters, DY_COUNTER_LOAD_OUT, !dy_shedding_is_ready (shedding));
}

static void
on_timer (struct ev_loop *loop, ev_timer *w, int events)
{
  DyShedding *shedding = w->data;
  DyRouterLoadSample sample = { .now_us = now_us (shedding) };
  (void) loop;
  (void) events;
  bool ready = shedding->measure && shedding->measure (shedding->measure_ctx, &sample);
  sample.cpu_us = processor_time_us ();
  sample.cpu_percent = (uint32_t) shedding->kernel->settings->cpu_percent;
  if (shedding->loop_monitor)
    {
      sample.busy_us = shedding->loop_monitor->busy_us;
      sample.longest_turn_us = dy_loop_monitor_take_longest (shedding->loop_monitor);
    }
  dy_router_load_survey (&shedding->load, &shedding->peers->members,
                         shedding->kernel->settings->data_centre, sample.now_us, &shedding->others);
  if (dy_router_load_sample (&shedding->load, &sample, &shedding->others))
    log_change (shedding);
  shedding->peers->members.self_loaded = dy_router_load_is_loaded (&shedding->load, sample.now_us);
  state_load (shedding, ready);
  set_gauges (shedding);
}

void
dy_shedding_record_wait (DyShedding *shedding, int64_t waited_us)
{
  dy_router_load_record_wait (&shedding->load, waited_us);
}

bool
dy_shedding_refuses (DyShedding *shedding, uint32_t priority)
{
  dy_router_load_record_priority (&shedding->load, priority);
  bool refuses = shedding->enabled && dy_router_load_refuses (&shedding->load, priority);
  if (refuses)
    dy_counters_add (&shedding->kernel->counters, DY_COUNTER_LOAD_REFUSED, 1);
  return refuses;
}

bool
dy_shedding_is_ready (const DyShedding *shedding)
{
  return !shedding->enabled || dy_router_load_is_ready (&shedding->load, now_us (shedding));
}

void
dy_shedding_record_denial (DyShedding *shedding)
{
  dy_router_load_record_denial (&shedding->load);
}

bool
dy_shedding_closes_next (DyShedding *shedding)
{
  bool closes
      = shedding->enabled && dy_router_load_closes_next (&shedding->load, now_us (shedding));
  if (closes)
    dy_counters_add (&shedding->kernel->counters, DY_COUNTER_LOAD_CLOSED, 1);
  return closes;
}

static int
service_start (void *self, DyKernel *kernel)
{
  DyShedding *shedding = self;
  shedding->kernel = kernel;
  shedding->peers = dy_kernel_find (kernel, DY_SERVICE_PEERS);
  shedding->enabled = strcmp (kernel->settings->shed_load, "yes") == 0;
  dy_router_load_init (&shedding->load);
  dy_peers_watch (shedding->peers, &peers_watcher, shedding);
  ev_timer_init (&shedding->timer, on_timer, SAMPLE_S, SAMPLE_S);
  shedding->timer.data = shedding;
  if (shedding->enabled)
    ev_timer_start (kernel->loop, &shedding->timer);
  return DY_OK;
}

static void
service_stop (void *self)
{
  DyShedding *shedding = self;
  ev_timer_stop (shedding->kernel->loop, &shedding->timer);
  shedding->enabled = false;
}

static json_t *
service_dump (void *self)
{
  const DyShedding *shedding = self;
  const DyRouterLoad *load = &shedding->load;
  return json_pack ("{s:b, s:s, s:b, s:i, s:i, s:I, s:I, s:I, s:I, s:I}", "enabled",
                    shedding->enabled, "state", dy_load_state_name (load->state), "out",
                    load->announced_us != 0, "pressure", (int) load->pressure, "strain",
                    (int) load->strain, "refuse_from", (json_int_t) load->refuse_from, "others",
                    (json_int_t) shedding->others.n_listed, "others_ready",
                    (json_int_t) shedding->others.n_ready, "median_open",
                    (json_int_t) shedding->others.median_open, "median_pressure",
                    (json_int_t) shedding->others.median_pressure);
}

void
dy_shedding_add_service (DyKernel *kernel, DyShedding *shedding)
{
  DyService service = { .name = DY_SERVICE_SHEDDING,
                        .self = shedding,
                        .start = service_start,
                        .stop = service_stop,
                        .dump = service_dump };
  dy_kernel_add (kernel, &service);
}
