/* lc-agent-flow-private: what the parts of lc-agent-flow share.
 *
 *   lc-agent-flow.c         packets, messages, time, lifetime
 *   lc-agent-flow-start.c   when its decisions begin, and with which backend server
 *   lc-agent-flow-report.c  what others learn of it: counters, histograms, burn, log lines
 */
#ifndef LC_AGENT_FLOW_PRIVATE_H
#define LC_AGENT_FLOW_PRIVATE_H

#include "lc-agent-flow.h"

#include "io/lc-packet-format.h"

LcPacketFormat lc_agent_flow__format (const LcAgentFlow *plane);
/* Begins with the endpoint that the view names, or takes its new name; after each change of it. */
void lc_agent_flow__start_agent (LcAgentFlow *plane, int64_t now_us);
void lc_agent_flow__add_meters (LcAgentFlow *plane);
/* Brings the totals to the registry and to the service-level counts; at each tick. */
void lc_agent_flow__bring_totals (LcAgentFlow *plane);
/* One line for a decision about a packet that an operator may ask about later: where a first packet
 * went, and whatever ended badly.  `n_asked`: by a search. */
void lc_agent_flow__log_action (LcAgentFlow *plane,
                                const LcFlowAction *action,
                                const LcEnvelope *envelope,
                                const LcPacket *packet,
                                uint32_t n_asked,
                                int64_t now_us);
void lc_agent_flow__log_returned (LcAgentFlow *plane, const LcPacket *packet, int64_t now_us);
/* A search ended with nobody holding the flow. */
void lc_agent_flow__log_denied (LcAgentFlow *plane, const LcPacket *packet, int64_t now_us);
/* The backend server's answer: into the histograms, and a line when it is late. */
void lc_agent_flow__note_answer (LcAgentFlow *plane,
                                 const LcPacket *packet,
                                 const LcFlowResponse *answer,
                                 int64_t now_us);

#endif /* LC_AGENT_FLOW_PRIVATE_H */
