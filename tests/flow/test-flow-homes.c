/* Home regions: new flows go there only, open flows stay where they are. */
#include "core/control/lc-home-check.h"
#include "core/member/lc-scope.h"
#include "return-world.h"
#include "tests/fakes/lc-fake-run.h"

#include <check.h>
#include <string.h>

enum
{
  NORTH = 1, /* data centre of the agents 0 and 1, in the region "north" */
  SOUTH = 2, /* of the agents 2 and 3, in "south" */
};

static void
start_in_two_regions (RwWorld *w)
{
  rw_start (w, 4);
  for (int i = 0; i < 4; i++)
    rw_place (w, i, i < 2 ? NORTH : SOUTH);
  rw_put_region (w, NORTH, "north");
  rw_put_region (w, SOUTH, "south");
  rw_show_view (w);
}

static void
show_agents (RwWorld *w, int first, int last)
{
  for (int i = first; i <= last; i++)
    rw_show_agent (w, i);
}

static const struct
{
  const char *what;
  const char *homes;
  int last; /* agents 0 to `last` have the view with the homes */
  bool balancer_sees;
  int n_full; /* northern backend servers that return first packets */
  bool may_be_north;
  bool may_be_south;
  uint32_t n_held; /* backend servers that hold each flow */
} CASES[] = {
  { "no homes", "", 4, true, 0, true, true, 1 },
  { "everybody knows", "north", 4, true, 0, true, false, 1 },
  { "the balancer has an old view", "north", 4, false, 0, true, false, 1 },
  { "agents elsewhere have an old view", "north", 1, true, 0, true, false, 1 },
  { "both regions", "south,north", 4, true, 0, true, true, 1 },
  { "one home is full", "north", 4, true, 1, true, false, 1 },
  { "all homes are full", "north", 4, true, 2, true, false, 0 },
  { "the homes are full, and the balancer has an old view", "north", 4, false, 2, true, false, 0 },
  { "a region without a data centre", "east", 4, true, 0, false, false, 0 },
  { "a name that another begins with", "northern,sou", 4, true, 0, false, false, 0 },
};

/* New flows stay in the home regions, even if views lag, or if all endpoints there are full and a
 * returned first packet can go nowhere. */
START_TEST (test_new_flows_stay_in_home_regions)
{
  RwWorld w;

  start_in_two_regions (&w);
  rw_set_homes (&w, CASES[_i].homes);
  show_agents (&w, 0, CASES[_i].last);
  if (CASES[_i].balancer_sees)
    rw_show_balancer (&w);
  for (int i = 0; i < CASES[_i].n_full; i++)
    w.nodes[i].is_full = true;
  for (uint32_t f = 0; f < RW_N_FLOWS; f++)
    {
      LcPacket first = rw_packet_of (f, true);

      (void)rw_send (&w, &first);
      ck_assert_msg (rw_n_held (&w, f) == CASES[_i].n_held, "%s: flow %u", CASES[_i].what, f);
    }
  ck_assert_msg ((w.nodes[0].n_firsts + w.nodes[1].n_firsts > 0) ==
                     (CASES[_i].may_be_north && CASES[_i].n_held > 0),
                 "%s", CASES[_i].what);
  ck_assert_msg ((w.nodes[2].n_firsts + w.nodes[3].n_firsts > 0) == CASES[_i].may_be_south, "%s",
                 CASES[_i].what);
  rw_stop (&w);
}
END_TEST

/* Without an endpoint in a home region a caller is reset at once. */
START_TEST (test_no_home_resets_at_once)
{
  RwWorld w;
  LcPacket first = rw_packet_of (0, true);

  start_in_two_regions (&w);
  rw_set_homes (&w, "east");
  rw_show_view (&w);
  (void)rw_send (&w, &first);
  ck_assert_uint_eq (w.n_resets, 1);
  ck_assert_uint_eq (rw_n_held (&w, 0), 0);
  rw_stop (&w);
}
END_TEST

/* Open flows survive changes of the homes and an agent restart. */
START_TEST (test_open_flows_survive_home_changes)
{
  static const char *const HOMES[] = { "north", "south", "east", "" };
  RwWorld w;

  start_in_two_regions (&w);
  rw_open_flows (&w);
  ck_assert_uint_gt (w.nodes[0].n_firsts + w.nodes[1].n_firsts, 0);
  ck_assert_uint_gt (w.nodes[2].n_firsts + w.nodes[3].n_firsts, 0);
  rw_settle (&w);
  for (size_t i = 0; i < G_N_ELEMENTS (HOMES); i++)
    {
      rw_set_homes (&w, HOMES[i]);
      rw_show_view (&w);
      rw_check_all_reach (&w, HOMES[i]);
      rw_settle (&w);
      rw_check_all_reach (&w, HOMES[i]);
    }
  rw_restart_agent (&w, 1);
  rw_check_all_reach (&w, "an agent starts again");
  ck_assert_uint_eq (w.n_resets + rw_take_resets (&w), 0);
  rw_stop (&w);
}
END_TEST

/* === services whose backend servers don't return packets ==================================== */

/* An agent outside the home regions sends a first packet back to the assigner. */
START_TEST (test_agent_outside_homes_refuses)
{
  static const struct
  {
    const char *homes;
    LcFlowActionKind kind;
  } OPENED[] = {
    { "", LC_FLOW_ACTION_DELIVER },
    { "north", LC_FLOW_ACTION_DELIVER },
    { "south", LC_FLOW_ACTION_SEND },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (OPENED); i++)
    {
      LcFlowAgentDesc desc = { .self = { 1, 0, 100, 7100 }, .service_id = 1 };
      LcPacket first = rw_packet_of (0, true);
      LcEnvelope e = { .mode = LC_MODE_OPEN, .hops_left = 8, .n = 2, .assigner = 1 };
      LcFlowAgent agent;
      RwWorld w;

      start_in_two_regions (&w);
      rw_set_homes (&w, OPENED[i].homes);
      lc_flow_agent_init (&agent, &desc, 0);
      lc_flow_agent_set_dc (&agent, NORTH);
      lc_flow_agent_set_view (&agent, &w.view, 0);
      e.service_id = 1;
      e.set_rank = UINT64_MAX;
      e.revision = w.view.revision;
      e.target_id = desc.self.id;
      e.target_instance = desc.self.instance;
      e.candidates[0] = desc.self;
      e.candidates[1] = (LcCandidate){ 2, 1, 101, 7100 };
      ck_assert_msg (lc_flow_agent_handle_packet (&agent, &e, &first, 1).kind == OPENED[i].kind,
                     "%s", OPENED[i].homes);
      lc_flow_agent_finish (&agent);
      rw_stop (&w);
    }
}
END_TEST

/* A candidate list has home agents in the home regions only. */
START_TEST (test_candidate_lists_stay_in_home_regions)
{
  LcCandidateSets sets = { 0 };
  RwWorld w;
  LcRegionMask north;

  start_in_two_regions (&w);
  lc_candidate_sets_compile (&sets, lc_view_service (&w.view, 1));
  lc_candidate_sets_set_regions (&sets, &w.view);
  north = lc_view_home_regions (&w.view, "north");
  for (uint64_t key = 1; key <= 200; key++)
    {
      LcCandidateList list;

      lc_candidates_pick (&sets, key * UINT64_C (0x9e3779b97f4a7c15), north, &list);
      ck_assert_uint_eq (list.n, 2);
      ck_assert_uint_eq (list.n_current, 2);
      for (uint8_t i = 0; i < list.n; i++)
        ck_assert_uint_le (list.items[i].id, 2);
    }
  lc_candidate_sets_finish (&sets);
  rw_stop (&w);
}
END_TEST

/* === scope of agents' views ================================================================== */

static void
count_addresses (void *user, const LcViewOp *op)
{
  *(int *)user += op->kind == LC_VIEW_ADDRESS;
}

/* Agents get addresses with homes, and their removals, of their own service. */
START_TEST (test_scope_wants_only_addresses_with_homes)
{
  static const struct
  {
    const char *what;
    LcViewOpKind kind;
    LcServiceId service_id;
    const char *homes;
    bool is_wanted;
  } OPS[] = {
    { "homes of its service", LC_VIEW_ADDRESS, 1, "north", true },
    { "homes taken away", LC_VIEW_ADDRESS_REMOVED, 1, "north", true },
    { "an address that is free", LC_VIEW_ADDRESS, 1, "", false },
    { "homes of another service", LC_VIEW_ADDRESS, 2, "north", false },
  };
  LcScope scope = { .is_scoped = true, .service = "desk", .data_centre = "dc1" };
  RwWorld w;
  int n = 0;

  start_in_two_regions (&w);
  lc_scope_resolve (&scope, &w.view);
  for (size_t i = 0; i < G_N_ELEMENTS (OPS); i++)
    {
      LcViewOp op = { .kind = OPS[i].kind };

      op.address.service_id = OPS[i].service_id;
      (void)g_strlcpy (op.address.homes, OPS[i].homes, sizeof op.address.homes);
      ck_assert_msg (lc_scope_includes (&scope, &op) == OPS[i].is_wanted, "%s", OPS[i].what);
    }
  lc_scope_snapshot (&scope, &w.view, count_addresses, &n);
  ck_assert_int_eq (n, 0);
  rw_set_homes (&w, "south");
  lc_scope_snapshot (&scope, &w.view, count_addresses, &n);
  ck_assert_int_eq (n, 1);
  rw_stop (&w);
}
END_TEST

/* === input validation ======================================================================== */

/* A repeated name, or an invalid or over-long one, leaves the list as it was. */
START_TEST (test_homes_add)
{
  static const struct
  {
    const char *homes;
    const char *region;
    int result;
    const char *after;
  } ADDED[] = {
    { "", "north", 0, "north" },
    { "north", "south", 0, "north,south" },
    { "north,south", "north", 0, "north,south" },
    { "north", "nor", 0, "north,nor" },
    { "north", "", LC_ERR_INVALID, "north" },
    { "north", "a,b", LC_ERR_INVALID, "north" },
    { "0123456789012345678901234567890123456789,0123456789012345678901234567890123456780",
      "long-name-here", LC_ERR_INVALID,
      "0123456789012345678901234567890123456789,0123456789012345678901234567890123456780" },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (ADDED); i++)
    {
      char homes[LC_HOME_REGIONS_BYTES];
      LcError error = { 0 };

      (void)g_strlcpy (homes, ADDED[i].homes, sizeof homes);
      ck_assert_msg (lc_home_regions_add (homes, ADDED[i].region, &error) == ADDED[i].result, "%zu",
                     i);
      ck_assert_str_eq (homes, ADDED[i].after);
      ck_assert ((error.remedy[0] != '\0') == (ADDED[i].result < 0));
    }
}
END_TEST

/* A region that neither a data centre nor the settings name is refused. */
START_TEST (test_unknown_regions_are_refused)
{
  static const struct
  {
    const char *homes;
    const char *in_settings;
    const char *declared; /* region of a data centre of the same declaration */
    int result;
  } CHECKED[] = {
    { "", "", "", 0 },
    { "north", "", "", 0 },
    { "east", "", "", LC_ERR_INVALID },
    { "north,east", "", "", LC_ERR_INVALID },
    { "east", "west,east", "", 0 },
    { "north,east", "", "east", 0 },
  };
  RwWorld w;

  start_in_two_regions (&w);
  for (size_t i = 0; i < G_N_ELEMENTS (CHECKED); i++)
    {
      LcDeclaredAddress address = { .ipv4 = 1, .port = 1, .protocol = LC_PROTOCOL_TCP };
      LcDeclaredService service = { .name = "desk", .addresses = &address, .n_addresses = 1 };
      LcDeclaredDc dc = { .name = "dc3" };
      LcDeclaration d = { .dcs = &dc, .n_dcs = 1, .services = &service, .n_services = 1 };
      LcError error = { 0 };

      (void)g_strlcpy (address.homes, CHECKED[i].homes, sizeof address.homes);
      (void)g_strlcpy (dc.region, CHECKED[i].declared, sizeof dc.region);
      ck_assert_msg (lc_home_check (&d, &w.view, CHECKED[i].in_settings, &error) ==
                         CHECKED[i].result,
                     "%zu", i);
      ck_assert ((error.remedy[0] != '\0') == (CHECKED[i].result < 0));
    }
  rw_stop (&w);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("flow-homes");
  TCase *tc = tcase_create ("homes");

  tcase_add_loop_test (tc, test_new_flows_stay_in_home_regions, 0, G_N_ELEMENTS (CASES));
  tcase_add_test (tc, test_no_home_resets_at_once);
  tcase_add_test (tc, test_open_flows_survive_home_changes);
  tcase_add_test (tc, test_agent_outside_homes_refuses);
  tcase_add_test (tc, test_candidate_lists_stay_in_home_regions);
  tcase_add_test (tc, test_scope_wants_only_addresses_with_homes);
  tcase_add_test (tc, test_homes_add);
  tcase_add_test (tc, test_unknown_regions_are_refused);
  suite_add_tcase (suite, tc);
  return lc_fake_run (suite);
}
