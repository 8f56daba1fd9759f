/* lc-warmup-limit: sliding-window rate limiter for a backend server that is warming up.
 *
 * WHAT IT IS
 *   For some seconds after its start a backend server handles few requests a second: its caches
 *   are empty, its code is not compiled.  Its service may set that rate.  The agent beside the
 *   server enforces it, since all requests pass there: no sum over senders is needed, and a network
 *   partition between them changes nothing.  The limiter keeps the times of the last grants, and
 *   grants one more when the oldest of a rate's worth is a window old.  Fixed windows would let
 *   twice the rate through in a second that spans two of them.
 *
 * LOAD PATTERN
 *   A data centre's servers come back cold together, after an evacuation or an outage, while the
 *   others are at capacity: all excess load is offered to the cold ones at once.
 *
 * LIMITS, AND WHY
 *   - The window is LC_WARMUP_LIMIT_WINDOW_US, a little over a second: a granted request reaches
 *     the server later, by up to a scheduling delay.
 *   - A restarted agent has no record of the second before.  For one window it grants only half of
 *     what is allowed beyond the rate (overshoot and slack), so that two starts within a second
 *     stay below the bound.
 *   - Rates above LC_WARMUP_LIMIT_MAX_RATE a second are treated as that.
 *
 * HOW TO USE IT
 *     lc_warmup_limit_init (&limit, &desc, now_us);      earlier grants are unknown
 *     lc_warmup_limit_set_rate (&limit, rate_mrps);      0: no limit
 *     lc_warmup_limit_set_cold (&limit, is_cold);
 *     if (lc_warmup_limit_allows (&limit, now_us))
 *       lc_warmup_limit_record (&limit, now_us);         and give the request to the server
 *   Record grants while the server is warm, too: it may restart a moment later.
 *
 * LIFETIME
 *   Plain values; nothing to free.
 */
#ifndef LC_WARMUP_LIMIT_H
#define LC_WARMUP_LIMIT_H

#include "core/lc-types.h"

#ifdef __cplusplus
extern "C"
{
#endif

  enum
  {
    LC_WARMUP_LIMIT_MAX_RATE = 512,
  };

#define LC_WARMUP_LIMIT_WINDOW_US (LC_US_PER_S + 50 * LC_US_PER_MS)

  typedef struct
  {
    uint32_t overshoot_permille; /* bound in any second, of the rate; below 1000: 1000, the rate */
    uint32_t slack;              /* requests a second allowed beyond that */
  } LcWarmupLimitDesc;

  typedef struct
  {
    LcWarmupLimitDesc desc;
    uint32_t rate_mrps; /* thousandths of a request a second; 0: no limit */
    bool is_cold;
    int64_t started_us;
    uint32_t n_since_start;                     /* grants in the first window */
    uint32_t next;                              /* index of the next grant in `times_us` */
    int64_t times_us[LC_WARMUP_LIMIT_MAX_RATE]; /* ring buffer of the last grants; 0: none */
  } LcWarmupLimit;

  void lc_warmup_limit_init (LcWarmupLimit *limit, const LcWarmupLimitDesc *desc, int64_t now_us);
  /* The backend server started under this process, so there were no earlier grants: the reduced
   * limit of the first window doesn't apply. */
  void lc_warmup_limit_skip_first_window (LcWarmupLimit *limit);
  void lc_warmup_limit_set_rate (LcWarmupLimit *limit, uint32_t rate_mrps);
  void lc_warmup_limit_set_cold (LcWarmupLimit *limit, bool is_cold);
  bool lc_warmup_limit_allows (const LcWarmupLimit *limit, int64_t now_us);
  void lc_warmup_limit_record (LcWarmupLimit *limit, int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif /* LC_WARMUP_LIMIT_H */
