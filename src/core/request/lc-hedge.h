/* lc-hedge: the delay of hedged attempts of idempotent requests.
 *
 * WHAT IT IS
 *   A smoothed estimate of the latency (mean and mean deviation).  An attempt still open after
 *   mean + 4 deviations is hedged once, if the retry budget allows it.  The first complete answer
 *   wins; the other attempt is cancelled.
 *
 * LIFETIME
 *   A plain value, one per service.
 */
#ifndef LC_HEDGE_H
#define LC_HEDGE_H

#include "core/lc-types.h"

#ifdef __cplusplus
extern "C"
{
#endif

  enum
  {
    LC_HEDGE_SMOOTHING = 16,
    LC_HEDGE_DEVIATIONS = 4,
    LC_HEDGE_MIN_SAMPLES = 32,
  };

#define LC_HEDGE_MIN_DELAY_US (5 * LC_US_PER_MS)

  typedef struct
  {
    int64_t mean_us;
    int64_t deviation_us;
    uint32_t n_samples;
  } LcHedge;

  static inline void
  lc_hedge_record_latency (LcHedge *hedge, int64_t took_us)
  {
    int64_t error_us = took_us - hedge->mean_us;

    if (hedge->n_samples == 0)
      {
        hedge->mean_us = took_us;
        hedge->deviation_us = took_us / 2;
      }
    else
      {
        hedge->mean_us += error_us / LC_HEDGE_SMOOTHING;
        if (error_us < 0)
          error_us = -error_us;
        hedge->deviation_us += (error_us - hedge->deviation_us) / LC_HEDGE_SMOOTHING;
      }
    if (hedge->n_samples < LC_HEDGE_MIN_SAMPLES)
      hedge->n_samples++;
  }

  /* The delay before hedging; 0 (no hedging) while there are too few samples. */
  static inline int64_t
  lc_hedge_delay_us (const LcHedge *hedge)
  {
    int64_t after_us = hedge->mean_us + LC_HEDGE_DEVIATIONS * hedge->deviation_us;

    if (hedge->n_samples < LC_HEDGE_MIN_SAMPLES)
      return 0;
    return after_us > LC_HEDGE_MIN_DELAY_US ? after_us : LC_HEDGE_MIN_DELAY_US;
  }

#ifdef __cplusplus
}
#endif

#endif /* LC_HEDGE_H */
