/* How long a starting member waits for a newer view: too short, and it takes an old view from an
 * upstream that is cut off; too long, and it does not serve.
 */
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
  uint32_t n_unanswered;
  int64_t at_ms;
  bool may_take;
} CASES[] = {
  { "all have reported their revision", 10, -1, 0, 10, true },
  { "one has a view, the others have little time to answer", 10, -1, 2, 30, false },
  { "the others don't answer in time", 10, -1, 2, 70, true },
  { "a second offer does not restart the wait", 10, 60, 2, 70, true },
  { "nobody has a view", -1, -1, 2, 499, false },
  { "nobody has a view, and the wait ends", -1, -1, 2, 500, true },
  { "after a restart of all: offered late, others still down", 420, -1, 4, 470, false },
  { "the same, a moment later", 420, -1, 4, 480, true },
  { "offered just before the wait ends", 495, -1, 4, 501, true },
};

/* Whether a view may be taken, by the time since the start and since the first offer. */
START_TEST (test_wait)
{
  static const int64_t START_US = 7000 * MS;
  LcFirstView first = { .started_us = START_US };

  if (CASES[_i].offered_ms >= 0)
    lc_first_view_record_offer (&first, START_US + CASES[_i].offered_ms * MS);
  if (CASES[_i].again_ms >= 0)
    lc_first_view_record_offer (&first, START_US + CASES[_i].again_ms * MS);
  ck_assert_msg (lc_first_view_may_accept (&first, CASES[_i].n_unanswered,
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
