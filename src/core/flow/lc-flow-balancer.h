/* lc-flow-balancer: stateless packet steering of one balancer, without its sockets.
 *
 * WHAT IT IS
 *   Computes, from a caller's packet and the view, the envelope and the agent to send it to.  It
 *   caches the compiled candidate sets of each service and keeps no state per flow.
 *
 *   A first packet goes to the service of its address.  Where backend servers return packets, the
 *   list of another packet has the homes of the address's former services too (lc-address.h): its
 *   flow may have been opened before the address was moved.
 *
 * HOW TO USE IT
 *     lc_flow_balancer_init (&balancer, dc);
 *     lc_flow_balancer_set_view (&balancer, view);       after each change of the view
 *     r = lc_flow_balancer_steer (&balancer, &packet, &envelope, &to);
 *     lc_flow_balancer_finish (&balancer);
 *
 * LIFETIME
 *   The view must stay valid until the next lc_flow_balancer_set_view or lc_flow_balancer_finish.
 */
#ifndef LC_FLOW_BALANCER_H
#define LC_FLOW_BALANCER_H

#include "lc-candidates.h"
#include "lc-envelope.h"
#include "lc-flow-key.h"
#include "lc-probe-detector.h"

#ifdef __cplusplus
extern "C"
{
#endif

  enum
  {
    LC_FLOW_BALANCER_CACHE = 1024, /* entries of the address cache */
  };

  /* A cached address look-up; dropped at each change of the view. */
  typedef struct
  {
    uint32_t ipv4;
    uint16_t port;
    uint8_t protocol;
    LcRegionMask regions;        /* to which its new flows are kept */
    const LcCandidateSets *sets; /* NULL: empty */
    const LcAddress *address;    /* in the view */
  } LcFlowBalancerEntry;

  typedef struct
  {
    const LcView *view;
    GHashTable *services;         /* service id -> LcCandidateSets; compiled on first use */
    LcFlowBalancerEntry *entries; /* owned; direct-mapped by address */
    LcDcId dc;
    bool is_cut_off;
    bool has_suspects;  /* some member of a set is marked as suspect */
    bool is_returning;  /* backend servers return packets of flows they lack: lc-flow-return.h */
    uint32_t n_detours; /* for round-robin */
  } LcFlowBalancer;

  void lc_flow_balancer_init (LcFlowBalancer *balancer, LcDcId dc);
  void lc_flow_balancer_finish (LcFlowBalancer *balancer);
  /* Backend servers return packets of flows they lack: lists then have the homes of the newest set
   * alone, since agents find the owner without a settled list. */
  void lc_flow_balancer_set_returning (LcFlowBalancer *balancer, bool is_returning);
  /* Drops all compiled sets. */
  void lc_flow_balancer_set_view (LcFlowBalancer *balancer, const LcView *view);
  /* Drops the compiled sets of one service that changed in the view. */
  void lc_flow_balancer_drop_service (LcFlowBalancer *balancer, LcServiceId service_id);

  /* Copies which agents are suspect: they are homes only where there are no others. */
  void lc_flow_balancer_mark_suspects (LcFlowBalancer *balancer,
                                       const LcProbeDetector *detector,
                                       int64_t now_us);

  /* The view has had no update for so long that homes may be gone unnoticed: packets then go first
   * to the endpoints of the service round-robin, and one that is alive replaces a stale list. */
  void lc_flow_balancer_set_cut_off (LcFlowBalancer *balancer, bool is_cut_off);

  /* Returns 0, or a negative LcDropReason: no service at the address, or no endpoint. */
  int lc_flow_balancer_steer (LcFlowBalancer *balancer,
                              const LcPacket *packet,
                              LcEnvelope *envelope,
                              LcCandidate *to);

  /* Fills in a flow's candidate list; false: none.  Agents use it to replace a stale list. */
  bool lc_envelope_fill (LcEnvelope *envelope,
                         const LcCandidateSets *sets,
                         uint64_t key_hash,
                         LcRegionMask regions);

#ifdef __cplusplus
}
#endif

#endif /* LC_FLOW_BALANCER_H */
