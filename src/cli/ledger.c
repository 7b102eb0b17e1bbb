#include "cli/cli.h"
#include "core/ledger_entry.h"
#include "kernel/error.h"

#include <jansson.h>
#include <stdio.h>
#include <string.h>

enum
{
  MAX_ATTEMPTS = 20, /* of one read-modify-write of a ledger entry */
};

static int
read_entry (DyCli *cli, const char *key, DyLedgerEntry *entry, uint64_t *version)
{
  DyCliReply reply = dy_cli_get_object (cli, key);
  int error = reply.error;
  if (!error)
    error = dy_ledger_entry_parse (entry, reply.value, strlen (reply.value));
  *version = reply.version;
  dy_cli_reply_finish (&reply);
  return error;
}

/* Reads the ledger entry KEY into ENTRY, applies CHANGE to it and writes it. CHANGE returns false
 * if there is nothing to write. Returns DY_CONFLICT if another writer replaced the entry in
 * between; the change must then be tried again. */
static int
try_change (DyCli *cli,
            const char *key,
            bool (*change) (DyLedgerEntry *entry, const void *ctx),
            const void *ctx,
            DyLedgerEntry *entry)
{
  uint64_t version;
  int error = read_entry (cli, key, entry, &version);
  if (error || !change (entry, ctx))
    return error;
  char *text = dy_ledger_entry_format (entry);
  DyCliReply reply = dy_cli_put_object (cli, key, text, version);
  error = reply.error;
  dy_cli_reply_finish (&reply);
  free (text);
  return error;
}

typedef struct
{
  const char *operation_id;
  int64_t tokens;
} TopUp;

static bool
apply_top_up (DyLedgerEntry *entry, const void *ctx)
{
  const TopUp *top_up = ctx;
  return dy_ledger_entry_top_up (entry, top_up->operation_id, top_up->tokens);
}

static bool
close_holder_row (DyLedgerEntry *entry, const void *ctx)
{
  const uint64_t *holder_id = ctx;
  if (!dy_ledger_entry_row (entry, *holder_id))
    return false;
  dy_ledger_entry_close_row (entry, *holder_id);
  return true;
}

static bool
is_final (int error)
{
  return error == DY_OK || error == DY_NOT_FOUND || error == DY_PROTOCOL;
}

/* Retries the change, up to MAX_ATTEMPTS times, until it has taken effect or cannot succeed. As a
 * write whose reply was lost may have taken effect, CHANGE must be idempotent. */
static int
change_entry (DyCli *cli,
              const char *key,
              bool (*change) (DyLedgerEntry *entry, const void *ctx),
              const void *ctx,
              DyLedgerEntry *entry)
{
  int error = DY_CONFLICT;
  for (int i = 0; i < MAX_ATTEMPTS && !is_final (error); i++)
    error = try_change (cli, key, change, ctx, entry);
  return error;
}

int
dy_cli_topup (DyCli *cli)
{
  TopUp top_up;
  DyLedgerEntry entry;
  if (!g_ascii_string_to_signed (cli->args[1], 10, 1, INT64_C (1000000000000000), &top_up.tokens,
                                 NULL))
    return dy_cli_fail (DY_BAD_REQUEST, "TOKENS: '%s' is not an integer from 1 to 10^15",
                        cli->args[1]);
  char *operation_id = cli->operation_id ? g_strdup (cli->operation_id) : g_uuid_string_random ();
  char *key = g_strconcat (DY_LEDGER_PREFIX, cli->args[0], NULL);
  top_up.operation_id = operation_id;
  dy_ledger_entry_init (&entry);
  int error = change_entry (cli, key, apply_top_up, &top_up, &entry);
  if (error)
    dy_cli_fail (error, "%s: %s; retry with --operation %s so that it is counted only once", key,
                 dy_error_info (error)->text, operation_id);
  else
    printf ("%s paid %" G_GINT64_FORMAT " operation %s\n", cli->args[0], entry.paid_tokens,
            operation_id);
  dy_ledger_entry_finish (&entry);
  g_free (key);
  g_free (operation_id);
  return error;
}

int
dy_cli_release (DyCli *cli)
{
  uint64_t holder_id;
  DyLedgerEntry entry;
  if (!g_ascii_string_to_unsigned (cli->args[1], 16, 1, G_MAXUINT64, &holder_id, NULL))
    return dy_cli_fail (DY_BAD_REQUEST,
                        "HOLDER: '%s' is not a hexadecimal id, as `ledger` shows it", cli->args[1]);
  char *key = g_strconcat (DY_LEDGER_PREFIX, cli->args[0], NULL);
  dy_ledger_entry_init (&entry);
  int error = change_entry (cli, key, close_holder_row, &holder_id, &entry);
  if (error)
    dy_cli_fail (error, "%s: %s", key, dy_error_info (error)->text);
  else
    printf ("%s free %" G_GINT64_FORMAT "\n", cli->args[0], dy_ledger_entry_free_tokens (&entry));
  dy_ledger_entry_finish (&entry);
  g_free (key);
  return error;
}

static void
print_rows (const DyLedgerEntry *entry)
{
  for (guint i = 0; i < entry->rows->len; i++)
    {
      const DyLedgerRow *row = &g_array_index (entry->rows, DyLedgerRow, i);
      printf ("  holder %016" G_GINT64_MODIFIER "x on %s settled %" G_GINT64_FORMAT
              " unspent or reserved %" G_GINT64_FORMAT "\n",
              row->holder_id, row->holder_name, row->settled_tokens,
              row->granted_tokens - row->settled_tokens);
    }
}

static void
print_entry (const DyCli *cli, const char *account, const DyLedgerEntry *entry)
{
  int64_t settled = dy_ledger_entry_settled_tokens (entry);
  int64_t outstanding = dy_ledger_entry_outstanding_tokens (entry);
  int64_t free_tokens = dy_ledger_entry_free_tokens (entry);
  if (!cli->json)
    {
      printf ("%-24s paid %" G_GINT64_FORMAT " settled %" G_GINT64_FORMAT
              " granted %" G_GINT64_FORMAT " free %" G_GINT64_FORMAT " holders %u\n",
              account, entry->paid_tokens, settled, outstanding, free_tokens, entry->rows->len);
      print_rows (entry);
      return;
    }
  json_t *line = json_pack ("{s:s, s:I, s:I, s:I, s:I, s:i}", "account", account, "paid_tokens",
                            (json_int_t) entry->paid_tokens, "settled_tokens", (json_int_t) settled,
                            "granted_tokens", (json_int_t) outstanding, "free_tokens",
                            (json_int_t) free_tokens, "holders", (int) entry->rows->len);
  char *text = json_dumps (line, JSON_COMPACT);
  printf ("%s\n", text);
  free (text);
  json_decref (line);
}

int
dy_cli_ledger (DyCli *cli)
{
  const char *only = cli->n_args > 0 ? cli->args[0] : NULL;
  DyCliReply reply = dy_cli_list_objects (cli, DY_LEDGER_PREFIX);
  int error = reply.error;
  bool found = false;
  for (guint i = 0; !error && i < reply.objects->len; i++)
    {
      const DyObject *object = &g_array_index (reply.objects, DyObject, i);
      const char *account = object->key + strlen (DY_LEDGER_PREFIX);
      DyLedgerEntry entry;
      if (only && strcmp (only, account) != 0)
        continue;
      found = true;
      dy_ledger_entry_init (&entry);
      error = dy_ledger_entry_parse (&entry, object->value, object->n_value);
      if (error)
        dy_cli_fail (error, "%s: the ledger entry is invalid", object->key);
      else
        print_entry (cli, account, &entry);
      dy_ledger_entry_finish (&entry);
    }
  if (reply.error)
    dy_cli_fail (error, "platform: %s", dy_error_info (error)->text);
  else if (only && !found)
    error = dy_cli_fail (DY_NOT_FOUND, "%s: no such client account", only);
  dy_cli_reply_finish (&reply);
  return error;
}
