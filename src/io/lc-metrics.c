#include "lc-metrics.h"

#include <string.h>

/* Upper bounds of the histogram's buckets; one more bucket has none. */
static const int64_t LC_METRICS_BOUNDS_US[] = { 100,      200,     500,     1000,    2000,
                                                5000,     10000,   20000,   50000,   100000,
                                                200000,   500000,  1000000, 2000000, 5000000,
                                                10000000, 30000000 };

enum
{
  LC_METRICS_BUCKETS = G_N_ELEMENTS (LC_METRICS_BOUNDS_US) + 1,
};

struct LcMetric
{
  LcMetricKind kind;
  char *name;
  char *help;
  char *labels; /* NULL: none */
  uint64_t value;
  uint64_t sum_us;
  uint64_t buckets[LC_METRICS_BUCKETS];
};

static void
lc_metrics__free (gpointer data)
{
  LcMetric *metric = data;

  g_free (metric->name);
  g_free (metric->help);
  g_free (metric->labels);
  g_free (metric);
}

void
lc_metrics_init (LcMetrics *metrics)
{
  metrics->metrics = g_ptr_array_new_with_free_func (lc_metrics__free);
  g_mutex_init (&metrics->lock);
}

void
lc_metrics_finish (LcMetrics *metrics)
{
  g_ptr_array_free (metrics->metrics, TRUE);
  g_mutex_clear (&metrics->lock);
}

static LcMetric *
lc_metrics__find (LcMetrics *m, const char *name, const char *labels)
{
  for (guint i = 0; i < m->metrics->len; i++)
    {
      LcMetric *metric = g_ptr_array_index (m->metrics, i);

      if (strcmp (metric->name, name) == 0 && g_strcmp0 (metric->labels, labels) == 0)
        return metric;
    }
  return NULL;
}

static LcMetric *
lc_metrics__add (
    LcMetrics *m, LcMetricKind kind, const char *name, const char *help, const char *labels)
{
  LcMetric *metric;

  g_mutex_lock (&m->lock);
  metric = lc_metrics__find (m, name, labels);
  if (metric == NULL)
    {
      metric = g_new0 (LcMetric, 1);
      metric->kind = kind;
      metric->name = g_strdup (name);
      metric->help = g_strdup (help);
      metric->labels = g_strdup (labels);
      g_ptr_array_add (m->metrics, metric);
    }
  g_mutex_unlock (&m->lock);
  return metric;
}

LcMetric *
lc_metrics_counter (LcMetrics *m, const char *name, const char *help, const char *labels)
{
  return lc_metrics__add (m, LC_METRIC_COUNTER, name, help, labels);
}

LcMetric *
lc_metrics_gauge (LcMetrics *m, const char *name, const char *help, const char *labels)
{
  return lc_metrics__add (m, LC_METRIC_GAUGE, name, help, labels);
}

LcMetric *
lc_metrics_histogram (LcMetrics *m, const char *name, const char *help, const char *labels)
{
  return lc_metrics__add (m, LC_METRIC_HISTOGRAM, name, help, labels);
}

void
lc_metric_add (LcMetric *metric, uint64_t n)
{
  __atomic_fetch_add (&metric->value, n, __ATOMIC_RELAXED);
}

void
lc_metric_set (LcMetric *metric, int64_t value)
{
  __atomic_store_n (&metric->value, (uint64_t)value, __ATOMIC_RELAXED);
}

void
lc_metric_observe_us (LcMetric *metric, int64_t us)
{
  size_t i = 0;

  while (i < G_N_ELEMENTS (LC_METRICS_BOUNDS_US) && us > LC_METRICS_BOUNDS_US[i])
    i++;
  __atomic_fetch_add (&metric->buckets[i], 1, __ATOMIC_RELAXED);
  __atomic_fetch_add (&metric->sum_us, us > 0 ? (uint64_t)us : 0, __ATOMIC_RELAXED);
  __atomic_fetch_add (&metric->value, 1, __ATOMIC_RELAXED);
}

uint64_t
lc_metric_value (const LcMetric *metric)
{
  return __atomic_load_n (&metric->value, __ATOMIC_RELAXED);
}

/* === private: the text format =============================================================== */

static const char *
lc_metrics__type (LcMetricKind kind)
{
  switch (kind)
    {
    case LC_METRIC_COUNTER:
      return "counter";
    case LC_METRIC_GAUGE:
      return "gauge";
    case LC_METRIC_HISTOGRAM:
      return "histogram";
    }
  return "untyped";
}

static void
lc_metrics__append_histogram (GString *text, const LcMetric *metric)
{
  const char *labels = metric->labels != NULL ? metric->labels : "";
  const char *comma = metric->labels != NULL ? "," : "";
  uint64_t total = 0;

  for (size_t i = 0; i < LC_METRICS_BUCKETS; i++)
    {
      total += __atomic_load_n (&metric->buckets[i], __ATOMIC_RELAXED);
      if (i < G_N_ELEMENTS (LC_METRICS_BOUNDS_US))
        g_string_append_printf (text, "%s_bucket{%s%sle=\"%g\"} %" G_GUINT64_FORMAT "\n",
                                metric->name, labels, comma, (double)LC_METRICS_BOUNDS_US[i] / 1e6,
                                (guint64)total);
      else
        g_string_append_printf (text, "%s_bucket{%s%sle=\"+Inf\"} %" G_GUINT64_FORMAT "\n",
                                metric->name, labels, comma, (guint64)total);
    }
  g_string_append_printf (text, "%s_sum{%s} %.6f\n%s_count{%s} %" G_GUINT64_FORMAT "\n",
                          metric->name, labels, (double)metric->sum_us / 1e6, metric->name, labels,
                          (guint64)total);
}

static void
lc_metrics__append_value (GString *text, const LcMetric *metric)
{
  g_string_append (text, metric->name);
  if (metric->labels != NULL)
    g_string_append_printf (text, "{%s}", metric->labels);
  if (metric->kind == LC_METRIC_GAUGE)
    g_string_append_printf (text, " %" G_GINT64_FORMAT "\n", (gint64)lc_metric_value (metric));
  else
    g_string_append_printf (text, " %" G_GUINT64_FORMAT "\n", (guint64)lc_metric_value (metric));
}

static bool
lc_metrics__is_first_of_name (const LcMetrics *m, guint at)
{
  const LcMetric *metric = g_ptr_array_index (m->metrics, at);

  for (guint i = 0; i < at; i++)
    if (strcmp (((LcMetric *)g_ptr_array_index (m->metrics, i))->name, metric->name) == 0)
      return false;
  return true;
}

/* The format requires all metrics of one name together. */
static void
lc_metrics__append_name (GString *text, const LcMetrics *m, guint first)
{
  const LcMetric *head = g_ptr_array_index (m->metrics, first);

  g_string_append_printf (text, "# HELP %s %s\n# TYPE %s %s\n", head->name, head->help, head->name,
                          lc_metrics__type (head->kind));
  for (guint i = first; i < m->metrics->len; i++)
    {
      const LcMetric *metric = g_ptr_array_index (m->metrics, i);

      if (strcmp (metric->name, head->name) != 0)
        continue;
      if (metric->kind == LC_METRIC_HISTOGRAM)
        lc_metrics__append_histogram (text, metric);
      else
        lc_metrics__append_value (text, metric);
    }
}

char *
lc_metrics_text (LcMetrics *metrics)
{
  GString *text = g_string_sized_new (4096);

  g_mutex_lock (&metrics->lock);
  for (guint i = 0; i < metrics->metrics->len; i++)
    if (lc_metrics__is_first_of_name (metrics, i))
      lc_metrics__append_name (text, metrics, i);
  g_mutex_unlock (&metrics->lock);
  return g_string_free (text, FALSE);
}
