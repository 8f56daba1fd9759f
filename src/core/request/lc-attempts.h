/* lc-attempts: the state machine of one request's attempts at a balancer.
 *
 * WHAT IT IS
 *   The state of each attempt, and the next step after each event.  It decides which answer belongs
 *   to the request (same link, same request, an attempt that is still open), and the outcome
 *   without one: "not run" only if every attempt has certainly not run.
 *
 * HOW TO USE IT
 *     lc_attempts_init (&attempt, &(LcAttemptsDesc){ .id = id, .deadline_us = deadline_us });
 *     n = lc_attempts_begin (&attempt, target, link_id);            before sending it
 *     step = lc_attempts_handle_refusal (&attempt, link_id, n, &refusal);
 *     switch (step.kind)
 *       RETRY: begin another attempt if the budget allows, else lc_attempts_give_up
 *       OWNER: begin an attempt at step.owner, else lc_attempts_give_up
 *       FINISH: report step.outcome and step.reason to the caller
 *
 * RULES
 *   - Events after the request is finished change nothing.
 *   - A keyed request may be retried after an unknown outcome, because the claim of its key
 *     prevents a second run.  So may an idempotent one.
 *   - For a key that the caller chose, "not run" also needs an agent that held the confirmed claim
 *     (refusal.is_claimed), because another copy may have come through another balancer.
 *
 * LIFETIME
 *   A plain value.
 */
#ifndef LC_ATTEMPTS_H
#define LC_ATTEMPTS_H

#include "lc-outcome.h"
#include "lc-request-id.h"

#ifdef __cplusplus
extern "C"
{
#endif

  enum
  {
    LC_ATTEMPTS_MAX = 6, /* attempts of one request, with hedges and retries */
  };

  typedef enum
  {
    LC_ATTEMPT_OPEN = 1,
    LC_ATTEMPT_NOT_RUN = 2, /* certain */
    LC_ATTEMPT_UNKNOWN = 3,
    LC_ATTEMPT_ANSWERED = 4,
  } LcAttemptState;

  typedef struct
  {
    LcMemberRef target;
    uint64_t link_id;
    uint8_t state; /* LcAttemptState */
  } LcAttempt;

  typedef struct
  {
    LcRequestId id;
    LcRequestKey key;   /* none for idempotent requests */
    bool is_caller_key; /* chosen by the caller, so there may be other copies */
    int64_t deadline_us;
  } LcAttemptsDesc;

  typedef struct
  {
    LcAttemptsDesc desc;
    LcAttempt attempts[LC_ATTEMPTS_MAX]; /* attempt n is attempts[n - 1] */
    uint8_t n_attempts;
    uint8_t n_owner_steps;
    bool is_claimed; /* as in the newest refusal */
    bool is_finished;
  } LcAttempts;

  typedef struct
  {
    LcRefuseReason reason;
    bool is_claimed;   /* the agent held the confirmed claim of the key */
    LcMemberRef owner; /* with LC_REFUSE_HELD */
  } LcRefusal;

  typedef enum
  {
    LC_STEP_NONE = 0,
    LC_STEP_RETRY = 1,
    LC_STEP_TRY_OWNER = 2,
    LC_STEP_FINISH = 3,
    LC_STEP_ANSWER = 4,
  } LcStepKind;

  typedef struct
  {
    LcStepKind kind;
    LcRefuseReason reason;
    LcOutcome outcome; /* FINISH */
    LcMemberRef owner; /* OWNER */
  } LcStep;

  void lc_attempts_init (LcAttempts *attempt, const LcAttemptsDesc *desc);

  /* The number of the new attempt, from 1; 0 when the request is finished or at LC_ATTEMPTS_MAX. */
  uint32_t lc_attempts_begin (LcAttempts *attempt, LcMemberRef target, uint64_t link_id);

  /* The attempt could not be sent. */
  LcStep lc_attempts_handle_send_failure (LcAttempts *attempt, uint32_t number);

  /* Handles an answer; LC_STEP_ANSWER when it is whole and belongs to this request. */
  LcStep
  lc_attempts_handle_answer (LcAttempts *attempt, uint64_t link_id, uint32_t number, bool is_whole);

  LcStep lc_attempts_handle_refusal (LcAttempts *attempt,
                                     uint64_t link_id,
                                     uint32_t number,
                                     const LcRefusal *refusal);

  /* Open attempts on a lost link have an unknown outcome. */
  LcStep lc_attempts_handle_link_down (LcAttempts *attempt, uint64_t link_id);

  /* Finishes the request: deadline, no retry budget, no endpoint. */
  LcStep lc_attempts_give_up (LcAttempts *attempt, LcRefuseReason reason);

  uint32_t lc_attempts_count_open (const LcAttempts *attempt);

  /* Whether an attempt was sent to this instance. */
  bool lc_attempts_has_tried (const LcAttempts *attempt, LcInstance instance);

#ifdef __cplusplus
}
#endif

#endif /* LC_ATTEMPTS_H */
