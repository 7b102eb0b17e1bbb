#include "core/notices.h"

enum
{
  /* Longer than an endpoint that leaves goes on to serve. */
  RETENTION_US = 60 * 1000 * 1000,
};

void
dy_notice_free (gpointer data)
{
  DyNotice *notice = data;
  if (!notice)
    return;
  g_free (notice->endpoint);
  g_free (notice);
}

void
dy_notices_init (DyNotices *notices)
{
  notices->by_endpoint = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, dy_notice_free);
}

void
dy_notices_finish (DyNotices *notices)
{
  g_hash_table_unref (notices->by_endpoint);
}

/* Returns the notice of ENDPOINT, started at START_MS, or NULL if a later start has given one. */
static DyNotice *
get (DyNotices *notices, const char *endpoint, int64_t start_ms, bool from_peer)
{
  DyNotice *notice = g_hash_table_lookup (notices->by_endpoint, endpoint);
  if (notice && notice->start_ms >= start_ms)
    return notice->start_ms == start_ms ? notice : NULL;
  notice = g_new0 (DyNotice, 1);
  notice->endpoint = g_strdup (endpoint);
  notice->start_ms = start_ms;
  notice->said_us = INT64_MIN / 2;
  notice->wait_until_us = INT64_MIN / 2;
  notice->from_peer = from_peer;
  g_hash_table_replace (notices->by_endpoint, notice->endpoint, notice);
  return notice;
}

bool
dy_notices_take_leaving (
    DyNotices *notices, const char *endpoint, int64_t start_ms, int64_t said_us, bool from_peer)
{
  DyNotice *notice = get (notices, endpoint, start_ms, from_peer);
  if (!notice)
    return false;
  bool is_new = !notice->leaving;
  notice->leaving = true;
  notice->said_us = MAX (notice->said_us, said_us);
  return is_new;
}

void
dy_notices_take_wait (
    DyNotices *notices, const char *endpoint, int64_t start_ms, int64_t said_us, int64_t until_us)
{
  DyNotice *notice = get (notices, endpoint, start_ms, false);
  if (!notice)
    return;
  notice->wait_until_us = MAX (notice->wait_until_us, until_us);
  notice->said_us = MAX (notice->said_us, said_us);
}

int64_t
dy_notices_wait_until_us (const DyNotices *notices, const char *endpoint, int64_t start_ms)
{
  const DyNotice *notice = g_hash_table_lookup (notices->by_endpoint, endpoint);
  return notice && notice->start_ms == start_ms ? notice->wait_until_us : INT64_MIN / 2;
}

bool
dy_notices_is_leaving (const DyNotices *notices, const char *endpoint, int64_t start_ms)
{
  const DyNotice *notice = g_hash_table_lookup (notices->by_endpoint, endpoint);
  return notice && notice->leaving && notice->start_ms == start_ms;
}

const DyNotice *
dy_notices_find (const DyNotices *notices, const char *endpoint)
{
  return g_hash_table_lookup (notices->by_endpoint, endpoint);
}

static bool
has_ended (const DyNotice *notice, int64_t now_us)
{
  return now_us >= notice->wait_until_us
         && (!notice->leaving || now_us - notice->said_us > RETENTION_US);
}

DyNotice *
dy_notices_take_ended (DyNotices *notices, int64_t now_us)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, notices->by_endpoint);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (has_ended (value, now_us))
      {
        g_hash_table_iter_steal (&iter);
        return value;
      }
  return NULL;
}
