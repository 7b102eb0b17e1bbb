#include "core/missed_changes.h"

#include "core/store_version.h"

#include <string.h>

enum
{
  /* From when a router is behind to its first request. Shorter than the time after which it asks
   * the store, as a request to another router costs less. */
  WAIT_US = 100 * 1000,
  /* By which the waits of routers differ, so that not all ask the same one at once. */
  RANK_US = 4 * 1000,
  MAX_RANK_US = 300 * 1000,
  ASK_US = 300 * 1000,
  MAX_ASK_US = 4800 * 1000, /* between requests that were all in vain */
  /* A router that has missed changes for so long, and asked more than once, gets them from none. */
  OUT_OF_REACH_US = 1000 * 1000,
  OUT_OF_REACH_REQUESTS = 2,
  /* Replies of a router: at once, and in a second. A VM's link may carry 10 Mbit/s. */
  REPLY_BYTES = 512 * 1024,
  REPLY_BYTES_PER_S = 256 * 1024,
};

void
dy_missed_changes_init (DyMissedChanges *missed)
{
  memset (missed, 0, sizeof *missed);
  missed->interval_us = ASK_US;
  missed->asked_us = INT64_MIN / 2;
}

void
dy_missed_changes_report (DyMissedChanges *missed, const char *name, uint64_t version)
{
  DyMissedReporter *place = &missed->reporters[0];
  uint64_t latest = 0;
  for (uint32_t i = 0; i < DY_MISSED_REPORTERS; i++)
    latest = MAX (latest, missed->reporters[i].version);
  if (version > latest)
    missed->interval_us = ASK_US;
  for (uint32_t i = 0; i < DY_MISSED_REPORTERS; i++)
    {
      DyMissedReporter *reporter = &missed->reporters[i];
      if (strcmp (reporter->name, name) == 0)
        {
          reporter->version = MAX (reporter->version, version);
          return;
        }
      if (reporter->version < place->version)
        place = reporter;
    }
  if (version < place->version)
    return;
  g_strlcpy (place->name, name, sizeof place->name);
  place->version = version;
}

static bool
is_reporter (const DyMissedChanges *missed, const char *name, uint64_t known)
{
  for (uint32_t i = 0; i < DY_MISSED_REPORTERS; i++)
    if (missed->reporters[i].version > known && strcmp (missed->reporters[i].name, name) == 0)
      return true;
  return false;
}

static bool
was_asked (const DyMissedChanges *missed, const char *name)
{
  for (uint32_t i = 0; i < missed->n_asked; i++)
    if (strcmp (missed->asked[i], name) == 0)
      return true;
  return false;
}

/* Returns the live router that is to be asked next in this row, or NULL. */
static const char *
choose (const DyMissedChanges *missed, uint64_t known, const DyMissedFleet *fleet)
{
  enum
  {
    REPORTER = 2,
    NEAR = 1,
  };
  uint32_t max = g_hash_table_size (fleet->members->by_name);
  const char **names = g_new (const char *, max + 1);
  char *key = g_strdup_printf ("%s%s/%u", fleet->prefix, fleet->members->self_name, missed->n_rows);
  uint32_t n = dy_members_first (fleet->members, key, fleet->now_us, names, max);
  const char *best = NULL;
  int best_class = -1;
  for (uint32_t i = 0; i < n; i++)
    {
      const DyMember *member = dy_members_find (fleet->members, names[i]);
      int class = (is_reporter (missed, names[i], known) ? REPORTER : 0)
                  + (strcmp (member->data_centre, fleet->data_centre) == 0 ? NEAR : 0);
      if (class > best_class && !was_asked (missed, names[i]))
        {
          best = names[i];
          best_class = class;
        }
    }
  g_free (key);
  g_free (names);
  return best;
}

static bool
is_of_another_era (const DyWatchAge *age, uint64_t served)
{
  return dy_store_version_era (age->later_version) != dy_store_version_era (served);
}

/* Begins anew when this router has learned something since, be it that it is behind again. With
 * rapid changes it may be behind all the time, though each reply brings some. */
static void
begin_after_progress (DyMissedChanges *missed, const DyWatchAge *age, int64_t now_us)
{
  if (age->behind_us == missed->behind_us && age->version == missed->version)
    return;
  missed->behind_us = age->behind_us;
  missed->version = age->version;
  missed->progress_us = now_us;
  missed->n_asked = 0;
  missed->n_requests = 0;
  missed->interval_us = ASK_US;
}

const char *
dy_missed_changes_decide (DyMissedChanges *missed,
                          const DyWatchAge *age,
                          uint64_t served,
                          const DyMissedFleet *fleet,
                          int64_t now_us)
{
  int64_t rank_us = MIN (fleet->rank, MAX_RANK_US / RANK_US) * RANK_US;
  begin_after_progress (missed, age, now_us);
  if (!age->behind_us || served == 0 || is_of_another_era (age, served)
      || now_us - age->behind_us < WAIT_US + rank_us
      || now_us - missed->asked_us < missed->interval_us)
    return NULL;
  const char *name
      = missed->n_asked < DY_MISSED_ASKED ? choose (missed, age->version, fleet) : NULL;
  if (!name)
    {
      missed->interval_us = missed->n_asked ? MIN (missed->interval_us * 2, MAX_ASK_US) : ASK_US;
      missed->n_asked = 0;
      missed->n_rows++;
      return NULL;
    }
  g_strlcpy (missed->asked[missed->n_asked++], name, DY_NAME_SIZE);
  missed->n_requests++;
  missed->asked_us = now_us;
  return name;
}

void
dy_missed_changes_record_part (DyMissedChanges *missed, int64_t now_us)
{
  missed->asked_us = now_us;
}

bool
dy_missed_changes_are_out_of_reach (const DyMissedChanges *missed,
                                    const DyWatchAge *age,
                                    int64_t now_us)
{
  return age->behind_us && age->behind_us == missed->behind_us && age->version == missed->version
         && now_us - MAX (age->behind_us, missed->progress_us) >= OUT_OF_REACH_US
         && (missed->n_requests == 0 || missed->n_requests >= OUT_OF_REACH_REQUESTS);
}

DyMissedReply
dy_missed_changes_reply (const DyWatchAge *age,
                         const DyObjectHistory *history,
                         const DyMissedRequest *request,
                         uint64_t *after)
{
  uint64_t known = request->known;
  *after = 0;
  if (age->version == 0 || known >= age->version
      || (known && dy_store_version_era (known) != dy_store_version_era (age->version)))
    return DY_MISSED_REPLY_NOTHING;
  if (known && dy_object_history_reaches (history, known, MIN (request->changed, known), after)
      && *after)
    return DY_MISSED_REPLY_CHANGES;
  /* Routers that start together list at different versions, mostly without a change between. */
  bool same = known && dy_object_history_is_same (history, known, request->n_objects);
  *after = same ? known : 0;
  return same ? DY_MISSED_REPLY_CHANGES : DY_MISSED_REPLY_LIST;
}

uint32_t
dy_missed_changes_parts (size_t n_bytes, size_t part_bytes)
{
  size_t n = (n_bytes + part_bytes - 1) / part_bytes;
  return n <= DY_MISSED_MAX_PARTS ? (uint32_t) MAX (n, 1) : 0;
}

bool
dy_missed_changes_spend (DyMissedChanges *missed, size_t n_bytes, int64_t now_us)
{
  int64_t regained = (now_us - missed->spent_us) / 1000 * REPLY_BYTES_PER_S / 1000;
  int64_t spent = MAX (missed->spent_bytes - regained, 0);
  if (spent > 0 && spent + (int64_t) n_bytes > REPLY_BYTES)
    return false;
  missed->spent_bytes = spent + (int64_t) n_bytes;
  missed->spent_us = now_us;
  return true;
}

bool
dy_missed_changes_may_take_list (const DyWatchAge *age, uint64_t served, uint64_t version)
{
  return served != 0 && version > age->version && version >= served
         && dy_store_version_era (version) == dy_store_version_era (served);
}
