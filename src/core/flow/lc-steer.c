#include "lc-steer.h"

static LcSteerDecision
lc_steer__drop (LcDropReason reason)
{
  return (LcSteerDecision){ .kind = LC_STEER_DROP, .reason = reason };
}

static LcSteerDecision
lc_steer__to (LcSteerKind kind, const LcCandidate *to)
{
  return (LcSteerDecision){ .kind = kind, .to = *to };
}

/* To the next candidate; at the end of the list, to the assigner if the packet may open a flow. */
static LcSteerDecision
lc_steer__next_candidate (const LcEnvelope *e,
                          const LcPacket *packet,
                          bool is_pending,
                          bool is_stray)
{
  LcSteerDecision s = { .kind = LC_STEER_NEXT };

  if (e->hop + 1 < e->n)
    {
      s.next.hop = (uint8_t)(e->hop + 1);
      s.next.is_pending = is_pending;
      s.next.is_stray = is_stray;
      return s;
    }
  if (!packet->may_open)
    return lc_steer__drop (LC_DROP_NO_OWNER);
  return lc_steer__to (LC_STEER_DEFER, &e->candidates[e->assigner]);
}

static LcSteerDecision
lc_steer__misaddressed (const LcEnvelope *e, const LcPacket *packet)
{
  switch (e->mode)
    {
    case LC_MODE_WALK:
      return lc_steer__next_candidate (e, packet, false, false);
    case LC_MODE_OWNER:
      return lc_steer__next_candidate (e, packet, false, true);
    default:
      return lc_steer__drop (LC_DROP_WRONG_INSTANCE);
    }
}

/* This agent assigns the flow, unless a PENDING entry names an older assigner. */
static LcSteerDecision
lc_steer__assign (const LcSteerSelf *self, const LcEnvelope *e, const LcSteerEntry *known)
{
  if (known->kind == LC_FLOW_PENDING && known->is_live && known->rank < e->set_rank &&
      !lc_candidate_equal (&known->other, &self->agent))
    return lc_steer__to (LC_STEER_DEFER, &known->other);
  if (self->is_cut_off)
    return lc_steer__drop (LC_DROP_NO_ENDPOINT);
  return (LcSteerDecision){ .kind = LC_STEER_ASSIGN };
}

static LcSteerDecision
lc_steer__open (const LcSteerSelf *self)
{
  if (self->is_leaving || self->is_cut_off)
    return (LcSteerDecision){ .kind = LC_STEER_REFUSE, .reason = LC_DROP_LEAVING };
  if (self->is_full)
    return (LcSteerDecision){ .kind = LC_STEER_REFUSE, .reason = LC_DROP_LIMIT };
  return (LcSteerDecision){ .kind = LC_STEER_TAKE };
}

/* A PENDING entry whose assigner is gone shows that a packet passed here while sets were settling;
 * a later agent may have added an older assigner to its list.  So the rest of the list has to be
 * visited before this agent may assign. */
static bool
lc_steer__may_assign_here (const LcSteerSelf *self, const LcEnvelope *e, const LcSteerEntry *known)
{
  bool is_last = e->hop + 1 == e->n;
  bool is_orphaned = known->kind == LC_FLOW_PENDING && !known->is_live;
  bool is_settled = e->set_rank == UINT64_MAX && self->is_settled && !is_orphaned;

  return e->hop == e->assigner && (is_last || is_settled);
}

static LcSteerDecision
lc_steer__without_entry (const LcSteerSelf *self,
                         const LcEnvelope *e,
                         const LcPacket *packet,
                         const LcSteerEntry *known)
{
  switch (e->mode)
    {
    case LC_MODE_OPEN:
      return lc_steer__open (self);
    case LC_MODE_OWNER:
      return lc_steer__next_candidate (e, packet, false, true);
    case LC_MODE_ASSIGN:
    case LC_MODE_REFUSED:
      if (!packet->may_open)
        return lc_steer__drop (LC_DROP_NO_OWNER);
      return lc_steer__assign (self, e, known);
    case LC_MODE_WALK:
    default:
      if (packet->may_open && lc_steer__may_assign_here (self, e, known))
        return lc_steer__assign (self, e, known);
      return lc_steer__next_candidate (e, packet, packet->may_open, false);
    }
}

/* Two agents have each sent the flow to the other to own: the one of lower id takes it. */
static bool
lc_steer__is_mutual_open (const LcSteerSelf *self, const LcEnvelope *e, const LcSteerEntry *known)
{
  return e->mode == LC_MODE_OPEN && !known->is_confirmed && self->agent.id < known->other.id &&
         lc_candidate_equal (&known->other, &e->candidates[e->assigner]);
}

LcSteerDecision
lc_steer_decide (const LcSteerSelf *self,
                 const LcEnvelope *e,
                 const LcPacket *packet,
                 const LcSteerEntry *known)
{
  if (e->service_id != self->service_id || e->target_id != self->agent.id ||
      e->target_instance != self->agent.instance)
    return lc_steer__misaddressed (e, packet);
  if (known->kind == LC_FLOW_OWNED)
    return (LcSteerDecision){ .kind = LC_STEER_DELIVER };
  if (known->kind == LC_FLOW_POINTER && known->is_live &&
      !lc_steer_is_stale_pointer (e, &known->other) &&
      !lc_candidate_equal (&known->other, &self->agent) &&
      !lc_steer__is_mutual_open (self, e, known))
    {
      if (known->is_confirmed || !packet->may_open)
        return lc_steer__to (LC_STEER_OWNER, &known->other);
      return lc_steer__to (LC_STEER_OPEN, &known->other);
    }
  return lc_steer__without_entry (self, e, packet, known);
}
