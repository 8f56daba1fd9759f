// Guards against merged counts that are wrong, negative or doubled after restarts, in any order.
#include "core/burn/lc-burn-merge.h"
#include "core/burn/lc-burn-ring.h"
#include "core/lc-error.h"

#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <random>
#include <vector>

namespace
{
const int64_t kEnd = 4000 * LC_US_PER_S;

struct Report
{
  LcBurnKey key;
  int64_t at_us;
  int64_t uptime_us;
  LcBurnSample sample;
};

struct Run
{
  uint64_t instance;
  int64_t start_us;
  std::vector<std::pair<int64_t, int> > events; // time, counter
  std::vector<LcBurnSample> samples;
};

// One run of a process: events at random times, samples at random times and at its end.
Run
makeRun (uint64_t instance, int64_t start, int64_t end)
{
  Run run{ instance, start, {}, {} };
  auto n = *rc::gen::inRange (0, 30);
  for (int i = 0; i < n; i++)
    run.events.emplace_back (*rc::gen::inRange (start, end),
                             *rc::gen::inRange<int> (0, LC_N_BURN_COUNTERS));
  std::sort (run.events.begin (), run.events.end ());
  auto times = *rc::gen::container<std::vector<int64_t> > (rc::gen::inRange (start, end));
  times.push_back (end);
  std::sort (times.begin (), times.end ());
  times.erase (std::unique (times.begin (), times.end ()), times.end ());
  for (auto t : times)
    {
      LcBurnSample sample = {};
      sample.uptime_us = t - start;
      for (const auto &event : run.events)
        if (event.first < t)
          sample.counts.values[event.second]++;
      run.samples.push_back (sample);
    }
  return run;
}

// A process that restarts a few times; each run has its own instance number.
std::vector<Run>
makeProcess (uint64_t id)
{
  std::vector<Run> runs;
  int64_t at = *rc::gen::inRange<int64_t> (0, kEnd / 4);
  auto n = *rc::gen::inRange (1, 5);
  for (int i = 0; i < n && at + 2 < kEnd; i++)
    {
      auto end = *rc::gen::inRange<int64_t> (at + 1, kEnd);
      runs.push_back (makeRun (id * 100 + (uint64_t)i, at, end));
      at = *rc::gen::inRange<int64_t> (end, kEnd);
    }
  return runs;
}

struct World
{
  std::vector<Run> runs;
  std::vector<Report> reports;
};

World
makeWorld ()
{
  World world;
  auto n = *rc::gen::inRange<uint64_t> (1, 4);
  for (uint64_t id = 1; id <= n; id++)
    for (auto &run : makeProcess (id))
      world.runs.push_back (run);
  for (const auto &run : world.runs)
    {
      LcBurnKey key = { run.instance, "vm", "ledger", "portmore", 0 };
      // A report may be sent at any time; only the start that it implies counts.
      for (const auto &sample : run.samples)
        for (int copies = *rc::gen::inRange (1, 3); copies > 0; copies--)
          {
            int64_t uptime = *rc::gen::inRange<int64_t> (0, kEnd);
            world.reports.push_back ({ key, run.start_us + uptime, uptime, sample });
          }
    }
  auto seed = *rc::gen::arbitrary<uint32_t> ();
  std::shuffle (world.reports.begin (), world.reports.end (), std::minstd_rand (seed));
  return world;
}

LcBurnMerge *
mergeOf (const World &world)
{
  LcBurnMerge *merge = lc_burn_merge_new ();
  for (const auto &r : world.reports)
    {
      int result = lc_burn_merge_add (merge, &r.key, r.at_us, r.uptime_us, &r.sample);
      RC_ASSERT (result == 0 || result == LC_ERR_EXISTS);
    }
  RC_ASSERT (lc_burn_merge_refused_samples (merge) == 0U);
  return merge;
}

bool
near (double a, double b)
{
  return std::fabs (a - b) < 1e-6;
}
} // namespace

int
main ()
{
  bool ok = rc::check ("the whole time holds each event once", [] {
    World world = makeWorld ();
    LcBurnMerge *merge = mergeOf (world);
    LcBurnWindow all = lc_burn_merge_window (merge, "ledger", nullptr, kEnd, kEnd + 1);
    for (int i = 0; i < LC_N_BURN_COUNTERS; i++)
      {
        uint64_t events = 0;
        for (const auto &run : world.runs)
          for (const auto &event : run.events)
            events += event.second == i;
        RC_ASSERT (all.growth[i] == (double)events);
      }
    lc_burn_merge_free (merge);
  });

  ok &= rc::check ("adjoining windows add up and none is negative", [] {
    World world = makeWorld ();
    LcBurnMerge *merge = mergeOf (world);
    auto cut = *rc::gen::inRange<int64_t> (1, kEnd);
    LcBurnWindow all = lc_burn_merge_window (merge, nullptr, "portmore", kEnd, kEnd + 1);
    LcBurnWindow early = lc_burn_merge_window (merge, nullptr, "portmore", cut, cut + 1);
    LcBurnWindow late = lc_burn_merge_window (merge, nullptr, "portmore", kEnd, kEnd - cut);
    for (int i = 0; i < LC_N_BURN_COUNTERS; i++)
      {
        RC_ASSERT (early.growth[i] >= 0.0);
        RC_ASSERT (late.growth[i] >= 0.0);
        // A series whose first sample comes after the cut counts from that sample in the late
        // window, so growth may be missing there, but it is never counted twice.
        RC_ASSERT (early.growth[i] + late.growth[i] <= all.growth[i] + 1e-6);
        if (late.covered_us == kEnd - cut && early.covered_us == cut + 1)
          RC_ASSERT (near (early.growth[i] + late.growth[i], all.growth[i]));
      }
    lc_burn_merge_free (merge);
  });

  ok &= rc::check ("a count that falls inside one instance is refused", [] {
    LcBurnMerge *merge = lc_burn_merge_new ();
    LcBurnKey key = { 7, "vm", "ledger", "portmore", 0 };
    LcBurnSample first = {};
    LcBurnSample second = {};
    first.uptime_us = *rc::gen::inRange (1, 1000);
    second.uptime_us = first.uptime_us + *rc::gen::inRange (1, 1000);
    auto counter = *rc::gen::inRange<int> (0, LC_N_BURN_COUNTERS);
    first.counts.values[counter] = *rc::gen::inRange<uint64_t> (1, 100);
    second.counts.values[counter] = *rc::gen::inRange<uint64_t> (0, first.counts.values[counter]);
    bool newestFirst = *rc::gen::arbitrary<bool> ();
    RC_ASSERT (lc_burn_merge_add (merge, &key, 0, 0, newestFirst ? &second : &first) == 0);
    RC_ASSERT (lc_burn_merge_add (merge, &key, 0, 0, newestFirst ? &first : &second) ==
               LC_ERR_CORRUPT);
    RC_ASSERT (lc_burn_merge_refused_samples (merge) == 1U);
    lc_burn_merge_free (merge);
  });

  ok &= rc::check ("a ring reads in order and keeps its newest sample", [] {
    static LcBurnRing ring;
    LcBurnSample samples[LC_BURN_RING_SAMPLES];
    LcBurnCounts counts = {};
    int64_t uptime = 0;
    int64_t taken = -1;
    ring = {};
    auto ticks = *rc::gen::inRange (1, 2000);
    auto maxStep = *rc::gen::inRange<int64_t> (1, 5000);
    for (int i = 0; i < ticks; i++)
      {
        if (uptime >= ring.levels[0].due_us)
          taken = uptime;
        lc_burn_ring_tick (&ring, uptime, &counts);
        counts.values[LC_BURN_GOOD] += (uint64_t)i;
        uptime += (i * 7919 % maxStep) * LC_US_PER_S / 10;
      }
    size_t n = lc_burn_ring_read (&ring, samples, LC_BURN_RING_SAMPLES);
    RC_ASSERT (n >= 1U);
    RC_ASSERT (samples[n - 1].uptime_us == taken);
    for (size_t i = 1; i < n; i++)
      {
        RC_ASSERT (samples[i - 1].uptime_us < samples[i].uptime_us);
        RC_ASSERT (samples[i - 1].counts.values[0] <= samples[i].counts.values[0]);
      }
  });
  return ok ? 0 : 1;
}
