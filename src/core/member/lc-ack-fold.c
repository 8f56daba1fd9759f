#include "lc-ack-fold.h"

#include <glib.h>

void
lc_fold_init (LcFold *fold)
{
  *fold = (LcFold){ .balancers_applied = UINT64_MAX,
                    .agents_applied = UINT64_MAX,
                    .registered = UINT64_MAX };
}

void
lc_fold_add_agent (LcFold *fold, LcRevision applied, LcRevision registered, LcRevision newest)
{
  fold->agents_applied = MIN (fold->agents_applied, applied);
  fold->registered = MIN (fold->registered, registered);
  fold->n_agents++;
  fold->n_behind += applied < newest ? 1 : 0;
}

void
lc_fold_add_balancer (LcFold *fold, LcRevision applied, LcRevision newest)
{
  fold->balancers_applied = MIN (fold->balancers_applied, applied);
  fold->n_balancers++;
  fold->n_behind += applied < newest ? 1 : 0;
}

void
lc_fold_merge (LcFold *fold, const LcFold *other)
{
  fold->balancers_applied = MIN (fold->balancers_applied, other->balancers_applied);
  fold->agents_applied = MIN (fold->agents_applied, other->agents_applied);
  fold->registered = MIN (fold->registered, other->registered);
  fold->n_balancers += other->n_balancers;
  fold->n_agents += other->n_agents;
  fold->n_behind += other->n_behind;
}

LcRevision
lc_fold_in_force (const LcFold *fold)
{
  LcRevision lowest = MIN (fold->balancers_applied, fold->agents_applied);

  return lowest == UINT64_MAX ? 0 : lowest;
}

LcRevision
lc_fold_settled (const LcFold *fold)
{
  LcRevision lowest = MIN (fold->balancers_applied, fold->registered);

  return lowest == UINT64_MAX ? 0 : lowest;
}

bool
lc_fold_equal (const LcFold *a, const LcFold *b)
{
  return a->balancers_applied == b->balancers_applied && a->agents_applied == b->agents_applied &&
         a->registered == b->registered && a->n_balancers == b->n_balancers &&
         a->n_agents == b->n_agents && a->n_behind == b->n_behind;
}
