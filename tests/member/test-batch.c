/* Membership changes that come together become one log entry, however many they are.
 *
 * When a third of a fleet is killed, hundreds of losses are reported within a second.  Each used to
 * be a log entry, a sync and a revision of its own: with 300 VMs a control VM made 11 to 15 syncs a
 * second, growing as the power 0.8 of the fleet's size.
 */
#include "control/lc-distributor.h"
#include "core/member/lc-batch-pace.h"
#include "io/lc-member-frames.h"
#include "io/lc-wire-member.h"
#include "proto/lc-member.pb-c.h"
#include "tests/fakes/lc-fake-run.h"

#include <check.h>
#include <string.h>

/* === when a batch is due ==================================================================== */

static const LcBatchPaceDesc PACE = { .first_us = 2000,
                                      .interval_us = 20000,
                                      .retry_for_us = 900000 };

/* A change is delayed only by first_us after a pause, else until the end of the interval. */
START_TEST (test_due_time)
{
  static const struct
  {
    int64_t at_us;
    int64_t due_us;
    bool is_sent; /* at that time */
  } STEPS[] = {
    { 1000, 3000, false },         /* the first waits for simultaneous ones */
    { 2500, 3000, true },          /* the second is sent with it */
    { 4000, 23000, false },        /* the next waits for the end of the interval */
    { 22999, 23000, true },        /* and so do those that follow */
    { 500000, 502000, true },      /* after a pause there is no interval to wait for */
    { 501000000, 501002000, true } /* nor after a long one */
  };
  LcBatchPace pace;

  lc_batch_pace_init (&pace, &PACE);
  for (size_t i = 0; i < G_N_ELEMENTS (STEPS); i++)
    {
      int64_t due_us = lc_batch_pace_add (&pace, STEPS[i].at_us);

      ck_assert_msg (due_us == STEPS[i].due_us, "step %zu: %" G_GINT64_FORMAT, i, due_us);
      if (STEPS[i].is_sent)
        lc_batch_pace_record_sent (&pace, due_us);
    }
}
END_TEST

/* A refused batch is retried each interval until retry_for_us, when its sender has repeated it. */
START_TEST (test_failures)
{
  static const struct
  {
    int64_t at_us;
    bool is_kept;
  } FAILURES[] = {
    { 1000, true }, { 21000, true }, { 900999, true }, { 901000, false }, { 921000, true }
  };
  LcBatchPace pace;

  lc_batch_pace_init (&pace, &PACE);
  for (size_t i = 0; i < G_N_ELEMENTS (FAILURES); i++)
    {
      ck_assert_msg (lc_batch_pace_should_retry (&pace, FAILURES[i].at_us) == FAILURES[i].is_kept,
                     "%zu", i);
      ck_assert_int_eq (lc_batch_pace_add (&pace, FAILURES[i].at_us),
                        FAILURES[i].at_us + PACE.interval_us);
    }
}
END_TEST

/* The number of batches in a second must not grow with the number of changes in it. */
START_TEST (test_batches_do_not_grow)
{
  static const uint32_t CHANGES[] = { 100, 1000, 2000, 20000 };

  for (size_t c = 0; c < G_N_ELEMENTS (CHANGES); c++)
    {
      LcBatchPace pace;
      uint32_t n_sent = 0;
      int64_t due_us = 0;

      lc_batch_pace_init (&pace, &PACE);
      for (uint32_t i = 0; i < CHANGES[c]; i++)
        {
          int64_t now_us = LC_US_PER_S + LC_US_PER_S * i / CHANGES[c];

          if (due_us != 0 && now_us >= due_us)
            {
              lc_batch_pace_record_sent (&pace, due_us);
              n_sent++;
            }
          due_us = lc_batch_pace_add (&pace, now_us);
          ck_assert_int_le (due_us - now_us, PACE.interval_us);
        }
      ck_assert_msg (n_sent <= LC_US_PER_S / PACE.interval_us + 1, "%u changes: %u batches",
                     CHANGES[c], n_sent);
    }
}
END_TEST

/* === the distributor ======================================================================== */

typedef struct
{
  LcApp app;
  LcView view;
  LcDistributor *distributor;
  uint32_t n_entries;
  uint32_t n_changes;
  uint32_t n_failures; /* number of next proposals to refuse */
} World;

static int
propose (void *user, const LcMemberChange *changes, uint32_t n)
{
  World *w = user;

  if (w->n_failures > 0)
    {
      w->n_failures--;
      return LC_ERR_UNAVAILABLE;
    }
  w->n_entries++;
  w->n_changes += n;
  return 0;
}

static bool
is_leader (void *user)
{
  return true;
}

static void
start (World *w)
{
  LcViewOp dc = { .revision = 1, .kind = LC_VIEW_DC, .dc = { .id = 1, .name = "hall-atl" } };
  LcViewOp service = { .revision = 1,
                       .kind = LC_VIEW_SERVICE,
                       .service = { .id = 1, .name = "desk" } };
  LcDistributorDesc desc = {
    .app = &w->app, .view = &w->view, .user = w, .propose = propose, .is_leader = is_leader
  };

  memset (w, 0, sizeof *w);
  w->app.loop = h2o_evloop_create ();
  lc_metrics_init (&w->app.metrics);
  lc_view_init (&w->view);
  ck_assert_int_eq (lc_view_apply (&w->view, &dc, NULL), 0);
  ck_assert_int_eq (lc_view_apply (&w->view, &service, NULL), 0);
  w->distributor = lc_distributor_new (&desc, NULL);
  ck_assert_ptr_nonnull (w->distributor);
}

static void
stop (World *w)
{
  lc_distributor_free (w->distributor);
  lc_view_finish (&w->view);
  lc_metrics_finish (&w->app.metrics);
  h2o_evloop_destroy (w->app.loop);
}

/* A watcher reports one endpoint. */
static void
report_as (World *w, uint32_t endpoint, LcMemberChangeKind kind)
{
  LcMemberChange change = { .kind = kind,
                            .data_centre = "hall-atl",
                            .service = "desk",
                            .endpoint = { .instance = 7, .state = LC_ENDPOINT_JOINING } };
  Lc__Wire__MemberReport message = LC__WIRE__MEMBER_REPORT__INIT;
  LcFrame frame = { .type = LC_FRAME_MEMBER_REPORT };
  LcWireMemberChange wire;
  Lc__Wire__MemberChange *list[1];
  uint8_t payload[1024];

  (void)g_snprintf (change.endpoint.name, LC_NAME_MAX, "order-%u", endpoint);
  lc_wire_member_change_write (&wire, &change);
  list[0] = &wire.message;
  message.changes = list;
  message.n_changes = 1;
  frame.payload_len = (uint32_t)lc__wire__member_report__pack (&message, payload);
  frame.payload = payload;
  lc_distributor_receive (w->distributor, NULL, &frame);
}

static void
report (World *w, uint32_t endpoint)
{
  report_as (w, endpoint, LC_MEMBER_ENDPOINT_ANNOUNCED);
}

static const struct
{
  uint32_t n_reported; /* endpoints, each by two watchers */
  uint32_t n_entries;
} REPORTS[] = {
  { 1, 1 },
  { 100, 1 },
  { 200, 1 },
  { LC_MEMBER_CHANGES_MAX, 1 },
  { 2 * LC_MEMBER_CHANGES_MAX, 2 }, /* an entry is bounded */
};

/* Reports that come together are one entry, without duplicates. */
START_TEST (test_reports_that_come_together_are_one_entry)
{
  World w;

  start (&w);
  for (uint32_t i = 0; i < 2 * REPORTS[_i].n_reported; i++)
    report (&w, i / 2);
  while (w.n_changes < REPORTS[_i].n_reported)
    (void)h2o_evloop_run (w.app.loop, 100);
  ck_assert_uint_eq (w.n_entries, REPORTS[_i].n_entries);
  ck_assert_uint_eq (w.n_changes, REPORTS[_i].n_reported);
  stop (&w);
}
END_TEST

/* Without a leader every proposal is refused.  Dropped changes came again only with their sender's
 * next report, 1 s later: after a loss of all power at 995 VMs, all endpoints of a data centre. */
START_TEST (test_refused_changes_are_proposed_again)
{
  World w;

  start (&w);
  w.n_failures = 3;
  for (uint32_t i = 0; i < LC_MEMBER_CHANGES_MAX + 10; i++)
    report (&w, i);
  while (w.n_changes < LC_MEMBER_CHANGES_MAX + 10)
    (void)h2o_evloop_run (w.app.loop, 100);
  ck_assert_uint_eq (w.n_failures, 0);
  ck_assert_uint_eq (w.n_entries, 2);
  ck_assert_uint_eq (w.n_changes, LC_MEMBER_CHANGES_MAX + 10);
  stop (&w);
}
END_TEST

/* A refused loss is dropped: the endpoint may have renewed its lease meanwhile. */
START_TEST (test_losses_are_not_kept)
{
  World w;

  start (&w);
  w.n_failures = 1;
  report_as (&w, 1, LC_MEMBER_ENDPOINT_LOST);
  while (w.n_failures > 0)
    (void)h2o_evloop_run (w.app.loop, 100);
  for (int i = 0; i < 5; i++)
    (void)h2o_evloop_run (w.app.loop, 20);
  ck_assert_uint_eq (w.n_entries, 0);
  report_as (&w, 1, LC_MEMBER_ENDPOINT_LOST); /* repeated by a watcher */
  while (w.n_changes < 1)
    (void)h2o_evloop_run (w.app.loop, 100);
  ck_assert_uint_eq (w.n_entries, 1);
  stop (&w);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("batch");
  TCase *tc = tcase_create ("batch");

  tcase_add_test (tc, test_due_time);
  tcase_add_test (tc, test_failures);
  tcase_add_test (tc, test_batches_do_not_grow);
  tcase_add_loop_test (tc, test_reports_that_come_together_are_one_entry, 0,
                       (int)G_N_ELEMENTS (REPORTS));
  tcase_add_test (tc, test_refused_changes_are_proposed_again);
  tcase_add_test (tc, test_losses_are_not_kept);
  suite_add_tcase (suite, tc);
  return lc_fake_run (suite);
}
