/* Steps of the wall clock must not move timers.
 *
 * h2o's loop reads gettimeofday; the definition here overrides the C library's and steps while a
 * timer runs. */
#include "io/lc-clock.h"
#include "io/lc-timer.h"
#include "tests/fakes/lc-fake-run.h"

#include <check.h>
#include <stdlib.h>
#include <sys/time.h>

enum
{
  AFTER_MS = 60,
  TURN_WAIT_MS = 500, /* the loop's wait: a timer that depended on it would be this late */
  LIVENESS_US = 20000000,
};

static int64_t step_us;
static int n_reads;

int
gettimeofday (struct timeval *restrict now, void *restrict zone)
{
  int64_t us = lc_clock_wall_us () + step_us;

  (void)zone;
  n_reads++;
  now->tv_sec = us / 1000000;
  now->tv_usec = us % 1000000;
  return 0;
}

static const int64_t STEPS_US[] = { 0, INT64_C (3600000000), INT64_C (-3600000000),
                                    INT64_C (-86400000000) };

static void
on_fired (void *user)
{
  *(int64_t *)user = lc_clock_now_us ();
}

START_TEST (test_wall_clock_step)
{
  h2o_loop_t *loop = h2o_evloop_create ();
  int64_t fired_us = 0;
  int64_t start_us;
  LcTimer timer;

  step_us = 0;
  n_reads = 0;
  lc_timer_init (&timer, loop, on_fired, &fired_us);
  (void)h2o_evloop_run (loop, 1);
  start_us = lc_clock_now_us ();
  lc_timer_start (&timer, AFTER_MS);
  step_us = STEPS_US[_i];
  while (fired_us == 0 && lc_clock_now_us () - start_us < LIVENESS_US)
    (void)h2o_evloop_run (loop, TURN_WAIT_MS);
  ck_assert_int_gt (n_reads, 0); /* else h2o uses another clock, and this tests nothing */
  ck_assert_int_ge (fired_us - start_us, AFTER_MS * 1000);
  ck_assert_int_lt (fired_us - start_us, LIVENESS_US);
  lc_timer_finish (&timer);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("clock-step");
  TCase *tcase = tcase_create ("loop");

  tcase_set_timeout (tcase, 60);
  tcase_add_loop_test (tcase, test_wall_clock_step, 0, sizeof STEPS_US / sizeof STEPS_US[0]);
  suite_add_tcase (suite, tcase);
  return lc_fake_run (suite);
}
