#include "lc-view-sync.h"

#include <string.h>

void
lc_view_sync_init (LcViewSync *sync)
{
  memset (sync, 0, sizeof *sync);
  lc_view_init (&sync->view);
  lc_view_init (&sync->staged);
}

void
lc_view_sync_finish (LcViewSync *sync)
{
  lc_view_finish (&sync->view);
  lc_view_finish (&sync->staged);
  memset (sync, 0, sizeof *sync);
}

/* === private ================================================================================ */

static void
lc_view_sync__drop_staged (LcViewSync *sync)
{
  if (sync->staged_revision == 0)
    return;
  lc_view_clear (&sync->staged);
  sync->staged_revision = 0;
  sync->next_part = 0;
}

/* Whether the operations lie inside (from, to] in order; a delta that violates this is dropped. */
static bool
lc_view_sync__is_ordered (LcRevision from, LcRevision to, const LcViewOp *ops, size_t n_ops)
{
  LcRevision last = from + 1;

  for (size_t i = 0; i < n_ops; i++)
    {
      if (ops[i].revision < last || ops[i].revision > to)
        return false;
      last = ops[i].revision;
    }
  return true;
}

static LcSyncResult
lc_view_sync__fail (LcViewSync *sync)
{
  sync->needs_snapshot = true;
  sync->failed_total++;
  return LC_SYNC_RESUBSCRIBE;
}

static size_t
lc_view_sync__count_old (const LcViewSync *sync, const LcViewOp *ops, size_t n_ops)
{
  size_t n = 0;

  while (n < n_ops && ops[n].revision <= sync->view.revision)
    n++;
  return n;
}

/* Whether a snapshot of this revision may replace the view. */
static bool
lc_view_sync__may_replace (const LcViewSync *sync, LcRevision revision)
{
  return revision > sync->view.revision ||
         (sync->needs_snapshot && revision == sync->view.revision && revision > 0);
}

static void
lc_view_sync__swap (LcViewSync *sync)
{
  LcView old = sync->view;

  lc_view_advance (&sync->staged, sync->staged_revision);
  sync->view = sync->staged;
  sync->staged = old;
  sync->needs_snapshot = false;
  lc_view_sync__drop_staged (sync);
}

/* A first part restarts staging, unless a newer snapshot of another source is being staged. */
static bool
lc_view_sync__begin_staging (LcViewSync *sync, uint32_t source, LcRevision revision)
{
  if (sync->staged_revision > revision && sync->staged_source != source)
    return false;
  lc_view_sync__drop_staged (sync);
  sync->staged_revision = revision;
  sync->staged_source = source;
  return true;
}

static bool
lc_view_sync__is_next (const LcViewSync *sync, uint32_t source, LcRevision revision, uint32_t part)
{
  return sync->staged_revision == revision && sync->staged_source == source &&
         sync->next_part == part;
}

static LcSyncResult
lc_view_sync__ignore (LcViewSync *sync)
{
  sync->stale_total++;
  return LC_SYNC_IGNORED;
}

/* === public ================================================================================= */

LcSyncResult
lc_view_sync_delta (LcViewSync *sync,
                    LcRevision from,
                    LcRevision to,
                    const LcViewOp *ops,
                    size_t n_ops,
                    LcError *error)
{
  LcView *view = &sync->view;

  if (to <= view->revision || to < from || !lc_view_sync__is_ordered (from, to, ops, n_ops))
    return lc_view_sync__ignore (sync);
  if (from > view->revision || sync->needs_snapshot || view->revision == 0)
    {
      sync->gaps_total++;
      return LC_SYNC_RESUBSCRIBE;
    }
  sync->n_skipped = lc_view_sync__count_old (sync, ops, n_ops);
  for (size_t i = sync->n_skipped; i < n_ops; i++)
    if (lc_view_apply (view, &ops[i], error) < 0)
      return lc_view_sync__fail (sync);
  lc_view_advance (view, to);
  return LC_SYNC_APPLIED;
}

LcSyncResult
lc_view_sync_part (LcViewSync *sync,
                   uint32_t source,
                   LcRevision revision,
                   uint32_t part,
                   bool is_last,
                   const LcViewOp *ops,
                   size_t n_ops,
                   LcError *error)
{
  if (!lc_view_sync__may_replace (sync, revision))
    {
      if (sync->staged_source == source)
        lc_view_sync__drop_staged (sync);
      return lc_view_sync__ignore (sync);
    }
  if (part == 0 && !lc_view_sync__begin_staging (sync, source, revision))
    return lc_view_sync__ignore (sync);
  if (!lc_view_sync__is_next (sync, source, revision, part))
    return lc_view_sync__ignore (sync);
  for (size_t i = 0; i < n_ops; i++)
    if (lc_view_apply (&sync->staged, &ops[i], error) < 0)
      {
        lc_view_sync__drop_staged (sync);
        sync->failed_total++;
        return LC_SYNC_RESUBSCRIBE;
      }
  sync->next_part++;
  if (!is_last)
    return LC_SYNC_STAGED;
  lc_view_sync__swap (sync);
  return LC_SYNC_REPLACED;
}

bool
lc_view_sync_source_down (LcViewSync *sync, uint32_t source)
{
  if (sync->staged_revision == 0 || sync->staged_source != source)
    return false;
  lc_view_sync__drop_staged (sync);
  return true;
}

LcRevision
lc_view_sync_from (const LcViewSync *sync)
{
  return sync->needs_snapshot ? 0 : sync->view.revision;
}
