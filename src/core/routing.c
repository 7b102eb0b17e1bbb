#include "core/routing.h"

#include <math.h>
#include <string.h>

enum
{
  BREAKER_FAILURES = 5,
  BREAKER_MIN_US = 500 * 1000,
  BREAKER_MAX_US = 10 * 1000 * 1000,
  REPORT_DECAY_US = 2 * 1000 * 1000, /* age at which a load report counts 1/e of its value */
  MAX_SAMPLES = 8,                   /* random draws before all endpoints are scanned */
};

/* The endpoints of one model: those in the router's own data centre, and the others. */
typedef struct
{
  GPtrArray *local;
  GPtrArray *remote;
} Candidates;

static void
free_endpoint (gpointer data)
{
  DyEndpoint *endpoint = data;
  g_free (endpoint->name);
  g_free (endpoint->url);
  g_free (endpoint->data_centre);
  g_strfreev (endpoint->models);
  g_free (endpoint);
}

static void
free_candidates (gpointer data)
{
  Candidates *candidates = data;
  g_ptr_array_unref (candidates->local);
  g_ptr_array_unref (candidates->remote);
  g_free (candidates);
}

static Candidates *
get_candidates (DyRouting *routing, const char *model)
{
  Candidates *candidates = g_hash_table_lookup (routing->by_model, model);
  if (candidates)
    return candidates;
  candidates = g_new (Candidates, 1);
  candidates->local = g_ptr_array_new ();
  candidates->remote = g_ptr_array_new ();
  g_hash_table_insert (routing->by_model, g_strdup (model), candidates);
  return candidates;
}

static void
index_endpoint (DyRouting *routing, DyEndpoint *endpoint)
{
  bool local = strcmp (endpoint->data_centre, routing->data_centre) == 0;
  for (gchar **model = endpoint->models; *model; model++)
    {
      Candidates *candidates = get_candidates (routing, *model);
      g_ptr_array_add (local ? candidates->local : candidates->remote, endpoint);
    }
}

static void
unindex_endpoint (DyRouting *routing, DyEndpoint *endpoint)
{
  for (gchar **model = endpoint->models; *model; model++)
    {
      Candidates *candidates = get_candidates (routing, *model);
      if (!g_ptr_array_remove_fast (candidates->local, endpoint))
        g_ptr_array_remove_fast (candidates->remote, endpoint);
    }
}

static bool
accepts_work (const DyEndpoint *endpoint, DyEndpointKind kind, int64_t now_us)
{
  if (endpoint->kind != kind || endpoint->declared_leaving || endpoint->reported_leaving)
    return false;
  if (endpoint->breaker == DY_BREAKER_CLOSED)
    return true;
  return endpoint->breaker == DY_BREAKER_OPEN && now_us >= endpoint->open_until_us;
}

static bool
is_avoided (const DyEndpoint *endpoint, const char *const *avoid)
{
  return avoid && g_strv_contains (avoid, endpoint->name);
}

static double
load_of (const DyEndpoint *endpoint, int64_t now_us)
{
  double age = (double) (now_us - endpoint->reported_us) / REPORT_DECAY_US;
  return endpoint->in_flight + endpoint->reported_load * exp (-MAX (age, 0.0));
}

static DyEndpoint *
less_loaded (DyEndpoint *a, DyEndpoint *b, int64_t now_us)
{
  if (!a || !b)
    return a ? a : b;
  return load_of (b, now_us) < load_of (a, now_us) ? b : a;
}

/* Returns the less loaded of two random endpoints of LIST that accept work. If the random draws
 * find none, returns the first one that does, or NULL. */
static DyEndpoint *
pick_from (DyRouting *routing,
           GPtrArray *list,
           DyEndpointKind kind,
           const char *const *avoid,
           int64_t now_us)
{
  DyEndpoint *best = NULL;
  int n_found = 0;
  if (list->len == 0)
    return NULL;
  for (int i = 0; i < MAX_SAMPLES && n_found < 2; i++)
    {
      DyEndpoint *endpoint
          = g_ptr_array_index (list, g_rand_int_range (routing->rng, 0, (gint32) list->len));
      if (endpoint == best || !accepts_work (endpoint, kind, now_us)
          || is_avoided (endpoint, avoid))
        continue;
      best = less_loaded (best, endpoint, now_us);
      n_found++;
    }
  for (guint i = 0; i < list->len && !best; i++)
    {
      DyEndpoint *endpoint = g_ptr_array_index (list, i);
      if (accepts_work (endpoint, kind, now_us) && !is_avoided (endpoint, avoid))
        best = endpoint;
    }
  return best;
}

static DyEndpoint *
pick_local_first (DyRouting *routing,
                  Candidates *candidates,
                  DyEndpointKind kind,
                  const char *const *avoid,
                  int64_t now_us)
{
  DyEndpoint *endpoint = pick_from (routing, candidates->local, kind, avoid, now_us);
  if (endpoint)
    return endpoint;
  return pick_from (routing, candidates->remote, kind, avoid, now_us);
}

void
dy_routing_init (DyRouting *routing, const char *data_centre, uint32_t seed)
{
  routing->data_centre = g_strdup (data_centre);
  routing->rng = g_rand_new_with_seed (seed);
  routing->by_name = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_endpoint);
  routing->by_model = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_candidates);
  routing->all = g_ptr_array_new ();
}

void
dy_routing_finish (DyRouting *routing)
{
  g_ptr_array_unref (routing->all);
  g_hash_table_unref (routing->by_model);
  g_hash_table_unref (routing->by_name);
  g_rand_free (routing->rng);
  g_free (routing->data_centre);
  memset (routing, 0, sizeof *routing);
}

void
dy_routing_put (DyRouting *routing, const DyEndpointSpec *spec)
{
  DyEndpoint *endpoint = dy_routing_find (routing, spec->name);
  if (!endpoint)
    {
      endpoint = g_new0 (DyEndpoint, 1);
      endpoint->name = g_strdup (spec->name);
      dy_backoff_init (&endpoint->backoff, BREAKER_MIN_US, BREAKER_MAX_US);
      g_hash_table_insert (routing->by_name, endpoint->name, endpoint);
      g_ptr_array_add (routing->all, endpoint);
    }
  else
    {
      unindex_endpoint (routing, endpoint);
      g_free (endpoint->url);
      g_free (endpoint->data_centre);
      g_strfreev (endpoint->models);
    }
  endpoint->url = g_strdup (spec->url);
  endpoint->data_centre = g_strdup (spec->data_centre);
  endpoint->models = g_strdupv ((gchar **) spec->models);
  endpoint->kind = spec->kind;
  endpoint->idempotent = spec->idempotent;
  endpoint->declared_leaving = spec->leaving;
  index_endpoint (routing, endpoint);
}

void
dy_routing_remove (DyRouting *routing, const char *name)
{
  DyEndpoint *endpoint = dy_routing_find (routing, name);
  if (!endpoint)
    return;
  unindex_endpoint (routing, endpoint);
  g_ptr_array_remove_fast (routing->all, endpoint);
  g_hash_table_remove (routing->by_name, name);
}

bool
dy_routing_serves (const DyRouting *routing, const char *model, DyEndpointKind kind)
{
  const Candidates *candidates = g_hash_table_lookup (routing->by_model, model);
  if (!candidates)
    return false;
  const GPtrArray *lists[] = { candidates->local, candidates->remote };
  for (guint p = 0; p < G_N_ELEMENTS (lists); p++)
    for (guint i = 0; i < lists[p]->len; i++)
      if (((const DyEndpoint *) g_ptr_array_index (lists[p], i))->kind == kind)
        return true;
  return false;
}

bool
dy_routing_idempotent (const DyRouting *routing, const char *name)
{
  for (guint i = 0; i < routing->all->len; i++)
    {
      const DyEndpoint *endpoint = g_ptr_array_index (routing->all, i);
      if (endpoint->kind == DY_ENDPOINT_SERVICE && !endpoint->idempotent
          && g_strv_contains ((const gchar *const *) endpoint->models, name))
        return false;
    }
  return true;
}

DyEndpoint *
dy_routing_find (const DyRouting *routing, const char *name)
{
  return g_hash_table_lookup (routing->by_name, name);
}

DyEndpoint *
dy_routing_pick (DyRouting *routing,
                 const char *model,
                 DyEndpointKind kind,
                 const char *const *avoid,
                 int64_t now_us)
{
  Candidates *candidates = g_hash_table_lookup (routing->by_model, model);
  if (!candidates)
    return NULL;
  DyEndpoint *endpoint = pick_local_first (routing, candidates, kind, avoid, now_us);
  if (!endpoint && avoid)
    endpoint = pick_local_first (routing, candidates, kind, NULL, now_us);
  if (!endpoint)
    return NULL;
  if (endpoint->breaker == DY_BREAKER_OPEN)
    endpoint->breaker = DY_BREAKER_PROBING;
  endpoint->in_flight++;
  return endpoint;
}

bool
dy_routing_done (DyRouting *routing, const char *name, bool failed, int64_t now_us)
{
  DyEndpoint *endpoint = dy_routing_find (routing, name);
  if (!endpoint)
    return false;
  DyBreakerState before = endpoint->breaker;
  if (endpoint->in_flight > 0)
    endpoint->in_flight--;
  if (!failed)
    {
      endpoint->n_failures = 0;
      endpoint->breaker = DY_BREAKER_CLOSED;
      dy_backoff_reset (&endpoint->backoff);
      return before != DY_BREAKER_CLOSED;
    }
  endpoint->n_failures++;
  if (before == DY_BREAKER_OPEN)
    return false;
  if (before != DY_BREAKER_PROBING && endpoint->n_failures < BREAKER_FAILURES)
    return false;
  endpoint->breaker = DY_BREAKER_OPEN;
  endpoint->open_until_us = now_us + dy_backoff_next_us (&endpoint->backoff, routing->rng);
  return before == DY_BREAKER_CLOSED;
}

void
dy_routing_report (DyRouting *routing, const char *name, double load, bool leaving, int64_t now_us)
{
  DyEndpoint *endpoint = dy_routing_find (routing, name);
  if (!endpoint)
    return;
  endpoint->reported_load = load;
  endpoint->reported_leaving = leaving;
  endpoint->reported_us = now_us;
}
