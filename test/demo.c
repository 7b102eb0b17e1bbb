/* The main job in one run: two client accounts, streamed requests until one budget is spent. */

#include "support/fleet.h"
#include "support/load.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

enum
{
  N_REQUESTS = 30, /* of each account */
  N_CONCURRENT = 6,
  MAX_TOKENS = 200,
};

typedef struct
{
  const char *account;
  const char *secret;
  bool spends_all; /* the budget does not cover all requests */
} DemoAccount;

static const DemoAccount accounts[] = {
  { "qadri", "qadri-example-key", false },
  { "magnolia", "magnolia-example-key", true },
};

static void
send_requests (Fleet *fleet, const DemoAccount *account, LoadResult *result)
{
  LoadSpec spec = { .targets = (const char *const *) fleet->callers,
                    .secret = account->secret,
                    .prefix = account->account,
                    .n_requests = N_REQUESTS,
                    .n_concurrent = N_CONCURRENT,
                    .max_tokens = MAX_TOKENS };
  load_run (fleet->loop, &spec, result);
}

static void
print_refusals (const LoadResult *result)
{
  GHashTableIter iter;
  gpointer kind;
  gpointer n;
  g_hash_table_iter_init (&iter, result->refusals);
  while (g_hash_table_iter_next (&iter, &kind, &n))
    printf ("%-10s   %s %u\n", "", (const char *) kind, GPOINTER_TO_UINT (n));
}

/* Prints the sums of ACCOUNT and returns whether they are right. */
static bool
report (Fleet *fleet, const DemoAccount *account, const LoadResult *result)
{
  int64_t paid = fleet_ledger (fleet, account->account, "paid_tokens");
  int64_t billed = fleet_ledger (fleet, account->account, "settled_tokens");
  int64_t overspend = MAX (billed - paid, 0);
  uint32_t refused = load_refused (result, "budget_spent");
  printf ("%-10s paid %8" PRId64 "  billed %8" PRId64
          "  answered %3u  refused %3u  overspend %" PRId64 "\n",
          account->account, paid, billed, result->n_completed, refused, overspend);
  print_refusals (result);
  bool all_accounted = result->n_completed + refused == N_REQUESTS;
  return paid > 0 && billed == result->used_tokens && overspend == 0 && all_accounted
         && account->spends_all == (refused > 0);
}

int
main (void)
{
  FleetSpec spec = { .n_routers = 3, .n_engines = 2, .token_us = 1000 };
  LoadResult results[G_N_ELEMENTS (accounts)];
  Fleet fleet;
  bool ok = fleet_init (&fleet, &spec);
  for (size_t i = 0; ok && i < G_N_ELEMENTS (accounts); i++)
    send_requests (&fleet, &accounts[i], &results[i]);
  if (ok)
    ok = fleet_drain (&fleet);
  for (size_t i = 0; ok && i < G_N_ELEMENTS (accounts); i++)
    {
      ok = report (&fleet, &accounts[i], &results[i]) && ok;
      load_result_finish (&results[i]);
    }
  fleet_finish (&fleet);
  printf ("%s\n", ok ? "all sums agree" : "a sum is off");
  return ok ? EXIT_SUCCESS : EXIT_FAILURE;
}
