#include "cli/cli.h"
#include "core/ledger_entry.h"
#include "kernel/error.h"
#include "services/folder.h"

#include <jansson.h>
#include <stdio.h>
#include <string.h>

/* The lock file of a folder records the platform's version of each declaration as of the last
 * apply, so that an apply detects changes made by others since. */
static const char lock_file_name[] = "versions.lock";
static const char lock_group[] = "versions";

typedef enum
{
  CHANGE_NONE,
  CHANGE_CREATE,
  CHANGE_UPDATE,
  CHANGE_REMOVE,
} ChangeKind;

typedef struct
{
  ChangeKind kind;
  const char *key;
  const char *text;      /* text in the folder; NULL: the folder lacks the declaration */
  uint64_t base_version; /* version recorded in the lock file, 0 when none */
  uint64_t version;      /* current version at the platform, 0 when it has none */
} Change;

/* The declarations of a folder compared with those of the platform. */
typedef struct
{
  DyFolder folder;
  DyCliReply remote; /* declarations of the platform */
  GKeyFile *lock;    /* contents of the lock file */
  char *lock_path;
  GArray *changes; /* Change, one for each declaration of the folder or the platform */
} Comparison;

static const DyObject *
find_object (const DyCliReply *remote, const char *key)
{
  for (guint i = 0; i < remote->objects->len; i++)
    {
      const DyObject *object = &g_array_index (remote->objects, DyObject, i);
      if (strcmp (object->key, key) == 0)
        return object;
    }
  return NULL;
}

static bool
in_folder (const DyFolder *folder, const char *key)
{
  for (guint i = 0; i < folder->files->len; i++)
    if (strcmp (((const DyDeclarationFile *) g_ptr_array_index (folder->files, i))->key, key) == 0)
      return true;
  return false;
}

static void
add_change (Comparison *cmp, const char *key, const char *text)
{
  const DyObject *object = find_object (&cmp->remote, key);
  Change change = { .key = key, .text = text };
  change.base_version = g_key_file_get_uint64 (cmp->lock, lock_group, key, NULL);
  change.version = object ? object->version : 0;
  if (!object)
    change.kind = CHANGE_CREATE;
  else if (!text)
    change.kind = CHANGE_REMOVE;
  else if (strcmp (object->value, text) != 0)
    change.kind = CHANGE_UPDATE;
  g_array_append_val (cmp->changes, change);
}

static void
find_changes (Comparison *cmp)
{
  for (guint i = 0; i < cmp->folder.files->len; i++)
    {
      const DyDeclarationFile *file = g_ptr_array_index (cmp->folder.files, i);
      add_change (cmp, file->key, file->text);
    }
  for (guint i = 0; i < cmp->remote.objects->len; i++)
    {
      const DyObject *object = &g_array_index (cmp->remote.objects, DyObject, i);
      if (!in_folder (&cmp->folder, object->key))
        add_change (cmp, object->key, NULL);
    }
}

static int
read_folder (DyCli *cli, DyFolder *folder)
{
  char *reason = NULL;
  int error = dy_folder_init (folder, cli->args[0], &reason);
  if (error)
    dy_cli_fail (error, "%s", reason);
  g_free (reason);
  return error;
}

static int
comparison_init (Comparison *cmp, DyCli *cli)
{
  int error = read_folder (cli, &cmp->folder);
  if (error)
    return error;
  cmp->remote = dy_cli_list_objects (cli, DY_CONFIG_PREFIX);
  if (cmp->remote.error)
    {
      error = dy_cli_fail (cmp->remote.error, "platform: %s",
                           dy_error_info (cmp->remote.error)->text);
      dy_cli_reply_finish (&cmp->remote);
      dy_folder_finish (&cmp->folder);
      return error;
    }
  cmp->lock_path = g_build_filename (cli->args[0], lock_file_name, NULL);
  cmp->lock = g_key_file_new ();
  g_key_file_load_from_file (cmp->lock, cmp->lock_path, G_KEY_FILE_NONE, NULL);
  cmp->changes = g_array_new (FALSE, TRUE, sizeof (Change));
  find_changes (cmp);
  return DY_OK;
}

static void
comparison_finish (Comparison *cmp)
{
  g_array_unref (cmp->changes);
  g_key_file_free (cmp->lock);
  g_free (cmp->lock_path);
  dy_cli_reply_finish (&cmp->remote);
  dy_folder_finish (&cmp->folder);
}

static const char *
change_kind_name (ChangeKind kind)
{
  static const char *const names[] = { "same", "create", "update", "remove" };
  return names[kind];
}

static void
print_change (const DyCli *cli, const Change *change, const char *result)
{
  if (!cli->json)
    {
      printf ("%s %s version %" G_GUINT64_FORMAT "%s%s\n", change_kind_name (change->kind),
              change->key, change->version, result[0] ? ": " : "", result);
      return;
    }
  json_t *line
      = json_pack ("{s:s, s:s, s:I, s:s}", "change", change_kind_name (change->kind), "key",
                   change->key, "version", (json_int_t) change->version, "result", result);
  char *text = json_dumps (line, JSON_COMPACT);
  printf ("%s\n", text);
  free (text);
  json_decref (line);
}

/* Writes one change to the platform. The write must replace the version recorded in the lock file,
 * so that a change that another operator made since then is reported as a conflict and not
 * overwritten. With --rebase it replaces the current version. */
static int
apply_change (DyCli *cli, Comparison *cmp, Change *change)
{
  uint64_t expected = cli->rebase ? change->version : change->base_version;
  if (change->kind == CHANGE_CREATE)
    expected = 0;
  DyCliReply reply = dy_cli_put_object (cli, change->key, change->text, expected);
  int error = reply.error;
  uint64_t version = reply.version;
  dy_cli_reply_finish (&reply);
  if (error && error != DY_NOT_FOUND)
    {
      /* The write may have taken effect although its reply was lost. After a conflict, too, the
       * object may hold this text, written late by an earlier run that got no reply. So compare the
       * stored text. */
      DyCliReply now = dy_cli_get_object (cli, change->key);
      bool done = !now.error && change->text && strcmp (now.value, change->text) == 0;
      if (now.version)
        version = now.version;
      dy_cli_reply_finish (&now);
      if (done)
        error = DY_OK;
    }
  change->version = version;
  if (error == DY_CONFLICT)
    return dy_cli_fail (error,
                        "%s: another operator wrote version %" G_GUINT64_FORMAT
                        "; the folder is based on %" G_GUINT64_FORMAT
                        ". Merge that change, then apply with --rebase.",
                        change->key, version, expected);
  if (error)
    return dy_cli_fail (error, "%s: %s", change->key, dy_error_info (error)->text);
  if (change->text)
    g_key_file_set_uint64 (cmp->lock, lock_group, change->key, version);
  else
    g_key_file_remove_key (cmp->lock, lock_group, change->key, NULL);
  return DY_OK;
}

static int
apply_changes (DyCli *cli, Comparison *cmp, uint64_t *highest_version)
{
  int result = DY_OK;
  for (guint i = 0; i < cmp->changes->len; i++)
    {
      Change *change = &g_array_index (cmp->changes, Change, i);
      if (change->kind == CHANGE_REMOVE && !cli->prune)
        continue;
      if (change->kind == CHANGE_NONE)
        {
          g_key_file_set_uint64 (cmp->lock, lock_group, change->key, change->version);
          *highest_version = MAX (*highest_version, change->version);
          continue;
        }
      int error = apply_change (cli, cmp, change);
      if (error)
        result = error;
      else
        print_change (cli, change, "done");
      *highest_version = MAX (*highest_version, change->version);
    }
  return result;
}

/* Creates a ledger entry with the declared budget for each client account that has none. An
 * existing entry, whose creation fails as a conflict, stays as it is. */
static int
create_ledger_entries (DyCli *cli, const DyFolder *folder)
{
  GHashTableIter iter;
  gpointer value;
  int result = DY_OK;
  g_hash_table_iter_init (&iter, folder->declarations.accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const DyClientAccount *account = value;
      char *key = g_strconcat (DY_LEDGER_PREFIX, account->name, NULL);
      char *text = dy_ledger_entry_format_new (account->budget_tokens);
      DyCliReply reply = dy_cli_put_object (cli, key, text, 0);
      if (reply.error && reply.error != DY_CONFLICT)
        result = dy_cli_fail (reply.error, "%s: %s", key, dy_error_info (reply.error)->text);
      dy_cli_reply_finish (&reply);
      free (text);
      g_free (key);
    }
  return result;
}

static bool
router_has_version (DyCli *cli, const char *router, uint64_t version)
{
  DyCliReply reply = dy_cli_call_router (cli, "GET", router, "/status");
  json_t *root = reply.error ? NULL : json_loads (reply.value, 0, NULL);
  uint64_t config_version
      = (uint64_t) json_integer_value (json_object_get (root, "config_version"));
  json_decref (root);
  dy_cli_reply_finish (&reply);
  return config_version >= version;
}

static void
on_poll_timer (struct ev_loop *loop, ev_timer *w, int events)
{
  (void) w;
  (void) events;
  ev_break (loop, EVBREAK_ONE);
}

static void
wait_poll_interval (DyCli *cli)
{
  static const double POLL_INTERVAL_S = 0.05;
  ev_timer timer;
  ev_timer_init (&timer, on_poll_timer, POLL_INTERVAL_S, 0.0);
  ev_timer_start (cli->loop, &timer);
  ev_run (cli->loop, 0);
  ev_timer_stop (cli->loop, &timer);
}

/* Polls the status of each router until it has VERSION in force. The time limit holds for all
 * routers together. */
static int
wait_until_in_force (DyCli *cli, uint64_t version)
{
  int64_t deadline_us = g_get_monotonic_time () + cli->timeout_ms * 1000;
  for (guint i = 0; i < cli->routers->len; i++)
    {
      const char *router = g_ptr_array_index (cli->routers, i);
      while (!router_has_version (cli, router, version))
        {
          if (g_get_monotonic_time () >= deadline_us)
            return dy_cli_fail (DY_TIMEOUT,
                                "%s: configuration version %" G_GUINT64_FORMAT " is not in force",
                                router, version);
          wait_poll_interval (cli);
        }
    }
  return DY_OK;
}

int
dy_cli_check (DyCli *cli)
{
  DyFolder folder;
  int error = read_folder (cli, &folder);
  if (error)
    return error;
  printf ("%u declarations, no errors\n", folder.files->len);
  dy_folder_finish (&folder);
  return DY_OK;
}

int
dy_cli_diff (DyCli *cli)
{
  Comparison cmp;
  int error = comparison_init (&cmp, cli);
  if (error)
    return error;
  for (guint i = 0; i < cmp.changes->len; i++)
    {
      const Change *change = &g_array_index (cmp.changes, Change, i);
      bool changed_remotely = change->version != change->base_version;
      if (change->kind != CHANGE_NONE)
        print_change (cli, change,
                      changed_remotely && change->version ? "changed at the platform, too" : "");
    }
  comparison_finish (&cmp);
  return DY_OK;
}

int
dy_cli_apply (DyCli *cli)
{
  Comparison cmp;
  uint64_t highest_version = 0;
  int error = comparison_init (&cmp, cli);
  if (error)
    return error;
  error = apply_changes (cli, &cmp, &highest_version);
  int ledger_error = create_ledger_entries (cli, &cmp.folder);
  GError *save_error = NULL;
  if (!g_key_file_save_to_file (cmp.lock, cmp.lock_path, &save_error))
    {
      error = dy_cli_fail (DY_IO, "%s: %s", cmp.lock_path, save_error->message);
      g_error_free (save_error);
    }
  comparison_finish (&cmp);
  if (!error)
    error = ledger_error;
  if (!error && cli->wait)
    error = wait_until_in_force (cli, highest_version);
  return error;
}
