/* lc-distributor-private: what the parts of lc-distributor share.
 *
 *   lc-distributor.c          what balancers say, their leases, the view, lifetime
 *   lc-distributor-propose.c  changes on their way to the log
 *   lc-distributor-duties.c   what only the leader does from time to time
 */
#ifndef LC_DISTRIBUTOR_PRIVATE_H
#define LC_DISTRIBUTOR_PRIVATE_H

#include "lc-distributor.h"

#include "controller/lc-view-server.h"
#include "core/member/lc-batch-pace.h"
#include "core/member/lc-loss-guard.h"
#include "core/member/lc-watch.h"

struct LcDistributor
{
  LcDistributorDesc desc;
  LcViewServer server;
  LcWatch watch; /* leases of balancers */
  LcLossGuard guard;
  GHashTable *pending; /* hash of (kind, name, instance) -> time of the proposal */
  GArray *batch;       /* LcMemberChange: proposed together when `batch_pace` says so */
  LcBatchPace batch_pace;
  LcTimer batch_timer;
  LcTimer tick;
  int64_t started_us;
  int64_t led_us; /* last moment as leader */
  int64_t seeded_us;
  int64_t settled_us;
  int64_t swept_us;
  GHashTable *lost_since; /* endpoint id -> when this leader first saw it lost */
  bool was_leader;
  LcMetric *proposed_total;
  LcMetric *held_total;
  LcMetric *unplaced_total;
  LcMetric *malformed_total;
  LcMetric *balancers_gauge;
  LcMetric *snapshots_gauge;
  LcMetric *refused_gauge;
  LcMetric *sent_gauge;
  LcLogLimit log_limit;
  LcLogLimit guard_limit;
  LcLogLimit proposal_limit;
  LcLogLimit unplaced_limit;
};

void lc_distributor__init_proposals (LcDistributor *d);
void lc_distributor__finish_proposals (LcDistributor *d);
/* What was proposed long ago may be proposed again; at each tick. */
void lc_distributor__forget_old (LcDistributor *d, int64_t now_us);
/* Hands a change to the log, unless the same one is on its way. */
void lc_distributor__propose (LcDistributor *d, const LcMemberChange *change, int64_t now_us);
/* The same for what was reported: the guard may hold it, and an endpoint needs a place. */
void lc_distributor__take (LcDistributor *d, const LcMemberChange *change, int64_t now_us);
/* Endpoints that nobody is left to report, and those that stay lost; each second. */
void lc_distributor__sweep (LcDistributor *d, int64_t now_us);
/* Proposes the newest revision that every live balancer and agent has acknowledged. */
void lc_distributor__settle (LcDistributor *d, int64_t now_us);

#endif /* LC_DISTRIBUTOR_PRIVATE_H */
