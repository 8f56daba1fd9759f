/* lc-agent-flow: the flow plane of an agent: owns flows and delivers packets.
 *
 * WHAT IT IS
 *   The thin task around lc-flow-agent: one UDP port for envelopes and messages, a timer, and the
 *   delivery to the backend server (relay or injection, by the settings).
 *
 * PLANNED STOP
 *   First packets are refused at once.  Owned flows go on until they end; those left when half of
 *   the drain limit has passed are handed over to agents that go on delivering to this agent's
 *   backend server.  When no other endpoint is left, they are cut with a warning.
 *
 * THREADS
 *   Called on app->loop's thread.
 */
#ifndef LC_AGENT_FLOW_H
#define LC_AGENT_FLOW_H

#include "lc-agent-held.h"
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
  bool has_agent; /* the endpoint is committed: its id and service are known */
  LcDatagram port;
  LcDatagram outbound; /* from the backend server: its answers, and what it returns */
  bool has_outbound;
  LcAgentRelay relay;
  LcAgentInject inject;
  LcAgentHeld held;     /* packets that wait for a free slot of the backend server */
  LcAgentHeld searched; /* packets whose owners are searched for, by place */
  LcTimer timer;
  LcFlowMeter meter;
  uint64_t burned[LC_N_BURN_COUNTERS]; /* totals already brought to app->burn */
  LcMetric *open_flows;
  LcMetric *at_work;
  LcMetric *open_us;
  LcMetric *answer_us;
  LcMetric *late_total;
  LcFlowLog log;
  bool is_draining;
  LcFlowBackendState backend;
  bool is_leaving;    /* the backend server takes nothing new */
  bool is_fresh;      /* it began under this process, which knows all its flows */
  bool is_cold;       /* its service's rate for cold ones holds */
  bool is_evacuated;  /* as the view last said of its data centre */
  LcInstance started; /* the start that it reported */
  bool has_given_up;  /* nobody is left to take over: waiting longer would save nothing */
  int64_t hand_over_us;
  uint64_t malformed_total;
  uint64_t message_bytes_total;
  LcLogLimit malformed_limit;
  LcLogLimit expired_limit;
  uint64_t expired_logged; /* searches that ended without a result, and were logged */
} LcAgentFlow;

int lc_agent_flow_init (LcAgentFlow *plane, const LcAgentFlowDesc *desc, LcError *error);
void lc_agent_flow_finish (LcAgentFlow *plane);
/* After each batch of operations; `is_reset` says that the whole view was replaced. */
void lc_agent_flow_view (
    LcAgentFlow *plane, const LcView *view, const LcViewOp *ops, size_t n_ops, bool is_reset);
/* A frame of this plane's range that the peer server received. */
void lc_agent_flow_frame (LcAgentFlow *plane, LcLink *link, const LcFrame *frame);
void lc_agent_flow_link_down (LcAgentFlow *plane, LcLink *link);
/* A planned stop begins: take nothing new, let what runs end. */
void lc_agent_flow_drain (LcAgentFlow *plane);
bool lc_agent_flow_is_idle (const LcAgentFlow *plane);
/* The backend server leaves: no new flow from now on, what it has stays with it. */
void lc_agent_flow_leave (LcAgentFlow *plane);
/* The backend server has started as this instance: unless that is the one known, nothing is left of
 * the flows and requests before it, of its failures, or of its leaving.  `is_new`: nothing but this
 * process can have given it flows (lc_backend_report_is_new_start). */
void lc_agent_flow_backend_started (LcAgentFlow *plane, LcInstance instance, bool is_new);
/* Whether the backend server is cold still, or may be. */
void lc_agent_flow_set_cold (LcAgentFlow *plane, bool is_cold);
/* What the backend server has reported of itself. */
void lc_agent_flow_set_backend (LcAgentFlow *plane, LcFlowBackendState backend);
/* The newest view revision with whose homes every owned flow is registered; 0: none yet. */
LcRevision lc_agent_flow_registered (const LcAgentFlow *plane);

#endif
