#include "services/config.h"

#include "core/ledger_entry.h"
#include "kernel/error.h"
#include "kernel/log.h"
#include "services/folder.h"

#include <string.h>

enum
{
  RETRY_MIN_US = 100 * 1000,
  RETRY_MAX_US = 2 * 1000 * 1000,
  PEER_REQUEST_INTERVAL_US = 500 * 1000, /* between requests for a peer's declarations */
};

static void
endpoint_put (void *ctx, const DyEndpointSpec *spec)
{
  DyConfig *config = ctx;
  dy_routing_put (&config->endpoints->routing, spec);
}

static void
endpoint_removed (void *ctx, const char *name)
{
  DyConfig *config = ctx;
  dy_routing_remove (&config->endpoints->routing, name);
}

static void
apply_object (DyConfig *config, const DyObject *object)
{
  DyDeclarationsWatcher watcher
      = { .ctx = config, .endpoint_put = endpoint_put, .endpoint_removed = endpoint_removed };
  char *text = NULL;
  if (!object->value)
    dy_declarations_remove (&config->declarations, object->key, object->version, &watcher);
  else
    dy_declarations_put (&config->declarations, object->key, object->version, object->value,
                         &watcher, &text);
  if (!text)
    {
      dy_log (DY_EVENT_DECLARATION_APPLIED, "key=%s version=%" G_GUINT64_FORMAT, object->key,
              object->version);
      return;
    }
  dy_counters_add (&config->kernel->counters, DY_COUNTER_DECLARATIONS_REJECTED, 1);
  dy_log (DY_EVENT_DECLARATION_REJECTED, "key=%s version=%" G_GUINT64_FORMAT " error=%s",
          object->key, object->version, text);
  g_free (text);
}

/* Records that all declarations up to VERSION were processed. */
static void
advance_version (DyConfig *config, uint64_t version)
{
  config->version = MAX (config->version, version);
  config->peers->config_version = config->version;
  config->loaded = true;
  dy_counters_set (&config->kernel->counters, DY_COUNTER_CONFIG_VERSION, (int64_t) config->version);
}

static void watch_declarations (DyConfig *config);

static void
on_list (void *ctx, const DyPlatformReply *reply)
{
  DyConfig *config = ctx;
  config->failing = reply->error != DY_OK;
  if (reply->error)
    {
      double delay_s = (double) dy_backoff_next_us (&config->backoff, config->rng) / 1e6;
      ev_timer_set (&config->retry, delay_s, 0.0);
      ev_timer_start (config->kernel->loop, &config->retry);
      return;
    }
  dy_backoff_reset (&config->backoff);
  for (uint32_t i = 0; i < reply->n_objects; i++)
    apply_object (config, &reply->objects[i]);
  advance_version (config, reply->version);
  watch_declarations (config);
}

/* Lists all declarations, or waits for changes if they are loaded. The version of an empty store is
 * 0, which would list again instead of waiting, so the watch starts at 1 or above. */
static void
watch_declarations (DyConfig *config)
{
  uint64_t after = config->loaded ? MAX (config->version, 1) : 0;
  dy_platform_list (config->platform, DY_CONFIG_PREFIX, after, on_list, config);
}

static void
on_retry (struct ev_loop *loop, ev_timer *w, int events)
{
  (void) loop;
  (void) events;
  watch_declarations (w->data);
}

static void
ignore_reply (void *ctx, const DyPlatformReply *reply)
{
  (void) ctx;
  (void) reply;
}

static void
create_ledger_entry (DyConfig *config, const DyClientAccount *account)
{
  char *key = g_strconcat (DY_LEDGER_PREFIX, account->name, NULL);
  char *text = dy_ledger_entry_format_new (account->budget_tokens);
  dy_platform_put (config->platform, key, text, 0, ignore_reply, NULL);
  free (text);
  g_free (key);
}

/* Fills the in-process platform, which starts empty, with the declarations of the folder at PATH
 * and a ledger entry for each client account. */
static int
load_folder (DyConfig *config, const char *path)
{
  DyFolder folder;
  char *error_text = NULL;
  if (dy_folder_init (&folder, path, &error_text))
    {
      dy_log (DY_EVENT_SETTINGS_INVALID, "[platform] declarations_dir: %s", error_text);
      g_free (error_text);
      return DY_SETTINGS;
    }
  for (guint i = 0; i < folder.files->len; i++)
    {
      const DyDeclarationFile *file = g_ptr_array_index (folder.files, i);
      dy_platform_put (config->platform, file->key, file->text, 0, ignore_reply, NULL);
    }
  GHashTableIter iter;
  gpointer account;
  g_hash_table_iter_init (&iter, folder.declarations.accounts);
  while (g_hash_table_iter_next (&iter, NULL, &account))
    create_ledger_entry (config, account);
  dy_folder_finish (&folder);
  return DY_OK;
}

typedef struct
{
  DyConfig *config;
  uint64_t link;
} PeerReply;

static void
send_declaration (void *ctx, const char *key, uint64_t version, const char *text)
{
  const PeerReply *reply = ctx;
  DyMessage message = { .type = DY_MESSAGE_CONFIG };
  message.u.config.version = version;
  message.u.config.text = text;
  message.u.config.n_text = text ? (uint32_t) strlen (text) : 0;
  g_strlcpy (message.u.config.key, key, DY_KEY_SIZE);
  dy_peers_reply (reply->config->peers, reply->link, &message);
}

/* Sends all declarations above the version AFTER. */
static void
reply_to_peer (DyConfig *config, uint64_t link, uint64_t after)
{
  PeerReply reply = { config, link };
  DyMessage message = { .type = DY_MESSAGE_CONFIG_END };
  dy_declarations_visit (&config->declarations, after, send_declaration, &reply);
  message.u.config.version = config->version;
  dy_peers_reply (config->peers, link, &message);
}

/* Other objects that routers send each other are no declarations. */
static void
apply_peer_declaration (DyConfig *config, const DyMessage *message)
{
  if (!g_str_has_prefix (message->u.config.key, DY_CONFIG_PREFIX))
    return;
  char *text = message->u.config.text ? g_strndup (message->u.config.text, message->u.config.n_text)
                                      : NULL;
  DyObject object
      = { .key = message->u.config.key, .version = message->u.config.version, .value = text };
  apply_object (config, &object);
  g_free (text);
}

static void
on_message (void *ctx, uint64_t link, const DyMessage *message)
{
  DyConfig *config = ctx;
  if (message->type == DY_MESSAGE_CONFIG_GET && config->loaded)
    reply_to_peer (config, link, message->u.config.version);
  else if (message->type == DY_MESSAGE_CONFIG)
    apply_peer_declaration (config, message);
  else if (message->type == DY_MESSAGE_CONFIG_END)
    advance_version (config, message->u.config.version);
}

static void
on_heartbeat (void *ctx, uint64_t link, uint64_t version)
{
  DyConfig *config = ctx;
  int64_t now_us = dy_kernel_now_us (config->kernel);
  if (!config->failing || version <= config->version
      || now_us - config->asked_us < PEER_REQUEST_INTERVAL_US)
    return;
  DyMessage message = { .type = DY_MESSAGE_CONFIG_GET };
  message.u.config.version = config->version;
  config->asked_us = now_us;
  dy_peers_reply (config->peers, link, &message);
}

static const DyPeersWatcher peers_watcher = { .message = on_message, .heartbeat = on_heartbeat };

static int
service_start (void *self, DyKernel *kernel)
{
  DyConfig *config = self;
  config->kernel = kernel;
  config->platform = dy_kernel_find (kernel, DY_SERVICE_PLATFORM);
  config->endpoints = dy_kernel_find (kernel, DY_SERVICE_ENDPOINTS);
  config->peers = dy_kernel_find (kernel, DY_SERVICE_PEERS);
  dy_declarations_init (&config->declarations);
  config->rng = g_rand_new_with_seed ((uint32_t) kernel->incarnation_id);
  dy_backoff_init (&config->backoff, RETRY_MIN_US, RETRY_MAX_US);
  ev_timer_init (&config->retry, on_retry, 0.0, 0.0);
  config->retry.data = config;
  if (strcmp (kernel->settings->platform_kind, "memory") == 0
      && kernel->settings->declarations_dir[0])
    {
      int error = load_folder (config, kernel->settings->declarations_dir);
      if (error)
        return error;
    }
  dy_peers_watch (config->peers, &peers_watcher, config);
  watch_declarations (config);
  return DY_OK;
}

static void
service_stop (void *self)
{
  DyConfig *config = self;
  ev_timer_stop (config->kernel->loop, &config->retry);
  dy_declarations_finish (&config->declarations);
  g_rand_free (config->rng);
}

static json_t *
dump_account (const DyClientAccount *account)
{
  return json_pack ("{s:s, s:s, s:I, s:I, s:I}", "name", account->name, "template",
                    account->template_name, "share", (json_int_t) account->share, "budget_tokens",
                    (json_int_t) account->budget_tokens, "max_tokens_per_request",
                    (json_int_t) account->max_tokens_per_request);
}

static json_t *
service_dump (void *self)
{
  const DyConfig *config = self;
  json_t *list = json_array ();
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, config->declarations.accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    json_array_append_new (list, dump_account (value));
  return json_pack ("{s:I, s:b, s:o}", "version", (json_int_t) config->version, "loaded",
                    config->loaded, "accounts", list);
}

void
dy_config_add_service (DyKernel *kernel, DyConfig *config)
{
  DyService service = { .name = DY_SERVICE_CONFIG,
                        .self = config,
                        .start = service_start,
                        .stop = service_stop,
                        .dump = service_dump };
  dy_kernel_add (kernel, &service);
}
