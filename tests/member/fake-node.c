#include "fake-node.h"

#include "fake-control.h"

#include "io/lc-clock.h"

#include <string.h>

static void
on_changed (void *user, const LcView *view, const LcViewOp *ops, size_t n_ops, bool is_reset)
{
  FakeNode *n = user;

  n->n_reverted += view->revision < n->highest ? 1 : 0;
  n->n_resets += is_reset ? 1 : 0;
  n->highest = view->revision;
  for (size_t i = 0; i < n_ops; i++)
    if (ops[i].kind == LC_VIEW_ENDPOINT && ops[i].endpoint.state == LC_ENDPOINT_DRAINING &&
        ops[i].endpoint.instance == n->member.desc.endpoint.instance)
      n->saw_draining = true;
  /* An agent without flows has registered them all. */
  lc_member_set_registered (&n->member, view->revision);
}

static void
on_frame (void *user, LcLink *link, const LcFrame *frame)
{
  FakeNode *n = user;

  if (!n->is_frozen && n->is_up)
    lc_member_handle_frame (&n->member, link, frame);
}

static void
on_down (void *user, LcLink *link, const char *why)
{
  FakeNode *n = user;

  if (n->is_up)
    lc_member_handle_link_down (&n->member, link);
}

static void
start (FakeNode *n, LcMemberDesc *desc)
{
  LcError error = { 0 };

  n->app.loop = desc->app->loop;
  desc->app = &n->app;
  desc->lease_ms = fake_lease_ms;
  desc->user = n;
  desc->changed = on_changed;
  lc_metrics_init (&n->app.metrics);
  n->is_up = true;
  if (lc_member_init (&n->member, desc, &error) < 0)
    g_error ("fake node: %s", error.message);
}

void
fake_node_balancer (FakeNode *n,
                    h2o_loop_t *loop,
                    const char *name,
                    uint32_t ipv4,
                    const char *dc,
                    const LcSocketAddress *control,
                    uint32_t n_control)
{
  LcLinkServerDesc server = { .loop = loop,
                              .ipv4 = ipv4,
                              .handler = { n, on_frame, NULL, on_down } };
  LcApp app = { .loop = loop };
  LcMemberDesc desc = { .app = &app,
                        .kind = LC_MEMBER_BALANCER,
                        .data_centre = dc,
                        .upstreams = control,
                        .n_upstreams = n_control };
  LcError error = { 0 };

  memset (n, 0, sizeof *n);
  if (lc_link_server_init (&n->server, &server, &error) < 0)
    g_error ("fake node: %s", error.message);
  n->has_server = true;
  desc.balancer.instance = ((uint64_t)g_random_int () << 32) | g_random_int () | 1U;
  desc.balancer.state = LC_BALANCER_ACTIVE;
  desc.balancer.ipv4 = ipv4;
  desc.balancer.peer_port = lc_link_server_port (&n->server);
  (void)g_strlcpy (desc.balancer.name, name, sizeof desc.balancer.name);
  start (n, &desc);
}

void
fake_node_agent (FakeNode *n,
                 h2o_loop_t *loop,
                 const char *name,
                 uint32_t ipv4,
                 const char *dc,
                 const char *service,
                 const LcSocketAddress *balancers,
                 uint32_t n_balancers)
{
  LcApp app = { .loop = loop };
  LcMemberDesc desc = { .app = &app,
                        .kind = LC_MEMBER_AGENT,
                        .data_centre = dc,
                        .service = service,
                        .upstreams = balancers,
                        .n_upstreams = n_balancers };

  memset (n, 0, sizeof *n);
  desc.endpoint.instance = ((uint64_t)g_random_int () << 32) | g_random_int () | 1U;
  desc.endpoint.state = LC_ENDPOINT_JOINING;
  desc.endpoint.ipv4 = ipv4;
  desc.endpoint.peer_port = 7000;
  desc.endpoint.flow_port = 7100;
  desc.endpoint.slots = 4;
  desc.endpoint.weight_percent = 100;
  desc.endpoint.connection_limit = 2000;
  (void)g_strlcpy (desc.endpoint.name, name, sizeof desc.endpoint.name);
  start (n, &desc);
}

void
fake_node_finish (FakeNode *n)
{
  if (!n->is_up)
    return;
  n->is_up = false;
  if (n->has_server)
    lc_link_server_finish (&n->server);
  lc_member_finish (&n->member);
  lc_metrics_finish (&n->app.metrics);
}

void
fake_node_kill (FakeNode *n)
{
  n->member.phase = LC_MEMBER_PHASE_LIVE; /* so that no planned stop is reported */
  fake_node_finish (n);
}

LcSocketAddress
fake_node_address (const FakeNode *n)
{
  return (LcSocketAddress){ n->server.desc.ipv4, lc_link_server_port (&n->server) };
}

LcRevision
fake_node_revision (const FakeNode *n)
{
  return lc_member_view (&n->member)->revision;
}

/* === the loop =============================================================================== */

bool
fake_run_until (h2o_loop_t *loop, bool (*is_done) (void *user), void *user, uint32_t limit_ms)
{
  int64_t limit_us = lc_clock_now_us () + (int64_t)limit_ms * LC_US_PER_MS;

  while (!is_done (user))
    {
      if (lc_clock_now_us () > limit_us)
        return false;
      h2o_evloop_run (loop, 10);
    }
  return true;
}

static bool
never (void *user)
{
  return false;
}

void
fake_run_for (h2o_loop_t *loop, uint32_t ms)
{
  (void)fake_run_until (loop, never, NULL, ms);
}
