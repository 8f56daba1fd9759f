/* lc-timer: one-shot timers of the monotonic clock on an h2o event loop.
 *
 * WHAT IT IS
 *   All timers of a loop share one queue: a binary heap by deadline and one timerfd.  h2o's own
 *   timeouts are not used, because they follow the wall clock (a step of it fires them early or
 *   late), cost time for each duration in use on every turn of the loop, and must not be disposed
 *   in a callback.
 *
 * HOW TO USE IT
 *     lc_timer_init (&timer, loop, on_tick, me);
 *     lc_timer_start (&timer, 100);          once after 100 ms
 *     lc_timer_finish (&timer);
 *   To repeat, start it again in its callback.  Starting a started timer moves it.
 *
 * RULES
 *   A callback may start, stop or finish any timer, including its own.  A timer that a callback
 *   starts, even with 0 ms, fires on the loop's next turn at the earliest.
 *
 * LIFETIME AND THREADS
 *   The timer lives in memory the caller owns and is used on the loop's thread.  The loop's first
 *   timer allocates the queue and its last one frees it, so each lc_timer_init needs a
 *   lc_timer_finish.  stop and finish of a zeroed timer do nothing.
 *
 * LIMITS
 *   Starting or stopping costs O(log n) of the started timers, and one system call when the
 *   earliest deadline changes.
 */
#ifndef LC_TIMER_H
#define LC_TIMER_H

#include <h2o.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct LcTimerQueue LcTimerQueue;

typedef struct
{
  LcTimerQueue *queue;
  void (*fired) (void *user);
  void *user;
  int64_t deadline_us;
  uint64_t order;    /* of starts: breaks ties of deadlines */
  uint32_t position; /* in the heap, from 1; 0: not started */
} LcTimer;

void lc_timer_init (LcTimer *timer, h2o_loop_t *loop, void (*fired) (void *user), void *user);
void lc_timer_start (LcTimer *timer, uint32_t after_ms);
/* Makes it fire within after_ms: starts it, unless it is due by then anyway. */
void lc_timer_ensure_within (LcTimer *timer, uint32_t after_ms);
void lc_timer_stop (LcTimer *timer);
void lc_timer_finish (LcTimer *timer);

#endif /* LC_TIMER_H */
