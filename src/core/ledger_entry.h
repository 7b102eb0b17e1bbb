#ifndef DY_CORE_LEDGER_ENTRY_H
#define DY_CORE_LEDGER_ENTRY_H

/**
 * NAME
 *   ledger_entry - a client account's ledger entry as the platform keeps it
 *
 * DESCRIPTION
 *   paid_tokens is all that was paid. Each holder (one incarnation of a router) has a row with the
 *   tokens ever granted to it and the tokens it has settled, in parts by the router that asked for
 *   them; closed_tokens sums the settled tokens of holders whose rows are gone. All figures but a
 *   row's granted_tokens only rise.
 *
 *   A part is written by its row's holder. Once that holder is certainly gone, the asking router
 *   raises its own part to what it knows was charged, so that nothing settled is lost.
 *
 *   Invariant: closed_tokens + sum of granted_tokens <= paid_tokens, and in each row
 *   0 <= settled_tokens <= granted_tokens. A holder spends only from its own row, so spend can
 *   never exceed what was paid, whatever the holders believe about time or about each other.
 *
 * FORMAT
 *   {"paid": tokens, "closed": tokens,
 *    "rows": [{"holder": "hex id", "name": router, "granted": tokens, "seq": number,
 *              "by": {"hex id": settled tokens, ...}}],
 *    "topups": ["operation id", ...]}
 */

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define DY_LEDGER_PREFIX "ledger/" /* of the entries' keys */

enum
{
  DY_HOLDER_NAME_SIZE = 64,
};

typedef struct
{
  uint64_t holder_id;
  char holder_name[DY_HOLDER_NAME_SIZE];
  int64_t granted_tokens;
  int64_t settled_tokens; /* sum of the parts */
  uint64_t seq;           /* number of the holder's last write, its operation id */
} DyLedgerRow;

typedef struct
{
  uint64_t holder_id;
  uint64_t origin_id; /* incarnation of the router that asked */
  int64_t settled_tokens;
} DyLedgerPart;

typedef struct
{
  int64_t paid_tokens;
  int64_t closed_tokens;
  GArray *rows;      /* of DyLedgerRow */
  GArray *parts;     /* of DyLedgerPart, of all rows */
  GPtrArray *topups; /* operation ids of the latest top-ups, newest last */
} DyLedgerEntry;

void dy_ledger_entry_init (DyLedgerEntry *entry);
void dy_ledger_entry_finish (DyLedgerEntry *entry);
void dy_ledger_entry_copy (DyLedgerEntry *entry, const DyLedgerEntry *from);

/* Parses TEXT into an initialised ENTRY. Returns DY_OK, or DY_PROTOCOL when the text is malformed
 * or breaks the invariant. */
int dy_ledger_entry_parse (DyLedgerEntry *entry, const char *text, size_t n);

/* Returns ENTRY as a new JSON text, to be freed with free(). */
char *dy_ledger_entry_format (const DyLedgerEntry *entry);

/* Returns the text of a new entry of PAID_TOKENS, to be freed with free(). */
char *dy_ledger_entry_format_new (int64_t paid_tokens);

bool dy_ledger_entry_valid (const DyLedgerEntry *entry);

/* Returns the row of HOLDER_ID, or NULL. */
DyLedgerRow *dy_ledger_entry_row (const DyLedgerEntry *entry, uint64_t holder_id);
DyLedgerRow *
dy_ledger_entry_add_row (DyLedgerEntry *entry, uint64_t holder_id, const char *holder_name);

/* Returns the tokens settled from the row of HOLDER_ID for the router ENTRY_ID. */
int64_t dy_ledger_entry_part (const DyLedgerEntry *entry, uint64_t holder_id, uint64_t origin_id);

/* Raises that figure to TOKENS, and the row's sum with it; a lower one changes nothing. */
void dy_ledger_entry_raise_part (DyLedgerEntry *entry,
                                 uint64_t holder_id,
                                 uint64_t origin_id,
                                 int64_t tokens);

/* Folds the settled tokens of the row of HOLDER_ID into closed_tokens and removes the row. */
void dy_ledger_entry_close_row (DyLedgerEntry *entry, uint64_t holder_id);

/* Returns the tokens that no holder was granted. */
int64_t dy_ledger_entry_free_tokens (const DyLedgerEntry *entry);

/* Returns the tokens granted and not settled. */
int64_t dy_ledger_entry_outstanding_tokens (const DyLedgerEntry *entry);

/* Returns all settled tokens. */
int64_t dy_ledger_entry_settled_tokens (const DyLedgerEntry *entry);

/* Adds TOKENS to paid_tokens once for each OPERATION_ID; repeats change nothing. Returns whether
 * the entry changed. */
bool dy_ledger_entry_top_up (DyLedgerEntry *entry, const char *operation_id, int64_t tokens);

#endif
