/* lc-retry: the retry budget of one service at one balancer.
 *
 * WHAT IT IS
 *   A token bucket that bounds retries and hedges to a share of recent requests, so that they can't
 *   amplify an overload.  Each request deposits percent/100 of a token, each retry takes one token.
 *   A retry after a refusal for reasons of the endpoint (draining, replaced instance) or a failed
 *   send is free, because it adds no load to that of the request itself.
 *
 * LIFETIME
 *   A plain value.
 */
#ifndef LC_RETRY_H
#define LC_RETRY_H

#include "core/lc-types.h"

#ifdef __cplusplus
extern "C"
{
#endif

  enum
  {
    LC_RETRY_TOKEN = 1000,     /* in thousandths */
    LC_RETRY_MAX_TOKENS = 10,  /* the bucket's capacity */
    LC_RETRY_FIRST_TOKENS = 2, /* initially in the bucket */
    LC_RETRY_PERCENT = 10,
    LC_RETRY_MAX_PERCENT = 100,
  };

  typedef struct
  {
    uint32_t milli_tokens;
    uint32_t percent;
    uint64_t denied_total;
  } LcRetryBudget;

  /* `percent` 0 means LC_RETRY_PERCENT. */
  static inline void
  lc_retry_init (LcRetryBudget *budget, uint32_t percent)
  {
    budget->milli_tokens = LC_RETRY_FIRST_TOKENS * LC_RETRY_TOKEN;
    budget->percent = percent != 0 ? percent : (uint32_t)LC_RETRY_PERCENT;
    if (budget->percent > (uint32_t)LC_RETRY_MAX_PERCENT)
      budget->percent = LC_RETRY_MAX_PERCENT;
    budget->denied_total = 0;
  }

  static inline void
  lc_retry_deposit (LcRetryBudget *budget)
  {
    budget->milli_tokens += budget->percent * LC_RETRY_TOKEN / 100;
    if (budget->milli_tokens > LC_RETRY_MAX_TOKENS * LC_RETRY_TOKEN)
      budget->milli_tokens = LC_RETRY_MAX_TOKENS * LC_RETRY_TOKEN;
  }

  static inline bool
  lc_retry_withdraw (LcRetryBudget *budget)
  {
    if (budget->milli_tokens < LC_RETRY_TOKEN)
      {
        budget->denied_total++;
        return false;
      }
    budget->milli_tokens -= LC_RETRY_TOKEN;
    return true;
  }

#ifdef __cplusplus
}
#endif

#endif /* LC_RETRY_H */
