/* claim: sets the idempotency key under which a request runs at most once. */
#include "lc-filter.h"

static bool
lc_claim__is_idempotent (LcSlice method)
{
  return lc_slice_is (method, "GET", 3) || lc_slice_is (method, "HEAD", 4) ||
         lc_slice_is (method, "PUT", 3) || lc_slice_is (method, "DELETE", 6) ||
         lc_slice_is (method, "OPTIONS", 7);
}

/* Without a key from the caller one is derived from the id: it covers the balancer's own retries,
 * and the caller can query it later. */
LcFilterVerdict
lc_filter_claim (LcFilterRequest *request)
{
  LcServiceId service_id = request->service->id;

  if (request->is_query)
    {
      request->is_caller_key = true;
      return (LcFilterVerdict){ .kind = LC_FILTER_PASS };
    }
  if (lc_claim__is_idempotent (request->method))
    return (LcFilterVerdict){ .kind = LC_FILTER_PASS };
  request->digest =
      lc_request_digest (request->method.base, request->method.len, request->path.base,
                         request->path.len, request->body.base, request->body.len);
  request->is_caller_key = request->key_text.len > 0;
  if (request->is_caller_key)
    request->key = lc_request_key (service_id, request->key_text.base, request->key_text.len);
  else
    request->key = lc_request_key (service_id, (const char *)&request->id, sizeof request->id);
  return (LcFilterVerdict){ .kind = LC_FILTER_PASS };
}
