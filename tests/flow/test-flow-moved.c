/* Addresses that are moved to another service: open flows stay at the backend servers that hold
 * them, and new flows go to the new service alone. */
#include "return-world.h"
#include "tests/fakes/lc-fake-run.h"

#include <check.h>

enum
{
  DIRECT = 6,  /* agents of two services of 3, in which packets are sent to all */
  ROUNDS = 44, /* of two services of 22, in which agents are queried in rounds */
  MIXED = 40,  /* of a service of 14 and two of 13 */
  MOVES_MAX = 4,
};

static uint32_t
count_firsts (const RwWorld *w, LcServiceId service_id)
{
  uint32_t n = 0;

  for (int i = 0; i < w->n_agents; i++)
    n += w->nodes[i].service_id == service_id ? w->nodes[i].n_firsts : 0;
  return n;
}

/* A restart of the agents of each service in the bit set. */
static void
restart_agents (RwWorld *w, uint32_t services)
{
  for (int i = 0; i < w->n_agents; i++)
    if ((services >> w->nodes[i].service_id & 1U) != 0)
      rw_restart_agent (w, i);
}

static const struct
{
  const char *what;
  int n_agents;
  int n_services;
  LcServiceId moves[MOVES_MAX]; /* 0: end */
  uint32_t restarted;           /* services whose agents restart after the moves: 1 << id */
  bool is_idle;                 /* nothing is sent between the moves */
} MOVES[] = {
  { "one move", DIRECT, 2, { 2 }, 0, false },
  { "one move, large services", ROUNDS, 2, { 2 }, 0, false },
  { "there and back", DIRECT, 2, { 2, 1 }, 0, false },
  { "there and back, large services", ROUNDS, 2, { 2, 1 }, 0, false },
  { "moved three times", DIRECT, 2, { 2, 1, 2 }, 0, false },
  { "through three services", MIXED, 3, { 2, 3 }, 0, false },
  { "through three services and back, idle", MIXED, 3, { 2, 3, 1, 2 }, 0, true },
  { "the former agents restart", DIRECT, 2, { 2 }, 1 << 1, false },
  { "the former agents restart, large services", ROUNDS, 2, { 2 }, 1 << 1, false },
  { "the new agents restart", DIRECT, 2, { 2 }, 1 << 2, false },
  { "the new agents restart, large services", ROUNDS, 2, { 2 }, 1 << 2, false },
  { "all agents restart", DIRECT, 2, { 2, 1, 2 }, 3 << 1, true },
  { "all agents restart, large services", ROUNDS, 2, { 2 }, 3 << 1, true },
  { "all agents of three services restart", MIXED, 3, { 2, 3 }, 7 << 1, true },
};

/* A move of an address reset its open flows: agents of the new service, which hold none of them,
 * reported them as unowned.  Flows that were opened before, between and after the moves reach their
 * owners, and none is reset. */
START_TEST (test_open_flows_survive_moves)
{
  RwWorld w;

  rw_start_services (&w, MOVES[_i].n_agents, MOVES[_i].n_services, true);
  rw_open_flows (&w);
  for (int k = 0; k < MOVES_MAX && MOVES[_i].moves[k] != 0; k++)
    {
      rw_move_address (&w, MOVES[_i].moves[k]);
      rw_show_view (&w);
      for (uint32_t f = 0; f < RW_N_FLOWS && !MOVES[_i].is_idle; f++)
        ck_assert_msg (rw_reaches_owner (&w, f), "%s: flow %u, move %d", MOVES[_i].what, f, k);
    }
  restart_agents (&w, MOVES[_i].restarted);
  rw_settle (&w);
  for (int turn = 0; turn < 2; turn++)
    for (uint32_t f = 0; f < RW_N_FLOWS; f++)
      ck_assert_msg (rw_reaches_owner (&w, f), "%s: flow %u, turn %d", MOVES[_i].what, f, turn);
  ck_assert_uint_eq (w.n_resets + rw_take_resets (&w), 0);
  rw_stop (&w);
}
END_TEST

/* New flows go to the service of the address alone, also copies of their first packets. */
START_TEST (test_new_flows_go_to_new_service)
{
  RwWorld w;

  rw_start_services (&w, DIRECT, 2, true);
  rw_move_address (&w, 2);
  rw_show_view (&w);
  rw_open_flows (&w);
  ck_assert_uint_eq (count_firsts (&w, 1), 0);
  ck_assert_uint_eq (count_firsts (&w, 2), RW_N_FLOWS);
  rw_check_all_reach (&w, "opened after the move");
  ck_assert_uint_eq (w.n_resets + rw_take_resets (&w), 0);
  rw_stop (&w);
}
END_TEST

/* A balancer that starts after the move steers by its snapshot. */
START_TEST (test_late_balancer_reaches_former_service)
{
  RwWorld w;

  rw_start_services (&w, DIRECT, 2, true);
  rw_open_flows (&w);
  rw_move_address (&w, 2);
  for (int i = 0; i < w.n_agents; i++)
    rw_show_agent (&w, i);
  rw_check_all_reach (&w, "the balancer has an old view");
  lc_flow_balancer_finish (&w.entries[0].balancer);
  lc_flow_balancer_init (&w.entries[0].balancer, 0);
  lc_flow_balancer_set_returning (&w.entries[0].balancer, true);
  rw_show_balancer (&w);
  rw_check_all_reach (&w, "the balancer is new");
  rw_stop (&w);
}
END_TEST

/* The owner of each flow is found at a former home: nothing is searched, so that no packet reaches
 * another backend server. */
START_TEST (test_moved_flows_need_no_search)
{
  RwWorld w;

  rw_start_services (&w, DIRECT, 2, true);
  rw_open_flows (&w);
  rw_move_address (&w, 2);
  rw_show_view (&w);
  rw_check_all_reach (&w, "after the move");
  ck_assert_uint_eq (w.n_searches, 0);
  rw_stop (&w);
}
END_TEST

/* A flow that no backend server of any of the services holds is reset, once. */
START_TEST (test_unowned_flow_is_reset_after_all_services)
{
  static const int SIZES[] = { DIRECT, ROUNDS };

  for (size_t i = 0; i < G_N_ELEMENTS (SIZES); i++)
    {
      LcPacket p = rw_packet_of (7, false);
      uint32_t n_resets = 0;
      RwWorld w;

      rw_start_services (&w, SIZES[i], 2, true);
      rw_move_address (&w, 2);
      rw_show_view (&w);
      (void)rw_send (&w, &p);
      for (int tick = 0; tick < 40; tick++)
        {
          rw_pass (&w, LC_FLOW_AGENT_TICK_US);
          n_resets += rw_take_resets (&w);
        }
      ck_assert_uint_eq (n_resets, 1);
      rw_stop (&w);
    }
}
END_TEST

/* Copies of a first packet are accepted by both services, and the caller goes on with the former
 * one: the packet that the new one returns is not a reason for a reset. */
START_TEST (test_first_packet_copies_around_move)
{
  RwWorld w;
  LcPacket copy = rw_packet_of (0, true);

  rw_start_services (&w, DIRECT, 2, true);
  rw_open_flows (&w);
  rw_move_address (&w, 2);
  rw_show_view (&w);
  copy.n_copies = 1;
  (void)rw_send (&w, &copy);
  ck_assert_uint_eq (count_firsts (&w, 2), 1);
  for (int i = 0; i < w.n_agents; i++)
    if (w.nodes[i].service_id == 2)
      w.nodes[i].holds[0] = false;
  rw_settle (&w);
  ck_assert (rw_reaches_owner (&w, 0));
  ck_assert_uint_eq (w.n_resets + rw_take_resets (&w), 0);
  rw_stop (&w);
}
END_TEST

/* A search that has to go on in another service does so although a packet without the list of
 * services joins it. */
START_TEST (test_joined_search_goes_on)
{
  LcPacket p = rw_packet_of (3, false);
  int n_joined = 0;
  RwWorld w;

  rw_start_services (&w, ROUNDS, 2, true);
  rw_open_flows (&w);
  rw_move_address (&w, 2);
  rw_show_view (&w);
  restart_agents (&w, 3 << 1);
  rw_settle (&w);
  (void)rw_send (&w, &p);
  for (int i = 0; i < w.n_agents; i++)
    if (w.nodes[i].agent.searches->n_used > 0)
      {
        (void)lc_flow_finder_search_returned (&w.nodes[i].agent, &p, w.now_us);
        n_joined++;
      }
  ck_assert_int_eq (n_joined, 1);
  for (int tick = 0; tick < 20; tick++)
    {
      rw_pass (&w, LC_FLOW_AGENT_TICK_US);
      ck_assert_uint_eq (rw_take_resets (&w), 0);
    }
  ck_assert_uint_eq (rw_n_delivered (&w), 1);
  rw_stop (&w);
}
END_TEST

/* The slot of a search that goes on elsewhere is taken by another flow's before its packet is sent:
 * that one must not be sent with the services that the first flow's envelope has ruled out. */
START_TEST (test_slot_is_taken_again)
{
  LcPacket first = rw_packet_of (0, false);
  LcPacket second = rw_packet_of (1, false);
  uint32_t n_passed = 0;
  LcFlowAgent *agent;
  LcEnvelope e;
  LcCandidate to;
  LcFlowTry next;
  RwWorld w;

  rw_start_services (&w, 2, 2, true);
  rw_move_address (&w, 2);
  rw_show_view (&w);
  agent = &w.nodes[1].agent;
  while (lc_flow_key_hash (&second.key) % LC_FLOW_SEARCHES_MAX !=
         lc_flow_key_hash (&first.key) % LC_FLOW_SEARCHES_MAX)
    second.key.source_port++;
  ck_assert_int_eq (lc_flow_balancer_steer (&w.entries[0].balancer, &first, &e, &to), 0);
  (void)lc_flow_finder_search (agent, &e, &first, w.now_us);
  (void)lc_flow_finder_search (agent, &e, &second, w.now_us);
  while (lc_flow_finder_next_try (agent, w.now_us, &next))
    n_passed += next.is_passed;
  ck_assert_uint_eq (n_passed, 1);
  rw_stop (&w);
}
END_TEST

/* With more former services than the list has room for, flows of the listed ones are reached, and
 * those of the others are not reset: whether they are held can't be found out. */
START_TEST (test_more_services_than_listed)
{
  const int n_services = LC_ADDRESS_FORMER_MAX + 3;
  RwWorld w;

  rw_start_services (&w, n_services, n_services, true);
  for (int id = 1; id <= n_services; id++)
    {
      LcPacket first = rw_packet_of ((uint32_t)id, true);

      rw_move_address (&w, (LcServiceId)id);
      rw_show_view (&w);
      ck_assert_int_eq (rw_send (&w, &first), 0);
      rw_settle (&w);
    }
  for (int id = 1; id <= n_services; id++)
    ck_assert_msg (rw_reaches_owner (&w, (uint32_t)id) == (id > n_services - LC_ADDRESS_FORMER_MAX),
                   "service %d", id);
  ck_assert_uint_eq (w.n_resets + rw_take_resets (&w), 0);
  rw_stop (&w);
}
END_TEST

/* === the envelope =========================================================================== */

static LcEnvelope
make_envelope (void)
{
  LcEnvelope e = { .mode = LC_MODE_WALK,
                   .hops_left = 9,
                   .n = 4,
                   .service_id = 5,
                   .set_rank = UINT64_MAX,
                   .target_id = 1,
                   .n_services = 3,
                   .services = { { 5, 0, false }, { 6, 2, false }, { 0, 4, false } } };

  for (uint32_t i = 0; i < e.n; i++)
    e.candidates[i] = (LcCandidate){ i + 1, 10 + i, 100 + i, 7100 };
  return e;
}

/* A packet walks the homes of all services, then is searched for in one after the other. */
START_TEST (test_envelope_visits_services_in_order)
{
  LcEnvelope e = make_envelope ();

  for (uint8_t hop = 1; hop < e.n; hop++)
    {
      ck_assert (lc_envelope_next_hop (&e));
      ck_assert_uint_eq (e.hop, hop);
      ck_assert_uint_eq (e.service_id, hop < 2 ? 5 : 6);
    }
  ck_assert (!lc_envelope_next_hop (&e));
  for (LcServiceId id = 5; id <= 6; id++)
    {
      ck_assert_int_eq (lc_envelope_next_search (&e), LC_ENVELOPE_SEARCH_SERVICE);
      ck_assert_uint_eq (e.service_id, id);
      ck_assert_uint_eq (e.hop, id == 5 ? 1 : 3);
      ck_assert (!lc_envelope_next_hop (&e));
      lc_envelope_rule_out (&e, id);
    }
  ck_assert_int_eq (lc_envelope_next_search (&e), LC_ENVELOPE_SEARCH_IMPOSSIBLE);
  lc_envelope_rule_out (&e, LC_ADDRESS_FORMER_OTHERS);
  ck_assert_int_eq (lc_envelope_next_search (&e), LC_ENVELOPE_SEARCH_DONE);
}
END_TEST

/* The services survive the wire, and a list that contradicts itself is refused. */
START_TEST (test_envelope_with_services_on_wire)
{
  static const struct
  {
    const char *what;
    size_t cut; /* bytes left out at the end */
    int at;     /* changed byte, counted from the end; 0: none */
    uint8_t to;
    int result; /* 0: decoded */
  } BYTES[] = {
    { "whole", 0, 0, 0, 0 },
    { "one byte short", 1, 0, 0, LC_ERR_TRUNCATED },
    { "without its services", 20, 0, 0, LC_ERR_TRUNCATED },
    { "one service", 0, 20, 1, LC_ERR_CORRUPT },
    { "too many services", 0, 20, 9, LC_ERR_CORRUPT },
    { "an unknown flag of the packet", 0, 19, 2, LC_ERR_CORRUPT },
    { "an unknown flag of a service", 0, 1, 128, LC_ERR_CORRUPT },
    { "another service at its hop", 0, 15, 4, LC_ERR_CORRUPT },
    { "the first has no candidate", 0, 14, 2, LC_ERR_CORRUPT },
    { "the second has no candidate", 0, 8, 4, LC_ERR_CORRUPT },
    { "candidates beyond the list", 0, 2, 5, LC_ERR_CORRUPT },
  };
  LcEnvelope e = make_envelope ();

  for (size_t i = 0; i < G_N_ELEMENTS (BYTES); i++)
    {
      uint8_t bytes[LC_ENVELOPE_MAX_BYTES];
      size_t len = lc_envelope_encode (&e, bytes, sizeof bytes);
      LcEnvelope read;
      int r;

      ck_assert_uint_eq (len, 56 + 4 * 18 + 2 + 3 * 6);
      if (BYTES[i].at != 0)
        bytes[len - (size_t)BYTES[i].at] = BYTES[i].to;
      r = lc_envelope_decode (&read, bytes, len - BYTES[i].cut);
      ck_assert_msg (r == (BYTES[i].result != 0 ? BYTES[i].result : (int)len), "%s: %d",
                     BYTES[i].what, r);
      if (BYTES[i].result == 0)
        ck_assert_mem_eq (&read.services, &e.services, sizeof e.services);
    }
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("flow-moved");
  TCase *moves = tcase_create ("moves");

  tcase_add_loop_test (moves, test_open_flows_survive_moves, 0, G_N_ELEMENTS (MOVES));
  tcase_add_test (moves, test_new_flows_go_to_new_service);
  tcase_add_test (moves, test_late_balancer_reaches_former_service);
  tcase_add_test (moves, test_moved_flows_need_no_search);
  tcase_add_test (moves, test_unowned_flow_is_reset_after_all_services);
  tcase_add_test (moves, test_first_packet_copies_around_move);
  tcase_add_test (moves, test_joined_search_goes_on);
  tcase_add_test (moves, test_slot_is_taken_again);
  tcase_add_test (moves, test_more_services_than_listed);
  tcase_add_test (moves, test_envelope_visits_services_in_order);
  tcase_add_test (moves, test_envelope_with_services_on_wire);
  suite_add_tcase (suite, moves);
  return lc_fake_run (suite);
}
