/* When a view counts as stale: by the revision that it lacks and for how long, never because it is
 * slightly behind a steady flow of updates.
 */
#include "core/member/lc-staleness.h"
#include "tests/fakes/lc-fake-run.h"

#include <string.h>

#define MS LC_US_PER_MS

typedef struct
{
  int64_t at_ms;
  LcRevision own;
  LcRevision reported; /* by a peer, just before */
  LcStalenessChange expected;
} Step;

static const struct
{
  const char *what;
  Step steps[8];
} CASES[] = {
  { "no revision was reported",
    { { 0, 5, 0, LC_STALENESS_SAME }, { 9000, 5, 0, LC_STALENESS_SAME } } },
  { "nothing is missing", { { 0, 5, 5, LC_STALENESS_SAME }, { 9000, 5, 5, LC_STALENESS_SAME } } },
  { "a steady flow of updates, which it follows",
    { { 0, 5, 6, LC_STALENESS_SAME },
      { 500, 6, 9, LC_STALENESS_SAME },
      { 1000, 9, 12, LC_STALENESS_SAME },
      { 1600, 12, 15, LC_STALENESS_SAME },
      { 2300, 15, 20, LC_STALENESS_SAME },
      { 3000, 20, 25, LC_STALENESS_SAME } } },
  { "it stops, and catches up",
    { { 0, 5, 6, LC_STALENESS_SAME },
      { 1499, 5, 6, LC_STALENESS_SAME },
      { 1500, 5, 9, LC_STALENESS_BEGINS },
      { 1600, 5, 9, LC_STALENESS_SAME },
      { 1700, 9, 9, LC_STALENESS_ENDS } } },
  { "it follows too slowly",
    { { 0, 5, 10, LC_STALENESS_SAME },
      { 1000, 7, 20, LC_STALENESS_SAME },
      { 1500, 9, 30, LC_STALENESS_BEGINS },
      { 1600, 10, 30, LC_STALENESS_ENDS },
      { 3100, 12, 40, LC_STALENESS_BEGINS } } },
};

/* When staleness begins and ends. */
START_TEST (test_steps)
{
  LcStaleness s;

  memset (&s, 0, sizeof s);
  for (int i = 0; i < 8 && CASES[_i].steps[i].own != 0; i++)
    {
      const Step *step = &CASES[_i].steps[i];

      lc_staleness_note (&s, step->reported);
      ck_assert_msg (lc_staleness_check (&s, step->own, step->at_ms * MS) == step->expected,
                     "%s: step %d", CASES[_i].what, i);
    }
}
END_TEST

/* Only an upstream that lacks the revision, too, is left, not one that has yet to send it. */
START_TEST (test_upstream_lacks)
{
  LcStaleness s;

  memset (&s, 0, sizeof s);
  lc_staleness_note (&s, 10);
  ck_assert_int_eq (lc_staleness_check (&s, 5, 0), LC_STALENESS_SAME);
  ck_assert (!lc_staleness_lacks (&s, 5));
  lc_staleness_note (&s, 30);
  ck_assert_int_eq (lc_staleness_check (&s, 5, LC_STALENESS_LIMIT_US), LC_STALENESS_BEGINS);
  ck_assert (lc_staleness_lacks (&s, 5));
  ck_assert (lc_staleness_lacks (&s, 9));
  ck_assert (!lc_staleness_lacks (&s, 10));
  ck_assert_int_eq (lc_staleness_us (&s, 2 * LC_STALENESS_LIMIT_US), 2 * LC_STALENESS_LIMIT_US);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("staleness");
  TCase *tcase = tcase_create ("staleness");

  tcase_add_loop_test (tcase, test_steps, 0, (int)(sizeof CASES / sizeof CASES[0]));
  tcase_add_test (tcase, test_upstream_lacks);
  suite_add_tcase (suite, tcase);
  return lc_fake_run (suite);
}
