#include "lc-scale-world.h"

#include "lc-scale.h"

#include "io/lc-clock.h"

#include <sys/resource.h>

enum
{
  LC_SCALE_CONTROL_IPV4 = 0x7f200201, /* 127.32.2.1 */
  LC_SCALE_BALANCER_IPV4 = 0x7f200301,
  LC_SCALE_AGENT_IPV4 = 0x7f201001,
  LC_SCALE_SEEDS = 3,
  LC_SCALE_AGENTS_A_SERVICE = 4, /* the letter's 59,000 endpoints in 18,000 services, rounded up */
};

static const char LC_SCALE_DC[] = "hall-atl";

static void
lc_scale_world__raise_file_limit (void)
{
  struct rlimit limit;

  if (getrlimit (RLIMIT_NOFILE, &limit) < 0)
    return;
  limit.rlim_cur = limit.rlim_max;
  (void)setrlimit (RLIMIT_NOFILE, &limit);
}

static void
lc_scale_world__collect (void *user, const LcViewOp *op)
{
  g_array_append_val ((GArray *)user, *op);
}

/* The other endpoints are in the view but nobody runs them; their ids stay clear of the agents'. */
static void
lc_scale_world__preload (LcScaleWorld *w, uint32_t n_endpoints)
{
  GArray *ops = g_array_new (FALSE, FALSE, sizeof (LcViewOp));
  LcView view;

  lc_view_init (&view);
  lc_scale_fill (&view, n_endpoints, 1);
  lc_view_snapshot (&view, lc_scale_world__collect, ops);
  for (guint i = ops->len; i > 0; i--)
    if (g_array_index (ops, LcViewOp, i - 1).kind == LC_VIEW_BALANCER)
      g_array_remove_index (ops, i - 1); /* they would be waited for */
  fake_control_commit (&w->control, (LcViewOp *)(void *)ops->data, ops->len);
  w->control.next_id = 1000000;
  lc_distributor_reset (w->control.distributor);
  g_array_free (ops, TRUE);
  lc_view_finish (&view);
}

void
lc_scale_world_start_balancer (LcScaleWorld *w, uint32_t i)
{
  LcSocketAddress control = fake_control_address (&w->control);
  char name[LC_NAME_MAX];

  (void)g_snprintf (name, sizeof name, "world-lb-%u", i);
  fake_node_balancer (&w->balancers[i], w->loop, name, LC_SCALE_BALANCER_IPV4 + i, LC_SCALE_DC,
                      &control, 1);
}

void
lc_scale_world_start_agent (LcScaleWorld *w, uint32_t i)
{
  LcSocketAddress seeds[LC_SCALE_SEEDS];
  uint32_t n_seeds = MIN (w->n_balancers, LC_SCALE_SEEDS);
  char name[LC_NAME_MAX];
  char *service = w->service_names[i / LC_SCALE_AGENTS_A_SERVICE];

  for (uint32_t k = 0; k < n_seeds; k++)
    seeds[k] = fake_node_address (&w->balancers[(i + k) % w->n_balancers]);
  (void)g_snprintf (name, sizeof name, "order-%u", i);
  fake_node_agent (&w->agents[i], w->loop, name, LC_SCALE_AGENT_IPV4 + i, LC_SCALE_DC, service,
                   seeds, n_seeds);
}

static void
lc_scale_world__open_services (LcScaleWorld *w)
{
  uint32_t n = w->n_agents / LC_SCALE_AGENTS_A_SERVICE + 1;

  w->service_names = g_new0 (char *, n + 1);
  for (uint32_t i = 0; i < n; i++)
    {
      w->service_names[i] = g_strdup_printf ("order-desk-%u", i);
      (void)fake_control_add_service (&w->control, w->service_names[i]);
    }
}

void
lc_scale_world_init (LcScaleWorld *w, uint32_t n_balancers, uint32_t n_agents, uint32_t n_endpoints)
{
  memset (w, 0, sizeof *w);
  lc_scale_world__raise_file_limit ();
  w->loop = h2o_evloop_create ();
  w->n_balancers = n_balancers;
  w->n_agents = n_agents;
  w->balancers = g_new0 (FakeNode, n_balancers + 1);
  w->agents = g_new0 (FakeNode, n_agents + 1);
  fake_control_init (&w->control, w->loop, LC_SCALE_CONTROL_IPV4, NULL);
  if (n_endpoints > 0)
    lc_scale_world__preload (w, n_endpoints);
  fake_control_add_dc (&w->control, LC_SCALE_DC);
  lc_scale_world__open_services (w);
  for (uint32_t i = 0; i < n_balancers; i++)
    lc_scale_world_start_balancer (w, i);
  for (uint32_t i = 0; i < n_agents; i++)
    lc_scale_world_start_agent (w, i);
}

void
lc_scale_world_finish (LcScaleWorld *w)
{
  for (uint32_t i = 0; i < w->n_agents; i++)
    fake_node_kill (&w->agents[i]);
  for (uint32_t i = 0; i < w->n_balancers; i++)
    fake_node_kill (&w->balancers[i]);
  fake_control_finish (&w->control);
  h2o_evloop_run (w->loop, 1);
  g_strfreev (w->service_names);
  g_free (w->agents);
  g_free (w->balancers);
}

uint32_t
lc_scale_world_count (const LcScaleWorld *w, LcEndpointState state)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < w->n_agents; i++)
    {
      const LcEndpoint *e =
          lc_view_endpoint_by_name (&w->control.view, w->agents[i].member.desc.endpoint.name);

      /* An active one counts only under the instance that runs. */
      n += e != NULL && e->state == state &&
                   (state != LC_ENDPOINT_ACTIVE ||
                    e->instance == w->agents[i].member.desc.endpoint.instance)
               ? 1
               : 0;
    }
  return n;
}

static bool
lc_scale_world__are_newest (const LcScaleWorld *w, const FakeNode *nodes, uint32_t n)
{
  for (uint32_t i = 0; i < n; i++)
    if (nodes[i].is_up && fake_node_revision (&nodes[i]) != w->control.view.revision)
      return false;
  return true;
}

bool
lc_scale_world_is_whole (void *world)
{
  LcScaleWorld *w = world;

  return lc_scale_world_count (w, LC_ENDPOINT_ACTIVE) == w->n_agents - w->n_down &&
         lc_scale_world__are_newest (w, w->balancers, w->n_balancers) &&
         lc_scale_world__are_newest (w, w->agents, w->n_agents);
}

int64_t
lc_scale_world_wait (LcScaleWorld *w, uint32_t limit_ms)
{
  int64_t began_us = lc_clock_now_us ();

  if (!fake_run_until (w->loop, lc_scale_world_is_whole, w, limit_ms))
    return -1;
  return (lc_clock_now_us () - began_us) / LC_US_PER_MS;
}

static bool
lc_scale_world__is_settled (void *world)
{
  LcScaleWorld *w = world;

  return lc_scale_world_is_whole (w) && g_hash_table_size (w->control.view.unsettled) == 0;
}

bool
lc_scale_world_settle (LcScaleWorld *w, uint32_t limit_ms)
{
  return fake_run_until (w->loop, lc_scale_world__is_settled, w, limit_ms);
}

uint64_t
lc_scale_world_agent_bytes (const LcScaleWorld *w)
{
  uint64_t bytes = 0;

  for (uint32_t i = 0; i < w->n_agents; i++)
    for (uint32_t k = 0; w->agents[i].is_up && k < LC_MEMBER_DYNAMIC_SLOTS; k++)
      if (w->agents[i].member.slots[k].is_open && w->agents[i].member.slots[k].client.link != NULL)
        bytes += lc_link_bytes_total (w->agents[i].member.slots[k].client.link);
  return bytes;
}
