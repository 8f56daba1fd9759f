#include "lc-filter.h"

static LcFilterVerdict
lc_filter__run_one (LcFilterKind kind, LcFilterRequest *request, const LcFilterContext *context)
{
  switch (kind)
    {
    case LC_FILTER_IDENTIFY:
      return lc_filter_identify (request);
    case LC_FILTER_ROUTE:
      return lc_filter_route (request, context);
    case LC_FILTER_DEADLINE:
      return lc_filter_deadline (request);
    case LC_FILTER_LIMIT:
      return lc_filter_limit (request, context);
    case LC_FILTER_CLAIM:
      return lc_filter_claim (request);
    case LC_FILTER_COUNT:
      break;
    }
  return (LcFilterVerdict){ .kind = LC_FILTER_PASS };
}

LcFilterVerdict
lc_filter_run (LcFilterRequest *request, const LcFilterContext *context)
{
  LcFilterVerdict verdict = { .kind = LC_FILTER_PASS };

  for (int kind = 0; kind < LC_FILTER_COUNT && verdict.kind == LC_FILTER_PASS; kind++)
    verdict = lc_filter__run_one ((LcFilterKind)kind, request, context);
  return verdict;
}
