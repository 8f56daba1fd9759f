/* lc-burn-ring: the history of one process's counts for one service, in fixed memory.
 *
 * WHAT IT IS
 *   Samples of the counts at four spacings, each in a ring buffer: 10 s for 6 minutes, 1 min for 72
 *   minutes, 10 min for 6.6 hours, 1 h for 3 days.  A long window needs few samples, a short one
 *   needs close ones.
 *
 * HOW TO USE IT
 *     LcBurnRing ring = { 0 };
 *     lc_burn_ring_tick (&ring, uptime_us, &counts);                        at any interval
 *     size_t n = lc_burn_ring_read (&ring, samples, LC_BURN_RING_SAMPLES);  oldest first
 *
 * LIFETIME
 *   A plain value of about 18 KiB; it owns nothing.
 */
#ifndef LC_BURN_RING_H
#define LC_BURN_RING_H

#include "lc-burn.h"

#ifdef __cplusplus
extern "C"
{
#endif

  enum
  {
    LC_BURN_LEVELS = 4,
    LC_BURN_LEVEL_MAX = 75,
    LC_BURN_RING_SAMPLES = 36 + 72 + 40 + 75,
  };

  typedef struct
  {
    LcBurnSample samples[LC_BURN_LEVEL_MAX];
    uint32_t n;
    uint32_t next;
    int64_t due_us; /* uptime at which the next sample is due */
  } LcBurnLevel;

  typedef struct
  {
    LcBurnLevel levels[LC_BURN_LEVELS];
  } LcBurnRing;

  /* Adds a sample to each level whose spacing has passed. */
  void lc_burn_ring_tick (LcBurnRing *ring, int64_t uptime_us, const LcBurnCounts *counts);
  /* Copies at most `max` samples, ordered by uptime, each uptime once; returns how many. */
  size_t lc_burn_ring_read (const LcBurnRing *ring, LcBurnSample *out, size_t max);

#ifdef __cplusplus
}
#endif

#endif /* LC_BURN_RING_H */
