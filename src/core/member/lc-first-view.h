/* lc-first-view: how long a starting member waits for a newer view before it takes the first.
 *
 * WHAT IT IS
 *   A member that starts subscribes to several upstreams.  The first to answer may be cut off and
 *   have an old view, so the others get a short time to report their revisions; but as long as the
 *   member has no view, it serves nothing.
 *
 * LOAD PATTERN
 *   After a loss of all power, upstreams return over half a second.  Waiting for all of them took
 *   0.16 s of the 0.5 s until the first flow, measured as the median from the first upstream's
 *   answer to the first view, 83 VMs.
 *
 * LIMITS, AND WHY
 *   - LC_FIRST_VIEW_WAIT_MS after the first offer: a running upstream answers within some 50 ms,
 *     even where CPU quota is granted in periods of 100 ms.
 *   - LC_FIRST_VIEW_WAIT_MAX_MS after the start, the member waits for no upstream any more.
 *   A member that took an old view leaves it once it has had word of a newer one for a second.
 *
 * HOW TO USE IT
 *     LcFirstView first = { .started_us = now_us };
 *     lc_first_view_record_offer (&first, now_us);                     an upstream has a view
 *     if (lc_first_view_may_accept (&first, n_unanswered, now_us)) ...
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
    LC_FIRST_VIEW_WAIT_MS = 60,
    LC_FIRST_VIEW_WAIT_MAX_MS = 500,
  };

  typedef struct
  {
    int64_t started_us;
    int64_t offered_us; /* when an upstream first reported a view; 0: none has */
  } LcFirstView;

  void lc_first_view_record_offer (LcFirstView *first, int64_t now_us);
  /* `n_unanswered`: upstreams asked that have not reported their revision. */
  bool lc_first_view_may_accept (const LcFirstView *first, uint32_t n_unanswered, int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif /* LC_FIRST_VIEW_H */
