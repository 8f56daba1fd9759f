/* lc-flush-pace: how much at a time a server of views sends, and when it goes on.
 *
 * WHAT IT IS
 *   Two limits of a process that serves its view to many members, kept apart from its links.
 *
 *   Time.  After a loss of everything some 300 members ask one leader for their views while it
 * commits as many announcements, each of which is news for all of them.  A leader that sends news
 * every 10 ms then does nothing else, its heartbeats come late, and a second election follows: 0.3
 * s more until everybody has a view (five control VMs with 0.24 cores).  So it sends for
 * LC_FLUSH_SLICE_US at most, and pauses so that sending takes no more than half of its time.
 * News that come meanwhile travel together.
 *
 *   Memory.  What is encoded and not yet taken by its reader is bounded for the process: a limit
 * for each link alone (256 KiB) is 77 MB for 300 readers that are slow together, of 80 MB that a VM
 * has.
 *
 * HOW TO USE IT
 *     started_us = now;
 *     while (somebody waits && !lc_flush_is_spent (started_us, now) &&
 *            lc_flush_has_room (unsent_bytes))
 *       serve one
 *     go on after lc_flush_pause_ms (now - started_us)
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
    LC_FLUSH_PAUSE_MIN_MS = 10, /* news that come together travel together */
    LC_FLUSH_PAUSE_MAX_MS = 200,
    LC_FLUSH_PAUSE_TIMES = 1, /* of the time spent: sending takes half */
    /* A tenth of what a control VM or balancer of 80 MB has. */
    LC_FLUSH_UNSENT_MAX_BYTES = 8 << 20,
  };

  bool lc_flush_is_spent (int64_t started_us, int64_t now_us);
  bool lc_flush_has_room (size_t unsent_bytes);
  uint32_t lc_flush_pause_ms (int64_t spent_us);

#ifdef __cplusplus
}
#endif

#endif /* LC_FLUSH_PACE_H */
