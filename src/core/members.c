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
hash_string (const char *string)
{
  return XXH3_64bits (string, strlen (string));
}

static uint64_t
combine_hashes (uint64_t a, uint64_t b)
{
  uint64_t pair[2] = { a, b };
  return XXH3_64bits (pair, sizeof pair);
}

enum
{
  /* A router states its load at least every 30 s, and every 5 s while it gets no duties. */
  LOAD_VALID_US = 75 * 1000 * 1000,
  LOADED_VALID_US = 20 * 1000 * 1000,
};

static bool
is_heard (const DyMembers *members, const DyMember *member, int64_t now_us)
{
  return member->incarnation_id != 0 && now_us - member->last_heard_us < members->timeout_us;
}

bool
dy_members_is_live (const DyMembers *members, const DyMember *member, int64_t now_us)
{
  return !member->leaving && !member->draining && is_heard (members, member, now_us);
}

bool
dy_members_load_is_known (const DyMember *member, int64_t now_us)
{
  return member->load.stated_us && now_us - member->load.stated_us < LOAD_VALID_US;
}

bool
dy_members_is_loaded (const DyMember *member, int64_t now_us)
{
  return member->load.loaded && dy_members_load_is_known (member, now_us)
         && now_us - member->load.stated_us < LOADED_VALID_US;
}

/* Returns the place of a router in the choice of a home, the highest one first: those that are
 * loaded come last, then the hash decides. A router that does not reach the platform keeps its
 * place: during an outage of the platform only the grants bridge it, and they do not move. */
static uint64_t
place_of (uint64_t hash, bool loaded, bool has_platform)
{
  enum
  {
    TOP_BIT = 63,
  };
  uint64_t unloaded = loaded && has_platform ? 0 : 1;
  return (unloaded << TOP_BIT) | (hash >> 1);
}

static uint64_t
member_place (uint64_t account_hash, const DyMember *member, int64_t now_us)
{
  return place_of (combine_hashes (account_hash, member->name_hash),
                   dy_members_is_loaded (member, now_us), member->has_platform);
}

static uint64_t
self_place (const DyMembers *members, uint64_t account_hash)
{
  return place_of (combine_hashes (account_hash, hash_string (members->self_name)),
                   members->self_loaded, members->self_has_platform);
}

/* Returns the live member with the highest place above BEST, leaving out SKIP (may be NULL) and, if
 * NEED_PLATFORM, those that do not reach the platform; NULL if there is none. */
static const DyMember *
highest_member (const DyMembers *members,
                uint64_t account_hash,
                uint64_t best,
                const char *skip,
                bool need_platform,
                int64_t now_us)
{
  const DyMember *home = NULL;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, members->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const DyMember *member = value;
      if (!dy_members_is_live (members, member, now_us)
          || (skip && strcmp (member->name, skip) == 0))
        continue;
      if (need_platform && !member->has_platform)
        continue;
      uint64_t place = member_place (account_hash, member, now_us);
      if (place <= best)
        continue;
      best = place;
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
  members->seen = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  members->absent = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  members->self_leaving = false;
  members->self_has_platform = true;
  members->self_loaded = false;
  members->listed = false;
  members->joining = false;
}

void
dy_members_finish (DyMembers *members)
{
  g_free (members->self_name);
  g_hash_table_unref (members->by_name);
  g_hash_table_unref (members->seen);
  g_hash_table_unref (members->absent);
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
  dy_members_record_seen (members, name);
  g_hash_table_remove (members->absent, name);
  if (!member)
    {
      member = g_new0 (DyMember, 1);
      member->name = g_strdup (name);
      member->name_hash = hash_string (name);
      g_hash_table_insert (members->by_name, member->name, member);
    }
  g_free (member->address);
  g_free (member->data_centre);
  member->address = g_strdup (address);
  member->data_centre = g_strdup (data_centre);
  member->leaving = leaving;
}

void
dy_members_remove (DyMembers *members, const char *name, int64_t now_us)
{
  if (g_hash_table_contains (members->by_name, name))
    g_hash_table_insert (members->absent, g_strdup (name), g_memdup2 (&now_us, sizeof now_us));
  g_hash_table_remove (members->by_name, name);
}

/* A router that is no longer listed and still heard from may run. */
static void
refresh_absent (DyMembers *members, const char *name, int64_t now_us)
{
  int64_t *absent_us = g_hash_table_lookup (members->absent, name);
  if (absent_us)
    *absent_us = now_us;
}

void
dy_members_record_heartbeat (
    DyMembers *members, const char *name, uint64_t incarnation_id, bool leaving, int64_t now_us)
{
  DyMember *member = g_hash_table_lookup (members->by_name, name);
  refresh_absent (members, name, now_us);
  if (!member)
    return;
  member->incarnation_id = incarnation_id;
  member->last_heartbeat_us = now_us;
  member->last_heard_us = now_us;
  member->draining = leaving;
}

void
dy_members_record_contact (DyMembers *members, const char *name, int64_t now_us)
{
  DyMember *member = g_hash_table_lookup (members->by_name, name);
  refresh_absent (members, name, now_us);
  if (member)
    member->last_heard_us = now_us;
}

void
dy_members_disconnected (DyMembers *members, const char *name)
{
  DyMember *member = g_hash_table_lookup (members->by_name, name);
  if (!member)
    return;
  member->incarnation_id = 0;
  memset (&member->load, 0, sizeof member->load);
}

void
dy_members_record_load (DyMembers *members, const char *name, const DyMemberLoad *load)
{
  DyMember *member = g_hash_table_lookup (members->by_name, name);
  if (member)
    member->load = *load;
}

const DyMember *
dy_members_find (const DyMembers *members, const char *name)
{
  return g_hash_table_lookup (members->by_name, name);
}

const DyMember *
dy_members_home (const DyMembers *members, const char *account, const char *skip, int64_t now_us)
{
  uint64_t account_hash = hash_string (account);
  uint64_t self = members->self_leaving ? 0 : self_place (members, account_hash);
  return highest_member (members, account_hash, self, skip, false, now_us);
}

bool
dy_members_home_is_known (const DyMembers *members, const char *account, int64_t now_us)
{
  GHashTableIter iter;
  gpointer value;
  if (!members->joining)
    return true;
  const DyMember *home = dy_members_home (members, account, NULL, now_us);
  uint64_t account_hash = hash_string (account);
  uint64_t place
      = home ? member_place (account_hash, home, now_us) : self_place (members, account_hash);
  /* Without a connection to any other member, this router would act as a fleet of one. */
  if (!home && !dy_members_other_home (members, account, NULL, now_us))
    return members->listed && g_hash_table_size (members->by_name) == 0;
  g_hash_table_iter_init (&iter, members->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const DyMember *member = value;
      if (member->leaving || member->draining)
        continue;
      if (member_place (account_hash, member, now_us) > place)
        return false;
    }
  return members->listed;
}

uint32_t
dy_members_rank (const DyMembers *members, const char *key, int64_t now_us)
{
  uint64_t key_hash = hash_string (key);
  uint64_t self = combine_hashes (key_hash, hash_string (members->self_name));
  uint32_t rank = 0;
  GHashTableIter iter;
  gpointer value;
  if (members->self_leaving)
    return UINT32_MAX;
  g_hash_table_iter_init (&iter, members->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const DyMember *member = value;
      rank += dy_members_is_live (members, member, now_us)
              && combine_hashes (key_hash, member->name_hash) > self;
    }
  return rank;
}

uint32_t
dy_members_possible_rank (const DyMembers *members, const char *key)
{
  uint64_t key_hash = hash_string (key);
  uint64_t self = combine_hashes (key_hash, hash_string (members->self_name));
  uint32_t rank = 0;
  GHashTableIter iter;
  gpointer name;
  g_hash_table_iter_init (&iter, members->seen);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    rank += combine_hashes (key_hash, hash_string (name)) > self;
  return rank;
}

uint32_t
dy_members_platform_rank (const DyMembers *members, const char *key, int64_t now_us)
{
  uint64_t key_hash = hash_string (key);
  uint64_t self = self_place (members, key_hash);
  uint32_t rank = 0;
  GHashTableIter iter;
  gpointer value;
  if (members->self_leaving)
    return UINT32_MAX;
  g_hash_table_iter_init (&iter, members->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const DyMember *member = value;
      rank += dy_members_is_live (members, member, now_us) && member->has_platform
              && member_place (key_hash, member, now_us) > self;
    }
  return rank;
}

uint32_t
dy_members_first (
    const DyMembers *members, const char *key, int64_t now_us, const char **names, uint32_t max)
{
  uint64_t key_hash = hash_string (key);
  uint64_t *hashes = g_new (uint64_t, max + 1);
  uint32_t n = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, members->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const DyMember *member = value;
      if (!dy_members_is_live (members, member, now_us))
        continue;
      uint64_t hash = combine_hashes (key_hash, member->name_hash);
      uint32_t i = n;
      for (; i > 0 && hashes[i - 1] < hash; i--)
        if (i < max)
          {
            hashes[i] = hashes[i - 1];
            names[i] = names[i - 1];
          }
      if (i >= max)
        continue;
      hashes[i] = hash;
      names[i] = member->name;
      n = MIN (n + 1, max);
    }
  g_free (hashes);
  return n;
}

bool
dy_members_ranks_above (const DyMembers *members, const char *account, const char *name)
{
  uint64_t account_hash = hash_string (account);
  return combine_hashes (account_hash, hash_string (name))
         > combine_hashes (account_hash, hash_string (members->self_name));
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
    N_PROBERS = 3, /* one may be isolated while another one restarts */
  };
  uint64_t self_hash = hash_string (members->self_name);
  uint32_t n_before = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, members->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const DyMember *member = value;
      if (!dy_members_is_live (members, member, now_us))
        continue;
      if (member->has_platform)
        return true;
      n_before += member->name_hash < self_hash;
    }
  return n_before < N_PROBERS;
}

const DyMember *
dy_members_home_with_platform (const DyMembers *members,
                               const char *account,
                               const char *skip,
                               int64_t now_us)
{
  uint64_t account_hash = hash_string (account);
  bool self = members->self_has_platform && !members->self_leaving;
  uint64_t place = self ? self_place (members, account_hash) : 0;
  const DyMember *home = highest_member (members, account_hash, place, skip, true, now_us);
  return home || self ? home : dy_members_home (members, account, skip, now_us);
}

const DyMember *
dy_members_other_home (const DyMembers *members,
                       const char *account,
                       const char *skip,
                       int64_t now_us)
{
  return highest_member (members, hash_string (account), 0, skip, false, now_us);
}

bool
dy_members_lack_platform (const DyMembers *members, int64_t now_us)
{
  uint32_t n = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, members->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const DyMember *member = value;
      if (!dy_members_is_live (members, member, now_us))
        continue;
      if (member->has_platform)
        return false;
      n++;
    }
  return n > 0;
}

bool
dy_members_all_lack_platform (const DyMembers *members, int64_t since_us, int64_t now_us)
{
  GHashTableIter iter;
  gpointer name;
  g_hash_table_iter_init (&iter, members->seen);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    {
      const DyMember *member = g_hash_table_lookup (members->by_name, name);
      const int64_t *absent_us = g_hash_table_lookup (members->absent, name);
      if (!member && absent_us && *absent_us <= since_us)
        continue;
      if (!member || !is_heard (members, member, now_us) || member->has_platform)
        return false;
    }
  return true;
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
    n += dy_members_is_live (members, value, now_us);
  return n;
}

void
dy_members_record_seen (DyMembers *members, const char *name)
{
  if (strcmp (name, members->self_name) != 0 && !g_hash_table_contains (members->seen, name))
    g_hash_table_add (members->seen, g_strdup (name));
}

uint32_t
dy_members_possible_count (const DyMembers *members)
{
  return 1 + g_hash_table_size (members->seen);
}

uint32_t
dy_members_present (const DyMembers *members, const char *key, int64_t since_us, uint32_t *rank)
{
  uint64_t key_hash = hash_string (key);
  uint64_t self = combine_hashes (key_hash, hash_string (members->self_name));
  uint32_t n = 1;
  GHashTableIter iter;
  gpointer name;
  *rank = 0;
  g_hash_table_iter_init (&iter, members->seen);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    {
      const int64_t *absent_us = g_hash_table_lookup (members->absent, name);
      if (absent_us && *absent_us <= since_us)
        continue;
      n++;
      *rank += combine_hashes (key_hash, hash_string (name)) > self;
    }
  return n;
}
