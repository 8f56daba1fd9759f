/* Guards against wrong burn rates, urgencies, budgets and imbalances. */
#include "core/burn/lc-burn-report.h"
#include "core/burn/lc-burn-ring.h"
#include "tests/fakes/lc-fake-run.h"

#include <check.h>
#include <math.h>
#include <stdlib.h>

#define HOUR_US (3600 * LC_US_PER_S)
#define MINUTE_US (60 * LC_US_PER_S)
#define DAY_US (24 * HOUR_US)

/* Counts at an age before now, of a process with even traffic that started three days ago. */
typedef struct
{
  int64_t age_us;
  uint64_t good;
  uint64_t bad;
} Point;

static LcBurnMerge *
make_merge (const Point *points, size_t n, LcBurnCounter bad)
{
  LcBurnMerge *merge = lc_burn_merge_new ();
  LcBurnKey key = { 1, "lb-1", "order-desk", "hall-atl", 0 };

  for (size_t i = 0; i < n; i++)
    {
      LcBurnSample sample = { .uptime_us = 3 * DAY_US - points[i].age_us };

      sample.counts.values[LC_BURN_GOOD] = points[i].good;
      sample.counts.values[bad] = points[i].bad;
      ck_assert_int_eq (lc_burn_merge_add (merge, &key, 3 * DAY_US, 3 * DAY_US, &sample), 0);
    }
  return merge;
}

/* The objective allows 1 bad in 1 000.  Rates are over 5m 1h 30m 6h 6h 3d. */
static const struct
{
  const char *name;
  Point points[4];
  size_t n;
  double rates[6];
  LcBurnUrgency urgency;
  double budget_left;
} RATES[] = {
  { "no requests", { { 0, 0, 0 } }, 1, { 0 }, LC_BURN_QUIET, 1.0 },
  { "all good", { { 0, 1000000, 0 } }, 1, { 0 }, LC_BURN_QUIET, 1.0 },
  { "on the budget",
    { { 3 * DAY_US, 0, 0 }, { 0, 999000, 1000 } },
    2,
    { 1, 1, 1, 1, 1, 1 },
    LC_BURN_QUIET,
    0.0 },
  { "three times the budget for days",
    { { 3 * DAY_US, 0, 0 }, { 0, 997000, 3000 } },
    2,
    { 3, 3, 3, 3, 3, 3 },
    LC_BURN_TICKET,
    -2.0 },
  { "bad for an hour",
    { { 3 * DAY_US, 0, 0 }, { HOUR_US, 711000, 0 }, { 0, 720000, 1000 } },
    3,
    { 100, 100, 100, 100.0 / 6, 100.0 / 6, 100.0 / 72.1 },
    LC_BURN_PAGE,
    1 - 100.0 / 72.1 },
  { "was bad, is over: the short windows are clean",
    { { 3 * DAY_US, 0, 0 },
      { 2 * HOUR_US, 0, 1000 },
      { HOUR_US, 10000, 1000 },
      { 0, 20000, 1000 } },
    4,
    { 0, 0, 0, 57.14 / 20.057, 57.14 / 20.057, 1000.0 / 21 },
    LC_BURN_TICKET,
    1 - 1000.0 / 21 },
};

START_TEST (test_rates)
{
  LcBurnMerge *merge = make_merge (RATES[_i].points, RATES[_i].n, LC_BURN_FAILED);
  LcBurnObjective objective = { .service = "order-desk", .good_ppm = 999000 };
  LcBurnReport report;

  lc_burn_report_compute (&report, merge, &objective, NULL, 3 * DAY_US);
  for (int i = 0; i < 6; i++)
    ck_assert_msg (fabs (report.spans[i].request_rate - RATES[_i].rates[i]) <
                       0.05 * fmax (1.0, RATES[_i].rates[i]),
                   "%s, %s: %g, not %g", RATES[_i].name, report.spans[i].name,
                   report.spans[i].request_rate, RATES[_i].rates[i]);
  ck_assert_int_eq (report.request_urgency, RATES[_i].urgency);
  ck_assert_int_eq (report.flow_urgency, LC_BURN_QUIET);
  ck_assert_msg (fabs (report.request_budget_left - RATES[_i].budget_left) <
                     0.05 * fmax (1.0, fabs (RATES[_i].budget_left)),
                 "%s: %g", RATES[_i].name, report.request_budget_left);
  lc_burn_merge_free (merge);
}
END_TEST

static const LcBurnCounter BAD[] = { LC_BURN_LATE, LC_BURN_REFUSED, LC_BURN_UNKNOWN,
                                     LC_BURN_FAILED };

START_TEST (test_each_bad_outcome_counts)
{
  static const Point POINTS[] = { { MINUTE_US, 0, 0 }, { 0, 50, 50 } };
  LcBurnMerge *merge = make_merge (POINTS, 2, BAD[_i]);
  LcBurnWindow w = lc_burn_merge_window (merge, "order-desk", "hall-atl", 3 * DAY_US, HOUR_US);
  LcBurnObjective objective = { .service = "order-desk" };
  LcBurnReport report;

  ck_assert (w.growth[BAD[_i]] == 50.0);
  lc_burn_report_compute (&report, merge, &objective, "hall-atl", 3 * DAY_US);
  ck_assert (fabs (report.spans[0].request_rate - 500) < 1e-6);
  lc_burn_report_compute (&report, merge, &objective, "hall-bhm", 3 * DAY_US);
  ck_assert (report.spans[0].requests == 0);
  lc_burn_merge_free (merge);
}
END_TEST

/* A process older than its samples covers only part of the window. */
START_TEST (test_coverage)
{
  static const Point POINTS[] = { { MINUTE_US, 100, 0 }, { 0, 160, 0 } };
  LcBurnMerge *merge = make_merge (POINTS, 2, LC_BURN_FAILED);
  LcBurnWindow hour = lc_burn_merge_window (merge, NULL, NULL, 3 * DAY_US, HOUR_US);
  LcBurnWindow all = lc_burn_merge_window (merge, NULL, NULL, 3 * DAY_US, 4 * DAY_US);

  ck_assert_int_eq (hour.covered_us, MINUTE_US);
  ck_assert (hour.growth[LC_BURN_GOOD] == 60.0);
  ck_assert_int_eq (all.covered_us, 4 * DAY_US); /* started inside: counted from zero */
  ck_assert (all.growth[LC_BURN_GOOD] == 160.0);
  lc_burn_merge_free (merge);
}
END_TEST

/* Open flows and weights of three endpoints, and the highest load over the mean. */
static const struct
{
  uint64_t open[3];
  uint32_t weight[3];
  double imbalance;
} IMBALANCES[] = {
  { { 10, 10, 10 }, { 100, 100, 100 }, 1.0 }, { { 20, 5, 5 }, { 100, 100, 100 }, 2.0 },
  { { 20, 10, 10 }, { 200, 100, 100 }, 1.0 }, { { 0, 0, 0 }, { 100, 100, 100 }, 0.0 },
  { { 30, 0, 0 }, { 100, 100, 100 }, 3.0 },
};

START_TEST (test_imbalance)
{
  LcBurnMerge *merge = lc_burn_merge_new ();
  LcBurnImbalance got;

  for (uint32_t i = 0; i < 3; i++)
    for (int64_t age_s = 60; age_s >= 0; age_s -= 10)
      {
        LcBurnKey key = { i + 1, "desk", "order-desk", "hall-atl", IMBALANCES[_i].weight[i] };
        LcBurnSample sample = { .uptime_us = HOUR_US - age_s * LC_US_PER_S };

        sample.counts.values[LC_BURN_FLOW_OPENED] = IMBALANCES[_i].open[i] + 7;
        sample.counts.values[LC_BURN_FLOW_ENDED] = 7;
        ck_assert_int_eq (lc_burn_merge_add (merge, &key, HOUR_US, HOUR_US, &sample), 0);
      }
  got = lc_burn_merge_imbalance (merge, "order-desk", NULL, HOUR_US, MINUTE_US, 10 * LC_US_PER_S);
  ck_assert_msg (fabs (got.mean - IMBALANCES[_i].imbalance) < 1e-9, "%g", got.mean);
  ck_assert_msg (fabs (got.p99 - IMBALANCES[_i].imbalance) < 1e-9, "%g", got.p99);
  lc_burn_merge_free (merge);
}
END_TEST

/* Flows of one endpoint: open before the hour, events within it, and the burn rate. */
static const struct
{
  uint64_t before;
  uint64_t opened;
  uint64_t broken;
  uint64_t refused;
  double rate;
} FLOWS[] = {
  { 0, 0, 0, 0, 0 },   { 0, 100, 0, 0, 0 },  { 0, 100, 1, 0, 10 }, { 900, 100, 1, 0, 1 },
  { 0, 99, 0, 1, 10 }, { 1000, 0, 0, 0, 0 }, { 0, 0, 0, 5, 1000 }, { 500, 499, 1, 1, 2 },
};

START_TEST (test_flow_rate)
{
  LcBurnMerge *merge = lc_burn_merge_new ();
  LcBurnKey key = { 1, "desk", "order-desk", "hall-atl", 100 };
  LcBurnSample first = { .uptime_us = HOUR_US };
  LcBurnSample last = { .uptime_us = 2 * HOUR_US };
  LcBurnObjective objective = { .service = "order-desk", .good_ppm = 999000 };
  LcBurnReport report;

  first.counts.values[LC_BURN_FLOW_OPENED] = FLOWS[_i].before;
  last.counts.values[LC_BURN_FLOW_OPENED] = FLOWS[_i].before + FLOWS[_i].opened;
  last.counts.values[LC_BURN_FLOW_BROKEN] = FLOWS[_i].broken;
  last.counts.values[LC_BURN_FLOW_REFUSED] = FLOWS[_i].refused;
  ck_assert_int_eq (lc_burn_merge_add (merge, &key, 2 * HOUR_US, 2 * HOUR_US, &first), 0);
  ck_assert_int_eq (lc_burn_merge_add (merge, &key, 2 * HOUR_US, 2 * HOUR_US, &last), 0);
  lc_burn_report_compute (&report, merge, &objective, NULL, 2 * HOUR_US);
  ck_assert_msg (fabs (report.spans[1].flow_rate - FLOWS[_i].rate) < 1e-6, "%g",
                 report.spans[1].flow_rate);
  lc_burn_merge_free (merge);
}
END_TEST

START_TEST (test_ring_covers_three_days)
{
  static LcBurnRing ring;
  LcBurnSample samples[LC_BURN_RING_SAMPLES];
  LcBurnCounts counts = { 0 };
  size_t n;

  for (int64_t s = 0; s <= 4 * 86400; s += 10)
    {
      counts.values[LC_BURN_GOOD] = (uint64_t)s;
      lc_burn_ring_tick (&ring, s * LC_US_PER_S, &counts);
    }
  n = lc_burn_ring_read (&ring, samples, LC_BURN_RING_SAMPLES);
  ck_assert_int_le (samples[0].uptime_us, 4 * DAY_US - 3 * DAY_US);
  ck_assert_int_eq (samples[n - 1].uptime_us, 4 * DAY_US);
  ck_assert_int_eq (samples[n - 2].uptime_us, 4 * DAY_US - 10 * LC_US_PER_S);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("burn");
  TCase *tcase = tcase_create ("tables");

  tcase_add_loop_test (tcase, test_rates, 0, sizeof RATES / sizeof RATES[0]);
  tcase_add_loop_test (tcase, test_each_bad_outcome_counts, 0, sizeof BAD / sizeof BAD[0]);
  tcase_add_test (tcase, test_coverage);
  tcase_add_loop_test (tcase, test_imbalance, 0, sizeof IMBALANCES / sizeof IMBALANCES[0]);
  tcase_add_loop_test (tcase, test_flow_rate, 0, sizeof FLOWS / sizeof FLOWS[0]);
  tcase_add_test (tcase, test_ring_covers_three_days);
  suite_add_tcase (suite, tcase);
  return lc_fake_run (suite);
}
