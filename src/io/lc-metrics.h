/* lc-metrics: a registry of counters, gauges and histograms, with Prometheus text output.
 *
 * HOW TO USE IT
 *     lc_metrics_init (&metrics);
 *     LcMetric *packets = lc_metrics_counter (&metrics, "lychee_flow_packets_total",
 *                                             "Packets taken from the fabric", NULL);
 *     lc_metric_add (packets, 1);
 *     char *text = lc_metrics_text (&metrics);   free it with g_free
 *   `labels` is what stands between the braces, for example "service=\"ledger\"", or NULL.
 *   The same (name, labels) returns the same metric.
 *
 * THREADS
 *   lc_metric_add, _set and _observe_us are thread-safe; metrics are created on one thread.
 *
 * LIFETIME
 *   Metrics live until lc_metrics_finish.
 */
#ifndef LC_METRICS_H
#define LC_METRICS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef enum
{
  LC_METRIC_COUNTER,
  LC_METRIC_GAUGE,
  LC_METRIC_HISTOGRAM, /* durations in fixed buckets, 100 us to 30 s */
} LcMetricKind;

typedef struct LcMetric LcMetric;

typedef struct
{
  GPtrArray *metrics; /* LcMetric, in order of creation */
  GMutex lock;
} LcMetrics;

void lc_metrics_init (LcMetrics *metrics);
void lc_metrics_finish (LcMetrics *metrics);
LcMetric *lc_metrics_counter (LcMetrics *m, const char *name, const char *help, const char *labels);
LcMetric *lc_metrics_gauge (LcMetrics *m, const char *name, const char *help, const char *labels);
LcMetric *
lc_metrics_histogram (LcMetrics *m, const char *name, const char *help, const char *labels);
void lc_metric_add (LcMetric *metric, uint64_t n);
void lc_metric_set (LcMetric *metric, int64_t value);
void lc_metric_observe_us (LcMetric *metric, int64_t us);
uint64_t lc_metric_value (const LcMetric *metric);
/* The registry in the Prometheus text format; free it with g_free. */
char *lc_metrics_text (LcMetrics *metrics);

#endif /* LC_METRICS_H */
