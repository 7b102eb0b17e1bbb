#ifndef DY_CORE_USAGE_H
#define DY_CORE_USAGE_H

/**
 * NAME
 *   usage - tokens that each holder charged for this router's requests
 *
 * DESCRIPTION
 *   Keeps one sum for each holder incarnation and account. When the holder dies, its row in the
 *   ledger entry must show this sum as the part of this router; the difference is what the holder
 *   settled but did not write. The sum is final once none of this router's requests is open at the
 *   holder.
 */

#include "core/message.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  uint64_t holder_id;
  char account[DY_NAME_SIZE];
  int64_t charged_tokens;
  int64_t replicated_tokens; /* its charges for its own requests, as replicated to this router */
  uint32_t n_open;           /* requests that the holder may still charge */
  bool holder_dead;          /* the holder incarnation is dead */
} DyUsage;

typedef struct
{
  uint64_t id;
  int64_t seen_us;  /* time at which it was first known to be alive; INT64_MAX: not known */
  bool seen_unused; /* that was before anything was reserved there */
} DyPresence;

typedef struct
{
  GHashTable *table;   /* set of DyUsage */
  GHashTable *present; /* incarnation that was alive while this router was to a DyPresence */
} DyUsages;

void dy_usages_init (DyUsages *usages);
void dy_usages_finish (DyUsages *usages);

/* Return the usage of HOLDER_ID for ACCOUNT, or NULL; dy_usages_get() creates a missing one. */
DyUsage *dy_usages_find (const DyUsages *usages, uint64_t holder_id, const char *account);
DyUsage *dy_usages_get (DyUsages *usages, uint64_t holder_id, const char *account);
void dy_usages_remove (DyUsages *usages, DyUsage *usage);

/* Records that the incarnation ID is alive at SEEN_US (INT64_MAX: not known since when). */
void dy_usages_add_present (DyUsages *usages, uint64_t id, int64_t seen_us);

/* Records that nothing has been reserved at the incarnation ID yet. */
void dy_usages_add_unused (DyUsages *usages, uint64_t id);

/* Returns whether the incarnation ID was ever recorded as alive. */
bool dy_usages_was_present (const DyUsages *usages, uint64_t id);

/* Returns whether this router has been alive since before anything was reserved at the incarnation
 * ID, or has known that one since BEFORE_US. */
bool dy_usages_is_witness (const DyUsages *usages, uint64_t id, int64_t before_us);

#endif
