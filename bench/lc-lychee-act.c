#include "lc-lychee-world.h"

/* === agents: actions ======================================================================== */

LcPickReport
lc_lychee__report (const LcNode *node)
{
  const LcAdmission *a = &node->agent.admission;

  return (LcPickReport){ .running = a->running,
                         .queued = a->n_queued,
                         .limit = a->limit,
                         .service_us = a->service_us,
                         .is_draining = node->agent.is_draining };
}

static void
lc_lychee__start_run (LcLychee *l, uint32_t p, uint64_t run_id)
{
  LcSimOrder *order;
  uint32_t index =
      GPOINTER_TO_UINT (g_hash_table_lookup (l->nodes[p].payloads, GSIZE_TO_POINTER (run_id)));
  bool is_shed = lc_sim_sheds (l->sim, p, l->now_us);
  int64_t us = is_shed ? LC_SIM_NEAR_US : lc_sim_service_us (l->sim, p, l->now_us);
  LcEvent *event = lc_lychee__push (l, LC_EV_RUN_END, p, l->now_us + us);

  event->run.run_id = run_id;
  event->run.how = is_shed ? LC_RUN_SHED : LC_RUN_OK;
  event->run.started_us = l->now_us;
  g_hash_table_insert (l->nodes[p].started, GSIZE_TO_POINTER (run_id),
                       GSIZE_TO_POINTER (l->now_us));
  if (index == 0)
    return;
  order = &l->sim->orders[index - 1];
  order->runs += !is_shed;
}

/* A run that ended or was cancelled has held its slot until now. */
void
lc_lychee__count_busy (LcLychee *l, uint32_t p, uint64_t run_id)
{
  gpointer started;

  if (!g_hash_table_steal_extended (l->nodes[p].started, GSIZE_TO_POINTER (run_id), NULL, &started))
    return;
  l->sim->busy_us[p] += l->now_us - (int64_t)GPOINTER_TO_SIZE (started);
}

static void
lc_lychee__send_back (LcLychee *l, uint32_t p, const LcAgentAction *action)
{
  bool is_answer = action->kind == LC_AGENT_ANSWER;
  const LcAttemptId *ask = is_answer ? &action->answer.attempt_id : &action->refuse.attempt_id;
  uint32_t balancer = lc_lychee__link_balancer (ask->link_id);
  bool is_odd = is_answer && (l->sim->desc.what.fault == LC_SIM_LATE_CROSSED ||
                              l->sim->desc.what.fault == LC_SIM_RESEND);
  double chance = is_odd ? gsl_rng_uniform (l->sim->rng) : 1.0;
  LcEvent *event;

  if (chance < 0.05 && l->sim->desc.what.fault == LC_SIM_RESEND)
    return; /* lost */
  for (int copies = chance < 0.1 && l->sim->desc.what.fault == LC_SIM_LATE_CROSSED ? 2 : 1;
       copies > 0; copies--)
    {
      event = lc_lychee__message (l, is_answer ? LC_EV_ANSWER : LC_EV_REFUSE, p, balancer);
      if (event == NULL)
        return;
      event->back.ref = (LcAttemptRef){ ask->id, ask->attempt, ask->link_id };
      event->back.report = lc_lychee__report (&l->nodes[p]);
      event->back.reporter = l->nodes[p].instance;
      if (is_answer)
        {
          memcpy (&event->back.order, g_bytes_get_data (action->answer.answer->body, NULL),
                  sizeof (uint32_t));
          event->back.is_whole = !(is_odd && chance >= 0.1 && chance < 0.12);
          if (chance < 0.05)
            event->back.ref.number++; /* on another attempt's place */
          continue;
        }
      event->back.refusal =
          (LcRefusal){ action->refuse.reason, action->refuse.is_claimed, action->refuse.owner };
      event->back.retry_after_us = action->refuse.retry_after_us;
    }
}

static void
lc_lychee__send_read (LcLychee *l, uint32_t p, const LcAgentAction *action)
{
  LcNode *node = &l->nodes[p];
  const LcClaimMembers *set =
      lc_claim_sync_find_members (&node->agent.claim_sync, action->read.era);
  LcEvent *event = lc_lychee__message (l, LC_EV_READ, p, lc_lychee__member (action->read.member));

  if (event == NULL || event->to_instance != action->read.member.instance)
    return;
  event->read.reader = node->agent.desc.self;
  event->read.era = action->read.era;
  event->read.members = g_array_new (FALSE, FALSE, sizeof (LcMemberRef));
  g_array_append_vals (event->read.members, set->members, set->n_members);
}

static void
lc_lychee__send_claim (LcLychee *l, uint32_t p, const LcAgentAction *action)
{
  LcEvent *event =
      lc_lychee__message (l, action->kind == LC_AGENT_CLAIM ? LC_EV_CLAIM : LC_EV_RELEASE, p,
                          lc_lychee__member (action->claim.home));

  if (event == NULL)
    return;
  event->claim.home = action->claim.home;
  event->claim.owner = l->nodes[p].agent.desc.self;
  event->claim.key = action->claim.key;
  event->claim.sequence = action->claim.sequence;
  event->claim.era = action->claim.era;
  event->claim.keep_us = action->claim.keep_us;
}

void
lc_lychee__act_agent (LcLychee *l, uint32_t p)
{
  LcNode *node = &l->nodes[p];
  LcAgentAction action;

  while (lc_request_agent_next_action (&node->agent, &action))
    {
      switch (action.kind)
        {
        case LC_AGENT_START:
          lc_lychee__start_run (l, p, action.run_id);
          break;
        case LC_AGENT_STOP:
          lc_lychee__count_busy (l, p, action.run_id);
          break;
        case LC_AGENT_DROP_PAYLOAD:
          break;
        case LC_AGENT_ANSWER:
        case LC_AGENT_REFUSE:
          lc_lychee__send_back (l, p, &action);
          break;
        case LC_AGENT_CLAIM:
        case LC_AGENT_RELEASE:
          lc_lychee__send_claim (l, p, &action);
          break;
        case LC_AGENT_READ_CLAIMS:
          lc_lychee__send_read (l, p, &action);
          break;
        case LC_AGENT_CLAIM_DELAYED:
        case LC_AGENT_PERSIST:
          break; /* no agent of the bench resumes */
        }
      lc_agent_action_clear (&action);
    }
}

/* === balancers: actions ===================================================================== */

/* What a caller does who got no answer: in the case `resend`, it asks again elsewhere. */
void
lc_lychee__order_over (LcLychee *l, uint32_t index, uint32_t p)
{
  LcSimOrder *order = &l->sim->orders[index];

  order->copies_over++;
  if (l->sim->desc.what.fault == LC_SIM_RESEND && order->done_us == 0 &&
      order->copies < LC_LYCHEE_COPIES)
    lc_lychee__start_copy (l, index,
                           LC_LYCHEE_BALANCER + (p - LC_LYCHEE_BALANCER + 1) % LC_SIM_BALANCERS);
}

/* Ends a flight; the order's index, or UINT32_MAX when it is not known. */
uint32_t
lc_lychee__flight_order (LcLychee *l, uint32_t p, uint64_t flight_id)
{
  const LcCopy *copy = g_hash_table_lookup (l->nodes[p].flights, GSIZE_TO_POINTER (flight_id));
  uint32_t order = copy != NULL ? copy->order : UINT32_MAX;

  g_hash_table_remove (l->nodes[p].flights, GSIZE_TO_POINTER (flight_id));
  return order;
}

static void
lc_lychee__send_attempt (LcLychee *l, uint32_t p, const LcBalancerAction *action)
{
  LcNode *node = &l->nodes[p];
  uint32_t agent = lc_lychee__member (action->send.ref);
  const LcCopy *copy = g_hash_table_lookup (node->flights, GSIZE_TO_POINTER (action->flight_id));
  bool is_there = l->nodes[agent].is_alive && l->nodes[agent].instance == action->send.ref.instance;
  LcEvent *event;

  if (!is_there || copy == NULL)
    {
      lc_request_balancer_handle_send_failure (&node->balancer, action->flight_id,
                                               action->send.number, l->now_us);
      return;
    }
  lc_request_balancer_handle_sent (&node->balancer, action->flight_id, action->send.number,
                                   lc_lychee__link (l, p, agent));
  l->sim->result.attempts++;
  event = lc_lychee__message (l, LC_EV_ATTEMPT, p, agent);
  if (event == NULL)
    return;
  event->attempt.order = copy->order;
  event->attempt.left_us = action->send.left_us;
  event->attempt.attempt.attempt_id.link_id = lc_lychee__link (l, p, agent);
  event->attempt.attempt.attempt_id.attempt = action->send.number;
  event->attempt.attempt.attempt_id.id = copy->id;
  event->attempt.attempt.instance = action->send.ref.instance;
  event->attempt.attempt.key = copy->key;
  event->attempt.attempt.is_caller_key = copy->is_caller_key;
  event->attempt.attempt.digest = copy->digest;
}

static void
lc_lychee__fail (LcLychee *l, uint32_t p, const LcBalancerAction *action)
{
  uint32_t index = lc_lychee__flight_order (l, p, action->flight_id);

  if (index == UINT32_MAX)
    return;
  if (action->fail.outcome == LC_OUTCOME_NOT_RUN)
    l->sim->orders[index].told_not_run++;
  else
    l->sim->orders[index].told_unknown++;
  lc_lychee__order_over (l, index, p);
}

/* The request of an order, the same for each copy. */
static void
lc_lychee__fill_request (LcLychee *l, LcFilterRequest *request, uint32_t index, char *key)
{
  memset (request, 0, sizeof *request);
  (void)g_snprintf (key, 16, "order-%u", index);
  request->method = l->sim->orders[index].is_keyed ? (LcSlice){ "POST", 4 } : (LcSlice){ "GET", 3 };
  request->path = (LcSlice){ "/", 1 };
  request->host = (LcSlice){ "x", 1 };
  request->body = (LcSlice){ "", 0 };
  request->timeout_text = (LcSlice){ "", 0 };
  request->key_text = (LcSlice){ key, strlen (key) };
  request->caller = index + 1;
  request->now_us = l->now_us;
}

void
lc_lychee__act_balancer (LcLychee *l, uint32_t p)
{
  LcNode *node = &l->nodes[p];
  LcBalancerAction action;

  while (lc_request_balancer_next_action (&node->balancer, &action))
    switch (action.kind)
      {
      case LC_BALANCER_SEND:
        lc_lychee__send_attempt (l, p, &action);
        break;
      case LC_BALANCER_FAIL:
        lc_lychee__fail (l, p, &action);
        break;
      case LC_BALANCER_ANSWER:
        break;
      case LC_BALANCER_CANCEL:
        {
          uint32_t agent = (uint32_t)-1;
          LcEvent *event;

          for (uint32_t i = 0; i < LC_SIM_ENDPOINTS; i++)
            if (lc_lychee__link (l, p, i) == action.cancel.link_id)
              agent = i;
          event = agent < LC_SIM_ENDPOINTS ? lc_lychee__message (l, LC_EV_CANCEL, p, agent) : NULL;
          if (event != NULL)
            event->ask =
                (LcAttemptId){ action.cancel.link_id, action.cancel.id, action.cancel.number };
          break;
        }
      }
}

void
lc_lychee__start_copy (LcLychee *l, uint32_t index, uint32_t p)
{
  LcNode *node = &l->nodes[p];
  LcFilterVerdict verdict;
  LcFilterRequest request;
  char key[16];
  LcCopy *copy;
  uint64_t flight_id;

  lc_lychee__fill_request (l, &request, index, key);
  l->next_random++;
  request.random = (LcRequestId){ l->next_random, ((uint64_t)index << 32) | l->next_random };
  l->sim->orders[index].copies++;
  flight_id = lc_request_balancer_start_request (&node->balancer, &request, &verdict);
  if (flight_id == 0)
    {
      l->sim->orders[index].told_not_run++;
      l->sim->orders[index].copies_over++;
      return;
    }
  copy = g_new (LcCopy, 1);
  *copy = (LcCopy){ index, request.id, request.key, request.is_caller_key, request.digest };
  g_hash_table_insert (node->flights, GSIZE_TO_POINTER (flight_id), copy);
  lc_lychee__act_balancer (l, p);
}
