/* lc-settle: computes the newest settled revision, up to which former candidate sets are dropped.
 *
 * WHAT IT IS
 *   A revision has settled when every live balancer has applied it and the flows of every live
 *   agent are registered with their homes.  Time alone never settles one.  The view defines who is
 *   live: the folds must hold as many balancers and agents as the view has balancers and endpoints
 *   that are not LOST.
 *
 * HOW TO USE IT
 *     LcSettle settle;
 *     lc_settle_begin (&settle);
 *     lc_settle_add (&settle, &view, name, &fold);               each balancer's fold
 *     revision = lc_settle_end (&settle, &view, n_exempt);       0: nothing new to settle
 *
 * LIFETIME
 *   A plain value.
 */
#ifndef LC_SETTLE_H
#define LC_SETTLE_H

#include "lc-ack-fold.h"

#include "core/lc-view.h"

#ifdef __cplusplus
extern "C"
{
#endif

  typedef struct
  {
    LcFold fold; /* of all balancers added, each with its subtree */
  } LcSettle;

  void lc_settle_begin (LcSettle *settle);
  void
  lc_settle_add (LcSettle *settle, const LcView *view, const char *balancer, const LcFold *fold);
  /* `n_exempt` endpoints may be missing: those of lc_loss_guard_count_exempt. */
  LcRevision lc_settle_end (const LcSettle *settle, const LcView *view, uint32_t n_exempt);

#ifdef __cplusplus
}
#endif

#endif /* LC_SETTLE_H */
