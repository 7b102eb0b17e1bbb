#include "core/limit_shares.h"

#include <math.h>
#include <string.h>

const DyLimitPolicy dy_limit_policy = {
  .min_share_per_1000_s = 1000,
  .confirm_us = 3000 * 1000,
  .handover_us = 10 * 1000 * 1000,
  .announce_us = 1000 * 1000,
};

static const double MAX_TOKENS = 1.0;
/* Requests that a router could have sent before the next ones take over. */
static const double HANDOVER_REQUESTS = 2.0;
static const double US_PER_1000_S = 1e9;
static const int64_t SHARE_TTL_US = 200 * 1000;

static void
free_limit (gpointer data)
{
  DyLimit *limit = data;
  g_free (limit->endpoint);
  g_free (limit);
}

void
dy_limit_shares_init (DyLimitShares *shares,
                      const DyLimitPolicy *policy,
                      DyLimitRank rank,
                      void *ctx)
{
  shares->policy = *policy;
  shares->rank = rank;
  shares->ctx = ctx;
  shares->limits = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_limit);
}

void
dy_limit_shares_finish (DyLimitShares *shares)
{
  if (shares->limits)
    g_hash_table_unref (shares->limits);
  memset (shares, 0, sizeof *shares);
}

static void
refill (DyLimit *limit, int64_t now_us)
{
  double rate_per_us = (double) limit->share_per_1000_s / US_PER_1000_S;
  limit->tokens += rate_per_us * (double) (now_us - limit->refilled_us);
  limit->refilled_us = now_us;
  double excess = limit->tokens - MAX_TOKENS - limit->turn;
  if (excess > 0.0)
    limit->tokens -= limit->turn > 0.0 ? ceil (excess) : excess;
}

static int64_t
count_handovers (const DyLimit *limit, int64_t now_us)
{
  return limit->n_handovers + MAX (now_us - limit->confirmed_us, 0) / limit->handover_us;
}

/* Sets the part of the time in which this router may send. Routers that begin to send in turn do so
 * in their order, wherever their buckets were. */
static void
set_turn (DyLimit *limit, double turn, const DyLimitPlace *place)
{
  if (turn == limit->turn)
    return;
  limit->turn = turn;
  limit->tokens
      = turn > 0.0 ? MAX_TOKENS - (double) (place->possible_rank + 1) / (double) place->n_possible
                   : MIN (limit->tokens, MAX_TOKENS);
}

/* Sets the share of this router. The routers that use the limit are a range of all that hear each
 * other, in their order for the endpoint, which moves on by its length at each handover. */
static void
update_share (DyLimitShares *shares, DyLimit *limit, int64_t now_us)
{
  const DyLimitPolicy *policy = &shares->policy;
  refill (limit, now_us);
  if (limit->shared_us > 0 && now_us - limit->shared_us < SHARE_TTL_US)
    return;
  DyLimitPlace place = shares->rank (shares->ctx, limit->endpoint);
  int64_t n_routers = MAX (place.n_routers, 1);
  int64_t n_possible = MAX ((int64_t) place.n_possible, n_routers);
  int64_t part_per_1000_s = MAX (limit->per_1000_s * n_routers / n_possible, 1);
  int64_t n_users = CLAMP (part_per_1000_s / policy->min_share_per_1000_s, 1, n_routers);
  int64_t share_per_1000_s = MAX (part_per_1000_s / n_users, 1);
  limit->handover_us
      = MAX (policy->handover_us, (int64_t) (HANDOVER_REQUESTS * US_PER_1000_S) / share_per_1000_s);
  int64_t first = count_handovers (limit, now_us) % n_routers * n_users % n_routers;
  int64_t position = ((int64_t) place.rank + n_routers - first) % n_routers;
  bool uses = place.rank < n_routers && position < n_users;
  bool in_turn = 2 * n_routers <= n_possible && share_per_1000_s < policy->min_share_per_1000_s;
  limit->share_per_1000_s = uses ? share_per_1000_s : 0;
  limit->is_first = uses && position == 0;
  limit->shared_us = now_us;
  set_turn (limit, in_turn ? (double) n_routers / (double) n_possible : 0.0, &place);
}

static DyLimit *
add_limit (DyLimitShares *shares, const char *endpoint, int64_t now_us)
{
  DyLimit *limit = g_new0 (DyLimit, 1);
  limit->endpoint = g_strdup (endpoint);
  limit->learned_us = now_us;
  limit->refilled_us = now_us;
  limit->handover_us = shares->policy.handover_us;
  g_hash_table_insert (shares->limits, limit->endpoint, limit);
  return limit;
}

/* Returns whether the rate differs from the one known. */
static bool
set_rate (DyLimit *limit, int64_t per_1000_s, int64_t now_us)
{
  limit->shared_us = 0;
  if (limit->per_1000_s == per_1000_s)
    return false;
  refill (limit, now_us);
  limit->per_1000_s = per_1000_s;
  limit->announced_us = INT64_MIN / 2;
  return true;
}

bool
dy_limit_shares_set (DyLimitShares *shares,
                     const char *endpoint,
                     int64_t per_1000_s,
                     int64_t now_us)
{
  DyLimit *limit = g_hash_table_lookup (shares->limits, endpoint);
  if (limit)
    limit->n_handovers = count_handovers (limit, now_us);
  else
    limit = add_limit (shares, endpoint, now_us);
  limit->confirmed_us = now_us;
  return set_rate (limit, per_1000_s, now_us);
}

bool
dy_limit_shares_take (DyLimitShares *shares,
                      const char *endpoint,
                      const DyLimitReport *report,
                      int64_t now_us)
{
  DyLimit *limit = g_hash_table_lookup (shares->limits, endpoint);
  int64_t named_us = now_us - report->age_us;
  if (limit && named_us < limit->confirmed_us)
    return false;
  if (!limit)
    {
      limit = add_limit (shares, endpoint, now_us);
      limit->from_peer = true;
    }
  limit->n_handovers = report->n_handovers;
  limit->confirmed_us = named_us;
  return set_rate (limit, report->per_1000_s, now_us);
}

bool
dy_limit_shares_announce (DyLimitShares *shares, const char *endpoint, int64_t now_us)
{
  DyLimit *limit = g_hash_table_lookup (shares->limits, endpoint);
  if (!limit || now_us - limit->announced_us < shares->policy.announce_us)
    return false;
  limit->announced_us = now_us;
  return true;
}

bool
dy_limit_shares_end (DyLimitShares *shares, const char *endpoint, int64_t sent_us)
{
  const DyLimit *limit = g_hash_table_lookup (shares->limits, endpoint);
  if (!limit || sent_us < limit->learned_us)
    return false;
  return g_hash_table_remove (shares->limits, endpoint);
}

bool
dy_limit_shares_remove (DyLimitShares *shares, const char *endpoint)
{
  return g_hash_table_remove (shares->limits, endpoint);
}

const DyLimit *
dy_limit_shares_find (const DyLimitShares *shares, const char *endpoint)
{
  return g_hash_table_lookup (shares->limits, endpoint);
}

bool
dy_limit_shares_allow (DyLimitShares *shares, const char *endpoint, int64_t now_us)
{
  DyLimit *limit = g_hash_table_lookup (shares->limits, endpoint);
  if (!limit)
    return true;
  update_share (shares, limit, now_us);
  return limit->share_per_1000_s > 0 && limit->tokens >= MAX_TOKENS;
}

bool
dy_limit_shares_due (DyLimitShares *shares, const char *endpoint, int64_t now_us)
{
  const DyLimit *limit = g_hash_table_lookup (shares->limits, endpoint);
  return limit && now_us - limit->confirmed_us >= shares->policy.confirm_us
         && dy_limit_shares_allow (shares, endpoint, now_us) && limit->is_first;
}

void
dy_limit_shares_record_sent (DyLimitShares *shares, const char *endpoint, int64_t now_us)
{
  DyLimit *limit = g_hash_table_lookup (shares->limits, endpoint);
  if (!limit)
    return;
  update_share (shares, limit, now_us);
  limit->tokens = MAX (limit->tokens - 1.0, -1.0);
}
