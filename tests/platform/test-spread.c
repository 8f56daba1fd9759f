/* Guards against wrong propagation times, from logs with restarts, gaps and bad lines. */
#include "cli/lc-spread.h"
#include "tests/fakes/lc-fake-run.h"

#include <check.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define LINE(at, program, name, event, more)                                                       \
  "{\"time\":\"2026-12-03T13:00:" at "Z\",\"level\":\"info\",\"program\":\"lychee-" program        \
  "\",\"name\":\"" name "\",\"event\":\"" event "\"" more "}\n"
#define VIEW(at, program, name, revision)                                                          \
  LINE (at, program, name, "view.applied", ",\"revision\":" revision)
#define START(at, program, name) LINE (at, program, name, "app.started", "")
#define LOST(at, vm, revision)                                                                     \
  LINE (                                                                                           \
      at, "control", vm, "member.proposed",                                                        \
      ",\"what\":\"endpoint-lost\",\"member\":\"order-9\",\"instance\":5,\"revision\":" revision)
#define END(at, program, name) LINE (at, program, name, "upstream.up", "")

static const char LOG[] =
    /* Two control VMs log one loss: the earliest line counts, though it is read last. */
    LOST ("10.050000", "c-2", "7") LOST ("10.000000", "c-1", "7")
        LINE ("20.000000",
              "control",
              "c-1",
              "declaration.answered",
              ",\"number\":4,\"in_force\":4,\"revision\":9")
    /* lb-1 has both, lines in any order; lb-2 skips the revision of the loss. */
    VIEW ("20.100000", "balancer", "lb-1", "9") VIEW ("10.010000", "balancer", "lb-1", "8")
        START ("01.000000", "balancer", "lb-1") VIEW ("01.100000", "balancer", "lb-1", "7")
            START ("01.000000", "balancer", "lb-2") VIEW ("10.300000", "balancer", "lb-2", "9")
                END ("30.000000", "balancer", "lb-2")
    /* lb-3 was killed before; lb-4 restarts before it has the loss. */
    START ("01.000000", "balancer", "lb-3") VIEW ("09.000000", "balancer", "lb-3", "7")
        START ("01.000000", "balancer", "lb-4") VIEW ("09.000000", "balancer", "lb-4", "7")
            START ("10.200000", "balancer", "lb-4") VIEW ("10.400000", "balancer", "lb-4", "8")
                END ("30.000000", "balancer", "lb-4")
    /* order-1's clock is behind; order-2 never has a newer view. */
    START ("01.000000", "agent", "order-1") VIEW ("09.990000", "agent", "order-1", "8")
        VIEW ("20.200000", "agent", "order-1", "10") START ("01.000000", "agent", "order-2")
            VIEW ("02.000000", "agent", "order-2", "7") END (
                "30.000000",
                "agent",
                "order-2") "no line of ours\n"
                           "edge-1 | {\"time\":\"never\",\"event\":\"view.applied\"}\n"
                           "{\"time\":\"2026-12-03T13:00:01Z\",\"event\":\"view.applied\"\n"
                           "{\"time\":\"2026-12-03T13:00:01Z\",\"event\":\"flow.steered\"}\n" LINE (
                               "02.000000", "control", "c-1", "control.leader", "");

static void
load (LcSpread *s, const char *text)
{
  char path[] = "/tmp/lychee-test-spread.XXXXXX";
  int fd = mkstemp (path);

  ck_assert_int_eq (write (fd, text, strlen (text)), (ssize_t)strlen (text));
  close (fd);
  lc_spread_init (s);
  ck_assert_int_eq (lc_spread_read (s, path, NULL), 0);
  lc_spread_compute (s);
  unlink (path);
}

static const struct
{
  const char *what;
  const char *member;
  LcSpreadTimes times[LC_SPREAD_N_ROLES]; /* balancers, agents */
} CHANGES[] = {
  { "endpoint-lost", "order-9", { { 2, 2, 0, 10000, 300000 }, { 1, 0, 1, 0, 0 } } },
  { "declaration", "4", { { 2, 1, 1, 0, 100000 }, { 1, 0, 1, 200000, 200000 } } },
};

START_TEST (test_times)
{
  LcSpread s;

  load (&s, LOG);
  ck_assert_uint_eq (s.changes->len, G_N_ELEMENTS (CHANGES));
  for (guint i = 0; i < s.changes->len; i++)
    {
      const LcSpreadChange *change = &g_array_index (s.changes, LcSpreadChange, i);
      const LcSpreadTimes *times = change->times;

      ck_assert_str_eq (change->what, CHANGES[i].what);
      ck_assert_str_eq (change->member, CHANGES[i].member);
      for (int role = 0; role < LC_SPREAD_N_ROLES; role++)
        {
          const LcSpreadTimes *expected = &CHANGES[i].times[role];
          const char *name = lc_spread_role_name ((LcSpreadRole)role);

          ck_assert_msg (times[role].n_reached == expected->n_reached, "%u %s had", i, name);
          ck_assert_msg (times[role].n_excluded == expected->n_excluded, "%u %s apart", i, name);
          ck_assert_msg (times[role].n_missing == expected->n_missing, "%u %s never", i, name);
          ck_assert_int_eq (times[role].median_us, expected->median_us);
          ck_assert_int_eq (times[role].last_us, expected->last_us);
        }
    }
  lc_spread_finish (&s);
}
END_TEST

START_TEST (test_skipped_lines_are_listed)
{
  LcSpread s;

  load (&s, LOG);
  ck_assert_uint_eq (s.n_skipped, 4);
  ck_assert_ptr_nonnull (strstr (g_ptr_array_index (s.skipped, 0), ": no JSON object"));
  ck_assert_ptr_nonnull (strstr (g_ptr_array_index (s.skipped, 1), ": no time"));
  ck_assert_ptr_nonnull (strstr (g_ptr_array_index (s.skipped, 2), ": no JSON object"));
  ck_assert_ptr_nonnull (strstr (g_ptr_array_index (s.skipped, 3), ": no time, program or name"));
  lc_spread_finish (&s);
}
END_TEST

/* Each output format has the change and its times, and is written for empty logs too. */
START_TEST (test_formats)
{
  static const struct
  {
    void (*write) (const LcSpread *s, GString *out);
    const char *has;
  } FORMATS[] = {
    { lc_spread_write_text,
      "endpoint-lost        order-9                      10.0    300.0     2" },
    { lc_spread_write_json, "\"last_us\": 300000" },
    { lc_spread_write_svg, "<title>endpoint-lost</title>" },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (FORMATS); i++)
    {
      GString *out = g_string_new (NULL);
      LcSpread s;

      load (&s, LOG);
      FORMATS[i].write (&s, out);
      ck_assert_msg (strstr (out->str, FORMATS[i].has) != NULL, "%s", out->str);
      lc_spread_finish (&s);
      load (&s, "");
      FORMATS[i].write (&s, out);
      lc_spread_finish (&s);
      (void)g_string_free (out, TRUE);
    }
}
END_TEST

START_TEST (test_kinds)
{
  LcSpread s;
  GArray *kinds;

  load (&s, LOG);
  kinds = lc_spread_summarize (&s);
  ck_assert_uint_eq (kinds->len, 2);
  ck_assert_str_eq (g_array_index (kinds, LcSpreadKind, 1).what, "endpoint-lost");
  ck_assert_uint_eq (g_array_index (kinds, LcSpreadKind, 1).n, 1);
  ck_assert_int_eq (g_array_index (kinds, LcSpreadKind, 1).worst_us[LC_SPREAD_BALANCER], 300000);
  g_array_unref (kinds);
  lc_spread_finish (&s);
}
END_TEST

START_TEST (test_missing_file)
{
  LcError error = { 0 };
  LcSpread s;

  lc_spread_init (&s);
  ck_assert_int_eq (lc_spread_read (&s, "/tmp/no-such-log", &error), LC_ERR_NOT_FOUND);
  ck_assert (error.remedy[0] != '\0');
  lc_spread_finish (&s);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("spread");
  TCase *tc = tcase_create ("spread");

  tcase_add_test (tc, test_times);
  tcase_add_test (tc, test_skipped_lines_are_listed);
  tcase_add_test (tc, test_formats);
  tcase_add_test (tc, test_kinds);
  tcase_add_test (tc, test_missing_file);
  suite_add_tcase (suite, tc);
  return lc_fake_run (suite);
}
