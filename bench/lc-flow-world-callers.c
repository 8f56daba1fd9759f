/* Callers, the fabric, packets and what is measured of them in lc-flow-world. */
#include "lc-flow-world-private.h"

#include <string.h>

enum
{
  LC_WORLD_RETRY_MS = 700,
  LC_WORLD_PACKET_BYTES = 200,
  LC_WORLD_DEAD_SEEN_MS = 1000, /* the fabric stops using a dead balancer after this */
  LC_WORLD_RAMP_MS = 10000,
  LC_WORLD_CALLERS = 0x0b000000, /* their first address */
  LC_WORLD_PORTS = 60000,        /* flows an address */
  LC_WORLD_FIRST_PORT = 1024,
  LC_WORLD_HINT_BYTES = 60,
  LC_WORLD_TRACKED_BYTES = 40, /* of a baseline's entry, about what a hash table takes */
};

static LcWorldFlow *
lc_world__flow (LcFlowWorld *w, uint32_t i)
{
  return &g_array_index (w->flows, LcWorldFlow, i);
}

/* Flows are numbered through their source address and port. */
LcFlowKey
lc_world_key_of (const LcFlowWorld *w, uint32_t index)
{
  return (LcFlowKey){ .source_ipv4 = LC_WORLD_CALLERS + index / LC_WORLD_PORTS,
                      .target_ipv4 = 0x0a000000 + LC_WORLD_SERVICE,
                      .source_port = (uint16_t)(LC_WORLD_FIRST_PORT + index % LC_WORLD_PORTS),
                      .target_port = 443,
                      .protocol = w->desc.is_udp ? LC_PROTOCOL_UDP : LC_PROTOCOL_TCP };
}

static uint32_t
lc_world__index_of (const LcFlowKey *key)
{
  return (key->source_ipv4 - LC_WORLD_CALLERS) * LC_WORLD_PORTS + key->source_port -
         LC_WORLD_FIRST_PORT;
}

/* === callers ================================================================================ */

static double
lc_world__weight_of (const LcFlowWorld *w, const LcWorldFlow *f)
{
  return w->desc.heavy_permille != 0 ? f->weight : 1;
}

void
lc_world_on_start (LcFlowWorld *w)
{
  uint32_t open = w->desc.flows * w->desc.n_endpoints;
  double gap_us = (double)w->desc.flow_mean_us / open;
  LcWorldFlow f = { .weight = 1 };
  double mean_us = (double)w->desc.flow_mean_us;
  uint32_t index = w->flows->len;

  f.key = lc_world_key_of (w, index);
  if (g_rand_double (w->callers) * 1000 < w->desc.heavy_permille)
    {
      f.weight = w->desc.heavy_weight;
      mean_us *= 10;
    }
  f.end_us = w->now_us + (int64_t)lc_world_exponential (w->callers, mean_us);
  g_array_append_val (w->flows, f);
  w->counts.flows++;
  lc_world_push (w, w->now_us, LC_WORLD_SEND, index, 0, NULL);
  /* The first flows come quickly, so that the warm-up ends with about the full number open. */
  if (index < open)
    gap_us = (double)w->desc.length_us / 20.0 / open;
  lc_world_push (w, w->now_us + (int64_t)lc_world_exponential (w->callers, gap_us), LC_WORLD_START,
                 0, 0, NULL);
}

static uint32_t
lc_world__spray (LcFlowWorld *w)
{
  uint32_t fit[LC_FLOW_WORLD_BALANCERS];
  uint32_t n = 0;

  for (uint32_t i = 0; i < w->n_balancers; i++)
    if (w->balancers[i]->is_alive || !w->balancers[i]->is_lost)
      fit[n++] = i;
  return fit[g_rand_int_range (w->network, 0, (gint32)n)];
}

static void
lc_world__send_packet (LcFlowWorld *w, uint32_t flow)
{
  const LcWorldFlow *f = lc_world__flow (w, flow);
  bool is_first = f->packet == 1;
  LcWorldDatagram d = { .flow = flow, .index = f->packet };
  uint32_t copies = 1;

  d.packet.key = f->key;
  d.packet.may_open = is_first || w->desc.is_udp;
  d.packet.is_last = f->is_closing && !w->desc.is_udp;
  d.packet.total_len = (uint16_t)(LC_WORLD_PACKET_BYTES * f->weight);
  if (is_first && g_rand_int_range (w->network, 0, 1000) < (gint32)w->desc.duplicate_permille)
    copies = 2;
  for (uint32_t i = 0; i < copies; i++)
    lc_world_push (w, w->now_us + lc_world_delay (w, w->network, w->desc.reorder_us),
                   LC_WORLD_BALANCER, lc_world__spray (w), 0, g_memdup2 (&d, sizeof d));
  lc_world_push (w, w->now_us + LC_WORLD_RETRY_MS * LC_US_PER_MS, LC_WORLD_RETRY, flow, f->packet,
                 NULL);
}

void
lc_world_on_send (LcFlowWorld *w, uint32_t flow)
{
  LcWorldFlow *f = lc_world__flow (w, flow);

  if (f->state == LC_WORLD_FLOW_DONE)
    return;
  f->packet++;
  f->tries = 1;
  f->is_closing = f->packet > 1 && w->now_us >= f->end_us;
  lc_world__send_packet (w, flow);
}

static void
lc_world__close (LcFlowWorld *w, LcWorldFlow *f)
{
  if (f->state == LC_WORLD_FLOW_OPEN)
    {
      w->open[f->backend]--;
      w->weight[f->backend] -= f->weight;
    }
  f->state = LC_WORLD_FLOW_DONE;
}

static void
lc_world__break (LcFlowWorld *w, uint32_t flow, const char *why)
{
  LcWorldFlow *f = lc_world__flow (w, flow);

  if (f->state == LC_WORLD_FLOW_DONE)
    return;
  w->counts.broken++;
  lc_world_complain (w, "flow %u of endpoint %u: %s", flow, f->backend, why);
  lc_world__close (w, f);
}

void
lc_world_on_retry (LcFlowWorld *w, uint32_t flow, uint32_t packet)
{
  LcWorldFlow *f = lc_world__flow (w, flow);

  if (f->state == LC_WORLD_FLOW_DONE || f->packet != packet || f->delivered >= packet)
    return;
  if (f->tries++ >= LC_FLOW_WORLD_TRIES)
    {
      if (f->state == LC_WORLD_FLOW_OPEN)
        lc_world__break (w, flow, "no try was delivered");
      else
        w->counts.refused++;
      lc_world__close (w, f);
      return;
    }
  w->counts.retries++;
  lc_world__send_packet (w, flow);
}

/* === delivery =============================================================================== */

static void
lc_world__establish (LcFlowWorld *w, LcWorldFlow *f, LcEndpointId backend)
{
  f->state = LC_WORLD_FLOW_OPEN;
  f->backend = backend;
  w->open[backend]++;
  w->weight[backend] += f->weight;
  w->counts.established++;
}

static void
lc_world__delivered (LcFlowWorld *w, const LcWorldDatagram *d, LcEndpointId backend)
{
  LcWorldFlow *f = lc_world__flow (w, d->flow);

  if (w->service_of[backend] != LC_WORLD_SERVICE)
    {
      w->counts.misdelivered++;
      lc_world_complain (w, "flow %u reached endpoint %u of another service", d->flow, backend);
      return;
    }
  if (w->is_dead[backend] || f->state == LC_WORLD_FLOW_DONE)
    return;
  if (f->state == LC_WORLD_FLOW_NEW)
    lc_world__establish (w, f, backend);
  if (f->backend != backend)
    {
      w->counts.second_owners++;
      lc_world__break (w, d->flow, "a second owner");
      return;
    }
  w->counts.packets++;
  w->counts.sends += d->hops;
  if (f->delivered >= d->index)
    return;
  f->delivered = d->index;
  if (f->is_closing)
    lc_world__close (w, f);
  else if (f->packet == d->index)
    lc_world_push (
        w,
        MIN (w->now_us + (int64_t)lc_world_exponential (w->network, (double)w->desc.packet_gap_us),
             MAX (f->end_us, w->now_us)),
        LC_WORLD_SEND, d->flow, 0, NULL);
}

static void
lc_world__doom_flow (LcFlowWorld *w, uint32_t i)
{
  LcWorldFlow *f = lc_world__flow (w, i);

  if (f->state != LC_WORLD_FLOW_OPEN)
    return;
  w->counts.doomed++;
  w->counts.broken++;
  lc_world__close (w, f);
}

/* The flows of its backend server die with it, and those that it had adopted: it was their owner.
 */
void
lc_world_doom (LcFlowWorld *w, const LcWorldAgent *a)
{
  const LcFlowTable *t = &a->agent.table;

  w->is_dead[a->id] = true;
  for (guint i = 0; i < w->flows->len; i++)
    if (lc_world__flow (w, i)->backend == a->id)
      lc_world__doom_flow (w, i);
  for (uint32_t i = 0; i < t->capacity; i++)
    if (t->flows[i].kind == LC_FLOW_OWNED && (t->flows[i].flags & LC_FLOW_ADOPTED) != 0)
      lc_world__doom_flow (w, lc_world__index_of (&t->flows[i].key));
}

/* === the network ============================================================================ */

static void
lc_world__send_datagram (LcFlowWorld *w, LcWorldDatagram *d, uint32_t address)
{
  d->hops++;
  if ((uint32_t)g_rand_int_range (w->network, 0, 1000) < w->desc.loss_permille)
    return;
  lc_world_push (w, w->now_us + lc_world_delay (w, w->network, w->desc.reorder_us),
                 LC_WORLD_DATAGRAM, address, 0, g_memdup2 (d, sizeof *d));
}

/* A cached owner goes before the list: a wrong one costs a hop. */
static bool
lc_world__use_hint (LcWorldBalancer *b, LcWorldDatagram *d, LcCandidate *to)
{
  LcEnvelope *e = &d->envelope;
  uint32_t slot = (uint32_t)(lc_flow_key_hash (&d->packet.key) % LC_WORLD_HINTS);

  if (b->hints == NULL || !lc_flow_key_equal (&b->hint_keys[slot], &d->packet.key))
    return false;
  memmove (&e->candidates[1], &e->candidates[0], e->n * sizeof e->candidates[0]);
  e->candidates[0] = b->hints[slot];
  e->n++;
  e->assigner++;
  e->mode = LC_MODE_OWNER;
  e->target_id = b->hints[slot].id;
  e->target_instance = b->hints[slot].instance;
  *to = b->hints[slot];
  return true;
}

void
lc_world_on_balancer (LcFlowWorld *w, uint32_t balancer, const LcWorldDatagram *sent)
{
  LcWorldBalancer *b = w->balancers[balancer];
  LcWorldDatagram d = *sent;
  LcCandidate to;

  if (!b->is_alive)
    return;
  d.balancer = balancer;
  if (w->desc.policy != LC_POLICY_LYCHEE)
    {
      LcEndpointId id = lc_world_baseline (w, balancer, &d);

      d.hops++;
      if (id != 0)
        lc_world_push (w, w->now_us + lc_world_delay (w, w->network, w->desc.reorder_us),
                       LC_WORLD_DIRECT, id, 0, g_memdup2 (&d, sizeof d));
      return;
    }
  if (lc_flow_balancer_steer (&b->balancer, &d.packet, &d.envelope, &to) < 0)
    return;
  if (w->desc.breaks_order)
    d.envelope.assigner = 0;
  (void)lc_world__use_hint (b, &d, &to);
  lc_world__send_datagram (w, &d, to.ipv4);
}

static void
lc_world__learn_hint (LcFlowWorld *w, const LcWorldAgent *a, const LcWorldDatagram *d)
{
  LcWorldBalancer *b = w->balancers[d->balancer];
  uint32_t slot = (uint32_t)(lc_flow_key_hash (&d->packet.key) % LC_WORLD_HINTS);

  if (b->hints == NULL || d->hops < 2)
    return;
  b->hints[slot] = a->agent.desc.self;
  b->hint_keys[slot] = d->packet.key;
  w->counts.message_bytes += LC_WORLD_HINT_BYTES;
}

static void
lc_world__note_delivery (LcFlowWorld *w,
                         const LcWorldAgent *a,
                         const LcWorldDatagram *d,
                         const LcFlowAction *action)
{
  LcEndpointId backend = action->deliver.backend_ipv4 != 0 ? action->deliver.backend_ipv4 : a->id;

  if (action->deliver.is_new && a->leaving_us != 0)
    {
      w->counts.late_accepts++;
      lc_world_complain (w, "endpoint %u took a flow while leaving", a->id);
    }
  if (action->deliver.is_new)
    {
      const LcEndpoint *e = lc_view_endpoint (&w->view, a->id);

      w->counts.in_dc += e != NULL && e->dc == d->envelope.dc;
    }
  lc_world__learn_hint (w, a, d);
  lc_world__delivered (w, d, backend);
}

void
lc_world_on_datagram (LcFlowWorld *w, uint32_t address, LcWorldDatagram *d)
{
  LcWorldAgent *a = w->agents[address];
  bool is_traced = d->flow == w->desc.trace_flow && d->flow != 0;
  LcFlowAction action;
  LcWorldSeen before;
  LcEnvelope came;

  if (a == NULL || !a->is_alive)
    return;
  if (w->desc.breaks_instance)
    {
      d->envelope.service_id = a->service_id;
      d->envelope.target_id = a->id;
      d->envelope.target_instance = a->instance;
    }
  if (is_traced)
    {
      came = d->envelope;
      before = lc_world_seen (a, &d->packet.key);
    }
  action = lc_flow_agent_handle_packet (&a->agent, &d->envelope, &d->packet, w->now_us);
  if (is_traced)
    lc_world_trace_packet (w, a, &came, d, &before, &action);
  switch (action.kind)
    {
    case LC_FLOW_ACTION_DELIVER:
      lc_world__note_delivery (w, a, d, &action);
      break;
    case LC_FLOW_ACTION_SEND:
      lc_world__send_datagram (w, d, action.send.ipv4);
      break;
    case LC_FLOW_ACTION_DROP:
    default:
      w->counts.endless += action.reason == LC_DROP_HOPS;
      if (action.reason == LC_DROP_HOPS)
        lc_world_complain (w, "flow %u ran out of hops", d->flow);
      break;
    }
  lc_world_send_messages (w, a);
}

/* === baselines ============================================================================== */

static bool
lc_world__is_up (const LcFlowWorld *w, LcEndpointId id)
{
  const LcEndpoint *e = lc_view_endpoint (&w->view, id);

  /* The ideal hands over like lychee does, without a cost. */
  return (e != NULL || w->desc.policy == LC_POLICY_IDEAL) && !w->is_dead[id];
}

void
lc_world_on_direct (LcFlowWorld *w, LcEndpointId to, const LcWorldDatagram *d)
{
  LcWorldFlow *f = lc_world__flow (w, d->flow);

  if (!lc_world__is_up (w, to))
    return;
  if (f->state == LC_WORLD_FLOW_OPEN && f->backend != to)
    {
      /* The endpoint does not know the flow: it answers with a reset. */
      lc_world__break (w, d->flow, "reached an endpoint that does not own it");
      return;
    }
  if (f->state == LC_WORLD_FLOW_NEW && !d->packet.may_open)
    return;
  lc_world__delivered (w, d, to);
}

static LcEndpointId
lc_world__by_modulo (const LcService *s, uint64_t hash)
{
  LcEndpointId ids[LC_FLOW_WORLD_AGENTS];
  uint32_t n = 0;

  for (uint32_t i = 0; i < s->n_endpoints && n < LC_FLOW_WORLD_AGENTS; i++)
    if (lc_endpoint_is_candidate (&s->endpoints[i]))
      ids[n++] = s->endpoints[i].id;
  return n > 0 ? ids[hash % n] : 0;
}

static LcEndpointId
lc_world__by_rendezvous (const LcService *s, uint64_t hash, uint32_t set)
{
  LcCandidateSets sets = { 0 };
  const LcSetMember *homes[LC_HOMES];
  LcEndpointId id = 0;

  lc_candidate_sets_compile (&sets, s);
  if (set < sets.n_sets && lc_candidates_homes (&sets, set, hash, LC_REGIONS_ALL, homes) > 0)
    id = homes[0]->candidate.id;
  lc_candidate_sets_finish (&sets);
  return id;
}

static LcEndpointId
lc_world__by_tracking (LcWorldBalancer *b, const LcService *s, const LcWorldDatagram *d)
{
  gpointer key = GUINT_TO_POINTER (d->flow + 1);
  LcEndpointId id = GPOINTER_TO_UINT (g_hash_table_lookup (b->tracked, key));

  if (id != 0)
    return id;
  id = lc_world__by_rendezvous (s, lc_flow_key_hash (&d->packet.key), 0);
  g_hash_table_insert (b->tracked, key, GUINT_TO_POINTER (id));
  return id;
}

/* The new first choice passes what it does not own to the first choice of the set before. */
static LcEndpointId
lc_world__by_one_step (LcFlowWorld *w, const LcService *s, LcWorldDatagram *d)
{
  const LcWorldFlow *f = lc_world__flow (w, d->flow);
  uint64_t hash = lc_flow_key_hash (&d->packet.key);
  LcEndpointId first = lc_world__by_rendezvous (s, hash, 0);
  LcEndpointId before = lc_world__by_rendezvous (s, hash, 1);

  if (f->state != LC_WORLD_FLOW_OPEN || f->backend == first || before == 0)
    return first;
  d->hops++;
  return before;
}

static LcEndpointId
lc_world__ideal (LcFlowWorld *w, const LcWorldDatagram *d)
{
  LcWorldFlow *f = lc_world__flow (w, d->flow);
  const LcService *s = lc_view_service (&w->view, LC_WORLD_SERVICE);
  double best_load = 0;
  LcEndpointId best = 0;

  if (f->ideal != 0)
    return f->ideal;
  for (uint32_t i = 0; i < s->n_endpoints; i++)
    {
      const LcEndpoint *e = &s->endpoints[i];
      double load = w->desc.heavy_permille != 0 ? (double)w->weight[e->id] : w->open[e->id];

      if (!lc_endpoint_is_candidate (e) || w->is_dead[e->id])
        continue;
      load = (load + lc_world__weight_of (w, f)) / lc_world_capacity (w, e);
      if (best == 0 || load < best_load)
        {
          best = e->id;
          best_load = load;
        }
    }
  f->ideal = best;
  return best;
}

LcEndpointId
lc_world_baseline (LcFlowWorld *w, uint32_t balancer, const LcWorldDatagram *d)
{
  LcWorldBalancer *b = w->balancers[balancer];
  const LcService *s = lc_view_service (&b->view, LC_WORLD_SERVICE);
  LcWorldDatagram copy = *d;

  if (s == NULL)
    return 0;
  switch (w->desc.policy)
    {
    case LC_POLICY_MODULO:
      return lc_world__by_modulo (s, lc_flow_key_hash (&d->packet.key));
    case LC_POLICY_TRACKING:
      return lc_world__by_tracking (b, s, d);
    case LC_POLICY_ONE_STEP:
      return lc_world__by_one_step (w, s, &copy);
    case LC_POLICY_IDEAL:
    default:
      return lc_world__ideal (w, d);
    }
}

/* === measuring ============================================================================== */

double
lc_world_capacity (const LcFlowWorld *w, const LcEndpoint *e)
{
  double age = (double)(w->now_us - w->joined_us[e->id]) / (LC_WORLD_RAMP_MS * 1000.0);
  double ramp = w->joined_us[e->id] == 0 || age >= 1 ? 1 : 0.1 + 0.9 * age;

  return ramp * e->weight_percent / 100.0;
}

static void
lc_world__measure_imbalance (LcFlowWorld *w)
{
  const LcService *s = lc_view_service (&w->view, LC_WORLD_SERVICE);
  double peak = 0;
  double load_total = 0;
  double capacity_total = 0;

  for (uint32_t i = 0; i < s->n_endpoints; i++)
    {
      const LcEndpoint *e = &s->endpoints[i];
      double load = w->desc.heavy_permille != 0 ? (double)w->weight[e->id] : w->open[e->id];
      double capacity = lc_world_capacity (w, e);

      if (!lc_endpoint_is_candidate (e) || w->is_dead[e->id])
        continue;
      peak = MAX (peak, load / capacity);
      load_total += load;
      capacity_total += capacity;
    }
  if (load_total > 0)
    {
      double imbalance = peak * capacity_total / load_total;

      g_array_append_val (w->counts.imbalance, imbalance);
    }
}

static void
lc_world__measure_memory (LcFlowWorld *w)
{
  uint64_t open = 0;
  uint64_t agents = 0;
  uint64_t balancers = 0;

  for (uint32_t i = 0; i < LC_FLOW_WORLD_ENDPOINTS; i++)
    open += w->open[i];
  for (uint32_t i = 0; i < LC_FLOW_WORLD_AGENTS; i++)
    if (w->agents[i] != NULL && w->agents[i]->is_alive)
      agents +=
          (uint64_t)w->agents[i]->agent.table.n_flows * (sizeof (LcFlow) + 2 * sizeof (uint32_t));
  for (uint32_t i = 0; i < w->n_balancers; i++)
    balancers += (uint64_t)g_hash_table_size (w->balancers[i]->tracked) * LC_WORLD_TRACKED_BYTES +
                 (w->balancers[i]->hints != NULL
                      ? LC_WORLD_HINTS * (sizeof (LcCandidate) + sizeof (LcFlowKey))
                      : 0);
  if (open <= w->counts.peak_open)
    return;
  w->counts.peak_open = open;
  w->counts.agent_bytes = agents;
  w->counts.balancer_bytes = balancers;
}

void
lc_world_measure (LcFlowWorld *w)
{
  lc_world_push (w, w->now_us + LC_US_PER_S, LC_WORLD_SECOND, 0, 0, NULL);
  lc_world__measure_memory (w);
  if (w->now_us >= LC_US_PER_S + w->desc.length_us / 10)
    lc_world__measure_imbalance (w);
}
