#include "services/origins_private.h"

#include "kernel/error.h"
#include "kernel/log.h"

#include <string.h>

enum
{
  /* Time for which a service stays declared mixed once it has one version only: longer than other
   * routers take to notice that. */
  DECLARED_US = 5 * 1000 * 1000,
};

static int64_t
now_us (const DyOrigins *origins)
{
  return dy_kernel_now_us (origins->kernel);
}

void
dy_origins_free_service (gpointer data)
{
  DyOriginService *entry = data;
  g_free (entry->service);
  g_free (entry->sent_base);
  g_free (entry->declared);
  g_free (entry->declaring);
  g_free (entry);
}

DyOriginService *
dy_origins_get_service (DyOrigins *origins, const char *service)
{
  DyOriginService *entry = g_hash_table_lookup (origins->services, service);
  if (entry)
    return entry;
  entry = g_new0 (DyOriginService, 1);
  entry->origins = origins;
  entry->service = g_strdup (service);
  g_hash_table_insert (origins->services, entry->service, entry);
  return entry;
}

void
dy_origins_see_version (DyOrigins *origins, const char *service, const char *version)
{
  if (!dy_stream_origins_see (&origins->table, service, version, now_us (origins)))
    return;
  bool mixed = dy_stream_origins_is_mixed (&origins->table, service);
  dy_origins_get_service (origins, service)->synced = false;
  origins->dirty = origins->dirty || mixed;
  dy_log (DY_EVENT_VERSION_SEEN, "service=%s version=%s mixed=%d", service, version, mixed);
}

/* Versions that the store has. */

static void
record_stored (DyOriginService *entry, uint64_t era)
{
  entry->stored = true;
  entry->stored_era = MAX (entry->stored_era, era);
}

bool
dy_origins_is_stored (const DyOrigins *origins, const char *service)
{
  const DyOriginService *entry = g_hash_table_lookup (origins->services, service);
  return entry && entry->stored && entry->stored_era == origins->platform->era;
}

void
dy_origins_load_versions (DyOrigins *origins, const DyObject *object)
{
  const char *service = object->key + strlen (DY_VERSIONS_PREFIX);
  json_t *root = object->value ? json_loads (object->value, 0, NULL) : NULL;
  const json_t *version;
  size_t i;
  json_array_foreach (json_object_get (root, "versions"), i, version)
  {
    if (json_is_string (version))
      dy_origins_see_version (origins, service, json_string_value (version));
  }
  const json_t *era = json_object_get (root, "era");
  if (json_is_integer (era))
    record_stored (dy_origins_get_service (origins, service), (uint64_t) json_integer_value (era));
  /* Before the store was restored, the base may have been another one. */
  const char *base = dy_origins_is_stored (origins, service)
                         ? json_string_value (json_object_get (root, "base"))
                         : NULL;
  dy_stream_origins_set_base (&origins->table, service, base);
  json_decref (root);
}

void
dy_origins_collect_version (void *ctx, const char *version)
{
  json_array_append_new (ctx, json_string (version));
}

static void
on_service_written (void *ctx, const DyPlatformReply *reply)
{
  DyOriginService *entry = ctx;
  entry->busy = false;
  if (reply->error == DY_OK || (reply->error == DY_CONFLICT && reply->version))
    entry->stored_version = reply->version;
  if (reply->error == DY_OK)
    {
      record_stored (entry, entry->sent_era);
      return;
    }
  entry->synced = false;
  if (reply->error != DY_CONFLICT || !reply->version)
    {
      entry->stored_version = 0;
      entry->next_try_us = now_us (entry->origins) + DY_ORIGINS_RETRY_US;
    }
}

static void
sync_service (DyOrigins *origins, DyOriginService *entry)
{
  const DyMembers *members = &origins->directory->peers->members;
  const char *base = dy_stream_origins_base (&origins->table, entry->service, now_us (origins));
  if ((entry->synced && g_strcmp0 (base, entry->sent_base) == 0) || entry->busy
      || !origins->versions_loaded || !dy_peers_members_known (origins->directory->peers)
      || now_us (origins) < entry->next_try_us
      || !(dy_origins_is_stored (origins, entry->service)
           || dy_version_knowledge_may_write (&origins->knowledge, dy_kernel_boot_us ()))
      || dy_members_home_with_platform (members, entry->service, NULL, now_us (origins)))
    return;
  char *key = g_strconcat (DY_VERSIONS_PREFIX, entry->service, NULL);
  json_t *versions = json_array ();
  dy_stream_origins_visit_versions (&origins->table, entry->service, dy_origins_collect_version,
                                    versions);
  entry->sent_era = origins->platform->era;
  g_free (entry->sent_base);
  entry->sent_base = g_strdup (base);
  json_t *root = json_pack ("{s:o, s:I, s:s*}", "versions", versions, "era",
                            (json_int_t) entry->sent_era, "base", base);
  char *text = json_dumps (root, JSON_COMPACT);
  entry->synced = true;
  entry->busy = true;
  dy_platform_put (origins->platform, key, text, entry->stored_version, on_service_written, entry);
  free (text);
  json_decref (root);
  g_free (key);
}

void
dy_origins_sync_services (DyOrigins *origins, bool dropped)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, origins->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      DyOriginService *entry = value;
      entry->synced = entry->synced && !dropped;
      sync_service (origins, entry);
    }
}

void
dy_origins_withdraw_services (DyOrigins *origins)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, origins->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      DyOriginService *entry = value;
      entry->synced = false;
      g_clear_pointer (&entry->declared, g_free);
    }
}

/* Services that the own object declares mixed. */

/* Returns the base with which SERVICE is to be declared mixed, "" if it has none; NULL: it is not.
 */
static const char *
declaration_of (DyOrigins *origins, DyOriginService *entry)
{
  if (dy_stream_origins_is_mixed (&origins->table, entry->service))
    {
      const char *base = dy_stream_origins_base (&origins->table, entry->service, now_us (origins));
      entry->mixed_us = now_us (origins);
      return base ? base : "";
    }
  return entry->mixed_us && now_us (origins) - entry->mixed_us < DECLARED_US ? entry->declared
                                                                             : NULL;
}

json_t *
dy_origins_begin_declarations (DyOrigins *origins)
{
  json_t *mixed = json_object ();
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, origins->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      DyOriginService *entry = value;
      g_free (entry->declaring);
      entry->declaring = g_strdup (declaration_of (origins, entry));
      if (entry->declaring)
        json_object_set_new (mixed, entry->service, json_string (entry->declaring));
      /* The write may take effect though it fails. */
      if (g_strcmp0 (entry->declaring, entry->declared) != 0)
        g_clear_pointer (&entry->declared, g_free);
    }
  return mixed;
}

void
dy_origins_end_declarations (DyOrigins *origins, bool ok)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, origins->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      DyOriginService *entry = value;
      if (ok && entry->declaring && !entry->declared)
        dy_log (DY_EVENT_VERSIONS_DECLARED, "service=%s base=%s", entry->service,
                entry->declaring[0] ? entry->declaring : "-");
      if (ok && g_strcmp0 (entry->declaring, entry->declared) != 0)
        {
          g_free (entry->declared);
          entry->declared = g_strdup (entry->declaring);
        }
      g_clear_pointer (&entry->declaring, g_free);
    }
  dy_origins_report_declared (origins);
}

bool
dy_origins_declarations_differ (DyOrigins *origins)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, origins->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      DyOriginService *entry = value;
      const char *now = origins->writing ? entry->declaring : entry->declared;
      if (g_strcmp0 (declaration_of (origins, entry), now) != 0)
        return true;
    }
  return false;
}

void
dy_origins_inherit_declaration (DyOrigins *origins, const char *service, const char *base)
{
  DyOriginService *entry = dy_origins_get_service (origins, service);
  g_free (entry->declared);
  entry->declared = g_strdup (base);
  entry->mixed_us = now_us (origins);
  entry->inherited_until_us = now_us (origins) + DY_VERSION_RETENTION_US;
}

void
dy_origins_report_declared (DyOrigins *origins)
{
  if (origins->watcher)
    origins->watcher (origins->watcher_ctx);
}

/* What this router may begin. */

/* Returns whether streams of SERVICE that this router begins at any version are known to be listed
 * in its object, or to be missing there. */
static bool
is_declared (const DyOrigins *origins, const char *service)
{
  const DyOriginService *entry = g_hash_table_lookup (origins->services, service);
  const char *base = dy_stream_origins_base (&origins->table, service, now_us (origins));
  return entry && entry->declared && strcmp (entry->declared, base ? base : "") == 0;
}

bool
dy_origins_awaits_base (const DyOrigins *origins)
{
  GHashTableIter iter;
  gpointer service;
  g_hash_table_iter_init (&iter, origins->services);
  while (g_hash_table_iter_next (&iter, &service, NULL))
    if (dy_stream_origins_is_mixed (&origins->table, service) && !is_declared (origins, service))
      return true;
  return false;
}

const char *
dy_origins_required_version (const DyOrigins *origins, const char *service)
{
  const char *base = dy_stream_origins_base (&origins->table, service, now_us (origins));
  if (!base || is_declared (origins, service)
      || !dy_placement_serves_version (&origins->directory->placement, service, base))
    return NULL;
  return base;
}

bool
dy_origins_may_begin (DyOrigins *origins, const char *service, const char *version)
{
  dy_origins_see_version (origins, service, version);
  if (!dy_stream_origins_is_mixed (&origins->table, service) || is_declared (origins, service))
    return true;
  const char *base = dy_stream_origins_base (&origins->table, service, now_us (origins));
  if (base ? strcmp (base, version) == 0
           : origins->versions_loaded
                 && !dy_version_knowledge_needs_read (&origins->knowledge, dy_kernel_boot_us ()))
    return true;
  /* Without the store nothing can be declared. */
  return !dy_platform_answers (origins->platform);
}

void
dy_origins_watch (DyOrigins *origins, void (*watcher) (void *ctx), void *ctx)
{
  origins->watcher = watcher;
  origins->watcher_ctx = ctx;
}
