/* lc-view-server: replicates the view to subscribers, by deltas or snapshots.
 *
 * WHAT IT IS
 *   Used by relays and by control: a bounded log of operations, a record per subscriber, and for
 *   each a delta or a snapshot, whichever is smaller.  A snapshot of the whole view is encoded once
 *   and shared; when the view changes while it is being sent, a delta follows it.
 *
 * HOW TO USE IT
 *     lc_view_server_init (&server, &desc);
 *     lc_view_server_subscribe (&server, link, from_revision, &scope);
 *     lc_view_server_publish (&server, ops, n_ops);        after they were applied to the view
 *     lc_view_server_reset (&server);                      after the view was replaced
 *     lc_view_server_add_waiting (&server, link);          while there is no view: see first_view
 *     lc_view_server_handle_link_down (&server, link);
 *     lc_view_server_finish (&server);
 *
 * LIMITS
 *   At most max_snapshots shared snapshots are being sent at once; a further subscriber is told to
 *   retry later.  Sending pauses for a subscriber whose link has a large backlog, and for all while
 *   their backlogs together or the time spent on serving exceed the limits of lc-flush-pace.h.
 *   Subscribers are served round-robin.
 *
 * THREADS
 *   Everything on the loop's thread.
 */
#ifndef LC_VIEW_SERVER_H
#define LC_VIEW_SERVER_H

#include "core/member/lc-op-log.h"
#include "core/member/lc-scope.h"
#include "io/lc-link.h"
#include "io/lc-timer.h"

typedef struct
{
  h2o_loop_t *loop;
  const LcView *view;
  uint32_t max_snapshots; /* 0: 16 */
  size_t max_ops;         /* capacity of the log; 0: see lc-op-log */
  void *user;
  /* Called for each waiting link when there is a view, or by lc_view_server_notify_waiting, so that
   * a member need not wait for its next renewal a second later.  May be NULL. */
  void (*first_view) (void *user, LcLink *link);
} LcViewServerDesc;

typedef struct LcSnapshotCache LcSnapshotCache;

typedef struct
{
  LcViewServerDesc desc;
  LcOpLog log;
  GHashTable *subscribers; /* LcLink -> LcSubscriber */
  GHashTable *waiting;     /* set of LcLink that wait for a view */
  LcSnapshotCache *cache;  /* newest encoded snapshot, or NULL */
  GQueue whole_queue;      /* LcSubscriber of the whole view, served first: they relay it */
  GQueue scoped_queue;     /* LcSubscriber of a part of it */
  LcTimer flush;
  bool is_flush_armed;
  GByteArray *shared_delta; /* within a flush, for subscribers at the same revision */
  LcRevision shared_from;
  uint32_t n_snapshots; /* being sent */
  uint32_t n_recent_refusals;
  uint64_t deltas_total;
  uint64_t delta_ops_total;
  uint64_t snapshots_total;
  uint64_t refused_total;
  uint64_t bytes_total;
} LcViewServer;

void lc_view_server_init (LcViewServer *server, const LcViewServerDesc *desc);
void lc_view_server_finish (LcViewServer *server);
void lc_view_server_subscribe (LcViewServer *server,
                               LcLink *link,
                               LcRevision from,
                               const LcScope *scope);
void lc_view_server_publish (LcViewServer *server, const LcViewOp *ops, size_t n_ops);
void lc_view_server_reset (LcViewServer *server);
/* Adds a link that waits for a view; no effect when there is one. */
void lc_view_server_add_waiting (LcViewServer *server, LcLink *link);
/* Calls `first_view` for each waiting link, once. */
void lc_view_server_notify_waiting (LcViewServer *server);
void lc_view_server_handle_link_down (LcViewServer *server, LcLink *link);

#endif /* LC_VIEW_SERVER_H */
