/* Cold backend servers return while callers offer more than they can take.  No server gets more
 * first packets in any second than its rate with overshoot and slack, whichever agents restart and
 * however old the others' views are. */
#include "prop-steps.hh"
#include "return-world.h"

#include <rapidcheck.h>

#include <algorithm>
#include <vector>

namespace
{

const int N_AGENTS = 4;
const uint32_t RATE = 6; /* a second */
const uint32_t OVERSHOOT_PERMILLE = 1500;
const uint32_t SLACK = 5;
const uint32_t BOUND = RATE * OVERSHOOT_PERMILLE / 1000 + SLACK;

enum Kind
{
  BURST,
  PASS_TIME,
  RESTART,
  EVACUATE,
  TAKE_BACK,
  SHOW_AGENT,
  N_KINDS
};

struct Load
{
  RwWorld w;
  std::vector<int64_t> firsts[N_AGENTS]; /* times of the first packets that each server took */
  std::vector<int64_t> starts[N_AGENTS]; /* start times of its agent */
  uint32_t next_flow;
};

/* Opens `n` flows in turn, each with a source port of its own.  The world's table of held flows is
 * small, so its rows are reused. */
void
offer (Load &l, uint32_t n)
{
  for (uint32_t k = 0; k < n; k++)
    {
      uint32_t flow = l.next_flow++ % RW_N_FLOWS;
      LcPacket p = rw_packet_of (flow, true);
      uint32_t before[N_AGENTS];

      p.key.source_port = (uint16_t)(2000 + l.next_flow);
      for (int i = 0; i < N_AGENTS; i++)
        {
          before[i] = l.w.nodes[i].n_firsts;
          l.w.nodes[i].holds[flow] = false;
        }
      (void)rw_send (&l.w, &p);
      for (int i = 0; i < N_AGENTS; i++)
        if (l.w.nodes[i].n_firsts > before[i])
          l.firsts[i].push_back (l.w.now_us);
    }
}

uint32_t
n_within (const std::vector<int64_t> &times, int64_t from_us)
{
  return (uint32_t)std::count_if (times.begin (), times.end (), [=] (int64_t t) {
    return t >= from_us && t < from_us + LC_US_PER_S;
  });
}

/* The limiter guarantees the bound for at most two starts of an agent within a second. */
void
check_bound (const Load &l)
{
  for (int i = 0; i < N_AGENTS; i++)
    for (int64_t from_us : l.firsts[i])
      if (n_within (l.starts[i], from_us) <= 2)
        RC_ASSERT (n_within (l.firsts[i], from_us) <= BOUND);
}

void
set_cold (Load &l, int i)
{
  l.w.nodes[i].agent.first_packets.desc = { OVERSHOOT_PERMILLE, SLACK };
  lc_flow_agent_set_cold (&l.w.nodes[i].agent, true);
}

void
carry_out (Load &l, const Step &s)
{
  int agent = (int)(s.subject % N_AGENTS);

  switch (s.kind)
    {
    case BURST:
      offer (l, s.subject % 40);
      break;
    case PASS_TIME:
      rw_pass (&l.w, (int64_t)(s.subject % 600) * LC_US_PER_MS);
      break;
    case RESTART:
      rw_restart_agent (&l.w, agent);
      set_cold (l, agent);
      l.starts[agent].push_back (l.w.now_us);
      break;
    case EVACUATE:
    case TAKE_BACK:
      rw_evacuate (&l.w, (LcDcId)(s.subject % 2 + 1), s.kind == EVACUATE);
      break;
    default:
      rw_show_agent (&l.w, agent);
      break;
    }
}

void
run_load (const std::vector<Step> &all)
{
  Load l = {};

  rw_start (&l.w, N_AGENTS);
  l.w.now_us = 10 * LC_US_PER_S;
  for (int i = 0; i < N_AGENTS; i++)
    {
      rw_place (&l.w, i, (LcDcId)(i / 2 + 1));
      set_cold (l, i);
    }
  rw_set_cold_rate (&l.w, RATE * 1000);
  rw_show_view (&l.w);
  for (const Step &s : all)
    carry_out (l, s);
  check_bound (l);
  rw_stop (&l.w);
}

} // namespace

int
main ()
{
  bool ok = rc::check ("a cold backend server gets no more than its bound in any second",
                       [] { run_load (*steps (N_KINDS)); });

  ok = rc::check ("flows beyond the cold servers' rate go to warm servers at once",
                  [] {
                    uint32_t n = *rc::gen::inRange<uint32_t> (1, RW_N_FLOWS);
                    Load l = {};

                    rw_start (&l.w, N_AGENTS);
                    l.w.now_us = 10 * LC_US_PER_S;
                    for (int i = 0; i < N_AGENTS; i++)
                      {
                        rw_place (&l.w, i, (LcDcId)(i / 2 + 1));
                        if (i < 2)
                          set_cold (l, i);
                      }
                    rw_set_cold_rate (&l.w, RATE * 1000);
                    rw_show_view (&l.w);
                    offer (l, n);
                    size_t n_taken = 0;
                    for (int i = 0; i < N_AGENTS; i++)
                      n_taken += l.firsts[i].size ();
                    RC_ASSERT (n_taken == n);
                    RC_ASSERT (l.w.n_resets == 0U);
                    rw_stop (&l.w);
                  }) &&
       ok;
  return ok ? 0 : 1;
}
