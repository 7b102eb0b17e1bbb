#include "core/transit.h"

#include <stdbool.h>

enum
{
  MAX_SENDERS = 4096, /* beyond, all are forgotten */
  /* Short enough that clocks whose rates differ by 500 in a million drift by 60 ms at most. */
  PERIOD_US = 60 * 1000 * 1000,
};

typedef struct
{
  int64_t behind_us; /* least by which the other clock is behind, by the exchanges of this period */
  int64_t previous_us; /* the same of the period before */
  int64_t end_us;      /* of this period */
} Sender;

void
dy_transit_init (DyTransit *transit)
{
  transit->senders = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
}

void
dy_transit_finish (DyTransit *transit)
{
  g_hash_table_unref (transit->senders);
}

void
dy_transit_record_exchange (DyTransit *transit,
                            uint64_t sender_id,
                            int64_t asked_us,
                            int64_t clock_us)
{
  Sender *sender = g_hash_table_lookup (transit->senders, &sender_id);
  int64_t behind_us = asked_us - clock_us;
  if (!sender)
    {
      if (g_hash_table_size (transit->senders) >= MAX_SENDERS)
        g_hash_table_remove_all (transit->senders);
      sender = g_new0 (Sender, 1);
      sender->end_us = INT64_MIN / 2;
      g_hash_table_insert (transit->senders, g_memdup2 (&sender_id, sizeof sender_id), sender);
    }
  if (asked_us >= sender->end_us)
    {
      bool follows = asked_us < sender->end_us + PERIOD_US;
      sender->previous_us = follows ? sender->behind_us : behind_us;
      sender->behind_us = behind_us;
      sender->end_us = asked_us + PERIOD_US;
    }
  sender->behind_us = MAX (sender->behind_us, behind_us);
}

int64_t
dy_transit_delay_us (const DyTransit *transit,
                     uint64_t sender_id,
                     int64_t sent_us,
                     int64_t received_us)
{
  const Sender *sender = g_hash_table_lookup (transit->senders, &sender_id);
  if (!sender || received_us >= sender->end_us + PERIOD_US)
    return DY_TRANSIT_UNKNOWN;
  int64_t behind_us = received_us < sender->end_us ? MAX (sender->behind_us, sender->previous_us)
                                                   : sender->behind_us;
  return MAX (received_us - sent_us - behind_us, 0);
}
