#include "kernel/counters.h"

#include "kernel/error.h"

#include <string.h>

typedef struct
{
  const char *type;
  const char *name;
  const char *help;
} CounterInfo;

static const CounterInfo counter_table[] = {
#define DY_COUNTER_ROW(symbol, type, name, help) { #type, name, help },
  DY_COUNTER_LIST (DY_COUNTER_ROW)
#undef DY_COUNTER_ROW
};

const char *
dy_counter_name (DyCounter counter)
{
  return counter_table[counter].name;
}

static const int64_t bounds_us[DY_HISTOGRAM_BUCKETS - 1]
    = { 1000, 2000, 5000, 10000, 20000, 50000, 100000, 200000, 500000, 1000000, 3000000, 10000000 };

static const struct
{
  const char *name;
  const char *labels;
  const char *help;
} histogram_table[] = {
#define DY_HISTOGRAM_ROW(symbol, name, labels, help) { name, labels, help },
  DY_HISTOGRAM_LIST (DY_HISTOGRAM_ROW)
#undef DY_HISTOGRAM_ROW
};

const char *
dy_histogram_name (DyHistogram histogram)
{
  return histogram_table[histogram].name;
}

void
dy_counters_add_refusal (DyCounters *counters, int error)
{
  if (dy_error_info (error)->run != DY_RUN_NOT_RUN)
    return;
  dy_counters_add (counters, DY_COUNTER_REFUSED, 1);
  if (error == DY_BUDGET_SPENT)
    dy_counters_add (counters, DY_COUNTER_REFUSED_BUDGET_SPENT, 1);
  if (error == DY_BUDGET_UNAVAILABLE)
    dy_counters_add (counters, DY_COUNTER_REFUSED_BUDGET_UNAVAILABLE, 1);
}

void
dy_counters_observe (DyCounters *counters, DyHistogram histogram, int64_t time_us)
{
  DyHistogramValues *values = &counters->histograms[histogram];
  int bucket = 0;
  while (bucket < DY_HISTOGRAM_BUCKETS - 1 && time_us > bounds_us[bucket])
    bucket++;
  values->counts[bucket]++;
  values->sum_us += time_us;
}

static void
expose_histogram (const DyHistogramValues *values, int histogram, GString *out)
{
  const char *name = histogram_table[histogram].name;
  const char *labels = histogram_table[histogram].labels;
  const char *comma = labels[0] ? "," : "";
  int64_t n = 0;
  if (histogram == 0 || strcmp (histogram_table[histogram - 1].name, name) != 0)
    g_string_append_printf (out, "# HELP %s %s\n# TYPE %s histogram\n", name,
                            histogram_table[histogram].help, name);
  for (int i = 0; i < DY_HISTOGRAM_BUCKETS; i++)
    {
      n += values->counts[i];
      if (i < DY_HISTOGRAM_BUCKETS - 1)
        g_string_append_printf (out, "%s_bucket{%s%sle=\"%g\"} %" G_GINT64_FORMAT "\n", name,
                                labels, comma, (double) bounds_us[i] / 1e6, n);
      else
        g_string_append_printf (out, "%s_bucket{%s%sle=\"+Inf\"} %" G_GINT64_FORMAT "\n", name,
                                labels, comma, n);
    }
  const char *open = labels[0] ? "{" : "";
  const char *close = labels[0] ? "}" : "";
  g_string_append_printf (out, "%s_sum%s%s%s %.6f\n%s_count%s%s%s %" G_GINT64_FORMAT "\n", name,
                          open, labels, close, (double) values->sum_us / 1e6, name, open, labels,
                          close, n);
}

void
dy_counters_expose (const DyCounters *counters, GString *out)
{
  for (int i = 0; i < DY_N_COUNTERS; i++)
    {
      const CounterInfo *info = &counter_table[i];
      g_string_append_printf (out, "# HELP %s %s\n# TYPE %s %s\n", info->name, info->help,
                              info->name, info->type);
      g_string_append_printf (out, "%s %" G_GINT64_FORMAT "\n", info->name, counters->values[i]);
    }
  for (int i = 0; i < DY_N_HISTOGRAMS; i++)
    expose_histogram (&counters->histograms[i], i, out);
}
