/* lc-flush-pace: bounds on the time and memory that serving views to subscribers takes.
 *
 * WHAT IT IS
 *   Two limits of a process that sends its view to many members, independent of its links.
 *
 *   Time.  After a loss of everything some 300 members request their views from one leader while it
 *   commits as many announcements, each an update for all of them.  A leader that sends updates
 *   every 10 ms does nothing else: its heartbeats come late and a second election follows, 0.3 s
 *   more until every member has a view (five control VMs with 0.24 cores).  So it sends for at most
 *   LC_FLUSH_SLICE_US, then pauses so that sending takes at most half of its time.  Updates that
 *   come meanwhile are sent together.
 *
 *   Memory.  Bytes encoded but not yet read by a subscriber are bounded for the whole process: a
 *   limit per link alone (256 KiB) is 77 MB for 300 slow readers, of the 80 MB that a VM has.
 *
 * HOW TO USE IT
 *     started_us = now;
 *     while (a subscriber waits && !lc_flush_is_slice_over (started_us, now) &&
 *            lc_flush_has_room (unsent_bytes))
 *       serve one
 *     continue after lc_flush_pause_ms (now - started_us)
 *
 * LIFETIME
 *   Plain functions.
 */
#ifndef LC_FLUSH_PACE_H
#define LC_FLUSH_PACE_H

#include "core/lc-types.h"

#ifdef __cplusplus
extern "C"
{
#endif

/* A fifth of the shortest heartbeat interval. */
#define LC_FLUSH_SLICE_US (8 * LC_US_PER_MS)

  enum
  {
    LC_FLUSH_PAUSE_MIN_MS = 10, /* batches updates that come together */
    LC_FLUSH_PAUSE_MAX_MS = 200,
    LC_FLUSH_PAUSE_RATIO = 1, /* pause per time spent sending: 1 is half of the time */
    /* A tenth of the memory of a control VM or balancer of 80 MB. */
    LC_FLUSH_UNSENT_MAX_BYTES = 8 << 20,
  };

  bool lc_flush_is_slice_over (int64_t started_us, int64_t now_us);
  bool lc_flush_has_room (size_t unsent_bytes);
  uint32_t lc_flush_pause_ms (int64_t spent_us);

#ifdef __cplusplus
}
#endif

#endif /* LC_FLUSH_PACE_H */
