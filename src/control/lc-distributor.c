#include "lc-distributor-private.h"

#include "core/member/lc-relays.h"
#include "io/lc-clock.h"
#include "io/lc-member-frames.h"
#include "io/lc-wire-member.h"

#include <string.h>

enum
{
  LC_DISTRIBUTOR_TICK_MS = 100,
  LC_DISTRIBUTOR_GATHER_MS = 2, /* gathers announcements for one pass */
  LC_DISTRIBUTOR_SEED_MS = 500,
  LC_DISTRIBUTOR_SUSPECTS_MAX = 64,
  LC_DISTRIBUTOR_FOLLOWER_REPORTS = 3, /* without effect, before a follower proposes */
  LC_DISTRIBUTOR_LOGS_PER_S = 2,
};

/* === private: members' frames ============================================================== */

static int64_t
lc_distributor__leader_age_us (const LcDistributor *d, int64_t now_us)
{
  if (d->desc.leader_age_us != NULL)
    return d->desc.leader_age_us (d->desc.user);
  if (d->desc.is_leader (d->desc.user))
    return 0;
  return now_us - MAX (d->led_us, d->started_us);
}

static void
lc_distributor__send_status (LcDistributor *d, LcLink *link, bool needs_hello, int64_t now_us)
{
  Lc__Wire__MemberStatus status = LC__WIRE__MEMBER_STATUS__INIT;
  int64_t age_us = lc_distributor__leader_age_us (d, now_us);
  LcSocketAddress known[LC_CONTROL_VMS_MAX];
  uint64_t control[LC_CONTROL_VMS_MAX];
  uint32_t n_known = 0;

  if (d->desc.control_addresses != NULL)
    n_known = d->desc.control_addresses (d->desc.user, known, LC_CONTROL_VMS_MAX);
  lc_wire_member_control_write (&status, control, known, n_known);
  status.revision = d->desc.view->revision;
  status.is_leader = d->desc.is_leader (d->desc.user);
  status.needs_hello = needs_hello;
  status.is_confirmed = age_us >= 0;
  status.stands_by = d->desc.is_standby != NULL && d->desc.is_standby (d->desc.user);
  status.control_age_ms = age_us >= 0 ? (uint64_t)(age_us / LC_US_PER_MS) : UINT32_MAX;
  lc_view_server_add_waiting (&d->server, link);
  (void)lc_link_send (link, LC_FRAME_MEMBER_STATUS, &status.base);
}

static void
lc_distributor__on_first_view (void *user, LcLink *link)
{
  lc_distributor__send_status (user, link, false, lc_clock_now_us ());
}

static void
lc_distributor__drop_malformed (LcDistributor *d, const char *what, const LcError *error)
{
  lc_metric_add (d->malformed_total, 1);
  if (lc_log_allow (&d->log_limit, lc_clock_now_us (), LC_DISTRIBUTOR_LOGS_PER_S))
    LC_WARN ("distributor.malformed", "frame", LC_STR (what), "message", LC_STR (error->message),
             "remedy", LC_STR (error->remedy));
}

static void
lc_distributor__on_subscribe (LcDistributor *d,
                              LcLink *link,
                              const Lc__Wire__MemberSubscribe *message)
{
  LcError error = { 0 };
  LcScope scope;

  if (lc_wire_member_scope_read (&scope, message, &error) < 0)
    lc_distributor__drop_malformed (d, "subscribe", &error);
  else
    lc_view_server_subscribe (&d->server, link, message->from_revision, &scope);
}

static void
lc_distributor__on_hello (LcDistributor *d,
                          LcLink *link,
                          const Lc__Wire__MemberHello *hello,
                          int64_t now_us)
{
  LcError error = { 0 };
  LcMemberChange change;

  if (hello->member == NULL || lc_wire_member_change_read (&change, hello->member, &error) < 0 ||
      (change.kind != LC_MEMBER_BALANCER_ANNOUNCED && change.kind != LC_MEMBER_ENDPOINT_ANNOUNCED))
    {
      lc_distributor__drop_malformed (d, "hello", &error);
      return;
    }
  if (change.kind == LC_MEMBER_ENDPOINT_ANNOUNCED)
    {
      /* An agent without a balancer: it gets its view here, and its lease from balancers. */
      lc_distributor__send_status (d, link, false, now_us);
      return;
    }
  lc_watch_announce (&d->watch, &change, now_us);
  lc_timer_ensure_within (&d->tick, LC_DISTRIBUTOR_GATHER_MS);
  lc_distributor__send_status (d, link, false, now_us);
  if (hello->subscribe != NULL)
    lc_distributor__on_subscribe (d, link, hello->subscribe);
}

static void
lc_distributor__on_renew (LcDistributor *d,
                          LcLink *link,
                          const Lc__Wire__MemberRenew *renew,
                          int64_t now_us)
{
  LcFold fold;
  bool is_known;

  if (renew->phase > LC_MEMBER_PHASE_MOVED)
    return;
  lc_wire_member_fold_read (&fold, renew->fold);
  is_known = lc_watch_renew (&d->watch, renew->name, renew->instance, (LcMemberPhase)renew->phase,
                             renew->is_ramped, &fold, now_us);
  lc_distributor__send_status (d, link, !is_known, now_us);
}

static void
lc_distributor__on_report (LcDistributor *d, const Lc__Wire__MemberReport *report, int64_t now_us)
{
  for (size_t i = 0; i < report->n_changes; i++)
    {
      LcError error = { 0 };
      LcMemberChange change;

      if (lc_wire_member_change_read (&change, report->changes[i], &error) < 0 ||
          change.kind == LC_MEMBER_SETTLED)
        lc_distributor__drop_malformed (d, "report", &error);
      else
        lc_distributor__propose_reported (d, &change, now_us);
    }
}

/* === private: balancers' leases ============================================================= */

static void
lc_distributor__seed_dc (LcDistributor *d, const LcDataCentre *dc, int64_t now_us)
{
  const LcView *view = d->desc.view;
  const LcBalancer *relays[LC_RELAYS_MAX];
  uint32_t n_relays = lc_relays_list (view, dc->id, relays);

  for (guint i = 0; i < view->balancers->len; i++)
    {
      const LcBalancer *b = &g_array_index (view->balancers, LcBalancer, i);
      LcMemberChange change = { .kind = LC_MEMBER_BALANCER_ANNOUNCED, .balancer = *b };

      if (b->dc != dc->id || b->state == LC_BALANCER_LOST ||
          !lc_relays_is_listed (relays, n_relays, b->id) ||
          lc_lease_find (&d->watch.leases, b->name) != NULL)
        continue;
      (void)g_strlcpy (change.data_centre, dc->name, sizeof change.data_centre);
      lc_watch_seed (&d->watch, &change, now_us);
    }
}

/* Grants a lease to direct balancers of the view that have not sent a hello here. */
static void
lc_distributor__seed (LcDistributor *d, int64_t now_us)
{
  const LcView *view = d->desc.view;

  if (now_us - d->seeded_us < LC_DISTRIBUTOR_SEED_MS * LC_US_PER_MS)
    return;
  d->seeded_us = now_us;
  for (guint i = 0; i < view->dcs->len; i++)
    lc_distributor__seed_dc (d, &g_array_index (view->dcs, LcDataCentre, i), now_us);
}

typedef struct
{
  LcDistributor *distributor;
  int64_t now_us;
  bool is_leader;
} LcDistributorCollect;

static bool
lc_distributor__is_direct (const LcDistributor *d, const char *name)
{
  const LcBalancer *b = lc_view_balancer_by_name (d->desc.view, name);

  return b == NULL || lc_relays_is_direct (d->desc.view, b);
}

/* A follower proposes only what the leader did not after several reports, and never a loss: the
 * leader has a link to every balancer. */
static void
lc_distributor__on_missing (void *user, const LcMemberChange *change)
{
  LcDistributorCollect *c = user;
  const LcLease *lease =
      lc_lease_find (&c->distributor->watch.leases, lc_member_change_name (change));

  /* A balancer that moved to relays holds its lease there. */
  if (change->kind == LC_MEMBER_BALANCER_LOST &&
      !lc_distributor__is_direct (c->distributor, change->balancer.name))
    return;
  if (!c->is_leader && (change->kind == LC_MEMBER_BALANCER_LOST || lease == NULL ||
                        lease->n_reports < LC_DISTRIBUTOR_FOLLOWER_REPORTS))
    return;
  lc_distributor__propose_reported (c->distributor, change, c->now_us);
}

static void
lc_distributor__check_leases (LcDistributor *d, bool is_leader, int64_t now_us)
{
  LcDistributorCollect collect = { d, now_us, is_leader };
  LcLease *suspects[LC_DISTRIBUTOR_SUSPECTS_MAX];

  (void)lc_watch_expire (&d->watch, now_us, suspects, LC_DISTRIBUTOR_SUSPECTS_MAX);
  lc_watch_collect (&d->watch, d->desc.view, now_us, lc_distributor__on_missing, &collect);
  lc_metric_set (d->balancers_gauge, lc_lease_count (&d->watch.leases));
  lc_metric_set (d->snapshots_gauge, (int64_t)d->server.snapshots_total);
  lc_metric_set (d->refused_gauge, (int64_t)d->server.refused_total);
  lc_metric_set (d->sent_gauge, (int64_t)d->server.bytes_total);
}

/* A new leader may have been cut off from balancers as a follower: it renews all leases.  Changes
 * missing in the view that were collected without a leader were not proposed: they are collected
 * again at once. */
static void
lc_distributor__update_role (LcDistributor *d, bool is_leader, int64_t now_us)
{
  GHashTableIter iter;
  gpointer value;

  if (is_leader)
    d->led_us = now_us;
  else
    lc_former_expiry_reset (&d->former_expiry);
  if (is_leader && !d->was_leader)
    {
      g_ptr_array_set_size (d->watch.suspects, 0);
      g_hash_table_iter_init (&iter, d->watch.leases.by_name);
      while (g_hash_table_iter_next (&iter, NULL, &value))
        lc_lease_renew (&d->watch.leases, value, now_us);
      lc_watch_resend_all (&d->watch);
    }
  d->was_leader = is_leader;
}

/* === private: tick ========================================================================== */

static void
lc_distributor__on_tick (void *user)
{
  LcDistributor *d = user;
  int64_t now_us = lc_clock_now_us ();
  bool is_leader = d->desc.is_leader (d->desc.user);

  lc_distributor__update_role (d, is_leader, now_us);
  lc_distributor__seed (d, now_us);
  lc_distributor__check_leases (d, is_leader, now_us);
  if (is_leader)
    {
      lc_distributor__sweep (d, now_us);
      lc_distributor__settle (d, now_us);
    }
  lc_distributor__expire_pending (d, now_us);
  lc_timer_start (&d->tick, LC_DISTRIBUTOR_TICK_MS);
}

/* === public: lifetime ======================================================================= */

static void
lc_distributor__init_metrics (LcDistributor *d)
{
  LcMetrics *m = &d->desc.app->metrics;

  d->proposed_total = lc_metrics_counter (m, "lychee_member_proposed_total",
                                          "Membership transitions proposed", NULL);
  d->held_total = lc_metrics_counter (m, "lychee_guard_held_total",
                                      "Reported losses that the guard held", NULL);
  d->unplaced_total =
      lc_metrics_counter (m, "lychee_member_unplaced_total",
                          "Announcements for a service or data centre that is not open", NULL);
  d->malformed_total = lc_metrics_counter (m, "lychee_member_malformed_total",
                                           "Membership messages that were dropped", NULL);
  d->snapshots_gauge = lc_metrics_gauge (m, "lychee_view_snapshots",
                                         "Snapshots of the view served since the start", NULL);
  d->refused_gauge = lc_metrics_gauge (m, "lychee_view_snapshots_refused",
                                       "Subscribers told to come back later", NULL);
  d->sent_gauge = lc_metrics_gauge (m, "lychee_view_sent_bytes",
                                    "Bytes of snapshots and deltas served since the start", NULL);
  d->balancers_gauge = lc_metrics_gauge (m, "lychee_member_leases",
                                         "Leases of balancers that this control VM holds", NULL);
}

LcDistributor *
lc_distributor_new (const LcDistributorDesc *desc, LcError *error)
{
  LcWatchDesc watch = { .lease_ms = desc->lease_ms, .suspect_ms = UINT32_MAX };
  LcViewServerDesc server = { .loop = desc->app->loop,
                              .view = desc->view,
                              .first_view = lc_distributor__on_first_view };
  LcLossGuardDesc guard = { 0 };
  LcDistributor *d;

  if (desc->propose == NULL || desc->is_leader == NULL || desc->view == NULL)
    {
      (void)lc_error_set (error, LC_ERR_INVALID, "give propose, is_leader and view",
                          "the distributor's description is incomplete");
      return NULL;
    }
  d = g_new0 (LcDistributor, 1);
  d->desc = *desc;
  d->started_us = lc_clock_now_us ();
  server.user = d;
  lc_view_server_init (&d->server, &server);
  lc_watch_init (&d->watch, &watch);
  lc_loss_guard_init (&d->guard, &guard);
  lc_distributor__init_proposals (d);
  d->lost_since = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  lc_distributor__init_metrics (d);
  lc_timer_init (&d->tick, desc->app->loop, lc_distributor__on_tick, d);
  lc_timer_start (&d->tick, LC_DISTRIBUTOR_TICK_MS);
  return d;
}

void
lc_distributor_free (LcDistributor *d)
{
  if (d == NULL)
    return;
  lc_timer_finish (&d->tick);
  lc_distributor__finish_proposals (d);
  g_hash_table_destroy (d->lost_since);
  lc_loss_guard_finish (&d->guard);
  lc_watch_finish (&d->watch);
  lc_view_server_finish (&d->server);
  g_free (d);
}

/* === public: the view ======================================================================= */

void
lc_distributor_publish (LcDistributor *d, const LcViewOp *ops, size_t n_ops)
{
  int64_t now_us = lc_clock_now_us ();

  for (size_t i = 0; i < n_ops; i++)
    lc_loss_guard_record (&d->guard, &ops[i], now_us);
  lc_view_server_publish (&d->server, ops, n_ops);
}

void
lc_distributor_reset (LcDistributor *d)
{
  lc_view_server_reset (&d->server);
}

void
lc_distributor_notify_waiting (LcDistributor *d)
{
  lc_view_server_notify_waiting (&d->server);
}

/* === public: frames ========================================================================= */

void
lc_distributor_receive (LcDistributor *d, LcLink *link, const LcFrame *frame)
{
  LcError error = { .message = "the payload does not unpack",
                    .remedy = "run the same version on both sides" };
  ProtobufCMessage *message = lc_wire_member_unpack_upward (frame, false);
  int64_t now_us = lc_clock_now_us ();

  if (message == NULL)
    {
      lc_distributor__drop_malformed (d, "membership", &error);
      return;
    }
  if (frame->type == LC_FRAME_MEMBER_HELLO)
    lc_distributor__on_hello (d, link, (const Lc__Wire__MemberHello *)message, now_us);
  else if (frame->type == LC_FRAME_MEMBER_RENEW)
    lc_distributor__on_renew (d, link, (const Lc__Wire__MemberRenew *)message, now_us);
  else if (frame->type == LC_FRAME_MEMBER_SUBSCRIBE)
    lc_distributor__on_subscribe (d, link, (const Lc__Wire__MemberSubscribe *)message);
  else
    lc_distributor__on_report (d, (const Lc__Wire__MemberReport *)message, now_us);
  protobuf_c_message_free_unpacked (message, NULL);
}

void
lc_distributor_link_down (LcDistributor *d, LcLink *link)
{
  lc_view_server_handle_link_down (&d->server, link);
}

/* === public: status ========================================================================= */

static LcDcStatus *
lc_distributor__find_dc_status (LcDcStatus *out, uint32_t n, const char *name)
{
  for (uint32_t i = 0; i < n; i++)
    if (strcmp (out[i].name, name) == 0)
      return &out[i];
  return NULL;
}

static void
lc_distributor__add_lease (
    const LcDistributor *d, const LcLease *lease, LcDcStatus *out, uint32_t n, int64_t now_us)
{
  LcDcStatus *status = lc_distributor__find_dc_status (out, n, lease->member.data_centre);
  int64_t silent_us = now_us - (lease->expires_us - d->watch.leases.lease_us);
  LcRevision in_force = lc_fold_in_force (&lease->fold);

  if (status == NULL || lease->is_seeded)
    return;
  if (status->silent_for_us < 0 || silent_us < status->silent_for_us)
    status->silent_for_us = silent_us;
  if (lease->state == LC_LEASE_LOST)
    return;
  status->in_force_revision = MIN (status->in_force_revision, in_force);
  status->n_balancers += lease->fold.n_balancers;
  status->n_agents += lease->fold.n_agents;
  status->n_behind += lease->fold.n_behind;
  if (lease->fold.n_behind == 0 && lease->fold.n_balancers > 0 && in_force < d->desc.view->revision)
    status->n_behind++;
}

uint32_t
lc_distributor_status (const LcDistributor *d, int64_t now_us, LcDcStatus *out, uint32_t max)
{
  const LcView *view = d->desc.view;
  uint32_t n = MIN (view->dcs->len, max);
  GHashTableIter iter;
  gpointer value;

  for (uint32_t i = 0; i < n; i++)
    {
      const LcDataCentre *dc = &g_array_index (view->dcs, LcDataCentre, i);

      out[i] = (LcDcStatus){ .dc = dc->id, .in_force_revision = UINT64_MAX, .silent_for_us = -1 };
      (void)g_strlcpy (out[i].name, dc->name, sizeof out[i].name);
    }
  g_hash_table_iter_init (&iter, d->watch.leases.by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    lc_distributor__add_lease (d, value, out, n, now_us);
  for (uint32_t i = 0; i < n; i++)
    if (out[i].in_force_revision == UINT64_MAX)
      out[i].in_force_revision = 0;
  return view->dcs->len;
}

void
lc_distributor_guard_status (const LcDistributor *d, int64_t now_us, LcLossGuardStatus *out)
{
  memset (out, 0, sizeof *out);
  out->is_holding = lc_loss_guard_is_holding (&d->guard, now_us);
  out->held_total = d->guard.held_total;
  if (!out->is_holding)
    return;
  out->holding_for_us = now_us - d->guard.holding_since_us;
  (void)g_strlcpy (out->what, d->guard.holding_what, sizeof out->what);
}
