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
  int64_t least_us;    /* difference of the clocks at the fastest message of this period */
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

static Sender *
find_sender (DyTransit *transit, uint64_t id, int64_t difference_us, int64_t now_us)
{
  Sender *sender = g_hash_table_lookup (transit->senders, &id);
  if (sender && now_us < sender->end_us)
    return sender;
  if (!sender)
    {
      if (g_hash_table_size (transit->senders) >= MAX_SENDERS)
        g_hash_table_remove_all (transit->senders);
      sender = g_new0 (Sender, 1);
      g_hash_table_insert (transit->senders, g_memdup2 (&id, sizeof id), sender);
    }
  bool follows = sender->end_us != 0 && now_us < sender->end_us + PERIOD_US;
  sender->previous_us = follows ? sender->least_us : difference_us;
  sender->least_us = difference_us;
  sender->end_us = now_us + PERIOD_US;
  return sender;
}

int64_t
dy_transit_delay_us (DyTransit *transit, uint64_t sender_id, int64_t sent_us, int64_t received_us)
{
  int64_t difference_us = received_us - sent_us;
  Sender *sender = find_sender (transit, sender_id, difference_us, received_us);
  sender->least_us = MIN (sender->least_us, difference_us);
  return difference_us - MIN (sender->least_us, sender->previous_us);
}
