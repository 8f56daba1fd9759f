#include "lc-filter-attempt.h"

static LcAttemptPlan
lc_filter_attempt__plan_end (LcRefuseReason reason)
{
  return (LcAttemptPlan){ .kind = LC_PLAN_END, .reason = reason };
}

static LcAttemptPlan
lc_filter_attempt__plan_send (const LcPickTarget *target)
{
  return (LcAttemptPlan){
    .kind = LC_PLAN_SEND, .ref = target->ref, .ipv4 = target->ipv4, .peer_port = target->peer_port
  };
}

/* Picks an endpoint not tried yet. */
static LcPickTarget *
lc_filter_attempt__choose (const LcAttemptPlanning *planning)
{
  LcInstance tried[LC_ATTEMPTS_MAX];
  uint32_t n_tried = planning->attempt->n_attempts;

  for (uint32_t i = 0; i < n_tried; i++)
    tried[i] = planning->attempt->attempts[i].target.instance;
  return lc_pick_choose (planning->pick, planning->random, tried, n_tried, planning->now_us);
}

/* Whether an endpoint not tried yet may become reachable; `is_soon`: its link is connecting. */
static bool
lc_filter_attempt__may_wait (const LcAttemptPlanning *planning, bool is_soon)
{
  for (uint32_t i = 0; i < planning->pick->n_targets; i++)
    {
      const LcPickTarget *target = &planning->pick->targets[i];

      if (!target->is_reachable && !target->is_draining &&
          (!is_soon || lc_pick_is_connecting (target, planning->now_us)) &&
          !lc_attempts_has_tried (planning->attempt, target->ref.instance))
        return true;
    }
  return false;
}

LcAttemptPlan
lc_filter_attempt_first (const LcAttemptPlanning *planning)
{
  const LcPickTarget *target;

  if (planning->attempt->n_attempts >= LC_ATTEMPTS_MAX)
    return lc_filter_attempt__plan_end (LC_REFUSE_NO_ENDPOINT);
  target = lc_filter_attempt__choose (planning);
  /* When the first of several links is up, all waiting requests would queue at that endpoint. */
  if (target != NULL && lc_pick_is_full (planning->pick, target, planning->now_us) &&
      lc_filter_attempt__may_wait (planning, true))
    return (LcAttemptPlan){ .kind = LC_PLAN_WAIT };
  if (target != NULL)
    return lc_filter_attempt__plan_send (target);
  if (lc_filter_attempt__may_wait (planning, false))
    return (LcAttemptPlan){ .kind = LC_PLAN_WAIT };
  return lc_filter_attempt__plan_end (LC_REFUSE_NO_ENDPOINT);
}

static LcAttemptPlan
lc_filter_attempt__plan_owner (const LcAttemptPlanning *planning, LcMemberRef owner)
{
  const LcEndpoint *e = lc_view_endpoint (planning->view, owner.id);

  if (e == NULL || e->instance != owner.instance || e->state == LC_ENDPOINT_LOST)
    return lc_filter_attempt__plan_end (LC_REFUSE_HELD);
  return (LcAttemptPlan){
    .kind = LC_PLAN_SEND, .ref = owner, .ipv4 = e->ipv4, .peer_port = e->peer_port
  };
}

static bool
lc_filter_attempt__is_free (const LcStep *step)
{
  return lc_refuse_retry_is_free (step->reason);
}

LcAttemptPlan
lc_filter_attempt_next (const LcAttemptPlanning *planning, const LcStep *step)
{
  const LcPickTarget *target;

  if (planning->attempt->n_attempts >= LC_ATTEMPTS_MAX)
    return lc_filter_attempt__plan_end (step->reason);
  if (step->kind == LC_STEP_TRY_OWNER)
    return lc_filter_attempt__plan_owner (planning, step->owner);
  target = lc_filter_attempt__choose (planning);
  if (target == NULL && step->reason == LC_REFUSE_LINK_LOST &&
      lc_filter_attempt__may_wait (planning, false) && lc_retry_withdraw (planning->budget))
    return (LcAttemptPlan){ .kind = LC_PLAN_WAIT }; /* links are reconnecting */
  if (target == NULL)
    return lc_filter_attempt__plan_end (step->reason);
  if (!lc_filter_attempt__is_free (step) && !lc_retry_withdraw (planning->budget))
    return lc_filter_attempt__plan_end (step->reason);
  return lc_filter_attempt__plan_send (target);
}
