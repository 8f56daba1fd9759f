#include "lc-distributor-private.h"

#include "core/member/lc-settle.h"

enum
{
  LC_DISTRIBUTOR_SETTLE_MS = 200,
  LC_DISTRIBUTOR_SWEEP_MS = 1000,
};

/* Longer than any flow or claim is kept, and than usual outages. */
#define LC_DISTRIBUTOR_LOST_EXPIRY_US (600 * LC_US_PER_S)

/* === private: data centres without balancers ================================================ */

static bool
lc_distributor__has_live_balancer (const LcView *view, LcDcId dc, bool *has_any)
{
  *has_any = false;
  for (guint i = 0; i < view->balancers->len; i++)
    {
      const LcBalancer *b = &g_array_index (view->balancers, LcBalancer, i);

      if (b->dc != dc)
        continue;
      *has_any = true;
      if (b->state != LC_BALANCER_LOST)
        return true;
    }
  return false;
}

static void
lc_distributor__mark_endpoints_lost (LcDistributor *d, const LcDataCentre *dc, int64_t now_us)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, d->desc.view->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const LcService *s = value;

      for (uint32_t i = 0; i < s->n_endpoints; i++)
        {
          const LcEndpoint *e = &s->endpoints[i];
          LcMemberChange change = { .kind = LC_MEMBER_ENDPOINT_LOST };

          if (e->dc != dc->id || e->state == LC_ENDPOINT_LOST)
            continue;
          change.endpoint = *e;
          (void)g_strlcpy (change.service, s->name, sizeof change.service);
          (void)g_strlcpy (change.data_centre, dc->name, sizeof change.data_centre);
          lc_distributor__propose_reported (d, &change, now_us);
        }
    }
}

/* === private: endpoints that stay lost ====================================================== */

/* When this leader first saw the endpoint lost. */
static int64_t
lc_distributor__lost_since (LcDistributor *d, const LcEndpoint *e, int64_t now_us)
{
  int64_t *since_us = g_hash_table_lookup (d->lost_since, GUINT_TO_POINTER (e->id));

  if (since_us != NULL)
    return *since_us;
  since_us = g_new (int64_t, 1);
  *since_us = now_us;
  g_hash_table_insert (d->lost_since, GUINT_TO_POINTER (e->id), since_us);
  return now_us;
}

static gboolean
lc_distributor__is_no_longer_lost (gpointer key, gpointer value, gpointer user)
{
  const LcEndpoint *e = lc_view_endpoint (user, GPOINTER_TO_UINT (key));

  (void)value;
  return e == NULL || e->state != LC_ENDPOINT_LOST;
}

/* A lost endpoint may return with its flows, so it stays in the view for this time. */
static void
lc_distributor__expire_lost (LcDistributor *d, const LcService *s, int64_t now_us)
{
  for (uint32_t i = 0; i < s->n_endpoints; i++)
    {
      const LcEndpoint *e = &s->endpoints[i];
      LcMemberChange change = { .kind = LC_MEMBER_ENDPOINT_GONE };

      if (e->state != LC_ENDPOINT_LOST ||
          now_us - lc_distributor__lost_since (d, e, now_us) < LC_DISTRIBUTOR_LOST_EXPIRY_US)
        continue;
      change.endpoint = *e;
      (void)g_strlcpy (change.service, s->name, sizeof change.service);
      lc_distributor__propose (d, &change, now_us);
    }
}

static void
lc_distributor__sweep_lost (LcDistributor *d, int64_t now_us)
{
  GHashTableIter iter;
  gpointer value;

  (void)g_hash_table_foreach_remove (d->lost_since, lc_distributor__is_no_longer_lost,
                                     (gpointer)d->desc.view);
  g_hash_table_iter_init (&iter, d->desc.view->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    lc_distributor__expire_lost (d, value, now_us);
}

/* === private: former settings =============================================================== */

/* Drops the former services and idle timeouts that apply to no flow any more. */
static void
lc_distributor__expire_former (LcDistributor *d, int64_t now_us)
{
  LcMemberChange change = { .kind = LC_MEMBER_SETTLED };
  int64_t max_flow_us = (int64_t)d->desc.max_flow_s * LC_US_PER_S;

  change.expired_revision =
      lc_former_expiry_check (&d->former_expiry, d->desc.view, max_flow_us, now_us);
  if (change.expired_revision > 0)
    lc_distributor__propose (d, &change, now_us);
}

/* === private: sweep ========================================================================= */

/* Where all balancers are lost, none is left to report the endpoints.  The guard first held the
 * loss of the balancers, and holds that of the endpoints in turn. */
void
lc_distributor__sweep (LcDistributor *d, int64_t now_us)
{
  const LcView *view = d->desc.view;

  if (now_us - d->swept_us < LC_DISTRIBUTOR_SWEEP_MS * LC_US_PER_MS)
    return;
  d->swept_us = now_us;
  lc_distributor__expire_former (d, now_us);
  lc_distributor__sweep_lost (d, now_us);
  for (guint i = 0; i < view->dcs->len; i++)
    {
      const LcDataCentre *dc = &g_array_index (view->dcs, LcDataCentre, i);
      bool has_any;

      if (!lc_distributor__has_live_balancer (view, dc->id, &has_any) && has_any)
        lc_distributor__mark_endpoints_lost (d, dc, now_us);
    }
}

/* === private: settling ====================================================================== */

void
lc_distributor__settle (LcDistributor *d, int64_t now_us)
{
  LcMemberChange change = { .kind = LC_MEMBER_SETTLED };
  GHashTableIter iter;
  gpointer value;
  LcSettle settle;

  if (now_us - d->settled_us < LC_DISTRIBUTOR_SETTLE_MS * LC_US_PER_MS ||
      g_hash_table_size (d->desc.view->unsettled) == 0)
    return;
  d->settled_us = now_us;
  lc_settle_begin (&settle);
  g_hash_table_iter_init (&iter, d->watch.leases.by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const LcLease *lease = value;

      if (!lease->is_seeded)
        lc_settle_add (&settle, d->desc.view, lease->member.balancer.name, &lease->fold);
    }
  change.settled_revision =
      lc_settle_end (&settle, d->desc.view, lc_loss_guard_count_exempt (&d->guard, now_us));
  if (change.settled_revision > 0)
    lc_distributor__propose (d, &change, now_us);
}
