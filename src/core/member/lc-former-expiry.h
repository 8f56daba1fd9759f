/* lc-former-expiry: computes when no flow is left to which a former setting applies.
 *
 * WHAT IT IS
 *   A former service of an address (lc-address.h) matters until the last flow that was opened there
 *   has ended, a former idle timeout of a service until the last flow has ended that was idle under
 *   it.  Flows are opened under a former setting until every balancer has the change, and live for
 *   `max_flow_us` at most.  The leader of control checks periodically: once a revision has been in
 *   its view for twice that time, changes at or before it have expired.  Twice, since a balancer
 *   that is cut off from control goes on with the view that it has.
 *
 *   The time is the leader's monotonic clock and starts anew with each leader, so neither a step of
 *   the wall clock nor a change of leaders makes a change expire early.
 *
 * HOW TO USE IT
 *     LcFormerExpiry expiry = { 0 };
 *     revision = lc_former_expiry_check (&expiry, &view, max_flow_us, now_us);   on the leader
 *     if (revision != 0)
 *       propose LC_MEMBER_SETTLED with this expired_revision
 *     lc_former_expiry_reset (&expiry);                               while another VM leads
 *
 * LIFETIME
 *   A plain value of constant size.
 */
#ifndef LC_FORMER_EXPIRY_H
#define LC_FORMER_EXPIRY_H

#include "core/lc-view.h"

#ifdef __cplusplus
extern "C"
{
#endif

  typedef struct
  {
    LcRevision revision; /* of the view at `since_us`; 0: none yet */
    int64_t since_us;
  } LcFormerExpiry;

  void lc_former_expiry_reset (LcFormerExpiry *expiry);
  /* The newest revision up to which changes have expired, if that concerns an address or a service;
   * 0: none.  `max_flow_us` 0: flows have no greatest age, and nothing expires. */
  LcRevision lc_former_expiry_check (LcFormerExpiry *expiry,
                                     const LcView *view,
                                     int64_t max_flow_us,
                                     int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif /* LC_FORMER_EXPIRY_H */
