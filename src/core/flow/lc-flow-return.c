#include "lc-flow-return.h"

#include "lc-flow-agent-private.h"
#include "lc-flow-finder.h"
#include "lc-flow-pointers.h"

#include <string.h>

enum
{
  LC_FLOW_RETRANSMIT_MS = 200,        /* until a caller first retransmits a first packet */
  LC_FLOW_SECOND_RETRANSMIT_MS = 600, /* and until the second time */
  LC_FLOW_RETURN_HOPS = 16, /* charged for a returned first packet: four endpoints get it */
};

/* === private: actions ======================================================================= */

static LcFlowAction
lc_flow_return__try (uint32_t mark)
{
  return (LcFlowAction){ .kind = LC_FLOW_ACTION_TRY, .try_mark = mark };
}

/* Turns the drop (already counted) of a flow that no endpoint can take into a reset.  Only for a
 * first packet that was not retransmitted: an earlier copy may have opened the flow meanwhile. */
static LcFlowAction
lc_flow_return__reset_or_drop (LcFlowAction drop, const LcPacket *packet)
{
  if (packet->may_open && packet->n_copies == 0)
    drop.kind = LC_FLOW_ACTION_RESET;
  return drop;
}

static uint32_t
lc_flow_return__ms (int64_t now_us)
{
  return (uint32_t)(now_us / LC_US_PER_MS);
}

/* Minimum time since the caller sent the first copy of this first packet. */
static uint32_t
lc_flow_return__min_age_ms (const LcPacket *packet)
{
  static const uint32_t AGES_MS[] = { 0, LC_FLOW_RETRANSMIT_MS, LC_FLOW_SECOND_RETRANSMIT_MS };

  return AGES_MS[MIN (packet->n_copies, (uint32_t)G_N_ELEMENTS (AGES_MS) - 1)];
}

/* Estimate of how long the caller has already waited for the request of this new flow. */
static uint32_t
lc_flow_return__waited_ms (LcFlowAgent *a, const LcPacket *packet, int64_t now_us)
{
  uint32_t age_ms = lc_flow_return__min_age_ms (packet);

  if (lc_flow_reconnects_take (&a->reconnects, packet->key.source_ipv4, now_us))
    age_ms = MAX (age_ms, (uint32_t)LC_FLOW_RETRANSMIT_MS);
  return age_ms;
}

/* The mark of a packet for the own backend server: the remaining hops of a first packet, which come
 * back if it is returned. */
static uint32_t
lc_flow_return__mark_of (const LcEnvelope *e, const LcPacket *packet)
{
  if (packet->may_open)
    return e->hops_left;
  return e->n_services > 0 ? LC_FLOW_MARK_SERVICES : LC_FLOW_MARK_NONE;
}

static LcFlowAction
lc_flow_return__set_mark (LcFlowAgent *a,
                          LcFlowAction action,
                          const LcEnvelope *e,
                          const LcPacket *packet,
                          int64_t now_us)
{
  if (action.kind != LC_FLOW_ACTION_DELIVER)
    return action;
  action.deliver.mark = lc_flow_return__mark_of (e, packet);
  if (action.deliver.is_new)
    {
      LcFlow *f = &a->table.flows[action.deliver.flow];

      f->work_ms = lc_flow_return__ms (now_us);
      f->began_ms = MAX (f->work_ms - lc_flow_return__waited_ms (a, packet, now_us), 1U);
      f->data_end = packet->sequence + 1;
    }
  return action;
}

static LcFlowAction
lc_flow_return__assign (
    LcFlowAgent *a, LcEnvelope *e, LcFlow *f, const LcPacket *packet, int64_t now_us)
{
  LcFlowAction action = lc_flow_agent__assign (a, e, f, packet, now_us);

  if (action.kind == LC_FLOW_ACTION_DROP)
    return lc_flow_return__reset_or_drop (action, packet);
  return lc_flow_return__set_mark (a, action, e, packet, now_us);
}

/* Accepts the flow, or sends the packet back to the assigner with the reason. */
static LcFlowAction
lc_flow_return__accept_or_refuse (
    LcFlowAgent *a, LcEnvelope *e, LcFlow *f, const LcPacket *packet, int64_t now_us)
{
  if (!lc_flow_agent__is_accepting (a))
    return lc_flow_agent__refuse (
        a, e, lc_flow_agent__is_evacuated (a) ? LC_DROP_EVACUATED : LC_DROP_LEAVING);
  if (!lc_flow_agent__is_in_home_region (a, &packet->key))
    return lc_flow_agent__refuse (a, e, LC_DROP_NO_HOME);
  if (!lc_flow_agent__may_accept (a, now_us))
    return lc_flow_agent__refuse (a, e, LC_DROP_LIMIT);
  if (lc_flow_agent__looks_bad (a, now_us) &&
      lc_assign_may_exclude_self (&a->assign, lc_flow_agent__home_regions (a, &packet->key),
                                  now_us))
    return lc_flow_agent__refuse (a, e, LC_DROP_LIMIT);
  return lc_flow_return__set_mark (a, lc_flow_agent__accept (a, f, packet, now_us), e, packet,
                                   now_us);
}

/* === private: requests in work ============================================================== */

static bool
lc_flow_return__has_data (const LcPacket *packet)
{
  return packet->total_len > packet->payload_start;
}

/* Whether the packet has new data of the caller.  A retransmission of a request that was answered
 * meanwhile must not count as in work: it would never be answered. */
static bool
lc_flow_return__has_new_data (LcFlow *f, const LcPacket *packet)
{
  uint32_t end = packet->sequence + packet->total_len - packet->payload_start;

  if (!lc_flow_return__has_data (packet) || (f->data_end != 0 && (int32_t)(end - f->data_end) <= 0))
    return false;
  f->data_end = end;
  return true;
}

/* When the caller began to wait; for the first request of a flow, before it opened the flow. */
static int64_t
lc_flow_return__wait_start_us (LcFlow *f, int64_t now_us)
{
  uint32_t age_ms = f->began_ms != 0 ? lc_flow_return__ms (now_us) - f->began_ms : 0;

  f->began_ms = 0;
  return now_us - (int64_t)age_ms * LC_US_PER_MS;
}

/* Whether a packet for the own backend server has to be queued for a free slot. */
static bool
lc_flow_return__must_wait (LcFlowAgent *a, LcFlow *f, const LcPacket *packet, int64_t now_us)
{
  uint32_t flow = lc_flow_table_index (&a->table, f);

  if (packet->is_last)
    {
      lc_flow_agent__end_request (a, f);
      return false;
    }
  if ((f->flags & LC_FLOW_HELD) != 0)
    return lc_flow_return__has_data (packet);
  if (!lc_flow_return__has_new_data (f, packet) || (f->flags & LC_FLOW_AT_WORK) != 0)
    return false;
  f->work_ms = lc_flow_return__ms (now_us);
  f->flags |= LC_FLOW_AT_WORK;
  if (lc_flow_gate_submit (&a->gate, flow, lc_flow_return__wait_start_us (f, now_us), now_us) ==
      LC_FLOW_GATE_PASS)
    return false;
  f->flags |= LC_FLOW_HELD;
  return true;
}

/* === private: owned flows =================================================================== */

/* Updates the flow's homes if its packets come in at another data centre.  Registers it again if a
 * packet came by a detour: its first home has lost the owner. */
static void
lc_flow_return__refresh_homes (LcFlowAgent *a, LcFlow *f, const LcEnvelope *e)
{
  bool is_detour = e->mode == LC_MODE_SEARCH || e->mode == LC_MODE_FIND ||
                   (e->mode == LC_MODE_WALK && e->hop > lc_envelope_service_first (e));

  if (e->dc != 0 && e->dc != f->dc)
    lc_flow_pointers_set_arrival_dc (a, f, e->dc);
  if (is_detour && (f->flags & LC_FLOW_QUEUED) == 0)
    lc_flow_pointers_begin_registration (a, f);
}

/* Whether this first packet is a retransmission that the backend server left unanswered: it is dead
 * or very slow, and the packet goes to another endpoint. */
static bool
lc_flow_return__is_unanswered (const LcFlow *f, const LcPacket *packet)
{
  return f != NULL && f->kind == LC_FLOW_OWNED && packet->may_open && packet->n_copies > 0 &&
         (f->flags & LC_FLOW_ANSWERED) == 0;
}

/* Whether a first packet opens an ended flow anew. */
static bool
lc_flow_return__is_reopening (const LcFlow *f, const LcPacket *packet)
{
  return packet->may_open && (f->flags & LC_FLOW_ENDED) != 0;
}

static bool
lc_flow_return__is_owned (const LcFlowAgent *a,
                          const LcFlow *f,
                          const LcPacket *packet,
                          int64_t now_us)
{
  if (f == NULL || f->kind != LC_FLOW_OWNED)
    return false;
  return !lc_flow_return__is_reopening (f, packet) ||
         (lc_flow_agent__may_accept (a, now_us) &&
          lc_flow_agent__is_in_home_region (a, &packet->key));
}

static void
lc_flow_return__disown (LcFlowAgent *a, LcFlow *f, LcFlowRelease reason)
{
  if (f == NULL || f->kind != LC_FLOW_OWNED)
    return;
  lc_flow_pointers_unregister (a, f, reason);
  lc_flow_table_remove (&a->table, f);
}

/* Assigns a first packet to another endpoint than this one. */
static LcFlowAction
lc_flow_return__reassign (LcFlowAgent *a, LcEnvelope *e, const LcPacket *packet, int64_t now_us)
{
  e->mode = LC_MODE_REFUSED;
  e->stray_id = a->desc.self.id;
  e->stray_instance = a->desc.self.instance;
  return lc_flow_return__assign (a, e, NULL, packet, now_us);
}

/* === private: walk through the homes ======================================================== */

static LcFlowAction
lc_flow_return__walk (
    LcFlowAgent *a, LcEnvelope *e, LcFlow *f, const LcPacket *packet, int64_t now_us)
{
  LcSteerEntry known = lc_flow_agent__describe_entry (a, f);

  /* A retransmission before the owner has registered the flow: the owner may never have got it. */
  if (packet->may_open && packet->n_copies > 0 && known.kind == LC_FLOW_POINTER &&
      !known.is_confirmed)
    {
      lc_assign_record_refusal (&a->assign, known.other.id, now_us);
      return lc_flow_return__assign (a, e, f, packet, now_us);
    }
  if (known.kind == LC_FLOW_POINTER && known.is_live &&
      !lc_candidate_equal (&known.other, &a->desc.self))
    return lc_flow_agent__send (
        a, e, packet->may_open && !known.is_confirmed ? LC_MODE_OPEN : LC_MODE_OWNER, &known.other);
  if (packet->may_open)
    return lc_flow_return__assign (a, e, f, packet, now_us);
  if (!lc_envelope_next_hop (e))
    return lc_flow_finder_end_walk (a, e, packet, now_us);
  return lc_flow_agent__send (a, e, LC_MODE_WALK, &e->candidates[e->hop]);
}

/* Handles a packet that another agent sent here for a search; an earlier search may have found the
 * owner. */
static LcFlowAction
lc_flow_return__find (
    LcFlowAgent *a, LcEnvelope *e, LcFlow *f, const LcPacket *packet, int64_t now_us)
{
  LcSteerEntry known = lc_flow_agent__describe_entry (a, f);

  if (packet->may_open)
    return lc_flow_agent__drop (a, LC_DROP_NO_OWNER);
  if (known.kind == LC_FLOW_POINTER && known.is_live &&
      !lc_candidate_equal (&known.other, &a->desc.self))
    {
      lc_flow_finder_send_owner (a, e->stray_id, &packet->key);
      return lc_flow_agent__send (a, e, LC_MODE_OWNER, &known.other);
    }
  return lc_flow_finder_search (a, e, packet, now_us);
}

/* === public ================================================================================= */

LcFlowAction
lc_flow_return_steer (LcFlowAgent *a, LcEnvelope *e, const LcPacket *packet, int64_t now_us)
{
  LcFlow *f = lc_flow_table_find (&a->table, &packet->key, lc_flow_key_hash (&packet->key));

  if (e->service_id != a->desc.service_id)
    return lc_flow_agent__drop (a, LC_DROP_WRONG_INSTANCE);
  a->arrival_dc = e->dc;
  if (lc_flow_return__is_unanswered (f, packet))
    {
      lc_flow_return__disown (a, f, LC_FLOW_RELEASE_UNANSWERED);
      lc_flow_agent__record_failure (a, now_us);
      return lc_flow_return__reassign (a, e, packet, now_us);
    }
  if (lc_flow_return__is_owned (a, f, packet, now_us))
    {
      if (lc_flow_return__is_reopening (f, packet))
        lc_warmup_limit_record (&a->first_packets, now_us);
      lc_flow_return__refresh_homes (a, f, e);
      if (e->mode == LC_MODE_SEARCH)
        lc_flow_finder_report_owned (a, &e->candidates[0], &packet->key);
      if (lc_flow_return__must_wait (a, f, packet, now_us))
        return (LcFlowAction){ .kind = LC_FLOW_ACTION_HOLD,
                               .hold = { .flow = lc_flow_table_index (&a->table, f),
                                         .mark = lc_flow_return__mark_of (e, packet) } };
      return lc_flow_return__set_mark (a, lc_flow_agent__deliver (a, f, packet, false, now_us), e,
                                       packet, now_us);
    }
  switch ((LcEnvelopeMode)e->mode)
    {
    case LC_MODE_WALK:
      return lc_flow_return__walk (a, e, f, packet, now_us);
    case LC_MODE_OPEN:
    case LC_MODE_OWNER:
      if (packet->may_open)
        return lc_flow_return__accept_or_refuse (a, e, f, packet, now_us);
      if (e->n_services > 0)
        return lc_flow_finder_search (a, e, packet, now_us);
      return lc_flow_return__try (LC_FLOW_MARK_NONE);
    case LC_MODE_ASSIGN:
    case LC_MODE_REFUSED:
      if (packet->may_open)
        return lc_flow_return__assign (a, e, f, packet, now_us);
      return lc_flow_agent__drop (a, LC_DROP_NO_OWNER);
    case LC_MODE_FIND:
      return lc_flow_return__find (a, e, f, packet, now_us);
    case LC_MODE_SEARCH:
      if (packet->may_open)
        return lc_flow_agent__drop (a, LC_DROP_NO_OWNER);
      lc_flow_reconnects_add (&a->reconnects, packet->key.source_ipv4, now_us);
      lc_flow_finder_record_try (a, &e->candidates[0], &packet->key, now_us);
      return lc_flow_return__try (e->candidates[0].id);
    }
  return lc_flow_agent__drop (a, LC_DROP_MALFORMED);
}

void
lc_flow_return_fill_search_envelope (const LcFlowAgent *a, const LcCandidate *to, LcEnvelope *e)
{
  memset (e, 0, sizeof *e);
  e->mode = LC_MODE_SEARCH;
  e->n = 1;
  e->candidates[0] = a->desc.self;
  e->service_id = a->desc.service_id;
  e->revision = a->view != NULL ? a->view->revision : 0;
  e->set_rank = UINT64_MAX;
  e->target_id = to->id;
  e->target_instance = to->instance;
}

/* Records that the backend server returned a first packet.  With requests in work it is full; with
 * none it is absent, which looks like the least loaded one and counts as a failure: with 22 of 163
 * absent after a restart of all, first packets were forwarded until they had no hops left, 261
 * log lines in 0.75 s.  An unconfirmed backend server gets no new flow before it reports. */
static void
lc_flow_return__record_refusal (LcFlowAgent *a, int64_t now_us)
{
  a->has_returned_first = a->backend == LC_FLOW_BACKEND_UNCONFIRMED;
  if (lc_flow_gate_n_in_flight (&a->gate) == 0)
    lc_flow_agent__record_failure (a, now_us);
}

static LcFlowAction
lc_flow_return__search_returned (LcFlowAgent *a, const LcPacket *packet, int64_t now_us)
{
  switch (packet->mark)
    {
    case LC_FLOW_MARK_NONE:
      return lc_flow_finder_search_returned (a, packet, now_us);
    case LC_FLOW_MARK_SERVICES:
      /* Which services is not known here.  The entry is gone, so that a retransmission, whose
       * envelope names them, does not end here again. */
      return lc_flow_agent__drop (a, LC_DROP_NO_OWNER);
    default:
      return lc_flow_finder_report_denial (a, packet, now_us);
    }
}

LcFlowAction
lc_flow_return_handle_returned (LcFlowAgent *a,
                                LcEnvelope *e,
                                const LcPacket *packet,
                                int64_t now_us)
{
  a->counts.returned_total++;
  lc_flow_return__disown (
      a, lc_flow_table_find (&a->table, &packet->key, lc_flow_key_hash (&packet->key)),
      LC_FLOW_RELEASE_RETURNED);
  if (!packet->may_open)
    return lc_flow_return__search_returned (a, packet, now_us);
  lc_flow_return__record_refusal (a, now_us);
  if (packet->mark <= LC_FLOW_RETURN_HOPS || packet->mark > LC_ENVELOPE_HOPS)
    return lc_flow_return__reset_or_drop (lc_flow_agent__drop (a, LC_DROP_LIMIT), packet);
  lc_flow_return_fill_search_envelope (a, &a->desc.self, e);
  e->hops_left = (uint8_t)(packet->mark - LC_FLOW_RETURN_HOPS);
  e->dc = a->dc;
  a->arrival_dc = a->dc;
  return lc_flow_return__reassign (a, e, packet, now_us);
}

LcFlowKey
lc_flow_return_caller_key (const LcPacket *packet)
{
  LcFlowKey key = packet->key;

  key.source_ipv4 = packet->key.target_ipv4;
  key.source_port = packet->key.target_port;
  key.target_ipv4 = packet->key.source_ipv4;
  key.target_port = packet->key.source_port;
  return key;
}

/* Classifies a response; call it before LC_FLOW_ANSWERED is set. */
static LcFlowResponse
lc_flow_return__classify_response (const LcFlow *f, const LcPacket *packet, int64_t now_us)
{
  LcFlowResponse answer = { .kind = LC_FLOW_RESPONSE_NONE };

  if (f == NULL || f->kind != LC_FLOW_OWNED || packet->is_reset)
    return answer;
  if (packet->is_accept && (f->flags & LC_FLOW_ANSWERED) == 0 && f->work_ms != 0)
    answer.kind = LC_FLOW_RESPONSE_ACCEPT;
  else if ((f->flags & LC_FLOW_AT_WORK) != 0 && lc_flow_return__has_data (packet))
    answer.kind = LC_FLOW_RESPONSE_DATA;
  answer.elapsed_us = (int64_t)(lc_flow_return__ms (now_us) - f->work_ms) * LC_US_PER_MS;
  return answer;
}

/* Records the outcome of a request for the outlier detection. */
static void
lc_flow_return__record_outcome (LcFlowAgent *a,
                                const LcFlow *f,
                                const LcPacket *packet,
                                int64_t now_us)
{
  if ((f->flags & (LC_FLOW_AT_WORK | LC_FLOW_HELD)) != LC_FLOW_AT_WORK)
    return;
  if (packet->is_reset)
    lc_flow_agent__record_failure (a, now_us);
  else if (lc_flow_return__has_data (packet))
    lc_flow_agent__record_success (a);
}

LcFlowResponse
lc_flow_return_handle_response (LcFlowAgent *a, const LcPacket *packet, int64_t now_us)
{
  LcPacket of_caller = *packet;
  LcFlowResponse answer;
  LcFlow *f;

  of_caller.key = lc_flow_return_caller_key (packet);
  of_caller.may_open = false;
  f = lc_flow_table_find (&a->table, &of_caller.key, lc_flow_key_hash (&of_caller.key));
  answer = lc_flow_return__classify_response (f, packet, now_us);
  a->arrival_dc = 0;
  if (f != NULL && f->kind == LC_FLOW_OWNED)
    (void)lc_flow_agent__deliver (a, f, &of_caller, false, now_us);
  else if (!packet->is_reset) /* a reset is for a flow that it no longer holds */
    {
      (void)lc_flow_agent__accept (a, f, &of_caller, now_us);
      lc_flow_finder_end_answered (a, &of_caller.key, now_us);
    }
  f = lc_flow_table_find (&a->table, &of_caller.key, lc_flow_key_hash (&of_caller.key));
  if (f == NULL || f->kind != LC_FLOW_OWNED)
    return answer;
  f->flags |= LC_FLOW_ANSWERED;
  if (!packet->is_accept && (int32_t)(packet->acknowledged - f->data_end) > 0)
    f->data_end = packet->acknowledged;
  lc_flow_return__record_outcome (a, f, packet, now_us);
  if (lc_flow_return__has_data (packet) || packet->is_last)
    lc_flow_agent__end_request (a, f);
  return answer;
}

bool
lc_flow_return_next_held (LcFlowAgent *a, LcFlowHeld *held, int64_t now_us)
{
  uint32_t flow;

  if (a->held->len > 0)
    {
      *held = g_array_index (a->held, LcFlowHeld, 0);
      g_array_remove_index (a->held, 0);
      return true;
    }
  held->is_released = lc_flow_gate_pass_next (&a->gate, now_us, &flow);
  if (!held->is_released && !lc_flow_gate_drop_expired (&a->gate, now_us, &flow))
    return false;
  held->flow = flow;
  a->table.flows[flow].flags &= (uint8_t)~LC_FLOW_HELD;
  if (held->is_released)
    a->table.flows[flow].work_ms = lc_flow_return__ms (now_us);
  else
    a->table.flows[flow].flags &= (uint8_t)~LC_FLOW_AT_WORK;
  return true;
}

bool
lc_flow_return_next_reset (LcFlowAgent *a, LcPacket *packet)
{
  if (a->resets->len == 0)
    return false;
  *packet = g_array_index (a->resets, LcPacket, a->resets->len - 1);
  g_array_set_size (a->resets, a->resets->len - 1);
  return true;
}
