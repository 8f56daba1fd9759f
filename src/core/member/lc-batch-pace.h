/* lc-batch-pace: a rate limit that coalesces membership changes into batches.
 *
 * WHAT IT IS
 *   When a third of a fleet dies or returns, dozens of watchers report hundreds of changes within a
 *   second.  Sent one by one, each costs a log entry, a sync and a revision that every process
 *   acknowledges, so the load of one process grows with the fleet.  Here the first change after a
 *   pause is due after `first_us`, and those that follow wait until `interval_us` after the last
 *   batch: n changes within a time T are at most T / interval_us + 1 batches, whatever n is, and a
 *   single change is not delayed.
 *
 * HOW TO USE IT
 *     lc_batch_pace_init (&pace, &desc);
 *     due_us = lc_batch_pace_add (&pace, now_us);      a change has come: send at due_us
 *     lc_batch_pace_record_sent (&pace, now_us);              all pending changes were sent
 *     if (lc_batch_pace_should_retry (&pace, now_us))        not accepted: retry at due_us
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
    int64_t first_us;     /* delay of the first change, to batch simultaneous ones; 0: none */
    int64_t interval_us;  /* minimum between batches; 0: none */
    int64_t retry_for_us; /* a batch is retried for this long */
  } LcBatchPaceDesc;

  typedef struct
  {
    LcBatchPaceDesc desc;
    int64_t due_us; /* 0: nothing is pending */
    int64_t sent_us;
    bool has_sent;
    int64_t failing_us; /* time of the first failure in a row; 0: the last batch was accepted */
  } LcBatchPace;

  void lc_batch_pace_init (LcBatchPace *pace, const LcBatchPaceDesc *desc);
  /* Returns when the pending changes are due, set by the first of them. */
  int64_t lc_batch_pace_add (LcBatchPace *pace, int64_t now_us);
  void lc_batch_pace_record_sent (LcBatchPace *pace, int64_t now_us);
  /* The batch was not accepted.  Returns whether to keep and retry it: a report received just
   * before a leader is elected would otherwise be missing until its sender repeats it. */
  bool lc_batch_pace_should_retry (LcBatchPace *pace, int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif /* LC_BATCH_PACE_H */
