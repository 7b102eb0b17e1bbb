#ifndef DY_CORE_INQUIRY_H
#define DY_CORE_INQUIRY_H

/**
 * NAME
 *   inquiry - asks all members about an idempotency key before a new home lets its request run
 *
 * DESCRIPTION
 *   A router that became home of an account lately does not know the keys that the former home
 *   kept. The routers that accepted their requests do. An inquiry ends when all members have
 *   answered or its time is over.
 */

#include "core/members.h"
#include "core/message.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  DyMessage reserve;   /* that waits for the end */
  uint64_t link;       /* connection of its asker; 0: this router */
  GHashTable *heard;   /* incarnations that answered */
  uint32_t n_departed; /* routers that left lately, as the member knows who knows of most */
  bool running;        /* a member says that the request runs */
  int64_t deadline_us;
} DyInquiry;

typedef struct
{
  GHashTable *table; /* request id to DyInquiry */
} DyInquiries;

void dy_inquiries_init (DyInquiries *inquiries);
void dy_inquiries_finish (DyInquiries *inquiries);

/* Starts the inquiry for RESERVE, which came on LINK. */
DyInquiry *dy_inquiries_add (DyInquiries *inquiries,
                             const DyMessage *reserve,
                             uint64_t link,
                             int64_t deadline_us);
DyInquiry *dy_inquiries_find (const DyInquiries *inquiries, const DyRequestId *id);
void dy_inquiries_remove (DyInquiries *inquiries, const DyRequestId *id);

/* Returns whether MEMBER, as it runs now, has answered. */
bool dy_inquiry_has_reply (const DyInquiry *inquiry, const DyMember *member);

/* Returns whether all connected MEMBERS have answered or the time is over. */
bool dy_inquiry_is_over (const DyInquiry *inquiry, const DyMembers *members, int64_t now_us);

#endif
