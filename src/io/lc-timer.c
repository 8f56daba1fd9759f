#include "lc-timer.h"

#include "lc-clock.h"

#include <glib.h>
#include <string.h>
#include <sys/timerfd.h>
#include <unistd.h>

enum
{
  LC_TIMER_US_PER_MS = 1000,
  LC_TIMER_US_PER_S = 1000000,
};

struct LcTimerQueue
{
  h2o_loop_t *loop;
  h2o_socket_t *socket; /* of the timerfd */
  int fd;
  GPtrArray *heap; /* LcTimer; heap[i - 1] has position i */
  uint64_t next_order;
  int64_t armed_us;  /* the timerfd's deadline; 0: none */
  uint32_t n_timers; /* between init and finish */
  bool is_running;
  LcTimerQueue *next; /* of this thread */
};

/* An h2o loop has no user pointer, so each thread lists the queues of its loops. */
static __thread LcTimerQueue *lc_timer__queues;

/* === private: the heap ====================================================================== */

static LcTimer *
lc_timer__at (const LcTimerQueue *queue, uint32_t position)
{
  return g_ptr_array_index (queue->heap, position - 1);
}

static void
lc_timer__put (LcTimerQueue *queue, uint32_t position, LcTimer *timer)
{
  queue->heap->pdata[position - 1] = timer;
  timer->position = position;
}

static bool
lc_timer__is_before (const LcTimer *a, const LcTimer *b)
{
  if (a->deadline_us != b->deadline_us)
    return a->deadline_us < b->deadline_us;
  return a->order < b->order;
}

static void
lc_timer__sift_up (LcTimerQueue *queue, LcTimer *timer)
{
  uint32_t at = timer->position;

  while (at > 1 && lc_timer__is_before (timer, lc_timer__at (queue, at / 2)))
    {
      lc_timer__put (queue, at, lc_timer__at (queue, at / 2));
      at /= 2;
    }
  lc_timer__put (queue, at, timer);
}

static void
lc_timer__sift_down (LcTimerQueue *queue, LcTimer *timer)
{
  uint32_t at = timer->position;
  uint32_t n = queue->heap->len;

  while (at * 2 <= n)
    {
      uint32_t child = at * 2;

      if (child < n &&
          lc_timer__is_before (lc_timer__at (queue, child + 1), lc_timer__at (queue, child)))
        child++;
      if (!lc_timer__is_before (lc_timer__at (queue, child), timer))
        break;
      lc_timer__put (queue, at, lc_timer__at (queue, child));
      at = child;
    }
  lc_timer__put (queue, at, timer);
}

static void
lc_timer__remove (LcTimerQueue *queue, LcTimer *timer)
{
  uint32_t hole = timer->position;
  LcTimer *last = lc_timer__at (queue, queue->heap->len);

  g_ptr_array_set_size (queue->heap, (gint)queue->heap->len - 1);
  timer->position = 0;
  if (last == timer)
    return;
  lc_timer__put (queue, hole, last);
  lc_timer__sift_up (queue, last);
  lc_timer__sift_down (queue, last);
}

/* === private: the queue ===================================================================== */

/* Sets the timerfd to the earliest deadline if that changed. */
static void
lc_timer__arm (LcTimerQueue *queue)
{
  struct itimerspec when = { 0 };
  int64_t first_us = queue->heap->len > 0 ? lc_timer__at (queue, 1)->deadline_us : 0;

  if (queue->is_running || first_us == queue->armed_us)
    return;
  when.it_value.tv_sec = first_us / LC_TIMER_US_PER_S;
  when.it_value.tv_nsec = (first_us % LC_TIMER_US_PER_S) * 1000;
  (void)timerfd_settime (queue->fd, TFD_TIMER_ABSTIME, &when, NULL);
  queue->armed_us = first_us;
}

static void
lc_timer__free_queue (LcTimerQueue *queue)
{
  LcTimerQueue **at = &lc_timer__queues;

  while (*at != queue)
    at = &(*at)->next;
  *at = queue->next;
  h2o_socket_close (queue->socket);
  g_ptr_array_free (queue->heap, TRUE);
  g_free (queue);
}

/* Runs due timers that were started before this turn, so that a callback that restarts its timer
 * with 0 ms can't starve the loop. */
static void
lc_timer__run_due (LcTimerQueue *queue)
{
  int64_t now_us = lc_clock_now_us ();
  uint64_t turn_order = queue->next_order;

  queue->is_running = true;
  while (queue->heap->len > 0)
    {
      LcTimer *timer = lc_timer__at (queue, 1);

      if (timer->deadline_us > now_us || timer->order >= turn_order)
        break;
      lc_timer__remove (queue, timer);
      timer->fired (timer->user);
    }
  queue->is_running = false;
}

static void
lc_timer__on_readable (h2o_socket_t *socket, const char *err)
{
  LcTimerQueue *queue = socket->data;
  uint64_t expirations;

  (void)err;
  (void)!read (queue->fd, &expirations, sizeof expirations);
  queue->armed_us = 0;
  lc_timer__run_due (queue);
  if (queue->n_timers == 0)
    lc_timer__free_queue (queue);
  else
    lc_timer__arm (queue);
}

static LcTimerQueue *
lc_timer__queue_of (h2o_loop_t *loop)
{
  LcTimerQueue *queue = lc_timer__queues;

  while (queue != NULL && queue->loop != loop)
    queue = queue->next;
  if (queue != NULL)
    return queue;
  queue = g_new0 (LcTimerQueue, 1);
  queue->loop = loop;
  queue->heap = g_ptr_array_new ();
  queue->fd = timerfd_create (CLOCK_MONOTONIC, TFD_CLOEXEC | TFD_NONBLOCK);
  if (queue->fd < 0)
    g_error ("no timerfd: raise the limit of open files");
  queue->socket = h2o_evloop_socket_create (loop, queue->fd, H2O_SOCKET_FLAG_DONT_READ);
  queue->socket->data = queue;
  h2o_socket_read_start (queue->socket, lc_timer__on_readable);
  queue->next = lc_timer__queues;
  lc_timer__queues = queue;
  return queue;
}

/* === public ================================================================================= */

void
lc_timer_init (LcTimer *timer, h2o_loop_t *loop, void (*fired) (void *user), void *user)
{
  memset (timer, 0, sizeof *timer);
  timer->queue = lc_timer__queue_of (loop);
  timer->queue->n_timers++;
  timer->fired = fired;
  timer->user = user;
}

void
lc_timer_start (LcTimer *timer, uint32_t after_ms)
{
  LcTimerQueue *queue = timer->queue;

  if (timer->position != 0)
    lc_timer__remove (queue, timer);
  timer->deadline_us = lc_clock_now_us () + (int64_t)after_ms * LC_TIMER_US_PER_MS;
  timer->order = queue->next_order++;
  g_ptr_array_add (queue->heap, timer);
  timer->position = queue->heap->len;
  lc_timer__sift_up (queue, timer);
  lc_timer__arm (queue);
}

void
lc_timer_ensure_within (LcTimer *timer, uint32_t after_ms)
{
  if (timer->position == 0 ||
      timer->deadline_us > lc_clock_now_us () + (int64_t)after_ms * LC_TIMER_US_PER_MS)
    lc_timer_start (timer, after_ms);
}

/* Leaves the timerfd armed: one spurious wake-up is cheaper than a system call. */
void
lc_timer_stop (LcTimer *timer)
{
  if (timer->position != 0)
    lc_timer__remove (timer->queue, timer);
}

void
lc_timer_finish (LcTimer *timer)
{
  LcTimerQueue *queue = timer->queue;

  if (queue == NULL)
    return;
  lc_timer_stop (timer);
  timer->queue = NULL;
  queue->n_timers--;
  if (queue->n_timers == 0 && !queue->is_running)
    lc_timer__free_queue (queue);
}
