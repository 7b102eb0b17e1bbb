#include "core/crash_evidence.h"

#include <string.h>

const DyCrashEvidencePolicy dy_crash_evidence_policy = {
  .gap_us = 20 * 1000,
  .hold_us = 150 * 1000,
  .link_us = 1000 * 1000,
  .restart_us = INT64_C (10) * 1000 * 1000,
};

enum
{
  MAX_FAILURES = 1024,
};

typedef struct
{
  char *endpoint;
  char *request;
  void *payload;
  int64_t failed_us;
  DyBreakKind kind;
  bool probed;      /* a new connection to the endpoint was tried */
  bool refused;     /* and the endpoint did not accept it */
  bool link_worked; /* another endpoint answered soon after */
  bool ambiguous;   /* another request failed elsewhere before that */
} Failure;

static void
remove_failure (DyCrashEvidence *evidence, guint i)
{
  Failure *failure = g_ptr_array_remove_index (evidence->failures, i);
  g_free (failure->endpoint);
  g_free (failure->request);
  g_free (failure);
}

static void
decide (DyCrashEvidence *evidence, guint i, DyEvidence found)
{
  const Failure *failure = g_ptr_array_index (evidence->failures, i);
  evidence->watcher->decided (evidence->ctx, failure->payload, failure->endpoint, found);
  remove_failure (evidence, i);
}

void
dy_crash_evidence_init (DyCrashEvidence *evidence,
                        const DyCrashEvidencePolicy *policy,
                        const DyCrashEvidenceWatcher *watcher,
                        void *ctx)
{
  evidence->policy = *policy;
  evidence->watcher = watcher;
  evidence->ctx = ctx;
  evidence->failures = g_ptr_array_new ();
}

void
dy_crash_evidence_finish (DyCrashEvidence *evidence)
{
  while (evidence->failures->len > 0)
    {
      const Failure *failure = g_ptr_array_index (evidence->failures, 0);
      evidence->watcher->free_payload (failure->payload);
      remove_failure (evidence, 0);
    }
  g_ptr_array_unref (evidence->failures);
}

void
dy_crash_evidence_fail (DyCrashEvidence *evidence,
                        const char *endpoint,
                        const char *request,
                        DyBreakKind kind,
                        void *payload,
                        int64_t now_us)
{
  bool ambiguous = false;
  for (guint i = 0; i < evidence->failures->len; i++)
    {
      Failure *failure = g_ptr_array_index (evidence->failures, i);
      if (failure->link_worked || now_us - failure->failed_us > evidence->policy.link_us
          || strcmp (failure->endpoint, endpoint) == 0 || strcmp (failure->request, request) == 0)
        continue;
      failure->ambiguous = true;
      ambiguous = true;
    }
  if (evidence->failures->len >= MAX_FAILURES)
    decide (evidence, 0, DY_EVIDENCE_NONE);
  Failure *failure = g_new0 (Failure, 1);
  failure->endpoint = g_strdup (endpoint);
  failure->request = g_strdup (request);
  failure->payload = payload;
  failure->kind = kind;
  failure->failed_us = now_us;
  failure->ambiguous = ambiguous;
  g_ptr_array_add (evidence->failures, failure);
}

void
dy_crash_evidence_bytes (DyCrashEvidence *evidence, const char *endpoint, int64_t now_us)
{
  for (guint i = evidence->failures->len; i > 0; i--)
    {
      Failure *failure = g_ptr_array_index (evidence->failures, i - 1);
      int64_t age_us = now_us - failure->failed_us;
      if (age_us < evidence->policy.gap_us || age_us > evidence->policy.link_us)
        continue;
      if (strcmp (failure->endpoint, endpoint) == 0)
        decide (evidence, i - 1, DY_EVIDENCE_ALIVE);
      else if (failure->kind != DY_BREAK_NEW)
        failure->link_worked = true;
    }
}

bool
dy_crash_evidence_needs_probe (const DyCrashEvidence *evidence, int64_t now_us)
{
  for (guint i = 0; i < evidence->failures->len; i++)
    {
      const Failure *failure = g_ptr_array_index (evidence->failures, i);
      int64_t age_us = now_us - failure->failed_us;
      if ((!failure->link_worked || failure->ambiguous) && age_us >= evidence->policy.gap_us
          && age_us <= evidence->policy.link_us)
        return true;
    }
  return false;
}

const char *
dy_crash_evidence_endpoint_to_probe (const DyCrashEvidence *evidence, int64_t now_us)
{
  for (guint i = 0; i < evidence->failures->len; i++)
    {
      const Failure *failure = g_ptr_array_index (evidence->failures, i);
      int64_t age_us = now_us - failure->failed_us;
      if (failure->kind == DY_BREAK_UNBEGUN && !failure->probed && age_us >= evidence->policy.gap_us
          && age_us <= evidence->policy.link_us)
        return failure->endpoint;
    }
  return NULL;
}

void
dy_crash_evidence_probed (DyCrashEvidence *evidence,
                          const char *endpoint,
                          bool accepted,
                          int64_t opened_us)
{
  for (guint i = 0; i < evidence->failures->len; i++)
    {
      Failure *failure = g_ptr_array_index (evidence->failures, i);
      if (failure->probed || opened_us < failure->failed_us
          || strcmp (failure->endpoint, endpoint) != 0)
        continue;
      failure->probed = true;
      failure->refused = !accepted;
    }
}

bool
dy_crash_evidence_has_failed (const DyCrashEvidence *evidence, const char *endpoint)
{
  for (guint i = 0; i < evidence->failures->len; i++)
    if (strcmp (((const Failure *) g_ptr_array_index (evidence->failures, i))->endpoint, endpoint)
        == 0)
      return true;
  return false;
}

void
dy_crash_evidence_link_works (DyCrashEvidence *evidence, int64_t opened_us)
{
  for (guint i = 0; i < evidence->failures->len; i++)
    {
      Failure *failure = g_ptr_array_index (evidence->failures, i);
      int64_t age_us = opened_us - failure->failed_us;
      if (age_us < 0 || age_us > evidence->policy.link_us)
        continue;
      failure->link_worked = true;
      failure->ambiguous = false;
    }
}

void
dy_crash_evidence_forget (DyCrashEvidence *evidence, const char *request)
{
  for (guint i = evidence->failures->len; i > 0; i--)
    {
      const Failure *failure = g_ptr_array_index (evidence->failures, i - 1);
      if (strcmp (failure->request, request) != 0)
        continue;
      evidence->watcher->free_payload (failure->payload);
      remove_failure (evidence, i - 1);
    }
}

void
dy_crash_evidence_visit (const DyCrashEvidence *evidence,
                         void (*visit) (void *ctx, void *payload),
                         void *ctx)
{
  for (guint i = 0; i < evidence->failures->len; i++)
    visit (ctx, ((const Failure *) g_ptr_array_index (evidence->failures, i))->payload);
}

void
dy_crash_evidence_restarted (DyCrashEvidence *evidence, const char *endpoint)
{
  for (guint i = evidence->failures->len; i > 0; i--)
    {
      const Failure *failure = g_ptr_array_index (evidence->failures, i - 1);
      if (strcmp (failure->endpoint, endpoint) == 0)
        decide (evidence, i - 1, DY_EVIDENCE_RESTARTED);
    }
}

void
dy_crash_evidence_link_failed (DyCrashEvidence *evidence)
{
  while (evidence->failures->len > 0)
    decide (evidence, evidence->failures->len - 1, DY_EVIDENCE_NONE);
}

/* Returns whether FAILURE is a crash if the link works. */
static bool
is_crash (const Failure *failure)
{
  return failure->kind != DY_BREAK_UNBEGUN || failure->refused;
}

void
dy_crash_evidence_tick (DyCrashEvidence *evidence, int64_t now_us)
{
  for (guint i = evidence->failures->len; i > 0; i--)
    {
      const Failure *failure = g_ptr_array_index (evidence->failures, i - 1);
      int64_t age_us = now_us - failure->failed_us;
      if (failure->link_worked && !failure->ambiguous && is_crash (failure)
          && age_us >= evidence->policy.hold_us)
        decide (evidence, i - 1, DY_EVIDENCE_LINK_WORKS);
      else if (age_us > evidence->policy.restart_us)
        decide (evidence, i - 1, DY_EVIDENCE_NONE);
    }
}
