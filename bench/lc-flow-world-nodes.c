/* Balancers, agents and control of lc-flow-world. */
#include "lc-flow-world-private.h"

#include "io/lc-flow-wire.h"

#include <string.h>

enum
{
  LC_WORLD_CONTROL_MS = 100,
  LC_WORLD_LEAVE_STEP_MS = 200,
  LC_WORLD_RETURN_MS = 500, /* a restarted process announces itself after this */
};

/* === control: committing and handing out ==================================================== */

static void
lc_world__hand_out (LcFlowWorld *w, int64_t after_us)
{
  for (uint32_t i = 0; i < LC_FLOW_WORLD_AGENTS; i++)
    if (w->agents[i] != NULL && w->agents[i]->is_alive)
      lc_world_push (w,
                     w->now_us + after_us + lc_world_delay (w, w->control, w->desc.view_delay_us),
                     LC_WORLD_VIEW, i, 0, NULL);
  for (uint32_t i = 0; i < w->n_balancers; i++)
    if (w->balancers[i]->is_alive && !w->balancers[i]->is_cut)
      lc_world_push (w,
                     w->now_us + after_us + w->balancers[i]->lag_us +
                         lc_world_delay (w, w->control, w->desc.view_delay_us),
                     LC_WORLD_VIEW, i, 1, NULL);
}

void
lc_world_commit (LcFlowWorld *w, LcViewOp op)
{
  op.revision = ++w->revision;
  g_array_append_val (w->ops, op);
  (void)lc_view_apply (&w->view, &op, NULL);
  if (op.kind != LC_VIEW_SETTLED)
    w->last_change_us = w->now_us;
  lc_world__hand_out (w, 0);
}

static void
lc_world__commit_endpoint (LcFlowWorld *w, LcEndpointId id, uint8_t state)
{
  const LcEndpoint *e = lc_view_endpoint (&w->view, id);
  LcViewOp op = { .kind = LC_VIEW_ENDPOINT };

  if (e == NULL || e->state == state)
    return;
  op.endpoint = *e;
  op.endpoint.state = state;
  lc_world_commit (w, op);
}

static uint32_t
lc_world__apply (LcFlowWorld *w, LcView *view, uint32_t applied)
{
  /* Some of the operations may be repeated: a view takes those of its own revision again. */
  for (guint i = applied; i < w->ops->len; i++)
    (void)lc_view_apply (view, &g_array_index (w->ops, LcViewOp, i), NULL);
  return w->ops->len;
}

void
lc_world_on_view (LcFlowWorld *w, bool is_balancer, uint32_t node)
{
  if (is_balancer)
    {
      LcWorldBalancer *b = w->balancers[node];

      if (!b->is_alive || b->is_cut)
        return;
      b->ops = lc_world__apply (w, &b->view, b->ops);
      b->acked = b->view.revision;
      lc_flow_balancer_set_view (&b->balancer, &b->view);
      return;
    }
  LcWorldAgent *a = w->agents[node];

  if (a == NULL || !a->is_alive)
    return;
  a->ops = lc_world__apply (w, &a->view, a->ops);
  lc_flow_agent_set_view (&a->agent, &a->view, w->now_us);
  lc_world_send_messages (w, a);
}

static bool
lc_world__may_settle (LcFlowWorld *w, LcRevision *revision)
{
  *revision = w->revision;
  if (w->desc.breaks_settling)
    return w->now_us - w->last_change_us > 100 * LC_US_PER_MS;
  for (uint32_t i = 0; i < w->n_balancers; i++)
    if (!w->balancers[i]->is_lost)
      *revision = MIN (*revision, w->balancers[i]->acked);
  for (uint32_t i = 0; i < LC_FLOW_WORLD_AGENTS; i++)
    if (w->agents[i] != NULL && lc_view_endpoint (&w->view, w->agents[i]->id) != NULL &&
        lc_view_endpoint (&w->view, w->agents[i]->id)->state != LC_ENDPOINT_LOST)
      *revision = MIN (*revision, w->agents[i]->registered);
  return true;
}

static bool
lc_world__is_unsettled (const LcFlowWorld *w, LcRevision revision)
{
  for (LcServiceId id = LC_WORLD_SERVICE; id <= LC_WORLD_OTHER_SERVICE; id++)
    {
      const LcService *s = lc_view_service (&w->view, id);

      if (s->n_former > 0 && s->former[s->n_former - 1].until_revision <= revision)
        return true;
    }
  return false;
}

void
lc_world_on_control (LcFlowWorld *w)
{
  LcViewOp op = { .kind = LC_VIEW_SETTLED };

  lc_world_push (w, w->now_us + LC_WORLD_CONTROL_MS * LC_US_PER_MS, LC_WORLD_CONTROL, 0, 0, NULL);
  for (uint32_t i = 0; i < LC_FLOW_WORLD_AGENTS; i++)
    if (w->agents[i] != NULL && w->agents[i]->is_alive)
      w->agents[i]->registered =
          MAX (w->agents[i]->registered, lc_flow_agent_registered_revision (&w->agents[i]->agent));
  if (!lc_world__may_settle (w, &op.settled_revision))
    return;
  if (lc_world__is_unsettled (w, op.settled_revision))
    {
      w->counts.settled++;
      lc_world_commit (w, op);
    }
}

/* === agents ================================================================================= */

static LcEndpoint
lc_world__endpoint (const LcFlowWorld *w, const LcWorldAgent *a)
{
  return (LcEndpoint){ .id = a->id,
                       .service_id = a->service_id,
                       .instance = a->instance,
                       .dc = (LcDcId)(1 + a->id % w->desc.n_dcs),
                       .state = LC_ENDPOINT_JOINING,
                       .weight_percent = 100,
                       .flow_port = LC_WORLD_PORT,
                       .ipv4 = a->address,
                       .connection_limit =
                           w->desc.connection_limit != 0 ? w->desc.connection_limit : 2000 };
}

static uint32_t
lc_world__free_address (const LcFlowWorld *w)
{
  /* The one that was left last is taken first: reuse is what the tests are after. */
  for (uint32_t i = LC_FLOW_WORLD_AGENTS; i > 0; i--)
    if (w->agents[i - 1] != NULL && !w->agents[i - 1]->is_alive)
      return i - 1;
  for (uint32_t i = 0; i < LC_FLOW_WORLD_AGENTS; i++)
    if (w->agents[i] == NULL)
      return i;
  return LC_FLOW_WORLD_AGENTS;
}

LcWorldAgent *
lc_world_add_agent (LcFlowWorld *w, LcServiceId service, LcEndpointId id)
{
  uint32_t address = lc_world__free_address (w);
  LcViewOp op = { .kind = LC_VIEW_ENDPOINT };
  LcFlowAgentDesc desc = w->desc.agent;
  LcWorldAgent *a;

  if (address == LC_FLOW_WORLD_AGENTS || id >= LC_FLOW_WORLD_ENDPOINTS)
    return NULL;
  lc_world_free_agent (w->agents[address]);
  a = g_new0 (LcWorldAgent, 1);
  w->agents[address] = a;
  a->service_id = service;
  a->id = id;
  a->instance = ++w->next_instance;
  a->address = address;
  a->is_alive = true;
  lc_view_init (&a->view);
  w->service_of[id] = (uint8_t)service;
  if (!w->is_warm[id]) /* a restarted agent's backend server ran on */
    w->joined_us[id] = w->now_us;
  w->is_warm[id] = true;
  desc.self = (LcCandidate){ id, address, a->instance, LC_WORLD_PORT };
  desc.service_id = service;
  desc.connection_limit = w->desc.connection_limit;
  desc.backend_ipv4 = id; /* the fake network knows backend servers by endpoint */
  desc.backend_port = 1;
  lc_flow_agent_init (&a->agent, &desc, w->now_us);
  op.endpoint = lc_world__endpoint (w, a);
  lc_world_commit (w, op);
  lc_world_push (w, w->now_us + LC_FLOW_AGENT_TICK_US, LC_WORLD_TICK, address,
                 (uint32_t)a->instance, NULL);
  lc_world_push (w, w->now_us + 10 * LC_US_PER_S, LC_WORLD_ACTIVE, id, (uint32_t)a->instance, NULL);
  return a;
}

void
lc_world_free_agent (LcWorldAgent *a)
{
  if (a == NULL)
    return;
  lc_flow_agent_finish (&a->agent);
  lc_view_finish (&a->view);
  g_free (a);
}

void
lc_world_send_messages (LcFlowWorld *w, LcWorldAgent *a)
{
  LcFlowMessage message;
  uint8_t bytes[LC_FLOW_WIRE_MAX];

  while (lc_flow_agent_next_message (&a->agent, &message, w->now_us))
    {
      w->counts.message_bytes += lc_flow_wire_write (&message, bytes, sizeof bytes);
      if ((uint32_t)g_rand_int_range (w->network, 0, 1000) < w->desc.loss_permille)
        continue;
      lc_world_push (w, w->now_us + lc_world_delay (w, w->network, w->desc.reorder_us),
                     LC_WORLD_MESSAGE, message.to.ipv4, 0, g_memdup2 (&message, sizeof message));
    }
}

void
lc_world_on_tick (LcFlowWorld *w, uint32_t address, LcInstance instance)
{
  LcWorldAgent *a = w->agents[address];

  if (a == NULL || !a->is_alive || (uint32_t)a->instance != instance)
    return;
  lc_world_push (w, w->now_us + LC_FLOW_AGENT_TICK_US, LC_WORLD_TICK, address, (uint32_t)instance,
                 NULL);
  w->counts.node_seconds += (double)LC_FLOW_AGENT_TICK_US / (double)LC_US_PER_S;
  lc_flow_agent_tick (&a->agent, w->now_us);
  lc_world_send_messages (w, a);
}

void
lc_world_on_active (LcFlowWorld *w, LcEndpointId id, LcInstance instance)
{
  const LcEndpoint *e = lc_view_endpoint (&w->view, id);

  if (e != NULL && (uint32_t)e->instance == instance && e->state == LC_ENDPOINT_JOINING)
    lc_world__commit_endpoint (w, id, LC_ENDPOINT_ACTIVE);
}

/* === planned stop of an agent =============================================================== */

static void
lc_world__leave (LcFlowWorld *w, LcWorldAgent *a, bool is_restart)
{
  a->leaving_us = w->now_us;
  a->is_restarting = is_restart;
  lc_flow_agent_leave (&a->agent);
  lc_world__commit_endpoint (w, a->id, LC_ENDPOINT_DRAINING);
  lc_world_push (w, w->now_us, LC_WORLD_LEAVE_STEP, a->address, (uint32_t)a->instance, NULL);
}

static void
lc_world__gone (LcFlowWorld *w, LcWorldAgent *a)
{
  LcViewOp op = { .kind = LC_VIEW_ENDPOINT_REMOVED };

  a->is_alive = false;
  op.endpoint.id = a->id;
  op.endpoint.service_id = a->service_id;
  lc_world_commit (w, op);
  if (a->is_restarting)
    lc_world_push (w, w->now_us + LC_WORLD_RETURN_MS * LC_US_PER_MS, LC_WORLD_RETURN, a->id, 0,
                   NULL);
}

/* The baselines' endpoints stay as long as lychee's would before it hands over. */
static bool
lc_world__is_drained (const LcFlowWorld *w, const LcWorldAgent *a)
{
  int64_t limit_us = a->is_restarting ? LC_US_PER_S : w->desc.hand_over_us;

  if (!lc_flow_agent_is_drained (&a->agent, w->now_us))
    return false;
  return w->desc.policy == LC_POLICY_LYCHEE || w->open[a->id] == 0 ||
         w->now_us - a->leaving_us >= limit_us;
}

void
lc_world_on_leave_step (LcFlowWorld *w, uint32_t address, LcInstance instance)
{
  LcWorldAgent *a = w->agents[address];
  int64_t hand_over_us;

  if (a == NULL || !a->is_alive || (uint32_t)a->instance != instance)
    return;
  hand_over_us = a->is_restarting ? LC_US_PER_S : w->desc.hand_over_us;
  if (w->now_us - a->leaving_us >= hand_over_us)
    lc_flow_agent_hand_over (&a->agent);
  lc_world_send_messages (w, a);
  if (lc_world__is_drained (w, a))
    {
      lc_world__gone (w, a);
      return;
    }
  lc_world_push (w, w->now_us + LC_WORLD_LEAVE_STEP_MS * LC_US_PER_MS, LC_WORLD_LEAVE_STEP, address,
                 (uint32_t)instance, NULL);
}

/* === balancers ============================================================================== */

void
lc_world_add_balancer (LcFlowWorld *w)
{
  LcWorldBalancer *b;

  if (w->n_balancers == LC_FLOW_WORLD_BALANCERS)
    return;
  b = g_new0 (LcWorldBalancer, 1);
  b->id = ++w->next_balancer;
  b->dc = (LcDcId)(1 + b->id % w->desc.n_dcs);
  b->is_alive = true;
  b->lag_us = b->id % 3 == 0 ? w->desc.uneven_us : 0;
  b->tracked = g_hash_table_new (NULL, NULL);
  lc_view_init (&b->view);
  lc_flow_balancer_init (&b->balancer, b->dc);
  if (w->desc.has_hints)
    {
      b->hints = g_new0 (LcCandidate, LC_WORLD_HINTS);
      b->hint_keys = g_new0 (LcFlowKey, LC_WORLD_HINTS);
    }
  w->balancers[w->n_balancers++] = b;
  lc_world_on_view (w, true, w->n_balancers - 1); /* it starts with the newest view */
}

void
lc_world_free_balancer (LcWorldBalancer *b)
{
  lc_flow_balancer_finish (&b->balancer);
  lc_view_finish (&b->view);
  g_hash_table_destroy (b->tracked);
  g_free (b->hints);
  g_free (b->hint_keys);
  g_free (b);
}

static LcWorldBalancer *
lc_world__pick_balancer (LcFlowWorld *w, uint32_t subject, bool is_cut)
{
  uint32_t alive = 0;

  for (uint32_t i = 0; i < w->n_balancers; i++)
    alive += w->balancers[i]->is_alive && !w->balancers[i]->is_cut;
  for (uint32_t k = 0; k < w->n_balancers; k++)
    {
      LcWorldBalancer *b = w->balancers[(subject + k) % w->n_balancers];

      if (b->is_alive && b->is_cut == is_cut && (is_cut || alive > 1))
        return b;
    }
  return NULL;
}

static void
lc_world__balancer_change (LcFlowWorld *w, const LcFlowChange *c)
{
  LcWorldBalancer *b = lc_world__pick_balancer (w, c->subject, c->kind == LC_CHANGE_BALANCER_HEAL);

  if (b == NULL)
    return;
  switch (c->kind)
    {
    case LC_CHANGE_BALANCER_CUT:
      b->is_cut = true;
      lc_world_push (w, w->now_us + w->desc.lease_us, LC_WORLD_LOST, b->id, 1, NULL);
      break;
    case LC_CHANGE_BALANCER_HEAL:
      b->is_cut = false;
      b->is_lost = false;
      lc_flow_balancer_set_cut_off (&b->balancer, false);
      for (uint32_t i = 0; i < w->n_balancers; i++)
        if (w->balancers[i] == b)
          lc_world_push (w, w->now_us + lc_world_delay (w, w->control, w->desc.view_delay_us),
                         LC_WORLD_VIEW, i, 1, NULL);
      break;
    case LC_CHANGE_BALANCER_RESTART:
      b->is_alive = false;
      b->is_lost = true; /* it said goodbye */
      lc_world_add_balancer (w);
      break;
    default:
      b->is_alive = false;
      lc_world_push (w, w->now_us + w->desc.lease_us, LC_WORLD_LOST, b->id, 1, NULL);
      break;
    }
}

void
lc_world_on_lost (LcFlowWorld *w, bool is_balancer, uint32_t id)
{
  if (!is_balancer)
    {
      lc_world__commit_endpoint (w, id, LC_ENDPOINT_LOST);
      return;
    }
  for (uint32_t i = 0; i < w->n_balancers; i++)
    if (w->balancers[i]->id == id && (!w->balancers[i]->is_alive || w->balancers[i]->is_cut))
      {
        w->balancers[i]->is_lost = true;
        lc_flow_balancer_set_cut_off (&w->balancers[i]->balancer, true);
      }
}

/* === changes ================================================================================ */

/* An agent of the service that takes new flows, if one more than `keep` does. */
static LcWorldAgent *
lc_world__pick_agent (LcFlowWorld *w, uint32_t subject, uint32_t keep)
{
  LcWorldAgent *fit[LC_FLOW_WORLD_AGENTS];
  uint32_t n = 0;

  for (uint32_t i = 0; i < LC_FLOW_WORLD_AGENTS; i++)
    if (w->agents[i] != NULL && w->agents[i]->is_alive && w->agents[i]->leaving_us == 0 &&
        w->agents[i]->service_id == LC_WORLD_SERVICE)
      fit[n++] = w->agents[i];
  return n > keep ? fit[subject % n] : NULL;
}

static void
lc_world__agent_change (LcFlowWorld *w, const LcFlowChange *c)
{
  LcWorldAgent *a = lc_world__pick_agent (w, c->subject, 2);
  LcViewOp op = { .kind = LC_VIEW_ENDPOINT };

  if (a == NULL)
    return;
  switch (c->kind)
    {
    case LC_CHANGE_AGENT_DIE:
      a->is_alive = false;
      lc_world_doom (w, a);
      lc_world_push (w, w->now_us + w->desc.lease_us, LC_WORLD_LOST, a->id, 0, NULL);
      break;
    case LC_CHANGE_WEIGHT:
      op.endpoint = *lc_view_endpoint (&w->view, a->id);
      op.endpoint.weight_percent = (uint16_t)(50 + c->amount % 200);
      lc_world_commit (w, op);
      break;
    case LC_CHANGE_DRAIN:
    case LC_CHANGE_RESTART:
    default:
      lc_world__leave (w, a, c->kind == LC_CHANGE_RESTART);
      break;
    }
}

static void
lc_world__look_bad (LcFlowWorld *w, uint32_t n)
{
  for (uint32_t i = 0; i < LC_FLOW_WORLD_AGENTS; i++)
    if (w->agents[i] != NULL && w->agents[i]->service_id == LC_WORLD_SERVICE)
      {
        lc_flow_agent_set_looks_bad (&w->agents[i]->agent, n > 0);
        n -= n > 0;
      }
}

void
lc_world_on_change (LcFlowWorld *w, const LcFlowChange *c)
{
  switch (c->kind)
    {
    case LC_CHANGE_JOIN:
      (void)lc_world_add_agent (w, LC_WORLD_SERVICE, ++w->next_endpoint);
      break;
    case LC_CHANGE_REUSE:
      (void)lc_world_add_agent (w, LC_WORLD_OTHER_SERVICE, ++w->next_endpoint);
      break;
    case LC_CHANGE_BALANCER_JOIN:
      lc_world_add_balancer (w);
      break;
    case LC_CHANGE_LOOK_BAD:
      lc_world__look_bad (w, c->amount);
      break;
    case LC_CHANGE_REPEAT:
      for (uint32_t i = 0; i < w->n_balancers; i++)
        w->balancers[i]->ops -= MIN (w->balancers[i]->ops, 5);
      lc_world__hand_out (w, 0);
      break;
    case LC_CHANGE_BALANCER_DIE:
    case LC_CHANGE_BALANCER_CUT:
    case LC_CHANGE_BALANCER_HEAL:
    case LC_CHANGE_BALANCER_RESTART:
      lc_world__balancer_change (w, c);
      break;
    default:
      lc_world__agent_change (w, c);
      break;
    }
}
