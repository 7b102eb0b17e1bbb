#include "core/patience.h"

#include <glib.h>

enum
{
  MAX_STEPS = 3,  /* the longest limit, in usual ones */
  QUICK_PART = 2, /* answers within this part of the usual limit show that it suffices */
};

void
dy_patience_init (DyPatience *patience, int64_t usual_us)
{
  patience->usual_us = usual_us;
  patience->limit_us = usual_us;
}

void
dy_patience_record_timeout (DyPatience *patience, int64_t waited_us, bool is_late)
{
  if (!is_late)
    patience->limit_us = patience->usual_us;
  /* Of several calls that were sent with the same limit, only one raises it. */
  else if (waited_us >= patience->limit_us)
    patience->limit_us
        = MIN (patience->limit_us + patience->usual_us, patience->usual_us * MAX_STEPS);
}

void
dy_patience_record_answer (DyPatience *patience, int64_t took_us)
{
  if (took_us <= patience->usual_us / QUICK_PART)
    patience->limit_us = patience->usual_us;
}
