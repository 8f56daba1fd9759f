#include "lc-evacuation.h"

LcEvacuationVerdict
lc_evacuation_decide (const LcEvacuation *order, const LcDataCentre *dc)
{
  if (dc->is_evacuated == order->is_wanted)
    return LC_EVACUATION_IN_FORCE;
  return dc->evacuation_revision > order->seen_revision ? LC_EVACUATION_SUPERSEDED
                                                        : LC_EVACUATION_CHANGE;
}

uint32_t
lc_evacuation_n_candidates (const LcView *view, const LcService *service, LcDcId dc)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < service->n_endpoints; i++)
    {
      const LcEndpoint *e = &service->endpoints[i];

      n += lc_endpoint_is_candidate (e) && e->dc != dc && !lc_view_is_evacuated (view, e->dc);
    }
  return n;
}
