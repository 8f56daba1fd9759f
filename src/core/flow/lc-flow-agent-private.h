/* lc-flow-agent-private: functions shared by the two steering rules of lc-flow-agent.
 *
 * lc-flow-agent.c has the lifecycle, messages and timers; lc-flow-agent-packet.c steers by
 * candidate lists and PENDING entries; lc-flow-return.c steers services whose backend servers
 * return packets.
 */
#ifndef LC_FLOW_AGENT_PRIVATE_H
#define LC_FLOW_AGENT_PRIVATE_H

#include "lc-flow-agent.h"

#ifdef __cplusplus
extern "C"
{
#endif

  /* How long an idle TCP flow is kept. */
  static inline int64_t
  lc_flow_agent__tcp_idle_us (const LcFlowAgent *agent)
  {
    return MAX (agent->desc.tcp_idle_us, agent->service_idle_us);
  }

  /* Removes the flow's request from the gate (answered, abandoned or moved); packets held for it
   * are dropped. */
  void lc_flow_agent__end_request (LcFlowAgent *agent, LcFlow *flow);
  /* A request failed (reset or left without a response), or succeeded. */
  void lc_flow_agent__record_failure (LcFlowAgent *agent, int64_t now_us);
  void lc_flow_agent__record_success (LcFlowAgent *agent);
  bool lc_flow_agent__looks_bad (const LcFlowAgent *agent, int64_t now_us);
  LcSteerEntry lc_flow_agent__describe_entry (const LcFlowAgent *agent, const LcFlow *flow);
  bool lc_flow_agent__is_evacuated (const LcFlowAgent *agent);
  /* Home regions of the key's target address in the newest view here. */
  LcRegionMask lc_flow_agent__home_regions (const LcFlowAgent *agent, const LcFlowKey *key);
  /* Whether this agent is in a home region of the key's target address. */
  bool lc_flow_agent__is_in_home_region (const LcFlowAgent *agent, const LcFlowKey *key);
  bool lc_flow_agent__is_accepting (const LcFlowAgent *agent);
  /* Whether the backend server may get one more flow now: it accepts flows and, if cold, its rate
   * is not used up. */
  bool lc_flow_agent__may_accept (const LcFlowAgent *agent, int64_t now_us);
  LcFlowAction lc_flow_agent__drop (LcFlowAgent *agent, LcDropReason reason);
  LcFlowAction lc_flow_agent__send (LcFlowAgent *agent,
                                    LcEnvelope *envelope,
                                    LcEnvelopeMode mode,
                                    const LcCandidate *to);
  LcFlowAction lc_flow_agent__deliver (
      LcFlowAgent *agent, LcFlow *flow, const LcPacket *packet, bool is_new, int64_t now_us);
  /* Makes the flow owned here and delivers its packet; `flow` NULL: adds an entry. */
  LcFlowAction
  lc_flow_agent__accept (LcFlowAgent *agent, LcFlow *flow, const LcPacket *packet, int64_t now_us);
  /* Chooses an endpoint for a new flow; owns the flow here or forwards the packet there. */
  LcFlowAction lc_flow_agent__assign (LcFlowAgent *agent,
                                      LcEnvelope *envelope,
                                      LcFlow *flow,
                                      const LcPacket *packet,
                                      int64_t now_us);
  /* Steers a packet that walks a candidate list.  `may_renew`: the list may still be replaced by
   * that of a newer view. */
  LcFlowAction lc_flow_agent__steer (LcFlowAgent *agent,
                                     LcEnvelope *envelope,
                                     const LcPacket *packet,
                                     int64_t now_us,
                                     bool may_renew);
  /* Sends the packet back to the assigner with the reason. */
  LcFlowAction
  lc_flow_agent__refuse (LcFlowAgent *agent, LcEnvelope *envelope, LcDropReason reason);

#ifdef __cplusplus
}
#endif

#endif /* LC_FLOW_AGENT_PRIVATE_H */
