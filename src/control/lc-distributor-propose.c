#include "lc-distributor-private.h"

#include "io/lc-clock.h"

#include <string.h>

enum
{
  LC_DISTRIBUTOR_BATCH_FIRST_MS = 2,
  LC_DISTRIBUTOR_BATCH_MS = 20,                            /* shortest interval */
  LC_DISTRIBUTOR_WAITING_MAX = 16 * LC_MEMBER_CHANGES_MAX, /* changes kept without a leader */
  LC_DISTRIBUTOR_PENDING_MS = 900, /* equal changes are dropped; below the resend time */
  LC_DISTRIBUTOR_LOGS_PER_S = 2,
  LC_DISTRIBUTOR_PROPOSAL_LOGS_PER_S = 30,
};

/* 50 log entries per second at most, however many members change. */
static const LcBatchPaceDesc LC_DISTRIBUTOR_BATCH = {
  .first_us = LC_DISTRIBUTOR_BATCH_FIRST_MS * LC_US_PER_MS,
  .interval_us = LC_DISTRIBUTOR_BATCH_MS * LC_US_PER_MS,
  .retry_for_us = LC_DISTRIBUTOR_PENDING_MS * LC_US_PER_MS, /* then its reporter repeats it */
};

/* === private: batches ======================================================================= */

static gpointer
lc_distributor__pending_key (const LcMemberChange *change)
{
  char text[3 * LC_NAME_MAX];

  if (change->kind == LC_MEMBER_SETTLED)
    (void)g_snprintf (text, sizeof text, "%s",
                      change->expired_revision != 0 ? "expired" : "settled");
  else
    (void)g_snprintf (text, sizeof text, "%d %s %" G_GINT64_MODIFIER "x", (int)change->kind,
                      lc_member_change_name (change), (guint64)lc_member_change_instance (change));
  return g_strdup (text);
}

static void
lc_distributor__log_proposal (LcDistributor *d, const LcMemberChange *change, int64_t now_us)
{
  if (change->kind != LC_MEMBER_SETTLED &&
      lc_log_allow (&d->proposal_limit, now_us, LC_DISTRIBUTOR_PROPOSAL_LOGS_PER_S))
    LC_INFO ("member.proposed", "what", LC_STR (lc_member_change_kind_name (change->kind)),
             "member", LC_STR (lc_member_change_name (change)), "instance",
             LC_U64 (lc_member_change_instance (change)), "revision",
             LC_U64 (d->desc.view->revision), "is_leader",
             LC_U64 (d->desc.is_leader (d->desc.user)), "left_out",
             LC_U64 (d->proposal_limit.suppressed_total));
}

/* A change that was not proposed may be proposed again at once. */
static void
lc_distributor__remove_pending (LcDistributor *d, const LcMemberChange *change)
{
  char *key = lc_distributor__pending_key (change);

  (void)g_hash_table_remove (d->pending, key);
  g_free (key);
}

/* Proposes the batch until a part fails; returns how many changes were proposed. */
static guint
lc_distributor__send_batch (LcDistributor *d, const GArray *batch)
{
  guint at = 0;

  while (at < batch->len)
    {
      uint32_t n = MIN (batch->len - at, (guint)LC_MEMBER_CHANGES_MAX);

      if (d->desc.propose (d->desc.user, &g_array_index (batch, LcMemberChange, at), n) < 0)
        break;
      at += n;
    }
  return at;
}

static void
lc_distributor__arm_batch (LcDistributor *d, int64_t now_us)
{
  int64_t due_us = lc_batch_pace_add (&d->batch_pace, now_us);

  lc_timer_ensure_within (&d->batch_timer, (uint32_t)(MAX (due_us - now_us, 0) / LC_US_PER_MS));
}

/* Losses are not retried: a lost member may renew before there is a leader, and its watchers
 * repeat the report if not. */
static bool
lc_distributor__is_retryable (const LcMemberChange *change)
{
  return change->kind != LC_MEMBER_ENDPOINT_LOST && change->kind != LC_MEMBER_BALANCER_LOST;
}

/* Puts what was not proposed into the next batch, for a limited time and number. */
static void
lc_distributor__requeue_rest (LcDistributor *d, const GArray *batch, guint from, int64_t now_us)
{
  bool is_kept = lc_batch_pace_should_retry (&d->batch_pace, now_us);

  for (guint i = from; i < batch->len; i++)
    {
      const LcMemberChange *change = &g_array_index (batch, LcMemberChange, i);

      if (is_kept && lc_distributor__is_retryable (change) &&
          d->batch->len < LC_DISTRIBUTOR_WAITING_MAX)
        g_array_append_vals (d->batch, change, 1);
      else
        lc_distributor__remove_pending (d, change);
    }
  if (d->batch->len > 0)
    lc_distributor__arm_batch (d, now_us);
}

static void
lc_distributor__on_batch (void *user)
{
  LcDistributor *d = user;
  GArray *batch = d->batch;
  int64_t now_us = lc_clock_now_us ();
  guint n_sent;

  d->batch = g_array_new (FALSE, FALSE, sizeof (LcMemberChange)); /* a proposal may add to it */
  n_sent = lc_distributor__send_batch (d, batch);
  if (n_sent < batch->len)
    lc_distributor__requeue_rest (d, batch, n_sent, now_us);
  else
    lc_batch_pace_record_sent (&d->batch_pace, now_us);
  g_array_unref (batch);
}

static void
lc_distributor__add_to_batch (LcDistributor *d, const LcMemberChange *change, int64_t now_us)
{
  g_array_append_val (d->batch, *change);
  lc_distributor__arm_batch (d, now_us);
}

/* === shared ================================================================================= */

/* Two watchers report the same change, and repeat it until the view shows it: only one proposal is
 * pending at a time. */
void
lc_distributor__propose (LcDistributor *d, const LcMemberChange *change, int64_t now_us)
{
  char *key = lc_distributor__pending_key (change);
  int64_t *at_us = g_hash_table_lookup (d->pending, key);

  if (at_us != NULL && now_us - *at_us < LC_DISTRIBUTOR_PENDING_MS * LC_US_PER_MS)
    {
      g_free (key);
      return;
    }
  lc_distributor__add_to_batch (d, change, now_us);
  lc_metric_add (d->proposed_total, 1);
  lc_distributor__log_proposal (d, change, now_us);
  at_us = g_new (int64_t, 1);
  *at_us = now_us;
  g_hash_table_replace (d->pending, key, at_us);
}

/* === private: changes not proposed ========================================================== */

static gboolean
lc_distributor__is_pending_expired (gpointer key, gpointer value, gpointer user)
{
  (void)key;
  return *(int64_t *)user - *(int64_t *)value >= LC_DISTRIBUTOR_PENDING_MS * LC_US_PER_MS;
}

/* An endpoint of a service or data centre that no operator has opened is not proposed: it would
 * change nothing and be reported every second. */
static bool
lc_distributor__is_placeable (const LcDistributor *d, const LcMemberChange *change)
{
  return change->kind != LC_MEMBER_ENDPOINT_ANNOUNCED ||
         (lc_view_service_by_name (d->desc.view, change->service) != NULL &&
          lc_view_dc_by_name (d->desc.view, change->data_centre) != NULL);
}

static void
lc_distributor__drop_unplaced (LcDistributor *d, const LcMemberChange *change, int64_t now_us)
{
  lc_metric_add (d->unplaced_total, 1);
  if (lc_log_allow (&d->unplaced_limit, now_us, LC_DISTRIBUTOR_LOGS_PER_S))
    LC_WARN ("member.unplaced", "endpoint", LC_STR (change->endpoint.name), "service",
             LC_STR (change->service), "data_centre", LC_STR (change->data_centre), "remedy",
             LC_STR ("open the service and the data centre with `lychee plan open-market`"));
}

/* === shared: reports and lifetime =========================================================== */

void
lc_distributor__propose_reported (LcDistributor *d, const LcMemberChange *change, int64_t now_us)
{
  if (!lc_distributor__is_placeable (d, change))
    {
      lc_distributor__drop_unplaced (d, change, now_us);
      return;
    }
  if (lc_loss_guard_check (&d->guard, d->desc.view, change, now_us) == LC_LOSS_GUARD_PASS)
    {
      lc_distributor__propose (d, change, now_us);
      return;
    }
  lc_metric_add (d->held_total, 1);
  if (lc_log_allow (&d->guard_limit, now_us, LC_DISTRIBUTOR_LOGS_PER_S))
    LC_WARN ("guard.holding", "what", LC_STR (d->guard.holding_what), "remedy",
             LC_STR ("see docs/operating/guard-holding.md: check the network of that place"));
}

void
lc_distributor__expire_pending (LcDistributor *d, int64_t now_us)
{
  (void)g_hash_table_foreach_remove (d->pending, lc_distributor__is_pending_expired, &now_us);
}

void
lc_distributor__init_proposals (LcDistributor *d)
{
  d->pending = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  d->batch = g_array_new (FALSE, FALSE, sizeof (LcMemberChange));
  lc_batch_pace_init (&d->batch_pace, &LC_DISTRIBUTOR_BATCH);
  lc_timer_init (&d->batch_timer, d->desc.app->loop, lc_distributor__on_batch, d);
}

void
lc_distributor__finish_proposals (LcDistributor *d)
{
  lc_timer_finish (&d->batch_timer);
  g_array_unref (d->batch);
  g_hash_table_destroy (d->pending);
}
