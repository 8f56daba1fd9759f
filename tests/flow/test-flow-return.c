/* Steering with backend servers that return packets of flows that they do not hold. */
#include "return-world.h"
#include "tests/fakes/lc-fake-run.h"

#include <check.h>
#include <string.h>

/* === restarts and views ======================================================================= */

typedef enum
{
  NOTHING,
  RESTART_ONE,
  RESTART_ALL,
  JOIN,
  LEAVE,
  LEAVE_ALL,
  LOSE_IN_VIEW,
  VIEW_TWICE,
} Event;

static const struct
{
  const char *what;
  Event event;
} EVENTS[] = {
  { "nothing", NOTHING },
  { "an agent restarts without state", RESTART_ONE },
  { "all agents restart at once", RESTART_ALL },
  { "endpoints join, and homes change", JOIN },
  { "an endpoint leaves with its flows", LEAVE },
  { "all endpoints leave with their flows", LEAVE_ALL },
  { "a live endpoint is LOST in the view", LOSE_IN_VIEW },
  { "an endpoint joins and leaves before flows are registered", VIEW_TWICE },
};

static void
apply_event (RwWorld *w, Event event)
{
  switch (event)
    {
    case RESTART_ONE:
      rw_restart_agent (w, 1);
      break;
    case RESTART_ALL:
      for (int i = 0; i < RW_N_AGENTS; i++)
        rw_restart_agent (w, i);
      break;
    case JOIN:
      rw_put_endpoint (w, 3, LC_ENDPOINT_JOINING);
      rw_put_endpoint (w, 4, LC_ENDPOINT_JOINING);
      break;
    case LEAVE:
      rw_put_endpoint (w, 0, LC_ENDPOINT_DRAINING);
      lc_flow_agent_leave (&w->nodes[0].agent);
      break;
    case LEAVE_ALL:
      for (int i = 0; i < 3; i++)
        rw_put_endpoint (w, i, LC_ENDPOINT_DRAINING);
      break;
    case LOSE_IN_VIEW:
      rw_put_endpoint (w, 2, LC_ENDPOINT_LOST);
      break;
    case VIEW_TWICE:
      rw_put_endpoint (w, 3, LC_ENDPOINT_JOINING);
      rw_show_view (w);
      rw_put_endpoint (w, 3, LC_ENDPOINT_DRAINING);
      break;
    case NOTHING:
      break;
    }
  rw_show_view (w);
}

/* Packets of open flows reach their owners after each event, without a reset. */
START_TEST (test_open_flows_are_found)
{
  RwWorld w;

  rw_start (&w, 3);
  rw_open_flows (&w);
  apply_event (&w, EVENTS[_i].event);
  rw_check_all_reach (&w, EVENTS[_i].what);
  rw_settle (&w);
  rw_check_all_reach (&w, EVENTS[_i].what);
  /* A flow that was found is registered again: the third packet needs no search. */
  rw_settle (&w);
  w.n_searches = 0;
  rw_check_all_reach (&w, EVENTS[_i].what);
  if (EVENTS[_i].event != LEAVE_ALL && EVENTS[_i].event != LOSE_IN_VIEW)
    ck_assert_msg (w.n_searches == 0, "%s: %u searches", EVENTS[_i].what, w.n_searches);
  ck_assert_uint_eq (w.n_resets + rw_take_resets (&w), 0);
  rw_stop (&w);
}
END_TEST

/* A leaving endpoint gets no new flow, even from peers with an old view. */
START_TEST (test_new_flows_avoid_leaving_endpoint)
{
  RwWorld w;

  rw_start (&w, 3);
  rw_put_endpoint (&w, 0, LC_ENDPOINT_DRAINING);
  lc_flow_agent_leave (&w.nodes[0].agent);
  rw_open_flows (&w);
  ck_assert_uint_eq (w.nodes[0].n_firsts, 0);
  for (uint32_t f = 0; f < RW_N_FLOWS; f++)
    ck_assert_uint_eq (rw_n_held (&w, f), 1);
  rw_stop (&w);
}
END_TEST

/* A leave request for an earlier backend server can be cancelled. */
START_TEST (test_cancelled_leave_takes_new_flows)
{
  RwWorld w;

  rw_start (&w, 1);
  lc_flow_agent_leave (&w.nodes[0].agent);
  rw_open_flows (&w);
  ck_assert_uint_eq (w.nodes[0].n_firsts, 0);
  lc_flow_agent_cancel_leave (&w.nodes[0].agent);
  rw_open_flows (&w);
  ck_assert_uint_eq (w.nodes[0].n_firsts, RW_N_FLOWS);
  rw_stop (&w);
}
END_TEST

static const struct
{
  const char *what;
  uint32_t n_full; /* of three */
  uint32_t n_copies;
  uint32_t n_held;
  uint32_t n_resets;
} FULL[] = {
  { "one returns first packets", 1, 0, RW_N_FLOWS, 0 },
  { "two return first packets", 2, 0, RW_N_FLOWS, 0 },
  { "all return first packets", 3, 0, 0, RW_N_FLOWS },
  { "a retransmission gets no reset", 3, 1, 0, 0 },
};

/* A returned first packet goes to another endpoint; when all are full, it is reset unless it is a
 * retransmission. */
START_TEST (test_returned_first_packets_are_reassigned)
{
  uint32_t n = 0;
  RwWorld w;

  rw_start (&w, 3);
  for (uint32_t i = 0; i < FULL[_i].n_full; i++)
    w.nodes[i].is_full = true;
  for (uint32_t f = 0; f < RW_N_FLOWS; f++)
    {
      LcPacket p = rw_packet_of (f, true);

      p.n_copies = FULL[_i].n_copies;
      (void)rw_send (&w, &p);
      w.now_us += 2 * LC_US_PER_S; /* assigners avoid a refusing endpoint for a second */
    }
  for (uint32_t f = 0; f < RW_N_FLOWS; f++)
    n += rw_n_held (&w, f);
  ck_assert_msg (n == FULL[_i].n_held && w.n_resets == FULL[_i].n_resets, "%s: %u held, %u resets",
                 FULL[_i].what, n, w.n_resets);
  rw_stop (&w);
}
END_TEST

/* Packets must reach the backend server that the caller went on with after two accepted its first
 * packet, even if the homes point to the other. */
START_TEST (test_flow_follows_the_caller)
{
  RwWorld w;

  rw_start (&w, 3);
  rw_open_flows (&w);
  for (uint32_t f = 0; f < RW_N_FLOWS; f++)
    {
      int from = 0;

      while (!w.nodes[from].holds[f])
        from++;
      w.nodes[from].holds[f] = false;
      w.nodes[(from + 1) % 3].holds[f] = true;
    }
  rw_check_all_reach (&w, "before registration");
  for (int i = 0; i < 3; i++)
    rw_settle (&w);
  w.n_searches = 0;
  rw_check_all_reach (&w, "after registration");
  ck_assert_uint_eq (w.n_searches, 0);
  rw_stop (&w);
}
END_TEST

/* A retransmitted first packet goes to another endpoint if a backend server left it unanswered. */
START_TEST (test_unanswered_first_packets_are_reassigned)
{
  RwWorld w;

  rw_start (&w, 3);
  w.nodes[1].is_dead = true;
  for (uint32_t f = 0; f < RW_N_FLOWS; f++)
    {
      LcPacket p = rw_packet_of (f, true);

      (void)rw_send (&w, &p);
      rw_settle (&w); /* the dead one's agent registers the flow with its homes */
      p.n_copies = 1;
      (void)rw_send (&w, &p);
    }
  rw_settle (&w);
  rw_check_all_reach (&w, "after the retransmissions");
  rw_stop (&w);
}
END_TEST

/* Packets of open flows reach their owners through the remaining homes while the view still has an
 * agent that is gone. */
START_TEST (test_missing_agent_is_bypassed)
{
  LcProbeDetector reach;
  RwWorld w;

  rw_start (&w, 3);
  rw_open_flows (&w);
  for (uint32_t f = 0; f < RW_N_FLOWS; f++)
    w.nodes[2].holds[f] = false; /* its flows are lost */
  w.nodes[2].is_up = false;
  lc_probe_detector_init (&reach);
  lc_probe_detector_record_use (&reach, &w.nodes[2].agent.desc.self, w.now_us);
  {
    LcProbeDetectorAddress due[4];

    ck_assert_uint_eq (lc_probe_detector_next_probes (&reach, w.now_us, due, 4), 1);
  }
  w.now_us += LC_PROBE_DETECTOR_SUSPECT_US;
  lc_flow_balancer_mark_suspects (&w.entries[0].balancer, &reach, w.now_us);
  for (uint32_t f = 0; f < RW_N_FLOWS; f++)
    {
      LcPacket p = rw_packet_of (f, false);
      uint32_t before = w.nodes[0].n_delivered + w.nodes[1].n_delivered;

      if (rw_n_held (&w, f) == 0)
        continue;
      (void)rw_send (&w, &p);
      ck_assert_uint_eq (w.nodes[0].n_delivered + w.nodes[1].n_delivered, before + 1);
    }
  lc_probe_detector_finish (&reach);
  rw_stop (&w);
}
END_TEST

/* === probes ================================================================================= */

static const struct
{
  const char *what;
  int64_t answered_us; /* after the first probe; -1: never */
  int64_t at_us;       /* after the first probe */
  bool is_suspect;
} REACH[] = {
  { "just probed", -1, 0, false },
  { "no answer yet", -1, LC_PROBE_DETECTOR_SUSPECT_US - 1, false },
  { "no answer", -1, LC_PROBE_DETECTOR_SUSPECT_US, true },
  { "answered", 1000, LC_PROBE_DETECTOR_SUSPECT_US, false },
  { "answered late", LC_PROBE_DETECTOR_SUSPECT_US + 1000, LC_PROBE_DETECTOR_SUSPECT_US + 2000,
    false },
};

/* An agent is suspect until it answers a probe that timed out. */
START_TEST (test_reach_suspects)
{
  LcCandidate to = { .id = 1, .ipv4 = 5, .port = 7100 };
  LcProbeDetectorAddress due[2];
  LcProbeDetector reach;

  lc_probe_detector_init (&reach);
  ck_assert_uint_eq (lc_probe_detector_next_probes (&reach, 1000, due, 2), 0);
  lc_probe_detector_record_use (&reach, &to, 1000);
  ck_assert_uint_eq (lc_probe_detector_next_probes (&reach, 1000, due, 2), 1);
  ck_assert_uint_eq (lc_probe_detector_next_probes (&reach, 1001, due, 2),
                     0); /* no second probe at once */
  if (REACH[_i].answered_us >= 0)
    lc_probe_detector_record_answer (&reach, to.ipv4, to.port, 1000 + REACH[_i].answered_us);
  ck_assert_msg (lc_probe_detector_is_suspect (&reach, to.ipv4, to.port, 1000 + REACH[_i].at_us) ==
                     REACH[_i].is_suspect,
                 "%s", REACH[_i].what);
  ck_assert (!lc_probe_detector_is_suspect (&reach, 6, 7100, 1000 + REACH[_i].at_us));
  lc_probe_detector_finish (&reach);
}
END_TEST

/* A balancer counts as cut off while no agent answers its probes. */
START_TEST (test_reach_alone)
{
  LcCandidate agents[] = { { .ipv4 = 5, .port = 7100 }, { .ipv4 = 6, .port = 7100 } };
  int64_t late_us = 1000 + LC_PROBE_DETECTOR_SUSPECT_US;
  LcProbeDetectorAddress due[4];
  LcProbeDetector reach;

  lc_probe_detector_init (&reach);
  ck_assert (!lc_probe_detector_is_isolated (&reach, 1000)); /* it has sent to no agent */
  for (int i = 0; i < 2; i++)
    lc_probe_detector_record_use (&reach, &agents[i], 1000);
  ck_assert_uint_eq (lc_probe_detector_next_probes (&reach, 1000, due, 4), 2);
  lc_probe_detector_record_answer (&reach, 5, 7100, 2000);
  ck_assert (!lc_probe_detector_is_isolated (&reach, late_us));
  lc_probe_detector_record_use (&reach, &agents[0], late_us);
  ck_assert_uint_eq (lc_probe_detector_next_probes (&reach, late_us, due, 4), 2);
  late_us += LC_PROBE_DETECTOR_SUSPECT_US;
  ck_assert (lc_probe_detector_is_isolated (&reach, late_us));
  /* It keeps probing after LC_PROBE_DETECTOR_FORGET_US, when agents without packets expire. */
  for (int64_t t = late_us; t < late_us + 2 * LC_PROBE_DETECTOR_FORGET_US;
       t += LC_PROBE_DETECTOR_PROBE_US)
    {
      ck_assert (lc_probe_detector_is_isolated (&reach, t));
      ck_assert_uint_eq (lc_probe_detector_next_probes (&reach, t, due, 4), 2);
    }
  lc_probe_detector_record_answer (&reach, 6, 7100, late_us);
  ck_assert (!lc_probe_detector_is_isolated (&reach, late_us));
  lc_probe_detector_finish (&reach);
}
END_TEST

/* A packet of another service is dropped in every mode. */
START_TEST (test_other_service_is_refused)
{
  static const LcEnvelopeMode MODES[] = { LC_MODE_WALK, LC_MODE_OPEN, LC_MODE_OWNER,
                                          LC_MODE_SEARCH };
  RwWorld w;

  rw_start (&w, 3);
  for (size_t i = 0; i < G_N_ELEMENTS (MODES); i++)
    for (int may_open = 0; may_open < 2; may_open++)
      {
        LcPacket p = rw_packet_of (0, may_open);
        LcEnvelope e = { .mode = (uint8_t)MODES[i], .service_id = 2, .n = 1, .hops_left = 8 };
        LcFlowAction action = lc_flow_agent_handle_packet (&w.nodes[0].agent, &e, &p, w.now_us);

        ck_assert_int_eq (action.kind, LC_FLOW_ACTION_DROP);
        ck_assert_int_eq (action.reason, LC_DROP_WRONG_INSTANCE);
      }
  rw_stop (&w);
}
END_TEST

/* === flows without an owner ================================================================= */

typedef enum
{
  ALL_ANSWER,
  ONE_SILENT,    /* in the view, but does not answer */
  ONE_LOST,      /* LOST in the view for long */
  ONE_JUST_LOST, /* LOST in the view just now: may be alive */
  ONE_HOLDS,     /* holds the flow, but its agent has restarted */
  ONE_REPORTS,   /* holds the flow and reports its load, but is long LOST in the view */
} Lost;

static const struct
{
  const char *what;
  Lost lost;
  bool has_resets;
} LOST[] = {
  { "no backend server holds the flow", ALL_ANSWER, true },
  { "one does not answer", ONE_SILENT, false },
  { "one does not answer, and has long been LOST", ONE_LOST, true },
  { "one does not answer, and has just become LOST", ONE_JUST_LOST, false },
  { "one holds the flow, but its agent has restarted", ONE_HOLDS, false },
  { "one holds the flow and reports its load, and has long been LOST", ONE_REPORTS, false },
};

static void
lose (RwWorld *w, Lost lost)
{
  memset (w->nodes[0].holds, 0, sizeof w->nodes[0].holds);
  memset (w->nodes[1].holds, 0, sizeof w->nodes[1].holds);
  memset (w->nodes[2].holds, lost == ONE_HOLDS || lost == ONE_REPORTS, sizeof w->nodes[2].holds);
  if (lost == ONE_HOLDS)
    rw_restart_agent (w, 2);
  if (lost == ONE_SILENT || lost == ONE_LOST || lost == ONE_JUST_LOST)
    w->nodes[2].is_up = false;
  if (lost == ONE_LOST || lost == ONE_JUST_LOST)
    {
      rw_put_endpoint (w, 2, LC_ENDPOINT_LOST);
      rw_show_view (w);
      w->now_us += lost == ONE_LOST ? 6 * LC_US_PER_S : 0;
    }
  if (lost == ONE_REPORTS)
    {
      rw_put_endpoint (w, 2, LC_ENDPOINT_LOST);
      rw_show_view (w);
      for (int i = 0; i < 20; i++)
        rw_settle (w);
    }
}

/* A reset needs every endpoint to be accounted for.  Control marks all endpoints of a data centre as
 * lost with its balancers; callers of these were reset, although their agents went on reporting. */
START_TEST (test_lost_flows_are_reset)
{
  uint32_t n_resets;
  RwWorld w;

  rw_start (&w, 3);
  rw_open_flows (&w);
  lose (&w, LOST[_i].lost);
  for (int round = 0; round < 2; round++)
    {
      for (uint32_t f = 0; f < RW_N_FLOWS; f++)
        {
          LcPacket p = rw_packet_of (f, false);

          (void)rw_send (&w, &p);
        }
      rw_settle (&w);
    }
  n_resets = rw_take_resets (&w);
  ck_assert_msg ((n_resets > 0) == LOST[_i].has_resets, "%s: %u resets", LOST[_i].what, n_resets);
  ck_assert_uint_eq (w.n_resets, 0);
  rw_stop (&w);
}
END_TEST

static const struct
{
  const char *what;
  bool is_fresh; /* tables have all flows: the owner answers from its table */
  bool restarts; /* all agents have lost their tables: the owner's backend server answers */
  int n_agents;
} FOUND[] = {
  { "an owner that has the flow in its table", true, false, 3 },
  { "an owner whose agent has restarted", false, true, 3 },
  { "an owner in a large service whose agent has restarted", false, true, 20 },
};

/* A search ends when the owner has the packet: for two seconds more, each endpoint that joined was
 * given the packet as well. */
START_TEST (test_search_ends_when_the_owner_is_found)
{
  int n = FOUND[_i].n_agents;
  RwWorld w;

  rw_start_sized (&w, n, n + 2, FOUND[_i].is_fresh);
  rw_open_flows (&w);
  for (int i = 0; i < n; i++)
    for (uint32_t f = 0; f < RW_N_FLOWS; f++)
      {
        LcFlowKey key = rw_packet_of (f, false).key;
        LcFlow *known = lc_flow_table_find (&w.nodes[i].agent.table, &key, lc_flow_key_hash (&key));

        if (known != NULL && known->kind == LC_FLOW_POINTER)
          lc_flow_table_remove (&w.nodes[i].agent.table, known);
      }
  for (int i = 0; i < n && FOUND[_i].restarts; i++)
    rw_restart_agent (&w, i);
  for (uint32_t f = 0; f < RW_N_FLOWS; f++)
    ck_assert_msg (rw_reaches_owner (&w, f), "%s: flow %u", FOUND[_i].what, f);
  rw_pass (&w, LC_FLOW_AGENT_TICK_US);
  for (int i = 0; i < n; i++)
    ck_assert_msg (w.nodes[i].agent.searches->n_used == 0, "%s: %u searches go on", FOUND[_i].what,
                   w.nodes[i].agent.searches->n_used);
  for (int i = n; i < n + 2; i++)
    rw_put_endpoint (&w, i, LC_ENDPOINT_JOINING);
  rw_show_view (&w);
  for (int i = 0; i < 10; i++)
    rw_settle (&w);
  for (int i = n; i < n + 2; i++)
    ck_assert_msg (w.nodes[i].agent.counts.returned_total == 0, "%s: a joined endpoint got %u",
                   FOUND[_i].what, (uint32_t)w.nodes[i].agent.counts.returned_total);
  ck_assert_uint_eq (w.n_resets + rw_take_resets (&w), 0);
  rw_stop (&w);
}
END_TEST

/* A search needs denials of all members, and of those of the newest roster in the answers. */
START_TEST (test_search_needs_all_denials)
{
  static const LcFlowSearchMember MEMBERS[] = { { 1, 11 }, { 2, 12 }, { 3, 13 }, { 4, 14 } };
  static const struct
  {
    const char *what;
    LcEndpointId by[4];
    LcRevision memberships[4];
    int64_t after_us;
    bool is_lost;
    LcRevision learned; /* newer roster that is set then; 0: none */
    uint32_t n_then;    /* members in it */
    bool is_lost_then;
  } CASES[] = {
    { "all", { 1, 2, 3 }, { 5, 5, 5 }, 0, true, 0, 0, false },
    { "older views", { 3, 2, 1 }, { 4, 3, 5 }, 0, true, 0, 0, false },
    { "one twice", { 1, 2, 2 }, { 5, 5, 5 }, 0, false, 0, 0, false },
    { "one missing", { 1, 3 }, { 5, 5 }, 0, false, 0, 0, false },
    { "one that is no member", { 1, 2, 9 }, { 5, 5, 5 }, 0, false, 0, 0, false },
    { "a newer view", { 1, 2, 3 }, { 5, 6, 5 }, 0, false, 0, 0, false },
    { "too late", { 1, 2, 3 }, { 5, 5, 5 }, LC_FLOW_SEARCH_TIMEOUT_US, false, 0, 0, false },
    { "a newer view, learned later", { 1, 2, 3 }, { 5, 6, 5 }, 0, false, 6, 3, true },
    { "a newer view with one more", { 1, 2, 3 }, { 5, 6, 5 }, 0, false, 6, 4, false },
    { "the one missing leaves", { 1, 2 }, { 5, 5 }, 0, false, 6, 2, true },
  };
  LcFlowSearches searches;
  LcPacket p = rw_packet_of (7, false);
  LcFlowUnowned out;

  for (size_t i = 0; i < G_N_ELEMENTS (CASES); i++)
    {
      lc_flow_searches_init (&searches, 0);
      lc_flow_searches_set_members (&searches, MEMBERS, 3, 5);
      (void)lc_flow_search_begin (&searches, &p, 0);
      for (int k = 0; k < 4 && CASES[i].by[k] != 0; k++)
        {
          LcFlowSearchMember by = { CASES[i].by[k], CASES[i].by[k] + 10 };

          lc_flow_search_rule_out (&searches, &p.key, &by, CASES[i].memberships[k],
                                   CASES[i].after_us);
        }
      ck_assert_msg (lc_flow_search_next_unowned (&searches, &out) == CASES[i].is_lost, "%s",
                     CASES[i].what);
      if (CASES[i].learned != 0)
        lc_flow_searches_set_members (&searches, MEMBERS, CASES[i].n_then, CASES[i].learned);
      ck_assert_msg (lc_flow_search_next_unowned (&searches, &out) == CASES[i].is_lost_then, "%s",
                     CASES[i].what);
      lc_flow_searches_finish (&searches);
    }
}
END_TEST

/* A denial counts for its address only: the endpoint may already hold flows at the new one. */
START_TEST (test_denial_from_another_address)
{
  static const LcFlowSearchMember BEFORE[] = { { 1, 11 }, { 2, 12 } };
  static const LcFlowSearchMember AFTER[] = { { 1, 11 }, { 2, 99 } };
  LcFlowSearches searches;
  LcPacket p = rw_packet_of (7, false);
  LcFlowUnowned out;

  lc_flow_searches_init (&searches, 0);
  lc_flow_searches_set_members (&searches, BEFORE, 2, 5);
  (void)lc_flow_search_begin (&searches, &p, 0);
  lc_flow_search_rule_out (&searches, &p.key, &BEFORE[1], 5, 0);
  lc_flow_searches_set_members (&searches, AFTER, 2, 6);
  lc_flow_search_rule_out (&searches, &p.key, &AFTER[0], 6, 0);
  ck_assert (!lc_flow_search_next_unowned (&searches, &out));
  lc_flow_search_rule_out (&searches, &p.key, &AFTER[1], 6, 0);
  ck_assert (lc_flow_search_next_unowned (&searches, &out));
  lc_flow_searches_finish (&searches);
}
END_TEST

/* A flow must be found at an endpoint that only itself and the balancer have in their views, after
 * its agent restarted (found by property tests, seed 5). */
START_TEST (test_owner_missing_in_other_views)
{
  RwWorld w;
  LcPacket first = rw_packet_of (1, true);
  LcPacket data = rw_packet_of (1, false);

  rw_start (&w, 3);
  rw_put_endpoint (&w, 4, LC_ENDPOINT_ACTIVE);
  rw_show_agent (&w, 4);
  rw_show_balancer (&w);
  ck_assert_int_eq (rw_send (&w, &first), 0);
  rw_restart_agent (&w, 4);
  ck_assert_int_eq (rw_send (&w, &data), 0);
  ck_assert_uint_eq (w.nodes[0].n_delivered + w.nodes[1].n_delivered + w.nodes[2].n_delivered +
                         w.nodes[4].n_delivered,
                     1);
  ck_assert_uint_eq (rw_take_resets (&w), 0);
  rw_stop (&w);
}
END_TEST

/* An absent backend server looks least loaded: returned first packets must stop new flows to it. */
static const struct
{
  const char *what;
  LcFlowBackendState backend;
  uint64_t max_returned;
} GONE[] = {
  { "unconfirmed after a restart", LC_FLOW_BACKEND_UNCONFIRMED, 1 },
  { "it had reported", LC_FLOW_BACKEND_OPEN, 3 },
};

static void
open_from_to (RwWorld *w, uint32_t from, uint32_t to)
{
  for (uint32_t f = from; f < to; f++)
    {
      LcPacket p = rw_packet_of (f, true);

      ck_assert_int_eq (rw_send (w, &p), 0);
    }
  rw_settle (w);
}

START_TEST (test_absent_backends_get_no_flows)
{
  RwWorld w;

  rw_start (&w, 3);
  w.nodes[0].is_full = true;
  lc_flow_agent_set_backend (&w.nodes[0].agent, GONE[_i].backend);
  open_from_to (&w, 0, RW_N_FLOWS / 2);
  ck_assert_uint_eq (w.n_resets, 0);
  ck_assert_msg (w.nodes[0].agent.counts.returned_total <= GONE[_i].max_returned, "%s: %lu",
                 GONE[_i].what, (unsigned long)w.nodes[0].agent.counts.returned_total);
  /* It reports: it gets new flows again. */
  w.nodes[0].is_full = false;
  lc_flow_agent_set_backend (&w.nodes[0].agent, LC_FLOW_BACKEND_OPEN);
  w.now_us += 6 * LC_US_PER_S;
  rw_settle (&w);
  open_from_to (&w, RW_N_FLOWS / 2, RW_N_FLOWS);
  ck_assert_msg (w.nodes[0].n_firsts > 0, "%s", GONE[_i].what);
  rw_stop (&w);
}
END_TEST

/* A backend server that resets each request at once looks idle and would get every new flow without
 * outlier detection. */
static const struct
{
  const char *what;
  uint32_t n_failing; /* of three */
  uint32_t n_most;    /* flows that these get, of RW_N_FLOWS */
  uint32_t n_least;
} FAILING[] = {
  { "one fails", 1, 4, 3 },
  { "two fail: no more are ejected than remain", 2, RW_N_FLOWS - 1, 6 },
  { "all fail: each flow is still assigned", 3, RW_N_FLOWS, RW_N_FLOWS },
};

START_TEST (test_failing_backends_are_ejected)
{
  uint32_t n_given = 0;
  RwWorld w;

  rw_start (&w, 3);
  for (uint32_t i = 0; i < FAILING[_i].n_failing; i++)
    w.nodes[i].is_failing = true;
  for (uint32_t f = 0; f < RW_N_FLOWS; f++)
    {
      LcPacket first = rw_packet_of (f, true);
      LcPacket request = rw_packet_of (f, false);

      request.payload_start = 34;
      request.total_len = 134;
      request.sequence = 1;
      ck_assert_int_eq (rw_send (&w, &first), 0);
      (void)rw_send (&w, &request);
      w.now_us += 2 * LC_US_PER_MS; /* no load report in between */
    }
  for (uint32_t i = 0; i < FAILING[_i].n_failing; i++)
    n_given += w.nodes[i].n_firsts;
  ck_assert_msg (n_given <= FAILING[_i].n_most && n_given >= FAILING[_i].n_least, "%s: %u",
                 FAILING[_i].what, n_given);
  rw_stop (&w);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("flow-return");
  TCase *tcase = tcase_create ("flow-return");

  tcase_add_loop_test (tcase, test_open_flows_are_found, 0, (int)G_N_ELEMENTS (EVENTS));
  tcase_add_test (tcase, test_new_flows_avoid_leaving_endpoint);
  tcase_add_test (tcase, test_cancelled_leave_takes_new_flows);
  tcase_add_loop_test (tcase, test_returned_first_packets_are_reassigned, 0,
                       (int)G_N_ELEMENTS (FULL));
  tcase_add_test (tcase, test_flow_follows_the_caller);
  tcase_add_test (tcase, test_unanswered_first_packets_are_reassigned);
  tcase_add_test (tcase, test_missing_agent_is_bypassed);
  tcase_add_loop_test (tcase, test_reach_suspects, 0, (int)G_N_ELEMENTS (REACH));
  tcase_add_test (tcase, test_reach_alone);
  tcase_add_test (tcase, test_other_service_is_refused);
  tcase_add_loop_test (tcase, test_lost_flows_are_reset, 0, (int)G_N_ELEMENTS (LOST));
  tcase_add_loop_test (tcase, test_absent_backends_get_no_flows, 0, (int)G_N_ELEMENTS (GONE));
  tcase_add_test (tcase, test_owner_missing_in_other_views);
  tcase_add_loop_test (tcase, test_search_ends_when_the_owner_is_found, 0,
                       (int)G_N_ELEMENTS (FOUND));
  tcase_add_test (tcase, test_search_needs_all_denials);
  tcase_add_test (tcase, test_denial_from_another_address);
  tcase_add_loop_test (tcase, test_failing_backends_are_ejected, 0,
                       (int)(sizeof FAILING / sizeof FAILING[0]));
  suite_add_tcase (suite, tcase);
  return lc_fake_run (suite);
}
