#include "core/resend.h"

#include "kernel/error.h"

#include <string.h>

enum
{
  /* A resend that a request allows is made, if at all, within these: so resends in proportion
   * follow the requests of the entire fleet, whichever routers they are sent to. */
  EARNED_BUCKETS = DY_RESEND_WINDOW_BUCKETS / 4,
  MAX_REFUSED = 3, /* attempts that did not run, after which the caller gets an error */
};

/* Fraction of the bound that is used, since routers count requests at slightly different times. */
static const double USED_FRACTION = 0.8;
static const double ROUNDING_ERROR = 1e-6; /* of sums of parts of resends */

int
dy_resend_decide (const DyResendQuery *query)
{
  bool may_have_run = query->may_have_run;
  int final_error = DY_NO_ENDPOINT;
  if (may_have_run)
    final_error = query->answer_seen ? DY_STREAM_BROKEN : DY_OUTCOME_UNKNOWN;
  if (query->outcome == DY_ATTEMPT_REJECTED)
    return DY_ENDPOINT_REFUSED;
  if (may_have_run && !query->repeatable)
    return final_error;
  if (query->n_started >= query->max_attempts)
    return final_error;
  if (query->n_refused >= MAX_REFUSED && !query->persists)
    return final_error;
  if (query->time_left_ms <= query->time_needed_ms)
    return may_have_run ? DY_TIMEOUT : DY_NO_ENDPOINT;
  if (query->within_budget && query->n_refused < MAX_REFUSED)
    return DY_OK;
  return query->persists ? DY_RESEND_LATER : final_error;
}

bool
dy_resend_replaces_silent (const DyResendQuery *query, bool has_other)
{
  DyResendQuery after = *query;
  after.outcome = DY_ATTEMPT_UNANSWERED;
  after.may_have_run = true;
  after.n_started++;
  if (after.persists)
    after.n_refused = 0;
  return has_other && dy_resend_decide (&after) == DY_OK;
}

void
dy_resend_budget_init (DyResendBudget *budget, double ratio, double slack, int64_t window_us)
{
  budget->ratio = ratio;
  budget->slack = slack;
  budget->window_us = window_us;
  budget->windows = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
dy_resend_budget_finish (DyResendBudget *budget)
{
  if (budget->windows)
    g_hash_table_unref (budget->windows);
  budget->windows = NULL;
}

/* Returns the time that a bucket covers. */
static int64_t
bucket_us (int64_t window_us)
{
  return (window_us + DY_RESEND_WINDOW_BUCKETS - 1) / DY_RESEND_WINDOW_BUCKETS;
}

/* Returns the number of the bucket of the time TIME_US. */
static int64_t
bucket_at (const DyResendBudget *budget, int64_t time_us)
{
  return time_us / bucket_us (budget->window_us);
}

/* Returns the window of SERVICE, advanced to NOW_US. */
static DyResendWindow *
advance_window (DyResendBudget *budget, const char *service, int64_t now_us)
{
  DyResendWindow *window = g_hash_table_lookup (budget->windows, service);
  int64_t bucket = bucket_at (budget, now_us);
  if (!window)
    {
      window = g_new0 (DyResendWindow, 1);
      window->bucket = bucket;
      g_hash_table_insert (budget->windows, g_strdup (service), window);
    }
  if (bucket - window->bucket >= DY_RESEND_BUCKETS)
    memset (window, 0, sizeof *window);
  else
    for (int64_t i = window->bucket + 1; i <= bucket; i++)
      {
        window->requests[i % DY_RESEND_BUCKETS] = window->resends[i % DY_RESEND_BUCKETS] = 0;
        window->slack_used[i % DY_RESEND_BUCKETS] = 0.0;
      }
  window->bucket = MAX (bucket, window->bucket);
  return window;
}

void
dy_resend_budget_set_window (DyResendBudget *budget, int64_t window_us, int64_t now_us)
{
  GHashTableIter iter;
  gpointer service;
  if (window_us == budget->window_us)
    return;
  int64_t bucket = now_us / bucket_us (window_us);
  g_hash_table_iter_init (&iter, budget->windows);
  while (g_hash_table_iter_next (&iter, &service, NULL))
    {
      DyResendWindow *window = advance_window (budget, service, now_us);
      int64_t resends = 0;
      double slack_used = 0.0;
      for (int i = 0; i < DY_RESEND_BUCKETS; i++)
        {
          resends += window->resends[i];
          slack_used += window->slack_used[i];
        }
      *window = (DyResendWindow){ .bucket = bucket };
      window->resends[bucket % DY_RESEND_BUCKETS] = resends;
      window->slack_used[bucket % DY_RESEND_BUCKETS] = slack_used;
    }
  budget->window_us = window_us;
}

/* Returns the sum over the newest N buckets. */
static int64_t
sum_requests (const DyResendWindow *window, int64_t n)
{
  int64_t sum = 0;
  for (int64_t i = MAX (window->bucket - n + 1, 0); i <= window->bucket; i++)
    sum += window->requests[i % DY_RESEND_BUCKETS];
  return sum;
}

/* Returns the resends that recent requests allow and that have not been made. Where requests are
 * few, one is kept for a window. */
static double
limit_earned (const DyResendBudget *budget, DyResendWindow *window)
{
  double each = USED_FRACTION * budget->ratio;
  double recent = each * (double) sum_requests (window, EARNED_BUCKETS);
  double all = each * (double) sum_requests (window, DY_RESEND_WINDOW_BUCKETS);
  window->earned = MIN (window->earned, MAX (recent, MIN (all, 1.0)));
  return window->earned;
}

/* Returns what is left of one of N_PARTS parts of the slack. */
static double
slack_left (const DyResendBudget *budget, const DyResendWindow *window, uint32_t n_parts)
{
  double left = n_parts ? USED_FRACTION * budget->slack / (double) n_parts : 0.0;
  for (int i = 0; i < DY_RESEND_BUCKETS; i++)
    left -= window->slack_used[i];
  return left;
}

void
dy_resend_budget_record_request (DyResendBudget *budget, const char *service, int64_t now_us)
{
  DyResendWindow *window = advance_window (budget, service, now_us);
  window->requests[window->bucket % DY_RESEND_BUCKETS]++;
  window->earned += USED_FRACTION * budget->ratio;
  limit_earned (budget, window);
}

void
dy_resend_budget_record_resend (DyResendBudget *budget, const char *service, int64_t now_us)
{
  DyResendWindow *window = advance_window (budget, service, now_us);
  double earned = MIN (limit_earned (budget, window), 1.0);
  window->earned -= earned;
  window->slack_used[window->bucket % DY_RESEND_BUCKETS] += 1.0 - earned;
  window->resends[window->bucket % DY_RESEND_BUCKETS]++;
}

void
dy_resend_budget_return_resend (DyResendBudget *budget,
                                const char *service,
                                int64_t recorded_us,
                                int64_t now_us)
{
  DyResendWindow *window = advance_window (budget, service, now_us);
  int64_t bucket = bucket_at (budget, recorded_us);
  if (window->bucket - bucket >= DY_RESEND_BUCKETS
      || window->resends[bucket % DY_RESEND_BUCKETS] == 0)
    return;
  double from_slack = MIN (window->slack_used[bucket % DY_RESEND_BUCKETS], 1.0);
  window->resends[bucket % DY_RESEND_BUCKETS]--;
  window->slack_used[bucket % DY_RESEND_BUCKETS] -= from_slack;
  window->earned += 1.0 - from_slack;
  limit_earned (budget, window);
}

DyResendUse
dy_resend_budget_use (DyResendBudget *budget, const char *service, uint32_t n_parts, int64_t now_us)
{
  DyResendWindow *window = advance_window (budget, service, now_us);
  DyResendUse use = { .requests = sum_requests (window, DY_RESEND_WINDOW_BUCKETS) };
  for (int i = 0; i < DY_RESEND_BUCKETS; i++)
    use.resends += window->resends[i];
  double left = limit_earned (budget, window) + MAX (slack_left (budget, window, n_parts), 0.0);
  double part = n_parts ? budget->slack / (double) n_parts : 0.0;
  use.allowed = MIN ((double) use.resends + left,
                     USED_FRACTION * (budget->ratio * (double) use.requests + part));
  return use;
}

bool
dy_resend_budget_allows (DyResendBudget *budget,
                         const char *service,
                         uint32_t n_parts,
                         int64_t now_us)
{
  DyResendUse use = dy_resend_budget_use (budget, service, n_parts, now_us);
  return (double) (use.resends + 1) <= use.allowed + ROUNDING_ERROR;
}

bool
dy_resend_budget_is_within (DyResendBudget *budget, uint32_t n_parts, int64_t now_us)
{
  GHashTableIter iter;
  gpointer service;
  g_hash_table_iter_init (&iter, budget->windows);
  while (g_hash_table_iter_next (&iter, &service, NULL))
    {
      const DyResendWindow *window = advance_window (budget, service, now_us);
      if (slack_left (budget, window, n_parts) < -ROUNDING_ERROR)
        return false;
    }
  return true;
}
