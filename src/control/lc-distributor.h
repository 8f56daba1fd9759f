/* lc-distributor: membership service and view publisher of a control VM.
 *
 * WHAT IT IS
 *   Serves the view to balancers (a snapshot, then deltas), aggregates their acknowledgements into
 *   the revision in force per data centre, receives membership changes from watchers, and holds
 *   the leases of balancers.  Changes go to the log through `propose`, which a follower forwards
 *   to the leader.  It runs on every control VM.  Balancers keep a link to each of them, so each
 *   holds all acknowledgements and leases; only the leader acts on an expired lease and proposes
 *   the settled revision.
 *
 * HOW TO USE IT
 *     distributor = lc_distributor_new (&desc, &error);
 *     lc_distributor_publish (distributor, ops, n_ops);   after each applied batch
 *     lc_distributor_reset (distributor);                 after a snapshot was loaded
 *     lc_distributor_receive (distributor, link, frame);  frames 100..199 of the peer server
 *     lc_distributor_link_down (distributor, link);       when a link of the peer server closes
 *     lc_distributor_free (distributor);
 *
 * LIFETIME
 *   Links, `view` and app must outlive the distributor.
 *
 * THREADS
 *   Everything on app->loop's thread.
 */
#ifndef LC_DISTRIBUTOR_H
#define LC_DISTRIBUTOR_H

#include "core/member/lc-member-change.h"
#include "io/lc-app.h"

typedef struct
{
  LcApp *app;
  const LcView *view;  /* of the applied state */
  uint32_t lease_ms;   /* of balancers; 0: 3000 */
  uint32_t max_flow_s; /* greatest age of a flow; 0: no limit */
  void *user;
  /* Proposes at most LC_MEMBER_CHANGES_MAX changes as one log entry.  0: proposed or forwarded;
   * negative: not possible now, the distributor tries again. */
  int (*propose) (void *user, const LcMemberChange *changes, uint32_t n);
  bool (*is_leader) (void *user);
  /* Microseconds since the last contact with a leader that has a quorum: 0 on that leader, -1: none
   * yet.  NULL: 0 on the leader, and on a follower the time since it led or started, so that
   * subscribers see that no leader confirms the view. */
  int64_t (*leader_age_us) (void *user);
  /* Whether this VM is a standby, so that its subscribers turn to the members.  NULL: no. */
  bool (*is_standby) (void *user);
  /* Addresses of the control VMs, sent to subscribers; returns how many.  NULL: none. */
  uint32_t (*control_addresses) (void *user, LcSocketAddress *out, uint32_t max);
} LcDistributorDesc;

/* One data centre, for `lychee status` and `confirm --wait`. */
typedef struct
{
  LcDcId dc;
  char name[LC_NAME_MAX];
  LcRevision in_force_revision; /* applied by every live balancer and agent */
  uint32_t n_balancers;
  uint32_t n_agents;
  uint32_t n_behind;     /* balancers and agents below the newest revision */
  int64_t silent_for_us; /* since its last acknowledgement; -1: none yet */
} LcDcStatus;

/* State of the loss guard, for `lychee status`. */
typedef struct
{
  bool is_holding;
  int64_t holding_for_us;
  uint64_t held_total;
  char what[2 * LC_NAME_MAX]; /* "endpoints of data centre hall-atl" */
} LcLossGuardStatus;

typedef struct LcDistributor LcDistributor;

LcDistributor *lc_distributor_new (const LcDistributorDesc *desc, LcError *error);
void lc_distributor_free (LcDistributor *distributor);
void lc_distributor_publish (LcDistributor *distributor, const LcViewOp *ops, size_t n_ops);
/* The view was replaced by a snapshot: subscribers get one too. */
void lc_distributor_reset (LcDistributor *distributor);
/* Sends the status to members without a view, after `is_standby` or the addresses changed. */
void lc_distributor_notify_waiting (LcDistributor *distributor);
void lc_distributor_receive (LcDistributor *distributor, LcLink *link, const LcFrame *frame);
void lc_distributor_link_down (LcDistributor *distributor, LcLink *link);
/* Fills `out` (room for `max`) and returns how many data centres there are. */
uint32_t lc_distributor_status (const LcDistributor *distributor,
                                int64_t now_us,
                                LcDcStatus *out,
                                uint32_t max);
void lc_distributor_guard_status (const LcDistributor *distributor,
                                  int64_t now_us,
                                  LcLossGuardStatus *out);

#endif /* LC_DISTRIBUTOR_H */
