#include "core/backoff.h"

void
dy_backoff_init (DyBackoff *backoff, int64_t min_us, int64_t max_us)
{
  backoff->min_us = min_us;
  backoff->max_us = max_us;
  backoff->n_failures = 0;
}

int64_t
dy_backoff_next_us (DyBackoff *backoff, GRand *rng)
{
  int64_t ceiling_us = backoff->min_us;
  for (uint32_t i = 0; i < backoff->n_failures && ceiling_us < backoff->max_us; i++)
    ceiling_us *= 2;
  ceiling_us = MIN (ceiling_us, backoff->max_us);
  backoff->n_failures++;
  return backoff->min_us / 2 + (int64_t) (g_rand_double (rng) * (double) ceiling_us);
}

void
dy_backoff_reset (DyBackoff *backoff)
{
  backoff->n_failures = 0;
}
