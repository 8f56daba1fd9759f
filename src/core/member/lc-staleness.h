/* lc-staleness: whether a member's view lacks what others have known for a while.
 *
 * WHAT IT IS
 *   Upstreams say which revision they have, and so does each packet and message of a peer.  A
 * member that is a little behind is as it should be: news take tens of milliseconds.  One whose
 * view lacks a revision that was known LC_STALENESS_US ago stands still: its upstream may itself
 * get nothing, and say so to nobody.  It then looks for another upstream (views stood still for up
 * to 28 s while links were up, 92 times in a day of 300 VMs whose control was cut in two for 5 s).
 *
 * HOW TO USE IT
 *     lc_staleness_note (&staleness, revision);        somebody knows this revision
 *     switch (lc_staleness_check (&staleness, own_revision, now_us)) ...   at each tick
 *     lc_staleness_lacks (&staleness, its_revision)    an upstream lacks it, too: leave it
 *
 * LIFETIME
 *   Plain values; zeros are a member of which nothing is known.
 *
 * LIMITS
 *   It says nothing of a revision that nobody has mentioned here.
 */
#ifndef LC_STALENESS_H
#define LC_STALENESS_H

#include "core/lc-types.h"

#ifdef __cplusplus
extern "C"
{
#endif

/* Ten times what news take through control, relay and balancer, and longer than the second after
 * which a source that lags behind another is left anyway. */
#define LC_STALENESS_US (3 * LC_US_PER_S / 2)

  typedef enum
  {
    LC_STALENESS_SAME = 0,
    LC_STALENESS_BEGINS = 1,
    LC_STALENESS_ENDS = 2,
  } LcStalenessNews;

  typedef struct
  {
    LcRevision newest; /* that anybody is known to have */
    LcRevision mark;   /* one that was the newest at `mark_us`, and is lacking; 0: none */
    int64_t mark_us;
    bool is_stale;
  } LcStaleness;

  void lc_staleness_note (LcStaleness *staleness, LcRevision revision);
  LcStalenessNews lc_staleness_check (LcStaleness *staleness, LcRevision own, int64_t now_us);
  /* Whether this member is stale, and who has this revision would leave it so. */
  bool lc_staleness_lacks (const LcStaleness *staleness, LcRevision revision);
  /* Since when it has lacked a revision; 0 when it lacks none. */
  int64_t lc_staleness_us (const LcStaleness *staleness, int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif /* LC_STALENESS_H */
