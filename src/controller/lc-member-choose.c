#include "lc-member-private.h"

#include "core/member/lc-relays.h"
#include "io/lc-clock.h"

enum
{
  LC_MEMBER_BEHIND_MS = 1000,       /* a source that is behind for so long is replaced */
  LC_MEMBER_AVOID_MS = 10000,       /* a silent upstream; up to twice this with jitter */
  LC_MEMBER_REBALANCE_MS = 10000,   /* moves to better upstreams are spread over this */
  LC_MEMBER_ISOLATED_MS = 15000,    /* without a frame from any upstream: use the seeds */
  LC_MEMBER_NO_VIEW_MS = 300,       /* an upstream without a view is replaced after this */
  LC_MEMBER_AVOID_NO_VIEW_MS = 500, /* and avoided this long; up to twice this with jitter */
};

/* === private: choice of upstreams =========================================================== */

/* All balancers of an old view may have been replaced, so an agent that receives nothing for long
 * tries its seeds, too. */
static bool
lc_member__is_isolated (const LcMember *member, int64_t now_us)
{
  return now_us - MAX (member->last_frame_us, member->started_us) >=
         LC_MEMBER_ISOLATED_MS * LC_US_PER_MS;
}

static void
lc_member__add_balancers (LcMember *member, LcDcId dc)
{
  const LcView *view = &member->sync.view;

  for (guint i = 0; i < view->balancers->len; i++)
    {
      const LcBalancer *b = &g_array_index (view->balancers, LcBalancer, i);

      if (b->dc == dc && b->state == LC_BALANCER_ACTIVE)
        lc_upstreams_add (&member->upstreams, b->ipv4, b->peer_port);
    }
}

static void
lc_member__add_seeds (LcMember *member)
{
  for (uint32_t i = 0; i < member->n_seeds; i++)
    lc_upstreams_add (&member->upstreams, member->seeds[i].ipv4, member->seeds[i].port);
}

void
lc_member__list_seeds (LcMember *member)
{
  lc_upstreams_begin (&member->upstreams);
  lc_member__add_seeds (member);
  lc_upstreams_end (&member->upstreams);
}

/* Agents: the active balancers of their own data centre; before there is a view, the seeds. */
void
lc_member__list_balancers (LcMember *member, int64_t now_us)
{
  const LcView *view = &member->sync.view;
  const LcDataCentre *dc = lc_view_dc_by_name (view, member->desc.data_centre);
  bool is_isolated = lc_member__is_isolated (member, now_us);

  if (dc == NULL || (member->upstreams_revision == (int64_t)view->revision &&
                     member->was_isolated == is_isolated))
    return;
  member->upstreams_revision = (int64_t)view->revision;
  member->was_isolated = is_isolated;
  lc_upstreams_begin (&member->upstreams);
  lc_member__add_balancers (member, dc->id);
  if (is_isolated)
    lc_member__add_seeds (member);
  lc_upstreams_end (&member->upstreams);
}

static void
lc_member__open (LcMemberSlot *slot, uint32_t ipv4, uint16_t port, int64_t now_us)
{
  LcMember *member = slot->member;
  LcLinkClientDesc desc = { .loop = member->desc.app->loop,
                            .ipv4 = ipv4,
                            .port = port,
                            .backoff_max_ms = member->desc.reconnect_max_ms,
                            .connect_timeout_ms = member->desc.connect_timeout_ms,
                            .handler = { slot, lc_member__on_upstream_frame,
                                         lc_member__on_upstream_up, lc_member__on_upstream_down } };

  desc.source_ipv4 = member->desc.kind == LC_MEMBER_AGENT ? member->desc.endpoint.ipv4
                                                          : member->desc.balancer.ipv4;
  slot->address = (LcSocketAddress){ .ipv4 = ipv4, .port = port };
  slot->opened_us = now_us;
  slot->last_frame_us = 0;
  slot->move_at_us = 0;
  if (slot->is_open)
    lc_link_client_retarget (&slot->client, ipv4, port);
  else
    lc_link_client_init (&slot->client, &desc);
  slot->is_open = true;
}

static bool
lc_member__is_silent (const LcMemberSlot *slot, int64_t now_us)
{
  int64_t last_us = MAX (slot->last_frame_us, slot->opened_us);

  return slot->is_open && now_us - last_us > lc_member__silence_limit_us (slot->member);
}

/* It answers but has no view, nor has this member.  When everything starts at once, no upstream
 * has one at first, so there is a grace period, except for a control VM on standby. */
static bool
lc_member__lacks_view (const LcMemberSlot *slot, int64_t now_us)
{
  return slot->is_open && slot->has_status && slot->revision == 0 &&
         slot->member->sync.view.revision == 0 &&
         (slot->is_standby || now_us - slot->opened_us >= LC_MEMBER_NO_VIEW_MS * LC_US_PER_MS);
}

/* It is up but lacks revisions that others have had for long: its own upstream may be cut off.  A
 * new one has a grace period to report its revision. */
static bool
lc_member__is_lagging (const LcMemberSlot *slot, int64_t now_us)
{
  return slot->is_open && slot->has_status && slot->member->sync.view.revision > 0 &&
         now_us - slot->opened_us >= LC_MEMBER_BEHIND_MS * LC_US_PER_MS &&
         lc_staleness_lacks (&slot->member->staleness, slot->revision);
}

static bool
lc_member__should_replace (const LcMemberSlot *slot, int64_t now_us)
{
  return lc_member__is_silent (slot, now_us) || lc_member__lacks_view (slot, now_us) ||
         lc_member__is_lagging (slot, now_us);
}

static LcMemberSlot *
lc_member__find_slot (LcMember *member, uint32_t ipv4, uint16_t port)
{
  for (uint32_t i = member->first_dynamic; i < member->n_slots; i++)
    if (member->slots[i].is_open && member->slots[i].address.ipv4 == ipv4 &&
        member->slots[i].address.port == port)
      return &member->slots[i];
  return NULL;
}

static void
lc_member__avoid_failed (LcMember *member, LcUpstreams *from, int64_t now_us)
{
  for (uint32_t i = member->first_dynamic; i < member->n_slots; i++)
    {
      LcMemberSlot *slot = &member->slots[i];
      bool is_silent = lc_member__is_silent (slot, now_us);
      int64_t avoid_us =
          (is_silent ? LC_MEMBER_AVOID_MS : LC_MEMBER_AVOID_NO_VIEW_MS) * LC_US_PER_MS;

      if (!lc_member__should_replace (slot, now_us))
        continue;
      lc_upstreams_avoid (from, slot->address.ipv4, slot->address.port,
                          now_us + avoid_us + lc_member__jitter_us (avoid_us));
    }
}

static bool
lc_member__is_wanted (const LcMemberSlot *slot, const LcUpstream *best, uint32_t n_best)
{
  for (uint32_t i = 0; i < n_best; i++)
    if (best[i].ipv4 == slot->address.ipv4 && best[i].port == slot->address.port)
      return true;
  return false;
}

/* A slot that may take another upstream: an unused or failed one at once; one that works but is no
 * longer among the best after a random delay, so that agents don't all move together. */
static LcMemberSlot *
lc_member__find_replaceable_slot (LcMember *member,
                                  const LcUpstreams *from,
                                  const LcUpstream *best,
                                  uint32_t n_best,
                                  int64_t now_us)
{
  for (uint32_t i = member->first_dynamic; i < member->n_slots; i++)
    {
      LcMemberSlot *slot = &member->slots[i];

      if (!slot->is_open ||
          (lc_member__should_replace (slot, now_us) && !lc_member__is_wanted (slot, best, n_best)))
        return slot;
      if (lc_member__is_wanted (slot, best, n_best))
        {
          slot->move_at_us = 0;
          continue;
        }
      if (lc_upstreams_rank (from, slot->address.ipv4, slot->address.port) == UINT32_MAX)
        return slot; /* a seed, or no longer in the view */
      if (slot->move_at_us == 0)
        slot->move_at_us = now_us + lc_member__jitter_us (LC_MEMBER_REBALANCE_MS * LC_US_PER_MS);
      else if (now_us >= slot->move_at_us)
        return slot;
    }
  return NULL;
}

static void
lc_member__move (LcMember *member, LcMemberSlot *slot, const LcUpstream *to, int64_t now_us)
{
  if (lc_member__link (slot) != NULL && !lc_member__is_silent (slot, now_us))
    lc_member__send_renew (slot, LC_MEMBER_PHASE_MOVED, now_us);
  if (slot->is_open)
    lc_metric_add (member->moves_total, 1);
  lc_member__open (slot, to->ipv4, to->port, now_us);
}

void
lc_member__choose_dynamic (LcMember *member, LcUpstreams *from, int64_t now_us)
{
  LcUpstream best[LC_MEMBER_DYNAMIC_SLOTS];
  uint32_t n_best;

  lc_member__avoid_failed (member, from, now_us);
  n_best = lc_upstreams_best (from, now_us, best, LC_MEMBER_DYNAMIC_SLOTS);
  for (uint32_t i = 0; i < n_best; i++)
    {
      LcMemberSlot *slot;

      if (lc_member__find_slot (member, best[i].ipv4, best[i].port) != NULL)
        continue;
      slot = lc_member__find_replaceable_slot (member, from, best, n_best, now_us);
      if (slot != NULL)
        lc_member__move (member, slot, &best[i], now_us);
    }
}

static void
lc_member__close (LcMemberSlot *slot, int64_t now_us)
{
  if (!slot->is_open)
    return;
  if (lc_member__link (slot) != NULL)
    lc_member__send_renew (slot, LC_MEMBER_PHASE_MOVED, now_us);
  slot->is_open = false;
  slot->has_status = false;
  lc_link_client_finish (&slot->client);
}

/* Connects to every control VM; one of them becomes the source of the view. */
static void
lc_member__open_control (LcMember *member, int64_t now_us)
{
  for (uint32_t i = 0; i < member->first_dynamic; i++)
    if (!member->slots[i].is_open && member->slots[i].address.ipv4 != 0)
      lc_member__open (&member->slots[i], member->slots[i].address.ipv4,
                       member->slots[i].address.port, now_us);
}

void
lc_member__set_control_address (LcMember *member,
                                uint32_t slot_index,
                                const LcSocketAddress *address,
                                int64_t now_us)
{
  LcMemberSlot *slot = &member->slots[slot_index];

  lc_member__close (slot, now_us);
  slot->address = *address;
  lc_member__tick_soon (member);
}

static void
lc_member__list_relays (LcMember *member)
{
  const LcView *view = &member->sync.view;
  const LcBalancer *me = lc_view_balancer_by_name (view, member->desc.balancer.name);
  const LcBalancer *relays[LC_RELAYS_MAX];
  uint32_t n;

  if (member->upstreams_revision == (int64_t)view->revision)
    return;
  member->upstreams_revision = (int64_t)view->revision;
  member->has_relays =
      me != NULL && me->state == LC_BALANCER_ACTIVE && !lc_relays_is_direct (view, me);
  if (!member->has_relays)
    return;
  n = lc_relays_list (view, me->dc, relays);
  lc_upstreams_begin (&member->relays);
  for (uint32_t i = 0; i < n; i++)
    lc_upstreams_add (&member->relays, relays[i]->ipv4, relays[i]->peer_port);
  lc_upstreams_end (&member->relays);
}

/* A relay that answers but is itself cut off from control serves an outdated view. */
static bool
lc_member__is_relay_current (const LcMemberSlot *slot, int64_t now_us)
{
  return now_us - slot->confirmed_us <= lc_member__relay_stale_us (slot->member);
}

static bool
lc_member__has_working_relay (const LcMember *member, int64_t now_us)
{
  for (uint32_t i = member->first_dynamic; i < member->n_slots; i++)
    if (lc_member__is_usable (&member->slots[i], now_us) &&
        lc_member__is_relay_current (&member->slots[i], now_us))
      return true;
  return false;
}

/* Relays while one of them works and control has confirmed its view; control otherwise. */
void
lc_member__choose_balancer_upstreams (LcMember *member, int64_t now_us)
{
  lc_member__list_relays (member);
  if (member->has_relays)
    lc_member__choose_dynamic (member, &member->relays, now_us);
  else
    for (uint32_t i = member->first_dynamic; i < member->n_slots; i++)
      lc_member__close (&member->slots[i], now_us);
  if (!member->has_relays || !lc_member__has_working_relay (member, now_us))
    {
      lc_member__open_control (member, now_us);
      return;
    }
  for (uint32_t i = 0; i < member->first_dynamic; i++)
    lc_member__close (&member->slots[i], now_us);
}

/* === private: choice of the source of the view ============================================== */

bool
lc_member__is_usable (const LcMemberSlot *slot, int64_t now_us)
{
  return slot->is_open && slot->has_status && !lc_member__is_silent (slot, now_us);
}

/* The usable upstream with the newest view; the first by rendezvous rank among equals. */
static LcMemberSlot *
lc_member__find_newest_slot (LcMember *member, int64_t now_us)
{
  LcMemberSlot *best = NULL;

  for (uint32_t i = 0; i < member->n_slots; i++)
    {
      LcMemberSlot *slot = &member->slots[i];
      uint32_t rank =
          lc_upstreams_rank (&member->upstreams, slot->address.ipv4, slot->address.port);

      if (!lc_member__is_usable (slot, now_us))
        continue;
      if (best == NULL || slot->revision > best->revision ||
          (slot->revision == best->revision &&
           rank < lc_upstreams_rank (&member->upstreams, best->address.ipv4, best->address.port)))
        best = slot;
    }
  return best;
}

/* At start, waits a little for the other upstreams, so as to begin with the newest view. */
static bool
lc_member__may_start (const LcMember *member, int64_t now_us)
{
  uint32_t n_unanswered = 0;

  if (member->sync.view.revision > 0 || member->is_started)
    return true;
  for (uint32_t i = 0; i < member->n_slots; i++)
    n_unanswered += member->slots[i].is_open && !member->slots[i].has_status;
  return lc_first_view_may_accept (&member->first_view, n_unanswered, now_us);
}

/* Whether the primary has been behind another upstream for too long.  A primary without a view is
 * replaced at once by a member that has none either: until there is a view, nothing is served. */
static bool
lc_member__is_behind (LcMember *member,
                      const LcMemberSlot *primary,
                      const LcMemberSlot *newest,
                      int64_t now_us)
{
  if (newest == primary || newest->revision <= member->sync.view.revision)
    {
      member->behind_us = 0;
      return false;
    }
  if (member->sync.view.revision == 0 && primary->revision == 0)
    return true;
  if (member->behind_us == 0)
    member->behind_us = now_us;
  return now_us - member->behind_us >= LC_MEMBER_BEHIND_MS * LC_US_PER_MS;
}

void
lc_member__check_stale (LcMember *member, int64_t now_us)
{
  LcRevision revision = member->sync.view.revision;
  int64_t stale_us = lc_staleness_us (&member->staleness, now_us);

  switch (lc_staleness_check (&member->staleness, revision, now_us))
    {
    case LC_STALENESS_BEGINS:
      LC_WARN ("view.stale", "revision", LC_U64 (revision), "newest",
               LC_U64 (member->staleness.newest), "stale_ms", LC_I64 (stale_us / LC_US_PER_MS));
      break;
    case LC_STALENESS_ENDS:
      LC_INFO ("view.fresh", "revision", LC_U64 (revision), "stale_ms",
               LC_I64 (stale_us / LC_US_PER_MS));
      break;
    case LC_STALENESS_SAME:
      break;
    }
}

void
lc_member__choose_primary (LcMember *member, int64_t now_us)
{
  LcMemberSlot *newest = lc_member__find_newest_slot (member, now_us);
  LcMemberSlot *primary =
      member->primary < member->n_slots ? &member->slots[member->primary] : NULL;

  if (newest == NULL || !lc_member__may_start (member, now_us))
    return;
  if (primary != NULL && lc_member__is_usable (primary, now_us) &&
      !lc_member__is_behind (member, primary, newest, now_us))
    return;
  member->is_started = true;
  member->behind_us = 0;
  if (primary != NULL && primary != newest)
    {
      primary->is_subscribed = false;
      (void)lc_view_sync_source_down (&member->sync, member->primary);
      lc_metric_add (member->moves_total, 1);
    }
  member->primary = lc_member__index (newest);
}

/* A balancer subscribes to one upstream; an agent, whose part of the view is small, to both, so
 * that the failure of one causes no delay. */
void
lc_member__send_due_subscriptions (LcMember *member, int64_t now_us)
{
  for (uint32_t i = 0; i < member->n_slots; i++)
    {
      LcMemberSlot *slot = &member->slots[i];
      bool is_source = i == member->primary ||
                       (member->desc.kind == LC_MEMBER_AGENT && member->sync.view.revision > 0);

      if (is_source && !slot->is_subscribed && slot->has_status && now_us >= slot->subscribe_at_us)
        lc_member__subscribe (slot, now_us);
    }
}
