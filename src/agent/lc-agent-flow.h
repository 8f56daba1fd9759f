/* lc-agent-flow: flow plane of an agent: owns flows and delivers their packets.
 *
 * WHAT IT IS
 *   The I/O around the state machine lc-flow-agent: a UDP port for envelopes and messages, a timer,
 *   and the delivery to the backend server (LcAgentDelivery).
 *
 * PLANNED STOP
 *   First packets are refused at once.  Owned flows continue until they end; those left after half
 *   of the drain limit are handed over to agents that go on delivering to this agent's backend
 *   server.  If the service has no other endpoint, they are cut with a warning.
 *
 * THREADS
 *   Call it on app->loop's thread only.
 */
#ifndef LC_AGENT_FLOW_H
#define LC_AGENT_FLOW_H

#include "lc-flow-packets.h"
#include "lc-agent-inject.h"
#include "lc-agent-relay.h"
#include "lc-agent-settings.h"

#include "controller/lc-member.h"
#include "core/flow/lc-flow-agent.h"
#include "io/lc-datagram.h"
#include "io/lc-flow-log.h"
#include "io/lc-flow-meter.h"

typedef struct
{
  LcApp *app;
  const LcAgentSettings *settings;
  LcMember *member;
} LcAgentFlowDesc;

typedef struct
{
  LcAgentFlowDesc desc;
  LcFlowAgent agent;
  bool has_agent; /* the endpoint is committed: id and service are known */
  LcDatagram port;
  LcDatagram outbound; /* packets from the backend server: answers and returned ones */
  bool has_outbound;
  LcAgentRelay relay;
  LcAgentInject inject;
  LcFlowPackets held;      /* packets that wait for a free slot, by flow */
  LcFlowPackets searching; /* packets whose owner is searched for, by search slot */
  LcTimer timer;
  LcFlowMeter meter;
  uint64_t burn_added[LC_N_BURN_COUNTERS]; /* totals already added to app->burn */
  LcMetric *open_flows;
  LcMetric *in_flight;
  LcMetric *open_us;
  LcMetric *answer_us;
  LcMetric *late_total;
  LcFlowLog log;
  bool is_draining;
  LcFlowBackendState backend_state;
  bool is_backend_leaving;     /* the backend server accepts no new flows */
  bool is_backend_fresh;       /* it started after this process, which has all its flows */
  bool is_cold;                /* the service's rate limit for cold servers applies */
  bool is_evacuated;           /* its data centre is, in the newest view */
  LcInstance backend_instance; /* the start that it reported */
  bool has_given_up;           /* no successor: waiting longer would save no flow */
  int64_t hand_over_at_us;
  uint64_t malformed_total;
  uint64_t message_bytes_total;
  LcLogLimit malformed_limit;
  LcLogLimit expired_limit;
  uint64_t logged_expired_total; /* searches without a result that were logged */
} LcAgentFlow;

int lc_agent_flow_init (LcAgentFlow *plane, const LcAgentFlowDesc *desc, LcError *error);
void lc_agent_flow_finish (LcAgentFlow *plane);
/* Call it after each batch of view operations. */
void lc_agent_flow_set_view (
    LcAgentFlow *plane, const LcView *view, const LcViewOp *ops, size_t n_ops, bool is_reset);
/* Closes the link: this plane accepts UDP only. */
void lc_agent_flow_handle_frame (LcAgentFlow *plane, LcLink *link, const LcFrame *frame);
void lc_agent_flow_handle_link_down (LcAgentFlow *plane, LcLink *link);
/* Begins a planned stop: refuses new flows, lets open ones end. */
void lc_agent_flow_drain (LcAgentFlow *plane);
bool lc_agent_flow_is_idle (const LcAgentFlow *plane);
/* The backend server is leaving: refuses new flows; it keeps the ones that it has. */
void lc_agent_flow_backend_leaving (LcAgentFlow *plane);
/* The backend server has started as this instance: it is not leaving, and unless this is the
 * present instance, flows, requests and failures of the earlier start are dropped.  `is_new`: only
 * this process can have given it flows (lc_backend_report_is_new_start). */
void lc_agent_flow_backend_started (LcAgentFlow *plane, LcInstance instance, bool is_new);
/* Sets whether it is, or may be, in its slow start. */
void lc_agent_flow_set_cold (LcAgentFlow *plane, bool is_cold);
/* Sets the state that follows from its reports. */
void lc_agent_flow_set_backend_state (LcAgentFlow *plane, LcFlowBackendState backend);
/* The newest view revision whose homes have every owned flow registered; 0: none yet. */
LcRevision lc_agent_flow_registered_revision (const LcAgentFlow *plane);

#endif
