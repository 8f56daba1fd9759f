/* lc-staleness: detects that a member's view has stopped following the newest revision.
 *
 * WHAT IT IS
 *   Upstreams report their revision, and so does each packet and message of a peer.  A member that
 *   is slightly behind is normal: updates take tens of milliseconds.  A view that lacks a revision
 *   reported LC_STALENESS_LIMIT_US ago is stale: its upstream may get no updates and not notice it.
 *   The member then looks for another upstream (views stayed stale for up to 28 s while links were
 *   up, 92 times in a day of 300 VMs whose control was partitioned for 5 s).
 *
 * HOW TO USE IT
 *     lc_staleness_note (&staleness, revision);        a peer has this revision
 *     switch (lc_staleness_check (&staleness, own_revision, now_us)) ...   at each tick
 *     lc_staleness_lacks (&staleness, its_revision)    an upstream lacks it, too: leave it
 *
 * LIFETIME
 *   Plain values; zeros are a member to which no revision was reported.
 *
 * LIMITS
 *   A revision that no peer reports to this member goes undetected.
 */
#ifndef LC_STALENESS_H
#define LC_STALENESS_H

#include "core/lc-types.h"

#ifdef __cplusplus
extern "C"
{
#endif

/* Ten times the delay of an update through control, relay and balancer, and longer than the second
 * after which a source that lags behind another is left anyway. */
#define LC_STALENESS_LIMIT_US (3 * LC_US_PER_S / 2)

  typedef enum
  {
    LC_STALENESS_SAME = 0,
    LC_STALENESS_BEGINS = 1,
    LC_STALENESS_ENDS = 2,
  } LcStalenessChange;

  typedef struct
  {
    LcRevision newest;  /* newest that was reported */
    LcRevision missing; /* the newest at `missing_since_us`, which the view lacks; 0: none */
    int64_t missing_since_us;
    bool is_stale;
  } LcStaleness;

  void lc_staleness_note (LcStaleness *staleness, LcRevision revision);
  LcStalenessChange lc_staleness_check (LcStaleness *staleness, LcRevision own, int64_t now_us);
  /* Whether this member is stale, and a source at this revision would leave it stale. */
  bool lc_staleness_lacks (const LcStaleness *staleness, LcRevision revision);
  /* How long it has lacked a revision; 0 when it lacks none. */
  int64_t lc_staleness_us (const LcStaleness *staleness, int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif /* LC_STALENESS_H */
