#ifndef DY_CORE_RESERVATIONS_PRIVATE_H
#define DY_CORE_RESERVATIONS_PRIVATE_H

/**
 * NAME
 *   reservations_private - declarations shared by the files of the reservations module
 *
 * DESCRIPTION
 *   reservations.c           the public functions
 *   reservations_entry.c     the origin's side: tickets of this router's requests, handoff and
 *                            replication of their settlements
 *   reservations_home.c      the holder's side: reservations and settlements of any router
 *   reservations_keys.c      asks other routers about idempotency keys
 *   reservations_recovery.c  recovers what dead holders had charged; ends the reservations of dead
 *                            origins
 */

#include "core/reservations.h"

typedef enum
{
  TICKET_RESERVING,
  TICKET_REPLICATING,    /* reserved at this router, not yet replicated to a backup router */
  TICKET_HELD,           /* reserved; the request may run */
  TICKET_SETTLING,       /* its request waits for the settlement */
  TICKET_UNACKNOWLEDGED, /* its request has ended, the holder has not yet acknowledged the
                            settlement */
} TicketState;

struct DyTicket
{
  DyRequestId id;
  char account[DY_NAME_SIZE];
  int64_t tokens; /* reserved, or to be reserved */
  uint32_t rank;  /* 0 is the most urgent */
  DyKeyHash key;  /* all zero: none */
  uint64_t body_hash;
  bool idempotent;
  bool at_home;          /* reserved from this router's home pool */
  int64_t credit_tokens; /* charged for its key by earlier requests */
  int64_t key_tokens;    /* charged for its key in all, this request included */
  int64_t backup_tokens; /* sum of own charges that a backup router must have acknowledged */
  TicketState state;
  int64_t used_tokens;
  DyRequestEnd end;
  uint32_t n_crashes;
  char home[DY_NAME_SIZE]; /* the holder; empty: a pool of this router */
  bool failed_over;        /* the first home was unavailable or unreachable */
  bool awaits_home;        /* waits until a starting router knows the account's home */
  uint64_t home_id;        /* incarnation of the holder */
  DyUsage *usage;          /* of the holder; NULL: a pool of this router */
  int64_t deadline_us;     /* of the reservation, then of the settlement */
  int64_t sent_us;         /* last time that the settlement or the replicated sum was sent */
  int64_t handoff_us;      /* time of the next attempt to hand the settlement off */
  DyTicketDone done;
  void *ctx;
  DyTicket **owner_ticket; /* the owner's pointer to this ticket, NULL once it is reserved */
};

/* reservations.c */

/* Return the ledgers of the two pools. */
DyLedger *dy_reservations_own_ledger (DyReservations *res);

DyLedger *dy_reservations_home_ledger (DyReservations *res);

/* Returns a message of TYPE about the row of HOLDER_ID for ACCOUNT; its other fields are 0. */
DyMessage
dy_reservations_holder_message (DyMessageType type, uint64_t holder_id, const char *account);

/* Sends MESSAGE to all members, or only to those that have not yet reported to RECOVERY (may be
 * NULL). */
void dy_reservations_send_to_members (DyReservations *res,
                                      const DyMessage *message,
                                      const DyRecovery *recovery);

/* The ledgers' serves_account() callback. Returns whether this router is the home of ACCOUNT; for
 * the own pool, whether no other router can be the home. */
bool dy_reservations_serves_account (void *ctx, const char *account);

/* The ledgers' refused() callback. */
void dy_reservations_on_refused (void *ctx, const DyLedgerRefusal *refusal);

/* reservations_entry.c */

/* Returns whether the holder of TICKET's tokens is another router. */
bool dy_reservations_is_remote (const DyTicket *ticket);

/* Frees TICKET without a message to its holder. */
void dy_reservations_free_ticket (DyReservations *res, DyTicket *ticket);

/* Reports the end of the reservation to the owner of TICKET, which is invalid after an error. */
void dy_reservations_end_reserving (DyReservations *res, DyTicket *ticket, int error);

/* Continues TICKET after a pool of this router reserved its tokens, or refused them with ERROR. */
void dy_reservations_on_local_reserved (DyReservations *res, DyTicket *ticket, int error);

/* Returns the lowest number of a request that this router may still settle. */
uint64_t dy_reservations_oldest_open (const DyReservations *res);

/* Returns the ledger of the pool from which TICKET is reserved at this router. */
DyLedger *dy_reservations_local_ledger (DyReservations *res, const DyTicket *ticket);

/* Reserves for TICKET from a pool of this router, or refuses it with ERROR unless that is DY_OK. */
void dy_reservations_admit_local (DyReservations *res, DyTicket *ticket, int error);

/* Sends the settlement of TICKET to its holder, for the first time or again. */
void dy_reservations_send_settle (DyReservations *res, DyTicket *ticket);

/* Ends the request of TICKET, which only repeats its settlement from now on, until the holder
 * acknowledges it. */
void dy_reservations_retry_settlement (DyReservations *res,
                                       DyTicket *ticket,
                                       int64_t used_tokens,
                                       DyRequestEnd end);

/* Asks for the tokens of a new TICKET; a starting router first waits until it knows the account's
 * home. */
void dy_reservations_start_reserving (DyReservations *res, DyTicket *ticket);

/* Asks the account's home for the tokens of TICKET, not counting the router SKIP (may be NULL). The
 * own pool serves only a router that reaches no other one. */
void dy_reservations_request_tokens (DyReservations *res, DyTicket *ticket, const char *skip);

/* Handlers of the holder's replies to the origin of a request. */
void dy_reservations_on_reserved_message (DyReservations *res, const DyMessage *message);

void dy_reservations_on_settled_message (DyReservations *res, const DyMessage *message);

/* Settles TICKET, whose holder is dead: this router's report will bring the holder's row to the
 * settled sum. */
void dy_reservations_settle_without_holder (DyReservations *res, DyTicket *ticket);

/* Does what is due for TICKET: sends its messages again, hands its settlement off, or expires it.
 * MESSAGE is not used. */
void dy_reservations_check_ticket (DyReservations *res, DyTicket *ticket, const DyMessage *message);

/* Calls CHECK for all tickets; it may free any of them. */
void dy_reservations_each_ticket (DyReservations *res,
                                  void (*check) (DyReservations *res,
                                                 DyTicket *ticket,
                                                 const DyMessage *message),
                                  const DyMessage *message);

/* Handlers of the replication of a home's own charges: at the backup router, and of its
 * acknowledgement at the home. */
void
dy_reservations_on_replicate_message (DyReservations *res, uint64_t link, const DyMessage *message);

void dy_reservations_on_replicated_message (DyReservations *res, const DyMessage *message);

/* Handlers of a settlement that its origin hands off: at the handoff router, which repeats it to
 * the holder, and of the acknowledgement at the origin. */
void
dy_reservations_on_handoff_message (DyReservations *res, uint64_t link, const DyMessage *message);

void dy_reservations_on_handed_off_message (DyReservations *res, const DyMessage *message);

/* Settles TICKET, which was reserved from a pool of this router. */
void dy_reservations_settle_local (DyReservations *res, DyTicket *ticket);

/* Fails TICKET over to another home at once if it waits for a reservation at a home that is
 * unreachable or restarted. MESSAGE is not used. */
void
dy_reservations_check_lost_home (DyReservations *res, DyTicket *ticket, const DyMessage *message);

/* Returns whether a shutdown must wait for a ticket. An unacknowledged release charges nothing, so
 * it does not count: its home may never come back. */
bool dy_reservations_has_open_ticket (const DyReservations *res);

/* reservations_home.c */

/* Records the request of the message RESERVE in the register. Returns an error when it must not
 * run. */
int dy_reservations_begin (DyReservations *res, const DyMessage *reserve);

/* Records that N_CRASHES endpoints failed while they ran the body, or that it got a complete
 * answer. */
void dy_reservations_record_crashes (DyReservations *res,
                                     uint64_t body_hash,
                                     uint32_t n_crashes,
                                     DyRequestEnd end);

/* Charges and ends a reservation of LEDGER. Stores in CHARGED_TOKENS what was charged, without what
 * earlier requests were charged for the same key. A repeat gets the first result. */
int dy_reservations_end_reservation (DyReservations *res,
                                     DyLedger *ledger,
                                     const char *account,
                                     const DyRequestId *id,
                                     int64_t used_tokens,
                                     DyRequestEnd end,
                                     int64_t *charged_tokens);

/* Callbacks of both ledgers; CTX is their DyHolder. */
void dy_reservations_on_reserved (void *ctx, const DyRequestId *id, int error);

void dy_reservations_read_entry (void *ctx, const char *account);

void dy_reservations_write_entry (void *ctx,
                                  const char *account,
                                  uint64_t version,
                                  const DyLedgerEntry *entry);

void dy_reservations_recall_grants (void *ctx, const char *account, const DyLedgerEntry *entry);

/* Reserves for another router's RESERVE message, or refuses it with ERROR unless that is DY_OK. */
void dy_reservations_admit_remote (DyReservations *res, const DyMessage *message, int error);

/* Handlers of the messages from an origin to the holder. */
void
dy_reservations_on_reserve_message (DyReservations *res, uint64_t link, const DyMessage *message);

void
dy_reservations_on_settle_message (DyReservations *res, uint64_t link, const DyMessage *message);

/* reservations_keys.c */

bool dy_reservations_has_key (const DyKeyHash *key);

/* Returns whether other routers may have charged the key of RESERVE, or run its request, and this
 * router, as a recent home, has no record of the key. */
bool dy_reservations_must_inquire (const DyReservations *res, const DyMessage *reserve);

/* Returns DY_KEY_UNCHECKED when KEY must be checked with the other members, of whom this router
 * reaches none; DY_OK without a key or without other members. */
int dy_reservations_check_key_isolated (const DyReservations *res, const DyKeyHash *key);

/* Records for other routers' inquiries that KEY_TOKENS were charged for KEY in all. Does nothing
 * without a key. */
void dy_reservations_record_charge (DyReservations *res,
                                    const DyKeyHash *key,
                                    uint64_t body_hash,
                                    bool idempotent,
                                    int64_t key_tokens);

/* Asks all members about the key of RESERVE, which came on the connection LINK (0: a request of
 * this router). The request goes on, or is refused, when they have replied or the inquiry times
 * out. */
void dy_reservations_inquire (DyReservations *res, const DyMessage *reserve, uint64_t link);

/* Ends the inquiries that are complete or have timed out. */
void dy_reservations_check_inquiries (DyReservations *res);

/* Handlers of the KEY_QUERY message of an inquiry, and of its replies. */
void
dy_reservations_on_key_query_message (DyReservations *res, uint64_t link, const DyMessage *message);

void dy_reservations_on_key_state_message (DyReservations *res, const DyMessage *message);

/* reservations_recovery.c */

/* Adds a member's REPORT about a dead holder to its recovery, which starts with the first one. */
void dy_reservations_add_report (DyReservations *res, const DyMessage *message);

/* Removes the usage of a dead holder whose row was recovered, unless a request is open there. */
void dy_reservations_remove_usage (DyReservations *res, uint64_t holder_id, const char *account);

/* The ledgers' recovered() callback. */
void dy_reservations_on_recovered (void *ctx, const char *account, uint64_t holder_id);

/* Asks for missing reports; writes what a dead holder had charged once all members reported. */
void dy_reservations_check_recoveries (DyReservations *res);

/* Reports to the home of each account what dead holders had charged for this router's requests. */
void dy_reservations_report_dead_holders (DyReservations *res);

void dy_reservations_mark_holder_dead (DyReservations *res, uint64_t holder_id);

/* Replies to a QUERY with a report, once this router has no request open at the dead holder. */
void
dy_reservations_on_query_message (DyReservations *res, uint64_t link, const DyMessage *message);

/* Ends the reservations of dead origins once all settlements that they handed off must have been
 * delivered. */
void dy_reservations_end_dead_origins (DyReservations *res);

#endif
