/* lc-clock: reads the monotonic and the wall clock; no other module does.
 *
 * HOW TO USE IT
 *   Event handlers read the time once an event and pass it to decisions as an argument.
 */
#ifndef LC_CLOCK_H
#define LC_CLOCK_H

#include <stdint.h>
#include <time.h>

/* Microseconds of the monotonic clock. */
static inline int64_t
lc_clock_now_us (void)
{
  struct timespec t;

  (void)clock_gettime (CLOCK_MONOTONIC, &t);
  return (int64_t)t.tv_sec * 1000000 + t.tv_nsec / 1000;
}

/* Microseconds since 1970, for logs and audit only: the wall clock may step. */
static inline int64_t
lc_clock_wall_us (void)
{
  struct timespec t;

  (void)clock_gettime (CLOCK_REALTIME, &t);
  return (int64_t)t.tv_sec * 1000000 + t.tv_nsec / 1000;
}

#endif /* LC_CLOCK_H */
