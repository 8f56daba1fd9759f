#include "lc-attempts.h"

#include <string.h>

enum
{
  LC_ATTEMPTS_MAX_OWNER_STEPS = 2,
};

/* === private ================================================================================ */

static LcStep
lc_attempts__no_step (void)
{
  return (LcStep){ .kind = LC_STEP_NONE };
}

/* The open attempt that a message belongs to; NULL when it is late, duplicate or misdirected. */
static LcAttempt *
lc_attempts__find_open (LcAttempts *attempt, uint64_t link_id, uint32_t number)
{
  LcAttempt *one;

  if (attempt->is_finished || number == 0 || number > attempt->n_attempts)
    return NULL;
  one = &attempt->attempts[number - 1];
  return one->link_id == link_id && one->state == LC_ATTEMPT_OPEN ? one : NULL;
}

static LcOutcome
lc_attempts__outcome (const LcAttempts *attempt)
{
  for (uint32_t i = 0; i < attempt->n_attempts; i++)
    if (attempt->attempts[i].state != LC_ATTEMPT_NOT_RUN)
      return LC_OUTCOME_UNKNOWN;
  if (attempt->desc.is_caller_key && !attempt->is_claimed)
    return LC_OUTCOME_UNKNOWN;
  return LC_OUTCOME_NOT_RUN;
}

static LcStep
lc_attempts__finish (LcAttempts *attempt, LcRefuseReason reason)
{
  attempt->is_finished = true;
  return (LcStep){ .kind = LC_STEP_FINISH,
                   .reason = reason,
                   .outcome = lc_attempts__outcome (attempt) };
}

/* No retry while another attempt of a hedged request is open. */
static LcStep
lc_attempts__retry_or_wait (const LcAttempts *attempt, LcRefuseReason reason)
{
  if (lc_attempts_count_open (attempt) > 0)
    return lc_attempts__no_step ();
  return (LcStep){ .kind = LC_STEP_RETRY, .reason = reason };
}

/* The holder of the claim is asked next.  This attempt has not run, but earlier knowledge about
 * other copies is void. */
static LcStep
lc_attempts__step_after_held (LcAttempts *attempt, LcAttempt *one, LcMemberRef owner)
{
  one->state = LC_ATTEMPT_NOT_RUN;
  attempt->is_claimed = false;
  if (owner.instance == 0 || attempt->n_owner_steps >= LC_ATTEMPTS_MAX_OWNER_STEPS)
    return lc_attempts__finish (attempt, LC_REFUSE_HELD);
  attempt->n_owner_steps++;
  return (LcStep){ .kind = LC_STEP_TRY_OWNER, .reason = LC_REFUSE_HELD, .owner = owner };
}

static LcStep
lc_attempts__step_after_unknown (LcAttempts *attempt, LcRefuseReason reason)
{
  /* The key's owner has no outcome, so no other agent has one. */
  if (!lc_request_key_is_none (attempt->desc.key))
    return lc_attempts__finish (attempt, reason);
  return lc_attempts__retry_or_wait (attempt, reason);
}

/* The answer was lost between agent and balancer: the owner of a keyed run has it on record. */
static LcStep
lc_attempts__step_after_broken_answer (LcAttempts *attempt, LcMemberRef owner)
{
  if (lc_request_key_is_none (attempt->desc.key) ||
      attempt->n_owner_steps >= LC_ATTEMPTS_MAX_OWNER_STEPS)
    return lc_attempts__step_after_unknown (attempt, LC_REFUSE_BROKEN);
  attempt->n_owner_steps++;
  return (LcStep){ .kind = LC_STEP_TRY_OWNER, .reason = LC_REFUSE_BROKEN, .owner = owner };
}

/* === public ================================================================================= */

void
lc_attempts_init (LcAttempts *attempt, const LcAttemptsDesc *desc)
{
  memset (attempt, 0, sizeof *attempt);
  attempt->desc = *desc;
}

uint32_t
lc_attempts_begin (LcAttempts *attempt, LcMemberRef target, uint64_t link_id)
{
  if (attempt->is_finished || attempt->n_attempts == LC_ATTEMPTS_MAX)
    return 0;
  attempt->attempts[attempt->n_attempts] =
      (LcAttempt){ .target = target, .link_id = link_id, .state = LC_ATTEMPT_OPEN };
  attempt->n_attempts++;
  return attempt->n_attempts;
}

LcStep
lc_attempts_handle_send_failure (LcAttempts *attempt, uint32_t number)
{
  if (attempt->is_finished || number == 0 || number > attempt->n_attempts)
    return lc_attempts__no_step ();
  attempt->attempts[number - 1].state = LC_ATTEMPT_NOT_RUN;
  return lc_attempts__retry_or_wait (attempt, LC_REFUSE_LINK_LOST);
}

LcStep
lc_attempts_handle_answer (LcAttempts *attempt, uint64_t link_id, uint32_t number, bool is_whole)
{
  LcAttempt *one = lc_attempts__find_open (attempt, link_id, number);

  if (one == NULL)
    return lc_attempts__no_step ();
  if (!is_whole)
    {
      one->state = LC_ATTEMPT_UNKNOWN;
      return lc_attempts__step_after_broken_answer (attempt, one->target);
    }
  one->state = LC_ATTEMPT_ANSWERED;
  attempt->is_finished = true;
  return (LcStep){ .kind = LC_STEP_ANSWER };
}

LcStep
lc_attempts_handle_refusal (LcAttempts *attempt,
                            uint64_t link_id,
                            uint32_t number,
                            const LcRefusal *refusal)
{
  LcAttempt *one = lc_attempts__find_open (attempt, link_id, number);

  if (one == NULL)
    return lc_attempts__no_step ();
  one->state = LC_ATTEMPT_UNKNOWN;
  if (refusal->reason == LC_REFUSE_HELD)
    return lc_attempts__step_after_held (attempt, one, refusal->owner);
  if (!lc_refuse_is_not_run (refusal->reason))
    return lc_attempts__step_after_unknown (attempt, refusal->reason);
  one->state = LC_ATTEMPT_NOT_RUN;
  /* Only the newest refusal counts: a copy may have run since an older one. */
  attempt->is_claimed = refusal->is_claimed;
  return lc_attempts__retry_or_wait (attempt, refusal->reason);
}

LcStep
lc_attempts_handle_link_down (LcAttempts *attempt, uint64_t link_id)
{
  bool is_hit = false;

  if (attempt->is_finished)
    return lc_attempts__no_step ();
  for (uint32_t i = 0; i < attempt->n_attempts; i++)
    if (attempt->attempts[i].link_id == link_id && attempt->attempts[i].state == LC_ATTEMPT_OPEN)
      {
        attempt->attempts[i].state = LC_ATTEMPT_UNKNOWN;
        is_hit = true;
      }
  return is_hit ? lc_attempts__retry_or_wait (attempt, LC_REFUSE_LINK_LOST)
                : lc_attempts__no_step ();
}

LcStep
lc_attempts_give_up (LcAttempts *attempt, LcRefuseReason reason)
{
  if (attempt->is_finished)
    return lc_attempts__no_step ();
  return lc_attempts__finish (attempt, reason);
}

uint32_t
lc_attempts_count_open (const LcAttempts *attempt)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < attempt->n_attempts; i++)
    n += attempt->attempts[i].state == LC_ATTEMPT_OPEN;
  return n;
}

bool
lc_attempts_has_tried (const LcAttempts *attempt, LcInstance instance)
{
  for (uint32_t i = 0; i < attempt->n_attempts; i++)
    if (attempt->attempts[i].target.instance == instance)
      return true;
  return false;
}
