/* lc-deadline: a request's deadline, and its propagation to agents.
 *
 * WHAT IT IS
 *   The deadline is the service's timeout or the caller's if that is shorter, and at most a minute
 *   away: claims rely on that bound.  Processes send each other the time left, never a clock value,
 *   so clocks need not agree.  An agent gets a little less than the balancer has, so that its
 *   refusal ("expired while queued: not run") still arrives in time; and a caller that sends its
 *   timeout is answered a little before that.
 */
#ifndef LC_DEADLINE_H
#define LC_DEADLINE_H

#include "core/lc-types.h"

#ifdef __cplusplus
extern "C"
{
#endif

  enum
  {
    LC_DEADLINE_DEFAULT_MS = 30000,
    LC_DEADLINE_MAX_MS = 60000,
    LC_DEADLINE_MARGIN_SHARE = 10, /* a tenth of the time left */
  };

#define LC_DEADLINE_MARGIN_US (50 * LC_US_PER_MS)

  /* Timeouts in milliseconds; 0: none. */
  static inline int64_t
  lc_deadline_us (int64_t now_us, uint32_t service_ms, uint32_t caller_ms)
  {
    uint32_t ms = service_ms != 0 ? service_ms : LC_DEADLINE_DEFAULT_MS;

    if (ms > LC_DEADLINE_MAX_MS)
      ms = LC_DEADLINE_MAX_MS;
    if (caller_ms != 0 && caller_ms < ms)
      ms = caller_ms;
    return now_us + ms * LC_US_PER_MS;
  }

  /* The time left that is sent to an agent: less a tenth, at most 50 ms; 0 after the deadline. */
  static inline int64_t
  lc_deadline_agent_left_us (int64_t deadline_us, int64_t now_us)
  {
    int64_t left_us = deadline_us - now_us;
    int64_t margin_us = left_us / LC_DEADLINE_MARGIN_SHARE;

    if (left_us <= 0)
      return 0;
    return left_us - (margin_us < LC_DEADLINE_MARGIN_US ? margin_us : LC_DEADLINE_MARGIN_US);
  }

  /* When a caller is answered at the latest: a little before its own timeout, since an answer at
   * that moment would come after it has left. */
  static inline int64_t
  lc_deadline_answer_us (int64_t now_us, uint32_t service_ms, uint32_t caller_ms)
  {
    int64_t deadline_us = lc_deadline_us (now_us, service_ms, caller_ms);
    int64_t leaves_us = now_us + caller_ms * LC_US_PER_MS;
    int64_t answer_us = now_us + lc_deadline_agent_left_us (leaves_us, now_us);

    return caller_ms != 0 && answer_us < deadline_us ? answer_us : deadline_us;
  }

#ifdef __cplusplus
}
#endif

#endif /* LC_DEADLINE_H */
