#include "lc-member-private.h"
#include "lc-member-serve.h"

#include "io/lc-clock.h"
#include "io/lc-member-frames.h"
#include "io/lc-wire-member.h"
#include "io/lc-wire-view.h"

#include <string.h>

enum
{
  LC_MEMBER_DEFAULT_LEASE_MS = 3000,
  LC_MEMBER_RESUBSCRIBE_MS = 200, /* between subscriptions on one link */
  LC_MEMBER_LOGS_PER_S = 2,
  LC_MEMBER_VIEW_LOG_PER_S = 10,
  LC_MEMBER_LINK_LOG_PER_S = 5,
};

/* === private: helpers ======================================================================= */

static uint32_t
lc_member__lease_ms (const LcMember *member)
{
  return member->desc.lease_ms != 0 ? member->desc.lease_ms : LC_MEMBER_DEFAULT_LEASE_MS;
}

static int64_t
lc_member__renew_us (const LcMember *member)
{
  return (int64_t)lc_member__lease_ms (member) * LC_US_PER_MS / 3;
}

/* Two and a half renewal intervals: two renewals without an answer. */
int64_t
lc_member__silence_limit_us (const LcMember *member)
{
  return lc_member__renew_us (member) * 2 + lc_member__renew_us (member) / 2;
}

/* The silence limit and a renewal interval, which the relay's own confirmation may be old. */
int64_t
lc_member__relay_stale_us (const LcMember *member)
{
  return lc_member__silence_limit_us (member) + lc_member__renew_us (member);
}

int64_t
lc_member__jitter_us (int64_t span_us)
{
  return span_us > 0 ? (int64_t)(g_random_double () * (double)span_us) : 0;
}

const char *
lc_member__name (const LcMember *member)
{
  return member->desc.kind == LC_MEMBER_AGENT ? member->desc.endpoint.name
                                              : member->desc.balancer.name;
}

LcInstance
lc_member_instance (const LcMember *member)
{
  return member->desc.kind == LC_MEMBER_AGENT ? member->desc.endpoint.instance
                                              : member->desc.balancer.instance;
}

uint32_t
lc_member__index (const LcMemberSlot *slot)
{
  return (uint32_t)(slot - slot->member->slots);
}

LcLink *
lc_member__link (LcMemberSlot *slot)
{
  return slot->is_open ? lc_link_client_link (&slot->client) : NULL;
}

static void
lc_member__make_scope (const LcMember *member, LcScope *scope)
{
  memset (scope, 0, sizeof *scope);
  if (member->desc.kind != LC_MEMBER_AGENT)
    return;
  scope->is_scoped = true;
  (void)g_strlcpy (scope->service, member->desc.service, sizeof scope->service);
  (void)g_strlcpy (scope->data_centre, member->desc.data_centre, sizeof scope->data_centre);
}

void
lc_member_record_malformed (LcMember *member, const char *what, const LcError *error)
{
  lc_metric_add (member->malformed_total, 1);
  if (lc_log_allow (&member->log_limit, lc_clock_now_us (), LC_MEMBER_LOGS_PER_S))
    LC_WARN ("member.malformed", "frame", LC_STR (what), "message", LC_STR (error->message),
             "remedy", LC_STR (error->remedy));
}

/* === private: what is sent upstream ========================================================= */

static void
lc_member__make_announcement (const LcMember *member, LcMemberChange *change)
{
  memset (change, 0, sizeof *change);
  (void)g_strlcpy (change->data_centre, member->desc.data_centre, sizeof change->data_centre);
  if (member->desc.region != NULL)
    (void)g_strlcpy (change->region, member->desc.region, sizeof change->region);
  if (member->desc.kind == LC_MEMBER_AGENT)
    {
      change->kind = LC_MEMBER_ENDPOINT_ANNOUNCED;
      (void)g_strlcpy (change->service, member->desc.service, sizeof change->service);
      change->endpoint = member->desc.endpoint;
      return;
    }
  change->kind = LC_MEMBER_BALANCER_ANNOUNCED;
  change->balancer = member->desc.balancer;
}

static void
lc_member__send_hello (LcMemberSlot *slot, LcLink *link)
{
  Lc__Wire__MemberHello hello = LC__WIRE__MEMBER_HELLO__INIT;
  LcWireMemberChange wire;
  LcMemberChange change;

  lc_member__make_announcement (slot->member, &change);
  lc_wire_member_change_write (&wire, &change);
  hello.member = &wire.message;
  (void)lc_link_send (link, LC_FRAME_MEMBER_HELLO, &hello.base);
}

void
lc_member__subscribe (LcMemberSlot *slot, int64_t now_us)
{
  LcMember *member = slot->member;
  Lc__Wire__MemberSubscribe message;
  LcScope scope;

  if (now_us < slot->subscribe_at_us)
    {
      slot->is_subscribed = false; /* retried at a tick */
      return;
    }
  lc_member__make_scope (member, &scope);
  lc_wire_member_subscribe_write (&message, &scope, lc_view_sync_from (&member->sync));
  slot->is_subscribed =
      lc_link_send (lc_member__link (slot), LC_FRAME_MEMBER_SUBSCRIBE, &message.base) == 0;
  slot->subscribe_at_us = now_us + LC_MEMBER_RESUBSCRIBE_MS * LC_US_PER_MS;
}

/* Only the first connected watcher counts this member, so that folds don't count it twice.  Every
 * control VM makes its own fold, so each of them counts it. */
static bool
lc_member__is_counted_at (LcMember *member, uint32_t slot_index)
{
  for (uint32_t i = member->first_dynamic; i < slot_index; i++)
    if (member->slots[i].has_status && lc_member__link (&member->slots[i]) != NULL)
      return false;
  return true;
}

void
lc_member__make_fold (LcMember *member, uint32_t slot_index, LcFold *fold)
{
  LcRevision applied = member->sync.view.revision;

  lc_fold_init (fold);
  if (member->desc.kind == LC_MEMBER_AGENT)
    {
      lc_fold_add_agent (fold, applied, MIN (member->registered, applied), applied);
    }
  else
    {
      lc_member_serve_fold (member, fold);
      lc_fold_add_balancer (fold, applied, applied);
    }
  if (lc_member__is_counted_at (member, slot_index))
    return;
  fold->n_agents = 0;
  fold->n_balancers = 0;
  fold->n_behind = 0;
}

void
lc_member__send_renew (LcMemberSlot *slot, LcMemberPhase phase, int64_t now_us)
{
  LcMember *member = slot->member;
  Lc__Wire__MemberRenew message = LC__WIRE__MEMBER_RENEW__INIT;
  Lc__Wire__MemberFold wire;
  LcFold fold;

  lc_member__make_fold (member, lc_member__index (slot), &fold);
  lc_wire_member_fold_write (&wire, &fold);
  message.name = (char *)lc_member__name (member);
  message.instance = lc_member_instance (member);
  message.phase = phase;
  message.is_ramped = member->is_ramped;
  message.is_balancer = member->desc.kind == LC_MEMBER_BALANCER;
  message.fold = &wire;
  (void)lc_link_send (lc_member__link (slot), LC_FRAME_MEMBER_RENEW, &message.base);
  slot->renewed_us = now_us;
  slot->renew_at_us = now_us + lc_member__renew_us (member) * 9 / 10 +
                      lc_member__jitter_us (lc_member__renew_us (member) / 5);
}

/* Sends renewals at the next tick, so that a change is not delayed by a renewal interval. */
void
lc_member__renew_all_soon (LcMember *member)
{
  for (uint32_t i = 0; i < member->n_slots; i++)
    member->slots[i].renew_at_us = 0;
}

/* === private: the view ====================================================================== */

static void
lc_member__record_listing (LcMember *member, int64_t now_us)
{
  const LcEndpoint *mine = lc_member_endpoint (member);

  if (mine != NULL && mine->instance == member->desc.endpoint.instance && member->listed_us == 0)
    member->listed_us = now_us;
}

/* Records each revision of the view, and how long ago control confirmed it. */
static void
lc_member__log_view (LcMember *member, size_t n_ops, bool is_reset)
{
  int64_t now_us = lc_clock_now_us ();

  if (lc_log_allow (&member->view_limit, now_us, LC_MEMBER_VIEW_LOG_PER_S))
    LC_INFO ("view.applied", "revision", LC_U64 (member->sync.view.revision), "operations",
             LC_U64 (n_ops), "is_whole", LC_U64 (is_reset), "view_age_ms",
             LC_I64 (lc_member_view_age_us (member, now_us) / LC_US_PER_MS), "left_out",
             LC_U64 (member->view_limit.suppressed_total));
}

static void
lc_member__handle_view_change (LcMember *member, const LcViewOp *ops, size_t n_ops, bool is_reset)
{
  const LcView *view = &member->sync.view;

  lc_metric_set (member->revision_gauge, (int64_t)view->revision);
  lc_member__log_view (member, n_ops, is_reset);
  if (member->desc.kind == LC_MEMBER_AGENT)
    lc_member__record_listing (member, lc_clock_now_us ());
  else if (is_reset)
    lc_view_server_reset (&member->server);
  else
    lc_view_server_publish (&member->server, ops, n_ops);
  if (member->desc.changed != NULL)
    member->desc.changed (member->desc.user, view, ops, n_ops, is_reset);
  lc_member__tick_soon (member);
}

static void
lc_member__handle_sync_result (LcMemberSlot *slot,
                               LcSyncResult result,
                               const LcViewOp *ops,
                               size_t n_ops,
                               const LcError *error)
{
  LcMember *member = slot->member;
  size_t skipped = member->sync.n_skipped;

  switch (result)
    {
    case LC_SYNC_APPLIED:
      lc_member__handle_view_change (member, ops + skipped, n_ops - skipped, false);
      break;
    case LC_SYNC_REPLACED:
      LC_INFO ("member.snapshot", "revision", LC_U64 (member->sync.view.revision));
      lc_member__handle_view_change (member, NULL, 0, true);
      break;
    case LC_SYNC_RESUBSCRIBE:
      if (error->message[0] != '\0')
        lc_member_record_malformed (member, "view operation", error);
      lc_member__subscribe (slot, lc_clock_now_us ());
      break;
    case LC_SYNC_STAGED:
    case LC_SYNC_IGNORED:
      break;
    }
}

/* Decodes the operations of a delta or snapshot part; NULL when one of them is malformed. */
static LcViewOp *
lc_member__read_ops (LcMember *member, Lc__Wire__ViewOp **wire, size_t n_ops)
{
  LcViewOp *ops = g_new (LcViewOp, n_ops + 1);
  LcError error = { 0 };

  for (size_t i = 0; i < n_ops; i++)
    if (lc_wire_view_op_read (&ops[i], wire[i], &error) < 0)
      {
        lc_member_record_malformed (member, "view operation", &error);
        g_free (ops);
        return NULL;
      }
  return ops;
}

static void
lc_member__on_delta (LcMemberSlot *slot, const LcFrame *frame)
{
  LcMember *member = slot->member;
  Lc__Wire__ViewDelta *delta =
      lc__wire__view_delta__unpack (NULL, frame->payload_len, frame->payload);
  LcError error = { 0 };
  LcViewOp *ops;

  if (delta == NULL)
    return;
  ops = lc_member__read_ops (member, delta->ops, delta->n_ops);
  if (ops != NULL)
    {
      LcSyncResult result = lc_view_sync_delta (&member->sync, delta->from_revision,
                                                delta->to_revision, ops, delta->n_ops, &error);

      lc_member__handle_sync_result (slot, result, ops, delta->n_ops, &error);
    }
  g_free (ops);
  lc__wire__view_delta__free_unpacked (delta, NULL);
}

static void
lc_member__on_snapshot (LcMemberSlot *slot, const LcFrame *frame)
{
  LcMember *member = slot->member;
  Lc__Wire__ViewSnapshotPart *part =
      lc__wire__view_snapshot_part__unpack (NULL, frame->payload_len, frame->payload);
  LcError error = { 0 };
  LcViewOp *ops;

  if (part == NULL)
    return;
  ops = lc_member__read_ops (member, part->ops, part->n_ops);
  if (ops != NULL)
    {
      LcSyncResult result =
          lc_view_sync_part (&member->sync, lc_member__index (slot), part->revision, part->part,
                             part->last, ops, part->n_ops, &error);

      lc_member__handle_sync_result (slot, result, ops, part->n_ops, &error);
    }
  g_free (ops);
  lc__wire__view_snapshot_part__free_unpacked (part, NULL);
}

/* === private: other frames from upstream ==================================================== */

static void
lc_member__on_status (LcMemberSlot *slot, const LcFrame *frame, int64_t now_us)
{
  LcMember *member = slot->member;
  Lc__Wire__MemberStatus *status =
      lc__wire__member_status__unpack (NULL, frame->payload_len, frame->payload);
  LcSocketAddress control[LC_CONTROL_VMS_MAX];

  if (status == NULL)
    return;
  if (!slot->has_status ||
      (member->sync.view.revision == 0 && (status->revision > 0 || status->stands_by)))
    lc_member__tick_soon (member);
  slot->has_status = true;
  slot->revision = status->revision;
  if (status->revision > 0)
    lc_first_view_record_offer (&member->first_view, now_us);
  lc_member_record_revision (member, status->revision);
  slot->is_leader = status->is_leader;
  slot->is_standby = status->stands_by;
  slot->is_confirmed = status->is_confirmed;
  if (status->is_confirmed)
    slot->confirmed_us = now_us - (int64_t)MIN (status->control_age_ms, INT32_MAX) * LC_US_PER_MS;
  /* The status confirms the upstream's own revision, so an older one doesn't confirm this view. */
  if (status->is_confirmed && status->revision >= member->sync.view.revision)
    {
      int64_t at_us = now_us - (int64_t)MIN (status->control_age_ms, INT32_MAX) * LC_US_PER_MS;

      member->confirmed_us = MAX (member->confirmed_us, at_us);
    }
  if (status->is_confirmed && slot->is_subscribed && member->sync.view.revision > 0)
    member->is_confirmed = true;
  lc_member_add_control (member, control, lc_wire_member_control_read (control, status));
  if (status->needs_hello && !member->is_unregistered)
    lc_member__send_hello (slot, lc_member__link (slot));
  lc__wire__member_status__free_unpacked (status, NULL);
}

/* A link to an upstream came up or went down, or a subscription was postponed. */
static void
lc_member__log_link (LcMemberSlot *slot, const char *event, const char *why, int64_t after_ms)
{
  LcMember *member = slot->member;

  if (!lc_log_allow (&member->link_limit, lc_clock_now_us (), LC_MEMBER_LINK_LOG_PER_S))
    return;
  LC_INFO (event, "ipv4", LC_U64 (slot->address.ipv4), "port", LC_U64 (slot->address.port), "why",
           LC_STR (why), "after_ms", LC_I64 (after_ms), "revision",
           LC_U64 (member->sync.view.revision), "its_revision", LC_U64 (slot->revision), "left_out",
           LC_U64 (member->link_limit.suppressed_total));
}

static void
lc_member__on_retry (LcMemberSlot *slot, const LcFrame *frame, int64_t now_us)
{
  Lc__Wire__MemberRetry *retry =
      lc__wire__member_retry__unpack (NULL, frame->payload_len, frame->payload);

  if (retry == NULL)
    return;
  slot->is_subscribed = false;
  slot->subscribe_at_us = now_us + (int64_t)retry->after_ms * LC_US_PER_MS;
  lc_member__log_link (slot, "upstream.retry", "too many snapshots at once", retry->after_ms);
  lc__wire__member_retry__free_unpacked (retry, NULL);
}

void
lc_member__on_upstream_frame (void *user, LcLink *link, const LcFrame *frame)
{
  LcMemberSlot *slot = user;
  int64_t now_us = lc_clock_now_us ();

  slot->last_frame_us = now_us;
  slot->member->last_frame_us = now_us;
  switch (frame->type)
    {
    case LC_FRAME_MEMBER_STATUS:
      lc_member__on_status (slot, frame, now_us);
      break;
    case LC_FRAME_MEMBER_DELTA:
      lc_member__on_delta (slot, frame);
      break;
    case LC_FRAME_MEMBER_SNAPSHOT:
      lc_member__on_snapshot (slot, frame);
      break;
    case LC_FRAME_MEMBER_RETRY:
      lc_member__on_retry (slot, frame, now_us);
      break;
    default:
      break;
    }
}

void
lc_member__on_upstream_up (void *user, LcLink *link)
{
  LcMemberSlot *slot = user;
  int64_t now_us = lc_clock_now_us ();

  lc_member__log_link (slot, "upstream.up", "", 0);
  slot->has_status = false;
  slot->is_standby = false;
  slot->is_subscribed = false;
  slot->last_frame_us = 0;
  slot->opened_us = now_us;
  slot->confirmed_us = now_us;
  slot->subscribe_at_us = 0;
  slot->renew_at_us = 0;
  /* Before it is registered, a member sends a renewal, which is answered with a status, too. */
  if (slot->member->is_unregistered)
    lc_member__send_renew (slot, LC_MEMBER_PHASE_LIVE, now_us);
  else
    lc_member__send_hello (slot, link);
}

void
lc_member__send_hello_all (LcMember *member)
{
  for (uint32_t i = 0; i < member->n_slots; i++)
    if (lc_member__link (&member->slots[i]) != NULL)
      lc_member__send_hello (&member->slots[i], lc_member__link (&member->slots[i]));
}

void
lc_member__on_upstream_down (void *user, LcLink *link, const char *why)
{
  LcMemberSlot *slot = user;
  LcMember *member = slot->member;

  lc_member__log_link (slot, "upstream.down", why, 0);
  slot->has_status = false;
  slot->is_subscribed = false;
  slot->is_leader = false;
  if (lc_view_sync_source_down (&member->sync, lc_member__index (slot)))
    LC_DEBUG ("member.snapshot-cut", "why", LC_STR (why));
}
