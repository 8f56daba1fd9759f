/* Membership over real links: fake control VMs with the real distributor, and real members of both
 * kinds.
 */
#include "fake-control.h"
#include "fake-node.h"
#include "tests/fakes/lc-fake-run.h"

#include "controller/lc-view-server.h"
#include "io/lc-member-frames.h"
#include "io/lc-wire-view.h"
#include "proto/lc-member.pb-c.h"

#include <check.h>
#include <string.h>

enum
{
  N_CONTROL = 2,
  N_BALANCERS = 3,
  N_AGENTS = 4,
  N_FIRST_BALANCERS = 12,
  N_FIRST_AGENTS = 12,
  N_STANDBY_AGENTS = 32, /* ranks depend on ports: without the rule one in three gets no view */
  TIMEOUT_MS = 6000,     /* bounds a hang; no test asserts on speed */
};

#define ADDRESS(host) (0x7f200000U + 0x100U + (host))

typedef struct
{
  h2o_loop_t *loop;
  FakeControl control[N_CONTROL]; /* the first leads */
  FakeNode balancers[N_BALANCERS];
  FakeNode agents[N_AGENTS];
  uint32_t n_agents_expected; /* expected in state ACTIVE */
} World;

static World world;

static void
start_balancer (World *w, uint32_t i)
{
  LcSocketAddress control[N_CONTROL];
  char name[LC_NAME_MAX];

  for (uint32_t k = 0; k < N_CONTROL; k++)
    control[k] = fake_control_address (&w->control[k]);
  (void)g_snprintf (name, sizeof name, "lb-%u", i);
  fake_node_balancer (&w->balancers[i], w->loop, name, ADDRESS (10 + i), "hall-atl", control,
                      N_CONTROL);
}

static void
start_agent (World *w, uint32_t i)
{
  LcSocketAddress seeds[N_BALANCERS];
  char name[LC_NAME_MAX];

  for (uint32_t k = 0; k < N_BALANCERS; k++)
    seeds[k] = fake_node_address (&w->balancers[k]);
  (void)g_snprintf (name, sizeof name, "order-%u", i);
  fake_node_agent (&w->agents[i], w->loop, name, ADDRESS (20 + i), "hall-atl", "order-desk", seeds,
                   N_BALANCERS);
}

static void
setup (void)
{
  World *w = &world;

  w->loop = h2o_evloop_create ();
  fake_control_init (&w->control[0], w->loop, ADDRESS (1), NULL);
  fake_control_init (&w->control[1], w->loop, ADDRESS (2), &w->control[0]);
  fake_control_add_dc (&w->control[0], "hall-atl");
  (void)fake_control_add_service (&w->control[0], "order-desk");
  (void)fake_control_add_service (&w->control[0], "ticket-vault");
  for (uint32_t i = 0; i < N_BALANCERS; i++)
    start_balancer (w, i);
  for (uint32_t i = 0; i < N_AGENTS; i++)
    start_agent (w, i);
  w->n_agents_expected = N_AGENTS;
}

static void
teardown (void)
{
  World *w = &world;

  for (uint32_t i = 0; i < N_AGENTS; i++)
    {
      ck_assert_uint_eq (w->agents[i].n_reverted, 0);
      fake_node_kill (&w->agents[i]);
    }
  for (uint32_t i = 0; i < N_BALANCERS; i++)
    {
      ck_assert_uint_eq (w->balancers[i].n_reverted, 0);
      fake_node_kill (&w->balancers[i]);
    }
  for (uint32_t i = N_CONTROL; i > 0; i--)
    fake_control_finish (&w->control[i - 1]);
  h2o_evloop_run (w->loop, 1);
  memset (w, 0, sizeof *w);
}

/* === a view server and one subscriber ======================================================= */

typedef struct
{
  LcView view;
  LcViewServer server;
  LcLinkServer listener;
  LcLinkClient client;
  uint32_t n_endpoints; /* endpoint operations that the subscriber got */
  bool is_subscribed;
} Feed;

static void
feed_subscribe (void *user, LcLink *link)
{
  LcScope scope = { .is_scoped = true, .service = "order-desk", .data_centre = "hall-atl" };
  Feed *f = user;

  lc_view_server_subscribe (&f->server, link, 3,
                            &scope); /* it got revision 3 from another upstream */
  f->is_subscribed = true;
}

static void
feed_lost (void *user, LcLink *link, const char *why)
{
  lc_view_server_handle_link_down (&((Feed *)user)->server, link);
}

static void
feed_ignore_frame (void *user, LcLink *link, const LcFrame *frame)
{
}

static void
feed_ignore_up (void *user, LcLink *link)
{
}

static void
feed_ignore_down (void *user, LcLink *link, const char *why)
{
}

static void
feed_count (Feed *f, Lc__Wire__ViewOp **ops, size_t n_ops)
{
  for (size_t i = 0; i < n_ops; i++)
    {
      LcError error = { 0 };
      LcViewOp op;

      ck_assert_int_eq (lc_wire_view_op_read (&op, ops[i], &error), 0);
      f->n_endpoints += op.kind == LC_VIEW_ENDPOINT ? 1 : 0;
    }
}

static void
feed_on_frame (void *user, LcLink *link, const LcFrame *frame)
{
  Feed *f = user;

  if (frame->type == LC_FRAME_MEMBER_DELTA)
    {
      Lc__Wire__ViewDelta *delta =
          lc__wire__view_delta__unpack (NULL, frame->payload_len, frame->payload);

      feed_count (f, delta->ops, delta->n_ops);
      lc__wire__view_delta__free_unpacked (delta, NULL);
    }
  else if (frame->type == LC_FRAME_MEMBER_SNAPSHOT)
    {
      Lc__Wire__ViewSnapshotPart *part =
          lc__wire__view_snapshot_part__unpack (NULL, frame->payload_len, frame->payload);

      feed_count (f, part->ops, part->n_ops);
      lc__wire__view_snapshot_part__free_unpacked (part, NULL);
    }
}

static bool
feed_is_subscribed (void *user)
{
  return ((Feed *)user)->is_subscribed;
}

static bool
feed_has_endpoint (void *user)
{
  return ((Feed *)user)->n_endpoints > 0;
}

static void
feed_start (Feed *f, h2o_loop_t *loop)
{
  LcLinkServerDesc listen = { .loop = loop,
                              .ipv4 = ADDRESS (90),
                              .handler = { f, feed_ignore_frame, feed_subscribe, feed_lost } };
  LcLinkClientDesc connect = { .loop = loop,
                               .ipv4 = ADDRESS (90),
                               .handler = { f, feed_on_frame, feed_ignore_up, feed_ignore_down } };
  LcViewServerDesc desc = { .loop = loop, .view = &f->view };
  LcError error = { 0 };

  memset (f, 0, sizeof *f);
  lc_view_init (&f->view);
  lc_view_server_init (&f->server, &desc);
  ck_assert_int_eq (lc_link_server_init (&f->listener, &listen, &error), 0);
  connect.port = lc_link_server_port (&f->listener);
  lc_link_client_init (&f->client, &connect);
  ck_assert (fake_run_until (loop, feed_is_subscribed, f, TIMEOUT_MS));
}

static void
feed_finish (Feed *f)
{
  lc_link_client_finish (&f->client);
  lc_link_server_finish (&f->listener);
  lc_view_server_finish (&f->server);
  lc_view_finish (&f->view);
}

/* Revision 1: the data centre; 2 and 3: services; 4: an endpoint. */
static LcViewOp
feed_op (LcRevision revision)
{
  LcViewOp op = { .revision = revision };

  switch (revision)
    {
    case 1:
      op.kind = LC_VIEW_DC;
      op.dc.id = 1;
      (void)g_strlcpy (op.dc.name, "hall-atl", sizeof op.dc.name);
      break;
    case 2:
    case 3:
      op.kind = LC_VIEW_SERVICE;
      op.service.id = (LcServiceId)revision;
      (void)g_strlcpy (op.service.name, revision == 2 ? "order-desk" : "ticket-vault",
                       sizeof op.service.name);
      break;
    default:
      op.kind = LC_VIEW_ENDPOINT;
      op.endpoint = (LcEndpoint){ .id = 7, .instance = 70, .dc = 1, .state = LC_ENDPOINT_JOINING };
      op.endpoint.service_id = 2;
      (void)g_strlcpy (op.endpoint.name, "order-0", sizeof op.endpoint.name);
      break;
    }
  return op;
}

/* A subscriber that is ahead of its server must get later operations.  When it subscribes, the
 * server lacks the operations that resolve the ids of its scope, and gets them by delta or
 * snapshot. */
START_TEST (test_subscriber_ahead_of_its_server)
{
  static const bool by_snapshot[] = { true, false };
  h2o_loop_t *loop = h2o_evloop_create ();
  Feed f;

  feed_start (&f, loop);
  for (LcRevision revision = 1; revision <= 4; revision++)
    {
      LcViewOp op = feed_op (revision);
      LcError error = { 0 };

      ck_assert_int_eq (lc_view_apply (&f.view, &op, &error), 0);
      lc_view_advance (&f.view, revision);
      if (revision == 4 || !by_snapshot[_i])
        lc_view_server_publish (&f.server, &op, 1);
      else if (revision == 3)
        lc_view_server_reset (&f.server);
      fake_run_for (loop, 20);
    }
  ck_assert (fake_run_until (loop, feed_has_endpoint, &f, TIMEOUT_MS));
  feed_finish (&f);
  h2o_evloop_run (loop, 1);
}
END_TEST

/* === conditions ============================================================================= */

static uint32_t
n_in_state (const LcView *view, LcEndpointState state)
{
  const LcService *s = lc_view_service_by_name (view, "order-desk");
  uint32_t n = 0;

  for (uint32_t i = 0; s != NULL && i < s->n_endpoints; i++)
    n += s->endpoints[i].state == state ? 1 : 0;
  return n;
}

/* Every live member is at the newest revision and the expected agents are active. */
static bool
is_converged (void *user)
{
  World *w = user;
  const LcView *view = &w->control[0].view;

  if (n_in_state (view, LC_ENDPOINT_ACTIVE) != w->n_agents_expected)
    return false;
  for (uint32_t i = 0; i < N_BALANCERS; i++)
    if (w->balancers[i].is_up && fake_node_revision (&w->balancers[i]) != view->revision)
      return false;
  for (uint32_t i = 0; i < N_AGENTS; i++)
    if (w->agents[i].is_up && fake_node_revision (&w->agents[i]) != view->revision)
      return false;
  return true;
}

static bool
is_settled (void *user)
{
  World *w = user;

  return is_converged (user) && g_hash_table_size (w->control[0].view.unsettled) == 0;
}

static bool
is_counted (void *user)
{
  World *w = user;
  LcDcStatus status = { 0 };

  return is_settled (user) &&
         lc_distributor_status (w->control[0].distributor, 0, &status, 1) == 1 &&
         status.in_force_revision == w->control[0].view.revision &&
         status.n_agents == w->n_agents_expected && status.n_behind == 0;
}

static bool
has_one_lost (void *user)
{
  return n_in_state (&((World *)user)->control[0].view, LC_ENDPOINT_LOST) == 1;
}

static void
converge (void)
{
  ck_assert_msg (fake_run_until (world.loop, is_converged, &world, TIMEOUT_MS),
                 "not converged: %u of %u agents active, control at %u",
                 n_in_state (&world.control[0].view, LC_ENDPOINT_ACTIVE), world.n_agents_expected,
                 (unsigned)world.control[0].view.revision);
}

/* === tests ================================================================================== */

/* Members join, settle and are counted in the status, and an agent gets only its own service. */
START_TEST (test_join_settle_and_status)
{
  World *w = &world;
  const LcView *view;

  ck_assert (fake_run_until (w->loop, is_counted, w, TIMEOUT_MS));
  view = lc_member_view (&w->agents[0].member);
  ck_assert_ptr_nonnull (lc_view_service_by_name (view, "order-desk"));
  ck_assert_ptr_null (lc_view_service_by_name (view, "ticket-vault"));
  ck_assert_uint_eq (view->balancers->len, N_BALANCERS);
  ck_assert (lc_member_is_confirmed (&w->agents[0].member));
  ck_assert_int_ge (lc_member_view_age_us (&w->agents[0].member, INT64_MAX), 0);
}
END_TEST

/* A killed agent is reported lost once, and a restarted one joins again. */
START_TEST (test_killed_agent_is_lost_once_and_returns)
{
  World *w = &world;
  uint64_t changes;

  ck_assert (fake_run_until (w->loop, is_settled, w, TIMEOUT_MS));
  changes = w->control[0].n_changes;
  fake_node_kill (&w->agents[1]);
  ck_assert (fake_run_until (w->loop, has_one_lost, w, TIMEOUT_MS));
  w->n_agents_expected = N_AGENTS - 1;
  ck_assert (fake_run_until (w->loop, is_settled, w, TIMEOUT_MS));
  /* One loss and at most two settlements: no report was committed twice. */
  ck_assert_uint_le (w->control[0].n_changes - changes, 3);
  start_agent (w, 1);
  w->n_agents_expected = N_AGENTS;
  converge ();
}
END_TEST

static bool
has_left (void *user)
{
  return lc_member_has_left (&((World *)user)->agents[2].member);
}

static bool
is_gone (void *user)
{
  const World *w = user;

  return lc_view_endpoint_by_name (&w->control[0].view, "order-2") == NULL &&
         lc_view_endpoint_by_name (lc_member_view (&w->agents[0].member), "order-2") == NULL;
}

/* A planned stop drains the endpoint, then removes it, and never counts as a loss. */
START_TEST (test_planned_stop)
{
  World *w = &world;

  converge ();
  ck_assert (!lc_member_has_left (&w->agents[2].member));
  lc_member_leave (&w->agents[2].member);
  ck_assert (fake_run_until (w->loop, has_left, w, TIMEOUT_MS));
  /* It drained first; on a slow VM its lease may have ended and it may be gone by now. */
  ck_assert (w->agents[2].saw_draining);
  fake_node_finish (&w->agents[2]);
  w->n_agents_expected = N_AGENTS - 1;
  ck_assert (fake_run_until (w->loop, is_gone, w, TIMEOUT_MS));
  ck_assert_uint_eq (n_in_state (&w->control[0].view, LC_ENDPOINT_LOST), 0);
}
END_TEST

static uint32_t
n_seeded (const FakeNode *balancer)
{
  GHashTableIter iter;
  gpointer value;
  uint32_t n = 0;

  g_hash_table_iter_init (&iter, balancer->member.watch.leases.by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    n += ((const LcLease *)value)->is_seeded ? 1 : 0;
  return n;
}

static void
forget_leases (FakeNode *n)
{
  GList *leases = g_hash_table_get_values (n->member.watch.leases.by_name);

  for (GList *i = leases; i != NULL; i = i->next)
    lc_lease_remove (&n->member.watch.leases, i->data);
  g_list_free (leases);
}

/* No agent chooses a leaving balancer.  If it seeded leases from the view they would expire without
 * renewals, and it would report live endpoints as lost. */
START_TEST (test_leaving_balancer_seeds_no_leases)
{
  World *w = &world;

  converge ();
  for (uint32_t i = 0; i < N_BALANCERS; i++)
    lc_member_leave (&w->balancers[i].member);
  fake_run_for (w->loop, 500);
  for (uint32_t i = 0; i < N_BALANCERS; i++)
    {
      /* As after a restart: no lease yet, and seeding is due. */
      forget_leases (&w->balancers[i]);
      w->balancers[i].member.seeded_us = 0;
    }
  for (int k = 0; k < 5; k++)
    {
      for (uint32_t i = 0; i < N_BALANCERS; i++)
        ck_assert_uint_eq (n_seeded (&w->balancers[i]), 0);
      fake_run_for (w->loop, 100);
    }
}
END_TEST

/* A balancer dies, or freezes with its links up: its agents are never lost, and get updates. */
static void
check_balancer_lost (bool is_killed)
{
  World *w = &world;

  converge ();
  if (is_killed)
    fake_node_kill (&w->balancers[0]);
  else
    w->balancers[0].is_frozen = true;
  for (int i = 0; i < 4; i++)
    {
      (void)fake_control_add_service (&w->control[0], is_killed ? "more" : "other");
      fake_run_for (w->loop, 500);
      ck_assert_uint_eq (n_in_state (&w->control[0].view, LC_ENDPOINT_LOST), 0);
    }
  converge ();
}

START_TEST (test_balancer_killed)
{
  check_balancer_lost (true);
}
END_TEST

START_TEST (test_balancer_frozen)
{
  check_balancer_lost (false);
}
END_TEST

/* A control VM stops answering with its links up, or lags behind the others undetected. */
static void
check_control (FakeControl *c, bool is_cut)
{
  World *w = &world;

  converge ();
  c->is_cut = is_cut;
  c->is_lagging = !is_cut;
  for (int i = 0; i < 3; i++)
    {
      (void)fake_control_add_service (&w->control[0], "more");
      fake_run_for (w->loop, 300);
    }
  converge ();
}

START_TEST (test_follower_cut)
{
  check_control (&world.control[1], true);
}
END_TEST

START_TEST (test_follower_lags)
{
  check_control (&world.control[1], false);
}
END_TEST

/* Without control a member keeps its view and shows its age. */
START_TEST (test_cut_off_member_shows_view_age)
{
  World *w = &world;
  LcRevision before;

  ck_assert (fake_run_until (w->loop, is_settled, w, TIMEOUT_MS));
  before = fake_node_revision (&w->agents[0]);
  w->control[0].is_cut = true;
  w->control[1].is_cut = true;
  fake_run_for (w->loop, 1200);
  /* The view stays, and its age grows across the balancer. */
  ck_assert_uint_eq (fake_node_revision (&w->agents[0]), before);
  ck_assert_uint_eq (n_in_state (lc_member_view (&w->agents[0].member), LC_ENDPOINT_ACTIVE),
                     N_AGENTS);
  ck_assert_int_ge (lc_metric_value (w->agents[0].member.view_age_gauge), 500);
  w->control[0].is_cut = false;
  w->control[1].is_cut = false;
  (void)fake_control_add_service (&w->control[0], "later");
  converge ();
}
END_TEST

/* Malformed frames are counted and do no harm. */
START_TEST (test_bad_frames_are_counted)
{
  World *w = &world;
  uint8_t junk[64];
  uint64_t before;

  converge ();
  before = lc_metric_value (w->balancers[0].member.malformed_total);
  memset (junk, 0xff, sizeof junk);
  for (uint16_t type = 100; type < 112; type++)
    {
      LcFrame frame = { .type = type, .payload_len = sizeof junk, .payload = junk };

      lc_member_handle_frame (&w->balancers[0].member, NULL, &frame);
      lc_distributor_receive (w->control[0].distributor, NULL, &frame);
    }
  ck_assert_uint_eq (lc_metric_value (w->balancers[0].member.malformed_total), before + 12);
  converge ();
}
END_TEST

/* === a data centre with relays ============================================================== */

enum
{
  N_LARGE = 12
};

static FakeNode more[N_LARGE - N_BALANCERS];

static FakeNode *
large (uint32_t i)
{
  return i < N_BALANCERS ? &world.balancers[i] : &more[i - N_BALANCERS];
}

static uint32_t
n_control_links (void)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < N_LARGE; i++)
    for (uint32_t k = 0; k < N_CONTROL; k++)
      n += large (i)->is_up && large (i)->member.slots[k].is_open ? 1 : 0;
  return n;
}

/* Only relays are linked to control, and every member is up to date, counted and settled. */
static bool
is_relayed (void *user)
{
  World *w = user;
  const LcView *view = &w->control[0].view;
  LcDcStatus status = { 0 };
  uint32_t n_up = 0;

  for (uint32_t i = 0; i < N_LARGE; i++)
    {
      n_up += large (i)->is_up ? 1 : 0;
      if (large (i)->is_up && fake_node_revision (large (i)) != view->revision)
        return false;
    }
  (void)lc_distributor_status (w->control[0].distributor, 0, &status, 1);
  return n_control_links () == 3 * N_CONTROL && is_settled (user) && status.n_balancers == n_up &&
         status.n_agents == N_AGENTS && status.in_force_revision == view->revision;
}

static uint32_t
n_lost_balancers (const LcView *view)
{
  uint32_t n = 0;

  for (guint i = 0; i < view->balancers->len; i++)
    n += g_array_index (view->balancers, LcBalancer, i).state == LC_BALANCER_LOST ? 1 : 0;
  return n;
}

static bool
has_lost_the_relay (void *user)
{
  return n_lost_balancers (&((World *)user)->control[0].view) == 1 && is_relayed (user);
}

static void
start_large (World *w)
{
  LcSocketAddress control[N_CONTROL];

  for (uint32_t k = 0; k < N_CONTROL; k++)
    control[k] = fake_control_address (&w->control[k]);
  for (uint32_t i = N_BALANCERS; i < N_LARGE; i++)
    {
      char name[LC_NAME_MAX];

      (void)g_snprintf (name, sizeof name, "lb-%u", i);
      fake_node_balancer (large (i), w->loop, name, ADDRESS (40 + i), "hall-atl", control,
                          N_CONTROL);
    }
}

/* The death of a relay promotes another, and loses no other member. */
START_TEST (test_relays)
{
  World *w = &world;

  converge ();
  start_large (w);
  ck_assert (fake_run_until (w->loop, is_relayed, w, 2 * TIMEOUT_MS));
  ck_assert_uint_eq (n_lost_balancers (&w->control[0].view), 0);
  (void)fake_control_add_service (&w->control[0], "later");
  ck_assert (fake_run_until (w->loop, is_relayed, w, TIMEOUT_MS));
  for (uint32_t i = 0; i < N_LARGE; i++)
    if (large (i)->member.slots[0].is_open)
      {
        fake_node_kill (large (i));
        break;
      }
  ck_assert (fake_run_until (w->loop, has_lost_the_relay, w, 2 * TIMEOUT_MS));
  ck_assert_uint_eq (n_in_state (&w->control[0].view, LC_ENDPOINT_LOST), 0);
  for (uint32_t i = N_BALANCERS; i < N_LARGE; i++)
    {
      ck_assert_uint_eq (large (i)->n_reverted, 0);
      fake_node_kill (large (i));
    }
}
END_TEST

static bool
are_all_direct (void *user)
{
  return n_control_links () == N_LARGE * N_CONTROL;
}

/* Relays answer but have been cut from control for longer than a lease: each balancer links to
 * control itself, and returns to its relays when they reach control again.  Where the VMs of the
 * core network have the widest links they are the relays, and a cut of the core leaves all others
 * able to reach the leader's side. */
START_TEST (test_relays_without_control)
{
  World *w = &world;

  converge ();
  start_large (w);
  ck_assert (fake_run_until (w->loop, is_relayed, w, 2 * TIMEOUT_MS));
  for (uint32_t k = 0; k < N_CONTROL; k++)
    w->control[k].is_cut = true;
  ck_assert (fake_run_until (w->loop, are_all_direct, w, 2 * TIMEOUT_MS));
  for (uint32_t k = 0; k < N_CONTROL; k++)
    w->control[k].is_cut = false;
  ck_assert (fake_run_until (w->loop, is_relayed, w, 4 * TIMEOUT_MS));
  for (uint32_t i = N_BALANCERS; i < N_LARGE; i++)
    {
      ck_assert_uint_eq (large (i)->n_reverted, 0);
      fake_node_kill (large (i));
    }
}
END_TEST

/* Standby control VMs have no view.  Agents whose first choices are two of them must go on to the
 * seed that has one; with this many names some agents rank the two first. */
typedef struct
{
  FakeControl blank[2];
  FakeNode agents[N_STANDBY_AGENTS];
} Standby;

static bool
have_views (void *user)
{
  Standby *s = user;

  for (uint32_t i = 0; i < N_STANDBY_AGENTS; i++)
    if (fake_node_revision (&s->agents[i]) == 0)
      return false;
  return true;
}

/* Two blank control VMs, and agents seeded with them and, with `has_third`, with the leader. */
static void
start_standby (Standby *s, World *w, bool has_third)
{
  LcSocketAddress seeds[3];

  memset (s, 0, sizeof *s);
  for (uint32_t i = 0; i < 2; i++)
    {
      fake_control_init (&s->blank[i], w->loop, ADDRESS (70 + i), NULL);
      seeds[i] = fake_control_address (&s->blank[i]);
    }
  seeds[2] = fake_control_address (&w->control[0]);
  for (uint32_t i = 0; i < N_STANDBY_AGENTS; i++)
    {
      char name[LC_NAME_MAX];

      (void)g_snprintf (name, sizeof name, "lost-%u", i);
      fake_node_agent (&s->agents[i], w->loop, name, ADDRESS (80 + i), "hall-atl", "order-desk",
                       seeds, has_third ? 3 : 2);
    }
}

static void
stop_standby (Standby *s)
{
  for (uint32_t i = 0; i < N_STANDBY_AGENTS; i++)
    fake_node_kill (&s->agents[i]);
  for (uint32_t i = 0; i < 2; i++)
    fake_control_finish (&s->blank[i]);
}

START_TEST (test_standby_seeds)
{
  static Standby s;
  World *w = &world;
  bool is_done;

  start_standby (&s, w, true);
  is_done = fake_run_until (w->loop, have_views, &s, TIMEOUT_MS);
  stop_standby (&s);
  ck_assert (is_done);
}
END_TEST

/* A member that was greeted while there was no view is notified of the first one, once. */
static void
count_first_view (void *user, LcLink *link)
{
  uint32_t *n_notified = user;

  ck_assert (link == (LcLink *)n_notified);
  (*n_notified)++;
}

START_TEST (test_first_view_is_notified_once)
{
  uint32_t n_notified = 0;
  LcLink *link = (LcLink *)&n_notified; /* compared by address, never used */
  LcView view;
  LcViewServerDesc desc = {
    .loop = h2o_evloop_create (), .view = &view, .user = &n_notified, .first_view = count_first_view
  };
  LcViewServer server;

  lc_view_init (&view);
  lc_view_server_init (&server, &desc);
  lc_view_server_add_waiting (&server, link);
  lc_view_server_reset (&server); /* still no view */
  ck_assert_uint_eq (n_notified, 0);
  view.revision = 4;
  lc_view_server_reset (&server);
  ck_assert_uint_eq (n_notified, 1);
  lc_view_server_add_waiting (&server, link);
  view.revision = 5;
  lc_view_server_reset (&server);
  ck_assert_uint_eq (n_notified, 1);
  lc_view_server_finish (&server);
  lc_view_finish (&view);
}
END_TEST

/* All members start at once, control has no view yet, and one control VM never gets one.  Members
 * whose first choice is the blank VM must get a view without a renewal: those are a minute apart.
 * */
typedef struct
{
  FakeControl control[2]; /* the first stays blank */
  FakeNode balancers[N_FIRST_BALANCERS];
  FakeNode agents[N_FIRST_AGENTS];
} First;

static bool
first_are_linked (void *user)
{
  First *f = user;

  for (uint32_t i = 0; i < N_FIRST_BALANCERS; i++)
    for (uint32_t k = 0; k < 2; k++)
      if (!f->balancers[i].member.slots[k].has_status)
        return false;
  for (uint32_t i = 0; i < N_FIRST_AGENTS; i++)
    if (f->agents[i].member.primary == UINT32_MAX)
      return false;
  return true;
}

static bool
first_have_views (void *user)
{
  First *f = user;

  for (uint32_t i = 0; i < N_FIRST_BALANCERS; i++)
    if (fake_node_revision (&f->balancers[i]) == 0)
      return false;
  for (uint32_t i = 0; i < N_FIRST_AGENTS; i++)
    if (fake_node_revision (&f->agents[i]) == 0)
      return false;
  return true;
}

START_TEST (test_first_view_reaches_all)
{
  static First f;
  h2o_loop_t *loop = h2o_evloop_create ();
  LcSocketAddress control[2];
  bool is_done;
  char name[LC_NAME_MAX];

  memset (&f, 0, sizeof f);
  fake_lease_ms = 180000;
  for (uint32_t i = 0; i < 2; i++)
    {
      fake_control_init (&f.control[i], loop, ADDRESS (120 + i), NULL);
      control[i] = fake_control_address (&f.control[i]);
    }
  for (uint32_t i = 0; i < N_FIRST_BALANCERS; i++)
    {
      (void)g_snprintf (name, sizeof name, "first-lb-%u", i);
      fake_node_balancer (&f.balancers[i], loop, name, ADDRESS (130 + i), "hall-atl", control, 2);
    }
  for (uint32_t i = 0; i < N_FIRST_AGENTS; i++)
    {
      (void)g_snprintf (name, sizeof name, "first-%u", i);
      fake_node_agent (&f.agents[i], loop, name, ADDRESS (150 + i), "hall-atl", "order-desk",
                       control, 2);
    }
  ck_assert (fake_run_until (loop, first_are_linked, &f, TIMEOUT_MS));
  fake_control_add_dc (&f.control[1], "hall-atl");
  (void)fake_control_add_service (&f.control[1], "order-desk");
  is_done = fake_run_until (loop, first_have_views, &f, TIMEOUT_MS);
  for (uint32_t i = 0; i < N_FIRST_AGENTS; i++)
    fake_node_kill (&f.agents[i]);
  for (uint32_t i = 0; i < N_FIRST_BALANCERS; i++)
    fake_node_kill (&f.balancers[i]);
  for (uint32_t i = 0; i < 2; i++)
    fake_control_finish (&f.control[i]);
  h2o_evloop_run (loop, 1);
  ck_assert (is_done);
}
END_TEST

/* All seeds of the agents are standbys, which are configured with a leader only later. */
START_TEST (test_all_seeds_are_standbys)
{
  static Standby s;
  World *w = &world;
  bool is_done;

  start_standby (&s, w, false);
  fake_run_for (w->loop, 50);
  for (uint32_t i = 0; i < 2; i++)
    {
      s.blank[i].stands_by_for = &w->control[0];
      lc_distributor_notify_waiting (s.blank[i].distributor);
    }
  is_done = fake_run_until (w->loop, have_views, &s, TIMEOUT_MS);
  stop_standby (&s);
  ck_assert (is_done);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("member-links");
  TCase *tc = tcase_create ("links");

  lc_log_init (LC_LOG_ERROR, "test", "member-links");
  tcase_set_timeout (tc, 60);
  tcase_add_checked_fixture (tc, setup, teardown);
  tcase_add_test (tc, test_join_settle_and_status);
  tcase_add_test (tc, test_killed_agent_is_lost_once_and_returns);
  tcase_add_test (tc, test_planned_stop);
  tcase_add_test (tc, test_leaving_balancer_seeds_no_leases);
  tcase_add_test (tc, test_balancer_killed);
  tcase_add_test (tc, test_balancer_frozen);
  tcase_add_test (tc, test_follower_cut);
  tcase_add_test (tc, test_follower_lags);
  tcase_add_test (tc, test_cut_off_member_shows_view_age);
  tcase_add_test (tc, test_relays);
  tcase_add_test (tc, test_relays_without_control);
  tcase_add_test (tc, test_bad_frames_are_counted);
  tcase_add_test (tc, test_standby_seeds);
  tcase_add_test (tc, test_all_seeds_are_standbys);
  suite_add_tcase (suite, tc);
  tc = tcase_create ("feed");
  tcase_set_timeout (tc, 60);
  tcase_add_loop_test (tc, test_subscriber_ahead_of_its_server, 0, 2);
  tcase_add_test (tc, test_first_view_is_notified_once);
  tcase_add_test (tc, test_first_view_reaches_all);
  suite_add_tcase (suite, tc);
  return lc_fake_run (suite);
}
