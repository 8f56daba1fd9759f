/* lc-op-log: a bounded history of view operations, from which a relay serves deltas.
 *
 * WHAT IT IS
 *   LcViewOp in order of revision.  A delta from the floor revision on is complete; a subscriber
 *   below it needs a snapshot.
 *
 * HOW TO USE IT
 *     lc_op_log_init (&log, 0);
 *     lc_op_log_append (&log, &op);
 *     if (lc_op_log_covers (&log, from))
 *       for (size_t i = lc_op_log_after (&log, from); i < lc_op_log_count (&log); i++)
 *         ... lc_op_log_at (&log, i) ...
 *     lc_op_log_finish (&log);
 *
 * LIMITS
 *   At most max_ops operations (0: 4096).  Operations of one revision are dropped together, so a
 *   delta never holds part of a revision.
 */
#ifndef LC_OP_LOG_H
#define LC_OP_LOG_H

#include "core/lc-view.h"

#ifdef __cplusplus
extern "C"
{
#endif

  typedef struct
  {
    LcViewOp *ops; /* owned ring of `capacity` */
    size_t capacity;
    size_t first;
    size_t n_ops;
    size_t max_ops;
    LcRevision floor_revision;  /* deltas from here on are complete */
    LcRevision newest_revision; /* of the last append or reset */
  } LcOpLog;

  void lc_op_log_init (LcOpLog *log, size_t max_ops);
  void lc_op_log_finish (LcOpLog *log);
  /* Drops all operations: a snapshot replaced the view at `revision`. */
  void lc_op_log_reset (LcOpLog *log, LcRevision revision);
  /* 0, or LC_ERR_STALE for an operation older than the newest. */
  int lc_op_log_append (LcOpLog *log, const LcViewOp *op);
  bool lc_op_log_covers (const LcOpLog *log, LcRevision from);
  size_t lc_op_log_count (const LcOpLog *log);
  /* Index of the first operation after revision `from`. */
  size_t lc_op_log_after (const LcOpLog *log, LcRevision from);
  const LcViewOp *lc_op_log_at (const LcOpLog *log, size_t index);

#ifdef __cplusplus
}
#endif

#endif /* LC_OP_LOG_H */
