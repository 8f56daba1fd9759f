#include "lc-burn-output.h"

#include <string.h>
#include <time.h>

/* === page style ============================================================================= */

static const char LC_BURN_STYLE[] =
    ":root{color-scheme:light dark;--ink:#1c2430;--soft:#66707f;--line:#d9dee6;--bg:#fff;"
    "--a:#2f6fb0;--b:#c2410c;--ok:#2e7d4f}"
    "@media(prefers-color-scheme:dark){:root{--ink:#e6eaf0;--soft:#9aa4b2;--line:#39414d;"
    "--bg:#161b22;--a:#7bb3ec;--b:#f29a6a;--ok:#7fcf9f}}"
    "body{font:15px/1.5 system-ui,sans-serif;color:var(--ink);background:var(--bg);"
    "max-width:62rem;margin:2rem auto;padding:0 1rem}"
    "h1{font-size:1.4rem}h2{font-size:1.15rem;margin-top:2.2rem;border-top:1px solid var(--line);"
    "padding-top:1rem}h3{font-size:.95rem;margin:1rem 0 .2rem}"
    "table{border-collapse:collapse;width:100%;font-variant-numeric:tabular-nums}"
    "td,th{padding:.2rem .6rem;text-align:right;border-bottom:1px solid var(--line)}"
    "td:first-child,th:first-child,td:nth-child(2),th:nth-child(2){text-align:left}"
    ".quiet{color:var(--ok)}.ticket,.page{color:var(--b);font-weight:600}"
    ".soft{color:var(--soft)}svg{width:100%;height:auto;display:block}"
    "svg text{font:11px system-ui,sans-serif;fill:var(--soft)}";

static void
lc_burn__append_escaped (GString *out, const char *text)
{
  gchar *escaped = g_markup_escape_text (text, -1);

  g_string_append (out, escaped);
  g_free (escaped);
}

/* === plots ================================================================================== */

enum
{
  LC_BURN_PLOT_STEPS = 60,
  LC_BURN_PLOT_WIDTH = 720,
  LC_BURN_PLOT_HEIGHT = 150,
  LC_BURN_PLOT_LEFT = 46,
  LC_BURN_PLOT_BOTTOM = 22,
  LC_BURN_PLOT_TOP = 10,
};

/* One or two curves over the same time. */
typedef struct
{
  const char *title;
  const char *names[2];
  double values[2][LC_BURN_PLOT_STEPS];
  double limit; /* a dashed line; 0: none */
  int64_t length_us;
} LcBurnPlot;

static double
lc_burn__axis_max (const LcBurnPlot *plot)
{
  double top = plot->limit;
  double round = 1;

  for (int line = 0; line < 2; line++)
    for (int i = 0; i < LC_BURN_PLOT_STEPS; i++)
      top = MAX (top, plot->values[line][i]);
  while (round < top)
    round *= 2;
  while (round > 1e-6 && round / 2 >= top && top > 0)
    round /= 2;
  return round;
}

static double
lc_burn__x (int step)
{
  return LC_BURN_PLOT_LEFT +
         (double)(LC_BURN_PLOT_WIDTH - LC_BURN_PLOT_LEFT - 8) * step / (LC_BURN_PLOT_STEPS - 1);
}

static double
lc_burn__y (double value, double top)
{
  double height = LC_BURN_PLOT_HEIGHT - LC_BURN_PLOT_BOTTOM - LC_BURN_PLOT_TOP;

  return LC_BURN_PLOT_TOP + height * (1 - value / top);
}

static void
lc_burn__append_axes (GString *out, const LcBurnPlot *plot, double top)
{
  for (int i = 0; i <= 2; i++)
    {
      double y = lc_burn__y (top * i / 2, top);

      g_string_append_printf (out,
                              "<line x1='%d' x2='%d' y1='%.1f' y2='%.1f' stroke='var(--line)'/>"
                              "<text x='%d' y='%.1f' text-anchor='end'>%g</text>",
                              LC_BURN_PLOT_LEFT, LC_BURN_PLOT_WIDTH - 8, y, y,
                              LC_BURN_PLOT_LEFT - 6, y + 4, top * i / 2);
    }
  g_string_append_printf (out,
                          "<text x='%d' y='%d'>%.0f min ago</text>"
                          "<text x='%d' y='%d' text-anchor='end'>now</text>",
                          LC_BURN_PLOT_LEFT, LC_BURN_PLOT_HEIGHT - 6,
                          (double)plot->length_us / (60.0 * LC_US_PER_S), LC_BURN_PLOT_WIDTH - 8,
                          LC_BURN_PLOT_HEIGHT - 6);
  if (plot->limit > 0)
    g_string_append_printf (out,
                            "<line x1='%d' x2='%d' y1='%.1f' y2='%.1f' stroke='var(--b)' "
                            "stroke-dasharray='4 4'/>",
                            LC_BURN_PLOT_LEFT, LC_BURN_PLOT_WIDTH - 8,
                            lc_burn__y (plot->limit, top), lc_burn__y (plot->limit, top));
}

static void
lc_burn__append_curve (GString *out, const LcBurnPlot *plot, int line, double top)
{
  g_string_append_printf (out,
                          "<polyline fill='none' stroke='var(--%c)' stroke-width='1.8' points='",
                          line == 0 ? 'a' : 'b');
  for (int i = 0; i < LC_BURN_PLOT_STEPS; i++)
    g_string_append_printf (out, "%.1f,%.1f ", lc_burn__x (i),
                            lc_burn__y (plot->values[line][i], top));
  g_string_append (out, "'/>");
}

static void
lc_burn__append_plot (GString *out, const LcBurnPlot *plot)
{
  double top = lc_burn__axis_max (plot);

  g_string_append (out, "<h3>");
  lc_burn__append_escaped (out, plot->title);
  for (int line = 0; line < 2 && plot->names[line] != NULL; line++)
    g_string_append_printf (out, " <span style='color:var(--%c)'>&#9644; %s</span>",
                            line == 0 ? 'a' : 'b', plot->names[line]);
  g_string_append_printf (out, "</h3><svg viewBox='0 0 %d %d' role='img'>", LC_BURN_PLOT_WIDTH,
                          LC_BURN_PLOT_HEIGHT);
  lc_burn__append_axes (out, plot, top);
  for (int line = 0; line < 2 && plot->names[line] != NULL; line++)
    lc_burn__append_curve (out, plot, line, top);
  g_string_append (out, "</svg>");
}

/* === plotted values ========================================================================= */

typedef enum
{
  LC_BURN_PLOT_TRAFFIC,
  LC_BURN_PLOT_RATE,
  LC_BURN_PLOT_IMBALANCE,
} LcBurnPlotKind;

static double
lc_burn__rate (double bad, double all, const LcBurnObjective *objective)
{
  uint32_t good = objective->good_ppm != 0 ? objective->good_ppm : LC_BURN_DEFAULT_GOOD_PPM;
  double allowed = (double)(LC_BURN_PPM - MIN (good, (uint32_t)LC_BURN_PPM - 1)) / LC_BURN_PPM;

  return all > 0 ? bad / all / allowed : 0;
}

static void
lc_burn__fill_step (LcBurnPlot *plot,
                    LcBurnPlotKind kind,
                    int step,
                    const LcBurnCollector *collector,
                    const LcBurnServiceRow *row)
{
  int64_t step_us = plot->length_us / LC_BURN_PLOT_STEPS;
  int64_t at_us = collector->now_us - (LC_BURN_PLOT_STEPS - 1 - step) * step_us;
  LcBurnWindow w = lc_burn_merge_window (collector->merge, row->name, NULL, at_us, step_us);
  const double *n = w.growth;
  double bad = n[LC_BURN_LATE] + n[LC_BURN_REFUSED] + n[LC_BURN_UNKNOWN] + n[LC_BURN_FAILED];
  double bad_flows = n[LC_BURN_FLOW_BROKEN] + n[LC_BURN_FLOW_REFUSED];

  switch (kind)
    {
    case LC_BURN_PLOT_TRAFFIC:
      plot->values[0][step] = n[LC_BURN_GOOD] * LC_US_PER_S / (double)step_us;
      plot->values[1][step] = bad * LC_US_PER_S / (double)step_us;
      break;
    case LC_BURN_PLOT_RATE:
      plot->values[0][step] = lc_burn__rate (bad, bad + n[LC_BURN_GOOD], &row->objective);
      plot->values[1][step] = lc_burn__rate (
          bad_flows, w.open_at_start + n[LC_BURN_FLOW_OPENED] + n[LC_BURN_FLOW_REFUSED],
          &row->objective);
      break;
    case LC_BURN_PLOT_IMBALANCE:
      plot->values[0][step] =
          lc_burn_merge_imbalance (collector->merge, row->name, NULL, at_us, step_us, step_us).mean;
      break;
    }
}

/* An hour, halved while its older half is empty: a demo of a minute would look like a flat line. */
static int64_t
lc_burn__plot_length (const LcBurnCollector *collector, const LcBurnServiceRow *row)
{
  int64_t length_us = 3600 * LC_US_PER_S;

  while (length_us > 2 * 60 * LC_US_PER_S)
    {
      LcBurnWindow all =
          lc_burn_merge_window (collector->merge, row->name, NULL, collector->now_us, length_us);
      LcBurnWindow half = lc_burn_merge_window (collector->merge, row->name, NULL,
                                                collector->now_us, length_us / 2);

      if (half.growth[LC_BURN_GOOD] < all.growth[LC_BURN_GOOD] ||
          half.growth[LC_BURN_FLOW_OPENED] < all.growth[LC_BURN_FLOW_OPENED])
        break;
      length_us /= 2;
    }
  return length_us;
}

static void
lc_burn__append_plots (GString *out, const LcBurnCollector *collector, const LcBurnServiceRow *row)
{
  LcBurnPlot plots[] = {
    { .title = "Requests a second", .names = { "good", "bad" } },
    { .title = "Burn rate", .names = { "requests", "flows" }, .limit = 1 },
    { .title = "Open flows: highest over mean", .names = { "imbalance", NULL }, .limit = 1 },
  };
  int64_t length_us = lc_burn__plot_length (collector, row);

  for (size_t kind = 0; kind < G_N_ELEMENTS (plots); kind++)
    {
      plots[kind].length_us = length_us;
      for (int step = 0; step < LC_BURN_PLOT_STEPS; step++)
        lc_burn__fill_step (&plots[kind], (LcBurnPlotKind)kind, step, collector, row);
      lc_burn__append_plot (out, &plots[kind]);
    }
}

/* === tables ================================================================================= */

static void
lc_burn__append_row (GString *out, const LcBurnReport *report, const char *name, bool is_flows)
{
  static const int SPANS[] = { 0, 1, 2, 3, 5 };
  LcBurnUrgency urgency = is_flows ? report->flow_urgency : report->request_urgency;

  g_string_append (out, "<tr><td>");
  lc_burn__append_escaped (out, name);
  g_string_append_printf (out, "</td><td>%s</td>", is_flows ? "flows" : "requests");
  for (size_t i = 0; i < G_N_ELEMENTS (SPANS); i++)
    g_string_append_printf (out, "<td>%.2f</td>",
                            is_flows ? report->spans[SPANS[i]].flow_rate
                                     : report->spans[SPANS[i]].request_rate);
  g_string_append_printf (out, "<td>%.1f%%</td><td class='%s'>%s</td></tr>",
                          100 * (is_flows ? report->flow_budget_left : report->request_budget_left),
                          lc_burn_urgency_name (urgency), lc_burn_urgency_name (urgency));
}

static void
lc_burn__append_counts (GString *out, const LcBurnReport *report)
{
  static const char *const WORDS[LC_N_BURN_COUNTERS] = { "good",           "late",
                                                         "refused",        "outcome unknown",
                                                         "failed; flows:", "opened",
                                                         "ended",          "broken",
                                                         "refused" };
  const LcBurnSpan *hour = &report->spans[1];

  g_string_append (out, "<p class='soft'>Last hour, requests:");
  for (int i = 0; i < LC_N_BURN_COUNTERS; i++)
    g_string_append_printf (out, "%s %.0f %s", i > 0 && i != LC_BURN_FLOW_OPENED ? "," : "",
                            hour->counts.growth[i], WORDS[i]);
  if (hour->covered_us < hour->length_us)
    g_string_append_printf (out, ". The history reaches back %.0f min only",
                            (double)hour->covered_us / (60.0 * LC_US_PER_S));
  g_string_append (out, ".</p>");
}

static void
lc_burn__append_service (GString *out,
                         const LcBurnCollector *collector,
                         const LcBurnServiceRow *row)
{
  LcBurnReport report;
  uint32_t good = row->objective.good_ppm != 0 ? row->objective.good_ppm : LC_BURN_DEFAULT_GOOD_PPM;

  g_string_append (out, "<h2>");
  lc_burn__append_escaped (out, row->name);
  g_string_append_printf (out, " <span class='soft'>objective %.4g%% good</span></h2>", good / 1e4);
  g_string_append (out, "<table><tr><th>where</th><th></th><th>5m</th><th>1h</th><th>30m</th>"
                        "<th>6h</th><th>3d</th><th>budget left</th><th>state</th></tr>");
  lc_burn_report_compute (&report, collector->merge, &row->objective, NULL, collector->now_us);
  lc_burn__append_row (out, &report, "all", false);
  lc_burn__append_row (out, &report, "all", true);
  for (guint i = 0; i < collector->data_centres->len; i++)
    {
      const char *name = g_ptr_array_index (collector->data_centres, i);
      LcBurnReport part;

      lc_burn_report_compute (&part, collector->merge, &row->objective, name, collector->now_us);
      lc_burn__append_row (out, &part, name, false);
      lc_burn__append_row (out, &part, name, true);
    }
  g_string_append (out, "</table>");
  lc_burn__append_counts (out, &report);
  lc_burn__append_plots (out, collector, row);
}

char *
lc_burn_to_html (const LcBurnCollector *collector, const char *service)
{
  GString *out = g_string_new ("<!doctype html><html lang='en'><meta charset='utf-8'>"
                               "<meta name='viewport' content='width=device-width'>"
                               "<title>Service-level burn</title><style>");
  time_t second = (time_t)(collector->now_us / LC_US_PER_S);
  struct tm utc;
  char when[32];

  (void)gmtime_r (&second, &utc);
  (void)strftime (when, sizeof when, "%Y-%m-%d %H:%M:%S UTC", &utc);
  g_string_append_printf (out,
                          "%s</style><h1>Service-level burn</h1><p>%s; %u of %u processes "
                          "answered.</p>",
                          LC_BURN_STYLE, when, collector->n_queried - collector->unanswered->len,
                          collector->n_queried);
  for (guint i = 0; i < collector->unanswered->len; i++)
    {
      g_string_append (out, "<p class='page'>Not heard: ");
      lc_burn__append_escaped (out, g_ptr_array_index (collector->unanswered, i));
      g_string_append (out, "</p>");
    }
  for (guint s = 0; s < collector->services->len; s++)
    {
      const LcBurnServiceRow *row = &g_array_index (collector->services, LcBurnServiceRow, s);

      if (service == NULL || strcmp (row->name, service) == 0)
        lc_burn__append_service (out, collector, row);
    }
  g_string_append (out, "</html>\n");
  return g_string_free (out, FALSE);
}
