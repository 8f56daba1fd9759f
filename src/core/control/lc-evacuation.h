/* lc-evacuation: an order that a data centre's backend servers get no new work for a while.
 *
 * WHAT IT IS
 *   Before work on a data centre (power, cooling, a network change) an operator empties it, and
 *   takes that back afterwards.  While a data centre is evacuated its endpoints are given no new
 *   flow and no new request.  Open flows stay where they are, and health checks, reports, leases
 *   and claims go on.  Balancers there go on steering.  It differs from retiring, which drains the
 *   endpoints one by one and is planned and confirmed: an evacuation is one fact about the data
 *   centre, in force as soon as the view is, and leaves every endpoint's own state alone.
 *
 * WHO DECIDES BY IT
 *   The agent beside a backend server refuses what was given to it (lc-flow-return), and whoever
 *   chooses passes its endpoints over (lc-assign, lc-pick).  Both: a view may be old at one of
 *   them.
 *
 * HOW TO USE IT
 *     LcEvacuation order = { .is_wanted = true, .seen_revision = dc->evacuation_revision };
 *     switch (lc_evacuation_decide (&order, dc)) ...
 *
 * ORDERS THAT ARE HELD UP
 *   An order names the revision of the last change that the VM which took it had seen.  One that
 *   waited, in a frozen VM or behind a cut, while its operator gave it to another VM, had its
 *   answer and took it back, is overtaken: carried out late it would empty a data centre that
 *   nobody wants empty.  Asking for what is in force already is answered as done, however late.
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
    bool is_wanted;           /* begin it; false: end it */
    bool allow_empty;         /* also where a service is left with no endpoint */
    LcRevision seen_revision; /* LcDataCentre.evacuation_revision where the order was taken */
  } LcEvacuation;

  typedef enum
  {
    LC_EVACUATION_CHANGE = 1,
    LC_EVACUATION_IN_FORCE = 2,  /* nothing to do */
    LC_EVACUATION_OVERTAKEN = 3, /* it was changed since: the operator must ask again */
  } LcEvacuationVerdict;

  LcEvacuationVerdict lc_evacuation_decide (const LcEvacuation *order, const LcDataCentre *dc);

  /* Endpoints of the service that take new work while `dc` is evacuated besides those that are;
   * `dc` 0: as things stand. */
  uint32_t lc_evacuation_left (const LcView *view, const LcService *service, LcDcId dc);

#ifdef __cplusplus
}
#endif

#endif /* LC_EVACUATION_H */
