/* Snapshots and memory size of a view; see lc-view.h. */
#include "lc-view.h"

#include <string.h>

/* === public: snapshot and size ============================================================== */

void
lc_view_snapshot_service (const LcView *view, const LcService *s, LcViewEach each, void *user)
{
  LcViewOp op = { .revision = view->revision, .kind = LC_VIEW_SERVICE };

  op.service = *s;
  each (user, &op);
  op.kind = LC_VIEW_ENDPOINT;
  for (uint32_t i = 0; i < s->n_endpoints; i++)
    {
      op.endpoint = s->endpoints[i];
      each (user, &op);
    }
  op.kind = LC_VIEW_SERVICE_MEMBERS;
  op.service = *s;
  each (user, &op);
  op.kind = LC_VIEW_FORMER;
  for (uint32_t i = 0; i < s->n_former; i++)
    {
      const LcFormerSet *set = &s->former[i];

      memset (&op.former, 0, sizeof op.former);
      op.former.service_id = s->id;
      op.former.since_revision = set->since_revision;
      op.former.until_revision = set->until_revision;
      if (set->n_endpoints == 0)
        each (user, &op);
      for (uint32_t k = 0; k < set->n_endpoints; k++)
        {
          op.former.endpoint = set->endpoints[k];
          each (user, &op);
        }
    }
}

void
lc_view_snapshot_dcs (const LcView *view, LcViewEach each, void *user)
{
  LcViewOp op = { .revision = view->revision, .kind = LC_VIEW_SETTLED };

  op.settled_revision = view->settled_revision;
  each (user, &op);
  op.kind = LC_VIEW_DC;
  for (guint i = 0; i < view->dcs->len; i++)
    {
      op.dc = g_array_index (view->dcs, LcDataCentre, i);
      each (user, &op);
    }
}

void
lc_view_snapshot (const LcView *view, LcViewEach each, void *user)
{
  LcViewOp op = { .revision = view->revision };
  GHashTableIter iter;
  gpointer value;

  lc_view_snapshot_dcs (view, each, user);
  op.kind = LC_VIEW_BALANCER;
  for (guint i = 0; i < view->balancers->len; i++)
    {
      op.balancer = g_array_index (view->balancers, LcBalancer, i);
      each (user, &op);
    }
  g_hash_table_iter_init (&iter, view->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    lc_view_snapshot_service (view, value, each, user);
  op.kind = LC_VIEW_ADDRESS;
  g_hash_table_iter_init (&iter, view->addresses);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      op.address = *(LcAddress *)value;
      each (user, &op);
    }
  op.kind = LC_VIEW_ROUTE;
  for (guint i = 0; i < view->routes->len; i++)
    {
      op.route = g_array_index (view->routes, LcRoute, i);
      each (user, &op);
    }
}

size_t
lc_view_memory_bytes (const LcView *view)
{
  static const size_t HASH_ENTRY_BYTES = 32;
  size_t bytes = view->dcs->len * sizeof (LcDataCentre) +
                 view->balancers->len * sizeof (LcBalancer) + view->routes->len * sizeof (LcRoute);
  GHashTableIter iter;
  gpointer value;

  bytes += g_hash_table_size (view->addresses) *
           (sizeof (LcAddress) + sizeof (uint64_t) + HASH_ENTRY_BYTES);
  bytes += 2 * (size_t)g_hash_table_size (view->endpoints) * HASH_ENTRY_BYTES;
  bytes += (size_t)g_hash_table_size (view->service_names) * HASH_ENTRY_BYTES;
  bytes += (size_t)g_hash_table_size (view->route_hosts) * (HASH_ENTRY_BYTES + sizeof (GArray));
  g_hash_table_iter_init (&iter, view->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const LcService *s = value;

      bytes += sizeof *s + HASH_ENTRY_BYTES + s->n_endpoints * sizeof *s->endpoints;
      for (uint32_t i = 0; i < s->n_former; i++)
        bytes += sizeof s->former[i] + s->former[i].n_endpoints * sizeof (LcEndpoint);
    }
  return bytes;
}
