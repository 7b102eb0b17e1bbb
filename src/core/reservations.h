#ifndef DY_CORE_RESERVATIONS_H
#define DY_CORE_RESERVATIONS_H

/**
 * NAME
 *   reservations - who reserves for a request, and how its settlement becomes certain
 *
 * DESCRIPTION
 *   A reservation is asked of the account's home, so two routers know of each: the one that
 * accepted the request and the one that holds its tokens. When both are the same, it tells another
 * router what it charged. Only when no other router can be reached, it draws on a grant of its own.
 * A settlement is repeated until the holder acknowledges it; if that takes too long, another router
 * is asked to carry the settlement, too, and once it does the request ends well, since its tokens
 * are reserved. So every whole answer is known to two routers. What a gone router had reserved is
 * kept until all members can be reached and had time to deliver what they carry for it. When a
 * holder is gone, what it had charged is recovered from the routers that asked it (see recovery.h).
 *
 *   The code does no I/O and reads no clock: messages, results and times come in, actions go out
 *   through callbacks.
 *
 * ERRORS
 *   of a reservation: those of dy_ledger_reserve() and dy_register_begin(), DY_DRAINING,
 *   DY_QUARANTINED
 *   of a settlement: DY_NOT_SETTLED, when the holder released the reservation or no other router
 * can be reached in time
 */

#include "core/inquiry.h"
#include "core/ledger.h"
#include "core/members.h"
#include "core/message.h"
#include "core/quarantine.h"
#include "core/recovery.h"
#include "core/register.h"
#include "core/usage.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct DyTicket DyTicket;

/* CHARGED_TOKENS is that of a settlement. */
typedef void (*DyTicketDone) (void *ctx, int error, int64_t charged_tokens);

/* Each router holds two rows in a ledger entry, of two ids. */
typedef enum
{
  DY_POOL_HOME, /* of accounts whose home this router is */
  DY_POOL_OWN,  /* for own requests, when no other router can be reached */
  DY_N_POOLS,
} DyPool;

typedef struct
{
  void (*read) (void *ctx, DyPool pool, const char *account);
  void (*write) (
      void *ctx, DyPool pool, const char *account, uint64_t version, const DyLedgerEntry *entry);
  /* Returns DY_OK, or DY_UNAVAILABLE when there is no connection to NAME. */
  int (*send) (void *ctx, const char *name, const DyMessage *message);
  /* Answers on the connection LINK, which may be gone. */
  void (*reply) (void *ctx, uint64_t link, const DyMessage *message);
  /* Tells of a reservation that POOL refused. NULL: not needed. */
  void (*refused) (void *ctx, DyPool pool, const DyLedgerRefusal *refusal);
} DyReservationsActions;

typedef struct
{
  uint64_t self_id; /* incarnation; its lowest bit is 0 */
  const char *self_name;
  int64_t reserve_wait_us;
  int64_t handoff_wait_us;   /* for the holder, before another router is asked */
  int64_t settle_wait_us;    /* in all */
  int64_t recovery_delay_us; /* above the lag of the VM list */
  /* Answers go out before they are settled, so what a lost router had reserved counts as spent, a
   * home tells another router what its own requests reserve before they run, and settlements are
   * never given up. */
  bool answers_before_settlement;
  DyLedgerPolicy ledger;
} DyReservationsPolicy;

typedef struct DyReservations DyReservations;

/* A router incarnation that is certainly gone, and when that was heard. */
typedef struct
{
  uint64_t id;
  int64_t departed_us;
} DyDeparture;

/* A ledger and the context of its callbacks. */
typedef struct
{
  DyReservations *res;
  DyPool pool;
  DyLedger ledger;
} DyHolder;

struct DyReservations
{
  DyReservationsPolicy policy;
  const DyMembers *members;
  const DyReservationsActions *actions;
  void *ctx;
  DyHolder holders[DY_N_POOLS];
  DyRegister reg;  /* as home */
  DyRegister sent; /* as entry, and what other homes told of their own requests */
  DyInquiries inquiries;
  int64_t members_changed_us; /* when homes may have moved last */
  int64_t joined_us;          /* when the first other router was reached */
  DyQuarantine quarantine;
  DyUsages usages;
  DyRecoveries recoveries;
  uint64_t last_number;
  GHashTable *tickets;     /* request id to ticket */
  GHashTable *requesters;  /* request id to the connection that waits for a reservation */
  int64_t now_us;          /* time of the latest event */
  int64_t reported_us;     /* when gone holders were last reported */
  uint64_t oldest_open;    /* lowest number of a request that may still be settled */
  GArray *departures;      /* of DyDeparture, the latest ones */
  GQueue departed;         /* gone routers whose reservations are still kept */
  int64_t disconnected_us; /* when a member was last out of reach */
  GHashTable *gone;        /* router incarnations that are gone to the names of their VMs */
};

typedef struct
{
  const char *account;
  int64_t tokens;
  uint32_t rank; /* of urgency, 0 the most */
  DyKeyHash key; /* all zero: none */
  uint64_t body_hash;
  bool idempotent;
} DyReservationSpec;

void dy_reservations_init (DyReservations *res,
                           const DyReservationsPolicy *policy,
                           const DyMembers *members,
                           uint32_t seed,
                           const DyReservationsActions *actions,
                           void *ctx);
void dy_reservations_finish (DyReservations *res);

/* Returns the id of TICKET. */
DyRequestId dy_ticket_id (const DyTicket *ticket);

/* Returns the name of the router that is asked for TICKET's tokens; empty: this one. */
const char *dy_ticket_home (const DyTicket *ticket);

/* Asks for a reservation. Stores the ticket in TICKET, then answers through DONE, maybe before
 * returning. TICKET must stay valid until then: the ticket may change while another holder is
 * asked. After an error the ticket is invalid. */
void dy_reservations_reserve (DyReservations *res,
                              const DyReservationSpec *spec,
                              DyTicketDone done,
                              void *ctx,
                              DyTicket **ticket,
                              int64_t now_us);

/* Spends USED_TOKENS of the reservation and ends it; the ticket is invalid when DONE is called,
 * maybe before this returns. */
void dy_reservations_settle (DyReservations *res,
                             DyTicket *ticket,
                             int64_t used_tokens,
                             DyRequestEnd outcome,
                             DyTicketDone done,
                             void *ctx,
                             int64_t now_us);

/* Gives the reservation back without a charge, whether it is answered or not; no callback follows.
 * END is DY_END_NOT_RUN or DY_END_UNKNOWN; N_CRASHES endpoints failed under the request. */
void dy_reservations_release (
    DyReservations *res, DyTicket *ticket, DyRequestEnd end, uint32_t n_crashes, int64_t now_us);

void dy_reservations_on_message (DyReservations *res,
                                 uint64_t link,
                                 const DyMessage *message,
                                 int64_t now_us);

/* The platform is REACHED again, or lost. */
void dy_reservations_on_platform (DyReservations *res, bool reached, int64_t now_us);

/* Results of the platform calls of POOL, see dy_ledger_on_read() and dy_ledger_on_write(). */
void dy_reservations_on_read (DyReservations *res,
                              DyPool pool,
                              const char *account,
                              int error,
                              uint64_t version,
                              const DyLedgerEntry *entry,
                              int64_t now_us);
void dy_reservations_on_write (DyReservations *res,
                               DyPool pool,
                               const char *account,
                               int error,
                               uint64_t version,
                               int64_t now_us);

/* The router incarnation ID was heard from. */
void dy_reservations_on_router_alive (DyReservations *res, uint64_t id);

/* The connection to the router NAME came up, or was lost. */
void dy_reservations_on_up (DyReservations *res, const char *name, int64_t now_us);
void dy_reservations_on_down (DyReservations *res, const char *name, int64_t now_us);

/* The router incarnation ID of the VM called NAME is certainly gone. */
void
dy_reservations_on_router_dead (DyReservations *res, const char *name, uint64_t id, int64_t now_us);

void dy_reservations_tick (DyReservations *res, int64_t now_us);
void dy_reservations_drain (DyReservations *res, int64_t now_us);
bool dy_reservations_busy (const DyReservations *res);

#endif
