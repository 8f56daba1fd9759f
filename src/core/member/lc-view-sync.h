/* lc-view-sync: a subscriber's view, updated from deltas and snapshots and never moved back.
 *
 * WHAT IT IS
 *   Deltas and snapshot parts may come from several sources (upstreams), late, twice, out of order
 *   or with parts missing:
 *     - a delta that starts at or before the view and ends after it is applied, without the
 *       operations that the view has already;
 *     - a delta that starts after the view is a gap: subscribe again from the view's revision;
 *     - parts of a snapshot are staged and replace the view only when the last has come, and only
 *       by a higher revision (or the same one, when an operation failed to apply);
 *     - anything older is dropped.
 *
 * HOW TO USE IT
 *     lc_view_sync_init (&sync);
 *     switch (lc_view_sync_delta (&sync, from, to, ops, n_ops, &error))
 *       case LC_SYNC_APPLIED: ... sync.view has moved; the first sync.n_skipped of ops were old ...
 *       case LC_SYNC_IGNORED: ... nothing to do ...
 *       case LC_SYNC_RESUBSCRIBE:     ... send a subscription from lc_view_sync_from (&sync) ...
 *     switch (lc_view_sync_part (&sync, source, revision, part, is_last, ops, n_ops, &error))
 *       case LC_SYNC_REPLACED:   ... a snapshot has replaced the view ...
 *     lc_view_sync_finish (&sync);
 *
 * LIFETIME
 *   Owns the view and the staged one.
 */
#ifndef LC_VIEW_SYNC_H
#define LC_VIEW_SYNC_H

#include "core/lc-view.h"

#ifdef __cplusplus
extern "C"
{
#endif

  typedef enum
  {
    LC_SYNC_IGNORED,
    LC_SYNC_STAGED, /* a part was stored; the view has not changed */
    LC_SYNC_APPLIED,
    LC_SYNC_REPLACED,
    LC_SYNC_RESUBSCRIBE,
  } LcSyncResult;

  typedef struct
  {
    LcView view;
    LcView staged;
    LcRevision staged_revision; /* 0: none is being staged */
    uint32_t staged_source;
    uint32_t next_part;
    size_t n_skipped;    /* leading operations of the last delta that the view had */
    bool needs_snapshot; /* an operation failed to apply */
    uint64_t gaps_total;
    uint64_t stale_total; /* dropped deltas and parts */
    uint64_t failed_total;
  } LcViewSync;

  void lc_view_sync_init (LcViewSync *sync);
  void lc_view_sync_finish (LcViewSync *sync);
  LcSyncResult lc_view_sync_delta (LcViewSync *sync,
                                   LcRevision from,
                                   LcRevision to,
                                   const LcViewOp *ops,
                                   size_t n_ops,
                                   LcError *error);
  LcSyncResult lc_view_sync_part (LcViewSync *sync,
                                  uint32_t source,
                                  LcRevision revision,
                                  uint32_t part,
                                  bool is_last,
                                  const LcViewOp *ops,
                                  size_t n_ops,
                                  LcError *error);
  /* Drops a snapshot that this source had not completed; returns whether there was one, which has
   * to be requested from another source. */
  bool lc_view_sync_source_down (LcViewSync *sync, uint32_t source);
  /* The revision to subscribe from: the view's, or 0 when a snapshot is needed. */
  LcRevision lc_view_sync_from (const LcViewSync *sync);

#ifdef __cplusplus
}
#endif

#endif /* LC_VIEW_SYNC_H */
