#include "lc-burn-report.h"

#include <string.h>

#define LC_BURN_MINUTES(n) ((n)*60 * LC_US_PER_S)
#define LC_BURN_HOURS(n) ((n)*3600 * LC_US_PER_S)

enum
{
  LC_BURN_IMBALANCE_STEP_S = 10,
};

/* Limits for a thirty-day budget: 2% of it in an hour, 5% in six hours, 10% in three days. */
static const struct
{
  const char *names[2];
  int64_t lengths_us[2];
  double limit;
  LcBurnUrgency urgency;
} LC_BURN_WINDOWS[LC_BURN_PAIRS] = {
  { { "5m", "1h" }, { LC_BURN_MINUTES (5), LC_BURN_HOURS (1) }, 14.4, LC_BURN_PAGE },
  { { "30m", "6h" }, { LC_BURN_MINUTES (30), LC_BURN_HOURS (6) }, 6.0, LC_BURN_PAGE },
  { { "6h", "3d" }, { LC_BURN_HOURS (6), LC_BURN_HOURS (72) }, 1.0, LC_BURN_TICKET },
};

const char *
lc_burn_urgency_name (LcBurnUrgency urgency)
{
  switch (urgency)
    {
    case LC_BURN_QUIET:
      return "quiet";
    case LC_BURN_TICKET:
      return "ticket";
    case LC_BURN_PAGE:
      return "page";
    }
  return "unknown";
}

static double
lc_burn_report__burn_rate (double bad, double all, double allowed)
{
  return all > 0 ? bad / all / allowed : 0;
}

static double
lc_burn_report__allowed_share (const LcBurnObjective *objective)
{
  uint32_t good_ppm = objective->good_ppm != 0 ? objective->good_ppm : LC_BURN_DEFAULT_GOOD_PPM;

  /* At least one in a million: an objective of 100% would divide by zero. */
  if (good_ppm >= LC_BURN_PPM)
    good_ppm = LC_BURN_PPM - 1;
  return (double)(LC_BURN_PPM - good_ppm) / LC_BURN_PPM;
}

static void
lc_burn_report__compute_span (LcBurnSpan *span, double allowed)
{
  const double *n = span->counts.growth;

  span->bad_requests =
      n[LC_BURN_LATE] + n[LC_BURN_REFUSED] + n[LC_BURN_UNKNOWN] + n[LC_BURN_FAILED];
  span->requests = span->bad_requests + n[LC_BURN_GOOD];
  span->bad_flows = n[LC_BURN_FLOW_BROKEN] + n[LC_BURN_FLOW_REFUSED];
  span->flows = span->counts.open_at_start + n[LC_BURN_FLOW_OPENED] + n[LC_BURN_FLOW_REFUSED];
  span->request_rate = lc_burn_report__burn_rate (span->bad_requests, span->requests, allowed);
  span->flow_rate = lc_burn_report__burn_rate (span->bad_flows, span->flows, allowed);
  span->covered_us = span->counts.covered_us;
}

static void
lc_burn_report__evaluate_pair (LcBurnReport *report, int pair)
{
  const LcBurnSpan *short_span = &report->spans[2 * pair];
  const LcBurnSpan *long_span = &report->spans[2 * pair + 1];
  double limit = LC_BURN_WINDOWS[pair].limit;
  LcBurnUrgency urgency = LC_BURN_WINDOWS[pair].urgency;

  if (short_span->request_rate > limit && long_span->request_rate > limit &&
      urgency > report->request_urgency)
    report->request_urgency = urgency;
  if (short_span->flow_rate > limit && long_span->flow_rate > limit &&
      urgency > report->flow_urgency)
    report->flow_urgency = urgency;
}

void
lc_burn_report_compute (LcBurnReport *report,
                        const LcBurnMerge *merge,
                        const LcBurnObjective *objective,
                        const char *data_centre,
                        int64_t now_us)
{
  double allowed = lc_burn_report__allowed_share (objective);
  const LcBurnSpan *longest = &report->spans[2 * LC_BURN_PAIRS - 1];

  memset (report, 0, sizeof *report);
  for (int i = 0; i < 2 * LC_BURN_PAIRS; i++)
    {
      LcBurnSpan *span = &report->spans[i];

      span->name = LC_BURN_WINDOWS[i / 2].names[i % 2];
      span->length_us = LC_BURN_WINDOWS[i / 2].lengths_us[i % 2];
      span->counts =
          lc_burn_merge_window (merge, objective->service, data_centre, now_us, span->length_us);
      lc_burn_report__compute_span (span, allowed);
    }
  for (int pair = 0; pair < LC_BURN_PAIRS; pair++)
    {
      report->limits[pair] = LC_BURN_WINDOWS[pair].limit;
      lc_burn_report__evaluate_pair (report, pair);
    }
  report->request_budget_left = 1 - longest->request_rate;
  report->flow_budget_left = 1 - longest->flow_rate;
  report->imbalance =
      lc_burn_merge_imbalance (merge, objective->service, data_centre, now_us, LC_BURN_HOURS (1),
                               LC_BURN_IMBALANCE_STEP_S * LC_US_PER_S);
}
