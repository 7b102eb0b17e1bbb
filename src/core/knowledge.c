#include "core/knowledge.h"

#include <glib.h>

enum
{
  /* Time without an answer after which a router that is on time takes the store to be away, unless
   * it gives calls up before. */
  UNANSWERED_US = 400 * 1000,
  /* Time in which a router that is on time hears of what another one has confirmed, if one has. */
  HEAR_US = 1000 * 1000,
  /* Age at which the last round trip no longer tells whether the router is on time. */
  ON_TIME_US = 600 * 1000,
  /* Time without a reply of other routers after which an endpoint is asked; the answer comes before
   * ON_TIME_US is over. */
  PROBE_AFTER_US = 250 * 1000,
  /* Time for which the store is then held to be away: longer than from one probe of it to the next.
   */
  AWAY_US = 3000 * 1000,
};

static bool
is_on_time (const DyKnowledgeEvidence *evidence, int64_t now_us)
{
  return now_us - evidence->on_time_until_us <= ON_TIME_US;
}

bool
dy_knowledge_is_probe_due (int64_t on_time_until_us, int64_t asking_since_us, int64_t now_us)
{
  return now_us - MAX (on_time_until_us, asking_since_us) >= PROBE_AFTER_US;
}

bool
dy_knowledge_is_unanswered (const DyKnowledgeEvidence *evidence, int64_t asked_us, int64_t now_us)
{
  int64_t limit_us = evidence->call_limit_us;
  int64_t unanswered_us = limit_us > 0 ? MIN (UNANSWERED_US, limit_us) : UNANSWERED_US;
  return is_on_time (evidence, now_us)
         && now_us - MAX (asked_us, evidence->on_time_since_us) >= unanswered_us;
}

DyKnowledgeTerms
dy_knowledge_terms (const DyKnowledgeEvidence *evidence, int64_t now_us)
{
  DyKnowledgeTerms terms = {
    .would_hear = is_on_time (evidence, now_us) && now_us - evidence->on_time_since_us >= HEAR_US,
    .refused = evidence->away_us > evidence->confirmed_us && now_us - evidence->away_us <= AWAY_US,
    .unanswered = evidence->asked_us > evidence->confirmed_us
                  && dy_knowledge_is_unanswered (evidence, evidence->asked_us, now_us),
  };
  terms.cut_off
      = evidence->behind && terms.would_hear
        && ((evidence->silent_us > evidence->behind_us && now_us - evidence->silent_us <= AWAY_US)
            || (terms.unanswered && evidence->asked_us > evidence->behind_us));
  return terms;
}

DyKnowledge
dy_knowledge_judge (const DyKnowledgeEvidence *evidence, int64_t now_us)
{
  if (now_us - evidence->confirmed_us <= evidence->bound_us)
    return DY_KNOWLEDGE_CURRENT;
  DyKnowledgeTerms terms = dy_knowledge_terms (evidence, now_us);
  bool away = (terms.would_hear && (terms.refused || terms.unanswered)) || evidence->others_away;
  bool acts = evidence->behind ? terms.cut_off && evidence->in_vain : away;
  return acts ? DY_KNOWLEDGE_BRIDGED : DY_KNOWLEDGE_LATE;
}
