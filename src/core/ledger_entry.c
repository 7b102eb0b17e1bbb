#include "core/ledger_entry.h"

#include "kernel/error.h"

#include <jansson.h>
#include <string.h>

enum
{
  MAX_TOPUP_IDS = 64,      /* repeats of older top-ups are not recognised */
  ID_SIZE = 20,            /* bytes of a hexadecimal id, with the terminating 0 */
  SMALL_REST_PERCENT = 10, /* of what was paid; a smaller rest is not kept below the ceiling */
};

static DyLedgerPart *
find_part (const DyLedgerEntry *entry, uint64_t holder_id, uint64_t origin_id)
{
  for (guint i = 0; i < entry->parts->len; i++)
    {
      DyLedgerPart *part = &g_array_index (entry->parts, DyLedgerPart, i);
      if (part->holder_id == holder_id && part->origin_id == origin_id)
        return part;
    }
  return NULL;
}

static void
format_id (uint64_t id, char out[ID_SIZE])
{
  g_snprintf (out, ID_SIZE, "%016" G_GINT64_MODIFIER "x", id);
}

static int
parse_id (const char *text, uint64_t *id)
{
  guint64 value;
  if (!g_ascii_string_to_unsigned (text, 16, 1, G_MAXUINT64, &value, NULL))
    return DY_PROTOCOL;
  *id = value;
  return DY_OK;
}

static json_t *
parts_to_json (const DyLedgerEntry *entry, uint64_t holder_id)
{
  json_t *by = json_object ();
  for (guint i = 0; i < entry->parts->len; i++)
    {
      const DyLedgerPart *part = &g_array_index (entry->parts, DyLedgerPart, i);
      char id[ID_SIZE];
      if (part->holder_id != holder_id)
        continue;
      format_id (part->origin_id, id);
      json_object_set_new (by, id, json_integer (part->settled_tokens));
    }
  return by;
}

static json_t *
row_to_json (const DyLedgerEntry *entry, const DyLedgerRow *row)
{
  char holder[ID_SIZE];
  format_id (row->holder_id, holder);
  json_t *item = json_pack ("{s:s, s:s, s:I, s:I, s:o}", "holder", holder, "name", row->holder_name,
                            "granted", (json_int_t) row->granted_tokens, "seq",
                            (json_int_t) row->seq, "by", parts_to_json (entry, row->holder_id));
  if (row->restored)
    json_object_set_new (item, "restored", json_true ());
  return item;
}

static int
parse_parts (DyLedgerEntry *entry, uint64_t holder_id, json_t *by)
{
  const char *name;
  json_t *value;
  json_object_foreach (by, name, value)
  {
    uint64_t origin_id;
    if (parse_id (name, &origin_id) || !json_is_integer (value) || json_integer_value (value) < 0)
      return DY_PROTOCOL;
    dy_ledger_entry_raise_part (entry, holder_id, origin_id, json_integer_value (value));
  }
  return DY_OK;
}

static int
parse_row (DyLedgerEntry *entry, json_t *item)
{
  const char *holder;
  const char *name;
  json_int_t granted;
  json_int_t seq;
  json_t *by;
  uint64_t id;
  if (json_unpack (item, "{s:s, s:s, s:I, s:I, s:o}", "holder", &holder, "name", &name, "granted",
                   &granted, "seq", &seq, "by", &by))
    return DY_PROTOCOL;
  if (parse_id (holder, &id) || dy_ledger_entry_row (entry, id)
      || strlen (name) >= DY_HOLDER_NAME_SIZE)
    return DY_PROTOCOL;
  DyLedgerRow *row = dy_ledger_entry_add_row (entry, id, name);
  row->granted_tokens = granted;
  row->seq = (uint64_t) seq;
  int error = parse_parts (entry, id, by);
  /* Not before: parts of restored rows are adapted when they are raised. */
  row->restored = json_is_true (json_object_get (item, "restored"));
  return error;
}

/* Reads the member NAME of ROOT, 0 if it is missing, into TOKENS. */
static bool
parse_optional (const json_t *root, const char *name, int64_t *tokens)
{
  const json_t *value = json_object_get (root, name);
  *tokens = json_integer_value (value);
  return !value || (json_is_integer (value) && *tokens >= 0);
}

static bool
parse_restore_fields (DyLedgerEntry *entry, const json_t *root)
{
  int64_t era;
  bool valid = parse_optional (root, "era", &era)
               && parse_optional (root, "ceiling", &entry->ceiling_tokens)
               && parse_optional (root, "next_ceiling", &entry->next_ceiling_tokens)
               && parse_optional (root, "withheld", &entry->withheld_tokens)
               && parse_optional (root, "lost", &entry->lost_tokens);
  entry->era = (uint64_t) era;
  return valid;
}

static void
add_optional (json_t *root, const char *name, int64_t value)
{
  if (value)
    json_object_set_new (root, name, json_integer (value));
}

static int
parse_fields (DyLedgerEntry *entry, json_t *root)
{
  json_int_t paid;
  json_int_t closed;
  json_t *rows;
  json_t *topups;
  json_t *item;
  size_t i;
  if (json_unpack (root, "{s:I, s:I, s:o, s:o}", "paid", &paid, "closed", &closed, "rows", &rows,
                   "topups", &topups))
    return DY_PROTOCOL;
  entry->paid_tokens = paid;
  entry->closed_tokens = closed;
  json_array_foreach (rows, i, item)
  {
    if (parse_row (entry, item))
      return DY_PROTOCOL;
  }
  json_array_foreach (topups, i, item)
  {
    if (!json_is_string (item))
      return DY_PROTOCOL;
    g_ptr_array_add (entry->topups, g_strdup (json_string_value (item)));
  }
  bool valid = parse_restore_fields (entry, root) && dy_ledger_entry_valid (entry);
  return valid ? DY_OK : DY_PROTOCOL;
}

char *
dy_ledger_entry_key (const char *account, uint64_t era)
{
  if (era <= DY_LEDGER_FIRST_ERA)
    return g_strconcat (DY_LEDGER_PREFIX, account, NULL);
  return g_strdup_printf ("%.*s%" G_GUINT64_FORMAT "/%s", (int) strlen (DY_LEDGER_PREFIX) - 1,
                          DY_LEDGER_PREFIX, era, account);
}

void
dy_ledger_entry_init (DyLedgerEntry *entry)
{
  memset (entry, 0, sizeof *entry);
  entry->rows = g_array_new (FALSE, TRUE, sizeof (DyLedgerRow));
  entry->parts = g_array_new (FALSE, TRUE, sizeof (DyLedgerPart));
  entry->topups = g_ptr_array_new_with_free_func (g_free);
}

void
dy_ledger_entry_finish (DyLedgerEntry *entry)
{
  g_array_unref (entry->rows);
  g_array_unref (entry->parts);
  g_ptr_array_unref (entry->topups);
  memset (entry, 0, sizeof *entry);
}

void
dy_ledger_entry_copy (DyLedgerEntry *entry, const DyLedgerEntry *from)
{
  entry->paid_tokens = from->paid_tokens;
  entry->closed_tokens = from->closed_tokens;
  entry->era = from->era;
  entry->ceiling_tokens = from->ceiling_tokens;
  entry->next_ceiling_tokens = from->next_ceiling_tokens;
  entry->withheld_tokens = from->withheld_tokens;
  entry->lost_tokens = from->lost_tokens;
  g_array_set_size (entry->rows, 0);
  g_array_append_vals (entry->rows, from->rows->data, from->rows->len);
  g_array_set_size (entry->parts, 0);
  g_array_append_vals (entry->parts, from->parts->data, from->parts->len);
  g_ptr_array_set_size (entry->topups, 0);
  for (guint i = 0; i < from->topups->len; i++)
    g_ptr_array_add (entry->topups, g_strdup (g_ptr_array_index (from->topups, i)));
}

int
dy_ledger_entry_parse (DyLedgerEntry *entry, const char *text, size_t n)
{
  json_t *root = json_loadb (text, n, JSON_REJECT_DUPLICATES, NULL);
  if (!root)
    return DY_PROTOCOL;
  g_array_set_size (entry->rows, 0);
  g_array_set_size (entry->parts, 0);
  g_ptr_array_set_size (entry->topups, 0);
  int error = parse_fields (entry, root);
  json_decref (root);
  return error;
}

char *
dy_ledger_entry_format (const DyLedgerEntry *entry)
{
  json_t *rows = json_array ();
  json_t *topups = json_array ();
  for (guint i = 0; i < entry->rows->len; i++)
    json_array_append_new (rows, row_to_json (entry, &g_array_index (entry->rows, DyLedgerRow, i)));
  for (guint i = 0; i < entry->topups->len; i++)
    json_array_append_new (topups, json_string (g_ptr_array_index (entry->topups, i)));
  json_t *root
      = json_pack ("{s:I, s:I, s:o, s:o}", "paid", (json_int_t) entry->paid_tokens, "closed",
                   (json_int_t) entry->closed_tokens, "rows", rows, "topups", topups);
  add_optional (root, "era", (int64_t) entry->era);
  add_optional (root, "ceiling", entry->ceiling_tokens);
  add_optional (root, "next_ceiling", entry->next_ceiling_tokens);
  add_optional (root, "withheld", entry->withheld_tokens);
  add_optional (root, "lost", entry->lost_tokens);
  char *text = json_dumps (root, JSON_COMPACT);
  json_decref (root);
  return text;
}

char *
dy_ledger_entry_format_new (int64_t paid_tokens)
{
  DyLedgerEntry entry;
  dy_ledger_entry_init (&entry);
  entry.paid_tokens = paid_tokens;
  char *text = dy_ledger_entry_format (&entry);
  dy_ledger_entry_finish (&entry);
  return text;
}

bool
dy_ledger_entry_valid (const DyLedgerEntry *entry)
{
  if (entry->paid_tokens < 0 || entry->closed_tokens < 0 || entry->withheld_tokens < 0)
    return false;
  int64_t remaining = entry->paid_tokens - entry->closed_tokens - entry->withheld_tokens;
  for (guint i = 0; i < entry->rows->len; i++)
    {
      const DyLedgerRow *row = &g_array_index (entry->rows, DyLedgerRow, i);
      if (row->settled_tokens < 0 || row->settled_tokens > row->granted_tokens)
        return false;
      remaining -= row->granted_tokens;
      if (remaining < 0)
        return false;
    }
  return remaining >= 0;
}

DyLedgerRow *
dy_ledger_entry_row (const DyLedgerEntry *entry, uint64_t holder_id)
{
  for (guint i = 0; i < entry->rows->len; i++)
    {
      DyLedgerRow *row = &g_array_index (entry->rows, DyLedgerRow, i);
      if (row->holder_id == holder_id)
        return row;
    }
  return NULL;
}

DyLedgerRow *
dy_ledger_entry_add_row (DyLedgerEntry *entry, uint64_t holder_id, const char *holder_name)
{
  DyLedgerRow row = { .holder_id = holder_id };
  g_strlcpy (row.holder_name, holder_name, sizeof row.holder_name);
  g_array_append_val (entry->rows, row);
  return &g_array_index (entry->rows, DyLedgerRow, entry->rows->len - 1);
}

int64_t
dy_ledger_entry_part (const DyLedgerEntry *entry, uint64_t holder_id, uint64_t origin_id)
{
  const DyLedgerPart *part = find_part (entry, holder_id, origin_id);
  return part ? part->settled_tokens : 0;
}

/* Raises the grant of ROW from the withheld tokens to cover INCREASE more settled tokens. Returns
 * what it covers then. */
static int64_t
cover_increase (DyLedgerEntry *entry, DyLedgerRow *row, int64_t increase)
{
  int64_t excess = row->settled_tokens + increase - row->granted_tokens;
  int64_t taken = CLAMP (excess, 0, entry->withheld_tokens);
  row->granted_tokens += taken;
  entry->withheld_tokens -= taken;
  entry->lost_tokens = MIN (entry->lost_tokens, entry->withheld_tokens);
  return MIN (increase, row->granted_tokens - row->settled_tokens);
}

void
dy_ledger_entry_raise_part (DyLedgerEntry *entry,
                            uint64_t holder_id,
                            uint64_t origin_id,
                            int64_t tokens)
{
  DyLedgerRow *row = dy_ledger_entry_row (entry, holder_id);
  DyLedgerPart *part = find_part (entry, holder_id, origin_id);
  int64_t known = part ? part->settled_tokens : 0;
  int64_t increase = tokens - known;
  if (row && (row->restored || entry->withheld_tokens > 0))
    increase = cover_increase (entry, row, increase);
  if (!row || increase <= 0)
    return;
  row->settled_tokens += increase;
  if (part)
    {
      part->settled_tokens += increase;
      return;
    }
  DyLedgerPart added
      = { .holder_id = holder_id, .origin_id = origin_id, .settled_tokens = increase };
  g_array_append_val (entry->parts, added);
}

void
dy_ledger_entry_close_row (DyLedgerEntry *entry, uint64_t holder_id)
{
  const DyLedgerRow *row = dy_ledger_entry_row (entry, holder_id);
  if (!row)
    return;
  entry->closed_tokens += row->restored ? row->granted_tokens : row->settled_tokens;
  g_array_remove_index (entry->rows, (guint) (row - (DyLedgerRow *) (void *) entry->rows->data));
  for (guint i = entry->parts->len; i > 0; i--)
    if (g_array_index (entry->parts, DyLedgerPart, i - 1).holder_id == holder_id)
      g_array_remove_index (entry->parts, i - 1);
}

int64_t
dy_ledger_entry_committed_tokens (const DyLedgerEntry *entry)
{
  int64_t sum = entry->closed_tokens + entry->withheld_tokens;
  for (guint i = 0; i < entry->rows->len; i++)
    sum += g_array_index (entry->rows, DyLedgerRow, i).granted_tokens;
  return sum;
}

int64_t
dy_ledger_entry_free_tokens (const DyLedgerEntry *entry)
{
  return entry->paid_tokens - dy_ledger_entry_committed_tokens (entry);
}

void
dy_ledger_entry_raise_paid (DyLedgerEntry *entry, int64_t paid_tokens)
{
  int64_t increase = paid_tokens - entry->paid_tokens;
  if (increase <= 0)
    return;
  entry->paid_tokens += increase;
  if (entry->next_ceiling_tokens == 0)
    return;
  entry->ceiling_tokens += increase;
  entry->next_ceiling_tokens += increase;
}

/* Returns the ceiling that leaves room for PERCENT of what is paid beyond TOKENS. */
static int64_t
ceiling_above (const DyLedgerEntry *entry, int64_t tokens, int64_t percent)
{
  int64_t ceiling = tokens + MAX (entry->paid_tokens - tokens, 0) * percent / 100;
  bool near = entry->paid_tokens - ceiling < entry->paid_tokens * SMALL_REST_PERCENT / 100;
  return near ? entry->paid_tokens : ceiling;
}

void
dy_ledger_entry_raise_ceiling (DyLedgerEntry *entry, int64_t percent)
{
  int64_t next = ceiling_above (entry, dy_ledger_entry_committed_tokens (entry), percent);
  if (entry->next_ceiling_tokens == 0)
    entry->ceiling_tokens = next;
  entry->next_ceiling_tokens = MAX (entry->next_ceiling_tokens, next);
}

/* Returns the most that may have been committed when the store was restored N times since ENTRY was
 * written. With more than one restore, the copies may be of different times, between which the
 * ceiling was raised once, and each restore but the last one allowed for one more. */
static int64_t
most_committed (const DyLedgerEntry *entry, uint64_t n, int64_t percent)
{
  int64_t ceiling = entry->next_ceiling_tokens;
  for (uint64_t i = 0; n > 1 && i < n && ceiling < entry->paid_tokens; i++)
    ceiling = ceiling_above (entry, ceiling, percent);
  return MIN (ceiling, entry->paid_tokens);
}

bool
dy_ledger_entry_restore (DyLedgerEntry *entry, uint64_t era, int64_t percent)
{
  bool restored = entry->era != 0 && entry->era < era;
  uint64_t n_restores = era - entry->era;
  entry->era = era;
  if (!restored)
    return false;
  int64_t most = most_committed (entry, n_restores, percent);
  entry->lost_tokens = entry->withheld_tokens;
  entry->withheld_tokens += MAX (most - dy_ledger_entry_committed_tokens (entry), 0);
  entry->next_ceiling_tokens = ceiling_above (entry, most, percent);
  entry->ceiling_tokens = entry->next_ceiling_tokens;
  for (guint i = 0; i < entry->rows->len; i++)
    g_array_index (entry->rows, DyLedgerRow, i).restored = true;
  return true;
}

static void
take_withheld (DyLedgerEntry *entry, int64_t tokens)
{
  entry->withheld_tokens = MAX (entry->withheld_tokens - tokens, 0);
  entry->lost_tokens = MIN (entry->lost_tokens, entry->withheld_tokens);
}

/* Raises the row of ENTRY to ROW, unless its holder has written it since the restore. */
static void
merge_row (DyLedgerEntry *entry, const DyLedgerEntry *from, const DyLedgerRow *row)
{
  DyLedgerRow *own = dy_ledger_entry_row (entry, row->holder_id);
  if (!own)
    own = dy_ledger_entry_add_row (entry, row->holder_id, row->holder_name);
  else if (!own->restored)
    return;
  int64_t increase = MAX (row->granted_tokens - own->granted_tokens, 0);
  take_withheld (entry, increase);
  own->granted_tokens += increase;
  own->restored = true;
  for (guint i = 0; i < from->parts->len; i++)
    {
      const DyLedgerPart *part = &g_array_index (from->parts, DyLedgerPart, i);
      if (part->holder_id == row->holder_id)
        dy_ledger_entry_raise_part (entry, part->holder_id, part->origin_id, part->settled_tokens);
    }
}

void
dy_ledger_entry_merge (DyLedgerEntry *entry, const DyLedgerEntry *from)
{
  int64_t closed = from->closed_tokens - entry->closed_tokens;
  for (guint i = 0; i < from->rows->len; i++)
    merge_row (entry, from, &g_array_index (from->rows, DyLedgerRow, i));
  /* A restored row that FROM lacks was closed before the restore and still counts. */
  for (guint i = 0; i < entry->rows->len; i++)
    {
      const DyLedgerRow *row = &g_array_index (entry->rows, DyLedgerRow, i);
      if (row->restored && !dy_ledger_entry_row (from, row->holder_id))
        closed -= row->granted_tokens;
    }
  if (closed <= 0)
    return;
  take_withheld (entry, closed);
  entry->closed_tokens += closed;
}

void
dy_ledger_entry_reassert (DyLedgerEntry *entry,
                          uint64_t holder_id,
                          const char *holder_name,
                          int64_t granted_tokens)
{
  DyLedgerRow *row = dy_ledger_entry_row (entry, holder_id);
  if (!row)
    row = dy_ledger_entry_add_row (entry, holder_id, holder_name);
  take_withheld (entry, granted_tokens - row->granted_tokens);
  row->granted_tokens = granted_tokens;
  row->restored = false;
}

int64_t
dy_ledger_entry_outstanding_tokens (const DyLedgerEntry *entry)
{
  int64_t sum = 0;
  for (guint i = 0; i < entry->rows->len; i++)
    {
      const DyLedgerRow *row = &g_array_index (entry->rows, DyLedgerRow, i);
      sum += row->granted_tokens - row->settled_tokens;
    }
  return sum;
}

int64_t
dy_ledger_entry_settled_tokens (const DyLedgerEntry *entry)
{
  int64_t sum = entry->closed_tokens;
  for (guint i = 0; i < entry->rows->len; i++)
    sum += g_array_index (entry->rows, DyLedgerRow, i).settled_tokens;
  return sum;
}

bool
dy_ledger_entry_top_up (DyLedgerEntry *entry, const char *operation_id, int64_t tokens)
{
  for (guint i = 0; i < entry->topups->len; i++)
    if (strcmp (g_ptr_array_index (entry->topups, i), operation_id) == 0)
      return false;
  if (entry->topups->len == MAX_TOPUP_IDS)
    g_ptr_array_remove_index (entry->topups, 0);
  g_ptr_array_add (entry->topups, g_strdup (operation_id));
  entry->paid_tokens += tokens;
  return true;
}
