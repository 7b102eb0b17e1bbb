#include "support/snapshots.h"

typedef struct
{
  int64_t time_us;
  DyObjectStore store;
} Copy;

static void
free_copy (gpointer data)
{
  Copy *copy = data;
  dy_object_store_finish (&copy->store);
  g_free (copy);
}

void
snapshots_init (Snapshots *snapshots, int64_t age_us)
{
  snapshots->copies = g_ptr_array_new_with_free_func (free_copy);
  snapshots->age_us = age_us;
}

void
snapshots_finish (Snapshots *snapshots)
{
  g_ptr_array_unref (snapshots->copies);
}

void
snapshots_take (Snapshots *snapshots, const DyObjectStore *store, int64_t now_us)
{
  Copy *copy = g_new0 (Copy, 1);
  copy->time_us = now_us;
  dy_object_store_init (&copy->store);
  dy_object_store_copy (&copy->store, store);
  g_ptr_array_add (snapshots->copies, copy);
  while (((const Copy *) g_ptr_array_index (snapshots->copies, 0))->time_us
         < now_us - snapshots->age_us)
    g_ptr_array_remove_index (snapshots->copies, 0);
}

bool
snapshots_restore (Snapshots *snapshots, DyObjectStore *store, int64_t time_us)
{
  for (guint i = 0; i < snapshots->copies->len; i++)
    {
      const Copy *copy = g_ptr_array_index (snapshots->copies, i);
      if (copy->time_us < time_us)
        continue;
      dy_object_store_copy (store, &copy->store);
      g_ptr_array_set_size (snapshots->copies, (gint) i);
      return true;
    }
  return false;
}
