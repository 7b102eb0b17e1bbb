#ifndef DY_CORE_RESERVATIONS_H
#define DY_CORE_RESERVATIONS_H

/**
 * NAME
 *   reservations - reserves prepaid tokens for requests and settles what they used
 *
 * DESCRIPTION
 *   A request's tokens are reserved at the home router of its account. So two routers have a record
 *   of each reservation: the origin router, which accepted the request, and the holder, which holds
 *   the tokens. When the origin is the home itself, it replicates the sum of its own charges to a
 *   backup router. Only a router that reaches no other one reserves from a grant of its own.
 *
 *   The origin repeats a settlement until the holder acknowledges it. If that takes longer than
 *   handoff_wait_us, it also hands the settlement off to another router. Once that router has
 *   accepted it, the request ends successfully, since its tokens are still reserved. So two
 *   routers have a record of every complete answer.
 *
 *   The reservations of a dead origin are kept until all members have been connected long enough
 *   to deliver the settlements that were handed off to them. What a dead holder had charged is
 *   recovered from the routers that reserved there (see recovery.h). A router incarnation is dead
 *   when its VM is no longer listed or runs another incarnation.
 *
 *   The code does no I/O and reads no clock: messages, results and times come in, actions go out
 *   through callbacks.
 *
 * UNITS
 *   Tokens and microseconds.
 *
 * ERRORS
 *   of a reservation: those of dy_ledger_reserve() and dy_register_begin(), DY_DRAINING,
 *   DY_QUARANTINED, DY_KEY_UNCHECKED
 *   of a settlement: DY_NOT_SETTLED, when the holder had released the reservation or no other
 *   router could be reached in time
 */

#include "core/inquiry.h"
#include "core/latest_entries.h"
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

/* A request's reservation, until its settlement is acknowledged. */
typedef struct DyTicket DyTicket;

/* Reports the end of a reservation or a settlement. CHARGED_TOKENS is 0 for a reservation. */
typedef void (*DyTicketDone) (void *ctx, int error, int64_t charged_tokens);

/* Each router may have two rows in a ledger entry, one for each pool and with an id of its own:
 * self_id + pool. */
typedef enum
{
  DY_POOL_HOME, /* for all requests of the accounts whose home this router is */
  DY_POOL_OWN,  /* for this router's own requests while it reaches no other router */
  DY_N_POOLS,
} DyPool;

typedef struct
{
  /* Start a call to the platform. Its result is passed to dy_reservations_on_read() or
   * dy_reservations_on_write(). VERSION is the one that the write must find. */
  void (*read) (void *ctx, DyPool pool, const char *account);
  void (*write) (
      void *ctx, DyPool pool, const char *account, uint64_t version, const DyLedgerEntry *entry);
  /* Sends MESSAGE to the router NAME. Returns DY_OK, or DY_UNAVAILABLE without a connection. */
  int (*send) (void *ctx, const char *name, const DyMessage *message);
  /* Replies on the connection LINK, which may be closed by now. */
  void (*reply) (void *ctx, uint64_t link, const DyMessage *message);
  /* Reports a reservation that POOL refused. NULL: not needed. */
  void (*refused) (void *ctx, DyPool pool, const DyLedgerRefusal *refusal);
  /* Reports that the row of a dead holder is raised to what was reported, and closed if CLOSE;
   * DEATH is whether this router saw another one die. NULL: not needed. */
  void (*recovering) (void *ctx, const DyRecovery *recovery, bool close, bool death);
} DyReservationsActions;

typedef struct
{
  uint64_t self_id;          /* this router's incarnation; the lowest bit is 0 */
  const char *self_name;     /* of this router's VM */
  int64_t reserve_wait_us;   /* longest wait for a reservation */
  int64_t handoff_wait_us;   /* wait for the holder's acknowledgement before the handoff */
  int64_t settle_wait_us;    /* longest wait for a settlement, handoff included */
  int64_t recovery_delay_us; /* from the first report on a dead holder to the write of its row; must
                                exceed the lag of the VM list */
  /* The caller gets its complete answer before the settlement. Therefore the reservations of a
   * dead origin are charged in full, a home replicates the reservations of its own requests before
   * they run, and a settlement that no router acknowledges in time is repeated instead of failed.
   */
  bool answers_before_settlement;
  DyLedgerPolicy ledger;
} DyReservationsPolicy;

typedef struct DyReservations DyReservations;

/* The death of a router incarnation, and when this router detected it. */
typedef struct
{
  uint64_t id;
  int64_t detected_us;
} DyRouterDeath;

/* The ledger of a pool, and the context of its callbacks. */
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
  DyRegister reg;        /* keys of the requests that reserve here */
  DyRegister origin_reg; /* keys of this router's own requests, and of charges that other routers
                            handed off or replicated here */
  DyInquiries inquiries;
  int64_t members_changed_us; /* last change after which an account may have another home */
  int64_t joined_us;          /* first connection to another router; INT64_MAX: none yet */
  DyQuarantine quarantine;
  DyUsages usages;
  DyRecoveries recoveries;
  uint64_t last_number;   /* of this router's latest request */
  bool has_reserved;      /* something may have been reserved at this router */
  GHashTable *tickets;    /* request id to DyTicket */
  GHashTable *requesters; /* request id to the connection that waits for a reservation */
  int64_t now_us;         /* time of the latest event */
  int64_t reported_us;    /* last time that dead holders were reported */
  uint64_t oldest_open;   /* lowest number of an own request that may still be settled */
  GArray *recent_deaths;  /* of DyRouterDeath, at least those of the last ten minutes */
  GQueue dead_origins; /* of DyRouterDeath, dead origins whose reservations have not been ended */
  int64_t disconnected_us; /* last time that a member was not connected */
  GHashTable *dead_names;  /* dead router incarnations to the names of their VMs */
  DyLatestEntries latest;
  GHashTable *connected_ids; /* router name to its incarnation when it was last connected */
  GHashTable *lost_ids;      /* set of the router incarnations that this one lost touch with */
  int64_t parted_us;         /* see dy_reservations_parted_us() */
};

typedef struct
{
  const char *account;
  int64_t tokens; /* the most that the request may use */
  uint32_t rank;  /* 0 is the most urgent */
  DyKeyHash key;  /* hash of the idempotency key; all zero: none */
  uint64_t body_hash;
  bool idempotent; /* the request may run again when its outcome is not known */
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

/* Returns the name of the router that is asked for TICKET's tokens; empty: this router. */
const char *dy_ticket_home (const DyTicket *ticket);

/* Asks for a reservation. Stores the ticket in TICKET, then calls DONE, maybe before returning.
 * TICKET must stay valid until then: it gets a new ticket when the reservation fails over to
 * another holder. After an error the ticket is invalid. */
void dy_reservations_reserve (DyReservations *res,
                              const DyReservationSpec *spec,
                              DyTicketDone done,
                              void *ctx,
                              DyTicket **ticket,
                              int64_t now_us);

/* Charges USED_TOKENS, at most what was reserved, and ends the reservation; END says how the
 * request ended. The ticket is invalid when DONE is called, maybe before this returns. */
void dy_reservations_settle (DyReservations *res,
                             DyTicket *ticket,
                             int64_t used_tokens,
                             DyRequestEnd end,
                             DyTicketDone done,
                             void *ctx,
                             int64_t now_us);

/* Releases the reservation without a charge, also while it is still waited for; no callback
 * follows. END is DY_END_NOT_RUN or DY_END_UNKNOWN; N_CRASHES endpoints failed while they ran the
 * request. */
void dy_reservations_release (
    DyReservations *res, DyTicket *ticket, DyRequestEnd end, uint32_t n_crashes, int64_t now_us);

/* Handles MESSAGE, which came on the connection LINK. */
void dy_reservations_on_message (DyReservations *res,
                                 uint64_t link,
                                 const DyMessage *message,
                                 int64_t now_us);

/* Reports that the platform became reachable, or with REACHED false, unreachable. */
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

/* Takes ENTRY of ACCOUNT, which the store has acknowledged to this or another router as VERSION. To
 * be called before this router or others spend what it grants. */
void dy_reservations_take_entry (DyReservations *res,
                                 const char *account,
                                 uint64_t version,
                                 const DyLedgerEntry *entry);

/* Reports the era of the store, see dy_ledger_set_era(). */
void dy_reservations_set_era (DyReservations *res, uint64_t era, int64_t now_us);

/* Returns whether grants are still to be written to the restored store. */
bool dy_reservations_is_reasserting (const DyReservations *res);

/* Returns the time at which this router last met an incarnation of another router again that it had
 * lost touch with, INT64_MIN: never. What that one did meanwhile is not known here. */
int64_t dy_reservations_parted_us (const DyReservations *res);

/* Frees what the ledger entries withhold, see dy_ledger_release_withheld(). */
void dy_reservations_release_withheld (DyReservations *res, uint64_t era, int64_t now_us);

/* Records that the router incarnation ID was alive beside this one. */
void dy_reservations_on_router_alive (DyReservations *res, uint64_t id, int64_t now_us);

/* Report that the connection to the router NAME was made, or lost. */
void dy_reservations_on_up (DyReservations *res, const char *name, int64_t now_us);
void dy_reservations_on_down (DyReservations *res, const char *name, int64_t now_us);

/* Reports that the router incarnation ID of the VM called NAME is dead. */
void
dy_reservations_on_router_dead (DyReservations *res, const char *name, uint64_t id, int64_t now_us);

/* Sends unacknowledged messages again and does everything else that is due. To be called
 * regularly. */
void dy_reservations_tick (DyReservations *res, int64_t now_us);

/* Returns all grants as soon as they are no longer reserved. */
void dy_reservations_drain (DyReservations *res, int64_t now_us);

/* Returns whether a shutdown would lose settlements or, while draining, grants. */
bool dy_reservations_busy (const DyReservations *res);

#endif
