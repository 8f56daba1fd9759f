#include "lc-watch.h"

#include <string.h>

enum
{
  LC_WATCH_LEASE_MS = 3000,
  LC_WATCH_SUSPECT_MS = 400,
  LC_WATCH_RESEND_MS = 1000,
};

/* === public: lifetime ======================================================================= */

static uint32_t
lc_watch__or_default (uint32_t value, uint32_t fallback)
{
  return value != 0 ? value : fallback;
}

void
lc_watch_init (LcWatch *watch, const LcWatchDesc *desc)
{
  memset (watch, 0, sizeof *watch);
  watch->desc = *desc;
  watch->desc.lease_ms = lc_watch__or_default (desc->lease_ms, LC_WATCH_LEASE_MS);
  watch->desc.resend_ms = lc_watch__or_default (desc->resend_ms, LC_WATCH_RESEND_MS);
  watch->desc.suspect_ms = lc_watch__or_default (desc->suspect_ms, LC_WATCH_SUSPECT_MS);
  if (desc->suspect_ms == UINT32_MAX)
    watch->desc.suspect_ms = 0;
  lc_lease_table_init (&watch->leases, (int64_t)watch->desc.lease_ms * LC_US_PER_MS);
  lc_flap_init (&watch->flap, &desc->flap);
  watch->suspects = g_ptr_array_new ();
  watch->finished = g_ptr_array_new ();
}

void
lc_watch_finish (LcWatch *watch)
{
  if (watch->suspects != NULL)
    g_ptr_array_free (watch->suspects, TRUE);
  if (watch->finished != NULL)
    g_ptr_array_free (watch->finished, TRUE);
  lc_flap_finish (&watch->flap);
  lc_lease_table_finish (&watch->leases);
  memset (watch, 0, sizeof *watch);
}

/* === private: transitions that the view lacks =============================================== */

static bool
lc_watch__is_leaving (const LcLease *lease)
{
  return lease->phase == LC_MEMBER_PHASE_LEAVING || lease->phase == LC_MEMBER_PHASE_GONE;
}

static bool
lc_watch__is_over (const LcLease *lease)
{
  return lease->state == LC_LEASE_LOST || lease->phase == LC_MEMBER_PHASE_GONE;
}

static bool
lc_watch__endpoint_differs (const LcEndpoint *a, const LcEndpoint *b)
{
  return a->instance != b->instance || a->ipv4 != b->ipv4 || a->peer_port != b->peer_port ||
         a->flow_port != b->flow_port || a->slots != b->slots ||
         a->weight_percent != b->weight_percent || a->connection_limit != b->connection_limit;
}

static LcMemberChangeKind
lc_watch__missing_endpoint (const LcLease *lease, const LcView *view)
{
  const LcEndpoint *own = &lease->member.endpoint;
  const LcEndpoint *in_view = lc_view_endpoint_by_name (view, own->name);
  bool is_same_instance = in_view != NULL && in_view->instance == own->instance;
  bool is_present = is_same_instance &&
                    (in_view->state == LC_ENDPOINT_JOINING || in_view->state == LC_ENDPOINT_ACTIVE);

  /* Only the member itself can report that it is gone: a leaving one may still have flows and renew
   * its lease with other watchers after it has expired here. */
  if (lease->phase == LC_MEMBER_PHASE_GONE)
    return is_same_instance ? LC_MEMBER_ENDPOINT_GONE : 0;
  if (lc_watch__is_over (lease))
    return is_same_instance && in_view->state != LC_ENDPOINT_LOST ? LC_MEMBER_ENDPOINT_LOST : 0;
  if (lease->is_seeded || lease->state != LC_LEASE_HELD)
    return 0;
  if (lc_watch__is_leaving (lease) && in_view != NULL &&
      (!is_same_instance || in_view->state != LC_ENDPOINT_LOST))
    return is_present ? LC_MEMBER_ENDPOINT_LEAVING : 0;
  if (!is_same_instance || in_view->state == LC_ENDPOINT_LOST ||
      lc_watch__endpoint_differs (own, in_view))
    return LC_MEMBER_ENDPOINT_ANNOUNCED;
  return in_view->state == LC_ENDPOINT_JOINING && lease->is_ramped ? LC_MEMBER_ENDPOINT_RAMPED : 0;
}

static LcMemberChangeKind
lc_watch__missing_balancer (const LcLease *lease, const LcView *view)
{
  const LcBalancer *own = &lease->member.balancer;
  const LcBalancer *in_view = lc_view_balancer_by_name (view, own->name);
  bool is_same_instance = in_view != NULL && in_view->instance == own->instance;

  if (lc_watch__is_over (lease))
    {
      if (!is_same_instance || in_view->state == LC_BALANCER_LOST)
        return 0;
      return lc_watch__is_leaving (lease) || in_view->state == LC_BALANCER_LEAVING
                 ? LC_MEMBER_BALANCER_GONE
                 : LC_MEMBER_BALANCER_LOST;
    }
  if (lease->is_seeded || lease->state != LC_LEASE_HELD)
    return 0;
  if (lc_watch__is_leaving (lease))
    return is_same_instance && in_view->state == LC_BALANCER_ACTIVE ? LC_MEMBER_BALANCER_LEAVING
                                                                    : 0;
  if (!is_same_instance || in_view->state == LC_BALANCER_LOST || in_view->ipv4 != own->ipv4 ||
      in_view->peer_port != own->peer_port || in_view->flow_port != own->flow_port)
    return LC_MEMBER_BALANCER_ANNOUNCED;
  return 0;
}

LcMemberChangeKind
lc_watch_missing (const LcLease *lease, const LcView *view)
{
  return lc_member_change_is_balancer (&lease->member) ? lc_watch__missing_balancer (lease, view)
                                                       : lc_watch__missing_endpoint (lease, view);
}

/* === public: announcements and renewals ===================================================== */

static void
lc_watch__drop (LcWatch *watch, LcLease *lease)
{
  (void)g_ptr_array_remove_fast (watch->suspects, lease);
  lc_lease_remove (&watch->leases, lease);
}

/* Counts an announcement after a loss, or of a new instance without a planned stop, as a return. */
static void
lc_watch__note_return (LcWatch *watch,
                       const LcLease *known,
                       const LcMemberChange *announced,
                       int64_t now_us)
{
  bool is_other =
      lc_member_change_instance (&known->member) != lc_member_change_instance (announced);

  if (known->state == LC_LEASE_LOST || (is_other && !lc_watch__is_leaving (known)))
    lc_flap_record_return (&watch->flap, lc_member_change_name (announced), now_us);
}

void
lc_watch_announce (LcWatch *watch, const LcMemberChange *announced, int64_t now_us)
{
  LcLease *known = lc_lease_find (&watch->leases, lc_member_change_name (announced));

  watch->is_dirty = true;
  if (known != NULL)
    {
      lc_watch__note_return (watch, known, announced, now_us);
      (void)g_ptr_array_remove_fast (watch->suspects, known);
    }
  (void)lc_lease_put (&watch->leases, announced, now_us);
}

bool
lc_watch_renew (LcWatch *watch,
                const char *name,
                LcInstance instance,
                LcMemberPhase phase,
                bool is_ramped,
                const LcFold *fold,
                int64_t now_us)
{
  LcLease *lease = lc_lease_find (&watch->leases, name);

  if (lease == NULL || lease->is_seeded || lease->state == LC_LEASE_LOST ||
      lc_member_change_instance (&lease->member) != instance)
    return false;
  if (phase == LC_MEMBER_PHASE_MOVED)
    {
      lc_watch__drop (watch, lease);
      return true;
    }
  if (lease->state == LC_LEASE_SUSPECT)
    (void)g_ptr_array_remove_fast (watch->suspects, lease);
  watch->is_dirty = watch->is_dirty || lease->phase != phase || lease->is_ramped != is_ramped;
  lease->phase = (uint8_t)MAX (lease->phase, phase);
  lease->is_ramped = lease->is_ramped || is_ramped;
  lease->fold = *fold;
  lc_lease_renew (&watch->leases, lease, now_us);
  return true;
}

void
lc_watch_seed (LcWatch *watch, const LcMemberChange *announced, int64_t now_us)
{
  LcLease *lease = lc_lease_find (&watch->leases, lc_member_change_name (announced));

  if (lease != NULL)
    return;
  lease = lc_lease_put (&watch->leases, announced, now_us);
  if (lease != NULL)
    lease->is_seeded = true;
}

bool
lc_watch_holds (const LcWatch *watch, const char *name, LcInstance instance)
{
  const LcLease *lease = lc_lease_find (&watch->leases, name);

  return lease != NULL && lease->state == LC_LEASE_HELD && !lease->is_seeded &&
         lc_member_change_instance (&lease->member) == instance;
}

/* === public: expiry ========================================================================= */

static void
lc_watch__expire_suspects (LcWatch *watch, int64_t now_us)
{
  for (guint i = 0; i < watch->suspects->len; i++)
    {
      LcLease *lease = g_ptr_array_index (watch->suspects, i);

      if (lease->state != LC_LEASE_SUSPECT || lease->suspect_until_us > now_us)
        continue;
      lease->state = LC_LEASE_LOST;
      watch->lost_total++;
      watch->is_dirty = true;
    }
}

size_t
lc_watch_expire (LcWatch *watch, int64_t now_us, LcLease **out, size_t max)
{
  size_t n = 0;
  LcLease *lease;

  while (n < max && (lease = lc_lease_next_expired (&watch->leases, now_us)) != NULL)
    {
      lease->state = LC_LEASE_SUSPECT;
      lease->suspect_until_us = now_us + (int64_t)watch->desc.suspect_ms * LC_US_PER_MS;
      g_ptr_array_add (watch->suspects, lease);
      out[n++] = lease;
    }
  lc_watch__expire_suspects (watch, now_us);
  return n;
}

void
lc_watch_confirm_elsewhere (LcWatch *watch, const char *name, LcInstance instance)
{
  LcLease *lease = lc_lease_find (&watch->leases, name);

  if (lease == NULL || lease->state == LC_LEASE_HELD ||
      lc_member_change_instance (&lease->member) != instance)
    return;
  lc_watch__drop (watch, lease);
}

/* === public: reports ======================================================================== */

static bool
lc_watch__is_due (const LcWatch *watch,
                  const LcLease *lease,
                  LcMemberChangeKind kind,
                  int64_t now_us)
{
  return lease->reported != kind ||
         now_us - lease->reported_us >= (int64_t)watch->desc.resend_ms * LC_US_PER_MS;
}

static void
lc_watch__report (LcWatch *watch,
                  LcLease *lease,
                  LcMemberChangeKind kind,
                  int64_t now_us,
                  LcWatchReport report,
                  void *user)
{
  LcMemberChange change = lease->member;

  lease->n_reports = lease->reported == kind ? lease->n_reports + 1 : 1;
  lease->reported = kind;
  lease->reported_us = now_us;
  change.kind = kind;
  watch->reports_total++;
  report (user, &change);
}

static bool
lc_watch__is_damped (LcWatch *watch, const LcLease *lease, LcMemberChangeKind kind, int64_t now_us)
{
  if (kind != LC_MEMBER_ENDPOINT_ANNOUNCED && kind != LC_MEMBER_BALANCER_ANNOUNCED)
    return false;
  return lc_flap_is_suppressed (&watch->flap, lc_member_change_name (&lease->member), now_us);
}

/* Reports the transition of one lease if due; false when the lease can be dropped. */
static bool
lc_watch__collect_one (LcWatch *watch,
                       LcLease *lease,
                       const LcView *view,
                       int64_t now_us,
                       LcWatchReport report,
                       void *user)
{
  LcMemberChangeKind kind = lc_watch_missing (lease, view);

  if (kind == 0)
    {
      lease->reported = 0;
      return !lc_watch__is_over (lease);
    }
  watch->is_dirty = true; /* until the view shows it */
  if (!lc_watch__is_damped (watch, lease, kind, now_us) &&
      lc_watch__is_due (watch, lease, kind, now_us))
    lc_watch__report (watch, lease, kind, now_us, report, user);
  return true;
}

void
lc_watch_collect (
    LcWatch *watch, const LcView *view, int64_t now_us, LcWatchReport report, void *user)
{
  GHashTableIter iter;
  gpointer value;

  if (!watch->is_dirty && watch->collected_revision == view->revision)
    return;
  watch->is_dirty = false;
  watch->collected_revision = view->revision;
  watch->collected_us = now_us;
  g_hash_table_iter_init (&iter, watch->leases.by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (!lc_watch__collect_one (watch, value, view, now_us, report, user))
      g_ptr_array_add (watch->finished, value);
  for (guint i = 0; i < watch->finished->len; i++)
    lc_watch__drop (watch, g_ptr_array_index (watch->finished, i));
  g_ptr_array_set_size (watch->finished, 0);
}

void
lc_watch_resend_all (LcWatch *watch)
{
  GHashTableIter iter;
  gpointer value;

  watch->is_dirty = true;
  g_hash_table_iter_init (&iter, watch->leases.by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((LcLease *)value)->reported = 0;
}

/* A member can't detect that it is behind, as it lacks the newest revision; its watcher has it. */
static void
lc_watch__fold_one (const LcLease *lease, LcRevision newest, LcFold *fold)
{
  LcFold own = lease->fold;

  if (own.n_behind == 0 && own.n_agents + own.n_balancers > 0 && lc_fold_in_force (&own) < newest)
    own.n_behind = 1;
  lc_fold_merge (fold, &own);
}

void
lc_watch_fold (const LcWatch *watch, LcRevision newest, LcFold *fold)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, watch->leases.by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const LcLease *lease = value;

      if (lease->state != LC_LEASE_LOST && !lease->is_seeded)
        lc_watch__fold_one (lease, newest, fold);
    }
}
