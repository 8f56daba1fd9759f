/* lc-flow-returners: callers that come back because their flow was lost.
 *
 * WHAT IT IS
 *   When backend servers have lost their flows, each caller hears of it when it next sends
 * something: its flow is searched for, nobody holds it, and it opens another.  What it asks for on
 * the new flow it has asked for before, often since the beginning of an outage, but the new flow
 * looks as young as any.  Every agent of the service has seen the search; this module remembers the
 * callers' addresses for a moment, so that the new flow's first request can be ranked by what it
 * is.
 *
 * LOAD PATTERN
 *   The half second after an outage, in which as many come back as are new: ranked alike, each that
 *   comes back takes the slot of a new one that could still be answered in time.
 *
 * HOW TO USE IT
 *     lc_flow_returners_lost (&returners, ipv4, now_us);            a flow of this caller was not
 * found if (lc_flow_returners_take (&returners, ipv4, now_us))        a first packet of it its
 * request is older than it looks
 *
 * LIFETIME
 *   A plain value; zero is an empty one.
 *
 * LIMITS
 *   LC_FLOW_RETURNERS_MAX callers, the oldest make room; each counts for one flow within
 *   LC_FLOW_RETURN_US.  Callers that share an address are not told apart: one lost flow ranks one
 * new flow of any of them lower, which costs it something only while requests wait.
 */
#ifndef LC_FLOW_RETURNERS_H
#define LC_FLOW_RETURNERS_H

#include "core/lc-types.h"

#ifdef __cplusplus
extern "C"
{
#endif

  enum
  {
    LC_FLOW_RETURNERS_MAX =
        256, /* twice the flows that one agent sees lost within the time below */
  };

/* A search and its answers take some milliseconds, the reset and the new flow's first packet a
 * round trip to the caller; ten times that, since all agents are busy then. */
#define LC_FLOW_RETURN_US (250 * LC_US_PER_MS)

  typedef struct
  {
    struct
    {
      uint32_t ipv4; /* 0: free, or taken */
      int64_t at_us;
    } callers[LC_FLOW_RETURNERS_MAX];
    uint32_t next;
  } LcFlowReturners;

  void lc_flow_returners_lost (LcFlowReturners *returners, uint32_t ipv4, int64_t now_us);
  /* True once for each lost flow. */
  bool lc_flow_returners_take (LcFlowReturners *returners, uint32_t ipv4, int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif /* LC_FLOW_RETURNERS_H */
