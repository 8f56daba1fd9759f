/* lc-envelope-list: corrections of an envelope's candidate list by the agent's newer view.
 *
 * WHAT IT IS
 *   A balancer's list may be stale, may rank its set by an older view, or may lack a set that has
 *   just settled.  The agent corrects it before it decides.
 *
 * HOW TO USE IT
 *   Called by the lc-flow-agent modules only.
 */
#ifndef LC_ENVELOPE_LIST_H
#define LC_ENVELOPE_LIST_H

#include "lc-flow-agent.h"

#ifdef __cplusplus
extern "C"
{
#endif

  /* Adds it if it is not listed; false: the list is full. */
  bool lc_envelope_list_set_assigner (LcEnvelope *envelope, const LcCandidate *assigner);
  bool lc_envelope_list_is_stale (const LcFlowAgent *agent, const LcEnvelope *envelope);
  /* Replaces the list by that of this agent's view, but keeps hops_left; false: no candidate. */
  bool lc_envelope_list_replace (LcFlowAgent *agent, LcEnvelope *envelope, const LcPacket *packet);
  void lc_envelope_list_correct_rank (const LcFlowAgent *agent, LcEnvelope *envelope);
  /* Saves the sets from before the oldest one settled; after each change of the view. */
  void lc_envelope_list_save_settling (LcFlowAgent *agent, int64_t now_us);
  /* Adds the saved sets' candidates, for LC_FLOW_SETTLE_US after a set has settled. */
  void lc_envelope_list_extend (const LcFlowAgent *agent,
                                LcEnvelope *envelope,
                                const LcPacket *packet,
                                int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif /* LC_ENVELOPE_LIST_H */
