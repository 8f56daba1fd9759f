#include "lc-lychee-world.h"

/* === the view =============================================================================== */

static LcViewOp *
lc_lychee__op (LcLychee *l, LcViewOpKind kind)
{
  LcViewOp op = { .revision = ++l->revision, .kind = kind };

  g_array_append_val (l->ops, op);
  return &g_array_index (l->ops, LcViewOp, l->ops->len - 1);
}

void
lc_lychee__op_endpoint (LcLychee *l, uint32_t i, LcEndpointState state)
{
  LcViewOp *op = lc_lychee__op (l, LC_VIEW_ENDPOINT);

  op->endpoint.id = i + 1;
  op->endpoint.service_id = 1;
  op->endpoint.instance = l->nodes[i].instance;
  op->endpoint.dc = (LcDcId)(lc_lychee__dc (i) + 1);
  op->endpoint.state = (uint8_t)state;
  op->endpoint.slots = LC_SIM_SLOTS;
  op->endpoint.weight_percent = 100;
  op->endpoint.ipv4 = 0x7f000001U + i;
  op->endpoint.peer_port = 7000;
  (void)g_snprintf (op->endpoint.name, sizeof op->endpoint.name, "order-%u", i + 1);
}

void
lc_lychee__op_service (LcLychee *l)
{
  LcViewOp *op = lc_lychee__op (l, LC_VIEW_SERVICE);

  op->service.id = 1;
  op->service.request_timeout_ms = LC_SIM_DEADLINE_US / LC_US_PER_MS;
  (void)g_strlcpy (op->service.name, "order-desk", sizeof op->service.name);
  op = lc_lychee__op (l, LC_VIEW_ROUTE);
  op->route.id = 1;
  op->route.service_id = 1;
  (void)g_strlcpy (op->route.path_prefix, "/", sizeof op->route.path_prefix);
}

void
lc_lychee__apply (LcLychee *l, uint32_t p, guint n_ops)
{
  LcNode *node = &l->nodes[p];
  LcError error = { 0 };

  if (!node->is_alive || node->n_applied >= n_ops)
    return;
  for (; node->n_applied < n_ops; node->n_applied++)
    (void)lc_view_apply (&node->view, &g_array_index (l->ops, LcViewOp, node->n_applied), &error);
  if (p < LC_LYCHEE_BALANCER)
    {
      lc_request_agent_set_service (&node->agent, lc_view_service (&node->view, 1), p + 1,
                                    l->now_us);
      lc_lychee__act_agent (l, p);
      return;
    }
  node->balancer.desc.own_dc = (LcDcId)(lc_lychee__dc (p) + 1);
  lc_request_balancer_set_view (&node->balancer, &node->view, l->now_us);
  lc_lychee__act_balancer (l, p);
}

/* Updates reach the processes unevenly. */
void
lc_lychee__publish (LcLychee *l)
{
  for (uint32_t p = 0; p < LC_LYCHEE_PROCESSES; p++)
    {
      int64_t after_us = (int64_t)gsl_rng_uniform_int (l->sim->rng, LC_LYCHEE_SPREAD_US);

      lc_lychee__push (l, LC_EV_VIEW, p, l->now_us + after_us)->n_ops = l->ops->len;
    }
}

/* === processes ============================================================================== */

void
lc_lychee__start_node (LcLychee *l, uint32_t p)
{
  LcNode *node = &l->nodes[p];

  node->is_alive = true;
  node->instance = ++l->next_instance;
  node->n_applied = 0;
  lc_view_init (&node->view);
  if (p < LC_LYCHEE_BALANCER)
    {
      LcRequestAgentDesc desc = { .self = { p + 1, node->instance },
                                  .admission = { .slots = LC_SIM_SLOTS } };

      lc_request_agent_init (&node->agent, &desc);
      node->payloads = g_hash_table_new (NULL, NULL);
      node->started = g_hash_table_new (NULL, NULL);
      return;
    }
  node->flights = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  lc_request_balancer_init (&node->balancer,
                            &(LcRequestBalancerDesc){ .seed = l->sim->desc.seed + p });
}

void
lc_lychee__stop_node (LcLychee *l, uint32_t p)
{
  LcNode *node = &l->nodes[p];
  GHashTableIter iter;
  gpointer key;

  if (!node->is_alive)
    return;
  node->is_alive = false;
  if (p >= LC_LYCHEE_BALANCER)
    {
      lc_request_balancer_finish (&node->balancer);
      g_hash_table_destroy (node->flights);
    }
  else
    {
      g_hash_table_iter_init (&iter, node->started);
      while (g_hash_table_iter_next (&iter, &key, NULL))
        {
          l->sim->busy_us[p] +=
              l->now_us - (int64_t)GPOINTER_TO_SIZE (g_hash_table_lookup (node->started, key));
        }
      lc_request_agent_finish (&node->agent);
      g_hash_table_destroy (node->payloads);
      g_hash_table_destroy (node->started);
    }
  lc_view_finish (&node->view);
}

static void
lc_lychee__kill_agent (LcLychee *l, uint32_t p)
{
  for (uint32_t b = LC_LYCHEE_BALANCER; b < LC_LYCHEE_PROCESSES; b++)
    {
      LcEvent *event = lc_lychee__message (l, LC_EV_LINK_DOWN, p, b);

      if (event != NULL)
        event->link_id = lc_lychee__link (l, b, p);
    }
  lc_lychee__stop_node (l, p);
}

/* The plan of the case says that endpoint `p` opens or closes now. */
void
lc_lychee__open (LcLychee *l, uint32_t p)
{
  bool is_open = lc_sim_is_open (l->sim, p, l->now_us);

  if (is_open && !l->nodes[p].is_alive)
    {
      lc_lychee__start_node (l, p);
      lc_lychee__op_endpoint (l, p, LC_ENDPOINT_JOINING);
      lc_lychee__publish (l);
    }
  else if (!is_open && l->sim->desc.what.fault == LC_SIM_AGENT_DEATH)
    {
      lc_lychee__kill_agent (l, p);
      (void)lc_lychee__push (l, LC_EV_LOST, p, l->now_us + LC_LYCHEE_LEASE_US);
    }
  else if (!is_open && l->nodes[p].is_alive)
    {
      lc_request_agent_drain (&l->nodes[p].agent);
      lc_lychee__op_endpoint (l, p, LC_ENDPOINT_DRAINING);
      lc_lychee__publish (l);
    }
}

/* A planned stop ends when the agent is idle and its leaving has reached everyone. */
void
lc_lychee__end_drains (LcLychee *l)
{
  for (uint32_t p = 0; p < LC_SIM_ENDPOINTS; p++)
    if (l->nodes[p].is_alive && l->nodes[p].agent.is_draining &&
        lc_request_agent_is_idle (&l->nodes[p].agent) &&
        l->sim->desc.what.fault == LC_SIM_ROLLING &&
        !lc_sim_is_open (l->sim, p, l->now_us - LC_LYCHEE_SPREAD_US))
      lc_lychee__kill_agent (l, p);
}
