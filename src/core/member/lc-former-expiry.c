#include "lc-former-expiry.h"

static bool
lc_former_expiry__has_idle_timeouts (const LcView *view, LcRevision until)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, view->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const LcService *s = value;

      if (s->former_idle_timeout_ms != 0 && s->idle_revision <= until)
        return true;
    }
  return false;
}

static bool
lc_former_expiry__has_moves (const LcView *view, LcRevision until)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, view->addresses);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const LcAddress *a = value;

      if (a->n_former > 0 && a->moved_revision <= until)
        return true;
    }
  return false;
}

void
lc_former_expiry_reset (LcFormerExpiry *e)
{
  *e = (LcFormerExpiry){ 0 };
}

LcRevision
lc_former_expiry_check (LcFormerExpiry *e, const LcView *view, int64_t max_flow_us, int64_t now_us)
{
  LcRevision expired = e->revision;

  if (max_flow_us == 0 || (e->revision != 0 && now_us - e->since_us < 2 * max_flow_us))
    return 0;
  e->revision = view->revision;
  e->since_us = now_us;
  if (expired == 0 || (!lc_former_expiry__has_moves (view, expired) &&
                       !lc_former_expiry__has_idle_timeouts (view, expired)))
    return 0;
  return expired;
}
