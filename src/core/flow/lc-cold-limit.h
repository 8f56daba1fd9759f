/* lc-cold-limit: how many requests a cold backend server is given in any second.
 *
 * WHAT IT IS
 *   For some seconds after its start a backend server bears few requests a second: its caches are
 *   empty, its code is not compiled.  Its service may state that rate.  The agent beside it keeps
 *   to it, since all requests pass there, whoever sends them: no sum over senders is needed, and a
 *   cut between them changes nothing.  A window of a second slides: the times of the last grants
 *   are kept, and one more is granted when the oldest of a rate's worth is a window old.  Fixed
 *   seconds would let twice the rate through in a second that spans two of them.
 *
 * LOAD PATTERN
 *   A data centre's servers come back cold together, after an evacuation or an outage, while the
 *   others are full: all that the others can't take is offered to them at once.
 *
 * LIMITS, AND WHY
 *   - The window is LC_COLD_LIMIT_WINDOW_US, a little over a second: what is granted here arrives a
 *     moment later, by as much as a process waits for its turn.
 *   - An agent that has just started doesn't know what was given in the second before.  Until a
 *     window has passed it grants half of what may be given beyond the rate (overshoot and slack):
 *     then two starts within a second stay below the bound.
 *   - At most LC_COLD_LIMIT_MOST a second; a higher rate is taken for that.
 *
 * HOW TO USE IT
 *     lc_cold_limit_init (&limit, &desc, now_us);      nothing is known of the time before
 *     lc_cold_limit_set_rate (&limit, rate_mrps);      0: its service states none
 *     lc_cold_limit_set_cold (&limit, is_cold);
 *     if (lc_cold_limit_has_room (&limit, now_us)) ... lc_cold_limit_note (&limit, now_us);
 *   Grants are noted whether it is cold or not: it may start again a moment later.
 *
 * LIFETIME
 *   Plain values; nothing to free.
 */
#ifndef LC_COLD_LIMIT_H
#define LC_COLD_LIMIT_H

#include "core/lc-types.h"

#ifdef __cplusplus
extern "C"
{
#endif

  enum
  {
    LC_COLD_LIMIT_MOST = 512,
  };

#define LC_COLD_LIMIT_WINDOW_US (LC_US_PER_S + 50 * LC_US_PER_MS)

  typedef struct
  {
    uint32_t overshoot_permille; /* of the rate that may be given at most; 0: 1000, the rate */
    uint32_t slack;              /* requests that may be given besides */
  } LcColdLimitDesc;

  typedef struct
  {
    LcColdLimitDesc desc;
    uint32_t rate_mrps; /* thousandths of a request a second; 0: no limit */
    bool is_cold;
    int64_t started_us;
    uint32_t n_since_start;               /* grants in the first window */
    uint32_t next;                        /* place of the next grant's time */
    int64_t times_us[LC_COLD_LIMIT_MOST]; /* of the last grants, a ring; 0: none */
  } LcColdLimit;

  void lc_cold_limit_init (LcColdLimit *limit, const LcColdLimitDesc *desc, int64_t now_us);
  /* Nothing was given to the backend server before: it began under this process. */
  void lc_cold_limit_know_all (LcColdLimit *limit);
  void lc_cold_limit_set_rate (LcColdLimit *limit, uint32_t rate_mrps);
  void lc_cold_limit_set_cold (LcColdLimit *limit, bool is_cold);
  bool lc_cold_limit_has_room (const LcColdLimit *limit, int64_t now_us);
  void lc_cold_limit_note (LcColdLimit *limit, int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif /* LC_COLD_LIMIT_H */
