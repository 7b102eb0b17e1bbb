#include "core/version_knowledge.h"

#include "core/stream_origins.h"

#include <glib.h>

enum
{
  /* Longest time between two confirmations. A record that is not renewed lives longer, so none can
   * be added and removed within it. */
  MAX_GAP_US = 2000 * 1000,
  /* Longest wait for a confirmation; other routers report theirs at shorter intervals. */
  MAX_WAIT_US = 1500 * 1000,
};

void
dy_version_knowledge_init (DyVersionKnowledge *knowledge)
{
  knowledge->from_us = INT64_MIN / 2;
  knowledge->to_us = INT64_MIN / 2;
  knowledge->read_us = INT64_MIN / 2;
}

void
dy_version_knowledge_extend (DyVersionKnowledge *knowledge, int64_t confirmed_us)
{
  if (confirmed_us <= knowledge->to_us)
    return;
  if (confirmed_us - knowledge->to_us > MAX_GAP_US)
    knowledge->from_us = confirmed_us;
  knowledge->to_us = confirmed_us;
}

void
dy_version_knowledge_record_read (DyVersionKnowledge *knowledge, int64_t sent_us)
{
  knowledge->read_us = MAX (knowledge->read_us, sent_us);
}

static bool
is_read (const DyVersionKnowledge *knowledge)
{
  return knowledge->read_us >= knowledge->from_us - MAX_GAP_US;
}

/* Returns whether no stream that began before FROM_US can still be resumed. */
static bool
covers_all (const DyVersionKnowledge *knowledge, int64_t now_us)
{
  return now_us - knowledge->from_us >= DY_VERSION_RETENTION_US;
}

bool
dy_version_knowledge_needs_read (const DyVersionKnowledge *knowledge, int64_t now_us)
{
  return !is_read (knowledge) && !covers_all (knowledge, now_us);
}

bool
dy_version_knowledge_may_write (const DyVersionKnowledge *knowledge, int64_t now_us)
{
  return knowledge->to_us > INT64_MIN / 2 && now_us - knowledge->from_us >= DY_VERSIONS_REWRITE_US;
}

DyVersionVerdict
dy_version_knowledge_judge (const DyVersionKnowledge *knowledge,
                            const DyVersionEvidence *evidence,
                            int64_t now_us)
{
  bool confirmed = knowledge->to_us >= evidence->asked_us;
  bool awaited = now_us - evidence->asked_us < MAX_WAIT_US;
  if (evidence->restored || knowledge->to_us == INT64_MIN / 2)
    return DY_VERSIONS_UNKNOWN;
  if (!confirmed && !evidence->all_cut_off)
    return awaited && !evidence->cut_off ? DY_VERSIONS_AWAITED : DY_VERSIONS_UNKNOWN;
  if (covers_all (knowledge, now_us))
    return DY_VERSIONS_COMPLETE;
  if (!is_read (knowledge))
    return awaited && !evidence->cut_off ? DY_VERSIONS_AWAITED : DY_VERSIONS_UNKNOWN;
  return evidence->stored || dy_version_knowledge_may_write (knowledge, now_us)
             ? DY_VERSIONS_COMPLETE
             : DY_VERSIONS_UNKNOWN;
}

bool
dy_version_knowledge_judge_unlisted (const DyUnlistedEvidence *evidence)
{
  return evidence->read && evidence->versions_known && !evidence->restored && !evidence->inherited
         && !evidence->out_of_reach && evidence->n_asked == 0;
}
