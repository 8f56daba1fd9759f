/* lc-flow-meter: brings plain totals of the flow plane to the metrics.
 *
 * WHAT IT IS
 *   Decisions and ports count in plain integers.  A meter remembers what of each it has brought to
 *   the registry and adds the difference.
 *
 * HOW TO USE IT
 *     lc_flow_meter_add (&meter, &app->metrics, "lychee_flow_taken_total", "Flows taken", NULL,
 *                        &agent.counts.accepted_total);
 *     lc_flow_meter_bring (&meter);                       every so often
 *
 * LIFETIME
 *   The totals must outlive the meter.
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
    uint64_t brought;
  } lines[LC_FLOW_METER_MAX];
  uint32_t n;
} LcFlowMeter;

void lc_flow_meter_add (LcFlowMeter *meter,
                        LcMetrics *metrics,
                        const char *name,
                        const char *help,
                        const char *labels,
                        const uint64_t *total);
/* lychee_flow_dropped_total, one line a reason. */
void lc_flow_meter_add_drops (LcFlowMeter *meter, LcMetrics *metrics, const uint64_t *totals);
void lc_flow_meter_bring (LcFlowMeter *meter);

#endif /* LC_FLOW_METER_H */
