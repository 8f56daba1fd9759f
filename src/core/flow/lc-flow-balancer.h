/* lc-flow-balancer: the flow plane of one balancer, without its sockets.
 *
 * WHAT IT IS
 *   From a caller's packet and the view to an envelope and the agent to send it to.  It holds
 *   compiled candidate sets of each service and nothing of any flow.
 *
 * HOW TO USE IT
 *     lc_flow_balancer_init (&balancer, dc);
 *     lc_flow_balancer_set_view (&balancer, view);       after each change of the view
 *     r = lc_flow_balancer_steer (&balancer, &packet, &envelope, &to);
 *     lc_flow_balancer_finish (&balancer);
 *
 * LIFETIME
 *   `view` must stay valid until the next set_view or finish.
 */
#ifndef LC_FLOW_BALANCER_H
#define LC_FLOW_BALANCER_H

#include "lc-candidates.h"
#include "lc-envelope.h"
#include "lc-flow-key.h"
#include "lc-reach.h"

#ifdef __cplusplus
extern "C"
{
#endif

  enum
  {
    LC_FLOW_BALANCER_CACHE = 1024, /* addresses whose look-up is remembered */
  };

  /* What was found for one address; forgotten with the view. */
  typedef struct
  {
    uint32_t ipv4;
    uint16_t port;
    uint8_t protocol;
    LcRegionMask regions;        /* that new flows to it are kept to */
    const LcCandidateSets *sets; /* NULL: empty */
  } LcFlowBalancerEntry;

  typedef struct
  {
    const LcView *view;
    GHashTable *services;         /* service id -> LcCandidateSets; compiled on first use */
    LcFlowBalancerEntry *entries; /* owned; direct-mapped by address */
    LcDcId dc;
    bool is_cut_off;
    bool has_suspects; /* some member of a set is marked as suspect */
    bool is_returning; /* backend servers return what they do not hold: lc-flow-return.h */
    uint32_t turn;
  } LcFlowBalancer;

  void lc_flow_balancer_init (LcFlowBalancer *balancer, LcDcId dc);
  void lc_flow_balancer_finish (LcFlowBalancer *balancer);
  /* Backend servers return what they do not hold: lists then name the newest homes alone, since
   * agents find the owner without a settled list. */
  void lc_flow_balancer_set_returning (LcFlowBalancer *balancer, bool is_returning);
  /* Forgets what was compiled from the view before. */
  void lc_flow_balancer_set_view (LcFlowBalancer *balancer, const LcView *view);
  /* The same for one service that changed. */
  void lc_flow_balancer_forget (LcFlowBalancer *balancer, LcServiceId service_id);

  /* Takes over which agents are suspect now; they are homes only where there is no other. */
  void
  lc_flow_balancer_mark_suspects (LcFlowBalancer *balancer, const LcReach *reach, int64_t now_us);

  /* Whether upstream was last heard so long ago that homes may have gone unseen: packets then go
   * through the endpoints of the service in turn, and whichever lives renews a stale list. */
  void lc_flow_balancer_set_cut_off (LcFlowBalancer *balancer, bool is_cut_off);

  /* 0, or a negative LcDropReason: no service at the address, or no endpoint. */
  int lc_flow_balancer_steer (LcFlowBalancer *balancer,
                              const LcPacket *packet,
                              LcEnvelope *envelope,
                              LcCandidate *to);

  /* The list of one flow as an envelope; shared with agents that renew a stale list. */
  bool lc_envelope_fill (LcEnvelope *envelope,
                         const LcCandidateSets *sets,
                         uint64_t key_hash,
                         LcRegionMask regions);

#ifdef __cplusplus
}
#endif

#endif /* LC_FLOW_BALANCER_H */
