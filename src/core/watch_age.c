#include "core/watch_age.h"

#include "core/store_version.h"

#include <glib.h>
#include <string.h>

const DyWatchAgePolicy dy_watch_age_policy = {
  .step_us = 500 * 1000,
  .next_us = 350 * 1000,
  .n_steps = 2,
  .spread_us = 4 * 1000, /* about the time in which the store answers */
  .max_spread_us = 300 * 1000,
  .answer_us = 200 * 1000,
  .retry_us = 100 * 1000,
};

DyWatchAgePolicy
dy_watch_age_policy_for (int64_t bound_us)
{
  enum
  {
    /* The last routers check early enough to learn within the bound that the store is away. */
    STEPS_PER_BOUND = 4,
    MAX_STEP_US = 1000 * 1000,
  };
  DyWatchAgePolicy policy = dy_watch_age_policy;
  policy.step_us = CLAMP (bound_us / STEPS_PER_BOUND, policy.step_us, MAX_STEP_US);
  policy.next_us = policy.step_us * 7 / 10;
  return policy;
}

void
dy_watch_age_init (DyWatchAge *age, const DyWatchAgePolicy *policy)
{
  memset (age, 0, sizeof *age);
  age->policy = *policy;
  age->confirmed_us = INT64_MIN / 2;
  age->failed_us = INT64_MIN / 2;
}

bool
dy_watch_age_record_answer (DyWatchAge *age,
                            uint64_t version,
                            uint64_t changed_version,
                            int64_t sent_us)
{
  if (version < age->version)
    return false;
  age->version = version;
  age->changed_version = MAX (age->changed_version, changed_version);
  age->confirmed_us = MAX (age->confirmed_us, sent_us);
  age->n_failures = 0;
  age->check_fails = false;
  /* The answer may be older than what another router says. */
  if (version >= age->later_version)
    age->behind_us = 0;
  return true;
}

uint64_t
dy_watch_age_list_change (const DyWatchAge *age,
                          uint64_t version,
                          uint64_t latest,
                          bool same_number)
{
  bool unchanged = age->version != 0 && latest <= age->version && same_number;
  return unchanged ? 0 : version;
}

void
dy_watch_age_record_failure (DyWatchAge *age, int64_t now_us)
{
  age->n_failures++;
  age->failed_us = now_us;
}

void
dy_watch_age_record_peer (
    DyWatchAge *age, uint64_t changed_version, int64_t confirmed_us, bool by_list, int64_t now_us)
{
  if (changed_version <= age->version)
    {
      age->confirmed_us = MAX (age->confirmed_us, confirmed_us);
      if (!by_list)
        age->n_failures = 0;
      return;
    }
  age->later_version = MAX (age->later_version, changed_version);
  if (!age->behind_us)
    age->behind_us = now_us;
  age->check_fails = by_list;
}

void
dy_watch_age_record_peer_version (DyWatchAge *age, uint64_t changed_version, uint64_t version)
{
  if (age->version != 0 && !age->behind_us && changed_version <= age->version
      && dy_store_version_era (version) == dy_store_version_era (age->version))
    age->version = MAX (age->version, version);
}

/* Returns how much longer than the routers before them those of RANK wait. */
static int64_t
spread_us (const DyWatchAgePolicy *policy, uint32_t rank)
{
  uint32_t n_steps = MIN (rank, policy->n_steps);
  return MIN ((int64_t) (rank - n_steps) * policy->spread_us, policy->max_spread_us);
}

static int64_t
check_age_us (const DyWatchAgePolicy *policy, uint32_t rank)
{
  return policy->step_us + policy->next_us * MIN (rank, policy->n_steps) + spread_us (policy, rank);
}

bool
dy_watch_age_may_take (const DyWatchAge *age,
                       uint64_t base,
                       uint64_t changed_version,
                       uint64_t version)
{
  return age->version != 0 && version > age->version && age->version >= changed_version
         && age->changed_version <= base
         && dy_store_version_era (version) == dy_store_version_era (age->version);
}

DyWatchAgeAction
dy_watch_age_next_call (const DyWatchAge *age, int64_t now_us)
{
  if (age->version == 0 || now_us - age->failed_us < age->policy.retry_us)
    return DY_WATCH_AGE_FRESH;
  return age->check_fails || age->n_failures % 2 == 1 ? DY_WATCH_AGE_LIST : DY_WATCH_AGE_CHECK;
}

DyWatchAgeAction
dy_watch_age_decide (const DyWatchAge *age, uint32_t rank, bool waiting, int64_t now_us)
{
  bool behind
      = age->behind_us && waiting
        && now_us - age->behind_us >= age->policy.answer_us + spread_us (&age->policy, rank);
  if (!behind && now_us - age->confirmed_us < check_age_us (&age->policy, rank))
    return DY_WATCH_AGE_FRESH;
  return dy_watch_age_next_call (age, now_us);
}
