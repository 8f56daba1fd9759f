/* Flows while a data centre is evacuated: new ones go elsewhere, open ones stay. */
#include "return-world.h"
#include "tests/fakes/lc-fake-run.h"

#include <check.h>

enum
{
  EMPTIED = 1, /* data centre of agents 0 and 1 */
  STAYING = 2, /* data centre of agents 2 and 3 */
};

static void
start_in_two (RwWorld *w)
{
  rw_start (w, 4);
  for (int i = 0; i < 4; i++)
    rw_place (w, i, i < 2 ? EMPTIED : STAYING);
  rw_show_view (w);
}

static void
show_to (RwWorld *w, int first, int last)
{
  for (int i = first; i <= last; i++)
    rw_show_agent (w, i);
}

static const struct
{
  const char *what;
  int first; /* range of the agents that have the newest view */
  int last;
  bool balancer_sees;
} SEEN_BY[] = {
  { "all have the newest view", 0, 4, true },
  { "the balancer has an old view", 0, 4, false },
  { "only the agents there have the newest view", 0, 1, false },
};

/* Also through a balancer or agents with an old view. */
START_TEST (test_new_flows_avoid_evacuated_data_centre)
{
  RwWorld w;

  start_in_two (&w);
  rw_evacuate (&w, EMPTIED, true);
  show_to (&w, SEEN_BY[_i].first, SEEN_BY[_i].last);
  if (SEEN_BY[_i].balancer_sees)
    rw_show_balancer (&w);
  rw_open_flows (&w);
  ck_assert_msg (w.nodes[0].n_firsts + w.nodes[1].n_firsts == 0, "%s", SEEN_BY[_i].what);
  for (uint32_t f = 0; f < RW_N_FLOWS; f++)
    ck_assert_msg (rw_n_held (&w, f) == 1, "%s: flow %u", SEEN_BY[_i].what, f);
  rw_stop (&w);
}
END_TEST

/* An evacuation doesn't change the homes.  If the endpoints left the candidate set, owners would
 * have to be searched for. */
START_TEST (test_open_flows_stay_in_an_evacuation)
{
  RwWorld w;

  start_in_two (&w);
  rw_open_flows (&w);
  ck_assert_uint_gt (w.nodes[0].n_firsts + w.nodes[1].n_firsts, 0);
  rw_settle (&w);
  for (int round = 0; round < 2; round++)
    {
      rw_evacuate (&w, EMPTIED, round == 0);
      rw_show_view (&w);
      w.n_searches = 0;
      rw_check_all_reach (&w, "evacuated");
      ck_assert_uint_eq (w.n_searches, 0);
    }
  ck_assert_uint_eq (w.n_resets + rw_take_resets (&w), 0);
  rw_stop (&w);
}
END_TEST

/* Without a reset the caller would send two more copies and wait for 1.4 s. */
START_TEST (test_new_flow_is_reset_at_once_if_all_are_evacuated)
{
  RwWorld w;
  LcPacket first = rw_packet_of (0, true);

  start_in_two (&w);
  rw_evacuate (&w, EMPTIED, true);
  rw_evacuate (&w, STAYING, true);
  rw_show_view (&w);
  (void)rw_send (&w, &first);
  ck_assert_uint_eq (w.n_resets, 1);
  ck_assert_uint_eq (rw_n_held (&w, 0), 0);
  rw_evacuate (&w, STAYING, false);
  rw_show_view (&w);
  (void)rw_send (&w, &first);
  ck_assert_uint_eq (rw_n_held (&w, 0), 1);
  rw_stop (&w);
}
END_TEST

START_TEST (test_failed_choice_has_the_reason)
{
  static const struct
  {
    const char *what;
    LcEndpointState state;
    bool is_evacuated;
    bool is_refusing;
    LcDropReason reason;
  } CASES[] = {
    { "evacuated", LC_ENDPOINT_ACTIVE, true, false, LC_DROP_EVACUATED },
    { "leaving", LC_ENDPOINT_DRAINING, true, false, LC_DROP_NO_ENDPOINT },
    { "refusing", LC_ENDPOINT_ACTIVE, false, true, LC_DROP_LIMIT },
    { "accepting", LC_ENDPOINT_ACTIVE, false, false, LC_DROP_NONE },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (CASES); i++)
    {
      LcAssignDesc desc = { 0 };
      LcAssign assign;
      RwWorld w;
      int chosen;

      start_in_two (&w);
      for (int k = 0; k < 4; k++)
        rw_put_endpoint (&w, k, CASES[i].state);
      rw_evacuate (&w, EMPTIED, CASES[i].is_evacuated);
      rw_evacuate (&w, STAYING, CASES[i].is_evacuated);
      lc_assign_init (&assign, &desc);
      lc_assign_set_members (&assign, lc_view_service (&w.view, 1), 1, 0);
      lc_assign_update_dcs (&assign, &w.view);
      for (LcEndpointId id = 1; id <= 4 && CASES[i].is_refusing; id++)
        lc_assign_record_refusal (&assign, id, 1);
      chosen = lc_assign_choose (&assign, 5, 0, LC_REGIONS_ALL, 2);
      ck_assert_msg ((chosen >= 0) == (CASES[i].reason == LC_DROP_NONE), "%s", CASES[i].what);
      if (chosen < 0)
        ck_assert_msg (assign.failure == CASES[i].reason, "%s", CASES[i].what);
      lc_assign_finish (&assign);
      rw_stop (&w);
    }
}
END_TEST

/* Likewise for services whose backend servers don't return packets. */
START_TEST (test_agent_refuses_new_flow_while_evacuated)
{
  LcViewOp service = { .revision = 1, .kind = LC_VIEW_SERVICE };
  LcViewOp endpoint = { .revision = 1, .kind = LC_VIEW_ENDPOINT };
  LcFlowAgentDesc desc = { .self = { 1, 1, 101, 7100 }, .service_id = 1 };
  LcFlowAgent agent;
  LcView view;

  lc_view_init (&view);
  service.service.id = 1;
  (void)g_strlcpy (service.service.name, "desk", sizeof service.service.name);
  ck_assert_int_eq (lc_view_apply (&view, &service, NULL), 0);
  endpoint.endpoint = (LcEndpoint){ .id = 1, .service_id = 1, .instance = 101, .dc = EMPTIED };
  endpoint.endpoint.state = LC_ENDPOINT_ACTIVE;
  endpoint.endpoint.weight_percent = 100;
  ck_assert_int_eq (lc_view_apply (&view, &endpoint, NULL), 0);
  lc_flow_agent_init (&agent, &desc, 0);
  lc_flow_agent_set_dc (&agent, EMPTIED);
  for (int is_evacuated = 1; is_evacuated >= 0; is_evacuated--)
    {
      LcEnvelope e = { .mode = LC_MODE_OPEN, .hops_left = 9, .n = 1, .service_id = 1 };
      LcViewOp dc = { .revision = 1, .kind = LC_VIEW_DC };
      LcPacket first = rw_packet_of (7, true);
      LcFlowAction action;

      dc.dc = (LcDataCentre){ .id = EMPTIED, .state = LC_DC_ACTIVE };
      dc.dc.is_evacuated = is_evacuated;
      ck_assert_int_eq (lc_view_apply (&view, &dc, NULL), 0);
      lc_flow_agent_set_view (&agent, &view, 1);
      e.revision = view.revision;
      e.set_rank = UINT64_MAX;
      e.target_id = 1;
      e.target_instance = 101;
      e.candidates[0] = (LcCandidate){ 2, 2, 102, 7100 };
      action = lc_flow_agent_handle_packet (&agent, &e, &first, 2);
      ck_assert_int_eq (action.kind, is_evacuated ? LC_FLOW_ACTION_SEND : LC_FLOW_ACTION_DELIVER);
      ck_assert_int_eq (e.mode, is_evacuated ? LC_MODE_REFUSED : LC_MODE_OPEN);
    }
  lc_flow_agent_finish (&agent);
  lc_view_finish (&view);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("flow-evacuation");
  TCase *tcase = tcase_create ("flows");

  tcase_add_loop_test (tcase, test_new_flows_avoid_evacuated_data_centre, 0,
                       (int)G_N_ELEMENTS (SEEN_BY));
  tcase_add_test (tcase, test_open_flows_stay_in_an_evacuation);
  tcase_add_test (tcase, test_new_flow_is_reset_at_once_if_all_are_evacuated);
  tcase_add_test (tcase, test_failed_choice_has_the_reason);
  tcase_add_test (tcase, test_agent_refuses_new_flow_while_evacuated);
  suite_add_tcase (suite, tcase);
  return lc_fake_run (suite);
}
