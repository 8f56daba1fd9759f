/* The view: revisions never go back, history of candidate sets, snapshots rebuild the same view. */
#include "core/lc-view.h"
#include "tests/fakes/lc-fake-run.h"

#include <check.h>
#include <string.h>

static LcViewOp
service_op (LcRevision revision, LcServiceId id, const char *name)
{
  LcViewOp op = { .revision = revision, .kind = LC_VIEW_SERVICE };

  op.service.id = id;
  (void)g_strlcpy (op.service.name, name, sizeof op.service.name);
  return op;
}

static LcViewOp
endpoint_op (LcRevision revision, LcEndpointId id, LcEndpointState state)
{
  LcViewOp op = { .revision = revision, .kind = LC_VIEW_ENDPOINT };

  op.endpoint.id = id;
  op.endpoint.service_id = 1;
  op.endpoint.instance = 100 + id;
  op.endpoint.state = (uint8_t)state;
  op.endpoint.weight_percent = 100;
  (void)g_snprintf (op.endpoint.name, sizeof op.endpoint.name, "order-%u", id);
  return op;
}

static void
apply (LcView *view, LcViewOp op)
{
  LcError error = { 0 };

  ck_assert_msg (lc_view_apply (view, &op, &error) == 0, "%s", error.message);
}

START_TEST (test_revision_never_goes_back)
{
  LcView view;
  LcViewOp op = service_op (4, 2, "late");
  LcError error = { 0 };

  lc_view_init (&view);
  apply (&view, service_op (5, 1, "order-desk"));
  ck_assert_int_eq (lc_view_apply (&view, &op, &error), LC_ERR_STALE);
  ck_assert_ptr_null (lc_view_service (&view, 2));
  ck_assert_uint_eq (view.revision, 5);
  ck_assert_uint_gt (strlen (error.remedy), 0);
  lc_view_finish (&view);
}
END_TEST

START_TEST (test_candidate_history)
{
  LcView view;
  LcViewOp settled = { .revision = 9, .kind = LC_VIEW_SETTLED, .settled_revision = 7 };
  const LcService *s;

  lc_view_init (&view);
  apply (&view, service_op (5, 1, "order-desk"));
  apply (&view, endpoint_op (6, 11, LC_ENDPOINT_ACTIVE));
  apply (&view, endpoint_op (7, 12, LC_ENDPOINT_ACTIVE));
  apply (&view, endpoint_op (8, 11, LC_ENDPOINT_DRAINING));
  s = lc_view_service (&view, 1);
  ck_assert_uint_eq (s->membership_revision, 8);
  ck_assert_uint_eq (s->n_former, 3);
  ck_assert_uint_eq (s->former[0].since_revision, 7);
  ck_assert_uint_eq (s->former[0].until_revision, 8);
  ck_assert_uint_eq (s->former[0].n_endpoints, 2);
  ck_assert_uint_eq (s->former[1].n_endpoints, 1);
  ck_assert_uint_eq (s->former[2].n_endpoints, 0);
  apply (&view, settled);
  ck_assert_uint_eq (lc_view_service (&view, 1)->n_former, 1);
  ck_assert_uint_eq (lc_view_service (&view, 1)->former[0].until_revision, 8);
  lc_view_finish (&view);
}
END_TEST

static void
apply_to (void *user, const LcViewOp *op)
{
  apply (user, *op);
}

START_TEST (test_snapshot_rebuilds_the_view)
{
  LcView view;
  LcView copy;
  const LcService *a;
  const LcService *b;

  lc_view_init (&view);
  lc_view_init (&copy);
  apply (&view, service_op (5, 1, "order-desk"));
  apply (&view, endpoint_op (6, 11, LC_ENDPOINT_ACTIVE));
  apply (&view, endpoint_op (7, 12, LC_ENDPOINT_JOINING));
  apply (&view, endpoint_op (8, 11, LC_ENDPOINT_DRAINING));
  lc_view_snapshot (&view, apply_to, &copy);
  a = lc_view_service (&view, 1);
  b = lc_view_service (&copy, 1);
  ck_assert_uint_eq (copy.revision, view.revision);
  ck_assert_uint_eq (b->membership_revision, a->membership_revision);
  ck_assert_uint_eq (b->n_endpoints, a->n_endpoints);
  ck_assert_uint_eq (b->n_former, a->n_former);
  for (uint32_t i = 0; i < a->n_former; i++)
    {
      ck_assert_uint_eq (b->former[i].since_revision, a->former[i].since_revision);
      ck_assert_uint_eq (b->former[i].until_revision, a->former[i].until_revision);
      ck_assert_uint_eq (b->former[i].n_endpoints, a->former[i].n_endpoints);
    }
  ck_assert_ptr_nonnull (lc_view_endpoint (&copy, 12));
  lc_view_finish (&view);
  lc_view_finish (&copy);
}
END_TEST

START_TEST (test_route_longest_prefix)
{
  static const struct
  {
    const char *host;
    const char *path;
    LcServiceId expected;
  } CASES[] = {
    { "any.example", "/orders/1", 1 },     { "any.example", "/tickets/1", 2 },
    { "any.example", "/else", 0 },         { "tickets.example", "/orders/1", 2 },
    { "TICKETS.example", "/orders/1", 2 }, { "any.example", "/orders/archive/1", 2 },
  };
  static const LcRoute ROUTES[] = {
    { .id = 1, .service_id = 1, .path_prefix = "/orders" },
    { .id = 2, .service_id = 2, .path_prefix = "/tickets" },
    { .id = 3, .service_id = 2, .host = "tickets.example", .path_prefix = "/" },
    { .id = 4, .service_id = 2, .path_prefix = "/orders/archive" },
  };
  LcView view;

  lc_view_init (&view);
  for (size_t i = 0; i < G_N_ELEMENTS (ROUTES); i++)
    apply (&view, (LcViewOp){ .revision = 1, .kind = LC_VIEW_ROUTE, .route = ROUTES[i] });
  for (size_t i = 0; i < G_N_ELEMENTS (CASES); i++)
    {
      const LcRoute *route = lc_view_route (&view, CASES[i].host, strlen (CASES[i].host),
                                            CASES[i].path, strlen (CASES[i].path));

      ck_assert_msg ((route != NULL ? route->service_id : 0) == CASES[i].expected, "%s%s",
                     CASES[i].host, CASES[i].path);
    }
  lc_view_finish (&view);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("view");
  TCase *tcase = tcase_create ("core");

  tcase_add_test (tcase, test_revision_never_goes_back);
  tcase_add_test (tcase, test_candidate_history);
  tcase_add_test (tcase, test_snapshot_rebuilds_the_view);
  tcase_add_test (tcase, test_route_longest_prefix);
  suite_add_tcase (suite, tcase);
  return lc_fake_run (suite);
}
