/* lc-distributor-private: struct and functions shared by its source files.
 *
 *   lc-distributor.c          frames of members, balancers' leases, the view, lifetime
 *   lc-distributor-propose.c  batches of changes for the log
 *   lc-distributor-duties.c   periodic work of the leader
 */
#ifndef LC_DISTRIBUTOR_PRIVATE_H
#define LC_DISTRIBUTOR_PRIVATE_H

#include "lc-distributor.h"

#include "controller/lc-view-server.h"
#include "core/member/lc-batch-pace.h"
#include "core/member/lc-former-expiry.h"
#include "core/member/lc-loss-guard.h"
#include "core/member/lc-watch.h"

struct LcDistributor
{
  LcDistributorDesc desc;
  LcViewServer server;
  LcWatch watch; /* leases of balancers */
  LcLossGuard guard;
  GHashTable *pending; /* "kind name instance" -> time of the proposal */
  GArray *batch;       /* LcMemberChange; proposed together when `batch_pace` is due */
  LcBatchPace batch_pace;
  LcTimer batch_timer;
  LcTimer tick;
  int64_t started_us;
  int64_t led_us; /* last tick as leader */
  int64_t seeded_us;
  int64_t settled_us;
  int64_t swept_us;
  LcFormerExpiry former_expiry; /* on the leader */
  GHashTable *lost_since;       /* endpoint id -> when this leader first saw it lost */
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
/* At each tick: drops old proposals from `pending`, so that they can be repeated. */
void lc_distributor__expire_pending (LcDistributor *d, int64_t now_us);
/* Adds a change to the batch, unless an equal one is pending. */
void lc_distributor__propose (LcDistributor *d, const LcMemberChange *change, int64_t now_us);
/* The same for a reported change: the guard may hold it, and an endpoint's service and data centre
 * must exist. */
void
lc_distributor__propose_reported (LcDistributor *d, const LcMemberChange *change, int64_t now_us);
/* Each second: endpoints in data centres without a live balancer, and those that stay lost. */
void lc_distributor__sweep (LcDistributor *d, int64_t now_us);
/* Proposes as settled the newest revision acknowledged by every live balancer and agent. */
void lc_distributor__settle (LcDistributor *d, int64_t now_us);

#endif /* LC_DISTRIBUTOR_PRIVATE_H */
