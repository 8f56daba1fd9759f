/* Open flows whose packets come in at one data centre and then at another, while an agent is down:
 * their owners keep them. */
#include "return-world.h"
#include "tests/fakes/lc-fake-run.h"

#include <check.h>

enum
{
  N_DCS = 3,    /* each with one endpoint and one balancer */
  N_PACKETS = 4 /* of a flow, after its first one */
};

/* An endpoint in each data centre, whose tables have all flows of their backend servers. */
static void
start_in_three_dcs (RwWorld *w)
{
  rw_start_sized (w, N_DCS, N_DCS, true);
  for (int i = 0; i < N_DCS; i++)
    {
      rw_place (w, i, (LcDcId)(i + 1));
      rw_place_entry (w, (uint32_t)i, (LcDcId)(i + 1));
    }
  rw_show_view (w);
}

/* Opens flows at entry 0; a first packet for an agent that is down is lost. */
static uint32_t
open_flows (RwWorld *w)
{
  uint32_t n_open = 0;

  for (uint32_t f = 0; f < RW_N_FLOWS; f++)
    {
      LcPacket first = rw_packet_of (f, true);

      (void)rw_send (w, &first);
      n_open += rw_n_held (w, f) > 0;
    }
  return n_open;
}

/* Sends a packet of each open flow through this balancer; returns how many reached their owners. */
static uint32_t
use_flows (RwWorld *w, uint32_t entry)
{
  uint32_t before = rw_n_delivered (w);

  w->entry = entry;
  for (uint32_t f = 0; f < RW_N_FLOWS; f++)
    {
      LcPacket p = rw_packet_of (f, false);

      if (rw_n_held (w, f) > 0)
        (void)rw_send (w, &p);
    }
  return rw_n_delivered (w) - before;
}

static uint32_t
n_refused (const RwWorld *w)
{
  uint64_t n = 0;

  for (int i = 0; i < w->n_agents; i++)
    n += w->nodes[i].agent.counts.released_total[LC_FLOW_RELEASE_REFUSED];
  return (uint32_t)n;
}

static const struct
{
  const char *what;
  int down;                    /* agent that is down until the last packets; -1: none */
  uint32_t entries[N_PACKETS]; /* balancers that the packets come through */
  bool settles;                /* messages are delivered after each packet */
} MOVES[] = {
  { "no move", 2, { 0, 0, 0, 0 }, true },
  { "callers move, another agent is down", 2, { 1, 1, 1, 1 }, true },
  { "callers move there and back", 2, { 1, 0, 1, 0 }, true },
  { "the agent of the other data centre is down", 1, { 1, 1, 1, 1 }, true },
  { "callers move to the data centre whose agent is down", 2, { 2, 2, 2, 2 }, true },
  { "any balancer, no agent is down", -1, { 1, 2, 0, 1 }, true },
  { "any balancer, before the first registration is answered", -1, { 1, 2, 0, 2 }, false },
  { "any balancer, an agent is down", 1, { 2, 0, 1, 2 }, true },
};

/* Callers moved to another data centre while a registration of their flows was unanswered: the
 * owner registered them with itself, refused, released them, and later reset their callers. */
START_TEST (test_owner_keeps_flows_of_moved_callers)
{
  uint32_t n_open;
  RwWorld w;

  start_in_three_dcs (&w);
  if (MOVES[_i].down >= 0)
    rw_stop_agent (&w, MOVES[_i].down);
  n_open = open_flows (&w);
  ck_assert_uint_gt (n_open, 0);
  for (int i = 0; i < N_PACKETS; i++)
    {
      if (i == N_PACKETS - 1 && MOVES[_i].down >= 0)
        rw_restart_agent (&w, MOVES[_i].down);
      (void)use_flows (&w, MOVES[_i].entries[i]);
      if (MOVES[_i].settles)
        rw_settle (&w);
    }
  rw_settle (&w);
  rw_settle (&w);
  ck_assert_msg (n_refused (&w) == 0, "%s: %u released", MOVES[_i].what, n_refused (&w));
  for (uint32_t entry = 0; entry < RW_N_ENTRIES; entry++)
    {
      ck_assert_msg (use_flows (&w, entry) == n_open, "%s: entry %u", MOVES[_i].what, entry);
      rw_settle (&w);
    }
  ck_assert_uint_eq (w.n_resets + rw_take_resets (&w), 0);
  rw_stop (&w);
}
END_TEST

/* An acknowledgement counts for the home that sent it, not for its place in the list of homes that
 * the flow had before its callers moved. */
START_TEST (test_moved_flow_registers_with_each_new_home)
{
  RwWorld w;

  start_in_three_dcs (&w);
  rw_stop_agent (&w, 2);
  ck_assert_uint_gt (open_flows (&w), 0);
  rw_settle (&w);
  (void)use_flows (&w, 1);
  rw_restart_agent (&w, 2);
  for (int i = 0; i < 3; i++)
    rw_settle (&w);
  w.n_searches = 0;
  (void)use_flows (&w, 1);
  ck_assert_uint_eq (w.n_searches, 0);
  rw_stop (&w);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("flow-arrival");
  TCase *tc = tcase_create ("arrival");

  tcase_add_loop_test (tc, test_owner_keeps_flows_of_moved_callers, 0, G_N_ELEMENTS (MOVES));
  tcase_add_test (tc, test_moved_flow_registers_with_each_new_home);
  suite_add_tcase (suite, tc);
  return lc_fake_run (suite);
}
