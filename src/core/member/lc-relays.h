/* lc-relays: selects the relays of a data centre in the fan-out tree from control to balancers.
 *
 * WHAT IT IS
 *   In a small data centre every balancer is linked to control.  In a large one only its relays are
 *   (three, or one per twenty balancers): the others get the view from two of them, renew their
 *   leases with them, and send acknowledgements and reports through them.  Relays are the first
 *   active balancers by a hash of their names, so every process with the view selects the same
 *   ones, and the death of one promotes the next.
 *
 * WIDE LINKS
 *   After a loss of everything a relay forwards the announcements of all members to each balancer
 *   below it, which takes seconds on a thin link.  Where all balancers of a data centre have
 *   reported the bandwidth of their links, and two links are at least twice as wide as the
 *   thinnest, the balancers with the widest links become relays, as many as can carry equal shares:
 *   LC_RELAYS_FAN_OUT for each multiple of the thinnest link's bandwidth, up to
 *   LC_RELAYS_RATIO_MAX multiples.
 *
 * HOW TO USE IT
 *     n = lc_relays_list (&view, dc, relays);              0: no relays, all are direct
 *     if (lc_relays_is_direct (&view, balancer)) ...       linked to control itself
 *
 * LIMITS
 *   Each call is O(balancers of the view).
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
    LC_RELAYS_DIRECT_MAX = 8, /* up to this many balancers all are direct */
    LC_RELAYS_MIN = 3,
    LC_RELAYS_MAX = 24,
    LC_RELAYS_FAN_OUT = 20,  /* per relay: keeps it below the control allowance */
    LC_RELAYS_WIDE_MIN = 2,  /* with wide links: a balancer below uses two relays */
    LC_RELAYS_RATIO_MAX = 8, /* beyond that the processor is the limit */
  };

  uint32_t lc_relays_list (const LcView *view, LcDcId dc, const LcBalancer *out[LC_RELAYS_MAX]);
  /* Whether a balancer is direct, given the relays of its data centre; all are when n is 0. */
  bool lc_relays_is_listed (const LcBalancer *const relays[], uint32_t n, LcBalancerId id);
  bool lc_relays_is_direct (const LcView *view, const LcBalancer *balancer);

#ifdef __cplusplus
}
#endif

#endif /* LC_RELAYS_H */
