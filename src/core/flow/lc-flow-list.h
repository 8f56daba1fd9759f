/* lc-flow-list: corrections of an envelope's candidate list by the receiving agent's newer view.
 *
 * WHAT IT IS
 *   A balancer's list may be stale, may rank its set by an older view, or may lack a set that has
 *   just settled.  The agent corrects it from its own view before it makes a forwarding decision.
 *
 * HOW TO USE IT
 *   Called by the lc-flow-agent modules only:
 *     if (lc_flow_list_is_stale (agent, &envelope))
 *       lc_flow_list_renew (agent, &envelope, &packet);
 *     lc_flow_list_correct_rank (agent, &envelope);
 *     lc_flow_list_extend (agent, &envelope, &packet, now_us);
 */
#ifndef LC_FLOW_LIST_H
#define LC_FLOW_LIST_H

#include "lc-flow-agent.h"

#ifdef __cplusplus
extern "C"
{
#endif

  /* Makes this candidate the assigner, adding it if it is not listed; false: the list is full. */
  bool lc_flow_list_set_assigner (LcEnvelope *envelope, const LcCandidate *assigner);
  /* Whether the list is older than the settled revision, so that it may lack every home. */
  bool lc_flow_list_is_stale (const LcFlowAgent *agent, const LcEnvelope *envelope);
  /* Replaces the list by that of this agent's view; false: no candidate.  hops_left stays. */
  bool lc_flow_list_renew (LcFlowAgent *agent, LcEnvelope *envelope, const LcPacket *packet);
  /* Corrects the rank of a set that the balancer took for the current one. */
  void lc_flow_list_correct_rank (const LcFlowAgent *agent, LcEnvelope *envelope);
  /* After each change of the view: saves the sets from before the oldest one settled. */
  void lc_flow_list_remember_settling (LcFlowAgent *agent, int64_t now_us);
  /* Adds the saved sets' candidates to the list for LC_FLOW_SETTLE_US after a set has settled. */
  void lc_flow_list_extend (const LcFlowAgent *agent,
                            LcEnvelope *envelope,
                            const LcPacket *packet,
                            int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif /* LC_FLOW_LIST_H */
