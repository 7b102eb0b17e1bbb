#include "services/claim.h"

#include "kernel/error.h"

#include <string.h>

enum
{
  MAX_TRIES = 3,
};

static void create (DyClaim *claim);

static void
release_memory (DyClaim *claim)
{
  g_free (claim->key);
  g_free (claim->owner);
  g_free (claim);
}

static void
on_removed (void *ctx, const DyPlatformReply *reply)
{
  (void) reply;
  release_memory (ctx);
}

static void
remove_object (DyClaim *claim)
{
  dy_platform_put (claim->platform, claim->key, NULL, claim->version, on_removed, claim);
}

static void
finish (DyClaim *claim, int error)
{
  claim->open = false;
  claim->taken = error == DY_OK;
  if (!claim->dropped)
    claim->done (claim->ctx, error);
  else if (claim->taken)
    remove_object (claim);
  else
    release_memory (claim);
}

static void
on_read (void *ctx, const DyPlatformReply *reply)
{
  DyClaim *claim = ctx;
  claim->version = reply->version;
  if (reply->error == DY_OK)
    finish (claim, strcmp (reply->value, claim->owner) == 0 ? DY_OK : DY_OUTCOME_UNKNOWN);
  else if (claim->n_tries < MAX_TRIES)
    create (claim);
  else
    finish (claim, DY_CLAIM_UNAVAILABLE);
}

static void
on_created (void *ctx, const DyPlatformReply *reply)
{
  DyClaim *claim = ctx;
  claim->version = reply->version;
  if (reply->error == DY_OK)
    finish (claim, DY_OK);
  else
    dy_platform_get (claim->platform, claim->key, on_read, claim);
}

static void
create (DyClaim *claim)
{
  claim->n_tries++;
  dy_platform_put (claim->platform, claim->key, claim->owner, 0, on_created, claim);
}

DyClaim *
dy_claim_new (DyPlatform *platform,
              const char *account,
              const DyKeyHash *key,
              const DyRequestId *id)
{
  DyClaim *claim = g_new0 (DyClaim, 1);
  claim->platform = platform;
  claim->key
      = g_strdup_printf (DY_CLAIM_PREFIX "%s/%016" G_GINT64_MODIFIER "x%016" G_GINT64_MODIFIER "x",
                         account, key->high, key->low);
  claim->owner = g_strdup_printf ("%016" G_GINT64_MODIFIER "x-%" G_GUINT64_FORMAT, id->origin_id,
                                  id->number);
  return claim;
}

void
dy_claim_take (DyClaim *claim, DyClaimDone done, void *ctx)
{
  claim->done = done;
  claim->ctx = ctx;
  claim->open = true;
  create (claim);
}

void
dy_claim_free (DyClaim *claim, bool remove)
{
  if (claim->open)
    claim->dropped = true;
  else if (claim->taken && remove)
    remove_object (claim);
  else
    release_memory (claim);
}
