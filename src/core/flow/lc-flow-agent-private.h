/* lc-flow-agent-private: steps that both steering rules share; not for others.
 *
 * lc-flow-agent.c holds the state, its messages and its time; lc-flow-agent-packet.c steers by
 * lists and marks; lc-flow-return.c steers where backend servers return what they do not hold.
 */
#ifndef LC_FLOW_AGENT_PRIVATE_H
#define LC_FLOW_AGENT_PRIVATE_H

#include "lc-flow-agent.h"

#ifdef __cplusplus
extern "C"
{
#endif

  /* The flow's request is answered, given up or moved: it counts no more, and packets held for it
   * are dropped. */
  void lc_flow_agent__end_request (LcFlowAgent *agent, LcFlow *flow);
  /* The backend server has reset a request, or left it without a sign; or has answered one. */
  void lc_flow_agent__note_failure (LcFlowAgent *agent, int64_t now_us);
  void lc_flow_agent__note_success (LcFlowAgent *agent);
  bool lc_flow_agent__looks_bad (const LcFlowAgent *agent, int64_t now_us);
  LcSteerKnown lc_flow_agent__known (const LcFlowAgent *agent, const LcFlow *flow);
  bool lc_flow_agent__is_evacuated (const LcFlowAgent *agent);
  /* The regions that new flows to this key's target are kept to, by the newest view here. */
  LcRegionMask lc_flow_agent__home_regions (const LcFlowAgent *agent, const LcFlowKey *key);
  /* Whether this agent's backend server is in one of them. */
  bool lc_flow_agent__is_home (const LcFlowAgent *agent, const LcFlowKey *key);
  bool lc_flow_agent__is_accepting (const LcFlowAgent *agent);
  /* Whether one more new flow may be given to the backend server now: it accepts, and if it is
   * cold its rate is not spent. */
  bool lc_flow_agent__may_take (const LcFlowAgent *agent, int64_t now_us);
  LcFlowAction lc_flow_agent__drop (LcFlowAgent *agent, LcDropReason reason);
  LcFlowAction lc_flow_agent__send (LcFlowAgent *agent,
                                    LcEnvelope *envelope,
                                    LcEnvelopeMode mode,
                                    const LcCandidate *to);
  LcFlowAction lc_flow_agent__deliver (
      LcFlowAgent *agent, LcFlow *flow, const LcPacket *packet, bool is_new, int64_t now_us);
  /* `flow` may be NULL: an entry is made. */
  LcFlowAction
  lc_flow_agent__take (LcFlowAgent *agent, LcFlow *flow, const LcPacket *packet, int64_t now_us);
  /* Chooses an endpoint for a new flow: takes it, or sends the packet there. */
  LcFlowAction lc_flow_agent__assign (LcFlowAgent *agent,
                                      LcEnvelope *envelope,
                                      LcFlow *flow,
                                      const LcPacket *packet,
                                      int64_t now_us);
  /* A packet on its way through a list.  `may_renew`: the list may still be replaced by that of a
   * newer view. */
  LcFlowAction lc_flow_agent__decide (LcFlowAgent *agent,
                                      LcEnvelope *envelope,
                                      const LcPacket *packet,
                                      int64_t now_us,
                                      bool may_renew);
  /* Back to the assigner, with the reason. */
  LcFlowAction
  lc_flow_agent__refuse (LcFlowAgent *agent, LcEnvelope *envelope, LcDropReason reason);

#ifdef __cplusplus
}
#endif

#endif /* LC_FLOW_AGENT_PRIVATE_H */
