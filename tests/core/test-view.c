/* The view: order of revisions, former candidate sets, snapshots, and the choice of routes. */
#include "core/lc-view.h"
#include "io/lc-wire-view.h"
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

/* An operation older than the view is refused and changes nothing. */
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

static void
count_bytes (void *user, const LcViewOp *op)
{
  LcWireViewOps batch;

  lc_wire_view_ops_init (&batch);
  lc_wire_view_ops_add (&batch, op);
  for (size_t i = 0; i < batch.n_ops; i++)
    *(size_t *)user += lc__wire__view_op__get_packed_size (batch.ops[i]);
  lc_wire_view_ops_finish (&batch);
}

/* All endpoints of a service restart, each at its own revision, and none of these settles.  A
 * snapshot of a service with returns_packets must not grow with the changes, or all members of the
 * service get their views late. */
static const struct
{
  const char *what;
  bool returns_packets;
  uint32_t n_former;
  size_t min_bytes;
  size_t max_bytes;
} RESTARTED[] = {
  { "former sets for flows that need them", false, 326, 1000000, 3000000 },
  { "packets are returned", true, 0, 4000, 8000 },
};

START_TEST (test_all_endpoints_restart)
{
  enum
  {
    N_ENDPOINTS = 163,
  };
  LcViewOp service = service_op (1, 1, "order-desk");
  LcRevision revision = 1;
  size_t bytes = 0;
  LcView view;

  lc_view_init (&view);
  service.service.returns_packets = RESTARTED[_i].returns_packets;
  apply (&view, service);
  for (int start = 0; start < 2; start++)
    for (LcEndpointId id = 1; id <= N_ENDPOINTS; id++)
      {
        LcViewOp op = endpoint_op (++revision, id, LC_ENDPOINT_ACTIVE);

        op.endpoint.instance = id * 10 + (LcInstance)start;
        apply (&view, op);
      }
  lc_view_snapshot (&view, count_bytes, &bytes);
  ck_assert_uint_eq (lc_view_service (&view, 1)->n_former, RESTARTED[_i].n_former);
  ck_assert_uint_eq (lc_view_service (&view, 1)->membership_revision, revision);
  ck_assert_msg (bytes >= RESTARTED[_i].min_bytes && bytes <= RESTARTED[_i].max_bytes,
                 "%s: %zu bytes", RESTARTED[_i].what, bytes);
  lc_view_finish (&view);
}
END_TEST

/* Setting returns_packets drops the former sets that the service had. */
START_TEST (test_former_sets_end)
{
  LcViewOp service = service_op (9, 1, "order-desk");
  LcView view;

  lc_view_init (&view);
  apply (&view, service_op (5, 1, "order-desk"));
  apply (&view, endpoint_op (6, 11, LC_ENDPOINT_ACTIVE));
  apply (&view, endpoint_op (7, 12, LC_ENDPOINT_ACTIVE));
  service.service.returns_packets = true;
  apply (&view, service);
  ck_assert_uint_eq (lc_view_service (&view, 1)->n_former, 0);
  ck_assert_uint_eq (lc_view_service (&view, 1)->n_endpoints, 2);
  ck_assert_uint_eq (g_hash_table_size (view.unsettled), 0);
  lc_view_finish (&view);
}
END_TEST

/* Each change pushes the set before it, and settling drops only the sets up to its revision. */
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

/* A view loaded from a snapshot has the same members and former sets as its source. */
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

/* A named host wins over any host, then the longest path prefix wins. */
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
  tcase_add_loop_test (tcase, test_all_endpoints_restart, 0, (int)G_N_ELEMENTS (RESTARTED));
  tcase_add_test (tcase, test_former_sets_end);
  tcase_add_test (tcase, test_snapshot_rebuilds_the_view);
  tcase_add_test (tcase, test_route_longest_prefix);
  suite_add_tcase (suite, tcase);
  return lc_fake_run (suite);
}
