/* lc-relays: which balancers of a data centre speak to control.
 *
 * WHAT IT IS
 *   In a small data centre every balancer is linked to control.  In a large one a few are (its
 *   relays: three, or one for each twenty balancers): the others take the view from two of them,
 * renew their leases with them, and send acknowledgements and reports through them.  Relays are the
 * first active balancers by a hash of their names, so every node that knows the view knows them,
 * and the death of one promotes one.
 *
 * WIDE LINKS
 *   After a loss of everything a relay hands on the announcements of all members to each balancer
 *   below: seconds of a thin link.  Where all balancers of a data centre have said how wide their
 *   links are, and two are at least twice as wide as the thinnest, the widest are its relays, as
 *   many as can carry equal shares: LC_RELAYS_BALANCERS for each time that a relay's link is as
 * wide as the thinnest, LC_RELAYS_TIMES_MAX times at most.
 *
 * HOW TO USE IT
 *     n = lc_relays_list (&view, dc, relays);              0: the data centre has none, all direct
 *     if (lc_relays_is_direct (&view, balancer)) ...       linked to control itself
 *
 * LIMITS
 *   O(balancers of the view) a call.
 */
#ifndef LC_RELAYS_H
#define LC_RELAYS_H

#include "core/lc-view.h"

#ifdef __cplusplus
extern "C"
{
#endif

  enum
  {
    LC_RELAYS_ABOVE = 8, /* balancers: with so many or fewer all are direct */
    LC_RELAYS_MIN = 3,
    LC_RELAYS_MAX = 24,
    LC_RELAYS_BALANCERS = 20, /* for each relay: keeps one below the control allowance */
    LC_RELAYS_WIDE_MIN = 2,   /* relays where links are wide: a balancer below uses two */
    LC_RELAYS_TIMES_MAX = 8,  /* more than that a processor does not carry either */
  };

  uint32_t lc_relays_list (const LcView *view, LcDcId dc, const LcBalancer *out[LC_RELAYS_MAX]);
  /* Whether one of a data centre's balancers is direct, given its list of relays. */
  bool lc_relays_is_listed (const LcBalancer *const relays[], uint32_t n, LcBalancerId id);
  bool lc_relays_is_direct (const LcView *view, const LcBalancer *balancer);

#ifdef __cplusplus
}
#endif

#endif /* LC_RELAYS_H */
