/* lc-flow-pointers: registration of owned flows with their homes, and hand-over of owned flows.
 *
 * WHAT IT IS
 *   The part of lc-flow-agent that exchanges messages about flows.  The homes of a flow are the
 *   list that lc_candidates_pick computes from this agent's own sets (lc_candidates_local_homes
 *   with desc.returns_packets); bit i of LcFlow.acked: entry i has acknowledged the registration.
 *   The bits are valid for one list only.  The list changes with the sets, the home regions and the
 *   data centre of the flow's packets; each of these carries the bits over or begins anew.
 *
 * HOW TO USE IT
 *   Called by the modules of lc-flow-agent only.
 *
 * LIMITS
 *   Registrations after a change of the sets are sent at a bounded rate (desc.registrations_tick),
 *   those of new flows at once.
 */
#ifndef LC_FLOW_POINTERS_H
#define LC_FLOW_POINTERS_H

#include "lc-flow-agent.h"

#ifdef __cplusplus
extern "C"
{
#endif

  /* Whether the process is lost or replaced in the view.  `revision`: of a view that had it. */
  bool lc_flow_view_is_gone (const LcView *view, const LcCandidate *who, LcRevision revision);

  /* Begins to register an owned flow with its homes, or repeats it. */
  void lc_flow_pointers_begin_registration (LcFlowAgent *agent, LcFlow *flow);
  /* Sets the data centre where an owned flow's packets come in, which decides its homes, and
   * registers the flow with those that have not acknowledged it. */
  void lc_flow_pointers_set_arrival_dc (LcFlowAgent *agent, LcFlow *flow, LcDcId dc);
  /* Finds the homes that lack a pointer after a change of the candidate sets. */
  void lc_flow_pointers_update_homes (LcFlowAgent *agent);
  /* Unregisters an ended flow, once; pointers expire if the message is lost. */
  void lc_flow_pointers_unregister (LcFlowAgent *agent, LcFlow *flow, LcFlowRelease reason);
  /* Sends the registrations that are due, oldest first. */
  void lc_flow_pointers_send_due (LcFlowAgent *agent, int64_t now_us);

  /* Message handlers. */
  void lc_flow_pointers_handle_registration (LcFlowAgent *agent,
                                             const LcFlowMessage *message,
                                             int64_t now_us);
  void lc_flow_pointers_handle_contest (LcFlowAgent *agent, const LcFlowMessage *message);
  void
  lc_flow_pointers_handle_ack (LcFlowAgent *agent, const LcFlowMessage *message, int64_t now_us);
  void lc_flow_pointers_handle_hand_over (LcFlowAgent *agent,
                                          const LcFlowMessage *message,
                                          int64_t now_us);
  void lc_flow_pointers_handle_hand_over_ack (LcFlowAgent *agent,
                                              const LcFlowMessage *message,
                                              int64_t now_us);

  /* Offers owned flows of a leaving agent to adopters, and adopted flows to their endpoint's new
   * process; at most `budget` a call. */
  void lc_flow_pointers_hand_over (LcFlowAgent *agent, uint32_t budget, int64_t now_us);

  /* Ends ownership without a message to the homes.  `by`: the other agent; NULL: none. */
  void lc_flow_pointers_disown (LcFlowAgent *agent,
                                LcFlow *flow,
                                LcFlowRelease reason,
                                const LcCandidate *by);

  /* Drops a pointer whose owner ended it or has stopped refreshing it.  If the own backend server may
   * hold the flow, the entry stays for an idle timeout, so that a search tries it. */
  void lc_flow_pointers_drop_pointer (LcFlowAgent *agent, LcFlow *flow, int64_t now_us);

  /* Stores a pointer to a reported owner.  False: the flow is owned here, that owner is gone in the
   * view, or the table is full. */
  bool lc_flow_pointers_store_reported (LcFlowAgent *agent,
                                        const LcFlowKey *key,
                                        const LcCandidate *owner,
                                        LcRevision revision,
                                        int64_t now_us);

  /* Adds an entry to a queued message of this kind, or to a new one. */
  LcFlowEntry *
  lc_flow_pointers_add_entry (LcFlowAgent *agent, LcFlowMessageKind kind, const LcCandidate *to);
  LcFlowMessage *
  lc_flow_pointers_add_message (LcFlowAgent *agent, LcFlowMessageKind kind, const LcCandidate *to);

#ifdef __cplusplus
}
#endif

#endif /* LC_FLOW_POINTERS_H */
