#include "lc-flow-meter.h"

void
lc_flow_meter_add (LcFlowMeter *meter,
                   LcMetrics *metrics,
                   const char *name,
                   const char *help,
                   const char *labels,
                   const uint64_t *total)
{
  if (meter->n == LC_FLOW_METER_MAX)
    return;
  meter->counters[meter->n].metric = lc_metrics_counter (metrics, name, help, labels);
  meter->counters[meter->n].total = total;
  meter->counters[meter->n].published = 0;
  meter->n++;
}

void
lc_flow_meter_add_drops (LcFlowMeter *meter, LcMetrics *metrics, const uint64_t *totals)
{
  for (uint32_t i = LC_DROP_NONE + 1; i < LC_N_DROP_REASONS; i++)
    {
      char *label = g_strdup_printf ("reason=\"%s\"", lc_drop_reason_name ((LcDropReason)i));

      lc_flow_meter_add (meter, metrics, "lychee_flow_dropped_total", "Packets dropped, by reason",
                         label, &totals[i]);
      g_free (label);
    }
}

void
lc_flow_meter_publish (LcFlowMeter *meter)
{
  for (uint32_t i = 0; i < meter->n; i++)
    {
      uint64_t total = *meter->counters[i].total;

      /* A flow plane restarted for another backend server counts from 0 again. */
      if (total < meter->counters[i].published)
        meter->counters[i].published = 0;
      if (total != meter->counters[i].published)
        lc_metric_add (meter->counters[i].metric, total - meter->counters[i].published);
      meter->counters[i].published = total;
    }
}
