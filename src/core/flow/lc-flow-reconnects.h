/* lc-flow-reconnects: addresses of callers that are expected to reconnect after a lost flow.
 *
 * WHAT IT IS
 *   When backend servers have lost their flows, each caller learns of it when it next sends
 *   something: a search finds no owner, the caller gets a reset and opens a new flow.  Its first
 *   request there is a repeated one, often from the beginning of an outage, but the new flow looks
 *   as young as any.  Every agent of the service takes part in the search; this module keeps the
 *   callers' addresses for LC_FLOW_RECONNECT_US, so that the new flow's first request can be ranked
 *   by its real age.
 *
 * LOAD PATTERN
 *   The half second after an outage, in which as many callers reconnect as are new: with equal
 *   ranks, each that reconnects takes the slot of a new one that could still be answered in time.
 *
 * HOW TO USE IT
 *     lc_flow_reconnects_add (&reconnects, ipv4, now_us);       a flow of this caller has no owner
 *     if (lc_flow_reconnects_take (&reconnects, ipv4, now_us))  at a first packet of this caller
 *       its request is older than it looks
 *
 * LIFETIME
 *   A plain value; zero is an empty one.
 *
 * LIMITS
 *   LC_FLOW_RECONNECTS_MAX callers, the oldest is overwritten; each counts for one flow within
 *   LC_FLOW_RECONNECT_US.  Callers that share an address can't be distinguished: one lost flow
 *   ranks one new flow of any of them lower, which matters only while requests are queued.
 */
#ifndef LC_FLOW_RECONNECTS_H
#define LC_FLOW_RECONNECTS_H

#include "core/lc-types.h"

#ifdef __cplusplus
extern "C"
{
#endif

  enum
  {
    /* Twice the lost flows that one agent sees within LC_FLOW_RECONNECT_US. */
    LC_FLOW_RECONNECTS_MAX = 256,
  };

/* A search takes some milliseconds, the reset and the new flow's first packet a round trip to the
 * caller; ten times that, since all agents are busy then. */
#define LC_FLOW_RECONNECT_US (250 * LC_US_PER_MS)

  typedef struct
  {
    struct
    {
      uint32_t ipv4; /* 0: free or taken */
      int64_t at_us;
    } callers[LC_FLOW_RECONNECTS_MAX];
    uint32_t next;
  } LcFlowReconnects;

  void lc_flow_reconnects_add (LcFlowReconnects *reconnects, uint32_t ipv4, int64_t now_us);
  /* Whether the caller lost a flow recently; true once for each lost flow. */
  bool lc_flow_reconnects_take (LcFlowReconnects *reconnects, uint32_t ipv4, int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif /* LC_FLOW_RECONNECTS_H */
