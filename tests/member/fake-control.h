/* fake-control: one control VM without a log, for tests and benches of membership.
 *
 * It accepts every proposal at once, derives the view operations from it as control's state machine
 * does, and serves the view through the real distributor on a real port.  `is_cut` drops every
 * frame that it receives and refuses proposals; `leader` makes it a follower, which gets its
 * operations from that one unless `is_lagging`.
 */
#ifndef FAKE_CONTROL_H
#define FAKE_CONTROL_H

#include "control/lc-distributor.h"

/* Lease of all fake agents and balancers; 600 unless a test or bench sets it. */
extern uint32_t fake_lease_ms;

typedef struct FakeControl FakeControl;
struct FakeControl
{
  LcApp app;
  LcView view;
  LcDistributor *distributor;
  LcLinkServer server;
  FakeControl *leader; /* NULL: this one leads */
  FakeControl *followers[4];
  uint32_t n_followers;
  bool is_cut;
  bool is_lagging; /* a follower that gets no new operations */
  /* A standby: belongs to no cluster and refers members to this control VM.  NULL: none. */
  FakeControl *stands_by_for;
  uint32_t next_id;
  uint64_t n_proposals;
  uint64_t n_changes; /* proposals that changed something */
};

void fake_control_init (FakeControl *c, h2o_loop_t *loop, uint32_t ipv4, FakeControl *leader);
void fake_control_finish (FakeControl *c);
/* Opens a data centre or an empty service. */
void fake_control_add_dc (FakeControl *c, const char *name);
LcServiceId fake_control_add_service (FakeControl *c, const char *name);
/* Applies operations at the next revision, also on followers that don't lag. */
void fake_control_commit (FakeControl *c, LcViewOp *ops, size_t n_ops);
LcSocketAddress fake_control_address (const FakeControl *c);

#endif /* FAKE_CONTROL_H */
