/* lc-reach: which agents answer, for a balancer that sends them packets.
 *
 * WHAT IT IS
 *   A lease takes seconds to end, and until then the packets of every flow whose first home has
 * died would be lost.  A balancer therefore probes the agents that it sends packets to: one that
 * leaves a probe unanswered for LC_REACH_SUSPECT_US is suspect, and homes are chosen among the
 * others until it answers again.  A wrong suspicion does no harm where owners are found without a
 * settled list (lc-flow-return.h).
 *
 * HOW TO USE IT
 *     lc_reach_init (&reach);
 *     lc_reach_used (&reach, &to, now_us);               a packet goes to this agent
 *     n = lc_reach_due (&reach, now_us, out, max);       probe these now; at each tick
 *     lc_reach_answered (&reach, ipv4, port, now_us);
 *     lc_reach_is_suspect (&reach, ipv4, port, now_us)
 *     while (lc_reach_next_change (&reach, now_us, &change)) say that it is suspect, or answers
 * again lc_reach_finish (&reach);
 *
 * LIFETIME
 *   Owns its table.  An agent that gets no packet for LC_REACH_FORGET_US is forgotten.
 *
 * LIMITS
 *   Two datagrams of 4 bytes for each agent in use every LC_REACH_PROBE_US.
 */
#ifndef LC_REACH_H
#define LC_REACH_H

#include "lc-candidates.h"

#ifdef __cplusplus
extern "C"
{
#endif

/* Between probes of one agent in use. */
#define LC_REACH_PROBE_US (50 * LC_US_PER_MS)
/* Longer than a process waits for its turn where a core's share is given out by tenths of a second.
 */
#define LC_REACH_SUSPECT_US (150 * LC_US_PER_MS)
#define LC_REACH_FORGET_US (10 * LC_US_PER_S)

  typedef struct
  {
    GHashTable *agents; /* packed address -> private entry */
    uint64_t suspected_total;
  } LcReach;

  typedef struct
  {
    uint32_t ipv4;
    uint16_t port;
  } LcReachAddress;

  typedef struct
  {
    LcReachAddress address;
    bool is_suspect;
    int64_t silent_us; /* since the probe that it left unanswered; 0: it answers */
  } LcReachChange;

  void lc_reach_init (LcReach *reach);
  void lc_reach_finish (LcReach *reach);
  void lc_reach_used (LcReach *reach, const LcCandidate *to, int64_t now_us);
  /* Fills `out` with agents to probe, and counts them as probed; returns how many. */
  uint32_t lc_reach_due (LcReach *reach, int64_t now_us, LcReachAddress *out, uint32_t max);
  void lc_reach_answered (LcReach *reach, uint32_t ipv4, uint16_t port, int64_t now_us);
  /* Whether no agent that was in use answers: this balancer is cut off from them, rather than all
   * of them dead.  They are then probed on, although no packet goes there. */
  bool lc_reach_is_alone (LcReach *reach, int64_t now_us);
  /* Whether any agent is suspect now. */
  bool lc_reach_has_suspects (const LcReach *reach, int64_t now_us);
  /* An agent of which something else holds now than was told here before; false: none. */
  bool lc_reach_next_change (LcReach *reach, int64_t now_us, LcReachChange *change);
  bool lc_reach_is_suspect (const LcReach *reach, uint32_t ipv4, uint16_t port, int64_t now_us);

#ifdef __cplusplus
}
#endif

#endif /* LC_REACH_H */
