#include "core/router_load.h"

#include <stdlib.h>
#include <string.h>

enum
{
  MS = 1000,
  LIMIT = 100, /* pressure, as are the next nine */
  RETURN_BELOW = 50,
  FULL_ABOVE = 150,
  KEEP_PRESSURE = 60,    /* to which connections are closed */
  OPEN_COUNTS_FROM = 50, /* strain below which open requests do not count */
  MAX_PRESSURE = 300,    /* of one sample */
  /* The same of what is no delay: use of processor and loop, and open requests. Only delays make a
   * router full, whatever the settings say of its processor. */
  MAX_USE_PRESSURE = 120,
  SMOOTHING = 4, /* samples */
  /* Median pressures of the others below which they have room, and from which they have none. */
  ROOM_BELOW = 60,
  NO_ROOM_FROM = 85,
  /* Use of the processor and of the loop at the limit. Beyond it queues grow quickly. */
  MAX_USE_PERCENT = 85,
  /* Half of the wait at which requests are refused, whatever their priority. */
  MAX_WAIT_US = 125 * MS,
  /* A VM with a tenth of a core may stand still for 90 ms of each 100 ms. */
  MAX_TURN_US = 400 * MS,
  MAX_UNSENT_BYTES = 512 * 1024,
  MIN_UNSENT_CALLS = 8, /* fewer are callers that read slowly, not a full link */
  OPEN_PER_MEDIAN = 4,
  MIN_OPEN_LIMIT = 24, /* a fleet with few open requests has large ratios by chance */
  /* A process that used so little processor time over so long did not run. */
  STILL_US = 1000 * MS,
  STILL_CPU_PER_MILLE = 20,
  MIN_OTHERS = 2,
  READY_NUMERATOR = 3, /* 3 in 4 of the others must be ready */
  READY_DENOMINATOR = 4,
  ANNOUNCE_US = 500 * MS,
  MIN_OUT_US = 4000 * MS, /* two probes, and time to close connections */
  OUT_WINDOW_US = 60 * 1000 * MS,
  MAX_OUT_US = 20 * 1000 * MS, /* in the window */
  OUT_MARGIN_US = 500 * MS,    /* a sample may be late by as much */
  OUT_SMOOTHING = 240,         /* samples: a minute */
  DENIALS = 2,                 /* probes after which the load balancer has taken notice */
  /* Longer than MIN_STATEMENT_US: if all others become loaded at the same time, it is known. */
  SUSTAINED_US = 1250 * MS,
  STEP_US = 500 * MS, /* between changes of the refused priorities */
  DUTY_HOLD_US = 10 * 1000 * MS,
  MIN_STATEMENT_US = 1000 * MS, /* between statements of figures */
  /* Refreshes, so that a statement that was lost or has grown old is replaced. */
  REFRESH_US = 30 * 1000 * MS,
  REFRESH_LOADED_US = 5 * 1000 * MS,
  OPEN_STEP = 8, /* smallest differences that are stated */
  PRESSURE_STEP = 25,
};

/* Routers out of rotation for their load, as a share of the data centre, on the mean of a minute.
 * All together must be ready for seven eighths of the time. */
static const double MAX_OUT_SHARE = 0.08;
static const double RECENT_KEPT = 0.95; /* of the count of requests by priority, per sample */
static const double RECENT_MIN = 0.5;   /* a count below it is none */

void
dy_router_load_init (DyRouterLoad *load)
{
  memset (load, 0, sizeof *load);
  load->refuse_from = DY_LOAD_PRIORITIES;
}

const char *
dy_load_state_name (DyLoadState state)
{
  static const char *const names[] = { "normal", "shedding", "full" };
  return names[state];
}

void
dy_router_load_record_priority (DyRouterLoad *load, uint32_t priority)
{
  load->recent[MIN (priority, DY_LOAD_PRIORITIES - 1)] += 1.0;
}

void
dy_router_load_record_wait (DyRouterLoad *load, int64_t waited_us)
{
  load->waited_us += MAX (waited_us, 0);
  load->n_waited++;
}

void
dy_router_load_record_denial (DyRouterLoad *load)
{
  load->n_denied++;
}

static double
ratio (double value, double limit)
{
  return value * LIMIT / limit;
}

/* Returns the pressure of SAMPLE apart from that of the open requests. */
static double
strain_of (const DyRouterLoad *load, const DyRouterLoadSample *sample)
{
  double elapsed_us = (double) (sample->now_us - load->last.now_us);
  double usable_us = elapsed_us * MAX_USE_PERCENT / 100.0;
  double use = ratio ((double) (sample->busy_us - load->last.busy_us), usable_us);
  if (sample->cpu_percent > 0)
    use = MAX (use, ratio ((double) (sample->cpu_us - load->last.cpu_us),
                           usable_us * sample->cpu_percent / 100.0));
  double strain = MIN (use, MAX_USE_PRESSURE);
  if (load->n_waited > 0)
    strain = MAX (strain, ratio ((double) load->waited_us / load->n_waited, MAX_WAIT_US));
  strain = MAX (strain, ratio ((double) sample->longest_turn_us, MAX_TURN_US));
  if (sample->unsent_calls >= MIN_UNSENT_CALLS)
    strain = MAX (strain, ratio ((double) sample->unsent_bytes, MAX_UNSENT_BYTES));
  return CLAMP (strain, 0.0, MAX_PRESSURE);
}

static bool
stood_still (const DyRouterLoad *load, const DyRouterLoadSample *sample)
{
  int64_t elapsed_us = sample->now_us - load->last.now_us;
  return elapsed_us > STILL_US
         && (sample->cpu_us - load->last.cpu_us) * 1000 < elapsed_us * STILL_CPU_PER_MILLE;
}

static void
update_pressure (DyRouterLoad *load,
                 const DyRouterLoadSample *sample,
                 const DyRouterLoadOthers *others)
{
  double strain = strain_of (load, sample);
  double open_limit = MAX ((double) others->median_open * OPEN_PER_MEDIAN, MIN_OPEN_LIMIT);
  double pressure = strain;
  load->strain += (strain - load->strain) / SMOOTHING;
  if (load->strain >= OPEN_COUNTS_FROM)
    pressure = MAX (pressure, MIN (ratio (sample->open, open_limit), MAX_USE_PRESSURE));
  load->pressure += (pressure - load->pressure) / SMOOTHING;
  if (load->pressure < LIMIT)
    load->over_us = 0;
  else if (!load->over_us)
    load->over_us = sample->now_us;
}

/* Returns whether the load of most of the others is known, and they have room. */
static bool
others_have_room (const DyRouterLoadOthers *others)
{
  return others->n_known >= MIN_OTHERS && 2 * others->n_known >= others->n_listed
         && others->median_pressure < ROOM_BELOW;
}

static DyLoadState
next_state (const DyRouterLoad *load, const DyRouterLoadOthers *others, int64_t now_us)
{
  bool is_over = load->pressure < RETURN_BELOW || load->pressure <= others->median_pressure
                 || others->median_pressure >= NO_ROOM_FROM || others->n_known < MIN_OTHERS;
  if (load->state != DY_LOAD_NORMAL && is_over)
    return DY_LOAD_NORMAL;
  if (load->state == DY_LOAD_FULL)
    return load->pressure < LIMIT ? DY_LOAD_SHEDDING : DY_LOAD_FULL;
  bool is_sustained = load->over_us && now_us - load->over_us >= SUSTAINED_US;
  if (!is_sustained || !others_have_room (others))
    return load->state;
  return load->pressure >= FULL_ABOVE ? DY_LOAD_FULL : DY_LOAD_SHEDDING;
}

/* While full, refuses one more priority after the other, but never the most urgent one that
 * occurs: those are refused only if they have waited too long. */
static void
update_refused (DyRouterLoad *load, int64_t now_us)
{
  uint32_t first = 0;
  if (load->state != DY_LOAD_FULL)
    {
      load->refuse_from = DY_LOAD_PRIORITIES;
      return;
    }
  if (now_us - load->stepped_us < STEP_US)
    return;
  while (first < DY_LOAD_PRIORITIES && load->recent[first] < RECENT_MIN)
    first++;
  for (uint32_t i = load->refuse_from; i-- > first + 1;)
    if (load->recent[i] >= RECENT_MIN)
      {
        load->refuse_from = i;
        load->stepped_us = now_us;
        return;
      }
}

/* Returns for how long the router was not ready for its load in the window that ends now. */
static int64_t
out_us (const DyRouterLoad *load, int64_t now_us)
{
  int64_t sum_us = 0;
  for (uint32_t i = 0; i < MIN (load->n_periods, DY_LOAD_PERIODS); i++)
    {
      const DyLoadPeriod *period = &load->periods[i];
      int64_t start_us = MAX (period->start_us, now_us - OUT_WINDOW_US);
      int64_t end_us = period->end_us ? period->end_us : now_us;
      sum_us += MAX (end_us - start_us, 0);
    }
  return sum_us;
}

static bool
enough_ready (const DyRouterLoadOthers *others, uint32_t n_ready)
{
  return others->n_listed >= MIN_OTHERS
         && n_ready * READY_DENOMINATOR >= others->n_listed * READY_NUMERATOR;
}

static void
go_out (DyRouterLoad *load, int64_t now_us)
{
  load->announced_us = now_us;
  load->announced_pressure = MAX ((uint32_t) load->pressure, 1);
  load->n_denied = 0;
  load->periods[load->n_periods % DY_LOAD_PERIODS]
      = (DyLoadPeriod){ .start_us = now_us + ANNOUNCE_US };
  load->n_periods++;
}

static void
come_back (DyRouterLoad *load, int64_t now_us)
{
  DyLoadPeriod *period = &load->periods[(load->n_periods - 1) % DY_LOAD_PERIODS];
  period->end_us = MAX (now_us, period->start_us);
  load->announced_us = 0;
  load->announced_pressure = 0;
}

static void
update_rotation (DyRouterLoad *load, const DyRouterLoadOthers *others, int64_t now_us)
{
  double n_out = others->n_out + (load->announced_us ? 1 : 0);
  load->out_share += (n_out / (others->n_listed + 1) - load->out_share) / OUT_SMOOTHING;
  if (!load->announced_us)
    {
      /* A small VM may never be below half of its limit. */
      if (load->state != DY_LOAD_NORMAL && load->pressure >= LIMIT
          && enough_ready (others, others->n_ready) && load->out_share < MAX_OUT_SHARE
          && out_us (load, now_us) + MIN_OUT_US <= MAX_OUT_US)
        go_out (load, now_us);
      return;
    }
  /* Those that are out and under less pressure withdraw, so they count as ready. */
  uint32_t n_ready = others->n_ready + others->n_out - others->n_out_before;
  bool rested = now_us - load->announced_us >= ANNOUNCE_US + MIN_OUT_US;
  if (!enough_ready (others, n_ready) || out_us (load, now_us) + OUT_MARGIN_US >= MAX_OUT_US
      || (rested && load->state == DY_LOAD_NORMAL))
    come_back (load, now_us);
}

bool
dy_router_load_sample (DyRouterLoad *load,
                       const DyRouterLoadSample *sample,
                       const DyRouterLoadOthers *others)
{
  DyLoadState state = load->state;
  bool was_out = load->announced_us != 0;
  bool usable = load->last.now_us && sample->now_us > load->last.now_us;
  if (usable && !stood_still (load, sample))
    {
      update_pressure (load, sample, others);
      load->state = next_state (load, others, sample->now_us);
      if (load->state == DY_LOAD_NORMAL && state != DY_LOAD_NORMAL)
        load->normal_us = sample->now_us;
      update_refused (load, sample->now_us);
    }
  if (usable)
    update_rotation (load, others, sample->now_us);
  for (uint32_t i = 0; i < DY_LOAD_PRIORITIES; i++)
    load->recent[i] *= RECENT_KEPT;
  load->last = *sample;
  load->waited_us = 0;
  load->n_waited = 0;
  return load->state != state || (load->announced_us != 0) != was_out;
}

static int
compare_numbers (const void *a, const void *b)
{
  uint32_t x = *(const uint32_t *) a;
  uint32_t y = *(const uint32_t *) b;
  return (x > y) - (x < y);
}

static uint32_t
median (GArray *values)
{
  if (values->len == 0)
    return 0;
  g_array_sort (values, compare_numbers);
  return g_array_index (values, uint32_t, values->len / 2);
}

static bool
goes_before (const DyRouterLoad *load, const DyMembers *members, const DyMember *member)
{
  if (member->load.out_pressure != load->announced_pressure)
    return member->load.out_pressure > load->announced_pressure;
  return strcmp (member->name, members->self_name) < 0;
}

void
dy_router_load_survey (const DyRouterLoad *load,
                       const DyMembers *members,
                       const char *data_centre,
                       int64_t now_us,
                       DyRouterLoadOthers *others)
{
  GArray *opens = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  GArray *pressures = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  GHashTableIter iter;
  gpointer value;
  memset (others, 0, sizeof *others);
  g_hash_table_iter_init (&iter, members->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const DyMember *member = value;
      if (strcmp (member->data_centre, data_centre) != 0)
        continue;
      others->n_listed++;
      bool known = dy_members_load_is_known (member, now_us);
      if (!dy_members_is_live (members, member, now_us) || (known && !member->load.ready))
        continue;
      if (known && member->load.out_pressure > 0)
        {
          others->n_out++;
          others->n_out_before += goes_before (load, members, member);
        }
      else
        others->n_ready++;
      if (!known)
        continue;
      g_array_append_val (opens, member->load.open);
      g_array_append_val (pressures, member->load.pressure);
    }
  others->n_known = opens->len;
  others->median_open = median (opens);
  others->median_pressure = median (pressures);
  g_array_unref (opens);
  g_array_unref (pressures);
}

bool
dy_router_load_is_ready (const DyRouterLoad *load, int64_t now_us)
{
  return !load->announced_us || now_us - load->announced_us < ANNOUNCE_US;
}

bool
dy_router_load_closes_next (DyRouterLoad *load, int64_t now_us)
{
  if (dy_router_load_is_ready (load, now_us) || load->n_denied < DENIALS
      || load->pressure <= KEEP_PRESSURE)
    return false;
  load->close_credit += 1.0 - KEEP_PRESSURE / load->pressure;
  if (load->close_credit < 1.0)
    return false;
  load->close_credit -= 1.0;
  return true;
}

bool
dy_router_load_refuses (const DyRouterLoad *load, uint32_t priority)
{
  return MIN (priority, DY_LOAD_PRIORITIES - 1) >= load->refuse_from;
}

bool
dy_router_load_is_loaded (const DyRouterLoad *load, int64_t now_us)
{
  return load->state != DY_LOAD_NORMAL
         || (load->normal_us && now_us - load->normal_us < DUTY_HOLD_US);
}

/* Returns whether VALUE differs much from STATED, by at least STEP and by half. */
static bool
differs (uint32_t value, uint32_t stated, uint32_t step)
{
  uint32_t difference = value > stated ? value - stated : stated - value;
  return difference >= step && 2 * difference >= stated;
}

DyStatementScope
dy_router_load_state_now (DyRouterLoad *load, bool ready, int64_t now_us, DyMemberLoad *statement)
{
  const DyMemberLoad *stated = &load->statement;
  *statement = (DyMemberLoad){ .stated_us = now_us,
                               .loaded = dy_router_load_is_loaded (load, now_us),
                               .ready = ready,
                               .out_pressure = load->announced_pressure,
                               .open = load->last.open,
                               .pressure = (uint32_t) load->pressure };
  int64_t age_us = now_us - stated->stated_us;
  bool changed = !load->stated || statement->loaded != stated->loaded;
  bool moved = statement->ready != stated->ready || statement->out_pressure != stated->out_pressure;
  bool differ = differs (statement->open, stated->open, OPEN_STEP)
                || differs (statement->pressure, stated->pressure, PRESSURE_STEP);
  DyStatementScope scope = DY_STATE_NOTHING;
  if (changed || (statement->loaded && age_us >= REFRESH_LOADED_US))
    scope = DY_STATE_TO_ALL;
  else if (moved || (differ && age_us >= MIN_STATEMENT_US) || age_us >= REFRESH_US)
    scope = DY_STATE_TO_DATA_CENTRE;
  if (scope == DY_STATE_NOTHING)
    return scope;
  load->stated = true;
  load->statement = *statement;
  return scope;
}
