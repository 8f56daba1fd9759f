/* lc-flow-meter: exports the flow plane's plain counters to the metrics registry.
 *
 * WHAT IT IS
 *   Decisions and sockets count in plain integers.  A meter remembers what it has published of each
 *   and adds the increase to its metric.
 *
 * HOW TO USE IT
 *     lc_flow_meter_add (&meter, &app->metrics, "lychee_flow_taken_total", "Flows taken", NULL,
 *                        &agent.counts.accepted_total);
 *     lc_flow_meter_publish (&meter);                       periodically
 *
 * LIFETIME
 *   The counters must outlive the meter.
 *
 * LIMITS
 *   Counters beyond LC_FLOW_METER_MAX are ignored.
 */
#ifndef LC_FLOW_METER_H
#define LC_FLOW_METER_H

#include "core/flow/lc-envelope.h"
#include "lc-metrics.h"

enum
{
  LC_FLOW_METER_MAX = 48,
};

typedef struct
{
  struct
  {
    LcMetric *metric;
    const uint64_t *total;
    uint64_t published; /* of *total */
  } counters[LC_FLOW_METER_MAX];
  uint32_t n;
} LcFlowMeter;

void lc_flow_meter_add (LcFlowMeter *meter,
                        LcMetrics *metrics,
                        const char *name,
                        const char *help,
                        const char *labels,
                        const uint64_t *total);
/* Adds lychee_flow_dropped_total for each LcDropReason, the index into `totals`. */
void lc_flow_meter_add_drops (LcFlowMeter *meter, LcMetrics *metrics, const uint64_t *totals);
void lc_flow_meter_publish (LcFlowMeter *meter);

#endif /* LC_FLOW_METER_H */
