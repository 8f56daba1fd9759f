#include "lc-view-private.h"

#include <string.h>
#include <xxhash.h>

/* === private: keys and storage ============================================================== */

gpointer
lc_view__key (uint32_t id)
{
  return GUINT_TO_POINTER (id);
}

uint64_t
lc_view__address_key (uint32_t ipv4, uint16_t port, uint8_t protocol)
{
  return ((uint64_t)ipv4 << 32) | ((uint64_t)port << 8) | protocol;
}

/* GLib's hash of a 64-bit key is its low half, here the port and protocol: all addresses of one
 * port would share a bucket. */
static guint
lc_view__address_hash (gconstpointer key)
{
  return (guint)XXH3_64bits (key, sizeof (uint64_t));
}

/* Names are indexed by their hash alone: a look-up compares the name that it finds, and two names
 * of one 64-bit hash (never observed) cost a scan. */
gpointer
lc_view__name_key (const char *name)
{
  return (gpointer)(uintptr_t)XXH3_64bits (name, strlen (name));
}

gpointer
lc_view__host_key (const char *host, size_t len)
{
  char lower[LC_PATH_MAX];
  size_t n = MIN (len, sizeof lower);

  for (size_t i = 0; i < n; i++)
    lower[i] = g_ascii_tolower (host[i]);
  return (gpointer)(uintptr_t)XXH3_64bits (lower, n);
}

static void
lc_view__ids_free (gpointer data)
{
  g_array_free (data, TRUE);
}

/* Removes a name from an index, unless it now maps to another id. */
static void
lc_view__remove_name (GHashTable *names, const char *name, uint32_t id)
{
  if (g_hash_table_lookup (names, lc_view__name_key (name)) == lc_view__key (id))
    g_hash_table_remove (names, lc_view__name_key (name));
}

static void
lc_view__former_finish (LcFormerSet *former)
{
  g_free (former->endpoints);
}

static void
lc_view__service_free (gpointer data)
{
  LcService *s = data;

  for (uint32_t i = 0; i < s->n_former; i++)
    lc_view__former_finish (&s->former[i]);
  g_free (s->former);
  g_free (s->endpoints);
  g_free (s);
}

LcService *
lc_view__find_service (const LcView *view, LcServiceId id)
{
  return g_hash_table_lookup (view->services, lc_view__key (id));
}

/* === public: lifetime ======================================================================= */

void
lc_view_init (LcView *view)
{
  memset (view, 0, sizeof *view);
  view->services = g_hash_table_new_full (NULL, NULL, NULL, lc_view__service_free);
  view->endpoints = g_hash_table_new (NULL, NULL);
  view->addresses = g_hash_table_new_full (lc_view__address_hash, g_int64_equal, g_free, g_free);
  view->unsettled = g_hash_table_new (NULL, NULL);
  view->endpoint_names = g_hash_table_new (NULL, NULL);
  view->balancer_names = g_hash_table_new (NULL, NULL);
  view->service_names = g_hash_table_new (NULL, NULL);
  view->route_hosts = g_hash_table_new_full (NULL, NULL, NULL, lc_view__ids_free);
  view->dcs = g_array_new (FALSE, TRUE, sizeof (LcDataCentre));
  view->balancers = g_array_new (FALSE, TRUE, sizeof (LcBalancer));
  view->routes = g_array_new (FALSE, TRUE, sizeof (LcRoute));
}

void
lc_view_finish (LcView *view)
{
  g_hash_table_destroy (view->unsettled);
  g_hash_table_destroy (view->endpoint_names);
  g_hash_table_destroy (view->balancer_names);
  g_hash_table_destroy (view->service_names);
  g_hash_table_destroy (view->route_hosts);
  g_hash_table_destroy (view->services);
  g_hash_table_destroy (view->endpoints);
  g_hash_table_destroy (view->addresses);
  g_array_free (view->dcs, TRUE);
  g_array_free (view->balancers, TRUE);
  g_array_free (view->routes, TRUE);
  memset (view, 0, sizeof *view);
}

void
lc_view_clear (LcView *view)
{
  lc_view_finish (view);
  lc_view_init (view);
}

/* === private: present and former candidate sets ============================================= */

uint32_t
lc_view__lower_bound (const LcEndpoint *endpoints, uint32_t n, LcEndpointId id)
{
  uint32_t low = 0;
  uint32_t high = n;

  while (low < high)
    {
      uint32_t mid = low + (high - low) / 2;

      if (endpoints[mid].id < id)
        low = mid + 1;
      else
        high = mid;
    }
  return low;
}

static uint32_t
lc_view__copy_candidates (const LcService *s, LcEndpoint *out)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < s->n_endpoints; i++)
    if (lc_endpoint_is_candidate (&s->endpoints[i]))
      out[n++] = s->endpoints[i];
  return n;
}

/* Keeps the candidate set in force until `revision`; of several changes at one revision, only the
 * set before the first.  A service with returns_packets keeps none, as its flows are found without
 * them (lc-flow-return.h).  Each set is a copy of the members: a snapshot of 163 endpoints that
 * were announced and restarted one by one is 1.76 MB on the wire with them and 5.7 KB without. */
static void
lc_view__push_former (LcService *s, LcRevision revision)
{
  LcFormerSet set = { .since_revision = s->membership_revision, .until_revision = revision };

  if (s->returns_packets)
    return;
  if (s->n_former > 0 && s->former[0].until_revision == revision)
    return;
  set.endpoints = g_new0 (LcEndpoint, s->n_endpoints + 1);
  set.n_endpoints = lc_view__copy_candidates (s, set.endpoints);
  s->former = g_renew (LcFormerSet, s->former, s->n_former + 1);
  memmove (&s->former[1], &s->former[0], s->n_former * sizeof *s->former);
  s->former[0] = set;
  s->n_former++;
}

static void
lc_view__settle_service (LcService *s, LcRevision settled)
{
  while (s->n_former > 0 && s->former[s->n_former - 1].until_revision <= settled)
    {
      s->n_former--;
      lc_view__former_finish (&s->former[s->n_former]);
    }
}

/* Whether replacing `before` by `after` (either may be NULL) changes which endpoints are
 * candidates, or the instance, address, weight or data centre of one. */
static bool
lc_view__changes_candidates (const LcEndpoint *before, const LcEndpoint *after)
{
  bool was = before != NULL && lc_endpoint_is_candidate (before);
  bool is = after != NULL && lc_endpoint_is_candidate (after);

  if (was != is)
    return true;
  if (!was)
    return false;
  return before->instance != after->instance || before->weight_percent != after->weight_percent ||
         before->ipv4 != after->ipv4 || before->flow_port != after->flow_port ||
         before->peer_port != after->peer_port || before->dc != after->dc;
}

static void
lc_view__record_change (LcView *view,
                        LcService *s,
                        const LcEndpoint *before,
                        const LcEndpoint *after,
                        LcRevision revision)
{
  if (!lc_view__changes_candidates (before, after))
    return;
  lc_view__push_former (s, revision);
  if (s->n_former > 0)
    g_hash_table_add (view->unsettled, s);
  s->membership_revision = revision;
}

/* === private: one function per operation ==================================================== */

static void
lc_view__put_dc (LcView *view, const LcDataCentre *dc)
{
  for (guint i = 0; i < view->dcs->len; i++)
    {
      LcDataCentre *known = &g_array_index (view->dcs, LcDataCentre, i);

      if (known->id == dc->id)
        {
          *known = *dc;
          return;
        }
    }
  g_array_append_val (view->dcs, *dc);
}

/* Index of the first balancer whose id is not below `id`. */
static guint
lc_view__balancer_at (const LcView *view, LcBalancerId id)
{
  guint low = 0;
  guint high = view->balancers->len;

  while (low < high)
    {
      guint mid = low + (high - low) / 2;

      if (g_array_index (view->balancers, LcBalancer, mid).id < id)
        low = mid + 1;
      else
        high = mid;
    }
  return low;
}

LcBalancer *
lc_view__find_balancer (const LcView *view, LcBalancerId id)
{
  guint at = lc_view__balancer_at (view, id);

  if (at == view->balancers->len || g_array_index (view->balancers, LcBalancer, at).id != id)
    return NULL;
  return &g_array_index (view->balancers, LcBalancer, at);
}

static void
lc_view__put_balancer (LcView *view, const LcBalancer *b)
{
  LcBalancer *known = lc_view__find_balancer (view, b->id);

  g_hash_table_insert (view->balancer_names, lc_view__name_key (b->name), lc_view__key (b->id));
  if (known != NULL)
    *known = *b;
  else
    g_array_insert_vals (view->balancers, lc_view__balancer_at (view, b->id), b, 1);
}

static void
lc_view__remove_balancer (LcView *view, LcBalancerId id)
{
  const LcBalancer *known = lc_view__find_balancer (view, id);

  if (known == NULL)
    return;
  lc_view__remove_name (view->balancer_names, known->name, id);
  g_array_remove_index (view->balancers, lc_view__balancer_at (view, id));
}

/* Stores the settings of a service and keeps its membership. */
static void
lc_view__put_service (LcView *view, const LcService *service)
{
  LcService *s = lc_view__find_service (view, service->id);

  if (s == NULL)
    {
      s = g_new0 (LcService, 1);
      s->id = service->id;
      g_hash_table_insert (view->services, lc_view__key (s->id), s);
    }
  else
    lc_view__remove_name (view->service_names, s->name, s->id);
  g_hash_table_insert (view->service_names, lc_view__name_key (service->name),
                       lc_view__key (s->id));
  memcpy (s->name, service->name, sizeof s->name);
  s->request_timeout_ms = service->request_timeout_ms;
  s->caller_limit = service->caller_limit;
  s->retry_percent = service->retry_percent;
  s->objective_ppm = service->objective_ppm;
  s->objective_latency_ms = service->objective_latency_ms;
  s->cold_rate_mrps = service->cold_rate_mrps;
  s->idle_timeout_ms = service->idle_timeout_ms;
  s->former_idle_timeout_ms = service->former_idle_timeout_ms;
  s->idle_revision = service->idle_revision;
  s->returns_packets = service->returns_packets;
  if (s->returns_packets)
    {
      lc_view__settle_service (s, UINT64_MAX);
      g_hash_table_remove (view->unsettled, s);
    }
}

static gboolean
lc_view__address_is_of (gpointer key, gpointer value, gpointer user)
{
  const LcAddress *a = value;

  (void)key;
  return a->service_id == GPOINTER_TO_UINT (user);
}

/* Index of the first route whose id is not below `id`. */
static guint
lc_view__route_at (const LcView *view, uint32_t id)
{
  guint low = 0;
  guint high = view->routes->len;

  while (low < high)
    {
      guint mid = low + (high - low) / 2;

      if (g_array_index (view->routes, LcRoute, mid).id < id)
        low = mid + 1;
      else
        high = mid;
    }
  return low;
}

const LcRoute *
lc_view__find_route (const LcView *view, uint32_t id)
{
  guint at = lc_view__route_at (view, id);

  if (at == view->routes->len || g_array_index (view->routes, LcRoute, at).id != id)
    return NULL;
  return &g_array_index (view->routes, LcRoute, at);
}

static void
lc_view__unindex_host (LcView *view, const LcRoute *route)
{
  gpointer key = lc_view__host_key (route->host, strlen (route->host));
  GArray *ids = g_hash_table_lookup (view->route_hosts, key);

  for (guint i = 0; ids != NULL && i < ids->len; i++)
    if (g_array_index (ids, uint32_t, i) == route->id)
      {
        g_array_remove_index_fast (ids, i);
        break;
      }
  if (ids != NULL && ids->len == 0)
    g_hash_table_remove (view->route_hosts, key);
}

static void
lc_view__index_host (LcView *view, const LcRoute *route)
{
  gpointer key = lc_view__host_key (route->host, strlen (route->host));
  GArray *ids = g_hash_table_lookup (view->route_hosts, key);

  if (ids == NULL)
    {
      ids = g_array_new (FALSE, FALSE, sizeof (uint32_t));
      g_hash_table_insert (view->route_hosts, key, ids);
    }
  g_array_append_val (ids, route->id);
}

static void
lc_view__remove_route (LcView *view, uint32_t id)
{
  const LcRoute *route = lc_view__find_route (view, id);

  if (route == NULL)
    return;
  lc_view__unindex_host (view, route);
  g_array_remove_index (view->routes, lc_view__route_at (view, id));
}

static void
lc_view__put_route (LcView *view, const LcRoute *route)
{
  lc_view__remove_route (view, route->id);
  g_array_insert_vals (view->routes, lc_view__route_at (view, route->id), route, 1);
  lc_view__index_host (view, route);
}

static void
lc_view__remove_routes_of (LcView *view, LcServiceId id)
{
  for (guint i = view->routes->len; i > 0; i--)
    {
      const LcRoute *route = &g_array_index (view->routes, LcRoute, i - 1);

      if (route->service_id == id)
        lc_view__remove_route (view, route->id);
    }
}

static void
lc_view__remove_service (LcView *view, LcServiceId id)
{
  LcService *s = lc_view__find_service (view, id);

  if (s == NULL)
    return;
  for (uint32_t i = 0; i < s->n_endpoints; i++)
    {
      g_hash_table_remove (view->endpoints, lc_view__key (s->endpoints[i].id));
      lc_view__remove_name (view->endpoint_names, s->endpoints[i].name, s->endpoints[i].id);
    }
  lc_view__remove_name (view->service_names, s->name, id);
  g_hash_table_remove (view->unsettled, s);
  g_hash_table_foreach_remove (view->addresses, lc_view__address_is_of, lc_view__key (id));
  lc_view__remove_routes_of (view, id);
  g_hash_table_remove (view->services, lc_view__key (id));
}

static int
lc_view__put_endpoint (LcView *view, const LcEndpoint *e, LcRevision revision, LcError *error)
{
  LcService *s = lc_view__find_service (view, e->service_id);
  uint32_t at;

  if (s == NULL)
    return lc_error_set (error, LC_ERR_NOT_FOUND, "open the service before announcing endpoints",
                         "endpoint %s names unknown service %u", e->name, e->service_id);
  at = lc_view__lower_bound (s->endpoints, s->n_endpoints, e->id);
  g_hash_table_insert (view->endpoint_names, lc_view__name_key (e->name), lc_view__key (e->id));
  if (at < s->n_endpoints && s->endpoints[at].id == e->id)
    {
      lc_view__record_change (view, s, &s->endpoints[at], e, revision);
      if (s->endpoints[at].ipv4 != e->ipv4)
        s->roster_revision = revision;
      s->endpoints[at] = *e;
      return 0;
    }
  lc_view__record_change (view, s, NULL, e, revision);
  s->roster_revision = revision;
  s->endpoints = g_renew (LcEndpoint, s->endpoints, s->n_endpoints + 1);
  memmove (&s->endpoints[at + 1], &s->endpoints[at], (s->n_endpoints - at) * sizeof *e);
  s->endpoints[at] = *e;
  s->n_endpoints++;
  g_hash_table_insert (view->endpoints, lc_view__key (e->id), lc_view__key (s->id));
  return 0;
}

static void
lc_view__remove_endpoint (LcView *view, const LcEndpoint *e, LcRevision revision)
{
  LcService *s = lc_view__find_service (view, e->service_id);
  uint32_t at;

  if (s == NULL)
    return;
  at = lc_view__lower_bound (s->endpoints, s->n_endpoints, e->id);
  if (at >= s->n_endpoints || s->endpoints[at].id != e->id)
    return;
  lc_view__record_change (view, s, &s->endpoints[at], NULL, revision);
  lc_view__remove_name (view->endpoint_names, s->endpoints[at].name, e->id);
  memmove (&s->endpoints[at], &s->endpoints[at + 1], (s->n_endpoints - at - 1) * sizeof *e);
  s->n_endpoints--;
  g_hash_table_remove (view->endpoints, lc_view__key (e->id));
}

static void
lc_view__put_address (LcView *view, const LcAddress *address)
{
  uint64_t key = lc_view__address_key (address->ipv4, address->port, address->protocol);
  uint64_t *owned_key = g_new (uint64_t, 1);
  LcAddress *owned = g_new (LcAddress, 1);

  *owned_key = key;
  *owned = *address;
  g_hash_table_replace (view->addresses, owned_key, owned);
}

static void
lc_view__remove_address (LcView *view, const LcAddress *address)
{
  uint64_t key = lc_view__address_key (address->ipv4, address->port, address->protocol);

  g_hash_table_remove (view->addresses, &key);
}

static void
lc_view__settle (LcView *view, LcRevision settled)
{
  GHashTableIter iter;
  gpointer value;

  if (settled <= view->settled_revision)
    return;
  view->settled_revision = settled;
  g_hash_table_iter_init (&iter, view->unsettled);
  while (g_hash_table_iter_next (&iter, &value, NULL))
    {
      lc_view__settle_service (value, settled);
      if (((LcService *)value)->n_former == 0)
        g_hash_table_iter_remove (&iter);
    }
}

/* Adds one endpoint to a former set while a snapshot is loaded. */
static void
lc_view__put_former (LcView *view, const LcViewOp *op)
{
  const LcEndpoint *e = &op->former.endpoint;
  LcService *s = lc_view__find_service (view, op->former.service_id);
  LcFormerSet *set = NULL;

  if (s == NULL)
    return;
  for (uint32_t i = 0; i < s->n_former; i++)
    if (s->former[i].until_revision == op->former.until_revision)
      set = &s->former[i];
  if (set == NULL)
    {
      s->former = g_renew (LcFormerSet, s->former, s->n_former + 1);
      set = &s->former[s->n_former++];
      memset (set, 0, sizeof *set);
      set->since_revision = op->former.since_revision;
      set->until_revision = op->former.until_revision;
      g_hash_table_add (view->unsettled, s);
    }
  if (e->id == 0)
    return;
  set->endpoints = g_renew (LcEndpoint, set->endpoints, set->n_endpoints + 1);
  set->endpoints[set->n_endpoints++] = *e;
}

static void
lc_view__put_members_revision (LcView *view, const LcService *service)
{
  LcService *s = lc_view__find_service (view, service->id);

  if (s != NULL)
    {
      /* Drops the former sets that loading the endpoints has created; those of the snapshot follow
       * this operation. */
      lc_view__settle_service (s, UINT64_MAX);
      g_hash_table_remove (view->unsettled, s);
      s->membership_revision = service->membership_revision;
      if (service->roster_revision != 0) /* older versions do not send it */
        s->roster_revision = service->roster_revision;
    }
}

/* === public: change ========================================================================= */

int
lc_view_apply (LcView *view, const LcViewOp *op, LcError *error)
{
  int r = 0;

  if (op->revision < view->revision)
    return lc_error_set (error, LC_ERR_STALE, "ask the peer for a delta from the newer revision",
                         "operation of revision %" G_GUINT64_FORMAT
                         " is older than the view's %" G_GUINT64_FORMAT,
                         (guint64)op->revision, (guint64)view->revision);
  switch (op->kind)
    {
    case LC_VIEW_DC:
      lc_view__put_dc (view, &op->dc);
      break;
    case LC_VIEW_BALANCER:
      lc_view__put_balancer (view, &op->balancer);
      break;
    case LC_VIEW_BALANCER_REMOVED:
      lc_view__remove_balancer (view, op->balancer.id);
      break;
    case LC_VIEW_SERVICE:
      lc_view__put_service (view, &op->service);
      break;
    case LC_VIEW_SERVICE_REMOVED:
      lc_view__remove_service (view, op->service.id);
      break;
    case LC_VIEW_ENDPOINT:
      r = lc_view__put_endpoint (view, &op->endpoint, op->revision, error);
      break;
    case LC_VIEW_ENDPOINT_REMOVED:
      lc_view__remove_endpoint (view, &op->endpoint, op->revision);
      break;
    case LC_VIEW_ADDRESS:
      lc_view__put_address (view, &op->address);
      break;
    case LC_VIEW_ADDRESS_REMOVED:
      lc_view__remove_address (view, &op->address);
      break;
    case LC_VIEW_ROUTE:
      lc_view__put_route (view, &op->route);
      break;
    case LC_VIEW_ROUTE_REMOVED:
      lc_view__remove_route (view, op->route.id);
      break;
    case LC_VIEW_SETTLED:
      lc_view__settle (view, op->settled_revision);
      break;
    case LC_VIEW_FORMER:
      lc_view__put_former (view, op);
      break;
    case LC_VIEW_SERVICE_MEMBERS:
      lc_view__put_members_revision (view, &op->service);
      break;
    default:
      return lc_error_set (error, LC_ERR_INVALID, "upgrade this process to the sender's version",
                           "unknown view operation %d", (int)op->kind);
    }
  if (r == 0)
    view->revision = op->revision;
  return r;
}

void
lc_view_advance (LcView *view, LcRevision revision)
{
  view->revision = MAX (view->revision, revision);
}
