#include "lc-flow-world-private.h"

#include <gsl/gsl_math.h>
#include <stdarg.h>
#include <string.h>

/* === events ================================================================================= */

static bool
lc_world__before (const LcWorldEvent *a, const LcWorldEvent *b)
{
  return a->when_us != b->when_us ? a->when_us < b->when_us : a->order < b->order;
}

static void
lc_world__swap (LcWorldEvent *a, LcWorldEvent *b)
{
  LcWorldEvent c = *a;

  *a = *b;
  *b = c;
}

void
lc_world_push (
    LcFlowWorld *w, int64_t when_us, LcWorldEventKind kind, uint32_t a, uint32_t b, void *data)
{
  LcWorldEvent event = { when_us, w->order++, kind, a, b, data };
  LcWorldEvent *heap;
  guint i = w->events->len;

  g_array_append_val (w->events, event);
  heap = (LcWorldEvent *)(void *)w->events->data;
  for (; i > 0 && lc_world__before (&heap[i], &heap[(i - 1) / 2]); i = (i - 1) / 2)
    lc_world__swap (&heap[i], &heap[(i - 1) / 2]);
}

static LcWorldEvent
lc_world__pop (LcFlowWorld *w)
{
  LcWorldEvent *heap = (LcWorldEvent *)(void *)w->events->data;
  LcWorldEvent first = heap[0];
  guint n = w->events->len - 1;
  guint i = 0;

  heap[0] = heap[n];
  g_array_set_size (w->events, n);
  for (;;)
    {
      guint least = i;

      for (guint child = 2 * i + 1; child <= 2 * i + 2 && child < n; child++)
        if (lc_world__before (&heap[child], &heap[least]))
          least = child;
      if (least == i)
        return first;
      lc_world__swap (&heap[i], &heap[least]);
      i = least;
    }
}

int64_t
lc_world_delay (LcFlowWorld *w, GRand *stream, int64_t longest_us)
{
  (void)w;
  return longest_us / 10 + (int64_t)(g_rand_double (stream) * 0.9 * (double)longest_us);
}

double
lc_world_exponential (GRand *stream, double mean)
{
  return -mean * log (1.0 - g_rand_double (stream));
}

void
lc_world_complain (LcFlowWorld *w, const char *format, ...)
{
  va_list args;
  int n;

  if (w->complaint[0] != '\0')
    return;
  n = g_snprintf (w->complaint, sizeof w->complaint, "at %.3f s: ", (double)w->now_us / 1e6);
  va_start (args, format);
  (void)g_vsnprintf (w->complaint + n, sizeof w->complaint - (gulong)n, format, args);
  va_end (args);
}

/* === lifetime =============================================================================== */

static void
lc_world__set_defaults (LcFlowWorldDesc *d)
{
  d->n_endpoints = d->n_endpoints != 0 ? d->n_endpoints : 7;
  d->n_balancers = d->n_balancers != 0 ? d->n_balancers : 4;
  d->flows = d->flows != 0 ? d->flows : 50;
  d->length_us = d->length_us != 0 ? d->length_us : 60 * LC_US_PER_S;
  d->flow_mean_us = d->flow_mean_us != 0 ? d->flow_mean_us : 10 * LC_US_PER_S;
  d->packet_gap_us = d->packet_gap_us != 0 ? d->packet_gap_us : LC_US_PER_S;
  d->view_delay_us = d->view_delay_us != 0 ? d->view_delay_us : 50 * LC_US_PER_MS;
  d->lease_us = d->lease_us != 0 ? d->lease_us : 3 * LC_US_PER_S;
  d->hand_over_us = d->hand_over_us != 0 ? d->hand_over_us : 20 * LC_US_PER_S;
  d->reorder_us = d->reorder_us != 0 ? d->reorder_us : LC_US_PER_MS;
  d->n_dcs = d->n_dcs != 0 ? d->n_dcs : 1;
  d->heavy_weight = d->heavy_weight != 0 ? d->heavy_weight : 20;
}

static void
lc_world__open_services (LcFlowWorld *w)
{
  for (LcServiceId id = LC_WORLD_SERVICE; id <= LC_WORLD_OTHER_SERVICE; id++)
    {
      LcViewOp op = { .kind = LC_VIEW_SERVICE, .service = { .id = id } };
      LcViewOp address = { .kind = LC_VIEW_ADDRESS,
                           .address = { .ipv4 = 0x0a000000 + id,
                                        .port = 443,
                                        .protocol =
                                            w->desc.is_udp ? LC_PROTOCOL_UDP : LC_PROTOCOL_TCP,
                                        .service_id = id } };

      lc_world_commit (w, op);
      lc_world_commit (w, address);
    }
}

/* Everybody has the first view and nothing of it is unsettled. */
static void
lc_world__begin (LcFlowWorld *w)
{
  LcViewOp settled = { .kind = LC_VIEW_SETTLED };

  for (uint32_t i = 0; i < w->desc.n_balancers; i++)
    lc_world_add_balancer (w);
  for (uint32_t i = 0; i < w->desc.n_endpoints; i++)
    (void)lc_world_add_agent (w, LC_WORLD_SERVICE, ++w->next_endpoint);
  for (uint32_t i = 0; i < 2; i++)
    (void)lc_world_add_agent (w, LC_WORLD_OTHER_SERVICE, ++w->next_endpoint);
  for (guint i = 0, n = w->ops->len; i < n; i++)
    {
      LcViewOp op = g_array_index (w->ops, LcViewOp, i);

      if (op.kind != LC_VIEW_ENDPOINT)
        continue;
      op.endpoint.state = LC_ENDPOINT_ACTIVE; /* no cold start for the first ones */
      w->joined_us[op.endpoint.id] = 0;
      lc_world_commit (w, op);
    }
  settled.settled_revision = w->revision;
  lc_world_commit (w, settled);
  for (uint32_t i = 0; i < LC_FLOW_WORLD_AGENTS; i++)
    if (w->agents[i] != NULL)
      lc_world_on_view (w, false, i);
  for (uint32_t i = 0; i < w->n_balancers; i++)
    lc_world_on_view (w, true, i);
}

LcFlowWorld *
lc_flow_world_new (const LcFlowWorldDesc *desc)
{
  LcFlowWorld *w = g_new0 (LcFlowWorld, 1);

  w->desc = *desc;
  lc_world__set_defaults (&w->desc);
  w->now_us = LC_US_PER_S;
  w->events = g_array_new (FALSE, FALSE, sizeof (LcWorldEvent));
  w->ops = g_array_new (FALSE, FALSE, sizeof (LcViewOp));
  w->flows = g_array_new (FALSE, TRUE, sizeof (LcWorldFlow));
  w->counts.imbalance = g_array_new (FALSE, FALSE, sizeof (double));
  w->callers = g_rand_new_with_seed ((guint32)desc->seed);
  w->network = g_rand_new_with_seed ((guint32)desc->seed + 1);
  w->control = g_rand_new_with_seed ((guint32)desc->seed + 2);
  lc_view_init (&w->view);
  lc_world__open_services (w);
  lc_world__begin (w);
  lc_world_push (w, w->now_us, LC_WORLD_START, 0, 0, NULL);
  lc_world_push (w, w->now_us, LC_WORLD_CONTROL, 0, 0, NULL);
  lc_world_push (w, w->now_us + LC_US_PER_S, LC_WORLD_SECOND, 0, 0, NULL);
  return w;
}

void
lc_flow_world_free (LcFlowWorld *w)
{
  for (guint i = 0; i < w->events->len; i++)
    g_free (g_array_index (w->events, LcWorldEvent, i).data);
  for (uint32_t i = 0; i < LC_FLOW_WORLD_AGENTS; i++)
    lc_world_free_agent (w->agents[i]);
  for (uint32_t i = 0; i < w->n_balancers; i++)
    lc_world_free_balancer (w->balancers[i]);
  g_array_free (w->events, TRUE);
  g_array_free (w->ops, TRUE);
  g_array_free (w->flows, TRUE);
  g_array_free (w->counts.imbalance, TRUE);
  g_rand_free (w->callers);
  g_rand_free (w->network);
  g_rand_free (w->control);
  lc_view_finish (&w->view);
  g_free (w);
}

/* === running ================================================================================ */

void
lc_flow_world_at (LcFlowWorld *w, int64_t when_us, LcFlowChange change)
{
  lc_world_push (w, LC_US_PER_S + when_us, LC_WORLD_CHANGE, 0, 0,
                 g_memdup2 (&change, sizeof change));
}

static void
lc_world__traced_message (LcFlowWorld *w, LcWorldAgent *a, const LcFlowMessage *m)
{
  LcFlowKey key = lc_world_key_of (w, w->desc.trace_flow);
  LcWorldSeen before = lc_world_seen (a, &key);

  lc_flow_agent_handle_message (&a->agent, m, w->now_us);
  lc_world_trace_message (w, a, m, &key, &before);
}

static void
lc_world__on_message (LcFlowWorld *w, LcWorldAgent *a, const LcFlowMessage *m)
{
  if (a == NULL || !a->is_alive)
    return;
  if (w->desc.trace_flow != 0)
    lc_world__traced_message (w, a, m);
  else
    lc_flow_agent_handle_message (&a->agent, m, w->now_us);
  lc_world_send_messages (w, a);
}

static void
lc_world__dispatch (LcFlowWorld *w, const LcWorldEvent *e)
{
  switch (e->kind)
    {
    case LC_WORLD_START:
      lc_world_on_start (w);
      break;
    case LC_WORLD_SEND:
      lc_world_on_send (w, e->a);
      break;
    case LC_WORLD_RETRY:
      lc_world_on_retry (w, e->a, e->b);
      break;
    case LC_WORLD_BALANCER:
      lc_world_on_balancer (w, e->a, e->data);
      break;
    case LC_WORLD_DATAGRAM:
      lc_world_on_datagram (w, e->a, e->data);
      break;
    case LC_WORLD_DIRECT:
      lc_world_on_direct (w, e->a, e->data);
      break;
    case LC_WORLD_MESSAGE:
      lc_world__on_message (w, w->agents[e->a], e->data);
      break;
    case LC_WORLD_VIEW:
      lc_world_on_view (w, e->b != 0, e->a);
      break;
    case LC_WORLD_TICK:
      lc_world_on_tick (w, e->a, e->b);
      break;
    case LC_WORLD_CONTROL:
      lc_world_on_control (w);
      break;
    case LC_WORLD_SECOND:
      lc_world_measure (w);
      break;
    case LC_WORLD_CHANGE:
      lc_world_on_change (w, e->data);
      break;
    case LC_WORLD_LEAVE_STEP:
      lc_world_on_leave_step (w, e->a, e->b);
      break;
    case LC_WORLD_LOST:
      lc_world_on_lost (w, e->b != 0, e->a);
      break;
    case LC_WORLD_ACTIVE:
      lc_world_on_active (w, e->a, e->b);
      break;
    case LC_WORLD_RETURN:
    default:
      (void)lc_world_add_agent (w, LC_WORLD_SERVICE, e->a);
      break;
    }
}

static void
lc_world__check_tables (LcFlowWorld *w, LcWorldEventKind kind)
{
  for (uint32_t i = 0; i < LC_FLOW_WORLD_AGENTS; i++)
    {
      const LcWorldAgent *a = w->agents[i];
      const char *fault = a != NULL && a->is_alive ? lc_flow_table_check (&a->agent.table) : NULL;

      if (fault == NULL)
        continue;
      w->counts.table_faults++;
      lc_world_complain (w, "table of endpoint %u after event %d: %s", a->id, kind, fault);
    }
}

void
lc_flow_world_run (LcFlowWorld *w)
{
  int64_t end_us = LC_US_PER_S + w->desc.length_us;

  while (w->events->len > 0)
    {
      LcWorldEvent event = lc_world__pop (w);

      if (event.when_us > end_us)
        {
          g_free (event.data);
          return;
        }
      w->now_us = event.when_us;
      lc_world__dispatch (w, &event);
      if (w->desc.checks_tables)
        lc_world__check_tables (w, event.kind);
      g_free (event.data);
      if (w->counts.table_faults > 0)
        return; /* what comes next may crash */
    }
}

const LcFlowWorldCounts *
lc_flow_world_counts (const LcFlowWorld *w)
{
  return &w->counts;
}

const char *
lc_flow_world_complaint (const LcFlowWorld *w)
{
  return w->complaint;
}
