#include "lc-scope.h"

#include <string.h>

void
lc_scope_resolve (LcScope *scope, const LcView *view)
{
  const LcService *s = lc_view_service_by_name (view, scope->service);
  const LcDataCentre *dc = lc_view_dc_by_name (view, scope->data_centre);

  scope->service_id = s != NULL ? s->id : 0;
  scope->dc_id = dc != NULL ? dc->id : 0;
}

/* A service that is removed and opened again under the same name has a new id. */
static bool
lc_scope__includes_service (LcScope *scope, const LcService *service)
{
  if (strcmp (service->name, scope->service) == 0)
    scope->service_id = service->id;
  return service->id == scope->service_id;
}

/* An agent needs only the addresses of its service that restrict where flows may go.  The operation
 * that removes homes still names them, so it passes. */
static bool
lc_scope__includes_address (const LcScope *scope, const LcAddress *address)
{
  return address->service_id == scope->service_id && address->homes[0] != '\0';
}

static void
lc_scope__update_dc (LcScope *scope, const LcDataCentre *dc)
{
  if (strcmp (dc->name, scope->data_centre) == 0)
    scope->dc_id = dc->id;
}

bool
lc_scope_includes (LcScope *scope, const LcViewOp *op)
{
  if (!scope->is_scoped)
    return true;
  switch (op->kind)
    {
    case LC_VIEW_DC:
      lc_scope__update_dc (scope, &op->dc);
      return true;
    case LC_VIEW_SETTLED:
    case LC_VIEW_BALANCER_REMOVED: /* carries the id alone */
      return true;
    case LC_VIEW_BALANCER:
      return op->balancer.dc == scope->dc_id;
    case LC_VIEW_SERVICE:
    case LC_VIEW_SERVICE_MEMBERS:
      return lc_scope__includes_service (scope, &op->service);
    case LC_VIEW_SERVICE_REMOVED:
      return op->service.id == scope->service_id;
    case LC_VIEW_ENDPOINT:
    case LC_VIEW_ENDPOINT_REMOVED:
      return op->endpoint.service_id == scope->service_id;
    case LC_VIEW_FORMER:
      return op->former.service_id == scope->service_id;
    case LC_VIEW_ADDRESS:
    case LC_VIEW_ADDRESS_REMOVED:
      return lc_scope__includes_address (scope, &op->address);
    case LC_VIEW_ROUTE:
    case LC_VIEW_ROUTE_REMOVED:
      return false;
    }
  return false;
}

static void
lc_scope__each_balancer (const LcScope *scope, const LcView *view, LcViewEach each, void *user)
{
  LcViewOp op = { .revision = view->revision, .kind = LC_VIEW_BALANCER };

  for (guint i = 0; i < view->balancers->len; i++)
    {
      const LcBalancer *b = &g_array_index (view->balancers, LcBalancer, i);

      if (b->dc != scope->dc_id)
        continue;
      op.balancer = *b;
      each (user, &op);
    }
}

static void
lc_scope__each_address (const LcScope *scope, const LcView *view, LcViewEach each, void *user)
{
  LcViewOp op = { .revision = view->revision, .kind = LC_VIEW_ADDRESS };
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, view->addresses);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      op.address = *(const LcAddress *)value;
      if (lc_scope__includes_address (scope, &op.address))
        each (user, &op);
    }
}

void
lc_scope_snapshot (const LcScope *scope, const LcView *view, LcViewEach each, void *user)
{
  const LcService *s;

  if (!scope->is_scoped)
    {
      lc_view_snapshot (view, each, user);
      return;
    }
  lc_view_snapshot_dcs (view, each, user);
  lc_scope__each_balancer (scope, view, each, user);
  s = lc_view_service (view, scope->service_id);
  if (s != NULL)
    lc_view_snapshot_service (view, s, each, user);
  lc_scope__each_address (scope, view, each, user);
}

static size_t
lc_scope__service_ops (const LcService *s)
{
  size_t n = 2 + (size_t)s->n_endpoints;

  for (uint32_t i = 0; i < s->n_former; i++)
    n += MAX (1, s->former[i].n_endpoints);
  return n;
}

size_t
lc_scope_snapshot_ops (const LcScope *scope, const LcView *view)
{
  const LcService *s = lc_view_service (view, scope->service_id);
  size_t n = 1 + (size_t)view->dcs->len;

  if (!scope->is_scoped)
    return n + view->balancers->len + view->routes->len +
           2 * (size_t)g_hash_table_size (view->services) + g_hash_table_size (view->endpoints) +
           g_hash_table_size (view->addresses);
  for (guint i = 0; i < view->balancers->len; i++)
    n += g_array_index (view->balancers, LcBalancer, i).dc == scope->dc_id ? 1 : 0;
  return s != NULL ? n + lc_scope__service_ops (s) : n;
}
