/* lc-filter-attempt: decides where the next attempt of a request is sent.
 *
 * WHAT IT IS
 *   Turns a step of lc-attempts into a target, within the retry budget and the remaining endpoints,
 *   or into the end of the request.
 */
#ifndef LC_FILTER_ATTEMPT_H
#define LC_FILTER_ATTEMPT_H

#include "core/request/lc-attempts.h"
#include "core/request/lc-pick.h"
#include "core/request/lc-retry.h"

#ifdef __cplusplus
extern "C"
{
#endif

  typedef enum
  {
    LC_PLAN_SEND = 1, /* to `ref` */
    LC_PLAN_WAIT = 2, /* until an endpoint is reachable */
    LC_PLAN_END = 3,  /* give up with `reason` */
  } LcAttemptPlanKind;

  typedef struct
  {
    LcAttemptPlanKind kind;
    LcMemberRef ref;
    uint32_t ipv4;
    uint16_t peer_port;
    LcRefuseReason reason;
  } LcAttemptPlan;

  typedef struct
  {
    const LcAttempts *attempt;
    const LcView *view;
    LcPick *pick;
    LcRetryBudget *budget;
    uint64_t random;
    int64_t now_us;
  } LcAttemptPlanning;

  /* Plans the first attempt, also after LC_PLAN_WAIT. */
  LcAttemptPlan lc_filter_attempt_first (const LcAttemptPlanning *planning);

  /* Plans the attempt after LC_STEP_RETRY or LC_STEP_TRY_OWNER. */
  LcAttemptPlan lc_filter_attempt_next (const LcAttemptPlanning *planning, const LcStep *step);

#ifdef __cplusplus
}
#endif

#endif /* LC_FILTER_ATTEMPT_H */
