/* lc-distributor: control's side of distribution and membership.
 *
 * WHAT IT IS
 *   Serves the view to balancers (snapshot, then deltas), folds their acknowledgements into "in
 *   force" a data centre, receives membership transitions from watchers, and keeps the leases of
 *   balancers.  It runs on every control VM; what it learns is proposed through `propose`, which
 *   on a follower forwards to the leader.  Balancers keep a link to every control VM, so each of
 *   them folds all acknowledgements and holds all leases; only the leader acts on a lost lease and
 *   proposes what has settled.
 *
 * HOW TO USE IT
 *     distributor = lc_distributor_new (&desc, &error);
 *     lc_distributor_publish (distributor, ops, n_ops);   after each applied batch
 *     lc_distributor_reset (distributor);                 after a snapshot was loaded
 *     lc_distributor_frame (distributor, link, frame);           frames 100..199 of the peer server
 *     lc_distributor_free (distributor);
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
  const LcView *view; /* control's own, always the newest applied */
  uint32_t lease_ms;  /* of balancers; 0: 3000 */
  void *user;
  /* Changes that came together, LC_MEMBER_CHANGES_MAX at most, to be one entry of the log.  0 when
   * taken (committed later, or forwarded), negative when they can't be taken now: the distributor
   * tries again. */
  int (*propose) (void *user, const LcMemberChange *changes, uint32_t n);
  bool (*is_leader) (void *user);
  /* Microseconds since this VM last knew of a leader backed by a quorum: 0 on that leader, -1 when
   * it never did.  NULL: 0 on the leader, and on a follower the time since it last was one or
   * started (so subscribers see that nobody vouches).  */
  int64_t (*leader_age_us) (void *user);
  /* Whether this VM belongs to no cluster, and knows who does: members go on to those.  NULL: no.
   */
  bool (*stands_by) (void *user);
  /* Where the control VMs are; returns how many.  NULL: nobody is told. */
  uint32_t (*control) (void *user, LcSocketAddress *out, uint32_t max);
} LcDistributorDesc;

/* What is known of one data centre, for `lychee status` and `confirm --wait`. */
typedef struct
{
  LcDcId dc;
  char name[LC_NAME_MAX];
  LcRevision in_force_revision; /* every live node of the data centre has applied it */
  uint32_t n_balancers;
  uint32_t n_agents;
  uint32_t n_behind;     /* nodes below the newest revision */
  int64_t silent_for_us; /* since its last acknowledgement; -1: never heard */
} LcDcStatus;

/* What the guard does, for status. */
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
/* What this VM says of itself has changed: members that wait for a view hear it now. */
void lc_distributor_tell_waiting (LcDistributor *distributor);
void lc_distributor_frame (LcDistributor *distributor, LcLink *link, const LcFrame *frame);
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
