#include "lc-burn-output.h"

#include <math.h>
#include <string.h>

enum
{
  LC_BURN_N_SHOWN = 5, /* 5m 1h 30m 6h 3d; the second 6h repeats the first */
};

static const int LC_BURN_SHOWN_SPANS[LC_BURN_N_SHOWN] = { 0, 1, 2, 3, 5 };

/* === text =================================================================================== */

static void
lc_burn__print_row (const LcBurnReport *report, const char *data_centre, bool is_flows, FILE *out)
{
  const LcBurnSpan *longest = &report->spans[2 * LC_BURN_PAIRS - 1];
  double all = is_flows ? longest->flows : longest->requests;
  double left = is_flows ? report->flow_budget_left : report->request_budget_left;
  LcBurnUrgency urgency = is_flows ? report->flow_urgency : report->request_urgency;

  (void)fprintf (out, "  %-16s %-9s", data_centre, is_flows ? "flows" : "requests");
  if (all <= 0)
    {
      (void)fputs ("  none\n", out);
      return;
    }
  for (int i = 0; i < LC_BURN_N_SHOWN; i++)
    {
      const LcBurnSpan *span = &report->spans[LC_BURN_SHOWN_SPANS[i]];

      (void)fprintf (out, "%8.2f", is_flows ? span->flow_rate : span->request_rate);
    }
  (void)fprintf (out, "%11.1f%%  %s\n", left * 100, lc_burn_urgency_name (urgency));
}

static void
lc_burn__print_counts (const LcBurnReport *report, FILE *out)
{
  const LcBurnSpan *hour = &report->spans[1];
  const double *n = hour->counts.growth;

  (void)fprintf (out,
                 "  last hour: requests %.0f good, %.0f late, %.0f refused, %.0f unknown, "
                 "%.0f failed; flows %.0f opened, %.0f ended, %.0f broken, %.0f refused\n",
                 n[LC_BURN_GOOD], n[LC_BURN_LATE], n[LC_BURN_REFUSED], n[LC_BURN_UNKNOWN],
                 n[LC_BURN_FAILED], n[LC_BURN_FLOW_OPENED], n[LC_BURN_FLOW_ENDED],
                 n[LC_BURN_FLOW_BROKEN], n[LC_BURN_FLOW_REFUSED]);
  if (report->imbalance.n_steps > 0)
    (void)fprintf (out,
                   "  imbalance (highest over mean of open flows a capacity): mean %.2f, "
                   "99th percentile %.2f\n",
                   report->imbalance.mean, report->imbalance.p99);
  if (hour->covered_us < hour->length_us)
    (void)fprintf (out, "  the history reaches back %.0f min only\n",
                   floor ((double)hour->covered_us / (60.0 * LC_US_PER_S)));
}

static void
lc_burn__print_service (const LcBurnCollector *collector, const LcBurnServiceRow *row, FILE *out)
{
  uint32_t good_ppm =
      row->objective.good_ppm != 0 ? row->objective.good_ppm : (uint32_t)LC_BURN_DEFAULT_GOOD_PPM;
  LcBurnReport report;

  (void)fprintf (out, "\n%s: objective %.4g%% good", row->name, good_ppm / 1e4);
  if (row->objective.latency_ms > 0)
    (void)fprintf (out, ", whole answers within %u ms", row->objective.latency_ms);
  (void)fprintf (out, "\n  %-16s %-9s%8s%8s%8s%8s%8s%12s  %s\n", "burn rate over", "", "5m", "1h",
                 "30m", "6h", "3d", "budget left", "state");
  lc_burn_report_compute (&report, collector->merge, &row->objective, NULL, collector->now_us);
  lc_burn__print_row (&report, "all", false, out);
  lc_burn__print_row (&report, "all", true, out);
  for (guint i = 0; i < collector->data_centres->len; i++)
    {
      const char *name = g_ptr_array_index (collector->data_centres, i);
      LcBurnReport part;

      lc_burn_report_compute (&part, collector->merge, &row->objective, name, collector->now_us);
      lc_burn__print_row (&part, name, false, out);
      lc_burn__print_row (&part, name, true, out);
    }
  lc_burn__print_counts (&report, out);
}

static bool
lc_burn__is_selected (const LcBurnServiceRow *row, const char *service)
{
  return service == NULL || strcmp (row->name, service) == 0;
}

void
lc_burn_print_text (const LcBurnCollector *collector, const char *service, FILE *out)
{
  (void)fprintf (out, "service-level burn: %u of %u processes answered\n",
                 collector->n_queried - collector->unanswered->len, collector->n_queried);
  for (guint i = 0; i < collector->unanswered->len; i++)
    (void)fprintf (out, "  not heard: %s\n",
                   (const char *)g_ptr_array_index (collector->unanswered, i));
  if (collector->n_malformed > 0)
    (void)fprintf (out, "  %u answers were malformed: run one version everywhere\n",
                   collector->n_malformed);
  for (guint s = 0; s < collector->services->len; s++)
    {
      const LcBurnServiceRow *row = &g_array_index (collector->services, LcBurnServiceRow, s);

      if (lc_burn__is_selected (row, service))
        lc_burn__print_service (collector, row, out);
    }
}

bool
lc_burn_has_urgency (const LcBurnCollector *collector, const char *service, LcBurnUrgency urgency)
{
  for (guint s = 0; s < collector->services->len; s++)
    {
      const LcBurnServiceRow *row = &g_array_index (collector->services, LcBurnServiceRow, s);
      LcBurnReport report;

      if (!lc_burn__is_selected (row, service))
        continue;
      lc_burn_report_compute (&report, collector->merge, &row->objective, NULL, collector->now_us);
      if (report.request_urgency >= urgency || report.flow_urgency >= urgency)
        return true;
    }
  return false;
}

/* === JSON =================================================================================== */

static json_t *
lc_burn__span_json (const LcBurnSpan *span)
{
  json_t *counts = json_object ();

  for (int i = 0; i < LC_N_BURN_COUNTERS; i++)
    (void)json_object_set_new (counts, lc_burn_counter_name ((LcBurnCounter)i),
                               json_real (span->counts.growth[i]));
  return json_pack ("{s:s,s:I,s:f,s:f,s:o}", "window", span->name, "covered_s",
                    (json_int_t)(span->covered_us / LC_US_PER_S), "request_burn_rate",
                    span->request_rate, "flow_burn_rate", span->flow_rate, "counts", counts);
}

static json_t *
lc_burn__report_json (const LcBurnCollector *collector,
                      const LcBurnServiceRow *row,
                      const char *data_centre)
{
  LcBurnReport report;
  json_t *spans = json_array ();

  lc_burn_report_compute (&report, collector->merge, &row->objective, data_centre,
                          collector->now_us);
  for (int i = 0; i < LC_BURN_N_SHOWN; i++)
    (void)json_array_append_new (spans, lc_burn__span_json (&report.spans[LC_BURN_SHOWN_SPANS[i]]));
  return json_pack ("{s:s,s:s?,s:s,s:s,s:f,s:f,s:f,s:f,s:o}", "service", row->name, "data_centre",
                    data_centre, "requests", lc_burn_urgency_name (report.request_urgency), "flows",
                    lc_burn_urgency_name (report.flow_urgency), "request_budget_left",
                    report.request_budget_left, "flow_budget_left", report.flow_budget_left,
                    "imbalance_mean", report.imbalance.mean, "imbalance_p99", report.imbalance.p99,
                    "windows", spans);
}

json_t *
lc_burn_to_json (const LcBurnCollector *collector, const char *service)
{
  json_t *reports = json_array ();
  json_t *unanswered = json_array ();

  for (guint s = 0; s < collector->services->len; s++)
    {
      const LcBurnServiceRow *row = &g_array_index (collector->services, LcBurnServiceRow, s);

      if (!lc_burn__is_selected (row, service))
        continue;
      (void)json_array_append_new (reports, lc_burn__report_json (collector, row, NULL));
      for (guint i = 0; i < collector->data_centres->len; i++)
        (void)json_array_append_new (
            reports,
            lc_burn__report_json (collector, row, g_ptr_array_index (collector->data_centres, i)));
    }
  for (guint i = 0; i < collector->unanswered->len; i++)
    (void)json_array_append_new (unanswered,
                                 json_string (g_ptr_array_index (collector->unanswered, i)));
  return json_pack ("{s:i,s:i,s:o,s:o}", "asked", (int)collector->n_queried, "malformed",
                    (int)collector->n_malformed, "unheard", unanswered, "reports", reports);
}
