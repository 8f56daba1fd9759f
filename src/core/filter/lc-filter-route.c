/* route: finds the service, by host and path or, for a status query, by the queried key. */
#include "lc-filter.h"

#include <string.h>

static LcFilterVerdict
lc_route__not_found (const char *message, const char *remedy)
{
  return (LcFilterVerdict){
    .kind = LC_FILTER_REFUSE, .status = 404, .message = message, .remedy = remedy
  };
}

/* ".../requests/<32 digits>" is a key itself; ".../requests/<service>/<key text>" has the service's
 * name and the Idempotency-Key as the caller sent it. */
static LcFilterVerdict
lc_route__find_queried_service (LcFilterRequest *request, const LcView *view)
{
  const char *rest = request->path.base + strlen (LC_FILTER_QUERY_PREFIX);
  size_t len = request->path.len - strlen (LC_FILTER_QUERY_PREFIX);
  const char *slash = memchr (rest, '/', len);
  LcRequestId id;
  char name[LC_NAME_MAX] = { 0 };

  if (slash == NULL && lc_request_id_parse (&id, rest, len))
    {
      request->key = (LcRequestKey){ id.hi, id.lo };
      request->service = lc_view_service (view, lc_request_key_service (request->key));
    }
  else if (slash != NULL && (size_t)(slash - rest) < sizeof name)
    {
      memcpy (name, rest, (size_t)(slash - rest));
      request->service = lc_view_service_by_name (view, name);
      if (request->service != NULL)
        request->key =
            lc_request_key (request->service->id, slash + 1, len - (size_t)(slash + 1 - rest));
    }
  if (request->service == NULL)
    return lc_route__not_found ("no request can be asked for at this path",
                                "use the Lychee-Ask path of the answer, or "
                                "/.well-known/lychee/requests/<service>/<Idempotency-Key>");
  return (LcFilterVerdict){ .kind = LC_FILTER_PASS };
}

LcFilterVerdict
lc_filter_route (LcFilterRequest *request, const LcFilterContext *context)
{
  const LcRoute *route;

  if (request->is_query)
    return lc_route__find_queried_service (request, context->view);
  route = lc_view_route (context->view, request->host.base, request->host.len, request->path.base,
                         request->path.len);
  if (route != NULL)
    request->service = lc_view_service (context->view, route->service_id);
  if (request->service == NULL)
    return lc_route__not_found ("no service is routed at this host and path",
                                "check host and path, or ask the operators for a route");
  return (LcFilterVerdict){ .kind = LC_FILTER_PASS };
}
