#include "lc-flow-agent-private.h"
#include "lc-envelope-list.h"
#include "lc-flow-pointers.h"

#include <string.h>

#define LC_FLOW_ENDED_US (30 * LC_US_PER_S)
#define LC_FLOW_UNCONFIRMED_US (10 * LC_US_PER_S)

/* === private: state for steering =========================================================== */

/* Checked here too: an assigner with an older view may still choose this endpoint. */
bool
lc_flow_agent__is_evacuated (const LcFlowAgent *a)
{
  return a->view != NULL && lc_view_is_evacuated (a->view, a->dc);
}

LcRegionMask
lc_flow_agent__home_regions (const LcFlowAgent *a, const LcFlowKey *key)
{
  const LcAddress *address =
      a->view != NULL ? lc_view_address (a->view, key->target_ipv4, key->target_port, key->protocol)
                      : NULL;

  return address != NULL ? lc_view_home_regions (a->view, address->homes) : LC_REGIONS_ALL;
}

bool
lc_flow_agent__is_in_home_region (const LcFlowAgent *a, const LcFlowKey *key)
{
  LcRegionMask regions = lc_flow_agent__home_regions (a, key);

  return regions == LC_REGIONS_ALL || lc_region_is_in (regions, lc_view_region (a->view, a->dc));
}

static LcSteerSelf
lc_flow_agent__self (const LcFlowAgent *a, const LcFlowKey *key)
{
  return (LcSteerSelf){ .agent = a->desc.self,
                        .service_id = a->desc.service_id,
                        .is_leaving = a->is_leaving || lc_flow_agent__is_evacuated (a) ||
                                      !lc_flow_agent__is_in_home_region (a, key),
                        .is_full = lc_flow_agent_open_flows (a) >= a->desc.connection_limit,
                        .is_cut_off = a->is_cut_off,
                        .is_settled = lc_candidate_sets_settled (&a->sets) };
}

LcSteerEntry
lc_flow_agent__describe_entry (const LcFlowAgent *a, const LcFlow *f)
{
  LcSteerEntry known = { .kind = LC_FLOW_FREE };

  if (f == NULL)
    return known;
  known.kind = f->kind;
  known.other = (LcCandidate){ f->endpoint_id, f->ipv4, f->instance, f->port };
  known.is_confirmed = (f->flags & LC_FLOW_CONFIRMED) != 0;
  known.rank = f->revision;
  if (f->kind == LC_FLOW_POINTER)
    known.is_live = !lc_flow_view_is_gone (a->view, &known.other, f->revision);
  else if (f->kind == LC_FLOW_PENDING)
    known.is_live = !lc_flow_view_is_gone (a->view, &known.other, 0);
  return known;
}

bool
lc_flow_agent__is_accepting (const LcFlowAgent *a)
{
  if (lc_flow_agent__is_evacuated (a) || a->is_leaving ||
      a->backend == LC_FLOW_BACKEND_UNAVAILABLE ||
      (a->backend == LC_FLOW_BACKEND_UNCONFIRMED && a->has_returned_first))
    return false;
  /* If backend servers return packets, an agent that control counts as lost does no harm. */
  return a->desc.returns_packets || !a->is_cut_off;
}

bool
lc_flow_agent__may_accept (const LcFlowAgent *a, int64_t now_us)
{
  return lc_flow_agent__is_accepting (a) && lc_warmup_limit_allows (&a->first_packets, now_us);
}

/* === private: health of the backend server ================================================= */

/* A backend server that fails every request at once looks idle and would get all new flows.  It is
 * ejected after three consecutive failures, first for as long as a few requests take elsewhere. */
static const LcOutlierDesc LC_FLOW_OUTLIER = {
  .failures = 3,
  .first_us = 300 * LC_US_PER_MS,
  .longest_us = 5 * LC_US_PER_S,
};

void
lc_flow_agent__record_failure (LcFlowAgent *a, int64_t now_us)
{
  if (lc_outlier_record_failure (&a->outlier, &LC_FLOW_OUTLIER, now_us))
    a->counts.ejected_total++;
}

void
lc_flow_agent__record_success (LcFlowAgent *a)
{
  lc_outlier_record_success (&a->outlier);
}

bool
lc_flow_agent__looks_bad (const LcFlowAgent *a, int64_t now_us)
{
  return a->looks_bad || lc_outlier_is_ejected (&a->outlier, now_us);
}

/* Updates this agent's own entry in the assigner's peer list. */
static void
lc_flow_agent__update_own_peer (LcFlowAgent *a, int64_t now_us)
{
  LcAssignPeer *self = lc_assign_find_peer (&a->assign, a->desc.self.id);

  if (self == NULL)
    return;
  self->open_flows = lc_flow_agent_open_flows (a);
  self->at_work = lc_flow_gate_load (&a->gate, now_us);
  self->byte_rate = a->byte_rate;
  self->is_accepting = lc_flow_agent__may_accept (a, now_us);
  self->looks_bad = lc_flow_agent__looks_bad (a, now_us);
  self->is_warm = a->is_warm;
}

static int64_t
lc_flow_agent__idle_us (const LcFlowAgent *a, const LcFlowKey *key)
{
  return key->protocol == LC_PROTOCOL_TCP ? lc_flow_agent__tcp_idle_us (a)
                                          : MAX (a->desc.udp_idle_us, a->service_idle_us);
}

/* === private: sending on ==================================================================== */

LcFlowAction
lc_flow_agent__drop (LcFlowAgent *a, LcDropReason reason)
{
  a->counts.dropped_total[reason]++;
  return (LcFlowAction){ .kind = LC_FLOW_ACTION_DROP, .reason = reason };
}

LcFlowAction
lc_flow_agent__send (LcFlowAgent *a, LcEnvelope *e, LcEnvelopeMode mode, const LcCandidate *to)
{
  LcFlowAction action = { .kind = LC_FLOW_ACTION_SEND };

  if (e->hops_left == 0)
    return lc_flow_agent__drop (a, LC_DROP_HOPS);
  e->hops_left--;
  e->mode = (uint8_t)mode;
  e->target_id = to->id;
  e->target_instance = to->instance;
  action.send.ipv4 = to->ipv4;
  action.send.port = to->port;
  a->counts.forwarded_total++;
  return action;
}

static bool
lc_flow_agent__is_gone (const LcFlowAgent *a, const LcEnvelope *e, const LcCandidate *who)
{
  return lc_flow_view_is_gone (a->view, who, e->revision);
}

/* === private: requests at work ============================================================== */

void
lc_flow_agent__end_request (LcFlowAgent *a, LcFlow *f)
{
  LcFlowHeld held = { .flow = lc_flow_table_index (&a->table, f) };

  if ((f->flags & (LC_FLOW_AT_WORK | LC_FLOW_HELD)) == 0)
    return;
  lc_flow_gate_remove (&a->gate, held.flow);
  if ((f->flags & LC_FLOW_HELD) != 0)
    g_array_append_val (a->held, held);
  f->flags &= (uint8_t) ~(LC_FLOW_AT_WORK | LC_FLOW_HELD);
}

/* === private: taking and assigning ========================================================== */

LcFlowAction
lc_flow_agent__deliver (LcFlowAgent *a, LcFlow *f, const LcPacket *packet, bool is_new, int64_t now)
{
  LcFlowAction action = { .kind = LC_FLOW_ACTION_DELIVER };
  int64_t idle_us = lc_flow_agent__idle_us (a, &packet->key);
  bool was_ended = (f->flags & LC_FLOW_ENDED) != 0;
  bool is_ended = packet->is_last ||
                  (was_ended && !(packet->may_open && packet->key.protocol == LC_PROTOCOL_TCP));

  if (was_ended != is_ended)
    {
      f->flags ^= LC_FLOW_ENDED;
      if ((f->flags & LC_FLOW_ADOPTED) == 0)
        a->n_ended += is_ended ? 1 : -1;
    }
  f->expiry_tick = lc_flow_tick (now + (is_ended ? LC_FLOW_ENDED_US : idle_us)) + 1;
  if (is_ended && !was_ended)
    lc_flow_table_set_deadline (&a->table, f, now + LC_FLOW_ENDED_US);
  a->bytes_window += packet->total_len;
  a->counts.delivered_total++;
  action.deliver.flow = lc_flow_table_index (&a->table, f);
  action.deliver.is_new = is_new;
  if ((f->flags & LC_FLOW_ADOPTED) != 0)
    {
      action.deliver.backend_ipv4 = f->ipv4;
      action.deliver.backend_port = f->port;
    }
  return action;
}

/* Changes the entry's kind and clears its flags.  An owned entry is first removed from the queue of
 * registrations and the counts: left in the queue without LC_FLOW_QUEUED it would break the queue's
 * links, and the next flush would read outside the table. */
static void
lc_flow_agent__change_kind (LcFlowAgent *a, LcFlow *f, LcFlowKind kind)
{
  if (f->kind == LC_FLOW_OWNED)
    lc_flow_pointers_disown (a, f, LC_FLOW_RELEASE_REPLACED, NULL);
  lc_flow_agent__end_request (a, f);
  lc_flow_table_set_kind (&a->table, f, kind);
  f->flags = 0;
}

LcFlowAction
lc_flow_agent__accept (LcFlowAgent *a, LcFlow *f, const LcPacket *packet, int64_t now_us)
{
  if (f == NULL)
    f = lc_flow_table_add (&a->table, &packet->key, lc_flow_key_hash (&packet->key));
  if (f == NULL)
    return lc_flow_agent__drop (a, LC_DROP_NO_MEMORY);
  if (packet->may_open)
    lc_warmup_limit_record (&a->first_packets, now_us);
  lc_flow_agent__change_kind (a, f, LC_FLOW_OWNED);
  f->began_ms = 0;
  f->data_end = 0;
  f->endpoint_id = 0;
  f->instance = 0;
  f->epoch = 0;
  f->offered_id = 0;
  f->relay_port = 0;
  f->dc = a->arrival_dc;
  /* The first check comes no later than the idle timeout. */
  lc_flow_table_set_deadline (
      &a->table, f, now_us + MIN (a->desc.refresh_us, lc_flow_agent__idle_us (a, &packet->key)));
  lc_flow_pointers_begin_registration (a, f);
  a->counts.accepted_total++;
  return lc_flow_agent__deliver (a, f, packet, true, now_us);
}

/* Stores an unconfirmed pointer at the assigner until the owner registers the flow. */
static bool
lc_flow_agent__store_unconfirmed (
    LcFlowAgent *a, LcFlow *f, const LcPacket *packet, const LcCandidate *owner, int64_t now_us)
{
  if (f == NULL)
    f = lc_flow_table_add (&a->table, &packet->key, lc_flow_key_hash (&packet->key));
  if (f == NULL)
    return false;
  lc_flow_agent__change_kind (a, f, LC_FLOW_POINTER);
  f->endpoint_id = owner->id;
  f->instance = owner->instance;
  f->ipv4 = owner->ipv4;
  f->port = owner->port;
  f->revision = a->view->revision;
  f->epoch = 0;
  lc_flow_table_set_deadline (&a->table, f, now_us + LC_FLOW_UNCONFIRMED_US);
  return true;
}

LcFlowAction
lc_flow_agent__assign (
    LcFlowAgent *a, LcEnvelope *e, LcFlow *f, const LcPacket *packet, int64_t now_us)
{
  const LcAssignPeer *peer;
  int i;

  if (e->mode == LC_MODE_REFUSED)
    lc_assign_record_refusal (&a->assign, e->stray_id, now_us);
  lc_flow_agent__update_own_peer (a, now_us);
  i = lc_assign_choose (&a->assign, lc_flow_key_hash (&packet->key), e->dc,
                        lc_flow_agent__home_regions (a, &packet->key), now_us);
  if (i < 0)
    return lc_flow_agent__drop (a, a->assign.failure);
  a->counts.assigned_total++;
  peer = &a->assign.peers[i];
  if (peer->agent.id == a->desc.self.id)
    return lc_flow_agent__accept (a, f, packet, now_us);
  a->counts.assigned_away_total++;
  lc_assign_count_flow (&a->assign, i);
  if (!lc_flow_agent__store_unconfirmed (a, f, packet, &peer->agent, now_us))
    return lc_flow_agent__drop (a, LC_DROP_NO_MEMORY);
  if (!lc_envelope_list_set_assigner (e, &a->desc.self))
    return lc_flow_agent__drop (a, LC_DROP_HOPS);
  a->last_busy_us = now_us;
  return lc_flow_agent__send (a, e, LC_MODE_OPEN, &peer->agent);
}

/* === private: carrying out a steering decision ============================================= */

static LcFlowAction lc_flow_agent__apply_rule (
    LcFlowAgent *a, LcEnvelope *e, const LcPacket *packet, int64_t now_us, bool may_renew);

/* Stores a PENDING entry for the assigner that is queried.  An older set's entry stays while its
 * assigner is alive, and so do an owned flow and a confirmed pointer: the walk of a packet for an
 * earlier process at this address may end here. */
static void
lc_flow_agent__store_pending (
    LcFlowAgent *a, LcFlow *f, const LcEnvelope *e, const LcPacket *packet, int64_t now_us)
{
  const LcCandidate *assigner = &e->candidates[e->assigner];
  LcSteerEntry known = lc_flow_agent__describe_entry (a, f);
  bool is_other = known.kind == LC_FLOW_PENDING && known.is_live && known.rank < e->set_rank;
  bool is_known = known.kind == LC_FLOW_OWNED ||
                  (known.kind == LC_FLOW_POINTER && known.is_live && known.is_confirmed &&
                   !lc_steer_is_stale_pointer (e, &known.other));

  if (f == NULL)
    f = lc_flow_table_add (&a->table, &packet->key, lc_flow_key_hash (&packet->key));
  if (f == NULL || is_other || is_known)
    return;
  lc_flow_agent__change_kind (a, f, LC_FLOW_PENDING);
  f->endpoint_id = assigner->id;
  f->instance = assigner->instance;
  f->ipv4 = assigner->ipv4;
  f->port = assigner->port;
  f->revision = e->set_rank;
  lc_flow_table_set_deadline (&a->table, f, now_us + LC_FLOW_PENDING_US);
}

/* The assigner is this agent itself.  The packet may have been addressed to an earlier process at
 * this address, so that the table was not consulted: steers it again in ASSIGN mode. */
static LcFlowAction
lc_flow_agent__resteer_as_assigner (LcFlowAgent *a,
                                    LcEnvelope *e,
                                    const LcPacket *packet,
                                    int64_t now_us)
{
  e->mode = LC_MODE_ASSIGN;
  e->target_id = a->desc.self.id;
  e->target_instance = a->desc.self.instance;
  return lc_flow_agent__apply_rule (a, e, packet, now_us, false);
}

static LcFlowAction
lc_flow_agent__send_to_assigner (LcFlowAgent *a,
                                 LcEnvelope *e,
                                 const LcPacket *packet,
                                 const LcCandidate *to,
                                 int64_t now_us,
                                 bool may_renew)
{
  LcCandidate assigner = *to;

  if (lc_candidate_equal (&assigner, &a->desc.self))
    return lc_flow_agent__resteer_as_assigner (a, e, packet, now_us);
  if (lc_flow_agent__is_gone (a, e, &assigner))
    {
      if (!may_renew || e->revision >= a->view->revision ||
          !lc_envelope_list_replace (a, e, packet))
        return lc_flow_agent__drop (a, LC_DROP_NO_ENDPOINT);
      return lc_flow_agent__steer (a, e, packet, now_us, false);
    }
  if (!lc_envelope_list_set_assigner (e, &assigner))
    return lc_flow_agent__drop (a, LC_DROP_HOPS);
  return lc_flow_agent__send (a, e, LC_MODE_ASSIGN, &assigner);
}

static LcFlowAction
lc_flow_agent__continue_walk (LcFlowAgent *a,
                              LcEnvelope *e,
                              LcFlow *f,
                              const LcPacket *packet,
                              const LcSteerDecision *s,
                              int64_t now_us,
                              bool may_renew)
{
  LcCandidate assigner;

  if (s->next.is_stray)
    {
      e->stray_id = e->target_id;
      e->stray_instance = e->target_instance;
    }
  if (s->next.is_pending)
    lc_flow_agent__store_pending (a, f, e, packet, now_us);
  for (e->hop = s->next.hop; e->hop < e->n; e->hop++)
    if (!lc_flow_agent__is_gone (a, e, &e->candidates[e->hop]))
      return lc_flow_agent__send (a, e, LC_MODE_WALK, &e->candidates[e->hop]);
  e->hop = (uint8_t)(e->n - 1);
  if (!packet->may_open)
    return lc_flow_agent__drop (a, LC_DROP_NO_OWNER);
  assigner = e->candidates[e->assigner];
  return lc_flow_agent__send_to_assigner (a, e, packet, &assigner, now_us, may_renew);
}

LcFlowAction
lc_flow_agent__refuse (LcFlowAgent *a, LcEnvelope *e, LcDropReason reason)
{
  LcCandidate assigner = e->candidates[e->assigner];

  a->counts.refused_total++;
  e->refusal = (uint8_t)reason;
  e->stray_id = a->desc.self.id;
  e->stray_instance = a->desc.self.instance;
  return lc_flow_agent__send (a, e, LC_MODE_REFUSED, &assigner);
}

/* Switches a walk that meets an older set's PENDING entry to that set's assigner, which other walks
 * that met the entry query, too. */
static void
lc_flow_agent__follow_pending (const LcSteerEntry *known, LcEnvelope *e)
{
  if (known->kind != LC_FLOW_PENDING || !known->is_live || known->rank >= e->set_rank)
    return;
  if (e->mode == LC_MODE_WALK && lc_envelope_list_set_assigner (e, &known->other))
    e->set_rank = known->rank;
}

/* Counts a flow whose owner is gone as broken, once, at its first home. */
static void
lc_flow_agent__count_broken (LcFlowAgent *a, LcFlow *f, const LcSteerEntry *k, const LcEnvelope *e)
{
  if (k->kind != LC_FLOW_POINTER || !k->is_confirmed || k->is_live || e->mode != LC_MODE_WALK ||
      e->hop != 0)
    return;
  f->flags &= (uint8_t)~LC_FLOW_CONFIRMED;
  a->counts.broken_total++;
}

/* Whether the walk switched to an older assigner after it had passed its previous one (`passed`:
 * its index).  The PENDING entries on the way still name the previous one: it would assign another
 * copy of the first packet, and the flow would get a second owner. */
static bool
lc_flow_agent__must_return_walk (const LcFlowAgent *a,
                                 const LcEnvelope *e,
                                 const LcPacket *packet,
                                 uint8_t passed,
                                 const LcSteerDecision *s)
{
  const LcCandidate *to = &e->candidates[passed];

  if (e->mode != LC_MODE_WALK || !packet->may_open || passed == e->assigner || passed >= e->hop ||
      (s->kind != LC_STEER_NEXT && s->kind != LC_STEER_DEFER && s->kind != LC_STEER_ASSIGN))
    return false;
  return !lc_candidate_equal (to, &a->desc.self) && !lc_flow_agent__is_gone (a, e, to);
}

/* Returns the walk to its previous assigner, to store the older one's PENDING entry there or to
 * find what it has assigned meanwhile; from there the walk goes on behind this hop.  Walks that
 * meet the newer assigner's entries in between query it and are redirected by the older entry. */
static LcFlowAction
lc_flow_agent__return_walk (LcFlowAgent *a,
                            LcEnvelope *e,
                            LcFlow *f,
                            const LcPacket *packet,
                            const LcCandidate *to,
                            int64_t now_us)
{
  lc_flow_agent__store_pending (a, f, e, packet, now_us);
  return lc_flow_agent__send (a, e, LC_MODE_WALK, to);
}

static LcFlowAction
lc_flow_agent__apply_rule (
    LcFlowAgent *a, LcEnvelope *e, const LcPacket *packet, int64_t now_us, bool may_renew)
{
  LcFlow *f = lc_flow_table_find (&a->table, &packet->key, lc_flow_key_hash (&packet->key));
  LcSteerSelf self = lc_flow_agent__self (a, &packet->key);
  LcSteerEntry known = lc_flow_agent__describe_entry (a, f);
  uint8_t assigner = e->assigner; /* indexes stay valid: a list only grows */
  LcSteerDecision s;

  lc_flow_agent__count_broken (a, f, &known, e);
  lc_envelope_list_extend (a, e, packet, now_us);
  lc_flow_agent__follow_pending (&known, e);
  s = lc_steer_decide (&self, e, packet, &known);
  if (s.kind == LC_STEER_ASSIGN && e->mode == LC_MODE_WALK &&
      !lc_candidate_equal (&e->candidates[e->assigner], &self.agent))
    s = (LcSteerDecision){ .kind = LC_STEER_DEFER,
                           .to = e->candidates[e->assigner] }; /* sent back here */
  if (lc_flow_agent__must_return_walk (a, e, packet, assigner, &s))
    return lc_flow_agent__return_walk (a, e, f, packet, &e->candidates[assigner], now_us);
  switch (s.kind)
    {
    case LC_STEER_DELIVER:
      return lc_flow_agent__deliver (a, f, packet, false, now_us);
    case LC_STEER_TAKE:
      return lc_flow_agent__accept (a, f, packet, now_us);
    case LC_STEER_ASSIGN:
      return lc_flow_agent__assign (a, e, f, packet, now_us);
    case LC_STEER_NEXT:
      return lc_flow_agent__continue_walk (a, e, f, packet, &s, now_us, may_renew);
    case LC_STEER_DEFER:
      /* A packet for an earlier process at this address is looked up at the end of its walk;
       * otherwise the assigner would give the flow to a second owner. */
      if (known.kind == LC_FLOW_OWNED && self.service_id == e->service_id)
        return lc_flow_agent__deliver (a, f, packet, false, now_us);
      /* The last hop of a walk needs the PENDING entry as well. */
      if (e->mode == LC_MODE_WALK && self.service_id == e->service_id)
        lc_flow_agent__store_pending (a, f, e, packet, now_us);
      /* The rank is lowered to the older set's, or two assigners could defer to each other. */
      if (known.kind == LC_FLOW_PENDING && lc_candidate_equal (&s.to, &known.other))
        e->set_rank = MIN (e->set_rank, known.rank);
      return lc_flow_agent__send_to_assigner (a, e, packet, &s.to, now_us, may_renew);
    case LC_STEER_OWNER:
      return lc_flow_agent__send (a, e, LC_MODE_OWNER, &s.to);
    case LC_STEER_OPEN:
      if (!lc_envelope_list_set_assigner (e, &a->desc.self))
        return lc_flow_agent__drop (a, LC_DROP_HOPS);
      a->last_busy_us = now_us;
      return lc_flow_agent__send (a, e, LC_MODE_OPEN, &s.to);
    case LC_STEER_REFUSE:
      return lc_flow_agent__refuse (a, e, s.reason);
    case LC_STEER_DROP:
    default:
      return lc_flow_agent__drop (a, s.reason);
    }
}

LcFlowAction
lc_flow_agent__steer (
    LcFlowAgent *a, LcEnvelope *e, const LcPacket *packet, int64_t now_us, bool may_renew)
{
  if (!may_renew && !lc_candidate_equal (&e->candidates[0], &a->desc.self))
    return lc_flow_agent__send (a, e, LC_MODE_WALK, &e->candidates[0]); /* renewed just now */
  return lc_flow_agent__apply_rule (a, e, packet, now_us, may_renew);
}
