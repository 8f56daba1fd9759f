/* lc-flow-return: steering for services whose backend servers return what they do not hold.
 *
 * WHAT IT IS
 *   Where a backend server hands back each packet of a flow that it does not hold, it is the truth
 *   about its flows, and the tables of agents are only a fast way to it.  So nothing has to be
 *   settled before a flow may be assigned, and an agent that knows nothing, for example after a
 *   restart, can ask:
 *     - a first packet is assigned by the first home that it reaches;
 *     - another packet goes to the owner that a home knows; if no home knows one, the owner is
 *       searched for (lc-flow-finder.h);
 *     - what is returned loses its entry here and is searched for, or assigned to another endpoint;
 *     - when a search has accounted for every backend server, the caller is told by a reset: it
 * need not wait for what will never come;
 *     - an answer of the backend server proves that it holds the flow: the agent then owns it and
 *       registers it with the homes.
 *   Two endpoints that both accept copies of a first packet do no harm: the caller goes on with
 * one, and the other returns what the first one's caller sends.
 *
 * HOW TO USE IT
 *   Through lc_flow_agent_packet when desc.is_returning is set, and
 *     action = lc_flow_return_returned (&agent, &envelope, &packet, now_us);
 *     lc_flow_return_answered (&agent, &packet, now_us);
 *     while (lc_flow_return_next_held (&agent, &held, now_us))
 *       give the packets held for held.flow to the backend server, or drop them
 *     while (lc_flow_return_next_reset (&agent, &packet))
 *       answer the packet with a reset
 */
#ifndef LC_FLOW_RETURN_H
#define LC_FLOW_RETURN_H

#include "lc-flow-agent.h"

#ifdef __cplusplus
extern "C"
{
#endif

  /* Marks of packets that are not first ones (LcPacket.mark): 0, or the endpoint whose agent
   * searches for the flow's owner.  When such a packet is returned, that agent is told. */
  enum
  {
    LC_FLOW_MARK_NONE = 0,
  };

  /* As lc_flow_agent_packet. */
  LcFlowAction lc_flow_return_packet (LcFlowAgent *agent,
                                      LcEnvelope *envelope,
                                      const LcPacket *packet,
                                      int64_t now_us);
  /* The backend server returned a packet; `envelope` is filled when the action sends it on. */
  LcFlowAction lc_flow_return_returned (LcFlowAgent *agent,
                                        LcEnvelope *envelope,
                                        const LcPacket *packet,
                                        int64_t now_us);
  /* The backend server sent this packet to a caller (its key goes from the service to the caller):
   * the flow is its own from now on.  Returns what the packet answers. */
  LcFlowAnswer lc_flow_return_answered (LcFlowAgent *agent, const LcPacket *packet, int64_t now_us);
  /* The key of the flow that a packet of the backend server belongs to: the caller's own. */
  LcFlowKey lc_flow_return_key (const LcPacket *packet);
  /* What becomes of packets that LC_FLOW_ACTION_HOLD kept, after each packet and each tick; false:
   * nothing now. */
  bool lc_flow_return_next_held (LcFlowAgent *agent, LcFlowHeld *held, int64_t now_us);
  /* Packets of flows that nobody holds; false: none is left. */
  bool lc_flow_return_next_reset (LcFlowAgent *agent, LcPacket *packet);
  /* The envelope of a search that this agent begins. */
  void
  lc_flow_return_search (const LcFlowAgent *agent, const LcCandidate *to, LcEnvelope *envelope);

#ifdef __cplusplus
}
#endif

#endif /* LC_FLOW_RETURN_H */
