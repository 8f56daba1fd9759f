/* Searches for flow owners in services of hundreds and thousands of endpoints, after the homes lost
 * them: held flows are reached and never reset, lost flows are reset, and the number of messages
 * does not grow with that of flows. */
#include "return-world.h"
#include "tests/fakes/lc-fake-run.h"

#include <string.h>

enum
{
  N_SMALL = 163,
  N_LARGE = 2000,
  N_COPIES = 4, /* of a packet within 1.4 s, the first included */
};

typedef enum
{
  NOTHING,
  RESTART_HOMES,  /* all agents but the owners */
  RESTART_OWNERS, /* only these */
  RESTART_ALL,
  STALE_OWNERS, /* endpoints join, and the owners keep the old view */
  LOSE_MESSAGES,
} Event;

static const struct
{
  const char *what;
  Event event;
  int n;
} HELD[] = {
  { "homes restarted", RESTART_HOMES, N_SMALL },
  { "owners restarted", RESTART_OWNERS, N_SMALL },
  { "all agents restarted", RESTART_ALL, N_SMALL },
  { "owners with an old view", STALE_OWNERS, N_SMALL },
  { "homes restarted, messages lost", LOSE_MESSAGES, N_SMALL },
  { "homes restarted, 2,000 endpoints", RESTART_HOMES, N_LARGE },
  { "owners restarted, 2,000 endpoints", RESTART_OWNERS, N_LARGE },
};

static bool
owns_any (const RwNode *node)
{
  for (int f = 0; f < RW_N_FLOWS; f++)
    if (node->holds[f])
      return true;
  return false;
}

static void
show_all_but_owners (RwWorld *w)
{
  for (int i = 0; i < w->n_agents; i++)
    if (!owns_any (&w->nodes[i]))
      rw_show_agent (w, i);
  rw_show_balancer (w);
}

static void
apply_event (RwWorld *w, Event event)
{
  for (int i = 0; i < w->n_agents; i++)
    {
      bool owns = owns_any (&w->nodes[i]);

      if (event == RESTART_ALL || (event == RESTART_OWNERS && owns) ||
          ((event == RESTART_HOMES || event == LOSE_MESSAGES) && !owns))
        rw_restart_agent (w, i);
    }
  if (event == LOSE_MESSAGES)
    w->lose_each = 5;
  if (event != STALE_OWNERS)
    return;
  for (int i = N_SMALL; i < w->n_agents; i++)
    rw_put_endpoint (w, i, LC_ENDPOINT_ACTIVE);
  show_all_but_owners (w);
}

static uint32_t
n_delivered (const RwWorld *w)
{
  uint32_t n = 0;

  for (int i = 0; i < w->n_agents; i++)
    n += w->nodes[i].n_delivered;
  return n;
}

/* Advances the time to the packet's next copy, tick by tick. */
static void
pass_until_copy (RwWorld *w, int copy)
{
  for (int64_t us = 0; us < (200 << copy) * LC_US_PER_MS; us += LC_FLOW_AGENT_TICK_US)
    rw_pass (w, LC_FLOW_AGENT_TICK_US);
}

/* Sends copies of a packet until the backend server that holds its flow gets one. */
static bool
is_reached (RwWorld *w, uint32_t flow)
{
  LcPacket p = rw_packet_of (flow, false);
  uint32_t before = n_delivered (w);

  for (int copy = 0; copy < N_COPIES && n_delivered (w) == before; copy++)
    {
      (void)rw_send (w, &p);
      pass_until_copy (w, copy);
    }
  return n_delivered (w) > before;
}

/* Held flows are reached, not reset, after agent restarts, lagging views and lost messages. */
START_TEST (test_held_flows_are_reached)
{
  int n_more = HELD[_i].event == STALE_OWNERS ? 30 : 0;
  RwWorld w;

  rw_start_sized (&w, HELD[_i].n, HELD[_i].n + n_more, true);
  w.idle_us = 20 * LC_US_PER_S;
  rw_open_flows (&w);
  apply_event (&w, HELD[_i].event);
  for (uint32_t f = 0; f < RW_N_FLOWS; f++)
    {
      ck_assert_msg (rw_n_held (&w, f) == 1, "%s: flow %u", HELD[_i].what, f);
      ck_assert_msg (is_reached (&w, f), "%s: flow %u is not reached", HELD[_i].what, f);
    }
  ck_assert_msg (rw_take_resets (&w) == 0, "%s", HELD[_i].what);
  /* With one more packet of each, the homes have the owners again. */
  w.lose_each = 0;
  for (uint32_t f = 0; f < RW_N_FLOWS; f++)
    (void)is_reached (&w, f);
  w.n_searches = 0;
  rw_check_all_reach (&w, HELD[_i].what);
  ck_assert_msg (w.n_searches == 0, "%s: %u searches after registration", HELD[_i].what,
                 w.n_searches);
  rw_stop (&w);
}
END_TEST

/* After a loss of all flows at once every caller is reset, with a bounded number of messages. */
static const struct
{
  const char *what;
  int n;
  int n_restarted; /* agents that restart while their backend servers run on */
  uint32_t lose_each;
  uint64_t max_messages; /* rounds of 16 searchers, and load reports */
} LOST[] = {
  { "all backend servers restarted", N_SMALL, 0, 0, 15000 },
  { "messages lost", N_SMALL, 0, 7, 30000 },
  { "some agents restarted", N_SMALL, 20, 0, 15000 },
  { "2,000 endpoints", N_LARGE, 0, 0, 180000 },
};

START_TEST (test_lost_flows_are_reset)
{
  uint32_t n_resets = 0;
  uint64_t before;
  RwWorld w;

  rw_start_sized (&w, LOST[_i].n, LOST[_i].n, true);
  w.idle_us = 20 * LC_US_PER_S;
  rw_settle (&w);
  for (int i = 0; i < LOST[_i].n_restarted; i++)
    rw_restart_agent (&w, i);
  w.lose_each = LOST[_i].lose_each;
  before = w.n_messages;
  for (int copy = 0; copy < N_COPIES && n_resets < RW_N_FLOWS; copy++)
    {
      for (uint32_t f = 0; f < RW_N_FLOWS; f++)
        {
          LcPacket p = rw_packet_of (f, false);

          (void)rw_send (&w, &p);
        }
      pass_until_copy (&w, copy);
      n_resets += rw_take_resets (&w);
    }
  ck_assert_msg (n_resets >= RW_N_FLOWS, "%s: %u of %d flows", LOST[_i].what, n_resets, RW_N_FLOWS);
  ck_assert_msg (w.n_messages - before <= LOST[_i].max_messages, "%s: %lu messages", LOST[_i].what,
                 (unsigned long)(w.n_messages - before));
  rw_stop (&w);
}
END_TEST

/* A silent endpoint may hold the flow: no reset before it has been silent for longer than a restart
 * takes. */
START_TEST (test_silent_endpoint_delays_resets)
{
  uint32_t n_resets = 0;
  int64_t began_us;
  RwWorld w;

  rw_start_sized (&w, N_SMALL, N_SMALL, true);
  rw_settle (&w);
  w.nodes[77].is_up = false;
  began_us = w.now_us;
  /* A copy each 200 ms, as from many callers. */
  while (w.now_us - began_us < 5 * LC_US_PER_S)
    {
      for (uint32_t f = 0; f < RW_N_FLOWS; f++)
        {
          LcPacket p = rw_packet_of (f, false);

          (void)rw_send (&w, &p);
        }
      pass_until_copy (&w, 0);
      n_resets += rw_take_resets (&w);
      if (w.now_us - began_us < 24 * LC_US_PER_S / 10)
        ck_assert_uint_eq (n_resets, 0);
    }
  ck_assert_uint_ge (n_resets, RW_N_FLOWS);
  rw_stop (&w);
}
END_TEST

/* Guards against queries for every searched flow to endpoints that are gone: after a loss of all
 * power searchers queued tens of megabytes of them to endpoints that had been replaced before, and
 * queried the live ones too late.  Now a silent endpoint gets ten queries a second, and only the
 * queries to those that answer grow with the flows and the time. */
static const struct
{
  const char *what;
  int n;
  int n_silent;
  int64_t for_us;
} SILENT[] = {
  { "a few, 1 s", N_SMALL, 20, LC_US_PER_S },
  { "half of them, 1 s", N_SMALL, N_SMALL / 2, LC_US_PER_S },
  { "half of them, 2 s", N_SMALL, N_SMALL / 2, 2 * LC_US_PER_S },
  { "all but a few, 2 s", N_SMALL, N_SMALL - 10, 2 * LC_US_PER_S },
};

/* Has `searcher` search for a new lost flow at each tick; returns their number. */
static uint32_t
search_for_lost_flows (RwWorld *w, LcFlowAgent *searcher, int64_t for_us, uint32_t *most_at_once)
{
  int64_t began_us = w->now_us;
  uint32_t n = 0;

  while (w->now_us - began_us < for_us)
    {
      LcEnvelope e = { .mode = LC_MODE_FIND };
      LcPacket p = rw_packet_of (0, false);

      p.key.source_port = (uint16_t)(20000 + n++);
      (void)lc_flow_finder_search (searcher, &e, &p, w->now_us);
      *most_at_once = MAX (*most_at_once, g_queue_get_length (searcher->outbox));
      rw_pass (w, LC_FLOW_AGENT_TICK_US);
    }
  return n;
}

static void
set_last_up (RwWorld *w, int n_last, bool is_up)
{
  for (int i = 0; i < n_last; i++)
    w->nodes[w->n_agents - 1 - i].is_up = is_up;
}

START_TEST (test_queries_to_silent_endpoints_are_bounded)
{
  uint64_t n_rounds = (uint64_t)(SILENT[_i].for_us / LC_FLOW_ROUND_INTERVAL_US) + 1;
  uint64_t n_retries = (uint64_t)(SILENT[_i].for_us / LC_FLOW_ROUND_RETRY_US) + 1;
  uint64_t n_silent = (uint64_t)SILENT[_i].n_silent;
  uint64_t max_queries = ((uint64_t)SILENT[_i].n - n_silent) * n_rounds + n_silent * n_retries;
  uint32_t most_at_once = 0;
  LcFlowAgent *searcher;
  RwWorld w;

  rw_start_sized (&w, SILENT[_i].n, SILENT[_i].n, true);
  rw_settle (&w);
  set_last_up (&w, SILENT[_i].n_silent, false);
  searcher = &w.nodes[0].agent;
  (void)search_for_lost_flows (&w, searcher, SILENT[_i].for_us, &most_at_once);
  ck_assert_msg (searcher->counts.queries_total <= max_queries, "%s: %lu queries, %lu at most",
                 SILENT[_i].what, (unsigned long)searcher->counts.queries_total,
                 (unsigned long)max_queries);
  ck_assert_msg (most_at_once <= 2U * (uint32_t)SILENT[_i].n, "%s: %u queued at once",
                 SILENT[_i].what, most_at_once);
  rw_stop (&w);
}
END_TEST

/* An endpoint that responds again is queried at once for all searched flows, as their callers wait
 * for it. */
START_TEST (test_returning_endpoints_are_queried_at_once)
{
  uint32_t most_at_once = 0;
  uint32_t n_flows;
  uint32_t n_resets;
  RwWorld w;

  rw_start_sized (&w, N_SMALL, N_SMALL, true);
  rw_settle (&w);
  set_last_up (&w, N_SMALL / 2, false);
  n_flows = search_for_lost_flows (&w, &w.nodes[0].agent, LC_US_PER_S, &most_at_once);
  ck_assert_uint_eq (rw_take_resets (&w), 0);
  set_last_up (&w, N_SMALL / 2, true);
  pass_until_copy (&w, 0);
  n_resets = rw_take_resets (&w);
  ck_assert_msg (n_resets == n_flows, "%u of %u callers were reset", n_resets, n_flows);
  rw_stop (&w);
}
END_TEST

/* After a loss of all power each endpoint is announced again, and agents' views differ for a
 * second.  A newer view without a new endpoint must not delay the resets.  A new endpoint may hold
 * the flow, and the search waits for it. */
static const struct
{
  const char *what;
  bool has_joined; /* an endpoint that was not there before */
  uint32_t n_reset_at_once;
} NEWER_VIEWS[] = {
  { "endpoints lost and back", false, RW_N_FLOWS },
  { "and a new endpoint joined", true, 0 },
};

static uint32_t
resets_within_a_copy (RwWorld *w)
{
  for (uint32_t f = 0; f < RW_N_FLOWS; f++)
    {
      LcPacket p = rw_packet_of (f, false);

      (void)rw_send (w, &p);
    }
  pass_until_copy (w, 0);
  return rw_take_resets (w);
}

START_TEST (test_restarts_delay_no_resets)
{
  uint32_t n_reset;
  RwWorld w;

  rw_start_sized (&w, N_SMALL, N_SMALL + 1, true);
  w.idle_us = 20 * LC_US_PER_S;
  rw_settle (&w);
  for (int i = 0; i < N_SMALL; i++)
    {
      rw_put_endpoint (&w, i, LC_ENDPOINT_LOST);
      rw_put_endpoint (&w, i, LC_ENDPOINT_ACTIVE);
    }
  if (NEWER_VIEWS[_i].has_joined)
    rw_put_endpoint (&w, N_SMALL, LC_ENDPOINT_ACTIVE);
  rw_show_agent (&w, 5); /* no other agent */
  n_reset = resets_within_a_copy (&w);
  if (NEWER_VIEWS[_i].n_reset_at_once > 0)
    ck_assert_msg (n_reset >= NEWER_VIEWS[_i].n_reset_at_once, "%s: %u", NEWER_VIEWS[_i].what,
                   n_reset);
  else
    ck_assert_msg (n_reset < RW_N_FLOWS / 4, "%s: %u", NEWER_VIEWS[_i].what, n_reset);
  rw_show_view (&w);
  for (int copy = 1; copy < N_COPIES && n_reset < RW_N_FLOWS; copy++)
    {
      n_reset += resets_within_a_copy (&w);
      pass_until_copy (&w, copy);
    }
  ck_assert_msg (n_reset >= RW_N_FLOWS, "%s: %u resets in the end", NEWER_VIEWS[_i].what, n_reset);
  rw_stop (&w);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("flow-finder");
  TCase *tcase = tcase_create ("finder");

  tcase_set_timeout (tcase, 30);
  tcase_add_loop_test (tcase, test_held_flows_are_reached, 0, (int)G_N_ELEMENTS (HELD));
  tcase_add_loop_test (tcase, test_lost_flows_are_reset, 0, (int)G_N_ELEMENTS (LOST));
  tcase_add_loop_test (tcase, test_restarts_delay_no_resets, 0, (int)G_N_ELEMENTS (NEWER_VIEWS));
  tcase_add_test (tcase, test_silent_endpoint_delays_resets);
  tcase_add_test (tcase, test_returning_endpoints_are_queried_at_once);
  tcase_add_loop_test (tcase, test_queries_to_silent_endpoints_are_bounded, 0,
                       (int)G_N_ELEMENTS (SILENT));
  suite_add_tcase (suite, tcase);
  return lc_fake_run (suite);
}
