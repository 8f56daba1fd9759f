/* lc-view-server: serves the view to subscribers.
 *
 * WHAT IT IS
 *   What a relay and control have in common: a bounded history of operations, one record a
 *   subscriber, and for each of them a delta or a snapshot, whichever is smaller.  A snapshot of
 * the whole view is encoded once and shared by all who need one; while it is being sent the view
 * may move on, and the delta after it brings the subscriber up to date.
 *
 * HOW TO USE IT
 *     lc_view_server_init (&server, &desc);
 *     lc_view_server_subscribe (&server, link, from_revision, &scope, now_us);
 *     lc_view_server_publish (&server, ops, n_ops);    after they were applied to the view
 *     lc_view_server_reset (&server);                  after the view was replaced
 *     lc_view_server_greeted (&server, link);          before there is a view: desc.first_view
 * later lc_view_server_link_down (&server, link); lc_view_server_finish (&server);
 *
 * LIMITS
 *   At most max_snapshots shared snapshots are on their way at once; a further subscriber is told
 *   when to come back.  A subscriber whose link has much unsent gets the rest later, and so does
 *   everybody while all links together have much unsent, or while serving would take more than its
 *   share of the process's time (lc-flush-pace.h).  Subscribers take turns.
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
  size_t max_ops;         /* of the history; 0: see lc-op-log */
  void *user;
  /* There is a view now, or other news, and this link was greeted before: a member that waits for a
   * view hears at once what it may expect here, not with its next renewal a second later.  May be
   * NULL. */
  void (*first_view) (void *user, LcLink *link);
} LcViewServerDesc;

typedef struct LcSnapshotCache LcSnapshotCache;

typedef struct
{
  LcViewServerDesc desc;
  LcOpLog log;
  GHashTable *subscribers; /* LcLink -> private record */
  GHashTable *unserved;    /* set of LcLink: greeted while there was no view */
  LcSnapshotCache *cache;  /* newest encoded snapshot, or NULL */
  GQueue first_turns; /* LcSubscriber of the whole view, in the order in which they are served */
  GQueue turns;       /* the others, after them */
  LcTimer flush;
  bool is_flush_armed;
  GByteArray *shared_delta; /* of one flush, for subscribers at the same revision */
  LcRevision shared_from;
  uint32_t n_snapshots; /* being sent */
  uint32_t n_refused_recently;
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
/* A member on this link was told which revision is served here. */
void lc_view_server_greeted (LcViewServer *server, LcLink *link);
/* Calls `first_view` now for each link that was greeted while there was no view. */
void lc_view_server_tell_waiting (LcViewServer *server);
void lc_view_server_link_down (LcViewServer *server, LcLink *link);

#endif /* LC_VIEW_SERVER_H */
