#include "core/stream_origins.h"

#include <string.h>

enum
{
  MIN_WRITE_INTERVAL_US = 60 * 1000,
  WRITE_INTERVAL_PER_ROUTER_US = 6250, /* 160 writes a second of all routers together */
  MIN_CONFIRM_INTERVAL_US = 20 * 1000,
  CONFIRM_INTERVAL_PER_ROUTER_US = 5 * 1000,
};

typedef struct
{
  char *service;
  char *version;
  char *router;
  int64_t known_us;
  int64_t expires_us;
} Stream;

typedef struct
{
  GHashTable *versions; /* version to when it was last listed */
  char *base;           /* NULL: none was stated, nor known when a second version came */
  int64_t base_from_us; /* an only version is the base from this time on */
} Service;

static void
free_stream (gpointer data)
{
  Stream *stream = data;
  g_free (stream->service);
  g_free (stream->version);
  g_free (stream->router);
  g_free (stream);
}

static void
free_service (gpointer data)
{
  Service *service = data;
  g_hash_table_unref (service->versions);
  g_free (service->base);
  g_free (service);
}

static GHashTable *
versions_of (const DyStreamOrigins *origins, const char *service)
{
  const Service *entry = g_hash_table_lookup (origins->services, service);
  return entry ? entry->versions : NULL;
}

void
dy_stream_origins_init (DyStreamOrigins *origins)
{
  origins->streams = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_stream);
  origins->services = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_service);
}

void
dy_stream_origins_finish (DyStreamOrigins *origins)
{
  g_hash_table_unref (origins->streams);
  g_hash_table_unref (origins->services);
}

void
dy_stream_origins_add (DyStreamOrigins *origins, const DyStreamOrigin *origin)
{
  Stream *stream = g_new0 (Stream, 1);
  stream->service = g_strdup (origin->service);
  stream->version = g_strdup (origin->version);
  stream->router = g_strdup (origin->router);
  stream->known_us = origin->known_us;
  stream->expires_us = origin->expires_us;
  g_hash_table_replace (origins->streams, g_strdup (origin->request_id), stream);
}

bool
dy_stream_origins_see (DyStreamOrigins *origins,
                       const char *service,
                       const char *version,
                       int64_t now_us)
{
  Service *entry = g_hash_table_lookup (origins->services, service);
  if (!entry)
    {
      entry = g_new0 (Service, 1);
      entry->versions = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
      entry->base_from_us = now_us + DY_VERSION_BASE_US;
      g_hash_table_insert (origins->services, g_strdup (service), entry);
    }
  int64_t *seen_us = g_hash_table_lookup (entry->versions, version);
  if (seen_us)
    {
      *seen_us = MAX (*seen_us, now_us);
      return false;
    }
  if (g_hash_table_size (entry->versions) == 1)
    {
      char *base = g_strdup (dy_stream_origins_base (origins, service, now_us));
      g_free (entry->base);
      entry->base = base;
    }
  g_hash_table_insert (entry->versions, g_strdup (version), g_memdup2 (&now_us, sizeof now_us));
  return true;
}

bool
dy_stream_origins_is_mixed (const DyStreamOrigins *origins, const char *service)
{
  GHashTable *versions = versions_of (origins, service);
  return versions && g_hash_table_size (versions) > 1;
}

bool
dy_stream_origins_has_one_version (const DyStreamOrigins *origins, const char *service)
{
  GHashTable *versions = versions_of (origins, service);
  return versions && g_hash_table_size (versions) == 1;
}

static const char *
only_version (const Service *entry)
{
  GHashTableIter iter;
  gpointer version = NULL;
  g_hash_table_iter_init (&iter, entry->versions);
  g_hash_table_iter_next (&iter, &version, NULL);
  return version;
}

const char *
dy_stream_origins_base (const DyStreamOrigins *origins, const char *service, int64_t now_us)
{
  const Service *entry = g_hash_table_lookup (origins->services, service);
  if (!entry)
    return NULL;
  if (entry->base && g_hash_table_contains (entry->versions, entry->base))
    return entry->base;
  return g_hash_table_size (entry->versions) == 1 && now_us >= entry->base_from_us
             ? only_version (entry)
             : NULL;
}

void
dy_stream_origins_set_base (DyStreamOrigins *origins, const char *service, const char *base)
{
  Service *entry = g_hash_table_lookup (origins->services, service);
  if (!entry)
    return;
  char *copy = g_strdup (base);
  g_free (entry->base);
  entry->base = copy;
}

void
dy_stream_origins_forget_bases (DyStreamOrigins *origins, int64_t from_us)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, origins->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Service *entry = value;
      g_clear_pointer (&entry->base, g_free);
      entry->base_from_us = from_us;
    }
}

static DyStreamOrigin
origin_of (const char *request_id, const Stream *stream)
{
  return (DyStreamOrigin){ .request_id = request_id,
                           .service = stream->service,
                           .version = stream->version,
                           .router = stream->router,
                           .known_us = stream->known_us,
                           .expires_us = stream->expires_us };
}

bool
dy_stream_origins_get (const DyStreamOrigins *origins,
                       const char *request_id,
                       DyStreamOrigin *origin)
{
  const Stream *stream = request_id ? g_hash_table_lookup (origins->streams, request_id) : NULL;
  if (stream)
    *origin = origin_of (request_id, stream);
  return stream != NULL;
}

const char *
dy_stream_origins_find (const DyStreamOrigins *origins,
                        const char *service,
                        const char *request_id,
                        bool complete)
{
  const Stream *stream = request_id ? g_hash_table_lookup (origins->streams, request_id) : NULL;
  if (stream)
    return strcmp (stream->service, service) == 0 ? stream->version : NULL;
  if (!complete || !dy_stream_origins_has_one_version (origins, service))
    return NULL;
  return only_version (g_hash_table_lookup (origins->services, service));
}

static gboolean
is_expired (gpointer key, gpointer value, gpointer ctx)
{
  (void) key;
  return ((const Stream *) value)->expires_us <= *(const int64_t *) ctx;
}

static gboolean
is_gone (gpointer key, gpointer value, gpointer ctx)
{
  (void) key;
  return *(const int64_t *) ctx - *(const int64_t *) value > DY_VERSION_RETENTION_US;
}

bool
dy_stream_origins_evict (DyStreamOrigins *origins, int64_t now_us)
{
  GHashTableIter iter;
  gpointer value;
  guint n_dropped = 0;
  g_hash_table_foreach_remove (origins->streams, is_expired, &now_us);
  g_hash_table_iter_init (&iter, origins->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Service *entry = value;
      guint n = g_hash_table_foreach_remove (entry->versions, is_gone, &now_us);
      n_dropped += n;
      if (n > 0 && g_hash_table_size (entry->versions) == 1)
        entry->base_from_us = MAX (entry->base_from_us, now_us);
      if (g_hash_table_size (entry->versions) == 0)
        g_hash_table_iter_remove (&iter);
    }
  return n_dropped > 0;
}

void
dy_stream_origins_visit (const DyStreamOrigins *origins,
                         void (*visit) (void *ctx, const DyStreamOrigin *origin),
                         void *ctx)
{
  GHashTableIter iter;
  gpointer id;
  gpointer value;
  g_hash_table_iter_init (&iter, origins->streams);
  while (g_hash_table_iter_next (&iter, &id, &value))
    {
      DyStreamOrigin origin = origin_of (id, value);
      visit (ctx, &origin);
    }
}

void
dy_stream_origins_visit_versions (const DyStreamOrigins *origins,
                                  const char *service,
                                  void (*visit) (void *ctx, const char *version),
                                  void *ctx)
{
  GHashTable *versions = versions_of (origins, service);
  GHashTableIter iter;
  gpointer version;
  if (!versions)
    return;
  g_hash_table_iter_init (&iter, versions);
  while (g_hash_table_iter_next (&iter, &version, NULL))
    visit (ctx, version);
}

int64_t
dy_stream_origins_write_interval_us (uint32_t n_routers)
{
  return MAX (MIN_WRITE_INTERVAL_US, (int64_t) n_routers * WRITE_INTERVAL_PER_ROUTER_US);
}

int64_t
dy_stream_origins_confirm_interval_us (uint32_t n_routers)
{
  return MAX (MIN_CONFIRM_INTERVAL_US, (int64_t) n_routers * CONFIRM_INTERVAL_PER_ROUTER_US);
}
