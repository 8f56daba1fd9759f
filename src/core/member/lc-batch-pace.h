/* lc-batch-pace: when changes that come together are handed on as one.
 *
 * WHAT IT IS
 *   A third of a fleet that dies, or comes back, is hundreds of changes within a second, reported
 * by dozens of watchers.  Handed on one by one, each costs a log entry, a sync and a revision that
 *   every node acknowledges: a cost that grows with the fleet at one place.  Here the first change
 *   after a pause goes after `first_us`, and what comes behind it waits until `interval_us` after
 *   the last hand-over: n changes within a time T are at most T / interval_us + 1 hand-overs,
 *   whatever n is, and a lone change waits for no one.
 *
 * HOW TO USE IT
 *     lc_batch_pace_init (&pace, &desc);
 *     due_us = lc_batch_pace_add (&pace, now_us);      a change has come: hand on at due_us
 *     lc_batch_pace_sent (&pace, now_us);              all that waited was handed on
 *     if (lc_batch_pace_failed (&pace, now_us))        it was not taken: keep it, and try again at
 *       due_us = lc_batch_pace_add (&pace, now_us);
 *
 * LIFETIME
 *   Plain values.
 */
#ifndef LC_BATCH_PACE_H
#define LC_BATCH_PACE_H

#include "core/lc-types.h"

#ifdef __cplusplus
extern "C"
{
#endif

  typedef struct
  {
    int64_t first_us;    /* what comes in the same moment travels together; 0: at once */
    int64_t interval_us; /* between hand-overs at least; 0: none */
    int64_t patience_us; /* what is not taken for so long is given up */
  } LcBatchPaceDesc;

  typedef struct
  {
    LcBatchPaceDesc desc;
    int64_t due_us; /* 0: nothing waits */
    int64_t sent_us;
    bool has_sent;
    int64_t failing_us; /* since when nothing was taken; 0: the last was */
  } LcBatchPace;

  void lc_batch_pace_init (LcBatchPace *pace, const LcBatchPaceDesc *desc);
  /* When what waits is to be handed on; the first of them decides. */
  int64_t lc_batch_pace_add (LcBatchPace *pace, int64_t now_us);
  void lc_batch_pace_sent (LcBatchPace *pace, int64_t now_us);
  /* Nobody took what was handed on.  Returns whether it is kept and tried again: a report that came
   * just before a leader was known would else be missing until its sender repeats it. */
  bool lc_batch_pace_failed (LcBatchPace *pace, int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif /* LC_BATCH_PACE_H */
