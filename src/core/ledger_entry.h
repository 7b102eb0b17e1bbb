#ifndef DY_CORE_LEDGER_ENTRY_H
#define DY_CORE_LEDGER_ENTRY_H

/**
 * NAME
 *   ledger_entry - the ledger entry of a client account, as stored on the platform
 *
 * DESCRIPTION
 *   A ledger entry accounts for the prepaid tokens of one client account. paid_tokens is the total
 *   ever paid. Each holder (one incarnation of a router) has a row with the total of tokens granted
 *   to it, less those it returned, and the tokens it has settled. The settled tokens are split into
 *   parts by origin router, the router that accepted the requests. closed_tokens is the sum of
 *   settled tokens of rows that were removed. All figures except a row's granted_tokens only
 *   increase.
 *
 *   A part is written by the holder of its row. Once that holder is certainly dead, the part is
 *   raised to what the origin router knows was charged, so that no settled tokens are lost.
 *
 *   The store may be restored from a copy that lacks the latest writes. The entry therefore states
 *   the era in which it was written, see store_version.h, and two ceilings on committed tokens, the
 *   sum of what is closed, withheld and granted. Only the first one may be committed up to. It is
 *   raised to what the second one was by a holder that saw that in the store longer ago than the
 *   oldest copy is old. So a copy states the most that can have been committed by the time of the
 *   restore. What exceeds the tokens committed in the copy is withheld: holders that live take
 *   their grants from it again, routers add what they know of dead holders, and the rest is freed
 *   when all routers have done so.
 *
 *   Invariant: closed_tokens + withheld_tokens + sum of granted_tokens <= paid_tokens, in each row
 *   0 <= settled_tokens <= granted_tokens. A holder spends only from its own row, so the tokens
 *   spent never exceed those paid, even when clocks differ or holders have stale views of each
 *   other.
 *
 * FORMAT
 *   JSON, all amounts in tokens, ids as hexadecimal strings:
 *   {"paid": tokens, "closed": tokens,
 *    "rows": [{"holder": "hex id", "name": router, "granted": tokens, "seq": number,
 *              "by": {"hex id of the origin router": settled tokens, ...}, "restored": bool}],
 *    "topups": ["operation id", ...],
 *    "era": number, "ceiling": tokens, "next_ceiling": tokens, "withheld": tokens, "lost": tokens}
 *   "restored" and the last line are left out where they are false or 0, as on a platform that does
 *   not state an era.
 *
 * ERRORS
 *   DY_PROTOCOL  the text is malformed or breaks the invariant
 */

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define DY_LEDGER_PREFIX "ledger/" /* prefix of the keys that entries are stored under */

/* Era of a store that was never restored. */
#define DY_LEDGER_FIRST_ERA 1

enum
{
  DY_HOLDER_NAME_SIZE = 64, /* bytes, with the terminating 0 */
};

typedef struct
{
  uint64_t holder_id;
  char holder_name[DY_HOLDER_NAME_SIZE]; /* name of the holder's VM */
  int64_t granted_tokens;
  int64_t settled_tokens; /* sum of the parts */
  uint64_t seq;           /* sequence number of the holder's last write, its operation id */
  /* The row is of a copy from which the store was restored, and its holder has not written since.
   */
  bool restored;
} DyLedgerRow;

typedef struct
{
  uint64_t holder_id;
  uint64_t origin_id; /* incarnation of the origin router */
  int64_t settled_tokens;
} DyLedgerPart;

typedef struct
{
  int64_t paid_tokens;
  int64_t closed_tokens;
  GArray *rows;                /* of DyLedgerRow */
  GArray *parts;               /* of DyLedgerPart, of all rows */
  GPtrArray *topups;           /* operation ids of the latest top-ups, newest last */
  uint64_t era;                /* of the store when the entry was written; 0: not known */
  int64_t ceiling_tokens;      /* most that may be committed */
  int64_t next_ceiling_tokens; /* to be the ceiling once it is old enough; 0: no ceilings */
  int64_t withheld_tokens;     /* may have been granted by writes that were lost */
  int64_t lost_tokens;         /* part of withheld_tokens that cannot be freed any more */
} DyLedgerEntry;

/* Returns the key of ACCOUNT's entry in ERA, to be freed with g_free(). Each era has a key of its
 * own, so that a write of a router that has not noticed a restore does not replace an entry that
 * was written since, although that may have got the revision that the router expects. An entry that
 * does not exist in an era is that of the era before. */
char *dy_ledger_entry_key (const char *account, uint64_t era);

void dy_ledger_entry_init (DyLedgerEntry *entry);
void dy_ledger_entry_finish (DyLedgerEntry *entry);
void dy_ledger_entry_copy (DyLedgerEntry *entry, const DyLedgerEntry *from);

/* Parses the N bytes of TEXT into an initialised ENTRY. Returns DY_OK or DY_PROTOCOL. */
int dy_ledger_entry_parse (DyLedgerEntry *entry, const char *text, size_t n);

/* Returns ENTRY as JSON text, to be freed with free(). */
char *dy_ledger_entry_format (const DyLedgerEntry *entry);

/* Returns the JSON text of a new entry with PAID_TOKENS and no rows, to be freed with free(). */
char *dy_ledger_entry_format_new (int64_t paid_tokens);

/* Returns whether ENTRY keeps the invariant. */
bool dy_ledger_entry_valid (const DyLedgerEntry *entry);

/* Returns the row of HOLDER_ID, or NULL. */
DyLedgerRow *dy_ledger_entry_row (const DyLedgerEntry *entry, uint64_t holder_id);

/* Appends an empty row. The result is valid until rows are added or removed. */
DyLedgerRow *
dy_ledger_entry_add_row (DyLedgerEntry *entry, uint64_t holder_id, const char *holder_name);

/* Returns the tokens settled from the row of HOLDER_ID for one origin router. */
int64_t dy_ledger_entry_part (const DyLedgerEntry *entry, uint64_t holder_id, uint64_t origin_id);

/* Raises that part to TOKENS, and the row's settled tokens by the difference. A lower figure or a
 * missing row changes nothing. */
void dy_ledger_entry_raise_part (DyLedgerEntry *entry,
                                 uint64_t holder_id,
                                 uint64_t origin_id,
                                 int64_t tokens);

/* Adds the settled tokens of the row of HOLDER_ID to closed_tokens and removes the row and its
 * parts. A restored row, of which more may have been settled than it shows, counts in full. */
void dy_ledger_entry_close_row (DyLedgerEntry *entry, uint64_t holder_id);

/* Raises paid_tokens to PAID_TOKENS, and the ceilings by as much; a lower figure changes nothing.
 */
void dy_ledger_entry_raise_paid (DyLedgerEntry *entry, int64_t paid_tokens);

/* Returns the tokens that are closed, withheld or granted. */
int64_t dy_ledger_entry_committed_tokens (const DyLedgerEntry *entry);

/* Raises the next ceiling so that it leaves room for PERCENT of what is not committed. Without
 * ceilings, both are set so. */
void dy_ledger_entry_raise_ceiling (DyLedgerEntry *entry, int64_t percent);

/* Adapts ENTRY, as read from the store in ERA: if it was written in an earlier era, withholds what
 * lost writes may have committed, sets the ceilings to PERCENT of the rest beyond that and marks
 * all rows as restored. Returns whether it was written in an earlier era. */
bool dy_ledger_entry_restore (DyLedgerEntry *entry, uint64_t era, int64_t percent);

/* Adds to ENTRY the grants and settled tokens that FROM, an entry of before the restore, has beyond
 * it, unless the holder of a row has written again since. They are taken from the withheld tokens.
 */
void dy_ledger_entry_merge (DyLedgerEntry *entry, const DyLedgerEntry *from);

/* Sets the grant of the row of HOLDER_ID, which may be missing, to GRANTED_TOKENS as its holder
 * knows it. The difference is taken from the withheld tokens or added to them. */
void dy_ledger_entry_reassert (DyLedgerEntry *entry,
                               uint64_t holder_id,
                               const char *holder_name,
                               int64_t granted_tokens);

/* Returns the paid tokens that are neither granted nor withheld. */
int64_t dy_ledger_entry_free_tokens (const DyLedgerEntry *entry);

/* Returns the tokens that are granted but not settled, over all rows. */
int64_t dy_ledger_entry_outstanding_tokens (const DyLedgerEntry *entry);

/* Returns the tokens settled over all rows, removed ones included. */
int64_t dy_ledger_entry_settled_tokens (const DyLedgerEntry *entry);

/* Adds TOKENS to paid_tokens unless OPERATION_ID is among the latest 64 top-ups. Returns whether
 * the entry changed. */
bool dy_ledger_entry_top_up (DyLedgerEntry *entry, const char *operation_id, int64_t tokens);

#endif
