/* An agent keeps its owned flows, whichever packet reaches its address.
 *
 *   Guards against a crash in lc_flow_pointers_send_due, where the queue of registrations had a
 *   count and no head.  The agent owned a flow that was still queued.  A second copy of its first
 *   packet, addressed to an earlier process at this address, was not looked up; its walk ended
 *   here, and the owned entry was overwritten with a PENDING one ("packet 1 walk to 11#11 hop 2 of
 *   3" at endpoint 3#12: "owned (flags c) -> pending (flags 0)"), which cleared its flag for the
 *   queue but not its links.  Without the crash, which breaks all flows of the backend server, the
 *   agent loses one flow; if it was itself the walk's assigner, it assigned the flow again. */
#include "core/flow/lc-flow-agent.h"
#include "tests/fakes/lc-fake-run.h"

#include <check.h>
#include <string.h>

enum
{
  SERVICE = 1,
  SELF = 1,
  OTHER = 2,
  INSTANCE = 101, /* of SELF; an earlier process at its address had 100 */
};

typedef struct
{
  LcView view;
  LcFlowAgent agent;
} World;

static const LcCandidate THIS = { SELF, 1, INSTANCE, 7100 };
static const LcCandidate EARLIER = { SELF, 1, INSTANCE - 1, 7100 };
static const LcCandidate ELSEWHERE = { OTHER, 2, 102, 7100 };

static void
put_endpoint (LcView *view, const LcCandidate *who)
{
  LcViewOp op = { .revision = 1, .kind = LC_VIEW_ENDPOINT };

  op.endpoint = (LcEndpoint){ .id = who->id,
                              .service_id = SERVICE,
                              .instance = who->instance,
                              .ipv4 = who->ipv4,
                              .flow_port = who->port,
                              .weight_percent = 100,
                              .state = LC_ENDPOINT_ACTIVE };
  ck_assert_int_eq (lc_view_apply (view, &op, NULL), 0);
}

static void
start (World *w, bool returns_packets)
{
  LcViewOp service = { .revision = 1, .kind = LC_VIEW_SERVICE, .service = { .id = SERVICE } };
  LcFlowAgentDesc desc = { .self = THIS,
                           .service_id = SERVICE,
                           .returns_packets = returns_packets };

  lc_view_init (&w->view);
  ck_assert_int_eq (lc_view_apply (&w->view, &service, NULL), 0);
  put_endpoint (&w->view, &THIS);
  put_endpoint (&w->view, &ELSEWHERE);
  lc_flow_agent_init (&w->agent, &desc, 0);
  lc_flow_agent_set_view (&w->agent, &w->view, 1);
}

static void
stop (World *w)
{
  lc_flow_agent_finish (&w->agent);
  lc_view_finish (&w->view);
}

static LcPacket
packet_of (bool may_open)
{
  return (LcPacket){ .key = { .source_ipv4 = 7,
                              .target_ipv4 = 8,
                              .source_port = 9,
                              .target_port = 443,
                              .protocol = LC_PROTOCOL_TCP },
                     .may_open = may_open,
                     .total_len = 60 };
}

static LcEnvelope
envelope_for (const LcCandidate *to, LcEnvelopeMode mode)
{
  LcEnvelope e = { .mode = (uint8_t)mode,
                   .hops_left = 9,
                   .n = 1,
                   .service_id = SERVICE,
                   .revision = 1,
                   .set_rank = UINT64_MAX,
                   .target_id = to->id,
                   .target_instance = to->instance };

  e.candidates[0] = *to;
  return e;
}

/* Makes the agent own the flow, which stays queued: the other home has not acknowledged it. */
static void
own_flow (World *w)
{
  LcEnvelope e = envelope_for (&THIS, LC_MODE_OPEN);
  LcPacket first = packet_of (true);

  ck_assert_int_eq (lc_flow_agent_handle_packet (&w->agent, &e, &first, 2).kind,
                    LC_FLOW_ACTION_DELIVER);
  ck_assert_uint_eq (w->agent.table.n_owned, 1);
  ck_assert_uint_eq (w->agent.table.n_queued, 1);
}

static const struct
{
  const char *what;
  LcEnvelopeMode mode;
  LcServiceId service;
  uint8_t assigner; /* index; 0: the earlier process; 1: another agent; 2: this one */
  bool may_open;
  LcFlowActionKind expected;
} CASES[] = {
  { "a copy for an earlier process, assigned elsewhere", LC_MODE_WALK, SERVICE, 1, true,
    LC_FLOW_ACTION_DELIVER },
  { "a copy for an earlier process, assigned here", LC_MODE_WALK, SERVICE, 2, true,
    LC_FLOW_ACTION_DELIVER },
  { "a pointer to an earlier process", LC_MODE_OWNER, SERVICE, 1, true, LC_FLOW_ACTION_DELIVER },
  { "given to an earlier process", LC_MODE_OPEN, SERVICE, 1, true, LC_FLOW_ACTION_DROP },
  { "a later packet for an earlier process", LC_MODE_WALK, SERVICE, 1, false, LC_FLOW_ACTION_DROP },
  { "a packet of another service", LC_MODE_WALK, SERVICE + 1, 1, true, LC_FLOW_ACTION_SEND },
};

/* A packet for an earlier process or another service must not change the owned entry. */
START_TEST (test_packets_for_others_keep_owned_flow)
{
  LcEnvelope e = envelope_for (&EARLIER, CASES[_i].mode);
  LcPacket copy = packet_of (CASES[_i].may_open);
  LcFlowAction action;
  World w;

  start (&w, false);
  own_flow (&w);
  e.service_id = CASES[_i].service;
  e.candidates[1] = ELSEWHERE;
  e.candidates[2] = THIS;
  e.n = 3;
  e.hop = 2; /* the walk ends here */
  e.assigner = CASES[_i].assigner;
  action = lc_flow_agent_handle_packet (&w.agent, &e, &copy, 3);
  ck_assert_msg (lc_flow_table_check (&w.agent.table) == NULL, "%s: %s", CASES[_i].what,
                 lc_flow_table_check (&w.agent.table));
  ck_assert_msg (action.kind == CASES[_i].expected, "%s: action %d", CASES[_i].what, action.kind);
  ck_assert_msg (w.agent.table.n_owned == 1 && w.agent.table.n_queued == 1, "%s", CASES[_i].what);
  lc_flow_agent_tick (&w.agent, LC_US_PER_S);
  stop (&w);
}
END_TEST

/* A first packet for an ended flow of a leaving agent goes elsewhere, and its entry is dequeued. */
START_TEST (test_leaving_agent_reassigns_ended_flow)
{
  LcEnvelope e = envelope_for (&THIS, LC_MODE_WALK);
  LcPacket last = packet_of (false);
  LcPacket again = packet_of (true);
  LcFlowAction action;
  World w;

  start (&w, true);
  own_flow (&w);
  last.is_last = true;
  ck_assert_int_eq (lc_flow_agent_handle_packet (&w.agent, &e, &last, 3).kind,
                    LC_FLOW_ACTION_DELIVER);
  lc_flow_agent_leave (&w.agent);
  e = envelope_for (&THIS, LC_MODE_WALK);
  action = lc_flow_agent_handle_packet (&w.agent, &e, &again, 4);
  ck_assert_int_eq (action.kind, LC_FLOW_ACTION_SEND);
  ck_assert_uint_eq (e.target_id, OTHER);
  ck_assert_msg (lc_flow_table_check (&w.agent.table) == NULL, "%s",
                 lc_flow_table_check (&w.agent.table));
  ck_assert_uint_eq (lc_flow_agent_open_flows (&w.agent), 0);
  lc_flow_agent_tick (&w.agent, LC_US_PER_S);
  stop (&w);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("flow-owner");
  TCase *tcase = tcase_create ("owner");

  tcase_add_loop_test (tcase, test_packets_for_others_keep_owned_flow, 0,
                       (int)G_N_ELEMENTS (CASES));
  tcase_add_test (tcase, test_leaving_agent_reassigns_ended_flow);
  suite_add_tcase (suite, tcase);
  return lc_fake_run (suite);
}
