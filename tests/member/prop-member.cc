/* Properties of the membership decisions over random sequences of events: loss, duplication and
 * reordering of messages, reconnects, restarts of relays, sources that lag, snapshots between
 * deltas.
 */
#include "core/member/lc-loss-guard.h"
#include "core/member/lc-op-log.h"
#include "core/member/lc-scope.h"
#include "core/member/lc-settle.h"
#include "core/member/lc-view-sync.h"
#include "core/member/lc-watch.h"

#include <rapidcheck.h>

#include <algorithm>
#include <cstring>
#include <deque>
#include <set>
#include <string>
#include <vector>

namespace
{

using Steps = std::vector<std::pair<uint8_t, uint16_t> >;

rc::Gen<Steps>
steps (uint8_t n_kinds)
{
  return rc::gen::container<Steps> (
      rc::gen::pair (rc::gen::inRange<uint8_t> (0, n_kinds), rc::gen::arbitrary<uint16_t> ()));
}

/* === a source of the view =================================================================== */

std::string
op_text (const LcViewOp *op)
{
  char text[256];

  switch (op->kind)
    {
    case LC_VIEW_ENDPOINT:
      snprintf (text, sizeof text, "e%u.%u.%u", op->endpoint.id, op->endpoint.service_id,
                op->endpoint.state);
      break;
    case LC_VIEW_SERVICE:
    case LC_VIEW_SERVICE_MEMBERS:
      snprintf (text, sizeof text, "s%u.%d.%lu", op->service.id, op->kind,
                (unsigned long)op->service.membership_revision);
      break;
    case LC_VIEW_FORMER:
      snprintf (text, sizeof text, "f%u.%lu.%u", op->former.service_id,
                (unsigned long)op->former.until_revision, op->former.endpoint.id);
      break;
    case LC_VIEW_BALANCER:
      snprintf (text, sizeof text, "b%u.%u", op->balancer.id, op->balancer.state);
      break;
    default:
      snprintf (text, sizeof text, "%d.%lu", op->kind, (unsigned long)op->settled_revision);
      break;
    }
  return text;
}

void
collect_text (void *user, const LcViewOp *op)
{
  static_cast<std::multiset<std::string> *> (user)->insert (op_text (op));
}

/* The contents of a view, sorted. */
std::multiset<std::string>
contents (const LcView *view, const LcScope *scope)
{
  std::multiset<std::string> all;

  lc_scope_snapshot (scope, view, collect_text, &all);
  return all;
}

void
collect_op (void *user, const LcViewOp *op)
{
  static_cast<std::vector<LcViewOp> *> (user)->push_back (*op);
}

struct Message
{
  uint32_t source;
  bool is_snapshot;
  LcRevision from, to;
  uint32_t part;
  bool is_last;
  std::vector<LcViewOp> ops;
};

/* A relay or control VM: a view, its op log, and the revision sent to its only subscriber. */
struct Source
{
  LcView view;
  LcOpLog log;
  LcScope scope{};
  LcRevision sent = 0;
  uint32_t id;

  Source (uint32_t id_) : id (id_)
  {
    lc_view_init (&view);
    lc_op_log_init (&log, 12);
  }
  ~Source ()
  {
    lc_view_finish (&view);
    lc_op_log_finish (&log);
  }

  void
  take (const std::vector<LcViewOp> &ops)
  {
    for (const LcViewOp &op : ops)
      {
        RC_ASSERT (lc_view_apply (&view, &op, nullptr) == 0);
        RC_ASSERT (lc_op_log_append (&log, &op) == 0);
      }
  }

  /* Keeps the view and drops the op log, as a restart does. */
  void
  restart ()
  {
    lc_op_log_reset (&log, view.revision);
    sent = 0;
  }

  void
  subscribe (LcRevision from)
  {
    sent = from;
    lc_scope_resolve (&scope, &view);
  }

  void
  send_delta (std::deque<Message> *net)
  {
    Message m{ id, false, sent, view.revision, 0, true, {} };

    for (size_t i = lc_op_log_after (&log, sent); i < lc_op_log_count (&log); i++)
      if (lc_scope_includes (&scope, lc_op_log_at (&log, i)))
        m.ops.push_back (*lc_op_log_at (&log, i));
    net->push_back (m);
  }

  void
  send_snapshot (std::deque<Message> *net)
  {
    std::vector<LcViewOp> ops;
    size_t at = 0;
    uint32_t part = 0;

    lc_scope_resolve (&scope, &view);
    lc_scope_snapshot (&scope, &view, collect_op, &ops);
    do
      {
        size_t n = std::min<size_t> (5, ops.size () - at);

        net->push_back ({ id,
                          true,
                          0,
                          view.revision,
                          part++,
                          at + n == ops.size (),
                          { ops.begin () + (long)at, ops.begin () + (long)(at + n) } });
        at += n;
      }
    while (at < ops.size ());
  }

  void
  serve (std::deque<Message> *net)
  {
    if (sent >= view.revision)
      return;
    if (sent > 0 && lc_op_log_covers (&log, sent))
      send_delta (net);
    else
      send_snapshot (net);
    sent = view.revision;
  }
};

LcViewOp
random_op (LcRevision revision, uint16_t random)
{
  LcViewOp op{};
  uint32_t service = 1 + random % 3;

  op.revision = revision;
  switch ((random >> 2) % 5)
    {
    case 0:
      op.kind = LC_VIEW_BALANCER;
      op.balancer.id = 1 + (random >> 5) % 4;
      op.balancer.dc = (LcDcId)(1 + op.balancer.id % 2);
      op.balancer.state = (uint8_t)(1 + (random >> 7) % 3);
      snprintf (op.balancer.name, sizeof op.balancer.name, "lb-%u", op.balancer.id);
      break;
    case 1:
      op.kind = LC_VIEW_SETTLED;
      op.settled_revision = revision > 3 ? revision - 3 : 0;
      break;
    default:
      op.kind = random & 0x4000 ? LC_VIEW_ENDPOINT_REMOVED : LC_VIEW_ENDPOINT;
      op.endpoint.id = 10 * service + (random >> 5) % 4;
      op.endpoint.service_id = service;
      op.endpoint.weight_percent = 100;
      op.endpoint.instance = 1 + (random >> 9) % 2;
      op.endpoint.state = (uint8_t)(1 + (random >> 7) % 4);
      snprintf (op.endpoint.name, sizeof op.endpoint.name, "e-%u", op.endpoint.id);
      break;
    }
  return op;
}

std::vector<LcViewOp>
first_ops ()
{
  std::vector<LcViewOp> ops;

  for (uint32_t i = 1; i <= 3; i++)
    {
      LcViewOp op{};

      op.revision = 1;
      op.kind = LC_VIEW_SERVICE;
      op.service.id = i;
      snprintf (op.service.name, sizeof op.service.name, "service-%u", i);
      ops.push_back (op);
      op = LcViewOp{};
      op.revision = 1;
      op.kind = LC_VIEW_DC;
      op.dc.id = (LcDcId)i;
      snprintf (op.dc.name, sizeof op.dc.name, "dc-%u", i);
      ops.push_back (op);
    }
  return ops;
}

/* === a subscriber =========================================================================== */

struct Subscriber
{
  LcViewSync sync;
  LcRevision highest = 0;

  Subscriber ()
  {
    lc_view_sync_init (&sync);
  }
  ~Subscriber ()
  {
    lc_view_sync_finish (&sync);
  }

  void
  take (const Message &m, Source *source)
  {
    LcSyncResult r = m.is_snapshot ? lc_view_sync_part (&sync, m.source, m.to, m.part, m.is_last,
                                                        m.ops.data (), m.ops.size (), nullptr)
                                   : lc_view_sync_delta (&sync, m.from, m.to, m.ops.data (),
                                                         m.ops.size (), nullptr);

    RC_ASSERT (sync.view.revision >= highest);
    RC_ASSERT (sync.failed_total == 0U); /* no source sends an operation that fails */
    highest = sync.view.revision;
    if (r == LC_SYNC_RESUBSCRIBE)
      source->subscribe (lc_view_sync_from (&sync));
  }
};

struct Feed
{
  Source first{ 0 };
  Source second{ 1 }; /* lags: catches up with the first at times */
  Subscriber sub;
  std::deque<Message> net;
  std::vector<std::vector<LcViewOp> > history;

  Feed (bool is_scoped)
  {
    for (Source *s : { &first, &second })
      {
        s->scope.is_scoped = is_scoped;
        snprintf (s->scope.service, sizeof s->scope.service, "service-2");
        snprintf (s->scope.data_centre, sizeof s->scope.data_centre, "dc-1");
      }
    commit (first_ops ());
    catch_up ();
  }

  void
  commit (const std::vector<LcViewOp> &ops)
  {
    history.push_back (ops);
    first.take (ops);
  }

  void
  catch_up ()
  {
    for (const auto &ops : history)
      if (ops[0].revision > second.view.revision)
        second.take (ops);
  }

  Source *
  pick (uint16_t random)
  {
    return random % 2 ? &second : &first;
  }

  void
  deliver (size_t index)
  {
    Message m = net[index];

    net.erase (net.begin () + (long)index);
    sub.take (m, m.source == 0 ? &first : &second);
  }

  void
  step (uint8_t kind, uint16_t random)
  {
    switch (kind)
      {
      case 0:
      case 1:
        {
          LcRevision revision = first.view.revision + 1;
          std::vector<LcViewOp> ops{ random_op (revision, random) };

          if (random % 3 == 0)
            ops.push_back (random_op (revision, (uint16_t)(random * 31)));
          commit (ops);
          break;
        }
      case 2:
      case 3:
        pick (random)->serve (&net);
        break;
      case 4:
      case 5:
      case 6:
        if (!net.empty ())
          deliver (random % net.size ()); /* out of order */
        break;
      case 7:
        if (!net.empty ()) /* lost */
          net.erase (net.begin () + (long)(random % net.size ()));
        break;
      case 8:
        if (!net.empty ()) /* duplicated */
          net.push_back (net[random % net.size ()]);
        break;
      case 9:
        pick (random)->subscribe (lc_view_sync_from (&sub.sync)); /* reconnected */
        lc_view_sync_source_down (&sub.sync, random % 2);
        break;
      case 10:
        pick (random)->restart ();
        break;
      case 11:
        catch_up ();
        break;
      }
  }

  /* The network heals: messages in flight arrive, then the newest source is subscribed to. */
  void
  heal ()
  {
    while (!net.empty ())
      deliver (0);
    for (int i = 0; i < 4; i++)
      {
        first.subscribe (lc_view_sync_from (&sub.sync));
        first.serve (&net);
        while (!net.empty ())
          deliver (0);
      }
  }
};

void
check_feed (bool is_scoped)
{
  const Steps plan = *steps (12);
  Feed feed (is_scoped);

  for (const auto &step : plan)
    feed.step (step.first, step.second);
  feed.heal ();
  RC_ASSERT (feed.sub.sync.view.revision == feed.first.view.revision);
  lc_scope_resolve (&feed.first.scope, &feed.first.view);
  RC_ASSERT (contents (&feed.sub.sync.view, &feed.first.scope) ==
             contents (&feed.first.view, &feed.first.scope));
}

/* === watchers =============================================================================== */

/* Two watchers of one data centre, a control that commits their reports, and members that die,
 * are cut off, and return. */
struct Site
{
  static constexpr uint32_t N = 3;
  LcWatch watches[2];
  LcView view;
  int64_t now_us = 1000000;
  LcRevision revision = 1;
  bool is_alive[N] = {};
  bool reaches[N][2]; /* whether the member's renewals reach the watcher */
  LcInstance instance[N] = {};
  uint32_t n_lost[N] = {}; /* committed losses of the present instance */
  LcInstance next_instance = 1;
  std::vector<LcMemberChange> reports;

  Site ()
  {
    LcWatchDesc desc{};
    LcViewOp op{};

    desc.flap.suppress_at = 1000000; /* off: damping has its own test */
    lc_view_init (&view);
    for (LcWatch &w : watches)
      lc_watch_init (&w, &desc);
    op.revision = 1;
    op.kind = LC_VIEW_SERVICE;
    op.service.id = 1;
    lc_view_apply (&view, &op, nullptr);
    for (uint32_t i = 0; i < N; i++)
      {
        reaches[i][0] = reaches[i][1] = true;
        start (i);
      }
  }
  ~Site ()
  {
    for (LcWatch &w : watches)
      lc_watch_finish (&w);
    lc_view_finish (&view);
  }

  LcMemberChange
  announced (uint32_t i)
  {
    LcMemberChange c{};

    c.kind = LC_MEMBER_ENDPOINT_ANNOUNCED;
    c.endpoint.instance = instance[i];
    c.endpoint.weight_percent = 100;
    snprintf (c.endpoint.name, sizeof c.endpoint.name, "e-%u", i);
    return c;
  }

  void
  start (uint32_t i)
  {
    is_alive[i] = true;
    instance[i] = next_instance++;
    n_lost[i] = 0;
  }

  void
  renew (uint32_t i, LcWatch *w)
  {
    LcMemberChange c = announced (i);
    LcFold fold;

    lc_fold_init (&fold);
    if (!lc_watch_renew (w, c.endpoint.name, instance[i], LC_MEMBER_PHASE_LIVE, false, &fold,
                         now_us))
      lc_watch_announce (w, &c, now_us);
  }

  static void
  on_report (void *user, const LcMemberChange *change)
  {
    static_cast<Site *> (user)->reports.push_back (*change);
  }

  void
  commit (const LcMemberChange &c)
  {
    const LcEndpoint *known = lc_view_endpoint_by_name (&view, c.endpoint.name);
    uint32_t i = (uint32_t)(c.endpoint.name[2] - '0');
    LcViewOp op{};

    op.kind = LC_VIEW_ENDPOINT;
    op.endpoint = c.endpoint;
    op.endpoint.id = i + 1;
    op.endpoint.service_id = 1;
    if (c.kind == LC_MEMBER_ENDPOINT_ANNOUNCED)
      {
        if (known != nullptr && known->instance == c.endpoint.instance &&
            known->state != LC_ENDPOINT_LOST)
          return;
        op.endpoint.state = LC_ENDPOINT_JOINING;
      }
    else
      {
        if (known == nullptr || known->instance != c.endpoint.instance ||
            known->state == LC_ENDPOINT_LOST)
          return;
        op.endpoint.state = LC_ENDPOINT_LOST;
        if (c.endpoint.instance == instance[i])
          n_lost[i]++;
      }
    op.revision = ++revision;
    lc_view_apply (&view, &op, nullptr);
  }

  /* 100 ms: renewals, expiry, queries between the watchers, reports. */
  void
  tick (bool may_renew)
  {
    LcLease *suspects[8];

    now_us += 100000;
    for (uint32_t k = 0; k < 2; k++)
      {
        for (uint32_t i = 0; may_renew && i < N; i++)
          if (is_alive[i] && reaches[i][k])
            renew (i, &watches[k]);
        size_t n = lc_watch_expire (&watches[k], now_us, suspects, 8);

        for (size_t s = 0; s < n; s++)
          {
            std::string name = lc_member_change_name (&suspects[s]->member);
            LcInstance inst = lc_member_change_instance (&suspects[s]->member);

            if (lc_watch_holds (&watches[1 - k], name.c_str (), inst))
              lc_watch_confirm_elsewhere (&watches[k], name.c_str (), inst);
          }
        lc_watch_collect (&watches[k], &view, now_us, on_report, this);
      }
  }

  void
  run (uint32_t n_ticks)
  {
    for (uint32_t t = 0; t < n_ticks; t++)
      {
        tick (true);
        for (const LcMemberChange &c : std::vector<LcMemberChange> (reports))
          commit (c);
        reports.clear ();
      }
  }
};

void
step_site (Site *p, uint8_t kind, uint16_t random)
{
  uint32_t i = random % Site::N;

  switch (kind)
    {
    case 0:
      p->is_alive[i] = false;
      break;
    case 1:
      if (!p->is_alive[i])
        p->start (i);
      break;
    case 2:
      p->reaches[i][(random >> 4) % 2] = random & 0x100; /* cut from one watcher, or healed */
      break;
    case 3:
      p->run (1 + (random >> 4) % 20);
      break;
    case 4: /* reports are lost, late or reordered */
      p->tick (true);
      if (random & 0x200)
        p->reports.clear ();
      if (random & 0x400)
        std::reverse (p->reports.begin (), p->reports.end ());
      break;
    case 5: /* a watcher restarts without leases */
      {
        LcWatchDesc desc = p->watches[random % 2].desc;

        lc_watch_finish (&p->watches[random % 2]);
        lc_watch_init (&p->watches[random % 2], &desc);
        break;
      }
    }
}

void
seed_from_view (Site *p)
{
  for (uint32_t i = 0; i < Site::N; i++)
    {
      char name[16];
      const LcEndpoint *e;
      LcMemberChange c{};

      snprintf (name, sizeof name, "e-%u", i);
      e = lc_view_endpoint_by_name (&p->view, name);
      if (e == nullptr || e->state == LC_ENDPOINT_LOST)
        continue;
      c.kind = LC_MEMBER_ENDPOINT_ANNOUNCED;
      c.endpoint = *e;
      for (LcWatch &w : p->watches)
        lc_watch_seed (&w, &c, p->now_us);
    }
}

void
check_site ()
{
  const Steps plan = *steps (6);
  Site p;

  for (const auto &step : plan)
    step_site (&p, step.first, step.second);
  for (auto &r : p.reaches)
    r[0] = r[1] = true;
  p.run (10);
  seed_from_view (&p);
  p.run (100);
  for (uint32_t i = 0; i < Site::N; i++)
    {
      char name[16];
      const LcEndpoint *e;

      snprintf (name, sizeof name, "e-%u", i);
      e = lc_view_endpoint_by_name (&p.view, name);
      if (p.is_alive[i])
        {
          RC_ASSERT (e != nullptr);
          RC_ASSERT (e->instance == p.instance[i]);
          RC_ASSERT (e->state == LC_ENDPOINT_JOINING);
        }
      else if (e != nullptr)
        RC_ASSERT (e->state == LC_ENDPOINT_LOST);
    }
}

/* One death is one loss, however often the two watchers report it, and a member that reaches one of
 * its watchers is never lost. */
void
check_lost_once ()
{
  const auto n_before = *rc::gen::inRange<uint32_t> (1, 60);
  const auto who = *rc::gen::inRange<uint32_t> (0, Site::N);
  const auto cut = *rc::gen::inRange<uint32_t> (0, 2);
  Site p;

  p.run (n_before);
  p.is_alive[who] = false;
  p.reaches[(who + 1) % Site::N][cut] = false;
  p.run (120);
  RC_ASSERT (p.n_lost[who] == 1U);
  for (uint32_t i = 0; i < Site::N; i++)
    RC_ASSERT (i == who || p.n_lost[i] == 0U);
}

/* === folds, history, guard ================================================================== */

void
check_fold ()
{
  const auto values = *rc::gen::nonEmpty (
      rc::gen::container<std::vector<std::pair<uint32_t, uint32_t> > > (rc::gen::pair (
          rc::gen::inRange<uint32_t> (0, 1000), rc::gen::inRange<uint32_t> (0, 1000))));
  const auto split = *rc::gen::inRange<size_t> (0, values.size () + 1);
  LcFold whole, left, right;
  uint32_t lowest_applied = UINT32_MAX, lowest_registered = UINT32_MAX;

  lc_fold_init (&whole);
  lc_fold_init (&left);
  lc_fold_init (&right);
  for (size_t i = 0; i < values.size (); i++)
    {
      LcFold *part = i < split ? &left : &right;

      lc_fold_add_agent (&whole, values[i].first, values[i].second, 500);
      lc_fold_add_agent (part, values[i].first, values[i].second, 500);
      lowest_applied = std::min (lowest_applied, values[i].first);
      lowest_registered = std::min (lowest_registered, values[i].second);
    }
  lc_fold_merge (&right, &left);
  RC_ASSERT (lc_fold_equal (&whole, &right));
  RC_ASSERT (lc_fold_in_force (&whole) == lowest_applied);
  RC_ASSERT (lc_fold_settled (&whole) == lowest_registered);
}

void
check_op_log ()
{
  const auto sizes = *rc::gen::container<std::vector<uint8_t> > (rc::gen::inRange<uint8_t> (1, 7));
  const auto from = *rc::gen::inRange<LcRevision> (0, 60);
  LcOpLog log;
  LcRevision revision = 0;

  lc_op_log_init (&log, 16);
  for (uint8_t n : sizes)
    {
      LcViewOp op{};

      op.revision = ++revision;
      for (uint8_t i = 0; i < n; i++)
        {
          op.dc.id = (LcDcId)(n - i); /* counts down to 1 within a revision */
          lc_op_log_append (&log, &op);
        }
    }
  if (lc_op_log_covers (&log, from))
    {
      size_t at = lc_op_log_after (&log, from);

      /* Complete: every revision after `from`, each with all of its operations. */
      for (LcRevision r = from + 1; r <= revision; r++)
        for (uint8_t i = 0; i < sizes[r - 1]; i++, at++)
          {
            RC_ASSERT (at < lc_op_log_count (&log));
            RC_ASSERT (lc_op_log_at (&log, at)->revision == r);
            RC_ASSERT (lc_op_log_at (&log, at)->dc.id == sizes[r - 1] - i);
          }
      RC_ASSERT (at == lc_op_log_count (&log));
    }
  RC_ASSERT (lc_op_log_count (&log) <= 16U);
  lc_op_log_finish (&log);
}

/* However the losses of one data centre arrive, at most half of its endpoints are removed before
 * the hold ends, and the last endpoint of a service never is. */
void
check_guard ()
{
  const auto n = *rc::gen::inRange<uint32_t> (4, 40);
  const auto order = *rc::gen::container<std::vector<uint16_t> > (rc::gen::arbitrary<uint16_t> ());
  LcLossGuardDesc desc{};
  LcLossGuard guard;
  LcView view;
  int64_t now_us = 1000000;
  int64_t began_us = now_us;
  uint32_t n_lost = 0;

  lc_loss_guard_init (&guard, &desc);
  lc_view_init (&view);
  for (uint32_t i = 0; i <= n; i++)
    {
      LcViewOp op{};

      op.revision = 1;
      op.kind = i == 0 ? LC_VIEW_SERVICE : LC_VIEW_ENDPOINT;
      if (i == 0)
        op.service.id = 1;
      else
        {
          op.endpoint.id = i;
          op.endpoint.service_id = 1;
          op.endpoint.dc = 1;
          op.endpoint.state = LC_ENDPOINT_ACTIVE;
          op.endpoint.weight_percent = 100;
          snprintf (op.endpoint.name, sizeof op.endpoint.name, "e-%u", i);
        }
      lc_view_apply (&view, &op, nullptr);
    }
  for (uint16_t random : order)
    {
      const LcEndpoint *e = lc_view_endpoint (&view, 1 + random % n);
      LcMemberChange change{};

      now_us += (random >> 4) % 1500 * 1000;
      change.kind = LC_MEMBER_ENDPOINT_LOST;
      change.endpoint = *e;
      if (e->state == LC_ENDPOINT_LOST ||
          lc_loss_guard_check (&guard, &view, &change, now_us) != LC_LOSS_GUARD_PASS)
        continue;
      LcViewOp op{};

      op.revision = view.revision + 1;
      op.kind = LC_VIEW_ENDPOINT;
      op.endpoint = *e;
      op.endpoint.state = LC_ENDPOINT_LOST;
      lc_loss_guard_record (&guard, &op, now_us);
      lc_view_apply (&view, &op, nullptr);
      n_lost++;
      RC_ASSERT (n_lost < n);
      if (now_us - began_us < 10 * LC_US_PER_S)
        RC_ASSERT (n_lost <= std::max (2U, n / 2));
    }
  lc_loss_guard_finish (&guard);
  lc_view_finish (&view);
}

} // namespace

int
main ()
{
  bool ok = true;

  ok &= rc::check ("a whole view only moves forward and reaches the newest",
                   [] { check_feed (false); });
  ok &= rc::check ("a scoped view only moves forward and reaches the newest",
                   [] { check_feed (true); });
  ok &= rc::check ("watchers bring the view to the live members", check_site);
  ok &= rc::check ("one death is one loss", check_lost_once);
  ok &= rc::check ("a merged fold is the minimum of its members", check_fold);
  ok &= rc::check ("a delta is complete or refused", check_op_log);
  ok &= rc::check ("the guard holds mass losses", check_guard);
  return ok ? 0 : 1;
}
