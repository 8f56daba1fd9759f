/* Which balancers relay the view to the others of their data centre, and how many each serves.
 *
 * After a loss of all power a thousand members announce themselves: some 90 KB per balancer, 1.8 MB
 * for a relay of twenty.  Over a link of 10 Mbit/s that took 1.1 to 1.5 s, while two VMs of the
 * same data centre had 1,000 Mbit/s.
 */
#include "core/member/lc-relays.h"
#include "tests/fakes/lc-fake-run.h"

#include <check.h>

enum
{
  DC = 1,
  THIN_KBPS = 10000,
};

static void
fill (LcView *view, uint32_t n, uint32_t n_wide, uint32_t wide_kbps, bool has_unknown)
{
  lc_view_init (view);
  for (uint32_t i = 0; i < n; i++)
    {
      LcViewOp op = { .revision = i + 1, .kind = LC_VIEW_BALANCER };

      op.balancer = (LcBalancer){
        .id = i + 1, .dc = DC, .state = LC_BALANCER_ACTIVE, .link_kbps = THIN_KBPS
      };
      if (i < n_wide)
        op.balancer.link_kbps = wide_kbps;
      else if (has_unknown && i + 1 == n)
        op.balancer.link_kbps = 0;
      (void)g_snprintf (op.balancer.name, LC_NAME_MAX, "entry-%u", i);
      ck_assert_int_eq (lc_view_apply (view, &op, NULL), 0);
    }
}

static uint32_t
count_wide (const LcBalancer *const relays[], uint32_t n, uint32_t n_wide)
{
  uint32_t n_found = 0;

  for (uint32_t i = 0; i < n; i++)
    n_found += relays[i]->id <= n_wide;
  return n_found;
}

static const struct
{
  const char *what;
  uint32_t n;
  uint32_t n_wide;
  uint32_t wide_kbps;
  bool has_unknown;
  uint32_t n_relays;
  int n_wide_relays; /* -1: not checked, it depends on the hashes */
} CASES[] = {
  { "few balancers, all direct", 8, 2, 1000000, false, 0, 0 },
  { "equal links", 61, 0, 0, false, 3, 0 },
  { "equal links, many balancers", 367, 0, 0, false, 18, 0 },
  { "two wide ones", 61, 2, 1000000, false, 2, 2 },
  { "two wide ones, and one link is unknown", 61, 2, 1000000, true, 3, -1 },
  { "one wide one", 61, 1, 1000000, false, 3, 1 },
  { "a little wider", 61, 2, 15000, false, 3, -1 },
  { "three times as wide", 61, 2, 30000, false, 2, 2 },
  { "three times as wide, not enough for all", 130, 2, 30000, false, 7, 2 },
  { "three wide ones for many", 367, 3, 1000000, false, 3, 3 },
};

/* The number of relays by balancers and links, and that the widest are among them. */
START_TEST (test_relays)
{
  const LcBalancer *relays[LC_RELAYS_MAX];
  LcView view;
  uint32_t n;

  fill (&view, CASES[_i].n, CASES[_i].n_wide, CASES[_i].wide_kbps, CASES[_i].has_unknown);
  n = lc_relays_list (&view, DC, relays);
  ck_assert_msg (n == CASES[_i].n_relays, "%s: %u", CASES[_i].what, n);
  if (CASES[_i].n_wide_relays >= 0)
    ck_assert_msg (count_wide (relays, n, CASES[_i].n_wide) == (uint32_t)CASES[_i].n_wide_relays,
                   "%s", CASES[_i].what);
  lc_view_finish (&view);
}
END_TEST

/* Balancers per relay, relative to its link, must not grow with the data centre. */
START_TEST (test_share_of_a_link_does_not_grow)
{
  static const uint32_t WIDE[] = { 0, 2, 4 };

  for (size_t w = 0; w < G_N_ELEMENTS (WIDE); w++)
    for (uint32_t n = 60; n <= 480; n *= 2)
      {
        const LcBalancer *relays[LC_RELAYS_MAX];
        LcView view;
        uint32_t n_relays;

        fill (&view, n, WIDE[w], 100 * THIN_KBPS, false);
        n_relays = lc_relays_list (&view, DC, relays);
        ck_assert_uint_gt (n_relays, 0);
        for (uint32_t i = 0; i < n_relays; i++)
          {
            uint32_t times = MIN (relays[i]->link_kbps / THIN_KBPS, (uint32_t)LC_RELAYS_RATIO_MAX);

            ck_assert_msg (n / n_relays <= (LC_RELAYS_FAN_OUT + 1) * times,
                           "%u balancers, %u wide: %u relays", n, WIDE[w], n_relays);
          }
        lc_view_finish (&view);
      }
}
END_TEST

/* The death of one of two wide relays promotes others, whatever their links. */
START_TEST (test_next_one_is_promoted)
{
  const LcBalancer *relays[LC_RELAYS_MAX];
  LcViewOp lost = { .revision = 1000, .kind = LC_VIEW_BALANCER };
  LcView view;

  fill (&view, 61, 2, 1000000, false);
  ck_assert_uint_eq (lc_relays_list (&view, DC, relays), 2);
  lost.balancer = *relays[0];
  lost.balancer.state = LC_BALANCER_LOST;
  ck_assert_int_eq (lc_view_apply (&view, &lost, NULL), 0);
  ck_assert_uint_eq (lc_relays_list (&view, DC, relays), 3);
  ck_assert_uint_eq (count_wide (relays, 3, 2), 1);
  lc_view_finish (&view);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("relays");
  TCase *tc = tcase_create ("relays");

  tcase_add_loop_test (tc, test_relays, 0, (int)G_N_ELEMENTS (CASES));
  tcase_add_test (tc, test_share_of_a_link_does_not_grow);
  tcase_add_test (tc, test_next_one_is_promoted);
  suite_add_tcase (suite, tc);
  return lc_fake_run (suite);
}
