#include "core/inquiry.h"

static void
free_inquiry (gpointer data)
{
  DyInquiry *inquiry = data;
  g_hash_table_unref (inquiry->heard);
  g_free (inquiry);
}

void
dy_inquiries_init (DyInquiries *inquiries)
{
  inquiries->table
      = g_hash_table_new_full (dy_request_id_hash, dy_request_id_equal, NULL, free_inquiry);
}

void
dy_inquiries_finish (DyInquiries *inquiries)
{
  g_hash_table_unref (inquiries->table);
}

DyInquiry *
dy_inquiries_add (DyInquiries *inquiries,
                  const DyMessage *reserve,
                  uint64_t link,
                  int64_t deadline_us)
{
  DyInquiry *inquiry = g_new0 (DyInquiry, 1);
  inquiry->reserve = *reserve;
  inquiry->link = link;
  inquiry->heard = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  inquiry->deadline_us = deadline_us;
  g_hash_table_insert (inquiries->table, &inquiry->reserve.u.reserve.id, inquiry);
  return inquiry;
}

DyInquiry *
dy_inquiries_find (const DyInquiries *inquiries, const DyRequestId *id)
{
  return g_hash_table_lookup (inquiries->table, id);
}

void
dy_inquiries_remove (DyInquiries *inquiries, const DyRequestId *id)
{
  g_hash_table_remove (inquiries->table, id);
}

bool
dy_inquiry_has_reply (const DyInquiry *inquiry, const DyMember *member)
{
  return member->incarnation_id != 0
         && g_hash_table_contains (inquiry->heard, &member->incarnation_id);
}

bool
dy_inquiry_is_over (const DyInquiry *inquiry, const DyMembers *members, int64_t now_us)
{
  GHashTableIter iter;
  gpointer value;
  if (now_us >= inquiry->deadline_us)
    return true;
  g_hash_table_iter_init (&iter, members->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const DyMember *member = value;
      if (member->incarnation_id != 0 && !dy_inquiry_has_reply (inquiry, member))
        return false;
    }
  return true;
}
