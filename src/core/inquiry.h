#ifndef DY_CORE_INQUIRY_H
#define DY_CORE_INQUIRY_H

/**
 * NAME
 *   inquiry - replies of all members to a query about an idempotency key
 *
 * DESCRIPTION
 *   A router that recently became the home of an account has no record of the keys that the former
 *   home kept, but the origins of their requests have. So it asks all members before it runs a
 *   request with a key that it has no record of. An inquiry ends when all connected members have
 *   replied, or at its deadline. It is stored under the id of the request. Times are microseconds.
 */

#include "core/members.h"
#include "core/message.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  DyMessage reserve;        /* the RESERVE message that waits for the end of the inquiry */
  uint64_t link;            /* connection on which it came; 0: a request of this router */
  GHashTable *responders;   /* incarnations of the members that replied */
  uint32_t n_recent_deaths; /* largest number of recently dead routers that a member reports */
  bool running;             /* a member reports that a request with this key is running */
  int64_t deadline_us;
} DyInquiry;

typedef struct
{
  GHashTable *table; /* request id to DyInquiry */
} DyInquiries;

void dy_inquiries_init (DyInquiries *inquiries);
void dy_inquiries_finish (DyInquiries *inquiries);

/* Adds the inquiry for the message RESERVE, which came on the connection LINK (0: this router). */
DyInquiry *dy_inquiries_add (DyInquiries *inquiries,
                             const DyMessage *reserve,
                             uint64_t link,
                             int64_t deadline_us);

/* Returns the inquiry for the request ID, or NULL. */
DyInquiry *dy_inquiries_find (const DyInquiries *inquiries, const DyRequestId *id);
void dy_inquiries_remove (DyInquiries *inquiries, const DyRequestId *id);

/* Returns whether the current incarnation of MEMBER has replied. */
bool dy_inquiry_has_reply (const DyInquiry *inquiry, const DyMember *member);

/* Returns whether all connected MEMBERS have replied or the deadline has passed. */
bool dy_inquiry_is_over (const DyInquiry *inquiry, const DyMembers *members, int64_t now_us);

#endif
