/* limit: refuses requests beyond the in-flight limits of their caller or service. */
#include "lc-filter.h"

LcFilterVerdict
lc_filter_limit (LcFilterRequest *request, const LcFilterContext *context)
{
  LcLimit *limit = context->limit (context->user, request->service);
  LcFilterVerdict verdict = { .kind = LC_FILTER_REFUSE, .status = 429 };

  if (limit == NULL)
    return (LcFilterVerdict){ .kind = LC_FILTER_PASS };
  switch (lc_limit_acquire (limit, request->caller))
    {
    case LC_LIMIT_OK:
      request->is_limited = true;
      return (LcFilterVerdict){ .kind = LC_FILTER_PASS };
    case LC_LIMIT_CALLER:
      verdict.reason = LC_REFUSE_CALLER_LIMIT;
      verdict.message = "this caller has too many requests in flight";
      verdict.remedy = "wait for answers before sending more, or ask for a higher caller_limit";
      return verdict;
    case LC_LIMIT_SERVICE:
      verdict.reason = LC_REFUSE_SERVICE_LIMIT;
      verdict.message = "the service has too many requests in flight";
      verdict.remedy = "come back after Retry-After";
      return verdict;
    }
  return verdict;
}
