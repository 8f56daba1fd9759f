#include "fake-control.h"

#include <signal.h>
#include <string.h>

uint32_t fake_lease_ms = 600;

/* === state machine ========================================================================== */

static void
apply (FakeControl *c, const LcViewOp *ops, size_t n_ops)
{
  LcError error = { 0 };

  for (size_t i = 0; i < n_ops; i++)
    if (lc_view_apply (&c->view, &ops[i], &error) < 0)
      g_error ("fake control: %s", error.message);
  lc_distributor_publish (c->distributor, ops, n_ops);
}

void
fake_control_commit (FakeControl *c, LcViewOp *ops, size_t n_ops)
{
  LcRevision revision = c->view.revision + 1;

  for (size_t i = 0; i < n_ops; i++)
    ops[i].revision = revision;
  apply (c, ops, n_ops);
  for (uint32_t i = 0; i < c->n_followers; i++)
    if (!c->followers[i]->is_lagging)
      apply (c->followers[i], ops, n_ops);
}

static bool
endpoint_op (FakeControl *c, const LcMemberChange *change, LcViewOp *op)
{
  const LcEndpoint *known = lc_view_endpoint_by_name (&c->view, change->endpoint.name);
  const LcService *s = lc_view_service_by_name (&c->view, change->service);
  const LcDataCentre *dc = lc_view_dc_by_name (&c->view, change->data_centre);

  if (s == NULL || dc == NULL)
    return false;
  op->kind = LC_VIEW_ENDPOINT;
  op->endpoint = change->endpoint;
  op->endpoint.id = known != NULL ? known->id : ++c->next_id;
  op->endpoint.service_id = s->id;
  op->endpoint.dc = dc->id;
  op->endpoint.state = LC_ENDPOINT_JOINING;
  if (change->kind == LC_MEMBER_ENDPOINT_ANNOUNCED)
    return known == NULL || known->instance != change->endpoint.instance ||
           known->state == LC_ENDPOINT_LOST;
  if (known == NULL || known->instance != change->endpoint.instance)
    return false;
  op->endpoint = *known;
  if (change->kind == LC_MEMBER_ENDPOINT_RAMPED)
    op->endpoint.state = LC_ENDPOINT_ACTIVE;
  else if (change->kind == LC_MEMBER_ENDPOINT_LEAVING)
    op->endpoint.state = LC_ENDPOINT_DRAINING;
  else if (change->kind == LC_MEMBER_ENDPOINT_LOST)
    op->endpoint.state = LC_ENDPOINT_LOST;
  else
    op->kind = LC_VIEW_ENDPOINT_REMOVED;
  return op->kind == LC_VIEW_ENDPOINT_REMOVED || op->endpoint.state != known->state;
}

static bool
balancer_op (FakeControl *c, const LcMemberChange *change, LcViewOp *op)
{
  const LcBalancer *known = lc_view_balancer_by_name (&c->view, change->balancer.name);
  const LcDataCentre *dc = lc_view_dc_by_name (&c->view, change->data_centre);

  if (dc == NULL)
    return false;
  op->kind = LC_VIEW_BALANCER;
  op->balancer = change->balancer;
  op->balancer.id = known != NULL ? known->id : ++c->next_id;
  op->balancer.dc = dc->id;
  op->balancer.state = LC_BALANCER_ACTIVE;
  if (change->kind == LC_MEMBER_BALANCER_ANNOUNCED)
    return known == NULL || known->instance != change->balancer.instance ||
           known->state == LC_BALANCER_LOST;
  if (known == NULL || known->instance != change->balancer.instance)
    return false;
  op->balancer.state =
      change->kind == LC_MEMBER_BALANCER_LEAVING ? LC_BALANCER_LEAVING : LC_BALANCER_LOST;
  if (change->kind == LC_MEMBER_BALANCER_GONE)
    op->kind = LC_VIEW_BALANCER_REMOVED;
  return op->kind == LC_VIEW_BALANCER_REMOVED || op->balancer.state != known->state;
}

static void
commit_change (FakeControl *c, const LcMemberChange *change)
{
  LcViewOp op = { 0 };
  bool changes;

  c->n_proposals++;
  if (change->kind == LC_MEMBER_SETTLED)
    {
      op.kind = LC_VIEW_SETTLED;
      op.settled_revision = change->settled_revision;
      changes = change->settled_revision > c->view.settled_revision;
    }
  else
    changes = change->kind < LC_MEMBER_BALANCER_ANNOUNCED ? endpoint_op (c, change, &op)
                                                          : balancer_op (c, change, &op);
  if (!changes)
    return;
  c->n_changes++;
  fake_control_commit (c, &op, 1);
}

static int
propose (void *user, const LcMemberChange *changes, uint32_t n)
{
  FakeControl *c = user;

  if (c->is_cut)
    return LC_ERR_UNAVAILABLE; /* no quorum */
  if (c->leader != NULL)
    return c->is_lagging ? LC_ERR_UNAVAILABLE : propose (c->leader, changes, n);
  for (uint32_t i = 0; i < n; i++)
    commit_change (c, &changes[i]);
  return 0;
}

static bool
is_leader (void *user)
{
  return ((FakeControl *)user)->leader == NULL;
}

static bool
stands_by (void *user)
{
  return ((FakeControl *)user)->stands_by_for != NULL;
}

static uint32_t
named_control (void *user, LcSocketAddress *out, uint32_t max)
{
  FakeControl *c = user;

  if (c->stands_by_for == NULL || max == 0)
    return 0;
  out[0] = fake_control_address (c->stands_by_for);
  return 1;
}

/* === links ================================================================================== */

static void
on_frame (void *user, LcLink *link, const LcFrame *frame)
{
  FakeControl *c = user;

  if (!c->is_cut)
    lc_distributor_receive (c->distributor, link, frame);
}

static void
on_down (void *user, LcLink *link, const char *why)
{
  FakeControl *c = user;

  if (c->distributor != NULL)
    lc_distributor_link_down (c->distributor, link);
}

void
fake_control_init (FakeControl *c, h2o_loop_t *loop, uint32_t ipv4, FakeControl *leader)
{
  LcLinkServerDesc server = { .loop = loop,
                              .ipv4 = ipv4,
                              .handler = { c, on_frame, NULL, on_down } };
  LcDistributorDesc desc = { .app = &c->app,
                             .view = &c->view,
                             .lease_ms = fake_lease_ms,
                             .user = c,
                             .propose = propose,
                             .is_leader = is_leader,
                             .is_standby = stands_by,
                             .control_addresses = named_control };
  LcError error = { 0 };

  (void)signal (SIGPIPE, SIG_IGN); /* as lc-app does */
  memset (c, 0, sizeof *c);
  c->app.loop = loop;
  c->leader = leader;
  if (leader != NULL)
    leader->followers[leader->n_followers++] = c;
  lc_metrics_init (&c->app.metrics);
  lc_view_init (&c->view);
  c->distributor = lc_distributor_new (&desc, &error);
  if (c->distributor == NULL || lc_link_server_init (&c->server, &server, &error) < 0)
    g_error ("fake control: %s", error.message);
}

void
fake_control_finish (FakeControl *c)
{
  lc_link_server_finish (&c->server);
  lc_distributor_free (c->distributor);
  c->distributor = NULL;
  lc_view_finish (&c->view);
  lc_metrics_finish (&c->app.metrics);
}

void
fake_control_add_dc (FakeControl *c, const char *name)
{
  LcViewOp op = { .kind = LC_VIEW_DC };

  op.dc.id = (LcDcId)++c->next_id;
  op.dc.state = LC_DC_ACTIVE;
  (void)g_strlcpy (op.dc.name, name, sizeof op.dc.name);
  fake_control_commit (c, &op, 1);
}

LcServiceId
fake_control_add_service (FakeControl *c, const char *name)
{
  LcViewOp op = { .kind = LC_VIEW_SERVICE };

  op.service.id = ++c->next_id;
  (void)g_strlcpy (op.service.name, name, sizeof op.service.name);
  fake_control_commit (c, &op, 1);
  return op.service.id;
}

LcSocketAddress
fake_control_address (const FakeControl *c)
{
  return (LcSocketAddress){ c->server.desc.ipv4, lc_link_server_port (&c->server) };
}
