/* lc-balancer-flow: the flow plane of a balancer, a stateless packet forwarder.
 *
 * WHAT IT IS
 *   The I/O around lc-flow-balancer: one UDP port.  A datagram from the fabric is a caller's IPv4
 *   packet, which is sent on to an agent behind an envelope.  There is no state per flow, so a
 *   planned stop has nothing to hand over and a crash loses only packets in transit.
 *
 * PLANNED STOP
 *   Forwarding goes on while the fabric still sends; the plane is idle after
 *   LC_BALANCER_FLOW_QUIET_US without a packet.
 *
 * THREADS
 *   Called on app->loop's thread.
 */
#ifndef LC_BALANCER_FLOW_H
#define LC_BALANCER_FLOW_H

#include "lc-balancer-settings.h"

#include "controller/lc-member.h"
#include "core/flow/lc-flow-balancer.h"
#include "core/flow/lc-packet-buffer.h"
#include "io/lc-datagram.h"
#include "io/lc-flow-log.h"
#include "io/lc-flow-meter.h"

#define LC_BALANCER_FLOW_QUIET_US (500 * LC_US_PER_MS)

typedef struct
{
  LcApp *app;
  const LcBalancerSettings *settings;
  const LcMember *member;
  LcInstance instance; /* of this process */
} LcBalancerFlowDesc;

typedef struct
{
  LcBalancerFlowDesc desc;
  LcFlowBalancer balancer;
  LcDatagram port;
  LcProbeDetector probes;
  LcPacketBuffer buffer;
  LcTimer timer;
  LcFlowMeter meter;
  int64_t last_packet_us;
  bool is_draining;
  bool is_isolated;       /* no agent answers probes */
  int64_t drain_until_us; /* a planned stop forwards at least until then */
  uint64_t reset_total;
  uint64_t steered_total;
  uint64_t dropped_total[LC_N_DROP_REASONS];
  LcFlowLog log;
  LcLogLimit probe_log_limit;
} LcBalancerFlow;

int lc_balancer_flow_init (LcBalancerFlow *plane, const LcBalancerFlowDesc *desc, LcError *error);
void lc_balancer_flow_finish (LcBalancerFlow *plane);
/* After each batch of operations, or with `is_reset` after the view was replaced. */
void lc_balancer_flow_handle_view (
    LcBalancerFlow *plane, const LcView *view, const LcViewOp *ops, size_t n_ops, bool is_reset);
/* Closes the link: this plane has no frames. */
void lc_balancer_flow_handle_frame (LcBalancerFlow *plane, LcLink *link, const LcFrame *frame);
void lc_balancer_flow_handle_link_down (LcBalancerFlow *plane, LcLink *link);
/* Begins a planned stop. */
void lc_balancer_flow_drain (LcBalancerFlow *plane);
/* Whether no agent answers probes, so that nothing can be forwarded. */
bool lc_balancer_flow_is_isolated (const LcBalancerFlow *plane);
bool lc_balancer_flow_is_idle (const LcBalancerFlow *plane);

#endif
