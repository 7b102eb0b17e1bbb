#include "core/members.h"

#include <string.h>
#include <xxhash.h>

static void
free_member (gpointer data)
{
  DyMember *member = data;
  g_free (member->name);
  g_free (member->address);
  g_free (member->data_centre);
  g_free (member);
}

static uint64_t
hash_text (const char *text)
{
  return XXH3_64bits (text, strlen (text));
}

static uint64_t
mix (uint64_t a, uint64_t b)
{
  uint64_t pair[2] = { a, b };
  return XXH3_64bits (pair, sizeof pair);
}

static bool
is_live (const DyMembers *members, const DyMember *member, int64_t now_us)
{
  if (member->leaving || member->draining || member->incarnation_id == 0)
    return false;
  return now_us - member->last_heartbeat_us < members->timeout_us;
}

/* Returns the live member of the highest weight above BEST, or NULL; with REACHING only of those
 * that reach the platform. */
static const DyMember *
best_member (const DyMembers *members,
             uint64_t account_hash,
             uint64_t best,
             const char *skip,
             bool reaching,
             int64_t now_us)
{
  const DyMember *home = NULL;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, members->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const DyMember *member = value;
      if (!is_live (members, member, now_us) || (skip && strcmp (member->name, skip) == 0))
        continue;
      if (reaching && !member->has_platform)
        continue;
      uint64_t weight = mix (account_hash, member->name_hash);
      if (weight <= best)
        continue;
      best = weight;
      home = member;
    }
  return home;
}

void
dy_members_init (DyMembers *members, const char *self_name, int64_t timeout_us)
{
  members->self_name = g_strdup (self_name);
  members->timeout_us = timeout_us;
  members->by_name = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_member);
  members->self_leaving = false;
  members->self_has_platform = true;
  members->listed = false;
  members->joining = false;
}

void
dy_members_finish (DyMembers *members)
{
  g_free (members->self_name);
  g_hash_table_unref (members->by_name);
  memset (members, 0, sizeof *members);
}

void
dy_members_put (DyMembers *members,
                const char *name,
                const char *address,
                const char *data_centre,
                bool leaving)
{
  DyMember *member = g_hash_table_lookup (members->by_name, name);
  members->listed = true;
  if (strcmp (name, members->self_name) == 0)
    return;
  if (!member)
    {
      member = g_new0 (DyMember, 1);
      member->name = g_strdup (name);
      member->name_hash = hash_text (name);
      g_hash_table_insert (members->by_name, member->name, member);
    }
  g_free (member->address);
  g_free (member->data_centre);
  member->address = g_strdup (address);
  member->data_centre = g_strdup (data_centre);
  member->leaving = leaving;
}

void
dy_members_remove (DyMembers *members, const char *name)
{
  g_hash_table_remove (members->by_name, name);
}

void
dy_members_record_heartbeat (
    DyMembers *members, const char *name, uint64_t incarnation_id, bool leaving, int64_t now_us)
{
  DyMember *member = g_hash_table_lookup (members->by_name, name);
  if (!member)
    return;
  member->incarnation_id = incarnation_id;
  member->last_heartbeat_us = now_us;
  member->draining = leaving;
}

void
dy_members_disconnected (DyMembers *members, const char *name)
{
  DyMember *member = g_hash_table_lookup (members->by_name, name);
  if (member)
    member->incarnation_id = 0;
}

const DyMember *
dy_members_find (const DyMembers *members, const char *name)
{
  return g_hash_table_lookup (members->by_name, name);
}

const DyMember *
dy_members_home (const DyMembers *members, const char *account, const char *skip, int64_t now_us)
{
  uint64_t account_hash = hash_text (account);
  uint64_t self = members->self_leaving ? 0 : mix (account_hash, hash_text (members->self_name));
  return best_member (members, account_hash, self, skip, false, now_us);
}

bool
dy_members_home_is_known (const DyMembers *members, const char *account, int64_t now_us)
{
  GHashTableIter iter;
  gpointer value;
  if (!members->joining)
    return true;
  const DyMember *home = dy_members_home (members, account, NULL, now_us);
  uint64_t account_hash = hash_text (account);
  uint64_t weight = mix (account_hash, home ? home->name_hash : hash_text (members->self_name));
  /* A home without any other router in reach would serve as one that is alone. */
  if (!home && !dy_members_other_home (members, account, NULL, now_us))
    return members->listed && g_hash_table_size (members->by_name) == 0;
  g_hash_table_iter_init (&iter, members->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const DyMember *member = value;
      if (member->leaving || member->draining)
        continue;
      if (mix (account_hash, member->name_hash) > weight)
        return false;
    }
  return members->listed;
}

bool
dy_members_ranks_above (const DyMembers *members, const char *account, const char *name)
{
  uint64_t account_hash = hash_text (account);
  return mix (account_hash, hash_text (name)) > mix (account_hash, hash_text (members->self_name));
}

void
dy_members_set_platform (DyMembers *members, const char *name, bool has_platform)
{
  DyMember *member = g_hash_table_lookup (members->by_name, name);
  if (member)
    member->has_platform = has_platform;
  else if (strcmp (name, members->self_name) == 0)
    members->self_has_platform = has_platform;
}

bool
dy_members_is_prober (const DyMembers *members, int64_t now_us)
{
  enum
  {
    N_SCOUTS = 3, /* one may be cut off alone, another one restarting */
  };
  uint64_t self_hash = hash_text (members->self_name);
  uint32_t n_before = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, members->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const DyMember *member = value;
      if (!is_live (members, member, now_us))
        continue;
      if (member->has_platform)
        return true;
      n_before += member->name_hash < self_hash;
    }
  return n_before < N_SCOUTS;
}

const DyMember *
dy_members_home_with_platform (const DyMembers *members,
                               const char *account,
                               const char *skip,
                               int64_t now_us)
{
  uint64_t account_hash = hash_text (account);
  bool self = members->self_has_platform && !members->self_leaving;
  uint64_t weight = self ? mix (account_hash, hash_text (members->self_name)) : 0;
  const DyMember *home = best_member (members, account_hash, weight, skip, true, now_us);
  return home || self ? home : dy_members_home (members, account, skip, now_us);
}

const DyMember *
dy_members_other_home (const DyMembers *members,
                       const char *account,
                       const char *skip,
                       int64_t now_us)
{
  return best_member (members, hash_text (account), 0, skip, false, now_us);
}

bool
dy_members_all_connected (const DyMembers *members)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, members->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((const DyMember *) value)->incarnation_id == 0)
      return false;
  return true;
}

uint32_t
dy_members_count (const DyMembers *members, int64_t now_us)
{
  uint32_t n = members->self_leaving ? 0 : 1;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, members->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    n += is_live (members, value, now_us);
  return n;
}
