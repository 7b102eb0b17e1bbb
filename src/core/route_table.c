#include "core/route_table.h"

#include <string.h>

static void
free_route (gpointer data)
{
  DyRoute *route = data;
  for (guint i = 0; i < route->targets->len; i++)
    g_free (g_array_index (route->targets, DyRouteTarget, i).service);
  g_array_unref (route->targets);
  g_free (route->name);
  g_free (route->prefix);
  g_free (route);
}

static void
free_account (gpointer data)
{
  DyRouteAccount *account = data;
  g_free (account->name);
  g_free (account);
}

static void
free_service (gpointer data)
{
  DyRouteService *service = data;
  g_free (service->name);
  g_free (service->health_path);
  g_free (service);
}

static void
free_routes (gpointer data)
{
  g_ptr_array_unref (data);
}

void
dy_route_table_init (DyRouteTable *table)
{
  memset (table, 0, sizeof *table);
  table->hosts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_routes);
  table->accounts = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_account);
  table->keys = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  table->services = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_service);
}

void
dy_route_table_finish (DyRouteTable *table)
{
  if (!table->hosts)
    return;
  g_hash_table_unref (table->hosts);
  g_hash_table_unref (table->keys);
  g_hash_table_unref (table->accounts);
  g_hash_table_unref (table->services);
  memset (table, 0, sizeof *table);
}

DyRoute *
dy_route_table_add_route (DyRouteTable *table, const char *host, const char *prefix)
{
  char *name = g_ascii_strdown (host, -1);
  GPtrArray *routes = g_hash_table_lookup (table->hosts, name);
  if (!routes)
    {
      routes = g_ptr_array_new_with_free_func (free_route);
      g_hash_table_insert (table->hosts, g_strdup (name), routes);
    }
  g_free (name);
  DyRoute *route = g_new0 (DyRoute, 1);
  route->prefix = g_strdup (prefix);
  route->max_attempts = 1;
  route->targets = g_array_new (FALSE, TRUE, sizeof (DyRouteTarget));
  g_ptr_array_add (routes, route);
  return route;
}

void
dy_route_add_target (DyRoute *route, const char *service, uint32_t weight)
{
  DyRouteTarget target = { g_strdup (service), weight };
  g_array_append_val (route->targets, target);
}

static gint
compare_routes (gconstpointer a, gconstpointer b)
{
  size_t n_a = strlen ((*(const DyRoute *const *) a)->prefix);
  size_t n_b = strlen ((*(const DyRoute *const *) b)->prefix);
  return n_a < n_b ? 1 : n_a > n_b ? -1 : 0;
}

void
dy_route_table_sort (DyRouteTable *table)
{
  GHashTableIter iter;
  gpointer routes;
  g_hash_table_iter_init (&iter, table->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &routes))
    g_ptr_array_sort (routes, compare_routes);
}

DyRouteAccount *
dy_route_table_add_account (DyRouteTable *table, const char *name)
{
  DyRouteAccount *account = g_new0 (DyRouteAccount, 1);
  account->name = g_strdup (name);
  account->prepaid_tokens = -1;
  g_hash_table_replace (table->accounts, account->name, account);
  return account;
}

void
dy_route_table_add_key (DyRouteTable *table, const char *key, DyRouteAccount *account)
{
  g_hash_table_insert (table->keys, g_strdup (key), account);
}

DyRouteService *
dy_route_table_add_service (DyRouteTable *table, const char *name)
{
  DyRouteService *service = g_new0 (DyRouteService, 1);
  service->name = g_strdup (name);
  g_hash_table_replace (table->services, service->name, service);
  return service;
}

const DyRoute *
dy_route_table_find (const DyRouteTable *table, const char *host, const char *path)
{
  char *name = g_ascii_strdown (host, (gssize) strcspn (host, ":"));
  const GPtrArray *routes = g_hash_table_lookup (table->hosts, name);
  g_free (name);
  for (guint i = 0; routes && i < routes->len; i++)
    {
      const DyRoute *route = g_ptr_array_index (routes, i);
      if (g_str_has_prefix (path, route->prefix))
        return route;
    }
  return NULL;
}

const char *
dy_route_pick_target (const DyRoute *route, uint32_t draw)
{
  uint64_t sum = 0;
  for (guint i = 0; i < route->targets->len; i++)
    sum += g_array_index (route->targets, DyRouteTarget, i).weight;
  if (sum == 0)
    return route->targets->len > 0 ? g_array_index (route->targets, DyRouteTarget, 0).service
                                   : NULL;
  uint64_t rest = draw % sum;
  for (guint i = 0; i < route->targets->len; i++)
    {
      const DyRouteTarget *target = &g_array_index (route->targets, DyRouteTarget, i);
      if (rest < target->weight)
        return target->service;
      rest -= target->weight;
    }
  return NULL;
}

const DyRouteAccount *
dy_route_table_account (const DyRouteTable *table, const char *key)
{
  return key ? g_hash_table_lookup (table->keys, key) : NULL;
}

const DyRouteService *
dy_route_table_service (const DyRouteTable *table, const char *name)
{
  return name ? g_hash_table_lookup (table->services, name) : NULL;
}
