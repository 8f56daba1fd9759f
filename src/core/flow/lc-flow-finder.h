/* lc-flow-finder: how the owner of a flow is found that no home knows.
 *
 * WHAT IT IS
 *   A part of lc-flow-agent, for services whose backend servers return what they do not hold
 * (lc-flow-return.h).  Homes forget a flow's owner when their agents start again, or never hear of
 * it when the owner's view is old.  Then one agent, the searcher, accounts for every endpoint of
 * the service (lc-flow-search.h): the flow is found, or nobody holds it and its caller is told.
 *
 *   In a service of up to LC_FLOW_FINDER_DIRECT endpoints the agent at the end of the walk
 * searches, and gives the packet to all of them.  In a larger one it passes the packet to one of
 * LC_FLOW_FINDER_SHARDS searchers that the flow's hash names, which asks in rounds: messages a
 * second are then at most shards x rounds x endpoints x 2 (163 endpoints: 104,000 while every
 * caller of the service searches; 64 packets and as many answers for each single flow were
 * 360,000), and no message grows with the flows of the service or with its endpoints.  Which
 * searcher a flow has changes each LC_FLOW_FINDER_TURN_US, so that one that does not answer costs a
 * copy of a packet.
 *
 * WHO KNOWS ALL
 *   An agent knows all flows of its backend server when that one began under it
 * (LcFlowAgentDesc.is_fresh), or when it has run for an idle timeout: what lives has passed by
 * since. Its word is enough.  Beside other backend servers the packet itself is tried.
 *
 * HOW TO USE IT
 *   Called by lc-flow-return and lc-flow-agent alone, except
 *     while (lc_flow_finder_next_try (&agent, now_us, &next))
 *       give the packet of the search at next.place to next.to
 *
 * LIFETIME
 *   As the agent.
 */
#ifndef LC_FLOW_FINDER_H
#define LC_FLOW_FINDER_H

#include "lc-flow-agent.h"

#ifdef __cplusplus
extern "C"
{
#endif

  enum
  {
    LC_FLOW_FINDER_DIRECT = 16,
    LC_FLOW_FINDER_SHARDS = 16,
    LC_FLOW_FINDER_TURNS = 3, /* searchers that take turns for one shard */
  };

/* Copies of a packet come after 0.2, 0.6 and 1.4 s: one searcher has the time to finish, and a copy
 * within the first second or so meets another if that one does not answer. */
#define LC_FLOW_FINDER_TURN_US (700 * LC_US_PER_MS)

  typedef struct
  {
    uint32_t place; /* of the search: LcFlowAction.search.place */
    uint32_t n;
    LcCandidate to[LC_FLOW_SEARCH_MAX];
  } LcFlowTry;

  /* The walk has ended and no home knows the owner: searches here, or sends the packet on. */
  LcFlowAction lc_flow_finder_walk_ended (LcFlowAgent *agent,
                                          LcEnvelope *envelope,
                                          const LcPacket *packet,
                                          int64_t now_us);
  /* The owner is known here, but not to the home that sent the packet on: it is told, or each
   * packet of an owner whose view is old would take this way. */
  void lc_flow_finder_tell (LcFlowAgent *agent, LcEndpointId home, const LcFlowKey *key);
  /* Searches here for the owner of a packet that came in this envelope. */
  LcFlowAction lc_flow_finder_search (LcFlowAgent *agent,
                                      const LcEnvelope *envelope,
                                      const LcPacket *packet,
                                      int64_t now_us);
  /* The same for a packet that the backend server here has returned. */
  LcFlowAction
  lc_flow_finder_search_returned (LcFlowAgent *agent, const LcPacket *packet, int64_t now_us);
  /* The backend server here returned a packet that an agent's search tried on it. */
  LcFlowAction lc_flow_finder_tried (LcFlowAgent *agent, const LcPacket *packet, int64_t now_us);
  /* Who is to be given a searched packet now: after an LC_FLOW_ACTION_SEARCH, and after each tick
   * for as long as there are any, as it turns out whose agents can't say.  `place` is that of the
   * action, under which its bytes were kept.  False: nobody. */
  bool lc_flow_finder_next_try (LcFlowAgent *agent, int64_t now_us, LcFlowTry *next);

  /* A peer has said something, of whatever kind: whether it was silent before, though asked. */
  bool lc_flow_finder_heard (LcAssignPeer *peer, int64_t now_us);
  /* Asks one that was silent for all that it was not asked meanwhile. */
  void lc_flow_finder_catch_up (LcFlowAgent *agent, LcEndpointId id, int64_t now_us);

  /* The messages of searches. */
  void lc_flow_finder_denied (LcFlowAgent *agent, const LcFlowMessage *message, int64_t now_us);
  void lc_flow_finder_asked (LcFlowAgent *agent, const LcFlowMessage *message);
  void lc_flow_finder_answered (LcFlowAgent *agent, const LcFlowMessage *message, int64_t now_us);

  /* The members of the service, or the time, have changed. */
  void lc_flow_finder_set_members (LcFlowAgent *agent, int64_t now_us);
  void lc_flow_finder_tick (LcFlowAgent *agent, int64_t now_us);
  LcFlowKnowledge lc_flow_finder_knowledge (const LcFlowAgent *agent, int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif /* LC_FLOW_FINDER_H */
