/* lc-flow-packets: bounded packet store, first in, first out for each flow.
 *
 * WHAT IT IS
 *   Stores packets of LC_FLOW_ACTION_HOLD, by flow, until lc-flow-gate passes or drops them, and of
 *   LC_FLOW_ACTION_SEARCH, by search slot.  A retransmitted copy is not stored twice.
 *
 * HOW TO USE IT
 *     if (!lc_flow_packets_put (&held, flow, bytes, len))
 *       it is lost, as in a full queue: its caller retransmits it
 *     while ((packet = lc_flow_packets_take (&held, flow)) != NULL)
 *       send packet->bytes
 *     lc_flow_packets_drop (&held, flow);
 *     lc_flow_packets_finish (&held);
 *
 * LIFETIME
 *   All zeros: empty.  What `take` returns is valid until the next call.
 *
 * LIMITS
 *   LC_FLOW_PACKETS_MAX packets of at most LC_FLOW_PACKETS_BYTES bytes: two for each request
 *   that may wait.  Memory grows on demand and is kept until `finish`.
 */
#ifndef LC_FLOW_PACKETS_H
#define LC_FLOW_PACKETS_H

#include "core/lc-types.h"

#include <glib.h>

enum
{
  LC_FLOW_PACKETS_MAX = 512,
  LC_FLOW_PACKETS_BYTES = 1248, /* longest packet with its header, LC_PACKET_RETURNING format */
};

typedef struct
{
  uint32_t flow;
  uint16_t len;
  uint8_t bytes[LC_FLOW_PACKETS_BYTES];
} LcFlowPacket;

typedef struct
{
  GArray *packets; /* LcFlowPacket, oldest first; NULL: none yet */
  LcFlowPacket taken;
  uint64_t full_total;
} LcFlowPackets;

bool lc_flow_packets_put (LcFlowPackets *held, uint32_t flow, const uint8_t *bytes, size_t len);
/* Removes and returns the flow's oldest; NULL: none. */
LcFlowPacket *lc_flow_packets_take (LcFlowPackets *held, uint32_t flow);
void lc_flow_packets_drop (LcFlowPackets *held, uint32_t flow);
void lc_flow_packets_finish (LcFlowPackets *held);

#endif /* LC_FLOW_PACKETS_H */
