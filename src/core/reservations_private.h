#ifndef DY_CORE_RESERVATIONS_PRIVATE_H
#define DY_CORE_RESERVATIONS_PRIVATE_H

/**
 * NAME
 *   reservations_private - what the files of the reservations module share
 *
 * DESCRIPTION
 *   reservations_home.c    as the home that holds budgets for others
 *   reservations_keys.c    what others know of an idempotency key
 *   reservations_entry.c   as the entry whose requests hold tickets
 *   reservations_recovery.c  what a gone holder had charged
 *   reservations.c         the public functions
 */

#include "core/reservations.h"

typedef enum
{
  TICKET_RESERVING,
  TICKET_REPLICATING, /* reserved here, another router does not know yet */
  TICKET_HELD,
  TICKET_SETTLING,       /* its request waits for the settlement */
  TICKET_UNACKNOWLEDGED, /* its request is over, the holder has not acknowledged yet */
} TicketState;

struct DyTicket
{
  DyRequestId id;
  char account[DY_NAME_SIZE];
  int64_t tokens;
  uint32_t rank;
  DyKeyHash key;
  uint64_t body_hash;
  bool idempotent;
  bool at_home;          /* this router is the account's home */
  int64_t credit_tokens; /* charged for its key by earlier requests */
  int64_t key_tokens;    /* charged for its key in all */
  int64_t backup_tokens; /* sum that another router must know before the request ends */
  TicketState state;
  int64_t used_tokens;
  DyRequestEnd end;
  uint32_t n_crashes;
  char home[DY_NAME_SIZE]; /* empty: a pool of this router */
  bool second;             /* the first home did not answer */
  bool awaits_home;        /* nobody is asked before this router knows whom it reaches */
  uint64_t home_id;
  DyUsage *usage; /* of a remote home */
  int64_t deadline_us;
  int64_t sent_us;
  int64_t handoff_us; /* when to ask another router */
  DyTicketDone done;
  void *ctx;
  DyTicket **moved; /* the owner's pointer, until the reservation is answered */
};

/* reservations.c */

/* The ledgers of the two pools. */
DyLedger *dy_reservations_own_ledger (DyReservations *res);

DyLedger *dy_reservations_home_ledger (DyReservations *res);

/* Returns a message of TYPE about HOLDER_ID, its other fields empty. */
DyMessage
dy_reservations_holder_message (DyMessageType type, uint64_t holder_id, const char *account);

/* Sends to all members, or only to those that ONLY_UNHEARD (may be NULL) has not heard. */
void dy_reservations_send_to_members (DyReservations *res,
                                      const DyMessage *message,
                                      const DyRecovery *only_unheard);

/* Returns whether this router is the home of ACCOUNT; for the own pool: nobody else can be. */
bool dy_reservations_is_wanted (void *ctx, const char *account);

void dy_reservations_on_refused (void *ctx, const DyLedgerRefusal *refusal);

/* reservations_entry.c */

/* Returns whether another router holds the tokens of TICKET. */
bool dy_reservations_is_remote (const DyTicket *ticket);

/* Forgets TICKET; what its holder knows of it stays. */
void dy_reservations_free_ticket (DyReservations *res, DyTicket *ticket);

/* Answers the owner of TICKET, which is invalid after an error. */
void dy_reservations_end_reserving (DyReservations *res, DyTicket *ticket, int error);

/* TICKET is reserved from a pool of this router, or ERROR tells why not. */
void dy_reservations_on_local_reserved (DyReservations *res, DyTicket *ticket, int error);

/* Returns the lowest number of a request that this router may still settle. */
uint64_t dy_reservations_oldest_open (const DyReservations *res);

/* Returns the ledger of this router that serves TICKET. */
DyLedger *dy_reservations_local_ledger (DyReservations *res, const DyTicket *ticket);

/* Reserves for TICKET from a pool of this router, unless ERROR says that it must not run. */
void dy_reservations_admit_local (DyReservations *res, DyTicket *ticket, int error);

/* Tells the holder of TICKET how its request ended, once more. */
void dy_reservations_send_settle (DyReservations *res, DyTicket *ticket);

/* Makes TICKET one that only repeats its settlement with END until the home acknowledges it. */
void dy_reservations_retry_settlement (DyReservations *res,
                                       DyTicket *ticket,
                                       int64_t used_tokens,
                                       DyRequestEnd end);

/* Asks somebody for the tokens of a new TICKET, at once or when this router knows the others. */
void dy_reservations_start_reserving (DyReservations *res, DyTicket *ticket);

/* Asks the account's home but SKIP (may be NULL); the own pool serves only a router that is alone.
 */
void dy_reservations_request_tokens (DyReservations *res, DyTicket *ticket, const char *skip);

/* Handlers of the messages to the entry of a request. */
void dy_reservations_on_reserved_message (DyReservations *res, const DyMessage *message);

void dy_reservations_on_settled_message (DyReservations *res, const DyMessage *message);

/* The holder is gone; its row will be raised to what this router knows. */
void dy_reservations_settle_without_holder (DyReservations *res, DyTicket *ticket);

/* Does what is due for TICKET at this time. */
void dy_reservations_check_ticket (DyReservations *res, DyTicket *ticket, const DyMessage *message);

/* Applies CHECK to all tickets, which it may free. */
void dy_reservations_each_ticket (DyReservations *res,
                                  void (*check) (DyReservations *res,
                                                 DyTicket *ticket,
                                                 const DyMessage *message),
                                  const DyMessage *message);

/* Handlers of notes between a home and the router that is to know its own charges. */
void
dy_reservations_on_replicate_message (DyReservations *res, uint64_t link, const DyMessage *message);

void dy_reservations_on_replicated_message (DyReservations *res, const DyMessage *message);

/* Another router asks this one to carry a settlement to its holder. */
void
dy_reservations_on_handoff_message (DyReservations *res, uint64_t link, const DyMessage *message);

void dy_reservations_on_handed_off_message (DyReservations *res, const DyMessage *message);

/* Settles TICKET, whose tokens this router holds. */
void dy_reservations_settle_local (DyReservations *res, DyTicket *ticket);

/* Reservations asked of a home that is out of reach are looked for elsewhere at once. */
void
dy_reservations_check_lost_home (DyReservations *res, DyTicket *ticket, const DyMessage *message);

/* A release that its home has not acknowledged charges nothing; the home may be gone for good. */
bool dy_reservations_has_open_ticket (const DyReservations *res);

/* reservations_home.c */

/* Registers a request; returns an error when it must not run. */
int dy_reservations_begin (DyReservations *res, const DyMessage *reserve);

void dy_reservations_record_crashes (DyReservations *res,
                                     uint64_t body_hash,
                                     uint32_t n_crashes,
                                     DyRequestEnd end);

/* Charges and ends a request; a repeat gets the first result. */
int dy_reservations_end_reservation (DyReservations *res,
                                     DyLedger *ledger,
                                     const char *account,
                                     const DyRequestId *id,
                                     int64_t used_tokens,
                                     DyRequestEnd end,
                                     int64_t *charged_tokens);

void dy_reservations_on_reserved (void *ctx, const DyRequestId *id, int error);

void dy_reservations_read_entry (void *ctx, const char *account);

void dy_reservations_write_entry (void *ctx,
                                  const char *account,
                                  uint64_t version,
                                  const DyLedgerEntry *entry);

void dy_reservations_recall_grants (void *ctx, const char *account, const DyLedgerEntry *entry);

/* Lets the request of another router run, or refuses it. */
void dy_reservations_admit_remote (DyReservations *res, const DyMessage *message, int error);

void
dy_reservations_on_reserve_message (DyReservations *res, uint64_t link, const DyMessage *message);

void
dy_reservations_on_settle_message (DyReservations *res, uint64_t link, const DyMessage *message);

/* reservations_keys.c */

bool dy_reservations_has_key (const DyKeyHash *key);

/* Returns whether others may know of the key what this router, as a new home, does not. */
bool dy_reservations_must_inquire (const DyReservations *res, const DyMessage *reserve);

/* Returns DY_KEY_UNCHECKED when this router must not take KEY without asking others, of whom it
 * reaches none. */
int dy_reservations_check_key_isolated (const DyReservations *res, const DyKeyHash *key);

/* Keeps in mind for others that KEY_TOKENS were charged for KEY in all; nothing without a key. */
void dy_reservations_record_charge (DyReservations *res,
                                    const DyKeyHash *key,
                                    uint64_t body_hash,
                                    bool idempotent,
                                    int64_t key_tokens);

/* Asks all members about the key of RESERVE; its request goes on, or is refused, when they have
 * answered. */
void dy_reservations_inquire (DyReservations *res, const DyMessage *reserve, uint64_t link);

void dy_reservations_check_inquiries (DyReservations *res);

void
dy_reservations_on_key_query_message (DyReservations *res, uint64_t link, const DyMessage *message);

void dy_reservations_on_key_state_message (DyReservations *res, const DyMessage *message);

/* reservations_recovery.c */

void dy_reservations_add_report (DyReservations *res, const DyMessage *message);

void dy_reservations_remove_usage (DyReservations *res, uint64_t holder_id, const char *account);

void dy_reservations_on_recovered (void *ctx, const char *account, uint64_t holder_id);

void dy_reservations_check_recoveries (DyReservations *res);

/* Tells the home of each account what gone holders had charged. */
void dy_reservations_report_dead_holders (DyReservations *res);

void dy_reservations_mark_holder_dead (DyReservations *res, uint64_t holder_id);

void
dy_reservations_on_query_message (DyReservations *res, uint64_t link, const DyMessage *message);

/* Releases what gone routers had reserved once nobody can still carry a settlement for them. */
void dy_reservations_end_dead_origins (DyReservations *res);

#endif
