/* lc-flow-pointers: registration of owned flows with their homes, and hand-over of owned flows.
 *
 * WHAT IT IS
 *   The part of lc-flow-agent that talks to other agents.  The homes of a flow are the list that
 *   lc_candidates_pick gives for this agent's own sets; bit i of LcFlow.acked says that entry i
 *   has acknowledged.
 *
 * HOW TO USE IT
 *   Called by lc-flow-agent only.
 *
 * LIMITS
 *   Registrations after a change are sent at a bounded rate (desc.registrations_tick), those of new
 *   flows at once.
 */
#ifndef LC_FLOW_POINTERS_H
#define LC_FLOW_POINTERS_H

#include "lc-flow-agent.h"

#ifdef __cplusplus
extern "C"
{
#endif

  /* Whether the view knows that the process is gone.  `revision` is a view in which it was. */
  bool lc_flow_view_is_gone (const LcView *view, const LcCandidate *who, LcRevision revision);

  /* A flow is owned from now on, or its registration is due again: tell the homes. */
  void lc_flow_pointers_start (LcFlowAgent *agent, LcFlow *flow);
  /* The candidate sets changed: find the homes that lack a pointer. */
  void lc_flow_pointers_sets_changed (LcFlowAgent *agent);
  /* The flow ended: tell the homes once; their pointers expire if that is lost. */
  void lc_flow_pointers_end (LcFlowAgent *agent, LcFlow *flow);
  /* Sends what is due, oldest first. */
  void lc_flow_pointers_flush (LcFlowAgent *agent, int64_t now_us);

  /* The messages about flows. */
  void lc_flow_pointers_register (LcFlowAgent *agent, const LcFlowMessage *message, int64_t now_us);
  void lc_flow_pointers_contested (LcFlowAgent *agent, const LcFlowMessage *message);
  void lc_flow_pointers_acked (LcFlowAgent *agent, const LcFlowMessage *message, int64_t now_us);
  void lc_flow_pointers_adopt (LcFlowAgent *agent, const LcFlowMessage *message, int64_t now_us);
  void lc_flow_pointers_adopted (LcFlowAgent *agent, const LcFlowMessage *message, int64_t now_us);

  /* Offers owned flows of a leaving agent to adopters, and adopted flows back to their own agent
   * when it has returned; at most `budget` a call. */
  void lc_flow_pointers_hand_over (LcFlowAgent *agent, uint32_t budget, int64_t now_us);

  /* Ends ownership without a word to the homes. */
  void lc_flow_pointers_disown (LcFlowAgent *agent, LcFlow *flow);

  /* Another agent says who owns the flow.  False: the flow is owned here, or the view knows that
   * owner to be gone. */
  bool lc_flow_pointers_learn (LcFlowAgent *agent,
                               const LcFlowKey *key,
                               const LcCandidate *owner,
                               LcRevision revision,
                               int64_t now_us);

  /* Room in a batch of messages of this kind to this agent. */
  LcFlowEntry *
  lc_flow_pointers_entry (LcFlowAgent *agent, LcFlowMessageKind kind, const LcCandidate *to);
  LcFlowMessage *
  lc_flow_pointers_message (LcFlowAgent *agent, LcFlowMessageKind kind, const LcCandidate *to);

#ifdef __cplusplus
}
#endif

#endif /* LC_FLOW_POINTERS_H */
