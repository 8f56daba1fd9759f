/* lc-balancer-flow: the flow plane of a balancer: steers packets from the fabric.
 *
 * WHAT IT IS
 *   The thin task around lc-flow-balancer: one UDP port.  A datagram from the fabric is a caller's
 *   IPv4 packet; it goes to an agent with an envelope before it.  No state of any flow is kept, so
 *   a planned stop has nothing to hand over and a sudden death loses only packets under way.
 *
 * PLANNED STOP
 *   The plane steers on while the fabric still sends; it is idle once no packet came for
 *   LC_BALANCER_FLOW_QUIET_US.
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
  LcProbeDetector reach;
  LcPacketBuffer hold;
  LcTimer timer;
  LcFlowMeter meter;
  int64_t last_packet_us;
  bool is_draining;
  bool is_alone;         /* no agent answers its probes */
  int64_t hold_until_us; /* a planned stop steers until then, and until it is quiet */
  uint64_t reset_total;
  uint64_t steered_total;
  uint64_t dropped_total[LC_N_DROP_REASONS];
  LcFlowLog log;
  LcLogLimit reach_limit;
} LcBalancerFlow;

int lc_balancer_flow_init (LcBalancerFlow *plane, const LcBalancerFlowDesc *desc, LcError *error);
void lc_balancer_flow_finish (LcBalancerFlow *plane);
/* After each batch of operations; `is_reset` says that the whole view was replaced. */
void lc_balancer_flow_view (
    LcBalancerFlow *plane, const LcView *view, const LcViewOp *ops, size_t n_ops, bool is_reset);
/* A frame of this plane's range that the peer server received. */
void lc_balancer_flow_frame (LcBalancerFlow *plane, LcLink *link, const LcFrame *frame);
void lc_balancer_flow_link_down (LcBalancerFlow *plane, LcLink *link);
/* A planned stop begins: take nothing new, let what runs end. */
void lc_balancer_flow_drain (LcBalancerFlow *plane);
/* Whether it can't serve because no agent answers it. */
bool lc_balancer_flow_is_alone (const LcBalancerFlow *plane);
bool lc_balancer_flow_is_idle (const LcBalancerFlow *plane);

#endif
