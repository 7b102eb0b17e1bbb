#include "core/spread.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

typedef struct
{
  uint64_t hash;
  const char *name;
} Place;

static int
compare_places (const void *a, const void *b)
{
  const Place *x = a;
  const Place *y = b;
  if (x->hash != y->hash)
    return x->hash < y->hash ? -1 : 1;
  return strcmp (x->name, y->name);
}

static Place
make_place (const char *name, uint64_t number)
{
  return (Place){ XXH3_64bits_withSeed (name, strlen (name), number), name };
}

uint32_t
dy_spread_targets (const DyMembers *members,
                   const char *root,
                   uint64_t number,
                   int64_t now_us,
                   const char *targets[DY_SPREAD_FANOUT])
{
  Place *places = g_new (Place, g_hash_table_size (members->by_name) + 1);
  bool is_root = strcmp (root, members->self_name) == 0;
  uint32_t n = 0;
  uint32_t n_targets = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, members->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const DyMember *member = value;
      if (dy_members_is_live (members, member, now_us) && strcmp (member->name, root) != 0)
        places[n++] = make_place (member->name, number);
    }
  /* The root is at place 0, those in the array and this router are at the places after it. */
  Place self = make_place (members->self_name, number);
  uint32_t place = 0;
  if (!is_root)
    {
      places[n++] = self;
      for (uint32_t i = 0; i < n; i++)
        place += compare_places (&places[i], &self) <= 0;
    }
  uint32_t first = place * DY_SPREAD_FANOUT;
  if (first < n)
    qsort (places, n, sizeof *places, compare_places);
  for (uint32_t i = first; i < first + DY_SPREAD_FANOUT && i < n; i++)
    targets[n_targets++] = places[i].name;
  g_free (places);
  return n_targets;
}
