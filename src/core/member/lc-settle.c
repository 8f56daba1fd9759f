#include "lc-settle.h"

void
lc_settle_begin (LcSettle *settle)
{
  lc_fold_init (&settle->fold);
}

void
lc_settle_add (LcSettle *settle, const LcView *view, const char *balancer, const LcFold *fold)
{
  const LcBalancer *b = lc_view_balancer_by_name (view, balancer);

  if (b == NULL || b->state == LC_BALANCER_LOST)
    return;
  lc_fold_merge (&settle->fold, fold);
}

static uint32_t
lc_settle__count_live_balancers (const LcView *view)
{
  uint32_t n = 0;

  for (guint i = 0; i < view->balancers->len; i++)
    n += g_array_index (view->balancers, LcBalancer, i).state != LC_BALANCER_LOST ? 1 : 0;
  return n;
}

static uint32_t
lc_settle__count_live_endpoints (const LcView *view)
{
  GHashTableIter iter;
  gpointer value;
  uint32_t n = 0;

  g_hash_table_iter_init (&iter, view->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const LcService *s = value;

      for (uint32_t i = 0; i < s->n_endpoints; i++)
        n += s->endpoints[i].state != LC_ENDPOINT_LOST ? 1 : 0;
    }
  return n;
}

/* Whether settling `revision` would drop any former set. */
static bool
lc_settle__is_useful (const LcView *view, LcRevision revision)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, view->unsettled);
  while (g_hash_table_iter_next (&iter, &value, NULL))
    {
      const LcService *s = value;

      if (s->n_former > 0 && s->former[s->n_former - 1].until_revision <= revision)
        return true;
    }
  return false;
}

LcRevision
lc_settle_end (const LcSettle *settle, const LcView *view, uint32_t n_exempt)
{
  LcRevision settled = MIN (lc_fold_settled (&settle->fold), view->revision);

  if (settled <= view->settled_revision || !lc_settle__is_useful (view, settled))
    return 0;
  if (settle->fold.n_balancers < lc_settle__count_live_balancers (view) ||
      settle->fold.n_agents + n_exempt < lc_settle__count_live_endpoints (view))
    return 0;
  return settled;
}
