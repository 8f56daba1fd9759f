#include "lc-view-private.h"

#include <string.h>

/* === public: look-ups ======================================================================= */

const LcService *
lc_view_service (const LcView *view, LcServiceId id)
{
  return lc_view__find_service (view, id);
}

static const LcService *
lc_view__scan_service (const LcView *view, const char *name)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, view->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (strcmp (((LcService *)value)->name, name) == 0)
      return value;
  return NULL;
}

const LcService *
lc_view_service_by_name (const LcView *view, const char *name)
{
  gpointer id = g_hash_table_lookup (view->service_names, lc_view__name_key (name));
  const LcService *s;

  if (id == NULL)
    return NULL;
  s = lc_view__find_service (view, GPOINTER_TO_UINT (id));
  return s != NULL && strcmp (s->name, name) == 0 ? s : lc_view__scan_service (view, name);
}

const LcEndpoint *
lc_view_endpoint (const LcView *view, LcEndpointId id)
{
  gpointer service_id = g_hash_table_lookup (view->endpoints, lc_view__key (id));
  const LcService *s;
  uint32_t at;

  if (service_id == NULL)
    return NULL;
  s = lc_view__find_service (view, GPOINTER_TO_UINT (service_id));
  at = lc_view__lower_bound (s->endpoints, s->n_endpoints, id);
  return at < s->n_endpoints && s->endpoints[at].id == id ? &s->endpoints[at] : NULL;
}

static const LcEndpoint *
lc_view__scan_endpoint (const LcView *view, const char *name)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, view->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const LcService *s = value;

      for (uint32_t i = 0; i < s->n_endpoints; i++)
        if (strcmp (s->endpoints[i].name, name) == 0)
          return &s->endpoints[i];
    }
  return NULL;
}

const LcEndpoint *
lc_view_endpoint_by_name (const LcView *view, const char *name)
{
  gpointer id = g_hash_table_lookup (view->endpoint_names, lc_view__name_key (name));
  const LcEndpoint *e;

  if (id == NULL)
    return NULL;
  e = lc_view_endpoint (view, GPOINTER_TO_UINT (id));
  return e != NULL && strcmp (e->name, name) == 0 ? e : lc_view__scan_endpoint (view, name);
}

const LcDataCentre *
lc_view_dc (const LcView *view, LcDcId id)
{
  for (guint i = 0; i < view->dcs->len; i++)
    if (g_array_index (view->dcs, LcDataCentre, i).id == id)
      return &g_array_index (view->dcs, LcDataCentre, i);
  return NULL;
}

/* A region's number is the index of the first data centre in it. */
static uint8_t
lc_view__region_at (const LcView *view, guint index)
{
  const char *region = g_array_index (view->dcs, LcDataCentre, index).region;
  guint i = 0;

  if (region[0] == '\0')
    return LC_REGION_NONE;
  while (strcmp (g_array_index (view->dcs, LcDataCentre, i).region, region) != 0)
    i++;
  return i < LC_REGIONS_MAX ? (uint8_t)i : LC_REGION_NONE;
}

uint8_t
lc_view_region (const LcView *view, LcDcId id)
{
  for (guint i = 0; i < view->dcs->len; i++)
    if (g_array_index (view->dcs, LcDataCentre, i).id == id)
      return lc_view__region_at (view, i);
  return LC_REGION_NONE;
}

LcRegionMask
lc_view_home_regions (const LcView *view, const char *homes)
{
  LcRegionMask mask = 0;

  if (homes[0] == '\0')
    return LC_REGIONS_ALL;
  for (guint i = 0; i < view->dcs->len; i++)
    {
      uint8_t region = lc_view__region_at (view, i);

      if (region < LC_REGIONS_MAX &&
          lc_home_regions_include (homes, g_array_index (view->dcs, LcDataCentre, i).region))
        mask |= (LcRegionMask)1 << region;
    }
  return mask;
}

bool
lc_view_is_evacuated (const LcView *view, LcDcId id)
{
  const LcDataCentre *dc = lc_view_dc (view, id);

  return dc != NULL && dc->is_evacuated;
}

const LcDataCentre *
lc_view_dc_by_name (const LcView *view, const char *name)
{
  for (guint i = 0; i < view->dcs->len; i++)
    if (strcmp (g_array_index (view->dcs, LcDataCentre, i).name, name) == 0)
      return &g_array_index (view->dcs, LcDataCentre, i);
  return NULL;
}

const LcBalancer *
lc_view_balancer (const LcView *view, LcBalancerId id)
{
  return lc_view__find_balancer (view, id);
}

static const LcBalancer *
lc_view__scan_balancer (const LcView *view, const char *name)
{
  for (guint i = 0; i < view->balancers->len; i++)
    if (strcmp (g_array_index (view->balancers, LcBalancer, i).name, name) == 0)
      return &g_array_index (view->balancers, LcBalancer, i);
  return NULL;
}

const LcBalancer *
lc_view_balancer_by_name (const LcView *view, const char *name)
{
  gpointer id = g_hash_table_lookup (view->balancer_names, lc_view__name_key (name));
  const LcBalancer *b;

  if (id == NULL)
    return NULL;
  b = lc_view__find_balancer (view, GPOINTER_TO_UINT (id));
  return b != NULL && strcmp (b->name, name) == 0 ? b : lc_view__scan_balancer (view, name);
}

const LcAddress *
lc_view_address (const LcView *view, uint32_t ipv4, uint16_t port, LcProtocol protocol)
{
  uint64_t key = lc_view__address_key (ipv4, port, (uint8_t)protocol);

  return g_hash_table_lookup (view->addresses, &key);
}

static bool
lc_view__route_matches (
    const LcRoute *route, const char *host, size_t host_len, const char *path, size_t path_len)
{
  size_t prefix_len = strlen (route->path_prefix);

  if (route->host[0] != '\0' &&
      (strlen (route->host) != host_len || g_ascii_strncasecmp (route->host, host, host_len) != 0))
    return false;
  return prefix_len <= path_len && memcmp (route->path_prefix, path, prefix_len) == 0;
}

/* The best matching route indexed under one host: the longest path prefix, then the lowest id, so
 * that every process chooses the same whatever the order of its index. */
static const LcRoute *
lc_view__best_route (const LcView *view,
                     gpointer host_key,
                     const char *host,
                     size_t host_len,
                     const char *path,
                     size_t path_len)
{
  const GArray *ids = g_hash_table_lookup (view->route_hosts, host_key);
  const LcRoute *best = NULL;

  for (guint i = 0; ids != NULL && i < ids->len; i++)
    {
      const LcRoute *route = lc_view__find_route (view, g_array_index (ids, uint32_t, i));
      size_t best_len = best != NULL ? strlen (best->path_prefix) : 0;
      size_t len;

      if (route == NULL || !lc_view__route_matches (route, host, host_len, path, path_len))
        continue;
      len = strlen (route->path_prefix);
      if (best == NULL || len > best_len || (len == best_len && route->id < best->id))
        best = route;
    }
  return best;
}

/* A route of the named host precedes all "any host" routes. */
const LcRoute *
lc_view_route (
    const LcView *view, const char *host, size_t host_len, const char *path, size_t path_len)
{
  const LcRoute *best = NULL;

  if (host_len > 0)
    best = lc_view__best_route (view, lc_view__host_key (host, host_len), host, host_len, path,
                                path_len);
  if (best == NULL)
    best = lc_view__best_route (view, lc_view__host_key ("", 0), host, host_len, path, path_len);
  return best;
}
