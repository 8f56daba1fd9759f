/* lc-ack-fold: an aggregate of the acknowledgements of many processes.
 *
 * WHAT IT IS
 *   A fold holds what every process of a set has reached: the lowest revision applied by its
 *   balancers, the lowest applied by its agents, the lowest at which its agents' flows are
 *   registered, and how many processes are behind.  Folding takes minima, so it is associative and
 *   can be done at each level of the tree on the way to control.
 *
 * HOW TO USE IT
 *     lc_fold_init (&fold);
 *     lc_fold_add_agent (&fold, applied, registered, newest);
 *     lc_fold_merge (&fold, &fold_of_a_balancer_below);
 *     lc_fold_in_force (&fold)      applied by every process; 0 when there is none
 *     lc_fold_settled (&fold)       applied by every balancer and registered by every agent
 *
 * LIFETIME
 *   A plain value.
 */
#ifndef LC_ACK_FOLD_H
#define LC_ACK_FOLD_H

#include "core/lc-types.h"

#ifdef __cplusplus
extern "C"
{
#endif

  typedef struct
  {
    LcRevision balancers_applied; /* UINT64_MAX: no balancer */
    LcRevision agents_applied;    /* UINT64_MAX: no agent */
    LcRevision registered;        /* UINT64_MAX: no agent */
    uint32_t n_balancers;
    uint32_t n_agents;
    uint32_t n_behind;
  } LcFold;

  void lc_fold_init (LcFold *fold);
  /* `newest`: the newest revision of the process that folds. */
  void
  lc_fold_add_agent (LcFold *fold, LcRevision applied, LcRevision registered, LcRevision newest);
  void lc_fold_add_balancer (LcFold *fold, LcRevision applied, LcRevision newest);
  void lc_fold_merge (LcFold *fold, const LcFold *other);
  LcRevision lc_fold_in_force (const LcFold *fold);
  LcRevision lc_fold_settled (const LcFold *fold);
  bool lc_fold_equal (const LcFold *a, const LcFold *b);

#ifdef __cplusplus
}
#endif

#endif /* LC_ACK_FOLD_H */
