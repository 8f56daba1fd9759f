/* Leases, reports, folds, settling and the guard, against what each role holds. */
#include "lc-scale.h"

#include "core/member/lc-loss-guard.h"
#include "core/member/lc-settle.h"
#include "core/member/lc-watch.h"

static const uint32_t LC_SCALE_LEASES[] = { 500, 1000, 2000, 4000 };
static const uint32_t LC_SCALE_SIZES[] = { 7400, 14800, 29500, 44300 };
enum
{
  LC_SCALE_LEASES_CHECK = 6000,
  LC_SCALE_FULL = 59000,
  LC_SCALE_ROUNDS = 20,
};

static void
lc_scale_member__put (LcScaleSeries *s, uint32_t at, uint32_t check, double value)
{
  if (at == check)
    lc_scale_check (s, at, value);
  else
    lc_scale_add (s, at, value);
}

static void
lc_scale_member__announce (LcWatch *watch, const LcView *view, uint32_t n, int64_t now_us)
{
  for (uint32_t i = 1; i <= n; i++)
    {
      const LcEndpoint *e = lc_view_endpoint (view, i);
      LcMemberChange change = { .kind = LC_MEMBER_ENDPOINT_ANNOUNCED, .endpoint = *e };

      lc_watch_announce (watch, &change, now_us);
    }
}

static double
lc_scale_member__renew_all (LcWatch *watch, const LcView *view, uint32_t n, int64_t now_us)
{
  double began_us = lc_scale_cpu_us ();
  LcFold fold;

  lc_fold_init (&fold);
  lc_fold_add_agent (&fold, view->revision, view->revision, view->revision);
  for (uint32_t i = 1; i <= n; i++)
    {
      const LcEndpoint *e = lc_view_endpoint (view, i);

      if (!lc_watch_renew (watch, e->name, e->instance, LC_MEMBER_PHASE_LIVE, true, &fold, now_us))
        g_error ("bench: a lease is missing");
    }
  return (lc_scale_cpu_us () - began_us) / n;
}

static void
lc_scale_member__on_report (void *user, const LcMemberChange *change)
{
  (*(uint32_t *)user)++;
}

typedef struct
{
  LcScaleSeries renew;
  LcScaleSeries collect;
  LcScaleSeries fold;
  LcScaleSeries bytes;
} LcScaleLeaseSeries;

static void
lc_scale_member__leases (LcScaleLeaseSeries *s, LcView *view, uint32_t n)
{
  LcWatchDesc desc = { 0 };
  int64_t now_us = LC_US_PER_S;
  double heap = lc_scale_heap_bytes ();
  double renew_us = 0;
  double collect_us = 0;
  double fold_us = 0;
  uint32_t n_reports = 0;
  LcWatch watch;

  lc_watch_init (&watch, &desc);
  lc_scale_member__announce (&watch, view, n, now_us);
  lc_scale_member__put (&s->bytes, n, LC_SCALE_LEASES_CHECK, lc_scale_heap_bytes () - heap);
  for (int i = 0; i < LC_SCALE_ROUNDS; i++)
    {
      double began_us;
      double collected_us;
      LcFold fold;

      now_us += LC_US_PER_S;
      renew_us += lc_scale_member__renew_all (&watch, view, n, now_us);
      lc_view_advance (view, view->revision + 1);
      began_us = lc_scale_cpu_us ();
      lc_watch_collect (&watch, view, now_us, lc_scale_member__on_report, &n_reports);
      collected_us = lc_scale_cpu_us ();
      lc_fold_init (&fold);
      lc_watch_fold (&watch, view->revision, &fold);
      fold_us += lc_scale_cpu_us () - collected_us;
      collect_us += collected_us - began_us;
    }
  if (n_reports != 0)
    g_error ("bench: a watcher reports what the view shows");
  lc_scale_member__put (&s->renew, n, LC_SCALE_LEASES_CHECK, renew_us / LC_SCALE_ROUNDS);
  lc_scale_member__put (&s->collect, n, LC_SCALE_LEASES_CHECK, collect_us / LC_SCALE_ROUNDS);
  lc_scale_member__put (&s->fold, n, LC_SCALE_LEASES_CHECK, fold_us / LC_SCALE_ROUNDS);
  lc_watch_finish (&watch);
}

static int
lc_scale_member__watcher (uint32_t seed)
{
  LcScaleLeaseSeries s = {
    .renew = { "watcher", "lease_renewal", "us", "leases", .n_sizes = 0 },
    .collect = { "watcher", "compare_leases_with_view", "us", "leases", .n_sizes = 0 },
    .fold = { "relay", "fold_acknowledgements", "us", "leases", .n_sizes = 0 },
    .bytes = { "watcher", "lease_bytes", "bytes", "leases", .n_sizes = 0 },
  };
  LcView view;

  lc_view_init (&view);
  lc_scale_fill (&view, LC_SCALE_SIZES[0], seed);
  for (size_t i = 0; i < G_N_ELEMENTS (LC_SCALE_LEASES); i++)
    lc_scale_member__leases (&s, &view, LC_SCALE_LEASES[i]);
  lc_scale_member__leases (&s, &view, LC_SCALE_LEASES_CHECK);
  lc_view_finish (&view);
  return lc_scale_print (&s.renew) | lc_scale_print (&s.collect) | lc_scale_print (&s.fold) |
         lc_scale_print (&s.bytes);
}

/* === control ================================================================================ */

/* One settling decision with a fold from each balancer. */
static double
lc_scale_member__settle (LcView *view)
{
  double began_us;
  LcSettle settle;
  LcViewOp op;

  lc_scale_flip (view, 1, &op);
  (void)lc_view_apply (view, &op, NULL);
  began_us = lc_scale_cpu_us ();
  for (int round = 0; round < LC_SCALE_ROUNDS; round++)
    {
      lc_settle_begin (&settle);
      for (guint i = 0; i < view->balancers->len; i++)
        {
          const LcBalancer *b = &g_array_index (view->balancers, LcBalancer, i);
          LcFold fold;

          lc_fold_init (&fold);
          lc_fold_add_balancer (&fold, view->revision, view->revision);
          for (int k = 0; k < 11; k++)
            lc_fold_add_agent (&fold, view->revision, view->revision, view->revision);
          lc_settle_add (&settle, view, b->name, &fold);
        }
      if (lc_settle_end (&settle, view, 0) != view->revision)
        g_error ("bench: nothing settles");
    }
  return (lc_scale_cpu_us () - began_us) / LC_SCALE_ROUNDS;
}

/* A data centre of which an eighth is lost at once: the price of each verdict. */
static double
lc_scale_member__guard (const LcView *view, uint32_t n)
{
  LcLossGuardDesc desc = { 0 };
  LcLossGuard guard;
  uint32_t n_checked = 0;
  double began_us;

  lc_loss_guard_init (&guard, &desc);
  began_us = lc_scale_cpu_us ();
  for (uint32_t i = 1; i <= n; i++)
    {
      const LcEndpoint *e = lc_view_endpoint (view, i);
      LcMemberChange change = { .kind = LC_MEMBER_ENDPOINT_LOST, .endpoint = *e };

      if (e->dc != 1 || i % 8 != 0)
        continue;
      (void)lc_loss_guard_check (&guard, view, &change, LC_US_PER_S + n_checked++);
    }
  began_us = lc_scale_cpu_us () - began_us;
  lc_loss_guard_finish (&guard);
  return began_us / MAX (n_checked, 1);
}

static int
lc_scale_member__control (uint32_t seed)
{
  LcScaleSeries settle = { "control", "settle_decision", "us", "endpoints", .n_sizes = 0 };
  LcScaleSeries guard = { "control", "guard_verdict", "us", "endpoints", .n_sizes = 0 };

  for (size_t i = 0; i <= G_N_ELEMENTS (LC_SCALE_SIZES); i++)
    {
      uint32_t n = i < G_N_ELEMENTS (LC_SCALE_SIZES) ? LC_SCALE_SIZES[i] : LC_SCALE_FULL;
      LcView view;

      lc_view_init (&view);
      lc_scale_fill (&view, n, seed);
      lc_scale_member__put (&guard, n, LC_SCALE_FULL, lc_scale_member__guard (&view, n));
      lc_scale_member__put (&settle, n, LC_SCALE_FULL, lc_scale_member__settle (&view));
      lc_view_finish (&view);
    }
  return lc_scale_print (&settle) | lc_scale_print (&guard);
}

int
lc_scale_member (uint32_t seed)
{
  return lc_scale_member__watcher (seed) | lc_scale_member__control (seed);
}
