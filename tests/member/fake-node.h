/* fake-node: an agent or balancer with real membership and nothing else.
 *
 * It counts the updates that moved its view back, so that a test can assert that there are none.
 * `is_frozen` drops every frame that its server receives.
 */
#ifndef FAKE_NODE_H
#define FAKE_NODE_H

#include "controller/lc-member.h"

typedef struct
{
  LcApp app;
  LcMember member;
  LcLinkServer server;
  bool has_server;
  bool is_up;
  bool is_frozen;
  LcRevision highest;
  uint32_t n_reverted;
  uint32_t n_resets;
  bool saw_draining; /* its own endpoint was DRAINING in an operation of its view */
} FakeNode;

void fake_node_balancer (FakeNode *n,
                         h2o_loop_t *loop,
                         const char *name,
                         uint32_t ipv4,
                         const char *dc,
                         const LcSocketAddress *control,
                         uint32_t n_control);
void fake_node_agent (FakeNode *n,
                      h2o_loop_t *loop,
                      const char *name,
                      uint32_t ipv4,
                      const char *dc,
                      const char *service,
                      const LcSocketAddress *balancers,
                      uint32_t n_balancers);
/* Closes its links without a planned stop. */
void fake_node_kill (FakeNode *n);
/* Closes its links as at the end of a planned stop. */
void fake_node_finish (FakeNode *n);
LcSocketAddress fake_node_address (const FakeNode *n);
LcRevision fake_node_revision (const FakeNode *n);

/* Runs the loop until `is_done (user)` or for about `limit_ms`; returns whether it is done. */
bool fake_run_until (h2o_loop_t *loop, bool (*is_done) (void *user), void *user, uint32_t limit_ms);
void fake_run_for (h2o_loop_t *loop, uint32_t ms);

#endif /* FAKE_NODE_H */
