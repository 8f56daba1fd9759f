/* lc-filter: the chain that each request passes at a balancer.
 *
 * WHAT IT IS
 *   Seven small filters in a fixed order.  The first five look at the request once, when it has
 *   arrived whole; each fills in what it finds out and may refuse the request:
 *     identify   id, idempotent or not, the caller's key and timeout
 *     route      host and path to a service
 *     deadline   when the caller must have its answer (needs the service's timeout)
 *     limit      per caller and per service, in flight
 *     claim      the key under which it may run at most once
 *   The last two run at each event of the request:
 *     attempt    where the next attempt goes, or why there is none (lc-filter-attempt.h)
 *     answer     what the caller is told (lc-filter-answer.h)
 *
 * HOW TO USE IT
 *     LcFilterRequest request = { .method = ..., .now_us = now };
 *     LcFilterVerdict verdict = lc_filter_run (&request, view, find_limit, user);
 *     if (verdict.kind == LC_FILTER_REFUSE) ... lc_filter_answer_refused (...)
 *
 * LIFETIME
 *   Strings belong to the caller and are not kept; `service` is valid until the view changes.
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

#define LC_FILTER_ASK_PREFIX "/.well-known/lychee/requests/"

  typedef struct
  {
    const char *base;
    size_t len;
  } LcSlice;

  typedef struct
  {
    /* From the caller. */
    LcSlice method;
    LcSlice path;
    LcSlice host;
    LcSlice body;
    LcSlice key_text;     /* Idempotency-Key; len 0: none */
    LcSlice timeout_text; /* Lychee-Timeout-Ms; len 0: none */
    uint32_t caller;      /* its IPv4 address */
    LcRequestId random;   /* fresh random bits: the id, if the request goes on */
    int64_t now_us;

    /* Found by the filters. */
    LcRequestId id;
    LcRequestKey key; /* none for idempotent requests */
    bool is_caller_key;
    bool is_ask; /* asks what became of `key` */
    uint32_t timeout_ms;
    const LcService *service;
    uint64_t digest;
    int64_t deadline_us;
    bool is_limited; /* lc_limit_leave is due at the end */
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
    LcRefuseReason reason; /* REFUSE: for limits; else LC_REFUSE_NONE */
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

  /* Runs the first five in order, until one refuses. */
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
