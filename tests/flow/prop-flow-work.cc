/* Property test of an agent's count of requests at work, over every way in which a request or a
 * flow can end: answered, reset by either side, closed, given up, retransmitted, returned, moved to
 * another agent, idle, agent restarted.  The model tracks the flows with an unanswered request:
 * nothing else may count (a leak would block the gate), and each held packet is passed to the
 * backend server or dropped exactly once.
 */
#include "core/flow/lc-flow-return.h"

#include <rapidcheck.h>

#include <map>
#include <set>
#include <vector>

namespace
{

const uint32_t N_FLOWS = 8;
const uint8_t SLOTS = 2;
const uint16_t REQUEST_BYTES = 100;

enum Kind
{
  OPEN,          /* a first packet, accepted by the backend server */
  OPEN_AGAIN,    /* a copy of it */
  ASK,           /* a request */
  ASK_AGAIN,     /* a copy of the newest request */
  ANSWER,        /* the answer begins */
  CALLER_ENDS,   /* FIN or RST */
  BACKEND_ENDS,  /* FIN or RST */
  RETURN,        /* the backend server no longer has the flow */
  TAKEN_BY_PEER, /* another agent registers itself as the owner */
  RESTART,
  PASS_SHORT,
  PASS_LONG,
  N_KINDS
};

struct Step
{
  int kind;
  uint32_t flow;
};

void
showValue (const Step &s, std::ostream &os)
{
  os << "{kind " << s.kind << ", flow " << s.flow << "}";
}

rc::Gen<std::vector<Step> >
steps ()
{
  return rc::gen::container<std::vector<Step> > (
      rc::gen::build<Step> (rc::gen::set (&Step::kind, rc::gen::inRange<int> (0, N_KINDS)),
                            rc::gen::set (&Step::flow, rc::gen::inRange<uint32_t> (0, N_FLOWS))));
}

struct World
{
  LcView view;
  LcFlowAgent agent;
  int64_t now_us = 1000 * LC_US_PER_S;
  uint32_t sent[N_FLOWS] = {};      /* bytes of requests */
  uint32_t answered[N_FLOWS] = {};  /* of these, answered */
  std::map<uint32_t, int64_t> open; /* flows with an unanswered request -> when it was sent */
  std::set<uint32_t> held;          /* table entries with held packets */

  World ()
  {
    LcViewOp service = {};
    LcViewOp endpoint = {};

    lc_view_init (&view);
    service.kind = LC_VIEW_SERVICE;
    service.revision = 1;
    service.service.id = 1;
    g_assert (lc_view_apply (&view, &service, nullptr) == 0);
    for (uint32_t i = 1; i <= 2; i++)
      {
        endpoint.kind = LC_VIEW_ENDPOINT;
        endpoint.revision = 1 + i;
        endpoint.endpoint.id = i;
        endpoint.endpoint.service_id = 1;
        endpoint.endpoint.instance = 100 + i;
        endpoint.endpoint.state = LC_ENDPOINT_ACTIVE;
        endpoint.endpoint.slots = SLOTS;
        endpoint.endpoint.weight_percent = 100;
        endpoint.endpoint.ipv4 = i;
        endpoint.endpoint.flow_port = 7100;
        g_snprintf (endpoint.endpoint.name, sizeof endpoint.endpoint.name, "e%u", i);
        g_assert (lc_view_apply (&view, &endpoint, nullptr) == 0);
      }
    start ();
  }

  ~World ()
  {
    lc_flow_agent_finish (&agent);
    lc_view_finish (&view);
  }

  void
  start ()
  {
    LcFlowAgentDesc desc = {};

    desc.self = { 1, 1, 101, 7100 };
    desc.service_id = 1;
    desc.returns_packets = true;
    desc.has_gate = true;
    desc.tcp_idle_us = 20 * LC_US_PER_S;
    lc_flow_agent_init (&agent, &desc, now_us);
    lc_flow_agent_set_view (&agent, &view, now_us);
  }
};

LcPacket
packet_of (uint32_t flow, bool may_open)
{
  LcPacket p = {};

  p.key.source_ipv4 = 0x64400000 + flow;
  p.key.source_port = (uint16_t)(1000 + flow);
  p.key.target_ipv4 = 0xc6120001;
  p.key.target_port = 443;
  p.key.protocol = LC_PROTOCOL_TCP;
  p.may_open = may_open;
  p.total_len = p.payload_start = 34;
  return p;
}

LcPacket
answer_of (uint32_t flow)
{
  LcPacket p = packet_of (flow, false);

  p.key = lc_flow_return_caller_key (&p);
  return p;
}

void
drain (World &w)
{
  LcFlowHeld held;

  while (lc_flow_return_next_held (&w.agent, &held, w.now_us))
    RC_ASSERT (w.held.erase (held.flow) == 1U);
}

LcFlowAction
arrive (World &w, const LcPacket &p)
{
  LcEnvelope e = {};
  LcFlowAction action;

  e.service_id = 1;
  e.mode = LC_MODE_OWNER;
  e.hops_left = 20;
  e.n = 1;
  e.candidates[0] = w.agent.desc.self;
  action = lc_flow_agent_handle_packet (&w.agent, &e, &p, w.now_us);
  if (action.kind == LC_FLOW_ACTION_HOLD)
    w.held.insert (action.hold.flow);
  return action;
}

bool
is_owned (const World &w, uint32_t flow)
{
  LcPacket p = packet_of (flow, false);
  const LcFlow *f = lc_flow_table_find (&w.agent.table, &p.key, lc_flow_key_hash (&p.key));

  return f != nullptr && f->kind == LC_FLOW_OWNED;
}

void
ask (World &w, uint32_t flow, bool is_copy)
{
  LcPacket p = packet_of (flow, false);

  if (!is_copy)
    w.sent[flow] += REQUEST_BYTES;
  p.sequence = 1 + w.sent[flow] - REQUEST_BYTES;
  p.total_len = 34 + REQUEST_BYTES;
  if (w.sent[flow] == 0)
    return;
  (void)arrive (w, p);
  if (w.sent[flow] > w.answered[flow] && is_owned (w, flow))
    w.open.emplace (flow, w.now_us);
}

void
open_flow (World &w, uint32_t flow, uint32_t n_copies)
{
  LcPacket p = packet_of (flow, true);
  LcPacket accept = answer_of (flow);
  LcFlowAction action;

  p.n_copies = n_copies;
  action = arrive (w, p);
  if (action.kind != LC_FLOW_ACTION_DELIVER)
    return;
  if (action.deliver.is_new)
    {
      w.sent[flow] = 0;
      w.answered[flow] = 0;
      w.open.erase (flow);
    }
  accept.is_accept = true;
  accept.acknowledged = 1;
  (void)lc_flow_return_handle_response (&w.agent, &accept, w.now_us);
}

void
answer (World &w, uint32_t flow, bool is_end)
{
  LcPacket p = answer_of (flow);

  p.acknowledged = 1 + w.sent[flow];
  p.is_last = is_end;
  p.is_reset = is_end && w.sent[flow] % 2 == 0;
  if (!is_end)
    p.total_len = 34 + 1000;
  (void)lc_flow_return_handle_response (&w.agent, &p, w.now_us);
  w.answered[flow] = w.sent[flow];
  w.open.erase (flow);
}

void
carry_out (World &w, const Step &s)
{
  LcPacket p = packet_of (s.flow, false);
  LcEnvelope e = {};
  LcFlowMessage m = {};

  switch (s.kind)
    {
    case OPEN:
      open_flow (w, s.flow, 0);
      break;
    case OPEN_AGAIN:
      open_flow (w, s.flow, 1);
      break;
    case ASK:
      ask (w, s.flow, false);
      break;
    case ASK_AGAIN:
      ask (w, s.flow, true);
      break;
    case ANSWER:
    case BACKEND_ENDS:
      answer (w, s.flow, s.kind == BACKEND_ENDS);
      break;
    case CALLER_ENDS:
      p.is_last = true;
      (void)arrive (w, p);
      w.open.erase (s.flow);
      break;
    case RETURN:
      p.is_returned = true;
      (void)lc_flow_return_handle_returned (&w.agent, &e, &p, w.now_us);
      break;
    case TAKEN_BY_PEER:
      m.kind = LC_FLOW_POINTERS;
      m.service_id = 1;
      m.to = w.agent.desc.self;
      m.load.agent = { 2, 2, 102, 7100 };
      m.n = 1;
      m.entries[0].key = p.key;
      m.entries[0].epoch = 9;
      lc_flow_agent_handle_message (&w.agent, &m, w.now_us);
      break;
    case RESTART:
      lc_flow_agent_finish (&w.agent);
      w.start ();
      w.open.clear ();
      w.held.clear ();
      break;
    default:
      w.now_us += s.kind == PASS_SHORT ? 30 * LC_US_PER_MS : 25 * LC_US_PER_S;
      lc_flow_agent_tick (&w.agent, w.now_us);
      break;
    }
  drain (w);
  for (auto i = w.open.begin (); i != w.open.end ();)
    i = is_owned (w, i->first) ? std::next (i) : w.open.erase (i);
}

} // namespace

int
main ()
{
  bool ok = true;

  ok &= rc::check ("only unanswered requests count, and nothing stays held", [] {
    const auto order = *steps ();
    World w;

    for (const Step &s : order)
      {
        carry_out (w, s);
        RC_ASSERT (lc_flow_agent_unanswered_requests (&w.agent) <= w.open.size ());
        RC_ASSERT (lc_flow_gate_n_waiting (&w.agent.gate) == w.held.size ());
      }
    /* Unanswered requests stop counting; waiting ones pass or are dropped. */
    for (int i = 0; i < 100; i++)
      {
        w.now_us += 50 * LC_US_PER_MS;
        lc_flow_agent_tick (&w.agent, w.now_us);
        drain (w);
      }
    RC_ASSERT (w.held.empty ());
    RC_ASSERT (lc_flow_agent_unanswered_requests (&w.agent) == 0U);
  });
  return ok ? 0 : 1;
}
