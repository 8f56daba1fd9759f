/* Tables of membership decisions: flap damping, settling, the guard on mass losses, scopes, the
 * choice of upstreams, and the reports of a watcher.
 */
#include "core/member/lc-flap.h"
#include "core/member/lc-loss-guard.h"
#include "core/member/lc-scope.h"
#include "core/member/lc-settle.h"
#include "core/member/lc-upstreams.h"
#include "core/member/lc-watch.h"
#include "tests/fakes/lc-fake-run.h"

#include <check.h>
#include <string.h>

static LcView view;

static void
apply (LcViewOp op)
{
  LcError error = { 0 };

  op.revision = view.revision + 1;
  ck_assert_msg (lc_view_apply (&view, &op, &error) == 0, "%s", error.message);
}

static LcViewOp
endpoint_op (uint32_t id, LcDcId dc, LcEndpointState state)
{
  LcViewOp op = { .kind = LC_VIEW_ENDPOINT };

  op.endpoint = (LcEndpoint){ .id = id,
                              .service_id = 1,
                              .dc = dc,
                              .instance = id,
                              .state = (uint8_t)state,
                              .weight_percent = 100 };
  (void)g_snprintf (op.endpoint.name, sizeof op.endpoint.name, "e-%u", id);
  return op;
}

static LcViewOp
balancer_op (uint32_t id, LcBalancerState state)
{
  LcViewOp op = { .kind = LC_VIEW_BALANCER };

  op.balancer = (LcBalancer){ .id = id, .dc = 1, .instance = id, .state = (uint8_t)state };
  (void)g_snprintf (op.balancer.name, sizeof op.balancer.name, "lb-%u", id);
  return op;
}

/* One service with ten endpoints, alternately in two data centres, and two balancers. */
static void
setup (void)
{
  LcViewOp service = { .kind = LC_VIEW_SERVICE };

  service.service.id = 1;
  (void)g_strlcpy (service.service.name, "order-desk", LC_NAME_MAX);
  lc_view_init (&view);
  apply (service);
  apply (balancer_op (1, LC_BALANCER_ACTIVE));
  apply (balancer_op (2, LC_BALANCER_ACTIVE));
  for (uint32_t i = 1; i <= 10; i++)
    apply (endpoint_op (i, (LcDcId)(1 + i % 2), LC_ENDPOINT_ACTIVE));
}

static void
teardown (void)
{
  lc_view_finish (&view);
}

/* === damping ================================================================================ */

static const struct
{
  uint32_t n_returns;
  uint32_t every_ms;
  uint32_t wait_ms;
  bool is_suppressed;
} FLAPS[] = {
  { 1, 1000, 0, false },     { 3, 1000, 0, false },
  { 4, 1000, 0, true },      { 4, 20000, 0, false },     /* decays between slow returns */
  { 20, 1000, 30000, true }, { 20, 1000, 60000, false }, /* the penalty is bounded */
};

/* Frequent returns are suppressed, rare ones are not, and a decayed record is freed. */
START_TEST (test_flap)
{
  LcFlapDesc desc = { 0 };
  int64_t now_us = LC_US_PER_S;
  LcFlap flap;

  lc_flap_init (&flap, &desc);
  for (uint32_t i = 0; i < FLAPS[_i].n_returns; i++)
    {
      now_us += FLAPS[_i].every_ms * LC_US_PER_MS;
      lc_flap_record_return (&flap, "order-3", now_us);
    }
  now_us += FLAPS[_i].wait_ms * LC_US_PER_MS;
  ck_assert_int_eq (lc_flap_is_suppressed (&flap, "order-3", now_us), FLAPS[_i].is_suppressed);
  ck_assert (!lc_flap_is_suppressed (&flap, "order-4", now_us));
  lc_flap_expire (&flap, now_us + 1000 * LC_US_PER_S);
  (void)lc_flap_is_suppressed (&flap, "order-3", now_us + 1000 * LC_US_PER_S);
  lc_flap_expire (&flap, now_us + 1000 * LC_US_PER_S);
  ck_assert_uint_eq (g_hash_table_size (flap.records), 0);
  lc_flap_finish (&flap);
}
END_TEST

/* === settling =============================================================================== */

/* The view has 13 revisions, former sets until 4..13, two balancers and ten agents. */
static const struct
{
  const char *what;
  LcRevision applied[2];
  LcRevision registered[2];
  uint32_t n_agents;
  uint32_t n_added;
  uint32_t n_exempt;
  LcRevision settled;
} SETTLES[] = {
  { "all members up to date", { 13, 13 }, { 13, 13 }, 10, 2, 0, 13 },
  { "a balancer behind", { 13, 8 }, { 13, 13 }, 10, 2, 0, 8 },
  { "an agent's flows not registered", { 13, 13 }, { 6, 13 }, 10, 2, 0, 6 },
  { "a balancer's fold missing", { 13, 13 }, { 13, 13 }, 10, 1, 0, 0 },
  { "an agent missing", { 13, 13 }, { 13, 13 }, 9, 2, 0, 0 },
  { "a missing agent exempt", { 13, 13 }, { 13, 13 }, 9, 2, 1, 13 },
  { "no former set to drop", { 3, 13 }, { 13, 13 }, 10, 2, 0, 0 },
};

/* A revision must not settle before every live balancer and agent has reached it. */
START_TEST (test_settle)
{
  static const char *const NAMES[] = { "lb-1", "lb-2" };
  LcSettle settle;

  lc_settle_begin (&settle);
  for (uint32_t i = 0; i < SETTLES[_i].n_added; i++)
    {
      uint32_t n = i == 0 ? SETTLES[_i].n_agents - 5 : 5;
      LcFold fold;

      if (SETTLES[_i].n_added == 1)
        n = SETTLES[_i].n_agents;
      lc_fold_init (&fold);
      lc_fold_add_balancer (&fold, SETTLES[_i].applied[i], view.revision);
      for (uint32_t k = 0; k < n; k++)
        lc_fold_add_agent (&fold, view.revision, SETTLES[_i].registered[i], view.revision);
      lc_settle_add (&settle, &view, NAMES[i], &fold);
    }
  ck_assert_msg (lc_settle_end (&settle, &view, SETTLES[_i].n_exempt) == SETTLES[_i].settled, "%s",
                 SETTLES[_i].what);
}
END_TEST

/* A balancer that is LOST in the view must not block settling. */
START_TEST (test_settle_without_lost_balancer)
{
  LcSettle settle;
  LcFold fold;

  apply (balancer_op (2, LC_BALANCER_LOST));
  lc_fold_init (&fold);
  lc_fold_add_balancer (&fold, view.revision, view.revision);
  for (int i = 0; i < 10; i++)
    lc_fold_add_agent (&fold, view.revision, view.revision, view.revision);
  lc_settle_begin (&settle);
  lc_settle_add (&settle, &view, "lb-1", &fold);
  ck_assert_uint_eq (lc_settle_end (&settle, &view, 0), view.revision);
}
END_TEST

/* === the guard ============================================================================== */

/* Reports the loss of `n` endpoints of data centre 2 (odd ids) once a second and commits those
 * that pass. */
static uint32_t
report_losses (LcLossGuard *guard, uint32_t n, uint32_t seconds, int64_t *now_us)
{
  uint32_t n_lost = 0;

  for (uint32_t s = 0; s < seconds; s++, *now_us += LC_US_PER_S)
    for (uint32_t i = 0; i < n; i++)
      {
        LcViewOp op = endpoint_op (1 + 2 * i, 2, LC_ENDPOINT_LOST);
        LcMemberChange change = { .kind = LC_MEMBER_ENDPOINT_LOST, .endpoint = op.endpoint };

        if (lc_view_endpoint (&view, op.endpoint.id)->state == LC_ENDPOINT_LOST ||
            lc_loss_guard_check (guard, &view, &change, *now_us) == LC_LOSS_GUARD_HOLD)
          continue;
        lc_loss_guard_record (guard, &op, *now_us);
        apply (op);
        n_lost++;
      }
  return n_lost;
}

static const struct
{
  uint32_t n;
  uint32_t seconds;
  uint32_t n_lost;
} LOSSES[] = {
  { 1, 1, 1 },  { 2, 1, 2 }, { 2, 30, 2 }, /* few pass at once */
  { 5, 1, 2 },                             /* at most half of the five */
  { 5, 15, 2 },                            /* and the rest is held */
  { 5, 30, 5 },                            /* until the hold ends */
};

/* Mass losses are held until the hold ends, a few losses are not. */
START_TEST (test_guard)
{
  LcLossGuardDesc desc = { 0 };
  int64_t now_us = LC_US_PER_S;
  LcLossGuard guard;

  lc_loss_guard_init (&guard, &desc);
  ck_assert_uint_eq (report_losses (&guard, LOSSES[_i].n, LOSSES[_i].seconds, &now_us),
                     LOSSES[_i].n_lost);
  ck_assert_int_eq (lc_loss_guard_is_holding (&guard, now_us - LC_US_PER_S),
                    LOSSES[_i].n_lost < LOSSES[_i].n);
  lc_loss_guard_finish (&guard);
}
END_TEST

/* The last endpoint of a service is never let go, and does not block settling forever. */
START_TEST (test_guard_keeps_the_last)
{
  LcLossGuardDesc desc = { 0 };
  int64_t now_us = LC_US_PER_S;
  LcMemberChange change = { .kind = LC_MEMBER_ENDPOINT_LOST };
  LcLossGuard guard;

  lc_loss_guard_init (&guard, &desc);
  for (uint32_t i = 2; i <= 10; i++)
    apply (endpoint_op (i, (LcDcId)(1 + i % 2), LC_ENDPOINT_LOST));
  change.endpoint = endpoint_op (1, 2, LC_ENDPOINT_ACTIVE).endpoint;
  for (int s = 0; s < 100; s++, now_us += LC_US_PER_S)
    {
      ck_assert_int_eq (lc_loss_guard_check (&guard, &view, &change, now_us), LC_LOSS_GUARD_HOLD);
      ck_assert_uint_eq (lc_loss_guard_count_exempt (&guard, now_us), s >= 20 ? 1 : 0);
    }
  ck_assert_uint_eq (lc_loss_guard_count_exempt (&guard, now_us + 10 * LC_US_PER_S), 0);
  lc_loss_guard_finish (&guard);
}
END_TEST

/* === scope ================================================================================== */

/* A scope follows a service and data centre that are opened after the subscription. */
START_TEST (test_scope_of_a_service_opened_later)
{
  LcScope scope = { .is_scoped = true, .service = "ticket-vault", .data_centre = "hall-atl" };
  LcViewOp service = { .kind = LC_VIEW_SERVICE };
  LcViewOp dc = { .kind = LC_VIEW_DC };
  LcViewOp endpoint = endpoint_op (50, 1, LC_ENDPOINT_JOINING);
  LcViewOp balancer = balancer_op (3, LC_BALANCER_ACTIVE);

  lc_scope_resolve (&scope, &view);
  endpoint.endpoint.service_id = 9;
  balancer.balancer.dc = 7;
  ck_assert (!lc_scope_includes (&scope, &endpoint));
  ck_assert (!lc_scope_includes (&scope, &balancer));
  service.service.id = 9;
  (void)g_strlcpy (service.service.name, "ticket-vault", LC_NAME_MAX);
  dc.dc.id = 7;
  (void)g_strlcpy (dc.dc.name, "hall-atl", LC_NAME_MAX);
  ck_assert (lc_scope_includes (&scope, &service));
  ck_assert (lc_scope_includes (&scope, &dc));
  ck_assert (lc_scope_includes (&scope, &endpoint));
  ck_assert (lc_scope_includes (&scope, &balancer));
  endpoint.endpoint.service_id = 1;
  ck_assert (!lc_scope_includes (&scope, &endpoint));
}
END_TEST

/* === upstreams ============================================================================== */

/* Choices spread evenly, and an avoided upstream only moves its own choosers. */
START_TEST (test_upstreams_spread_and_avoid)
{
  enum
  {
    N = 20,
    N_NODES = 1000
  };
  uint32_t chosen[N] = { 0 };

  for (uint32_t i = 0; i < N_NODES; i++)
    {
      char name[LC_NAME_MAX];
      LcUpstreams up;
      LcUpstream best[2];
      LcUpstream after[2];

      (void)g_snprintf (name, sizeof name, "node-%u", i);
      lc_upstreams_init (&up, name);
      lc_upstreams_begin (&up);
      for (uint32_t k = 0; k < N; k++)
        lc_upstreams_add (&up, k, 7000);
      lc_upstreams_end (&up);
      ck_assert_uint_eq (lc_upstreams_best (&up, 0, best, 2), 2);
      chosen[best[0].ipv4]++;
      lc_upstreams_avoid (&up, best[0].ipv4, 7000, 100);
      ck_assert_uint_eq (lc_upstreams_best (&up, 50, after, 2), 2);
      ck_assert_uint_eq (after[0].ipv4, best[1].ipv4); /* the order of the others stays */
      ck_assert_uint_eq (lc_upstreams_best (&up, 100, after, 2), 2);
      ck_assert_uint_eq (after[0].ipv4, best[0].ipv4);
      lc_upstreams_finish (&up);
    }
  for (uint32_t k = 0; k < N; k++)
    ck_assert (chosen[k] > N_NODES / N / 2 && chosen[k] < N_NODES / N * 2);
}
END_TEST

/* === what a watcher reports ================================================================= */

typedef enum
{
  ABSENT,
  OTHER, /* the view has a newer instance of that name */
  SAME,
} InView;

static const struct
{
  const char *what;
  InView in_view;
  LcEndpointState state; /* in the view */
  LcMemberPhase phase;   /* that the member reported last */
  LcLeaseState lease;
  bool is_seeded;
  LcMemberChangeKind expected;
} REPORTS[] = {
  { "new", ABSENT, 0, LC_MEMBER_PHASE_LIVE, LC_LEASE_HELD, false, LC_MEMBER_ENDPOINT_ANNOUNCED },
  { "present", SAME, LC_ENDPOINT_ACTIVE, LC_MEMBER_PHASE_LIVE, LC_LEASE_HELD, false, 0 },
  { "leaves", SAME, LC_ENDPOINT_ACTIVE, LC_MEMBER_PHASE_LEAVING, LC_LEASE_HELD, false,
    LC_MEMBER_ENDPOINT_LEAVING },
  { "leaves, and the view shows it", SAME, LC_ENDPOINT_DRAINING, LC_MEMBER_PHASE_LEAVING,
    LC_LEASE_HELD, false, 0 },
  { "leaves, and is lost in the view", SAME, LC_ENDPOINT_LOST, LC_MEMBER_PHASE_LEAVING,
    LC_LEASE_HELD, false, LC_MEMBER_ENDPOINT_ANNOUNCED },
  { "leaves, and is missing in the view", ABSENT, 0, LC_MEMBER_PHASE_LEAVING, LC_LEASE_HELD, false,
    LC_MEMBER_ENDPOINT_ANNOUNCED },
  { "leaves, and a newer instance has its name", OTHER, LC_ENDPOINT_ACTIVE, LC_MEMBER_PHASE_LEAVING,
    LC_LEASE_HELD, false, 0 },
  { "has gone", SAME, LC_ENDPOINT_DRAINING, LC_MEMBER_PHASE_GONE, LC_LEASE_HELD, false,
    LC_MEMBER_ENDPOINT_GONE },
  { "expired", SAME, LC_ENDPOINT_ACTIVE, LC_MEMBER_PHASE_LIVE, LC_LEASE_LOST, false,
    LC_MEMBER_ENDPOINT_LOST },
  { "expired while it leaves", SAME, LC_ENDPOINT_DRAINING, LC_MEMBER_PHASE_LEAVING, LC_LEASE_LOST,
    false, LC_MEMBER_ENDPOINT_LOST },
  { "leaves, renews with others, seeded and expired here", SAME, LC_ENDPOINT_DRAINING,
    LC_MEMBER_PHASE_LIVE, LC_LEASE_LOST, true, LC_MEMBER_ENDPOINT_LOST },
  { "seeded, not renewed yet", SAME, LC_ENDPOINT_DRAINING, LC_MEMBER_PHASE_LIVE, LC_LEASE_HELD,
    true, 0 },
};

/* The transition that a watcher reports, by the lease and the view. */
START_TEST (test_reports)
{
  LcLease lease = { .state = (uint8_t)REPORTS[_i].lease,
                    .phase = (uint8_t)REPORTS[_i].phase,
                    .is_seeded = REPORTS[_i].is_seeded };
  LcViewOp op = endpoint_op (50, 1, REPORTS[_i].state);

  lease.member.kind = LC_MEMBER_ENDPOINT_ANNOUNCED;
  lease.member.endpoint = op.endpoint;
  if (REPORTS[_i].in_view == OTHER)
    op.endpoint.instance = 51;
  if (REPORTS[_i].in_view != ABSENT)
    apply (op);
  ck_assert_msg (lc_watch_missing (&lease, &view) == REPORTS[_i].expected, "%s: %d",
                 REPORTS[_i].what, (int)lc_watch_missing (&lease, &view));
}
END_TEST

static void
count_report (void *user, const LcMemberChange *change)
{
  (void)change;
  (*(uint32_t *)user)++;
}

/* Reports that got lost without a leader are sent again at once when there is one. */
START_TEST (test_reports_again)
{
  LcMemberChange announced = { .kind = LC_MEMBER_ENDPOINT_ANNOUNCED,
                               .endpoint = endpoint_op (50, 1, LC_ENDPOINT_JOINING).endpoint };
  LcWatchDesc desc = { .resend_ms = 1000 };
  uint32_t n_reports = 0;
  LcWatch watch;

  lc_watch_init (&watch, &desc);
  lc_watch_announce (&watch, &announced, 0);
  lc_watch_collect (&watch, &view, 1, count_report, &n_reports);
  lc_watch_collect (&watch, &view, 2, count_report, &n_reports);
  ck_assert_uint_eq (n_reports, 1);
  lc_watch_resend_all (&watch);
  lc_watch_collect (&watch, &view, 3, count_report, &n_reports);
  lc_watch_collect (&watch, &view, 4, count_report, &n_reports);
  ck_assert_uint_eq (n_reports, 2);
  lc_watch_finish (&watch);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("member");
  TCase *tc = tcase_create ("decisions");

  tcase_add_test (tc, test_reports_again);
  tcase_add_loop_test (tc, test_reports, 0, (int)G_N_ELEMENTS (REPORTS));
  tcase_add_checked_fixture (tc, setup, teardown);
  tcase_add_loop_test (tc, test_flap, 0, G_N_ELEMENTS (FLAPS));
  tcase_add_loop_test (tc, test_settle, 0, G_N_ELEMENTS (SETTLES));
  tcase_add_test (tc, test_settle_without_lost_balancer);
  tcase_add_loop_test (tc, test_guard, 0, G_N_ELEMENTS (LOSSES));
  tcase_add_test (tc, test_guard_keeps_the_last);
  tcase_add_test (tc, test_scope_of_a_service_opened_later);
  tcase_add_test (tc, test_upstreams_spread_and_avoid);
  suite_add_tcase (suite, tc);
  return lc_fake_run (suite);
}
