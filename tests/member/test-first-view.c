/* How long a member that starts waits for the newest view: a table. */
#include "core/member/lc-first-view.h"
#include "tests/fakes/lc-fake-run.h"

#include <check.h>

enum
{
  MS = LC_US_PER_MS,
};

static const struct
{
  const char *what;
  int64_t offered_ms; /* after the start; -1: none has a view yet */
  int64_t again_ms;   /* another upstream offers one; -1: none */
  uint32_t n_unheard;
  int64_t at_ms;
  bool may_take;
} CASES[] = {
  { "all have said what they have", 10, -1, 0, 10, true },
  { "one has a view, others just started to answer", 10, -1, 2, 30, false },
  { "the others don't answer", 10, -1, 2, 70, true },
  { "a second offer does not begin the wait again", 10, 60, 2, 70, true },
  { "nobody has a view", -1, -1, 2, 499, false },
  { "nobody is waited for any more", -1, -1, 2, 500, true },
  { "after a return of all: offered late, others still away", 420, -1, 4, 470, false },
  { "the same, a moment later", 420, -1, 4, 480, true },
  { "offered so late that the start is long past", 495, -1, 4, 501, true },
};

START_TEST (test_wait)
{
  static const int64_t START_US = 7000 * MS;
  LcFirstView first = { .started_us = START_US };

  if (CASES[_i].offered_ms >= 0)
    lc_first_view_offered (&first, START_US + CASES[_i].offered_ms * MS);
  if (CASES[_i].again_ms >= 0)
    lc_first_view_offered (&first, START_US + CASES[_i].again_ms * MS);
  ck_assert_msg (lc_first_view_may_take (&first, CASES[_i].n_unheard,
                                         START_US + CASES[_i].at_ms * MS) == CASES[_i].may_take,
                 "%s", CASES[_i].what);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("first-view");
  TCase *tcase = tcase_create ("wait");

  tcase_add_loop_test (tcase, test_wait, 0, (int)(sizeof CASES / sizeof CASES[0]));
  suite_add_tcase (suite, tcase);
  return lc_fake_run (suite);
}
