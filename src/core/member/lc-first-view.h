/* lc-first-view: how long a member that has just started waits for the newest view.
 *
 * WHAT IT IS
 *   A member that starts asks several upstreams.  The first to answer may be one that is cut off
 * and has an old view, so the others are given a moment to say what they have; but each moment
 * without a view is one without service.
 *
 * LOAD PATTERN
 *   After a loss of all power upstreams come back over half a second.  All who start wait for those
 *   that are still away, while one that is there has a view: 0.16 s of the 0.5 s until the first
 *   flow, measured as the median from the first upstream's answer to the first view, 83 VMs.
 *
 * LIMITS, AND WHY
 *   - LC_FIRST_VIEW_OTHERS_MS after the first view was offered: an upstream that runs answers
 * within some 50 ms, also where a core's share is given out by tenths of a second.
 *   - LC_FIRST_VIEW_START_MS after the start nobody is waited for any more.
 *   An old view that was taken all the same is left when a newer one is known for a second.
 *
 * HOW TO USE IT
 *     LcFirstView first = { .started_us = now_us };
 *     lc_first_view_offered (&first, now_us);                     an upstream has a view
 *     if (lc_first_view_may_take (&first, n_unheard, now_us)) ...
 *
 * LIFETIME
 *   Plain values; nothing to free.
 */
#ifndef LC_FIRST_VIEW_H
#define LC_FIRST_VIEW_H

#include "core/lc-types.h"

#ifdef __cplusplus
extern "C"
{
#endif

  enum
  {
    LC_FIRST_VIEW_OTHERS_MS = 60,
    LC_FIRST_VIEW_START_MS = 500,
  };

  typedef struct
  {
    int64_t started_us;
    int64_t offered_us; /* when an upstream first said that it has a view; 0: none has */
  } LcFirstView;

  void lc_first_view_offered (LcFirstView *first, int64_t now_us);
  /* `n_unheard`: upstreams that are being asked and have not said what they have. */
  bool lc_first_view_may_take (const LcFirstView *first, uint32_t n_unheard, int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif /* LC_FIRST_VIEW_H */
