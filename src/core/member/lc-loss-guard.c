#include "lc-loss-guard.h"

#include <string.h>

enum
{
  LC_LOSS_GUARD_SHARE_PERCENT = 50,
  LC_LOSS_GUARD_MIN_LOSSES = 3,
  LC_LOSS_GUARD_WINDOW_MS = 10000,
  LC_LOSS_GUARD_HOLD_MS = 20000,
  LC_LOSS_GUARD_QUIET_MS = 2000, /* watchers repeat held reports every second */
};

typedef enum
{
  LC_LOSS_GUARD_GROUP_DC = 1,
  LC_LOSS_GUARD_GROUP_SERVICE = 2,
  LC_LOSS_GUARD_GROUP_BALANCERS = 3,
} LcLossGuardGroupKind;

/* The losses of a data centre, of a service, or of the balancers of a data centre. */
typedef struct
{
  GArray *lost_us;             /* times of the losses committed inside the window */
  GHashTable *held;            /* name of a reported, uncommitted loss -> time of its last report */
  int64_t hold_since_us;       /* 0: not held */
  LcRevision counted_revision; /* of the view in which n_present was counted */
  uint32_t n_present;
  bool is_released; /* the hold has ended; losses pass until none is left */
} LcLossGuardGroup;

/* Reports of the last endpoint of a service. */
typedef struct
{
  int64_t first_us;
  int64_t newest_us;
} LcLossGuardLast;

static void
lc_loss_guard__group_free (gpointer data)
{
  LcLossGuardGroup *group = data;

  g_array_free (group->lost_us, TRUE);
  g_hash_table_destroy (group->held);
  g_free (group);
}

/* === public: lifetime ======================================================================= */

static uint32_t
lc_loss_guard__or_default (uint32_t value, uint32_t fallback)
{
  return value != 0 ? value : fallback;
}

void
lc_loss_guard_init (LcLossGuard *guard, const LcLossGuardDesc *desc)
{
  memset (guard, 0, sizeof *guard);
  guard->desc.share_percent =
      lc_loss_guard__or_default (desc->share_percent, LC_LOSS_GUARD_SHARE_PERCENT);
  guard->desc.min_losses = lc_loss_guard__or_default (desc->min_losses, LC_LOSS_GUARD_MIN_LOSSES);
  guard->desc.window_ms = lc_loss_guard__or_default (desc->window_ms, LC_LOSS_GUARD_WINDOW_MS);
  guard->desc.hold_ms = lc_loss_guard__or_default (desc->hold_ms, LC_LOSS_GUARD_HOLD_MS);
  guard->last_endpoints = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  guard->groups = g_hash_table_new_full (NULL, NULL, NULL, lc_loss_guard__group_free);
}

void
lc_loss_guard_finish (LcLossGuard *guard)
{
  if (guard->groups != NULL)
    {
      g_hash_table_destroy (guard->groups);
      g_hash_table_destroy (guard->last_endpoints);
    }
  memset (guard, 0, sizeof *guard);
}

/* === private: groups ======================================================================== */

static LcLossGuardGroup *
lc_loss_guard__group (LcLossGuard *guard, LcLossGuardGroupKind kind, uint32_t id)
{
  gpointer key = (gpointer)(((uintptr_t)kind << 32) | id);
  LcLossGuardGroup *group = g_hash_table_lookup (guard->groups, key);

  if (group != NULL)
    return group;
  group = g_new0 (LcLossGuardGroup, 1);
  group->lost_us = g_array_new (FALSE, FALSE, sizeof (int64_t));
  group->held = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_hash_table_insert (guard->groups, key, group);
  return group;
}

static gboolean
lc_loss_guard__is_old (gpointer key, gpointer value, gpointer user)
{
  (void)key;
  return *(int64_t *)value < *(int64_t *)user;
}

static void
lc_loss_guard__remove_old (const LcLossGuard *guard, LcLossGuardGroup *group, int64_t now_us)
{
  int64_t window_us = now_us - (int64_t)guard->desc.window_ms * LC_US_PER_MS;
  int64_t quiet_us = now_us - LC_LOSS_GUARD_QUIET_MS * LC_US_PER_MS;
  guint n_old = 0;

  while (n_old < group->lost_us->len && g_array_index (group->lost_us, int64_t, n_old) < window_us)
    n_old++;
  if (n_old > 0)
    g_array_remove_range (group->lost_us, 0, n_old);
  g_hash_table_foreach_remove (group->held, lc_loss_guard__is_old, &quiet_us);
  if (g_hash_table_size (group->held) == 0 && group->lost_us->len == 0)
    {
      group->hold_since_us = 0;
      group->is_released = false;
    }
}

static void
lc_loss_guard__record_held (LcLossGuardGroup *group, const char *name, int64_t now_us)
{
  int64_t *at_us = g_new (int64_t, 1);

  *at_us = now_us;
  g_hash_table_replace (group->held, g_strdup (name), at_us);
}

/* Decides on a loss in a group with `n_present` members left.  Held losses count together with the
 * committed ones, so that slow mass losses don't pass one by one. */
static LcLossGuardVerdict
lc_loss_guard__check_group (LcLossGuard *guard,
                            LcLossGuardGroup *group,
                            uint32_t n_present,
                            const char *name,
                            int64_t now_us)
{
  int64_t hold_us = (int64_t)guard->desc.hold_ms * LC_US_PER_MS;
  uint32_t n_lost;

  lc_loss_guard__remove_old (guard, group, now_us);
  lc_loss_guard__record_held (group, name, now_us);
  n_lost = group->lost_us->len + g_hash_table_size (group->held);
  if (n_lost < guard->desc.min_losses ||
      (uint64_t)n_lost * 100 <=
          (uint64_t)guard->desc.share_percent * (n_present + group->lost_us->len))
    return LC_LOSS_GUARD_PASS;
  if (group->hold_since_us == 0)
    group->hold_since_us = now_us;
  if (now_us - group->hold_since_us >= hold_us)
    group->is_released = true;
  return group->is_released ? LC_LOSS_GUARD_PASS : LC_LOSS_GUARD_HOLD;
}

/* === private: counts of members ============================================================= */

static bool
lc_loss_guard__is_present (const LcEndpoint *e)
{
  return e->state == LC_ENDPOINT_JOINING || e->state == LC_ENDPOINT_ACTIVE;
}

static uint32_t
lc_loss_guard__count_service (const LcService *s)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < s->n_endpoints; i++)
    n += lc_loss_guard__is_present (&s->endpoints[i]) ? 1 : 0;
  return n;
}

/* O(endpoints), so it is called only when the data centre has min_losses, and the result is kept
 * for the revision, as held losses are reported every second. */
static uint32_t
lc_loss_guard__count_dc (LcLossGuardGroup *group, const LcView *view, LcDcId dc)
{
  GHashTableIter iter;
  gpointer value;
  uint32_t n = 0;

  if (group->counted_revision == view->revision)
    return group->n_present;
  g_hash_table_iter_init (&iter, view->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const LcService *s = value;

      for (uint32_t i = 0; i < s->n_endpoints; i++)
        n += s->endpoints[i].dc == dc && lc_loss_guard__is_present (&s->endpoints[i]) ? 1 : 0;
    }
  group->counted_revision = view->revision;
  group->n_present = n;
  return n;
}

static uint32_t
lc_loss_guard__count_balancers (const LcView *view, LcDcId dc)
{
  uint32_t n = 0;

  for (guint i = 0; i < view->balancers->len; i++)
    {
      const LcBalancer *b = &g_array_index (view->balancers, LcBalancer, i);

      n += b->dc == dc && b->state == LC_BALANCER_ACTIVE ? 1 : 0;
    }
  return n;
}

/* === private: verdicts ====================================================================== */

static void
lc_loss_guard__record_hold (LcLossGuard *guard, const char *what, const char *name, int64_t now_us)
{
  if (!lc_loss_guard_is_holding (guard, now_us))
    guard->holding_since_us = now_us;
  guard->is_holding = true;
  guard->last_held_us = now_us;
  guard->held_total++;
  (void)g_snprintf (guard->holding_what, sizeof guard->holding_what, "%s %s", what, name);
}

static void
lc_loss_guard__record_last (LcLossGuard *guard, const char *name, int64_t now_us)
{
  LcLossGuardLast *last = g_hash_table_lookup (guard->last_endpoints, name);

  if (last == NULL)
    {
      last = g_new0 (LcLossGuardLast, 1);
      last->first_us = now_us;
      last->newest_us = now_us;
      g_hash_table_insert (guard->last_endpoints, g_strdup (name), last);
    }
  if (now_us - last->newest_us > LC_LOSS_GUARD_QUIET_MS * LC_US_PER_MS)
    last->first_us = now_us;
  last->newest_us = now_us;
}

static uint32_t
lc_loss_guard__count_recent (const LcLossGuardGroup *group)
{
  return group->lost_us->len + g_hash_table_size (group->held) + 1;
}

static LcLossGuardVerdict
lc_loss_guard__check_endpoint (LcLossGuard *guard,
                               const LcView *view,
                               const LcEndpoint *e,
                               const char *dc_name,
                               int64_t now_us)
{
  const LcService *s = lc_view_service (view, e->service_id);
  LcLossGuardGroup *dc = lc_loss_guard__group (guard, LC_LOSS_GUARD_GROUP_DC, e->dc);
  LcLossGuardGroup *service =
      lc_loss_guard__group (guard, LC_LOSS_GUARD_GROUP_SERVICE, e->service_id);
  uint32_t n_service = lc_loss_guard__count_service (s);
  uint32_t n_dc = UINT32_MAX / 2;
  LcLossGuardVerdict by_dc;
  LcLossGuardVerdict by_service;

  if (n_service <= 1)
    {
      lc_loss_guard__record_hold (guard, "the last endpoint of service", s->name, now_us);
      lc_loss_guard__record_last (guard, e->name, now_us);
      return LC_LOSS_GUARD_HOLD;
    }
  if (lc_loss_guard__count_recent (dc) >= guard->desc.min_losses)
    n_dc = lc_loss_guard__count_dc (dc, view, e->dc);
  /* Both are checked, so that both holds run at the same time. */
  by_dc = lc_loss_guard__check_group (guard, dc, n_dc, e->name, now_us);
  by_service = lc_loss_guard__check_group (guard, service, n_service, e->name, now_us);
  if (by_dc == LC_LOSS_GUARD_HOLD)
    {
      lc_loss_guard__record_hold (guard, "endpoints of data centre", dc_name, now_us);
      return LC_LOSS_GUARD_HOLD;
    }
  if (by_service == LC_LOSS_GUARD_HOLD)
    {
      lc_loss_guard__record_hold (guard, "endpoints of service", s->name, now_us);
      return LC_LOSS_GUARD_HOLD;
    }
  return LC_LOSS_GUARD_PASS;
}

static LcLossGuardVerdict
lc_loss_guard__check_balancer (LcLossGuard *guard,
                               const LcView *view,
                               const LcBalancer *b,
                               int64_t now_us)
{
  LcLossGuardGroup *group = lc_loss_guard__group (guard, LC_LOSS_GUARD_GROUP_BALANCERS, b->dc);
  const LcDataCentre *dc = lc_view_dc (view, b->dc);
  uint32_t n_present = lc_loss_guard__count_balancers (view, b->dc);

  if (lc_loss_guard__check_group (guard, group, n_present, b->name, now_us) == LC_LOSS_GUARD_PASS)
    return LC_LOSS_GUARD_PASS;
  lc_loss_guard__record_hold (guard, "balancers of data centre", dc != NULL ? dc->name : "?",
                              now_us);
  return LC_LOSS_GUARD_HOLD;
}

/* === public: verdicts ======================================================================= */

LcLossGuardVerdict
lc_loss_guard_check (LcLossGuard *guard,
                     const LcView *view,
                     const LcMemberChange *change,
                     int64_t now_us)
{
  const LcEndpoint *e;
  const LcBalancer *b;

  switch (change->kind)
    {
    case LC_MEMBER_ENDPOINT_LOST:
      e = lc_view_endpoint_by_name (view, change->endpoint.name);
      if (e == NULL || !lc_loss_guard__is_present (e))
        return LC_LOSS_GUARD_PASS;
      return lc_loss_guard__check_endpoint (guard, view, e, change->data_centre, now_us);
    case LC_MEMBER_BALANCER_LOST:
      b = lc_view_balancer_by_name (view, change->balancer.name);
      if (b == NULL || b->state != LC_BALANCER_ACTIVE)
        return LC_LOSS_GUARD_PASS;
      return lc_loss_guard__check_balancer (guard, view, b, now_us);
    default:
      return LC_LOSS_GUARD_PASS;
    }
}

static void
lc_loss_guard__record_loss (LcLossGuardGroup *group, const char *name, int64_t now_us)
{
  g_hash_table_remove (group->held, name);
  g_array_append_val (group->lost_us, now_us);
}

/* Needs no view: control commits a loss only of a member that was present. */
void
lc_loss_guard_record (LcLossGuard *guard, const LcViewOp *op, int64_t now_us)
{
  const LcEndpoint *e = &op->endpoint;
  const LcBalancer *b = &op->balancer;

  if (op->kind == LC_VIEW_ENDPOINT && e->state == LC_ENDPOINT_LOST)
    {
      lc_loss_guard__record_loss (lc_loss_guard__group (guard, LC_LOSS_GUARD_GROUP_DC, e->dc),
                                  e->name, now_us);
      lc_loss_guard__record_loss (
          lc_loss_guard__group (guard, LC_LOSS_GUARD_GROUP_SERVICE, e->service_id), e->name,
          now_us);
      guard->released_total++;
    }
  if (op->kind == LC_VIEW_BALANCER && b->state == LC_BALANCER_LOST)
    lc_loss_guard__record_loss (lc_loss_guard__group (guard, LC_LOSS_GUARD_GROUP_BALANCERS, b->dc),
                                b->name, now_us);
}

uint32_t
lc_loss_guard_count_exempt (const LcLossGuard *guard, int64_t now_us)
{
  int64_t hold_us = (int64_t)guard->desc.hold_ms * LC_US_PER_MS;
  GHashTableIter iter;
  gpointer value;
  uint32_t n = 0;

  g_hash_table_iter_init (&iter, guard->last_endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const LcLossGuardLast *last = value;

      n += now_us - last->newest_us < LC_LOSS_GUARD_QUIET_MS * LC_US_PER_MS &&
                   now_us - last->first_us >= hold_us
               ? 1
               : 0;
    }
  return n;
}

bool
lc_loss_guard_is_holding (const LcLossGuard *guard, int64_t now_us)
{
  return guard->is_holding && now_us - guard->last_held_us < LC_LOSS_GUARD_QUIET_MS * LC_US_PER_MS;
}
