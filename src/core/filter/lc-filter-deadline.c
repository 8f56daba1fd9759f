/* deadline: sets when the caller must have its answer. */
#include "core/request/lc-deadline.h"
#include "lc-filter.h"

LcFilterVerdict
lc_filter_deadline (LcFilterRequest *request)
{
  request->deadline_us = lc_deadline_answer_us (
      request->now_us, request->service->request_timeout_ms, request->timeout_ms);
  return (LcFilterVerdict){ .kind = LC_FILTER_PASS };
}
