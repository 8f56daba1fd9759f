#include "lc-member-serve.h"

#include "lc-member-private.h"

#include "core/member/lc-relays.h"
#include "io/lc-clock.h"
#include "io/lc-member-frames.h"
#include "io/lc-wire-member.h"
#include "io/lc-wire-view.h"

#include <string.h>

enum
{
  LC_MEMBER_SERVE_SUSPECTS = 64,    /* queried about in one tick */
  LC_MEMBER_SERVE_WATCHERS = 4,     /* queried about one suspect */
  LC_MEMBER_SERVE_SEED_MS = 15000,  /* between searches for members without a lease */
  LC_MEMBER_SERVE_REPORT_MAX = 256, /* changes per report */
};

/* === public: lifetime ======================================================================= */

static void lc_member_serve__on_answer (void *user, LcLink *link, const LcFrame *frame);
static void lc_member_serve__on_first_view (void *user, LcLink *link);

void
lc_member_serve_init (LcMember *member)
{
  LcViewServerDesc server = { .loop = member->desc.app->loop,
                              .view = &member->sync.view,
                              .user = member,
                              .first_view = lc_member_serve__on_first_view };
  LcWatchDesc watch = { .lease_ms = member->desc.lease_ms };
  LcPeerPoolDesc pool = { .loop = member->desc.app->loop,
                          .source_ipv4 = member->desc.balancer.ipv4,
                          .handler = { member, lc_member_serve__on_answer, NULL, NULL } };

  lc_view_server_init (&member->server, &server);
  lc_watch_init (&member->watch, &watch);
  lc_peer_pool_init (&member->watchers, &pool);
  member->seeded_us = lc_clock_now_us ();
  member->leases_gauge = lc_metrics_gauge (&member->desc.app->metrics, "lychee_member_leases",
                                           "Leases that this watcher holds", NULL);
}

void
lc_member_serve_finish (LcMember *member)
{
  lc_peer_pool_finish (&member->watchers);
  lc_watch_finish (&member->watch);
  lc_view_server_finish (&member->server);
}

/* === private: registration, renewal, subscription =========================================== */

static void
lc_member_serve__send_status (LcMember *member, LcLink *link, bool needs_hello, int64_t now_us)
{
  Lc__Wire__MemberStatus status = LC__WIRE__MEMBER_STATUS__INIT;
  int64_t silence_us = lc_member_view_age_us (member, now_us);
  LcSocketAddress known[LC_CONTROL_VMS_MAX];
  uint64_t control[LC_CONTROL_VMS_MAX];

  status.revision = member->sync.view.revision;
  status.needs_hello = needs_hello;
  status.control_age_ms = silence_us >= 0 ? (uint64_t)(silence_us / LC_US_PER_MS) : UINT32_MAX;
  status.is_confirmed = member->is_confirmed;
  lc_wire_member_control_write (&status, control, known,
                                lc_member_list_control (member, known, LC_CONTROL_VMS_MAX));
  lc_view_server_add_waiting (&member->server, link);
  (void)lc_link_send (link, LC_FRAME_MEMBER_STATUS, &status.base);
}

static void
lc_member_serve__on_first_view (void *user, LcLink *link)
{
  lc_member_serve__send_status (user, link, false, lc_clock_now_us ());
}

static void
lc_member_serve__on_subscribe (LcMember *member,
                               LcLink *link,
                               const Lc__Wire__MemberSubscribe *message)
{
  LcError error = { 0 };
  LcScope scope;

  if (lc_wire_member_scope_read (&scope, message, &error) < 0)
    lc_member_record_malformed (member, "subscribe", &error);
  else
    lc_view_server_subscribe (&member->server, link, message->from_revision, &scope);
}

static void
lc_member_serve__on_hello (LcMember *member,
                           LcLink *link,
                           const Lc__Wire__MemberHello *hello,
                           int64_t now_us)
{
  LcError error = { 0 };
  LcMemberChange change;

  if (hello->member == NULL || lc_wire_member_change_read (&change, hello->member, &error) < 0 ||
      (change.kind != LC_MEMBER_ENDPOINT_ANNOUNCED && change.kind != LC_MEMBER_BALANCER_ANNOUNCED))
    {
      lc_member_record_malformed (member, "hello", &error);
      return;
    }
  lc_watch_announce (&member->watch, &change, now_us);
  lc_member__tick_soon (member);
  lc_member_serve__send_status (member, link, false, now_us);
  if (hello->subscribe != NULL)
    lc_member_serve__on_subscribe (member, link, hello->subscribe);
}

static void
lc_member_serve__on_renew (LcMember *member,
                           LcLink *link,
                           const Lc__Wire__MemberRenew *renew,
                           int64_t now_us)
{
  LcFold fold;
  bool is_known;

  if (renew->phase > LC_MEMBER_PHASE_MOVED)
    return;
  lc_wire_member_fold_read (&fold, renew->fold);
  if (renew->phase == LC_MEMBER_PHASE_LEAVING)
    lc_member__tick_soon (member);
  is_known = lc_watch_renew (&member->watch, renew->name, renew->instance,
                             (LcMemberPhase)renew->phase, renew->is_ramped, &fold, now_us);
  lc_member_serve__send_status (member, link, !is_known, now_us);
}

/* === private: queries between watchers ====================================================== */

static void
lc_member_serve__on_query (LcMember *member, LcLink *link, const Lc__Wire__LeaseQuery *query)
{
  Lc__Wire__LeaseAnswer answer = LC__WIRE__LEASE_ANSWER__INIT;
  Lc__Wire__LeaseName **live = g_new (Lc__Wire__LeaseName *, query->n_names + 1);

  answer.live = live;
  for (size_t i = 0; i < query->n_names; i++)
    if (lc_watch_holds (&member->watch, query->names[i]->name, query->names[i]->instance))
      live[answer.n_live++] = query->names[i];
  (void)lc_link_send (link, LC_FRAME_MEMBER_LEASE_ANSWER, &answer.base);
  g_free (live);
}

static void
lc_member_serve__on_answer (void *user, LcLink *link, const LcFrame *frame)
{
  LcMember *member = user;
  Lc__Wire__LeaseAnswer *answer;

  if (frame->type != LC_FRAME_MEMBER_LEASE_ANSWER)
    return;
  answer = lc__wire__lease_answer__unpack (NULL, frame->payload_len, frame->payload);
  if (answer == NULL)
    return;
  for (size_t i = 0; i < answer->n_live; i++)
    lc_watch_confirm_elsewhere (&member->watch, answer->live[i]->name, answer->live[i]->instance);
  lc__wire__lease_answer__free_unpacked (answer, NULL);
}

static void
lc_member_serve__send_query (LcMember *member,
                             const LcUpstream *watcher,
                             LcLease *lease,
                             int64_t now_us)
{
  Lc__Wire__LeaseQuery query = LC__WIRE__LEASE_QUERY__INIT;
  Lc__Wire__LeaseName name = LC__WIRE__LEASE_NAME__INIT;
  Lc__Wire__LeaseName *names[1] = { &name };
  LcLink *link = lc_peer_pool_get (&member->watchers, watcher->ipv4, watcher->port, now_us);

  name.name = (char *)lc_member_change_name (&lease->member);
  name.instance = lc_member_change_instance (&lease->member);
  query.names = names;
  query.n_names = 1;
  (void)lc_link_send (link, LC_FRAME_MEMBER_LEASE_QUERY, &query.base);
}

/* Forwards the report of a balancer downstream unchanged. */
static void
lc_member_serve__forward_report (LcMember *member, const LcFrame *frame, int64_t now_us)
{
  LcLink *link = lc_member_select_report_link (member, now_us);

  if (link != NULL)
    (void)lc_link_send_bytes (link, frame->type, frame->payload, frame->payload_len);
}

/* Adds the possible watchers of a member: the relays of its data centre for a balancer, all active
 * balancers there for an endpoint. */
static void
lc_member_serve__add_watchers (const LcMember *member, bool is_balancer, LcDcId dc, LcUpstreams *up)
{
  const LcView *view = &member->sync.view;
  const LcBalancer *relays[LC_RELAYS_MAX];
  uint32_t n_relays = is_balancer ? lc_relays_list (view, dc, relays) : 0;

  for (uint32_t i = 0; i < n_relays; i++)
    lc_upstreams_add (up, relays[i]->ipv4, relays[i]->peer_port);
  for (guint i = 0; !is_balancer && i < view->balancers->len; i++)
    {
      const LcBalancer *b = &g_array_index (view->balancers, LcBalancer, i);

      if (b->dc == dc && b->state == LC_BALANCER_ACTIVE)
        lc_upstreams_add (up, b->ipv4, b->peer_port);
    }
}

/* The watchers of a member by rendezvous rank, best first. */
static uint32_t
lc_member_serve__list_watchers (
    const LcMember *member, const LcMemberChange *of, LcDcId dc, LcUpstream *out, uint32_t max)
{
  LcUpstreams up;
  uint32_t n;

  lc_upstreams_init (&up, lc_member_change_name (of));
  lc_upstreams_begin (&up);
  lc_member_serve__add_watchers (member, lc_member_change_is_balancer (of), dc, &up);
  lc_upstreams_end (&up);
  n = lc_upstreams_best (&up, 0, out, max);
  lc_upstreams_finish (&up);
  return n;
}

static bool
lc_member_serve__is_self (const LcMember *member, const LcUpstream *watcher)
{
  return watcher->ipv4 == member->desc.balancer.ipv4 &&
         watcher->port == member->desc.balancer.peer_port;
}

static void
lc_member_serve__query_watchers (LcMember *member, LcLease *lease, int64_t now_us)
{
  const LcDataCentre *dc = lc_view_dc_by_name (&member->sync.view, lease->member.data_centre);
  LcUpstream watchers[LC_MEMBER_SERVE_WATCHERS];
  uint32_t n;

  if (dc == NULL)
    return;
  n = lc_member_serve__list_watchers (member, &lease->member, dc->id, watchers,
                                      LC_MEMBER_SERVE_WATCHERS);
  for (uint32_t i = 0; i < n; i++)
    if (!lc_member_serve__is_self (member, &watchers[i]))
      lc_member_serve__send_query (member, &watchers[i], lease, now_us);
}

/* === private: members without a lease ======================================================= */

/* Whether this balancer is one of the two best-ranked watchers of the endpoint. */
static bool
lc_member_serve__is_endpoint_watcher (const LcMember *member, const LcEndpoint *e)
{
  const LcView *view = &member->sync.view;
  const LcBalancer *me = lc_view_balancer_by_name (view, member->desc.balancer.name);
  uint64_t mine;
  uint32_t n_better = 0;

  if (me == NULL || me->dc != e->dc)
    return false;
  mine = lc_upstream_score (e->name, me->ipv4, me->peer_port);
  for (guint i = 0; i < view->balancers->len && n_better < LC_MEMBER_DYNAMIC_SLOTS; i++)
    {
      const LcBalancer *b = &g_array_index (view->balancers, LcBalancer, i);

      if (b->dc == e->dc && b->state == LC_BALANCER_ACTIVE &&
          lc_upstream_score (e->name, b->ipv4, b->peer_port) > mine)
        n_better++;
    }
  return n_better < LC_MEMBER_DYNAMIC_SLOTS;
}

static void
lc_member_serve__seed_endpoint (LcMember *member,
                                const LcService *s,
                                const LcEndpoint *e,
                                int64_t now_us)
{
  LcMemberChange change = { .kind = LC_MEMBER_ENDPOINT_ANNOUNCED };

  if (e->state == LC_ENDPOINT_LOST || lc_lease_find (&member->watch.leases, e->name) != NULL ||
      !lc_member_serve__is_endpoint_watcher (member, e))
    return;
  change.endpoint = *e;
  (void)g_strlcpy (change.service, s->name, sizeof change.service);
  (void)g_strlcpy (change.data_centre, member->desc.data_centre, sizeof change.data_centre);
  lc_watch_seed (&member->watch, &change, now_us);
}

/* Whether this balancer is one of the two best-ranked watchers of a member. */
static bool
lc_member_serve__is_member_watcher (const LcMember *member, const LcMemberChange *of, LcDcId dc)
{
  LcUpstream watchers[LC_MEMBER_DYNAMIC_SLOTS];
  uint32_t n = lc_member_serve__list_watchers (member, of, dc, watchers, LC_MEMBER_DYNAMIC_SLOTS);

  for (uint32_t i = 0; i < n; i++)
    if (lc_member_serve__is_self (member, &watchers[i]))
      return true;
  return false;
}

/* A relay watches those balancers of its data centre that are not relays. */
static void
lc_member_serve__seed_balancers (LcMember *member, const LcDataCentre *dc, int64_t now_us)
{
  const LcView *view = &member->sync.view;
  const LcBalancer *relays[LC_RELAYS_MAX];
  uint32_t n_relays = lc_relays_list (view, dc->id, relays);

  for (guint i = 0; n_relays > 0 && i < view->balancers->len; i++)
    {
      const LcBalancer *b = &g_array_index (view->balancers, LcBalancer, i);
      LcMemberChange change = { .kind = LC_MEMBER_BALANCER_ANNOUNCED, .balancer = *b };

      if (b->dc != dc->id || b->state == LC_BALANCER_LOST ||
          lc_lease_find (&member->watch.leases, b->name) != NULL ||
          lc_relays_is_listed (relays, n_relays, b->id) ||
          !lc_member_serve__is_member_watcher (member, &change, dc->id))
        continue;
      (void)g_strlcpy (change.data_centre, dc->name, sizeof change.data_centre);
      lc_watch_seed (&member->watch, &change, now_us);
    }
}

/* A member that died before all its watchers restarted has no lease, so nothing would report it
 * lost.  Its best-ranked watchers start a lease from the view, which expires unless renewed. */
static void
lc_member_serve__seed_leases (LcMember *member, int64_t now_us)
{
  const LcDataCentre *dc = lc_view_dc_by_name (&member->sync.view, member->desc.data_centre);
  GHashTableIter iter;
  gpointer value;

  /* Nobody renews with a balancer that leaves, so a lease that it started would expire. */
  if (dc == NULL || member->phase == LC_MEMBER_PHASE_LEAVING ||
      now_us - member->seeded_us < LC_MEMBER_SERVE_SEED_MS * LC_US_PER_MS)
    return;
  member->seeded_us = now_us;
  lc_flap_expire (&member->watch.flap, now_us);
  lc_member_serve__seed_balancers (member, dc, now_us);
  g_hash_table_iter_init (&iter, member->sync.view.services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const LcService *s = value;

      for (uint32_t i = 0; i < s->n_endpoints; i++)
        if (s->endpoints[i].dc == dc->id)
          lc_member_serve__seed_endpoint (member, s, &s->endpoints[i], now_us);
    }
}

/* === private: reports ======================================================================= */

typedef struct
{
  LcMember *member;
  LcLink *link;
  LcWireMemberChange wires[LC_MEMBER_SERVE_REPORT_MAX];
  LcMemberChange changes[LC_MEMBER_SERVE_REPORT_MAX];
  Lc__Wire__MemberChange *list[LC_MEMBER_SERVE_REPORT_MAX];
  size_t n_changes;
} LcMemberReporter;

static void
lc_member_serve__send_report (LcMemberReporter *r)
{
  Lc__Wire__MemberReport report = LC__WIRE__MEMBER_REPORT__INIT;

  if (r->n_changes == 0)
    return;
  report.changes = r->list;
  report.n_changes = r->n_changes;
  (void)lc_link_send (r->link, LC_FRAME_MEMBER_REPORT, &report.base);
  r->n_changes = 0;
}

static void
lc_member_serve__add_report (void *user, const LcMemberChange *change)
{
  LcMemberReporter *r = user;
  size_t i = r->n_changes++;

  r->changes[i] = *change;
  lc_wire_member_change_write (&r->wires[i], &r->changes[i]);
  r->list[i] = &r->wires[i].message;
  if (r->n_changes == LC_MEMBER_SERVE_REPORT_MAX)
    lc_member_serve__send_report (r);
}

static void
lc_member_serve__send_reports (LcMember *member, int64_t now_us)
{
  LcLink *link = lc_member_select_report_link (member, now_us);
  LcMemberReporter *r;

  if (link == NULL || member->sync.view.revision == 0)
    return; /* cut off, or without a view to compare the leases with */
  r = g_new (LcMemberReporter, 1);
  r->member = member;
  r->link = link;
  r->n_changes = 0;
  lc_watch_collect (&member->watch, &member->sync.view, now_us, lc_member_serve__add_report, r);
  lc_member_serve__send_report (r);
  g_free (r);
}

/* === public ================================================================================= */

void
lc_member_serve_tick (LcMember *member, int64_t now_us)
{
  LcLease *suspects[LC_MEMBER_SERVE_SUSPECTS];
  size_t n = lc_watch_expire (&member->watch, now_us, suspects, LC_MEMBER_SERVE_SUSPECTS);

  for (size_t i = 0; i < n; i++)
    lc_member_serve__query_watchers (member, suspects[i], now_us);
  lc_member_serve__seed_leases (member, now_us);
  lc_member_serve__send_reports (member, now_us);
  lc_peer_pool_expire (&member->watchers, now_us);
  lc_metric_set (member->leases_gauge, lc_lease_count (&member->watch.leases));
}

void
lc_member_serve_fold (const LcMember *member, LcFold *fold)
{
  lc_watch_fold (&member->watch, member->sync.view.revision, fold);
}

void
lc_member_serve_handle_link_down (LcMember *member, LcLink *link)
{
  lc_view_server_handle_link_down (&member->server, link);
}

void
lc_member_serve_handle_frame (LcMember *member, LcLink *link, const LcFrame *frame)
{
  LcError error = { .message = "the payload does not unpack",
                    .remedy = "run the same version on both sides" };
  ProtobufCMessage *message = lc_wire_member_unpack_upward (frame, true);
  int64_t now_us = lc_clock_now_us ();

  if (message == NULL)
    {
      lc_member_record_malformed (member, "membership", &error);
      return;
    }
  if (frame->type == LC_FRAME_MEMBER_HELLO)
    lc_member_serve__on_hello (member, link, (const Lc__Wire__MemberHello *)message, now_us);
  else if (frame->type == LC_FRAME_MEMBER_RENEW)
    lc_member_serve__on_renew (member, link, (const Lc__Wire__MemberRenew *)message, now_us);
  else if (frame->type == LC_FRAME_MEMBER_SUBSCRIBE)
    lc_member_serve__on_subscribe (member, link, (const Lc__Wire__MemberSubscribe *)message);
  else if (frame->type == LC_FRAME_MEMBER_REPORT)
    lc_member_serve__forward_report (member, frame, now_us);
  else
    lc_member_serve__on_query (member, link, (const Lc__Wire__LeaseQuery *)message);
  protobuf_c_message_free_unpacked (message, NULL);
}
