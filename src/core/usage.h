#ifndef DY_CORE_USAGE_H
#define DY_CORE_USAGE_H

/**
 * NAME
 *   usage - what each holder charged for this router's requests
 *
 * DESCRIPTION
 *   One sum for each holder incarnation and account. When the holder is gone, the sum tells what
 *   its row in the ledger entry must show for this router; the difference is what the holder had
 *   settled and not yet written. The sum is final once no request of this router is open there.
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
  int64_t replicated_tokens; /* what the holder told to have charged for its own requests */
  uint32_t n_open;           /* requests that the holder may still charge */
  bool gone;                 /* the holder is */
} DyUsage;

typedef struct
{
  GHashTable *table;       /* set of DyUsage */
  GHashTable *present_ids; /* holder incarnations that were alive beside this router */
} DyUsages;

void dy_usages_init (DyUsages *usages);
void dy_usages_finish (DyUsages *usages);

/* Returns the usage of HOLDER_ID for ACCOUNT; dy_usages_get() makes it if there is none. */
DyUsage *dy_usages_find (const DyUsages *usages, uint64_t holder_id, const char *account);
DyUsage *dy_usages_get (DyUsages *usages, uint64_t holder_id, const char *account);
void dy_usages_remove (DyUsages *usages, DyUsage *usage);

/* The incarnation ID was heard from; dy_usages_was_present() tells whether it ever was. */
void dy_usages_add_present (DyUsages *usages, uint64_t id);
bool dy_usages_was_present (const DyUsages *usages, uint64_t id);

#endif
