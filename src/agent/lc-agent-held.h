/* lc-agent-held: packets that wait beside the backend server until it has a free slot.
 *
 * WHAT IT IS
 *   The bytes of what LC_FLOW_ACTION_HOLD keeps, by flow.  lc-flow-gate decides how long; a copy
 *   that its caller sends meanwhile is not kept twice.
 *
 * HOW TO USE IT
 *     if (!lc_agent_held_put (&held, flow, bytes, len))
 *       it is lost, as in a full queue: its caller sends it again
 *     while ((packet = lc_agent_held_take (&held, flow)) != NULL)
 *       send packet->bytes
 *     lc_agent_held_drop (&held, flow);
 *     lc_agent_held_finish (&held);
 *
 * LIFETIME
 *   Zero is an empty one.  What `take` returns is valid until the next call.
 *
 * LIMITS
 *   LC_AGENT_HELD_MAX packets of at most LC_AGENT_HELD_BYTES bytes: two for each of the requests
 *   that may wait.  Memory is taken as it is needed and kept.
 */
#ifndef LC_AGENT_HELD_H
#define LC_AGENT_HELD_H

#include "core/lc-types.h"

#include <glib.h>

enum
{
  LC_AGENT_HELD_MAX = 512,
  LC_AGENT_HELD_BYTES = 1248, /* head and data of the longest packet of the returning format */
};

typedef struct
{
  uint32_t flow;
  uint16_t len;
  uint8_t bytes[LC_AGENT_HELD_BYTES];
} LcAgentHeldPacket;

typedef struct
{
  GArray *packets; /* LcAgentHeldPacket, in the order in which they came; NULL: none yet */
  LcAgentHeldPacket taken;
  uint64_t full_total;
} LcAgentHeld;

bool lc_agent_held_put (LcAgentHeld *held, uint32_t flow, const uint8_t *bytes, size_t len);
/* The oldest of the flow, or NULL. */
LcAgentHeldPacket *lc_agent_held_take (LcAgentHeld *held, uint32_t flow);
void lc_agent_held_drop (LcAgentHeld *held, uint32_t flow);
void lc_agent_held_finish (LcAgentHeld *held);

#endif /* LC_AGENT_HELD_H */
