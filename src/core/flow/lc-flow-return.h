/* lc-flow-return: steering for services whose backend servers return packets of unknown flows.
 *
 * WHAT IT IS
 *   If a backend server returns each packet of a flow that it does not hold, it is the authority on
 *   its flows, and the agents' tables are a cache.  So nothing has to settle before a flow may be
 *   assigned, and an agent without state, for example after a restart, can find the owner:
 *     - a first packet is assigned by the first home that it reaches;
 *     - another packet goes to the owner that a home has; if no home has one, the owner is searched
 *       for (lc-flow-finder.h);
 *     - a returned packet loses its entry here and is searched for, or assigned to another
 *       endpoint;
 *     - when a search has accounted for every backend server without finding an owner, the caller
 *       gets a reset, so that it does not wait for its time limit;
 *     - if the envelope names several services, the packet walks the homes of each, and the caller
 *       gets a reset only after a search in each of them;
 *     - a response of the backend server proves that it holds the flow: the agent then owns it and
 *       registers it with the homes.
 *   Two endpoints that both accept copies of a first packet do no harm: the caller goes on with one
 *   of them, and the other one returns the caller's packets.
 *
 * HOW TO USE IT
 *   Through lc_flow_agent_handle_packet when desc.returns_packets is set, and
 *     action = lc_flow_return_handle_returned (&agent, &envelope, &packet, now_us);
 *     answer = lc_flow_return_handle_response (&agent, &packet, now_us);
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

  /* LcPacket.mark of packets that are not first ones: one of these, or the endpoint id of the
   * searcher, which is notified when the packet is returned. */
#define LC_FLOW_MARK_NONE 0U
#define LC_FLOW_MARK_SERVICES UINT32_MAX /* other services may hold the flow */

  /* As lc_flow_agent_handle_packet. */
  LcFlowAction lc_flow_return_steer (LcFlowAgent *agent,
                                     LcEnvelope *envelope,
                                     const LcPacket *packet,
                                     int64_t now_us);
  /* Handles a packet returned by the backend server; fills `envelope` if the action forwards it. */
  LcFlowAction lc_flow_return_handle_returned (LcFlowAgent *agent,
                                               LcEnvelope *envelope,
                                               const LcPacket *packet,
                                               int64_t now_us);
  /* Handles a packet from the backend server to a caller (its key has the service as the source):
   * the agent owns the flow from now on.  Returns what the packet responds to. */
  LcFlowResponse
  lc_flow_return_handle_response (LcFlowAgent *agent, const LcPacket *packet, int64_t now_us);
  /* The flow's key, caller to service, from a packet of the backend server. */
  LcFlowKey lc_flow_return_caller_key (const LcPacket *packet);
  /* Next decision on packets that LC_FLOW_ACTION_HOLD queued; call it after each packet and tick
   * until it returns false. */
  bool lc_flow_return_next_held (LcFlowAgent *agent, LcFlowHeld *held, int64_t now_us);
  /* Next packet of a flow that no backend server holds; false: none is left. */
  bool lc_flow_return_next_reset (LcFlowAgent *agent, LcPacket *packet);
  /* Fills the envelope for a packet of a search by this agent. */
  void lc_flow_return_fill_search_envelope (const LcFlowAgent *agent,
                                            const LcCandidate *to,
                                            LcEnvelope *envelope);

#ifdef __cplusplus
}
#endif

#endif /* LC_FLOW_RETURN_H */
