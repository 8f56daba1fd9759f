/* lc-flow-finder: searches all endpoints of a service for a flow owner that no home has.
 *
 * WHAT IT IS
 *   A part of lc-flow-agent, for services whose backend servers return packets of flows that they
 *   do not hold (lc-flow-return.h).  Homes lose a flow's owner when their agents restart, or never
 *   receive it when the owner's view is old.  Then one agent, the searcher, accounts for every
 *   endpoint of the service (lc-flow-search.h): either the owner is found, or no backend server
 *   holds the flow and its caller gets a reset.
 *
 *   In a service of up to LC_FLOW_FINDER_DIRECT_MAX endpoints the agent at the end of the walk
 *   searches and sends the packet to all of them.  In a larger one it passes the packet to one of
 *   LC_FLOW_FINDER_SHARDS searchers, chosen by the flow's hash, which queries agents in rounds:
 *   messages a second are then at most shards x rounds x endpoints x 2 (163 endpoints: 104,000
 *   while every caller of the service searches; 64 packets and as many answers for each single flow
 *   were 360,000), and no message grows with the flows of the service or with its endpoints.  The
 *   searcher of a flow rotates each LC_FLOW_FINDER_ROTATION_US, so that one that does not respond
 *   costs one copy of a packet.
 *
 * SEVERAL SERVICES
 *   If the envelope names several services that may hold the flow, a search that finds no owner in
 *   one passes the packet to a home of the next, and the last one resets the caller.
 *
 * END OF A SEARCH
 *   The owner that gets a packet of a search reports itself to the searcher, which ends the search.
 *   Otherwise the stored packet would go on to endpoints that join, and a denial by all others would
 *   end it with a reset of a caller that is being served.
 *
 * COMPLETE KNOWLEDGE
 *   An agent has all flows of its backend server in its table when that one started after it
 *   (LcFlowAgentDesc.is_backend_fresh), or when it has run for an idle timeout: every live flow has
 *   passed by since.  Its answer is conclusive, unless its view is older than the service's last
 *   change of the idle timeout, or it has given the flow up to another agent after its backend
 *   server had answered on it (LC_FLOW_ANSWERED on an entry that is not OWNED).  Otherwise the
 *   packet itself is sent to the backend server, which returns it if it does not hold the flow.
 *
 * HOW TO USE IT
 *   Called by lc-flow-return and lc-flow-agent alone, except
 *     while (lc_flow_finder_next_try (&agent, now_us, &next))
 *       send the packet stored under next.slot to each of next.to
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
    LC_FLOW_FINDER_DIRECT_MAX = 16,
    LC_FLOW_FINDER_SHARDS = 16,
    LC_FLOW_FINDER_SEARCHERS = 3, /* searchers that rotate for one shard */
  };

/* A caller retransmits after 0.2, 0.6 and 1.4 s.  One searcher has the time to finish; if it does
 * not respond, a retransmission within about the first second reaches another. */
#define LC_FLOW_FINDER_ROTATION_US (700 * LC_US_PER_MS)

  typedef struct
  {
    uint32_t slot; /* LcFlowAction.search.slot */
    uint32_t n;
    LcCandidate to[LC_FLOW_SEARCH_TARGETS_MAX];
    bool is_passed;      /* `envelope` is set: the search goes on in another service */
    LcEnvelope envelope; /* else that of lc_flow_return_fill_search_envelope */
  } LcFlowTry;

  /* Handles the end of a walk without an owner: searches here or forwards to the searcher. */
  LcFlowAction lc_flow_finder_end_walk (LcFlowAgent *agent,
                                        LcEnvelope *envelope,
                                        const LcPacket *packet,
                                        int64_t now_us);
  /* Sends the flow's owner to the home that forwarded a packet without knowing it.  If the owner's
   * view is old, each of its packets would take this detour otherwise. */
  void lc_flow_finder_send_owner (LcFlowAgent *agent, LcEndpointId home, const LcFlowKey *key);
  /* Records that a packet of another agent's search was given to the own backend server. */
  void lc_flow_finder_record_try (LcFlowAgent *agent,
                                  const LcCandidate *searcher,
                                  const LcFlowKey *key,
                                  int64_t now_us);
  /* Reports to a searcher that this agent owns the flow. */
  void lc_flow_finder_report_owned (LcFlowAgent *agent,
                                    const LcCandidate *searcher,
                                    const LcFlowKey *key);
  /* Ends searches for a flow that the own backend server has answered, here and at the agent whose
   * packet it answers. */
  void lc_flow_finder_end_answered (LcFlowAgent *agent, const LcFlowKey *key, int64_t now_us);
  /* Searches here for the owner of a packet that came in this envelope. */
  LcFlowAction lc_flow_finder_search (LcFlowAgent *agent,
                                      const LcEnvelope *envelope,
                                      const LcPacket *packet,
                                      int64_t now_us);
  /* The same for a packet that the own backend server returned. */
  LcFlowAction
  lc_flow_finder_search_returned (LcFlowAgent *agent, const LcPacket *packet, int64_t now_us);
  /* Handles a packet of a search that the own backend server returned: informs the searcher. */
  LcFlowAction
  lc_flow_finder_report_denial (LcFlowAgent *agent, const LcPacket *packet, int64_t now_us);
  /* Next packet of a search to send, and its targets; false: none.  Call it until then after each
   * LC_FLOW_ACTION_SEARCH and each tick: it turns out later which agents' knowledge is incomplete.
   * `slot` is the action's, under which the packet was stored. */
  bool lc_flow_finder_next_try (LcFlowAgent *agent, int64_t now_us, LcFlowTry *next);

  /* Records a message of any kind from a peer; whether it had left queries unanswered before. */
  bool lc_flow_finder_record_contact (LcAssignPeer *peer, int64_t now_us);
  /* Sends a peer that was silent the rounds that it was not queried for meanwhile. */
  void lc_flow_finder_send_missed_rounds (LcFlowAgent *agent, LcEndpointId id, int64_t now_us);

  /* Handlers of LC_FLOW_NOT_HELD, LC_FLOW_QUERY and LC_FLOW_QUERY_REPLY. */
  void
  lc_flow_finder_handle_denial (LcFlowAgent *agent, const LcFlowMessage *message, int64_t now_us);
  void lc_flow_finder_handle_query (LcFlowAgent *agent, const LcFlowMessage *message);
  void
  lc_flow_finder_handle_answer (LcFlowAgent *agent, const LcFlowMessage *message, int64_t now_us);

  /* Updates the members to account for, after a change of the service or of the time. */
  void lc_flow_finder_update_members (LcFlowAgent *agent, int64_t now_us);
  void lc_flow_finder_tick (LcFlowAgent *agent, int64_t now_us);
  LcFlowCoverage lc_flow_finder_knowledge (const LcFlowAgent *agent, int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif /* LC_FLOW_FINDER_H */
