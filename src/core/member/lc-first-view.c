#include "lc-first-view.h"

void
lc_first_view_record_offer (LcFirstView *first, int64_t now_us)
{
  if (first->offered_us == 0)
    first->offered_us = now_us;
}

bool
lc_first_view_may_accept (const LcFirstView *first, uint32_t n_unanswered, int64_t now_us)
{
  if (n_unanswered == 0 || now_us - first->started_us >= LC_FIRST_VIEW_WAIT_MAX_MS * LC_US_PER_MS)
    return true;
  return first->offered_us != 0 &&
         now_us - first->offered_us >= LC_FIRST_VIEW_WAIT_MS * LC_US_PER_MS;
}
