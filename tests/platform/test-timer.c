/* Timers on an h2o loop: order, restarting, and callbacks that change timers. */
#include "io/lc-clock.h"
#include "io/lc-timer.h"
#include "tests/fakes/lc-fake-run.h"

#include <check.h>
#include <glib.h>
#include <stdlib.h>

enum
{
  MAX_TIMERS = 500,
  TURN_WAIT_MS = 20,
  LIVENESS_US = 20000000, /* only a timer that never fires reaches it */
};

typedef struct World World;

typedef struct
{
  World *world;
  LcTimer timer;
  int id;
  uint32_t restart_ms;
  int restarts; /* left */
  int finishes; /* id of a timer that the callback finishes; -1: none */
  bool is_finished;
} Item;

struct World
{
  h2o_loop_t *loop;
  Item items[MAX_TIMERS];
  int fired[4 * MAX_TIMERS];
  int n_fired;
};

static void
on_fired (void *user)
{
  Item *item = user;
  World *w = item->world;

  w->fired[w->n_fired++] = item->id;
  if (item->restarts-- > 0)
    lc_timer_start (&item->timer, item->restart_ms);
  if (item->finishes >= 0)
    {
      lc_timer_finish (&w->items[item->finishes].timer);
      w->items[item->finishes].is_finished = true;
    }
}

static World *
new_world (int n)
{
  World *w = g_new0 (World, 1);

  w->loop = h2o_evloop_create ();
  for (int i = 0; i < n; i++)
    {
      w->items[i] = (Item){ .world = w, .id = i, .finishes = -1 };
      lc_timer_init (&w->items[i].timer, w->loop, on_fired, &w->items[i]);
    }
  return w;
}

static void
run_until (World *w, int n_fired)
{
  int64_t limit_us = lc_clock_now_us () + LIVENESS_US;

  while (w->n_fired < n_fired && lc_clock_now_us () < limit_us)
    (void)h2o_evloop_run (w->loop, TURN_WAIT_MS);
  ck_assert_int_eq (w->n_fired, n_fired);
}

static void
free_world (World *w, int n)
{
  for (int i = 0; i < n; i++)
    lc_timer_finish (&w->items[i].timer);
  for (int i = 0; i < 3; i++)
    (void)h2o_evloop_run (w->loop, 1);
  g_free (w);
}

/* Durations of `n` timers and the order in which they fire. */
static const struct
{
  uint32_t start_ms[5];
  int order[5];
  int n;
} ORDER_CASES[] = {
  { { 30, 20, 10 }, { 2, 1, 0 }, 3 },
  { { 10, 10, 10 }, { 0, 1, 2 }, 3 },
  { { 40, 1, 30, 2, 20 }, { 1, 3, 4, 2, 0 }, 5 },
};

START_TEST (test_order)
{
  World *w = new_world (ORDER_CASES[_i].n);

  for (int i = 0; i < ORDER_CASES[_i].n; i++)
    lc_timer_start (&w->items[i].timer, ORDER_CASES[_i].start_ms[i]);
  run_until (w, ORDER_CASES[_i].n);
  for (int i = 0; i < ORDER_CASES[_i].n; i++)
    ck_assert_int_eq (w->fired[i], ORDER_CASES[_i].order[i]);
  free_world (w, ORDER_CASES[_i].n);
}
END_TEST

START_TEST (test_stop_and_move)
{
  World *w = new_world (3);

  for (int i = 0; i < 3; i++)
    lc_timer_start (&w->items[i].timer, 5);
  lc_timer_stop (&w->items[0].timer);
  lc_timer_start (&w->items[1].timer, 30);
  run_until (w, 2);
  ck_assert_int_eq (w->fired[0], 2);
  ck_assert_int_eq (w->fired[1], 1);
  free_world (w, 3);
}
END_TEST

/* h2o's own timeouts crash here: the loop iterates over the list that the callback changes. */
START_TEST (test_finish_in_callback)
{
  World *w = new_world (3);

  w->items[0].finishes = 0;
  w->items[1].finishes = 2;
  lc_timer_start (&w->items[0].timer, 1);
  lc_timer_start (&w->items[1].timer, 2);
  lc_timer_start (&w->items[2].timer, 3);
  run_until (w, 2);
  (void)h2o_evloop_run (w->loop, TURN_WAIT_MS);
  ck_assert_int_eq (w->n_fired, 2);
  free_world (w, 3);
}
END_TEST

START_TEST (test_last_timer_finishes_itself)
{
  World *w = new_world (1);

  w->items[0].finishes = 0;
  lc_timer_start (&w->items[0].timer, 1);
  run_until (w, 1);
  free_world (w, 1);
}
END_TEST

START_TEST (test_restart_with_another_duration)
{
  World *w = new_world (2);

  w->items[0].restart_ms = 3;
  w->items[0].restarts = 4;
  lc_timer_start (&w->items[0].timer, 1);
  lc_timer_start (&w->items[1].timer, 1);
  run_until (w, 6);
  free_world (w, 2);
}
END_TEST

START_TEST (test_zero_does_not_starve_the_loop)
{
  World *w = new_world (1);

  w->items[0].restarts = 1000;
  lc_timer_start (&w->items[0].timer, 0);
  for (int turns = 0; turns < 10; turns++)
    (void)h2o_evloop_run (w->loop, TURN_WAIT_MS);
  ck_assert_int_ge (w->n_fired, 1);
  ck_assert_int_le (w->n_fired, 10);
  free_world (w, 1);
}
END_TEST

/* After many random starts, moves and stops, timers fire in order of their deadlines. */
START_TEST (test_random_starts_and_stops)
{
  World *w = new_world (MAX_TIMERS);
  GRand *random = g_rand_new_with_seed (20261202);
  int n_started = 0;

  for (int i = 0; i < 4 * MAX_TIMERS; i++)
    {
      LcTimer *timer = &w->items[g_rand_int_range (random, 0, MAX_TIMERS)].timer;

      if (g_rand_int_range (random, 0, 4) == 0)
        lc_timer_stop (timer);
      else
        lc_timer_start (timer, (uint32_t)g_rand_int_range (random, 1, 60));
    }
  for (int i = 0; i < MAX_TIMERS; i++)
    n_started += w->items[i].timer.position != 0;
  run_until (w, n_started);
  for (int i = 1; i < n_started; i++)
    ck_assert (w->items[w->fired[i - 1]].timer.deadline_us <=
               w->items[w->fired[i]].timer.deadline_us);
  g_rand_free (random);
  free_world (w, MAX_TIMERS);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("timer");
  TCase *tcase = tcase_create ("loop");

  tcase_set_timeout (tcase, 60);
  tcase_add_loop_test (tcase, test_order, 0, G_N_ELEMENTS (ORDER_CASES));
  tcase_add_test (tcase, test_stop_and_move);
  tcase_add_test (tcase, test_finish_in_callback);
  tcase_add_test (tcase, test_last_timer_finishes_itself);
  tcase_add_test (tcase, test_restart_with_another_duration);
  tcase_add_test (tcase, test_zero_does_not_starve_the_loop);
  tcase_add_test (tcase, test_random_starts_and_stops);
  suite_add_tcase (suite, tcase);
  return lc_fake_run (suite);
}
