#include "lc-agent-flow-private.h"

#include "io/lc-clock.h"

enum
{
  /* For packet formats that show where requests begin and end: */
  LC_AGENT_FLOW_LOAD_MAX_MS = 200,   /* longest interval of load reports */
  LC_AGENT_FLOW_LOAD_MIN_MS = 100,   /* shortest one: two rounds of a short request */
  LC_AGENT_FLOW_STALE_MS = 700,      /* three load reports missed */
  LC_AGENT_FLOW_WORK_WEIGHT = 30,    /* an open flow has a request for about 1/30 of its time */
  LC_AGENT_FLOW_RAMP_PERMILLE = 600, /* a cold backend server takes about 1.6 times as long */
  LC_AGENT_FLOW_NEAR_PERMILLE = 500, /* half of the slots: the next request finds a free one */
};

/* === private: configuration ================================================================= */

/* Packets show when a request and its answer begin, so endpoints are compared by requests in
 * flight, and the data centre is left only when none of its endpoints has a free slot. */
static void
lc_agent_flow__configure_request_load (LcFlowAgentDesc *desc)
{
  desc->load_interval_us = LC_AGENT_FLOW_LOAD_MAX_MS * LC_US_PER_MS;
  desc->load_min_interval_us = LC_AGENT_FLOW_LOAD_MIN_MS * LC_US_PER_MS;
  desc->assign.work_weight = LC_AGENT_FLOW_WORK_WEIGHT;
  desc->assign.ramp_first_permille = LC_AGENT_FLOW_RAMP_PERMILLE;
  desc->assign.near_permille = LC_AGENT_FLOW_NEAR_PERMILLE;
  desc->has_gate = true;
  desc->assign.stale_us = LC_AGENT_FLOW_STALE_MS * LC_US_PER_MS;
}

static LcFlowAgentDesc
lc_agent_flow__agent_desc (const LcAgentFlow *plane)
{
  const LcAgentSettings *settings = plane->desc.settings;
  LcFlowAgentDesc desc = { 0 };

  desc.connection_limit = settings->connection_limit;
  desc.udp_idle_us = (int64_t)settings->udp_idle_ms * LC_US_PER_MS;
  desc.tcp_idle_us = (int64_t)settings->tcp_idle_ms * LC_US_PER_MS;
  desc.returns_packets = lc_packet_format_is_returning (lc_agent_flow__format (plane));
  desc.backend_ipv4 = settings->backend_feed.ipv4;
  desc.backend_port = settings->backend_feed.port;
  desc.cold = (LcWarmupLimitDesc){ settings->cold_overshoot_permille, settings->cold_slack };
  desc.assign.ramp_us = (int64_t)settings->ramp_ms * LC_US_PER_MS;
  if (desc.returns_packets)
    lc_agent_flow__configure_request_load (&desc);
  return desc;
}

/* === private: start ========================================================================= */

/* Starts an empty state machine for the present start of the backend server. */
static void
lc_agent_flow__restart_agent (
    LcAgentFlow *plane, const LcCandidate *self, LcServiceId service_id, LcDcId dc, int64_t now_us)
{
  LcFlowAgentDesc desc = lc_agent_flow__agent_desc (plane);
  LcWarmupLimit firsts = plane->agent.first_packets;
  LcWarmupLimit requests = plane->agent.gate.cold;
  bool is_restart = plane->has_agent;

  if (plane->has_agent)
    lc_flow_agent_finish (&plane->agent); /* its flows ended with the earlier backend server */
  lc_flow_packets_finish (&plane->held);
  lc_flow_packets_finish (&plane->searching);
  desc.self = *self;
  desc.service_id = service_id;
  desc.is_backend_fresh = plane->is_backend_fresh;
  lc_flow_agent_init (&plane->agent, &desc, now_us);
  if (is_restart)
    {
      /* What was sent in the last second may have reached the present start already. */
      plane->agent.first_packets = firsts;
      plane->agent.gate.cold = requests;
    }
  lc_flow_agent_set_cold (&plane->agent, plane->is_cold);
  plane->logged_expired_total = 0;
  plane->has_agent = true;
  lc_flow_agent_set_dc (&plane->agent, dc);
  lc_flow_agent_set_backend (&plane->agent, plane->backend_state);
  if (plane->is_draining || plane->is_backend_leaving)
    lc_flow_agent_leave (&plane->agent);
  LC_INFO ("flow.started", "endpoint", LC_U64 (self->id), "service", LC_U64 (service_id));
}

/* The endpoint's id and service are known once control has committed its announcement.  Until then,
 * a restarted backend server at an endpoint of the view uses the instance of its earlier start:
 * after a loss of all power its first flows need not wait until 200 announcements are committed,
 * and a search gets its answer at once that it holds no flow. */
void
lc_agent_flow__update_endpoint (LcAgentFlow *plane, int64_t now_us)
{
  const LcEndpoint *e = lc_member_own_endpoint (plane->desc.member);
  LcCandidate self;

  if (e == NULL || (plane->has_agent && e->instance == plane->agent.desc.self.instance))
    return;
  self = (LcCandidate){ e->id, e->ipv4, e->instance, e->flow_port };
  if (plane->has_agent && plane->agent.desc.service_id == e->service_id &&
      plane->agent.desc.self.id == e->id && e->instance == plane->backend_instance)
    lc_flow_agent_set_identity (&plane->agent, &self); /* started by its report */
  else if (e->instance == lc_member_instance (plane->desc.member) ||
           (!plane->has_agent && plane->backend_instance != 0))
    lc_agent_flow__restart_agent (plane, &self, e->service_id, e->dc, now_us);
}

/* === public: state of the backend server ==================================================== */

void
lc_agent_flow_backend_leaving (LcAgentFlow *plane)
{
  plane->is_backend_leaving = true;
  if (plane->has_agent)
    lc_flow_agent_leave (&plane->agent);
}

void
lc_agent_flow_backend_started (LcAgentFlow *plane, LcInstance instance, bool is_new)
{
  const LcEndpoint *known = lc_member_endpoint (plane->desc.member);
  int64_t now_us = lc_clock_now_us ();
  LcCandidate self;

  plane->is_backend_leaving = false;
  plane->backend_instance = instance;
  plane->is_backend_fresh = is_new && (known == NULL || known->instance != instance) &&
                            (!plane->has_agent || plane->agent.table.n_owned == 0);
  if (!plane->has_agent)
    return;
  if (plane->agent.desc.self.instance == instance)
    {
      lc_flow_agent_cancel_leave (&plane->agent);
      return;
    }
  self = plane->agent.desc.self;
  lc_agent_flow__restart_agent (plane, &self, plane->agent.desc.service_id, plane->agent.dc,
                                now_us);
  lc_flow_agent_set_view (&plane->agent, lc_member_view (plane->desc.member), now_us);
}

void
lc_agent_flow_set_cold (LcAgentFlow *plane, bool is_cold)
{
  if (plane->is_cold == is_cold)
    return;
  plane->is_cold = is_cold;
  LC_INFO ("flow.cold", "is_cold", LC_U64 (is_cold));
  if (plane->has_agent)
    lc_flow_agent_set_cold (&plane->agent, is_cold);
}

void
lc_agent_flow_set_backend_state (LcAgentFlow *plane, LcFlowBackendState backend)
{
  static const char *const NAMES[] = { "open", "asked", "none" };

  if (plane->backend_state == backend)
    return;
  plane->backend_state = backend;
  LC_INFO ("flow.backend", "state", LC_STR (NAMES[backend]));
  if (plane->has_agent)
    lc_flow_agent_set_backend (&plane->agent, backend);
}
