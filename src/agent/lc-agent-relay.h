/* lc-agent-relay: UDP proxy between an agent and its backend server, with one socket a flow.
 *
 * WHAT IT IS
 *   Each flow's payload is sent to the backend server from its own socket, so that each flow is a
 *   separate peer there; answers on that socket go to the flow's caller.  Needs no privilege.  The
 *   backend server sees the agent's address; callers get answers from the agent's flow port.
 *
 * HOW TO USE IT
 *     lc_agent_relay_init (&relay, &desc);
 *     flow->user = lc_agent_relay_send (&relay, flow->user, &key, source_port, backend_ipv4,
 *                                       backend_port, payload, len);
 *     lc_agent_relay_sweep (&relay);                  closes sockets of ended flows
 *     lc_agent_relay_finish (&relay);
 *
 * THREADS
 *   Call it on the loop's thread only.
 *
 * LIMITS
 *   One file descriptor a flow; lc_agent_relay_init raises the soft limit to the hard one.
 */
#ifndef LC_AGENT_RELAY_H
#define LC_AGENT_RELAY_H

#include "core/flow/lc-flow-key.h"
#include "io/lc-datagram.h"

#include <glib.h>

typedef struct
{
  h2o_loop_t *loop;
  uint32_t ipv4;       /* source address towards the backend server */
  LcDatagram *answers; /* port that sends answers to callers */
  void *user;
  bool (*is_owned) (void *user, const LcFlowKey *key); /* sockets of other flows are closed */
} LcAgentRelayDesc;

typedef struct
{
  LcAgentRelayDesc desc;
  GPtrArray *sockets; /* LcAgentRelaySocket, by slot */
  GArray *free_slots; /* uint32_t */
  uint32_t sweep_at;
  uint32_t n_open;
  uint64_t sent_total;
  uint64_t answered_total;
  uint64_t failed_total;
} LcAgentRelay;

enum
{
  LC_AGENT_RELAY_NO_SLOT = 0xffffffff,
};

void lc_agent_relay_init (LcAgentRelay *relay, const LcAgentRelayDesc *desc);
void lc_agent_relay_finish (LcAgentRelay *relay);
/* Sends through the flow's slot, opening a socket if it has none (`source_port` 0: any).  Returns
 * the slot, or LC_AGENT_RELAY_NO_SLOT if no socket could be opened. */
uint32_t lc_agent_relay_send (LcAgentRelay *relay,
                              uint32_t slot,
                              const LcFlowKey *key,
                              uint16_t source_port,
                              uint32_t backend_ipv4,
                              uint16_t backend_port,
                              const void *payload,
                              size_t len);
/* The source port of a slot, for hand-overs; 0: none. */
uint16_t lc_agent_relay_source_port (const LcAgentRelay *relay, uint32_t slot);
/* Checks some slots a call. */
void lc_agent_relay_sweep (LcAgentRelay *relay);

#endif /* LC_AGENT_RELAY_H */
