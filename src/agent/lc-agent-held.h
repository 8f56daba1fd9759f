/* lc-agent-held: bounded packet store, first in, first out for each flow.
 *
 * WHAT IT IS
 *   Stores packets of LC_FLOW_ACTION_HOLD, by flow, until lc-flow-gate passes or drops them, and of
 *   LC_FLOW_ACTION_SEARCH, by search slot.  A retransmitted copy is not stored twice.
 *
 * HOW TO USE IT
 *     if (!lc_agent_held_put (&held, flow, bytes, len))
 *       it is lost, as in a full queue: its caller retransmits it
 *     while ((packet = lc_agent_held_take (&held, flow)) != NULL)
 *       send packet->bytes
 *     lc_agent_held_drop (&held, flow);
 *     lc_agent_held_finish (&held);
 *
 * LIFETIME
 *   All zeros: empty.  What `take` returns is valid until the next call.
 *
 * LIMITS
 *   LC_AGENT_HELD_MAX packets of at most LC_AGENT_HELD_BYTES bytes: two for each request
 *   that may wait.  Memory grows on demand and is kept until `finish`.
 */
#ifndef LC_AGENT_HELD_H
#define LC_AGENT_HELD_H

#include "core/lc-types.h"

#include <glib.h>

enum
{
  LC_AGENT_HELD_MAX = 512,
  LC_AGENT_HELD_BYTES = 1248, /* longest packet with its header, LC_PACKET_RETURNING format */
};

typedef struct
{
  uint32_t flow;
  uint16_t len;
  uint8_t bytes[LC_AGENT_HELD_BYTES];
} LcAgentHeldPacket;

typedef struct
{
  GArray *packets; /* LcAgentHeldPacket, oldest first; NULL: none yet */
  LcAgentHeldPacket taken;
  uint64_t full_total;
} LcAgentHeld;

bool lc_agent_held_put (LcAgentHeld *held, uint32_t flow, const uint8_t *bytes, size_t len);
/* Removes and returns the flow's oldest; NULL: none. */
LcAgentHeldPacket *lc_agent_held_take (LcAgentHeld *held, uint32_t flow);
void lc_agent_held_drop (LcAgentHeld *held, uint32_t flow);
void lc_agent_held_finish (LcAgentHeld *held);

#endif /* LC_AGENT_HELD_H */
