/* lc-agent-flow-private: declarations shared by the sources of lc-agent-flow.
 *
 *   lc-agent-flow.c         packets, messages, timer, lifetime
 *   lc-agent-flow-start.c   start of the state machine, and again for each backend server
 *   lc-agent-flow-report.c  counters, histograms, service-level counts, log lines
 */
#ifndef LC_AGENT_FLOW_PRIVATE_H
#define LC_AGENT_FLOW_PRIVATE_H

#include "lc-agent-flow.h"

#include "io/lc-packet-format.h"

LcPacketFormat lc_agent_flow__format (const LcAgentFlow *plane);
/* Starts the state machine for the endpoint in the view, or updates its instance; after each view
 * change. */
void lc_agent_flow__update_endpoint (LcAgentFlow *plane, int64_t now_us);
void lc_agent_flow__register_metrics (LcAgentFlow *plane);
/* Publishes the totals as metrics and service-level counts; at each tick. */
void lc_agent_flow__publish_totals (LcAgentFlow *plane);
/* Logs where a first packet was sent, and each packet that was dropped, reset or searched for.
 * `n_asked`: endpoints that the search sent it to. */
void lc_agent_flow__log_action (LcAgentFlow *plane,
                                const LcFlowAction *action,
                                const LcEnvelope *envelope,
                                const LcPacket *packet,
                                uint32_t n_asked,
                                int64_t now_us);
void lc_agent_flow__log_returned (LcAgentFlow *plane, const LcPacket *packet, int64_t now_us);
/* Logs that an open flow left the table before it ended, and why. */
void
lc_agent_flow__log_released (LcAgentFlow *plane, const LcFlowReleased *released, int64_t now_us);
/* Logs that a search ended: no backend server holds the flow. */
void lc_agent_flow__log_unowned (LcAgentFlow *plane, const LcPacket *packet, int64_t now_us);
/* Records a response of the backend server in the histograms; logs it if it is late. */
void lc_agent_flow__record_response (LcAgentFlow *plane,
                                     const LcPacket *packet,
                                     const LcFlowResponse *answer,
                                     int64_t now_us);

#endif /* LC_AGENT_FLOW_PRIVATE_H */
