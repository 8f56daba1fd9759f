/* Guards against problems that are missed, or listed too early. */
#include "cli/lc-cli-attention.h"
#include "tests/fakes/lc-fake-run.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

#define FINE "\"leader\":\"c1\",\"is_leader\":true,\"name\":\"c1\""

/* A status and a part of each line that it must produce, in order. */
static const struct
{
  const char *status;
  const char *lines[3];
} CASES[] = {
  { "{" FINE "}", { NULL } },
  { "{\"leader\":\"c1\",\"name\":\"c2\",\"is_newest\":true}", { NULL } },
  { "{\"leader\":\"\",\"name\":\"c1\"}", { "no control VM leads" } },
  { "{\"leader\":\"c1\",\"name\":\"c2\"}", { "c2 answered, which does not lead: ask c1" } },
  { "{" FINE ",\"disk_full\":true}", { "disk of c1 is full" } },
  { "{" FINE ",\"members\":[{\"name\":\"c2\",\"silent_ms\":9999}]}", { NULL } },
  { "{" FINE ",\"members\":[{\"name\":\"c2\",\"silent_ms\":10000}]}", { "c2 is silent for 10 s" } },
  { "{" FINE ",\"guard\":{\"is_holding\":true,\"what\":\"endpoints of hall-atl\"}}",
    { "keeps endpoints of hall-atl" } },
  { "{" FINE ",\"guard\":{\"is_holding\":false}}", { NULL } },
  { "{" FINE ",\"data_centres\":[{\"name\":\"hall-atl\",\"silent_ms\":8999}]}", { NULL } },
  { "{" FINE ",\"data_centres\":[{\"name\":\"hall-atl\",\"silent_ms\":-1}]}", { NULL } },
  { "{" FINE ",\"data_centres\":[{\"name\":\"hall-atl\",\"silent_ms\":12000,\"in_force\":7}]}",
    { "hall-atl is cut off for 12 s: it works on by revision 7" } },
  { "{" FINE ",\"data_centres\":[{\"name\":\"hall-atl\",\"evacuated_for_ms\":7100}]}",
    { "hall-atl is evacuated for 7 s" } },
  { "{" FINE ",\"services\":[{\"name\":\"ledger\",\"active\":0,\"lost\":2}]}",
    { "no backend server of ledger takes work" } },
  { "{" FINE ",\"services\":[{\"name\":\"ledger\",\"active\":0,\"joining\":1}]}",
    { "ledger has one backend server left" } },
  { "{" FINE ",\"services\":[{\"name\":\"ledger\",\"active\":2}]}", { NULL } },
  { "{" FINE ",\"services\":[{\"name\":\"ledger\",\"active\":2,\"taking\":0}]}",
    { "no backend server of ledger takes work" } },
  { "{" FINE ",\"services\":[{\"name\":\"ledger\",\"active\":4,\"taking\":2}]}", { NULL } },
  { "{" FINE ",\"endpoints\":[{\"name\":\"d1\",\"service\":\"ledger\",\"state\":\"lost\"},"
    "{\"name\":\"d2\",\"state\":\"draining\"}]}",
    { "d1 of ledger is lost: start its agent again" } },
  { "{\"leader\":\"\",\"endpoints\":[{\"name\":\"d1\",\"service\":\"s\",\"state\":\"lost\"}]}",
    { "no control VM leads", "d1 of s is lost" } },
  { "[]", { "no control VM leads" } },
};

START_TEST (test_listed_problems)
{
  json_t *status = json_loads (CASES[_i].status, 0, NULL);
  GPtrArray *lines;
  guint n = 0;

  ck_assert_ptr_nonnull (status);
  lines = lc_cli_attention_list (status);
  while (n < 3 && CASES[_i].lines[n] != NULL)
    n++;
  ck_assert_msg (lines->len == n, "%s gives %u lines", CASES[_i].status, lines->len);
  for (guint i = 0; i < n; i++)
    ck_assert_msg (strstr (g_ptr_array_index (lines, i), CASES[_i].lines[i]) != NULL, "%s",
                   (const char *)g_ptr_array_index (lines, i));
  g_ptr_array_free (lines, TRUE);
  json_decref (status);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("attention");
  TCase *tcase = tcase_create ("rules");

  tcase_add_loop_test (tcase, test_listed_problems, 0, sizeof CASES / sizeof CASES[0]);
  suite_add_tcase (suite, tcase);
  return lc_fake_run (suite);
}
