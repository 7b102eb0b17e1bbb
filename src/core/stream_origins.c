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
free_table (gpointer table)
{
  g_hash_table_unref (table);
}

void
dy_stream_origins_init (DyStreamOrigins *origins)
{
  origins->streams = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_stream);
  origins->services = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_table);
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
  GHashTable *versions = g_hash_table_lookup (origins->services, service);
  if (!versions)
    {
      versions = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
      g_hash_table_insert (origins->services, g_strdup (service), versions);
    }
  int64_t *seen_us = g_hash_table_lookup (versions, version);
  if (seen_us)
    {
      *seen_us = MAX (*seen_us, now_us);
      return false;
    }
  g_hash_table_insert (versions, g_strdup (version), g_memdup2 (&now_us, sizeof now_us));
  return true;
}

bool
dy_stream_origins_is_mixed (const DyStreamOrigins *origins, const char *service)
{
  GHashTable *versions = g_hash_table_lookup (origins->services, service);
  return versions && g_hash_table_size (versions) > 1;
}

bool
dy_stream_origins_has_one_version (const DyStreamOrigins *origins, const char *service)
{
  GHashTable *versions = g_hash_table_lookup (origins->services, service);
  return versions && g_hash_table_size (versions) == 1;
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
  GHashTableIter iter;
  gpointer version = NULL;
  if (stream)
    return strcmp (stream->service, service) == 0 ? stream->version : NULL;
  if (!complete || !dy_stream_origins_has_one_version (origins, service))
    return NULL;
  g_hash_table_iter_init (&iter, g_hash_table_lookup (origins->services, service));
  g_hash_table_iter_next (&iter, &version, NULL);
  return version;
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
  gpointer versions;
  guint n_dropped = 0;
  g_hash_table_foreach_remove (origins->streams, is_expired, &now_us);
  g_hash_table_iter_init (&iter, origins->services);
  while (g_hash_table_iter_next (&iter, NULL, &versions))
    {
      n_dropped += g_hash_table_foreach_remove (versions, is_gone, &now_us);
      if (g_hash_table_size (versions) == 0)
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
  GHashTable *versions = g_hash_table_lookup (origins->services, service);
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
