/* lc-steer: forwarding decision of an agent for one packet.
 *
 * WHAT IT IS
 *   A pure function from this agent's state, the envelope, the packet and the flow table's entry to
 *   a tagged union.  It changes nothing; lc-flow-agent carries the decision out.
 *
 * THE RULES, IN ORDER
 *   1. A packet for another service or instance is not looked up: it goes on along the list, or is
 *      dropped.
 *   2. The owner delivers.
 *   3. A pointer to a live owner forwards the packet there.  While the owner has not confirmed it,
 *      a packet that may open a flow goes as LC_MODE_OPEN, so that loss or reordering of the first
 *      one does no harm.
 *   4. Without an entry, a packet that can't open a flow visits the list and is dropped at its end.
 *      One that may open a flow visits it too, leaving PENDING entries, and only the assigner
 *      assigns it; on a settled list the assigner, being the first home, has an entry of every flow
 *      and assigns at once.
 *   5. Two lists may name two assigners: one balancer has seen a set settle, another has not.
 *      A packet with the older set's list passes the assigner of the newer set and leaves a PENDING
 *      entry there; the newer assigner then defers to the older.
 */
#ifndef LC_STEER_H
#define LC_STEER_H

#include "lc-envelope.h"
#include "lc-flow-key.h"
#include "lc-flow-table.h"

#ifdef __cplusplus
extern "C"
{
#endif

  typedef struct
  {
    LcCandidate agent;
    LcServiceId service_id;
    bool is_leaving; /* takes no new flow */
    bool is_full;    /* at its connection limit */
    bool is_cut_off; /* without contact for so long that others may count it as lost */
    bool is_settled; /* its own view has no unsettled set */
  } LcSteerSelf;

  /* The flow table's entry. */
  typedef struct
  {
    LcFlowKind kind;   /* LC_FLOW_FREE: no entry */
    LcCandidate other; /* POINTER: owner; PENDING: assigner */
    bool is_live;      /* `other` is not known to be gone */
    bool is_confirmed; /* POINTER */
    LcRevision rank;   /* PENDING: of the assigner's set; lower is older */
  } LcSteerEntry;

  typedef enum
  {
    LC_STEER_DELIVER = 1, /* to the backend server: this agent owns the flow */
    LC_STEER_TAKE = 2,    /* become the flow's owner, and deliver */
    LC_STEER_ASSIGN = 3,  /* choose an endpoint (lc-assign) */
    LC_STEER_NEXT = 4,    /* to the next candidate; `next` */
    LC_STEER_DEFER = 5,   /* to the assigner `to` */
    LC_STEER_OWNER = 6,   /* to the owner `to` */
    LC_STEER_OPEN = 7,    /* to the owner `to`, which has not confirmed yet */
    LC_STEER_REFUSE = 8,  /* back to the assigner, with `reason` */
    LC_STEER_DROP = 9,    /* with `reason` */
  } LcSteerKind;

  typedef struct
  {
    LcSteerKind kind;
    union
    {
      LcCandidate to;
      LcDropReason reason;
      struct
      {
        uint8_t hop;
        bool is_pending; /* add a PENDING entry */
        bool is_stray;   /* a stale pointer led here: put this agent into `stray_id` */
      } next;
    };
  } LcSteerDecision;

  LcSteerDecision lc_steer_decide (const LcSteerSelf *self,
                                   const LcEnvelope *envelope,
                                   const LcPacket *packet,
                                   const LcSteerEntry *known);

  /* Whether the envelope reports the pointer to this owner as stale. */
  static inline bool
  lc_steer_is_stale_pointer (const LcEnvelope *e, const LcCandidate *owner)
  {
    return e->stray_id == owner->id && e->stray_instance == owner->instance && e->stray_id != 0;
  }

#ifdef __cplusplus
}
#endif

#endif /* LC_STEER_H */
