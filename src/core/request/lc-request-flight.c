#include "lc-request-balancer-private.h"

/* === private: services ====================================================================== */

void
lc_balancer__free_service (gpointer data)
{
  LcServiceState *state = data;

  lc_pick_finish (&state->pick);
  lc_limit_finish (&state->limit);
  g_free (state);
}

static LcLimitDesc
lc_balancer__make_limits (const LcService *service)
{
  LcLimitDesc desc = { .per_caller = service->caller_limit };

  for (uint32_t i = 0; i < service->n_endpoints; i++)
    desc.per_service += service->endpoints[i].slots * LC_BALANCER_LIMIT_PER_SLOT;
  desc.per_service = MAX (desc.per_service, LC_BALANCER_MIN_SERVICE_LIMIT);
  return desc;
}

static LcServiceState *
lc_balancer__add_service (LcRequestBalancer *b, const LcService *service)
{
  LcServiceState *state = g_new0 (LcServiceState, 1);
  LcPickDesc pick = { .own_dc = b->desc.own_dc,
                      .choices = b->desc.choices,
                      .distance_us = b->desc.distance_us,
                      .ramp_us = b->desc.ramp_us };
  LcLimitDesc limits = lc_balancer__make_limits (service);

  state->id = service->id;
  lc_pick_init (&state->pick, &pick);
  lc_retry_init (&state->budget, service->retry_percent);
  lc_limit_init (&state->limit, &limits);
  g_hash_table_insert (b->services, GUINT_TO_POINTER (state->id), state);
  return state;
}

LcServiceState *
lc_balancer__find_service (const LcRequestBalancer *b, LcServiceId id)
{
  return g_hash_table_lookup (b->services, GUINT_TO_POINTER (id));
}

/* Adds the targets to the index by instance, or removes them. */
static void
lc_balancer__index_instances (LcRequestBalancer *b, LcServiceState *state, bool is_there)
{
  for (uint32_t i = 0; i < state->pick.n_targets; i++)
    {
      LcInstance instance = state->pick.targets[i].ref.instance;

      if (is_there)
        g_hash_table_insert (b->by_instance, g_memdup2 (&instance, sizeof instance), state);
      else
        g_hash_table_remove (b->by_instance, &instance);
    }
}

/* `service` is NULL when it was removed; its state stays for the requests in flight. */
void
lc_balancer__set_service (LcRequestBalancer *b,
                          LcServiceState *state,
                          const LcService *service,
                          int64_t now_us)
{
  LcRevision revision = service != NULL ? service->membership_revision : 0;
  LcLimitDesc limits;

  state->pick.desc.own_dc = b->desc.own_dc;
  if (revision != state->membership_revision || revision == 0)
    {
      lc_balancer__index_instances (b, state, false);
      lc_pick_set_service (&state->pick, service, now_us);
      lc_balancer__index_instances (b, state, true);
      state->membership_revision = revision;
    }
  lc_pick_set_evacuated (&state->pick, b->view);
  if (service == NULL)
    return;
  limits = lc_balancer__make_limits (service);
  lc_limit_set_limits (&state->limit, &limits);
  state->budget.percent = service->retry_percent != 0
                              ? MIN (service->retry_percent, LC_RETRY_MAX_PERCENT)
                              : (uint32_t)LC_RETRY_PERCENT;
}

LcPickTarget *
lc_balancer__find_target (const LcRequestBalancer *b, LcInstance instance)
{
  LcServiceState *state = g_hash_table_lookup (b->by_instance, &instance);

  return state != NULL ? lc_pick_find (&state->pick, instance) : NULL;
}

/* The limit filter is the first to need a service's state, so it is created here. */
LcLimit *
lc_balancer__find_limit (void *user, const LcService *service)
{
  LcRequestBalancer *b = user;
  LcServiceState *state = lc_balancer__find_service (b, service->id);

  if (state == NULL)
    {
      state = lc_balancer__add_service (b, service);
      lc_balancer__set_service (b, state, service, b->now_us);
    }
  return &state->limit;
}

/* === private: flights ======================================================================= */

static uint64_t
lc_balancer__random (LcRequestBalancer *b)
{
  b->random = b->random * UINT64_C (6364136223846793005) + UINT64_C (1442695040888963407);
  return b->random;
}

LcBalancerAction *
lc_balancer__push_action (LcRequestBalancer *b, LcBalancerActionKind kind, uint64_t flight_id)
{
  LcBalancerAction action = { .kind = kind, .flight_id = flight_id };

  g_array_append_val (b->actions, action);
  return &g_array_index (b->actions, LcBalancerAction, b->actions->len - 1);
}

LcFlight *
lc_balancer__find_flight (const LcRequestBalancer *b, uint64_t flight_id)
{
  return g_hash_table_lookup (b->flights, &flight_id);
}

/* Removes attempts that are no longer open from their targets' outstanding counts. */
void
lc_balancer__release_ended_attempts (LcFlight *flight)
{
  for (uint32_t i = 0; i < flight->attempt.n_attempts; i++)
    {
      const LcAttempt *one = &flight->attempt.attempts[i];
      LcPickTarget *target;

      if ((flight->counted & (1U << i)) == 0 ||
          (one->state == LC_ATTEMPT_OPEN && !flight->attempt.is_finished))
        continue;
      flight->counted &= (uint8_t) ~(1U << i);
      target = lc_pick_find (&flight->service->pick, one->target.instance);
      if (target != NULL)
        lc_pick_end_attempt (target);
    }
}

static void
lc_balancer__cancel_open (LcRequestBalancer *b, const LcFlight *flight)
{
  for (uint32_t i = 0; i < flight->attempt.n_attempts; i++)
    if (flight->attempt.attempts[i].state == LC_ATTEMPT_OPEN)
      {
        LcBalancerAction *action = lc_balancer__push_action (b, LC_BALANCER_CANCEL, flight->id);

        action->cancel.id = flight->request_id;
        action->cancel.number = i + 1;
        action->cancel.link_id = flight->attempt.attempts[i].link_id;
      }
}

void
lc_balancer__remove (LcRequestBalancer *b, LcFlight *flight)
{
  lc_balancer__cancel_open (b, flight);
  lc_balancer__release_ended_attempts (flight);
  if (flight->is_limited)
    lc_limit_release (&flight->service->limit, flight->caller);
  g_hash_table_remove (b->by_id, &flight->request_id);
  g_hash_table_remove (b->flights, &flight->id);
}

static void
lc_balancer__fail (LcRequestBalancer *b, LcFlight *flight, const LcStep *step)
{
  LcBalancerAction *action = lc_balancer__push_action (b, LC_BALANCER_FAIL, flight->id);

  action->fail.reason = step->reason;
  action->fail.outcome = step->outcome;
  action->fail.retry_after_us = flight->retry_after_us;
  if (step->outcome == LC_OUTCOME_NOT_RUN)
    b->stats.not_run_total++;
  else
    b->stats.unknown_total++;
  lc_balancer__remove (b, flight);
}

void
lc_balancer__give_up (LcRequestBalancer *b, LcFlight *flight, LcRefuseReason reason)
{
  LcStep step = lc_attempts_give_up (&flight->attempt, reason);

  lc_balancer__fail (b, flight, &step);
}

/* === private: attempts ====================================================================== */

void
lc_balancer__send_attempt (LcRequestBalancer *b,
                           LcFlight *flight,
                           const LcAttemptPlan *plan,
                           int64_t now_us)
{
  LcPickTarget *target = lc_pick_find (&flight->service->pick, plan->ref.instance);
  uint32_t number = lc_attempts_begin (&flight->attempt, plan->ref, 0);
  LcBalancerAction *action;

  if (number == 0)
    {
      lc_balancer__give_up (b, flight, LC_REFUSE_NO_ENDPOINT);
      return;
    }
  if (target != NULL)
    {
      lc_pick_begin_attempt (target, now_us);
      flight->counted |= (uint8_t)(1U << (number - 1));
    }
  flight->sent_us = now_us;
  action = lc_balancer__push_action (b, LC_BALANCER_SEND, flight->id);
  action->send.number = number;
  action->send.ref = plan->ref;
  action->send.ipv4 = plan->ipv4;
  action->send.peer_port = plan->peer_port;
  action->send.left_us = lc_deadline_agent_left_us (flight->attempt.desc.deadline_us, now_us);
}

LcAttemptPlanning
lc_balancer__make_planning (LcRequestBalancer *b, LcFlight *flight, int64_t now_us)
{
  return (LcAttemptPlanning){ .attempt = &flight->attempt,
                              .view = b->view,
                              .pick = &flight->service->pick,
                              .budget = &flight->service->budget,
                              .random = lc_balancer__random (b),
                              .now_us = now_us };
}

void
lc_balancer__wait_for_endpoint (LcFlight *flight, int64_t now_us)
{
  if (!flight->is_waiting)
    flight->waiting_since_us = now_us;
  flight->is_waiting = true;
}

static void
lc_balancer__execute_plan (LcRequestBalancer *b,
                           LcFlight *flight,
                           const LcAttemptPlan *plan,
                           int64_t now_us)
{
  switch (plan->kind)
    {
    case LC_PLAN_SEND:
      lc_balancer__send_attempt (b, flight, plan, now_us);
      break;
    case LC_PLAN_WAIT:
      lc_balancer__wait_for_endpoint (flight, now_us);
      break;
    case LC_PLAN_END:
      lc_balancer__give_up (b, flight, plan->reason);
      break;
    }
}

/* Sends the first attempt, or the next one after waiting; to the owner of the claim if any. */
void
lc_balancer__send_first_or_wait (LcRequestBalancer *b, LcFlight *flight, int64_t now_us)
{
  LcAttemptPlanning planning = lc_balancer__make_planning (b, flight, now_us);
  LcStep step = { .kind = LC_STEP_TRY_OWNER, .reason = LC_REFUSE_HELD, .owner = flight->owner };
  LcAttemptPlan plan;

  if (flight->owner.instance != 0)
    plan = lc_filter_attempt_next (&planning, &step);
  else
    plan = lc_filter_attempt_first (&planning);
  lc_balancer__execute_plan (b, flight, &plan, now_us);
}

void
lc_balancer__apply_step (LcRequestBalancer *b, LcFlight *flight, const LcStep *step, int64_t now_us)
{
  LcAttemptPlanning planning;
  LcAttemptPlan plan;

  lc_balancer__release_ended_attempts (flight);
  switch (step->kind)
    {
    case LC_STEP_NONE:
    case LC_STEP_ANSWER:
      return;
    case LC_STEP_FINISH:
      lc_balancer__fail (b, flight, step);
      return;
    case LC_STEP_RETRY:
    case LC_STEP_TRY_OWNER:
      break;
    }
  flight->owner = step->kind == LC_STEP_TRY_OWNER ? step->owner : (LcMemberRef){ 0 };
  planning = lc_balancer__make_planning (b, flight, now_us);
  plan = lc_filter_attempt_next (&planning, step);
  if (plan.kind == LC_PLAN_SEND)
    b->stats.retries_total++;
  lc_balancer__execute_plan (b, flight, &plan, now_us);
}

void
lc_balancer__record_refusal (LcFlight *flight,
                             uint32_t number,
                             LcRefuseReason reason,
                             int64_t now_us)
{
  LcPick *pick = &flight->service->pick;
  LcPickTarget *target = lc_pick_find (pick, flight->attempt.attempts[number - 1].target.instance);

  if (target == NULL)
    return;
  lc_pick_record_shed (target, reason == LC_REFUSE_SHED);
  if (reason == LC_REFUSE_BROKEN || reason == LC_REFUSE_BACKEND_DOWN)
    (void)lc_outlier_record_failure (&target->outlier, &pick->desc.outlier, now_us);
}

LcFlight *
lc_balancer__find_by_attempt (const LcRequestBalancer *b, const LcAttemptRef *ref)
{
  LcFlight *flight = g_hash_table_lookup (b->by_id, &ref->id);

  if (flight == NULL || ref->number == 0 || ref->number > flight->attempt.n_attempts ||
      flight->attempt.attempts[ref->number - 1].link_id != ref->link_id ||
      flight->attempt.attempts[ref->number - 1].state != LC_ATTEMPT_OPEN)
    return NULL;
  return flight;
}
