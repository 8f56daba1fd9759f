/* lc-timer: a one-shot or repeating timer on an h2o event loop.
 *
 * WHAT IT IS
 *   Timers of one loop share one queue: a binary heap by deadline and one timerfd of the monotonic
 *   clock.  h2o's own timeouts are not used, because they follow the wall clock (a step of it
 *   fires them early or late), cost time for each duration in use at every turn of the loop, and
 *   must not be disposed in a callback.
 *
 * HOW TO USE IT
 *     lc_timer_init (&timer, loop, on_tick, me);
 *     lc_timer_start (&timer, 100);          once after 100 ms
 *     lc_timer_finish (&timer);
 *   Start it again in the callback to repeat.  Starting a started timer moves it.
 *
 * RULES
 *   A callback may start, stop or finish any timer, its own too.  A timer that a callback starts
 *   fires at the loop's next turn at the earliest, also with 0 ms.
 *
 * LIFETIME AND THREADS
 *   The timer lives in memory the caller owns.  The queue belongs to the thread that runs the loop;
 *   it is made with the loop's first timer and freed with its last one, so each lc_timer_init needs
 *   its lc_timer_finish.  stop and finish of a zeroed timer do nothing.
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
  uint64_t order;    /* of starts; the earlier start fires first at the same time */
  uint32_t position; /* in the heap, from 1; 0: not started */
} LcTimer;

void lc_timer_init (LcTimer *timer, h2o_loop_t *loop, void (*fired) (void *user), void *user);
void lc_timer_start (LcTimer *timer, uint32_t after_ms);
/* Starts it, unless it fires as soon as that already. */
void lc_timer_hasten (LcTimer *timer, uint32_t after_ms);
void lc_timer_stop (LcTimer *timer);
void lc_timer_finish (LcTimer *timer);

#endif /* LC_TIMER_H */
