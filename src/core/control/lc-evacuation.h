/* lc-evacuation: an order that excludes a data centre from new work, or ends that.
 *
 * WHAT IT IS
 *   Before maintenance of a data centre (power, cooling, network) an operator evacuates it, and
 *   ends the evacuation afterwards.  In between its endpoints get no new flows and no new
 *   requests.  Open flows stay, health checks, reports, leases and claims continue, and its
 *   balancers go on steering.  Retiring a data centre, in contrast, is planned and confirmed, and
 *   drains each endpoint.  An evacuation is one flag of the data centre in the view; the endpoints'
 *   own states don't change.
 *
 * WHERE IT IS CHECKED
 *   The agent beside a backend server rejects new work (lc-flow-return), and endpoint selection
 *   skips these endpoints (lc-assign, lc-pick).  Both check it, since either may have an old view.
 *
 * HOW TO USE IT
 *     LcEvacuation order = { .is_wanted = true, .seen_revision = dc->evacuation_revision };
 *     switch (lc_evacuation_decide (&order, dc)) ...
 *
 * DELAYED ORDERS
 *   An order carries the revision of the last evacuation change in the view of the VM that received
 *   it.  An order may be delayed in a frozen VM or behind a partition, while the operator repeats
 *   it at another VM and later ends the evacuation.  The delayed one is then superseded: executed
 *   late, it would empty a data centre against the operator's will.  An order for the state that is
 *   already in force succeeds, however late.
 *
 * LIFETIME
 *   Plain values; nothing to free.
 */
#ifndef LC_EVACUATION_H
#define LC_EVACUATION_H

#include "core/lc-view.h"

#ifdef __cplusplus
extern "C"
{
#endif

  typedef struct
  {
    char data_centre[LC_NAME_MAX];
    bool is_wanted;           /* begin; false: end */
    bool allow_empty;         /* even if a service is left with no endpoint */
    LcRevision seen_revision; /* LcDataCentre.evacuation_revision at the VM that received it */
  } LcEvacuation;

  typedef enum
  {
    LC_EVACUATION_CHANGE = 1,
    LC_EVACUATION_IN_FORCE = 2,   /* nothing to do */
    LC_EVACUATION_SUPERSEDED = 3, /* changed since: the operator must repeat the order */
  } LcEvacuationVerdict;

  LcEvacuationVerdict lc_evacuation_decide (const LcEvacuation *order, const LcDataCentre *dc);

  /* Number of the service's endpoints that take new work, not counting those in `dc` (0: none) and
   * in evacuated data centres. */
  uint32_t lc_evacuation_n_candidates (const LcView *view, const LcService *service, LcDcId dc);

#ifdef __cplusplus
}
#endif

#endif /* LC_EVACUATION_H */
