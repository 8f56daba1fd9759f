/* lc-fake-run: runs one Check suite and returns the exit code for main.
 *
 * HOW TO USE IT
 *     return lc_fake_run (suite);          at the end of main
 *
 * LIFETIME
 *   Takes the suite and frees it.
 */
#ifndef LC_FAKE_RUN_H
#define LC_FAKE_RUN_H

#include <check.h>
#include <stdlib.h>

static inline int
lc_fake_run (Suite *suite)
{
  SRunner *runner = srunner_create (suite);
  int n_failed;

  srunner_run_all (runner, CK_NORMAL);
  n_failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return n_failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

#endif /* LC_FAKE_RUN_H */
