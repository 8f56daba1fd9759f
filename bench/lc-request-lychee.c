/* The policy `lychee`: the product's own decision functions on a small fake of network and
 * endpoints. */
#include "lc-lychee-world.h"

/* === messages =============================================================================== */

static void
lc_lychee__on_attempt (LcLychee *l, LcEvent *event)
{
  LcNode *node = &l->nodes[event->to];
  uint64_t run_id;

  event->attempt.attempt.deadline_us = l->now_us + event->attempt.left_us;
  run_id = lc_request_agent_handle_attempt (&node->agent, &event->attempt.attempt, l->now_us);
  if (run_id != 0)
    g_hash_table_insert (node->payloads, GSIZE_TO_POINTER (run_id),
                         GUINT_TO_POINTER (event->attempt.order + 1));
  lc_lychee__act_agent (l, event->to);
}

static void
lc_lychee__on_run_end (LcLychee *l, const LcEvent *event)
{
  LcNode *node = &l->nodes[event->to];
  uint32_t index = GPOINTER_TO_UINT (
                       g_hash_table_lookup (node->payloads, GSIZE_TO_POINTER (event->run.run_id))) -
                   1;
  LcAnswer *answer = lc_answer_new (200, g_bytes_new (NULL, 0), g_bytes_new (&index, sizeof index));

  lc_lychee__count_busy (l, event->to, event->run.run_id);
  lc_request_agent_end_run (&node->agent, event->run.run_id, event->run.how, answer, l->now_us);
  lc_answer_unref (answer);
  lc_lychee__act_agent (l, event->to);
}

static void
lc_lychee__on_answer (LcLychee *l, const LcEvent *event)
{
  LcNode *node = &l->nodes[event->to];
  uint64_t flight_id;
  uint32_t index;
  LcSimOrder *order;

  lc_request_balancer_handle_report (&node->balancer, event->back.reporter, &event->back.report,
                                     l->now_us);
  flight_id = lc_request_balancer_handle_answer (&node->balancer, &event->back.ref,
                                                 event->back.is_whole, 200, l->now_us);
  if (flight_id != 0)
    {
      index = lc_lychee__flight_order (l, event->to, flight_id);
      order = &l->sim->orders[event->back.order];
      l->sim->result.partial += !event->back.is_whole;
      if (index != event->back.order)
        l->sim->result.crossed++;
      else if (order->done_us == 0)
        order->done_us = l->now_us;
      if (index != UINT32_MAX)
        lc_lychee__order_over (l, index, event->to);
    }
  lc_lychee__act_balancer (l, event->to);
}

static void
lc_lychee__on_refuse (LcLychee *l, const LcEvent *event)
{
  LcNode *node = &l->nodes[event->to];

  lc_request_balancer_handle_report (&node->balancer, event->back.reporter, &event->back.report,
                                     l->now_us);
  lc_request_balancer_handle_refusal (&node->balancer, &event->back.ref, &event->back.refusal,
                                      event->back.retry_after_us, l->now_us);
  lc_lychee__act_balancer (l, event->to);
}

static void
lc_lychee__on_claim (LcLychee *l, const LcEvent *event)
{
  LcNode *node = &l->nodes[event->to];
  LcClaimRecord hold = { 0 };
  LcClaimReply reply = { .home = node->agent.desc.self,
                         .key = event->claim.key,
                         .sequence = event->claim.sequence,
                         .era = event->claim.era };
  LcEvent *back;

  reply.result = lc_request_agent_handle_claim (
      &node->agent, event->claim.home.instance, event->claim.key, event->claim.owner,
      event->claim.sequence, event->claim.era, event->claim.keep_us, l->now_us, &hold);
  reply.holder = hold.owner;
  reply.lost_for_us =
      lc_claim_sync_key_unavailable_us (&node->agent.claim_sync, event->claim.key, l->now_us);
  back = lc_lychee__message (l, LC_EV_CLAIM_REPLY, event->to, event->from);
  if (back != NULL)
    back->reply = reply;
}

static void
lc_lychee__add_hold (void *user, const LcClaimRecord *hold)
{
  g_array_append_vals (user, hold, 1);
}

static void
lc_lychee__on_read (LcLychee *l, const LcEvent *event)
{
  LcNode *node = &l->nodes[event->to];
  LcEvent *back = lc_lychee__message (l, LC_EV_READ_ANSWER, event->to, event->from);

  LcClaimSource sources[LC_CLAIM_SYNC_MAX_INCARNATIONS] = { 0 };

  if (back == NULL)
    return;
  back->read.holds = g_array_new (FALSE, FALSE, sizeof (LcClaimRecord));
  (void)lc_request_agent_list_sources (&node->agent, event->read.era, l->now_us, sources);
  back->read.source = sources[0]; /* no agent of the bench resumes */
  lc_request_agent_foreach_record (
      &node->agent, event->read.reader, (const LcMemberRef *)(void *)event->read.members->data,
      event->read.members->len, l->now_us, lc_lychee__add_hold, back->read.holds);
}

static void
lc_lychee__on_read_answer (LcLychee *l, const LcEvent *event)
{
  LcNode *node = &l->nodes[event->to];

  for (guint i = 0; i < event->read.holds->len; i++)
    lc_request_agent_merge_record (&node->agent,
                                   &g_array_index (event->read.holds, LcClaimRecord, i));
  lc_request_agent_add_source (&node->agent, &event->read.source, l->now_us);
  lc_lychee__act_agent (l, event->to);
}

/* === time =================================================================================== */

static void
lc_lychee__on_tick (LcLychee *l)
{
  for (uint32_t p = 0; p < LC_LYCHEE_PROCESSES; p++)
    {
      LcNode *node = &l->nodes[p];

      if (!node->is_alive)
        continue;
      if (p < LC_LYCHEE_BALANCER)
        {
          lc_request_agent_tick (&node->agent, l->now_us);
          lc_lychee__act_agent (l, p);
          continue;
        }
      lc_request_balancer_tick (&node->balancer, l->now_us);
      lc_lychee__act_balancer (l, p);
    }
  lc_lychee__end_drains (l);
  if (l->now_us < l->sim->end_us + 2 * LC_SIM_DEADLINE_US)
    (void)lc_lychee__push (l, LC_EV_TICK, LC_LYCHEE_BALANCER, l->now_us + LC_LYCHEE_TICK_US);
}

static void
lc_lychee__on_report (LcLychee *l)
{
  for (uint32_t p = 0; p < LC_SIM_ENDPOINTS; p++)
    for (uint32_t b = LC_LYCHEE_BALANCER; l->nodes[p].is_alive && b < LC_LYCHEE_PROCESSES; b++)
      if (!lc_lychee__is_cut (l, p, b))
        {
          LcPickReport report = lc_lychee__report (&l->nodes[p]);

          lc_request_balancer_handle_report (&l->nodes[b].balancer, l->nodes[p].instance, &report,
                                             l->now_us);
          lc_request_balancer_set_reachable (&l->nodes[b].balancer, l->nodes[p].instance, true,
                                             l->now_us);
        }
  if (l->now_us < l->sim->end_us + 2 * LC_SIM_DEADLINE_US)
    (void)lc_lychee__push (l, LC_EV_REPORT, LC_LYCHEE_BALANCER, l->now_us + LC_US_PER_S);
}

static void
lc_lychee__on_lost (LcLychee *l, uint32_t p)
{
  lc_lychee__op_endpoint (l, p, LC_ENDPOINT_LOST);
  lc_lychee__publish (l);
}

static void
lc_lychee__dispatch (LcLychee *l, LcEvent *event)
{
  LcNode *node = &l->nodes[event->to];
  bool is_for_node = event->kind >= LC_EV_RUN_END;

  if (is_for_node && (!node->is_alive || node->instance != event->to_instance))
    return;
  switch (event->kind)
    {
    case LC_EV_ARRIVE:
      lc_lychee__start_copy (l, event->order, event->to);
      break;
    case LC_EV_TICK:
      lc_lychee__on_tick (l);
      break;
    case LC_EV_REPORT:
      lc_lychee__on_report (l);
      break;
    case LC_EV_VIEW:
      lc_lychee__apply (l, event->to, event->n_ops);
      break;
    case LC_EV_OPEN:
      lc_lychee__open (l, event->to);
      break;
    case LC_EV_LOST:
      lc_lychee__on_lost (l, event->to);
      break;
    case LC_EV_RUN_END:
      lc_lychee__on_run_end (l, event);
      break;
    case LC_EV_ATTEMPT:
      lc_lychee__on_attempt (l, event);
      break;
    case LC_EV_CANCEL:
      lc_request_agent_handle_cancel (&node->agent, &event->ask, l->now_us);
      lc_lychee__act_agent (l, event->to);
      break;
    case LC_EV_ANSWER:
      lc_lychee__on_answer (l, event);
      break;
    case LC_EV_REFUSE:
      lc_lychee__on_refuse (l, event);
      break;
    case LC_EV_LINK_DOWN:
      lc_request_balancer_handle_link_down (&node->balancer, event->link_id, l->now_us);
      lc_lychee__act_balancer (l, event->to);
      break;
    case LC_EV_CLAIM:
      lc_lychee__on_claim (l, event);
      break;
    case LC_EV_CLAIM_REPLY:
      lc_request_agent_handle_claim_reply (&node->agent, &event->reply, l->now_us);
      lc_lychee__act_agent (l, event->to);
      break;
    case LC_EV_RELEASE:
      lc_request_agent_handle_release (&node->agent, event->claim.key, event->claim.owner.instance,
                                       event->claim.sequence);
      break;
    case LC_EV_READ:
      lc_lychee__on_read (l, event);
      break;
    case LC_EV_READ_ANSWER:
      lc_lychee__on_read_answer (l, event);
      break;
    }
}

static void
lc_lychee__free_event (LcEvent *event)
{
  if (event->kind == LC_EV_READ && event->read.members != NULL)
    g_array_free (event->read.members, TRUE);
  if (event->kind == LC_EV_READ_ANSWER && event->read.holds != NULL)
    g_array_free (event->read.holds, TRUE);
  g_free (event);
}

/* === public ================================================================================= */

static void
lc_lychee__start (LcLychee *l)
{
  lc_lychee__op_service (l);
  for (uint32_t p = 0; p < LC_LYCHEE_PROCESSES; p++)
    if (p >= LC_LYCHEE_BALANCER || lc_sim_is_open (l->sim, p, 0))
      lc_lychee__start_node (l, p);
  for (uint32_t p = 0; p < LC_SIM_ENDPOINTS; p++)
    if (l->nodes[p].is_alive)
      lc_lychee__op_endpoint (l, p, LC_ENDPOINT_ACTIVE);
  for (uint32_t p = 0; p < LC_LYCHEE_PROCESSES; p++)
    lc_lychee__apply (l, p, l->ops->len);
}

static void
lc_lychee__plan (LcLychee *l)
{
  for (uint32_t p = 0; p < LC_SIM_ENDPOINTS; p++)
    for (int64_t at_us = 0; at_us < l->sim->end_us; at_us += LC_LYCHEE_TICK_US)
      if (lc_sim_is_open (l->sim, p, at_us) !=
          lc_sim_is_open (l->sim, p, at_us + LC_LYCHEE_TICK_US))
        (void)lc_lychee__push (l, LC_EV_OPEN, p, at_us + LC_LYCHEE_TICK_US);
  for (uint32_t i = 0; i < l->sim->desc.requests; i++)
    lc_lychee__push (l, LC_EV_ARRIVE, LC_LYCHEE_BALANCER + i % LC_SIM_BALANCERS,
                     l->sim->orders[i].arrived_us)
        ->order = i;
  (void)lc_lychee__push (l, LC_EV_TICK, LC_LYCHEE_BALANCER, 0);
  (void)lc_lychee__push (l, LC_EV_REPORT, LC_LYCHEE_BALANCER, 1);
}

void
lc_sim_run_lychee (LcSim *sim)
{
  LcLychee l = { .sim = sim,
                 .heap = g_ptr_array_new (),
                 .ops = g_array_new (FALSE, TRUE, sizeof (LcViewOp)),
                 .next_instance = 1000 };
  LcEvent *event;

  lc_lychee__start (&l);
  lc_lychee__plan (&l);
  while ((event = lc_lychee__pop (&l)) != NULL)
    {
      l.now_us = event->at_us;
      lc_lychee__dispatch (&l, event);
      lc_lychee__free_event (event);
    }
  for (uint32_t p = 0; p < LC_LYCHEE_PROCESSES; p++)
    lc_lychee__stop_node (&l, p);
  g_ptr_array_free (l.heap, TRUE);
  g_array_free (l.ops, TRUE);
}
