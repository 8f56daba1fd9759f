/* lc-agent-inject: delivers a caller's packets to the backend server by destination NAT.
 *
 * WHAT IT IS
 *   A raw IPv4 socket (needs CAP_NET_RAW).  The source address stays the caller's, so the backend
 *   server answers the caller directly, past agent and balancer (direct server return).
 *
 * HOW TO USE IT
 *     lc_agent_inject_init (&inject, &error);
 *     lc_agent_inject_send (&inject, bytes, &packet, backend_ipv4, backend_port);   rewrites bytes
 *     lc_agent_inject_finish (&inject);
 */
#ifndef LC_AGENT_INJECT_H
#define LC_AGENT_INJECT_H

#include "core/flow/lc-dnat.h"

typedef struct
{
  int fd;
  uint64_t sent_total;
  uint64_t failed_total;
} LcAgentInject;

int lc_agent_inject_init (LcAgentInject *inject, LcError *error);
void lc_agent_inject_finish (LcAgentInject *inject);
void lc_agent_inject_send (LcAgentInject *inject,
                           uint8_t *bytes,
                           const LcPacket *packet,
                           uint32_t backend_ipv4,
                           uint16_t backend_port);

#endif /* LC_AGENT_INJECT_H */
