/* Evacuation calls of the users' platform: which are recognised, parsed and refused. */
#include "platform/lc-platform-evacuation.h"
#include "tests/fakes/lc-fake-run.h"

#include <check.h>
#include <string.h>

#define LONGEST "a2345678901234567890123456789012345678901234567" /* 47 bytes */

static const struct
{
  const char *method;
  const char *path;
  bool is_call;
  int code;
  const char *data_centre;
  bool is_wanted;
} CASES[] = {
  { "POST", "/evacuations/hall-atl", true, 0, "hall-atl", true },
  { "DELETE", "/evacuations/hall-atl", true, 0, "hall-atl", false },
  { "POST", "/evacuations/" LONGEST, true, 0, LONGEST, true },
  { "POST", "/evacuations/" LONGEST "x", true, LC_ERR_NOT_FOUND, "", false },
  { "POST", "/evacuations/", true, LC_ERR_NOT_FOUND, "", false },
  { "POST", "/evacuations/a/b", true, LC_ERR_NOT_FOUND, "", false },
  { "GET", "/evacuations/hall-atl", false, 0, "", false },
  { "PUT", "/evacuations/hall-atl", false, 0, "", false },
  { "POST", "/evacuations", false, 0, "", false },
  { "POST", "/config", false, 0, "", false },
  { "", "", false, 0, "", false },
};

START_TEST (test_call)
{
  LcPlatformCall call = { .method = CASES[_i].method,
                          .method_len = strlen (CASES[_i].method),
                          .path = CASES[_i].path,
                          .path_len = strlen (CASES[_i].path) };
  LcEvacuation order;
  LcError error = { 0 };

  ck_assert_msg (lc_platform_evacuation_is_call (&call) == CASES[_i].is_call, "%s", CASES[_i].path);
  if (!CASES[_i].is_call)
    return;
  ck_assert_int_eq (lc_platform_evacuation_read (&order, &call, &error), CASES[_i].code);
  ck_assert_str_eq (order.data_centre, CASES[_i].data_centre);
  ck_assert (order.is_wanted == CASES[_i].is_wanted);
  ck_assert ((error.remedy[0] != '\0') == (CASES[_i].code != 0));
  /* Needs no confirmation: the platform shows no plan that could warn. */
  ck_assert (order.allow_empty == (CASES[_i].code == 0));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("adapter-evacuation");
  TCase *tcase = tcase_create ("calls");

  tcase_add_loop_test (tcase, test_call, 0, (int)G_N_ELEMENTS (CASES));
  suite_add_tcase (suite, tcase);
  return lc_fake_run (suite);
}
