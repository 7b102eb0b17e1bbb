#include "core/cold_share.h"

#include "core/store_version.h"

#include <string.h>
#include <xxhash.h>

enum
{
  /* With fewer requests in a second, the demand of one router often leaves its share unused. */
  MIN_SHARE = 2,
  MAX_SHARE = 10000, /* bounds the memory of a window */
  RAMP_SLICE_US = 10 * 1000,
  THOUSANDTHS = 1000,
};

/* Part of the time in which a router may choose an endpoint at the begin of its ramp. */
static const double RAMP_START = 0.1;

static void
free_endpoint (gpointer data)
{
  DyColdEndpoint *endpoint = data;
  g_array_unref (endpoint->sent_us);
  g_free (endpoint->id);
  g_free (endpoint);
}

void
dy_cold_shares_init (DyColdShares *shares,
                     DyColdPlaceOf place_of,
                     void *ctx,
                     const char *router,
                     int64_t learn_us,
                     int64_t now_us)
{
  shares->place_of = place_of;
  shares->ctx = ctx;
  shares->seed = XXH3_64bits (router, strlen (router));
  shares->learn_us = learn_us;
  shares->started_us = now_us;
  shares->endpoints = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_endpoint);
}

void
dy_cold_shares_finish (DyColdShares *shares)
{
  if (shares->endpoints)
    g_hash_table_unref (shares->endpoints);
  memset (shares, 0, sizeof *shares);
}

int64_t
dy_cold_bound (int64_t per_1000_s, int64_t overage_thousandths, int64_t slack_thousandths)
{
  if (per_1000_s <= 0)
    return -1;
  double bound = (double) per_1000_s * (double) overage_thousandths / 1e6
                 + (double) slack_thousandths / THOUSANDTHS;
  return (int64_t) MIN (bound, (double) INT32_MAX);
}

int64_t
dy_cold_share_of (int64_t bound, uint32_t rank, uint32_t n_routers)
{
  int64_t n_users = MIN ((int64_t) n_routers, MAX (bound / MIN_SHARE, 1));
  if ((int64_t) rank >= n_users || (int64_t) rank >= bound)
    return 0;
  return MIN ((bound - (int64_t) rank + n_users - 1) / n_users, MAX_SHARE);
}

void
dy_cold_set_rank (DyColdPlace *place,
                  const DyMembers *members,
                  DyResendShare *parts,
                  const char *endpoint,
                  int64_t now_us)
{
  int64_t since_us = now_us - parts->list_limit_us - DY_COLD_PARTS_WINDOW_US;
  uint32_t n_routers = dy_members_present (members, endpoint, since_us, &place->rank);
  place->n_routers = dy_resend_share_parts (parts, now_us) > 0 ? n_routers : 0;
}

/* An endpoint that did not state its cold time is cold for that of its service. */
static void
take_place (DyColdEndpoint *endpoint, const DyColdPlace *place, int64_t now_us)
{
  bool was_limited = endpoint->share > 0;
  endpoint->shared_us = place->unknown ? INT64_MIN : now_us;
  if (!endpoint->stated && place->cold_us > 0)
    endpoint->cold_until_us = endpoint->known_us + place->cold_us;
  endpoint->share = place->bound;
  if (place->bound >= 0)
    endpoint->share
        = place->n_routers > 0 ? dy_cold_share_of (place->bound, place->rank, place->n_routers) : 0;
  if (!was_limited && endpoint->share > 0)
    endpoint->fill_us = MAX (endpoint->fill_us, now_us);
}

static void
update (DyColdShares *shares, DyColdEndpoint *endpoint, int64_t now_us)
{
  guint n_old = 0;
  /* The rank among all routers is too costly to compute for endpoints that are warm. */
  bool stays_cold = now_us < endpoint->cold_until_us;
  if (endpoint->shared_us == INT64_MIN
      || (stays_cold && now_us - endpoint->shared_us >= DY_COLD_SHARE_TTL_US))
    {
      DyColdPlace place = shares->place_of (shares->ctx, endpoint->id, now_us);
      take_place (endpoint, &place, now_us);
    }
  while (n_old < endpoint->sent_us->len
         && now_us - g_array_index (endpoint->sent_us, int64_t, n_old) >= DY_COLD_WINDOW_US)
    n_old++;
  if (n_old > 0)
    g_array_remove_range (endpoint->sent_us, 0, n_old);
}

static DyColdEndpoint *
find (DyColdShares *shares, const char *id, int64_t now_us)
{
  DyColdEndpoint *endpoint = g_hash_table_lookup (shares->endpoints, id);
  if (endpoint)
    update (shares, endpoint, now_us);
  return endpoint;
}

static bool
is_cold (const DyColdEndpoint *endpoint, int64_t now_us)
{
  return now_us < endpoint->cold_until_us;
}

static bool
is_in_ramp (const DyColdEndpoint *endpoint, int64_t now_us)
{
  return endpoint->cold_until_us != INT64_MIN && now_us >= endpoint->cold_until_us
         && now_us - endpoint->cold_until_us < DY_COLD_RAMP_US;
}

static DyColdEndpoint *
add_endpoint (DyColdShares *shares, const char *id)
{
  DyColdEndpoint *endpoint = g_new0 (DyColdEndpoint, 1);
  endpoint->id = g_strdup (id);
  endpoint->sent_us = g_array_new (FALSE, FALSE, sizeof (int64_t));
  g_hash_table_insert (shares->endpoints, endpoint->id, endpoint);
  return endpoint;
}

/* Returns the time until which others may still send to an endpoint that became cold while it was
 * in use. */
static int64_t
hold_until (const DyColdShares *shares, const char *id, int64_t cold_us, int64_t now_us)
{
  DyColdPlace place = shares->place_of (shares->ctx, id, now_us);
  int64_t elapsed_us = cold_us >= 0 ? MAX (place.cold_us - cold_us, 0) : 0;
  return now_us + MAX (shares->learn_us - elapsed_us, 0);
}

bool
dy_cold_shares_put (DyColdShares *shares,
                    const char *id,
                    int64_t start_ms,
                    int64_t cold_us,
                    uint64_t version,
                    int64_t now_us)
{
  DyColdEndpoint *endpoint = find (shares, id, now_us);
  bool was_known = endpoint || now_us - shares->started_us < shares->learn_us;
  bool is_new = !endpoint || endpoint->start_ms != start_ms;
  bool was_cold = endpoint && is_cold (endpoint, now_us);
  bool is_read_again
      = version > 0 && !is_new && endpoint->version == version && endpoint->record_us == cold_us;
  if ((!is_new && cold_us < 0) || is_read_again)
    return false;
  if (!endpoint)
    endpoint = add_endpoint (shares, id);
  if (is_new)
    {
      endpoint->start_ms = start_ms;
      endpoint->stated = false;
      endpoint->known_us = now_us;
      endpoint->cold_until_us = INT64_MIN;
      endpoint->n_reserved = 0;
    }
  /* A restored store lists records of its copy, which are older than what is known. */
  bool is_later
      = version > 0
        && (is_new
            || dy_store_version_revision (version) > dy_store_version_revision (endpoint->version));
  if (version > 0)
    {
      endpoint->version = version;
      endpoint->record_us = cold_us;
    }
  if (cold_us > 0 && (is_later || now_us + cold_us > endpoint->cold_until_us))
    endpoint->cold_until_us = now_us + cold_us;
  else if (cold_us == 0 && is_later && was_cold)
    endpoint->cold_until_us = now_us;
  endpoint->stated = endpoint->stated || cold_us >= 0;
  if (endpoint->stated && !is_cold (endpoint, now_us))
    return false;
  endpoint->shared_us = INT64_MIN;
  update (shares, endpoint, now_us);
  if (!is_cold (endpoint, now_us) || (was_cold && !is_new))
    return false;
  endpoint->hold_until_us = was_known ? hold_until (shares, id, cold_us, now_us) : 0;
  endpoint->fill_us = MAX (MAX (endpoint->hold_until_us, now_us), endpoint->fill_us);
  return true;
}

void
dy_cold_shares_remove (DyColdShares *shares, const char *id)
{
  const DyColdEndpoint *endpoint = g_hash_table_lookup (shares->endpoints, id);
  if (endpoint && endpoint->n_reserved == 0)
    g_hash_table_remove (shares->endpoints, id);
}

bool
dy_cold_shares_is_cold (DyColdShares *shares, const char *id, int64_t now_us)
{
  const DyColdEndpoint *endpoint = find (shares, id, now_us);
  return endpoint && is_cold (endpoint, now_us);
}

/* Returns the places of the window that may be taken by now, taken ones included. */
static int64_t
count_places (const DyColdEndpoint *endpoint, int64_t now_us)
{
  int64_t filled_us = CLAMP (now_us - endpoint->fill_us, 0, DY_COLD_WINDOW_US);
  return endpoint->share * filled_us / DY_COLD_WINDOW_US;
}

static int64_t
count_taken (const DyColdEndpoint *endpoint)
{
  return (int64_t) endpoint->sent_us->len + endpoint->n_reserved;
}

static bool
has_room (const DyColdEndpoint *endpoint, int64_t now_us)
{
  if (endpoint->share < 0)
    return true;
  return now_us >= endpoint->hold_until_us
         && count_taken (endpoint) < count_places (endpoint, now_us);
}

/* Returns whether the present slice of time is one of this router's part. */
static bool
has_slice (const DyColdShares *shares, const DyColdEndpoint *endpoint, int64_t now_us)
{
  double passed = (double) (now_us - endpoint->cold_until_us) / (double) DY_COLD_RAMP_US;
  double part = RAMP_START + (1.0 - RAMP_START) * passed;
  uint64_t words[] = { shares->seed, XXH3_64bits (endpoint->id, strlen (endpoint->id)),
                       (uint64_t) (now_us / RAMP_SLICE_US) };
  return (double) XXH3_64bits (words, sizeof words) < part * (double) UINT64_MAX;
}

bool
dy_cold_shares_is_in_ramp (const DyColdShares *shares, const char *id, int64_t now_us)
{
  const DyColdEndpoint *endpoint = g_hash_table_lookup (shares->endpoints, id);
  return endpoint && is_in_ramp (endpoint, now_us);
}

bool
dy_cold_shares_allow (DyColdShares *shares, const char *id, int64_t now_us)
{
  const DyColdEndpoint *endpoint = find (shares, id, now_us);
  if (!endpoint)
    return true;
  if (is_cold (endpoint, now_us))
    return has_room (endpoint, now_us);
  return !is_in_ramp (endpoint, now_us) || has_slice (shares, endpoint, now_us);
}

int64_t
dy_cold_shares_room_us (DyColdShares *shares, const char *id, int64_t now_us)
{
  const DyColdEndpoint *endpoint = find (shares, id, now_us);
  if (!endpoint || endpoint->share < 0 || has_room (endpoint, now_us))
    return 0;
  if (endpoint->share == 0)
    return INT64_MAX;
  int64_t n_next = count_taken (endpoint) + 1;
  int64_t until_us = endpoint->hold_until_us;
  if (n_next <= endpoint->share)
    {
      int64_t filled_us = (n_next * DY_COLD_WINDOW_US + endpoint->share - 1) / endpoint->share;
      until_us = MAX (until_us, endpoint->fill_us + filled_us);
    }
  else
    {
      guint n_before = (guint) (n_next - 1 - endpoint->share);
      until_us = MAX (until_us,
                      n_before < endpoint->sent_us->len
                          ? g_array_index (endpoint->sent_us, int64_t, n_before) + DY_COLD_WINDOW_US
                          : now_us + DY_COLD_WINDOW_US);
    }
  return MAX (until_us - now_us, 0);
}

int64_t
dy_cold_shares_share (DyColdShares *shares, const char *id, int64_t now_us)
{
  const DyColdEndpoint *endpoint = find (shares, id, now_us);
  return endpoint ? endpoint->share : -1;
}

bool
dy_cold_shares_reserve (DyColdShares *shares, const char *id, int64_t start_ms, int64_t now_us)
{
  DyColdEndpoint *endpoint = find (shares, id, now_us);
  if (!endpoint || endpoint->start_ms != start_ms || !is_cold (endpoint, now_us)
      || endpoint->share < 0)
    return false;
  endpoint->n_reserved++;
  return true;
}

bool
dy_cold_shares_send (
    DyColdShares *shares, const char *id, int64_t start_ms, bool reserved, int64_t now_us)
{
  DyColdEndpoint *endpoint = find (shares, id, now_us);
  if (!endpoint)
    return true;
  if (reserved && endpoint->start_ms == start_ms && endpoint->n_reserved > 0)
    endpoint->n_reserved--;
  else
    reserved = false;
  if (!is_cold (endpoint, now_us) || endpoint->share < 0)
    return true;
  /* The share may have ended since the place was reserved, or the cold time have begun. */
  if (now_us < endpoint->hold_until_us || count_taken (endpoint) >= endpoint->share
      || (!reserved && !has_room (endpoint, now_us)))
    return false;
  g_array_append_val (endpoint->sent_us, now_us);
  return true;
}

void
dy_cold_shares_cancel (DyColdShares *shares, const char *id, int64_t start_ms)
{
  DyColdEndpoint *endpoint = g_hash_table_lookup (shares->endpoints, id);
  if (endpoint && endpoint->start_ms == start_ms && endpoint->n_reserved > 0)
    endpoint->n_reserved--;
}
