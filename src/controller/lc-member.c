#include "lc-member.h"

#include "lc-member-private.h"
#include "lc-member-serve.h"

#include "io/lc-clock.h"

#include <string.h>

enum
{
  LC_MEMBER_TICK_MS = 100,
  LC_MEMBER_FIRST_TICK_MS = 20,      /* while a first view is offered: a third of its wait */
  LC_MEMBER_BATCH_MS = 2,            /* batches events that come together */
  LC_MEMBER_LEAVE_TIMEOUT_MS = 5000, /* without a frame, leaving waits no longer */
};

/* === private: the tick ====================================================================== */

static void
lc_member__update_ramp (LcMember *member, int64_t now_us)
{
  if (member->desc.kind != LC_MEMBER_AGENT || member->is_ramped || member->listed_us == 0)
    return;
  if (now_us - member->listed_us < (int64_t)member->desc.ramp_ms * LC_US_PER_MS)
    return;
  member->is_ramped = true;
  lc_member__renew_all_soon (member);
}

static void
lc_member__update_acks (LcMember *member)
{
  LcFold fold;

  lc_member__make_fold (member, 0, &fold);
  if (lc_fold_equal (&fold, &member->sent_fold))
    return;
  member->sent_fold = fold;
  lc_member__renew_all_soon (member);
}

static void
lc_member__send_due_renewals (LcMember *member, int64_t now_us)
{
  for (uint32_t i = 0; i < member->n_slots; i++)
    {
      LcMemberSlot *slot = &member->slots[i];

      if (now_us >= slot->renew_at_us && slot->has_status && lc_member__link (slot) != NULL)
        lc_member__send_renew (slot, member->phase, now_us);
    }
}

static bool
lc_member__is_awaiting_view (const LcMember *member)
{
  return member->sync.view.revision == 0 && member->first_view.offered_us != 0;
}

static void
lc_member__on_tick (void *user)
{
  LcMember *member = user;
  int64_t now_us = lc_clock_now_us ();

  lc_member__check_stale (member, now_us);
  if (member->desc.kind == LC_MEMBER_BALANCER)
    lc_member__choose_balancer_upstreams (member, now_us);
  else
    {
      lc_member__list_balancers (member, now_us);
      lc_member__choose_dynamic (member, &member->upstreams, now_us);
    }
  lc_member__choose_primary (member, now_us);
  lc_member__send_due_subscriptions (member, now_us);
  lc_member__update_ramp (member, now_us);
  if (member->desc.kind == LC_MEMBER_BALANCER)
    lc_member_serve_tick (member, now_us);
  lc_member__update_acks (member);
  lc_member__send_due_renewals (member, now_us);
  lc_metric_set (member->view_age_gauge, lc_member_view_age_us (member, now_us) / LC_US_PER_MS);
  lc_timer_start (&member->tick, lc_member__is_awaiting_view (member) ? LC_MEMBER_FIRST_TICK_MS
                                                                      : LC_MEMBER_TICK_MS);
}

void
lc_member__tick_soon (LcMember *member)
{
  lc_timer_ensure_within (&member->tick, LC_MEMBER_BATCH_MS);
}

/* === public: lifetime ======================================================================= */

static void
lc_member__init_metrics (LcMember *member)
{
  LcMetrics *m = &member->desc.app->metrics;

  member->revision_gauge =
      lc_metrics_gauge (m, "lychee_view_revision", "Revision of this node's view", NULL);
  member->view_age_gauge =
      lc_metrics_gauge (m, "lychee_view_age_ms",
                        "Since control is known to have vouched for the view; -1 never", NULL);
  member->moves_total =
      lc_metrics_counter (m, "lychee_member_moves_total", "Changes of upstream", NULL);
  member->malformed_total = lc_metrics_counter (m, "lychee_member_malformed_total",
                                                "Membership messages that were dropped", NULL);
}

static int
lc_member__check (const LcMemberDesc *desc, LcError *error)
{
  if (desc->n_upstreams == 0)
    return lc_error_set (error, LC_ERR_INVALID,
                         "name at least one upstream (`balancers` or `control`) in the settings",
                         "no upstream is named");
  if (desc->kind == LC_MEMBER_BALANCER && desc->n_upstreams > LC_CONTROL_VMS_MAX)
    return lc_error_set (error, LC_ERR_INVALID, "name fewer control VMs",
                         "%u control VMs are named, at most %d can be", desc->n_upstreams,
                         LC_CONTROL_VMS_MAX);
  return 0;
}

int
lc_member_init (LcMember *member, const LcMemberDesc *desc, LcError *error)
{
  int r = lc_member__check (desc, error);

  if (r < 0)
    return r;
  memset (member, 0, sizeof *member);
  member->desc = *desc;
  member->primary = UINT32_MAX;
  member->is_unregistered = desc->starts_unregistered;
  member->upstreams_revision = -1;
  member->started_us = lc_clock_now_us ();
  member->first_view.started_us = member->started_us;
  member->first_dynamic = desc->kind == LC_MEMBER_AGENT ? 0 : LC_CONTROL_VMS_MAX;
  member->n_slots = member->first_dynamic + LC_MEMBER_DYNAMIC_SLOTS;
  for (uint32_t i = 0; i < member->n_slots; i++)
    {
      member->slots[i].member = member;
      if (i < desc->n_upstreams)
        member->slots[i].address = desc->upstreams[i];
    }
  member->n_seeds = MIN (desc->n_upstreams, LC_CONTROL_VMS_MAX);
  memcpy (member->seeds, desc->upstreams, member->n_seeds * sizeof *member->seeds);
  lc_view_sync_init (&member->sync);
  lc_upstreams_init (&member->upstreams, lc_member__name (member));
  lc_upstreams_init (&member->relays, lc_member__name (member));
  lc_member__init_metrics (member);
  lc_member__list_seeds (member);
  member->desc.upstreams = NULL; /* not valid after this call */
  if (desc->kind == LC_MEMBER_BALANCER)
    lc_member_serve_init (member);
  lc_timer_init (&member->tick, desc->app->loop, lc_member__on_tick, member);
  lc_timer_start (&member->tick, 1);
  return 0;
}

void
lc_member_finish (LcMember *member)
{
  int64_t now_us = lc_clock_now_us ();

  if (member->upstreams.list == NULL)
    return; /* never initialised */
  lc_timer_finish (&member->tick);
  for (uint32_t i = 0; i < member->n_slots; i++)
    {
      LcMemberSlot *slot = &member->slots[i];

      if (member->phase == LC_MEMBER_PHASE_LEAVING && !member->keeps_registration &&
          lc_member__link (slot) != NULL)
        lc_member__send_renew (slot, LC_MEMBER_PHASE_GONE, now_us);
      if (slot->is_open)
        lc_link_client_finish (&slot->client);
      slot->is_open = false;
    }
  if (member->desc.kind == LC_MEMBER_BALANCER)
    lc_member_serve_finish (member);
  lc_upstreams_finish (&member->upstreams);
  lc_upstreams_finish (&member->relays);
  lc_view_sync_finish (&member->sync);
}

/* === public: the view ======================================================================= */

const LcView *
lc_member_view (const LcMember *member)
{
  return &member->sync.view;
}

void
lc_member_record_revision (LcMember *member, LcRevision revision)
{
  lc_staleness_note (&member->staleness, revision);
}

const LcEndpoint *
lc_member_endpoint (const LcMember *member)
{
  return lc_view_endpoint_by_name (&member->sync.view, member->desc.endpoint.name);
}

const LcEndpoint *
lc_member_own_endpoint (const LcMember *member)
{
  const LcEndpoint *e = lc_member_endpoint (member);
  const LcService *s = e != NULL ? lc_view_service (&member->sync.view, e->service_id) : NULL;

  if (s == NULL || strcmp (s->name, member->desc.service) != 0 ||
      e->ipv4 != member->desc.endpoint.ipv4)
    return NULL;
  return e;
}

bool
lc_member_adopt_instance (LcMember *member)
{
  const LcEndpoint *e = lc_member_own_endpoint (member);

  if (!member->is_unregistered || e == NULL)
    return false;
  member->desc.endpoint.instance = e->instance;
  return true;
}

void
lc_member_announce (LcMember *member, LcInstance instance, uint8_t slots)
{
  bool is_new_instance = member->desc.endpoint.instance != instance;

  member->is_unregistered = false;
  member->desc.endpoint.instance = instance;
  if (slots != 0)
    member->desc.endpoint.slots = slots;
  if (is_new_instance)
    {
      member->phase = LC_MEMBER_PHASE_LIVE;
      member->is_ramped = false;
      member->listed_us = 0;
    }
  lc_member__send_hello_all (member);
}

void
lc_member_keep_registration (LcMember *member)
{
  member->keeps_registration = true;
}

static bool
lc_member__has_control (const LcMember *member, const LcSocketAddress *address)
{
  for (uint32_t i = 0; i < member->n_seeds; i++)
    if (member->seeds[i].ipv4 == address->ipv4 && member->seeds[i].port == address->port)
      return true;
  return false;
}

/* Index for a new control VM: behind the others, or that of one that is unreachable. */
static uint32_t
lc_member__control_index (const LcMember *member, int64_t now_us)
{
  if (member->n_seeds < LC_CONTROL_VMS_MAX)
    return member->n_seeds;
  for (uint32_t i = 0; member->desc.kind == LC_MEMBER_BALANCER && i < member->first_dynamic; i++)
    if (!lc_member__is_usable (&member->slots[i], now_us))
      return i;
  return 0;
}

static void
lc_member__add_one_control (LcMember *member, const LcSocketAddress *address, int64_t now_us)
{
  uint32_t place = lc_member__control_index (member, now_us);

  LC_INFO ("member.control-learned", "ipv4", LC_U64 (address->ipv4), "port",
           LC_U64 (address->port));
  member->seeds[place] = *address;
  member->n_seeds = MAX (member->n_seeds, place + 1);
  if (member->desc.kind == LC_MEMBER_BALANCER)
    lc_member__set_control_address (member, place, address, now_us);
  else if (member->sync.view.revision == 0)
    lc_member__list_seeds (member);
}

void
lc_member_add_control (LcMember *member, const LcSocketAddress *list, uint32_t n)
{
  int64_t now_us = lc_clock_now_us ();

  for (uint32_t i = 0; i < n; i++)
    if (list[i].ipv4 != 0 && list[i].port != 0 && !lc_member__has_control (member, &list[i]))
      lc_member__add_one_control (member, &list[i], now_us);
}

uint32_t
lc_member_list_control (const LcMember *member, LcSocketAddress *out, uint32_t max)
{
  uint32_t n = MIN (member->n_seeds, max);

  memcpy (out, member->seeds, n * sizeof *out);
  return n;
}

void
lc_member_set_registered (LcMember *member, LcRevision revision)
{
  member->registered = MAX (member->registered, revision);
}

int64_t
lc_member_view_age_us (const LcMember *member, int64_t now_us)
{
  return member->confirmed_us != 0 ? now_us - member->confirmed_us : -1;
}

bool
lc_member_is_confirmed (const LcMember *member)
{
  return member->is_confirmed;
}

/* === public: frames of the peer server ====================================================== */

void
lc_member_handle_frame (LcMember *member, LcLink *link, const LcFrame *frame)
{
  if (member->desc.kind == LC_MEMBER_BALANCER && member->server.subscribers != NULL)
    lc_member_serve_handle_frame (member, link, frame);
  else
    lc_link_close (link, "membership is not served here");
}

void
lc_member_handle_link_down (LcMember *member, LcLink *link)
{
  if (member->desc.kind == LC_MEMBER_BALANCER && member->server.subscribers != NULL)
    lc_member_serve_handle_link_down (member, link);
}

/* Transitions go to the leader of control if it is known, else to the source of the view. */
LcLink *
lc_member_select_report_link (LcMember *member, int64_t now_us)
{
  LcMemberSlot *best = NULL;

  for (uint32_t i = 0; i < member->n_slots; i++)
    {
      LcMemberSlot *slot = &member->slots[i];

      if (!lc_member__is_usable (slot, now_us) || lc_member__link (slot) == NULL)
        continue;
      if (best == NULL || slot->is_leader || (i == member->primary && !best->is_leader))
        best = slot;
    }
  return best != NULL ? lc_member__link (best) : NULL;
}

/* === public: planned stop =================================================================== */

void
lc_member_leave (LcMember *member)
{
  if (member->phase != LC_MEMBER_PHASE_LIVE)
    return;
  member->phase = LC_MEMBER_PHASE_LEAVING;
  member->leave_started_us = lc_clock_now_us ();
  lc_member__renew_all_soon (member);
}

static bool
lc_member__is_withdrawn (const LcMember *member)
{
  const LcView *view = &member->sync.view;
  const LcBalancer *b;
  const LcEndpoint *e;

  if (member->desc.kind == LC_MEMBER_AGENT)
    {
      e = lc_member_endpoint (member);
      return e == NULL || e->instance != member->desc.endpoint.instance ||
             !lc_endpoint_is_candidate (e);
    }
  b = lc_view_balancer_by_name (view, member->desc.balancer.name);
  return b == NULL || b->instance != member->desc.balancer.instance ||
         b->state != LC_BALANCER_ACTIVE;
}

/* Without an upstream the view can't confirm the leaving, so the wait is limited. */
bool
lc_member_has_left (const LcMember *member)
{
  int64_t now_us = lc_clock_now_us ();
  int64_t timeout_us = LC_MEMBER_LEAVE_TIMEOUT_MS * LC_US_PER_MS;

  if (member->phase == LC_MEMBER_PHASE_LIVE)
    return false;
  if (lc_member__is_withdrawn (member))
    return true;
  if (now_us - member->leave_started_us < timeout_us)
    return false;
  for (uint32_t i = 0; i < member->n_slots; i++)
    if (now_us - member->slots[i].last_frame_us < timeout_us)
      return false;
  return true;
}
