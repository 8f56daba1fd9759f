/* flow-order: runs a sequence of changes in a simulated flow plane and checks its invariants. */
#ifndef FLOW_ORDER_HH
#define FLOW_ORDER_HH

#include "bench/lc-flow-world.h"

#include <cstdlib>
#include <string>
#include <vector>

struct Step
{
  int64_t gap_us;
  LcFlowChangeKind kind;
  uint32_t subject;
  uint32_t amount;
};

struct Network
{
  uint64_t seed;
  bool is_udp;
  int64_t reorder_us;
  int64_t view_delay_us;
  int64_t uneven_us; /* additional view delay of one balancer in three */
  uint32_t loss_permille;
};

/* TRACE_FLOW=37 prints the path of that flow's packets and messages. */
inline uint32_t
traced_flow ()
{
  const char *value = std::getenv ("TRACE_FLOW");

  return value != nullptr ? static_cast<uint32_t> (std::strtoul (value, nullptr, 10)) : 0;
}

inline LcFlowWorldDesc
world_desc (const Network &w)
{
  LcFlowWorldDesc desc = {};

  desc.seed = w.seed;
  desc.n_endpoints = 5;
  desc.n_balancers = 4;
  desc.flows = 5;
  desc.length_us = 60 * LC_US_PER_S;
  desc.flow_mean_us = 15 * LC_US_PER_S;
  desc.packet_gap_us = LC_US_PER_S / 2;
  desc.view_delay_us = w.view_delay_us;
  desc.uneven_us = w.uneven_us;
  desc.reorder_us = w.reorder_us;
  desc.loss_permille = w.loss_permille;
  desc.hand_over_us = 6 * LC_US_PER_S;
  desc.duplicate_permille = 300;
  desc.is_udp = w.is_udp;
  desc.checks_tables = true;
  desc.trace_flow = traced_flow ();
  return desc;
}

struct Outcome
{
  LcFlowWorldCounts counts;
  std::string violation; /* empty: none */
};

inline Outcome
run (const LcFlowWorldDesc &desc, const std::vector<Step> &steps)
{
  LcFlowWorld *world = lc_flow_world_new (&desc);
  int64_t when_us = 2 * LC_US_PER_S;
  Outcome outcome;

  for (const Step &s : steps)
    {
      LcFlowChange change = { s.kind, s.subject, s.amount };

      when_us += s.gap_us;
      if (when_us > 36 * LC_US_PER_S)
        break; /* too late for a broken flow to show before the end */
      lc_flow_world_at (world, when_us, change);
    }
  lc_flow_world_run (world);
  outcome.counts = *lc_flow_world_counts (world);
  outcome.violation = lc_flow_world_complaint (world);
  lc_flow_world_free (world);
  return outcome;
}

inline bool
keeps_invariants (const Outcome &o)
{
  return o.counts.broken == o.counts.doomed && o.counts.second_owners == 0 &&
         o.counts.table_faults == 0 && o.counts.misdelivered == 0 && o.counts.late_accepts == 0 &&
         o.counts.endless == 0;
}

/* A balancer that reconnects after hundreds of revisions, having steered by its old view. */
inline std::vector<Step>
long_absence (uint32_t revisions, uint32_t subject)
{
  std::vector<Step> steps = { { 0, LC_CHANGE_BALANCER_CUT, subject, 0 } };

  for (uint32_t i = 0; i < revisions; i++)
    steps.push_back ({ 50000,
                       i % 40 == 7    ? LC_CHANGE_JOIN
                       : i % 40 == 17 ? LC_CHANGE_RESTART
                       : i % 40 == 27 ? LC_CHANGE_DRAIN
                                      : LC_CHANGE_WEIGHT,
                       i, i * 13 });
  steps.push_back ({ 0, LC_CHANGE_BALANCER_HEAL, 0, 0 });
  return steps;
}

#endif /* FLOW_ORDER_HH */
