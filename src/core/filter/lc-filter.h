/* lc-filter: the filter chain for requests at a balancer.
 *
 * WHAT IT IS
 *   Seven filters in a fixed order.  The first five run once, when the request has arrived
 *   completely; each sets fields of the request and may refuse it:
 *     identify   id, the caller's key and timeout, whether it is a status query
 *     route      the service, by host and path
 *     deadline   when the caller must have its answer (needs the service's timeout)
 *     limit      requests in flight, per caller and per service
 *     claim      the idempotency key under which it runs at most once; none if idempotent
 *   The last two run later, as needed:
 *     attempt    where the next attempt is sent, or why not (lc-filter-attempt.h)
 *     answer     the error response for the caller (lc-filter-answer.h)
 *
 * HOW TO USE IT
 *     LcFilterRequest request = { .method = ..., .now_us = now };
 *     LcFilterContext context = { view, find_limit, user };
 *     LcFilterVerdict verdict = lc_filter_run (&request, &context);
 *     if (verdict.kind == LC_FILTER_REFUSE) ... respond with verdict.status and verdict.message
 *
 * LIFETIME
 *   Strings are borrowed; `service` is valid until the view changes.
 */
#ifndef LC_FILTER_H
#define LC_FILTER_H

#include "core/lc-view.h"
#include "core/request/lc-limit.h"
#include "core/request/lc-outcome.h"
#include "core/request/lc-request-id.h"

#ifdef __cplusplus
extern "C"
{
#endif

  enum
  {
    LC_FILTER_MAX_KEY = 255, /* bytes of an Idempotency-Key */
  };

#define LC_FILTER_QUERY_PREFIX "/.well-known/lychee/requests/"

  typedef struct
  {
    const char *base;
    size_t len;
  } LcSlice;

  typedef struct
  {
    /* Input. */
    LcSlice method;
    LcSlice path;
    LcSlice host;
    LcSlice body;
    LcSlice key_text;     /* Idempotency-Key; len 0: none */
    LcSlice timeout_text; /* Lychee-Timeout-Ms; len 0: none */
    uint32_t caller;      /* its IPv4 address */
    LcRequestId random;   /* fresh random bits: becomes the id */
    int64_t now_us;

    /* Set by the filters. */
    LcRequestId id;
    LcRequestKey key; /* none for idempotent requests */
    bool is_caller_key;
    bool is_query; /* a status query: asks for the outcome of `key` */
    uint32_t timeout_ms;
    const LcService *service;
    uint64_t digest;
    int64_t deadline_us;
    bool is_limited; /* lc_limit_release must be called at the end */
  } LcFilterRequest;

  typedef enum
  {
    LC_FILTER_PASS = 0,
    LC_FILTER_REFUSE = 1,
  } LcFilterVerdictKind;

  typedef struct
  {
    LcFilterVerdictKind kind;
    uint16_t status;       /* REFUSE: HTTP status */
    LcRefuseReason reason; /* REFUSE: by a limit; else LC_REFUSE_NONE */
    const char *message;   /* REFUSE: what is wrong */
    const char *remedy;    /* REFUSE: what to do */
  } LcFilterVerdict;

  typedef enum
  {
    LC_FILTER_IDENTIFY,
    LC_FILTER_ROUTE,
    LC_FILTER_DEADLINE,
    LC_FILTER_LIMIT,
    LC_FILTER_CLAIM,
    LC_FILTER_COUNT,
  } LcFilterKind;

  typedef struct
  {
    const LcView *view;
    /* The limits of a service; NULL: none. */
    LcLimit *(*limit) (void *user, const LcService *service);
    void *user;
  } LcFilterContext;

  /* Runs the first five filters in order, until one refuses. */
  LcFilterVerdict lc_filter_run (LcFilterRequest *request, const LcFilterContext *context);

  LcFilterVerdict lc_filter_identify (LcFilterRequest *request);
  LcFilterVerdict lc_filter_route (LcFilterRequest *request, const LcFilterContext *context);
  LcFilterVerdict lc_filter_deadline (LcFilterRequest *request);
  LcFilterVerdict lc_filter_limit (LcFilterRequest *request, const LcFilterContext *context);
  LcFilterVerdict lc_filter_claim (LcFilterRequest *request);

  static inline bool
  lc_slice_is (LcSlice slice, const char *text, size_t len)
  {
    return slice.len == len && __builtin_memcmp (slice.base, text, len) == 0;
  }

#ifdef __cplusplus
}
#endif

#endif /* LC_FILTER_H */
