#include "services/shared_entries.h"

#include "core/entry_changes.h"
#include "core/store_version.h"
#include "kernel/error.h"

#include <jansson.h>
#include <string.h>

#define ENTRY_PREFIX "entries/"
#define CHANGES_PREFIX "entry-changes/"
#define VERSIONS_KEY "entry-versions"
#define WANTED_KEY "entry-wanted"
#define ID_FORMAT "%" G_GINT64_MODIFIER "x"

enum
{
  ASK_INTERVAL_US = 1000 * 1000,
};

/* An entry that is asked for: that of ACCOUNT in the era of VERSION. */
typedef struct
{
  char account[DY_NAME_SIZE];
  uint64_t version;
  uint64_t link; /* to the router that last named the version */
  int64_t asked_us;
} Wanted;

static guint
hash_wanted (gconstpointer key)
{
  const Wanted *wanted = key;
  return g_str_hash (wanted->account) ^ (guint) dy_store_version_era (wanted->version);
}

static gboolean
equal_wanted (gconstpointer a, gconstpointer b)
{
  const Wanted *x = a;
  const Wanted *y = b;
  return dy_store_version_era (x->version) == dy_store_version_era (y->version)
         && strcmp (x->account, y->account) == 0;
}

void
dy_shared_entries_init (DySharedEntries *shared,
                        DyKernel *kernel,
                        DyPeers *peers,
                        DyReservations *reservations)
{
  shared->kernel = kernel;
  shared->peers = peers;
  shared->reservations = reservations;
  shared->wanted = g_hash_table_new_full (hash_wanted, equal_wanted, g_free, NULL);
}

void
dy_shared_entries_finish (DySharedEntries *shared)
{
  g_hash_table_unref (shared->wanted);
}

static int64_t
now_us (const DySharedEntries *shared)
{
  return dy_kernel_now_us (shared->kernel);
}

/* Sends the object PREFIX/ACCOUNT on the connection LINK, or to the keepers of the account if it is
 * 0. */
static void
send_json (
    DySharedEntries *shared, uint64_t link, const char *prefix, const char *account, json_t *root)
{
  const char *keepers[DY_ENTRY_KEEPERS];
  char *text = json_dumps (root, JSON_COMPACT);
  char *key = g_strconcat (prefix, account, NULL);
  uint32_t n = link ? 0
                    : dy_members_first (&shared->peers->members, account, now_us (shared), keepers,
                                        DY_ENTRY_KEEPERS);
  if (link)
    dy_peers_reply_object (shared->peers, link, key, text);
  for (uint32_t i = 0; i < n; i++)
    dy_peers_send_object (shared->peers, keepers[i], key, text);
  g_free (key);
  free (text);
  json_decref (root);
}

/* Returns whether this router is a keeper of ACCOUNT. */
static bool
keeps (const DySharedEntries *shared, const char *account)
{
  return dy_members_rank (&shared->peers->members, account, now_us (shared)) < DY_ENTRY_KEEPERS;
}

static json_t *
entry_to_json (const DyLedgerEntry *entry)
{
  char *text = dy_ledger_entry_format (entry);
  json_t *root = json_loads (text, 0, NULL);
  free (text);
  return root;
}

static bool
entry_from_json (const json_t *root, DyLedgerEntry *entry)
{
  char *text = json_dumps (root, JSON_COMPACT);
  bool ok = text && dy_ledger_entry_parse (entry, text, strlen (text)) == DY_OK;
  free (text);
  return ok;
}

static void
send_entry (DySharedEntries *shared,
            uint64_t link,
            const char *account,
            uint64_t version,
            const DyLedgerEntry *entry)
{
  json_t *root
      = json_pack ("{s:I, s:o}", "version", (json_int_t) version, "entry", entry_to_json (entry));
  send_json (shared, link, ENTRY_PREFIX, account, root);
}

static void
send_changes (DySharedEntries *shared,
              const char *account,
              uint64_t version,
              const DyLedgerEntry *entry,
              uint64_t base_version,
              const DyLedgerEntry *base)
{
  DyEntryChanges changes;
  json_t *removed = json_array ();
  dy_entry_changes_init (&changes);
  dy_entry_changes_compute (&changes, base, entry);
  for (guint i = 0; i < changes.removed->len; i++)
    {
      char *id = g_strdup_printf (ID_FORMAT, g_array_index (changes.removed, uint64_t, i));
      json_array_append_new (removed, json_string (id));
      g_free (id);
    }
  json_t *root = json_pack ("{s:I, s:I, s:o, s:o}", "version", (json_int_t) version, "base",
                            (json_int_t) base_version, "entry", entry_to_json (&changes.entry),
                            "removed", removed);
  send_json (shared, 0, CHANGES_PREFIX, account, root);
  dy_entry_changes_finish (&changes);
}

void
dy_shared_entries_share (DySharedEntries *shared,
                         const char *account,
                         uint64_t version,
                         const DyLedgerEntry *entry)
{
  uint64_t base_version;
  const DyLedgerEntry *base = dy_latest_entries_find (
      &shared->reservations->latest, account, dy_store_version_era (version), &base_version);
  if (base && base_version < version)
    send_changes (shared, account, version, entry, base_version, base);
  else
    send_entry (shared, 0, account, version, entry);
  dy_reservations_take_entry (shared->reservations, account, version, entry);
}

static void
take_entry (DySharedEntries *shared,
            const char *account,
            uint64_t version,
            const DyLedgerEntry *entry)
{
  Wanted key = { .version = version };
  g_strlcpy (key.account, account, sizeof key.account);
  const Wanted *wanted = g_hash_table_lookup (shared->wanted, &key);
  if (wanted && wanted->version <= version)
    g_hash_table_remove (shared->wanted, &key);
  dy_reservations_take_entry (shared->reservations, account, version, entry);
}

/* Asks for what is wanted and was not asked for within the interval: what LINK named, or all if
 * LINK is 0. */
static void
ask (DySharedEntries *shared, uint64_t link)
{
  GHashTable *lists = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, NULL);
  GHashTableIter iter;
  gpointer key;
  gpointer list;
  g_hash_table_iter_init (&iter, shared->wanted);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      Wanted *wanted = key;
      if ((link && wanted->link != link) || now_us (shared) - wanted->asked_us < ASK_INTERVAL_US)
        continue;
      wanted->asked_us = now_us (shared);
      list = g_hash_table_lookup (lists, &wanted->link);
      if (!list)
        {
          list = json_array ();
          g_hash_table_insert (lists, &wanted->link, list);
        }
      json_array_append_new (list, json_pack ("{s:s, s:I}", "account", wanted->account, "version",
                                              (json_int_t) wanted->version));
    }
  g_hash_table_iter_init (&iter, lists);
  while (g_hash_table_iter_next (&iter, &key, &list))
    send_json (shared, *(const uint64_t *) key, WANTED_KEY, "", list);
  g_hash_table_unref (lists);
}

/* Notes that the router on LINK has VERSION of the entry of ACCOUNT, if that is later than what is
 * known here. */
static void
note_version (DySharedEntries *shared, uint64_t link, const char *account, uint64_t version)
{
  uint64_t known;
  Wanted key = { .version = version };
  if (strlen (account) >= sizeof key.account || !keeps (shared, account)
      || (dy_latest_entries_find (&shared->reservations->latest, account,
                                  dy_store_version_era (version), &known)
          && known >= version))
    return;
  g_strlcpy (key.account, account, sizeof key.account);
  Wanted *wanted = g_hash_table_lookup (shared->wanted, &key);
  if (!wanted)
    {
      wanted = g_memdup2 (&key, sizeof key);
      wanted->asked_us = INT64_MIN / 2;
      g_hash_table_add (shared->wanted, wanted);
    }
  if (version < wanted->version)
    return;
  wanted->version = version;
  wanted->link = link;
}

static void
take_changes (DySharedEntries *shared, uint64_t link, const char *account, const json_t *root)
{
  uint64_t known;
  uint64_t version = (uint64_t) json_integer_value (json_object_get (root, "version"));
  const DyLedgerEntry *base = dy_latest_entries_find (&shared->reservations->latest, account,
                                                      dy_store_version_era (version), &known);
  if (base && known >= version)
    return;
  if (!base || known != (uint64_t) json_integer_value (json_object_get (root, "base")))
    {
      note_version (shared, link, account, version);
      ask (shared, link);
      return;
    }
  DyEntryChanges changes;
  DyLedgerEntry entry;
  const json_t *item;
  size_t i;
  dy_entry_changes_init (&changes);
  dy_ledger_entry_init (&entry);
  json_array_foreach (json_object_get (root, "removed"), i, item)
  {
    uint64_t id
        = g_ascii_strtoull (json_is_string (item) ? json_string_value (item) : "", NULL, 16);
    g_array_append_val (changes.removed, id);
  }
  if (entry_from_json (json_object_get (root, "entry"), &changes.entry))
    {
      dy_ledger_entry_copy (&entry, base);
      dy_entry_changes_apply (&changes, &entry);
      take_entry (shared, account, version, &entry);
    }
  dy_ledger_entry_finish (&entry);
  dy_entry_changes_finish (&changes);
}

static void
take_whole_entry (DySharedEntries *shared, const char *account, const json_t *root)
{
  DyLedgerEntry entry;
  dy_ledger_entry_init (&entry);
  if (entry_from_json (json_object_get (root, "entry"), &entry))
    take_entry (shared, account, (uint64_t) json_integer_value (json_object_get (root, "version")),
                &entry);
  dy_ledger_entry_finish (&entry);
}

/* Calls TAKE for each version that the list ROOT names. */
static void
visit_versions (
    DySharedEntries *shared,
    uint64_t link,
    const json_t *root,
    void (*take) (DySharedEntries *shared, uint64_t link, const char *account, uint64_t version))
{
  const json_t *item;
  size_t i;
  json_array_foreach (root, i, item)
  {
    const char *account = json_string_value (json_object_get (item, "account"));
    if (account)
      take (shared, link, account,
            (uint64_t) json_integer_value (json_object_get (item, "version")));
  }
}

static void
send_wanted (DySharedEntries *shared, uint64_t link, const char *account, uint64_t version)
{
  const DyLedgerEntry *entry = dy_latest_entries_find (&shared->reservations->latest, account,
                                                       dy_store_version_era (version), &version);
  if (entry)
    send_entry (shared, link, account, version, entry);
}

bool
dy_shared_entries_take (DySharedEntries *shared, uint64_t link, const DyMessage *message)
{
  const char *key = message->u.config.key;
  if (message->type != DY_MESSAGE_CONFIG || !message->u.config.text)
    return false;
  bool is_entry = g_str_has_prefix (key, ENTRY_PREFIX);
  bool is_changes = g_str_has_prefix (key, CHANGES_PREFIX);
  bool is_versions = strcmp (key, VERSIONS_KEY) == 0;
  if (!is_entry && !is_changes && !is_versions && strcmp (key, WANTED_KEY) != 0)
    return false;
  json_t *root = json_loadb (message->u.config.text, message->u.config.n_text, 0, NULL);
  if (is_entry)
    take_whole_entry (shared, key + strlen (ENTRY_PREFIX), root);
  else if (is_changes)
    take_changes (shared, link, key + strlen (CHANGES_PREFIX), root);
  else if (is_versions)
    visit_versions (shared, link, root, note_version);
  else
    visit_versions (shared, link, root, send_wanted);
  if (is_versions)
    ask (shared, link);
  json_decref (root);
  return true;
}

static void
add_version (void *ctx, const char *account, uint64_t version, const DyLedgerEntry *entry)
{
  (void) entry;
  json_array_append_new (
      ctx, json_pack ("{s:s, s:I}", "account", account, "version", (json_int_t) version));
}

json_t *
dy_shared_entries_versions (const DySharedEntries *shared)
{
  json_t *root = json_array ();
  dy_latest_entries_visit (&shared->reservations->latest, add_version, root);
  return root;
}

void
dy_shared_entries_on_up (DySharedEntries *shared, const char *name)
{
  json_t *root = dy_shared_entries_versions (shared);
  char *text = json_dumps (root, JSON_COMPACT);
  if (json_array_size (root) > 0)
    dy_peers_send_object (shared->peers, name, VERSIONS_KEY, text);
  free (text);
  json_decref (root);
}

void
dy_shared_entries_tick (DySharedEntries *shared)
{
  if (g_hash_table_size (shared->wanted) > 0)
    ask (shared, 0);
}
