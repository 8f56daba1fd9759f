#include "lc-wire-view.h"

#include <string.h>

/* One allocation an operation: the message, its body and their strings. */
typedef struct
{
  Lc__Wire__ViewOp op;
  union
  {
    Lc__Wire__DataCentre dc;
    Lc__Wire__Balancer balancer;
    Lc__Wire__Service service;
    Lc__Wire__Endpoint endpoint;
    Lc__Wire__Address address;
    Lc__Wire__Route route;
  };
  Lc__Wire__Former former;
  LcViewOp source; /* owns the strings */
} LcWireViewOp;

/* === private: writing ======================================================================= */

static void
lc_wire_view__write_dc (LcWireViewOp *w)
{
  const LcDataCentre *dc = &w->source.dc;

  lc__wire__data_centre__init (&w->dc);
  w->dc.id = dc->id;
  w->dc.state = dc->state;
  w->dc.name = (char *)dc->name;
  w->dc.region = (char *)dc->region;
  w->dc.is_evacuated = dc->is_evacuated;
  w->dc.evacuation_revision = dc->evacuation_revision;
  w->dc.evacuation_wall_us = dc->evacuation_wall_us;
  w->op.dc = &w->dc;
  w->op.body_case = LC__WIRE__VIEW_OP__BODY_DC;
}

void
lc_wire_balancer_write (Lc__Wire__Balancer *message, const LcBalancer *b)
{
  lc__wire__balancer__init (message);
  message->id = b->id;
  message->instance = b->instance;
  message->dc = b->dc;
  message->state = b->state;
  message->ipv4 = b->ipv4;
  message->peer_port = b->peer_port;
  message->flow_port = b->flow_port;
  message->link_kbps = b->link_kbps;
  message->name = (char *)b->name;
}

static void
lc_wire_view__write_service (LcWireViewOp *w)
{
  const LcService *s = &w->source.service;

  lc__wire__service__init (&w->service);
  w->service.id = s->id;
  w->service.name = (char *)s->name;
  w->service.membership_revision = s->membership_revision;
  w->service.roster_revision = s->roster_revision;
  w->service.request_timeout_ms = s->request_timeout_ms;
  w->service.caller_limit = s->caller_limit;
  w->service.retry_percent = s->retry_percent;
  w->service.objective_ppm = s->objective_ppm;
  w->service.objective_latency_ms = s->objective_latency_ms;
  w->service.cold_rate_mrps = s->cold_rate_mrps;
  w->service.returns_packets = s->returns_packets;
  w->service.idle_timeout_ms = s->idle_timeout_ms;
  w->service.former_idle_timeout_ms = s->former_idle_timeout_ms;
  w->service.idle_revision = s->idle_revision;
  w->op.service = &w->service;
  w->op.body_case = LC__WIRE__VIEW_OP__BODY_SERVICE;
}

void
lc_wire_endpoint_write (Lc__Wire__Endpoint *message, const LcEndpoint *e)
{
  lc__wire__endpoint__init (message);
  message->id = e->id;
  message->service_id = e->service_id;
  message->instance = e->instance;
  message->dc = e->dc;
  message->state = e->state;
  message->slots = e->slots;
  message->weight_percent = e->weight_percent;
  message->peer_port = e->peer_port;
  message->flow_port = e->flow_port;
  message->ipv4 = e->ipv4;
  message->connection_limit = e->connection_limit;
  message->joined_revision = e->joined_revision;
  message->name = (char *)e->name;
}

static void
lc_wire_view__write_address (LcWireViewOp *w)
{
  const LcAddress *a = &w->source.address;

  lc__wire__address__init (&w->address);
  w->address.ipv4 = a->ipv4;
  w->address.port = a->port;
  w->address.protocol = a->protocol;
  w->address.service_id = a->service_id;
  w->address.homes = (char *)a->homes;
  w->address.moved_revision = a->moved_revision;
  w->address.former = w->source.address.former;
  w->address.n_former = a->n_former;
  w->op.address = &w->address;
  w->op.body_case = LC__WIRE__VIEW_OP__BODY_ADDRESS;
}

static void
lc_wire_view__write_route (LcWireViewOp *w)
{
  const LcRoute *r = &w->source.route;

  lc__wire__route__init (&w->route);
  w->route.id = r->id;
  w->route.service_id = r->service_id;
  w->route.host = (char *)r->host;
  w->route.path_prefix = (char *)r->path_prefix;
  w->op.route = &w->route;
  w->op.body_case = LC__WIRE__VIEW_OP__BODY_ROUTE;
}

static void
lc_wire_view__write_former (LcWireViewOp *w)
{
  lc__wire__former__init (&w->former);
  w->former.service_id = w->source.former.service_id;
  w->former.since_revision = w->source.former.since_revision;
  w->former.until_revision = w->source.former.until_revision;
  lc_wire_endpoint_write (&w->endpoint, &w->source.former.endpoint);
  w->former.endpoint = &w->endpoint;
  w->op.former = &w->former;
  w->op.body_case = LC__WIRE__VIEW_OP__BODY_FORMER;
}

static void
lc_wire_view__write (LcWireViewOp *w)
{
  switch (w->source.kind)
    {
    case LC_VIEW_DC:
      lc_wire_view__write_dc (w);
      break;
    case LC_VIEW_BALANCER:
    case LC_VIEW_BALANCER_REMOVED:
      lc_wire_balancer_write (&w->balancer, &w->source.balancer);
      w->op.balancer = &w->balancer;
      w->op.body_case = LC__WIRE__VIEW_OP__BODY_BALANCER;
      break;
    case LC_VIEW_SERVICE:
    case LC_VIEW_SERVICE_REMOVED:
    case LC_VIEW_SERVICE_MEMBERS:
      lc_wire_view__write_service (w);
      break;
    case LC_VIEW_ENDPOINT:
    case LC_VIEW_ENDPOINT_REMOVED:
      lc_wire_endpoint_write (&w->endpoint, &w->source.endpoint);
      w->op.endpoint = &w->endpoint;
      w->op.body_case = LC__WIRE__VIEW_OP__BODY_ENDPOINT;
      break;
    case LC_VIEW_ADDRESS:
    case LC_VIEW_ADDRESS_REMOVED:
      lc_wire_view__write_address (w);
      break;
    case LC_VIEW_ROUTE:
    case LC_VIEW_ROUTE_REMOVED:
      lc_wire_view__write_route (w);
      break;
    case LC_VIEW_SETTLED:
      w->op.settled_revision = w->source.settled_revision;
      w->op.body_case = LC__WIRE__VIEW_OP__BODY_SETTLED_REVISION;
      break;
    case LC_VIEW_FORMER:
      lc_wire_view__write_former (w);
      break;
    }
}

void
lc_wire_view_ops_init (LcWireViewOps *batch)
{
  memset (batch, 0, sizeof *batch);
}

void
lc_wire_view_ops_add (LcWireViewOps *batch, const LcViewOp *op)
{
  LcWireViewOp *w = g_new0 (LcWireViewOp, 1);

  lc__wire__view_op__init (&w->op);
  w->source = *op;
  w->op.revision = op->revision;
  w->op.kind = op->kind;
  lc_wire_view__write (w);
  if (batch->n_ops == batch->capacity)
    {
      batch->capacity = batch->capacity != 0 ? batch->capacity * 2 : 16;
      batch->ops = g_renew (Lc__Wire__ViewOp *, batch->ops, batch->capacity);
    }
  batch->ops[batch->n_ops++] = &w->op; /* the first member of *w */
}

void
lc_wire_view_ops_finish (LcWireViewOps *batch)
{
  for (size_t i = 0; i < batch->n_ops; i++)
    g_free (batch->ops[i]);
  g_free (batch->ops);
  memset (batch, 0, sizeof *batch);
}

/* === private: reading ======================================================================= */

static int
lc_wire_view__copy (char *out, size_t size, const char *text, LcError *error)
{
  if (strlen (text) >= size)
    return lc_error_set (error, LC_ERR_INVALID, "use a shorter name",
                         "a name of %zu bytes is too long", strlen (text));
  (void)g_strlcpy (out, text, size);
  return 0;
}

static int
lc_wire_view__fail_missing (LcError *error, uint32_t kind)
{
  return lc_error_set (error, LC_ERR_INVALID, "run the same version on both sides",
                       "view operation of kind %u has no matching body", kind);
}

int
lc_wire_endpoint_read (LcEndpoint *e, const Lc__Wire__Endpoint *message, LcError *error)
{
  memset (e, 0, sizeof *e);
  e->id = message->id;
  e->service_id = message->service_id;
  e->instance = message->instance;
  e->dc = (LcDcId)message->dc;
  e->state = (uint8_t)message->state;
  e->slots = (uint8_t)message->slots;
  e->weight_percent = (uint16_t)message->weight_percent;
  e->peer_port = (uint16_t)message->peer_port;
  e->flow_port = (uint16_t)message->flow_port;
  e->ipv4 = message->ipv4;
  e->connection_limit = message->connection_limit;
  e->joined_revision = message->joined_revision;
  return lc_wire_view__copy (e->name, sizeof e->name, message->name, error);
}

int
lc_wire_balancer_read (LcBalancer *b, const Lc__Wire__Balancer *message, LcError *error)
{
  memset (b, 0, sizeof *b);
  b->id = message->id;
  b->instance = message->instance;
  b->dc = (LcDcId)message->dc;
  b->state = (uint8_t)message->state;
  b->ipv4 = message->ipv4;
  b->peer_port = (uint16_t)message->peer_port;
  b->flow_port = (uint16_t)message->flow_port;
  b->link_kbps = message->link_kbps;
  return lc_wire_view__copy (b->name, sizeof b->name, message->name, error);
}

static int
lc_wire_view__read_dc (LcDataCentre *dc, const Lc__Wire__DataCentre *message, LcError *error)
{
  int r;

  dc->id = (LcDcId)message->id;
  dc->state = (uint8_t)message->state;
  dc->is_evacuated = message->is_evacuated;
  dc->evacuation_revision = message->evacuation_revision;
  dc->evacuation_wall_us = message->evacuation_wall_us;
  r = lc_wire_view__copy (dc->name, sizeof dc->name, message->name, error);
  return r < 0 ? r : lc_wire_view__copy (dc->region, sizeof dc->region, message->region, error);
}

static int
lc_wire_view__read_service (LcService *s, const Lc__Wire__Service *message, LcError *error)
{
  s->id = message->id;
  s->membership_revision = message->membership_revision;
  s->roster_revision = message->roster_revision;
  s->request_timeout_ms = message->request_timeout_ms;
  s->caller_limit = message->caller_limit;
  s->retry_percent = message->retry_percent;
  s->objective_ppm = message->objective_ppm;
  s->objective_latency_ms = message->objective_latency_ms;
  s->cold_rate_mrps = message->cold_rate_mrps;
  s->returns_packets = message->returns_packets;
  s->idle_timeout_ms = message->idle_timeout_ms;
  s->former_idle_timeout_ms = message->former_idle_timeout_ms;
  s->idle_revision = message->idle_revision;
  return lc_wire_view__copy (s->name, sizeof s->name, message->name, error);
}

static int
lc_wire_view__read_route (LcRoute *route, const Lc__Wire__Route *message, LcError *error)
{
  int r;

  route->id = message->id;
  route->service_id = message->service_id;
  r = lc_wire_view__copy (route->host, sizeof route->host, message->host, error);
  return r < 0 ? r
               : lc_wire_view__copy (route->path_prefix, sizeof route->path_prefix,
                                     message->path_prefix, error);
}

static int
lc_wire_view__read_address (LcAddress *address, const Lc__Wire__Address *message, LcError *error)
{
  address->ipv4 = message->ipv4;
  address->port = (uint16_t)message->port;
  address->protocol = (uint8_t)message->protocol;
  address->service_id = message->service_id;
  if (message->n_former > LC_ADDRESS_FORMER_MAX)
    return lc_error_set (error, LC_ERR_INVALID, "run the same version on both sides",
                         "an address of %zu former services; %d at most", message->n_former,
                         LC_ADDRESS_FORMER_MAX);
  address->moved_revision = message->moved_revision;
  address->n_former = (uint8_t)message->n_former;
  for (size_t i = 0; i < message->n_former; i++)
    address->former[i] = message->former[i];
  return lc_wire_view__copy (address->homes, sizeof address->homes, message->homes, error);
}

/* The body that an operation of this kind requires. */
static Lc__Wire__ViewOp__BodyCase
lc_wire_view__body_of (uint32_t kind)
{
  switch (kind)
    {
    case LC_VIEW_DC:
      return LC__WIRE__VIEW_OP__BODY_DC;
    case LC_VIEW_BALANCER:
    case LC_VIEW_BALANCER_REMOVED:
      return LC__WIRE__VIEW_OP__BODY_BALANCER;
    case LC_VIEW_SERVICE:
    case LC_VIEW_SERVICE_REMOVED:
    case LC_VIEW_SERVICE_MEMBERS:
      return LC__WIRE__VIEW_OP__BODY_SERVICE;
    case LC_VIEW_ENDPOINT:
    case LC_VIEW_ENDPOINT_REMOVED:
      return LC__WIRE__VIEW_OP__BODY_ENDPOINT;
    case LC_VIEW_ADDRESS:
    case LC_VIEW_ADDRESS_REMOVED:
      return LC__WIRE__VIEW_OP__BODY_ADDRESS;
    case LC_VIEW_ROUTE:
    case LC_VIEW_ROUTE_REMOVED:
      return LC__WIRE__VIEW_OP__BODY_ROUTE;
    case LC_VIEW_SETTLED:
      return LC__WIRE__VIEW_OP__BODY_SETTLED_REVISION;
    case LC_VIEW_FORMER:
      return LC__WIRE__VIEW_OP__BODY_FORMER;
    default:
      return LC__WIRE__VIEW_OP__BODY__NOT_SET;
    }
}

int
lc_wire_view_op_read (LcViewOp *op, const Lc__Wire__ViewOp *message, LcError *error)
{
  memset (op, 0, sizeof *op);
  op->revision = message->revision;
  op->kind = (LcViewOpKind)message->kind;
  if (message->body_case == LC__WIRE__VIEW_OP__BODY__NOT_SET ||
      message->body_case != lc_wire_view__body_of (message->kind))
    return lc_wire_view__fail_missing (error, message->kind);
  switch (message->body_case)
    {
    case LC__WIRE__VIEW_OP__BODY_DC:
      return lc_wire_view__read_dc (&op->dc, message->dc, error);
    case LC__WIRE__VIEW_OP__BODY_BALANCER:
      return lc_wire_balancer_read (&op->balancer, message->balancer, error);
    case LC__WIRE__VIEW_OP__BODY_SERVICE:
      return lc_wire_view__read_service (&op->service, message->service, error);
    case LC__WIRE__VIEW_OP__BODY_ENDPOINT:
      return lc_wire_endpoint_read (&op->endpoint, message->endpoint, error);
    case LC__WIRE__VIEW_OP__BODY_ADDRESS:
      return lc_wire_view__read_address (&op->address, message->address, error);
    case LC__WIRE__VIEW_OP__BODY_ROUTE:
      return lc_wire_view__read_route (&op->route, message->route, error);
    case LC__WIRE__VIEW_OP__BODY_SETTLED_REVISION:
      op->settled_revision = message->settled_revision;
      return 0;
    case LC__WIRE__VIEW_OP__BODY_FORMER:
      if (message->former->endpoint == NULL)
        return lc_wire_view__fail_missing (error, message->kind);
      op->former.service_id = message->former->service_id;
      op->former.since_revision = message->former->since_revision;
      op->former.until_revision = message->former->until_revision;
      return lc_wire_endpoint_read (&op->former.endpoint, message->former->endpoint, error);
    default:
      return lc_wire_view__fail_missing (error, message->kind);
    }
}
